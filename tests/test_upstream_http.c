/*
 * Tests of the HTTP client for upstreams: attempts, plain calls and orders.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include <curl/curl.h>

#include "base/monotonic_clock.h"
#include "fake_upstream.h"
#include "transport/upstream_control.h"
#include "transport/upstream_http.h"

/* Limit for events that must happen; long, so that slow machines pass. */
#define WAIT_MAX_MS 20000
#define PORT	    21420
#define BODY_SIZE   ((size_t)5 * 1024 * 1024)
#define BODY_START  (BODY_SIZE / 40 * 2 + 3) /* Offset in the third part. */

#define HEAD_OK "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
#define STREAM	HEAD_OK "Connection: close\r\n\r\n"
#define PIECE(sequence, text)                                                  \
	"data: {\"request\":\"00000000000000ab\",\"attempt\":2,"               \
	"\"sequence\":" sequence ",\"text\":\"" text "\",\"tokens\":1}\n\n"
#define END(pieces)                                                            \
	"event: end\ndata: {\"request\":\"00000000000000ab\",\"attempt\":2,"   \
	"\"pieces\":" pieces                                                   \
	",\"prompt_tokens\":3,\"answer_tokens\":2,\"finish\":\"stop\"}\n\n"
#define REFUSAL(status, type, outcome)                                         \
	"HTTP/1.1 " status "\r\nConnection: close\r\n\r\n"                     \
	"{\"error\":{\"type\":\"" type                                         \
	"\",\"message\":\"m\",\"outcome\":\"" outcome                          \
	"\",\"retry_after_ms\":700}}"

/* What one attempt delivered to its piece queue. */
struct result {
	uint32_t texts;	   /* Number of text pieces. */
	char joined[256];  /* Texts of these pieces, joined. */
	struct piece last; /* Last piece: the end or the failure. */
};

/* Client and upstream of one test, and a call from one to the other. */
struct fixture {
	struct upstream_http http;
	struct fake_upstream upstream;
	struct piece_queue *queue;
	struct attempt_input call;
};

static void
open_fixture(
    struct fixture *fixture, const char *reply, enum fake_upstream_end end)
{
	struct upstream_http_settings settings;

	memset(fixture, 0, sizeof(*fixture));
	memset(&settings, 0, sizeof(settings));
	settings.connect_timeout_ms = 500;
	settings.service_body_size_max = 64;
	upstream_http_init(&fixture->http, &settings);
	if (reply != NULL)
		fake_upstream_init(&fixture->upstream, PORT, reply, end);
	fixture->queue = piece_queue_create(8);
	snprintf(fixture->call.target.url, sizeof(fixture->call.target.url),
	    "http://127.0.0.1:%d", PORT);
	fixture->call.request_id = 0xab;
	fixture->call.attempt = 2;
	fixture->call.answer_tokens_max = 2;
	fixture->call.priority = REQUEST_PRIORITY_HIGH;
	strcpy(fixture->call.model, "a b");
	strcpy(fixture->call.path, "book/slot");
	fixture->call.deadline_ms = clock_monotonic_ms() + WAIT_MAX_MS;
	trace_context_start(&fixture->call.trace);
	fixture->call.body = shared_text_copy("prompt", 6);
	fixture->call.body_size = 6;
}

static void
close_fixture(struct fixture *fixture)
{
	shared_text_unref(fixture->call.body);
	piece_queue_release(fixture->queue);
	upstream_http_finish(&fixture->http);
	if (fixture->upstream.port != 0)
		fake_upstream_finish(&fixture->upstream);
}

static void
collect(struct fixture *fixture, struct result *result)
{
	struct piece piece;

	memset(result, 0, sizeof(*result));
	do {
		assert_int_equal(
		    piece_queue_pop(fixture->queue,
			clock_monotonic_ms() + WAIT_MAX_MS, &piece),
		    ERROR_NONE);
		if (piece.kind == PIECE_KIND_TEXT) {
			result->texts++;
			strncat(result->joined, piece.text, 32);
		}
		piece_finish(&piece);
	} while (
	    piece.kind != PIECE_KIND_END && piece.kind != PIECE_KIND_FAILED);
	result->last = piece;
}

/* Replies and faults of an upstream, and what the caller gets. The outcome may
 * be "not run" only if the upstream cannot have begun. */
static const struct generation_case {
	const char *name;
	const char *reply; /* Reply, NULL for a closed port. */
	enum fake_upstream_end end;
	uint32_t texts;
	enum piece_kind kind;
	enum error_code error;
	enum request_outcome outcome; /* Outcome expected if not idempotent. */
} generation_cases[] = {
    {"complete stream", STREAM PIECE("0", "a") PIECE("1", "b") END("2"),
	FAKE_UPSTREAM_CLOSES, 2, PIECE_KIND_END, ERROR_NONE, 0},
    {"end event, then reset", STREAM PIECE("0", "a") END("1"),
	FAKE_UPSTREAM_RESETS, 1, PIECE_KIND_END, ERROR_NONE, 0},
    {"duplicates and wrong order are passed on",
	STREAM PIECE("1", "b") PIECE("0", "a") PIECE("1", "b") END("2"),
	FAKE_UPSTREAM_CLOSES, 3, PIECE_KIND_END, ERROR_NONE, 0},
    {"wrong count is passed on", STREAM PIECE("0", "a") END("7"),
	FAKE_UPSTREAM_CLOSES, 1, PIECE_KIND_END, ERROR_NONE, 0},
    {"connection refused", NULL, FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED,
	ERROR_CONNECTION, REQUEST_OUTCOME_NOT_RUN},
    {"reset before a reply", "", FAKE_UPSTREAM_RESETS, 0, PIECE_KIND_FAILED,
	ERROR_CONNECTION, REQUEST_OUTCOME_UNKNOWN},
    {"closed before a reply", "", FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED,
	ERROR_CONNECTION, REQUEST_OUTCOME_UNKNOWN},
    {"reset within the stream", STREAM PIECE("0", "a"), FAKE_UPSTREAM_RESETS, 1,
	PIECE_KIND_FAILED, ERROR_CONNECTION, REQUEST_OUTCOME_UNKNOWN},
    {"stream without end event", STREAM PIECE("0", "a") PIECE("1", "b"),
	FAKE_UPSTREAM_CLOSES, 2, PIECE_KIND_FAILED, ERROR_INCOMPLETE,
	REQUEST_OUTCOME_UNKNOWN},
    {"incomplete piece", STREAM "data: {\"request\":\"0000",
	FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED, ERROR_INCOMPLETE,
	REQUEST_OUTCOME_UNKNOWN},
    {"piece is not JSON", STREAM "data: {{{\n\n", FAKE_UPSTREAM_CLOSES, 0,
	PIECE_KIND_FAILED, ERROR_MALFORMED, REQUEST_OUTCOME_UNKNOWN},
    {"text of a wrong type",
	STREAM "data: {\"request\":\"00000000000000ab\",\"attempt\":1,"
	       "\"sequence\":0,\"text\":5,\"tokens\":1}\n\n",
	FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED, ERROR_WRONG_TYPE,
	REQUEST_OUTCOME_UNKNOWN},
    {"reply is not HTTP", "\x01\x02\x03\r\n\r\n", FAKE_UPSTREAM_CLOSES, 0,
	PIECE_KIND_FAILED, ERROR_MALFORMED, REQUEST_OUTCOME_UNKNOWN},
    {"refused before running", REFUSAL("429 Busy", "no_capacity", "not_run"),
	FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED, ERROR_NO_CAPACITY,
	REQUEST_OUTCOME_NOT_RUN},
    {"upstream reports a failure",
	REFUSAL("500 Oops", "upstream_failed", "failed"), FAKE_UPSTREAM_CLOSES,
	0, PIECE_KIND_FAILED, ERROR_UPSTREAM_FAILED, REQUEST_OUTCOME_FAILED},
    {"error without a body", "HTTP/1.1 503 No\r\nConnection: close\r\n\r\n",
	FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED, ERROR_UPSTREAM_FAILED,
	REQUEST_OUTCOME_UNKNOWN},
    {"incomplete refusal does not count as not run",
	"HTTP/1.1 429 Busy\r\nContent-Length: 500\r\n\r\n"
	"{\"error\":{\"outcome\":\"not_run\"}}",
	FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED, ERROR_UPSTREAM_FAILED,
	REQUEST_OUTCOME_UNKNOWN},
    {"error after pieces",
	STREAM PIECE("0", "a") "event: error\ndata: {\"request\":"
			       "\"00000000000000ab\",\"attempt\":2,"
			       "\"error\":{\"type\":\"cancelled\","
			       "\"outcome\":\"failed\"}}\n\n",
	FAKE_UPSTREAM_CLOSES, 1, PIECE_KIND_FAILED, ERROR_CANCELLED,
	REQUEST_OUTCOME_FAILED},
};

static void
test_each_generation_fault_has_its_error(void **state)
{
	struct fixture fixture;
	struct result result;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(generation_cases) / sizeof(generation_cases[0]);
	     i++) {
		open_fixture(&fixture, generation_cases[i].reply,
		    generation_cases[i].end);
		assert_int_equal(upstream_http_adapter.generate(&fixture.http,
				     &fixture.call, fixture.queue),
		    ERROR_NONE);
		collect(&fixture, &result);
		if (result.texts != generation_cases[i].texts ||
		    result.last.kind != generation_cases[i].kind ||
		    result.last.error != generation_cases[i].error ||
		    result.last.outcome != generation_cases[i].outcome)
			fail_msg("%s: texts %u kind %d error %s outcome %d",
			    generation_cases[i].name, result.texts,
			    result.last.kind, error_name(result.last.error),
			    result.last.outcome);
		close_fixture(&fixture);
		assert_true(fixture.upstream.connections <= 1);
	}
}

/* The upstream resets the connection at once. Whether a byte of the request was
 * sent before that is a race, so the outcome is "not run" or "unknown". */
static void
test_reset_at_once_is_not_run_or_unknown(void **state)
{
	struct fixture fixture;
	struct result result;
	bool not_run;

	(void)state;
	open_fixture(&fixture, "", FAKE_UPSTREAM_RESETS_UNREAD);
	upstream_http_adapter.generate(
	    &fixture.http, &fixture.call, fixture.queue);
	collect(&fixture, &result);
	close_fixture(&fixture);
	not_run = result.last.outcome == REQUEST_OUTCOME_NOT_RUN;
	assert_int_equal(result.last.error, ERROR_CONNECTION);
	assert_true(not_run || result.last.outcome == REQUEST_OUTCOME_UNKNOWN);
}

static void
test_broken_idempotent_call_has_failed(void **state)
{
	struct fixture fixture;
	struct result result;

	(void)state;
	open_fixture(&fixture, STREAM PIECE("0", "a"), FAKE_UPSTREAM_RESETS);
	fixture.call.is_idempotent = true;
	upstream_http_adapter.generate(
	    &fixture.http, &fixture.call, fixture.queue);
	collect(&fixture, &result);
	assert_int_equal(result.last.outcome, REQUEST_OUTCOME_FAILED);
	close_fixture(&fixture);
}

static void
test_call_carries_all_request_fields(void **state)
{
	struct fixture fixture;
	struct result result;
	char trace[TRACEPARENT_SIZE];

	(void)state;
	open_fixture(&fixture, STREAM END("0"), FAKE_UPSTREAM_CLOSES);
	fixture.call.target.incarnation = 77;
	fixture.call.reservation = 0xfe;
	strcpy(fixture.call.idempotency_key, "key-1");
	upstream_http_adapter.generate(
	    &fixture.http, &fixture.call, fixture.queue);
	collect(&fixture, &result);
	close_fixture(&fixture);
	assert_non_null(strstr(fixture.upstream.request_head,
	    "POST /engine/v1/generate?request=00000000000000ab&attempt=2"
	    "&incarnation=77&model=a%20b&priority=high"
	    "&answer_tokens_max=2&deadline_ms="));
	assert_non_null(strstr(fixture.upstream.request_head,
	    "&reservation=00000000000000fe HTTP/1.1"));
	assert_non_null(strstr(
	    fixture.upstream.request_head, "Idempotency-Key: key-1\r\n"));
	traceparent_format(&fixture.call.trace, trace);
	assert_non_null(strstr(fixture.upstream.request_head, trace));
	assert_int_equal(fixture.upstream.body_size, 6);
}

static void
test_large_body_arrives_whole_from_many_parts(void **state)
{
	static char bytes[BODY_SIZE];
	struct fixture fixture;
	struct result result;
	struct text_part parts[40];
	uint64_t sum;
	size_t i;

	(void)state;
	sum = 0;
	for (i = 0; i < BODY_SIZE; i++)
		bytes[i] = (char)('a' + i % 23);
	for (i = BODY_START; i < BODY_SIZE - 5; i++)
		sum += (unsigned char)bytes[i];
	for (i = 0; i < 40; i++) {
		parts[i].data = bytes + i * (BODY_SIZE / 40);
		parts[i].size = BODY_SIZE / 40;
	}
	open_fixture(&fixture, STREAM END("0"), FAKE_UPSTREAM_CLOSES);
	shared_text_unref(fixture.call.body);
	fixture.call.body = shared_text_create(parts, 40, NULL, NULL);
	fixture.call.body_offset = BODY_START;
	fixture.call.body_size = BODY_SIZE - 5 - BODY_START;
	upstream_http_adapter.generate(
	    &fixture.http, &fixture.call, fixture.queue);
	collect(&fixture, &result);
	assert_int_equal(result.last.kind, PIECE_KIND_END);
	assert_int_equal(
	    fixture.upstream.body_size, BODY_SIZE - 5 - BODY_START);
	assert_int_equal(fixture.upstream.body_sum, sum);
	close_fixture(&fixture);
	assert_null(strstr(fixture.upstream.request_head, "Expect:"));
}

/* The caller detects a stalled attempt by its own timeout. Closing the queue
 * ends the attempt and closes the connection. */
static void
test_stalled_attempt_is_closed_after_timeout(void **state)
{
	struct fixture fixture;
	struct piece piece;
	int64_t deadline_ms;

	(void)state;
	open_fixture(&fixture, STREAM PIECE("0", "a"), FAKE_UPSTREAM_STALLS);
	upstream_http_adapter.generate(
	    &fixture.http, &fixture.call, fixture.queue);
	assert_int_equal(piece_queue_pop(fixture.queue,
			     clock_monotonic_ms() + WAIT_MAX_MS, &piece),
	    ERROR_NONE);
	piece_finish(&piece);
	assert_int_equal(
	    piece_queue_pop(fixture.queue, clock_monotonic_ms() + 20, &piece),
	    ERROR_TIMEOUT);
	piece_queue_close(fixture.queue);
	deadline_ms = clock_monotonic_ms() + WAIT_MAX_MS;
	while (upstream_http_running(&fixture.http) > 0 &&
	       clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	assert_int_equal(upstream_http_running(&fixture.http), 0);
	while (fixture.upstream.closed_by_caller == 0 &&
	       clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	assert_int_equal(fixture.upstream.closed_by_caller, 1);
	close_fixture(&fixture);
}

static void
test_stop_ends_stalled_and_blocked_attempts(void **state)
{
	struct fixture fixture;
	struct piece_queue *small_queue;
	struct piece piece;

	(void)state;
	open_fixture(&fixture, STREAM PIECE("0", "a") PIECE("1", "b") END("2"),
	    FAKE_UPSTREAM_STALLS);
	small_queue = piece_queue_create(1);
	upstream_http_adapter.generate(
	    &fixture.http, &fixture.call, small_queue);
	assert_int_equal(piece_queue_pop(small_queue,
			     clock_monotonic_ms() + WAIT_MAX_MS, &piece),
	    ERROR_NONE);
	piece_finish(&piece);
	upstream_http_stop(&fixture.http);
	assert_int_equal(upstream_http_adapter.generate(
			     &fixture.http, &fixture.call, small_queue),
	    ERROR_SHUTTING_DOWN);
	while (piece_queue_pop(small_queue, clock_monotonic_ms() + WAIT_MAX_MS,
		   &piece) == ERROR_NONE)
		piece_finish(&piece);
	piece_queue_release(small_queue);
	close_fixture(&fixture);
}

static void
test_running_attempts_are_bounded(void **state)
{
	struct fixture fixture;

	(void)state;
	open_fixture(&fixture, STREAM, FAKE_UPSTREAM_STALLS);
	fixture.http.settings.attempts_max = 1;
	assert_int_equal(upstream_http_adapter.generate(
			     &fixture.http, &fixture.call, fixture.queue),
	    ERROR_NONE);
	assert_int_equal(upstream_http_adapter.generate(
			     &fixture.http, &fixture.call, fixture.queue),
	    ERROR_TABLE_FULL);
	close_fixture(&fixture);
}

/* Heads and error replies that never end are given up long before the
 * deadline. */
static void
test_endless_replies_are_cut_off(void **state)
{
	static const char *const replies[] = {
	    "HTTP/1.1 200 OK\r\nX-More: 1\r\n",
	    "HTTP/1.1 100 Continue\r\nX-More: 1\r\n",
	    "HTTP/1.1 500 No\r\n\r\nno\n",
	    "HTTP/1.1 503 No\r\nX-Request-Outcome: not_run\r\n\r\nno\n",
	};
	struct fixture fixture;
	struct result result;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(replies) / sizeof(replies[0]); i++) {
		open_fixture(&fixture, replies[i], FAKE_UPSTREAM_REPEATS);
		upstream_http_adapter.generate(
		    &fixture.http, &fixture.call, fixture.queue);
		collect(&fixture, &result);
		assert_int_equal(result.last.kind, PIECE_KIND_FAILED);
		if (result.last.error != ERROR_TOO_LARGE)
			fail_msg("%s: %s", replies[i],
			    error_name(result.last.error));
		assert_int_not_equal(
		    result.last.outcome, REQUEST_OUTCOME_NOT_RUN);
		close_fixture(&fixture);
	}
}

static void
test_plain_calls_pass_on_answers_and_refusals(void **state)
{
	static const struct {
		const char *reply;
		const char *joined;
		enum piece_kind kind;
		enum error_code error;
		enum request_outcome outcome;
	} cases[] = {
	    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok",
		PIECE_KIND_END, ERROR_NONE, 0},
	    {"HTTP/1.1 404 No\r\nContent-Length: 4\r\n\r\nnone", "none",
		PIECE_KIND_END, ERROR_NONE, 0},
	    {"HTTP/1.1 204 No\r\n\r\n", "", PIECE_KIND_END, ERROR_NONE, 0},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "ok",
		PIECE_KIND_FAILED, ERROR_CONNECTION, REQUEST_OUTCOME_UNKNOWN},
	    {"HTTP/1.1 429 Busy\r\nX-Request-Outcome: not_run\r\n"
	     "Content-Length: 0\r\n\r\n",
		"", PIECE_KIND_FAILED, ERROR_UPSTREAM_REFUSED,
		REQUEST_OUTCOME_NOT_RUN},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n"
	     "0123456789012345678901234567890123456789"
	     "012345678901234567890123456789",
		"", PIECE_KIND_FAILED, ERROR_TOO_LARGE,
		REQUEST_OUTCOME_UNKNOWN},
	    {"", "", PIECE_KIND_FAILED, ERROR_CONNECTION,
		REQUEST_OUTCOME_UNKNOWN},
	};
	struct fixture fixture;
	struct result result;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		open_fixture(&fixture, cases[i].reply, FAKE_UPSTREAM_CLOSES);
		strcpy(fixture.call.idempotency_key, "deposit-7");
		upstream_http_adapter.call(
		    &fixture.http, &fixture.call, fixture.queue);
		collect(&fixture, &result);
		assert_string_equal(result.joined, cases[i].joined);
		assert_int_equal(result.last.kind, cases[i].kind);
		assert_int_equal(result.last.error, cases[i].error);
		assert_int_equal(result.last.outcome, cases[i].outcome);
		close_fixture(&fixture);
		assert_non_null(strstr(fixture.upstream.request_head,
		    "POST /service/v1/call/book/slot HTTP"));
		assert_non_null(strstr(fixture.upstream.request_head,
		    "Idempotency-Key: deposit-7\r\n"));
	}
}

static void
test_control_answers_map_to_errors(void **state)
{
	static const struct {
		const char *reply;
		enum fake_upstream_end end;
		enum error_code error;
	} cases[] = {
	    {"HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n"
	     "{\"tokens\":12,\"content_digest\":\"00000000000000ff\"         "
	     "  }",
		FAKE_UPSTREAM_CLOSES, ERROR_NONE},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"tokens\":12}",
		FAKE_UPSTREAM_CLOSES, ERROR_MALFORMED},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
		FAKE_UPSTREAM_CLOSES, ERROR_MALFORMED},
	    {NULL, FAKE_UPSTREAM_CLOSES, ERROR_CONNECTION},
	    {"", FAKE_UPSTREAM_RESETS, ERROR_OUTCOME_UNKNOWN},
	    {REFUSAL("409 Old", "stale", "not_run"), FAKE_UPSTREAM_CLOSES,
		ERROR_STALE},
	    {REFUSAL("404 No", "not_found", "not_run"), FAKE_UPSTREAM_CLOSES,
		ERROR_NOT_FOUND},
	    {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
		FAKE_UPSTREAM_CLOSES, ERROR_OUTCOME_UNKNOWN},
	};
	struct fixture fixture;
	struct kv_export export;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		open_fixture(&fixture, cases[i].reply, cases[i].end);
		assert_int_equal(
		    upstream_http_adapter.kv_export(NULL, &fixture.call.target,
			0x55, fixture.call.deadline_ms, &export),
		    cases[i].error);
		if (cases[i].error == ERROR_NONE) {
			assert_int_equal(export.tokens, 12);
			assert_int_equal(export.content_digest, 0xff);
			assert_int_equal(export.reservation, 0x55);
		}
		close_fixture(&fixture);
	}
}

static void
test_control_keeps_its_deadline(void **state)
{
	struct fixture fixture;

	(void)state;
	open_fixture(&fixture, "", FAKE_UPSTREAM_STALLS);
	assert_int_equal(
	    upstream_http_adapter.kv_release(
		NULL, &fixture.call.target, 1, clock_monotonic_ms() + 50),
	    ERROR_OUTCOME_UNKNOWN);
	assert_int_equal(upstream_http_adapter.kv_release(NULL,
			     &fixture.call.target, 1, clock_monotonic_ms()),
	    ERROR_TIMEOUT);
	close_fixture(&fixture);
}

static void
test_probe_tells_a_living_upstream(void **state)
{
	struct fixture fixture;

	(void)state;
	open_fixture(&fixture, "", FAKE_UPSTREAM_STALLS);
	assert_int_equal(upstream_http_adapter.probe(NULL, &fixture.call.target,
			     fixture.call.deadline_ms),
	    ERROR_NONE);
	close_fixture(&fixture);
	assert_int_equal(upstream_http_adapter.probe(NULL, &fixture.call.target,
			     fixture.call.deadline_ms),
	    ERROR_CONNECTION);
	assert_int_equal(upstream_http_adapter.probe(
			     NULL, &fixture.call.target, clock_monotonic_ms()),
	    ERROR_CONNECTION);
}

static int
set_up(void **state)
{
	(void)state;
	signal(SIGPIPE, SIG_IGN);
	return curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK ? 0 : -1;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_each_generation_fault_has_its_error),
	    cmocka_unit_test(test_reset_at_once_is_not_run_or_unknown),
	    cmocka_unit_test(test_broken_idempotent_call_has_failed),
	    cmocka_unit_test(test_call_carries_all_request_fields),
	    cmocka_unit_test(test_large_body_arrives_whole_from_many_parts),
	    cmocka_unit_test(test_stalled_attempt_is_closed_after_timeout),
	    cmocka_unit_test(test_stop_ends_stalled_and_blocked_attempts),
	    cmocka_unit_test(test_running_attempts_are_bounded),
	    cmocka_unit_test(test_endless_replies_are_cut_off),
	    cmocka_unit_test(test_plain_calls_pass_on_answers_and_refusals),
	    cmocka_unit_test(test_control_answers_map_to_errors),
	    cmocka_unit_test(test_control_keeps_its_deadline),
	    cmocka_unit_test(test_probe_tells_a_living_upstream),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}
