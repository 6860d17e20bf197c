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

#define PORT		     21410
#define BODY_SIZE_MAX_TESTED 4096
#define ANSWER_SIZE	     65536
#define PATIENCE_MS	     20000 /* A bound for what must happen, not a target. */

/* What the handlers saw. */
struct seen {
	struct http_server server;
	_Atomic int closed_whole;
	_Atomic int closed_gone;
	_Atomic int noticed_gone;
	_Atomic int release; /* Streams end once it is set. */
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
	struct seen *seen = context;
	int64_t deadline_ms;

	deadline_ms = clock_monotonic_ms() + PATIENCE_MS;
	while (!http_caller_disconnected(exchange) &&
	       clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	if (http_caller_disconnected(exchange))
		seen->noticed_gone++;
	http_reply(exchange, 200, "text/plain", "", 0);
}

static enum http_stream_state
next_part(void *context, GString *out, int64_t deadline_ms)
{
	struct seen *seen = context;

	while (!seen->release && clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	if (!seen->release)
		return HTTP_STREAM_MORE;
	g_string_append(out, "data: last\n\n");
	return HTTP_STREAM_END;
}

static void
close_parts(void *context, bool whole)
{
	struct seen *seen = context;

	if (whole)
		seen->closed_whole++;
	else
		seen->closed_gone++;
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
	int link;

	memset(&address, 0, sizeof(address));
	address.sin_family = AF_INET;
	address.sin_port = htons(PORT);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	link = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(link, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(link);
		return -1;
	}
	return link;
}

static int
send_request(const char *method, const char *path, const char *body)
{
	char *text;
	size_t size;
	int link;

	link = connect_to_server();
	assert_true(link >= 0);
	size = strlen(body) + 256;
	text = malloc(size);
	size = (size_t)snprintf(text, size,
	    "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: text/plain\r\n"
	    "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
	    method, path, strlen(body), body);
	assert_int_equal(write(link, text, size), (ssize_t)size);
	free(text);
	return link;
}

/* Reads until the text is there, or to the end for NULL. */
static void
read_answer(int link, const char *until, char *answer)
{
	size_t done;
	ssize_t size;

	done = 0;
	answer[0] = '\0';
	while (done < ANSWER_SIZE - 1) {
		size = read(link, answer + done, ANSWER_SIZE - 1 - done);
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
	int link;

	link = send_request(method, path, body);
	read_answer(link, NULL, answer);
	close(link);
}

static bool
becomes(_Atomic int *value, int wanted)
{
	int64_t deadline_ms;

	deadline_ms = clock_monotonic_ms() + PATIENCE_MS;
	while (*value != wanted && clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	return *value == wanted;
}

static int
set_up(void **state)
{
	struct http_server_settings settings;
	struct seen *seen;

	signal(SIGPIPE, SIG_IGN);
	seen = calloc(1, sizeof(*seen));
	memset(&settings, 0, sizeof(settings));
	settings.port = PORT;
	settings.body_size_max = BODY_SIZE_MAX_TESTED;
	*state = seen;
	return http_server_init(&seen->server, &settings, routes,
		   G_N_ELEMENTS(routes), seen) == ERROR_NONE
		   ? 0
		   : -1;
}

static int
tear_down(void **state)
{
	struct seen *seen = *state;

	http_server_finish(&seen->server);
	free(seen);
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
test_a_gone_caller_is_noticed_by_a_waiting_handler(void **state)
{
	struct seen *seen = *state;
	int link;

	link = send_request("GET", "/wait", "");
	usleep(20000);
	assert_int_equal(seen->noticed_gone, 0);
	close(link);
	assert_true(becomes(&seen->noticed_gone, 1));
}

static void
test_a_gone_caller_ends_its_stream(void **state)
{
	struct seen *seen = *state;
	char answer[ANSWER_SIZE];
	int link;

	link = send_request("GET", "/stream", "");
	read_answer(link, ": waiting", answer);
	assert_non_null(strstr(answer, ": waiting"));
	close(link);
	assert_true(becomes(&seen->closed_gone, 1));
	assert_int_equal(seen->closed_whole, 0);
}

static void
test_drain_cuts_no_stream_and_takes_no_connection(void **state)
{
	struct seen *seen = *state;
	char answer[ANSWER_SIZE];
	int late;
	int link;

	link = send_request("GET", "/stream", "");
	read_answer(link, "\r\n\r\n", answer);
	assert_int_equal(
	    http_server_drain(&seen->server, clock_monotonic_ms() + 50),
	    ERROR_TIMEOUT);
	late = connect_to_server();
	assert_int_equal(late, -1);
	seen->release = 1;
	assert_int_equal(http_server_drain(
			     &seen->server, clock_monotonic_ms() + PATIENCE_MS),
	    ERROR_NONE);
	read_answer(link, NULL, answer);
	assert_non_null(strstr(answer, "data: last\n\n"));
	assert_non_null(strstr(answer, "\r\n0\r\n"));
	assert_int_equal(seen->closed_whole, 1);
	close(link);
}

static void
test_drain_waits_for_nothing_after_all_kinds_of_answers(void **state)
{
	struct seen *seen = *state;
	char answer[ANSWER_SIZE];
	int link;

	exchange("POST", "/echo", "a", answer);
	exchange("GET", "/error", "", answer);
	exchange("GET", "/nothing", "", answer);
	link = connect_to_server();
	assert_int_equal(write(link, "GET /er", 7), 7);
	close(link);
	assert_int_equal(http_server_drain(
			     &seen->server, clock_monotonic_ms() + PATIENCE_MS),
	    ERROR_NONE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_bodies_are_bounded_and_answers_typed, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_a_gone_caller_is_noticed_by_a_waiting_handler, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		test_a_gone_caller_ends_its_stream, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_drain_cuts_no_stream_and_takes_no_connection, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		test_drain_waits_for_nothing_after_all_kinds_of_answers, set_up,
		tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
