#include <string.h>

#include <jansson.h>

#include "base/event_log.h"
#include "relay/relay_parts.h"

/* A hash as 16 hexadecimal digits, and its bytes with NUL. */
#define HASH_FORMAT    "%016" G_GINT64_MODIFIER "x"
#define HASH_TEXT_SIZE 17
/* Largest body of an answer that is held until it is complete, and of all that
 * are held at a time. */
#define ANSWER_BYTES_MAX ((size_t)8 * 1024 * 1024)
#define HELD_BYTES_MAX	 ((size_t)48 * 1024 * 1024)
/* Longest idle time of a reused connection, by whether the request may be
 * repeated. The peer may close a connection that was idle for long just while a
 * request is sent on it; only a repeatable request can then be sent again. */
#define NO_REPEAT_IDLE_MAX_MS  700
#define REPEATABLE_IDLE_MAX_MS INT64_MAX

static void log_retried(
    const struct relay_exchange *exchange, enum error_code error);
static void on_connected(void *context);
static GBytes *make_request(void *context);
static void on_sent(void *context);
static enum pool_answer on_head(void *context, struct http_head *head);
static void on_body(void *context, const char *data, size_t size);
static void on_chunk_end(void *context);
static void drop_partial_body(struct relay_exchange *exchange);
static void on_done(void *context);
static void on_failed(void *context, enum error_code error);
static void store_answer(struct relay_exchange *exchange);
static void take_next_step(
    struct relay_exchange *exchange, enum error_code error);

void
relay_attempt_prepare(struct relay_exchange *exchange,
    const struct attempt_ops *ops, uint64_t address, double expected_ms)
{
	exchange->attempt = ops;
	exchange->upstream_id = 0;
	exchange->upstream_incarnation = 0;
	exchange->upstream_name[0] = '\0';
	exchange->upstream_address = address;
	exchange->expected_ms = expected_ms;
	exchange->is_sent = false;
	exchange->has_progress = false;
	exchange->has_survived = false;
	exchange->answer_class = 0;
}

void
relay_attempt_send(struct relay_exchange *exchange)
{
	struct pool_call_ops ops = {
	    .on_connected = on_connected,
	    .make_request = make_request,
	    .on_sent = on_sent,
	    .on_head = on_head,
	    .on_body = on_body,
	    .on_chunk_end = on_chunk_end,
	    .on_done = on_done,
	    .on_failed = on_failed,
	    .context = exchange,
	};
	struct pool_request request = {
	    .id = http_head_get(
		&exchange->head, exchange->relay->settings.dialect.attempt_id),
	    .is_head_method = relay_exchange_is_head_request(exchange),
	};
	bool may_repeat;

	may_repeat = may_repeat_request(
	    exchange->route->kind, exchange->route->is_resumable);
	request.idle_max_ms =
	    may_repeat ? REPEATABLE_IDLE_MAX_MS : NO_REPEAT_IDLE_MAX_MS;
	exchange->call = upstream_pool_call(
	    &exchange->relay->pool, exchange->upstream_address, &request, &ops);
	/* Without a socket this host lacks something, not the upstream. */
	if (exchange->call == NULL)
		relay_attempt_failed(exchange, ERROR_NO_CAPACITY, false);
	else
		relay_silence_watch(exchange);
}

void
relay_attempt_end(struct relay_exchange *exchange)
{
	timer_cancel(&exchange->relay->timers, &exchange->stall_timer);
	if (exchange->probe != NULL)
		pool_call_cancel(exchange->probe);
	exchange->probe = NULL;
	if (exchange->work.upstream_id != 0 ||
	    exchange->queue_entry.service != 0)
		relay_schedule_report(exchange->relay);
	placement_queue_leave(
	    &exchange->relay->placement, &exchange->queue_entry);
	if (exchange->attempt != NULL)
		exchange->attempt->on_end(exchange);
	exchange->attempt = NULL;
}

void
relay_attempt_failed(
    struct relay_exchange *exchange, enum error_code error, bool is_fault)
{
	exchange->attempt->on_failed(exchange, error, is_fault);
	relay_attempt_end(exchange);
	if (exchange->is_sent)
		exchange->may_have_run = true;
	exchange->is_sent = false;
	relay_events_drop_partial(&exchange->events);
	log_retried(exchange, error);
	take_next_step(exchange, error);
}

void
relay_attempt_abort(
    struct relay_exchange *exchange, enum error_code error, bool is_fault)
{
	if (exchange->call != NULL)
		pool_call_cancel(exchange->call);
	exchange->call = NULL;
	relay_attempt_failed(exchange, error, is_fault);
}

/* The fingerprint is logged once it is known: when the request was suspected of
 * a crash, or while any request is. */
static void
log_retried(const struct relay_exchange *exchange, enum error_code error)
{
	const struct request_key *key = &exchange->key;
	char fingerprint[HASH_TEXT_SIZE] = "";
	GString *parts;
	uint32_t i;

	if (key->fingerprint != 0)
		g_snprintf(fingerprint, sizeof(fingerprint), HASH_FORMAT,
		    (guint64)key->fingerprint);
	parts = g_string_new(NULL);
	for (i = 0; i < key->part_count; i++)
		g_string_append_printf(parts, "%s" HASH_FORMAT,
		    i == 0 ? "" : ",", (guint64)key->parts[i]);
	event_log_write_fields(EVENT_REQUEST_RETRIED,
	    "{s:s,s:s,s:s,s:I,s:i,s:i,s:i,s:b,s:I,s:s,s:s}", "request",
	    exchange->attempt_id, "upstream", exchange->upstream_name, "why",
	    error_name(error), "age_ms",
	    (json_int_t)(host_now_ms() - exchange->arrived_ms), "sent",
	    (int)exchange->attempts_sent, "unsent",
	    (int)exchange->attempts_unsent, "absent",
	    (int)exchange->attempts_absent, "may_have_run",
	    exchange->may_have_run, "events",
	    (json_int_t)exchange->events.count, "fingerprint", fingerprint,
	    "parts", parts->str);
	g_string_free(parts, TRUE);
}

static void
on_connected(void *context)
{
	struct relay_exchange *exchange = context;

	exchange->attempt->on_connected(exchange);
}

static GBytes *
make_request(void *context)
{
	struct relay_exchange *exchange = context;

	return exchange->attempt->bytes(exchange, host_now_ms());
}

static void
on_sent(void *context)
{
	struct relay_exchange *exchange = context;
	struct relay *relay = exchange->relay;

	exchange->is_sent = true;
	exchange->attempt->on_sent(exchange);
	exchange->sent_ms = host_now_ms();
	exchange->last_progress_ms = exchange->sent_ms;
	exchange->is_reachable = false;
	if (exchange->attempts_sent > 0 || exchange->excused_attempts > 0) {
		retry_window_record_retry(
		    relay_retry_budget(relay, exchange->service),
		    host_now_ms());
		atomic_fetch_add(&relay->counters.retries, 1);
	}
	exchange->attempts_sent++;
}

static enum pool_answer
on_head(void *context, struct http_head *head)
{
	struct relay_exchange *exchange = context;
	struct answer_facts *facts = &exchange->facts;

	relay_head_read(exchange, head, facts);
	if (facts->owner == ANSWER_OF_REQUEST &&
	    !exchange->attempt->read_head(exchange, head)) {
		relay_attempt_abort(exchange, ERROR_MALFORMED, true);
		return POOL_ANSWER_TAKE;
	}
	exchange->answer_class = classify_answer(facts);
	relay_trace_head(exchange, head);
	if (exchange->answer_class == ANSWER_REPEATED)
		return POOL_ANSWER_DISCARD;
	if (exchange->answer_class == ANSWER_MISMATCHED) {
		relay_attempt_abort(exchange, ERROR_MALFORMED, true);
		return POOL_ANSWER_TAKE;
	}
	relay_head_record_notice(exchange, head);
	if (exchange->answer_class == ANSWER_EVENTS) {
		relay_stream_begin(exchange, head);
		return POOL_ANSWER_TAKE;
	}
	timer_cancel(&exchange->relay->timers, &exchange->stall_timer);
	http_head_move(&exchange->partial_head, head);
	drop_partial_body(exchange);
	return POOL_ANSWER_TAKE;
}

static void
on_body(void *context, const char *data, size_t size)
{
	struct relay_exchange *exchange = context;
	_Atomic uint64_t *held_bytes = &exchange->relay->counters.held_bytes;
	bool is_fault;

	if (exchange->answer_class == ANSWER_EVENTS) {
		relay_stream_add(exchange, data, size);
		return;
	}
	is_fault = exchange->partial_body->len + size > ANSWER_BYTES_MAX;
	if (is_fault || atomic_load(held_bytes) + size > HELD_BYTES_MAX) {
		drop_partial_body(exchange);
		relay_attempt_abort(exchange, ERROR_TOO_LARGE, is_fault);
		return;
	}
	atomic_fetch_add(held_bytes, size);
	g_byte_array_append(
	    exchange->partial_body, (const guint8 *)data, (guint)size);
}

static void
on_chunk_end(void *context)
{
	struct relay_exchange *exchange = context;

	if (exchange->answer_class == ANSWER_EVENTS)
		relay_stream_forward(exchange);
}

/* Frees what was received of an answer that is held until it is whole. */
static void
drop_partial_body(struct relay_exchange *exchange)
{
	atomic_fetch_sub(
	    &exchange->relay->counters.held_bytes, exchange->partial_body->len);
	g_byte_array_unref(exchange->partial_body);
	exchange->partial_body = g_byte_array_new();
}

static void
on_done(void *context)
{
	struct relay_exchange *exchange = context;

	exchange->call = NULL;
	if (exchange->answer_class == ANSWER_EVENTS) {
		if (!relay_stream_is_whole(exchange)) {
			relay_attempt_failed(exchange, ERROR_INCOMPLETE, true);
			return;
		}
		exchange->attempt->on_answered(exchange);
		relay_attempt_end(exchange);
		relay_answer_end(exchange->caller);
		relay_exchange_finish(exchange, END_ANSWERED, ERROR_NONE);
		return;
	}
	if (exchange->answer_class == ANSWER_NOT_RUN) {
		exchange->attempt->on_refusal(exchange);
		return;
	}
	if (exchange->answer_class == ANSWER_UNCONFIRMED) {
		relay_attempt_failed(exchange, ERROR_UPSTREAM_FAILED,
		    answer_is_failure(exchange->facts.status));
		return;
	}
	if (exchange->is_answering) {
		/* The caller has part of an event stream, and the upstream
		 * that should continue it sent an answer of another type. */
		relay_attempt_failed(exchange, ERROR_UPSTREAM_FAILED, true);
		return;
	}
	store_answer(exchange);
	if (answer_is_failure(exchange->answer.status)) {
		relay_attempt_failed(exchange, ERROR_UPSTREAM_FAILED, true);
		return;
	}
	placement_record_success(
	    &exchange->relay->placement, exchange->upstream_id);
	exchange->attempt->on_answered(exchange);
	relay_attempt_end(exchange);
	relay_exchange_deliver(exchange);
}

static void
on_failed(void *context, enum error_code error)
{
	struct relay_exchange *exchange = context;

	exchange->call = NULL;
	if (error == ERROR_INCOMPLETE)
		exchange->attempt->on_broken(exchange);
	if (!exchange->is_sent)
		exchange->attempt->on_unreached(exchange);
	relay_attempt_failed(exchange, error, true);
}

/* Stores the answer as the last complete one. It is delivered if no further
 * attempt brings a complete answer. */
static void
store_answer(struct relay_exchange *exchange)
{
	GByteArray *body = exchange->answer_body;

	http_head_move(&exchange->answer, &exchange->partial_head);
	exchange->answer_body = exchange->partial_body;
	exchange->partial_body = body;
	exchange->has_answer = true;
}

static void
take_next_step(struct relay_exchange *exchange, enum error_code error)
{
	struct relay *relay = exchange->relay;
	struct attempt_state state = {
	    .kind = exchange->route->kind,
	    .is_resumable = exchange->route->is_resumable &&
			    relay_events_can_resume(&exchange->events),
	    .may_have_run = exchange->may_have_run,
	    .has_answer_begun = exchange->is_answering,
	    .is_last_whole = exchange->has_answer,
	    .sent = exchange->attempts_sent,
	    .sent_max = relay_exchange_attempts_max(exchange),
	    .unsent = exchange->attempts_unsent,
	    .absent = exchange->attempts_absent,
	    .remaining_ms = relay_exchange_remaining_ms(exchange),
	};

	state.has_budget =
	    retry_window_allows(relay_retry_budget(relay, exchange->service),
		relay_retry_slack(relay), host_now_ms());
	switch (choose_attempt_step(&state)) {
	case ATTEMPT_RETRY:
		if (exchange->is_answering)
			atomic_fetch_add(&relay->counters.resumes, 1);
		if (relay_exchange_resolve(exchange))
			relay_exchange_place(exchange);
		return;
	case ATTEMPT_DELIVER:
		relay_exchange_deliver(exchange);
		return;
	case ATTEMPT_REFUSE:
		relay_exchange_refuse(exchange, "it did not run; come again",
		    RETRY_AFTER_DEFAULT_MS, error);
		return;
	case ATTEMPT_FAIL:
		relay_answer_json(exchange->caller, STATUS_BAD_GATEWAY,
		    "the upstream failed", 0);
		relay_exchange_finish(exchange, END_FAILED, error);
		return;
	case ATTEMPT_ABORT:
		relay_exchange_abort(exchange, error);
		return;
	}
}
