/* What an attempt sends to an upstream. */
#include <inttypes.h>
#include <stdio.h>

#include "base/monotonic_clock.h"
#include "protocol/request_priority.h"
#include "transport/upstream_http_parts.h"

#define DEADLINE_GRACE_MS  1000 /* Transfer time past the deadline. */
#define QUERY_SIZE	   1024 /* Bytes of a path with its query. */
#define HEADER_SIZE	   512	/* Bytes of one header line. */
#define UPLOAD_BUFFER_SIZE (512L * 1024)

static void write_query(const struct attempt *attempt, char *path, size_t size);
static void add_header(
    struct attempt *attempt, const char *name, const char *value);
static void add_headers(struct attempt *attempt);
static size_t read_body(char *out, size_t size, size_t count, void *context);

bool
upstream_http_prepare(struct attempt *attempt)
{
	const struct attempt_input *input = &attempt->input;
	const struct upstream_http_settings *settings =
	    &attempt->http->settings;
	struct sse_sink sink = {upstream_http_on_event, attempt};
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
	curl_easy_setopt(
	    attempt->curl, CURLOPT_HEADERFUNCTION, upstream_http_read_header);
	curl_easy_setopt(attempt->curl, CURLOPT_HEADERDATA, attempt);
	curl_easy_setopt(
	    attempt->curl, CURLOPT_WRITEFUNCTION, upstream_http_write_answer);
	curl_easy_setopt(attempt->curl, CURLOPT_WRITEDATA, attempt);
	curl_easy_setopt(attempt->curl, CURLOPT_HTTPHEADER, attempt->headers);
	curl_easy_setopt(attempt->curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(attempt->curl, CURLOPT_XFERINFOFUNCTION,
	    upstream_http_check_progress);
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
