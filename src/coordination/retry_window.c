#include "coordination/retry_window.h"

#include <string.h>

static void advance(struct retry_window *window, int64_t now_ms);
static uint32_t sum(const uint32_t *slots);

void
retry_window_init(struct retry_window *window, double ratio, int64_t window_ms)
{
	memset(window, 0, sizeof(*window));
	window->ratio = ratio;
	/* One slot more than the window is always partly over. */
	window->slot_ms = window_ms / (RETRY_WINDOW_SLOTS - 1) + 1;
}

void
retry_window_note_request(struct retry_window *window, int64_t now_ms)
{
	advance(window, now_ms);
	window->requests[window->slot % RETRY_WINDOW_SLOTS]++;
}

bool
retry_window_allows(struct retry_window *window, double slack, int64_t now_ms)
{
	advance(window, now_ms);
	return sum(window->retries) + 1 <=
	       sum(window->requests) * window->ratio + slack;
}

void
retry_window_note_retry(struct retry_window *window, int64_t now_ms)
{
	advance(window, now_ms);
	window->retries[window->slot % RETRY_WINDOW_SLOTS]++;
}

static void
advance(struct retry_window *window, int64_t now_ms)
{
	int64_t slot, at;

	if (window->slot_ms == 0)
		return;
	slot = now_ms / window->slot_ms;
	if (slot - window->slot >= RETRY_WINDOW_SLOTS)
		window->slot = slot - RETRY_WINDOW_SLOTS;
	for (at = window->slot + 1; at <= slot; at++) {
		window->requests[at % RETRY_WINDOW_SLOTS] = 0;
		window->retries[at % RETRY_WINDOW_SLOTS] = 0;
	}
	if (slot > window->slot)
		window->slot = slot;
}

static uint32_t
sum(const uint32_t *slots)
{
	uint32_t total, i;

	total = 0;
	for (i = 0; i < RETRY_WINDOW_SLOTS; i++)
		total += slots[i];
	return total;
}
