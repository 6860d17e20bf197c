/**
 * @file host_groups.h
 * KV leases and groups of a host, tied to upstreams and request threads.
 */
#ifndef HOST_GROUPS_H
#define HOST_GROUPS_H

#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "coordination/group_reservation.h"
#include "coordination/kv_lease.h"
#include "state/request.h"
#include "state/upstream.h"
#include "transport/upstream_adapter.h"

struct host;

/** The tables; used on the coordination thread. */
struct host_groups {
	struct kv_lease_table leases; /**< What this host holds. */
	struct group_table groups;    /**< Groups under way. */
	GHashTable *waiting;	      /**< Group to the call that waits. */
	GArray *taken;	    /**< Capacity that groups hold, by slot. */
	GHashTable *wanted; /**< Upstream id to struct capacity_amount. */
};

/** A group that was reserved for a request. */
struct host_group {
	struct handle handle;			   /**< For host_group_end(). */
	struct group_plan plan;			   /**< Its segments. */
	uint64_t reservations[GROUP_SEGMENTS_MAX]; /**< Of each segment. */
	struct upstream_target targets[GROUP_SEGMENTS_MAX]; /**< Of each. */
};

/* Coordination thread */

/** Prepares the tables. */
enum error_code host_groups_init(struct host *host);
/** Gives back memory. */
void host_groups_finish(struct host *host);
/** A slot got a new grant. */
void host_groups_note_granted(struct host *host);
/** An upstream's incarnation, or the one after its last. */
void host_groups_note_incarnation(
    struct host *host, uint64_t upstream_id, uint64_t incarnation);
/** Adds what groups want to the demand, by upstream. */
void host_groups_each_wanted(
    struct host *host, void (*visit)(struct host *host, uint64_t upstream_id,
			   const struct capacity_amount *amount));

/* Request threads */

/** Reserves a group and waits for it until @p until_ms. Errors:
 * ERROR_NO_CAPACITY, ERROR_TIMEOUT, ERROR_TABLE_FULL. */
enum error_code host_group_start(struct host *host,
    const struct request_facts *facts, int64_t until_ms,
    struct host_group *group);
/** Releases a group, however its request ended. */
void host_group_end(struct host *host, const struct host_group *group);

#endif
