/**
 * @file config_feed.h
 * Hands the replicated configuration and its lease from the leader to all.
 *
 * Every host but the leader is the child of one parent: voters of the leader,
 * relays of a voter, the others of a relay (of a voter while hosts are few).
 * Children ask each renewal; parents push entries as soon as they apply them,
 * children report as soon as they have applied.
 *
 * The lease: the leader's own ends lease_ms after the start of the last round
 * that a quorum acknowledged. A child's ends at the time at which it asked
 * plus what its parent had left. A parent gives a lease only to a child that
 * has applied what the parent has already reported as applied below it, and
 * counts it until it has run out on the parent's clock. So a revision that
 * the leader calls in force is applied at every host that holds a lease.
 */
#ifndef CONFIG_FEED_H
#define CONFIG_FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "protocol/config_feed_message.h"
#include "protocol/peer_port.h"
#include "transport/timer.h"

/** Settings. Zero stands for the default. */
struct config_feed_settings {
	uint32_t host_id;	 /**< Own id. */
	uint64_t incarnation;	 /**< Own process. */
	int64_t lease_ms;	 /**< Lease duration; default 2,000. */
	int64_t renewal_ms;	 /**< Between asks; default 500. */
	uint32_t fan_out;	 /**< Children wanted; default 8. */
	uint32_t children_max;	 /**< Children taken; default 2 * fan_out. */
	uint32_t push_bytes_max; /**< Of one push; default 64 KiB. */
};

/** What a host knows of agreement. On a learner the leader is 0 and
 * is_leader false; entries and snapshot must work there too, for relays. */
struct config_feed_source {
	/** True if this host leads and has applied an entry of its term. */
	bool (*is_leader)(void *context);
	/** Term of the leader, or any number that grows with each leader. */
	uint64_t (*term)(void *context);
	/** The leader as this host knows it, 0 for none. */
	uint32_t (*leader_id)(void *context);
	/** Writes the voters' ids and returns how many. */
	uint32_t (*voters)(void *context, uint32_t *host_ids, uint32_t max);
	/** Start, on the own clock, of the latest round of heartbeats that a
	 * quorum acknowledged in this term; INT64_MIN for none. */
	int64_t (*confirmed_ms)(void *context);
	/** Index of the last entry applied here. */
	uint64_t (*applied_index)(void *context);
	/** Appends entries from @p from on, whole ones, at most about @p max
	 * bytes but at least one, and sets the last index. Errors:
	 * ERROR_NOT_FOUND if @p from has been compacted away. */
	enum error_code (*read_entries)(void *context, uint64_t from,
	    size_t max, GByteArray *bytes, uint64_t *last);
	/** Appends a snapshot and sets its index. */
	enum error_code (*read_snapshot)(
	    void *context, GByteArray *bytes, uint64_t *index);
	void *context; /**< Passed back. */
};

/** Where a learner puts what it is fed. Voters that are fed by consensus
 * have both NULL. */
struct config_feed_sink {
	/** Applies entries @p from to @p last. */
	enum error_code (*apply_entries)(void *context, uint64_t from,
	    uint64_t last, const void *bytes, size_t size);
	/** Replaces everything. */
	enum error_code (*install_snapshot)(
	    void *context, uint64_t index, const void *bytes, size_t size);
	void *context; /**< Passed back. */
};

/** Calls to the owner; the callbacks may be NULL. */
struct config_feed_ops {
	/** A fresh reading of the clock of the timer service; NULL takes
	 * timer_now(), which is enough in virtual time only. */
	int64_t (*clock_now)(void *context);
	/** Live hosts, own one not. */
	uint32_t (*list_hosts)(void *context, uint32_t *host_ids, uint32_t max);
	/** The lease ran out: no new work. */
	void (*lease_lost)(void *context);
	/** It is back. */
	void (*lease_regained)(void *context);
	/** The index in force grew. */
	void (*in_force)(void *context, uint64_t index);
	void *context; /**< Passed back. */
};

/** The feed of a host. */
struct config_feed {
	struct config_feed_settings settings; /**< With defaults put in. */
	struct config_feed_source source;     /**< Own copy. */
	struct config_feed_sink sink;	      /**< Own copy. */
	struct config_feed_ops ops;	      /**< Whom to call. */
	struct timer_service *timers;	      /**< For renewals. */
	struct random_source random;	      /**< Jitter. */
	struct peer_port port;		      /**< To other hosts. */
	GHashTable *children;		/**< struct feed_child, see source. */
	uint32_t parent;		/**< Host asked now, 0 for none. */
	uint32_t parent_try;		/**< Place in the ranking of parents. */
	int64_t parent_since_ms;	/**< Last time the lease was extended or
				     the parent changed. */
	uint64_t ask_number;		/**< Grows with each ask. */
	int64_t ask_ms[FEED_ASKS_KEPT]; /**< When each of the last was sent. */
	int64_t lease_until_ms;		/**< From a parent, own clock. */
	int64_t snapshot_pause_ms;	/**< No snapshot is asked before. */
	bool had_lease;			/**< As last told to the owner. */
	uint64_t floor_index;		/**< Reported up, or told in force. */
	uint64_t reported_index;	/**< In the last ask. */
	uint64_t in_force_index;	/**< Known in force. */
	uint64_t leader_term;	  /**< Term in which this host led last. */
	int64_t leader_since_ms;  /**< Since when, INT64_MIN if it does not. */
	GByteArray *snapshot_out; /**< Being served. */
	uint64_t snapshot_out_index; /**< Its index. */
	GByteArray *snapshot_in;     /**< Being fetched. */
	uint64_t snapshot_in_index;  /**< Its index. */
	struct handle renewal_timer; /**< Asks. */
	struct handle lease_timer;   /**< End of the lease. */
};

/* Setting up */

/** Starts to ask. Errors: ERROR_INVALID_ARGUMENT, ERROR_NO_MEMORY,
 * ERROR_TABLE_FULL (timers). */
enum error_code config_feed_init(struct config_feed *feed,
    const struct config_feed_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_port port, struct config_feed_source source,
    struct config_feed_sink sink, struct config_feed_ops ops);
/** Gives back memory. */
void config_feed_finish(struct config_feed *feed);

/* What the owner passes on */

/** Takes a message of PEER_CHANNEL_FEED. Errors: those of the codec,
 * ERROR_STALE. */
enum error_code config_feed_receive(struct config_feed *feed,
    uint32_t from_host, const void *body, size_t size);
/** The applied index of the source grew: passes entries on. */
void config_feed_applied(struct config_feed *feed);
/** Another leader, or this host leads or ceased to. */
void config_feed_leader_changed(struct config_feed *feed);

/* Lease and force */

/** Milliseconds that the lease has left at @p now_ms, 0 for none. */
int64_t config_feed_lease_remaining(
    const struct config_feed *feed, int64_t now_ms);
/** Highest index known to be in force everywhere; on the leader exact, on
 * others as told by their parents. */
uint64_t config_feed_in_force_index(struct config_feed *feed);

#endif
