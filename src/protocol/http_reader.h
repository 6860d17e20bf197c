/**
 * @file http_reader.h
 * Reads HTTP/1.1 messages from bytes as they come, on http-parser.
 *
 * A reader stops at the end of each message, so that what follows is left
 * for its next one. It keeps names, values and the target as they were sent.
 */
#ifndef HTTP_READER_H
#define HTTP_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <http_parser.h>

#include "base/error_code.h"

/** A header line; offsets into the head's text. */
struct http_field {
	uint32_t name;	/**< Offset of its name. */
	uint32_t value; /**< Offset of its value. */
};

/** What stands before a body. Zero is an empty head. */
struct http_head {
	const char *method;    /**< Of a request; static text. */
	uint32_t status;       /**< Of an answer. */
	bool keeps_connection; /**< The sender keeps the connection open. */
	bool has_length;       /**< Content-Length was sent. */
	bool is_chunked;       /**< The body comes in chunks. */
	bool expects_continue; /**< Waits for a 100 before the body. */
	GString *target;       /**< Path and query of a request. */
	GString *text;	       /**< Names and values, each with an end mark. */
	GArray *fields;	       /**< struct http_field, in order. */
};

/** Calls of the reader. */
struct http_reader_ops {
	/** The head is complete; true if no body can follow it. */
	bool (*head)(void *context, struct http_head *head);
	/** Bytes of the body. */
	void (*body)(void *context, const char *data, size_t size);
	/** The message is complete. */
	void (*end)(void *context);
	void *context; /**< Passed back. */
};

/** The reader. */
struct http_reader {
	http_parser parser;	    /**< State of the library. */
	struct http_reader_ops ops; /**< Whom to call. */
	struct http_head head;	    /**< Of the current message. */
	size_t head_bytes_max;	    /**< Larger heads are refused, 0: any. */
	size_t head_bytes;	    /**< Of the current message so far. */
	bool is_request;	    /**< Reads requests, not answers. */
	bool has_begun;		    /**< A byte of a message was read. */
	bool has_head;		    /**< The head is complete. */
	bool has_ended;		    /**< The message is complete. */
	bool is_value;		    /**< The last piece was of a value. */
};

/* Reading */

/** Prepares a reader. */
void http_reader_init(struct http_reader *reader, bool is_request,
    const struct http_reader_ops *ops);
/** Gives back memory. */
void http_reader_finish(struct http_reader *reader);
/** Gets ready for the next message. */
void http_reader_next(struct http_reader *reader);
/** Reads up to the end of a message; @p used says how many bytes it took.
 * Errors: ERROR_MALFORMED, ERROR_TOO_LARGE for the head. */
enum error_code http_reader_feed(
    struct http_reader *reader, const char *data, size_t size, size_t *used);
/** The peer has ended: the end of an answer without a length. Errors:
 * ERROR_INCOMPLETE in the middle of a message. */
enum error_code http_reader_close(struct http_reader *reader);

/* Heads */

/** Value of a field, any case of letters; NULL for none. */
const char *http_head_get(const struct http_head *head, const char *name);
/** True if a field holds a token of a comma list, such as in Connection. */
bool http_head_has_token(
    const struct http_head *head, const char *name, const char *token);
/** Name of a field. */
const char *http_head_name(const struct http_head *head, guint index);
/** Value of a field. */
const char *http_head_value(const struct http_head *head, guint index);
/** True for a field that concerns one connection only. */
bool http_head_is_hop(const struct http_head *head, const char *name);
/** Moves a head; @p from is then empty. */
void http_head_move(struct http_head *to, struct http_head *from);
/** Gives back memory; the head is then empty. */
void http_head_finish(struct http_head *head);

#endif
