/**
 * @file forward_message.h
 * What two entry hosts tell each other about a request that one forwards to the
 * other, because it reaches no upstream itself.
 *
 * A forwarded request is the caller's HTTP request with one more header field,
 * and its answer has one more, too. Both values are JSON objects. Neither field
 * is passed on to upstreams or callers.
 */
#ifndef FORWARD_MESSAGE_H
#define FORWARD_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"

/** Header field of a forwarded request. */
#define FORWARD_REQUEST_FIELD "Chicorytack-Forward"
/** Header field of the answer to a forwarded request. */
#define FORWARD_RESULT_FIELD "Chicorytack-Forward-Result"
/** Most upstreams that a forwarded request names as tried. */
#define FORWARD_TRIED_MAX 8

/** What the forwarding host says of a request. */
struct forward_request {
	/** Token of the receiving host, from its work report. */
	uint64_t token;
	int64_t age_ms; /**< Time since the caller's request arrived. */
	/** Version of the route table that the forwarding host has. */
	uint64_t routes_version;
	/** The request may be tried elsewhere if this attempt fails. */
	bool may_go_on;
	/** The caller has part of the answer already. */
	bool has_partial_answer;
	uint64_t tried[FORWARD_TRIED_MAX]; /**< Upstreams to avoid, by id. */
	uint32_t tried_count;		   /**< Ids in tried. */
};

/** What the receiving host says of its answer. */
struct forward_result {
	/** Why it refused the request, ERROR_NONE otherwise. */
	enum error_code reason;
	uint32_t sent;	      /**< Upstreams that it has sent the request to. */
	uint64_t upstream_id; /**< Last one of these, or 0. */
};

/** Returns the header value of a request; free it with g_free(). */
char *forward_request_format(const struct forward_request *request);
/** Parses the header value of a request. Errors: ERROR_MALFORMED. */
enum error_code forward_request_parse(
    const char *text, struct forward_request *request);
/** Returns the header value of a result; free it with g_free(). */
char *forward_result_format(const struct forward_result *result);
/** Parses the header value of a result. Errors: ERROR_MALFORMED. */
enum error_code forward_result_parse(
    const char *text, struct forward_result *result);

#endif
