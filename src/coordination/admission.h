/**
 * @file admission.h
 * Whether a request is taken on: only if it should end before its deadline.
 *
 * What is not admitted is refused at once, as not run, with a time after
 * which coming back makes sense. One thread at a time.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/intent.h"
#include "state/request.h"

/** Settings; zero means the default. */
struct admission_settings {
	double margin;		     /**< Factor on predicted times. */
	uint32_t retry_after_min_ms; /**< Least Retry-After. */
	uint32_t retry_after_max_ms; /**< Largest Retry-After. */
};

/** State. */
struct admission {
	struct admission_settings settings; /**< Filled. */
	GHashTable *accounts;	 /**< Account id to requests in flight. */
	uint32_t hosts;		 /**< Hosts that share account limits. */
	double cost_per_ms;	 /**< Cost that this host starts, smoothed. */
	bool window_waited;	 /**< Something started after waiting. */
	double window_cost;	 /**< Cost started in the current window. */
	int64_t window_start_ms; /**< Start of the current window. */
	bool is_open;		 /**< False once the host stops. */
};

/** What the router and the queue predict, from now. */
struct admission_prediction {
	double queue_ms;       /**< Before it is sent. */
	double first_token_ms; /**< From sending to the first token. */
	double end_ms;	       /**< From sending to the end. */
};

/** The decision. */
struct admission_verdict {
	enum error_code error;	 /**< ERROR_NONE if admitted. */
	uint32_t retry_after_ms; /**< 0 if coming back makes no sense. */
	int64_t latest_start_ms; /**< Must be sent before that. */
};

/** Prepares, open. */
enum error_code admission_init(
    struct admission *admission, const struct admission_settings *settings);
/** Gives back memory. */
void admission_finish(struct admission *admission);
/** Closes for a planned stop: refuses with ERROR_SHUTTING_DOWN. */
void admission_close(struct admission *admission);
/** How many hosts share the accounts' limits; each gets its part. */
void admission_set_hosts(struct admission *admission, uint32_t hosts);

/** Decides; if admitted, counts the request in flight. Errors in the verdict:
 * ERROR_SHUTTING_DOWN, ERROR_OVER_LIMIT, ERROR_DEADLINE_UNREACHABLE. */
struct admission_verdict admission_decide(struct admission *admission,
    const struct intent_account *account, const struct request_facts *facts,
    const struct admission_prediction *prediction, int64_t now_ms);
/** Ends an admitted request. */
void admission_end(struct admission *admission, uint64_t account_id);
/** Retry-After for a refusal by router or queue, from its predicted wait. */
uint32_t admission_retry_after(
    const struct admission *admission, double wait_ms);
/** Counts cost that was sent to an upstream, for admission_queue_ms();
 * @p has_waited: it came out of the queue. */
void admission_note_start(struct admission *admission, uint64_t cost,
    bool has_waited, int64_t now_ms);
/** Predicted wait for @p cost_ahead of fair_queue_cost_ahead(). */
double admission_queue_ms(
    const struct admission *admission, uint64_t cost_ahead);

#endif
