/**
 * @file tcp_link.h
 * A TCP connection on a libuv loop, with callbacks for received bytes and for
 * its end.
 *
 * The owner embeds the link in its own struct and must not free it before
 * on_closed() is called. Keepalive probes and TCP_USER_TIMEOUT detect peers
 * that vanish without closing the connection.
 */
#ifndef TCP_LINK_H
#define TCP_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "base/error_code.h"

/** Callbacks of a link to its owner. */
struct tcp_link_ops {
	/** tcp_link_connect() has succeeded (@p error is ERROR_NONE) or failed
	 * (ERROR_CONNECTION). */
	void (*on_opened)(void *context, enum error_code error);
	/** Bytes were received; they are valid during the call only. */
	void (*on_received)(void *context, const char *data, size_t size);
	/** The peer has ended its side; nothing more is received. @p is_clean
	 * is false if the connection was reset or broke. */
	void (*on_ended)(void *context, bool is_clean);
	/** The link is closed and the owner may free it; the last callback. */
	void (*on_closed)(void *context);
	void *context; /**< First argument of the callbacks. */
};

/** A TCP connection. */
struct tcp_link {
	uv_tcp_t tcp;		 /**< libuv handle of the socket. */
	uv_connect_t connect;	 /**< libuv request of tcp_link_connect(). */
	uv_shutdown_t shutdown;	 /**< libuv request of tcp_link_end(). */
	struct tcp_link_ops ops; /**< Callbacks to the owner. */
	bool is_connecting;	 /**< True until on_opened() is called. */
	bool is_closing;	 /**< tcp_link_close() was called. */
	/** A write was told that the connection broke, so that no read is. */
	bool is_broken;
};

/* Opening */

/** Accepts a pending connection of a listener and starts to read. Errors:
 * ERROR_CONNECTION; on_closed() is called in that case too. */
enum error_code tcp_link_accept(struct tcp_link *link, uv_stream_t *listener,
    const struct tcp_link_ops *ops);
/** Starts to connect. on_opened() reports the result unless the link is closed
 * before. Errors: ERROR_CONNECTION if connecting can't even start; on_closed()
 * is called in that case too. */
enum error_code tcp_link_connect(struct tcp_link *link, uv_loop_t *loop,
    const struct sockaddr_in *address, const struct tcp_link_ops *ops);

/* Writing and closing */

/** Writes bytes; those that the socket doesn't accept at once are copied and
 * queued. */
void tcp_link_write(struct tcp_link *link, const void *data, size_t size);
/** Returns the number of bytes queued for writing. */
size_t tcp_link_queued(const struct tcp_link *link);
/** True if bytes or the peer's end of the connection wait in the socket. */
bool tcp_link_has_input(const struct tcp_link *link);
/** Shuts down the sending side once all queued bytes are sent; bytes are still
 * received. */
void tcp_link_end(struct tcp_link *link);
/** Closes the connection at once and discards queued bytes. Closing twice is
 * harmless. */
void tcp_link_close(struct tcp_link *link);
/** Closes the connection with a TCP reset, so that the peer can't take an
 * unfinished answer for a complete one. */
void tcp_link_reset(struct tcp_link *link);

#endif
