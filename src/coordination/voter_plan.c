#include "coordination/voter_plan.h"

#include <stddef.h>

static const struct voter_candidate *find_candidate(
    const struct voter_plan *plan, uint32_t host_id);
static const struct voter_candidate *find_new_incarnation(
    const struct voter_plan *plan);
static const struct voter_candidate *find_spare(const struct voter_plan *plan);
static const struct voter *find_outgoing_voter(const struct voter_plan *plan);
static bool has_join_failed(const struct voter_plan *plan);
static struct voter_step make_add_step(const struct voter_candidate *candidate);
static struct voter_step make_remove_step(const struct voter *voter);

struct voter_step
voter_plan_next(const struct voter_plan *plan)
{
	const struct voter_candidate *candidate;
	const struct voter *outgoing;
	struct voter_step none = {0};

	if (plan->joining.host_id != 0) {
		if (!has_join_failed(plan))
			return none;
		return (struct voter_step){
		    VOTER_STEP_CANCEL, plan->joining.host_id, 0};
	}
	candidate = find_new_incarnation(plan);
	if (candidate != NULL)
		return make_add_step(candidate);
	outgoing = find_outgoing_voter(plan);
	if (outgoing != NULL && plan->voters->count > plan->wanted)
		return make_remove_step(outgoing);
	candidate = find_spare(plan);
	if (candidate == NULL)
		return none;
	if (plan->voters->count < plan->wanted)
		return make_add_step(candidate);
	if (outgoing == NULL)
		return none;
	/* Without room for one more voter, the successor is added after the
	 * other has been removed. */
	if (plan->voters->count == VOTERS_MAX)
		return make_remove_step(outgoing);
	return make_add_step(candidate);
}

bool
voter_plan_has_successor(const struct voter_plan *plan)
{
	return plan->voters->count > plan->wanted || find_spare(plan) != NULL;
}

/* Returns the candidate with this host id, or NULL if there is none. */
static const struct voter_candidate *
find_candidate(const struct voter_plan *plan, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < plan->candidate_count; i++) {
		if (plan->candidates[i].host_id == host_id)
			return &plan->candidates[i];
	}
	return NULL;
}

/* Returns the first host that can be added again, because it has lost the data
 * folder under which it is a voter; NULL if there is none. */
static const struct voter_candidate *
find_new_incarnation(const struct voter_plan *plan)
{
	const struct voter_candidate *candidate;
	const struct voter *voter;
	uint32_t i;

	for (i = 0; i < plan->candidate_count; i++) {
		candidate = &plan->candidates[i];
		voter = voter_set_find(plan->voters, candidate->host_id);
		if (voter != NULL && candidate->is_sound &&
		    candidate->voter_incarnation != 0 &&
		    candidate->voter_incarnation != voter->incarnation)
			return candidate;
	}
	return NULL;
}

/* Returns the first host that is no voter and can become one, or NULL. */
static const struct voter_candidate *
find_spare(const struct voter_plan *plan)
{
	const struct voter_candidate *candidate;
	uint32_t i;

	for (i = 0; i < plan->candidate_count; i++) {
		candidate = &plan->candidates[i];
		if (candidate->is_sound && candidate->voter_incarnation != 0 &&
		    voter_set_find(plan->voters, candidate->host_id) == NULL)
			return candidate;
	}
	return NULL;
}

/* Returns a voter that should be replaced, because its host is suspected, dead,
 * stopping or forgotten; NULL if there is none. */
static const struct voter *
find_outgoing_voter(const struct voter_plan *plan)
{
	const struct voter_candidate *candidate;
	uint32_t i;

	for (i = 0; i < plan->voters->count; i++) {
		candidate =
		    find_candidate(plan, plan->voters->voters[i].host_id);
		if (candidate == NULL ? plan->knows_all_hosts
				      : !candidate->is_sound)
			return &plan->voters->voters[i];
	}
	return NULL;
}

/* Returns true if the host that is joining is gone, or has lost the data folder
 * under which it was to become a voter. */
static bool
has_join_failed(const struct voter_plan *plan)
{
	const struct voter_candidate *candidate;

	candidate = find_candidate(plan, plan->joining.host_id);
	return candidate == NULL || !candidate->is_sound ||
	       candidate->voter_incarnation != plan->joining.incarnation;
}

static struct voter_step
make_add_step(const struct voter_candidate *candidate)
{
	return (struct voter_step){
	    VOTER_STEP_ADD, candidate->host_id, candidate->voter_incarnation};
}

static struct voter_step
make_remove_step(const struct voter *voter)
{
	return (struct voter_step){VOTER_STEP_REMOVE, voter->host_id, 0};
}
