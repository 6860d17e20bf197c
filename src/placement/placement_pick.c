/**
 * @file placement_pick.c
 * The placement decision: choice of the upstream among the candidates, and of
 * the side for short or long prompts.
 */
#include <math.h>
#include <string.h>

#include "placement/placement_parts.h"

/* Interval at which a request that no upstream may get yet tries again. */
#define RATE_RETRY_MS 20

/* Longest part of a long prompt on an engine with short answers. */
#define SHORT_SIDE_PART_MS_MAX 60.0
/* Share of the route's pause limit that the prefill of a part may take. */
#define PAUSE_LIMIT_SHARE 0.85
/* A route's prompts are long if the average one needs more prefill than this
 * share of the route's pause limit. */
#define LONG_PREFILL_SHARE 0.4
/* A prompt that waits for engines without answers takes any others this long before
 * it would be too late, as the engines it needs are not all free at once. */
#define GUARD_MARGIN_MS 1000
/* Share of the engines that short prompts are assumed to need after a start. */
#define STARTING_SHORT_SHARE 0.6
/* Weight of the newest prompt in a route's average. */
#define PROFILE_WEIGHT 0.05
#define MS_PER_S       1000.0
#define PER_MILLION    1e6

static bool is_long_request(
    struct placement *placement, const struct placement_request *request);
static uint64_t find_short_rank_max(struct placement_context *context);
static void classify_prompt(struct placement_context *context,
    const struct placement_queue_entry *entry);
static enum error_code pick_among_all(struct placement_context *context,
    struct placement_queue_entry *entry, struct placement_choice *choice);
static enum error_code no_candidate_error(
    const struct placement_context *context,
    struct placement_queue_entry *entry);
static enum error_code choose_upstream(const struct placement_context *context,
    GArray *candidates, struct placement_queue_entry *entry,
    struct placement_choice *choice);
static bool has_home(const GArray *candidates);
static bool fill_choice(const struct placement_context *context,
    const GArray *candidates, struct placement_choice *choice);
static bool exceeds_pause_limit(const struct placement_context *context,
    const struct placement_choice *choice);
static enum error_code choose_idle(const struct placement_context *context,
    const GArray *candidates, struct placement_queue_entry *entry,
    struct placement_choice *choice);
static bool is_prefilled_in_time(const struct placement_context *context,
    const struct placement_choice *choice);
static bool is_decoding(const struct placement_upstream *upstream);
static bool is_pause_guarded(const struct placement_context *context);
static bool stops_answers(const struct placement_context *context,
    const struct placement_upstream *upstream, double part_ms);
static enum error_code too_large_error(const struct placement_context *context);
static enum error_code wait_for_memory(const struct placement_context *context,
    const GArray *candidates, struct placement_queue_entry *entry);
static bool may_lead_on_short_side(const struct placement_context *context);
static gint compare_ranks(gconstpointer left, gconstpointer right);

enum error_code
placement_pick(struct placement *placement,
    const struct placement_request *request, int64_t now_ms,
    struct placement_queue_entry *entry, struct placement_choice *choice)
{
	struct placement_context context = {
	    .placement = placement,
	    .request = request,
	    .now_ms = now_ms,
	    .short_rank_max = UINT64_MAX,
	    .is_queued = entry->service != 0,
	};
	enum error_code error;

	memset(choice, 0, sizeof(*choice));
	placement_sum_peer_loads(placement, now_ms);
	if (request->service->has_engine && request->prompt_tokens > 0)
		classify_prompt(&context, entry);
	error = pick_among_all(&context, entry, choice);
	if (error == ERROR_NONE && choice->is_led_on_short_side &&
	    choice->part_prefill_ms > SHORT_SIDE_PART_MS_MAX) {
		/* With so few helpers the leader's part would stop the short
		 * answers on its engine for too long, so the long side leads
		 * the prompt. */
		context.is_led_on_short_side = false;
		error = pick_among_all(&context, entry, choice);
	}
	if (error != ERROR_CHANGE_PENDING)
		entry->wait = PLACEMENT_WAIT_NONE;
	return error;
}

int64_t
placement_queue_estimate_ms(struct placement *placement,
    const struct route_service *service, int64_t now_ms)
{
	const struct placement_upstream *upstream;
	struct peer_demand peers;
	uint32_t engines;
	GHashTableIter iter;
	uint64_t hash;
	double prefill_ms;

	hash = placement_service_hash(service->name);
	peers = placement_peer_demand(placement, hash, now_ms);
	prefill_ms = placement_queued_prefill_ms(placement, hash, &peers);
	engines = 0;
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!placement_serves(upstream, service))
			continue;
		prefill_ms += placement_backlog_ms(upstream, now_ms);
		engines++;
	}
	return engines == 0 ? 0 : (int64_t)(prefill_ms / engines);
}

/* The time grows linearly with the tokens and, because of attention, also with
 * the number of pairs of tokens. */
double
engine_prefill_ms(const struct engine_speed *engine, double tokens)
{
	double token_pairs_m;

	if (engine->prefill_tokens_per_s <= 0)
		return 0;
	token_pairs_m = tokens * tokens / 2 / PER_MILLION;
	return tokens / engine->prefill_tokens_per_s * MS_PER_S +
	       token_pairs_m * engine->ms_per_1m_token_pairs;
}

/* Whether the request counts as a long prompt. This depends on the average
 * prompt of the route, so that all requests of a route, whose callers accept
 * the same pauses, use the same engines. */
static bool
is_long_request(
    struct placement *placement, const struct placement_request *request)
{
	const struct route *route = request->route;
	struct prompt_profile *profile;

	profile = g_hash_table_lookup(placement->profiles, route->name);
	if (profile == NULL) {
		profile = g_new0(struct prompt_profile, 1);
		profile->mean_tokens = request->prompt_tokens;
		g_hash_table_insert(
		    placement->profiles, g_strdup(route->name), profile);
	}
	profile->mean_tokens +=
	    PROFILE_WEIGHT * (request->prompt_tokens - profile->mean_tokens);
	return engine_prefill_ms(
		   &request->service->engine, profile->mean_tokens) >
	       LONG_PREFILL_SHARE * placement_pause_limit_ms(route);
}

/* Divides the healthy upstreams between short and long prompts: those with the
 * lowest ranks take short prompts. Returns the highest of these ranks, or
 * UINT64_MAX if all of them take short prompts. */
static uint64_t
find_short_rank_max(struct placement_context *context)
{
	const struct placement_upstream *upstream;
	uint64_t rank_max;
	GHashTableIter iter;
	uint32_t short_count;
	GArray *ranks;

	ranks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_iter_init(&iter, context->placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (placement_serves(upstream, context->request->service) &&
		    upstream->ejected_until_ms <= context->now_ms)
			g_array_append_val(ranks, upstream->short_rank);
	}
	context->healthy_count = ranks->len;
	context->demand = placement_demand(context->placement, context->service,
	    &context->peers, context->now_ms);
	split_demand_add(&context->demand, context->others_queued_ms);
	if (context->is_long || context->is_queued)
		split_demand_add(&context->demand, context->prefill_ms);
	/* What the callers of the other hosts want isn't known yet. */
	if (placement_has_feature(context->placement, PLACEMENT_SHARE_SLOTS) &&
	    placement_is_starting(context->placement, context->now_ms))
		context->demand.short_engines =
		    MAX(context->demand.short_engines,
			ranks->len * STARTING_SHORT_SHARE);
	short_count = placement_has_room_for(context, PLACEMENT_GUARD_PAUSES)
			  ? split_packed_count(ranks->len, &context->demand)
			  : split_short_count(ranks->len, &context->demand);
	context->short_count = short_count;
	g_array_sort(ranks, compare_ranks);
	rank_max = short_count >= ranks->len || short_count == 0
		       ? UINT64_MAX
		       : g_array_index(ranks, uint64_t, short_count - 1);
	g_array_unref(ranks);
	return rank_max;
}

/* Fills the part of the context that depends on the prompt: its length class,
 * its prefill time and memory, and the division of the engines. */
static void
classify_prompt(struct placement_context *context,
    const struct placement_queue_entry *entry)
{
	const struct placement_request *request = context->request;

	context->service = placement_service_hash(request->service->name);
	context->peers = placement_peer_demand(
	    context->placement, context->service, context->now_ms);
	context->others_queued_ms =
	    placement_queued_prefill_ms(
		context->placement, context->service, &context->peers) -
	    entry->prefill_ms;
	context->is_long = is_long_request(context->placement, request);
	context->prefill_ms = engine_prefill_ms(
	    &request->service->engine, request->prompt_tokens);
	context->kv_tokens =
	    (uint64_t)(request->prompt_tokens + request->answer_tokens);
	/* Such a prompt fits in no engine, so helpers store a part of its
	 * KV. */
	context->is_too_large =
	    context->kv_tokens > request->service->engine.kv_tokens;
	context->short_rank_max = find_short_rank_max(context);
	context->is_gathered =
	    context->is_too_large && !request->has_partial_answer &&
	    placement_has_room_for(context, PLACEMENT_QUEUE_LARGE);
	context->is_pause_guarded = is_pause_guarded(context);
	context->is_led_on_short_side = may_lead_on_short_side(context);
}

/* Collects the candidates and chooses among them. */
static enum error_code
pick_among_all(struct placement_context *context,
    struct placement_queue_entry *entry, struct placement_choice *choice)
{
	enum error_code error;
	GArray *candidates;

	candidates = placement_collect_candidates(context);
	if (candidates->len > 0)
		error = choose_upstream(context, candidates, entry, choice);
	else
		error = no_candidate_error(context, entry);
	g_array_unref(candidates);
	return error;
}

/* For the load after a restart of all hosts, when every caller comes back to
 * the first host that is ready: it may send each upstream a few requests a
 * second only, and the others are served soon after if they wait. The same
 * holds for upstreams that have named limits. */
static enum error_code
no_candidate_error(const struct placement_context *context,
    struct placement_queue_entry *entry)
{
	int64_t latest_start_ms;

	if (context->usable_count == 0)
		return ERROR_NO_UPSTREAM;
	if (context->limited_count == 0)
		return ERROR_NO_CAPACITY;
	latest_start_ms =
	    placement_latest_start_ms(context, context->prefill_ms);
	if (context->now_ms >= latest_start_ms)
		return ERROR_NO_CAPACITY;
	if (context->now_ms + context->limited_wait_ms >= latest_start_ms)
		return ERROR_DEADLINE_UNREACHABLE;
	return placement_wait_for(entry, PLACEMENT_WAIT_RATE, RATE_RETRY_MS);
}

/* Chooses the cheapest candidate, if the request may start now. */
static enum error_code
choose_upstream(const struct placement_context *context, GArray *candidates,
    struct placement_queue_entry *entry, struct placement_choice *choice)
{
	enum error_code error;

	error = ERROR_NONE;
	if (context->is_too_large && !context->is_gathered) {
		if (!placement_is_idle_enough(context, candidates))
			error = too_large_error(context);
	} else if (context->is_long || context->is_gathered)
		error = placement_check_turn(context, candidates, entry);
	else if (!context->is_too_large && context->kv_tokens > 0)
		error = placement_check_slot(context, candidates, entry);
	if (error != ERROR_NONE)
		return error;
	if (placement_has_feature(context->placement, PLACEMENT_WEIGH_BORDERS))
		placement_weigh_border(context, candidates);
	if (!context->is_long && !context->is_too_large &&
	    context->kv_tokens > 0 &&
	    placement_has_feature(context->placement, PLACEMENT_SHARE_SLOTS))
		placement_spread_over_slots(context, candidates);
	if (!fill_choice(context, candidates, choice))
		return context->is_gathered
			   ? wait_for_memory(context, candidates, entry)
			   : too_large_error(context);
	if (exceeds_pause_limit(context, choice))
		return choose_idle(context, candidates, entry, choice);
	return ERROR_NONE;
}

/* Fills the choice with the cheapest candidate and with helpers among the
 * others. Returns false if these together lack memory for the prompt. */
static bool
fill_choice(const struct placement_context *context, const GArray *candidates,
    struct placement_choice *choice)
{
	const struct placement_candidate *best;

	memset(choice, 0, sizeof(*choice));
	best = &g_array_index(candidates, struct placement_candidate, 0);
	choice->upstream = best->upstream;
	choice->is_long = context->is_long;
	choice->has_home = has_home(candidates);
	choice->is_led_on_short_side =
	    context->is_led_on_short_side && best->takes_short;
	choice->kv_tokens = context->kv_tokens;
	choice->wait_ms = best->backlog_ms;
	choice->short_count = context->short_count;
	choice->usable_count = context->usable_count;
	choice->demand = context->demand;
	if (context->kv_tokens == 0)
		return true;
	choice->prefill_ms = context->prefill_ms;
	/* A prompt whose KV exceeds one engine always needs helpers. */
	if (!context->request->is_without_helpers || context->is_too_large)
		placement_choose_helpers(context, candidates, choice);
	choice->part_prefill_ms =
	    choice->prefill_ms / (choice->helper_count + 1);
	return !context->is_too_large ||
	       placement_choose_reservations(context, choice);
}

/* Whether the prompt waits for engines on which it stops no answer for too long.
 * A large prompt stops those of a dozen engines, so its own answer is rather late
 * than all of these; it does without such engines only when it could not start
 * later. */
static bool
is_pause_guarded(const struct placement_context *context)
{
	const struct placement_request *request = context->request;
	int64_t latest_ms;

	if (!placement_has_room_for(context, PLACEMENT_GUARD_PAUSES) ||
	    !context->is_long || request->has_partial_answer ||
	    (context->is_too_large && !context->is_gathered))
		return false;
	latest_ms = placement_latest_start_ms(
	    context, placement_smallest_part_ms(context));
	return context->now_ms < latest_ms - GUARD_MARGIN_MS;
}

static bool
has_home(const GArray *candidates)
{
	guint i;

	for (i = 0; i < candidates->len; i++) {
		if (g_array_index(candidates, struct placement_candidate, i)
			.upstream->is_local)
			return true;
	}
	return false;
}

/* Whether prefill of the prompt would pause answers on the chosen engines for
 * longer than their callers accept. This happens when one prompt of several
 * hundred thousand tokens arrives among many of a hundred thousand, and on
 * engines that took short prompts a moment ago. */
static bool
exceeds_pause_limit(const struct placement_context *context,
    const struct placement_choice *choice)
{
	const struct placement_request *request = context->request;
	const struct placement_upstream *helper;
	uint32_t i;

	if (!context->is_long || request->has_partial_answer ||
	    (context->is_too_large && !context->is_pause_guarded))
		return false;
	if (stops_answers(context, choice->upstream, choice->part_prefill_ms))
		return true;
	for (i = 0; i < choice->helper_count; i++) {
		helper = g_hash_table_lookup(
		    context->placement->upstreams, &choice->helpers[i]);
		if (helper != NULL &&
		    stops_answers(context, helper, choice->part_prefill_ms))
			return true;
	}
	return false;
}

/* Whether a part of this size stops an answer of the engine for too long. */
static bool
stops_answers(const struct placement_context *context,
    const struct placement_upstream *upstream, double part_ms)
{
	const struct route *route = context->request->route;

	if (context->is_pause_guarded)
		return !placement_bears_part(context, upstream, part_ms);
	return part_ms > PAUSE_LIMIT_SHARE * placement_pause_limit_ms(route) &&
	       is_decoding(upstream);
}

/* Chooses only engines whose answers the prompt doesn't stop. If there are too
 * few of them to meet the target, the prompt waits until it would be too late to
 * start. */
static enum error_code
choose_idle(const struct placement_context *context, const GArray *candidates,
    struct placement_queue_entry *entry, struct placement_choice *choice)
{
	const struct placement_candidate *candidate;
	enum error_code error;
	uint32_t engines;
	GArray *idle;
	guint i;

	engines = 0;
	idle = g_array_new(FALSE, FALSE, sizeof(*candidate));
	for (i = 0; i < candidates->len; i++) {
		candidate =
		    &g_array_index(candidates, struct placement_candidate, i);
		if (candidate->takes_short)
			continue;
		engines++;
		if (!stops_answers(context, candidate->upstream,
			context->is_pause_guarded
			    ? placement_smallest_part_ms(context)
			    : INFINITY))
			g_array_append_vals(idle, candidate, 1);
	}
	error = placement_wait_for(entry, PLACEMENT_WAIT_TURN, 0);
	if (idle->len > 0) {
		if (fill_choice(context, idle, choice) &&
		    is_prefilled_in_time(context, choice) &&
		    !exceeds_pause_limit(context, choice))
			error = ERROR_NONE;
	}
	if (engines == 0)
		error =
		    ERROR_NONE; /* No engine for long prompts to wait for. */
	else if (error != ERROR_NONE &&
		 context->now_ms >= placement_latest_start_ms(
					context, context->prefill_ms / engines))
		error = ERROR_DEADLINE_UNREACHABLE;
	g_array_unref(idle);
	return error;
}

/* Whether prefill would end before the target for the first token or, once that
 * target has passed, early enough to leave time for the answer. */
static bool
is_prefilled_in_time(const struct placement_context *context,
    const struct placement_choice *choice)
{
	const struct placement_request *request = context->request;
	int64_t target_ms, prefilled_ms;

	target_ms = request->arrived_ms + request->route->target_ms;
	prefilled_ms = context->now_ms + (int64_t)choice->part_prefill_ms;
	if (context->now_ms < target_ms)
		return prefilled_ms <= target_ms;
	return prefilled_ms <= placement_latest_answer_ms(context);
}

/* Whether the upstream decodes an answer: some request there is past its
 * prefill. */
static bool
is_decoding(const struct placement_upstream *upstream)
{
	return upstream->own.running + upstream->others.running >
	       upstream->own.leading + upstream->others.leading;
}

double
placement_pause_limit_ms(const struct route *route)
{
	return route->pause_limit_ms > 0 ? (double)route->pause_limit_ms
					 : (double)route->target_ms;
}

/* Error for a prompt that exceeds one engine and can't start now. Nobody can
 * predict when it could, so its caller isn't kept waiting, unless part of the
 * answer was sent already. */
static enum error_code
too_large_error(const struct placement_context *context)
{
	return context->request->has_partial_answer
		   ? ERROR_NO_CAPACITY
		   : ERROR_DEADLINE_UNREACHABLE;
}

/* Has a prompt wait until the engines together have memory for it, and refuses it
 * once that would be too late, or at once if they never have. */
static enum error_code
wait_for_memory(const struct placement_context *context,
    const GArray *candidates, struct placement_queue_entry *entry)
{
	if (context->kv_tokens > placement_gathered_tokens_max(context))
		return ERROR_DEADLINE_UNREACHABLE;
	placement_queue_enter(context, entry, candidates->len);
	if (context->now_ms >= entry->latest_start_ms)
		return ERROR_DEADLINE_UNREACHABLE;
	return placement_wait_for(entry, PLACEMENT_WAIT_MEMORY, 0);
}

/* Whether an engine for short prompts may answer this long prompt. If the
 * prompt can be prefilled in many small parts, decoding there is smoother, as
 * the passes of these engines are short. */
static bool
may_lead_on_short_side(const struct placement_context *context)
{
	uint32_t parts;

	if (!context->is_long || context->is_too_large ||
	    context->healthy_count <= context->short_count)
		return false;
	parts = MIN(context->healthy_count - context->short_count,
		    PLACEMENT_HELPERS_MAX) +
		1;
	return context->prefill_ms / parts < SHORT_SIDE_PART_MS_MAX;
}

static gint
compare_ranks(gconstpointer left, gconstpointer right)
{
	uint64_t first = *(const uint64_t *)left;
	uint64_t second = *(const uint64_t *)right;

	return first == second ? 0 : first < second ? -1 : 1;
}
