/**
 * @file admission.h
 * Admission control: accepts a request only if it is predicted to end before
 * its deadline.
 *
 * A request that is not admitted is refused at once with the outcome "not
 * run" and a Retry-After time. Not thread-safe: the caller serialises calls.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/intent.h"
#include "state/request.h"

/** Settings of admission control; a zero field takes its default. */
struct admission_settings {
	double margin;		     /**< Safety factor on predicted times. */
	uint32_t retry_after_min_ms; /**< Shortest Retry-After. */
	uint32_t retry_after_max_ms; /**< Longest Retry-After. */
};

/** State of admission control on this host. */
struct admission {
	struct admission_settings settings; /**< With defaults filled in. */
	GHashTable *accounts;	 /**< Account id to its requests in flight. */
	uint32_t hosts;		 /**< Hosts that divide account limits. */
	double cost_per_ms;	 /**< Smoothed rate at which cost is started. */
	bool window_has_queued;	 /**< A queued request started in the window. */
	double window_cost;	 /**< Cost started in the rate window. */
	int64_t window_start_ms; /**< When the rate window began. */
	bool is_open;		 /**< False once the host shuts down. */
};

/** Times that the router and the queue predict for a request. */
struct admission_prediction {
	double queue_ms;       /**< Time in the queue before sending. */
	double first_token_ms; /**< Time from sending to the first token. */
	double end_ms; /**< Time from sending to the end of the answer. */
};

/** Result of admission_decide(). */
struct admission_decision {
	enum error_code error;	 /**< ERROR_NONE if admitted. */
	uint32_t retry_after_ms; /**< 0 if a retry can't succeed. */
	int64_t latest_start_ms; /**< The request must be sent by then. */
};

/** Initialises admission control; it accepts requests from then on. Always
 * ERROR_NONE. */
enum error_code admission_init(
    struct admission *admission, const struct admission_settings *settings);
/** Frees the memory; does nothing on a zeroed struct. */
void admission_finish(struct admission *admission);
/** Refuses every later request with ERROR_SHUTTING_DOWN, before a planned
 * stop. */
void admission_close(struct admission *admission);
/** Sets the number of hosts; each enforces an equal share of every account's
 * limit. */
void admission_set_hosts(struct admission *admission, uint32_t hosts);

/** Decides whether a request is admitted and, if so, counts it as in flight
 * until admission_end(). Errors in the decision: ERROR_SHUTTING_DOWN,
 * ERROR_OVER_LIMIT (the account has too many requests in flight),
 * ERROR_DEADLINE_UNREACHABLE. */
struct admission_decision admission_decide(struct admission *admission,
    const struct intent_account *account, const struct request_facts *facts,
    const struct admission_prediction *prediction, int64_t now_ms);
/** Stops counting an admitted request of the account as in flight. */
void admission_end(struct admission *admission, uint64_t account_id);
/** Retry-After in milliseconds for a refusal by the router or the queue: the
 * predicted wait within the configured bounds. */
uint32_t admission_retry_after(
    const struct admission *admission, double wait_ms);
/** Records that a request of this cost was sent to an upstream, which
 * admission_queue_ms() predicts from; @p has_waited says that the request came
 * out of the queue. */
void admission_record_start(struct admission *admission, uint64_t cost,
    bool has_waited, int64_t now_ms);
/** Predicted queueing time in milliseconds behind @p cost_ahead, as returned by
 * fair_queue_cost_ahead(). */
double admission_queue_ms(
    const struct admission *admission, uint64_t cost_ahead);

#endif
