/*
 * Tests of the limits that upstreams name: the sum over all hosts keeps to the
 * bound, and what the limit allows is used.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "base/random_source.h"
#include "placement/upstream_notice.h"

#define HOSTS_MOST 300
#define RUN_MS	   60000
#define STEP_MS	   10
#define NAMED_MS   1000 /* When the upstream first names its limit. */
#define TELL_MS	   150	/* Until all other hosts have heard of it. */
#define ANSWER_MS  50	/* Until an answer arrives. */
#define NEWS_MS	   (ANSWER_MS + TELL_MS)
#define CONTACT_MS 3000 /* The bound holds this long after the limit. */
#define WINDOW_MS  4000
#define OVERSHOOT  1.5 /* Factor on what the limit allows in a window. */
#define SLACK	   5   /* Requests beyond that. */
#define USED_SHARE 0.6 /* Least share of the limit that is used. */
#define START_MS   INT64_C(1000000)

/* Hosts of which each sends whenever it may. */
struct fleet_run {
	uint32_t host_count;
	double limit_per_s;
	struct upstream_notice notices[HOSTS_MOST];
	int64_t received_ms[HOSTS_MOST]; /* When each host hears first. */
	int64_t frozen_until_ms[HOSTS_MOST];
	bool is_cut[HOSTS_MOST];       /* Hears only its own answers. */
	int64_t answer_ms[HOSTS_MOST]; /* When its last answer arrives. */
	uint32_t sent[RUN_MS / STEP_MS];
};

static void
run(struct fleet_run *fleet)
{
	struct upstream_statement statement = {
	    .has_limit = true, .limit_per_s = fleet->limit_per_s};
	struct notice_share share = {.host_count = fleet->host_count};
	struct upstream_notice *notice;
	int64_t now_ms, told_ms;
	uint32_t step, i;

	told_ms = 0;
	for (step = 0; step < RUN_MS / STEP_MS; step++) {
		now_ms = START_MS + (int64_t)step * STEP_MS;
		if (step >= NEWS_MS / STEP_MS &&
		    fleet->sent[step - NEWS_MS / STEP_MS] > 0)
			told_ms = now_ms - TELL_MS;
		for (i = 0; i < fleet->host_count; i++) {
			notice = &fleet->notices[i];
			share.rank = i;
			if (now_ms < START_MS + fleet->received_ms[i] ||
			    now_ms < fleet->frozen_until_ms[i])
				continue;
			if (notice->received_ms == 0)
				upstream_notice_record(
				    notice, &statement, now_ms, share, now_ms);
			if (told_ms > notice->received_ms && !fleet->is_cut[i])
				upstream_notice_record(
				    notice, &statement, told_ms, share, now_ms);
			if (fleet->answer_ms[i] == now_ms)
				upstream_notice_record(
				    notice, &statement, now_ms, share, now_ms);
			if (upstream_notice_wait_ms(notice, now_ms) > 0)
				continue;
			upstream_notice_record_send(notice, share, now_ms);
			fleet->sent[step]++;
			fleet->answer_ms[i] = now_ms + ANSWER_MS;
		}
	}
}

static uint32_t
count_sent(const struct fleet_run *fleet, int64_t from_ms, int64_t until_ms)
{
	uint32_t sum;
	int64_t step;

	sum = 0;
	for (step = from_ms / STEP_MS; step < until_ms / STEP_MS; step++)
		sum += fleet->sent[step];
	return sum;
}

static void
check_bound(const struct fleet_run *fleet)
{
	double allowed;
	uint32_t sent;
	int64_t at_ms;

	allowed = OVERSHOOT * fleet->limit_per_s * WINDOW_MS / 1000 + SLACK;
	for (at_ms = NAMED_MS + CONTACT_MS; at_ms + WINDOW_MS <= RUN_MS;
	     at_ms += STEP_MS) {
		sent = count_sent(fleet, at_ms, at_ms + WINDOW_MS);
		if (sent > allowed)
			fail_msg("%u hosts, limit %.1f: %u requests in 4 s "
				 "at %d ms, allowed %.1f",
			    fleet->host_count, fleet->limit_per_s, sent,
			    (int)at_ms, allowed);
	}
}

static void
check_used(const struct fleet_run *fleet)
{
	double sent, limit;

	sent = count_sent(fleet, NAMED_MS + CONTACT_MS, RUN_MS);
	limit = fleet->limit_per_s * (RUN_MS - NAMED_MS - CONTACT_MS) / 1000;
	if (sent < limit * USED_SHARE)
		fail_msg("%u hosts, limit %.1f: %.0f of %.0f requests",
		    fleet->host_count, fleet->limit_per_s, sent, limit);
}

static void
test_sum_over_hosts_keeps_to_the_limit(void **state)
{
	static const uint32_t host_counts[] = {1, 6, 8, 60, 300};
	static const double limits[] = {0, 0.3, 1, 1.1, 7, 60};
	struct random_source random;
	struct fleet_run *fleet;
	size_t i, j;
	uint32_t host;

	(void)state;
	random_init(&random, 1);
	for (i = 0; i < G_N_ELEMENTS(host_counts); i++) {
		for (j = 0; j < G_N_ELEMENTS(limits); j++) {
			fleet = g_new0(struct fleet_run, 1);
			fleet->host_count = host_counts[i];
			fleet->limit_per_s = limits[j];
			for (host = 0; host < host_counts[i]; host++)
				fleet->received_ms[host] =
				    NAMED_MS + random_below(&random, TELL_MS);
			run(fleet);
			check_bound(fleet);
			check_used(fleet);
			g_free(fleet);
		}
	}
}

/* A tenth of the hosts stand still for some time, and a tenth are cut off from
 * the other hosts, but not from the upstream. */
static void
test_limit_holds_while_hosts_freeze_and_are_cut_off(void **state)
{
	struct random_source random;
	struct fleet_run *fleet;
	uint32_t host;

	(void)state;
	random_init(&random, 2);
	fleet = g_new0(struct fleet_run, 1);
	fleet->host_count = 60;
	fleet->limit_per_s = 2;
	for (host = 0; host < fleet->host_count; host++) {
		fleet->received_ms[host] = NAMED_MS;
		if (host % 10 == 0)
			fleet->frozen_until_ms[host] =
			    START_MS + 20000 +
			    (int64_t)random_below(&random, 10000);
		fleet->is_cut[host] = host % 10 == 1;
	}
	run(fleet);
	check_bound(fleet);
	check_used(fleet);
	g_free(fleet);
}

static void
test_limit_rises_falls_and_ends(void **state)
{
	const struct notice_share share = {.host_count = 2, .rank = 0};
	struct upstream_statement statement = {
	    .has_limit = true, .limit_per_s = 1};
	const struct upstream_statement none = {0};
	struct upstream_notice notice = {0};
	int64_t at_1_per_s_ms, now_ms;

	(void)state;
	now_ms = START_MS;
	assert_int_equal(upstream_notice_wait_ms(&notice, now_ms), 0);
	assert_true(
	    upstream_notice_record(&notice, &statement, now_ms, share, now_ms));
	upstream_notice_record_send(&notice, share, now_ms);
	at_1_per_s_ms = upstream_notice_wait_ms(&notice, now_ms);
	assert_in_range(at_1_per_s_ms, 2000, 2500);
	assert_false(
	    upstream_notice_record(&notice, &statement, now_ms, share, now_ms));
	statement.limit_per_s = 10;
	assert_true(upstream_notice_record(
	    &notice, &statement, now_ms + 1, share, now_ms));
	assert_in_range(upstream_notice_wait_ms(&notice, now_ms),
	    at_1_per_s_ms / 10 - 1, at_1_per_s_ms / 10 + 1);
	statement.limit_per_s = 1;
	assert_true(upstream_notice_record(
	    &notice, &statement, now_ms + 2, share, now_ms));
	assert_in_range(upstream_notice_wait_ms(&notice, now_ms),
	    at_1_per_s_ms - 1, at_1_per_s_ms + 1);
	/* News that another host heard earlier changes nothing. */
	assert_false(
	    upstream_notice_record(&notice, &none, now_ms + 1, share, now_ms));
	assert_true(
	    upstream_notice_record(&notice, &none, now_ms + 3, share, now_ms));
	assert_int_equal(upstream_notice_wait_ms(&notice, now_ms), 0);
}

/* A host that has heard nothing for long sends single requests, to find out. */
static void
test_limit_that_is_not_repeated_is_asked_for(void **state)
{
	const struct notice_share share = {.host_count = 100, .rank = 50};
	const struct upstream_statement statement = {.has_limit = true};
	struct upstream_notice notice = {0};
	int64_t now_ms;

	(void)state;
	upstream_notice_record(&notice, &statement, START_MS, share, START_MS);
	assert_int_equal(upstream_notice_wait_ms(&notice, START_MS),
	    UPSTREAM_NOTICE_EXPIRY_MS);
	now_ms = START_MS + UPSTREAM_NOTICE_EXPIRY_MS;
	assert_int_equal(upstream_notice_wait_ms(&notice, now_ms), 0);
	upstream_notice_record_send(&notice, share, now_ms);
	assert_int_equal(upstream_notice_wait_ms(&notice, now_ms), 1000);
	upstream_notice_record(&notice, &statement, now_ms, share, now_ms);
	assert_int_equal(upstream_notice_wait_ms(&notice, now_ms),
	    UPSTREAM_NOTICE_EXPIRY_MS);
}

/* After a pause one request at a time goes out until one is answered. */
static void
test_pause_ends_with_one_request_at_a_time(void **state)
{
	const struct notice_share share = {.host_count = 4, .rank = 0};
	struct upstream_notice notice = {0};
	int64_t now_ms;

	(void)state;
	now_ms = START_MS;
	upstream_notice_record_answer(&notice, 5000, now_ms);
	assert_int_equal(upstream_notice_wait_ms(&notice, now_ms), 5000);
	/* An answer to an earlier request, and a shorter pause. */
	upstream_notice_record_answer(&notice, 0, now_ms + 10);
	upstream_notice_record_answer(&notice, 100, now_ms + 20);
	assert_int_equal(upstream_notice_wait_ms(&notice, now_ms), 5000);
	now_ms += 5000;
	assert_int_equal(upstream_notice_wait_ms(&notice, now_ms), 0);
	upstream_notice_record_send(&notice, share, now_ms);
	assert_true(upstream_notice_wait_ms(&notice, now_ms + 10) > 0);
	upstream_notice_record_answer(&notice, 0, now_ms + 20);
	assert_int_equal(upstream_notice_wait_ms(&notice, now_ms + 20), 0);
}

static void
test_leaving_upstream_stays_leaving(void **state)
{
	const struct notice_share share = {.host_count = 4, .rank = 0};
	const struct upstream_statement leaving = {.is_leaving = true};
	const struct upstream_statement limited = {
	    .has_limit = true, .limit_per_s = 1};
	struct upstream_notice notice = {0};

	(void)state;
	/* Another host heard it before this host heard of a limit. */
	upstream_notice_record(
	    &notice, &limited, START_MS + 1, share, START_MS);
	assert_true(upstream_notice_record(
	    &notice, &leaving, START_MS, share, START_MS));
	assert_false(upstream_notice_record(
	    &notice, &leaving, START_MS, share, START_MS));
	/* An answer that was on its way longer does not say it yet. */
	upstream_notice_record(
	    &notice, &limited, START_MS + 2, share, START_MS);
	assert_true(notice.last.is_leaving);
}

static void
test_pauses_are_parsed_and_bounded(void **state)
{
	int64_t pause_ms;

	(void)state;
	pause_ms = 7;
	assert_int_equal(
	    upstream_pause_parse("Wed, 21 Oct 2026 07:28:00 GMT", &pause_ms),
	    ERROR_BAD_VALUE);
	assert_int_equal(
	    upstream_pause_parse("-3", &pause_ms), ERROR_BAD_VALUE);
	assert_int_equal(pause_ms, 7);
	assert_int_equal(upstream_pause_parse("0.25", &pause_ms), ERROR_NONE);
	assert_int_equal(pause_ms, 250);
	assert_int_equal(
	    upstream_pause_parse("31536000", &pause_ms), ERROR_NONE);
	assert_int_equal(pause_ms, UPSTREAM_PAUSE_MAX_MS);
}

static void
test_malformed_limits_are_refused(void **state)
{
	static const char *const malformed[] = {
	    "", " ", "x", "1x", "-1", "nan", "inf", "-inf", "1,5", "1 2"};
	static const struct {
		const char *text;
		double per_s;
	} valid[] = {
	    {"0", 0}, {"1", 1}, {"1.5", 1.5}, {" 2.25 ", 2.25}, {"1e9", 1e9}};
	double per_s;
	size_t i;

	(void)state;
	per_s = 7;
	for (i = 0; i < G_N_ELEMENTS(malformed); i++) {
		assert_int_equal(upstream_limit_parse(malformed[i], &per_s),
		    ERROR_BAD_VALUE);
		assert_true(per_s == 7);
	}
	for (i = 0; i < G_N_ELEMENTS(valid); i++) {
		assert_int_equal(
		    upstream_limit_parse(valid[i].text, &per_s), ERROR_NONE);
		assert_true(per_s == valid[i].per_s);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_sum_over_hosts_keeps_to_the_limit),
	    cmocka_unit_test(
		test_limit_holds_while_hosts_freeze_and_are_cut_off),
	    cmocka_unit_test(test_limit_rises_falls_and_ends),
	    cmocka_unit_test(test_limit_that_is_not_repeated_is_asked_for),
	    cmocka_unit_test(test_pause_ends_with_one_request_at_a_time),
	    cmocka_unit_test(test_leaving_upstream_stays_leaving),
	    cmocka_unit_test(test_pauses_are_parsed_and_bounded),
	    cmocka_unit_test(test_malformed_limits_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
