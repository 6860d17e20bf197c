/*
 * Tests of the command that explains from the log what happened to a request.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "cli/cli_explain.h"

#define LINE(time, event, fields)                                              \
	"  1.5 front-1 {\"time\":\"2026-01-01T00:00:" time                     \
	"Z\",\"event\":" event ",\"name\":\"n\",\"level\":\"info\","           \
	"\"host\":7,\"request\":" fields "}\n"

static const char log_text[] = "no json\n{broken\n" LINE(
    "02.000", "6010", "\"r1\",\"outcome\":\"refused\",\"why\":\"no_upstream\"")
    LINE("01.000", "6008", "\"r1\",\"upstream\":\"u9\"")
	LINE("01.500", "6005", "\"r2\",\"outcome\":\"answered\"")
	    LINE("01.600", "6008", "\"r3\",\"upstream\":\"r1\"")
		LINE("01.700", "6010",
		    "\"r4\",\"outcome\":\"refused\",\"why\":"
		    "\"shutting_down\"") LINE("01.800", "6010",
		    "\"r5\",\"outcome\":\"refused\",\"why\":"
		    "\"table_full\"");

/* Explains a request from a file that holds log_text, expects the given error
 * code and returns the output, to be freed with free(). */
static char *
explain(const char *request_id, enum error_code expected)
{
	char path[] = "/tmp/chicory-explain-XXXXXX", *text;
	const char *files[1] = {path};
	size_t size;
	FILE *out;
	int fd;

	fd = mkstemp(path);
	assert_true(fd >= 0);
	assert_int_equal(write(fd, log_text, sizeof(log_text) - 1),
	    (int)sizeof(log_text) - 1);
	close(fd);
	out = open_memstream(&text, &size);
	assert_int_equal(explain_request(request_id, files, 1, out), expected);
	fclose(out);
	unlink(path);
	return text;
}

static void
test_lines_are_ordered_by_time(void **state)
{
	char *text, *placed, *ended;

	(void)state;
	text = explain("r1", ERROR_NONE);
	placed = strstr(text, "E6008");
	ended = strstr(text, "E6010");
	assert_non_null(placed);
	assert_non_null(ended);
	assert_true(placed < ended);
	assert_null(strstr(text, "r3"));
	assert_non_null(strstr(text, "=> No upstream"));
	free(text);
}

static void
test_unknown_end_is_reported(void **state)
{
	char *text;

	(void)state;
	text = explain("r3", ERROR_NONE);
	assert_non_null(strstr(text, "=> No line tells its end"));
	free(text);
}

/* A refusal is explained by its reason, or in general words if the reason has
 * no explanation of its own. */
static void
test_refusals_are_explained(void **state)
{
	char *text;

	(void)state;
	text = explain("r4", ERROR_NONE);
	assert_non_null(strstr(text, "=> The host was stopping"));
	free(text);
	text = explain("r5", ERROR_NONE);
	assert_non_null(strstr(text, "=> It did not run"));
	free(text);
}

static void
test_unknown_request_and_unreadable_file_are_errors(void **state)
{
	const char *files[1] = {"/nowhere/at/all"};

	(void)state;
	free(explain("r9", ERROR_NOT_FOUND));
	assert_int_equal(explain_request("r1", files, 1, stdout), ERROR_IO);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_lines_are_ordered_by_time),
	    cmocka_unit_test(test_unknown_end_is_reported),
	    cmocka_unit_test(test_refusals_are_explained),
	    cmocka_unit_test(
		test_unknown_request_and_unreadable_file_are_errors),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
