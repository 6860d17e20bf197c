/**
 * @file command_client.h
 * Client for submitting commands to the replicated state from any host.
 *
 * The client sends each command to the leader and returns the result. After a
 * lost message or a change of leader it resends the command until the deadline,
 * always as the same bytes, so that the replicated state recognises duplicates.
 * On a voter it also proposes the commands that other hosts forward to it.
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

#define COMMANDS_MAX 8192u /**< Commands in flight per client. */

/** Settings of a command client; zero means the default. */
struct command_client_settings {
	uint32_t host_id; /**< Id of this host. */
	/** Time without a reply before a resend; default 500. */
	int64_t resend_ms;
	/** Wait after a "not the leader" reply; default 50. */
	int64_t retry_ms;
	uint64_t seed; /**< Random seed; must differ at each start. */
};

/** Callback that receives the outcome of a command, called exactly once. The
 * result's error is that of the replicated state, or ERROR_NO_QUORUM (no voter
 * accepted the command, so it was certainly not executed), ERROR_TIMEOUT (the
 * command was never sent) or ERROR_OUTCOME_UNKNOWN (it may have been
 * executed). */
struct command_callback {
	void (*run)(void *context, const struct command_result *result);
	void *context; /**< First argument of run(). */
};

/** Command client of one host. */
struct command_client {
	struct command_client_settings settings;
	struct timer_service *timers;
	struct peer_port port;
	struct consensus *consensus; /**< Local instance, NULL on a learner. */
	struct random_source random;
	struct handle_table commands; /**< Commands awaiting a result. */
	GHashTable *proposals;	      /**< Set of pending local proposals. */
	uint64_t session; /**< Random; exposes replies to an earlier run. */
	uint32_t voter_count;
	uint32_t voters[VOTERS_MAX]; /**< Host ids of the voters. */
	uint32_t next_voter; /**< Next voter to try if no leader is known. */
	uint32_t leader_id;  /**< Leader named by the last reply, or 0. */
};

/* Setting up */

/** Initialises the client; @p consensus is the local instance, or NULL on a
 * learner. */
void command_client_init(struct command_client *client,
    const struct command_client_settings *settings,
    struct timer_service *timers, struct peer_port port,
    struct consensus *consensus);
/** Stops the client and calls each waiting callback as if its deadline had
 * passed. Call this before consensus_finish(). */
void command_client_finish(struct command_client *client);
/** Sets the voters to try, known from the settings or the configuration
 * feed. */
void command_client_set_voters(
    struct command_client *client, const uint32_t *voters, uint32_t count);

/* Using */

/** Submits a command and retries it for at most @p timeout_ms. On an error the
 * callback is not called: ERROR_TABLE_FULL, ERROR_NO_MEMORY, ERROR_TOO_LARGE or
 * an error of command_encode(). */
enum error_code command_client_submit(struct command_client *client,
    const struct command *command, int64_t timeout_ms,
    struct command_callback callback);
/** Resends every pending command in the next turn of the event loop. Call this
 * when the consensus reports a change of leader. */
void command_client_on_leader_changed(struct command_client *client);
/** Handles a message received on PEER_CHANNEL_COMMAND. Errors: those of
 * command_message_decode(). */
enum error_code command_client_receive(struct command_client *client,
    uint32_t from_host, const void *body, size_t size);

#endif
