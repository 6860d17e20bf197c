#include "coordination/rendezvous.h"

#include <glib.h>
#include <xxhash.h>

static int compare_weights(
    gconstpointer left, gconstpointer right, gpointer key);

uint64_t
rendezvous_weight(uint64_t key, uint32_t host_id)
{
	return XXH64(&host_id, sizeof(host_id), key);
}

uint32_t
rendezvous_pick(uint64_t key, const uint32_t *host_ids, uint32_t count)
{
	uint32_t best, i;

	if (count == 0)
		return 0;
	best = host_ids[0];
	for (i = 1; i < count; i++) {
		if (compare_weights(&host_ids[i], &best, &key) < 0)
			best = host_ids[i];
	}
	return best;
}

void
rendezvous_sort(uint64_t key, uint32_t *host_ids, uint32_t count)
{
	g_qsort_with_data(
	    host_ids, (gint)count, sizeof(*host_ids), compare_weights, &key);
}

/* Orders hosts by descending weight for the key, then by ascending id. */
static int
compare_weights(gconstpointer left, gconstpointer right, gpointer key)
{
	uint64_t left_weight, right_weight;
	uint32_t left_id, right_id;

	left_id = *(const uint32_t *)left;
	right_id = *(const uint32_t *)right;
	left_weight = rendezvous_weight(*(const uint64_t *)key, left_id);
	right_weight = rendezvous_weight(*(const uint64_t *)key, right_id);
	if (left_weight != right_weight)
		return left_weight > right_weight ? -1 : 1;
	if (left_id != right_id)
		return left_id < right_id ? -1 : 1;
	return 0;
}
