/*
 * Tests of the span log and of the traceparent header.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <jansson.h>
#include <stdio.h>
#include <unistd.h>

#include "transport/span_log.h"

static void
test_traceparent_follows_the_standard(void **state)
{
	static const char trace[] = "4bf92f3577b34da6a3ce929d0e0e4736";
	static const struct {
		const char *header;
		enum error_code error;
	} cases[] = {
	    {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		ERROR_NONE},
	    {"cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-what",
		ERROR_NONE},
	    {"cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01.what",
		ERROR_UNSUPPORTED_VERSION},
	    {"ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		ERROR_MALFORMED},
	    {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
		ERROR_MALFORMED},
	    {"00-4BF92F3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		ERROR_MALFORMED},
	    {"00-00000000000000000000000000000000-00f067aa0ba902b7-01",
		ERROR_MALFORMED},
	    {"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
		ERROR_MALFORMED},
	    {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
		ERROR_MALFORMED},
	    {"", ERROR_MALFORMED},
	};
	struct trace_context context;
	struct trace_context child;
	char header[TRACEPARENT_SIZE];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(traceparent_parse(cases[i].header, &context),
		    cases[i].error);
	assert_int_equal(
	    traceparent_parse(cases[0].header, &context), ERROR_NONE);
	traceparent_format(&context, header);
	assert_string_equal(header, cases[0].header);
	trace_context_child(&context, &child);
	traceparent_format(&child, header);
	assert_memory_equal(header + 3, trace, strlen(trace));
	assert_memory_not_equal(child.span_id, context.span_id, SPAN_ID_SIZE);
}

static void
test_spans_are_written_and_linked_by_id(void **state)
{
	char path[] = "/tmp/test_span_log_XXXXXX";
	struct span_log log;
	struct span root;
	struct span hop;
	json_t *lines[2];
	FILE *file;

	(void)state;
	close(mkstemp(path));
	assert_int_equal(span_log_init(&log, path, 7, 16), ERROR_NONE);
	span_start(&root, "request", NULL);
	span_start(&hop, "upstream", &root.context);
	span_set_attribute(&hop, "upstream", "e\"1");
	span_set_attribute_number(&hop, "attempt", 2);
	span_end(&log, &hop, "failed");
	span_end(&log, &root, "done");
	span_log_finish(&log);
	assert_int_equal(log.written, 2);
	assert_int_equal(log.dropped, 0);
	file = fopen(path, "r");
	lines[0] = json_loadf(file, JSON_DISABLE_EOF_CHECK, NULL);
	lines[1] = json_loadf(file, JSON_DISABLE_EOF_CHECK, NULL);
	fclose(file);
	unlink(path);
	assert_string_equal(
	    json_string_value(json_object_get(lines[0], "parent_id")),
	    json_string_value(json_object_get(lines[1], "span_id")));
	assert_string_equal(
	    json_string_value(json_object_get(lines[0], "trace_id")),
	    json_string_value(json_object_get(lines[1], "trace_id")));
	assert_string_equal(
	    json_string_value(json_object_get(lines[1], "parent_id")), "");
	assert_string_equal(
	    json_string_value(json_object_get(lines[0], "outcome")), "failed");
	assert_string_equal(
	    json_string_value(json_object_get(
		json_object_get(lines[0], "attributes"), "upstream")),
	    "e\"1");
	assert_int_equal(
	    json_integer_value(json_object_get(lines[1], "host")), 7);
	json_decref(lines[0]);
	json_decref(lines[1]);
}

/* Every span is either written or counted as dropped; span_end() never waits
 * for the writer. */
static void
test_full_queue_drops_and_counts(void **state)
{
	char path[] = "/tmp/test_span_log_XXXXXX";
	struct span_log log;
	struct span span;
	int i;

	(void)state;
	close(mkstemp(path));
	assert_int_equal(span_log_init(&log, path, 1, 2), ERROR_NONE);
	for (i = 0; i < 500; i++) {
		span_start(&span, "hop", NULL);
		if (i == 250)
			span_set_attribute(&span, "bad", "\xff\xfe");
		span_end(&log, &span, "done");
	}
	span_log_finish(&log);
	unlink(path);
	assert_int_equal(log.written + log.dropped, 500);
	assert_true(log.written > 0);
	assert_true(log.dropped > 0);
}

static void
test_empty_path_writes_nothing_and_bad_path_is_refused(void **state)
{
	struct span_log log;
	struct span span;

	(void)state;
	assert_int_equal(span_log_init(&log, "", 1, 0), ERROR_NONE);
	span_start(&span, "hop", NULL);
	span_end(&log, &span, "done");
	span_log_finish(&log);
	assert_int_equal(
	    span_log_init(&log, "/no/such/folder/x", 1, 2), ERROR_IO);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_traceparent_follows_the_standard),
	    cmocka_unit_test(test_spans_are_written_and_linked_by_id),
	    cmocka_unit_test(test_full_queue_drops_and_counts),
	    cmocka_unit_test(
		test_empty_path_writes_nothing_and_bad_path_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
