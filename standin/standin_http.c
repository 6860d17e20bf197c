#include "standin_http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "answer.h"
#include "piece_stream.h"
#include "protocol/request_priority.h"

/* Time after which a caller refused for lack of capacity, or because the
 * stand-in is stopping, is advised to retry. */
#define RETRY_AFTER_MS 500
#define CALL_PREFIX    "/service/v1/call/"

static void handle_generate(void *context, struct http_exchange *exchange);
static void handle_resume(void *context, struct http_exchange *exchange);
static void handle_cancel(void *context, struct http_exchange *exchange);
static void handle_kv_reserve(void *context, struct http_exchange *exchange);
static void handle_kv_export(void *context, struct http_exchange *exchange);
static void handle_kv_import(void *context, struct http_exchange *exchange);
static void handle_kv_release(void *context, struct http_exchange *exchange);
static void handle_kv_held(void *context, struct http_exchange *exchange);
static void handle_order(void *context, struct http_exchange *exchange);
static void handle_call(void *context, struct http_exchange *exchange);
static void handle_counters(void *context, struct http_exchange *exchange);
static void handle_turn_cold(void *context, struct http_exchange *exchange);
static void handle_health(void *context, struct http_exchange *exchange);
static uint64_t parse_number_parameter(
    struct http_exchange *exchange, const char *name, int base);
static struct attempt_name parse_name(struct http_exchange *exchange);
static bool serves_model(const struct standin *standin, const char *model);
static void refuse(struct http_exchange *exchange, enum error_code code);
static bool check_incarnation(struct standin *standin,
    struct http_exchange *exchange, uint64_t incarnation);
static void answer_job(struct standin *standin, struct http_exchange *exchange,
    struct engine_job *job, const struct attempt_name *name);
static json_t *parse_json_body(struct http_exchange *exchange);
static bool parse_reservation_body(struct standin *standin,
    struct http_exchange *exchange, json_t **body, uint64_t *reservation);
static void reply_done(struct http_exchange *exchange, enum error_code error);

const struct http_route standin_routes[] = {
    {"POST", "/engine/v1/generate", handle_generate},
    {"POST", "/engine/v1/resume", handle_resume},
    {"POST", "/engine/v1/cancel", handle_cancel},
    {"POST", "/engine/v1/kv/reserve", handle_kv_reserve},
    {"POST", "/engine/v1/kv/export", handle_kv_export},
    {"POST", "/engine/v1/kv/import", handle_kv_import},
    {"POST", "/engine/v1/kv/release", handle_kv_release},
    {"GET", "/engine/v1/kv/held", handle_kv_held},
    {"POST", "/engine/v1/order", handle_order},
    {"POST", "/service/v1/call/*", handle_call},
    {"GET", "/standin/v1/counters", handle_counters},
    {"POST", "/standin/v1/turn-cold", handle_turn_cold},
    {"GET", "/healthz", handle_health},
};
const size_t standin_route_count = G_N_ELEMENTS(standin_routes);

static void
handle_generate(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	struct engine_request request;
	struct attempt_name name;
	struct engine_job *job;
	enum error_code error;
	const char *text;
	size_t size;

	if (!check_incarnation(standin, exchange,
		parse_number_parameter(exchange, "incarnation", 10)))
		return;
	text = http_parameter(exchange, "model");
	if (text == NULL || !serves_model(standin, text)) {
		refuse(exchange, ERROR_NOT_FOUND);
		return;
	}
	memset(&request, 0, sizeof(request));
	request.request_id = parse_number_parameter(exchange, "request", 16);
	request.attempt =
	    (uint32_t)parse_number_parameter(exchange, "attempt", 10);
	request.answer_tokens_max =
	    (uint32_t)parse_number_parameter(exchange, "answer_tokens_max", 10);
	request.reservation =
	    parse_number_parameter(exchange, "reservation", 16);
	request.idempotency_key = http_header(exchange, "Idempotency-Key");
	request.priority = REQUEST_PRIORITY_NORMAL;
	text = http_parameter(exchange, "priority");
	if (text != NULL &&
	    request_priority_parse(text, &request.priority) != ERROR_NONE) {
		refuse(exchange, ERROR_BAD_VALUE);
		return;
	}
	request.prompt = http_body(exchange, &size);
	request.prompt_size = size;
	if (size == 0) {
		refuse(exchange, ERROR_MISSING_FIELD);
		return;
	}
	error = engine_submit(&standin->engine, &request, &job);
	if (error != ERROR_NONE) {
		refuse(exchange, error);
		return;
	}
	/* The engine keeps no copy of the prompt; free it before streaming. */
	free(http_take_body(exchange, &size));
	name.request_id = request.request_id;
	name.attempt = request.attempt;
	answer_job(standin, exchange, job, &name);
}

static void
handle_resume(void *context, struct http_exchange *exchange)
{
	struct attempt_name other = {0, 0};
	struct standin *standin = context;
	struct attempt_name name;
	struct engine_job *job;
	enum error_code error;

	if (!check_incarnation(standin, exchange,
		parse_number_parameter(exchange, "incarnation", 10)))
		return;
	error = engine_resume(&standin->engine,
	    parse_number_parameter(exchange, "request", 16),
	    (uint32_t)parse_number_parameter(exchange, "from_attempt", 10),
	    &job);
	if (error != ERROR_NONE) {
		refuse(exchange, error);
		return;
	}
	name = parse_name(exchange);
	piece_stream_reply(standin, exchange, job, &name, &other,
	    parse_number_parameter(exchange, "position", 10));
}

static void
handle_cancel(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;

	reply_done(
	    exchange, engine_cancel(&standin->engine,
			  parse_number_parameter(exchange, "request", 16)));
}

static void
handle_kv_reserve(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	struct field_error problem;
	uint64_t reservation;
	uint64_t tokens;
	json_t *body;

	if (!parse_reservation_body(standin, exchange, &body, &reservation))
		return;
	if (field_read_uint(body, "tokens", 1, INT64_MAX, &tokens, &problem) !=
	    ERROR_NONE)
		http_reply_field_error(exchange, &problem);
	else
		reply_done(exchange,
		    engine_kv_reserve(&standin->engine, reservation, tokens));
	json_decref(body);
}

static void
handle_kv_export(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	struct kv_reservation reservation;
	enum error_code error;
	char digest[17];
	uint64_t id;
	json_t *body;

	if (!parse_reservation_body(standin, exchange, &body, &id))
		return;
	json_decref(body);
	error = engine_kv_export(&standin->engine, id, &reservation);
	if (error != ERROR_NONE) {
		refuse(exchange, error);
		return;
	}
	snprintf(
	    digest, sizeof(digest), "%016" PRIx64, reservation.content_digest);
	http_reply_json(exchange, 200,
	    json_pack("{s:I, s:s}", "tokens",
		(json_int_t)reservation.covered_tokens, "content_digest",
		digest));
}

static void
handle_kv_import(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	struct field_error problem;
	uint64_t reservation;
	uint64_t tokens;
	uint64_t digest;
	json_t *body;

	if (!parse_reservation_body(standin, exchange, &body, &reservation))
		return;
	if (field_read_uint(body, "tokens", 0, INT64_MAX, &tokens, &problem) !=
		ERROR_NONE ||
	    field_read_hex(body, "content_digest", &digest, &problem) !=
		ERROR_NONE)
		http_reply_field_error(exchange, &problem);
	else
		reply_done(exchange, engine_kv_import(&standin->engine,
					 reservation, tokens, digest));
	json_decref(body);
}

static void
handle_kv_release(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	uint64_t reservation;
	json_t *body;

	if (!parse_reservation_body(standin, exchange, &body, &reservation))
		return;
	json_decref(body);
	reply_done(exchange, engine_kv_release(&standin->engine, reservation));
}

static void
handle_kv_held(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;

	http_reply_json(exchange, 200, engine_kv_held_json(&standin->engine));
}

static void
handle_order(void *context, struct http_exchange *exchange)
{
	static const char *const states[] = {"", "running", "done", "failed"};
	struct standin *standin = context;
	struct field_error problem;
	struct upstream_order order;
	enum upstream_order_state state;
	enum error_code error;
	char verb[NAME_SIZE_MAX];
	uint64_t incarnation;
	json_t *body;

	body = parse_json_body(exchange);
	if (body == NULL)
		return;
	memset(&order, 0, sizeof(order));
	if (field_read_text(body, "order", order.id, sizeof(order.id),
		&problem) != ERROR_NONE ||
	    field_read_text(body, "verb", verb, sizeof(verb), &problem) !=
		ERROR_NONE ||
	    field_read_text(body, "subject", order.subject,
		sizeof(order.subject), &problem) != ERROR_NONE ||
	    field_read_uint(body, "fencing", 0, INT64_MAX,
		&order.fencing_number, &problem) != ERROR_NONE ||
	    field_read_uint(body, "incarnation", 0, INT64_MAX, &incarnation,
		&problem) != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		goto done;
	}
	if (json_is_string(json_object_get(body, "value")))
		g_strlcpy(order.value,
		    json_string_value(json_object_get(body, "value")),
		    sizeof(order.value));
	if (!check_incarnation(standin, exchange, incarnation))
		goto done;
	error = order_book_submit(&standin->orders, &order, verb, &state);
	if (error != ERROR_NONE)
		refuse(exchange, error);
	else
		http_reply_json(exchange, 200,
		    json_pack("{s:s, s:s}", "order", order.id, "state",
			states[state]));

done:
	json_decref(body);
}

static void
handle_call(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	const char *marker = standin->settings.crash_marker;
	const char *key;
	const char *attempt;
	const char *body;
	const char *id;
	char digest[17];
	uint64_t run;
	size_t size;
	bool crashes;

	body = http_body(exchange, &size);
	crashes = marker[0] != '\0' && size > 0 &&
		  g_strstr_len(body, (gssize)size, marker) != NULL;
	key = http_header(exchange, "Idempotency-Key");
	id = http_header(exchange, "X-Request-Id");
	if (id != NULL)
		http_set_header(exchange, "X-Request-Id", id);
	attempt = http_header(exchange, "X-Request-Attempt");
	if (attempt != NULL)
		http_set_header(exchange, "X-Request-Attempt", attempt);
	run = plain_service_run(&standin->service, key,
	    id == NULL ? 0 : strtoull(id, NULL, 16), 1, crashes);
	if (run == 0) {
		http_set_header(exchange, "X-Request-Outcome", "not_run");
		refuse(exchange, ERROR_NO_CAPACITY);
		return;
	}
	snprintf(digest, sizeof(digest), "%016" PRIx64,
	    answer_digest_update(
		ANSWER_DIGEST_INITIAL, size == 0 ? "" : body, size));
	http_reply_json(exchange, 200,
	    json_pack("{s:s, s:s, s:s, s:s, s:I}", "service",
		standin->settings.record.name, "path",
		http_path(exchange) + strlen(CALL_PREFIX), "key",
		key == NULL ? "" : key, "digest", digest, "run",
		(json_int_t)run));
}

static void
handle_counters(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	const struct upstream_record *record = &standin->settings.record;
	json_t *answer;

	if (record->kind == UPSTREAM_KIND_SERVICE)
		answer = plain_service_counters_json(&standin->service);
	else
		answer = engine_counters_json(&standin->engine);
	json_object_set_new(answer, "name", json_string(record->name));
	json_object_set_new(answer, "incarnation",
	    json_integer((json_int_t)record->incarnation));
	json_object_set_new(
	    answer, "orders", order_book_json(&standin->orders));
	http_reply_json(exchange, 200, answer);
}

static void
handle_turn_cold(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;

	engine_turn_cold(&standin->engine);
	reply_done(exchange, ERROR_NONE);
}

static void
handle_health(void *context, struct http_exchange *exchange)
{
	(void)context;
	reply_done(exchange, ERROR_NONE);
}

/* Returns a number from the query string, or 0 if the parameter is missing. */
static uint64_t
parse_number_parameter(
    struct http_exchange *exchange, const char *name, int base)
{
	const char *value;

	value = http_parameter(exchange, name);
	return value == NULL ? 0 : strtoull(value, NULL, base);
}

/* Returns the request and the attempt that the query names. */
static struct attempt_name
parse_name(struct http_exchange *exchange)
{
	struct attempt_name name;

	name.request_id = parse_number_parameter(exchange, "request", 16);
	name.attempt =
	    (uint32_t)parse_number_parameter(exchange, "attempt", 10);
	return name;
}

static bool
serves_model(const struct standin *standin, const char *model)
{
	return standin->settings.record.kind == UPSTREAM_KIND_MODEL &&
	       upstream_serves(&standin->settings.record, model);
}

/* Refuses a request. The outcome is always "not run", since the stand-in
 * refuses requests only before it runs them. */
static void
refuse(struct http_exchange *exchange, enum error_code code)
{
	struct caller_error error;
	struct attempt_name name;

	memset(&error, 0, sizeof(error));
	error.code = code;
	error.outcome = REQUEST_OUTCOME_NOT_RUN;
	if (code == ERROR_NO_CAPACITY || code == ERROR_SHUTTING_DOWN)
		error.retry_after_ms = RETRY_AFTER_MS;
	name = parse_name(exchange);
	if (name.attempt != 0)
		stray_answers_refuse(exchange, &name, &error);
	else
		http_reply_error(exchange, &error);
}

/* Refuses a request to another incarnation of the stand-in and returns false;
 * incarnation 0 matches any. */
static bool
check_incarnation(struct standin *standin, struct http_exchange *exchange,
    uint64_t incarnation)
{
	if (incarnation == 0 ||
	    incarnation == standin->settings.record.incarnation)
		return true;
	refuse(exchange, ERROR_STALE);
	return false;
}

/* Answers an accepted request, wrongly if the settings ask for it. */
static void
answer_job(struct standin *standin, struct http_exchange *exchange,
    struct engine_job *job, const struct attempt_name *name)
{
	struct engine_job_progress progress;
	struct attempt_name other;

	other = stray_answers_exchange(&standin->stray, name);
	engine_wait(&standin->engine, job, 0, 0, &progress);
	if (stray_answers_reply(
		&standin->stray, exchange, progress.run, &other))
		engine_release_job(&standin->engine, job);
	else
		piece_stream_reply(standin, exchange, job, name, &other, 0);
}

/* Returns the body as a JSON object, which the caller releases. If it isn't
 * one, refuses the request and returns NULL. */
static json_t *
parse_json_body(struct http_exchange *exchange)
{
	const char *body;
	json_t *root;
	size_t size;

	body = http_body(exchange, &size);
	root = json_loadb(body == NULL ? "" : body, size, 0, NULL);
	if (!json_is_object(root)) {
		json_decref(root);
		refuse(exchange, ERROR_MALFORMED);
		return NULL;
	}
	return root;
}

/* Reads the body of a KV memory request and the id of its reservation, and
 * checks the incarnation. On success returns true and the body, which the
 * caller releases; otherwise has already answered the request. */
static bool
parse_reservation_body(struct standin *standin, struct http_exchange *exchange,
    json_t **body, uint64_t *reservation)
{
	struct field_error problem;
	uint64_t incarnation;

	*body = parse_json_body(exchange);
	if (*body == NULL)
		return false;
	if (field_read_hex(*body, "reservation", reservation, &problem) !=
		ERROR_NONE ||
	    field_read_uint(*body, "incarnation", 0, INT64_MAX, &incarnation,
		&problem) != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		json_decref(*body);
		return false;
	}
	if (!check_incarnation(standin, exchange, incarnation)) {
		json_decref(*body);
		return false;
	}
	return true;
}

static void
reply_done(struct http_exchange *exchange, enum error_code error)
{
	if (error != ERROR_NONE)
		refuse(exchange, error);
	else
		http_reply_json(
		    exchange, 200, json_pack("{s:s}", "state", "done"));
}
