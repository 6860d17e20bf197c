/**
 * @file grant_owner.h
 * The owner side of capacity grants: grants the capacity of the upstreams that
 * this host owns to the hosts that send requests there.
 *
 * Each owned upstream has a ledger. For each holder it counts an upper bound of
 * the work that may be running: the largest amount offered until the holder
 * acknowledges a smaller one, and at least what it reports as used. Offers are
 * made only while the sum of these stays within the warm-up bound. No grant
 * lasts longer than the owner's configuration lease.
 *
 * A new owner first waits until no grant of an older owner can be in force, or
 * gets the old owner's ledger. Without a ledger, it then queries all live hosts
 * for what they run. It grants nothing until all have answered or the longest
 * time that a request runs has passed.
 *
 * The caller must advance the timer service before it passes in a message.
 */
#ifndef GRANT_OWNER_H
#define GRANT_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "coordination/owner_map.h"
#include "coordination/warmup.h"
#include "protocol/peer_port.h"
#include "state/upstream.h"
#include "transport/timer.h"

struct grant_reader;

/** Settings; see grant_owner_default_settings(). */
struct grant_owner_settings {
	uint32_t host_id;	   /**< Id of this host. */
	int64_t grant_ms;	   /**< Duration of a grant. */
	int64_t config_lease_ms;   /**< Longest configuration lease. */
	int64_t request_max_ms;	   /**< Longest time that a request runs. */
	int64_t orphan_drain_ms;   /**< Time that engines need to end requests
				      of a host removed from the live set. */
	int64_t query_interval_ms; /**< Interval between repeated queries. */
	int64_t tick_ms; /**< Interval of expiry, repeats and division. */
	uint32_t upstreams_max; /**< Largest number of known upstreams. */
	struct warmup_settings warmup; /**< How warm-up bounds rise. */
};

/** Counters for metrics. */
struct grant_owner_counters {
	uint64_t offers;      /**< Offers sent. */
	uint64_t revocations; /**< Offers that lowered an amount. */
	uint64_t takeovers;   /**< Upstreams that this host began to own. */
	uint64_t ledgers_received; /**< Takeovers with the old ledger. */
	uint64_t waited_out;	   /**< Takeovers by waiting and querying. */
	uint64_t warmup_cuts; /**< Warm-up bounds cut to the cold limits. */
};

/** State of an upstream for display to operators. */
struct grant_owner_view {
	bool is_owned;		      /**< This host owns the upstream. */
	bool is_granting;	      /**< Takeover is done; grants are made. */
	struct capacity_amount bound; /**< Warm-up bound over all hosts. */
	struct capacity_amount counted; /**< Upper bound of running work. */
	uint32_t holders;		/**< Number of hosts in the ledger. */
};

/** State of the owner side. */
struct grant_owner {
	struct grant_owner_settings settings; /**< Copy of the settings. */
	struct timer_service *timers;	      /**< Clock and timers in use. */
	struct peer_port port;	     /**< Sends messages to other hosts. */
	const struct owner_map *map; /**< Map of owners; the caller's. */
	GHashTable *upstreams;	     /**< All known upstreams by id. */
	GPtrArray *owned; /**< Upstreams owned or being handed over. */
	GHashTable *answered_queries; /**< Last query that each host answered,
					   by host id. */
	int64_t lease_until_ms; /**< When the configuration lease expires. */
	int64_t older_grants_end_ms; /**< No older owner's grant is in force
					  after this time. */
	int64_t orphans_end_ms; /**< Engines have ended all requests of removed
				     hosts by then. */
	int64_t next_query_ms;	/**< When to repeat the query. */
	uint64_t query_number;	/**< Number of the last query. */
	uint64_t offer_number;	/**< Number of the last offer. */
	bool is_stopping;	/**< No more grants are made or renewed. */
	struct handle tick_timer;	      /**< Timer of tick_ms. */
	struct grant_owner_counters counters; /**< Counters for metrics. */
};

/* Setting up */

/** Returns the default settings of a host. */
struct grant_owner_settings grant_owner_default_settings(uint32_t host_id);
/** Initialises the owner; @p map must outlive it. Errors:
 * ERROR_INVALID_ARGUMENT, those of timer_subscribe_every(). */
enum error_code grant_owner_init(struct grant_owner *owner,
    const struct grant_owner_settings *settings, struct timer_service *timers,
    struct peer_port port, const struct owner_map *map);
/** Frees the owner; sends nothing. */
void grant_owner_finish(struct grant_owner *owner);

/* Events to report to the owner; called on the coordination thread */

/** Sets when the configuration lease expires; 0 when it is lost. The lease may
 * be set only after the map has the last epoch that was committed before the
 * lease was confirmed. */
void grant_owner_set_lease(struct grant_owner *owner, int64_t until_ms);
/** Call after the owner map was set to another epoch. */
void grant_owner_on_map_changed(
    struct grant_owner *owner, enum owner_map_change change);
/** Adds or updates an upstream. Call it for every upstream of the fleet, owned
 * or not, when it was announced or has changed, or when a takeout began or
 * ended for it. Errors: ERROR_TABLE_FULL, ERROR_STALE for an older
 * incarnation. */
enum error_code grant_owner_set_upstream(struct grant_owner *owner,
    const struct upstream_record *record, bool is_taken_out);
/** Removes an upstream that has left the fleet. */
void grant_owner_remove_upstream(
    struct grant_owner *owner, uint64_t upstream_id);
/** Handles a message of type REPORT, USE_ANSWER, LEDGER or LEDGER_TAKEN.
 * Errors: ERROR_STALE for an outdated message, ERROR_INVALID_ARGUMENT for
 * another type, those of reading the rows. */
enum error_code grant_owner_receive(struct grant_owner *owner,
    uint32_t from_host, const struct grant_reader *reader);

/* Planned stop */

/** Stops making and renewing grants. */
void grant_owner_stop_granting(struct grant_owner *owner);
/** Returns when the last grant expires, 0 if there is none. The configuration
 * lease may be given back from then on. */
int64_t grant_owner_grants_end(const struct grant_owner *owner);

/* State for operators */

/** Reads the state of an upstream. Errors: ERROR_NOT_FOUND. */
enum error_code grant_owner_view(const struct grant_owner *owner,
    uint64_t upstream_id, struct grant_owner_view *view);

#endif
