/**
 * @file retry.c
 * Retry decisions, outcomes and stall detection.
 */
#include "coordination/retry.h"

#define BUDGET_RATIO 0.1
#define BUDGET_MAX   50
#define ATTEMPTS_MAX 8
/* Attempts after which a request may only use what others hardly need. */
#define ATTEMPTS_EARLY	      4
#define LATE_RESERVE_SHARE    0.75
#define STALL_FACTOR	      5.0
#define STALL_MIN_MS	      500
#define STALL_DEADLINE_SHARE  0.4
#define BACKOFF_MS	      20
#define BACKOFF_MAX_MS	      1000
#define THOUSANDTHS_PER_RETRY 1000

static bool spend_budget(struct retry_budget *budget, int64_t reserve);
static int64_t reserve_for_others(
    const struct retry_settings *settings, const struct attempt_report *report);
static uint32_t compute_backoff_ms(
    const struct retry_settings *settings, uint32_t attempt, double jitter);
static enum error_code error_for_failure(const struct attempt_report *report);
static bool may_retry(
    const struct request_facts *facts, const struct attempt_report *report);
static bool may_bring_rest(const struct attempt_report *report);

void
retry_settings_fill(struct retry_settings *settings)
{
	if (settings->budget_ratio == 0)
		settings->budget_ratio = BUDGET_RATIO;
	if (settings->budget_max == 0)
		settings->budget_max = BUDGET_MAX;
	if (settings->attempts_max == 0)
		settings->attempts_max = ATTEMPTS_MAX;
	if (settings->stall_factor == 0)
		settings->stall_factor = STALL_FACTOR;
	if (settings->stall_min_ms == 0)
		settings->stall_min_ms = STALL_MIN_MS;
	if (settings->stall_deadline_share == 0)
		settings->stall_deadline_share = STALL_DEADLINE_SHARE;
	if (settings->backoff_ms == 0)
		settings->backoff_ms = BACKOFF_MS;
	if (settings->backoff_max_ms == 0)
		settings->backoff_max_ms = BACKOFF_MAX_MS;
}

void
retry_budget_init(
    struct retry_budget *budget, const struct retry_settings *settings)
{
	atomic_store(&budget->thousandths,
	    (int64_t)settings->budget_max * THOUSANDTHS_PER_RETRY);
}

void
retry_budget_record_admitted(
    struct retry_budget *budget, const struct retry_settings *settings)
{
	int64_t saved, saved_max, next;

	saved_max = (int64_t)settings->budget_max * THOUSANDTHS_PER_RETRY;
	saved = atomic_load(&budget->thousandths);
	do {
		next = saved + (int64_t)(settings->budget_ratio *
					 THOUSANDTHS_PER_RETRY);
		if (next > saved_max)
			next = saved_max;
	} while (
	    !atomic_compare_exchange_weak(&budget->thousandths, &saved, next));
}

struct retry_decision
retry_decide(const struct retry_settings *settings, struct retry_budget *budget,
    const struct request_facts *facts, const struct attempt_report *report,
    double jitter, int64_t now_ms)
{
	struct retry_decision decision = {0};
	double remaining_ms;

	decision.outcome = retry_classify(report);
	decision.error = error_for_failure(report);
	if (!may_retry(facts, report) ||
	    report->attempt >= settings->attempts_max)
		return decision;
	decision.pause_ms =
	    compute_backoff_ms(settings, report->attempt, jitter);
	remaining_ms = (double)(facts->deadline_ms - now_ms);
	if (report->expected_ms + decision.pause_ms > remaining_ms)
		return decision;
	if (!spend_budget(budget, reserve_for_others(settings, report))) {
		decision.error = ERROR_RETRY_BUDGET;
		return decision;
	}
	decision.action = report->delivered > 0 || may_bring_rest(report)
			      ? RETRY_RESUME
			      : RETRY_RERUN;
	return decision;
}

enum request_outcome
retry_classify(const struct attempt_report *report)
{
	/* "Not run" may be reported only if no attempt can have run; text that
	 * the caller has shows that one did. */
	if (!report->may_have_run && report->delivered == 0 &&
	    (report->stage == ATTEMPT_NOT_SENT ||
		(report->stage == ATTEMPT_SENT &&
		    report->failure == ATTEMPT_REFUSED)))
		return REQUEST_OUTCOME_NOT_RUN;
	if (report->stage == ATTEMPT_STREAMING || report->delivered > 0)
		return REQUEST_OUTCOME_FAILED;
	if (report->stage == ATTEMPT_SENT && report->failure == ATTEMPT_ERROR &&
	    report->says_failed)
		return REQUEST_OUTCOME_FAILED;
	return REQUEST_OUTCOME_UNKNOWN;
}

int64_t
retry_stall_at(const struct retry_settings *settings, double expected_ms,
    int64_t last_progress_ms, int64_t deadline_ms)
{
	double silence_ms, silence_max_ms;

	silence_ms = expected_ms * settings->stall_factor;
	if (silence_ms < settings->stall_min_ms)
		silence_ms = settings->stall_min_ms;
	/* Enough time must be left to continue at another upstream. */
	silence_max_ms = (double)(deadline_ms - last_progress_ms) *
			 settings->stall_deadline_share;
	if (silence_ms > silence_max_ms)
		silence_ms = silence_max_ms;
	if (silence_ms < 0)
		silence_ms = 0;
	return last_progress_ms + (int64_t)silence_ms;
}

/* Whether another attempt is safe and useful, apart from time and budget. */
static bool
may_retry(
    const struct request_facts *facts, const struct attempt_report *report)
{
	if (report->failure == ATTEMPT_CANCELLED ||
	    report->failure == ATTEMPT_DEADLINE)
		return false;
	if (report->delivered > 0 && !report->can_resume)
		return false;
	if (facts->is_idempotent)
		return true;
	/* A refusal by the upstream guarantees that the request didn't run. */
	return retry_classify(report) == REQUEST_OUTCOME_NOT_RUN;
}

/* Whether the upstream of the failed attempt may still have the rest of an
 * answer that it broke off. */
static bool
may_bring_rest(const struct attempt_report *report)
{
	return report->can_resume && report->received > 0 &&
	       report->stage == ATTEMPT_STREAMING &&
	       report->failure == ATTEMPT_CONNECTION && report->upstream_runs;
}

/* Part of the budget that is kept for the first retries of other requests. One
 * that fails everywhere must not use up the budget of those that a single retry
 * would save. */
static int64_t
reserve_for_others(
    const struct retry_settings *settings, const struct attempt_report *report)
{
	if (report->attempt < ATTEMPTS_EARLY)
		return 0;
	return (int64_t)(LATE_RESERVE_SHARE * settings->budget_max *
			 THOUSANDTHS_PER_RETRY);
}

/* Subtracts one retry from the budget; returns false if that would leave less
 * than the reserve. */
static bool
spend_budget(struct retry_budget *budget, int64_t reserve)
{
	int64_t saved;

	saved = atomic_load(&budget->thousandths);
	do {
		if (saved < THOUSANDTHS_PER_RETRY + reserve)
			return false;
	} while (!atomic_compare_exchange_weak(
	    &budget->thousandths, &saved, saved - THOUSANDTHS_PER_RETRY));
	return true;
}

/* Backoff after the given attempt: exponential, of which the jitter takes up to
 * a half off. */
static uint32_t
compute_backoff_ms(
    const struct retry_settings *settings, uint32_t attempt, double jitter)
{
	uint32_t pause_ms, i;

	pause_ms = settings->backoff_ms;
	for (i = 1; i < attempt && pause_ms < settings->backoff_max_ms; i++)
		pause_ms *= 2;
	if (pause_ms > settings->backoff_max_ms)
		pause_ms = settings->backoff_max_ms;
	return (uint32_t)((0.5 + jitter / 2) * pause_ms);
}

static enum error_code
error_for_failure(const struct attempt_report *report)
{
	switch (report->failure) {
	case ATTEMPT_REFUSED:
		return ERROR_UPSTREAM_REFUSED;
	case ATTEMPT_CONNECTION:
	case ATTEMPT_ERROR:
		return ERROR_UPSTREAM_FAILED;
	case ATTEMPT_STALLED:
		return ERROR_STALLED;
	case ATTEMPT_CANCELLED:
		return ERROR_CANCELLED;
	case ATTEMPT_DEADLINE:
		return ERROR_TIMEOUT;
	case ATTEMPT_NO_CAPACITY:
		return ERROR_NO_CAPACITY;
	}
	return ERROR_INTERNAL;
}
