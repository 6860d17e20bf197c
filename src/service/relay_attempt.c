#include <string.h>

#include <jansson.h>

#include "base/event_log.h"
#include "service/relay_parts.h"

#define STATUS_MISDIRECTED 421
#define ANSWER_BYTES_MAX   ((size_t)32 * 1024 * 1024) /* Of a whole answer. */
#define FRESH_IDLE_MS	   700 /* Kept connections for unrepeatable calls. */
#define ANY_IDLE_MS	   INT64_MAX

static void note_reserved(void *context, enum error_code error);
static void send_request(struct relay_exchange *exchange);
static void note_sent(void *context);
static void note_head(void *context, struct http_head *head);
static void note_body(void *context, const char *data, size_t size);
static void note_done(void *context);
static void note_failed(void *context, enum error_code error);
static void note_refusal(struct relay_exchange *exchange);
static void excuse_upstream(struct relay_exchange *exchange, uint64_t fault);
static void keep_answer(struct relay_exchange *exchange);
static void go_on(struct relay_exchange *exchange, enum error_code error);
static void begin_events(
    struct relay_exchange *exchange, struct http_head *head);
static void pass_events(
    struct relay_exchange *exchange, const char *data, size_t size);
static void note_events(struct relay_exchange *exchange);
static void note_first_event(struct relay_exchange *exchange);
static void note_heard(struct relay_exchange *exchange);

void
relay_attempt_begin(struct relay_exchange *exchange)
{
	const struct placement_choice *choice = &exchange->choice;
	struct relay *relay = exchange->relay;
	int64_t now_ms;

	now_ms = host_now_ms();
	exchange->upstream_id = choice->upstream->id;
	g_strlcpy(exchange->upstream_name, choice->upstream->name,
	    sizeof(exchange->upstream_name));
	exchange->expected_ms = choice->wait_ms + choice->read_ms;
	exchange->place = choice->upstream->place;
	exchange->is_sent = false;
	exchange->was_good = false;
	exchange->verdict = 0;
	placement_begin(&relay->placement, &exchange->wants, choice, now_ms,
	    &exchange->work);
	relay_note_work(relay);
	if (exchange->wants.tried_count < PLACEMENT_TRIED_MAX)
		exchange->wants.tried[exchange->wants.tried_count++] =
		    choice->upstream->id;
	relay_trace_placed(exchange);
	if (choice->holder_count == 0) {
		send_request(exchange);
		return;
	}
	relay_holds_begin(
	    &exchange->holds, relay, choice, note_reserved, exchange);
}

static void
note_reserved(void *context, enum error_code error)
{
	struct relay_exchange *exchange = context;

	if (error != ERROR_NONE) {
		relay_attempt_failed(exchange, error, false);
		return;
	}
	send_request(exchange);
}

static void
send_request(struct relay_exchange *exchange)
{
	struct upstream_call_ops ops = {
	    .sent = note_sent,
	    .head = note_head,
	    .body = note_body,
	    .done = note_done,
	    .failed = note_failed,
	    .context = exchange,
	};
	int64_t idle_max_ms;
	bool may_repeat;
	GBytes *bytes;

	may_repeat = attempt_may_repeat(
	    exchange->route->kind, exchange->route->is_resumable);
	idle_max_ms = may_repeat ? ANY_IDLE_MS : FRESH_IDLE_MS;
	bytes = relay_request_bytes(exchange, host_now_ms());
	exchange->call =
	    upstream_pool_call(&exchange->relay->pool, exchange->place, bytes,
		relay_exchange_is_head(exchange), idle_max_ms, &ops);
	g_bytes_unref(bytes);
	if (exchange->call == NULL)
		note_failed(exchange, ERROR_CONNECTION);
	else
		relay_silence_watch(exchange);
}

void
relay_attempt_leave(struct relay_exchange *exchange)
{
	timer_cancel(&exchange->relay->timers, &exchange->stall_timer);
	if (exchange->probe != NULL)
		upstream_call_cancel(exchange->probe);
	exchange->probe = NULL;
	if (exchange->work.upstream_id != 0 || exchange->waiter.service != 0)
		relay_note_work(exchange->relay);
	placement_wait_end(&exchange->relay->placement, &exchange->waiter);
	placement_end(&exchange->relay->placement, &exchange->work);
	relay_holds_end(&exchange->holds, exchange->relay);
}

void
relay_attempt_failed(
    struct relay_exchange *exchange, enum error_code error, bool is_fault)
{
	relay_attempt_leave(exchange);
	if (is_fault)
		placement_note_failure(&exchange->relay->placement,
		    exchange->upstream_id, host_now_ms());
	if (exchange->is_sent)
		exchange->may_have_run = true;
	else if (error == ERROR_CONNECTION || error == ERROR_TIMEOUT ||
		 error == ERROR_NO_CAPACITY)
		exchange->unsent++;
	exchange->is_sent = false;
	relay_events_drop_partial(&exchange->events);
	event_log_fields(EVENT_REQUEST_RETRIED,
	    "{s:s,s:s,s:s,s:I,s:i,s:i,s:b,s:I}", "request",
	    exchange->attempt_id, "upstream", exchange->upstream_name, "why",
	    error_name(error), "age_ms",
	    (json_int_t)(host_now_ms() - exchange->arrived_ms), "sent",
	    (int)exchange->sent, "unsent", (int)exchange->unsent,
	    "may_have_run", exchange->may_have_run, "events",
	    (json_int_t)exchange->events.count);
	go_on(exchange, error);
}

static void
note_sent(void *context)
{
	struct relay_exchange *exchange = context;
	struct relay *relay = exchange->relay;

	exchange->is_sent = true;
	exchange->sent_ms = host_now_ms();
	exchange->heard_ms = exchange->sent_ms;
	exchange->is_reachable = false;
	if (exchange->sent > 0 || exchange->excused > 0) {
		retry_window_note_retry(
		    relay_budget(relay, exchange->service), host_now_ms());
		atomic_fetch_add(&relay->counters.retries, 1);
	}
	exchange->sent++;
}

static void
note_head(void *context, struct http_head *head)
{
	struct relay_exchange *exchange = context;
	const struct relay_dialect *dialect =
	    &exchange->relay->settings.dialect;
	struct answer_facts facts = {.status = head->status};
	const char *text;

	text = http_head_get(head, dialect->attempt_id);
	facts.is_own_attempt = text == NULL
				   ? exchange->attempt_id[0] == '\0'
				   : strcmp(text, exchange->attempt_id) == 0;
	facts.has_receipt = http_head_get(head, dialect->receipt) != NULL;
	facts.is_encoded = http_head_get(head, "Content-Encoding") != NULL;
	facts.is_refusal = http_head_get(head, dialect->refusal) != NULL;
	text = http_head_get(head, "Content-Type");
	facts.is_event_stream = exchange->route->kind == ROUTE_KIND_STREAM &&
				text != NULL &&
				g_ascii_strncasecmp(text, "text/event-stream",
				    strlen("text/event-stream")) == 0;
	exchange->verdict = answer_judge(&facts);
	if (exchange->verdict == ANSWER_FOREIGN) {
		upstream_call_cancel(exchange->call);
		exchange->call = NULL;
		relay_attempt_failed(exchange, ERROR_MALFORMED, true);
		return;
	}
	if (exchange->verdict == ANSWER_EVENTS) {
		begin_events(exchange, head);
		return;
	}
	timer_cancel(&exchange->relay->timers, &exchange->stall_timer);
	http_head_move(&exchange->coming, head);
	g_byte_array_set_size(exchange->coming_body, 0);
}

static void
note_body(void *context, const char *data, size_t size)
{
	struct relay_exchange *exchange = context;

	if (exchange->verdict == ANSWER_EVENTS) {
		pass_events(exchange, data, size);
		return;
	}
	if (exchange->coming_body->len + size > ANSWER_BYTES_MAX) {
		upstream_call_cancel(exchange->call);
		exchange->call = NULL;
		relay_attempt_failed(exchange, ERROR_TOO_LARGE, true);
		return;
	}
	g_byte_array_append(
	    exchange->coming_body, (const guint8 *)data, (guint)size);
}

static void
note_done(void *context)
{
	struct relay_exchange *exchange = context;

	exchange->call = NULL;
	if (exchange->verdict == ANSWER_EVENTS) {
		if (relay_events_is_partial(&exchange->events)) {
			relay_attempt_failed(exchange, ERROR_INCOMPLETE, true);
			return;
		}
		relay_attempt_leave(exchange);
		relay_answer_end(exchange->caller);
		relay_exchange_finish(exchange, END_ANSWERED, ERROR_NONE);
		return;
	}
	if (exchange->verdict == ANSWER_NOT_RUN) {
		note_refusal(exchange);
		return;
	}
	if (exchange->is_answering) {
		/* A stream that goes on elsewhere was answered otherwise. */
		relay_attempt_failed(exchange, ERROR_UPSTREAM_FAILED, true);
		return;
	}
	keep_answer(exchange);
	if (answer_is_failure(exchange->answer.status)) {
		relay_attempt_failed(exchange, ERROR_UPSTREAM_FAILED, true);
		return;
	}
	placement_note_good(&exchange->relay->placement, exchange->upstream_id);
	relay_attempt_leave(exchange);
	relay_exchange_deliver(exchange);
}

static void
note_failed(void *context, enum error_code error)
{
	struct relay_exchange *exchange = context;

	exchange->call = NULL;
	relay_attempt_failed(exchange, error, true);
}

/* It did not run; the upstream may say that a helper was at fault. */
static void
note_refusal(struct relay_exchange *exchange)
{
	const char *fault;

	fault = http_head_get(
	    &exchange->coming, exchange->relay->settings.dialect.fault_at);
	event_log_fields(EVENT_REQUEST_REFUSED, "{s:s,s:s,s:i,s:s,s:f}",
	    "request", exchange->attempt_id, "upstream",
	    exchange->upstream_name, "status", (int)exchange->coming.status,
	    "at_fault", fault == NULL ? "" : fault, "prompt_tokens",
	    exchange->wants.prompt_tokens);
	exchange->is_sent = false;
	if (fault != NULL && upstream_place(fault) != 0 &&
	    upstream_place(fault) != exchange->place)
		excuse_upstream(exchange, upstream_place(fault));
	relay_attempt_failed(exchange, ERROR_UPSTREAM_REFUSED,
	    exchange->coming.status == STATUS_MISDIRECTED);
}

/* A helper was at fault, not the upstream: it may be asked again without the
 * helper, which is the same upstream as far as the route's bound goes. */
static void
excuse_upstream(struct relay_exchange *exchange, uint64_t fault)
{
	enum fault_step step;

	placement_note_fault(&exchange->relay->placement, fault, host_now_ms());
	relay_note_work(exchange->relay);
	step = helper_fault_next(exchange->excused);
	if (step == FAULT_COUNTS || exchange->sent == 0 ||
	    exchange->wants.tried_count == 0)
		return;
	exchange->wants.is_alone = step == FAULT_EXCUSED_ALONE;
	exchange->excused++;
	exchange->sent--;
	exchange->wants.tried_count--;
}

/* The last whole answer stays: a further attempt may bring none. */
static void
keep_answer(struct relay_exchange *exchange)
{
	GByteArray *body = exchange->answer_body;

	http_head_move(&exchange->answer, &exchange->coming);
	exchange->answer_body = exchange->coming_body;
	exchange->coming_body = body;
	exchange->has_answer = true;
}

static void
go_on(struct relay_exchange *exchange, enum error_code error)
{
	struct relay *relay = exchange->relay;
	struct attempt_state state = {
	    .kind = exchange->route->kind,
	    .is_resumable = exchange->route->is_resumable,
	    .may_have_run = exchange->may_have_run,
	    .has_answer_begun = exchange->is_answering,
	    .is_last_whole = exchange->has_answer,
	    .sent = exchange->sent,
	    .sent_max = exchange->route->attempts_max,
	    .unsent = exchange->unsent,
	    .left_ms = relay_exchange_left_ms(exchange),
	};

	state.has_budget =
	    retry_window_allows(relay_budget(relay, exchange->service),
		relay_retry_slack(relay), host_now_ms());
	switch (attempt_next(&state)) {
	case ATTEMPT_AGAIN:
		if (exchange->is_answering)
			atomic_fetch_add(&relay->counters.resumes, 1);
		if (relay_exchange_resolve(exchange))
			relay_exchange_place(exchange);
		return;
	case ATTEMPT_DELIVER:
		relay_exchange_deliver(exchange);
		return;
	case ATTEMPT_REFUSE:
		relay_answer_own(exchange->caller, STATUS_UNAVAILABLE,
		    "it did not run; come again", RETRY_AFTER_MS);
		relay_exchange_finish(exchange, END_REFUSED, error);
		return;
	case ATTEMPT_FAIL:
		relay_answer_own(exchange->caller, STATUS_BAD_GATEWAY,
		    "the upstream failed", 0);
		relay_exchange_finish(exchange, END_FAILED, error);
		return;
	case ATTEMPT_BREAK:
		relay_exchange_break(exchange, error);
		return;
	}
}

static void
begin_events(struct relay_exchange *exchange, struct http_head *head)
{
	if (exchange->is_answering)
		return;
	relay_answer_begin(exchange->caller, head);
	exchange->is_answering = true;
}

static void
pass_events(struct relay_exchange *exchange, const char *data, size_t size)
{
	GByteArray *out;

	out = g_byte_array_new();
	if (relay_events_take(&exchange->events, data, size, out) > 0) {
		relay_answer_piece(exchange->caller, out->data, out->len);
		if (!exchange->was_good)
			placement_note_good(
			    &exchange->relay->placement, exchange->upstream_id);
		placement_note_read(
		    &exchange->relay->placement, &exchange->work);
		if (!exchange->was_good) {
			relay_note_work(exchange->relay);
			note_first_event(exchange);
			event_log_fields(EVENT_REQUEST_STARTED,
			    "{s:s,s:s,s:I,s:f}", "request",
			    exchange->attempt_id, "upstream",
			    exchange->upstream_name, "ms",
			    (json_int_t)(host_now_ms() - exchange->sent_ms),
			    "expected_ms", exchange->expected_ms);
		}
		exchange->was_good = true;
		note_heard(exchange);
		note_events(exchange);
	}
	g_byte_array_unref(out);
}

/* What its caller saw, whichever upstream the events came from. */
static void
note_events(struct relay_exchange *exchange)
{
	int64_t now_ms = host_now_ms();

	if (exchange->first_event_ms == 0)
		exchange->first_event_ms = now_ms;
	else
		exchange->longest_pause_ms = MAX(exchange->longest_pause_ms,
		    now_ms - exchange->last_event_ms);
	exchange->last_event_ms = now_ms;
}

/* A stream that went on elsewhere had its first event long ago. */
static void
note_first_event(struct relay_exchange *exchange)
{
	if (exchange->wants.is_begun)
		return;
	metrics_observe(exchange->relay->counters.first_event_ms,
	    (double)(host_now_ms() - exchange->arrived_ms));
}

static void
note_heard(struct relay_exchange *exchange)
{
	exchange->heard_ms = host_now_ms();
	exchange->is_reachable = false;
	placement_note_progress(&exchange->relay->placement,
	    exchange->upstream_id, exchange->sent_ms, exchange->heard_ms);
}
