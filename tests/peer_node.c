#include "peer_node.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define PORT_COUNT 100 /* Ports that are tried. */

static void on_received(void *context, uint32_t from_host,
    enum peer_channel channel, const void *body, size_t size);
static void on_connected(void *context, uint32_t host_id, uint64_t incarnation);
static void on_reconnected(void *context, uint32_t host_id);
static void on_disconnected(void *context, uint32_t host_id);
static void on_refused(void *context, uint32_t host_id, enum error_code error);

void
peer_node_fill_settings(struct peer_link_settings *settings, uint32_t id)
{
	memset(settings, 0, sizeof(*settings));
	settings->host_id = id;
	settings->incarnation = 1000 + id;
	snprintf(settings->cluster_id, NAME_SIZE_MAX, "test");
	snprintf(settings->listen_ip, PEER_IP_SIZE_MAX, "127.0.0.1");
	settings->key_count = 1;
	settings->keys[0].id = 1;
	memset(settings->keys[0].key, 7, FRAME_KEY_SIZE);
}

void
peer_node_start(struct peer_node *node, struct peer_link_settings *settings,
    uint16_t port_first)
{
	enum error_code error;
	uint16_t port;

	memset(node, 0, sizeof(*node));
	node->id = settings->host_id;
	timer_init(&node->timers, 64, 0);
	error = ERROR_IO;
	for (port = port_first;
	     port < port_first + PORT_COUNT && error != ERROR_NONE; port++) {
		settings->listen_port = port;
		error = peer_links_init(&node->links, settings, &node->timers,
		    node->id,
		    (struct peer_link_ops){on_received, on_connected,
			on_reconnected, on_disconnected, on_refused, node});
	}
	assert_int_equal(error, ERROR_NONE);
}

void
peer_node_start_id(struct peer_node *node, uint32_t id, uint16_t port_first)
{
	struct peer_link_settings settings;

	peer_node_fill_settings(&settings, id);
	peer_node_start(node, &settings, port_first);
}

void
peer_node_add_peer(struct peer_node *node, uint32_t id, uint16_t port)
{
	assert_int_equal(
	    peer_links_add_host(&node->links, id, "127.0.0.1", port),
	    ERROR_NONE);
}

void
peer_node_step(struct peer_node *node)
{
	timer_advance(&node->timers, timer_now(&node->timers) + 1);
	peer_links_handle(&node->links);
}

void
peer_node_stop(struct peer_node *node)
{
	peer_links_finish(&node->links);
	timer_finish(&node->timers);
}

static void
on_received(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct peer_node *node = context;
	uint32_t number;

	(void)from_host;
	(void)channel;
	assert_true(size >= sizeof(number));
	memcpy(&number, body, sizeof(number));
	if (number <= node->last_number)
		node->out_of_order++;
	node->last_number = number;
	node->received++;
}

static void
on_connected(void *context, uint32_t host_id, uint64_t incarnation)
{
	(void)host_id;
	(void)incarnation;
	((struct peer_node *)context)->connects++;
}

static void
on_reconnected(void *context, uint32_t host_id)
{
	(void)host_id;
	((struct peer_node *)context)->reconnects++;
}

static void
on_disconnected(void *context, uint32_t host_id)
{
	(void)host_id;
	((struct peer_node *)context)->disconnects++;
}

static void
on_refused(void *context, uint32_t host_id, enum error_code error)
{
	(void)host_id;
	((struct peer_node *)context)->refusal = error;
}
