/**
 * @file json_call.h
 * A blocking call with a JSON body and a JSON reply over HTTP/1.1, on a connection
 * of its own.
 *
 * A reply counts only if its head is one of HTTP (transport/reply_head.h) and its
 * body came whole as far as the head says. Whether it is JSON is for the caller to
 * judge.
 */
#ifndef JSON_CALL_H
#define JSON_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error_code.h"

/** A call to make. */
struct json_call {
	const char *url;
	const char *method; /**< NULL for POST with a body, GET without one. */
	const char *token;  /**< Bearer token, NULL for none. */
	const json_t *body; /**< NULL for none. */
	int64_t connect_timeout_ms; /**< Longest time to connect. */
	int64_t timeout_ms;	    /**< Longest time for all of it. */
	size_t reply_size_max;	    /**< Largest body of a reply. */
	bool uses_proxy; /**< Follows the proxy settings of the environment. */
};

/** A whole reply; all zero if none came. */
struct json_reply {
	uint32_t status; /**< HTTP status. */
	json_t *root;	 /**< The body as JSON, NULL if it is none. */
};

/** Makes a call. The caller releases the JSON in @p reply whatever is returned.
 * Errors: ERROR_CONNECTION if nothing was sent, ERROR_OUTCOME_UNKNOWN if no whole
 * reply came afterwards, ERROR_NO_MEMORY. */
enum error_code json_call_perform(
    const struct json_call *call, struct json_reply *reply);

#endif
