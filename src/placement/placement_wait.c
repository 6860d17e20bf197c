/**
 * @file placement_wait.c
 * The queue of long prompts and the order in which they start.
 */
#include <string.h>

#include "placement/placement_parts.h"

/* Share by which the queue key falls while a prompt waits for its target. */
#define AGE_BONUS 0.7

/* Lowest key of prompts past their target, which start after the others. */
#define LATE_KEY UINT64_C(1000000000)

enum error_code
placement_wait_for(struct placement_queue_entry *entry,
    enum placement_wait wait, int64_t retry_ms)
{
	entry->wait = wait;
	entry->retry_ms = retry_ms;
	return ERROR_CHANGE_PENDING;
}

uint64_t
placement_queue_key(const struct placement_queue_entry *entry, int64_t now_ms)
{
	double age;

	if (entry->target_wait_ms <= 0)
		return LATE_KEY;
	age = (double)(now_ms - entry->arrived_ms) /
	      (double)entry->target_wait_ms;
	/* A prompt that has missed its target already gains least from starting
	 * next, so it goes after those that can still meet theirs. */
	if (age >= 1)
		return LATE_KEY + (uint64_t)entry->prefill_ms;
	return (uint64_t)(entry->prefill_ms * (1 - AGE_BONUS * MAX(age, 0)));
}

uint64_t
placement_min_queue_key(const struct placement_context *context,
    const struct placement_queue_entry *except)
{
	const GPtrArray *queue = context->placement->queue;
	const struct placement_queue_entry *entry;
	uint64_t min_key;
	guint i;

	min_key = context->peers.min_key;
	for (i = 0; i < queue->len; i++) {
		entry = g_ptr_array_index(queue, i);
		if (entry != except && entry->service == context->service)
			min_key = MIN(min_key,
			    placement_queue_key(entry, context->now_ms));
	}
	return min_key;
}

double
placement_queued_prefill_ms(struct placement *placement, uint64_t service,
    const struct peer_demand *peers)
{
	const struct placement_queue_entry *entry;
	double total;
	guint i;

	total = peers->queued_prefill_ms;
	for (i = 0; i < placement->queue->len; i++) {
		entry = g_ptr_array_index(placement->queue, i);
		if (entry->service == service)
			total += entry->prefill_ms;
	}
	return total;
}

void
placement_queue_leave(
    struct placement *placement, struct placement_queue_entry *entry)
{
	placement_slot_leave(placement, entry);
	if (entry->service != 0)
		g_ptr_array_remove_fast(placement->queue, entry);
	memset(entry, 0, sizeof(*entry));
}
