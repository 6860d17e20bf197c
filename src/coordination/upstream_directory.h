/**
 * @file upstream_directory.h
 * Which upstreams there are, on every host, and the load of some.
 *
 * An upstream announces itself to any host, which becomes its home: the home
 * vouches for it as long as the upstream renews there and the home's process
 * lives, so renewals cost no gossip. Records spread by gossip. While its home
 * is dead an entry is kept for expire_ms, then it is gone until the home lives
 * again or another one takes it over. A renewal at another host is passed to
 * the home; a second one within renewal_ms, or one while the home is dead,
 * moves the home there. Leaving is final for an incarnation. Load reports go
 * to the capacity owner and to subscribers only.
 */
#ifndef UPSTREAM_DIRECTORY_H
#define UPSTREAM_DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "coordination/gossip.h"
#include "protocol/peer_port.h"
#include "protocol/upstream_message.h"
#include "state/upstream.h"
#include "transport/timer.h"

/** Settings. Zero stands for the default. */
struct upstream_directory_settings {
	uint32_t host_id;	       /**< Own id. */
	uint64_t incarnation;	       /**< Own process. */
	uint32_t upstreams_max;	       /**< Default UPSTREAMS_MAX. */
	int64_t renewal_ms;	       /**< Longest time between renewals at the
					home; default 10,000. */
	int64_t expire_ms;	       /**< After the home's death; default
					renewal_ms + 5,000. */
	int64_t forget_ms;	       /**< Gone ones are kept; default
					600,000. */
	int64_t subscription_ms;       /**< Of a load subscription; default
					10,000. */
	struct gossip_settings gossip; /**< Type and bound are set here. */
};

/** Calls to the owner; the callbacks may be NULL. */
struct upstream_directory_ops {
	/** True while that process of that host lives (membership). */
	bool (*is_live)(void *context, uint32_t host_id, uint64_t incarnation);
	/** Live hosts, for gossip. */
	uint32_t (*list_hosts)(void *context, uint32_t *host_ids, uint32_t max);
	/** Host that owns the upstream's capacity, 0 if not known. */
	uint32_t (*capacity_owner)(void *context, uint64_t upstream_id);
	/** New, or under a new incarnation. */
	void (*announced)(void *context, const struct upstream_record *record);
	/** Same incarnation, another sequence. */
	void (*changed)(void *context, const struct upstream_record *record);
	/** Takes no new work any more. */
	void (*leaving)(void *context, const struct upstream_record *record);
	/** Left or expired. */
	void (*gone)(void *context, const struct upstream_record *record);
	/** A load report came. */
	void (*load)(void *context, const struct upstream_load *load);
	void *context; /**< Passed back. */
};

/** The directory. */
struct upstream_directory {
	struct upstream_directory_settings settings; /**< With defaults. */
	struct upstream_directory_ops ops;	     /**< Whom to call. */
	struct timer_service *timers;		     /**< For expiry. */
	struct peer_port port;			     /**< To other hosts. */
	struct gossip gossip;			     /**< Spreads records. */
	GHashTable *entries; /**< Id to struct upstream_entry, see source. */
	GHashTable *unknown_homes; /**< Homes whose entries were refused. */
	bool has_synced;	   /**< Something came from another host. */
	uint64_t steps;		   /**< Counted by upstream_directory_step(). */
	uint64_t sweep_steps;	   /**< Value at the last sweep. */
	struct handle sweep_timer; /**< Expiry. */
};

/* Setting up */

/** Prepares an empty directory. Errors: ERROR_INVALID_ARGUMENT,
 * ERROR_NO_MEMORY, ERROR_TABLE_FULL (timers). */
enum error_code upstream_directory_init(struct upstream_directory *directory,
    const struct upstream_directory_settings *settings,
    struct timer_service *timers, uint64_t seed, struct peer_port port,
    struct upstream_directory_ops ops);
/** Gives back memory. */
void upstream_directory_finish(struct upstream_directory *directory);

/* What an upstream says to this host */

/** Announces or changes; this host becomes the home. Errors: ERROR_STALE for
 * an older incarnation or sequence, ERROR_TABLE_FULL,
 * ERROR_INVALID_ARGUMENT. */
enum error_code upstream_directory_announce(
    struct upstream_directory *directory, const struct upstream_record *record);
/** Renews. Errors: ERROR_NOT_FOUND (announce again), ERROR_STALE. */
enum error_code upstream_directory_renew(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation);
/** It takes no new work from now on. Errors: as above. */
enum error_code upstream_directory_leave(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation);
/** It is gone. Errors: as above. */
enum error_code upstream_directory_remove(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation);
/** Takes a load report. Errors: ERROR_NOT_FOUND, ERROR_STALE. */
enum error_code upstream_directory_report(
    struct upstream_directory *directory, const struct upstream_load *load);

/* What the owner passes on */

/** Takes a message of PEER_CHANNEL_LOAD, or of PEER_CHANNEL_MEMBERSHIP that
 * membership_ops.receive_other passes on. Errors: those of the codec. */
enum error_code upstream_directory_receive(struct upstream_directory *directory,
    uint32_t from_host, const void *body, size_t size);
/** This host's own incarnation was raised (was_declared_dead). */
void upstream_directory_set_incarnation(
    struct upstream_directory *directory, uint64_t incarnation);
/** A host joined (membership): asks it for what is still missing here. */
void upstream_directory_sync_with(
    struct upstream_directory *directory, uint32_t host_id);
/** The links and the HTTP requests were read; call it once in each pass of
 * the owner's loop: time without it (a frozen host) expires nothing. */
void upstream_directory_step(struct upstream_directory *directory);
/** Wants load reports of an upstream; repeat within subscription_ms. */
void upstream_directory_subscribe_load(
    struct upstream_directory *directory, uint64_t id);

/* Looking up; records are valid until the next call of the module */

/** Record of an upstream, gone ones not; NULL if there is none. */
const struct upstream_record *upstream_directory_find(
    const struct upstream_directory *directory, uint64_t id);
/** Latest load report that came here; age_ms counts on; false for none. */
bool upstream_directory_load(const struct upstream_directory *directory,
    uint64_t id, struct upstream_load *load);
/** Calls @p visit for each record, gone ones not, in no order. */
void upstream_directory_each(const struct upstream_directory *directory,
    void (*visit)(void *visitor, const struct upstream_record *record),
    void *visitor);

#endif
