/**
 * @file load_call.h
 * Sends one planned request and judges its answer.
 */
#ifndef LOAD_CALL_H
#define LOAD_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include "load_plan.h"

/** How a request ended. */
enum load_outcome {
	LOAD_OUTCOME_DONE = 0, /**< The whole answer, and its own. */
	LOAD_OUTCOME_REFUSED,  /**< A typed error: it did not run. */
	LOAD_OUTCOME_FAILED,   /**< A typed error: it ran, or may have. */
	LOAD_OUTCOME_LOST,     /**< Neither a whole answer nor an error. */
	LOAD_OUTCOME_WRONG,    /**< An answer that is not its own. */
	LOAD_OUTCOME_COUNT
};

/** What was seen. */
struct load_result {
	enum load_outcome outcome; /**< How it ended. */
	uint32_t band;		   /**< Band of its prompt. */
	bool has_first_token;	   /**< The next counts. */
	int64_t first_token_us;	   /**< From the time it was due. */
	int64_t total_us;	   /**< The same, to its end. */
	bool late;		   /**< Ended after its deadline. */
};

/** Sends it to its host, or straight to the stand-in. */
void load_call(const struct load_settings *settings,
    const struct load_request *request, bool direct, int64_t due_us,
    struct load_result *result);
/** Name of an outcome, as results carry it. */
const char *load_outcome_name(enum load_outcome outcome);

#endif
