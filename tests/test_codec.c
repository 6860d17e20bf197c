/*
 * Tests of the message codec: reading what was written, and malformed input.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/codec.h"

static void
test_fields_are_decoded_and_unknown_ones_skipped(void **state)
{
	struct message_writer writer;
	struct message_reader reader;
	struct message_array array;
	uint64_t number;
	char text[8];

	(void)state;
	message_writer_init(&writer);
	message_begin_map(&writer, 4);
	message_put_uint(&writer, 1, 77);
	message_put_text(&writer, 2, "regina");
	message_put_double(&writer, 99, 1.5);
	message_put_array(&writer, 3, 2);
	message_add_uint(&writer, 5);
	message_add_uint(&writer, 6);
	assert_int_equal(message_reader_init(&reader, message_data(&writer),
			     message_size(&writer)),
	    ERROR_NONE);
	assert_int_equal(message_get_uint(&reader, 1, &number), ERROR_NONE);
	assert_int_equal(number, 77);
	assert_int_equal(
	    message_get_text(&reader, 2, text, sizeof(text)), ERROR_NONE);
	assert_string_equal(text, "regina");
	assert_int_equal(
	    message_get_text(&reader, 2, text, 6), ERROR_TOO_LARGE);
	assert_int_equal(
	    message_get_uint(&reader, 4, &number), ERROR_MISSING_FIELD);
	assert_int_equal(
	    message_get_uint(&reader, 2, &number), ERROR_WRONG_TYPE);
	assert_int_equal(message_get_array(&reader, 3, &array), ERROR_NONE);
	assert_int_equal(
	    message_array_get_uint(&array, 1, &number), ERROR_NONE);
	assert_int_equal(number, 6);
	message_reader_finish(&reader);
	message_writer_finish(&writer);
}

/* A message with several faults is refused for the first one that its reader
 * comes to, and no later field takes part of the message over. */
static void
test_fields_in_turn_keep_the_first_error(void **state)
{
	struct message_writer writer;
	struct message_reader reader;
	struct message_fields fields = {.reader = &reader};
	char text[8] = "before";
	size_t size;

	(void)state;
	message_writer_init(&writer);
	message_begin_map(&writer, 4);
	message_put_uint(&writer, 1, 77);
	message_put_uint(&writer, 2, UINT64_C(1) << 32);
	message_put_text(&writer, 3, "regina");
	message_put_array(&writer, 4, 1);
	message_add_uint(&writer, 5);
	assert_int_equal(message_reader_init(&reader, message_data(&writer),
			     message_size(&writer)),
	    ERROR_NONE);
	assert_int_equal(message_fields_uint(&fields, 1), 77);
	assert_int_equal(fields.error, ERROR_NONE);
	assert_int_equal(message_fields_uint32(&fields, 2), 0);
	assert_int_equal(fields.error, ERROR_TOO_LARGE);
	assert_int_equal(message_fields_uint(&fields, 99), 0);
	assert_int_equal(message_fields_uint(&fields, 1), 0);
	assert_int_equal(message_fields_uint32(&fields, 1), 0);
	assert_int_equal(message_fields_int(&fields, 1), 0);
	message_fields_text(&fields, 3, text, sizeof(text));
	assert_string_equal(text, "before");
	assert_null(message_fields_bytes(&fields, 3, &size));
	assert_int_equal(size, 0);
	assert_int_equal(message_fields_array(&fields, 4).count, 0);
	assert_int_equal(fields.error, ERROR_TOO_LARGE);
	message_reader_finish(&reader);
	message_writer_finish(&writer);
}

/* Malformed messages are refused, among them headers that declare far more
 * elements or bytes than follow, which must not make the reader allocate
 * memory for them. */
static void
test_malformed_messages_are_refused(void **state)
{
	static const struct {
		const char *data;
		size_t size;
		enum error_code expected;
	} cases[] = {
	    {"", 0, ERROR_MALFORMED},
	    {"\xc1", 1, ERROR_MALFORMED},
	    {"\xdd\xff\xff\xff\xff", 5, ERROR_MALFORMED},
	    {"\xdf\xff\xff\xff\xff", 5, ERROR_MALFORMED},
	    {"\x81\x01\xc6\xff\xff\xff\xff", 7, ERROR_MALFORMED},
	    {"\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01", 11,
		ERROR_TOO_LARGE},
	    {"\x80\x80", 2, ERROR_MALFORMED},
	    {"\x01", 1, ERROR_MALFORMED},
	};
	struct message_reader reader;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(
		    message_reader_init(&reader, cases[i].data, cases[i].size),
		    cases[i].expected);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_fields_are_decoded_and_unknown_ones_skipped),
	    cmocka_unit_test(test_fields_in_turn_keep_the_first_error),
	    cmocka_unit_test(test_malformed_messages_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
