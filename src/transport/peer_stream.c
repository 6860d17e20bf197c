/*
 * The bytes of a link: frames that are received, and frames that are written
 * as the socket takes them.
 */
#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>

#include "transport/peer_link_parts.h"

#define READ_SIZE	65536 /* Bytes requested by one recv(). */
#define READS_MAX	4     /* Most reads of a link per event. */
#define OUT_BATCH_BYTES 65536 /* Frames batched for one send(). */

static void read_link(struct link *link);
static void handle_frames(struct link *link);
static void handle_frame(struct link *link, const struct frame *frame);
static void fill_out_buffer(struct link *link, struct peer *peer);
static void set_write_interest(struct link *link, bool wants_write);

void
peer_link_handle(struct link *link, uint32_t events)
{
	socklen_t size;
	int failure;

	if (link->state == LINK_CONNECTING) {
		size = sizeof(failure);
		if (getsockopt(
			link->fd, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 ||
		    failure != 0) {
			peer_link_close(link);
			return;
		}
		peer_handshake_begin(link);
		return;
	}
	if ((events & EPOLLOUT) != 0)
		peer_link_flush(link);
	if (link->state != LINK_CLOSED &&
	    (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		read_link(link);
}

void
peer_link_append(
    struct link *link, uint8_t channel, const void *body, size_t size)
{
	const struct peer_link_settings *settings = &link->links->settings;
	struct frame frame = {.channel = channel,
	    .sender = settings->host_id,
	    .incarnation = settings->incarnation,
	    .sequence = link->send_sequence++,
	    .body = body,
	    .size = size};
	guint at;

	at = link->out->len;
	g_byte_array_set_size(link->out, at + (guint)frame_size(size));
	frame_write(link->out->data + at, &frame,
	    link->has_send_key ? link->send_key : NULL);
}

void
peer_link_flush(struct link *link)
{
	struct peer *peer;
	ssize_t size;

	peer = peer_links_find(link->links, link->peer_id);
	for (;;) {
		if (peer != NULL && peer->link == link)
			fill_out_buffer(link, peer);
		if (link->out_sent == link->out->len)
			break;
		size = send(link->fd, link->out->data + link->out_sent,
		    link->out->len - link->out_sent, MSG_NOSIGNAL);
		if (size < 0 && errno == EINTR)
			continue;
		if (size < 0 && errno == EAGAIN) {
			set_write_interest(link, true);
			return;
		}
		if (size < 0) {
			peer_link_close(link);
			return;
		}
		link->out_sent += (size_t)size;
		peer_liveness_note_sent(link, (size_t)size);
		if (link->out_sent < link->out->len)
			continue;
		g_byte_array_set_size(link->out, 0);
		link->out_sent = 0;
	}
	set_write_interest(link, false);
}

static void
read_link(struct link *link)
{
	unsigned char buffer[READ_SIZE];
	enum error_code error;
	ssize_t size;
	int i;

	for (i = 0; i < READS_MAX && link->state != LINK_CLOSED; i++) {
		size = recv(link->fd, buffer, sizeof(buffer), 0);
		if (size < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (size <= 0) {
			peer_link_close(link);
			return;
		}
		error =
		    frame_decoder_feed(&link->decoder, buffer, (size_t)size);
		if (error != ERROR_NONE) {
			peer_link_refuse(link, error);
			return;
		}
		handle_frames(link);
		if ((size_t)size < sizeof(buffer))
			return;
	}
}

static void
handle_frames(struct link *link)
{
	enum error_code error;
	struct frame frame;

	while (link->state != LINK_CLOSED) {
		error = frame_decoder_next(&link->decoder, &frame);
		if (error == ERROR_NOT_FOUND)
			return;
		if (error != ERROR_NONE) {
			peer_link_refuse(link, error);
			return;
		}
		handle_frame(link, &frame);
	}
}

static void
handle_frame(struct link *link, const struct frame *frame)
{
	struct peer_channel_counters *counters;
	struct peer_links *links = link->links;

	if (!link->decoder.has_key) {
		peer_handshake_receive(link, frame);
		return;
	}
	if (frame->sender != link->peer_id ||
	    frame->incarnation != link->incarnation) {
		peer_link_refuse(link, ERROR_UNAUTHENTICATED);
		return;
	}
	if (link->state == LINK_AWAIT_READY) {
		peer_link_establish(link);
		return;
	}
	if (frame->channel == FRAME_CHANNEL_CONTROL)
		return;
	counters = &links->counters.channels[frame->channel];
	counters->frames_in++;
	counters->bytes_in += frame_size(frame->size);
	links->ops.on_frame(links->ops.context, link->peer_id,
	    (enum peer_channel)frame->channel, frame->body, frame->size);
}

static void
fill_out_buffer(struct link *link, struct peer *peer)
{
	struct peer_channel_counters *counters;
	struct peer_queue_item *item;

	while (link->out->len < OUT_BATCH_BYTES) {
		item = peer_queue_pop(&peer->queue);
		if (item == NULL)
			return;
		peer_link_append(
		    link, (uint8_t)item->channel, item->body, item->size);
		counters = &link->links->counters.channels[item->channel];
		counters->frames_out++;
		counters->bytes_out += frame_size(item->size);
		free(item);
	}
}

static void
set_write_interest(struct link *link, bool wants_write)
{
	struct epoll_event event = {.events = EPOLLIN};

	if (link->wants_write == wants_write)
		return;
	link->wants_write = wants_write;
	if (wants_write)
		event.events |= EPOLLOUT;
	event.data.u64 =
	    (uint64_t)link->handle.generation << 32 | link->handle.index;
	epoll_ctl(link->links->epoll_fd, EPOLL_CTL_MOD, link->fd, &event);
}
