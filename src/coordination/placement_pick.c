#include <string.h>

#include "coordination/placement_parts.h"

#define RATE_WINDOW_MS	     1000   /* The bound on sends is for a second. */
#define RATE_MARGIN	     0.9    /* Of the bound: arrivals bunch up. */
#define EJECTED_SHARE_MAX    0.5    /* Of a service's upstreams. */
#define FAILURE_COST_MS	     400.0  /* Of an upstream that fails all. */
#define RUNNING_COST_MS	     3.0    /* A request beside slows the others. */
#define FULL_COST_MS	     90.0   /* A request beyond the slots waits. */
#define MEMORY_COST_MS	     4000.0 /* One without memory waits long. */
#define ROOM_PART	     0.85 /* Of an engine's memory that is given away. */
#define HELD_TOKENS_MIN	     UINT64_C(20000) /* Less is not worth an order. */
#define FAR_COST_MS	     0.6	     /* Another data centre. */
#define AWAY_COST_MS	     200.0	     /* Another host leaves it alone. */
#define SHORT_ASTRAY_COST_MS 350.0  /* A short prompt beside long ones. */
#define LONG_ASTRAY_COST_MS  1500.0 /* A long prompt beside short ones. */
#define SHORT_BESIDE_COST_MS 15.0   /* Each short one that it would stop. */
#define TOKENS_PER_PART	     2500.0 /* A part should be worth its hop. */
#define SHORT_WRITERS_MAX    6u	    /* More would all pause for a part. */
#define HELPING_SPARED	     2u	    /* News of other hosts comes late. */
#define FULL_GOAL_PART	     0.85   /* Of the goal: work that may wait. */
#define SMALL_WORK_MS	     800.0  /* Less is never in the way. */
#define NEXT_BACKLOG_MS	     80.0   /* Unread work when the next is due. */
#define UNREAD_MAX	     1u	    /* Long prompts being read then. */
#define ENGINES_ENOUGH	     6u	    /* For any long prompt. */
#define PART_LONG_MS	     500.0  /* A part that fewer engines may read. */
#define LIGHT_PART_MS	     60.0   /* A part that short prompts bear. */
#define BORNE_PART	     0.85   /* Of a pause that its route allows. */
#define HEAVY_GAP_PART	     0.4 /* Longer to read than so much of the pause. */
#define PROFILE_WEIGHT	     0.05 /* Of the latest prompt in the average. */
#define MS_PER_S	     1000.0
#define PER_MILLION	     1e6

/* A candidate and what it would cost. */
struct candidate {
	struct placement_upstream *upstream;
	double cost_ms;
	bool is_light; /* On the side of short prompts. */
};

/* What the candidates of one request are gathered by. */
struct gathering {
	struct placement *placement;
	const struct placement_request *request;
	int64_t now_ms;
	bool is_heavy;
	bool is_too_large;
	bool is_waiting;
	bool is_light_led;
	double whole_read_ms; /* The prompt, by one engine. */
	uint64_t kv_tokens;
	uint64_t light_rank_max; /* Ranks up to it take short prompts. */
	uint32_t usable_count;
	uint32_t healthy_count; /* Of these, not ejected. */
	uint32_t light_count;
	struct split_demand demand;
};

/* The engines that take long prompts, together. */
struct long_side {
	double backlog_ms; /* Unread work at the middle one of them. */
	uint32_t unread;   /* Long prompts that are being read. */
	uint32_t engines;
};

static bool is_heavy_request(
    struct placement *placement, const struct placement_request *request);
static uint64_t find_light_rank(struct gathering *gathering);
static bool is_light_led(const struct gathering *gathering);
static void judge_prompt(struct gathering *gathering);
static enum error_code give_up_error(const struct gathering *gathering);
static enum error_code choose(const struct gathering *gathering,
    const GArray *candidates, struct placement_waiter *waiter,
    struct placement_choice *choice);
static void fill_choice(const struct gathering *gathering,
    const GArray *candidates, struct placement_choice *choice);
static bool is_too_long_a_pause(
    const struct gathering *gathering, const struct placement_choice *choice);
static enum error_code choose_idle(const struct gathering *gathering,
    const GArray *candidates, struct placement_choice *choice);
static bool has_writers(const struct placement_upstream *upstream);
static gint compare_ranks(gconstpointer left, gconstpointer right);
static gint compare_candidates(gconstpointer left, gconstpointer right);
static gint compare_numbers(gconstpointer left, gconstpointer right);
static GArray *gather(struct gathering *gathering);
static bool is_tried(const struct placement_request *request, uint64_t id);
static bool is_over_rate(const struct placement *placement,
    const struct placement_upstream *upstream,
    const struct route_service *service, int64_t now_ms);
static double cost_of(const struct gathering *gathering,
    const struct placement_upstream *upstream, bool is_light);
static double backlog_of(
    const struct placement_upstream *upstream, int64_t now_ms);
static enum error_code take_turn(const struct gathering *gathering,
    const GArray *candidates, struct placement_waiter *waiter);
static bool is_worth_waiting(const struct gathering *gathering,
    const struct long_side *side, const struct placement_waiter *waiter);
static bool is_hopeless(const struct gathering *gathering,
    const struct long_side *side, const struct placement_waiter *waiter);
static void begin_wait(
    const struct gathering *gathering, struct placement_waiter *waiter);
static void judge_wait(const struct gathering *gathering,
    const struct long_side *side, struct placement_waiter *waiter);
static struct long_side look_at_long_side(
    const struct gathering *gathering, const GArray *candidates);
static uint32_t count_unread(const struct placement_load *load, int64_t now_ms);
static void choose_helpers(const struct gathering *gathering,
    const GArray *candidates, struct placement_choice *choice);
static uint32_t list_helpers(const struct gathering *gathering,
    const GArray *candidates, const struct placement_upstream *reader,
    const struct placement_upstream **helpers);
static bool choose_holders(
    const struct gathering *gathering, struct placement_choice *choice);
static uint64_t room_at(const struct gathering *gathering,
    const struct placement_upstream *upstream);
static void swap_helpers(
    struct placement_choice *choice, uint32_t first, uint32_t second);
static bool is_idle_enough(
    const struct gathering *gathering, const GArray *candidates);
static uint32_t count_short(const struct placement_upstream *upstream);
static bool is_away(const struct gathering *gathering,
    const struct placement_upstream *upstream);
static bool is_helping_enough(const struct placement_upstream *upstream);

enum error_code
placement_pick(struct placement *placement,
    const struct placement_request *request, int64_t now_ms,
    struct placement_waiter *waiter, struct placement_choice *choice)
{
	struct gathering gathering = {
	    .placement = placement,
	    .request = request,
	    .now_ms = now_ms,
	    .light_rank_max = UINT64_MAX,
	    .is_waiting = waiter->service != 0,
	};
	enum error_code error;
	GArray *candidates;

	memset(choice, 0, sizeof(*choice));
	placement_sum_others(placement, now_ms);
	if (request->service->has_engine && request->prompt_tokens > 0)
		judge_prompt(&gathering);
	candidates = gather(&gathering);
	if (candidates->len > 0)
		error = choose(&gathering, candidates, waiter, choice);
	else
		error = gathering.usable_count == 0 ? ERROR_NO_UPSTREAM
						    : ERROR_NO_CAPACITY;
	g_array_unref(candidates);
	if (error != ERROR_NONE || !choice->is_light_led ||
	    choice->read_ms <= LIGHT_PART_MS)
		return error;
	/* Too few helpers: that part would stop the short answers beside. */
	gathering.is_light_led = false;
	gathering.usable_count = 0;
	candidates = gather(&gathering);
	error = choose(&gathering, candidates, waiter, choice);
	g_array_unref(candidates);
	return error;
}

int64_t
placement_wait_estimate(struct placement *placement,
    const struct route_service *service, int64_t now_ms)
{
	const struct placement_upstream *upstream;
	uint32_t engines;
	GHashTableIter iter;
	double work_ms;

	work_ms = placement_waiting_ms(
	    placement, placement_service_hash(service->name), now_ms);
	engines = 0;
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!placement_serves(upstream, service))
			continue;
		work_ms += backlog_of(upstream, now_ms);
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
	double pause_ms;

	profile = g_hash_table_lookup(placement->profiles, route->name);
	if (profile == NULL) {
		profile = g_new0(struct prompt_profile, 1);
		profile->mean_tokens = request->prompt_tokens;
		g_hash_table_insert(
		    placement->profiles, g_strdup(route->name), profile);
	}
	profile->mean_tokens +=
	    PROFILE_WEIGHT * (request->prompt_tokens - profile->mean_tokens);
	pause_ms = route->gap_goal_ms > 0 ? (double)route->gap_goal_ms
					  : (double)route->goal_ms;
	return engine_read_ms(&request->service->engine, profile->mean_tokens) >
	       HEAVY_GAP_PART * pause_ms;
}

/* The upstreams of the lowest ranks take short prompts. */
static uint64_t
find_light_rank(struct gathering *gathering)
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
	    placement_service_hash(gathering->request->service->name),
	    gathering->now_ms);
	split_demand_add(&gathering->demand,
	    placement_waiting_ms(gathering->placement,
		placement_service_hash(gathering->request->service->name),
		gathering->now_ms));
	if (gathering->is_heavy && !gathering->is_waiting)
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
judge_prompt(struct gathering *gathering)
{
	const struct placement_request *request = gathering->request;

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

/* The best candidate, if the request may go now. */
static enum error_code
choose(const struct gathering *gathering, const GArray *candidates,
    struct placement_waiter *waiter, struct placement_choice *choice)
{
	enum error_code error;

	error = ERROR_NONE;
	if (gathering->is_too_large && !is_idle_enough(gathering, candidates))
		error = give_up_error(gathering);
	else if (gathering->is_heavy && !gathering->is_too_large)
		error = take_turn(gathering, candidates, waiter);
	if (error != ERROR_NONE)
		return error;
	fill_choice(gathering, candidates, choice);
	if (gathering->is_too_large && !choose_holders(gathering, choice))
		return give_up_error(gathering);
	if (is_too_long_a_pause(gathering, choice))
		return choose_idle(gathering, candidates, choice);
	return ERROR_NONE;
}

/* The cheapest one, and helpers among the others. */
static void
fill_choice(const struct gathering *gathering, const GArray *candidates,
    struct placement_choice *choice)
{
	const struct candidate *best;

	memset(choice, 0, sizeof(*choice));
	best = &g_array_index(candidates, struct candidate, 0);
	choice->upstream = best->upstream;
	choice->is_heavy = gathering->is_heavy;
	choice->is_light_led = gathering->is_light_led && best->is_light;
	choice->kv_tokens = gathering->kv_tokens;
	choice->wait_ms = backlog_of(best->upstream, gathering->now_ms);
	choice->light_count = gathering->light_count;
	choice->usable_count = gathering->usable_count;
	choice->demand = gathering->demand;
	if (gathering->kv_tokens == 0)
		return;
	choice->whole_read_ms = gathering->whole_read_ms;
	/* What one can't keep, one can't read alone either. */
	if (gathering->is_heavy &&
	    (!gathering->request->is_alone || gathering->is_too_large))
		choose_helpers(gathering, candidates, choice);
	choice->read_ms = choice->whole_read_ms / (choice->helper_count + 1);
}

/* Load answered: one prompt of several hundred thousand tokens among many of
 * a hundred thousand. Its parts would stop all that are being answered on the
 * long prompts' side for longer than their callers bear. */
static bool
is_too_long_a_pause(
    const struct gathering *gathering, const struct placement_choice *choice)
{
	const struct placement_request *request = gathering->request;
	const struct placement_upstream *helper;
	double pause_ms;
	uint32_t i;

	if (!gathering->is_heavy || gathering->is_too_large ||
	    request->is_begun)
		return false;
	pause_ms = request->route->gap_goal_ms > 0
		       ? (double)request->route->gap_goal_ms
		       : (double)request->route->goal_ms;
	if (choice->read_ms <= pause_ms * BORNE_PART)
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

/* Read only by those that answer nobody; it waits for enough of them. */
static enum error_code
choose_idle(const struct gathering *gathering, const GArray *candidates,
    struct placement_choice *choice)
{
	const struct placement_request *request = gathering->request;
	const struct candidate *candidate;
	enum error_code error;
	int64_t read_ms;
	GArray *idle;
	guint i;

	idle = g_array_new(FALSE, FALSE, sizeof(*candidate));
	for (i = 0; i < candidates->len; i++) {
		candidate = &g_array_index(candidates, struct candidate, i);
		if (!candidate->is_light && !has_writers(candidate->upstream))
			g_array_append_vals(idle, candidate, 1);
	}
	error = ERROR_CHANGE_PENDING;
	if (idle->len > 0) {
		fill_choice(gathering, idle, choice);
		read_ms = (int64_t)choice->read_ms + gathering->now_ms;
		/* Late already, or by less than it would be. */
		if (read_ms <= request->arrived_ms + request->route->goal_ms ||
		    (gathering->now_ms >=
			    request->arrived_ms + request->route->goal_ms &&
			read_ms <=
			    request->deadline_ms - request->route->goal_ms))
			error = ERROR_NONE;
	}
	g_array_unref(idle);
	return error;
}

/* Requests whose prompt is read are answered there. */
static bool
has_writers(const struct placement_upstream *upstream)
{
	return upstream->own.running + upstream->others.running >
	       upstream->own.leading + upstream->others.leading;
}

/* For one that is too large: its caller isn't held for a turn that nobody can
 * foresee, unless part of the answer is out. */
static enum error_code
give_up_error(const struct gathering *gathering)
{
	return gathering->request->is_begun ? ERROR_NO_CAPACITY
					    : ERROR_DEADLINE_UNREACHABLE;
}

/* Read in many parts, a prompt of middle size may be answered among the
 * short ones, where passes are short and its events come evenly. */
static bool
is_light_led(const struct gathering *gathering)
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
	const struct candidate *first = left, *second = right;

	if (first->cost_ms == second->cost_ms)
		return 0;
	return first->cost_ms < second->cost_ms ? -1 : 1;
}

static gint
compare_numbers(gconstpointer left, gconstpointer right)
{
	double first = *(const double *)left, second = *(const double *)right;

	return first == second ? 0 : first < second ? -1 : 1;
}

/* Those that may take the request, the cheapest first. */
static GArray *
gather(struct gathering *gathering)
{
	struct placement *placement = gathering->placement;
	struct placement_upstream *upstream;
	struct candidate candidate;
	GArray *good, *ejected;
	GHashTableIter iter;

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
		/* A random part keeps equal ones from all being the first. */
		candidate.cost_ms =
		    cost_of(gathering, upstream, candidate.is_light) +
		    random_below(&placement->random, 1000) / MS_PER_S;
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
cost_of(const struct gathering *gathering,
    const struct placement_upstream *upstream, bool is_light)
{
	const struct engine_speed *engine =
	    &gathering->request->service->engine;
	bool belongs_light;
	double cost_ms;
	uint32_t running;
	uint64_t used;

	running = upstream->own.running + upstream->others.running;
	cost_ms = backlog_of(upstream, gathering->now_ms) +
		  running * RUNNING_COST_MS +
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
	if (is_light && !belongs_light)
		cost_ms += LONG_ASTRAY_COST_MS;
	if (!is_light && belongs_light)
		cost_ms += SHORT_ASTRAY_COST_MS;
	if (!belongs_light && !is_light)
		cost_ms += count_short(upstream) * SHORT_BESIDE_COST_MS;
	used = upstream->own.kv_tokens + upstream->others.kv_tokens;
	if (gathering->is_too_large)
		cost_ms +=
		    MEMORY_COST_MS * (double)used / (double)engine->kv_tokens;
	else if (used + gathering->kv_tokens > engine->kv_tokens)
		cost_ms += MEMORY_COST_MS;
	return cost_ms;
}

static double
backlog_of(const struct placement_upstream *upstream, int64_t now_ms)
{
	double now = (double)now_ms;

	return MAX(upstream->own.read_until_ms - now, 0) +
	       MAX(upstream->others.read_until_ms - now, 0);
}

/* Load answered: long prompts that bring more work than there are engines
 * for. An engine reads the part that came last first, so parts of several
 * prompts at once make all of them late: a long prompt waits here until those
 * before it are almost read. Among those that wait the least work goes first,
 * as it brings most for its work; waiting makes up for size. */
static enum error_code
take_turn(const struct gathering *gathering, const GArray *candidates,
    struct placement_waiter *waiter)
{
	struct placement *placement = gathering->placement;
	const struct placement_request *request = gathering->request;
	struct long_side side;

	side = look_at_long_side(gathering, candidates);
	if (side.engines == 0 || request->is_begun)
		return ERROR_NONE;
	if (gathering->whole_read_ms < SMALL_WORK_MS &&
	    side.backlog_ms < FULL_GOAL_PART * (double)request->route->goal_ms)
		return ERROR_NONE;
	if (waiter->service == 0)
		begin_wait(gathering, waiter);
	judge_wait(gathering, &side, waiter);
	if (gathering->now_ms >= waiter->useless_ms ||
	    is_hopeless(gathering, &side, waiter))
		return ERROR_DEADLINE_UNREACHABLE;
	if (side.backlog_ms > NEXT_BACKLOG_MS || side.unread > UNREAD_MAX ||
	    is_worth_waiting(gathering, &side, waiter) ||
	    placement_best_key(
		placement, waiter->service, waiter, gathering->now_ms) <
		placement_wait_key(waiter, gathering->now_ms))
		return ERROR_CHANGE_PENDING;
	return ERROR_NONE;
}

/* One that is late goes after all that are not, and after the smaller ones
 * that are: if these take longer than it can wait, its caller is told now. */
static bool
is_hopeless(const struct gathering *gathering, const struct long_side *side,
    const struct placement_waiter *waiter)
{
	double before_ms;

	if (gathering->now_ms - waiter->since_ms < waiter->goal_ms)
		return false;
	before_ms = placement_waiting_ms(gathering->placement, waiter->service,
			gathering->now_ms) -
		    waiter->work_ms;
	return gathering->now_ms + (int64_t)(before_ms / side->engines) >
	       waiter->useless_ms;
}

/* A large prompt read by few engines is late and keeps them for long; soon
 * there are more of them. */
static bool
is_worth_waiting(const struct gathering *gathering,
    const struct long_side *side, const struct placement_waiter *waiter)
{
	return side->engines < ENGINES_ENOUGH &&
	       waiter->work_ms / side->engines > PART_LONG_MS &&
	       gathering->now_ms - waiter->since_ms < waiter->goal_ms;
}

static void
begin_wait(const struct gathering *gathering, struct placement_waiter *waiter)
{
	const struct placement_request *request = gathering->request;

	waiter->service = placement_service_hash(request->service->name);
	waiter->work_ms = gathering->whole_read_ms;
	waiter->since_ms = request->arrived_ms;
	g_ptr_array_add(gathering->placement->waiters, waiter);
}

/* By the engines that there are now: they change while it waits. */
static void
judge_wait(const struct gathering *gathering, const struct long_side *side,
    struct placement_waiter *waiter)
{
	const struct placement_request *request = gathering->request;
	int64_t read_ms = (int64_t)(waiter->work_ms / side->engines);

	waiter->goal_ms = request->route->goal_ms - read_ms;
	/* What is left then is too short to read it and to answer. */
	waiter->useless_ms =
	    request->deadline_ms - read_ms - request->route->goal_ms;
}

static struct long_side
look_at_long_side(const struct gathering *gathering, const GArray *candidates)
{
	const struct candidate *candidate;
	const struct placement_upstream *upstream;
	struct long_side side = {0};
	double backlog_ms;
	GArray *backlogs;
	guint i;

	backlogs = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < candidates->len; i++) {
		candidate = &g_array_index(candidates, struct candidate, i);
		upstream = candidate->upstream;
		if (candidate->is_light)
			continue;
		backlog_ms = backlog_of(upstream, gathering->now_ms);
		g_array_append_val(backlogs, backlog_ms);
		side.unread +=
		    count_unread(&upstream->own, gathering->now_ms) +
		    count_unread(&upstream->others, gathering->now_ms);
	}
	side.engines = backlogs->len;
	/* The median: one engine that is kept for long stops nobody. */
	g_array_sort(backlogs, compare_numbers);
	if (side.engines > 0)
		side.backlog_ms =
		    g_array_index(backlogs, double, side.engines / 2);
	g_array_unref(backlogs);
	return side;
}

/* One that takes longer than predicted counts double: the engines are slower
 * or busier than they seem, and more work would only be late. */
static uint32_t
count_unread(const struct placement_load *load, int64_t now_ms)
{
	if (load->leading == 0 || now_ms <= load->due_ms)
		return load->leading;
	return load->leading * 2;
}

/* A long prompt is read in even parts and is read when the last part is:
 * helpers are taken, those with least to do first, as long as each brings the
 * end nearer than its own queue moves it away. */
static void
choose_helpers(const struct gathering *gathering, const GArray *candidates,
    struct placement_choice *choice)
{
	const struct placement_upstream *helpers[PLACEMENT_HELPERS_MAX] = {0};
	double wait_ms, best_ms, end_ms;
	uint32_t count, most, i;

	most = (uint32_t)(gathering->request->prompt_tokens / TOKENS_PER_PART);
	most = MIN(most, PLACEMENT_HELPERS_MAX);
	count = list_helpers(gathering, candidates, choice->upstream, helpers);
	best_ms = choice->wait_ms + choice->whole_read_ms;
	for (i = 0; i < count && i < most; i++) {
		wait_ms = MAX(
		    choice->wait_ms, backlog_of(helpers[i], gathering->now_ms));
		end_ms = wait_ms + choice->whole_read_ms / (i + 2);
		if (end_ms >= best_ms)
			continue;
		best_ms = end_ms;
		choice->helper_count = i + 1;
	}
	for (i = 0; i < choice->helper_count && helpers[i] != NULL; i++) {
		choice->helpers[i] = helpers[i]->id;
		choice->helper_places[i] = helpers[i]->place;
	}
}

/* Load answered: prompts over one engine's memory. Helpers with room keep what
 * the leading engine has no room for; they come first among the helpers, as
 * what is reserved is filled in turn. */
static bool
choose_holders(
    const struct gathering *gathering, struct placement_choice *choice)
{
	uint64_t left, room;
	uint32_t i;

	room = room_at(gathering, choice->upstream);
	left = choice->kv_tokens - MIN(choice->kv_tokens, room);
	for (i = 0; i < choice->helper_count && left > 0 &&
		    choice->holder_count < PLACEMENT_HOLDERS_MAX;
	     i++) {
		room = room_at(gathering,
		    g_hash_table_lookup(
			gathering->placement->upstreams, &choice->helpers[i]));
		if (room < HELD_TOKENS_MIN)
			continue;
		swap_helpers(choice, i, choice->holder_count);
		room = MIN(room, MAX(left, HELD_TOKENS_MIN));
		choice->held_tokens[choice->holder_count++] = room;
		choice->kv_tokens -= MIN(choice->kv_tokens, room);
		left -= MIN(left, room);
	}
	return left == 0;
}

/* Tokens that may be kept there beside what is known to be. */
static uint64_t
room_at(const struct gathering *gathering,
    const struct placement_upstream *upstream)
{
	uint64_t whole, used;

	whole =
	    (uint64_t)((double)gathering->request->service->engine.kv_tokens *
		       ROOM_PART);
	used = upstream->own.kv_tokens + upstream->others.kv_tokens;
	return whole - MIN(whole, used);
}

static void
swap_helpers(struct placement_choice *choice, uint32_t first, uint32_t second)
{
	uint64_t id, place;

	id = choice->helpers[first];
	place = choice->helper_places[first];
	choice->helpers[first] = choice->helpers[second];
	choice->helper_places[first] = choice->helper_places[second];
	choice->helpers[second] = id;
	choice->helper_places[second] = place;
}

/* Load answered: a prompt of half a million tokens takes as much reading as ten
 * of the largest that one engine can hold, and all of these would be late: it
 * goes when nothing else waits. */
static bool
is_idle_enough(const struct gathering *gathering, const GArray *candidates)
{
	struct long_side side;

	side = look_at_long_side(gathering, candidates);
	return side.engines > 0 && side.backlog_ms <= NEXT_BACKLOG_MS &&
	       side.unread == 0 &&
	       placement_waiting_ms(gathering->placement,
		   placement_service_hash(gathering->request->service->name),
		   gathering->now_ms) <= 0;
}

/* Those of the long prompts' side, the least busy first. */
static uint32_t
list_helpers(const struct gathering *gathering, const GArray *candidates,
    const struct placement_upstream *reader,
    const struct placement_upstream **helpers)
{
	const struct candidate *candidate;
	double backlog_ms;
	uint32_t count, at;
	guint i;

	count = 0;
	for (i = 0; i < candidates->len; i++) {
		candidate = &g_array_index(candidates, struct candidate, i);
		if (candidate->is_light || candidate->upstream == reader ||
		    candidate->upstream->own.leading +
			    candidate->upstream->others.leading >
			0 ||
		    is_away(gathering, candidate->upstream) ||
		    count_short(candidate->upstream) > SHORT_WRITERS_MAX ||
		    is_helping_enough(candidate->upstream))
			continue;
		backlog_ms = backlog_of(candidate->upstream, gathering->now_ms);
		for (at = count; at > 0; at--) {
			if (backlog_of(helpers[at - 1], gathering->now_ms) <=
			    backlog_ms)
				break;
			if (at < PLACEMENT_HELPERS_MAX)
				helpers[at] = helpers[at - 1];
		}
		if (at < PLACEMENT_HELPERS_MAX)
			helpers[at] = candidate->upstream;
		count = MIN(count + 1, PLACEMENT_HELPERS_MAX);
	}
	return count;
}

/* Requests with short prompts that are still answered there. */
static uint32_t
count_short(const struct placement_upstream *upstream)
{
	uint32_t running, heavy;

	running = upstream->own.running + upstream->others.running;
	heavy = upstream->own.heavy + upstream->others.heavy;
	return running - MIN(heavy, running);
}

/* One helper that is gone fails the whole prompt, so what any host found is
 * enough to do without it. */
static bool
is_away(const struct gathering *gathering,
    const struct placement_upstream *upstream)
{
	return upstream->ejected_until_ms > gathering->now_ms ||
	       upstream->others.away_until_ms > gathering->now_ms;
}

/* An engine helps as many others as it has slots, and refuses the next. */
static bool
is_helping_enough(const struct placement_upstream *upstream)
{
	return upstream->own.helping + upstream->others.helping +
		   HELPING_SPARED >=
	       upstream->slots;
}
