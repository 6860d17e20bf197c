#include "prefix_cache.h"

#include <string.h>

#define EVENTS_WAITING_MAX 4096 /* Older ones are lost: a gap. */

/* A cached prefix; it holds the tokens beyond the next shorter one. */
struct prefix_entry {
	uint64_t hash;
	uint64_t tokens; /* Of the whole prefix. */
	uint64_t weight; /* Memory that it takes. */
	GList *link;	 /* Its place in the order of use. */
};

/* An event that waits to be published. */
struct waiting_event {
	struct cache_batch_item event;
	int64_t made_ms;
};

static void add_event(struct prefix_cache *cache, enum cache_event_kind kind,
    const struct prefix_entry *entry, int64_t now_ms);
static void evict_oldest(struct prefix_cache *cache, int64_t now_ms);
static void touch(struct prefix_cache *cache, struct prefix_entry *entry);

void
prefix_cache_init(struct prefix_cache *cache, uint64_t capacity)
{
	memset(cache, 0, sizeof(*cache));
	cache->capacity = capacity;
	cache->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&cache->order);
	g_queue_init(&cache->events);
}

void
prefix_cache_finish(struct prefix_cache *cache)
{
	g_queue_clear(&cache->order);
	g_queue_clear_full(&cache->events, g_free);
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
		touch(cache, entry);
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
			touch(cache, entry);
			continue;
		}
		weight = tokens[i] - (i == 0 ? 0 : tokens[i - 1]);
		if (weight > cache->capacity)
			break;
		while (cache->used + weight > cache->capacity)
			evict_oldest(cache, now_ms);
		entry = g_new0(struct prefix_entry, 1);
		entry->hash = hashes[i];
		entry->tokens = tokens[i];
		entry->weight = weight;
		g_queue_push_tail(&cache->order, entry);
		entry->link = cache->order.tail;
		g_hash_table_insert(cache->entries, &entry->hash, entry);
		cache->used += weight;
		add_event(cache, CACHE_EVENT_STORED, entry, now_ms);
	}
}

void
prefix_cache_clear(struct prefix_cache *cache, int64_t now_ms)
{
	g_queue_clear(&cache->order);
	g_hash_table_remove_all(cache->entries);
	cache->used = 0;
	add_event(cache, CACHE_EVENT_CLEARED, NULL, now_ms);
}

uint32_t
prefix_cache_take_events(struct prefix_cache *cache, int64_t before_ms,
    struct cache_batch_item *events, uint32_t max)
{
	struct waiting_event *waiting;
	uint32_t count;

	count = 0;
	while (count < max) {
		waiting = g_queue_peek_head(&cache->events);
		if (waiting == NULL || waiting->made_ms > before_ms)
			break;
		events[count++] = waiting->event;
		g_free(g_queue_pop_head(&cache->events));
	}
	return count;
}

static void
add_event(struct prefix_cache *cache, enum cache_event_kind kind,
    const struct prefix_entry *entry, int64_t now_ms)
{
	struct waiting_event *waiting;

	waiting = g_new0(struct waiting_event, 1);
	waiting->event.number = ++cache->next_event;
	waiting->event.kind = kind;
	waiting->made_ms = now_ms;
	if (entry != NULL) {
		waiting->event.prefix_hash = entry->hash;
		waiting->event.tokens = entry->tokens;
	}
	g_queue_push_tail(&cache->events, waiting);
	if (g_queue_get_length(&cache->events) > EVENTS_WAITING_MAX)
		g_free(g_queue_pop_head(&cache->events));
}

static void
evict_oldest(struct prefix_cache *cache, int64_t now_ms)
{
	struct prefix_entry *entry;

	entry = g_queue_pop_head(&cache->order);
	add_event(cache, CACHE_EVENT_EVICTED, entry, now_ms);
	cache->used -= entry->weight;
	g_hash_table_remove(cache->entries, &entry->hash);
}

static void
touch(struct prefix_cache *cache, struct prefix_entry *entry)
{
	g_queue_unlink(&cache->order, entry->link);
	g_queue_push_tail_link(&cache->order, entry->link);
}
