/*
 * When the level of the replicated state rises: once every host that votes, may
 * vote or follows knows it, and not before.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/random_source.h"
#include "coordination/level_plan.h"
#include "state/state_level.h"

#define START_MS 5000
#define LOOK_MS	 250
#define HOSTS	 7
#define RUNS	 200
#define LOOKS	 200

/* Looks for the rise of level 1 over some time; returns when it was proposed,
 * or 0 if it was not. */
static int64_t
look(const struct level_hosts *hosts, int64_t duration_ms)
{
	struct level_plan plan = {0};
	int64_t now_ms;

	for (now_ms = START_MS; now_ms <= START_MS + duration_ms;
	     now_ms += LOOK_MS) {
		if (level_plan_next(&plan, STATE_LEVEL_BASE, hosts,
			LEVEL_STABLE_MS, now_ms) != 0)
			return now_ms - START_MS;
	}
	return 0;
}

static void
test_level_of_builds_that_state_none(void **state)
{
	(void)state;
	assert_int_equal(level_of_build(0, false), STATE_LEVEL_BASE);
	assert_int_equal(level_of_build(0, true), STATE_LEVEL_PARTS);
	assert_int_equal(level_of_build(1, true), 1);
	assert_int_equal(level_of_build(7, true), 7);
	assert_int_equal(level_of_build(7, false), 7);
}

static void
test_level_rises_once_all_hosts_know_it(void **state)
{
	struct level_hosts hosts = {0};
	uint32_t id;

	(void)state;
	assert_int_equal(look(&hosts, 60000), 0);
	for (id = 1; id <= HOSTS; id++)
		level_hosts_add(&hosts, id, STATE_LEVEL_PARTS);
	assert_int_equal(look(&hosts, 60000), LEVEL_STABLE_MS);
	/* A voter of which nothing is known, and one of an earlier build. */
	level_hosts_add(&hosts, HOSTS + 1, 0);
	assert_int_equal(look(&hosts, 60000), 0);
	assert_int_equal(level_hosts_lowest(&hosts)->host_id, HOSTS + 1);
	hosts.items[HOSTS].level = STATE_LEVEL_BASE;
	assert_int_equal(look(&hosts, 60000), 0);
	hosts.items[HOSTS].level = STATE_LEVEL_PARTS;
	assert_int_equal(look(&hosts, 60000), LEVEL_STABLE_MS);
	/* The same host from two sources, of which one knows less. */
	level_hosts_add(&hosts, 3, 0);
	assert_int_equal(hosts.count, HOSTS + 1);
	assert_int_equal(look(&hosts, 60000), 0);
}

/* Hosts of a later build know more, but this one proposes what it knows. */
static void
test_no_level_is_proposed_that_this_build_does_not_know(void **state)
{
	struct level_hosts hosts = {0};
	struct level_plan plan = {0};

	(void)state;
	level_hosts_add(&hosts, 1, STATE_LEVEL_LATEST + 5);
	(void)level_plan_next(&plan, STATE_LEVEL_BASE, &hosts, 0, START_MS);
	assert_int_equal(
	    level_plan_next(&plan, STATE_LEVEL_BASE, &hosts, 0, START_MS),
	    STATE_LEVEL_LATEST);
	assert_int_equal(
	    level_plan_next(&plan, STATE_LEVEL_LATEST, &hosts, 0, START_MS), 0);
}

/* Hosts come and go in random order: whatever was proposed, all hosts of each
 * look of the last LEVEL_STABLE_MS knew it. */
static void
test_no_proposal_while_any_host_knew_less(void **state)
{
	struct random_source random;
	struct level_hosts hosts;
	struct level_plan plan;
	int64_t now_ms, low_ms;
	uint32_t run, step, id, level, proposed;

	(void)state;
	proposed = 0;
	random_init(&random, 3);
	for (run = 0; run < RUNS; run++) {
		memset(&plan, 0, sizeof(plan));
		now_ms = START_MS;
		low_ms = now_ms;
		for (step = 0; step < LOOKS; step++, now_ms += LOOK_MS) {
			memset(&hosts, 0, sizeof(hosts));
			for (id = 1; id <= HOSTS; id++) {
				level = random_below(&random, 60) == 0
					    ? random_below(&random, 2)
					    : STATE_LEVEL_PARTS;
				level_hosts_add(&hosts, id, level);
				if (level < STATE_LEVEL_PARTS)
					low_ms = now_ms;
			}
			if (level_plan_next(&plan, STATE_LEVEL_BASE, &hosts,
				LEVEL_STABLE_MS, now_ms) == 0)
				continue;
			proposed++;
			assert_true(now_ms - low_ms >= LEVEL_STABLE_MS);
		}
	}
	assert_true(proposed > RUNS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_level_of_builds_that_state_none),
	    cmocka_unit_test(test_level_rises_once_all_hosts_know_it),
	    cmocka_unit_test(
		test_no_level_is_proposed_that_this_build_does_not_know),
	    cmocka_unit_test(test_no_proposal_while_any_host_knew_less),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
