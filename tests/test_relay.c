/*
 * Tests of the relay between callers and scripted upstreams over loopback.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include <cmocka.h>

#include "platform_routes.h"
#include "relay_answers.h"
#include "relay_fixture.h"

/* Callers and requests of the test of limits; at one request a second they take
 * less than the four seconds of the bound. */
#define SENDERS		    50
#define REQUESTS_PER_SENDER 2
#define LIMIT_BOUND	    11
/* By then a crash has been evaluated, and the upstream is up again. */
#define EVALUATION_US 400000

#define HEAD(method, path)                                                     \
	method " " path " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"           \
	       "X-Api-Key: key1\r\nDeadline-Ms: 1000\r\n"
#define CALL(path) HEAD("POST", path) "Content-Length: 5\r\n\r\nhello"
/* Announces a prompt that needs more memory than one engine has. */
#define LONG_PROMPT                                                            \
	HEAD("POST", "/stream/")                                               \
	"Token-Counts: 140000,100\r\nContent-Length: 5\r\n\r\nhello"

/* Exchanges between caller, relay and upstreams: what the upstreams answer, and
 * what caller and upstreams must receive. */
static const struct {
	const char *name;
	const char *request;
	const char *first;	      /* First answer of an upstream. */
	const char *second;	      /* Later answers; NULL repeats first. */
	const char *answer_contains;  /* Text in the caller's answer. */
	const char *answer_lacks;     /* Text not in the answer, or NULL. */
	uint32_t received;	      /* Requests that reached upstreams. */
	const char *request_contains; /* Text in the last request, or NULL. */
	const char *request_lacks;    /* Text not in that request, or NULL. */
} cases[] = {
    {"path, query and body are forwarded unchanged", CALL("/idem/x%2Fy?q=1&r"),
	ANSWER("200 OK", "body!", "5"), NULL, "\r\n\r\nbody!", NULL, 1,
	"POST /idem/x%2Fy?q=1&r HTTP/1.1\r\n", NULL},
    {"the API key is not forwarded, the account is", CALL("/idem/"),
	ANSWER("200 OK", "body!", "5"), NULL, "Response-Seal: seal", NULL, 1,
	"Tenant: spa\r\n", "key1"},
    {"headers that only the relay may set are dropped",
	HEAD("POST", "/idem/") "Tenant: other\r\nHelpers: 1.2.3.4:5\r\n"
			       "Target-Instance: evil\r\n\r\n",
	ANSWER("200 OK", "body!", "5"), NULL, "200 OK", NULL, 1,
	"Target-Instance: u", "evil"},
    {"unknown key", "GET /idem/ HTTP/1.1\r\nHost: h\r\nX-Api-Key: no\r\n\r\n",
	ANSWER("200 OK", "body!", "5"), NULL, "HTTP/1.1 401", NULL, 0, NULL,
	NULL},
    {"unknown path", CALL("/none/"), ANSWER("200 OK", "body!", "5"), NULL,
	"HTTP/1.1 404", NULL, 0, NULL, NULL},
    {"two Host headers", "GET /idem/ HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
	ANSWER("200 OK", "body!", "5"), NULL, "HTTP/1.1 400", NULL, 0, NULL,
	NULL},
    {"a body over the size limit",
	HEAD("POST", "/idem/") "Content-Length: 1001\r\n\r\n",
	ANSWER("200 OK", "body!", "5"), NULL, "HTTP/1.1 413", NULL, 0, NULL,
	NULL},
    {"at most once: a reset is a failure", CALL("/once/"), "<reset>", NULL,
	"HTTP/1.1 502", NULL, 1, NULL, NULL},
    {"at most once: an incomplete answer is a failure", CALL("/once/"),
	ANSWER("200 OK", "bo<close>", "5"), NULL, "HTTP/1.1 502", "bo", 1, NULL,
	NULL},
    {"at most once: retried elsewhere after a refusal", CALL("/once/"), NOT_RUN,
	ANSWER("200 OK", "body!", "5"), "body!", NULL, 2, NULL, NULL},
    {"at most once: refused by every upstream tried", CALL("/once/"), NOT_RUN,
	NULL, "Retry-After: ", NULL, 2, NULL, NULL},
    {"at most once: an upstream's failure is forwarded", CALL("/once/"),
	ANSWER("500 Oops", "oops!", "5"), NULL, "HTTP/1.1 500", NULL, 1, NULL,
	NULL},
    {"idempotent: retried elsewhere after a failure", CALL("/idem/"),
	ANSWER("500 Oops", "oops!", "5"), ANSWER("200 OK", "body!", "5"),
	"body!", "oops", 2, NULL, NULL},
    {"idempotent: the failure, if the retry is reset", CALL("/idem/"),
	ANSWER("500 Oops", "oops!", "5"), "<reset>", "oops!", NULL, 2, NULL,
	NULL},
    {"idempotent: the failure, if the retry is not answered", CALL("/idem/"),
	ANSWER("500 Oops", "oops!", "5"), "<hang>", "oops!", "504", 2, NULL,
	NULL},
    {"an answer without receipt", CALL("/once/"),
	"HTTP/1.1 200 OK\r\nAttempt-Id: {ID}\r\nContent-Length: 5\r\n\r\n"
	"body!",
	NULL, "HTTP/1.1 502", "body!", 1, NULL, NULL},
    {"an answer with another attempt's id", CALL("/once/"),
	"HTTP/1.1 200 OK\r\nAttempt-Id: zz\r\nResponse-Seal: s\r\n"
	"Content-Length: 5\r\n\r\nbody!",
	NULL, "HTTP/1.1 502", "body!", 1, NULL, NULL},
    {"an answer that is not HTTP", CALL("/once/"), "garbage\r\n\r\n", NULL,
	"HTTP/1.1 502", "garbage", 1, NULL, NULL},
    {"an answer without length, connection closed", CALL("/once/"),
	"HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS "\r\nbody!<close>", NULL,
	"Content-Length: 5\r\n\r\nbody!", NULL, 1, NULL, NULL},
    {"an answer without length, connection reset", CALL("/once/"),
	"HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS "\r\nbody!<reset>", NULL,
	"HTTP/1.1 502", "body!", 1, NULL, NULL},
    {"a complete stream", CALL("/stream/"),
	EVENT_STREAM EVENT1 EVENT2 STREAM_END, NULL,
	"id: 2\ndata: b\n\n\r\n0\r\n\r\n", NULL, 1, NULL, NULL},
    {"a stream is resumed elsewhere", CALL("/stream/"),
	EVENT_STREAM EVENT1 "8\r\nid: 2\nda\r\n<reset>",
	EVENT_STREAM EVENT2 STREAM_END, "id: 2\ndata: b\n\n\r\n0\r\n\r\n", NULL,
	2, "Last-Event-Id: 1\r\n", NULL},
    {"a stream that cannot be resumed ends incomplete", CALL("/stream/"),
	EVENT_STREAM EVENT1 "<reset>", "<reset>", "id: 1", "\r\n0\r\n\r\n", 2,
	NULL, NULL},
    {"an upstream that does not answer times out", CALL("/once/"), "<hang>",
	NULL, "HTTP/1.1 504", NULL, 1, NULL, NULL},
};

static void
run_case(size_t i)
{
	struct relay_fixture *fixture;
	char *answer, *last;

	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, cases[i].first);
	if (cases[i].second != NULL)
		relay_fixture_add_answer(fixture, cases[i].second);
	answer = relay_fixture_send_request(fixture, cases[i].request);
	if (strstr(answer, cases[i].answer_contains) == NULL)
		fail_msg("%s: answer\n%s", cases[i].name, answer);
	if (cases[i].answer_lacks != NULL &&
	    strstr(answer, cases[i].answer_lacks) != NULL)
		fail_msg("%s: answer\n%s", cases[i].name, answer);
	if (relay_fixture_request_count(fixture) != cases[i].received)
		fail_msg("%s: %u requests", cases[i].name,
		    relay_fixture_request_count(fixture));
	if (cases[i].received > 0) {
		last = relay_fixture_received_request(
		    fixture, cases[i].received - 1);
		if (cases[i].request_contains != NULL &&
		    strstr(last, cases[i].request_contains) == NULL)
			fail_msg("%s: sent\n%s", cases[i].name, last);
		if (cases[i].request_lacks != NULL &&
		    strstr(last, cases[i].request_lacks) != NULL)
			fail_msg("%s: sent\n%s", cases[i].name, last);
		g_free(last);
	}
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

static void
test_requests_are_forwarded_or_retried_by_route(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(i);
}

/* For a prompt that exceeds the memory of one engine, memory is reserved at a
 * helper, used by the request and released after it. */
static void
test_long_prompt_reserves_and_releases_memory(void **state)
{
	struct relay_fixture *fixture;
	char *answer, *order, *request, *id;
	uint32_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, ANSWER("200 OK", "{}", "2"));
	relay_fixture_add_answer(
	    fixture, EVENT_STREAM EVENT1 EVENT2 STREAM_END);
	relay_fixture_add_answer(fixture, ANSWER("200 OK", "{}", "2"));
	answer = relay_fixture_send_request(fixture, LONG_PROMPT);
	assert_non_null(strstr(answer, "id: 2\ndata: b\n\n\r\n0\r\n\r\n"));
	g_free(answer);
	for (i = 0; i < 300 && relay_fixture_request_count(fixture) < 3; i++)
		usleep(10000);
	order = relay_fixture_received_request(fixture, 0);
	assert_non_null(strstr(order, "POST /v1/order"));
	id = strstr(order, "\"id\":\"");
	assert_non_null(id);
	id = g_strndup(id + 6, 16);
	g_free(order);
	request = relay_fixture_received_request(fixture, 1);
	assert_non_null(strstr(request, "Helpers: 127.0.0.1:"));
	assert_non_null(strstr(request, id));
	g_free(request);
	order = relay_fixture_received_request(fixture, 2);
	assert_non_null(strstr(order, "\"op\":\"release\""));
	assert_non_null(strstr(order, id));
	g_free(order);
	g_free(id);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* If no engine grants the reservation, the answer to the caller says that the
 * request did not run and may be sent again. */
static void
test_refused_reservation_is_reported_as_not_run(void **state)
{
	struct relay_fixture *fixture;
	char *answer;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, ANSWER("409 Conflict", "{}", "2"));
	answer = relay_fixture_send_request(fixture, LONG_PROMPT);
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "Retry-After: "));
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* If an engine does not answer the reservation order, the caller gets a refusal
 * before the deadline of the request. At the deadline the answer would be that
 * no upstream could be reached in time. */
static void
test_unanswered_reservation_is_refused_before_deadline(void **state)
{
	struct relay_fixture *fixture;
	char *answer;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, "<hang>");
	answer = relay_fixture_send_request(fixture, LONG_PROMPT);
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "no upstream can take it now"));
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* If the caller disconnects, the upstream's connection is closed at once. */
static void
test_caller_disconnect_closes_upstream_connection(void **state)
{
	struct relay_fixture fixture;
	uint32_t i;
	int fd;

	(void)state;
	relay_fixture_init(&fixture);
	relay_fixture_add_answer(&fixture, "<hang>");
	fd = relay_fixture_connect(&fixture);
	assert_true(send(fd, CALL("/idem/"), strlen(CALL("/idem/")), 0) > 0);
	for (i = 0; i < 300 && relay_fixture_request_count(&fixture) == 0; i++)
		usleep(10000);
	assert_int_equal(relay_fixture_request_count(&fixture), 1);
	close(fd);
	for (i = 0;
	     i < 300 && atomic_load(&fixture.relay.counters.callers_left) == 0;
	     i++)
		usleep(10000);
	assert_int_equal(atomic_load(&fixture.relay.counters.callers_left), 1);
	/* The call returns only because the upstream's connection was closed:
	 * "<hang>" waits for that. */
	relay_fixture_finish(&fixture);
}

/* In a planned stop the relay reports that it is not ready and closes
 * connections after their answers. */
static void
test_drain_closes_connections_and_refuses_late_requests(void **state)
{
	struct relay_fixture fixture;
	char *answer;
	uint32_t i;

	(void)state;
	relay_fixture_init(&fixture);
	relay_fixture_add_answer(&fixture, ANSWER("200 OK", "body!", "5"));
	answer = relay_fixture_get_monitor(&fixture, "/v1/ready");
	assert_non_null(strstr(answer, "HTTP/1.1 200"));
	g_free(answer);
	relay_drain(&fixture.relay);
	for (i = 0; i < 300 && atomic_load(&fixture.relay.is_ready); i++)
		usleep(10000);
	answer = relay_fixture_get_monitor(&fixture, "/v1/ready");
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	g_free(answer);
	answer = relay_fixture_send_request(&fixture, CALL("/idem/"));
	assert_non_null(strstr(answer, "Connection: close"));
	assert_non_null(strstr(answer, "body!"));
	g_free(answer);
	/* A request after stop_accept_ms is refused with an answer. */
	fixture.relay.drain_started_ms -=
	    fixture.relay.settings.stop_accept_ms + 1;
	answer = relay_fixture_send_request(&fixture, CALL("/idem/"));
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "Retry-After: "));
	assert_int_equal(relay_fixture_request_count(&fixture), 1);
	g_free(answer);
	relay_fixture_finish(&fixture);
}

/* Counters and histograms are served at the load balancer's port. */
static void
test_monitor_port_serves_metrics(void **state)
{
	struct relay_fixture fixture;
	char *answer;

	(void)state;
	relay_fixture_init(&fixture);
	relay_fixture_add_answer(
	    &fixture, EVENT_STREAM EVENT1 EVENT2 STREAM_END);
	answer = relay_fixture_send_request(&fixture, CALL("/stream/"));
	g_free(answer);
	answer = relay_fixture_get_monitor(&fixture, "/metrics");
	assert_non_null(strstr(answer, "chicorytack_relay_answered_total 1\n"));
	assert_non_null(
	    strstr(answer, "chicorytack_relay_first_event_ms_count 1\n"));
	g_free(answer);
	relay_fixture_finish(&fixture);
}

/* A host whose configuration lease has run out may be behind: it still serves
 * what it knows, but doesn't claim that a route or a key does not exist. */
static void
test_host_without_lease_denies_nothing(void **state)
{
	static const char *const unknown[] = {CALL("/none/"),
	    "GET /idem/ HTTP/1.1\r\nHost: h\r\nX-Api-Key: no\r\n\r\n"};
	struct relay_fixture *fixture;
	char *answer;
	size_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, ANSWER("200 OK", "body!", "5"));
	atomic_store(&fixture->host->confirmed_until_ms, 0);
	for (i = 0; i < G_N_ELEMENTS(unknown); i++) {
		answer = relay_fixture_send_request(fixture, unknown[i]);
		assert_non_null(strstr(answer, "HTTP/1.1 503"));
		assert_non_null(strstr(answer, "Retry-After: "));
		g_free(answer);
	}
	answer = relay_fixture_send_request(fixture, CALL("/idem/"));
	assert_non_null(strstr(answer, "200 OK"));
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* A request that crashes each upstream that runs it is refused after two
 * crashes, truthfully and at once; other requests are served meanwhile. */
static void
test_request_that_crashes_upstreams_is_refused(void **state)
{
	static const char poison[] =
	    HEAD("POST", "/idem/") "Content-Length: 6\r\n\r\npoison";
	struct relay_fixture *fixture;
	char *answer;
	uint32_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, "<crash>");
	answer = relay_fixture_send_request(fixture, poison);
	assert_non_null(strstr(answer, "HTTP/1.1 502"));
	g_free(answer);
	for (i = 0; i < 4; i++) {
		g_usleep(EVALUATION_US);
		answer = relay_fixture_send_request(fixture, poison);
		assert_non_null(strstr(answer, "HTTP/1.1 503"));
		assert_non_null(strstr(answer, "Retry-After: "));
		g_free(answer);
	}
	assert_int_equal(relay_fixture_request_count(fixture), 2);
	relay_fixture_replace_answers(fixture, ANSWER("200 OK", "body!", "5"));
	answer = relay_fixture_send_request(fixture, CALL("/idem/"));
	assert_non_null(strstr(answer, "200 OK"));
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* Requests whose connections are reset are not suspected while their upstreams
 * still accept connections. */
static void
test_reset_without_a_crash_quarantines_nothing(void **state)
{
	struct relay_fixture *fixture;
	char *answer;
	uint32_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, "<reset>");
	for (i = 0; i < 3; i++) {
		answer = relay_fixture_send_request(fixture, CALL("/idem/"));
		assert_non_null(strstr(answer, "HTTP/1.1 502"));
		g_free(answer);
		g_usleep(EVALUATION_US);
	}
	relay_fixture_replace_answers(fixture, ANSWER("200 OK", "body!", "5"));
	answer = relay_fixture_send_request(fixture, CALL("/idem/"));
	assert_non_null(strstr(answer, "200 OK"));
	g_free(answer);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

struct sender {
	struct relay_fixture *fixture;
	pthread_t thread;
};

static void *
send_requests(void *argument)
{
	struct sender *sender = argument;
	uint32_t i;

	for (i = 0; i < REQUESTS_PER_SENDER; i++)
		g_free(relay_fixture_send_request(
		    sender->fixture, CALL("/idem/")));
	return NULL;
}

/* Returns whether an upstream has received a request. */
static bool
has_request_for(struct relay_fixture *fixture, uint32_t upstream)
{
	char *request, *target;
	bool is_found;
	uint32_t i;

	target = g_strdup_printf(
	    "Target-Instance: %s\r\n", fixture->upstreams[upstream].name);
	is_found = false;
	for (i = 0; !is_found; i++) {
		request = relay_fixture_received_request(fixture, i);
		if (request == NULL)
			break;
		is_found = strstr(request, target) != NULL;
		g_free(request);
	}
	g_free(target);
	return is_found;
}

/* Sends requests one by one until each upstream has answered one. */
static void
hear_all_upstreams(struct relay_fixture *fixture)
{
	uint32_t i;

	for (i = 0; i < RELAY_FIXTURE_UPSTREAMS;) {
		if (has_request_for(fixture, i)) {
			i++;
			continue;
		}
		assert_true(
		    relay_fixture_request_count(fixture) <= LIMIT_BOUND);
		g_free(relay_fixture_send_request(fixture, CALL("/idem/")));
	}
}

/* Upstreams that have named a limit of one request a second get no more than
 * the bound on what arrives within four seconds, however many requests come. */
static void
test_upstreams_get_no_more_than_the_limit_they_name(void **state)
{
	struct sender senders[SENDERS];
	struct relay_fixture *fixture;
	uint32_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture,
	    "HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS
	    "Server-Limit: 1.0\r\nContent-Length: 5\r\n\r\nbody!");
	hear_all_upstreams(fixture);
	for (i = 0; i < SENDERS; i++) {
		senders[i].fixture = fixture;
		pthread_create(
		    &senders[i].thread, NULL, send_requests, &senders[i]);
	}
	for (i = 0; i < SENDERS; i++)
		pthread_join(senders[i].thread, NULL);
	assert_true(relay_fixture_request_count(fixture) <=
		    LIMIT_BOUND * RELAY_FIXTURE_UPSTREAMS);
	assert_true(
	    relay_fixture_request_count(fixture) >= RELAY_FIXTURE_UPSTREAMS);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* Each upstream says in its first answer that it leaves, so each gets one
 * request; then nobody is left to take one. */
static void
test_upstream_that_leaves_gets_no_further_request(void **state)
{
	struct relay_fixture *fixture;
	char *answer;
	uint32_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture,
	    "HTTP/1.1 200 OK\r\n" ATTEMPT_FIELDS
	    "Server-Leaving: 1\r\nContent-Length: 5\r\n\r\nbody!");
	for (i = 0; i < RELAY_FIXTURE_UPSTREAMS; i++) {
		answer = relay_fixture_send_request(fixture, CALL("/idem/"));
		assert_non_null(strstr(answer, "200 OK"));
		g_free(answer);
	}
	answer = relay_fixture_send_request(fixture, CALL("/idem/"));
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	g_free(answer);
	assert_int_equal(
	    relay_fixture_request_count(fixture), RELAY_FIXTURE_UPSTREAMS);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* Upstreams that turn a request away and ask for a pause get no other before it
 * is over; callers are told at once when to come again. */
static void
expect_pause_after(const char *refusal)
{
	struct relay_fixture *fixture;
	double retry_after_s;
	char *answer, *field;
	uint32_t i;

	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, refusal);
	for (i = 0; i < 6; i++) {
		answer = relay_fixture_send_request(fixture, CALL("/idem/"));
		assert_non_null(strstr(answer, "HTTP/1.1 503"));
		field = strstr(answer, "Retry-After: ");
		assert_non_null(field);
		retry_after_s = g_ascii_strtod(field + 13, NULL);
		if (i > RELAY_FIXTURE_UPSTREAMS / 2)
			assert_true(retry_after_s > 25);
		g_free(answer);
	}
	assert_int_equal(
	    relay_fixture_request_count(fixture), RELAY_FIXTURE_UPSTREAMS);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

static void
test_upstream_that_wants_a_pause_gets_one(void **state)
{
	(void)state;
	expect_pause_after("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
			   "Retry-After: 30\r\nContent-Length: 0\r\n\r\n");
}

/* What else an upstream says may not be valid. */
static void
test_pause_holds_beside_a_limit_that_is_not_valid(void **state)
{
	(void)state;
	expect_pause_after("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
			   "Server-Limit: some\r\nRetry-After: 30\r\n"
			   "Content-Length: 0\r\n\r\n");
}

static void *
drop_routes_later(void *argument)
{
	static const char document[] =
	    "{\"version\":2,\"routes\":[],\"services\":["
	    "{\"name\":\"s\",\"healthPath\":\"/health\"}],"
	    "\"tenants\":[{\"name\":\"spa\",\"apiKeys\":[\"key1\"]}],"
	    "\"limits\":{\"maxBodyBytes\":1000,\"maxHeaderBytes\":2000}}";
	struct relay_fixture *fixture = argument;
	struct field_error error;

	g_usleep(SCRIPTED_UPSTREAM_SLOW_US / 2);
	relay_set_table(&fixture->relay,
	    platform_routes_parse(document, strlen(document), &error));
	return NULL;
}

/* A request whose route is dropped while its helpers reserve memory is not sent
 * by the earlier configuration. */
static void
test_route_dropped_during_a_reservation_is_not_used(void **state)
{
	struct relay_fixture *fixture;
	pthread_t thread;
	char *answer, *order;
	uint32_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(fixture, "<slow>" ANSWER("200 OK", "{}", "2"));
	relay_fixture_add_answer(fixture, ANSWER("200 OK", "{}", "2"));
	pthread_create(&thread, NULL, drop_routes_later, fixture);
	answer = relay_fixture_send_request(fixture, LONG_PROMPT);
	pthread_join(thread, NULL);
	assert_non_null(strstr(answer, "HTTP/1.1 404"));
	g_free(answer);
	for (i = 0; i < 300 && relay_fixture_request_count(fixture) < 2; i++)
		usleep(10000);
	/* Reserved and released, nothing else. */
	for (i = 0; i < relay_fixture_request_count(fixture); i++) {
		order = relay_fixture_received_request(fixture, i);
		assert_non_null(strstr(order, "POST /v1/order"));
		g_free(order);
	}
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* What an operator takes from a caller whose answer has begun. */
static const char *const taken_away[] = {
    /* Its key. */
    "{\"version\":2,\"routes\":[{\"name\":\"stream\",\"host\":\"h\","
    "\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\",\"timeoutMs\":"
    "10000,\"sloMs\":300,\"service\":\"s\",\"maxAttempts\":2,"
    "\"resumable\":true,\"targetGapMs\":250}],\"services\":[{\"name\":"
    "\"s\",\"healthPath\":\"/health\"}],\"tenants\":[{\"name\":\"spa\","
    "\"apiKeys\":[\"key2\"]}],\"limits\":{\"maxBodyBytes\":1000,"
    "\"maxHeaderBytes\":2000}}",
    /* Its route. */
    "{\"version\":2,\"routes\":[],\"services\":[{\"name\":\"s\","
    "\"healthPath\":\"/health\"}],\"tenants\":[{\"name\":\"spa\","
    "\"apiKeys\":[\"key1\"]}],\"limits\":{\"maxBodyBytes\":1000,"
    "\"maxHeaderBytes\":2000}}",
};

/* A stream whose upstream fails after the caller's key was revoked, or its
 * route dropped, is resumed; a new request is denied. The upstream is silent
 * after its first event until the table has changed, then resets. */
static void
test_answer_that_has_begun_outlives_its_key_and_route(void **state)
{
	static const char request[] =
	    "POST /stream/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"
	    "X-Api-Key: key1\r\nDeadline-Ms: 9000\r\n"
	    "Content-Length: 5\r\n\r\nhello";
	struct relay_fixture *fixture;
	struct field_error error;
	char buffer[4096];
	GString *answer;
	ssize_t size;
	char *denied;
	size_t i;
	int fd;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(taken_away); i++) {
		fixture = g_new0(struct relay_fixture, 1);
		relay_fixture_init(fixture);
		relay_fixture_add_answer(
		    fixture, EVENT_STREAM EVENT1 "<pause><reset>");
		relay_fixture_add_answer(
		    fixture, EVENT_STREAM EVENT2 STREAM_END);
		fd = relay_fixture_connect(fixture);
		assert_true(send(fd, request, strlen(request), 0) > 0);
		answer = g_string_new(NULL);
		while (strstr(answer->str, "id: 1") == NULL) {
			size = recv(fd, buffer, sizeof(buffer), 0);
			assert_true(size > 0);
			g_string_append_len(answer, buffer, size);
		}
		relay_set_table(
		    &fixture->relay, platform_routes_parse(taken_away[i],
					 strlen(taken_away[i]), &error));
		denied = relay_fixture_send_request(fixture, request);
		assert_non_null(strstr(denied, "HTTP/1.1 40"));
		g_free(denied);
		while (!g_str_has_suffix(answer->str, "\r\n0\r\n\r\n") &&
		       (size = recv(fd, buffer, sizeof(buffer), 0)) > 0)
			g_string_append_len(answer, buffer, size);
		assert_non_null(
		    strstr(answer->str, "id: 2\ndata: b\n\n\r\n0\r\n\r\n"));
		assert_int_equal(relay_fixture_request_count(fixture), 2);
		g_string_free(answer, TRUE);
		close(fd);
		relay_fixture_finish(fixture);
		g_free(fixture);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_requests_are_forwarded_or_retried_by_route),
	    cmocka_unit_test(test_long_prompt_reserves_and_releases_memory),
	    cmocka_unit_test(test_refused_reservation_is_reported_as_not_run),
	    cmocka_unit_test(
		test_unanswered_reservation_is_refused_before_deadline),
	    cmocka_unit_test(test_caller_disconnect_closes_upstream_connection),
	    cmocka_unit_test(
		test_drain_closes_connections_and_refuses_late_requests),
	    cmocka_unit_test(test_monitor_port_serves_metrics),
	    cmocka_unit_test(test_host_without_lease_denies_nothing),
	    cmocka_unit_test(test_request_that_crashes_upstreams_is_refused),
	    cmocka_unit_test(test_reset_without_a_crash_quarantines_nothing),
	    cmocka_unit_test(
		test_upstreams_get_no_more_than_the_limit_they_name),
	    cmocka_unit_test(test_upstream_that_leaves_gets_no_further_request),
	    cmocka_unit_test(test_upstream_that_wants_a_pause_gets_one),
	    cmocka_unit_test(test_pause_holds_beside_a_limit_that_is_not_valid),
	    cmocka_unit_test(
		test_route_dropped_during_a_reservation_is_not_used),
	    cmocka_unit_test(
		test_answer_that_has_begun_outlives_its_key_and_route),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
