/**
 * @file state_commands.h
 * Applies commands to a replicated state, for tests. They fail the test if a
 * command can't be encoded.
 */
#ifndef STATE_COMMANDS_H
#define STATE_COMMANDS_H

#include "protocol/public_entry_message.h"
#include "state/replicated_state.h"

#define START_MS 1700000000000	    /**< Time of commands, by default. */
#define HOUR_MS	 ((int64_t)3600000) /**< An hour in milliseconds. */

/** Applies a command as the next entry of the log and returns its result. */
struct command_result state_apply(struct replicated_state *state,
    const struct command *command, int64_t time_ms);
/** Sets a configuration entry, or deletes it if the value is NULL. */
struct command_result state_put(struct replicated_state *state,
    const char *operation_id, const char *key, const char *value,
    uint64_t expected);
/** Initialises a voter with configuration entries and a quarantine. */
void state_init_with_entries(struct replicated_state *voter);
/** Applies a public entry to the learner @p context, which must accept it. */
void state_apply_public_entry(void *context, const struct public_entry *entry);

#endif
