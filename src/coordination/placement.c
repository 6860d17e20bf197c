#include "coordination/placement.h"

#include <string.h>

#define RATE_WINDOW_MS	  1000	  /* The bound on sends is for a second. */
#define RATE_MARGIN	  0.9	  /* Of the bound: arrivals bunch on the way. */
#define EJECT_AFTER	  2	  /* Failures in a row. */
#define EJECT_BASE_MS	  1000	  /* First pause; doubles. */
#define EJECT_MAX_MS	  8000	  /* Longest pause. */
#define EJECTED_SHARE_MAX 0.5	  /* Of a service's upstreams. */
#define FAILURE_WEIGHT	  0.2	  /* Of the latest outcome in the average. */
#define FAILURE_COST_MS	  400.0	  /* Of an upstream that fails all. */
#define RUNNING_COST_MS	  1.5	  /* A request beside slows the others. */
#define FULL_COST_MS	  80.0	  /* A request beyond the slots waits. */
#define FAR_COST_MS	  0.6	  /* Another data centre. */
#define TOKENS_PER_HELPER 10000.0 /* A part should be worth its hop. */
#define HELPED_MIN_TOKENS 20000.0 /* Shorter prompts are read alone. */
#define MS_PER_S	  1000.0
#define PER_MILLION	  1e6

/* A candidate and what it would cost. */
struct candidate {
	struct placement_upstream *upstream;
	double cost_ms;
};

static void fill(struct placement *placement,
    struct placement_upstream *upstream, const struct placement_record *record);
static void drop_replaced(struct placement *placement);
static gint compare_candidates(gconstpointer left, gconstpointer right);
static GArray *gather(struct placement *placement,
    const struct placement_request *request, int64_t now_ms,
    uint32_t *usable_count);
static bool is_tried(const struct placement_request *request, uint64_t id);
static bool is_over_rate(const struct placement *placement,
    const struct placement_upstream *upstream,
    const struct route_service *service, int64_t now_ms);
static double cost_of(
    const struct placement_upstream *upstream, int64_t now_ms);
static double backlog_of(
    const struct placement_upstream *upstream, int64_t now_ms);
static void choose_helpers(const struct placement_request *request,
    const GArray *candidates, struct placement_choice *choice);

void
placement_init(struct placement *placement,
    const struct placement_settings *settings, uint64_t seed)
{
	memset(placement, 0, sizeof(*placement));
	placement->settings = *settings;
	placement->host_count = 1;
	random_init(&placement->random, seed);
	placement->upstreams =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
placement_finish(struct placement *placement)
{
	if (placement->upstreams != NULL)
		g_hash_table_unref(placement->upstreams);
	memset(placement, 0, sizeof(*placement));
}

void
placement_update(struct placement *placement,
    const struct placement_record *records, uint32_t count)
{
	struct placement_upstream *upstream;
	GHashTableIter iter;
	uint32_t i;

	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream))
		upstream->is_seen = false;
	for (i = 0; i < count; i++) {
		upstream =
		    g_hash_table_lookup(placement->upstreams, &records[i].id);
		if (upstream == NULL) {
			upstream = g_new0(struct placement_upstream, 1);
			upstream->id = records[i].id;
			g_hash_table_insert(
			    placement->upstreams, &upstream->id, upstream);
		}
		fill(placement, upstream, &records[i]);
	}
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!upstream->is_seen)
			g_hash_table_iter_remove(&iter);
	}
	drop_replaced(placement);
}

enum error_code
placement_pick(struct placement *placement,
    const struct placement_request *request, int64_t now_ms,
    struct placement_choice *choice)
{
	const struct candidate *best;
	uint32_t usable_count;
	GArray *candidates;

	memset(choice, 0, sizeof(*choice));
	candidates = gather(placement, request, now_ms, &usable_count);
	if (candidates->len == 0) {
		g_array_unref(candidates);
		return usable_count == 0 ? ERROR_NO_UPSTREAM
					 : ERROR_NO_CAPACITY;
	}
	best = &g_array_index(candidates, struct candidate, 0);
	choice->upstream = best->upstream;
	choice->wait_ms = backlog_of(best->upstream, now_ms);
	if (request->service->has_engine && request->prompt_tokens > 0) {
		choose_helpers(request, candidates, choice);
		choice->read_ms = engine_read_ms(&request->service->engine,
				      request->prompt_tokens) /
				  (choice->helper_count + 1);
	}
	g_array_unref(candidates);
	return ERROR_NONE;
}

void
placement_begin(struct placement *placement,
    const struct placement_choice *choice, int64_t now_ms)
{
	struct placement_upstream *upstream = choice->upstream;
	GHashTableIter iter;
	double now = (double)now_ms;
	uint32_t i;

	upstream->running++;
	upstream->read_until_ms =
	    MAX(upstream->read_until_ms, now) + choice->read_ms;
	upstream->sent_ms[upstream->sent_next] = now_ms;
	upstream->sent_next = (upstream->sent_next + 1) % PLACEMENT_RATE_SLOTS;
	if (choice->helper_count == 0)
		return;
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		for (i = 0; i < choice->helper_count; i++) {
			if (upstream->place == choice->helpers[i])
				upstream->read_until_ms =
				    MAX(upstream->read_until_ms, now) +
				    choice->read_ms;
		}
	}
}

void
placement_end(struct placement *placement, uint64_t id)
{
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream != NULL && upstream->running > 0)
		upstream->running--;
}

void
placement_note_good(struct placement *placement, uint64_t id)
{
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream == NULL)
		return;
	upstream->failures = 0;
	upstream->failure_share *= 1 - FAILURE_WEIGHT;
}

void
placement_note_failure(struct placement *placement, uint64_t id, int64_t now_ms)
{
	struct placement_upstream *upstream;
	int64_t pause_ms;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream == NULL)
		return;
	upstream->failures++;
	upstream->failure_share +=
	    FAILURE_WEIGHT * (1 - upstream->failure_share);
	if (upstream->failures < EJECT_AFTER)
		return;
	pause_ms = (int64_t)EJECT_BASE_MS
		   << MIN(upstream->failures - EJECT_AFTER, 3);
	upstream->ejected_until_ms = now_ms + MIN(pause_ms, EJECT_MAX_MS);
}

int64_t
placement_retry_after(struct placement *placement,
    const struct route_service *service, int64_t now_ms)
{
	const struct placement_upstream *upstream;
	GHashTableIter iter;
	int64_t after_ms;

	after_ms = EJECT_BASE_MS;
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!upstream->is_usable ||
		    strcmp(upstream->service, service->name) != 0)
			continue;
		after_ms = MIN(
		    after_ms, MAX(upstream->ejected_until_ms - now_ms, 200));
	}
	return after_ms;
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

static void
fill(struct placement *placement, struct placement_upstream *upstream,
    const struct placement_record *record)
{
	if (upstream->incarnation != record->incarnation) {
		upstream->failures = 0;
		upstream->failure_share = 0;
		upstream->ejected_until_ms = 0;
		upstream->read_until_ms = 0;
		upstream->other_read_until_ms = 0;
		upstream->other_running = 0;
	}
	upstream->incarnation = record->incarnation;
	upstream->place = record->place;
	upstream->slots = record->slots;
	upstream->is_usable = record->is_usable;
	upstream->is_seen = true;
	g_strlcpy(upstream->name, record->name, sizeof(upstream->name));
	g_strlcpy(
	    upstream->service, record->service, sizeof(upstream->service));
	upstream->is_near =
	    strcmp(record->data_centre, placement->settings.data_centre) == 0;
}

/* Of two upstreams at one address the one that started last is there. */
static void
drop_replaced(struct placement *placement)
{
	struct placement_upstream *upstream, *newest;
	GHashTable *places;
	GHashTableIter iter;

	places = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		newest = g_hash_table_lookup(places, &upstream->place);
		if (newest == NULL ||
		    newest->incarnation < upstream->incarnation) {
			if (newest != NULL)
				newest->is_usable = false;
			g_hash_table_replace(
			    places, &upstream->place, upstream);
		} else {
			upstream->is_usable = false;
		}
	}
	g_hash_table_unref(places);
}

static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
	const struct candidate *first = left, *second = right;

	if (first->cost_ms == second->cost_ms)
		return 0;
	return first->cost_ms < second->cost_ms ? -1 : 1;
}

/* Those that may take the request, the cheapest first. */
static GArray *
gather(struct placement *placement, const struct placement_request *request,
    int64_t now_ms, uint32_t *usable_count)
{
	struct placement_upstream *upstream;
	struct candidate candidate;
	GArray *good, *ejected;
	GHashTableIter iter;

	*usable_count = 0;
	good = g_array_new(FALSE, FALSE, sizeof(candidate));
	ejected = g_array_new(FALSE, FALSE, sizeof(candidate));
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!upstream->is_usable ||
		    strcmp(upstream->service, request->service->name) != 0)
			continue;
		(*usable_count)++;
		if (is_tried(request, upstream->id) ||
		    is_over_rate(placement, upstream, request->service, now_ms))
			continue;
		candidate.upstream = upstream;
		/* A random part keeps equal ones from all being the first. */
		candidate.cost_ms =
		    cost_of(upstream, now_ms) +
		    random_below(&placement->random, 1000) / MS_PER_S;
		if (upstream->ejected_until_ms > now_ms)
			g_array_append_val(ejected, candidate);
		else
			g_array_append_val(good, candidate);
	}
	if (ejected->len > 0 &&
	    (good->len == 0 ||
		ejected->len > EJECTED_SHARE_MAX * (*usable_count)))
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
cost_of(const struct placement_upstream *upstream, int64_t now_ms)
{
	double cost_ms;
	uint32_t running;

	running = upstream->running + upstream->other_running;
	cost_ms = backlog_of(upstream, now_ms) + running * RUNNING_COST_MS +
		  upstream->failure_share * FAILURE_COST_MS;
	if (running >= upstream->slots)
		cost_ms += (running - upstream->slots + 1) * FULL_COST_MS;
	if (!upstream->is_near)
		cost_ms += FAR_COST_MS;
	return cost_ms;
}

static double
backlog_of(const struct placement_upstream *upstream, int64_t now_ms)
{
	double now = (double)now_ms;

	return MAX(upstream->read_until_ms - now, 0) +
	       MAX(upstream->other_read_until_ms - now, 0);
}

/* A long prompt is read in parts, by those that have least to do. */
static void
choose_helpers(const struct placement_request *request,
    const GArray *candidates, struct placement_choice *choice)
{
	const struct candidate *candidate;
	uint32_t wanted;
	guint i;

	if (request->prompt_tokens < HELPED_MIN_TOKENS)
		return;
	wanted = (uint32_t)(request->prompt_tokens / TOKENS_PER_HELPER);
	wanted = MIN(wanted, PLACEMENT_HELPERS_MAX);
	for (i = 1; i < candidates->len && choice->helper_count < wanted; i++) {
		candidate = &g_array_index(candidates, struct candidate, i);
		choice->helpers[choice->helper_count++] =
		    candidate->upstream->place;
	}
}
