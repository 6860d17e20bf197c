/**
 * @file engine.h
 * The stand-in engine: a batch with priorities, prefill, decode, KV memory,
 * a prefix cache and cold starts, in real time on one thread.
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

/** Where a job stands. */
enum job_state {
	JOB_STATE_QUEUED = 1,	 /**< Waits for the batch. */
	JOB_STATE_PREFILL = 2,	 /**< Its prompt is being computed. */
	JOB_STATE_DECODE = 3,	 /**< Its answer is being computed. */
	JOB_STATE_DONE = 4,	 /**< Its answer is whole. */
	JOB_STATE_CANCELLED = 5, /**< It was dropped. */
};

/** A request to run. */
struct engine_work {
	uint64_t request;		/**< Caller's request. */
	uint32_t attempt;		/**< Attempt at it. */
	enum request_priority priority; /**< In the batch. */
	uint32_t answer_tokens_max;	/**< 0: prefill only. */
	uint64_t reservation;		/**< KV memory to use, 0 for none. */
	const char *idempotency_key;	/**< For the run log; may be NULL. */
	const char *prompt;		/**< Text, not kept. */
	size_t prompt_size;		/**< Bytes. */
};

struct engine_job;

/** What a reader sees of a job. */
struct engine_view {
	enum job_state state;	/**< Now. */
	uint64_t digest;	/**< Of the prompt; makes the pieces. */
	uint64_t produced;	/**< Pieces there are. */
	uint64_t total;		/**< Pieces of the whole answer. */
	uint64_t prompt_tokens; /**< Tokens of the prompt. */
	bool stopped_by_length; /**< The bound was hit. */
	uint64_t run;		/**< Number of this run. */
};

/** What happened so far, for tests. */
struct engine_counters {
	uint64_t runs;		      /**< Jobs taken. */
	uint64_t finished;	      /**< Jobs done. */
	uint64_t cancelled;	      /**< Jobs dropped. */
	uint64_t refused;	      /**< Requests not taken. */
	uint64_t overloads;	      /**< Times over the cold load. */
	uint64_t over_limit;	      /**< Jobs taken over the warm load. */
	uint32_t peak_requests;	      /**< Most jobs at a time. */
	uint64_t peak_prefill_tokens; /**< Most prompt tokens at a time. */
	uint32_t cold_peak_requests;  /**< The same while cold. */
	uint64_t cold_peak_prefill_tokens; /**< The same while cold. */
	uint64_t cached_tokens;		   /**< Prefill saved by the cache. */
	int64_t last_run_ms;		   /**< When the last job was taken. */
};

/** The engine. */
struct engine {
	const struct standin_settings *settings; /**< Not owned. */
	struct run_log *run_log;		 /**< Not owned. */
	pthread_mutex_t lock;			 /**< Guards what follows. */
	pthread_cond_t changed;			 /**< Jobs moved on. */
	pthread_t thread;			 /**< Steps the batch. */
	bool stopping;				 /**< The thread ends. */
	bool leaving;				 /**< No new jobs. */
	GPtrArray *jobs;			 /**< In order of arrival. */
	struct kv_table kv;			 /**< Reservations. */
	struct prefix_cache cache;		 /**< Prefixes. */
	uint64_t kv_tokens_used;		 /**< By running jobs. */
	int64_t cold_until_ms;			 /**< End of the cold start. */
	int64_t stepped_us;			 /**< Time of the last step. */
	struct engine_counters counters;	 /**< For tests. */
};

/* Running */

/** Starts the engine, cold. */
bool engine_init(struct engine *engine, const struct standin_settings *settings,
    struct run_log *run_log);
/** Ends it; no reader may be left. */
void engine_finish(struct engine *engine);
/** Takes no new jobs from now on. */
void engine_leave(struct engine *engine);
/** Turns cold without a word. */
void engine_turn_cold(struct engine *engine);

/* Jobs; a job that was given out must be given back */

/** Takes a job. Errors: ERROR_SHUTTING_DOWN, ERROR_ALREADY_EXISTS,
 * ERROR_TOO_LARGE, ERROR_NO_CAPACITY, ERROR_NOT_FOUND (reservation). */
enum error_code engine_submit(struct engine *engine,
    const struct engine_work *work, struct engine_job **job);
/** Finds a job to read on. Errors: ERROR_NOT_FOUND. */
enum error_code engine_resume(struct engine *engine, uint64_t request,
    uint32_t attempt, struct engine_job **job);
/** Drops all jobs of a request. Errors: ERROR_NOT_FOUND. */
enum error_code engine_cancel(struct engine *engine, uint64_t request);
/** Waits until more than @p position pieces are there, the job has ended, or
 * the deadline. */
void engine_wait(struct engine *engine, const struct engine_job *job,
    uint64_t position, int64_t deadline_ms, struct engine_view *view);
/** Gives a job back. */
void engine_give_back(struct engine *engine, struct engine_job *job);
/** Jobs that have not ended. */
uint32_t engine_active(struct engine *engine);

/* KV memory; see kv_table.h */

/** Reserves. */
enum error_code engine_kv_reserve(
    struct engine *engine, uint64_t id, uint64_t tokens);
/** Releases. */
enum error_code engine_kv_release(struct engine *engine, uint64_t id);
/** Copies a reservation out. Errors: ERROR_NOT_FOUND. */
enum error_code engine_kv_export(
    struct engine *engine, uint64_t id, struct kv_reservation *reservation);
/** Carries on what another engine computed. Errors: ERROR_NOT_FOUND. */
enum error_code engine_kv_import(struct engine *engine, uint64_t id,
    uint64_t tokens, uint64_t content_digest);
/** Answer of GET /engine/v1/kv/held. */
json_t *engine_kv_held(struct engine *engine);

/* Reports */

/** Load at this moment. */
void engine_load(struct engine *engine, struct upstream_load *load);
/** Cache events made before @p before_ms. */
uint32_t engine_take_cache_events(struct engine *engine, int64_t before_ms,
    struct cache_batch_item *events, uint32_t max);
/** Answer of GET /standin/v1/counters. */
json_t *engine_counters_json(struct engine *engine);

#endif
