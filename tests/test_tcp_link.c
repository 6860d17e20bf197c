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

/* A link and what it told. */
struct scene {
	uv_loop_t loop;
	struct tcp_link link;
	int peer_fd;
	bool is_open;
	size_t received;
	bool has_ended;
	bool was_clean;
	bool is_closed;
};

static void
note_opened(void *context, enum error_code error)
{
	struct scene *scene = context;

	scene->is_open = error == ERROR_NONE;
}

static void
note_received(void *context, const char *data, size_t size)
{
	struct scene *scene = context;

	(void)data;
	scene->received += size;
}

static void
note_ended(void *context, bool is_clean)
{
	struct scene *scene = context;

	scene->has_ended = true;
	scene->was_clean = is_clean;
}

static void
note_closed(void *context)
{
	struct scene *scene = context;

	scene->is_closed = true;
}

static void
open_scene(struct scene *scene)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	struct tcp_link_ops ops = {
	    note_opened, note_received, note_ended, note_closed, scene};
	socklen_t size = sizeof(address);
	int listen_fd;

	memset(scene, 0, sizeof(*scene));
	uv_loop_init(&scene->loop);
	listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(listen_fd, (struct sockaddr *)&address, size), 0);
	assert_int_equal(listen(listen_fd, 1), 0);
	assert_int_equal(
	    getsockname(listen_fd, (struct sockaddr *)&address, &size), 0);
	assert_int_equal(
	    tcp_link_connect(&scene->link, &scene->loop, &address, &ops),
	    ERROR_NONE);
	scene->peer_fd = accept(listen_fd, NULL, NULL);
	close(listen_fd);
	while (!scene->is_open)
		uv_run(&scene->loop, UV_RUN_ONCE);
}

static void
close_scene(struct scene *scene)
{
	tcp_link_close(&scene->link);
	uv_run(&scene->loop, UV_RUN_DEFAULT);
	assert_true(scene->is_closed);
	uv_loop_close(&scene->loop);
}

/* The peer says something and ends before the loop looks: both are seen at
 * once, and only the socket tells a reset from an end. */
static void
run_end(bool is_reset)
{
	struct linger linger = {1, 0};
	struct scene scene;

	open_scene(&scene);
	assert_int_equal(send(scene.peer_fd, "half", 4, 0), 4);
	usleep(20000);
	if (is_reset)
		setsockopt(scene.peer_fd, SOL_SOCKET, SO_LINGER, &linger,
		    sizeof(linger));
	close(scene.peer_fd);
	usleep(20000);
	while (!scene.has_ended)
		uv_run(&scene.loop, UV_RUN_ONCE);
	assert_int_equal(scene.was_clean, !is_reset);
	close_scene(&scene);
}

static void
test_end(void **state)
{
	(void)state;
	run_end(false);
}

static void
test_reset_behind_data_is_no_clean_end(void **state)
{
	(void)state;
	run_end(true);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_end),
	    cmocka_unit_test(test_reset_behind_data_is_no_clean_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
