/**
 * @file voter_plan.h
 * Decides which voter the leader adds or removes next, to reach the wanted
 * number of voters.
 *
 * The decision depends only on the arguments, which come from membership. A
 * sound host with a disk is added while there are too few voters. A voter that
 * lost its data folder is added again under its new incarnation.
 *
 * A voter that is suspected, dead or stopping is replaced as soon as a sound
 * host without a vote is there, so replacing a machine for good needs no
 * operator. The successor is added before the other is removed: meanwhile the
 * voter set tolerates as many lost disks as before. Without a successor the
 * voter stays, since a smaller voter set tolerates fewer failures.
 *
 * A host that fails while it is being added is given up, because no other
 * voter can be added or removed until that change has ended.
 */
#ifndef VOTER_PLAN_H
#define VOTER_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "state/voter_file.h"

/** A host with a disk, which may become a voter. */
struct voter_candidate {
	uint32_t host_id; /**< Id of the host. */
	bool is_sound;	  /**< Alive, not suspected and not stopping. */
	uint64_t voter_incarnation; /**< Incarnation of its data folder. */
};

/** What the decision depends on. */
struct voter_plan {
	const struct voter_set *voters; /**< The current voter set. */
	/** Hosts with a disk; of several that could be added, the first is. */
	const struct voter_candidate *candidates;
	uint32_t candidate_count; /**< Number of candidates. */
	uint32_t wanted;	  /**< Number of voters to reach. */
	/** Host that is catching up to be added; host id 0 for none. */
	struct voter joining;
	/** Every live host has had time to become known, so that a voter which
	 * is not among the candidates is gone. */
	bool knows_all_hosts;
};

/** Kind of the next change to the voter set. */
enum voter_step_kind {
	VOTER_STEP_NONE = 0,   /**< No change is needed or possible. */
	VOTER_STEP_ADD = 1,    /**< Add a host or its new incarnation. */
	VOTER_STEP_REMOVE = 2, /**< Remove a voter that is not sound. */
	VOTER_STEP_CANCEL = 3, /**< Give up the host that is joining. */
};

/** The next change to the voter set. */
struct voter_step {
	enum voter_step_kind kind;  /**< Kind of change. */
	uint32_t host_id;	    /**< Host to add, remove or give up. */
	uint64_t voter_incarnation; /**< Incarnation to add. */
};

/** Returns the next change to the voter set, so that it approaches the wanted
 * number of live voters. The kind is VOTER_STEP_NONE if there is nothing to
 * do, or if the change in progress must end first. */
struct voter_step voter_plan_next(const struct voter_plan *plan);
/** Returns true if a voter that stops should wait until it has been removed from
 * the voters, because a successor is there or has been added already. */
bool voter_plan_has_successor(const struct voter_plan *plan);

#endif
