/**
 * @file kv_table.h
 * KV memory that others reserved in the stand-in; held until released.
 */
#ifndef STANDIN_KV_TABLE_H
#define STANDIN_KV_TABLE_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/error_code.h"

/** A reservation. */
struct kv_reservation {
	uint64_t id;		 /**< Chosen by who reserved. */
	uint64_t tokens;	 /**< Memory it takes. */
	int64_t made_ms;	 /**< When. */
	uint64_t covered_tokens; /**< Prompt tokens computed, with imports. */
	uint64_t content_digest; /**< Of that prompt. */
};

/** The reservations. */
struct kv_table {
	GHashTable *entries; /**< By id. */
	uint64_t tokens;     /**< Sum of their memory. */
};

/** Prepares an empty table. */
void kv_table_init(struct kv_table *table);
/** Gives back memory. */
void kv_table_finish(struct kv_table *table);
/** Reserves out of @p available tokens. Errors: ERROR_NO_CAPACITY,
 * ERROR_ALREADY_EXISTS for the same id with other tokens. */
enum error_code kv_table_reserve(struct kv_table *table, uint64_t id,
    uint64_t tokens, uint64_t available, int64_t now_ms);
/** Gives back. Errors: ERROR_NOT_FOUND. */
enum error_code kv_table_release(struct kv_table *table, uint64_t id);
/** A reservation, or NULL. */
struct kv_reservation *kv_table_find(struct kv_table *table, uint64_t id);
/** Array of all, as GET /engine/v1/kv/held gives it. */
json_t *kv_table_list(struct kv_table *table, int64_t now_ms);

#endif
