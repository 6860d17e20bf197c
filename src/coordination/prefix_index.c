/**
 * @file prefix_index.c
 * A set-associative table of prefixes, and what is known of each upstream.
 *
 * Entries are written without a lock: the hash is cleared first and set last,
 * and a reader that sees it change drops what it read.
 */
#include "coordination/prefix_index.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "config.h"

#define WAYS	       8		   /* Entries of a bucket. */
#define SOURCE_BUCKETS (UPSTREAMS_MAX / 4) /* Of WAYS sources each. */
#define GAP_TRUST      0.5		   /* Trust left after a gap. */
#define TRUST_LEAST    0.05		   /* Below it nothing is said. */

/** A prefix on an upstream. */
struct prefix_slot {
	_Atomic uint64_t hash; /* 0 for none. */
	_Atomic uint64_t upstream_id;
	_Atomic int64_t noted_ms;
	_Atomic uint32_t gaps;	/* Of the source when noted. */
	_Atomic uint32_t epoch; /* Of the source when noted. */
};

/** What is known of an upstream's cache. */
struct prefix_source {
	_Atomic uint64_t upstream_id; /* 0 for none. */
	_Atomic uint64_t incarnation;
	_Atomic uint64_t sequence; /* Of the last event. */
	_Atomic uint32_t gaps;	   /* Seen in its events. */
	_Atomic uint32_t epoch;	   /* Entries of an older one are void. */
	_Atomic int64_t used_ms;
};

static void note_hash(struct prefix_index *index, uint64_t hash,
    const struct prefix_source *source, int64_t now_ms);
static void drop_hash(
    struct prefix_index *index, uint64_t hash, uint64_t upstream_id);
static struct prefix_slot *pick_slot(
    struct prefix_slot *bucket, uint64_t hash, uint64_t upstream_id);
static struct prefix_slot *find_bucket(
    const struct prefix_index *index, uint64_t hash);
static struct prefix_source *find_source(
    const struct prefix_index *index, uint64_t upstream_id);
static struct prefix_source *provide_source(
    struct prefix_index *index, uint64_t upstream_id, int64_t now_ms);
static double rate_slot(const struct prefix_index *index,
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
prefix_index_note(struct prefix_index *index, const struct request_facts *facts,
    uint64_t upstream_id, int64_t now_ms)
{
	struct prefix_source *source;
	uint32_t i;

	source = provide_source(index, upstream_id, now_ms);
	for (i = 0; i < facts->prefix_count; i++)
		note_hash(index, facts->prefix_hashes[i], source, now_ms);
}

enum error_code
prefix_index_apply(
    struct prefix_index *index, const struct cache_event *event, int64_t now_ms)
{
	struct prefix_source *source;
	uint64_t sequence;

	source = provide_source(index, event->upstream_id, now_ms);
	if (event->incarnation < atomic_load(&source->incarnation))
		return ERROR_STALE;
	sequence = atomic_load(&source->sequence);
	if (event->incarnation > atomic_load(&source->incarnation)) {
		if (atomic_load(&source->incarnation) != 0)
			atomic_fetch_add(&source->epoch, 1);
		atomic_store(&source->incarnation, event->incarnation);
		sequence = 0;
	}
	/* An event that comes late was counted as a gap already. */
	if (sequence != 0 && event->sequence <= sequence)
		return ERROR_NONE;
	if (sequence != 0 && event->sequence != sequence + 1)
		atomic_fetch_add(&source->gaps, 1);
	atomic_store(&source->sequence, event->sequence);
	switch (event->kind) {
	case CACHE_EVENT_STORED:
		note_hash(index, event->prefix_hash, source, now_ms);
		break;
	case CACHE_EVENT_EVICTED:
		drop_hash(index, event->prefix_hash, event->upstream_id);
		break;
	case CACHE_EVENT_CLEARED:
		atomic_fetch_add(&source->epoch, 1);
		break;
	}
	return ERROR_NONE;
}

void
prefix_index_forget(struct prefix_index *index, uint64_t upstream_id)
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
			trust =
			    rate_slot(index, &bucket[way], upstream_id, now_ms);
			if (trust < TRUST_LEAST ||
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
note_hash(struct prefix_index *index, uint64_t hash,
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
	atomic_store(&slot->noted_ms, now_ms);
	atomic_store(&slot->gaps, atomic_load(&source->gaps));
	atomic_store(&slot->epoch, atomic_load(&source->epoch));
	atomic_store(&slot->hash, hash);
}

static void
drop_hash(struct prefix_index *index, uint64_t hash, uint64_t upstream_id)
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

/* The entry itself, else a free one, else the least recently noted. */
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
		if (oldest == NULL || atomic_load(&bucket[way].noted_ms) <
					  atomic_load(&oldest->noted_ms))
			oldest = &bucket[way];
	}
	return oldest;
}

static struct prefix_slot *
find_bucket(const struct prefix_index *index, uint64_t hash)
{
	uint64_t spread;

	spread = XXH64(&hash, sizeof(hash), 0);
	return &index->slots[(spread & (index->bucket_count - 1)) * WAYS];
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

static struct prefix_source *
provide_source(struct prefix_index *index, uint64_t upstream_id, int64_t now_ms)
{
	struct prefix_source *bucket, *oldest, *source;
	uint64_t free_id;
	uint32_t way;

	source = find_source(index, upstream_id);
	if (source != NULL) {
		atomic_store(&source->used_ms, now_ms);
		return source;
	}
	bucket = &index->sources[upstream_id % SOURCE_BUCKETS * WAYS];
	oldest = bucket;
	for (way = 0; way < WAYS; way++) {
		free_id = 0;
		if (atomic_compare_exchange_strong(
			&bucket[way].upstream_id, &free_id, upstream_id) ||
		    free_id == upstream_id) {
			atomic_store(&bucket[way].used_ms, now_ms);
			return &bucket[way];
		}
		if (atomic_load(&bucket[way].used_ms) <
		    atomic_load(&oldest->used_ms))
			oldest = &bucket[way];
	}
	/* What the old upstream had noted finds no source, so no trust. */
	atomic_store(&oldest->upstream_id, upstream_id);
	atomic_fetch_add(&oldest->epoch, 1);
	atomic_store(&oldest->incarnation, 0);
	atomic_store(&oldest->sequence, 0);
	atomic_store(&oldest->used_ms, now_ms);
	return oldest;
}

static double
rate_slot(const struct prefix_index *index, const struct prefix_slot *slot,
    uint64_t upstream_id, int64_t now_ms)
{
	const struct prefix_source *source;
	int64_t age_ms;
	uint32_t gaps;

	source = find_source(index, upstream_id);
	if (source == NULL ||
	    atomic_load(&source->epoch) != atomic_load(&slot->epoch))
		return 0;
	gaps = atomic_load(&source->gaps) - atomic_load(&slot->gaps);
	age_ms = now_ms - atomic_load(&slot->noted_ms);
	return pow(GAP_TRUST, gaps) *
	       exp2(-(double)age_ms / (double)index->half_life_ms);
}

/* Longer prefixes come first; a shorter one counts if it promises more. */
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
