/**
 * @file queue_model.h
 * A simple model of an inference engine in virtual time, for benchmarks of the
 * decisions on requests.
 *
 * An engine works in steps. Each step prefills one chunk of prompt tokens, the
 * highest priority first, and decodes one token for each request in decode.
 * The engine has KV memory and a prefix cache. After a start it is cold: it is
 * slow, and crashes above its cold load limit, until it has given
 * MODEL_WARM_AFTER_ANSWERS answers. Its timer service counts microseconds.
 */
#ifndef QUEUE_MODEL_H
#define QUEUE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "coordination/prefix_index.h"
#include "state/request.h"
#include "state/upstream.h"
#include "transport/timer.h"

/** Speed of prefill of a warm engine, without the overhead of steps. */
#define MODEL_PREFILL_TOKENS_PER_S 20000
/** Largest number of prompt tokens prefilled in one step. */
#define MODEL_PREFILL_CHUNK_TOKENS 512
/** Fixed part of a step's duration. */
#define MODEL_STEP_OVERHEAD_US 2000
/** Shortest duration of a step. */
#define MODEL_STEP_US_MIN 10000
/** Time that each decoded token adds to its step. */
#define MODEL_DECODE_US_PER_TOKEN 300
/** Requests that an engine works on at a time. */
#define MODEL_BATCH_REQUESTS_MAX 64
/** KV memory of an engine, in tokens. */
#define MODEL_KV_TOKENS 1200000
/** Factor by which the steps of a cold engine take longer. */
#define MODEL_COLD_SLOWDOWN 3
/** A cold engine crashes with more requests than this. */
#define MODEL_COLD_REQUESTS_MAX 4
/** A cold engine crashes with more prompt tokens left to prefill than this. */
#define MODEL_COLD_PREFILL_TOKENS_MAX 60000
/** Answers after which a cold engine is warm. */
#define MODEL_WARM_AFTER_ANSWERS 16
/** Time from a crash until the engine is up again. */
#define MODEL_CRASH_DOWN_US 10000000
/** Number of prefixes that the cache of an engine holds. */
#define MODEL_CACHED_PREFIXES_MAX 48

/** A request on an engine. The caller fills the first part and keeps the
 * memory until the job has ended. */
struct model_job {
	uint64_t prompt_tokens;		/**< Length of the prompt. */
	uint64_t prefix_hash;		/**< Prefix of the prompt, 0: none. */
	uint64_t prefix_tokens;		/**< Tokens that the prefix covers. */
	uint32_t answer_tokens;		/**< Tokens to generate. */
	enum request_priority priority; /**< Higher priorities prefill first. */
	void *owner;			/**< Pointer for the caller's use. */
	/* State kept by the engine */
	uint64_t prefill_tokens_left; /**< Prompt tokens to prefill. */
	uint64_t step_prefill_tokens; /**< Prefilled in the current step. */
	uint32_t generated_tokens;    /**< Answer tokens generated so far. */
};

/** Callbacks by which an engine reports events. */
struct model_ops {
	/** The first token of an answer was generated. */
	void (*on_first_token)(void *context, struct model_job *job);
	/** A job left the engine; @p is_whole is false if the engine stopped
	 * before the answer was complete. Not called after a cancellation. */
	void (*on_job_ended)(
	    void *context, struct model_job *job, bool is_whole);
	/** A prefix was stored or evicted, or the cache was cleared. */
	void (*on_cache_changed)(void *context, uint32_t engine,
	    enum cache_event_kind kind, uint64_t prefix_hash);
	void *context; /**< First argument of the callbacks. */
};

/** A modelled engine. */
struct model_engine {
	uint32_t index;		      /**< Number of this engine. */
	struct timer_service *timers; /**< Its clock counts microseconds. */
	struct model_ops ops;	      /**< Callbacks for events. */
	GPtrArray *jobs;	      /**< struct model_job, by arrival. */
	GQueue prefixes;	      /**< Cached hashes, latest use first. */
	struct handle step_timer;     /**< Fires at the end of a step. */
	bool is_stepping;	      /**< A step is running. */
	bool is_cold;		      /**< Started and not warmed up yet. */
	bool is_down;		      /**< Crashed or stopped. */
	uint32_t answers_since_start; /**< Answers since the last start. */
	uint32_t crash_count;	      /**< Crashes since initialisation. */
};

/** Initialises an engine that is up, warm and without jobs. */
void model_engine_init(struct model_engine *engine, uint32_t index,
    struct timer_service *timers, const struct model_ops *ops);
/** Cancels the current step and frees the engine's memory. */
void model_engine_finish(struct model_engine *engine);
/** Adds a job. Returns false if the engine is down. A cold engine may crash
 * because of the new job. */
bool model_engine_submit(struct model_engine *engine, struct model_job *job);
/** Removes a job without calling on_job_ended. */
void model_engine_cancel(struct model_engine *engine, struct model_job *job);
/** Stops the engine: clears its cache and ends all jobs as incomplete. The
 * engine is up again, and cold, after @p down_us microseconds. */
void model_engine_restart(struct model_engine *engine, int64_t down_us);
/** Adds the engine's current load to the fields of a load report. */
void model_engine_report(
    const struct model_engine *engine, struct upstream_load *load);
/** Engine time in microseconds that a request takes when it shares full
 * batches with others. */
double model_engine_time_us(uint64_t prompt_tokens, uint32_t answer_tokens);

#endif
