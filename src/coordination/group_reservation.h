/**
 * @file group_reservation.h
 * Prompts over one engine's memory: several upstreams, all or nothing.
 *
 * A group takes its upstreams one after another in the order of their ids, so
 * two leading hosts never wait for each other in a circle. Groups of one host
 * are served in the order in which they came; among hosts the owner of an
 * upstream gives room to whoever has waited longest. Success, failure,
 * cancelling and running out of time end in one release path; the death of
 * the leading host ends its grants and leases.
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

#define GROUP_SEGMENTS_MAX 8 /**< Upstreams of one group. */

/** An upstream that a group might use. */
struct group_candidate {
	uint64_t upstream_id;	 /**< Which upstream. */
	uint64_t incarnation;	 /**< Of it. */
	uint64_t free_kv_tokens; /**< Room that it is thought to have. */
};

/** A part of a prompt. */
struct group_segment {
	uint64_t upstream_id;	/**< Where it is worked on. */
	uint64_t incarnation;	/**< Of it. */
	uint64_t first_token;	/**< Its first prompt token. */
	uint64_t prompt_tokens; /**< How many. */
	uint64_t kv_tokens;	/**< To reserve: with the answer's, if last. */
};

/** The parts in the order of the prompt; each hands its KV cache on to the
 * next, and the last one generates the answer. */
struct group_plan {
	uint32_t count;					   /**< Parts. */
	struct group_segment segments[GROUP_SEGMENTS_MAX]; /**< In order. */
};

/** Settings; see group_default_settings(). */
struct group_settings {
	uint32_t capacity; /**< Groups at a time. */
	int64_t retry_ms;  /**< Between tries to take or reserve. */
};

/** To slots and upstreams; answers come later, never from within a call. */
struct group_ops {
	/** Takes from this host's slot of an upstream, or fails at once. */
	enum error_code (*take)(void *context, uint64_t upstream_id,
	    const struct capacity_amount *amount);
	/** Gives back to the slot that it was taken from; an incarnation is told
	 * to this part before the slot is opened anew. */
	void (*give)(void *context, uint64_t upstream_id,
	    const struct capacity_amount *amount);
	/** Tells what the oldest group waits for; zero for no more. */
	void (*want)(void *context, uint64_t upstream_id,
	    const struct capacity_amount *amount);
	/** Asks an upstream to reserve; the answer goes to
	 * group_note_reserved(). */
	void (*reserve)(void *context, uint64_t upstream_id,
	    uint64_t incarnation, uint64_t reservation_id, uint64_t tokens);
	/** All is reserved (ERROR_NONE), or nothing is or will be. */
	void (*ended)(
	    void *context, struct handle group, enum error_code error);
	void *context; /**< Passed back. */
};

/** The groups of this host. */
struct group_table {
	struct group_settings settings; /**< As given. */
	struct group_ops ops;		/**< To slots and upstreams. */
	struct timer_service *timers;	/**< Time. */
	struct kv_lease_table *leases;	/**< Kept by the caller. */
	struct handle_table groups;	/**< Items are struct group. */
	GQueue *order;			/**< Groups that wait, oldest first. */
	uint64_t next_order;		/**< Age of the next group. */
	struct handle tick;		/**< Deadlines and tries. */
	bool is_stepping;		/**< Guards against recursion. */
};

/* Planning */

/** Splits a prompt over as few candidates as can be, by their room; the one
 * with the most room is last. Errors: ERROR_NO_CAPACITY,
 * ERROR_INVALID_ARGUMENT. */
enum error_code group_plan_make(struct group_plan *plan,
    const struct group_candidate *candidates, uint32_t count,
    uint64_t prompt_tokens, uint64_t answer_tokens);

/* Setting up */

/** Settings for today's sizes. */
struct group_settings group_default_settings(void);
/** Prepares an empty table. */
enum error_code group_table_init(struct group_table *table,
    const struct group_settings *settings, const struct group_ops *ops,
    struct timer_service *timers, struct kv_lease_table *leases);
/** Gives back memory; releases nothing. */
void group_table_finish(struct group_table *table);

/* Groups, on the coordination thread */

/** Starts to reserve; ends in ops.ended() by @p deadline_ms. Errors:
 * ERROR_TABLE_FULL, ERROR_INVALID_ARGUMENT. */
enum error_code group_start(struct group_table *table,
    const struct group_plan *plan, int64_t deadline_ms, struct handle *group);
/** Ends a group, whatever it does: its prompt is done, failed or cancelled.
 * A stale handle is no error. */
void group_release(struct group_table *table, struct handle handle);
/** Reservation id of a segment, 0 before it is reserved. */
uint64_t group_reservation_id(
    const struct group_table *table, struct handle handle, uint32_t segment);

/* What it must be told */

/** A slot got a new grant. */
void group_note_granted(struct group_table *table);
/** An upstream's answer to a reservation; one that does not come counts as
 * refused when the caller's call timed out. */
void group_note_reserved(
    struct group_table *table, uint64_t reservation_id, enum error_code error);
/** A lease ended (kv_lease_ops.ended). */
void group_note_lease_ended(struct group_table *table, uint64_t reservation_id);
/** An upstream's incarnation: groups on an older one fail. */
void group_note_incarnation(
    struct group_table *table, uint64_t upstream_id, uint64_t incarnation);

#endif
