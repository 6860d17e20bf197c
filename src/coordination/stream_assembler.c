/**
 * @file stream_assembler.c
 * Reorders the pieces of an answer in a bounded window.
 */
#include "coordination/stream_assembler.h"

#include <stdlib.h>
#include <string.h>

static enum error_code begin_attempt(
    struct stream_assembler *assembler, uint32_t attempt);
static enum error_code buffer_piece(
    struct stream_assembler *assembler, const struct stream_piece *piece);
static enum error_code deliver_piece(
    struct stream_assembler *assembler, const void *bytes, size_t size);
static enum error_code deliver_buffered(struct stream_assembler *assembler);
static void clear_buffered(
    struct stream_assembler *assembler, struct buffered_piece *buffered);
static void clear_window(struct stream_assembler *assembler);

void
stream_assembler_init(struct stream_assembler *assembler,
    const struct stream_assembler_ops *ops, size_t buffered_bytes_max)
{
	memset(assembler, 0, sizeof(*assembler));
	assembler->ops = *ops;
	assembler->buffered_bytes_max = buffered_bytes_max;
}

void
stream_assembler_finish(struct stream_assembler *assembler)
{
	clear_window(assembler);
	memset(assembler, 0, sizeof(*assembler));
}

enum error_code
stream_assembler_start(struct stream_assembler *assembler, uint32_t attempt)
{
	/* Another run may generate a different text than the pieces that were
	 * delivered already. */
	if (assembler->position != 0)
		return ERROR_INVALID_ARGUMENT;
	return begin_attempt(assembler, attempt);
}

enum error_code
stream_assembler_resume(struct stream_assembler *assembler, uint32_t attempt)
{
	return begin_attempt(assembler, attempt);
}

uint64_t
stream_assembler_position(const struct stream_assembler *assembler)
{
	return assembler->position;
}

enum error_code
stream_assembler_add(
    struct stream_assembler *assembler, const struct stream_piece *piece)
{
	enum error_code error;

	if (piece->attempt != assembler->attempt)
		return ERROR_NONE;
	if (assembler->has_end && piece->sequence >= assembler->end_count)
		return ERROR_MALFORMED;
	if (piece->sequence < assembler->position)
		return ERROR_NONE;
	if (piece->sequence - assembler->position >= ASSEMBLER_WINDOW_MAX)
		return ERROR_TOO_LARGE;
	if (piece->sequence != assembler->position)
		return buffer_piece(assembler, piece);
	error = deliver_piece(assembler, piece->bytes, piece->size);
	if (error != ERROR_NONE)
		return error;
	return deliver_buffered(assembler);
}

enum error_code
stream_assembler_end(
    struct stream_assembler *assembler, uint32_t attempt, uint64_t count)
{
	uint64_t sequence;

	if (attempt != assembler->attempt)
		return ERROR_NONE;
	if (assembler->has_end)
		return count == assembler->end_count ? ERROR_NONE
						     : ERROR_MALFORMED;
	if (count < assembler->position)
		return ERROR_MALFORMED;
	for (sequence = count;
	     sequence < assembler->position + ASSEMBLER_WINDOW_MAX;
	     sequence++) {
		if (assembler->window[sequence % ASSEMBLER_WINDOW_MAX].is_used)
			return ERROR_MALFORMED;
	}
	assembler->has_end = true;
	assembler->end_count = count;
	return ERROR_NONE;
}

bool
stream_assembler_is_complete(const struct stream_assembler *assembler)
{
	return assembler->has_end &&
	       assembler->position == assembler->end_count;
}

enum error_code
stream_assembler_close(const struct stream_assembler *assembler)
{
	return stream_assembler_is_complete(assembler) ? ERROR_NONE
						       : ERROR_INCOMPLETE;
}

static enum error_code
begin_attempt(struct stream_assembler *assembler, uint32_t attempt)
{
	if (attempt <= assembler->attempt)
		return ERROR_STALE;
	/* The buffered pieces and the end mark belong to the attempt before. */
	clear_window(assembler);
	assembler->attempt = attempt;
	assembler->has_end = false;
	assembler->end_count = 0;
	return ERROR_NONE;
}

/* Keeps a copy of a piece that arrived before an earlier one. */
static enum error_code
buffer_piece(
    struct stream_assembler *assembler, const struct stream_piece *piece)
{
	struct buffered_piece *buffered;

	buffered = &assembler->window[piece->sequence % ASSEMBLER_WINDOW_MAX];
	if (buffered->is_used)
		return ERROR_NONE;
	if (piece->size >
	    assembler->buffered_bytes_max - assembler->buffered_bytes)
		return ERROR_TOO_LARGE;
	if (piece->size > 0) {
		buffered->bytes = malloc(piece->size);
		if (buffered->bytes == NULL)
			return ERROR_NO_MEMORY;
		memcpy(buffered->bytes, piece->bytes, piece->size);
	}
	buffered->is_used = true;
	buffered->size = piece->size;
	assembler->buffered_bytes += piece->size;
	return ERROR_NONE;
}

static enum error_code
deliver_piece(
    struct stream_assembler *assembler, const void *bytes, size_t size)
{
	enum error_code error;

	error = assembler->ops.deliver(
	    assembler->ops.context, assembler->position, bytes, size);
	/* Even on an error a part of the piece may have been sent to the
	 * caller, so the piece must not be delivered again. */
	assembler->position++;
	if (error != ERROR_NONE)
		assembler->has_failed = true;
	return error;
}

/* Delivers the buffered pieces up to the first gap. */
static enum error_code
deliver_buffered(struct stream_assembler *assembler)
{
	struct buffered_piece *buffered;
	enum error_code error;

	buffered =
	    &assembler->window[assembler->position % ASSEMBLER_WINDOW_MAX];
	while (buffered->is_used) {
		error =
		    deliver_piece(assembler, buffered->bytes, buffered->size);
		clear_buffered(assembler, buffered);
		if (error != ERROR_NONE)
			return error;
		buffered =
		    &assembler
			 ->window[assembler->position % ASSEMBLER_WINDOW_MAX];
	}
	return ERROR_NONE;
}

static void
clear_buffered(
    struct stream_assembler *assembler, struct buffered_piece *buffered)
{
	assembler->buffered_bytes -= buffered->size;
	free(buffered->bytes);
	memset(buffered, 0, sizeof(*buffered));
}

static void
clear_window(struct stream_assembler *assembler)
{
	uint32_t i;

	for (i = 0; i < ASSEMBLER_WINDOW_MAX; i++) {
		if (assembler->window[i].is_used)
			clear_buffered(assembler, &assembler->window[i]);
	}
}
