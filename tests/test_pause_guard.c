/*
 * Tests of the feature "guard-pauses": parts of long prompts stop no answer for
 * longer than its caller accepts while the prompt can wait. The load that is
 * replayed stands in brackets.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "placement/placement_pause.h"
#include "placement_fixture.h"

#define SHORT_PAUSE_MS 250
#define BUSY_ENGINES   52     /* Engines that decode short answers. */
#define ANSWERS_EACH   2      /* Short answers on each of them. */
#define LARGE_PROMPT   260000 /* Its parts take over half a second. */

static void
init(struct placement_fixture *fixture, uint32_t features)
{
	placement_fixture_init_engines(fixture, 3, ENGINES_MANY);
	fixture->placement.settings.features.set = features;
	fixture->service.shortest_pause_ms = SHORT_PAUSE_MS;
	fixture->service.engine.stride = 48;
	fixture->service.engine.step_ms = 1.0;
}

/* Begins short answers on the first engines, as before a swing of the demand. */
static void
begin_answers(struct placement_fixture *fixture, uint32_t engines)
{
	struct placement_choice choice = {0};
	struct placement_request request;
	struct placement_work work;
	uint32_t i;

	request =
	    placement_fixture_request(fixture, &fixture->chat, 5000, START_MS);
	for (i = 0; i < engines * ANSWERS_EACH; i++) {
		memset(&work, 0, sizeof(work));
		choice.upstream =
		    placement_fixture_engine(fixture, i % engines);
		placement_begin(
		    &fixture->placement, &request, &choice, START_MS, &work);
	}
}

/* Whether some engine of the choice has short answers. */
static bool
stops_short_answers(
    struct placement_fixture *fixture, const struct placement_choice *choice)
{
	const struct placement_upstream *helper;
	uint32_t i;

	if (choice->upstream->own.running > 0)
		return true;
	for (i = 0; i < choice->helper_count; i++) {
		helper = g_hash_table_lookup(
		    fixture->placement.upstreams, &choice->helpers[i]);
		if (helper->own.running > 0)
			return true;
	}
	return false;
}

static enum error_code
pick_large(struct placement_fixture *fixture, int64_t waited_ms,
    struct placement_queue_entry *entry, struct placement_choice *choice)
{
	struct placement_request request;

	request = placement_fixture_request(
	    fixture, &fixture->review, LARGE_PROMPT, START_MS);
	return placement_pick(
	    &fixture->placement, &request, START_MS + waited_ms, entry, choice);
}

/* The part that an engine may take leaves each answer there its pause. */
static void
test_part_fits_into_pauses(void **state)
{
	struct engine_speed engine = {.stride = 48, .step_ms = 1.0};
	struct pause_answers answers = {
	    .short_limit_ms = 250, .long_limit_ms = 1000};

	(void)state;
	assert_true(isinf(pause_part_max_ms(&engine, &answers)));
	answers.long_count = 1;
	assert_true(pause_part_max_ms(&engine, &answers) <= 1000 - 48);
	answers.short_count = 1;
	assert_true(pause_part_max_ms(&engine, &answers) <= 250 - 48);
	assert_true(pause_part_max_ms(&engine, &answers) > 100);
	answers.backlog_ms = 400;
	assert_true(pause_part_max_ms(&engine, &answers) <= 0);
}

/* Replays (fjordvisum quiet-1, second 10): the demand has swung from short to
 * long prompts, and some engines still decode short answers. A large prompt is
 * prefilled by the others only. */
static void
test_large_parts_go_beside_no_short_answer(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;

	(void)state;
	init(&fixture, 0);
	begin_answers(&fixture, BUSY_ENGINES);
	assert_int_equal(pick_large(&fixture, 0, &entry, &choice), ERROR_NONE);
	assert_true(stops_short_answers(&fixture, &choice));
	fixture.placement.settings.features.set = PLACEMENT_GUARD_PAUSES;
	assert_int_equal(pick_large(&fixture, 0, &entry, &choice), ERROR_NONE);
	assert_false(stops_short_answers(&fixture, &choice));
	assert_true(choice.helper_count > 0);
	placement_fixture_finish(&fixture);
}

/* While all engines decode short answers, a large prompt waits for them, even past
 * its own target, but not until it would be too late. */
static void
test_large_prompt_waits_until_it_must_start(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;

	(void)state;
	init(&fixture, PLACEMENT_GUARD_PAUSES);
	begin_answers(&fixture, ENGINES_MANY);
	assert_int_equal(
	    pick_large(&fixture, 0, &entry, &choice), ERROR_CHANGE_PENDING);
	assert_int_equal(
	    pick_large(&fixture, 4000, &entry, &choice), ERROR_CHANGE_PENDING);
	/* Its callers leave 12 s after it came. */
	assert_int_equal(
	    pick_large(&fixture, 11000, &entry, &choice), ERROR_NONE);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

/* Short prompts are kept on as few engines as they need, with room to grow, and
 * get what they need before long ones get more. */
static void
test_short_prompts_are_kept_together(void **state)
{
	static const struct {
		struct split_demand demand;
		uint32_t min, max;
	} cases[] = {
	    {{2.5, 2}, 4, 6},	/* Calm: most engines decode nothing. */
	    {{2.5, 60}, 4, 6},	/* A burst of long prompts. */
	    {{20, 40}, 24, 34}, /* Both: the short ones first. */
	    {{60, 10}, 40, 43}, /* Short ones need more than there are. */
	    {{5, 0}, 45, 45},	/* No long prompts. */
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_in_range(split_packed_count(45, &cases[i].demand),
		    cases[i].min, cases[i].max);
	assert_int_equal(
	    split_packed_count(1, &(struct split_demand){1, 1}), 1);
	assert_true(split_packed_count(2, &(struct split_demand){9, 1}) < 2);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_part_fits_into_pauses),
	    cmocka_unit_test(test_large_parts_go_beside_no_short_answer),
	    cmocka_unit_test(test_large_prompt_waits_until_it_must_start),
	    cmocka_unit_test(test_short_prompts_are_kept_together),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
