/**
 * @file placement_split.h
 * Divides the engines of a service between short and long prompts.
 *
 * While an engine prefills a long prompt, all decoding on that engine stops,
 * so answers to short prompts would pause. Short and long prompts therefore
 * use different engines, and the division follows the demand. It is made for
 * loads with phases in which either kind of prompt arrives several times as
 * often as usual.
 */
#ifndef PLACEMENT_SPLIT_H
#define PLACEMENT_SPLIT_H

#include <stdint.h>

/** Demand for a service, as the number of engines it would keep busy. */
struct split_demand {
	double short_engines; /**< Engines needed for short prompts. */
	double long_engines;  /**< Engines needed for long prompts. */
};

/** Rate of prefill work from long prompts, decaying exponentially. */
struct split_rate {
	double engines;	 /**< Engines kept busy as of time_ms. */
	int64_t time_ms; /**< When work was last added, 0 for never. */
};

/** Number of engines out of @p total that take short prompts; the others take
 * long ones. Of two or more engines, short prompts always get at least one,
 * and long prompts get at least one if there is demand for them. */
uint32_t split_short_count(uint32_t total, const struct split_demand *demand);
/** Number of engines that take short prompts if these are kept together: as many
 * as they need with room to grow, so that the other engines have no answers that
 * a long prompt would stop. Divides as split_short_count() does while there are
 * too few engines for that. */
uint32_t split_packed_count(uint32_t total, const struct split_demand *demand);
/** Adds a long prompt that needs @p prefill_ms of one engine to a demand. */
void split_demand_add(struct split_demand *demand, double prefill_ms);
/** Adds the work rate as of @p now_ms to the demand for long prompts. */
void split_demand_add_rate(
    struct split_demand *demand, const struct split_rate *rate, int64_t now_ms);
/** Adds @p prefill_ms milliseconds of one engine's work to the rate. */
void split_rate_add(struct split_rate *rate, double prefill_ms, int64_t now_ms);
/** Subtracts work that was added to the rate but not done. */
void split_rate_remove(struct split_rate *rate, double prefill_ms);
/** Number of engines that the work rate keeps busy at @p now_ms. */
double split_rate_at(const struct split_rate *rate, int64_t now_ms);

#endif
