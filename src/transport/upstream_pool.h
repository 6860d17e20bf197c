/**
 * @file upstream_pool.h
 * HTTP/1.1 calls to upstreams over connections that are kept and used again.
 *
 * One call at a time on a connection. A connection is used again only after
 * an answer that was whole, expected and followed by nothing; whatever else
 * comes on it closes it, so that no byte reaches another call.
 */
#ifndef UPSTREAM_POOL_H
#define UPSTREAM_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "base/error_code.h"
#include "protocol/http_reader.h"
#include "transport/timer.h"

#define UPSTREAM_PLACE_SIZE 24 /**< Bytes of a place as text. */

struct upstream_call;

/** Calls of a call to its owner; after done() or failed() it is over. */
struct upstream_call_ops {
	/** The request is on its way: from now on it may run. */
	void (*sent)(void *context);
	/** The head of the answer. */
	void (*head)(void *context, struct http_head *head);
	/** Bytes of the body. */
	void (*body)(void *context, const char *data, size_t size);
	/** The answer is whole. */
	void (*done)(void *context);
	/** It broke off. ERROR_CONNECTION or ERROR_TIMEOUT before sent(): no
	 * connection was made. Later: ERROR_INCOMPLETE, ERROR_MALFORMED. */
	void (*failed)(void *context, enum error_code error);
	void *context; /**< Passed back. */
};

/** The pool; belongs to one thread. */
struct upstream_pool {
	uv_loop_t *loop;	      /**< Of that thread. */
	struct timer_service *timers; /**< Of that thread. */
	GHashTable *idle;	      /**< Place to GQueue of connections. */
	GHashTable *all;	      /**< Set of every connection. */
};

/* Life */

/** Prepares a pool. */
void upstream_pool_init(
    struct upstream_pool *pool, uv_loop_t *loop, struct timer_service *timers);
/** Closes every connection; calls under way end without a word. The loop
 * must run on until they are closed. */
void upstream_pool_close(struct upstream_pool *pool);
/** Gives back memory, once the loop has ended. */
void upstream_pool_finish(struct upstream_pool *pool);

/* Calls */

/** A place from "IP:PORT", 0 if it is none. */
uint64_t upstream_place(const char *text);
/** The text of a place. */
void upstream_place_write(uint64_t place, char text[UPSTREAM_PLACE_SIZE]);
/** Starts a call of @p request, all its bytes; takes a reference. Kept
 * connections that were idle for longer than @p idle_max_ms are not used.
 * NULL if no connection can be had: nothing was sent. */
struct upstream_call *upstream_pool_call(struct upstream_pool *pool,
    uint64_t place, GBytes *request, bool is_head_method, int64_t idle_max_ms,
    const struct upstream_call_ops *ops);
/** Gives a call up: its connection is closed, no more calls come. */
void upstream_call_cancel(struct upstream_call *call);
/** Tries to connect, without a request; @p done gets ERROR_NONE, or why not.
 * The connection is kept for later calls. NULL if it can't even be tried. */
struct upstream_call *upstream_pool_probe(struct upstream_pool *pool,
    uint64_t place, void (*done)(void *context, enum error_code error),
    void *context);

#endif
