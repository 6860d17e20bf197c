/**
 * @file capacity_slot.h
 * This host's share of one upstream's capacity, counted with atomics.
 *
 * The coordination thread sets how much is granted to this host and until
 * when. Request threads acquire and release capacity without a lock. Acquiring
 * fails if it would exceed the grant or if the grant has expired. Capacity
 * acquired under an earlier grant stays counted until it is released.
 */
#ifndef CAPACITY_SLOT_H
#define CAPACITY_SLOT_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/error_code.h"

/** An amount of work on an upstream. */
struct capacity_amount {
	uint32_t requests;	 /**< Number of concurrent requests. */
	uint64_t prefill_tokens; /**< Prompt tokens that await prefill. */
	uint64_t kv_tokens;	 /**< KV cache memory, in tokens. */
};

/** Granted and used capacity on one upstream; all zero grants nothing. */
struct capacity_slot {
	/** Largest number of concurrent requests. */
	_Atomic uint32_t granted_requests;
	/** Largest number of prompt tokens in prefill at a time. */
	_Atomic uint64_t granted_prefill_tokens;
	/** Largest amount of KV cache memory, in tokens. */
	_Atomic uint64_t granted_kv_tokens;
	/** Monotonic time at which the grant expires. */
	_Atomic int64_t expires_ms;
	/** Requests acquired and not yet released. */
	_Atomic uint32_t used_requests;
	/** Prefill tokens acquired and not yet released. */
	_Atomic uint64_t used_prefill_tokens;
	/** KV tokens acquired and not yet released. */
	_Atomic uint64_t used_kv_tokens;
	/** Failed acquisitions since capacity_slot_take_refused(). */
	_Atomic uint32_t refused_count;
};

/* Called by the coordination thread */

/** Replaces the grant with @p granted, valid until @p expires_ms. */
void capacity_slot_grant(struct capacity_slot *slot,
    const struct capacity_amount *granted, int64_t expires_ms);
/** Returns the capacity that is acquired and not yet released. */
struct capacity_amount capacity_slot_used(const struct capacity_slot *slot);
/** Returns the number of failed acquisitions, a sign of unmet demand, and
 * resets it to 0. */
uint32_t capacity_slot_take_refused(struct capacity_slot *slot);

/* Called by request threads */

/** Acquires the whole amount or nothing. Errors: ERROR_NO_CAPACITY,
 * ERROR_LEASE_EXPIRED if the grant has expired by @p now_ms. */
enum error_code capacity_slot_acquire(struct capacity_slot *slot,
    const struct capacity_amount *amount, int64_t now_ms);
/** Releases an amount that capacity_slot_acquire() acquired. */
void capacity_slot_release(
    struct capacity_slot *slot, const struct capacity_amount *amount);

#endif
