/**
 * @file order_runner.h
 * Runs orders to engines: load a model, an adapter or a version, change a role.
 *
 * Only the leader sends orders, and only while its lease is valid. The
 * beginning of an order is committed before the order is sent, which assigns a
 * fencing number to it. The order stays open in the replicated state until its
 * outcome is committed. A new leader resumes open orders under new fencing
 * numbers. An engine that does not check fencing numbers gets a resumed order
 * only after the previous leader's lease and the order's timeout are over.
 * Orders that read the weight store share one rate limit for the whole fleet.
 *
 * The code that sends an order to an engine must check the lease again right
 * before it writes the bytes, since the process may have been suspended in
 * between.
 */
#ifndef ORDER_RUNNER_H
#define ORDER_RUNNER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "transport/timer.h"

/** Size of an order's argument in bytes, including the terminating zero. */
#define ORDER_TEXT_SIZE_MAX 256

/** An order to one engine. */
struct engine_order {
	uint64_t upstream_id;	 /**< Upstream that runs the engine. */
	uint64_t fencing_number; /**< Fencing number, 0 before the commit. */
	/** Number of this start of an order, kept when its commit is retried.
	 * With the host's incarnation, it makes the commit idempotent. */
	uint64_t attempt;
	uint32_t kind;	    /**< Kind of order, as the caller numbers them. */
	bool loads_weights; /**< The order reads the weight store. */
	/** Argument of the order, for example a model name. */
	char argument[ORDER_TEXT_SIZE_MAX];
};

/** Settings of a runner; see order_runner_default_settings(). */
struct order_runner_settings {
	int64_t lease_ms; /**< Longest lease of a leader. */
	/** An engine executes an order within this time or never. */
	int64_t order_timeout_ms;
	int64_t commit_retry_interval_ms; /**< Interval of commit retries. */
	uint32_t attempts_max;	  /**< Sends before an order has failed. */
	uint32_t loads_burst;	  /**< Loads that may start at once. */
	int64_t load_interval_ms; /**< Interval at which a load is allowed. */
	uint32_t capacity;	  /**< Orders that may run at a time. */
};

/** Functions that reach the replicated state and the engines. Their results
 * arrive by the order_runner_on_ functions. */
struct order_runner_ops {
	/** Commits the beginning of an order; order_runner_on_begun() receives
	 * the new fencing number. */
	void (*commit_begin)(void *context, const struct engine_order *order);
	/** Commits the outcome; followed by order_runner_on_finished(). */
	void (*commit_finish)(void *context, const struct engine_order *order,
	    enum error_code outcome);
	/** Sends the order to its engine; followed by
	 * order_runner_on_answer(). Resends carry the same fencing number. */
	void (*send)(void *context, const struct engine_order *order);
	/** Returns true if the engine rejects orders with an older fencing
	 * number. */
	bool (*honours_fencing)(void *context, uint64_t upstream_id);
	/** Calls @p visit for each order open in the replicated state. */
	void (*visit_open_orders)(void *context,
	    void (*visit)(void *visitor, const struct engine_order *order),
	    void *visitor);
	void *context; /**< First argument of each function above. */
};

/** Order runner of one host. */
struct order_runner {
	struct order_runner_settings settings;
	struct order_runner_ops ops;
	struct timer_service *timers;
	GHashTable *orders;	  /**< Running orders by upstream id. */
	int64_t lease_until_ms;	  /**< End of the lease, 0 if not leading. */
	int64_t leading_since_ms; /**< When this host began to lead. */
	uint32_t load_tokens;	  /**< Loads that may start now. */
	int64_t next_token_ms;	  /**< When the next load token is added. */
	int64_t next_review_ms;	  /**< When to look for open orders again. */
	uint64_t begin_count;	  /**< Orders started or resumed so far. */
	struct handle tick;	  /**< Timer of run_tick(). */
};

/* Setting up */

/** Returns the default settings. */
struct order_runner_settings order_runner_default_settings(void);
/** Initialises a runner on a host that does not lead. Errors:
 * ERROR_INVALID_ARGUMENT, and those of timer_subscribe_every(). */
enum error_code order_runner_init(struct order_runner *runner,
    const struct order_runner_settings *settings,
    const struct order_runner_ops *ops, struct timer_service *timers);
/** Cancels the timer and frees the memory. */
void order_runner_finish(struct order_runner *runner);

/* Leading */

/** Sets the end of this host's lease as the leader. If it did not lead before,
 * it resumes the open orders, so it must have applied everything committed. */
void order_runner_set_lease(struct order_runner *runner, int64_t until_ms);
/** Handles the loss of leadership: drops all running orders. They stay open in
 * the replicated state. */
void order_runner_step_down(struct order_runner *runner);

/* Orders */

/** Starts an order. Errors: ERROR_NOT_LEADER; ERROR_ALREADY_EXISTS if the same
 * order is running already, as after a resend; ERROR_CHANGE_PENDING if another
 * order to this upstream is running; ERROR_TABLE_FULL. */
enum error_code order_runner_submit(
    struct order_runner *runner, const struct engine_order *order);
/** Handles the result of commit_begin(): the new fencing number, or an
 * error. */
void order_runner_on_begun(struct order_runner *runner, uint64_t upstream_id,
    uint64_t fencing_number, enum error_code error);
/** Handles the engine's answer: ERROR_NONE if the order was executed, or the
 * reason why not. */
void order_runner_on_answer(struct order_runner *runner, uint64_t upstream_id,
    uint64_t fencing_number, enum error_code error);
/** Handles the result of commit_finish(). ERROR_STALE means that the replicated
 * state holds a newer fencing number for the upstream. */
void order_runner_on_finished(struct order_runner *runner, uint64_t upstream_id,
    uint64_t fencing_number, enum error_code error);
/** Returns the number of running orders. */
uint32_t order_runner_count(const struct order_runner *runner);

#endif
