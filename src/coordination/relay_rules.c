#include "coordination/relay_rules.h"

/* HTTP status codes; those of success are from STATUS_SUCCESS up to, but not
 * including, STATUS_SUCCESS_END. */
#define STATUS_SUCCESS	    200
#define STATUS_SUCCESS_END  300
#define STATUS_SERVER_ERROR 500
#define STATUS_LATE	    408
#define STATUS_MISDIRECTED  421
#define STATUS_TOO_MANY	    429
#define STATUS_UNAVAILABLE  503

/* Attempts that got no connection or memory in time, before giving up. */
#define UNSENT_MAX 4
/* Attempts at upstreams that had ended, before giving up. Each takes no longer
 * than a round trip, and many upstreams may end together. */
#define ABSENT_MAX 8
/* Refusals because of failed helpers that do not count as attempts. */
#define EXCUSED_REFUSALS_MAX 3
#define REMAINING_MIN_MS     20 /* With less time an attempt is pointless. */

bool
status_promises_not_run(uint32_t status)
{
	return status == STATUS_LATE || status == STATUS_MISDIRECTED ||
	       status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

enum answer_class
classify_answer(const struct answer_facts *facts)
{
	bool is_success;

	is_success = facts->status >= STATUS_SUCCESS &&
		     facts->status < STATUS_SUCCESS_END;
	if (facts->owner == ANSWER_OF_EARLIER)
		return ANSWER_REPEATED;
	if (facts->owner != ANSWER_OF_REQUEST)
		return ANSWER_MISMATCHED;
	if (facts->is_refusal || facts->status == STATUS_MISDIRECTED)
		return is_success ? ANSWER_MISMATCHED : ANSWER_NOT_RUN;
	if (facts->is_encoded || (is_success && !facts->has_receipt))
		return ANSWER_MISMATCHED;
	if (status_promises_not_run(facts->status))
		return ANSWER_UNFOUNDED;
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
may_repeat_request(enum route_kind kind, bool is_resumable)
{
	return kind == ROUTE_KIND_IDEMPOTENT ||
	       (kind == ROUTE_KIND_STREAM && is_resumable);
}

enum attempt_step
choose_attempt_step(const struct attempt_state *state)
{
	bool is_allowed;

	is_allowed = !state->may_have_run ||
		     may_repeat_request(state->kind, state->is_resumable);
	if (is_allowed && state->sent < state->sent_max &&
	    state->unsent < UNSENT_MAX && state->absent < ABSENT_MAX &&
	    state->remaining_ms >= REMAINING_MIN_MS &&
	    (state->has_budget || state->sent == 0))
		return ATTEMPT_RETRY;
	if (state->has_answer_begun)
		return ATTEMPT_ABORT;
	if (state->is_last_whole)
		return ATTEMPT_DELIVER;
	return state->may_have_run ? ATTEMPT_FAIL : ATTEMPT_REFUSE;
}

/* Helpers that fail at the same time are found one by one, and each of them
 * costs an attempt, so the last excused attempt does without helpers. */
enum fault_class
classify_helper_fault(uint32_t excused)
{
	if (excused >= EXCUSED_REFUSALS_MAX)
		return FAULT_COUNTS;
	return excused + 1 == EXCUSED_REFUSALS_MAX ? FAULT_EXCUSED_NO_HELPERS
						   : FAULT_EXCUSED;
}
