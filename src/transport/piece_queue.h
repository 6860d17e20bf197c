/**
 * @file piece_queue.h
 * Bounded queue of answer pieces from an attempt's thread to its caller.
 *
 * The attempt pushes and waits for room; the caller pops with a deadline, so
 * a stalled upstream is noticed here and not in the HTTP client. A queue is
 * counted and on the heap, since either side may end first. Closing it is how
 * the caller abandons the attempt: its pushes fail and its transfer is cut.
 */
#ifndef PIECE_QUEUE_H
#define PIECE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "state/request.h"

/** What a piece says. */
enum piece_kind {
	PIECE_KIND_HEAD = 1,   /**< Plain calls: status and content type. */
	PIECE_KIND_TEXT = 2,   /**< A stretch of the answer. */
	PIECE_KIND_END = 3,    /**< The end mark. Last of the attempt. */
	PIECE_KIND_FAILED = 4, /**< It ended otherwise. Last of the attempt.
				* ERROR_CONNECTION: the link broke, the
				* upstream may have died; ERROR_INCOMPLETE:
				* it closed in order without an end mark;
				* ERROR_UPSTREAM_FAILED: it said so. */
};

/** One piece. */
struct piece {
	enum piece_kind kind; /**< Which fields below count. */
	uint64_t request_id;  /**< Whose answer, as the upstream says. */
	uint32_t attempt;     /**< Which attempt, as the upstream says. */
	uint64_t sequence;    /**< TEXT: place in the answer, from 0. */
	char *text;	      /**< TEXT: bytes with an end mark, or NULL. */
	size_t text_size;     /**< TEXT: bytes without the end mark. */
	uint32_t tokens;      /**< TEXT: tokens in it. END: answer's tokens. */
	uint64_t piece_count; /**< END: pieces 0 to this minus 1 make it whole.
			       */
	bool stopped_by_length;		  /**< END: the token bound was hit. */
	uint32_t status;		  /**< HEAD: HTTP status. */
	char content_type[NAME_SIZE_MAX]; /**< HEAD: type of the body. */
	enum error_code error;		  /**< FAILED: why. */
	enum request_outcome outcome;	  /**< FAILED: whether it ran. */
	int64_t retry_after_ms;		  /**< FAILED: 0 if not said. */
};

/** The queue; opaque, since two threads share it. */
struct piece_queue;

/* Lifetime */

/** Makes a queue of at most @p capacity pieces with one reference. */
struct piece_queue *piece_queue_create(uint32_t capacity);
/** Takes one more reference. */
struct piece_queue *piece_queue_hold(struct piece_queue *queue);
/** Gives a reference back; the last one frees pieces that were left. */
void piece_queue_release(struct piece_queue *queue);

/* The attempt's side */

/** Pushes and takes over the text; waits for room.
 * Errors: ERROR_CANCELLED once closed (the text is freed). */
enum error_code piece_queue_push(
    struct piece_queue *queue, const struct piece *piece);
/** True once the caller has abandoned the attempt. */
bool piece_queue_closed(struct piece_queue *queue);

/* The caller's side */

/** Pops a piece, waits until @p deadline_ms on the monotonic clock.
 * Errors: ERROR_TIMEOUT; ERROR_CANCELLED once closed and empty. The text is
 * freed with piece_finish(). */
enum error_code piece_queue_pop(
    struct piece_queue *queue, int64_t deadline_ms, struct piece *piece);
/** Abandons the attempt without waiting for it. */
void piece_queue_close(struct piece_queue *queue);
/** Frees a popped piece's text. */
void piece_finish(struct piece *piece);

#endif
