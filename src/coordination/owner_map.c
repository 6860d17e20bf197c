#include "coordination/owner_map.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/rendezvous.h"

static int compare_hosts(const void *left, const void *right);
static enum owner_map_change find_change(const struct owner_map *old,
    uint64_t epoch, const struct owner_map *new_map);

void
owner_map_init(struct owner_map *map)
{
	memset(map, 0, sizeof(*map));
}

enum error_code
owner_map_set(struct owner_map *map, uint64_t epoch, const uint32_t *hosts,
    uint32_t count, enum owner_map_change *change)
{
	struct owner_map next;
	uint32_t i;

	if (epoch == 0 || epoch < map->epoch)
		return ERROR_STALE;
	if (count > HOSTS_MAX)
		return ERROR_TABLE_FULL;
	for (i = 0; i < count; i++) {
		if (hosts[i] == OWNER_NONE)
			return ERROR_INVALID_ARGUMENT;
	}
	*change = OWNER_MAP_UNCHANGED;
	if (epoch == map->epoch)
		return ERROR_NONE;
	owner_map_init(&next);
	next.epoch = epoch;
	next.host_count = count;
	if (count > 0)
		memcpy(next.hosts, hosts, count * sizeof(*hosts));
	qsort(next.hosts, count, sizeof(*hosts), compare_hosts);
	*change = find_change(map, epoch, &next);
	*map = next;
	return ERROR_NONE;
}

uint32_t
owner_map_owner(const struct owner_map *map, uint64_t upstream_id)
{
	return rendezvous_pick(upstream_id, map->hosts, map->host_count);
}

bool
owner_map_has(const struct owner_map *map, uint32_t host_id)
{
	return bsearch(&host_id, map->hosts, map->host_count, sizeof(host_id),
		   compare_hosts) != NULL;
}

static int
compare_hosts(const void *left, const void *right)
{
	const uint32_t *first = left, *second = right;

	return (*first > *second) - (*first < *second);
}

/* Returns how the new set differs from the old one, OWNER_MAP_SKIPPED unless
 * its epoch is the next one. */
static enum owner_map_change
find_change(const struct owner_map *old, uint64_t epoch,
    const struct owner_map *new_map)
{
	uint32_t i;

	if (old->epoch == 0 || epoch != old->epoch + 1)
		return OWNER_MAP_SKIPPED;
	for (i = 0; i < new_map->host_count; i++) {
		if (!owner_map_has(old, new_map->hosts[i]))
			return OWNER_MAP_JOINED;
	}
	return OWNER_MAP_REMOVED;
}
