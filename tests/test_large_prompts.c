/*
 * Tests of the feature "queue-large": a prompt over one engine's memory waits
 * for its turn and for memory, like the other long prompts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "placement_fixture.h"

#define TOO_LARGE	500000 /* Tokens, over one engine's 405,000. */
#define FOR_NO_SCHEDULE 5000000
#define BEYOND_DEADLINE 14900
#define RUNNING_MAX	16

static enum error_code
pick(struct placement_fixture *fixture, double tokens, int64_t waited_ms,
    struct placement_queue_entry *entry, struct placement_choice *choice)
{
	struct placement_request request;

	request = placement_fixture_request(
	    fixture, &fixture->review, tokens, START_MS);
	return placement_pick(
	    &fixture->placement, &request, START_MS + waited_ms, entry, choice);
}

/* Begins a prompt that placement has just chosen engines for. */
static void
begin(struct placement_fixture *fixture, const struct placement_choice *choice,
    double tokens, int64_t waited_ms, struct placement_work *work)
{
	struct placement_request request;

	request = placement_fixture_request(
	    fixture, &fixture->review, tokens, START_MS);
	memset(work, 0, sizeof(*work));
	placement_begin(
	    &fixture->placement, &request, choice, START_MS + waited_ms, work);
}

/* Takes all engines' memory but for @p left tokens each. */
static void
fill_memory(struct placement_fixture *fixture, uint64_t left)
{
	uint32_t i;

	for (i = 0; i < ENGINES_MANY; i++)
		placement_fixture_engine(fixture, i)->own.kv_tokens =
		    fixture->service.engine.kv_tokens - left;
}

/* Replays (fjordvisum quiet-1, second 3): while prompts over an engine's memory are
 * in prefill, a further one comes. It was refused at once; now it is queued and
 * starts once these are prefilled. */
static void
test_further_large_prompt_gets_its_turn(void **state)
{
	struct placement_work works[RUNNING_MAX];
	struct placement_queue_entry entry = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t count;

	(void)state;
	placement_fixture_init_engines(&fixture, 2, ENGINES_MANY);
	for (count = 0;
	     count < RUNNING_MAX &&
	     pick(&fixture, TOO_LARGE, 0, &entry, &choice) == ERROR_NONE;
	     count++)
		begin(&fixture, &choice, TOO_LARGE, 0, &works[count]);
	assert_in_range(count, 1, RUNNING_MAX - 1);
	assert_int_equal(pick(&fixture, TOO_LARGE, 10, &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	fixture.placement.settings.features.set = PLACEMENT_QUEUE_LARGE;
	assert_int_equal(pick(&fixture, TOO_LARGE, 10, &entry, &choice),
	    ERROR_CHANGE_PENDING);
	assert_int_equal(entry.wait, PLACEMENT_WAIT_TURN);
	while (count > 0)
		placement_record_prefilled(&fixture.placement, &works[--count]);
	assert_int_equal(
	    pick(&fixture, TOO_LARGE, 4000, &entry, &choice), ERROR_NONE);
	assert_true(choice.reservation_count > 0);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

/* Without memory for it the prompt waits in the queue, is refused once it would
 * be too late, and starts if memory becomes free before that. */
static void
test_large_prompt_waits_for_memory(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint64_t reserved;
	uint32_t i;

	(void)state;
	placement_fixture_init_engines(&fixture, 2, ENGINES_MANY);
	fixture.placement.settings.features.set = PLACEMENT_QUEUE_LARGE;
	fill_memory(&fixture, 90000);
	assert_int_equal(pick(&fixture, TOO_LARGE, 0, &entry, &choice),
	    ERROR_CHANGE_PENDING);
	assert_int_equal(entry.wait, PLACEMENT_WAIT_MEMORY);
	assert_int_equal(
	    pick(&fixture, TOO_LARGE, BEYOND_DEADLINE, &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	fill_memory(&fixture, 250000);
	assert_int_equal(
	    pick(&fixture, TOO_LARGE, 1000, &entry, &choice), ERROR_NONE);
	reserved = choice.kv_tokens;
	for (i = 0; i < choice.reservation_count; i++)
		reserved += choice.reserved_tokens[i];
	assert_true(reserved >= TOO_LARGE);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

/* A prompt that no engines together have memory for is refused at once. */
static void
test_prompt_for_which_there_is_no_schedule_is_refused_at_once(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;

	(void)state;
	placement_fixture_init_engines(&fixture, 2, ENGINES_MANY);
	fixture.placement.settings.features.set = PLACEMENT_QUEUE_LARGE;
	assert_int_equal(pick(&fixture, FOR_NO_SCHEDULE, 0, &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

/* The helpers with the most free memory keep the prompt, so that few orders
 * suffice. */
static void
test_helpers_with_most_memory_keep_the_prompt(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init_engines(&fixture, 2, ENGINES_MANY);
	fixture.placement.settings.features.set = PLACEMENT_QUEUE_LARGE;
	fill_memory(&fixture, 90000);
	for (i = 0; i < 3; i++)
		placement_fixture_engine(&fixture, i)->own.kv_tokens = 0;
	assert_int_equal(
	    pick(&fixture, TOO_LARGE, 0, &entry, &choice), ERROR_NONE);
	assert_int_equal(choice.reservation_count, 1);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

/* With so few engines that one such prompt keeps most of them busy, it is refused
 * as without the feature. */
static void
test_few_engines_queue_no_large_prompt(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;
	struct placement_work work;

	(void)state;
	placement_fixture_init(&fixture, 2);
	fixture.placement.settings.features.set = PLACEMENT_QUEUE_LARGE;
	assert_int_equal(
	    pick(&fixture, TOO_LARGE, 0, &entry, &choice), ERROR_NONE);
	begin(&fixture, &choice, TOO_LARGE, 0, &work);
	assert_int_equal(pick(&fixture, TOO_LARGE, 10, &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_further_large_prompt_gets_its_turn),
	    cmocka_unit_test(test_large_prompt_waits_for_memory),
	    cmocka_unit_test(
		test_prompt_for_which_there_is_no_schedule_is_refused_at_once),
	    cmocka_unit_test(test_helpers_with_most_memory_keep_the_prompt),
	    cmocka_unit_test(test_few_engines_queue_no_large_prompt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
