#include "coordination/placement_split.h"

#include <math.h>

#define RATE_FADE_MS	   4000.0 /* Work fades to a third in this time. */
#define HEAVY_USE	   0.6	  /* Of an engine, by reading long prompts. */
#define HEAVY_PART	   0.12	  /* Of the engines, while long prompts come. */
#define HEAVY_PART_PRESSED 0.05	  /* While short ones need all of them. */
#define LIGHT_LEAST	   0.6	  /* Of their demand; answers come slower. */
#define HEAVY_NOTICED	   0.02	  /* Less demand than this is none. */

uint32_t
split_light_count(uint32_t total, const struct split_demand *demand)
{
	uint32_t light, heavy_least;
	double heavy, part;

	if (total <= 1 || demand->heavy < HEAVY_NOTICED)
		return total;
	part = demand->light > total ? HEAVY_PART_PRESSED : HEAVY_PART;
	heavy_least = (uint32_t)ceil(total * part);
	/* More than all engines can't be had, whatever waits. */
	heavy = fmin(demand->heavy, total);
	light =
	    (uint32_t)lround(total * demand->light / (demand->light + heavy));
	/* Short prompts bring more for the work that they take, so they get
	 * at least what they can do with. */
	if (light < demand->light * LIGHT_LEAST)
		light = (uint32_t)ceil(demand->light * LIGHT_LEAST);
	if (light > total - heavy_least)
		light = total - heavy_least;
	if (light == 0)
		light = 1;
	return light;
}

void
split_demand_add(struct split_demand *demand, double read_ms)
{
	demand->heavy += read_ms / RATE_FADE_MS / HEAVY_USE;
}

void
split_demand_add_rate(
    struct split_demand *demand, const struct split_rate *rate, int64_t now_ms)
{
	demand->heavy += split_rate_at(rate, now_ms) / HEAVY_USE;
}

void
split_rate_add(struct split_rate *rate, double read_ms, int64_t now_ms)
{
	rate->engines = split_rate_at(rate, now_ms) + read_ms / RATE_FADE_MS;
	rate->time_ms = now_ms;
}

void
split_rate_remove(struct split_rate *rate, double read_ms)
{
	rate->engines = fmax(rate->engines - read_ms / RATE_FADE_MS, 0);
}

double
split_rate_at(const struct split_rate *rate, int64_t now_ms)
{
	if (rate->time_ms == 0 || now_ms <= rate->time_ms)
		return rate->engines;
	return rate->engines *
	       exp((double)(rate->time_ms - now_ms) / RATE_FADE_MS);
}
