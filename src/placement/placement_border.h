/**
 * @file placement_border.h
 * Decides when a request leaves its host's data centre, and how many do.
 *
 * For loads in which a data centre's own upstreams are sometimes too few, while
 * traffic to others is slower and costs money. A request leaves if what its caller
 * gains is more than the way costs, and the more, the more often: all hosts of a
 * data centre see about the same gain, so each sends the same share, and together
 * they send that share and not all at once. Two data centres that are equally busy
 * have nothing to gain from each other, so they don't fill each other.
 */
#ifndef PLACEMENT_BORDER_H
#define PLACEMENT_BORDER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/** What a request finds at home and in other data centres. */
struct border_offer {
	bool has_home;	      /**< Some upstream at home may take it. */
	bool has_away;	      /**< Some upstream elsewhere may take it. */
	double home_cost_ms;  /**< Time that the best one at home costs. */
	double away_cost_ms;  /**< The same for the best one elsewhere. */
	double delay_ms;      /**< One way to the other data centre. */
	double bytes;	      /**< Bytes that would cross the border. */
	double ms_per_mb;     /**< What a megabyte across is worth. */
	int64_t facts_age_ms; /**< Age of what other hosts said last. */
};

/** What was decided; any thread may read it. */
struct border_counters {
	_Atomic uint64_t stayed; /**< Requests sent to an upstream at home. */
	/** Requests sent elsewhere as that paid. */
	_Atomic uint64_t left_for_gain;
	/** Requests sent elsewhere as no upstream at home could take them. */
	_Atomic uint64_t left_for_want;
	_Atomic uint64_t bytes; /**< Bytes of these requests. */
};

/** Time that crossing the border costs, in milliseconds. */
double border_cost_ms(const struct border_offer *offer);
/** Returns the share of such requests that leave, from 0 to 1. */
double border_away_share(const struct border_offer *offer);

#endif
