/**
 * @file fair_queue.h
 * Requests that wait for capacity, by weighted fair queueing over accounts.
 *
 * An account's share follows its weight, counted in prefill tokens plus the
 * decode's cost in the same unit, so a large account cannot starve a small
 * one. Within an account the higher priority goes first. A request leaves at
 * once when it can no longer finish in time. One thread at a time.
 */
#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/request.h"

#define FAIR_QUEUE_PRIORITIES 3 /**< Levels of enum request_priority. */

/** A request that waits. */
struct fair_queue_item {
	uint64_t request_id;		/**< Unique in the queue. */
	uint64_t account_id;		/**< Of struct intent_account. */
	uint32_t weight;		/**< Of the account, at least 1. */
	enum request_priority priority; /**< Within the account. */
	uint64_t cost;			/**< fair_queue_cost(). */
	int64_t latest_start_ms;	/**< From then on it cannot make it. */
	void *context;			/**< The caller's. */
};

/** Settings. */
struct fair_queue_settings {
	uint32_t items_max;	    /**< Waiting in all. */
	uint32_t account_items_max; /**< Waiting of one account. */
};

/** The queue. */
struct fair_queue {
	struct fair_queue_settings settings; /**< As given. */
	GHashTable *accounts;  /**< Account id to struct fair_account. */
	GHashTable *items;     /**< Request id to its place. */
	GSequence *expiries;   /**< Items by latest start. */
	double virtual_time;   /**< In cost units over weight. */
	uint64_t waiting_cost; /**< Sum over waiting items. */
};

/** Says whether an item can start now; it may take capacity for it. */
typedef bool fair_queue_start(
    void *context, const struct fair_queue_item *item);

/** Prepares an empty queue. */
enum error_code fair_queue_init(
    struct fair_queue *queue, const struct fair_queue_settings *settings);
/** Drops all items and gives back memory. */
void fair_queue_finish(struct fair_queue *queue);
/** Cost of a request, in prefill tokens. */
uint64_t fair_queue_cost(uint64_t prefill_tokens, uint32_t answer_tokens);

/** Adds an item. Errors: ERROR_TABLE_FULL, ERROR_OVER_LIMIT if the account's
 * part is full, ERROR_ALREADY_EXISTS, ERROR_DEADLINE_UNREACHABLE. */
enum error_code fair_queue_push(struct fair_queue *queue,
    const struct fair_queue_item *item, int64_t now_ms);
/** Takes the next item in fair order that @p start (NULL: any) lets start;
 * one head of each account is asked. False if none. */
bool fair_queue_pop(struct fair_queue *queue, fair_queue_start *start,
    void *context, struct fair_queue_item *item);
/** Takes out an item whose caller left. False if it is not there. */
bool fair_queue_remove(struct fair_queue *queue, uint64_t request_id);
/** Takes out one item that can no longer make it. False if none. */
bool fair_queue_pop_expired(
    struct fair_queue *queue, int64_t now_ms, struct fair_queue_item *item);
/** When the next item expires, INT64_MAX for none. */
int64_t fair_queue_next_expiry(const struct fair_queue *queue);
/** Cost that goes before a new item of an account, at fair shares. */
uint64_t fair_queue_cost_ahead(
    const struct fair_queue *queue, uint64_t account_id, uint32_t weight);
/** Items that wait. */
uint32_t fair_queue_count(const struct fair_queue *queue);

#endif
