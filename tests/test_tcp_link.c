/*
 * Tests of how a TCP link reports the end of its connection.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "loopback.h"
#include "transport/tcp_link.h"

#define FLOOD_BYTES    ((size_t)8 * 1024 * 1024)
#define PASS_BYTES_MAX ((size_t)512 * 1024)
#define READ_SIZE      65536
/* Bytes of the socket buffers of both ends, so that a flood fills them on any
 * machine. */
#define SOCKET_BUFFER_SIZE 65536

/* Where a write of the link comes between the end of the connection and the read
 * that finds it. */
enum link_write {
	NO_WRITE = 1,
	/* The socket refuses the first bytes. */
	WRITE_FAILS_AT_ONCE = 2,
	/* The socket has taken a part, and the connection ends before the link
	 * hands it the rest. */
	REST_FAILS_AT_ONCE = 3,
	/* The rest is queued, and the connection ends before the socket can take
	 * more. */
	QUEUED_REST_FAILS = 4,
};

/* A link, the other end of its connection and the events it reported. */
struct fixture {
	uv_loop_t loop;
	struct tcp_link link;
	int peer_fd; /* Other end of the connection. */
	/* How the peer ends the connection within on_received(), 0 if it does
	 * not, and before a rest is queued. */
	enum loopback_end end_on_input;
	enum loopback_end end_on_queue;
	bool is_open;
	size_t received;
	bool has_ended;
	bool was_clean; /* The connection ended without a reset. */
	bool is_closed;
};

/* The fixture whose peer ends the connection before a rest is queued. */
static struct fixture *queue_fixture;

static int
link_socket(const struct fixture *fixture)
{
	uv_os_fd_t fd;

	assert_int_equal(
	    uv_fileno((const uv_handle_t *)&fixture->link.tcp, &fd), 0);
	return fd;
}

static void
end_peer(struct fixture *fixture, enum loopback_end end)
{
	loopback_end(&fixture->peer_fd, end, link_socket(fixture));
}

/* Takes the place of uv_write() for the code under test. */
int __real_uv_write(uv_write_t *request, uv_stream_t *stream,
    const uv_buf_t buffers[], unsigned int count, uv_write_cb done);
int __wrap_uv_write(uv_write_t *request, uv_stream_t *stream,
    const uv_buf_t buffers[], unsigned int count, uv_write_cb done);

int
__wrap_uv_write(uv_write_t *request, uv_stream_t *stream,
    const uv_buf_t buffers[], unsigned int count, uv_write_cb done)
{
	if (queue_fixture != NULL)
		end_peer(queue_fixture, queue_fixture->end_on_queue);
	queue_fixture = NULL;
	return __real_uv_write(request, stream, buffers, count, done);
}

static void
on_opened(void *context, enum error_code error)
{
	struct fixture *fixture = context;

	fixture->is_open = error == ERROR_NONE;
}

static void
on_received(void *context, const char *data, size_t size)
{
	struct fixture *fixture = context;

	(void)data;
	fixture->received += size;
	if (fixture->end_on_input != 0)
		end_peer(fixture, fixture->end_on_input);
	fixture->end_on_input = 0;
}

static void
on_ended(void *context, bool is_clean)
{
	struct fixture *fixture = context;

	fixture->has_ended = true;
	fixture->was_clean = is_clean;
}

static void
on_closed(void *context)
{
	struct fixture *fixture = context;

	fixture->is_closed = true;
}

static void
open_fixture(struct fixture *fixture)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	struct tcp_link_ops ops = {
	    on_opened, on_received, on_ended, on_closed, fixture};
	socklen_t size = sizeof(address);
	int buffer_size = SOCKET_BUFFER_SIZE;
	int listen_fd;

	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(listen_fd, SOL_SOCKET, SO_RCVBUF, &buffer_size,
	    sizeof(buffer_size));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(listen_fd, (struct sockaddr *)&address, size), 0);
	assert_int_equal(listen(listen_fd, 1), 0);
	assert_int_equal(
	    getsockname(listen_fd, (struct sockaddr *)&address, &size), 0);
	assert_int_equal(
	    tcp_link_connect(&fixture->link, &fixture->loop, &address, &ops),
	    ERROR_NONE);
	fixture->peer_fd = accept(listen_fd, NULL, NULL);
	close(listen_fd);
	while (!fixture->is_open)
		uv_run(&fixture->loop, UV_RUN_ONCE);
	uv_send_buffer_size((uv_handle_t *)&fixture->link.tcp, &buffer_size);
}

static void
close_fixture(struct fixture *fixture)
{
	tcp_link_close(&fixture->link);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	assert_true(fixture->is_closed);
	uv_loop_close(&fixture->loop);
}

/* The peer sends data and closes before the event loop runs, so that both are
 * noticed at once. A reset must still be distinguished from an orderly close,
 * else a truncated answer would pass for a complete one. */
static void
check_end(bool is_reset)
{
	struct linger linger = {1, 0};
	struct fixture fixture;

	open_fixture(&fixture);
	assert_int_equal(send(fixture.peer_fd, "half", 4, 0), 4);
	usleep(20000);
	if (is_reset)
		setsockopt(fixture.peer_fd, SOL_SOCKET, SO_LINGER, &linger,
		    sizeof(linger));
	close(fixture.peer_fd);
	usleep(20000);
	while (!fixture.has_ended)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_int_equal(fixture.was_clean, !is_reset);
	close_fixture(&fixture);
}

static void
test_close_is_a_clean_end(void **state)
{
	(void)state;
	check_end(false);
}

static void
test_reset_after_data_is_not_a_clean_end(void **state)
{
	(void)state;
	check_end(true);
}

/* Writes more than the socket takes. */
static void
write_flood(struct fixture *fixture)
{
	static const char flood[FLOOD_BYTES];

	tcp_link_write(&fixture->link, flood, sizeof(flood));
}

/* Writes on the link between two passes of reading, and stops itself. */
static void
on_prepare(uv_prepare_t *prepare)
{
	write_flood(prepare->data);
	uv_close((uv_handle_t *)prepare, NULL);
}

/* Reads what the link has sent until its socket takes more. */
static void
drain_peer(struct fixture *fixture)
{
	char bytes[READ_SIZE];
	struct pollfd polled = {.fd = link_socket(fixture), .events = POLLOUT};

	while (poll(&polled, 1, 0) == 0)
		(void)recv(
		    fixture->peer_fd, bytes, sizeof(bytes), MSG_DONTWAIT);
}

/* Brings about the end of the connection behind "half", and the write that meets
 * it, if any, before the link reads the end. */
static void
end_around_write(struct fixture *fixture, enum loopback_end end,
    enum link_write write, uv_prepare_t *prepare)
{
	if (write == QUEUED_REST_FAILS) {
		write_flood(fixture);
		assert_true(tcp_link_queued(&fixture->link) > 0);
		drain_peer(fixture);
		fixture->end_on_input = end;
	}
	assert_int_equal(send(fixture->peer_fd, "half", 4, 0), 4);
	loopback_await(link_socket(fixture), POLLIN);
	if (write == NO_WRITE || write == WRITE_FAILS_AT_ONCE)
		end_peer(fixture, end);
	if (write == WRITE_FAILS_AT_ONCE)
		tcp_link_write(&fixture->link, "x", 1);
	if (write == REST_FAILS_AT_ONCE) {
		fixture->end_on_queue = end;
		queue_fixture = fixture;
		uv_prepare_init(&fixture->loop, prepare);
		prepare->data = fixture;
		uv_prepare_start(prepare, on_prepare);
	}
}

/* The socket tells once that its connection broke. If a write of the link takes
 * that error, what was received must still not pass for all that was sent. A peer
 * that has sent its end has sent everything, whatever a write meets then. */
static void
test_write_hides_no_reset(void **state)
{
	struct fixture fixture;
	uv_prepare_t prepare;
	enum link_write write;
	enum loopback_end end;
	uint32_t wrong;

	(void)state;
	wrong = 0;
	for (write = NO_WRITE; write <= QUEUED_REST_FAILS; write++) {
		for (end = LOOPBACK_SENDS_END;
		     end <= LOOPBACK_SENDS_END_AND_RESETS; end++) {
			open_fixture(&fixture);
			end_around_write(&fixture, end, write, &prepare);
			while (!fixture.has_ended)
				uv_run(&fixture.loop, UV_RUN_ONCE);
			assert_null(queue_fixture);
			assert_int_equal(fixture.received, 4);
			if (fixture.was_clean != (end != LOOPBACK_RESETS)) {
				print_error("write %d, end %d: clean %d\n",
				    write, end, fixture.was_clean);
				wrong++;
			}
			if (fixture.peer_fd >= 0)
				close(fixture.peer_fd);
			close_fixture(&fixture);
		}
	}
	assert_int_equal(wrong, 0);
}

/* A peer that sends without end leaves the loop time for its other links and
 * timers: one pass of the loop reads a bounded part of it. */
static void
test_flood_is_read_in_turns(void **state)
{
	static const char flood[FLOOD_BYTES];
	struct fixture fixture;
	size_t before, left;
	ssize_t sent;

	(void)state;
	open_fixture(&fixture);
	for (left = sizeof(flood);
	     left > 0 || fixture.received < FLOOD_BYTES;) {
		sent = left == 0 ? 0
				 : send(fixture.peer_fd, flood, left,
				       MSG_DONTWAIT | MSG_NOSIGNAL);
		left -= sent > 0 ? (size_t)sent : 0;
		before = fixture.received;
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
		assert_true(fixture.received - before <= PASS_BYTES_MAX);
	}
	close(fixture.peer_fd);
	close_fixture(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_close_is_a_clean_end),
	    cmocka_unit_test(test_reset_after_data_is_not_a_clean_end),
	    cmocka_unit_test(test_write_hides_no_reset),
	    cmocka_unit_test(test_flood_is_read_in_turns),
	};

	/* A write on a connection that has ended reports an error instead. */
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
