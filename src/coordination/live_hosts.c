#include "coordination/live_hosts.h"

#include <stdlib.h>
#include <string.h>

static bool has_host(const struct live_host_set *set, uint32_t host_id);
static void add_host(struct live_host_set *set, uint32_t host_id);
static bool is_absence_over(
    struct live_hosts *hosts, uint32_t host_id, int64_t now_ms);
static void clear_absence(struct live_hosts *hosts, uint32_t host_id);
static int compare_ids(const void *left, const void *right);

void
live_hosts_init(struct live_hosts *hosts, int64_t absence_wait_ms)
{
	memset(hosts, 0, sizeof(*hosts));
	hosts->absence_wait_ms = absence_wait_ms;
}

bool
live_hosts_plan(struct live_hosts *hosts, struct live_hosts_source source,
    const struct live_host_set *live, const struct live_host_set *committed,
    int64_t now_ms, struct live_host_set *wanted)
{
	enum live_host_status status;
	uint32_t i, host_id;
	bool differs;

	memset(wanted, 0, sizeof(*wanted));
	differs = false;
	for (i = 0; i < live->count; i++) {
		clear_absence(hosts, live->ids[i]);
		add_host(wanted, live->ids[i]);
		if (!has_host(committed, live->ids[i]))
			differs = true;
	}
	for (i = 0; i < committed->count; i++) {
		host_id = committed->ids[i];
		if (has_host(wanted, host_id))
			continue;
		status = source.get_status(source.context, host_id);
		if (status == LIVE_HOST_LEFT ||
		    (status == LIVE_HOST_DEAD &&
			is_absence_over(hosts, host_id, now_ms)))
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

/* True if a dead host has been absent for absence_wait_ms; records the start of
 * the absence when the host is first seen dead. */
static bool
is_absence_over(struct live_hosts *hosts, uint32_t host_id, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < hosts->absent_count; i++) {
		if (hosts->absent[i].host_id == host_id)
			return now_ms - hosts->absent[i].since_ms >=
			       hosts->absence_wait_ms;
	}
	if (hosts->absent_count < HOSTS_MAX) {
		hosts->absent[hosts->absent_count].host_id = host_id;
		hosts->absent[hosts->absent_count].since_ms = now_ms;
		hosts->absent_count++;
	}
	return false;
}

static void
clear_absence(struct live_hosts *hosts, uint32_t host_id)
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
