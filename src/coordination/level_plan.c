#include "coordination/level_plan.h"

#include <stddef.h>

#include "state/state_level.h"

uint32_t
level_of_build(uint32_t stated, bool is_numbering_links)
{
	if (stated != STATE_LEVEL_NOT_STATED)
		return stated;
	/* The numbers of links came after the commands of this level. */
	return is_numbering_links ? STATE_LEVEL_PARTS : STATE_LEVEL_BASE;
}

void
level_hosts_add(struct level_hosts *hosts, uint32_t host_id, uint32_t level)
{
	uint32_t i;

	for (i = 0; i < hosts->count; i++) {
		if (hosts->items[i].host_id != host_id)
			continue;
		if (level < hosts->items[i].level)
			hosts->items[i].level = level;
		return;
	}
	if (hosts->count == LEVEL_HOSTS_MAX)
		return;
	hosts->items[hosts->count].host_id = host_id;
	hosts->items[hosts->count++].level = level;
}

const struct level_host *
level_hosts_lowest(const struct level_hosts *hosts)
{
	const struct level_host *lowest;
	uint32_t i;

	lowest = NULL;
	for (i = 0; i < hosts->count; i++) {
		if (lowest == NULL || hosts->items[i].level < lowest->level)
			lowest = &hosts->items[i];
	}
	return lowest;
}

uint32_t
level_plan_next(struct level_plan *plan, uint32_t in_force,
    const struct level_hosts *hosts, int64_t stable_ms, int64_t now_ms)
{
	const struct level_host *lowest;
	uint32_t level;

	lowest = level_hosts_lowest(hosts);
	level = lowest == NULL ? 0 : lowest->level;
	if (level > STATE_LEVEL_LATEST)
		level = STATE_LEVEL_LATEST;
	if (level <= in_force) {
		plan->level = 0;
		return 0;
	}
	if (plan->level != level) {
		plan->level = level;
		plan->since_ms = now_ms;
	}
	return now_ms - plan->since_ms >= stable_ms ? level : 0;
}
