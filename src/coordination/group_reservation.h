/**
 * @file group_reservation.h
 * Reserves several upstreams, all or none, for a prompt that does not fit into
 * the KV memory of one engine.
 *
 * A group acquires its upstreams one after another in the order of their ids,
 * so that two hosts that reserve groups can never deadlock. Groups of one host
 * are served in the order of arrival. Among hosts, the owner of an upstream
 * grants its capacity to the host that has waited longest. Success, failure,
 * cancellation and timeout all end in the same release path. If the host of a
 * group crashes, its grants and leases expire, which frees the upstreams.
 */
#ifndef GROUP_RESERVATION_H
#define GROUP_RESERVATION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "coordination/kv_lease.h"
#include "state/capacity_slot.h"
#include "state/handle_table.h"
#include "transport/timer.h"

#define GROUP_SEGMENTS_MAX 8 /**< Largest number of upstreams of a group. */

/** An upstream that a group might use. */
struct group_candidate {
	uint64_t upstream_id; /**< Id of the upstream. */
	uint64_t incarnation; /**< Incarnation of the upstream. */
	/** KV tokens that are estimated to be free on the upstream. */
	uint64_t free_kv_tokens;
};

/** A contiguous part of a prompt and the upstream that processes it. */
struct group_segment {
	uint64_t upstream_id;	/**< Id of the upstream. */
	uint64_t incarnation;	/**< Incarnation of the upstream. */
	uint64_t first_token;	/**< Index of the first prompt token. */
	uint64_t prompt_tokens; /**< Number of prompt tokens. */
	/** KV tokens to reserve; in the last segment including the answer. */
	uint64_t kv_tokens;
};

/** The segments in the order of the prompt. Each upstream hands its KV cache
 * on to the next one, and the last one generates the answer. */
struct group_plan {
	uint32_t count; /**< Number of segments. */
	struct group_segment segments[GROUP_SEGMENTS_MAX]; /**< Segments. */
};

/** Settings; see group_default_settings(). */
struct group_settings {
	uint32_t capacity; /**< Largest number of groups at a time. */
	/** Time between attempts to acquire capacity or to reserve. */
	int64_t retry_ms;
};

/** Callbacks to capacity slots and upstreams. No callback may call back into
 * this module to deliver its answer; answers come later. */
struct group_ops {
	/** Acquires capacity from this host's slot of an upstream, or fails at
	 * once. */
	enum error_code (*acquire)(void *context, uint64_t upstream_id,
	    const struct capacity_amount *amount);
	/** Releases capacity to the slot that it was acquired from. For that,
	 * group_on_incarnation() must be called before the slot is opened for
	 * a new incarnation. */
	void (*release)(void *context, uint64_t upstream_id,
	    const struct capacity_amount *amount);
	/** Sets the capacity that the oldest waiting group needs on an
	 * upstream; zero if no group waits for it. */
	void (*set_wanted)(void *context, uint64_t upstream_id,
	    const struct capacity_amount *amount);
	/** Sends a reservation request to an upstream; the answer is passed to
	 * group_on_reserved(). */
	void (*reserve)(void *context, uint64_t upstream_id,
	    uint64_t incarnation, uint64_t reservation_id, uint64_t tokens);
	/** The attempt to reserve has ended: with ERROR_NONE all upstreams are
	 * reserved, else none is or will be. Also called with an error if a
	 * reserved group loses an upstream. */
	void (*on_ended)(
	    void *context, struct handle group, enum error_code error);
	void *context; /**< First argument of the callbacks. */
};

/** The groups of this host. */
struct group_table {
	struct group_settings settings; /**< Settings as given. */
	struct group_ops ops;		/**< Callbacks. */
	struct timer_service *timers;	/**< Clock and timer of the tick. */
	struct kv_lease_table *leases;	/**< Leases, owned by the caller. */
	struct handle_table groups;	/**< Items are struct group. */
	/** Unused; waiting groups are ordered by their arrival number. */
	GQueue *order;
	uint64_t last_arrival_number; /**< Arrival number of the last group. */
	/** Timer that checks deadlines and retries. */
	struct handle tick;
	/** True while groups are advanced, to prevent recursion. */
	bool is_advancing;
};

/* Planning */

/** Splits a prompt over as few candidates as possible, in proportion to their
 * free KV tokens; the candidate with the most is last. Errors:
 * ERROR_NO_CAPACITY, ERROR_INVALID_ARGUMENT. */
enum error_code group_plan_make(struct group_plan *plan,
    const struct group_candidate *candidates, uint32_t count,
    uint64_t prompt_tokens, uint64_t answer_tokens);

/* Setup */

/** Returns settings for the usual size of a deployment. */
struct group_settings group_default_settings(void);
/** Initialises an empty table and starts its timer. Errors: those of
 * timer_subscribe_every(). */
enum error_code group_table_init(struct group_table *table,
    const struct group_settings *settings, const struct group_ops *ops,
    struct timer_service *timers, struct kv_lease_table *leases);
/** Stops the timer and frees memory, but releases no reservation. */
void group_table_finish(struct group_table *table);

/* Groups; to be called on the coordination thread */

/** Starts to reserve the upstreams of a plan; ops.on_ended() reports the
 * result by @p deadline_ms. Errors: ERROR_TABLE_FULL,
 * ERROR_INVALID_ARGUMENT. */
enum error_code group_start(struct group_table *table,
    const struct group_plan *plan, int64_t deadline_ms, struct handle *group);
/** Releases a group in any state, because its prompt is finished, failed or
 * was cancelled. A group that is still reserving ends with ERROR_CANCELLED. A
 * stale handle is ignored. */
void group_release(struct group_table *table, struct handle handle);
/** Returns the reservation id of a segment, 0 before it is reserved. */
uint64_t group_reservation_id(
    const struct group_table *table, struct handle handle, uint32_t segment);

/* Events that the caller reports */

/** A capacity slot received a new grant. */
void group_on_granted(struct group_table *table);
/** An upstream answered a reservation request. If the request timed out, the
 * caller reports that as a refusal. */
void group_on_reserved(
    struct group_table *table, uint64_t reservation_id, enum error_code error);
/** A KV lease ended; to be called for each lease of the table given. */
void group_on_lease_ended(struct group_table *table, uint64_t reservation_id);
/** An upstream runs under an incarnation; groups that use an older incarnation
 * of it fail. */
void group_on_incarnation(
    struct group_table *table, uint64_t upstream_id, uint64_t incarnation);

#endif
