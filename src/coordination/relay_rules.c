#include "coordination/relay_rules.h"

#define STATUS_SUCCESS	    200
#define STATUS_NOT_SUCCESS  300
#define STATUS_SERVER_ERROR 500
#define STATUS_MISDIRECTED  421
#define UNSENT_MAX	    4  /* Upstreams that can't be reached. */
#define EXCUSED_MAX	    3  /* Refusals by a helper's fault. */
#define LEFT_MIN_MS	    20 /* Less is not worth an attempt. */

enum answer_verdict
answer_judge(const struct answer_facts *facts)
{
	bool is_success;

	is_success = facts->status >= STATUS_SUCCESS &&
		     facts->status < STATUS_NOT_SUCCESS;
	if (facts->is_refusal || facts->status == STATUS_MISDIRECTED)
		return ANSWER_NOT_RUN;
	if (!facts->is_own_attempt || facts->is_encoded)
		return ANSWER_FOREIGN;
	if (is_success && !facts->has_receipt)
		return ANSWER_FOREIGN;
	if (is_success && facts->is_event_stream)
		return ANSWER_EVENTS;
	return ANSWER_WHOLE;
}

bool
answer_is_failure(uint32_t status)
{
	return status >= STATUS_SERVER_ERROR;
}

bool
attempt_may_repeat(enum route_kind kind, bool is_resumable)
{
	return kind == ROUTE_KIND_IDEMPOTENT ||
	       (kind == ROUTE_KIND_STREAM && is_resumable);
}

enum attempt_step
attempt_next(const struct attempt_state *state)
{
	bool is_allowed;

	is_allowed = !state->may_have_run ||
		     attempt_may_repeat(state->kind, state->is_resumable);
	if (is_allowed && state->sent < state->sent_max &&
	    state->unsent < UNSENT_MAX && state->left_ms >= LEFT_MIN_MS &&
	    (state->has_budget || state->sent == 0))
		return ATTEMPT_AGAIN;
	if (state->has_answer_begun)
		return ATTEMPT_BREAK;
	if (state->is_last_whole)
		return ATTEMPT_DELIVER;
	return state->may_have_run ? ATTEMPT_FAIL : ATTEMPT_REFUSE;
}

/* Helpers that fail together are found one by one, each costs a try: the last
 * try depends on none. */
enum fault_step
helper_fault_next(uint32_t excused)
{
	if (excused >= EXCUSED_MAX)
		return FAULT_COUNTS;
	return excused + 1 == EXCUSED_MAX ? FAULT_EXCUSED_ALONE : FAULT_EXCUSED;
}
