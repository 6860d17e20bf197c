/**
 * @file reply_head.h
 * The head of an upstream's reply over HTTP/1, read line by line as libcurl hands
 * it out.
 *
 * libcurl reports success if the connection closes in the middle of a head. A
 * reply counts only if the empty line behind its head came. libcurl also passes
 * over lines that are no fields, or reads the beginning of a line that goes on in the
 * next one. Other readers could take them for a length or a refusal, so a head
 * with such a line is malformed.
 */
#ifndef REPLY_HEAD_H
#define REPLY_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"

/** The head of a reply. All zero is a reply of which nothing has come. */
struct reply_head {
	size_t size;	  /**< Bytes so far, with those of interim replies. */
	uint32_t status;  /**< Status of the last status line, or 0. */
	bool is_complete; /**< The head of the final reply has ended. */
	/** The last head states "X-Request-Outcome: not_run"; valid once
	 * is_complete is set. */
	bool says_not_run;
	bool names_request;   /**< It has an X-Request-Id of a host's form. */
	uint64_t request_id;  /**< That id. */
	uint32_t attempt;     /**< Its X-Request-Attempt, 0 for none. */
	bool is_chunked;      /**< The body comes in chunks. */
	bool has_length;      /**< It has a Content-Length. */
	uint64_t length;      /**< That length. */
	bool has_two_lengths; /**< It has different ones. */
};

/** Reads the next line, with its line end, of a head or of the trailer behind
 * the body. Errors: ERROR_TOO_LARGE if the heads have become too large;
 * ERROR_MALFORMED if a line of the head is neither a field nor a status line of
 * HTTP/1, if another reply begins within it, if a length is no number, or if a success
 * says that the request did not run. */
enum error_code reply_head_add_line(
    struct reply_head *head, const char *line, size_t size);
/** Returns true if the head names another request or another attempt. */
bool reply_head_names_other(
    const struct reply_head *head, uint64_t request_id, uint32_t attempt);
/** Returns true if a body that is cut off can be told from a whole one: by its
 * length, by its chunks, or because the status has no body. */
bool reply_head_shows_cut(const struct reply_head *head);

#endif
