/*
 * Tests of the timer service.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/random_source.h"
#include "transport/timer.h"

#define TIMERS 200

/* A timer and its runs. */
struct record {
	struct timer_service *service;
	int64_t ran_at_ms;
	int64_t due_ms;
	unsigned int runs;
	int64_t *last_ms; /* Time of the latest run of any timer. */
};

static void
on_timer(void *context)
{
	struct record *record = context;

	record->ran_at_ms = timer_now(record->service);
	record->runs++;
	assert_true(record->ran_at_ms >= *record->last_ms);
	*record->last_ms = record->ran_at_ms;
}

/* Cancelling timers in the middle must not delay or reorder the others. */
static void
test_cancelling_keeps_order_of_other_timers(void **state)
{
	struct timer_service service;
	struct record records[TIMERS] = {0};
	struct handle handles[TIMERS];
	struct random_source random;
	int64_t last_ms, now_ms;
	unsigned int i;

	(void)state;
	random_init(&random, 7);
	timer_init(&service, TIMERS, 1000);
	last_ms = 0;
	for (i = 0; i < TIMERS; i++) {
		records[i].service = &service;
		records[i].last_ms = &last_ms;
		records[i].due_ms = 1000 + random_below(&random, 500);
		assert_int_equal(
		    timer_subscribe_once(&service, records[i].due_ms - 1000,
			(struct timer_callback){on_timer, &records[i]},
			&handles[i]),
		    ERROR_NONE);
		if (i % 3 == 2)
			timer_cancel(&service, &handles[i - 1]);
	}
	for (now_ms = 1000; now_ms <= 1500; now_ms += 7)
		timer_advance(&service, now_ms);
	timer_advance(&service, 1500);
	for (i = 0; i < TIMERS; i++) {
		assert_int_equal(
		    records[i].runs, i % 3 == 1 && i + 1 < TIMERS ? 0 : 1);
		if (records[i].runs == 1)
			assert_int_equal(
			    records[i].ran_at_ms, records[i].due_ms);
	}
	assert_true(timer_next_due_ms(&service) == TIMER_NEVER);
	timer_finish(&service);
}

static void
test_periodic_timer_runs_until_cancelled(void **state)
{
	struct timer_service service;
	struct record record = {0};
	struct handle timer;
	int64_t last_ms;

	(void)state;
	last_ms = 0;
	timer_init(&service, 4, 0);
	record.service = &service;
	record.last_ms = &last_ms;
	assert_int_equal(
	    timer_subscribe_every(&service, 10,
		(struct timer_callback){on_timer, &record}, &timer),
	    ERROR_NONE);
	timer_advance(&service, 100);
	assert_int_equal(record.runs, 10);
	timer_cancel(&service, &timer);
	timer_advance(&service, 200);
	assert_int_equal(record.runs, 10);
	timer_finish(&service);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_cancelling_keeps_order_of_other_timers),
	    cmocka_unit_test(test_periodic_timer_runs_until_cancelled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
