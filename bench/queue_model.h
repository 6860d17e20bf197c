/**
 * @file queue_model.h
 * A small queue model of an engine, to drive decisions in virtual time.
 *
 * An engine works in steps: a chunk of prefill, the highest priority first,
 * beside one token for each request that decodes. It holds KV memory, caches
 * prefixes, is slow and falls over past its cold load until it has served a
 * few requests. Its timer service counts microseconds.
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

#define MODEL_PREFILL_TOKENS_PER_S 20000    /**< Speed of prefill, warm. */
#define MODEL_CHUNK_TOKENS	   512	    /**< Prefill of one step. */
#define MODEL_STEP_US		   2000	    /**< Fixed time of a step. */
#define MODEL_STEP_LEAST_US	   10000    /**< Shortest step. */
#define MODEL_DECODE_US		   300	    /**< For each token of a step. */
#define MODEL_BATCH_MAX		   64	    /**< Requests at a time. */
#define MODEL_KV_TOKENS		   1200000  /**< KV memory. */
#define MODEL_COLD_FACTOR	   3	    /**< Slowness while cold. */
#define MODEL_COLD_REQUESTS	   4	    /**< Past it, it falls over. */
#define MODEL_COLD_TOKENS	   60000    /**< Past it, it falls over. */
#define MODEL_WARM_AFTER	   16	    /**< Answers until it is warm. */
#define MODEL_DOWN_US		   10000000 /**< Down after it fell over. */
#define MODEL_PREFIXES		   48	    /**< Prefixes in its cache. */

/** A request on an engine. */
struct model_job {
	uint64_t prompt_tokens;		/**< Prompt. */
	uint64_t prefix_hash;		/**< 0 for none. */
	uint64_t prefix_tokens;		/**< Tokens that it covers. */
	uint32_t answer_tokens;		/**< To generate. */
	enum request_priority priority; /**< Before lower ones. */
	void *owner;			/**< The caller's. */
	uint64_t prefill_left;		/**< Tokens still to read. */
	uint64_t step_tokens;		/**< Of the current step. */
	uint32_t answered;		/**< Tokens generated. */
};

/** What an engine tells. */
struct model_ops {
	/** The first token came. */
	void (*first_token)(void *context, struct model_job *job);
	/** The job left the engine: whole or broken off. */
	void (*ended)(void *context, struct model_job *job, bool is_whole);
	/** Something changed in its cache. */
	void (*cache_changed)(void *context, uint32_t engine,
	    enum cache_event_kind kind, uint64_t prefix_hash);
	void *context; /**< Passed back. */
};

/** An engine. */
struct model_engine {
	uint32_t index;		      /**< Which one. */
	struct timer_service *timers; /**< In microseconds. */
	struct model_ops ops;	      /**< Whom it tells. */
	GPtrArray *jobs;	      /**< struct model_job, by arrival. */
	GQueue prefixes;	      /**< Hashes, the newest first. */
	struct handle step;	      /**< End of the current step. */
	bool is_stepping;	      /**< A step is under way. */
	bool is_cold;		      /**< Not warm yet. */
	bool is_down;		      /**< Fell over or stopped. */
	uint32_t answers;	      /**< Since it started. */
	uint32_t falls;		      /**< Times it fell over. */
};

/** Starts a warm engine. */
void model_engine_init(struct model_engine *engine, uint32_t index,
    struct timer_service *timers, const struct model_ops *ops);
/** Gives back memory. */
void model_engine_finish(struct model_engine *engine);
/** Takes a job; false if the engine is down. */
bool model_engine_submit(struct model_engine *engine, struct model_job *job);
/** Drops a job without telling. */
void model_engine_cancel(struct model_engine *engine, struct model_job *job);
/** Breaks off all jobs; it is back, cold, after @p down_us. */
void model_engine_restart(struct model_engine *engine, int64_t down_us);
/** What a load report would say now. */
void model_engine_report(
    const struct model_engine *engine, struct upstream_load *load);
/** Engine time of a request in microseconds, at full batches. */
double model_engine_time(uint64_t prompt_tokens, uint32_t answer_tokens);

#endif
