/**
 * @file membership.h
 * Maintains the list of hosts and their states: alive, suspected, dead, left.
 *
 * Hosts find each other through seeds. In each period a host pings one other
 * host. If no answer comes, it lets a few hosts ping in its place, and if that
 * brings no answer either, it suspects the host. A suspected host that does
 * not refute the suspicion in time is declared dead. Records spread by gossip
 * (gossip.h).
 *
 * A host that was frozen ignores the time that it missed: a period that comes late
 * by half of its length or more is not counted against other hosts. A host that
 * knows at least two live hosts and receives nothing from any host considers itself
 * cut off and declares nobody dead.
 *
 * A refutation increases the refutation number of the record, not the
 * incarnation, because the incarnation identifies the process.
 */
#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "coordination/gossip.h"
#include "protocol/membership_message.h"
#include "protocol/peer_port.h"
#include "transport/timer.h"

#define SEEDS_MAX 16 /**< Largest number of seeds in the settings. */
/** Highest message type that this module handles itself. */
#define MEMBERSHIP_TYPE_MAX 31

/** Address of a seed, a host that new hosts connect to first. */
struct membership_seed {
	char ip[HOST_IP_SIZE_MAX]; /**< IP address in text form. */
	uint16_t port;		   /**< Port for peer links. */
};

/** Settings. Zero stands for the default. */
struct membership_settings {
	/** Record of this host; membership_init() sets its state. */
	struct host_record self;
	/** Seeds; this host's own address is skipped. */
	struct membership_seed seeds[SEEDS_MAX];
	uint32_t seed_count;	/**< Number of seeds. */
	int64_t ping_period_ms; /**< Time between pings; default 1,000. */
	/** Time to wait for the answer to a ping before other hosts are asked
	 * to ping; default 300. */
	int64_t ping_timeout_ms;
	/** Time from suspicion to death, multiplied by log10 of the number of
	 * hosts if that is above 1; default 3,000. */
	int64_t suspicion_ms;
	/** Time for which a dead host is remembered; default 600,000. */
	int64_t dead_retention_ms;
	/** Shortest time between dials of the seeds; default 2,000. A host that
	 * knows other live hosts dials at most once per ping period. */
	int64_t seed_dial_interval_ms;
	/** Gossip settings; membership_init() sets the message type and the
	 * number of items. */
	struct gossip_settings gossip;
};

/** Callbacks to the owner. All but dial_seed and add_host may be NULL. */
struct membership_ops {
	/** Connects to a seed; once connected, the owner calls
	 * membership_on_connected(). */
	void (*dial_seed)(void *context, const char *ip, uint16_t port);
	/** The address of a host became known or changed. */
	void (*add_host)(
	    void *context, uint32_t host_id, const char *ip, uint16_t port);
	/** A host joined, perhaps again, with a new incarnation or after it was
	 * dead or had left. */
	void (*on_joined)(void *context, const struct host_record *host);
	/** The record of a live host changed: its flags, its address, or it
	 * refuted a suspicion. */
	void (*on_updated)(void *context, const struct host_record *host);
	/** A host is suspected to be dead. */
	void (*on_suspected)(void *context, const struct host_record *host);
	/** A host was declared dead, here or elsewhere. */
	void (*on_dead)(void *context, const struct host_record *host);
	/** A host left as planned. */
	void (*on_left)(void *context, const struct host_record *host);
	/** Other hosts had declared this host dead, which it has refuted.
	 * @p incarnation is this host's incarnation; it was raised if another
	 * process had used the host id. */
	void (*on_declared_dead)(void *context, uint64_t incarnation);
	/** Handles a message of a type above MEMBERSHIP_TYPE_MAX. */
	enum error_code (*receive_other)(
	    void *context, uint32_t from_host, const void *body, size_t size);
	void *context; /**< First argument of the callbacks. */
};

/** State of membership on this host. */
struct membership {
	struct membership_settings settings; /**< With defaults applied. */
	struct membership_ops ops;	     /**< Callbacks to the owner. */
	struct timer_service *timers;	     /**< Clock and timers. */
	/** Chooses which hosts to ping and in which order. */
	struct random_source random;
	struct peer_port port;	 /**< Sends messages to other hosts. */
	struct gossip gossip;	 /**< Replicates the host records. */
	struct host_record self; /**< This host's record, as published. */
	GHashTable *hosts;	 /**< Id of another host to struct member. */
	/** Host ids in the order in which they are pinged. */
	uint32_t *ping_order;
	uint32_t ping_order_count; /**< Number of ids in ping_order. */
	uint32_t ping_order_next;  /**< Index of the next host to ping. */
	uint32_t probe_host;	   /**< Host pinged in this period, or 0. */
	uint64_t probe_number;	   /**< Number of the ping, one per period. */
	bool probe_answered;	   /**< True if the ping was answered. */
	/** Time of the last message from any host. */
	int64_t last_received_ms;
	/** Lowest refutation number of a reported death that is still new; the
	 * owner was notified of earlier ones. */
	uint64_t death_reported_refutation;
	struct timer_lag period_lag; /**< How late periods come. */
	/** Time of the last dial of the seeds, INT64_MIN for none yet. */
	int64_t seeds_dialled_ms;
	bool is_leaving;	    /**< True after membership_leave(). */
	struct handle period_timer; /**< Periodic timer for pings. */
	/** Periodic timer that dials seeds while no other host is known. */
	struct handle seed_timer;
	/** Timer for ping_timeout_ms after each ping. */
	struct handle ping_timeout_timer;
};

/* Setup */

/** Starts membership: publishes this host's record and dials the seeds.
 * Errors: ERROR_INVALID_ARGUMENT, ERROR_NO_MEMORY, ERROR_TABLE_FULL (no timer
 * left). */
enum error_code membership_init(struct membership *membership,
    const struct membership_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_port port, struct membership_ops ops);
/** Stops the timers and frees memory without informing other hosts. */
void membership_finish(struct membership *membership);
/** Announces to other hosts that this host leaves as planned. */
void membership_leave(struct membership *membership);

/* Events and changes that the owner reports */

/** Handles a message of PEER_CHANNEL_MEMBERSHIP. Errors: those of the codec
 * and of receive_other(). */
enum error_code membership_receive(struct membership *membership,
    uint32_t from_host, const void *body, size_t size);
/** A link to a host was established. */
void membership_on_connected(struct membership *membership, uint32_t host_id);
/** The link to a host was lost and made again, or replaced: messages may have
 * been lost. Compares the list with that host's. */
void membership_on_reconnected(struct membership *membership, uint32_t host_id);
/** Replaces the seeds and, unless this host is leaving, dials them at once.
 * Seeds beyond SEEDS_MAX are ignored. */
void membership_set_seeds(struct membership *membership,
    const struct membership_seed *seeds, uint32_t count);
/** Sets the role flags of this host (HOST_FLAG_*) and publishes them. */
void membership_set_flags(struct membership *membership, uint32_t flags);
/** Sets the incarnation of this host's data folder and publishes it. */
void membership_set_voter_incarnation(
    struct membership *membership, uint64_t voter_incarnation);

/* Look-ups; returned records stay valid until the next call of the module */

/** Returns the record of this host. */
const struct host_record *membership_self(const struct membership *membership);
/** Returns the record of a host, which may be this one; NULL if the host is
 * not known. */
const struct host_record *membership_find(
    const struct membership *membership, uint32_t host_id);
/** Returns the highest level of the replicated state that a host has stated, a
 * number of state_level.h; 0 if the host is not known or states none. */
uint32_t membership_stated_level(
    const struct membership *membership, uint32_t host_id);
/** Returns the name of a host's build, "" if the host is not known or states
 * none. */
const char *membership_stated_build(
    const struct membership *membership, uint32_t host_id);
/** True if a host is alive or suspected and, unless @p incarnation is 0, has
 * that incarnation. */
bool membership_is_live(const struct membership *membership, uint32_t host_id,
    uint64_t incarnation);
/** True for a host that is alive or suspected. */
bool host_state_is_live(enum host_state state);
/** Writes up to @p max ids of live hosts other than this one and returns how
 * many were written. */
uint32_t membership_list_live(
    const struct membership *membership, uint32_t *host_ids, uint32_t max);
/** Calls @p visit for each known host, including this one, in no particular
 * order. */
void membership_for_each(const struct membership *membership,
    void (*visit)(void *visitor, const struct host_record *host),
    void *visitor);

#endif
