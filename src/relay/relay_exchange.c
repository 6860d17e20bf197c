#include <stdlib.h>
#include <string.h>

#include "protocol/prompt_parts.h"
#include "relay/relay_parts.h"

#define STATUS_UNAUTHORIZED    401
#define STATUS_NOT_FOUND       404
#define STATUS_GATEWAY_TIMEOUT 504
/* Interval between tries to place a request. */
#define RETRY_PLACE_MS 15
/* A request waits for a free upstream for at most its route's target time
 * divided by this. */
#define WAIT_TARGET_DIVISOR 2
/* Longest time that a starting host holds a request until it knows its route
 * table or any upstream. */
#define START_WAIT_MAX_MS 1000
/* Retry-After of a stopping host: another host can take the request at once. */
#define STOPPING_RETRY_AFTER_MS 100
/* Least Retry-After while short prompts wait past their target. What crowds the
 * engines mostly lasts for seconds. */
#define CROWDED_RETRY_AFTER_MS 1500
/* Least Retry-After while a host or the upstreams of a service are starting. */
#define START_RETRY_AFTER_MS 1500

/* What a caller is told of a request that ends without an answer. */
struct late_end {
	uint32_t status;	/* If it may have run. */
	const char *failed;	/* Text of that answer. */
	const char *refused;	/* Text if it has not run. */
	int64_t retry_after_ms; /* Retry-After if it has not run. */
};

/* What a route table allows the caller of a request. */
struct caller_access {
	const struct route *route;	     /* NULL if there is none. */
	const struct route_account *account; /* NULL if none is known. */
	enum error_code error;		     /* Why it is denied. */
};

static struct caller_access find_access(
    const struct relay_exchange *exchange, const struct route_table *table);
static bool may_send(struct relay_exchange *exchange);
static void start(struct relay_exchange *exchange);
static bool arrived_after_drain(const struct relay_exchange *exchange);
static bool wait_for_first_table(struct relay_exchange *exchange);
static bool schedule_retry(
    struct relay_exchange *exchange, void (*run)(void *context));
static void on_start_timeout(void *context);
static void deny(struct relay_exchange *exchange, uint32_t status,
    const char *reason, enum error_code error);
static void refuse_unconfirmed(
    struct relay_exchange *exchange, const char *reason);
static void read_request(struct relay_exchange *exchange);
static void parse_token_counts(
    struct placement_request *wants, const char *text);
static void wait_for_turn(struct relay_exchange *exchange);
static void wait_for_placement(
    struct relay_exchange *exchange, enum error_code error);
static const char *refusal_text(enum error_code error);
static int64_t retry_after_ms(
    struct relay_exchange *exchange, enum error_code error);
static int64_t stop_deadline_ms(const struct relay *relay);
static void on_wait_timeout(void *context);
static void on_deadline_timeout(void *context);
static void end_without_answer(struct relay_exchange *exchange,
    const struct late_end *end, enum error_code error);
static void free_exchange(struct relay_exchange *exchange);

void
relay_exchange_begin(struct relay_caller *caller)
{
	struct relay *relay = caller->relay;
	struct relay_exchange *exchange;

	exchange = g_new0(struct relay_exchange, 1);
	exchange->relay = relay;
	exchange->caller = caller;
	exchange->body = g_byte_array_new();
	exchange->partial_body = g_byte_array_new();
	exchange->answer_body = g_byte_array_new();
	exchange->arrived_ms = caller->first_byte_ms;
	caller->exchange = exchange;
	relay->running_requests++;
	atomic_fetch_add(&relay->counters.requests, 1);
	http_head_move(&exchange->head, &caller->reader.head);
	if (caller->body->len > 0) {
		g_byte_array_unref(exchange->body);
		exchange->body = caller->body;
		caller->body = g_byte_array_new();
	}
	exchange->target_random = (uint32_t)random_uint64(&relay->random);
	read_request(exchange);
	if (relay_forward_receive(exchange))
		start(exchange);
}

void
relay_exchange_cancel(struct relay_exchange *exchange)
{
	exchange->caller = NULL;
	relay_exchange_finish(exchange, END_CALLER_LEFT, ERROR_CANCELLED);
}

bool
relay_exchange_resolve(struct relay_exchange *exchange)
{
	struct relay *relay = exchange->relay;
	struct caller_access access;

	relay_refresh(relay);
	if (relay->table == NULL && wait_for_first_table(exchange))
		return false;
	if (relay->table == NULL) {
		refuse_unconfirmed(exchange, "no configuration yet");
		return false;
	}
	access = find_access(exchange, relay->table);
	/* The caller was admitted by the table that the exchange holds. That
	 * stays so until its answer ends, also if it goes on elsewhere. */
	if (access.error != ERROR_NONE && exchange->is_answering)
		return may_send(exchange);
	if (exchange->table != relay->table) {
		route_table_unref(exchange->table);
		exchange->table = route_table_ref(relay->table);
		exchange->service = NULL;
	}
	/* The host that forwarded the request knows a newer configuration, in
	 * which this route may be changed or gone. */
	if (exchange->forward.is_received &&
	    exchange->table->version <
		exchange->forward.received.routes_version) {
		relay_exchange_refuse(exchange, "older configuration",
		    RETRY_AFTER_DEFAULT_MS, ERROR_STALE);
		return false;
	}
	exchange->route = access.route;
	exchange->account = access.account;
	if (access.error == ERROR_NOT_FOUND) {
		deny(exchange, STATUS_NOT_FOUND, "no such route", access.error);
		return false;
	}
	if (access.error != ERROR_NONE) {
		deny(
		    exchange, STATUS_UNAUTHORIZED, "unknown key", access.error);
		return false;
	}
	exchange->service =
	    route_pick_service(exchange->route, exchange->target_random);
	exchange->request.route = exchange->route;
	exchange->request.service = exchange->service;
	prompt_parts_read(http_head_get(&exchange->head,
			      relay->settings.dialect.prompt_parts),
	    exchange->service->name, &exchange->key);
	return may_send(exchange);
}

/* Looks up what a route table allows the caller. */
static struct caller_access
find_access(
    const struct relay_exchange *exchange, const struct route_table *table)
{
	const struct relay_dialect *dialect =
	    &exchange->relay->settings.dialect;
	struct caller_access access = {0};
	const char *key;

	access.route = route_table_find(table,
	    http_head_get(&exchange->head, "Host"), exchange->head.target->str);
	if (access.route == NULL) {
		access.error = ERROR_NOT_FOUND;
		return access;
	}
	key = http_head_get(&exchange->head, dialect->account_key);
	access.account = key == NULL ? NULL : route_table_account(table, key);
	if (access.account == NULL && !access.route->is_public &&
	    table->needs_key)
		access.error = ERROR_UNAUTHENTICATED;
	return access;
}

/* Checks what was sent so far against the route, which may have changed since.
 * Returns false if the request must be answered now. */
static bool
may_send(struct relay_exchange *exchange)
{
	const struct route *route = exchange->route;
	bool is_allowed;

	is_allowed = !exchange->may_have_run ||
		     may_repeat_request(route->kind, route->is_resumable);
	if (is_allowed && (exchange->attempts_sent == 0 ||
			      exchange->attempts_sent <
				  relay_exchange_attempts_max(exchange)))
		return true;
	relay_exchange_end_unplaced(
	    exchange, ERROR_OUTCOME_UNKNOWN, RETRY_AFTER_DEFAULT_MS);
	return false;
}

void
relay_exchange_place(struct relay_exchange *exchange)
{
	int64_t quarantined_ms;
	enum error_code error;
	bool was_waiting;

	if (relay_crash_verdict(exchange, &quarantined_ms) ==
	    QUARANTINE_REFUSE) {
		relay_exchange_end_unplaced(
		    exchange, ERROR_QUARANTINED, quarantined_ms);
		return;
	}
	if (relay_forward_try(exchange))
		return;
	/* The test of the path goes on, so this host need not try upstreams by
	 * its callers' requests. */
	if (relay_path_is_lost(exchange->relay)) {
		relay_exchange_end_unplaced(exchange, ERROR_NO_PATH,
		    retry_after_ms(exchange, ERROR_NO_PATH));
		return;
	}
	exchange->request.body_bytes = exchange->body->len;
	exchange->request.arrived_ms = exchange->arrived_ms;
	exchange->request.deadline_ms =
	    MIN(exchange->deadline_ms, stop_deadline_ms(exchange->relay));
	exchange->request.has_partial_answer =
	    exchange->is_answering ||
	    exchange->forward.received.has_partial_answer;
	was_waiting = exchange->queue_entry.wait != PLACEMENT_WAIT_NONE;
	error = placement_pick(&exchange->relay->placement, &exchange->request,
	    host_now_ms(), &exchange->queue_entry, &exchange->choice);
	relay_path_run_probes(exchange->relay);
	if (exchange->queue_entry.service != 0 ||
	    was_waiting != (error == ERROR_CHANGE_PENDING))
		relay_schedule_report(exchange->relay);
	if (error == ERROR_CHANGE_PENDING) {
		if (!was_waiting)
			relay_trace_waiting(exchange);
		wait_for_turn(exchange);
		return;
	}
	if (exchange->queue_entry.service != 0)
		metrics_observe(exchange->relay->counters.turn_ms,
		    (double)(host_now_ms() - exchange->arrived_ms));
	placement_queue_leave(
	    &exchange->relay->placement, &exchange->queue_entry);
	if (error == ERROR_NONE)
		relay_upstream_begin(exchange);
	else
		wait_for_placement(exchange, error);
}

void
relay_exchange_deliver(struct relay_exchange *exchange)
{
	relay_answer_complete(exchange->caller, &exchange->answer,
	    exchange->answer_body, relay_exchange_is_head_request(exchange));
	relay_exchange_finish(exchange, END_ANSWERED, ERROR_NONE);
}

void
relay_exchange_abort(struct relay_exchange *exchange, enum error_code error)
{
	relay_caller_reset(exchange->caller);
	exchange->caller = NULL;
	relay_exchange_finish(exchange, END_BROKEN, error);
}

void
relay_exchange_end_at_stop(struct relay_exchange *exchange)
{
	static const struct late_end end = {STATUS_BAD_GATEWAY,
	    "this host is stopping", "this host is stopping",
	    STOPPING_RETRY_AFTER_MS};

	if (!exchange->is_answering)
		end_without_answer(exchange, &end, ERROR_SHUTTING_DOWN);
}

void
relay_exchange_refuse(struct relay_exchange *exchange, const char *text,
    int64_t after_ms, enum error_code error)
{
	exchange->refusal = error;
	relay_answer_json(exchange->caller, STATUS_UNAVAILABLE, text, after_ms);
	relay_exchange_finish(exchange, END_REFUSED, error);
}

void
relay_exchange_end_unplaced(
    struct relay_exchange *exchange, enum error_code error, int64_t after_ms)
{
	if (exchange->is_answering) {
		relay_exchange_abort(exchange, error);
		return;
	}
	if (exchange->has_answer) {
		relay_exchange_deliver(exchange);
		return;
	}
	if (exchange->may_have_run) {
		relay_answer_json(exchange->caller, STATUS_BAD_GATEWAY,
		    "the upstream failed", 0);
		relay_exchange_finish(exchange, END_FAILED, error);
		return;
	}
	relay_exchange_refuse(exchange, refusal_text(error), after_ms, error);
}

void
relay_exchange_finish(struct relay_exchange *exchange, enum exchange_end end,
    enum error_code error)
{
	struct relay_counters *counters = &exchange->relay->counters;
	_Atomic uint64_t *const by_end[] = {
	    &counters->answered,
	    &counters->refused,
	    &counters->denied,
	    &counters->failed,
	    &counters->broken,
	    &counters->callers_left,
	};
	struct relay_caller *caller = exchange->caller;

	atomic_fetch_add(by_end[end], 1);
	if (end == END_ANSWERED)
		metrics_observe(counters->answer_ms,
		    (double)(host_now_ms() - exchange->arrived_ms));
	if (exchange->call != NULL)
		pool_call_cancel(exchange->call);
	relay_attempt_end(exchange);
	relay_trace_end(exchange, end, error);
	free_exchange(exchange);
	if (caller != NULL)
		relay_caller_done(caller);
}

bool
relay_exchange_is_head_request(const struct relay_exchange *exchange)
{
	return strcmp(exchange->head.method, "HEAD") == 0;
}

uint32_t
relay_exchange_attempts_max(const struct relay_exchange *exchange)
{
	return exchange->forward.is_received ? 1
					     : exchange->route->attempts_max;
}

int64_t
relay_exchange_remaining_ms(const struct relay_exchange *exchange)
{
	return exchange->deadline_ms - host_now_ms();
}

static void
start(struct relay_exchange *exchange)
{
	struct relay *relay = exchange->relay;

	if (arrived_after_drain(exchange)) {
		relay_exchange_refuse(exchange, "this host is stopping",
		    STOPPING_RETRY_AFTER_MS, ERROR_SHUTTING_DOWN);
		return;
	}
	if (!relay_exchange_resolve(exchange))
		return;
	exchange->deadline_ms = MIN(exchange->deadline_ms,
	    exchange->arrived_ms + exchange->route->timeout_ms);
	exchange->wait_until_ms =
	    host_now_ms() + exchange->route->target_ms / WAIT_TARGET_DIVISOR;
	if (exchange->relay->placement.upstreams != NULL &&
	    g_hash_table_size(exchange->relay->placement.upstreams) == 0)
		exchange->wait_until_ms = host_now_ms() + START_WAIT_MAX_MS;
	/* The host that forwarded a request has counted it. */
	if (!exchange->forward.is_received)
		retry_window_record_request(
		    relay_retry_budget(relay, exchange->service),
		    host_now_ms());
	/* If no timer is free, the caller's own timeout ends the request. */
	(void)timer_subscribe_once(&relay->timers,
	    relay_exchange_remaining_ms(exchange),
	    (struct timer_callback){on_deadline_timeout, exchange},
	    &exchange->deadline_timer);
	relay_exchange_place(exchange);
}

/* Returns true if the request arrived so late in a planned stop that it could
 * not end before the process does. The load balancer still sends requests to
 * stopping hosts while too few hosts are ready. */
static bool
arrived_after_drain(const struct relay_exchange *exchange)
{
	const struct relay *relay = exchange->relay;

	return relay->drain_started_ms != 0 &&
	       exchange->arrived_ms >
		   relay->drain_started_ms + relay->settings.stop_accept_ms;
}

/* Delays a request while this host has no route table. Usually a starting host
 * gets its table within a second. Returns false if the request must be answered
 * now. */
static bool
wait_for_first_table(struct relay_exchange *exchange)
{
	return host_now_ms() - exchange->arrived_ms < START_WAIT_MAX_MS &&
	       schedule_retry(exchange, on_start_timeout);
}

static bool
schedule_retry(struct relay_exchange *exchange, void (*run)(void *context))
{
	int64_t wait_ms = exchange->queue_entry.retry_ms;

	return timer_subscribe_once(&exchange->relay->timers,
		   wait_ms == 0 ? RETRY_PLACE_MS : wait_ms,
		   (struct timer_callback){run, exchange},
		   &exchange->wait_timer) == ERROR_NONE;
}

static void
on_start_timeout(void *context)
{
	start(context);
}

static void
deny(struct relay_exchange *exchange, uint32_t status, const char *reason,
    enum error_code error)
{
	if (exchange->is_answering) {
		relay_exchange_abort(exchange, error);
		return;
	}
	/* The configuration in force may have what this host doesn't know. */
	if (!exchange->may_have_run &&
	    host_confirmed_remaining(exchange->relay->host) == 0) {
		refuse_unconfirmed(exchange, "configuration not confirmed");
		return;
	}
	/* An attempt under an older route table may have run, so the answer
	 * must not claim that the request was not executed. */
	if (exchange->may_have_run)
		status = STATUS_BAD_GATEWAY;
	relay_answer_json(exchange->caller, status, reason, 0);
	relay_exchange_finish(exchange, END_DENIED, error);
}

/* Refuses a request because this host has no configuration, or doesn't know
 * whether its configuration is the newest. */
static void
refuse_unconfirmed(struct relay_exchange *exchange, const char *reason)
{
	relay_exchange_refuse(exchange, reason,
	    retry_after_ms(exchange, ERROR_LEASE_EXPIRED), ERROR_LEASE_EXPIRED);
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
		parse_token_counts(&exchange->request, text);
	text = http_head_get(&exchange->head, dialect->resume_after);
	if (text != NULL)
		relay_events_set_last(&exchange->events, text);
}

/* Parses "prompt,answer" token counts; the answer's count is optional. */
static void
parse_token_counts(struct placement_request *wants, const char *text)
{
	char *mark;

	wants->prompt_tokens = MAX(g_ascii_strtod(text, &mark), 0);
	if (*mark == ',')
		wants->answer_tokens = MAX(g_ascii_strtod(mark + 1, NULL), 0);
}

/* Tries again later to place a queued long prompt. Placement refuses it when
 * its turn would come too late, so the number of tries needs no limit here. */
static void
wait_for_turn(struct relay_exchange *exchange)
{
	if (!schedule_retry(exchange, on_wait_timeout))
		wait_for_placement(exchange, ERROR_TABLE_FULL);
}

static void
wait_for_placement(struct relay_exchange *exchange, enum error_code error)
{
	int64_t now_ms;

	now_ms = host_now_ms();
	if (now_ms < exchange->wait_until_ms &&
	    error != ERROR_DEADLINE_UNREACHABLE &&
	    schedule_retry(exchange, on_wait_timeout))
		return;
	relay_exchange_end_unplaced(
	    exchange, error, retry_after_ms(exchange, error));
}

static const char *
refusal_text(enum error_code error)
{
	switch (error) {
	case ERROR_QUARANTINED:
		return "the request crashes upstreams";
	case ERROR_NO_PATH:
		return "no host reaches an upstream";
	default:
		return "no upstream can take it now";
	}
}

/* Returns the Retry-After for a refusal: the estimated time until an upstream
 * has room, plus a random part of up to a half, so that callers refused at the
 * same time don't all retry at the same time. */
static int64_t
retry_after_ms(struct relay_exchange *exchange, enum error_code error)
{
	struct relay *relay = exchange->relay;
	int64_t after_ms;

	/* Another host can serve it after the stop of this one. */
	if (error == ERROR_DEADLINE_UNREACHABLE &&
	    stop_deadline_ms(relay) < exchange->deadline_ms)
		return STOPPING_RETRY_AFTER_MS;
	if (error == ERROR_LEASE_EXPIRED || error == ERROR_NO_UPSTREAM ||
	    error == ERROR_NO_PATH)
		after_ms = START_RETRY_AFTER_MS;
	else
		after_ms = placement_retry_after(
		    &relay->placement, exchange->service, host_now_ms());
	if (error == ERROR_DEADLINE_UNREACHABLE)
		after_ms =
		    MAX(after_ms, placement_queue_estimate_ms(&relay->placement,
				      exchange->service, host_now_ms()));
	if (error == ERROR_DEADLINE_UNREACHABLE &&
	    placement_is_crowded(&relay->placement, exchange->service))
		after_ms = MAX(after_ms, CROWDED_RETRY_AFTER_MS);
	after_ms = MAX(after_ms, RETRY_AFTER_DEFAULT_MS);
	return after_ms + (int64_t)random_below(
			      &relay->random, (uint32_t)after_ms / 2 + 1);
}

/* Time by which requests must have ended because this host stops. */
static int64_t
stop_deadline_ms(const struct relay *relay)
{
	return relay->drain_started_ms == 0
		   ? INT64_MAX
		   : relay->drain_started_ms + relay->settings.stop_finish_ms;
}

static void
on_wait_timeout(void *context)
{
	struct relay_exchange *exchange = context;

	if (relay_exchange_resolve(exchange))
		relay_exchange_place(exchange);
}

static void
on_deadline_timeout(void *context)
{
	static const struct late_end end = {STATUS_GATEWAY_TIMEOUT,
	    "the time limit has passed", "no upstream could be reached in time",
	    RETRY_AFTER_DEFAULT_MS};
	struct relay_exchange *exchange = context;

	if (exchange->is_answering) {
		relay_exchange_abort(exchange, ERROR_TIMEOUT);
		return;
	}
	end_without_answer(exchange, &end, ERROR_TIMEOUT);
}

/* Ends a request whose answer has not begun. */
static void
end_without_answer(struct relay_exchange *exchange, const struct late_end *end,
    enum error_code error)
{
	if (exchange->has_answer) {
		relay_exchange_deliver(exchange);
		return;
	}
	if (exchange->may_have_run || exchange->is_sent) {
		relay_answer_json(
		    exchange->caller, end->status, end->failed, 0);
		relay_exchange_finish(exchange, END_FAILED, error);
		return;
	}
	relay_exchange_refuse(
	    exchange, end->refused, end->retry_after_ms, error);
}

static void
free_exchange(struct relay_exchange *exchange)
{
	struct timer_service *timers = &exchange->relay->timers;

	timer_cancel(timers, &exchange->deadline_timer);
	timer_cancel(timers, &exchange->stall_timer);
	timer_cancel(timers, &exchange->wait_timer);
	exchange->relay->running_requests--;
	atomic_fetch_sub(&exchange->relay->counters.held_bytes,
	    exchange->partial_body->len + exchange->answer_body->len);
	http_head_finish(&exchange->head);
	http_head_finish(&exchange->partial_head);
	http_head_finish(&exchange->answer);
	g_byte_array_unref(exchange->body);
	g_byte_array_unref(exchange->partial_body);
	g_byte_array_unref(exchange->answer_body);
	relay_events_finish(&exchange->events);
	route_table_unref(exchange->table);
	g_free(exchange);
}
