/*
 * Tests that operators see which build a host is: on the command line, in what
 * it prints of hosts, and in the metrics.
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
#include <glib.h>

#include "base/build_name.h"
#include "cli/cli.h"
#include "cli/cli_print.h"
#include "request/request_metrics.h"
#include "state/state_level.h"

#define OUTPUT_SIZE 4096

static char output[OUTPUT_SIZE];

/* Collects what @p run prints to standard output in output. */
static void
capture(void (*run)(const void *argument), const void *argument)
{
	FILE *file = tmpfile();
	size_t size;
	int saved;

	assert_non_null(file);
	fflush(stdout);
	saved = dup(STDOUT_FILENO);
	dup2(fileno(file), STDOUT_FILENO);
	run(argument);
	fflush(stdout);
	dup2(saved, STDOUT_FILENO);
	close(saved);
	rewind(file);
	size = fread(output, 1, sizeof(output) - 1, file);
	output[size] = '\0';
	fclose(file);
}

static void
run_verb(const void *argument)
{
	char program[] = "chicorytack", verb[32];
	char *arguments[] = {program, verb, NULL};

	snprintf(verb, sizeof(verb), "%s", (const char *)argument);
	assert_int_equal(cli_run(2, arguments), CLI_EXIT_OK);
}

static void
print_hosts(const void *reply)
{
	cli_print_hosts(reply);
}

static void
print_status(const void *reply)
{
	cli_print_status(reply);
}

/* Returns the line of output that begins with @p start, to be freed. */
static char *
find_line(const char *start)
{
	const char *line = output;

	while (line != NULL && strncmp(line, start, strlen(start)) != 0) {
		line = strchr(line, '\n');
		line = line == NULL ? NULL : line + 1;
	}
	if (line == NULL) {
		fail_msg("no line \"%s\" in:\n%s", start, output);
		return NULL;
	}
	return g_strndup(line, strcspn(line, "\n"));
}

static void
test_version_names_the_build(void **state)
{
	char *expected;

	(void)state;
	expected = g_strdup_printf("chicorytack %s\n", build_name());
	capture(run_verb, "--version");
	assert_string_equal(output, expected);
	capture(run_verb, "version");
	assert_string_equal(output, expected);
	assert_int_equal(
	    strncmp(build_name(), CHICORY_VERSION, strlen(CHICORY_VERSION)), 0);
	g_free(expected);
}

static void
test_hosts_are_listed_with_their_builds(void **state)
{
	json_t *reply;
	char *line;

	(void)state;
	reply = json_pack("{s:[{s:i,s:s,s:i},{s:i},{s:i,s:s,s:i}]}", "hosts",
	    "id", 11, "build", "0.1.0+aaa", "level", 2, "id", 12, "id", 13,
	    "build", "", "level", 0);
	capture(print_hosts, reply);
	line = find_line("11 ");
	assert_true(g_str_has_suffix(line, " 2     0.1.0+aaa"));
	g_free(line);
	line = find_line("12 ");
	assert_true(g_str_has_suffix(line, " -     unknown"));
	g_free(line);
	line = find_line("13 ");
	assert_true(g_str_has_suffix(line, " -     unknown"));
	g_free(line);
	json_decref(reply);
}

static void
test_status_names_the_build(void **state)
{
	json_t *reply;
	char *line;

	(void)state;
	reply = json_pack("{s:s,s:i}", "build", "0.1.0+aaa", "level", 2);
	capture(print_status, reply);
	line = find_line("build ");
	assert_string_equal(line, "build       0.1.0+aaa, level 2");
	g_free(line);
	json_object_clear(reply);
	capture(print_status, reply);
	line = find_line("build ");
	assert_string_equal(line, "build       unknown, level -");
	g_free(line);
	json_decref(reply);
}

static void
test_metrics_name_the_build(void **state)
{
	struct request_metrics metrics;
	char *expected;
	GString *out;

	(void)state;
	assert_int_equal(request_metrics_init(&metrics), ERROR_NONE);
	out = g_string_new(NULL);
	metrics_write(&metrics.registry, out);
	expected = g_strdup_printf(
	    "\nchicorytack_build_info{build=\"%s\",level=\"%d\"} 1\n",
	    build_name(), (int)STATE_LEVEL_LATEST);
	assert_non_null(strstr(out->str, expected));
	g_free(expected);
	g_string_free(out, TRUE);
	request_metrics_finish(&metrics);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_version_names_the_build),
	    cmocka_unit_test(test_hosts_are_listed_with_their_builds),
	    cmocka_unit_test(test_status_names_the_build),
	    cmocka_unit_test(test_metrics_name_the_build),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
