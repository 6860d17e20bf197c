/**
 * @file grant_holder.h
 * The holder's side of capacity grants: keeps the slots of this host.
 *
 * It asks the owners of the upstreams in this host's subset for what is used
 * and wanted, renews while there is use, and gives back what is idle. A
 * grant's duration counts from when the ask was sent, so a host that was
 * frozen wakes up to grants that have run out.
 *
 * Before any message is handed in, the timer service must have been advanced.
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
	uint32_t host_id;      /**< This host. */
	uint64_t instance;     /**< Of this process; grows with each start. */
	int64_t renew_ms;      /**< Between asks for what is in use. */
	int64_t retry_ms;      /**< Between asks while demand is unmet. */
	int64_t batch_ms;      /**< Wait for more rows before asking. */
	int64_t idle_ms;       /**< Idle time after which it is returned. */
	int64_t gone_drain_ms; /**< Until engines have ended what an earlier
				    process of this host left running. */
	int64_t retire_ms;     /**< Keeps a dropped slot's memory. */
	uint32_t near_percent; /**< Use of a grant that is near its end. */
	uint32_t headroom_percent; /**< Asked for beyond use. */
	uint32_t upstreams_max;	   /**< Slots at a time. */
};

/** To whom it reports. */
struct grant_holder_ops {
	/** A slot's grant changed: waiting requests may try again. */
	void (*granted)(
	    void *context, uint64_t upstream_id, struct capacity_slot *slot);
	void *context; /**< Passed back. */
};

/** Counters for metrics. */
struct grant_holder_counters {
	uint64_t asks;	       /**< ASK messages sent. */
	uint64_t asked_rows;   /**< Rows in them. */
	uint64_t grants;       /**< Offers applied. */
	uint64_t stale_grants; /**< Offers too old or run out. */
};

/** The holder's part. */
struct grant_holder {
	struct grant_holder_settings settings; /**< As given. */
	struct grant_holder_ops ops;	       /**< To whom it reports. */
	struct timer_service *timers;	       /**< Time. */
	struct peer_port port;		       /**< To owners. */
	const struct owner_map *map;	       /**< Kept by the caller. */
	GHashTable *entries;		       /**< By upstream id. */
	GQueue *retired;		       /**< Slots kept for a while. */
	int64_t start_ms;		       /**< Sequences count from it. */
	uint64_t last_sequence;		       /**< Of the last ask. */
	struct handle tick;		       /**< Renews and returns. */
	struct handle flush;		       /**< Sends what is due. */
	struct grant_holder_counters counters; /**< For metrics. */
};

/* Setting up */

/** Settings for today's sizes. */
struct grant_holder_settings grant_holder_default_settings(
    uint32_t host_id, uint64_t instance);
/** Prepares the part; @p map must outlive it. */
enum error_code grant_holder_init(struct grant_holder *holder,
    const struct grant_holder_settings *settings,
    const struct grant_holder_ops *ops, struct timer_service *timers,
    struct peer_port port, const struct owner_map *map);
/** Gives back memory, slots too: request threads must have ended. */
void grant_holder_finish(struct grant_holder *holder);

/* The subset, on the coordination thread */

/** Opens an upstream of the subset; a newer incarnation gets a new slot (only
 * this call changes an upstream's slot). The
 * slot stays in memory until retire_ms after it was dropped, and longer while
 * something is taken. Errors: ERROR_TABLE_FULL, ERROR_STALE. */
enum error_code grant_holder_open(struct grant_holder *holder,
    uint64_t upstream_id, uint64_t incarnation, struct capacity_slot **slot);
/** Drops an upstream: it grants nothing from now on. */
void grant_holder_drop(struct grant_holder *holder, uint64_t upstream_id);
/** Slot of an open upstream, or NULL. */
struct capacity_slot *grant_holder_slot(
    const struct grant_holder *holder, uint64_t upstream_id);
/** Incarnation that the slot of an open upstream is for, or 0; a request
 * carries it, so that a restarted upstream can refuse it. */
uint64_t grant_holder_incarnation(
    const struct grant_holder *holder, uint64_t upstream_id);

/* Demand and evidence, on the coordination thread */

/** What waits for this upstream now beyond what runs, and the largest single
 * one; call again when it changes, with zeros when nothing waits. */
void grant_holder_want(struct grant_holder *holder, uint64_t upstream_id,
    const struct capacity_amount *waiting,
    const struct capacity_amount *largest);
/** What an answer said (warmup_judge()). */
void grant_holder_note_answer(struct grant_holder *holder, uint64_t upstream_id,
    uint64_t incarnation, enum warmup_verdict verdict);
/** The map was set to another epoch. */
void grant_holder_map_changed(struct grant_holder *holder);
/** A message of type GRANT or QUERY. */
enum error_code grant_holder_receive(struct grant_holder *holder,
    uint32_t from_host, const struct grant_reader *reader);

#endif
