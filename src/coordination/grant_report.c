/**
 * @file grant_report.c
 * Demand reports of the grant holder to the owners of upstreams.
 */
#include <string.h>

#include "coordination/capacity_math.h"
#include "coordination/grant_holder_parts.h"

/* Part of the recorded peak of demand that is kept from report to report. */
#define PEAK_KEPT_PERCENT 75

/* The entries that are reported to one owner in one message. */
struct demand_batch {
	uint32_t owner;
	GPtrArray *entries; /* Elements are struct held_upstream pointers. */
};

static GHashTable *collect_batches(
    struct grant_holder *holder, bool wants_answer);
static uint64_t next_sequence(struct grant_holder *holder);
static void send_batch(struct grant_holder *holder,
    const struct demand_batch *batch, uint64_t sequence, bool wants_answer);
static void free_batch(gpointer batch);

void
grant_flush_reports(struct grant_holder *holder, bool wants_answer)
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

void
grant_fill_report_row(const struct grant_holder *holder,
    struct held_upstream *entry, struct grant_report *row)
{
	struct capacity_amount needed;
	uint64_t peak, wanted, percent;
	unsigned int at;

	memset(row, 0, sizeof(*row));
	row->upstream_id = entry->id;
	row->incarnation = entry->incarnation;
	row->term = entry->term;
	row->offer_number = entry->offer_number;
	row->ceiling = entry->ceiling;
	row->used = capacity_slot_used(entry->slot);
	entry->reported_use = row->used;
	row->largest_waiting = entry->largest_waiting;
	row->warmth = entry->warmth;
	row->in_time_answers = entry->in_time_answers;
	row->is_cold = entry->is_cold;
	row->needed_percent = PERCENT;
	if (entry->is_closed) {
		row->wanted = row->used;
		return;
	}
	row->needed_percent = 0;
	needed = capacity_add(&row->used, &entry->waiting);
	for (at = 0; at < CAPACITY_DIMENSIONS; at++) {
		peak = capacity_get(&entry->peak, at) * PEAK_KEPT_PERCENT /
		       PERCENT;
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

enum error_code
grant_answer_query(struct grant_holder *holder, uint32_t from_host,
    const struct grant_header *header)
{
	struct grant_header answer = {0};
	struct held_upstream *entry;
	struct message_writer writer;
	struct capacity_amount used;
	struct grant_report row;
	GPtrArray *entries;
	GHashTableIter iter;
	gpointer value;
	guint i;

	if (header->epoch != holder->map->epoch)
		return ERROR_STALE;
	/* Requests of an earlier process of this host may still run on the
	 * engines, so an answer now could report too little use. */
	if (timer_now(holder->timers) - holder->start_ms <
	    holder->settings.orphan_drain_ms)
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
	answer.type = GRANT_MESSAGE_USE_ANSWER;
	answer.epoch = header->epoch;
	answer.instance = holder->settings.instance;
	answer.sequence = header->sequence;
	answer.row_count = entries->len;
	message_writer_init(&writer);
	grant_message_open(&writer, &answer);
	for (i = 0; i < entries->len; i++) {
		grant_fill_report_row(
		    holder, g_ptr_array_index(entries, i), &row);
		grant_message_add_report(&writer, &row);
	}
	holder->port.send(holder->port.context, from_host, PEER_CHANNEL_GRANT,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
	g_ptr_array_free(entries, TRUE);
	return ERROR_NONE;
}

/* Groups the entries that are due for a report by owner; returns a table of
 * struct demand_batch by the owner's host id. */
static GHashTable *
collect_batches(struct grant_holder *holder, bool wants_answer)
{
	struct held_upstream *entry;
	struct demand_batch *batch;
	GHashTable *batches;
	GHashTableIter iter;
	gpointer value;
	uint32_t owner;

	batches = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, free_batch);
	g_hash_table_iter_init(&iter, holder->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry = value;
		if (!(wants_answer ? entry->must_request_grant
				   : entry->must_report))
			continue;
		/* Without an owner the entry stays due. */
		owner = owner_map_owner(holder->map, entry->id);
		if (owner == OWNER_NONE)
			continue;
		entry->must_report = false;
		batch = g_hash_table_lookup(batches, GUINT_TO_POINTER(owner));
		if (batch == NULL) {
			batch = g_new0(struct demand_batch, 1);
			batch->owner = owner;
			batch->entries = g_ptr_array_new();
			g_hash_table_insert(
			    batches, GUINT_TO_POINTER(owner), batch);
		}
		g_ptr_array_add(batch->entries, entry);
	}
	return batches;
}

/* Returns a sequence that contains the present time. Owners echo it in their
 * offers, which tells from when the duration of the grant counts. */
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
send_batch(struct grant_holder *holder, const struct demand_batch *batch,
    uint64_t sequence, bool wants_answer)
{
	struct grant_header header = {0};
	struct held_upstream *entry;
	struct message_writer writer;
	struct grant_report row;
	guint i;

	header.type = GRANT_MESSAGE_REPORT;
	header.epoch = holder->map->epoch;
	header.instance = holder->settings.instance;
	header.sequence = sequence;
	header.wants_answer = wants_answer;
	header.row_count = batch->entries->len;
	message_writer_init(&writer);
	grant_message_open(&writer, &header);
	for (i = 0; i < batch->entries->len; i++) {
		entry = g_ptr_array_index(batch->entries, i);
		grant_fill_report_row(holder, entry, &row);
		grant_message_add_report(&writer, &row);
		entry->in_time_answers = 0;
		entry->report_sequence = sequence;
		if (entry->has_unconfirmed && entry->unconfirmed_sequence == 0)
			entry->unconfirmed_sequence = sequence;
		entry->reported_ms = timer_now(holder->timers);
		if (wants_answer)
			entry->must_request_grant = false;
	}
	holder->counters.reports++;
	holder->counters.reported_rows += batch->entries->len;
	holder->port.send(holder->port.context, batch->owner,
	    PEER_CHANNEL_GRANT, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

static void
free_batch(gpointer batch)
{
	struct demand_batch *freed = batch;

	g_ptr_array_free(freed->entries, TRUE);
	g_free(freed);
}
