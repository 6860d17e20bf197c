/**
 * @file host_level.h
 * The level of the replicated state on a host: what other hosts' builds know,
 * which level is in force, and its rise. On the coordination thread.
 */
#ifndef HOST_LEVEL_H
#define HOST_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "coordination/level_plan.h"
#include "protocol/membership_message.h"

struct host;

/** What a host keeps of the level of the replicated state. */
struct host_level {
	struct level_plan plan; /**< Decides when the level rises. */
	uint32_t logged_level;	/**< Level in force that was logged last. */
	bool is_pending;	/**< A rise waits for its commit. */
	bool is_hold_logged;	/**< It was logged that commands wait. */
};

/** Starts to look whether the level can rise. */
void host_level_init(struct host *host);
/** Returns the level in force in the state that this host reads. */
uint32_t host_level_in_force(struct host *host);
/** Returns the level that a host's build knows at least: what it states, or
 * what its links show. */
uint32_t host_level_of(struct host *host, const struct host_record *record);
/** Returns the host that prevents a higher level; its level is 0 if nothing is
 * known of it. */
struct level_host host_level_lowest(struct host *host);
/** True if a host's build knows the level in force, so that it may become a
 * voter. */
bool host_level_may_vote(struct host *host, const struct host_record *record);
/** True if the level in force allows a command of this type. Logs once why it
 * does not. */
bool host_level_allows(struct host *host, uint64_t type);
/** Checks a command that the host @p context, as the leader, is to propose. Errors:
 * ERROR_NOT_SUPPORTED if the level in force does not allow it,
 * ERROR_NOT_LEADER if that can't be said before an entry of this term has
 * committed. For struct consensus_ops. */
enum error_code host_level_check_proposal(void *context, uint64_t type);

#endif
