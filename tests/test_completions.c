/*
 * Tests of the completions API: request bodies, headers, facts derived from
 * them, answers and errors.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <cmocka.h>

#include <stdio.h>

#include "protocol/completions.h"
#include "protocol/prefix_hash.h"
#include "protocol/sse.h"

/* An HTTP header. A list of headers ends with an entry whose name is NULL. */
struct header {
	const char *name;
	const char *value;
};

static const char *
find_header(const void *context, const char *name)
{
	const struct header *header;

	for (header = context; header->name != NULL; header++) {
		if (strcasecmp(header->name, name) == 0)
			return header->value;
	}
	return NULL;
}

static enum error_code
parse(enum completions_kind kind, const char *body,
    struct completions_request *request, struct field_error *error)
{
	return completions_parse(kind, body, strlen(body), request, error);
}

static void
assert_prompt(const struct completions_request *request, const char *expected)
{
	struct text_cursor cursor;
	char text[512];
	size_t size;

	text_cursor_init(&cursor, request->prompt, 0, SIZE_MAX);
	size = text_cursor_read(&cursor, text, sizeof(text) - 1);
	text[size] = '\0';
	assert_string_equal(text, expected);
	assert_int_equal(request->prompt->size, strlen(expected));
}

static void
test_request_bodies_are_parsed(void **state)
{
	struct completions_request request;
	struct field_error error;

	(void)state;
	assert_int_equal(parse(COMPLETIONS_KIND_TEXT,
			     "{\"model\":\"m\",\"prompt\":\"h\\u00e9\","
			     "\"stream\":true,\"max_tokens\":9,\"n\":1}",
			     &request, &error),
	    ERROR_NONE);
	assert_string_equal(request.model, "m");
	assert_true(request.stream);
	assert_int_equal(request.answer_tokens_max, 9);
	assert_prompt(&request, "h\xc3\xa9");
	completions_request_finish(&request);
	assert_int_equal(parse(COMPLETIONS_KIND_CHAT,
			     "{\"model\":\"m\",\"messages\":[{\"role\":"
			     "\"system\",\"content\":\"a\"},{\"role\":\"user\","
			     "\"content\":[{\"type\":\"text\",\"text\":\"b\"},"
			     "{\"type\":\"text\",\"text\":\"c\"}]}]}",
			     &request, &error),
	    ERROR_NONE);
	assert_false(request.stream);
	assert_int_equal(request.answer_tokens_max, ANSWER_TOKENS_DEFAULT);
	assert_prompt(&request, "<|system|>\na\n<|user|>\nbc\n<|assistant|>\n");
	completions_request_finish(&request);
}

static const struct {
	const char *body;
	const char *field;
	enum completions_kind kind;
	enum error_code code;
} invalid_bodies[] = {
    {"", "body", COMPLETIONS_KIND_TEXT, ERROR_MALFORMED},
    {"{", "body", COMPLETIONS_KIND_TEXT, ERROR_MALFORMED},
    {"{} x", "body", COMPLETIONS_KIND_TEXT, ERROR_MALFORMED},
    {"[]", "body", COMPLETIONS_KIND_TEXT, ERROR_WRONG_TYPE},
    {"{\"prompt\":\"a\"}", "model", COMPLETIONS_KIND_TEXT, ERROR_MISSING_FIELD},
    {"{\"model\":1}", "model", COMPLETIONS_KIND_TEXT, ERROR_WRONG_TYPE},
    {"{\"model\":\"m\"}", "prompt", COMPLETIONS_KIND_TEXT, ERROR_MISSING_FIELD},
    {"{\"model\":\"m\",\"prompt\":\"\"}", "prompt", COMPLETIONS_KIND_TEXT,
	ERROR_BAD_VALUE},
    {"{\"model\":\"m\",\"prompt\":[\"a\",\"b\"]}", "prompt",
	COMPLETIONS_KIND_TEXT, ERROR_WRONG_TYPE},
    {"{\"model\":\"m\",\"prompt\":\"a\",\"stream\":1}", "stream",
	COMPLETIONS_KIND_TEXT, ERROR_WRONG_TYPE},
    {"{\"model\":\"m\",\"prompt\":\"a\",\"n\":2}", "n", COMPLETIONS_KIND_TEXT,
	ERROR_BAD_VALUE},
    {"{\"model\":\"m\",\"prompt\":\"a\",\"max_tokens\":0}", "max_tokens",
	COMPLETIONS_KIND_TEXT, ERROR_BAD_VALUE},
    {"{\"model\":\"m\",\"prompt\":\"a\",\"max_tokens\":1048577}", "max_tokens",
	COMPLETIONS_KIND_TEXT, ERROR_BAD_VALUE},
    {"{\"model\":\"m\",\"prompt\":\"a\"}", "messages", COMPLETIONS_KIND_CHAT,
	ERROR_MISSING_FIELD},
    {"{\"model\":\"m\",\"messages\":[]}", "messages", COMPLETIONS_KIND_CHAT,
	ERROR_BAD_VALUE},
    {"{\"model\":\"m\",\"messages\":[{}]}", "messages[0].role",
	COMPLETIONS_KIND_CHAT, ERROR_MISSING_FIELD},
    {"{\"model\":\"m\",\"messages\":[{\"role\":\"boss\"}]}", "messages[0].role",
	COMPLETIONS_KIND_CHAT, ERROR_BAD_VALUE},
    {"{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}",
	"messages[0].content", COMPLETIONS_KIND_CHAT, ERROR_MISSING_FIELD},
    {"{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
     "\"content\":[{\"type\":\"image\"}]}]}",
	"messages[0].content", COMPLETIONS_KIND_CHAT, ERROR_WRONG_TYPE},
};

static void
test_invalid_body_names_its_field(void **state)
{
	struct completions_request request;
	struct field_error error;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(invalid_bodies) / sizeof(invalid_bodies[0]);
	     i++) {
		assert_int_equal(parse(invalid_bodies[i].kind,
				     invalid_bodies[i].body, &request, &error),
		    invalid_bodies[i].code);
		assert_string_equal(error.field, invalid_bodies[i].field);
		assert_null(request.prompt);
	}
}

static void
test_headers_are_validated(void **state)
{
	static const struct {
		struct header headers[2];
		enum error_code code;
	} cases[] = {
	    {{{NULL, NULL}}, ERROR_NONE},
	    {{{"authorization", "bearer abc"}}, ERROR_NONE},
	    {{{"Authorization", "Basic abc"}}, ERROR_UNAUTHENTICATED},
	    {{{"Authorization", "Bearer abc d"}}, ERROR_BAD_VALUE},
	    {{{"Authorization", "Bearer "}}, ERROR_BAD_VALUE},
	    {{{"X-Request-Deadline-Ms", "0"}}, ERROR_BAD_VALUE},
	    {{{"X-Request-Deadline-Ms", "-5"}}, ERROR_BAD_VALUE},
	    {{{"X-Request-Deadline-Ms", "5x"}}, ERROR_BAD_VALUE},
	    {{{"X-Request-Deadline-Ms", "86400001"}}, ERROR_BAD_VALUE},
	    {{{"X-Request-Deadline-Ms", "99999999999999999999"}},
		ERROR_BAD_VALUE},
	    {{{"X-Request-Deadline-Ms", "86400000"}}, ERROR_NONE},
	    {{{"X-Priority", "urgent"}}, ERROR_BAD_VALUE},
	    {{{"X-Priority", "high"}}, ERROR_NONE},
	    {{{"Idempotency-Key", "a\tb"}}, ERROR_BAD_VALUE},
	    {{{"Idempotency-Key", "deposit-1"}}, ERROR_NONE},
	    {{{"X-Idempotent", "yes"}}, ERROR_BAD_VALUE},
	    {{{"traceparent", "garbage"}}, ERROR_NONE},
	};
	struct header_source source;
	struct caller_headers headers;
	struct field_error error;
	size_t i;

	(void)state;
	source.get = find_header;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		source.context = cases[i].headers;
		assert_int_equal(
		    caller_headers_parse(source, 700, &headers, &error),
		    cases[i].code);
		/* The error is sent to the caller, so it must not contain the
		 * token of a refused header. */
		assert_null(strstr(error.value, "abc"));
	}
	source.context = cases[1].headers;
	caller_headers_parse(source, 700, &headers, &error);
	assert_string_equal(headers.token, "abc");
	assert_int_equal(headers.deadline_ms, 700);
	assert_int_equal(headers.priority, REQUEST_PRIORITY_NORMAL);
	assert_false(headers.has_trace);
}

/* The fingerprint and the prefix hashes of a prompt don't depend on how its
 * text is split into parts. */
static void
test_request_facts_are_derived_from_prompt(void **state)
{
	static char text[5000];
	struct completions_request request;
	struct caller_headers headers;
	struct request_facts whole;
	struct request_facts split;
	struct request_facts other;
	struct text_part parts[3];

	(void)state;
	memset(text, 'a', sizeof(text));
	memset(&request, 0, sizeof(request));
	memset(&headers, 0, sizeof(headers));
	memset(&whole, 0, sizeof(whole));
	headers.deadline_ms = 500;
	request.answer_tokens_max = 3;
	request.prompt = shared_text_copy(text, sizeof(text));
	split = whole;
	other = whole;
	strcpy(other.client_account, "kilima");
	completions_fill_facts(&request, &headers, 9, 1000, &whole);
	completions_fill_facts(&request, &headers, 9, 1000, &other);
	assert_int_equal(whole.deadline_ms, 1500);
	assert_int_equal(whole.prompt_tokens, 1250);
	assert_int_equal(whole.prefix_count, 3);
	assert_int_equal(whole.prefix_tokens[2], 1024);
	assert_true(whole.is_idempotent);
	assert_true(whole.fingerprint != other.fingerprint);
	assert_int_equal(whole.prefix_hashes[2], other.prefix_hashes[2]);
	/* Another model or answer length makes it another request, also under
	 * the same idempotency key. */
	other = split;
	strcpy(request.model, "large");
	completions_fill_facts(&request, &headers, 9, 1000, &other);
	assert_true(whole.fingerprint != other.fingerprint);
	other = split;
	request.model[0] = '\0';
	request.answer_tokens_max = 4;
	completions_fill_facts(&request, &headers, 9, 1000, &other);
	assert_true(whole.fingerprint != other.fingerprint);
	request.answer_tokens_max = 3;
	shared_text_unref(request.prompt);
	parts[0].data = text;
	parts[0].size = 1;
	parts[1].data = text;
	parts[1].size = 0;
	parts[2].data = text + 1;
	parts[2].size = sizeof(text) - 1;
	request.prompt = shared_text_create(parts, 3, NULL, NULL);
	strcpy(headers.idempotency_key, "k");
	completions_fill_facts(&request, &headers, 9, 1000, &split);
	assert_false(split.is_idempotent);
	assert_int_equal(split.fingerprint, whole.fingerprint);
	assert_memory_equal(split.prefix_hashes, whole.prefix_hashes,
	    sizeof(whole.prefix_hashes));
	shared_text_unref(request.prompt);
}

static void
test_plain_call_is_idempotent_only_if_declared(void **state)
{
	struct caller_headers headers;
	struct request_facts facts;

	(void)state;
	memset(&headers, 0, sizeof(headers));
	memset(&facts, 0, sizeof(facts));
	service_call_fill_facts("booking", NULL, &headers, 9, 1000, &facts);
	assert_true(facts.is_service_call);
	assert_false(facts.is_idempotent);
	headers.is_idempotent = true;
	service_call_fill_facts("booking", NULL, &headers, 9, 1000, &facts);
	assert_true(facts.is_idempotent);
	strcpy(headers.idempotency_key, "k");
	service_call_fill_facts("booking", NULL, &headers, 9, 1000, &facts);
	assert_false(facts.is_idempotent);
}

static void
test_answers_follow_completions_format(void **state)
{
	struct completions_answer answer;
	GString *out;

	(void)state;
	memset(&answer, 0, sizeof(answer));
	answer.kind = COMPLETIONS_KIND_TEXT;
	answer.request_id = 0xab;
	answer.created_s = 5;
	answer.model = "m";
	answer.prompt_tokens = 2;
	answer.answer_tokens = 3;
	out = g_string_new(NULL);
	completions_write_answer(out, &answer, "a\"b", 3);
	assert_string_equal(out->str,
	    "{\"id\":\"cmpl-00000000000000ab\",\"object\":\"text_completion\","
	    "\"created\":5,\"model\":\"m\",\"choices\":[{\"index\":0,"
	    "\"text\":\"a\\\"b\",\"finish_reason\":\"stop\"}],\"usage\":{"
	    "\"prompt_tokens\":2,\"completion_tokens\":3,"
	    "\"total_tokens\":5}}");
	g_string_truncate(out, 0);
	answer.kind = COMPLETIONS_KIND_CHAT;
	answer.stopped_by_length = true;
	completions_write_piece(out, &answer, "a", 1, true);
	completions_write_end(out, &answer);
	assert_non_null(strstr(out->str, "data: {\"id\":\"chatcmpl-"));
	assert_non_null(strstr(
	    out->str, "\"delta\":{\"content\":\"a\",\"role\":\"assistant\"}"));
	assert_non_null(strstr(out->str, "\"finish_reason\":\"length\""));
	assert_non_null(strstr(out->str, "\n\ndata: [DONE]\n\n"));
	g_string_free(out, TRUE);
}

/* 408, 429 and 503 tell HTTP clients that the request did not run, and many
 * send it again by themselves. */
static void
test_status_of_work_that_may_have_run_promises_nothing(void **state)
{
	static const enum request_outcome outcomes[] = {
	    REQUEST_OUTCOME_FAILED, REQUEST_OUTCOME_UNKNOWN};
	struct caller_error error;
	uint32_t status;
	size_t i;
	int code;

	(void)state;
	memset(&error, 0, sizeof(error));
	for (code = ERROR_NONE + 1; code < ERROR_CODE_COUNT; code++) {
		for (i = 0; i < 2; i++) {
			error.code = code;
			error.outcome = outcomes[i];
			status = caller_error_status(&error);
			if (status == 408 || status == 429 || status == 503)
				fail_msg("%s, %s: status %u", error_name(code),
				    request_outcome_name(outcomes[i]), status);
		}
	}
	error.code = ERROR_NO_CAPACITY;
	error.outcome = REQUEST_OUTCOME_NOT_RUN;
	assert_int_equal(caller_error_status(&error), 429);
}

static void
test_errors_give_outcome_and_retry_time(void **state)
{
	struct caller_error error;
	GString *out;
	int code;

	(void)state;
	memset(&error, 0, sizeof(error));
	error.code = ERROR_OVER_LIMIT;
	error.outcome = REQUEST_OUTCOME_NOT_RUN;
	error.retry_after_ms = 1;
	out = g_string_new(NULL);
	caller_error_write(out, &error);
	assert_string_equal(out->str,
	    "{\"error\":{\"type\":\"over_limit\",\"message\":\"The account is "
	    "over its limit.\",\"outcome\":\"not_run\","
	    "\"retry_after_ms\":1}}");
	assert_int_equal(caller_error_retry_after_s(&error), 1);
	assert_int_equal(caller_error_status(&error), 429);
	for (code = ERROR_NONE + 1; code < ERROR_CODE_COUNT; code++) {
		error.code = code;
		assert_true(caller_error_status(&error) >= 400);
		assert_true(caller_error_status(&error) < 600);
	}
	g_string_truncate(out, 0);
	caller_error_write_event(out, &error);
	assert_true(g_str_has_prefix(out->str, "event: error\ndata: {"));
	g_string_free(out, TRUE);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_request_bodies_are_parsed),
	    cmocka_unit_test(test_invalid_body_names_its_field),
	    cmocka_unit_test(test_headers_are_validated),
	    cmocka_unit_test(test_request_facts_are_derived_from_prompt),
	    cmocka_unit_test(test_plain_call_is_idempotent_only_if_declared),
	    cmocka_unit_test(test_answers_follow_completions_format),
	    cmocka_unit_test(
		test_status_of_work_that_may_have_run_promises_nothing),
	    cmocka_unit_test(test_errors_give_outcome_and_retry_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
