/**
 * @file live_hosts.h
 * Which hosts the leader should have committed as live.
 *
 * Hosts that membership calls live are in at once. A host that left as planned
 * is out at once, since it closed its grants first; one that died stays in
 * until every configuration lease that it can hold has run out. Pure.
 */
#ifndef LIVE_HOSTS_H
#define LIVE_HOSTS_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"

/** How membership sees a host. */
enum live_host_sight {
	LIVE_HOST_SEEN = 1, /**< Alive or suspected. */
	LIVE_HOST_DEAD = 2, /**< Declared dead, or not known. */
	LIVE_HOST_LEFT = 3, /**< Left as planned. */
};

/** A host that is being waited out. */
struct live_host_absence {
	uint32_t host_id; /**< Which host. */
	int64_t since_ms; /**< When it was first seen as dead. */
};

/** What the leader remembers; cleared when it begins to lead. */
struct live_hosts {
	int64_t wait_ms;       /**< Longest configuration lease and slack. */
	uint32_t absent_count; /**< Hosts being waited out. */
	struct live_host_absence absent[HOSTS_MAX]; /**< Who, since when. */
};

/** A set of hosts. */
struct live_host_set {
	uint32_t count;		 /**< Hosts below. */
	uint32_t ids[HOSTS_MAX]; /**< Ascending in what the plan fills. */
};

/** How the tracker looks at the host's own membership. */
struct live_hosts_source {
	/** How membership sees a host. */
	enum live_host_sight (*sight)(void *context, uint32_t host_id);
	void *context; /**< Passed back to sight(). */
};

/** Starts with nobody waited out. */
void live_hosts_init(struct live_hosts *hosts, int64_t wait_ms);
/** Works out the set that should be committed: @p seen are the hosts that
 * membership lists as live, @p committed is the present set, both in any
 * order. Gives true and fills @p wanted if it differs. */
bool live_hosts_plan(struct live_hosts *hosts, struct live_hosts_source source,
    const struct live_host_set *seen, const struct live_host_set *committed,
    int64_t now_ms, struct live_host_set *wanted);

#endif
