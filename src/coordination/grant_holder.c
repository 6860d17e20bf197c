#include "coordination/grant_holder.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/capacity_math.h"
#include "protocol/grant_message.h"

#define PERCENT		100
#define TICKS_PER_RETRY 2
#define SEQUENCE_SHIFT	10 /* Asks of one millisecond, as a power. */
#define RENEW_PERCENT	40 /* Of a grant's duration, at the latest. */
#define PEAK_PERCENT	75 /* Of the peak that stays each renewal. */

/* An upstream of the subset. */
struct held_upstream {
	uint64_t id;
	uint64_t incarnation;
	struct capacity_slot *slot;
	bool is_dropped;		/* Kept for what still runs. */
	uint64_t term;			/* Of the last grant applied. */
	uint64_t number;		/* Of the last grant applied. */
	struct capacity_amount ceiling; /* What the slot grants. */
	int64_t expires_ms;		/* When it ends. */
	int64_t duration_ms;		/* Of the last grant. */
	uint32_t warmth;		/* As the owner told it. */
	struct capacity_amount waiting; /* Beyond what runs. */
	struct capacity_amount largest; /* Largest single wait. */
	struct capacity_amount peak;	/* Of use and wait, sinking. */
	uint32_t in_time;		/* Answers since the last ask. */
	bool is_cold;			/* Not yet known to the owner. */
	struct capacity_amount told;	/* Use that was told last. */
	uint64_t asked;			/* Sequence of the last ask. */
	uint64_t answered;		/* Sequence last answered. */
	int64_t asked_ms;		/* When the last ask was sent. */
	int64_t active_ms;		/* Last use or wait. */
	bool has_news;	 /* Cold, or returned: told until answered. */
	uint64_t news;	 /* First ask that told it, 0 for none. */
	int64_t news_ms; /* Since when it is told. */
	bool must_ask;	 /* Ask with the next flush. */
	bool must_tell;	 /* Tell, without wanting an answer. */
};

/* A slot that is no longer handed out. */
struct retired_slot {
	struct capacity_slot *slot;
	int64_t retired_ms;
};

/* Rows for one owner. */
struct ask_batch {
	uint32_t owner;
	GPtrArray *entries; /* struct held_upstream. */
};

static void run_tick(void *context);
static void run_flush(void *context);
static void free_entry(gpointer entry);
static void free_batch(gpointer batch);
static struct held_upstream *find_entry(
    const struct grant_holder *holder, uint64_t upstream_id);
static enum error_code add_entry(struct grant_holder *holder,
    uint64_t upstream_id, uint64_t incarnation, struct held_upstream **entry);
static enum error_code renew_slot(struct grant_holder *holder,
    struct held_upstream *entry, uint64_t incarnation);
static void retire_slot(
    struct grant_holder *holder, struct capacity_slot *slot);
static void free_retired(struct grant_holder *holder, int64_t now_ms);
static void set_ceiling(struct held_upstream *entry,
    const struct capacity_amount *ceiling, int64_t expires_ms);
static void tell_news(struct grant_holder *holder, struct held_upstream *entry);
static bool tick_entry(
    struct grant_holder *holder, struct held_upstream *entry, int64_t now_ms);
static bool is_unmet(const struct held_upstream *entry);
static bool is_short(const struct held_upstream *entry);
static bool is_overtaken(const struct held_upstream *entry);
static bool is_near_end(const struct grant_holder *holder,
    const struct held_upstream *entry, const struct capacity_amount *used);
static void schedule_flush(struct grant_holder *holder);
static void flush_asks(struct grant_holder *holder, bool wants_answer);
static GHashTable *collect_batches(
    struct grant_holder *holder, bool wants_answer);
static uint64_t next_sequence(struct grant_holder *holder);
static void send_batch(struct grant_holder *holder,
    const struct ask_batch *batch, uint64_t sequence, bool wants_answer);
static void fill_row(const struct grant_holder *holder,
    struct held_upstream *entry, struct grant_ask *row);
static enum error_code receive_grant(struct grant_holder *holder,
    uint32_t from_host, const struct grant_reader *reader);
static void apply_offer(struct grant_holder *holder,
    const struct grant_head *head, const struct grant_offer *row);
static bool is_older(
    const struct held_upstream *entry, const struct grant_offer *row);
static enum error_code answer_query(struct grant_holder *holder,
    uint32_t from_host, const struct grant_head *head);

struct grant_holder_settings
grant_holder_default_settings(uint32_t host_id, uint64_t instance)
{
	struct grant_holder_settings settings = {
	    .host_id = host_id,
	    .instance = instance,
	    .renew_ms = 2000,
	    .retry_ms = 100,
	    .batch_ms = 2,
	    .idle_ms = 3000,
	    .gone_drain_ms = 5000,
	    .retire_ms = 60000,
	    .near_percent = 60,
	    .headroom_percent = 25,
	    .upstreams_max = 1024,
	};

	return settings;
}

enum error_code
grant_holder_init(struct grant_holder *holder,
    const struct grant_holder_settings *settings,
    const struct grant_holder_ops *ops, struct timer_service *timers,
    struct peer_port port, const struct owner_map *map)
{
	struct timer_callback tick = {run_tick, holder};
	enum error_code error;

	memset(holder, 0, sizeof(*holder));
	if (settings->host_id == OWNER_NONE || settings->instance == 0 ||
	    settings->retry_ms < TICKS_PER_RETRY ||
	    settings->upstreams_max > GRANT_ROWS_MAX)
		return ERROR_INVALID_ARGUMENT;
	error = timer_subscribe_every(
	    timers, settings->retry_ms / TICKS_PER_RETRY, tick, &holder->tick);
	if (error != ERROR_NONE)
		return error;
	holder->settings = *settings;
	if (ops != NULL)
		holder->ops = *ops;
	holder->timers = timers;
	holder->port = port;
	holder->map = map;
	holder->start_ms = timer_now(timers);
	holder->entries = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_entry);
	holder->retired = g_queue_new();
	return ERROR_NONE;
}

void
grant_holder_finish(struct grant_holder *holder)
{
	struct retired_slot *retired;

	if (holder->entries == NULL)
		return;
	timer_cancel(holder->timers, &holder->tick);
	timer_cancel(holder->timers, &holder->flush);
	g_hash_table_destroy(holder->entries);
	while ((retired = g_queue_pop_head(holder->retired)) != NULL) {
		g_free(retired->slot);
		g_free(retired);
	}
	g_queue_free(holder->retired);
	memset(holder, 0, sizeof(*holder));
}

enum error_code
grant_holder_open(struct grant_holder *holder, uint64_t upstream_id,
    uint64_t incarnation, struct capacity_slot **slot)
{
	struct held_upstream *entry;
	enum error_code error;

	entry = find_entry(holder, upstream_id);
	error = ERROR_NONE;
	if (entry == NULL)
		error = add_entry(holder, upstream_id, incarnation, &entry);
	else if (incarnation < entry->incarnation)
		error = ERROR_STALE;
	else if (incarnation > entry->incarnation)
		error = renew_slot(holder, entry, incarnation);
	if (error != ERROR_NONE)
		return error;
	entry->is_dropped = false;
	if (slot != NULL)
		*slot = entry->slot;
	return ERROR_NONE;
}

void
grant_holder_drop(struct grant_holder *holder, uint64_t upstream_id)
{
	const struct capacity_amount none = {0};
	struct held_upstream *entry;

	entry = find_entry(holder, upstream_id);
	if (entry == NULL)
		return;
	entry->is_dropped = true;
	entry->waiting = none;
	entry->largest = none;
	set_ceiling(entry, &none, entry->expires_ms);
	tell_news(holder, entry);
}

struct capacity_slot *
grant_holder_slot(const struct grant_holder *holder, uint64_t upstream_id)
{
	struct held_upstream *entry;

	entry = find_entry(holder, upstream_id);
	return entry == NULL || entry->is_dropped ? NULL : entry->slot;
}

uint64_t
grant_holder_incarnation(
    const struct grant_holder *holder, uint64_t upstream_id)
{
	struct held_upstream *entry;

	entry = find_entry(holder, upstream_id);
	return entry == NULL || entry->is_dropped ? 0 : entry->incarnation;
}

void
grant_holder_want(struct grant_holder *holder, uint64_t upstream_id,
    const struct capacity_amount *waiting,
    const struct capacity_amount *largest)
{
	struct held_upstream *entry;
	bool has_grown, was_served;

	entry = find_entry(holder, upstream_id);
	if (entry == NULL || entry->is_dropped)
		return;
	has_grown = !capacity_fits(waiting, &entry->waiting) ||
		    !capacity_fits(largest, &entry->largest);
	was_served =
	    capacity_is_zero(largest) && !capacity_is_zero(&entry->largest);
	entry->waiting = *waiting;
	entry->largest = *largest;
	/* Others may queue for what is kept for it. */
	if (was_served) {
		entry->must_tell = true;
		schedule_flush(holder);
	}
	if (!capacity_is_zero(waiting))
		entry->active_ms = timer_now(holder->timers);
	if (has_grown && is_short(entry)) {
		entry->must_ask = true;
		schedule_flush(holder);
	}
}

void
grant_holder_note_answer(struct grant_holder *holder, uint64_t upstream_id,
    uint64_t incarnation, enum warmup_verdict verdict)
{
	struct capacity_amount used;
	struct held_upstream *entry;

	entry = find_entry(holder, upstream_id);
	if (entry == NULL || entry->incarnation != incarnation)
		return;
	used = capacity_slot_used(entry->slot);
	if (verdict == WARMUP_IN_TIME && is_near_end(holder, entry, &used))
		entry->in_time++;
	if (verdict != WARMUP_COLD)
		return;
	/* Nothing more starts here until the owner has cut the bound. */
	used = capacity_min(&used, &entry->ceiling);
	set_ceiling(entry, &used, entry->expires_ms);
	entry->in_time = 0;
	entry->is_cold = true;
	entry->warmth = 0;
	tell_news(holder, entry);
}

void
grant_holder_map_changed(struct grant_holder *holder)
{
	struct held_upstream *entry;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, holder->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry = value;
		if (is_unmet(entry))
			entry->must_ask = true;
	}
	schedule_flush(holder);
}

enum error_code
grant_holder_receive(struct grant_holder *holder, uint32_t from_host,
    const struct grant_reader *reader)
{
	switch (reader->head.type) {
	case GRANT_MESSAGE_GRANT:
		return receive_grant(holder, from_host, reader);
	case GRANT_MESSAGE_QUERY:
		return answer_query(holder, from_host, &reader->head);
	default:
		return ERROR_INVALID_ARGUMENT;
	}
}

static void
run_tick(void *context)
{
	struct grant_holder *holder = context;
	GHashTableIter iter;
	gpointer value;
	int64_t now_ms;

	now_ms = timer_now(holder->timers);
	g_hash_table_iter_init(&iter, holder->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!tick_entry(holder, value, now_ms))
			g_hash_table_iter_remove(&iter);
	}
	free_retired(holder, now_ms);
	flush_asks(holder, false);
	flush_asks(holder, true);
}

static void
run_flush(void *context)
{
	struct grant_holder *holder = context;

	memset(&holder->flush, 0, sizeof(holder->flush));
	flush_asks(holder, false);
	flush_asks(holder, true);
}

static void
free_entry(gpointer entry)
{
	struct held_upstream *freed = entry;

	g_free(freed->slot);
	g_free(freed);
}

static void
free_batch(gpointer batch)
{
	struct ask_batch *freed = batch;

	g_ptr_array_free(freed->entries, TRUE);
	g_free(freed);
}

static struct held_upstream *
find_entry(const struct grant_holder *holder, uint64_t upstream_id)
{
	return g_hash_table_lookup(holder->entries, &upstream_id);
}

static enum error_code
add_entry(struct grant_holder *holder, uint64_t upstream_id,
    uint64_t incarnation, struct held_upstream **entry)
{
	struct held_upstream *added;

	if (g_hash_table_size(holder->entries) >=
	    holder->settings.upstreams_max)
		return ERROR_TABLE_FULL;
	added = g_new0(struct held_upstream, 1);
	added->id = upstream_id;
	added->incarnation = incarnation;
	added->slot = g_new0(struct capacity_slot, 1);
	added->active_ms = timer_now(holder->timers);
	g_hash_table_insert(holder->entries, &added->id, added);
	*entry = added;
	return ERROR_NONE;
}

/* What ran under the old incarnation has died with it. */
static enum error_code
renew_slot(struct grant_holder *holder, struct held_upstream *entry,
    uint64_t incarnation)
{
	const struct capacity_amount none = {0};

	set_ceiling(entry, &none, entry->expires_ms);
	retire_slot(holder, entry->slot);
	entry->slot = g_new0(struct capacity_slot, 1);
	entry->incarnation = incarnation;
	entry->peak = none;
	entry->in_time = 0;
	entry->warmth = 0;
	entry->is_cold = false;
	if (is_unmet(entry)) {
		entry->must_ask = true;
		schedule_flush(holder);
	}
	return ERROR_NONE;
}

static void
retire_slot(struct grant_holder *holder, struct capacity_slot *slot)
{
	struct retired_slot *retired;

	retired = g_new0(struct retired_slot, 1);
	retired->slot = slot;
	retired->retired_ms = timer_now(holder->timers);
	g_queue_push_tail(holder->retired, retired);
}

static void
free_retired(struct grant_holder *holder, int64_t now_ms)
{
	struct retired_slot *retired;
	struct capacity_amount used;
	guint left;

	for (left = g_queue_get_length(holder->retired); left > 0; left--) {
		retired = g_queue_pop_head(holder->retired);
		used = capacity_slot_used(retired->slot);
		if (!capacity_is_zero(&used) ||
		    now_ms - retired->retired_ms < holder->settings.retire_ms) {
			g_queue_push_tail(holder->retired, retired);
			continue;
		}
		g_free(retired->slot);
		g_free(retired);
	}
}

static void
set_ceiling(struct held_upstream *entry, const struct capacity_amount *ceiling,
    int64_t expires_ms)
{
	entry->ceiling = *ceiling;
	entry->expires_ms = expires_ms;
	capacity_slot_grant(entry->slot, ceiling, expires_ms);
}

/* Repeated until an owner has answered an ask that tells it. */
static void
tell_news(struct grant_holder *holder, struct held_upstream *entry)
{
	entry->has_news = true;
	entry->news = 0;
	entry->news_ms = timer_now(holder->timers);
	entry->must_ask = true;
	schedule_flush(holder);
}

/* False when nothing is left of a dropped entry. */
static bool
tick_entry(
    struct grant_holder *holder, struct held_upstream *entry, int64_t now_ms)
{
	const struct grant_holder_settings *settings = &holder->settings;
	const struct capacity_amount none = {0};
	struct capacity_amount used;
	bool is_idle, is_held;
	int64_t wait_ms;

	used = capacity_slot_used(entry->slot);
	if (capacity_slot_read_refused(entry->slot) > 0 ||
	    !capacity_is_zero(&used) || !capacity_is_zero(&entry->waiting))
		entry->active_ms = now_ms;
	if (now_ms >= entry->expires_ms && !capacity_is_zero(&entry->ceiling))
		set_ceiling(entry, &none, entry->expires_ms);
	/* What ran beyond the ceiling is missed elsewhere once it has ended. */
	if (!capacity_fits(&entry->told, &used) &&
	    !capacity_fits(&entry->told, &entry->ceiling))
		entry->must_tell = true;
	is_idle = now_ms - entry->active_ms >= settings->idle_ms;
	is_held = !capacity_is_zero(&entry->ceiling);
	if (is_idle && is_held) {
		set_ceiling(entry, &none, entry->expires_ms);
		entry->peak = none;
		tell_news(holder, entry);
		return true;
	}
	if (entry->is_dropped && capacity_is_zero(&used) && !entry->must_tell) {
		retire_slot(holder, entry->slot);
		entry->slot = NULL;
		return false;
	}
	if (is_idle && !entry->has_news)
		return true;
	/* Well before the grant ends, however short the owner makes it. */
	wait_ms = settings->renew_ms;
	if (entry->duration_ms > 0 &&
	    wait_ms > entry->duration_ms * RENEW_PERCENT / PERCENT)
		wait_ms = entry->duration_ms * RENEW_PERCENT / PERCENT;
	if (entry->has_news ||
	    (is_short(entry) &&
		(entry->answered < entry->asked || is_overtaken(entry))))
		wait_ms = settings->retry_ms;
	if (now_ms - entry->asked_ms >= wait_ms)
		entry->must_ask = true;
	return true;
}

/* True if there is something to ask for. */
static bool
is_unmet(const struct held_upstream *entry)
{
	struct capacity_amount used;

	used = capacity_slot_used(entry->slot);
	return !capacity_is_zero(&used) || !capacity_is_zero(&entry->waiting) ||
	       entry->is_cold;
}

/* True if what waits does not fit what is granted. */
static bool
is_short(const struct held_upstream *entry)
{
	struct capacity_amount needed;

	needed = capacity_slot_used(entry->slot);
	needed = capacity_add(&needed, &entry->waiting);
	return !capacity_fits(&needed, &entry->ceiling);
}

/* True if what was granted for the longest wait was taken by others here: the
 * owner thinks that it has been served. */
static bool
is_overtaken(const struct held_upstream *entry)
{
	struct capacity_amount known;

	known = capacity_add(&entry->told, &entry->largest);
	return capacity_fits(&known, &entry->ceiling);
}

/* True if little of the grant is left. */
static bool
is_near_end(const struct grant_holder *holder,
    const struct held_upstream *entry, const struct capacity_amount *used)
{
	uint32_t percent = holder->settings.near_percent;

	return (uint64_t)used->requests * PERCENT >=
		   (uint64_t)entry->ceiling.requests * percent ||
	       used->prefill_tokens * PERCENT >=
		   entry->ceiling.prefill_tokens * percent;
}

static void
schedule_flush(struct grant_holder *holder)
{
	struct timer_callback flush = {run_flush, holder};

	if (holder->flush.generation != 0)
		return;
	/* Without a timer the next tick sends it. */
	(void)timer_subscribe_once(
	    holder->timers, holder->settings.batch_ms, flush, &holder->flush);
}

static void
flush_asks(struct grant_holder *holder, bool wants_answer)
{
	GHashTable *batches;
	GHashTableIter iter;
	gpointer value;
	uint64_t sequence;

	batches = collect_batches(holder, wants_answer);
	if (g_hash_table_size(batches) > 0) {
		sequence = next_sequence(holder);
		g_hash_table_iter_init(&iter, batches);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			send_batch(holder, value, sequence, wants_answer);
	}
	g_hash_table_destroy(batches);
}

static GHashTable *
collect_batches(struct grant_holder *holder, bool wants_answer)
{
	struct held_upstream *entry;
	struct ask_batch *batch;
	GHashTable *batches;
	GHashTableIter iter;
	gpointer value;
	uint32_t owner;

	batches = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, free_batch);
	g_hash_table_iter_init(&iter, holder->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry = value;
		if (!(wants_answer ? entry->must_ask : entry->must_tell))
			continue;
		entry->must_tell = false;
		owner = owner_map_owner(holder->map, entry->id);
		if (owner == OWNER_NONE)
			continue;
		batch = g_hash_table_lookup(batches, GUINT_TO_POINTER(owner));
		if (batch == NULL) {
			batch = g_new0(struct ask_batch, 1);
			batch->owner = owner;
			batch->entries = g_ptr_array_new();
			g_hash_table_insert(
			    batches, GUINT_TO_POINTER(owner), batch);
		}
		g_ptr_array_add(batch->entries, entry);
	}
	return batches;
}

/* The time of asking is in the sequence, so an answer brings it back. */
static uint64_t
next_sequence(struct grant_holder *holder)
{
	uint64_t sequence;

	sequence = (uint64_t)(timer_now(holder->timers) - holder->start_ms)
		   << SEQUENCE_SHIFT;
	if (sequence <= holder->last_sequence)
		sequence = holder->last_sequence + 1;
	holder->last_sequence = sequence;
	return sequence;
}

static void
send_batch(struct grant_holder *holder, const struct ask_batch *batch,
    uint64_t sequence, bool wants_answer)
{
	struct grant_head head = {0};
	struct held_upstream *entry;
	struct message_writer writer;
	struct grant_ask row;
	guint i;

	head.type = GRANT_MESSAGE_ASK;
	head.epoch = holder->map->epoch;
	head.instance = holder->settings.instance;
	head.sequence = sequence;
	head.wants_answer = wants_answer;
	head.row_count = batch->entries->len;
	message_writer_init(&writer);
	grant_message_open(&writer, &head);
	for (i = 0; i < batch->entries->len; i++) {
		entry = g_ptr_array_index(batch->entries, i);
		fill_row(holder, entry, &row);
		grant_message_add_ask(&writer, &row);
		entry->in_time = 0;
		entry->asked = sequence;
		if (entry->has_news && entry->news == 0)
			entry->news = sequence;
		entry->asked_ms = timer_now(holder->timers);
		if (wants_answer)
			entry->must_ask = false;
	}
	holder->counters.asks++;
	holder->counters.asked_rows += batch->entries->len;
	holder->port.send(holder->port.context, batch->owner,
	    PEER_CHANNEL_GRANT, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

static void
fill_row(const struct grant_holder *holder, struct held_upstream *entry,
    struct grant_ask *row)
{
	struct capacity_amount needed;
	uint64_t peak, wanted, percent;
	unsigned int at;

	memset(row, 0, sizeof(*row));
	row->upstream_id = entry->id;
	row->incarnation = entry->incarnation;
	row->term = entry->term;
	row->number = entry->number;
	row->ceiling = entry->ceiling;
	row->used = capacity_slot_used(entry->slot);
	entry->told = row->used;
	row->largest = entry->largest;
	row->warmth = entry->warmth;
	row->in_time = entry->in_time;
	row->is_cold = entry->is_cold;
	row->needed_percent = PERCENT;
	if (entry->is_dropped) {
		row->wanted = row->used;
		return;
	}
	row->needed_percent = 0;
	needed = capacity_add(&row->used, &entry->waiting);
	for (at = 0; at < CAPACITY_DIMENSIONS; at++) {
		peak = capacity_get(&entry->peak, at) / PERCENT * PEAK_PERCENT;
		if (peak < capacity_get(&needed, at))
			peak = capacity_get(&needed, at);
		capacity_set(&entry->peak, at, peak);
		wanted =
		    peak + peak * holder->settings.headroom_percent / PERCENT;
		capacity_set(&row->wanted, at, wanted);
		percent =
		    wanted == 0
			? 0
			: (capacity_get(&needed, at) * PERCENT + wanted - 1) /
			      wanted;
		if (row->needed_percent < percent)
			row->needed_percent = (uint32_t)percent;
	}
}

static enum error_code
receive_grant(struct grant_holder *holder, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct grant_offer row;
	enum error_code error;
	uint32_t i;

	if (reader->head.instance != holder->settings.instance)
		return ERROR_STALE;
	for (i = 0; i < reader->head.row_count; i++) {
		error = grant_reader_offer(reader, i, &row);
		if (error != ERROR_NONE)
			return error;
		if (owner_map_owner(holder->map, row.upstream_id) == from_host)
			apply_offer(holder, &reader->head, &row);
	}
	return ERROR_NONE;
}

static void
apply_offer(struct grant_holder *holder, const struct grant_head *head,
    const struct grant_offer *row)
{
	const struct capacity_amount none = {0};
	struct held_upstream *entry;
	bool is_lower, is_same;
	int64_t until_ms;

	entry = find_entry(holder, row->upstream_id);
	until_ms = holder->start_ms +
		   (int64_t)(head->sequence >> SEQUENCE_SHIFT) +
		   row->duration_ms;
	if (entry == NULL || is_older(entry, row) ||
	    until_ms <= timer_now(holder->timers)) {
		holder->counters.stale_grants++;
		return;
	}
	/* It has restarted: nothing more starts here until the caller opens
	 * the new incarnation, which gives it a slot of its own. */
	if (row->incarnation > entry->incarnation) {
		set_ceiling(entry, &none, entry->expires_ms);
		return;
	}
	if (head->sequence > entry->answered)
		entry->answered = head->sequence;
	if (entry->news != 0 && head->sequence >= entry->news) {
		entry->has_news = false;
		entry->news = 0;
		entry->is_cold = false;
	}
	entry->duration_ms = row->duration_ms;
	is_same = row->term == entry->term && row->number == entry->number;
	/* Another owner does not know of the old one's time. */
	if (row->term == entry->term && until_ms < entry->expires_ms)
		until_ms = entry->expires_ms;
	if (is_same) {
		set_ceiling(entry, &entry->ceiling, until_ms);
		return;
	}
	is_lower = !capacity_fits(&entry->ceiling, &row->amount);
	entry->term = row->term;
	entry->number = row->number;
	entry->warmth = row->warmth;
	set_ceiling(entry, entry->is_dropped ? &none : &row->amount, until_ms);
	holder->counters.grants++;
	if (is_lower || entry->is_dropped) {
		entry->must_tell = true;
		schedule_flush(holder);
	}
	if (holder->ops.granted != NULL)
		holder->ops.granted(
		    holder->ops.context, entry->id, entry->slot);
}

static bool
is_older(const struct held_upstream *entry, const struct grant_offer *row)
{
	if (row->incarnation != entry->incarnation)
		return row->incarnation < entry->incarnation;
	if (row->term != entry->term)
		return row->term < entry->term;
	return row->number < entry->number;
}

static enum error_code
answer_query(struct grant_holder *holder, uint32_t from_host,
    const struct grant_head *head)
{
	struct grant_head answer = {0};
	struct held_upstream *entry;
	struct message_writer writer;
	struct capacity_amount used;
	struct grant_ask row;
	GPtrArray *entries;
	GHashTableIter iter;
	gpointer value;
	guint i;

	if (head->epoch != holder->map->epoch)
		return ERROR_STALE;
	/* An earlier process of this host may have left work running. */
	if (timer_now(holder->timers) - holder->start_ms <
	    holder->settings.gone_drain_ms)
		return ERROR_NONE;
	entries = g_ptr_array_new();
	g_hash_table_iter_init(&iter, holder->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry = value;
		used = capacity_slot_used(entry->slot);
		if (owner_map_owner(holder->map, entry->id) == from_host &&
		    (entry->term != 0 || !capacity_is_zero(&used)))
			g_ptr_array_add(entries, entry);
	}
	answer.type = GRANT_MESSAGE_USE;
	answer.epoch = head->epoch;
	answer.instance = holder->settings.instance;
	answer.sequence = head->sequence;
	answer.row_count = entries->len;
	message_writer_init(&writer);
	grant_message_open(&writer, &answer);
	for (i = 0; i < entries->len; i++) {
		fill_row(holder, g_ptr_array_index(entries, i), &row);
		grant_message_add_ask(&writer, &row);
	}
	holder->port.send(holder->port.context, from_host, PEER_CHANNEL_GRANT,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
	g_ptr_array_free(entries, TRUE);
	return ERROR_NONE;
}
