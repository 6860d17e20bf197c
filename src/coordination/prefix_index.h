/**
 * @file prefix_index.h
 * Estimates which upstreams have which prompt prefixes in their KV cache.
 *
 * The index is filled from the requests that this host has sent, and corrected
 * by cache events from upstreams. These arrive late and some are lost: each gap
 * in an upstream's event numbers halves the trust in all earlier entries of
 * that upstream, instead of keeping or dropping them. Memory is fixed: a bucket
 * has eight entries, and the one recorded least recently is replaced. All
 * functions but init and finish are thread-safe. Lookups return hints that may
 * be outdated, but never a mix of two entries.
 */
#ifndef PREFIX_INDEX_H
#define PREFIX_INDEX_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/announcement.h"
#include "state/request.h"

#define PREFIX_HITS_MAX 16 /**< Upstreams that one lookup returns at most. */

/** A cache event as an upstream sends it. */
struct cache_event {
	uint64_t upstream_id;	    /**< Upstream whose cache changed. */
	uint64_t incarnation;	    /**< Incarnation of that upstream. */
	uint64_t sequence;	    /**< Event number, increased by one. */
	enum cache_event_kind kind; /**< Change of the cache. */
	uint64_t prefix_hash; /**< Hash of the stored or evicted prefix. */
};

/** An upstream that probably has a prefix of a prompt. */
struct prefix_hit {
	uint64_t upstream_id; /**< Id of the upstream. */
	uint64_t tokens;      /**< Length of the cached prefix. */
	/** Trust in the hit from 0 to 1; falls with age and lost events. */
	double trust;
};

/** The index; prefix_index_init() must have prepared it. */
struct prefix_index {
	struct prefix_slot *slots;     /**< Entries, grouped in buckets. */
	uint32_t bucket_count;	       /**< Number of buckets, a power of 2. */
	struct prefix_source *sources; /**< State of each upstream's events. */
	int64_t half_life_ms; /**< Age at which trust in an entry is halved. */
};

/** Initialises an index for about @p entries prefixes. Errors:
 * ERROR_NO_MEMORY. */
enum error_code prefix_index_init(
    struct prefix_index *index, uint32_t entries, int64_t half_life_ms);
/** Frees the index. */
void prefix_index_finish(struct prefix_index *index);
/** Records that an upstream has just run a prompt and so has its prefixes. */
void prefix_index_record(struct prefix_index *index,
    const struct request_facts *facts, uint64_t upstream_id, int64_t now_ms);
/** Applies a cache event; one with an old number is ignored. Errors:
 * ERROR_STALE for an old incarnation. */
enum error_code prefix_index_apply(struct prefix_index *index,
    const struct cache_event *event, int64_t now_ms);
/** Invalidates all entries of an upstream, for instance after its restart. */
void prefix_index_invalidate(struct prefix_index *index, uint64_t upstream_id);
/** Finds upstreams that probably have a prefix of a prompt. @p hits gets one
 * hit for each upstream found. Returns the number of hits, at most
 * PREFIX_HITS_MAX. */
uint32_t prefix_index_find(const struct prefix_index *index,
    const struct request_facts *facts, int64_t now_ms,
    struct prefix_hit hits[PREFIX_HITS_MAX]);

#endif
