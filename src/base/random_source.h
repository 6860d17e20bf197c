/**
 * @file random_source.h
 * Seeded random number generators, each owned by its caller, so that a run with
 * the same seed can be repeated.
 */
#ifndef RANDOM_SOURCE_H
#define RANDOM_SOURCE_H

#include <stdint.h>

/** State of the POSIX 48-bit generator. All zeros is a valid initial state. */
struct random_source {
	unsigned short state[3]; /**< Argument of nrand48() and erand48(). */
};

/* Setting up */

/** Initialises a generator. Equal seeds give equal sequences. */
void random_init(struct random_source *source, uint64_t seed);

/* Drawing numbers */

/** Returns a number uniform in [0, bound), or 0 if @p bound is 0. */
uint32_t random_below(struct random_source *source, uint32_t bound);
/** Returns a number uniform in [0, 1). */
double random_unit(struct random_source *source);
/** Returns a 64-bit number. It is predictable, so don't use it for secrets. */
uint64_t random_uint64(struct random_source *source);
/** Returns an exponentially distributed number with the given mean. */
double random_exponential(struct random_source *source, double mean);

#endif
