#include "state/capacity_slot.h"

#include <stdbool.h>

static bool is_within_grant(const struct capacity_slot *slot);
static bool acquire_requests(struct capacity_slot *slot, uint32_t amount);
static bool acquire_tokens(
    _Atomic uint64_t *used, _Atomic uint64_t *granted, uint64_t amount);

void
capacity_slot_grant(struct capacity_slot *slot,
    const struct capacity_amount *granted, int64_t expires_ms)
{
	atomic_store(&slot->granted_requests, granted->requests);
	atomic_store(&slot->granted_prefill_tokens, granted->prefill_tokens);
	atomic_store(&slot->granted_kv_tokens, granted->kv_tokens);
	atomic_store(&slot->expires_ms, expires_ms);
}

struct capacity_amount
capacity_slot_used(const struct capacity_slot *slot)
{
	struct capacity_amount used;

	used.requests = atomic_load(&slot->used_requests);
	used.prefill_tokens = atomic_load(&slot->used_prefill_tokens);
	used.kv_tokens = atomic_load(&slot->used_kv_tokens);
	return used;
}

uint32_t
capacity_slot_take_refused(struct capacity_slot *slot)
{
	return atomic_exchange(&slot->refused_count, 0);
}

enum error_code
capacity_slot_acquire(struct capacity_slot *slot,
    const struct capacity_amount *amount, int64_t now_ms)
{
	if (now_ms >= atomic_load(&slot->expires_ms)) {
		atomic_fetch_add(&slot->refused_count, 1);
		return ERROR_LEASE_EXPIRED;
	}
	if (!acquire_requests(slot, amount->requests))
		goto refused;
	if (!acquire_tokens(&slot->used_prefill_tokens,
		&slot->granted_prefill_tokens, amount->prefill_tokens))
		goto release_requests;
	if (!acquire_tokens(&slot->used_kv_tokens, &slot->granted_kv_tokens,
		amount->kv_tokens))
		goto release_prefill;
	/* Checks again, as the coordination thread may have lowered the grant
	 * since the first check; a lower grant takes effect at once. */
	if (is_within_grant(slot) && now_ms < atomic_load(&slot->expires_ms))
		return ERROR_NONE;
	atomic_fetch_sub(&slot->used_kv_tokens, amount->kv_tokens);

release_prefill:
	atomic_fetch_sub(&slot->used_prefill_tokens, amount->prefill_tokens);
release_requests:
	atomic_fetch_sub(&slot->used_requests, amount->requests);
refused:
	atomic_fetch_add(&slot->refused_count, 1);
	return ERROR_NO_CAPACITY;
}

void
capacity_slot_release(
    struct capacity_slot *slot, const struct capacity_amount *amount)
{
	atomic_fetch_sub(&slot->used_requests, amount->requests);
	atomic_fetch_sub(&slot->used_prefill_tokens, amount->prefill_tokens);
	atomic_fetch_sub(&slot->used_kv_tokens, amount->kv_tokens);
}

static bool
is_within_grant(const struct capacity_slot *slot)
{
	return atomic_load(&slot->used_requests) <=
		   atomic_load(&slot->granted_requests) &&
	       atomic_load(&slot->used_prefill_tokens) <=
		   atomic_load(&slot->granted_prefill_tokens) &&
	       atomic_load(&slot->used_kv_tokens) <=
		   atomic_load(&slot->granted_kv_tokens);
}

static bool
acquire_requests(struct capacity_slot *slot, uint32_t amount)
{
	uint32_t used;

	used = atomic_load(&slot->used_requests);
	do {
		if (used + amount > atomic_load(&slot->granted_requests))
			return false;
	} while (!atomic_compare_exchange_weak(
	    &slot->used_requests, &used, used + amount));
	return true;
}

static bool
acquire_tokens(
    _Atomic uint64_t *used, _Atomic uint64_t *granted, uint64_t amount)
{
	uint64_t now_used;

	now_used = atomic_load(used);
	do {
		if (now_used + amount > atomic_load(granted))
			return false;
	} while (
	    !atomic_compare_exchange_weak(used, &now_used, now_used + amount));
	return true;
}
