/*
 * Tests of the exchange of work reports among entry hosts, in virtual time: a
 * large fleet's hosts know each other's work soon and with few messages, also
 * while hosts are frozen or data centres are cut from each other.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/rendezvous.h"
#include "coordination/report_exchange.h"
#include "fake_net.h"

#define HOSTS_LARGE	 300
#define HOSTS_SMALL	 8
#define DATA_CENTRES	 5
#define REPORT_PERIOD_MS 250 /* Time between two reports of a host. */
#define REPORT_SIZE	 100
#define KNOWN_MS	 150  /* Limit for a report to be known everywhere. */
#define TAKEOVER_MS	 1000 /* Limit for the loss of a collector. */
#define RUN_MS		 5000
#define STEP_MS		 5

/* Fields of the reports in these tests. */
enum report_field {
	FIELD_VERSION = 0,
	FIELD_WRITTEN = 1,
	FIELD_PADDING = 2,
	FIELD_COUNT
};

struct fleet;

/* A host, with the time stamps in the newest reports that it knows. An earlier
 * one has a build without batches: it sends single reports to all hosts, and
 * refuses batches. */
struct node {
	struct fleet *fleet;
	uint32_t id;
	bool is_earlier;
	struct report_exchange exchange;
	int64_t known_ms[HOSTS_LARGE + 1];
	int64_t next_report_ms;
	int64_t reported_ms;
};

struct fleet {
	struct fake_net net;
	struct node *nodes;
	uint32_t count;
	uint32_t earlier_twelfths; /* Share of the earlier hosts. */
};

static uint64_t
data_centre(uint32_t id)
{
	return id % DATA_CENTRES + 1;
}

static uint32_t
list_peers(void *context, struct report_peer *peers, uint32_t max)
{
	struct node *node = context;
	uint32_t id, count = 0;

	for (id = 1; id <= node->fleet->count && count < max; id++) {
		if (id != node->id)
			peers[count++] =
			    (struct report_peer){id, data_centre(id)};
	}
	return count;
}

static void
on_report(void *context, uint32_t from_host, const void *body, size_t size,
    int64_t age_ms)
{
	struct node *node = context;
	struct message_reader reader;
	int64_t written_ms;

	assert_int_equal(message_reader_init(&reader, body, size), ERROR_NONE);
	assert_int_equal(
	    message_get_int(&reader, FIELD_WRITTEN, &written_ms), ERROR_NONE);
	message_reader_finish(&reader);
	assert_true(age_ms >= 0);
	node->known_ms[from_host] = MAX(node->known_ms[from_host], written_ms);
}

/* Reads a single report, which has version 1. */
static void
receive_earlier(
    struct node *node, uint32_t from_host, const void *body, size_t size)
{
	struct message_reader reader;
	uint64_t version;

	assert_int_equal(message_reader_init(&reader, body, size), ERROR_NONE);
	assert_int_equal(
	    message_get_uint(&reader, FIELD_VERSION, &version), ERROR_NONE);
	message_reader_finish(&reader);
	if (version == 1)
		on_report(node, from_host, body, size, 0);
}

static void
receive(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct node *node = context;

	assert_int_equal(channel, PEER_CHANNEL_WORK);
	if (node->is_earlier) {
		receive_earlier(node, from_host, body, size);
		return;
	}
	assert_int_equal(
	    report_exchange_receive(&node->exchange, from_host, body, size),
	    ERROR_NONE);
}

/* Starts the exchange of a host of the present build. */
static void
start_exchange(struct node *node)
{
	const struct report_exchange_settings settings = {
	    .host_id = node->id, .data_centre = data_centre(node->id)};
	const struct report_exchange_ops ops = {
	    .list_peers = list_peers, .on_report = on_report, .context = node};
	struct fake_net *net = &node->fleet->net;

	report_exchange_init(&node->exchange, &settings,
	    fake_net_timers(net, node->id), node->id,
	    fake_net_port(net, node->id), ops);
}

static void
start_fleet(struct fleet *fleet, uint32_t count)
{
	const struct fake_link link = {1, 2, 0, 0, false};
	struct node *node;
	uint32_t id;

	fleet->count = count;
	fleet->nodes = calloc(count, sizeof(*fleet->nodes));
	assert_non_null(fleet->nodes);
	fake_net_init(&fleet->net, count, 1, &link);
	for (id = 1; id <= count; id++) {
		node = &fleet->nodes[id - 1];
		node->fleet = fleet;
		node->id = id;
		node->is_earlier =
		    id / DATA_CENTRES % 12 < fleet->earlier_twelfths;
		node->next_report_ms = id * REPORT_PERIOD_MS / count;
		fake_net_start(
		    &fleet->net, id, 0, (struct fake_receiver){receive, node});
		if (!node->is_earlier)
			start_exchange(node);
	}
}

/* Replaces an earlier host by one of the present build. */
static void
replace(struct fleet *fleet, struct node *node)
{
	fake_net_kill(&fleet->net, node->id);
	fake_net_start(
	    &fleet->net, node->id, 0, (struct fake_receiver){receive, node});
	node->is_earlier = false;
	start_exchange(node);
}

static void
stop_fleet(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->count; i++)
		report_exchange_finish(&fleet->nodes[i].exchange);
	fake_net_finish(&fleet->net);
	free(fleet->nodes);
}

static void
send_to_all(struct node *node, const struct message_writer *writer)
{
	struct peer_port port = fake_net_port(&node->fleet->net, node->id);
	uint32_t id;

	for (id = 1; id <= node->fleet->count; id++) {
		if (id != node->id)
			port.send(port.context, id, PEER_CHANNEL_WORK,
			    message_data(writer), message_size(writer));
	}
}

static void
send_report(struct node *node, int64_t now_ms)
{
	const char padding[REPORT_SIZE] = {0};
	struct message_writer writer;

	node->reported_ms = now_ms;
	node->next_report_ms = now_ms + REPORT_PERIOD_MS;
	message_writer_init(&writer);
	message_begin_map(&writer, FIELD_COUNT);
	message_put_uint(&writer, FIELD_VERSION, 1);
	message_put_int(&writer, FIELD_WRITTEN, now_ms);
	message_put_bytes(&writer, FIELD_PADDING, padding, sizeof(padding));
	if (node->is_earlier)
		send_to_all(node, &writer);
	else
		report_exchange_send(&node->exchange, message_data(&writer),
		    message_size(&writer));
	message_writer_finish(&writer);
}

/* Lets all hosts that run report in turn. */
static void
run(struct fleet *fleet, int64_t duration_ms)
{
	struct node *node;
	int64_t until_ms;
	uint32_t i;

	until_ms = fake_net_now(&fleet->net) + duration_ms;
	while (fake_net_now(&fleet->net) < until_ms) {
		for (i = 0; i < fleet->count; i++) {
			node = &fleet->nodes[i];
			if (!fleet->net.hosts[i].is_frozen &&
			    node->next_report_ms <= fake_net_now(&fleet->net))
				send_report(node, fake_net_now(&fleet->net));
		}
		fake_net_run(&fleet->net, STEP_MS);
	}
}

/* Returns the share of the pairs of running hosts in which the second doesn't
 * know the first one's work of @p age_ms ago. */
static double
stale_share(const struct fleet *fleet, int64_t age_ms)
{
	const struct node *from, *to;
	uint32_t i, j, stale, pairs;
	int64_t now_ms;

	now_ms = fake_net_now(&fleet->net);
	stale = pairs = 0;
	for (i = 0; i < fleet->count; i++) {
		from = &fleet->nodes[i];
		for (j = 0; j < fleet->count; j++) {
			to = &fleet->nodes[j];
			if (i == j || fleet->net.hosts[i].is_frozen ||
			    fleet->net.hosts[j].is_frozen)
				continue;
			pairs++;
			/* The newest report may be under way, the one before
			 * must be known. */
			if (to->known_ms[from->id] <
				from->reported_ms - REPORT_PERIOD_MS ||
			    (now_ms - from->reported_ms > age_ms &&
				to->known_ms[from->id] < from->reported_ms))
				stale++;
		}
	}
	return pairs == 0 ? 0 : (double)stale / pairs;
}

/* Returns the collector that the hosts of a data centre choose. */
static uint32_t
find_collector(const struct fleet *fleet, uint64_t centre)
{
	uint32_t ids[HOSTS_LARGE], count = 0, id;

	for (id = 1; id <= fleet->count; id++) {
		if (data_centre(id) == centre)
			ids[count++] = id;
	}
	rendezvous_sort(centre, ids, count);
	return ids[0];
}

/* The cost of a host's messages follows the batches, not the fleet's
 * requests. */
static void
test_large_fleet_knows_all_work_with_few_messages(void **state)
{
	struct fleet fleet = {0};
	uint64_t messages = 0, bytes_most = 0;
	uint32_t i;

	(void)state;
	start_fleet(&fleet, HOSTS_LARGE);
	run(&fleet, RUN_MS);
	assert_true(stale_share(&fleet, KNOWN_MS) == 0);
	for (i = 0; i < fleet.count; i++) {
		messages += fleet.net.hosts[i].sent_messages;
		bytes_most = MAX(bytes_most, fleet.net.hosts[i].sent_bytes);
	}
	messages = messages * 1000 / RUN_MS / HOSTS_LARGE;
	bytes_most = bytes_most * 1000 / RUN_MS;
	print_message("%u messages/s a host, %u KB/s the busiest host\n",
	    (unsigned int)messages, (unsigned int)(bytes_most / 1024));
	/* Each host to each other would be 4 * 299 messages a second. */
	assert_true(messages <= 250);
	/* Half of a link of 20 Mbit/s. */
	assert_true(bytes_most <= 1250000);
	stop_fleet(&fleet);
}

static void
test_small_fleet_sends_directly(void **state)
{
	const uint64_t reports =
	    (uint64_t)(HOSTS_SMALL - 1) * RUN_MS / REPORT_PERIOD_MS;
	struct fleet fleet = {0};

	(void)state;
	start_fleet(&fleet, HOSTS_SMALL);
	run(&fleet, RUN_MS);
	assert_true(stale_share(&fleet, (int64_t)2 * STEP_MS) == 0);
	assert_int_equal(fleet.net.hosts[0].sent_messages, reports);
	stop_fleet(&fleet);
}

/* The collector of one data centre and hosts of all of them are frozen: the
 * others go on to the next collector, and no batch depends on a single host. */
static void
test_frozen_hosts_are_bypassed(void **state)
{
	struct fleet fleet = {0};
	uint32_t id, collector;

	(void)state;
	start_fleet(&fleet, HOSTS_LARGE);
	run(&fleet, RUN_MS);
	collector = find_collector(&fleet, 1);
	fake_net_freeze(&fleet.net, collector);
	for (id = 10; id <= 60; id += 10) {
		if (id != collector)
			fake_net_freeze(&fleet.net, id);
	}
	run(&fleet, TAKEOVER_MS);
	assert_true(stale_share(&fleet, KNOWN_MS) < 0.1);
	run(&fleet, RUN_MS);
	assert_true(stale_share(&fleet, KNOWN_MS) < 0.1);
	fake_net_thaw(&fleet.net, collector);
	for (id = 10; id <= 60; id += 10) {
		if (id != collector)
			fake_net_thaw(&fleet.net, id);
	}
	run(&fleet, RUN_MS);
	assert_true(stale_share(&fleet, KNOWN_MS) == 0);
	stop_fleet(&fleet);
}

/* Two data centres can't reach each other while the others reach both: only
 * the work across the cut is unknown, and it is known soon after. */
static void
test_cut_between_two_data_centres_stays_between_them(void **state)
{
	struct fleet fleet = {0};
	uint32_t left, right;
	double stale;

	(void)state;
	start_fleet(&fleet, HOSTS_LARGE);
	run(&fleet, RUN_MS);
	for (left = 1; left <= HOSTS_LARGE; left++) {
		for (right = left + 1; right <= HOSTS_LARGE; right++) {
			if (data_centre(left) == 1 && data_centre(right) == 2)
				fake_net_cut_pair(
				    &fleet.net, left, right, true);
			if (data_centre(left) == 2 && data_centre(right) == 1)
				fake_net_cut_pair(
				    &fleet.net, left, right, true);
		}
	}
	run(&fleet, RUN_MS);
	stale = stale_share(&fleet, KNOWN_MS);
	/* Two of the 25 pairs of data centres. */
	assert_true(stale > 0.07 && stale < 0.09);
	fake_net_heal(&fleet.net);
	run(&fleet, (int64_t)2 * REPORT_PERIOD_MS);
	assert_true(stale_share(&fleet, KNOWN_MS) == 0);
	stop_fleet(&fleet);
}

/* Neither are batches sent to hosts that refuse them, nor does a batch depend on
 * one of them, and these know all work as if they were alone. */
static void
test_hosts_without_batches_know_all_and_are_known(void **state)
{
	const uint32_t mixes[][2] = {
	    {60, 4}, {60, 6}, {HOSTS_LARGE, 4}, {HOSTS_LARGE, 6}};
	struct fleet fleet;
	guint i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(mixes); i++) {
		memset(&fleet, 0, sizeof(fleet));
		fleet.earlier_twelfths = mixes[i][1];
		start_fleet(&fleet, mixes[i][0]);
		run(&fleet, RUN_MS);
		assert_true(stale_share(&fleet, KNOWN_MS) == 0);
		stop_fleet(&fleet);
	}
}

/* A host that was replaced by one of the present build is a host as any other
 * soon after. */
static void
test_replaced_host_gets_batches(void **state)
{
	struct fleet fleet = {.earlier_twelfths = 6};
	uint64_t messages = 0;
	uint32_t i;

	(void)state;
	start_fleet(&fleet, HOSTS_LARGE);
	run(&fleet, RUN_MS);
	for (i = 0; i < fleet.count; i++) {
		if (fleet.nodes[i].is_earlier)
			replace(&fleet, &fleet.nodes[i]);
	}
	run(&fleet, RUN_MS);
	for (i = 0; i < fleet.count; i++)
		messages -= fleet.net.hosts[i].sent_messages;
	run(&fleet, RUN_MS);
	for (i = 0; i < fleet.count; i++)
		messages += fleet.net.hosts[i].sent_messages;
	assert_true(stale_share(&fleet, KNOWN_MS) == 0);
	assert_true(messages * 1000 / RUN_MS / HOSTS_LARGE <= 250);
	stop_fleet(&fleet);
}

static void
test_malformed_batches_are_refused(void **state)
{
	struct message_reader reader;
	struct message_writer writer;
	struct report_batch batch = {.type = REPORT_BATCH_FORWARD};
	struct report_batch read;
	size_t size;

	(void)state;
	batch.host_ids[batch.host_count++] = 7;
	batch.reports[batch.report_count++] =
	    (struct batched_report){3, 4, 5, "abc", 3};
	message_writer_init(&writer);
	report_batch_write(&writer, &batch);
	for (size = 0; size < message_size(&writer); size++)
		assert_int_not_equal(report_batch_read(message_data(&writer),
					 size, &reader, &read),
		    ERROR_NONE);
	assert_int_equal(report_batch_read(message_data(&writer),
			     message_size(&writer), &reader, &read),
	    ERROR_NONE);
	assert_int_equal(read.host_ids[0], 7);
	assert_int_equal(read.reports[0].host_id, 3);
	assert_int_equal(read.reports[0].age_ms, 5);
	assert_memory_equal(read.reports[0].body, "abc", 3);
	message_reader_finish(&reader);
	message_writer_finish(&writer);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_large_fleet_knows_all_work_with_few_messages),
	    cmocka_unit_test(test_small_fleet_sends_directly),
	    cmocka_unit_test(test_frozen_hosts_are_bypassed),
	    cmocka_unit_test(
		test_cut_between_two_data_centres_stays_between_them),
	    cmocka_unit_test(test_hosts_without_batches_know_all_and_are_known),
	    cmocka_unit_test(test_replaced_host_gets_batches),
	    cmocka_unit_test(test_malformed_batches_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
