#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "coordination/consensus_parts.h"

/* Bytes of entries in memory after which a snapshot is written. */
#define COMPACT_BYTES ((size_t)8 * 1024 * 1024)
/* Pause after a snapshot that could not be written; each try writes as much as
 * fits. */
#define COMPACT_RETRY_MS 2000
/* Bytes of entries before a snapshot that are kept for slow followers. */
#define RETAINED_TAIL_BYTES ((size_t)1024 * 1024)

static enum error_code open_identity(
    struct consensus *consensus, bool has_snapshot);
static enum error_code check_entries(const struct consensus *consensus);
static uint64_t find_compaction_index(const struct consensus *consensus);
static uint64_t find_voters(const struct consensus *consensus,
    uint64_t last_index, struct voter_set *voters);
static void collect_file_name(void *context, const char *name);

enum error_code
consensus_clear_folder(const struct disk *disk)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	enum error_code error;
	guint i;

	error = disk->ops->list(
	    disk->context, (struct disk_visitor){collect_file_name, names});
	for (i = 0; error == ERROR_NONE && i < names->len; i++)
		error = disk->ops->remove(disk->context, names->pdata[i]);
	if (error == ERROR_NONE)
		error = disk->ops->sync_folder(disk->context);
	g_ptr_array_unref(names);
	return error;
}

enum error_code
consensus_open_storage(struct consensus *consensus)
{
	const struct journal_entry *entry;
	struct consensus_record record;
	enum error_code error;
	bool has_snapshot;

	error = snapshot_file_read(&consensus->disk, &consensus->snapshot);
	has_snapshot = error == ERROR_NONE;
	if (error != ERROR_NONE && error != ERROR_NOT_FOUND)
		return error;
	error = journal_open(&consensus->journal, &consensus->disk,
	    consensus->snapshot.index, consensus->snapshot.term);
	if (error != ERROR_NONE)
		return error;
	if (consensus->journal.torn_bytes > 0)
		event_log_write(EVENT_JOURNAL_REPAIRED, "%zu bytes cut off",
		    consensus->journal.torn_bytes);
	error = open_identity(consensus, has_snapshot);
	if (error != ERROR_NONE)
		return error;
	/* A term is stored before any entry of it, so a later term in the
	 * journal means that the voter file is outdated. */
	if (journal_last_term(&consensus->journal) > consensus->identity.term)
		return ERROR_CORRUPT;
	error = consensus_load_state(consensus, consensus->snapshot.index,
	    consensus->snapshot.state, consensus->snapshot.state_size);
	if (error != ERROR_NONE)
		return error_is_unknown_kind(error) ? error : ERROR_CORRUPT;
	error = check_entries(consensus);
	if (error != ERROR_NONE)
		return error;
	consensus->commit_index = consensus->snapshot.index;
	consensus->applied_index = consensus->snapshot.index;
	consensus->last_timestamp_ms = consensus->snapshot.time_ms;
	entry = journal_get(
	    &consensus->journal, journal_last_index(&consensus->journal));
	if (entry != NULL && consensus_read_record(entry, &record))
		consensus->last_timestamp_ms =
		    MAX(consensus->last_timestamp_ms, record.time_ms);
	consensus_reload_voters(consensus);
	return ERROR_NONE;
}

enum error_code
consensus_load_state(const struct consensus *consensus, uint64_t index,
    const void *state, size_t size)
{
	enum error_code error;

	if (size == 0)
		return ERROR_NONE;
	error = consensus->ops.load(consensus->ops.context, state, size);
	if (error_is_unknown_kind(error))
		event_log_write(EVENT_KIND_UNKNOWN,
		    "snapshot at log entry %llu: %s; start a newer build on "
		    "this data folder",
		    (unsigned long long)index, error_name(error));
	return error;
}

void
consensus_compact(struct consensus *consensus)
{
	struct snapshot snapshot = {0};
	enum error_code error;
	uint64_t entries;
	GByteArray *bytes;

	if (consensus_now(consensus) < consensus->next_compaction_ms)
		return;
	entries = consensus->applied_index - consensus->snapshot.index;
	/* Write a snapshot after enough entries or bytes. Large states are
	 * saved less often: not before the journal is as large as the state or
	 * holds half of the entries that it can hold. */
	if ((entries < consensus->settings.compact_entries &&
		(consensus->journal.held_bytes < COMPACT_BYTES ||
		    entries == 0)) ||
	    (consensus->journal.held_bytes < consensus->snapshot.state_size &&
		entries < JOURNAL_ENTRIES_MAX / 2) ||
	    journal_term(&consensus->journal, consensus->applied_index,
		&snapshot.term) != ERROR_NONE)
		return;
	bytes = consensus->ops.save(consensus->ops.context);
	snapshot.index = consensus->applied_index;
	snapshot.time_ms = consensus->last_timestamp_ms;
	snapshot.state_size = bytes->len;
	snapshot.state = malloc(bytes->len + 1);
	if (snapshot.state == NULL) {
		g_byte_array_unref(bytes);
		return;
	}
	memcpy(snapshot.state, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	find_voters(consensus, snapshot.index, &snapshot.voters);
	error = snapshot_file_write(&consensus->disk, &snapshot);
	if (error == ERROR_NONE) {
		snapshot_finish(&consensus->snapshot);
		consensus->snapshot = snapshot;
		event_log_write(EVENT_SNAPSHOT_WRITTEN, "entry %llu",
		    (unsigned long long)snapshot.index);
		error = journal_drop_prefix(
		    &consensus->journal, find_compaction_index(consensus));
	} else {
		snapshot_finish(&snapshot);
	}
	if (error == ERROR_NONE)
		return;
	/* The journal holds all that the snapshot would have, so this voter
	 * needs neither now: an entry may fit where a snapshot doesn't. */
	event_log_write(EVENT_SNAPSHOT_DEFERRED, "%s", error_name(error));
	consensus->next_compaction_ms =
	    consensus_now(consensus) + COMPACT_RETRY_MS;
}

void
consensus_reload_voters(struct consensus *consensus)
{
	consensus->voters_index = find_voters(consensus,
	    journal_last_index(&consensus->journal), &consensus->voters);
}

static enum error_code
open_identity(struct consensus *consensus, bool has_snapshot)
{
	struct voter_file *identity = &consensus->identity;
	enum error_code error;

	error = voter_file_read(&consensus->disk, identity);
	if (error == ERROR_NONE)
		return identity->cluster_id == consensus->settings.cluster_id &&
			       identity->self.host_id ==
				   consensus->settings.host_id
			   ? ERROR_NONE
			   : ERROR_IDENTITY_LOST;
	if (error != ERROR_NOT_FOUND)
		return error;
	if (has_snapshot || journal_last_index(&consensus->journal) > 0)
		return ERROR_IDENTITY_LOST;
	memset(identity, 0, sizeof(*identity));
	identity->cluster_id = consensus->settings.cluster_id;
	identity->self.host_id = consensus->settings.host_id;
	identity->self.incarnation = consensus->settings.fresh_incarnation;
	return voter_file_write(&consensus->disk, identity);
}

/* Finds an entry of a kind that this build does not know before this host votes
 * again, committed or not: as a leader it would commit the entry. */
static enum error_code
check_entries(const struct consensus *consensus)
{
	const struct journal_entry *entry;
	enum error_code error;
	uint64_t index, last;

	last = journal_last_index(&consensus->journal);
	for (index = consensus->snapshot.index + 1; index <= last; index++) {
		entry = journal_get(&consensus->journal, index);
		if (entry == NULL)
			continue;
		error = consensus_check_entry(consensus, entry);
		if (error != ERROR_NONE)
			return error;
	}
	return ERROR_NONE;
}

/* Returns the last entry that the journal may drop. Some entries before the
 * snapshot stay, so that followers slightly behind need no snapshot. */
static uint64_t
find_compaction_index(const struct consensus *consensus)
{
	const struct journal_entry *entry;
	uint64_t index;
	size_t bytes;

	bytes = 0;
	for (index = consensus->snapshot.index; index > 0; index--) {
		entry = journal_get(&consensus->journal, index);
		if (entry == NULL ||
		    consensus->snapshot.index - index >=
			consensus->settings.compact_entries / 4)
			break;
		bytes += entry->size;
		if (bytes > RETAINED_TAIL_BYTES)
			break;
	}
	return index;
}

/* Finds the voter set that holds at an entry; returns the index of the entry or
 * snapshot that contains the set. */
static uint64_t
find_voters(const struct consensus *consensus, uint64_t last_index,
    struct voter_set *voters)
{
	const struct journal_entry *entry;
	struct consensus_record record;
	uint64_t index;

	for (index = last_index; index > consensus->snapshot.index; index--) {
		entry = journal_get(&consensus->journal, index);
		if (entry != NULL && consensus_read_record(entry, &record) &&
		    record.kind == CONSENSUS_ENTRY_VOTERS &&
		    voter_set_decode(voters, record.data, record.size) ==
			ERROR_NONE)
			return index;
	}
	*voters = consensus->snapshot.voters;
	return consensus->snapshot.index;
}

static void
collect_file_name(void *context, const char *name)
{
	GPtrArray *names = context;

	if (g_str_has_prefix(name, "journal-") ||
	    g_str_has_prefix(name, SNAPSHOT_FILE_NAME) ||
	    g_str_has_prefix(name, VOTER_FILE_NAME))
		g_ptr_array_add(names, g_strdup(name));
}
