#include "coordination/voter_plan.h"

#include <stddef.h>

static const struct voter_candidate *find_candidate(
    const struct voter_plan *plan, uint32_t host_id);
static const struct current_voter *find_voter(
    const struct voter_plan *plan, uint32_t host_id);
static const struct voter_candidate *find_new_incarnation(
    const struct voter_plan *plan);
static const struct voter_candidate *find_spare(const struct voter_plan *plan);
static const struct current_voter *find_dead_voter(
    const struct voter_plan *plan);
static bool has_join_failed(const struct voter_plan *plan);
static struct voter_step make_add_step(const struct voter_candidate *candidate);

struct voter_step
voter_plan_next(const struct voter_plan *plan)
{
	const struct voter_candidate *candidate;
	const struct current_voter *dead;
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
	candidate = find_spare(plan);
	if (candidate == NULL)
		return none;
	if (plan->voter_count < plan->wanted)
		return make_add_step(candidate);
	dead = find_dead_voter(plan);
	if (dead == NULL)
		return none;
	return (struct voter_step){VOTER_STEP_REMOVE, dead->host_id, 0};
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

/* Returns the voter with this host id, or NULL if there is none. */
static const struct current_voter *
find_voter(const struct voter_plan *plan, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < plan->voter_count; i++) {
		if (plan->voters[i].host_id == host_id)
			return &plan->voters[i];
	}
	return NULL;
}

/* Returns the first host that can be added again, because it has lost the data
 * folder under which it is a voter; NULL if there is none. */
static const struct voter_candidate *
find_new_incarnation(const struct voter_plan *plan)
{
	const struct voter_candidate *candidate;
	const struct current_voter *voter;
	uint32_t i;

	for (i = 0; i < plan->candidate_count; i++) {
		candidate = &plan->candidates[i];
		voter = find_voter(plan, candidate->host_id);
		if (voter != NULL && candidate->may_join &&
		    candidate->voter_incarnation != 0 &&
		    candidate->voter_incarnation != voter->voter_incarnation)
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
		if (candidate->may_join && candidate->voter_incarnation != 0 &&
		    find_voter(plan, candidate->host_id) == NULL)
			return candidate;
	}
	return NULL;
}

/* Returns a voter whose host is dead, or NULL if there is none. */
static const struct current_voter *
find_dead_voter(const struct voter_plan *plan)
{
	const struct voter_candidate *candidate;
	uint32_t i;

	for (i = 0; i < plan->voter_count; i++) {
		candidate = find_candidate(plan, plan->voters[i].host_id);
		if (candidate != NULL && !candidate->is_live)
			return &plan->voters[i];
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
	return candidate == NULL || !candidate->may_join ||
	       candidate->voter_incarnation != plan->joining.voter_incarnation;
}

static struct voter_step
make_add_step(const struct voter_candidate *candidate)
{
	return (struct voter_step){
	    VOTER_STEP_ADD, candidate->host_id, candidate->voter_incarnation};
}
