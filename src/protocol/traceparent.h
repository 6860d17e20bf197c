/**
 * @file traceparent.h
 * Parses and writes the HTTP header "traceparent" of W3C Trace Context, and
 * makes the ids of traces and spans.
 */
#ifndef TRACEPARENT_H
#define TRACEPARENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"

#define TRACE_ID_SIZE 16 /**< Bytes of a trace id. */
#define SPAN_ID_SIZE  8	 /**< Bytes of a span id. */
/** Bytes of the header's value with its terminating NUL. */
#define TRACEPARENT_SIZE 56

/** Position of a request in a distributed trace. */
struct trace_context {
	/** Id of the trace; a valid one is not all zeros. */
	uint8_t trace_id[TRACE_ID_SIZE];
	/** Id of a span in the trace: in a header, the sender's span. */
	uint8_t span_id[SPAN_ID_SIZE];
	bool sampled; /**< The sender may have recorded the trace. */
};

/** Parses the header's value; on failure @p context is undefined. Errors:
 * ERROR_MALFORMED, ERROR_UNSUPPORTED_VERSION. */
enum error_code traceparent_parse(
    const char *header, struct trace_context *context);
/** Writes the header's value, in version 00 and with a terminating NUL. */
void traceparent_format(
    const struct trace_context *context, char header[TRACEPARENT_SIZE]);
/** Starts a new sampled trace with a random trace id and span id. */
void trace_context_start(struct trace_context *context);
/** Makes @p child a new span with a random id in the trace of @p parent. */
void trace_context_child(
    const struct trace_context *parent, struct trace_context *child);

#endif
