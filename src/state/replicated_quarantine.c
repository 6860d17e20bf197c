/**
 * @file replicated_quarantine.c
 * The part of the replicated state that tells which requests and which parts of
 * prompts crash upstreams.
 */
#include <string.h>

#include "state/replicated_parts.h"

static void put_share(
    struct quarantine_record *record, struct quarantine_share share);
static void expire_quarantine(struct replicated_state *state);
static void expire_parts(struct replicated_state *state);
static struct part_record *find_or_add_part(
    struct replicated_state *state, uint64_t part);
static void drop_least_suspected(struct replicated_state *state);
static bool is_less_suspected(
    const struct part_record *record, const struct part_record *other);
static void clear_part(struct replicated_state *state, uint64_t part);

bool
replicated_state_is_quarantined(
    const struct replicated_state *state, uint64_t fingerprint, int64_t now_ms)
{
	const struct quarantine_record *record;

	record = g_hash_table_lookup(state->quarantine, &fingerprint);
	return record != NULL && !record->must_run_alone &&
	       record->until_ms > now_ms;
}

void
replicated_state_for_each_quarantine(const struct replicated_state *state,
    void (*visit)(void *context, const struct quarantine_record *record),
    void *context)
{
	struct quarantine_record *record;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, state->quarantine);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record))
		visit(context, record);
}

void
replicated_state_for_each_part(const struct replicated_state *state,
    void (*visit)(void *context, const struct part_record *record),
    void *context)
{
	struct part_record *record;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, state->parts);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record))
		visit(context, record);
}

void
replicated_put_quarantine(
    struct replicated_state *state, const struct quarantine_record *record)
{
	struct quarantine_record *stored;

	stored = g_memdup2(record, sizeof(*record));
	g_hash_table_replace(state->quarantine, &stored->fingerprint, stored);
}

void
replicated_put_part(
    struct replicated_state *state, const struct part_record *record)
{
	struct part_record *stored;

	stored = g_memdup2(record, sizeof(*record));
	g_hash_table_replace(state->parts, &stored->part, stored);
}

void
replicated_apply_quarantine(struct replicated_state *state,
    const struct command_quarantine *quarantine, struct command_result *result)
{
	uint64_t fingerprint = quarantine->fingerprint;
	struct quarantine_record record = {.fingerprint = fingerprint};
	const struct quarantine_record *stored;

	expire_quarantine(state);
	if (quarantine->until_ms <= 0) {
		g_hash_table_remove(state->quarantine, &fingerprint);
		return;
	}
	stored = g_hash_table_lookup(state->quarantine, &fingerprint);
	if (stored == NULL &&
	    g_hash_table_size(state->quarantine) >= QUARANTINES_MAX) {
		result->error = ERROR_TABLE_FULL;
		return;
	}
	if (stored != NULL)
		record = *stored;
	record.until_ms = MAX(record.until_ms, quarantine->until_ms);
	record.must_run_alone = quarantine->must_run_alone;
	put_share(
	    &record, (struct quarantine_share){quarantine->host_id,
			 quarantine->crashes, quarantine->weight_permille});
	if (record.crashes == 0 && record.must_run_alone)
		g_hash_table_remove(state->quarantine, &fingerprint);
	else
		replicated_put_quarantine(state, &record);
}

void
replicated_record_parts(
    struct replicated_state *state, const struct command_parts *parts)
{
	const struct part_evidence *evidence;
	uint32_t i;

	expire_parts(state);
	for (i = 0; i < parts->count; i++) {
		evidence = &parts->evidence[i];
		part_record_add(find_or_add_part(state, evidence->part),
		    parts->crash_id, state->time_ms - parts->age_ms, evidence);
	}
}

void
replicated_clear_parts(
    struct replicated_state *state, const struct command_parts *parts)
{
	uint32_t i;

	expire_parts(state);
	for (i = 0; i < parts->count; i++)
		clear_part(state, parts->evidence[i].part);
}

/* Replaces what a host has counted and sums up. If too many hosts have counted,
 * a further one is left out: the request is quarantined long before. */
static void
put_share(struct quarantine_record *record, struct quarantine_share share)
{
	uint32_t i;

	for (i = 0; i < record->share_count; i++) {
		if (record->shares[i].host_id == share.host_id)
			break;
	}
	if (i == QUARANTINE_SHARES_MAX)
		return;
	record->shares[i] = share;
	if (i == record->share_count)
		record->share_count++;
	record->crashes = record->weight_permille = 0;
	for (i = 0; i < record->share_count; i++) {
		record->crashes += record->shares[i].crashes;
		record->weight_permille += record->shares[i].weight_permille;
	}
}

static void
expire_quarantine(struct replicated_state *state)
{
	struct quarantine_record *record;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, state->quarantine);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record)) {
		if (record->until_ms <= state->time_ms)
			g_hash_table_iter_remove(&iter);
	}
}

static void
expire_parts(struct replicated_state *state)
{
	struct part_record *record;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, state->parts);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record)) {
		if (record->until_ms <= state->time_ms)
			g_hash_table_iter_remove(&iter);
	}
}

static struct part_record *
find_or_add_part(struct replicated_state *state, uint64_t part)
{
	struct part_record *record, empty = {.part = part};

	record = g_hash_table_lookup(state->parts, &part);
	if (record != NULL)
		return record;
	if (g_hash_table_size(state->parts) >= PARTS_MAX)
		drop_least_suspected(state);
	replicated_put_part(state, &empty);
	return g_hash_table_lookup(state->parts, &part);
}

/* Makes room for a record: drops the one with the fewest events, the oldest of
 * several. */
static void
drop_least_suspected(struct replicated_state *state)
{
	const struct part_record *record, *least;
	GHashTableIter iter;

	least = NULL;
	g_hash_table_iter_init(&iter, state->parts);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record)) {
		if (least == NULL || is_less_suspected(record, least))
			least = record;
	}
	if (least != NULL)
		g_hash_table_remove(state->parts, &least->part);
}

/* Orders any two records, so that all hosts drop the same one. */
static bool
is_less_suspected(
    const struct part_record *record, const struct part_record *other)
{
	if (record->event_count != other->event_count)
		return record->event_count < other->event_count;
	if (record->until_ms != other->until_ms)
		return record->until_ms < other->until_ms;
	return record->part < other->part;
}

/* A part that crashes nothing is no companion of others either. */
static void
clear_part(struct replicated_state *state, uint64_t part)
{
	struct part_record *record;
	GHashTableIter iter;

	g_hash_table_remove(state->parts, &part);
	g_hash_table_iter_init(&iter, state->parts);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record))
		(void)part_record_drop_companion(record, part);
}
