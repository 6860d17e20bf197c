/**
 * @file voter_plan.h
 * Which hosts should vote: the leader's next step towards the wanted number.
 *
 * A pure decision over what membership shows. A host with a disk that is
 * live and does not vote is added while voters are too few. A voter whose
 * data folder was lost is added again under its new incarnation. A voter
 * that is dead gives way as soon as another host can take its place, so a
 * machine that is replaced for good needs no operator; without a successor
 * it stays, since a smaller set would bear fewer losses.
 */
#ifndef VOTER_PLAN_H
#define VOTER_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"

/** A host with a disk, as the leader sees it. */
struct voter_candidate {
	uint32_t host_id;	    /**< Which host. */
	uint64_t voter_incarnation; /**< Of its data folder. */
	bool is_live;		    /**< Membership takes it for alive. */
	bool has_left;		    /**< It said that it stops. */
};

/** A voter of the current set. */
struct voter_seat {
	uint32_t host_id;	    /**< Which host. */
	uint64_t voter_incarnation; /**< Of the data folder that votes. */
};

/** What to do next. */
enum voter_step_kind {
	VOTER_STEP_NONE = 0,   /**< All is as wanted. */
	VOTER_STEP_ADD = 1,    /**< Add, or replace the lost incarnation. */
	VOTER_STEP_REMOVE = 2, /**< Remove a voter that is gone. */
};

/** A step. */
struct voter_step {
	enum voter_step_kind kind;  /**< What. */
	uint32_t host_id;	    /**< Whom. */
	uint64_t voter_incarnation; /**< VOTER_STEP_ADD: which one. */
};

/** Picks the next step. @p wanted is the number of voters aimed at. */
struct voter_step voter_plan_next(const struct voter_seat *seats,
    uint32_t seat_count, const struct voter_candidate *candidates,
    uint32_t candidate_count, uint32_t wanted);

#endif
