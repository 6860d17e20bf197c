/**
 * @file bench_hosts.c
 * Control traffic, processor time and time to force of hosts acting together,
 * in virtual time; JSON lines.
 *
 * All hosts run membership, upstream directory and configuration feed over
 * links of 1 ms. Agreement is a stand-in that commits at once and costs
 * nothing, so its traffic and its commit time are not in the figures. Bytes
 * count frames with header and MAC, without those of TCP and IP.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "base/random_source.h"
#include "coordination/config_feed.h"
#include "coordination/membership.h"
#include "coordination/rendezvous.h"
#include "coordination/upstream_directory.h"
#include "protocol/frame.h"

#define SEED		 7
#define DELAY_MS	 1	/* One way between two hosts. */
#define SETTLE_MS	 120000 /* Before anything is measured. */
#define MEASURE_MS	 60000	/* Time over which traffic is counted. */
#define STEP_MS		 10	/* Between passes of the hosts' loops. */
#define ROUND_MS	 100	/* Heartbeats that confirm the leader. */
#define RENEW_MS	 5000	/* Upstreams renew. */
#define LOAD_MS		 2000	/* Upstreams report their load. */
#define DAY_MS		 86400000
#define ORDERS		 200   /* Orders timed with all hosts well. */
#define CUT_ORDERS	 20    /* Orders timed just after a cut. */
#define RESTARTS	 100   /* Of upstreams, timed until all know. */
#define IN_FORCE_MAX_MS	 30000 /* An order's time is given up then. */
#define ENTRY_SIZE	 150   /* Bytes of a configuration entry. */
#define FEW_HOSTS	 100   /* Up to these: 3 voters, short lease. */
#define TIMERS_OF_A_HOST 16
#define MESSAGES_MAX	 (1u << 22)

struct bench;

/* A host and what it sent and got. */
struct node {
	struct bench *bench;
	uint32_t id;
	bool is_cut;
	struct membership membership;
	struct upstream_directory directory;
	struct config_feed feed;
	uint64_t applied;
	uint64_t bytes_out[PEER_CHANNEL_COUNT], bytes_in, frames_out;
};

/* All of them; host 1 leads. */
struct bench {
	struct timer_service timers;
	struct random_source random;
	uint32_t host_count, upstream_count, voter_count;
	struct node *nodes;
	uint64_t *incarnations; /* Of upstreams. */
	int64_t round_ms, confirmed_ms;
};

/* A message under way. */
struct delivery {
	struct bench *bench;
	uint32_t from, to;
	enum peer_channel channel;
	size_t size;
	unsigned char body[];
};

/* What a run gave. */
struct result {
	double bytes_out, bytes_out_most, bytes_both_most, frames_out;
	double bytes_of[PEER_CHANNEL_COUNT];
	double cpu_us;
};

static void
deliver(void *context)
{
	struct delivery *delivery = context;
	struct node *node = &delivery->bench->nodes[delivery->to - 1];

	if (node->is_cut || delivery->bench->nodes[delivery->from - 1].is_cut)
		goto out;
	node->bytes_in += frame_size(delivery->size);
	switch (delivery->channel) {
	case PEER_CHANNEL_MEMBERSHIP:
		(void)membership_receive(&node->membership, delivery->from,
		    delivery->body, delivery->size);
		break;
	case PEER_CHANNEL_LOAD:
		(void)upstream_directory_receive(&node->directory,
		    delivery->from, delivery->body, delivery->size);
		break;
	default:
		(void)config_feed_receive(&node->feed, delivery->from,
		    delivery->body, delivery->size);
		break;
	}
out:
	free(delivery);
}

static void
send_frame(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	struct node *node = context;
	struct delivery *delivery;

	node->bytes_out[channel] += frame_size(size);
	node->frames_out++;
	delivery = malloc(sizeof(*delivery) + size);
	if (delivery == NULL)
		abort();
	delivery->bench = node->bench;
	delivery->from = node->id;
	delivery->to = host_id;
	delivery->channel = channel;
	delivery->size = size;
	memcpy(delivery->body, body, size);
	if (timer_subscribe_once(&node->bench->timers, DELAY_MS,
		(struct timer_callback){deliver, delivery}, NULL) != ERROR_NONE)
		abort();
	/* The timer has it now. */
	/* cppcheck-suppress memleak */
}

/* Membership */

static void
dial_seed(void *context, const char *ip, uint16_t port)
{
	struct node *node = context;

	(void)ip;
	if (!node->is_cut && port <= node->bench->host_count)
		membership_on_connected(&node->membership, port);
}

static void
add_host(void *context, uint32_t host_id, const char *ip, uint16_t port)
{
	(void)context;
	(void)host_id;
	(void)ip;
	(void)port;
}

static void
note_joined(void *context, const struct host_record *host)
{
	struct node *node = context;

	upstream_directory_sync_with(&node->directory, host->id);
}

static enum error_code
receive_other(void *context, uint32_t from_host, const void *body, size_t size)
{
	struct node *node = context;

	return upstream_directory_receive(
	    &node->directory, from_host, body, size);
}

/* Directory */

static bool
is_live(void *context, uint32_t host_id, uint64_t incarnation)
{
	struct node *node = context;

	return membership_is_live(&node->membership, host_id, incarnation);
}

static uint32_t
list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	struct node *node = context;

	return membership_list_live(&node->membership, host_ids, max);
}

static uint32_t
capacity_owner(void *context, uint64_t upstream_id)
{
	uint32_t host_ids[HOSTS_MAX], count;
	struct node *node = context;

	count =
	    membership_list_live(&node->membership, host_ids, HOSTS_MAX - 1);
	host_ids[count++] = node->id;
	return rendezvous_pick(upstream_id, host_ids, count);
}

/* Agreement's stand-in */

static bool
is_leader(void *context)
{
	return ((struct node *)context)->id == 1;
}

static uint64_t
term(void *context)
{
	(void)context;
	return 1;
}

static uint32_t
leader_id(void *context)
{
	(void)context;
	return 1;
}

static uint32_t
voters(void *context, uint32_t *host_ids, uint32_t max)
{
	struct node *node = context;
	uint32_t i;

	for (i = 0; i < node->bench->voter_count && i < max; i++)
		host_ids[i] = i + 1;
	return i;
}

static int64_t
confirmed_ms(void *context)
{
	return ((struct node *)context)->bench->confirmed_ms;
}

static uint64_t
applied_index(void *context)
{
	return ((struct node *)context)->applied;
}

static enum error_code
read_entries(
    void *context, uint64_t from, size_t max, GByteArray *bytes, uint64_t *last)
{
	struct node *node = context;

	*last = from - 1;
	do {
		g_byte_array_set_size(bytes, bytes->len + ENTRY_SIZE);
		(*last)++;
	} while (*last < node->applied && bytes->len < max);
	memset(bytes->data, 0, bytes->len);
	return ERROR_NONE;
}

static enum error_code
read_snapshot(void *context, GByteArray *bytes, uint64_t *index)
{
	(void)context;
	(void)bytes;
	(void)index;
	return ERROR_NOT_SUPPORTED;
}

static enum error_code
apply_entries(
    void *context, uint64_t from, uint64_t last, const void *bytes, size_t size)
{
	struct node *node = context;

	(void)from;
	(void)bytes;
	(void)size;
	node->applied = last;
	return ERROR_NONE;
}

static enum error_code
install_snapshot(void *context, uint64_t index, const void *bytes, size_t size)
{
	(void)bytes;
	(void)size;
	((struct node *)context)->applied = index;
	return ERROR_NONE;
}

/* Running */

static void
start_node(struct bench *bench, struct node *node)
{
	const struct peer_port port = {send_frame, node};
	struct membership_settings member = {.seed_count = 2};
	struct upstream_directory_settings directory = {
	    .host_id = node->id, .incarnation = 1};
	struct config_feed_settings feed = {
	    .host_id = node->id, .incarnation = 1};
	struct config_feed_source source = {is_leader, term, leader_id, voters,
	    confirmed_ms, applied_index, read_entries, read_snapshot, node};
	struct config_feed_sink sink = {apply_entries, install_snapshot, node};
	uint32_t i;

	if (bench->host_count > FEW_HOSTS) {
		feed.lease_ms = 5000;
		feed.renewal_interval_ms = 1000;
	}
	if (node->id <= bench->voter_count)
		memset(&sink, 0, sizeof(sink));
	member.self.id = node->id;
	member.self.port = (uint16_t)node->id;
	member.self.incarnation = 1;
	snprintf(member.self.ip, HOST_IP_SIZE_MAX, "10.101.102.103");
	snprintf(member.self.http_ip, HOST_IP_SIZE_MAX, "10.101.102.103");
	snprintf(member.self.data_centre, NAME_SIZE_MAX, "saskatoon");
	for (i = 0; i < member.seed_count; i++) {
		member.seeds[i].port = (uint16_t)(i + 1);
		snprintf(
		    member.seeds[i].ip, HOST_IP_SIZE_MAX, "10.101.102.103");
	}
	if (upstream_directory_init(&node->directory, &directory,
		&bench->timers, SEED + node->id, port,
		(struct upstream_directory_ops){.is_live = is_live,
		    .list_hosts = list_hosts,
		    .capacity_owner = capacity_owner,
		    .context = node}) != ERROR_NONE ||
	    membership_init(&node->membership, &member, &bench->timers,
		SEED * 2 + node->id, port,
		(struct membership_ops){.dial_seed = dial_seed,
		    .add_host = add_host,
		    .on_joined = note_joined,
		    .receive_other = receive_other,
		    .context = node}) != ERROR_NONE ||
	    config_feed_init(&node->feed, &feed, &bench->timers,
		SEED * 3 + node->id, port, source, sink,
		(struct config_feed_ops){
		    .list_hosts = list_hosts, .context = node}) != ERROR_NONE)
		abort();
}

static void
announce(struct bench *bench, uint32_t number)
{
	struct upstream_record record = {.kind = UPSTREAM_KIND_MODEL,
	    .sequence = 1,
	    .model_count = 1,
	    .label_count = 3};
	uint32_t i;

	record.incarnation = ++bench->incarnations[number];
	snprintf(record.name, NAME_SIZE_MAX, "engine-%05u", number);
	snprintf(record.url, URL_SIZE_MAX, "http://10.120.130.140:8000");
	snprintf(record.data_centre, NAME_SIZE_MAX, "saskatoon");
	snprintf(record.models[0], NAME_SIZE_MAX, "model-large-2");
	for (i = 0; i < record.label_count; i++) {
		snprintf(record.labels[i].key, NAME_SIZE_MAX, "label-%u", i);
		snprintf(record.labels[i].value, NAME_SIZE_MAX, "value");
	}
	record.limits = (struct upstream_limits){
	    2, 64, 20000, 400000, 2000000, 20000, 25000};
	(void)upstream_directory_announce(
	    &bench->nodes[number % bench->host_count].directory, &record);
}

static uint64_t
id_of(uint32_t number)
{
	char name[NAME_SIZE_MAX];

	snprintf(name, sizeof(name), "engine-%05u", number);
	return upstream_id(name);
}

/* Each upstream is looked after once every @p period_ms, evenly spread. */
static void
tend_upstreams(struct bench *bench, int64_t now_ms, int64_t period_ms,
    void (*tend)(struct bench *bench, uint32_t number))
{
	uint64_t first, last;

	first = (uint64_t)(now_ms - STEP_MS) * bench->upstream_count /
		(uint64_t)period_ms;
	last = (uint64_t)now_ms * bench->upstream_count / (uint64_t)period_ms;
	for (; first < last; first++)
		tend(bench, (uint32_t)(first % bench->upstream_count));
}

static void
renew(struct bench *bench, uint32_t number)
{
	if (bench->incarnations[number] > 0)
		(void)upstream_directory_renew(
		    &bench->nodes[number % bench->host_count].directory,
		    id_of(number), bench->incarnations[number]);
}

static void
report_load(struct bench *bench, uint32_t number)
{
	struct upstream_load load = {.running_requests = 20,
	    .queued_requests = 3,
	    .queued_prefill_tokens = 40000,
	    .kv_tokens_used = 1000000};

	if (bench->incarnations[number] == 0)
		return;
	load.id = id_of(number);
	load.incarnation = bench->incarnations[number];
	load.sequence = (uint64_t)timer_now(&bench->timers);
	(void)upstream_directory_report(
	    &bench->nodes[number % bench->host_count].directory, &load);
}

/* An upstream leaves, is gone and comes back under a new incarnation. */
static void
restart_upstream(struct bench *bench, uint32_t number)
{
	struct upstream_directory *directory =
	    &bench->nodes[number % bench->host_count].directory;

	(void)upstream_directory_leave(
	    directory, id_of(number), bench->incarnations[number]);
	(void)upstream_directory_remove(
	    directory, id_of(number), bench->incarnations[number]);
	announce(bench, number);
}

static void
step(struct bench *bench)
{
	int64_t now_ms;
	uint32_t i;

	now_ms = timer_now(&bench->timers) + STEP_MS;
	timer_advance(&bench->timers, now_ms);
	if (now_ms >= bench->round_ms) {
		bench->confirmed_ms = bench->round_ms - ROUND_MS;
		bench->round_ms += ROUND_MS;
	}
	for (i = 0; i < bench->host_count; i++) {
		membership_on_loop_pass(&bench->nodes[i].membership);
		upstream_directory_on_loop_pass(&bench->nodes[i].directory);
	}
	tend_upstreams(bench, now_ms, RENEW_MS, renew);
	tend_upstreams(bench, now_ms, LOAD_MS, report_load);
}

static void
run(struct bench *bench, int64_t duration_ms)
{
	for (; duration_ms > 0; duration_ms -= STEP_MS)
		step(bench);
}

static void
give_order(struct bench *bench)
{
	uint32_t i;

	for (i = 0; i < bench->voter_count; i++) {
		bench->nodes[i].applied++;
		config_feed_on_applied(&bench->nodes[i].feed);
	}
}

static void
start_bench(struct bench *bench, uint32_t hosts, uint32_t upstreams)
{
	uint32_t i;

	memset(bench, 0, sizeof(*bench));
	bench->host_count = hosts;
	bench->upstream_count = upstreams;
	bench->voter_count = hosts > FEW_HOSTS ? 7 : 3;
	bench->nodes = calloc(hosts, sizeof(*bench->nodes));
	bench->incarnations = calloc(upstreams, sizeof(*bench->incarnations));
	if (bench->nodes == NULL || bench->incarnations == NULL)
		abort();
	random_init(&bench->random, SEED);
	timer_init(&bench->timers, MESSAGES_MAX, 0);
	bench->round_ms = ROUND_MS;
	for (i = 0; i < hosts; i++) {
		bench->nodes[i].bench = bench;
		bench->nodes[i].id = i + 1;
		start_node(bench, &bench->nodes[i]);
	}
	run(bench, 10000);
	for (i = 0; i < upstreams; i++) {
		announce(bench, i);
		if (i % 50 == 49)
			run(bench, 500);
	}
	give_order(bench);
	run(bench, SETTLE_MS);
}

static void
finish_bench(struct bench *bench)
{
	uint32_t i;

	for (i = 0; i < bench->host_count; i++) {
		config_feed_finish(&bench->nodes[i].feed);
		membership_finish(&bench->nodes[i].membership);
		upstream_directory_finish(&bench->nodes[i].directory);
	}
	/* Deliveries still under way go with the process. */
	timer_finish(&bench->timers);
	free(bench->nodes);
	free(bench->incarnations);
}

static void
count_upstream(void *visitor, const struct upstream_record *record)
{
	(void)record;
	(*(uint32_t *)visitor)++;
}

/* Least number of upstreams that a host lists. */
static uint32_t
least_listed(struct bench *bench)
{
	uint32_t i, count, least;

	least = UINT32_MAX;
	for (i = 0; i < bench->host_count; i++) {
		count = 0;
		upstream_directory_each(
		    &bench->nodes[i].directory, count_upstream, &count);
		if (count < least)
			least = count;
	}
	return least;
}

static double
cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Traffic while upstreams restart once a day each and orders come at the
 * rate of 14,000 a day. */
static struct result
measure_traffic(struct bench *bench)
{
	struct result result = {0};
	int64_t end_ms, order_ms;
	double before_us, out;
	struct node *node;
	uint32_t i;
	int channel;

	for (i = 0; i < bench->host_count; i++) {
		node = &bench->nodes[i];
		memset(node->bytes_out, 0, sizeof(node->bytes_out));
		node->bytes_in = node->frames_out = 0;
	}
	before_us = cpu_us();
	end_ms = timer_now(&bench->timers) + MEASURE_MS;
	order_ms = timer_now(&bench->timers);
	while (timer_now(&bench->timers) < end_ms) {
		step(bench);
		tend_upstreams(
		    bench, timer_now(&bench->timers), DAY_MS, restart_upstream);
		if (timer_now(&bench->timers) < order_ms)
			continue;
		order_ms += DAY_MS / 14000;
		give_order(bench);
	}
	result.cpu_us =
	    (cpu_us() - before_us) / bench->host_count / (MEASURE_MS / 1000.0);
	for (i = 0; i < bench->host_count; i++) {
		node = &bench->nodes[i];
		out = 0;
		for (channel = 0; channel < PEER_CHANNEL_COUNT; channel++) {
			out += (double)node->bytes_out[channel];
			result.bytes_of[channel] +=
			    (double)node->bytes_out[channel] /
			    bench->host_count / (MEASURE_MS / 1000.0);
		}
		out /= MEASURE_MS / 1000.0;
		result.bytes_out += out / bench->host_count;
		result.frames_out += (double)node->frames_out /
				     bench->host_count / (MEASURE_MS / 1000.0);
		if (out > result.bytes_out_most)
			result.bytes_out_most = out;
		out += (double)node->bytes_in / (MEASURE_MS / 1000.0);
		if (out > result.bytes_both_most)
			result.bytes_both_most = out;
	}
	return result;
}

static int
compare_times(const void *left, const void *right)
{
	const int64_t *a = left, *b = right;

	return (*a > *b) - (*a < *b);
}

/* Time until the leader knows that the order is in force everywhere. */
static int64_t
time_order(struct bench *bench)
{
	int64_t begin_ms;
	uint64_t index;

	begin_ms = timer_now(&bench->timers);
	give_order(bench);
	index = bench->nodes[0].applied;
	while (config_feed_in_force_index(&bench->nodes[0].feed) < index &&
	       timer_now(&bench->timers) - begin_ms < IN_FORCE_MAX_MS) {
		/* Finer steps than the loop's, for a finer figure. */
		timer_advance(&bench->timers, timer_now(&bench->timers) + 1);
		bench->confirmed_ms = timer_now(&bench->timers) - ROUND_MS;
	}
	return timer_now(&bench->timers) - begin_ms;
}

static void
measure_force(struct bench *bench, bool cuts)
{
	int64_t times[ORDERS] = {0};
	uint32_t i, count, victim;

	count = cuts ? CUT_ORDERS : ORDERS;
	for (i = 0; i < count; i++) {
		run(bench, 300 + random_below(&bench->random, 700));
		victim = bench->voter_count +
			 random_below(&bench->random,
			     bench->host_count - bench->voter_count);
		bench->nodes[victim].is_cut = cuts;
		times[i] = time_order(bench);
		bench->round_ms = timer_now(&bench->timers) + ROUND_MS;
		bench->nodes[victim].is_cut = false;
		if (cuts)
			run(bench, 10000);
	}
	qsort(times, count, sizeof(times[0]), compare_times);
	printf("{\"bench\":\"hosts\",\"what\":\"in_force_ms\",\"seed\":%d,"
	       "\"hosts\":%u,\"upstreams\":%u,\"one_host_cut\":%s,"
	       "\"orders\":%u,\"p50\":%lld,\"p99\":%lld,\"max\":%lld,"
	       "\"lease_ms\":%lld,\"commit\":\"not counted\"}\n",
	    SEED, bench->host_count, bench->upstream_count,
	    cuts ? "true" : "false", count, (long long)times[count / 2],
	    (long long)times[count * 99 / 100], (long long)times[count - 1],
	    (long long)bench->nodes[0].feed.settings.lease_ms);
	fflush(stdout);
}

/* True if every host lists the upstream under that incarnation. */
static bool
is_known(struct bench *bench, uint64_t id, uint64_t incarnation)
{
	const struct upstream_record *record;
	uint32_t i;

	for (i = 0; i < bench->host_count; i++) {
		record =
		    upstream_directory_find(&bench->nodes[i].directory, id);
		if (record == NULL || record->incarnation != incarnation)
			return false;
	}
	return true;
}

/* Time until a restarted upstream is known at all hosts. */
static void
measure_spread(struct bench *bench)
{
	int64_t times[RESTARTS], begin_ms;
	uint32_t i, number;

	for (i = 0; i < RESTARTS; i++) {
		run(bench, 300 + random_below(&bench->random, 700));
		number = random_below(&bench->random, bench->upstream_count);
		begin_ms = timer_now(&bench->timers);
		restart_upstream(bench, number);
		while (!is_known(
			   bench, id_of(number), bench->incarnations[number]) &&
		       timer_now(&bench->timers) - begin_ms < IN_FORCE_MAX_MS)
			step(bench);
		times[i] = timer_now(&bench->timers) - begin_ms;
	}
	qsort(times, RESTARTS, sizeof(times[0]), compare_times);
	printf("{\"bench\":\"hosts\",\"what\":\"upstream_known_ms\","
	       "\"seed\":%d,\"hosts\":%u,\"upstreams\":%u,"
	       "\"restarts\":%d,\"p50\":%lld,\"p99\":%lld,"
	       "\"max\":%lld}\n",
	    SEED, bench->host_count, bench->upstream_count, RESTARTS,
	    (long long)times[RESTARTS / 2],
	    (long long)times[RESTARTS * 99 / 100],
	    (long long)times[RESTARTS - 1]);
	fflush(stdout);
}

static struct result
measure_size(uint32_t hosts, uint32_t upstreams, bool force)
{
	struct result result;
	struct bench bench;

	start_bench(&bench, hosts, upstreams);
	result = measure_traffic(&bench);
	printf("{\"bench\":\"hosts\",\"what\":\"traffic\",\"seed\":%d,"
	       "\"hosts\":%u,\"upstreams\":%u,\"listed_least\":%u,"
	       "\"bytes_out_per_s\":%.0f,\"bytes_out_per_s_most\":%.0f,"
	       "\"bytes_out_and_in_per_s_most\":%.0f,"
	       "\"membership_bytes_per_s\":%.0f,\"feed_bytes_per_s\":%.0f,"
	       "\"load_bytes_per_s\":%.0f,\"frames_out_per_s\":%.1f,"
	       "\"cpu_us_per_host_s\":%.0f}\n",
	    SEED, hosts, upstreams, least_listed(&bench), result.bytes_out,
	    result.bytes_out_most, result.bytes_both_most,
	    result.bytes_of[PEER_CHANNEL_MEMBERSHIP],
	    result.bytes_of[PEER_CHANNEL_FEED],
	    result.bytes_of[PEER_CHANNEL_LOAD], result.frames_out,
	    result.cpu_us);
	fflush(stdout);
	if (force) {
		measure_spread(&bench);
		measure_force(&bench, false);
		measure_force(&bench, true);
	}
	finish_bench(&bench);
	return result;
}

/* Least squares over points of (x, y). */
static double
slope(const double *x, const double *y, int count)
{
	double mean_x, mean_y, above, below;
	int i;

	mean_x = mean_y = above = below = 0;
	for (i = 0; i < count; i++) {
		mean_x += x[i] / count;
		mean_y += y[i] / count;
	}
	for (i = 0; i < count; i++) {
		above += (x[i] - mean_x) * (y[i] - mean_y);
		below += (x[i] - mean_x) * (x[i] - mean_x);
	}
	return above / below;
}

int
main(int argc, char **argv)
{
	static const double hosts[] = {4, 8, 16, 32};
	static const double upstreams[] = {20, 100, 400};
	double bytes[4][3], cpu[4][3], column[4];
	struct result result;
	int i, k;

	/* HOSTS UPSTREAMS measures one size; a third argument, traffic only. */
	if (argc >= 3) {
		(void)measure_size((uint32_t)strtoul(argv[1], NULL, 10),
		    (uint32_t)strtoul(argv[2], NULL, 10), argc == 3);
		return 0;
	}
	for (i = 0; i < 4; i++) {
		for (k = 0; k < 3; k++) {
			result = measure_size((uint32_t)hosts[i],
			    (uint32_t)upstreams[k], i == 1 && k == 1);
			bytes[i][k] = result.bytes_out;
			cpu[i][k] = result.cpu_us;
		}
	}
	for (i = 0; i < 4; i++)
		printf("{\"bench\":\"hosts\",\"what\":\"slope_by_upstreams\","
		       "\"hosts\":%.0f,\"bytes_per_s_per_upstream\":%.2f,"
		       "\"cpu_us_per_upstream\":%.2f}\n",
		    hosts[i], slope(upstreams, bytes[i], 3),
		    slope(upstreams, cpu[i], 3));
	for (k = 0; k < 3; k++) {
		for (i = 0; i < 4; i++)
			column[i] = bytes[i][k];
		printf("{\"bench\":\"hosts\",\"what\":\"slope_by_hosts\","
		       "\"upstreams\":%.0f,\"bytes_per_s_per_host\":%.2f,",
		    upstreams[k], slope(hosts, column, 4));
		for (i = 0; i < 4; i++)
			column[i] = cpu[i][k];
		printf("\"cpu_us_per_host\":%.2f}\n", slope(hosts, column, 4));
	}
	(void)measure_size(350, 470, true);
	return 0;
}
