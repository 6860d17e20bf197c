/**
 * @file warmup.h
 * What an upstream may be given now, over all hosts together.
 *
 * The bound starts at the cold limits and rises only on evidence: answers
 * whose first token came in time while the upstream ran near its bound. It is
 * cut to the cold limits at once on evidence of cold, and after a long idle
 * time. It never passes the warm limits. Pure arithmetic.
 */
#ifndef WARMUP_H
#define WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "state/capacity_slot.h"
#include "state/upstream.h"

#define WARMUP_REQUESTS_UNBOUNDED (1u << 20)	      /**< For a limit of 0. */
#define WARMUP_TOKENS_UNBOUNDED	  (UINT64_C(1) << 40) /**< For 0. */

/** What one answer says of its upstream. */
enum warmup_verdict {
	WARMUP_IN_TIME = 1, /**< First token within its prediction. */
	WARMUP_LATE = 2,    /**< Late, but explained by load. */
	WARMUP_COLD = 3,    /**< Late beside small load, or refused as cold. */
};

/** How fast the bound moves. */
struct warmup_settings {
	uint32_t answers_per_step; /**< Answers in time for one step. */
	uint32_t step_percent;	   /**< Rise of a step, of the bound. */
	uint32_t near_percent;	   /**< Use of the bound that is "near". */
	uint32_t late_percent;	   /**< Of the prediction: above is late. */
	uint32_t cold_percent;	   /**< Of the prediction: above is cold. */
	int64_t allowance_ms;	   /**< Added to each prediction. */
	int64_t idle_cold_ms;	   /**< Idle time after which it is cold. */
};

/** One upstream's state. */
struct warmup {
	struct upstream_limits limits; /**< As announced. */
	uint64_t incarnation;	       /**< Whose evidence counts. */
	struct capacity_amount bound;  /**< May be given now. */
	uint32_t answers;	       /**< In time since the last step. */
	int64_t active_ms;	       /**< Last answer or start. */
	uint32_t cuts;		       /**< Times it was cut. */
};

/** An answer's first token, as the entry host saw it. */
struct warmup_answer {
	uint64_t prompt_tokens;	 /**< Not found in a prefix cache. */
	int64_t first_token_ms;	 /**< From dispatch to first token. */
	uint64_t ahead_tokens;	 /**< Prompt tokens known to be ahead of it. */
	bool is_refused_as_cold; /**< "overloaded" or "cold", not run. */
};

/** Settings that fit today's engines. */
struct warmup_settings warmup_default_settings(void);

/* Evidence */

/** Starts anew if the incarnation is newer; takes changed limits. */
void warmup_start(struct warmup *warmup, const struct upstream_limits *limits,
    uint64_t incarnation, int64_t now_ms);
/** Counts answers in time; @p used is the most in use while they ran. */
void warmup_note_in_time(struct warmup *warmup,
    const struct warmup_settings *settings, uint32_t answers,
    const struct capacity_amount *used, int64_t now_ms);
/** Cuts the bound to the cold limits; true if that lowered it. */
bool warmup_cut(struct warmup *warmup, int64_t now_ms);
/** Cuts it if it was idle too long; true if that lowered it. */
bool warmup_check_idle(struct warmup *warmup,
    const struct warmup_settings *settings, int64_t now_ms);
/** What an answer says. */
enum warmup_verdict warmup_judge(const struct upstream_limits *limits,
    const struct warmup_settings *settings, const struct warmup_answer *answer);

/* Telling another host */

/** The bound as 0 (cold) to 1000 (warm), rounded down. */
uint32_t warmup_warmth(const struct warmup *warmup);
/** Sets the bound from what another host knew. */
void warmup_restore(struct warmup *warmup, uint32_t warmth);

/* Limits */

/** The cold limits as an amount; what does not apply is unbounded. */
struct capacity_amount warmup_cold_limit(const struct upstream_limits *limits);
/** The warm limits as an amount; what does not apply is unbounded. */
struct capacity_amount warmup_warm_limit(const struct upstream_limits *limits);

#endif
