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

/* Times between two calls of timer_advance(), as while a loop waits for work. */
static const int64_t idle_ms[] = {10, 100, 1000, 10000, 60000};

static int64_t
read_clock(void *context)
{
	return *(const int64_t *)context;
}

/* Guards against delays that count from the owner's last look at its timers, and
 * are short by the time that it has waited since. */
static void
test_delays_count_from_the_present(void **state)
{
	struct timer_service service;
	struct record once = {0}, every = {0};
	int64_t now_ms, last_ms;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(idle_ms) / sizeof(idle_ms[0]); i++) {
		now_ms = 5000;
		last_ms = 0;
		timer_init_clock(
		    &service, 4, (struct timer_clock){read_clock, &now_ms});
		once =
		    (struct record){.service = &service, .last_ms = &last_ms};
		every = once;
		now_ms += idle_ms[i];
		assert_int_equal(timer_now(&service), now_ms);
		timer_subscribe_once(&service, 400,
		    (struct timer_callback){on_timer, &once}, NULL);
		timer_subscribe_every(&service, 300,
		    (struct timer_callback){on_timer, &every}, NULL);
		timer_advance(&service, now_ms += 299);
		assert_int_equal(once.runs + every.runs, 0);
		timer_advance(&service, now_ms += 1);
		assert_int_equal(every.runs, 1);
		timer_advance(&service, now_ms += 99);
		assert_int_equal(once.runs, 0);
		timer_advance(&service, now_ms += 1);
		assert_int_equal(once.runs, 1);
		timer_finish(&service);
	}
}

/* A timer whose callback subscribes the next timer. */
struct chain {
	struct timer_service *service;
	int64_t ran_at_ms;
};

static void
on_chain(void *context)
{
	struct chain *chain = context;

	chain->ran_at_ms = timer_now(chain->service);
	timer_subscribe_once(chain->service, 300,
	    (struct timer_callback){on_chain, chain}, NULL);
}

/* Guards against a timer that runs late and starts another one that is over at
 * once, as when its owner was frozen. */
static void
test_late_timer_sees_the_present(void **state)
{
	struct timer_service service;
	struct chain chain = {&service, 0};
	int64_t now_ms = 0;

	(void)state;
	timer_init_clock(
	    &service, 4, (struct timer_clock){read_clock, &now_ms});
	timer_subscribe_once(
	    &service, 100, (struct timer_callback){on_chain, &chain}, NULL);
	now_ms = 5000;
	timer_advance(&service, now_ms);
	assert_int_equal(chain.ran_at_ms, 5000);
	assert_int_equal(timer_next_due_ms(&service), 5300);
	timer_finish(&service);
}

/* Guards against a burst of the runs that a periodic timer has missed. One that is
 * late by less than a period keeps its beat. */
static void
test_missed_periods_are_left_out(void **state)
{
	struct timer_service service;
	struct record record = {.service = &service};
	int64_t now_ms = 0, last_ms = 0;

	(void)state;
	record.last_ms = &last_ms;
	timer_init_clock(
	    &service, 4, (struct timer_clock){read_clock, &now_ms});
	timer_subscribe_every(
	    &service, 100, (struct timer_callback){on_timer, &record}, NULL);
	timer_advance(&service, now_ms = 160);
	assert_int_equal(record.runs, 1);
	assert_int_equal(timer_next_due_ms(&service), 200);
	timer_advance(&service, now_ms = 5030);
	assert_int_equal(record.runs, 2);
	assert_int_equal(record.ran_at_ms, 5030);
	assert_int_equal(timer_next_due_ms(&service), 5130);
	timer_finish(&service);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_cancelling_keeps_order_of_other_timers),
	    cmocka_unit_test(test_periodic_timer_runs_until_cancelled),
	    cmocka_unit_test(test_delays_count_from_the_present),
	    cmocka_unit_test(test_late_timer_sees_the_present),
	    cmocka_unit_test(test_missed_periods_are_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
