/**
 * @file stream_assembler.h
 * Puts the pieces of an answer in order, each exactly once.
 *
 * Pieces are numbered from 0 over the whole answer, whichever attempt brings
 * them. Only the current attempt counts; those of dead attempts are dropped.
 * The answer is complete only when its end mark came with the count of pieces
 * and all of them were delivered.
 */
#ifndef STREAM_ASSEMBLER_H
#define STREAM_ASSEMBLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"

#define ASSEMBLER_WINDOW_MAX 256 /**< Pieces that may wait for earlier ones. */

/** A piece. */
struct stream_piece {
	uint32_t attempt;  /**< Which attempt brought it. */
	uint64_t sequence; /**< Its number, from 0. */
	const void *bytes; /**< Its text. */
	size_t size;	   /**< Bytes of text. */
};

/** A piece that waits; its bytes are a copy. */
struct stream_waiting {
	bool is_used; /**< True if it waits. */
	size_t size;  /**< Bytes. */
	void *bytes;  /**< Copy, NULL for none. */
};

/** Where the text goes. */
struct stream_assembler_ops {
	/** Called once for each piece, in order. An error stops the answer. */
	enum error_code (*deliver)(
	    void *context, uint64_t sequence, const void *bytes, size_t size);
	void *context; /**< Passed back to deliver(). */
};

/** The assembler of one answer. */
struct stream_assembler {
	struct stream_assembler_ops ops; /**< Where the text goes. */
	uint32_t attempt;	  /**< The current one, 0 for none yet. */
	uint64_t position;	  /**< Number of the next piece to deliver. */
	bool has_failed;	  /**< deliver() gave an error. */
	bool has_end;		  /**< The end mark came. */
	uint64_t end_count;	  /**< Pieces of the answer, by the end mark. */
	size_t waiting_bytes;	  /**< In the window. */
	size_t waiting_bytes_max; /**< Bound on them. */
	struct stream_waiting window[ASSEMBLER_WINDOW_MAX]; /**< Ring. */
};

/** Prepares for one answer. */
void stream_assembler_init(struct stream_assembler *assembler,
    const struct stream_assembler_ops *ops, size_t waiting_bytes_max);
/** Drops what waits. */
void stream_assembler_finish(struct stream_assembler *assembler);

/** Makes @p attempt the current one, from piece 0. Errors: ERROR_INVALID_
 * ARGUMENT if pieces were delivered, ERROR_STALE if it is not newer. */
enum error_code stream_assembler_start(
    struct stream_assembler *assembler, uint32_t attempt);
/** Makes @p attempt the current one, from the position on. Errors:
 * ERROR_STALE if it is not newer. */
enum error_code stream_assembler_resume(
    struct stream_assembler *assembler, uint32_t attempt);
/** Number of the next piece to deliver: where a resume goes on. */
uint64_t stream_assembler_position(const struct stream_assembler *assembler);

/** Takes a piece. Duplicates and pieces of dead attempts are dropped without
 * an error. Errors: ERROR_TOO_LARGE past the window, ERROR_MALFORMED past the
 * end mark, ERROR_NO_MEMORY, or what deliver() gave. */
enum error_code stream_assembler_add(
    struct stream_assembler *assembler, const struct stream_piece *piece);
/** Takes the end mark. Errors: ERROR_MALFORMED if it contradicts. */
enum error_code stream_assembler_end(
    struct stream_assembler *assembler, uint32_t attempt, uint64_t count);
/** True once the whole answer was delivered. */
bool stream_assembler_is_complete(const struct stream_assembler *assembler);
/** Judges an attempt whose connection ended: ERROR_NONE or ERROR_INCOMPLETE. */
enum error_code stream_assembler_close(
    const struct stream_assembler *assembler);

#endif
