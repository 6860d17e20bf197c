/*
 * Tests of connections between hosts that fall silent for good while new ones
 * work, through proxies on loopback: messages flow again within a bound, and no
 * host that is only frozen loses its connection.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <sodium.h>

#include "peer_node.h"

#define PORT_FIRST    21600
#define PAIRS_MAX     16
#define BUFFER_SIZE   65536
#define RECEIVE_SIZE  2048 /* Small, so that a silent proxy soon stops ACKs. */
#define MESSAGE_SIZE  6000
#define SEND_EVERY_MS 10
#define CALM_MS	      300
#define SETTLE_MS     INT64_C(3000)
#define FROZEN_MS     1000
#define DRAIN_MAX_MS  30000
/* Time from the beginning of the silence until messages arrive again. */
#define SILENCE_MAX_MS 800

/* A connection through a proxy: from the dialling host, and to the other. */
struct pair {
	int from, to;
	bool is_forward_silent, is_backward_silent;
};

/* A proxy in front of a host's port. */
struct proxy {
	int listen_fd;
	uint16_t port, target_port;
	struct pair pairs[PAIRS_MAX];
	unsigned int pair_count;
};

static void
start_proxy(struct proxy *proxy, const struct peer_node *target)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	int receive_size = RECEIVE_SIZE;

	memset(proxy, 0, sizeof(*proxy));
	proxy->target_port = peer_links_listen_port(&target->links);
	proxy->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(proxy->listen_fd, SOL_SOCKET, SO_RCVBUF, &receive_size,
	    sizeof(receive_size));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
	    bind(proxy->listen_fd, (struct sockaddr *)&address, size), 0);
	assert_int_equal(listen(proxy->listen_fd, PAIRS_MAX), 0);
	getsockname(proxy->listen_fd, (struct sockaddr *)&address, &size);
	proxy->port = ntohs(address.sin_port);
}

static void
stop_proxy(struct proxy *proxy)
{
	unsigned int i;

	for (i = 0; i < proxy->pair_count; i++) {
		close(proxy->pairs[i].from);
		close(proxy->pairs[i].to);
	}
	close(proxy->listen_fd);
}

static void
accept_pair(struct proxy *proxy)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int receive_size = RECEIVE_SIZE;
	struct pair *pair;
	int fd;

	fd = accept(proxy->listen_fd, NULL, NULL);
	if (fd < 0 || proxy->pair_count == PAIRS_MAX)
		return;
	pair = &proxy->pairs[proxy->pair_count++];
	pair->from = fd;
	pair->to = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(pair->to, SOL_SOCKET, SO_RCVBUF, &receive_size,
	    sizeof(receive_size));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(proxy->target_port);
	assert_int_equal(
	    connect(pair->to, (struct sockaddr *)&address, sizeof(address)), 0);
	fcntl(pair->from, F_SETFL, O_NONBLOCK);
	fcntl(pair->to, F_SETFL, O_NONBLOCK);
}

static void
forward(int from, int to)
{
	char buffer[BUFFER_SIZE];
	ssize_t size;

	size = recv(from, buffer, sizeof(buffer), 0);
	if (size > 0)
		(void)!send(to, buffer, (size_t)size, MSG_NOSIGNAL);
	else if (size == 0)
		shutdown(to, SHUT_WR);
}

static void
run_proxy(struct proxy *proxy)
{
	struct pair *pair;
	unsigned int i;

	accept_pair(proxy);
	for (i = 0; i < proxy->pair_count; i++) {
		pair = &proxy->pairs[i];
		if (!pair->is_forward_silent)
			forward(pair->from, pair->to);
		if (!pair->is_backward_silent)
			forward(pair->to, pair->from);
	}
}

/* Two hosts, each reached through a proxy. */
struct scene {
	struct peer_node nodes[2];
	struct proxy proxies[2]; /* In front of the node of the same index. */
	uint32_t last_number;
	bool is_sending[2], is_frozen[2];
};

static void
start_scene(struct scene *scene)
{
	int i;

	memset(scene, 0, sizeof(*scene));
	for (i = 0; i < 2; i++) {
		peer_node_start_id(
		    &scene->nodes[i], (uint32_t)i + 1, PORT_FIRST);
		start_proxy(&scene->proxies[i], &scene->nodes[i]);
	}
	for (i = 0; i < 2; i++)
		peer_node_add_peer(&scene->nodes[i], 2 - (uint32_t)i,
		    scene->proxies[1 - i].port);
}

static void
stop_scene(struct scene *scene)
{
	int i;

	for (i = 0; i < 2; i++) {
		peer_node_stop(&scene->nodes[i]);
		stop_proxy(&scene->proxies[i]);
	}
}

static void
send_message(struct scene *scene, int from)
{
	char body[MESSAGE_SIZE] = {0};
	uint32_t number = ++scene->last_number;

	memcpy(body, &number, sizeof(number));
	peer_links_send(&scene->nodes[from].links, 2 - (uint32_t)from,
	    PEER_CHANNEL_COMMAND, body, sizeof(body));
}

static void
run(struct scene *scene, int64_t duration_ms)
{
	struct peer_node *node;
	int64_t ms;
	int i;

	for (ms = 0; ms < duration_ms; ms++) {
		for (i = 0; i < 2; i++) {
			node = &scene->nodes[i];
			if (scene->is_sending[i] && ms % SEND_EVERY_MS == 0 &&
			    !scene->is_frozen[i])
				send_message(scene, i);
			run_proxy(&scene->proxies[i]);
			if (!scene->is_frozen[i])
				peer_node_step(node);
		}
		/* The kernel's own timers run in real time. */
		usleep(1000);
	}
}

/* Silences all present connections, one way or both: in the direction from the
 * first node, to it, or both. */
static void
silence(struct scene *scene, bool from_first, bool to_first)
{
	struct pair *pair;
	unsigned int i;
	int k;

	for (k = 0; k < 2; k++) {
		for (i = 0; i < scene->proxies[k].pair_count; i++) {
			pair = &scene->proxies[k].pairs[i];
			/* Through the proxy of the second node the first one
			 * dials. */
			pair->is_forward_silent |=
			    k == 1 ? from_first : to_first;
			pair->is_backward_silent |=
			    k == 1 ? to_first : from_first;
		}
	}
}

/* Runs until each node gets what the other sent after the call. */
static int64_t
time_until_messages_pass(struct scene *scene)
{
	uint32_t number = scene->last_number;
	int64_t ms;

	for (ms = 0; ms < SETTLE_MS; ms += SEND_EVERY_MS) {
		if ((!scene->is_sending[0] ||
			scene->nodes[1].last_number > number) &&
		    (!scene->is_sending[1] ||
			scene->nodes[0].last_number > number))
			break;
		run(scene, SEND_EVERY_MS);
	}
	return ms;
}

static void
test_messages_pass_again_soon_after_a_silence(void **state)
{
	static const struct {
		bool sends[2], from_first, to_first;
	} cases[] = {
	    {{true, true}, true, true},
	    {{true, false}, true, true},
	    {{false, true}, true, true},
	    {{true, true}, true, false},
	    {{true, true}, false, true},
	    {{true, false}, true, false},
	    {{false, true}, false, true},
	};
	struct scene scene;
	int64_t ms;
	size_t i;
	int round;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		start_scene(&scene);
		memcpy(scene.is_sending, cases[i].sends, sizeof(bool[2]));
		run(&scene, CALM_MS);
		/* The second time other connections fall silent. */
		for (round = 0; round < 2; round++) {
			silence(&scene, cases[i].from_first, cases[i].to_first);
			ms = time_until_messages_pass(&scene);
			if (ms > SILENCE_MAX_MS)
				fail_msg("case %u, silence %d: %d ms",
				    (unsigned int)i, round, (int)ms);
			run(&scene, CALM_MS);
		}
		stop_scene(&scene);
	}
}

/* Both hosts must have one connection afterwards, and the same one. */
static void
test_one_connection_is_left_after_a_silence(void **state)
{
	struct scene scene;

	(void)state;
	start_scene(&scene);
	scene.is_sending[0] = scene.is_sending[1] = true;
	run(&scene, CALM_MS);
	silence(&scene, true, true);
	run(&scene, SETTLE_MS);
	assert_int_equal(scene.nodes[0].links.links.item_count, 1);
	assert_int_equal(scene.nodes[1].links.links.item_count, 1);
	assert_in_range(time_until_messages_pass(&scene), 0, 2 * SEND_EVERY_MS);
	stop_scene(&scene);
}

/* A frozen host acknowledges nothing either, but a new connection to it would
 * not work better. Nothing may be lost. */
static void
test_frozen_host_keeps_its_connection(void **state)
{
	struct scene scene;
	int frozen, i;

	(void)state;
	for (frozen = 0; frozen < 2; frozen++) {
		start_scene(&scene);
		scene.is_sending[1 - frozen] = true;
		run(&scene, CALM_MS);
		scene.is_frozen[frozen] = true;
		run(&scene, FROZEN_MS);
		scene.is_frozen[frozen] = false;
		run(&scene, CALM_MS);
		scene.is_sending[1 - frozen] = false;
		for (i = 0; i < DRAIN_MAX_MS / CALM_MS &&
			    scene.nodes[frozen].received < scene.last_number;
		     i++)
			run(&scene, CALM_MS);
		assert_int_equal(
		    scene.nodes[frozen].received, scene.last_number);
		assert_int_equal(scene.nodes[frozen].out_of_order, 0);
		assert_int_equal(scene.nodes[0].disconnects, 0);
		assert_int_equal(scene.nodes[1].disconnects, 0);
		stop_scene(&scene);
	}
}

/* After a silence both hosts learn that messages may have been lost. */
static void
test_both_hosts_are_told_of_a_replaced_connection(void **state)
{
	struct scene scene;
	int i;

	(void)state;
	start_scene(&scene);
	scene.is_sending[0] = true;
	run(&scene, 2 * SETTLE_MS);
	assert_int_equal(scene.nodes[0].reconnects, 0);
	silence(&scene, true, true);
	run(&scene, SETTLE_MS);
	for (i = 0; i < 2; i++)
		assert_int_equal(scene.nodes[i].reconnects, 1);
	stop_scene(&scene);
}

/* The same after a reset; a first connection has missed nothing. */
static void
test_both_hosts_are_told_of_a_connection_made_again(void **state)
{
	struct scene scene;
	unsigned int i;
	int k;

	(void)state;
	start_scene(&scene);
	scene.is_sending[0] = scene.is_sending[1] = true;
	run(&scene, CALM_MS);
	for (k = 0; k < 2; k++) {
		assert_int_equal(scene.nodes[k].reconnects, 0);
		for (i = 0; i < scene.proxies[k].pair_count; i++) {
			shutdown(scene.proxies[k].pairs[i].from, SHUT_RDWR);
			shutdown(scene.proxies[k].pairs[i].to, SHUT_RDWR);
		}
	}
	run(&scene, SETTLE_MS);
	for (k = 0; k < 2; k++)
		assert_in_range(scene.nodes[k].reconnects, 1, 2);
	assert_in_range(time_until_messages_pass(&scene), 0, 2 * SEND_EVERY_MS);
	stop_scene(&scene);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_messages_pass_again_soon_after_a_silence),
	    cmocka_unit_test(test_one_connection_is_left_after_a_silence),
	    cmocka_unit_test(test_frozen_host_keeps_its_connection),
	    cmocka_unit_test(test_both_hosts_are_told_of_a_replaced_connection),
	    cmocka_unit_test(
		test_both_hosts_are_told_of_a_connection_made_again),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
