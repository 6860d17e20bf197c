/**
 * @file owner_map.h
 * Maps each upstream to the host that owns its capacity.
 *
 * The owner is chosen by rendezvous hashing of host id and upstream id over
 * the committed set of live hosts, so when a host joins or leaves, only its own
 * upstreams move. The epoch of the set increases by exactly one with each
 * change. A host that sees an epoch skipped does not know what changed, so it
 * must take over all its upstreams again.
 */
#ifndef OWNER_MAP_H
#define OWNER_MAP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

#define OWNER_NONE 0 /**< No owner; host ids start at 1. */

/** How a committed set differs from the one before. */
enum owner_map_change {
	OWNER_MAP_UNCHANGED, /**< The set has the same epoch. */
	OWNER_MAP_REMOVED,   /**< Hosts left and none joined. */
	OWNER_MAP_JOINED,    /**< A host joined; others may have left. */
	OWNER_MAP_SKIPPED,   /**< First set, or epochs were skipped. */
};

/** The committed set of live hosts. All zero is the empty set. */
struct owner_map {
	uint64_t epoch;		   /**< Epoch of the set, 0 before the first. */
	uint32_t host_count;	   /**< Number of hosts in the set. */
	uint32_t hosts[HOSTS_MAX]; /**< Host ids in ascending order. */
};

/* Setup */

/** Initialises the map with an empty set. */
void owner_map_init(struct owner_map *map);
/** Replaces the set by a committed one, in any order, and sets @p change.
 * Errors: ERROR_STALE for epoch 0 or an older epoch, ERROR_INVALID_ARGUMENT for
 * host id 0, ERROR_TABLE_FULL for more than HOSTS_MAX hosts. */
enum error_code owner_map_set(struct owner_map *map, uint64_t epoch,
    const uint32_t *hosts, uint32_t count, enum owner_map_change *change);

/* Look-ups */

/** Returns the host that owns an upstream's capacity, OWNER_NONE if the set is
 * empty. */
uint32_t owner_map_owner(const struct owner_map *map, uint64_t upstream_id);
/** True if a host is in the set. */
bool owner_map_has(const struct owner_map *map, uint32_t host_id);

#endif
