/**
 * @file retry_window.c
 * Retry budget over a sliding window that is divided into slots.
 */
#include "coordination/retry_window.h"

#include <string.h>

static void advance(struct retry_window *window, int64_t now_ms);
static uint32_t sum_slots(const uint32_t *slots);

void
retry_window_init(struct retry_window *window, double ratio, int64_t window_ms)
{
	memset(window, 0, sizeof(*window));
	window->ratio = ratio;
	/* One slot is added to those of the window, because the current slot is
	 * still incomplete. */
	window->slot_ms = window_ms / (RETRY_WINDOW_SLOTS - 1) + 1;
}

void
retry_window_record_request(struct retry_window *window, int64_t now_ms)
{
	advance(window, now_ms);
	window->requests[window->slot % RETRY_WINDOW_SLOTS]++;
}

bool
retry_window_allows(struct retry_window *window, double slack, int64_t now_ms)
{
	advance(window, now_ms);
	return sum_slots(window->retries) + 1 <=
	       sum_slots(window->requests) * window->ratio + slack;
}

void
retry_window_record_retry(struct retry_window *window, int64_t now_ms)
{
	advance(window, now_ms);
	window->retries[window->slot % RETRY_WINDOW_SLOTS]++;
}

/* Moves the window to the given time and clears the slots that it enters. */
static void
advance(struct retry_window *window, int64_t now_ms)
{
	int64_t slot, i;

	if (window->slot_ms == 0)
		return;
	slot = now_ms / window->slot_ms;
	if (slot - window->slot >= RETRY_WINDOW_SLOTS)
		window->slot = slot - RETRY_WINDOW_SLOTS;
	for (i = window->slot + 1; i <= slot; i++) {
		window->requests[i % RETRY_WINDOW_SLOTS] = 0;
		window->retries[i % RETRY_WINDOW_SLOTS] = 0;
	}
	if (slot > window->slot)
		window->slot = slot;
}

static uint32_t
sum_slots(const uint32_t *slots)
{
	uint32_t total, i;

	total = 0;
	for (i = 0; i < RETRY_WINDOW_SLOTS; i++)
		total += slots[i];
	return total;
}
