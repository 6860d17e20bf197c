#include "coordination/live_hosts.h"

#include <stdlib.h>
#include <string.h>

static bool has_host(const struct live_host_set *set, uint32_t host_id);
static void add_host(struct live_host_set *set, uint32_t host_id);
static bool is_waited_out(
    struct live_hosts *hosts, uint32_t host_id, int64_t now_ms);
static void forget_absence(struct live_hosts *hosts, uint32_t host_id);
static int compare_ids(const void *left, const void *right);

void
live_hosts_init(struct live_hosts *hosts, int64_t wait_ms)
{
	memset(hosts, 0, sizeof(*hosts));
	hosts->wait_ms = wait_ms;
}

bool
live_hosts_plan(struct live_hosts *hosts, struct live_hosts_source source,
    const struct live_host_set *seen, const struct live_host_set *committed,
    int64_t now_ms, struct live_host_set *wanted)
{
	enum live_host_sight sight;
	uint32_t i, host_id;
	bool differs;

	memset(wanted, 0, sizeof(*wanted));
	differs = false;
	for (i = 0; i < seen->count; i++) {
		forget_absence(hosts, seen->ids[i]);
		add_host(wanted, seen->ids[i]);
		if (!has_host(committed, seen->ids[i]))
			differs = true;
	}
	for (i = 0; i < committed->count; i++) {
		host_id = committed->ids[i];
		if (has_host(wanted, host_id))
			continue;
		sight = source.sight(source.context, host_id);
		if (sight == LIVE_HOST_LEFT ||
		    (sight == LIVE_HOST_DEAD &&
			is_waited_out(hosts, host_id, now_ms)))
			differs = true;
		else
			add_host(wanted, host_id);
	}
	qsort(wanted->ids, wanted->count, sizeof(wanted->ids[0]), compare_ids);
	return differs;
}

static bool
has_host(const struct live_host_set *set, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < set->count; i++) {
		if (set->ids[i] == host_id)
			return true;
	}
	return false;
}

static void
add_host(struct live_host_set *set, uint32_t host_id)
{
	if (set->count < HOSTS_MAX && !has_host(set, host_id))
		set->ids[set->count++] = host_id;
}

static bool
is_waited_out(struct live_hosts *hosts, uint32_t host_id, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < hosts->absent_count; i++) {
		if (hosts->absent[i].host_id == host_id)
			return now_ms - hosts->absent[i].since_ms >=
			       hosts->wait_ms;
	}
	if (hosts->absent_count < HOSTS_MAX) {
		hosts->absent[hosts->absent_count].host_id = host_id;
		hosts->absent[hosts->absent_count].since_ms = now_ms;
		hosts->absent_count++;
	}
	return false;
}

static void
forget_absence(struct live_hosts *hosts, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < hosts->absent_count; i++) {
		if (hosts->absent[i].host_id != host_id)
			continue;
		hosts->absent[i] = hosts->absent[--hosts->absent_count];
		return;
	}
}

static int
compare_ids(const void *left, const void *right)
{
	uint32_t first, second;

	first = *(const uint32_t *)left;
	second = *(const uint32_t *)right;
	return first < second ? -1 : first > second;
}
