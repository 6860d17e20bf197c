#include "coordination/upstream_path.h"

/* Time between the beginnings of two tests. */
#define TEST_PERIOD_MS 500

bool
upstream_path_record_connected(struct upstream_path *path)
{
	bool was_lost = path->state == UPSTREAM_PATH_LOST;

	path->state = UPSTREAM_PATH_OPEN;
	path->suspect_count = 0;
	path->lost_ms = 0;
	return was_lost;
}

void
upstream_path_record_unreached(
    struct upstream_path *path, uint64_t upstream_id, int64_t now_ms)
{
	uint32_t i;

	if (path->state != UPSTREAM_PATH_OPEN)
		return;
	for (i = 0; i < path->suspect_count; i++) {
		if (path->suspects[i] == upstream_id)
			return;
	}
	path->suspects[path->suspect_count++] = upstream_id;
	if (path->suspect_count < UPSTREAM_PATH_SUSPECTS)
		return;
	path->state = UPSTREAM_PATH_SUSPECTED;
	if (path->next_test_ms < now_ms)
		path->next_test_ms = now_ms;
}

bool
upstream_path_is_test_due(const struct upstream_path *path, int64_t now_ms)
{
	return path->state != UPSTREAM_PATH_OPEN && path->tests_running == 0 &&
	       now_ms >= path->next_test_ms;
}

void
upstream_path_begin_test(
    struct upstream_path *path, uint32_t count, int64_t now_ms)
{
	path->tests_running = count;
	path->next_test_ms = now_ms + TEST_PERIOD_MS;
}

bool
upstream_path_end_test(struct upstream_path *path, int64_t now_ms)
{
	if (path->tests_running > 0)
		path->tests_running--;
	if (path->tests_running > 0 || path->state != UPSTREAM_PATH_SUSPECTED)
		return false;
	path->state = UPSTREAM_PATH_LOST;
	path->lost_ms = now_ms;
	return true;
}
