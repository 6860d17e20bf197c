/**
 * @file bench_capacity.c
 * Measures the cost of capacity grants in virtual time: bytes per second that
 * hosts send for them, how long requests wait for capacity, and the share of
 * warm capacity in use.
 *
 * An oracle that needs no grants, since it sees the load of every upstream at
 * once, gives the figures to compare with. Prints JSON lines.
 *
 * Usage: bench_capacity [COUNT], to run just the first COUNT scenarios.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/event_log.h"
#include "base/random_source.h"
#include "coordination/capacity_exchange.h"

#define SEED		       7
#define UPSTREAMS_PER_HOST_MAX 40 /* Upstreams that one host uses. */
#define LINK_DELAY_MS	       1  /* One-way delay between two hosts. */
#define SERVICE_TIME_MEAN_MS   4000
#define PROMPT_TOKENS_MEAN     4000
#define WARM_REQUESTS	       32
#define WARM_PREFILL_TOKENS    400000
#define KV_TOKENS	       1000000
#define UPSTREAM_TRIES	       4 /* Upstreams tried before a request waits. */
#define WAIT_MS_MAX	       2000 /* Wait after which a request is refused. */
#define SETTLE_MS	       15000 /* Time until the load is steady. */
#define MEASURE_MS	       20000
#define WAIT_SAMPLES_MAX       4000000
#define TIMERS_MAX	       (1u << 22)
#define LEASE_END_NEVER_MS     (INT64_MAX / 2)
#define PERCENT		       100

/* Cluster size, load and policy of one measurement. */
struct scenario {
	uint32_t hosts;
	uint32_t upstreams;
	uint32_t load_percent; /* Offered load against warm capacity. */
	bool is_oracle;	       /* Hosts see free capacity without grants. */
};

struct bench;

/* A request that waits for capacity or runs on an upstream. */
struct bench_request {
	struct bench *bench;
	uint32_t host;
	uint32_t upstream;
	struct capacity_slot *slot;
	struct capacity_amount amount;
	int64_t arrived_ms;
};

struct bench_host {
	struct bench *bench;
	uint32_t index;
	struct capacity_exchange exchange;
	uint32_t upstream_count;
	uint32_t upstream_indexes[UPSTREAMS_PER_HOST_MAX];
	GQueue *waiting; /* Requests without capacity, struct bench_request. */
};

struct bench {
	struct scenario scenario;
	struct timer_service timers;
	struct random_source random;
	struct bench_host *hosts;
	struct upstream_record *upstreams;
	/* Running requests and their prefill tokens, by upstream index. */
	uint32_t *running_requests;
	uint64_t *running_prefill_tokens;
	GHashTable *index_by_id;
	double arrivals_per_ms;
	bool is_measuring;
	uint64_t started, timed_out, waited;
	int64_t *wait_samples_ms;
	uint32_t wait_sample_count;
	double used_share_sum;
	uint64_t used_samples;
	/* Samples over the limit; each upstream counts as its own sample. */
	uint64_t over_limit_samples;
};

/* A message in flight between two hosts. */
struct packet {
	struct bench *bench;
	uint32_t from;
	uint32_t to;
	size_t size;
	unsigned char body[];
};

static void
deliver(void *context)
{
	struct packet *packet = context;

	(void)capacity_exchange_receive(
	    &packet->bench->hosts[packet->to - 1].exchange, packet->from,
	    packet->body, packet->size);
	g_free(packet);
}

static void
send_packet(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	struct bench_host *host = context;
	struct packet *packet;

	(void)channel;
	packet = g_malloc(sizeof(*packet) + size);
	packet->bench = host->bench;
	packet->from = host->index + 1;
	packet->to = host_id;
	packet->size = size;
	memcpy(packet->body, body, size);
	if (timer_subscribe_once(&host->bench->timers, LINK_DELAY_MS,
		(struct timer_callback){deliver, packet}, NULL) != ERROR_NONE)
		g_free(packet);
}

static void
report_demand(struct bench_host *host, uint32_t upstream)
{
	struct capacity_amount waiting = {0}, largest = {0};
	const struct bench_request *request;
	GList *node;

	for (node = host->waiting->head; node != NULL; node = node->next) {
		request = node->data;
		if (request->upstream != upstream)
			continue;
		waiting.requests += request->amount.requests;
		waiting.prefill_tokens += request->amount.prefill_tokens;
		waiting.kv_tokens += request->amount.kv_tokens;
		if (largest.prefill_tokens < request->amount.prefill_tokens)
			largest = request->amount;
	}
	grant_holder_set_demand(&host->exchange.holder,
	    host->bench->upstreams[upstream].id, &waiting, &largest);
}

static void
end_request(void *context)
{
	struct bench_request *request = context;
	struct bench *bench = request->bench;

	bench->running_requests[request->upstream]--;
	bench->running_prefill_tokens[request->upstream] -=
	    request->amount.prefill_tokens;
	if (request->slot != NULL)
		capacity_slot_release(request->slot, &request->amount);
	g_free(request);
}

static bool
start_request(struct bench_request *request, uint32_t upstream)
{
	struct bench *bench = request->bench;
	struct bench_host *host = &bench->hosts[request->host];
	int64_t now_ms, waited_ms;

	now_ms = timer_now(&bench->timers);
	if (bench->scenario.is_oracle) {
		if (bench->running_requests[upstream] >= WARM_REQUESTS ||
		    bench->running_prefill_tokens[upstream] +
			    request->amount.prefill_tokens >
			WARM_PREFILL_TOKENS)
			return false;
	} else {
		request->slot = grant_holder_slot(
		    &host->exchange.holder, bench->upstreams[upstream].id);
		if (capacity_slot_acquire(
			request->slot, &request->amount, now_ms) != ERROR_NONE)
			return false;
	}
	request->upstream = upstream;
	bench->running_requests[upstream]++;
	bench->running_prefill_tokens[upstream] +=
	    request->amount.prefill_tokens;
	waited_ms = now_ms - request->arrived_ms;
	if (bench->is_measuring) {
		bench->started++;
		bench->waited += waited_ms > 0;
		if (bench->wait_sample_count < WAIT_SAMPLES_MAX)
			bench->wait_samples_ms[bench->wait_sample_count++] =
			    waited_ms;
	}
	(void)timer_subscribe_once(&bench->timers,
	    (int64_t)random_exponential(&bench->random, SERVICE_TIME_MEAN_MS) +
		1,
	    (struct timer_callback){end_request, request}, NULL);
	return true;
}

static void
on_granted(void *context, uint64_t upstream_id, struct capacity_slot *slot)
{
	struct bench_host *host = context;
	struct bench_request *request;
	uint32_t upstream;
	bool has_started;
	GList *node, *next;

	(void)slot;
	upstream = GPOINTER_TO_UINT(
	    g_hash_table_lookup(host->bench->index_by_id, &upstream_id));
	has_started = false;
	for (node = host->waiting->head; node != NULL; node = next) {
		next = node->next;
		request = node->data;
		if (request->upstream != upstream ||
		    !start_request(request, upstream))
			continue;
		g_queue_delete_link(host->waiting, node);
		has_started = true;
	}
	if (has_started)
		report_demand(host, upstream);
}

static uint32_t
pick_upstream(struct bench *bench, struct bench_host *host)
{
	uint32_t first, second;

	first = host->upstream_indexes[random_below(
	    &bench->random, host->upstream_count)];
	second = host->upstream_indexes[random_below(
	    &bench->random, host->upstream_count)];
	return bench->running_requests[first] <= bench->running_requests[second]
		   ? first
		   : second;
}

static void
add_request(struct bench *bench)
{
	struct bench_request *request;
	struct bench_host *host;
	uint32_t upstream, i;

	host =
	    &bench->hosts[random_below(&bench->random, bench->scenario.hosts)];
	request = g_new0(struct bench_request, 1);
	request->bench = bench;
	request->host = host->index;
	request->arrived_ms = timer_now(&bench->timers);
	request->amount.requests = 1;
	request->amount.prefill_tokens =
	    100 +
	    (uint64_t)random_exponential(&bench->random, PROMPT_TOKENS_MEAN);
	request->amount.kv_tokens = request->amount.prefill_tokens + 500;
	upstream = 0;
	for (i = 0; i < UPSTREAM_TRIES; i++) {
		upstream = pick_upstream(bench, host);
		if (start_request(request, upstream))
			return;
	}
	request->upstream = upstream;
	g_queue_push_tail(host->waiting, request);
	if (!bench->scenario.is_oracle)
		report_demand(host, upstream);
}

/* Tries again to start a host's waiting requests, and refuses those that have
 * waited for WAIT_MS_MAX. */
static void
retry_waiting_requests(struct bench *bench, struct bench_host *host)
{
	struct bench_request *request;
	uint32_t upstream;
	GList *node, *next;
	int64_t now_ms;

	now_ms = timer_now(&bench->timers);
	for (node = host->waiting->head; node != NULL; node = next) {
		next = node->next;
		request = node->data;
		upstream = request->upstream;
		/* A router would try another upstream as well. */
		if (start_request(request, upstream) ||
		    start_request(request, pick_upstream(bench, host))) {
			g_queue_delete_link(host->waiting, node);
		} else if (now_ms - request->arrived_ms >= WAIT_MS_MAX) {
			g_queue_delete_link(host->waiting, node);
			g_free(request);
			bench->timed_out += bench->is_measuring;
		} else {
			continue;
		}
		if (!bench->scenario.is_oracle)
			report_demand(host, upstream);
	}
}

static void
sample_usage(struct bench *bench)
{
	uint64_t used;
	uint32_t i;

	used = 0;
	for (i = 0; i < bench->scenario.upstreams; i++) {
		used += bench->running_requests[i];
		bench->over_limit_samples +=
		    bench->running_requests[i] > WARM_REQUESTS ||
		    bench->running_prefill_tokens[i] > WARM_PREFILL_TOKENS;
	}
	bench->used_share_sum +=
	    (double)used / ((double)bench->scenario.upstreams * WARM_REQUESTS);
	bench->used_samples++;
}

static void
run_load(struct bench *bench, int64_t duration_ms)
{
	int64_t end_ms;
	double due_arrivals;
	uint32_t arrivals, i;

	end_ms = timer_now(&bench->timers) + duration_ms;
	due_arrivals = 0;
	while (timer_now(&bench->timers) < end_ms) {
		timer_advance(&bench->timers, timer_now(&bench->timers) + 1);
		due_arrivals += bench->arrivals_per_ms;
		arrivals = (uint32_t)due_arrivals;
		due_arrivals -= arrivals;
		for (i = 0; i < arrivals; i++)
			add_request(bench);
		if (timer_now(&bench->timers) % 10 != 0)
			continue;
		for (i = 0; i < bench->scenario.hosts; i++)
			retry_waiting_requests(bench, &bench->hosts[i]);
		if (bench->is_measuring && timer_now(&bench->timers) % 100 == 0)
			sample_usage(bench);
	}
}

static void
init_upstreams(struct bench *bench)
{
	struct upstream_record *record;
	uint32_t i;

	bench->upstreams =
	    g_new0(struct upstream_record, bench->scenario.upstreams);
	bench->running_requests = g_new0(uint32_t, bench->scenario.upstreams);
	bench->running_prefill_tokens =
	    g_new0(uint64_t, bench->scenario.upstreams);
	bench->index_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (i = 0; i < bench->scenario.upstreams; i++) {
		record = &bench->upstreams[i];
		snprintf(record->name, sizeof(record->name), "u%u", i);
		record->id = upstream_id(record->name);
		/* An upstream takes the time of its start, in milliseconds
		 * since 1970, as its incarnation. */
		record->incarnation = UINT64_C(1764796000000) + i;
		record->state = UPSTREAM_STATE_ACTIVE;
		record->limits.cold_requests = WARM_REQUESTS;
		record->limits.warm_requests = WARM_REQUESTS;
		record->limits.cold_prefill_tokens = WARM_PREFILL_TOKENS;
		record->limits.warm_prefill_tokens = WARM_PREFILL_TOKENS;
		record->limits.kv_tokens = KV_TOKENS;
		g_hash_table_insert(
		    bench->index_by_id, &record->id, GUINT_TO_POINTER(i));
	}
}

static void
init_host(struct bench *bench, uint32_t index)
{
	struct bench_host *host = &bench->hosts[index];
	struct grant_holder_settings holder;
	struct grant_owner_settings owner;
	struct grant_holder_ops ops = {on_granted, host};
	struct peer_port port = {send_packet, host};
	uint32_t i;

	host->bench = bench;
	host->index = index;
	host->waiting = g_queue_new();
	owner = grant_owner_default_settings(index + 1);
	holder = grant_holder_default_settings(
	    index + 1, UINT64_C(1764796000000) + index);
	if (capacity_exchange_init(&host->exchange, &owner, &holder, &ops,
		&bench->timers, port) != ERROR_NONE)
		abort();
	grant_owner_set_lease(&host->exchange.owner, LEASE_END_NEVER_MS);
	for (i = 0; i < bench->scenario.upstreams; i++)
		(void)grant_owner_set_upstream(
		    &host->exchange.owner, &bench->upstreams[i], false);
	host->upstream_count =
	    MIN(UPSTREAMS_PER_HOST_MAX, bench->scenario.upstreams);
	for (i = 0; i < host->upstream_count; i++) {
		/* Spreads the hosts evenly, so that about the same number of
		 * them uses each upstream. */
		host->upstream_indexes[i] =
		    (uint32_t)(((uint64_t)index * host->upstream_count + i) %
			       bench->scenario.upstreams);
		(void)grant_holder_open(&host->exchange.holder,
		    bench->upstreams[host->upstream_indexes[i]].id,
		    bench->upstreams[host->upstream_indexes[i]].incarnation,
		    NULL);
	}
}

static void
init_bench(struct bench *bench, const struct scenario *scenario)
{
	uint32_t ids[HOSTS_MAX], i;

	memset(bench, 0, sizeof(*bench));
	bench->scenario = *scenario;
	random_init(&bench->random, SEED);
	timer_init(&bench->timers, TIMERS_MAX, 0);
	bench->wait_samples_ms = g_new(int64_t, WAIT_SAMPLES_MAX);
	init_upstreams(bench);
	bench->hosts = g_new0(struct bench_host, scenario->hosts);
	for (i = 0; i < scenario->hosts; i++) {
		ids[i] = i + 1;
		init_host(bench, i);
	}
	for (i = 0; i < scenario->hosts; i++)
		(void)capacity_exchange_set_hosts(
		    &bench->hosts[i].exchange, 1, ids, scenario->hosts);
	bench->arrivals_per_ms = (double)scenario->upstreams * WARM_REQUESTS /
				 SERVICE_TIME_MEAN_MS * scenario->load_percent /
				 PERCENT;
}

static void
finish_bench(struct bench *bench)
{
	uint32_t i;

	for (i = 0; i < bench->scenario.hosts; i++) {
		capacity_exchange_finish(&bench->hosts[i].exchange);
		g_queue_free_full(bench->hosts[i].waiting, g_free);
	}
	/* Running requests and messages in flight are not freed: their memory
	 * is returned when the process ends. */
	timer_finish(&bench->timers);
	g_hash_table_destroy(bench->index_by_id);
	g_free(bench->hosts);
	g_free(bench->upstreams);
	g_free(bench->running_requests);
	g_free(bench->running_prefill_tokens);
	g_free(bench->wait_samples_ms);
}

static int
compare_waits(const void *left, const void *right)
{
	const int64_t *first = left, *second = right;

	return (*first > *second) - (*first < *second);
}

static void
print_results(struct bench *bench, const uint64_t *bytes_before)
{
	const struct scenario *scenario = &bench->scenario;
	uint64_t bytes, total, max_bytes;
	uint32_t i, first;

	total = 0;
	max_bytes = 0;
	for (i = 0; i < scenario->hosts; i++) {
		bytes = bench->hosts[i].exchange.sent_bytes - bytes_before[i];
		total += bytes;
		max_bytes = MAX(max_bytes, bytes);
	}
	qsort(bench->wait_samples_ms, bench->wait_sample_count, sizeof(int64_t),
	    compare_waits);
	for (first = 0; first < bench->wait_sample_count &&
			bench->wait_samples_ms[first] == 0;
	     first++)
		continue;
	printf("{\"bench\":\"capacity\",\"seed\":%d,\"hosts\":%u,"
	       "\"upstreams\":%u,\"load_percent\":%u,\"policy\":\"%s\","
	       "\"bytes_per_host_s\":%.0f,\"bytes_per_host_s_max\":%.0f,",
	    SEED, scenario->hosts, scenario->upstreams, scenario->load_percent,
	    scenario->is_oracle ? "oracle" : "grants",
	    (double)total / scenario->hosts * 1000 / MEASURE_MS,
	    (double)max_bytes * 1000 / MEASURE_MS);
	printf("\"started\":%" G_GUINT64_FORMAT ",\"lost\":%" G_GUINT64_FORMAT
	       ",\"waited_share\":%.4f,",
	    (guint64)bench->started, (guint64)bench->timed_out,
	    bench->started == 0 ? 0 : (double)bench->waited / bench->started);
	printf("\"wait_ms_p50_of_waiting\":%lld,"
	       "\"wait_ms_p99_of_waiting\":%lld,"
	       "\"used_share\":%.4f,\"over_limit_samples\":%" G_GUINT64_FORMAT
	       "}\n",
	    first == bench->wait_sample_count
		? 0LL
		: (long long)bench
		      ->wait_samples_ms[first +
					(bench->wait_sample_count - first) / 2],
	    first == bench->wait_sample_count
		? 0LL
		: (long long)bench->wait_samples_ms
		      [first + (bench->wait_sample_count - first) * 99 / 100],
	    bench->used_share_sum / (double)bench->used_samples,
	    (guint64)bench->over_limit_samples);
	(void)fflush(stdout);
}

static void
run_scenario(const struct scenario *scenario)
{
	uint64_t bytes_before[HOSTS_MAX];
	struct bench bench;
	uint32_t i;

	init_bench(&bench, scenario);
	run_load(&bench, SETTLE_MS);
	for (i = 0; i < scenario->hosts; i++)
		bytes_before[i] = bench.hosts[i].exchange.sent_bytes;
	bench.is_measuring = true;
	run_load(&bench, MEASURE_MS);
	print_results(&bench, bytes_before);
	finish_bench(&bench);
}

int
main(int argc, char **argv)
{
	/* 350 hosts at 120 % load are left out: that run did not end within
	 * 700 s. */
	static const struct scenario scenarios[] = {
	    {8, 20, 30, false},
	    {8, 20, 70, false},
	    {8, 20, 70, true},
	    {8, 20, 120, false},
	    {8, 20, 120, true},
	    {32, 400, 30, false},
	    {32, 400, 70, false},
	    {32, 400, 70, true},
	    {32, 400, 120, false},
	    {32, 400, 120, true},
	    {350, 4700, 30, false},
	    {350, 4700, 70, false},
	    {350, 4700, 70, true},
	};
	size_t i, count;

	event_log_setup(0, EVENT_LEVEL_WARNING);
	count = sizeof(scenarios) / sizeof(scenarios[0]);
	if (argc > 1)
		count = MIN(count, (size_t)strtoul(argv[1], NULL, 10));
	for (i = 0; i < count; i++)
		run_scenario(&scenarios[i]);
	return 0;
}
