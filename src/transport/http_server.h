/**
 * @file http_server.h
 * HTTP server based on ulfius: routing, body size limits, error responses and
 * server-sent event streams.
 *
 * Each connection has its own thread, so handlers and stream sources may
 * block. A handler must call exactly one of the http_reply*() functions. While
 * a stream has no data, the server writes a comment every second, because only
 * a failed write shows that the caller has disconnected. A handler that blocks
 * before it replies can check this with http_caller_disconnected().
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

/** Longest time without data in a stream before a comment is sent. */
#define HTTP_COMMENT_PERIOD_MS 1000

/** A request and its response; opaque and valid until the handler returns. */
struct http_exchange;

/** Handler for the requests with a given method and path. */
struct http_route {
	const char *method; /**< "GET", "POST", ... */
	const char *path;   /**< ulfius pattern with ":name" and "*". */
	/** Handles a request; @p context is that of http_server_init(). */
	void (*handle)(void *context, struct http_exchange *exchange);
};

/** Result of http_stream.next(). */
enum http_stream_state {
	HTTP_STREAM_MORE = 1, /**< More data may follow. */
	HTTP_STREAM_END = 2,  /**< The appended data is the last. */
};

/** Source of a streamed body, called by the connection's thread. */
struct http_stream {
	/** Appends the available data to @p out and waits for some until
	 * @p deadline_ms on the monotonic clock. If it appends nothing and
	 * returns HTTP_STREAM_MORE, the server sends a comment. */
	enum http_stream_state (*next)(
	    void *context, GString *out, int64_t deadline_ms);
	/** Called once when the stream ends; @p is_complete is false if the
	 * caller disconnected before the end was sent. */
	void (*on_closed)(void *context, bool is_complete);
	void *context; /**< First argument of the callbacks. */
};

/** Server settings; zero selects the default given in brackets. */
struct http_server_settings {
	char address[NAME_SIZE_MAX]; /**< IPv4 address [127.0.0.1]. */
	uint16_t port;		     /**< TCP port to listen on. */
	size_t body_size_max;	  /**< Largest request body in bytes [64 MiB];
			       * larger ones get status 413. */
	uint32_t connections_max; /**< Most connections at a time [4096]. */
	uint32_t idle_timeout_s;  /**< Seconds without traffic after which a
				   * connection is closed [120]. */
};

/** An HTTP server and its connections. */
struct http_server {
	struct _u_instance instance;	      /**< ulfius instance. */
	struct http_server_settings settings; /**< Settings with defaults. */
	const struct http_route *routes; /**< Routes, owned by the caller. */
	size_t route_count;		 /**< Number of routes. */
	void *context;			 /**< First argument of handlers. */
	struct http_route_link *links;	 /**< Callback data of each route. */
	pthread_mutex_t lock;		 /**< Protects connections. */
	GHashTable *connections;	 /**< Client address and port to struct
				  * MHD_Connection. */
	_Atomic uint32_t running;	 /**< Number of requests in progress. */
	bool started;			 /**< True while the daemon runs. */
	_Atomic bool quiesced; /**< True once no connections are accepted. */
};

/* Running */

/** Starts to listen and to serve the routes. Errors: ERROR_IO if the port
 * can't be bound, ERROR_INVALID_ARGUMENT for a bad address or route,
 * ERROR_NO_MEMORY. */
enum error_code http_server_init(struct http_server *server,
    const struct http_server_settings *settings,
    const struct http_route *routes, size_t route_count, void *context);
/** Stops accepting connections and waits for requests and streams in progress.
 * Errors: ERROR_TIMEOUT if some are still in progress at @p deadline_ms on the
 * monotonic clock. */
enum error_code http_server_drain(
    struct http_server *server, int64_t deadline_ms);
/** Stops the server, aborts requests in progress and frees its memory. */
void http_server_finish(struct http_server *server);

/* Reading the request */

/** Returns a request header by case-insensitive name, NULL if absent. */
const char *http_header(const struct http_exchange *exchange, const char *name);
/** Returns access to the request headers in the form that parsers take. */
struct header_source http_header_source(const struct http_exchange *exchange);
/** Returns a path parameter (":id") or query parameter, NULL if absent. */
const char *http_parameter(
    const struct http_exchange *exchange, const char *name);
/** Returns the path of the URL without the query. */
const char *http_path(const struct http_exchange *exchange);
/** Returns the request body, which the exchange keeps, and its size in bytes.
 */
const char *http_body(const struct http_exchange *exchange, size_t *size);
/** Moves the request body out of the exchange; the caller frees it with
 * free(). */
char *http_take_body(struct http_exchange *exchange, size_t *size);
/** Returns true if the client has closed its side of the connection. Handlers
 * that block call it now and then. */
bool http_caller_disconnected(const struct http_exchange *exchange);

/** Returns how long ago in milliseconds the last byte from the client reached
 * this machine, 0 if that is unknown. This includes time in which the process
 * did not run. */
int64_t http_request_age_ms(const struct http_exchange *exchange);

/* Writing the response */

/** Sets a header of the response. */
void http_set_header(
    struct http_exchange *exchange, const char *name, const char *value);
/** Replies with a copy of @p body (NULL: empty). @p content_type NULL sets no
 * Content-Type header. */
void http_reply(struct http_exchange *exchange, uint32_t status,
    const char *content_type, const char *body, size_t size);
/** Replies with JSON and takes over the reference to @p body. */
void http_reply_json(
    struct http_exchange *exchange, uint32_t status, json_t *body);
/** Replies with an error as JSON, its HTTP status and, if it gives a time,
 * Retry-After. */
void http_reply_error(
    struct http_exchange *exchange, const struct caller_error *error);
/** Replies that a field of the input is invalid and that nothing was executed.
 */
void http_reply_field_error(
    struct http_exchange *exchange, const struct field_error *error);
/** Writes bytes to the connection as they are and closes it, for stand-ins of
 * faulty upstreams. */
void http_reply_cut(struct http_exchange *exchange, const char *bytes);
/** Replies with server-sent events, which the server reads from @p stream once
 * the handler has returned. */
void http_reply_stream(
    struct http_exchange *exchange, const struct http_stream *stream);

#endif
