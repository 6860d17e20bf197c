/**
 * @file gossip.h
 * A bounded key-value map that is replicated to all hosts by gossip; for each
 * key the highest version wins.
 *
 * In each round a host pushes its recent changes to a few other hosts; each
 * change is pushed a number of times that grows with the logarithm of the
 * number of hosts. Random pushes miss a host now and then, so each host compares
 * checksums of the map with another host several times a second. If these
 * differ, the two compare hashes of buckets, then the versions in the buckets
 * that differ, and send each other only the items that are older on the other
 * side.
 *
 * A change that must survive the loss of this host is confirmed before anybody
 * relies on it: gossip_confirm() waits until other hosts hold it.
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

/** Settings of a map. Zero stands for the default unless said otherwise. */
struct gossip_settings {
	/** First of the GOSSIP_KIND_COUNT consecutive message types of the
	 * map. */
	uint32_t first_type;
	uint32_t items_max;	   /**< Largest number of items; no default. */
	int64_t push_interval_ms;  /**< Time between pushes; default 200. */
	int64_t check_interval_ms; /**< Time between checks; default 400. */
	uint32_t fan_out; /**< Hosts pushed to in a round; default 4. */
	/** Approximate limit on the bytes of items in one message; default
	 * 1,200. */
	uint32_t push_bytes_max;
};

/** Callbacks to the owner of the map. */
struct gossip_ops {
	/** Called before a newer version from another host is stored; an error
	 * rejects it. */
	enum error_code (*apply)(void *context, uint64_t key,
	    const struct gossip_version *version, const void *body,
	    size_t size);
	/** Writes the ids of up to @p max hosts to gossip with and returns how
	 * many were written. */
	uint32_t (*list_hosts)(void *context, uint32_t *host_ids, uint32_t max);
	/** True if an item of this version stands for something that is over,
	 * which hosts forget at different times; may be NULL if none does. */
	bool (*is_final)(const struct gossip_version *version);
	void *context; /**< First argument of the callbacks. */
};

/** Largest number of other hosts that gossip_confirm() waits for. */
#define GOSSIP_COPIES_MAX 8u

/** Receives the outcome of gossip_confirm(), exactly once. */
struct gossip_callback {
	void (*run)(void *context, enum error_code error); /**< The function. */
	void *context; /**< First argument of run(). */
};

/** The hosts to gossip with in a random order. */
struct gossip_cycle {
	uint32_t *hosts; /**< Host ids, drawn anew at the end of the cycle. */
	uint32_t count;	 /**< Number of host ids. */
	uint32_t next;	 /**< Index of the next host. */
};

/** A replicated map. */
struct gossip {
	struct gossip_settings settings; /**< Settings with defaults applied. */
	struct gossip_ops ops;		 /**< Callbacks to the owner. */
	struct timer_service *timers;	 /**< Runs both periodic timers. */
	/** Chooses the hosts of messages and the first bucket compared. */
	struct random_source random;
	struct peer_port port; /**< Sends messages to other hosts. */
	GHashTable *items;     /**< Key to struct gossip_item. */
	GQueue push_queue;     /**< Items still to push, newest first. */
	uint32_t bucket_hashes[GOSSIP_BUCKET_COUNT]; /**< XOR of item hashes. */
	uint64_t checksum; /**< XOR of the hashes of items that aren't final. */
	struct gossip_cycle push_cycle; /**< Hosts to push to. */
	struct gossip_cycle
	    check_cycle; /**< Hosts to compare checksums with. */
	/** Checks to leave out between two checks, and how many of these are
	 * left. */
	uint32_t check_pause, check_pause_left;
	/** True if the map differed from another host's since the last check. */
	bool has_differed;
	/** True if a newer item came from another host since the last check. */
	bool has_received_items;
	/** Host that digests are being exchanged with, 0 for none. */
	uint32_t sync_host;
	/** Rounds left to wait for items from sync_host. */
	uint32_t sync_rounds_left;
	/** True if sync_host has sent a newer item since the last digest. */
	bool sync_received_items;
	/** Pending struct gossip_confirmation (gossip_confirm.c). */
	GQueue confirmations;
	struct handle round_timer; /**< Periodic timer for pushes. */
	struct handle check_timer; /**< Periodic timer for checks. */
};

/* Setup */

/** Initialises an empty map and starts its timers. Errors:
 * ERROR_INVALID_ARGUMENT, ERROR_NO_MEMORY, ERROR_TABLE_FULL (no timer left). */
enum error_code gossip_init(struct gossip *gossip,
    const struct gossip_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_port port, struct gossip_ops ops);
/** Stops the timers and frees the memory of the map. */
void gossip_finish(struct gossip *gossip);

/* Items */

/** Stores a change made on this host and spreads it. Errors: ERROR_STALE if
 * the map has that version or a higher one, ERROR_TABLE_FULL,
 * ERROR_TOO_LARGE, ERROR_NO_MEMORY. */
enum error_code gossip_put(struct gossip *gossip, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
/** Removes an item on this host only; other hosts may send it again. */
void gossip_drop(struct gossip *gossip, uint64_t key);
/** Returns the version of an item, NULL if the map does not have it. */
const struct gossip_version *gossip_version_of(
    const struct gossip *gossip, uint64_t key);

/** Pushes an item at once, and calls @p callback when @p copies other hosts hold
 * this version or a later one; if there are fewer hosts, when all do. It may be
 * called before this returns. It gets ERROR_TIMEOUT if they don't within
 * @p timeout_ms, and ERROR_SHUTTING_DOWN from gossip_finish(). Errors, without a
 * call: ERROR_NOT_FOUND, ERROR_TABLE_FULL. */
enum error_code gossip_confirm(struct gossip *gossip, uint64_t key,
    uint32_t copies, int64_t timeout_ms, struct gossip_callback callback);

/* Messages from other hosts */

/** Handles a message of one of the map's types. Errors: those of the
 * codec, ERROR_NOT_SUPPORTED for another type. */
enum error_code gossip_receive(
    struct gossip *gossip, uint32_t from_host, const void *body, size_t size);
/** Starts an exchange of digests with a host at once, for example because the
 * host has just joined. */
void gossip_sync_with(struct gossip *gossip, uint32_t host_id);
/** Compares checksums with a host at once, because messages to or from it may
 * have been lost. */
void gossip_check_with(struct gossip *gossip, uint32_t host_id);

#endif
