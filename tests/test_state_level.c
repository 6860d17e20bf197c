/*
 * The level of the replicated state, which only rises: a voter whose build does
 * not know the level in force neither votes nor changes its data folder.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "state/state_level.h"
#include "voter_group.h"

#define LEVEL_NEWER (STATE_LEVEL_LATEST + 1)
#define ENTRY_MS    INT64_C(1764900000000)

static const struct fake_link good_link = {
    .delay_min_ms = 1, .delay_max_ms = 3};

/* Writes a command that stores a document. */
static void
write_document(
    struct message_writer *writer, const char *name, uint64_t version)
{
	struct command command = {.type = COMMAND_DOCUMENT};

	snprintf(command.body.document.name, NAME_SIZE_MAX, "%s", name);
	command.body.document.version = version;
	command.body.document.data = "x";
	command.body.document.size = 1;
	message_writer_init(writer);
	assert_int_equal(command_encode(&command, writer), ERROR_NONE);
}

static enum error_code
read_type_of_document(const char *name, uint64_t version)
{
	struct message_writer writer;
	enum error_code error;
	uint64_t type;

	write_document(&writer, name, version);
	error = command_read_type(
	    message_data(&writer), message_size(&writer), &type);
	assert_int_equal(type, COMMAND_DOCUMENT);
	message_writer_finish(&writer);
	return error;
}

static void
put_level(struct replicated_state *state, uint64_t version)
{
	struct replicated_entry entry = {
	    .index = state->applied_index + 1, .time_ms = ENTRY_MS};
	struct command_result result;
	struct message_writer writer;

	write_document(&writer, STATE_LEVEL_DOCUMENT, version);
	entry.data = message_data(&writer);
	entry.size = message_size(&writer);
	assert_int_equal(
	    replicated_state_apply(state, &entry, &result), ERROR_NONE);
	assert_int_equal(result.error, ERROR_NONE);
	message_writer_finish(&writer);
}

static void
test_commands_of_each_level(void **state)
{
	uint64_t type;

	(void)state;
	for (type = COMMAND_CONFIG; type <= COMMAND_BARRIER; type++)
		assert_int_equal(
		    state_level_of_command(type), STATE_LEVEL_BASE);
	assert_int_equal(
	    state_level_of_command(COMMAND_PARTS_CRASHED), STATE_LEVEL_PARTS);
	assert_int_equal(
	    state_level_of_command(COMMAND_PARTS_CLEARED), STATE_LEVEL_PARTS);
	assert_int_equal(
	    state_level_of_command(COMMAND_TYPE_LAST), STATE_LEVEL_LATEST);
}

static void
test_a_level_that_is_not_known_is_an_unknown_kind(void **state)
{
	(void)state;
	assert_int_equal(
	    read_type_of_document(STATE_LEVEL_DOCUMENT, STATE_LEVEL_LATEST),
	    ERROR_NONE);
	assert_int_equal(
	    read_type_of_document(STATE_LEVEL_DOCUMENT, LEVEL_NEWER),
	    ERROR_NOT_SUPPORTED);
	assert_int_equal(read_type_of_document("routes", 99), ERROR_NONE);
}

static void
test_the_level_in_force_only_rises(void **state)
{
	struct replicated_state replicated;

	(void)state;
	replicated_state_init(&replicated, NULL);
	assert_int_equal(replicated_state_level(&replicated), STATE_LEVEL_BASE);
	put_level(&replicated, STATE_LEVEL_PARTS);
	assert_int_equal(
	    replicated_state_level(&replicated), STATE_LEVEL_PARTS);
	put_level(&replicated, STATE_LEVEL_BASE);
	assert_int_equal(
	    replicated_state_level(&replicated), STATE_LEVEL_PARTS);
	replicated_state_finish(&replicated);
}

/* A voter refuses such a snapshot as a whole; a host that only follows takes
 * it, since its callers would else get no routes, takeouts and revoked keys. */
static void
test_a_snapshot_of_a_level_that_is_not_known(void **state)
{
	struct replicated_state newer, host;
	GByteArray *saved;
	uint32_t skipped;

	(void)state;
	replicated_state_init(&newer, NULL);
	replicated_state_init(&host, NULL);
	put_level(&newer, STATE_LEVEL_LATEST);
	saved = replicated_state_save(&newer, false);
	assert_int_equal(
	    replicated_state_load(&host, saved->data, saved->len), ERROR_NONE);
	g_byte_array_unref(saved);
	put_level(&newer, LEVEL_NEWER);
	saved = replicated_state_save(&newer, false);
	assert_int_equal(replicated_state_load(&host, saved->data, saved->len),
	    ERROR_NOT_SUPPORTED);
	assert_int_equal(replicated_state_level(&host), STATE_LEVEL_LATEST);
	assert_int_equal(replicated_state_load_known(
			     &host, saved->data, saved->len, &skipped),
	    ERROR_NONE);
	assert_int_equal(replicated_state_level(&host), LEVEL_NEWER);
	g_byte_array_unref(saved);
	replicated_state_finish(&newer);
	replicated_state_finish(&host);
}

static void
on_done(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size)
{
	(void)index;
	(void)result;
	(void)result_size;
	*(enum error_code *)context = error;
}

static enum error_code
propose_level(struct group_host *host, uint64_t version, enum error_code *done)
{
	struct message_writer writer;
	enum error_code error;

	*done = ERROR_INTERNAL;
	write_document(&writer, STATE_LEVEL_DOCUMENT, version);
	error = consensus_propose(&host->consensus, message_data(&writer),
	    message_size(&writer), (struct consensus_callback){on_done, done});
	message_writer_finish(&writer);
	return error;
}

/* Hosts 1 to 3 vote on a newer build, which raises the level; then host 1 is
 * taken back to this build and forward again. */
static void
test_a_voter_does_not_start_on_a_level_that_it_does_not_know(void **state)
{
	struct voter_group group;
	struct group_host *host;
	enum error_code done;
	uint64_t applied;
	uint32_t id;

	(void)state;
	voter_group_init(&group, 21, &good_link);
	assert_true(voter_group_wait_leader(&group, 6000));
	host = voter_group_leader(&group);
	assert_int_equal(
	    propose_level(host, LEVEL_NEWER, &done), ERROR_NOT_SUPPORTED);
	assert_int_equal(
	    propose_level(host, STATE_LEVEL_LATEST, &done), ERROR_NONE);
	fake_net_run(&group.net, 500);
	assert_int_equal(done, ERROR_NONE);
	for (id = 1; id < GROUP_HOSTS; id++)
		group.hosts[id - 1].is_newer = true;
	assert_int_equal(propose_level(host, LEVEL_NEWER, &done), ERROR_NONE);
	fake_net_run(&group.net, 500);
	assert_int_equal(done, ERROR_NONE);
	host = &group.hosts[0];
	assert_int_equal(replicated_state_level(&host->state), LEVEL_NEWER);
	applied = host->state.applied_index;
	voter_group_stop(&group, 1);
	host->is_newer = false;
	assert_int_equal(voter_group_try_start(&group, 1), ERROR_NOT_SUPPORTED);
	assert_int_equal(voter_group_try_start(&group, 1), ERROR_NOT_SUPPORTED);
	host->is_newer = true;
	assert_false(voter_group_start(&group, 1));
	fake_net_run(&group.net, 10000);
	assert_true(voter_group_agrees(&group));
	assert_true(host->state.applied_index >= applied);
	assert_int_equal(replicated_state_level(&host->state), LEVEL_NEWER);
	voter_group_finish(&group);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_commands_of_each_level),
	    cmocka_unit_test(test_a_level_that_is_not_known_is_an_unknown_kind),
	    cmocka_unit_test(test_the_level_in_force_only_rises),
	    cmocka_unit_test(test_a_snapshot_of_a_level_that_is_not_known),
	    cmocka_unit_test(
		test_a_voter_does_not_start_on_a_level_that_it_does_not_know),
	};

	voter_group_discard_logs();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
