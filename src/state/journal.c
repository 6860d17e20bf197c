#include "state/journal_parts.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

static enum error_code begin_segment(struct journal *journal);
static enum error_code write_sync_mark(struct journal *journal);
static enum error_code settle_files(struct journal *journal);
static uint32_t count_segments(const struct journal *journal, uint64_t index);
static enum error_code remove_segments(
    struct journal *journal, uint32_t first, uint32_t count, bool from_end);
static enum error_code sync_removals(struct journal *journal);
static void discard_unwritten(struct journal *journal, uint64_t index);
static void free_entries(struct journal *journal, uint64_t from, uint64_t end);

void
journal_close(struct journal *journal)
{
	if (journal->entries == NULL)
		return;
	free_entries(
	    journal, journal->base_index + 1, journal_last_index(journal) + 1);
	g_array_unref(journal->entries);
	g_array_unref(journal->end_offsets);
	g_array_unref(journal->segments);
	g_byte_array_unref(journal->unwritten);
	memset(journal, 0, sizeof(*journal));
}

uint64_t
journal_last_index(const struct journal *journal)
{
	return journal->base_index + journal->entries->len;
}

uint64_t
journal_last_term(const struct journal *journal)
{
	uint64_t term;

	term = journal->base_term;
	journal_term(journal, journal_last_index(journal), &term);
	return term;
}

enum error_code
journal_term(const struct journal *journal, uint64_t index, uint64_t *term)
{
	const struct journal_entry *entry;

	if (index == journal->base_index) {
		*term = journal->base_term;
		return ERROR_NONE;
	}
	entry = journal_get(journal, index);
	if (entry == NULL)
		return ERROR_NOT_FOUND;
	*term = entry->term;
	return ERROR_NONE;
}

const struct journal_entry *
journal_get(const struct journal *journal, uint64_t index)
{
	if (index <= journal->base_index || index > journal_last_index(journal))
		return NULL;
	return &g_array_index(journal->entries, struct journal_entry,
	    index - journal->base_index - 1);
}

enum error_code
journal_append(
    struct journal *journal, uint64_t term, const void *data, size_t size)
{
	struct record_header head;
	enum error_code error;
	size_t end;

	if (term < journal_last_term(journal))
		return ERROR_INVALID_ARGUMENT;
	if (size > JOURNAL_ENTRY_SIZE_MAX)
		return ERROR_TOO_LARGE;
	if (journal->entries->len >= JOURNAL_ENTRIES_MAX)
		return ERROR_TABLE_FULL;
	error = begin_segment(journal);
	if (error != ERROR_NONE)
		return error;
	memset(&head, 0, sizeof(head));
	head.index = journal_last_index(journal) + 1;
	head.term = term;
	head.size = (uint32_t)size;
	head.kind = RECORD_ENTRY;
	head.checksum = journal_checksum(&head, data);
	end = journal_last_segment(journal)->size + journal->unwritten->len +
	      sizeof(head) + size;
	error = journal_push_entry(journal, term, data, size, end);
	if (error != ERROR_NONE)
		return error;
	g_byte_array_append(
	    journal->unwritten, (const guint8 *)&head, sizeof(head));
	if (size > 0)
		g_byte_array_append(journal->unwritten, data, (guint)size);
	return ERROR_NONE;
}

enum error_code
journal_sync(struct journal *journal)
{
	const struct disk_ops *ops = journal->disk.ops;
	void *context = journal->disk.context;
	struct journal_segment *segment;
	char name[NAME_SIZE_MAX];
	enum error_code error;

	if (journal->unwritten->len == 0)
		return ERROR_NONE;
	segment = journal_last_segment(journal);
	journal_format_segment_name(segment, name);
	error = ops->append(
	    context, name, journal->unwritten->data, journal->unwritten->len);
	if (error == ERROR_NONE)
		error = ops->sync(context, name);
	if (error == ERROR_NONE && journal->needs_folder_sync)
		error = ops->sync_folder(context);
	if (error != ERROR_NONE)
		return error;
	segment->size += journal->unwritten->len;
	journal->synced_size = segment->size;
	journal->synced_index = journal_last_index(journal);
	journal->needs_folder_sync = false;
	g_byte_array_set_size(journal->unwritten, 0);
	/* The entries are durable even if the mark can't be written, such as
	 * on a full disk; the file is then cut back to the entries. */
	if (write_sync_mark(journal) != ERROR_NONE)
		return journal_cut_last_segment(journal, journal->synced_size);
	return ERROR_NONE;
}

enum error_code
journal_discard_unsynced(struct journal *journal)
{
	free_entries(journal, journal->synced_index + 1,
	    journal_last_index(journal) + 1);
	g_array_set_size(journal->entries,
	    (guint)(journal->synced_index - journal->base_index));
	g_array_set_size(journal->end_offsets, journal->entries->len);
	g_byte_array_set_size(journal->unwritten, 0);
	return settle_files(journal);
}

enum error_code
journal_truncate(struct journal *journal, uint64_t index)
{
	uint32_t position;
	size_t size;

	if (index <= journal->base_index)
		return ERROR_INVALID_ARGUMENT;
	if (index > journal_last_index(journal))
		return ERROR_NONE;
	if (index > journal->synced_index) {
		discard_unwritten(journal, index);
		return ERROR_NONE;
	}
	/* The end of the entry before is where the last kept file ends. */
	position = (uint32_t)(index - journal->base_index - 1);
	size = 0;
	if (g_array_index(journal->segments, struct journal_segment,
		count_segments(journal, index) - 1)
		.first_index < index)
		size = position == 0 ? journal->base_offset
				     : g_array_index(journal->end_offsets,
					   size_t, position - 1);
	free_entries(journal, index, journal_last_index(journal) + 1);
	g_array_set_size(journal->entries, position);
	g_array_set_size(journal->end_offsets, position);
	g_byte_array_set_size(journal->unwritten, 0);
	journal->synced_index = index - 1;
	journal->synced_size = size;
	return settle_files(journal);
}

enum error_code
journal_drop_prefix(struct journal *journal, uint64_t index)
{
	uint32_t dropped;
	uint64_t term;

	if (index > journal->synced_index)
		index = journal->synced_index;
	if (index <= journal->base_index ||
	    journal_term(journal, index, &term) != ERROR_NONE)
		return ERROR_NONE;
	journal->base_offset = g_array_index(
	    journal->end_offsets, size_t, index - journal->base_index - 1);
	free_entries(journal, journal->base_index + 1, index + 1);
	g_array_remove_range(
	    journal->entries, 0, (guint)(index - journal->base_index));
	g_array_remove_range(
	    journal->end_offsets, 0, (guint)(index - journal->base_index));
	journal->base_index = index;
	journal->base_term = term;
	for (dropped = 0; dropped + 1 < journal->segments->len; dropped++) {
		if (g_array_index(
			journal->segments, struct journal_segment, dropped + 1)
			.first_index > index + 1)
			break;
	}
	if (dropped == 0)
		return ERROR_NONE;
	return remove_segments(journal, 0, dropped, false);
}

enum error_code
journal_reset(struct journal *journal, uint64_t base_index, uint64_t base_term)
{
	free_entries(
	    journal, journal->base_index + 1, journal_last_index(journal) + 1);
	g_array_set_size(journal->entries, 0);
	g_array_set_size(journal->end_offsets, 0);
	g_byte_array_set_size(journal->unwritten, 0);
	journal->base_index = base_index;
	journal->base_term = base_term;
	journal->synced_index = base_index;
	journal->synced_size = 0;
	journal->is_reset_pending = true;
	return settle_files(journal);
}

enum error_code
journal_push_entry(struct journal *journal, uint64_t term, const void *data,
    size_t size, size_t end)
{
	struct journal_entry entry = {0};

	entry.index = journal_last_index(journal) + 1;
	entry.term = term;
	entry.size = size;
	entry.data = malloc(size + 1);
	if (entry.data == NULL)
		return ERROR_NO_MEMORY;
	if (size > 0)
		memcpy(entry.data, data, size);
	journal->held_bytes += size;
	g_array_append_val(journal->entries, entry);
	g_array_append_val(journal->end_offsets, end);
	return ERROR_NONE;
}

uint64_t
journal_checksum(const struct record_header *head, const void *data)
{
	uint64_t seed;

	seed = XXH64(&head->index,
	    sizeof(*head) - offsetof(struct record_header, index), 0);
	return head->size == 0 ? seed : XXH64(data, head->size, seed);
}

struct journal_segment *
journal_last_segment(const struct journal *journal)
{
	return &g_array_index(journal->segments, struct journal_segment,
	    journal->segments->len - 1);
}

void
journal_format_segment_name(const struct journal_segment *segment, char *name)
{
	snprintf(name, NAME_SIZE_MAX, SEGMENT_FORMAT, segment->first_index);
}

enum error_code
journal_cut_last_segment(struct journal *journal, size_t size)
{
	struct journal_segment *segment = journal_last_segment(journal);
	char name[NAME_SIZE_MAX];
	enum error_code error;

	journal_format_segment_name(segment, name);
	error = journal->disk.ops->truncate(journal->disk.context, name, size);
	if (error == ERROR_NONE)
		error = journal->disk.ops->sync(journal->disk.context, name);
	if (error == ERROR_NONE)
		segment->size = size;
	return error;
}

/* Begins a new segment if there is none or the last one is full. A segment
 * with unwritten records isn't ended, as it must be synced first. */
static enum error_code
begin_segment(struct journal *journal)
{
	struct journal_segment segment = {0};

	if (journal->segments->len > 0 &&
	    (journal->unwritten->len > 0 ||
		journal_last_segment(journal)->size < journal->segment_size))
		return ERROR_NONE;
	segment.first_index = journal_last_index(journal) + 1;
	g_array_append_val(journal->segments, segment);
	journal->synced_size = 0;
	journal->needs_folder_sync = true;
	return ERROR_NONE;
}

static enum error_code
write_sync_mark(struct journal *journal)
{
	struct journal_segment *segment = journal_last_segment(journal);
	struct record_header head;
	char name[NAME_SIZE_MAX];
	enum error_code error;

	memset(&head, 0, sizeof(head));
	head.index = segment->size;
	head.kind = RECORD_SYNC_MARK;
	head.checksum = journal_checksum(&head, NULL);
	journal_format_segment_name(segment, name);
	error = journal->disk.ops->append(
	    journal->disk.context, name, &head, sizeof(head));
	if (error == ERROR_NONE)
		segment->size += sizeof(head);
	return error;
}

/* Makes the files agree with what the journal holds: removes the segments behind
 * the last durable entry, and cuts the last one. After an error it is called
 * again, by journal_discard_unsynced(), and goes on where it was interrupted. */
static enum error_code
settle_files(struct journal *journal)
{
	enum error_code error;
	uint32_t keep;

	keep = journal->is_reset_pending
		   ? 0
		   : count_segments(journal, journal->synced_index + 1);
	error = ERROR_NONE;
	if (keep < journal->segments->len)
		error = remove_segments(
		    journal, keep, journal->segments->len - keep, true);
	else if (journal->needs_removal_sync || journal->is_reset_pending)
		error = sync_removals(journal);
	if (error != ERROR_NONE)
		return error;
	journal->is_reset_pending = false;
	if (journal->segments->len == 0)
		return ERROR_NONE;
	return journal_cut_last_segment(journal, journal->synced_size);
}

/* Returns how many segments there are up to the one that holds an entry, or would
 * hold it if it were appended; 0 if there is no segment. */
static uint32_t
count_segments(const struct journal *journal, uint64_t index)
{
	uint32_t count;

	for (count = journal->segments->len; count > 1; count--) {
		if (g_array_index(
			journal->segments, struct journal_segment, count - 1)
			.first_index <= index)
			break;
	}
	return count;
}

static enum error_code
remove_segments(
    struct journal *journal, uint32_t first, uint32_t count, bool from_end)
{
	struct journal_segment *segment;
	char name[NAME_SIZE_MAX];
	enum error_code error;
	uint32_t at;

	while (count > 0) {
		at = from_end ? first + count - 1 : first;
		segment = &g_array_index(
		    journal->segments, struct journal_segment, at);
		journal_format_segment_name(segment, name);
		error = journal->disk.ops->remove(journal->disk.context, name);
		/* A segment that was never written has no file yet. */
		if (error != ERROR_NONE && error != ERROR_NOT_FOUND)
			return error;
		journal->needs_removal_sync = true;
		g_array_remove_index(journal->segments, at);
		count--;
	}
	return sync_removals(journal);
}

static enum error_code
sync_removals(struct journal *journal)
{
	enum error_code error;

	error = journal->disk.ops->sync_folder(journal->disk.context);
	if (error == ERROR_NONE)
		journal->needs_removal_sync = false;
	return error;
}

/* Removes the entries from an index on, which are only in memory yet. */
static void
discard_unwritten(struct journal *journal, uint64_t index)
{
	uint32_t position;
	size_t kept;

	position = (uint32_t)(index - journal->base_index - 1);
	kept = 0;
	if (index > journal->synced_index + 1)
		kept =
		    g_array_index(journal->end_offsets, size_t, position - 1) -
		    journal_last_segment(journal)->size;
	free_entries(journal, index, journal_last_index(journal) + 1);
	g_array_set_size(journal->entries, position);
	g_array_set_size(journal->end_offsets, position);
	g_byte_array_set_size(journal->unwritten, (guint)kept);
}

static void
free_entries(struct journal *journal, uint64_t from, uint64_t end)
{
	struct journal_entry *entry;
	uint64_t i;

	for (i = from; i < end; i++) {
		entry = &g_array_index(journal->entries, struct journal_entry,
		    i - journal->base_index - 1);
		journal->held_bytes -= entry->size;
		free(entry->data);
	}
}
