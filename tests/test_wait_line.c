#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "fake_config_source.h"
#include "fake_slots.h"
#include "service/wait_line.h"

#define START_MS     1000000
#define FAR_AHEAD_MS (INT64_C(1) << 50) /* Of any machine's own clock. */

/* The line's clock; a test moves it, since the line takes no context. */
static _Atomic int64_t clock_ms;

/* What it shows when a test begins. */
static int64_t start_ms = START_MS;

/* Everything that a line needs. */
struct scene {
	struct fake_config_source table;
	struct fake_slots slots;
	struct fleet fleet;
	struct prefix_index prefixes;
	struct router_mix mix;
	struct wait_line line;
};

static const struct fleet_settings fleet_settings = {
    .host_id = 1, .data_centre = "a"};

static const struct config_entry accounts[] = {
    {"client_account/big/token", "t1", 1},
    {"client_account/limited/requests_max", "1", 1},
    {"client_account/limited/token", "t2", 1},
};

static int64_t
read_clock(void)
{
	return atomic_load(&clock_ms);
}

/* Nobody signals in these tests: time passes on the fake clock only. */
static void
sleep_on_clock(
    pthread_cond_t *condition, pthread_mutex_t *mutex, int64_t until_ms)
{
	(void)condition;
	(void)mutex;
	atomic_store(&clock_ms, until_ms);
}

static void
open_scene(struct scene *scene, uint32_t granted_requests)
{
	struct wait_line_parts parts = {
	    .now_ms = read_clock, .wait_until = sleep_on_clock};
	struct config_source source;
	struct upstream_record record;
	struct fleet_ops ops;

	memset(scene, 0, sizeof(*scene));
	atomic_store(&clock_ms, start_ms);
	scene->table.entries = accounts;
	scene->table.count = 3;
	scene->slots.grant.requests = granted_requests;
	scene->slots.grant.prefill_tokens = 1000000;
	scene->slots.grant.kv_tokens = 1000000;
	ops = fake_slots_ops(&scene->slots);
	source = fake_config_source(&scene->table);
	fleet_init(&scene->fleet, &fleet_settings, &ops);
	record = fake_record("engine", "a", 1);
	fleet_put_upstream(&scene->fleet, &record);
	fleet_set_intent(&scene->fleet, &source);
	fleet_set_new_work_until(&scene->fleet, INT64_MAX);
	fleet_publish(&scene->fleet);
	prefix_index_init(&scene->prefixes, 64, 1000);
	parts.fleet = &scene->fleet;
	parts.prefixes = &scene->prefixes;
	parts.mix = &scene->mix;
	parts.queue.items_max = 3;
	parts.queue.account_items_max = 3;
	router_settings_fill(&parts.router);
	assert_int_equal(wait_line_init(&scene->line, &parts), ERROR_NONE);
}

static void
close_scene(struct scene *scene)
{
	wait_line_finish(&scene->line);
	prefix_index_finish(&scene->prefixes);
	fleet_finish(&scene->fleet);
}

static void
make_facts(struct request_facts *facts, uint64_t id, const char *account)
{
	memset(facts, 0, sizeof(*facts));
	facts->id = id;
	snprintf(facts->client_account, sizeof(facts->client_account), "%s",
	    account);
	snprintf(facts->model, sizeof(facts->model), "m");
	facts->is_idempotent = true;
	facts->prompt_tokens = 100;
	facts->answer_tokens_max = 10;
	facts->admitted_ms = start_ms;
	facts->deadline_ms = start_ms + 60000;
}

static enum error_code
enter(struct scene *scene, struct wait_ticket *ticket,
    struct request_facts *facts, uint64_t id, const char *account)
{
	make_facts(facts, id, account);
	wait_ticket_init(ticket, facts);
	return wait_line_enter(&scene->line, ticket);
}

static void
leave(struct scene *scene, struct wait_ticket *ticket)
{
	wait_line_leave(&scene->line, ticket);
	wait_ticket_finish(ticket);
}

/* One request runs where one may; the next starts when it leaves. */
static void
test_next_starts_when_room_comes_back(void **state)
{
	struct request_facts facts[2];
	struct wait_ticket tickets[2];
	struct scene scene;

	(void)state;
	open_scene(&scene, 1);
	assert_int_equal(
	    enter(&scene, &tickets[0], &facts[0], 1, "big"), ERROR_NONE);
	assert_true(tickets[0].has_started);
	assert_string_equal(tickets[0].assignment.upstream_name, "engine");
	assert_int_equal(
	    enter(&scene, &tickets[1], &facts[1], 2, "big"), ERROR_NONE);
	assert_false(tickets[1].has_started);
	assert_int_equal(
	    wait_line_await(&scene.line, &tickets[1], START_MS), ERROR_TIMEOUT);
	leave(&scene, &tickets[0]);
	assert_true(tickets[1].has_started);
	assert_int_equal(
	    wait_line_await(&scene.line, &tickets[1], START_MS), ERROR_NONE);
	leave(&scene, &tickets[1]);
	assert_int_equal(atomic_load(&scene.slots.slots[0].used_requests), 0);
	close_scene(&scene);
}

/* A clock that is far ahead of the machine's: waiting goes by it alone. */
static void
test_waits_by_its_own_clock(void **state)
{
	struct request_facts facts[2];
	struct wait_ticket tickets[2];
	struct scene scene;

	(void)state;
	start_ms = FAR_AHEAD_MS;
	open_scene(&scene, 1);
	enter(&scene, &tickets[0], &facts[0], 1, "big");
	assert_int_equal(
	    enter(&scene, &tickets[1], &facts[1], 2, "big"), ERROR_NONE);
	assert_int_equal(wait_line_await(&scene.line, &tickets[1], INT64_MAX),
	    ERROR_DEADLINE_UNREACHABLE);
	assert_true(atomic_load(&clock_ms) >= tickets[1].latest_start_ms);
	leave(&scene, &tickets[1]);
	leave(&scene, &tickets[0]);
	close_scene(&scene);
	start_ms = START_MS;
}

/* What can't make it any more is told at once, long before its deadline. */
static void
test_refused_as_soon_as_it_cannot_make_it(void **state)
{
	struct request_facts facts[2];
	struct wait_ticket tickets[2];
	struct scene scene;

	(void)state;
	open_scene(&scene, 1);
	enter(&scene, &tickets[0], &facts[0], 1, "big");
	assert_int_equal(
	    enter(&scene, &tickets[1], &facts[1], 2, "big"), ERROR_NONE);
	assert_true(tickets[1].latest_start_ms < facts[1].deadline_ms);
	atomic_store(&clock_ms, tickets[1].latest_start_ms);
	assert_int_equal(wait_line_await(&scene.line, &tickets[1], INT64_MAX),
	    ERROR_DEADLINE_UNREACHABLE);
	assert_true(tickets[1].retry_after_ms > 0);
	leave(&scene, &tickets[1]);
	leave(&scene, &tickets[0]);
	close_scene(&scene);
}

static void
test_refusals_are_typed_and_take_nothing(void **state)
{
	struct request_facts facts[4];
	struct wait_ticket tickets[4];
	struct scene scene;
	uint32_t i;

	(void)state;
	open_scene(&scene, 0);
	assert_int_equal(enter(&scene, &tickets[0], &facts[0], 1, "nobody"),
	    ERROR_UNAUTHENTICATED);
	leave(&scene, &tickets[0]);
	assert_int_equal(
	    enter(&scene, &tickets[0], &facts[0], 2, "limited"), ERROR_NONE);
	assert_int_equal(enter(&scene, &tickets[1], &facts[1], 3, "limited"),
	    ERROR_OVER_LIMIT);
	assert_true(tickets[1].retry_after_ms > 0);
	leave(&scene, &tickets[1]);
	for (i = 1; i < 3; i++)
		assert_int_equal(
		    enter(&scene, &tickets[i], &facts[i], 3 + i, "big"),
		    ERROR_NONE);
	assert_int_equal(
	    enter(&scene, &tickets[3], &facts[3], 9, "big"), ERROR_TABLE_FULL);
	leave(&scene, &tickets[3]);
	wait_line_close(&scene.line);
	assert_int_equal(enter(&scene, &tickets[3], &facts[3], 10, "big"),
	    ERROR_SHUTTING_DOWN);
	leave(&scene, &tickets[3]);
	for (i = 0; i < 3; i++)
		leave(&scene, &tickets[i]);
	assert_int_equal(atomic_load(&scene.line.waiting), 0);
	close_scene(&scene);
}

/* Without a configuration lease nothing starts; it does once it is back. */
static void
test_nothing_starts_without_a_lease(void **state)
{
	struct request_facts facts;
	struct wait_ticket ticket;
	struct scene scene;

	(void)state;
	open_scene(&scene, 1);
	fleet_set_new_work_until(&scene.fleet, START_MS);
	assert_int_equal(enter(&scene, &ticket, &facts, 1, "big"), ERROR_NONE);
	assert_false(ticket.has_started);
	fleet_set_new_work_until(&scene.fleet, START_MS + 1);
	wait_line_dispatch(&scene.line);
	assert_true(ticket.has_started);
	leave(&scene, &ticket);
	close_scene(&scene);
}

/* After all that fit were tried, the only one is better than none. */
static void
test_excluded_upstream_is_tried_again_if_it_is_the_only_one(void **state)
{
	struct request_facts facts;
	struct wait_ticket ticket;
	struct scene scene;

	(void)state;
	open_scene(&scene, 1);
	enter(&scene, &ticket, &facts, 1, "big");
	ticket.excluded[ticket.excluded_count++] = upstream_id("engine");
	assert_int_equal(wait_line_requeue(&scene.line, &ticket), ERROR_NONE);
	wait_line_dispatch(&scene.line);
	assert_true(ticket.has_started);
	leave(&scene, &ticket);
	close_scene(&scene);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_next_starts_when_room_comes_back),
	    cmocka_unit_test(test_waits_by_its_own_clock),
	    cmocka_unit_test(test_refused_as_soon_as_it_cannot_make_it),
	    cmocka_unit_test(test_refusals_are_typed_and_take_nothing),
	    cmocka_unit_test(test_nothing_starts_without_a_lease),
	    cmocka_unit_test(
		test_excluded_upstream_is_tried_again_if_it_is_the_only_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
