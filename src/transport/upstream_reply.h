/**
 * @file upstream_reply.h
 * What upstreams answer, as JSON: pieces, end marks, errors.
 */
#ifndef UPSTREAM_REPLY_H
#define UPSTREAM_REPLY_H

#include <stddef.h>

#include "base/error_code.h"
#include "protocol/sse.h"
#include "state/request.h"
#include "transport/piece_queue.h"
#include "transport/upstream_adapter.h"

/** Reads a piece, an end mark or an error event. Errors: ERROR_MALFORMED,
 * ERROR_MISSING_FIELD, ERROR_WRONG_TYPE, ERROR_BAD_VALUE. */
enum error_code upstream_reply_parse_event(
    const struct sse_event *event, struct piece *piece);
/** Fills error, outcome and retry of @p piece from an error's body; leaves it
 * as it was when the body is no such error. */
void upstream_reply_parse_error(
    const char *body, size_t size, struct piece *piece);

/** Name of an order's verb as the interface writes it; NULL if unknown. */
const char *upstream_order_verb_name(enum upstream_order_verb verb);

#endif
