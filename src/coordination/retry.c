#include "coordination/retry.h"

#define THOUSANDTHS	    1000
#define BUDGET_RATIO	    0.1	 /* Retries for each admitted request. */
#define BUDGET_MAX	    50	 /* Retries saved up. */
#define ATTEMPTS_MAX	    4	 /* Attempts of one request. */
#define STALL_FACTOR	    6.0	 /* Of the expected interval. */
#define STALL_MIN_MS	    2000 /* Shortest silence that is a stall. */
#define STALL_DEADLINE_PART 0.4	 /* Longest, of the time that is left. */
#define BACKOFF_MS	    20	 /* First pause. */
#define BACKOFF_MAX_MS	    1000 /* Longest pause. */
#define JITTER_LEAST	    0.5	 /* Least part of a pause. */

static bool is_allowed(const struct retry_settings *settings,
    const struct request_facts *facts, const struct attempt_report *report,
    int64_t now_ms);
static bool has_run(const struct attempt_report *report);
static enum error_code give_up_error(const struct attempt_report *report);
static bool take_from_budget(struct retry_budget *budget);
static uint32_t pause_before(
    const struct retry_settings *settings, uint32_t attempt, double jitter);

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
	if (settings->stall_deadline_part == 0)
		settings->stall_deadline_part = STALL_DEADLINE_PART;
	if (settings->backoff_ms == 0)
		settings->backoff_ms = BACKOFF_MS;
	if (settings->backoff_max_ms == 0)
		settings->backoff_max_ms = BACKOFF_MAX_MS;
}

void
retry_budget_init(
    struct retry_budget *budget, const struct retry_settings *settings)
{
	atomic_store(
	    &budget->thousandths, (int64_t)settings->budget_max * THOUSANDTHS);
}

void
retry_budget_note_admitted(
    struct retry_budget *budget, const struct retry_settings *settings)
{
	int64_t saved, most, grown;

	most = (int64_t)settings->budget_max * THOUSANDTHS;
	saved = atomic_load(&budget->thousandths);
	do {
		grown = saved + (int64_t)(settings->budget_ratio * THOUSANDTHS);
		if (grown > most)
			grown = most;
	} while (
	    !atomic_compare_exchange_weak(&budget->thousandths, &saved, grown));
}

struct retry_verdict
retry_decide(const struct retry_settings *settings, struct retry_budget *budget,
    const struct request_facts *facts, const struct attempt_report *report,
    double jitter, int64_t now_ms)
{
	struct retry_verdict verdict = {.action = RETRY_GIVE_UP};

	verdict.outcome = retry_classify(report);
	verdict.error = give_up_error(report);
	if (!is_allowed(settings, facts, report, now_ms))
		return verdict;
	if (!take_from_budget(budget)) {
		verdict.error = ERROR_RETRY_BUDGET;
		return verdict;
	}
	verdict.action = report->delivered > 0 ? RETRY_RESUME : RETRY_RERUN;
	verdict.pause_ms = pause_before(settings, report->attempt, jitter);
	return verdict;
}

enum request_outcome
retry_classify(const struct attempt_report *report)
{
	if (!has_run(report))
		return REQUEST_OUTCOME_NOT_RUN;
	if (report->failure == ATTEMPT_ERROR ||
	    report->stage == ATTEMPT_STREAMING || report->delivered > 0)
		return REQUEST_OUTCOME_FAILED;
	return REQUEST_OUTCOME_UNKNOWN;
}

int64_t
retry_stall_at(const struct retry_settings *settings, double expected_ms,
    int64_t last_progress_ms, int64_t deadline_ms)
{
	double silence_ms, longest_ms;

	silence_ms = expected_ms * settings->stall_factor;
	if (silence_ms < settings->stall_min_ms)
		silence_ms = settings->stall_min_ms;
	/* Time must be left to go on elsewhere. */
	longest_ms = (double)(deadline_ms - last_progress_ms) *
		     settings->stall_deadline_part;
	if (longest_ms < 0)
		longest_ms = 0;
	if (silence_ms > longest_ms)
		silence_ms = longest_ms;
	return last_progress_ms + (int64_t)silence_ms;
}

static bool
is_allowed(const struct retry_settings *settings,
    const struct request_facts *facts, const struct attempt_report *report,
    int64_t now_ms)
{
	if (report->failure == ATTEMPT_CANCELLED ||
	    report->failure == ATTEMPT_DEADLINE)
		return false;
	if (report->attempt >= settings->attempts_max)
		return false;
	if (!facts->is_idempotent && has_run(report))
		return false;
	if (report->delivered > 0 && !report->can_resume)
		return false;
	return now_ms + (int64_t)report->expected_ms < facts->deadline_ms;
}

/* True unless it is certain that no attempt has run. */
static bool
has_run(const struct attempt_report *report)
{
	if (report->ran_before)
		return true;
	if (report->failure == ATTEMPT_REFUSED)
		return false;
	return report->stage != ATTEMPT_NOT_SENT;
}

static enum error_code
give_up_error(const struct attempt_report *report)
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

static bool
take_from_budget(struct retry_budget *budget)
{
	int64_t saved;

	saved = atomic_load(&budget->thousandths);
	do {
		if (saved < THOUSANDTHS)
			return false;
	} while (!atomic_compare_exchange_weak(
	    &budget->thousandths, &saved, saved - THOUSANDTHS));
	return true;
}

static uint32_t
pause_before(
    const struct retry_settings *settings, uint32_t attempt, double jitter)
{
	double pause_ms;
	uint32_t i;

	pause_ms = settings->backoff_ms;
	for (i = 1; i < attempt && pause_ms < settings->backoff_max_ms; i++)
		pause_ms *= 2;
	if (pause_ms > settings->backoff_max_ms)
		pause_ms = settings->backoff_max_ms;
	return (uint32_t)(pause_ms *
			  (JITTER_LEAST + (1.0 - JITTER_LEAST) * jitter));
}
