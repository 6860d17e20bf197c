/**
 * @file live_hosts.h
 * Decides which hosts the leader should have committed as live.
 *
 * Hosts that membership reports as live are added at once. A host that left as
 * planned is removed at once, since it closed its grants before. A host that
 * died is kept until every configuration lease that it may still hold has run
 * out. The functions have no side effects beyond their arguments.
 */
#ifndef LIVE_HOSTS_H
#define LIVE_HOSTS_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"

/** State of a host according to membership. */
enum live_host_status {
	LIVE_HOST_ALIVE = 1, /**< Alive or suspected. */
	LIVE_HOST_DEAD = 2,  /**< Declared dead, or not known. */
	LIVE_HOST_LEFT = 3,  /**< Left as planned. */
};

/** A committed host that is dead and whose leases may still run. */
struct live_host_absence {
	uint32_t host_id; /**< Id of the dead host. */
	int64_t since_ms; /**< Time at which the leader first saw it dead. */
};

/** State kept by the leader; reset when a host becomes leader. */
struct live_hosts {
	/** Time for which a dead host is kept: the longest configuration lease
	 * plus slack. */
	int64_t absence_wait_ms;
	uint32_t absent_count; /**< Number of dead hosts that are kept. */
	struct live_host_absence absent[HOSTS_MAX]; /**< Dead hosts kept. */
};

/** A set of hosts. */
struct live_host_set {
	uint32_t count; /**< Number of ids. */
	/** Host ids; live_hosts_plan() returns them in ascending order. */
	uint32_t ids[HOSTS_MAX];
};

/** Access to this host's membership. */
struct live_hosts_source {
	/** Returns the state of a host according to membership. */
	enum live_host_status (*get_status)(void *context, uint32_t host_id);
	void *context; /**< First argument of get_status(). */
};

/** Initialises the state, with no absent hosts. */
void live_hosts_init(struct live_hosts *hosts, int64_t absence_wait_ms);
/** Computes the set of hosts that should be committed. @p live are the hosts
 * that membership lists as live, @p committed is the present set; both may be
 * in any order. Fills @p wanted; returns true if it differs from
 * @p committed. */
bool live_hosts_plan(struct live_hosts *hosts, struct live_hosts_source source,
    const struct live_host_set *live, const struct live_host_set *committed,
    int64_t now_ms, struct live_host_set *wanted);

#endif
