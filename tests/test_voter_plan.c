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
	{{1, 11, true, false}, {2, 12, true, false}, {3, 13, true, false},
	    {4, 14, true, false}, {5, 15, true, false}},
	VOTER_STEP_ADD, 4, 14},
    {"all is as wanted", 5, 5,
	{{1, 11, true, false}, {2, 12, true, false}, {3, 13, true, false},
	    {4, 14, true, false}, {5, 15, true, false}},
	VOTER_STEP_NONE, 0, 0},
    {"one lost its disk", 5, 5,
	{{1, 11, true, false}, {2, 92, true, false}, {3, 13, true, false},
	    {4, 14, true, false}, {5, 15, true, false}},
	VOTER_STEP_ADD, 2, 92},
    {"one is dead and nobody can take its place", 5, 5,
	{{1, 11, true, false}, {2, 12, false, false}, {3, 13, true, false},
	    {4, 14, true, false}, {5, 15, true, false}},
	VOTER_STEP_NONE, 0, 0},
    {"one is dead and a successor is there", 5, 6,
	{{1, 11, true, false}, {2, 12, false, false}, {3, 13, true, false},
	    {4, 14, true, false}, {5, 15, true, false}, {6, 16, true, false}},
	VOTER_STEP_REMOVE, 2, 0},
    {"after it the successor is added", 4, 5,
	{{1, 11, true, false}, {2, 12, true, false}, {3, 13, true, false},
	    {4, 14, true, false}, {6, 16, true, false}},
	VOTER_STEP_ADD, 6, 16},
    {"a spare host changes nothing while all live", 5, 6,
	{{1, 11, true, false}, {2, 12, true, false}, {3, 13, true, false},
	    {4, 14, true, false}, {5, 15, true, false}, {6, 16, true, false}},
	VOTER_STEP_NONE, 0, 0},
    {"a host without a data folder never votes", 3, 4,
	{{1, 11, true, false}, {2, 12, true, false}, {3, 13, true, false},
	    {4, 0, true, false}},
	VOTER_STEP_NONE, 0, 0},
};

static void
test_plan_proposes_next_voter_step(void **state)
{
	struct voter_step step;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		step = voter_plan_next(current_voters,
		    cases[i].current_voter_count, cases[i].candidates,
		    cases[i].candidate_count, WANTED);
		if (step.kind != cases[i].kind ||
		    step.host_id != cases[i].host_id ||
		    step.voter_incarnation != cases[i].incarnation)
			fail_msg("%s: step %d host %u", cases[i].name,
			    (int)step.kind, step.host_id);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_plan_proposes_next_voter_step),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
