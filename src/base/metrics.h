/**
 * @file metrics.h
 * Counters, gauges and histograms with labels of bounded cardinality.
 *
 * Families are added at start; series appear as label values are seen, up to
 * the family's bound, after which all new values share the series "other".
 * Finding a series and changing it takes no lock; any thread may do both.
 */
#ifndef METRICS_H
#define METRICS_H

#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define METRIC_FAMILIES_MAX 128 /**< Families of a registry. */
#define METRIC_LABELS_MAX   4	/**< Labels of a family. */
#define METRIC_BUCKETS_MAX  24	/**< Bounds of a histogram. */

/** What a family measures. */
enum metric_kind {
	METRIC_KIND_COUNTER = 1,   /**< Only grows. */
	METRIC_KIND_GAUGE = 2,	   /**< Goes both ways. */
	METRIC_KIND_HISTOGRAM = 3, /**< Counts by upper bound. */
};

/** How a family is declared; the texts must outlive the registry. */
struct metric_settings {
	enum metric_kind kind; /**< What it measures. */
	uint32_t series_max;   /**< Most series, beside "other". */
	const char *name;      /**< Such as "chicorytack_requests_total". */
	const char *help;      /**< One sentence, with the unit. */
	const char *labels[METRIC_LABELS_MAX]; /**< Names; NULL ends. */
	const double *buckets; /**< Histograms: rising upper bounds. */
	uint32_t bucket_count; /**< Up to METRIC_BUCKETS_MAX. */
};

struct metric_family;
struct metric_series;

/** The registry. */
struct metrics_registry {
	pthread_mutex_t lock; /**< Taken to add only. */
	_Atomic uint32_t family_count;
	struct metric_family *families[METRIC_FAMILIES_MAX];
};

/* Setting up */

/** Prepares an empty registry. */
void metrics_init(struct metrics_registry *registry);
/** Gives back memory; all families and series go stale. */
void metrics_finish(struct metrics_registry *registry);
/** Adds a family; NULL if it is malformed, or there are too many. */
struct metric_family *metrics_add_family(
    struct metrics_registry *registry, const struct metric_settings *settings);

/* Measuring; a NULL series is ignored */

/** Series of label values, in the family's order; never grows past its bound.
 */
struct metric_series *metrics_series(
    struct metric_family *family, const char *const *values);
/** Adds to a counter or gauge. */
void metrics_add(struct metric_series *series, int64_t amount);
/** Sets a gauge. */
void metrics_set(struct metric_series *series, int64_t value);
/** Counts a value in a histogram. */
void metrics_observe(struct metric_series *series, double value);

/* Reading */

/** Value of a counter or gauge, count of a histogram. */
int64_t metrics_value(const struct metric_series *series);
/** Appends everything in the text exposition format. */
void metrics_write(const struct metrics_registry *registry, GString *out);

#endif
