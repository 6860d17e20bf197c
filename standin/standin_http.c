#include "standin_http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "answer.h"
#include "protocol/request_priority.h"
#include "protocol/sse.h"

#define RETRY_AFTER_MS 500 /* Advice with a refusal for load. */
#define BREAK_PIECES   2   /* Pieces before a stream breaks off. */
#define CALL_PREFIX    "/service/v1/call/"

/* An answer being streamed. */
struct piece_stream {
	struct standin *standin;
	struct engine_job *job;
	uint64_t request;
	uint32_t attempt;
	uint64_t position; /* Next piece to send. */
	bool is_resumed;
};

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
static uint64_t read_number(
    struct http_exchange *exchange, const char *name, int base);
static bool serves(const struct standin *standin, const char *model);
static void refuse(struct http_exchange *exchange, enum error_code code);
static bool check_incarnation(struct standin *standin,
    struct http_exchange *exchange, uint64_t incarnation);
static void stream_job(struct standin *standin, struct http_exchange *exchange,
    struct engine_job *job, uint32_t attempt, uint64_t position);
static enum http_stream_state next_pieces(
    void *context, GString *out, int64_t deadline_ms);
static bool breaks_off(
    const struct piece_stream *stream, const struct engine_view *view);
static void write_pieces(
    struct piece_stream *stream, const struct engine_view *view, GString *out);
static void write_piece(const struct piece_stream *stream,
    const struct engine_view *view, uint64_t sequence, GString *out);
static void write_end(const struct piece_stream *stream,
    const struct engine_view *view, GString *out);
static void write_cancelled(const struct piece_stream *stream, GString *out);
static void close_pieces(void *context, bool whole);
static json_t *load_body(struct http_exchange *exchange);
static bool read_reservation(struct standin *standin,
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
	struct engine_work work;
	struct engine_job *job;
	enum error_code error;
	const char *text;
	size_t size;

	if (!check_incarnation(
		standin, exchange, read_number(exchange, "incarnation", 10)))
		return;
	text = http_parameter(exchange, "model");
	if (text == NULL || !serves(standin, text)) {
		refuse(exchange, ERROR_NOT_FOUND);
		return;
	}
	memset(&work, 0, sizeof(work));
	work.request = read_number(exchange, "request", 16);
	work.attempt = (uint32_t)read_number(exchange, "attempt", 10);
	work.answer_tokens_max =
	    (uint32_t)read_number(exchange, "answer_tokens_max", 10);
	work.reservation = read_number(exchange, "reservation", 16);
	work.idempotency_key = http_header(exchange, "Idempotency-Key");
	work.priority = REQUEST_PRIORITY_NORMAL;
	text = http_parameter(exchange, "priority");
	if (text != NULL &&
	    request_priority_parse(text, &work.priority) != ERROR_NONE) {
		refuse(exchange, ERROR_BAD_VALUE);
		return;
	}
	work.prompt = http_body(exchange, &size);
	work.prompt_size = size;
	if (size == 0) {
		refuse(exchange, ERROR_MISSING_FIELD);
		return;
	}
	error = engine_submit(&standin->engine, &work, &job);
	if (error != ERROR_NONE) {
		refuse(exchange, error);
		return;
	}
	free(http_take_body(exchange, &size));
	stream_job(standin, exchange, job, work.attempt, 0);
}

static void
handle_resume(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	struct engine_job *job;
	enum error_code error;

	if (!check_incarnation(
		standin, exchange, read_number(exchange, "incarnation", 10)))
		return;
	error = engine_resume(&standin->engine,
	    read_number(exchange, "request", 16),
	    (uint32_t)read_number(exchange, "from_attempt", 10), &job);
	if (error != ERROR_NONE) {
		refuse(exchange, error);
		return;
	}
	stream_job(standin, exchange, job,
	    (uint32_t)read_number(exchange, "attempt", 10),
	    read_number(exchange, "position", 10));
}

static void
handle_cancel(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;

	reply_done(exchange, engine_cancel(&standin->engine,
				 read_number(exchange, "request", 16)));
}

static void
handle_kv_reserve(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	struct field_error particulars;
	uint64_t reservation;
	uint64_t tokens;
	json_t *body;

	if (!read_reservation(standin, exchange, &body, &reservation))
		return;
	if (field_read_uint(body, "tokens", 1, INT64_MAX, &tokens,
		&particulars) != ERROR_NONE)
		http_reply_field_error(exchange, &particulars);
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

	if (!read_reservation(standin, exchange, &body, &id))
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
	struct field_error particulars;
	uint64_t reservation;
	uint64_t tokens;
	uint64_t digest;
	json_t *body;

	if (!read_reservation(standin, exchange, &body, &reservation))
		return;
	if (field_read_uint(body, "tokens", 0, INT64_MAX, &tokens,
		&particulars) != ERROR_NONE ||
	    field_read_hex(body, "content_digest", &digest, &particulars) !=
		ERROR_NONE)
		http_reply_field_error(exchange, &particulars);
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

	if (!read_reservation(standin, exchange, &body, &reservation))
		return;
	json_decref(body);
	reply_done(exchange, engine_kv_release(&standin->engine, reservation));
}

static void
handle_kv_held(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;

	http_reply_json(exchange, 200, engine_kv_held(&standin->engine));
}

static void
handle_order(void *context, struct http_exchange *exchange)
{
	static const char *const states[] = {"", "running", "done", "failed"};
	struct standin *standin = context;
	struct field_error particulars;
	struct upstream_order order;
	enum upstream_order_state state;
	enum error_code error;
	char verb[NAME_SIZE_MAX];
	uint64_t incarnation;
	json_t *body;

	body = load_body(exchange);
	if (body == NULL)
		return;
	memset(&order, 0, sizeof(order));
	if (field_read_text(body, "order", order.id, sizeof(order.id),
		&particulars) != ERROR_NONE ||
	    field_read_text(body, "verb", verb, sizeof(verb), &particulars) !=
		ERROR_NONE ||
	    field_read_text(body, "subject", order.subject,
		sizeof(order.subject), &particulars) != ERROR_NONE ||
	    field_read_uint(body, "fencing", 0, INT64_MAX,
		&order.fencing_number, &particulars) != ERROR_NONE ||
	    field_read_uint(body, "incarnation", 0, INT64_MAX, &incarnation,
		&particulars) != ERROR_NONE) {
		http_reply_field_error(exchange, &particulars);
		goto done;
	}
	if (json_is_string(json_object_get(body, "value")))
		g_strlcpy(order.value,
		    json_string_value(json_object_get(body, "value")),
		    sizeof(order.value));
	if (!check_incarnation(standin, exchange, incarnation))
		goto done;
	error = order_book_give(&standin->orders, &order, verb, &state);
	if (error != ERROR_NONE)
		refuse(exchange, error);
	else
		http_reply_json(
		    exchange, 200, json_pack("{s:s}", "state", states[state]));

done:
	json_decref(body);
}

static void
handle_call(void *context, struct http_exchange *exchange)
{
	struct standin *standin = context;
	const char *marker = standin->settings.crash_marker;
	const char *key;
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
	run = plain_service_run(&standin->service, key,
	    id == NULL ? 0 : strtoull(id, NULL, 16), 1, crashes);
	if (run == 0) {
		http_set_header(exchange, "X-Request-Outcome", "not_run");
		refuse(exchange, ERROR_NO_CAPACITY);
		return;
	}
	snprintf(digest, sizeof(digest), "%016" PRIx64,
	    answer_digest(ANSWER_DIGEST_START, size == 0 ? "" : body, size));
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

static uint64_t
read_number(struct http_exchange *exchange, const char *name, int base)
{
	const char *value;

	value = http_parameter(exchange, name);
	return value == NULL ? 0 : strtoull(value, NULL, base);
}

static bool
serves(const struct standin *standin, const char *model)
{
	return standin->settings.record.kind == UPSTREAM_KIND_MODEL &&
	       upstream_serves(&standin->settings.record, model);
}

/* All refusals of the stand-in come before anything has run. */
static void
refuse(struct http_exchange *exchange, enum error_code code)
{
	struct caller_error error;

	memset(&error, 0, sizeof(error));
	error.code = code;
	error.outcome = REQUEST_OUTCOME_NOT_RUN;
	if (code == ERROR_NO_CAPACITY || code == ERROR_SHUTTING_DOWN)
		error.retry_after_ms = RETRY_AFTER_MS;
	http_reply_error(exchange, &error);
}

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

static void
stream_job(struct standin *standin, struct http_exchange *exchange,
    struct engine_job *job, uint32_t attempt, uint64_t position)
{
	struct http_stream stream;
	struct piece_stream *pieces;

	pieces = g_new0(struct piece_stream, 1);
	pieces->standin = standin;
	pieces->job = job;
	pieces->request = read_number(exchange, "request", 16);
	pieces->attempt = attempt;
	pieces->position = position;
	pieces->is_resumed = http_parameter(exchange, "from_attempt") != NULL;
	stream.next = next_pieces;
	stream.on_closed = close_pieces;
	stream.context = pieces;
	http_reply_stream(exchange, &stream);
}

static enum http_stream_state
next_pieces(void *context, GString *out, int64_t deadline_ms)
{
	struct piece_stream *stream = context;
	struct engine_view view;

	engine_wait(&stream->standin->engine, stream->job, stream->position,
	    deadline_ms, &view);
	if (breaks_off(stream, &view))
		return HTTP_STREAM_END;
	if (view.state == JOB_STATE_CANCELLED) {
		write_cancelled(stream, out);
		return HTTP_STREAM_END;
	}
	write_pieces(stream, &view, out);
	if (view.state != JOB_STATE_DONE)
		return HTTP_STREAM_MORE;
	write_end(stream, &view, out);
	return HTTP_STREAM_END;
}

static bool
breaks_off(const struct piece_stream *stream, const struct engine_view *view)
{
	const uint32_t every = stream->standin->settings.break_every;

	return every > 0 && !stream->is_resumed && view->run % every == 0 &&
	       view->produced >= BREAK_PIECES;
}

static void
write_pieces(
    struct piece_stream *stream, const struct engine_view *view, GString *out)
{
	const struct standin_settings *settings = &stream->standin->settings;
	uint64_t sequence;

	while (stream->position < view->produced) {
		sequence = stream->position++;
		if (settings->reorder_every > 0 &&
		    (sequence + 1) % settings->reorder_every == 0 &&
		    stream->position < view->produced) {
			write_piece(stream, view, stream->position, out);
			write_piece(stream, view, sequence, out);
			stream->position++;
			continue;
		}
		write_piece(stream, view, sequence, out);
		if (settings->duplicate_every > 0 &&
		    (sequence + 1) % settings->duplicate_every == 0)
			write_piece(stream, view, sequence, out);
	}
}

static void
write_piece(const struct piece_stream *stream, const struct engine_view *view,
    uint64_t sequence, GString *out)
{
	char text[ANSWER_PIECE_SIZE];

	answer_piece(view->digest, sequence, text);
	g_string_append_printf(out,
	    "data: {\"request\":\"%016" PRIx64
	    "\",\"attempt\":%u,\"sequence\":%" PRIu64
	    ",\"text\":\"%s\",\"tokens\":1}\n\n",
	    stream->request, stream->attempt, sequence, text);
}

static void
write_end(const struct piece_stream *stream, const struct engine_view *view,
    GString *out)
{
	g_string_append_printf(out,
	    "event: end\ndata: {\"request\":\"%016" PRIx64
	    "\",\"attempt\":%u,\"pieces\":%" PRIu64
	    ",\"prompt_tokens\":%" PRIu64 ",\"answer_tokens\":%" PRIu64
	    ",\"finish\":\"%s\"}\n\n",
	    stream->request, stream->attempt, view->total, view->prompt_tokens,
	    view->total, view->stopped_by_length ? "length" : "stop");
}

static void
write_cancelled(const struct piece_stream *stream, GString *out)
{
	g_string_append_printf(out,
	    "event: error\ndata: {\"request\":\"%016" PRIx64
	    "\",\"attempt\":%u,\"error\":{\"type\":\"cancelled\","
	    "\"message\":\"dropped\",\"outcome\":\"failed\","
	    "\"retry_after_ms\":0}}\n\n",
	    stream->request, stream->attempt);
}

static void
close_pieces(void *context, bool whole)
{
	struct piece_stream *stream = context;

	(void)whole;
	engine_give_back(&stream->standin->engine, stream->job);
	g_free(stream);
}

static json_t *
load_body(struct http_exchange *exchange)
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

static bool
read_reservation(struct standin *standin, struct http_exchange *exchange,
    json_t **body, uint64_t *reservation)
{
	struct field_error particulars;
	uint64_t incarnation;

	*body = load_body(exchange);
	if (*body == NULL)
		return false;
	if (field_read_hex(*body, "reservation", reservation, &particulars) !=
		ERROR_NONE ||
	    field_read_uint(*body, "incarnation", 0, INT64_MAX, &incarnation,
		&particulars) != ERROR_NONE) {
		http_reply_field_error(exchange, &particulars);
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
