/**
 * @file fleet_view.h
 * What request threads see of the fleet: a snapshot read without a lock.
 *
 * The coordination thread owns a struct fleet, changes it, and publishes an
 * immutable struct fleet_view; request threads read the latest one between
 * fleet_lock() and fleet_unlock(). Load and warmth change in place, by
 * atomics, so that a load report costs no new view. A struct fleet_upstream
 * that a request works on is held past the read section by its fleet_work.
 *
 * Of each group of upstreams (same model, data centre and policies) a host
 * uses a bounded subset, ranked by rendezvous hashing with its host id.
 */
#ifndef FLEET_VIEW_H
#define FLEET_VIEW_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "config.h"
#include "state/capacity_slot.h"
#include "state/intent.h"
#include "state/request.h"
#include "state/upstream.h"

#define FLEET_SUBSET_DEFAULT 24 /**< Upstreams used of one group. */

/** How far an upstream stands from this host. */
enum fleet_distance {
	FLEET_SAME_DATA_CENTRE = 0, /**< In the host's own data centre. */
	FLEET_SAME_REGION = 1,	/**< Same label "region" on the data centre. */
	FLEET_OTHER_REGION = 2, /**< Elsewhere. */
};

/** The latest load report, and what this host had there at that time. */
struct fleet_load {
	_Atomic int64_t taken_ms;  /**< When it was true, 0 for no report. */
	_Atomic uint64_t sequence; /**< Of the report. */
	_Atomic uint32_t requests; /**< Running and queued. */
	_Atomic uint64_t prefill_tokens;     /**< Waiting for prefill. */
	_Atomic uint64_t kv_tokens;	     /**< KV memory in use. */
	_Atomic uint32_t own_requests;	     /**< Of these, this host's. */
	_Atomic uint64_t own_prefill_tokens; /**< Of these, this host's. */
	_Atomic uint64_t own_kv_tokens;	     /**< Of these, this host's. */
};

/** An upstream; its record never changes. What changes often comes first. */
struct fleet_upstream {
	struct capacity_slot *slot; /**< For the coordination thread. */
	struct fleet_load load;	    /**< Changes in place. */
	_Atomic uint64_t long_prefill_tokens; /**< Own long prompts there. */
	_Atomic int64_t suspect_until_ms;     /**< Failed lately: avoid it. */
	_Atomic bool is_warm;		      /**< May get its warm load. */
	_Atomic uint32_t references;	      /**< Views and works. */
	struct upstream_record record;	      /**< As announced. */
};

/** An upstream as one view sees it. */
struct fleet_entry {
	uint64_t id;			 /**< Of the upstream. */
	struct fleet_upstream *upstream; /**< Shared by views. */
	struct capacity_slot *slot;	 /**< NULL outside the subset. */
	const uint64_t *policies;	 /**< Policies that let it in. */
	enum fleet_distance distance;	 /**< From this host. */
	bool is_taken_out;		 /**< By a takeout. */
	bool is_usable;			 /**< In the subset of a group. */
};

/** Upstreams that are alike to the router. Indices are into the view. */
struct fleet_group {
	char model[NAME_SIZE_MAX];	 /**< Model, or service name. */
	char data_centre[NAME_SIZE_MAX]; /**< Where they stand. */
	enum upstream_kind kind;	 /**< What they serve. */
	enum fleet_distance distance;	 /**< From this host. */
	const uint64_t *policies;	 /**< Policies that let them in. */
	uint32_t total;			 /**< Upstreams, unused ones too. */
	uint32_t count;			 /**< Upstreams of the subset. */
	uint32_t *subset;     /**< Subset, by the host's rendezvous rank. */
	uint32_t *long_ranks; /**< Of each: rank for long prompts, by all. */
};

/** The snapshot. Only upstreams that may get new work are in groups. */
struct fleet_view {
	uint64_t version;	     /**< Grows with each view. */
	const struct intent *intent; /**< Operators' intent, never NULL. */
	uint32_t entry_count;	     /**< Upstreams, taken out ones too. */
	struct fleet_entry *entries; /**< By upstream id. */
	uint32_t group_count;	     /**< Groups. */
	struct fleet_group *groups;  /**< By kind, model, distance. */
	uint64_t *policies;	     /**< Memory of the bit sets. */
};

/** Settings. */
struct fleet_settings {
	uint32_t host_id;		 /**< Of this host. */
	char data_centre[NAME_SIZE_MAX]; /**< Of this host. */
	uint32_t subset_size; /**< Of a group in the own data centre, 0 for the
				 default; half of it in the region, a quarter
				 elsewhere. */
};

/** Where the slots come from; called by fleet_publish(). */
struct fleet_ops {
	/** An upstream came into the subset. NULL if there is no room. The
	 * slot must outlive the views and works that hold it. */
	struct capacity_slot *(*open_slot)(
	    void *context, uint64_t upstream_id, uint64_t incarnation);
	/** An upstream left the subset; nothing new is taken of its slot. */
	void (*drop_slot)(void *context, uint64_t upstream_id);
	void *context; /**< Passed back. */
};

/** The owner of the views. */
struct fleet {
	struct fleet_settings settings; /**< Filled. */
	struct fleet_ops ops;		/**< Where slots come from. */
	GHashTable *upstreams;		/**< Id to struct fleet_upstream. */
	struct intent *intent;		/**< Reference counted. */
	bool is_changed;		/**< The next publish builds a view. */
	uint64_t version;		/**< Of the last view. */
	_Atomic(struct fleet_view *) view; /**< Read under RCU. */
	_Atomic int64_t new_work_until_ms; /**< Configuration lease. */
};

/** Work of one request on one upstream. Zero is no work. */
struct fleet_work {
	struct fleet_upstream *upstream; /**< Held until the end. */
	struct capacity_slot *slot;	 /**< What it takes from. */
	struct capacity_amount amount;	 /**< Still taken. */
	uint64_t long_tokens;		 /**< Counted as a long prompt. */
};

/* Coordination thread */

/** Prepares a fleet and publishes an empty view. */
enum error_code fleet_init(struct fleet *fleet,
    const struct fleet_settings *settings, const struct fleet_ops *ops);
/** Frees all after a grace period; no reader may be left. */
void fleet_finish(struct fleet *fleet);
/** Adds or replaces an upstream. Errors: ERROR_TABLE_FULL, ERROR_STALE for an
 * older incarnation or sequence, or the same. */
enum error_code fleet_put_upstream(
    struct fleet *fleet, const struct upstream_record *record);
/** Drops an upstream. */
void fleet_remove_upstream(struct fleet *fleet, uint64_t id);
/** Takes in a load report, at once. Errors: ERROR_NOT_FOUND, ERROR_STALE. */
enum error_code fleet_set_load(
    struct fleet *fleet, const struct upstream_load *load, int64_t now_ms);
/** Notes whether an upstream may get its warm load, at once. */
void fleet_set_warm(struct fleet *fleet, uint64_t id, bool is_warm);
/** Compiles a new intent. On an error the old one stays. */
enum error_code fleet_set_intent(
    struct fleet *fleet, const struct config_source *source);
/** Until when this host may give new work, at once. */
void fleet_set_new_work_until(struct fleet *fleet, int64_t until_ms);
/** Builds and publishes a view if anything changed; waits for
 * readers of the old one, so not to be called in a read section. Errors: ERROR_NO_MEMORY, and the old view stays. */
enum error_code fleet_publish(struct fleet *fleet);

/* Request threads */

/** Enters a read section and gives the latest view. */
const struct fleet_view *fleet_lock(const struct fleet *fleet);
/** Leaves the read section; the view may then go away. */
void fleet_unlock(const struct fleet_view *view);
/** True while the configuration lease lasts. */
bool fleet_may_start(const struct fleet *fleet, int64_t now_ms);
/** The entry of an upstream, NULL for none. */
const struct fleet_entry *fleet_view_find(
    const struct fleet_view *view, uint64_t id);
/** First group of a model, group_count for none; the rest follow it. */
uint32_t fleet_view_first_group(
    const struct fleet_view *view, enum upstream_kind kind, const char *model);

/** Takes capacity and holds the upstream, in a read section. @p long_tokens
 * is 0 for a short prompt. Errors: ERROR_NO_CAPACITY, ERROR_LEASE_EXPIRED. */
enum error_code fleet_work_begin(struct fleet_work *work,
    const struct fleet_entry *entry, const struct capacity_amount *amount,
    uint64_t long_tokens, int64_t now_ms);
/** Gives back the prefill part, at the first token. */
void fleet_work_note_first_token(struct fleet_work *work);
/** Gives back the rest and lets the upstream go; no work is no error. */
void fleet_work_end(struct fleet_work *work);
/** Keeps new work off an upstream that failed just now. */
void fleet_upstream_suspect(struct fleet_upstream *upstream, int64_t until_ms);

#endif
