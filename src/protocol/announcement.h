/**
 * @file announcement.h
 * JSON bodies that upstreams send to hosts: announcements, renewals, leaves
 * and cache events. Parses them on hosts and writes them for upstreams.
 */
#ifndef ANNOUNCEMENT_H
#define ANNOUNCEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error_code.h"
#include "protocol/field_error.h"
#include "state/upstream.h"

/** Largest body of an announcement, renewal, leave or cache events, in
 * bytes. */
#define ANNOUNCEMENT_SIZE_MAX 65536
#define CACHE_EVENTS_MAX      256 /**< Most cache events in one body. */

/** Change of a prompt prefix in an engine's KV cache. */
enum cache_event_kind {
	CACHE_EVENT_STORED = 1,	 /**< The prefix is now cached. */
	CACHE_EVENT_EVICTED = 2, /**< The prefix is no longer cached. */
	CACHE_EVENT_CLEARED = 3, /**< The whole cache was emptied. */
};

/** One cache event of a batch. */
struct cache_batch_item {
	/** Consecutive number of the event; a gap means that events were
	 * lost. */
	uint64_t number;
	enum cache_event_kind kind; /**< What changed in the cache. */
	/** Hash of the prefix, computed as in struct request_facts; unused for
	 * a cleared cache. */
	uint64_t prefix_hash;
	/** Length of the prefix in tokens; unused for a cleared cache. */
	uint64_t tokens;
};

/** Cache events that one upstream reports in one body. */
struct cache_event_batch {
	uint64_t id; /**< Id of the upstream: upstream_id() of its name. */
	/** Incarnation of the upstream; event numbers start at 1 in each. */
	uint64_t incarnation;
	uint32_t count; /**< Elements in use of items. */
	/** Events in the order in which the upstream sent them. */
	struct cache_batch_item items[CACHE_EVENTS_MAX];
};

/** A renewal: keeps an upstream's record valid and may report its load. */
struct upstream_renewal {
	char name[NAME_SIZE_MAX]; /**< Name of the upstream. */
	/** Incarnation of the upstream, increased at each start. */
	uint64_t incarnation;
	bool has_load; /**< The renewal came with a load report. */
	/** Load report; the parser also fills its id and incarnation. */
	struct upstream_load load;
};

/** Notice that an upstream leaves and must get no new work. */
struct upstream_leave {
	char name[NAME_SIZE_MAX]; /**< Name of the upstream. */
	/** Incarnation of the upstream, increased at each start. */
	uint64_t incarnation;
	/** Sequence number of the changed record, above the last one. */
	uint64_t sequence;
	/** True if the upstream stops now, false if it still finishes its
	 * running requests. */
	bool gone;
};

/* Parsing; on failure the result is the error's code, and the error names the
 * field, its value and what was expected */

/** Parses an announcement and fills in the record's id and state. */
enum error_code announcement_parse(const char *body, size_t size,
    struct upstream_record *record, struct field_error *error);
/** Parses a renewal; the load report in the body is optional. */
enum error_code renewal_parse(const char *body, size_t size,
    struct upstream_renewal *renewal, struct field_error *error);
/** Parses a leave; an absent "gone" means draining. */
enum error_code leave_parse(const char *body, size_t size,
    struct upstream_leave *leave, struct field_error *error);
/** Parses a body of at most CACHE_EVENTS_MAX cache events. */
enum error_code cache_events_parse(const char *body, size_t size,
    struct cache_event_batch *batch, struct field_error *error);

/* Writing; the result is NULL if memory is short, and the caller releases it
 * with json_decref() */

/** Returns the body of an announcement of @p record. */
json_t *announcement_write(const struct upstream_record *record);
/** Returns the body of a renewal, with the load report if it has one. */
json_t *renewal_write(const struct upstream_renewal *renewal);
/** Returns the body of a leave. */
json_t *leave_write(const struct upstream_leave *leave);
/** Returns the body that reports the cache events in @p batch for the upstream
 * called @p name. */
json_t *cache_events_write(
    const char *name, const struct cache_event_batch *batch);

#endif
