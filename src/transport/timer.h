/**
 * @file timer.h
 * Timer service for one-off and periodic callbacks.
 *
 * The owner runs the timers that are due with timer_advance(). What the time is
 * between two such calls, its clock tells: a loop that has waited for a message
 * handles it before it looks at its timers, and delays that counted from before
 * the wait would be short by the wait. A service without a clock has virtual time
 * for tests: the time that the owner advanced it to.
 *
 * All times are milliseconds on the owner's monotonic clock. A service must be
 * used by one thread only.
 */
#ifndef TIMER_H
#define TIMER_H

#include <stdint.h>

#include "base/error_code.h"
#include "state/handle_table.h"

#define TIMER_NEVER INT64_MAX /**< Due time if there is no timer. */

/** Callback of a timer; it may subscribe and cancel timers. */
struct timer_callback {
	void (*run)(void *context); /**< Function called when due. */
	void *context;		    /**< First argument of run(). */
};

/** Clock of a service's owner. */
struct timer_clock {
	/** Returns the present time, which never goes back. */
	int64_t (*now_ms)(void *context);
	void *context; /**< First argument of now_ms(). */
};

/** A heap entry. It stays in the heap as a stale entry when its timer is
 * cancelled. */
struct timer_due {
	int64_t due_ms;	     /**< Time at which the timer is due. */
	uint64_t order;	     /**< Tie-breaker: equal times run in this order. */
	struct handle timer; /**< Timer that is due. */
};

/** A timer service. */
struct timer_service {
	struct handle_table timers; /**< Timers; struct timer_entry. */
	struct timer_due *heap;	    /**< Min-heap of due times. */
	uint32_t heap_count;	    /**< Entries in use. */
	uint32_t heap_capacity;	    /**< Entries allocated. */
	uint64_t next_order;	    /**< Order of the next heap entry. */
	struct timer_clock clock;   /**< All zero for virtual time. */
	int64_t now_ms;		    /**< Virtual time, see timer_now(). */
};

/** Tells how late a periodic callback runs, and so whether its owner has run all
 * the while. */
struct timer_lag {
	int64_t last_ms; /**< When it was started or last measured. */
};

/* Setting up */

/** Prepares a service with virtual time for at most @p capacity timers, starting
 * at @p now_ms. */
void timer_init(
    struct timer_service *service, uint32_t capacity, int64_t now_ms);
/** Prepares a service with a clock for at most @p capacity timers. */
void timer_init_clock(
    struct timer_service *service, uint32_t capacity, struct timer_clock clock);
/** Cancels all timers and frees the memory. */
void timer_finish(struct timer_service *service);

/* Subscribing */

/** Runs @p callback once, @p delay_ms from timer_now() on (negative counts as
 * 0). @p timer receives the handle for timer_cancel() and may be NULL. Errors:
 * ERROR_TABLE_FULL, ERROR_NO_MEMORY, ERROR_INVALID_ARGUMENT. */
enum error_code timer_subscribe_once(struct timer_service *service,
    int64_t delay_ms, struct timer_callback callback, struct handle *timer);
/** Runs @p callback every @p period_ms (at least 1), the first time after one
 * period. If the owner of a clock comes a whole period late or more, the runs that
 * it has missed are left out: the callback runs once, and again one period from
 * then on. @p timer and errors as for timer_subscribe_once(). */
enum error_code timer_subscribe_every(struct timer_service *service,
    int64_t period_ms, struct timer_callback callback, struct handle *timer);
/** Cancels a timer and zeroes the handle. A handle of a timer that has run or
 * was cancelled is ignored. */
void timer_cancel(struct timer_service *service, struct handle *timer);

/* Time */

/** Returns the present time by the clock, also in the callback of a timer that
 * runs late. In virtual time it is the due time of the timer that is running, else
 * the time of the last timer_advance(). */
int64_t timer_now(const struct timer_service *service);
/** Returns when the next timer is due, TIMER_NEVER if there is none. */
int64_t timer_next_due_ms(const struct timer_service *service);
/** Runs all timers due by @p now_ms in order of their due times, and advances
 * virtual time to @p now_ms. */
void timer_advance(struct timer_service *service, int64_t now_ms);

/* Lateness */

/** Begins to measure, when the periodic timer is subscribed. */
void timer_lag_start(
    struct timer_lag *lag, const struct timer_service *service);
/** Returns by how many milliseconds the time since the start or the last call
 * exceeds @p period_ms; negative if it is shorter. To be called by each run of the
 * callback. */
int64_t timer_lag_measure(struct timer_lag *lag,
    const struct timer_service *service, int64_t period_ms);

#endif
