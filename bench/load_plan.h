/**
 * @file load_plan.h
 * Plans the requests of the load tool. Each request depends just on the seed
 * and its number, so a run can be repeated.
 */
#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config.h"

#define LOAD_BAND_COUNT 4  /**< Number of prompt length bands. */
#define LOAD_URLS_MAX	16 /**< Largest number of hosts. */
#define LOAD_TOKENS_MAX 16 /**< Largest number of account tokens. */

/** Settings of the load, from the command line. */
struct load_settings {
	uint64_t seed;		/**< Seed of all random choices. */
	uint32_t request_count; /**< Number of requests to send. */
	uint32_t concurrency;	/**< Most requests in flight at a time. */
	/** Arrival rate of an open loop; 0 for a closed loop, in which each
	 * worker sends its next request when the previous one has ended. */
	double arrivals_per_s;
	uint32_t deadline_ms;	    /**< Deadline of each request. */
	uint32_t answer_tokens_max; /**< Limit of each answer's length. */
	uint64_t prompt_tokens_max; /**< Limit of each prompt's length. */
	/** Relative frequency of each prompt length band. */
	uint32_t band_weights[LOAD_BAND_COUNT];
	uint32_t stream_percent;     /**< Share of streamed answers. */
	uint32_t service_percent;    /**< Share of plain service calls. */
	char model[NAME_SIZE_MAX];   /**< Model that prompts are sent to. */
	char service[NAME_SIZE_MAX]; /**< Service that plain calls go to. */
	uint32_t url_count;	     /**< Number of URLs in urls. */
	char urls[LOAD_URLS_MAX][URL_SIZE_MAX]; /**< URLs of the hosts. */
	char direct_url[URL_SIZE_MAX]; /**< URL of the stand-in, or "". */
	uint32_t token_count;	       /**< Number of tokens in tokens. */
	/** Tokens of the accounts, used in turn. */
	char tokens[LOAD_TOKENS_MAX][NAME_SIZE_MAX];
};

/** One planned request. */
struct load_request {
	uint32_t number;	 /**< Number within the run, from 0. */
	uint32_t band;		 /**< Index of the prompt length band. */
	size_t prompt_size;	 /**< Length of the prompt in bytes. */
	bool is_streamed;	 /**< The answer comes as an event stream. */
	bool is_service_call;	 /**< Plain call to the service, no prompt. */
	const char *token;	 /**< Token of the account, or NULL. */
	const char *url;	 /**< URL of the host, NULL if none given. */
	char key[NAME_SIZE_MAX]; /**< Idempotency key of a service call. */
};

/** Name of a prompt length band, as written in the result lines. */
const char *load_band_name(uint32_t band);
/** Plans the request with this number. */
void load_plan_request(const struct load_settings *settings, uint32_t number,
    struct load_request *request);
/** Returns the prompt of a request, ASCII letters without quotes, which the
 * caller frees. NULL if out of memory. */
char *load_plan_prompt(
    const struct load_settings *settings, const struct load_request *request);
/** Returns the due time of each request in microseconds from the start, all 0
 * in a closed loop. The caller frees the array. NULL if out of memory. */
int64_t *load_plan_due_times_us(const struct load_settings *settings);

#endif
