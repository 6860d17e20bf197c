/*
 * Tests of the next step that brings the voters to the wanted number.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/voter_plan.h"

#define WANTED 5 /* Number of voters that the plan aims at. */

/* A set that the tests cut to its first voters. */
static const struct voter_set all_voters = {VOTERS_MAX,
    {{1, 11}, {2, 12}, {3, 13}, {4, 14}, {5, 15}, {6, 16}, {7, 17}}};

/* Candidates that the leader sees, and the step expected from the plan. The
 * current voters are the first current_voter_count of all_voters. */
static const struct {
	const char *name;
	uint32_t current_voter_count;
	uint32_t candidate_count;
	struct voter_candidate candidates[6];
	enum voter_step_kind kind;
	uint32_t host_id;
	uint64_t incarnation;
} cases[] = {
    {"three seeds, two more hosts", 3, 5,
	{{1, true, 11}, {2, true, 12}, {3, true, 13}, {4, true, 14},
	    {5, true, 15}},
	VOTER_STEP_ADD, 4, 14},
    {"all is as wanted", 5, 5,
	{{1, true, 11}, {2, true, 12}, {3, true, 13}, {4, true, 14},
	    {5, true, 15}},
	VOTER_STEP_NONE, 0, 0},
    {"one lost its disk", 5, 5,
	{{1, true, 11}, {2, true, 92}, {3, true, 13}, {4, true, 14},
	    {5, true, 15}},
	VOTER_STEP_ADD, 2, 92},
    {"one is dead and nobody can take its place", 5, 5,
	{{1, true, 11}, {2, false, 12}, {3, true, 13}, {4, true, 14},
	    {5, true, 15}},
	VOTER_STEP_NONE, 0, 0},
    {"one is suspected, dead or stopping and a successor is there", 5, 6,
	{{1, true, 11}, {2, false, 12}, {3, true, 13}, {4, true, 14},
	    {5, true, 15}, {6, true, 16}},
	VOTER_STEP_ADD, 6, 16},
    {"after it the other is removed", 6, 6,
	{{1, true, 11}, {2, false, 12}, {3, true, 13}, {4, true, 14},
	    {5, true, 15}, {6, true, 16}},
	VOTER_STEP_REMOVE, 2, 0},
    {"it has become sound again", 6, 6,
	{{1, true, 11}, {2, true, 12}, {3, true, 13}, {4, true, 14},
	    {5, true, 15}, {6, true, 16}},
	VOTER_STEP_NONE, 0, 0},
    {"one too few and a successor is there", 4, 5,
	{{1, true, 11}, {2, true, 12}, {3, true, 13}, {4, true, 14},
	    {6, true, 16}},
	VOTER_STEP_ADD, 6, 16},
    {"a voter is not known yet", 5, 5,
	{{1, true, 11}, {2, true, 12}, {3, true, 13}, {4, true, 14},
	    {6, true, 16}},
	VOTER_STEP_NONE, 0, 0},
    {"a spare host changes nothing while all live", 5, 6,
	{{1, true, 11}, {2, true, 12}, {3, true, 13}, {4, true, 14},
	    {5, true, 15}, {6, true, 16}},
	VOTER_STEP_NONE, 0, 0},
    {"a host without a data folder never votes", 3, 4,
	{{1, true, 11}, {2, true, 12}, {3, true, 13}, {4, true, 0}},
	VOTER_STEP_NONE, 0, 0},
    {"a suspected host is not added", 4, 6,
	{{1, true, 11}, {2, true, 12}, {3, true, 13}, {4, true, 14},
	    {5, false, 15}, {6, true, 16}},
	VOTER_STEP_ADD, 6, 16},
};

/* Steps while host 5 is catching up under incarnation 95. */
static const struct {
	const char *name;
	struct voter_candidate joining_host;
	enum voter_step_kind kind;
} join_cases[] = {
    {"it catches up", {5, true, 95}, VOTER_STEP_NONE},
    {"it has lost its disk again", {5, true, 96}, VOTER_STEP_CANCEL},
    {"it is suspected", {5, false, 95}, VOTER_STEP_CANCEL},
    {"it is dead", {5, false, 95}, VOTER_STEP_CANCEL},
    {"it is unknown", {0}, VOTER_STEP_CANCEL},
};

/* Prepares a plan for the first @p count voters, which are as many as wanted. */
static void
init_plan(struct voter_plan *plan, struct voter_set *voters, uint32_t count)
{
	*voters = all_voters;
	voters->count = count;
	*plan = (struct voter_plan){.voters = voters, .wanted = count};
}

static void
test_plan_proposes_next_voter_step(void **state)
{
	struct voter_set voters;
	struct voter_plan plan;
	struct voter_step step;
	size_t i;

	(void)state;
	init_plan(&plan, &voters, WANTED);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		voters.count = cases[i].current_voter_count;
		plan.candidates = cases[i].candidates;
		plan.candidate_count = cases[i].candidate_count;
		step = voter_plan_next(&plan);
		if (step.kind != cases[i].kind ||
		    step.host_id != cases[i].host_id ||
		    step.voter_incarnation != cases[i].incarnation)
			fail_msg("%s: step %d host %u", cases[i].name,
			    (int)step.kind, step.host_id);
	}
}

/* Guards against a joining host that loses its disk and keeps all other changes
 * of the voters waiting. */
static void
test_plan_gives_up_joining_host_that_failed(void **state)
{
	struct voter_set voters;
	struct voter_plan plan;
	struct voter_step step;
	size_t i;

	(void)state;
	init_plan(&plan, &voters, WANTED);
	plan.candidate_count = 1;
	plan.joining = (struct voter){5, 95};
	for (i = 0; i < sizeof(join_cases) / sizeof(join_cases[0]); i++) {
		plan.candidates = &join_cases[i].joining_host;
		step = voter_plan_next(&plan);
		if (step.kind != join_cases[i].kind)
			fail_msg(
			    "%s: step %d", join_cases[i].name, (int)step.kind);
	}
}

/* With the largest number of voters, a successor comes after the voter that it
 * replaces. */
static void
test_plan_without_room_removes_first(void **state)
{
	const struct voter_candidate candidates[] = {{1, true, 11},
	    {2, false, 12}, {3, true, 13}, {4, true, 14}, {5, true, 15},
	    {6, true, 16}, {7, true, 17}, {8, true, 18}};
	struct voter_set voters;
	struct voter_plan plan;
	struct voter_step step;

	(void)state;
	init_plan(&plan, &voters, VOTERS_MAX);
	plan.candidates = candidates;
	plan.candidate_count = 8;
	step = voter_plan_next(&plan);
	assert_int_equal(step.kind, VOTER_STEP_REMOVE);
	assert_int_equal(step.host_id, 2);
}

/* Guards against a voter that is gone for so long that membership has forgotten
 * it, and that then is never replaced. */
static void
test_plan_replaces_forgotten_voter(void **state)
{
	const struct voter_candidate candidates[] = {{1, true, 11},
	    {2, true, 12}, {3, true, 13}, {4, true, 14}, {6, true, 16}};
	struct voter_set voters;
	struct voter_plan plan;

	(void)state;
	init_plan(&plan, &voters, WANTED);
	plan.candidates = candidates;
	plan.candidate_count = 5;
	assert_int_equal(voter_plan_next(&plan).kind, VOTER_STEP_NONE);
	plan.knows_all_hosts = true;
	assert_int_equal(voter_plan_next(&plan).kind, VOTER_STEP_ADD);
	assert_int_equal(voter_plan_next(&plan).host_id, 6);
}

/* Guards against a planned stop after which the successor has no vote for
 * seconds: the host that stops waits while it can still be replaced. */
static void
test_stopping_voter_waits_for_its_successor(void **state)
{
	const struct voter_candidate candidates[] = {{1, true, 11},
	    {2, true, 12}, {3, true, 13}, {4, true, 14}, {5, false, 15},
	    {6, true, 16}};
	struct voter_set voters;
	struct voter_plan plan;

	(void)state;
	init_plan(&plan, &voters, WANTED);
	plan.candidates = candidates;
	plan.candidate_count = 5;
	assert_false(voter_plan_has_successor(&plan));
	plan.candidate_count = 6;
	assert_true(voter_plan_has_successor(&plan));
	voters.count = 6;
	assert_true(voter_plan_has_successor(&plan));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_plan_proposes_next_voter_step),
	    cmocka_unit_test(test_plan_gives_up_joining_host_that_failed),
	    cmocka_unit_test(test_plan_without_room_removes_first),
	    cmocka_unit_test(test_plan_replaces_forgotten_voter),
	    cmocka_unit_test(test_stopping_voter_waits_for_its_successor),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
