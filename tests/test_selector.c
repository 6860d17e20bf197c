/*
 * Tests of selector parsing: the position of faults and the limits. Its
 * properties are tested in prop_selector.cpp.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "state/selector.h"

struct parse_case {
	const char *text;
	enum error_code error;
	enum selector_problem problem;
	uint32_t position; /* Offset of the fault in the text. */
};

static const struct parse_case parse_cases[] = {
    {"*", ERROR_NONE, SELECTOR_PROBLEM_NONE, 0},
    {"a=b,c!=d,e in (f|g),!h,i", ERROR_NONE, SELECTOR_PROBLEM_NONE, 0},
    {"", ERROR_MALFORMED, SELECTOR_PROBLEM_EMPTY, 0},
    {"  ", ERROR_MALFORMED, SELECTOR_PROBLEM_EMPTY, 2},
    {"*,a", ERROR_MALFORMED, SELECTOR_PROBLEM_COMMA, 1},
    {"a=", ERROR_MALFORMED, SELECTOR_PROBLEM_NAME, 2},
    {"=b", ERROR_MALFORMED, SELECTOR_PROBLEM_NAME, 0},
    {"a=b,", ERROR_MALFORMED, SELECTOR_PROBLEM_NAME, 4},
    {"a=b c=d", ERROR_MALFORMED, SELECTOR_PROBLEM_COMMA, 4},
    {"a in b", ERROR_MALFORMED, SELECTOR_PROBLEM_LIST, 5},
    {"a in (b", ERROR_MALFORMED, SELECTOR_PROBLEM_LIST, 7},
    {"a in ()", ERROR_MALFORMED, SELECTOR_PROBLEM_NAME, 6},
    {"a in (b,c)", ERROR_MALFORMED, SELECTOR_PROBLEM_LIST, 7},
    {"a inb", ERROR_MALFORMED, SELECTOR_PROBLEM_COMMA, 2},
    {"a=b;c", ERROR_MALFORMED, SELECTOR_PROBLEM_COMMA, 3},
};

static void
test_parse_error_gives_position(void **state)
{
	struct selector selector;
	struct selector_fault fault;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(parse_cases) / sizeof(parse_cases[0]); i++) {
		assert_int_equal(
		    selector_parse(&selector, parse_cases[i].text, &fault),
		    parse_cases[i].error);
		assert_int_equal(fault.problem, parse_cases[i].problem);
		assert_int_equal(fault.position, parse_cases[i].position);
	}
}

static void
test_limits_give_too_large_error(void **state)
{
	struct selector selector;
	struct selector_fault fault;
	char text[SELECTOR_SIZE_MAX + 8];
	size_t i;

	(void)state;
	memset(text, 'a', sizeof(text));
	text[sizeof(text) - 1] = '\0';
	assert_int_equal(
	    selector_parse(&selector, text, &fault), ERROR_TOO_LARGE);
	text[NAME_SIZE_MAX] = '\0';
	assert_int_equal(
	    selector_parse(&selector, text, &fault), ERROR_TOO_LARGE);
	for (i = 0; i <= SELECTOR_TERMS_MAX; i++)
		memcpy(text + 2 * i, "a,", 2);
	text[2 * i - 1] = '\0';
	assert_int_equal(
	    selector_parse(&selector, text, &fault), ERROR_TOO_LARGE);
	assert_int_equal(fault.problem, SELECTOR_PROBLEM_TOO_MANY);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_parse_error_gives_position),
	    cmocka_unit_test(test_limits_give_too_large_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
