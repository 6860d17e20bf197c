/**
 * @file placement.h
 * Picks the upstream of each request, by the work that waits there.
 *
 * Pure decisions: no I/O, no clock of its own. Work is known from this host's
 * own requests, and from reports of the other entry hosts. Engines are split
 * between short and long prompts (placement_split.h); a long prompt is read
 * in parts by several of them. An upstream that fails is left alone for a
 * while, but never so many of a service that a mistake could empty it. How
 * many requests a second one host may send to one upstream is bounded by the
 * host's share of what a cold upstream bears, since each may turn cold at any
 * moment without a word.
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "coordination/placement_split.h"
#include "protocol/work_message.h"
#include "state/route_table.h"

#define PLACEMENT_TRIED_MAX   8	 /**< Upstreams that a request remembers. */
#define PLACEMENT_HELPERS_MAX 16 /**< Upstreams that help to read. */
#define PLACEMENT_HOLDERS_MAX 4	 /**< Of these, that also keep memory for it. */
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

/** Work at an upstream. */
struct placement_load {
	double read_until_ms;  /**< When the prompts there are read. */
	uint32_t running;      /**< Requests. */
	uint32_t heavy;	       /**< Of these, with long prompts. */
	uint32_t helping;      /**< Prompts of others that it helps to read. */
	uint32_t leading;      /**< Long prompts of its own, not read yet. */
	uint64_t kv_tokens;    /**< Memory that they take. */
	int64_t away_until_ms; /**< Other hosts leave it alone until then. */
	int64_t due_ms;	       /**< What it leads should be read by then. */
};

/** An upstream as it is kept. */
struct placement_upstream {
	uint64_t id;		      /**< See above. */
	uint64_t incarnation;	      /**< See above. */
	uint64_t place;		      /**< See above. */
	uint64_t rank;		      /**< Order in which short prompts take
					   upstreams, the same on all hosts. */
	char name[NAME_SIZE_MAX];     /**< See above. */
	char service[NAME_SIZE_MAX];  /**< See above. */
	struct placement_load own;    /**< Of this host. */
	struct placement_load others; /**< Of the other hosts. */
	double failure_share;	      /**< Of late requests, 0 to 1. */
	int64_t ejected_until_ms;     /**< Left alone until then. */
	int64_t sent_ms[PLACEMENT_RATE_SLOTS]; /**< Times of late sends. */
	int64_t progress_ms;		       /**< Last byte of any answer. */
	int64_t newest_good_ms; /**< Send time of the newest request that
				     showed progress. */
	uint32_t slots;		/**< See above. */
	uint32_t failures;	/**< In a row. */
	uint32_t sent_next;	/**< Place in the ring. */
	bool is_usable;		/**< See above. */
	bool is_near;		/**< In this host's data centre. */
	bool is_seen;		/**< In the last update. */
};

/** What a request needs. */
struct placement_request {
	const struct route *route;	     /**< Its route. */
	const struct route_service *service; /**< Which service. */
	double prompt_tokens;		     /**< 0 for a plain request. */
	double answer_tokens;		     /**< At most. */
	int64_t arrived_ms;		     /**< When the request came. */
	int64_t deadline_ms;		     /**< When its answer must end. */
	uint64_t tried[PLACEMENT_TRIED_MAX]; /**< Ids not to use again. */
	uint32_t tried_count;		     /**< In use below. */
	bool is_begun; /**< Its caller has part of the answer: no turns. */
	bool is_alone; /**< Helpers failed it before: to be read by one. */
};

/** A long prompt that waits for its turn. Zero waits for nothing. */
struct placement_waiter {
	uint64_t service;   /**< Hash of its service; 0 while not waiting. */
	double work_ms;	    /**< Of one engine, to read it. */
	int64_t since_ms;   /**< When its caller's request came. */
	int64_t goal_ms;    /**< Answer wanted by, from then on. */
	int64_t useless_ms; /**< Time at which to begin is of no use. */
};

/** Where it goes. */
struct placement_choice {
	struct placement_upstream *upstream; /**< Until the next update. */
	double read_ms;	      /**< Each one's part of reading the prompt. */
	double whole_read_ms; /**< All parts. */
	double wait_ms;	      /**< Work that waits there before it. */
	struct split_demand demand;		 /**< That led to it. */
	uint64_t kv_tokens;			 /**< Memory that it takes. */
	uint64_t helpers[PLACEMENT_HELPERS_MAX]; /**< Ids of helpers. */
	uint64_t helper_places[PLACEMENT_HELPERS_MAX]; /**< Where they are. */
	uint64_t held_tokens[PLACEMENT_HOLDERS_MAX]; /**< Memory to be reserved
					at the first so many helpers. */
	uint32_t holder_count;			     /**< In use above. */
	uint32_t light_count;  /**< Upstreams for short prompts... */
	uint32_t usable_count; /**< ...of so many. */
	uint32_t helper_count; /**< In use below. */
	bool is_heavy;	       /**< It has a long prompt. */
	bool is_light_led;     /**< ...but writes beside short ones. */
};

/** What was counted for a request; zero is nothing. */
struct placement_work {
	uint64_t upstream_id; /**< Where, 0 for nothing. */
	uint64_t kv_tokens;   /**< Memory. */
	uint64_t service;     /**< Hash of its service. */
	double read_ms;	      /**< Counted at each one that reads it. */
	double whole_read_ms; /**< All parts of a long prompt. */
	uint64_t helpers[PLACEMENT_HELPERS_MAX]; /**< Ids of helpers. */
	uint32_t helper_count;			 /**< Still reading, below. */
	uint64_t held_tokens[PLACEMENT_HOLDERS_MAX]; /**< Memory at the first
			so many helpers, until the end. */
	uint32_t holder_count;			     /**< In use above. */
	bool is_heavy;	/**< Counted as one with a long prompt. */
	bool is_unread; /**< ...and that is not read yet. */
};

/** A request that hears nothing from its upstream. */
struct silence {
	int64_t sent_ms;     /**< When it was sent. */
	int64_t since_ms;    /**< Last byte, or when it was sent. */
	double expected_ms;  /**< Predicted time to its first byte. */
	int64_t patience_ms; /**< Silence that its caller bears. */
	bool is_reachable;   /**< A connection was made in this silence. */
};

/** What silence means. */
enum silence_verdict {
	SILENCE_WAIT = 1,  /**< It may well be at work. */
	SILENCE_PROBE = 2, /**< See whether it can be reached at all. */
	SILENCE_LEAVE = 3, /**< Go elsewhere. */
};

/** The state. */
struct placement {
	struct placement_settings settings; /**< As given. */
	struct random_source random;	    /**< Breaks ties. */
	GHashTable *upstreams;	/**< Id to struct placement_upstream. */
	GHashTable *peers;	/**< Host id to its last report, see source. */
	GHashTable *services;	/**< Hash to struct service_load, see source. */
	GHashTable *profiles;	/**< Route to its mean prompt, see source. */
	GPtrArray *waiters;	/**< struct placement_waiter of this host. */
	uint32_t host_count;	/**< Entry hosts that share the fleet. */
	uint64_t report_number; /**< Of the last own report. */
	bool is_stale;		/**< The others' loads are to be summed up. */
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
 * usable, ERROR_NO_CAPACITY if all must be left alone just now,
 * ERROR_CHANGE_PENDING if it is not the turn of a long prompt: @p waiter then
 * waits, and it is asked again soon, ERROR_DEADLINE_UNREACHABLE if its turn
 * comes too late to be of use. */
enum error_code placement_pick(struct placement *placement,
    const struct placement_request *request, int64_t now_ms,
    struct placement_waiter *waiter, struct placement_choice *choice);
/** Waits no more; one that does not wait is no error. */
void placement_wait_end(
    struct placement *placement, struct placement_waiter *waiter);
/** Milliseconds until the long prompts that wait now are read. */
int64_t placement_wait_estimate(struct placement *placement,
    const struct route_service *service, int64_t now_ms);
/** A request goes to what was picked; @p work keeps what is counted. */
void placement_begin(struct placement *placement,
    const struct placement_request *request,
    const struct placement_choice *choice, int64_t now_ms,
    struct placement_work *work);
/** Its prompt is read: helpers are free. */
void placement_note_read(
    struct placement *placement, struct placement_work *work);
/** It is over there; nothing counted is no error. */
void placement_end(struct placement *placement, struct placement_work *work);
/** It went well: an answer, or the first event. */
void placement_note_good(struct placement *placement, uint64_t id);
/** It failed there through the upstream's fault. */
void placement_note_failure(
    struct placement *placement, uint64_t id, int64_t now_ms);
/** An answer named the upstream at a place as the one at fault: it is left
 * alone at once. */
void placement_note_fault(
    struct placement *placement, uint64_t place, int64_t now_ms);
/** Bytes came for a request that was sent at @p sent_ms. */
void placement_note_progress(
    struct placement *placement, uint64_t id, int64_t sent_ms, int64_t now_ms);
/** Judges an upstream that says nothing to a request. */
enum silence_verdict placement_judge_silence(struct placement *placement,
    uint64_t id, const struct silence *silence, int64_t now_ms);
/** Milliseconds until an upstream of the service may be used again. */
int64_t placement_retry_after(struct placement *placement,
    const struct route_service *service, int64_t now_ms);

/* Reports between hosts */

/** Writes this host's work. */
void placement_report_write(struct placement *placement, uint64_t incarnation,
    int64_t now_ms, struct message_writer *writer);
/** Takes another host's. Errors: those of work_report_read(), ERROR_STALE. */
enum error_code placement_report_take(struct placement *placement,
    uint32_t host_id, const void *body, size_t size, int64_t now_ms);

/* Estimates */

/** Milliseconds that one engine takes to read a prompt alone. */
double engine_read_ms(const struct engine_speed *engine, double tokens);

#endif
