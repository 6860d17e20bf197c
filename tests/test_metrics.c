/*
 * Tests of the metrics registry: text format, invalid families and
 * concurrency.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include <pthread.h>
#include <stdio.h>

#include "base/metrics.h"

#define THREAD_COUNT	      4
#define INCREMENTS_PER_THREAD 2000
#define LABEL_VALUE_COUNT     16

static const double bounds[] = {0.5, 1, 2.5};

static void
test_text_follows_exposition_format(void **state)
{
	const struct metric_settings counter = {.kind = METRIC_KIND_COUNTER,
	    .name = "requests_total",
	    .help = "Requests.",
	    .labels = {"data_centre", "band"},
	    .series_max = 4};
	const struct metric_settings histogram = {.kind = METRIC_KIND_HISTOGRAM,
	    .name = "wait_seconds",
	    .help = "Wait.",
	    .series_max = 1,
	    .buckets = bounds,
	    .bucket_count = 3};
	const char *const values[] = {"re\"gi\\na", "under 4k"};
	struct metrics_registry registry;
	struct metric_family *family;
	GString *out;

	(void)state;
	metrics_init(&registry);
	family = metrics_add_family(&registry, &counter);
	metrics_add(metrics_get_series(family, values), 3);
	family = metrics_add_family(&registry, &histogram);
	metrics_observe(metrics_get_series(family, NULL), 0.5);
	metrics_observe(metrics_get_series(family, NULL), 0.75);
	metrics_observe(metrics_get_series(family, NULL), 99);
	out = g_string_new(NULL);
	metrics_write(&registry, out);
	assert_string_equal(out->str,
	    "# HELP requests_total Requests.\n"
	    "# TYPE requests_total counter\n"
	    "requests_total{data_centre=\"re\\\"gi\\\\na\",band=\"under 4k\"}"
	    " 3\n"
	    "# HELP wait_seconds Wait.\n"
	    "# TYPE wait_seconds histogram\n"
	    "wait_seconds_bucket{le=\"0.5\"} 1\n"
	    "wait_seconds_bucket{le=\"1\"} 2\n"
	    "wait_seconds_bucket{le=\"2.5\"} 2\n"
	    "wait_seconds_bucket{le=\"+Inf\"} 3\n"
	    "wait_seconds_sum 100.250000\n"
	    "wait_seconds_count 3\n");
	g_string_free(out, TRUE);
	metrics_finish(&registry);
}

static void
test_malformed_families_are_refused(void **state)
{
	static const double decreasing[] = {2, 1};
	const struct metric_settings cases[] = {
	    {.kind = METRIC_KIND_COUNTER, .name = "9a", .help = ""},
	    {.kind = METRIC_KIND_COUNTER, .name = "a b", .help = ""},
	    {.kind = METRIC_KIND_COUNTER, .name = NULL, .help = ""},
	    {.kind = METRIC_KIND_COUNTER,
		.name = "a",
		.help = "",
		.labels = {"x-y"}},
	    {.kind = METRIC_KIND_COUNTER,
		.name = "a",
		.help = "",
		.series_max = 1u << 30},
	    {.kind = METRIC_KIND_HISTOGRAM, .name = "a", .help = ""},
	    {.kind = METRIC_KIND_HISTOGRAM,
		.name = "a",
		.help = "",
		.buckets = decreasing,
		.bucket_count = 2},
	};
	struct metrics_registry registry;
	size_t i;

	(void)state;
	metrics_init(&registry);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_null(metrics_add_family(&registry, &cases[i]));
	metrics_add(metrics_get_series(NULL, NULL), 1);
	metrics_finish(&registry);
}

/* Thread that increments the series of each label value in turn. */
static void *
increment_series(void *context)
{
	struct metric_family *family = context;
	const char *values[1];
	char text[16];
	int i;

	values[0] = text;
	for (i = 0; i < INCREMENTS_PER_THREAD; i++) {
		snprintf(text, sizeof(text), "v%d", i % LABEL_VALUE_COUNT);
		metrics_add(metrics_get_series(family, values), 1);
	}
	return NULL;
}

/* Concurrent increments aren't lost, and the number of series stays bounded for
 * any label values that callers send. */
static void
test_concurrent_increments_are_kept_and_series_bounded(void **state)
{
	const struct metric_settings settings = {.kind = METRIC_KIND_COUNTER,
	    .name = "calls_total",
	    .help = "Calls.",
	    .labels = {"account"},
	    .series_max = LABEL_VALUE_COUNT / 2};
	struct metrics_registry registry;
	struct metric_family *family;
	pthread_t threads[THREAD_COUNT];
	const char *values[1];
	const char *line;
	GString *out;
	int64_t sum;
	int lines;
	int i;

	(void)state;
	metrics_init(&registry);
	family = metrics_add_family(&registry, &settings);
	for (i = 0; i < THREAD_COUNT; i++)
		pthread_create(&threads[i], NULL, increment_series, family);
	for (i = 0; i < THREAD_COUNT; i++)
		pthread_join(threads[i], NULL);
	out = g_string_new(NULL);
	metrics_write(&registry, out);
	sum = 0;
	lines = 0;
	for (line = strstr(out->str, "calls_total{"); line != NULL;
	     line = strstr(line + 1, "calls_total{")) {
		sum += g_ascii_strtoll(strchr(line, ' ') + 1, NULL, 10);
		lines++;
	}
	assert_int_equal(sum, THREAD_COUNT * INCREMENTS_PER_THREAD);
	assert_int_equal(lines, LABEL_VALUE_COUNT / 2 + 1);
	values[0] = "never seen";
	assert_int_equal(metrics_value(metrics_get_series(family, values)),
	    THREAD_COUNT * INCREMENTS_PER_THREAD / 2);
	g_string_free(out, TRUE);
	metrics_finish(&registry);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_text_follows_exposition_format),
	    cmocka_unit_test(test_malformed_families_are_refused),
	    cmocka_unit_test(
		test_concurrent_increments_are_kept_and_series_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
