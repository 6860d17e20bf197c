#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include <cmocka.h>

#include "relay_scene.h"

#define HEAD(method, path)                                                     \
	method " " path " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"           \
	       "X-Api-Key: key1\r\nDeadline-Ms: 1000\r\n"
#define ASK(path) HEAD("POST", path) "Content-Length: 5\r\n\r\nhello"
/* A prompt that one engine of the scene has no memory for. */
#define LARGE                                                                  \
	HEAD("POST", "/stream/")                                               \
	"Token-Counts: 140000,100\r\nContent-Length: 5\r\n\r\nhello"
#define OWN "Attempt-Id: {ID}\r\nResponse-Seal: seal\r\n"
#define WHOLE(status, body, length)                                            \
	"HTTP/1.1 " status "\r\n" OWN "Content-Length: " length "\r\n\r"       \
	"\n" body
#define NOT_RUN                                                                \
	"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define EVENTS                                                                 \
	"HTTP/1.1 200 OK\r\n" OWN                                              \
	"Content-Type: text/event-stream\r\nTransfer-Encoding: "               \
	"chunked\r\n\r\n"
#define EVENT1 "f\r\nid: 1\ndata: a\n\n\r\n"
#define EVENT2 "f\r\nid: 2\ndata: b\n\n\r\n"
#define END    "0\r\n\r\n"

/* One exchange: what upstreams answer first and then, and what the caller
 * and the upstreams must have seen. */
static const struct {
	const char *name;
	const char *request;
	const char *first;
	const char *second;	   /* NULL: the first one again. */
	const char *seen;	   /* In the caller's answer. */
	const char *not_seen;	   /* Not in it, or NULL. */
	uint32_t runs;		   /* Requests that reached upstreams. */
	const char *forwarded;	   /* In the last of them, or NULL. */
	const char *not_forwarded; /* Not in it, or NULL. */
} cases[] = {
    {"bytes go through unchanged", ASK("/idem/x%2Fy?q=1&r"),
	WHOLE("200 OK", "body!", "5"), NULL, "\r\n\r\nbody!", NULL, 1,
	"POST /idem/x%2Fy?q=1&r HTTP/1.1\r\n", NULL},
    {"the key stays here, the account goes on", ASK("/idem/"),
	WHOLE("200 OK", "body!", "5"), NULL, "Response-Seal: seal", NULL, 1,
	"Tenant: spa\r\n", "key1"},
    {"what only the host says is not taken from callers",
	HEAD("POST", "/idem/") "Tenant: other\r\nHelpers: 1.2.3.4:5\r\n"
			       "Target-Instance: evil\r\n\r\n",
	WHOLE("200 OK", "body!", "5"), NULL, "200 OK", NULL, 1,
	"Target-Instance: u", "evil"},
    {"unknown key", "GET /idem/ HTTP/1.1\r\nHost: h\r\nX-Api-Key: no\r\n\r\n",
	WHOLE("200 OK", "body!", "5"), NULL, "HTTP/1.1 401", NULL, 0, NULL,
	NULL},
    {"unknown path", ASK("/none/"), WHOLE("200 OK", "body!", "5"), NULL,
	"HTTP/1.1 404", NULL, 0, NULL, NULL},
    {"two hosts", "GET /idem/ HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
	WHOLE("200 OK", "body!", "5"), NULL, "HTTP/1.1 400", NULL, 0, NULL,
	NULL},
    {"a body over the limit",
	HEAD("POST", "/idem/") "Content-Length: 1001\r\n\r\n",
	WHOLE("200 OK", "body!", "5"), NULL, "HTTP/1.1 413", NULL, 0, NULL,
	NULL},
    {"at most once: a reset is a failure", ASK("/once/"), "<reset>", NULL,
	"HTTP/1.1 502", NULL, 1, NULL, NULL},
    {"at most once: half an answer is a failure", ASK("/once/"),
	WHOLE("200 OK", "bo<close>", "5"), NULL, "HTTP/1.1 502", "bo", 1, NULL,
	NULL},
    {"at most once: refused there, run elsewhere", ASK("/once/"), NOT_RUN,
	WHOLE("200 OK", "body!", "5"), "body!", NULL, 2, NULL, NULL},
    {"refused everywhere", ASK("/once/"), NOT_RUN, NULL, "Retry-After: ", NULL,
	2, NULL, NULL},
    {"its own failure goes through", ASK("/once/"),
	WHOLE("500 Oops", "oops!", "5"), NULL, "HTTP/1.1 500", NULL, 1, NULL,
	NULL},
    {"idempotent: again elsewhere after a failure", ASK("/idem/"),
	WHOLE("500 Oops", "oops!", "5"), WHOLE("200 OK", "body!", "5"), "body!",
	"oops", 2, NULL, NULL},
    {"idempotent: the failure, when nothing better comes", ASK("/idem/"),
	WHOLE("500 Oops", "oops!", "5"), "<reset>", "oops!", NULL, 2, NULL,
	NULL},
    {"idempotent: the failure, when the next one is silent", ASK("/idem/"),
	WHOLE("500 Oops", "oops!", "5"), "<hang>", "oops!", "504", 2, NULL,
	NULL},
    {"no receipt", ASK("/once/"),
	"HTTP/1.1 200 OK\r\nAttempt-Id: {ID}\r\nContent-Length: 5\r\n\r\n"
	"body!",
	NULL, "HTTP/1.1 502", "body!", 1, NULL, NULL},
    {"another one's answer", ASK("/once/"),
	"HTTP/1.1 200 OK\r\nAttempt-Id: zz\r\nResponse-Seal: s\r\n"
	"Content-Length: 5\r\n\r\nbody!",
	NULL, "HTTP/1.1 502", "body!", 1, NULL, NULL},
    {"bytes that are no answer", ASK("/once/"), "garbage\r\n\r\n", NULL,
	"HTTP/1.1 502", "garbage", 1, NULL, NULL},
    {"without a length, ended", ASK("/once/"),
	"HTTP/1.1 200 OK\r\n" OWN "\r\nbody!<close>", NULL,
	"Content-Length: 5\r\n\r\nbody!", NULL, 1, NULL, NULL},
    {"without a length, reset", ASK("/once/"),
	"HTTP/1.1 200 OK\r\n" OWN "\r\nbody!<reset>", NULL, "HTTP/1.1 502",
	"body!", 1, NULL, NULL},
    {"a stream", ASK("/stream/"), EVENTS EVENT1 EVENT2 END, NULL,
	"id: 2\ndata: b\n\n\r\n0\r\n\r\n", NULL, 1, NULL, NULL},
    {"a stream goes on elsewhere", ASK("/stream/"),
	EVENTS EVENT1 "8\r\nid: 2\nda\r\n<reset>", EVENTS EVENT2 END,
	"id: 2\ndata: b\n\n\r\n0\r\n\r\n", NULL, 2, "Last-Event-Id: 1\r\n",
	NULL},
    {"a stream that can't go on looks incomplete", ASK("/stream/"),
	EVENTS EVENT1 "<reset>", "<reset>", "id: 1", "\r\n0\r\n\r\n", 2, NULL,
	NULL},
    {"a silent upstream ends in time", ASK("/once/"), "<hang>", NULL,
	"HTTP/1.1 504", NULL, 1, NULL, NULL},
};

static void
run_case(size_t i)
{
	struct relay_scene *scene;
	char *answer, *last;

	scene = g_new0(struct relay_scene, 1);
	relay_scene_init(scene);
	relay_scene_answer(scene, cases[i].first);
	if (cases[i].second != NULL)
		relay_scene_answer(scene, cases[i].second);
	answer = relay_scene_ask(scene, cases[i].request);
	if (strstr(answer, cases[i].seen) == NULL)
		fail_msg("%s: answer\n%s", cases[i].name, answer);
	if (cases[i].not_seen != NULL &&
	    strstr(answer, cases[i].not_seen) != NULL)
		fail_msg("%s: answer\n%s", cases[i].name, answer);
	if (relay_scene_count(scene) != cases[i].runs)
		fail_msg(
		    "%s: %u requests", cases[i].name, relay_scene_count(scene));
	if (cases[i].runs > 0) {
		last = relay_scene_request(scene, cases[i].runs - 1);
		if (cases[i].forwarded != NULL &&
		    strstr(last, cases[i].forwarded) == NULL)
			fail_msg("%s: sent\n%s", cases[i].name, last);
		if (cases[i].not_forwarded != NULL &&
		    strstr(last, cases[i].not_forwarded) != NULL)
			fail_msg("%s: sent\n%s", cases[i].name, last);
		g_free(last);
	}
	g_free(answer);
	relay_scene_finish(scene);
	g_free(scene);
}

static void
test_exchanges(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(i);
}

/* A prompt over one engine's memory: reserved, used, released. */
static void
test_reserved_memory(void **state)
{
	struct relay_scene *scene;
	char *answer, *order, *request, *id;
	uint32_t i;

	(void)state;
	scene = g_new0(struct relay_scene, 1);
	relay_scene_init(scene);
	relay_scene_answer(scene, WHOLE("200 OK", "{}", "2"));
	relay_scene_answer(scene, EVENTS EVENT1 EVENT2 END);
	relay_scene_answer(scene, WHOLE("200 OK", "{}", "2"));
	answer = relay_scene_ask(scene, LARGE);
	assert_non_null(strstr(answer, "id: 2\ndata: b\n\n\r\n0\r\n\r\n"));
	g_free(answer);
	for (i = 0; i < 300 && relay_scene_count(scene) < 3; i++)
		usleep(10000);
	order = relay_scene_request(scene, 0);
	assert_non_null(strstr(order, "POST /v1/order"));
	id = strstr(order, "\"id\":\"");
	assert_non_null(id);
	id = g_strndup(id + 6, 16);
	g_free(order);
	request = relay_scene_request(scene, 1);
	assert_non_null(strstr(request, "Helpers: 127.0.0.1:"));
	assert_non_null(strstr(request, id));
	g_free(request);
	order = relay_scene_request(scene, 2);
	assert_non_null(strstr(order, "\"op\":\"release\""));
	assert_non_null(strstr(order, id));
	g_free(order);
	g_free(id);
	relay_scene_finish(scene);
	g_free(scene);
}

/* No engine has room: its caller is told that it did not run. */
static void
test_memory_is_refused(void **state)
{
	struct relay_scene *scene;
	char *answer;

	(void)state;
	scene = g_new0(struct relay_scene, 1);
	relay_scene_init(scene);
	relay_scene_answer(scene, WHOLE("409 Conflict", "{}", "2"));
	answer = relay_scene_ask(scene, LARGE);
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "Retry-After: "));
	g_free(answer);
	relay_scene_finish(scene);
	g_free(scene);
}

/* An engine that doesn't answer the order: its caller is told before its own
 * time limit, which would say that nobody could be reached in time. */
static void
test_memory_is_slow(void **state)
{
	struct relay_scene *scene;
	char *answer;

	(void)state;
	scene = g_new0(struct relay_scene, 1);
	relay_scene_init(scene);
	relay_scene_answer(scene, "<hang>");
	answer = relay_scene_ask(scene, LARGE);
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "no upstream can take it now"));
	g_free(answer);
	relay_scene_finish(scene);
	g_free(scene);
}

/* A caller that leaves: the upstream's connection is closed at once. */
static void
test_caller_leaves(void **state)
{
	struct relay_scene scene;
	uint32_t i;
	int fd;

	(void)state;
	relay_scene_init(&scene);
	relay_scene_answer(&scene, "<hang>");
	fd = relay_scene_connect(&scene);
	assert_true(send(fd, ASK("/idem/"), strlen(ASK("/idem/")), 0) > 0);
	for (i = 0; i < 300 && relay_scene_count(&scene) == 0; i++)
		usleep(10000);
	assert_int_equal(relay_scene_count(&scene), 1);
	close(fd);
	for (i = 0;
	     i < 300 && atomic_load(&scene.relay.counters.callers_left) == 0;
	     i++)
		usleep(10000);
	assert_int_equal(atomic_load(&scene.relay.counters.callers_left), 1);
	/* "<hang>" ends only when its connection is closed, so this does. */
	relay_scene_finish(&scene);
}

/* A planned stop: not ready any more, and answers close connections. */
static void
test_planned_stop(void **state)
{
	struct relay_scene scene;
	char *answer;
	uint32_t i;

	(void)state;
	relay_scene_init(&scene);
	relay_scene_answer(&scene, WHOLE("200 OK", "body!", "5"));
	answer = relay_scene_ask_monitor(&scene, "/v1/ready");
	assert_non_null(strstr(answer, "HTTP/1.1 200"));
	g_free(answer);
	relay_drain(&scene.relay);
	for (i = 0; i < 300 && atomic_load(&scene.relay.is_ready); i++)
		usleep(10000);
	answer = relay_scene_ask_monitor(&scene, "/v1/ready");
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	g_free(answer);
	answer = relay_scene_ask(&scene, ASK("/idem/"));
	assert_non_null(strstr(answer, "Connection: close"));
	assert_non_null(strstr(answer, "body!"));
	g_free(answer);
	/* One that comes long after the stop began is refused, not cut. */
	scene.relay.drain_started_ms -= scene.relay.settings.stop_accept_ms + 1;
	answer = relay_scene_ask(&scene, ASK("/idem/"));
	assert_non_null(strstr(answer, "HTTP/1.1 503"));
	assert_non_null(strstr(answer, "Retry-After: "));
	assert_int_equal(relay_scene_count(&scene), 1);
	g_free(answer);
	relay_scene_finish(&scene);
}

/* Counters and histograms are where the balancer asks. */
static void
test_metrics(void **state)
{
	struct relay_scene scene;
	char *answer;

	(void)state;
	relay_scene_init(&scene);
	relay_scene_answer(&scene, EVENTS EVENT1 EVENT2 END);
	answer = relay_scene_ask(&scene, ASK("/stream/"));
	g_free(answer);
	answer = relay_scene_ask_monitor(&scene, "/metrics");
	assert_non_null(strstr(answer, "chicorytack_relay_answered_total 1\n"));
	assert_non_null(
	    strstr(answer, "chicorytack_relay_first_event_ms_count 1\n"));
	g_free(answer);
	relay_scene_finish(&scene);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_exchanges),
	    cmocka_unit_test(test_reserved_memory),
	    cmocka_unit_test(test_memory_is_refused),
	    cmocka_unit_test(test_memory_is_slow),
	    cmocka_unit_test(test_caller_leaves),
	    cmocka_unit_test(test_planned_stop),
	    cmocka_unit_test(test_metrics),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
