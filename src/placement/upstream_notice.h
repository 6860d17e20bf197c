/**
 * @file upstream_notice.h
 * What an upstream says of itself in its answers, and what follows for the next
 * request to it.
 *
 * An upstream in need names a limit: the requests a second that it takes from
 * all hosts together. Each host keeps to its share of the limit, as it does for
 * an upstream that may be cold, so the sum is kept without messages between
 * hosts, also while hosts are cut off from each other. The requests of a host
 * are evenly spaced, and the hosts take turns: the first request of a host comes
 * at the point of the first interval that its rank among the hosts gives. Hosts
 * send each other the last notice that they received, since at a low limit a host
 * rarely gets an answer itself. A notice holds until a later one. If none has
 * been received for UPSTREAM_NOTICE_EXPIRY_MS, a host may send single requests to
 * find out whether the limit still holds. It does not outlive the upstream's
 * incarnation.
 *
 * An upstream that turns a request away may ask the host for a pause. It gets
 * nothing from that host until the pause is over, and then one request at a time
 * until it has answered one.
 *
 * An upstream that says that it leaves gets no new request any more, from any
 * host that knows it.
 */
#ifndef UPSTREAM_NOTICE_H
#define UPSTREAM_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"

/** Time after which single requests test a limit that was not repeated. */
#define UPSTREAM_NOTICE_EXPIRY_MS 15000
/** Longest pause that an upstream may ask for. */
#define UPSTREAM_PAUSE_MAX_MS INT64_C(3600000)

/** The entry hosts that share a limit. */
struct notice_share {
	uint32_t host_count; /**< Number of hosts, this one included. */
	uint32_t rank;	     /**< Position of this host among them, from 0. */
};

/** What one answer of an upstream says. */
struct upstream_statement {
	bool has_limit; /**< It names a limit. */
	/** It names a limit that can't be read, so an earlier one still holds.
	 */
	bool has_unreadable_limit;
	bool is_leaving;    /**< It stops soon and wants no new requests. */
	double limit_per_s; /**< Requests a second from all hosts together. */
	/** Time for which it wants nothing from this host, 0 for no pause. */
	int64_t pause_ms;
};

/** What holds for an upstream; all zero while there is no notice. */
struct upstream_notice {
	/** What the upstream said to any host; its pause is below. */
	struct upstream_statement last;
	int64_t received_ms;	 /**< When it was received, 0 for never. */
	int64_t own_received_ms; /**< When this host itself got one. */
	/** Time from which this host may send the next request. */
	double next_send_ms;
	int64_t sent_ms; /**< When it sent the last one under a limit or after
			      a pause. */
	int64_t pause_until_ms; /**< End of the pause, 0 for none. */
	/** A pause has ended, and no request was answered since. */
	bool is_resuming;
};

/** Parses the requests a second of a limit. Errors: ERROR_BAD_VALUE for a text
 * that is no number of 0 or more. */
enum error_code upstream_limit_parse(const char *text, double *per_s);
/** Parses a pause in seconds, with fractions, of at most UPSTREAM_PAUSE_MAX_MS; a
 * longer one is cut to that. Errors: ERROR_BAD_VALUE. */
enum error_code upstream_pause_parse(const char *text, int64_t *pause_ms);
/** Records a statement that this or another host got at @p received_ms, unless a
 * later one is known; that the upstream leaves is recorded in any case. Its
 * pause is not. Returns true if something new follows from it. */
bool upstream_notice_record(struct upstream_notice *notice,
    const struct upstream_statement *statement, int64_t received_ms,
    struct notice_share share, int64_t now_ms);
/** Records that this host sends the upstream a request. */
void upstream_notice_record_send(
    struct upstream_notice *notice, struct notice_share share, int64_t now_ms);
/** Records that the upstream has answered a request of this host at @p now_ms
 * without asking for a pause, or with a pause. */
void upstream_notice_record_answer(
    struct upstream_notice *notice, int64_t pause_ms, int64_t now_ms);
/** Returns true if something that the upstream said may still bind this host, so
 * that it must be remembered even if the upstream isn't listed any more. */
bool upstream_notice_is_binding(
    const struct upstream_notice *notice, int64_t now_ms);
/** Returns the milliseconds until this host may send the upstream a request, 0
 * if it may do so now. Ignores that it leaves. */
int64_t upstream_notice_wait_ms(
    const struct upstream_notice *notice, int64_t now_ms);

#endif
