/**
 * @file warmup.c
 * Slow start of upstreams, from evidence in answers.
 */
#include "coordination/warmup.h"

#include <string.h>

#include "coordination/capacity_math.h"

#define PERCENT	    100
#define WARMTH_MAX  1000
#define MS_PER_S    1000
#define ANSWERS_MAX 10000 /* Most counted at a time, against overflow. */

static uint64_t raise_bound(uint64_t bound, uint64_t warm, uint32_t percent);
static bool is_near(const struct capacity_amount *used,
    const struct capacity_amount *bound, uint32_t percent);
static uint32_t warmth_of_bound(uint64_t cold, uint64_t warm, uint64_t bound);
static uint64_t bound_at_warmth(uint64_t cold, uint64_t warm, uint32_t warmth);

struct warmup_settings
warmup_default_settings(void)
{
	struct warmup_settings settings = {
	    .answers_per_step = 4,
	    .step_percent = 50,
	    .near_percent = 60,
	    .late_percent = 150,
	    .cold_percent = 400,
	    .allowance_ms = 200,
	    .idle_cold_ms = 600000,
	};

	return settings;
}

void
warmup_start(struct warmup *warmup, const struct upstream_limits *limits,
    uint64_t incarnation, int64_t now_ms)
{
	struct capacity_amount cold, warm;

	/* A late announcement of an earlier process says nothing about this
	 * one. */
	if (incarnation < warmup->incarnation)
		return;
	cold = warmup_cold_limit(limits);
	warm = warmup_warm_limit(limits);
	warmup->limits = *limits;
	if (incarnation > warmup->incarnation) {
		warmup->incarnation = incarnation;
		warmup->bound = cold;
		warmup->answers = 0;
		warmup->active_ms = now_ms;
		return;
	}
	warmup->bound = capacity_max(&warmup->bound, &cold);
	warmup->bound = capacity_min(&warmup->bound, &warm);
}

void
warmup_record_in_time(struct warmup *warmup,
    const struct warmup_settings *settings, uint32_t answers,
    const struct capacity_amount *used, int64_t now_ms)
{
	struct capacity_amount warm;
	unsigned int at;

	if (answers == 0)
		return;
	warmup->active_ms = now_ms;
	if (!is_near(used, &warmup->bound, settings->near_percent))
		return;
	if (answers > ANSWERS_MAX)
		answers = ANSWERS_MAX;
	warmup->answers += answers;
	if (warmup->answers < settings->answers_per_step)
		return;
	/* The bound rises by one step, however many answers arrived at once. */
	warmup->answers = 0;
	warm = warmup_warm_limit(&warmup->limits);
	for (at = 0; at < CAPACITY_DIMENSIONS; at++) {
		capacity_set(&warmup->bound, at,
		    raise_bound(capacity_get(&warmup->bound, at),
			capacity_get(&warm, at), settings->step_percent));
	}
}

bool
warmup_cut(struct warmup *warmup, int64_t now_ms)
{
	struct capacity_amount cold;
	bool is_lower;

	cold = warmup_cold_limit(&warmup->limits);
	is_lower = !capacity_fits(&warmup->bound, &cold);
	warmup->bound = cold;
	warmup->answers = 0;
	warmup->active_ms = now_ms;
	if (is_lower)
		warmup->cuts++;
	return is_lower;
}

bool
warmup_check_idle(struct warmup *warmup, const struct warmup_settings *settings,
    int64_t now_ms)
{
	if (now_ms - warmup->active_ms < settings->idle_cold_ms)
		return false;
	return warmup_cut(warmup, now_ms);
}

enum warmup_class
warmup_classify(const struct upstream_limits *limits,
    const struct warmup_settings *settings, const struct warmup_answer *answer)
{
	uint64_t own_ms, ahead_ms, predicted_ms, taken_ms;

	if (answer->is_refused_as_cold)
		return WARMUP_COLD;
	if (limits->prefill_tokens_per_s == 0)
		return WARMUP_IN_TIME;
	own_ms =
	    answer->prompt_tokens * MS_PER_S / limits->prefill_tokens_per_s;
	ahead_ms =
	    answer->ahead_tokens * MS_PER_S / limits->prefill_tokens_per_s;
	predicted_ms = own_ms + ahead_ms;
	taken_ms =
	    answer->first_token_ms > settings->allowance_ms
		? (uint64_t)(answer->first_token_ms - settings->allowance_ms)
		: 0;
	if (taken_ms * PERCENT <= predicted_ms * settings->late_percent)
		return WARMUP_IN_TIME;
	/* Under high load the delay comes from queueing and doesn't show that
	 * the upstream is cold. */
	if (ahead_ms > own_ms)
		return WARMUP_LATE;
	if (taken_ms * PERCENT > predicted_ms * settings->cold_percent)
		return WARMUP_COLD;
	return WARMUP_LATE;
}

struct capacity_amount
warmup_cold_limit(const struct upstream_limits *limits)
{
	struct capacity_amount warm, cold;

	warm = warmup_warm_limit(limits);
	cold = warm;
	if (limits->cold_requests != 0)
		cold.requests = limits->cold_requests;
	if (limits->cold_prefill_tokens != 0)
		cold.prefill_tokens = limits->cold_prefill_tokens;
	return capacity_min(&cold, &warm);
}

struct capacity_amount
warmup_warm_limit(const struct upstream_limits *limits)
{
	struct capacity_amount warm;

	warm.requests = limits->warm_requests != 0 ? limits->warm_requests
						   : WARMUP_REQUESTS_UNBOUNDED;
	warm.prefill_tokens = limits->warm_prefill_tokens != 0
				  ? limits->warm_prefill_tokens
				  : WARMUP_TOKENS_UNBOUNDED;
	warm.kv_tokens = limits->kv_tokens != 0 ? limits->kv_tokens
						: WARMUP_TOKENS_UNBOUNDED;
	return warm;
}

uint32_t
warmup_warmth(const struct warmup *warmup)
{
	struct capacity_amount cold, warm;
	uint32_t requests, tokens;

	cold = warmup_cold_limit(&warmup->limits);
	warm = warmup_warm_limit(&warmup->limits);
	requests = warmth_of_bound(
	    cold.requests, warm.requests, warmup->bound.requests);
	tokens = warmth_of_bound(cold.prefill_tokens, warm.prefill_tokens,
	    warmup->bound.prefill_tokens);
	return requests < tokens ? requests : tokens;
}

void
warmup_restore(struct warmup *warmup, uint32_t warmth)
{
	struct capacity_amount cold, warm;

	if (warmth > WARMTH_MAX)
		warmth = WARMTH_MAX;
	cold = warmup_cold_limit(&warmup->limits);
	warm = warmup_warm_limit(&warmup->limits);
	warmup->bound.requests =
	    (uint32_t)bound_at_warmth(cold.requests, warm.requests, warmth);
	warmup->bound.prefill_tokens =
	    bound_at_warmth(cold.prefill_tokens, warm.prefill_tokens, warmth);
	warmup->bound.kv_tokens = warm.kv_tokens;
}

/* Raises a bound by a percentage of itself, up to the warm limit. */
static uint64_t
raise_bound(uint64_t bound, uint64_t warm, uint32_t percent)
{
	uint64_t step;

	if (bound >= warm)
		return warm;
	step = bound * percent / PERCENT + 1;
	return step > warm - bound ? warm : bound + step;
}

/* Whether the requests or the prefill in use reach percent of the bound. */
static bool
is_near(const struct capacity_amount *used, const struct capacity_amount *bound,
    uint32_t percent)
{
	return (uint64_t)used->requests * PERCENT >=
		   (uint64_t)bound->requests * percent ||
	       used->prefill_tokens * PERCENT >=
		   bound->prefill_tokens * percent;
}

static uint64_t
bound_at_warmth(uint64_t cold, uint64_t warm, uint32_t warmth)
{
	return cold + (warm - cold) * warmth / WARMTH_MAX;
}

/* The greatest warmth for which bound_at_warmth() doesn't exceed the bound. */
static uint32_t
warmth_of_bound(uint64_t cold, uint64_t warm, uint64_t bound)
{
	uint64_t warmth;

	if (bound >= warm)
		return WARMTH_MAX;
	if (bound <= cold)
		return 0;
	warmth = (bound - cold) * WARMTH_MAX / (warm - cold);
	return (uint32_t)warmth;
}
