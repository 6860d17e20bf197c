#include "load_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "../standin/answer.h"
#include "base/monotonic_clock.h"
#include "protocol/sse.h"

#define EVENT_SIZE_MAX 65536
/* An answer with more bytes than this is aborted. */
#define ANSWER_BODY_SIZE_MAX 1048576
/* Time after the deadline in which the host's error may still arrive. */
#define DEADLINE_GRACE_MS  5000
#define TEXT_SIZE_MAX	   1024
#define BODY_OVERHEAD_SIZE 512

/* A request that was sent, and what has arrived of its answer. */
struct call {
	const struct load_request *request;
	struct load_result *result;
	bool is_direct;
	int64_t due_us;
	CURL *curl;
	struct curl_slist *headers;
	struct sse_reader sse_reader;
	bool is_stream;		 /* The answer is an event stream. */
	GString *text;		 /* Answer text received so far. */
	GString *body;		 /* Answer that is not a stream. */
	bool has_ended;		 /* The answer is complete. */
	int64_t reported_tokens; /* Tokens that the answer says it has. */
	char error_outcome[NAME_SIZE_MAX]; /* Outcome in an error, else "". */
};

static char *build_body(const struct load_settings *settings,
    const struct load_request *request, bool is_direct, const char *prompt);
static void set_up_request(
    struct call *call, const struct load_settings *settings);
static void add_header(struct call *call, const char *name, const char *value);
static size_t on_body_bytes(
    char *bytes, size_t size, size_t count, void *context);
static enum error_code on_sse_event(
    void *context, const struct sse_event *event);
static void append_text(struct call *call, const char *text);
static void record_error(struct call *call, const json_t *root);
static void parse_body(struct call *call);
static enum load_outcome classify_outcome(
    const struct call *call, const char *prompt, CURLcode code);
static bool is_expected_answer(const struct call *call, const char *prompt);
static bool is_expected_service_answer(
    const struct call *call, const char *body);

void
load_call(const struct load_settings *settings,
    const struct load_request *request, bool is_direct, int64_t due_us,
    struct load_result *result)
{
	struct call call;
	struct sse_sink sink = {on_sse_event, &call};
	CURLcode code;
	char *prompt;
	char *body;

	memset(&call, 0, sizeof(call));
	memset(result, 0, sizeof(*result));
	call.request = request;
	call.result = result;
	call.is_direct = is_direct;
	call.due_us = due_us;
	call.text = g_string_new(NULL);
	call.body = g_string_new(NULL);
	sse_reader_init(&call.sse_reader, EVENT_SIZE_MAX, sink);
	result->band = request->band;
	prompt = load_plan_prompt(settings, request);
	body = build_body(settings, request, is_direct, prompt);
	call.curl = curl_easy_init();
	set_up_request(&call, settings);
	curl_easy_setopt(call.curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(
	    call.curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)strlen(body));
	code = curl_easy_perform(call.curl);
	if (!call.is_stream)
		parse_body(&call);
	result->outcome = classify_outcome(&call, prompt, code);
	result->total_us = clock_monotonic_us() - due_us;
	result->is_late =
	    result->total_us > (int64_t)settings->deadline_ms * 1000;
	if (body != prompt)
		free(body);
	free(prompt);
	curl_easy_cleanup(call.curl);
	curl_slist_free_all(call.headers);
	sse_reader_finish(&call.sse_reader);
	g_string_free(call.text, TRUE);
	g_string_free(call.body, TRUE);
}

const char *
load_outcome_name(enum load_outcome outcome)
{
	static const char *const names[LOAD_OUTCOME_COUNT] = {
	    "done", "refused", "failed", "lost", "wrong"};

	return names[outcome];
}

/* Builds the request body. Calls to the stand-in and to a service send the
 * prompt itself, which is then returned, not a copy. */
static char *
build_body(const struct load_settings *settings,
    const struct load_request *request, bool is_direct, const char *prompt)
{
	char *body;
	size_t size;

	if (is_direct || request->is_service_call)
		return (char *)prompt;
	size = request->prompt_size + BODY_OVERHEAD_SIZE;
	body = malloc(size);
	snprintf(body, size,
	    "{\"model\":\"%s\",\"max_tokens\":%u,\"stream\":%s,"
	    "\"prompt\":\"%s\"}",
	    settings->model, settings->answer_tokens_max,
	    request->is_streamed ? "true" : "false", prompt);
	return body;
}

static void
set_up_request(struct call *call, const struct load_settings *settings)
{
	const struct load_request *request = call->request;
	char text[TEXT_SIZE_MAX];

	if (call->is_direct)
		snprintf(text, sizeof(text),
		    "%s/engine/v1/generate?request=%016" PRIx64
		    "&attempt=1&model=%s&answer_tokens_max=%u",
		    settings->direct_url,
		    settings->seed << 32 | request->number, settings->model,
		    settings->answer_tokens_max);
	else if (request->is_service_call)
		snprintf(text, sizeof(text), "%s/v1/services/%s/load",
		    request->url, settings->service);
	else
		snprintf(text, sizeof(text), "%s/v1/completions", request->url);
	curl_easy_setopt(call->curl, CURLOPT_URL, text);
	curl_easy_setopt(call->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(call->curl, CURLOPT_TIMEOUT_MS,
	    (long)settings->deadline_ms + DEADLINE_GRACE_MS);
	curl_easy_setopt(call->curl, CURLOPT_WRITEFUNCTION, on_body_bytes);
	curl_easy_setopt(call->curl, CURLOPT_WRITEDATA, call);
	add_header(call, "Expect", "");
	add_header(call, "Content-Type",
	    call->is_direct || request->is_service_call ? "text/plain"
							: "application/json");
	snprintf(text, sizeof(text), "%u", settings->deadline_ms);
	add_header(call, "X-Request-Deadline-Ms", text);
	if (request->token != NULL) {
		snprintf(text, sizeof(text), "Bearer %s", request->token);
		add_header(call, "Authorization", text);
	}
	if (request->is_service_call)
		add_header(call, "Idempotency-Key", request->key);
	curl_easy_setopt(call->curl, CURLOPT_HTTPHEADER, call->headers);
}

static void
add_header(struct call *call, const char *name, const char *value)
{
	char line[2 * TEXT_SIZE_MAX];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	call->headers = curl_slist_append(call->headers, line);
}

static size_t
on_body_bytes(char *bytes, size_t size, size_t count, void *context)
{
	struct call *call = context;
	char *content_type;

	content_type = NULL;
	curl_easy_getinfo(call->curl, CURLINFO_CONTENT_TYPE, &content_type);
	call->is_stream = content_type != NULL &&
			  g_str_has_prefix(content_type, "text/event-stream");
	if (call->is_stream)
		return sse_reader_feed(
			   &call->sse_reader, bytes, size * count) == ERROR_NONE
			   ? size * count
			   : 0;
	if (call->body->len + size * count > ANSWER_BODY_SIZE_MAX)
		return 0;
	g_string_append_len(call->body, bytes, (gssize)(size * count));
	return size * count;
}

static enum error_code
on_sse_event(void *context, const struct sse_event *event)
{
	struct call *call = context;
	const json_t *choice;
	const json_t *usage;
	json_t *root;

	if (strcmp(event->data, "[DONE]") == 0) {
		call->has_ended = true;
		return ERROR_NONE;
	}
	root = json_loadb(event->data, event->data_size, 0, NULL);
	if (root == NULL)
		return ERROR_MALFORMED;
	if (strcmp(event->name, "error") == 0) {
		record_error(call, root);
	} else if (strcmp(event->name, "end") == 0) {
		call->has_ended = true;
		call->reported_tokens =
		    json_integer_value(json_object_get(root, "answer_tokens"));
	} else if (call->is_direct) {
		append_text(
		    call, json_string_value(json_object_get(root, "text")));
	} else {
		choice = json_array_get(json_object_get(root, "choices"), 0);
		append_text(
		    call, json_string_value(json_object_get(choice, "text")));
		usage = json_object_get(root, "usage");
		if (usage != NULL)
			call->reported_tokens = json_integer_value(
			    json_object_get(usage, "completion_tokens"));
	}
	json_decref(root);
	return ERROR_NONE;
}

static void
append_text(struct call *call, const char *text)
{
	if (text == NULL || *text == '\0')
		return;
	if (!call->result->has_first_token) {
		call->result->has_first_token = true;
		call->result->first_token_us =
		    clock_monotonic_us() - call->due_us;
	}
	g_string_append(call->text, text);
}

static void
record_error(struct call *call, const json_t *root)
{
	const char *outcome;

	outcome = json_string_value(
	    json_object_get(json_object_get(root, "error"), "outcome"));
	if (outcome != NULL)
		g_strlcpy(
		    call->error_outcome, outcome, sizeof(call->error_outcome));
}

static void
parse_body(struct call *call)
{
	const json_t *choice;
	const char *text;
	json_t *root;

	root = json_loadb(call->body->str, call->body->len, 0, NULL);
	if (root == NULL)
		return;
	record_error(call, root);
	if (call->request->is_service_call && !call->is_direct) {
		call->has_ended = call->error_outcome[0] == '\0';
	} else {
		choice = json_array_get(json_object_get(root, "choices"), 0);
		text = json_string_value(json_object_get(choice, "text"));
		if (text != NULL) {
			g_string_append(call->text, text);
			call->has_ended = true;
		}
		call->reported_tokens = json_integer_value(json_object_get(
		    json_object_get(root, "usage"), "completion_tokens"));
	}
	json_decref(root);
}

static enum load_outcome
classify_outcome(const struct call *call, const char *prompt, CURLcode code)
{
	bool is_expected;

	if (strcmp(call->error_outcome, "not_run") == 0)
		return LOAD_OUTCOME_REFUSED;
	if (call->error_outcome[0] != '\0')
		return LOAD_OUTCOME_FAILED;
	if (code != CURLE_OK || !call->has_ended)
		return LOAD_OUTCOME_LOST;
	is_expected = call->request->is_service_call && !call->is_direct
			  ? is_expected_service_answer(call, prompt)
			  : is_expected_answer(call, prompt);
	return is_expected ? LOAD_OUTCOME_DONE : LOAD_OUTCOME_WRONG;
}

/* True if the answer is the one that the stand-in derives from this prompt,
 * piece by piece, with as many pieces as the answer reports tokens. */
static bool
is_expected_answer(const struct call *call, const char *prompt)
{
	char piece[ANSWER_PIECE_SIZE];
	uint64_t digest;
	size_t offset;
	int64_t i;

	digest =
	    answer_digest_update(ANSWER_DIGEST_INITIAL, prompt, strlen(prompt));
	offset = 0;
	for (i = 0; i < call->reported_tokens; i++) {
		answer_piece_write(digest, (uint64_t)i, piece);
		if (!g_str_has_prefix(call->text->str + offset, piece))
			return false;
		offset += strlen(piece);
	}
	return call->reported_tokens > 0 && offset == call->text->len;
}

/* True if the service's answer has the digest of this body and this request's
 * idempotency key, and says that the key was run just once. */
static bool
is_expected_service_answer(const struct call *call, const char *body)
{
	char digest[17];
	json_t *root;
	bool is_expected;

	snprintf(digest, sizeof(digest), "%016" PRIx64,
	    answer_digest_update(ANSWER_DIGEST_INITIAL, body, strlen(body)));
	root = json_loadb(call->body->str, call->body->len, 0, NULL);
	is_expected =
	    g_strcmp0(json_string_value(json_object_get(root, "digest")),
		digest) == 0 &&
	    g_strcmp0(json_string_value(json_object_get(root, "key")),
		call->request->key) == 0 &&
	    json_integer_value(json_object_get(root, "run")) == 1;
	json_decref(root);
	return is_expected;
}
