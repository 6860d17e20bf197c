/*
 * Tests of the pool of connections to upstreams: bytes that belong to no call, and
 * answers to earlier requests, reach no later call on the same connection.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cmocka.h>

#include "loopback.h"
#include "transport/upstream_pool.h"

#define ID_FIELD	"Attempt-Id"
#define CONNECTIONS_MAX 3
#define TIMERS_MAX	64
#define READ_SIZE	4096
/* More than the buffers of both ends hold. */
#define BODY_SIZE ((size_t)32 * 1024 * 1024)
/* Longest wait for what must happen. */
#define ROUNDS_MAX 3000
#define ROUND_US   1000

#define ANSWER(status, id, fields)                                             \
	"HTTP/1.1 " status "\r\n" ID_FIELD ": " id "\r\n" fields "\r\n"
#define OK_ANSWER(id) ANSWER("200 OK", id, "Content-Length: 2\r\n") "ok"

/* An answer that comes before the upstream reads the request, and how its
 * connection ends. */
struct early_answer {
	const char *text;
	const char *body; /* What is received of its body. */
	enum loopback_end end;
	/* How the call fails; ERROR_NONE if the answer is whole. */
	enum error_code error;
};

/* A pool, and an upstream that the test plays itself. */
struct fixture {
	uv_loop_t loop;
	int64_t now_ms; /* Time of the clock, which only the test changes. */
	struct timer_service timers;
	int64_t idle_max_ms; /* Idle limit that calls set for connections. */
	struct upstream_pool pool;
	int listen_fd;
	int peers[CONNECTIONS_MAX]; /* Other ends, in order of arrival. */
	uint32_t peer_count;
	uint64_t address;
};

/* What came of a call. */
struct result {
	const char *id;	  /* Of the request. */
	size_t body_size; /* Of the request. */
	struct pool_call *call;
	uint32_t status; /* Of the answer that was taken. */
	GString *body;
	uint32_t discarded; /* Answers that were passed over. */
	bool has_ended;
	enum error_code error; /* ERROR_NONE if it was answered. */
	/* Given before the request is written, or NULL. */
	const struct early_answer *early;
	struct fixture *fixture;
};

static void give_early_answer(
    struct fixture *fixture, const struct early_answer *answer);

static GBytes *
make_request(void *context)
{
	const struct result *result = context;
	char *text, *body;

	body = g_strnfill(result->body_size, 'x');
	text = g_strdup_printf("POST / HTTP/1.1\r\nHost: h\r\n" ID_FIELD
			       ": %s\r\nContent-Length: %zu\r\n\r\n%s",
	    result->id, result->body_size, body);
	g_free(body);
	return g_bytes_new_take(text, strlen(text));
}

static void
on_sent(void *context)
{
	struct result *result = context;

	if (result->early != NULL)
		give_early_answer(result->fixture, result->early);
}

static enum pool_answer
on_head(void *context, struct http_head *head)
{
	struct result *result = context;

	if (pool_call_attribute(result->call, http_head_get(head, ID_FIELD)) ==
	    ANSWER_OF_EARLIER) {
		result->discarded++;
		return POOL_ANSWER_DISCARD;
	}
	result->status = head->status;
	return POOL_ANSWER_TAKE;
}

static void
on_body(void *context, const char *data, size_t size)
{
	struct result *result = context;

	g_string_append_len(result->body, data, (gssize)size);
}

static void
on_done(void *context)
{
	struct result *result = context;

	result->has_ended = true;
}

static void
on_failed(void *context, enum error_code error)
{
	struct result *result = context;

	result->has_ended = true;
	result->error = error;
}

static int64_t
read_clock(void *context)
{
	const struct fixture *fixture = context;

	return fixture->now_ms;
}

static void
open_fixture(struct fixture *fixture)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	char text[UPSTREAM_ADDRESS_SIZE];

	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	timer_init_clock(&fixture->timers, TIMERS_MAX,
	    (struct timer_clock){read_clock, fixture});
	fixture->idle_max_ms = INT64_MAX;
	upstream_pool_init(&fixture->pool, &fixture->loop, &fixture->timers);
	fixture->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
	    bind(fixture->listen_fd, (struct sockaddr *)&address, size), 0);
	assert_int_equal(listen(fixture->listen_fd, CONNECTIONS_MAX), 0);
	assert_int_equal(
	    getsockname(fixture->listen_fd, (struct sockaddr *)&address, &size),
	    0);
	g_snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(address.sin_port));
	fixture->address = upstream_address_parse(text);
}

static void
close_fixture(struct fixture *fixture)
{
	uint32_t i;

	upstream_pool_close(&fixture->pool);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	upstream_pool_finish(&fixture->pool);
	timer_finish(&fixture->timers);
	uv_loop_close(&fixture->loop);
	for (i = 0; i < fixture->peer_count; i++) {
		if (fixture->peers[i] >= 0)
			close(fixture->peers[i]);
	}
	close(fixture->listen_fd);
}

/* Starts a call; nothing is read or written by the loop yet. */
static void
begin_call(struct fixture *fixture, const char *id, size_t body_size,
    struct result *result)
{
	struct pool_call_ops ops = {
	    .make_request = make_request,
	    .on_sent = on_sent,
	    .on_head = on_head,
	    .on_body = on_body,
	    .on_done = on_done,
	    .on_failed = on_failed,
	    .context = result,
	};
	struct pool_request request = {
	    .id = id, .idle_max_ms = fixture->idle_max_ms};

	memset(result, 0, sizeof(*result));
	result->id = id;
	result->body_size = body_size;
	result->body = g_string_new(NULL);
	result->call = upstream_pool_call(
	    &fixture->pool, fixture->address, &request, &ops);
	assert_non_null(result->call);
}

static void
run_once(struct fixture *fixture)
{
	int fd;

	uv_run(&fixture->loop, UV_RUN_NOWAIT);
	if (fixture->peer_count < CONNECTIONS_MAX) {
		fd = accept(fixture->listen_fd, NULL, NULL);
		if (fd >= 0)
			fixture->peers[fixture->peer_count++] = fd;
	}
	usleep(ROUND_US);
}

/* Runs until a request has come on a connection. */
static void
await_request(struct fixture *fixture, uint32_t index)
{
	char bytes[READ_SIZE];
	ssize_t size;
	uint32_t i;

	size = -1;
	for (i = 0; i < ROUNDS_MAX && size <= 0; i++) {
		run_once(fixture);
		if (index < fixture->peer_count)
			size = recv(fixture->peers[index], bytes, sizeof(bytes),
			    MSG_DONTWAIT);
	}
	assert_true(size > 0);
}

/* Returns false if the call does not end. */
static bool
await_end(struct fixture *fixture, const struct result *result)
{
	uint32_t i;

	for (i = 0; i < ROUNDS_MAX && !result->has_ended; i++)
		run_once(fixture);
	return result->has_ended;
}

/* Writes bytes on a connection and waits until they have reached its other end,
 * where nobody has read them. */
static void
write_unread(struct fixture *fixture, uint32_t index, const char *bytes)
{
	int fd = fixture->peers[index], left;

	assert_true(send(fd, bytes, strlen(bytes), MSG_NOSIGNAL) > 0);
	do {
		assert_int_equal(ioctl(fd, SIOCOUTQ, &left), 0);
	} while (left > 0);
}

/* Finds the socket of the pool's only connection. */
static void
find_socket(uv_handle_t *handle, void *context)
{
	if (handle->type == UV_TCP)
		assert_int_equal(uv_fileno(handle, context), 0);
}

/* Answers on a new connection and ends it; the pool's socket knows it when this
 * returns. */
static void
give_early_answer(struct fixture *fixture, const struct early_answer *answer)
{
	int *peer = &fixture->peers[0];
	int pool_fd;

	*peer = accept(fixture->listen_fd, NULL, NULL);
	assert_true(*peer >= 0);
	fixture->peer_count = 1;
	write_unread(fixture, 0, answer->text);
	uv_walk(&fixture->loop, find_socket, &pool_fd);
	loopback_end(peer, answer->end, pool_fd);
}

/* Carries a call over the first connection, which is kept then. */
static void
complete_first_call(struct fixture *fixture)
{
	struct result first;

	begin_call(fixture, "a", 0, &first);
	await_request(fixture, 0);
	write_unread(fixture, 0,
	    ANSWER(
		"503 Busy", "a", "Not-Executed: 1\r\nContent-Length: 0\r\n"));
	assert_true(await_end(fixture, &first));
	assert_int_equal(first.status, 503);
	g_string_free(first.body, TRUE);
}

/* Bytes come on an idle connection after the loop last read from it, and a call
 * begins before it reads again: the call gets another connection. */
static void
test_connection_with_unread_bytes_gets_no_request(void **state)
{
	static const char *const strays[] = {
	    ANSWER("503 Busy", "a", "Not-Executed: 1\r\nContent-Length: 0\r\n"),
	    OK_ANSWER("a"),
	    "?",
	};
	struct fixture fixture;
	struct result second;
	char byte;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(strays); i++) {
		open_fixture(&fixture);
		complete_first_call(&fixture);
		write_unread(&fixture, 0, strays[i]);
		begin_call(&fixture, "b", 0, &second);
		await_request(&fixture, 1);
		assert_true(recv(fixture.peers[0], &byte, 1, 0) <= 0);
		write_unread(&fixture, 1, OK_ANSWER("b"));
		assert_true(await_end(&fixture, &second));
		assert_int_equal(second.error, ERROR_NONE);
		assert_int_equal(second.status, 200);
		assert_string_equal(second.body->str, "ok");
		g_string_free(second.body, TRUE);
		close_fixture(&fixture);
	}
}

/* Guards against a connection that times out early, by as long as the loop had
 * waited before it was begun. */
static void
test_new_connection_gets_its_whole_time(void **state)
{
	static const int64_t idle_ms[] = {10, 400, 1000, 60000};
	struct fixture fixture;
	struct result result;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(idle_ms); i++) {
		open_fixture(&fixture);
		fixture.now_ms += idle_ms[i];
		begin_call(&fixture, "a", 0, &result);
		timer_advance(&fixture.timers, fixture.now_ms += 399);
		assert_false(result.has_ended);
		timer_advance(&fixture.timers, fixture.now_ms += 1);
		assert_true(result.has_ended);
		assert_int_equal(result.error, ERROR_TIMEOUT);
		g_string_free(result.body, TRUE);
		close_fixture(&fixture);
	}
}

/* Guards against a request on a connection that has been idle for longer than it
 * may be, which the loop has not noticed yet because it waited. */
static void
test_idle_time_is_that_of_the_present(void **state)
{
	static const struct {
		int64_t idle_ms, idle_max_ms;
		uint32_t connection; /* Index of the connection that is used. */
	} cases[] = {
	    {2499, INT64_MAX, 0}, /* 2.5 s is the limit without Keep-Alive. */
	    {2500, INT64_MAX, 1},
	    {1000, 1000, 0},
	    {1001, 1000, 1},
	};
	struct fixture fixture;
	struct result result;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		open_fixture(&fixture);
		complete_first_call(&fixture);
		fixture.now_ms += cases[i].idle_ms;
		fixture.idle_max_ms = cases[i].idle_max_ms;
		begin_call(&fixture, "b", 0, &result);
		await_request(&fixture, cases[i].connection);
		g_string_free(result.body, TRUE);
		close_fixture(&fixture);
	}
}

/* An answer to an earlier request that would end only with the connection would
 * hide the one that the call waits for: the call fails at once. One without a body
 * is passed over. */
static void
test_unframed_answer_to_an_earlier_request_ends_the_call(void **state)
{
	static const struct {
		const char *repeated;
		uint32_t status; /* 0 if the call fails. */
	} cases[] = {
	    {ANSWER("503 Busy", "a", "Not-Executed: 1\r\n"), 0},
	    {"HTTP/1.0 503 Busy\r\n" ID_FIELD ": a\r\n\r\n", 0},
	    {ANSWER("200 OK", "a", "Connection: close\r\n") "body", 0},
	    {ANSWER("204 No", "a", ""), 200},
	    {ANSWER("304 Same", "a", "Content-Length: 9\r\n"), 200},
	};
	struct fixture fixture;
	struct result second;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		open_fixture(&fixture);
		complete_first_call(&fixture);
		begin_call(&fixture, "b", 0, &second);
		await_request(&fixture, 0);
		write_unread(&fixture, 0, cases[i].repeated);
		write_unread(&fixture, 0, OK_ANSWER("b"));
		assert_true(await_end(&fixture, &second));
		assert_int_equal(second.discarded, 1);
		assert_int_equal(second.status, cases[i].status);
		assert_int_equal(second.error,
		    cases[i].status == 0 ? ERROR_MALFORMED : ERROR_NONE);
		assert_string_equal(
		    second.body->str, cases[i].status == 0 ? "" : "ok");
		g_string_free(second.body, TRUE);
		close_fixture(&fixture);
	}
}

/* An upstream answers before it has read the body of the request. What it reads
 * next is the rest of that body, and must be no other request. */
static void
test_request_follows_no_body_that_was_not_sent(void **state)
{
	struct fixture fixture;
	struct result first, second;
	char bytes[READ_SIZE];
	ssize_t size, i;

	(void)state;
	open_fixture(&fixture);
	begin_call(&fixture, "a", BODY_SIZE, &first);
	await_request(&fixture, 0);
	write_unread(&fixture, 0, OK_ANSWER("a"));
	assert_true(await_end(&fixture, &first));
	assert_int_equal(first.error, ERROR_NONE);
	begin_call(&fixture, "b", 0, &second);
	await_request(&fixture, 1);
	while ((size = recv(fixture.peers[0], bytes, sizeof(bytes), 0)) > 0) {
		for (i = 0; i < size; i++)
			assert_int_equal(bytes[i], 'x');
	}
	g_string_free(first.body, TRUE);
	g_string_free(second.body, TRUE);
	close_fixture(&fixture);
}

/* An upstream answers before it has read the request, and its connection ends: a
 * part of the answer is not taken for the whole, although the request's write is
 * the first to meet the reset, and a whole one is not taken for a part. */
static void
test_early_answer_is_whole_or_incomplete(void **state)
{
	static const struct early_answer answers[] = {
	    {ANSWER("200 OK", "a", "") "bo", "bo", LOOPBACK_RESETS,
		ERROR_INCOMPLETE},
	    {"HTTP/1.0 200 OK\r\n" ID_FIELD ": a\r\n\r\nbo", "bo",
		LOOPBACK_RESETS, ERROR_INCOMPLETE},
	    {ANSWER("200 OK", "a",
		 "Content-Type: text/event-stream\r\n") "data: a\n\n",
		"data: a\n\n", LOOPBACK_RESETS, ERROR_INCOMPLETE},
	    {ANSWER("200 OK", "a", "Content-Length: 4\r\n") "bo", "bo",
		LOOPBACK_RESETS, ERROR_INCOMPLETE},
	    {ANSWER(
		 "200 OK", "a", "Transfer-Encoding: chunked\r\n") "2\r\nbo\r\n",
		"bo", LOOPBACK_RESETS, ERROR_INCOMPLETE},
	    {ANSWER("200 OK", "a", "Content-Length: 4\r\n") "body", "body",
		LOOPBACK_RESETS, ERROR_NONE},
	    {ANSWER("200 OK", "a",
		 "Transfer-Encoding: chunked\r\n") "4\r\nbody\r\n0\r\n\r\n",
		"body", LOOPBACK_RESETS, ERROR_NONE},
	    {ANSWER("204 No", "a", ""), "", LOOPBACK_RESETS, ERROR_NONE},
	    {ANSWER("200 OK", "a", "") "body", "body", LOOPBACK_SENDS_END,
		ERROR_NONE},
	    {ANSWER("200 OK", "a", "") "body", "body",
		LOOPBACK_SENDS_END_AND_RESETS, ERROR_NONE},
	    {ANSWER("200 OK", "a", "Content-Length: 4\r\n") "bo", "bo",
		LOOPBACK_SENDS_END_AND_RESETS, ERROR_INCOMPLETE},
	};
	struct fixture fixture;
	struct result result;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		open_fixture(&fixture);
		begin_call(&fixture, "a", BODY_SIZE, &result);
		result.fixture = &fixture;
		result.early = &answers[i];
		assert_true(await_end(&fixture, &result));
		assert_string_equal(result.body->str, answers[i].body);
		if (result.error != answers[i].error)
			fail_msg("%s end %d: %s", answers[i].text,
			    answers[i].end, error_name(result.error));
		g_string_free(result.body, TRUE);
		close_fixture(&fixture);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_connection_with_unread_bytes_gets_no_request),
	    cmocka_unit_test(test_new_connection_gets_its_whole_time),
	    cmocka_unit_test(test_idle_time_is_that_of_the_present),
	    cmocka_unit_test(
		test_unframed_answer_to_an_earlier_request_ends_the_call),
	    cmocka_unit_test(test_request_follows_no_body_that_was_not_sent),
	    cmocka_unit_test(test_early_answer_is_whole_or_incomplete),
	};

	/* A write on a connection that has ended reports an error instead. */
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
