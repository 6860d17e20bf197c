/**
 * @file router.c
 * Scoring and ranking of upstreams for a request.
 */
#include "coordination/router.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

#define SHORT_PROMPT_TOKENS   8192
#define LONG_PROMPT_TOKENS    32768
#define DEMOTED_PROMPT_TOKENS 100000
#define SCORED_MAX	      32
#define CHUNK_TOKENS	      2048
#define SAME_REGION_MS	      1.0
#define OTHER_REGION_MS	      60.0
#define COLD_FACTOR	      3.0
#define BATCH_SLOWDOWN	      0.02
#define LONG_HEADROOM	      1.2
#define END_WEIGHT	      0.05
#define LOAD_HALF_LIFE_MS     3000
/* Speeds assumed for an upstream that doesn't announce any. */
#define PREFILL_TOKENS_PER_S 10000
#define DECODE_US_PER_TOKEN  30000
/* Time after which a prompt counts half in the traffic mix. */
#define MIX_HALF_LIFE_MS 20000
/* Shortest time between two decays of the traffic mix. */
#define MIX_DECAY_INTERVAL_MS 500
#define US_PER_MS	      1000.0
#define MS_PER_S	      1000.0

/** Estimated load of an upstream from all hosts. */
struct occupancy {
	double ahead_tokens; /* Prompt tokens that are prefilled first. */
	double requests;     /* Requests that run there. */
	double kv_tokens;    /* KV memory in use. */
};

/** State of one routing decision. */
struct scoring {
	const struct router_settings *settings;
	const struct fleet_view *view;
	const struct router_query *query;
	struct router_choice *choice;
	struct prefix_hit hits[PREFIX_HITS_MAX];
	uint32_t hit_count;
	bool is_long;	     /* The prompt is long. */
	bool is_short;	     /* The prompt is short. */
	bool takes_suspects; /* Upstreams that failed recently are also used. */
	bool takes_all;	     /* Use any upstream for a long prompt. */
	bool has_matching;   /* Some upstream is allowed and has a slot. */
	bool has_fitting;    /* Some matching upstream has enough KV memory. */
	double wanted_cost;  /* Cost of the best one without capacity. */
};

static void score_groups(struct scoring *scoring);
static void score_group(
    struct scoring *scoring, const struct fleet_group *group, uint32_t quota);
static void score_hits(struct scoring *scoring);
static void score_entry(
    struct scoring *scoring, const struct fleet_entry *entry);
static bool is_group_allowed(
    const struct scoring *scoring, const struct fleet_group *group);
static bool is_excluded(
    const struct scoring *scoring, const struct fleet_entry *entry);
static uint32_t count_long_prompt_upstreams(
    const struct scoring *scoring, const struct fleet_group *group);
static void predict_times(const struct scoring *scoring,
    const struct fleet_entry *entry, struct router_candidate *candidate);
static struct occupancy estimate_occupancy(
    const struct scoring *scoring, const struct fleet_entry *entry);
static double correct_report(
    double own, double reported, double own_then, double weight);
static void subtract_long_prompts(const struct scoring *scoring,
    const struct fleet_entry *entry, struct occupancy *occupancy);
static double find_cached_tokens(
    const struct scoring *scoring, const struct fleet_entry *entry);
static double find_distance_ms(
    const struct router_settings *settings, enum fleet_distance distance);
static bool has_room(const struct capacity_slot *slot,
    const struct capacity_amount *amount, int64_t now_ms);
static void add_candidate(
    struct router_choice *choice, const struct router_candidate *candidate);

void
router_settings_fill(struct router_settings *settings)
{
	if (settings->short_prompt_tokens == 0)
		settings->short_prompt_tokens = SHORT_PROMPT_TOKENS;
	if (settings->long_prompt_tokens == 0)
		settings->long_prompt_tokens = LONG_PROMPT_TOKENS;
	if (settings->demoted_prompt_tokens == 0)
		settings->demoted_prompt_tokens = DEMOTED_PROMPT_TOKENS;
	if (settings->scored_max == 0)
		settings->scored_max = SCORED_MAX;
	if (settings->chunk_tokens == 0)
		settings->chunk_tokens = CHUNK_TOKENS;
	if (settings->same_region_ms == 0)
		settings->same_region_ms = SAME_REGION_MS;
	if (settings->other_region_ms == 0)
		settings->other_region_ms = OTHER_REGION_MS;
	if (settings->cold_factor == 0)
		settings->cold_factor = COLD_FACTOR;
	if (settings->batch_slowdown == 0)
		settings->batch_slowdown = BATCH_SLOWDOWN;
	if (settings->long_headroom == 0)
		settings->long_headroom = LONG_HEADROOM;
	if (settings->end_weight == 0)
		settings->end_weight = END_WEIGHT;
	if (settings->load_half_life_ms == 0)
		settings->load_half_life_ms = LOAD_HALF_LIFE_MS;
}

enum error_code
router_choose(const struct router_settings *settings,
    const struct fleet_view *view, const struct router_query *query,
    struct router_choice *choice)
{
	struct scoring scoring = {0};

	choice->count = 0;
	choice->wanted = NULL;
	choice->wait_ms = HUGE_VAL;
	scoring.settings = settings;
	scoring.view = view;
	scoring.query = query;
	scoring.choice = choice;
	scoring.wanted_cost = HUGE_VAL;
	scoring.is_long =
	    query->facts->prompt_tokens >= settings->long_prompt_tokens;
	scoring.is_short =
	    query->facts->prompt_tokens < settings->short_prompt_tokens;
	if (query->prefixes != NULL)
		scoring.hit_count = prefix_index_find(
		    query->prefixes, query->facts, query->now_ms, scoring.hits);
	score_groups(&scoring);
	/* If nothing fits, suspect upstreams and, for long prompts, those
	 * beyond the share for long prompts are better than none. */
	if (!scoring.has_fitting) {
		scoring.takes_all = true;
		scoring.takes_suspects = true;
		score_groups(&scoring);
	}
	if (choice->count > 0 &&
	    choice->candidates[0].cost_ms <= scoring.wanted_cost)
		choice->wanted = NULL;
	if (choice->count > 0)
		return ERROR_NONE;
	if (scoring.has_fitting)
		return ERROR_NO_CAPACITY;
	return scoring.has_matching ? ERROR_TOO_LARGE : ERROR_NO_UPSTREAM;
}

enum request_priority
router_engine_priority(
    const struct router_settings *settings, const struct request_facts *facts)
{
	if (facts->priority == REQUEST_PRIORITY_LOW)
		return REQUEST_PRIORITY_LOW;
	if (facts->prompt_tokens >= settings->demoted_prompt_tokens)
		return (enum request_priority)(facts->priority - 1);
	if (facts->prompt_tokens < settings->short_prompt_tokens)
		return REQUEST_PRIORITY_HIGH;
	return facts->priority;
}

void
router_mix_record(struct router_mix *mix,
    const struct router_settings *settings, uint64_t prompt_tokens,
    int64_t now_ms)
{
	int64_t decayed_ms;
	double factor;

	atomic_fetch_add(&mix->all_tokens, prompt_tokens);
	if (prompt_tokens >= settings->long_prompt_tokens)
		atomic_fetch_add(&mix->long_tokens, prompt_tokens);
	decayed_ms = atomic_load(&mix->decayed_ms);
	if (now_ms - decayed_ms < MIX_DECAY_INTERVAL_MS)
		return;
	if (!atomic_compare_exchange_strong(
		&mix->decayed_ms, &decayed_ms, now_ms))
		return;
	/* Tokens that other threads add meanwhile may be lost, which is
	 * acceptable because the share is only a hint. */
	factor = exp2(-(double)(now_ms - decayed_ms) / MIX_HALF_LIFE_MS);
	atomic_store(&mix->all_tokens,
	    (uint64_t)((double)atomic_load(&mix->all_tokens) * factor));
	atomic_store(&mix->long_tokens,
	    (uint64_t)((double)atomic_load(&mix->long_tokens) * factor));
}

double
router_mix_share(const struct router_mix *mix)
{
	uint64_t all_tokens, long_tokens;

	all_tokens = atomic_load(&mix->all_tokens);
	long_tokens = atomic_load(&mix->long_tokens);
	if (all_tokens == 0)
		return 0;
	if (long_tokens >= all_tokens)
		return 1;
	return (double)long_tokens / (double)all_tokens;
}

/* Scores half of the permitted number of upstreams in the nearest group and
 * divides the rest among the other groups, so that requests move away from a
 * loaded data centre in time. */
static void
score_groups(struct scoring *scoring)
{
	const struct request_facts *facts = scoring->query->facts;
	const struct fleet_view *view = scoring->view;
	const struct fleet_group *group;
	uint32_t first, index, groups, members, quota;

	first = fleet_view_first_group(view,
	    facts->is_service_call ? UPSTREAM_KIND_SERVICE
				   : UPSTREAM_KIND_MODEL,
	    facts->model);
	groups = 0;
	members = 0;
	for (index = first; index < view->group_count; index++) {
		group = &view->groups[index];
		if (group->kind != view->groups[first].kind ||
		    strcmp(group->model, facts->model) != 0)
			break;
		if (!is_group_allowed(scoring, group))
			continue;
		groups++;
		members += group->subset_count;
	}
	score_hits(scoring);
	quota = scoring->settings->scored_max;
	if (members > quota && groups > 1)
		quota /= 2;
	for (; first < index; first++) {
		group = &view->groups[first];
		if (!is_group_allowed(scoring, group))
			continue;
		score_group(scoring, group, quota);
		if (members > scoring->settings->scored_max && groups > 1)
			quota =
			    scoring->settings->scored_max / (2 * (groups - 1)) +
			    1;
	}
}

/* Scores up to quota upstreams of a group. The first one depends on the request
 * id, so that requests are spread over the group. */
static void
score_group(
    struct scoring *scoring, const struct fleet_group *group, uint32_t quota)
{
	uint32_t i, at, long_count, scored;
	uint64_t start;

	if (group->subset_count == 0)
		return;
	long_count = count_long_prompt_upstreams(scoring, group);
	start = XXH64(&scoring->query->facts->id,
	    sizeof(scoring->query->facts->id), group->upstream_count);
	at = (uint32_t)(start % group->subset_count);
	scored = 0;
	for (i = 0; i < group->subset_count && scored < quota; i++) {
		if (!scoring->is_long || scoring->takes_all ||
		    group->long_prompt_ranks[at] < long_count) {
			score_entry(scoring,
			    &scoring->view->entries[group->subset[at]]);
			scored++;
		}
		at = at + 1 == group->subset_count ? 0 : at + 1;
	}
}

/* Scores the upstreams that have at least half of the prompt cached, wherever
 * they are and whether or not they take long prompts. */
static void
score_hits(struct scoring *scoring)
{
	const struct request_facts *facts = scoring->query->facts;
	const struct fleet_entry *entry;
	uint32_t i;

	for (i = 0; i < scoring->hit_count; i++) {
		if ((double)scoring->hits[i].tokens * scoring->hits[i].trust <
		    (double)facts->prompt_tokens / 2)
			continue;
		entry = fleet_view_find(
		    scoring->view, scoring->hits[i].upstream_id);
		if (entry == NULL || !entry->is_in_subset ||
		    !upstream_serves(&entry->upstream->record, facts->model) ||
		    !intent_policies_admit(scoring->view->intent,
			scoring->query->account, entry->policies))
			continue;
		score_entry(scoring, entry);
	}
}

/* Predicts the cost of an upstream and adds it to the candidates, or remembers
 * it as wanted if it has no free capacity. */
static void
score_entry(struct scoring *scoring, const struct fleet_entry *entry)
{
	struct fleet_upstream *upstream = entry->upstream;
	struct router_candidate candidate;
	uint64_t kv_limit;

	if (entry->slot == NULL || is_excluded(scoring, entry))
		return;
	if (!scoring->takes_suspects &&
	    scoring->query->now_ms < atomic_load(&upstream->ejected_until_ms))
		return;
	scoring->has_matching = true;
	predict_times(scoring, entry, &candidate);
	kv_limit = upstream->record.limits.kv_tokens;
	if (kv_limit != 0 && candidate.amount.kv_tokens > kv_limit)
		return;
	scoring->has_fitting = true;
	if (has_room(entry->slot, &candidate.amount, scoring->query->now_ms)) {
		add_candidate(scoring->choice, &candidate);
		return;
	}
	if (candidate.first_token_ms < scoring->choice->wait_ms)
		scoring->choice->wait_ms = candidate.first_token_ms;
	if (candidate.cost_ms < scoring->wanted_cost) {
		scoring->wanted_cost = candidate.cost_ms;
		scoring->choice->wanted = entry;
		scoring->choice->wanted_amount = candidate.amount;
	}
}

static bool
is_group_allowed(const struct scoring *scoring, const struct fleet_group *group)
{
	return intent_policies_admit(
	    scoring->view->intent, scoring->query->account, group->policies);
}

static bool
is_excluded(const struct scoring *scoring, const struct fleet_entry *entry)
{
	uint32_t i;

	for (i = 0; i < scoring->query->excluded_count; i++) {
		if (scoring->query->excluded[i] == entry->id)
			return true;
	}
	return false;
}

/* Number of upstreams of the group that take long prompts, by their share in
 * the traffic. */
static uint32_t
count_long_prompt_upstreams(
    const struct scoring *scoring, const struct fleet_group *group)
{
	double share;

	share = scoring->query->long_share * scoring->settings->long_headroom;
	if (share >= 1)
		return group->subset_count;
	return (uint32_t)ceil(share * (double)group->subset_count);
}

/* Fills in the predictions for an upstream and the capacity to take there. */
static void
predict_times(const struct scoring *scoring, const struct fleet_entry *entry,
    struct router_candidate *candidate)
{
	const struct router_settings *settings = scoring->settings;
	const struct request_facts *facts = scoring->query->facts;
	const struct upstream_limits *limits = &entry->upstream->record.limits;
	struct occupancy occupancy = estimate_occupancy(scoring, entry);
	double speed, decode_ms, queue, cached, prefill, excess;

	speed = limits->prefill_tokens_per_s;
	if (speed == 0)
		speed = PREFILL_TOKENS_PER_S;
	decode_ms = limits->decode_us_per_token;
	if (decode_ms == 0)
		decode_ms = DECODE_US_PER_TOKEN;
	decode_ms /= US_PER_MS;
	if (!atomic_load(&entry->upstream->is_warm)) {
		speed /= settings->cold_factor;
		decode_ms *= settings->cold_factor;
	}
	queue = occupancy.ahead_tokens;
	cached = find_cached_tokens(scoring, entry);
	prefill = (double)facts->prompt_tokens - cached;
	decode_ms *= 1 + settings->batch_slowdown * occupancy.requests;
	candidate->amount.kv_tokens =
	    facts->prompt_tokens + facts->answer_tokens_max;
	/* KV memory is freed as requests end, at best as fast as prompts are
	 * prefilled, so missing memory counts as prompt tokens ahead. */
	excess = occupancy.kv_tokens + (double)candidate->amount.kv_tokens -
		 (double)limits->kv_tokens;
	if (limits->kv_tokens != 0 && excess > 0)
		queue += excess;
	candidate->entry = entry;
	candidate->ahead_tokens = (uint64_t)queue;
	candidate->cached_tokens = (uint64_t)cached;
	candidate->first_token_ms = (queue + prefill) * MS_PER_S / speed +
				    decode_ms +
				    find_distance_ms(settings, entry->distance);
	candidate->end_ms = candidate->first_token_ms +
			    decode_ms * (double)facts->answer_tokens_max;
	candidate->cost_ms =
	    candidate->first_token_ms +
	    settings->end_weight * decode_ms * (double)facts->answer_tokens_max;
	candidate->long_tokens = scoring->is_short ? 0 : (uint64_t)prefill;
	candidate->amount.requests = 1;
	candidate->amount.prefill_tokens = (uint64_t)prefill;
	/* A prompt larger than the limit on prefill takes all of the limit, so
	 * that it can run on its own. */
	if (limits->warm_prefill_tokens != 0 &&
	    candidate->amount.prefill_tokens > limits->warm_prefill_tokens)
		candidate->amount.prefill_tokens = limits->warm_prefill_tokens;
}

/* Estimates the load of an upstream. This host's own part is known exactly. The
 * last report adds the part of the other hosts, with a weight that decays with
 * the age of the report. */
static struct occupancy
estimate_occupancy(
    const struct scoring *scoring, const struct fleet_entry *entry)
{
	struct fleet_load *load = &entry->upstream->load;
	struct capacity_amount own = capacity_slot_used(entry->slot);
	struct occupancy occupancy;
	double weight;
	int64_t taken_ms;

	taken_ms = atomic_load(&load->measured_ms);
	weight = 0;
	if (taken_ms != 0)
		weight = exp2(-(double)(scoring->query->now_ms - taken_ms) /
			      (double)scoring->settings->load_half_life_ms);
	occupancy.requests =
	    correct_report(own.requests, atomic_load(&load->requests),
		atomic_load(&load->own_requests), weight);
	occupancy.kv_tokens = correct_report((double)own.kv_tokens,
	    (double)atomic_load(&load->kv_tokens),
	    (double)atomic_load(&load->own_kv_tokens), weight);
	/* Prefill of short prompts is over before a report of it arrives, and
	 * a short prompt overtakes long ones. Following the reports would only
	 * send the short prompts of all hosts to the same upstreams. */
	if (scoring->is_short)
		weight = 0;
	occupancy.ahead_tokens = correct_report((double)own.prefill_tokens,
	    (double)atomic_load(&load->prefill_tokens),
	    (double)atomic_load(&load->own_prefill_tokens), weight);
	if (scoring->is_short)
		subtract_long_prompts(scoring, entry, &occupancy);
	return occupancy;
}

/* This host's present value plus the weighted value of the other hosts, which
 * is the reported total without this host's part at that time. */
static double
correct_report(double own, double reported, double own_then, double weight)
{
	double corrected;

	corrected = own + weight * (reported - own_then);
	return corrected > 0 ? corrected : 0;
}

/* A short prompt overtakes long ones because of its priority, and waits only
 * for the chunk that the engine is prefilling. */
static void
subtract_long_prompts(const struct scoring *scoring,
    const struct fleet_entry *entry, struct occupancy *occupancy)
{
	double chunk = scoring->settings->chunk_tokens;
	double long_tokens;

	long_tokens =
	    (double)atomic_load(&entry->upstream->long_prefill_tokens);
	if (long_tokens <= chunk)
		return;
	occupancy->ahead_tokens -= long_tokens;
	if (occupancy->ahead_tokens < 0)
		occupancy->ahead_tokens = 0;
	occupancy->ahead_tokens += chunk;
}

/* Prompt tokens that the upstream probably has cached. */
static double
find_cached_tokens(
    const struct scoring *scoring, const struct fleet_entry *entry)
{
	const struct prefix_hit *hit;
	double cached, most;
	uint32_t i;

	for (i = 0; i < scoring->hit_count; i++) {
		hit = &scoring->hits[i];
		if (hit->upstream_id != entry->id)
			continue;
		cached = (double)hit->tokens * hit->trust;
		most = (double)scoring->query->facts->prompt_tokens;
		return cached < most ? cached : most;
	}
	return 0;
}

static double
find_distance_ms(
    const struct router_settings *settings, enum fleet_distance distance)
{
	switch (distance) {
	case FLEET_SAME_DATA_CENTRE:
		return 0;
	case FLEET_SAME_REGION:
		return settings->same_region_ms;
	case FLEET_OTHER_REGION:
		break;
	}
	return settings->other_region_ms;
}

static bool
has_room(const struct capacity_slot *slot, const struct capacity_amount *amount,
    int64_t now_ms)
{
	struct capacity_amount used = capacity_slot_used(slot);

	return now_ms < atomic_load(&slot->expires_ms) &&
	       used.requests + amount->requests <=
		   atomic_load(&slot->granted_requests) &&
	       used.prefill_tokens + amount->prefill_tokens <=
		   atomic_load(&slot->granted_prefill_tokens) &&
	       used.kv_tokens + amount->kv_tokens <=
		   atomic_load(&slot->granted_kv_tokens);
}

/* Inserts a candidate by its cost unless it is in the list already; the most
 * expensive one drops out of a full list. */
static void
add_candidate(
    struct router_choice *choice, const struct router_candidate *candidate)
{
	uint32_t at, i;

	for (i = 0; i < choice->count; i++) {
		if (choice->candidates[i].entry == candidate->entry)
			return;
	}
	at = choice->count;
	while (
	    at > 0 && candidate->cost_ms < choice->candidates[at - 1].cost_ms)
		at--;
	if (at == ROUTER_CANDIDATES_MAX)
		return;
	if (choice->count < ROUTER_CANDIDATES_MAX)
		choice->count++;
	for (i = choice->count - 1; i > at; i--)
		choice->candidates[i] = choice->candidates[i - 1];
	choice->candidates[at] = *candidate;
}
