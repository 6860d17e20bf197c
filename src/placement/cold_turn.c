#include "placement/cold_turn.h"

#include <math.h>

#include <glib.h>

#define MS_PER_S 1000.0
/* Share of the rate that the hosts use. They learn of a start at different
 * times, so more of their turns than the average may fall into one second. */
#define RATE_SHARE 0.5

bool
cold_turn_is_needed(const struct cold_turn *turn, int64_t now_ms)
{
	if (turn->requests_per_s <= 0 || turn->known_ms == 0)
		return false;
	return turn->cold_ms == 0 || now_ms - turn->known_ms < turn->cold_ms;
}

int64_t
cold_turn_wait_ms(const struct cold_turn *turn, int64_t now_ms)
{
	double interval_ms, next_ms;

	if (!cold_turn_is_needed(turn, now_ms) ||
	    turn->share.host_count <= turn->requests_per_s)
		return 0;
	interval_ms = MS_PER_S * turn->share.host_count /
		      (turn->requests_per_s * RATE_SHARE);
	next_ms = (double)turn->known_ms +
		  interval_ms * turn->share.rank / turn->share.host_count;
	if (turn->last_sent_ms >= turn->known_ms)
		next_ms =
		    MAX(next_ms, (double)turn->last_sent_ms + interval_ms);
	return (int64_t)ceil(MAX(next_ms - (double)now_ms, 0));
}
