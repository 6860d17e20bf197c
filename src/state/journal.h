/**
 * @file journal.h
 * Append-only log of entries in segment files, each entry with a checksum.
 *
 * Entries are also kept in memory until their prefix is dropped. After each
 * sync a mark is written behind the synced bytes: a bad record with a mark
 * behind it was damaged after it had been synced (ERROR_CORRUPT), one without
 * is the torn end of a write that was never acknowledged and is cut off.
 */
#ifndef JOURNAL_H
#define JOURNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/disk.h"

#define JOURNAL_ENTRY_SIZE_MAX ((size_t)3 * 1024 * 1024) /**< Bytes of one. */
#define JOURNAL_ENTRIES_MAX    (64u * 1024) /**< Entries held at a time. */
#define JOURNAL_SEGMENT_SIZE   ((size_t)4 * 1024 * 1024) /**< Bytes of a file. */

/** An entry. */
struct journal_entry {
	uint64_t index;	     /**< Grows by one. */
	uint64_t term;	     /**< Never falls. */
	size_t size;	     /**< Bytes of data. */
	unsigned char *data; /**< What it says. */
};

/** A segment file. */
struct journal_segment {
	uint64_t first_index; /**< Its first entry, part of its name. */
	size_t size;	      /**< Bytes in it. */
};

/** The journal. */
struct journal {
	struct disk disk;      /**< Where it is kept. */
	size_t segment_size;   /**< When to begin another file. */
	uint64_t base_index;   /**< Entry before the first that is held. */
	uint64_t base_term;    /**< Its term. */
	size_t base_offset;    /**< End of the base entry in its file. */
	uint64_t synced_index; /**< Last entry that lasts. */
	size_t held_bytes;     /**< Bytes of the entries in memory. */
	GArray *entries;       /**< struct journal_entry, by index. */
	GArray *offsets;       /**< size_t: end of each in its file. */
	GArray *segments;      /**< struct journal_segment, by index. */
	GByteArray *unwritten; /**< Bytes for the last segment. */
	size_t synced_size;    /**< Bytes of it that last. */
	size_t repaired_bytes; /**< Cut off when it was opened. */
	bool folder_dirty;     /**< A file's name is not synced yet. */
};

/* Opening */

/** Reads and repairs; entries up to @p base_index are in a snapshot.
 * Errors: ERROR_CORRUPT, ERROR_IO, ERROR_NO_MEMORY. */
enum error_code journal_open(struct journal *journal, const struct disk *disk,
    uint64_t base_index, uint64_t base_term);
/** Gives back memory; unsynced entries are lost. */
void journal_close(struct journal *journal);

/* Reading */

/** Index of the last entry, the base index when it is empty. */
uint64_t journal_last_index(const struct journal *journal);
/** Term of the last entry. */
uint64_t journal_last_term(const struct journal *journal);
/** Term of an entry or the base. Errors: ERROR_NOT_FOUND. */
enum error_code journal_term(
    const struct journal *journal, uint64_t index, uint64_t *term);
/** An entry, NULL if it is not held; valid until the next change. */
const struct journal_entry *journal_get(
    const struct journal *journal, uint64_t index);

/* Changing */

/** Copies an entry behind the last one; it lasts only after journal_sync().
 * Errors: ERROR_INVALID_ARGUMENT, ERROR_TOO_LARGE, ERROR_TABLE_FULL. */
enum error_code journal_append(
    struct journal *journal, uint64_t term, const void *data, size_t size);
/** Writes and syncs what was appended, once for all. Errors: ERROR_IO,
 * ERROR_DISK_FULL; call journal_forget_unsynced() before going on. */
enum error_code journal_sync(struct journal *journal);
/** After a failed sync: cuts the files and the entries back to what lasts. */
enum error_code journal_forget_unsynced(struct journal *journal);
/** Cuts off the entries from @p index on, and syncs that. */
enum error_code journal_truncate(struct journal *journal, uint64_t index);
/** Drops entries up to @p index, which a snapshot covers. */
enum error_code journal_drop_prefix(struct journal *journal, uint64_t index);
/** Drops everything: a snapshot up to @p base_index was installed. */
enum error_code journal_reset(
    struct journal *journal, uint64_t base_index, uint64_t base_term);

#endif
