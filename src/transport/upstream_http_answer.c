/* What comes of an attempt: its answer, or why there is none. */
#include <stdlib.h>
#include <string.h>

#include "transport/upstream_http_parts.h"
#include "transport/upstream_reply.h"

#define ERROR_BODY_SIZE_MAX 4096 /* Bytes kept of an error reply. */
/* Largest error reply, of which the rest is read and dropped. */
#define ERROR_REPLY_SIZE_MAX ((size_t)1024 * 1024)
#define STATUS_OK	     200

static enum error_code handle_answer_bytes(
    struct attempt *attempt, const char *bytes, size_t size);
static bool is_foreign(const struct attempt *attempt);
static enum error_code push_head(struct attempt *attempt, long status);
static enum error_code push_chunk(
    struct attempt *attempt, const char *bytes, size_t size);
static bool names_attempt(
    const struct attempt *attempt, const struct piece *piece);
static enum error_code push_piece(
    struct attempt *attempt, const struct piece *piece);
static void classify_failure(const struct attempt *attempt, CURLcode result,
    long status, struct piece *piece);
static void read_error_reply(
    const struct attempt *attempt, struct piece *piece);

size_t
upstream_http_read_header(char *line, size_t size, size_t count, void *context)
{
	struct attempt *attempt = context;

	attempt->local_error =
	    reply_head_add_line(&attempt->head, line, size * count);
	return attempt->local_error == ERROR_NONE ? size * count : 0;
}

size_t
upstream_http_write_answer(
    char *bytes, size_t size, size_t count, void *context)
{
	struct attempt *attempt = context;

	attempt->local_error =
	    handle_answer_bytes(attempt, bytes, size * count);
	return attempt->local_error == ERROR_NONE ? size * count : 0;
}

int
upstream_http_check_progress(void *context, curl_off_t download_total,
    curl_off_t download_now, curl_off_t upload_total, curl_off_t upload_now)
{
	struct attempt *attempt = context;

	(void)download_total;
	(void)download_now;
	(void)upload_total;
	(void)upload_now;
	if (attempt->queue == NULL)
		return attempt->http->stopping ? 1 : 0;
	return piece_queue_closed(attempt->queue) ? 1 : 0;
}

enum error_code
upstream_http_on_event(void *context, const struct sse_event *event)
{
	struct attempt *attempt = context;
	struct piece piece;
	enum error_code error;

	if (attempt->final_pushed)
		return ERROR_NONE;
	error = upstream_reply_parse_event(event, &piece);
	if (error != ERROR_NONE)
		return error;
	if (!names_attempt(attempt, &piece)) {
		piece_finish(&piece);
		return ERROR_NONE;
	}
	/* Pieces of the answer have come, so it has begun. */
	if (attempt->has_begun && piece.outcome == REQUEST_OUTCOME_NOT_RUN)
		piece.outcome = REQUEST_OUTCOME_FAILED;
	attempt->has_begun = true;
	attempt->final_pushed =
	    piece.kind == PIECE_KIND_END || piece.kind == PIECE_KIND_FAILED;
	return piece_queue_push(attempt->queue, &piece);
}

void
upstream_http_push_outcome(struct attempt *attempt, CURLcode result)
{
	struct piece piece;
	long status;

	if (attempt->final_pushed)
		return;
	status = 0;
	if (attempt->curl != NULL)
		curl_easy_getinfo(
		    attempt->curl, CURLINFO_RESPONSE_CODE, &status);
	memset(&piece, 0, sizeof(piece));
	if (attempt->kind == ATTEMPT_CALL && result == CURLE_OK &&
	    attempt->head.is_complete && !attempt->head.says_not_run &&
	    !is_foreign(attempt) && reply_head_shows_cut(&attempt->head)) {
		if (push_head(attempt, status) != ERROR_NONE)
			return;
		piece.kind = PIECE_KIND_END;
		piece.piece_count = attempt->next_sequence;
	} else {
		piece.kind = PIECE_KIND_FAILED;
		classify_failure(attempt, result, status, &piece);
	}
	push_piece(attempt, &piece);
}

static enum error_code
handle_answer_bytes(struct attempt *attempt, const char *bytes, size_t size)
{
	enum error_code error;
	long status;

	status = 0;
	curl_easy_getinfo(attempt->curl, CURLINFO_RESPONSE_CODE, &status);
	if (attempt->kind == ATTEMPT_CANCEL)
		return ERROR_NONE;
	if (attempt->head.says_not_run ||
	    (attempt->kind != ATTEMPT_CALL && status != STATUS_OK)) {
		if (attempt->error_body->len + size <= ERROR_BODY_SIZE_MAX)
			g_string_append_len(
			    attempt->error_body, bytes, (gssize)size);
		attempt->error_size += size;
		return attempt->error_size > ERROR_REPLY_SIZE_MAX
			   ? ERROR_TOO_LARGE
			   : ERROR_NONE;
	}
	if (attempt->kind != ATTEMPT_CALL)
		return sse_reader_feed(&attempt->events, bytes, size);
	if (is_foreign(attempt))
		return ERROR_OUTCOME_UNKNOWN;
	if (!reply_head_shows_cut(&attempt->head))
		return ERROR_INCOMPLETE;
	error = push_head(attempt, status);
	if (error != ERROR_NONE)
		return error;
	return push_chunk(attempt, bytes, size);
}

/* Returns true if the head of the reply names another request or attempt. */
static bool
is_foreign(const struct attempt *attempt)
{
	return reply_head_names_other(
	    &attempt->head, attempt->input.request_id, attempt->input.attempt);
}

static enum error_code
push_head(struct attempt *attempt, long status)
{
	struct piece piece;
	char *type;

	if (attempt->head_pushed)
		return ERROR_NONE;
	attempt->head_pushed = true;
	memset(&piece, 0, sizeof(piece));
	piece.kind = PIECE_KIND_HEAD;
	piece.status = (uint32_t)status;
	type = NULL;
	curl_easy_getinfo(attempt->curl, CURLINFO_CONTENT_TYPE, &type);
	if (type != NULL)
		g_strlcpy(piece.content_type, type, sizeof(piece.content_type));
	return push_piece(attempt, &piece);
}

static enum error_code
push_chunk(struct attempt *attempt, const char *bytes, size_t size)
{
	struct piece piece;

	attempt->received += size;
	if (attempt->received > attempt->http->settings.service_body_size_max)
		return ERROR_TOO_LARGE;
	memset(&piece, 0, sizeof(piece));
	piece.kind = PIECE_KIND_TEXT;
	piece.sequence = attempt->next_sequence++;
	piece.text = malloc(size + 1);
	if (piece.text == NULL)
		return ERROR_NO_MEMORY;
	memcpy(piece.text, bytes, size);
	piece.text[size] = '\0';
	piece.text_size = size;
	return push_piece(attempt, &piece);
}

/* Returns true if a piece is of this request and attempt. An upstream may mix
 * its answers up; what belongs to another request neither ends this one nor
 * promises anything about it. */
static bool
names_attempt(const struct attempt *attempt, const struct piece *piece)
{
	return piece->request_id == attempt->input.request_id &&
	       piece->attempt == attempt->input.attempt;
}

static enum error_code
push_piece(struct attempt *attempt, const struct piece *piece)
{
	struct piece copy;

	copy = *piece;
	copy.request_id = attempt->input.request_id;
	copy.attempt = attempt->input.attempt;
	return piece_queue_push(attempt->queue, &copy);
}

/* Sets the error and outcome of a failed attempt. The outcome is
 * REQUEST_OUTCOME_NOT_RUN only if no byte of the request can have been sent, or
 * if the upstream itself said so. */
static void
classify_failure(const struct attempt *attempt, CURLcode result, long status,
    struct piece *piece)
{
	long sent;

	sent = 0;
	if (attempt->curl != NULL)
		curl_easy_getinfo(attempt->curl, CURLINFO_REQUEST_SIZE, &sent);
	piece->outcome = attempt->input.is_idempotent ? REQUEST_OUTCOME_FAILED
						      : REQUEST_OUTCOME_UNKNOWN;
	if (sent == 0) {
		piece->outcome = REQUEST_OUTCOME_NOT_RUN;
		piece->error = ERROR_CONNECTION;
		if (attempt->events.line == NULL)
			piece->error = ERROR_TIMEOUT;
		return;
	}
	if (attempt->local_error != ERROR_NONE) {
		piece->error = attempt->local_error;
		return;
	}
	if (result == CURLE_OK && !attempt->head.is_complete) {
		piece->error = ERROR_CONNECTION;
		return;
	}
	if (attempt->kind == ATTEMPT_CALL && is_foreign(attempt)) {
		piece->error = ERROR_OUTCOME_UNKNOWN;
		return;
	}
	if (attempt->head.says_not_run ||
	    (attempt->kind != ATTEMPT_CALL && status != 0 &&
		status != STATUS_OK)) {
		piece->error = ERROR_UPSTREAM_FAILED;
		if (result == CURLE_OK)
			read_error_reply(attempt, piece);
		return;
	}
	if (result == CURLE_OPERATION_TIMEDOUT)
		piece->error = ERROR_TIMEOUT;
	else if (result == CURLE_OK)
		piece->error = ERROR_INCOMPLETE;
	else if (result == CURLE_WEIRD_SERVER_REPLY ||
		 result == CURLE_UNSUPPORTED_PROTOCOL)
		piece->error = ERROR_MALFORMED;
	else
		piece->error = ERROR_CONNECTION;
}

/* Sets the error and outcome that a whole error reply states. One that names
 * another request or attempt says nothing about this one. */
static void
read_error_reply(const struct attempt *attempt, struct piece *piece)
{
	struct piece stated;

	stated = *piece;
	stated.request_id = attempt->input.request_id;
	stated.attempt = attempt->input.attempt;
	if (attempt->head.says_not_run) {
		stated.error = ERROR_UPSTREAM_REFUSED;
		stated.outcome = REQUEST_OUTCOME_NOT_RUN;
	}
	if (!is_foreign(attempt) &&
	    upstream_reply_parse_error(
		attempt->error_body->str, attempt->error_body->len, &stated))
		*piece = stated;
	else
		piece->error = ERROR_OUTCOME_UNKNOWN;
}
