/**
 * @file completions.h
 * Callers' completions: reading requests, writing answers and errors.
 *
 * The prompt is kept as references into the parsed body, so a body of many
 * megabytes is held once after parsing; free the raw bytes right after.
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

#define IDEMPOTENCY_KEY_SIZE_MAX 128	  /**< Bytes with the end mark. */
#define ACCOUNT_TOKEN_SIZE_MAX	 256	  /**< Bytes with the end mark. */
#define ANSWER_TOKENS_DEFAULT	 16	  /**< If the caller says none. */
#define ANSWER_TOKENS_MAX	 1048576  /**< Most that may be asked. */
#define CHAT_MESSAGES_MAX	 4096	  /**< Messages of a chat. */
#define DEADLINE_MS_MAX		 86400000 /**< A day. */

/** Which of the two interfaces. */
enum completions_kind {
	COMPLETIONS_KIND_TEXT = 1, /**< /v1/completions */
	COMPLETIONS_KIND_CHAT = 2, /**< /v1/chat/completions */
};

/** A parsed body. */
struct completions_request {
	enum completions_kind kind; /**< Interface it came by. */
	char model[NAME_SIZE_MAX];  /**< Model wanted. */
	bool stream;		    /**< Answer as server-sent events. */
	uint32_t answer_tokens_max; /**< Most tokens to generate. */
	struct shared_text *prompt; /**< One reference of this. */
};

/** What the headers say. */
struct caller_headers {
	char token[ACCOUNT_TOKEN_SIZE_MAX];		/**< "" for none. */
	uint32_t deadline_ms;				/**< From arrival on. */
	enum request_priority priority;			/**< Wanted. */
	char idempotency_key[IDEMPOTENCY_KEY_SIZE_MAX]; /**< "" for none. */
	bool is_idempotent; /**< Plain calls: X-Idempotent was "true". */
	bool has_trace;	    /**< trace was sent. */
	struct trace_context trace; /**< Sent, or a new one. */
};

/** How an HTTP layer gives headers: value or NULL, any case of letters. */
struct header_source {
	const char *(*get)(const void *context, const char *name);
	const void *context; /**< Passed back to get(). */
};

/** An error towards a caller. */
struct caller_error {
	enum error_code code;	      /**< Type. */
	enum request_outcome outcome; /**< Whether it ran. */
	int64_t retry_after_ms;	      /**< 0: coming back makes no sense. */
	const char *message;	      /**< NULL: error_text(). */
};

/** What a finished answer says of itself. */
struct completions_answer {
	enum completions_kind kind; /**< Interface. */
	uint64_t request_id;	    /**< Becomes the answer's id. */
	int64_t created_s;	    /**< Seconds since 1970. */
	const char *model;	    /**< Model that answered. */
	uint64_t prompt_tokens;	    /**< Estimated or counted. */
	uint64_t answer_tokens;	    /**< Generated. */
	bool stopped_by_length;	    /**< The token bound was hit. */
};

/* Reading */

/** Parses a body. Errors name the field. */
enum error_code completions_parse(enum completions_kind kind, const char *body,
    size_t size, struct completions_request *request,
    struct field_error *error);
/** Gives back the prompt. */
void completions_request_finish(struct completions_request *request);
/** Reads callers' headers; @p deadline_default_ms if none is sent. */
enum error_code caller_headers_parse(struct header_source source,
    uint32_t deadline_default_ms, struct caller_headers *headers,
    struct field_error *error);
/** Fills model, tokens, prefixes, fingerprint and times of @p facts; the
 * account (name, index) and the id stay as the caller of this set them. */
void completions_facts(const struct completions_request *request,
    const struct caller_headers *headers, uint64_t fingerprint_key,
    int64_t now_ms, struct request_facts *facts);
/** The same for a plain call to @p service; it may be repeated only if its
 * caller said so. Completions may be unless they carry a key. */
void service_facts(const char *service, struct shared_text *body,
    const struct caller_headers *headers, uint64_t fingerprint_key,
    int64_t now_ms, struct request_facts *facts);

/* Writing; all append */

/** A whole answer as one JSON body. */
void completions_write_answer(GString *out,
    const struct completions_answer *answer, const char *text, size_t size);
/** One piece as a server-sent event. */
void completions_write_piece(GString *out,
    const struct completions_answer *answer, const char *text, size_t size,
    bool is_first);
/** The last events of a whole answer: finish reason, usage, [DONE]. */
void completions_write_end(
    GString *out, const struct completions_answer *answer);
/** An error as a JSON body. */
void caller_error_write(GString *out, const struct caller_error *error);
/** An error within a stream: event "error"; nothing follows it. */
void caller_error_write_event(GString *out, const struct caller_error *error);
/** HTTP status that goes with an error. */
uint32_t caller_error_status(enum error_code code);
/** Retry-After in whole seconds, at least 1; 0 for none. */
uint32_t caller_error_retry_after_s(const struct caller_error *error);

#endif
