#include "coordination/voter_plan.h"

#include <stddef.h>

static const struct voter_candidate *find_candidate(
    const struct voter_candidate *candidates, uint32_t count, uint32_t host_id);
static bool is_voter(
    const struct current_voter *voters, uint32_t count, uint32_t host_id);
static struct voter_step make_add_step(const struct voter_candidate *candidate);

struct voter_step
voter_plan_next(const struct current_voter *voters, uint32_t voter_count,
    const struct voter_candidate *candidates, uint32_t candidate_count,
    uint32_t wanted)
{
	const struct voter_candidate *candidate, *replacement;
	struct voter_step none = {0};
	uint32_t i;

	for (i = 0; i < voter_count; i++) {
		candidate = find_candidate(
		    candidates, candidate_count, voters[i].host_id);
		if (candidate != NULL && candidate->is_live &&
		    candidate->voter_incarnation != 0 &&
		    candidate->voter_incarnation != voters[i].voter_incarnation)
			return make_add_step(candidate);
	}
	replacement = NULL;
	for (i = 0; i < candidate_count && replacement == NULL; i++) {
		if (candidates[i].is_live &&
		    candidates[i].voter_incarnation != 0 &&
		    !is_voter(voters, voter_count, candidates[i].host_id))
			replacement = &candidates[i];
	}
	if (replacement == NULL)
		return none;
	if (voter_count < wanted)
		return make_add_step(replacement);
	for (i = 0; i < voter_count; i++) {
		candidate = find_candidate(
		    candidates, candidate_count, voters[i].host_id);
		if (candidate == NULL || candidate->is_live)
			continue;
		return (struct voter_step){
		    VOTER_STEP_REMOVE, voters[i].host_id, 0};
	}
	return none;
}

/* Returns the candidate with this host id, or NULL if there is none. */
static const struct voter_candidate *
find_candidate(
    const struct voter_candidate *candidates, uint32_t count, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (candidates[i].host_id == host_id)
			return &candidates[i];
	}
	return NULL;
}

static bool
is_voter(const struct current_voter *voters, uint32_t count, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (voters[i].host_id == host_id)
			return true;
	}
	return false;
}

static struct voter_step
make_add_step(const struct voter_candidate *candidate)
{
	return (struct voter_step){
	    VOTER_STEP_ADD, candidate->host_id, candidate->voter_incarnation};
}
