/**
 * @file router.h
 * Ranks the upstreams that a request may be sent to, from a fleet view.
 *
 * The cost of an upstream is the predicted time to the first token, from its
 * queue, the prefill beyond the cached prefix, decoding slowed by other
 * requests, coldness and distance, plus a small share of the decode time. The
 * router only looks at this host's subset of each matching group, nearest
 * groups first, so a decision doesn't get slower as the fleet grows.
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

#define ROUTER_CANDIDATES_MAX 8 /**< Most upstreams in a ranking. */

/** Settings of the router; a zero field takes its default. */
struct router_settings {
	uint64_t short_prompt_tokens; /**< Prompts with fewer are short. */
	uint64_t long_prompt_tokens;  /**< Prompts with as many are long. */
	/** Prompts with as many tokens get a lower engine priority. */
	uint64_t demoted_prompt_tokens;
	uint32_t scored_max;   /**< Most upstreams scored per request. */
	uint32_t chunk_tokens; /**< Prefill chunk of an engine. */
	double same_region_ms; /**< Cost of another data centre, same region. */
	double other_region_ms; /**< Cost of another region. */
	double cold_factor;	/**< How many times slower a cold one is. */
	double batch_slowdown;	/**< Slowdown of decoding per other request. */
	double long_headroom;	/**< Factor on the share of upstreams that take
				     long prompts. */
	double end_weight;	/**< Weight of the decode time in the cost. */
	int64_t load_half_life_ms; /**< Half-life of a load report's weight. */
};

/** Share of long prompts in this host's traffic. Safe for use from any
 * thread. */
struct router_mix {
	_Atomic uint64_t long_tokens; /**< Decaying sum, long prompts. */
	_Atomic uint64_t all_tokens;  /**< Decaying sum, all prompts. */
	_Atomic int64_t decayed_ms;   /**< When the sums last decayed. */
};

/** Input of a routing decision. */
struct router_query {
	const struct request_facts *facts;    /**< Request to be routed. */
	const struct intent_account *account; /**< Account of the request. */
	const struct prefix_index *prefixes;  /**< Cached prefixes or NULL. */
	const uint64_t *excluded;	      /**< Ids of tried upstreams. */
	uint32_t excluded_count;	      /**< Number of excluded ids. */
	/** Share of long prompts, from router_mix_share(). */
	double long_share;
	int64_t now_ms; /**< Monotonic time. */
};

/** A candidate upstream and the predictions for it. */
struct router_candidate {
	const struct fleet_entry *entry; /**< Valid in the read section. */
	double first_token_ms;		 /**< Predicted time to first token. */
	double end_ms;			 /**< Predicted time to the end. */
	double cost_ms;			 /**< Cost, lowest ranked first. */
	uint64_t ahead_tokens;		 /**< Prompt tokens queued before it. */
	uint64_t cached_tokens;		 /**< Prompt tokens probably cached. */
	struct capacity_amount amount;	 /**< Capacity to take of its slot. */
	/** Prompt tokens for fleet_work_begin(), 0 for a short prompt. */
	uint64_t long_tokens;
};

/** Result of a routing decision: the candidates, best first. */
struct router_choice {
	struct router_candidate candidates[ROUTER_CANDIDATES_MAX];
	uint32_t count; /**< Number of candidates. */
	/** The best upstream without free capacity if its cost is lower than
	 * that of all candidates, else NULL. */
	const struct fleet_entry *wanted;
	struct capacity_amount wanted_amount; /**< Capacity needed there. */
	double wait_ms; /**< Least predicted time to first token among
				  upstreams without free capacity, used for
				  Retry-After. */
};

/** Replaces zero fields of the settings with the defaults. */
void router_settings_fill(struct router_settings *settings);
/** Ranks upstreams for a request; call inside a read section. Errors:
 * ERROR_NO_UPSTREAM if none matches the model, labels and policies;
 * ERROR_TOO_LARGE if none has enough KV memory for the request (a group of
 * upstreams would be needed); ERROR_NO_CAPACITY if none has free capacity. */
enum error_code router_choose(const struct router_settings *settings,
    const struct fleet_view *view, const struct router_query *query,
    struct router_choice *choice);
/** Priority that is sent to the engine. LOW stays LOW; otherwise very long
 * prompts are lowered by one level and short ones get HIGH. */
enum request_priority router_engine_priority(
    const struct router_settings *settings, const struct request_facts *facts);

/** Records a prompt in the traffic mix. */
void router_mix_record(struct router_mix *mix,
    const struct router_settings *settings, uint64_t prompt_tokens,
    int64_t now_ms);
/** Share of recent prompt tokens that belong to long prompts, 0 to 1. */
double router_mix_share(const struct router_mix *mix);

#endif
