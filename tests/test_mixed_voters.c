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

/* Voters that agree, of which one follower runs the old build. */
struct mixed_voters {
	struct voter_group group;
	struct group_host *leader; /* Runs the newer build. */
	struct group_host *old;	   /* Runs the old one. */
	struct group_host *other;  /* The other follower, of the newer one. */
	uint64_t before;	   /* What the old one has applied. */
};

/* Starts the group, sets three keys and changes the builds. */
static void
init_mixed(struct mixed_voters *voters, uint64_t seed)
{
	struct voter_group *group = &voters->group;
	uint32_t id;

	group_init_with_leader(group, seed);
	group_put_many(group, "a", 3);
	voters->leader = voter_group_leader(group);
	voters->old = &group->hosts[voters->leader->id % GROUP_VOTERS];
	voters->other = &group->hosts[voters->old->id % GROUP_VOTERS];
	for (id = 1; id < GROUP_HOSTS; id++)
		group->hosts[id - 1].is_newer = id != voters->old->id;
	fake_net_run(&group->net, 500);
	voters->before = voters->old->state.applied_index;
}

/* A voter that does not know a command stops before it, neither votes nor
 * leads, and starts again only on a build that knows it. */
static void
test_voter_stops_at_unknown_command(void **state)
{
	struct group_answer answer = {.error = ERROR_INTERNAL};
	struct mixed_voters voters;

	(void)state;
	init_mixed(&voters, 14);
	assert_int_equal(propose_newer(voters.leader, &answer), ERROR_NONE);
	group_put_many(&voters.group, "b", 3);
	assert_int_equal(answer.error, ERROR_NONE);
	fake_net_run(&voters.group.net, 500);
	assert_int_equal(voters.leader->state.revision, 6);
	assert_int_equal(voters.old->state.revision, 3);
	assert_int_equal(voters.old->state.applied_index, voters.before);
	assert_int_equal(voters.old->consensus.failure, ERROR_NOT_SUPPORTED);
	voter_group_stop(&voters.group, voters.other->id);
	fake_net_run(&voters.group.net, 10000);
	assert_null(voter_group_leader(&voters.group));
	voter_group_stop(&voters.group, voters.old->id);
	assert_int_equal(voter_group_try_start(&voters.group, voters.old->id),
	    ERROR_NOT_SUPPORTED);
	fake_net_run(&voters.group.net, 10000);
	assert_null(voter_group_leader(&voters.group));
	voters.old->is_newer = true;
	assert_false(voter_group_start(&voters.group, voters.old->id));
	voter_group_start(&voters.group, voters.other->id);
	fake_net_run(&voters.group.net, 10000);
	assert_true(voter_group_agrees(&voters.group));
	assert_int_equal(voters.old->newer_count, 1);
	assert_int_equal(voters.old->state.revision, 6);
	voter_group_finish(&voters.group);
}

/* A voter that holds an unknown command as its last entry, not yet committed,
 * stops when it leads and commits it: it never applies what follows. */
static void
test_elected_voter_stops_at_unknown_command(void **state)
{
	struct group_answer answer = {0};
	struct mixed_voters voters;

	(void)state;
	init_mixed(&voters, 15);
	fake_net_cut_host(&voters.group.net, voters.other->id, true, true);
	assert_int_equal(propose_newer(voters.leader, &answer), ERROR_NONE);
	voters.old->is_newer = true;
	while (
	    journal_last_index(&voters.old->consensus.journal) == voters.before)
		fake_net_run(&voters.group.net, 1);
	voter_group_stop(&voters.group, voters.leader->id);
	fake_net_heal(&voters.group.net);
	voters.old->is_newer = voters.other->is_newer = false;
	fake_net_run(&voters.group.net, 20000);
	assert_null(voter_group_leader(&voters.group));
	assert_int_equal(voters.old->state.applied_index, voters.before);
	assert_int_equal(voters.other->state.applied_index, voters.before);
	voters.old->is_newer = voters.other->is_newer = true;
	for (uint32_t id = 1; id <= GROUP_VOTERS; id++) {
		voter_group_stop(&voters.group, id);
		assert_false(voter_group_start(&voters.group, id));
	}
	fake_net_run(&voters.group.net, 10000);
	assert_true(voter_group_agrees(&voters.group));
	assert_int_equal(voters.old->newer_count, 1);
	assert_int_equal(voters.leader->newer_count, 1);
	voter_group_finish(&voters.group);
}

/* A voter does not acknowledge a command that it does not know, so the command
 * commits only once a quorum knows it. */
static void
test_unknown_command_is_not_acknowledged(void **state)
{
	struct group_answer answer = {0};
	struct mixed_voters voters;

	(void)state;
	init_mixed(&voters, 20);
	fake_net_cut_host(&voters.group.net, voters.other->id, true, true);
	assert_int_equal(propose_newer(voters.leader, &answer), ERROR_NONE);
	fake_net_run(&voters.group.net, 5000);
	assert_int_equal(voters.old->consensus.failure, ERROR_NOT_SUPPORTED);
	assert_int_equal(voters.leader->newer_count, 0);
	assert_int_equal(voters.leader->consensus.commit_index, voters.before);
	fake_net_heal(&voters.group.net);
	assert_true(voter_group_wait_leader(&voters.group, 10000));
	fake_net_run(&voters.group.net, 2000);
	assert_int_equal(voters.leader->newer_count, 1);
	assert_int_equal(voters.other->newer_count, 1);
	assert_int_equal(voters.old->state.applied_index, voters.before);
	voter_group_finish(&voters.group);
}

/* A voter that gets a snapshot with a kind of record that it does not know
 * stops before it, and so does one that finds such a snapshot on its disk. */
static void
test_voter_stops_at_unknown_record(void **state)
{
	struct group_answer answer = {.error = ERROR_INTERNAL};
	struct mixed_voters voters;

	(void)state;
	init_mixed(&voters, 17);
	fake_net_cut_host(&voters.group.net, voters.old->id, true, true);
	assert_int_equal(propose_newer(voters.leader, &answer), ERROR_NONE);
	group_put_many(&voters.group, "b", 60);
	assert_int_equal(answer.error, ERROR_NONE);
	assert_true(
	    voters.leader->consensus.journal.base_index > voters.before);
	fake_net_heal(&voters.group.net);
	fake_net_run(&voters.group.net, 5000);
	assert_int_equal(voters.old->state.applied_index, voters.before);
	assert_int_equal(voters.old->state.revision, 3);
	assert_int_equal(voters.old->consensus.failure, ERROR_NOT_SUPPORTED);
	assert_int_equal(voters.old->consensus.snapshot.index, 1);
	voter_group_stop(&voters.group, voters.old->id);
	voters.old->is_newer = true;
	assert_false(voter_group_start(&voters.group, voters.old->id));
	fake_net_run(&voters.group.net, 10000);
	assert_true(voter_group_agrees(&voters.group));
	assert_int_equal(voters.old->newer_count, 1);
	voter_group_stop(&voters.group, voters.old->id);
	voters.old->is_newer = false;
	assert_int_equal(voter_group_try_start(&voters.group, voters.old->id),
	    ERROR_NOT_SUPPORTED);
	voters.old->is_newer = true;
	assert_false(voter_group_start(&voters.group, voters.old->id));
	fake_net_run(&voters.group.net, 10000);
	assert_true(voter_group_agrees(&voters.group));
	assert_int_equal(voters.old->newer_count, 1);
	voter_group_finish(&voters.group);
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

/* A leader proposes no command that its owner does not allow, whichever host
 * sent it; other commands go on. */
static void
test_leader_refuses_what_its_owner_does_not_allow(void **state)
{
	struct command command = {.type = COMMAND_PARTS_CLEARED};
	struct group_host *leader;
	struct voter_group group;
	uint64_t last;

	(void)state;
	group_init_with_leader(&group, 20);
	group_put_many(&group, "a", 1);
	leader = voter_group_leader(&group);
	leader->refused_kind = COMMAND_PARTS_CLEARED;
	last = journal_last_index(&leader->consensus.journal);
	command.body.parts.count = 1;
	command.body.parts.evidence[0].part = 7;
	assert_int_equal(
	    group_submit(&group, GROUP_LEARNER, &command, ANSWER_MS).error,
	    ERROR_NOT_SUPPORTED);
	assert_int_equal(journal_last_index(&leader->consensus.journal), last);
	group_put_many(&group, "b", 1);
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
	    cmocka_unit_test(test_leader_refuses_what_its_owner_does_not_allow),
	};

	voter_group_discard_logs();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
