/**
 * @file engine_parts.h
 * Declarations shared by the source files of the engine only. The engine's lock
 * is held around all of these functions but engine_run() and engine_job_new().
 */
#ifndef STANDIN_ENGINE_PARTS_H
#define STANDIN_ENGINE_PARTS_H

#include "engine.h"

/** A request that the engine has accepted. */
struct engine_job {
	/** Request; its texts are NULL once the job is accepted. */
	struct engine_request request;
	enum job_state state; /**< State of the job. */
	uint64_t run;	      /**< Number of the job, from 1. */
	uint64_t digest; /**< Digest of the prompt with imported segments. */
	uint64_t prompt_tokens; /**< Tokens of the prompt, or of its segment. */
	double prefill_tokens_left; /**< Prompt tokens still to prefill. */
	double decode_elapsed_us;   /**< Time spent on the next token so far. */
	uint64_t kv_tokens; /**< KV memory it takes; 0 with a reservation. */
	uint64_t produced_pieces; /**< Pieces of the answer so far. */
	uint64_t total_pieces;	  /**< Pieces of the complete answer. */
	bool stopped_by_length;	  /**< The token limit cuts the answer. */
	bool crashes;		  /**< The prompt contains the crash marker. */
	bool stalls;		  /**< The prompt contains the stall marker. */
	uint32_t reader_count;	  /**< Streams that send its answer. */
	int64_t unread_since_ms;  /**< Time when the last reader left. */
	uint32_t prefix_count;	  /**< Elements of the arrays below in use. */
	/** Hashes of the prefixes of the prompt. */
	uint64_t prefix_hashes[PREFIX_HASHES_MAX];
	/** Their lengths in tokens. */
	uint64_t prefix_tokens[PREFIX_HASHES_MAX];
};

/* engine_job.c */

/** Creates a queued job for a request. Returns NULL if memory runs out. Freed with
 * free(). */
struct engine_job *engine_job_new(
    struct engine *engine, const struct engine_request *request);
/** Returns true if the job is queued or running. */
bool engine_job_is_active(const struct engine_job *job);

/* engine.c */

/** engine_active_count() with the lock held. */
uint32_t engine_active_count_locked(const struct engine *engine);
/** Returns true while the engine is slow after a start. */
bool engine_is_cold(const struct engine *engine, int64_t now_ms);
/** Returns the KV memory of running jobs and of reservations, in tokens. */
uint64_t engine_held_kv_tokens(const struct engine *engine);

/* engine_step.c */

/** Runs the thread that advances the jobs of an engine, its argument. */
void *engine_run(void *context);
/** Ends a job in one of the two final states, and counts it. */
void engine_end_job(
    struct engine *engine, struct engine_job *job, enum job_state state);

#endif
