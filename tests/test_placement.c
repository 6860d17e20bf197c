#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/placement.h"
#include "state/upstream.h"

#define ENGINES	     18
#define ENGINES_MANY 60 /* Of a grown installation. */
#define OTHERS	     30
#define SHORTS	     4 /* Short prompts that an engine answers. */
#define START_MS     1000000
#define PLACE(i)     ((uint64_t)(0x0a000001 + (i)) << 16 | 8000)

/* One host and the engines that it places on. */
struct scene {
	struct placement placement;
	struct route_service service;
	struct route chat;
	struct route review;
	struct placement_record records[ENGINES_MANY];
	char names[ENGINES_MANY][16];
};

static void
open_scene_of(struct scene *scene, uint64_t seed, uint32_t engines)
{
	static const struct placement_settings settings = {
	    .data_centre = "a", .cold_overshoot = 1.5, .cold_slack = 5};
	uint32_t i;

	memset(scene, 0, sizeof(*scene));
	scene->service.name = (char *)"models";
	scene->service.has_engine = true;
	scene->service.cold_requests_per_s = 36;
	scene->service.engine.batch_slots = 16;
	scene->service.engine.kv_tokens = 405000;
	scene->service.engine.prefill_tokens_per_s = 154000;
	scene->service.engine.ms_per_1m_token_pairs = 0.162;
	scene->chat = (struct route){.name = (char *)"chat",
	    .kind = ROUTE_KIND_STREAM,
	    .target_ms = 300,
	    .pause_limit_ms = 250};
	scene->review = (struct route){.name = (char *)"review",
	    .kind = ROUTE_KIND_STREAM,
	    .target_ms = 3000,
	    .pause_limit_ms = 1000};
	placement_init(&scene->placement, &settings, seed);
	for (i = 0; i < engines; i++) {
		snprintf(scene->names[i], sizeof(scene->names[i]), "e%u", i);
		scene->records[i].id = upstream_id(scene->names[i]);
		scene->records[i].incarnation = 1;
		scene->records[i].address = PLACE(i);
		scene->records[i].name = scene->names[i];
		scene->records[i].service = "models";
		scene->records[i].data_centre = "a";
		scene->records[i].slots = 16;
		scene->records[i].is_usable = true;
	}
	placement_update(&scene->placement, scene->records, engines);
}

static void
open_scene(struct scene *scene, uint64_t seed)
{
	open_scene_of(scene, seed, ENGINES);
}

static void
close_scene(struct scene *scene)
{
	placement_finish(&scene->placement);
}

static struct placement_request
make_request(struct scene *scene, const struct route *route, double tokens,
    int64_t now_ms)
{
	return (struct placement_request){
	    .route = route,
	    .service = &scene->service,
	    .prompt_tokens = tokens,
	    .answer_tokens = 600,
	    .arrived_ms = now_ms,
	    .deadline_ms = now_ms + 15000,
	};
}

static struct placement_upstream *
engine_at(struct scene *scene, uint32_t i)
{
	return g_hash_table_lookup(
	    scene->placement.upstreams, &scene->records[i].id);
}

/* Sends a prompt to an engine, whatever would have been picked; it reads for
 * so long. */
static void
begin_at(struct scene *scene, struct placement_upstream *engine,
    const struct route *route, double tokens, double read_ms,
    struct placement_work *work)
{
	struct placement_request request;
	struct placement_choice choice = {.upstream = engine,
	    .is_long = route == &scene->review,
	    .part_prefill_ms = read_ms};

	request = make_request(scene, route, tokens, START_MS);
	placement_begin(&scene->placement, &request, &choice, START_MS, work);
}

/* Reading alone: 182,000 tokens take 1.2 s, their pairs 2.7 s. */
static void
test_reading_time(void **state)
{
	struct scene scene;

	(void)state;
	open_scene(&scene, 1);
	assert_in_range(
	    (int)engine_prefill_ms(&scene.service.engine, 182000), 3800, 3950);
	assert_in_range(
	    (int)engine_prefill_ms(&scene.service.engine, 5000), 33, 36);
	close_scene(&scene);
}

/* A long prompt on idle engines is read in as many parts as there may be. */
static void
test_long_prompt_is_read_in_parts(void **state)
{
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct scene scene;
	uint32_t i;

	(void)state;
	open_scene(&scene, 2);
	request = make_request(&scene, &scene.review, 182000, START_MS);
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &waiter, &choice),
	    ERROR_NONE);
	assert_true(choice.is_long);
	assert_int_equal(choice.helper_count, PLACEMENT_HELPERS_MAX);
	assert_true(choice.part_prefill_ms < 250);
	for (i = 0; i < choice.helper_count; i++)
		assert_true(choice.helpers[i] != choice.upstream->id);
	request.is_without_helpers = true;
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &waiter, &choice),
	    ERROR_NONE);
	assert_int_equal(choice.helper_count, 0);
	close_scene(&scene);
}

/* Load replayed: a prompt over one engine's memory (grown spa-desk, quiet-1).
 * The first helpers keep what the leading engine has no room for. */
static void
test_memory_of_several(void **state)
{
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_work work = {0};
	struct placement_choice choice;
	struct placement_upstream *holder;
	uint64_t held;
	uint32_t i;
	struct scene scene;

	(void)state;
	open_scene(&scene, 2);
	request = make_request(&scene, &scene.review, 630000, START_MS);
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &waiter, &choice),
	    ERROR_NONE);
	assert_in_range(
	    choice.reservation_count, 1, PLACEMENT_RESERVATIONS_MAX);
	held = 0;
	for (i = 0; i < choice.reservation_count; i++)
		held += choice.reserved_tokens[i];
	assert_true(choice.kv_tokens < 405000);
	assert_true(held + choice.kv_tokens >= 630600);
	placement_begin(&scene.placement, &request, &choice, START_MS, &work);
	holder =
	    g_hash_table_lookup(scene.placement.upstreams, &work.helpers[0]);
	assert_int_equal(holder->own.kv_tokens, choice.reserved_tokens[0]);
	placement_end(&scene.placement, &work);
	assert_int_equal(holder->own.kv_tokens, 0);
	/* While another one is read, it is refused at once. */
	placement_begin(&scene.placement, &request, &choice, START_MS, &work);
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &waiter, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	placement_end(&scene.placement, &work);
	/* Without room for it, it is not begun. */
	for (i = 0; i < ENGINES; i++) {
		holder = engine_at(&scene, i);
		holder->own.kv_tokens = 340000;
	}
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &waiter, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	close_scene(&scene);
}

/* Load replayed: several long prompts within a quarter of a second. An engine
 * reads the part that came last first, so the next waits its turn. */
static void
test_long_prompts_take_turns(void **state)
{
	struct placement_queue_entry first = {0}, second = {0}, third = {0};
	struct placement_request request;
	struct placement_work work = {0};
	struct placement_choice choice;
	struct scene scene;

	(void)state;
	open_scene(&scene, 3);
	request = make_request(&scene, &scene.review, 182000, START_MS);
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &first, &choice),
	    ERROR_NONE);
	placement_queue_leave(&scene.placement, &first);
	placement_begin(&scene.placement, &request, &choice, START_MS, &work);
	request = make_request(&scene, &scene.review, 260000, START_MS + 10);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 10, &second, &choice),
	    ERROR_CHANGE_PENDING);
	request = make_request(&scene, &scene.review, 120000, START_MS + 20);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 20, &third, &choice),
	    ERROR_CHANGE_PENDING);
	/* The first is read: the smaller one goes next, though it came last. */
	placement_record_prefilled(&scene.placement, &work);
	request = make_request(&scene, &scene.review, 260000, START_MS + 10);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 300, &second, &choice),
	    ERROR_CHANGE_PENDING);
	request = make_request(&scene, &scene.review, 120000, START_MS + 20);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 300, &third, &choice),
	    ERROR_NONE);
	placement_queue_leave(&scene.placement, &third);
	placement_queue_leave(&scene.placement, &second);
	close_scene(&scene);
}

/* Load replayed (grown spa-desk trouble-2, seconds 13 to 22): three long prompts
 * at once, sixty engines. Each needs seventeen: none of them waits. */
static void
test_a_large_fleet_reads_several(void **state)
{
	struct placement_work works[3] = {0};
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct scene scene;
	uint32_t i;

	(void)state;
	open_scene_of(&scene, 16, ENGINES_MANY);
	for (i = 0; i < 3; i++) {
		request =
		    make_request(&scene, &scene.review, 260000, START_MS + i);
		assert_int_equal(placement_pick(&scene.placement, &request,
				     START_MS + i, &waiter, &choice),
		    ERROR_NONE);
		assert_in_range(choice.helper_count, 12, 16);
		placement_queue_leave(&scene.placement, &waiter);
		placement_begin(&scene.placement, &request, &choice,
		    START_MS + i, &works[i]);
	}
	for (i = 0; i < 3; i++)
		placement_end(&scene.placement, &works[i]);
	close_scene(&scene);
}

/* What can't be answered in its time any more is refused at once. */
static void
test_hopeless_turn_is_refused(void **state)
{
	struct placement_queue_entry waiter = {0}, other = {0};
	struct placement_request request;
	struct placement_work work = {0};
	struct placement_choice choice;
	struct scene scene;

	(void)state;
	open_scene(&scene, 4);
	request = make_request(&scene, &scene.review, 300000, START_MS);
	placement_pick(&scene.placement, &request, START_MS, &other, &choice);
	placement_queue_leave(&scene.placement, &other);
	placement_begin(&scene.placement, &request, &choice, START_MS, &work);
	request = make_request(&scene, &scene.review, 300000, START_MS);
	request.deadline_ms = START_MS + 2000;
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 10, &waiter, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	placement_queue_leave(&scene.placement, &waiter);
	close_scene(&scene);
}

/* Load replayed (incident inc-5f95, seconds 10 to 20): the largest prompt waits
 * behind ever more others. Its caller isn't held until it is too late. */
static void
test_late_behind_many_is_refused(void **state)
{
	struct placement_queue_entry waiter = {0}, others[OTHERS] = {0};
	struct placement_request request, other;
	struct placement_work work = {0};
	struct placement_choice choice;
	struct scene scene;
	uint32_t i;

	(void)state;
	open_scene(&scene, 4);
	request = make_request(&scene, &scene.review, 300000, START_MS);
	placement_pick(&scene.placement, &request, START_MS, &waiter, &choice);
	placement_queue_leave(&scene.placement, &waiter);
	placement_begin(&scene.placement, &request, &choice, START_MS, &work);
	request = make_request(&scene, &scene.review, 402000, START_MS + 10);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 10, &waiter, &choice),
	    ERROR_CHANGE_PENDING);
	for (i = 0; i < OTHERS; i++) {
		other =
		    make_request(&scene, &scene.review, 260000, START_MS + 20);
		placement_pick(&scene.placement, &other, START_MS + 20,
		    &others[i], &choice);
	}
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 30, &waiter, &choice),
	    ERROR_CHANGE_PENDING);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 3500, &waiter, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	for (i = 0; i < OTHERS; i++)
		placement_queue_leave(&scene.placement, &others[i]);
	placement_queue_leave(&scene.placement, &waiter);
	close_scene(&scene);
}

/* Load replayed (kjwr-hq scale-1, seconds 5 to 8): one prompt of 390,000 tokens
 * among many of a hundred thousand that are being answered. Its parts would
 * stop all of them for 2 s: it waits until enough engines answer nobody. */
static void
test_long_parts_spare_writers(void **state)
{
	struct placement_work works[ENGINES] = {0};
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct scene scene;
	uint32_t i;

	(void)state;
	open_scene(&scene, 12);
	for (i = 0; i < ENGINES; i++) {
		begin_at(&scene, engine_at(&scene, i), &scene.review, 100000, 0,
		    &works[i]);
		placement_record_prefilled(&scene.placement, &works[i]);
	}
	request = make_request(&scene, &scene.review, 390000, START_MS + 10);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 10, &waiter, &choice),
	    ERROR_CHANGE_PENDING);
	/* Parts that are short enough stop nobody for too long. */
	request = make_request(&scene, &scene.review, 150000, START_MS + 20);
	placement_queue_leave(&scene.placement, &waiter);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 20, &waiter, &choice),
	    ERROR_NONE);
	placement_queue_leave(&scene.placement, &waiter);
	for (i = 0; i < ENGINES; i++)
		placement_end(&scene.placement, &works[i]);
	request = make_request(&scene, &scene.review, 390000, START_MS + 10);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 30, &waiter, &choice),
	    ERROR_NONE);
	placement_queue_leave(&scene.placement, &waiter);
	close_scene(&scene);
}

/* The only engine answers somebody: the largest prompt goes there all the same,
 * as there is nothing to wait for. */
static void
test_long_part_goes_to_the_only_engine(void **state)
{
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work = {0};
	struct scene scene;

	(void)state;
	open_scene_of(&scene, 17, 1);
	request = make_request(&scene, &scene.review, 100000, START_MS);
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &waiter, &choice),
	    ERROR_NONE);
	placement_begin(&scene.placement, &request, &choice, START_MS, &work);
	placement_record_prefilled(&scene.placement, &work);
	request = make_request(&scene, &scene.review, 150000, START_MS + 2000);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 2000, &waiter, &choice),
	    ERROR_NONE);
	placement_end(&scene.placement, &work);
	close_scene(&scene);
}

/* A prompt whose part is too long for those who write, and too short for the
 * line of turns, is told in time that it waits in vain. */
static void
test_no_long_part_waits_in_vain(void **state)
{
	struct placement_work works[2] = {0};
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct scene scene;
	uint32_t i;

	(void)state;
	open_scene_of(&scene, 18, 2);
	scene.review.pause_limit_ms = 400;
	scene.review.target_ms = 1500;
	for (i = 0; i < 2; i++) {
		begin_at(&scene, engine_at(&scene, i), &scene.review, 30000, 0,
		    &works[i]);
		placement_record_prefilled(&scene.placement, &works[i]);
	}
	request = make_request(&scene, &scene.review, 60000, START_MS + 10);
	request.is_without_helpers = true;
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 10, &waiter, &choice),
	    ERROR_CHANGE_PENDING);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 13500, &waiter, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	placement_queue_leave(&scene.placement, &waiter);
	for (i = 0; i < 2; i++)
		placement_end(&scene.placement, &works[i]);
	close_scene(&scene);
}

/* Load replayed (kjwr-hq scale-1, seconds 7 to 11): a prompt of middle size
 * comes while the long prompts' side is reading a large one. Without helpers
 * it would stop the short answers beside it for as long as it takes. */
static void
test_short_side_leads_only_with_helpers(void **state)
{
	struct placement_work works[ENGINES] = {0};
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct scene scene;
	uint32_t i;

	(void)state;
	open_scene(&scene, 13);
	for (i = 0; i < ENGINES; i++) {
		request = make_request(&scene, &scene.review, 182000, START_MS);
		placement_pick(
		    &scene.placement, &request, START_MS, &waiter, &choice);
		placement_queue_leave(&scene.placement, &waiter);
	}
	for (i = 0; i < ENGINES; i++) {
		begin_at(&scene, engine_at(&scene, i), &scene.review, 250000,
		    900, &works[i]);
	}
	request = make_request(&scene, &scene.review, 36000, START_MS + 10);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 10, &waiter, &choice),
	    ERROR_NONE);
	assert_true(choice.is_long);
	if (choice.is_led_on_short_side)
		assert_true(choice.part_prefill_ms <= 60);
	placement_queue_leave(&scene.placement, &waiter);
	for (i = 0; i < ENGINES; i++)
		placement_end(&scene.placement, &works[i]);
	close_scene(&scene);
}

/* Load replayed (kjwr-hq scale-1, second 10): the line has just moved, and an
 * engines of the long prompts' side still answer short ones. They have no
 * backlog, as they don't help to read, and yet are the wrong ones to lead. */
static void
test_long_prompt_is_led_away_from_short_ones(void **state)
{
	struct placement_work works[ENGINES][SHORTS] = {0};
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_upstream *engine, *spared;
	struct placement_choice choice;
	struct scene scene;
	uint32_t at, i;

	(void)state;
	open_scene(&scene, 14);
	spared = NULL;
	for (at = 0; at < ENGINES; at++) {
		engine = engine_at(&scene, at);
		if (spared == NULL || engine->short_rank > spared->short_rank)
			spared = engine;
	}
	/* The highest rank is the last that takes short prompts. */
	spared->own.prefill_until_ms = START_MS + 40;
	for (at = 0; at < ENGINES; at++) {
		engine = engine_at(&scene, at);
		for (i = 0; engine != spared && i < SHORTS; i++)
			begin_at(&scene, engine, &scene.chat, 5000, 0,
			    &works[at][i]);
	}
	request = make_request(&scene, &scene.review, 150000, START_MS);
	request.has_partial_answer = true;
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &waiter, &choice),
	    ERROR_NONE);
	assert_ptr_equal(choice.upstream, spared);
	for (at = 0; at < ENGINES; at++) {
		for (i = 0; i < SHORTS; i++)
			placement_end(&scene.placement, &works[at][i]);
	}
	close_scene(&scene);
}

/* Load replayed (grown spa-desk trouble-2, seconds 2 to 10): chats of 2,000
 * tokens, and every tenth has up to 24,000. Read whole, it stops the answers
 * beside it for 200 ms: it is read in small parts, on any engines. */
static void
test_larger_short_prompts_are_read_in_parts(void **state)
{
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work = {0};
	struct scene scene;
	uint32_t at;

	(void)state;
	open_scene(&scene, 15);
	for (at = 0; at < 20; at++) {
		request = make_request(&scene, &scene.chat, 2000, START_MS);
		assert_int_equal(placement_pick(&scene.placement, &request,
				     START_MS, &waiter, &choice),
		    ERROR_NONE);
		assert_int_equal(choice.helper_count, 0);
	}
	request = make_request(&scene, &scene.chat, 23840, START_MS + 10);
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 10, &waiter, &choice),
	    ERROR_NONE);
	assert_false(choice.is_long);
	assert_in_range(choice.helper_count, 3, 6);
	assert_true(choice.part_prefill_ms < 60);
	placement_begin(
	    &scene.placement, &request, &choice, START_MS + 10, &work);
	placement_end(&scene.placement, &work);
	request.is_without_helpers = true;
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 20, &waiter, &choice),
	    ERROR_NONE);
	assert_int_equal(choice.helper_count, 0);
	close_scene(&scene);
}

/* Load replayed: 36 short and 2 long prompts a second for 10 s. Short ones
 * and the parts of long ones stay on different engines. */
static void
test_short_and_long_stay_apart(void **state)
{
	struct placement_work works[64] = {0};
	struct placement_queue_entry waiter;
	struct placement_request request;
	struct placement_choice choice;
	uint32_t at, i, astray, shorts;
	struct scene scene;
	int64_t now_ms;

	(void)state;
	open_scene(&scene, 5);
	astray = 0;
	shorts = 0;
	for (at = 0; at < 360; at++) {
		now_ms = START_MS + at * 28;
		i = at % 64;
		placement_record_prefilled(&scene.placement, &works[i]);
		placement_end(&scene.placement, &works[i]);
		memset(&waiter, 0, sizeof(waiter));
		request =
		    at % 18 == 17
			? make_request(&scene, &scene.review, 150000, now_ms)
			: make_request(&scene, &scene.chat, 5000, now_ms);
		if (placement_pick(&scene.placement, &request, now_ms, &waiter,
			&choice) != ERROR_NONE) {
			placement_queue_leave(&scene.placement, &waiter);
			continue;
		}
		placement_queue_leave(&scene.placement, &waiter);
		if (!choice.is_long && at > 100) {
			shorts++;
			if (choice.upstream->own.helping > 0)
				astray++;
		}
		placement_begin(
		    &scene.placement, &request, &choice, now_ms, &works[i]);
	}
	assert_true(shorts > 200);
	assert_true(astray * 20 < shorts);
	close_scene(&scene);
}

/* In no second does a host send one upstream more than its share of what a
 * cold one bears. */
static void
test_cold_bound_holds_in_every_second(void **state)
{
	int64_t sent[2000];
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work;
	uint32_t count, from, i;
	struct scene scene;
	int64_t now_ms;

	(void)state;
	open_scene(&scene, 6);
	scene.placement.host_count = 8;
	placement_update(&scene.placement, scene.records, 1);
	count = 0;
	for (now_ms = START_MS; now_ms < START_MS + 5000; now_ms += 5) {
		request = make_request(&scene, &scene.chat, 100, now_ms);
		if (placement_pick(&scene.placement, &request, now_ms, &waiter,
			&choice) != ERROR_NONE)
			continue;
		memset(&work, 0, sizeof(work));
		placement_begin(
		    &scene.placement, &request, &choice, now_ms, &work);
		placement_end(&scene.placement, &work);
		sent[count++] = now_ms;
	}
	assert_true(count > 20);
	for (i = 0; i < count; i++) {
		for (from = i; from > 0 && sent[i] - sent[from - 1] < 1000;
		     from--)
			continue;
		/* (36 * 1.5 + 5) / 8 */
		assert_true(i - from + 1 <= 7);
	}
	close_scene(&scene);
}

/* Two failures in a row put an upstream aside, but never most of them. */
static void
test_ejection_is_bounded(void **state)
{
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct scene scene;
	uint32_t i;

	(void)state;
	open_scene(&scene, 7);
	placement_update(&scene.placement, scene.records, 4);
	request = make_request(&scene, &scene.chat, 5000, START_MS);
	for (i = 0; i < 2; i++) {
		placement_record_failure(
		    &scene.placement, scene.records[0].id, START_MS);
		placement_record_failure(
		    &scene.placement, scene.records[0].id, START_MS);
	}
	for (i = 0; i < 50; i++) {
		assert_int_equal(placement_pick(&scene.placement, &request,
				     START_MS + 10, &waiter, &choice),
		    ERROR_NONE);
		assert_true(choice.upstream->id != scene.records[0].id);
	}
	for (i = 1; i < 4; i++) {
		placement_record_failure(
		    &scene.placement, scene.records[i].id, START_MS);
		placement_record_failure(
		    &scene.placement, scene.records[i].id, START_MS);
	}
	assert_int_equal(placement_pick(&scene.placement, &request,
			     START_MS + 10, &waiter, &choice),
	    ERROR_NONE);
	close_scene(&scene);
}

/* Addresses are used again: who started last is there. */
static void
test_newest_at_an_address_counts(void **state)
{
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct scene scene;

	(void)state;
	open_scene(&scene, 8);
	scene.records[1].address = scene.records[0].address;
	scene.records[1].incarnation = 9;
	placement_update(&scene.placement, scene.records, 2);
	request = make_request(&scene, &scene.chat, 5000, START_MS);
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &waiter, &choice),
	    ERROR_NONE);
	assert_true(choice.upstream->id == scene.records[1].id);
	request.tried[request.tried_count++] = scene.records[1].id;
	assert_int_equal(placement_pick(&scene.placement, &request, START_MS,
			     &waiter, &choice),
	    ERROR_NO_CAPACITY);
	close_scene(&scene);
}

/* Load replayed: replicas crash and every attempt on a long prompt is refused
 * at once. What was not read leaves no backlog behind. */
static void
test_refused_attempts_leave_no_backlog(void **state)
{
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work;
	struct split_demand demand;
	struct scene scene;
	uint32_t i;

	(void)state;
	open_scene(&scene, 12);
	for (i = 0; i < 40; i++) {
		request =
		    make_request(&scene, &scene.review, 180000, START_MS + i);
		memset(&work, 0, sizeof(work));
		assert_int_equal(placement_pick(&scene.placement, &request,
				     START_MS + i, &waiter, &choice),
		    ERROR_NONE);
		placement_queue_leave(&scene.placement, &waiter);
		placement_begin(
		    &scene.placement, &request, &choice, START_MS + i, &work);
		placement_end(&scene.placement, &work);
	}
	assert_true(choice.wait_ms < 1);
	demand = choice.demand;
	assert_true(demand.long_engines < 3);
	close_scene(&scene);
}

/* Two hosts: what one reports is what the other sees, and counts once. */
static void
test_reports_add_up(void **state)
{
	struct placement_upstream *upstream;
	struct placement_queue_entry waiter = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work = {0};
	struct message_writer writer;
	struct scene here, there;

	(void)state;
	open_scene(&here, 9);
	open_scene(&there, 10);
	request = make_request(&there, &there.chat, 20000, START_MS);
	placement_pick(&there.placement, &request, START_MS, &waiter, &choice);
	placement_begin(&there.placement, &request, &choice, START_MS, &work);
	message_writer_init(&writer);
	placement_report_write(&there.placement, 77, START_MS, &writer);
	assert_int_equal(
	    placement_report_receive(&here.placement, 2, message_data(&writer),
		message_size(&writer), START_MS + 1),
	    ERROR_NONE);
	assert_int_equal(
	    placement_report_receive(&here.placement, 2, message_data(&writer),
		message_size(&writer), START_MS + 1),
	    ERROR_STALE);
	assert_int_equal(
	    placement_report_receive(&here.placement, 2, "x", 1, START_MS + 1),
	    ERROR_MALFORMED);
	message_writer_finish(&writer);
	request = make_request(&here, &here.chat, 20000, START_MS);
	placement_pick(
	    &here.placement, &request, START_MS + 2, &waiter, &choice);
	upstream =
	    g_hash_table_lookup(here.placement.upstreams, &work.upstream_id);
	assert_int_equal(upstream->others.running, 1);
	assert_true(choice.upstream != upstream);
	close_scene(&here);
	close_scene(&there);
}

/* Silence is judged by what else the upstream does. */
static void
test_silence(void **state)
{
	struct silence silence = {.sent_ms = START_MS,
	    .since_ms = START_MS,
	    .expected_ms = 40,
	    .pause_limit_ms = 2000};
	struct scene scene;
	uint64_t id;

	(void)state;
	open_scene(&scene, 11);
	id = scene.records[0].id;
	assert_int_equal(placement_evaluate_silence(
			     &scene.placement, id, &silence, START_MS + 300),
	    SILENCE_WAIT);
	assert_int_equal(placement_evaluate_silence(
			     &scene.placement, id, &silence, START_MS + 900),
	    SILENCE_PROBE);
	silence.is_reachable = true;
	assert_int_equal(placement_evaluate_silence(
			     &scene.placement, id, &silence, START_MS + 1000),
	    SILENCE_WAIT);
	assert_int_equal(placement_evaluate_silence(
			     &scene.placement, id, &silence, START_MS + 1700),
	    SILENCE_ABANDON);
	/* It answers others that came earlier: it is only slow. */
	placement_record_progress(
	    &scene.placement, id, START_MS - 100, START_MS + 1600);
	assert_int_equal(placement_evaluate_silence(
			     &scene.placement, id, &silence, START_MS + 1700),
	    SILENCE_WAIT);
	/* It answers one that came much later: this one hangs. */
	placement_record_progress(
	    &scene.placement, id, START_MS + 900, START_MS + 1650);
	assert_int_equal(placement_evaluate_silence(
			     &scene.placement, id, &silence, START_MS + 1700),
	    SILENCE_ABANDON);
	close_scene(&scene);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_reading_time),
	    cmocka_unit_test(test_long_prompt_is_read_in_parts),
	    cmocka_unit_test(test_memory_of_several),
	    cmocka_unit_test(test_long_prompts_take_turns),
	    cmocka_unit_test(test_a_large_fleet_reads_several),
	    cmocka_unit_test(test_hopeless_turn_is_refused),
	    cmocka_unit_test(test_late_behind_many_is_refused),
	    cmocka_unit_test(test_long_parts_spare_writers),
	    cmocka_unit_test(test_long_part_goes_to_the_only_engine),
	    cmocka_unit_test(test_no_long_part_waits_in_vain),
	    cmocka_unit_test(test_short_side_leads_only_with_helpers),
	    cmocka_unit_test(test_long_prompt_is_led_away_from_short_ones),
	    cmocka_unit_test(test_larger_short_prompts_are_read_in_parts),
	    cmocka_unit_test(test_short_and_long_stay_apart),
	    cmocka_unit_test(test_cold_bound_holds_in_every_second),
	    cmocka_unit_test(test_ejection_is_bounded),
	    cmocka_unit_test(test_newest_at_an_address_counts),
	    cmocka_unit_test(test_refused_attempts_leave_no_backlog),
	    cmocka_unit_test(test_reports_add_up),
	    cmocka_unit_test(test_silence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
