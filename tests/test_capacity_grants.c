/*
 * Tests of capacity grants over a simulated fleet: whatever faults occur, all
 * hosts together stay within an upstream's limit, and no host waits for ever.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/event_log.h"
#include "fake_fleet.h"

#define SCHEDULES   4	  /* Default if CHICORY_SOAK_SCHEDULES is unset. */
#define FAULTS	    14	  /* Faults in one schedule. */
#define START_UP_MS 6000  /* Time after a start until grants are made. */
#define WARM_UP_MS  24000 /* Time for enough answers to reach warm limits. */
#define REVOKE_MS   100	  /* Time to send and deliver a revocation. */
#define REMOVAL_MS  4000  /* Time for a lease to end and all to learn of it. */
/* Time after the faults for a lease, orphan drains and some demand reports to
 * pass. No host waits longer for capacity. */
#define RECOVER_MS 12000

static unsigned int
schedule_count(void)
{
	const char *text = getenv("CHICORY_SOAK_SCHEDULES");

	return text == NULL ? SCHEDULES : (unsigned int)atoi(text);
}

static uint32_t
pick_host(struct fleet *fleet)
{
	return 1 + random_below(&fleet->random, fleet->host_count);
}

static void
degrade_links(struct fleet *fleet)
{
	struct fake_link link = {.delay_min_ms = 0};

	link.delay_max_ms = 1 + random_below(&fleet->random, 400);
	link.loss = 0.3 * random_unit(&fleet->random);
	link.duplicate = 0.3 * random_unit(&fleet->random);
	fake_net_set_links(&fleet->net, &link);
}

static void
restart_upstream(struct fleet *fleet)
{
	uint32_t upstream, i;

	upstream = random_below(&fleet->random, fleet->upstream_count);
	fake_fleet_restart_upstream(fleet, upstream);
	/* Announces the restart to about half of the hosts; the others learn
	 * of it later. */
	for (i = 1; i <= fleet->host_count; i++) {
		if (random_below(&fleet->random, 2) == 0)
			fake_fleet_announce(fleet, upstream, i);
	}
}

static void
announce_to_some_hosts(struct fleet *fleet)
{
	uint32_t upstream, i;

	for (upstream = 0; upstream < fleet->upstream_count; upstream++) {
		for (i = 1; i <= fleet->host_count; i++) {
			if (random_below(&fleet->random, 2) == 0)
				fake_fleet_announce(fleet, upstream, i);
		}
	}
}

static void
inject_fault(struct fleet *fleet)
{
	uint32_t id = pick_host(fleet), other = pick_host(fleet);

	switch (random_below(&fleet->random, 10)) {
	case 0:
		fake_fleet_kill(fleet, id);
		break;
	case 1:
		fake_fleet_restart(fleet, id);
		break;
	case 2:
		fake_net_freeze(&fleet->net, id);
		break;
	case 3:
		fake_net_thaw(&fleet->net, id);
		break;
	case 4:
		fake_net_cut_host(&fleet->net, id,
		    random_below(&fleet->random, 2) == 0, true);
		break;
	case 5:
		if (id != other)
			fake_net_cut_pair(&fleet->net, id, other, true);
		break;
	case 6:
		fleet->hosts[id - 1].is_cut_from_leader =
		    !fleet->hosts[id - 1].is_cut_from_leader;
		break;
	case 7:
		degrade_links(fleet);
		break;
	case 8:
		restart_upstream(fleet);
		break;
	default:
		announce_to_some_hosts(fleet);
		break;
	}
}

static void
run_schedule(uint64_t seed, bool is_warming, int64_t *longest_wait_ms)
{
	struct fleet fleet;
	unsigned int i;

	fake_fleet_init(&fleet, 8 + seed % 5, 3, seed);
	fleet.is_warming = is_warming;
	fleet.skipped_epoch_share = seed % 3 == 0 ? 0.5 : 0;
	fleet.load_percent = 1 + random_below(&fleet.random, 10);
	fleet.request_max_ms = 200 + random_below(&fleet.random, 6000);
	fake_fleet_run(&fleet, START_UP_MS);
	for (i = 0; i < FAULTS; i++) {
		inject_fault(&fleet);
		/* In half of the cases the next fault follows at once. */
		fake_fleet_run(
		    &fleet, random_below(&fleet.random, 2) == 0
				? FLEET_STEP_MS
				: 100 + random_below(&fleet.random, 4000));
	}
	fake_fleet_heal(&fleet);
	fleet.request_max_ms = 300;
	fake_fleet_run(&fleet, RECOVER_MS);
	if (fleet.limit_violations != 0)
		fail_msg("seed %llu: %llu steps over a limit",
		    (unsigned long long)seed,
		    (unsigned long long)fleet.limit_violations);
	/* From here on every wait must end soon. A wait that doesn't would
	 * show that a share of the limit was lost for good. */
	fleet.longest_wait_ms = 0;
	fake_fleet_run(&fleet, RECOVER_MS);
	if (fleet.longest_wait_ms > *longest_wait_ms)
		*longest_wait_ms = fleet.longest_wait_ms;
	for (i = 0; i < fleet.host_count; i++) {
		uint32_t upstream;

		for (upstream = 0; upstream < fleet.upstream_count;
		     upstream++) {
			int64_t since_ms =
			    fleet.hosts[i].waiting_since_ms[upstream];

			if (since_ms != 0 &&
			    fake_net_now(&fleet.net) - since_ms > RECOVER_MS)
				fail_msg("seed %llu: host %u is starved",
				    (unsigned long long)seed, i + 1);
		}
	}
	fake_fleet_finish(&fleet);
}

static void
run_schedules(bool is_warming)
{
	int64_t longest_wait_ms;
	unsigned int i;

	longest_wait_ms = 0;
	for (i = 0; i < schedule_count(); i++)
		run_schedule(1000 + i, is_warming, &longest_wait_ms);
	print_message("%u schedules, longest wait after faults %lld ms\n", i,
	    (long long)longest_wait_ms);
}

/* Runs the schedules whose seeds failed in earlier versions. */
static void
test_limits_hold_in_schedules_that_failed_before(void **state)
{
	static const struct {
		uint64_t seed;
		bool is_warming;
	} cases[] = {{1000, false}, {1035, true}, {1070, false}, {1118, true}};
	int64_t longest_wait_ms = 0;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_schedule(
		    cases[i].seed, cases[i].is_warming, &longest_wait_ms);
}

/* While no answer shows an upstream to be warm, all hosts together stay within
 * its cold limit. */
static void
test_cold_limit_holds(void **state)
{
	(void)state;
	run_schedules(false);
}

/* When answers show upstreams to be warm, all hosts together stay within the
 * warm limits. */
static void
test_warm_limit_holds(void **state)
{
	(void)state;
	run_schedules(true);
}

/* Two hosts are removed and join again, the frozen one with its old state.
 * Hosts skip epochs, and load comes in bursts, so that much is granted and
 * little is used. */
static void
test_limit_holds_over_rejoins_and_skipped_epochs(void **state)
{
	unsigned int count = schedule_count(), seed, round;
	struct fleet fleet;
	uint32_t first, second;

	(void)state;
	for (seed = 0; seed < count; seed++) {
		fake_fleet_init(&fleet, 8, 3, 5000 + seed);
		fleet.skipped_epoch_share = 1;
		fleet.request_max_ms = 1500;
		for (round = 0; round < 6; round++) {
			fleet.load_percent = 4;
			fake_fleet_run(&fleet, START_UP_MS / 2);
			first = pick_host(&fleet);
			second = pick_host(&fleet);
			fake_fleet_kill(&fleet, first);
			fake_net_freeze(&fleet.net, second);
			fake_fleet_run(&fleet, REMOVAL_MS);
			fake_fleet_restart(&fleet, first);
			fake_net_thaw(&fleet.net, second);
			fake_fleet_run(&fleet, 100);
			fleet.load_percent = 60;
			fake_fleet_run(&fleet, FLEET_LEASE_MS);
		}
		if (fleet.limit_violations != 0)
			fail_msg("seed %u: %llu steps over a limit", seed,
			    (unsigned long long)fleet.limit_violations);
		fake_fleet_finish(&fleet);
	}
}

/* Returns the host that grants the first upstream's capacity. */
static uint32_t
find_owner(struct fleet *fleet)
{
	struct grant_owner_view view;
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++) {
		if (grant_owner_view(&fleet->hosts[i].exchange.owner,
			fleet->upstreams[0].record.id, &view) == ERROR_NONE &&
		    view.is_granting)
			return i + 1;
	}
	return OWNER_NONE;
}

/* Starts a fleet whose only upstream runs more than its cold limit. */
static void
start_warm_fleet(struct fleet *fleet)
{
	fake_fleet_init(fleet, 8, 1, 77);
	fleet->is_warming = true;
	fleet->load_percent = 60;
	fleet->request_max_ms = 300;
	fake_fleet_run(fleet, WARM_UP_MS);
	fleet->request_max_ms = 1500;
	fake_fleet_run(fleet, START_UP_MS);
	fleet->is_warming = false;
	assert_true(fleet->upstreams[0].running.requests >
		    fleet->upstreams[0].record.limits.cold_requests);
}

/* When one host's answer shows the upstream to be cold, no host starts
 * anything above the cold limit once the revocation has arrived. */
static void
test_cold_evidence_limits_all_hosts(void **state)
{
	const struct upstream_limits *limits;
	struct fleet fleet;
	uint64_t served;
	unsigned int i;
	uint32_t running;

	(void)state;
	start_warm_fleet(&fleet);
	limits = &fleet.upstreams[0].record.limits;
	grant_holder_record_answer(&fleet.hosts[2].exchange.holder,
	    fleet.upstreams[0].record.id, 1, WARMUP_COLD);
	fake_fleet_run(&fleet, REVOKE_MS);
	for (i = 0; i < RECOVER_MS / FLEET_STEP_MS; i++) {
		running = fleet.upstreams[0].running.requests;
		served = fleet.started;
		fake_fleet_run(&fleet, FLEET_STEP_MS);
		if (running > limits->cold_requests)
			assert_true(fleet.started == served);
		else
			assert_true(fleet.upstreams[0].running.requests <=
				    limits->cold_requests);
	}
	assert_true(running <= limits->cold_requests);
	fake_fleet_finish(&fleet);
}

/* A takeout that only the owner knows stops all hosts at once. Hosts that the
 * owner can't reach stop when their grants expire. */
static void
test_takeout_stops_all_hosts(void **state)
{
	struct fleet fleet;
	uint32_t owner, cut;
	uint64_t served;

	(void)state;
	for (cut = 0; cut < 2; cut++) {
		start_warm_fleet(&fleet);
		owner = find_owner(&fleet);
		if (cut == 1)
			fake_net_cut_host(&fleet.net, owner, true, false);
		fleet.upstreams[0].is_taken_out = true;
		fake_fleet_announce(&fleet, 0, owner);
		fake_fleet_run(
		    &fleet, cut == 1 ? FLEET_GRANT_MS + REVOKE_MS : REVOKE_MS);
		served = fleet.started;
		fake_fleet_run(&fleet, FLEET_LEASE_MS / 2);
		assert_true(fleet.started == served);
		fake_fleet_finish(&fleet);
	}
}

/* A host that learns of an upstream's restart from the owner first stops at
 * once. It keeps the slot until the upstream is announced to it, as capacity
 * must be released to the slot that it was acquired from. */
static void
test_restart_learned_from_owner_stops_slot(void **state)
{
	const struct capacity_amount one = {1, 1, 1};
	struct capacity_slot *before;
	struct fleet_host *other;
	struct fleet fleet;
	uint32_t owner;

	(void)state;
	start_warm_fleet(&fleet);
	owner = find_owner(&fleet);
	other = &fleet.hosts[owner % fleet.host_count];
	before = grant_holder_slot(
	    &other->exchange.holder, fleet.upstreams[0].record.id);
	fake_fleet_restart_upstream(&fleet, 0);
	fake_fleet_announce(&fleet, 0, owner);
	fake_fleet_run(&fleet, REVOKE_MS);
	assert_ptr_equal(grant_holder_slot(&other->exchange.holder,
			     fleet.upstreams[0].record.id),
	    before);
	assert_int_equal(capacity_slot_acquire(before, &one,
			     timer_now(fake_net_timers(&fleet.net, other->id))),
	    ERROR_NO_CAPACITY);
	fake_fleet_announce(&fleet, 0, other->id);
	assert_ptr_not_equal(grant_holder_slot(&other->exchange.holder,
				 fleet.upstreams[0].record.id),
	    before);
	fake_fleet_finish(&fleet);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_cold_evidence_limits_all_hosts),
	    cmocka_unit_test(test_takeout_stops_all_hosts),
	    cmocka_unit_test(test_restart_learned_from_owner_stops_slot),
	    cmocka_unit_test(test_limit_holds_over_rejoins_and_skipped_epochs),
	    cmocka_unit_test(test_limits_hold_in_schedules_that_failed_before),
	    cmocka_unit_test(test_cold_limit_holds),
	    cmocka_unit_test(test_warm_limit_holds),
	};

	event_log_setup(0, EVENT_LEVEL_WARNING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
