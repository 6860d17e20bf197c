#include <jansson.h>

#include "base/event_log.h"
#include "relay/relay_parts.h"

static const char *const end_names[] = {
    "answered", "refused", "denied", "failed", "broken", "left"};

static const char *const owner_names[] = {
    "unknown", "request", "earlier", "foreign"};

static int64_t predicted_wait_ms(const struct relay_exchange *exchange);
static int64_t facts_age_ms(const struct relay *relay);
static void log_answer(enum event_number event,
    const struct relay_exchange *exchange, const struct http_head *head);
static void copy_printable(char to[ATTEMPT_ID_SIZE], const char *from);

void
relay_trace_end(const struct relay_exchange *exchange, enum exchange_end end,
    enum error_code error)
{
	event_log_write_fields(end == END_ANSWERED ? EVENT_REQUEST_ANSWERED
						   : EVENT_REQUEST_NOT_ANSWERED,
	    "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:i,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:I,"
	    "s:I}",
	    "request", exchange->attempt_id, "route",
	    exchange->route == NULL ? "" : exchange->route->name, "outcome",
	    end_names[end], "why", error_name(error), "upstream",
	    exchange->upstream_name, "ms",
	    (json_int_t)(host_now_ms() - exchange->arrived_ms), "left_ms",
	    (json_int_t)(exchange->route == NULL
			     ? 0
			     : relay_exchange_remaining_ms(exchange)),
	    "sent", (int)exchange->attempts_sent, "status",
	    (json_int_t)(exchange->has_answer ? exchange->answer.status : 0),
	    "events", (json_int_t)exchange->events.count, "first_event_ms",
	    (json_int_t)(exchange->first_event_ms == 0
			     ? -1
			     : exchange->first_event_ms - exchange->arrived_ms),
	    "longest_pause_ms", (json_int_t)exchange->longest_pause_ms,
	    "routes_version",
	    (json_int_t)(exchange->table == NULL ? 0
						 : exchange->table->version),
	    "confirmed_ms",
	    (json_int_t)host_confirmed_remaining(exchange->relay->host),
	    "prompt_tokens", exchange->request.prompt_tokens,
	    "predicted_wait_ms",
	    (json_int_t)(end == END_ANSWERED ? -1
					     : predicted_wait_ms(exchange)),
	    "facts_age_ms", (json_int_t)facts_age_ms(exchange->relay));
}

/* How long the long prompts that are queued now are expected to take, 0 for a
 * request that is no prompt. It sums the reports of all hosts, so it isn't worked
 * out for each answer. */
static int64_t
predicted_wait_ms(const struct relay_exchange *exchange)
{
	if (exchange->service == NULL || exchange->request.prompt_tokens <= 0)
		return 0;
	return placement_queue_estimate_ms(
	    &exchange->relay->placement, exchange->service, host_now_ms());
}

/* Age of what this host last heard of the work of others, -1 if it never has. */
static int64_t
facts_age_ms(const struct relay *relay)
{
	int64_t last_ms = relay->placement.last_report_ms;

	return last_ms == 0 ? -1 : host_now_ms() - last_ms;
}

void
relay_trace_waiting(const struct relay_exchange *exchange)
{
	const struct placement_queue_entry *entry = &exchange->queue_entry;
	int64_t now_ms = host_now_ms();

	if (entry->wait != PLACEMENT_WAIT_TURN &&
	    entry->wait != PLACEMENT_WAIT_MEMORY) {
		event_log_write_fields(EVENT_REQUEST_WAITING,
		    "{s:s,s:s,s:f,s:I,s:I}", "request", exchange->attempt_id,
		    "for",
		    entry->wait == PLACEMENT_WAIT_SLOT ? "slot" : "rate_limit",
		    "prompt_tokens", exchange->request.prompt_tokens, "left_ms",
		    (json_int_t)(exchange->deadline_ms - now_ms),
		    "facts_age_ms", (json_int_t)facts_age_ms(exchange->relay));
		return;
	}
	event_log_write_fields(EVENT_PROMPT_QUEUED,
	    "{s:s,s:s,s:f,s:f,s:I,s:I,s:I}", "request", exchange->attempt_id,
	    "for", entry->wait == PLACEMENT_WAIT_TURN ? "turn" : "memory",
	    "prompt_tokens", exchange->request.prompt_tokens, "work_ms",
	    entry->prefill_ms, "all_wait_ms",
	    (json_int_t)predicted_wait_ms(exchange), "useless_in_ms",
	    (json_int_t)(entry->latest_start_ms - now_ms), "facts_age_ms",
	    (json_int_t)facts_age_ms(exchange->relay));
}

/* Logs an event with all that tells whose answer a head belongs to. */
static void
log_answer(enum event_number event, const struct relay_exchange *exchange,
    const struct http_head *head)
{
	const struct relay_dialect *dialect =
	    &exchange->relay->settings.dialect;
	const struct answer_facts *facts = &exchange->facts;
	const char *id = http_head_get(head, dialect->attempt_id);
	char answer_id[ATTEMPT_ID_SIZE];
	const char *fault = http_head_get(head, dialect->faulty_engine);

	copy_printable(answer_id, id == NULL ? "" : id);
	event_log_write_fields(event,
	    "{s:s,s:s,s:i,s:s,s:f,s:s,s:s,s:i,s:b,s:b,s:b,s:I}", "request",
	    exchange->attempt_id, "upstream", exchange->upstream_name, "status",
	    (int)facts->status, "at_fault", fault == NULL ? "" : fault,
	    "prompt_tokens", exchange->request.prompt_tokens, "answer_id",
	    answer_id, "answer_of", owner_names[facts->owner],
	    "requests_before", (int)facts->requests_before, "says_not_run",
	    facts->is_refusal, "receipt", facts->has_receipt, "forwarded",
	    exchange->forward.to_host != 0, "ms",
	    (json_int_t)(host_now_ms() - exchange->sent_ms));
}

/* Copies the beginning of an id that an upstream wrote. A log line holds valid
 * UTF-8 only. */
static void
copy_printable(char to[ATTEMPT_ID_SIZE], const char *from)
{
	char *at;

	g_strlcpy(to, from, ATTEMPT_ID_SIZE);
	for (at = to; *at != '\0'; at++) {
		if (!g_ascii_isprint(*at))
			*at = '?';
	}
}

void
relay_trace_refused(const struct relay_exchange *exchange)
{
	log_answer(EVENT_REQUEST_REFUSED, exchange, &exchange->partial_head);
}

void
relay_trace_head(
    const struct relay_exchange *exchange, const struct http_head *head)
{
	if (exchange->answer_class == ANSWER_MISMATCHED ||
	    exchange->answer_class == ANSWER_REPEATED)
		log_answer(EVENT_ANSWER_REJECTED, exchange, head);
	else if (exchange->answer_class == ANSWER_UNCONFIRMED)
		log_answer(EVENT_STATUS_UNCONFIRMED, exchange, head);
}

void
relay_trace_placed(const struct relay_exchange *exchange)
{
	const struct placement_choice *choice = &exchange->choice;
	const struct placement_upstream *upstream = choice->upstream;
	int64_t now_ms = host_now_ms();

	event_log_write_fields(EVENT_REQUEST_PLACED,
	    "{s:s,s:s,s:f,s:f,s:f,s:i,s:i,s:i,s:i,s:i,s:f,s:f,s:b,s:b,s:I}",
	    "request", exchange->attempt_id, "upstream",
	    exchange->upstream_name, "prompt_tokens",
	    exchange->request.prompt_tokens, "wait_ms", choice->wait_ms,
	    "read_ms", choice->part_prefill_ms, "helpers",
	    (int)choice->helper_count, "running", (int)upstream->own.running,
	    "running_of_others", (int)upstream->others.running, "light_engines",
	    (int)choice->short_count, "engines", (int)choice->usable_count,
	    "light_demand", choice->demand.short_engines, "heavy_demand",
	    choice->demand.long_engines, "ejected",
	    upstream->ejected_until_ms > now_ms, "ejected_by_others",
	    upstream->others.ejected_until_ms > now_ms, "revision",
	    (json_int_t)atomic_load(
		&exchange->relay->host->published_revision));
}
