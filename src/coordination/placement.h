/**
 * @file placement.h
 * Picks the upstream of each request, by the work that waits there.
 *
 * Pure decisions: no I/O, no clock of its own. Work is known from this host's
 * own requests, and from what other entry hosts say of theirs. An upstream
 * that fails is left alone for a while, but never so many of a service that
 * a mistake could empty it. How many requests a second one host may send to
 * one upstream is bounded by the host's share of what a cold upstream bears,
 * since each may turn cold at any moment without a word.
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "state/route_table.h"

#define PLACEMENT_TRIED_MAX   8	 /**< Upstreams that a request remembers. */
#define PLACEMENT_HELPERS_MAX 16 /**< Upstreams that help to read. */
#define PLACEMENT_RATE_SLOTS  16 /**< Times remembered of an upstream. */

/** Settings. */
struct placement_settings {
	char data_centre[NAME_SIZE_MAX]; /**< Of this host. */
	double cold_overshoot;		 /**< Over what a cold one bears. */
	uint32_t cold_slack;		 /**< Requests a second besides. */
};

/** An upstream as it is told to placement. */
struct placement_record {
	uint64_t id;		 /**< Of its name. */
	uint64_t incarnation;	 /**< Grows with each start. */
	uint64_t place;		 /**< upstream_place(). */
	const char *name;	 /**< Its name. */
	const char *service;	 /**< What it serves. */
	const char *data_centre; /**< Where it stands. */
	uint32_t slots;		 /**< Requests at a time. */
	bool is_usable;		 /**< Neither leaving nor taken out. */
};

/** An upstream as it is kept. */
struct placement_upstream {
	uint64_t id;		     /**< See above. */
	uint64_t incarnation;	     /**< See above. */
	uint64_t place;		     /**< See above. */
	char name[NAME_SIZE_MAX];    /**< See above. */
	char service[NAME_SIZE_MAX]; /**< See above. */
	uint32_t slots;		     /**< See above. */
	bool is_usable;		     /**< See above. */
	bool is_near;		     /**< In this host's data centre. */
	bool is_seen;		     /**< In the last update. */
	uint32_t running;	     /**< Own requests there. */
	double read_until_ms;	     /**< When own prompts are read. */
	uint32_t other_running;	     /**< Requests of other hosts. */
	double other_read_until_ms;  /**< When theirs are read. */
	uint32_t failures;	     /**< In a row. */
	double failure_share;	     /**< Of late requests, 0 to 1. */
	int64_t ejected_until_ms;    /**< Left alone until then. */
	int64_t sent_ms[PLACEMENT_RATE_SLOTS]; /**< Times of late sends. */
	uint32_t sent_next;		       /**< Place in the ring. */
};

/** What a request needs. */
struct placement_request {
	const struct route_service *service; /**< Which service. */
	double prompt_tokens;		     /**< 0 for a plain request. */
	uint32_t tried_count;		     /**< In use below. */
	uint64_t tried[PLACEMENT_TRIED_MAX]; /**< Ids not to use again. */
};

/** Where it goes. */
struct placement_choice {
	struct placement_upstream *upstream; /**< Until the next update. */
	double read_ms;	       /**< Own share of reading the prompt. */
	double wait_ms;	       /**< Work that waits there before it. */
	uint32_t helper_count; /**< In use below. */
	uint64_t helpers[PLACEMENT_HELPERS_MAX]; /**< Places of helpers. */
};

/** The state. */
struct placement {
	struct placement_settings settings; /**< As given. */
	struct random_source random;	    /**< Breaks ties. */
	GHashTable *upstreams; /**< Id to struct placement_upstream. */
	uint32_t host_count;   /**< Entry hosts that share the fleet. */
};

/* Setting up */

/** Prepares an empty state. */
void placement_init(struct placement *placement,
    const struct placement_settings *settings, uint64_t seed);
/** Gives back memory. */
void placement_finish(struct placement *placement);
/** Takes over the upstreams there are; the others are forgotten. */
void placement_update(struct placement *placement,
    const struct placement_record *records, uint32_t count);

/* Placing */

/** Picks an upstream and its helpers. Errors: ERROR_NO_UPSTREAM if none is
 * usable, ERROR_NO_CAPACITY if all must be left alone just now. */
enum error_code placement_pick(struct placement *placement,
    const struct placement_request *request, int64_t now_ms,
    struct placement_choice *choice);
/** A request goes to what was picked. */
void placement_begin(struct placement *placement,
    const struct placement_choice *choice, int64_t now_ms);
/** It is over there; @p id may be forgotten by now. */
void placement_end(struct placement *placement, uint64_t id);
/** It went well: an answer, or the first event. */
void placement_note_good(struct placement *placement, uint64_t id);
/** It failed there through the upstream's fault. */
void placement_note_failure(
    struct placement *placement, uint64_t id, int64_t now_ms);
/** Milliseconds until an upstream of the service may be used again. */
int64_t placement_retry_after(struct placement *placement,
    const struct route_service *service, int64_t now_ms);

/* Estimates */

/** Milliseconds that one engine takes to read a prompt alone. */
double engine_read_ms(const struct engine_speed *engine, double tokens);

#endif
