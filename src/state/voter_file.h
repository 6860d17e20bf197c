/**
 * @file voter_file.h
 * What a voter must never forget: who it is, its term and its vote.
 *
 * An incarnation is a random number drawn when a data folder is first used.
 * Voters are named by host id and incarnation, so a host whose disk was lost
 * comes back as somebody else and cannot vote under its old identity.
 */
#ifndef VOTER_FILE_H
#define VOTER_FILE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "state/disk.h"

#define VOTER_FILE_NAME "voter" /**< Name in the data folder. */

/** A voter's name. */
struct voter {
	uint32_t host_id;     /**< Its host. */
	uint64_t incarnation; /**< Of its data folder. */
};

/** Who votes. */
struct voter_set {
	uint32_t count;			 /**< Voters in use below. */
	struct voter voters[VOTERS_MAX]; /**< In no order. */
};

/** The file. */
struct voter_file {
	uint64_t cluster_id; /**< From the settings. */
	struct voter self;   /**< Whose file this is. */
	uint64_t term;	     /**< Latest term seen. */
	uint32_t vote;	     /**< Host voted for in it, 0 for none. */
};

/** Reads and checks. Errors: ERROR_NOT_FOUND, ERROR_CORRUPT, ERROR_IO. */
enum error_code voter_file_read(
    const struct disk *disk, struct voter_file *file);
/** Writes so that it lasts. Errors: ERROR_IO, ERROR_DISK_FULL. */
enum error_code voter_file_write(
    const struct disk *disk, const struct voter_file *file);

/** True if the set holds that very voter. */
bool voter_set_has(const struct voter_set *set, struct voter voter);
/** The voter on a host, NULL if the set has none there. */
const struct voter *voter_set_find(
    const struct voter_set *set, uint32_t host_id);
/** How many voters make a quorum. */
uint32_t voter_set_quorum(const struct voter_set *set);

#endif
