#include "coordination/voter_plan.h"

#include <stddef.h>

static const struct voter_candidate *find_candidate(
    const struct voter_candidate *candidates, uint32_t count, uint32_t host_id);
static bool has_seat(
    const struct voter_seat *seats, uint32_t count, uint32_t host_id);
static struct voter_step add(const struct voter_candidate *candidate);

struct voter_step
voter_plan_next(const struct voter_seat *seats, uint32_t seat_count,
    const struct voter_candidate *candidates, uint32_t candidate_count,
    uint32_t wanted)
{
	const struct voter_candidate *candidate, *successor;
	struct voter_step none = {0};
	uint32_t i;

	for (i = 0; i < seat_count; i++) {
		candidate = find_candidate(
		    candidates, candidate_count, seats[i].host_id);
		if (candidate != NULL && candidate->is_live &&
		    candidate->voter_incarnation != 0 &&
		    candidate->voter_incarnation != seats[i].voter_incarnation)
			return add(candidate);
	}
	successor = NULL;
	for (i = 0; i < candidate_count && successor == NULL; i++) {
		if (candidates[i].is_live &&
		    candidates[i].voter_incarnation != 0 &&
		    !has_seat(seats, seat_count, candidates[i].host_id))
			successor = &candidates[i];
	}
	if (successor == NULL)
		return none;
	if (seat_count < wanted)
		return add(successor);
	for (i = 0; i < seat_count; i++) {
		candidate = find_candidate(
		    candidates, candidate_count, seats[i].host_id);
		if (candidate == NULL || candidate->is_live)
			continue;
		return (struct voter_step){
		    VOTER_STEP_REMOVE, seats[i].host_id, 0};
	}
	return none;
}

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
has_seat(const struct voter_seat *seats, uint32_t count, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (seats[i].host_id == host_id)
			return true;
	}
	return false;
}

static struct voter_step
add(const struct voter_candidate *candidate)
{
	return (struct voter_step){
	    VOTER_STEP_ADD, candidate->host_id, candidate->voter_incarnation};
}
