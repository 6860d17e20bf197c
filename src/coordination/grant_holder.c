#include "coordination/grant_holder.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/capacity_math.h"
#include "coordination/grant_holder_parts.h"
#include "protocol/grant_message.h"

#define TICKS_PER_RETRY 2 /* Ticks within settings.retry_ms. */

/* A grant is renewed at the latest after this part of its duration. */
#define RENEW_PERCENT 40

/* A replaced slot; request threads may still give back what they took. */
struct retired_slot {
	struct capacity_slot *slot;
	int64_t retired_ms;
};

static void run_tick(void *context);
static void run_flush(void *context);
static void free_entry(gpointer entry);
static struct held_upstream *find_entry(
    const struct grant_holder *holder, uint64_t upstream_id);
static enum error_code add_entry(struct grant_holder *holder,
    uint64_t upstream_id, uint64_t incarnation, struct held_upstream **entry);
static enum error_code replace_slot(struct grant_holder *holder,
    struct held_upstream *entry, uint64_t incarnation);
static void retire_slot(
    struct grant_holder *holder, struct capacity_slot *slot);
static void free_retired(struct grant_holder *holder, int64_t now_ms);
static void set_ceiling(struct held_upstream *entry,
    const struct capacity_amount *ceiling, int64_t expires_ms);
static void report_until_confirmed(
    struct grant_holder *holder, struct held_upstream *entry);
static bool tick_entry(
    struct grant_holder *holder, struct held_upstream *entry, int64_t now_ms);
static bool has_demand(const struct held_upstream *entry);
static bool needs_more(const struct held_upstream *entry);
static bool is_grant_used_by_others(const struct held_upstream *entry);
static bool is_near_limit(const struct grant_holder *holder,
    const struct held_upstream *entry, const struct capacity_amount *used);
static void schedule_flush(struct grant_holder *holder);
static enum error_code receive_grant(struct grant_holder *holder,
    uint32_t from_host, const struct grant_reader *reader);
static void apply_offer(struct grant_holder *holder,
    const struct grant_header *header, const struct grant_offer *row);
static bool is_older_offer(
    const struct held_upstream *entry, const struct grant_offer *row);

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
	    .orphan_drain_ms = 5000,
	    .slot_retention_ms = 60000,
	    .near_limit_percent = 60,
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
	error = timer_subscribe_every(timers,
	    settings->retry_ms / TICKS_PER_RETRY, tick, &holder->tick_timer);
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
	holder->retired_slots = g_queue_new();
	return ERROR_NONE;
}

void
grant_holder_finish(struct grant_holder *holder)
{
	struct retired_slot *retired;

	if (holder->entries == NULL)
		return;
	timer_cancel(holder->timers, &holder->tick_timer);
	timer_cancel(holder->timers, &holder->flush_timer);
	g_hash_table_destroy(holder->entries);
	while ((retired = g_queue_pop_head(holder->retired_slots)) != NULL) {
		g_free(retired->slot);
		g_free(retired);
	}
	g_queue_free(holder->retired_slots);
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
		error = replace_slot(holder, entry, incarnation);
	if (error != ERROR_NONE)
		return error;
	entry->is_closed = false;
	if (slot != NULL)
		*slot = entry->slot;
	return ERROR_NONE;
}

void
grant_holder_close(struct grant_holder *holder, uint64_t upstream_id)
{
	const struct capacity_amount none = {0};
	struct held_upstream *entry;

	entry = find_entry(holder, upstream_id);
	if (entry == NULL)
		return;
	entry->is_closed = true;
	entry->waiting = none;
	entry->largest_waiting = none;
	set_ceiling(entry, &none, entry->expires_ms);
	report_until_confirmed(holder, entry);
}

struct capacity_slot *
grant_holder_slot(const struct grant_holder *holder, uint64_t upstream_id)
{
	struct held_upstream *entry;

	entry = find_entry(holder, upstream_id);
	return entry == NULL || entry->is_closed ? NULL : entry->slot;
}

uint64_t
grant_holder_incarnation(
    const struct grant_holder *holder, uint64_t upstream_id)
{
	struct held_upstream *entry;

	entry = find_entry(holder, upstream_id);
	return entry == NULL || entry->is_closed ? 0 : entry->incarnation;
}

void
grant_holder_set_demand(struct grant_holder *holder, uint64_t upstream_id,
    const struct capacity_amount *waiting,
    const struct capacity_amount *largest)
{
	struct held_upstream *entry;
	bool has_grown, was_served;

	entry = find_entry(holder, upstream_id);
	if (entry == NULL || entry->is_closed)
		return;
	has_grown = !capacity_fits(waiting, &entry->waiting) ||
		    !capacity_fits(largest, &entry->largest_waiting);
	was_served = capacity_is_zero(largest) &&
		     !capacity_is_zero(&entry->largest_waiting);
	entry->waiting = *waiting;
	entry->largest_waiting = *largest;
	/* The owner reserves room for the largest waiting request. Once that
	 * request runs, other hosts may get the reserved room. */
	if (was_served) {
		entry->must_report = true;
		schedule_flush(holder);
	}
	if (!capacity_is_zero(waiting))
		entry->last_active_ms = timer_now(holder->timers);
	if (has_grown && needs_more(entry)) {
		entry->must_request_grant = true;
		schedule_flush(holder);
	}
}

void
grant_holder_record_answer(struct grant_holder *holder, uint64_t upstream_id,
    uint64_t incarnation, enum warmup_class answer_class)
{
	struct capacity_amount used;
	struct held_upstream *entry;

	entry = find_entry(holder, upstream_id);
	if (entry == NULL || entry->incarnation != incarnation)
		return;
	used = capacity_slot_used(entry->slot);
	if (answer_class == WARMUP_IN_TIME &&
	    is_near_limit(holder, entry, &used))
		entry->in_time_answers++;
	if (answer_class != WARMUP_COLD)
		return;
	/* No further request starts on this upstream until the owner has cut
	 * its warm-up bound. */
	used = capacity_min(&used, &entry->ceiling);
	set_ceiling(entry, &used, entry->expires_ms);
	entry->in_time_answers = 0;
	entry->is_cold = true;
	entry->warmth = 0;
	report_until_confirmed(holder, entry);
}

void
grant_holder_on_map_changed(struct grant_holder *holder)
{
	struct held_upstream *entry;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, holder->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry = value;
		if (has_demand(entry))
			entry->must_request_grant = true;
	}
	schedule_flush(holder);
}

enum error_code
grant_holder_receive(struct grant_holder *holder, uint32_t from_host,
    const struct grant_reader *reader)
{
	switch (reader->header.type) {
	case GRANT_MESSAGE_GRANT:
		return receive_grant(holder, from_host, reader);
	case GRANT_MESSAGE_USE_QUERY:
		return grant_answer_query(holder, from_host, &reader->header);
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
	grant_flush_reports(holder, false);
	grant_flush_reports(holder, true);
}

static void
run_flush(void *context)
{
	struct grant_holder *holder = context;

	memset(&holder->flush_timer, 0, sizeof(holder->flush_timer));
	grant_flush_reports(holder, false);
	grant_flush_reports(holder, true);
}

static void
free_entry(gpointer entry)
{
	struct held_upstream *freed = entry;

	g_free(freed->slot);
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
	added->last_active_ms = timer_now(holder->timers);
	g_hash_table_insert(holder->entries, &added->id, added);
	*entry = added;
	return ERROR_NONE;
}

/* Gives a restarted upstream a new slot, without the requests that ran on the
 * old incarnation: these ended with it. */
static enum error_code
replace_slot(struct grant_holder *holder, struct held_upstream *entry,
    uint64_t incarnation)
{
	const struct capacity_amount none = {0};

	set_ceiling(entry, &none, entry->expires_ms);
	retire_slot(holder, entry->slot);
	entry->slot = g_new0(struct capacity_slot, 1);
	entry->incarnation = incarnation;
	entry->peak = none;
	entry->in_time_answers = 0;
	entry->warmth = 0;
	entry->is_cold = false;
	if (has_demand(entry)) {
		entry->must_request_grant = true;
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
	g_queue_push_tail(holder->retired_slots, retired);
}

static void
free_retired(struct grant_holder *holder, int64_t now_ms)
{
	struct retired_slot *retired;
	struct capacity_amount used;
	guint left;

	for (left = g_queue_get_length(holder->retired_slots); left > 0;
	     left--) {
		retired = g_queue_pop_head(holder->retired_slots);
		used = capacity_slot_used(retired->slot);
		if (!capacity_is_zero(&used) ||
		    now_ms - retired->retired_ms <
			holder->settings.slot_retention_ms) {
			g_queue_push_tail(holder->retired_slots, retired);
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

/* Reports cold evidence or a returned grant, and repeats the report until the
 * owner has answered one that contains it. */
static void
report_until_confirmed(struct grant_holder *holder, struct held_upstream *entry)
{
	entry->has_unconfirmed = true;
	entry->unconfirmed_sequence = 0;
	entry->must_request_grant = true;
	schedule_flush(holder);
}

/* Expires, returns or renews the grant of an entry. Returns false when a closed
 * entry has no running request left and must be removed. */
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
	if (capacity_slot_take_refused(entry->slot) > 0 ||
	    !capacity_is_zero(&used) || !capacity_is_zero(&entry->waiting))
		entry->last_active_ms = now_ms;
	if (now_ms >= entry->expires_ms && !capacity_is_zero(&entry->ceiling))
		set_ceiling(entry, &none, entry->expires_ms);
	/* Requests beyond a lowered ceiling have ended: other hosts can get
	 * this capacity as soon as the owner knows. */
	if (!capacity_fits(&entry->reported_use, &used) &&
	    !capacity_fits(&entry->reported_use, &entry->ceiling))
		entry->must_report = true;
	is_idle = now_ms - entry->last_active_ms >= settings->idle_ms;
	is_held = !capacity_is_zero(&entry->ceiling);
	if (is_idle && is_held) {
		set_ceiling(entry, &none, entry->expires_ms);
		entry->peak = none;
		report_until_confirmed(holder, entry);
		return true;
	}
	if (entry->is_closed && capacity_is_zero(&used) &&
	    !entry->must_report) {
		retire_slot(holder, entry->slot);
		entry->slot = NULL;
		return false;
	}
	if (is_idle && !entry->has_unconfirmed)
		return true;
	/* Renew well before the grant expires, however short it is. */
	wait_ms = settings->renew_ms;
	if (entry->duration_ms > 0 &&
	    wait_ms > entry->duration_ms * RENEW_PERCENT / PERCENT)
		wait_ms = entry->duration_ms * RENEW_PERCENT / PERCENT;
	if (entry->has_unconfirmed ||
	    (needs_more(entry) &&
		(entry->answered_sequence < entry->report_sequence ||
		    is_grant_used_by_others(entry))))
		wait_ms = settings->retry_ms;
	if (now_ms - entry->reported_ms >= wait_ms)
		entry->must_request_grant = true;
	return true;
}

/* True if requests run or wait, or if cold evidence has to be reported. */
static bool
has_demand(const struct held_upstream *entry)
{
	struct capacity_amount used;

	used = capacity_slot_used(entry->slot);
	return !capacity_is_zero(&used) || !capacity_is_zero(&entry->waiting) ||
	       entry->is_cold;
}

/* True if the running and waiting requests together exceed the grant. */
static bool
needs_more(const struct held_upstream *entry)
{
	struct capacity_amount needed;

	needed = capacity_slot_used(entry->slot);
	needed = capacity_add(&needed, &entry->waiting);
	return !capacity_fits(&needed, &entry->ceiling);
}

/* True if the grant had room for the largest waiting request. As that request
 * still waits, other requests of this host have taken the room, while the owner
 * assumes that the request was served. */
static bool
is_grant_used_by_others(const struct held_upstream *entry)
{
	struct capacity_amount known;

	known = capacity_add(&entry->reported_use, &entry->largest_waiting);
	return capacity_fits(&known, &entry->ceiling);
}

/* True if the use of the grant's requests or prefill tokens has reached
 * near_limit_percent. */
static bool
is_near_limit(const struct grant_holder *holder,
    const struct held_upstream *entry, const struct capacity_amount *used)
{
	uint32_t percent = holder->settings.near_limit_percent;

	return (uint64_t)used->requests * PERCENT >=
		   (uint64_t)entry->ceiling.requests * percent ||
	       used->prefill_tokens * PERCENT >=
		   entry->ceiling.prefill_tokens * percent;
}

static void
schedule_flush(struct grant_holder *holder)
{
	struct timer_callback flush = {run_flush, holder};

	if (holder->flush_timer.generation != 0)
		return;
	/* If no timer is free, the next tick sends the reports. */
	(void)timer_subscribe_once(holder->timers, holder->settings.batch_ms,
	    flush, &holder->flush_timer);
}

static enum error_code
receive_grant(struct grant_holder *holder, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct grant_offer row;
	enum error_code error;
	uint32_t i;

	if (reader->header.instance != holder->settings.instance)
		return ERROR_STALE;
	for (i = 0; i < reader->header.row_count; i++) {
		error = grant_reader_read_offer(reader, i, &row);
		if (error != ERROR_NONE)
			return error;
		if (owner_map_owner(holder->map, row.upstream_id) == from_host)
			apply_offer(holder, &reader->header, &row);
	}
	return ERROR_NONE;
}

/* Applies an offer to the slot of its upstream, unless the offer is outdated or
 * has expired. */
static void
apply_offer(struct grant_holder *holder, const struct grant_header *header,
    const struct grant_offer *row)
{
	const struct capacity_amount none = {0};
	struct held_upstream *entry;
	bool is_lower, is_same;
	int64_t until_ms;

	entry = find_entry(holder, row->upstream_id);
	until_ms = holder->start_ms +
		   (int64_t)(header->sequence >> SEQUENCE_SHIFT) +
		   row->duration_ms;
	if (entry == NULL || is_older_offer(entry, row) ||
	    until_ms <= timer_now(holder->timers)) {
		holder->counters.stale_grants++;
		return;
	}
	/* The upstream has restarted: no request starts on it until the
	 * caller opens the new incarnation, which gets a slot of its own. */
	if (row->incarnation > entry->incarnation) {
		set_ceiling(entry, &none, entry->expires_ms);
		return;
	}
	if (header->sequence > entry->answered_sequence)
		entry->answered_sequence = header->sequence;
	if (entry->unconfirmed_sequence != 0 &&
	    header->sequence >= entry->unconfirmed_sequence) {
		entry->has_unconfirmed = false;
		entry->unconfirmed_sequence = 0;
		entry->is_cold = false;
	}
	entry->duration_ms = row->duration_ms;
	is_same = row->term == entry->term &&
		  row->offer_number == entry->offer_number;
	/* The same owner never shortens a grant. An offer of another owner
	 * replaces the expiry, as that owner doesn't know the old one. */
	if (row->term == entry->term && until_ms < entry->expires_ms)
		until_ms = entry->expires_ms;
	if (is_same) {
		set_ceiling(entry, &entry->ceiling, until_ms);
		return;
	}
	is_lower = !capacity_fits(&entry->ceiling, &row->amount);
	entry->term = row->term;
	entry->offer_number = row->offer_number;
	entry->warmth = row->warmth;
	set_ceiling(entry, entry->is_closed ? &none : &row->amount, until_ms);
	holder->counters.grants++;
	if (is_lower || entry->is_closed) {
		entry->must_report = true;
		schedule_flush(holder);
	}
	if (holder->ops.on_granted != NULL)
		holder->ops.on_granted(
		    holder->ops.context, entry->id, entry->slot);
}

static bool
is_older_offer(const struct held_upstream *entry, const struct grant_offer *row)
{
	if (row->incarnation != entry->incarnation)
		return row->incarnation < entry->incarnation;
	if (row->term != entry->term)
		return row->term < entry->term;
	return row->offer_number < entry->offer_number;
}
