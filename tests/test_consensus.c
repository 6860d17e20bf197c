/*
 * Tests of consensus, command client and replicated state with simulated
 * disks, clocks and links.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/consensus_message.h"
#include "voter_group.h"

#define ANSWER_MS 10000 /* Timeout of commands that must be answered. */

static const struct fake_link good_link = {
    .delay_min_ms = 1, .delay_max_ms = 3};

/* Number of results that a command's callback received, and the last one. */
struct answer {
	unsigned int count;
	struct command_result result;
	enum error_code error;
};

static void
on_command_result(void *context, const struct command_result *result)
{
	struct answer *answer = context;

	answer->count++;
	answer->result = *result;
}

static void
on_change_result(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size)
{
	struct answer *answer = context;

	(void)index;
	(void)result;
	(void)result_size;
	answer->count++;
	answer->error = error;
}

/* Sets a configuration key through a host and waits for the answer. */
static struct command_result
put(struct voter_group *group, uint32_t id, const char *operation_id,
    uint64_t expected, int64_t timeout_ms)
{
	struct config_change change = {.value = "1"};
	struct command command = {.type = COMMAND_CONFIG};
	struct answer answer = {0};

	snprintf(change.key, sizeof(change.key), "setting/%s", operation_id);
	snprintf(command.operation_id, sizeof(command.operation_id), "%s",
	    operation_id);
	command.body.config.expected_revision = expected;
	command.body.config.change_count = 1;
	command.body.config.changes = &change;
	assert_int_equal(
	    command_client_submit(&group->hosts[id - 1].client, &command,
		timeout_ms,
		(struct command_callback){on_command_result, &answer}),
	    ERROR_NONE);
	while (answer.count == 0)
		fake_net_run(&group->net, 5);
	assert_int_equal(answer.count, 1);
	return answer.result;
}

static void
put_many(struct voter_group *group, const char *prefix, unsigned int count)
{
	char operation_id[OPERATION_ID_SIZE_MAX];
	unsigned int i;

	for (i = 0; i < count; i++) {
		snprintf(operation_id, sizeof(operation_id), "%s%u", prefix, i);
		assert_int_equal(put(group, GROUP_LEARNER, operation_id,
				     REVISION_ANY, ANSWER_MS)
				     .error,
		    ERROR_NONE);
	}
}

static void
setup(struct voter_group *group, uint64_t seed)
{
	voter_group_init(group, seed, &good_link);
	assert_true(voter_group_wait_leader(group, 6000));
}

/* Any host accepts commands. A command sent again gets the first answer, and
 * another one with the same expected revision gets a conflict. */
static void
test_any_host_accepts_commands(void **state)
{
	struct command_result first, again;
	struct voter_group group;
	uint32_t id;

	(void)state;
	setup(&group, 1);
	first = put(&group, 1, "a", 0, ANSWER_MS);
	assert_int_equal(first.error, ERROR_NONE);
	assert_int_equal(first.revision, 1);
	assert_int_equal(
	    put(&group, 2, "b", 0, ANSWER_MS).error, ERROR_REVISION_CONFLICT);
	for (id = 1; id <= GROUP_HOSTS; id++) {
		again = put(&group, id, "a", 0, ANSWER_MS);
		assert_memory_equal(&again, &first, sizeof(first));
	}
	assert_int_equal(put(&group, 5, "c", 1, ANSWER_MS).revision, 2);
	fake_net_run(&group.net, 1000);
	assert_true(voter_group_agrees(&group));
	voter_group_finish(&group);
}

/* A leader that is cut off commits nothing, and answers that the outcome is
 * unknown or that it isn't the leader. */
static void
test_cut_off_leader_commits_nothing(void **state)
{
	struct voter_group group;
	struct group_host *old;
	struct answer answer = {0};
	uint64_t commit_index;
	int64_t at_ms;

	(void)state;
	setup(&group, 2);
	put_many(&group, "a", 3);
	old = voter_group_leader(&group);
	fake_net_cut_host(&group.net, old->id, true, true);
	assert_int_equal(put(&group, old->id, "lost", REVISION_ANY, 4000).error,
	    ERROR_OUTCOME_UNKNOWN);
	assert_int_equal(
	    consensus_confirmed_at(&old->consensus, &at_ms, &commit_index),
	    ERROR_NOT_LEADER);
	assert_int_equal(
	    consensus_propose(&old->consensus, "x", 1,
		(struct consensus_callback){on_change_result, &answer}),
	    ERROR_NOT_LEADER);
	assert_int_equal(
	    put(&group, old->id, "never", REVISION_ANY, 3000).error,
	    ERROR_OUTCOME_UNKNOWN);
	put_many(&group, "b", 3);
	fake_net_heal(&group.net);
	fake_net_run(&group.net, 3000);
	assert_true(voter_group_agrees(&group));
	assert_int_equal(voter_group_leader(&group)->state.revision, 6);
	voter_group_finish(&group);
}

/* A voter that was cut off must not depose the leader when it returns. */
static void
test_returning_host_does_not_depose_leader(void **state)
{
	struct voter_group group;
	struct group_host *leader;
	uint32_t absent;
	uint64_t term;

	(void)state;
	setup(&group, 3);
	leader = voter_group_leader(&group);
	term = leader->consensus.identity.term;
	absent = leader->id % GROUP_VOTERS + 1;
	fake_net_cut_host(&group.net, absent, true, true);
	fake_net_run(&group.net, 30000);
	fake_net_heal(&group.net);
	fake_net_run(&group.net, 5000);
	/* Cuts only messages from the leader to this voter. The third voter
	 * receives from both. */
	fake_net_link(&group.net, leader->id, absent)->is_cut = true;
	fake_net_run(&group.net, 30000);
	assert_ptr_equal(voter_group_leader(&group), leader);
	assert_int_equal(leader->consensus.identity.term, term);
	voter_group_finish(&group);
}

/* A leader that was frozen must not take answers from before the freeze for a
 * confirmation of a later time, whether timers or messages come first. */
static void
test_thawed_leader_confirms_nothing_new(void **state)
{
	struct voter_group group;
	struct group_host *old;
	int64_t at_ms, frozen_ms;
	uint64_t commit_index, seed;

	(void)state;
	for (seed = 20; seed < 40; seed++) {
		setup(&group, seed);
		put_many(&group, "a", 2);
		old = voter_group_leader(&group);
		/* Waits until the leader has just sent a heartbeat, so that
		 * the answers are on their way when it is frozen. */
		while (old->consensus.peers[0].last_sent_ms !=
		       timer_now(old->consensus.timers))
			fake_net_run(&group.net, 1);
		fake_net_freeze(&group.net, old->id);
		frozen_ms = timer_now(old->consensus.timers);
		fake_net_run(&group.net, 10);
		fake_net_cut_host(&group.net, old->id, false, true);
		fake_net_run(&group.net, 6000);
		fake_net_thaw(&group.net, old->id);
		if (consensus_confirmed_at(
			&old->consensus, &at_ms, &commit_index) == ERROR_NONE)
			assert_true(at_ms <= frozen_ms);
		voter_group_check_leases(&group);
		voter_group_finish(&group);
	}
}

/* Waits for a leader other than @p excluded, has it append an entry that no
 * other host receives, and stops it. */
static struct group_host *
stop_isolated_new_leader(struct voter_group *group, struct group_host *excluded)
{
	struct answer answer = {0};
	const struct consensus_callback ignored = {on_change_result, &answer};
	struct group_host *host;
	uint32_t id;

	for (;;) {
		fake_net_run(&group->net, 1);
		for (id = 1; id <= GROUP_VOTERS; id++) {
			host = &group->hosts[id - 1];
			if (host == excluded ||
			    host->consensus.role != CONSENSUS_ROLE_LEADER)
				continue;
			fake_net_cut_host(&group->net, id, true, true);
			assert_int_equal(consensus_propose(&host->consensus,
					     "other", 5, ignored),
			    ERROR_NONE);
			fake_net_run(&group->net, 20);
			voter_group_stop(group, id);
			fake_net_heal(&group->net);
			return host;
		}
	}
}

/* An entry of an older term may be stored on a quorum and still be replaced.
 * It must not count as committed before an entry of the leader's own term. */
static void
test_entries_of_old_terms_do_not_commit_by_count(void **state)
{
	static const char large[CONSENSUS_COMMAND_SIZE_MAX];
	struct answer answer = {0};
	struct voter_group group;
	struct group_host *first, *second, *third;
	uint64_t last;
	int i;

	(void)state;
	setup(&group, 10);
	put_many(&group, "a", 3);
	fake_net_run(&group.net, 1000);
	first = voter_group_leader(&group);
	last = journal_last_index(&first->consensus.journal);
	fake_net_cut_host(&group.net, first->id, true, true);
	for (i = 0; i < 4; i++)
		assert_int_equal(
		    consensus_propose(&first->consensus, large, sizeof(large),
			(struct consensus_callback){on_change_result, &answer}),
		    ERROR_NONE);
	fake_net_run(&group.net, 10);
	voter_group_stop(&group, first->id);
	fake_net_heal(&group.net);
	second = stop_isolated_new_leader(&group, first);
	third = &group.hosts[6 - first->id - second->id - 1];
	voter_group_start(&group, first->id);
	/* The large entries need several messages: cut the link after two. */
	while (third->consensus.journal.synced_index <= last + 1)
		fake_net_run(&group.net, 1);
	fake_net_link(&group.net, first->id, third->id)->is_cut = true;
	assert_true(third->consensus.journal.synced_index < last + 4);
	fake_net_run(&group.net, 100);
	assert_true(first->consensus.role == CONSENSUS_ROLE_LEADER);
	voter_group_stop(&group, first->id);
	fake_net_heal(&group.net);
	voter_group_start(&group, second->id);
	assert_true(voter_group_wait_leader(&group, 10000));
	put_many(&group, "b", 3);
	voter_group_start(&group, first->id);
	fake_net_run(&group.net, 5000);
	assert_true(voter_group_agrees(&group));
	voter_group_finish(&group);
}

static void
test_restart_after_many_changes_and_catch_up_by_snapshot(void **state)
{
	struct voter_group group;
	uint32_t absent, id;

	(void)state;
	setup(&group, 4);
	absent = voter_group_leader(&group)->id % GROUP_VOTERS + 1;
	voter_group_stop(&group, absent);
	put_many(&group, "a", 400);
	assert_true(voter_group_leader(&group)->consensus.snapshot.index > 100);
	voter_group_start(&group, absent);
	fake_net_run(&group.net, 5000);
	assert_true(voter_group_agrees(&group));
	for (id = 1; id <= GROUP_VOTERS; id++) {
		voter_group_stop(&group, id);
		fake_disk_crash(&group.hosts[id - 1].disk);
	}
	for (id = 1; id <= GROUP_VOTERS; id++)
		voter_group_start(&group, id);
	assert_true(voter_group_wait_leader(&group, 8000));
	fake_net_run(&group.net, 2000);
	assert_true(voter_group_agrees(&group));
	assert_int_equal(voter_group_leader(&group)->state.revision, 400);
	voter_group_finish(&group);
}

/* A host that lost its disk does not vote until it is added as a new voter.
 * Right after that, a second host may fail. */
static void
test_lost_disk_is_replaced_before_second_loss(void **state)
{
	struct answer answer = {0};
	struct voter_group group;
	struct group_host *leader;
	uint32_t lost, other;

	(void)state;
	setup(&group, 5);
	put_many(&group, "a", 5);
	leader = voter_group_leader(&group);
	lost = leader->id % GROUP_VOTERS + 1;
	other = lost % GROUP_VOTERS + 1;
	voter_group_stop(&group, lost);
	fake_disk_erase(&group.hosts[lost - 1].disk);
	voter_group_start(&group, lost);
	/* The host that lost its disk must not form a quorum with the leader
	 * alone. */
	voter_group_stop(&group, other);
	assert_int_equal(put(&group, leader->id, "x", REVISION_ANY, 5000).error,
	    ERROR_OUTCOME_UNKNOWN);
	assert_null(voter_group_leader(&group));
	voter_group_start(&group, other);
	assert_true(voter_group_wait_leader(&group, 6000));
	leader = voter_group_leader(&group);
	assert_int_equal(
	    consensus_add_voter(&leader->consensus,
		voter_group_identity(&group, lost),
		(struct consensus_callback){on_change_result, &answer}),
	    ERROR_NONE);
	assert_int_equal(
	    consensus_remove_voter(&leader->consensus, other,
		(struct consensus_callback){on_change_result, &answer}),
	    ERROR_CHANGE_PENDING);
	fake_net_run(&group.net, 3000);
	assert_int_equal(answer.count, 1);
	assert_int_equal(answer.error, ERROR_NONE);
	voter_group_stop(&group, other);
	fake_disk_erase(&group.hosts[other - 1].disk);
	put_many(&group, "b", 5);
	voter_group_finish(&group);
}

static void
test_host_with_damaged_journal_does_not_vote(void **state)
{
	struct voter_group group;
	struct voter before, after;
	char name[] = "journal-00000000000000000002";

	(void)state;
	setup(&group, 6);
	put_many(&group, "a", 5);
	before = voter_group_identity(&group, 2);
	voter_group_stop(&group, 2);
	fake_disk_flip_bit(&group.hosts[1].disk, name, 20);
	assert_true(voter_group_start(&group, 2));
	after = voter_group_identity(&group, 2);
	assert_true(before.incarnation != after.incarnation);
	assert_false(consensus_is_voter(&group.hosts[1].consensus));
	voter_group_finish(&group);
}

/* A planned transfer of the leadership needs no election timeout. */
static void
test_transfer_needs_no_election_timeout(void **state)
{
	struct voter_group group;
	struct group_host *leader;

	(void)state;
	setup(&group, 7);
	leader = voter_group_leader(&group);
	assert_int_equal(consensus_transfer(&leader->consensus), ERROR_NONE);
	fake_net_run(&group.net, 200);
	assert_non_null(voter_group_leader(&group));
	assert_ptr_not_equal(voter_group_leader(&group), leader);
	voter_group_finish(&group);
}

/* A voter with a full disk takes no part until there is space again. */
static void
test_voter_recovers_from_full_disk(void **state)
{
	struct voter_group group;
	struct group_host *leader;

	(void)state;
	setup(&group, 8);
	put_many(&group, "a", 3);
	leader = voter_group_leader(&group);
	leader->disk.capacity = 1;
	put_many(&group, "b", 3);
	assert_true(leader->consensus.is_failed);
	leader->disk.capacity = 0;
	fake_net_run(&group.net, 5000);
	assert_false(leader->consensus.is_failed);
	assert_true(voter_group_agrees(&group));
	voter_group_finish(&group);
}

/* A follower whose disk is full knows of more committed entries than it could
 * store. It must not acknowledge the ones that it lacks. */
static void
test_full_follower_acknowledges_only_stored_entries(void **state)
{
	struct voter_group group;
	struct group_host *leader, *full;
	uint32_t id;

	(void)state;
	setup(&group, 11);
	leader = voter_group_leader(&group);
	full = &group.hosts[leader->id % GROUP_VOTERS];
	put_many(&group, "a", 30);
	fake_net_cut_host(&group.net, full->id, true, true);
	while (leader->consensus.snapshot.index == 1)
		put_many(&group,
		    leader->consensus.applied_index % 2 == 0 ? "even" : "odd",
		    1);
	put_many(&group, "b", 2);
	full->disk.capacity = 1;
	fake_net_heal(&group.net);
	while (!full->consensus.is_failed)
		fake_net_run(&group.net, 10);
	/* After a restart the leader has no entries before its snapshot. */
	for (id = 1; id <= GROUP_VOTERS; id++) {
		if (id == full->id)
			continue;
		voter_group_stop(&group, id);
		voter_group_start(&group, id);
	}
	full->disk.capacity = 0;
	fake_net_run(&group.net, 10000);
	assert_true(voter_group_agrees(&group));
	voter_group_finish(&group);
}

/* Proposes a command that only the made-up newer build knows. */
static enum error_code
propose_newer(struct group_host *host, struct answer *answer)
{
	struct message_writer writer;
	enum error_code error;

	message_writer_init(&writer);
	voter_group_encode_newer(&writer);
	error = consensus_propose(&host->consensus, message_data(&writer),
	    message_size(&writer),
	    (struct consensus_callback){on_change_result, answer});
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
	struct answer answer = {.error = ERROR_INTERNAL};
	struct group_host *leader, *old, *other;
	struct voter_group group;
	uint64_t before;

	(void)state;
	setup(&group, 14);
	put_many(&group, "a", 3);
	leader = voter_group_leader(&group);
	old = mix_builds(&group);
	other = &group.hosts[old->id % GROUP_VOTERS];
	fake_net_run(&group.net, 500);
	before = old->state.applied_index;
	assert_int_equal(propose_newer(leader, &answer), ERROR_NONE);
	put_many(&group, "b", 3);
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
	struct answer answer = {0};
	struct group_host *leader, *old, *other;
	struct voter_group group;
	uint64_t before;

	(void)state;
	setup(&group, 15);
	put_many(&group, "a", 3);
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
	struct answer answer = {0};
	struct group_host *leader, *old, *other;
	struct voter_group group;
	uint64_t before;

	(void)state;
	setup(&group, 20);
	put_many(&group, "a", 3);
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
	struct answer answer = {.error = ERROR_INTERNAL};
	struct group_host *leader, *old;
	struct voter_group group;
	uint64_t before;

	(void)state;
	setup(&group, 17);
	put_many(&group, "a", 3);
	leader = voter_group_leader(&group);
	old = mix_builds(&group);
	fake_net_run(&group.net, 500);
	before = old->state.applied_index;
	fake_net_cut_host(&group.net, old->id, true, true);
	assert_int_equal(propose_newer(leader, &answer), ERROR_NONE);
	put_many(&group, "b", 60);
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
	struct answer answer = {.error = ERROR_INTERNAL}, joined = {0};
	struct group_host *leader, *spare;
	struct voter_group group;
	uint32_t id;

	setup(&group, seed);
	spare = &group.hosts[SPARE - 1];
	for (id = 1; id <= GROUP_VOTERS; id++)
		group.hosts[id - 1].is_newer = true;
	leader = voter_group_leader(&group);
	assert_int_equal(propose_newer(leader, &answer), ERROR_NONE);
	put_many(&group, "a", commands);
	assert_int_equal(answer.error, ERROR_NONE);
	assert_int_equal(
	    consensus_add_voter(&leader->consensus,
		voter_group_identity(&group, SPARE),
		(struct consensus_callback){on_change_result, &joined}),
	    ERROR_NONE);
	fake_net_run(&group.net, 62000);
	assert_int_equal(joined.count, 1);
	assert_int_equal(joined.error, ERROR_TIMEOUT);
	assert_int_equal(spare->consensus.failure, ERROR_NOT_SUPPORTED);
	assert_int_equal(spare->state.revision, 0);
	assert_ptr_equal(voter_group_leader(&group), leader);
	put_many(&group, "b", 1);
	voter_group_stop(&group, SPARE);
	spare->is_newer = true;
	assert_false(voter_group_start(&group, SPARE));
	assert_int_equal(
	    consensus_add_voter(&leader->consensus,
		voter_group_identity(&group, SPARE),
		(struct consensus_callback){on_change_result, &joined}),
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
	struct answer answer = {0};
	struct group_host *leader;
	struct voter_group group;
	uint64_t last;

	(void)state;
	setup(&group, 16);
	put_many(&group, "a", 1);
	leader = voter_group_leader(&group);
	last = journal_last_index(&leader->consensus.journal);
	assert_int_equal(propose_newer(leader, &answer), ERROR_NOT_SUPPORTED);
	assert_int_equal(journal_last_index(&leader->consensus.journal), last);
	put_many(&group, "b", 1);
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
	struct answer answer = {0};
	struct group_host *leader;
	struct voter_group group;
	uint64_t last;

	(void)state;
	setup(&group, 20);
	put_many(&group, "a", 1);
	leader = voter_group_leader(&group);
	leader->refused_kind = COMMAND_PARTS_CLEARED;
	last = journal_last_index(&leader->consensus.journal);
	command.body.parts.count = 1;
	command.body.parts.evidence[0].part = 7;
	assert_int_equal(
	    command_client_submit(&group.hosts[GROUP_LEARNER - 1].client,
		&command, ANSWER_MS,
		(struct command_callback){on_command_result, &answer}),
	    ERROR_NONE);
	fake_net_run(&group.net, 1000);
	assert_int_equal(answer.count, 1);
	assert_int_equal(answer.result.error, ERROR_NOT_SUPPORTED);
	assert_int_equal(journal_last_index(&leader->consensus.journal), last);
	put_many(&group, "b", 1);
	voter_group_finish(&group);
}

/* A step of the leader's wall clock must not make claims expire early. */
static void
test_clock_step_does_not_move_state_time(void **state)
{
	struct voter_group group;
	struct group_host *leader;
	int64_t before_ms;

	(void)state;
	setup(&group, 9);
	put_many(&group, "a", 3);
	leader = voter_group_leader(&group);
	before_ms = leader->state.time_ms;
	leader->wall_offset_ms = CLAIM_WINDOW_MS * 2;
	put_many(&group, "b", 3);
	assert_true(leader->state.time_ms - before_ms < 120000);
	leader->wall_offset_ms = -CLAIM_WINDOW_MS * 2;
	put_many(&group, "c", 3);
	assert_true(leader->state.time_ms >= before_ms);
	voter_group_finish(&group);
}

/* Truncated and corrupted messages do no harm, and one that is refused changes
 * nothing. */
static void
test_invalid_messages_change_nothing(void **state)
{
	struct consensus_message message = {.type = CONSENSUS_APPEND,
	    .cluster_id = 77,
	    .term = 1,
	    .index = 1,
	    .log_term = 1};
	struct journal_entry entry = {1, 1, 5, (unsigned char *)"entry"};
	struct random_source random;
	struct message_writer writer;
	struct voter_group group;
	struct consensus *consensus;
	unsigned char *bytes;
	enum error_code error;
	uint64_t last, term;
	unsigned int i;
	size_t size;

	(void)state;
	random_init(&random, 1);
	setup(&group, 12);
	consensus = &group.hosts[0].consensus;
	message.entries = &entry;
	message.entry_count = 1;
	message.voters = consensus->voters;
	message_writer_init(&writer);
	consensus_message_encode(&message, &writer);
	bytes = g_malloc(message_size(&writer));
	for (i = 0; i < 20000; i++) {
		size = 1 + random_below(&random, message_size(&writer));
		memcpy(bytes, message_data(&writer), message_size(&writer));
		if (i % 2 == 0)
			size = message_size(&writer);
		bytes[random_below(&random, size)] =
		    (unsigned char)random_below(&random, 256);
		last = journal_last_index(&consensus->journal);
		term = consensus->identity.term;
		error = consensus_receive(consensus, 2, bytes, size);
		command_client_receive(&group.hosts[0].client, 2, bytes, size);
		/* Some changed messages are valid, e.g. with a later term. */
		if (error == ERROR_NONE || error == ERROR_STALE ||
		    error == ERROR_INTERNAL)
			continue;
		assert_int_equal(last, journal_last_index(&consensus->journal));
		assert_int_equal(term, consensus->identity.term);
	}
	g_free(bytes);
	message_writer_finish(&writer);
	voter_group_finish(&group);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_any_host_accepts_commands),
	    cmocka_unit_test(test_cut_off_leader_commits_nothing),
	    cmocka_unit_test(test_returning_host_does_not_depose_leader),
	    cmocka_unit_test(test_thawed_leader_confirms_nothing_new),
	    cmocka_unit_test(test_entries_of_old_terms_do_not_commit_by_count),
	    cmocka_unit_test(
		test_restart_after_many_changes_and_catch_up_by_snapshot),
	    cmocka_unit_test(test_lost_disk_is_replaced_before_second_loss),
	    cmocka_unit_test(test_host_with_damaged_journal_does_not_vote),
	    cmocka_unit_test(test_transfer_needs_no_election_timeout),
	    cmocka_unit_test(test_voter_recovers_from_full_disk),
	    cmocka_unit_test(
		test_full_follower_acknowledges_only_stored_entries),
	    cmocka_unit_test(test_voter_stops_at_unknown_command),
	    cmocka_unit_test(test_elected_voter_stops_at_unknown_command),
	    cmocka_unit_test(test_unknown_command_is_not_acknowledged),
	    cmocka_unit_test(test_voter_stops_at_unknown_record),
	    cmocka_unit_test(test_old_host_does_not_join_newer_voters),
	    cmocka_unit_test(test_leader_refuses_unknown_command),
	    cmocka_unit_test(test_leader_refuses_what_its_owner_does_not_allow),
	    cmocka_unit_test(test_clock_step_does_not_move_state_time),
	    cmocka_unit_test(test_invalid_messages_change_nothing),
	};

	voter_group_discard_logs();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
