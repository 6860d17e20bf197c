/**
 * @file request.h
 * What the decisions need to know of a caller's request.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"

#define PREFIX_HASHES_MAX 16 /**< Prefix lengths hashed of one prompt. */

/** How a request ended, as a caller may rely on it. */
enum request_outcome {
	REQUEST_OUTCOME_NOT_RUN = 1, /**< It did not run and will not. */
	REQUEST_OUTCOME_DONE = 2,    /**< It ran, and the answer is whole. */
	REQUEST_OUTCOME_FAILED = 3,  /**< It began, and ended in failure. */
	REQUEST_OUTCOME_UNKNOWN = 4, /**< It may have run. */
};

/** How urgent a request is; engines honour it. */
enum request_priority {
	REQUEST_PRIORITY_LOW = 0,    /**< Batch work. */
	REQUEST_PRIORITY_NORMAL = 1, /**< The default. */
	REQUEST_PRIORITY_HIGH = 2,   /**< Somebody waits at the counter. */
};

/** The facts. */
struct request_facts {
	uint64_t id;			    /**< Unique among hosts. */
	char client_account[NAME_SIZE_MAX]; /**< Its name. */
	char model[NAME_SIZE_MAX];	    /**< Model, or service name. */
	uint32_t account_index;		/**< Client account, by the intent. */
	enum request_priority priority; /**< How urgent. */
	uint32_t answer_tokens_max;	/**< Most tokens to generate. */
	uint32_t prefix_count;		/**< Hashes in use below. */
	bool is_service_call;		/**< For a plain service. */
	bool is_idempotent;		/**< May run more than once. */
	uint64_t prompt_tokens;		/**< Estimated from the body. */
	int64_t admitted_ms;		/**< When it came, monotonic. */
	int64_t deadline_ms;		/**< When it must have ended. */
	uint64_t fingerprint;		/**< Account and keyed body hash. */
	uint64_t
	    prefix_hashes[PREFIX_HASHES_MAX]; /**< Of ever longer prefixes. */
	uint64_t prefix_tokens[PREFIX_HASHES_MAX]; /**< Tokens each covers. */
};

/** Name of an outcome as the interfaces print it. */
const char *request_outcome_name(enum request_outcome outcome);

#endif
