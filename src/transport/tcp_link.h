/**
 * @file tcp_link.h
 * A TCP connection on a libuv loop: bytes in, bytes out, one clear end.
 *
 * The owner embeds the link and may free it only after closed() was called.
 * Dead peers are noticed by keepalive probes and TCP_USER_TIMEOUT.
 */
#ifndef TCP_LINK_H
#define TCP_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "base/error_code.h"

/** Calls of a link. */
struct tcp_link_ops {
	/** A connection was made, or ERROR_CONNECTION. */
	void (*opened)(void *context, enum error_code error);
	/** Bytes came; valid during the call only. */
	void (*received)(void *context, const char *data, size_t size);
	/** The peer has ended; @p is_clean false for a reset. */
	void (*ended)(void *context, bool is_clean);
	/** The link is closed; the owner may free it. */
	void (*closed)(void *context);
	void *context; /**< Passed back. */
};

/** A link. */
struct tcp_link {
	uv_tcp_t tcp;		 /**< The library's part. */
	uv_connect_t connect;	 /**< While connecting. */
	uv_shutdown_t shutdown;	 /**< While ending our side. */
	struct tcp_link_ops ops; /**< Whom to call. */
	bool is_connecting;	 /**< Not open yet. */
	bool is_closing;	 /**< tcp_link_close() was called. */
};

/* Opening */

/** Accepts a connection of a listener. Errors: ERROR_CONNECTION; closed()
 * then follows. */
enum error_code tcp_link_accept(struct tcp_link *link, uv_stream_t *listener,
    const struct tcp_link_ops *ops);
/** Connects; opened() follows unless the link is closed before. Errors:
 * ERROR_CONNECTION at once; closed() then follows. */
enum error_code tcp_link_connect(struct tcp_link *link, uv_loop_t *loop,
    const struct sockaddr_in *address, const struct tcp_link_ops *ops);

/* Using */

/** Writes bytes, which are copied as far as they can't go at once. */
void tcp_link_write(struct tcp_link *link, const void *data, size_t size);
/** Bytes that wait to be sent. */
size_t tcp_link_queued(const struct tcp_link *link);
/** Ends our side once all is sent; reading goes on. */
void tcp_link_end(struct tcp_link *link);
/** Closes at once; what is queued is lost. Twice is no error. */
void tcp_link_close(struct tcp_link *link);
/** Closes with a reset, so that an answer never looks complete. */
void tcp_link_reset(struct tcp_link *link);

#endif
