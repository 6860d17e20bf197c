/**
 * @file placement_probe.c
 * The upstreams to which a host tries connections without a request: to find out
 * whether it reaches any, and whether a failed one is there again.
 */
#include "placement/placement_parts.h"

/* Longest time until the outcome of a probe is known. */
#define PROBE_TIME_MAX_MS 1000

static gint compare_progress(gconstpointer left, gconstpointer right);

uint32_t
placement_sample(
    const struct placement *placement, uint64_t *addresses, uint32_t max)
{
	struct placement_upstream *upstream;
	GHashTableIter iter;
	GPtrArray *usable;
	uint32_t count;

	usable = g_ptr_array_new();
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (placement_is_usable(
			placement, upstream->id, upstream->incarnation))
			g_ptr_array_add(usable, upstream);
	}
	g_ptr_array_sort(usable, compare_progress);
	for (count = 0; count < usable->len && count < max; count++) {
		upstream = g_ptr_array_index(usable, count);
		addresses[count] = upstream->address;
	}
	g_ptr_array_unref(usable);
	return count;
}

bool
placement_take_probe(struct placement *placement, int64_t now_ms, uint64_t *id,
    uint64_t *address)
{
	struct placement_upstream *upstream;
	GHashTableIter iter;

	if (!placement->has_probes_due)
		return false;
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!upstream->is_probe_due)
			continue;
		upstream->is_probe_due = false;
		/* Until the outcome is known. */
		upstream->ejected_until_ms = now_ms + PROBE_TIME_MAX_MS;
		*id = upstream->id;
		*address = upstream->address;
		return true;
	}
	placement->has_probes_due = false;
	return false;
}

/* Those that answered last come first: they are the least likely to have failed
 * themselves. */
static gint
compare_progress(gconstpointer left, gconstpointer right)
{
	const struct placement_upstream *first, *second;

	first = *(struct placement_upstream *const *)left;
	second = *(struct placement_upstream *const *)right;
	if (first->last_progress_ms != second->last_progress_ms)
		return first->last_progress_ms > second->last_progress_ms ? -1
									  : 1;
	return first->ejected_until_ms < second->ejected_until_ms   ? -1
	       : first->ejected_until_ms > second->ejected_until_ms ? 1
								    : 0;
}
