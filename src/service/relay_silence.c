#include <jansson.h>

#include "base/event_log.h"
#include "service/relay_parts.h"

#define SILENCE_LOOK_MS 150  /* Between looks at a silent upstream. */
#define PLAIN_GOALS	3    /* Silence of a plain upstream, in goals. */
#define PATIENCE_MIN_MS 2000 /* Callers bear at least this silence... */
#define PATIENCE_GOALS	4    /* ...or the longest of so many goals... */
#define PATIENCE_GAPS	8    /* ...and so many pauses. */

static void run_silence(void *context);
static int64_t patience_of(const struct route *route);
static void note_probed(void *context, enum error_code error);
static void leave_silent(struct relay_exchange *exchange);

/* Only a request that may go elsewhere is watched. */
void
relay_silence_watch(struct relay_exchange *exchange)
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
	relay_silence_watch(exchange);
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
	relay_attempt_failed(exchange, ERROR_STALLED, true);
}
