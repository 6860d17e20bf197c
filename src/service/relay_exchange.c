#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/event_log.h"
#include "service/relay_parts.h"

#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND    404
#define STATUS_MISDIRECTED  421
#define STATUS_BAD_GATEWAY  502
#define STATUS_UNAVAILABLE  503
#define STATUS_LATE	    504

#define WAIT_STEP_MS	  15   /* Between tries to place a request. */
#define WAIT_GOAL_PART	  2    /* Longest wait, as part of the goal. */
#define RETRY_AFTER_MS	  400  /* Said when nothing better is known. */
#define EXCUSED_MAX	  3    /* Tries that failed by a helper's fault. */
#define START_HOLD_MS	  1000 /* Held at most by a host that starts. */
#define STOPPING_AFTER_MS 100  /* Another host takes it at once. */
#define START_AFTER_MS	  1500 /* A host that starts, or upstreams that do. */
#define ANSWER_BYTES_MAX  ((size_t)32 * 1024 * 1024) /* Of a whole answer. */
#define SILENCE_LOOK_MS	  150  /* Between looks at a silent upstream. */
#define PLAIN_GOALS	  3    /* Silence of a plain upstream, in goals. */
#define PATIENCE_MIN_MS	  2000 /* Callers bear at least this silence... */
#define PATIENCE_GOALS	  4    /* ...or the longest of so many goals... */
#define PATIENCE_GAPS	  8    /* ...and so many pauses. */
#define FRESH_IDLE_MS	  700  /* Kept connections for unrepeatable calls. */
#define ANY_IDLE_MS	  INT64_MAX

/* How a request ended, for the log and the counters. */
enum exchange_end {
	END_ANSWERED,
	END_REFUSED,
	END_DENIED,
	END_FAILED,
	END_BROKEN,
	END_LEFT,
};

static const char *const end_names[] = {
    "answered", "refused", "denied", "failed", "broken", "left"};

static void start(struct relay_exchange *exchange);
static bool is_too_late(const struct relay_exchange *exchange);
static void run_start(void *context);
static bool hold_for_start(struct relay_exchange *exchange);
static bool resolve(struct relay_exchange *exchange);
static void deny(
    struct relay_exchange *exchange, uint32_t status, const char *reason);
static void read_request(struct relay_exchange *exchange);
static void read_tokens(struct placement_request *wants, const char *text);
static void place(struct relay_exchange *exchange);
static void wait_for_turn(struct relay_exchange *exchange);
static void wait_for_place(
    struct relay_exchange *exchange, enum error_code error);
static int64_t retry_after_ms(
    struct relay_exchange *exchange, enum error_code error);
static void run_wait(void *context);
static void send_to(
    struct relay_exchange *exchange, struct placement_choice *choice);
static void watch_silence(struct relay_exchange *exchange);
static void run_silence(void *context);
static int64_t patience_of(const struct route *route);
static void note_probed(void *context, enum error_code error);
static void leave_silent(struct relay_exchange *exchange);
static void run_deadline(void *context);
static void note_heard(struct relay_exchange *exchange);
static void note_first_event(struct relay_exchange *exchange);
static void note_sent(void *context);
static void note_head(void *context, struct http_head *head);
static void note_body(void *context, const char *data, size_t size);
static void note_done(void *context);
static void note_failed(void *context, enum error_code error);
static void note_refusal(struct relay_exchange *exchange);
static void excuse_upstream(struct relay_exchange *exchange, uint64_t fault);
static void keep_answer(struct relay_exchange *exchange);
static void leave_upstream(struct relay_exchange *exchange);
static void attempt_failed(
    struct relay_exchange *exchange, enum error_code error, bool is_fault);
static void go_on(struct relay_exchange *exchange, enum error_code error);
static void pass_events(
    struct relay_exchange *exchange, const char *data, size_t size);
static void begin_events(
    struct relay_exchange *exchange, struct http_head *head);
static void finish(struct relay_exchange *exchange, enum exchange_end end,
    enum error_code error);
static void log_end(const struct relay_exchange *exchange,
    enum exchange_end end, enum error_code error);
static void log_waits(struct relay_exchange *exchange);
static void log_placed(const struct relay_exchange *exchange,
    const struct placement_choice *choice);
static void free_exchange(struct relay_exchange *exchange);
static bool is_head_method(const struct relay_exchange *exchange);
static int64_t time_left(const struct relay_exchange *exchange);

void
relay_exchange_begin(struct relay_caller *caller)
{
	struct relay *relay = caller->relay;
	struct relay_exchange *exchange;

	exchange = g_new0(struct relay_exchange, 1);
	exchange->relay = relay;
	exchange->caller = caller;
	exchange->body = g_byte_array_new();
	exchange->coming_body = g_byte_array_new();
	exchange->answer_body = g_byte_array_new();
	exchange->arrived_ms = caller->begun_ms;
	caller->exchange = exchange;
	relay->running++;
	atomic_fetch_add(&relay->counters.requests, 1);
	http_head_move(&exchange->head, &caller->reader.head);
	if (caller->body->len > 0) {
		g_byte_array_unref(exchange->body);
		exchange->body = caller->body;
		caller->body = g_byte_array_new();
	}
	exchange->weight_draw = (uint32_t)random_word(&relay->random);
	read_request(exchange);
	start(exchange);
}

void
relay_exchange_cancel(struct relay_exchange *exchange)
{
	exchange->caller = NULL;
	finish(exchange, END_LEFT, ERROR_CANCELLED);
}

static void
start(struct relay_exchange *exchange)
{
	struct relay *relay = exchange->relay;

	if (is_too_late(exchange)) {
		relay_answer_own(exchange->caller, STATUS_UNAVAILABLE,
		    "this host is stopping", STOPPING_AFTER_MS);
		finish(exchange, END_REFUSED, ERROR_SHUTTING_DOWN);
		return;
	}
	if (!resolve(exchange))
		return;
	exchange->deadline_ms = MIN(exchange->deadline_ms,
	    exchange->arrived_ms + exchange->route->timeout_ms);
	exchange->wait_until_ms =
	    host_now_ms() + exchange->route->goal_ms / WAIT_GOAL_PART;
	if (exchange->relay->placement.upstreams != NULL &&
	    g_hash_table_size(exchange->relay->placement.upstreams) == 0)
		exchange->wait_until_ms = host_now_ms() + START_HOLD_MS;
	retry_window_note_request(
	    relay_budget(relay, exchange->service), host_now_ms());
	/* Without a timer the caller's own time limit ends it. */
	(void)timer_subscribe_once(&relay->timers, time_left(exchange),
	    (struct timer_callback){run_deadline, exchange},
	    &exchange->deadline_timer);
	place(exchange);
}

/* Finds route, account and service by the newest table; answers if the
 * request is not allowed, and returns false then. */
static bool
resolve(struct relay_exchange *exchange)
{
	const struct relay_dialect *dialect =
	    &exchange->relay->settings.dialect;
	struct relay *relay = exchange->relay;
	const char *host, *key;

	relay_refresh(relay);
	if (relay->table == NULL && hold_for_start(exchange))
		return false;
	if (relay->table == NULL) {
		relay_answer_own(exchange->caller, STATUS_UNAVAILABLE,
		    "no configuration yet",
		    retry_after_ms(exchange, ERROR_LEASE_EXPIRED));
		finish(exchange, END_REFUSED, ERROR_LEASE_EXPIRED);
		return false;
	}
	if (exchange->table != relay->table) {
		route_table_unref(exchange->table);
		exchange->table = route_table_ref(relay->table);
	}
	host = http_head_get(&exchange->head, "Host");
	exchange->route =
	    route_table_find(exchange->table, host, exchange->head.target->str);
	if (exchange->route == NULL) {
		deny(exchange, STATUS_NOT_FOUND, "no such route");
		return false;
	}
	key = http_head_get(&exchange->head, dialect->account_key);
	exchange->account =
	    key == NULL ? NULL : route_table_account(exchange->table, key);
	if (exchange->account == NULL && !exchange->route->is_public &&
	    exchange->table->accounts_by_key != NULL) {
		deny(exchange, STATUS_UNAUTHORIZED, "unknown key");
		return false;
	}
	exchange->service = route_pick(exchange->route, exchange->weight_draw);
	exchange->wants.route = exchange->route;
	exchange->wants.service = exchange->service;
	return true;
}

/* The balancer still sends callers here while too few hosts are ready; what
 * begins now could not end before the process does. */
static bool
is_too_late(const struct relay_exchange *exchange)
{
	const struct relay *relay = exchange->relay;

	return relay->stop_begun_ms != 0 &&
	       exchange->arrived_ms >
		   relay->stop_begun_ms + relay->settings.stop_accept_ms;
}

/* A host that starts knows its routes within a second, mostly. */
static bool
hold_for_start(struct relay_exchange *exchange)
{
	return host_now_ms() - exchange->arrived_ms < START_HOLD_MS &&
	       timer_subscribe_once(&exchange->relay->timers, WAIT_STEP_MS,
		   (struct timer_callback){run_start, exchange},
		   &exchange->wait_timer) == ERROR_NONE;
}

static void
run_start(void *context)
{
	start(context);
}

static void
deny(struct relay_exchange *exchange, uint32_t status, const char *reason)
{
	if (exchange->is_answering) {
		relay_caller_break(exchange->caller);
		exchange->caller = NULL;
		finish(exchange, END_BROKEN, ERROR_FORBIDDEN);
		return;
	}
	/* Some attempt may have run under the older table. */
	if (exchange->may_have_run)
		status = STATUS_BAD_GATEWAY;
	relay_answer_own(exchange->caller, status, reason, 0);
	finish(exchange, END_DENIED, ERROR_FORBIDDEN);
}

static void
read_request(struct relay_exchange *exchange)
{
	const struct relay_dialect *dialect =
	    &exchange->relay->settings.dialect;
	const char *text;
	gint64 deadline_ms;

	text = http_head_get(&exchange->head, dialect->attempt_id);
	if (text != NULL)
		g_strlcpy(
		    exchange->attempt_id, text, sizeof(exchange->attempt_id));
	exchange->deadline_ms = INT64_MAX;
	text = http_head_get(&exchange->head, dialect->deadline);
	if (text != NULL) {
		deadline_ms = g_ascii_strtoll(text, NULL, 10);
		if (deadline_ms > 0)
			exchange->deadline_ms =
			    exchange->arrived_ms + deadline_ms;
	}
	text = http_head_get(&exchange->head, dialect->token_counts);
	if (text != NULL)
		read_tokens(&exchange->wants, text);
	text = http_head_get(&exchange->head, dialect->resume_after);
	if (text != NULL)
		relay_events_set_last(&exchange->events, text);
}

/* "prompt,answer" */
static void
read_tokens(struct placement_request *wants, const char *text)
{
	char *mark;

	wants->prompt_tokens = MAX(g_ascii_strtod(text, &mark), 0);
	if (*mark == ',')
		wants->answer_tokens = MAX(g_ascii_strtod(mark + 1, NULL), 0);
}

/* Sends the request to the best upstream, or waits a little for one. */
static void
place(struct relay_exchange *exchange)
{
	struct placement_choice choice;
	enum error_code error;
	bool was_waiting;

	exchange->wants.arrived_ms = exchange->arrived_ms;
	exchange->wants.deadline_ms = exchange->deadline_ms;
	exchange->wants.is_begun = exchange->is_answering;
	was_waiting = exchange->waiter.service != 0;
	error = placement_pick(&exchange->relay->placement, &exchange->wants,
	    host_now_ms(), &exchange->waiter, &choice);
	if (exchange->waiter.service != 0)
		relay_note_work(exchange->relay);
	if (error == ERROR_CHANGE_PENDING) {
		if (!was_waiting)
			log_waits(exchange);
		wait_for_turn(exchange);
		return;
	}
	if (exchange->waiter.service != 0)
		metrics_observe(exchange->relay->counters.turn_ms,
		    (double)(host_now_ms() - exchange->arrived_ms));
	placement_wait_end(&exchange->relay->placement, &exchange->waiter);
	if (error == ERROR_NONE)
		send_to(exchange, &choice);
	else
		wait_for_place(exchange, error);
}

/* Long prompts take turns; each one's turn comes or is given up by then. */
static void
wait_for_turn(struct relay_exchange *exchange)
{
	if (timer_subscribe_once(&exchange->relay->timers, WAIT_STEP_MS,
		(struct timer_callback){run_wait, exchange},
		&exchange->wait_timer) != ERROR_NONE)
		wait_for_place(exchange, ERROR_TABLE_FULL);
}

static void
wait_for_place(struct relay_exchange *exchange, enum error_code error)
{
	int64_t now_ms;

	now_ms = host_now_ms();
	if (now_ms < exchange->wait_until_ms &&
	    error != ERROR_DEADLINE_UNREACHABLE &&
	    timer_subscribe_once(&exchange->relay->timers, WAIT_STEP_MS,
		(struct timer_callback){run_wait, exchange},
		&exchange->wait_timer) == ERROR_NONE)
		return;
	if (exchange->is_answering) {
		relay_caller_break(exchange->caller);
		exchange->caller = NULL;
		finish(exchange, END_BROKEN, error);
		return;
	}
	if (exchange->has_answer) {
		relay_answer_whole(exchange->caller, &exchange->answer,
		    exchange->answer_body, is_head_method(exchange));
		finish(exchange, END_ANSWERED, ERROR_NONE);
		return;
	}
	if (exchange->may_have_run) {
		relay_answer_own(exchange->caller, STATUS_BAD_GATEWAY,
		    "the upstream failed", 0);
		finish(exchange, END_FAILED, error);
		return;
	}
	relay_answer_own(exchange->caller, STATUS_UNAVAILABLE,
	    "no upstream can take it now", retry_after_ms(exchange, error));
	finish(exchange, END_REFUSED, error);
}

/* When there will be room: callers that are refused together must not come
 * back together. */
static int64_t
retry_after_ms(struct relay_exchange *exchange, enum error_code error)
{
	struct relay *relay = exchange->relay;
	int64_t after_ms;

	if (error == ERROR_LEASE_EXPIRED || error == ERROR_NO_UPSTREAM)
		after_ms = START_AFTER_MS;
	else if (error == ERROR_DEADLINE_UNREACHABLE)
		after_ms = placement_wait_estimate(
		    &relay->placement, exchange->service, host_now_ms());
	else
		after_ms = placement_retry_after(
		    &relay->placement, exchange->service, host_now_ms());
	after_ms = MAX(after_ms, RETRY_AFTER_MS);
	return after_ms + (int64_t)random_below(
			      &relay->random, (uint32_t)after_ms / 2 + 1);
}

static void
run_wait(void *context)
{
	struct relay_exchange *exchange = context;

	if (resolve(exchange))
		place(exchange);
}

static void
send_to(struct relay_exchange *exchange, struct placement_choice *choice)
{
	struct upstream_call_ops ops = {
	    .sent = note_sent,
	    .head = note_head,
	    .body = note_body,
	    .done = note_done,
	    .failed = note_failed,
	    .context = exchange,
	};
	struct relay *relay = exchange->relay;
	int64_t now_ms, idle_max_ms;
	bool may_repeat;
	GBytes *bytes;

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
	may_repeat = attempt_may_repeat(
	    exchange->route->kind, exchange->route->is_resumable);
	idle_max_ms = may_repeat ? ANY_IDLE_MS : FRESH_IDLE_MS;
	log_placed(exchange, choice);
	bytes = relay_request_bytes(exchange, choice, now_ms);
	exchange->call =
	    upstream_pool_call(&relay->pool, choice->upstream->place, bytes,
		is_head_method(exchange), idle_max_ms, &ops);
	g_bytes_unref(bytes);
	if (exchange->call == NULL)
		note_failed(exchange, ERROR_CONNECTION);
	else
		watch_silence(exchange);
}

/* Only a request that may go elsewhere is watched. */
static void
watch_silence(struct relay_exchange *exchange)
{
	timer_cancel(&exchange->relay->timers, &exchange->stall_timer);
	if (!attempt_may_repeat(
		exchange->route->kind, exchange->route->is_resumable) ||
	    exchange->sent >= exchange->route->attempts_max)
		return;
	/* Without a timer the deadline still ends a silent attempt. */
	(void)timer_subscribe_once(&exchange->relay->timers, SILENCE_LOOK_MS,
	    (struct timer_callback){run_silence, exchange},
	    &exchange->stall_timer);
}

static void
run_silence(void *context)
{
	struct relay_exchange *exchange = context;
	struct relay *relay = exchange->relay;
	struct silence silence = {
	    .sent_ms = exchange->sent_ms,
	    .since_ms = exchange->heard_ms,
	    .expected_ms = exchange->expected_ms,
	    .patience_ms = patience_of(exchange->route),
	    .is_reachable = exchange->is_reachable,
	};
	enum silence_verdict verdict;
	int64_t now_ms;

	now_ms = host_now_ms();
	verdict = SILENCE_WAIT;
	if (!exchange->is_sent) {
		/* Still connecting; that has a time limit of its own. */
	} else if (exchange->route->kind != ROUTE_KIND_STREAM) {
		if (now_ms - exchange->heard_ms >
		    exchange->route->goal_ms * PLAIN_GOALS)
			verdict = SILENCE_LEAVE;
	} else {
		verdict = placement_judge_silence(
		    &relay->placement, exchange->upstream_id, &silence, now_ms);
	}
	if (verdict == SILENCE_LEAVE) {
		leave_silent(exchange);
		return;
	}
	watch_silence(exchange);
	if (verdict != SILENCE_PROBE || exchange->probe != NULL)
		return;
	exchange->probe = upstream_pool_probe(
	    &relay->pool, exchange->place, note_probed, exchange);
	if (exchange->probe == NULL)
		leave_silent(exchange);
}

/* How long callers wait for the next event before they leave. */
static int64_t
patience_of(const struct route *route)
{
	int64_t patience_ms;

	patience_ms = MAX(route->goal_ms * PATIENCE_GOALS,
	    route->gap_goal_ms * PATIENCE_GAPS);
	return MAX(patience_ms, PATIENCE_MIN_MS);
}

static void
note_probed(void *context, enum error_code error)
{
	struct relay_exchange *exchange = context;

	exchange->probe = NULL;
	exchange->is_reachable = error == ERROR_NONE;
	if (error != ERROR_NONE)
		leave_silent(exchange);
}

static void
leave_silent(struct relay_exchange *exchange)
{
	event_log_fields(EVENT_UPSTREAM_STALLED, "{s:s,s:s,s:I,s:f,s:b}",
	    "request", exchange->attempt_id, "upstream",
	    exchange->upstream_name, "silent_ms",
	    (json_int_t)(host_now_ms() - exchange->heard_ms), "expected_ms",
	    exchange->expected_ms, "reachable", exchange->is_reachable);
	if (exchange->call != NULL)
		upstream_call_cancel(exchange->call);
	exchange->call = NULL;
	attempt_failed(exchange, ERROR_STALLED, true);
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

static void
run_deadline(void *context)
{
	struct relay_exchange *exchange = context;

	if (exchange->is_answering) {
		relay_caller_break(exchange->caller);
		exchange->caller = NULL;
		finish(exchange, END_BROKEN, ERROR_TIMEOUT);
		return;
	}
	if (exchange->may_have_run || exchange->is_sent) {
		relay_answer_own(exchange->caller, STATUS_LATE,
		    "the time limit has passed", 0);
		finish(exchange, END_FAILED, ERROR_TIMEOUT);
		return;
	}
	relay_answer_own(exchange->caller, STATUS_UNAVAILABLE,
	    "no upstream could be reached in time", RETRY_AFTER_MS);
	finish(exchange, END_REFUSED, ERROR_TIMEOUT);
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
		attempt_failed(exchange, ERROR_MALFORMED, true);
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
		attempt_failed(exchange, ERROR_TOO_LARGE, true);
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
			attempt_failed(exchange, ERROR_INCOMPLETE, true);
			return;
		}
		leave_upstream(exchange);
		relay_answer_end(exchange->caller);
		finish(exchange, END_ANSWERED, ERROR_NONE);
		return;
	}
	if (exchange->verdict == ANSWER_NOT_RUN) {
		note_refusal(exchange);
		return;
	}
	if (exchange->is_answering) {
		/* A stream that goes on elsewhere was answered otherwise. */
		attempt_failed(exchange, ERROR_UPSTREAM_FAILED, true);
		return;
	}
	keep_answer(exchange);
	if (answer_is_failure(exchange->answer.status)) {
		attempt_failed(exchange, ERROR_UPSTREAM_FAILED, true);
		return;
	}
	placement_note_good(&exchange->relay->placement, exchange->upstream_id);
	leave_upstream(exchange);
	relay_answer_whole(exchange->caller, &exchange->answer,
	    exchange->answer_body, is_head_method(exchange));
	finish(exchange, END_ANSWERED, ERROR_NONE);
}

static void
note_failed(void *context, enum error_code error)
{
	struct relay_exchange *exchange = context;

	exchange->call = NULL;
	attempt_failed(exchange, error, true);
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
	attempt_failed(exchange, ERROR_UPSTREAM_REFUSED,
	    exchange->coming.status == STATUS_MISDIRECTED);
}

/* A helper was at fault, not the upstream: it may be asked again without the
 * helper, which is the same upstream as far as the route's bound goes. */
static void
excuse_upstream(struct relay_exchange *exchange, uint64_t fault)
{
	placement_note_fault(&exchange->relay->placement, fault, host_now_ms());
	relay_note_work(exchange->relay);
	if (exchange->excused >= EXCUSED_MAX || exchange->sent == 0 ||
	    exchange->wants.tried_count == 0)
		return;
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
leave_upstream(struct relay_exchange *exchange)
{
	timer_cancel(&exchange->relay->timers, &exchange->stall_timer);
	if (exchange->probe != NULL)
		upstream_call_cancel(exchange->probe);
	exchange->probe = NULL;
	if (exchange->work.upstream_id != 0 || exchange->waiter.service != 0)
		relay_note_work(exchange->relay);
	placement_wait_end(&exchange->relay->placement, &exchange->waiter);
	placement_end(&exchange->relay->placement, &exchange->work);
}

static void
attempt_failed(
    struct relay_exchange *exchange, enum error_code error, bool is_fault)
{
	leave_upstream(exchange);
	if (is_fault)
		placement_note_failure(&exchange->relay->placement,
		    exchange->upstream_id, host_now_ms());
	if (exchange->is_sent)
		exchange->may_have_run = true;
	else if (error == ERROR_CONNECTION || error == ERROR_TIMEOUT)
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
	    .left_ms = time_left(exchange),
	};

	state.has_budget =
	    retry_window_allows(relay_budget(relay, exchange->service),
		relay_retry_slack(relay), host_now_ms());
	switch (attempt_next(&state)) {
	case ATTEMPT_AGAIN:
		if (exchange->is_answering)
			atomic_fetch_add(&relay->counters.resumes, 1);
		if (resolve(exchange))
			place(exchange);
		return;
	case ATTEMPT_DELIVER:
		relay_answer_whole(exchange->caller, &exchange->answer,
		    exchange->answer_body, is_head_method(exchange));
		finish(exchange, END_ANSWERED, ERROR_NONE);
		return;
	case ATTEMPT_REFUSE:
		relay_answer_own(exchange->caller, STATUS_UNAVAILABLE,
		    "it did not run; come again", RETRY_AFTER_MS);
		finish(exchange, END_REFUSED, error);
		return;
	case ATTEMPT_FAIL:
		relay_answer_own(exchange->caller, STATUS_BAD_GATEWAY,
		    "the upstream failed", 0);
		finish(exchange, END_FAILED, error);
		return;
	case ATTEMPT_BREAK:
		relay_caller_break(exchange->caller);
		exchange->caller = NULL;
		finish(exchange, END_BROKEN, error);
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
	}
	g_byte_array_unref(out);
}

static void
finish(struct relay_exchange *exchange, enum exchange_end end,
    enum error_code error)
{
	struct relay_counters *counters = &exchange->relay->counters;
	_Atomic uint64_t *const by_end[] = {
	    &counters->answered,
	    &counters->refused,
	    &counters->denied,
	    &counters->failed,
	    &counters->broken,
	    &counters->left,
	};
	struct relay_caller *caller = exchange->caller;

	atomic_fetch_add(by_end[end], 1);
	if (end == END_ANSWERED)
		metrics_observe(counters->whole_ms,
		    (double)(host_now_ms() - exchange->arrived_ms));
	if (exchange->call != NULL)
		upstream_call_cancel(exchange->call);
	leave_upstream(exchange);
	log_end(exchange, end, error);
	free_exchange(exchange);
	if (caller != NULL)
		relay_caller_done(caller);
}

/* The line from which everything about a request is found. */
static void
log_end(const struct relay_exchange *exchange, enum exchange_end end,
    enum error_code error)
{
	event_log_fields(end == END_ANSWERED ? EVENT_REQUEST_ENDED
					     : EVENT_REQUEST_ENDED_BADLY,
	    "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:i,s:I,s:I,s:I}", "request",
	    exchange->attempt_id, "route",
	    exchange->route == NULL ? "" : exchange->route->name, "outcome",
	    end_names[end], "why", error_name(error), "upstream",
	    exchange->upstream_name, "ms",
	    (json_int_t)(host_now_ms() - exchange->arrived_ms), "left_ms",
	    (json_int_t)(exchange->route == NULL ? 0 : time_left(exchange)),
	    "sent", (int)exchange->sent, "status",
	    (json_int_t)(exchange->has_answer ? exchange->answer.status : 0),
	    "events", (json_int_t)exchange->events.count, "routes_version",
	    (json_int_t)(exchange->table == NULL ? 0
						 : exchange->table->version));
}

static void
log_waits(struct relay_exchange *exchange)
{
	event_log_fields(EVENT_REQUEST_WAITS, "{s:s,s:f,s:f,s:I,s:I}",
	    "request", exchange->attempt_id, "prompt_tokens",
	    exchange->wants.prompt_tokens, "work_ms", exchange->waiter.work_ms,
	    "all_wait_ms",
	    (json_int_t)placement_wait_estimate(
		&exchange->relay->placement, exchange->service, host_now_ms()),
	    "useless_in_ms",
	    (json_int_t)(exchange->waiter.useless_ms - host_now_ms()));
}

/* What decided where a request goes. */
static void
log_placed(const struct relay_exchange *exchange,
    const struct placement_choice *choice)
{
	event_log_fields(EVENT_REQUEST_PLACED,
	    "{s:s,s:s,s:f,s:f,s:f,s:i,s:i,s:i,s:i,s:i,s:f,s:f}", "request",
	    exchange->attempt_id, "upstream", exchange->upstream_name,
	    "prompt_tokens", exchange->wants.prompt_tokens, "wait_ms",
	    choice->wait_ms, "read_ms", choice->read_ms, "helpers",
	    (int)choice->helper_count, "running",
	    (int)choice->upstream->own.running, "running_of_others",
	    (int)choice->upstream->others.running, "light_engines",
	    (int)choice->light_count, "engines", (int)choice->usable_count,
	    "light_demand", choice->demand.light, "heavy_demand",
	    choice->demand.heavy);
}

static void
free_exchange(struct relay_exchange *exchange)
{
	struct timer_service *timers = &exchange->relay->timers;

	timer_cancel(timers, &exchange->deadline_timer);
	timer_cancel(timers, &exchange->stall_timer);
	timer_cancel(timers, &exchange->wait_timer);
	exchange->relay->running--;
	http_head_finish(&exchange->head);
	http_head_finish(&exchange->coming);
	http_head_finish(&exchange->answer);
	g_byte_array_unref(exchange->body);
	g_byte_array_unref(exchange->coming_body);
	g_byte_array_unref(exchange->answer_body);
	relay_events_finish(&exchange->events);
	route_table_unref(exchange->table);
	g_free(exchange);
}

static bool
is_head_method(const struct relay_exchange *exchange)
{
	return strcmp(exchange->head.method, "HEAD") == 0;
}

static int64_t
time_left(const struct relay_exchange *exchange)
{
	return exchange->deadline_ms - host_now_ms();
}
