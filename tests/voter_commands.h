/**
 * @file voter_commands.h
 * Commands to the voters of a group, and their answers.
 */
#ifndef VOTER_COMMANDS_H
#define VOTER_COMMANDS_H

#include "voter_group.h"

#define ANSWER_MS 10000 /**< Timeout of commands that must be answered. */

/** Number of answers that a callback received, and the last one. */
struct group_answer {
	unsigned int count;	      /**< Answers received. */
	struct command_result result; /**< Of a command. */
	enum error_code error; /**< Of a proposal or a change of voters. */
};

/** Starts a group with a good network and waits until a host leads. */
void group_init_with_leader(struct voter_group *group, uint64_t seed);
/** Sets a configuration key through a host and waits for the answer. */
struct command_result group_put(struct voter_group *group, uint32_t id,
    const char *operation_id, uint64_t expected, int64_t timeout_ms);
/** Sends a command through a host and waits for the answer. */
struct command_result group_submit(struct voter_group *group, uint32_t id,
    const struct command *command, int64_t timeout_ms);
/** Sets @p count keys through the learner; each must be accepted. */
void group_put_many(
    struct voter_group *group, const char *prefix, unsigned int count);
/** Callback of a proposal or a change of voters; @p context is a
 * struct group_answer. */
void group_on_change_result(void *context, enum error_code error,
    uint64_t index, const void *result, size_t result_size);

#endif
