/**
 * @file request_run.h
 * One caller's request from admission to its end.
 *
 * The request's own thread steps the run: it waits for an upstream, claims
 * its idempotency key, dispatches, puts pieces in order, notices stalls, and
 * goes on elsewhere where that is allowed. Text that is ready for the caller
 * gathers in @c text until the owner takes it.
 */
#ifndef REQUEST_RUN_H
#define REQUEST_RUN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "coordination/retry.h"
#include "coordination/stream_assembler.h"
#include "protocol/completions.h"
#include "service/host.h"
#include "service/wait_line.h"
#include "state/request.h"
#include "transport/piece_queue.h"
#include "transport/span_log.h"
#include "transport/upstream_adapter.h"

/** Where a run stands. */
enum request_state {
	REQUEST_STATE_WAITING = 0, /**< For an upstream with room. */
	REQUEST_STATE_PAUSED = 1,  /**< Before a further attempt. */
	REQUEST_STATE_RUNNING = 2, /**< An attempt is under way. */
	REQUEST_STATE_ENDED = 3,   /**< The outcome stands. */
};

/** What the caller asked for. */
struct request_order {
	struct request_facts facts;	  /**< For the decisions. */
	struct caller_headers headers;	  /**< Deadline, key, trace. */
	bool is_stream;			  /**< Text goes out as it comes. */
	struct shared_text *body;	  /**< Prompt or body; a reference. */
	char path[SERVICE_PATH_SIZE_MAX]; /**< Plain calls. */
	char content_type[NAME_SIZE_MAX]; /**< Plain calls. */
};

/** The run. */
struct request_run {
	struct host *host;		   /**< Where it runs. */
	struct request_order order;	   /**< What was asked. */
	struct wait_ticket ticket;	   /**< Its place in the line. */
	enum request_state state;	   /**< Where it stands. */
	struct stream_assembler assembler; /**< Puts pieces in order. */
	struct piece_queue *queue;	   /**< Of the attempt, or NULL. */
	uint32_t attempt;		   /**< Number of the attempt. */
	uint32_t from_attempt;		   /**< Attempt that is carried on. */
	enum attempt_stage stage;	   /**< How far the attempt came. */
	bool saw_crash;	 /**< An upstream broke off under it. */
	bool stays;	 /**< The next attempt resumes on the same upstream. */
	bool ran_before; /**< An earlier attempt may have run. */
	bool has_claim;	 /**< Its key is claimed. */
	int64_t dispatched_ms;		 /**< When the attempt was sent. */
	int64_t stall_at_ms;		 /**< Silence until then is a stall. */
	int64_t resume_at_ms;		 /**< End of the pause. */
	int64_t first_token_ms;		 /**< When text came first, or 0. */
	int64_t last_piece_ms;		 /**< When text came last. */
	GString *text;			 /**< Ready for the caller. */
	uint64_t answer_tokens;		 /**< Generated so far. */
	bool stopped_by_length;		 /**< The token bound was hit. */
	uint32_t status;		 /**< Plain calls: HTTP status. */
	char answer_type[NAME_SIZE_MAX]; /**< Plain calls: type. */
	struct caller_error end;	 /**< code ERROR_NONE: it is done. */
	struct span span;		 /**< Of the whole request. */
	struct span attempt_span;	 /**< Of the attempt. */
};

/* Running, on the request's own thread */

/** Admits the request or ends it at once; takes over the order's body. */
void request_run_init(struct request_run *run, struct host *host,
    const struct request_order *order);
/** Goes on until there is text for a stream, the run has ended, or
 * @p until_ms. Without a stream all text gathers until the end. */
void request_run_step(struct request_run *run, int64_t until_ms);
/** Ends it since the caller went away. */
void request_run_cancel(struct request_run *run);
/** Gives back everything; cancels a run that has not ended. */
void request_run_finish(struct request_run *run);

#endif
