/**
 * @file request_history.h
 * The requests that one HTTP connection has carried, by their ids, and the rule
 * by which an answer on it is attributed to one of them.
 *
 * A faulty peer may write an answer twice, so the next answer on a connection is
 * not always that to the last request. The id that an answer echoes decides. An
 * answer without an id belongs to the last request only if there was no other
 * one. An id must be sent over a connection once only, or a late answer to the
 * first request could be taken for that to the second.
 */
#ifndef REQUEST_HISTORY_H
#define REQUEST_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Most requests that a connection may carry. */
#define REQUEST_HISTORY_MAX 128u

/** The request to which an answer belongs. */
enum answer_owner {
	ANSWER_OF_UNKNOWN = 0, /**< It bears no id, and several are possible. */
	ANSWER_OF_REQUEST = 1, /**< The last request. */
	ANSWER_OF_EARLIER = 2, /**< A request that the connection carried
				    before. */
	ANSWER_OF_FOREIGN = 3, /**< None that this connection has carried. */
};

/** The requests of a connection. All zero is a new connection. */
struct request_history {
	char *id;	/**< Id of the last request, NULL for none. */
	GArray *hashes; /**< Hashes of the ids of the earlier ones, or NULL. */
	uint32_t count; /**< Requests so far. */
};

/** Frees the ids. */
void request_history_finish(struct request_history *history);
/** Records that a request is sent; @p id is NULL if it bears none. */
void request_history_add(struct request_history *history, const char *id);
/** True if a request with this id may be sent: no earlier one bore it, and the
 * connection has not carried REQUEST_HISTORY_MAX requests. A request without an
 * id may be the first one only. */
bool request_history_accepts(
    const struct request_history *history, const char *id);
/** Attributes an answer that echoes @p id, NULL for none. */
enum answer_owner request_history_attribute(
    const struct request_history *history, const char *id);

#endif
