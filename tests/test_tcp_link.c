/*
 * Tests of how a TCP link reports the end of its connection.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "transport/tcp_link.h"

#define FLOOD_BYTES    ((size_t)8 * 1024 * 1024)
#define PASS_BYTES_MAX ((size_t)512 * 1024)

/* A link, the other end of its connection and the events it reported. */
struct fixture {
	uv_loop_t loop;
	struct tcp_link link;
	int peer_fd; /* Other end of the connection. */
	bool is_open;
	size_t received;
	bool has_ended;
	bool was_clean; /* The connection ended without a reset. */
	bool is_closed;
};

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
	int listen_fd;

	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	listen_fd = socket(AF_INET, SOCK_STREAM, 0);
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
	    cmocka_unit_test(test_flood_is_read_in_turns),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
