#include "transport/peer_link.h"

#include <netdb.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

#include "base/event_log.h"
#include "transport/peer_link_parts.h"

#define QUEUE_BYTES_DEFAULT                                                    \
	(1024u * 1024) /* Largest size of one peer's send queue. */
#define BACKOFF_MIN_DEFAULT_MS	     100
#define BACKOFF_MAX_DEFAULT_MS	     5000
#define HANDSHAKE_TIMEOUT_DEFAULT_MS 3000
#define LISTEN_BACKLOG		     128 /* Length of the accept queue. */
#define EVENTS_MAX		     64	 /* Events per call. */

static void apply_defaults(struct peer_link_settings *settings);
static enum error_code open_listener(struct peer_links *links);
static void free_peer(gpointer pointer);
static bool evict_peer(struct peer_links *links);
static void port_send(void *context, uint32_t host_id,
    enum peer_channel channel, const void *body, size_t size);

enum error_code
peer_links_init(struct peer_links *links,
    const struct peer_link_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_link_ops ops)
{
	struct epoll_event event = {.events = EPOLLIN};
	enum error_code error;

	memset(links, 0, sizeof(*links));
	links->listen_fd = -1;
	links->epoll_fd = -1;
	if (settings->host_id == 0 || settings->key_count == 0 ||
	    settings->key_count > PEER_KEYS_MAX || ops.on_frame == NULL)
		return ERROR_INVALID_ARGUMENT;
	links->settings = *settings;
	apply_defaults(&links->settings);
	links->timers = timers;
	links->ops = ops;
	random_init(&links->random, seed);
	error = open_listener(links);
	if (error != ERROR_NONE)
		goto fail;
	links->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	error = ERROR_IO;
	/* Events of the listening socket carry the zero handle, which no link
	 * has. */
	if (links->epoll_fd < 0 || epoll_ctl(links->epoll_fd, EPOLL_CTL_ADD,
				       links->listen_fd, &event) != 0)
		goto fail;
	handle_table_init(&links->links, sizeof(struct link *),
	    2 * links->settings.hosts_max + PEER_ACCEPTED_MAX);
	links->peers = g_hash_table_new_full(NULL, NULL, NULL, free_peer);
	g_queue_init(&links->closed_links);
	return peer_liveness_init(links);
fail:
	if (links->epoll_fd >= 0)
		close(links->epoll_fd);
	if (links->listen_fd >= 0)
		close(links->listen_fd);
	sodium_memzero(links, sizeof(*links));
	return error;
}

void
peer_links_finish(struct peer_links *links)
{
	struct handle handle = {0};

	if (links->peers == NULL)
		return;
	peer_liveness_finish(links);
	links->ops.on_disconnected = NULL;
	while (handle_table_next(&links->links, &handle))
		peer_link_close(
		    *(struct link **)handle_table_get(&links->links, handle));
	peer_links_free_closed(links);
	g_hash_table_destroy(links->peers);
	handle_table_finish(&links->links);
	close(links->epoll_fd);
	close(links->listen_fd);
	sodium_memzero(links, sizeof(*links));
}

enum error_code
peer_links_add_host(
    struct peer_links *links, uint32_t host_id, const char *ip, uint16_t port)
{
	struct peer_address address;
	struct peer *peer;

	if (host_id == 0 || host_id == links->settings.host_id ||
	    strlen(ip) >= PEER_IP_SIZE_MAX ||
	    peer_address_parse(ip, port, &address) != ERROR_NONE)
		return ERROR_INVALID_ARGUMENT;
	peer = peer_links_find(links, host_id);
	if (peer == NULL)
		peer = peer_links_add(links, host_id);
	if (peer == NULL)
		return ERROR_TABLE_FULL;
	if (strcmp(peer->ip, ip) != 0 || peer->port != port)
		peer->next_dial_ms = INT64_MIN;
	snprintf(peer->ip, sizeof(peer->ip), "%s", ip);
	peer->port = port;
	return ERROR_NONE;
}

enum error_code
peer_links_dial_seed(struct peer_links *links, const char *ip, uint16_t port)
{
	struct peer_address address;
	struct link *link;

	if (peer_address_parse(ip, port, &address) != ERROR_NONE)
		return ERROR_INVALID_ARGUMENT;
	if (links->unauthenticated_count >= PEER_ACCEPTED_MAX)
		return ERROR_TABLE_FULL;
	return peer_links_dial_address(links, &address, &link);
}

bool
peer_links_is_numbering(
    const struct peer_links *links, uint32_t host_id, uint64_t incarnation)
{
	return peer_links_was_linked(links, host_id, incarnation) &&
	       peer_links_find(links, host_id)->is_numbering;
}

bool
peer_links_was_linked(
    const struct peer_links *links, uint32_t host_id, uint64_t incarnation)
{
	const struct peer *peer;

	peer = peer_links_find(links, host_id);
	return peer != NULL && incarnation != 0 &&
	       peer->linked_incarnation == incarnation;
}

bool
peer_links_meet(struct peer_links *links, uint32_t host_id)
{
	struct peer *peer;

	peer = peer_links_find(links, host_id);
	if (peer == NULL || peer->link != NULL || peer->dial != NULL)
		return false;
	peer_links_dial(links, peer);
	return peer->dial != NULL;
}

void
peer_links_send(struct peer_links *links, uint32_t host_id,
    enum peer_channel channel, const void *body, size_t size)
{
	enum error_code error;
	struct peer *peer;

	if (channel < PEER_CHANNEL_MEMBERSHIP || channel >= PEER_CHANNEL_COUNT)
		return;
	peer = peer_links_find(links, host_id);
	if (peer == NULL || size > FRAME_BODY_SIZE_MAX) {
		links->counters.channels[channel].dropped++;
		return;
	}
	peer->last_used_ms = timer_now(links->timers);
	if (peer->link == NULL && peer->dial == NULL)
		peer_links_dial(links, peer);
	if (peer->link == NULL && peer->dial == NULL) {
		links->counters.channels[channel].dropped++;
		return;
	}
	error = peer_queue_push(&peer->queue, channel, body, size);
	if (error == ERROR_CONNECTION) {
		links->counters.overflows++;
		event_log_write(EVENT_PEER_QUEUE_OVERFLOWED,
		    "peer=%u, link closed: no room for a consensus message",
		    host_id);
		peer_queue_clear(&peer->queue);
		if (peer->dial != NULL)
			peer_link_close(peer->dial);
		if (peer->link != NULL)
			peer_link_close(peer->link);
	}
	peer_links_collect_drops(links, peer);
	if (peer->link != NULL && !peer->link->wants_write)
		peer_link_flush(peer->link);
}

struct peer_port
peer_links_port(struct peer_links *links)
{
	return (struct peer_port){port_send, links};
}

int
peer_links_fd(const struct peer_links *links)
{
	return links->epoll_fd;
}

void
peer_links_handle(struct peer_links *links)
{
	struct epoll_event events[EVENTS_MAX];
	struct handle handle;
	struct link **link;
	int count, i;

	peer_links_free_closed(links);
	count = epoll_wait(links->epoll_fd, events, EVENTS_MAX, 0);
	for (i = 0; i < count; i++) {
		handle.index = (uint32_t)events[i].data.u64;
		handle.generation = (uint32_t)(events[i].data.u64 >> 32);
		if (handle.generation == 0) {
			peer_links_accept(links);
			continue;
		}
		link = handle_table_get(&links->links, handle);
		if (link != NULL)
			peer_link_handle(*link, events[i].events);
	}
	peer_links_free_closed(links);
}

uint16_t
peer_links_listen_port(const struct peer_links *links)
{
	return links->listen_port;
}

struct peer *
peer_links_find(const struct peer_links *links, uint32_t host_id)
{
	return g_hash_table_lookup(links->peers, GUINT_TO_POINTER(host_id));
}

struct peer *
peer_links_add(struct peer_links *links, uint32_t host_id)
{
	struct peer *peer;

	if (g_hash_table_size(links->peers) >= links->settings.hosts_max &&
	    !evict_peer(links))
		return NULL;
	peer = calloc(1, sizeof(*peer));
	if (peer == NULL)
		return NULL;
	peer->id = host_id;
	peer->last_used_ms = timer_now(links->timers);
	peer->next_dial_ms = INT64_MIN;
	peer_queue_init(
	    &peer->queue, links->settings.queue_bytes_max, peer->dropped);
	g_hash_table_insert(links->peers, GUINT_TO_POINTER(host_id), peer);
	return peer;
}

void
peer_links_collect_drops(struct peer_links *links, struct peer *peer)
{
	int i;

	for (i = 0; i < PEER_CHANNEL_COUNT; i++) {
		links->counters.channels[i].dropped += peer->dropped[i];
		peer->dropped[i] = 0;
	}
}

static void
apply_defaults(struct peer_link_settings *settings)
{
	if (settings->hosts_max == 0)
		settings->hosts_max = HOSTS_MAX;
	if (settings->queue_bytes_max == 0)
		settings->queue_bytes_max = QUEUE_BYTES_DEFAULT;
	if (settings->backoff_min_ms == 0)
		settings->backoff_min_ms = BACKOFF_MIN_DEFAULT_MS;
	if (settings->backoff_max_ms == 0)
		settings->backoff_max_ms = BACKOFF_MAX_DEFAULT_MS;
	if (settings->handshake_timeout_ms == 0)
		settings->handshake_timeout_ms = HANDSHAKE_TIMEOUT_DEFAULT_MS;
}

static enum error_code
open_listener(struct peer_links *links)
{
	struct peer_address address;
	char service[8];
	int on;

	if (peer_address_parse(links->settings.listen_ip,
		links->settings.listen_port, &address) != ERROR_NONE)
		return ERROR_INVALID_ARGUMENT;
	links->listen_fd = socket(address.storage.ss_family,
	    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (links->listen_fd < 0)
		return ERROR_IO;
	on = 1;
	setsockopt(links->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(links->listen_fd, (struct sockaddr *)&address.storage,
		address.size) != 0 ||
	    listen(links->listen_fd, LISTEN_BACKLOG) != 0)
		return ERROR_IO;
	address.size = sizeof(address.storage);
	if (getsockname(links->listen_fd, (struct sockaddr *)&address.storage,
		&address.size) != 0 ||
	    getnameinfo((struct sockaddr *)&address.storage, address.size, NULL,
		0, service, sizeof(service), NI_NUMERICSERV) != 0)
		return ERROR_IO;
	links->listen_port = (uint16_t)strtoul(service, NULL, 10);
	return ERROR_NONE;
}

static void
free_peer(gpointer pointer)
{
	struct peer *peer = pointer;

	peer_queue_clear(&peer->queue);
	free(peer);
}

/* Removes the least recently used peer without a link. A replaced host returns
 * under a new id, so ids that are no longer in use would fill the table. */
static bool
evict_peer(struct peer_links *links)
{
	struct peer *peer, *least_recent;
	GHashTableIter iterator;
	gpointer value;

	least_recent = NULL;
	g_hash_table_iter_init(&iterator, links->peers);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		peer = value;
		if (peer->link == NULL && peer->dial == NULL &&
		    (least_recent == NULL ||
			peer->last_used_ms < least_recent->last_used_ms))
			least_recent = peer;
	}
	return least_recent != NULL && g_hash_table_remove(links->peers,
					   GUINT_TO_POINTER(least_recent->id));
}

static void
port_send(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	peer_links_send(context, host_id, channel, body, size);
}
