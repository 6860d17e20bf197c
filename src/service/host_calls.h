/**
 * @file host_calls.h
 * What request threads ask of the coordination thread.
 *
 * Each function posts a call to the mailbox and waits for it at most as long
 * as it says; those that return nothing do not wait.
 */
#ifndef HOST_CALLS_H
#define HOST_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error_code.h"
#include "coordination/quarantine.h"
#include "coordination/warmup.h"
#include "protocol/announcement.h"
#include "service/host.h"
#include "state/command.h"

/* Requests */

/** What may be done with a request, by what is known of its fingerprint. */
enum quarantine_verdict host_check_quarantine(
    struct host *host, uint64_t fingerprint);
/** An upstream broke off while it ran this request. */
void host_note_crash(struct host *host, const struct wait_assignment *route,
    uint64_t fingerprint);
/** The request ran to its end. */
void host_note_done(struct host *host, uint64_t fingerprint);
/** What an answer said of its upstream's warmth. */
void host_note_answer(struct host *host, const struct wait_assignment *route,
    enum warmup_verdict verdict);

/* Commands to the replicated state */

/** Submits a command and waits for its result at most @p timeout_ms. Errors:
 * those of command_client_submit() and its callback. The result's own error
 * is in @p result only. */
enum error_code host_submit(struct host *host, const struct command *command,
    int64_t timeout_ms, struct command_result *result);
/** The same, then waits until it is in force on every host, as far as time
 * allows; @p is_in_force says whether it is. */
enum error_code host_submit_in_force(struct host *host,
    const struct command *command, int64_t timeout_ms,
    struct command_result *result, bool *is_in_force);

/** Submits a command that nobody waits for; tried for @p timeout_ms. */
void host_post(
    struct host *host, const struct command *command, int64_t timeout_ms);

/* Upstreams */

/** Takes an announcement. Errors: of upstream_directory_announce(). */
enum error_code host_announce(
    struct host *host, const struct upstream_record *record);
/** Takes a renewal with its load. Errors: ERROR_NOT_FOUND, ERROR_STALE. */
enum error_code host_renew(
    struct host *host, const struct upstream_renewal *renewal);
/** Takes a leave. Errors: as above. */
enum error_code host_leave(
    struct host *host, const struct upstream_leave *leave);

/* Operators */

/** Adds or removes a voter and waits for it. Errors: ERROR_NOT_LEADER, and
 * those of consensus_add_voter() and consensus_remove_voter(). */
enum error_code host_change_voters(
    struct host *host, bool is_add, struct voter voter, int64_t timeout_ms);

/** Runs @p query on the coordination thread, which fills the JSON object. */
enum error_code host_query(struct host *host,
    enum error_code (*query)(
	struct host *host, json_t *argument, json_t *reply),
    json_t *argument, json_t *reply);

#endif
