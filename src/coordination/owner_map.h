/**
 * @file owner_map.h
 * Which host owns the capacity of an upstream.
 *
 * Rendezvous hashing of host id and upstream id over the committed set of
 * live hosts, so a host that joins or leaves moves only its own upstreams.
 * Epochs grow by exactly one with each change of the set; whoever sees an
 * epoch skipped must take over everything anew.
 */
#ifndef OWNER_MAP_H
#define OWNER_MAP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

#define OWNER_NONE 0 /**< No host owns it; host ids start at 1. */

/** How an epoch followed the one before. */
enum owner_map_change {
	OWNER_MAP_UNCHANGED, /**< The same epoch once more. */
	OWNER_MAP_REMOVED,   /**< Hosts left and none joined. */
	OWNER_MAP_JOINED,    /**< A host joined; others may have left. */
	OWNER_MAP_SKIPPED,   /**< The first set, or epochs were skipped. */
};

/** The committed set. Zero is an empty set. */
struct owner_map {
	uint64_t epoch;		   /**< Of the set below, 0 before the first. */
	uint32_t host_count;	   /**< Hosts in the set. */
	uint32_t hosts[HOSTS_MAX]; /**< Their ids, ascending. */
};

/* Setting up */

/** Starts with an empty set. */
void owner_map_init(struct owner_map *map);
/** Takes a committed set. Errors: ERROR_STALE for an older epoch,
 * ERROR_INVALID_ARGUMENT for id 0, ERROR_TABLE_FULL. */
enum error_code owner_map_set(struct owner_map *map, uint64_t epoch,
    const uint32_t *hosts, uint32_t count, enum owner_map_change *change);

/* Looking up */

/** Host that owns an upstream's capacity, OWNER_NONE for an empty set. */
uint32_t owner_map_owner(const struct owner_map *map, uint64_t upstream_id);
/** True if a host is in the set. */
bool owner_map_has(const struct owner_map *map, uint32_t host_id);

#endif
