/**
 * @file bench_hosts.c
 * Measures a cluster of hosts in virtual time: their control traffic, their
 * processor time, and how long a configuration change or a restarted upstream
 * takes to reach all of them. Prints JSON lines.
 *
 * All hosts run membership, upstream directory and configuration feed over
 * links of 1 ms. Consensus is replaced by a stub that commits at once and
 * sends nothing, so the traffic and the commit time of consensus are not in
 * the figures. Bytes are those of whole frames, with header and MAC but without
 * the headers of TCP and IP.
 *
 * Usage: bench_hosts [HOSTS UPSTREAMS [traffic]]; without arguments several
 * cluster sizes are measured.
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

#define SEED			7
#define LINK_DELAY_MS		1      /* One-way delay between two hosts. */
#define SETTLE_MS		120000 /* Warm-up time before measuring. */
#define MEASURE_MS		60000  /* Time over which traffic is counted. */
#define LOOP_PASS_INTERVAL_MS	10     /* Period of a host's main loop. */
#define HEARTBEAT_INTERVAL_MS	100    /* Period of leader heartbeats. */
#define RENEW_INTERVAL_MS	5000   /* Period of an upstream's renewals. */
#define LOAD_REPORT_INTERVAL_MS 2000   /* Period of an upstream's reports. */
#define DAY_MS			86400000
#define CHANGE_COUNT		200   /* Timed changes, all hosts reachable. */
#define CUT_OFF_CHANGE_COUNT	20    /* Timed changes, one host cut off. */
#define RESTART_COUNT		100   /* Timed restarts of an upstream. */
#define IN_FORCE_TIMEOUT_MS	30000 /* Longest time waited for a change. */
#define ENTRY_SIZE		150   /* Bytes of a configuration entry. */
/* Larger clusters have 7 voters instead of 3, and a longer lease. */
#define SMALL_CLUSTER_HOSTS_MAX 100
#define TIMERS_PER_HOST		16
#define TIMERS_MAX		(1u << 22) /* One timer per frame in flight. */

struct bench;

/* A host, with the traffic that it sent and received. */
struct node {
	struct bench *bench;
	uint32_t id;
	bool is_cut_off;
	struct membership membership;
	struct upstream_directory directory;
	struct config_feed feed;
	uint64_t applied_index;
	uint64_t sent_bytes[PEER_CHANNEL_COUNT], received_bytes, sent_frames;
};

/* The cluster. Host 1 is the leader throughout. */
struct bench {
	struct timer_service timers;
	struct random_source random;
	uint32_t host_count, upstream_count, voter_count;
	struct node *nodes;
	uint64_t *incarnations; /* Incarnation of each upstream, 0: none yet. */
	int64_t next_heartbeat_ms, confirmed_ms;
};

/* A frame in flight between two hosts. */
struct delivery {
	struct bench *bench;
	uint32_t from, to;
	enum peer_channel channel;
	size_t size;
	unsigned char body[];
};

/* Traffic and processor time of a run, averaged over the hosts except for the
 * maxima. */
struct traffic_figures {
	double sent_bytes_per_s, sent_bytes_per_s_max, total_bytes_per_s_max,
	    sent_frames_per_s;
	double channel_bytes_per_s[PEER_CHANNEL_COUNT];
	double cpu_us_per_s;
};

static void
deliver(void *context)
{
	struct delivery *delivery = context;
	struct node *node = &delivery->bench->nodes[delivery->to - 1];

	if (node->is_cut_off ||
	    delivery->bench->nodes[delivery->from - 1].is_cut_off)
		goto done;
	node->received_bytes += frame_size(delivery->size);
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
done:
	free(delivery);
}

static void
send_frame(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	struct node *node = context;
	struct delivery *delivery;

	node->sent_bytes[channel] += frame_size(size);
	node->sent_frames++;
	delivery = malloc(sizeof(*delivery) + size);
	if (delivery == NULL)
		abort();
	delivery->bench = node->bench;
	delivery->from = node->id;
	delivery->to = host_id;
	delivery->channel = channel;
	delivery->size = size;
	memcpy(delivery->body, body, size);
	if (timer_subscribe_once(&node->bench->timers, LINK_DELAY_MS,
		(struct timer_callback){deliver, delivery}, NULL) != ERROR_NONE)
		abort();
	/* The timer owns the delivery now. */
	/* cppcheck-suppress memleak */
}

/* Callbacks of membership */

static void
dial_seed(void *context, const char *ip, uint16_t port)
{
	struct node *node = context;

	(void)ip;
	if (!node->is_cut_off && port <= node->bench->host_count)
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
on_host_joined(void *context, const struct host_record *host)
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

/* Callbacks of the upstream directory */

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

/* Stub that replaces consensus as the source of the configuration feed */

static bool
is_leader(void *context)
{
	return ((struct node *)context)->id == 1;
}

static uint64_t
current_term(void *context)
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
list_voters(void *context, uint32_t *host_ids, uint32_t max)
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
	return ((struct node *)context)->applied_index;
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
	} while (*last < node->applied_index && bytes->len < max);
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
	node->applied_index = last;
	return ERROR_NONE;
}

static enum error_code
install_snapshot(void *context, uint64_t index, const void *bytes, size_t size)
{
	(void)bytes;
	(void)size;
	((struct node *)context)->applied_index = index;
	return ERROR_NONE;
}

/* Cluster and upstreams */

static void
start_node(struct bench *bench, struct node *node)
{
	const struct peer_port port = {send_frame, node};
	struct membership_settings member = {.seed_count = 2};
	struct upstream_directory_settings directory = {
	    .host_id = node->id, .incarnation = 1};
	struct config_feed_settings feed = {
	    .host_id = node->id, .incarnation = 1};
	struct config_feed_source source = {is_leader, current_term, leader_id,
	    list_voters, confirmed_ms, applied_index, read_entries,
	    read_snapshot, node};
	struct config_feed_sink sink = {apply_entries, install_snapshot, node};
	uint32_t i;

	if (bench->host_count > SMALL_CLUSTER_HOSTS_MAX) {
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
		    .on_joined = on_host_joined,
		    .receive_other = receive_other,
		    .context = node}) != ERROR_NONE ||
	    config_feed_init(&node->feed, &feed, &bench->timers,
		SEED * 3 + node->id, port, source, sink,
		(struct config_feed_ops){
		    .list_hosts = list_hosts, .context = node}) != ERROR_NONE)
		abort();
}

static void
announce_upstream(struct bench *bench, uint32_t number)
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
upstream_id_by_number(uint32_t number)
{
	char name[NAME_SIZE_MAX];

	snprintf(name, sizeof(name), "engine-%05u", number);
	return upstream_id(name);
}

/* Calls @p visit for each upstream that is due in this loop pass, so that each
 * is visited once in @p period_ms and the visits are spread evenly. */
static void
visit_due_upstreams(struct bench *bench, int64_t now_ms, int64_t period_ms,
    void (*visit)(struct bench *bench, uint32_t number))
{
	uint64_t first, last;

	first = (uint64_t)(now_ms - LOOP_PASS_INTERVAL_MS) *
		bench->upstream_count / (uint64_t)period_ms;
	last = (uint64_t)now_ms * bench->upstream_count / (uint64_t)period_ms;
	for (; first < last; first++)
		visit(bench, (uint32_t)(first % bench->upstream_count));
}

static void
renew_upstream(struct bench *bench, uint32_t number)
{
	if (bench->incarnations[number] > 0)
		(void)upstream_directory_renew(
		    &bench->nodes[number % bench->host_count].directory,
		    upstream_id_by_number(number), bench->incarnations[number]);
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
	load.id = upstream_id_by_number(number);
	load.incarnation = bench->incarnations[number];
	load.sequence = (uint64_t)timer_now(&bench->timers);
	(void)upstream_directory_report(
	    &bench->nodes[number % bench->host_count].directory, &load);
}

/* Restarts an upstream: it leaves, is removed and announces itself again with
 * a new incarnation. */
static void
restart_upstream(struct bench *bench, uint32_t number)
{
	struct upstream_directory *directory =
	    &bench->nodes[number % bench->host_count].directory;

	(void)upstream_directory_leave(directory, upstream_id_by_number(number),
	    bench->incarnations[number]);
	(void)upstream_directory_remove(directory,
	    upstream_id_by_number(number), bench->incarnations[number]);
	announce_upstream(bench, number);
}

static void
advance_time(struct bench *bench)
{
	int64_t now_ms;
	uint32_t i;

	now_ms = timer_now(&bench->timers) + LOOP_PASS_INTERVAL_MS;
	timer_advance(&bench->timers, now_ms);
	if (now_ms >= bench->next_heartbeat_ms) {
		bench->confirmed_ms =
		    bench->next_heartbeat_ms - HEARTBEAT_INTERVAL_MS;
		bench->next_heartbeat_ms += HEARTBEAT_INTERVAL_MS;
	}
	for (i = 0; i < bench->host_count; i++) {
		membership_on_loop_pass(&bench->nodes[i].membership);
		upstream_directory_on_loop_pass(&bench->nodes[i].directory);
	}
	visit_due_upstreams(bench, now_ms, RENEW_INTERVAL_MS, renew_upstream);
	visit_due_upstreams(
	    bench, now_ms, LOAD_REPORT_INTERVAL_MS, report_load);
}

static void
run_for(struct bench *bench, int64_t duration_ms)
{
	for (; duration_ms > 0; duration_ms -= LOOP_PASS_INTERVAL_MS)
		advance_time(bench);
}

static void
commit_change(struct bench *bench)
{
	uint32_t i;

	for (i = 0; i < bench->voter_count; i++) {
		bench->nodes[i].applied_index++;
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
	bench->voter_count = hosts > SMALL_CLUSTER_HOSTS_MAX ? 7 : 3;
	bench->nodes = calloc(hosts, sizeof(*bench->nodes));
	bench->incarnations = calloc(upstreams, sizeof(*bench->incarnations));
	if (bench->nodes == NULL || bench->incarnations == NULL)
		abort();
	random_init(&bench->random, SEED);
	timer_init(&bench->timers, TIMERS_MAX, 0);
	bench->next_heartbeat_ms = HEARTBEAT_INTERVAL_MS;
	for (i = 0; i < hosts; i++) {
		bench->nodes[i].bench = bench;
		bench->nodes[i].id = i + 1;
		start_node(bench, &bench->nodes[i]);
	}
	run_for(bench, 10000);
	for (i = 0; i < upstreams; i++) {
		announce_upstream(bench, i);
		if (i % 50 == 49)
			run_for(bench, 500);
	}
	commit_change(bench);
	run_for(bench, SETTLE_MS);
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
	/* Deliveries in flight are not freed: their memory is returned when
	 * the process ends. */
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

/* Smallest number of upstreams that any host has in its directory. */
static uint32_t
min_listed_upstreams(struct bench *bench)
{
	uint32_t i, count, min_count;

	min_count = UINT32_MAX;
	for (i = 0; i < bench->host_count; i++) {
		count = 0;
		upstream_directory_for_each(
		    &bench->nodes[i].directory, count_upstream, &count);
		if (count < min_count)
			min_count = count;
	}
	return min_count;
}

static double
read_cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Measures traffic and processor time while each upstream restarts once a day
 * and 14,000 configuration changes are committed a day. */
static struct traffic_figures
measure_traffic(struct bench *bench)
{
	struct traffic_figures result = {0};
	int64_t end_ms, next_change_ms;
	double start_cpu_us, sent_per_s;
	struct node *node;
	uint32_t i;
	int channel;

	for (i = 0; i < bench->host_count; i++) {
		node = &bench->nodes[i];
		memset(node->sent_bytes, 0, sizeof(node->sent_bytes));
		node->received_bytes = node->sent_frames = 0;
	}
	start_cpu_us = read_cpu_us();
	end_ms = timer_now(&bench->timers) + MEASURE_MS;
	next_change_ms = timer_now(&bench->timers);
	while (timer_now(&bench->timers) < end_ms) {
		advance_time(bench);
		visit_due_upstreams(
		    bench, timer_now(&bench->timers), DAY_MS, restart_upstream);
		if (timer_now(&bench->timers) < next_change_ms)
			continue;
		next_change_ms += DAY_MS / 14000;
		commit_change(bench);
	}
	result.cpu_us_per_s = (read_cpu_us() - start_cpu_us) /
			      bench->host_count / (MEASURE_MS / 1000.0);
	for (i = 0; i < bench->host_count; i++) {
		node = &bench->nodes[i];
		sent_per_s = 0;
		for (channel = 0; channel < PEER_CHANNEL_COUNT; channel++) {
			sent_per_s += (double)node->sent_bytes[channel];
			result.channel_bytes_per_s[channel] +=
			    (double)node->sent_bytes[channel] /
			    bench->host_count / (MEASURE_MS / 1000.0);
		}
		sent_per_s /= MEASURE_MS / 1000.0;
		result.sent_bytes_per_s += sent_per_s / bench->host_count;
		result.sent_frames_per_s += (double)node->sent_frames /
					    bench->host_count /
					    (MEASURE_MS / 1000.0);
		if (sent_per_s > result.sent_bytes_per_s_max)
			result.sent_bytes_per_s_max = sent_per_s;
		sent_per_s +=
		    (double)node->received_bytes / (MEASURE_MS / 1000.0);
		if (sent_per_s > result.total_bytes_per_s_max)
			result.total_bytes_per_s_max = sent_per_s;
	}
	return result;
}

static int
compare_times(const void *left, const void *right)
{
	const int64_t *a = left, *b = right;

	return (*a > *b) - (*a < *b);
}

/* Commits a change and returns the milliseconds until the leader knows that it
 * is in force on all hosts, at most about IN_FORCE_TIMEOUT_MS. */
static int64_t
time_change_in_force(struct bench *bench)
{
	int64_t start_ms;
	uint64_t index;

	start_ms = timer_now(&bench->timers);
	commit_change(bench);
	index = bench->nodes[0].applied_index;
	while (config_feed_in_force_index(&bench->nodes[0].feed) < index &&
	       timer_now(&bench->timers) - start_ms < IN_FORCE_TIMEOUT_MS) {
		/* Steps of 1 ms, shorter than a loop pass, so that the time
		 * is exact to the millisecond. */
		timer_advance(&bench->timers, timer_now(&bench->timers) + 1);
		bench->confirmed_ms =
		    timer_now(&bench->timers) - HEARTBEAT_INTERVAL_MS;
	}
	return timer_now(&bench->timers) - start_ms;
}

static void
measure_time_in_force(struct bench *bench, bool with_cut_off)
{
	int64_t times[CHANGE_COUNT] = {0};
	uint32_t i, count, cut_off_host;

	count = with_cut_off ? CUT_OFF_CHANGE_COUNT : CHANGE_COUNT;
	for (i = 0; i < count; i++) {
		run_for(bench, 300 + random_below(&bench->random, 700));
		cut_off_host = bench->voter_count +
			       random_below(&bench->random,
				   bench->host_count - bench->voter_count);
		bench->nodes[cut_off_host].is_cut_off = with_cut_off;
		times[i] = time_change_in_force(bench);
		bench->next_heartbeat_ms =
		    timer_now(&bench->timers) + HEARTBEAT_INTERVAL_MS;
		bench->nodes[cut_off_host].is_cut_off = false;
		if (with_cut_off)
			run_for(bench, 10000);
	}
	qsort(times, count, sizeof(times[0]), compare_times);
	printf("{\"bench\":\"hosts\",\"what\":\"in_force_ms\",\"seed\":%d,"
	       "\"hosts\":%u,\"upstreams\":%u,\"one_host_cut\":%s,"
	       "\"orders\":%u,\"p50\":%lld,\"p99\":%lld,\"max\":%lld,"
	       "\"lease_ms\":%lld,\"commit\":\"not counted\"}\n",
	    SEED, bench->host_count, bench->upstream_count,
	    with_cut_off ? "true" : "false", count, (long long)times[count / 2],
	    (long long)times[count * 99 / 100], (long long)times[count - 1],
	    (long long)bench->nodes[0].feed.settings.lease_ms);
	fflush(stdout);
}

/* True if every host lists the upstream with that incarnation. */
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

/* Measures the time until all hosts know the new incarnation of a restarted
 * upstream. */
static void
measure_upstream_spread(struct bench *bench)
{
	int64_t times[RESTART_COUNT], start_ms;
	uint32_t i, number;

	for (i = 0; i < RESTART_COUNT; i++) {
		run_for(bench, 300 + random_below(&bench->random, 700));
		number = random_below(&bench->random, bench->upstream_count);
		start_ms = timer_now(&bench->timers);
		restart_upstream(bench, number);
		while (
		    !is_known(bench, upstream_id_by_number(number),
			bench->incarnations[number]) &&
		    timer_now(&bench->timers) - start_ms < IN_FORCE_TIMEOUT_MS)
			advance_time(bench);
		times[i] = timer_now(&bench->timers) - start_ms;
	}
	qsort(times, RESTART_COUNT, sizeof(times[0]), compare_times);
	printf("{\"bench\":\"hosts\",\"what\":\"upstream_known_ms\","
	       "\"seed\":%d,\"hosts\":%u,\"upstreams\":%u,"
	       "\"restarts\":%d,\"p50\":%lld,\"p99\":%lld,"
	       "\"max\":%lld}\n",
	    SEED, bench->host_count, bench->upstream_count, RESTART_COUNT,
	    (long long)times[RESTART_COUNT / 2],
	    (long long)times[RESTART_COUNT * 99 / 100],
	    (long long)times[RESTART_COUNT - 1]);
	fflush(stdout);
}

static struct traffic_figures
measure_cluster(uint32_t hosts, uint32_t upstreams, bool with_latency)
{
	struct traffic_figures result;
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
	    SEED, hosts, upstreams, min_listed_upstreams(&bench),
	    result.sent_bytes_per_s, result.sent_bytes_per_s_max,
	    result.total_bytes_per_s_max,
	    result.channel_bytes_per_s[PEER_CHANNEL_MEMBERSHIP],
	    result.channel_bytes_per_s[PEER_CHANNEL_FEED],
	    result.channel_bytes_per_s[PEER_CHANNEL_LOAD],
	    result.sent_frames_per_s, result.cpu_us_per_s);
	fflush(stdout);
	if (with_latency) {
		measure_upstream_spread(&bench);
		measure_time_in_force(&bench, false);
		measure_time_in_force(&bench, true);
	}
	finish_bench(&bench);
	return result;
}

/* Slope of the line through the points (x, y), fitted by least squares. */
static double
fit_slope(const double *x, const double *y, int count)
{
	double mean_x, mean_y, numerator, denominator;
	int i;

	mean_x = mean_y = numerator = denominator = 0;
	for (i = 0; i < count; i++) {
		mean_x += x[i] / count;
		mean_y += y[i] / count;
	}
	for (i = 0; i < count; i++) {
		numerator += (x[i] - mean_x) * (y[i] - mean_y);
		denominator += (x[i] - mean_x) * (x[i] - mean_x);
	}
	return numerator / denominator;
}

int
main(int argc, char **argv)
{
	static const double hosts[] = {4, 8, 16, 32};
	static const double upstreams[] = {20, 100, 400};
	double bytes[4][3], cpu[4][3], column[4];
	struct traffic_figures result;
	int i, k;

	/* HOSTS UPSTREAMS measures one cluster size. With any third argument
	 * just its traffic is measured. */
	if (argc >= 3) {
		(void)measure_cluster((uint32_t)strtoul(argv[1], NULL, 10),
		    (uint32_t)strtoul(argv[2], NULL, 10), argc == 3);
		return 0;
	}
	for (i = 0; i < 4; i++) {
		for (k = 0; k < 3; k++) {
			result = measure_cluster((uint32_t)hosts[i],
			    (uint32_t)upstreams[k], i == 1 && k == 1);
			bytes[i][k] = result.sent_bytes_per_s;
			cpu[i][k] = result.cpu_us_per_s;
		}
	}
	for (i = 0; i < 4; i++)
		printf("{\"bench\":\"hosts\",\"what\":\"slope_by_upstreams\","
		       "\"hosts\":%.0f,\"bytes_per_s_per_upstream\":%.2f,"
		       "\"cpu_us_per_upstream\":%.2f}\n",
		    hosts[i], fit_slope(upstreams, bytes[i], 3),
		    fit_slope(upstreams, cpu[i], 3));
	for (k = 0; k < 3; k++) {
		for (i = 0; i < 4; i++)
			column[i] = bytes[i][k];
		printf("{\"bench\":\"hosts\",\"what\":\"slope_by_hosts\","
		       "\"upstreams\":%.0f,\"bytes_per_s_per_host\":%.2f,",
		    upstreams[k], fit_slope(hosts, column, 4));
		for (i = 0; i < 4; i++)
			column[i] = cpu[i][k];
		printf(
		    "\"cpu_us_per_host\":%.2f}\n", fit_slope(hosts, column, 4));
	}
	(void)measure_cluster(350, 470, true);
	return 0;
}
