/*
 * Tests of the wait line, in which requests wait for capacity.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "fake_config_source.h"
#include "fake_slots.h"
#include "request/wait_line.h"

#define START_MS	   1000000
#define CLOCK_FAR_AHEAD_MS (INT64_C(1) << 50) /* Beyond any real clock. */

/* Time on the fake clock. Global because the clock callbacks of the wait line
 * get no context. */
static _Atomic int64_t clock_ms;

/* Time on the fake clock when a test begins. */
static int64_t start_ms = START_MS;

/* A wait line and the modules that it uses. */
struct fixture {
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

/* Replaces the wait for a signal: nobody signals in these tests, so the fake
 * clock jumps to the end of the wait. */
static void
sleep_on_clock(
    pthread_cond_t *condition, pthread_mutex_t *mutex, int64_t until_ms)
{
	(void)condition;
	(void)mutex;
	atomic_store(&clock_ms, until_ms);
}

static void
open_fixture(struct fixture *fixture, uint32_t granted_requests)
{
	struct wait_line_parts parts = {
	    .now_ms = read_clock, .wait_until = sleep_on_clock};
	struct config_source source;
	struct upstream_record record;
	struct fleet_ops ops;

	memset(fixture, 0, sizeof(*fixture));
	atomic_store(&clock_ms, start_ms);
	fixture->table.entries = accounts;
	fixture->table.count = 3;
	fixture->slots.grant.requests = granted_requests;
	fixture->slots.grant.prefill_tokens = 1000000;
	fixture->slots.grant.kv_tokens = 1000000;
	ops = fake_slots_ops(&fixture->slots);
	source = fake_config_source(&fixture->table);
	fleet_init(&fixture->fleet, &fleet_settings, &ops);
	record = fake_upstream_record("engine", "a", 1);
	fleet_put_upstream(&fixture->fleet, &record);
	fleet_set_intent(&fixture->fleet, &source);
	fleet_set_new_work_until(&fixture->fleet, INT64_MAX);
	fleet_publish(&fixture->fleet);
	prefix_index_init(&fixture->prefixes, 64, 1000);
	parts.fleet = &fixture->fleet;
	parts.prefixes = &fixture->prefixes;
	parts.mix = &fixture->mix;
	parts.queue.items_max = 3;
	parts.queue.account_items_max = 3;
	router_settings_fill(&parts.router);
	assert_int_equal(wait_line_init(&fixture->line, &parts), ERROR_NONE);
}

static void
close_fixture(struct fixture *fixture)
{
	wait_line_finish(&fixture->line);
	prefix_index_finish(&fixture->prefixes);
	fleet_finish(&fixture->fleet);
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
enter(struct fixture *fixture, struct wait_ticket *ticket,
    struct request_facts *facts, uint64_t id, const char *account)
{
	make_facts(facts, id, account);
	wait_ticket_init(ticket, facts);
	return wait_line_enter(&fixture->line, ticket);
}

static void
leave(struct fixture *fixture, struct wait_ticket *ticket)
{
	wait_line_leave(&fixture->line, ticket);
	wait_ticket_finish(ticket);
}

/* With capacity for one request, the second one starts when the first one
 * leaves. */
static void
test_next_request_starts_when_capacity_is_released(void **state)
{
	struct request_facts facts[2];
	struct wait_ticket tickets[2];
	struct fixture fixture;

	(void)state;
	open_fixture(&fixture, 1);
	assert_int_equal(
	    enter(&fixture, &tickets[0], &facts[0], 1, "big"), ERROR_NONE);
	assert_true(tickets[0].has_started);
	assert_string_equal(tickets[0].assignment.upstream_name, "engine");
	assert_int_equal(
	    enter(&fixture, &tickets[1], &facts[1], 2, "big"), ERROR_NONE);
	assert_false(tickets[1].has_started);
	assert_int_equal(wait_line_await(&fixture.line, &tickets[1], START_MS),
	    ERROR_TIMEOUT);
	leave(&fixture, &tickets[0]);
	assert_true(tickets[1].has_started);
	assert_int_equal(
	    wait_line_await(&fixture.line, &tickets[1], START_MS), ERROR_NONE);
	leave(&fixture, &tickets[1]);
	assert_int_equal(atomic_load(&fixture.slots.slots[0].used_requests), 0);
	close_fixture(&fixture);
}

/* Waits must use the injected clock only; here it is far ahead of the
 * machine's clock. */
static void
test_waits_use_injected_clock_only(void **state)
{
	struct request_facts facts[2];
	struct wait_ticket tickets[2];
	struct fixture fixture;

	(void)state;
	start_ms = CLOCK_FAR_AHEAD_MS;
	open_fixture(&fixture, 1);
	enter(&fixture, &tickets[0], &facts[0], 1, "big");
	assert_int_equal(
	    enter(&fixture, &tickets[1], &facts[1], 2, "big"), ERROR_NONE);
	assert_int_equal(wait_line_await(&fixture.line, &tickets[1], INT64_MAX),
	    ERROR_DEADLINE_UNREACHABLE);
	assert_true(atomic_load(&clock_ms) >= tickets[1].latest_start_ms);
	leave(&fixture, &tickets[1]);
	leave(&fixture, &tickets[0]);
	close_fixture(&fixture);
	start_ms = START_MS;
}

/* A request that can no longer be answered in time is refused at once, long
 * before its deadline. */
static void
test_refused_as_soon_as_deadline_is_unreachable(void **state)
{
	struct request_facts facts[2];
	struct wait_ticket tickets[2];
	struct fixture fixture;

	(void)state;
	open_fixture(&fixture, 1);
	enter(&fixture, &tickets[0], &facts[0], 1, "big");
	assert_int_equal(
	    enter(&fixture, &tickets[1], &facts[1], 2, "big"), ERROR_NONE);
	assert_true(tickets[1].latest_start_ms < facts[1].deadline_ms);
	atomic_store(&clock_ms, tickets[1].latest_start_ms);
	assert_int_equal(wait_line_await(&fixture.line, &tickets[1], INT64_MAX),
	    ERROR_DEADLINE_UNREACHABLE);
	assert_true(tickets[1].retry_after_ms > 0);
	leave(&fixture, &tickets[1]);
	leave(&fixture, &tickets[0]);
	close_fixture(&fixture);
}

static void
test_refusals_have_error_codes_and_take_no_capacity(void **state)
{
	struct request_facts facts[4];
	struct wait_ticket tickets[4];
	struct fixture fixture;
	uint32_t i;

	(void)state;
	open_fixture(&fixture, 0);
	assert_int_equal(enter(&fixture, &tickets[0], &facts[0], 1, "nobody"),
	    ERROR_UNAUTHENTICATED);
	leave(&fixture, &tickets[0]);
	assert_int_equal(
	    enter(&fixture, &tickets[0], &facts[0], 2, "limited"), ERROR_NONE);
	assert_int_equal(enter(&fixture, &tickets[1], &facts[1], 3, "limited"),
	    ERROR_OVER_LIMIT);
	assert_true(tickets[1].retry_after_ms > 0);
	leave(&fixture, &tickets[1]);
	for (i = 1; i < 3; i++)
		assert_int_equal(
		    enter(&fixture, &tickets[i], &facts[i], 3 + i, "big"),
		    ERROR_NONE);
	assert_int_equal(enter(&fixture, &tickets[3], &facts[3], 9, "big"),
	    ERROR_TABLE_FULL);
	leave(&fixture, &tickets[3]);
	wait_line_close(&fixture.line);
	assert_int_equal(enter(&fixture, &tickets[3], &facts[3], 10, "big"),
	    ERROR_SHUTTING_DOWN);
	leave(&fixture, &tickets[3]);
	for (i = 0; i < 3; i++)
		leave(&fixture, &tickets[i]);
	assert_int_equal(atomic_load(&fixture.line.waiting), 0);
	close_fixture(&fixture);
}

/* No request starts without a configuration lease; a renewed one starts it. */
static void
test_no_request_starts_without_a_lease(void **state)
{
	struct request_facts facts;
	struct wait_ticket ticket;
	struct fixture fixture;

	(void)state;
	open_fixture(&fixture, 1);
	fleet_set_new_work_until(&fixture.fleet, START_MS);
	assert_int_equal(
	    enter(&fixture, &ticket, &facts, 1, "big"), ERROR_NONE);
	assert_false(ticket.has_started);
	fleet_set_new_work_until(&fixture.fleet, START_MS + 1);
	wait_line_dispatch(&fixture.line);
	assert_true(ticket.has_started);
	leave(&fixture, &ticket);
	close_fixture(&fixture);
}

/* If every suitable upstream is excluded after failed attempts, an excluded one
 * is used again. */
static void
test_sole_upstream_is_retried_although_excluded(void **state)
{
	struct request_facts facts;
	struct wait_ticket ticket;
	struct fixture fixture;

	(void)state;
	open_fixture(&fixture, 1);
	enter(&fixture, &ticket, &facts, 1, "big");
	ticket.excluded[ticket.excluded_count++] = upstream_id("engine");
	assert_int_equal(wait_line_requeue(&fixture.line, &ticket), ERROR_NONE);
	wait_line_dispatch(&fixture.line);
	assert_true(ticket.has_started);
	leave(&fixture, &ticket);
	close_fixture(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_next_request_starts_when_capacity_is_released),
	    cmocka_unit_test(test_waits_use_injected_clock_only),
	    cmocka_unit_test(test_refused_as_soon_as_deadline_is_unreachable),
	    cmocka_unit_test(
		test_refusals_have_error_codes_and_take_no_capacity),
	    cmocka_unit_test(test_no_request_starts_without_a_lease),
	    cmocka_unit_test(test_sole_upstream_is_retried_although_excluded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
