#include "prefix_cache.h"

#include <string.h>

/* Most events kept for publishing. Beyond that the oldest is dropped, which
 * hosts notice as a gap in the event numbers. */
#define PENDING_EVENTS_MAX 4096

/* A cached prefix. It takes memory only for the tokens that the next shorter
 * prefix lacks. */
struct prefix_entry {
	uint64_t hash;	     /* Hash of the prefix. */
	uint64_t tokens;     /* Length of the prefix, in tokens. */
	uint64_t own_tokens; /* Cache memory that it takes, in tokens. */
	GList *lru_link;     /* Link in the cache's LRU queue. */
};

/* An event to be published to hosts. */
struct pending_event {
	struct cache_batch_item event;
	int64_t created_ms; /* Time of the event, monotonic clock. */
};

static void add_event(struct prefix_cache *cache, enum cache_event_kind kind,
    const struct prefix_entry *entry, int64_t now_ms);
static void evict_least_recently_used(
    struct prefix_cache *cache, int64_t now_ms);
static void mark_used(struct prefix_cache *cache, struct prefix_entry *entry);

void
prefix_cache_init(struct prefix_cache *cache, uint64_t capacity_tokens)
{
	memset(cache, 0, sizeof(*cache));
	cache->capacity_tokens = capacity_tokens;
	cache->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&cache->lru);
	g_queue_init(&cache->pending_events);
}

void
prefix_cache_finish(struct prefix_cache *cache)
{
	g_queue_clear(&cache->lru);
	g_queue_clear_full(&cache->pending_events, g_free);
	g_hash_table_destroy(cache->entries);
}

uint64_t
prefix_cache_match(struct prefix_cache *cache, const uint64_t *hashes,
    const uint64_t *tokens, uint32_t count)
{
	struct prefix_entry *entry;
	uint64_t matched;
	uint32_t i;

	matched = 0;
	for (i = 0; i < count; i++) {
		entry = g_hash_table_lookup(cache->entries, &hashes[i]);
		if (entry == NULL)
			break;
		mark_used(cache, entry);
		matched = tokens[i];
	}
	return matched;
}

void
prefix_cache_store(struct prefix_cache *cache, const uint64_t *hashes,
    const uint64_t *tokens, uint32_t count, int64_t now_ms)
{
	struct prefix_entry *entry;
	uint64_t weight;
	uint32_t i;

	for (i = 0; i < count; i++) {
		entry = g_hash_table_lookup(cache->entries, &hashes[i]);
		if (entry != NULL) {
			mark_used(cache, entry);
			continue;
		}
		weight = tokens[i] - (i == 0 ? 0 : tokens[i - 1]);
		if (weight > cache->capacity_tokens)
			break;
		while (cache->used_tokens + weight > cache->capacity_tokens)
			evict_least_recently_used(cache, now_ms);
		entry = g_new0(struct prefix_entry, 1);
		entry->hash = hashes[i];
		entry->tokens = tokens[i];
		entry->own_tokens = weight;
		g_queue_push_tail(&cache->lru, entry);
		entry->lru_link = cache->lru.tail;
		g_hash_table_insert(cache->entries, &entry->hash, entry);
		cache->used_tokens += weight;
		add_event(cache, CACHE_EVENT_STORED, entry, now_ms);
	}
}

void
prefix_cache_clear(struct prefix_cache *cache, int64_t now_ms)
{
	g_queue_clear(&cache->lru);
	g_hash_table_remove_all(cache->entries);
	cache->used_tokens = 0;
	add_event(cache, CACHE_EVENT_CLEARED, NULL, now_ms);
}

uint32_t
prefix_cache_take_events(struct prefix_cache *cache, int64_t before_ms,
    struct cache_batch_item *events, uint32_t max)
{
	struct pending_event *pending;
	uint32_t count;

	count = 0;
	while (count < max) {
		pending = g_queue_peek_head(&cache->pending_events);
		if (pending == NULL || pending->created_ms > before_ms)
			break;
		events[count++] = pending->event;
		g_free(g_queue_pop_head(&cache->pending_events));
	}
	return count;
}

static void
add_event(struct prefix_cache *cache, enum cache_event_kind kind,
    const struct prefix_entry *entry, int64_t now_ms)
{
	struct pending_event *pending;

	pending = g_new0(struct pending_event, 1);
	pending->event.number = ++cache->last_event_number;
	pending->event.kind = kind;
	pending->created_ms = now_ms;
	if (entry != NULL) {
		pending->event.prefix_hash = entry->hash;
		pending->event.tokens = entry->tokens;
	}
	g_queue_push_tail(&cache->pending_events, pending);
	if (g_queue_get_length(&cache->pending_events) > PENDING_EVENTS_MAX)
		g_free(g_queue_pop_head(&cache->pending_events));
}

static void
evict_least_recently_used(struct prefix_cache *cache, int64_t now_ms)
{
	struct prefix_entry *entry;

	entry = g_queue_pop_head(&cache->lru);
	add_event(cache, CACHE_EVENT_EVICTED, entry, now_ms);
	cache->used_tokens -= entry->own_tokens;
	g_hash_table_remove(cache->entries, &entry->hash);
}

/* Moves a prefix to the most recently used end of the queue. */
static void
mark_used(struct prefix_cache *cache, struct prefix_entry *entry)
{
	g_queue_unlink(&cache->lru, entry->lru_link);
	g_queue_push_tail_link(&cache->lru, entry->lru_link);
}
