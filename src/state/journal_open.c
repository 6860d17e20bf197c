/*
 * Reads a journal from its segment files: at the start, and again after a failure
 * of the disk.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "state/journal_parts.h"

/* A segment file while it is read. */
struct segment_scan {
	unsigned char *data; /* Contents of the file. */
	size_t size;	     /* Bytes of data. */
	size_t at;	     /* Offset of the next record to read. */
};

static enum error_code read_segments(struct journal *journal);
static enum error_code read_segment(
    struct journal *journal, uint32_t position, uint64_t *next_index);
static enum error_code read_records(struct journal *journal,
    struct segment_scan *scan, uint64_t first_index, uint64_t *next_index);
static bool check_record(
    const struct segment_scan *scan, size_t at, struct record_header *head);
static bool has_later_sync_mark(const struct segment_scan *scan);
static enum error_code load_entry(struct journal *journal,
    const struct record_header *head, const unsigned char *data, size_t end);
static void add_segment(void *context, const char *name);
static gint compare_segments(gconstpointer left, gconstpointer right);
static enum error_code check_against_base(struct journal *journal);
static enum error_code sync_last_segment(struct journal *journal);

enum error_code
journal_open(struct journal *journal, const struct disk *disk,
    uint64_t base_index, uint64_t base_term)
{
	enum error_code error;

	memset(journal, 0, sizeof(*journal));
	journal->disk = *disk;
	journal->segment_size = JOURNAL_SEGMENT_SIZE;
	journal->base_index = base_index;
	journal->base_term = base_term;
	journal->entries =
	    g_array_new(FALSE, TRUE, sizeof(struct journal_entry));
	journal->end_offsets = g_array_new(FALSE, TRUE, sizeof(size_t));
	journal->segments =
	    g_array_new(FALSE, TRUE, sizeof(struct journal_segment));
	journal->unwritten = g_byte_array_new();
	error = read_segments(journal);
	/* The entry at base_index has another term than the snapshot, so the
	 * snapshot replaced a log that diverged: drop all its entries. */
	if (error == ERROR_STALE)
		error = journal_reset(journal, base_index, base_term);
	if (error == ERROR_NONE)
		error = check_against_base(journal);
	if (error == ERROR_NONE)
		error = sync_last_segment(journal);
	if (error != ERROR_NONE) {
		journal_close(journal);
		return error;
	}
	journal->synced_index = journal_last_index(journal);
	if (journal->segments->len > 0)
		journal->synced_size = journal_last_segment(journal)->size;
	return ERROR_NONE;
}

enum error_code
journal_check_last_segment(const struct journal *journal)
{
	struct segment_scan scan = {0};
	struct record_header head;
	char name[NAME_SIZE_MAX];
	enum error_code error;

	if (journal->segments->len == 0 || journal->synced_size == 0)
		return ERROR_NONE;
	journal_format_segment_name(journal_last_segment(journal), name);
	error = journal->disk.ops->read(
	    journal->disk.context, name, &scan.data, &scan.size);
	if (error == ERROR_NOT_FOUND)
		return ERROR_CORRUPT;
	if (error != ERROR_NONE)
		return error;
	while (scan.at < journal->synced_size &&
	       check_record(&scan, scan.at, &head))
		scan.at += sizeof(head) + head.size;
	free(scan.data);
	return scan.at == journal->synced_size ? ERROR_NONE : ERROR_CORRUPT;
}

static enum error_code
read_segments(struct journal *journal)
{
	struct disk_visitor visitor = {add_segment, journal};
	enum error_code error;
	uint64_t next_index;
	uint32_t i;

	error = journal->disk.ops->list(journal->disk.context, visitor);
	if (error != ERROR_NONE)
		return error;
	g_array_sort(journal->segments, compare_segments);
	next_index = 0;
	for (i = 0; i < journal->segments->len; i++) {
		error = read_segment(journal, i, &next_index);
		if (error != ERROR_NONE)
			return error;
	}
	return ERROR_NONE;
}

static enum error_code
read_segment(struct journal *journal, uint32_t position, uint64_t *next_index)
{
	struct journal_segment *segment =
	    &g_array_index(journal->segments, struct journal_segment, position);
	struct segment_scan scan = {0};
	char name[NAME_SIZE_MAX];
	enum error_code error;
	bool is_last;

	is_last = position + 1 == journal->segments->len;
	journal_format_segment_name(segment, name);
	error = journal->disk.ops->read(
	    journal->disk.context, name, &scan.data, &scan.size);
	if (error != ERROR_NONE)
		return error;
	if (position == 0)
		*next_index = segment->first_index;
	error = ERROR_CORRUPT;
	if (segment->first_index != *next_index)
		goto out;
	error = read_records(journal, &scan, segment->first_index, next_index);
	if (error != ERROR_NONE || scan.at == scan.size)
		goto out;
	/* All entries of an earlier segment were synced before the next one
	 * began, so only the mark at its end may be torn. */
	if (!is_last) {
		if (segment[1].first_index != *next_index)
			error = ERROR_CORRUPT;
		goto out;
	}
	error = ERROR_CORRUPT;
	if (has_later_sync_mark(&scan))
		goto out;
	journal->torn_bytes = scan.size - scan.at;
	error = journal_cut_last_segment(journal, scan.at);
	goto done;
out:
	segment->size = scan.at;
done:
	free(scan.data);
	return error;
}

/* Reads records up to the first invalid one and leaves scan->at there. */
static enum error_code
read_records(struct journal *journal, struct segment_scan *scan,
    uint64_t first_index, uint64_t *next_index)
{
	struct record_header head;
	enum error_code error;
	size_t end;

	*next_index = first_index;
	while (check_record(scan, scan->at, &head)) {
		end = scan->at + sizeof(head) + head.size;
		if (head.kind == RECORD_ENTRY) {
			if (head.index != *next_index)
				return ERROR_CORRUPT;
			error = load_entry(journal, &head,
			    scan->data + scan->at + sizeof(head), end);
			if (error != ERROR_NONE)
				return error;
			(*next_index)++;
		}
		scan->at = end;
	}
	return ERROR_NONE;
}

static bool
check_record(
    const struct segment_scan *scan, size_t at, struct record_header *head)
{
	if (scan->size - at < sizeof(*head))
		return false;
	memcpy(head, scan->data + at, sizeof(*head));
	if (head->size > scan->size - at - sizeof(*head))
		return false;
	if (head->kind == RECORD_SYNC_MARK &&
	    (head->index != at || head->size != 0))
		return false;
	if (head->kind != RECORD_SYNC_MARK && head->kind != RECORD_ENTRY)
		return false;
	return head->checksum ==
	       journal_checksum(head, scan->data + at + sizeof(*head));
}

static bool
has_later_sync_mark(const struct segment_scan *scan)
{
	struct record_header head;
	size_t at;

	for (at = scan->at + 1; at + sizeof(head) <= scan->size; at++) {
		memcpy(&head, scan->data + at, sizeof(head));
		if (head.kind == RECORD_SYNC_MARK && head.index == at &&
		    check_record(scan, at, &head))
			return true;
	}
	return false;
}

static enum error_code
load_entry(struct journal *journal, const struct record_header *head,
    const unsigned char *data, size_t end)
{
	if (head->index < journal->base_index)
		return ERROR_NONE;
	if (head->index == journal->base_index) {
		journal->base_offset = end;
		return head->term == journal->base_term ? ERROR_NONE
							: ERROR_STALE;
	}
	if (head->index != journal_last_index(journal) + 1 ||
	    head->term < journal_last_term(journal))
		return ERROR_CORRUPT;
	return journal_push_entry(journal, head->term, data, head->size, end);
}

static void
add_segment(void *context, const char *name)
{
	struct journal *journal = context;
	struct journal_segment segment = {0};

	if (!g_str_has_prefix(name, SEGMENT_PREFIX))
		return;
	segment.first_index = strtoull(name + strlen(SEGMENT_PREFIX), NULL, 10);
	g_array_append_val(journal->segments, segment);
}

static gint
compare_segments(gconstpointer left, gconstpointer right)
{
	const struct journal_segment *first = left, *second = right;

	if (first->first_index == second->first_index)
		return 0;
	return first->first_index < second->first_index ? -1 : 1;
}

static enum error_code
check_against_base(struct journal *journal)
{
	if (journal->segments->len == 0)
		return ERROR_NONE;
	if (g_array_index(journal->segments, struct journal_segment, 0)
		.first_index > journal->base_index + 1)
		return ERROR_CORRUPT;
	if (journal->entries->len > 0)
		return ERROR_NONE;
	/* The snapshot covers all entries: continue in a new file. */
	return journal_reset(journal, journal->base_index, journal->base_term);
}

/* Makes the entries that were read durable: before a crash of the process,
 * they may have been written but not synced. */
static enum error_code
sync_last_segment(struct journal *journal)
{
	char name[NAME_SIZE_MAX];
	enum error_code error;

	if (journal->segments->len == 0)
		return ERROR_NONE;
	journal_format_segment_name(journal_last_segment(journal), name);
	error = journal->disk.ops->sync(journal->disk.context, name);
	if (error != ERROR_NONE)
		return error;
	return journal->disk.ops->sync_folder(journal->disk.context);
}
