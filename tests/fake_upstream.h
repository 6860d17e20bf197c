/**
 * @file fake_upstream.h
 * An upstream that says what it is told, byte for byte, and then misbehaves.
 */
#ifndef FAKE_UPSTREAM_H
#define FAKE_UPSTREAM_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What it does after its reply. */
enum fake_upstream_end {
	FAKE_UPSTREAM_CLOSES = 0, /**< Ends the connection in order. */
	FAKE_UPSTREAM_RESETS,	  /**< Cuts it. */
	FAKE_UPSTREAM_STALLS,	  /**< Holds it open in silence. */
	FAKE_UPSTREAM_DEAF,	  /**< Cuts it without reading anything. */
};

/** The upstream; one connection at a time. */
struct fake_upstream {
	uint16_t port;		    /**< Where it listens. */
	int listener;		    /**< Socket. */
	pthread_t thread;	    /**< Answers. */
	const char *reply;	    /**< Raw bytes of the answer. */
	enum fake_upstream_end end; /**< What then. */
	atomic_bool stopping;	    /**< The thread ends. */
	_Atomic int connections;    /**< Taken so far. */
	_Atomic int cut_by_caller;  /**< Ended by the caller while stalled. */
	_Atomic size_t body_size;   /**< Bytes of the last body. */
	_Atomic uint64_t body_sum;  /**< Sum of its bytes. */
	char head[2048];	    /**< Head of the last request. */
};

/** Listens on 127.0.0.1. */
void fake_upstream_init(struct fake_upstream *upstream, uint16_t port,
    const char *reply, enum fake_upstream_end end);
/** Stops; then head may be read. */
void fake_upstream_finish(struct fake_upstream *upstream);

#endif
