/*
 * Voters of two builds, of which the later one knows one more kind of command: a
 * voter stops before what it does not know, and what no quorum knows is not
 * committed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "voter_commands.h"

/* Proposes a command that only the made-up newer build knows. */
static enum error_code
propose_newer(struct group_host *host, struct group_answer *answer)
{
	struct message_writer writer;
	enum error_code error;

	message_writer_init(&writer);
	voter_group_encode_newer(&writer);
	error = consensus_propose(&host->consensus, message_data(&writer),
	    message_size(&writer),
	    (struct consensus_callback){group_on_change_result, answer});
	message_writer_finish(&writer);
	return error;
}

/* Makes all hosts but one follower run the newer build; returns that one. */
static struct group_host *
mix_builds(struct voter_group *group)
{
	struct group_host *leader, *old;
	uint32_t id;

	leader = voter_group_leader(group);
	old = &group->hosts[leader->id % GROUP_VOTERS];
	for (id = 1; id < GROUP_HOSTS; id++)
		group->hosts[id - 1].is_newer = id != old->id;
	return old;
}

/* A voter that does not know a command stops before it, neither votes nor
 * leads, and starts again only on a build that knows it. */
static void
test_voter_stops_at_unknown_command(void **state)
{
	struct group_answer answer = {.error = ERROR_INTERNAL};
	struct group_host *leader, *old, *other;
	struct voter_group group;
	uint64_t before;

	(void)state;
	group_init_with_leader(&group, 14);
	group_put_many(&group, "a", 3);
	leader = voter_group_leader(&group);
	old = mix_builds(&group);
	other = &group.hosts[old->id % GROUP_VOTERS];
	fake_net_run(&group.net, 500);
	before = old->state.applied_index;
	assert_int_equal(propose_newer(leader, &answer), ERROR_NONE);
	group_put_many(&group, "b", 3);
	assert_int_equal(answer.error, ERROR_NONE);
	fake_net_run(&group.net, 500);
	assert_int_equal(leader->state.revision, 6);
	assert_int_equal(old->state.revision, 3);
	assert_int_equal(old->state.applied_index, before);
	assert_int_equal(old->consensus.failure, ERROR_NOT_SUPPORTED);
	voter_group_stop(&group, other->id);
	fake_net_run(&group.net, 10000);
	assert_null(voter_group_leader(&group));
	voter_group_stop(&group, old->id);
	assert_int_equal(
	    voter_group_try_start(&group, old->id), ERROR_NOT_SUPPORTED);
	fake_net_run(&group.net, 10000);
	assert_null(voter_group_leader(&group));
	old->is_newer = true;
	assert_false(voter_group_start(&group, old->id));
	voter_group_start(&group, other->id);
	fake_net_run(&group.net, 10000);
	assert_true(voter_group_agrees(&group));
	assert_int_equal(old->newer_count, 1);
	assert_int_equal(old->state.revision, 6);
	voter_group_finish(&group);
}

/* A voter that holds an unknown command as its last entry, not yet committed,
 * stops when it leads and commits it: it never applies what follows. */
static void
test_elected_voter_stops_at_unknown_command(void **state)
{
	struct group_answer answer = {0};
	struct group_host *leader, *old, *other;
	struct voter_group group;
	uint64_t before;

	(void)state;
	group_init_with_leader(&group, 15);
	group_put_many(&group, "a", 3);
	leader = voter_group_leader(&group);
	old = mix_builds(&group);
	other = &group.hosts[old->id % GROUP_VOTERS];
	fake_net_run(&group.net, 500);
	before = old->state.applied_index;
	fake_net_cut_host(&group.net, other->id, true, true);
	assert_int_equal(propose_newer(leader, &answer), ERROR_NONE);
	old->is_newer = true;
	while (journal_last_index(&old->consensus.journal) == before)
		fake_net_run(&group.net, 1);
	voter_group_stop(&group, leader->id);
	fake_net_heal(&group.net);
	old->is_newer = other->is_newer = false;
	fake_net_run(&group.net, 20000);
	assert_null(voter_group_leader(&group));
	assert_int_equal(old->state.applied_index, before);
	assert_int_equal(other->state.applied_index, before);
	old->is_newer = other->is_newer = true;
	for (uint32_t id = 1; id <= GROUP_VOTERS; id++) {
		voter_group_stop(&group, id);
		assert_false(voter_group_start(&group, id));
	}
	fake_net_run(&group.net, 10000);
	assert_true(voter_group_agrees(&group));
	assert_int_equal(old->newer_count, 1);
	assert_int_equal(leader->newer_count, 1);
	voter_group_finish(&group);
}

/* A voter does not acknowledge a command that it does not know, so the command
 * commits only once a quorum knows it. */
static void
test_unknown_command_is_not_acknowledged(void **state)
{
	struct group_answer answer = {0};
	struct group_host *leader, *old, *other;
	struct voter_group group;
	uint64_t before;

	(void)state;
	group_init_with_leader(&group, 20);
	group_put_many(&group, "a", 3);
	leader = voter_group_leader(&group);
	old = mix_builds(&group);
	other = &group.hosts[old->id % GROUP_VOTERS];
	fake_net_run(&group.net, 500);
	before = old->state.applied_index;
	fake_net_cut_host(&group.net, other->id, true, true);
	assert_int_equal(propose_newer(leader, &answer), ERROR_NONE);
	fake_net_run(&group.net, 5000);
	assert_int_equal(old->consensus.failure, ERROR_NOT_SUPPORTED);
	assert_int_equal(leader->newer_count, 0);
	assert_int_equal(leader->consensus.commit_index, before);
	fake_net_heal(&group.net);
	assert_true(voter_group_wait_leader(&group, 10000));
	fake_net_run(&group.net, 2000);
	assert_int_equal(leader->newer_count, 1);
	assert_int_equal(other->newer_count, 1);
	assert_int_equal(old->state.applied_index, before);
	voter_group_finish(&group);
}

/* A voter that gets a snapshot with a kind of record that it does not know
 * stops before it, and so does one that finds such a snapshot on its disk. */
static void
test_voter_stops_at_unknown_record(void **state)
{
	struct group_answer answer = {.error = ERROR_INTERNAL};
	struct group_host *leader, *old;
	struct voter_group group;
	uint64_t before;

	(void)state;
	group_init_with_leader(&group, 17);
	group_put_many(&group, "a", 3);
	leader = voter_group_leader(&group);
	old = mix_builds(&group);
	fake_net_run(&group.net, 500);
	before = old->state.applied_index;
	fake_net_cut_host(&group.net, old->id, true, true);
	assert_int_equal(propose_newer(leader, &answer), ERROR_NONE);
	group_put_many(&group, "b", 60);
	assert_int_equal(answer.error, ERROR_NONE);
	assert_true(leader->consensus.journal.base_index > before);
	fake_net_heal(&group.net);
	fake_net_run(&group.net, 5000);
	assert_int_equal(old->state.applied_index, before);
	assert_int_equal(old->state.revision, 3);
	assert_int_equal(old->consensus.failure, ERROR_NOT_SUPPORTED);
	assert_int_equal(old->consensus.snapshot.index, 1);
	voter_group_stop(&group, old->id);
	old->is_newer = true;
	assert_false(voter_group_start(&group, old->id));
	fake_net_run(&group.net, 10000);
	assert_true(voter_group_agrees(&group));
	assert_int_equal(old->newer_count, 1);
	voter_group_stop(&group, old->id);
	old->is_newer = false;
	assert_int_equal(
	    voter_group_try_start(&group, old->id), ERROR_NOT_SUPPORTED);
	old->is_newer = true;
	assert_false(voter_group_start(&group, old->id));
	fake_net_run(&group.net, 10000);
	assert_true(voter_group_agrees(&group));
	assert_int_equal(old->newer_count, 1);
	voter_group_finish(&group);
}

/* An old host that shall join voters whose log or snapshot holds what it does
 * not know becomes no voter, and the voters go on without it; on a newer build
 * it joins. */
static void
check_old_host_does_not_join(uint64_t seed, unsigned int commands)
{
	enum {
		SPARE = 4
	};
	struct group_answer answer = {.error = ERROR_INTERNAL}, joined = {0};
	struct group_host *leader, *spare;
	struct voter_group group;
	uint32_t id;

	group_init_with_leader(&group, seed);
	spare = &group.hosts[SPARE - 1];
	for (id = 1; id <= GROUP_VOTERS; id++)
		group.hosts[id - 1].is_newer = true;
	leader = voter_group_leader(&group);
	assert_int_equal(propose_newer(leader, &answer), ERROR_NONE);
	group_put_many(&group, "a", commands);
	assert_int_equal(answer.error, ERROR_NONE);
	assert_int_equal(
	    consensus_add_voter(&leader->consensus,
		voter_group_identity(&group, SPARE),
		(struct consensus_callback){group_on_change_result, &joined}),
	    ERROR_NONE);
	fake_net_run(&group.net, 62000);
	assert_int_equal(joined.count, 1);
	assert_int_equal(joined.error, ERROR_TIMEOUT);
	assert_int_equal(spare->consensus.failure, ERROR_NOT_SUPPORTED);
	assert_int_equal(spare->state.revision, 0);
	assert_ptr_equal(voter_group_leader(&group), leader);
	group_put_many(&group, "b", 1);
	voter_group_stop(&group, SPARE);
	spare->is_newer = true;
	assert_false(voter_group_start(&group, SPARE));
	assert_int_equal(
	    consensus_add_voter(&leader->consensus,
		voter_group_identity(&group, SPARE),
		(struct consensus_callback){group_on_change_result, &joined}),
	    ERROR_NONE);
	fake_net_run(&group.net, 10000);
	assert_int_equal(joined.count, 2);
	assert_int_equal(joined.error, ERROR_NONE);
	assert_true(voter_group_agrees(&group));
	assert_int_equal(spare->newer_count, 1);
	voter_group_finish(&group);
}

static void
test_old_host_does_not_join_newer_voters(void **state)
{
	(void)state;
	check_old_host_does_not_join(18, 3);
	check_old_host_does_not_join(19, 60);
}

/* A leader does not put a command into the log that it can't apply itself. */
static void
test_leader_refuses_unknown_command(void **state)
{
	struct group_answer answer = {0};
	struct group_host *leader;
	struct voter_group group;
	uint64_t last;

	(void)state;
	group_init_with_leader(&group, 16);
	group_put_many(&group, "a", 1);
	leader = voter_group_leader(&group);
	last = journal_last_index(&leader->consensus.journal);
	assert_int_equal(propose_newer(leader, &answer), ERROR_NOT_SUPPORTED);
	assert_int_equal(journal_last_index(&leader->consensus.journal), last);
	group_put_many(&group, "b", 1);
	fake_net_run(&group.net, 500);
	assert_true(voter_group_agrees(&group));
	assert_int_equal(answer.count, 0);
	voter_group_finish(&group);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_voter_stops_at_unknown_command),
	    cmocka_unit_test(test_elected_voter_stops_at_unknown_command),
	    cmocka_unit_test(test_unknown_command_is_not_acknowledged),
	    cmocka_unit_test(test_voter_stops_at_unknown_record),
	    cmocka_unit_test(test_old_host_does_not_join_newer_voters),
	    cmocka_unit_test(test_leader_refuses_unknown_command),
	};

	voter_group_discard_logs();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
