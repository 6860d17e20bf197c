/**
 * @file prefix_index.h
 * Which upstream probably has which prompt prefix in its cache.
 *
 * Filled from this host's own history, corrected by cache events, which come
 * late and with gaps: a gap in an upstream's event numbers halves the trust in
 * all that was known of it, instead of trusting or dropping it. Fixed memory:
 * eight entries a bucket, of which the least recently used makes room. Any
 * thread may call; readers see hints, never torn ones.
 */
#ifndef PREFIX_INDEX_H
#define PREFIX_INDEX_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/announcement.h"
#include "state/request.h"

#define PREFIX_HITS_MAX 16 /**< Upstreams that one lookup gives. */

/** A cache event as an upstream sends it. */
struct cache_event {
	uint64_t upstream_id;	    /**< Whose cache. */
	uint64_t incarnation;	    /**< Of that incarnation. */
	uint64_t sequence;	    /**< Grows by one with each event. */
	enum cache_event_kind kind; /**< What happened. */
	uint64_t prefix_hash;	    /**< Which prefix. */
};

/** An upstream that probably has a prefix. */
struct prefix_hit {
	uint64_t upstream_id; /**< Which. */
	uint64_t tokens;      /**< Of the longest prefix that it has. */
	double trust;	      /**< From 0 to 1. */
};

/** The index. */
struct prefix_index {
	struct prefix_slot *slots;     /**< Buckets of entries. */
	uint32_t bucket_count;	       /**< A power of two. */
	struct prefix_source *sources; /**< What is known of upstreams. */
	int64_t half_life_ms;	       /**< After which trust halves. */
};

/** Prepares room for about @p entries. Errors: ERROR_NO_MEMORY. */
enum error_code prefix_index_init(
    struct prefix_index *index, uint32_t entries, int64_t half_life_ms);
/** Gives back memory. */
void prefix_index_finish(struct prefix_index *index);
/** Notes that an upstream has just run this prompt. */
void prefix_index_note(struct prefix_index *index,
    const struct request_facts *facts, uint64_t upstream_id, int64_t now_ms);
/** Takes in a cache event. Errors: ERROR_STALE for an old incarnation. */
enum error_code prefix_index_apply(struct prefix_index *index,
    const struct cache_event *event, int64_t now_ms);
/** Drops all that is known of an upstream, such as when it restarted. */
void prefix_index_forget(struct prefix_index *index, uint64_t upstream_id);
/** Finds at most PREFIX_HITS_MAX upstreams; gives how many. */
uint32_t prefix_index_find(const struct prefix_index *index,
    const struct request_facts *facts, int64_t now_ms,
    struct prefix_hit hits[PREFIX_HITS_MAX]);

#endif
