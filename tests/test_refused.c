/*
 * Tests that a promise to a caller is true: a request that may run at most once
 * and is answered 503, 429, 408 or 421 has not run and does not run later.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "coordination/relay_rules.h"
#include "platform_routes.h"
#include "relay_answers.h"
#include "relay_fixture.h"

#define ID_SIZE 16
/* Requests after the one that was refused; by then each of the upstreams has got
 * one on the connection that it refused on. */
#define LATER_REQUESTS 12
#define WARM_REQUESTS  8
/* A connection that refused may be idle for too long to be used again; then it is
 * tried anew. */
#define ROUNDS_MAX  20
#define WAIT_ROUNDS 500
#define WAIT_US	    10000

#define OK_ANSWER ANSWER("200 OK", "body!", "5")
#define FAILURE(status, id)                                                    \
	"HTTP/1.1 " status "\r\nAttempt-Id: " id                               \
	"\r\nResponse-Seal: seal\r\nContent-Length: 5\r\n\r\nbusy!"
#define REFUSAL_WITHOUT_ID                                                     \
	"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

/* The hosts of a test. The caller's host is the only one, or one that reaches no
 * upstream and forwards what it gets to the other one. */
struct hosts {
	struct relay_fixture serving;
	struct relay_fixture forwarding;
	struct relay_fixture *asked; /* The caller's host. */
	uint32_t requests;	     /* Requests sent so far. */
	bool repeats_id;	     /* All requests have the same id. */
};

/* Refusals that are written once more before the answer to another request. */
static const struct {
	const char *name;
	const char *refusal;
} repeated[] = {
    {"503", NOT_RUN},
    {"429", REFUSAL("429 Many", "{ID}")},
    {"408", REFUSAL("408 Late", "{ID}")},
    {"421", "HTTP/1.1 421 Misdirected\r\nAttempt-Id: {ID}\r\n"
	    "Content-Length: 0\r\n\r\n"},
    {"503 in chunks",
	"HTTP/1.1 503 Busy\r\nAttempt-Id: {ID}\r\nNot-Executed: 1\r\n"
	"Transfer-Encoding: chunked\r\n\r\n3\r\nno!\r\n0\r\n\r\n"},
    {"503 without an id", REFUSAL_WITHOUT_ID},
};

/* Answers that do not say that the request they answer was not run. */
static const struct {
	const char *name;
	const char *answer;
	uint32_t warm; /* Sound answers before it, on kept connections. */
} unfounded[] = {
    {"503 of another request", REFUSAL("503 Busy", "zz"), 0},
    {"429 of another request", REFUSAL("429 Many", "zz"), 0},
    {"421 of another request",
	"HTTP/1.1 421 No\r\nAttempt-Id: zz\r\nContent-Length: 0\r\n\r\n", 0},
    {"503 that does not say so", FAILURE("503 Busy", "{ID}"), 0},
    {"429 that does not say so", FAILURE("429 Many", "{ID}"), 0},
    {"408 that does not say so", FAILURE("408 Late", "{ID}"), 0},
    {"503 of another request, kept connection", REFUSAL("503 Busy", "zz"),
	WARM_REQUESTS},
    {"429 of another request, kept connection", REFUSAL("429 Many", "zz"),
	WARM_REQUESTS},
    {"421 of another request, kept connection",
	"HTTP/1.1 421 No\r\nAttempt-Id: zz\r\nContent-Length: 0\r\n\r\n",
	WARM_REQUESTS},
    {"503 that does not say so, kept connection", FAILURE("503 Busy", "{ID}"),
	WARM_REQUESTS},
    {"429 that does not say so, kept connection", FAILURE("429 Many", "{ID}"),
	WARM_REQUESTS},
    {"408 that does not say so, kept connection", FAILURE("408 Late", "{ID}"),
	WARM_REQUESTS},
    {"503 without an id, kept connection", REFUSAL_WITHOUT_ID, WARM_REQUESTS},
    {"503 that names two requests",
	"HTTP/1.1 503 Busy\r\nAttempt-Id: {ID}\r\nAttempt-Id: zz\r\n"
	"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	0},
    {"421 that names two requests",
	"HTTP/1.1 421 No\r\nAttempt-Id: {ID}\r\nattempt-id: zz\r\n"
	"Content-Length: 0\r\n\r\n",
	0},
    {"200 that names two requests",
	"HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS
	"Attempt-Id: zz\r\nContent-Length: 5\r\n\r\nbody!",
	0},
    {"503 that names two requests, kept connection",
	"HTTP/1.1 503 Busy\r\nAttempt-Id: {ID}\r\nAttempt-Id: r1\r\n"
	"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	WARM_REQUESTS},
    {"an interim answer says that it did not run",
	"HTTP/1.1 103 Hints\r\nAttempt-Id: {ID}\r\nNot-Executed: 1\r\n"
	"\r\n" FAILURE("503 Busy", "{ID}"),
	0},
    {"a trailer says that it did not run",
	"HTTP/1.1 503 Busy\r\n" ATTEMPT_FIELDS
	"Transfer-Encoding: chunked\r\n\r\n5\r\nbusy!\r\n0\r\n"
	"Not-Executed: 1\r\n\r\n",
	0},
    {"a refusal whose body breaks off",
	"HTTP/1.1 503 Busy\r\nAttempt-Id: {ID}\r\nNot-Executed: 1\r\n"
	"Content-Length: 9\r\n\r\nno<close>",
	0},
    {"a refusal without length whose connection is reset",
	"HTTP/1.1 503 Busy\r\nAttempt-Id: {ID}\r\nNot-Executed: 1\r\n\r\n"
	"no<reset>",
	0},
    {"503 of HTTP/1.0 that does not say so",
	"HTTP/1.0 503 Busy\r\n" ATTEMPT_FIELDS "\r\nbusy!<close>", 0},
    {"a refusal with two lengths",
	"HTTP/1.1 503 Busy\r\nAttempt-Id: {ID}\r\nNot-Executed: 1\r\n"
	"Content-Length: 2\r\nContent-Length: 0\r\n\r\nno",
	0},
    {"a refusal that stops in its field, and an answer behind it",
	"HTTP/1.1 503 Busy\r\nNot-Executed: 1HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS
	"Content-Length: 5\r\n\r\nbody!",
	0},
    {"a success that says that it did not run",
	"HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS
	"Not-Executed: 1\r\nContent-Length: 5\r\n\r\nbody!",
	0},
};

static uint32_t
read_status(const char *answer)
{
	uint32_t status;

	return sscanf(answer, "HTTP/1.1 %u", &status) == 1 ? status : 0;
}

/* Sends a request and checks that it ran at most once, and not at all if the
 * caller is told so. Returns the status of the answer. */
static uint32_t
send_and_check(struct hosts *hosts, const char *path, const char *name)
{
	char id[ID_SIZE], *request, *answer;
	uint32_t status, runs, runs_before;

	if (!hosts->repeats_id || hosts->requests == 0)
		hosts->requests++;
	snprintf(id, sizeof(id), "r%u", hosts->requests);
	runs_before = relay_fixture_runs(&hosts->serving, id);
	request = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\n"
				  "Attempt-Id: %s\r\nX-Api-Key: key1\r\n"
				  "Deadline-Ms: 1400\r\n"
				  "Content-Length: 5\r\n\r\nhello",
	    path, id);
	answer = relay_fixture_send_request(hosts->asked, request);
	status = read_status(answer);
	runs = relay_fixture_runs(&hosts->serving, id) - runs_before;
	if (runs > 1 && strcmp(path, "/once/") == 0)
		fail_msg(
		    "%s: %s ran %u times, then\n%s", name, id, runs, answer);
	if (runs > 0 && status_means_not_run(status))
		fail_msg("%s: %s ran, its caller got\n%s", name, id, answer);
	if (strstr(answer, "busy!") != NULL && status == 502)
		fail_msg("%s: body of another status\n%s", name, answer);
	g_free(request);
	g_free(answer);
	return status;
}

static void
await_report(struct hosts *hosts)
{
	uint32_t before, i;

	before = atomic_load(&hosts->forwarding.reports_received);
	hosts->asked = &hosts->serving;
	(void)send_and_check(hosts, "/idem/", "first report");
	for (i = 0; i < WAIT_ROUNDS &&
		    atomic_load(&hosts->forwarding.reports_received) == before;
	     i++)
		usleep(WAIT_US);
	assert_true(atomic_load(&hosts->forwarding.reports_received) > before);
	hosts->asked = &hosts->forwarding;
}

static struct hosts *
start_hosts(bool is_forwarded)
{
	struct hosts *hosts;

	hosts = g_new0(struct hosts, 1);
	relay_fixture_init_host(&hosts->serving, 2, RELAY_FIXTURE_OPEN);
	hosts->asked = &hosts->serving;
	if (!is_forwarded)
		return hosts;
	relay_fixture_init_host(&hosts->forwarding, 1, RELAY_FIXTURE_REFUSED);
	relay_fixture_link(&hosts->forwarding, &hosts->serving);
	relay_fixture_add_answer(&hosts->serving, OK_ANSWER);
	await_report(hosts);
	return hosts;
}

static void
stop_hosts(struct hosts *hosts)
{
	if (hosts->forwarding.host != NULL) {
		relay_fixture_unlink(&hosts->forwarding, &hosts->serving);
		relay_fixture_finish(&hosts->forwarding);
	}
	relay_fixture_finish(&hosts->serving);
	g_free(hosts);
}

/* Upstreams refuse a request, and write the refusal once more before their answer
 * to the next one on the same connection. Callers of these requests are served,
 * but for a refusal that nobody can attribute. */
static void
check_repeated(size_t i, bool is_forwarded, const char *path)
{
	bool has_id = strstr(repeated[i].refusal, "{ID}") != NULL;
	char *again = g_strconcat("<again>", OK_ANSWER, NULL);
	struct hosts *hosts;
	uint32_t round, j, status;

	hosts = start_hosts(is_forwarded);
	for (round = 0;
	     round < ROUNDS_MAX && relay_fixture_repeated(&hosts->serving) == 0;
	     round++) {
		relay_fixture_replace_answers(
		    &hosts->serving, repeated[i].refusal);
		(void)send_and_check(hosts, path, repeated[i].name);
		relay_fixture_replace_answers(&hosts->serving, again);
		for (j = 0; j < LATER_REQUESTS; j++) {
			status = send_and_check(hosts, path, repeated[i].name);
			if (has_id && status != 200)
				fail_msg("%s, %s: status %u", repeated[i].name,
				    path, status);
		}
	}
	if (relay_fixture_repeated(&hosts->serving) == 0)
		fail_msg("%s: nothing was repeated", repeated[i].name);
	stop_hosts(hosts);
	g_free(again);
}

static void
test_repeated_refusal_is_no_answer_to_a_later_request(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(repeated); i++) {
		check_repeated(i, false, "/once/");
		check_repeated(i, false, "/idem/");
	}
}

static void
test_repeated_refusal_over_another_host(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(repeated); i++)
		check_repeated(i, true, "/once/");
}

/* What a caller gets behind repeated answers. */
static const struct {
	const char *name;
	const char *method;
	const char *path;
	const char *answer;
	uint32_t status; /* Of each request that one was repeated before. */
} behind[] = {
    {"four copies", "POST", "/once/", "<again><again><again><again>" OK_ANSWER,
	200},
    {"five copies", "POST", "/once/",
	"<again><again><again><again><again>" OK_ANSWER, 502},
    {"HEAD", "HEAD", "/once/",
	"<again>HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS "Content-Length: 5\r\n\r\n",
	200},
    {"silence after it: sent elsewhere", "POST", "/idem/", "<again><hang>",
	200},
};

static uint32_t
send_behind(struct hosts *hosts, size_t i)
{
	char *request, *answer;
	uint32_t status;

	request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: h\r\n"
				  "Attempt-Id: b%u\r\nX-Api-Key: key1\r\n"
				  "Connection: close\r\n"
				  "Deadline-Ms: 1400\r\n\r\n",
	    behind[i].method, behind[i].path, ++hosts->requests);
	answer = relay_fixture_send_request(hosts->asked, request);
	status = read_status(answer);
	g_free(request);
	g_free(answer);
	return status;
}

static void
check_behind(size_t i)
{
	static const char refusal[] =
	    "HTTP/1.1 503 Busy\r\nAttempt-Id: {ID}\r\nNot-Executed: 1\r\n"
	    "Content-Length: 3\r\n\r\nno!";
	struct hosts *hosts;
	uint32_t round, status;

	hosts = start_hosts(false);
	status = 0;
	for (round = 0;
	     round < ROUNDS_MAX && relay_fixture_repeated(&hosts->serving) == 0;
	     round++) {
		relay_fixture_replace_answers(&hosts->serving, refusal);
		(void)send_and_check(hosts, "/once/", behind[i].name);
		relay_fixture_replace_answers(
		    &hosts->serving, behind[i].answer);
		relay_fixture_add_answer(&hosts->serving, OK_ANSWER);
		status = send_behind(hosts, i);
	}
	if (relay_fixture_repeated(&hosts->serving) == 0 ||
	    status != behind[i].status)
		fail_msg("%s: status %u", behind[i].name, status);
	stop_hosts(hosts);
}

static void
test_caller_behind_a_repeated_answer_is_served(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(behind); i++)
		check_behind(i);
}

/* An upstream refuses, gets a request with the same id again over the same
 * connection, and writes the first refusal once more. */
static void
test_repeated_refusal_with_the_same_id(void **state)
{
	char *again = g_strconcat("<again>", OK_ANSWER, NULL);
	struct hosts *hosts;
	uint32_t i;

	(void)state;
	hosts = start_hosts(false);
	hosts->repeats_id = true;
	relay_fixture_replace_answers(&hosts->serving, NOT_RUN);
	(void)send_and_check(hosts, "/once/", "same id");
	relay_fixture_replace_answers(&hosts->serving, again);
	for (i = 0; i < LATER_REQUESTS; i++)
		assert_int_equal(
		    send_and_check(hosts, "/once/", "same id"), 200);
	stop_hosts(hosts);
	g_free(again);
}

static void
check_unfounded(size_t i, bool is_forwarded)
{
	struct hosts *hosts;
	uint32_t j;

	hosts = start_hosts(is_forwarded);
	relay_fixture_replace_answers(&hosts->serving, OK_ANSWER);
	for (j = 0; j < unfounded[i].warm; j++)
		(void)send_and_check(hosts, "/once/", unfounded[i].name);
	relay_fixture_replace_answers(&hosts->serving, unfounded[i].answer);
	/* What the upstream ran shows by its answer to the second one. */
	relay_fixture_add_answer(&hosts->serving, OK_ANSWER);
	j = send_and_check(hosts, "/once/", unfounded[i].name);
	if (status_means_not_run(j) || j == 200)
		fail_msg("%s: status %u", unfounded[i].name, j);
	stop_hosts(hosts);
}

static void
test_answer_that_does_not_refuse_this_request_is_no_promise(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(unfounded); i++)
		check_unfounded(i, false);
}

static void
test_unfounded_promise_over_another_host(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(unfounded); i++)
		check_unfounded(i, true);
}

/* Sets a table in which the route /idem/x/ runs a request at most once. */
static void *
forbid_repeats_later(void *argument)
{
	static const char document[] =
	    "{\"version\":2,\"routes\":["
	    "{\"name\":\"idem\",\"host\":\"h\",\"pathPrefix\":\"/idem/\","
	    "\"kind\":\"idempotent\",\"timeoutMs\":1500,\"sloMs\":300,"
	    "\"service\":\"s\",\"maxAttempts\":2},"
	    "{\"name\":\"new\",\"host\":\"h\",\"pathPrefix\":\"/idem/x/\","
	    "\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"sloMs\":300,"
	    "\"service\":\"s\",\"maxAttempts\":2}],"
	    "\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\"}],"
	    "\"tenants\":[{\"name\":\"spa\",\"apiKeys\":[\"key1\"]}]}";
	struct relay_fixture *fixture = argument;
	struct field_error error;
	uint32_t i;

	for (i = 0;
	     i < WAIT_ROUNDS && relay_fixture_request_count(fixture) == 0; i++)
		usleep(WAIT_US / 10);
	relay_set_table(&fixture->relay,
	    platform_routes_parse(document, strlen(document), &error));
	return NULL;
}

/* While an upstream runs the request, the configuration changes, so that it may
 * not be run again when the upstream has failed. */
static void
test_request_that_ran_is_not_sent_under_a_new_route(void **state)
{
	struct hosts *hosts;
	pthread_t thread;
	char *failure;

	(void)state;
	hosts = start_hosts(false);
	failure = g_strconcat("<slow>", FAILURE("500 Oops", "{ID}"), NULL);
	relay_fixture_replace_answers(&hosts->serving, failure);
	pthread_create(&thread, NULL, forbid_repeats_later, &hosts->serving);
	assert_int_equal(send_and_check(hosts, "/idem/x/", "new route"), 500);
	pthread_join(thread, NULL);
	assert_int_equal(relay_fixture_request_count(&hosts->serving), 1);
	stop_hosts(hosts);
	g_free(failure);
}

/* An answer without an id on a connection that has carried others can't be
 * attributed, so a request or an order without an id has one of its own, which is
 * closed after it. */
static void
test_requests_without_id_share_no_connection(void **state)
{
	static const char *const requests[] = {
	    "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Api-Key: key1\r\n\r\n",
	    /* More memory than one engine has: reserved by orders. */
	    "POST /stream/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: long\r\n"
	    "X-Api-Key: key1\r\nToken-Counts: 140000,100\r\n\r\n",
	};
	struct hosts *hosts;
	uint32_t i, j, received;
	char *answer;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(requests); i++) {
		hosts = start_hosts(false);
		relay_fixture_replace_answers(&hosts->serving,
		    "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
		    "Content-Length: 2\r\n\r\n{}");
		for (j = 0; j < WARM_REQUESTS; j++) {
			answer = relay_fixture_send_request(
			    hosts->asked, requests[i]);
			g_free(answer);
		}
		for (j = 0;
		     j < WAIT_ROUNDS && relay_fixture_open(&hosts->serving) > 1;
		     j++)
			usleep(WAIT_US);
		received = relay_fixture_request_count(&hosts->serving);
		assert_true(received >= WARM_REQUESTS);
		assert_int_equal(
		    relay_fixture_opened(&hosts->serving), received);
		assert_true(relay_fixture_open(&hosts->serving) <= 1);
		stop_hosts(hosts);
	}
}

/* What a caller is told after one or two attempts, of which upstreams ran some. */
static const struct {
	const char *path;
	const char *first;
	const char *second; /* Each later answer, too. */
	uint32_t status;
} attempts[] = {
    {"/once/", NOT_RUN, NOT_RUN, 503},
    {"/once/", NOT_RUN, REFUSAL("429 Many", "{ID}"), 503},
    {"/once/", NOT_RUN, "<hang>", 504},
    {"/once/", NOT_RUN, "<reset>", 502},
    {"/once/", NOT_RUN, "<crash>", 502},
    {"/once/", "<hang>", OK_ANSWER, 504},
    {"/once/", "<reset>", OK_ANSWER, 502},
    {"/once/", "<crash>", OK_ANSWER, 502},
    {"/idem/", "<reset>", NOT_RUN, 502},
    {"/idem/", "<crash>", NOT_RUN, 502},
    {"/idem/", FAILURE("500 Oops", "{ID}"), NOT_RUN, 500},
    {"/idem/", "<reset>", "<hang>", 504},
    {"/idem/", "<hang>", NOT_RUN, 502},
    {"/stream/", "<reset>", NOT_RUN, 502},
};

static void
check_attempts(size_t i, bool is_forwarded)
{
	struct hosts *hosts;
	uint32_t status;

	hosts = start_hosts(is_forwarded);
	relay_fixture_replace_answers(&hosts->serving, attempts[i].first);
	relay_fixture_add_answer(&hosts->serving, attempts[i].second);
	status = send_and_check(hosts, attempts[i].path, attempts[i].first);
	if (status_means_not_run(status) !=
	    status_means_not_run(attempts[i].status))
		fail_msg("%s, %s, then %s: status %u", attempts[i].path,
		    attempts[i].first, attempts[i].second, status);
	if (!is_forwarded)
		assert_int_equal(status, attempts[i].status);
	stop_hosts(hosts);
}

/* A refusal by one upstream says nothing of an attempt at another one, before or
 * after it. */
static void
test_promise_holds_for_all_attempts(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(attempts); i++) {
		check_attempts(i, false);
		check_attempts(i, true);
	}
}

/* The status of an upstream that has run the request promises nothing on any kind
 * of route. No upstream gets more requests for it than the route allows. */
static void
test_status_after_a_run_is_no_promise_on_any_route(void **state)
{
	static const struct {
		const char *path;
		uint32_t attempts; /* That the route allows. */
	} routes[] = {{"/once/", 1}, {"/idem/", 2}, {"/stream/", 2}};
	static const char *const answers[] = {FAILURE("429 Many", "{ID}"),
	    FAILURE("408 Late", "{ID}"), FAILURE("503 Busy", "{ID}")};
	struct hosts *hosts;
	size_t i, j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(routes) * G_N_ELEMENTS(answers); i++) {
		hosts = start_hosts(false);
		relay_fixture_replace_answers(
		    &hosts->serving, answers[i % G_N_ELEMENTS(answers)]);
		for (j = 0; j < LATER_REQUESTS / 4; j++)
			assert_int_equal(
			    send_and_check(hosts,
				routes[i / G_N_ELEMENTS(answers)].path,
				"after a run"),
			    502);
		assert_true(relay_fixture_request_count(&hosts->serving) <=
			    LATER_REQUESTS / 4 *
				routes[i / G_N_ELEMENTS(answers)].attempts);
		stop_hosts(hosts);
	}
}

/* A caller's id that is empty, or longer than the log prints it, comes back as it
 * was sent, and the answer belongs to the request. */
static void
test_unusual_ids_are_compared_whole(void **state)
{
	char *long_id = g_strnfill(300, 'x'), *request, *answer;
	const char *ids[] = {"", long_id};
	struct hosts *hosts;
	uint32_t i, j;

	(void)state;
	for (i = 0; i < 2 * G_N_ELEMENTS(ids); i++) {
		hosts = start_hosts(i >= G_N_ELEMENTS(ids));
		relay_fixture_replace_answers(&hosts->serving, NOT_RUN);
		relay_fixture_add_answer(&hosts->serving, OK_ANSWER);
		request = g_strdup_printf("POST /once/ HTTP/1.1\r\nHost: h\r\n"
					  "X-Api-Key: key1\r\nAttempt-Id: "
					  "%s\r\nDeadline-Ms: 1000\r\n\r\n",
		    ids[i % G_N_ELEMENTS(ids)]);
		for (j = 0; j < WARM_REQUESTS; j++) {
			answer =
			    relay_fixture_send_request(hosts->asked, request);
			if (read_status(answer) != 200)
				fail_msg(
				    "id %u, request %u:\n%s", i, j, answer);
			g_free(answer);
		}
		g_free(request);
		stop_hosts(hosts);
	}
	g_free(long_id);
}

/* On a new connection nothing earlier can come, so a refusal without an id is
 * that of the request. */
static void
test_refusal_without_id_on_a_new_connection_is_believed(void **state)
{
	struct hosts *hosts;

	(void)state;
	hosts = start_hosts(false);
	relay_fixture_replace_answers(&hosts->serving, REFUSAL_WITHOUT_ID);
	relay_fixture_add_answer(&hosts->serving, OK_ANSWER);
	assert_int_equal(send_and_check(hosts, "/once/", "without id"), 200);
	assert_int_equal(relay_fixture_request_count(&hosts->serving), 2);
	stop_hosts(hosts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_repeated_refusal_is_no_answer_to_a_later_request),
	    cmocka_unit_test(test_repeated_refusal_over_another_host),
	    cmocka_unit_test(test_caller_behind_a_repeated_answer_is_served),
	    cmocka_unit_test(test_repeated_refusal_with_the_same_id),
	    cmocka_unit_test(
		test_answer_that_does_not_refuse_this_request_is_no_promise),
	    cmocka_unit_test(test_unfounded_promise_over_another_host),
	    cmocka_unit_test(
		test_refusal_without_id_on_a_new_connection_is_believed),
	    cmocka_unit_test(
		test_request_that_ran_is_not_sent_under_a_new_route),
	    cmocka_unit_test(test_unusual_ids_are_compared_whole),
	    cmocka_unit_test(test_requests_without_id_share_no_connection),
	    cmocka_unit_test(
		test_status_after_a_run_is_no_promise_on_any_route),
	    cmocka_unit_test(test_promise_holds_for_all_attempts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
