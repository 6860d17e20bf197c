/*
 * Tests of the turns in which many hosts send to an upstream that has just
 * started: the sum over all hosts stays within what it takes while cold,
 * although they learn of it at different times and each always has a request.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "placement/cold_turn.h"

#define HOSTS_MAX_TESTED 1000
#define REQUESTS_PER_S	 26.0
#define COLD_MS		 5000
#define START_MS	 INT64_C(1000000)
#define LEARN_MS	 300 /* Within which all hosts learn of the start. */
#define WINDOW_MS	 1000

/* Lets all hosts send whenever it is their turn. Returns the most requests in a
 * second, and in @p sum all of them. */
static uint32_t
run_hosts(uint32_t hosts, uint32_t *sum)
{
	static struct cold_turn turns[HOSTS_MAX_TESTED];
	static uint32_t sent[COLD_MS + LEARN_MS];
	uint32_t host, in_window, most;
	int64_t now_ms, ms;

	memset(sent, 0, sizeof(sent));
	for (host = 0; host < hosts; host++)
		turns[host] = (struct cold_turn){
		    .requests_per_s = REQUESTS_PER_S,
		    .cold_ms = COLD_MS,
		    .known_ms = START_MS + host * 7919 % LEARN_MS,
		    .share = {.host_count = hosts, .rank = host},
		};
	*sum = most = in_window = 0;
	for (ms = 0; ms < COLD_MS; ms++) {
		now_ms = START_MS + ms;
		for (host = 0; host < hosts; host++) {
			if (now_ms < turns[host].known_ms ||
			    cold_turn_wait_ms(&turns[host], now_ms) > 0)
				continue;
			turns[host].last_sent_ms = now_ms;
			sent[ms]++;
		}
		in_window += sent[ms];
		if (ms >= WINDOW_MS)
			in_window -= sent[ms - WINDOW_MS];
		most = most > in_window ? most : in_window;
		*sum += sent[ms];
	}
	return most;
}

static void
test_sum_over_hosts_stays_within_the_cold_rate(void **state)
{
	static const uint32_t hosts[] = {60, 295, 350, 1000};
	uint32_t sum;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(hosts) / sizeof(hosts[0]); i++) {
		assert_in_range(
		    run_hosts(hosts[i], &sum), 1, (uint32_t)REQUESTS_PER_S);
		/* A third of what it takes is used at least. */
		assert_true(sum >= REQUESTS_PER_S / 3 * COLD_MS / WINDOW_MS);
	}
}

static void
test_turns_are_needed_only_by_many_hosts_while_it_is_cold(void **state)
{
	struct cold_turn turn = {
	    .requests_per_s = REQUESTS_PER_S,
	    .cold_ms = COLD_MS,
	    .known_ms = START_MS,
	    .share = {.host_count = 300, .rank = 299},
	};

	(void)state;
	assert_true(cold_turn_wait_ms(&turn, START_MS) > COLD_MS);
	assert_int_equal(cold_turn_wait_ms(&turn, START_MS + COLD_MS), 0);
	turn.cold_ms = 0;
	assert_true(cold_turn_wait_ms(&turn, START_MS + COLD_MS) > 0);
	turn.requests_per_s = 0;
	assert_int_equal(cold_turn_wait_ms(&turn, START_MS), 0);
	turn.requests_per_s = REQUESTS_PER_S;
	turn.share = (struct notice_share){.host_count = 20, .rank = 19};
	assert_int_equal(cold_turn_wait_ms(&turn, START_MS), 0);
	turn.share = (struct notice_share){.host_count = 300, .rank = 299};
	assert_true(cold_turn_wait_ms(&turn, START_MS) > 0);
	turn.known_ms = 0;
	assert_int_equal(cold_turn_wait_ms(&turn, START_MS), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_sum_over_hosts_stays_within_the_cold_rate),
	    cmocka_unit_test(
		test_turns_are_needed_only_by_many_hosts_while_it_is_cold),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
