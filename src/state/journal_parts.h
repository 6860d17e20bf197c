/**
 * @file journal_parts.h
 * Declarations shared by the source files of the journal only.
 */
#ifndef JOURNAL_PARTS_H
#define JOURNAL_PARTS_H

#include "state/journal.h"

#define RECORD_ENTRY	 0x59525445u /* Kind of a record that holds an entry. */
#define RECORD_SYNC_MARK 0x4b52414du /* Kind of a sync mark. */
#define SEGMENT_PREFIX	 "journal-"
#define SEGMENT_FORMAT	 SEGMENT_PREFIX "%020" PRIu64

/** Header of a record in a segment file; an entry's bytes follow. */
struct record_header {
	uint64_t checksum; /**< XXH64 of the fields below and the bytes. */
	uint64_t index;	   /**< Entry's index; of a mark, its file offset. */
	uint64_t term;	   /**< Entry's term; 0 in a mark. */
	uint32_t size;	   /**< Number of bytes that follow; 0 for a mark. */
	uint32_t kind;	   /**< RECORD_ENTRY or RECORD_SYNC_MARK. */
};

/** Adds an entry in memory that ends at an offset of its segment file. Errors:
 * ERROR_NO_MEMORY. */
enum error_code journal_push_entry(struct journal *journal, uint64_t term,
    const void *data, size_t size, size_t end);
/** Returns the checksum of a record with its bytes. */
uint64_t journal_checksum(const struct record_header *head, const void *data);
/** Returns the last segment; there must be one. */
struct journal_segment *journal_last_segment(const struct journal *journal);
/** Writes a segment's file name to NAME_SIZE_MAX bytes. */
void journal_format_segment_name(
    const struct journal_segment *segment, char *name);
/** Cuts the last segment file to @p size bytes, durably. Errors: those of the
 * disk. */
enum error_code journal_cut_last_segment(struct journal *journal, size_t size);

#endif
