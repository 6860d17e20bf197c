/**
 * @file command_client.h
 * Brings commands to the leader from any host, and answers back.
 *
 * A command is resent after a loss or a change of leader until its deadline,
 * always as the same bytes, so that the replicated state recognises it. On a
 * voter the same part also serves commands that other hosts forward.
 */
#ifndef COMMAND_CLIENT_H
#define COMMAND_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "coordination/consensus.h"
#include "protocol/peer_port.h"
#include "state/command.h"
#include "state/handle_table.h"
#include "transport/timer.h"

#define COMMANDS_MAX 8192u /**< Commands under way at a time. */

/** Settings; zero means the default. */
struct command_client_settings {
	uint32_t host_id;  /**< This host. */
	int64_t resend_ms; /**< Silence before a resend, default 500. */
	int64_t retry_ms;  /**< Wait after "not the leader", default 50. */
	uint64_t seed;	   /**< Another one at each start of a host. */
};

/** Called once. The result's error is the state's answer; else it is
 * ERROR_NO_QUORUM (surely not done: no voter took it), ERROR_TIMEOUT (never
 * sent) or ERROR_OUTCOME_UNKNOWN (it may have been done). */
struct command_callback {
	void (*run)(void *context, const struct command_result *result);
	void *context; /**< Passed back to run(). */
};

/** The client. */
struct command_client {
	struct command_client_settings settings;
	struct timer_service *timers;
	struct peer_port port;
	struct consensus *consensus; /**< This host's, NULL on a learner. */
	struct random_source random;
	struct handle_table commands; /**< Under way. */
	GHashTable *proposals; /**< Set of those at this host's consensus. */
	uint64_t session;      /**< Tells answers to an earlier run apart. */
	uint32_t voter_count;
	uint32_t voters[VOTERS_MAX]; /**< Whom to try. */
	uint32_t next_voter;	     /**< Whom to try next without a hint. */
	uint32_t leader_id;	     /**< Last hint, 0 for none. */
};

/* Setting up */

/** Starts; @p consensus is this host's or NULL. */
void command_client_init(struct command_client *client,
    const struct command_client_settings *settings,
    struct timer_service *timers, struct peer_port port,
    struct consensus *consensus);
/** Stops; waiting callbacks end as at their deadline. Goes before
 * consensus_finish(). */
void command_client_finish(struct command_client *client);
/** Says which hosts vote, from settings or from the feed. */
void command_client_set_voters(
    struct command_client *client, const uint32_t *voters, uint32_t count);

/* Using */

/** Submits a command for at most @p timeout_ms. Errors at once, without a
 * callback: ERROR_TABLE_FULL, ERROR_NO_MEMORY, those of command_encode(). */
enum error_code command_client_submit(struct command_client *client,
    const struct command *command, int64_t timeout_ms,
    struct command_callback callback);
/** Sends again what waits, on the next turn: call it when the consensus says
 * that the leader changed. */
void command_client_wake(struct command_client *client);
/** Takes a message of PEER_CHANNEL_COMMAND. */
enum error_code command_client_receive(struct command_client *client,
    uint32_t from_host, const void *body, size_t size);

#endif
