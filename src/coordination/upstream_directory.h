/**
 * @file upstream_directory.h
 * Replicated list of all upstreams, and the load reports of some of them.
 *
 * An upstream announces itself to any host, which becomes its home. The record
 * stays valid as long as the upstream sends renewals to the home and the home's
 * process lives, so renewals need no gossip. Records spread by gossip.
 *
 * If the home dies, the record is kept for expire_ms. After that the upstream
 * counts as gone until the home is live again or another host becomes the home.
 * A renewal at another host is passed on to the home. A second renewal there
 * within renewal_ms, or one while the home is dead, makes that host the home.
 * A host that was frozen lets nothing expire for the time that it missed.
 * Leaving is final for an incarnation. Load reports are sent only to the host
 * that owns the upstream's capacity and to subscribers.
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

/** Settings of the directory. Zero stands for the default. */
struct upstream_directory_settings {
	uint32_t host_id;     /**< Id of this host; no default. */
	uint64_t incarnation; /**< Incarnation of this host's process. */
	/** Largest number of upstreams; default UPSTREAMS_MAX. */
	uint32_t upstreams_max;
	/** Longest time between renewals at the home; default 10,000. */
	int64_t renewal_ms;
	/** Time for which a record outlives its home; default renewal_ms +
	 * 5,000. */
	int64_t expire_ms;
	/** Time for which an upstream that is gone is remembered; default
	 * 600,000. */
	int64_t gone_retention_ms;
	/** Lifetime of a subscription to load reports; default 10,000. */
	int64_t subscription_ms;
	/** Gossip settings; upstream_directory_init() sets the message type and
	 * the number of items. */
	struct gossip_settings gossip;
};

/** Callbacks to the owner. Those whose names begin with on_ may be NULL. */
struct upstream_directory_ops {
	/** True while the process of a host with that incarnation lives,
	 * according to membership. */
	bool (*is_live)(void *context, uint32_t host_id, uint64_t incarnation);
	/** Writes the ids of up to @p max live hosts to gossip with and returns
	 * how many were written. */
	uint32_t (*list_hosts)(void *context, uint32_t *host_ids, uint32_t max);
	/** Returns the host that owns an upstream's capacity, 0 if unknown. */
	uint32_t (*capacity_owner)(void *context, uint64_t upstream_id);
	/** An upstream is new, was gone before, or has a new incarnation. */
	void (*on_announced)(
	    void *context, const struct upstream_record *record);
	/** The record of an upstream changed within its incarnation. */
	void (*on_changed)(void *context, const struct upstream_record *record);
	/** An upstream is leaving and takes no more new work. */
	void (*on_leaving)(void *context, const struct upstream_record *record);
	/** An upstream left or its record expired. */
	void (*on_gone)(void *context, const struct upstream_record *record);
	/** A load report arrived. */
	void (*on_load)(void *context, const struct upstream_load *load);
	void *context; /**< First argument of the callbacks. */
};

/** State of the directory on this host. */
struct upstream_directory {
	/** Settings with defaults applied. */
	struct upstream_directory_settings settings;
	struct upstream_directory_ops ops; /**< Callbacks to the owner. */
	struct timer_service *timers;	   /**< Clock and sweep timer. */
	struct peer_port port; /**< Sends messages to other hosts. */
	struct gossip gossip;  /**< Replicates the records. */
	GHashTable *entries;   /**< Upstream id to struct upstream_entry. */
	/** Hosts that are not known to be live and whose upstreams were
	 * therefore rejected; used as a set. */
	GHashTable *unknown_homes;
	/** True once an entry has been accepted from another host. */
	bool has_received_entry;
	struct timer_lag sweep_lag; /**< How late sweeps come. */
	struct handle sweep_timer;  /**< Periodic timer for expiry. */
};

/* Setup */

/** Initialises an empty directory and starts its timers. Errors:
 * ERROR_INVALID_ARGUMENT, ERROR_NO_MEMORY, ERROR_TABLE_FULL (no timer left). */
enum error_code upstream_directory_init(struct upstream_directory *directory,
    const struct upstream_directory_settings *settings,
    struct timer_service *timers, uint64_t seed, struct peer_port port,
    struct upstream_directory_ops ops);
/** Stops the timers and frees the memory of the directory. */
void upstream_directory_finish(struct upstream_directory *directory);

/* Requests of upstreams to this host */

/** Announces an upstream or changes its record; this host becomes the home. An
 * unchanged announcement counts as a renewal, and an older one that says that the
 * upstream is leaving counts for that. Errors: ERROR_STALE for an older
 * incarnation or sequence or if this incarnation is gone, ERROR_TABLE_FULL,
 * ERROR_INVALID_ARGUMENT. */
enum error_code upstream_directory_announce(
    struct upstream_directory *directory, const struct upstream_record *record);
/** Renews an upstream's record. Errors: ERROR_NOT_FOUND if the upstream must
 * announce itself again, ERROR_STALE for an older incarnation. */
enum error_code upstream_directory_renew(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation);
/** Marks an upstream as leaving, so that it gets no new work. Errors: those of
 * upstream_directory_renew(). */
enum error_code upstream_directory_leave(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation);
/** Marks an incarnation of an upstream as gone, and every earlier one with it. It
 * may be later than the known one: its announcement may still be on its way, and
 * is outdated when it arrives. 0 stands for the known one. Errors:
 * ERROR_NOT_FOUND for an upstream that was never announced here, ERROR_STALE for
 * an earlier incarnation, ERROR_TABLE_FULL. */
enum error_code upstream_directory_remove(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation);
/** Calls @p callback when @p copies other hosts know the present state of an
 * upstream, or another end of gossip_confirm() has come. An upstream that is
 * gone is included. Errors, without a call: ERROR_NOT_FOUND, ERROR_TABLE_FULL. */
enum error_code upstream_directory_confirm(struct upstream_directory *directory,
    uint64_t id, uint32_t copies, int64_t timeout_ms,
    struct gossip_callback callback);
/** Stores a load report of an upstream and sends it on. Errors:
 * ERROR_NOT_FOUND, ERROR_STALE. */
enum error_code upstream_directory_report(
    struct upstream_directory *directory, const struct upstream_load *load);

/* Events that the owner reports */

/** Handles a message of PEER_CHANNEL_LOAD, or one of PEER_CHANNEL_MEMBERSHIP
 * that membership passes to membership_ops.receive_other(). Errors: those of
 * the codec, ERROR_NOT_SUPPORTED for another type; for a load report also those
 * of upstream_directory_report(). */
enum error_code upstream_directory_receive(struct upstream_directory *directory,
    uint32_t from_host, const void *body, size_t size);
/** Sets this host's incarnation after membership raised it
 * (membership_ops.on_declared_dead()), and becomes the home of the same
 * upstreams again under the new incarnation. */
void upstream_directory_set_incarnation(
    struct upstream_directory *directory, uint64_t incarnation);
/** A host joined. Exchanges digests with it if entries are missing: none came
 * from another host yet, or some with that host as their home were rejected. */
void upstream_directory_sync_with(
    struct upstream_directory *directory, uint32_t host_id);
/** The link to a host was lost and made again, or replaced: messages may have
 * been lost.
 * Compares the list with that host's. */
void upstream_directory_on_reconnected(
    struct upstream_directory *directory, uint32_t host_id);
/** Subscribes to load reports of an upstream; the subscription must be repeated
 * within subscription_ms. */
void upstream_directory_subscribe_load(
    struct upstream_directory *directory, uint64_t id);

/* Look-ups; returned records stay valid until the next call of the module */

/** Returns the record of an upstream, NULL if it is unknown or gone. */
const struct upstream_record *upstream_directory_find(
    const struct upstream_directory *directory, uint64_t id);
/** Returns true if an upstream has left for good, rather than being unknown or
 * expired. */
bool upstream_directory_has_left(
    const struct upstream_directory *directory, uint64_t id);
/** Copies the latest load report received here, with age_ms as of now. Returns
 * false if there is none. */
bool upstream_directory_load(const struct upstream_directory *directory,
    uint64_t id, struct upstream_load *load);
/** Calls @p visit for each record whose upstream is not gone, in no particular
 * order. */
void upstream_directory_for_each(const struct upstream_directory *directory,
    void (*visit)(void *visitor, const struct upstream_record *record),
    void *visitor);

#endif
