/**
 * @file placement_turn.c
 * Decides when a queued long prompt may start.
 */
#include "placement/placement_parts.h"

/* Small long prompts skip the queue while the backlog is below this share of
 * the target for their first token. */
#define BACKLOG_TARGET_SHARE 0.85
/* A long prompt with less prefill than this is small: it delays no other. */
#define SMALL_PREFILL_MS 800.0
/* The next long prompt may start once the backlog has fallen to this. */
#define NEXT_TURN_BACKLOG_MS 80.0
/* Approximate number of engines that prefill one long prompt. */
#define ENGINES_PER_TURN 12u
/* This many engines for long prompts suffice for a prompt of any size. */
#define ENGINES_ENOUGH 6u
/* Share of its longest answer that a prompt's answer is expected to have. */
#define ANSWER_SHARE 0.6
#define TOKENS_PER_K 1000.0
/* With fewer engines, a prompt whose parts take longer than this waits. */
#define LONG_PART_MS 500.0

/* State of the engines that take long prompts. */
struct long_side {
	/* Prefill backlog of the engine with the median backlog, or of the
	 * last engine that a prompt can use if that comes first. */
	double backlog_ms;
	uint32_t prefilling; /* Long prompts in prefill. */
	uint32_t engines;    /* Number of engines for long prompts. */
};

static bool cannot_start_in_time(const struct placement_context *context,
    const struct long_side *side, const struct placement_queue_entry *entry);
static bool is_worth_waiting(const struct placement_context *context,
    const struct long_side *side, const struct placement_queue_entry *entry);
static struct long_side measure_long_side(
    const struct placement_context *context, const GArray *candidates);
static uint32_t prefilling_max(const struct long_side *side);
static uint32_t count_prefilling(
    const struct placement_load *load, int64_t now_ms);
static gint compare_numbers(gconstpointer left, gconstpointer right);

/* For loads in which long prompts bring more work than the engines can do. An
 * engine prefills the part that arrived last first, so parts of several prompts
 * at once would make all of these prompts late. A long prompt is therefore
 * queued until the ones before it are almost prefilled. The queue starts the
 * prompt with the least work first, as that yields the most answers for the
 * work; time spent in the queue compensates for size. */
enum error_code
placement_check_turn(const struct placement_context *context,
    const GArray *candidates, struct placement_queue_entry *entry)
{
	const struct placement_request *request = context->request;
	struct long_side side;

	side = measure_long_side(context, candidates);
	if (side.engines == 0 || request->has_partial_answer)
		return ERROR_NONE;
	if (context->prefill_ms < SMALL_PREFILL_MS &&
	    side.backlog_ms <
		BACKLOG_TARGET_SHARE * (double)request->route->target_ms)
		return ERROR_NONE;
	placement_queue_enter(context, entry, side.engines);
	if (context->now_ms >= entry->latest_start_ms ||
	    cannot_start_in_time(context, &side, entry))
		return ERROR_DEADLINE_UNREACHABLE;
	if (side.backlog_ms > NEXT_TURN_BACKLOG_MS ||
	    side.prefilling > prefilling_max(&side) ||
	    is_worth_waiting(context, &side, entry) ||
	    placement_min_queue_key(context, entry) <
		placement_queue_key(entry, context->now_ms))
		return placement_wait_for(entry, PLACEMENT_WAIT_TURN, 0);
	return ERROR_NONE;
}

/* The time limits change with the number of engines while it is queued. */
void
placement_queue_enter(const struct placement_context *context,
    struct placement_queue_entry *entry, uint32_t engines)
{
	const struct placement_request *request = context->request;
	double prefill_ms;

	if (entry->service == 0) {
		entry->service = context->service;
		entry->prefill_ms = context->prefill_ms;
		entry->arrived_ms = request->arrived_ms;

		g_ptr_array_add(context->placement->queue, entry);
	}
	prefill_ms = entry->prefill_ms / engines;
	entry->target_wait_ms = request->route->target_ms - (int64_t)prefill_ms;
	entry->latest_start_ms = placement_latest_start_ms(context, prefill_ms);
}

int64_t
placement_latest_start_ms(
    const struct placement_context *context, double prefill_ms)
{
	const struct placement_request *request = context->request;
	int64_t latest_ms, patience_ms;

	latest_ms = placement_latest_answer_ms(context);
	patience_ms = route_patience_ms(request->route);
	if (patience_ms != INT64_MAX && !request->has_partial_answer)
		latest_ms = MIN(latest_ms,
		    request->arrived_ms + patience_ms - FIRST_EVENT_PASSES_MS);
	return latest_ms - (int64_t)prefill_ms;
}

/* Each token of the answer takes a step of the engine, which is the longer the
 * longer the prompt. Where that is unknown, the route's target is kept free. */
int64_t
placement_latest_answer_ms(const struct placement_context *context)
{
	const struct placement_request *request = context->request;
	const struct engine_speed *engine = &request->service->engine;
	double step_ms, answer_ms;

	answer_ms = (double)request->route->target_ms;
	if (placement_has_room_for(context, PLACEMENT_QUEUE_LARGE) &&
	    engine->step_ms > 0 && request->answer_tokens > 0) {
		step_ms =
		    engine->step_ms + request->prompt_tokens / TOKENS_PER_K *
					  engine->ms_per_1k_context_tokens;
		answer_ms = MIN(
		    answer_ms, request->answer_tokens * step_ms * ANSWER_SHARE);
	}
	return request->deadline_ms - (int64_t)answer_ms;
}

/* A prompt of half a million tokens takes as much prefill as ten of the largest
 * that fit in one engine, and would make all of those late. It therefore starts
 * only when little else is in prefill or queued. */
bool
placement_is_idle_enough(
    const struct placement_context *context, const GArray *candidates)
{
	struct long_side side;
	uint32_t spare;

	side = measure_long_side(context, candidates);
	/* Long prompts that a large fleet can prefill in addition to this
	 * one. */
	spare = prefilling_max(&side) - 1;
	return side.engines > 0 && side.backlog_ms <= NEXT_TURN_BACKLOG_MS &&
	       side.prefilling <= spare &&
	       context->others_queued_ms <=
		   spare * ENGINES_PER_TURN * NEXT_TURN_BACKLOG_MS;
}

/* A prompt past its target starts after all that are not, and after the smaller
 * ones that are. If these take longer than the prompt can wait, its caller gets
 * the error now rather than at the deadline. */
static bool
cannot_start_in_time(const struct placement_context *context,
    const struct long_side *side, const struct placement_queue_entry *entry)
{
	if (context->now_ms - entry->arrived_ms < entry->target_wait_ms)
		return false;
	return context->now_ms +
		   (int64_t)(context->others_queued_ms / side->engines) >
	       entry->latest_start_ms;
}

/* With few engines a large prompt would be late and block them for long. The
 * queued demand soon gives more engines to long prompts, so it waits for
 * these. */
static bool
is_worth_waiting(const struct placement_context *context,
    const struct long_side *side, const struct placement_queue_entry *entry)
{
	return side->engines < ENGINES_ENOUGH &&
	       entry->prefill_ms / side->engines > LONG_PART_MS &&
	       context->now_ms - entry->arrived_ms < entry->target_wait_ms;
}

/* Measures the load of the engines for long prompts among the candidates. */
static struct long_side
measure_long_side(
    const struct placement_context *context, const GArray *candidates)
{
	const struct placement_candidate *candidate;
	const struct placement_upstream *upstream;
	struct long_side side = {0};
	GArray *backlogs;
	guint i;

	backlogs = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < candidates->len; i++) {
		candidate =
		    &g_array_index(candidates, struct placement_candidate, i);
		upstream = candidate->upstream;
		if (candidate->takes_short)
			continue;
		g_array_append_val(backlogs, candidate->backlog_ms);
		side.prefilling +=
		    count_prefilling(&upstream->own, context->now_ms) +
		    count_prefilling(&upstream->others, context->now_ms);
	}
	side.engines = backlogs->len;
	/* The median rather than the maximum: a single engine that is busy for
	 * long must not hold up the queue, and a large fleet has enough other
	 * engines. */
	g_array_sort(backlogs, compare_numbers);
	if (side.engines > 0)
		side.backlog_ms = g_array_index(backlogs, double,
		    MIN(side.engines / 2, PLACEMENT_HELPERS_MAX));
	g_array_unref(backlogs);
	return side;
}

/* Number of long prompts that may be in prefill before the next one starts. In
 * a fleet of sixty engines one prompt needs only a few of them. */
static uint32_t
prefilling_max(const struct long_side *side)
{
	return MAX(side->engines / ENGINES_PER_TURN, 1u);
}

/* Counts the prompts in prefill. Overdue ones count double: the engines are
 * slower or busier than assumed, and further prompts would only be late. */
static uint32_t
count_prefilling(const struct placement_load *load, int64_t now_ms)
{
	if (load->leading == 0 || now_ms <= load->prefill_due_ms)
		return load->leading;
	return load->leading * 2;
}

static gint
compare_numbers(gconstpointer left, gconstpointer right)
{
	double first = *(const double *)left, second = *(const double *)right;

	return first == second ? 0 : first < second ? -1 : 1;
}
