/**
 * @file load_plan.h
 * What the load tool sends: each request follows from the seed and its number.
 */
#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config.h"

#define LOAD_BANDS	  4  /**< Bands of prompt length. */
#define LOAD_URLS_MAX	  16 /**< Hosts that are asked in turn. */
#define LOAD_ACCOUNTS_MAX 16 /**< Account tokens used in turn. */

/** Settings of a load. */
struct load_settings {
	uint64_t seed;				/**< Of everything. */
	uint32_t requests;			/**< How many. */
	uint32_t concurrency;			/**< At a time, at most. */
	double rate_per_s;			/**< Open loop; 0: closed. */
	uint32_t deadline_ms;			/**< Of each request. */
	uint32_t answer_tokens_max;		/**< Of each answer. */
	uint64_t prompt_tokens_max;		/**< Longest prompt. */
	uint32_t band_weights[LOAD_BANDS];	/**< Shares by length. */
	uint32_t stream_percent;		/**< Streamed ones. */
	uint32_t service_percent;		/**< Calls that run once. */
	char model[NAME_SIZE_MAX];		/**< Model asked for. */
	char service[NAME_SIZE_MAX];		/**< Service called. */
	uint32_t url_count;			/**< Hosts below. */
	char urls[LOAD_URLS_MAX][URL_SIZE_MAX]; /**< Hosts. */
	char direct_url[URL_SIZE_MAX];		/**< Stand-in, "": none. */
	uint32_t token_count;			/**< Tokens below. */
	char tokens[LOAD_ACCOUNTS_MAX][NAME_SIZE_MAX]; /**< Of accounts. */
};

/** One planned request. */
struct load_request {
	uint32_t number;	 /**< From 0. */
	uint32_t band;		 /**< Band of its prompt. */
	size_t prompt_size;	 /**< Bytes of its prompt. */
	bool stream;		 /**< Answer as events. */
	bool is_service_call;	 /**< Goes to the service. */
	const char *token;	 /**< Account's token, NULL for none. */
	const char *url;	 /**< Host asked. */
	char key[NAME_SIZE_MAX]; /**< Idempotency key of a service call. */
};

/** Name of a band, as results carry it. */
const char *load_band_name(uint32_t band);
/** Plans request @p number. */
void load_plan_request(const struct load_settings *settings, uint32_t number,
    struct load_request *request);
/** Writes the prompt; plain ASCII without quotes; caller frees. */
char *load_plan_prompt(
    const struct load_settings *settings, const struct load_request *request);
/** Times of an open loop in microseconds from the start; caller frees. */
int64_t *load_plan_times(const struct load_settings *settings);

#endif
