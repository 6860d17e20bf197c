/**
 * @file placement_candidates.c
 * The candidates of a placement decision: which upstreams may take a request
 * now, and what placing it on each of them would cost.
 */
#include <string.h>

#include "placement/cold_turn.h"
#include "placement/placement_parts.h"

/* Period over which requests sent to an upstream are limited. */
#define RATE_WINDOW_MS 1000
/* Share of the limit on sent requests that is used, as arrivals come in
 * bursts. */
#define RATE_MARGIN 0.9
/* Ejection is ignored if more than this share of a service's upstreams would be
 * ejected. */
#define EJECTED_SHARE_MAX 0.5

/* Bytes of an answer that a token takes on the wire. */
#define ANSWER_TOKEN_BYTES 4.0

/* Costs of a candidate, in milliseconds of prefill backlog */

/* Cost of an upstream on which every request fails. */
#define FAILURE_COST_MS 400.0
/* Cost of each running request, as it slows the others down. */
#define RUNNING_COST_MS 3.0
/* Cost of each request beyond the slots, as it waits for a free one. */
#define FULL_COST_MS 90.0
/* Cost of too little free KV memory: the request would wait for long. */
#define MEMORY_COST_MS 4000.0
/* Cost of an upstream in another data centre. */
#define OTHER_DATA_CENTRE_COST_MS 0.6
/* Cost of an upstream that another host has ejected. */
#define PEER_EJECTED_COST_MS 200.0
/* Cost of a short prompt on an engine for long ones. */
#define SHORT_ON_LONG_SIDE_COST_MS 350.0
/* Cost of a long prompt on an engine for short ones. */
#define LONG_ON_SHORT_SIDE_COST_MS 1500.0
/* Cost of each short answer that the prefill of a long prompt would stop. */
#define SHORT_BESIDE_LONG_COST_MS 15.0
/* Cost of answers that a long prompt would stop for longer than their callers
 * accept. */
#define PAUSED_ANSWERS_COST_MS 1000.0
/* Cost of a long prompt's answer on an engine that runs nothing: the fewer
 * engines decode, the more may prefill large parts. */
#define IDLE_LEADER_COST_MS 30.0
/* Largest random cost for each entry host, at least 1 ms in all. */
#define RANDOM_COST_PER_HOST_MS 0.1
/* Number of different random costs. */
#define RANDOM_STEPS 1000

static struct placement_candidate make_candidate(
    const struct placement_context *context,
    struct placement_upstream *upstream);
static gint compare_candidates(gconstpointer left, gconstpointer right);
static void request_probe(const struct placement_context *context,
    struct placement_upstream *upstream);
static bool is_limited(struct placement_context *context,
    const struct placement_upstream *upstream);
static int64_t wait_for_cold_turn(const struct placement_context *context,
    const struct placement_upstream *upstream);
static double cold_requests_per_s(
    const struct placement *placement, const struct route_service *service);
static bool is_tried(const struct placement_request *request, uint64_t id);
static bool is_over_rate(const struct placement *placement,
    const struct placement_upstream *upstream,
    const struct route_service *service, int64_t now_ms);
static double estimate_cost_ms(const struct placement_context *context,
    const struct placement_candidate *candidate);

GArray *
placement_collect_candidates(struct placement_context *context)
{
	struct placement *placement = context->placement;
	struct placement_upstream *upstream;
	struct placement_candidate candidate;
	GArray *healthy, *ejected, *unreached;
	uint32_t limited_reached;
	GHashTableIter iter;

	context->usable_count = context->limited_count = 0;
	limited_reached = 0;
	context->limited_wait_ms = INT64_MAX;
	healthy = g_array_new(FALSE, FALSE, sizeof(candidate));
	ejected = g_array_new(FALSE, FALSE, sizeof(candidate));
	unreached = g_array_new(FALSE, FALSE, sizeof(candidate));
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!placement_serves(upstream, context->request->service))
			continue;
		context->usable_count++;
		if (is_tried(context->request, upstream->id))
			continue;
		if (is_limited(context, upstream)) {
			context->limited_count++;
			limited_reached += !upstream->is_unreached;
			continue;
		}
		candidate = make_candidate(context, upstream);
		if (upstream->is_unreached) {
			request_probe(context, upstream);
			g_array_append_val(unreached, candidate);
		} else if (upstream->ejected_until_ms <= context->now_ms)
			g_array_append_val(healthy, candidate);
		else
			g_array_append_val(ejected, candidate);
	}
	if (ejected->len > 0 &&
	    (healthy->len == 0 ||
		ejected->len > EJECTED_SHARE_MAX * context->usable_count))
		g_array_append_vals(healthy, ejected->data, ejected->len);
	if (healthy->len == 0 && limited_reached == 0 && unreached->len > 0)
		g_array_append_vals(healthy, unreached->data, unreached->len);
	g_array_unref(ejected);
	g_array_unref(unreached);
	g_array_sort(healthy, compare_candidates);
	return healthy;
}

static struct placement_candidate
make_candidate(const struct placement_context *context,
    struct placement_upstream *upstream)
{
	struct placement *placement = context->placement;
	struct placement_candidate candidate;

	candidate.upstream = upstream;
	candidate.takes_short = upstream->short_rank <= context->short_rank_max;
	candidate.backlog_ms = placement_backlog_ms(upstream, context->now_ms);
	/* The random part of the cost keeps hosts from all choosing the same
	 * upstream, as each learns late what the others chose. */
	candidate.cost_ms =
	    estimate_cost_ms(context, &candidate) +
	    random_below(&placement->random, RANDOM_STEPS) *
		MAX(placement->host_count * RANDOM_COST_PER_HOST_MS, 1.0) /
		RANDOM_STEPS;
	return candidate;
}

static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
	const struct placement_candidate *first = left, *second = right;

	if (first->cost_ms == second->cost_ms)
		return 0;
	return first->cost_ms < second->cost_ms ? -1 : 1;
}

/* Has a connection tried to an upstream whose ejection has ended. */
static void
request_probe(const struct placement_context *context,
    struct placement_upstream *upstream)
{
	if (upstream->ejected_until_ms > context->now_ms)
		return;
	upstream->is_probe_due = true;
	context->placement->has_probes_due = true;
}

/* Whether this host may not send the upstream a request now, because it may be
 * cold or because of the limit that it named. */
static bool
is_limited(struct placement_context *context,
    const struct placement_upstream *upstream)
{
	int64_t wait_ms;

	wait_ms = upstream_notice_wait_ms(&upstream->notice, context->now_ms);
	wait_ms = MAX(wait_ms, wait_for_cold_turn(context, upstream));
	if (wait_ms == 0 && !is_over_rate(context->placement, upstream,
				context->request->service, context->now_ms))
		return false;
	context->limited_wait_ms = MIN(context->limited_wait_ms, wait_ms);
	return true;
}

static int64_t
wait_for_cold_turn(const struct placement_context *context,
    const struct placement_upstream *upstream)
{
	const struct placement *placement = context->placement;
	const struct route_service *service = context->request->service;
	struct cold_turn turn = {
	    .requests_per_s = cold_requests_per_s(placement, service),
	    .cold_ms = service->cold_ms,
	    .known_ms = upstream->known_ms,
	};
	uint32_t i;

	if (!cold_turn_is_needed(&turn, context->now_ms))
		return 0;
	turn.share = placement_notice_share(placement, upstream);
	for (i = 0; i < PLACEMENT_RATE_SLOTS; i++)
		turn.last_sent_ms =
		    MAX(turn.last_sent_ms, upstream->sent_ms[i]);
	return cold_turn_wait_ms(&turn, context->now_ms);
}

/* Requests a second that a cold upstream can take from all hosts together, 0
 * for any number. */
static double
cold_requests_per_s(
    const struct placement *placement, const struct route_service *service)
{
	if (service->cold_requests_per_s <= 0)
		return 0;
	return service->cold_requests_per_s *
		   placement->settings.cold_overshoot +
	       placement->settings.cold_slack;
}

static bool
is_tried(const struct placement_request *request, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < request->tried_count; i++) {
		if (request->tried[i] == id)
			return true;
	}
	return false;
}

/* Whether this host has sent its share of the requests per second that a cold
 * upstream can take from all hosts. */
static bool
is_over_rate(const struct placement *placement,
    const struct placement_upstream *upstream,
    const struct route_service *service, int64_t now_ms)
{
	uint32_t bound, count, i;
	double total;

	total = cold_requests_per_s(placement, service);
	if (total <= 0)
		return false;
	bound = (uint32_t)(total * RATE_MARGIN / placement->host_count);
	bound = CLAMP(bound, 1, PLACEMENT_RATE_SLOTS);
	count = 0;
	for (i = 0; i < PLACEMENT_RATE_SLOTS; i++) {
		if (upstream->sent_ms[i] != 0 &&
		    now_ms - upstream->sent_ms[i] < RATE_WINDOW_MS)
			count++;
	}
	return count >= bound;
}

/* Cost of placing the request on the candidate, in milliseconds of backlog. */
static double
estimate_cost_ms(const struct placement_context *context,
    const struct placement_candidate *candidate)
{
	const struct placement_upstream *upstream = candidate->upstream;
	const struct engine_speed *engine = &context->request->service->engine;
	bool wants_short_side;
	double cost_ms;
	uint32_t running;
	uint64_t used;

	running = upstream->own.running + upstream->others.running;
	cost_ms = candidate->backlog_ms + running * RUNNING_COST_MS +
		  upstream->failure_share * FAILURE_COST_MS;
	if (running >= upstream->slots)
		cost_ms += (running - upstream->slots + 1) * FULL_COST_MS;
	if (!upstream->is_local &&
	    !placement_has_feature(context->placement, PLACEMENT_WEIGH_BORDERS))
		cost_ms += OTHER_DATA_CENTRE_COST_MS;
	if (upstream->others.ejected_until_ms > context->now_ms)
		cost_ms += PEER_EJECTED_COST_MS;
	if (context->kv_tokens == 0)
		return cost_ms;
	wants_short_side = !context->is_long || context->is_led_on_short_side;
	if (candidate->takes_short && !wants_short_side)
		cost_ms += LONG_ON_SHORT_SIDE_COST_MS;
	if (!candidate->takes_short && wants_short_side)
		cost_ms += SHORT_ON_LONG_SIDE_COST_MS;
	if (!candidate->takes_short && !wants_short_side)
		cost_ms +=
		    placement_count_short(upstream) * SHORT_BESIDE_LONG_COST_MS;
	if (context->is_pause_guarded && running == 0)
		cost_ms += IDLE_LEADER_COST_MS;
	if (!placement_bears_part(
		context, upstream, placement_smallest_part_ms(context)))
		cost_ms += PAUSED_ANSWERS_COST_MS;
	used = upstream->own.kv_tokens + upstream->others.kv_tokens;
	if (context->is_too_large)
		cost_ms +=
		    MEMORY_COST_MS * (double)used / (double)engine->kv_tokens;
	else if (used + context->kv_tokens > engine->kv_tokens)
		cost_ms += MEMORY_COST_MS;
	return cost_ms;
}

void
placement_weigh_border(
    const struct placement_context *context, GArray *candidates)
{
	const struct placement_request *request = context->request;
	const struct placement *placement = context->placement;
	const struct placement_candidate *candidate;
	struct border_offer offer = {
	    .delay_ms = request->service->engine.border_delay_ms,
	    .bytes = request->body_bytes +
		     request->answer_tokens * ANSWER_TOKEN_BYTES,
	    .ms_per_mb = placement->settings.features.border_ms_per_mb,
	    .facts_age_ms = placement->host_count > 1
				? context->now_ms - placement->last_report_ms
				: 0,
	};
	guint home, away, i;

	home = away = 0;
	for (i = candidates->len; i > 0; i--) {
		candidate = &g_array_index(
		    candidates, struct placement_candidate, i - 1);
		if (candidate->upstream->is_local) {
			offer.has_home = true;
			offer.home_cost_ms = candidate->cost_ms;
			home = i - 1;
		} else {
			offer.has_away = true;
			offer.away_cost_ms = candidate->cost_ms;
			away = i - 1;
		}
	}
	i = random_unit(&context->placement->random) < border_away_share(&offer)
		? away
		: home;
	placement_candidate_to_front(candidates, i);
}

double
placement_helper_border_ms(const struct placement_context *context,
    const struct placement_upstream *helper, double part_ms)
{
	const struct engine_speed *engine = &context->request->service->engine;
	const struct placement *placement = context->placement;
	struct border_offer offer = {
	    .delay_ms = engine->border_delay_ms,
	    .ms_per_mb = placement->settings.features.border_ms_per_mb,
	};

	if (helper->is_local || context->prefill_ms <= 0 ||
	    !placement_has_feature(placement, PLACEMENT_WEIGH_BORDERS))
		return 0;
	offer.bytes = context->request->prompt_tokens * part_ms /
		      context->prefill_ms * engine->kv_token_bytes;
	return border_cost_ms(&offer);
}

void
placement_candidate_to_front(GArray *candidates, guint index)
{
	struct placement_candidate *all =
	    (struct placement_candidate *)(void *)candidates->data;
	struct placement_candidate chosen;

	if (index >= candidates->len)
		return;
	chosen = all[index];
	memmove(all + 1, all, index * sizeof(*all));
	all[0] = chosen;
}
