/**
 * @file placement_split.c
 * Division of engines between short and long prompts by demand.
 */
#include "placement/placement_split.h"

#include <math.h>

#define RATE_FADE_MS 4000.0 /* Work decays to 1/e in this time. */
/* Share of its time that an engine for long prompts spends on prefill. */
#define LONG_UTILISATION 0.6
/* Least share of the engines for long prompts while there is demand for them;
 * it is lower while short prompts alone would need more than all engines. */
#define LONG_SHARE_MIN		  0.12
#define LONG_SHARE_MIN_OVERLOADED 0.05
/* Short prompts get at least this share of the engines that they demand; with
 * fewer than demanded, their answers are only slower. */
#define SHORT_DEMAND_SHARE_MIN 0.6
/* Engines for short prompts that are kept together, as a multiple of those that
 * they need now: while there is room, and while long prompts need the rest. */
#define PACKED_HEADROOM_MAX 1.6
#define PACKED_HEADROOM_MIN 1.2
/* Share of the engines that demand for short prompts leaves to long ones. */
#define PACKED_LONG_SHARE_MIN 0.18
/* Demand for long prompts, in engines, below which it is ignored. */
#define LONG_DEMAND_MIN 0.02

uint32_t
split_short_count(uint32_t total, const struct split_demand *demand)
{
	uint32_t short_count, long_count_min;
	double long_engines, long_share_min;

	if (total <= 1 || demand->long_engines < LONG_DEMAND_MIN)
		return total;
	long_share_min = demand->short_engines > total
			     ? LONG_SHARE_MIN_OVERLOADED
			     : LONG_SHARE_MIN;
	long_count_min = (uint32_t)ceil(total * long_share_min);
	/* However much is queued, long prompts can't use more than all
	 * engines. */
	long_engines = fmin(demand->long_engines, total);
	short_count = (uint32_t)lround(total * demand->short_engines /
				       (demand->short_engines + long_engines));
	/* Short prompts are worth more for the work they take, so they get at
	 * least as many engines as they can manage with. */
	if (short_count < demand->short_engines * SHORT_DEMAND_SHARE_MIN)
		short_count = (uint32_t)ceil(
		    demand->short_engines * SHORT_DEMAND_SHARE_MIN);
	if (short_count > total - long_count_min)
		short_count = total - long_count_min;
	if (short_count == 0)
		short_count = 1;
	return short_count;
}

uint32_t
split_packed_count(uint32_t total, const struct split_demand *demand)
{
	double least, most, count, long_min;

	if (total <= 1 || demand->long_engines < LONG_DEMAND_MIN)
		return total;
	most = ceil(demand->short_engines * PACKED_HEADROOM_MAX) + 1;
	least = ceil(demand->short_engines * PACKED_HEADROOM_MIN) + 1;
	count = fmin(fmax(total - demand->long_engines, least), most);
	/* Short prompts that find no room are queued for slots, so that the
	 * long ones keep some engines. */
	long_min = demand->short_engines > total
		       ? total * LONG_SHARE_MIN_OVERLOADED
		       : fmax(total * LONG_SHARE_MIN,
			     fmin(demand->long_engines,
				 total * PACKED_LONG_SHARE_MIN));
	count = fmin(count, floor(total - long_min));
	return (uint32_t)fmax(count, 1);
}

void
split_demand_add(struct split_demand *demand, double prefill_ms)
{
	demand->long_engines += prefill_ms / RATE_FADE_MS / LONG_UTILISATION;
}

void
split_demand_add_rate(
    struct split_demand *demand, const struct split_rate *rate, int64_t now_ms)
{
	demand->long_engines += split_rate_at(rate, now_ms) / LONG_UTILISATION;
}

void
split_rate_add(struct split_rate *rate, double prefill_ms, int64_t now_ms)
{
	rate->engines = split_rate_at(rate, now_ms) + prefill_ms / RATE_FADE_MS;
	rate->time_ms = now_ms;
}

void
split_rate_remove(struct split_rate *rate, double prefill_ms)
{
	rate->engines = fmax(rate->engines - prefill_ms / RATE_FADE_MS, 0);
}

double
split_rate_at(const struct split_rate *rate, int64_t now_ms)
{
	if (rate->time_ms == 0 || now_ms <= rate->time_ms)
		return rate->engines;
	return rate->engines *
	       exp((double)(rate->time_ms - now_ms) / RATE_FADE_MS);
}
