/**
 * @file timer.h
 * The timer service that the other parts subscribe to.
 *
 * It keeps the time that its owner tells it, so the same parts run under the
 * monotonic clock in a host and under virtual time in a test. All times are
 * milliseconds on the owner's monotonic clock. One thread uses a service.
 */
#ifndef TIMER_H
#define TIMER_H

#include <stdint.h>

#include "base/error_code.h"
#include "state/handle_table.h"

#define TIMER_NEVER INT64_MAX /**< No timer is due. */

/** Called when a timer is due; may subscribe and cancel timers. */
struct timer_callback {
	void (*run)(void *context); /**< What to call. */
	void *context;		    /**< Passed back to run(). */
};

/** An entry of the heap; it goes stale when its timer is cancelled. */
struct timer_due {
	int64_t due_ms;	     /**< When it is due. */
	uint64_t order;	     /**< Order of subscription among equal times. */
	struct handle timer; /**< Whose time it is. */
};

/** The service. */
struct timer_service {
	struct handle_table timers; /**< Items are struct timer_entry. */
	struct timer_due *heap;	    /**< Due times, the earliest first. */
	uint32_t heap_count;	    /**< Entries in the heap. */
	uint32_t heap_capacity;	    /**< Room in the heap. */
	uint64_t next_order;	    /**< Keeps equal times in order. */
	int64_t now_ms;		    /**< What timer_now() gives. */
};

/* Setting up */

/** Prepares a service for at most @p capacity timers. */
void timer_init(
    struct timer_service *service, uint32_t capacity, int64_t now_ms);
/** Drops every timer and gives back memory. */
void timer_finish(struct timer_service *service);

/* Subscribing */

/** Runs @p callback once after @p delay_ms. Errors: ERROR_TABLE_FULL. */
enum error_code timer_subscribe_once(struct timer_service *service,
    int64_t delay_ms, struct timer_callback callback, struct handle *timer);
/** Runs @p callback each @p period_ms (at least 1). */
enum error_code timer_subscribe_every(struct timer_service *service,
    int64_t period_ms, struct timer_callback callback, struct handle *timer);
/** Ends a subscription and clears the handle; a stale one is no error. */
void timer_cancel(struct timer_service *service, struct handle *timer);

/* Time */

/** The time of the last timer_advance(). */
int64_t timer_now(const struct timer_service *service);
/** When the next timer is due, TIMER_NEVER for none. */
int64_t timer_next(const struct timer_service *service);
/** Moves time forward and runs what is due, in order of time. */
void timer_advance(struct timer_service *service, int64_t now_ms);

#endif
