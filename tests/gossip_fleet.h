/**
 * @file gossip_fleet.h
 * A gossip map on each host of a simulated fleet, of which a share may send and
 * read only what builds before 23aba6a did, for the tests of fleets of real
 * size.
 *
 * Such an earlier host refuses checksums. It exchanges digests with one host
 * each 5 s, and hashes items by another function than later ones, so that the
 * digests of an earlier and a later host differ in all buckets that hold items.
 */
#ifndef GOSSIP_FLEET_H
#define GOSSIP_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/gossip.h"
#include "fake_net.h"

#define GOSSIP_FLEET_MAX 300 /**< Largest number of hosts. */

struct gossip_fleet;

/** A host of the fleet. */
struct gossip_fleet_host {
	struct gossip_fleet *fleet;  /**< Fleet of the host. */
	uint32_t id;		     /**< Host id, from 1. */
	bool is_earlier;	     /**< Speaks as builds before 23aba6a. */
	struct peer_port port;	     /**< Port to the simulated net. */
	struct gossip map;	     /**< The map that is tested. */
	struct random_source random; /**< Draws the hosts of digests. */
	int64_t next_digest_ms;	     /**< Next digest of an earlier host. */
};

/** How many hosts lack a change. */
struct gossip_fleet_behind {
	uint32_t earlier; /**< Earlier hosts. */
	uint32_t later;	  /**< Hosts of the present build. */
};

/** All hosts. */
struct gossip_fleet {
	struct fake_net net;				  /**< The net. */
	uint32_t host_count;				  /**< Hosts. */
	struct gossip_fleet_host hosts[GOSSIP_FLEET_MAX]; /**< By id. */
};

/** Starts a fleet whose links lose a share of the messages and of whose
 * hosts so many twelfths are earlier ones. Free it with gossip_fleet_stop(). */
struct gossip_fleet *gossip_fleet_start(
    uint32_t host_count, uint32_t earlier_twelfths, uint64_t seed, double loss);
/** Frees a fleet. */
void gossip_fleet_stop(struct gossip_fleet *fleet);
/** Lets time pass. */
void gossip_fleet_run(struct gossip_fleet *fleet, int64_t duration_ms);
/** Stores a change at the host with an index, from 0. */
void gossip_fleet_put(struct gossip_fleet *fleet, uint32_t index, uint64_t key,
    uint64_t major, uint64_t minor);
/** Returns how many hosts lack one of the keys 1 to @p count in a version of at
 * least @p major. */
struct gossip_fleet_behind gossip_fleet_behind(
    const struct gossip_fleet *fleet, uint64_t count, uint64_t major);
/** Returns the mean number of bytes that a host sends in a second, of the host
 * that sends most, while @p seconds pass. */
uint64_t gossip_fleet_bytes_per_s(struct gossip_fleet *fleet, int64_t seconds);

#endif
