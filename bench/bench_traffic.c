/**
 * @file bench_traffic.c
 * Prints the decisions' figures as JSON lines, baselines beside them.
 *
 * bench_traffic [SEEDS]: medians over the seeds with least and greatest.
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

#define SEEDS_DEFAULT  5
#define SEEDS_MAX      50
#define FULL_LOAD      0.8  /* Of engine time, with long prompts. */
#define OVER_LOAD      1.3  /* More than the fleet can do. */
#define LEAVE_LOAD     0.55 /* While a data centre leaves. */
#define CHOICES	       20000
#define CHOICE_CENTRES 7
#define NS_PER_S       1000000000.0

static const char *const policy_names[TRAFFIC_POLICY_COUNT] = {
    "chicorytack", "round_robin", "least_in_flight"};
static const char *const band_names[TRAFFIC_BANDS] = {
    "under_4k", "to_32k", "to_100k", "to_1m"};
static const char *const quantile_names[] = {"p50", "p95", "p99"};

/** A figure's values over the seeds. */
struct figure {
	double values[SEEDS_MAX];
	uint32_t count;
};

static void bench_load(enum traffic_policy policy, uint32_t seeds);
static void bench_leave(enum traffic_policy policy, uint32_t seeds);
static void bench_overload(enum traffic_policy policy, uint32_t seeds);
static double bench_choice(uint32_t upstreams);
static void note(struct figure *figure, double value);
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
	double costs[G_N_ELEMENTS(sizes)] = {0};
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
		bench_load((enum traffic_policy)i, seeds);
		bench_leave((enum traffic_policy)i, seeds);
		bench_overload((enum traffic_policy)i, seeds);
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		costs[i] = bench_choice(sizes[i]);
		printf("{\"figure\":\"routing_decision_ns\",\"upstreams\":%u,"
		       "\"median\":%.0f}\n",
		    sizes[i], costs[i]);
	}
	printf("{\"figure\":\"routing_decision_slope\",\"unit\":\"ns_per_"
	       "upstream\","
	       "\"from\":%u,\"to\":%u,\"median\":%.4f}\n",
	    sizes[1], sizes[2], (costs[2] - costs[1]) / (sizes[2] - sizes[1]));
	return 0;
}

static void
bench_load(enum traffic_policy policy, uint32_t seeds)
{
	struct traffic_settings settings = {policy, 0, FULL_LOAD, false, false};
	struct traffic_result beside, alone;
	struct figure bands[TRAFFIC_BANDS][3] = {0}, slowdown = {0};
	struct figure refused = {0}, in_time = {0}, lost = {0}, cached = {0};
	char name[64];
	uint32_t i, j;

	for (settings.seed = 1; settings.seed <= seeds; settings.seed++) {
		settings.without_long = false;
		traffic_run(&settings, &beside);
		settings.without_long = true;
		traffic_run(&settings, &alone);
		for (i = 0; i < TRAFFIC_BANDS * 3; i++)
			note(&bands[i / 3][i % 3],
			    beside.first_token_ms[i / 3][i % 3]);
		note(&slowdown,
		    beside.first_token_ms[0][1] / alone.first_token_ms[0][1]);
		note(&refused, (double)beside.refused / beside.offered);
		note(&in_time, (double)beside.in_time / beside.admitted);
		note(&lost, beside.lost);
		note(&cached, beside.cached_share);
	}
	for (i = 0; i < TRAFFIC_BANDS; i++) {
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

static void
bench_leave(enum traffic_policy policy, uint32_t seeds)
{
	struct traffic_settings settings = {policy, 0, LEAVE_LOAD, false, true};
	struct traffic_result result;
	struct figure in_time = {0}, refused = {0}, lost = {0}, falls = {0};
	struct figure late = {0}, retries = {0}, failed = {0}, served = {0};

	for (settings.seed = 1; settings.seed <= seeds; settings.seed++) {
		traffic_run(&settings, &result);
		note(&in_time, (double)result.in_time / result.admitted);
		note(&served, (double)result.in_time / result.offered);
		note(&refused, (double)result.refused / result.offered);
		note(&failed, result.failed);
		note(&lost, result.lost);
		note(&falls, result.falls);
		note(&late, result.late_starts);
		note(&retries, result.retries);
	}
	print_figure("centre_leaves_in_time_share", policy, &in_time);
	print_figure("centre_leaves_served_share", policy, &served);
	print_figure("centre_leaves_refused_share", policy, &refused);
	print_figure("centre_leaves_failed", policy, &failed);
	print_figure("centre_leaves_lost", policy, &lost);
	print_figure("centre_leaves_cold_falls", policy, &falls);
	print_figure("centre_leaves_starts_after_5s", policy, &late);
	print_figure("centre_leaves_retries", policy, &retries);
}

/* One account brings half of the requests. */
static void
bench_overload(enum traffic_policy policy, uint32_t seeds)
{
	struct traffic_settings settings = {policy, 0, OVER_LOAD, false, false};
	struct traffic_result result;
	struct figure in_time = {0}, refused = {0}, served = {0}, small = {0};
	struct figure lost = {0}, short_p95 = {0};

	for (settings.seed = 1; settings.seed <= seeds; settings.seed++) {
		traffic_run(&settings, &result);
		note(&in_time, (double)result.in_time / result.admitted);
		note(&refused, (double)result.refused / result.offered);
		note(&served, (double)result.in_time / result.offered);
		note(&small,
		    (double)result.small_in_time / result.small_offered);
		note(&lost, result.lost);
		note(&short_p95, result.first_token_ms[0][1]);
	}
	print_figure("overload_in_time_share", policy, &in_time);
	print_figure("overload_refused_share", policy, &refused);
	print_figure("overload_served_share", policy, &served);
	print_figure("overload_small_accounts_served_share", policy, &small);
	print_figure("overload_lost", policy, &lost);
	print_figure(
	    "overload_first_token_ms_under_4k_p95", policy, &short_p95);
}

/* All upstreams serve one model, the worst case for a choice. */
static double
bench_choice(uint32_t upstreams)
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
		    i % CHOICE_CENTRES);
		record.id = upstream_id(record.name);
		fleet_put_upstream(&fleet, &record);
	}
	fleet_publish(&fleet);
	for (round = 0; round < SEEDS_DEFAULT; round++) {
		clock_gettime(CLOCK_MONOTONIC, &start);
		for (i = 0; i < CHOICES; i++) {
			facts.id = random_uint64(&random);
			facts.prefix_hashes[0] = facts.id;
			view = fleet_lock(&fleet);
			router_choose(&router, view, &query, &choice);
			fleet_unlock(view);
		}
		clock_gettime(CLOCK_MONOTONIC, &end);
		note(&samples, ((double)(end.tv_sec - start.tv_sec) * NS_PER_S +
				   (double)(end.tv_nsec - start.tv_nsec)) /
				   CHOICES);
	}
	fleet_finish(&fleet);
	prefix_index_finish(&prefixes);
	g_free(ops.context);
	qsort(samples.values, samples.count, sizeof(double), compare_doubles);
	return samples.values[samples.count / 2];
}

static void
note(struct figure *figure, double value)
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
	/* The next free one; the last is left as it is. */
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
