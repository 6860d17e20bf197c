/**
 * @file http_reader.h
 * Incremental reader of HTTP/1.1 requests or responses, built on the
 * http-parser library.
 *
 * A reader stops at the end of each message and leaves the bytes of the next
 * message unread. Header names, header values and the request target are kept
 * as they were sent, so that a proxy can pass them on unchanged.
 */
#ifndef HTTP_READER_H
#define HTTP_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <http_parser.h>

#include "base/error_code.h"

/** A header field, as offsets into the text of its head. */
struct http_field {
	uint32_t name_offset;  /**< Offset of the field's name. */
	uint32_t value_offset; /**< Offset of the field's value. */
};

/** Head of a message: request line or status line, and header fields. A head
 * of all zeros is empty; only http_head_move() and http_head_finish() accept
 * such a head. */
struct http_head {
	const char *method;    /**< Request method, as a static string. */
	uint32_t status;       /**< Status code of a response. */
	bool keeps_connection; /**< The sender keeps the connection open. */
	bool has_length;       /**< Content-Length was sent. */
	bool is_chunked; /**< The body has the transfer coding "chunked". */
	/** The client waits for status 100 (Continue) before it sends the
	 * body. */
	bool expects_continue;
	GString
	    *target;	/**< Path and query of a request, or the text behind the
			      status of a response. */
	GString *text;	/**< Field names and values, each NUL-terminated. */
	GArray *fields; /**< Elements of struct http_field, in order. */
};

/** Functions that the reader calls while it reads a message. */
struct http_reader_ops {
	/** The head is complete. Returns true if no body follows even if the
	 * head announces one, as in a response to HEAD. */
	bool (*on_head)(void *context, struct http_head *head);
	/** Bytes of the body were read, with any chunk framing removed. */
	void (*on_body)(void *context, const char *data, size_t size);
	/** A chunk of the body was read, and what follows its data shows that
	 * it ends where its size says; may be NULL. */
	void (*on_chunk_end)(void *context);
	/** The message is complete. */
	void (*on_end)(void *context);
	void *context; /**< First argument of the callbacks. */
};

/** State of a reader for one connection. */
struct http_reader {
	http_parser parser;	    /**< State of the http-parser library. */
	struct http_reader_ops ops; /**< Functions that get what is read. */
	struct http_head head;	    /**< Head of the current message. */
	/** Heads with more bytes are rejected; 0 accepts any size. */
	size_t head_bytes_max;
	/** Bytes read of the current message until its head is complete. */
	size_t head_bytes;
	bool is_request;	/**< Messages are requests, not responses. */
	bool has_begun;		/**< The current message has begun. */
	bool is_after_version;	/**< Responses: the version was read. */
	bool has_status;	/**< Responses: the status was read. */
	uint32_t status_digits; /**< Digits of the status so far. */
	bool has_head;	/**< The head of the current message is complete. */
	bool has_ended; /**< The current message is complete. */
	/** The last bytes read of the head belong to a value, not a name. */
	bool last_was_value;
	/** The current message breaks the protocol in a way that the library
	 * accepts. */
	bool is_malformed;
	/** The last byte outside of the body was a CR. */
	bool is_after_cr;
	/** That CR followed the data of a chunk. */
	bool is_in_chunk_end;
	/** The last byte belongs to the data of a chunk. */
	bool is_after_chunk_data;
	/** While bytes are read: those from here on are not checked yet. */
	const char *unchecked;
};

/* Reading */

/** Initialises a reader of requests or, if @p is_request is false, of
 * responses. The limit head_bytes_max is 0 and may be set afterwards. */
void http_reader_init(struct http_reader *reader, bool is_request,
    const struct http_reader_ops *ops);
/** Frees the head of the current message. */
void http_reader_finish(struct http_reader *reader);
/** Resets the reader for the next message on its connection. */
void http_reader_next(struct http_reader *reader);
/** Reads bytes up to the end of the current message at most; @p used is set to
 * the number of bytes read. Errors: ERROR_MALFORMED, ERROR_TOO_LARGE if the
 * head exceeds its limit. */
enum error_code http_reader_feed(
    struct http_reader *reader, const char *data, size_t size, size_t *used);
/** To be called when the peer closed the connection, which also ends a
 * response that has neither a length nor chunks. Returns ERROR_INCOMPLETE if
 * that was in the middle of a message. */
enum error_code http_reader_close(struct http_reader *reader);

/* Heads */

/** True if a line of a head, with or without its line end, is a field: a name that is
 * a token, a colon, and a value without control bytes other than tabs. */
bool http_is_field_line(const char *line, size_t size);
/** True for a number that is a status of HTTP (RFC 9110, section 15). */
bool http_is_status(uint32_t status);
/** True for a status whose answers end with their heads, whatever length these
 * announce. */
bool http_status_has_no_body(uint32_t status);
/** True if a text contains the status line of a response. In the line of another
 * response it shows that this one stopped there. */
bool http_has_status_line(const char *text);
/** Returns the value of the first field called @p name, matched without regard
 * to case, or NULL if there is none. */
const char *http_head_get(const struct http_head *head, const char *name);
/** True if a field called @p name, such as Connection, holds a comma-separated
 * list that contains @p token. Case is ignored. */
bool http_head_has_token(
    const struct http_head *head, const char *name, const char *token);
/** Returns the name of the field with the given index. */
const char *http_head_name(const struct http_head *head, guint index);
/** Returns the value of the field with the given index. */
const char *http_head_value(const struct http_head *head, guint index);
/** True for a hop-by-hop field, which concerns one connection only and must
 * not be passed on by a proxy. */
bool http_head_is_hop_by_hop(const struct http_head *head, const char *name);
/** Moves the contents of a head; the old contents of @p to are freed, and
 * @p from is then empty and can be filled again. */
void http_head_move(struct http_head *to, struct http_head *from);
/** Frees the contents of a head and sets it to zeros. */
void http_head_finish(struct http_head *head);

#endif
