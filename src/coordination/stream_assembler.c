/**
 * @file stream_assembler.c
 * Ordering of pieces in a bounded window.
 */
#include "coordination/stream_assembler.h"

#include <stdlib.h>
#include <string.h>

static enum error_code begin_attempt(
    struct stream_assembler *assembler, uint32_t attempt);
static enum error_code keep_piece(
    struct stream_assembler *assembler, const struct stream_piece *piece);
static enum error_code deliver_piece(
    struct stream_assembler *assembler, const void *bytes, size_t size);
static enum error_code deliver_waiting(struct stream_assembler *assembler);
static void drop_waiting(
    struct stream_assembler *assembler, struct stream_waiting *waiting);
static void drop_window(struct stream_assembler *assembler);

void
stream_assembler_init(struct stream_assembler *assembler,
    const struct stream_assembler_ops *ops, size_t waiting_bytes_max)
{
	memset(assembler, 0, sizeof(*assembler));
	assembler->ops = *ops;
	assembler->waiting_bytes_max = waiting_bytes_max;
}

void
stream_assembler_finish(struct stream_assembler *assembler)
{
	drop_window(assembler);
	memset(assembler, 0, sizeof(*assembler));
}

enum error_code
stream_assembler_start(struct stream_assembler *assembler, uint32_t attempt)
{
	/* Another run may say other words than those delivered. */
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
		return keep_piece(assembler, piece);
	error = deliver_piece(assembler, piece->bytes, piece->size);
	if (error != ERROR_NONE)
		return error;
	return deliver_waiting(assembler);
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
	/* What waits, and the end, belong to the attempt that died. */
	drop_window(assembler);
	assembler->attempt = attempt;
	assembler->has_end = false;
	assembler->end_count = 0;
	return ERROR_NONE;
}

static enum error_code
keep_piece(struct stream_assembler *assembler, const struct stream_piece *piece)
{
	struct stream_waiting *waiting;

	waiting = &assembler->window[piece->sequence % ASSEMBLER_WINDOW_MAX];
	if (waiting->is_used)
		return ERROR_NONE;
	if (piece->size >
	    assembler->waiting_bytes_max - assembler->waiting_bytes)
		return ERROR_TOO_LARGE;
	if (piece->size > 0) {
		waiting->bytes = malloc(piece->size);
		if (waiting->bytes == NULL)
			return ERROR_NO_MEMORY;
		memcpy(waiting->bytes, piece->bytes, piece->size);
	}
	waiting->is_used = true;
	waiting->size = piece->size;
	assembler->waiting_bytes += piece->size;
	return ERROR_NONE;
}

static enum error_code
deliver_piece(
    struct stream_assembler *assembler, const void *bytes, size_t size)
{
	enum error_code error;

	error = assembler->ops.deliver(
	    assembler->ops.context, assembler->position, bytes, size);
	/* Part of it may have left, so it is not delivered again. */
	assembler->position++;
	if (error != ERROR_NONE)
		assembler->has_failed = true;
	return error;
}

static enum error_code
deliver_waiting(struct stream_assembler *assembler)
{
	struct stream_waiting *waiting;
	enum error_code error;

	waiting =
	    &assembler->window[assembler->position % ASSEMBLER_WINDOW_MAX];
	while (waiting->is_used) {
		error = deliver_piece(assembler, waiting->bytes, waiting->size);
		drop_waiting(assembler, waiting);
		if (error != ERROR_NONE)
			return error;
		waiting =
		    &assembler
			 ->window[assembler->position % ASSEMBLER_WINDOW_MAX];
	}
	return ERROR_NONE;
}

static void
drop_waiting(struct stream_assembler *assembler, struct stream_waiting *waiting)
{
	assembler->waiting_bytes -= waiting->size;
	free(waiting->bytes);
	memset(waiting, 0, sizeof(*waiting));
}

static void
drop_window(struct stream_assembler *assembler)
{
	uint32_t i;

	for (i = 0; i < ASSEMBLER_WINDOW_MAX; i++) {
		if (assembler->window[i].is_used)
			drop_waiting(assembler, &assembler->window[i]);
	}
}
