/*
 * Tests of a gossip map on fleets of real size, in virtual time: no host is
 * left behind by the random pushes for longer than the bound on upstreams that
 * leave, and a quiet map costs little.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <cmocka.h>

#include "gossip_fleet.h"

/* Time until all hosts must know a change. */
#define KNOWN_MS 2000
/* Time until a host has what it missed, over a new link. */
#define CAUGHT_UP_MS 100
/* Largest number of bytes that a host may send in a second while nothing
 * changes: a tenth of what all control messages together may take. */
#define QUIET_BYTES_PER_S 600
#define QUIET_S		  20

/* Changes @p count keys at once, from one host each, as many times as @p
 * rounds says, and checks that all hosts know them in time. */
static void
check_bursts(
    uint32_t hosts, uint64_t seed, double loss, uint64_t count, uint64_t rounds)
{
	struct gossip_fleet *fleet;
	uint32_t behind;
	uint64_t key, round;

	fleet = gossip_fleet_start(hosts, 0, seed, loss);
	for (round = 1; round <= rounds; round++) {
		for (key = 1; key <= count; key++)
			gossip_fleet_put(fleet, (uint32_t)(key * round) % hosts,
			    key, round, 0);
		gossip_fleet_run(fleet, KNOWN_MS);
		behind = gossip_fleet_behind(fleet, count, round).later;
		if (behind > 0)
			fail_msg("%u of %u hosts, seed %u, loss %.2f: %u hosts "
				 "lack one of %u changes after %d ms",
			    hosts, hosts, (unsigned int)seed, loss, behind,
			    (unsigned int)count, KNOWN_MS);
	}
	gossip_fleet_stop(fleet);
}

static void
test_no_host_is_missed_by_a_burst_of_changes(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 6; seed++) {
		check_bursts(300, seed, 0.0, 80, 4);
		check_bursts(60, seed, 0.0, 20, 10);
		check_bursts(11, seed, 0.0, 4, 20);
	}
}

/* Pushes and repairs are lost alike. */
static void
test_no_host_is_missed_on_lossy_links(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 4; seed++) {
		check_bursts(300, seed, 0.03, 20, 4);
		check_bursts(11, seed, 0.2, 4, 20);
	}
}

/* Checks what each host sends in a second while nothing changes. */
static void
check_quiet_bytes(struct gossip_fleet *fleet)
{
	assert_in_range(
	    gossip_fleet_bytes_per_s(fleet, QUIET_S), 0, QUIET_BYTES_PER_S);
}

static void
test_quiet_map_costs_little(void **state)
{
	struct gossip_fleet *fleet;
	uint64_t key;

	(void)state;
	fleet = gossip_fleet_start(100, 0, 1, 0.0);
	for (key = 1; key <= 150; key++)
		gossip_fleet_put(fleet, (uint32_t)key % 100, key, 1, 0);
	gossip_fleet_run(fleet, 10000);
	check_quiet_bytes(fleet);
	gossip_fleet_stop(fleet);
}

/* Hosts that have forgotten what is over, and others that have not, exchange
 * nothing for it. */
static void
test_forgotten_items_cost_little(void **state)
{
	struct gossip_fleet *fleet;
	uint64_t key;
	uint32_t i;

	(void)state;
	fleet = gossip_fleet_start(100, 0, 1, 0.0);
	for (key = 1; key <= 150; key++)
		gossip_fleet_put(fleet, (uint32_t)key % 100, key, 1, key % 2);
	gossip_fleet_run(fleet, 10000);
	for (i = 0; i < 50; i++) {
		for (key = 1; key <= 150; key += 2)
			gossip_drop(&fleet->hosts[i].map, key);
	}
	check_quiet_bytes(fleet);
	gossip_fleet_stop(fleet);
}

/* What is over replaces what a host still has, though only then. */
static void
test_end_of_an_item_is_repaired(void **state)
{
	struct gossip_fleet *fleet;

	(void)state;
	fleet = gossip_fleet_start(11, 0, 1, 0.0);
	gossip_fleet_put(fleet, 0, 1, 1, 0);
	gossip_fleet_run(fleet, KNOWN_MS);
	fake_net_cut_host(&fleet->net, 5, true, true);
	gossip_fleet_put(fleet, 3, 1, 1, 1);
	gossip_fleet_run(fleet, 10000);
	assert_int_equal(gossip_version_of(&fleet->hosts[4].map, 1)->minor, 0);
	fake_net_heal(&fleet->net);
	gossip_fleet_run(fleet, KNOWN_MS);
	assert_int_equal(gossip_version_of(&fleet->hosts[4].map, 1)->minor, 1);
	gossip_fleet_stop(fleet);
}

/* A host whose link was replaced has what it missed at once. */
static void
test_missed_changes_are_fetched_over_a_new_link(void **state)
{
	struct gossip_fleet *fleet;
	uint64_t key;

	(void)state;
	fleet = gossip_fleet_start(300, 0, 1, 0.0);
	fake_net_cut_host(&fleet->net, 5, true, true);
	for (key = 1; key <= 20; key++)
		gossip_fleet_put(fleet, 7, key, 1, 0);
	gossip_fleet_run(fleet, KNOWN_MS);
	fake_net_heal(&fleet->net);
	gossip_check_with(&fleet->hosts[4].map, 8);
	gossip_fleet_run(fleet, CAUGHT_UP_MS);
	assert_int_equal(gossip_fleet_behind(fleet, 20, 1).later, 0);
	gossip_fleet_stop(fleet);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_no_host_is_missed_by_a_burst_of_changes),
	    cmocka_unit_test(test_no_host_is_missed_on_lossy_links),
	    cmocka_unit_test(test_quiet_map_costs_little),
	    cmocka_unit_test(test_forgotten_items_cost_little),
	    cmocka_unit_test(test_end_of_an_item_is_repaired),
	    cmocka_unit_test(test_missed_changes_are_fetched_over_a_new_link),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
