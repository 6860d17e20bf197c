/**
 * @file stream_assembler.h
 * Delivers the pieces of a streamed answer in order, each exactly once.
 *
 * Pieces are numbered from 0 over the whole answer, regardless of which attempt
 * sent them. Only pieces of the current attempt are accepted; those of earlier
 * attempts are dropped. An answer is complete only when its end mark has
 * arrived with the number of pieces and all of them were delivered.
 */
#ifndef STREAM_ASSEMBLER_H
#define STREAM_ASSEMBLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"

/** How far a piece may be ahead of the next piece to deliver. */
#define ASSEMBLER_WINDOW_MAX 256

/** A piece of an answer, as received. */
struct stream_piece {
	uint32_t attempt;  /**< Number of the attempt that sent the piece. */
	uint64_t sequence; /**< Number of the piece, from 0. */
	const void *bytes; /**< Text of the piece. */
	size_t size;	   /**< Size of the text in bytes. */
};

/** A piece that waits for earlier pieces. */
struct buffered_piece {
	bool is_used; /**< True if this slot holds a piece. */
	size_t size;  /**< Size of the text in bytes. */
	void *bytes;  /**< Copy of the text, NULL if it is empty. */
};

/** Callback that receives the answer. */
struct stream_assembler_ops {
	/** Called once for each piece, in order. An error makes the call that
	 * delivered the piece fail. */
	enum error_code (*deliver)(
	    void *context, uint64_t sequence, const void *bytes, size_t size);
	void *context; /**< First argument of deliver(). */
};

/** The assembler of one answer. */
struct stream_assembler {
	struct stream_assembler_ops ops; /**< Receiver of the answer. */
	uint32_t attempt;	   /**< Current attempt, 0 before the first. */
	uint64_t position;	   /**< Number of the next piece to deliver. */
	bool has_failed;	   /**< True if deliver() returned an error. */
	bool has_end;		   /**< True if the end mark has arrived. */
	uint64_t end_count;	   /**< Number of pieces, by the end mark. */
	size_t buffered_bytes;	   /**< Bytes of text in the window. */
	size_t buffered_bytes_max; /**< Largest buffered_bytes. */
	/** Ring buffer of pieces, indexed by piece number. */
	struct buffered_piece window[ASSEMBLER_WINDOW_MAX];
};

/** Initialises the assembler for one answer. */
void stream_assembler_init(struct stream_assembler *assembler,
    const struct stream_assembler_ops *ops, size_t buffered_bytes_max);
/** Frees the buffered pieces. */
void stream_assembler_finish(struct stream_assembler *assembler);

/** Makes @p attempt the current one; it sends the answer from piece 0. Errors:
 * ERROR_INVALID_ARGUMENT if pieces were delivered already, ERROR_STALE if the
 * attempt is not newer than the current one. */
enum error_code stream_assembler_start(
    struct stream_assembler *assembler, uint32_t attempt);
/** Makes @p attempt the current one; it continues the answer at
 * stream_assembler_position(). Errors: ERROR_STALE if the attempt is not newer
 * than the current one. */
enum error_code stream_assembler_resume(
    struct stream_assembler *assembler, uint32_t attempt);
/** Returns the number of the next piece to deliver, at which a resumed attempt
 * continues. */
uint64_t stream_assembler_position(const struct stream_assembler *assembler);

/** Delivers or buffers a piece. Duplicates and pieces of earlier attempts are
 * dropped without an error. Errors: ERROR_TOO_LARGE beyond the window or
 * buffered_bytes_max, ERROR_MALFORMED beyond the end mark, ERROR_NO_MEMORY, or
 * the error that deliver() returned. */
enum error_code stream_assembler_add(
    struct stream_assembler *assembler, const struct stream_piece *piece);
/** Handles the end mark of an attempt; @p count is the number of pieces of the
 * whole answer. Errors: ERROR_MALFORMED if that contradicts an earlier end mark
 * or a piece that has arrived. */
enum error_code stream_assembler_end(
    struct stream_assembler *assembler, uint32_t attempt, uint64_t count);
/** True if the whole answer was delivered. */
bool stream_assembler_is_complete(const struct stream_assembler *assembler);
/** Checks the answer when the connection of its attempt has ended. Returns
 * ERROR_NONE if the answer is complete, else ERROR_INCOMPLETE. */
enum error_code stream_assembler_close(
    const struct stream_assembler *assembler);

#endif
