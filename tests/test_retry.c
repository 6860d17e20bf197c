/*
 * Tests of retry decisions, the retry budget, stall detection and admission.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/admission.h"
#include "coordination/retry.h"

#define DEADLINE_MS 10000
#define OUTAGE_MS   1000

struct retry_case {
	const char *what;
	struct attempt_report report;
	bool is_idempotent;
	enum retry_action action;
	enum request_outcome outcome;
};

#define NOT_SENT ATTEMPT_NOT_SENT
#define SENT	 ATTEMPT_SENT
#define STREAM	 ATTEMPT_STREAMING
#define NOT_RUN	 REQUEST_OUTCOME_NOT_RUN
#define FAILED	 REQUEST_OUTCOME_FAILED
#define UNKNOWN	 REQUEST_OUTCOME_UNKNOWN

/* The fields of a report are: attempt, stage, failure, pieces delivered,
 * whether an earlier attempt may have run, whether the answer can be resumed,
 * the predicted duration of another attempt, whether the upstream said that
 * the attempt failed, the pieces that the host has, and whether the upstream
 * runs on. */
static const struct retry_case retry_cases[] = {
    {"not sent",
	{1, NOT_SENT, ATTEMPT_CONNECTION, 0, false, false, 100, false, 0,
	    false},
	false, RETRY_RERUN, NOT_RUN},
    {"refused",
	{1, SENT, ATTEMPT_REFUSED, 0, false, false, 100, false, 0, false},
	false, RETRY_RERUN, NOT_RUN},
    {"non-idempotent after dispatch",
	{1, SENT, ATTEMPT_CONNECTION, 0, false, true, 100, false, 0, false},
	false, RETRY_GIVE_UP, UNKNOWN},
    {"non-idempotent stalled",
	{1, SENT, ATTEMPT_STALLED, 0, false, true, 100, false, 0, false}, false,
	RETRY_GIVE_UP, UNKNOWN},
    {"non-idempotent streaming",
	{1, STREAM, ATTEMPT_CONNECTION, 3, false, true, 100, false, 0, false},
	false, RETRY_GIVE_UP, FAILED},
    {"non-idempotent not sent after one that may have run",
	{2, NOT_SENT, ATTEMPT_CONNECTION, 0, true, true, 100, false, 0, false},
	false, RETRY_GIVE_UP, UNKNOWN},
    {"idempotent after dispatch",
	{1, SENT, ATTEMPT_CONNECTION, 0, false, false, 100, false, 0, false},
	true, RETRY_RERUN, UNKNOWN},
    {"resume",
	{1, STREAM, ATTEMPT_STALLED, 3, false, true, 100, false, 0, false},
	true, RETRY_RESUME, FAILED},
    {"never a re-run after text",
	{1, STREAM, ATTEMPT_STALLED, 3, false, false, 100, false, 0, false},
	true, RETRY_GIVE_UP, FAILED},
    {"refused after one that ran",
	{2, SENT, ATTEMPT_REFUSED, 0, true, false, 100, false, 0, false}, true,
	RETRY_RERUN, UNKNOWN},
    {"attempts are bounded",
	{8, NOT_SENT, ATTEMPT_CONNECTION, 0, false, false, 100, false, 0,
	    false},
	true, RETRY_GIVE_UP, NOT_RUN},
    {"no time left",
	{1, NOT_SENT, ATTEMPT_CONNECTION, 0, false, false, 9995, false, 0,
	    false},
	true, RETRY_GIVE_UP, NOT_RUN},
    {"caller left",
	{1, SENT, ATTEMPT_CANCELLED, 0, false, false, 100, false, 0, false},
	true, RETRY_GIVE_UP, UNKNOWN},
    {"deadline",
	{1, SENT, ATTEMPT_DEADLINE, 0, false, false, 100, false, 0, false},
	true, RETRY_GIVE_UP, UNKNOWN},
    {"refused after text",
	{1, NOT_SENT, ATTEMPT_REFUSED, 3, false, true, 100, false, 0, false},
	false, RETRY_GIVE_UP, FAILED},
    {"error answered",
	{1, SENT, ATTEMPT_ERROR, 0, false, false, 100, true, 0, false}, true,
	RETRY_RERUN, FAILED},
    {"error answered that does not say that it ended",
	{1, SENT, ATTEMPT_ERROR, 0, false, false, 100, false, 0, false}, false,
	RETRY_GIVE_UP, UNKNOWN},
    {"broken off before the caller has text",
	{1, STREAM, ATTEMPT_CONNECTION, 0, false, true, 100, false, 3, true},
	true, RETRY_RESUME, FAILED},
    {"broken off, its upstream is gone",
	{1, STREAM, ATTEMPT_CONNECTION, 0, false, true, 100, false, 3, false},
	true, RETRY_RERUN, FAILED},
    {"broken off, resuming brought nothing",
	{2, SENT, ATTEMPT_CONNECTION, 0, true, true, 100, false, 3, true}, true,
	RETRY_RERUN, UNKNOWN},
    {"broken off, resuming was refused",
	{2, NOT_SENT, ATTEMPT_REFUSED, 0, true, true, 100, false, 3, true},
	true, RETRY_RERUN, UNKNOWN},
    {"stalled before the caller has text",
	{1, STREAM, ATTEMPT_STALLED, 0, false, true, 100, false, 3, true}, true,
	RETRY_RERUN, FAILED},
    {"a plain call's answer broken off",
	{1, STREAM, ATTEMPT_CONNECTION, 0, false, false, 100, false, 3, true},
	true, RETRY_RERUN, FAILED},
    {"non-idempotent, broken off before the caller has text",
	{1, STREAM, ATTEMPT_CONNECTION, 0, false, true, 100, false, 3, true},
	false, RETRY_GIVE_UP, FAILED},
};

static void
test_retries_follow_failure_and_idempotency(void **state)
{
	const struct retry_case *item;
	struct retry_settings settings = {0};
	struct retry_budget budget;
	struct request_facts facts = {.deadline_ms = DEADLINE_MS};
	struct retry_decision decision;
	size_t i;

	(void)state;
	retry_settings_fill(&settings);
	for (i = 0; i < sizeof(retry_cases) / sizeof(retry_cases[0]); i++) {
		item = &retry_cases[i];
		retry_budget_init(&budget, &settings);
		facts.is_idempotent = item->is_idempotent;
		decision = retry_decide(
		    &settings, &budget, &facts, &item->report, 0.5, 0);
		if (decision.action != item->action ||
		    decision.outcome != item->outcome ||
		    decision.error == ERROR_NONE)
			fail_msg("%s", item->what);
	}
}

/* An outage of a second that breaks every attempt at once is outlasted, however
 * the jitter falls, if the request has the time. */
static void
test_outage_of_a_second_is_outlasted(void **state)
{
	struct retry_settings settings = {0};
	struct retry_budget budget;
	struct request_facts facts = {
	    .deadline_ms = DEADLINE_MS, .is_idempotent = true};
	struct attempt_report report = {
	    .stage = ATTEMPT_SENT,
	    .failure = ATTEMPT_CONNECTION,
	    .expected_ms = 100,
	};
	struct retry_decision decision;
	int64_t now_ms;

	(void)state;
	retry_settings_fill(&settings);
	retry_budget_init(&budget, &settings);
	now_ms = 0;
	do {
		report.attempt++;
		decision = retry_decide(
		    &settings, &budget, &facts, &report, 0, now_ms);
		now_ms += decision.pause_ms;
	} while (decision.action != RETRY_GIVE_UP);
	assert_true(now_ms >= OUTAGE_MS);
}

/* Requests that fail everywhere leave retries to a request that fails once. */
static void
test_late_attempts_leave_retries_to_others(void **state)
{
	struct retry_settings settings = {0};
	struct retry_budget budget;
	struct request_facts facts = {
	    .deadline_ms = DEADLINE_MS, .is_idempotent = true};
	struct attempt_report report = {
	    .stage = ATTEMPT_SENT,
	    .failure = ATTEMPT_CONNECTION,
	    .expected_ms = 10,
	};
	uint32_t attempt, i, late;

	(void)state;
	retry_settings_fill(&settings);
	retry_budget_init(&budget, &settings);
	late = 0;
	for (i = 0; i < settings.budget_max; i++) {
		for (attempt = 4; attempt < settings.attempts_max; attempt++) {
			report.attempt = attempt;
			if (retry_decide(
				&settings, &budget, &facts, &report, 0, 0)
				.action != RETRY_GIVE_UP)
				late++;
		}
	}
	assert_true(late > 0);
	assert_true(late <= settings.budget_max / 4);
	report.attempt = 1;
	assert_int_equal(
	    retry_decide(&settings, &budget, &facts, &report, 0, 0).action,
	    RETRY_RERUN);
}

/* When every request fails, retries stay a small share of the admitted
 * requests. */
static void
test_retry_budget_bounds_retries(void **state)
{
	struct retry_settings settings = {0};
	struct retry_budget budget;
	struct request_facts facts = {
	    .deadline_ms = DEADLINE_MS, .is_idempotent = true};
	struct attempt_report report = {
	    .attempt = 1,
	    .stage = ATTEMPT_SENT,
	    .failure = ATTEMPT_CONNECTION,
	    .expected_ms = 10,
	};
	struct retry_decision decision;
	unsigned int i, retries;

	(void)state;
	retry_settings_fill(&settings);
	retry_budget_init(&budget, &settings);
	retries = 0;
	for (i = 0; i < 10000; i++) {
		retry_budget_record_admitted(&budget, &settings);
		report.attempt = 1;
		do {
			decision = retry_decide(
			    &settings, &budget, &facts, &report, 0, 0);
			report.attempt++;
			if (decision.action != RETRY_GIVE_UP)
				retries++;
		} while (decision.action != RETRY_GIVE_UP);
	}
	assert_int_equal(decision.error, ERROR_RETRY_BUDGET);
	assert_true(retries <= 1000 + settings.budget_max);
	assert_true(retries >= 1000);
}

struct stall_case {
	double expected_ms;
	int64_t last_ms;
	int64_t deadline_ms;
	int64_t stall_ms;
};

static const struct stall_case stall_cases[] = {
    {20, 0, 60000, 500},      /* The minimum of the timeout applies. */
    {400, 0, 60000, 2000},    /* The timeout is five expected intervals. */
    {10000, 0, 60000, 24000}, /* The deadline leaves time for a retry. */
    {20, 1000, 1500, 1200},   /* The deadline is near. */
    {20, 1000, 900, 1000},    /* The deadline has passed. */
};

static void
test_stall_time_follows_expectation_and_deadline(void **state)
{
	struct retry_settings settings = {0};
	size_t i;

	(void)state;
	retry_settings_fill(&settings);
	for (i = 0; i < sizeof(stall_cases) / sizeof(stall_cases[0]); i++)
		assert_int_equal(
		    retry_stall_at(&settings, stall_cases[i].expected_ms,
			stall_cases[i].last_ms, stall_cases[i].deadline_ms),
		    stall_cases[i].stall_ms);
}

struct admission_case {
	const char *what;
	struct admission_prediction prediction;
	uint32_t requests_max;
	bool is_closed;
	enum error_code error;
	bool has_retry_after;
	int64_t latest_start_ms;
};

static const struct admission_case admission_cases[] = {
    {"in time", {0, 100, 5000}, 0, false, ERROR_NONE, false, 1500},
    {"not in time", {6000, 100, 5000}, 0, false, ERROR_DEADLINE_UNREACHABLE,
	true, 0},
    {"never in time", {0, 100, 20000}, 0, false, ERROR_DEADLINE_UNREACHABLE,
	false, 0},
    {"over its limit", {0, 100, 500}, 1, false, ERROR_OVER_LIMIT, true, 0},
    {"limit is shared by hosts", {0, 100, 500}, 4, false, ERROR_OVER_LIMIT,
	true, 0},
    {"below its limit", {0, 100, 5000}, 8, false, ERROR_NONE, false, 1500},
    {"closed", {0, 100, 500}, 0, true, ERROR_SHUTTING_DOWN, true, 0},
};

/* One request of the account is in flight already on this host. Four hosts
 * share the account's limit. */
static void
test_requests_are_admitted_by_deadline_and_limit(void **state)
{
	const struct admission_case *item;
	struct admission admission;
	struct admission_settings settings = {0};
	struct admission_prediction quick = {0, 1, 2};
	struct admission_decision decision;
	struct intent_account account = {.id = 3};
	struct request_facts facts = {.deadline_ms = DEADLINE_MS};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(admission_cases) / sizeof(admission_cases[0]);
	     i++) {
		item = &admission_cases[i];
		admission_init(&admission, &settings);
		admission_set_hosts(&admission, 4);
		account.requests_max = item->requests_max;
		decision =
		    admission_decide(&admission, &account, &facts, &quick, 0);
		assert_int_equal(decision.error, ERROR_NONE);
		if (item->is_closed)
			admission_close(&admission);
		decision = admission_decide(
		    &admission, &account, &facts, &item->prediction, 0);
		if (decision.error != item->error ||
		    (decision.retry_after_ms != 0) != item->has_retry_after ||
		    decision.latest_start_ms != item->latest_start_ms)
			fail_msg("%s", item->what);
		admission_end(&admission, 3);
		if (item->error == ERROR_OVER_LIMIT)
			assert_int_equal(admission_decide(&admission, &account,
					     &facts, &quick, 0)
					     .error,
			    ERROR_NONE);
		admission_finish(&admission);
	}
}

/* The estimated time in the queue follows the rate at which prompts were
 * started while others were queued. */
static void
test_queue_time_follows_start_rate(void **state)
{
	struct admission admission;
	struct admission_settings settings = {0};
	int64_t now_ms;
	double busy_ms;

	(void)state;
	admission_init(&admission, &settings);
	for (now_ms = 0; now_ms < 30000; now_ms += 10)
		admission_record_start(&admission, 1000, true, now_ms);
	/* The current window ends here; requests were queued in it. */
	admission_record_start(&admission, 1000, false, now_ms);
	busy_ms = admission_queue_ms(&admission, 100000);
	assert_true(busy_ms > 900 && busy_ms < 1100);
	for (now_ms += 1000; now_ms < 60000; now_ms += 1000)
		admission_record_start(&admission, 1000, false, now_ms);
	assert_true(admission_queue_ms(&admission, 100000) == busy_ms);
	for (; now_ms < 90000; now_ms += 1000)
		admission_record_start(&admission, 1000, true, now_ms);
	assert_true(admission_queue_ms(&admission, 100000) > 10 * busy_ms);
	admission_finish(&admission);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_retries_follow_failure_and_idempotency),
	    cmocka_unit_test(test_outage_of_a_second_is_outlasted),
	    cmocka_unit_test(test_late_attempts_leave_retries_to_others),
	    cmocka_unit_test(test_retry_budget_bounds_retries),
	    cmocka_unit_test(test_stall_time_follows_expectation_and_deadline),
	    cmocka_unit_test(test_requests_are_admitted_by_deadline_and_limit),
	    cmocka_unit_test(test_queue_time_follows_start_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
