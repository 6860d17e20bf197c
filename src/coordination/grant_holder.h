/**
 * @file grant_holder.h
 * The holder side of capacity grants: keeps this host's slots on upstreams.
 *
 * For each upstream that this host may use, the holder reports to the owner
 * how much is in use and how much is wanted. It renews grants while they are
 * in use and returns idle ones. The duration of a grant counts from the time
 * at which the report was sent that it answers. So if the host was suspended
 * for a while, its grants have expired by the time it resumes.
 *
 * The caller must advance the timer service before it passes in a message.
 */
#ifndef GRANT_HOLDER_H
#define GRANT_HOLDER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "coordination/owner_map.h"
#include "coordination/warmup.h"
#include "protocol/peer_port.h"
#include "state/capacity_slot.h"
#include "transport/timer.h"

struct grant_reader;

/** Settings; see grant_holder_default_settings(). */
struct grant_holder_settings {
	uint32_t host_id;  /**< Id of this host. */
	uint64_t instance; /**< Number of this process; every start of the host
				must use a greater one. */
	int64_t renew_ms;  /**< Interval between reports while in use. */
	int64_t retry_ms;  /**< Interval between reports while the owner has
				not met the demand or not answered. */
	int64_t batch_ms;  /**< Delay that collects rows for one message. */
	int64_t idle_ms;   /**< Idle time after which a grant is returned. */
	int64_t orphan_drain_ms;     /**< Time that engines need to end requests
					of an earlier process of this host. */
	int64_t slot_retention_ms;   /**< Time that the memory of a slot stays
					valid after the slot was replaced. */
	uint32_t near_limit_percent; /**< Use of a grant, in percent, from
					  which answers count for warm-up. */
	uint32_t headroom_percent;   /**< Requested beyond the recent peak. */
	uint32_t upstreams_max;	     /**< Largest number of open upstreams. */
};

/** Callbacks of the holder. */
struct grant_holder_ops {
	/** The grant of a slot changed: waiting requests may try again. */
	void (*on_granted)(
	    void *context, uint64_t upstream_id, struct capacity_slot *slot);
	void *context; /**< First argument of the callback. */
};

/** Counters for metrics. */
struct grant_holder_counters {
	uint64_t reports;	/**< GRANT_MESSAGE_REPORT messages sent. */
	uint64_t reported_rows; /**< Rows in these messages. */
	uint64_t grants;	/**< Offers from owners that were applied. */
	uint64_t stale_grants;	/**< Offers ignored as outdated or expired. */
};

/** State of the holder side. */
struct grant_holder {
	struct grant_holder_settings settings; /**< Copy of the settings. */
	struct grant_holder_ops ops;	       /**< Callbacks. */
	struct timer_service *timers;	       /**< Clock and timers in use. */
	struct peer_port port;		       /**< Sends messages to owners. */
	const struct owner_map *map; /**< Map of owners; the caller's. */
	GHashTable *entries;	     /**< Open upstreams by upstream id. */
	GQueue *retired_slots;	     /**< Replaced slots, not yet freed. */
	int64_t start_ms;	     /**< Time of init; origin of the
					  times in report sequences. */
	uint64_t last_sequence;	     /**< Sequence of the last report. */
	struct handle tick_timer;    /**< Renews and returns grants. */
	struct handle flush_timer;   /**< Sends reports after batch_ms. */
	struct grant_holder_counters counters; /**< Counters for metrics. */
};

/* Setting up */

/** Returns the default settings of a host and process. */
struct grant_holder_settings grant_holder_default_settings(
    uint32_t host_id, uint64_t instance);
/** Initialises the holder; @p map must outlive it and @p ops may be NULL.
 * Errors: ERROR_INVALID_ARGUMENT, those of timer_subscribe_every(). */
enum error_code grant_holder_init(struct grant_holder *holder,
    const struct grant_holder_settings *settings,
    const struct grant_holder_ops *ops, struct timer_service *timers,
    struct peer_port port, const struct owner_map *map);
/** Frees the holder and all slots; request threads must have ended. */
void grant_holder_finish(struct grant_holder *holder);

/* Open upstreams; called on the coordination thread */

/** Opens an upstream that this host may use, and returns its slot in @p slot
 * unless that is NULL. A newer incarnation gets a new slot; nothing else
 * replaces the slot of an upstream. A replaced or closed slot stays in memory
 * for slot_retention_ms, and longer while capacity is taken from it. Errors:
 * ERROR_TABLE_FULL, ERROR_STALE for an older incarnation. */
enum error_code grant_holder_open(struct grant_holder *holder,
    uint64_t upstream_id, uint64_t incarnation, struct capacity_slot **slot);
/** Closes an upstream: its slot admits no more requests. */
void grant_holder_close(struct grant_holder *holder, uint64_t upstream_id);
/** Returns the slot of an open upstream, or NULL. */
struct capacity_slot *grant_holder_slot(
    const struct grant_holder *holder, uint64_t upstream_id);
/** Returns the incarnation that the slot of an open upstream belongs to, or 0.
 * Requests carry the incarnation, so that a restarted upstream refuses those
 * that were admitted for its predecessor. */
uint64_t grant_holder_incarnation(
    const struct grant_holder *holder, uint64_t upstream_id);

/* Demand and answers; called on the coordination thread */

/** Sets the demand for an upstream. Call it after every change, with zeros
 * when nothing waits. @p waiting is the sum over all waiting requests, without
 * the running ones; @p largest is the demand of the largest waiting one. */
void grant_holder_set_demand(struct grant_holder *holder, uint64_t upstream_id,
    const struct capacity_amount *waiting,
    const struct capacity_amount *largest);
/** Records what warmup_classify() concluded from an answer of an upstream. */
void grant_holder_record_answer(struct grant_holder *holder,
    uint64_t upstream_id, uint64_t incarnation, enum warmup_class answer_class);
/** Call after the owner map was set to another epoch. */
void grant_holder_on_map_changed(struct grant_holder *holder);
/** Handles a message of type GRANT or QUERY. Errors: ERROR_STALE for another
 * process or epoch, ERROR_INVALID_ARGUMENT for another type, those of reading
 * the rows. */
enum error_code grant_holder_receive(struct grant_holder *holder,
    uint32_t from_host, const struct grant_reader *reader);

#endif
