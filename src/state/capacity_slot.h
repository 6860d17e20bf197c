/**
 * @file capacity_slot.h
 * What this host may have running on one upstream, taken by atomics.
 *
 * The coordination thread writes what was granted and until when; request
 * threads take and give back without a lock. A slot never lets more be taken
 * than its grant, and nothing after the grant has run out. What was taken
 * under a grant stays counted until it is given back.
 */
#ifndef CAPACITY_SLOT_H
#define CAPACITY_SLOT_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/error_code.h"

/** An amount of work on an upstream. */
struct capacity_amount {
	uint32_t requests;	 /**< Requests at a time. */
	uint64_t prefill_tokens; /**< Prompt tokens before the first token. */
	uint64_t kv_tokens;	 /**< KV memory, in tokens. */
};

/** The slot. Zero grants nothing. */
struct capacity_slot {
	_Atomic uint32_t granted_requests;	 /**< May run at a time. */
	_Atomic uint64_t granted_prefill_tokens; /**< May be in prefill. */
	_Atomic uint64_t granted_kv_tokens;	 /**< May be held. */
	_Atomic int64_t expires_ms;		 /**< End of the grant. */
	_Atomic uint32_t used_requests;		 /**< Taken now. */
	_Atomic uint64_t used_prefill_tokens;	 /**< Taken now. */
	_Atomic uint64_t used_kv_tokens;	 /**< Taken now. */
	_Atomic uint32_t refused; /**< Takes refused since read. */
};

/* Coordination thread */

/** Sets what may be taken from now on, until @p expires_ms. */
void capacity_slot_grant(struct capacity_slot *slot,
    const struct capacity_amount *granted, int64_t expires_ms);
/** Reads what is taken now. */
struct capacity_amount capacity_slot_used(const struct capacity_slot *slot);
/** Reads and clears the count of refused takes: demand that was not met. */
uint32_t capacity_slot_read_refused(struct capacity_slot *slot);

/* Request threads */

/** Takes all of an amount or nothing. Errors: ERROR_NO_CAPACITY,
 * ERROR_LEASE_EXPIRED. */
enum error_code capacity_slot_take(struct capacity_slot *slot,
    const struct capacity_amount *amount, int64_t now_ms);
/** Gives back what was taken. */
void capacity_slot_give(
    struct capacity_slot *slot, const struct capacity_amount *amount);

#endif
