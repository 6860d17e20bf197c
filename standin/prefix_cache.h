/**
 * @file prefix_cache.h
 * The stand-in's prefix cache, and the events that it publishes about it.
 */
#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include <stdint.h>

#include <glib.h>

#include "protocol/announcement.h"

/** The cache; least recently used prefixes go first. */
struct prefix_cache {
	uint64_t capacity;   /**< Tokens it may hold. */
	uint64_t used;	     /**< Tokens it holds. */
	GHashTable *entries; /**< By hash. */
	GQueue order;	     /**< Least recently used first. */
	GQueue events;	     /**< Not yet published. */
	uint64_t next_event; /**< Number of the next event. */
};

/** Prepares an empty cache of @p capacity tokens. */
void prefix_cache_init(struct prefix_cache *cache, uint64_t capacity);
/** Gives back memory. */
void prefix_cache_finish(struct prefix_cache *cache);
/** Tokens of the longest of the prefixes that is cached. */
uint64_t prefix_cache_match(struct prefix_cache *cache, const uint64_t *hashes,
    const uint64_t *tokens, uint32_t count);
/** Stores prefixes, each beyond the one before. */
void prefix_cache_store(struct prefix_cache *cache, const uint64_t *hashes,
    const uint64_t *tokens, uint32_t count, int64_t now_ms);
/** Forgets everything. */
void prefix_cache_clear(struct prefix_cache *cache, int64_t now_ms);
/** Takes events that are at least as old as @p before_ms. */
uint32_t prefix_cache_take_events(struct prefix_cache *cache, int64_t before_ms,
    struct cache_batch_item *events, uint32_t max);

#endif
