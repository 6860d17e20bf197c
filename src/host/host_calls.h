/**
 * @file host_calls.h
 * Calls from request threads to the coordination thread.
 *
 * Each function posts a call to the mailbox. Functions that return a value wait
 * for the call, for a limited time, and return ERROR_TIMEOUT if the time is
 * over. Functions without a return value do not wait.
 */
#ifndef HOST_CALLS_H
#define HOST_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error_code.h"
#include "coordination/quarantine.h"
#include "coordination/warmup.h"
#include "host/host.h"
#include "protocol/announcement.h"
#include "state/command.h"

/* Requests */

/** Returns whether this request may run, and whether only alone. Sets
 * @p remaining_ms, unless it is NULL, to the time for which it is suspected or
 * refused. */
enum quarantine_action host_check_quarantine(const struct host *host,
    const struct request_key *key, int64_t *remaining_ms);
/** Returns true for one caller in a time: its request, for which
 * host_check_quarantine() returned QUARANTINE_TRY, may run. */
bool host_take_trial(struct host *host);
/** Reports that an upstream crashed while it ran this request. */
void host_report_crash(struct host *host, uint64_t upstream_id,
    uint64_t incarnation, const char *data_centre,
    const struct request_key *key);
/** Reports that this request has run on after its beginning, so the parts of its
 * prompt crash nothing. */
void host_report_survived(struct host *host, const struct request_key *key);
/** Reports that this request ran to its end. */
void host_report_completed(struct host *host, const struct request_key *key);
/** Reports whether the upstream in @p route is warm, as its answer showed. */
void host_report_warmth(struct host *host, const struct wait_assignment *route,
    enum warmup_class answer_class);

/* Commands to the replicated state */

/** Submits a command and waits for its result, at most @p timeout_ms and some
 * slack. Errors: those of command_client_submit(), ERROR_NOT_SUPPORTED if the
 * level in force does not allow the command, and ERROR_OUTCOME_UNKNOWN
 * after a time-out. Whether the command itself succeeded is in @p result. */
enum error_code host_submit(struct host *host, const struct command *command,
    int64_t timeout_ms, struct command_result *result);
/** Like host_submit(), but then also waits within @p timeout_ms until the
 * command is in force on every host. Sets @p is_in_force to whether it is. */
enum error_code host_submit_in_force(struct host *host,
    const struct command *command, int64_t timeout_ms,
    struct command_result *result, bool *is_in_force);

/** Submits a command without waiting for its result. The command client repeats
 * it for up to @p timeout_ms. */
void host_post(
    struct host *host, const struct command *command, int64_t timeout_ms);

/* Upstreams */

/** Adds or updates an upstream that announced itself. Errors: those of
 * upstream_directory_announce(). */
enum error_code host_announce(
    struct host *host, const struct upstream_record *record);
/** Renews an upstream's record and stores its load report. Errors:
 * ERROR_NOT_FOUND, ERROR_STALE for an earlier incarnation. */
enum error_code host_renew(
    struct host *host, const struct upstream_renewal *renewal);
/** Records that an upstream is leaving or gone. Errors: ERROR_NOT_FOUND,
 * ERROR_STALE for an earlier incarnation. */
enum error_code host_leave(
    struct host *host, const struct upstream_leave *leave);

/* Operators */

/** Adds or removes a voter and waits until the change is committed. Errors:
 * ERROR_NOT_LEADER, ERROR_NOT_SUPPORTED for a new voter whose build does not
 * know the level in force, and those of consensus_add_voter() and
 * consensus_remove_voter(). */
enum error_code host_change_voters(
    struct host *host, bool is_add, struct voter voter, int64_t timeout_ms);

/** Runs @p query on the coordination thread and merges the JSON object that it
 * fills into @p reply. Errors: those of the query. */
enum error_code host_query(struct host *host,
    enum error_code (*query)(
	struct host *host, json_t *argument, json_t *reply),
    json_t *argument, json_t *reply);

#endif
