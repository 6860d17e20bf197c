/**
 * @file placement.c
 * State of placement: the upstreams, the load counted for requests, ejection of
 * failing upstreams and silence of upstreams.
 */
#include "placement/placement.h"

#include <string.h>

#include <xxhash.h>

#include "placement/placement_parts.h"

/* Time for which a host that is not live any more keeps its share of what all
 * hosts together may send. */
#define HOST_ABSENCE_MS 60000
/* Engines from which some are kept free for large prompts: half as many again as
 * one prompt is prefilled by. */
#define ENGINES_MANY_MIN ((PLACEMENT_HELPERS_MAX + 1) * 3 / 2)
/* Time within which a host that starts learns of all upstreams there are. */
#define FIRST_LIST_MS	    1000
#define EJECT_FAILURES_MIN  2	 /* Consecutive failures that eject. */
#define EJECT_BASE_MS	    1000 /* First ejection; each further doubles. */
#define EJECT_MAX_MS	    8000 /* Longest ejection. */
#define EJECT_DOUBLINGS_MAX 3	 /* Doublings up to the longest ejection. */
#define FAILURE_WEIGHT	    0.2	 /* Weight of the newest outcome. */
#define RETRY_AFTER_MIN_MS  200	 /* Shortest Retry-After. */
/* Factor on the predicted prefill time of a part, after which it is overdue. */
#define PREFILL_SLACK 1.5
/* Added to a prefill's due time for engine passes before and after it. */
#define ENGINE_PASSES_MS 200.0
/* Shorter silence doesn't indicate a fault. */
#define SILENCE_MIN_MS 700
/* An upstream that made progress on any request within this time is working. */
#define UPSTREAM_ACTIVE_MS 600
/* A request has been overtaken if one sent this much later made progress. */
#define OVERTAKEN_BY_MS 400
/* Silence after which an overtaken request is abandoned. */
#define OVERTAKEN_SILENCE_MIN_MS 1000
/* Predicted times are exceeded by at most this factor. */
#define EXPECTED_FACTOR 3
/* Time after which a silent upstream that was reached is tried again. */
#define REACHABLE_VALID_MS 1500
/* Share of the caller's pause limit after which a request is abandoned at an
 * upstream that is reachable but makes no progress. */
#define PAUSE_LIMIT_SHARE 0.8

static bool is_usable(const struct placement_upstream *upstream);
static void count_border(struct placement *placement,
    const struct placement_request *request,
    const struct placement_choice *choice);
static void add_reservations(struct placement *placement,
    const struct placement_choice *choice, struct placement_work *work);
static void remove_reservations(
    struct placement *placement, const struct placement_work *work);
static void update_upstream(struct placement *placement,
    struct placement_upstream *upstream, const struct placement_record *record,
    int64_t now_ms);
static void eject_at_once(struct placement *placement,
    struct placement_upstream *upstream, int64_t now_ms);
static void drop_replaced(struct placement *placement);
static void add_prefill(
    struct placement_load *load, double prefill_ms, double now);
static void remove_prefill(
    struct placement *placement, const struct placement_work *work);
static void subtract_prefill(
    struct placement *placement, uint64_t id, double prefill_ms);
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
	placement->queue = g_ptr_array_new();
	forward_peers_init(&placement->forward_peers);
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
	g_ptr_array_unref(placement->queue);
	forward_peers_finish(&placement->forward_peers);
	memset(placement, 0, sizeof(*placement));
}

void
placement_set_hosts(struct placement *placement, uint32_t live_count,
    uint32_t rank, int64_t now_ms)
{
	live_count = MAX(live_count, 1);
	placement->host_rank = rank;
	if (live_count < placement->host_count &&
	    now_ms - placement->host_count_ms < HOST_ABSENCE_MS)
		return;
	placement->host_count = live_count;
	placement->host_count_ms = now_ms;
}

void
placement_update(struct placement *placement,
    const struct placement_record *records, uint32_t count, int64_t now_ms)
{
	struct placement_upstream *upstream;
	GHashTableIter iter;
	uint32_t i;

	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream))
		upstream->is_listed = false;
	if (placement->first_update_ms == 0 && count > 0)
		placement->first_update_ms = now_ms;
	for (i = 0; i < count; i++) {
		upstream =
		    g_hash_table_lookup(placement->upstreams, &records[i].id);
		if (upstream == NULL) {
			upstream = g_new0(struct placement_upstream, 1);
			upstream->id = records[i].id;
			g_hash_table_insert(
			    placement->upstreams, &upstream->id, upstream);
		}
		update_upstream(placement, upstream, &records[i], now_ms);
	}
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (upstream->is_listed)
			continue;
		/* It may be back, and what it said of itself still holds. */
		upstream->is_usable = false;
		if (!upstream_notice_is_binding(&upstream->notice, now_ms))
			g_hash_table_iter_remove(&iter);
	}
	drop_replaced(placement);
	placement->is_peer_load_stale = true;
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

	count_border(placement, request, choice);
	work->upstream_id = upstream->id;
	work->kv_tokens = choice->kv_tokens;
	work->is_long = choice->is_long && !choice->is_led_on_short_side;
	work->service = placement_service_hash(request->service->name);
	work->part_prefill_ms = choice->part_prefill_ms;
	work->prefill_ms = choice->is_long ? choice->prefill_ms : 0;
	upstream->own.running++;
	upstream->own.kv_tokens += choice->kv_tokens;
	work->is_prefill_pending = work->is_long;
	if (work->is_long) {
		upstream->own.long_running++;
		upstream->own.leading++;
		upstream->own.prefill_due_ms =
		    now_ms + (int64_t)(choice->wait_ms +
				       choice->part_prefill_ms * PREFILL_SLACK +
				       ENGINE_PASSES_MS);
	}
	add_prefill(&upstream->own, choice->part_prefill_ms, (double)now_ms);
	upstream->sent_ms[upstream->sent_next] = now_ms;
	upstream->sent_next = (upstream->sent_next + 1) % PLACEMENT_RATE_SLOTS;
	upstream_notice_record_send(&upstream->notice,
	    placement_notice_share(placement, upstream), now_ms);
	for (i = 0; i < choice->helper_count; i++) {
		upstream = g_hash_table_lookup(
		    placement->upstreams, &choice->helpers[i]);
		if (upstream == NULL)
			continue;
		upstream->own.helping++;
		add_prefill(
		    &upstream->own, choice->part_prefill_ms, (double)now_ms);
	}
	work->helper_count = choice->helper_count;
	memcpy(work->helpers, choice->helpers, sizeof(work->helpers));
	add_reservations(placement, choice, work);
	service = placement_get_service(placement, work->service);
	/* A prompt with reservations is too large for one engine. If it only
	 * starts when little else is queued, it doesn't count as demand. */
	if (choice->is_long &&
	    (choice->reservation_count == 0 ||
		placement_has_feature(placement, PLACEMENT_QUEUE_LARGE)))
		split_rate_add(&service->long_rate, choice->prefill_ms, now_ms);
	if (!work->is_long)
		service->short_running++;
}

/* Counts whether the request leaves the data centre, and why. */
static void
count_border(struct placement *placement,
    const struct placement_request *request,
    const struct placement_choice *choice)
{
	struct border_counters *counters = &placement->border;

	if (choice->upstream->is_local) {
		atomic_fetch_add(&counters->stayed, 1);
		return;
	}
	atomic_fetch_add(choice->has_home ? &counters->left_for_gain
					  : &counters->left_for_want,
	    1);
	atomic_fetch_add(&counters->bytes, (uint64_t)request->body_bytes);
}

/* Counts the KV memory that helpers reserve for a prompt that is too large for
 * one engine. */
static void
add_reservations(struct placement *placement,
    const struct placement_choice *choice, struct placement_work *work)
{
	struct placement_upstream *upstream;
	uint32_t i;

	work->reservation_count = choice->reservation_count;
	for (i = 0; i < choice->reservation_count; i++) {
		work->reserved_tokens[i] = choice->reserved_tokens[i];
		upstream = g_hash_table_lookup(
		    placement->upstreams, &work->helpers[i]);
		if (upstream != NULL)
			upstream->own.kv_tokens += work->reserved_tokens[i];
	}
}

/* Removes the KV memory of helpers that add_reservations() counted. */
static void
remove_reservations(
    struct placement *placement, const struct placement_work *work)
{
	struct placement_upstream *upstream;
	uint32_t i;

	for (i = 0; i < work->reservation_count; i++) {
		upstream = g_hash_table_lookup(
		    placement->upstreams, &work->helpers[i]);
		if (upstream != NULL)
			upstream->own.kv_tokens -= MIN(
			    upstream->own.kv_tokens, work->reserved_tokens[i]);
	}
}

void
placement_record_prefilled(
    struct placement *placement, struct placement_work *work)
{
	struct placement_upstream *upstream;
	uint32_t i;

	work->part_prefill_ms = 0;
	work->prefill_ms = 0;
	for (i = 0; i < work->helper_count; i++) {
		upstream = g_hash_table_lookup(
		    placement->upstreams, &work->helpers[i]);
		if (upstream != NULL && upstream->own.helping > 0)
			upstream->own.helping--;
	}
	work->helper_count = 0;
	upstream =
	    g_hash_table_lookup(placement->upstreams, &work->upstream_id);
	if (work->is_prefill_pending && upstream != NULL &&
	    upstream->own.leading > 0)
		upstream->own.leading--;
	work->is_prefill_pending = false;
}

void
placement_end(struct placement *placement, struct placement_work *work)
{
	struct placement_upstream *upstream;
	struct service_load *service;
	struct placement_load *own;

	if (work->upstream_id == 0)
		return;
	remove_prefill(placement, work);
	remove_reservations(placement, work);
	placement_record_prefilled(placement, work);
	service = placement_get_service(placement, work->service);
	if (!work->is_long && service->short_running > 0)
		service->short_running--;
	upstream =
	    g_hash_table_lookup(placement->upstreams, &work->upstream_id);
	if (upstream != NULL) {
		own = &upstream->own;
		if (own->running > 0)
			own->running--;
		if (work->is_long && own->long_running > 0)
			own->long_running--;
		own->kv_tokens -= MIN(own->kv_tokens, work->kv_tokens);
	}
	memset(work, 0, sizeof(*work));
}

bool
placement_is_usable(
    const struct placement *placement, uint64_t id, uint64_t incarnation)
{
	const struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	return upstream != NULL && upstream->incarnation == incarnation &&
	       is_usable(upstream);
}

void
placement_record_success(struct placement *placement, uint64_t id)
{
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream == NULL)
		return;
	upstream->failures = 0;
	upstream->is_unreached = false;
	upstream->failure_share *= 1 - FAILURE_WEIGHT;
}

void
placement_record_failure(
    struct placement *placement, uint64_t id, int64_t now_ms)
{
	struct placement_upstream *upstream;
	int64_t pause_ms;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream == NULL)
		return;
	upstream->failures++;
	upstream->is_unreached = false;
	upstream->failure_share +=
	    FAILURE_WEIGHT * (1 - upstream->failure_share);
	if (upstream->failures < EJECT_FAILURES_MIN)
		return;
	pause_ms =
	    (int64_t)EJECT_BASE_MS << MIN(
		upstream->failures - EJECT_FAILURES_MIN, EJECT_DOUBLINGS_MAX);
	upstream->ejected_until_ms = now_ms + MIN(pause_ms, EJECT_MAX_MS);
}

void
placement_record_unreached(
    struct placement *placement, uint64_t id, int64_t now_ms)
{
	struct placement_upstream *upstream;

	placement_record_failure(placement, id, now_ms);
	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream != NULL)
		upstream->is_unreached = true;
}

void
placement_record_reached(struct placement *placement, uint64_t id)
{
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream == NULL || !upstream->is_unreached)
		return;
	upstream->is_unreached = false;
	upstream->failures = 0;
	upstream->ejected_until_ms = 0;
}

void
placement_record_absence(
    struct placement *placement, uint64_t id, int64_t now_ms)
{
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream == NULL)
		return;
	eject_at_once(placement, upstream, now_ms);
	upstream->is_unreached = true;
}

void
placement_eject_address(
    struct placement *placement, uint64_t address, int64_t now_ms)
{
	struct placement_upstream *upstream;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (upstream->address != address || !upstream->is_usable)
			continue;
		eject_at_once(placement, upstream, now_ms);
	}
}

static void
eject_at_once(struct placement *placement, struct placement_upstream *upstream,
    int64_t now_ms)
{
	upstream->failures = MAX(upstream->failures, EJECT_FAILURES_MIN - 1);
	placement_record_failure(placement, upstream->id, now_ms);
}

void
placement_record_progress(
    struct placement *placement, uint64_t id, int64_t sent_ms, int64_t now_ms)
{
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream == NULL)
		return;
	upstream->last_progress_ms = now_ms;
	upstream->newest_progressed_sent_ms =
	    MAX(upstream->newest_progressed_sent_ms, sent_ms);
}

/* Under load every answer pauses, so silence alone is no reason to abandon an
 * attempt: another upstream would have to prefill the prompt again. */
enum silence_action
placement_evaluate_silence(struct placement *placement, uint64_t id,
    const struct silence *silence, int64_t now_ms)
{
	const struct placement_upstream *upstream;
	int64_t lasted_ms;

	lasted_ms = now_ms - silence->since_ms;
	if (lasted_ms < SILENCE_MIN_MS)
		return SILENCE_WAIT;
	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream != NULL &&
	    now_ms - upstream->last_progress_ms < UPSTREAM_ACTIVE_MS) {
		if (upstream->newest_progressed_sent_ms >
			silence->sent_ms + OVERTAKEN_BY_MS &&
		    lasted_ms > OVERTAKEN_SILENCE_MIN_MS &&
		    lasted_ms > silence->expected_ms * EXPECTED_FACTOR)
			return SILENCE_ABANDON;
		return SILENCE_WAIT;
	}
	if (!silence->is_reachable)
		return SILENCE_PROBE;
	if (lasted_ms > silence->pause_limit_ms * PAUSE_LIMIT_SHARE &&
	    lasted_ms > silence->expected_ms * EXPECTED_FACTOR)
		return SILENCE_ABANDON;
	/* It may have gone dark since. */
	if (silence->probed_ms != 0 &&
	    now_ms - silence->probed_ms > REACHABLE_VALID_MS)
		return SILENCE_PROBE;
	return SILENCE_WAIT;
}

/* A sound upstream may be silent for about a second, and a probe takes as long to
 * give up as the rest of that. */
enum silence_action
placement_evaluate_unreached(const struct silence *silence, int64_t probed_ms)
{
	return silence->since_ms > probed_ms ? SILENCE_WAIT : SILENCE_ABANDON;
}

int64_t
placement_retry_after(struct placement *placement,
    const struct route_service *service, int64_t now_ms)
{
	const struct placement_upstream *upstream;
	GHashTableIter iter;
	int64_t after_ms, wait_ms;

	after_ms = INT64_MAX;
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!placement_serves(upstream, service))
			continue;
		wait_ms =
		    MIN(upstream->ejected_until_ms - now_ms, EJECT_BASE_MS);
		wait_ms = MAX(wait_ms,
		    upstream_notice_wait_ms(&upstream->notice, now_ms));
		after_ms = MIN(after_ms, MAX(wait_ms, RETRY_AFTER_MIN_MS));
	}
	return after_ms == INT64_MAX ? EJECT_BASE_MS : after_ms;
}

bool
placement_serves(const struct placement_upstream *upstream,
    const struct route_service *service)
{
	return is_usable(upstream) &&
	       strcmp(upstream->service, service->name) == 0;
}

static bool
is_usable(const struct placement_upstream *upstream)
{
	return upstream->is_usable && !upstream->notice.last.is_leaving;
}

double
placement_backlog_ms(const struct placement_upstream *upstream, int64_t now_ms)
{
	double now = (double)now_ms;

	return MAX(upstream->own.prefill_until_ms - now, 0) +
	       MAX(upstream->others.prefill_until_ms - now, 0);
}

/* Counts the requests of all hosts. */
uint32_t
placement_count_short(const struct placement_upstream *upstream)
{
	uint32_t running, long_running;

	running = upstream->own.running + upstream->others.running;
	long_running =
	    upstream->own.long_running + upstream->others.long_running;
	return running - MIN(long_running, running);
}

bool
placement_has_feature(
    const struct placement *placement, enum placement_feature feature)
{
	return (placement->settings.features.set & (uint32_t)feature) != 0;
}

bool
placement_has_room_for(
    const struct placement_context *context, enum placement_feature feature)
{
	return placement_has_feature(context->placement, feature) &&
	       context->healthy_count >= ENGINES_MANY_MIN;
}

uint64_t
placement_service_hash(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

struct service_load *
placement_get_service(struct placement *placement, uint64_t hash)
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

bool
placement_is_starting(const struct placement *placement, int64_t now_ms)
{
	return now_ms - placement->first_update_ms < FIRST_LIST_MS;
}

/* Copies a record to the upstream. A new incarnation starts without failures
 * and without backlog. */
static void
update_upstream(struct placement *placement,
    struct placement_upstream *upstream, const struct placement_record *record,
    int64_t now_ms)
{
	if (upstream->incarnation != record->incarnation) {
		if (upstream->incarnation != 0 ||
		    !placement_is_starting(placement, now_ms))
			upstream->known_ms = now_ms;
		upstream->failures = 0;
		upstream->failure_share = 0;
		upstream->ejected_until_ms = 0;
		upstream->is_unreached = false;
		upstream->own.prefill_until_ms = 0;
		memset(&upstream->notice, 0, sizeof(upstream->notice));
	}
	upstream->incarnation = record->incarnation;
	upstream->address = record->address;
	upstream->short_rank =
	    XXH64(&record->address, sizeof(record->address), 0);
	upstream->slots = record->slots;
	upstream->is_usable = record->is_usable;
	upstream->is_listed = true;
	g_strlcpy(upstream->name, record->name, sizeof(upstream->name));
	g_strlcpy(
	    upstream->service, record->service, sizeof(upstream->service));
	upstream->is_local =
	    strcmp(record->data_centre, placement->settings.data_centre) == 0;
}

/* Marks upstreams unusable whose address has been taken over by one that
 * started later. */
static void
drop_replaced(struct placement *placement)
{
	struct placement_upstream *upstream, *newest;
	GHashTable *newest_by_address;
	GHashTableIter iter;

	newest_by_address = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_iter_init(&iter, placement->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&upstream)) {
		if (!upstream->is_listed)
			continue;
		newest =
		    g_hash_table_lookup(newest_by_address, &upstream->address);
		if (newest == NULL ||
		    newest->incarnation < upstream->incarnation) {
			if (newest != NULL)
				newest->is_usable = false;
			g_hash_table_replace(
			    newest_by_address, &upstream->address, upstream);
		} else {
			upstream->is_usable = false;
		}
	}
	g_hash_table_unref(newest_by_address);
}

/* Adds prefill work to the end of an upstream's backlog. */
static void
add_prefill(struct placement_load *load, double prefill_ms, double now)
{
	load->prefill_until_ms = MAX(load->prefill_until_ms, now) + prefill_ms;
}

/* Removes the prefill of a request that ended before its prompt was prefilled,
 * as the engines don't continue with it. */
static void
remove_prefill(struct placement *placement, const struct placement_work *work)
{
	struct service_load *service;
	uint32_t i;

	if (work->part_prefill_ms <= 0)
		return;
	subtract_prefill(placement, work->upstream_id, work->part_prefill_ms);
	for (i = 0; i < work->helper_count; i++)
		subtract_prefill(
		    placement, work->helpers[i], work->part_prefill_ms);
	service = placement_get_service(placement, work->service);
	split_rate_remove(&service->long_rate, work->prefill_ms);
}

static void
subtract_prefill(struct placement *placement, uint64_t id, double prefill_ms)
{
	struct placement_upstream *upstream;

	upstream = g_hash_table_lookup(placement->upstreams, &id);
	if (upstream != NULL)
		upstream->own.prefill_until_ms -= prefill_ms;
}

static void
free_peer(gpointer item)
{
	struct peer_work *peer = item;

	work_report_finish(&peer->report);
	g_free(peer);
}
