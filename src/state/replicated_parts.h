/**
 * @file replicated_parts.h
 * What the source files of the replicated state share; nobody else includes
 * it.
 */
#ifndef REPLICATED_PARTS_H
#define REPLICATED_PARTS_H

#include "state/replicated_state.h"

/** A value of the configuration. */
struct config_value {
	char *value;	   /**< Text. */
	uint64_t revision; /**< That wrote it. */
};

/** An operation that was answered. */
struct operation_record {
	char operation_id[OPERATION_ID_SIZE_MAX]; /**< Its id. */
	int64_t time_ms;			  /**< When it was applied. */
	struct command_result result;		  /**< Its first answer. */
};

/** A claim on an idempotency key. */
struct claim_record {
	char *key;		      /**< Account, separator, key. */
	uint64_t fingerprint;	      /**< Of the body. */
	uint32_t host_id;	      /**< Who claimed it. */
	uint64_t host_incarnation;    /**< Which life of that host. */
	uint64_t request_id;	      /**< Which request of it. */
	enum claim_state state;	      /**< Running or ended. */
	enum request_outcome outcome; /**< How it ended. */
	int64_t expires_ms;	      /**< When it is forgotten. */
	GSequenceIter *place;	      /**< In the order of expiry. */
};

/* replicated_state.c */

/** Sets an entry of the configuration. */
void replicated_put_config(struct replicated_state *state, const char *key,
    const char *value, uint64_t revision);
/** Remembers an answer. */
void replicated_put_operation(
    struct replicated_state *state, const struct operation_record *record);
/** Sets the last order of an upstream. */
void replicated_put_order(
    struct replicated_state *state, const struct order_record *record);
/** Sets a document. Errors: ERROR_TABLE_FULL. An older or equal version
 * changes nothing and is no error. */
enum error_code replicated_put_document(struct replicated_state *state,
    const char *name, uint64_t version, const void *data, size_t size);
/** Sets a quarantine. */
void replicated_put_quarantine(
    struct replicated_state *state, const struct quarantine_record *record);

/* replicated_claims.c */

/** Adds a claim; takes the key. */
struct claim_record *replicated_add_claim(
    struct replicated_state *state, const struct claim_record *claim);
/** Forgets claims whose time is over. */
void replicated_expire_claims(struct replicated_state *state);
/** Claims of hosts that are not live end with an unknown outcome. */
void replicated_abandon_claims(struct replicated_state *state);
/** Applies COMMAND_CLAIM_BEGIN. */
void replicated_begin_claim(struct replicated_state *state,
    const struct command_claim *claim, struct command_result *result);
/** Applies COMMAND_CLAIM_FINISH. */
void replicated_finish_claim(struct replicated_state *state,
    const struct command_claim *claim, struct command_result *result);
/** Gives back a claim's memory. */
void replicated_free_claim(void *claim);

#endif
