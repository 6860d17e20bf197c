#include "state/capacity_slot.h"

#include <stdbool.h>

static bool is_within(const struct capacity_slot *slot);
static bool take_requests(struct capacity_slot *slot, uint32_t amount);
static bool take_tokens(
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
capacity_slot_read_refused(struct capacity_slot *slot)
{
	return atomic_exchange(&slot->refused, 0);
}

enum error_code
capacity_slot_take(struct capacity_slot *slot,
    const struct capacity_amount *amount, int64_t now_ms)
{
	if (now_ms >= atomic_load(&slot->expires_ms)) {
		atomic_fetch_add(&slot->refused, 1);
		return ERROR_LEASE_EXPIRED;
	}
	if (!take_requests(slot, amount->requests))
		goto refused;
	if (!take_tokens(&slot->used_prefill_tokens,
		&slot->granted_prefill_tokens, amount->prefill_tokens))
		goto give_requests;
	if (!take_tokens(&slot->used_kv_tokens, &slot->granted_kv_tokens,
		amount->kv_tokens))
		goto give_prefill;
	/* A grant that was lowered meanwhile must count at once. */
	if (is_within(slot) && now_ms < atomic_load(&slot->expires_ms))
		return ERROR_NONE;
	atomic_fetch_sub(&slot->used_kv_tokens, amount->kv_tokens);

give_prefill:
	atomic_fetch_sub(&slot->used_prefill_tokens, amount->prefill_tokens);
give_requests:
	atomic_fetch_sub(&slot->used_requests, amount->requests);
refused:
	atomic_fetch_add(&slot->refused, 1);
	return ERROR_NO_CAPACITY;
}

void
capacity_slot_give(
    struct capacity_slot *slot, const struct capacity_amount *amount)
{
	atomic_fetch_sub(&slot->used_requests, amount->requests);
	atomic_fetch_sub(&slot->used_prefill_tokens, amount->prefill_tokens);
	atomic_fetch_sub(&slot->used_kv_tokens, amount->kv_tokens);
}

static bool
is_within(const struct capacity_slot *slot)
{
	return atomic_load(&slot->used_requests) <=
		   atomic_load(&slot->granted_requests) &&
	       atomic_load(&slot->used_prefill_tokens) <=
		   atomic_load(&slot->granted_prefill_tokens) &&
	       atomic_load(&slot->used_kv_tokens) <=
		   atomic_load(&slot->granted_kv_tokens);
}

static bool
take_requests(struct capacity_slot *slot, uint32_t amount)
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
take_tokens(_Atomic uint64_t *used, _Atomic uint64_t *granted, uint64_t amount)
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
