#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "coordination/quarantine.h"

#define GUILTY	  UINT64_C(7)
#define COMMITS	  4096
#define HOUR_MS	  INT64_C(3600000)
#define SETTLE_MS 5000 /* Longer than an event. */

struct fixture {
	struct timer_service timers;
	struct quarantine quarantine;
	struct quarantine_entry commits[COMMITS];
	uint32_t commit_count;
};

static struct fixture fixture;

static void
note_commit(
    void *context, const struct quarantine_entry *entries, uint32_t count)
{
	struct fixture *noted = context;
	uint32_t i;

	for (i = 0; i < count && noted->commit_count < COMMITS; i++)
		noted->commits[noted->commit_count++] = entries[i];
}

static int
start(void **state)
{
	const struct quarantine_ops ops = {note_commit, &fixture};
	struct quarantine_settings settings = quarantine_default_settings();

	*state = &fixture;
	fixture.commit_count = 0;
	settings.suspects_max = 100;
	timer_init(&fixture.timers, 16, 1000);
	return quarantine_init(
	    &fixture.quarantine, &settings, &ops, &fixture.timers);
}

static int
stop(void **state)
{
	(void)state;
	quarantine_finish(&fixture.quarantine);
	timer_finish(&fixture.timers);
	return 0;
}

static void
wait_ms(int64_t duration_ms)
{
	timer_advance(
	    &fixture.timers, timer_now(&fixture.timers) + duration_ms);
}

/* The guilty one and count - 1 others, numbered from @p others on. */
static void
crash(
    uint64_t upstream, const char *data_centre, uint64_t others, uint32_t count)
{
	uint64_t fingerprints[64] = {GUILTY};
	struct quarantine_crash told = {
	    upstream, 1, data_centre, fingerprints, count, 0};
	uint32_t i;

	for (i = 1; i < count; i++)
		fingerprints[i] = others + i;
	quarantine_record_crash(&fixture.quarantine, &told);
}

static void
expect(uint64_t fingerprint, enum quarantine_action verdict)
{
	assert_int_equal(
	    quarantine_check(&fixture.quarantine, fingerprint), verdict);
}

static void
test_second_crash_quarantines(void **state)
{
	(void)state;
	expect(GUILTY, QUARANTINE_RUN);
	crash(1, "regina", 100, 20);
	expect(GUILTY, QUARANTINE_RUN_ALONE);
	expect(101, QUARANTINE_RUN_ALONE);
	/* The others ran alone, and to their end. */
	quarantine_record_completed(&fixture.quarantine, 101);
	expect(101, QUARANTINE_RUN);
	/* At once, on another upstream: alone it is no victim of an event. */
	crash(2, "regina", 0, 1);
	expect(GUILTY, QUARANTINE_REFUSE);
	wait_ms(1000);
	assert_true(fixture.commit_count >= 1);
	assert_int_equal(fixture.commits[0].fingerprint, GUILTY);
	assert_int_equal(fixture.commits[0].action, QUARANTINE_REFUSE);
	/* It ends by itself. */
	wait_ms(2 * HOUR_MS);
	expect(GUILTY, QUARANTINE_RUN);
}

/* Crashes in a crowd never quarantine, however many. */
static void
test_crowd_is_not_quarantined(void **state)
{
	uint32_t i;

	(void)state;
	for (i = 0; i < 5; i++) {
		crash(i, "regina", 100, 30);
		wait_ms(SETTLE_MS);
	}
	expect(GUILTY, QUARANTINE_RUN_ALONE);
	expect(101, QUARANTINE_RUN_ALONE);
}

static void
test_data_centre_loss_blames_nobody(void **state)
{
	uint32_t i;

	(void)state;
	for (i = 0; i < 6; i++) {
		crash(i, "regina", UINT64_C(100) * i, i == 0 ? 4 : 3);
		wait_ms(100);
	}
	/* On each of the six, the guilty one can be no chance victim. */
	expect(GUILTY, QUARANTINE_RUN_ALONE);
	for (i = 0; i < 6; i++)
		expect(UINT64_C(100) * i + 1, QUARANTINE_RUN);
	wait_ms(SETTLE_MS);
	assert_int_equal(fixture.commit_count, 1);
	assert_int_equal(fixture.commits[0].fingerprint, GUILTY);
}

/* A suspect that runs alone where a data centre dies is let go again. */
static void
test_alone_in_data_centre_loss(void **state)
{
	const uint64_t other[] = {900, 901, 902};
	struct quarantine_crash told = {0, 1, "regina", other, 1, 0};
	uint32_t i;

	(void)state;
	crash(50, "winnipeg", 100, 5);
	wait_ms(SETTLE_MS);
	crash(51, "regina", 0, 1);
	expect(GUILTY, QUARANTINE_REFUSE);
	for (i = 0; i < 3; i++) {
		told.upstream_id = 60 + i;
		told.fingerprints = &other[i];
		quarantine_record_crash(&fixture.quarantine, &told);
	}
	expect(GUILTY, QUARANTINE_RUN_ALONE);
}

/* One crash told twice, by two connections, is one crash. */
static void
test_same_upstream_counts_once(void **state)
{
	(void)state;
	crash(1, "regina", 100, 3);
	crash(1, "regina", 100, 3);
	crash(1, "regina", 100, 3);
	expect(GUILTY, QUARANTINE_RUN_ALONE);
	expect(101, QUARANTINE_RUN_ALONE);
}

static void
test_committed_entries_hold_here(void **state)
{
	struct quarantine_entry entry = {
	    GUILTY, QUARANTINE_RUN_ALONE, 1, 50, HOUR_MS};

	(void)state;
	quarantine_apply(&fixture.quarantine, &entry);
	expect(GUILTY, QUARANTINE_RUN_ALONE);
	/* The second crash is seen here, the first was seen elsewhere. */
	crash(1, "regina", 0, 1);
	expect(GUILTY, QUARANTINE_REFUSE);
	entry.action = QUARANTINE_REFUSE;
	entry.crashes = 2;
	quarantine_apply(&fixture.quarantine, &entry);
	expect(GUILTY, QUARANTINE_REFUSE);
	entry.action = QUARANTINE_RUN;
	quarantine_apply(&fixture.quarantine, &entry);
	expect(GUILTY, QUARANTINE_RUN);
}

static void
test_table_is_bounded(void **state)
{
	uint32_t i;

	(void)state;
	for (i = 0; i < 20; i++) {
		crash(i, "regina", UINT64_C(1000) * i, 50);
		wait_ms(SETTLE_MS);
	}
	assert_true(g_hash_table_size(fixture.quarantine.suspects) <= 100);
	assert_true(g_queue_get_length(fixture.quarantine.by_age) <= 100);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_second_crash_quarantines, start, stop),
	    cmocka_unit_test_setup_teardown(
		test_crowd_is_not_quarantined, start, stop),
	    cmocka_unit_test_setup_teardown(
		test_data_centre_loss_blames_nobody, start, stop),
	    cmocka_unit_test_setup_teardown(
		test_alone_in_data_centre_loss, start, stop),
	    cmocka_unit_test_setup_teardown(
		test_same_upstream_counts_once, start, stop),
	    cmocka_unit_test_setup_teardown(
		test_committed_entries_hold_here, start, stop),
	    cmocka_unit_test_setup_teardown(test_table_is_bounded, start, stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
