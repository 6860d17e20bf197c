/**
 * @file replicated_state.h
 * What the voters agree on; the same commands give the same state.
 *
 * Voters apply every command in the order of the log. Learners apply the
 * public ones only (all but claims), in order of their public sequence, or
 * load a public snapshot; their configuration is the same at the same
 * sequence. Time is the leader's stamp in each entry and never goes back.
 */
#ifndef REPLICATED_STATE_H
#define REPLICATED_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/command.h"
#include "state/config_entry.h"

#define CLAIM_WINDOW_MS	    ((int64_t)24 * 3600 * 1000) /**< Default. */
#define CLAIM_CLOCK_SKEW_MS ((int64_t)3600 * 1000) /**< A caller's, ahead. */
#define CLAIMS_MAX	    200000u /**< Claims remembered, by default. */
#define OPERATIONS_MAX	    20000u  /**< Operation ids remembered. */
#define OPERATION_WINDOW_MS ((int64_t)24 * 3600 * 1000) /**< For as long. */
#define CONFIG_ENTRIES_MAX  100000u /**< Entries of the configuration. */
#define QUARANTINE_MAX	    4096u   /**< Fingerprints quarantined. */
#define PUBLIC_ENTRIES_MAX  4096u   /**< Public commands kept for feeds. */
#define PUBLIC_BYTES_MAX    ((size_t)8 * 1024 * 1024) /**< Their bytes. */
#define DOCUMENTS_MAX	    64u			      /**< Documents held. */

/** Bounds; zero means the default above. */
struct replicated_state_settings {
	int64_t claim_window_ms; /**< How long a claim is remembered. */
	uint32_t claims_max;	 /**< Claims at a time. */
};

/** An entry of the log as it is applied. */
struct replicated_entry {
	uint64_t index;	  /**< In the log. */
	int64_t time_ms;  /**< Leader's stamp since epoch. */
	const void *data; /**< The command's bytes. */
	size_t size;	  /**< How many. */
};

/** A public command as it is fed to learners. */
struct public_entry {
	uint64_t sequence; /**< Grows by one with each. */
	uint64_t index;	   /**< In the log. */
	int64_t time_ms;   /**< Leader's stamp. */
	GBytes *command;   /**< Its bytes. */
};

/** An order, as the last one given to an upstream. */
struct order_record {
	uint64_t upstream_id; /**< Who got it. */
	uint64_t fencing;     /**< Its number, growing for each upstream. */
	uint32_t kind;	      /**< The caller's number for what to do. */
	uint32_t host_id;     /**< Who gave it. */
	uint32_t outcome;     /**< 0 while it is not finished. */
	int64_t begun_ms;     /**< Leader's stamp. */
	char argument[ORDER_ARGUMENT_SIZE_MAX]; /**< Such as a model. */
};

/** A request that is quarantined, or suspected. */
struct quarantine_record {
	uint64_t fingerprint;	  /**< Which. */
	int64_t until_ms;	  /**< Since epoch. */
	bool is_suspicion;	  /**< It may still run, but alone. */
	uint32_t crashes;	  /**< Events that weigh on it. */
	uint32_t weight_permille; /**< Their weight, 1000 is certain. */
};

/** A document: bytes that are replaced whole, by a newer version only. */
struct document {
	char name[NAME_SIZE_MAX]; /**< Which one. */
	uint64_t version;	  /**< As its writer numbers it. */
	GBytes *bytes;		  /**< Contents. */
};

/** The state. */
struct replicated_state {
	struct replicated_state_settings settings; /**< Bounds. */
	uint64_t applied_index;			   /**< Last entry applied. */
	int64_t time_ms;			   /**< Its stamp. */
	uint64_t sequence;			   /**< Public sequence. */
	uint64_t revision;			   /**< Of the configuration. */
	uint64_t content_hash;	 /**< Chained over all its changes. */
	uint64_t epoch;		 /**< Of the live hosts. */
	GTree *config;		 /**< Key to entry. */
	GHashTable *operations;	 /**< Operation id to its result. */
	GQueue *operation_order; /**< The same, the oldest first. */
	GHashTable *claims;	 /**< Account and key to claim. */
	GSequence *claim_order;	 /**< The same, the first to expire first. */
	GHashTable *quarantine;	 /**< Fingerprint to end. */
	GHashTable *orders;	 /**< Upstream id to struct order_record. */
	GArray *live_hosts;	 /**< struct live_host, by host id. */
	GHashTable *documents;	 /**< Name to struct document. */
	GQueue *public_entries;	 /**< struct public_entry, oldest first. */
	size_t public_bytes;	 /**< Bytes of their commands. */
};

/* Setting up */

/** Starts an empty state. */
void replicated_state_init(struct replicated_state *state,
    const struct replicated_state_settings *settings);
/** Gives back memory. */
void replicated_state_finish(struct replicated_state *state);

/* Applying */

/** Applies the next entry of the log; an older one changes nothing. */
void replicated_state_apply(struct replicated_state *state,
    const struct replicated_entry *entry, struct command_result *result);
/** Learners: applies the next public command. Errors: ERROR_STALE for an
 * older one; ERROR_NOT_FOUND when some before it are missing, and
 * ERROR_INTERNAL when it does not fit: load a snapshot. */
enum error_code replicated_state_apply_public(struct replicated_state *state,
    uint64_t sequence, const struct replicated_entry *entry);

/* Saving */

/** Saves all, or what learners need, to bytes (free with g_byte_array_unref).
 */
GByteArray *replicated_state_save(
    const struct replicated_state *state, bool is_public);
/** Replaces the state. Errors: ERROR_MALFORMED and others of the codec; a bad
 * input changes nothing. */
enum error_code replicated_state_load(
    struct replicated_state *state, const void *data, size_t size);

/* Reading */

/** The configuration as a source, valid as long as the state. */
struct config_source replicated_state_config(struct replicated_state *state);
/** Looks a configuration entry up. Errors: ERROR_NOT_FOUND. */
enum error_code replicated_state_get(const struct replicated_state *state,
    const char *key, struct config_entry *entry);
/** True if the fingerprint is quarantined at @p now_ms since epoch. */
bool replicated_state_is_quarantined(
    const struct replicated_state *state, uint64_t fingerprint, int64_t now_ms);
/** Visits each quarantined or suspected fingerprint. */
void replicated_state_each_quarantine(const struct replicated_state *state,
    void (*visit)(void *context, const struct quarantine_record *record),
    void *context);
/** The last order given to an upstream, NULL for none. */
const struct order_record *replicated_state_order(
    const struct replicated_state *state, uint64_t upstream_id);
/** Visits the last order of each upstream. */
void replicated_state_each_order(const struct replicated_state *state,
    void (*visit)(void *context, const struct order_record *order),
    void *context);
/** A document, NULL for none; valid until the state changes. */
const struct document *replicated_state_document(
    const struct replicated_state *state, const char *name);
/** Finds a live host, NULL if it may not own capacity. */
const struct live_host *replicated_state_live_host(
    const struct replicated_state *state, uint32_t host_id);
/** Visits the kept public commands after @p sequence, oldest first. Errors:
 * ERROR_NOT_FOUND when some of them are no longer kept: send a snapshot. */
enum error_code replicated_state_each_public(
    const struct replicated_state *state, uint64_t sequence,
    void (*visit)(void *context, const struct public_entry *entry),
    void *context);

#endif
