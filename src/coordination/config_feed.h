/**
 * @file config_feed.h
 * Distribution tree for the replicated configuration and its lease.
 *
 * Every host except the leader is the child of one parent. Voters are children
 * of the leader, relays are children of a voter, and all other hosts are
 * children of a relay (of a voter while there are few hosts). A child sends a
 * renewal request at each renewal interval and as soon as it and its subtree
 * have applied newer entries. A parent pushes entries as soon as it has applied
 * them and the child has applied those sent before, so a child that is slow or
 * behind a slow link never has more than one push waiting for it, and gets in
 * the next one what has become newest meanwhile. A child to which a push was
 * costly waits a while before it reports it, so that a storm of changes leaves
 * its processor to its requests.
 *
 * Lease: the leader's lease ends lease_ms after the start of the latest
 * heartbeat round that a quorum acknowledged. A child's lease ends at the time
 * at which it sent its request plus the time that its parent had left. A parent
 * grants a lease only to a child whose subtree has applied at least the index
 * that the parent has already reported for its own subtree, and it takes the
 * child into account until that lease has expired on the parent's clock.
 * Therefore every host that holds a lease has applied the revision that the
 * leader declares in force.
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

/** Settings of a feed; zero means the default. */
struct config_feed_settings {
	uint32_t host_id;     /**< Id of this host. */
	uint64_t incarnation; /**< Differs at each start of the process. */
	int64_t lease_ms;     /**< Lease duration; default 2,000. */
	/** Interval of renewal requests; default 500. */
	int64_t renewal_interval_ms;
	/** Children per parent that the tree aims at; default 8. */
	uint32_t fan_out;
	/** Children that a parent accepts; default 2 * fan_out. */
	uint32_t children_max;
	/** Bytes of entries in one message; default 64 KiB. */
	uint32_t push_bytes_max;
};

/** Access to the replicated log and to leadership as this host knows them. On
 * a learner, leader_id() returns 0 and is_leader() false, but read_entries()
 * and read_snapshot() must work, since a learner may be a relay. */
struct config_feed_source {
	/** Returns true if this host leads and has applied an entry of its
	 * term. */
	bool (*is_leader)(void *context);
	/** Returns the leader's term, or any number that grows with each
	 * change of leader. */
	uint64_t (*term)(void *context);
	/** Returns the host id of the leader, or 0 if unknown. */
	uint32_t (*leader_id)(void *context);
	/** Writes the host ids of up to @p max voters and returns their
	 * number. */
	uint32_t (*voters)(void *context, uint32_t *host_ids, uint32_t max);
	/** Returns the time on this host's clock at which the latest heartbeat
	 * round began that a quorum acknowledged in this term; INT64_MIN for
	 * none. */
	int64_t (*confirmed_ms)(void *context);
	/** Returns the index of the last entry applied on this host. */
	uint64_t (*applied_index)(void *context);
	/** Appends whole entries to @p bytes, starting at index @p from: at
	 * least one, and no more than about @p max bytes. Sets @p last to the
	 * index of the last one. Errors: ERROR_NOT_FOUND if the entry @p from
	 * has been compacted. */
	enum error_code (*read_entries)(void *context, uint64_t from,
	    size_t max, GByteArray *bytes, uint64_t *last);
	/** Appends a snapshot of the state to @p bytes and sets @p index to the
	 * last entry that it includes. */
	enum error_code (*read_snapshot)(
	    void *context, GByteArray *bytes, uint64_t *index);
	void *context; /**< First argument of each function above. */
};

/** Applies entries and snapshots from the feed on a learner. On a voter both
 * functions are NULL, since it gets the log by consensus. */
struct config_feed_sink {
	/** Applies the entries with indexes @p from to @p last, both
	 * included. */
	enum error_code (*apply_entries)(void *context, uint64_t from,
	    uint64_t last, const void *bytes, size_t size);
	/** Replaces the whole state by the snapshot at @p index. */
	enum error_code (*install_snapshot)(
	    void *context, uint64_t index, const void *bytes, size_t size);
	void *context; /**< First argument of each function above. */
};

/** Functions that the feed calls in its owner. All but list_hosts may be
 * NULL. */
struct config_feed_ops {
	/** Writes the ids of up to @p max live hosts, without this host, and
	 * returns their number. */
	uint32_t (*list_hosts)(void *context, uint32_t *host_ids, uint32_t max);
	/** Called when the lease has expired: the host must start no new
	 * work. */
	void (*on_lease_lost)(void *context);
	/** Called when the host holds a lease again. */
	void (*on_lease_regained)(void *context);
	/** Called when the index in force has grown to @p index. */
	void (*on_in_force)(void *context, uint64_t index);
	void *context; /**< First argument of each function above. */
};

/** Configuration feed of one host. */
struct config_feed {
	struct config_feed_settings settings; /**< With defaults filled in. */
	struct config_feed_source source;     /**< Log and leadership. */
	struct config_feed_sink sink;	      /**< Applies what is received. */
	struct config_feed_ops ops;	      /**< Callbacks to the owner. */
	struct timer_service *timers;	      /**< Runs the two timers below. */
	struct random_source random;	      /**< Jitter of the renewals. */
	struct peer_port port;		      /**< Sends to other hosts. */
	GHashTable *children; /**< Key of a child to its struct feed_child. */
	uint32_t parent;      /**< Host id of the parent, or 0 for none. */
	/** Position of the parent in the ranking of possible parents. */
	uint32_t parent_rank;
	/** When the lease was last extended or the parent last changed. */
	int64_t parent_progress_ms;
	/** End of the lease when it was last extended, INT64_MIN at first. */
	int64_t extended_until_ms;
	/** Parents that were replaced since the lease was last extended. */
	uint32_t failed_parents;
	uint64_t request_number; /**< Number of the latest renewal request. */
	/** Send times of the latest requests, by number modulo the size. */
	int64_t request_sent_ms[FEED_REQUEST_TIMES_KEPT];
	/** End of the lease from a parent, on this host's clock. */
	int64_t lease_until_ms;
	/** No snapshot is accepted before, since one failed to install. */
	int64_t snapshot_retry_ms;
	bool had_lease; /**< Lease state last reported to the owner. */
	/** Highest index reported to the parent or known to be in force. A
	 * child whose subtree is behind it gets no lease. */
	uint64_t lease_floor_index;
	uint64_t reported_index; /**< Subtree index in the latest request. */
	uint64_t reported_applied_index; /**< Applied index in that request. */
	uint64_t in_force_index; /**< Highest index known to be in force. */
	uint64_t leader_term;	 /**< Latest term that this host led. */
	/** When this host began to lead, or INT64_MIN if it does not lead. */
	int64_t leader_since_ms;
	GByteArray *outgoing_snapshot;	  /**< Snapshot served to children. */
	uint64_t outgoing_snapshot_index; /**< Last entry in the snapshot. */
	GByteArray *incoming_snapshot;	  /**< Snapshot received so far. */
	uint64_t incoming_snapshot_index; /**< Last entry in the snapshot. */
	struct handle renewal_timer;	  /**< Sends the next request. */
	struct handle lease_timer;	  /**< Expiry of the lease. */
	/** No progress is reported before, so that the parent sends nothing. */
	int64_t report_pause_until_ms;
	struct handle report_timer; /**< Ends that pause. */
};

/* Setting up */

/** Initialises the feed and schedules its first renewal request. Errors:
 * ERROR_INVALID_ARGUMENT if the host id, source.is_leader or ops.list_hosts is
 * missing. */
enum error_code config_feed_init(struct config_feed *feed,
    const struct config_feed_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_port port, struct config_feed_source source,
    struct config_feed_sink sink, struct config_feed_ops ops);
/** Cancels the timers and frees the memory. */
void config_feed_finish(struct config_feed *feed);

/* Events that the owner passes on */

/** Handles a message received on PEER_CHANNEL_FEED. Errors: those of
 * feed_message_read() and of the sink, ERROR_STALE for an outdated message,
 * ERROR_TABLE_FULL for a request that was refused. */
enum error_code config_feed_receive(struct config_feed *feed,
    uint32_t from_host, const void *body, size_t size);
/** Handles a growth of the source's applied index: pushes the new entries to
 * the children and reports progress to the parent. */
void config_feed_on_applied(struct config_feed *feed);
/** Handles a change of leader, including that this host began or ceased to
 * lead. */
void config_feed_on_leader_changed(struct config_feed *feed);
/** The link to a host was lost and made again, or replaced: messages may have
 * been lost. Asks a parent at once for what is missing, and sends it to a
 * child. */
void config_feed_on_reconnected(struct config_feed *feed, uint32_t host_id);

/* Lease and index in force */

/** Returns the milliseconds that the lease is still valid at @p now_ms, or 0 if
 * there is none. */
int64_t config_feed_lease_remaining(
    const struct config_feed *feed, int64_t now_ms);
/** Returns the highest index known to be in force: applied on every host that
 * holds a lease. It is exact on the leader; other hosts learn it from their
 * parents, so it may be behind. */
uint64_t config_feed_in_force_index(struct config_feed *feed);

#endif
