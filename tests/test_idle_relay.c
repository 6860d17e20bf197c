/*
 * Tests of a relay that has waited without work: what it times from then on counts
 * from the present, not from before the wait. The clock is set ahead while the
 * relay waits, so that it seems to have waited for longer than the test runs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/monotonic_clock.h"
#include "relay_answers.h"
#include "relay_fixture.h"
#include "transport/tcp_link.h"

/* Time after an answer in which the relay goes back to waiting for I/O. */
#define REST_US	    50000
#define ANSWER_S    10
#define ANSWER_SIZE 4096

#define CALL                                                                   \
	"POST /idem/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"                \
	"X-Api-Key: key1\r\nDeadline-Ms: 1400\r\nContent-Length: 5\r\n\r\n"    \
	"hello"
#define KEPT   ANSWER("200 OK", "body!", "5")
#define CLOSED ANSWER("200 OK", "body!", "5\r\nConnection: close")

/* Milliseconds by which the tested clock is ahead of the real one. */
static _Atomic int64_t ahead_ms;

/* Milliseconds by which the clock goes ahead while a connection is made. */
static _Atomic int64_t connect_ms;

int64_t __real_clock_monotonic_ms(void);
int64_t __wrap_clock_monotonic_ms(void);
enum error_code __real_tcp_link_connect(struct tcp_link *link, uv_loop_t *loop,
    const struct sockaddr_in *address, const struct tcp_link_ops *ops);
enum error_code __wrap_tcp_link_connect(struct tcp_link *link, uv_loop_t *loop,
    const struct sockaddr_in *address, const struct tcp_link_ops *ops);

int64_t
__wrap_clock_monotonic_ms(void)
{
	return __real_clock_monotonic_ms() + atomic_load(&ahead_ms);
}

enum error_code
__wrap_tcp_link_connect(struct tcp_link *link, uv_loop_t *loop,
    const struct sockaddr_in *address, const struct tcp_link_ops *ops)
{
	atomic_fetch_add(&ahead_ms, atomic_load(&connect_ms));
	return __real_tcp_link_connect(link, loop, address, ops);
}

/* Sends a request on a caller's connection and copies the start of the answer's
 * status line to @p status, "" if no answer comes. */
static void
call(int fd, char status[sizeof("HTTP/1.1 200")])
{
	struct timeval timeout = {.tv_sec = ANSWER_S};
	char answer[ANSWER_SIZE] = "";

	assert_int_equal(
	    send(fd, CALL, strlen(CALL), MSG_NOSIGNAL), strlen(CALL));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	(void)recv(fd, answer, sizeof(answer) - 1, 0);
	g_strlcpy(status, answer, sizeof("HTTP/1.1 200"));
}

/* Guards against a quiet host that times a request, or a new connection to an
 * upstream, from before it slept: it refused or broke off what came on a kept
 * connection of a caller. */
static void
test_quiet_host_gives_a_request_its_whole_time(void **state)
{
	static const char *const first_answers[] = {KEPT, CLOSED};
	/* The relay closes a caller's connection after 15 s without use. */
	static const int64_t idle_ms[] = {10, 400, 1000, 2400, 6000, 14000};
	char status[sizeof("HTTP/1.1 200")];
	struct relay_fixture *fixture;
	size_t i, j;
	int fd;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(first_answers); i++) {
		for (j = 0; j < G_N_ELEMENTS(idle_ms); j++) {
			fixture = g_new0(struct relay_fixture, 1);
			relay_fixture_init(fixture);
			relay_fixture_add_answer(fixture, first_answers[i]);
			fd = relay_fixture_connect(fixture);
			call(fd, status);
			assert_string_equal(status, "HTTP/1.1 200");
			relay_fixture_replace_answers(fixture, KEPT);
			g_usleep(REST_US);
			atomic_fetch_add(&ahead_ms, idle_ms[j]);
			call(fd, status);
			if (strcmp(status, "HTTP/1.1 200") != 0)
				fail_msg("answer %zu, idle for %lld ms: %s", i,
				    (long long)idle_ms[j], status);
			close(fd);
			relay_fixture_finish(fixture);
			g_free(fixture);
		}
	}
}

/* Guards against an upstream that is told more time than is left, by as long as
 * its connection took to be established. */
static void
test_time_left_is_that_at_sending(void **state)
{
	char status[sizeof("HTTP/1.1 200")];
	struct relay_fixture *fixture;
	char *request, *field;
	int fd;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, KEPT);
	fd = relay_fixture_connect(fixture);
	atomic_store(&connect_ms, 200);
	call(fd, status);
	atomic_store(&connect_ms, 0);
	assert_string_equal(status, "HTTP/1.1 200");
	request = relay_fixture_received_request(fixture, 0);
	field = strstr(request, "\r\nDeadline-Ms: ");
	assert_non_null(field);
	assert_true(
	    strtol(field + strlen("\r\nDeadline-Ms: "), NULL, 10) <= 1200);
	g_free(request);
	close(fd);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_quiet_host_gives_a_request_its_whole_time),
	    cmocka_unit_test(test_time_left_is_that_at_sending),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
