/**
 * @file upstream_reply.h
 * Parser for the JSON replies of upstreams: pieces, end events and errors.
 */
#ifndef UPSTREAM_REPLY_H
#define UPSTREAM_REPLY_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "base/error_code.h"
#include "protocol/sse.h"
#include "state/request.h"
#include "transport/piece_queue.h"
#include "transport/upstream_adapter.h"

/** Parses an event ("message", "end" or "error") of an answer into a piece,
 * whose text is freed with piece_finish(). Errors: ERROR_MALFORMED,
 * ERROR_MISSING_FIELD, ERROR_WRONG_TYPE, ERROR_BAD_VALUE, ERROR_NO_MEMORY. */
enum error_code upstream_reply_parse_event(
    const struct sse_event *event, struct piece *piece);
/** Sets kind, error, outcome and retry_after_ms of @p piece from the JSON body
 * of an error reply. Changes nothing if the body is not such an error. Returns
 * false, with the piece unchanged, if the body names another request or attempt
 * than the piece. */
bool upstream_reply_parse_error(
    const char *body, size_t size, struct piece *piece);
/** The same of a body that was parsed already, NULL if it is no JSON. */
bool upstream_reply_read_error(const json_t *root, struct piece *piece);

/** Returns the name of an order's verb as sent to engines, NULL if unknown. */
const char *upstream_order_verb_name(enum upstream_order_verb verb);

#endif
