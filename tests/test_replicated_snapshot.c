/*
 * Tests of snapshots of the replicated state: whole, cut, and of other builds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "state_commands.h"

/* Kind of the last part of a snapshot. */
#define PART_END 8

/* Appends a part of a snapshot with @p count numbers, each of them @p number. */
static void
append_numbers(
    GByteArray *bytes, uint64_t part, uint64_t number, uint32_t count)
{
	enum {
		VERSION = 1,
		FIELD_NUMBERS = 4
	};
	struct message_writer writer;
	uint32_t length, i;

	message_writer_init(&writer);
	message_begin_map(&writer, 2 + count);
	message_put_uint(&writer, 0, VERSION);
	message_put_uint(&writer, 1, part);
	for (i = 0; i < count; i++)
		message_put_uint(&writer, FIELD_NUMBERS + i, number);
	length = GUINT32_TO_LE((uint32_t)message_size(&writer));
	g_byte_array_append(bytes, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(
	    bytes, message_data(&writer), (guint)message_size(&writer));
	message_writer_finish(&writer);
}

/* Appends a part of a snapshot with @p count numbers. */
static void
append_part(GByteArray *bytes, uint64_t part, uint32_t count)
{
	append_numbers(bytes, part, 1, count);
}

/* Appends the end of a snapshot of @p parts parts. */
static void
append_end(GByteArray *bytes, uint64_t parts)
{
	append_numbers(bytes, PART_END, parts, 1);
}

/* Loading a snapshot restores the whole state. Loading a truncated one fails
 * and changes nothing. */
static void
test_snapshot_restores_whole_state(void **state)
{
	struct replicated_state voter, other;
	GByteArray *saved, *again;
	guint size;

	(void)state;
	state_init_with_entries(&voter);
	replicated_state_init(&other, NULL);
	saved = replicated_state_save(&voter, false);
	for (size = 0; size < saved->len; size++)
		assert_int_not_equal(
		    replicated_state_load(&other, saved->data, size),
		    ERROR_NONE);
	assert_int_equal(other.revision, 0);
	assert_int_equal(
	    replicated_state_load(&other, saved->data, saved->len), ERROR_NONE);
	again = replicated_state_save(&other, false);
	assert_int_equal(again->len, saved->len);
	assert_memory_equal(again->data, saved->data, saved->len);
	/* The snapshot includes operation ids, so an operation sent again gets
	 * the result of the first time. */
	assert_int_equal(
	    state_put(&other, "4", "setting/c", "2", REVISION_ANY).index, 4);
	assert_int_equal(other.revision, 4);
	/* A learner that misses commands no longer kept needs a snapshot. */
	state_put(&other, "6", "setting/d", "1", REVISION_ANY);
	assert_int_equal(replicated_state_for_each_public(
			     &other, 4, state_apply_public_entry, &voter),
	    ERROR_NOT_FOUND);
	assert_int_equal(replicated_state_for_each_public(
			     &other, 5, state_apply_public_entry, &voter),
	    ERROR_NONE);
	assert_int_equal(voter.content_hash, other.content_hash);
	g_byte_array_unref(saved);
	g_byte_array_unref(again);
	replicated_state_finish(&voter);
	replicated_state_finish(&other);
}

/* A part of a snapshot that lacks numbers is refused, not filled up with
 * zeros. */
static void
test_snapshot_parts_lack_no_numbers(void **state)
{
	enum {
		PART_HEAD = 1,
		HEAD_NUMBERS = 6
	};
	struct replicated_state other;
	GByteArray *bytes;
	uint32_t count;

	(void)state;
	replicated_state_init(&other, NULL);
	for (count = 0; count <= HEAD_NUMBERS; count++) {
		bytes = g_byte_array_new();
		append_part(bytes, PART_HEAD, count);
		append_end(bytes, 1);
		assert_int_equal(
		    replicated_state_load(&other, bytes->data, bytes->len),
		    count == HEAD_NUMBERS ? ERROR_NONE : ERROR_MALFORMED);
		g_byte_array_unref(bytes);
	}
	replicated_state_finish(&other);
}

/* A snapshot with a kind of part, or with numbers, that this build does not
 * know is refused as such; the state would lose them when saved again. */
static void
test_snapshot_of_newer_build_is_refused(void **state)
{
	static const struct {
		uint64_t part;
		uint32_t numbers; /* As many as this build knows, or more. */
		enum error_code error;
	} cases[] = {
	    {2, 2, ERROR_NOT_SUPPORTED},
	    {3, 2, ERROR_NOT_SUPPORTED},
	    {4, 8, ERROR_NOT_SUPPORTED},
	    {5, 5, ERROR_NONE}, /* Builds before the shares wrote these. */
	    {5, 9, ERROR_NONE},
	    {5, 10, ERROR_NOT_SUPPORTED},
	    {6, 6, ERROR_NONE},
	    {6, 7, ERROR_NOT_SUPPORTED},
	    {7, 2, ERROR_NONE},
	    {7, 3, ERROR_NOT_SUPPORTED},
	    {9, 2, ERROR_NOT_SUPPORTED},
	    {10, 10 + PART_CRASHES_MAX + PART_COMPANIONS_MAX, ERROR_NONE},
	    {10, 11 + PART_CRASHES_MAX + PART_COMPANIONS_MAX,
		ERROR_NOT_SUPPORTED},
	    {11, 1, ERROR_NOT_SUPPORTED},
	    {0, 1, ERROR_NOT_SUPPORTED},
	    {((uint64_t)1 << 32) + 7, 2, ERROR_NOT_SUPPORTED},
	};
	struct replicated_state other;
	GByteArray *bytes;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		replicated_state_init(&other, NULL);
		state_put(&other, "a", "setting/a", "1", REVISION_ANY);
		state_put(&other, "b", "setting/b", "1", REVISION_ANY);
		bytes = g_byte_array_new();
		append_part(bytes, 1, 6);
		append_part(bytes, cases[i].part, cases[i].numbers);
		append_end(bytes, 2);
		assert_int_equal(
		    replicated_state_load(&other, bytes->data, bytes->len),
		    cases[i].error);
		assert_int_equal(
		    other.revision, cases[i].error == ERROR_NONE ? 1 : 2);
		g_byte_array_unref(bytes);
		replicated_state_finish(&other);
	}
}

/* A host that follows the voters must go on with their later changes, so it skips
 * what it does not know of their snapshot. */
static void
test_learner_skips_what_it_does_not_know_of_a_snapshot(void **state)
{
	static const uint64_t parts[] = {7, 11};
	struct replicated_state learner;
	GByteArray *bytes;
	uint32_t skipped;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		replicated_state_init(&learner, NULL);
		bytes = g_byte_array_new();
		append_part(bytes, 1, 6);
		append_part(bytes, parts[i], 3);
		append_end(bytes, 2);
		assert_int_equal(replicated_state_load_known(&learner,
				     bytes->data, bytes->len, &skipped),
		    ERROR_NONE);
		assert_int_equal(skipped, 1);
		assert_int_equal(learner.revision, 1);
		assert_int_equal(
		    learner.live_hosts->len, parts[i] == 7 ? 1 : 0);
		g_byte_array_unref(bytes);
		replicated_state_finish(&learner);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_snapshot_restores_whole_state),
	    cmocka_unit_test(test_snapshot_parts_lack_no_numbers),
	    cmocka_unit_test(test_snapshot_of_newer_build_is_refused),
	    cmocka_unit_test(
		test_learner_skips_what_it_does_not_know_of_a_snapshot),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
