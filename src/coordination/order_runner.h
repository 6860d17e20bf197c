/**
 * @file order_runner.h
 * Orders to engines: load a model, an adapter or a version, change a role.
 *
 * Only the leader gives orders, and only while its lease holds. An order is
 * committed with a fencing number before it is given, and stays open in the
 * replicated state until its outcome is committed; the next leader resumes
 * open ones under a new number. An engine that ignores numbers gets a resumed
 * order only after the earlier leader's lease and the order's time-out are
 * over. Orders that read the weight store share one rate for the whole fleet.
 *
 * Whoever carries an order out to an engine checks the lease once more right
 * before the bytes leave, since the process may have been frozen in between.
 */
#ifndef ORDER_RUNNER_H
#define ORDER_RUNNER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "transport/timer.h"

#define ORDER_TEXT_SIZE_MAX 256 /**< Bytes of an argument with its end. */

/** An order to one engine. */
struct engine_order {
	uint64_t upstream_id; /**< To whom. */
	uint64_t fencing;     /**< 0 before it is committed. */
	uint64_t attempt;   /**< Same for resends of one begin: with the host's
			       instance, the key of an idempotent commit. */
	uint32_t kind;	    /**< The caller's number. */
	bool loads_weights; /**< Reads the weight store. */
	char argument[ORDER_TEXT_SIZE_MAX]; /**< Such as a model. */
};

/** Settings; see order_runner_default_settings(). */
struct order_runner_settings {
	int64_t lease_ms;	  /**< Longest lease of a leader. */
	int64_t order_ms;	  /**< An order acts within it or never. */
	int64_t commit_retry_ms;  /**< Between tries to commit. */
	uint32_t attempts_max;	  /**< Sends before it has failed. */
	uint32_t loads_burst;	  /**< Loads that may start at once. */
	int64_t load_interval_ms; /**< One more load each. */
	uint32_t capacity;	  /**< Orders at a time. */
};

/** To the replicated state and to engines; answers come by note calls. */
struct order_runner_ops {
	/** Commits that an order begins; answered with its number. */
	void (*commit_begin)(void *context, const struct engine_order *order);
	/** Commits its outcome. */
	void (*commit_finish)(void *context, const struct engine_order *order,
	    enum error_code outcome);
	/** Sends it; resends carry the same number. */
	void (*give)(void *context, const struct engine_order *order);
	/** True if the engine refuses orders with an older number. */
	bool (*honours_fencing)(void *context, uint64_t upstream_id);
	/** Visits the orders that are open in the replicated state. */
	void (*each_open)(void *context,
	    void (*visit)(void *visitor, const struct engine_order *order),
	    void *visitor);
	void *context; /**< Passed back. */
};

/** The runner. */
struct order_runner {
	struct order_runner_settings settings; /**< As given. */
	struct order_runner_ops ops;	       /**< To the others. */
	struct timer_service *timers;	       /**< Time. */
	GHashTable *orders;		       /**< By upstream id. */
	int64_t lease_until_ms;		       /**< 0 while not leading. */
	int64_t leading_ms;		       /**< Since when it leads. */
	uint32_t tokens;		       /**< Loads that may start. */
	int64_t token_ms;		       /**< When the next one comes. */
	int64_t review_ms;  /**< When open orders are read again. */
	uint64_t attempts;  /**< Begins so far. */
	struct handle tick; /**< Resends and tries. */
};

/* Setting up */

/** Settings for today's sizes. */
struct order_runner_settings order_runner_default_settings(void);
/** Prepares a runner that does not lead. */
enum error_code order_runner_init(struct order_runner *runner,
    const struct order_runner_settings *settings,
    const struct order_runner_ops *ops, struct timer_service *timers);
/** Gives back memory. */
void order_runner_finish(struct order_runner *runner);

/* Leading */

/** This host leads until @p until_ms, with all that was committed before
 * applied; resumes open orders when it did not lead before. */
void order_runner_lead(struct order_runner *runner, int64_t until_ms);
/** It leads no longer: forgets all, open orders stay committed. */
void order_runner_follow(struct order_runner *runner);

/* Orders */

/** Starts an order. Errors: ERROR_NOT_LEADER; ERROR_ALREADY_EXISTS if the
 * same one is under way (a resend); ERROR_CHANGE_PENDING if another one is;
 * ERROR_TABLE_FULL. */
enum error_code order_runner_submit(
    struct order_runner *runner, const struct engine_order *order);
/** The beginning was committed under a number, or was not. */
void order_runner_note_begun(struct order_runner *runner, uint64_t upstream_id,
    uint64_t fencing, enum error_code error);
/** The engine answered: done (ERROR_NONE) or why not. */
void order_runner_note_answer(struct order_runner *runner, uint64_t upstream_id,
    uint64_t fencing, enum error_code error);
/** The outcome was committed, or was not; ERROR_STALE when the state holds a
 * newer number for the upstream. */
void order_runner_note_finished(struct order_runner *runner,
    uint64_t upstream_id, uint64_t fencing, enum error_code error);
/** Orders under way. */
uint32_t order_runner_count(const struct order_runner *runner);

#endif
