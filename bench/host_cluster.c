#include "host_cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/rendezvous.h"
#include "protocol/frame.h"

#define LINK_DELAY_MS		1      /* One-way delay between two hosts. */
#define SETTLE_MS		120000 /* Warm-up time before measuring. */
#define LOOP_PASS_INTERVAL_MS	10     /* Period of a host's main loop. */
#define RENEW_INTERVAL_MS	5000   /* Period of an upstream's renewals. */
#define LOAD_REPORT_INTERVAL_MS 2000   /* Period of an upstream's reports. */
#define ENTRY_SIZE		150    /* Bytes of a configuration entry. */
/* Larger clusters have 7 voters instead of 3, and a longer lease. */
#define SMALL_CLUSTER_HOSTS_MAX 100
#define TIMERS_MAX		(1u << 22) /* One timer per frame in flight. */

/* A frame in flight between two hosts. */
struct delivery {
	struct host_cluster *cluster;
	uint32_t from, to;
	enum peer_channel channel;
	size_t size;
	unsigned char body[];
};

static void deliver(void *context);
static void send_frame(void *context, uint32_t host_id,
    enum peer_channel channel, const void *body, size_t size);

/* Callbacks of membership */
static void dial_seed(void *context, const char *ip, uint16_t port);
static void add_host(
    void *context, uint32_t host_id, const char *ip, uint16_t port);
static void on_host_joined(void *context, const struct host_record *host);
static enum error_code receive_other(
    void *context, uint32_t from_host, const void *body, size_t size);

/* Callbacks of the upstream directory */
static bool is_live(void *context, uint32_t host_id, uint64_t incarnation);
static uint32_t list_hosts(void *context, uint32_t *host_ids, uint32_t max);
static uint32_t capacity_owner(void *context, uint64_t upstream_id);

/* Stub that replaces consensus as the source of the configuration feed */
static bool is_leader(void *context);
static uint64_t current_term(void *context);
static uint32_t leader_id(void *context);
static uint32_t list_voters(void *context, uint32_t *host_ids, uint32_t max);
static int64_t confirmed_ms(void *context);
static uint64_t applied_index(void *context);
static enum error_code read_entries(void *context, uint64_t from, size_t max,
    GByteArray *bytes, uint64_t *last);
static enum error_code read_snapshot(
    void *context, GByteArray *bytes, uint64_t *index);
static enum error_code apply_entries(void *context, uint64_t from,
    uint64_t last, const void *bytes, size_t size);
static enum error_code install_snapshot(
    void *context, uint64_t index, const void *bytes, size_t size);

static void start_node(struct host_cluster *cluster, struct cluster_node *node);
static struct upstream_directory *home_directory(
    struct host_cluster *cluster, uint32_t number);
static void announce_upstream(struct host_cluster *cluster, uint32_t number);
static void renew_upstream(struct host_cluster *cluster, uint32_t number);
static void report_load(struct host_cluster *cluster, uint32_t number);

void
host_cluster_start(
    struct host_cluster *cluster, uint32_t hosts, uint32_t upstreams)
{
	uint32_t i;

	memset(cluster, 0, sizeof(*cluster));
	cluster->host_count = hosts;
	cluster->upstream_count = upstreams;
	cluster->voter_count = hosts > SMALL_CLUSTER_HOSTS_MAX ? 7 : 3;
	cluster->nodes = calloc(hosts, sizeof(*cluster->nodes));
	cluster->incarnations =
	    calloc(upstreams, sizeof(*cluster->incarnations));
	if (cluster->nodes == NULL || cluster->incarnations == NULL)
		abort();
	random_init(&cluster->random, CLUSTER_SEED);
	timer_init(&cluster->timers, TIMERS_MAX, 0);
	cluster->next_heartbeat_ms = CLUSTER_HEARTBEAT_MS;
	for (i = 0; i < hosts; i++) {
		cluster->nodes[i].cluster = cluster;
		cluster->nodes[i].id = i + 1;
		start_node(cluster, &cluster->nodes[i]);
	}
	host_cluster_run(cluster, 10000);
	for (i = 0; i < upstreams; i++) {
		announce_upstream(cluster, i);
		if (i % 50 == 49)
			host_cluster_run(cluster, 500);
	}
	host_cluster_commit_change(cluster);
	host_cluster_run(cluster, SETTLE_MS);
}

void
host_cluster_finish(struct host_cluster *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->host_count; i++) {
		config_feed_finish(&cluster->nodes[i].feed);
		membership_finish(&cluster->nodes[i].membership);
		upstream_directory_finish(&cluster->nodes[i].directory);
	}
	/* Deliveries in flight are not freed: their memory is returned when
	 * the process ends. */
	timer_finish(&cluster->timers);
	free(cluster->nodes);
	free(cluster->incarnations);
}

void
host_cluster_run(struct host_cluster *cluster, int64_t duration_ms)
{
	for (; duration_ms > 0; duration_ms -= LOOP_PASS_INTERVAL_MS)
		host_cluster_step(cluster);
}

void
host_cluster_step(struct host_cluster *cluster)
{
	int64_t now_ms;

	now_ms = timer_now(&cluster->timers) + LOOP_PASS_INTERVAL_MS;
	timer_advance(&cluster->timers, now_ms);
	if (now_ms >= cluster->next_heartbeat_ms) {
		cluster->confirmed_ms =
		    cluster->next_heartbeat_ms - CLUSTER_HEARTBEAT_MS;
		cluster->next_heartbeat_ms += CLUSTER_HEARTBEAT_MS;
	}
	host_cluster_visit_due(
	    cluster, now_ms, RENEW_INTERVAL_MS, renew_upstream);
	host_cluster_visit_due(
	    cluster, now_ms, LOAD_REPORT_INTERVAL_MS, report_load);
}

void
host_cluster_commit_change(struct host_cluster *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->voter_count; i++) {
		cluster->nodes[i].applied_index++;
		config_feed_on_applied(&cluster->nodes[i].feed);
	}
}

/* Restarts an upstream: it leaves, is removed and announces itself again with
 * a new incarnation. */
void
host_cluster_restart_upstream(struct host_cluster *cluster, uint32_t number)
{
	struct upstream_directory *directory = home_directory(cluster, number);

	(void)upstream_directory_leave(directory,
	    host_cluster_upstream_id(number), cluster->incarnations[number]);
	(void)upstream_directory_remove(directory,
	    host_cluster_upstream_id(number), cluster->incarnations[number]);
	announce_upstream(cluster, number);
}

/* Calls @p visit for each upstream that is due in this loop pass, so that each
 * is visited once in @p period_ms and the visits are spread evenly. */
void
host_cluster_visit_due(struct host_cluster *cluster, int64_t now_ms,
    int64_t period_ms,
    void (*visit)(struct host_cluster *cluster, uint32_t number))
{
	uint64_t first, last;

	first = (uint64_t)(now_ms - LOOP_PASS_INTERVAL_MS) *
		cluster->upstream_count / (uint64_t)period_ms;
	last = (uint64_t)now_ms * cluster->upstream_count / (uint64_t)period_ms;
	for (; first < last; first++)
		visit(cluster, (uint32_t)(first % cluster->upstream_count));
}

uint64_t
host_cluster_upstream_id(uint32_t number)
{
	char name[NAME_SIZE_MAX];

	snprintf(name, sizeof(name), "engine-%05u", number);
	return upstream_id(name);
}

static void
deliver(void *context)
{
	struct delivery *delivery = context;
	struct cluster_node *node = &delivery->cluster->nodes[delivery->to - 1];

	if (node->is_cut_off ||
	    delivery->cluster->nodes[delivery->from - 1].is_cut_off)
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
	struct cluster_node *node = context;
	struct delivery *delivery;

	node->sent_bytes[channel] += frame_size(size);
	node->sent_frames++;
	delivery = malloc(sizeof(*delivery) + size);
	if (delivery == NULL)
		abort();
	delivery->cluster = node->cluster;
	delivery->from = node->id;
	delivery->to = host_id;
	delivery->channel = channel;
	delivery->size = size;
	memcpy(delivery->body, body, size);
	if (timer_subscribe_once(&node->cluster->timers, LINK_DELAY_MS,
		(struct timer_callback){deliver, delivery}, NULL) != ERROR_NONE)
		abort();
	/* The timer owns the delivery now. */
	/* cppcheck-suppress memleak */
}

static void
dial_seed(void *context, const char *ip, uint16_t port)
{
	struct cluster_node *node = context;

	(void)ip;
	if (!node->is_cut_off && port <= node->cluster->host_count)
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
	struct cluster_node *node = context;

	upstream_directory_sync_with(&node->directory, host->id);
}

static enum error_code
receive_other(void *context, uint32_t from_host, const void *body, size_t size)
{
	struct cluster_node *node = context;

	return upstream_directory_receive(
	    &node->directory, from_host, body, size);
}

static bool
is_live(void *context, uint32_t host_id, uint64_t incarnation)
{
	struct cluster_node *node = context;

	return membership_is_live(&node->membership, host_id, incarnation);
}

static uint32_t
list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	struct cluster_node *node = context;

	return membership_list_live(&node->membership, host_ids, max);
}

static uint32_t
capacity_owner(void *context, uint64_t upstream_id)
{
	uint32_t host_ids[HOSTS_MAX], count;
	struct cluster_node *node = context;

	count =
	    membership_list_live(&node->membership, host_ids, HOSTS_MAX - 1);
	host_ids[count++] = node->id;
	return rendezvous_pick(upstream_id, host_ids, count);
}

static bool
is_leader(void *context)
{
	return ((struct cluster_node *)context)->id == 1;
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
	struct cluster_node *node = context;
	uint32_t i;

	for (i = 0; i < node->cluster->voter_count && i < max; i++)
		host_ids[i] = i + 1;
	return i;
}

static int64_t
confirmed_ms(void *context)
{
	return ((struct cluster_node *)context)->cluster->confirmed_ms;
}

static uint64_t
applied_index(void *context)
{
	return ((struct cluster_node *)context)->applied_index;
}

static enum error_code
read_entries(
    void *context, uint64_t from, size_t max, GByteArray *bytes, uint64_t *last)
{
	struct cluster_node *node = context;

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
	struct cluster_node *node = context;

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
	((struct cluster_node *)context)->applied_index = index;
	return ERROR_NONE;
}

static void
start_node(struct host_cluster *cluster, struct cluster_node *node)
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

	if (cluster->host_count > SMALL_CLUSTER_HOSTS_MAX) {
		feed.lease_ms = 5000;
		feed.renewal_interval_ms = 1000;
	}
	if (node->id <= cluster->voter_count)
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
		&cluster->timers, CLUSTER_SEED + node->id, port,
		(struct upstream_directory_ops){.is_live = is_live,
		    .list_hosts = list_hosts,
		    .capacity_owner = capacity_owner,
		    .context = node}) != ERROR_NONE ||
	    membership_init(&node->membership, &member, &cluster->timers,
		CLUSTER_SEED * 2 + node->id, port,
		(struct membership_ops){.dial_seed = dial_seed,
		    .add_host = add_host,
		    .on_joined = on_host_joined,
		    .receive_other = receive_other,
		    .context = node}) != ERROR_NONE ||
	    config_feed_init(&node->feed, &feed, &cluster->timers,
		CLUSTER_SEED * 3 + node->id, port, source, sink,
		(struct config_feed_ops){
		    .list_hosts = list_hosts, .context = node}) != ERROR_NONE)
		abort();
}

/* Returns the directory of the host that an upstream announces itself to. */
static struct upstream_directory *
home_directory(struct host_cluster *cluster, uint32_t number)
{
	/* A cluster without hosts has no directory. */
	if (cluster->host_count == 0)
		abort();
	return &cluster->nodes[number % cluster->host_count].directory;
}

static void
announce_upstream(struct host_cluster *cluster, uint32_t number)
{
	struct upstream_record record = {.kind = UPSTREAM_KIND_MODEL,
	    .sequence = 1,
	    .model_count = 1,
	    .label_count = 3};
	uint32_t i;

	record.incarnation = ++cluster->incarnations[number];
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
	    home_directory(cluster, number), &record);
}

static void
renew_upstream(struct host_cluster *cluster, uint32_t number)
{
	if (cluster->incarnations[number] > 0)
		(void)upstream_directory_renew(home_directory(cluster, number),
		    host_cluster_upstream_id(number),
		    cluster->incarnations[number]);
}

static void
report_load(struct host_cluster *cluster, uint32_t number)
{
	struct upstream_load load = {.running_requests = 20,
	    .queued_requests = 3,
	    .queued_prefill_tokens = 40000,
	    .kv_tokens_used = 1000000};

	if (cluster->incarnations[number] == 0)
		return;
	load.id = host_cluster_upstream_id(number);
	load.incarnation = cluster->incarnations[number];
	load.sequence = (uint64_t)timer_now(&cluster->timers);
	(void)upstream_directory_report(home_directory(cluster, number), &load);
}
