/*
 * Tests of a planned stop: a request that waits, or that an upstream still works
 * on, when the time for running requests ends gets an answer. A reset would not
 * tell its caller whether it may be sent again.
 */
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

#include "relay_answers.h"
#include "relay_fixture.h"

#define STOP_FINISH_MS 300
#define TRIES	       200
#define TRY_US	       10000
#define IDLE_TRIES     1000
#define ANSWER_S       2
#define SILENT_US      600000
#define ANSWER_SIZE    4096

#define CALL(path, id)                                                         \
	"POST " path " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " id "\r\n"          \
	"X-Api-Key: key1\r\nDeadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n"
/* An upstream wants nothing for longer than the stop takes. */
#define PAUSED                                                                 \
	"HTTP/1.1 503 Busy\r\nAttempt-Id: {ID}\r\nNot-Executed: 1\r\n"         \
	"Retry-After: 1.2\r\nContent-Length: 0\r\n\r\n"

static struct relay_fixture *
begin(void)
{
	struct relay_fixture *fixture;

	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	fixture->relay.settings.stop_finish_ms = STOP_FINISH_MS;
	return fixture;
}

/* Sends a request and leaves the connection open. */
static int
send_call(struct relay_fixture *fixture, const char *call)
{
	int fd;

	fd = relay_fixture_connect(fixture);
	assert_int_equal(
	    send(fd, call, strlen(call), 0), (ssize_t)strlen(call));
	return fd;
}

/* Returns the answer that arrives on the connection, to be freed with
 * g_free(), and closes it. */
static char *
receive_answer(int fd)
{
	struct timeval timeout = {.tv_sec = ANSWER_S};
	char *answer;
	ssize_t size;

	answer = g_malloc0(ANSWER_SIZE);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	size = recv(fd, answer, ANSWER_SIZE - 1, 0);
	if (size < 0)
		answer[0] = '\0';
	close(fd);
	return answer;
}

static void
wait_until_sent(struct relay_fixture *fixture, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < TRIES && relay_fixture_request_count(fixture) < count;
	     i++)
		usleep(TRY_US);
	assert_int_equal(relay_fixture_request_count(fixture), count);
}

/* A request that waits for an upstream is refused, so that its caller goes to
 * another host. */
static void
test_request_that_waits_at_stop_is_refused(void **state)
{
	struct relay_fixture *fixture = begin();
	char *answer;
	uint32_t i;
	int fd;

	(void)state;
	relay_fixture_add_answer(fixture, PAUSED);
	for (i = 0; i < RELAY_FIXTURE_UPSTREAMS / 2; i++) {
		answer =
		    relay_fixture_send_request(fixture, CALL("/stream/", "a1"));
		assert_non_null(strstr(answer, "HTTP/1.1 503"));
		g_free(answer);
	}
	wait_until_sent(fixture, RELAY_FIXTURE_UPSTREAMS);
	relay_fixture_replace_answers(
	    fixture, EVENT_STREAM EVENT1 EVENT2 STREAM_END);
	fd = send_call(fixture, CALL("/stream/", "a2"));
	usleep(TRY_US);
	relay_drain(&fixture->relay);
	answer = receive_answer(fd);
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "Retry-After: "));
	assert_int_equal(relay_fixture_runs(fixture, "a2"), 0);
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* A request that an upstream has may have run, so nothing is promised of it. */
static void
test_request_without_answer_at_stop_fails(void **state)
{
	struct relay_fixture *fixture = begin();
	char *answer;
	int fd;

	(void)state;
	relay_fixture_add_answer(fixture, "<hang>");
	fd = send_call(fixture, CALL("/once/", "a1"));
	wait_until_sent(fixture, 1);
	relay_drain(&fixture->relay);
	answer = receive_answer(fd);
	assert_non_null(strstr(answer, "HTTP/1.1 502"));
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* Nothing is added to an answer that has begun. */
static void
test_begun_answer_at_stop_is_left_alone(void **state)
{
	struct timeval timeout = {.tv_usec = SILENT_US};
	struct relay_fixture *fixture = begin();
	char bytes[ANSWER_SIZE] = "";
	size_t size;
	ssize_t got;
	int fd;

	(void)state;
	relay_fixture_add_answer(
	    fixture, EVENT_STREAM EVENT1 "<pause>" EVENT2 STREAM_END);
	fd = send_call(fixture, CALL("/stream/", "a1"));
	for (size = 0; strstr(bytes, "data: a") == NULL; size += (size_t)got) {
		got = recv(fd, bytes + size, sizeof(bytes) - size - 1, 0);
		assert_true(got > 0);
	}
	relay_drain(&fixture->relay);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	assert_int_equal(recv(fd, bytes, sizeof(bytes), 0), -1);
	assert_int_equal(errno, EAGAIN);
	close(fd);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* Returns true if a port of the fixture accepts a connection. */
static bool
accepts_connection(uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	bool is_accepted;
	int fd;

	fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_true(fd >= 0);
	is_accepted =
	    connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return is_accepted;
}

/* Guards against a request that a stopping host accepts after it has found
 * itself idle, and that the end of the process then cuts off. */
static void
test_idle_host_at_stop_accepts_nothing_more(void **state)
{
	struct relay_fixture *fixture = begin();
	uint32_t i;

	(void)state;
	relay_drain(&fixture->relay);
	assert_true(accepts_connection(fixture->port));
	for (i = 0; i < IDLE_TRIES && !relay_is_idle(&fixture->relay); i++)
		usleep(TRY_US);
	assert_true(relay_is_idle(&fixture->relay));
	assert_false(accepts_connection(fixture->port));
	assert_false(accepts_connection(fixture->ready_port));
	assert_false(
	    accepts_connection(fixture->relay.settings.forwarded.port));
	relay_fixture_finish(fixture);
	g_free(fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_idle_host_at_stop_accepts_nothing_more),
	    cmocka_unit_test(test_request_that_waits_at_stop_is_refused),
	    cmocka_unit_test(test_request_without_answer_at_stop_fails),
	    cmocka_unit_test(test_begun_answer_at_stop_is_left_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
