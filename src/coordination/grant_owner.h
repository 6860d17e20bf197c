/**
 * @file grant_owner.h
 * The owner's side of capacity grants: a ledger for each upstream it owns.
 *
 * For each holder the ledger counts an upper bound of what it may be running:
 * the most it was offered until it acknowledges less, and what it reports as
 * used. Offers are made only while the counted sum stays within the warm-up
 * bound. A grant ends at the latest when the owner's configuration lease does.
 *
 * A new owner first waits until no grant of an older owner can be in force
 * (or takes the old owner's ledger), then asks all live hosts what they run;
 * until all have answered, or the drain time is over, it grants nothing.
 *
 * Before any message is handed in, the timer service must have been advanced.
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
	uint32_t host_id;	 /**< This host. */
	int64_t grant_ms;	 /**< Duration of a grant. */
	int64_t config_lease_ms; /**< Longest configuration lease. */
	int64_t drain_ms;	 /**< Longest that a request runs. */
	int64_t gone_drain_ms;	 /**< Until engines have ended what ran for
				       a host that is off the live set. */
	int64_t query_ms;	 /**< Between repeats of a query. */
	int64_t tick_ms;	 /**< Expiry, repeats, division. */
	uint32_t upstreams_max;	 /**< Upstreams known. */
	struct warmup_settings warmup; /**< How bounds rise. */
};

/** Counters for metrics. */
struct grant_owner_counters {
	uint64_t offers;      /**< Offers sent. */
	uint64_t revocations; /**< Offers that lowered an amount. */
	uint64_t takeovers;   /**< Upstreams taken over. */
	uint64_t ledgers;     /**< Of these, with the old owner's ledger. */
	uint64_t waited_out;  /**< Of these, by waiting and asking. */
	uint64_t cuts;	      /**< Warm-up bounds cut to cold. */
};

/** What the operators see of an upstream. */
struct grant_owner_view {
	bool is_owned;			/**< This host owns it. */
	bool is_granting;		/**< Its ledger is complete. */
	struct capacity_amount bound;	/**< Warm-up bound. */
	struct capacity_amount counted; /**< Upper bound of all running. */
	uint32_t holders;		/**< Hosts in the ledger. */
};

/** The owner's part. */
struct grant_owner {
	struct grant_owner_settings settings; /**< As given. */
	struct timer_service *timers;	      /**< Time. */
	struct peer_port port;		      /**< To holders. */
	const struct owner_map *map;	      /**< Kept by the caller. */
	GHashTable *upstreams;		      /**< By id. */
	GPtrArray *owned;	/**< Those of them that this host owns. */
	GHashTable *answered;	/**< Last query answered, by host. */
	int64_t lease_until_ms; /**< Configuration lease. */
	int64_t settled_ms;	/**< No older grants after it. */
	int64_t departed_ms;	/**< Work of departed hosts has ended. */
	int64_t query_ms;	/**< When it is repeated. */
	uint64_t query;		/**< Number of the last query. */
	uint64_t number;	/**< Number of the last offer. */
	bool is_closing;	/**< Grants nothing more. */
	struct handle tick;	/**< Timer. */
	struct grant_owner_counters counters; /**< For metrics. */
};

/* Setting up */

/** Settings for today's sizes. */
struct grant_owner_settings grant_owner_default_settings(uint32_t host_id);
/** Prepares the part; @p map must outlive it. */
enum error_code grant_owner_init(struct grant_owner *owner,
    const struct grant_owner_settings *settings, struct timer_service *timers,
    struct peer_port port, const struct owner_map *map);
/** Gives back memory; sends nothing. */
void grant_owner_finish(struct grant_owner *owner);

/* What it must be told, on the coordination thread */

/** The configuration lease now runs until @p until_ms; 0 when it is lost. A
 * lease confirmed after an epoch was committed comes after that epoch. */
void grant_owner_set_lease(struct grant_owner *owner, int64_t until_ms);
/** The map was set to another epoch. */
void grant_owner_map_changed(
    struct grant_owner *owner, enum owner_map_change change);
/** An upstream was announced or changed, or a takeout touched it; all hosts'
 * upstreams, owned or not. Errors: ERROR_TABLE_FULL, ERROR_STALE. */
enum error_code grant_owner_set_upstream(struct grant_owner *owner,
    const struct upstream_record *record, bool is_taken_out);
/** An upstream is gone. */
void grant_owner_remove_upstream(
    struct grant_owner *owner, uint64_t upstream_id);
/** A message of type ASK, USE, LEDGER or LEDGER_TAKEN. */
enum error_code grant_owner_receive(struct grant_owner *owner,
    uint32_t from_host, const struct grant_reader *reader);

/* Planned stop */

/** Grants nothing more and renews nothing. */
void grant_owner_close(struct grant_owner *owner);
/** When the last grant given ends; the configuration lease may be handed
 * back from then on. */
int64_t grant_owner_grants_end(const struct grant_owner *owner);

/* What operators see */

/** Looks at an upstream. Errors: ERROR_NOT_FOUND. */
enum error_code grant_owner_view(const struct grant_owner *owner,
    uint64_t upstream_id, struct grant_owner_view *view);

#endif
