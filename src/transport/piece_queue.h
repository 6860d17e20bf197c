/**
 * @file piece_queue.h
 * Bounded queue that passes the pieces of an answer from the thread of an
 * attempt to its caller.
 *
 * The attempt pushes and blocks while the queue is full. The caller pops with
 * a deadline, so it detects a stalled upstream itself and needs no timeout in
 * the HTTP client. The queue has a reference count, since either side may end
 * first. The caller abandons an attempt by closing the queue: pushes then fail
 * and the transfer is aborted.
 */
#ifndef PIECE_QUEUE_H
#define PIECE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "state/request.h"

/** Kind of a piece. */
enum piece_kind {
	/** Status and content type of a plain call's answer. */
	PIECE_KIND_HEAD = 1,
	/** A part of the answer's text. */
	PIECE_KIND_TEXT = 2,
	/** The answer is complete. Last piece of an attempt. */
	PIECE_KIND_END = 3,
	/** The attempt failed. Last piece of an attempt. ERROR_CONNECTION: the
	 * connection broke and the upstream may have crashed.
	 * ERROR_INCOMPLETE: the upstream closed the connection cleanly but
	 * sent no end event. ERROR_UPSTREAM_FAILED: the upstream reported a
	 * failure. */
	PIECE_KIND_FAILED = 4,
};

/** A piece of an answer. */
struct piece {
	enum piece_kind kind; /**< Kind; tells which fields below are valid. */
	uint64_t request_id;  /**< Request id reported by the upstream. */
	uint32_t attempt;     /**< Attempt number reported by the upstream. */
	uint64_t sequence;    /**< TEXT: index of the piece, from 0. */
	char *text;	      /**< TEXT: text with terminating NUL, or NULL. */
	size_t text_size;     /**< TEXT: bytes without the NUL. */
	uint32_t tokens;      /**< TEXT: its tokens. END: answer's tokens. */
	uint64_t piece_count; /**< END: number of TEXT pieces in the answer. */
	bool stopped_by_length;		  /**< END: token limit was reached. */
	uint32_t status;		  /**< HEAD: HTTP status. */
	char content_type[NAME_SIZE_MAX]; /**< HEAD: type of the body. */
	enum error_code error;		  /**< FAILED: cause of the failure. */
	enum request_outcome outcome; /**< FAILED: whether it may have run. */
	int64_t retry_after_ms;	      /**< FAILED: wait before retry, or 0. */
};

/** A queue of pieces; opaque, since two threads share it under its lock. */
struct piece_queue;

/* Lifetime */

/** Creates a queue for at most @p capacity pieces, with one reference. Returns
 * NULL if @p capacity is 0 or memory is short. */
struct piece_queue *piece_queue_create(uint32_t capacity);
/** Adds a reference and returns the queue. */
struct piece_queue *piece_queue_hold(struct piece_queue *queue);
/** Drops a reference; the last one frees the queue and its pieces. NULL is
 * allowed. */
void piece_queue_release(struct piece_queue *queue);

/* Used by the attempt */

/** Appends a piece and takes over its text; blocks while the queue is full.
 * Errors: ERROR_CANCELLED if the queue is closed; the text is freed. */
enum error_code piece_queue_push(
    struct piece_queue *queue, const struct piece *piece);
/** Returns true once the caller has closed the queue. */
bool piece_queue_closed(struct piece_queue *queue);

/* Used by the caller */

/** Removes the oldest piece and waits for one until @p deadline_ms on the
 * monotonic clock. Free its text with piece_finish(). Errors: ERROR_TIMEOUT,
 * ERROR_CANCELLED if the queue is closed and empty. */
enum error_code piece_queue_pop(
    struct piece_queue *queue, int64_t deadline_ms, struct piece *piece);
/** Closes the queue and so abandons the attempt, without waiting for it. */
void piece_queue_close(struct piece_queue *queue);
/** Frees the text of a popped piece. */
void piece_finish(struct piece *piece);

#endif
