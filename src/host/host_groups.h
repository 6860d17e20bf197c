/**
 * @file host_groups.h
 * Groups of upstreams that share one long prompt: connects the tables of KV
 * leases and groups to upstreams, capacity slots and request threads.
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

/** KV leases and groups of this host, used on the coordination thread only. */
struct host_groups {
	struct kv_lease_table leases; /**< KV memory reserved by this host. */
	struct group_table groups;    /**< Groups being reserved or in use. */
	GHashTable *waiting_calls;    /**< Group to the call that waits. */
	GArray *acquired;    /**< Capacity that groups hold, by slot. */
	GHashTable *demands; /**< Upstream id to struct capacity_amount. */
};

/** A group reserved for one request. */
struct host_group {
	struct handle handle;	/**< Handle in the table of groups. */
	struct group_plan plan; /**< Segments of the prompt. */
	/** Reservation id of each segment. */
	uint64_t reservations[GROUP_SEGMENTS_MAX];
	/** Address of the upstream of each segment. */
	struct upstream_target targets[GROUP_SEGMENTS_MAX];
};

/* Coordination thread */

/** Initialises the tables and starts their timers. */
enum error_code host_groups_init(struct host *host);
/** Stops the timers and frees the memory. */
void host_groups_finish(struct host *host);
/** Lets waiting groups try again after a slot got a new grant. */
void host_groups_on_granted(struct host *host);
/** Sets the current incarnation of an upstream, which ends leases of earlier
 * ones. For an upstream that is gone, pass its last incarnation plus one. */
void host_groups_on_incarnation(
    struct host *host, uint64_t upstream_id, uint64_t incarnation);
/** Calls @p visit with each upstream on which a group waits for capacity, and
 * with the amount that it needs. */
void host_groups_for_each_demand(
    struct host *host, void (*visit)(struct host *host, uint64_t upstream_id,
			   const struct capacity_amount *amount));

/* Request threads */

/** Reserves a group of upstreams for a request and waits for it until
 * @p until_ms. Errors: ERROR_NO_UPSTREAM, ERROR_NO_CAPACITY, ERROR_TIMEOUT,
 * ERROR_TABLE_FULL. */
enum error_code host_group_start(struct host *host,
    const struct request_facts *facts, int64_t until_ms,
    struct host_group *group);
/** Releases a group, whether its request succeeded or not. Doesn't wait. */
void host_group_end(struct host *host, const struct host_group *group);

#endif
