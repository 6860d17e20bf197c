/**
 * @file snapshot_file.h
 * File that holds a snapshot of the replicated state, replaced atomically.
 */
#ifndef SNAPSHOT_FILE_H
#define SNAPSHOT_FILE_H

#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "state/disk.h"
#include "state/voter_file.h"

#define SNAPSHOT_FILE_NAME "snapshot" /**< File name in the data folder. */

/** A snapshot of the replicated state after a log entry. */
struct snapshot {
	uint64_t index;		 /**< Index of the last log entry it covers. */
	uint64_t term;		 /**< Term of that entry. */
	int64_t time_ms;	 /**< Leader's time stamp of that entry. */
	struct voter_set voters; /**< Voters in force after that entry. */
	unsigned char *state;	 /**< Saved state, NULL if it has no bytes. */
	size_t state_size;	 /**< Bytes of state. */
};

/** Reads the snapshot and checks it; free it with snapshot_finish(). Errors:
 * ERROR_NOT_FOUND, ERROR_CORRUPT, ERROR_IO, ERROR_NO_MEMORY. */
enum error_code snapshot_file_read(
    const struct disk *disk, struct snapshot *snapshot);
/** Replaces the snapshot atomically and durably. Errors: ERROR_IO,
 * ERROR_DISK_FULL. */
enum error_code snapshot_file_write(
    const struct disk *disk, const struct snapshot *snapshot);
/** Frees the saved state. */
void snapshot_finish(struct snapshot *snapshot);

#endif
