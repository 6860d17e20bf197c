/**
 * @file config_feed_parts.h
 * Internal declarations of the configuration feed, shared by the child's side
 * (config_feed.c) and the parent's side (config_feed_parent.c).
 */
#ifndef CONFIG_FEED_PARTS_H
#define CONFIG_FEED_PARTS_H

#include "coordination/config_feed.h"

/** Two clocks drift apart by less than one part in this many. */
#define FEED_CLOCK_DRIFT_DIVISOR 64

/** Largest drift between two clocks during one lease, in milliseconds. */
#define FEED_CLOCK_DRIFT_MS(feed)                                              \
	((feed)->settings.lease_ms / FEED_CLOCK_DRIFT_DIVISOR)

/** A process on a child host, as its parent knows it. Each process of a host
 * has its own record, since a lease granted to an earlier process may still be
 * held by that process's children. */
struct feed_child {
	uint64_t key;		 /**< Hash of host id and incarnation. */
	uint64_t incarnation;	 /**< Differs at each process start. */
	uint32_t host_id;	 /**< Host of the process. */
	uint64_t request_number; /**< Number of the latest request. */
	uint64_t applied_index;	 /**< Last entry that the child applied. */
	uint64_t subtree_index;	 /**< Last entry applied in the subtree. */
	uint64_t sent_index;	 /**< Last entry sent to the child. */
	int64_t sent_ms;	 /**< When that entry was sent. */
	/** Requests in a row without progress although entries were sent. */
	uint32_t idle_requests;
	int64_t lease_until_ms;	 /**< Latest end of a granted lease. */
	int64_t last_request_ms; /**< When the latest request arrived. */
};

/* Both sides (config_feed.c) */

/** Reads the clock, in milliseconds. */
int64_t feed_now(const struct config_feed *feed);
/** Encodes a feed message and sends it to a host. */
void feed_send(struct config_feed *feed, uint32_t to_host,
    const struct feed_message *message);
/** Records whether this host leads, and since when. */
void feed_update_leadership(struct config_feed *feed);

/* The parent's side (config_feed_parent.c) */

/** Replies to a child's renewal request with a lease and with entries or a
 * piece of a snapshot. Errors: ERROR_STALE if the request is not newer than the
 * last one; ERROR_TABLE_FULL if the child is refused. */
enum error_code feed_serve_renewal_request(struct config_feed *feed,
    uint32_t from_host, const struct feed_message *request);
/** Sends entries that were not sent yet to all children. */
void feed_push_entries(struct config_feed *feed);
/** Sends a child again what it has not reported as applied, because it may have
 * been lost. */
void feed_repeat_push(struct config_feed *feed, uint32_t host_id);
/** Removes children that hold no lease and have sent no request for
 * CHILD_RETENTION_LEASES lease durations. */
void feed_remove_expired_children(struct config_feed *feed);
/** Returns the highest index applied on this host and in the subtrees of all
 * children that may hold a lease. */
uint64_t feed_subtree_index(const struct config_feed *feed);
/** Returns the end of the lease that this host holds as the leader, or
 * INT64_MIN if it does not lead. */
int64_t feed_leader_lease_end(const struct config_feed *feed);
/** Writes the hosts that may be the parent of this host, preferred ones first,
 * and returns their number. */
uint32_t feed_rank_parents(
    struct config_feed *feed, uint32_t ranking[HOSTS_MAX]);

#endif
