#include <string.h>

#include "coordination/placement_parts.h"

#define RATE_WINDOW_MS	     1000   /* The bound on sends is for a second. */
#define RATE_MARGIN	     0.9    /* Of the bound: arrivals bunch up. */
#define EJECTED_SHARE_MAX    0.5    /* Of a service's upstreams. */
#define FAILURE_COST_MS	     400.0  /* Of an upstream that fails all. */
#define RUNNING_COST_MS	     3.0    /* A request beside slows the others. */
#define FULL_COST_MS	     90.0   /* A request beyond the slots waits. */
#define MEMORY_COST_MS	     4000.0 /* One without memory waits long. */
#define FAR_COST_MS	     0.6    /* Another data centre. */
#define AWAY_COST_MS	     200.0  /* Another host leaves it alone. */
#define SHORT_ASTRAY_COST_MS 350.0  /* A short prompt beside long ones. */
#define LONG_ASTRAY_COST_MS  1500.0 /* A long prompt beside short ones. */
#define SHORT_BESIDE_COST_MS 15.0   /* Each short one that it would stop. */
#define LIGHT_PART_MS	     60.0   /* A part that short prompts bear. */
#define BORNE_PART	     0.85   /* Of a pause that its route allows. */
#define HEAVY_GAP_PART	     0.4 /* Longer to read than so much of the pause. */
#define HERD_COST_MS	     0.1 /* Random part, for each entry host. */
#define RANDOM_STEPS	     1000 /* Of the random part. */
#define PROFILE_WEIGHT	     0.05 /* Of the latest prompt in the average. */
#define MS_PER_S	     1000.0
#define PER_MILLION	     1e6

static bool is_heavy_request(
    struct placement *placement, const struct placement_request *request);
static uint64_t find_light_rank(struct placement_gathering *gathering);
static void judge_prompt(struct placement_gathering *gathering,
    const struct placement_waiter *waiter);
static enum error_code pick_among_all(struct placement_gathering *gathering,
    struct placement_waiter *waiter, struct placement_choice *choice);
static enum error_code choose(const struct placement_gathering *gathering,
    const GArray *candidates, struct placement_waiter *waiter,
    struct placement_choice *choice);
static void fill_choice(const struct placement_gathering *gathering,
    const GArray *candidates, struct placement_choice *choice);
static bool is_too_long_a_pause(const struct placement_gathering *gathering,
    const struct placement_choice *choice);
static enum error_code choose_idle(const struct placement_gathering *gathering,
    const GArray *candidates, struct placement_choice *choice);
static bool is_read_in_time(const struct placement_gathering *gathering,
    const struct placement_choice *choice);
static bool has_writers(const struct placement_upstream *upstream);
static double borne_pause_ms(const struct route *route);
static enum error_code give_up_error(
    const struct placement_gathering *gathering);
static bool is_light_led(const struct placement_gathering *gathering);
static gint compare_ranks(gconstpointer left, gconstpointer right);
static gint compare_candidates(gconstpointer left, gconstpointer right);
static GArray *gather(struct placement_gathering *gathering);
static bool is_tried(const struct placement_request *request, uint64_t id);
static bool is_over_rate(const struct placement *placement,
    const struct placement_upstream *upstream,
    const struct route_service *service, int64_t now_ms);
static double cost_of(const struct placement_gathering *gathering,
    const struct placement_candidate *candidate);

enum error_code
placement_pick(struct placement *placement,
    const struct placement_request *request, int64_t now_ms,
    struct placement_waiter *waiter, struct placement_choice *choice)
{
	struct placement_gathering gathering = {
	    .placement = placement,
	    .request = request,
	    .now_ms = now_ms,
	    .light_rank_max = UINT64_MAX,
	    .is_waiting = waiter->service != 0,
	};
	enum error_code error;

	memset(choice, 0, sizeof(*choice));
	placement_sum_others(placement, now_ms);
	if (request->service->has_engine && request->prompt_tokens > 0)
		judge_prompt(&gathering, waiter);
	error = pick_among_all(&gathering, waiter, choice);
	if (error != ERROR_NONE || !choice->is_light_led ||
	    choice->read_ms <= LIGHT_PART_MS)
		return error;
	/* Too few helpers: that part would stop the short answers beside. */
	gathering.is_light_led = false;
	return pick_among_all(&gathering, waiter, choice);
}

int64_t
placement_wait_estimate(struct placement *placement,
    const struct route_service *service, int64_t now_ms)
{
	const struct placement_upstream *upstream;
	struct peer_demand peers;
	uint32_t engines;
	GHashTableIter iter;
	uint64_t hash;
	double work_ms;

	hash = placement_service_hash(service->name);
	peers = placement_peer_demand(placement, hash, now_ms);
	work_ms = placement_waiting_ms(placement, hash, &peers);
	engines = 0;
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!placement_serves(upstream, service))
			continue;
		work_ms += placement_backlog_ms(upstream, now_ms);
		engines++;
	}
	return engines == 0 ? 0 : (int64_t)(work_ms / engines);
}

double
engine_read_ms(const struct engine_speed *engine, double tokens)
{
	double pairs_m;

	if (engine->read_tokens_per_s <= 0)
		return 0;
	pairs_m = tokens * tokens / 2 / PER_MILLION;
	return tokens / engine->read_tokens_per_s * MS_PER_S +
	       pairs_m * engine->pairs_ms;
}

/* By what the route's prompts are like, so that all of them stay together
 * and the pauses that their callers bear are alike. */
static bool
is_heavy_request(
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
	return engine_read_ms(&request->service->engine, profile->mean_tokens) >
	       HEAVY_GAP_PART * borne_pause_ms(route);
}

/* The upstreams of the lowest ranks take short prompts. */
static uint64_t
find_light_rank(struct placement_gathering *gathering)
{
	const struct placement_upstream *upstream;
	uint64_t rank_max;
	GHashTableIter iter;
	uint32_t light;
	GArray *ranks;

	ranks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_iter_init(&iter, gathering->placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (placement_serves(upstream, gathering->request->service) &&
		    upstream->ejected_until_ms <= gathering->now_ms)
			g_array_append_val(ranks, upstream->rank);
	}
	gathering->demand = placement_demand(gathering->placement,
	    gathering->service, &gathering->peers, gathering->now_ms);
	split_demand_add(&gathering->demand, gathering->others_waiting_ms);
	if (gathering->is_heavy || gathering->is_waiting)
		split_demand_add(&gathering->demand, gathering->whole_read_ms);
	light = split_light_count(ranks->len, &gathering->demand);
	gathering->light_count = light;
	gathering->healthy_count = ranks->len;
	g_array_sort(ranks, compare_ranks);
	rank_max = light >= ranks->len || light == 0
		       ? UINT64_MAX
		       : g_array_index(ranks, uint64_t, light - 1);
	g_array_unref(ranks);
	return rank_max;
}

static void
judge_prompt(struct placement_gathering *gathering,
    const struct placement_waiter *waiter)
{
	const struct placement_request *request = gathering->request;

	gathering->service = placement_service_hash(request->service->name);
	gathering->peers = placement_peer_demand(
	    gathering->placement, gathering->service, gathering->now_ms);
	gathering->others_waiting_ms =
	    placement_waiting_ms(
		gathering->placement, gathering->service, &gathering->peers) -
	    waiter->work_ms;
	gathering->is_heavy = is_heavy_request(gathering->placement, request);
	gathering->whole_read_ms =
	    engine_read_ms(&request->service->engine, request->prompt_tokens);
	gathering->kv_tokens =
	    (uint64_t)(request->prompt_tokens + request->answer_tokens);
	/* No engine has the memory: others keep a part of it. */
	gathering->is_too_large =
	    gathering->kv_tokens > request->service->engine.kv_tokens;
	gathering->light_rank_max = find_light_rank(gathering);
	gathering->is_light_led = is_light_led(gathering);
}

static enum error_code
pick_among_all(struct placement_gathering *gathering,
    struct placement_waiter *waiter, struct placement_choice *choice)
{
	enum error_code error;
	GArray *candidates;

	candidates = gather(gathering);
	if (candidates->len > 0)
		error = choose(gathering, candidates, waiter, choice);
	else
		error = gathering->usable_count == 0 ? ERROR_NO_UPSTREAM
						     : ERROR_NO_CAPACITY;
	g_array_unref(candidates);
	return error;
}

/* The best candidate, if the request may go now. */
static enum error_code
choose(const struct placement_gathering *gathering, const GArray *candidates,
    struct placement_waiter *waiter, struct placement_choice *choice)
{
	enum error_code error;

	error = ERROR_NONE;
	if (gathering->is_too_large &&
	    !placement_is_idle_enough(gathering, candidates))
		error = give_up_error(gathering);
	else if (gathering->is_heavy && !gathering->is_too_large)
		error = placement_take_turn(gathering, candidates, waiter);
	if (error != ERROR_NONE)
		return error;
	fill_choice(gathering, candidates, choice);
	if (gathering->is_too_large &&
	    !placement_choose_holders(gathering, choice))
		return give_up_error(gathering);
	if (is_too_long_a_pause(gathering, choice))
		return choose_idle(gathering, candidates, choice);
	return ERROR_NONE;
}

/* The cheapest one, and helpers among the others. */
static void
fill_choice(const struct placement_gathering *gathering,
    const GArray *candidates, struct placement_choice *choice)
{
	const struct placement_candidate *best;

	memset(choice, 0, sizeof(*choice));
	best = &g_array_index(candidates, struct placement_candidate, 0);
	choice->upstream = best->upstream;
	choice->is_heavy = gathering->is_heavy;
	choice->is_light_led = gathering->is_light_led && best->is_light;
	choice->kv_tokens = gathering->kv_tokens;
	choice->wait_ms = best->backlog_ms;
	choice->light_count = gathering->light_count;
	choice->usable_count = gathering->usable_count;
	choice->demand = gathering->demand;
	if (gathering->kv_tokens == 0)
		return;
	choice->whole_read_ms = gathering->whole_read_ms;
	/* What one can't keep, one can't read alone either. */
	if (!gathering->request->is_alone || gathering->is_too_large)
		placement_choose_helpers(gathering, candidates, choice);
	choice->read_ms = choice->whole_read_ms / (choice->helper_count + 1);
}

/* Load answered: one prompt of several hundred thousand tokens among many of
 * a hundred thousand. Its parts would stop all that are being answered on the
 * long prompts' side for longer than their callers bear. */
static bool
is_too_long_a_pause(const struct placement_gathering *gathering,
    const struct placement_choice *choice)
{
	const struct placement_request *request = gathering->request;
	const struct placement_upstream *helper;
	uint32_t i;

	if (!gathering->is_heavy || gathering->is_too_large ||
	    request->is_begun)
		return false;
	if (choice->read_ms <= BORNE_PART * borne_pause_ms(request->route))
		return false;
	if (has_writers(choice->upstream))
		return true;
	for (i = 0; i < choice->helper_count; i++) {
		helper = g_hash_table_lookup(
		    gathering->placement->upstreams, &choice->helpers[i]);
		if (helper != NULL && has_writers(helper))
			return true;
	}
	return false;
}

/* Read only by those that answer nobody; it waits for enough of them, as long
 * as that is of use. */
static enum error_code
choose_idle(const struct placement_gathering *gathering,
    const GArray *candidates, struct placement_choice *choice)
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
		if (candidate->is_light)
			continue;
		engines++;
		if (!has_writers(candidate->upstream))
			g_array_append_vals(idle, candidate, 1);
	}
	error = ERROR_CHANGE_PENDING;
	if (idle->len > 0) {
		fill_choice(gathering, idle, choice);
		if (is_read_in_time(gathering, choice))
			error = ERROR_NONE;
	}
	if (engines == 0)
		error = ERROR_NONE; /* There is nowhere else to wait for. */
	else if (error != ERROR_NONE &&
		 gathering->now_ms >= placement_useless_ms(gathering->request,
					  gathering->whole_read_ms / engines))
		error = ERROR_DEADLINE_UNREACHABLE;
	g_array_unref(idle);
	return error;
}

/* By its goal, or, once that has passed, with time left for the answer. */
static bool
is_read_in_time(const struct placement_gathering *gathering,
    const struct placement_choice *choice)
{
	const struct placement_request *request = gathering->request;
	int64_t goal_ms, read_at_ms;

	goal_ms = request->arrived_ms + request->route->goal_ms;
	read_at_ms = gathering->now_ms + (int64_t)choice->read_ms;
	if (gathering->now_ms < goal_ms)
		return read_at_ms <= goal_ms;
	return read_at_ms <= request->deadline_ms - request->route->goal_ms;
}

/* Requests whose prompt is read are answered there. */
static bool
has_writers(const struct placement_upstream *upstream)
{
	return upstream->own.running + upstream->others.running >
	       upstream->own.leading + upstream->others.leading;
}

/* The longest pause between events that callers of the route bear. */
static double
borne_pause_ms(const struct route *route)
{
	return route->gap_goal_ms > 0 ? (double)route->gap_goal_ms
				      : (double)route->goal_ms;
}

/* For one that is too large: its caller isn't held for a turn that nobody can
 * foresee, unless part of the answer is out. */
static enum error_code
give_up_error(const struct placement_gathering *gathering)
{
	return gathering->request->is_begun ? ERROR_NO_CAPACITY
					    : ERROR_DEADLINE_UNREACHABLE;
}

/* Read in many parts, a prompt of middle size may be answered among the
 * short ones, where passes are short and its events come evenly. */
static bool
is_light_led(const struct placement_gathering *gathering)
{
	uint32_t parts;

	if (!gathering->is_heavy || gathering->is_too_large ||
	    gathering->healthy_count <= gathering->light_count)
		return false;
	parts = MIN(gathering->healthy_count - gathering->light_count,
		    PLACEMENT_HELPERS_MAX) +
		1;
	return gathering->whole_read_ms / parts < LIGHT_PART_MS;
}

static gint
compare_ranks(gconstpointer left, gconstpointer right)
{
	uint64_t first = *(const uint64_t *)left;
	uint64_t second = *(const uint64_t *)right;

	return first == second ? 0 : first < second ? -1 : 1;
}

static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
	const struct placement_candidate *first = left, *second = right;

	if (first->cost_ms == second->cost_ms)
		return 0;
	return first->cost_ms < second->cost_ms ? -1 : 1;
}

/* Those that may take the request, the cheapest first. */
static GArray *
gather(struct placement_gathering *gathering)
{
	struct placement *placement = gathering->placement;
	struct placement_upstream *upstream;
	struct placement_candidate candidate;
	GArray *good, *ejected;
	GHashTableIter iter;

	gathering->usable_count = 0;
	good = g_array_new(FALSE, FALSE, sizeof(candidate));
	ejected = g_array_new(FALSE, FALSE, sizeof(candidate));
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!placement_serves(upstream, gathering->request->service))
			continue;
		gathering->usable_count++;
		if (is_tried(gathering->request, upstream->id) ||
		    is_over_rate(placement, upstream,
			gathering->request->service, gathering->now_ms))
			continue;
		candidate.upstream = upstream;
		candidate.is_light =
		    upstream->rank <= gathering->light_rank_max;
		/* A random part keeps hosts from all choosing the same one:
		 * each learns late what the others chose. */
		candidate.backlog_ms =
		    placement_backlog_ms(upstream, gathering->now_ms);
		candidate.cost_ms =
		    cost_of(gathering, &candidate) +
		    random_below(&placement->random, RANDOM_STEPS) *
			MAX(placement->host_count * HERD_COST_MS, 1.0) /
			RANDOM_STEPS;
		if (upstream->ejected_until_ms > gathering->now_ms)
			g_array_append_val(ejected, candidate);
		else
			g_array_append_val(good, candidate);
	}
	if (ejected->len > 0 &&
	    (good->len == 0 ||
		ejected->len > EJECTED_SHARE_MAX * gathering->usable_count))
		g_array_append_vals(good, ejected->data, ejected->len);
	g_array_unref(ejected);
	g_array_sort(good, compare_candidates);
	return good;
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

/* This host's share of what a cold upstream bears from all hosts. */
static bool
is_over_rate(const struct placement *placement,
    const struct placement_upstream *upstream,
    const struct route_service *service, int64_t now_ms)
{
	uint32_t bound, count, i;
	double total;

	if (service->cold_requests_per_s <= 0)
		return false;
	total =
	    service->cold_requests_per_s * placement->settings.cold_overshoot +
	    placement->settings.cold_slack;
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

static double
cost_of(const struct placement_gathering *gathering,
    const struct placement_candidate *candidate)
{
	const struct placement_upstream *upstream = candidate->upstream;
	const struct engine_speed *engine =
	    &gathering->request->service->engine;
	bool belongs_light;
	double cost_ms;
	uint32_t running;
	uint64_t used;

	running = upstream->own.running + upstream->others.running;
	cost_ms = candidate->backlog_ms + running * RUNNING_COST_MS +
		  upstream->failure_share * FAILURE_COST_MS;
	if (running >= upstream->slots)
		cost_ms += (running - upstream->slots + 1) * FULL_COST_MS;
	if (!upstream->is_near)
		cost_ms += FAR_COST_MS;
	if (upstream->others.away_until_ms > gathering->now_ms)
		cost_ms += AWAY_COST_MS;
	if (gathering->kv_tokens == 0)
		return cost_ms;
	belongs_light = !gathering->is_heavy || gathering->is_light_led;
	if (candidate->is_light && !belongs_light)
		cost_ms += LONG_ASTRAY_COST_MS;
	if (!candidate->is_light && belongs_light)
		cost_ms += SHORT_ASTRAY_COST_MS;
	if (!candidate->is_light && !belongs_light)
		cost_ms +=
		    placement_count_short(upstream) * SHORT_BESIDE_COST_MS;
	used = upstream->own.kv_tokens + upstream->others.kv_tokens;
	if (gathering->is_too_large)
		cost_ms +=
		    MEMORY_COST_MS * (double)used / (double)engine->kv_tokens;
	else if (used + gathering->kv_tokens > engine->kv_tokens)
		cost_ms += MEMORY_COST_MS;
	return cost_ms;
}
