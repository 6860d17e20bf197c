/**
 * @file placement_split.h
 * How many engines of a service take short prompts, and how many long ones.
 *
 * Reading a long prompt stops the writers beside it for as long as it takes,
 * so answers to short prompts pause. Engines are therefore kept apart, and
 * the line between them follows the load. Load answered: phases in which
 * either kind comes several times as often as usual.
 */
#ifndef PLACEMENT_SPLIT_H
#define PLACEMENT_SPLIT_H

#include <stdint.h>

/** Work that is asked for, in engines kept busy. */
struct split_demand {
	double light; /**< Short prompts. */
	double heavy; /**< Long prompts. */
};

/** Rate of the work that long prompts bring, fading over time. */
struct split_rate {
	double engines;	 /**< Engines kept busy, at the time below. */
	int64_t time_ms; /**< Of the last change. */
};

/** Of @p total engines, those that take short prompts; the rest takes long
 * ones. At least one is left to each kind that has a demand. */
uint32_t split_light_count(uint32_t total, const struct split_demand *demand);
/** Adds a long prompt that is about to be read to a demand. */
void split_demand_add(struct split_demand *demand, double read_ms);
/** Adds the present rate of work to a demand. */
void split_demand_add_rate(
    struct split_demand *demand, const struct split_rate *rate, int64_t now_ms);
/** Adds work of @p read_ms milliseconds of one engine. */
void split_rate_add(struct split_rate *rate, double read_ms, int64_t now_ms);
/** Takes back work that was added and not done. */
void split_rate_remove(struct split_rate *rate, double read_ms);
/** Engines kept busy at the present rate. */
double split_rate_at(const struct split_rate *rate, int64_t now_ms);

#endif
