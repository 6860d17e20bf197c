/**
 * @file replicated_parts.h
 * Internal declarations shared by the source files of the replicated state;
 * no other file includes it.
 */
#ifndef REPLICATED_PARTS_H
#define REPLICATED_PARTS_H

#include "state/replicated_state.h"

/** Value stored for a configuration key. */
struct config_value {
	char *value;	   /**< Text of the value, owned. */
	uint64_t revision; /**< Configuration revision that set the value. */
};

/** The remembered result of a command that had an operation id. */
struct operation_record {
	char operation_id[OPERATION_ID_SIZE_MAX]; /**< Id of the command. */
	int64_t time_ms; /**< Log time when the command was applied. */
	/** Result given when the command is sent again. */
	struct command_result result;
};

/** A claim on an idempotency key. */
struct claim_record {
	char *key; /**< Account and idempotency key, with a separator. */
	uint64_t fingerprint;	   /**< Fingerprint of the request. */
	uint32_t host_id;	   /**< Host that holds the claim. */
	uint64_t host_incarnation; /**< Incarnation of that host. */
	uint64_t request_id;	   /**< Request that holds the claim. */
	enum claim_state state;	   /**< Running or ended. */
	/** Outcome of the request once the claim has ended. */
	enum request_outcome outcome;
	int64_t expires_ms;	    /**< Log time at which it is removed. */
	GSequenceIter *expiry_iter; /**< Position in claim_order. */
};

/* replicated_state.c */

/** Sets an entry of the configuration. */
void replicated_put_config(struct replicated_state *state, const char *key,
    const char *value, uint64_t revision);
/** Remembers the result of an operation, as the newest one. */
void replicated_put_operation(
    struct replicated_state *state, const struct operation_record *record);
/** Replaces the last order of an upstream. */
void replicated_put_order(
    struct replicated_state *state, const struct order_record *record);
/** Stores a document that the public command @p sequence writes. Errors:
 * ERROR_TABLE_FULL. A version that isn't newer than the stored one changes
 * nothing and is no error. */
enum error_code replicated_put_document(struct replicated_state *state,
    const char *name, uint64_t version, const void *data, size_t size,
    uint64_t sequence);
/* replicated_quarantine.c */

/** Adds or replaces the quarantine of a fingerprint. */
void replicated_put_quarantine(
    struct replicated_state *state, const struct quarantine_record *record);
/** Adds or replaces what is known against a part of prompts. */
void replicated_put_part(
    struct replicated_state *state, const struct part_record *record);
/** Applies COMMAND_QUARANTINE. */
void replicated_apply_quarantine(struct replicated_state *state,
    const struct command_quarantine *quarantine, struct command_result *result);
/** Applies COMMAND_PARTS_CRASHED. */
void replicated_record_parts(
    struct replicated_state *state, const struct command_parts *parts);
/** Applies COMMAND_PARTS_CLEARED. */
void replicated_clear_parts(
    struct replicated_state *state, const struct command_parts *parts);

/* replicated_claims.c */

/** Adds a copy of @p claim and returns it; takes ownership of its key. */
struct claim_record *replicated_add_claim(
    struct replicated_state *state, const struct claim_record *claim);
/** Removes the claims that have expired at the state's time. */
void replicated_expire_claims(struct replicated_state *state);
/** Ends the running claims of hosts that aren't live, or that run as another
 * incarnation by now, with REQUEST_OUTCOME_UNKNOWN. */
void replicated_end_orphaned_claims(struct replicated_state *state);
/** Applies COMMAND_CLAIM_BEGIN. */
void replicated_begin_claim(struct replicated_state *state,
    const struct command_claim *claim, struct command_result *result);
/** Applies COMMAND_CLAIM_FINISH. */
void replicated_finish_claim(struct replicated_state *state,
    const struct command_claim *claim, struct command_result *result);
/** Frees a struct claim_record and its key; a GDestroyNotify. */
void replicated_free_claim(void *claim);

#endif
