#include "transport/tcp_link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

/* Bytes requested by one read. A pass of the loop makes up to 32 reads of a link
 * before it serves others. */
#define READ_SIZE 16384
/* Longest wait for a TCP ACK. It also decides when keepalive probes give up,
 * however many were sent. */
#define USER_TIMEOUT_MS	     2500
#define KEEPALIVE_IDLE_S     1 /* Idle time before the first probe. */
#define KEEPALIVE_INTERVAL_S 1 /* Time between two probes. */

/* A queued write with the bytes that the socket did not accept at once. */
struct pending_write {
	uv_write_t request;
	struct tcp_link *link;
	char data[];
};

/* Read buffer shared by all links of a thread; on_received() consumes the
 * bytes before the next read. */
static _Thread_local char read_buffer[READ_SIZE];

static void init_link(struct tcp_link *link, const struct tcp_link_ops *ops);
static void start_reading(struct tcp_link *link);
static void on_connected(uv_connect_t *request, int status);
static void provide_buffer(
    uv_handle_t *handle, size_t wanted, uv_buf_t *buffer);
static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer);
static void note_write_error(struct tcp_link *link, int status);
static bool was_reset(struct tcp_link *link);
static void on_written(uv_write_t *request, int status);
static void on_shutdown(uv_shutdown_t *request, int status);
static void on_closed(uv_handle_t *handle);

enum error_code
tcp_link_accept(struct tcp_link *link, uv_stream_t *listener,
    const struct tcp_link_ops *ops)
{
	init_link(link, ops);
	uv_tcp_init(listener->loop, &link->tcp);
	link->tcp.data = link;
	if (uv_accept(listener, (uv_stream_t *)&link->tcp) != 0) {
		tcp_link_close(link);
		return ERROR_CONNECTION;
	}
	start_reading(link);
	return ERROR_NONE;
}

enum error_code
tcp_link_connect(struct tcp_link *link, uv_loop_t *loop,
    const struct sockaddr_in *address, const struct tcp_link_ops *ops)
{
	init_link(link, ops);
	uv_tcp_init(loop, &link->tcp);
	link->tcp.data = link;
	link->connect.data = link;
	link->is_connecting = true;
	if (uv_tcp_connect(&link->connect, &link->tcp,
		(const struct sockaddr *)address, on_connected) != 0) {
		link->is_connecting = false;
		tcp_link_close(link);
		return ERROR_CONNECTION;
	}
	return ERROR_NONE;
}

void
tcp_link_write(struct tcp_link *link, const void *data, size_t size)
{
	struct pending_write *pending;
	uv_buf_t buffer;
	int written;

	if (link->is_closing || size == 0)
		return;
	buffer = uv_buf_init((char *)data, (unsigned int)size);
	written = uv_try_write((uv_stream_t *)&link->tcp, &buffer, 1);
	if (written == UV_EAGAIN)
		written = 0;
	/* After an error, the next read reports that the connection has ended. */
	note_write_error(link, written);
	if (written < 0 || (size_t)written == size)
		return;
	size -= (size_t)written;
	pending = g_malloc(sizeof(*pending) + size);
	pending->link = link;
	memcpy(pending->data, (const char *)data + written, size);
	buffer = uv_buf_init(pending->data, (unsigned int)size);
	if (uv_write(&pending->request, (uv_stream_t *)&link->tcp, &buffer, 1,
		on_written) != 0) {
		g_free(pending);
		return;
	}
	/* libuv has tried once more. It calls on_written() in a later step,
	 * before which the end may be read, so its field is looked at now. */
	note_write_error(link, pending->request.error);
}

size_t
tcp_link_queued(const struct tcp_link *link)
{
	return link->tcp.write_queue_size;
}

bool
tcp_link_has_input(const struct tcp_link *link)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)&link->tcp, &fd) != 0)
		return true;
	return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       (errno != EAGAIN && errno != EWOULDBLOCK);
}

void
tcp_link_end(struct tcp_link *link)
{
	if (link->is_closing)
		return;
	if (uv_shutdown(
		&link->shutdown, (uv_stream_t *)&link->tcp, on_shutdown) != 0)
		tcp_link_close(link);
}

void
tcp_link_close(struct tcp_link *link)
{
	if (link->is_closing)
		return;
	link->is_closing = true;
	uv_close((uv_handle_t *)&link->tcp, on_closed);
}

void
tcp_link_reset(struct tcp_link *link)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	uv_os_fd_t fd;

	if (link->is_closing)
		return;
	if (uv_fileno((uv_handle_t *)&link->tcp, &fd) == 0)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	tcp_link_close(link);
}

static void
init_link(struct tcp_link *link, const struct tcp_link_ops *ops)
{
	memset(link, 0, sizeof(*link));
	link->ops = *ops;
}

/* Starts to read and sets the options that end the link if the peer vanishes
 * without closing it. Errors of the options are ignored, because the time
 * limits of the owner still apply. */
static void
start_reading(struct tcp_link *link)
{
	int timeout_ms = USER_TIMEOUT_MS, interval_s = KEEPALIVE_INTERVAL_S;
	uv_os_fd_t fd;

	(void)uv_tcp_nodelay(&link->tcp, 1);
	(void)uv_tcp_keepalive(&link->tcp, 1, KEEPALIVE_IDLE_S);
	if (uv_fileno((uv_handle_t *)&link->tcp, &fd) == 0) {
		(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		    sizeof(interval_s));
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		    sizeof(timeout_ms));
	}
	(void)uv_read_start((uv_stream_t *)&link->tcp, provide_buffer, on_read);
}

static void
on_connected(uv_connect_t *request, int status)
{
	struct tcp_link *link = request->data;

	link->is_connecting = false;
	if (link->is_closing)
		return;
	if (status == 0)
		start_reading(link);
	link->ops.on_opened(
	    link->ops.context, status == 0 ? ERROR_NONE : ERROR_CONNECTION);
}

static void
provide_buffer(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
	(void)handle;
	(void)wanted;
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void
on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
	struct tcp_link *link = stream->data;

	if (link->is_closing || size == 0)
		return;
	if (size > 0) {
		link->ops.on_received(
		    link->ops.context, buffer->base, (size_t)size);
		return;
	}
	(void)uv_read_stop(stream);
	link->ops.on_ended(
	    link->ops.context, size == UV_EOF && !was_reset(link));
}

/* Remembers that a write met the error of a broken connection, which the socket
 * reports only once: reads find a normal end behind it. EPIPE is no such error. It
 * means that the peer had sent its end before, that this side had, or that
 * an earlier operation was told the error. */
static void
note_write_error(struct tcp_link *link, int status)
{
	if (status < 0 && status != UV_EPIPE)
		link->is_broken = true;
}

/* Returns true if the connection broke before the peer sent its end. libuv reports
 * any hang-up after a short read as a normal end, so this asks the socket itself,
 * unless a write was told already. */
static bool
was_reset(struct tcp_link *link)
{
	uv_os_fd_t fd;
	char byte;

	return link->is_broken ||
	       (uv_fileno((uv_handle_t *)&link->tcp, &fd) == 0 &&
		   recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0);
}

static void
on_written(uv_write_t *request, int status)
{
	struct pending_write *pending = (struct pending_write *)request;

	note_write_error(pending->link, status);
	g_free(pending);
}

static void
on_shutdown(uv_shutdown_t *request, int status)
{
	(void)request;
	(void)status;
}

static void
on_closed(uv_handle_t *handle)
{
	struct tcp_link *link = handle->data;

	link->ops.on_closed(link->ops.context);
}
