/**
 * @file order_book.h
 * Administrative orders that hosts gave the stand-in, such as to load a model.
 *
 * The stand-in only records an order and reports it as done after a fixed time.
 * Orders with an old fencing number are refused, if it is set to do so.
 */
#ifndef STANDIN_ORDER_BOOK_H
#define STANDIN_ORDER_BOOK_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/error_code.h"
#include "transport/upstream_adapter.h"

/** All orders since the start. */
struct order_book {
	pthread_mutex_t lock;  /**< Guards the members below. */
	GHashTable *by_id;     /**< Orders by id; by_arrival owns them. */
	GPtrArray *by_arrival; /**< Orders in the sequence of arrival. */
	uint64_t highest_fencing_number; /**< Highest fencing number so far. */
	bool honours_fencing; /**< Refuses orders with lower fencing numbers. */
	uint32_t order_duration_ms; /**< Time until an order is done. */
};

/** Prepares a book without orders. */
void order_book_init(
    struct order_book *book, bool honours_fencing, uint32_t order_duration_ms);
/** Frees the orders. */
void order_book_finish(struct order_book *book);
/** Records an order, unless one with its id exists, and returns its progress in
 * @p state. @p verb is the name of the action. Errors: ERROR_STALE (fencing
 * number lower than the highest so far). */
enum error_code order_book_submit(struct order_book *book,
    const struct upstream_order *order, const char *verb,
    enum upstream_order_state *state);
/** Returns a JSON array of all orders with their ages, which tests read. */
json_t *order_book_json(struct order_book *book);

#endif
