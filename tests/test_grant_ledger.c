/*
 * Tests of the grant ledger, the owner map and the reader of grant messages.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/random_source.h"
#include "coordination/capacity_math.h"
#include "coordination/grant_ledger.h"
#include "coordination/owner_map.h"

#define HOLDERS	 6
#define RUNS	 3000
#define STEPS	 60
#define KEYS	 2000
#define MESSAGES 20000

/* Whatever holders report, new offers never raise the counted sum over the
 * bound, or over its value before when that was higher. */
static void
test_division_stays_within_bound(void **state)
{
	struct capacity_amount bound, before, after;
	struct random_source random;
	struct grant_ledger ledger;
	struct ledger_holder *holder;
	struct grant_header header = {0};
	struct grant_report report;
	uint64_t number = 1;
	unsigned int run, step, i;

	(void)state;
	random_init(&random, 3);
	for (run = 0; run < RUNS; run++) {
		grant_ledger_init(&ledger);
		for (step = 1; step <= STEPS; step++) {
			memset(&report, 0, sizeof(report));
			holder = grant_ledger_find_or_add(
			    &ledger, 1 + random_below(&random, HOLDERS));
			header.instance = 1 + random_below(&random, 2);
			header.sequence = random_below(&random, 2 * STEPS);
			report.term = holder->term;
			report.offer_number =
			    holder->offer_number -
			    (random_below(&random, 3) == 0 ? 1 : 0);
			report.ceiling = holder->offered;
			report.used =
			    capacity_min(&holder->counted, &holder->offered);
			report.wanted.requests = random_below(&random, 30);
			report.wanted.prefill_tokens =
			    random_below(&random, 9000);
			report.wanted.kv_tokens = random_below(&random, 9000);
			report.largest_waiting = report.wanted;
			report.needed_percent = random_below(&random, 150);
			(void)grant_ledger_record_report(
			    holder, &header, &report, step, 20);
			bound.requests = random_below(&random, 40);
			bound.prefill_tokens = random_below(&random, 20000);
			bound.kv_tokens = random_below(&random, 20000);
			before = grant_ledger_counted(&ledger);
			grant_ledger_divide(&ledger, &bound, 0);
			after = grant_ledger_counted(&ledger);
			bound = capacity_max(&bound, &before);
			assert_true(capacity_fits(&after, &bound));
			for (i = 0; i < grant_ledger_count(&ledger); i++) {
				holder = grant_ledger_get(&ledger, i);
				if (holder->must_send_offer)
					holder->offer_number = ++number;
				holder->must_send_offer = false;
				assert_true(capacity_fits(
				    &holder->offered, &holder->counted));
			}
		}
		grant_ledger_finish(&ledger);
	}
}

/* When a host is removed, only the keys that it owned get another owner. */
static void
test_owner_map_moves_only_keys_of_removed_host(void **state)
{
	static const uint32_t all[] = {9, 2, 5, 7, 1}, fewer[] = {1, 9, 2, 7};
	struct owner_map before, after;
	enum owner_map_change change;
	uint64_t key;
	uint32_t old;

	(void)state;
	owner_map_init(&before);
	assert_int_equal(
	    owner_map_set(&before, 4, all, 5, &change), ERROR_NONE);
	assert_int_equal(change, OWNER_MAP_SKIPPED);
	after = before;
	assert_int_equal(
	    owner_map_set(&after, 5, fewer, 4, &change), ERROR_NONE);
	assert_int_equal(change, OWNER_MAP_REMOVED);
	for (key = 0; key < KEYS; key++) {
		old = owner_map_owner(&before, key);
		if (old != 5)
			assert_int_equal(owner_map_owner(&after, key), old);
		else
			assert_true(owner_map_owner(&after, key) != 5);
	}
	assert_int_equal(owner_map_set(&after, 5, all, 5, &change), ERROR_NONE);
	assert_int_equal(change, OWNER_MAP_UNCHANGED);
	assert_int_equal(owner_map_set(&after, 6, all, 5, &change), ERROR_NONE);
	assert_int_equal(change, OWNER_MAP_JOINED);
	assert_int_equal(
	    owner_map_set(&after, 8, fewer, 4, &change), ERROR_NONE);
	assert_int_equal(change, OWNER_MAP_SKIPPED);
	assert_int_equal(
	    owner_map_set(&after, 7, all, 5, &change), ERROR_STALE);
}

/* Truncated and corrupted messages are refused or read, and the reader never
 * goes past their end. */
static void
test_damaged_messages_are_read_within_bounds(void **state)
{
	struct grant_header header = {
	    .type = GRANT_MESSAGE_REPORT, .row_count = 3};
	struct random_source random;
	struct message_writer writer;
	struct grant_reader reader;
	struct grant_report report = {
	    .upstream_id = UINT64_MAX, .offer_number = 7};
	unsigned char bytes[512];
	unsigned int i, row;
	size_t size;

	(void)state;
	random_init(&random, 9);
	message_writer_init(&writer);
	grant_message_open(&writer, &header);
	for (i = 0; i < header.row_count; i++)
		grant_message_add_report(&writer, &report);
	assert_true(message_size(&writer) <= sizeof(bytes));
	for (i = 0; i < MESSAGES; i++) {
		size = message_size(&writer);
		memcpy(bytes, message_data(&writer), size);
		if (random_below(&random, 2) == 0)
			size = random_below(&random, (uint32_t)size);
		else
			bytes[random_below(&random, (uint32_t)size)] =
			    (unsigned char)random_below(&random, 256);
		if (grant_reader_init(&reader, bytes, size) != ERROR_NONE)
			continue;
		for (row = 0; row < reader.header.row_count; row++)
			(void)grant_reader_read_report(&reader, row, &report);
		assert_int_equal(
		    grant_reader_read_report(&reader, row, &report),
		    ERROR_NOT_FOUND);
		grant_reader_finish(&reader);
	}
	message_writer_finish(&writer);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_division_stays_within_bound),
	    cmocka_unit_test(test_owner_map_moves_only_keys_of_removed_host),
	    cmocka_unit_test(test_damaged_messages_are_read_within_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
