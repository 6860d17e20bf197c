#include "coordination/part_suspects.h"

#include <string.h>

#include "base/event_log.h"

/* Interval at which failed commits are repeated and entries expire. */
#define TICK_MS 250
/* Wait after a commit that failed, and the time for which it is repeated. */
#define COMMIT_RETRY_MS 1000
#define COMMIT_KEEP_MS	60000
/* Most commits that wait; a further one replaces the oldest. */
#define COMMITS_MAX 256
/* Time to come back for a request that may not be the one of a trial. */
#define TRIAL_WAIT_MS 10000
/* A part that ran well here within this time is not suspected of a crash. */
#define SURVIVOR_MS 2000
/* Time for which it is remembered that a part ran well, and most such parts. */
#define SURVIVOR_KEEP_MS 600000
#define SURVIVORS_MAX	 4096

/* A part that is suspected or quarantined. */
struct part_entry {
	struct part_record record; /* Its times are of this host's clock. */
	bool is_trial_host;	   /* This host may send a trial. */
};

/* What this host has found out and not committed yet. */
struct part_commit {
	uint64_t id;
	enum command_type type;
	struct command_parts parts;
	bool is_committing;
	int64_t found_ms;
	int64_t allowed_ms; /* When its commit was allowed, 0 for not yet. */
	int64_t commit_from_ms; /* No commit before, since one failed. */
};

static void run_tick(void *context);
static bool is_too_old(const struct part_commit *pending, int64_t now_ms);
static gboolean is_outdated(gpointer part, gpointer value, gpointer context);
static bool is_survivor(const struct part_suspects *suspects, uint64_t part);
static void collect_evidence(const struct part_suspects *suspects,
    const struct request_key *keys, uint32_t count, GArray *evidence);
static void add_key(const struct part_suspects *suspects, GArray *evidence,
    const struct request_key *key);
static struct part_evidence *find_evidence(GArray *evidence, uint64_t part);
static bool is_suspected(const struct part_suspects *suspects, uint64_t part);
static void submit(struct part_suspects *suspects, enum command_type type,
    const struct command_parts *parts);
static void commit(struct part_suspects *suspects, struct part_commit *pending);
static void apply(
    struct part_suspects *suspects, const struct part_commit *pending);
static void apply_evidence(struct part_suspects *suspects,
    const struct part_commit *pending, const struct part_evidence *evidence);
static void clear_part(struct part_suspects *suspects, uint64_t part);
static void note_changes(struct part_suspects *suspects);
static void defend_survivors(struct part_suspects *suspects);
static void choose_trial_hosts(struct part_suspects *suspects);
static bool is_refusing(
    const struct part_suspects *suspects, const struct part_entry *entry);
static bool is_explained(const struct part_suspects *suspects,
    const struct request_key *keys, uint32_t count);
static const struct part_entry *find_refusing(
    const struct part_suspects *suspects, const struct request_key *key,
    uint32_t index);

enum error_code
part_suspects_init(struct part_suspects *suspects,
    const struct part_suspects_ops *ops, struct timer_service *timers)
{
	struct timer_callback tick = {run_tick, suspects};
	enum error_code error;

	memset(suspects, 0, sizeof(*suspects));
	error =
	    timer_subscribe_every(timers, TICK_MS, tick, &suspects->tick_timer);
	if (error != ERROR_NONE)
		return error;
	suspects->ops = *ops;
	suspects->timers = timers;
	suspects->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	suspects->survivors =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	suspects->logged =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	suspects->commits = g_queue_new();
	return ERROR_NONE;
}

void
part_suspects_finish(struct part_suspects *suspects)
{
	if (suspects->entries == NULL)
		return;
	timer_cancel(suspects->timers, &suspects->tick_timer);
	g_queue_free_full(suspects->commits, g_free);
	g_hash_table_destroy(suspects->logged);
	g_hash_table_destroy(suspects->survivors);
	g_hash_table_destroy(suspects->entries);
	memset(suspects, 0, sizeof(*suspects));
}

bool
part_suspects_record_crash(struct part_suspects *suspects, uint64_t crash_id,
    const struct request_key *keys, uint32_t count)
{
	struct command_parts parts = {.crash_id = crash_id};
	GArray *evidence;
	uint32_t i;

	if (is_explained(suspects, keys, count))
		return false;
	evidence = g_array_new(FALSE, FALSE, sizeof(struct part_evidence));
	collect_evidence(suspects, keys, count, evidence);
	for (i = 0; i < evidence->len; i++) {
		parts.evidence[parts.count++] =
		    g_array_index(evidence, struct part_evidence, i);
		if (parts.count < COMMAND_PARTS_MAX && i + 1 < evidence->len)
			continue;
		submit(suspects, COMMAND_PARTS_CRASHED, &parts);
		parts.count = 0;
	}
	g_array_free(evidence, TRUE);
	return true;
}

void
part_suspects_record_survived(
    struct part_suspects *suspects, const struct request_key *key)
{
	struct command_parts parts = {0};
	int64_t now_ms;
	uint32_t i;

	now_ms = timer_now(suspects->timers);
	for (i = 0; i < key->part_count; i++) {
		if (g_hash_table_size(suspects->survivors) >= SURVIVORS_MAX)
			g_hash_table_remove_all(suspects->survivors);
		g_hash_table_replace(suspects->survivors,
		    g_memdup2(&key->parts[i], sizeof(key->parts[i])),
		    g_memdup2(&now_ms, sizeof(now_ms)));
		if (is_suspected(suspects, key->parts[i]))
			parts.evidence[parts.count++].part = key->parts[i];
	}
	if (parts.count > 0)
		submit(suspects, COMMAND_PARTS_CLEARED, &parts);
}

enum part_action
part_suspects_check(
    const struct part_suspects *suspects, const struct request_key *key)
{
	enum part_action action, strictest;
	const struct part_entry *entry;
	struct part_verdict verdict;
	uint32_t i;

	strictest = PART_RUN;
	for (i = 0; i < key->part_count; i++) {
		entry = find_refusing(suspects, key, i);
		if (entry == NULL)
			continue;
		verdict.record = entry->record;
		verdict.is_trial_host = entry->is_trial_host;
		action =
		    part_verdict_action(&verdict, timer_now(suspects->timers));
		strictest = MAX(strictest, action);
	}
	return strictest;
}

enum part_action
part_verdict_action(const struct part_verdict *verdict, int64_t now_ms)
{
	if (now_ms >= verdict->record.until_ms)
		return PART_RUN;
	if (now_ms >= verdict->record.refuse_until_ms && verdict->is_trial_host)
		return PART_TRY;
	return PART_REFUSE;
}

int64_t
part_verdict_left_ms(const struct part_verdict *verdict, int64_t now_ms)
{
	return MAX(verdict->record.refuse_until_ms - now_ms, TRIAL_WAIT_MS);
}

void
part_suspects_for_each(const struct part_suspects *suspects,
    void (*visit)(void *context, const struct part_verdict *verdict),
    void *context)
{
	const struct part_entry *entry;
	struct part_verdict verdict;
	GHashTableIter iterator;

	g_hash_table_iter_init(&iterator, suspects->entries);
	while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&entry)) {
		if (!is_refusing(suspects, entry))
			continue;
		verdict.record = entry->record;
		verdict.is_trial_host = entry->is_trial_host;
		visit(context, &verdict);
	}
}

void
part_suspects_record_commit(
    struct part_suspects *suspects, uint64_t id, enum error_code error)
{
	struct part_commit *pending;
	GList *at;

	for (at = suspects->commits->head; at != NULL; at = at->next) {
		pending = at->data;
		if (pending->id != id)
			continue;
		if (error == ERROR_NONE) {
			g_free(pending);
			g_queue_delete_link(suspects->commits, at);
			return;
		}
		pending->is_committing = false;
		pending->commit_from_ms =
		    error == ERROR_NOT_SUPPORTED
			? pending->allowed_ms + COMMIT_KEEP_MS
			: timer_now(suspects->timers) + COMMIT_RETRY_MS;
		return;
	}
}

void
part_suspects_sync_begin(struct part_suspects *suspects)
{
	g_hash_table_remove_all(suspects->entries);
}

void
part_suspects_sync_record(struct part_suspects *suspects,
    const struct part_record *record, int64_t epoch_ms)
{
	struct part_entry *entry;

	entry = g_new0(struct part_entry, 1);
	entry->record = *record;
	part_record_shift(
	    &entry->record, timer_now(suspects->timers) - epoch_ms);
	g_hash_table_replace(suspects->entries, &entry->record.part, entry);
}

void
part_suspects_sync_end(struct part_suspects *suspects)
{
	const GList *at;

	for (at = suspects->commits->head; at != NULL; at = at->next)
		apply(suspects, at->data);
	note_changes(suspects);
	defend_survivors(suspects);
}

static void
run_tick(void *context)
{
	struct part_suspects *suspects = context;
	struct part_commit *pending;
	GList *at, *next;
	int64_t now_ms;

	now_ms = timer_now(suspects->timers);
	for (at = suspects->commits->head; at != NULL; at = next) {
		next = at->next;
		pending = at->data;
		if (pending->is_committing || now_ms < pending->commit_from_ms)
			continue;
		if (is_too_old(pending, now_ms)) {
			g_free(pending);
			g_queue_delete_link(suspects->commits, at);
		} else {
			commit(suspects, pending);
		}
	}
	(void)g_hash_table_foreach_remove(
	    suspects->survivors, is_outdated, &now_ms);
	choose_trial_hosts(suspects);
}

/* A finding is kept for as long as its parts are suspected while it may not be
 * committed, and otherwise for a shorter time after it first might. */
static bool
is_too_old(const struct part_commit *pending, int64_t now_ms)
{
	if (pending->allowed_ms == 0)
		return now_ms - pending->found_ms >= PART_SUSPECT_MS;
	return now_ms - pending->allowed_ms >= COMMIT_KEEP_MS;
}

static gboolean
is_outdated(gpointer part, gpointer value, gpointer context)
{
	const int64_t *survived_ms = value, *now_ms = context;

	(void)part;
	return *now_ms - *survived_ms >= SURVIVOR_KEEP_MS;
}

static bool
is_survivor(const struct part_suspects *suspects, uint64_t part)
{
	const int64_t *survived_ms;

	survived_ms = g_hash_table_lookup(suspects->survivors, &part);
	return survived_ms != NULL &&
	       timer_now(suspects->timers) - *survived_ms < SURVIVOR_MS;
}

/* Appends the evidence of each part of these requests. */
static void
collect_evidence(const struct part_suspects *suspects,
    const struct request_key *keys, uint32_t count, GArray *evidence)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		add_key(suspects, evidence, &keys[i]);
}

/* Parts that have just run well crash nothing, nor are they companions. */
static void
add_key(const struct part_suspects *suspects, GArray *evidence,
    const struct request_key *key)
{
	struct request_key suspected = {.fingerprint = key->fingerprint};
	struct part_evidence fresh, *found;
	uint32_t i;

	for (i = 0; i < key->part_count; i++) {
		if (!is_survivor(suspects, key->parts[i]))
			suspected.parts[suspected.part_count++] = key->parts[i];
	}
	for (i = 0; i < suspected.part_count; i++) {
		found = find_evidence(evidence, suspected.parts[i]);
		if (found != NULL) {
			part_evidence_add(found, &suspected);
			continue;
		}
		part_evidence_begin(&fresh, &suspected, i);
		g_array_append_val(evidence, fresh);
	}
}

static struct part_evidence *
find_evidence(GArray *evidence, uint64_t part)
{
	struct part_evidence *found;
	guint i;

	for (i = 0; i < evidence->len; i++) {
		found = &g_array_index(evidence, struct part_evidence, i);
		if (found->part == part)
			return found;
	}
	return NULL;
}

/* True if anything is known against the part, or it is a companion. */
static bool
is_suspected(const struct part_suspects *suspects, uint64_t part)
{
	const struct part_entry *entry;
	struct part_record copy;
	GHashTableIter iterator;

	if (g_hash_table_contains(suspects->entries, &part))
		return true;
	g_hash_table_iter_init(&iterator, suspects->entries);
	while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&entry)) {
		copy = entry->record;
		if (part_record_drop_companion(&copy, part))
			return true;
	}
	return false;
}

/* Applies what was found out here at once, and commits it. */
static void
submit(struct part_suspects *suspects, enum command_type type,
    const struct command_parts *parts)
{
	struct part_commit *pending;

	if (g_queue_get_length(suspects->commits) >= COMMITS_MAX)
		g_free(g_queue_pop_head(suspects->commits));
	pending = g_new0(struct part_commit, 1);
	pending->id = ++suspects->last_commit_id;
	pending->type = type;
	pending->parts = *parts;
	pending->found_ms = timer_now(suspects->timers);
	g_queue_push_tail(suspects->commits, pending);
	apply(suspects, pending);
	note_changes(suspects);
	commit(suspects, pending);
}

/* Commits a finding, unless that is not allowed yet. */
static void
commit(struct part_suspects *suspects, struct part_commit *pending)
{
	const struct part_suspects_ops *ops = &suspects->ops;

	if (ops->may_commit != NULL && !ops->may_commit(ops->context))
		return;
	if (pending->allowed_ms == 0)
		pending->allowed_ms = timer_now(suspects->timers);
	pending->is_committing = true;
	pending->parts.age_ms =
	    (uint32_t)(timer_now(suspects->timers) - pending->found_ms);
	ops->commit(ops->context, pending->id, pending->type, &pending->parts);
}

static void
apply(struct part_suspects *suspects, const struct part_commit *pending)
{
	const struct command_parts *parts = &pending->parts;
	uint32_t i;

	for (i = 0; i < parts->count; i++) {
		if (pending->type == COMMAND_PARTS_CLEARED)
			clear_part(suspects, parts->evidence[i].part);
		else
			apply_evidence(suspects, pending, &parts->evidence[i]);
	}
}

static void
apply_evidence(struct part_suspects *suspects,
    const struct part_commit *pending, const struct part_evidence *evidence)
{
	struct part_entry *entry;

	entry = g_hash_table_lookup(suspects->entries, &evidence->part);
	if (entry == NULL) {
		entry = g_new0(struct part_entry, 1);
		entry->record.part = evidence->part;
		g_hash_table_replace(
		    suspects->entries, &entry->record.part, entry);
	}
	part_record_add(&entry->record, pending->parts.crash_id,
	    pending->found_ms, evidence);
}

static void
clear_part(struct part_suspects *suspects, uint64_t part)
{
	struct part_entry *entry;
	GHashTableIter iterator;

	g_hash_table_remove(suspects->entries, &part);
	g_hash_table_iter_init(&iterator, suspects->entries);
	while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&entry))
		(void)part_record_drop_companion(&entry->record, part);
}

/* Logs each part that is quarantined from now on, whoever found it out. */
static void
note_changes(struct part_suspects *suspects)
{
	const struct part_entry *entry;
	GHashTableIter iterator;
	uint64_t *part;

	suspects->change_count++;
	g_hash_table_iter_init(&iterator, suspects->logged);
	while (g_hash_table_iter_next(&iterator, (gpointer *)&part, NULL)) {
		entry = g_hash_table_lookup(suspects->entries, part);
		if (entry == NULL ||
		    !part_record_is_quarantined(&entry->record))
			g_hash_table_iter_remove(&iterator);
	}
	g_hash_table_iter_init(&iterator, suspects->entries);
	while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&entry)) {
		if (!part_record_is_quarantined(&entry->record) ||
		    g_hash_table_contains(
			suspects->logged, &entry->record.part))
			continue;
		g_hash_table_add(suspects->logged,
		    g_memdup2(&entry->record.part, sizeof(uint64_t)));
		event_log_write(EVENT_PART_QUARANTINED,
		    "part=%016" G_GINT64_MODIFIER "x crashes=%u companions=%u",
		    (guint64)entry->record.part, entry->record.crash_count,
		    entry->record.companion_count);
	}
}

/* Clears quarantined parts that this host has seen run well before. It does so
 * once: a part that crashes upstreams from now on is quarantined again. */
static void
defend_survivors(struct part_suspects *suspects)
{
	struct command_parts parts = {0};
	const struct part_entry *entry;
	GHashTableIter iterator;

	g_hash_table_iter_init(&iterator, suspects->entries);
	while (parts.count < COMMAND_PARTS_MAX &&
	       g_hash_table_iter_next(&iterator, NULL, (gpointer *)&entry)) {
		if (part_record_is_quarantined(&entry->record) &&
		    g_hash_table_remove(
			suspects->survivors, &entry->record.part))
			parts.evidence[parts.count++].part = entry->record.part;
	}
	if (parts.count > 0)
		submit(suspects, COMMAND_PARTS_CLEARED, &parts);
}

/* Finds out which parts this host may try, after their quarantine. */
static void
choose_trial_hosts(struct part_suspects *suspects)
{
	struct part_entry *entry;
	GHashTableIter iterator;
	bool is_trial_host;

	g_hash_table_iter_init(&iterator, suspects->entries);
	while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&entry)) {
		is_trial_host = part_record_is_quarantined(&entry->record) &&
				timer_now(suspects->timers) >=
				    entry->record.refuse_until_ms &&
				suspects->ops.is_trial_host(
				    suspects->ops.context, entry->record.part);
		if (is_trial_host == entry->is_trial_host)
			continue;
		entry->is_trial_host = is_trial_host;
		suspects->change_count++;
	}
}

/* A part is refused unless another one explains its crashes. */
static bool
is_refusing(
    const struct part_suspects *suspects, const struct part_entry *entry)
{
	const struct part_entry *other;
	GHashTableIter iterator;

	if (!part_record_is_quarantined(&entry->record) ||
	    timer_now(suspects->timers) >= entry->record.until_ms)
		return false;
	g_hash_table_iter_init(&iterator, suspects->entries);
	while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&other)) {
		if (part_record_is_quarantined(&other->record) &&
		    part_record_is_explained(&entry->record, &other->record))
			return false;
	}
	return true;
}

/* True if one of the requests has a part that nobody may have at present. */
static bool
is_explained(const struct part_suspects *suspects,
    const struct request_key *keys, uint32_t count)
{
	const struct part_entry *entry;
	uint32_t i, k;

	for (i = 0; i < count; i++) {
		for (k = 0; k < keys[i].part_count; k++) {
			entry = find_refusing(suspects, &keys[i], k);
			if (entry != NULL && timer_now(suspects->timers) <
						 entry->record.refuse_until_ms)
				return true;
		}
	}
	return false;
}

/* Returns the entry of a part of the request if it is quarantined and the
 * request has its companions, too, otherwise NULL. */
static const struct part_entry *
find_refusing(const struct part_suspects *suspects,
    const struct request_key *key, uint32_t index)
{
	const struct part_entry *entry;

	entry = g_hash_table_lookup(suspects->entries, &key->parts[index]);
	if (entry == NULL || !is_refusing(suspects, entry) ||
	    !part_record_matches(&entry->record, key))
		return NULL;
	return entry;
}
