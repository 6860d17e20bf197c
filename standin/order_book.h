/**
 * @file order_book.h
 * Orders that the stand-in was given, and their fencing numbers.
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

/** The orders. */
struct order_book {
	pthread_mutex_t lock;	  /**< Guards what follows. */
	GHashTable *orders;	  /**< By id. */
	GPtrArray *log;		  /**< The same in the order they came. */
	uint64_t highest_fencing; /**< Seen so far. */
	bool honours_fencing;	  /**< Refuses lower numbers. */
	uint32_t order_ms;	  /**< Each takes this long. */
};

/** Prepares an empty book. */
void order_book_init(
    struct order_book *book, bool honours_fencing, uint32_t order_ms);
/** Gives back memory. */
void order_book_finish(struct order_book *book);
/** Takes an order, or says how far it is. Errors: ERROR_STALE. */
enum error_code order_book_give(struct order_book *book,
    const struct upstream_order *order, const char *verb,
    enum upstream_order_state *state);
/** All orders with their times, for tests. */
json_t *order_book_json(struct order_book *book);

#endif
