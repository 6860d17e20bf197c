/**
 * @file traceparent.h
 * The W3C trace context header "traceparent".
 */
#ifndef TRACEPARENT_H
#define TRACEPARENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"

#define TRACE_ID_SIZE	 16 /**< Bytes of a trace id. */
#define SPAN_ID_SIZE	 8  /**< Bytes of a span id. */
#define TRACEPARENT_SIZE 56 /**< Bytes of the header with its end mark. */

/** Which trace a hop belongs to, and under which span. */
struct trace_context {
	uint8_t trace_id[TRACE_ID_SIZE]; /**< Never all zero when valid. */
	uint8_t span_id[SPAN_ID_SIZE];	 /**< The caller's span. */
	bool sampled;			 /**< The caller records it. */
};

/** Reads a header. Errors: ERROR_MALFORMED, ERROR_UNSUPPORTED_VERSION. */
enum error_code traceparent_parse(
    const char *header, struct trace_context *context);
/** Writes a header with its end mark. */
void traceparent_format(
    const struct trace_context *context, char header[TRACEPARENT_SIZE]);
/** Starts a new trace with random ids. */
void trace_context_start(struct trace_context *context);
/** Makes @p child a new span of the same trace. */
void trace_context_child(
    const struct trace_context *parent, struct trace_context *child);

#endif
