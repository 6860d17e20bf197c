/**
 * @file membership.h
 * Which hosts there are: found from seeds, pinged, suspected, dead, left.
 *
 * Each period a host pings one other; without an answer it asks a few hosts
 * to ping in its place, then suspects. A suspect that does not refute within
 * the suspicion time is dead. News spreads by gossip (gossip.h). A host that
 * was frozen treats the time that it missed as if it had not passed: the
 * owner calls membership_step() after each reading of its links, and periods
 * without a step between them are not counted against others. A host that hears
 * of nobody at all, of two others or more, takes itself for cut off and
 * declares nobody dead. A refutation does not change the incarnation: it names
 * the process.
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

#define SEEDS_MAX	    16 /**< Seeds in the settings. */
#define MEMBERSHIP_TYPE_MAX 31 /**< Higher message types are not ours. */

/** Where a seed listens. */
struct membership_seed {
	char ip[HOST_IP_SIZE_MAX]; /**< IP number. */
	uint16_t port;		   /**< Port of its peer links. */
};

/** Settings. Zero stands for the default. */
struct membership_settings {
	struct host_record self; /**< Own record; its state is set here. */
	struct membership_seed seeds[SEEDS_MAX]; /**< Own one is skipped. */
	uint32_t seed_count;			 /**< In use. */
	int64_t period_ms;    /**< Between pings; default 1,000. */
	int64_t answer_ms;    /**< Until asking others; default 300. */
	int64_t suspicion_ms; /**< Base, grows with log10 of the number of
				   hosts; default 3,000. */
	int64_t forget_ms;    /**< Dead ones are kept; default 600,000. */
	int64_t seed_ms;      /**< Between dials of seeds; default 2,000. One
			 that knows other hosts dials once a period at most. */
	struct gossip_settings gossip; /**< Type and bound are set here. */
};

/** Calls to the owner; each may be NULL but for dial_seed and add_host. */
struct membership_ops {
	/** Dial a seed; membership_connected() follows. */
	void (*dial_seed)(void *context, const char *ip, uint16_t port);
	/** A host's address is known or has changed. */
	void (*add_host)(
	    void *context, uint32_t host_id, const char *ip, uint16_t port);
	/** Joined, also with a new incarnation after it was dead or left. */
	void (*joined)(void *context, const struct host_record *host);
	/** Alive and its record changed: flags, address, refuted suspicion. */
	void (*updated)(void *context, const struct host_record *host);
	/** It may be dead. */
	void (*suspected)(void *context, const struct host_record *host);
	/** It is dead for us. */
	void (*dead)(void *context, const struct host_record *host);
	/** It left as planned. */
	void (*left)(void *context, const struct host_record *host);
	/** Others had declared this host dead; it has refuted that, under the
	 * incarnation given (raised if another process had used it). */
	void (*was_declared_dead)(void *context, uint64_t incarnation);
	/** A message of a type above MEMBERSHIP_TYPE_MAX. */
	enum error_code (*receive_other)(
	    void *context, uint32_t from_host, const void *body, size_t size);
	void *context; /**< Passed back. */
};

/** Membership. */
struct membership {
	struct membership_settings settings; /**< With defaults put in. */
	struct membership_ops ops;	     /**< Whom to call. */
	struct timer_service *timers;	     /**< For periods. */
	struct random_source random;	     /**< Targets. */
	struct peer_port port;		     /**< To other hosts. */
	struct gossip gossip;		     /**< Spreads records. */
	struct host_record self;	     /**< As spread. */
	GHashTable *hosts;	    /**< Id to struct member, see source. */
	uint32_t *order;	    /**< Hosts in the order of pinging. */
	uint32_t order_count;	    /**< In use. */
	uint32_t order_next;	    /**< Next to ping. */
	uint32_t probe_host;	    /**< Pinged in this period, 0 for none. */
	uint64_t probe_number;	    /**< Grows with each period. */
	bool probe_answered;	    /**< It answered. */
	int64_t heard_ms;	    /**< Last message of any host. */
	uint64_t dead_refutation;   /**< Deaths of older ones were told. */
	uint64_t steps;		    /**< Counted by membership_step(). */
	uint64_t period_steps;	    /**< Value at the last period. */
	int64_t seeds_dialled_ms;   /**< Last time. */
	bool is_leaving;	    /**< membership_leave() was called. */
	struct handle period_timer; /**< Periods. */
	struct handle seed_timer;   /**< Dials while no other is known. */
	struct handle answer_timer; /**< Time to ask others. */
};

/* Setting up */

/** Starts to look for others. Errors: ERROR_INVALID_ARGUMENT,
 * ERROR_NO_MEMORY, ERROR_TABLE_FULL (timers). */
enum error_code membership_init(struct membership *membership,
    const struct membership_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_port port, struct membership_ops ops);
/** Gives back memory; says nothing to others. */
void membership_finish(struct membership *membership);
/** Tells others that this host leaves as planned. */
void membership_leave(struct membership *membership);

/* What the owner passes on */

/** Takes a message of PEER_CHANNEL_MEMBERSHIP. Errors: those of the codec. */
enum error_code membership_receive(struct membership *membership,
    uint32_t from_host, const void *body, size_t size);
/** A link to a host is up. */
void membership_connected(struct membership *membership, uint32_t host_id);
/** The links were read; call it once in each pass of the owner's loop. */
void membership_step(struct membership *membership);
/** Other seeds from now on; they are dialled at once. Those over SEEDS_MAX
 * are left out. */
void membership_set_seeds(struct membership *membership,
    const struct membership_seed *seeds, uint32_t count);
/** Sets own role flags (HOST_FLAG_*) and spreads them. */
void membership_set_flags(struct membership *membership, uint32_t flags);
/** Sets the incarnation of the own data folder and spreads it. */
void membership_set_voter(
    struct membership *membership, uint64_t voter_incarnation);

/* Looking up; records are valid until the next call of the module */

/** Own record. */
const struct host_record *membership_self(const struct membership *membership);
/** Record of a host, own one too; NULL if it is not known. */
const struct host_record *membership_find(
    const struct membership *membership, uint32_t host_id);
/** True for an alive or suspected host (of that incarnation, unless 0). */
bool membership_is_live(const struct membership *membership, uint32_t host_id,
    uint64_t incarnation);
/** Writes ids of live hosts, own one not; returns how many. */
uint32_t membership_list_live(
    const struct membership *membership, uint32_t *host_ids, uint32_t max);
/** Calls @p visit for each host known, own one too, in no order. */
void membership_each(const struct membership *membership,
    void (*visit)(void *visitor, const struct host_record *host),
    void *visitor);

#endif
