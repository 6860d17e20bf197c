/**
 * @file bench_traffic.c
 * Measures the decisions on requests (routing, admission, queueing, retries)
 * in the traffic model, beside two simple baseline policies, and the time that
 * one routing decision takes. Prints JSON lines.
 *
 * Usage: bench_traffic [SEEDS]; each figure is the median over that many
 * seeds, with the least and the greatest value.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "base/random_source.h"
#include "coordination/router.h"
#include "traffic_model.h"

#define SEEDS_DEFAULT	    5
#define SEEDS_MAX	    50
#define NORMAL_LOAD	    0.8	 /* Engine time used, with long prompts. */
#define OVERLOAD	    1.3	 /* Load above what the fleet can serve. */
#define CENTRE_LEAVES_LOAD  0.55 /* Load while a data centre is taken out. */
#define DECISIONS_PER_ROUND 20000
#define DECISION_CENTRES    7
#define NS_PER_S	    1000000000.0

static const char *const policy_names[TRAFFIC_POLICY_COUNT] = {
    "chicorytack", "round_robin", "least_in_flight"};
static const char *const band_names[TRAFFIC_BAND_COUNT] = {
    "under_4k", "to_32k", "to_100k", "to_1m"};
static const char *const quantile_names[] = {"p50", "p95", "p99"};

/* The values of one figure, one for each seed or round. */
struct figure {
	double values[SEEDS_MAX];
	uint32_t count;
};

static void measure_normal_load(enum traffic_policy policy, uint32_t seeds);
static void measure_centre_leaves(enum traffic_policy policy, uint32_t seeds);
static void measure_overload(enum traffic_policy policy, uint32_t seeds);
static double measure_decision_ns(uint32_t upstreams);
static void add_value(struct figure *figure, double value);
static void print_figure(
    const char *name, enum traffic_policy policy, struct figure *figure);
static int compare_doubles(const void *left, const void *right);
static struct capacity_slot *open_slot(
    void *context, uint64_t upstream_id, uint64_t incarnation);
static void drop_slot(void *context, uint64_t upstream_id);

int
main(int argc, char **argv)
{
	static const uint32_t sizes[] = {20, 470, 4700};
	double decision_ns[G_N_ELEMENTS(sizes)] = {0};
	uint32_t seeds, i;
	char *end;

	seeds = SEEDS_DEFAULT;
	if (argc > 1) {
		seeds = (uint32_t)strtoul(argv[1], &end, 10);
		if (*end != '\0' || seeds == 0 || seeds > SEEDS_MAX) {
			fprintf(stderr, "usage: bench_traffic [SEEDS]\n");
			return 2;
		}
	}
	for (i = 0; i < TRAFFIC_POLICY_COUNT; i++) {
		measure_normal_load((enum traffic_policy)i, seeds);
		measure_centre_leaves((enum traffic_policy)i, seeds);
		measure_overload((enum traffic_policy)i, seeds);
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		decision_ns[i] = measure_decision_ns(sizes[i]);
		printf("{\"figure\":\"routing_decision_ns\",\"upstreams\":%u,"
		       "\"median\":%.0f}\n",
		    sizes[i], decision_ns[i]);
	}
	printf("{\"figure\":\"routing_decision_slope\",\"unit\":\"ns_per_"
	       "upstream\","
	       "\"from\":%u,\"to\":%u,\"median\":%.4f}\n",
	    sizes[1], sizes[2],
	    (decision_ns[2] - decision_ns[1]) / (sizes[2] - sizes[1]));
	return 0;
}

/* Measures latency and outcomes under normal load. Each seed runs with and
 * without long prompts, which shows how much they delay the short ones. */
static void
measure_normal_load(enum traffic_policy policy, uint32_t seeds)
{
	struct traffic_settings settings = {
	    policy, 0, NORMAL_LOAD, false, false};
	struct traffic_result with_long, without_long;
	struct figure bands[TRAFFIC_BAND_COUNT][3] = {0}, slowdown = {0};
	struct figure refused = {0}, in_time = {0}, lost = {0}, cached = {0};
	char name[64];
	uint32_t i, j;

	for (settings.seed = 1; settings.seed <= seeds; settings.seed++) {
		settings.without_long_prompts = false;
		traffic_run(&settings, &with_long);
		settings.without_long_prompts = true;
		traffic_run(&settings, &without_long);
		for (i = 0; i < TRAFFIC_BAND_COUNT * 3; i++)
			add_value(&bands[i / 3][i % 3],
			    with_long.first_token_ms[i / 3][i % 3]);
		add_value(&slowdown, with_long.first_token_ms[0][1] /
					 without_long.first_token_ms[0][1]);
		add_value(
		    &refused, (double)with_long.refused / with_long.offered);
		add_value(
		    &in_time, (double)with_long.in_time / with_long.admitted);
		add_value(&lost, with_long.lost);
		add_value(&cached, with_long.cached_token_share);
	}
	for (i = 0; i < TRAFFIC_BAND_COUNT; i++) {
		for (j = 0; j < 3; j++) {
			snprintf(name, sizeof(name), "first_token_ms_%s_%s",
			    band_names[i], quantile_names[j]);
			print_figure(name, policy, &bands[i][j]);
		}
	}
	print_figure("short_slowdown_p95", policy, &slowdown);
	print_figure("refused_share", policy, &refused);
	print_figure("in_time_share", policy, &in_time);
	print_figure("lost_requests", policy, &lost);
	print_figure("cached_token_share", policy, &cached);
}

/* Measures outcomes while a data centre is taken out, stops and returns with
 * cold engines. */
static void
measure_centre_leaves(enum traffic_policy policy, uint32_t seeds)
{
	struct traffic_settings settings = {
	    policy, 0, CENTRE_LEAVES_LOAD, false, true};
	struct traffic_result result;
	struct figure in_time = {0}, refused = {0}, lost = {0}, crashes = {0};
	struct figure late_starts = {0}, retries = {0}, failed = {0},
		      served = {0};

	for (settings.seed = 1; settings.seed <= seeds; settings.seed++) {
		traffic_run(&settings, &result);
		add_value(&in_time, (double)result.in_time / result.admitted);
		add_value(&served, (double)result.in_time / result.offered);
		add_value(&refused, (double)result.refused / result.offered);
		add_value(&failed, result.failed);
		add_value(&lost, result.lost);
		add_value(&crashes, result.cold_crashes);
		add_value(&late_starts, result.starts_after_leave);
		add_value(&retries, result.retries);
	}
	print_figure("centre_leaves_in_time_share", policy, &in_time);
	print_figure("centre_leaves_served_share", policy, &served);
	print_figure("centre_leaves_refused_share", policy, &refused);
	print_figure("centre_leaves_failed", policy, &failed);
	print_figure("centre_leaves_lost", policy, &lost);
	print_figure("centre_leaves_cold_falls", policy, &crashes);
	print_figure("centre_leaves_starts_after_5s", policy, &late_starts);
	print_figure("centre_leaves_retries", policy, &retries);
}

/* Measures a load above capacity, more than half of it from one large account,
 * and how well the small accounts are served meanwhile. */
static void
measure_overload(enum traffic_policy policy, uint32_t seeds)
{
	struct traffic_settings settings = {policy, 0, OVERLOAD, false, false};
	struct traffic_result result;
	struct figure in_time = {0}, refused = {0}, served = {0},
		      small_accounts = {0};
	struct figure lost = {0}, short_p95 = {0};

	for (settings.seed = 1; settings.seed <= seeds; settings.seed++) {
		traffic_run(&settings, &result);
		add_value(&in_time, (double)result.in_time / result.admitted);
		add_value(&refused, (double)result.refused / result.offered);
		add_value(&served, (double)result.in_time / result.offered);
		add_value(
		    &small_accounts, (double)result.small_accounts_in_time /
					 result.small_accounts_offered);
		add_value(&lost, result.lost);
		add_value(&short_p95, result.first_token_ms[0][1]);
	}
	print_figure("overload_in_time_share", policy, &in_time);
	print_figure("overload_refused_share", policy, &refused);
	print_figure("overload_served_share", policy, &served);
	print_figure(
	    "overload_small_accounts_served_share", policy, &small_accounts);
	print_figure("overload_lost", policy, &lost);
	print_figure(
	    "overload_first_token_ms_under_4k_p95", policy, &short_p95);
}

/* Median nanoseconds of a routing decision. All upstreams serve the same
 * model, which is the slowest case since all of them are candidates. */
static double
measure_decision_ns(uint32_t upstreams)
{
	struct fleet_settings settings = {.host_id = 1, .data_centre = "dc0"};
	struct fleet_ops ops = {open_slot, drop_slot, NULL};
	struct upstream_record record = {.incarnation = 1,
	    .sequence = 1,
	    .kind = UPSTREAM_KIND_MODEL,
	    .state = UPSTREAM_STATE_ACTIVE,
	    .model_count = 1,
	    .models = {"m"}};
	struct request_facts facts = {.model = "m",
	    .prompt_tokens = 3000,
	    .answer_tokens_max = 100,
	    .prefix_count = PREFIX_HASHES_MAX};
	struct intent_account account = {0};
	struct router_settings router = {0};
	struct router_query query = {
	    .facts = &facts, .account = &account, .now_ms = 1};
	struct router_choice choice;
	struct random_source random;
	struct prefix_index prefixes;
	struct figure samples = {0};
	struct timespec start, end;
	const struct fleet_view *view;
	struct fleet fleet;
	uint32_t i, round;

	random_init(&random, upstreams);
	router_settings_fill(&router);
	prefix_index_init(&prefixes, 65536, 60000);
	query.prefixes = &prefixes;
	ops.context = g_new0(struct capacity_slot, upstreams + 1);
	fleet_init(&fleet, &settings, &ops);
	for (i = 0; i < upstreams; i++) {
		snprintf(record.name, sizeof(record.name), "u%u", i);
		snprintf(record.data_centre, sizeof(record.data_centre), "dc%u",
		    i % DECISION_CENTRES);
		record.id = upstream_id(record.name);
		fleet_put_upstream(&fleet, &record);
	}
	fleet_publish(&fleet);
	for (round = 0; round < SEEDS_DEFAULT; round++) {
		clock_gettime(CLOCK_MONOTONIC, &start);
		for (i = 0; i < DECISIONS_PER_ROUND; i++) {
			facts.id = random_uint64(&random);
			facts.prefix_hashes[0] = facts.id;
			view = fleet_lock(&fleet);
			router_choose(&router, view, &query, &choice);
			fleet_unlock(view);
		}
		clock_gettime(CLOCK_MONOTONIC, &end);
		add_value(
		    &samples, ((double)(end.tv_sec - start.tv_sec) * NS_PER_S +
				  (double)(end.tv_nsec - start.tv_nsec)) /
				  DECISIONS_PER_ROUND);
	}
	fleet_finish(&fleet);
	prefix_index_finish(&prefixes);
	g_free(ops.context);
	qsort(samples.values, samples.count, sizeof(double), compare_doubles);
	return samples.values[samples.count / 2];
}

static void
add_value(struct figure *figure, double value)
{
	if (figure->count < SEEDS_MAX)
		figure->values[figure->count++] = value;
}

static void
print_figure(
    const char *name, enum traffic_policy policy, struct figure *figure)
{
	qsort(figure->values, figure->count, sizeof(double), compare_doubles);
	printf("{\"figure\":\"%s\",\"policy\":\"%s\",\"seeds\":%u,"
	       "\"median\":%.4g,\"least\":%.4g,\"greatest\":%.4g}\n",
	    name, policy_names[policy], figure->count,
	    figure->values[figure->count / 2], figure->values[0],
	    figure->values[figure->count - 1]);
	fflush(stdout);
}

static int
compare_doubles(const void *left, const void *right)
{
	const double *first = left, *second = right;

	if (*first == *second)
		return 0;
	return *first < *second ? -1 : 1;
}

static struct capacity_slot *
open_slot(void *context, uint64_t upstream_id, uint64_t incarnation)
{
	static const struct capacity_amount grant = {
	    100, UINT64_C(1) << 40, UINT64_C(1) << 40};
	struct capacity_slot *slot = context;

	(void)upstream_id;
	(void)incarnation;
	/* Returns the first slot without a grant. The array has one slot more
	 * than there are upstreams, which ends the search. */
	while (atomic_load(&slot->granted_requests) != 0)
		slot++;
	capacity_slot_grant(slot, &grant, INT64_MAX);
	return slot;
}

static void
drop_slot(void *context, uint64_t upstream_id)
{
	(void)context;
	(void)upstream_id;
}
