/*
 * Tests of short prompts that wait in placement for a slot or for a rate limit.
 * Some replay a part of a load scenario, whose name and seconds stand in
 * brackets.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "placement_fixture.h"

#define ANSWER_MS 2000 /* Time for which an answer takes a slot. */

/* A short prompt in the simulated overload below. */
struct chat {
	struct placement_queue_entry entry;
	struct placement_work work;
	int64_t arrived_ms;
	int64_t retry_ms; /* When to pick again, INT64_MAX once placed. */
	int64_t began_ms; /* When an engine gave it a slot, 0 before. */
	uint32_t engine;
	int64_t refused_ms; /* When it was refused, 0 if it was not. */
};

/* How a simulated overload ended. */
struct overload {
	uint32_t on_time; /* First event within the target. */
	uint32_t served;  /* First event while the caller waited. */
	uint32_t refused;
	uint32_t in_vain;     /* Neither: the caller waited in vain. */
	int64_t held_ms_most; /* Longest time until a refusal. */
};

/* Frees the slots of answers that are complete, and gives free slots to the
 * prompts at each engine in the order in which they came. */
static void
step_engines(struct placement_fixture *fixture, struct chat *chats,
    uint32_t count, int64_t now_ms)
{
	uint32_t taken[ENGINES] = {0}, i;

	for (i = 0; i < count; i++) {
		if (chats[i].began_ms == 0 || chats[i].work.upstream_id == 0)
			continue;
		if (now_ms >= chats[i].began_ms + ANSWER_MS) {
			placement_record_answer(
			    &fixture->placement, &chats[i].work, ANSWER_MS);
			placement_end(&fixture->placement, &chats[i].work);
		} else {
			taken[chats[i].engine]++;
		}
	}
	for (i = 0; i < count; i++) {
		if (chats[i].began_ms == 0 && chats[i].work.upstream_id != 0 &&
		    taken[chats[i].engine] < fixture->records[0].slots) {
			chats[i].began_ms = now_ms;
			taken[chats[i].engine]++;
		}
	}
}

/* Places the prompt if placement lets it start. */
static void
try_chat(struct placement_fixture *fixture, struct chat *chat, int64_t now_ms)
{
	struct placement_request request;
	struct placement_choice choice;
	enum error_code error;

	request = placement_fixture_request(
	    fixture, &fixture->chat, 2000, chat->arrived_ms);
	request.deadline_ms = chat->arrived_ms + 10000;
	error = placement_pick(
	    &fixture->placement, &request, now_ms, &chat->entry, &choice);
	if (error == ERROR_CHANGE_PENDING) {
		chat->retry_ms = now_ms + chat->entry.retry_ms;
		return;
	}
	placement_queue_leave(&fixture->placement, &chat->entry);
	if (error == ERROR_DEADLINE_UNREACHABLE || error == ERROR_NO_CAPACITY) {
		chat->refused_ms = now_ms;
		chat->retry_ms = INT64_MAX;
		return;
	}
	assert_int_equal(error, ERROR_NONE);
	placement_begin(
	    &fixture->placement, &request, &choice, now_ms, &chat->work);
	chat->retry_ms = INT64_MAX;
	for (chat->engine = 0;
	     fixture->records[chat->engine].id != chat->work.upstream_id;)
		chat->engine++;
}

static struct overload
count_ends(const struct placement_fixture *fixture, const struct chat *chats,
    uint32_t count)
{
	int64_t patience_ms = route_patience_ms(&fixture->chat);
	struct overload overload = {0};
	int64_t wait_ms;
	uint32_t i;

	for (i = 0; i < count; i++) {
		wait_ms = chats[i].began_ms - chats[i].arrived_ms;
		if (chats[i].refused_ms != 0)
			overload.held_ms_most = MAX(overload.held_ms_most,
			    chats[i].refused_ms - chats[i].arrived_ms);
		if (chats[i].refused_ms != 0 &&
		    chats[i].refused_ms < chats[i].arrived_ms + patience_ms) {
			overload.refused++;
		} else if (chats[i].began_ms == 0 || wait_ms > patience_ms) {
			overload.in_vain++;
		} else {
			overload.served++;
			overload.on_time += wait_ms <= 200;
		}
	}
	return overload;
}

/* Sends @p count short prompts at equal gaps to the engines and follows them to
 * their ends. */
static struct overload
run_overload(struct placement_fixture *fixture, uint32_t count, uint32_t gap_us)
{
	struct overload overload;
	struct chat *chats;
	int64_t now_ms;
	uint32_t i;

	chats = calloc(count, sizeof(*chats));
	assert_non_null(chats);
	for (i = 0; i < count; i++) {
		chats[i].arrived_ms = START_MS + (int64_t)i * gap_us / 1000;
		chats[i].retry_ms = chats[i].arrived_ms;
	}
	for (now_ms = START_MS; now_ms < START_MS + 20000; now_ms++) {
		step_engines(fixture, chats, count, now_ms);
		for (i = 0; i < count; i++) {
			if (chats[i].retry_ms <= now_ms)
				try_chat(fixture, &chats[i], now_ms);
		}
	}
	overload = count_ends(fixture, chats, count);
	print_message("%u: %u in time, %u served, %u refused, %u in vain, held "
		      "for %d ms at most\n",
	    count, overload.on_time, overload.served, overload.refused,
	    overload.in_vain, (int)overload.held_ms_most);
	free(chats);
	return overload;
}

/* Replays (citatnik trouble-1, seconds 6 to 12, a zone evacuated in a burst):
 * short answers need a sixth more slots than there are for eight seconds. A
 * queue at the engines would make nearly all of them late; instead most are in
 * time. Callers leave after two seconds without an event, so the others begin
 * before that or are refused; none waits in vain. */
static void
test_short_prompts_wait_for_a_slot(void **state)
{
	enum {
		CHATS = 1376,
		GAP_US = 5814
	}; /* 172 a second for 8 s. */
	struct overload overload;
	struct placement_fixture fixture;

	(void)state;
	placement_fixture_init(&fixture, 20);
	overload = run_overload(&fixture, CHATS, GAP_US);
	/* The slots suffice for 84 in 100, and nearly all of these are used. */
	assert_true(overload.on_time >= CHATS * 0.84 * 0.95);
	assert_int_equal(overload.in_vain, 0);
	/* Nor is more refused than the slots fall short of. */
	assert_true(overload.refused <= CHATS * 0.16);
	placement_fixture_finish(&fixture);
}

/* Replays (kjwr-hq, 13 of 18 engines dark under a burst of three): the engines
 * that are left have slots for a third of the short prompts. As many are served as
 * there are slots, and the others are told so well before their callers leave. */
static void
test_short_prompts_that_find_no_slot_are_refused_early(void **state)
{
	enum {
		CHATS = 960,
		GAP_US = 8333, /* 120 a second for 8 s. */
		DARK = 13,
	};
	struct overload overload;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init(&fixture, 22);
	for (i = 0; i < DARK; i++)
		placement_record_absence(
		    &fixture.placement, fixture.records[i].id, START_MS);
	overload = run_overload(&fixture, CHATS, GAP_US);
	/* 80 slots, each for four answers in 8 s. */
	assert_true(overload.served >= 80 * 4 * 0.95);
	assert_true(overload.in_vain <= CHATS / 50);
	assert_true(overload.refused >= CHATS / 2);
	placement_fixture_finish(&fixture);
}

/* Replays (citatnik trouble-1, second 36, all hosts restarted): every caller
 * comes back to the first host that is ready. Its limits on requests to
 * upstreams that may be cold let the requests through in a few seconds, so none
 * of them is refused that has the time to wait. */
static void
test_requests_wait_for_the_rate_limit(void **state)
{
	enum {
		HOSTS = 20,
		REQUESTS = 100,
		BOUND = 2
	};
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_work work = {0};
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t i, second, placed = 0;
	enum error_code error;

	(void)state;
	placement_fixture_init(&fixture, 21);
	/* Callers that wait for four seconds. */
	fixture.chat.pause_limit_ms = 500;
	fixture.placement.host_count = HOSTS;
	for (second = 0; second < 3; second++) {
		for (i = placed; i < REQUESTS; i++) {
			request = placement_fixture_request(
			    &fixture, &fixture.chat, 2000, START_MS);
			error = placement_pick(&fixture.placement, &request,
			    START_MS + second * 1000, &entry, &choice);
			placement_queue_leave(&fixture.placement, &entry);
			if (error != ERROR_NONE)
				break;
			placement_begin(&fixture.placement, &request, &choice,
			    START_MS + second * 1000, &work);
			placement_end(&fixture.placement, &work);
			placed++;
		}
		assert_int_equal(
		    placed, MIN((second + 1) * ENGINES * BOUND, REQUESTS));
		assert_int_equal(error,
		    placed < REQUESTS ? ERROR_CHANGE_PENDING : ERROR_NONE);
	}
	request =
	    placement_fixture_request(&fixture, &fixture.chat, 2000, START_MS);
	request.deadline_ms = START_MS + 2000 + 100;
	for (i = 0; i < ENGINES * BOUND; i++) {
		error = placement_pick(&fixture.placement, &request,
		    START_MS + 2000, &entry, &choice);
		if (error != ERROR_NONE)
			break;
		placement_begin(&fixture.placement, &request, &choice,
		    START_MS + 2000, &work);
		placement_end(&fixture.placement, &work);
	}
	assert_int_equal(error, ERROR_NO_CAPACITY);
	placement_fixture_finish(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_short_prompts_wait_for_a_slot),
	    cmocka_unit_test(
		test_short_prompts_that_find_no_slot_are_refused_early),
	    cmocka_unit_test(test_requests_wait_for_the_rate_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
