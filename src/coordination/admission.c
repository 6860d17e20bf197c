/**
 * @file admission.c
 * Admission control by predicted times and account limits.
 */
#include "coordination/admission.h"

#include <math.h>
#include <string.h>

#define PREDICTION_MARGIN   1.7
#define RETRY_AFTER_MIN_MS  250
#define RETRY_AFTER_MAX_MS  30000
#define RATE_WINDOW_MS	    1000 /* Period over which the rate is measured. */
#define RATE_WINDOW_WEIGHT  0.3	 /* Weight of the newest window. */
#define INITIAL_COST_PER_MS 20.0 /* Assumed rate before the first start. */

static uint32_t *get_or_create_account(
    struct admission *admission, uint64_t account_id);
static uint32_t limit_of_this_host(
    const struct admission *admission, uint32_t limit);

enum error_code
admission_init(
    struct admission *admission, const struct admission_settings *settings)
{
	memset(admission, 0, sizeof(*admission));
	admission->settings = *settings;
	if (admission->settings.margin == 0)
		admission->settings.margin = PREDICTION_MARGIN;
	if (admission->settings.retry_after_min_ms == 0)
		admission->settings.retry_after_min_ms = RETRY_AFTER_MIN_MS;
	if (admission->settings.retry_after_max_ms == 0)
		admission->settings.retry_after_max_ms = RETRY_AFTER_MAX_MS;
	admission->accounts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	admission->hosts = 1;
	admission->cost_per_ms = INITIAL_COST_PER_MS;
	admission->is_open = true;
	return ERROR_NONE;
}

void
admission_finish(struct admission *admission)
{
	if (admission->accounts == NULL)
		return;
	g_hash_table_destroy(admission->accounts);
	memset(admission, 0, sizeof(*admission));
}

void
admission_close(struct admission *admission)
{
	admission->is_open = false;
}

void
admission_set_hosts(struct admission *admission, uint32_t hosts)
{
	admission->hosts = hosts == 0 ? 1 : hosts;
}

struct admission_decision
admission_decide(struct admission *admission,
    const struct intent_account *account, const struct request_facts *facts,
    const struct admission_prediction *prediction, int64_t now_ms)
{
	struct admission_decision decision = {0};
	uint32_t *in_flight;
	double end_ms, remaining_ms, run_ms;

	if (!admission->is_open) {
		decision.error = ERROR_SHUTTING_DOWN;
		decision.retry_after_ms =
		    admission->settings.retry_after_min_ms;
		return decision;
	}
	in_flight = get_or_create_account(admission, account->id);
	if (account->requests_max != 0 &&
	    *in_flight >=
		limit_of_this_host(admission, account->requests_max)) {
		decision.error = ERROR_OVER_LIMIT;
		decision.retry_after_ms =
		    admission_retry_after(admission, prediction->end_ms);
		return decision;
	}
	remaining_ms = (double)(facts->deadline_ms - now_ms);
	run_ms = prediction->end_ms * admission->settings.margin;
	end_ms = prediction->queue_ms * admission->settings.margin + run_ms;
	if (end_ms > remaining_ms) {
		decision.error = ERROR_DEADLINE_UNREACHABLE;
		/* A request too large even for an idle fleet gets no
		 * Retry-After, as a retry would be refused again. */
		if (run_ms <= remaining_ms || prediction->queue_ms > 0)
			decision.retry_after_ms = admission_retry_after(
			    admission, end_ms - remaining_ms);
		return decision;
	}
	(*in_flight)++;
	decision.latest_start_ms = facts->deadline_ms - (int64_t)ceil(run_ms);
	return decision;
}

void
admission_end(struct admission *admission, uint64_t account_id)
{
	uint32_t *in_flight;

	in_flight = g_hash_table_lookup(admission->accounts, &account_id);
	if (in_flight == NULL || *in_flight == 0)
		return;
	(*in_flight)--;
	if (*in_flight == 0)
		g_hash_table_remove(admission->accounts, &account_id);
}

uint32_t
admission_retry_after(const struct admission *admission, double wait_ms)
{
	if (!(wait_ms > admission->settings.retry_after_min_ms))
		return admission->settings.retry_after_min_ms;
	if (wait_ms > admission->settings.retry_after_max_ms)
		return admission->settings.retry_after_max_ms;
	return (uint32_t)ceil(wait_ms);
}

void
admission_record_start(
    struct admission *admission, uint64_t cost, bool has_waited, int64_t now_ms)
{
	double rate;
	int64_t length_ms;

	length_ms = now_ms - admission->window_start_ms;
	if (length_ms >= RATE_WINDOW_MS) {
		rate = admission->window_cost / (double)length_ms;
		/* A window without queueing shows the demand, not how fast the
		 * fleet can start work, so it may only raise the rate. */
		if (rate > admission->cost_per_ms ||
		    admission->window_has_queued)
			admission->cost_per_ms +=
			    RATE_WINDOW_WEIGHT *
			    (rate - admission->cost_per_ms);
		if (admission->cost_per_ms < 1)
			admission->cost_per_ms = 1;
		admission->window_cost = 0;
		admission->window_has_queued = false;
		admission->window_start_ms = now_ms;
	}
	admission->window_cost += (double)cost;
	admission->window_has_queued =
	    admission->window_has_queued || has_waited;
}

double
admission_queue_ms(const struct admission *admission, uint64_t cost_ahead)
{
	return (double)cost_ahead / admission->cost_per_ms;
}

static uint32_t *
get_or_create_account(struct admission *admission, uint64_t account_id)
{
	uint32_t *in_flight;

	in_flight = g_hash_table_lookup(admission->accounts, &account_id);
	if (in_flight != NULL)
		return in_flight;
	in_flight = g_new0(uint32_t, 1);
	g_hash_table_insert(admission->accounts,
	    g_memdup2(&account_id, sizeof(account_id)), in_flight);
	return in_flight;
}

/* This host's share of an account's limit. It is at least one, so that a limit
 * smaller than the number of hosts doesn't lock the account out. */
static uint32_t
limit_of_this_host(const struct admission *admission, uint32_t limit)
{
	uint32_t share;

	share = limit / admission->hosts;
	return share == 0 ? 1 : share;
}
