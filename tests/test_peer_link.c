/*
 * Tests of the links between hosts over loopback connections.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <sodium.h>

#include "peer_node.h"
#include "transport/peer_link_parts.h"
#include "transport/peer_queue.h"

#define PORT_FIRST 21100
#define PASSES_MAX 4000 /* Main loop passes of 1 ms virtual time. */

static void
add_peer(struct peer_node *node, const struct peer_node *other)
{
	peer_node_add_peer(
	    node, other->id, peer_links_listen_port(&other->links));
}

/* Starts two hosts that dial each other. */
static void
start_pair(struct peer_node *left, struct peer_node *right)
{
	peer_node_start_id(left, 1, PORT_FIRST);
	peer_node_start_id(right, 2, PORT_FIRST);
	add_peer(left, right);
	add_peer(right, left);
}

static void
send_number(struct peer_node *node, uint32_t to, uint32_t number)
{
	peer_links_send(
	    &node->links, to, PEER_CHANNEL_CONSENSUS, &number, sizeof(number));
}

/* Runs both nodes until @p counter reaches @p wanted; false if it does not
 * within PASSES_MAX passes. */
static bool
run_until(struct peer_node *left, struct peer_node *right,
    const unsigned int *counter, unsigned int wanted)
{
	int pass;

	for (pass = 0; pass < PASSES_MAX && *counter < wanted; pass++) {
		peer_node_step(left);
		peer_node_step(right);
		if (pass % 16 == 15)
			usleep(1000);
	}
	return *counter >= wanted;
}

static void
test_messages_arrive_in_order_when_both_dial(void **state)
{
	struct peer_node left, right;
	uint32_t number;

	(void)state;
	start_pair(&left, &right);
	send_number(&left, 2, 1);
	send_number(&right, 1, 1);
	assert_true(run_until(&left, &right, &left.connects, 1));
	assert_true(run_until(&left, &right, &right.connects, 1));
	left.received = right.received = 0;
	for (number = 2; number < 500; number++) {
		send_number(&left, 2, number);
		send_number(&right, 1, number);
		run_until(&left, &right, &left.received, number - 1);
	}
	assert_true(run_until(&left, &right, &right.received, 400));
	assert_int_equal(left.out_of_order + right.out_of_order, 0);
	assert_true(peer_links_is_numbering(
	    &left.links, 2, right.links.settings.incarnation));
	assert_true(peer_links_is_numbering(
	    &right.links, 1, left.links.settings.incarnation));
	assert_false(peer_links_is_numbering(
	    &left.links, 2, right.links.settings.incarnation + 1));
	assert_false(peer_links_is_numbering(&left.links, 3, 1));
	/* Both hosts dialled; one link remains, without any disconnect. */
	assert_int_equal(left.disconnects + right.disconnects, 0);
	assert_int_equal(left.links.links.item_count, 1);
	assert_int_equal(right.links.links.item_count, 1);
	peer_node_stop(&left);
	peer_node_stop(&right);
}

/* A host finds out what another one's handshake has without sending it anything
 * else. */
static void
test_a_link_is_made_without_a_message(void **state)
{
	struct peer_link_settings settings;
	struct peer_node left, right;
	uint64_t incarnation;

	(void)state;
	peer_node_fill_settings(&settings, 1);
	peer_node_start(&left, &settings, PORT_FIRST);
	peer_node_fill_settings(&settings, 2);
	peer_node_start(&right, &settings, PORT_FIRST);
	incarnation = right.links.settings.incarnation;
	assert_false(peer_links_meet(&left.links, 2));
	add_peer(&left, &right);
	assert_false(peer_links_was_linked(&left.links, 2, incarnation));
	assert_true(peer_links_meet(&left.links, 2));
	assert_false(peer_links_meet(&left.links, 2));
	assert_true(run_until(&left, &right, &left.connects, 1));
	assert_true(peer_links_was_linked(&left.links, 2, incarnation));
	assert_false(peer_links_was_linked(&left.links, 2, incarnation + 1));
	assert_false(peer_links_meet(&left.links, 2));
	assert_int_equal(left.received + right.received, 0);
	peer_node_stop(&left);
	peer_node_stop(&right);
}

/* When both hosts dial each other at once, they must agree which link stays,
 * whatever the order in which each side handles the two connections. */
static void
test_simultaneous_dials_settle_on_one_link(void **state)
{
	struct peer_node left, right;
	struct random_source random;
	int round, pass;

	(void)state;
	random_init(&random, 11);
	for (round = 0; round < 60; round++) {
		start_pair(&left, &right);
		send_number(&left, 2, 1);
		send_number(&right, 1, 1);
		for (pass = 0; pass < 60; pass++)
			peer_links_handle(random_below(&random, 2) == 0
					      ? &left.links
					      : &right.links);
		run_until(&left, &right, &left.received, 1);
		run_until(&left, &right, &right.received, 1);
		send_number(&left, 2, 2);
		send_number(&right, 1, 2);
		while (left.last_number < 2 || right.last_number < 2) {
			assert_int_equal(
			    left.disconnects + right.disconnects, 0);
			peer_links_handle(&left.links);
			peer_links_handle(&right.links);
		}
		peer_node_stop(&left);
		peer_node_stop(&right);
	}
}

static void
test_a_restarted_host_is_dialled_again(void **state)
{
	struct peer_link_settings right_settings;
	struct peer_node left, right;

	(void)state;
	peer_node_start_id(&left, 1, PORT_FIRST);
	peer_node_fill_settings(&right_settings, 2);
	peer_node_start(&right, &right_settings, PORT_FIRST);
	add_peer(&left, &right);
	send_number(&left, 2, 1);
	assert_true(run_until(&left, &right, &right.received, 1));
	peer_node_stop(&right);
	right_settings.incarnation++;
	peer_node_start(&right, &right_settings, PORT_FIRST);
	add_peer(&left, &right);
	assert_true(run_until(&left, &right, &left.disconnects, 1));
	/* This message is dropped, as the link waits for its next dial. */
	send_number(&left, 2, 2);
	while (right.received == 0 && timer_now(&left.timers) < 20000) {
		send_number(&left, 2, 3);
		run_until(&left, &right, &right.received, 1);
	}
	assert_int_equal(right.last_number, 3);
	/* A process that has just started has missed nothing. */
	assert_int_equal(left.connects, 2);
	assert_int_equal(left.reconnects + right.reconnects, 0);
	assert_true(
	    left.links.counters.channels[PEER_CHANNEL_CONSENSUS].dropped >= 1);
	peer_node_stop(&left);
	peer_node_stop(&right);
}

/* Hosts connect if they share a key and the cluster id, also while keys are
 * being replaced. Otherwise the dialer learns why it was refused. */
static void
test_keys_and_cluster_are_checked(void **state)
{
	static const struct {
		const char *right_cluster;
		uint32_t left_keys[2], right_keys[2];
		enum error_code refusal;
		unsigned char right_fill;
	} cases[] = {
	    {"test", {1, 0}, {1, 0}, ERROR_NONE, 7},
	    {"test", {1, 0}, {2, 1}, ERROR_NONE, 7},
	    {"test", {2, 1}, {1, 2}, ERROR_NONE, 7},
	    {"test", {1, 0}, {2, 0}, ERROR_UNAUTHENTICATED, 7},
	    {"test", {1, 0}, {1, 0}, ERROR_UNAUTHENTICATED, 8},
	    {"other", {1, 0}, {1, 0}, ERROR_WRONG_CLUSTER, 7},
	};
	struct peer_link_settings settings;
	struct peer_node left, right;
	size_t i;
	int k;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		peer_node_fill_settings(&settings, 1);
		settings.key_count = cases[i].left_keys[1] != 0 ? 2 : 1;
		for (k = 0; k < 2; k++) {
			settings.keys[k].id = cases[i].left_keys[k];
			memset(settings.keys[k].key, 7, FRAME_KEY_SIZE);
		}
		peer_node_start(&left, &settings, PORT_FIRST);
		peer_node_fill_settings(&settings, 2);
		settings.key_count = cases[i].right_keys[1] != 0 ? 2 : 1;
		for (k = 0; k < 2; k++) {
			settings.keys[k].id = cases[i].right_keys[k];
			memset(settings.keys[k].key, cases[i].right_fill,
			    FRAME_KEY_SIZE);
		}
		snprintf(settings.cluster_id, NAME_SIZE_MAX, "%s",
		    cases[i].right_cluster);
		peer_node_start(&right, &settings, PORT_FIRST);
		add_peer(&left, &right);
		send_number(&left, 2, 1);
		if (cases[i].refusal == ERROR_NONE)
			assert_true(
			    run_until(&left, &right, &right.received, 1));
		else
			assert_true(run_until(&left, &right, &left.refusal, 1));
		assert_int_equal(left.refusal, cases[i].refusal);
		if (cases[i].refusal != ERROR_NONE)
			assert_int_equal(right.received, 0);
		peer_node_stop(&left);
		peer_node_stop(&right);
	}
}

/* Connections that don't begin with a valid handshake are refused. */
static void
test_unauthenticated_connections_are_refused(void **state)
{
	static const struct {
		unsigned char bytes[40];
		size_t size;
		enum error_code refusal;
	} cases[] = {
	    {"GET / HTTP/1.1\r\nHost: some.where.example", 40,
		ERROR_UNSUPPORTED_VERSION},
	    {{0xff, 0xff, 0xff, 0xff, 1}, 40, ERROR_TOO_LARGE},
	    {{0, 0, 1, 1, 1}, 40, ERROR_TOO_LARGE},
	    {{0, 0, 0, 0, 9}, 40, ERROR_UNSUPPORTED_VERSION},
	    {{0, 0, 0, 0, 1, 2}, 40, ERROR_UNAUTHENTICATED},
	    {{0, 0, 0, 0, 1, 0, 1}, 40, ERROR_MALFORMED},
	    {{0}, 3, ERROR_TIMEOUT},
	};
	struct sockaddr_in address = {.sin_family = AF_INET};
	struct peer_node node, other;
	size_t i;
	int fd;

	(void)state;
	peer_node_start_id(&other, 2, PORT_FIRST);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		peer_node_start_id(&node, 1, PORT_FIRST);
		address.sin_port = htons(peer_links_listen_port(&node.links));
		inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		assert_int_equal(
		    connect(fd, (struct sockaddr *)&address, sizeof(address)),
		    0);
		assert_int_equal(
		    send(fd, cases[i].bytes, cases[i].size, MSG_NOSIGNAL),
		    cases[i].size);
		assert_true(run_until(&node, &other, &node.refusal, 1));
		assert_int_equal(node.refusal, cases[i].refusal);
		assert_int_equal(node.received + node.connects, 0);
		assert_int_equal(node.links.links.item_count, 0);
		close(fd);
		peer_node_stop(&node);
	}
	peer_node_stop(&other);
}

/* Hosts are replaced under new ids: beyond hosts_max, unlinked hosts are
 * forgotten while linked ones stay. */
static void
test_unlinked_hosts_are_evicted_for_new_ones(void **state)
{
	struct peer_link_settings settings;
	struct peer_node left, right;
	uint32_t id;

	(void)state;
	peer_node_fill_settings(&settings, 1);
	settings.hosts_max = 3;
	peer_node_start(&left, &settings, PORT_FIRST);
	peer_node_start_id(&right, 2, PORT_FIRST);
	add_peer(&left, &right);
	send_number(&left, 2, 1);
	assert_true(run_until(&left, &right, &right.received, 1));
	for (id = 3; id < 40; id++)
		assert_int_equal(
		    peer_links_add_host(&left.links, id, "127.0.0.1", 9),
		    ERROR_NONE);
	assert_int_equal(g_hash_table_size(left.links.peers), 3);
	send_number(&left, 2, 2);
	assert_true(run_until(&left, &right, &right.received, 2));
	assert_int_equal(left.disconnects, 0);
	peer_node_stop(&left);
	peer_node_stop(&right);
}

/* A full queue drops the oldest message of the least important channel first.
 * Consensus messages are never dropped singly: if nothing else can go, the
 * link is closed. */
static void
test_a_full_queue_drops_by_class(void **state)
{
	static const enum peer_channel pushed[] = {PEER_CHANNEL_CONSENSUS,
	    PEER_CHANNEL_FEED, PEER_CHANNEL_MEMBERSHIP, PEER_CHANNEL_LOAD,
	    PEER_CHANNEL_LOAD};
	static const struct {
		enum peer_channel channel;
		enum error_code result;
		enum peer_channel dropped;
	} steps[] = {
	    {PEER_CHANNEL_LOAD, ERROR_NONE, PEER_CHANNEL_LOAD},
	    {PEER_CHANNEL_MEMBERSHIP, ERROR_NONE, PEER_CHANNEL_LOAD},
	    {PEER_CHANNEL_CONSENSUS, ERROR_NONE, PEER_CHANNEL_LOAD},
	    {PEER_CHANNEL_LOAD, ERROR_TABLE_FULL, PEER_CHANNEL_LOAD},
	    {PEER_CHANNEL_CONSENSUS, ERROR_NONE, PEER_CHANNEL_MEMBERSHIP},
	    {PEER_CHANNEL_CONSENSUS, ERROR_NONE, PEER_CHANNEL_MEMBERSHIP},
	    {PEER_CHANNEL_CONSENSUS, ERROR_NONE, PEER_CHANNEL_FEED},
	    {PEER_CHANNEL_GRANT, ERROR_TABLE_FULL, PEER_CHANNEL_GRANT},
	    {PEER_CHANNEL_CONSENSUS, ERROR_CONNECTION, PEER_CHANNEL_CONSENSUS},
	};
	uint64_t dropped[PEER_CHANNEL_COUNT] = {0}, before;
	struct peer_queue queue;
	unsigned char body[10] = {0};
	size_t i;

	(void)state;
	peer_queue_init(&queue, 50, dropped);
	for (i = 0; i < 5; i++)
		assert_int_equal(
		    peer_queue_push(&queue, pushed[i], body, sizeof(body)),
		    ERROR_NONE);
	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		before = dropped[steps[i].dropped];
		assert_int_equal(peer_queue_push(&queue, steps[i].channel, body,
				     sizeof(body)),
		    steps[i].result);
		assert_int_equal(dropped[steps[i].dropped], before + 1);
		assert_true(queue.bytes <= queue.bytes_max);
	}
	peer_queue_clear(&queue);
	assert_int_equal(queue.bytes, 0);
}

/* Returns whether a host keeps the link that it dialled, of two that both hosts
 * dialled at once. @p is_own_second tells which of them is complete first. */
static bool
keeps_own_link(
    uint32_t own_id, uint32_t other_id, bool is_numbered, bool is_own_second)
{
	struct peer_links links = {.settings = {.host_id = own_id}};
	struct link own = {.links = &links,
	    .peer_id = other_id,
	    .is_dialled = true,
	    .is_numbered = is_numbered,
	    .generation = 1};
	struct link accepted = {
	    .links = &links, .peer_id = other_id, .is_numbered = is_numbered};

	/* Only a host that numbers its links gives one to that it dials. */
	accepted.generation = is_numbered ? 1 : 0;
	if (is_own_second)
		return peer_link_is_preferred(&own, &accepted);
	return !peer_link_is_preferred(&accepted, &own);
}

/* A host that does not number its links keeps the one that the lower id has
 * dialled. The other must do so as well, or both would be closed. */
static void
test_links_to_a_host_without_numbers_settle_on_the_same_one(void **state)
{
	bool is_numbered, is_own_second;
	uint32_t i;

	(void)state;
	for (i = 0; i < 4; i++) {
		is_numbered = i % 2 == 1;
		is_own_second = i / 2 == 1;
		assert_true(keeps_own_link(1, 2, is_numbered, is_own_second));
		assert_false(keeps_own_link(2, 1, is_numbered, is_own_second));
	}
}

/* Such a host dials again if it has lost its link, perhaps while this one still
 * waits for an answer on it. */
static void
test_a_silent_link_gives_way_to_one_without_a_number(void **state)
{
	struct peer_links links = {.settings = {.host_id = 1}};
	struct link silent = {.links = &links,
	    .peer_id = 2,
	    .is_dialled = true,
	    .generation = 3,
	    .is_suspected = true};
	struct link accepted = {.links = &links, .peer_id = 2};

	(void)state;
	assert_true(peer_link_is_preferred(&accepted, &silent));
	silent.is_suspected = false;
	assert_false(peer_link_is_preferred(&accepted, &silent));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_messages_arrive_in_order_when_both_dial),
	    cmocka_unit_test(test_a_link_is_made_without_a_message),
	    cmocka_unit_test(test_simultaneous_dials_settle_on_one_link),
	    cmocka_unit_test(test_a_restarted_host_is_dialled_again),
	    cmocka_unit_test(test_keys_and_cluster_are_checked),
	    cmocka_unit_test(test_unauthenticated_connections_are_refused),
	    cmocka_unit_test(test_unlinked_hosts_are_evicted_for_new_ones),
	    cmocka_unit_test(test_a_full_queue_drops_by_class),
	    cmocka_unit_test(
		test_links_to_a_host_without_numbers_settle_on_the_same_one),
	    cmocka_unit_test(
		test_a_silent_link_gives_way_to_one_without_a_number),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
