/**
 * @file upstream_pool.h
 * HTTP/1.1 calls to upstreams over a pool of persistent connections.
 *
 * A connection carries one call at a time. It is reused only after a complete
 * answer with no bytes after it. Bytes that arrive while no call is waiting
 * close the connection, so that no call gets bytes of another one. An upstream
 * may write an answer twice, so each answer is attributed to a request by the id
 * that it echoes, see protocol/request_history.h.
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
#include "protocol/request_history.h"
#include "transport/timer.h"

#define UPSTREAM_ADDRESS_SIZE 24 /**< Bytes of "IP:PORT" with NUL. */

struct pool_call;

/** What a call does with the answer whose head it has received. */
enum pool_answer {
	POOL_ANSWER_TAKE = 0, /**< It is the answer of the call. */
	/** It belongs to an earlier request; the call waits for the next one. */
	POOL_ANSWER_DISCARD = 1,
};

/** A request to an upstream. */
struct pool_request {
	/** Id that its answer echoes, NULL if it bears none. */
	const char *id;
	bool is_head_method; /**< HEAD request, whose answer has no body. */
	/** Connections idle for longer are not used. */
	int64_t idle_max_ms;
};

/** Callbacks of a call to its owner. on_done() or on_failed() is the last one;
 * the call must not be used afterwards. */
struct pool_call_ops {
	/** A new connection was established for the call; may be NULL. */
	void (*on_connected)(void *context);
	/** Returns the HTTP request as it is at this moment, in which it is
	 * sent; called once, before on_sent(). The pool drops the
	 * reference. */
	GBytes *(*make_request)(void *context);
	/** The request is about to be sent; from now on the upstream may run
	 * it. */
	void (*on_sent)(void *context);
	/** The status line and headers of an answer were received. */
	enum pool_answer (*on_head)(void *context, struct http_head *head);
	/** Bytes of the answer's body were received. */
	void (*on_body)(void *context, const char *data, size_t size);
	/** A chunk of the body has ended where its size says; may be NULL. */
	void (*on_chunk_end)(void *context);
	/** The answer is complete. */
	void (*on_done)(void *context);
	/** The call failed. ERROR_CONNECTION or ERROR_TIMEOUT, both before
	 * on_sent(): no connection could be made. Afterwards ERROR_INCOMPLETE
	 * (the connection ended within the answer), ERROR_MALFORMED or
	 * ERROR_TOO_LARGE (the answer exceeds a limit). */
	void (*on_failed)(void *context, enum error_code error);
	/** Largest body of an answer in bytes; 0 for any. */
	size_t body_bytes_max;
	void *context; /**< First argument of the callbacks. */
};

/** A pool of connections, used by one thread. */
struct upstream_pool {
	uv_loop_t *loop;	      /**< Event loop of the thread. */
	struct timer_service *timers; /**< Timers of the thread. */
	GHashTable *idle;	      /**< Address to idle connections. */
	GHashTable *all;	      /**< Set of all connections. */
};

/* Setting up */

/** Prepares an empty pool. */
void upstream_pool_init(
    struct upstream_pool *pool, uv_loop_t *loop, struct timer_service *timers);
/** Closes all connections; running calls end without a callback. The loop must
 * keep running until the connections are closed. */
void upstream_pool_close(struct upstream_pool *pool);
/** Frees the memory of the pool, once the loop has ended. */
void upstream_pool_finish(struct upstream_pool *pool);

/* Calls */

/** Parses "IP:PORT" (IPv4) into a packed address: the IP address in the upper
 * bits and the port in the lower 16. Returns 0 if the text is invalid. */
uint64_t upstream_address_parse(const char *text);
/** Formats a packed address as "IP:PORT". */
void upstream_address_write(uint64_t address, char text[UPSTREAM_ADDRESS_SIZE]);
/** Starts a call to the upstream at a packed address, on an idle connection or
 * a new one. A request without an id gets a new one, which is closed after it, and
 * a request whose id the idle ones have carried before gets a new one, too. Returns NULL if connecting can't even
 * start; nothing was sent then. */
struct pool_call *upstream_pool_call(struct upstream_pool *pool,
    uint64_t address, const struct pool_request *request,
    const struct pool_call_ops *ops);
/** Attributes an answer on the call's connection by the id that it echoes, NULL
 * for none. */
enum answer_owner pool_call_attribute(
    const struct pool_call *call, const char *id);
/** Returns how many requests the call's connection had carried before. */
uint32_t pool_call_requests_before(const struct pool_call *call);
/** Cancels a call: closes its connection and makes no more callbacks. */
void pool_call_cancel(struct pool_call *call);
/** Tests whether the upstream accepts a connection, without a request. @p done
 * gets ERROR_NONE, ERROR_CONNECTION or ERROR_TIMEOUT. The new connection is
 * kept for later calls. Returns NULL if connecting can't even start. */
struct pool_call *upstream_pool_probe(struct upstream_pool *pool,
    uint64_t address, void (*done)(void *context, enum error_code error),
    void *context);

#endif
