/**
 * @file span_log.h
 * Log of trace spans, written as JSON lines by a thread of its own.
 *
 * Ending a span queues it for that thread. If the queue is full, the span is
 * dropped and counted, so that requests never wait for the disk.
 */
#ifndef SPAN_LOG_H
#define SPAN_LOG_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

#include "base/error_code.h"
#include "config.h"
#include "protocol/traceparent.h"

#define SPAN_ATTRIBUTES_MAX 8  /**< Most attributes of a span. */
#define SPAN_TEXT_SIZE	    64 /**< Bytes of a name or value with NUL. */

/** An attribute of a span. */
struct span_attribute {
	char key[SPAN_TEXT_SIZE];
	char value[SPAN_TEXT_SIZE];
};

/** A timed step of a request, as in distributed tracing. */
struct span {
	struct trace_context context;	 /**< Trace id and id of this span. */
	uint8_t parent_id[SPAN_ID_SIZE]; /**< Parent span, zeros if none. */
	char name[SPAN_TEXT_SIZE];	 /**< Name of the step, e.g. "route". */
	int64_t start_us;		 /**< Start on the wall clock. */
	int64_t start_monotonic_us;	 /**< Start on the monotonic clock. */
	int64_t duration_us;		 /**< Duration, set by span_end(). */
	char outcome[SPAN_TEXT_SIZE];	 /**< How it ended, e.g. "done". */
	uint32_t attribute_count;	 /**< Number of attributes. */
	/** Attributes in the order in which they were added. */
	struct span_attribute attributes[SPAN_ATTRIBUTES_MAX];
};

/** A span log with its queue and writer thread. */
struct span_log {
	FILE *file;		/**< Output; NULL if logging is off. */
	uint32_t host_id;	/**< Host id written on each line. */
	struct span *ring;	/**< Ring buffer of queued spans. */
	uint32_t capacity;	/**< Size of the ring buffer in spans. */
	uint32_t first;		/**< Index of the oldest queued span. */
	uint32_t count;		/**< Number of queued spans. */
	pthread_mutex_t lock;	/**< Protects the ring and stopping. */
	pthread_cond_t changed; /**< Signalled on a new span or stop. */
	pthread_t writer;	/**< Thread that writes the lines. */
	bool stopping;		/**< The writer ends once the ring is empty. */
	_Atomic uint64_t dropped; /**< Spans that were not written. */
	_Atomic uint64_t written; /**< Lines written. */
};

/* Running */

/** Opens @p path for appending and starts the writer thread. An empty path
 * turns logging off. @p capacity is the queue size in spans. Errors: ERROR_IO,
 * ERROR_NO_MEMORY, ERROR_INVALID_ARGUMENT if @p capacity is 0. */
enum error_code span_log_init(struct span_log *log, const char *path,
    uint32_t host_id, uint32_t capacity);
/** Writes the queued spans, stops the thread and closes the file. */
void span_log_finish(struct span_log *log);

/* Spans */

/** Starts a span as a child of @p parent; NULL starts a new trace. */
void span_start(
    struct span *span, const char *name, const struct trace_context *parent);
/** Adds an attribute; ignored if the span has SPAN_ATTRIBUTES_MAX already. */
void span_set_attribute(struct span *span, const char *key, const char *value);
/** Adds an attribute with a number as its value. */
void span_set_attribute_number(
    struct span *span, const char *key, int64_t value);
/** Ends a span with @p outcome and queues it for writing. */
void span_end(struct span_log *log, struct span *span, const char *outcome);

#endif
