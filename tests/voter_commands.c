#include "voter_commands.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

static void on_command_result(
    void *context, const struct command_result *result);

struct command_result
group_put(struct voter_group *group, uint32_t id, const char *operation_id,
    uint64_t expected, int64_t timeout_ms)
{
	struct config_change change = {.value = "1"};
	struct command command = {.type = COMMAND_CONFIG};

	snprintf(change.key, sizeof(change.key), "setting/%s", operation_id);
	snprintf(command.operation_id, sizeof(command.operation_id), "%s",
	    operation_id);
	command.body.config.expected_revision = expected;
	command.body.config.change_count = 1;
	command.body.config.changes = &change;
	return group_submit(group, id, &command, timeout_ms);
}

struct command_result
group_submit(struct voter_group *group, uint32_t id,
    const struct command *command, int64_t timeout_ms)
{
	struct group_answer answer = {0};

	assert_int_equal(
	    command_client_submit(&group->hosts[id - 1].client, command,
		timeout_ms,
		(struct command_callback){on_command_result, &answer}),
	    ERROR_NONE);
	while (answer.count == 0)
		fake_net_run(&group->net, 5);
	assert_int_equal(answer.count, 1);
	return answer.result;
}

void
group_put_many(
    struct voter_group *group, const char *prefix, unsigned int count)
{
	char operation_id[OPERATION_ID_SIZE_MAX];
	unsigned int i;

	for (i = 0; i < count; i++) {
		snprintf(operation_id, sizeof(operation_id), "%s%u", prefix, i);
		assert_int_equal(group_put(group, GROUP_LEARNER, operation_id,
				     REVISION_ANY, ANSWER_MS)
				     .error,
		    ERROR_NONE);
	}
}

void
group_init_with_leader(struct voter_group *group, uint64_t seed)
{
	static const struct fake_link good_link = {
	    .delay_min_ms = 1, .delay_max_ms = 3};

	voter_group_init(group, seed, &good_link);
	assert_true(voter_group_wait_leader(group, 6000));
}

void
group_on_change_result(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size)
{
	struct group_answer *answer = context;

	(void)index;
	(void)result;
	(void)result_size;
	answer->count++;
	answer->error = error;
}

static void
on_command_result(void *context, const struct command_result *result)
{
	struct group_answer *answer = context;

	answer->count++;
	answer->result = *result;
}
