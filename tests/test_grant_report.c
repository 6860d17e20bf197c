/*
 * Tests of the demand reports that a grant holder sends to owners.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/grant_holder_parts.h"

#define HOST_ID	    1
#define UPSTREAM_ID 7
#define TIMERS	    16

/* A holder with one open upstream and no owners yet. */
struct fixture {
	struct timer_service timers;
	struct owner_map map;
	struct grant_holder holder;
	struct held_upstream *entry;
	unsigned int sent;
};

static void
count_message(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	(void)host_id;
	(void)channel;
	(void)body;
	(void)size;
	((struct fixture *)context)->sent++;
}

static void
fixture_init(struct fixture *fixture)
{
	struct grant_holder_settings settings;
	struct capacity_slot *slot;
	uint64_t id = UPSTREAM_ID;

	memset(fixture, 0, sizeof(*fixture));
	settings = grant_holder_default_settings(HOST_ID, 1);
	timer_init(&fixture->timers, TIMERS, 0);
	owner_map_init(&fixture->map);
	assert_int_equal(
	    grant_holder_init(&fixture->holder, &settings, NULL,
		&fixture->timers, (struct peer_port){count_message, fixture},
		&fixture->map),
	    ERROR_NONE);
	assert_int_equal(
	    grant_holder_open(&fixture->holder, UPSTREAM_ID, 1, &slot),
	    ERROR_NONE);
	fixture->entry = g_hash_table_lookup(fixture->holder.entries, &id);
	assert_non_null(fixture->entry);
}

static void
fixture_finish(struct fixture *fixture)
{
	grant_holder_finish(&fixture->holder);
	timer_finish(&fixture->timers);
}

/* The recorded peak of a few requests fades from report to report, as that of
 * many does. */
static void
test_small_peak_fades_in_steps(void **state)
{
	struct fixture fixture;
	struct grant_report row;

	(void)state;
	fixture_init(&fixture);
	fixture.entry->peak.requests = 12;
	grant_fill_report_row(&fixture.holder, fixture.entry, &row);
	assert_int_equal(fixture.entry->peak.requests, 9);
	assert_int_equal(row.wanted.requests, 11);
	grant_fill_report_row(&fixture.holder, fixture.entry, &row);
	assert_int_equal(fixture.entry->peak.requests, 6);
	fixture_finish(&fixture);
}

/* A report that is due while no host owns the upstream is sent once one
 * does. */
static void
test_report_waits_for_an_owner(void **state)
{
	const uint32_t owner = 2;
	enum owner_map_change change;
	struct fixture fixture;

	(void)state;
	fixture_init(&fixture);
	fixture.entry->must_report = true;
	grant_flush_reports(&fixture.holder, false);
	assert_int_equal(fixture.sent, 0);
	assert_int_equal(
	    owner_map_set(&fixture.map, 1, &owner, 1, &change), ERROR_NONE);
	grant_flush_reports(&fixture.holder, false);
	assert_int_equal(fixture.sent, 1);
	grant_flush_reports(&fixture.holder, false);
	assert_int_equal(fixture.sent, 1);
	fixture_finish(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_small_peak_fades_in_steps),
	    cmocka_unit_test(test_report_waits_for_an_owner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
