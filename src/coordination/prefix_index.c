/**
 * @file prefix_index.c
 * A set-associative table of prefixes, and one of the upstreams that sent them.
 *
 * Entries are written without a lock: a writer clears the hash first and sets
 * it last, and a reader discards an entry if the hash changed while it read.
 */
#include "coordination/prefix_index.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "config.h"

#define WAYS 8 /* Entries in a bucket of either table. */

/* Buckets of the table of sources: twice UPSTREAMS_MAX sources fit. */
#define SOURCE_BUCKETS (UPSTREAMS_MAX / 4)

#define GAP_TRUST_FACTOR 0.5  /* Trust is multiplied by it for each gap. */
#define TRUST_MIN	 0.05 /* Lookups leave out hits with less trust. */

/** Entry of the index: a prefix that an upstream has. */
struct prefix_slot {
	_Atomic uint64_t hash; /* Hash of the prefix, 0 if the entry is free. */
	_Atomic uint64_t upstream_id;
	_Atomic int64_t recorded_ms;
	_Atomic uint32_t gaps;	/* Gaps of the source when recorded. */
	_Atomic uint32_t epoch; /* Epoch of the source when recorded. */
};

/** State of the cache events of an upstream. */
struct prefix_source {
	_Atomic uint64_t upstream_id; /* Id of the upstream, 0 if free. */
	_Atomic uint64_t incarnation;
	_Atomic uint64_t sequence; /* Number of the last event, or 0. */
	_Atomic uint32_t gaps;	   /* Gaps seen in the event numbers. */
	_Atomic uint32_t epoch;	   /* Entries of an older epoch are invalid. */
	_Atomic int64_t used_ms;   /* When it was last recorded or reported. */
};

static void record_hash(struct prefix_index *index, uint64_t hash,
    const struct prefix_source *source, int64_t now_ms);
static void remove_hash(
    struct prefix_index *index, uint64_t hash, uint64_t upstream_id);
static struct prefix_slot *pick_slot(
    struct prefix_slot *bucket, uint64_t hash, uint64_t upstream_id);
static struct prefix_slot *find_bucket(
    const struct prefix_index *index, uint64_t hash);
static struct prefix_source *find_source(
    const struct prefix_index *index, uint64_t upstream_id);
static struct prefix_source *find_or_add_source(
    struct prefix_index *index, uint64_t upstream_id, int64_t now_ms);
static double calculate_trust(const struct prefix_index *index,
    const struct prefix_slot *slot, uint64_t upstream_id, int64_t now_ms);
static void add_hit(struct prefix_hit *hits, uint32_t *count,
    uint64_t upstream_id, uint64_t tokens, double trust);

enum error_code
prefix_index_init(
    struct prefix_index *index, uint32_t entries, int64_t half_life_ms)
{
	uint32_t buckets;

	memset(index, 0, sizeof(*index));
	buckets = 1;
	while (buckets < entries / WAYS)
		buckets *= 2;
	index->slots = calloc((size_t)buckets * WAYS, sizeof(*index->slots));
	index->sources =
	    calloc((size_t)SOURCE_BUCKETS * WAYS, sizeof(*index->sources));
	if (index->slots == NULL || index->sources == NULL) {
		prefix_index_finish(index);
		return ERROR_NO_MEMORY;
	}
	index->bucket_count = buckets;
	index->half_life_ms = half_life_ms;
	return ERROR_NONE;
}

void
prefix_index_finish(struct prefix_index *index)
{
	free(index->slots);
	free(index->sources);
	memset(index, 0, sizeof(*index));
}

void
prefix_index_record(struct prefix_index *index,
    const struct request_facts *facts, uint64_t upstream_id, int64_t now_ms)
{
	struct prefix_source *source;
	uint32_t i;

	source = find_or_add_source(index, upstream_id, now_ms);
	for (i = 0; i < facts->prefix_count; i++)
		record_hash(index, facts->prefix_hashes[i], source, now_ms);
}

enum error_code
prefix_index_apply(
    struct prefix_index *index, const struct cache_event *event, int64_t now_ms)
{
	struct prefix_source *source;
	uint64_t sequence;

	source = find_or_add_source(index, event->upstream_id, now_ms);
	if (event->incarnation < atomic_load(&source->incarnation))
		return ERROR_STALE;
	sequence = atomic_load(&source->sequence);
	if (event->incarnation > atomic_load(&source->incarnation)) {
		if (atomic_load(&source->incarnation) != 0)
			atomic_fetch_add(&source->epoch, 1);
		atomic_store(&source->incarnation, event->incarnation);
		sequence = 0;
	}
	/* An event with an old number was counted as a gap already. */
	if (sequence != 0 && event->sequence <= sequence)
		return ERROR_NONE;
	if (sequence != 0 && event->sequence != sequence + 1)
		atomic_fetch_add(&source->gaps, 1);
	atomic_store(&source->sequence, event->sequence);
	switch (event->kind) {
	case CACHE_EVENT_STORED:
		record_hash(index, event->prefix_hash, source, now_ms);
		break;
	case CACHE_EVENT_EVICTED:
		remove_hash(index, event->prefix_hash, event->upstream_id);
		break;
	case CACHE_EVENT_CLEARED:
		atomic_fetch_add(&source->epoch, 1);
		break;
	}
	return ERROR_NONE;
}

void
prefix_index_invalidate(struct prefix_index *index, uint64_t upstream_id)
{
	struct prefix_source *source;

	source = find_source(index, upstream_id);
	if (source != NULL)
		atomic_fetch_add(&source->epoch, 1);
}

uint32_t
prefix_index_find(const struct prefix_index *index,
    const struct request_facts *facts, int64_t now_ms,
    struct prefix_hit hits[PREFIX_HITS_MAX])
{
	struct prefix_slot *bucket;
	uint64_t upstream_id;
	uint32_t count, i, way;
	double trust;

	count = 0;
	for (i = facts->prefix_count; i > 0; i--) {
		bucket = find_bucket(index, facts->prefix_hashes[i - 1]);
		for (way = 0; way < WAYS; way++) {
			if (atomic_load(&bucket[way].hash) !=
			    facts->prefix_hashes[i - 1])
				continue;
			upstream_id = atomic_load(&bucket[way].upstream_id);
			trust = calculate_trust(
			    index, &bucket[way], upstream_id, now_ms);
			if (trust < TRUST_MIN ||
			    atomic_load(&bucket[way].hash) !=
				facts->prefix_hashes[i - 1])
				continue;
			add_hit(hits, &count, upstream_id,
			    facts->prefix_tokens[i - 1], trust);
		}
	}
	return count;
}

static void
record_hash(struct prefix_index *index, uint64_t hash,
    const struct prefix_source *source, int64_t now_ms)
{
	struct prefix_slot *slot;
	uint64_t upstream_id;

	if (hash == 0)
		return;
	upstream_id = atomic_load(&source->upstream_id);
	slot = pick_slot(find_bucket(index, hash), hash, upstream_id);
	atomic_store(&slot->hash, 0);
	atomic_store(&slot->upstream_id, upstream_id);
	atomic_store(&slot->recorded_ms, now_ms);
	atomic_store(&slot->gaps, atomic_load(&source->gaps));
	atomic_store(&slot->epoch, atomic_load(&source->epoch));
	atomic_store(&slot->hash, hash);
}

static void
remove_hash(struct prefix_index *index, uint64_t hash, uint64_t upstream_id)
{
	struct prefix_slot *bucket;
	uint32_t way;

	bucket = find_bucket(index, hash);
	for (way = 0; way < WAYS; way++) {
		if (atomic_load(&bucket[way].hash) == hash &&
		    atomic_load(&bucket[way].upstream_id) == upstream_id)
			atomic_store(&bucket[way].hash, 0);
	}
}

/* Returns the entry of this prefix and upstream, else a free one of the bucket,
 * else the one that was recorded least recently. */
static struct prefix_slot *
pick_slot(struct prefix_slot *bucket, uint64_t hash, uint64_t upstream_id)
{
	struct prefix_slot *oldest;
	uint32_t way;

	oldest = NULL;
	for (way = 0; way < WAYS; way++) {
		if (atomic_load(&bucket[way].hash) == hash &&
		    atomic_load(&bucket[way].upstream_id) == upstream_id)
			return &bucket[way];
	}
	for (way = 0; way < WAYS; way++) {
		if (atomic_load(&bucket[way].hash) == 0)
			return &bucket[way];
		if (oldest == NULL || atomic_load(&bucket[way].recorded_ms) <
					  atomic_load(&oldest->recorded_ms))
			oldest = &bucket[way];
	}
	return oldest;
}

static struct prefix_slot *
find_bucket(const struct prefix_index *index, uint64_t hash)
{
	uint64_t mixed_hash;

	mixed_hash = XXH64(&hash, sizeof(hash), 0);
	return &index->slots[(mixed_hash & (index->bucket_count - 1)) * WAYS];
}

static struct prefix_source *
find_source(const struct prefix_index *index, uint64_t upstream_id)
{
	struct prefix_source *bucket;
	uint32_t way;

	bucket = &index->sources[upstream_id % SOURCE_BUCKETS * WAYS];
	for (way = 0; way < WAYS; way++) {
		if (atomic_load(&bucket[way].upstream_id) == upstream_id)
			return &bucket[way];
	}
	return NULL;
}

/* Returns the source of an upstream; a new one may replace the least recently
 * used source of its bucket. */
static struct prefix_source *
find_or_add_source(
    struct prefix_index *index, uint64_t upstream_id, int64_t now_ms)
{
	struct prefix_source *bucket, *oldest, *source;
	uint64_t expected_id;
	uint32_t way;

	source = find_source(index, upstream_id);
	if (source != NULL) {
		atomic_store(&source->used_ms, now_ms);
		return source;
	}
	bucket = &index->sources[upstream_id % SOURCE_BUCKETS * WAYS];
	oldest = bucket;
	for (way = 0; way < WAYS; way++) {
		expected_id = 0;
		if (atomic_compare_exchange_strong(
			&bucket[way].upstream_id, &expected_id, upstream_id) ||
		    expected_id == upstream_id) {
			atomic_store(&bucket[way].used_ms, now_ms);
			return &bucket[way];
		}
		if (atomic_load(&bucket[way].used_ms) <
		    atomic_load(&oldest->used_ms))
			oldest = &bucket[way];
	}
	/* Replace the least recently used source. Entries of its upstream then
	 * find no source and get trust 0. */
	atomic_store(&oldest->upstream_id, upstream_id);
	atomic_fetch_add(&oldest->epoch, 1);
	atomic_store(&oldest->incarnation, 0);
	atomic_store(&oldest->sequence, 0);
	atomic_store(&oldest->used_ms, now_ms);
	return oldest;
}

/* Returns the trust in an entry: 1 when recorded, multiplied by
 * GAP_TRUST_FACTOR for each gap since and halved every half_life_ms; 0 for an
 * invalidated entry. */
static double
calculate_trust(const struct prefix_index *index,
    const struct prefix_slot *slot, uint64_t upstream_id, int64_t now_ms)
{
	const struct prefix_source *source;
	int64_t age_ms;
	uint32_t gaps;

	source = find_source(index, upstream_id);
	if (source == NULL ||
	    atomic_load(&source->epoch) != atomic_load(&slot->epoch))
		return 0;
	gaps = atomic_load(&source->gaps) - atomic_load(&slot->gaps);
	age_ms = now_ms - atomic_load(&slot->recorded_ms);
	return pow(GAP_TRUST_FACTOR, gaps) *
	       exp2(-(double)age_ms / (double)index->half_life_ms);
}

/* Adds a hit, or replaces that of the same upstream if the new one promises
 * more cached tokens (tokens times trust). The caller adds longer prefixes
 * first. */
static void
add_hit(struct prefix_hit *hits, uint32_t *count, uint64_t upstream_id,
    uint64_t tokens, double trust)
{
	struct prefix_hit hit = {upstream_id, tokens, trust};
	uint32_t i;

	for (i = 0; i < *count; i++) {
		if (hits[i].upstream_id != upstream_id)
			continue;
		if ((double)tokens * trust >
		    (double)hits[i].tokens * hits[i].trust)
			hits[i] = hit;
		return;
	}
	if (*count < PREFIX_HITS_MAX)
		hits[(*count)++] = hit;
}
