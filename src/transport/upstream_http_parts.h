/**
 * @file upstream_http_parts.h
 * Declarations shared by the source files of the HTTP client for upstreams only.
 */
#ifndef UPSTREAM_HTTP_PARTS_H
#define UPSTREAM_HTTP_PARTS_H

#include <curl/curl.h>
#include <glib.h>

#include "protocol/sse.h"
#include "transport/reply_head.h"
#include "transport/upstream_http.h"

/** Function of the adapter that an attempt carries out. */
enum attempt_kind {
	ATTEMPT_GENERATE,
	ATTEMPT_RESUME,
	ATTEMPT_CALL,
	ATTEMPT_CANCEL,
};

/** A running attempt; owned by its thread. */
struct attempt {
	struct upstream_http *http; /**< The client that it belongs to. */
	enum attempt_kind kind;	    /**< What it carries out. */
	struct attempt_input input; /**< What it was started with. */
	struct piece_queue *queue;  /**< Answer queue, NULL for a cancel. */
	CURL *curl;		    /**< The HTTP transfer. */
	struct curl_slist *headers; /**< Request headers. */
	struct text_cursor body;    /**< Part of the body not sent yet. */
	struct sse_reader events;   /**< Parser of the answer's events. */
	GString *error_body;	    /**< Body of an error reply. */
	struct reply_head head;	    /**< Head of the reply. */
	size_t error_size;	    /**< Bytes of an error reply so far. */
	bool has_begun;		    /**< An event of the answer came. */
	bool head_pushed;	    /**< Plain calls: HEAD piece was pushed. */
	bool final_pushed;	    /**< END or FAILED piece was pushed. */
	uint64_t next_sequence; /**< Plain calls: index of the next piece. */
	uint64_t received;	/**< Plain calls: bytes received so far. */
	enum error_code local_error; /**< Why this host cut the transfer. */
	struct attempt *previous; /**< Link in the list of running attempts. */
	struct attempt *next;	  /**< Link in the list of running attempts. */
};

/* upstream_http_request.c */

/** Prepares the transfer of an attempt: address, headers, body and time limits.
 * Returns false if that is not possible or the deadline has passed. */
bool upstream_http_prepare(struct attempt *attempt);

/* upstream_http_answer.c: callbacks with the attempt as context */

/** Reads a line of the reply's head, for libcurl. */
size_t upstream_http_read_header(
    char *line, size_t size, size_t count, void *context);
/** Reads bytes of the reply's body, for libcurl. */
size_t upstream_http_write_answer(
    char *bytes, size_t size, size_t count, void *context);
/** Ends the transfer once nobody waits for it, for libcurl. */
int upstream_http_check_progress(void *context, curl_off_t download_total,
    curl_off_t download_now, curl_off_t upload_total, curl_off_t upload_now);
/** Passes on an event of a stream. */
enum error_code upstream_http_on_event(
    void *context, const struct sse_event *event);
/** Reports how the attempt has ended, unless its answer did. */
void upstream_http_push_outcome(struct attempt *attempt, CURLcode result);

#endif
