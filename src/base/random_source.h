/**
 * @file random_source.h
 * Seeded random numbers that a caller owns, so that a run can be replayed.
 */
#ifndef RANDOM_SOURCE_H
#define RANDOM_SOURCE_H

#include <stdint.h>

/** State of the POSIX 48-bit generator. Zero is a valid start. */
struct random_source {
	unsigned short state[3]; /**< As nrand48() and erand48() take it. */
};

/* Setting up */

/** Starts the sequence that belongs to @p seed. */
void random_init(struct random_source *source, uint64_t seed);

/* Drawing numbers */

/** Uniform in [0, bound); 0 when bound is 0. */
uint32_t random_below(struct random_source *source, uint32_t bound);
/** Uniform in [0, 1). */
double random_unit(struct random_source *source);
/** Uniform over 64 bits, not for secrets. */
uint64_t random_word(struct random_source *source);
/** Exponential with the given mean, in the mean's unit. */
double random_exponential(struct random_source *source, double mean);

#endif
