#include "placement/placement_border.h"

#include <math.h>

/* Facts of this age say nothing of where it is better any more. */
#define FACTS_AGE_MAX_MS 2000.0
#define BYTES_PER_MB	 1e6

double
border_cost_ms(const struct border_offer *offer)
{
	/* The request goes there, and its answer comes back. */
	return 2 * offer->delay_ms +
	       offer->bytes / BYTES_PER_MB * offer->ms_per_mb;
}

double
border_away_share(const struct border_offer *offer)
{
	double gain_ms, trust;

	if (!offer->has_away)
		return 0;
	if (!offer->has_home)
		return 1;
	trust = 1 - fmax((double)offer->facts_age_ms, 0) / FACTS_AGE_MAX_MS;
	gain_ms = (offer->home_cost_ms - offer->away_cost_ms) * fmax(trust, 0);
	if (gain_ms <= border_cost_ms(offer))
		return 0;
	return 1 - border_cost_ms(offer) / gain_ms;
}
