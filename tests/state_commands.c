#include "state_commands.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

struct command_result
state_apply(struct replicated_state *state, const struct command *command,
    int64_t time_ms)
{
	struct command_result result;
	struct message_writer writer;

	message_writer_init(&writer);
	assert_int_equal(command_encode(command, &writer), ERROR_NONE);
	replicated_state_apply(state,
	    &(struct replicated_entry){state->applied_index + 1, time_ms,
		message_data(&writer), message_size(&writer)},
	    &result);
	message_writer_finish(&writer);
	return result;
}

struct command_result
state_put(struct replicated_state *state, const char *operation_id,
    const char *key, const char *value, uint64_t expected)
{
	struct config_change change = {.is_delete = value == NULL};
	struct command command = {.type = COMMAND_CONFIG};

	snprintf(change.key, sizeof(change.key), "%s", key);
	if (value != NULL)
		snprintf(change.value, sizeof(change.value), "%s", value);
	snprintf(command.operation_id, sizeof(command.operation_id), "%s",
	    operation_id);
	command.body.config.expected_revision = expected;
	command.body.config.change_count = 1;
	command.body.config.changes = &change;
	return state_apply(state, &command, START_MS);
}

void
state_init_with_entries(struct replicated_state *voter)
{
	struct command quarantine = {.type = COMMAND_QUARANTINE};

	replicated_state_init(voter, NULL);
	state_put(voter, "1", "takeout/a", "zone=x", REVISION_ANY);
	state_put(voter, "2", "takeout/b", "", REVISION_ANY);
	state_put(voter, "3", "setting/c", "1", 0);
	state_put(voter, "4", "setting/c", "2", REVISION_ANY);
	state_put(voter, "5", "takeout/b", NULL, REVISION_ANY);
	quarantine.body.quarantine.fingerprint = 3;
	quarantine.body.quarantine.until_ms = START_MS + HOUR_MS;
	state_apply(voter, &quarantine, START_MS);
	assert_int_equal(voter->revision, 4);
	assert_int_equal(voter->sequence, 5);
}

void
state_apply_public_entry(void *context, const struct public_entry *entry)
{
	struct replicated_entry fed = {
	    .index = entry->index, .time_ms = entry->time_ms};

	fed.data = g_bytes_get_data(entry->command, &fed.size);
	assert_int_equal(
	    replicated_state_apply_public(context, entry->sequence, &fed),
	    ERROR_NONE);
}
