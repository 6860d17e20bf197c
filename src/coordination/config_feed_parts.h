/**
 * @file config_feed_parts.h
 * What the two halves of the configuration feed share: the child's side
 * (config_feed.c) and the parent's side (config_feed_parent.c).
 */
#ifndef CONFIG_FEED_PARTS_H
#define CONFIG_FEED_PARTS_H

#include "coordination/config_feed.h"

#define FEED_DRIFT_DIVISOR 64 /**< Clocks differ by less than 1 in so many. */

/** What clocks may differ by over one lease, in milliseconds. */
#define FEED_DRIFT_MS(feed) ((feed)->settings.lease_ms / FEED_DRIFT_DIVISOR)

/** A child's process, as its parent knows it. Processes are told apart, since
 * what an earlier one passed on may still hold. */
struct feed_child {
	uint64_t key;		/**< Of the table: host and incarnation. */
	uint64_t incarnation;	/**< Of the process. */
	uint32_t host_id;	/**< Which host. */
	uint64_t ask_number;	/**< Of its latest ask. */
	uint64_t applied;	/**< By itself. */
	uint64_t subtree;	/**< By all below it. */
	uint64_t sent;		/**< Last entry pushed to it. */
	int64_t lease_until_ms; /**< No lease given to it lasts longer. */
	int64_t heard_ms;	/**< Its latest ask. */
};

/* Both sides (config_feed.c) */

/** A fresh reading of the clock. */
int64_t feed_now(const struct config_feed *feed);
/** Sends a message. */
void feed_send(struct config_feed *feed, uint32_t to_host,
    const struct feed_message *message);
/** Notes whether this host leads, and since when. */
void feed_check_leadership(struct config_feed *feed);

/* The parent's side (config_feed_parent.c) */

/** Answers a child's ask. Errors: ERROR_STALE, ERROR_TABLE_FULL. */
enum error_code feed_serve_ask(struct config_feed *feed, uint32_t from_host,
    const struct feed_message *ask);
/** Pushes new entries to all children. */
void feed_push_entries(struct config_feed *feed);
/** Forgets children that hold no lease and have not asked for long. */
void feed_drop_children(struct config_feed *feed);
/** Highest index applied here and by all children that may hold a lease. */
uint64_t feed_subtree_index(const struct config_feed *feed);
/** End of the lease that this host has by leading, INT64_MIN for none. */
int64_t feed_leader_lease_end(const struct config_feed *feed);
/** Lists whom this host may ask, the best first; returns how many. */
uint32_t feed_rank_parents(
    struct config_feed *feed, uint32_t ranking[HOSTS_MAX]);

#endif
