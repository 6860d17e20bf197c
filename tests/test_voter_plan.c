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

static const struct current_voter current_voters[] = {
    {1, 11}, {2, 12}, {3, 13}, {4, 14}, {5, 15}};

/* Candidates that the leader sees, and the step expected from the plan. The
 * current voters are the first current_voter_count of current_voters. */
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
	{{1, 11, true, true}, {2, 12, true, true}, {3, 13, true, true},
	    {4, 14, true, true}, {5, 15, true, true}},
	VOTER_STEP_ADD, 4, 14},
    {"all is as wanted", 5, 5,
	{{1, 11, true, true}, {2, 12, true, true}, {3, 13, true, true},
	    {4, 14, true, true}, {5, 15, true, true}},
	VOTER_STEP_NONE, 0, 0},
    {"one lost its disk", 5, 5,
	{{1, 11, true, true}, {2, 92, true, true}, {3, 13, true, true},
	    {4, 14, true, true}, {5, 15, true, true}},
	VOTER_STEP_ADD, 2, 92},
    {"one is dead and nobody can take its place", 5, 5,
	{{1, 11, true, true}, {2, 12, false, false}, {3, 13, true, true},
	    {4, 14, true, true}, {5, 15, true, true}},
	VOTER_STEP_NONE, 0, 0},
    {"one is dead and a successor is there", 5, 6,
	{{1, 11, true, true}, {2, 12, false, false}, {3, 13, true, true},
	    {4, 14, true, true}, {5, 15, true, true}, {6, 16, true, true}},
	VOTER_STEP_REMOVE, 2, 0},
    {"after it the successor is added", 4, 5,
	{{1, 11, true, true}, {2, 12, true, true}, {3, 13, true, true},
	    {4, 14, true, true}, {6, 16, true, true}},
	VOTER_STEP_ADD, 6, 16},
    {"a spare host changes nothing while all live", 5, 6,
	{{1, 11, true, true}, {2, 12, true, true}, {3, 13, true, true},
	    {4, 14, true, true}, {5, 15, true, true}, {6, 16, true, true}},
	VOTER_STEP_NONE, 0, 0},
    {"a host without a data folder never votes", 3, 4,
	{{1, 11, true, true}, {2, 12, true, true}, {3, 13, true, true},
	    {4, 0, true, true}},
	VOTER_STEP_NONE, 0, 0},
    {"a suspected host is not added", 4, 6,
	{{1, 11, true, true}, {2, 12, true, true}, {3, 13, true, true},
	    {4, 14, true, true}, {5, 15, true, false}, {6, 16, true, true}},
	VOTER_STEP_ADD, 6, 16},
};

/* Steps while host 5 is catching up under incarnation 95. */
static const struct {
	const char *name;
	struct voter_candidate joining_host;
	enum voter_step_kind kind;
} join_cases[] = {
    {"it catches up", {5, 95, true, true}, VOTER_STEP_NONE},
    {"it has lost its disk again", {5, 96, true, true}, VOTER_STEP_CANCEL},
    {"it is suspected", {5, 95, true, false}, VOTER_STEP_CANCEL},
    {"it is dead", {5, 95, false, false}, VOTER_STEP_CANCEL},
    {"it is unknown", {0}, VOTER_STEP_CANCEL},
};

static void
test_plan_proposes_next_voter_step(void **state)
{
	struct voter_plan plan = {.voters = current_voters, .wanted = WANTED};
	struct voter_step step;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		plan.voter_count = cases[i].current_voter_count;
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
	struct voter_plan plan = {.voters = current_voters,
	    .voter_count = WANTED,
	    .candidate_count = 1,
	    .wanted = WANTED,
	    .joining = {5, 95}};
	struct voter_step step;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(join_cases) / sizeof(join_cases[0]); i++) {
		plan.candidates = &join_cases[i].joining_host;
		step = voter_plan_next(&plan);
		if (step.kind != join_cases[i].kind)
			fail_msg(
			    "%s: step %d", join_cases[i].name, (int)step.kind);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_plan_proposes_next_voter_step),
	    cmocka_unit_test(test_plan_gives_up_joining_host_that_failed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
