/**
 * @file gossip.h
 * A bounded map that all hosts come to agree on: the highest version wins.
 *
 * A change is pushed to a few hosts each round, a number of times that grows
 * with the logarithm of the number of hosts. What that misses is found by a
 * slow exchange of digests: hashes of buckets, then versions of the buckets
 * that differ, then only the items that are older on one side.
 */
#ifndef GOSSIP_H
#define GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "protocol/gossip_message.h"
#include "protocol/peer_port.h"
#include "transport/timer.h"

/** Settings. Zero stands for the default. */
struct gossip_settings {
	uint32_t first_type;	 /**< First of three message types. */
	uint32_t items_max;	 /**< Items held. No default. */
	int64_t round_ms;	 /**< Between pushes; default 200. */
	int64_t digest_ms;	 /**< Between digests; default 5,000. */
	uint32_t fan_out;	 /**< Hosts a round; default 4. */
	uint32_t push_bytes_max; /**< Items of one push; default 1,200. */
};

/** What the map serves. */
struct gossip_ops {
	/** A newer version came from another host; an error keeps it out. */
	enum error_code (*apply)(void *context, uint64_t key,
	    const struct gossip_version *version, const void *body,
	    size_t size);
	/** Writes up to @p max hosts to talk to and returns how many. */
	uint32_t (*list_hosts)(void *context, uint32_t *host_ids, uint32_t max);
	void *context; /**< Passed back. */
};

/** The map. */
struct gossip {
	struct gossip_settings settings; /**< With defaults put in. */
	struct gossip_ops ops;		 /**< Whom to call. */
	struct timer_service *timers;	 /**< For rounds. */
	struct random_source random;	 /**< Targets. */
	struct peer_port port;		 /**< To other hosts. */
	GHashTable *items;		 /**< Key to struct gossip_item. */
	GQueue news; /**< Items still to push, fresh first. */
	uint32_t bucket_hashes[GOSSIP_BUCKETS]; /**< XOR of item hashes. */
	uint32_t *targets;			/**< Hosts in shuffled order. */
	uint32_t target_count;			/**< In use. */
	uint32_t target_next;			/**< Next one to push to. */
	uint32_t sync_host;	    /**< Digests are exchanged with it. */
	uint32_t sync_rounds;	    /**< Rounds left to go on with that. */
	bool sync_progressed;	    /**< It has just sent something new. */
	struct handle round_timer;  /**< Pushes. */
	struct handle digest_timer; /**< Digests. */
};

/* Setting up */

/** Prepares an empty map. Errors: ERROR_INVALID_ARGUMENT,
 * ERROR_NO_MEMORY, ERROR_TABLE_FULL (timers). */
enum error_code gossip_init(struct gossip *gossip,
    const struct gossip_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_port port, struct gossip_ops ops);
/** Ends timers and gives back memory. */
void gossip_finish(struct gossip *gossip);

/* Items */

/** Puts an own change and spreads it. Errors: ERROR_STALE if the map holds
 * that version or a higher one, ERROR_TABLE_FULL, ERROR_TOO_LARGE. */
enum error_code gossip_put(struct gossip *gossip, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
/** Forgets an item here only. */
void gossip_drop(struct gossip *gossip, uint64_t key);
/** Version of an item, NULL if there is none. */
const struct gossip_version *gossip_version_of(
    const struct gossip *gossip, uint64_t key);

/* Other hosts */

/** Takes a message whose type is one of the three. Errors: those of the
 * codec, ERROR_NOT_SUPPORTED for another type. */
enum error_code gossip_receive(
    struct gossip *gossip, uint32_t from_host, const void *body, size_t size);
/** Starts an exchange of digests with a host now (it has just joined). */
void gossip_sync_with(struct gossip *gossip, uint32_t host_id);

#endif
