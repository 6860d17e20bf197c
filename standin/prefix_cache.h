/**
 * @file prefix_cache.h
 * Prefix cache of a stand-in engine, and the events about its contents that the
 * engine publishes to hosts.
 *
 * Prompts are cached as a chain of ever longer prefixes. The cache keeps only
 * hashes and sizes. It has no lock of its own.
 */
#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include <stdint.h>

#include <glib.h>

#include "protocol/announcement.h"

/** The cache; it evicts the least recently used prefix first. */
struct prefix_cache {
	uint64_t capacity_tokens;   /**< Size of the cache, in tokens. */
	uint64_t used_tokens;	    /**< Tokens of all cached prefixes. */
	GHashTable *entries;	    /**< Cached prefixes by hash. */
	GQueue lru;		    /**< Prefixes, least recently used first. */
	GQueue pending_events;	    /**< Events to publish, oldest first. */
	uint64_t last_event_number; /**< Number of the latest event, or 0. */
};

/** Prepares an empty cache of @p capacity_tokens tokens. */
void prefix_cache_init(struct prefix_cache *cache, uint64_t capacity_tokens);
/** Frees the cache and its pending events. */
void prefix_cache_finish(struct prefix_cache *cache);
/** Returns how many tokens of a prompt are cached. @p hashes and @p tokens
 * describe the @p count prefixes of the prompt, shortest first. A prefix counts
 * only if all shorter ones are cached, too. */
uint64_t prefix_cache_match(struct prefix_cache *cache, const uint64_t *hashes,
    const uint64_t *tokens, uint32_t count);
/** Stores the prefixes of a prompt, given as for prefix_cache_match(), and
 * evicts others to make room. Stops at a prefix that adds more tokens than the
 * whole cache can hold. */
void prefix_cache_store(struct prefix_cache *cache, const uint64_t *hashes,
    const uint64_t *tokens, uint32_t count, int64_t now_ms);
/** Empties the cache and adds an event that says so. */
void prefix_cache_clear(struct prefix_cache *cache, int64_t now_ms);
/** Moves out up to @p max events, oldest first, that occurred no later than
 * @p before_ms on the monotonic clock. Returns their number. */
uint32_t prefix_cache_take_events(struct prefix_cache *cache, int64_t before_ms,
    struct cache_batch_item *events, uint32_t max);

#endif
