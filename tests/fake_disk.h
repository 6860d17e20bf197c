/**
 * @file fake_disk.h
 * A data folder in memory that loses what was not synced, for tests.
 */
#ifndef FAKE_DISK_H
#define FAKE_DISK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/random_source.h"
#include "state/disk.h"

/** The folder. */
struct fake_disk {
	struct random_source random; /**< Decides what a crash tears. */
	GHashTable *names;	     /**< Name to file, as it is now. */
	GHashTable *synced_names;    /**< The same, as it lasts. */
	GQueue *folder_changes;	     /**< Not synced yet, oldest first. */
	size_t capacity;	     /**< Bytes it holds, 0 for no bound. */
	bool fails_sync;	     /**< Each sync gives ERROR_IO. */
	bool skips_sync;	     /**< Each sync lies: nothing lasts. */
	uint64_t syncs;		     /**< Syncs of files so far. */
	uint64_t written_bytes;	     /**< Appended or written so far. */
};

/** Starts an empty folder. */
void fake_disk_init(struct fake_disk *disk, uint64_t seed);
/** Gives back memory. */
void fake_disk_finish(struct fake_disk *disk);
/** The folder as a disk. */
struct disk fake_disk_disk(struct fake_disk *disk);
/** Loses what was not synced, but for a random and maybe torn part of it. */
void fake_disk_crash(struct fake_disk *disk);
/** Loses everything. */
void fake_disk_lose(struct fake_disk *disk);
/** Bytes of a file; 0 if there is none. */
size_t fake_disk_size(const struct fake_disk *disk, const char *name);
/** Flips a bit of a file, also in what lasts. */
void fake_disk_flip(struct fake_disk *disk, const char *name, size_t offset);

#endif
