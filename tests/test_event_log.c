/*
 * Tests of the event catalogue against its documentation.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>
#include <glib.h>

#include "base/event_log.h"

#define PATH_SIZE 512

/* The table in docs/EVENTS.md lists exactly the events of the code, in the same
 * order and with the same level and text. */
static void
test_catalogue_matches_docs(void **state)
{
	const struct event_entry *entry;
	GString *expected;
	char path[PATH_SIZE], *text, *table;
	size_t i;

	(void)state;
	assert_non_null(getenv("CHICORY_SOURCE_DIR"));
	snprintf(path, sizeof(path), "%s/docs/EVENTS.md",
	    getenv("CHICORY_SOURCE_DIR"));
	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	expected = g_string_new("");
	for (i = 0; (entry = event_log_entry(i)) != NULL; i++)
		g_string_append_printf(expected, "| E%d | %s | %s |\n",
		    (int)entry->number, event_level_name(entry->level),
		    entry->text);
	table = strstr(text, "| E");
	assert_non_null(table);
	assert_string_equal(table, expected->str);
	g_string_free(expected, TRUE);
	g_free(text);
}

static void
test_event_numbers_increase(void **state)
{
	const struct event_entry *entry;
	int last;
	size_t i;

	(void)state;
	last = 0;
	for (i = 0; (entry = event_log_entry(i)) != NULL; i++) {
		assert_true((int)entry->number > last);
		last = (int)entry->number;
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_catalogue_matches_docs),
	    cmocka_unit_test(test_event_numbers_increase),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
