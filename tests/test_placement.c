/*
 * Tests of the placement of prompts on engines: long prompts and their parts,
 * and the sides for short and long ones. Some replay a part of a load scenario,
 * whose name and seconds stand in brackets.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "placement_fixture.h"

#define OTHER_PROMPTS 30
#define SHORT_PROMPTS 4 /* Short prompts started on each engine. */

/* Begins a prompt on a given engine instead of the one that placement_pick()
 * would choose. The engine prefills for @p prefill_ms. */
static void
begin_on(struct placement_fixture *fixture, struct placement_upstream *engine,
    const struct route *route, double tokens, double prefill_ms,
    struct placement_work *work)
{
	struct placement_request request;
	struct placement_choice choice = {.upstream = engine,
	    .is_long = route == &fixture->review,
	    .part_prefill_ms = prefill_ms};

	request = placement_fixture_request(fixture, route, tokens, START_MS);
	placement_begin(&fixture->placement, &request, &choice, START_MS, work);
}

/* The estimate has a linear and a quadratic term: 182,000 tokens take 1.2 s,
 * and their token pairs 2.7 s. */
static void
test_prefill_time_has_quadratic_term(void **state)
{
	struct placement_fixture fixture;

	(void)state;
	placement_fixture_init(&fixture, 1);
	assert_in_range((int)engine_prefill_ms(&fixture.service.engine, 182000),
	    3800, 3950);
	assert_in_range(
	    (int)engine_prefill_ms(&fixture.service.engine, 5000), 33, 36);
	placement_fixture_finish(&fixture);
}

/* On idle engines a long prompt is prefilled by as many helpers as allowed. */
static void
test_long_prompt_is_prefilled_in_parts(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init(&fixture, 2);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 182000, START_MS);
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_NONE);
	assert_true(choice.is_long);
	assert_int_equal(choice.helper_count, PLACEMENT_HELPERS_MAX);
	assert_true(choice.part_prefill_ms < 250);
	for (i = 0; i < choice.helper_count; i++)
		assert_true(choice.helpers[i] != choice.upstream->id);
	request.is_without_helpers = true;
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_NONE);
	assert_int_equal(choice.helper_count, 0);
	placement_fixture_finish(&fixture);
}

/* Replays (grown spa-desk quiet-1): a prompt is larger than one engine's KV
 * memory. The first helpers reserve memory for what doesn't fit on its
 * leader. */
static void
test_prompt_larger_than_one_engine_reserves_helpers(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_work work = {0};
	struct placement_choice choice;
	struct placement_upstream *helper;
	uint64_t reserved_tokens;
	uint32_t i;
	struct placement_fixture fixture;

	(void)state;
	placement_fixture_init(&fixture, 2);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 630000, START_MS);
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_NONE);
	assert_in_range(
	    choice.reservation_count, 1, PLACEMENT_RESERVATIONS_MAX);
	reserved_tokens = 0;
	for (i = 0; i < choice.reservation_count; i++)
		reserved_tokens += choice.reserved_tokens[i];
	assert_true(choice.kv_tokens < 405000);
	assert_true(reserved_tokens + choice.kv_tokens >= 630600);
	placement_begin(&fixture.placement, &request, &choice, START_MS, &work);
	helper =
	    g_hash_table_lookup(fixture.placement.upstreams, &work.helpers[0]);
	assert_int_equal(helper->own.kv_tokens, choice.reserved_tokens[0]);
	placement_end(&fixture.placement, &work);
	assert_int_equal(helper->own.kv_tokens, 0);
	/* While another prompt of this size runs, this one is refused. */
	placement_begin(&fixture.placement, &request, &choice, START_MS, &work);
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	placement_end(&fixture.placement, &work);
	/* The prompt is refused if all engines together lack the memory. */
	for (i = 0; i < ENGINES; i++) {
		helper = placement_fixture_engine(&fixture, i);
		helper->own.kv_tokens = 340000;
	}
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	placement_fixture_finish(&fixture);
}

/* Replays several long prompts within a quarter of a second. An engine
 * prefills the part that came last first, so the next prompt must be queued
 * until the one before is prefilled. */
static void
test_long_prompts_are_queued_smallest_first(void **state)
{
	struct placement_queue_entry first = {0}, second = {0}, third = {0};
	struct placement_request request;
	struct placement_work work = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;

	(void)state;
	placement_fixture_init(&fixture, 3);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 182000, START_MS);
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &first, &choice),
	    ERROR_NONE);
	placement_queue_leave(&fixture.placement, &first);
	placement_begin(&fixture.placement, &request, &choice, START_MS, &work);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 260000, START_MS + 10);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 10, &second, &choice),
	    ERROR_CHANGE_PENDING);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 120000, START_MS + 20);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 20, &third, &choice),
	    ERROR_CHANGE_PENDING);
	/* The first one is prefilled. The smaller one is next, although it
	 * came last. */
	placement_record_prefilled(&fixture.placement, &work);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 260000, START_MS + 10);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 300, &second, &choice),
	    ERROR_CHANGE_PENDING);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 120000, START_MS + 20);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 300, &third, &choice),
	    ERROR_NONE);
	placement_queue_leave(&fixture.placement, &third);
	placement_queue_leave(&fixture.placement, &second);
	placement_fixture_finish(&fixture);
}

/* Replays (grown spa-desk trouble-2, seconds 13 to 22): three long prompts come
 * at once to sixty engines. As each needs seventeen, none is queued. */
static void
test_large_fleet_prefills_several_long_prompts(void **state)
{
	struct placement_work running[3] = {0};
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init_engines(&fixture, 16, ENGINES_MANY);
	for (i = 0; i < 3; i++) {
		request = placement_fixture_request(
		    &fixture, &fixture.review, 260000, START_MS + i);
		assert_int_equal(placement_pick(&fixture.placement, &request,
				     START_MS + i, &entry, &choice),
		    ERROR_NONE);
		assert_in_range(choice.helper_count, 12, 16);
		placement_queue_leave(&fixture.placement, &entry);
		placement_begin(&fixture.placement, &request, &choice,
		    START_MS + i, &running[i]);
	}
	for (i = 0; i < 3; i++)
		placement_end(&fixture.placement, &running[i]);
	placement_fixture_finish(&fixture);
}

/* A prompt that can't be answered by its deadline behind the one before it is
 * refused at once. */
static void
test_unreachable_deadline_in_queue_is_refused(void **state)
{
	struct placement_queue_entry entry = {0}, other = {0};
	struct placement_request request;
	struct placement_work work = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;

	(void)state;
	placement_fixture_init(&fixture, 4);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 300000, START_MS);
	placement_pick(&fixture.placement, &request, START_MS, &other, &choice);
	placement_queue_leave(&fixture.placement, &other);
	placement_begin(&fixture.placement, &request, &choice, START_MS, &work);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 300000, START_MS);
	request.deadline_ms = START_MS + 2000;
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 10, &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

/* Replays (incident inc-5f95, seconds 10 to 20): the largest prompt is queued
 * behind ever more others. It must be refused as soon as it can't be answered
 * in time, not only at its deadline. */
static void
test_prompt_behind_many_is_refused_in_time(void **state)
{
	struct placement_queue_entry entry = {0}, others[OTHER_PROMPTS] = {0};
	struct placement_request request, other;
	struct placement_work work = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init(&fixture, 4);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 300000, START_MS);
	placement_pick(&fixture.placement, &request, START_MS, &entry, &choice);
	placement_queue_leave(&fixture.placement, &entry);
	placement_begin(&fixture.placement, &request, &choice, START_MS, &work);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 402000, START_MS + 10);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 10, &entry, &choice),
	    ERROR_CHANGE_PENDING);
	for (i = 0; i < OTHER_PROMPTS; i++) {
		other = placement_fixture_request(
		    &fixture, &fixture.review, 260000, START_MS + 20);
		placement_pick(&fixture.placement, &other, START_MS + 20,
		    &others[i], &choice);
	}
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 30, &entry, &choice),
	    ERROR_CHANGE_PENDING);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 3500, &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	for (i = 0; i < OTHER_PROMPTS; i++)
		placement_queue_leave(&fixture.placement, &others[i]);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

/* Replays (kjwr-hq scale-1, seconds 5 to 8): one prompt of 390,000 tokens comes
 * while many of 100,000 tokens are decoded. Its parts would stop all of them
 * for 2 s, so it is queued until enough engines decode nothing. */
static void
test_long_parts_avoid_decoding_engines(void **state)
{
	struct placement_work running[ENGINES] = {0};
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init(&fixture, 12);
	for (i = 0; i < ENGINES; i++) {
		begin_on(&fixture, placement_fixture_engine(&fixture, i),
		    &fixture.review, 100000, 0, &running[i]);
		placement_record_prefilled(&fixture.placement, &running[i]);
	}
	request = placement_fixture_request(
	    &fixture, &fixture.review, 390000, START_MS + 10);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 10, &entry, &choice),
	    ERROR_CHANGE_PENDING);
	/* A smaller prompt is placed, as its parts keep the pause limit of the
	 * answers beside it. */
	request = placement_fixture_request(
	    &fixture, &fixture.review, 150000, START_MS + 20);
	placement_queue_leave(&fixture.placement, &entry);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 20, &entry, &choice),
	    ERROR_NONE);
	placement_queue_leave(&fixture.placement, &entry);
	for (i = 0; i < ENGINES; i++)
		placement_end(&fixture.placement, &running[i]);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 390000, START_MS + 10);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 30, &entry, &choice),
	    ERROR_NONE);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

/* A long prompt is placed on the only engine although the engine decodes: no
 * other engine could become free. */
static void
test_long_prompt_starts_on_the_only_engine(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work = {0};
	struct placement_fixture fixture;

	(void)state;
	placement_fixture_init_engines(&fixture, 17, 1);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 100000, START_MS);
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_NONE);
	placement_begin(&fixture.placement, &request, &choice, START_MS, &work);
	placement_record_prefilled(&fixture.placement, &work);
	request = placement_fixture_request(
	    &fixture, &fixture.review, 150000, START_MS + 2000);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 2000, &entry, &choice),
	    ERROR_NONE);
	placement_end(&fixture.placement, &work);
	placement_fixture_finish(&fixture);
}

/* A prompt would exceed the pause limit of the answers beside it, but is too
 * short for the queue of long prompts. When it can't start in time any more, it
 * must be refused before its deadline. */
static void
test_prompt_that_cannot_start_is_refused_in_time(void **state)
{
	struct placement_work running[2] = {0};
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init_engines(&fixture, 18, 2);
	fixture.review.pause_limit_ms = 400;
	fixture.review.target_ms = 1500;
	for (i = 0; i < 2; i++) {
		begin_on(&fixture, placement_fixture_engine(&fixture, i),
		    &fixture.review, 30000, 0, &running[i]);
		placement_record_prefilled(&fixture.placement, &running[i]);
	}
	request = placement_fixture_request(
	    &fixture, &fixture.review, 60000, START_MS + 10);
	request.is_without_helpers = true;
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 10, &entry, &choice),
	    ERROR_CHANGE_PENDING);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 13500, &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	placement_queue_leave(&fixture.placement, &entry);
	for (i = 0; i < 2; i++)
		placement_end(&fixture.placement, &running[i]);
	placement_fixture_finish(&fixture);
}

/* Replays (kjwr-hq scale-1, seconds 7 to 11): a prompt of medium size comes
 * while the long side prefills a large one. Placed on the short side without
 * helpers, it would stop the short answers there during its whole prefill. */
static void
test_short_side_leads_only_with_helpers(void **state)
{
	struct placement_work running[ENGINES] = {0};
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init(&fixture, 13);
	for (i = 0; i < ENGINES; i++) {
		request = placement_fixture_request(
		    &fixture, &fixture.review, 182000, START_MS);
		placement_pick(
		    &fixture.placement, &request, START_MS, &entry, &choice);
		placement_queue_leave(&fixture.placement, &entry);
	}
	for (i = 0; i < ENGINES; i++) {
		begin_on(&fixture, placement_fixture_engine(&fixture, i),
		    &fixture.review, 250000, 900, &running[i]);
	}
	request = placement_fixture_request(
	    &fixture, &fixture.review, 36000, START_MS + 10);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 10, &entry, &choice),
	    ERROR_NONE);
	assert_true(choice.is_long);
	if (choice.is_led_on_short_side)
		assert_true(choice.part_prefill_ms <= 60);
	placement_queue_leave(&fixture.placement, &entry);
	for (i = 0; i < ENGINES; i++)
		placement_end(&fixture.placement, &running[i]);
	placement_fixture_finish(&fixture);
}

/* Replays (kjwr-hq scale-1, second 10): the boundary between the sides has just
 * moved, and engines of the long side still answer short prompts. They have no
 * backlog, as they are no helpers, but must not become leader of a long
 * prompt. */
static void
test_leader_of_long_prompt_answers_no_short_ones(void **state)
{
	struct placement_work running[ENGINES][SHORT_PROMPTS] = {0};
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_upstream *engine, *expected_leader;
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t index, i;

	(void)state;
	placement_fixture_init(&fixture, 14);
	expected_leader = NULL;
	for (index = 0; index < ENGINES; index++) {
		engine = placement_fixture_engine(&fixture, index);
		if (expected_leader == NULL ||
		    engine->short_rank > expected_leader->short_rank)
			expected_leader = engine;
	}
	/* The engine of the highest rank is the last to get short prompts. */
	expected_leader->own.prefill_until_ms = START_MS + 40;
	for (index = 0; index < ENGINES; index++) {
		engine = placement_fixture_engine(&fixture, index);
		for (i = 0; engine != expected_leader && i < SHORT_PROMPTS; i++)
			begin_on(&fixture, engine, &fixture.chat, 5000, 0,
			    &running[index][i]);
	}
	request = placement_fixture_request(
	    &fixture, &fixture.review, 150000, START_MS);
	request.has_partial_answer = true;
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_NONE);
	assert_ptr_equal(choice.upstream, expected_leader);
	for (index = 0; index < ENGINES; index++) {
		for (i = 0; i < SHORT_PROMPTS; i++)
			placement_end(&fixture.placement, &running[index][i]);
	}
	placement_fixture_finish(&fixture);
}

/* Replays (grown spa-desk trouble-2, seconds 2 to 10): most chats have 2,000
 * tokens, every tenth up to 24,000. Prefilled as a whole, such a prompt would
 * stop the answers beside it for 200 ms. It is prefilled in small parts, on
 * engines of either side. */
static void
test_larger_short_prompts_are_prefilled_in_parts(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work = {0};
	struct placement_fixture fixture;
	uint32_t index;

	(void)state;
	placement_fixture_init(&fixture, 15);
	for (index = 0; index < 20; index++) {
		request = placement_fixture_request(
		    &fixture, &fixture.chat, 2000, START_MS);
		assert_int_equal(placement_pick(&fixture.placement, &request,
				     START_MS, &entry, &choice),
		    ERROR_NONE);
		assert_int_equal(choice.helper_count, 0);
	}
	request = placement_fixture_request(
	    &fixture, &fixture.chat, 23840, START_MS + 10);
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 10, &entry, &choice),
	    ERROR_NONE);
	assert_false(choice.is_long);
	assert_in_range(choice.helper_count, 3, 6);
	assert_true(choice.part_prefill_ms < 60);
	placement_begin(
	    &fixture.placement, &request, &choice, START_MS + 10, &work);
	placement_end(&fixture.placement, &work);
	request.is_without_helpers = true;
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 20, &entry, &choice),
	    ERROR_NONE);
	assert_int_equal(choice.helper_count, 0);
	placement_fixture_finish(&fixture);
}

/* Replays 36 short and 2 long prompts a second for 10 s. Nearly all short
 * prompts go to engines that prefill no part of a long one. */
static void
test_short_and_long_prompts_use_different_engines(void **state)
{
	struct placement_work running[64] = {0};
	struct placement_queue_entry entry;
	struct placement_request request;
	struct placement_choice choice;
	uint32_t index, i, misplaced, shorts;
	struct placement_fixture fixture;
	int64_t now_ms;

	(void)state;
	placement_fixture_init(&fixture, 5);
	misplaced = 0;
	shorts = 0;
	for (index = 0; index < 360; index++) {
		now_ms = START_MS + index * 28;
		i = index % 64;
		placement_record_prefilled(&fixture.placement, &running[i]);
		placement_end(&fixture.placement, &running[i]);
		memset(&entry, 0, sizeof(entry));
		request = index % 18 == 17
			      ? placement_fixture_request(
				    &fixture, &fixture.review, 150000, now_ms)
			      : placement_fixture_request(
				    &fixture, &fixture.chat, 5000, now_ms);
		if (placement_pick(&fixture.placement, &request, now_ms, &entry,
			&choice) != ERROR_NONE) {
			placement_queue_leave(&fixture.placement, &entry);
			continue;
		}
		placement_queue_leave(&fixture.placement, &entry);
		if (!choice.is_long && index > 100) {
			shorts++;
			if (choice.upstream->own.helping > 0)
				misplaced++;
		}
		placement_begin(
		    &fixture.placement, &request, &choice, now_ms, &running[i]);
	}
	assert_true(shorts > 200);
	assert_true(misplaced * 20 < shorts);
	placement_fixture_finish(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_prefill_time_has_quadratic_term),
	    cmocka_unit_test(test_long_prompt_is_prefilled_in_parts),
	    cmocka_unit_test(
		test_prompt_larger_than_one_engine_reserves_helpers),
	    cmocka_unit_test(test_long_prompts_are_queued_smallest_first),
	    cmocka_unit_test(test_large_fleet_prefills_several_long_prompts),
	    cmocka_unit_test(test_unreachable_deadline_in_queue_is_refused),
	    cmocka_unit_test(test_prompt_behind_many_is_refused_in_time),
	    cmocka_unit_test(test_long_parts_avoid_decoding_engines),
	    cmocka_unit_test(test_long_prompt_starts_on_the_only_engine),
	    cmocka_unit_test(test_prompt_that_cannot_start_is_refused_in_time),
	    cmocka_unit_test(test_short_side_leads_only_with_helpers),
	    cmocka_unit_test(test_leader_of_long_prompt_answers_no_short_ones),
	    cmocka_unit_test(test_larger_short_prompts_are_prefilled_in_parts),
	    cmocka_unit_test(test_short_and_long_prompts_use_different_engines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
