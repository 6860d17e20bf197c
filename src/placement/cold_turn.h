/**
 * @file cold_turn.h
 * The turns in which many hosts send to an upstream that has just started.
 *
 * Such an upstream is cold and takes few requests a second from all hosts
 * together, while it looks idle to each of them. With few hosts each keeps to
 * its share of that rate. With more hosts than requests a second, one request
 * of each host would be too many, so the hosts take turns: their requests are
 * evenly spaced from the time at which they learned of the upstream. The sum is
 * kept without messages between hosts, also while they are cut off from each
 * other.
 */
#ifndef COLD_TURN_H
#define COLD_TURN_H

#include <stdbool.h>
#include <stdint.h>

#include "placement/upstream_notice.h"

/** What the turn of a host depends on. */
struct cold_turn {
	/** Requests a second that the upstream takes from all hosts together
	 * while it is cold, 0 for any number. */
	double requests_per_s;
	/** Time for which it is cold after its start, 0 if that is unknown. */
	int64_t cold_ms;
	/** When this host learned of its start, 0 if it was there before this
	 * host, so that its age is not known. */
	int64_t known_ms;
	int64_t last_sent_ms; /**< Last request of this host, 0 for none. */
	struct notice_share share; /**< The hosts that take turns. */
};

/** Returns true if the upstream may still be cold. Reads no last_sent_ms and no
 * share. */
bool cold_turn_is_needed(const struct cold_turn *turn, int64_t now_ms);
/** Returns the milliseconds until it is this host's turn to send the upstream a
 * request, 0 if it may do so now. */
int64_t cold_turn_wait_ms(const struct cold_turn *turn, int64_t now_ms);

#endif
