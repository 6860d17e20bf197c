#include "api/api.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/monotonic_clock.h"
#include "request/request_run.h"

/* A stream's headers are held back this long for the first text or an error, so
 * that an early error still gets its own HTTP status. */
#define EARLY_ERROR_WAIT_MS 1000

/* How often a run without a stream checks whether its caller disconnected. */
#define CALLER_CHECK_INTERVAL_MS 500

#define US_PER_S	  1000000
#define CONTENT_TYPE_JSON "application/json"

/* State of a streamed answer, from the first text until the stream closes. */
struct answer_stream {
	struct request_run run;
	struct completions_answer answer;
	enum completions_kind kind;
	char model[NAME_SIZE_MAX];
	bool is_first;
	bool is_ended;
};

static void answer_completions(struct host *host,
    struct http_exchange *exchange, enum completions_kind kind);
/* Reads the caller's headers and account and checks this host's limits. Replies
 * with the error and returns false if the request can't be admitted. */
static bool check_caller(struct host *host, struct http_exchange *exchange,
    struct request_input *input);
static void refuse_unknown_account(
    struct host *host, struct http_exchange *exchange);
static bool find_account(struct host *host, struct request_input *input);
static void assign_request_id(struct host *host, struct request_input *input);
/* Runs the request and replies with the whole answer or an error. */
static void answer_whole(struct host *host, struct http_exchange *exchange,
    const struct request_input *input, struct completions_answer *answer);
static void answer_stream(struct host *host, struct http_exchange *exchange,
    const struct request_input *input, const struct completions_answer *answer);
static void run_to_end(struct request_run *run, struct http_exchange *exchange);
/* Called by the HTTP server for more of the stream; waits at most until
 * deadline_ms. */
static enum http_stream_state stream_next(
    void *context, GString *out, int64_t deadline_ms);
/* Called by the HTTP server when the stream was sent or the caller left. */
static void stream_closed(void *context, bool is_complete);
static const char *path_after_service(
    const struct http_exchange *exchange, const char *service);

void
api_completions(void *context, struct http_exchange *exchange)
{
	answer_completions(context, exchange, COMPLETIONS_KIND_TEXT);
}

void
api_chat_completions(void *context, struct http_exchange *exchange)
{
	answer_completions(context, exchange, COMPLETIONS_KIND_CHAT);
}

void
api_service_call(void *context, struct http_exchange *exchange)
{
	struct host *host = context;
	struct request_input input = {0};
	struct request_run *run;
	const char *service, *type;
	size_t size;
	char *body;

	if (!check_caller(host, exchange, &input))
		return;
	service = http_parameter(exchange, "service");
	if (service == NULL || strlen(service) >= NAME_SIZE_MAX) {
		api_refuse(exchange, ERROR_NOT_FOUND, "no such service");
		return;
	}
	body = http_take_body(exchange, &size);
	input.body = shared_text_copy(body == NULL ? "" : body, size);
	free(body);
	assign_request_id(host, &input);
	service_call_fill_facts(service, input.body, &input.headers,
	    host->fingerprint_key, host_now_ms(), &input.facts);
	snprintf(input.path, sizeof(input.path), "%s",
	    path_after_service(exchange, service));
	type = http_header(exchange, "Content-Type");
	snprintf(input.content_type, sizeof(input.content_type), "%s",
	    type == NULL ? "application/octet-stream" : type);
	run = g_new(struct request_run, 1);
	request_run_init(run, host, &input);
	run_to_end(run, exchange);
	if (run->result.code == ERROR_NONE)
		http_reply(exchange, run->status, run->answer_type,
		    run->text->str, run->text->len);
	else
		http_reply_error(exchange, &run->result);
	request_run_finish(run);
	g_free(run);
}

void
api_refuse(
    struct http_exchange *exchange, enum error_code code, const char *message)
{
	struct caller_error error = {.code = code,
	    .outcome = REQUEST_OUTCOME_NOT_RUN,
	    .message = message};

	http_reply_error(exchange, &error);
}

static void
answer_completions(struct host *host, struct http_exchange *exchange,
    enum completions_kind kind)
{
	struct completions_request request = {0};
	struct completions_answer answer = {0};
	struct request_input input = {0};
	struct field_error problem = {0};
	enum error_code error;
	size_t size;
	char *body;

	if (!check_caller(host, exchange, &input))
		return;
	body = http_take_body(exchange, &size);
	error = completions_parse(
	    kind, body == NULL ? "" : body, size, &request, &problem);
	free(body);
	if (error != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		return;
	}
	assign_request_id(host, &input);
	completions_fill_facts(&request, &input.headers, host->fingerprint_key,
	    host_now_ms(), &input.facts);
	input.body = shared_text_ref(request.prompt);
	answer.kind = kind;
	answer.request_id = input.facts.id;
	answer.created_s = clock_wall_us() / US_PER_S;
	answer.model = request.model;
	answer.prompt_tokens = input.facts.prompt_tokens;
	if (request.stream)
		answer_stream(host, exchange, &input, &answer);
	else
		answer_whole(host, exchange, &input, &answer);
	completions_request_finish(&request);
}

static bool
check_caller(struct host *host, struct http_exchange *exchange,
    struct request_input *input)
{
	struct field_error problem = {0};

	if (caller_headers_parse(http_header_source(exchange),
		host->settings.default_deadline_ms, &input->headers,
		&problem) != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		return false;
	}
	if (input->headers.deadline_ms > host->settings.deadline_max_ms) {
		api_refuse(exchange, ERROR_BAD_VALUE,
		    "X-Request-Deadline-Ms is above timing.deadline_max_ms");
		return false;
	}
	if (!find_account(host, input)) {
		refuse_unknown_account(host, exchange);
		return false;
	}
	if (atomic_load(&host->running_requests) >=
	    host->settings.streams_max) {
		api_refuse(exchange, ERROR_TABLE_FULL,
		    "this host already runs limits.streams_max requests");
		return false;
	}
	return true;
}

/* Without a lease, this host can't know whether the account was just added. */
static void
refuse_unknown_account(struct host *host, struct http_exchange *exchange)
{
	if (host_confirmed_remaining(host) == 0)
		api_refuse(exchange, ERROR_LEASE_EXPIRED,
		    "this host can't confirm its configuration");
	else
		api_refuse(exchange, ERROR_UNAUTHENTICATED,
		    "no client account has this token");
}

static bool
find_account(struct host *host, struct request_input *input)
{
	const struct intent_account *account;
	const struct fleet_view *view;

	view = fleet_lock(&host->fleet);
	account = intent_account_by_token(view->intent, input->headers.token);
	if (account != NULL) {
		input->facts.account_index = account->index;
		snprintf(input->facts.client_account,
		    sizeof(input->facts.client_account), "%s", account->name);
	}
	fleet_unlock(view);
	return account != NULL;
}

static void
assign_request_id(struct host *host, struct request_input *input)
{
	input->facts.id = host_new_request_id(host);
}

static void
answer_whole(struct host *host, struct http_exchange *exchange,
    const struct request_input *input, struct completions_answer *answer)
{
	struct request_run *run;
	GString *out;

	run = g_new(struct request_run, 1);
	request_run_init(run, host, input);
	run_to_end(run, exchange);
	if (run->result.code == ERROR_NONE) {
		answer->answer_tokens = run->answer_tokens;
		answer->stopped_by_length = run->stopped_by_length;
		out = g_string_new(NULL);
		completions_write_answer(
		    out, answer, run->text->str, run->text->len);
		http_reply(
		    exchange, 200, CONTENT_TYPE_JSON, out->str, out->len);
		g_string_free(out, TRUE);
	} else {
		http_reply_error(exchange, &run->result);
	}
	request_run_finish(run);
	g_free(run);
}

/* Replies with a stream. An error within EARLY_ERROR_WAIT_MS and before the
 * first text is replied with its own HTTP status; a later one is an event in
 * the stream. */
static void
answer_stream(struct host *host, struct http_exchange *exchange,
    const struct request_input *input, const struct completions_answer *answer)
{
	struct http_stream stream = {stream_next, stream_closed, NULL};
	struct request_input streamed = *input;
	struct answer_stream *state;

	streamed.is_stream = true;
	state = g_new0(struct answer_stream, 1);
	state->answer = *answer;
	snprintf(state->model, sizeof(state->model), "%s", answer->model);
	state->answer.model = state->model;
	state->is_first = true;
	request_run_init(&state->run, host, &streamed);
	request_run_advance(&state->run, host_now_ms() + EARLY_ERROR_WAIT_MS);
	if (state->run.state == REQUEST_STATE_ENDED &&
	    state->run.result.code != ERROR_NONE && state->run.text->len == 0) {
		http_reply_error(exchange, &state->run.result);
		request_run_finish(&state->run);
		g_free(state);
		return;
	}
	stream.context = state;
	http_reply_stream(exchange, &stream);
}

/* Runs the request to its end; cancels it if the caller disconnects. */
static void
run_to_end(struct request_run *run, struct http_exchange *exchange)
{
	while (run->state != REQUEST_STATE_ENDED) {
		request_run_advance(
		    run, host_now_ms() + CALLER_CHECK_INTERVAL_MS);
		if (run->state != REQUEST_STATE_ENDED &&
		    http_caller_disconnected(exchange))
			request_run_cancel(run);
	}
}

static enum http_stream_state
stream_next(void *context, GString *out, int64_t deadline_ms)
{
	struct answer_stream *state = context;
	struct request_run *run = &state->run;

	if (run->text->len == 0)
		request_run_advance(run, deadline_ms);
	if (run->text->len > 0) {
		completions_write_piece(out, &state->answer, run->text->str,
		    run->text->len, state->is_first);
		state->is_first = false;
		g_string_set_size(run->text, 0);
	}
	if (run->state != REQUEST_STATE_ENDED)
		return HTTP_STREAM_MORE;
	if (run->result.code == ERROR_NONE) {
		state->answer.answer_tokens = run->answer_tokens;
		state->answer.stopped_by_length = run->stopped_by_length;
		completions_write_end(out, &state->answer);
	} else {
		caller_error_write_event(out, &run->result);
	}
	return HTTP_STREAM_END;
}

static void
stream_closed(void *context, bool is_complete)
{
	struct answer_stream *state = context;

	if (!is_complete)
		request_run_cancel(&state->run);
	request_run_finish(&state->run);
	g_free(state);
}

/* The part of the path after "/v1/services/<service>/". */
static const char *
path_after_service(const struct http_exchange *exchange, const char *service)
{
	const char *at;

	at = strstr(http_path(exchange), service);
	if (at == NULL)
		return "";
	at += strlen(service);
	return at[0] == '/' ? at + 1 : at;
}
