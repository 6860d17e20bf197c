/*
 * Making, replacing and closing links: from the dialled or accepted socket to
 * the link that carries the messages of a peer, and its end.
 */
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <sodium.h>

#include "base/event_log.h"
#include "transport/peer_link_parts.h"

/* Longest wait for a TCP ACK. It also decides when keepalive probes give up,
 * however many were sent. */
#define USER_TIMEOUT_MS	     6000
#define KEEPALIVE_IDLE_S     10 /* Idle time before the first probe. */
#define KEEPALIVE_INTERVAL_S 2	/* Time between two probes. */
#define ACCEPTS_MAX	     64 /* Most sockets accepted per call. */

static struct link *open_link(
    struct peer_links *links, int fd, enum link_state state);
static void on_handshake_timeout(void *context);
static void delay_dial(struct peer_links *links, struct peer *peer);
static void report_established(struct link *link, bool is_first, bool has_lost);
static void replace_link(struct link *older);
static void enable_keepalive(int fd);

enum error_code
peer_address_parse(const char *ip, uint16_t port, struct peer_address *address)
{
	const struct addrinfo hints = {.ai_socktype = SOCK_STREAM,
	    .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV};
	struct addrinfo *found;
	char service[8];

	snprintf(service, sizeof(service), "%u", port);
	if (getaddrinfo(ip, service, &hints, &found) != 0)
		return ERROR_INVALID_ARGUMENT;
	memcpy(&address->storage, found->ai_addr, found->ai_addrlen);
	address->size = found->ai_addrlen;
	freeaddrinfo(found);
	return ERROR_NONE;
}

void
peer_links_dial(struct peer_links *links, struct peer *peer)
{
	struct peer_address address;
	struct link *link;

	if (peer->ip[0] == '\0' ||
	    timer_now(links->timers) < peer->next_dial_ms)
		return;
	if (peer_address_parse(peer->ip, peer->port, &address) != ERROR_NONE ||
	    peer_links_dial_address(links, &address, &link) != ERROR_NONE) {
		delay_dial(links, peer);
		return;
	}
	link->peer_id = peer->id;
	link->generation = peer->generation + 1;
	peer->dial = link;
}

enum error_code
peer_links_dial_address(struct peer_links *links,
    const struct peer_address *address, struct link **link)
{
	int fd;

	fd = socket(address->storage.ss_family,
	    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ERROR_IO;
	links->counters.dials++;
	if (connect(fd, (const struct sockaddr *)&address->storage,
		address->size) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return ERROR_CONNECTION;
	}
	*link = open_link(links, fd, LINK_CONNECTING);
	return *link == NULL ? ERROR_TABLE_FULL : ERROR_NONE;
}

void
peer_links_accept(struct peer_links *links)
{
	int fd, i;

	for (i = 0; i < ACCEPTS_MAX; i++) {
		fd = accept(links->listen_fd, NULL, NULL);
		if (fd < 0)
			return;
		if (links->unauthenticated_count >= PEER_ACCEPTED_MAX ||
		    fcntl(fd, F_SETFL, O_NONBLOCK) != 0 ||
		    fcntl(fd, F_SETFD, FD_CLOEXEC) != 0) {
			links->counters.refused++;
			close(fd);
			continue;
		}
		links->counters.accepted++;
		(void)open_link(links, fd, LINK_AWAIT_HELLO);
	}
}

void
peer_link_establish(struct link *link)
{
	struct peer_links *links = link->links;
	struct link *older;
	struct peer *peer;
	bool is_first, has_lost;

	peer = peer_links_find(links, link->peer_id);
	if (peer == NULL)
		peer = peer_links_add(links, link->peer_id);
	if (peer == NULL) {
		peer_link_refuse(link, ERROR_TABLE_FULL);
		return;
	}
	links->unauthenticated_count--;
	link->state = LINK_ESTABLISHED;
	timer_cancel(links->timers, &link->timer);
	enable_keepalive(link->fd);
	if (peer->dial == link)
		peer->dial = NULL;
	peer->backoff_ms = 0;
	peer->linked_incarnation = link->incarnation;
	peer->is_numbering = link->is_numbered;
	older = peer->link;
	if (older != NULL && !peer_link_is_preferred(link, older)) {
		peer_link_flush(link);
		peer_link_close(link);
		return;
	}
	is_first = older == NULL;
	/* Of links that both hosts dialled at once, none has lost anything. */
	has_lost = is_first ? peer->lost_incarnation == link->incarnation
			    : older->is_suspected ||
				  (link->is_numbered &&
				      link->generation > older->generation);
	peer->link = link;
	peer->generation = MAX(peer->generation, link->generation);
	if (older != NULL)
		replace_link(older);
	else
		event_log_write(EVENT_PEER_CONNECTED, "peer=%u", peer->id);
	peer_link_flush(link);
	report_established(link, is_first, has_lost);
}

bool
peer_link_is_preferred(const struct link *link, const struct link *other)
{
	uint32_t dialer, other_dialer, own;

	if (link->incarnation != other->incarnation)
		return link->incarnation > other->incarnation;
	if (link->is_numbered && link->generation != other->generation)
		return link->generation > other->generation;
	if (!link->is_numbered && other->is_suspected)
		return true;
	own = link->links->settings.host_id;
	dialer = link->is_dialled ? own : link->peer_id;
	other_dialer = other->is_dialled ? own : other->peer_id;
	return dialer <= other_dialer;
}

void
peer_link_refuse(struct link *link, enum error_code error)
{
	struct peer_links *links = link->links;

	if (link->state == LINK_CLOSED)
		return;
	links->counters.refused++;
	event_log_write(EVENT_PEER_REFUSED, "peer=%u error=%s", link->peer_id,
	    error_name(error));
	peer_link_close(link);
	if (links->ops.on_refused != NULL)
		links->ops.on_refused(links->ops.context, link->peer_id, error);
}

/* Closes a link. Its memory is freed later by peer_links_free_closed(), because functions
 * further up the call stack may still use it. */
void
peer_link_close(struct link *link)
{
	struct peer_links *links = link->links;
	struct peer *peer;
	bool was_current;

	if (link->state == LINK_CLOSED)
		return;
	if (link->state != LINK_ESTABLISHED)
		links->unauthenticated_count--;
	link->state = LINK_CLOSED;
	timer_cancel(links->timers, &link->timer);
	handle_table_remove(&links->links, link->handle);
	close(link->fd);
	g_queue_push_tail(&links->closed_links, link);
	peer = peer_links_find(links, link->peer_id);
	if (peer == NULL)
		return;
	was_current = peer->link == link;
	if (was_current) {
		peer->link = NULL;
		peer->lost_incarnation = link->incarnation;
	}
	if (peer->dial == link)
		peer->dial = NULL;
	if (peer->link == NULL && peer->dial == NULL) {
		peer_queue_clear(&peer->queue);
		peer_links_collect_drops(links, peer);
		delay_dial(links, peer);
	}
	if (!was_current)
		return;
	event_log_write(EVENT_PEER_DISCONNECTED, "peer=%u", link->peer_id);
	if (links->ops.on_disconnected != NULL)
		links->ops.on_disconnected(links->ops.context, link->peer_id);
}

void
peer_links_free_closed(struct peer_links *links)
{
	struct link *link;

	while ((link = g_queue_pop_head(&links->closed_links)) != NULL) {
		frame_decoder_finish(&link->decoder);
		g_byte_array_unref(link->out);
		sodium_memzero(link, sizeof(*link));
		free(link);
	}
}

/* Creates a link for a socket. Owns the descriptor from here on and closes it
 * if creation fails. Returns NULL on failure. */
static struct link *
open_link(struct peer_links *links, int fd, enum link_state state)
{
	struct epoll_event event = {.events = EPOLLIN};
	struct link *link;
	int on;

	link = calloc(1, sizeof(*link));
	if (link == NULL)
		goto fail_fd;
	link->links = links;
	link->fd = fd;
	link->state = state;
	link->is_dialled = state == LINK_CONNECTING;
	if (handle_table_add(&links->links, &link->handle) != ERROR_NONE)
		goto fail_link;
	*(struct link **)handle_table_get(&links->links, link->handle) = link;
	on = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	link->wants_write = link->is_dialled;
	if (link->wants_write)
		event.events |= EPOLLOUT;
	event.data.u64 =
	    (uint64_t)link->handle.generation << 32 | link->handle.index;
	if (epoll_ctl(links->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0 ||
	    timer_subscribe_once(links->timers,
		links->settings.handshake_timeout_ms,
		(struct timer_callback){on_handshake_timeout, link},
		&link->timer) != ERROR_NONE)
		goto fail_handle;
	link->out = g_byte_array_new();
	links->unauthenticated_count++;
	return link;
fail_handle:
	handle_table_remove(&links->links, link->handle);
fail_link:
	free(link);
fail_fd:
	close(fd);
	return NULL;
}

static void
on_handshake_timeout(void *context)
{
	struct link *link = context;

	/* An unreachable host is not a failed handshake, so it isn't reported
	 * or counted as refused. */
	if (link->state == LINK_CONNECTING)
		peer_link_close(link);
	else
		peer_link_refuse(link, ERROR_TIMEOUT);
}

static void
delay_dial(struct peer_links *links, struct peer *peer)
{
	peer->backoff_ms *= 2;
	if (peer->backoff_ms < links->settings.backoff_min_ms)
		peer->backoff_ms = links->settings.backoff_min_ms;
	if (peer->backoff_ms > links->settings.backoff_max_ms)
		peer->backoff_ms = links->settings.backoff_max_ms;
	peer->next_dial_ms =
	    timer_now(links->timers) + peer->backoff_ms / 2 +
	    random_below(&links->random, (uint32_t)(peer->backoff_ms / 2 + 1));
}

static void
report_established(struct link *link, bool is_first, bool has_lost)
{
	const struct peer_link_ops *ops = &link->links->ops;

	if (is_first && link->state != LINK_CLOSED && ops->on_connected != NULL)
		ops->on_connected(
		    ops->context, link->peer_id, link->incarnation);
	if (has_lost && link->state != LINK_CLOSED &&
	    ops->on_reconnected != NULL)
		ops->on_reconnected(ops->context, link->peer_id);
}

/* Closes a link that another one to the same host has replaced. */
static void
replace_link(struct link *older)
{
	struct peer_links *links = older->links;

	if (older->is_suspected) {
		links->counters.silences++;
		event_log_write(EVENT_PEER_SILENT,
		    "peer=%u generation=%" PRIu64 " silent_ms=%" PRId64
		    " unacknowledged=%" PRIu64,
		    older->peer_id, older->generation,
		    timer_now(links->timers) - older->waiting_ms,
		    older->sent_bytes - older->acked_bytes);
	}
	peer_link_close(older);
}

/* Makes the kernel close the link if the network fails without an error:
 * keepalive probes cover an idle link, TCP_USER_TIMEOUT one with
 * unacknowledged data. */
static void
enable_keepalive(int fd)
{
	static const struct {
		int level, name, value;
	} options[] = {
	    {SOL_SOCKET, SO_KEEPALIVE, 1},
	    {IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S},
	    {IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S},
	    {IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(options); i++)
		setsockopt(fd, options[i].level, options[i].name,
		    &options[i].value, sizeof(options[i].value));
}
