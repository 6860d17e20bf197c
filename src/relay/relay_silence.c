#include <jansson.h>

#include "base/event_log.h"
#include "relay/relay_parts.h"

/* Period of the check for a stalled upstream. */
#define SILENCE_CHECK_PERIOD_MS 150
/* An upstream of a route without event streams counts as stalled after this
 * many target times of the route. */
#define PLAIN_SILENCE_TARGETS 3

static void silence_tick(void *context);
static struct silence describe_silence(const struct relay_exchange *exchange);
static void on_probed(void *context, enum error_code error);
static void abandon_attempt(struct relay_exchange *exchange);
static bool may_go_on(const struct relay_exchange *exchange);

void
relay_silence_watch(struct relay_exchange *exchange)
{
	timer_cancel(&exchange->relay->timers, &exchange->stall_timer);
	if (!may_repeat_request(
		exchange->route->kind, exchange->route->is_resumable) ||
	    !may_go_on(exchange))
		return;
	/* If no timer is free, the request's deadline ends a stalled
	 * attempt. */
	(void)timer_subscribe_once(&exchange->relay->timers,
	    SILENCE_CHECK_PERIOD_MS,
	    (struct timer_callback){silence_tick, exchange},
	    &exchange->stall_timer);
}

static void
silence_tick(void *context)
{
	struct relay_exchange *exchange = context;
	struct relay *relay = exchange->relay;
	struct silence silence = describe_silence(exchange);
	enum silence_action action;
	int64_t now_ms;

	now_ms = host_now_ms();
	action = SILENCE_WAIT;
	if (!exchange->is_sent || !relay_events_can_resume(&exchange->events)) {
		/* The attempt is still connecting, with a timeout of its own,
		 * or nobody else can continue its stream. */
	} else if (exchange->route->kind != ROUTE_KIND_STREAM) {
		if (now_ms - exchange->last_progress_ms >
		    exchange->route->target_ms * PLAIN_SILENCE_TARGETS)
			action = SILENCE_ABANDON;
	} else {
		action = placement_evaluate_silence(
		    &relay->placement, exchange->upstream_id, &silence, now_ms);
	}
	if (action == SILENCE_ABANDON) {
		abandon_attempt(exchange);
		return;
	}
	relay_silence_watch(exchange);
	if (action != SILENCE_PROBE || exchange->probe != NULL)
		return;
	exchange->probed_ms = now_ms;
	exchange->probe = upstream_pool_probe(
	    &relay->pool, exchange->upstream_address, on_probed, exchange);
	if (exchange->probe == NULL)
		abandon_attempt(exchange);
}

static struct silence
describe_silence(const struct relay_exchange *exchange)
{
	return (struct silence){
	    .sent_ms = exchange->sent_ms,
	    .since_ms = exchange->last_progress_ms,
	    .expected_ms = exchange->expected_ms,
	    .pause_limit_ms = route_patience_ms(exchange->route),
	    .is_reachable = exchange->is_reachable,
	    .probed_ms = exchange->probed_ms,
	};
}

static void
on_probed(void *context, enum error_code error)
{
	struct relay_exchange *exchange = context;
	struct silence silence = describe_silence(exchange);

	exchange->probe = NULL;
	exchange->is_reachable = error == ERROR_NONE;
	if (error == ERROR_NONE || placement_evaluate_unreached(&silence,
				       exchange->probed_ms) == SILENCE_WAIT)
		return;
	exchange->attempt->on_unreached(exchange);
	abandon_attempt(exchange);
}

static void
abandon_attempt(struct relay_exchange *exchange)
{
	event_log_write_fields(EVENT_UPSTREAM_STALLED, "{s:s,s:s,s:I,s:f,s:b}",
	    "request", exchange->attempt_id, "upstream",
	    exchange->upstream_name, "silent_ms",
	    (json_int_t)(host_now_ms() - exchange->last_progress_ms),
	    "expected_ms", exchange->expected_ms, "reachable",
	    exchange->is_reachable);
	relay_attempt_abort(exchange, ERROR_STALLED, true);
}

/* Whether another attempt may follow, here or at the host that forwarded the
 * request. */
static bool
may_go_on(const struct relay_exchange *exchange)
{
	return exchange->forward.received.may_go_on ||
	       exchange->attempts_sent < relay_exchange_attempts_max(exchange);
}
