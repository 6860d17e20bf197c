#include "transport/upstream_http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "base/monotonic_clock.h"
#include "protocol/request_priority.h"
#include "protocol/sse.h"
#include "transport/reply_head.h"
#include "transport/upstream_control.h"
#include "transport/upstream_reply.h"

#define ATTEMPTS_MAX_DEFAULT	   4096
#define CONNECT_TIMEOUT_DEFAULT_MS 1000
#define CANCEL_TIMEOUT_DEFAULT_MS  2000
#define PIECE_SIZE_MAX_DEFAULT	   65536
#define DEADLINE_GRACE_MS	   1000 /* Transfer time past the deadline. */
#define ERROR_BODY_SIZE_MAX	   4096 /* Bytes kept of an error reply. */
/* Largest error reply, of which the rest is read and dropped. */
#define ERROR_REPLY_SIZE_MAX ((size_t)1024 * 1024)
#define QUERY_SIZE	     1024 /* Bytes of a path with its query. */
#define HEADER_SIZE	     512  /* Bytes of one header line. */
#define UPLOAD_BUFFER_SIZE   (512L * 1024)

/* Function of the adapter that an attempt carries out. */
enum attempt_kind {
	ATTEMPT_GENERATE,
	ATTEMPT_RESUME,
	ATTEMPT_CALL,
	ATTEMPT_CANCEL,
};

/* A running attempt; owned by its thread. */
struct attempt {
	struct upstream_http *http;
	enum attempt_kind kind;
	struct attempt_input input;
	struct piece_queue *queue;   /* Answer queue, NULL for a cancel. */
	CURL *curl;		     /* The HTTP transfer. */
	struct curl_slist *headers;  /* Request headers. */
	struct text_cursor body;     /* Part of the body not sent yet. */
	struct sse_reader events;    /* Parser of the answer's events. */
	GString *error_body;	     /* Body of an error reply. */
	struct reply_head head;	     /* Head of the reply. */
	size_t error_size;	     /* Bytes of an error reply so far. */
	bool has_begun;		     /* An event of the answer came. */
	bool head_pushed;	     /* Plain calls: HEAD piece was pushed. */
	bool final_pushed;	     /* END or FAILED piece was pushed. */
	uint64_t next_sequence;	     /* Plain calls: index of the next piece. */
	uint64_t received;	     /* Plain calls: bytes received so far. */
	enum error_code local_error; /* Why this host cut the transfer. */
	struct attempt *previous;    /* Link in the list of running attempts. */
	struct attempt *next;	     /* Link in the list of running attempts. */
};

static void fill_defaults(struct upstream_http_settings *settings);
static enum error_code start_generate(void *context,
    const struct attempt_input *input, struct piece_queue *queue);
static enum error_code start_resume(void *context,
    const struct attempt_input *input, struct piece_queue *queue);
static enum error_code start_call(void *context,
    const struct attempt_input *input, struct piece_queue *queue);
static void start_cancel(
    void *context, const struct upstream_target *target, uint64_t request_id);
static enum error_code start_attempt(struct upstream_http *http,
    enum attempt_kind kind, const struct attempt_input *input,
    struct piece_queue *queue);
static enum error_code register_attempt(struct attempt *attempt);
static void finish_attempt(struct attempt *attempt);
static void free_attempt(struct attempt *attempt);
static void *run_attempt(void *context);
static bool prepare_transfer(struct attempt *attempt);
static void write_query(const struct attempt *attempt, char *path, size_t size);
static void add_header(
    struct attempt *attempt, const char *name, const char *value);
static void add_headers(struct attempt *attempt);
static size_t read_body(char *out, size_t size, size_t count, void *context);
static size_t read_header(char *line, size_t size, size_t count, void *context);
static size_t write_answer(
    char *bytes, size_t size, size_t count, void *context);
static enum error_code handle_answer_bytes(
    struct attempt *attempt, const char *bytes, size_t size);
static bool is_foreign(const struct attempt *attempt);
static enum error_code push_head(struct attempt *attempt, long status);
static enum error_code push_chunk(
    struct attempt *attempt, const char *bytes, size_t size);
static enum error_code on_event(void *context, const struct sse_event *event);
static bool names_attempt(
    const struct attempt *attempt, const struct piece *piece);
static enum error_code push_piece(
    struct attempt *attempt, const struct piece *piece);
static int check_progress(void *context, curl_off_t download_total,
    curl_off_t download_now, curl_off_t upload_total, curl_off_t upload_now);
static void push_outcome(struct attempt *attempt, CURLcode result);
static void classify_failure(const struct attempt *attempt, CURLcode result,
    long status, struct piece *piece);
static void read_error_reply(
    const struct attempt *attempt, struct piece *piece);

const struct upstream_adapter upstream_http_adapter = {
    .generate = start_generate,
    .resume = start_resume,
    .call = start_call,
    .cancel = start_cancel,
    .probe = upstream_control_probe,
    .kv_reserve = upstream_control_kv_reserve,
    .kv_export = upstream_control_kv_export,
    .kv_import = upstream_control_kv_import,
    .kv_release = upstream_control_kv_release,
    .kv_held = upstream_control_kv_held,
    .order = upstream_control_order,
};

enum error_code
upstream_http_init(
    struct upstream_http *http, const struct upstream_http_settings *settings)
{
	memset(http, 0, sizeof(*http));
	http->settings = *settings;
	fill_defaults(&http->settings);
	pthread_mutex_init(&http->lock, NULL);
	pthread_cond_init(&http->attempt_ended, NULL);
	return ERROR_NONE;
}

uint32_t
upstream_http_running(struct upstream_http *http)
{
	uint32_t running;

	pthread_mutex_lock(&http->lock);
	running = http->running;
	pthread_mutex_unlock(&http->lock);
	return running;
}

void
upstream_http_stop(struct upstream_http *http)
{
	struct attempt *attempt;

	pthread_mutex_lock(&http->lock);
	http->stopping = true;
	for (attempt = http->attempts; attempt != NULL;
	     attempt = attempt->next) {
		if (attempt->queue != NULL)
			piece_queue_close(attempt->queue);
	}
	while (http->running > 0)
		pthread_cond_wait(&http->attempt_ended, &http->lock);
	pthread_mutex_unlock(&http->lock);
}

void
upstream_http_finish(struct upstream_http *http)
{
	upstream_http_stop(http);
	pthread_cond_destroy(&http->attempt_ended);
	pthread_mutex_destroy(&http->lock);
}

static void
fill_defaults(struct upstream_http_settings *settings)
{
	if (settings->attempts_max == 0)
		settings->attempts_max = ATTEMPTS_MAX_DEFAULT;
	if (settings->connect_timeout_ms == 0)
		settings->connect_timeout_ms = CONNECT_TIMEOUT_DEFAULT_MS;
	if (settings->cancel_timeout_ms == 0)
		settings->cancel_timeout_ms = CANCEL_TIMEOUT_DEFAULT_MS;
	if (settings->piece_size_max == 0)
		settings->piece_size_max = PIECE_SIZE_MAX_DEFAULT;
	if (settings->service_body_size_max == 0)
		settings->service_body_size_max = BODY_SIZE_MAX;
}

static enum error_code
start_generate(
    void *context, const struct attempt_input *input, struct piece_queue *queue)
{
	return start_attempt(context, ATTEMPT_GENERATE, input, queue);
}

static enum error_code
start_resume(
    void *context, const struct attempt_input *input, struct piece_queue *queue)
{
	return start_attempt(context, ATTEMPT_RESUME, input, queue);
}

static enum error_code
start_call(
    void *context, const struct attempt_input *input, struct piece_queue *queue)
{
	return start_attempt(context, ATTEMPT_CALL, input, queue);
}

static void
start_cancel(
    void *context, const struct upstream_target *target, uint64_t request_id)
{
	struct upstream_http *http = context;
	struct attempt_input input;

	memset(&input, 0, sizeof(input));
	input.target = *target;
	input.request_id = request_id;
	input.deadline_ms =
	    clock_monotonic_ms() + http->settings.cancel_timeout_ms;
	start_attempt(http, ATTEMPT_CANCEL, &input, NULL);
}

static enum error_code
start_attempt(struct upstream_http *http, enum attempt_kind kind,
    const struct attempt_input *input, struct piece_queue *queue)
{
	struct attempt *attempt;
	pthread_attr_t attributes;
	pthread_t thread;
	enum error_code error;
	int result;

	attempt = calloc(1, sizeof(*attempt));
	if (attempt == NULL)
		return ERROR_NO_MEMORY;
	attempt->http = http;
	attempt->kind = kind;
	attempt->input = *input;
	if (input->body != NULL)
		shared_text_ref(input->body);
	if (queue != NULL)
		attempt->queue = piece_queue_hold(queue);
	error = register_attempt(attempt);
	if (error != ERROR_NONE) {
		free_attempt(attempt);
		return error;
	}
	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	result = pthread_create(&thread, &attributes, run_attempt, attempt);
	pthread_attr_destroy(&attributes);
	if (result != 0) {
		finish_attempt(attempt);
		return ERROR_TABLE_FULL;
	}
	return ERROR_NONE;
}

static enum error_code
register_attempt(struct attempt *attempt)
{
	struct upstream_http *http = attempt->http;
	enum error_code error;

	error = ERROR_NONE;
	pthread_mutex_lock(&http->lock);
	if (http->stopping) {
		error = ERROR_SHUTTING_DOWN;
	} else if (http->running >= http->settings.attempts_max) {
		error = ERROR_TABLE_FULL;
	} else {
		http->running++;
		attempt->next = http->attempts;
		if (attempt->next != NULL)
			attempt->next->previous = attempt;
		http->attempts = attempt;
	}
	pthread_mutex_unlock(&http->lock);
	return error;
}

/* Unregisters and frees an attempt. The running count is decremented last,
 * because upstream_http_finish() waits for it and then destroys what the thread
 * uses until then. */
static void
finish_attempt(struct attempt *attempt)
{
	struct upstream_http *http = attempt->http;

	pthread_mutex_lock(&http->lock);
	if (attempt->previous != NULL)
		attempt->previous->next = attempt->next;
	else
		http->attempts = attempt->next;
	if (attempt->next != NULL)
		attempt->next->previous = attempt->previous;
	pthread_mutex_unlock(&http->lock);
	free_attempt(attempt);
	pthread_mutex_lock(&http->lock);
	http->running--;
	pthread_cond_broadcast(&http->attempt_ended);
	pthread_mutex_unlock(&http->lock);
}

static void
free_attempt(struct attempt *attempt)
{
	if (attempt->curl != NULL)
		curl_easy_cleanup(attempt->curl);
	curl_slist_free_all(attempt->headers);
	sse_reader_finish(&attempt->events);
	if (attempt->error_body != NULL)
		g_string_free(attempt->error_body, TRUE);
	shared_text_unref(attempt->input.body);
	piece_queue_release(attempt->queue);
	free(attempt);
}

static void *
run_attempt(void *context)
{
	struct attempt *attempt = context;
	CURLcode result;

	result = CURLE_FAILED_INIT;
	if (prepare_transfer(attempt))
		result = curl_easy_perform(attempt->curl);
	if (attempt->queue != NULL)
		push_outcome(attempt, result);
	finish_attempt(attempt);
	return NULL;
}

static bool
prepare_transfer(struct attempt *attempt)
{
	const struct attempt_input *input = &attempt->input;
	const struct upstream_http_settings *settings =
	    &attempt->http->settings;
	struct sse_sink sink = {on_event, attempt};
	char path[QUERY_SIZE];
	char url[URL_SIZE_MAX + QUERY_SIZE];
	int64_t left_ms;

	attempt->curl = curl_easy_init();
	if (attempt->curl == NULL)
		return false;
	left_ms = input->deadline_ms - clock_monotonic_ms();
	if (left_ms <= 0)
		return false;
	sse_reader_init(&attempt->events, settings->piece_size_max, sink);
	attempt->error_body = g_string_new(NULL);
	text_cursor_init(
	    &attempt->body, input->body, input->body_offset, input->body_size);
	write_query(attempt, path, sizeof(path));
	snprintf(url, sizeof(url), "%s%s", input->target.url, path);
	add_headers(attempt);
	curl_easy_setopt(attempt->curl, CURLOPT_URL, url);
	curl_easy_setopt(attempt->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(attempt->curl, CURLOPT_POST, 1L);
	curl_easy_setopt(attempt->curl, CURLOPT_POSTFIELDSIZE_LARGE,
	    (curl_off_t)attempt->body.left);
	curl_easy_setopt(attempt->curl, CURLOPT_READFUNCTION, read_body);
	curl_easy_setopt(attempt->curl, CURLOPT_READDATA, attempt);
	curl_easy_setopt(
	    attempt->curl, CURLOPT_UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_SIZE);
	curl_easy_setopt(attempt->curl, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(attempt->curl, CURLOPT_HEADERDATA, attempt);
	curl_easy_setopt(attempt->curl, CURLOPT_WRITEFUNCTION, write_answer);
	curl_easy_setopt(attempt->curl, CURLOPT_WRITEDATA, attempt);
	curl_easy_setopt(attempt->curl, CURLOPT_HTTPHEADER, attempt->headers);
	curl_easy_setopt(attempt->curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(
	    attempt->curl, CURLOPT_XFERINFOFUNCTION, check_progress);
	curl_easy_setopt(attempt->curl, CURLOPT_XFERINFODATA, attempt);
	curl_easy_setopt(attempt->curl, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)settings->connect_timeout_ms);
	curl_easy_setopt(attempt->curl, CURLOPT_TIMEOUT_MS,
	    (long)(left_ms + DEADLINE_GRACE_MS));
	/* If a reused connection breaks, libcurl silently sends the request
	 * again on another one. A fresh connection for each attempt prevents
	 * this, so that the upstream gets the request at most once. */
	curl_easy_setopt(attempt->curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(attempt->curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(attempt->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(
	    attempt->curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	return true;
}

static void
write_query(const struct attempt *attempt, char *path, size_t size)
{
	const struct attempt_input *input = &attempt->input;
	char *model;
	int64_t left_ms;

	left_ms = input->deadline_ms - clock_monotonic_ms();
	switch (attempt->kind) {
	case ATTEMPT_GENERATE:
		model = curl_easy_escape(attempt->curl, input->model, 0);
		snprintf(path, size,
		    "/engine/v1/generate?request=%016" PRIx64
		    "&attempt=%u&incarnation=%" PRIu64
		    "&model=%s&priority=%s&answer_tokens_max=%u"
		    "&deadline_ms=%" PRId64 "&reservation=%016" PRIx64,
		    input->request_id, input->attempt,
		    input->target.incarnation, model == NULL ? "" : model,
		    request_priority_name(input->priority),
		    input->answer_tokens_max, left_ms, input->reservation);
		curl_free(model);
		break;
	case ATTEMPT_RESUME:
		snprintf(path, size,
		    "/engine/v1/resume?request=%016" PRIx64
		    "&attempt=%u&incarnation=%" PRIu64
		    "&from_attempt=%u&position=%" PRIu64
		    "&deadline_ms=%" PRId64,
		    input->request_id, input->attempt,
		    input->target.incarnation, input->from_attempt,
		    input->position, left_ms);
		break;
	case ATTEMPT_CANCEL:
		snprintf(path, size,
		    "/engine/v1/cancel?request=%016" PRIx64
		    "&incarnation=%" PRIu64,
		    input->request_id, input->target.incarnation);
		break;
	case ATTEMPT_CALL:
		snprintf(path, size, "/service/v1/call/%s", input->path);
		break;
	}
}

static void
add_header(struct attempt *attempt, const char *name, const char *value)
{
	struct curl_slist *headers;
	char line[HEADER_SIZE];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	headers = curl_slist_append(attempt->headers, line);
	if (headers != NULL)
		attempt->headers = headers;
}

static void
add_headers(struct attempt *attempt)
{
	const struct attempt_input *input = &attempt->input;
	char text[TRACEPARENT_SIZE];

	/* An empty Expect header stops libcurl from waiting for a
	 * "100 Continue", which would cost a round trip. */
	add_header(attempt, "Expect", "");
	traceparent_format(&input->trace, text);
	add_header(attempt, "traceparent", text);
	if (input->idempotency_key[0] != '\0')
		add_header(attempt, "Idempotency-Key", input->idempotency_key);
	if (attempt->kind != ATTEMPT_CALL) {
		add_header(
		    attempt, "Content-Type", "text/plain; charset=utf-8");
		return;
	}
	add_header(attempt, "Content-Type",
	    input->content_type[0] == '\0' ? "application/octet-stream"
					   : input->content_type);
	snprintf(text, sizeof(text), "%016" PRIx64, input->request_id);
	add_header(attempt, "X-Request-Id", text);
	snprintf(text, sizeof(text), "%u", input->attempt);
	add_header(attempt, "X-Request-Attempt", text);
	snprintf(text, sizeof(text), "%" PRIu64, input->target.incarnation);
	add_header(attempt, "X-Upstream-Incarnation", text);
	snprintf(text, sizeof(text), "%" PRId64,
	    input->deadline_ms - clock_monotonic_ms());
	add_header(attempt, "X-Request-Deadline-Ms", text);
}

static size_t
read_body(char *out, size_t size, size_t count, void *context)
{
	struct attempt *attempt = context;

	return text_cursor_read(&attempt->body, out, size * count);
}

static size_t
read_header(char *line, size_t size, size_t count, void *context)
{
	struct attempt *attempt = context;

	attempt->local_error =
	    reply_head_add_line(&attempt->head, line, size * count);
	return attempt->local_error == ERROR_NONE ? size * count : 0;
}

static size_t
write_answer(char *bytes, size_t size, size_t count, void *context)
{
	struct attempt *attempt = context;

	attempt->local_error =
	    handle_answer_bytes(attempt, bytes, size * count);
	return attempt->local_error == ERROR_NONE ? size * count : 0;
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
	    (attempt->kind != ATTEMPT_CALL && status != 200)) {
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

static enum error_code
on_event(void *context, const struct sse_event *event)
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

static int
check_progress(void *context, curl_off_t download_total,
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

static void
push_outcome(struct attempt *attempt, CURLcode result)
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
	    (attempt->kind != ATTEMPT_CALL && status != 0 && status != 200)) {
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
