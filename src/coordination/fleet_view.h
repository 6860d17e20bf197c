/**
 * @file fleet_view.h
 * Snapshot of all upstreams that request threads read without a lock.
 *
 * The coordination thread owns and changes a struct fleet and publishes an
 * immutable struct fleet_view from it. Request threads read the latest view
 * between fleet_lock() and fleet_unlock(). Load and warmth are atomics that
 * change in place, so a load report does not cost a new view. A struct
 * fleet_work holds a reference to its struct fleet_upstream, so a request can
 * use the upstream after the read section has ended.
 *
 * Upstreams with the same model, data centre and policies form a group. A host
 * uses only a bounded subset of each group, which it chooses by rendezvous
 * hashing of the upstream id with its own host id.
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

/** Default number of upstreams used of a group in the own data centre. */
#define FLEET_SUBSET_DEFAULT 24

/** Network distance between an upstream and this host. */
enum fleet_distance {
	/** The upstream is in this host's data centre. */
	FLEET_SAME_DATA_CENTRE = 0,
	/** Both data centres carry the same label "region". */
	FLEET_SAME_REGION = 1,
	/** The upstream is in another region. */
	FLEET_OTHER_REGION = 2,
};

/** The latest load report of an upstream, and the capacity that this host had
 * in use on the upstream when the report arrived. */
struct fleet_load {
	/** Time at which the load was measured, 0 if there is no report. */
	_Atomic int64_t measured_ms;
	_Atomic uint64_t sequence; /**< Sequence number of the report. */
	_Atomic uint32_t requests; /**< Requests running and queued. */
	/** Prompt tokens queued for prefill. */
	_Atomic uint64_t prefill_tokens;
	_Atomic uint64_t kv_tokens; /**< Tokens of KV memory in use. */
	/** Requests that this host had on the upstream. */
	_Atomic uint32_t own_requests;
	/** Prefill tokens that this host had taken on the upstream. */
	_Atomic uint64_t own_prefill_tokens;
	/** KV tokens that this host had taken on the upstream. */
	_Atomic uint64_t own_kv_tokens;
};

/** An upstream; its record never changes. Frequently written members come
 * first. */
struct fleet_upstream {
	/** Capacity slot, NULL outside the subset; for the coordination thread
	 * only. */
	struct capacity_slot *slot;
	struct fleet_load load; /**< Load, updated in place. */
	/** Prefill tokens of this host's long prompts on the upstream. */
	_Atomic uint64_t long_prefill_tokens;
	/** Time until which the upstream is not chosen after a failure. */
	_Atomic int64_t ejected_until_ms;
	/** True if the upstream may get the load limit of a warm one. */
	_Atomic bool is_warm;
	/** References held by the fleet, by views and by struct fleet_work. */
	_Atomic uint32_t references;
	struct upstream_record record; /**< Record as announced. */
};

/** An upstream as one view sees it. */
struct fleet_entry {
	uint64_t id;			 /**< Id of the upstream. */
	struct fleet_upstream *upstream; /**< Upstream, shared by views. */
	/** Capacity slot, NULL if the upstream is in no subset. */
	struct capacity_slot *slot;
	/** Bit set of the policies that admit the upstream. */
	const uint64_t *policies;
	enum fleet_distance distance; /**< Distance from this host. */
	/** True if a takeout withdraws the upstream from service. */
	bool is_taken_out;
	bool is_in_subset; /**< True if in the subset of some group. */
};

/** Upstreams that are interchangeable to the router. Upstreams are given as
 * indices into the entries of the view. */
struct fleet_group {
	char model[NAME_SIZE_MAX];	 /**< Name of the model or service. */
	char data_centre[NAME_SIZE_MAX]; /**< Data centre of the upstreams. */
	enum upstream_kind kind;	 /**< Kind of the upstreams. */
	enum fleet_distance distance;	 /**< Distance from this host. */
	/** Bit set of the policies that admit these upstreams. */
	const uint64_t *policies;
	/** Upstreams in the group, including those outside the subset. */
	uint32_t upstream_count;
	uint32_t subset_count; /**< Upstreams in the subset. */
	/** Entry indices of the subset, by this host's rendezvous weight. */
	uint32_t *subset;
	/** Rank for long prompts of each upstream in the subset, by a hash
	 * that all hosts share. */
	uint32_t *long_prompt_ranks;
};

/** The snapshot. Groups contain only upstreams that may get new work. */
struct fleet_view {
	uint64_t version;	     /**< Increases with each view. */
	const struct intent *intent; /**< Operators' intent, never NULL. */
	/** Number of upstreams, including those taken out. */
	uint32_t entry_count;
	struct fleet_entry *entries; /**< Upstreams, sorted by id. */
	uint32_t group_count;	     /**< Number of groups. */
	/** Groups, sorted by kind, model, distance and data centre. */
	struct fleet_group *groups;
	/** Memory behind the policy bit sets of entries and groups. */
	uint64_t *policies;
};

/** Settings of the fleet. */
struct fleet_settings {
	uint32_t host_id;		 /**< Id of this host. */
	char data_centre[NAME_SIZE_MAX]; /**< Data centre of this host. */
	/** Upstreams used of a group in the own data centre, 0 for the default;
	 * half as many in the same region, a quarter in other regions. */
	uint32_t subset_size;
};

/** Callbacks that open and drop capacity slots. */
struct fleet_ops {
	/** Opens the slot of an upstream that came into a subset; called by
	 * fleet_publish(). Returns NULL if there is no room. The slot must
	 * outlive every view and struct fleet_work that refers to it. */
	struct capacity_slot *(*open_slot)(
	    void *context, uint64_t upstream_id, uint64_t incarnation);
	/** Drops the slot of an upstream that left the subset, was removed or
	 * restarted; nothing more is taken from the slot. */
	void (*drop_slot)(void *context, uint64_t upstream_id);
	void *context; /**< First argument of the callbacks. */
};

/** The mutable state from which views are built. */
struct fleet {
	struct fleet_settings settings; /**< Settings with defaults applied. */
	struct fleet_ops ops;		/**< Callbacks for slots. */
	GHashTable *upstreams;		/**< Id to struct fleet_upstream. */
	struct intent *intent;		/**< Intent, reference counted. */
	/** True if the next fleet_publish() must build a view. */
	bool is_changed;
	uint64_t version;		   /**< Version of the latest view. */
	_Atomic(struct fleet_view *) view; /**< Latest view, read under RCU. */
	/** End of the configuration lease, within which work may start. */
	_Atomic int64_t new_work_until_ms;
};

/** Work of one request on one upstream. All zero stands for no work. */
struct fleet_work {
	/** Upstream, whose reference is held until fleet_work_end(). */
	struct fleet_upstream *upstream;
	struct capacity_slot *slot;    /**< Slot that capacity is taken from. */
	struct capacity_amount amount; /**< Capacity still taken. */
	/** Tokens counted in long_prefill_tokens, 0 for a short prompt. */
	uint64_t long_prompt_tokens;
};

/* Functions for the coordination thread */

/** Initialises a fleet and publishes an empty view. */
enum error_code fleet_init(struct fleet *fleet,
    const struct fleet_settings *settings, const struct fleet_ops *ops);
/** Frees the fleet after an RCU grace period; no new reader may start. */
void fleet_finish(struct fleet *fleet);
/** Adds or replaces an upstream. Errors: ERROR_TABLE_FULL, ERROR_NO_MEMORY,
 * ERROR_STALE unless the record is newer in incarnation, sequence or, with the
 * same sequence, further on its way out in its state. */
enum error_code fleet_put_upstream(
    struct fleet *fleet, const struct upstream_record *record);
/** Removes an upstream; an unknown id is ignored. */
void fleet_remove_upstream(struct fleet *fleet, uint64_t id);
/** Stores a load report; readers see it at once, without a new view. Errors:
 * ERROR_NOT_FOUND, ERROR_STALE. */
enum error_code fleet_set_load(
    struct fleet *fleet, const struct upstream_load *load, int64_t now_ms);
/** Sets whether an upstream may get the load limit of a warm one; readers see
 * it at once, without a new view. */
void fleet_set_warm(struct fleet *fleet, uint64_t id, bool is_warm);
/** Compiles a new intent. On an error the old intent stays. */
enum error_code fleet_set_intent(
    struct fleet *fleet, const struct config_source *source);
/** Sets the time until which this host may start work; readers see it at
 * once, without a new view. */
void fleet_set_new_work_until(struct fleet *fleet, int64_t until_ms);
/** Builds and publishes a view if anything changed. Must not be called in a
 * read section, since it waits for the readers of the old view. Errors:
 * ERROR_NO_MEMORY, and the old view stays. */
enum error_code fleet_publish(struct fleet *fleet);

/* Functions for request threads */

/** Enters a read section and returns the latest view. */
const struct fleet_view *fleet_lock(const struct fleet *fleet);
/** Leaves the read section; the view may be freed from then on. */
void fleet_unlock(const struct fleet_view *view);
/** True while the configuration lease lasts, so that work may start. */
bool fleet_may_start_work(const struct fleet *fleet, int64_t now_ms);
/** Returns the entry of an upstream, NULL if the view does not have it. */
const struct fleet_entry *fleet_view_find(
    const struct fleet_view *view, uint64_t id);
/** Returns the index of the first group of a model, group_count if there is
 * none. The other groups of the model follow it. */
uint32_t fleet_view_first_group(
    const struct fleet_view *view, enum upstream_kind kind, const char *model);

/** Takes capacity and a reference to the upstream; call it in a read section.
 * @p long_tokens is the prefill of a long prompt, 0 for a short prompt.
 * Errors: ERROR_NO_CAPACITY, ERROR_LEASE_EXPIRED. */
enum error_code fleet_work_begin(struct fleet_work *work,
    const struct fleet_entry *entry, const struct capacity_amount *amount,
    uint64_t long_tokens, int64_t now_ms);
/** Gives back the prefill capacity when the first token has arrived. */
void fleet_work_on_first_token(struct fleet_work *work);
/** Gives back the remaining capacity and the reference to the upstream; does
 * nothing if there is no work. */
void fleet_work_end(struct fleet_work *work);
/** Keeps new work off an upstream that failed, until a time; 0 admits it
 * again. */
void fleet_upstream_eject(struct fleet_upstream *upstream, int64_t until_ms);

#endif
