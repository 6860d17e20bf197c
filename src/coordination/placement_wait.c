#include <string.h>

#include "coordination/placement_parts.h"

#define REPORT_LIFE_MS 3000 /* An older report says nothing more. */
#define AGE_BONUS      0.7  /* Of its work, for one that waited for long. */
#define LATE_KEY       UINT64_C(1000000000) /* Keys of those that are late. */

uint64_t
placement_wait_key(const struct placement_waiter *waiter, int64_t now_ms)
{
	double age;

	if (waiter->goal_ms <= 0)
		return LATE_KEY;
	age = (double)(now_ms - waiter->since_ms) / (double)waiter->goal_ms;
	/* One that is late already gains least by being next. */
	if (age >= 1)
		return LATE_KEY + (uint64_t)waiter->work_ms;
	return (uint64_t)(waiter->work_ms * (1 - AGE_BONUS * MAX(age, 0)));
}

uint64_t
placement_best_key(struct placement *placement, uint64_t service,
    const struct placement_waiter *except, int64_t now_ms)
{
	const struct placement_waiter *waiter;
	const struct peer_work *peer;
	GHashTableIter iter;
	uint64_t best;
	guint i;

	best = UINT64_MAX;
	for (i = 0; i < placement->waiters->len; i++) {
		waiter = g_ptr_array_index(placement->waiters, i);
		if (waiter != except && waiter->service == service)
			best = MIN(best, placement_wait_key(waiter, now_ms));
	}
	g_hash_table_iter_init(&iter, placement->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (now_ms - peer->taken_ms >= REPORT_LIFE_MS)
			continue;
		for (i = 0; i < peer->report.demand_count; i++) {
			if (peer->report.demands[i].service == service)
				best =
				    MIN(best, peer->report.demands[i].best_key);
		}
	}
	return best;
}

double
placement_waiting_ms(
    struct placement *placement, uint64_t service, int64_t now_ms)
{
	const struct placement_waiter *waiter;
	const struct peer_work *peer;
	GHashTableIter iter;
	double total;
	guint i;

	total = 0;
	for (i = 0; i < placement->waiters->len; i++) {
		waiter = g_ptr_array_index(placement->waiters, i);
		if (waiter->service == service)
			total += waiter->work_ms;
	}
	g_hash_table_iter_init(&iter, placement->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (now_ms - peer->taken_ms >= REPORT_LIFE_MS)
			continue;
		for (i = 0; i < peer->report.demand_count; i++) {
			if (peer->report.demands[i].service == service)
				total +=
				    (double)peer->report.demands[i].waiting_ms;
		}
	}
	return total;
}

void
placement_wait_end(struct placement *placement, struct placement_waiter *waiter)
{
	if (waiter->service == 0)
		return;
	g_ptr_array_remove_fast(placement->waiters, waiter);
	memset(waiter, 0, sizeof(*waiter));
}
