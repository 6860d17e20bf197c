#include "transport/upstream_http.h"

#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "base/monotonic_clock.h"
#include "transport/upstream_control.h"
#include "transport/upstream_http_parts.h"

#define ATTEMPTS_MAX_DEFAULT	   4096
#define CONNECT_TIMEOUT_DEFAULT_MS 1000
#define CANCEL_TIMEOUT_DEFAULT_MS  2000
#define PIECE_SIZE_MAX_DEFAULT	   65536

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
	if (upstream_http_prepare(attempt))
		result = curl_easy_perform(attempt->curl);
	if (attempt->queue != NULL)
		upstream_http_push_outcome(attempt, result);
	finish_attempt(attempt);
	return NULL;
}
