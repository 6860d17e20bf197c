/**
 * @file wait_line.h
 * Where requests wait until an upstream has room for them, in fair order.
 *
 * It ties admission, the fair queue and the router together for the request
 * threads of one host. A request that can start at once does; the others wait
 * until capacity comes back, and are refused as soon as they can no longer
 * end in time.
 */
#ifndef WAIT_LINE_H
#define WAIT_LINE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "coordination/admission.h"
#include "coordination/fair_queue.h"
#include "coordination/fleet_view.h"
#include "coordination/prefix_index.h"
#include "coordination/router.h"
#include "state/request.h"

#define WAIT_EXCLUDED_MAX 16 /**< Upstreams tried already. */

/** Where a request was sent to. */
struct wait_route {
	struct fleet_work work;		   /**< Capacity that is taken. */
	char url[URL_SIZE_MAX];		   /**< Where the upstream serves. */
	uint64_t upstream_id;		   /**< Which upstream. */
	uint64_t incarnation;		   /**< Which of its lives. */
	char upstream_name[NAME_SIZE_MAX]; /**< For spans and logs. */
	char data_centre[NAME_SIZE_MAX];   /**< For spans and metrics. */
	double first_token_ms;		   /**< Predicted, from now. */
	double end_ms;			   /**< Predicted, from now. */
	uint64_t ahead_tokens; /**< Prompt tokens ahead of it there. */
};

/** One waiting request; its owner's memory until wait_line_leave(). */
struct wait_ticket {
	const struct request_facts *facts;    /**< The request. */
	uint64_t account_id;		      /**< Of its client account. */
	uint64_t excluded[WAIT_EXCLUDED_MAX]; /**< Upstreams tried already. */
	uint32_t excluded_count;	      /**< How many. */
	GList link;			      /**< Of the line's tickets. */
	bool needs_group; /**< Larger than one upstream; does not wait here. */
	bool must_be_alone;	 /**< Suspected of crashing upstreams. */
	bool is_admitted;	 /**< Counted in flight by admission. */
	bool has_waited;	 /**< Did not start at once. */
	bool is_queued;		 /**< Waits in the queue. */
	bool has_started;	 /**< The route is set. */
	enum error_code error;	 /**< Why it was refused. */
	uint32_t retry_after_ms; /**< When to come back, if refused. */
	int64_t latest_start_ms; /**< From then on it can't make it. */
	uint64_t wanted_id; /**< Best upstream, if it had no room; else 0. */
	struct capacity_amount wanted; /**< What it lacked room for. */
	struct wait_route route;       /**< Where it goes. */
	pthread_cond_t changed;	       /**< Signalled when it starts. */
};

/** What the line needs; all outlive it. */
struct wait_line_parts {
	struct fleet *fleet;		     /**< Upstreams and intent. */
	struct prefix_index *prefixes;	     /**< Prefix affinity. */
	struct router_mix *mix;		     /**< Share of long prompts. */
	struct router_settings router;	     /**< Filled. */
	struct admission_settings admission; /**< Zero for defaults. */
	struct fair_queue_settings queue;    /**< Bounds. */
	int64_t (*now_ms)(void);	     /**< Monotonic clock. */
	/** Waits for a condition, at most until that clock shows a time. */
	void (*wait_until)(pthread_cond_t *condition, pthread_mutex_t *mutex,
	    int64_t until_ms);
};

/** The line. */
struct wait_line {
	struct wait_line_parts parts; /**< As given. */
	pthread_mutex_t mutex;	      /**< Guards the rest. */
	struct admission admission;   /**< Who is taken on. */
	struct fair_queue queue;      /**< Who waits. */
	GQueue tickets;		      /**< The same, the oldest first. */
	_Atomic uint32_t waiting;     /**< For metrics. */
};

/* Setting up */

/** Prepares an open line. */
enum error_code wait_line_init(
    struct wait_line *line, const struct wait_line_parts *parts);
/** Gives back memory; no ticket may be in it. */
void wait_line_finish(struct wait_line *line);
/** Refuses new requests; those that wait go on. */
void wait_line_close(struct wait_line *line);
/** How many hosts share the accounts' limits. */
void wait_line_set_hosts(struct wait_line *line, uint32_t hosts);

/* A request's own thread */

/** Prepares a ticket. */
void wait_ticket_init(
    struct wait_ticket *ticket, const struct request_facts *facts);
/** Gives back what the ticket holds. */
void wait_ticket_finish(struct wait_ticket *ticket);
/** Admits or refuses at once. Errors: those of admission and router, with
 * ticket->retry_after_ms set. */
enum error_code wait_line_enter(
    struct wait_line *line, struct wait_ticket *ticket);
/** Waits until the request may start. Errors: ERROR_TIMEOUT when @p until_ms
 * passed and it still waits; ERROR_DEADLINE_UNREACHABLE when it is refused. */
enum error_code wait_line_await(
    struct wait_line *line, struct wait_ticket *ticket, int64_t until_ms);
/** Puts a started request back for a further attempt elsewhere. */
enum error_code wait_line_again(
    struct wait_line *line, struct wait_ticket *ticket);
/** Ends the request wherever it stands and gives back what it took. */
void wait_line_leave(struct wait_line *line, struct wait_ticket *ticket);
/** Gives back the prefill part of its capacity. */
void wait_line_note_first_token(
    struct wait_line *line, struct wait_ticket *ticket);

/* Any thread */

/** Starts whatever can start now; call when capacity may have come. */
void wait_line_poke(struct wait_line *line);
/** Shows at most @p max of the requests that wait, the oldest first. */
void wait_line_visit(struct wait_line *line, uint32_t max,
    void (*visit)(void *context, const struct wait_ticket *ticket),
    void *context);

#endif
