/*
 * Tests of the plan that adds hosts to the set of live hosts or removes them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/live_hosts.h"

#define WAIT_MS 2500 /* Time after which a dead host is removed. */

static enum live_host_status
report_all_dead(void *context, uint32_t host_id)
{
	(void)context;
	(void)host_id;
	return LIVE_HOST_DEAD;
}

static enum live_host_status
report_host_2_left(void *context, uint32_t host_id)
{
	(void)context;
	return host_id == 2 ? LIVE_HOST_LEFT : LIVE_HOST_DEAD;
}

/* A dead host may still hold a configuration lease, so it is removed only when
 * the lease must have expired. */
static void
test_dead_host_is_removed_after_wait(void **state)
{
	struct live_hosts_source source = {report_all_dead, NULL};
	struct live_host_set seen = {2, {3, 1}};
	struct live_host_set committed = {3, {1, 2, 3}};
	struct live_host_set wanted;
	struct live_hosts hosts;

	(void)state;
	live_hosts_init(&hosts, WAIT_MS);
	assert_false(
	    live_hosts_plan(&hosts, source, &seen, &committed, 1000, &wanted));
	assert_int_equal(wanted.count, 3);
	assert_false(live_hosts_plan(
	    &hosts, source, &seen, &committed, 1000 + WAIT_MS - 1, &wanted));
	assert_true(live_hosts_plan(
	    &hosts, source, &seen, &committed, 1000 + WAIT_MS, &wanted));
	assert_int_equal(wanted.count, 2);
	assert_int_equal(wanted.ids[0], 1);
	assert_int_equal(wanted.ids[1], 3);
}

/* When a host is seen again in between, its absence is counted from zero. */
static void
test_return_restarts_the_wait(void **state)
{
	struct live_hosts_source source = {report_all_dead, NULL};
	struct live_host_set seen = {1, {1}};
	struct live_host_set both = {2, {1, 2}};
	struct live_host_set wanted;
	struct live_hosts hosts;

	(void)state;
	live_hosts_init(&hosts, WAIT_MS);
	assert_false(live_hosts_plan(&hosts, source, &seen, &both, 0, &wanted));
	assert_false(
	    live_hosts_plan(&hosts, source, &both, &both, 2000, &wanted));
	assert_false(
	    live_hosts_plan(&hosts, source, &seen, &both, 2400, &wanted));
	assert_false(
	    live_hosts_plan(&hosts, source, &seen, &both, 3000, &wanted));
	assert_true(live_hosts_plan(
	    &hosts, source, &seen, &both, 2400 + WAIT_MS, &wanted));
}

static void
test_joins_and_planned_leaves_need_no_wait(void **state)
{
	struct live_hosts_source source = {report_host_2_left, NULL};
	struct live_host_set seen = {2, {1, 9}};
	struct live_host_set committed = {2, {1, 2}};
	struct live_host_set wanted;
	struct live_hosts hosts;

	(void)state;
	live_hosts_init(&hosts, WAIT_MS);
	assert_true(
	    live_hosts_plan(&hosts, source, &seen, &committed, 0, &wanted));
	assert_int_equal(wanted.count, 2);
	assert_int_equal(wanted.ids[1], 9);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_dead_host_is_removed_after_wait),
	    cmocka_unit_test(test_return_restarts_the_wait),
	    cmocka_unit_test(test_joins_and_planned_leaves_need_no_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
