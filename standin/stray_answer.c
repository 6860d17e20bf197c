#include "stray_answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CUT_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-st"
#define HEX_SIZE 17 /* 64-bit number in hex digits with NUL. */
/* Longest wait that is stated to a caller in whole seconds. */
#define SECONDS_SIZE 16

static bool is_due(uint32_t every, uint64_t run);

void
stray_answers_init(
    struct stray_answers *stray, const struct standin_settings *settings)
{
	memset(stray, 0, sizeof(*stray));
	stray->settings = settings;
	pthread_mutex_init(&stray->lock, NULL);
}

void
stray_answers_finish(struct stray_answers *stray)
{
	pthread_mutex_destroy(&stray->lock);
}

struct attempt_name
stray_answers_exchange(
    struct stray_answers *stray, const struct attempt_name *name)
{
	struct attempt_name before;

	pthread_mutex_lock(&stray->lock);
	before = stray->last;
	stray->last = *name;
	pthread_mutex_unlock(&stray->lock);
	return before;
}

bool
stray_answers_reply(const struct stray_answers *stray,
    struct http_exchange *exchange, uint64_t run,
    const struct attempt_name *other)
{
	const struct standin_settings *settings = stray->settings;
	struct caller_error error;

	if (is_due(settings->cut_head_every, run)) {
		http_reply_cut(exchange, CUT_HEAD);
		return true;
	}
	if (!is_due(settings->refuse_earlier_every, run))
		return false;
	memset(&error, 0, sizeof(error));
	error.code = ERROR_NO_CAPACITY;
	error.outcome = REQUEST_OUTCOME_NOT_RUN;
	stray_answers_refuse(exchange, other, &error);
	return true;
}

void
stray_answers_write_refusal(GString *out, const struct attempt_name *name)
{
	g_string_append_printf(out,
	    "event: error\ndata: {\"request\":\"%016" PRIx64
	    "\",\"attempt\":%u,\"error\":{\"type\":\"no_capacity\","
	    "\"message\":\"refused\",\"outcome\":\"not_run\","
	    "\"retry_after_ms\":0}}\n\n",
	    name->request_id, name->attempt);
}

void
stray_answers_refuse(struct http_exchange *exchange,
    const struct attempt_name *name, const struct caller_error *error)
{
	char seconds[SECONDS_SIZE];
	char number[HEX_SIZE];
	GString *body;
	json_t *root;

	body = g_string_new(NULL);
	caller_error_write(body, error);
	root = json_loadb(body->str, body->len, 0, NULL);
	g_string_free(body, TRUE);
	snprintf(number, sizeof(number), "%016" PRIx64, name->request_id);
	json_object_set_new(root, "request", json_string(number));
	json_object_set_new(root, "attempt", json_integer(name->attempt));
	if (caller_error_retry_after_s(error) > 0) {
		snprintf(seconds, sizeof(seconds), "%u",
		    caller_error_retry_after_s(error));
		http_set_header(exchange, "Retry-After", seconds);
	}
	http_reply_json(exchange, caller_error_status(error), root);
}

static bool
is_due(uint32_t every, uint64_t run)
{
	return every > 0 && run % every == 0;
}
