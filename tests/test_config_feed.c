/*
 * Tests of the configuration feed over a simulated net and a simulated
 * consensus: a host that holds a configuration lease has every change that
 * any host reports as in force.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "feed_group.h"

#define VOTERS_MANY    5 /* Voters of which two may be cut off. */
#define FAN_OUT_FLAT   8 /* With it the parents of all are voters. */
#define SHORT_LEASE_MS 1500
#define IN_FORCE_MS    3000 /* Limit for a change while a host is cut. */
#define RECOVER_MS     15000
#define MISSED_MS      100 /* Time of a cut, shorter than a renewal. */
#define CAUGHT_UP_MS   50  /* Time for what was missed after it. */
/* Time after a cut from which no host may be behind, the time in which each
 * change must be applied then, and the time between two changes. */
#define CONTACT_MS	 3000
#define IN_USE_MS	 2000
#define CHANGE_PERIOD_MS 100
#define CUT_MS		 6000 /* Duration of the cut. */
#define SCHEDULES	 40
#define STEPS		 120
#define SNAPSHOT_SIZE	 (3 * FEED_CHUNK_SIZE / 2)

static const struct fake_link good_link = {1, 5, 0, 0, false};
static const struct fake_link bad_link = {1, 150, 0.1, 0.05, false};

static void
test_changes_come_into_force_despite_cut_off_hosts(void **state)
{
	struct feed_group group;
	uint32_t id;
	int change;

	(void)state;
	feed_group_start(&group, 1, &good_link);
	feed_group_run(&group, 5000);
	assert_int_equal(feed_group_count_leases(&group), HOSTS);
	for (change = 0; change < 50; change++) {
		feed_group_commit_change(&group);
		feed_group_run(&group, 200);
		assert_int_equal(group.max_in_force, group.committed);
	}
	for (id = HOSTS; id > HOSTS - 4; id--) {
		fake_net_cut_host(&group.net, id, true, id % 2 == 0);
		feed_group_commit_change(&group);
		feed_group_run(&group, IN_FORCE_MS);
		assert_int_equal(group.max_in_force, group.committed);
	}
	assert_int_equal(feed_group_count_leases(&group), HOSTS - 4);
	fake_net_heal(&group.net);
	feed_group_run(&group, 5000);
	assert_int_equal(feed_group_count_leases(&group), HOSTS);
	feed_group_stop(&group);
}

static void
test_snapshot_of_several_chunks_is_fetched(void **state)
{
	struct feed_group group;
	int change;

	(void)state;
	feed_group_start(&group, 2, &good_link);
	group.snapshot_size = SNAPSHOT_SIZE;
	feed_group_run(&group, 3000);
	feed_group_kill_node(&group.nodes[HOSTS - 1]);
	for (change = 0; change < 300; change++)
		feed_group_commit_change(&group);
	feed_group_run(&group, 1000);
	feed_group_start_node(&group.nodes[HOSTS - 1]);
	feed_group_run(&group, 5000);
	assert_true(group.nodes[HOSTS - 1].snapshot_count >= 1);
	assert_int_equal(group.nodes[HOSTS - 1].applied, group.committed);
	assert_int_equal(feed_group_count_leases(&group), HOSTS);
	feed_group_stop(&group);
}

/* Without a quorum all leases expire, also those of hosts with the most
 * parents between them and the leader. */
static void
test_leases_expire_without_a_quorum(void **state)
{
	struct feed_group group;

	(void)state;
	feed_group_start(&group, 3, &good_link);
	feed_group_run(&group, 5000);
	feed_group_kill_node(&group.nodes[0]);
	feed_group_kill_node(&group.nodes[1]);
	feed_group_run(&group, LEASE_MS + 600);
	assert_int_equal(feed_group_count_leases(&group), 0);
	feed_group_start_node(&group.nodes[0]);
	feed_group_start_node(&group.nodes[1]);
	feed_group_run(&group, RECOVER_MS);
	assert_int_equal(feed_group_count_leases(&group), HOSTS);
	feed_group_stop(&group);
}

/* A leader that was frozen between reading its clock and its links must not
 * grant a lease from the old time. */
static void
test_stale_leader_clock_grants_no_lease(void **state)
{
	struct feed_message request = {.type = FEED_TYPE_RENEWAL_REQUEST};
	struct message_writer writer;
	struct feed_group group;
	struct feed_node *child;
	uint32_t id;

	(void)state;
	feed_group_start(&group, 4, &good_link);
	feed_group_run(&group, 5000);
	for (child = &group.nodes[VOTERS]; child->feed.parent != 1;)
		child++;
	for (id = 2; id <= HOSTS; id++)
		fake_net_cut_pair(&group.net, id, child->id, true);
	fake_net_freeze(&group.net, 1);
	feed_group_run(&group, 10000);
	assert_false(child->has_lease);
	request.request_number = child->feed.request_number;
	request.incarnation = child->incarnation;
	request.applied_index = request.subtree_index = child->applied;
	message_writer_init(&writer);
	feed_message_write(&writer, &request);
	(void)config_feed_receive(&group.nodes[0].feed, child->id,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
	feed_group_run(&group, 50);
	assert_false(child->has_lease);
	feed_group_stop(&group);
}

/* Cuts two voters, which may be the same, off from the other voters; all other
 * hosts still reach them. */
static void
cut_off_voters(struct feed_group *group, uint32_t first, uint32_t second)
{
	uint32_t id;

	for (id = 1; id <= group->voter_count; id++) {
		if (id == first || id == second)
			continue;
		fake_net_cut_pair(&group->net, first, id, true);
		fake_net_cut_pair(&group->net, second, id, true);
	}
}

static void
check_applied(struct feed_group *group, uint64_t index)
{
	uint32_t id;

	for (id = group->voter_count + 1; id <= HOSTS; id++) {
		if (group->nodes[id - 1].applied < index)
			fail_msg("fan-out %u: host %u has %u of %u",
			    group->fan_out, id,
			    (unsigned int)group->nodes[id - 1].applied,
			    (unsigned int)index);
	}
}

/* Hosts whose parents are voters that were cut off find other parents: once the
 * cut is CONTACT_MS old, each change is applied everywhere in IN_USE_MS. */
static void
run_cut_off_voters(struct feed_group *group, uint32_t first, uint32_t second)
{
	uint64_t committed[CUT_MS / CHANGE_PERIOD_MS];
	uint32_t period;

	feed_group_run(group, 5000);
	cut_off_voters(group, first, second);
	for (period = 0; period < CUT_MS / CHANGE_PERIOD_MS; period++) {
		committed[period] = group->committed;
		if (period >= CONTACT_MS / CHANGE_PERIOD_MS)
			check_applied(group,
			    committed[period - IN_USE_MS / CHANGE_PERIOD_MS]);
		feed_group_commit_change(group);
		feed_group_run(group, CHANGE_PERIOD_MS);
	}
	feed_group_stop(group);
}

/* Each pair of voters without the leader, so that some hosts have both as the
 * first two in their ranking of parents. */
static void
test_no_host_stays_behind_cut_off_voters(void **state)
{
	uint32_t first, second;
	struct feed_group group;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SCHEDULES; seed++) {
		feed_group_start_of(
		    &group, VOTERS, FAN_OUT, SHORT_LEASE_MS, seed, &good_link);
		run_cut_off_voters(&group, VOTERS, VOTERS);
		first = 2 + seed % (VOTERS_MANY - 1);
		second =
		    2 + (seed + 1 + seed / VOTERS_MANY % 2) % (VOTERS_MANY - 1);
		feed_group_start_of(&group, VOTERS_MANY, FAN_OUT_FLAT,
		    SHORT_LEASE_MS, seed, &good_link);
		run_cut_off_voters(&group, first, second);
	}
}

/* A host whose link to its parent was replaced has what it missed within two
 * round trips, and waits for no renewal. */
static void
test_missed_changes_are_fetched_over_a_new_link(void **state)
{
	struct feed_node *node, *parent;
	struct feed_group group;
	uint32_t id;

	(void)state;
	feed_group_start(&group, 1, &good_link);
	feed_group_run(&group, 5000);
	for (id = VOTERS + 1; id <= HOSTS; id++) {
		node = &group.nodes[id - 1];
		parent = &group.nodes[node->feed.parent - 1];
		fake_net_cut_pair(&group.net, id, parent->id, true);
		feed_group_commit_change(&group);
		feed_group_run(&group, MISSED_MS);
		assert_in_range(node->applied, 0, group.committed - 1);
		fake_net_heal(&group.net);
		config_feed_on_reconnected(&node->feed, parent->id);
		config_feed_on_reconnected(&parent->feed, id);
		feed_group_run(&group, CAUGHT_UP_MS);
		assert_int_equal(node->applied, group.committed);
		feed_group_run(&group, 2000);
	}
	feed_group_stop(&group);
}

static void
inject_fault(struct feed_group *group, struct random_source *random)
{
	uint32_t id, other;

	/* Half of the faults concern a voter, as voters and parents matter
	 * most. */
	id = 1 + random_below(random, random_below(random, 2) ? VOTERS : HOSTS);
	other = 1 + random_below(random, HOSTS);
	switch (random_below(random, 8)) {
	case 0:
		feed_group_kill_node(&group->nodes[id - 1]);
		break;
	case 1:
		if (!group->nodes[id - 1].is_running)
			feed_group_start_node(&group->nodes[id - 1]);
		break;
	case 2:
		feed_group_kill_node(&group->nodes[other - 1]);
		feed_group_start_node(&group->nodes[other - 1]);
		break;
	case 3:
		if (group->nodes[id - 1].is_running)
			fake_net_freeze(&group->net, id);
		break;
	case 4:
		fake_net_thaw(&group->net, id);
		break;
	case 5:
		fake_net_cut_host(
		    &group->net, id, true, random_below(random, 2));
		break;
	case 6:
		fake_net_cut_pair(&group->net, id, other, true);
		break;
	default:
		fake_net_heal(&group->net);
		break;
	}
}

static void
end_faults(struct feed_group *group)
{
	uint32_t id;

	for (id = 1; id <= HOSTS; id++) {
		if (!group->nodes[id - 1].is_running)
			feed_group_start_node(&group->nodes[id - 1]);
		fake_net_thaw(&group->net, id);
	}
	fake_net_heal(&group->net);
	fake_net_set_links(&group->net, &good_link);
}

/* The invariant holds under random faults. RECOVER_MS after the last fault all
 * hosts hold leases, and the last change is in force. */
static void
test_lease_holders_have_all_changes_in_force(void **state)
{
	const char *soak = getenv("CHICORY_SOAK_SCHEDULES");
	unsigned int schedules, schedule, step;
	struct random_source random;
	struct feed_group group;

	(void)state;
	schedules =
	    soak == NULL ? SCHEDULES : (unsigned int)strtoul(soak, NULL, 10);
	for (schedule = 1; schedule <= schedules; schedule++) {
		random_init(&random, schedule);
		feed_group_start(
		    &group, schedule, schedule % 2 ? &bad_link : &good_link);
		for (step = 0; step < STEPS; step++) {
			feed_group_run(&group, random_below(&random, 600));
			feed_group_commit_change(&group);
			if (random_below(&random, 3) == 0)
				inject_fault(&group, &random);
		}
		end_faults(&group);
		feed_group_run(&group, RECOVER_MS);
		if (feed_group_count_leases(&group) != HOSTS ||
		    group.max_in_force != group.committed)
			fail_msg("schedule %u: %u leases, %llu of %llu",
			    schedule, feed_group_count_leases(&group),
			    (unsigned long long)group.max_in_force,
			    (unsigned long long)group.committed);
		feed_group_stop(&group);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_changes_come_into_force_despite_cut_off_hosts),
	    cmocka_unit_test(test_snapshot_of_several_chunks_is_fetched),
	    cmocka_unit_test(test_leases_expire_without_a_quorum),
	    cmocka_unit_test(test_stale_leader_clock_grants_no_lease),
	    cmocka_unit_test(test_no_host_stays_behind_cut_off_voters),
	    cmocka_unit_test(test_missed_changes_are_fetched_over_a_new_link),
	    cmocka_unit_test(test_lease_holders_have_all_changes_in_force),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
