/**
 * @file sse.h
 * Server-sent events (text/event-stream): functions that write events, and an
 * incremental reader that limits the size of an event.
 */
#ifndef SSE_H
#define SSE_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "base/error_code.h"

/** Bytes of an event's name with its terminating NUL; longer names are cut. */
#define SSE_NAME_SIZE 32

/** An event that was read; valid only during the sink's on_event(). */
struct sse_event {
	const char *name; /**< Event name; "message" if none was sent. */
	/** Data lines joined by '\n', with a terminating NUL. */
	const char *data;
	size_t data_size; /**< Bytes of the data without the NUL. */
};

/** Receiver of the events that a reader has read. */
struct sse_sink {
	/** Handles an event. An error other than ERROR_NONE ends the reading
	 * and is returned by sse_reader_feed(). */
	enum error_code (*on_event)(
	    void *context, const struct sse_event *event);
	void *context; /**< First argument of on_event(). */
};

/** State of a reader for one stream. */
struct sse_reader {
	struct sse_sink sink; /**< Receiver of the events. */
	/** Largest line, and largest data of an event, in bytes. */
	size_t event_size_max;
	GString *line; /**< Line being read. */
	GString *data; /**< Data lines so far of the event being read. */
	char name[SSE_NAME_SIZE]; /**< Name of the event being read. */
	bool has_data;		  /**< The event being read has a data line. */
	/** The last line ended in CR: an LF that follows belongs to the same
	 * line end. */
	bool after_cr;
	/** The first line was read: only that one may begin with a byte order
	 * mark, which is skipped. */
	bool after_start;
	/** First error, which later calls return again. */
	enum error_code error;
};

/* Writing */

/** Appends an event to @p out, with one data line for each line of @p data;
 * without a name if @p name is NULL. */
void sse_write_event(
    GString *out, const char *name, const char *data, size_t data_size);
/** Appends a comment line to @p out, which readers of events ignore. */
void sse_write_comment(GString *out, const char *text);

/* Reading */

/** Initialises a reader. A line or an event's data of more than
 * @p event_size_max bytes ends the reading with ERROR_TOO_LARGE. */
void sse_reader_init(
    struct sse_reader *reader, size_t event_size_max, struct sse_sink sink);
/** Frees the reader's buffers. */
void sse_reader_finish(struct sse_reader *reader);
/** Reads the next bytes of the stream, split in any way, and passes each
 * complete event to the sink. Errors: ERROR_TOO_LARGE, or the error that the
 * sink returned. */
enum error_code sse_reader_feed(
    struct sse_reader *reader, const char *bytes, size_t size);

#endif
