/**
 * @file fair_queue.h
 * Queue of requests that wait for capacity, with weighted fair queueing over
 * accounts.
 *
 * Each account is served in proportion to its weight. Service is measured in
 * prefill tokens, with the cost of decoding converted to the same unit, so a
 * large account cannot starve a small one. Within an account the higher
 * priority goes first. A request that can no longer finish in time expires.
 * Not thread-safe: the caller serialises calls.
 */
#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/request.h"

#define FAIR_QUEUE_PRIORITIES                                                  \
	3 /**< Number of values of enum request_priority. */

/** A queued request. */
struct fair_queue_item {
	uint64_t request_id; /**< Unique among queued requests. */
	uint64_t account_id; /**< Id of the item's struct intent_account. */
	uint32_t weight;     /**< Weight of the account, at least 1. */
	/** Priority; orders the items of one account. */
	enum request_priority priority;
	uint64_t cost; /**< Cost as computed by fair_queue_cost(). */
	/** Time after which the item is expired, since a start would be too
	 * late to finish. */
	int64_t latest_start_ms;
	void *context; /**< Pointer for the caller's use. */
};

/** Size limits of the queue. */
struct fair_queue_settings {
	uint32_t items_max;	    /**< Limit on all queued requests. */
	uint32_t account_items_max; /**< Limit for each account. */
};

/** State of the queue. */
struct fair_queue {
	struct fair_queue_settings settings; /**< Size limits. */
	GHashTable *accounts;  /**< Account id to struct fair_account. */
	GHashTable *items;     /**< Request id to struct fair_entry. */
	GSequence *expiries;   /**< Entries ordered by latest start. */
	double virtual_time;   /**< Clock in units of cost per weight. */
	uint64_t waiting_cost; /**< Total cost of all queued items. */
};

/** Callback that returns whether an item can start now; when it returns true
 * it may have reserved the capacity for the item. */
typedef bool fair_queue_try_start(
    void *context, const struct fair_queue_item *item);

/** Initialises an empty queue. Always ERROR_NONE. */
enum error_code fair_queue_init(
    struct fair_queue *queue, const struct fair_queue_settings *settings);
/** Drops all items and frees the memory. */
void fair_queue_finish(struct fair_queue *queue);
/** Cost of serving a request, in prefill tokens. */
uint64_t fair_queue_cost(uint64_t prefill_tokens, uint32_t answer_tokens);

/** Queues a copy of the item. Errors: ERROR_TABLE_FULL if the queue is full,
 * ERROR_OVER_LIMIT if the account has too many items in it,
 * ERROR_ALREADY_EXISTS for a request id that is queued already,
 * ERROR_DEADLINE_UNREACHABLE if the latest start has passed,
 * ERROR_INVALID_ARGUMENT for a weight of 0 or an unknown priority. */
enum error_code fair_queue_push(struct fair_queue *queue,
    const struct fair_queue_item *item, int64_t now_ms);
/** Removes the first item in fair order for which @p start returns true (any
 * item if @p start is NULL) and copies it to @p item. Only the first item of
 * each account is tried. False if none can start. */
bool fair_queue_pop(struct fair_queue *queue, fair_queue_try_start *start,
    void *context, struct fair_queue_item *item);
/** Removes an item, for example because its caller disconnected. False if the
 * item is not queued. */
bool fair_queue_remove(struct fair_queue *queue, uint64_t request_id);
/** Removes one item whose latest start has passed and copies it to @p item.
 * False if there is none. */
bool fair_queue_pop_expired(
    struct fair_queue *queue, int64_t now_ms, struct fair_queue_item *item);
/** Time at which the next item expires, INT64_MAX if the queue is empty. */
int64_t fair_queue_next_expiry(const struct fair_queue *queue);
/** Total cost that fair queueing serves before a new item of the account. */
uint64_t fair_queue_cost_ahead(
    const struct fair_queue *queue, uint64_t account_id, uint32_t weight);
/** Number of queued items. */
uint32_t fair_queue_count(const struct fair_queue *queue);

#endif
