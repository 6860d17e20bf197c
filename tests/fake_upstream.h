/**
 * @file fake_upstream.h
 * An HTTP upstream that sends a given reply byte for byte and then closes,
 * resets or stalls the connection, for tests.
 */
#ifndef FAKE_UPSTREAM_H
#define FAKE_UPSTREAM_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What the upstream does with a connection after its reply. */
enum fake_upstream_end {
	FAKE_UPSTREAM_CLOSES = 0,    /**< Closes the connection properly. */
	FAKE_UPSTREAM_RESETS,	     /**< Resets the connection. */
	FAKE_UPSTREAM_STALLS,	     /**< Keeps it open and sends no more. */
	FAKE_UPSTREAM_RESETS_UNREAD, /**< Resets it; reads no request. */
	/** Replies once the head of a request is read, and resets it; reads no
	 * body. */
	FAKE_UPSTREAM_RESETS_EARLY,
	/** Sends the last line of the reply again and again. */
	FAKE_UPSTREAM_REPEATS,
	/** Keeps it open and sends the reply again to each further request. */
	FAKE_UPSTREAM_KEEPS,
};

/** A scripted HTTP upstream that serves one connection at a time. */
struct fake_upstream {
	uint16_t port;	   /**< Port that it listens on. */
	int listener;	   /**< Listening socket. */
	pthread_t thread;  /**< Serves the connections. */
	const char *reply; /**< Bytes sent for each request. */
	/** Sent in its place on the first connection; NULL for none. To be set
	 * before anything is sent to the upstream. */
	const char *first_reply;
	enum fake_upstream_end end;   /**< How a connection ends. */
	atomic_bool stopping;	      /**< Set to end the thread. */
	_Atomic int connections;      /**< Connections accepted so far. */
	_Atomic int kept_requests;    /**< Further ones on a connection. */
	_Atomic int closed_by_caller; /**< Stalled ones closed by callers. */
	_Atomic size_t body_size;     /**< Bytes of the last request body. */
	_Atomic uint64_t body_sum;    /**< Sum of that request body's bytes. */
	char request_head[2048];      /**< Head of the last request. */
};

/**
 * Listens on 127.0.0.1 at @p port; sends @p reply, which must outlive the
 * upstream, to every request. Aborts the test if the port is in use.
 */
void fake_upstream_init(struct fake_upstream *upstream, uint16_t port,
    const char *reply, enum fake_upstream_end end);
/** Stops the upstream; request_head may be read after that. */
void fake_upstream_finish(struct fake_upstream *upstream);

#endif
