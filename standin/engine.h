/**
 * @file engine.h
 * A simulated inference engine for tests and benches.
 *
 * The engine computes no model, but takes the time that a real one would: it
 * batches requests by priority, spends time on prefill and decode, accounts for
 * KV memory, keeps a prefix cache and is slower after a cold start. One thread
 * advances all jobs in real time. Pieces of an answer are one token each.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/error_code.h"
#include "base/shared_text.h"
#include "kv_table.h"
#include "prefix_cache.h"
#include "run_log.h"
#include "settings.h"
#include "state/request.h"

/** State of a job. */
enum job_state {
	JOB_STATE_QUEUED = 1,	 /**< The job waits for room in the batch. */
	JOB_STATE_PREFILL = 2,	 /**< The engine reads the prompt. */
	JOB_STATE_DECODE = 3,	 /**< The engine writes the answer. */
	JOB_STATE_DONE = 4,	 /**< The answer is complete. */
	JOB_STATE_CANCELLED = 5, /**< Cancelled, or unread for too long. */
};

/** A request to the engine. */
struct engine_request {
	uint64_t request_id;		/**< Id of the caller's request. */
	uint32_t attempt;		/**< Number of the host's attempt. */
	enum request_priority priority; /**< Priority in the batch. */
	uint32_t answer_tokens_max;	/**< Token limit, 0: prefill only. */
	uint64_t reservation;		/**< KV memory to use, 0 for none. */
	/** Key written to the run log; may be NULL. Must stay valid only during
	 * engine_submit(). */
	const char *idempotency_key;
	/** Prompt, or the segment of it that this engine is to prefill. Must
	 * stay valid only during engine_submit(). */
	const char *prompt;
	size_t prompt_size; /**< Bytes of the prompt. */
};

/** A request that the engine has accepted. */
struct engine_job;

/** Progress of a job, as the stream of its answer needs it. */
struct engine_job_progress {
	enum job_state state;	  /**< State of the job. */
	uint64_t digest;	  /**< Prompt digest that makes the pieces. */
	uint64_t produced_pieces; /**< Pieces of the answer so far. */
	uint64_t total_pieces;	  /**< Pieces of the complete answer. */
	uint64_t prompt_tokens;	  /**< Tokens of the submitted prompt. */
	bool stopped_by_length;	  /**< The token limit cuts the answer. */
	uint64_t run;		  /**< Number of the job, from 1. */
};

/** Counters since the start, which tests read. */
struct engine_counters {
	uint64_t runs;	    /**< Jobs accepted. */
	uint64_t finished;  /**< Jobs whose answer was completed. */
	uint64_t cancelled; /**< Jobs cancelled, or unread for too long. */
	uint64_t refused;   /**< Requests refused. */
	uint64_t overloads; /**< Requests that exceeded the cold limits. */
	/** Jobs accepted though they exceeded the warm limits. */
	uint64_t over_limit;
	uint32_t peak_requests; /**< Most jobs queued or running at a time. */
	/** Most prompt tokens of jobs queued or in prefill at a time. */
	uint64_t peak_prefill_tokens;
	uint32_t cold_peak_requests; /**< peak_requests while cold. */
	/** peak_prefill_tokens while cold. */
	uint64_t cold_peak_prefill_tokens;
	uint64_t cached_tokens; /**< Prompt tokens found in the cache. */
	int64_t last_run_ms; /**< Time of the last accepted job, monotonic. */
};

/** State of the engine. */
struct engine {
	const struct standin_settings *settings; /**< Settings, not owned. */
	struct run_log *run_log;     /**< Gets one line per job; not owned. */
	pthread_mutex_t lock;	     /**< Guards the members below. */
	pthread_cond_t jobs_changed; /**< A job was added or has progressed. */
	pthread_t thread;	     /**< Advances the jobs. */
	bool stopping;		     /**< Set to make the thread end. */
	bool draining;		     /**< New jobs are refused. */
	GPtrArray *jobs;	     /**< Jobs in the order of arrival. */
	struct kv_table kv;	     /**< KV memory reserved by hosts. */
	struct prefix_cache cache;   /**< Prefixes already computed. */
	/** KV memory of jobs in the batch without reservation, in tokens. */
	uint64_t job_kv_tokens;
	int64_t cold_until_ms; /**< End of the cold start, monotonic clock. */
	int64_t last_step_us;  /**< Time when jobs were last advanced. */
	struct engine_counters counters; /**< Counters since the start. */
};

/* Lifetime */

/** Starts the engine, cold for settings->cold_ms. Returns false if its thread
 * could not be started. */
bool engine_init(struct engine *engine, const struct standin_settings *settings,
    struct run_log *run_log);
/** Stops the thread and frees the memory. All jobs must have been released with
 * engine_release_job(). */
void engine_finish(struct engine *engine);
/** Makes the engine refuse new jobs; accepted jobs go on. */
void engine_drain(struct engine *engine);
/** Makes the engine cold again and empties its prefix cache, without announcing
 * a new incarnation to the hosts. Jobs go on. */
void engine_turn_cold(struct engine *engine);

/* Jobs. Whoever got a job from engine_submit() or engine_resume() returns it
 * with engine_release_job(). */

/** Accepts a request as a new job.
 *
 * Errors: ERROR_SHUTTING_DOWN (draining), ERROR_ALREADY_EXISTS (same request
 * and attempt), ERROR_TOO_LARGE (more tokens than the KV memory or the
 * reservation has), ERROR_NO_CAPACITY (load limits), ERROR_NOT_FOUND (no such
 * reservation), ERROR_NO_MEMORY. With settings->cold_crashes the process exits
 * instead if the cold limits are exceeded. */
enum error_code engine_submit(struct engine *engine,
    const struct engine_request *request, struct engine_job **job);
/** Finds the job of an earlier attempt, to continue reading its answer. Errors:
 * ERROR_NOT_FOUND. */
enum error_code engine_resume(struct engine *engine, uint64_t request_id,
    uint32_t attempt, struct engine_job **job);
/** Cancels the jobs of all attempts at a request. Errors: ERROR_NOT_FOUND. */
enum error_code engine_cancel(struct engine *engine, uint64_t request_id);
/** Waits until the job has produced more than @p position pieces or has ended,
 * or until @p deadline_ms on the monotonic clock, and returns its progress. */
void engine_wait(struct engine *engine, const struct engine_job *job,
    uint64_t position, int64_t deadline_ms,
    struct engine_job_progress *progress);
/** Ends the reading of a job. The engine drops the job if nobody resumes it
 * within settings->resume_ms. */
void engine_release_job(struct engine *engine, struct engine_job *job);
/** Returns the number of jobs queued or running. */
uint32_t engine_active_count(struct engine *engine);

/* KV memory: functions of kv_table.h with the engine's lock held */

/** Reserves memory out of what jobs and reservations leave free. Errors: as
 * kv_table_reserve(). */
enum error_code engine_kv_reserve(
    struct engine *engine, uint64_t id, uint64_t tokens);
/** Releases a reservation. Errors: ERROR_NOT_FOUND. */
enum error_code engine_kv_release(struct engine *engine, uint64_t id);
/** Copies the state of a reservation for another engine to import. Errors:
 * ERROR_NOT_FOUND. */
enum error_code engine_kv_export(
    struct engine *engine, uint64_t id, struct kv_reservation *reservation);
/** Records in a reservation that it holds the first @p tokens tokens of the
 * prompt, computed by another engine, with their digest. Errors:
 * ERROR_NOT_FOUND. */
enum error_code engine_kv_import(struct engine *engine, uint64_t id,
    uint64_t tokens, uint64_t content_digest);
/** Returns the answer to GET /engine/v1/kv/held: all reservations. */
json_t *engine_kv_held_json(struct engine *engine);

/* Reports */

/** Gets the present load; id, incarnation, sequence and age are set to 0. */
void engine_get_load(struct engine *engine, struct upstream_load *load);
/** Moves out up to @p max events of the prefix cache that occurred no later
 * than @p before_ms on the monotonic clock. Returns their number. */
uint32_t engine_take_cache_events(struct engine *engine, int64_t before_ms,
    struct cache_batch_item *events, uint32_t max);
/** Returns the answer to GET /standin/v1/counters. */
json_t *engine_counters_json(struct engine *engine);

#endif
