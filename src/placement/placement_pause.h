/**
 * @file placement_pause.h
 * How much of a long prompt an engine may prefill beside the answers that it
 * decodes.
 *
 * For loads in which the demand for long prompts swings: an engine that took
 * short prompts a moment ago is to prefill parts of long ones while its last
 * answers still run. An engine works in passes; one that prefills a part lasts
 * as long as the part takes in addition, and no answer there goes on meanwhile.
 */
#ifndef PLACEMENT_PAUSE_H
#define PLACEMENT_PAUSE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/route_table.h"

/** The answers that an engine decodes. */
struct pause_answers {
	uint32_t short_count; /**< Answers to short prompts. */
	uint32_t long_count;  /**< Answers to long prompts, past prefill. */
	/** Shortest pause limit of the routes to the service, 0 for none. */
	double short_limit_ms;
	double long_limit_ms; /**< Pause limit of long prompts' answers. */
	double backlog_ms;    /**< Prefill that is queued there already. */
	double kv_tokens;     /**< Tokens of all these answers' contexts. */
};

/** Duration of a pass of the engine that decodes these answers and prefills
 * nothing. */
double pause_pass_ms(
    const struct engine_speed *engine, const struct pause_answers *answers);
/** Returns the longest part, in milliseconds of prefill, that leaves each pause
 * of these answers within its limit; INFINITY if there are none, 0 if they bear
 * nothing. */
double pause_part_max_ms(
    const struct engine_speed *engine, const struct pause_answers *answers);

#endif
