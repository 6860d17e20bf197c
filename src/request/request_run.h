/**
 * @file request_run.h
 * Runs one caller's request from admission to its end.
 *
 * The request's own thread advances the run: the run waits for an upstream,
 * claims its idempotency key, sends the request, puts the answer's pieces in
 * order, detects stalls, and retries on another upstream where that is allowed.
 * Text that is ready for the caller collects in @c text until the owner of the
 * run takes it.
 */
#ifndef REQUEST_RUN_H
#define REQUEST_RUN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "coordination/retry.h"
#include "coordination/stream_assembler.h"
#include "host/host.h"
#include "protocol/completions.h"
#include "request/wait_line.h"
#include "state/request.h"
#include "transport/piece_queue.h"
#include "transport/span_log.h"
#include "transport/upstream_adapter.h"

/** State of a run. */
enum request_state {
	REQUEST_STATE_WAITING = 0, /**< Queued until an upstream has room. */
	REQUEST_STATE_PAUSED = 1,  /**< Pauses before a further attempt. */
	REQUEST_STATE_RUNNING = 2, /**< An attempt is running. */
	REQUEST_STATE_ENDED = 3,   /**< The result is final. */
};

/** A caller's request as the HTTP handlers pass it to a run. */
struct request_input {
	struct request_facts facts;    /**< Facts that decisions rest on. */
	struct caller_headers headers; /**< Deadline, idempotency key, trace
					     context and others. */
	bool is_stream;		       /**< The answer is sent in parts. */
	struct shared_text *body;      /**< Prompt, or a plain call's body; the
					     run owns this reference. */
	char path[SERVICE_PATH_SIZE_MAX]; /**< Path of a plain service call. */
	char content_type[NAME_SIZE_MAX]; /**< Body type of a plain call. */
};

/** A request while it runs, and its result. */
struct request_run {
	struct host *host;	    /**< Host that runs the request. */
	struct request_input input; /**< The caller's request. */
	struct request_key key;	    /**< Identity of the request. */
	/** Position of the request in the queue, then its upstream. */
	struct wait_ticket ticket;
	enum request_state state;	   /**< What the run does now. */
	struct stream_assembler assembler; /**< Puts the pieces in order. */
	struct piece_queue *queue; /**< Pieces of the attempt; NULL if none. */
	uint32_t attempt;	   /**< Number of the attempt, from 1. */
	uint32_t answer_attempt;   /**< Attempt that began the answer, by which
				its upstream knows the stream. */
	enum attempt_stage stage;  /**< How far the attempt has come. */
	bool upstream_crashed; /**< The last attempt's connection broke, and its
				    upstream no longer runs. */
	bool upstream_says_failed; /**< The attempt ended with "failed". */
	bool resumes;	   /**< The next attempt resumes the stream on the
				    same upstream. */
	bool may_have_run; /**< An earlier attempt may have run. */
	bool has_claim;	   /**< The idempotency key is claimed. */
	/** No request was sent under the idempotency key before, or none has
	 * run; so the claim has told. */
	bool key_is_unused;
	int64_t dispatched_at_ms;  /**< When the attempt was sent. */
	int64_t stall_deadline_ms; /**< Without a piece until then, the attempt
					counts as stalled. */
	int64_t resume_at_ms;	   /**< End of the pause before a retry. */
	/** When the first text arrived; 0 before. */
	int64_t first_token_at_ms;
	int64_t last_piece_at_ms; /**< When the latest text came. */
	GString *text;		  /**< Text ready to be sent to the caller. */
	uint64_t answer_tokens;	  /**< Tokens of the complete answer. */
	bool stopped_by_length;	  /**< The answer reached its token limit. */
	uint32_t status;	  /**< HTTP status of a plain call's answer. */
	char answer_type[NAME_SIZE_MAX]; /**< Content type of a plain
					      call's answer. */
	struct caller_error result; /**< Final result; code ERROR_NONE means
					 that the request succeeded. */
	struct span span;	    /**< Trace span of the whole request. */
	struct span attempt_span;   /**< Trace span of the attempt. */
};

/* Running, on the request's own thread */

/** Admits the request to the queue, or ends it at once with an error in
 * run->result. Takes over the reference to the body of @p input. */
void request_run_init(struct request_run *run, struct host *host,
    const struct request_input *input);
/** Advances the run until it has ended, has text for a stream, or the time is
 * @p until_ms. Without a stream, text collects until the end. */
void request_run_advance(struct request_run *run, int64_t until_ms);
/** Ends the run because the caller disconnected, and cancels its attempt. */
void request_run_cancel(struct request_run *run);
/** Frees the run; cancels it first if it has not ended. */
void request_run_finish(struct request_run *run);

#endif
