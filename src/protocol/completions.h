/**
 * @file completions.h
 * The callers' HTTP interface for completions: parses request bodies and
 * headers, and writes answers and errors.
 *
 * A parsed prompt refers to the strings of the parsed JSON body instead of
 * copying them, so that a body of many megabytes is in memory only once. To
 * keep it so, free the raw body right after parsing.
 */
#ifndef COMPLETIONS_H
#define COMPLETIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/error_code.h"
#include "base/shared_text.h"
#include "config.h"
#include "protocol/field_error.h"
#include "protocol/traceparent.h"
#include "state/request.h"

/** Bytes of an Idempotency-Key with its terminating NUL. */
#define IDEMPOTENCY_KEY_SIZE_MAX 128
/** Bytes of a client account's token with its terminating NUL. */
#define ACCOUNT_TOKEN_SIZE_MAX 256
/** Limit of answer tokens for a request that sets none. */
#define ANSWER_TOKENS_DEFAULT 16
/** Largest limit of answer tokens that a request may set. */
#define ANSWER_TOKENS_MAX 1048576
#define CHAT_MESSAGES_MAX 4096 /**< Most messages in a chat request. */
/** Longest deadline that a request may set: one day. */
#define DEADLINE_MS_MAX 86400000

/** Which of the two interfaces for completions a request uses. */
enum completions_kind {
	COMPLETIONS_KIND_TEXT = 1, /**< /v1/completions */
	COMPLETIONS_KIND_CHAT = 2, /**< /v1/chat/completions */
};

/** A parsed request body. */
struct completions_request {
	enum completions_kind kind; /**< Interface that was called. */
	char model[NAME_SIZE_MAX];  /**< Name of the requested model. */
	bool stream; /**< Send the answer as server-sent events. */
	uint32_t answer_tokens_max; /**< Limit of tokens to generate. */
	/** Prompt text; the request owns one reference. */
	struct shared_text *prompt;
};

/** Values of the headers of a caller's request. */
struct caller_headers {
	/** Token of the client account from Authorization; "" if absent. */
	char token[ACCOUNT_TOKEN_SIZE_MAX];
	uint32_t deadline_ms; /**< Time to answer, counted from arrival. */
	enum request_priority priority; /**< Requested priority. */
	/** Value of Idempotency-Key; "" if absent. */
	char idempotency_key[IDEMPOTENCY_KEY_SIZE_MAX];
	/** X-Idempotent was "true"; used for plain calls only. */
	bool is_idempotent;
	bool has_trace; /**< The caller sent a valid traceparent. */
	/** Trace of the caller, or a new one if the caller sent no valid
	 * traceparent. */
	struct trace_context trace;
};

/** Access to the headers of an HTTP request. */
struct header_source {
	/** Returns the value of the header @p name, matched without regard to
	 * case, or NULL if it is absent. */
	const char *(*get)(const void *context, const char *name);
	const void *context; /**< First argument of get(). */
};

/** An error reported to a caller. */
struct caller_error {
	enum error_code code; /**< Error code, sent as the error's type. */
	enum request_outcome outcome; /**< Whether the request ran. */
	/** Time after which to try again; 0 if a retry makes no sense. */
	int64_t retry_after_ms;
	/** Text for people; NULL selects error_text() of the code. */
	const char *message;
};

/** Properties of an answer that are sent along with its text. */
struct completions_answer {
	enum completions_kind kind; /**< Interface that was called. */
	uint64_t request_id; /**< Request id, from which the id is made. */
	int64_t created_s;   /**< Time of creation, in seconds since 1970. */
	const char *model;   /**< Name of the model that answered. */
	/** Tokens of the prompt, counted by the engine or estimated. */
	uint64_t prompt_tokens;
	uint64_t answer_tokens; /**< Tokens of the answer. */
	/** Generation stopped at the limit of answer tokens. */
	bool stopped_by_length;
};

/* Parsing */

/** Parses a request body; on failure the result is the error's code, and the
 * error names the field. */
enum error_code completions_parse(enum completions_kind kind, const char *body,
    size_t size, struct completions_request *request,
    struct field_error *error);
/** Releases the request's reference to the prompt. */
void completions_request_finish(struct completions_request *request);
/** Parses the headers of a caller's request; @p deadline_default_ms applies if
 * no deadline was sent. On failure the error names the header. */
enum error_code caller_headers_parse(struct header_source source,
    uint32_t deadline_default_ms, struct caller_headers *headers,
    struct field_error *error);
/** Fills in the facts of a completions request, except for its id and the name
 * and index of its client account. The account's name must already be set,
 * since it goes into the fingerprint. A request that carries an
 * Idempotency-Key is not marked as idempotent. @p now_ms is the monotonic time
 * of its arrival. */
void completions_fill_facts(const struct completions_request *request,
    const struct caller_headers *headers, uint64_t fingerprint_key,
    int64_t now_ms, struct request_facts *facts);
/** Fills in the facts of a plain call to @p service, as
 * completions_fill_facts() does for completions. The call is marked as
 * idempotent only if its caller sent "X-Idempotent: true" and no
 * Idempotency-Key. */
void service_call_fill_facts(const char *service, struct shared_text *body,
    const struct caller_headers *headers, uint64_t fingerprint_key,
    int64_t now_ms, struct request_facts *facts);

/* Writing; functions with an @p out parameter append to it */

/** Writes a whole answer as one JSON body. */
void completions_write_answer(GString *out,
    const struct completions_answer *answer, const char *text, size_t size);
/** Writes one piece of a streamed answer as a server-sent event. @p is_first
 * adds the role, which only the first piece of a chat answer has. */
void completions_write_piece(GString *out,
    const struct completions_answer *answer, const char *text, size_t size,
    bool is_first);
/** Writes the last events of a complete streamed answer: one with the finish
 * reason and the usage, then [DONE]. */
void completions_write_end(
    GString *out, const struct completions_answer *answer);
/** Writes an error as a JSON body. */
void caller_error_write(GString *out, const struct caller_error *error);
/** Writes an error into a streamed answer, as the event "error"; it must be
 * the last event. */
void caller_error_write_event(GString *out, const struct caller_error *error);
/** Returns the HTTP status of a response that reports the error. */
uint32_t caller_error_status(const struct caller_error *error);
/** Returns the value of Retry-After, in seconds rounded up; 0 if the header is
 * not sent. */
uint32_t caller_error_retry_after_s(const struct caller_error *error);

#endif
