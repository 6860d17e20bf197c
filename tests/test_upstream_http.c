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

#define PORT	    21420
#define PATIENCE_MS 20000 /* A bound for what must happen, not a target. */
#define BIG_SIZE    ((size_t)5 * 1024 * 1024)
#define BIG_START   (BIG_SIZE / 40 * 2 + 3) /* In the third part. */

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

/* What a caller gets from one attempt. */
struct result {
	uint32_t texts;
	char joined[256];
	struct piece last;
};

struct setting {
	struct upstream_http http;
	struct fake_upstream upstream;
	struct piece_queue *queue;
	struct upstream_call call;
};

static void
begin(struct setting *setting, const char *reply, enum fake_upstream_end end)
{
	struct upstream_http_settings settings;

	memset(setting, 0, sizeof(*setting));
	memset(&settings, 0, sizeof(settings));
	settings.connect_timeout_ms = 500;
	settings.service_body_size_max = 64;
	upstream_http_init(&setting->http, &settings);
	if (reply != NULL)
		fake_upstream_init(&setting->upstream, PORT, reply, end);
	setting->queue = piece_queue_create(8);
	snprintf(setting->call.target.url, sizeof(setting->call.target.url),
	    "http://127.0.0.1:%d", PORT);
	setting->call.request_id = 0xab;
	setting->call.attempt = 2;
	setting->call.answer_tokens_max = 2;
	setting->call.priority = REQUEST_PRIORITY_HIGH;
	strcpy(setting->call.model, "a b");
	strcpy(setting->call.path, "book/slot");
	setting->call.deadline_ms = clock_monotonic_ms() + PATIENCE_MS;
	trace_context_start(&setting->call.trace);
	setting->call.body = shared_text_copy("prompt", 6);
	setting->call.body_size = 6;
}

static void
finish(struct setting *setting)
{
	shared_text_unref(setting->call.body);
	piece_queue_release(setting->queue);
	upstream_http_finish(&setting->http);
	if (setting->upstream.port != 0)
		fake_upstream_finish(&setting->upstream);
}

static void
collect(struct setting *setting, struct result *result)
{
	struct piece piece;

	memset(result, 0, sizeof(*result));
	do {
		assert_int_equal(
		    piece_queue_pop(setting->queue,
			clock_monotonic_ms() + PATIENCE_MS, &piece),
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

/* What each fault looks like to the caller, and whether "not run" is said. */
static const struct generation_case {
	const char *name;
	const char *reply; /* NULL: nobody listens. */
	enum fake_upstream_end end;
	uint32_t texts;
	enum piece_kind kind;
	enum error_code error;
	enum request_outcome outcome; /* If it may not be repeated. */
} generation_cases[] = {
    {"whole", STREAM PIECE("0", "a") PIECE("1", "b") END("2"),
	FAKE_UPSTREAM_CLOSES, 2, PIECE_KIND_END, ERROR_NONE, 0},
    {"end mark, then cut", STREAM PIECE("0", "a") END("1"),
	FAKE_UPSTREAM_RESETS, 1, PIECE_KIND_END, ERROR_NONE, 0},
    {"duplicates and disorder are passed on",
	STREAM PIECE("1", "b") PIECE("0", "a") PIECE("1", "b") END("2"),
	FAKE_UPSTREAM_CLOSES, 3, PIECE_KIND_END, ERROR_NONE, 0},
    {"wrong count is passed on", STREAM PIECE("0", "a") END("7"),
	FAKE_UPSTREAM_CLOSES, 1, PIECE_KIND_END, ERROR_NONE, 0},
    {"nobody listens", NULL, FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED,
	ERROR_CONNECTION, REQUEST_OUTCOME_NOT_RUN},
    {"cut before a reply", "", FAKE_UPSTREAM_RESETS, 0, PIECE_KIND_FAILED,
	ERROR_CONNECTION, REQUEST_OUTCOME_UNKNOWN},
    {"closed before a reply", "", FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED,
	ERROR_CONNECTION, REQUEST_OUTCOME_UNKNOWN},
    {"cut in the middle", STREAM PIECE("0", "a"), FAKE_UPSTREAM_RESETS, 1,
	PIECE_KIND_FAILED, ERROR_CONNECTION, REQUEST_OUTCOME_UNKNOWN},
    {"no end mark", STREAM PIECE("0", "a") PIECE("1", "b"),
	FAKE_UPSTREAM_CLOSES, 2, PIECE_KIND_FAILED, ERROR_INCOMPLETE,
	REQUEST_OUTCOME_UNKNOWN},
    {"half a piece", STREAM "data: {\"request\":\"0000", FAKE_UPSTREAM_CLOSES,
	0, PIECE_KIND_FAILED, ERROR_INCOMPLETE, REQUEST_OUTCOME_UNKNOWN},
    {"garbage in a piece", STREAM "data: {{{\n\n", FAKE_UPSTREAM_CLOSES, 0,
	PIECE_KIND_FAILED, ERROR_MALFORMED, REQUEST_OUTCOME_UNKNOWN},
    {"text of a wrong type",
	STREAM "data: {\"request\":\"00000000000000ab\",\"attempt\":1,"
	       "\"sequence\":0,\"text\":5,\"tokens\":1}\n\n",
	FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED, ERROR_WRONG_TYPE,
	REQUEST_OUTCOME_UNKNOWN},
    {"garbage for HTTP", "\x01\x02\x03\r\n\r\n", FAKE_UPSTREAM_CLOSES, 0,
	PIECE_KIND_FAILED, ERROR_MALFORMED, REQUEST_OUTCOME_UNKNOWN},
    {"refused before running", REFUSAL("429 Busy", "no_capacity", "not_run"),
	FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED, ERROR_NO_CAPACITY,
	REQUEST_OUTCOME_NOT_RUN},
    {"failed and says so", REFUSAL("500 Oops", "upstream_failed", "failed"),
	FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED, ERROR_UPSTREAM_FAILED,
	REQUEST_OUTCOME_FAILED},
    {"error without a body", "HTTP/1.1 503 No\r\nConnection: close\r\n\r\n",
	FAKE_UPSTREAM_CLOSES, 0, PIECE_KIND_FAILED, ERROR_UPSTREAM_FAILED,
	REQUEST_OUTCOME_UNKNOWN},
    {"half a refusal is not believed",
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
test_each_end_of_a_generation_has_its_type(void **state)
{
	struct setting setting;
	struct result result;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(generation_cases) / sizeof(generation_cases[0]);
	     i++) {
		begin(&setting, generation_cases[i].reply,
		    generation_cases[i].end);
		assert_int_equal(upstream_http_adapter.generate(&setting.http,
				     &setting.call, setting.queue),
		    ERROR_NONE);
		collect(&setting, &result);
		if (result.texts != generation_cases[i].texts ||
		    result.last.kind != generation_cases[i].kind ||
		    result.last.error != generation_cases[i].error ||
		    result.last.outcome != generation_cases[i].outcome)
			fail_msg("%s: texts %u kind %d error %s outcome %d",
			    generation_cases[i].name, result.texts,
			    result.last.kind, error_name(result.last.error),
			    result.last.outcome);
		finish(&setting);
		assert_true(setting.upstream.connections <= 1);
	}
}

/* Whether a byte left before the cut is a race; both may be said only of
 * their own case. */
static void
test_a_cut_at_once_is_judged_by_what_left(void **state)
{
	struct setting setting;
	struct result result;
	bool not_run;

	(void)state;
	begin(&setting, "", FAKE_UPSTREAM_DEAF);
	upstream_http_adapter.generate(
	    &setting.http, &setting.call, setting.queue);
	collect(&setting, &result);
	finish(&setting);
	not_run = result.last.outcome == REQUEST_OUTCOME_NOT_RUN;
	assert_int_equal(result.last.error, ERROR_CONNECTION);
	assert_true(not_run || result.last.outcome == REQUEST_OUTCOME_UNKNOWN);
}

static void
test_a_broken_call_that_may_be_repeated_has_failed(void **state)
{
	struct setting setting;
	struct result result;

	(void)state;
	begin(&setting, STREAM PIECE("0", "a"), FAKE_UPSTREAM_RESETS);
	setting.call.is_idempotent = true;
	upstream_http_adapter.generate(
	    &setting.http, &setting.call, setting.queue);
	collect(&setting, &result);
	assert_int_equal(result.last.outcome, REQUEST_OUTCOME_FAILED);
	finish(&setting);
}

static void
test_the_call_says_all_that_the_interface_asks(void **state)
{
	struct setting setting;
	struct result result;
	char trace[TRACEPARENT_SIZE];

	(void)state;
	begin(&setting, STREAM END("0"), FAKE_UPSTREAM_CLOSES);
	setting.call.target.incarnation = 77;
	setting.call.reservation = 0xfe;
	strcpy(setting.call.idempotency_key, "key-1");
	upstream_http_adapter.generate(
	    &setting.http, &setting.call, setting.queue);
	collect(&setting, &result);
	finish(&setting);
	assert_non_null(strstr(setting.upstream.head,
	    "POST /engine/v1/generate?request=00000000000000ab&attempt=2"
	    "&incarnation=77&model=a%20b&priority=high"
	    "&answer_tokens_max=2&deadline_ms="));
	assert_non_null(strstr(
	    setting.upstream.head, "&reservation=00000000000000fe HTTP/1.1"));
	assert_non_null(
	    strstr(setting.upstream.head, "Idempotency-Key: key-1\r\n"));
	traceparent_format(&setting.call.trace, trace);
	assert_non_null(strstr(setting.upstream.head, trace));
	assert_int_equal(setting.upstream.body_size, 6);
}

static void
test_a_big_prompt_arrives_whole_from_many_parts(void **state)
{
	static char big[BIG_SIZE];
	struct setting setting;
	struct result result;
	struct text_part parts[40];
	uint64_t sum;
	size_t i;

	(void)state;
	sum = 0;
	for (i = 0; i < BIG_SIZE; i++)
		big[i] = (char)('a' + i % 23);
	for (i = BIG_START; i < BIG_SIZE - 5; i++)
		sum += (unsigned char)big[i];
	for (i = 0; i < 40; i++) {
		parts[i].data = big + i * (BIG_SIZE / 40);
		parts[i].size = BIG_SIZE / 40;
	}
	begin(&setting, STREAM END("0"), FAKE_UPSTREAM_CLOSES);
	shared_text_unref(setting.call.body);
	setting.call.body = shared_text_create(parts, 40, NULL, NULL);
	setting.call.body_offset = BIG_START;
	setting.call.body_size = BIG_SIZE - 5 - BIG_START;
	upstream_http_adapter.generate(
	    &setting.http, &setting.call, setting.queue);
	collect(&setting, &result);
	assert_int_equal(result.last.kind, PIECE_KIND_END);
	assert_int_equal(setting.upstream.body_size, BIG_SIZE - 5 - BIG_START);
	assert_int_equal(setting.upstream.body_sum, sum);
	finish(&setting);
	assert_null(strstr(setting.upstream.head, "Expect:"));
}

/* The caller notices by its own deadline and does not wait for the rest. */
static void
test_a_stalled_attempt_is_noticed_and_given_up(void **state)
{
	struct setting setting;
	struct piece piece;
	int64_t deadline_ms;

	(void)state;
	begin(&setting, STREAM PIECE("0", "a"), FAKE_UPSTREAM_STALLS);
	upstream_http_adapter.generate(
	    &setting.http, &setting.call, setting.queue);
	assert_int_equal(piece_queue_pop(setting.queue,
			     clock_monotonic_ms() + PATIENCE_MS, &piece),
	    ERROR_NONE);
	piece_finish(&piece);
	assert_int_equal(
	    piece_queue_pop(setting.queue, clock_monotonic_ms() + 20, &piece),
	    ERROR_TIMEOUT);
	piece_queue_close(setting.queue);
	deadline_ms = clock_monotonic_ms() + PATIENCE_MS;
	while (upstream_http_running(&setting.http) > 0 &&
	       clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	assert_int_equal(upstream_http_running(&setting.http), 0);
	while (setting.upstream.cut_by_caller == 0 &&
	       clock_monotonic_ms() < deadline_ms)
		usleep(2000);
	assert_int_equal(setting.upstream.cut_by_caller, 1);
	finish(&setting);
}

static void
test_stop_ends_stalled_and_blocked_attempts(void **state)
{
	struct setting setting;
	struct piece_queue *narrow;
	struct piece piece;

	(void)state;
	begin(&setting, STREAM PIECE("0", "a") PIECE("1", "b") END("2"),
	    FAKE_UPSTREAM_STALLS);
	narrow = piece_queue_create(1);
	upstream_http_adapter.generate(&setting.http, &setting.call, narrow);
	assert_int_equal(
	    piece_queue_pop(narrow, clock_monotonic_ms() + PATIENCE_MS, &piece),
	    ERROR_NONE);
	piece_finish(&piece);
	upstream_http_stop(&setting.http);
	assert_int_equal(upstream_http_adapter.generate(
			     &setting.http, &setting.call, narrow),
	    ERROR_SHUTTING_DOWN);
	while (piece_queue_pop(narrow, clock_monotonic_ms() + PATIENCE_MS,
		   &piece) == ERROR_NONE)
		piece_finish(&piece);
	piece_queue_release(narrow);
	finish(&setting);
}

static void
test_attempts_are_bounded(void **state)
{
	struct setting setting;

	(void)state;
	begin(&setting, STREAM, FAKE_UPSTREAM_STALLS);
	setting.http.settings.attempts_max = 1;
	assert_int_equal(upstream_http_adapter.generate(
			     &setting.http, &setting.call, setting.queue),
	    ERROR_NONE);
	assert_int_equal(upstream_http_adapter.generate(
			     &setting.http, &setting.call, setting.queue),
	    ERROR_TABLE_FULL);
	finish(&setting);
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
	struct setting setting;
	struct result result;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		begin(&setting, cases[i].reply, FAKE_UPSTREAM_CLOSES);
		strcpy(setting.call.idempotency_key, "deposit-7");
		upstream_http_adapter.call(
		    &setting.http, &setting.call, setting.queue);
		collect(&setting, &result);
		assert_string_equal(result.joined, cases[i].joined);
		assert_int_equal(result.last.kind, cases[i].kind);
		assert_int_equal(result.last.error, cases[i].error);
		assert_int_equal(result.last.outcome, cases[i].outcome);
		finish(&setting);
		assert_non_null(strstr(setting.upstream.head,
		    "POST /service/v1/call/book/slot HTTP"));
		assert_non_null(strstr(
		    setting.upstream.head, "Idempotency-Key: deposit-7\r\n"));
	}
}

static void
test_control_answers_have_types(void **state)
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
	struct setting setting;
	struct kv_export export;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		begin(&setting, cases[i].reply, cases[i].end);
		assert_int_equal(
		    upstream_http_adapter.kv_export(NULL, &setting.call.target,
			0x55, setting.call.deadline_ms, &export),
		    cases[i].error);
		if (cases[i].error == ERROR_NONE) {
			assert_int_equal(export.tokens, 12);
			assert_int_equal(export.content_digest, 0xff);
			assert_int_equal(export.reservation, 0x55);
		}
		finish(&setting);
	}
}

static void
test_control_keeps_its_deadline(void **state)
{
	struct setting setting;

	(void)state;
	begin(&setting, "", FAKE_UPSTREAM_STALLS);
	assert_int_equal(
	    upstream_http_adapter.kv_release(
		NULL, &setting.call.target, 1, clock_monotonic_ms() + 50),
	    ERROR_OUTCOME_UNKNOWN);
	assert_int_equal(upstream_http_adapter.kv_release(NULL,
			     &setting.call.target, 1, clock_monotonic_ms()),
	    ERROR_TIMEOUT);
	finish(&setting);
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
	    cmocka_unit_test(test_each_end_of_a_generation_has_its_type),
	    cmocka_unit_test(test_a_cut_at_once_is_judged_by_what_left),
	    cmocka_unit_test(
		test_a_broken_call_that_may_be_repeated_has_failed),
	    cmocka_unit_test(test_the_call_says_all_that_the_interface_asks),
	    cmocka_unit_test(test_a_big_prompt_arrives_whole_from_many_parts),
	    cmocka_unit_test(test_a_stalled_attempt_is_noticed_and_given_up),
	    cmocka_unit_test(test_stop_ends_stalled_and_blocked_attempts),
	    cmocka_unit_test(test_attempts_are_bounded),
	    cmocka_unit_test(test_plain_calls_pass_on_answers_and_refusals),
	    cmocka_unit_test(test_control_answers_have_types),
	    cmocka_unit_test(test_control_keeps_its_deadline),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}
