/**
 * @file warmup.h
 * Slow start of an upstream: how much capacity all hosts together may use on
 * it while it warms up.
 *
 * The bound starts at the cold limits and rises only on evidence, that is on
 * answers whose first token was in time while the upstream ran near its bound.
 * Evidence of a cold upstream, or a long idle time, cuts the bound to the cold
 * limits at once. The bound never exceeds the warm limits. These functions do
 * arithmetic only, with no I/O and no clock.
 */
#ifndef WARMUP_H
#define WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "state/capacity_slot.h"
#include "state/upstream.h"

/** Request limit used for an announced limit of 0, which means none. */
#define WARMUP_REQUESTS_UNBOUNDED (1u << 20)
/** Token limit used for an announced limit of 0, which means none. */
#define WARMUP_TOKENS_UNBOUNDED (UINT64_C(1) << 40)

/** What an answer shows about the warmth of its upstream. */
enum warmup_class {
	WARMUP_IN_TIME = 1, /**< First token within the predicted time. */
	WARMUP_LATE = 2,    /**< Late, but no evidence of coldness. */
	WARMUP_COLD = 3,    /**< Very late at low load, or refused as cold. */
};

/** Settings of the slow start. */
struct warmup_settings {
	uint32_t answers_per_step; /**< Answers in time that raise the bound. */
	uint32_t step_percent;	   /**< Rise per step, in % of the bound. */
	uint32_t near_percent;	   /**< Least use of the bound, in %, at which
					answers count as evidence. */
	uint32_t late_percent;	   /**< Late above this % of the prediction. */
	uint32_t cold_percent;	   /**< Cold above this % of the prediction. */
	int64_t allowance_ms;	   /**< Time allowed beyond each prediction. */
	int64_t idle_cold_ms;	   /**< Idle time that turns it cold. */
};

/** Warm-up state of an upstream. */
struct warmup {
	struct upstream_limits limits; /**< Limits that it announced. */
	uint64_t incarnation;	       /**< Incarnation that this is about. */
	struct capacity_amount bound;  /**< Capacity that may be used now. */
	uint32_t answers;	       /**< In time since the last step. */
	int64_t active_ms; /**< Last start, answer in time or cut. */
	uint32_t cuts;	   /**< How often the bound was lowered. */
};

/** Timing of an answer's first token, measured by the entry host. */
struct warmup_answer {
	uint64_t prompt_tokens; /**< Prompt tokens that weren't cached. */
	int64_t first_token_ms; /**< Time from sending to first token. */
	uint64_t ahead_tokens;	/**< Prompt tokens known to be ahead of it. */
	/** The upstream refused to run it as "overloaded" or "cold". */
	bool is_refused_as_cold;
};

/** Default settings, which suit current engines. */
struct warmup_settings warmup_default_settings(void);

/* Evidence */

/** Sets the announced limits. A newer incarnation starts cold again; otherwise
 * the bound is kept within the changed limits. */
void warmup_start(struct warmup *warmup, const struct upstream_limits *limits,
    uint64_t incarnation, int64_t now_ms);
/** Records answers in time, which may raise the bound; @p used is the most
 * capacity in use while they ran. */
void warmup_record_in_time(struct warmup *warmup,
    const struct warmup_settings *settings, uint32_t answers,
    const struct capacity_amount *used, int64_t now_ms);
/** Cuts the bound to the cold limits; true if that lowered the bound. */
bool warmup_cut(struct warmup *warmup, int64_t now_ms);
/** Cuts the bound if the upstream was idle for too long; true if that lowered
 * the bound. */
bool warmup_check_idle(struct warmup *warmup,
    const struct warmup_settings *settings, int64_t now_ms);
/** Classifies what an answer shows about its upstream, from its first token. */
enum warmup_class warmup_classify(const struct upstream_limits *limits,
    const struct warmup_settings *settings, const struct warmup_answer *answer);

/* Handing the state to another host */

/** The bound on a scale from 0 (cold) to 1000 (warm), rounded down. */
uint32_t warmup_warmth(const struct warmup *warmup);
/** Sets the bound from the warmth that another host reported. */
void warmup_restore(struct warmup *warmup, uint32_t warmth);

/* Limits */

/** The cold limits as a capacity amount; a limit that was not announced falls
 * back to the warm one. */
struct capacity_amount warmup_cold_limit(const struct upstream_limits *limits);
/** The warm limits as a capacity amount; a limit that was not announced is
 * unbounded. */
struct capacity_amount warmup_warm_limit(const struct upstream_limits *limits);

#endif
