#include "coordination/admission.h"

#include <string.h>

#define MARGIN_DEFAULT		1.2   /* On predicted times. */
#define RETRY_AFTER_MIN_DEFAULT 500   /* Least Retry-After, ms. */
#define RETRY_AFTER_MAX_DEFAULT 60000 /* Largest Retry-After, ms. */
#define WINDOW_MS		1000  /* Over which the rate is taken. */
#define WINDOW_WEIGHT		0.3   /* Of the last window. */
#define COST_PER_MS_FIRST	100.0 /* Until one was measured. */

static enum error_code check_account(
    const struct admission *admission, const struct intent_account *account);
static uint32_t count_of(const struct admission *admission, uint64_t id);
static void set_count(struct admission *admission, uint64_t id, uint32_t count);

enum error_code
admission_init(
    struct admission *admission, const struct admission_settings *settings)
{
	memset(admission, 0, sizeof(*admission));
	admission->settings = *settings;
	if (admission->settings.margin == 0)
		admission->settings.margin = MARGIN_DEFAULT;
	if (admission->settings.retry_after_min_ms == 0)
		admission->settings.retry_after_min_ms =
		    RETRY_AFTER_MIN_DEFAULT;
	if (admission->settings.retry_after_max_ms == 0)
		admission->settings.retry_after_max_ms =
		    RETRY_AFTER_MAX_DEFAULT;
	admission->accounts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	admission->hosts = 1;
	admission->cost_per_ms = COST_PER_MS_FIRST;
	admission->is_open = true;
	return ERROR_NONE;
}

void
admission_finish(struct admission *admission)
{
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
	admission->hosts = hosts > 0 ? hosts : 1;
}

struct admission_verdict
admission_decide(struct admission *admission,
    const struct intent_account *account, const struct request_facts *facts,
    const struct admission_prediction *prediction, int64_t now_ms)
{
	struct admission_verdict verdict = {0};
	double margin, left_ms, needed_ms;

	margin = admission->settings.margin;
	left_ms = (double)(facts->deadline_ms - now_ms);
	needed_ms = prediction->end_ms * margin;
	verdict.latest_start_ms = facts->deadline_ms - (int64_t)needed_ms;
	if (!admission->is_open) {
		verdict.error = ERROR_SHUTTING_DOWN;
		verdict.retry_after_ms = admission->settings.retry_after_min_ms;
		return verdict;
	}
	verdict.error = check_account(admission, account);
	if (verdict.error == ERROR_NONE &&
	    prediction->queue_ms * margin + needed_ms > left_ms)
		verdict.error = ERROR_DEADLINE_UNREACHABLE;
	if (verdict.error != ERROR_NONE) {
		verdict.retry_after_ms =
		    admission_retry_after(admission, prediction->queue_ms);
		return verdict;
	}
	set_count(admission, account->id, count_of(admission, account->id) + 1);
	return verdict;
}

void
admission_end(struct admission *admission, uint64_t account_id)
{
	uint32_t count;

	count = count_of(admission, account_id);
	if (count > 0)
		set_count(admission, account_id, count - 1);
}

uint32_t
admission_retry_after(const struct admission *admission, double wait_ms)
{
	const struct admission_settings *settings = &admission->settings;

	if (wait_ms <= settings->retry_after_min_ms)
		return settings->retry_after_min_ms;
	if (wait_ms >= settings->retry_after_max_ms)
		return settings->retry_after_max_ms;
	return (uint32_t)wait_ms;
}

void
admission_note_start(struct admission *admission, uint64_t cost, int64_t now_ms)
{
	double rate;
	int64_t elapsed_ms;

	elapsed_ms = now_ms - admission->window_start_ms;
	if (admission->window_start_ms != 0 && elapsed_ms >= WINDOW_MS) {
		rate = admission->window_cost / (double)elapsed_ms;
		admission->cost_per_ms +=
		    (rate - admission->cost_per_ms) * WINDOW_WEIGHT;
		admission->window_cost = 0;
		admission->window_start_ms = now_ms;
	}
	if (admission->window_start_ms == 0)
		admission->window_start_ms = now_ms;
	admission->window_cost += (double)cost;
}

double
admission_queue_ms(const struct admission *admission, uint64_t cost_ahead)
{
	if (cost_ahead == 0)
		return 0;
	if (admission->cost_per_ms < 1.0)
		return (double)cost_ahead;
	return (double)cost_ahead / admission->cost_per_ms;
}

/* Each host lets its part of the account's requests in, and at least one. */
static enum error_code
check_account(
    const struct admission *admission, const struct intent_account *account)
{
	uint32_t part;

	if (account->requests_max == 0)
		return ERROR_NONE;
	part = account->requests_max / admission->hosts;
	if (part == 0)
		part = 1;
	return count_of(admission, account->id) < part ? ERROR_NONE
						       : ERROR_OVER_LIMIT;
}

static uint32_t
count_of(const struct admission *admission, uint64_t id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(admission->accounts, &id));
}

static void
set_count(struct admission *admission, uint64_t id, uint32_t count)
{
	uint64_t *key;

	if (count == 0) {
		g_hash_table_remove(admission->accounts, &id);
		return;
	}
	key = g_new(uint64_t, 1);
	*key = id;
	g_hash_table_replace(admission->accounts, key, GUINT_TO_POINTER(count));
}
