/*
 * Tests that an answer on a connection is attributed to the right request.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "protocol/request_history.h"

#define ID_SIZE 16

static void
test_first_answer_without_id_is_that_of_the_only_request(void **state)
{
	struct request_history history = {0};

	(void)state;
	request_history_add(&history, "a");
	assert_int_equal(
	    request_history_attribute(&history, NULL), ANSWER_OF_REQUEST);
	assert_int_equal(
	    request_history_attribute(&history, "a"), ANSWER_OF_REQUEST);
	assert_int_equal(
	    request_history_attribute(&history, "b"), ANSWER_OF_FOREIGN);
	request_history_finish(&history);
}

static void
test_answer_to_an_earlier_request_is_told_apart(void **state)
{
	struct request_history history = {0};

	(void)state;
	request_history_add(&history, "a");
	request_history_add(&history, "b");
	request_history_add(&history, "c");
	assert_int_equal(
	    request_history_attribute(&history, "a"), ANSWER_OF_EARLIER);
	assert_int_equal(
	    request_history_attribute(&history, "b"), ANSWER_OF_EARLIER);
	assert_int_equal(
	    request_history_attribute(&history, "c"), ANSWER_OF_REQUEST);
	assert_int_equal(
	    request_history_attribute(&history, NULL), ANSWER_OF_UNKNOWN);
	request_history_finish(&history);
}

static void
test_an_id_is_accepted_once(void **state)
{
	struct request_history history = {0};

	(void)state;
	assert_true(request_history_accepts(&history, "a"));
	assert_true(request_history_accepts(&history, NULL));
	request_history_add(&history, "a");
	assert_false(request_history_accepts(&history, "a"));
	assert_false(request_history_accepts(&history, NULL));
	request_history_add(&history, "b");
	assert_false(request_history_accepts(&history, "a"));
	assert_true(request_history_accepts(&history, "c"));
	request_history_finish(&history);
}

/* Otherwise an answer to the first request could be taken for a later one's. */
static void
test_no_request_follows_one_that_is_forgotten(void **state)
{
	struct request_history history = {0};
	char id[ID_SIZE];
	uint32_t i;

	(void)state;
	for (i = 0; i < REQUEST_HISTORY_MAX; i++) {
		snprintf(id, sizeof(id), "%u", i);
		assert_true(request_history_accepts(&history, id));
		request_history_add(&history, id);
	}
	assert_false(request_history_accepts(&history, "next"));
	assert_int_equal(
	    request_history_attribute(&history, "0"), ANSWER_OF_EARLIER);
	request_history_finish(&history);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_first_answer_without_id_is_that_of_the_only_request),
	    cmocka_unit_test(test_answer_to_an_earlier_request_is_told_apart),
	    cmocka_unit_test(test_an_id_is_accepted_once),
	    cmocka_unit_test(test_no_request_follows_one_that_is_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
