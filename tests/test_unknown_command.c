/*
 * Two builds side by side, of which the later one knows one more kind of
 * command: no host may go on with another state than the others, unnoticed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "protocol/public_entry_message.h"
#include "state/replicated_state.h"

#define START_MS	1764900000000
#define READ_SIZE_MAX	(1u << 20) /* Bytes of entries read at a time. */
#define FIELD_TYPE	1	   /* Key of a command's type. */
#define TYPE_UNKNOWN	99	   /* A kind that no build knows. */
#define FIELD_VERSION	0	   /* Key of a command's version. */
#define FIELD_OPERATION 2	   /* Key of a command's operation id. */

/* Applies the bytes of a command as the next entry of the log. */
static enum error_code
apply(struct replicated_state *state, const struct message_writer *command)
{
	const struct replicated_entry entry = {
	    .index = state->applied_index + 1,
	    .time_ms = START_MS,
	    .data = message_data(command),
	    .size = message_size(command)};
	struct command_result result;

	replicated_state_apply(state, &entry, &result);
	return result.error;
}

/* A voter: it stops at a command that it can't apply, see test_mixed_voters.c. */
struct voter_state {
	struct replicated_state state;
	bool is_stopped;
};

/* Applies the bytes of a command as the next entry of the log, unless the voter
 * has stopped. */
static void
apply_at(struct voter_state *voter, const struct message_writer *command)
{
	if (!voter->is_stopped &&
	    apply(&voter->state, command) == ERROR_NOT_SUPPORTED)
		voter->is_stopped = true;
}

/* Writes a command that sets a configuration entry. */
static void
write_setting(struct message_writer *writer, const char *key)
{
	struct config_change change = {.value = "1"};
	struct command command = {.type = COMMAND_CONFIG};

	snprintf(change.key, sizeof(change.key), "%s", key);
	command.body.config.expected_revision = REVISION_ANY;
	command.body.config.change_count = 1;
	command.body.config.changes = &change;
	message_writer_init(writer);
	assert_int_equal(command_encode(&command, writer), ERROR_NONE);
}

/* Writes a command of a kind that this build doesn't know. */
static void
write_unknown(struct message_writer *writer)
{
	message_writer_init(writer);
	message_begin_map(writer, 3);
	message_put_uint(writer, FIELD_VERSION, 1);
	message_put_uint(writer, FIELD_TYPE, TYPE_UNKNOWN);
	message_put_bytes(writer, FIELD_OPERATION, "", 0);
}

/* Feeds a learner with all that a voter has after the learner's position. */
static void
feed(struct replicated_state *learner, const struct replicated_state *voter)
{
	GByteArray *bytes;
	uint64_t last;

	if (voter->sequence <= learner->sequence)
		return;
	bytes = g_byte_array_new();
	assert_int_equal(public_entries_read(voter, learner->sequence + 1,
			     voter->sequence, READ_SIZE_MAX, bytes, &last),
	    ERROR_NONE);
	assert_int_equal(
	    public_entries_apply(learner, bytes->data, bytes->len), ERROR_NONE);
	g_byte_array_unref(bytes);
}

static void
test_a_voter_does_not_pass_a_command_that_it_can_not_decode(void **state)
{
	struct message_writer unknown, setting;
	struct replicated_state voter;

	(void)state;
	replicated_state_init(&voter, NULL);
	write_setting(&setting, "takeout/arusha");
	write_unknown(&unknown);
	assert_int_equal(apply(&voter, &setting), ERROR_NONE);
	assert_int_equal(apply(&voter, &unknown), ERROR_NOT_SUPPORTED);
	assert_int_equal(voter.applied_index, 1);
	message_writer_finish(&setting);
	message_writer_finish(&unknown);
	replicated_state_finish(&voter);
}

/* The later voter knows the second command, the earlier one doesn't. A learner
 * that has all of the later voter's entries goes over to the earlier one. */
static void
test_a_learner_misses_no_order_at_a_voter_of_an_earlier_build(void **state)
{
	struct voter_state earlier = {0}, later = {0};
	struct replicated_state learner;
	struct message_writer first, second, unknown, takeout;
	struct config_entry entry;

	(void)state;
	replicated_state_init(&earlier.state, NULL);
	replicated_state_init(&later.state, NULL);
	replicated_state_init(&learner, NULL);
	write_setting(&first, "setting/first");
	write_setting(&second, "setting/second");
	write_unknown(&unknown);
	write_setting(&takeout, "takeout/arusha");
	apply_at(&later, &first);
	apply_at(&earlier, &first);
	apply_at(&later, &second);
	apply_at(&earlier, &unknown);
	feed(&learner, &later.state);
	apply_at(&later, &takeout);
	apply_at(&earlier, &takeout);
	feed(&learner, &earlier.state);
	if (replicated_state_get(&earlier.state, "takeout/arusha", &entry) ==
	    ERROR_NONE)
		assert_int_equal(
		    replicated_state_get(&learner, "takeout/arusha", &entry),
		    ERROR_NONE);
	message_writer_finish(&first);
	message_writer_finish(&second);
	message_writer_finish(&unknown);
	message_writer_finish(&takeout);
	replicated_state_finish(&earlier.state);
	replicated_state_finish(&later.state);
	replicated_state_finish(&learner);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_a_voter_does_not_pass_a_command_that_it_can_not_decode),
	    cmocka_unit_test(
		test_a_learner_misses_no_order_at_a_voter_of_an_earlier_build),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
