/*
 * Attempts at an upstream that placement chose: what they count at it, and what
 * their end says of it. What all attempts share stands in relay_attempt.c.
 */
#include "relay/relay_parts.h"

#define STATUS_MISDIRECTED 421

static void on_connected(struct relay_exchange *exchange);
static void on_unreached(struct relay_exchange *exchange);
static void on_sent(struct relay_exchange *exchange);
static bool read_head(
    struct relay_exchange *exchange, const struct http_head *head);
static void on_refusal(struct relay_exchange *exchange);
static void on_answered(struct relay_exchange *exchange);
static void on_failed(
    struct relay_exchange *exchange, enum error_code error, bool is_fault);
static void on_end(struct relay_exchange *exchange);
static void on_reserved(void *context, enum error_code error);
static bool is_choice_valid(const struct relay_exchange *exchange);
static void count_unsent(
    struct relay_exchange *exchange, enum error_code error);
static void record_fault(
    struct relay_exchange *exchange, enum error_code error);
static void excuse_upstream(struct relay_exchange *exchange, uint64_t fault);

static const struct attempt_ops upstream_attempt = {
    .bytes = relay_request_bytes,
    .on_connected = on_connected,
    .on_unreached = on_unreached,
    .on_sent = on_sent,
    .read_head = read_head,
    .on_refusal = on_refusal,
    .on_answered = on_answered,
    .on_broken = relay_crash_suspect,
    .on_failed = on_failed,
    .on_end = on_end,
};

void
relay_upstream_begin(struct relay_exchange *exchange)
{
	const struct placement_choice *choice = &exchange->choice;
	const struct placement_upstream *upstream = choice->upstream;
	struct relay *relay = exchange->relay;

	relay_attempt_prepare(exchange, &upstream_attempt, upstream->address,
	    choice->wait_ms + choice->part_prefill_ms);
	exchange->upstream_id = upstream->id;
	exchange->upstream_incarnation = upstream->incarnation;
	g_strlcpy(exchange->upstream_name, upstream->name,
	    sizeof(exchange->upstream_name));
	placement_begin(&relay->placement, &exchange->request, choice,
	    host_now_ms(), &exchange->work);
	relay_schedule_report(relay);
	if (exchange->request.tried_count < PLACEMENT_TRIED_MAX)
		exchange->request.tried[exchange->request.tried_count++] =
		    upstream->id;
	relay_trace_placed(exchange);
	if (choice->reservation_count == 0) {
		relay_attempt_send(exchange);
		return;
	}
	relay_holds_begin(
	    &exchange->holds, relay, choice, on_reserved, exchange);
}

static void
on_connected(struct relay_exchange *exchange)
{
	relay_path_on_connected(exchange->relay);
}

static void
on_unreached(struct relay_exchange *exchange)
{
	exchange->forward.unreached++;
	relay_path_on_unreached(exchange->relay, exchange->upstream_id);
}

static void
on_sent(struct relay_exchange *exchange)
{
	relay_forward_record_sent(exchange, exchange->upstream_id);
}

/* An upstream's head says nothing beyond what relay_head_read() has read. */
static bool
read_head(struct relay_exchange *exchange, const struct http_head *head)
{
	(void)exchange;
	(void)head;
	return true;
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

/* Records the time for which a complete stream took a slot, unless it was resumed:
 * another upstream began it then. The request and its parts are no suspects any
 * more. */
static void
on_answered(struct relay_exchange *exchange)
{
	if (exchange->answer_class == ANSWER_EVENTS &&
	    !exchange->request.has_partial_answer &&
	    exchange->first_event_ms != 0)
		placement_record_answer(&exchange->relay->placement,
		    &exchange->work,
		    (double)(host_now_ms() - exchange->first_event_ms));
	relay_crash_clear(exchange);
}

static void
on_failed(struct relay_exchange *exchange, enum error_code error, bool is_fault)
{
	if (is_fault)
		record_fault(exchange, error);
	if (!exchange->is_sent)
		count_unsent(exchange, error);
}

static void
on_end(struct relay_exchange *exchange)
{
	placement_end(&exchange->relay->placement, &exchange->work);
	relay_holds_end(&exchange->holds, exchange->relay);
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
		relay_attempt_send(exchange);
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

/* Counts an attempt that reached no upstream. */
static void
count_unsent(struct relay_exchange *exchange, enum error_code error)
{
	if (error == ERROR_CONNECTION)
		exchange->attempts_absent++;
	else if (error == ERROR_TIMEOUT || error == ERROR_NO_CAPACITY)
		exchange->attempts_unsent++;
}

/* Counts the failure against the upstream. If it has ended, the other hosts are
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
