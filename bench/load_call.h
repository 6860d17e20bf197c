/**
 * @file load_call.h
 * Sends one planned request of the load tool and checks its answer.
 */
#ifndef LOAD_CALL_H
#define LOAD_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include "load_plan.h"

/** How a request ended. */
enum load_outcome {
	LOAD_OUTCOME_DONE = 0, /**< Complete and correct answer. */
	LOAD_OUTCOME_REFUSED,  /**< Error: the request did not run. */
	LOAD_OUTCOME_FAILED,   /**< Error: the request may have run. */
	LOAD_OUTCOME_LOST,     /**< No complete answer and no error. */
	LOAD_OUTCOME_WRONG,    /**< Answer that belongs to another request. */
	LOAD_OUTCOME_COUNT
};

/** Outcome and latency of one request. */
struct load_result {
	enum load_outcome outcome; /**< How the request ended. */
	uint32_t band;		   /**< Index of the prompt length band. */
	bool has_first_token;	   /**< first_token_us is valid. */
	int64_t first_token_us;	   /**< Time from due time to first token. */
	int64_t total_us;	   /**< Time from due time to end of answer. */
	bool is_late;		   /**< The request ended after its deadline. */
};

/** Sends a request and waits for the end of its answer. @p is_direct sends it
 * straight to the stand-in engine instead of a host. Times in @p result count
 * from @p due_us on the monotonic clock. */
void load_call(const struct load_settings *settings,
    const struct load_request *request, bool is_direct, int64_t due_us,
    struct load_result *result);
/** Name of an outcome, used as key in the result lines. */
const char *load_outcome_name(enum load_outcome outcome);

#endif
