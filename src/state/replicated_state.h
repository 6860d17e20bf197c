/**
 * @file replicated_state.h
 * The state machine that the voters replicate: the same commands in the same
 * order give the same state.
 *
 * Voters apply every command in the order of the log. Learners either apply
 * the public commands (all but claims and barriers) in order of their public
 * sequence number, or load a public snapshot. Two hosts at the same public
 * sequence number have the same configuration. Time is the leader's time stamp
 * in the entries and never goes back.
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

/** How long a claim is remembered, by default. */
#define CLAIM_WINDOW_MS ((int64_t)24 * 3600 * 1000)
/** How far the clock of a caller may be ahead of the leader's. */
#define CLAIM_CLOCK_SKEW_MS_MAX ((int64_t)3600 * 1000)
/** Largest number of claims remembered, by default. */
#define CLAIMS_MAX 200000u
/** Largest number of operation ids remembered. */
#define OPERATIONS_MAX 20000u
/** How long an operation id is remembered. */
#define OPERATION_WINDOW_MS ((int64_t)24 * 3600 * 1000)
/** Largest number of entries in the configuration. */
#define CONFIG_ENTRIES_MAX 100000u
/** Largest number of fingerprints quarantined or suspected. */
#define QUARANTINES_MAX 4096u
/** Largest number of parts of prompts that are quarantined or suspected. */
#define PARTS_MAX 1024u
/** Largest number of public commands kept to feed learners. */
#define PUBLIC_ENTRIES_MAX 4096u
/** Largest number of bytes in the public commands kept. */
#define PUBLIC_BYTES_MAX ((size_t)8 * 1024 * 1024)
/** Largest number of documents. */
#define DOCUMENTS_MAX 64u

/** Limits of a state; zero means the default above. */
struct replicated_state_settings {
	int64_t claim_window_ms; /**< How long a claim is remembered. */
	uint32_t claims_max;	 /**< Largest number of claims. */
};

/** A log entry to be applied. */
struct replicated_entry {
	uint64_t index;	  /**< Index of the entry in the log. */
	int64_t time_ms;  /**< Leader's time stamp, ms since the epoch. */
	const void *data; /**< The encoded command. */
	size_t size;	  /**< Bytes of data. */
};

/** A public command as it is fed to learners. A document that a later command
 * replaced is kept without its contents, so a learner that is behind receives
 * each document once, however often it changed. */
struct public_entry {
	uint64_t sequence; /**< Public sequence number, rising by one. */
	uint64_t index;	   /**< Index of the entry in the log. */
	int64_t time_ms;   /**< Leader's time stamp, ms since the epoch. */
	GBytes *command;   /**< The encoded command. */
	/** Hash of the name of the document that it replaces, otherwise 0. */
	uint64_t document_hash;
	/** Sequence of a later entry that replaces the same document, or 0. A
	 * learner may use its state only once it has applied that entry too. */
	uint64_t superseded_by;
};

/** The last order given to an upstream. */
struct order_record {
	uint64_t upstream_id; /**< Upstream that received the order. */
	/** Fencing number, rising with each order to the same upstream. */
	uint64_t fencing_number;
	uint32_t kind;	  /**< Kind of order, a number its sender defines. */
	uint32_t host_id; /**< Host that gave the order. */
	uint32_t outcome; /**< Outcome, 0 while the order is unfinished. */
	int64_t begun_ms; /**< Leader's time stamp of its beginning. */
	/** Argument of the order, such as the name of a model. */
	char argument[ORDER_ARGUMENT_SIZE_MAX];
};

/** Hosts whose crashes are kept for a request. */
#define QUARANTINE_SHARES_MAX 4u

/** Crashes that one host has counted against a request. */
struct quarantine_share {
	uint32_t host_id;	  /**< Host that counted. */
	uint32_t crashes;	  /**< Crash events. */
	uint32_t weight_permille; /**< Sum of their weights. */
};

/** The quarantine of a request, or the suspicion that it crashes upstreams. */
struct quarantine_record {
	uint64_t fingerprint; /**< Fingerprint of the request. */
	int64_t until_ms;     /**< End of the quarantine, ms since the epoch. */
	/** True if the request may still run, but with no other beside it. */
	bool must_run_alone;
	/** Crash events in which the request had part, over all hosts. */
	uint32_t crashes;
	/** Summed share of those crashes attributed to the request, in
	 * thousandths; 1000 means that it certainly caused a crash. */
	uint32_t weight_permille;
	/** What each host has counted; crashes and weight are their sums. */
	struct quarantine_share shares[QUARANTINE_SHARES_MAX];
	uint32_t share_count; /**< Elements of shares in use. */
};

/** A document: bytes that only a newer version replaces, as a whole. */
struct document {
	char name[NAME_SIZE_MAX];   /**< Name of the document. */
	uint64_t version;	    /**< Version number given by its writer. */
	uint64_t sequence;	    /**< Public sequence number of its write. */
	uint64_t previous_sequence; /**< That of the write before, or 0. */
	GBytes *bytes;		    /**< Contents of the document. */
};

/** The replicated state. */
struct replicated_state {
	struct replicated_state_settings settings; /**< Limits in force. */
	uint64_t applied_index; /**< Index of the last entry applied. */
	/** Highest time stamp of the applied entries, ms since the epoch. */
	int64_t time_ms;
	uint64_t sequence; /**< Sequence number of the last public command. */
	uint64_t revision; /**< Configuration revision, rising by one. */
	/** Hash chained over all configuration changes, to compare hosts. */
	uint64_t content_hash;
	uint64_t epoch;		/**< Number of times live_hosts was replaced. */
	GTree *config;		/**< Key to struct config_value. */
	GHashTable *operations; /**< Operation id to operation_record. */
	GQueue *operation_order; /**< All operation_records, oldest first. */
	GHashTable *claims;	 /**< Account and key to struct claim_record. */
	/** All claim_records, in order of expiry. */
	GSequence *claim_order;
	/** Fingerprint to struct quarantine_record. */
	GHashTable *quarantine;
	GHashTable *parts;	/**< Part of prompts to struct part_record. */
	GHashTable *orders;	/**< Upstream id to struct order_record. */
	GArray *live_hosts;	/**< struct live_host, by host id. */
	GHashTable *documents;	/**< Name to struct document. */
	GQueue *public_entries; /**< struct public_entry, oldest first. */
	size_t public_bytes;	/**< Bytes of the commands kept in those. */
};

/* Setting up */

/** Initialises an empty state; @p settings may be NULL for the defaults. */
void replicated_state_init(struct replicated_state *state,
    const struct replicated_state_settings *settings);
/** Frees the state's memory. */
void replicated_state_finish(struct replicated_state *state);

/* Applying */

/** Applies the next entry of the log. An entry that was applied before changes
 * nothing and gives ERROR_STALE in the result. An invalid command moves
 * applied_index and the time, on every voter alike, and gives its error in the
 * result. Errors: ERROR_NOT_SUPPORTED or ERROR_UNSUPPORTED_VERSION if this build
 * does not know the kind of the command; the state is unchanged, and no later
 * entry may be applied. */
enum error_code replicated_state_apply(struct replicated_state *state,
    const struct replicated_entry *entry, struct command_result *result);
/** Applies the next public command on a learner. A document without contents
 * was superseded and changes nothing. Errors: ERROR_STALE if it was
 * applied before, those of command_decode(). With ERROR_NOT_FOUND commands
 * before it are missing, with ERROR_INTERNAL it failed although it succeeded
 * on the voters; the learner must then load a snapshot. */
enum error_code replicated_state_apply_public(struct replicated_state *state,
    uint64_t sequence, const struct replicated_entry *entry);

/* Saving */

/** Saves the whole state, or only what learners need if @p is_public. Free the
 * result with g_byte_array_unref(). */
GByteArray *replicated_state_save(
    const struct replicated_state *state, bool is_public);
/** Replaces the state by a saved one. Invalid data changes nothing, and neither
 * does data with a kind of record that this build does not know, or with more
 * numbers in a record than it knows: both would be lost when this state is
 * saved again; and data in which a level is in force that it does not know. Errors: ERROR_MALFORMED, ERROR_NOT_SUPPORTED and
 * ERROR_UNSUPPORTED_VERSION for unknown kinds, others of the codec. */
enum error_code replicated_state_load(
    struct replicated_state *state, const void *data, size_t size);
/** Does the same for a host that holds the state only to follow the voters: what
 * this build does not know is skipped, and counted in @p skipped. Otherwise this
 * host would get no route, takeout or revoked key any more. */
enum error_code replicated_state_load_known(struct replicated_state *state,
    const void *data, size_t size, uint32_t *skipped);

/* Reading */

/** Returns the configuration as a source, valid as long as the state. */
struct config_source replicated_state_config(struct replicated_state *state);
/** Looks up a configuration entry, which is valid until the state changes.
 * Errors: ERROR_NOT_FOUND. */
enum error_code replicated_state_get(const struct replicated_state *state,
    const char *key, struct config_entry *entry);
/** True if the fingerprint is quarantined, and not only suspected, at
 * @p now_ms in ms since the epoch. */
bool replicated_state_is_quarantined(
    const struct replicated_state *state, uint64_t fingerprint, int64_t now_ms);
/** Calls @p visit for each quarantined or suspected fingerprint. */
void replicated_state_for_each_quarantine(const struct replicated_state *state,
    void (*visit)(void *context, const struct quarantine_record *record),
    void *context);
/** Calls @p visit for each quarantined or suspected part of prompts. */
void replicated_state_for_each_part(const struct replicated_state *state,
    void (*visit)(void *context, const struct part_record *record),
    void *context);
/** Returns the last order given to an upstream, or NULL if there is none. */
const struct order_record *replicated_state_order(
    const struct replicated_state *state, uint64_t upstream_id);
/** Calls @p visit for the last order of each upstream. */
void replicated_state_for_each_order(const struct replicated_state *state,
    void (*visit)(void *context, const struct order_record *order),
    void *context);
/** Returns a document, or NULL if there is none of that name. The pointer is
 * valid until the state changes. */
const struct document *replicated_state_document(
    const struct replicated_state *state, const char *name);
/** Returns the level in force, see state_level.h. */
uint32_t replicated_state_level(const struct replicated_state *state);
/** Returns a host that may own capacity, or NULL if it may not. */
const struct live_host *replicated_state_live_host(
    const struct replicated_state *state, uint32_t host_id);
/** Calls @p visit for the public commands after @p sequence, oldest first.
 * Errors: ERROR_NOT_FOUND if some of them are no longer kept, so that the
 * learner needs a snapshot. */
enum error_code replicated_state_for_each_public(
    const struct replicated_state *state, uint64_t sequence,
    void (*visit)(void *context, const struct public_entry *entry),
    void *context);

#endif
