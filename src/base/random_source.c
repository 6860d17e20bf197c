#include "base/random_source.h"

#include <math.h>
#include <stdlib.h>

#include <xxhash.h>

void
random_init(struct random_source *source, uint64_t seed)
{
	uint64_t word;

	/* Without the hash, neighbouring seeds would give similar sequences. */
	word = XXH64(&seed, sizeof(seed), 0);
	source->state[0] = (unsigned short)word;
	source->state[1] = (unsigned short)(word >> 16);
	source->state[2] = (unsigned short)(word >> 32);
}

uint32_t
random_below(struct random_source *source, uint32_t bound)
{
	if (bound == 0)
		return 0;
	return (uint32_t)(random_unit(source) * (double)bound);
}

double
random_unit(struct random_source *source)
{
	return erand48(source->state);
}

uint64_t
random_uint64(struct random_source *source)
{
	uint64_t word;

	word = (uint64_t)nrand48(source->state) << 42;
	word ^= (uint64_t)nrand48(source->state) << 21;
	word ^= (uint64_t)nrand48(source->state);
	return word;
}

double
random_exponential(struct random_source *source, double mean)
{
	return -mean * log(1.0 - random_unit(source));
}
