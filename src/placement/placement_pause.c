#include "placement/placement_pause.h"

#include <math.h>

/* Share of a pause limit that is planned for. The rest is for prompts that begin
 * in the same pass, and for the way to the caller. */
#define PLANNED_SHARE 0.85
#define TOKENS_PER_K  1000.0

double
pause_pass_ms(
    const struct engine_speed *engine, const struct pause_answers *answers)
{
	uint32_t count = answers->short_count + answers->long_count;

	return engine->stride *
	       (engine->step_ms + count * engine->ms_per_request +
		   answers->kv_tokens / TOKENS_PER_K *
		       engine->ms_per_1k_context_tokens);
}

double
pause_part_max_ms(
    const struct engine_speed *engine, const struct pause_answers *answers)
{
	double limit_ms;

	limit_ms = INFINITY;
	if (answers->long_count > 0 && answers->long_limit_ms > 0)
		limit_ms = answers->long_limit_ms;
	if (answers->short_count > 0 && answers->short_limit_ms > 0)
		limit_ms = fmin(limit_ms, answers->short_limit_ms);
	if (isinf(limit_ms))
		return INFINITY;
	return fmax(limit_ms * PLANNED_SHARE - answers->backlog_ms -
			pause_pass_ms(engine, answers),
	    0);
}
