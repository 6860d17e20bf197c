#include "coordination/quarantine.h"

#include <string.h>

#include "base/event_log.h"

#define WEIGHT_CERTAIN 1000 /* Of a crash with nobody beside. */
#define TICK_MS	       500  /* Commits and expires. */
#define CRASHES_BAD    2    /* Events after which it is quarantined. */

/* What is held against a request. */
struct suspect {
	uint64_t fingerprint;
	GList *link;		  /* Its place in the order of age. */
	uint32_t crashes;	  /* Events that weigh on it. */
	uint32_t weight;	  /* Their weight. */
	uint64_t event;		  /* The last of them. */
	uint32_t event_upstreams; /* Upstreams of that one it was on. */
	uint32_t event_weight;	  /* Weight that came from it. */
	int64_t since_ms;	  /* When that was. */
	int64_t suspect_until_ms;
	int64_t refuse_until_ms; /* 0 when not quarantined. */
	bool is_committed;	 /* Nothing new to be committed. */
};

/* Crashes of one data centre close together. */
struct crash_event {
	uint64_t number;
	GArray *upstreams; /* Ids. */
	int64_t last_ms;
};

static void run_tick(void *context);
static struct suspect *find_suspect(
    const struct quarantine *quarantine, uint64_t fingerprint);
static struct suspect *open_suspect(
    struct quarantine *quarantine, uint64_t fingerprint);
static void drop_suspect(
    struct quarantine *quarantine, struct suspect *suspect);
static void free_event(gpointer event);
static struct crash_event *note_event(struct quarantine *quarantine,
    const char *data_centre, uint64_t upstream_id, bool *is_new);
static void blame(struct quarantine *quarantine, uint64_t fingerprint,
    const struct crash_event *event, bool is_new, uint32_t weight);
static void acquit(struct quarantine *quarantine, uint64_t event);
static void judge(struct quarantine *quarantine, struct suspect *suspect);
static struct quarantine_entry make_entry(
    const struct quarantine *quarantine, const struct suspect *suspect);
static bool is_ripe(
    const struct quarantine *quarantine, const struct suspect *suspect);

struct quarantine_settings
quarantine_default_settings(void)
{
	struct quarantine_settings settings = {
	    .suspect_ms = 3600000,
	    .quarantine_ms = 3600000,
	    .event_ms = 2000,
	    .event_upstreams = 3,
	    .capacity = 4096,
	};

	return settings;
}

enum error_code
quarantine_init(struct quarantine *quarantine,
    const struct quarantine_settings *settings,
    const struct quarantine_ops *ops, struct timer_service *timers)
{
	struct timer_callback tick = {run_tick, quarantine};
	enum error_code error;

	memset(quarantine, 0, sizeof(*quarantine));
	if (settings->capacity == 0 || settings->event_upstreams < 2)
		return ERROR_INVALID_ARGUMENT;
	error = timer_subscribe_every(timers, TICK_MS, tick, &quarantine->tick);
	if (error != ERROR_NONE)
		return error;
	quarantine->settings = *settings;
	if (ops != NULL)
		quarantine->ops = *ops;
	quarantine->timers = timers;
	quarantine->suspects =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	quarantine->events =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_event);
	quarantine->order = g_queue_new();
	return ERROR_NONE;
}

void
quarantine_finish(struct quarantine *quarantine)
{
	if (quarantine->suspects == NULL)
		return;
	timer_cancel(quarantine->timers, &quarantine->tick);
	g_queue_free(quarantine->order);
	g_hash_table_destroy(quarantine->suspects);
	g_hash_table_destroy(quarantine->events);
	memset(quarantine, 0, sizeof(*quarantine));
}

enum quarantine_verdict
quarantine_check(const struct quarantine *quarantine, uint64_t fingerprint)
{
	const struct suspect *suspect;
	int64_t now_ms;

	suspect = find_suspect(quarantine, fingerprint);
	if (suspect == NULL)
		return QUARANTINE_RUN;
	now_ms = timer_now(quarantine->timers);
	if (now_ms < suspect->refuse_until_ms)
		return QUARANTINE_REFUSE;
	if (suspect->crashes > 0 && now_ms < suspect->suspect_until_ms)
		return QUARANTINE_RUN_ALONE;
	return QUARANTINE_RUN;
}

void
quarantine_note_crash(
    struct quarantine *quarantine, const struct quarantine_crash *crash)
{
	const struct crash_event *event;
	uint32_t weight, i;
	bool is_new;

	event = note_event(
	    quarantine, crash->data_centre, crash->upstream_id, &is_new);
	if (crash->count == 0)
		return;
	weight = WEIGHT_CERTAIN / (crash->count + crash->beside);
	for (i = 0; i < crash->count; i++)
		blame(
		    quarantine, crash->fingerprints[i], event, is_new, weight);
	if (event->upstreams->len >= quarantine->settings.event_upstreams)
		acquit(quarantine, event->number);
}

void
quarantine_note_done(struct quarantine *quarantine, uint64_t fingerprint)
{
	struct quarantine_entry entry = {0};
	struct suspect *suspect;

	suspect = find_suspect(quarantine, fingerprint);
	if (suspect == NULL ||
	    timer_now(quarantine->timers) < suspect->refuse_until_ms)
		return;
	entry.fingerprint = fingerprint;
	entry.verdict = QUARANTINE_RUN;
	if (suspect->is_committed && quarantine->ops.commit != NULL)
		quarantine->ops.commit(quarantine->ops.context, &entry, 1);
	drop_suspect(quarantine, suspect);
}

void
quarantine_apply(
    struct quarantine *quarantine, const struct quarantine_entry *entry)
{
	struct suspect *suspect;
	int64_t until_ms;

	if (entry->verdict == QUARANTINE_RUN) {
		suspect = find_suspect(quarantine, entry->fingerprint);
		if (suspect != NULL)
			drop_suspect(quarantine, suspect);
		return;
	}
	suspect = open_suspect(quarantine, entry->fingerprint);
	until_ms = timer_now(quarantine->timers) + entry->remaining_ms;
	/* What was seen here since is not in the entry yet. */
	if (suspect->is_committed || entry->crashes > suspect->crashes) {
		suspect->crashes = entry->crashes;
		suspect->weight = entry->weight_permille;
	}
	suspect->suspect_until_ms = MAX(suspect->suspect_until_ms, until_ms);
	/* The event turned out to be nobody's fault. */
	if (entry->crashes < CRASHES_BAD && suspect->crashes < CRASHES_BAD)
		suspect->refuse_until_ms = 0;
	if (entry->verdict == QUARANTINE_REFUSE)
		suspect->refuse_until_ms =
		    MAX(suspect->refuse_until_ms, until_ms);
	suspect->is_committed = suspect->crashes == entry->crashes;
}

static void
run_tick(void *context)
{
	struct quarantine *quarantine = context;
	struct quarantine_entry entry;
	struct suspect *suspect;
	GList *at, *next;
	GArray *entries;
	int64_t now_ms;

	now_ms = timer_now(quarantine->timers);
	entries = g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	for (at = quarantine->order->head; at != NULL; at = next) {
		next = at->next;
		suspect = at->data;
		if (now_ms >= suspect->suspect_until_ms &&
		    now_ms >= suspect->refuse_until_ms) {
			drop_suspect(quarantine, suspect);
			continue;
		}
		if (!is_ripe(quarantine, suspect))
			continue;
		entry = make_entry(quarantine, suspect);
		g_array_append_val(entries, entry);
		suspect->is_committed = true;
	}
	if (entries->len > 0 && quarantine->ops.commit != NULL)
		quarantine->ops.commit(quarantine->ops.context,
		    (const struct quarantine_entry *)(void *)entries->data,
		    entries->len);
	g_array_free(entries, TRUE);
}

static struct suspect *
find_suspect(const struct quarantine *quarantine, uint64_t fingerprint)
{
	return g_hash_table_lookup(quarantine->suspects, &fingerprint);
}

static struct suspect *
open_suspect(struct quarantine *quarantine, uint64_t fingerprint)
{
	struct suspect *suspect;

	suspect = find_suspect(quarantine, fingerprint);
	if (suspect != NULL)
		return suspect;
	if (g_hash_table_size(quarantine->suspects) >=
	    quarantine->settings.capacity)
		drop_suspect(quarantine, g_queue_peek_head(quarantine->order));
	suspect = g_new0(struct suspect, 1);
	suspect->fingerprint = fingerprint;
	g_queue_push_tail(quarantine->order, suspect);
	suspect->link = g_queue_peek_tail_link(quarantine->order);
	g_hash_table_insert(
	    quarantine->suspects, &suspect->fingerprint, suspect);
	return suspect;
}

static void
drop_suspect(struct quarantine *quarantine, struct suspect *suspect)
{
	g_queue_delete_link(quarantine->order, suspect->link);
	g_hash_table_remove(quarantine->suspects, &suspect->fingerprint);
}

static void
free_event(gpointer event)
{
	struct crash_event *freed = event;

	g_array_free(freed->upstreams, TRUE);
	g_free(freed);
}

/* An upstream that is told of twice in one event has crashed once. */
static struct crash_event *
note_event(struct quarantine *quarantine, const char *data_centre,
    uint64_t upstream_id, bool *is_new)
{
	struct crash_event *event;
	int64_t now_ms;
	guint i;

	now_ms = timer_now(quarantine->timers);
	event = g_hash_table_lookup(quarantine->events, data_centre);
	if (event == NULL) {
		event = g_new0(struct crash_event, 1);
		event->upstreams =
		    g_array_new(FALSE, FALSE, sizeof(upstream_id));
		g_hash_table_insert(
		    quarantine->events, g_strdup(data_centre), event);
	}
	if (event->number == 0 ||
	    now_ms - event->last_ms > quarantine->settings.event_ms) {
		event->number = ++quarantine->next_event;
		g_array_set_size(event->upstreams, 0);
	}
	event->last_ms = now_ms;
	*is_new = true;
	for (i = 0; i < event->upstreams->len; i++) {
		if (g_array_index(event->upstreams, uint64_t, i) == upstream_id)
			*is_new = false;
	}
	if (*is_new)
		g_array_append_val(event->upstreams, upstream_id);
	return event;
}

static void
blame(struct quarantine *quarantine, uint64_t fingerprint,
    const struct crash_event *event, bool is_new, uint32_t weight)
{
	struct suspect *suspect;
	bool was_alone;

	suspect = open_suspect(quarantine, fingerprint);
	/* Alone, as it was told to run, it can't be a victim of the event. */
	was_alone =
	    weight == WEIGHT_CERTAIN && suspect->crashes > 0 &&
	    event->upstreams->len < quarantine->settings.event_upstreams;
	if (suspect->event != event->number || was_alone) {
		suspect->crashes++;
		suspect->event = event->number;
		suspect->event_upstreams = 0;
		suspect->event_weight = 0;
	}
	if (is_new || suspect->event_upstreams == 0)
		suspect->event_upstreams++;
	if (weight > suspect->event_weight) {
		suspect->weight += weight - suspect->event_weight;
		suspect->event_weight = weight;
	}
	suspect->since_ms = timer_now(quarantine->timers);
	suspect->suspect_until_ms =
	    suspect->since_ms + quarantine->settings.suspect_ms;
	suspect->is_committed = false;
	judge(quarantine, suspect);
}

/* So many upstreams do not die of one request that was on one of them. */
static void
acquit(struct quarantine *quarantine, uint64_t event)
{
	struct suspect *suspect;
	GList *at, *next;

	for (at = quarantine->order->head; at != NULL; at = next) {
		next = at->next;
		suspect = at->data;
		if (suspect->event != event || suspect->event_upstreams > 1)
			continue;
		suspect->crashes--;
		suspect->weight -= suspect->event_weight;
		suspect->event = 0;
		suspect->event_weight = 0;
		if (suspect->crashes < CRASHES_BAD)
			suspect->refuse_until_ms = 0;
		suspect->is_committed = false;
		if (suspect->crashes == 0)
			drop_suspect(quarantine, suspect);
	}
}

static void
judge(struct quarantine *quarantine, struct suspect *suspect)
{
	int64_t now_ms;

	now_ms = timer_now(quarantine->timers);
	if (suspect->crashes < CRASHES_BAD ||
	    suspect->weight < WEIGHT_CERTAIN ||
	    now_ms < suspect->refuse_until_ms)
		return;
	suspect->refuse_until_ms = now_ms + quarantine->settings.quarantine_ms;
	suspect->is_committed = false;
	event_log_write(EVENT_REQUEST_QUARANTINED,
	    "fingerprint=%016" G_GINT64_MODIFIER "x crashes=%u",
	    (guint64)suspect->fingerprint, suspect->crashes);
}

static struct quarantine_entry
make_entry(const struct quarantine *quarantine, const struct suspect *suspect)
{
	struct quarantine_entry entry = {0};
	int64_t now_ms;

	now_ms = timer_now(quarantine->timers);
	entry.fingerprint = suspect->fingerprint;
	entry.crashes = suspect->crashes;
	entry.weight_permille = suspect->weight;
	entry.verdict = QUARANTINE_RUN_ALONE;
	entry.remaining_ms = suspect->suspect_until_ms - now_ms;
	if (now_ms < suspect->refuse_until_ms) {
		entry.verdict = QUARANTINE_REFUSE;
		entry.remaining_ms = suspect->refuse_until_ms - now_ms;
	}
	return entry;
}

/* A suspicion is committed only once its event can grow no more; otherwise
 * the loss of a data centre would commit a line for each request there. */
static bool
is_ripe(const struct quarantine *quarantine, const struct suspect *suspect)
{
	int64_t now_ms;

	if (suspect->is_committed)
		return false;
	now_ms = timer_now(quarantine->timers);
	return now_ms < suspect->refuse_until_ms ||
	       now_ms - suspect->since_ms > quarantine->settings.event_ms;
}
