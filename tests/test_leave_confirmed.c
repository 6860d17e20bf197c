/*
 * Tests of upstreams that leave: once that is acknowledged, it holds although the
 * host that acknowledged it is lost in the same moment.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "host_group.h"

#define FORMING_MS     8000	    /* Time until all hosts know each other. */
#define PROPAGATION_MS 2000	    /* Time until all hosts know a change. */
#define CONFIRM_MS     INT64_C(800) /* Time limit of a confirmation. */
#define STEP_MS	       10
#define COPIES	       2 /* Other hosts that must have the state. */
#define SEEDS	       20
#define HOST	       4 /* Host that the upstream reports to. */

/* The outcome of a confirmation. */
struct outcome {
	unsigned int count;
	enum error_code error;
};

static void
on_confirmed(void *context, enum error_code error)
{
	struct outcome *outcome = context;

	outcome->count++;
	outcome->error = error;
}

static void
init_record(struct upstream_record *record)
{
	memset(record, 0, sizeof(*record));
	snprintf(record->name, NAME_SIZE_MAX, "engine-1");
	snprintf(record->url, URL_SIZE_MAX, "http://10.1.0.1:8000");
	record->id = upstream_id(record->name);
	record->incarnation = 1;
	record->sequence = 1;
	record->kind = UPSTREAM_KIND_SERVICE;
}

/* Starts the hosts and announces the upstream. */
static void
start(struct host_group *group, uint64_t seed, const struct fake_link *link,
    struct upstream_record *record)
{
	init_record(record);
	host_group_start(group, seed, link);
	host_group_run(group, FORMING_MS);
	assert_int_equal(upstream_directory_announce(
			     &group->hosts[HOST - 1].directory, record),
	    ERROR_NONE);
	host_group_run(group, PROPAGATION_MS);
}

/* Lets the upstream leave at a host, and asks for the confirmation. */
static void
leave(struct host_group *group, const struct upstream_record *record,
    struct outcome *outcome)
{
	struct upstream_directory *directory;

	directory = &group->hosts[HOST - 1].directory;
	assert_int_equal(
	    upstream_directory_remove(directory, record->id, 1), ERROR_NONE);
	assert_int_equal(
	    upstream_directory_confirm(directory, record->id, COPIES,
		CONFIRM_MS, (struct gossip_callback){on_confirmed, outcome}),
	    ERROR_NONE);
}

/* Guards against an acknowledged deregistration that nobody else has heard of
 * when its host is stopped or killed right after it. */
static void
test_acknowledged_leave_survives_loss_of_its_host(void **state)
{
	struct upstream_record record;
	struct host_group group;
	struct outcome outcome;
	uint32_t id, waited_ms;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		memset(&outcome, 0, sizeof(outcome));
		start(&group, seed, &group_good_link, &record);
		leave(&group, &record, &outcome);
		for (waited_ms = 0; outcome.count == 0; waited_ms += STEP_MS) {
			assert_true(waited_ms <= CONFIRM_MS);
			fake_net_run(&group.net, STEP_MS);
		}
		assert_int_equal(outcome.error, ERROR_NONE);
		host_group_kill_host(&group, HOST);
		host_group_run(&group, PROPAGATION_MS);
		for (id = 1; id <= GROUP_HOSTS; id++) {
			if (id != HOST && upstream_directory_find(
					      &group.hosts[id - 1].directory,
					      record.id) != NULL)
				fail_msg("seed %u: host %u still lists it",
				    (unsigned int)seed, id);
		}
		host_group_stop(&group);
	}
}

/* Lost messages delay the confirmation, and no host counts twice. */
static void
test_confirmation_counts_hosts_that_have_it(void **state)
{
	struct upstream_record record;
	struct host_group group;
	struct outcome outcome;
	uint32_t id, holders;
	uint64_t seed;
	int rounds;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		memset(&outcome, 0, sizeof(outcome));
		start(&group, seed, &group_good_link, &record);
		fake_net_set_links(&group.net, &group_bad_link);
		leave(&group, &record, &outcome);
		for (rounds = 0; outcome.count == 0 && rounds < 200; rounds++)
			host_group_run(&group, STEP_MS);
		assert_int_equal(outcome.count, 1);
		holders = 0;
		for (id = 1; id <= GROUP_HOSTS; id++) {
			if (id != HOST &&
			    upstream_directory_has_left(
				&group.hosts[id - 1].directory, record.id))
				holders++;
		}
		if (outcome.error == ERROR_NONE)
			assert_true(holders >= COPIES);
		host_group_run(&group, 2 * CONFIRM_MS);
		assert_int_equal(outcome.count, 1);
		host_group_stop(&group);
	}
}

/* A host that nobody hears acknowledges nothing: its caller asks another one. */
static void
test_cut_off_host_acknowledges_nothing(void **state)
{
	struct outcome outcome = {0};
	struct upstream_record record;
	struct host_group group;

	(void)state;
	start(&group, 1, &group_good_link, &record);
	fake_net_cut_host(&group.net, HOST, true, true);
	leave(&group, &record, &outcome);
	host_group_run(&group, 2 * CONFIRM_MS);
	assert_int_equal(outcome.count, 1);
	assert_int_equal(outcome.error, ERROR_TIMEOUT);
	host_group_stop(&group);
}

/* A host that has never met another one waits for nobody. */
static void
test_single_host_acknowledges_at_once(void **state)
{
	struct outcome outcome = {0};
	struct upstream_record record;
	struct host_group group;
	uint32_t id;

	(void)state;
	init_record(&record);
	host_group_start(&group, 1, &group_good_link);
	for (id = 1; id <= GROUP_HOSTS; id++) {
		if (id != HOST)
			host_group_kill_host(&group, id);
	}
	host_group_run(&group, FORMING_MS);
	assert_int_equal(upstream_directory_announce(
			     &group.hosts[HOST - 1].directory, &record),
	    ERROR_NONE);
	leave(&group, &record, &outcome);
	assert_int_equal(outcome.count, 1);
	assert_int_equal(outcome.error, ERROR_NONE);
	host_group_stop(&group);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_acknowledged_leave_survives_loss_of_its_host),
	    cmocka_unit_test(test_confirmation_counts_hosts_that_have_it),
	    cmocka_unit_test(test_cut_off_host_acknowledges_nothing),
	    cmocka_unit_test(test_single_host_acknowledges_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
