/*
 * Tests of a host that reaches no upstream: its callers are served through
 * another host, under the same rules as any request.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include <cmocka.h>

#include "protocol/forward_message.h"
#include "relay_answers.h"
#include "relay_fixture.h"

#define WAIT_ROUNDS 500
#define WAIT_US	    10000
/* Times that a case with a random choice of upstreams is run. */
#define ROUNDS 8
/* Requests whose connections break as the path is lost. */
#define BROKEN_TOGETHER 3
/* By then it is decided whether an upstream has ended. */
#define EVALUATION_US 700000

#define HEAD(path, deadline_ms)                                                \
	"POST " path " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"              \
	"X-Api-Key: key1\r\nDeadline-Ms: " deadline_ms "\r\n"
#define CALL(path) HEAD(path, "1400") "Content-Length: 5\r\n\r\nhello"
#define PAUSE                                                                  \
	"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 30\r\n"          \
	"Content-Length: 0\r\n\r\n"
#define OK_ANSWER ANSWER("200 OK", "body!", "5")

/* A host without a path and one with a path that know each other. */
struct two_hosts {
	struct relay_fixture cut;
	struct relay_fixture open;
};

/* What the upstreams answer to the host with a path, and what the caller of the
 * host without one must get. */
static const struct {
	const char *name;
	const char *request;
	const char *first;	      /* First answer of an upstream. */
	const char *second;	      /* Later answers; NULL repeats first. */
	const char *answer_contains;  /* Text in the caller's answer. */
	const char *answer_lacks;     /* Text not in the answer, or NULL. */
	uint32_t received;	      /* Requests that reached upstreams. */
	const char *request_contains; /* Text in the last request, or NULL. */
} cases[] = {
    {"at most once: served", CALL("/once/"), OK_ANSWER, NULL, "body!", NULL, 1,
	"Tenant: spa\r\n"},
    {"idempotent: served", CALL("/idem/x%2Fy?q=1&r"), OK_ANSWER, NULL,
	"Response-Seal: seal", NULL, 1, "POST /idem/x%2Fy?q=1&r HTTP/1.1\r\n"},
    {"stream: served", CALL("/stream/"), EVENT_STREAM EVENT1 EVENT2 STREAM_END,
	NULL, "id: 2\ndata: b\n\n\r\n0\r\n\r\n", NULL, 1, "Target-Instance: u"},
    {"at most once: a reset is not run again", CALL("/once/"), "<reset>", NULL,
	"HTTP/1.1 502", NULL, 1, NULL},
    {"at most once: a refusal is tried elsewhere", CALL("/once/"), NOT_RUN,
	OK_ANSWER, "body!", NULL, 2, NULL},
    {"at most once: no more upstreams than the route allows", CALL("/once/"),
	NOT_RUN, NULL, "Retry-After: ", NULL, 2, NULL},
    {"idempotent: a failure is tried elsewhere", CALL("/idem/"),
	ANSWER("500 Oops", "oops!", "5"), OK_ANSWER, "body!", "oops", 2, NULL},
    {"idempotent: no more upstreams than the route allows", CALL("/idem/"),
	ANSWER("500 Oops", "oops!", "5"), NULL, "HTTP/1.1 500", NULL, 2, NULL},
    {"stream: resumed after its last event", CALL("/stream/"),
	EVENT_STREAM EVENT1 "8\r\nid: 2\nda\r\n<reset>",
	EVENT_STREAM EVENT2 STREAM_END, "id: 2\ndata: b\n\n\r\n0\r\n\r\n", NULL,
	2, "Last-Event-Id: 1\r\n"},
    {"an unknown path", CALL("/none/"), OK_ANSWER, NULL, "HTTP/1.1 404", NULL,
	0, NULL},
};

static const enum relay_fixture_path cut_paths[] = {
    RELAY_FIXTURE_REFUSED, RELAY_FIXTURE_SILENT};

/* Waits until a host has heard of the other one, which reports its work. */
static void
await_report(struct relay_fixture *hearing, struct relay_fixture *reporting)
{
	uint32_t before, i;
	char *answer;

	before = atomic_load(&hearing->reports_received);
	answer = relay_fixture_send_request(reporting, CALL("/idem/"));
	g_free(answer);
	for (i = 0; i < WAIT_ROUNDS &&
		    atomic_load(&hearing->reports_received) == before;
	     i++)
		usleep(WAIT_US);
	assert_true(atomic_load(&hearing->reports_received) > before);
}

static struct two_hosts *
start_hosts(enum relay_fixture_path path)
{
	struct two_hosts *hosts;

	hosts = g_new0(struct two_hosts, 1);
	relay_fixture_init_host(&hosts->cut, 1, path);
	relay_fixture_init_host(&hosts->open, 2, RELAY_FIXTURE_OPEN);
	relay_fixture_link(&hosts->cut, &hosts->open);
	relay_fixture_add_answer(&hosts->open, OK_ANSWER);
	await_report(&hosts->cut, &hosts->open);
	return hosts;
}

static void
stop_hosts(struct two_hosts *hosts)
{
	relay_fixture_unlink(&hosts->cut, &hosts->open);
	relay_fixture_finish(&hosts->cut);
	relay_fixture_finish(&hosts->open);
	g_free(hosts);
}

static void
run_case(size_t i, enum relay_fixture_path path)
{
	struct two_hosts *hosts;
	uint32_t before, received;
	char *answer, *last;

	hosts = start_hosts(path);
	before = relay_fixture_request_count(&hosts->open);
	relay_fixture_replace_answers(&hosts->open, cases[i].first);
	if (cases[i].second != NULL)
		relay_fixture_add_answer(&hosts->open, cases[i].second);
	answer = relay_fixture_send_request(&hosts->cut, cases[i].request);
	if (strstr(answer, cases[i].answer_contains) == NULL)
		fail_msg("%s, path %d: answer\n%s", cases[i].name, (int)path,
		    answer);
	if (cases[i].answer_lacks != NULL)
		assert_null(strstr(answer, cases[i].answer_lacks));
	assert_null(strstr(answer, "Forward"));
	received = relay_fixture_request_count(&hosts->open) - before;
	if (received != cases[i].received)
		fail_msg("%s, path %d: %u requests", cases[i].name, (int)path,
		    received);
	if (received > 0) {
		last = relay_fixture_received_request(
		    &hosts->open, before + received - 1);
		if (cases[i].request_contains != NULL &&
		    strstr(last, cases[i].request_contains) == NULL)
			fail_msg("%s: sent\n%s", cases[i].name, last);
		assert_null(strstr(last, "key1"));
		assert_null(strstr(last, "Forward"));
		g_free(last);
	}
	g_free(answer);
	stop_hosts(hosts);
}

static void
test_callers_of_a_host_without_path_are_served(void **state)
{
	size_t i, path;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (path = 0; path < G_N_ELEMENTS(cut_paths); path++)
			run_case(i, cut_paths[path]);
	}
}

/* Upstreams that the cut host could not reach have not had the request, so the
 * other host may well use them: here only one of its upstreams takes any. */
static void
test_upstreams_that_were_not_reached_do_not_count_as_tried(void **state)
{
	struct two_hosts *hosts;
	uint32_t round, i;
	char *answer;

	(void)state;
	for (round = 0; round < ROUNDS; round++) {
		hosts = start_hosts(RELAY_FIXTURE_REFUSED);
		/* Each round leaves another upstream. */
		for (i = 0; i < round; i++)
			g_free(relay_fixture_send_request(
			    &hosts->open, CALL("/idem/")));
		relay_fixture_replace_answers(&hosts->open, PAUSE);
		for (i = 1; i + 1 < RELAY_FIXTURE_UPSTREAMS; i++)
			relay_fixture_add_answer(&hosts->open, PAUSE);
		relay_fixture_add_answer(&hosts->open, OK_ANSWER);
		for (i = 1; i < RELAY_FIXTURE_UPSTREAMS; i++)
			g_free(relay_fixture_send_request(
			    &hosts->open, CALL("/idem/")));
		answer =
		    relay_fixture_send_request(&hosts->cut, CALL("/once/"));
		if (strstr(answer, "body!") == NULL)
			fail_msg("round %u: %s", round, answer);
		g_free(answer);
		stop_hosts(hosts);
	}
}

/* Sends a request to a host and returns the answer. */
static void *
send_call(void *fixture)
{
	return relay_fixture_send_request(fixture, CALL("/idem/"));
}

/* Several connections break together as the path is lost. No upstream has ended,
 * so nobody may take their requests for ones that end upstreams. */
static void
test_lost_path_makes_no_request_a_suspect(void **state)
{
	pthread_t senders[BROKEN_TOGETHER];
	struct two_hosts *hosts;
	void *answer;
	uint32_t i;

	(void)state;
	hosts = start_hosts(RELAY_FIXTURE_OPEN);
	relay_fixture_add_answer(&hosts->cut, "<slow><reset>");
	for (i = 0; i < BROKEN_TOGETHER; i++)
		pthread_create(&senders[i], NULL, send_call, &hosts->cut);
	for (i = 0; i < WAIT_ROUNDS &&
		    relay_fixture_request_count(&hosts->cut) < BROKEN_TOGETHER;
	     i++)
		usleep(WAIT_US);
	relay_fixture_cut(&hosts->cut);
	for (i = 0; i < BROKEN_TOGETHER; i++) {
		pthread_join(senders[i], &answer);
		assert_non_null(strstr(answer, "body!"));
		g_free(answer);
	}
	usleep(EVALUATION_US);
	answer = send_call(&hosts->cut);
	if (strstr(answer, "body!") == NULL)
		fail_msg("%s", (char *)answer);
	g_free(answer);
	stop_hosts(hosts);
}

/* Neither host has a path: the caller is told that the request did not run. */
static void
test_no_host_with_a_path_is_told_at_once(void **state)
{
	struct relay_fixture *first, *second;
	char *answer;

	(void)state;
	first = g_new0(struct relay_fixture, 2);
	second = first + 1;
	relay_fixture_init_host(first, 1, RELAY_FIXTURE_SILENT);
	relay_fixture_init_host(second, 2, RELAY_FIXTURE_SILENT);
	relay_fixture_link(first, second);
	await_report(first, second);
	answer = relay_fixture_send_request(first, CALL("/once/"));
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "Retry-After: "));
	g_free(answer);
	/* By now both know it, and try no upstream in vain. */
	usleep(EVALUATION_US);
	answer = relay_fixture_send_request(first, CALL("/once/"));
	assert_non_null(strstr(answer, "no host reaches an upstream"));
	assert_non_null(strstr(answer, "Retry-After: "));
	g_free(answer);
	relay_fixture_unlink(first, second);
	relay_fixture_finish(first);
	relay_fixture_finish(second);
	g_free(first);
}

/* The upstream's connection is closed by the host that has it. */
static void
test_caller_that_leaves_ends_the_forwarded_request(void **state)
{
	struct two_hosts *hosts;
	uint32_t before, i;
	int fd;

	(void)state;
	hosts = start_hosts(RELAY_FIXTURE_REFUSED);
	before = relay_fixture_request_count(&hosts->open);
	relay_fixture_replace_answers(&hosts->open, "<hang>");
	fd = relay_fixture_connect(&hosts->cut);
	assert_true(send(fd, CALL("/idem/"), strlen(CALL("/idem/")), 0) > 0);
	for (i = 0; i < WAIT_ROUNDS &&
		    relay_fixture_request_count(&hosts->open) == before;
	     i++)
		usleep(WAIT_US);
	close(fd);
	for (i = 0; i < WAIT_ROUNDS &&
		    atomic_load(&hosts->open.relay.counters.callers_left) == 0;
	     i++)
		usleep(WAIT_US);
	assert_int_equal(
	    atomic_load(&hosts->open.relay.counters.callers_left), 1);
	stop_hosts(hosts);
}

/* A host that stops takes no forwarded request, so its callers' host can look
 * for another one. */
static void
test_stopping_host_takes_no_forwarded_request(void **state)
{
	struct two_hosts *hosts;
	uint32_t before, i;
	char *answer;

	(void)state;
	hosts = start_hosts(RELAY_FIXTURE_REFUSED);
	before = relay_fixture_request_count(&hosts->open);
	relay_drain(&hosts->open.relay);
	answer = relay_fixture_get_monitor(&hosts->open, "/v1/ready");
	for (i = 0; i < WAIT_ROUNDS && strstr(answer, "HTTP/1.1 503") == NULL;
	     i++) {
		g_free(answer);
		usleep(WAIT_US);
		answer = relay_fixture_get_monitor(&hosts->open, "/v1/ready");
	}
	g_free(answer);
	answer = relay_fixture_send_request(&hosts->cut, CALL("/once/"));
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	g_free(answer);
	assert_int_equal(relay_fixture_request_count(&hosts->open), before);
	stop_hosts(hosts);
}

/* Sends a stream that its caller has waited for since five seconds to the port for
 * other hosts. */
static char *
send_old_stream(struct relay_fixture *fixture, bool has_partial_answer)
{
	struct forward_request forward = {.age_ms = 5000,
	    .routes_version = 1,
	    .has_partial_answer = has_partial_answer};
	char *field, *request, *answer;

	forward.token = fixture->relay.placement.forwarding.token;
	field = forward_request_format(&forward);
	request = g_strdup_printf(
	    HEAD("/stream/",
		"1400") "Token-Counts: 100,10\r\nLast-Event-Id: 1\r\n"
			"Chicorytack-Forward: %s\r\n\r\n",
	    field);
	answer = relay_fixture_send_forwarded(fixture, request);
	g_free(request);
	g_free(field);
	return answer;
}

/* A caller that has part of the answer is still there, however long ago its
 * request arrived; one that has waited in vain for so long has left. */
static void
test_resumed_stream_is_not_taken_for_one_that_waited_in_vain(void **state)
{
	struct relay_fixture *fixture;
	char *answer;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, EVENT_STREAM EVENT2 STREAM_END);
	answer = send_old_stream(fixture, true);
	if (strstr(answer, "id: 2") == NULL)
		fail_msg("%s", answer);
	g_free(answer);
	answer = send_old_stream(fixture, false);
	assert_non_null(strstr(answer, "deadline_unreachable"));
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* Who doesn't know the token of a host can't use the port for other hosts, and a
 * caller can't pretend at the other port that its request was forwarded. */
static void
test_forwarded_request_without_token_is_refused(void **state)
{
	static const char request[] = HEAD("/idem/",
	    "1400") "Chicorytack-Forward: {\"token\":"
		    "\"0000000000000000\",\"age_ms\":0,"
		    "\"routes_version\":1,\"may_go_on\":true,"
		    "\"has_partial_answer\":false,\"tried\":[]}\r\n\r\n";
	struct relay_fixture *fixture;
	char *answer;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, OK_ANSWER);
	answer = relay_fixture_send_forwarded(fixture, request);
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "unauthenticated"));
	g_free(answer);
	assert_int_equal(relay_fixture_request_count(fixture), 0);
	answer = relay_fixture_send_request(fixture, request);
	assert_non_null(strstr(answer, "body!"));
	assert_null(strstr(answer, "Forward"));
	g_free(answer);
	answer = relay_fixture_received_request(fixture, 0);
	assert_null(strstr(answer, "Forward"));
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_callers_of_a_host_without_path_are_served),
	    cmocka_unit_test(
		test_upstreams_that_were_not_reached_do_not_count_as_tried),
	    cmocka_unit_test(test_lost_path_makes_no_request_a_suspect),
	    cmocka_unit_test(test_no_host_with_a_path_is_told_at_once),
	    cmocka_unit_test(
		test_caller_that_leaves_ends_the_forwarded_request),
	    cmocka_unit_test(test_stopping_host_takes_no_forwarded_request),
	    cmocka_unit_test(
		test_resumed_stream_is_not_taken_for_one_that_waited_in_vain),
	    cmocka_unit_test(test_forwarded_request_without_token_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
