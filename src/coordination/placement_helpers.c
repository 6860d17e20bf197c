#include "coordination/placement_parts.h"

#define ROOM_PART	  0.85 /* Of an engine's memory that is given away. */
#define HELD_TOKENS_MIN	  UINT64_C(20000) /* Less is not worth an order. */
#define TOKENS_PER_PART	  2500.0	  /* A part should be worth its hop. */
#define SHORT_PART_MS	  35.0 /* Of a short prompt that others help with. */
#define SHORT_WRITERS_MAX 6u   /* More would all pause for a part. */
#define HELPING_SPARED	  2u   /* News of other hosts comes late. */

static uint32_t list_helpers(const struct placement_gathering *gathering,
    const GArray *candidates, const struct placement_upstream *reader,
    const struct placement_candidate **helpers);
static uint32_t count_helpers_most(const struct placement_gathering *gathering);
static bool may_help(const struct placement_gathering *gathering,
    const struct placement_candidate *candidate);
static uint64_t room_at(const struct placement_gathering *gathering,
    const struct placement_upstream *upstream);
static void swap_helpers(
    struct placement_choice *choice, uint32_t first, uint32_t second);
static bool is_away(const struct placement_gathering *gathering,
    const struct placement_upstream *upstream);
static bool is_helping_enough(const struct placement_upstream *upstream);

/* A long prompt is read in even parts and is read when the last part is:
 * helpers are taken, those with least to do first, as long as each brings the
 * end nearer than its own queue moves it away. */
void
placement_choose_helpers(const struct placement_gathering *gathering,
    const GArray *candidates, struct placement_choice *choice)
{
	const struct placement_candidate *helpers[PLACEMENT_HELPERS_MAX] = {0};
	double wait_ms, best_ms, end_ms;
	uint32_t count, most, i;

	most = count_helpers_most(gathering);
	if (most == 0)
		return;
	count = list_helpers(gathering, candidates, choice->upstream, helpers);
	best_ms = choice->wait_ms + choice->whole_read_ms;
	for (i = 0; i < count && i < most; i++) {
		wait_ms = MAX(choice->wait_ms, helpers[i]->backlog_ms);
		end_ms = wait_ms + choice->whole_read_ms / (i + 2);
		if (end_ms >= best_ms)
			continue;
		best_ms = end_ms;
		choice->helper_count = i + 1;
	}
	for (i = 0; i < choice->helper_count && helpers[i] != NULL; i++) {
		choice->helpers[i] = helpers[i]->upstream->id;
		choice->helper_places[i] = helpers[i]->upstream->place;
	}
}

/* Load answered: prompts over one engine's memory. Helpers with room keep what
 * the leading engine has no room for; they come first among the helpers, as
 * what is reserved is filled in turn. */
bool
placement_choose_holders(const struct placement_gathering *gathering,
    struct placement_choice *choice)
{
	uint64_t left, room;
	uint32_t i;

	room = room_at(gathering, choice->upstream);
	left = choice->kv_tokens - MIN(choice->kv_tokens, room);
	for (i = 0; i < choice->helper_count && left > 0 &&
		    choice->holder_count < PLACEMENT_HOLDERS_MAX;
	     i++) {
		room = room_at(gathering,
		    g_hash_table_lookup(
			gathering->placement->upstreams, &choice->helpers[i]));
		if (room < HELD_TOKENS_MIN)
			continue;
		swap_helpers(choice, i, choice->holder_count);
		room = MIN(room, MAX(left, HELD_TOKENS_MIN));
		choice->held_tokens[choice->holder_count++] = room;
		choice->kv_tokens -= MIN(choice->kv_tokens, room);
		left -= MIN(left, room);
	}
	return left == 0;
}

/* Load answered: many short prompts, a few of them ten times as long as most
 * (guest chats of 24,000 tokens among ones of 2,000). Read by one engine, such
 * a prompt stops the eight answers beside it for 200 ms; in small parts on
 * several it stops none of them for long. */
static uint32_t
count_helpers_most(const struct placement_gathering *gathering)
{
	double most;

	if (gathering->is_heavy)
		most = gathering->request->prompt_tokens / TOKENS_PER_PART;
	else if (gathering->whole_read_ms >= 2 * SHORT_PART_MS)
		most = gathering->whole_read_ms / SHORT_PART_MS;
	else
		most = 0;
	return MIN((uint32_t)most, PLACEMENT_HELPERS_MAX);
}

/* The least busy first. */
static uint32_t
list_helpers(const struct placement_gathering *gathering,
    const GArray *candidates, const struct placement_upstream *reader,
    const struct placement_candidate **helpers)
{
	const struct placement_candidate *candidate;
	uint32_t count, at;
	guint i;

	count = 0;
	for (i = 0; i < candidates->len; i++) {
		candidate =
		    &g_array_index(candidates, struct placement_candidate, i);
		if (candidate->upstream == reader ||
		    !may_help(gathering, candidate))
			continue;
		for (at = count; at > 0; at--) {
			if (helpers[at - 1]->backlog_ms <=
			    candidate->backlog_ms)
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

/* Short answers bear the small parts of short prompts anywhere, those of long
 * ones nowhere. */
static bool
may_help(const struct placement_gathering *gathering,
    const struct placement_candidate *candidate)
{
	const struct placement_upstream *upstream = candidate->upstream;

	if (gathering->is_heavy &&
	    (candidate->is_light ||
		placement_count_short(upstream) > SHORT_WRITERS_MAX))
		return false;
	return upstream->own.leading + upstream->others.leading == 0 &&
	       !is_away(gathering, upstream) && !is_helping_enough(upstream);
}

/* Tokens that may be kept there beside what is known to be. */
static uint64_t
room_at(const struct placement_gathering *gathering,
    const struct placement_upstream *upstream)
{
	uint64_t whole, used;

	whole =
	    (uint64_t)((double)gathering->request->service->engine.kv_tokens *
		       ROOM_PART);
	used = upstream->own.kv_tokens + upstream->others.kv_tokens;
	return whole - MIN(whole, used);
}

static void
swap_helpers(struct placement_choice *choice, uint32_t first, uint32_t second)
{
	uint64_t id, place;

	id = choice->helpers[first];
	place = choice->helper_places[first];
	choice->helpers[first] = choice->helpers[second];
	choice->helper_places[first] = choice->helper_places[second];
	choice->helpers[second] = id;
	choice->helper_places[second] = place;
}

/* One helper that is gone fails the whole prompt, so what any host found is
 * enough to do without it. */
static bool
is_away(const struct placement_gathering *gathering,
    const struct placement_upstream *upstream)
{
	return upstream->ejected_until_ms > gathering->now_ms ||
	       upstream->others.away_until_ms > gathering->now_ms;
}

/* An engine helps as many others as it has slots, and refuses the next. */
static bool
is_helping_enough(const struct placement_upstream *upstream)
{
	return upstream->own.helping + upstream->others.helping +
		   HELPING_SPARED >=
	       upstream->slots;
}
