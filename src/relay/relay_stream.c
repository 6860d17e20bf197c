/*
 * The event stream of an attempt's answer: whole events go to the caller, and the
 * times at which they come say how the upstream gets on.
 */
#include <jansson.h>

#include "base/event_log.h"
#include "relay/relay_parts.h"

static void note_events(struct relay_exchange *exchange);
static void record_event_times(struct relay_exchange *exchange);
static void record_first_event(struct relay_exchange *exchange);
static void record_progress(struct relay_exchange *exchange);

void
relay_stream_begin(struct relay_exchange *exchange, struct http_head *head)
{
	exchange->is_chunked = head->is_chunked;
	exchange->is_unframed = !head->is_chunked && !head->has_length;
	if (exchange->is_answering)
		return;
	relay_answer_begin(exchange->caller, head);
	exchange->is_answering = true;
}

void
relay_stream_add(struct relay_exchange *exchange, const char *data, size_t size)
{
	relay_events_add(&exchange->events, data, size);
	if (!exchange->is_chunked ||
	    relay_events_pending(&exchange->events) > EVENT_BYTES_MAX)
		relay_stream_forward(exchange);
}

void
relay_stream_forward(struct relay_exchange *exchange)
{
	enum error_code error;
	GByteArray *out;
	uint32_t count;

	out = g_byte_array_new();
	error = relay_events_take(&exchange->events, out, &count);
	if (count > 0) {
		relay_answer_chunk(exchange->caller, out->data, out->len);
		note_events(exchange);
	}
	g_byte_array_unref(out);
	if (error != ERROR_NONE)
		relay_attempt_abort(exchange, error, true);
	else if (relay_caller_is_overloaded(exchange->caller))
		relay_exchange_abort(exchange, ERROR_TOO_LARGE);
}

bool
relay_stream_is_whole(const struct relay_exchange *exchange)
{
	return !relay_events_is_partial(&exchange->events) &&
	       (exchange->has_progress || !exchange->is_unframed);
}

static void
note_events(struct relay_exchange *exchange)
{
	struct placement *placement = &exchange->relay->placement;

	if (!exchange->has_progress)
		placement_record_success(placement, exchange->upstream_id);
	placement_record_prefilled(placement, &exchange->work);
	if (!exchange->has_progress) {
		exchange->progress_began_ms = host_now_ms();
		relay_schedule_report(exchange->relay);
		record_first_event(exchange);
		event_log_write_fields(EVENT_ANSWER_STARTED,
		    "{s:s,s:s,s:I,s:f}", "request", exchange->attempt_id,
		    "upstream", exchange->upstream_name, "ms",
		    (json_int_t)(host_now_ms() - exchange->sent_ms),
		    "expected_ms", exchange->expected_ms);
	}
	exchange->has_progress = true;
	relay_crash_note_progress(exchange);
	record_progress(exchange);
	record_event_times(exchange);
}

/* Records the times of events as the caller sees them, over all attempts. */
static void
record_event_times(struct relay_exchange *exchange)
{
	int64_t now_ms = host_now_ms();

	if (exchange->first_event_ms == 0)
		exchange->first_event_ms = now_ms;
	else
		exchange->longest_pause_ms = MAX(exchange->longest_pause_ms,
		    now_ms - exchange->last_event_ms);
	exchange->last_event_ms = now_ms;
}

/* Counts the time to the first event, unless the stream was resumed: the caller
 * got its first event from an earlier upstream then. */
static void
record_first_event(struct relay_exchange *exchange)
{
	if (exchange->request.has_partial_answer)
		return;
	metrics_observe(exchange->relay->counters.first_event_ms,
	    (double)(host_now_ms() - exchange->arrived_ms));
}

static void
record_progress(struct relay_exchange *exchange)
{
	exchange->last_progress_ms = host_now_ms();
	exchange->is_reachable = false;
	placement_record_progress(&exchange->relay->placement,
	    exchange->upstream_id, exchange->sent_ms,
	    exchange->last_progress_ms);
}
