/*
 * Tests of the upstream directory over a simulated net: all hosts list the
 * same upstreams, and only those that run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "host_group.h"

#define PROPAGATION_MS 2000 /* Time until all hosts know a change. */
/* Time until all hosts know that an upstream is gone: the home's death is
 * found, another host becomes home, the record expires, and this spreads. */
#define EXPIRE_MS 33000
#define AGREE_MS  40000 /* Time after the last fault until lists agree. */
#define UPSTREAMS 12
#define SCHEDULES 25
#define EVENTS	  30

/* The state of an upstream itself, which the hosts should list. */
struct upstream {
	struct upstream_record record;
	bool is_running, has_left;
	uint32_t home; /* Host that takes the upstream's renewals. */
};

static void
init_upstream(struct upstream *upstream, uint32_t number)
{
	memset(upstream, 0, sizeof(*upstream));
	snprintf(upstream->record.name, NAME_SIZE_MAX, "engine-%u", number);
	snprintf(upstream->record.url, URL_SIZE_MAX, "http://10.1.0.1:8000");
	upstream->record.id = upstream_id(upstream->record.name);
	upstream->record.incarnation = 1;
	upstream->record.sequence = 1;
	upstream->record.kind = UPSTREAM_KIND_MODEL;
	upstream->record.model_count = 1;
	upstream->record.label_count = 1;
	snprintf(upstream->record.models[0], NAME_SIZE_MAX, "model");
	snprintf(upstream->record.labels[0].key, NAME_SIZE_MAX, "zone");
	snprintf(upstream->record.labels[0].value, NAME_SIZE_MAX, "prairie");
}

static struct upstream_directory *
directory_of(struct host_group *group, uint32_t id)
{
	return &group->hosts[id - 1].directory;
}

/* Returns true if every host that is awake lists the upstream in that state. A
 * host without a record counts as listing it as gone. */
static bool
all_hosts_list(struct host_group *group, uint64_t id, enum upstream_state state)
{
	const struct upstream_record *record;
	uint32_t host;

	for (host = 1; host <= GROUP_HOSTS; host++) {
		if (!host_group_is_running(group, host))
			continue;
		record = upstream_directory_find(directory_of(group, host), id);
		if ((record == NULL ? UPSTREAM_STATE_GONE : record->state) !=
		    state)
			return false;
	}
	return true;
}

/* Renews the upstream at its home, or at the next host that is awake. If the
 * renewal fails, announces the upstream there. */
static void
upstream_tick(struct host_group *group, struct upstream *upstream)
{
	const struct upstream_record *record = &upstream->record;
	struct upstream_directory *directory;
	uint32_t attempts;

	if (!upstream->is_running)
		return;
	for (attempts = 0; attempts < GROUP_HOSTS; attempts++) {
		if (host_group_is_running(group, upstream->home))
			break;
		upstream->home = upstream->home % GROUP_HOSTS + 1;
	}
	if (attempts == GROUP_HOSTS)
		return;
	directory = directory_of(group, upstream->home);
	if (upstream_directory_renew(
		directory, record->id, record->incarnation) != ERROR_NONE)
		(void)upstream_directory_announce(directory, record);
	/* The leave is reported again, as the host that it was reported to
	 * may have died. */
	if (upstream->has_left)
		(void)upstream_directory_leave(
		    directory, record->id, record->incarnation);
}

static void
run_with(struct host_group *group, struct upstream *upstreams, uint32_t count,
    int64_t duration_ms)
{
	uint32_t i;

	for (; duration_ms > 0; duration_ms -= 1000) {
		host_group_run(group, duration_ms < 1000 ? duration_ms : 1000);
		for (i = 0; i < count; i++)
			upstream_tick(group, &upstreams[i]);
	}
}

static void
test_changes_propagate_within_two_seconds(void **state)
{
	struct upstream upstream;
	struct host_group group;
	uint32_t number;

	(void)state;
	host_group_start(&group, 1, &group_good_link);
	host_group_run(&group, 3000);
	for (number = 1; number <= 60; number++) {
		init_upstream(&upstream, number);
		upstream.home = 1 + number % GROUP_HOSTS;
		upstream.is_running = true;
		upstream_tick(&group, &upstream);
		host_group_run(&group, PROPAGATION_MS);
		assert_true(all_hosts_list(
		    &group, upstream.record.id, UPSTREAM_STATE_ACTIVE));
		assert_int_equal(upstream_directory_leave(
				     directory_of(&group, 1 + number % 5),
				     upstream.record.id, 1),
		    ERROR_NONE);
		host_group_run(&group, PROPAGATION_MS);
		assert_true(all_hosts_list(
		    &group, upstream.record.id, UPSTREAM_STATE_LEAVING));
		assert_int_equal(upstream_directory_remove(
				     directory_of(&group, 1 + number % 4),
				     upstream.record.id, 1),
		    ERROR_NONE);
		host_group_run(&group, PROPAGATION_MS);
		assert_true(all_hosts_list(
		    &group, upstream.record.id, UPSTREAM_STATE_GONE));
	}
	host_group_stop(&group);
}

/* Checks which announcements are accepted or stale, by incarnation, sequence
 * and the state that is known before. */
static void
test_only_newer_announcements_take_effect(void **state)
{
	static const struct {
		uint64_t incarnation, sequence;
		enum upstream_state before, announced;
		enum error_code result;
		enum upstream_state after;
	} cases[] = {
	    {4, 9, UPSTREAM_STATE_ACTIVE, UPSTREAM_STATE_ACTIVE, ERROR_STALE,
		UPSTREAM_STATE_ACTIVE},
	    {5, 4, UPSTREAM_STATE_ACTIVE, UPSTREAM_STATE_ACTIVE, ERROR_STALE,
		UPSTREAM_STATE_ACTIVE},
	    {5, 5, UPSTREAM_STATE_ACTIVE, UPSTREAM_STATE_ACTIVE, ERROR_NONE,
		UPSTREAM_STATE_ACTIVE},
	    {5, 6, UPSTREAM_STATE_ACTIVE, UPSTREAM_STATE_LEAVING, ERROR_NONE,
		UPSTREAM_STATE_LEAVING},
	    {5, 9, UPSTREAM_STATE_LEAVING, UPSTREAM_STATE_ACTIVE, ERROR_NONE,
		UPSTREAM_STATE_LEAVING},
	    {6, 1, UPSTREAM_STATE_LEAVING, UPSTREAM_STATE_ACTIVE, ERROR_NONE,
		UPSTREAM_STATE_ACTIVE},
	    {5, 9, UPSTREAM_STATE_GONE, UPSTREAM_STATE_ACTIVE, ERROR_STALE,
		UPSTREAM_STATE_GONE},
	    {6, 1, UPSTREAM_STATE_GONE, UPSTREAM_STATE_ACTIVE, ERROR_NONE,
		UPSTREAM_STATE_ACTIVE},
	};
	struct upstream_record record;
	struct upstream upstream;
	struct host_group group;
	uint32_t host;
	size_t i;

	(void)state;
	for (i = 0; i < 2 * sizeof(cases) / sizeof(cases[0]); i++) {
		host = i % 2 == 0 ? 1 : 6;
		host_group_start(&group, 1 + i, &group_good_link);
		host_group_run(&group, 3000);
		init_upstream(&upstream, 1);
		record = upstream.record;
		record.incarnation = 5;
		record.sequence = 5;
		assert_int_equal(upstream_directory_announce(
				     directory_of(&group, 1), &record),
		    ERROR_NONE);
		if (cases[i / 2].before >= UPSTREAM_STATE_LEAVING)
			upstream_directory_leave(
			    directory_of(&group, 1), record.id, 5);
		if (cases[i / 2].before == UPSTREAM_STATE_GONE)
			upstream_directory_remove(
			    directory_of(&group, 1), record.id, 5);
		host_group_run(&group, PROPAGATION_MS);
		record.incarnation = cases[i / 2].incarnation;
		record.sequence = cases[i / 2].sequence;
		record.state = cases[i / 2].announced;
		assert_int_equal(upstream_directory_announce(
				     directory_of(&group, host), &record),
		    cases[i / 2].result);
		host_group_run(&group, PROPAGATION_MS);
		assert_true(
		    all_hosts_list(&group, record.id, cases[i / 2].after));
		host_group_stop(&group);
	}
}

static void
test_vanished_upstream_expires_everywhere(void **state)
{
	struct upstream upstream;
	struct host_group group;
	int home_dies;

	(void)state;
	for (home_dies = 0; home_dies < 2; home_dies++) {
		host_group_start(&group, 7, &group_good_link);
		host_group_run(&group, 3000);
		init_upstream(&upstream, 1);
		upstream.is_running = true;
		upstream.home = 3;
		run_with(&group, &upstream, 1, 30000);
		assert_true(all_hosts_list(
		    &group, upstream.record.id, UPSTREAM_STATE_ACTIVE));
		if (home_dies)
			host_group_kill_host(&group, 3);
		host_group_run(&group, EXPIRE_MS);
		assert_true(all_hosts_list(
		    &group, upstream.record.id, UPSTREAM_STATE_GONE));
		host_group_stop(&group);
	}
}

/* An upstream that keeps running stays listed when its home dies or freezes. */
static void
test_failed_home_removes_no_running_upstream(void **state)
{
	struct upstream upstreams[2];
	struct host_group group;
	uint32_t i, second;

	(void)state;
	host_group_start(&group, 8, &group_good_link);
	host_group_run(&group, 3000);
	for (i = 0; i < 2; i++) {
		init_upstream(&upstreams[i], i);
		upstreams[i].is_running = true;
		upstreams[i].home = 3 + i;
	}
	run_with(&group, upstreams, 2, 5000);
	host_group_kill_host(&group, 3);
	fake_net_freeze(&group.net, 4);
	for (second = 0; second < 120; second++) {
		if (second == 60)
			fake_net_thaw(&group.net, 4);
		run_with(&group, upstreams, 2, 1000);
		for (i = 0; i < 2; i++) {
			/* A thawed host has 10 s to catch up. */
			if (second < 60 || second > 70)
				assert_true(all_hosts_list(&group,
				    upstreams[i].record.id,
				    UPSTREAM_STATE_ACTIVE));
		}
	}
	for (i = 0; i < GROUP_HOSTS; i++) {
		if (i != 2)
			assert_int_equal(group.hosts[i].gone, 0);
	}
	host_group_stop(&group);
}

/* Guards against a home that was frozen at any moment between two sweeps and lets
 * an upstream expire whose renewals it could not take. */
static void
test_thawed_home_waits_for_renewals(void **state)
{
	struct upstream upstream;
	struct host_group group;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 20; seed++) {
		host_group_start(&group, seed, &group_good_link);
		host_group_run(&group, 3000);
		init_upstream(&upstream, 1);
		upstream.is_running = true;
		upstream.home = 4;
		run_with(&group, &upstream, 1, 5000);
		host_group_run(&group, 50 * (int64_t)seed);
		fake_net_freeze(&group.net, 4);
		host_group_run(&group, 15000);
		fake_net_thaw(&group.net, 4);
		run_with(&group, &upstream, 1, 10000);
		assert_int_equal(group.hosts[3].gone, 0);
		host_group_stop(&group);
	}
}

/* A host that was cut off for long removes no upstream of the other hosts when
 * it is connected again. */
static void
test_host_cut_off_for_long_removes_no_upstream(void **state)
{
	struct upstream upstreams[UPSTREAMS];
	struct host_group group;
	uint32_t i;

	(void)state;
	host_group_start(&group, 9, &group_good_link);
	host_group_run(&group, 3000);
	for (i = 0; i < UPSTREAMS; i++) {
		init_upstream(&upstreams[i], i);
		upstreams[i].is_running = true;
		upstreams[i].home = 1 + i % 5;
	}
	run_with(&group, upstreams, UPSTREAMS, 5000);
	fake_net_cut_host(&group.net, 6, true, true);
	run_with(&group, upstreams, UPSTREAMS, 300000);
	fake_net_heal(&group.net);
	run_with(&group, upstreams, UPSTREAMS, AGREE_MS);
	for (i = 0; i < UPSTREAMS; i++)
		assert_true(all_hosts_list(
		    &group, upstreams[i].record.id, UPSTREAM_STATE_ACTIVE));
	for (i = 0; i < 5; i++)
		assert_int_equal(group.hosts[i].gone, 0);
	host_group_stop(&group);
}

static void
test_load_reaches_owner_and_subscribers_only(void **state)
{
	struct upstream_load load = {.incarnation = 1}, found;
	struct upstream upstream;
	struct host_group group;
	uint32_t i;

	(void)state;
	host_group_start(&group, 10, &group_good_link);
	host_group_run(&group, 3000);
	init_upstream(&upstream, 1);
	upstream.is_running = true;
	upstream.home = 3;
	upstream_tick(&group, &upstream);
	host_group_run(&group, PROPAGATION_MS);
	upstream_directory_subscribe_load(
	    directory_of(&group, 5), upstream.record.id);
	host_group_run(&group, 100);
	load.id = upstream.record.id;
	for (load.sequence = 1; load.sequence <= 20; load.sequence++) {
		load.running_requests = (uint32_t)load.sequence;
		/* Half of the reports go to a host that isn't the home. */
		assert_int_equal(
		    upstream_directory_report(
			directory_of(&group, load.sequence % 2 == 0 ? 3 : 4),
			&load),
		    ERROR_NONE);
		host_group_run(&group, 100);
	}
	for (i = 0; i < GROUP_HOSTS; i++)
		assert_int_equal(group.hosts[i].load_reports, i == 0 || i == 5
								  ? 0
							      : i == 3 ? 10
								       : 20);
	assert_true(upstream_directory_load(
	    directory_of(&group, 2), upstream.record.id, &found));
	assert_int_equal(found.running_requests, 20);
	assert_true(found.age_ms > 0 && found.age_ms <= 200);
	host_group_stop(&group);
}

static void
change_upstream(struct host_group *group, struct upstream *upstream,
    struct random_source *random)
{
	switch (random_below(random, 4)) {
	case 0: /* The upstream crashes or starts again. */
		upstream->is_running = !upstream->is_running;
		upstream->has_left = false;
		if (upstream->is_running)
			upstream->record.incarnation++;
		break;
	case 1: /* The upstream renews at another host. */
		upstream->home = 1 + random_below(random, GROUP_HOSTS);
		break;
	case 2: /* The upstream's record changes. */
		upstream->record.sequence++;
		if (upstream->is_running &&
		    host_group_is_running(group, upstream->home))
			(void)upstream_directory_announce(
			    directory_of(group, upstream->home),
			    &upstream->record);
		break;
	default:
		if (!upstream->is_running)
			break;
		upstream->has_left = true;
		if (host_group_is_running(group, upstream->home))
			(void)upstream_directory_leave(
			    directory_of(group, upstream->home),
			    upstream->record.id, upstream->record.incarnation);
		break;
	}
}

static enum upstream_state
expected_state(const struct upstream *upstream)
{
	if (!upstream->is_running)
		return UPSTREAM_STATE_GONE;
	return upstream->has_left ? UPSTREAM_STATE_LEAVING
				  : UPSTREAM_STATE_ACTIVE;
}

/* After random faults, all lists are right AGREE_MS after the last one. */
static void
test_lists_agree_after_random_faults(void **state)
{
	const char *soak = getenv("CHICORY_SOAK_SCHEDULES");
	unsigned int schedules, schedule, event;
	struct upstream upstreams[UPSTREAMS];
	struct random_source random;
	struct host_group group;
	uint32_t i;

	(void)state;
	schedules =
	    soak == NULL ? SCHEDULES : (unsigned int)strtoul(soak, NULL, 10);
	for (schedule = 1; schedule <= schedules; schedule++) {
		random_init(&random, schedule);
		host_group_start(&group, schedule, &group_bad_link);
		for (i = 0; i < UPSTREAMS; i++) {
			init_upstream(&upstreams[i], i);
			upstreams[i].is_running = true;
			upstreams[i].home = 1 + i % GROUP_HOSTS;
		}
		for (event = 0; event < EVENTS; event++) {
			run_with(&group, upstreams, UPSTREAMS,
			    random_below(&random, 10000));
			if (random_below(&random, 2) == 0)
				host_group_inject_fault(&group, &random);
			i = random_below(&random, UPSTREAMS);
			change_upstream(&group, &upstreams[i], &random);
		}
		host_group_heal(&group);
		run_with(&group, upstreams, UPSTREAMS, AGREE_MS);
		for (i = 0; i < UPSTREAMS; i++) {
			if (!all_hosts_list(&group, upstreams[i].record.id,
				expected_state(&upstreams[i])))
				fail_msg(
				    "schedule %u upstream %u", schedule, i);
		}
		host_group_stop(&group);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_changes_propagate_within_two_seconds),
	    cmocka_unit_test(test_only_newer_announcements_take_effect),
	    cmocka_unit_test(test_vanished_upstream_expires_everywhere),
	    cmocka_unit_test(test_failed_home_removes_no_running_upstream),
	    cmocka_unit_test(test_thawed_home_waits_for_renewals),
	    cmocka_unit_test(test_host_cut_off_for_long_removes_no_upstream),
	    cmocka_unit_test(test_load_reaches_owner_and_subscribers_only),
	    cmocka_unit_test(test_lists_agree_after_random_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
