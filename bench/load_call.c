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

#define EVENT_SIZE_MAX	  65536
#define BODY_SIZE_MAX_	  1048576 /* Bytes kept of an answer. */
#define DEADLINE_GRACE_MS 5000	  /* A host's typed error may take this. */
#define URL_SIZE	  1024
#define HEADER_SIZE	  512

/* A call under way. */
struct call {
	const struct load_request *request;
	struct load_result *result;
	bool direct;
	int64_t due_us;
	CURL *curl;
	struct curl_slist *headers;
	struct sse_reader events;
	bool is_stream;		     /* The answer comes as events. */
	GString *text;		     /* Its text, put together. */
	GString *body;		     /* Body that is no stream. */
	bool ended;		     /* Its end mark came. */
	int64_t tokens;		     /* What the end mark says. */
	char outcome[NAME_SIZE_MAX]; /* Of an error, "" for none. */
};

static char *make_body(const struct load_settings *settings,
    const struct load_request *request, bool direct, const char *prompt);
static void set_target(struct call *call, const struct load_settings *settings);
static void add_header(struct call *call, const char *name, const char *value);
static size_t take_bytes(char *bytes, size_t size, size_t count, void *context);
static enum error_code take_event(void *context, const struct sse_event *event);
static void take_text(struct call *call, const char *text);
static void take_error(struct call *call, const json_t *root);
static void take_body(struct call *call);
static enum load_outcome judge(
    const struct call *call, const char *prompt, CURLcode code);
static bool is_own_answer(const struct call *call, const char *prompt);
static bool is_own_service_answer(const struct call *call, const char *body);

void
load_call(const struct load_settings *settings,
    const struct load_request *request, bool direct, int64_t due_us,
    struct load_result *result)
{
	struct call call;
	struct sse_sink sink = {take_event, &call};
	CURLcode code;
	char *prompt;
	char *body;

	memset(&call, 0, sizeof(call));
	memset(result, 0, sizeof(*result));
	call.request = request;
	call.result = result;
	call.direct = direct;
	call.due_us = due_us;
	call.text = g_string_new(NULL);
	call.body = g_string_new(NULL);
	sse_reader_init(&call.events, EVENT_SIZE_MAX, sink);
	result->band = request->band;
	prompt = load_plan_prompt(settings, request);
	body = make_body(settings, request, direct, prompt);
	call.curl = curl_easy_init();
	set_target(&call, settings);
	curl_easy_setopt(call.curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(
	    call.curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)strlen(body));
	code = curl_easy_perform(call.curl);
	if (!call.is_stream)
		take_body(&call);
	result->outcome = judge(&call, prompt, code);
	result->total_us = clock_monotonic_us() - due_us;
	result->late = result->total_us > (int64_t)settings->deadline_ms * 1000;
	if (body != prompt)
		free(body);
	free(prompt);
	curl_easy_cleanup(call.curl);
	curl_slist_free_all(call.headers);
	sse_reader_finish(&call.events);
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

/* A call straight to the stand-in sends the prompt as it is. */
static char *
make_body(const struct load_settings *settings,
    const struct load_request *request, bool direct, const char *prompt)
{
	char *body;
	size_t size;

	if (direct || request->is_service_call)
		return (char *)prompt;
	size = request->prompt_size + HEADER_SIZE;
	body = malloc(size);
	snprintf(body, size,
	    "{\"model\":\"%s\",\"max_tokens\":%u,\"stream\":%s,"
	    "\"prompt\":\"%s\"}",
	    settings->model, settings->answer_tokens_max,
	    request->stream ? "true" : "false", prompt);
	return body;
}

static void
set_target(struct call *call, const struct load_settings *settings)
{
	const struct load_request *request = call->request;
	char text[URL_SIZE];

	if (call->direct)
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
	curl_easy_setopt(call->curl, CURLOPT_WRITEFUNCTION, take_bytes);
	curl_easy_setopt(call->curl, CURLOPT_WRITEDATA, call);
	add_header(call, "Expect", "");
	add_header(call, "Content-Type",
	    call->direct || request->is_service_call ? "text/plain"
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
	char line[2 * URL_SIZE];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	call->headers = curl_slist_append(call->headers, line);
}

static size_t
take_bytes(char *bytes, size_t size, size_t count, void *context)
{
	struct call *call = context;
	char *type;

	type = NULL;
	curl_easy_getinfo(call->curl, CURLINFO_CONTENT_TYPE, &type);
	call->is_stream =
	    type != NULL && g_str_has_prefix(type, "text/event-stream");
	if (call->is_stream)
		return sse_reader_feed(&call->events, bytes, size * count) ==
			       ERROR_NONE
			   ? size * count
			   : 0;
	if (call->body->len + size * count > BODY_SIZE_MAX_)
		return 0;
	g_string_append_len(call->body, bytes, (gssize)(size * count));
	return size * count;
}

static enum error_code
take_event(void *context, const struct sse_event *event)
{
	struct call *call = context;
	const json_t *choice;
	const json_t *usage;
	json_t *root;

	if (strcmp(event->data, "[DONE]") == 0) {
		call->ended = true;
		return ERROR_NONE;
	}
	root = json_loadb(event->data, event->data_size, 0, NULL);
	if (root == NULL)
		return ERROR_MALFORMED;
	if (strcmp(event->name, "error") == 0) {
		take_error(call, root);
	} else if (strcmp(event->name, "end") == 0) {
		call->ended = true;
		call->tokens =
		    json_integer_value(json_object_get(root, "answer_tokens"));
	} else if (call->direct) {
		take_text(
		    call, json_string_value(json_object_get(root, "text")));
	} else {
		choice = json_array_get(json_object_get(root, "choices"), 0);
		take_text(
		    call, json_string_value(json_object_get(choice, "text")));
		usage = json_object_get(root, "usage");
		if (usage != NULL)
			call->tokens = json_integer_value(
			    json_object_get(usage, "completion_tokens"));
	}
	json_decref(root);
	return ERROR_NONE;
}

static void
take_text(struct call *call, const char *text)
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
take_error(struct call *call, const json_t *root)
{
	const char *outcome;

	outcome = json_string_value(
	    json_object_get(json_object_get(root, "error"), "outcome"));
	if (outcome != NULL)
		g_strlcpy(call->outcome, outcome, sizeof(call->outcome));
}

static void
take_body(struct call *call)
{
	const json_t *choice;
	const char *text;
	json_t *root;

	root = json_loadb(call->body->str, call->body->len, 0, NULL);
	if (root == NULL)
		return;
	take_error(call, root);
	if (call->request->is_service_call && !call->direct) {
		call->ended = call->outcome[0] == '\0';
	} else {
		choice = json_array_get(json_object_get(root, "choices"), 0);
		text = json_string_value(json_object_get(choice, "text"));
		if (text != NULL) {
			g_string_append(call->text, text);
			call->ended = true;
		}
		call->tokens = json_integer_value(json_object_get(
		    json_object_get(root, "usage"), "completion_tokens"));
	}
	json_decref(root);
}

static enum load_outcome
judge(const struct call *call, const char *prompt, CURLcode code)
{
	bool own;

	if (strcmp(call->outcome, "not_run") == 0)
		return LOAD_OUTCOME_REFUSED;
	if (call->outcome[0] != '\0')
		return LOAD_OUTCOME_FAILED;
	if (code != CURLE_OK || !call->ended)
		return LOAD_OUTCOME_LOST;
	own = call->request->is_service_call && !call->direct
		  ? is_own_service_answer(call, prompt)
		  : is_own_answer(call, prompt);
	return own ? LOAD_OUTCOME_DONE : LOAD_OUTCOME_WRONG;
}

/* The stand-in's answer follows from the prompt, piece by piece. */
static bool
is_own_answer(const struct call *call, const char *prompt)
{
	char piece[ANSWER_PIECE_SIZE];
	uint64_t digest;
	size_t place;
	int64_t i;

	digest =
	    answer_digest_update(ANSWER_DIGEST_INITIAL, prompt, strlen(prompt));
	place = 0;
	for (i = 0; i < call->tokens; i++) {
		answer_piece_write(digest, (uint64_t)i, piece);
		if (!g_str_has_prefix(call->text->str + place, piece))
			return false;
		place += strlen(piece);
	}
	return call->tokens > 0 && place == call->text->len;
}

static bool
is_own_service_answer(const struct call *call, const char *body)
{
	char digest[17];
	json_t *root;
	bool own;

	snprintf(digest, sizeof(digest), "%016" PRIx64,
	    answer_digest_update(ANSWER_DIGEST_INITIAL, body, strlen(body)));
	root = json_loadb(call->body->str, call->body->len, 0, NULL);
	own = g_strcmp0(json_string_value(json_object_get(root, "digest")),
		  digest) == 0 &&
	      g_strcmp0(json_string_value(json_object_get(root, "key")),
		  call->request->key) == 0 &&
	      json_integer_value(json_object_get(root, "run")) == 1;
	json_decref(root);
	return own;
}
