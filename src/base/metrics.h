/**
 * @file metrics.h
 * Counters, gauges and histograms with labels of bounded cardinality.
 *
 * Families are added at the start. A series is added when a new combination of
 * label values occurs, up to a limit per family; further combinations share the
 * series "other". Any thread may look up and change series. Changing one, and
 * looking up one that exists, takes no lock.
 */
#ifndef METRICS_H
#define METRICS_H

#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define METRIC_FAMILIES_MAX 128 /**< Most families in a registry. */
#define METRIC_LABELS_MAX   4	/**< Most labels of a family. */
#define METRIC_BUCKETS_MAX  24	/**< Most upper bounds of a histogram. */

/** Kind of metric in a family. */
enum metric_kind {
	METRIC_KIND_COUNTER = 1,   /**< Value that only increases. */
	METRIC_KIND_GAUGE = 2,	   /**< Value that increases and decreases. */
	METRIC_KIND_HISTOGRAM = 3, /**< Counts of values by upper bound. */
};

/** Declaration of a family. Its texts and buckets must outlive the registry. */
struct metric_settings {
	enum metric_kind kind; /**< Kind of all series of the family. */
	uint32_t series_max;   /**< Most series in addition to "other". */
	const char *name; /**< Name, such as "chicorytack_requests_total". */
	const char *help; /**< Sentence that says what is measured and in
				    which unit. */
	const char *labels[METRIC_LABELS_MAX]; /**< Label names; fewer than
						    the most end with NULL. */
	const double *buckets; /**< Increasing upper bounds of a histogram's
				    buckets, NULL for other kinds. */
	uint32_t bucket_count; /**< Upper bounds; 0 for other kinds. */
};

struct metric_family;
struct metric_series;

/** Set of families that are written out together. */
struct metrics_registry {
	pthread_mutex_t lock;	       /**< Held while a family is added. */
	_Atomic uint32_t family_count; /**< Number of families. */
	struct metric_family *families[METRIC_FAMILIES_MAX]; /**< Families in
							   order of adding. */
};

/* Setting up */

/** Prepares an empty registry. */
void metrics_init(struct metrics_registry *registry);
/** Frees the registry's memory. Its families and series must not be used
 * afterwards. */
void metrics_finish(struct metrics_registry *registry);
/** Adds a family. Returns NULL if its settings are invalid, memory allocation
 * fails or the registry is full. */
struct metric_family *metrics_add_family(
    struct metrics_registry *registry, const struct metric_settings *settings);

/* Measuring; calls with a NULL series do nothing */

/** Returns the series with these label values, in the order of the family's
 * labels, and adds it if needed. Returns the series "other" if the family's
 * limit is reached or memory allocation fails, NULL for a NULL family. */
struct metric_series *metrics_get_series(
    struct metric_family *family, const char *const *values);
/** Adds an amount to a counter or gauge. */
void metrics_add(struct metric_series *series, int64_t amount);
/** Sets the value of a gauge. */
void metrics_set(struct metric_series *series, int64_t value);
/** Counts a value in its bucket of a histogram and adds it to the sum. */
void metrics_observe(struct metric_series *series, double value);

/* Reading */

/** Returns the value of a counter or gauge, or the number of values counted in
 * a histogram. */
int64_t metrics_value(const struct metric_series *series);
/** Appends all families to @p out in Prometheus' text exposition format. */
void metrics_write(const struct metrics_registry *registry, GString *out);

#endif
