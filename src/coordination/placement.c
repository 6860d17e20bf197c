#include "coordination/placement.h"

#include <string.h>

#include <xxhash.h>

#include "coordination/placement_parts.h"

#define EJECT_AFTER    2     /* Failures in a row. */
#define EJECT_BASE_MS  1000  /* First pause; doubles. */
#define EJECT_MAX_MS   8000  /* Longest pause. */
#define EJECT_STEPS    3     /* Doublings. */
#define FAILURE_WEIGHT 0.2   /* Of the latest outcome in the average. */
#define AFTER_LEAST_MS 200   /* Shortest time to come back. */
#define READ_SLACK     1.5   /* Of the predicted time to read a part. */
#define PASSES_MS      200.0 /* An engine's passes before and after. */
#define SILENCE_MIN_MS 700   /* Shorter silence tells nothing. */
#define BUSY_MS	       600   /* An upstream heard in this time is at work. */
#define PASSED_BY_MS   400   /* A later request that got on shows neglect. */
#define NEGLECT_MIN_MS 1000  /* Silence of a request that was passed by. */
#define EXPECTED_PARTS 3     /* Predictions are off by no more than that. */
#define PATIENCE_PART  0.8   /* Of the caller's, for an upstream that is up. */

static void count_held(struct placement *placement,
    const struct placement_choice *choice, struct placement_work *work);
static void uncount_held(
    struct placement *placement, const struct placement_work *work);
static void fill(struct placement *placement,
    struct placement_upstream *upstream, const struct placement_record *record);
static void drop_replaced(struct placement *placement);
static void count_read(struct placement_load *load, double read_ms, double now);
static void uncount_read(
    struct placement *placement, const struct placement_work *work);
static void shorten(struct placement *placement, uint64_t id, double read_ms);
static void free_peer(gpointer item);

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
	placement->peers = g_hash_table_new_full(NULL, NULL, NULL, free_peer);
	placement->services =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	placement->profiles =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	placement->waiters = g_ptr_array_new();
}

void
placement_finish(struct placement *placement)
{
	if (placement->upstreams == NULL)
		return;
	g_hash_table_unref(placement->upstreams);
	g_hash_table_unref(placement->peers);
	g_hash_table_unref(placement->services);
	g_hash_table_unref(placement->profiles);
	g_ptr_array_unref(placement->waiters);
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
	placement->is_stale = true;
}

void
placement_begin(struct placement *placement,
    const struct placement_request *request,
    const struct placement_choice *choice, int64_t now_ms,
    struct placement_work *work)
{
	struct placement_upstream *upstream = choice->upstream;
	struct service_load *service;
	uint32_t i;

	work->upstream_id = upstream->id;
	work->kv_tokens = choice->kv_tokens;
	work->is_heavy = choice->is_heavy && !choice->is_light_led;
	work->service = placement_service_hash(request->service->name);
	work->read_ms = choice->read_ms;
	work->whole_read_ms = choice->is_heavy ? choice->whole_read_ms : 0;
	upstream->own.running++;
	upstream->own.kv_tokens += choice->kv_tokens;
	work->is_unread = work->is_heavy;
	if (work->is_heavy) {
		upstream->own.heavy++;
		upstream->own.leading++;
		upstream->own.due_ms =
		    now_ms +
		    (int64_t)(choice->wait_ms + choice->read_ms * READ_SLACK +
			      PASSES_MS);
	}
	count_read(&upstream->own, choice->read_ms, (double)now_ms);
	upstream->sent_ms[upstream->sent_next] = now_ms;
	upstream->sent_next = (upstream->sent_next + 1) % PLACEMENT_RATE_SLOTS;
	for (i = 0; i < choice->helper_count; i++) {
		upstream = g_hash_table_lookup(
		    placement->upstreams, &choice->helpers[i]);
		if (upstream == NULL)
			continue;
		upstream->own.helping++;
		count_read(&upstream->own, choice->read_ms, (double)now_ms);
	}
	work->helper_count = choice->helper_count;
	memcpy(work->helpers, choice->helpers, sizeof(work->helpers));
	count_held(placement, choice, work);
	service = placement_service(placement, work->service);
	/* What runs only when nothing else waits is no demand. */
	if (choice->is_heavy && choice->holder_count == 0)
		split_rate_add(
		    &service->heavy_rate, choice->whole_read_ms, now_ms);
	if (!work->is_heavy)
		service->light_running++;
}

/* Memory at other upstreams, for a prompt that is too large for one. */
static void
count_held(struct placement *placement, const struct placement_choice *choice,
    struct placement_work *work)
{
	struct placement_upstream *upstream;
	uint32_t i;

	work->holder_count = choice->holder_count;
	for (i = 0; i < choice->holder_count; i++) {
		work->held_tokens[i] = choice->held_tokens[i];
		upstream = g_hash_table_lookup(
		    placement->upstreams, &work->helpers[i]);
		if (upstream != NULL)
			upstream->own.kv_tokens += work->held_tokens[i];
	}
}

static void
uncount_held(struct placement *placement, const struct placement_work *work)
{
	struct placement_upstream *upstream;
	uint32_t i;

	for (i = 0; i < work->holder_count; i++) {
		upstream = g_hash_table_lookup(
		    placement->upstreams, &work->helpers[i]);
		if (upstream != NULL)
			upstream->own.kv_tokens -=
			    MIN(upstream->own.kv_tokens, work->held_tokens[i]);
	}
}

void
placement_note_read(struct placement *placement, struct placement_work *work)
{
	struct placement_upstream *upstream;
	uint32_t i;

	work->read_ms = 0;
	work->whole_read_ms = 0;
	for (i = 0; i < work->helper_count; i++) {
		upstream = g_hash_table_lookup(
		    placement->upstreams, &work->helpers[i]);
		if (upstream != NULL && upstream->own.helping > 0)
			upstream->own.helping--;
	}
	work->helper_count = 0;
	upstream =
	    g_hash_table_lookup(placement->upstreams, &work->upstream_id);
	if (work->is_unread && upstream != NULL && upstream->own.leading > 0)
		upstream->own.leading--;
	work->is_unread = false;
}

void
placement_end(struct placement *placement, struct placement_work *work)
{
	struct placement_upstream *upstream;
	struct service_load *service;
	struct placement_load *own;

	if (work->upstream_id == 0)
		return;
	uncount_read(placement, work);
	uncount_held(placement, work);
	placement_note_read(placement, work);
	service = placement_service(placement, work->service);
	if (!work->is_heavy && service->light_running > 0)
		service->light_running--;
	upstream =
	    g_hash_table_lookup(placement->upstreams, &work->upstream_id);
	if (upstream != NULL) {
		own = &upstream->own;
		if (own->running > 0)
			own->running--;
		if (work->is_heavy && own->heavy > 0)
			own->heavy--;
		own->kv_tokens -= MIN(own->kv_tokens, work->kv_tokens);
	}
	memset(work, 0, sizeof(*work));
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
		   << MIN(upstream->failures - EJECT_AFTER, EJECT_STEPS);
	upstream->ejected_until_ms = now_ms + MIN(pause_ms, EJECT_MAX_MS);
}

void
placement_note_fault(
    struct placement *placement, uint64_t place, int64_t now_ms)
{
	struct placement_upstream *upstream;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (upstream->place != place || !upstream->is_usable)
			continue;
		upstream->failures = MAX(upstream->failures, EJECT_AFTER - 1);
		placement_note_failure(placement, upstream->id, now_ms);
	}
}

void
placement_note_progress(
    struct placement *placement, uint64_t id, int64_t sent_ms, int64_t now_ms)
{
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream == NULL)
		return;
	upstream->progress_ms = now_ms;
	upstream->newest_good_ms = MAX(upstream->newest_good_ms, sent_ms);
}

/* Under load every answer pauses, so silence alone is no reason to leave:
 * what was read would be read again elsewhere. */
enum silence_verdict
placement_judge_silence(struct placement *placement, uint64_t id,
    const struct silence *silence, int64_t now_ms)
{
	const struct placement_upstream *upstream;
	int64_t lasted_ms;

	lasted_ms = now_ms - silence->since_ms;
	if (lasted_ms < SILENCE_MIN_MS)
		return SILENCE_WAIT;
	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream != NULL && now_ms - upstream->progress_ms < BUSY_MS) {
		if (upstream->newest_good_ms >
			silence->sent_ms + PASSED_BY_MS &&
		    lasted_ms > NEGLECT_MIN_MS &&
		    lasted_ms > silence->expected_ms * EXPECTED_PARTS)
			return SILENCE_LEAVE;
		return SILENCE_WAIT;
	}
	if (!silence->is_reachable)
		return SILENCE_PROBE;
	if (lasted_ms > silence->patience_ms * PATIENCE_PART &&
	    lasted_ms > silence->expected_ms * EXPECTED_PARTS)
		return SILENCE_LEAVE;
	return SILENCE_WAIT;
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
		if (!placement_serves(upstream, service))
			continue;
		after_ms = MIN(after_ms,
		    MAX(upstream->ejected_until_ms - now_ms, AFTER_LEAST_MS));
	}
	return after_ms;
}

bool
placement_serves(const struct placement_upstream *upstream,
    const struct route_service *service)
{
	return upstream->is_usable &&
	       strcmp(upstream->service, service->name) == 0;
}

double
placement_backlog_ms(const struct placement_upstream *upstream, int64_t now_ms)
{
	double now = (double)now_ms;

	return MAX(upstream->own.read_until_ms - now, 0) +
	       MAX(upstream->others.read_until_ms - now, 0);
}

/* Requests with short prompts that are still answered there. */
uint32_t
placement_count_short(const struct placement_upstream *upstream)
{
	uint32_t running, heavy;

	running = upstream->own.running + upstream->others.running;
	heavy = upstream->own.heavy + upstream->others.heavy;
	return running - MIN(heavy, running);
}

uint64_t
placement_service_hash(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

struct service_load *
placement_service(struct placement *placement, uint64_t hash)
{
	struct service_load *service;

	service = g_hash_table_lookup(placement->services, &hash);
	if (service != NULL)
		return service;
	service = g_new0(struct service_load, 1);
	service->hash = hash;
	g_hash_table_insert(placement->services, &service->hash, service);
	return service;
}

static void
fill(struct placement *placement, struct placement_upstream *upstream,
    const struct placement_record *record)
{
	if (upstream->incarnation != record->incarnation) {
		upstream->failures = 0;
		upstream->failure_share = 0;
		upstream->ejected_until_ms = 0;
		upstream->own.read_until_ms = 0;
	}
	upstream->incarnation = record->incarnation;
	upstream->place = record->place;
	upstream->rank = XXH64(&record->place, sizeof(record->place), 0);
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

static void
count_read(struct placement_load *load, double read_ms, double now)
{
	load->read_until_ms = MAX(load->read_until_ms, now) + read_ms;
}

/* It ended before it was read: nobody goes on reading it. */
static void
uncount_read(struct placement *placement, const struct placement_work *work)
{
	struct service_load *service;
	uint32_t i;

	if (work->read_ms <= 0)
		return;
	shorten(placement, work->upstream_id, work->read_ms);
	for (i = 0; i < work->helper_count; i++)
		shorten(placement, work->helpers[i], work->read_ms);
	service = placement_service(placement, work->service);
	split_rate_remove(&service->heavy_rate, work->whole_read_ms);
}

static void
shorten(struct placement *placement, uint64_t id, double read_ms)
{
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream != NULL)
		upstream->own.read_until_ms -= read_ms;
}

static void
free_peer(gpointer item)
{
	struct peer_work *peer = item;

	work_report_finish(&peer->report);
	g_free(peer);
}
