/*
 * Tests of the HTTP server: bounded bodies, disconnects, streams and drain.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/monotonic_clock.h"
#include "transport/http_server.h"

/* Limit for events that must happen; long, so that slow machines pass. */
#define WAIT_MAX_MS	     20000
#define PORT		     21410
#define BODY_SIZE_MAX_TESTED 4096
#define ANSWER_SIZE	     65536

/* The server under test and what its handlers observed. */
struct fixture {
	struct http_server server;
	_Atomic int completed_streams;	  /* Streams closed after their end. */
	_Atomic int aborted_streams;	  /* Streams closed before their end. */
	_Atomic int detected_disconnects; /* Found by handle_wait(). */
	_Atomic int may_end_streams;	  /* Set to let streams end. */
};

static void
handle_echo(void *context, struct http_exchange *exchange)
{
	const char *body;
	size_t size;

	(void)context;
	body = http_body(exchange, &size);
	http_reply(exchange, 200, "text/plain", body, size);
}

static void
handle_take(void *context, struct http_exchange *exchange)
{
	char *body;
	size_t size;
	size_t left;

	(void)context;
	body = http_take_body(exchange, &size);
	http_body(exchange, &left);
	http_reply(exchange, left == 0 ? 200 : 500, "text/plain", body, size);
	free(body);
}

static void
handle_error(void *context, struct http_exchange *exchange)
{
	struct caller_error error;

	(void)context;
	memset(&error, 0, sizeof(error));
	error.code = ERROR_NO_CAPACITY;
	error.outcome = REQUEST_OUTCOME_NOT_RUN;
	error.retry_after_ms = 1200;
	http_reply_error(exchange, &error);
}

static void
handle_wait(void *context, struct http_exchange *exchange)
{
	struct fixture *fixture = context;
	int64_t deadline_ms;

	deadline_ms = clock_monotonic_ms() + WAIT_MAX_MS;
	while (!http_caller_disconnected(exchange) &&
	       clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	if (http_caller_disconnected(exchange))
		fixture->detected_disconnects++;
	http_reply(exchange, 200, "text/plain", "", 0);
}

static enum http_stream_state
next_part(void *context, GString *out, int64_t deadline_ms)
{
	struct fixture *fixture = context;

	while (!fixture->may_end_streams && clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	if (!fixture->may_end_streams)
		return HTTP_STREAM_MORE;
	g_string_append(out, "data: last\n\n");
	return HTTP_STREAM_END;
}

static void
close_parts(void *context, bool whole)
{
	struct fixture *fixture = context;

	if (whole)
		fixture->completed_streams++;
	else
		fixture->aborted_streams++;
}

static void
handle_stream(void *context, struct http_exchange *exchange)
{
	struct http_stream stream = {next_part, close_parts, context};

	http_reply_stream(exchange, &stream);
}

static const struct http_route routes[] = {
    {"POST", "/echo", handle_echo},
    {"POST", "/take", handle_take},
    {"GET", "/error", handle_error},
    {"GET", "/wait", handle_wait},
    {"GET", "/stream", handle_stream},
};

static int
connect_to_server(void)
{
	struct sockaddr_in address;
	int connection;

	memset(&address, 0, sizeof(address));
	address.sin_family = AF_INET;
	address.sin_port = htons(PORT);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	connection = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(connection, (struct sockaddr *)&address, sizeof(address)) !=
	    0) {
		close(connection);
		return -1;
	}
	return connection;
}

static int
send_request(const char *method, const char *path, const char *body)
{
	char *text;
	size_t size;
	int connection;

	connection = connect_to_server();
	assert_true(connection >= 0);
	size = strlen(body) + 256;
	text = malloc(size);
	size = (size_t)snprintf(text, size,
	    "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: text/plain\r\n"
	    "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
	    method, path, strlen(body), body);
	assert_int_equal(write(connection, text, size), (ssize_t)size);
	free(text);
	return connection;
}

/* Reads until the answer contains @p until, or until the connection is closed
 * if it is NULL. */
static void
read_answer(int connection, const char *until, char *answer)
{
	size_t done;
	ssize_t size;

	done = 0;
	answer[0] = '\0';
	while (done < ANSWER_SIZE - 1) {
		size = read(connection, answer + done, ANSWER_SIZE - 1 - done);
		if (size <= 0)
			break;
		done += (size_t)size;
		answer[done] = '\0';
		if (until != NULL && strstr(answer, until) != NULL)
			break;
	}
}

static void
exchange(const char *method, const char *path, const char *body, char *answer)
{
	int connection;

	connection = send_request(method, path, body);
	read_answer(connection, NULL, answer);
	close(connection);
}

static bool
wait_for_value(_Atomic int *value, int wanted)
{
	int64_t deadline_ms;

	deadline_ms = clock_monotonic_ms() + WAIT_MAX_MS;
	while (*value != wanted && clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	return *value == wanted;
}

static int
set_up(void **state)
{
	struct http_server_settings settings;
	struct fixture *fixture;

	signal(SIGPIPE, SIG_IGN);
	fixture = calloc(1, sizeof(*fixture));
	memset(&settings, 0, sizeof(settings));
	settings.port = PORT;
	settings.body_size_max = BODY_SIZE_MAX_TESTED;
	*state = fixture;
	return http_server_init(&fixture->server, &settings, routes,
		   G_N_ELEMENTS(routes), fixture) == ERROR_NONE
		   ? 0
		   : -1;
}

static int
tear_down(void **state)
{
	struct fixture *fixture = *state;

	http_server_finish(&fixture->server);
	free(fixture);
	return 0;
}

static void
test_bodies_are_bounded_and_answers_typed(void **state)
{
	char answer[ANSWER_SIZE];
	char body[BODY_SIZE_MAX_TESTED + 2];
	static const struct {
		const char *method;
		const char *path;
		size_t body_size;
		const char *status;
		const char *part;
	} cases[] = {
	    {"POST", "/echo", 10, "HTTP/1.1 200", "\r\n\r\naaaaaaaaaa"},
	    {"POST", "/take", 10, "HTTP/1.1 200", "\r\n\r\naaaaaaaaaa"},
	    {"POST", "/echo", BODY_SIZE_MAX_TESTED, "HTTP/1.1 200",
		"Content-Length: 4096"},
	    {"POST", "/echo", BODY_SIZE_MAX_TESTED + 1, "HTTP/1.1 413",
		"\"type\":\"too_large\""},
	    {"GET", "/error", 0, "HTTP/1.1 429", "Retry-After: 2\r\n"},
	    {"GET", "/error", 0, "HTTP/1.1 429", "\"outcome\":\"not_run\""},
	    {"GET", "/nothing", 0, "HTTP/1.1 404", "\"type\":\"not_found\""},
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(body, 'a', sizeof(body));
		body[cases[i].body_size] = '\0';
		exchange(cases[i].method, cases[i].path, body, answer);
		assert_non_null(strstr(answer, cases[i].status));
		assert_non_null(strstr(answer, cases[i].part));
	}
}

static void
test_waiting_handler_detects_disconnect(void **state)
{
	struct fixture *fixture = *state;
	int connection;

	connection = send_request("GET", "/wait", "");
	usleep(20000);
	assert_int_equal(fixture->detected_disconnects, 0);
	close(connection);
	assert_true(wait_for_value(&fixture->detected_disconnects, 1));
}

static void
test_disconnect_ends_stream(void **state)
{
	struct fixture *fixture = *state;
	char answer[ANSWER_SIZE];
	int connection;

	connection = send_request("GET", "/stream", "");
	read_answer(connection, ": waiting", answer);
	assert_non_null(strstr(answer, ": waiting"));
	close(connection);
	assert_true(wait_for_value(&fixture->aborted_streams, 1));
	assert_int_equal(fixture->completed_streams, 0);
}

static void
test_drain_finishes_streams_and_refuses_connections(void **state)
{
	struct fixture *fixture = *state;
	char answer[ANSWER_SIZE];
	int late_connection;
	int connection;

	connection = send_request("GET", "/stream", "");
	read_answer(connection, "\r\n\r\n", answer);
	assert_int_equal(
	    http_server_drain(&fixture->server, clock_monotonic_ms() + 50),
	    ERROR_TIMEOUT);
	late_connection = connect_to_server();
	assert_int_equal(late_connection, -1);
	fixture->may_end_streams = 1;
	assert_int_equal(http_server_drain(&fixture->server,
			     clock_monotonic_ms() + WAIT_MAX_MS),
	    ERROR_NONE);
	read_answer(connection, NULL, answer);
	assert_non_null(strstr(answer, "data: last\n\n"));
	assert_non_null(strstr(answer, "\r\n0\r\n"));
	assert_int_equal(fixture->completed_streams, 1);
	close(connection);
}

static void
test_drain_ends_after_every_kind_of_answer(void **state)
{
	struct fixture *fixture = *state;
	char answer[ANSWER_SIZE];
	int connection;

	exchange("POST", "/echo", "a", answer);
	exchange("GET", "/error", "", answer);
	exchange("GET", "/nothing", "", answer);
	connection = connect_to_server();
	assert_int_equal(write(connection, "GET /er", 7), 7);
	close(connection);
	assert_int_equal(http_server_drain(&fixture->server,
			     clock_monotonic_ms() + WAIT_MAX_MS),
	    ERROR_NONE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_bodies_are_bounded_and_answers_typed, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_waiting_handler_detects_disconnect, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_disconnect_ends_stream, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_drain_finishes_streams_and_refuses_connections, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		test_drain_ends_after_every_kind_of_answer, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
