/**
 * @file kv_lease.h
 * Leases of KV memory that this host has reserved on upstreams, and the release
 * of reservations that no host knows any more (orphans).
 *
 * A lease begins before the upstream is asked to reserve memory. It ends only
 * when the upstream has confirmed the release or its incarnation has ended;
 * until then the release is repeated.
 *
 * Upstreams report which reservations they hold. The host that owns an upstream
 * checks them: the id of a reservation contains the host that made it, and that
 * host is queried. If it does not know the reservation, or has been off the
 * live set for long enough, the owner releases it. As a lease begins before the
 * upstream can hold the memory, a negative answer is final, however late it
 * arrives.
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

/** Purpose of reserved KV memory. */
enum kv_lease_kind {
	/** Memory for the prompt of a future request. */
	KV_LEASE_RESERVATION = 1,
	KV_LEASE_EXPORT = 2, /**< Kept until another upstream has copied it. */
	KV_LEASE_IMPORT = 3, /**< Memory for a copy from another upstream. */
};

/** Settings; see kv_lease_default_settings(). */
struct kv_lease_settings {
	uint32_t host_id;	  /**< Id of this host, part of each
				       reservation id. */
	uint32_t first_id_number; /**< Number in the first reservation id;
				       random, so that ids of an earlier
				       process are not used again. */
	uint32_t leases_max;	  /**< Largest number of leases. */
	uint32_t suspects_max;	  /**< Largest number of reservations that are
				    checked for being orphans. */
	int64_t host_dead_ms; /**< Time off the live set after which a host is
				    taken for dead. */
	int64_t retry_ms;     /**< Interval between repeated releases and
				    queries. */
	int64_t reserve_call_max_ms; /**< Time after which a call to reserve
					  has reached the upstream or never
					  will. */
};

/** Callbacks. They must return before answers of upstreams are passed in. */
struct kv_lease_ops {
	/** Sends a release to an upstream. If the upstream answers, the caller
	 * passes the result to kv_lease_record_released(). */
	void (*send_release)(void *context, uint64_t upstream_id,
	    uint64_t incarnation, uint64_t reservation_id);
	/** A lease has ended: the upstream holds nothing for it. May be
	 * NULL. */
	void (*on_ended)(void *context, uint64_t reservation_id);
	void *context; /**< First argument of the callbacks. */
};

/** Table of leases and of reservations being checked. */
struct kv_lease_table {
	struct kv_lease_settings settings; /**< Copy of the settings. */
	struct kv_lease_ops ops;	   /**< Callbacks. */
	struct timer_service *timers;	   /**< Clock and timers in use. */
	struct peer_port port;	     /**< Sends messages to other hosts. */
	const struct owner_map *map; /**< Map of owners; the caller's. */
	GHashTable *leases;	     /**< This host's leases, by id. */
	GHashTable *suspects;	  /**< Reservations of any host that are checked
				   for being orphans, by id. */
	uint32_t next_id_number;  /**< Number in the next reservation id. */
	struct handle tick_timer; /**< Repeats releases and queries. */
	uint64_t orphans_released; /**< Orphans found since the start. */
};

/* Setting up */

/** Returns the default settings. @p first_number is the random number of the
 * first reservation id. */
struct kv_lease_settings kv_lease_default_settings(
    uint32_t host_id, uint32_t first_number);
/** Initialises an empty table; @p map must outlive it. Errors:
 * ERROR_INVALID_ARGUMENT, those of timer_subscribe_every(). */
enum error_code kv_lease_init(struct kv_lease_table *table,
    const struct kv_lease_settings *settings, const struct kv_lease_ops *ops,
    struct timer_service *timers, struct peer_port port,
    const struct owner_map *map);
/** Frees the table; releases nothing on upstreams. */
void kv_lease_finish(struct kv_lease_table *table);

/* Leases of this host */

/** Begins a lease; call it before the upstream is asked to reserve. The lease
 * is released at @p deadline_ms if nothing else releases it earlier.
 * @p reservation_id gets the id to pass to the upstream. Errors:
 * ERROR_TABLE_FULL. */
enum error_code kv_lease_begin(struct kv_lease_table *table,
    uint64_t upstream_id, uint64_t incarnation, enum kv_lease_kind kind,
    uint64_t tokens, int64_t deadline_ms, uint64_t *reservation_id);
/** Records that the upstream confirmed the reservation. Errors:
 * ERROR_NOT_FOUND, ERROR_CANCELLED if it is already being released. */
enum error_code kv_lease_record_held(
    struct kv_lease_table *table, uint64_t reservation_id);
/** Releases a lease; the release is repeated until it is confirmed. */
void kv_lease_release(struct kv_lease_table *table, uint64_t reservation_id);
/** Records that the upstream answered a release. @p was_known is false if the
 * upstream did not hold the reservation. That ends the lease only if no call
 * to reserve can arrive any more. */
void kv_lease_record_released(
    struct kv_lease_table *table, uint64_t reservation_id, bool was_known);
/** Ends the leases and checks of older incarnations of an upstream: what these
 * held is gone. */
void kv_lease_set_incarnation(
    struct kv_lease_table *table, uint64_t upstream_id, uint64_t incarnation);
/** Returns the number of leases. */
uint32_t kv_lease_count(const struct kv_lease_table *table);
/** Returns the tokens of all leases on an upstream, confirmed or not. */
uint64_t kv_lease_tokens(
    const struct kv_lease_table *table, uint64_t upstream_id);

/* Orphans */

/** Checks the reservations that an upstream reports as held. Does nothing
 * unless this host owns the upstream. */
void kv_lease_check_held(struct kv_lease_table *table, uint64_t upstream_id,
    uint64_t incarnation, const uint64_t *reservation_ids, uint32_t count);
/** Handles a message of type KV_QUERY or KV_ANSWER. Errors: those of reading
 * the rows. */
enum error_code kv_lease_receive(struct kv_lease_table *table,
    uint32_t from_host, const struct grant_reader *reader);

#endif
