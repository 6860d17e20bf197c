/*
 * Tests of the rules by which the relay classifies answers and retries.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/relay_rules.h"
#include "coordination/retry_window.h"

/* Facts from the head of an answer, and the expected class. */
static const struct {
	struct answer_facts facts;
	enum answer_class expected;
} heads[] = {
    /* status, owner, receipt, encoded, refusal, event stream, requests before */
    {{200, ANSWER_OF_REQUEST, true, false, false, false, 0}, ANSWER_WHOLE},
    {{200, ANSWER_OF_REQUEST, true, false, false, true, 0}, ANSWER_EVENTS},
    {{200, ANSWER_OF_REQUEST, false, false, false, false, 0},
	ANSWER_MISMATCHED},
    {{200, ANSWER_OF_FOREIGN, true, false, false, false, 0}, ANSWER_MISMATCHED},
    {{200, ANSWER_OF_UNKNOWN, true, false, false, false, 1}, ANSWER_MISMATCHED},
    {{200, ANSWER_OF_EARLIER, true, false, false, false, 1}, ANSWER_REPEATED},
    {{200, ANSWER_OF_REQUEST, true, true, false, false, 0}, ANSWER_MISMATCHED},
    {{200, ANSWER_OF_REQUEST, true, false, true, false, 0}, ANSWER_MISMATCHED},
    {{500, ANSWER_OF_REQUEST, true, false, false, false, 0}, ANSWER_WHOLE},
    {{500, ANSWER_OF_FOREIGN, true, false, false, false, 0}, ANSWER_MISMATCHED},
    {{503, ANSWER_OF_REQUEST, false, false, true, false, 0}, ANSWER_NOT_RUN},
    {{503, ANSWER_OF_FOREIGN, false, false, true, false, 0}, ANSWER_MISMATCHED},
    {{503, ANSWER_OF_UNKNOWN, false, false, true, false, 1}, ANSWER_MISMATCHED},
    {{503, ANSWER_OF_EARLIER, false, false, true, false, 1}, ANSWER_REPEATED},
    {{503, ANSWER_OF_REQUEST, true, false, false, false, 0},
	ANSWER_UNCONFIRMED},
    {{408, ANSWER_OF_REQUEST, true, false, false, false, 0},
	ANSWER_UNCONFIRMED},
    {{421, ANSWER_OF_REQUEST, false, false, false, false, 0}, ANSWER_NOT_RUN},
    {{421, ANSWER_OF_FOREIGN, false, false, false, false, 0},
	ANSWER_MISMATCHED},
    {{421, ANSWER_OF_EARLIER, false, false, false, false, 1}, ANSWER_REPEATED},
    {{429, ANSWER_OF_REQUEST, true, false, false, false, 0},
	ANSWER_UNCONFIRMED},
};

/* State of a request after a failed attempt, and the expected next step. */
static const struct {
	const char *name;
	struct attempt_state state;
	enum attempt_step step;
} steps[] = {
    /* kind, resumable, may have run, answer begun, last answer whole, sent,
     * sent_max, unsent, absent, budget left, remaining ms */
    {"at most once: it may have run",
	{ROUTE_KIND_AT_MOST_ONCE, false, true, false, false, 1, 2, 0, 0, true,
	    1000},
	ATTEMPT_FAIL},
    {"at most once: refused before it ran",
	{ROUTE_KIND_AT_MOST_ONCE, false, false, false, false, 1, 2, 0, 0, true,
	    1000},
	ATTEMPT_RETRY},
    {"at most once: refused and no attempt left",
	{ROUTE_KIND_AT_MOST_ONCE, false, false, false, false, 1, 1, 0, 0, true,
	    1000},
	ATTEMPT_REFUSE},
    {"at most once: the upstream's failure is forwarded",
	{ROUTE_KIND_AT_MOST_ONCE, false, true, false, true, 1, 2, 0, 0, true,
	    1000},
	ATTEMPT_DELIVER},
    {"idempotent: retried elsewhere",
	{ROUTE_KIND_IDEMPOTENT, false, true, false, false, 1, 2, 0, 0, true,
	    1000},
	ATTEMPT_RETRY},
    {"idempotent: not retried without budget",
	{ROUTE_KIND_IDEMPOTENT, false, true, false, false, 1, 2, 0, 0, false,
	    1000},
	ATTEMPT_FAIL},
    {"idempotent: not retried shortly before its deadline",
	{ROUTE_KIND_IDEMPOTENT, false, true, false, false, 1, 2, 0, 0, true, 5},
	ATTEMPT_FAIL},
    {"resumable stream: resumed elsewhere",
	{ROUTE_KIND_STREAM, true, true, true, false, 1, 2, 0, 0, true, 1000},
	ATTEMPT_RETRY},
    {"resumable stream: aborted if no attempt is left",
	{ROUTE_KIND_STREAM, true, true, true, false, 2, 2, 0, 0, true, 1000},
	ATTEMPT_ABORT},
    {"stream that cannot be resumed: aborted",
	{ROUTE_KIND_STREAM, false, true, true, false, 1, 2, 0, 0, true, 1000},
	ATTEMPT_ABORT},
    {"first attempt found no connection: needs no budget",
	{ROUTE_KIND_AT_MOST_ONCE, false, false, false, false, 0, 1, 1, 0, false,
	    1000},
	ATTEMPT_RETRY},
    {"refused after too many upstreams without connection",
	{ROUTE_KIND_AT_MOST_ONCE, false, false, false, false, 0, 1, 4, 0, true,
	    1000},
	ATTEMPT_REFUSE},
    {"many upstreams have ended together: others are left",
	{ROUTE_KIND_AT_MOST_ONCE, false, false, false, false, 0, 1, 0, 7, true,
	    1000},
	ATTEMPT_RETRY},
    {"refused after all upstreams that a request remembers have ended",
	{ROUTE_KIND_AT_MOST_ONCE, false, false, false, false, 0, 1, 0, 8, true,
	    1000},
	ATTEMPT_REFUSE},
};

static void
test_answers_are_classified_by_their_head(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(heads) / sizeof(heads[0]); i++)
		assert_int_equal(
		    classify_answer(&heads[i].facts), heads[i].expected);
}

static void
test_attempt_state_decides_next_step(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		if (choose_attempt_step(&steps[i].state) != steps[i].step)
			fail_msg("%s", steps[i].name);
	}
}

/* In no state may a request that may have run be reported as not run. */
static void
test_request_that_may_have_run_is_never_refused(void **state)
{
	struct attempt_state at = {.may_have_run = true, .remaining_ms = 1000};
	uint32_t bits;

	(void)state;
	for (bits = 0; bits < 512; bits++) {
		at.kind = (enum route_kind)(1 + bits % 3);
		at.is_resumable = (bits & 4) != 0;
		at.has_answer_begun = (bits & 8) != 0;
		at.is_last_whole = (bits & 16) != 0;
		at.sent = 1 + ((bits & 32) != 0);
		at.sent_max = 2;
		at.has_budget = (bits & 64) != 0;
		at.unsent = (bits & 128) != 0 ? 4 : 0;
		at.absent = (bits & 256) != 0 ? 8 : 0;
		assert_int_not_equal(choose_attempt_step(&at), ATTEMPT_REFUSE);
		if (!may_repeat_request(at.kind, at.is_resumable))
			assert_int_not_equal(
			    choose_attempt_step(&at), ATTEMPT_RETRY);
	}
}

/* Guards against a fault seen in incident inc-5f95: four helpers in one rack
 * fail within 10 ms, and each refusal names only one of them. The request must
 * be excused for all of them, in the end by running without helpers. */
static void
test_helpers_lost_together_are_excused(void **state)
{
	uint32_t helpers_gone, excused;
	enum fault_class step;

	(void)state;
	step = FAULT_EXCUSED;
	helpers_gone = 4;
	for (excused = 0; helpers_gone > 0; excused++) {
		step = classify_helper_fault(excused);
		if (step != FAULT_EXCUSED)
			break;
		helpers_gone--;
	}
	assert_int_equal(step, FAULT_EXCUSED_NO_HELPERS);
	assert_int_equal(classify_helper_fault(excused + 1), FAULT_COUNTS);
}

/* The budget allows, within a window of 10 s, retries up to a fifth of the
 * requests plus a slack of 3. */
static void
test_retry_budget_window_slides(void **state)
{
	struct retry_window window;
	int64_t now_ms;
	int i;

	(void)state;
	now_ms = 1000000;
	retry_window_init(&window, 0.2, 10000);
	for (i = 0; i < 10; i++)
		retry_window_record_request(&window, now_ms);
	for (i = 0; i < 5; i++) {
		assert_true(retry_window_allows(&window, 3, now_ms));
		retry_window_record_retry(&window, now_ms);
	}
	assert_false(retry_window_allows(&window, 3, now_ms));
	assert_false(retry_window_allows(&window, 3, now_ms + 9900));
	assert_true(retry_window_allows(&window, 3, now_ms + 11000));
	/* After a long pause no earlier request or retry is counted. */
	assert_true(retry_window_allows(&window, 1, now_ms + 10000000));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_answers_are_classified_by_their_head),
	    cmocka_unit_test(test_attempt_state_decides_next_step),
	    cmocka_unit_test(test_request_that_may_have_run_is_never_refused),
	    cmocka_unit_test(test_helpers_lost_together_are_excused),
	    cmocka_unit_test(test_retry_budget_window_slides),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
