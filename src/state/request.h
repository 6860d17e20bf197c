/**
 * @file request.h
 * Properties of a caller's request that routing and admission depend on.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"
#include "state/request_key.h"

/** Largest number of prefixes of one prompt that are hashed. */
#define PREFIX_HASHES_MAX 16

/** How a request ended, as reported to the caller. */
enum request_outcome {
	/** The request didn't run and never will. */
	REQUEST_OUTCOME_NOT_RUN = 1,
	/** The request ran; the answer is complete. */
	REQUEST_OUTCOME_DONE = 2,
	/** The request started to run and failed. */
	REQUEST_OUTCOME_FAILED = 3,
	/** The request may or may not have run. */
	REQUEST_OUTCOME_UNKNOWN = 4,
};

/** Priority of a request, also passed on to engines. */
enum request_priority {
	REQUEST_PRIORITY_LOW = 0,    /**< Batch work, nobody waits for it. */
	REQUEST_PRIORITY_NORMAL = 1, /**< Default of requests without one. */
	REQUEST_PRIORITY_HIGH = 2,   /**< Interactive work, a person waits. */
};

/** Properties of a request, taken from its headers and body. */
struct request_facts {
	uint64_t id; /**< Request id, unique among all hosts. */
	char client_account[NAME_SIZE_MAX]; /**< Name of the account. */
	char model[NAME_SIZE_MAX]; /**< Model, or name of a plain service. */
	/** Index of the client account in the intent. */
	uint32_t account_index;
	enum request_priority priority; /**< Priority of the request. */
	uint32_t answer_tokens_max;	/**< Largest number of answer tokens. */
	/** Number of elements in use of both prefix arrays. */
	uint32_t prefix_count;
	bool is_service_call;	/**< Goes to a plain service, not a model. */
	bool is_idempotent;	/**< May safely run more than once. */
	uint64_t prompt_tokens; /**< Prompt length estimated from the body. */
	int64_t admitted_ms;	/**< Monotonic time of its arrival. */
	/** Monotonic time by which the request must end. */
	int64_t deadline_ms;
	/** Keyed hash of the account's name and of the prompt, or of the body
	 * of a service call. */
	uint64_t fingerprint;
	/** Hashes of prefixes of the prompt, each longer than the last. */
	uint64_t prefix_hashes[PREFIX_HASHES_MAX];
	/** Number of tokens in each of those prefixes. */
	uint64_t prefix_tokens[PREFIX_HASHES_MAX];
};

/** Returns the identity of a request with the prefixes of its prompt as the
 * parts that it shares with others. */
struct request_key request_key_of(const struct request_facts *facts);
/** Returns the name of an outcome as it appears in responses. */
const char *request_outcome_name(enum request_outcome outcome);

#endif
