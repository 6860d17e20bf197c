/**
 * @file kv_table.h
 * Reservations of KV memory in a stand-in engine.
 *
 * Hosts reserve memory when several engines prefill a prompt in segments. A
 * reservation lasts until it is released. The table has no lock of its own.
 */
#ifndef STANDIN_KV_TABLE_H
#define STANDIN_KV_TABLE_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/error_code.h"

/** A reservation. */
struct kv_reservation {
	uint64_t id;	     /**< Id, chosen by the host that reserves. */
	uint64_t tokens;     /**< KV memory that it takes, in tokens. */
	int64_t reserved_ms; /**< Time of the reservation, monotonic clock. */
	/** Prompt tokens whose KV data it holds, computed here or imported. */
	uint64_t covered_tokens;
	uint64_t content_digest; /**< Digest of the covered prompt text. */
};

/** All reservations of an engine. */
struct kv_table {
	GHashTable *entries;	  /**< Reservations by id. */
	uint64_t reserved_tokens; /**< Tokens of all reservations together. */
};

/** Prepares an empty table. */
void kv_table_init(struct kv_table *table);
/** Frees the table and its reservations. */
void kv_table_finish(struct kv_table *table);
/** Reserves @p tokens of the @p available free ones. Repeating a reservation
 * with the same id and size changes nothing and succeeds. Errors:
 * ERROR_NO_CAPACITY, ERROR_ALREADY_EXISTS (same id, other size). */
enum error_code kv_table_reserve(struct kv_table *table, uint64_t id,
    uint64_t tokens, uint64_t available, int64_t now_ms);
/** Releases a reservation. Errors: ERROR_NOT_FOUND. */
enum error_code kv_table_release(struct kv_table *table, uint64_t id);
/** Returns a reservation, which the table owns, or NULL if there is none. */
struct kv_reservation *kv_table_find(struct kv_table *table, uint64_t id);
/** Returns a JSON array of all reservations, for GET /engine/v1/kv/held. */
json_t *kv_table_json(struct kv_table *table, int64_t now_ms);

#endif
