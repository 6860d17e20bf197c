/**
 * @file voter_file.h
 * File with the facts that a voter must not lose: its identity, term and vote.
 *
 * An incarnation is a random number drawn when a data folder is first used. A
 * voter is identified by host id and incarnation. A host whose disk was lost
 * thus returns as a different voter and can't vote under its old identity.
 */
#ifndef VOTER_FILE_H
#define VOTER_FILE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "state/disk.h"

#define VOTER_FILE_NAME "voter" /**< File name in the data folder. */

/** Identity of a voter. */
struct voter {
	uint32_t host_id;     /**< Host that votes. */
	uint64_t incarnation; /**< Incarnation of its data folder. */
};

/** The voters of a cluster. */
struct voter_set {
	/** Number of elements in use of voters. */
	uint32_t count;
	struct voter voters[VOTERS_MAX]; /**< The voters, in any order. */
};

/** Contents of the voter file. */
struct voter_file {
	uint64_t cluster_id; /**< Id of the cluster, from the settings. */
	struct voter self;   /**< Identity of this voter. */
	uint64_t term;	     /**< Latest term seen. */
	/** Host that this voter voted for in that term, 0 for none. */
	uint32_t voted_for;
};

/** Reads the file and checks it. Errors: ERROR_NOT_FOUND, ERROR_CORRUPT,
 * ERROR_IO, ERROR_NO_MEMORY. */
enum error_code voter_file_read(
    const struct disk *disk, struct voter_file *file);
/** Replaces the file atomically and durably. Errors: ERROR_IO,
 * ERROR_DISK_FULL. */
enum error_code voter_file_write(
    const struct disk *disk, const struct voter_file *file);

/** True if the set contains the voter with the same host and incarnation. */
bool voter_set_contains(const struct voter_set *set, struct voter voter);
/** Returns the voter with this host id, or NULL if the set has none. */
const struct voter *voter_set_find(
    const struct voter_set *set, uint32_t host_id);
/** Returns the number of voters that form a majority. */
uint32_t voter_set_quorum(const struct voter_set *set);

#endif
