/**
 * @file wait_line.h
 * Queue in which requests wait until an upstream has capacity, in fair order.
 *
 * It combines admission, the fair queue and the router for the request threads
 * of one host. A request starts at once if an upstream has capacity. The others
 * wait until capacity is released, and are refused as soon as they can no
 * longer end before their deadline.
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

/** Largest number of upstreams that a request excludes after failures. */
#define WAIT_EXCLUDED_MAX 16

/** The upstream that a started request is sent to. */
struct wait_assignment {
	struct fleet_work work; /**< Capacity that the request holds. */
	char url[URL_SIZE_MAX]; /**< Base URL of the upstream. */
	uint64_t upstream_id;	/**< Id of the upstream. */
	uint64_t incarnation;	/**< Incarnation of the upstream, increased at
				     each start. */
	char upstream_name[NAME_SIZE_MAX]; /**< Name of the upstream, for spans
						and logs. */
	char data_centre[NAME_SIZE_MAX];   /**< Data centre of the upstream, for
					      spans and metrics. */
	double first_token_ms; /**< Predicted time from the start to the first
				    token. */
	double end_ms;	       /**< Predicted time from the start to the end. */
	uint64_t ahead_tokens; /**< Prompt tokens queued at the upstream before
				    this request. */
};

/** One request in the queue. Its owner keeps it allocated until
 * wait_line_leave(). */
struct wait_ticket {
	const struct request_facts *facts;    /**< Properties of the request. */
	uint64_t account_id;		      /**< Id of the client account. */
	uint64_t excluded[WAIT_EXCLUDED_MAX]; /**< Ids of upstreams that the
						   request was tried at. */
	uint32_t excluded_count;	      /**< Number of ids in excluded. */
	GList link;	     /**< Link in the queue's list of tickets. */
	bool needs_group;    /**< True if the prompt needs a group of upstreams;
			       such a request is not queued here. */
	bool must_run_alone; /**< True if the request is suspected of crashing
				 upstreams, so it must run alone. */
	bool is_admitted;    /**< True while admission counts the request. */
	bool has_waited;     /**< True if the request did not start at once. */
	bool is_queued;	     /**< True while the request is queued. */
	bool has_started;    /**< True once the assignment is set. */
	enum error_code error;	 /**< Result of the last enter or await. */
	uint32_t retry_after_ms; /**< Retry-After if the request is refused. */
	int64_t latest_start_ms; /**< Latest start that still meets the
				      deadline. */
	uint64_t wanted_upstream_id; /**< Id of the best upstream if it had no
					  capacity left, else 0. */
	/** Capacity that the request lacked at wanted_upstream_id. */
	struct capacity_amount wanted;
	/** Upstream that the request was sent to. */
	struct wait_assignment assignment;
	pthread_cond_t changed; /**< Signalled when the request starts. */
};

/** What the queue is built from. The pointers must outlive it. */
struct wait_line_parts {
	struct fleet *fleet;	       /**< Upstreams and configuration. */
	struct prefix_index *prefixes; /**< Index of cached prompt prefixes. */
	struct router_mix *mix;	       /**< Share of long prompts in traffic. */
	struct router_settings router; /**< Router settings with defaults
					    filled in. */
	struct admission_settings admission; /**< Admission settings, zero for
						  defaults. */
	struct fair_queue_settings queue;    /**< Bounds of the fair queue. */
	int64_t (*now_ms)(void);	     /**< Returns the monotonic time. */
	/** Waits for a condition, at most until now_ms() returns
	 * @p until_ms. */
	void (*wait_until)(pthread_cond_t *condition, pthread_mutex_t *mutex,
	    int64_t until_ms);
};

/** The queue, with its admission. */
struct wait_line {
	struct wait_line_parts parts; /**< Parts given to wait_line_init(). */
	pthread_mutex_t mutex;	      /**< Protects all fields below, except for
				    waiting. */
	struct admission admission;   /**< Admission state of this host. */
	struct fair_queue queue;      /**< Queued requests in fair order. */
	GQueue tickets; /**< Tickets of the queued requests, oldest first. */
	_Atomic uint32_t waiting; /**< Number of queued requests, for
				       metrics. */
};

/* Setting up */

/** Initialises an empty queue that admits requests. Errors: those of
 * admission_init() and fair_queue_init(). */
enum error_code wait_line_init(
    struct wait_line *line, const struct wait_line_parts *parts);
/** Frees the queue, which must not contain tickets. */
void wait_line_finish(struct wait_line *line);
/** Refuses new requests; queued ones are still served. */
void wait_line_close(struct wait_line *line);
/** Sets the number of hosts that share the limits of accounts. */
void wait_line_set_hosts(struct wait_line *line, uint32_t hosts);

/* Called by the thread of the request */

/** Initialises a ticket; @p facts must outlive it. */
void wait_ticket_init(
    struct wait_ticket *ticket, const struct request_facts *facts);
/** Frees the ticket's resources; it must not be queued. */
void wait_ticket_finish(struct wait_ticket *ticket);
/** Admits the request or refuses it at once. An admitted request is started or
 * queued, unless ticket->needs_group is set. Errors: ERROR_UNAUTHENTICATED for
 * an unknown account, and those of admission, router and fair queue; they set
 * ticket->retry_after_ms if retrying makes sense. */
enum error_code wait_line_enter(
    struct wait_line *line, struct wait_ticket *ticket);
/** Waits until the request has started. Errors: ERROR_TIMEOUT if it is still
 * queued at @p until_ms; ERROR_DEADLINE_UNREACHABLE if it was removed from the
 * queue because it can no longer meet its deadline. */
enum error_code wait_line_await(
    struct wait_line *line, struct wait_ticket *ticket, int64_t until_ms);
/** Releases the capacity of a started request and queues it again, for an
 * attempt at another upstream. Errors: those of fair_queue_push(). */
enum error_code wait_line_requeue(
    struct wait_line *line, struct wait_ticket *ticket);
/** Ends the request in any state: removes it from the queue and releases its
 * capacity and admission. */
void wait_line_leave(struct wait_line *line, struct wait_ticket *ticket);
/** Releases the prefill part of the request's capacity at its first token. */
void wait_line_record_first_token(
    struct wait_line *line, struct wait_ticket *ticket);

/* Callable from any thread */

/** Starts all queued requests that now have capacity. Call it when capacity may
 * have become free. */
void wait_line_dispatch(struct wait_line *line);
/** Calls @p visit for at most @p max queued requests, oldest first, with the
 * queue locked. */
void wait_line_visit(struct wait_line *line, uint32_t max,
    void (*visit)(void *context, const struct wait_ticket *ticket),
    void *context);

#endif
