/*
 * Tests of a gossip map on fleets in which a share of the hosts runs a build of
 * before 23aba6a, in virtual time: changes reach the hosts of both builds, and a
 * host that all pushes missed has them as soon as if all ran its own build.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <cmocka.h>

#include "gossip_fleet.h"

/* Time until all hosts of the present build must know a change. */
#define KNOWN_MS 2000
/* Time until an earlier host has what it missed: it exchanges digests with one
 * host each 5 s. */
#define REPAIRED_MS 5100
#define STEP_MS	    50
/* Items of a map of which a digest's exchange compares a part only. */
#define ITEMS_MANY 900
/* Largest number of bytes that a host may send in a second while nothing
 * changes: twice what earlier hosts among themselves send. */
#define QUIET_BYTES_PER_S 200
#define QUIET_S		  10
#define SETTLED_MS	  6000

/* Numbers of hosts, and how many twelfths of them are earlier ones. */
static const uint32_t mixes[][2] = {{60, 4}, {60, 6}, {300, 4}, {300, 6}};

/* Changes @p count keys at once, from one host each, as many times as @p
 * rounds says, and checks when the hosts of each build know them. */
static void
check_bursts(const uint32_t mix[2], uint64_t seed, double loss, uint64_t count,
    uint64_t rounds)
{
	struct gossip_fleet *fleet;
	struct gossip_fleet_behind behind;
	uint64_t key, round;

	fleet = gossip_fleet_start(mix[0], mix[1], seed, loss);
	for (round = 1; round <= rounds; round++) {
		for (key = 1; key <= count; key++)
			gossip_fleet_put(fleet,
			    (uint32_t)(key * round) % mix[0], key, round, 0);
		gossip_fleet_run(fleet, KNOWN_MS);
		behind = gossip_fleet_behind(fleet, count, round);
		if (behind.later > 0)
			fail_msg("%u hosts, %u twelfths earlier, seed %u, loss "
				 "%.2f: %u later hosts lack a change",
			    mix[0], mix[1], (unsigned int)seed, loss,
			    behind.later);
		if (behind.earlier > 0)
			gossip_fleet_run(fleet, REPAIRED_MS);
		behind = gossip_fleet_behind(fleet, count, round);
		assert_int_equal(behind.earlier, 0);
	}
	gossip_fleet_stop(fleet);
}

static void
test_changes_reach_hosts_of_both_builds(void **state)
{
	uint64_t seed;
	guint i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(mixes); i++) {
		for (seed = 1; seed <= 2; seed++) {
			check_bursts(mixes[i], seed, 0.0, mixes[i][0] / 4, 2);
			check_bursts(mixes[i], seed, 0.03, 20, 2);
		}
	}
}

/* Cuts a host off while keys change, so that no push reaches it, and returns
 * the time after the end of the cut until it has them. */
static int64_t
measure_repair(struct gossip_fleet *fleet, uint32_t id)
{
	struct gossip_fleet_behind behind;
	int64_t age_ms;
	uint64_t key;

	fake_net_cut_host(&fleet->net, id, true, true);
	for (key = 1; key <= 20; key++)
		gossip_fleet_put(fleet, 21, key, 2, 0);
	gossip_fleet_run(fleet, SETTLED_MS);
	fake_net_heal(&fleet->net);
	for (age_ms = 0; age_ms < (int64_t)2 * REPAIRED_MS; age_ms += STEP_MS) {
		behind = gossip_fleet_behind(fleet, 20, 2);
		if (behind.earlier + behind.later == 0)
			break;
		gossip_fleet_run(fleet, STEP_MS);
	}
	return age_ms;
}

static struct gossip_fleet *
start_with_items(const uint32_t mix[2], uint64_t seed, uint64_t count)
{
	struct gossip_fleet *fleet;
	uint64_t key;

	fleet = gossip_fleet_start(mix[0], mix[1], seed, 0.0);
	for (key = 1; key <= count; key++)
		gossip_fleet_put(fleet, (uint32_t)key % mix[0], key, 1, 0);
	gossip_fleet_run(fleet, SETTLED_MS);
	return fleet;
}

/* Half of its comparisons may be with hosts that don't answer them. */
static void
test_missed_later_host_is_repaired_in_time(void **state)
{
	struct gossip_fleet *fleet;
	uint64_t seed;
	guint i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(mixes); i++) {
		for (seed = 1; seed <= 3; seed++) {
			fleet = start_with_items(mixes[i], seed, 20);
			assert_in_range(measure_repair(fleet, 11), 0, KNOWN_MS);
			gossip_fleet_stop(fleet);
		}
	}
}

/* Whichever build the host has with which it exchanges digests. */
static void
test_missed_earlier_host_is_repaired_by_its_next_digest(void **state)
{
	struct gossip_fleet *fleet;
	uint64_t seed;
	guint i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(mixes); i++) {
		for (seed = 1; seed <= 2; seed++) {
			fleet = start_with_items(mixes[i], seed, ITEMS_MANY);
			assert_in_range(
			    measure_repair(fleet, 12), 0, REPAIRED_MS);
			gossip_fleet_stop(fleet);
		}
	}
}

static void
test_quiet_mix_costs_little(void **state)
{
	struct gossip_fleet *fleet;
	guint i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(mixes); i++) {
		fleet = start_with_items(mixes[i], 1, ITEMS_MANY);
		assert_in_range(gossip_fleet_bytes_per_s(fleet, QUIET_S), 0,
		    QUIET_BYTES_PER_S);
		gossip_fleet_stop(fleet);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_changes_reach_hosts_of_both_builds),
	    cmocka_unit_test(test_missed_later_host_is_repaired_in_time),
	    cmocka_unit_test(
		test_missed_earlier_host_is_repaired_by_its_next_digest),
	    cmocka_unit_test(test_quiet_mix_costs_little),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
