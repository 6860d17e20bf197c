/**
 * @file journal.h
 * Append-only log of entries in segment files, each entry with a checksum.
 *
 * Entries also stay in memory until a prefix of the log is dropped. After each
 * sync a sync mark is written behind the synced bytes. On opening, the marks
 * tell two kinds of invalid records apart. With a mark behind it, the record
 * was damaged after it had been synced: ERROR_CORRUPT. Without a mark it is
 * the torn end of a write that was never acknowledged, and is cut off.
 */
#ifndef JOURNAL_H
#define JOURNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/disk.h"

/** Largest number of bytes in an entry. */
#define JOURNAL_ENTRY_SIZE_MAX ((size_t)3 * 1024 * 1024)
/** Largest number of entries in the journal at a time. */
#define JOURNAL_ENTRIES_MAX (64u * 1024)
/** Bytes after which a new segment file is begun. */
#define JOURNAL_SEGMENT_SIZE ((size_t)4 * 1024 * 1024)

/** An entry of the log. */
struct journal_entry {
	uint64_t index;	     /**< Position in the log, rising by one. */
	uint64_t term;	     /**< Leader's term; never decreases. */
	size_t size;	     /**< Bytes of data. */
	unsigned char *data; /**< Contents, owned by the journal. */
};

/** A segment file. */
struct journal_segment {
	/** Index of the segment's first entry, also part of the file name. */
	uint64_t first_index;
	size_t size; /**< Bytes written to the file. */
};

/** The journal. */
struct journal {
	struct disk disk;    /**< Data folder of the segment files. */
	size_t segment_size; /**< Bytes after which a new segment begins. */
	/** Index of the last entry before the first one held: the end of the
	 * dropped prefix or of the snapshot. */
	uint64_t base_index;
	uint64_t base_term; /**< Term of the entry at base_index. */
	/** Offset at which the entry at base_index ends in its segment file. */
	size_t base_offset;
	uint64_t synced_index; /**< Index of the last durable entry. */
	size_t held_bytes;     /**< Bytes of the entries in memory. */
	GArray *entries;       /**< struct journal_entry, by index. */
	GArray *end_offsets;   /**< size_t: end of each entry in its file. */
	GArray *segments;      /**< struct journal_segment, by index. */
	GByteArray *unwritten; /**< Records not yet in the last segment file. */
	size_t synced_size;    /**< Durable bytes of the last segment. */
	/** Bytes of a torn write that were cut off on opening. */
	size_t torn_bytes;
	/** A segment file was created and its name isn't durable yet. */
	bool needs_folder_sync;
	/** Segment files were removed, and that isn't durable yet. */
	bool needs_removal_sync;
	/** All segment files are to be removed, see journal_reset(). */
	bool is_reset_pending;
};

/* Opening */

/** Reads the segment files and cuts off a torn end. Entries up to
 * @p base_index are covered by a snapshot and not kept. Errors:
 * ERROR_CORRUPT, ERROR_IO, ERROR_NO_MEMORY. */
enum error_code journal_open(struct journal *journal, const struct disk *disk,
    uint64_t base_index, uint64_t base_term);
/** Frees the journal's memory; entries that weren't synced are lost. */
void journal_close(struct journal *journal);

/* Reading */

/** Returns the index of the last entry; base_index if there is none. */
uint64_t journal_last_index(const struct journal *journal);
/** Returns the term of the last entry; base_term if there is none. */
uint64_t journal_last_term(const struct journal *journal);
/** Reads the term of a held entry or of the one at base_index. Errors:
 * ERROR_NOT_FOUND. */
enum error_code journal_term(
    const struct journal *journal, uint64_t index, uint64_t *term);
/** Returns an entry, or NULL if it isn't held. The pointer is valid until the
 * journal changes. */
const struct journal_entry *journal_get(
    const struct journal *journal, uint64_t index);

/* Changing */

/** Appends a copy of an entry, which is durable only after journal_sync().
 * Errors: ERROR_INVALID_ARGUMENT if @p term is below the last one,
 * ERROR_TOO_LARGE, ERROR_TABLE_FULL, ERROR_NO_MEMORY. */
enum error_code journal_append(
    struct journal *journal, uint64_t term, const void *data, size_t size);
/** Writes all appended entries with a single sync. Errors: ERROR_IO,
 * ERROR_DISK_FULL; then call journal_discard_unsynced() before any other
 * change. */
enum error_code journal_sync(struct journal *journal);
/** Recovers from any failed change: drops the entries that aren't durable,
 * finishes a removal of entries that was interrupted, and truncates the last
 * segment file to its durable bytes. Errors: ERROR_IO, ERROR_DISK_FULL; then
 * it may be called again. */
enum error_code journal_discard_unsynced(struct journal *journal);
/** Reads the last segment file back and checks that it holds its durable
 * records. Errors: ERROR_CORRUPT, ERROR_IO, ERROR_NO_MEMORY. */
enum error_code journal_check_last_segment(const struct journal *journal);
/** Removes the entries from @p index on, durably. Errors:
 * ERROR_INVALID_ARGUMENT if the entry at @p index was dropped already, without
 * a change; ERROR_IO, ERROR_DISK_FULL, then call journal_discard_unsynced(). */
enum error_code journal_truncate(struct journal *journal, uint64_t index);
/** Drops the entries up to @p index, which a snapshot covers, and removes
 * segment files that hold no others. After an error some of these files are
 * left and removed later. Errors: ERROR_IO, ERROR_DISK_FULL. */
enum error_code journal_drop_prefix(struct journal *journal, uint64_t index);
/** Drops all entries, after a snapshot up to @p base_index was installed.
 * Errors: ERROR_IO, ERROR_DISK_FULL; then call journal_discard_unsynced(). */
enum error_code journal_reset(
    struct journal *journal, uint64_t base_index, uint64_t base_term);

#endif
