/**
 * @file snapshot_file.h
 * The state machine's bytes up to an index, whole or not there at all.
 */
#ifndef SNAPSHOT_FILE_H
#define SNAPSHOT_FILE_H

#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "state/disk.h"
#include "state/voter_file.h"

#define SNAPSHOT_FILE_NAME "snapshot" /**< Name in the data folder. */

/** A snapshot. */
struct snapshot {
	uint64_t index;		 /**< Last entry that it covers. */
	uint64_t term;		 /**< That entry's term. */
	int64_t time_ms;	 /**< That entry's time stamp. */
	struct voter_set voters; /**< Who voted after that entry. */
	unsigned char *state;	 /**< Saved state machine; may be NULL. */
	size_t state_size;	 /**< Bytes of it. */
};

/** Reads and checks. Errors: ERROR_NOT_FOUND, ERROR_CORRUPT, ERROR_IO. */
enum error_code snapshot_file_read(
    const struct disk *disk, struct snapshot *snapshot);
/** Writes so that it lasts. Errors: ERROR_IO, ERROR_DISK_FULL. */
enum error_code snapshot_file_write(
    const struct disk *disk, const struct snapshot *snapshot);
/** Gives back the state's memory. */
void snapshot_finish(struct snapshot *snapshot);

#endif
