/**
 * @file level_plan.h
 * Decides when the level of the replicated state rises, see state_level.h.
 *
 * The level is the version of a document in the replicated state, so it never
 * falls, and builds that know nothing of levels store it and pass it on. It
 * rises to what all hosts know that vote, may vote or follow the voters; a host
 * of which nothing is known prevents it. Commands of a level are proposed only
 * while it is in force.
 */
#ifndef LEVEL_PLAN_H
#define LEVEL_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"

/** Most hosts that a plan looks at: members, live hosts and voters. */
#define LEVEL_HOSTS_MAX (2 * HOSTS_MAX + VOTERS_MAX)
/** Time for which all hosts must know a level before it is proposed, since a
 * host that has just started knows few others. */
#define LEVEL_STABLE_MS 2000

/** What is known of a host. */
struct level_host {
	uint32_t host_id; /**< Id of the host. */
	/** Level that its build knows at least; 0 if nothing is known. */
	uint32_t level;
};

/** The hosts that a level must suit. */
struct level_hosts {
	uint32_t count;				  /**< Elements in use. */
	struct level_host items[LEVEL_HOSTS_MAX]; /**< The hosts. */
};

/** State of the decision. */
struct level_plan {
	uint32_t level;	  /**< Level that all hosts know since since_ms. */
	int64_t since_ms; /**< Time of the first such look. */
};

/** Returns the level that a build knows at least which states @p stated:
 * that, or what its links show if it states none. */
uint32_t level_of_build(uint32_t stated, bool is_numbering_links);
/** Adds a host; of a host that was added before the lower level counts. */
void level_hosts_add(
    struct level_hosts *hosts, uint32_t host_id, uint32_t level);
/** Returns the host that knows the lowest level, NULL if there is none. */
const struct level_host *level_hosts_lowest(const struct level_hosts *hosts);
/** Returns the level to propose at @p now_ms, or 0 for none. All hosts must
 * have known it for @p stable_ms, LEVEL_STABLE_MS or longer. */
uint32_t level_plan_next(struct level_plan *plan, uint32_t in_force,
    const struct level_hosts *hosts, int64_t stable_ms, int64_t now_ms);

#endif
