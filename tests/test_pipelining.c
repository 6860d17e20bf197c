/*
 * Tests of callers that send requests before the earlier ones are answered: each
 * gets its own answer, in their order, however many there are.
 */
#define _GNU_SOURCE /* pthread_setattr_default_np() */
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include <cmocka.h>

#include "relay_answers.h"
#include "relay_fixture.h"

#define SILENCE_MS 3000
#define READ_SIZE  65536
/* As many as a caller may send before it is answered. */
#define MANY 9000
/* Stack of a thread; some systems give no more. */
#define STACK_SIZE ((size_t)1024 * 1024)

/* Sends requests at once and returns all that comes back. */
static char *
exchange_bytes(struct relay_fixture *fixture, const GString *requests)
{
	struct pollfd connection = {.events = POLLIN};
	GString *answers = g_string_new(NULL);
	char *buffer = g_malloc(READ_SIZE);
	ssize_t size;

	connection.fd = relay_fixture_connect(fixture);
	assert_int_equal(
	    send(connection.fd, requests->str, requests->len, MSG_NOSIGNAL),
	    requests->len);
	do {
		size = poll(&connection, 1, SILENCE_MS) == 1
			   ? recv(connection.fd, buffer, READ_SIZE, 0)
			   : 0;
		if (size > 0)
			g_string_append_len(answers, buffer, size);
	} while (size > 0);
	close(connection.fd);
	g_free(buffer);
	return g_string_free(answers, FALSE);
}

/* A request waits for its upstream; those behind it have no route and are answered
 * at once. */
static void
test_many_requests_behind_a_slow_one(void **state)
{
	struct relay_fixture fixture;
	GString *requests;
	pthread_attr_t small;
	char *answers, *at;
	uint32_t i;

	(void)state;
	pthread_attr_init(&small);
	pthread_attr_setstacksize(&small, STACK_SIZE);
	assert_int_equal(pthread_setattr_default_np(&small), 0);
	pthread_attr_destroy(&small);
	relay_fixture_init(&fixture);
	relay_fixture_replace_answers(
	    &fixture, "<slow>" ANSWER("200 OK", "body!", "5"));
	requests = g_string_new("GET /once/ HTTP/1.1\r\nHost: h\r\n"
				"X-Api-Key: key1\r\nAttempt-Id: a\r\n\r\n");
	for (i = 0; i < MANY; i++)
		g_string_append_printf(requests,
		    "GET / HTTP/1.1\r\nHost:\r\n%s\r\n",
		    i + 1 == MANY ? "Connection: close\r\n" : "");
	answers = exchange_bytes(&fixture, requests);
	at = strstr(answers, "HTTP/1.1 200");
	assert_ptr_equal(at, answers);
	for (i = 0; i < MANY && at != NULL; i++)
		at = strstr(at + 1, "HTTP/1.1 404");
	assert_non_null(at);
	assert_null(strstr(at + 1, "HTTP/1.1"));
	g_free(answers);
	g_string_free(requests, TRUE);
	relay_fixture_finish(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_many_requests_behind_a_slow_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
