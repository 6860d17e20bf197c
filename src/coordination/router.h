/**
 * @file router.h
 * Which upstream a request should go to: a pure choice over a fleet view.
 *
 * The cost of an upstream is the predicted time to the first token: queue,
 * prefill after the cached prefix, slower decode beside others, coldness and
 * distance. The router looks at the host's subset of each fitting group only,
 * nearest groups first, so its cost does not grow with the fleet.
 */
#ifndef ROUTER_H
#define ROUTER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "coordination/fleet_view.h"
#include "coordination/prefix_index.h"
#include "state/request.h"

#define ROUTER_CANDIDATES_MAX 8 /**< Upstreams that a choice ranks. */

/** Settings; zero means the default. */
struct router_settings {
	uint64_t short_prompt_tokens; /**< Below it a prompt is short. */
	uint64_t long_prompt_tokens;  /**< From here on a prompt is long. */
	uint64_t
	    step_back_tokens;  /**< From here on it steps back in priority. */
	uint32_t scored_max;   /**< Upstreams scored at most. */
	uint32_t chunk_tokens; /**< Prefill that an engine interleaves. */
	double region_ms;      /**< Cost of the next data centre. */
	double far_ms;	       /**< Cost of another region. */
	double cold_factor;    /**< Slowness of a cold upstream. */
	double batch_slowdown; /**< Of decode, for each request beside it. */
	double long_headroom;  /**< Factor on the share for long prompts. */
	double end_weight;     /**< Of the decode time in the cost. */
	int64_t load_half_life_ms; /**< After which a report counts half. */
};

/** How much of this host's traffic is long prompts; any thread. */
struct router_mix {
	_Atomic uint64_t long_tokens; /**< Decayed tokens of long prompts. */
	_Atomic uint64_t all_tokens;  /**< Decayed tokens of all prompts. */
	_Atomic int64_t decayed_ms;   /**< When they were last decayed. */
};

/** What is asked. */
struct router_query {
	const struct request_facts *facts;    /**< The request. */
	const struct intent_account *account; /**< Its account. */
	const struct prefix_index *prefixes;  /**< NULL for none. */
	const uint64_t *excluded;	      /**< Ids tried already. */
	uint32_t excluded_count;	      /**< How many. */
	double long_share;		      /**< router_mix_share(). */
	int64_t now_ms;			      /**< Monotonic. */
};

/** An upstream and what is predicted of it. */
struct router_candidate {
	const struct fleet_entry *entry; /**< Valid in the read section. */
	double first_token_ms;		 /**< Predicted, from now. */
	double end_ms;			 /**< Predicted, from now. */
	double cost_ms;			 /**< What the ranking is by. */
	uint64_t ahead_tokens;		 /**< Prompt tokens ahead of it. */
	uint64_t cached_tokens;		 /**< Prefix that it should have. */
	struct capacity_amount amount;	 /**< What to take of its slot. */
	uint64_t long_tokens; /**< For fleet_work_begin(), 0 if short. */
};

/** The choice: candidates, the best first. */
struct router_choice {
	struct router_candidate candidates[ROUTER_CANDIDATES_MAX];
	uint32_t count; /**< Candidates in use. */
	const struct fleet_entry
	    *wanted; /**< The best one that has no room, if it
					  beats the others; else NULL. */
	struct capacity_amount wanted_amount; /**< What it lacks room for. */
	double soonest_ms; /**< Least predicted wait of a full upstream; for
			      Retry-After when none has room. */
};

/** Fills zero settings with the defaults. */
void router_settings_fill(struct router_settings *settings);
/** Ranks upstreams; in a read section. Errors: ERROR_NO_UPSTREAM if none fits
 * model, labels and policies, ERROR_TOO_LARGE if none has memory enough (the
 * prompt needs a group), ERROR_NO_CAPACITY if those that fit have no room. */
enum error_code router_choose(const struct router_settings *settings,
    const struct fleet_view *view, const struct router_query *query,
    struct router_choice *choice);
/** Priority to tell the engine: of those that are not LOW, the longest prompts
 * step back one and short ones step up one. */
enum request_priority router_engine_priority(
    const struct router_settings *settings, const struct request_facts *facts);

/** Counts a prompt into the mix. */
void router_mix_note(struct router_mix *mix,
    const struct router_settings *settings, uint64_t prompt_tokens,
    int64_t now_ms);
/** Share of prompt tokens that come from long prompts, 0 to 1. */
double router_mix_share(const struct router_mix *mix);

#endif
