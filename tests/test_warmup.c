/*
 * Tests of the warm-up of an upstream: its limit rises on evidence only.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/random_source.h"
#include "coordination/capacity_math.h"
#include "coordination/warmup.h"

#define SEQUENCES 2000
#define EVENTS	  200

static const struct upstream_limits limits = {
    .cold_requests = 2,
    .warm_requests = 32,
    .cold_prefill_tokens = 8000,
    .warm_prefill_tokens = 200000,
    .kv_tokens = 500000,
    .prefill_tokens_per_s = 10000,
};

static void
test_answers_are_classified(void **state)
{
	static const struct {
		struct warmup_answer answer;
		enum warmup_class expected;
	} cases[] = {
	    {{10000, 900, 0, false}, WARMUP_IN_TIME},
	    {{10000, 1600, 0, false}, WARMUP_IN_TIME},
	    {{10000, 2500, 0, false}, WARMUP_LATE},
	    {{10000, 9000, 0, false}, WARMUP_COLD},
	    /* The same delay is in time behind a long queue. */
	    {{10000, 9000, 50000, false}, WARMUP_IN_TIME},
	    {{1000, 60000, 50000, false}, WARMUP_LATE},
	    {{10000, 10, 0, true}, WARMUP_COLD},
	    /* With nothing to prefill, only the fixed allowance counts. */
	    {{0, 150, 0, false}, WARMUP_IN_TIME},
	    {{0, 5000, 0, false}, WARMUP_COLD},
	};
	struct warmup_settings settings = warmup_default_settings();
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(
		    warmup_classify(&limits, &settings, &cases[i].answer),
		    cases[i].expected);
}

/* The limit rises to the warm one only by answers in time while the upstream is
 * used near its limit. It doesn't rise with time, and falls back when idle. */
static void
test_limit_rises_on_evidence_only(void **state)
{
	struct warmup_settings settings = warmup_default_settings();
	const struct capacity_amount none = {0};
	struct capacity_amount cold, warm;
	struct warmup warmup = {0};
	unsigned int i;

	(void)state;
	cold = warmup_cold_limit(&limits);
	warm = warmup_warm_limit(&limits);
	warmup_start(&warmup, &limits, 1, 0);
	assert_true(capacity_equal(&warmup.bound, &cold));
	warmup_record_in_time(&warmup, &settings, 1000, &none, 100);
	assert_false(warmup_check_idle(&warmup, &settings, 50000));
	assert_true(capacity_equal(&warmup.bound, &cold));
	for (i = 0; i < 100; i++)
		warmup_record_in_time(&warmup, &settings,
		    settings.answers_per_step, &warmup.bound, 200);
	assert_true(capacity_equal(&warmup.bound, &warm));
	/* A late announcement of an earlier incarnation changes nothing. */
	warmup_start(&warmup, &(struct upstream_limits){0}, 0, 250);
	assert_true(capacity_equal(&warmup.bound, &warm));
	assert_memory_equal(&warmup.limits, &limits, sizeof(limits));
	/* The same incarnation announced again changes nothing. */
	warmup_start(&warmup, &limits, 1, 300);
	assert_true(capacity_equal(&warmup.bound, &warm));
	assert_true(
	    warmup_check_idle(&warmup, &settings, 200 + settings.idle_cold_ms));
	assert_true(capacity_equal(&warmup.bound, &cold));
}

static void
test_any_sequence_stays_within_limits(void **state)
{
	struct warmup_settings settings = warmup_default_settings();
	struct capacity_amount cold, warm, before, used, restored;
	struct random_source random;
	struct warmup warmup, other;
	unsigned int i, event, choice;
	uint64_t incarnation;
	int64_t now_ms;

	(void)state;
	random_init(&random, 11);
	cold = warmup_cold_limit(&limits);
	warm = warmup_warm_limit(&limits);
	for (i = 0; i < SEQUENCES; i++) {
		warmup = (struct warmup){0};
		incarnation = 1;
		now_ms = 0;
		warmup_start(&warmup, &limits, incarnation, now_ms);
		for (event = 0; event < EVENTS; event++) {
			before = warmup.bound;
			used = before;
			used.requests = random_below(&random, 40);
			used.prefill_tokens = random_below(&random, 300000);
			now_ms += random_below(&random, 1000);
			choice = random_below(&random, 20);
			if (choice == 0)
				warmup_start(
				    &warmup, &limits, ++incarnation, now_ms);
			else if (choice == 1)
				(void)warmup_cut(&warmup, now_ms);
			else
				warmup_record_in_time(&warmup, &settings,
				    random_below(&random, 3), &used, now_ms);
			assert_true(capacity_fits(&warmup.bound, &warm));
			assert_true(capacity_fits(&cold, &warmup.bound));
			if (choice < 2)
				assert_true(
				    capacity_equal(&warmup.bound, &cold));
			/* One step at most doubles the limit. */
			assert_true(
			    warmup.bound.requests <= 2 * before.requests + 1);
			/* The limit that another host restores from the
			 * reported warmth is never higher. */
			other = warmup;
			warmup_restore(&other, warmup_warmth(&warmup));
			restored = other.bound;
			assert_true(capacity_fits(&restored, &warmup.bound));
		}
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_answers_are_classified),
	    cmocka_unit_test(test_limit_rises_on_evidence_only),
	    cmocka_unit_test(test_any_sequence_stays_within_limits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
