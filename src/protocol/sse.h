/**
 * @file sse.h
 * Server-sent events: a writer, and a bounded reader fed in any portions.
 */
#ifndef SSE_H
#define SSE_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "base/error_code.h"

#define SSE_NAME_SIZE 32 /**< Bytes of an event's name with its end mark. */

/** What a reader has read. */
struct sse_event {
	const char *name; /**< "message" if the event had none. */
	const char *data; /**< Lines joined by '\n', with an end mark. */
	size_t data_size; /**< Bytes without the end mark. */
};

/** Who gets events; anything but ERROR_NONE ends the reading. */
struct sse_sink {
	enum error_code (*event)(void *context, const struct sse_event *event);
	void *context; /**< Passed back to event(). */
};

/** The reader. */
struct sse_reader {
	struct sse_sink sink;	  /**< Who gets events. */
	size_t event_size_max;	  /**< Bound of one event's bytes. */
	GString *line;		  /**< Line being read. */
	GString *data;		  /**< Data of the event being read. */
	char name[SSE_NAME_SIZE]; /**< Name of the event being read. */
	bool has_data;		  /**< A data line was there. */
	bool after_cr;		  /**< A line feed next ends no line. */
	bool after_start;      /**< The byte order mark can't come any more. */
	enum error_code error; /**< First error; sticks. */
};

/* Writing */

/** Appends an event; @p name NULL for none. */
void sse_write_event(
    GString *out, const char *name, const char *data, size_t data_size);
/** Appends a comment, which readers skip. */
void sse_write_comment(GString *out, const char *text);

/* Reading */

/** Prepares a reader. */
void sse_reader_init(
    struct sse_reader *reader, size_t event_size_max, struct sse_sink sink);
/** Gives back memory. */
void sse_reader_finish(struct sse_reader *reader);
/** Reads the next bytes. Errors: ERROR_TOO_LARGE, or the sink's. */
enum error_code sse_reader_feed(
    struct sse_reader *reader, const char *bytes, size_t size);

#endif
