/**
 * @file kv_lease.h
 * KV memory that this host holds on upstreams, and what nobody holds.
 *
 * A lease begins before the upstream is asked for memory and ends only when
 * the upstream has confirmed the release or its incarnation is gone; until
 * then the release is repeated. The host that owns an upstream compares what
 * the upstream reports as held with what its holders know: the id of a
 * reservation names its host, which is asked; if that host does not know it,
 * or is off the live set, the owner releases it. Since a lease begins before
 * the upstream can hold it, an answer "not mine" is final, however late.
 */
#ifndef KV_LEASE_H
#define KV_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "coordination/owner_map.h"
#include "protocol/peer_port.h"
#include "transport/timer.h"

struct grant_reader;

/** What the memory is for. */
enum kv_lease_kind {
	KV_LEASE_RESERVATION = 1, /**< For a prompt to come. */
	KV_LEASE_EXPORT = 2,	  /**< Kept until another has taken it. */
	KV_LEASE_IMPORT = 3,	  /**< For what another hands over. */
};

/** Settings; see kv_lease_default_settings(). */
struct kv_lease_settings {
	uint32_t host_id;      /**< This host, part of each id. */
	uint32_t first_number; /**< Random, so that ids of an earlier process
				    are not used again. */
	uint32_t capacity;     /**< Leases at a time. */
	uint32_t suspects_max; /**< Reservations under question at a time. */
	int64_t gone_ms;    /**< A host off the live set for so long is dead. */
	int64_t retry_ms;   /**< Between repeats of a release. */
	int64_t reserve_ms; /**< After it, a call to reserve has either
				    reached the upstream or never will. */
};

/** To upstreams; answers come later, never from within a call. */
struct kv_lease_ops {
	/** Asks an upstream to release; the answer, if any, goes to
	 * kv_lease_note_released(). */
	void (*release)(void *context, uint64_t upstream_id,
	    uint64_t incarnation, uint64_t reservation_id);
	/** A lease has ended: the upstream holds nothing for it; or NULL. */
	void (*ended)(void *context, uint64_t reservation_id);
	void *context; /**< Passed back. */
};

/** The table. */
struct kv_lease_table {
	struct kv_lease_settings settings; /**< As given. */
	struct kv_lease_ops ops;	   /**< To upstreams. */
	struct timer_service *timers;	   /**< Time. */
	struct peer_port port;		   /**< To other hosts. */
	const struct owner_map *map;	   /**< Kept by the caller. */
	GHashTable *leases;		   /**< Own ones, by id. */
	GHashTable *suspects;		   /**< Of all hosts, by id. */
	uint32_t next_number;		   /**< Of the next id. */
	struct handle tick;		   /**< Repeats. */
	uint64_t orphans;		   /**< Released for others, in all. */
};

/* Setting up */

/** Settings for today's sizes. */
struct kv_lease_settings kv_lease_default_settings(
    uint32_t host_id, uint32_t first_number);
/** Prepares an empty table; @p map must outlive it. */
enum error_code kv_lease_init(struct kv_lease_table *table,
    const struct kv_lease_settings *settings, const struct kv_lease_ops *ops,
    struct timer_service *timers, struct peer_port port,
    const struct owner_map *map);
/** Gives back memory; releases nothing. */
void kv_lease_finish(struct kv_lease_table *table);

/* Leases of this host */

/** Begins a lease, before the upstream is asked; it is released by itself
 * at @p deadline_ms. Errors: ERROR_TABLE_FULL. */
enum error_code kv_lease_begin(struct kv_lease_table *table,
    uint64_t upstream_id, uint64_t incarnation, enum kv_lease_kind kind,
    uint64_t tokens, int64_t deadline_ms, uint64_t *reservation_id);
/** The upstream confirmed that it holds it. Errors: ERROR_NOT_FOUND,
 * ERROR_CANCELLED if it is being released already. */
enum error_code kv_lease_note_held(
    struct kv_lease_table *table, uint64_t reservation_id);
/** Releases it; repeated until it is confirmed. */
void kv_lease_release(struct kv_lease_table *table, uint64_t reservation_id);
/** The upstream confirmed the release; @p was_known is false if it did not
 * hold it, which does not count while the call to reserve may arrive yet. */
void kv_lease_note_released(
    struct kv_lease_table *table, uint64_t reservation_id, bool was_known);
/** An upstream's incarnation: what older ones held is gone. */
void kv_lease_note_incarnation(
    struct kv_lease_table *table, uint64_t upstream_id, uint64_t incarnation);
/** Leases in the table. */
uint32_t kv_lease_count(const struct kv_lease_table *table);
/** Tokens held or asked for on an upstream. */
uint64_t kv_lease_tokens(
    const struct kv_lease_table *table, uint64_t upstream_id);

/* Orphans */

/** What an upstream reports as held; only its owner acts on it. */
void kv_lease_note_report(struct kv_lease_table *table, uint64_t upstream_id,
    uint64_t incarnation, const uint64_t *reservation_ids, uint32_t count);
/** A message of type KV_QUERY or KV_ANSWER. */
enum error_code kv_lease_receive(struct kv_lease_table *table,
    uint32_t from_host, const struct grant_reader *reader);

#endif
