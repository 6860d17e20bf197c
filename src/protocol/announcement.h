/**
 * @file announcement.h
 * What upstreams say to hosts: announce, renew, leave, cache events.
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

#define ANNOUNCEMENT_SIZE_MAX 65536 /**< Bytes of a body. */
#define CACHE_EVENTS_MAX      256   /**< Events in one body. */

/** What happened to a prefix in an engine's cache. */
enum cache_event_kind {
	CACHE_EVENT_STORED = 1,	 /**< The prefix is cached. */
	CACHE_EVENT_EVICTED = 2, /**< The prefix is gone. */
	CACHE_EVENT_CLEARED = 3, /**< Everything is gone. */
};

/** One event. */
struct cache_batch_item {
	uint64_t number;	    /**< Consecutive; a gap means lost ones. */
	enum cache_event_kind kind; /**< What happened. */
	uint64_t prefix_hash;	    /**< As in struct request_facts. */
	uint64_t tokens;	    /**< Tokens of the prefix. */
};

/** Events of one upstream. */
struct cache_event_batch {
	uint64_t id;	      /**< upstream_id() of its name. */
	uint64_t incarnation; /**< Numbers start at 1 in each. */
	uint32_t count;	      /**< Events below. */
	struct cache_batch_item items[CACHE_EVENTS_MAX]; /**< In order sent. */
};

/** A renewal; says that the upstream lives, and how loaded it is. */
struct upstream_renewal {
	char name[NAME_SIZE_MAX];  /**< Which upstream. */
	uint64_t incarnation;	   /**< Which of its lives. */
	bool has_load;		   /**< load counts. */
	struct upstream_load load; /**< Report; id and incarnation filled. */
};

/** A leave; no new work after it. */
struct upstream_leave {
	char name[NAME_SIZE_MAX]; /**< Which upstream. */
	uint64_t incarnation;	  /**< Which of its lives. */
	uint64_t sequence;	  /**< Of the record; above the last. */
	bool gone;		  /**< True: it stops now; false: draining. */
};

/* Reading; errors name field, value and what was expected */

/** Reads an announcement; id and state are filled in. */
enum error_code announcement_parse(const char *body, size_t size,
    struct upstream_record *record, struct field_error *error);
/** Reads a renewal. */
enum error_code renewal_parse(const char *body, size_t size,
    struct upstream_renewal *renewal, struct field_error *error);
/** Reads a leave. */
enum error_code leave_parse(const char *body, size_t size,
    struct upstream_leave *leave, struct field_error *error);
/** Reads cache events. */
enum error_code cache_events_parse(const char *body, size_t size,
    struct cache_event_batch *batch, struct field_error *error);

/* Writing; NULL if memory is short; the caller frees with json_decref() */

/** Announcement of @p record. */
json_t *announcement_write(const struct upstream_record *record);
/** Renewal. */
json_t *renewal_write(const struct upstream_renewal *renewal);
/** Leave. */
json_t *leave_write(const struct upstream_leave *leave);
/** Cache events of the upstream called @p name. */
json_t *cache_events_write(
    const char *name, const struct cache_event_batch *batch);

#endif
