/**
 * @file span_log.h
 * Spans of hops, written as JSON lines by a thread of their own.
 *
 * Ending a span queues it; a full queue drops it and counts the loss, so the
 * path of a request never waits for a disk.
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

#define SPAN_ATTRIBUTES_MAX 8  /**< Attributes of a span. */
#define SPAN_TEXT_SIZE	    64 /**< Bytes of a name or value. */

/** A key and value on a span. */
struct span_attribute {
	char key[SPAN_TEXT_SIZE];
	char value[SPAN_TEXT_SIZE];
};

/** One hop. */
struct span {
	struct trace_context context;	 /**< Trace, and this span's id. */
	uint8_t parent_id[SPAN_ID_SIZE]; /**< All zero for a root. */
	char name[SPAN_TEXT_SIZE];	 /**< Such as "route". */
	int64_t start_us;		 /**< Wall clock. */
	int64_t start_monotonic_us;	 /**< For the duration. */
	int64_t duration_us;		 /**< Set by span_end(). */
	char outcome[SPAN_TEXT_SIZE];	 /**< Such as "done". */
	uint32_t attribute_count;	 /**< In use below. */
	struct span_attribute attributes[SPAN_ATTRIBUTES_MAX];
};

/** The log. */
struct span_log {
	FILE *file;		  /**< NULL: nothing is written. */
	uint32_t host_id;	  /**< On each line. */
	struct span *ring;	  /**< Spans that wait. */
	uint32_t capacity;	  /**< Room in the ring. */
	uint32_t first;		  /**< Oldest. */
	uint32_t count;		  /**< Waiting. */
	pthread_mutex_t lock;	  /**< Guards the ring. */
	pthread_cond_t changed;	  /**< Something waits, or stopping. */
	pthread_t writer;	  /**< The thread. */
	bool stopping;		  /**< It ends when the ring is empty. */
	_Atomic uint64_t dropped; /**< Spans lost to a full ring. */
	_Atomic uint64_t written; /**< Lines written. */
};

/* Running */

/** Opens @p path for appending ("" writes nothing). Errors: ERROR_IO. */
enum error_code span_log_init(struct span_log *log, const char *path,
    uint32_t host_id, uint32_t capacity);
/** Writes what waits and closes. */
void span_log_finish(struct span_log *log);

/* Spans */

/** Starts a span; @p parent NULL starts a trace. */
void span_start(
    struct span *span, const char *name, const struct trace_context *parent);
/** Adds an attribute; more than there is room for are left out. */
void span_set(struct span *span, const char *key, const char *value);
/** Adds a number as an attribute. */
void span_set_number(struct span *span, const char *key, int64_t value);
/** Ends a span and queues it. */
void span_end(struct span_log *log, struct span *span, const char *outcome);

#endif
