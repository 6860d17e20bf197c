/**
 * @file placement_helpers.c
 * Choice of the helpers that prefill parts of a prompt, and of those that store
 * a part of its KV.
 */
#include "placement/placement_parts.h"
#include "placement/placement_pause.h"

/* Share of an engine's KV memory that a prompt spread over engines may use. */
#define KV_USABLE_SHARE 0.85
/* Smaller KV reservations aren't worth the extra order to the engine. */
#define RESERVED_TOKENS_MIN UINT64_C(20000)
/* Smaller parts of a long prompt aren't worth the transfer between engines. */
#define LONG_PART_TOKENS_MIN 2500.0
/* Smallest part of a short prompt that is given to a helper. */
#define SHORT_PART_MS_MIN 35.0
/* An engine with more short answers than this doesn't help with long prompts,
 * as all of the answers would pause for the part. */
#define SHORT_ANSWERS_MAX 6u
/* Helping slots missing free, because the load of other hosts is known late. */
#define HELPING_SLOTS_SPARE 2u

static void choose_by_part(const struct placement_context *context,
    const GArray *candidates, double part_ms, struct placement_choice *choice);
static bool bear_their_parts(const struct placement_context *context,
    const struct placement_choice *choice);
static uint32_t list_helpers(const struct placement_context *context,
    const GArray *candidates, const struct placement_upstream *leader,
    double part_ms, const struct placement_candidate **helpers);
static uint32_t helpers_max(const struct placement_context *context);
static double helper_cost_ms(const struct placement_context *context,
    const struct placement_candidate *candidate, double part_ms);
static bool may_help(const struct placement_context *context,
    const struct placement_candidate *candidate);
static uint64_t free_kv_tokens(const struct placement_context *context,
    const struct placement_upstream *upstream);
static uint32_t find_most_free(const struct placement_context *context,
    const struct placement_choice *choice, uint64_t *most);
static void swap_helpers(
    struct placement_choice *choice, uint32_t first, uint32_t second);
static bool is_ejected_anywhere(const struct placement_context *context,
    const struct placement_upstream *upstream);
static bool has_helping_limit(const struct placement_upstream *upstream);

/* With fewer helpers than assumed the parts are larger, and some of the helpers
 * may not bear that. They are then chosen again for the larger part, which ends
 * as the parts only grow. */
void
placement_choose_helpers(const struct placement_context *context,
    const GArray *candidates, struct placement_choice *choice)
{
	double part_ms, last_part_ms;

	if (helpers_max(context) == 0)
		return;
	part_ms = placement_smallest_part_ms(context);
	do {
		choose_by_part(context, candidates, part_ms, choice);
		last_part_ms = part_ms;
		part_ms = choice->prefill_ms / (choice->helper_count + 1);
	} while (part_ms > last_part_ms && !bear_their_parts(context, choice));
}

double
placement_smallest_part_ms(const struct placement_context *context)
{
	return context->prefill_ms / (helpers_max(context) + 1);
}

bool
placement_bears_part(const struct placement_context *context,
    const struct placement_upstream *upstream, double part_ms)
{
	const struct route_service *service = context->request->service;
	uint32_t long_running, leading;
	struct pause_answers answers = {
	    .short_count = placement_count_short(upstream),
	    .short_limit_ms = (double)service->shortest_pause_ms,
	    .long_limit_ms = placement_pause_limit_ms(context->request->route),
	    .backlog_ms = placement_backlog_ms(upstream, context->now_ms),
	    .kv_tokens =
		(double)(upstream->own.kv_tokens + upstream->others.kv_tokens),
	};

	if (!context->is_pause_guarded)
		return true;
	long_running =
	    upstream->own.long_running + upstream->others.long_running;
	leading = upstream->own.leading + upstream->others.leading;
	answers.long_count = long_running - MIN(leading, long_running);
	return part_ms <= pause_part_max_ms(&service->engine, &answers);
}

/* A prompt is split into equal parts, and its prefill ends with the slowest
 * part. Helpers that bear a part of this size are added in order of their
 * backlog as long as the smaller parts save more time than the backlog of the
 * helper costs. */
static void
choose_by_part(const struct placement_context *context,
    const GArray *candidates, double part_ms, struct placement_choice *choice)
{
	const struct placement_candidate *helpers[PLACEMENT_HELPERS_MAX] = {0};
	double wait_ms, best_ms, end_ms;
	uint32_t count, count_max, i;

	count_max = helpers_max(context);
	count = list_helpers(
	    context, candidates, choice->upstream, part_ms, helpers);
	choice->helper_count = 0;
	best_ms = choice->wait_ms + choice->prefill_ms;
	for (i = 0; i < count && i < count_max; i++) {
		wait_ms = MAX(choice->wait_ms,
		    helper_cost_ms(context, helpers[i], part_ms));
		end_ms = wait_ms + choice->prefill_ms / (i + 2);
		if (end_ms >= best_ms)
			continue;
		best_ms = end_ms;
		choice->helper_count = i + 1;
	}
	for (i = 0; i < choice->helper_count && helpers[i] != NULL; i++) {
		choice->helpers[i] = helpers[i]->upstream->id;
		choice->helper_addresses[i] = helpers[i]->upstream->address;
	}
}

/* Whether the answers on all helpers bear the parts of the choice. */
static bool
bear_their_parts(const struct placement_context *context,
    const struct placement_choice *choice)
{
	const struct placement_upstream *helper;
	double part_ms;
	uint32_t i;

	part_ms = choice->prefill_ms / (choice->helper_count + 1);
	for (i = 0; i < choice->helper_count; i++) {
		helper = g_hash_table_lookup(
		    context->placement->upstreams, &choice->helpers[i]);
		if (helper != NULL &&
		    !placement_bears_part(context, helper, part_ms))
			return false;
	}
	return true;
}

/* For prompts that exceed one engine's memory: the helpers with the most free
 * memory store the KV that the leader has no memory for. They are moved to the
 * front, because reservations are filled in that order. */
bool
placement_choose_reservations(
    const struct placement_context *context, struct placement_choice *choice)
{
	uint64_t missing, free_tokens;
	uint32_t at;

	free_tokens = free_kv_tokens(context, choice->upstream);
	missing = choice->kv_tokens - MIN(choice->kv_tokens, free_tokens);
	while (missing > 0 &&
	       choice->reservation_count < PLACEMENT_RESERVATIONS_MAX) {
		at = find_most_free(context, choice, &free_tokens);
		if (free_tokens < RESERVED_TOKENS_MIN)
			break;
		swap_helpers(choice, at, choice->reservation_count);
		free_tokens =
		    MIN(free_tokens, MAX(missing, RESERVED_TOKENS_MIN));
		choice->reserved_tokens[choice->reservation_count++] =
		    free_tokens;
		choice->kv_tokens -= MIN(choice->kv_tokens, free_tokens);
		missing -= MIN(missing, free_tokens);
	}
	return missing == 0;
}

uint64_t
placement_gathered_tokens_max(const struct placement_context *context)
{
	double usable;

	usable = (double)context->request->service->engine.kv_tokens *
		 KV_USABLE_SHARE;
	return (uint64_t)(usable * (PLACEMENT_RESERVATIONS_MAX + 1));
}

/* Returns the index of the helper without a reservation that has the most free
 * memory, and how much; 0 tokens if no such helper is left. */
static uint32_t
find_most_free(const struct placement_context *context,
    const struct placement_choice *choice, uint64_t *most)
{
	const struct placement_upstream *helper;
	uint64_t free_tokens;
	uint32_t at, i;

	*most = 0;
	at = choice->reservation_count;
	for (i = choice->reservation_count; i < choice->helper_count; i++) {
		helper = g_hash_table_lookup(
		    context->placement->upstreams, &choice->helpers[i]);
		free_tokens = free_kv_tokens(context, helper);
		if (free_tokens <= *most)
			continue;
		*most = free_tokens;
		at = i;
	}
	return at;
}

/* Short prompts get helpers too, for loads in which a few short prompts are ten
 * times as long as most (guest chats of 24,000 tokens among ones of 2,000). On
 * a single engine the prefill of such a prompt stops the eight answers beside
 * it for 200 ms; in small parts on several engines it stops none for long. */
static uint32_t
helpers_max(const struct placement_context *context)
{
	double count_max;

	if (context->is_long)
		count_max =
		    context->request->prompt_tokens / LONG_PART_TOKENS_MIN;
	else if (context->prefill_ms >= 2 * SHORT_PART_MS_MIN)
		count_max = context->prefill_ms / SHORT_PART_MS_MIN;
	else
		count_max = 0;
	return MIN((uint32_t)count_max, PLACEMENT_HELPERS_MAX);
}

/* Fills the array with possible helpers, lowest backlog first, and returns the
 * number of helpers found. */
static uint32_t
list_helpers(const struct placement_context *context, const GArray *candidates,
    const struct placement_upstream *leader, double part_ms,
    const struct placement_candidate **helpers)
{
	const struct placement_candidate *candidate;
	uint32_t count, at;
	guint i;

	count = 0;
	for (i = 0; i < candidates->len; i++) {
		candidate =
		    &g_array_index(candidates, struct placement_candidate, i);
		if (candidate->upstream == leader ||
		    !may_help(context, candidate) ||
		    !placement_bears_part(
			context, candidate->upstream, part_ms))
			continue;
		for (at = count; at > 0; at--) {
			if (helper_cost_ms(context, helpers[at - 1], part_ms) <=
			    helper_cost_ms(context, candidate, part_ms))
				break;
			if (at < PLACEMENT_HELPERS_MAX)
				helpers[at] = helpers[at - 1];
		}
		if (at < PLACEMENT_HELPERS_MAX)
			helpers[at] = candidate;
		count = MIN(count + 1, PLACEMENT_HELPERS_MAX);
	}
	return count;
}

/* Time that a helper costs beyond its part: its backlog, and the way to another
 * data centre. */
static double
helper_cost_ms(const struct placement_context *context,
    const struct placement_candidate *candidate, double part_ms)
{
	return candidate->backlog_ms + placement_helper_border_ms(context,
					   candidate->upstream, part_ms);
}

/* Any engine may help with a short prompt, as its parts are small. Parts of a
 * long prompt would stop short answers, so engines for short prompts and those
 * with many short answers don't help with it. */
static bool
may_help(const struct placement_context *context,
    const struct placement_candidate *candidate)
{
	const struct placement_upstream *upstream = candidate->upstream;

	if (context->is_long &&
	    (candidate->takes_short ||
		placement_count_short(upstream) > SHORT_ANSWERS_MAX))
		return false;
	return upstream->own.leading + upstream->others.leading == 0 &&
	       !is_ejected_anywhere(context, upstream) &&
	       !has_helping_limit(upstream);
}

/* KV tokens that may still be reserved at the upstream. */
static uint64_t
free_kv_tokens(const struct placement_context *context,
    const struct placement_upstream *upstream)
{
	uint64_t usable, used;

	usable =
	    (uint64_t)((double)context->request->service->engine.kv_tokens *
		       KV_USABLE_SHARE);
	used = upstream->own.kv_tokens + upstream->others.kv_tokens;
	return usable - MIN(usable, used);
}

static void
swap_helpers(struct placement_choice *choice, uint32_t first, uint32_t second)
{
	uint64_t id, address;

	id = choice->helpers[first];
	address = choice->helper_addresses[first];
	choice->helpers[first] = choice->helpers[second];
	choice->helper_addresses[first] = choice->helper_addresses[second];
	choice->helpers[second] = id;
	choice->helper_addresses[second] = address;
}

/* One lost helper fails the whole prompt, so an upstream that any host has
 * ejected isn't used as a helper. */
static bool
is_ejected_anywhere(const struct placement_context *context,
    const struct placement_upstream *upstream)
{
	return upstream->ejected_until_ms > context->now_ms ||
	       upstream->others.ejected_until_ms > context->now_ms;
}

/* An engine helps with as many prompts at a time as it has slots and refuses
 * any more. */
static bool
has_helping_limit(const struct placement_upstream *upstream)
{
	return upstream->own.helping + upstream->others.helping +
		   HELPING_SLOTS_SPARE >=
	       upstream->slots;
}
