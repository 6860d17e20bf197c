/**
 * @file http_server.h
 * HTTP server on ulfius: routes, bounded bodies, errors and streams.
 *
 * Each connection has a thread, so handlers and stream sources may wait. A
 * handler answers with exactly one http_reply*() call. While a stream has
 * nothing to send, a comment is written each second, so that a caller that
 * went away is noticed; http_caller_gone() tells it to a waiting handler.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <ulfius.h>

#include "base/error_code.h"
#include "protocol/completions.h"

#define HTTP_COMMENT_PERIOD_MS 1000 /**< Between comments in a stream. */

/** A request being answered; opaque, valid within its handler. */
struct http_exchange;

/** Answers requests of one method and path. */
struct http_route {
	const char *method; /**< "GET", "POST", ... */
	const char *path;   /**< ulfius format: "/v1/services/:service/ *" */
	void (*handle)(void *context, struct http_exchange *exchange);
};

/** How a stream stands after next(). */
enum http_stream_state {
	HTTP_STREAM_MORE = 1, /**< Not at its end. */
	HTTP_STREAM_END = 2,  /**< What was appended is the last. */
};

/** Where a streamed body comes from; used by the connection's thread. */
struct http_stream {
	/** Appends what there is, waiting at most until @p deadline_ms
	 * (monotonic); nothing appended and MORE: a comment is sent. */
	enum http_stream_state (*next)(
	    void *context, GString *out, int64_t deadline_ms);
	/** Called once at the end; @p whole false: the caller went away. */
	void (*closed)(void *context, bool whole);
	void *context; /**< Passed back to both. */
};

/** Settings; zero takes the default in brackets. */
struct http_server_settings {
	char address[NAME_SIZE_MAX]; /**< IP number [127.0.0.1]. */
	uint16_t port;		     /**< TCP port. */
	size_t body_size_max;	     /**< Larger bodies get 413 [64 MiB]. */
	uint32_t connections_max;    /**< Connections at a time [4096]. */
	uint32_t idle_timeout_s;     /**< Silent connections end [120]. */
};

/** The server. */
struct http_server {
	struct _u_instance instance;	      /**< ulfius's part. */
	struct http_server_settings settings; /**< Defaults filled in. */
	const struct http_route *routes;      /**< The caller's table. */
	size_t route_count;		      /**< Entries in it. */
	void *context;			      /**< Passed to handlers. */
	struct http_route_link *links;	      /**< One for each route. */
	pthread_mutex_t lock;		      /**< Guards what follows. */
	GHashTable *sockets;		      /**< By the caller's address. */
	_Atomic uint32_t running;	      /**< Requests being answered. */
	bool started;			      /**< The daemon runs. */
	_Atomic bool quiesced;		      /**< No new connections. */
};

/* Running */

/** Starts to listen. Errors: ERROR_IO if the port can't be had. */
enum error_code http_server_init(struct http_server *server,
    const struct http_server_settings *settings,
    const struct http_route *routes, size_t route_count, void *context);
/** Takes no new connections, waits for running requests and streams.
 * Errors: ERROR_TIMEOUT if some still run at @p deadline_ms. */
enum error_code http_server_drain(
    struct http_server *server, int64_t deadline_ms);
/** Stops; cuts what still runs. */
void http_server_finish(struct http_server *server);

/* Reading the request */

/** Header, any case of letters; NULL if absent. */
const char *http_header(const struct http_exchange *exchange, const char *name);
/** The same as the parsers take it. */
struct header_source http_header_source(const struct http_exchange *exchange);
/** Part of the path, or a query parameter; NULL if absent. */
const char *http_parameter(
    const struct http_exchange *exchange, const char *name);
/** Path of the URL without the query. */
const char *http_path(const struct http_exchange *exchange);
/** Body in place. */
const char *http_body(const struct http_exchange *exchange, size_t *size);
/** Body to be freed with free(); the exchange has none any more. */
char *http_take_body(struct http_exchange *exchange, size_t *size);
/** True if the caller has closed its side; for handlers that wait. */
bool http_caller_gone(const struct http_exchange *exchange);

/* Answering */

/** Adds a header to the answer. */
void http_set_header(
    struct http_exchange *exchange, const char *name, const char *value);
/** Answers with a body. */
void http_reply(struct http_exchange *exchange, uint32_t status,
    const char *content_type, const char *body, size_t size);
/** Answers with JSON and takes over the reference. */
void http_reply_json(
    struct http_exchange *exchange, uint32_t status, json_t *body);
/** Answers with an error, its status and Retry-After. */
void http_reply_error(
    struct http_exchange *exchange, const struct caller_error *error);
/** The same for a refused input: nothing ran. */
void http_reply_field_error(
    struct http_exchange *exchange, const struct field_error *error);
/** Answers with server-sent events that @p stream gives after the handler
 * has returned. */
void http_reply_stream(
    struct http_exchange *exchange, const struct http_stream *stream);

#endif
