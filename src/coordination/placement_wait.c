#include <string.h>

#include "coordination/placement_parts.h"

#define AGE_BONUS 0.7 /* Of its work, for one that waited for long. */
#define LATE_KEY  UINT64_C(1000000000) /* Keys of those that are late. */

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
placement_best_key(const struct placement_gathering *gathering,
    const struct placement_waiter *except)
{
	const GPtrArray *waiters = gathering->placement->waiters;
	const struct placement_waiter *waiter;
	uint64_t best;
	guint i;

	best = gathering->peers.best_key;
	for (i = 0; i < waiters->len; i++) {
		waiter = g_ptr_array_index(waiters, i);
		if (waiter != except && waiter->service == gathering->service)
			best = MIN(best,
			    placement_wait_key(waiter, gathering->now_ms));
	}
	return best;
}

double
placement_waiting_ms(struct placement *placement, uint64_t service,
    const struct peer_demand *peers)
{
	const struct placement_waiter *waiter;
	double total;
	guint i;

	total = peers->waiting_ms;
	for (i = 0; i < placement->waiters->len; i++) {
		waiter = g_ptr_array_index(placement->waiters, i);
		if (waiter->service == service)
			total += waiter->work_ms;
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
