/**
 * @file forward_peers.h
 * The entry hosts to which this host may forward requests while it reaches no
 * upstream itself.
 *
 * Each host says in its work reports where it takes forwarded requests, and
 * whether it has a path to the upstreams. Among those that have one, the host to
 * which this one has forwarded the fewest running requests is picked.
 */
#ifndef FORWARD_PEERS_H
#define FORWARD_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/random_source.h"
#include "protocol/work_message.h"

/** Time after which a host that hasn't reported counts as gone. */
#define FORWARD_PEER_EXPIRY_MS 30000
/** Hosts to which one request is forwarded, at most. */
#define FORWARD_HOSTS_MAX 3

/** A host that takes forwarded requests. */
struct forward_peer {
	uint32_t host_id; /**< Id of the host. */
	uint32_t running; /**< Requests forwarded to it that have not ended. */
	struct work_forwarding says; /**< What it said last. */
	int64_t received_ms;	     /**< When it said that. */
	int64_t avoid_until_ms; /**< Not picked until then after a failure. */
};

/** All of them. */
struct forward_peers {
	GHashTable *peers; /**< Host id to struct forward_peer. */
};

/** Initialises an empty table. */
void forward_peers_init(struct forward_peers *peers);
/** Frees the memory; does nothing on a zeroed struct. */
void forward_peers_finish(struct forward_peers *peers);
/** Stores what another host said at @p received_ms, by this host's clock. */
void forward_peers_record(struct forward_peers *peers, uint32_t host_id,
    const struct work_forwarding *says, int64_t received_ms);
/** Picks a host that is not among the @p tried_count ids in @p tried. Returns
 * NULL if there is none; the result is valid until the next record or pick. */
const struct forward_peer *forward_peers_pick(struct forward_peers *peers,
    const uint32_t *tried, uint32_t tried_count, struct random_source *random,
    int64_t now_ms);
/** Returns a host by its id, NULL if it is not known; valid as above. */
const struct forward_peer *forward_peers_find(
    const struct forward_peers *peers, uint32_t host_id);
/** Counts a request that is forwarded to a host. */
void forward_peers_begin(struct forward_peers *peers, uint32_t host_id);
/** Counts the end of such a request. */
void forward_peers_end(struct forward_peers *peers, uint32_t host_id);
/** Records that a host could not take a request. */
void forward_peers_avoid(
    struct forward_peers *peers, uint32_t host_id, int64_t now_ms);

#endif
