/*
 * Tests of upstreams that send bytes without end, in a head or a body: the relay
 * closes the connection, holds little meanwhile, and goes on to serve others.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "relay_fixture.h"

#define MIB UINT64_C(1048576)
/* Most bytes that an upstream can send before the relay closes, with what the
 * sockets of both sides hold: of a head or an event, and of a body. */
#define SMALL_BYTES_MAX (16 * MIB)
#define BODY_BYTES_MAX	(24 * MIB)
/* Most bytes held of many answers at a time: less than half the memory of the
 * smallest host, which has 160 MiB. */
#define CALLERS 40
/* Callers that read nothing of streams without end. */
#define SLOW_CALLERS   90
#define HELD_BYTES_MAX (64 * MIB)
/* Most bytes queued for callers that read nothing, for the same reason. */
#define QUEUED_BYTES_MAX (64 * MIB)
#define CHUNK_BYTES	 4096
#define SAMPLE_US	 1000

#define REQUEST(path)                                                          \
	"POST " path " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"              \
	"X-Api-Key: key1\r\nDeadline-Ms: 1000\r\nContent-Length: 2\r\n\r\nhi"
#define FIELDS "Attempt-Id: {ID}\r\nResponse-Seal: seal\r\n"
#define STREAM                                                                 \
	"HTTP/1.1 200 OK\r\n" FIELDS "Content-Type: text/event-stream\r\n"
#define SOUND "HTTP/1.1 200 OK\r\n" FIELDS "Content-Length: 2\r\n\r\nok"
/* A caller may wait that long for more than its deadline of one second. */
#define ANSWERED_MS 1500

static const struct {
	const char *name, *path, *answer, *endless;
	uint64_t bytes_max;
} cases[] = {
    {"status line", "/idem/", "HTTP/1.1 200 <endless>", "x", SMALL_BYTES_MAX},
    {"header", "/idem/", "HTTP/1.1 200 OK\r\nX-Long: <endless>", "x",
	SMALL_BYTES_MAX},
    {"headers", "/idem/", "HTTP/1.1 200 OK\r\n<endless>", "X-More: 1\r\n",
	SMALL_BYTES_MAX},
    {"interim answers", "/idem/", "<endless>", "HTTP/1.1 100 Continue\r\n\r\n",
	SMALL_BYTES_MAX},
    {"no answer", "/idem/", "<endless>", "\r\n", SMALL_BYTES_MAX},
    {"body without length", "/idem/",
	"HTTP/1.1 200 OK\r\n" FIELDS "\r\n<endless>", "x", BODY_BYTES_MAX},
    {"body with a length", "/idem/",
	"HTTP/1.1 200 OK\r\n" FIELDS
	"Content-Length: 99999999999\r\n\r\n<endless>",
	"x", BODY_BYTES_MAX},
    {"chunks", "/once/",
	"HTTP/1.1 200 OK\r\n" FIELDS
	"Transfer-Encoding: chunked\r\n\r\n<endless>",
	"4\r\nxxxx\r\n", BODY_BYTES_MAX},
    {"chunk extension", "/idem/",
	"HTTP/1.1 200 OK\r\n" FIELDS
	"Transfer-Encoding: chunked\r\n\r\n4;<endless>",
	"x", SMALL_BYTES_MAX},
    {"body of a refusal", "/idem/",
	"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n\r\n<endless>", "x",
	BODY_BYTES_MAX},
    {"body of another request", "/idem/",
	"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n<endless>", "x",
	SMALL_BYTES_MAX},
    {"event", "/stream/", STREAM "\r\nid: 1\ndata: <endless>", "x",
	SMALL_BYTES_MAX},
    {"event in a chunk", "/stream/",
	STREAM "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"
	       "id: 1\ndata: <endless>",
	"x", SMALL_BYTES_MAX},
    {"lines of an event", "/stream/", STREAM "\r\nid: 1\n<endless>",
	"data: x\n", SMALL_BYTES_MAX},
};

/* Sends requests with one answer for all, and then one with a sound answer. */
static void
run_case(size_t index)
{
	struct relay_fixture *fixture;
	int64_t begin_ms;
	uint64_t sent;
	char *answer;

	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	fixture->script.endless = cases[index].endless;
	relay_fixture_add_answer(fixture, cases[index].answer);
	begin_ms = g_get_monotonic_time() / 1000;
	answer = relay_fixture_send_request(fixture,
	    strcmp(cases[index].path, "/idem/") == 0   ? REQUEST("/idem/")
	    : strcmp(cases[index].path, "/once/") == 0 ? REQUEST("/once/")
						       : REQUEST("/stream/"));
	if (g_get_monotonic_time() / 1000 - begin_ms > ANSWERED_MS)
		fail_msg("%s: held for too long", cases[index].name);
	if (strstr(answer, "HTTP/1.1 50") == NULL &&
	    strstr(answer, "\r\n0\r\n\r\n") != NULL)
		fail_msg("%s: taken for complete", cases[index].name);
	g_free(answer);
	relay_fixture_replace_answers(fixture, SOUND);
	answer = relay_fixture_send_request(fixture, REQUEST("/idem/"));
	if (strstr(answer, "HTTP/1.1 200") == NULL)
		fail_msg("%s: later %s", cases[index].name, answer);
	g_free(answer);
	sent = atomic_load(&fixture->script.endless_bytes);
	/* Each of a route's attempts may read as much. */
	if (sent > 2 * cases[index].bytes_max)
		fail_msg("%s: %u MiB were read", cases[index].name,
		    (unsigned int)(sent / MIB));
	relay_fixture_finish(fixture);
	g_free(fixture);
}

static void
test_endless_answer_is_closed_in_time(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case(i);
}

static void *
send_one(void *argument)
{
	g_free(relay_fixture_send_request(argument, REQUEST("/once/")));
	return NULL;
}

/* Many bodies that each have less than the bound, and never end. */
static void
test_many_endless_bodies_hold_little_together(void **state)
{
	char chunk[CHUNK_BYTES + sizeof("1000\r\n\r\n")];
	pthread_t threads[CALLERS];
	struct relay_fixture *fixture;
	uint64_t held, most;
	uint32_t i;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	snprintf(chunk, sizeof(chunk), "1000\r\n%0*d\r\n", CHUNK_BYTES, 0);
	fixture->script.endless = chunk;
	relay_fixture_add_answer(fixture,
	    "HTTP/1.1 200 OK\r\n" FIELDS
	    "Transfer-Encoding: chunked\r\n\r\n<endless>");
	for (i = 0; i < CALLERS; i++)
		pthread_create(&threads[i], NULL, send_one, fixture);
	most = 0;
	while (atomic_load(&fixture->relay.counters.failed) < CALLERS) {
		held = atomic_load(&fixture->relay.counters.held_bytes);
		most = MAX(most, held);
		g_usleep(SAMPLE_US);
	}
	for (i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	if (most > HELD_BYTES_MAX)
		fail_msg("%u MiB were held", (unsigned int)(most / MIB));
	assert_int_equal(atomic_load(&fixture->relay.counters.held_bytes), 0);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* Connects, asks for a stream and reads nothing. */
static int
ask_without_reading(struct relay_fixture *fixture)
{
	static const char request[] =
	    "POST /stream/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"
	    "X-Api-Key: key1\r\nDeadline-Ms: 9000\r\n"
	    "Content-Length: 2\r\n\r\nhi";
	int fd;

	fd = relay_fixture_connect(fixture);
	assert_int_equal(
	    send(fd, request, strlen(request), 0), (ssize_t)strlen(request));
	return fd;
}

/* Guards against faulty upstreams whose streams of sound events never end, and
 * callers that read nothing: what is queued for all of them together would use
 * up the memory of the host. */
static void
test_endless_events_queue_little_for_all_callers(void **state)
{
	struct relay_counters *counters;
	struct relay_fixture *fixture;
	uint64_t ended, most;
	int fds[SLOW_CALLERS], i;
	GString *event;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	counters = &fixture->relay.counters;
	event = g_string_new("data: ");
	for (i = 0; i < CHUNK_BYTES; i++)
		g_string_append_c(event, 'x');
	g_string_append(event, "\n\n");
	fixture->script.endless = event->str;
	relay_fixture_add_answer(
	    fixture, STREAM "\r\nid: 1\ndata: a\n\n<endless>");
	for (i = 0; i < SLOW_CALLERS; i++)
		fds[i] = ask_without_reading(fixture);
	most = 0;
	do {
		most = MAX(most, atomic_load(&counters->queued_bytes));
		/* A connection whose caller reads nothing for long enough times
		 * out, and its caller counts as gone. */
		ended = atomic_load(&counters->broken) +
			atomic_load(&counters->callers_left) +
			atomic_load(&counters->refused) +
			atomic_load(&counters->failed);
		g_usleep(SAMPLE_US);
	} while (ended < SLOW_CALLERS);
	if (most > QUEUED_BYTES_MAX)
		fail_msg("%u MiB were queued", (unsigned int)(most / MIB));
	for (i = 0; i < SLOW_CALLERS; i++)
		close(fds[i]);
	relay_fixture_finish(fixture);
	g_string_free(event, TRUE);
	g_free(fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_endless_answer_is_closed_in_time),
	    cmocka_unit_test(test_many_endless_bodies_hold_little_together),
	    cmocka_unit_test(test_endless_events_queue_little_for_all_callers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
