#include <string.h>

#include <jansson.h>

#include "base/event_log.h"
#include "relay/relay_parts.h"

#define STATUS_MISDIRECTED 421
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

static void on_reserved(void *context, enum error_code error);
static bool is_choice_valid(const struct relay_exchange *exchange);
static void send_request(struct relay_exchange *exchange);
static void count_unsent(
    struct relay_exchange *exchange, enum error_code error);
static void record_fault(
    struct relay_exchange *exchange, enum error_code error);
static void log_retried(
    const struct relay_exchange *exchange, enum error_code error);
static void on_connected(void *context);
static void on_sent(void *context);
static enum pool_answer on_head(void *context, struct http_head *head);
static void on_body(void *context, const char *data, size_t size);
static void on_chunk_end(void *context);
static void drop_partial_body(struct relay_exchange *exchange);
static void on_done(void *context);
static void on_failed(void *context, enum error_code error);
static void note_broken_call(
    struct relay_exchange *exchange, enum error_code error);
static void clear_suspicion(struct relay_exchange *exchange);
static void on_refusal(struct relay_exchange *exchange);
static void excuse_upstream(struct relay_exchange *exchange, uint64_t fault);
static void store_answer(struct relay_exchange *exchange);
static void take_next_step(
    struct relay_exchange *exchange, enum error_code error);
static void record_answer(struct relay_exchange *exchange);

void
relay_attempt_begin(struct relay_exchange *exchange)
{
	const struct placement_choice *choice = &exchange->choice;
	struct relay *relay = exchange->relay;
	int64_t now_ms;

	now_ms = host_now_ms();
	exchange->upstream_id = choice->upstream->id;
	exchange->upstream_incarnation = choice->upstream->incarnation;
	g_strlcpy(exchange->upstream_name, choice->upstream->name,
	    sizeof(exchange->upstream_name));
	exchange->expected_ms = choice->wait_ms + choice->part_prefill_ms;
	exchange->upstream_address = choice->upstream->address;
	exchange->is_sent = false;
	exchange->has_progress = false;
	exchange->has_survived = false;
	exchange->answer_class = 0;
	placement_begin(&relay->placement, &exchange->request, choice, now_ms,
	    &exchange->work);
	relay_schedule_report(relay);
	if (exchange->request.tried_count < PLACEMENT_TRIED_MAX)
		exchange->request.tried[exchange->request.tried_count++] =
		    choice->upstream->id;
	relay_trace_placed(exchange);
	if (choice->reservation_count == 0) {
		send_request(exchange);
		return;
	}
	relay_holds_begin(
	    &exchange->holds, relay, choice, on_reserved, exchange);
}

void
relay_attempt_begin_forwarded(struct relay_exchange *exchange, uint64_t address)
{
	/* A request that waits here waits at the other host from now on. */
	placement_queue_leave(
	    &exchange->relay->placement, &exchange->queue_entry);
	exchange->upstream_id = 0;
	exchange->upstream_incarnation = 0;
	exchange->upstream_name[0] = '\0';
	exchange->upstream_address = address;
	exchange->expected_ms = (double)exchange->route->target_ms;
	exchange->is_sent = false;
	exchange->has_progress = false;
	exchange->has_survived = false;
	exchange->answer_class = 0;
	send_request(exchange);
}

static void
on_reserved(void *context, enum error_code error)
{
	struct relay_exchange *exchange = context;

	if (error != ERROR_NONE) {
		relay_attempt_failed(exchange, error, false);
		return;
	}
	/* The configuration may have changed meanwhile. */
	if (!relay_exchange_resolve(exchange))
		return;
	if (is_choice_valid(exchange))
		send_request(exchange);
	else
		relay_attempt_failed(exchange, ERROR_NO_UPSTREAM, false);
}

/* Whether the chosen upstream may still get the request. */
static bool
is_choice_valid(const struct relay_exchange *exchange)
{
	return exchange->work.service ==
		   placement_service_hash(exchange->service->name) &&
	       placement_is_usable(&exchange->relay->placement,
		   exchange->upstream_id, exchange->upstream_incarnation);
}

static void
send_request(struct relay_exchange *exchange)
{
	bool is_forwarded = exchange->forward.to_host != 0;
	struct pool_call_ops ops = {
	    .on_connected = is_forwarded ? NULL : on_connected,
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
	request.bytes = is_forwarded
			    ? relay_forward_bytes(exchange, host_now_ms())
			    : relay_request_bytes(exchange, host_now_ms());
	exchange->call = upstream_pool_call(
	    &exchange->relay->pool, exchange->upstream_address, &request, &ops);
	g_bytes_unref(request.bytes);
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
	placement_end(&exchange->relay->placement, &exchange->work);
	relay_forward_end(exchange);
	relay_holds_end(&exchange->holds, exchange->relay);
}

void
relay_attempt_failed(
    struct relay_exchange *exchange, enum error_code error, bool is_fault)
{
	bool is_forwarded = exchange->forward.to_host != 0;

	if (is_forwarded)
		relay_forward_on_failed(exchange, error);
	relay_attempt_end(exchange);
	if (is_fault && !is_forwarded)
		record_fault(exchange, error);
	if (exchange->is_sent)
		exchange->may_have_run = true;
	else if (!is_forwarded)
		count_unsent(exchange, error);
	exchange->is_sent = false;
	relay_events_drop_partial(&exchange->events);
	log_retried(exchange, error);
	take_next_step(exchange, error);
}

void
relay_attempt_abort(
    struct relay_exchange *exchange, enum error_code error, bool is_fault)
{
	pool_call_cancel(exchange->call);
	exchange->call = NULL;
	relay_attempt_failed(exchange, error, is_fault);
}

/* Counts an attempt that reached no upstream. */
static void
count_unsent(struct relay_exchange *exchange, enum error_code error)
{
	if (error == ERROR_CONNECTION)
		exchange->attempts_absent++;
	else if (error == ERROR_TIMEOUT || error == ERROR_NO_CAPACITY)
		exchange->attempts_unsent++;
}

/* Records that the upstream is to blame. If it has ended, the other hosts are
 * told at once, since they send there, too. */
static void
record_fault(struct relay_exchange *exchange, enum error_code error)
{
	struct placement *placement = &exchange->relay->placement;

	if (!exchange->is_sent && error == ERROR_TIMEOUT) {
		placement_record_unreached(
		    placement, exchange->upstream_id, host_now_ms());
		return;
	}
	if (exchange->is_sent || error != ERROR_CONNECTION) {
		placement_record_failure(
		    placement, exchange->upstream_id, host_now_ms());
		return;
	}
	placement_record_absence(
	    placement, exchange->upstream_id, host_now_ms());
	relay_schedule_report(exchange->relay);
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

	relay_path_on_connected(exchange->relay);
}

static void
on_sent(void *context)
{
	struct relay_exchange *exchange = context;
	struct relay *relay = exchange->relay;

	exchange->is_sent = true;
	if (exchange->forward.to_host == 0)
		relay_forward_record_sent(exchange, exchange->upstream_id);
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
	    exchange->forward.to_host != 0) {
		if (!relay_forward_read_result(exchange, head)) {
			relay_attempt_abort(exchange, ERROR_MALFORMED, true);
			return POOL_ANSWER_TAKE;
		}
		facts->is_refusal =
		    exchange->forward.result.reason != ERROR_NONE;
	}
	exchange->answer_class = classify_answer(facts);
	relay_trace_head(exchange, head);
	if (exchange->answer_class == ANSWER_REPEATED)
		return POOL_ANSWER_DISCARD;
	if (exchange->answer_class == ANSWER_MISMATCHED) {
		relay_attempt_abort(exchange, ERROR_MALFORMED, true);
		return POOL_ANSWER_TAKE;
	}
	relay_head_hear(exchange, head);
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
		record_answer(exchange);
		clear_suspicion(exchange);
		relay_attempt_end(exchange);
		relay_answer_end(exchange->caller);
		relay_exchange_finish(exchange, END_ANSWERED, ERROR_NONE);
		return;
	}
	if (exchange->answer_class == ANSWER_NOT_RUN) {
		if (exchange->forward.to_host != 0)
			relay_forward_on_refusal(exchange);
		else
			on_refusal(exchange);
		return;
	}
	if (exchange->answer_class == ANSWER_UNFOUNDED) {
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
	clear_suspicion(exchange);
	relay_attempt_end(exchange);
	relay_exchange_deliver(exchange);
}

static void
on_failed(void *context, enum error_code error)
{
	struct relay_exchange *exchange = context;

	exchange->call = NULL;
	if (exchange->forward.to_host == 0)
		note_broken_call(exchange, error);
	relay_attempt_failed(exchange, error, true);
}

/* Records what the end of a call shows of the upstream and of the path to it. */
static void
note_broken_call(struct relay_exchange *exchange, enum error_code error)
{
	if (error == ERROR_INCOMPLETE)
		relay_crash_suspect(exchange);
	if (exchange->is_sent)
		return;
	exchange->forward.unreached++;
	relay_path_on_unreached(exchange->relay, exchange->upstream_id);
}

/* The host that sent the request to the upstream clears its suspicions. */
static void
clear_suspicion(struct relay_exchange *exchange)
{
	if (exchange->forward.to_host == 0)
		relay_crash_clear(exchange);
}

/* Handles an upstream's answer that it did not run the request. The answer may
 * name a helper that was at fault. */
static void
on_refusal(struct relay_exchange *exchange)
{
	const char *fault;

	fault = http_head_get(&exchange->partial_head,
	    exchange->relay->settings.dialect.faulty_engine);
	relay_trace_refused(exchange);
	exchange->is_sent = false;
	if (fault != NULL && upstream_address_parse(fault) != 0 &&
	    upstream_address_parse(fault) != exchange->upstream_address)
		excuse_upstream(exchange, upstream_address_parse(fault));
	relay_attempt_failed(exchange, ERROR_UPSTREAM_REFUSED,
	    exchange->partial_head.status == STATUS_MISDIRECTED);
}

/* Records that the helper at address @p fault failed, not the upstream. The
 * upstream may then get the request again without that helper, and the refused
 * attempt does not count towards the route's limit of attempts. */
static void
excuse_upstream(struct relay_exchange *exchange, uint64_t fault)
{
	enum fault_class step;

	placement_eject_address(
	    &exchange->relay->placement, fault, host_now_ms());
	relay_schedule_report(exchange->relay);
	step = classify_helper_fault(exchange->excused_attempts);
	if (step == FAULT_COUNTS || exchange->attempts_sent == 0 ||
	    exchange->request.tried_count == 0)
		return;
	exchange->request.is_without_helpers = step == FAULT_EXCUSED_NO_HELPERS;
	exchange->excused_attempts++;
	exchange->attempts_sent--;
	exchange->request.tried_count--;
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

/* Records the time for which a complete answer took a slot, unless the stream
 * was resumed: another upstream began it then. */
static void
record_answer(struct relay_exchange *exchange)
{
	if (exchange->request.has_partial_answer ||
	    exchange->first_event_ms == 0 || exchange->forward.to_host != 0)
		return;
	placement_record_answer(&exchange->relay->placement, &exchange->work,
	    (double)(host_now_ms() - exchange->first_event_ms));
}
