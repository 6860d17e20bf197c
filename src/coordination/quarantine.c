#include "coordination/quarantine.h"

#include <string.h>

#include "base/event_log.h"

/* Weight, in permille, of a crash on the only request that was running. */
#define WEIGHT_SOLE_REQUEST 1000

/* Interval at which suspects are committed and expired. */
#define TICK_MS 250

/* Wait after a commit that failed. */
#define COMMIT_RETRY_MS 1000

/* Events that must count against a request before it is quarantined, if their
 * weights reach WEIGHT_SOLE_REQUEST. */
#define CRASHES_TO_QUARANTINE 2
/* Events from which a request is quarantined whatever their weights: who
 * runs beside it changes from one upstream to the next, so others hardly
 * have part in as many. */
#define CRASHES_OF_ANY_WEIGHT 3

/* Crashes that count against a request, and the sum of their weights. */
struct tally {
	uint32_t crashes;
	uint32_t weight_permille;
};

/* A request that was running when an upstream crashed. */
struct suspect {
	uint64_t fingerprint;
	GList *link;	       /* Element of this entry in quarantine.by_age. */
	struct tally own;      /* What this host has counted. */
	struct tally others;   /* What the other hosts have committed. */
	uint64_t event_number; /* Number of the last event. */
	uint32_t event_upstreams; /* Upstreams of that event it ran on. */
	uint32_t event_weight;	  /* Weight of that event, in permille. */
	int64_t last_crash_ms;	  /* When the last crash was recorded. */
	int64_t suspect_until_ms;
	int64_t refuse_until_ms; /* End of its quarantine, 0 for none. */
	bool is_committed;  /* The present state is committed or on its way. */
	bool is_committing; /* A commit is on its way. */
	int64_t commit_from_ms; /* No commit before, since one failed. */
	bool is_cleared;	/* It ran to its end; the release is to be
			       committed. */
	bool is_listed;		/* The committed records contain it. */
	uint64_t sync_number;	/* The last application that contained it. */
};

/* Crashes of one data centre within a short time. */
struct crash_event {
	uint64_t number;
	GArray *upstreams; /* Ids of the upstreams that crashed. */
	int64_t last_ms;   /* Time of the last crash in the event. */
};

static void run_tick(void *context);
static enum quarantine_action action_for(
    const struct quarantine *quarantine, const struct suspect *suspect);
static struct tally total(const struct suspect *suspect);
static struct suspect *find_suspect(
    const struct quarantine *quarantine, uint64_t fingerprint);
static struct suspect *find_or_add_suspect(
    struct quarantine *quarantine, uint64_t fingerprint);
static void drop_suspect(
    struct quarantine *quarantine, struct suspect *suspect);
static void free_event(gpointer event);
static struct crash_event *record_event(struct quarantine *quarantine,
    const char *data_centre, uint64_t upstream_id, bool *is_new);
static void add_crash(struct quarantine *quarantine, uint64_t fingerprint,
    const struct crash_event *event, bool is_new, uint32_t weight);
static void withdraw_event(struct quarantine *quarantine, uint64_t event);
static bool has_enough_crashes(struct tally sum);
static void evaluate_suspect(
    struct quarantine *quarantine, struct suspect *suspect);
static struct quarantine_entry make_entry(
    const struct quarantine *quarantine, const struct suspect *suspect);
static bool is_ready_to_commit(
    const struct quarantine *quarantine, const struct suspect *suspect);

struct quarantine_settings
quarantine_default_settings(void)
{
	struct quarantine_settings settings = {
	    .suspect_ms = 3600000,
	    .quarantine_ms = 3600000,
	    .event_gap_ms = 2000,
	    .event_upstreams_min = 3,
	    .commit_delay_ms = 500,
	    .suspects_max = 4096,
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
	if (settings->suspects_max == 0 || settings->event_upstreams_min < 2)
		return ERROR_INVALID_ARGUMENT;
	error = timer_subscribe_every(
	    timers, TICK_MS, tick, &quarantine->tick_timer);
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
	quarantine->by_age = g_queue_new();
	return ERROR_NONE;
}

void
quarantine_finish(struct quarantine *quarantine)
{
	if (quarantine->suspects == NULL)
		return;
	timer_cancel(quarantine->timers, &quarantine->tick_timer);
	g_queue_free(quarantine->by_age);
	g_hash_table_destroy(quarantine->suspects);
	g_hash_table_destroy(quarantine->events);
	memset(quarantine, 0, sizeof(*quarantine));
}

enum quarantine_action
quarantine_check(const struct quarantine *quarantine, uint64_t fingerprint)
{
	const struct suspect *suspect;

	suspect = find_suspect(quarantine, fingerprint);
	return suspect == NULL ? QUARANTINE_RUN
			       : action_for(quarantine, suspect);
}

static enum quarantine_action
action_for(const struct quarantine *quarantine, const struct suspect *suspect)
{
	int64_t now_ms;

	if (suspect->is_cleared)
		return QUARANTINE_RUN;
	now_ms = timer_now(quarantine->timers);
	if (now_ms < suspect->refuse_until_ms)
		return QUARANTINE_REFUSE;
	if (total(suspect).crashes > 0 && now_ms < suspect->suspect_until_ms)
		return QUARANTINE_RUN_ALONE;
	return QUARANTINE_RUN;
}

uint32_t
quarantine_count(const struct quarantine *quarantine)
{
	return g_hash_table_size(quarantine->suspects);
}

void
quarantine_for_each(const struct quarantine *quarantine,
    void (*visit)(void *context, const struct quarantine_verdict *verdict),
    void *context)
{
	struct quarantine_verdict verdict;
	const struct suspect *suspect;
	const GList *at;

	for (at = quarantine->by_age->head; at != NULL; at = at->next) {
		suspect = at->data;
		verdict.fingerprint = suspect->fingerprint;
		verdict.action = action_for(quarantine, suspect);
		verdict.until_ms = verdict.action == QUARANTINE_REFUSE
				       ? suspect->refuse_until_ms
				       : suspect->suspect_until_ms;
		visit(context, &verdict);
	}
}

uint32_t
quarantine_crash_weight(const struct quarantine_crash *crash)
{
	uint32_t requests = crash->count + crash->other_hosts_requests;

	return requests == 0 ? 0 : WEIGHT_SOLE_REQUEST / requests;
}

void
quarantine_record_crash(
    struct quarantine *quarantine, const struct quarantine_crash *crash)
{
	const struct crash_event *event;
	uint32_t weight, i;
	bool is_new;

	event = record_event(
	    quarantine, crash->data_centre, crash->upstream_id, &is_new);
	if (crash->count == 0)
		return;
	weight = quarantine_crash_weight(crash);
	for (i = 0; i < crash->count; i++)
		add_crash(
		    quarantine, crash->fingerprints[i], event, is_new, weight);
	if (event->upstreams->len >= quarantine->settings.event_upstreams_min)
		withdraw_event(quarantine, event->number);
}

void
quarantine_record_completed(struct quarantine *quarantine, uint64_t fingerprint)
{
	struct suspect *suspect;

	suspect = find_suspect(quarantine, fingerprint);
	if (suspect == NULL ||
	    timer_now(quarantine->timers) < suspect->refuse_until_ms)
		return;
	if (!suspect->is_listed && !suspect->is_committing) {
		drop_suspect(quarantine, suspect);
		return;
	}
	quarantine->change_count++;
	suspect->is_cleared = true;
	suspect->is_committed = false;
}

void
quarantine_record_commit(
    struct quarantine *quarantine, uint64_t fingerprint, bool is_committed)
{
	struct suspect *suspect;

	suspect = find_suspect(quarantine, fingerprint);
	if (suspect == NULL)
		return;
	suspect->is_committing = false;
	if (!is_committed) {
		suspect->is_committed = false;
		suspect->commit_from_ms =
		    timer_now(quarantine->timers) + COMMIT_RETRY_MS;
	} else if (suspect->is_cleared && suspect->is_committed)
		drop_suspect(quarantine, suspect);
}

void
quarantine_sync_begin(struct quarantine *quarantine)
{
	quarantine->sync_number++;
}

void
quarantine_sync_record(struct quarantine *quarantine,
    const struct quarantine_record *record, int64_t remaining_ms)
{
	struct tally own = {0}, others = {0}, *sum;
	struct suspect *suspect;
	int64_t until_ms;
	uint32_t i;

	for (i = 0; i < record->share_count; i++) {
		sum = record->shares[i].host_id == quarantine->settings.host_id
			  ? &own
			  : &others;
		sum->crashes += record->shares[i].crashes;
		sum->weight_permille += record->shares[i].weight_permille;
	}
	quarantine->change_count++;
	suspect = find_suspect(quarantine, record->fingerprint);
	if (suspect == NULL) {
		suspect = find_or_add_suspect(quarantine, record->fingerprint);
		suspect->is_committed = true;
	}
	suspect->is_listed = true;
	suspect->sync_number = quarantine->sync_number;
	if (suspect->is_cleared)
		return;
	suspect->others = others;
	/* After a restart only the record knows what this host counted. */
	if (own.crashes > suspect->own.crashes)
		suspect->own = own;
	until_ms = timer_now(quarantine->timers) + remaining_ms;
	suspect->suspect_until_ms = MAX(suspect->suspect_until_ms, until_ms);
	/* A withdrawn event may have reduced the count below the limit, which
	 * ends the quarantine. */
	if (record->must_run_alone && !has_enough_crashes(total(suspect)))
		suspect->refuse_until_ms = 0;
	if (!record->must_run_alone)
		suspect->refuse_until_ms =
		    MAX(suspect->refuse_until_ms, until_ms);
	else
		evaluate_suspect(quarantine, suspect);
}

void
quarantine_sync_end(struct quarantine *quarantine)
{
	struct suspect *suspect;
	GList *at, *next;

	for (at = quarantine->by_age->head; at != NULL; at = next) {
		next = at->next;
		suspect = at->data;
		if (suspect->is_listed &&
		    suspect->sync_number != quarantine->sync_number)
			drop_suspect(quarantine, suspect);
	}
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
	for (at = quarantine->by_age->head; at != NULL; at = next) {
		next = at->next;
		suspect = at->data;
		if (now_ms >= suspect->suspect_until_ms &&
		    now_ms >= suspect->refuse_until_ms) {
			drop_suspect(quarantine, suspect);
			continue;
		}
		if (!is_ready_to_commit(quarantine, suspect))
			continue;
		entry = make_entry(quarantine, suspect);
		g_array_append_val(entries, entry);
		suspect->is_committed = true;
		suspect->is_committing = quarantine->ops.commit != NULL;
	}
	if (entries->len > 0 && quarantine->ops.commit != NULL)
		quarantine->ops.commit(quarantine->ops.context,
		    (const struct quarantine_entry *)(void *)entries->data,
		    entries->len);
	g_array_free(entries, TRUE);
}

/* What all hosts have counted. */
static struct tally
total(const struct suspect *suspect)
{
	struct tally sum = suspect->own;

	sum.crashes += suspect->others.crashes;
	sum.weight_permille += suspect->others.weight_permille;
	return sum;
}

static struct suspect *
find_suspect(const struct quarantine *quarantine, uint64_t fingerprint)
{
	return g_hash_table_lookup(quarantine->suspects, &fingerprint);
}

static struct suspect *
find_or_add_suspect(struct quarantine *quarantine, uint64_t fingerprint)
{
	struct suspect *suspect;

	suspect = find_suspect(quarantine, fingerprint);
	if (suspect != NULL)
		return suspect;
	if (g_hash_table_size(quarantine->suspects) >=
	    quarantine->settings.suspects_max)
		drop_suspect(quarantine, g_queue_peek_head(quarantine->by_age));
	suspect = g_new0(struct suspect, 1);
	suspect->fingerprint = fingerprint;
	g_queue_push_tail(quarantine->by_age, suspect);
	suspect->link = g_queue_peek_tail_link(quarantine->by_age);
	g_hash_table_insert(
	    quarantine->suspects, &suspect->fingerprint, suspect);
	return suspect;
}

static void
drop_suspect(struct quarantine *quarantine, struct suspect *suspect)
{
	quarantine->change_count++;
	g_queue_delete_link(quarantine->by_age, suspect->link);
	g_hash_table_remove(quarantine->suspects, &suspect->fingerprint);
}

static void
free_event(gpointer event)
{
	struct crash_event *freed = event;

	g_array_free(freed->upstreams, TRUE);
	g_free(freed);
}

/* Adds a crash to the present event of a data centre, or starts a new event.
 * Sets is_new to false if the event already contains the upstream: one crash
 * may be recorded more than once. */
static struct crash_event *
record_event(struct quarantine *quarantine, const char *data_centre,
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
	    now_ms - event->last_ms > quarantine->settings.event_gap_ms) {
		event->number = ++quarantine->last_event_number;
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

/* Counts a crash against a request. An event counts once, with the greatest
 * weight of its crashes, unless the request ran on many of its upstreams. */
static void
add_crash(struct quarantine *quarantine, uint64_t fingerprint,
    const struct crash_event *event, bool is_new, uint32_t weight)
{
	struct suspect *suspect;
	bool is_other_event, was_alone, ran_on_many;

	quarantine->change_count++;
	suspect = find_or_add_suspect(quarantine, fingerprint);
	if (suspect->is_cleared) {
		suspect->is_cleared = false;
		suspect->own = suspect->others = (struct tally){0};
		suspect->event_number = 0;
	}
	/* A suspect that ran alone, as required, caused the crash itself, so
	 * this counts even if it belongs to the same event. */
	was_alone =
	    weight == WEIGHT_SOLE_REQUEST && total(suspect).crashes > 0 &&
	    event->upstreams->len < quarantine->settings.event_upstreams_min;
	/* One that ran on so many upstreams of an event is no victim of it. */
	is_other_event = suspect->event_number != event->number;
	ran_on_many = is_new && suspect->event_upstreams + 1 >=
				    quarantine->settings.event_upstreams_min;
	if (is_other_event || was_alone || ran_on_many) {
		suspect->own.crashes++;
		suspect->event_number = event->number;
		if (!ran_on_many || is_other_event)
			suspect->event_upstreams = 0;
		suspect->event_weight = 0;
	}
	if (is_new || suspect->event_upstreams == 0)
		suspect->event_upstreams++;
	if (weight > suspect->event_weight) {
		suspect->own.weight_permille += weight - suspect->event_weight;
		suspect->event_weight = weight;
	}
	suspect->last_crash_ms = timer_now(quarantine->timers);
	suspect->suspect_until_ms =
	    suspect->last_crash_ms + quarantine->settings.suspect_ms;
	suspect->is_committed = false;
	evaluate_suspect(quarantine, suspect);
}

/* Stops counting an event with many upstreams against requests that ran on only
 * one of them: such a request can't have crashed the other upstreams. */
static void
withdraw_event(struct quarantine *quarantine, uint64_t event)
{
	struct suspect *suspect;
	GList *at, *next;

	for (at = quarantine->by_age->head; at != NULL; at = next) {
		next = at->next;
		suspect = at->data;
		if (suspect->event_number != event ||
		    suspect->event_upstreams > 1)
			continue;
		quarantine->change_count++;
		suspect->own.crashes--;
		suspect->own.weight_permille -= suspect->event_weight;
		suspect->event_number = 0;
		suspect->event_weight = 0;
		if (!has_enough_crashes(total(suspect)))
			suspect->refuse_until_ms = 0;
		suspect->is_committed = false;
		if (total(suspect).crashes == 0 && !suspect->is_listed &&
		    !suspect->is_committing)
			drop_suspect(quarantine, suspect);
	}
}

static bool
has_enough_crashes(struct tally sum)
{
	return sum.crashes >= CRASHES_OF_ANY_WEIGHT ||
	       (sum.crashes >= CRASHES_TO_QUARANTINE &&
		   sum.weight_permille >= WEIGHT_SOLE_REQUEST);
}

/* Quarantines a suspect with enough crashes of enough weight. */
static void
evaluate_suspect(struct quarantine *quarantine, struct suspect *suspect)
{
	int64_t now_ms;

	now_ms = timer_now(quarantine->timers);
	if (!has_enough_crashes(total(suspect)) ||
	    now_ms < suspect->refuse_until_ms)
		return;
	suspect->refuse_until_ms = now_ms + quarantine->settings.quarantine_ms;
	/* Hosts that have counted nothing leave the commit to those that have:
	 * all hosts come to this from the same records. */
	if (suspect->own.crashes > 0)
		suspect->is_committed = false;
	event_log_write(EVENT_REQUEST_QUARANTINED,
	    "fingerprint=%016" G_GINT64_MODIFIER "x crashes=%u",
	    (guint64)suspect->fingerprint, total(suspect).crashes);
}

static struct quarantine_entry
make_entry(const struct quarantine *quarantine, const struct suspect *suspect)
{
	struct quarantine_entry entry = {0};
	int64_t now_ms;

	now_ms = timer_now(quarantine->timers);
	entry.fingerprint = suspect->fingerprint;
	entry.crashes = suspect->own.crashes;
	entry.weight_permille = suspect->own.weight_permille;
	if (suspect->is_cleared)
		return entry;
	entry.action = QUARANTINE_RUN_ALONE;
	entry.remaining_ms = suspect->suspect_until_ms - now_ms;
	if (now_ms < suspect->refuse_until_ms) {
		entry.action = QUARANTINE_REFUSE;
		entry.remaining_ms = suspect->refuse_until_ms - now_ms;
	}
	return entry;
}

/* A suspect is committed only some time after its last crash, or when it is
 * quarantined or released. Otherwise the loss of a data centre would commit
 * an entry for each request that was running there. */
static bool
is_ready_to_commit(
    const struct quarantine *quarantine, const struct suspect *suspect)
{
	int64_t now_ms;

	if (suspect->is_committed || suspect->is_committing)
		return false;
	now_ms = timer_now(quarantine->timers);
	if (now_ms < suspect->commit_from_ms)
		return false;
	return suspect->is_cleared || now_ms < suspect->refuse_until_ms ||
	       now_ms - suspect->last_crash_ms >
		   quarantine->settings.commit_delay_ms;
}
