/*
 * Tests of which upstreams placement uses: cold, ejected, limited, silent and
 * unreached ones, and what other hosts report. Some replay a part of a load
 * scenario, whose name and seconds stand in brackets.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "placement_fixture.h"
#include "state/upstream.h"

/* In no second does a host send an upstream more than the host's share of the
 * cold limit. */
static void
test_cold_bound_holds_in_every_second(void **state)
{
	int64_t sent[2000];
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work;
	uint32_t count, from, i;
	struct placement_fixture fixture;
	int64_t now_ms;

	(void)state;
	placement_fixture_init(&fixture, 6);
	fixture.placement.host_count = 8;
	placement_update(&fixture.placement, fixture.records, 1, START_MS);
	count = 0;
	for (now_ms = START_MS; now_ms < START_MS + 5000; now_ms += 5) {
		request = placement_fixture_request(
		    &fixture, &fixture.chat, 100, now_ms);
		if (placement_pick(&fixture.placement, &request, now_ms, &entry,
			&choice) != ERROR_NONE)
			continue;
		memset(&work, 0, sizeof(work));
		placement_begin(
		    &fixture.placement, &request, &choice, now_ms, &work);
		placement_end(&fixture.placement, &work);
		sent[count++] = now_ms;
	}
	assert_true(count > 20);
	for (i = 0; i < count; i++) {
		for (from = i; from > 0 && sent[i] - sent[from - 1] < 1000;
		     from--)
			continue;
		/* The limit is (36 * 1.5 + 5) / 8: rate times overshoot plus
		 * slack, divided by the number of hosts. */
		assert_true(i - from + 1 <= 7);
	}
	placement_fixture_finish(&fixture);
}

/* An upstream is ejected after two failures in a row. When most upstreams are
 * ejected, they are used all the same. */
static void
test_ejection_is_bounded(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init(&fixture, 7);
	placement_update(&fixture.placement, fixture.records, 4, START_MS);
	request =
	    placement_fixture_request(&fixture, &fixture.chat, 5000, START_MS);
	for (i = 0; i < 2; i++) {
		placement_record_failure(
		    &fixture.placement, fixture.records[0].id, START_MS);
		placement_record_failure(
		    &fixture.placement, fixture.records[0].id, START_MS);
	}
	for (i = 0; i < 50; i++) {
		assert_int_equal(placement_pick(&fixture.placement, &request,
				     START_MS + 10, &entry, &choice),
		    ERROR_NONE);
		assert_true(choice.upstream->id != fixture.records[0].id);
	}
	for (i = 1; i < 4; i++) {
		placement_record_failure(
		    &fixture.placement, fixture.records[i].id, START_MS);
		placement_record_failure(
		    &fixture.placement, fixture.records[i].id, START_MS);
	}
	assert_int_equal(placement_pick(&fixture.placement, &request,
			     START_MS + 10, &entry, &choice),
	    ERROR_NONE);
	placement_fixture_finish(&fixture);
}

/* A host that starts among many others can't know how old the upstreams are that
 * it finds. If it took them for cold, its callers would wait at all of them. */
static void
test_host_that_starts_uses_the_upstreams_that_it_finds(void **state)
{
	enum {
		HOSTS = 300,
		SECOND_PART_MS = 500,
		LATER_MS = 10000
	};
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_fixture fixture;
	int64_t now_ms;

	(void)state;
	placement_fixture_init_engines(&fixture, 7, 1);
	fixture.service.cold_ms = 3000;
	/* Callers that wait for four seconds, longer than a turn may take. */
	fixture.chat.pause_limit_ms = 500;
	placement_set_hosts(&fixture.placement, HOSTS, HOSTS - 1, START_MS);
	request =
	    placement_fixture_request(&fixture, &fixture.chat, 5000, START_MS);
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_NONE);
	fixture.records[0].id = upstream_id("second");
	now_ms = START_MS + SECOND_PART_MS;
	placement_update(&fixture.placement, fixture.records, 1, now_ms);
	assert_int_equal(placement_pick(&fixture.placement, &request, now_ms,
			     &entry, &choice),
	    ERROR_NONE);
	/* One that starts later is cold. */
	fixture.records[0].incarnation++;
	now_ms = START_MS + LATER_MS;
	placement_update(&fixture.placement, fixture.records, 1, now_ms);
	request =
	    placement_fixture_request(&fixture, &fixture.chat, 5000, now_ms);
	assert_int_equal(placement_pick(&fixture.placement, &request, now_ms,
			     &entry, &choice),
	    ERROR_CHANGE_PENDING);
	placement_fixture_finish(&fixture);
}

/* Upstreams that end together look idle to every host, so each host would send
 * there. A host that finds nothing listening at an upstream avoids it at once,
 * and so do the hosts that it tells. */
static void
test_upstream_that_has_ended_is_avoided_at_once(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct message_writer report;
	struct placement_fixture fixtures[2];
	uint32_t i, host;

	(void)state;
	for (host = 0; host < 2; host++) {
		placement_fixture_init(&fixtures[host], 7 + host);
		placement_set_hosts(
		    &fixtures[host].placement, 2, host, START_MS);
		placement_update(&fixtures[host].placement,
		    fixtures[host].records, 4, START_MS);
	}
	placement_record_absence(
	    &fixtures[0].placement, fixtures[0].records[0].id, START_MS);
	message_writer_init(&report);
	placement_report_write(
	    &fixtures[0].placement, 1, START_MS + 1, &report);
	assert_int_equal(placement_report_receive(&fixtures[1].placement, 9,
			     message_data(&report), message_size(&report),
			     START_MS + 1, START_MS + 2),
	    ERROR_NONE);
	message_writer_finish(&report);
	for (host = 0; host < 2; host++) {
		request = placement_fixture_request(
		    &fixtures[host], &fixtures[host].chat, 5000, START_MS);
		for (i = 0; i < 50; i++) {
			assert_int_equal(
			    placement_pick(&fixtures[host].placement, &request,
				START_MS + 10, &entry, &choice),
			    ERROR_NONE);
			assert_true(choice.upstream->id !=
				    fixtures[host].records[0].id);
		}
		placement_fixture_finish(&fixtures[host]);
	}
}

/* Addresses are reused. Of two upstreams at the same address, the one with the
 * later incarnation is there. */
static void
test_latest_incarnation_at_an_address_is_chosen(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_fixture fixture;

	(void)state;
	placement_fixture_init(&fixture, 8);
	fixture.records[1].address = fixture.records[0].address;
	fixture.records[1].incarnation = 9;
	placement_update(&fixture.placement, fixture.records, 2, START_MS);
	request =
	    placement_fixture_request(&fixture, &fixture.chat, 5000, START_MS);
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_NONE);
	assert_true(choice.upstream->id == fixture.records[1].id);
	request.tried[request.tried_count++] = fixture.records[1].id;
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_NO_CAPACITY);
	placement_fixture_finish(&fixture);
}

/* Replays crashes of replicas: every attempt on a long prompt is refused at
 * once. A prompt that was not prefilled must leave no backlog behind. */
static void
test_refused_attempts_leave_no_backlog(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work;
	struct split_demand demand;
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init(&fixture, 12);
	for (i = 0; i < 40; i++) {
		request = placement_fixture_request(
		    &fixture, &fixture.review, 180000, START_MS + i);
		memset(&work, 0, sizeof(work));
		assert_int_equal(placement_pick(&fixture.placement, &request,
				     START_MS + i, &entry, &choice),
		    ERROR_NONE);
		placement_queue_leave(&fixture.placement, &entry);
		placement_begin(
		    &fixture.placement, &request, &choice, START_MS + i, &work);
		placement_end(&fixture.placement, &work);
	}
	assert_true(choice.wait_ms < 1);
	demand = choice.demand;
	assert_true(demand.long_engines < 3);
	placement_fixture_finish(&fixture);
}

/* A host that is cut off from the others takes no larger share of what a cold
 * upstream bears: the others may go on sending. */
static void
test_cut_off_host_keeps_to_its_share(void **state)
{
	struct placement_fixture fixture;

	(void)state;
	placement_fixture_init(&fixture, 11);
	placement_set_hosts(&fixture.placement, 8, 3, START_MS);
	placement_set_hosts(&fixture.placement, 1, 0, START_MS + 5000);
	assert_int_equal(fixture.placement.host_count, 8);
	placement_set_hosts(&fixture.placement, 9, 3, START_MS + 30000);
	assert_int_equal(fixture.placement.host_count, 9);
	/* Hosts that stay away have left. */
	placement_set_hosts(&fixture.placement, 6, 3, START_MS + 89000);
	assert_int_equal(fixture.placement.host_count, 9);
	placement_set_hosts(&fixture.placement, 6, 3, START_MS + 90000);
	assert_int_equal(fixture.placement.host_count, 6);
	placement_fixture_finish(&fixture);
}

/* A limit that one host hears binds the host that it tells, until an upstream
 * of a later incarnation is there, and a request that it delays too long is
 * refused at once with the time to come back. */
static void
test_limit_heard_by_one_host_binds_the_others(void **state)
{
	const struct upstream_statement limit = {
	    .has_limit = true, .limit_per_s = 0.5};
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct message_writer writer;
	struct placement_fixture here, there;

	(void)state;
	placement_fixture_init_engines(&here, 9, 1);
	placement_fixture_init_engines(&there, 10, 1);
	here.placement.host_count = there.placement.host_count = 8;
	here.placement.host_rank = 0;
	assert_false(placement_record_notice(
	    &there.placement, there.records[0].id, 2, &limit, START_MS));
	assert_true(placement_record_notice(
	    &there.placement, there.records[0].id, 1, &limit, START_MS));
	message_writer_init(&writer);
	placement_report_write(&there.placement, 77, START_MS + 10, &writer);
	assert_int_equal(
	    placement_report_receive(&here.placement, 2, message_data(&writer),
		message_size(&writer), START_MS + 10, START_MS + 20),
	    ERROR_NONE);
	message_writer_finish(&writer);
	request =
	    placement_fixture_request(&here, &here.chat, 100, START_MS + 20);
	request.deadline_ms = START_MS + 2000;
	/* The first turn may be this host's; the second is far away. */
	(void)placement_pick(
	    &here.placement, &request, START_MS + 20, &entry, &choice);
	upstream_notice_record_send(&placement_fixture_engine(&here, 0)->notice,
	    (struct notice_share){.host_count = 8}, START_MS + 20);
	assert_int_equal(placement_pick(&here.placement, &request,
			     START_MS + 30, &entry, &choice),
	    ERROR_DEADLINE_UNREACHABLE);
	assert_true(placement_retry_after(
			&here.placement, &here.service, START_MS + 30) > 1000);
	here.records[0].incarnation = 2;
	placement_update(&here.placement, here.records, 1, START_MS);
	assert_int_equal(placement_pick(&here.placement, &request,
			     START_MS + 40, &entry, &choice),
	    ERROR_NONE);
	placement_fixture_finish(&here);
	placement_fixture_finish(&there);
}

/* Work that one host reports is seen by another host and counted once. */
static void
test_reports_of_other_hosts_are_counted_once(void **state)
{
	struct placement_upstream *upstream;
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work = {0};
	struct message_writer writer;
	struct placement_fixture here, there;

	(void)state;
	placement_fixture_init(&here, 9);
	placement_fixture_init(&there, 10);
	request =
	    placement_fixture_request(&there, &there.chat, 20000, START_MS);
	placement_pick(&there.placement, &request, START_MS, &entry, &choice);
	placement_begin(&there.placement, &request, &choice, START_MS, &work);
	message_writer_init(&writer);
	placement_report_write(&there.placement, 77, START_MS, &writer);
	assert_int_equal(
	    placement_report_receive(&here.placement, 2, message_data(&writer),
		message_size(&writer), START_MS + 1, START_MS + 1),
	    ERROR_NONE);
	assert_int_equal(
	    placement_report_receive(&here.placement, 2, message_data(&writer),
		message_size(&writer), START_MS + 1, START_MS + 1),
	    ERROR_STALE);
	assert_int_equal(placement_report_receive(&here.placement, 2, "x", 1,
			     START_MS + 1, START_MS + 1),
	    ERROR_MALFORMED);
	message_writer_finish(&writer);
	request = placement_fixture_request(&here, &here.chat, 20000, START_MS);
	placement_pick(
	    &here.placement, &request, START_MS + 2, &entry, &choice);
	upstream =
	    g_hash_table_lookup(here.placement.upstreams, &work.upstream_id);
	assert_int_equal(upstream->others.running, 1);
	assert_true(choice.upstream != upstream);
	placement_fixture_finish(&here);
	placement_fixture_finish(&there);
}

/* Whether a request is given up whose upstream is silent for @p silent_ms, as are
 * its answers to the probe, and then goes on. */
static bool
is_given_up(struct placement_fixture *fixture, uint64_t id, int64_t silent_ms)
{
	enum {
		TICK_MS = 150,
		PROBE_MS = 400
	};
	struct silence silence = {.sent_ms = START_MS,
	    .since_ms = START_MS,
	    .expected_ms = 100,
	    .pause_limit_ms = 2000};
	int64_t now_ms, probed_ms;

	probed_ms = 0;
	for (now_ms = START_MS; now_ms < START_MS + 2000; now_ms += 10) {
		if (now_ms >= START_MS + silent_ms) {
			silence.since_ms = now_ms;
			placement_record_progress(
			    &fixture->placement, id, START_MS, now_ms);
		}
		if (probed_ms != 0 && now_ms == probed_ms + PROBE_MS) {
			if (placement_evaluate_unreached(&silence, probed_ms) ==
			    SILENCE_ABANDON)
				return true;
			probed_ms = 0;
		}
		if ((now_ms - START_MS) % TICK_MS == 0 && probed_ms == 0 &&
		    placement_evaluate_silence(&fixture->placement, id,
			&silence, now_ms) == SILENCE_PROBE)
			probed_ms = now_ms;
	}
	return false;
}

/* A sound upstream may fall silent for about a second and go on. Giving up its
 * requests would cost their prompts a second prefill. */
static void
test_upstream_that_is_silent_for_a_second_keeps_its_requests(void **state)
{
	struct placement_fixture fixture;
	int64_t silent_ms;
	uint64_t id;

	(void)state;
	for (silent_ms = 100; silent_ms <= 1100; silent_ms += 50) {
		placement_fixture_init(&fixture, 11);
		id = fixture.records[0].id;
		if (is_given_up(&fixture, id, silent_ms))
			fail_msg("given up after %d ms", (int)silent_ms);
		placement_fixture_finish(&fixture);
	}
	placement_fixture_init(&fixture, 11);
	assert_true(is_given_up(&fixture, fixture.records[0].id, 1900));
	placement_fixture_finish(&fixture);
}

/* Sends a prompt each millisecond for a tenth of a second and returns how many of
 * them go to one of the first @p count engines. */
static uint32_t
count_placed_on_first(
    struct placement_fixture *fixture, uint32_t count, int64_t from_ms)
{
	struct placement_queue_entry entry;
	struct placement_request request;
	struct placement_choice choice;
	struct placement_work work;
	uint32_t i, j, placed;
	int64_t now_ms;

	placed = 0;
	for (i = 0; i < 100; i++) {
		now_ms = from_ms + i;
		request = placement_fixture_request(
		    fixture, &fixture->chat, 5000, now_ms);
		memset(&entry, 0, sizeof(entry));
		if (placement_pick(&fixture->placement, &request, now_ms,
			&entry, &choice) != ERROR_NONE)
			continue;
		for (j = 0; j < count; j++)
			placed += choice.upstream ==
				  placement_fixture_engine(fixture, j);
		placement_begin(
		    &fixture->placement, &request, &choice, now_ms, &work);
	}
	return placed;
}

/* For a crash of most engines at once that don't even refuse connections. Each
 * request that tries one of them loses 400 ms, and an engine that is idle looks
 * like the best choice as soon as its ejection ends. */
static void
test_engine_without_connections_gets_requests_only_after_a_probe(void **state)
{
	struct placement_fixture fixture;
	uint64_t id, address;
	uint32_t dead, i;

	(void)state;
	dead = ENGINES * 3 / 4;
	placement_fixture_init(&fixture, 5);
	for (i = 0; i < dead; i++)
		placement_record_absence(
		    &fixture.placement, fixture.records[i].id, START_MS);
	assert_int_equal(
	    count_placed_on_first(&fixture, dead, START_MS + 1500), 0);
	/* Each is to be probed once. */
	for (i = 0; i < dead; i++)
		assert_true(placement_take_probe(
		    &fixture.placement, START_MS + 1600, &id, &address));
	assert_false(placement_take_probe(
	    &fixture.placement, START_MS + 1600, &id, &address));
	placement_record_reached(&fixture.placement, fixture.records[0].id);
	assert_true(count_placed_on_first(&fixture, 1, START_MS + 1600) > 0);
	placement_fixture_finish(&fixture);
}

/* They are tried all the same if no other is left. */
static void
test_engines_without_connections_are_used_if_no_other_is_left(void **state)
{
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	placement_fixture_init(&fixture, 5);
	for (i = 0; i < ENGINES; i++)
		placement_record_absence(
		    &fixture.placement, fixture.records[i].id, START_MS);
	assert_true(
	    count_placed_on_first(&fixture, ENGINES, START_MS + 10) > 0);
	placement_fixture_finish(&fixture);
}

/* Whether a silent attempt is abandoned depends on the progress that the
 * upstream makes on other requests. */
static void
test_silence_is_evaluated_by_other_progress(void **state)
{
	struct silence silence = {.sent_ms = START_MS,
	    .since_ms = START_MS,
	    .expected_ms = 40,
	    .pause_limit_ms = 2000};
	struct placement_fixture fixture;
	uint64_t id;

	(void)state;
	placement_fixture_init(&fixture, 11);
	id = fixture.records[0].id;
	assert_int_equal(placement_evaluate_silence(
			     &fixture.placement, id, &silence, START_MS + 300),
	    SILENCE_WAIT);
	assert_int_equal(placement_evaluate_silence(
			     &fixture.placement, id, &silence, START_MS + 900),
	    SILENCE_PROBE);
	silence.is_reachable = true;
	assert_int_equal(placement_evaluate_silence(
			     &fixture.placement, id, &silence, START_MS + 1000),
	    SILENCE_WAIT);
	assert_int_equal(placement_evaluate_silence(
			     &fixture.placement, id, &silence, START_MS + 1700),
	    SILENCE_ABANDON);
	/* The upstream makes progress on a request sent earlier: it is only
	 * slow. */
	placement_record_progress(
	    &fixture.placement, id, START_MS - 100, START_MS + 1600);
	assert_int_equal(placement_evaluate_silence(
			     &fixture.placement, id, &silence, START_MS + 1700),
	    SILENCE_WAIT);
	/* The upstream makes progress on a request sent much later: this one
	 * has stalled. */
	placement_record_progress(
	    &fixture.placement, id, START_MS + 900, START_MS + 1650);
	assert_int_equal(placement_evaluate_silence(
			     &fixture.placement, id, &silence, START_MS + 1700),
	    SILENCE_ABANDON);
	placement_fixture_finish(&fixture);
}

/* Replays (spa-desk-now-grown, a zone that goes dark): an upstream was reached in
 * its silence and went dark after that. It is tried again, or its request would
 * wait, and hold memory at helpers, until its connection breaks. */
static void
test_silent_upstream_is_tried_again(void **state)
{
	struct placement_fixture fixture;
	struct silence silence = {.sent_ms = START_MS,
	    .since_ms = START_MS,
	    .expected_ms = 1000,
	    .pause_limit_ms = 16000,
	    .is_reachable = true,
	    .probed_ms = START_MS + 750};
	uint64_t id;

	(void)state;
	placement_fixture_init(&fixture, 30);
	id = fixture.records[0].id;
	assert_int_equal(placement_evaluate_silence(
			     &fixture.placement, id, &silence, START_MS + 1500),
	    SILENCE_WAIT);
	assert_int_equal(placement_evaluate_silence(
			     &fixture.placement, id, &silence, START_MS + 2500),
	    SILENCE_PROBE);
	silence.probed_ms = START_MS + 2500;
	assert_int_equal(placement_evaluate_silence(
			     &fixture.placement, id, &silence, START_MS + 2600),
	    SILENCE_WAIT);
	placement_fixture_finish(&fixture);
}

/* A number that doesn't fit into its field makes a report invalid. */
static void
test_reports_with_too_large_numbers_are_refused(void **state)
{
	enum {
		FIELD_ITEMS = 3,
		FIELD_DEMANDS = 4,
		ROW = 9,
		RUNNING = 2
	};
	struct work_report report;
	struct message_writer writer;
	uint32_t i;

	(void)state;
	message_writer_init(&writer);
	message_begin_map(&writer, 5);
	for (i = 0; i < FIELD_ITEMS; i++)
		message_put_uint(&writer, i, 1);
	message_put_array(&writer, FIELD_ITEMS, ROW);
	for (i = 0; i < ROW; i++)
		message_add_uint(
		    &writer, i == RUNNING ? UINT64_C(1) << 32 | 1 : 1);
	message_put_array(&writer, FIELD_DEMANDS, 0);
	assert_int_equal(work_report_read(message_data(&writer),
			     message_size(&writer), &report),
	    ERROR_TOO_LARGE);
	message_writer_finish(&writer);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_cold_bound_holds_in_every_second),
	    cmocka_unit_test(test_ejection_is_bounded),
	    cmocka_unit_test(
		test_host_that_starts_uses_the_upstreams_that_it_finds),
	    cmocka_unit_test(test_upstream_that_has_ended_is_avoided_at_once),
	    cmocka_unit_test(test_latest_incarnation_at_an_address_is_chosen),
	    cmocka_unit_test(test_refused_attempts_leave_no_backlog),
	    cmocka_unit_test(test_cut_off_host_keeps_to_its_share),
	    cmocka_unit_test(test_limit_heard_by_one_host_binds_the_others),
	    cmocka_unit_test(test_reports_of_other_hosts_are_counted_once),
	    cmocka_unit_test(
		test_upstream_that_is_silent_for_a_second_keeps_its_requests),
	    cmocka_unit_test(
		test_engine_without_connections_gets_requests_only_after_a_probe),
	    cmocka_unit_test(
		test_engines_without_connections_are_used_if_no_other_is_left),
	    cmocka_unit_test(test_silence_is_evaluated_by_other_progress),
	    cmocka_unit_test(test_silent_upstream_is_tried_again),
	    cmocka_unit_test(test_reports_with_too_large_numbers_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
