/*
 * Tests of the command line's calls to hosts: an answer that can't be read neither
 * confirms nor denies a change.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <signal.h>
#include <stdio.h>

#include <curl/curl.h>
#include <glib.h>

#include "cli/cli.h"
#include "fake_upstream.h"

#define PORT	    21460
#define TIMEOUT_MS  20000
#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

#define JSON	 "Content-Type: application/json\r\n"
#define ACCEPTED "{\"state\":\"in_force\",\"revision\":7}"
#define REFUSED	 "{\"error\":{\"type\":\"no_quorum\",\"message\":\"m\"}}"

#define HEALTHY "HTTP/1.1 200 OK\r\n" JSON "Content-Length: 2\r\n\r\n{}"

/* An answer of a host to each call, and what the calls return. */
struct reply_case {
	const char *reply;
	enum error_code change; /* Of a call with a body. */
	enum error_code read;	/* Of a call without one. */
};

/* Calls a host that gives the answer. */
static enum error_code
call(const char *reply, const char *method, const json_t *body)
{
	struct cli cli = {.host_count = 1, .timeout_ms = TIMEOUT_MS};
	struct fake_upstream host;
	enum error_code error;
	json_t *result;
	char url[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d", PORT);
	cli.hosts[0] = url;
	cli.token = "t";
	fake_upstream_init(&host, PORT, reply, FAKE_UPSTREAM_CLOSES);
	/* A change is sent to a host that has just said that it is there. */
	host.first_reply = body == NULL ? NULL : HEALTHY;
	error = cli_call(&cli, method, "/operator/v1/config", body, &result);
	fake_upstream_finish(&host);
	json_decref(result);
	return error;
}

/* Checks what a change and a read return for each answer. */
static void
check_replies(const struct reply_case *cases, size_t count)
{
	enum error_code change, read;
	uint32_t wrong;
	json_t *body;
	size_t i;

	wrong = 0;
	body = json_pack("{s:s}", "operation_id", "o-1");
	for (i = 0; i < count; i++) {
		change = call(cases[i].reply, "POST", body);
		read = call(cases[i].reply, "GET", NULL);
		if (change != cases[i].change || read != cases[i].read) {
			print_error("%s: change %s, read %s\n", cases[i].reply,
			    error_name(change), error_name(read));
			wrong++;
		}
	}
	json_decref(body);
	assert_int_equal(wrong, 0);
}

/* A change whose answer is cut may have been made, so it is not refused. */
static void
test_change_without_a_readable_answer_is_unknown(void **state)
{
	static const struct reply_case cases[] = {
	    {"HTTP/1.1 200 OK\r\n" JSON "\r\n" ACCEPTED, ERROR_NONE,
		ERROR_NONE},
	    {"HTTP/1.1 503 No\r\n" JSON "\r\n" REFUSED, ERROR_NO_QUORUM,
		ERROR_NO_QUORUM},
	    {"HTTP/1.1 400 No\r\n" JSON
	     "\r\n{\"error\":{\"type\":\"malformed\"}}",
		ERROR_MALFORMED, ERROR_MALFORMED},
	    {"HTTP/1.1 200 OK\r\n" JSON "\r\n{\"state\":\"in_fo",
		ERROR_OUTCOME_UNKNOWN, ERROR_MALFORMED},
	    {"HTTP/1.1 200 OK\r\n" JSON "\r\n", ERROR_OUTCOME_UNKNOWN,
		ERROR_MALFORMED},
	    {"HTTP/1.1 200 OK\r\n", ERROR_OUTCOME_UNKNOWN, ERROR_CONNECTION},
	    {"HTTP/1.1 200 OK\r\n" JSON "\r\n" ACCEPTED "HTTP/1.1 500 No\r\n",
		ERROR_OUTCOME_UNKNOWN, ERROR_MALFORMED},
	    {"HTTP/1.1 500 Oops\r\n\r\noops", ERROR_OUTCOME_UNKNOWN,
		ERROR_MALFORMED},
	    {"HTTP/1.1 503 No\r\n" JSON "\r\n{\"error\":{\"type\":\"no_qu",
		ERROR_OUTCOME_UNKNOWN, ERROR_MALFORMED},
	    {"HTTP/1.1 503 No\r\n", ERROR_OUTCOME_UNKNOWN, ERROR_CONNECTION},
	};

	(void)state;
	check_replies(cases, COUNT(cases));
}

/* An answer whose head breaks the protocol is none, whatever its body says. */
static void
test_answer_with_a_broken_head_is_none(void **state)
{
	static const char *const heads[] = {
	    "HTTP/1.1 000 OK\r\n",
	    "HTTP/1.1 600 OK\r\n",
	    "HTTP/1.1 999 OK\r\n",
	    "HTTP/2 200\r\n",
	    "HTTP/1.1 200 OK\r\nX A: 1\r\n",
	    "HTTP/1.1 200 OK\r\nXA : 1\r\n",
	    "HTTP/1.1 200 OK\r\nX\001A: 1\r\n",
	    "HTTP/1.1 200 OK\r\nX\177A: 1\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 33abc\r\n",
	    "HTTP/1.1 200 OK\r\nX-A: a\rb\r\n",
	    "HTTP/1.1 503 No\r\nX\001A: 1\r\n",
	    "HTTP/1.1 999 No\r\n",
	};
	struct reply_case item = {
	    .change = ERROR_OUTCOME_UNKNOWN, .read = ERROR_CONNECTION};
	char *reply;
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(heads); i++) {
		reply = g_strconcat(heads[i], JSON "\r\n",
		    strstr(heads[i], "No") == NULL ? ACCEPTED : REFUSED, NULL);
		item.reply = reply;
		check_replies(&item, 1);
		g_free(reply);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_change_without_a_readable_answer_is_unknown),
	    cmocka_unit_test(test_answer_with_a_broken_head_is_none),
	};

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_ALL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
