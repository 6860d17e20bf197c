#include "base/metrics.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Value of all labels of the series that is used at a family's limit. */
#define LABEL_OTHER    "other"
#define VALUE_SIZE_MAX 128 /* Bytes of a label value. */
/* Slots of the hash table per series: at most half of them are in use, so that
 * lookups find a series or a free slot within a few steps. */
#define SLOTS_PER_SERIES_MIN 2
#define SERIES_MAX	     65536 /* Largest series_max of a family. */
/* Sums of histograms are kept as integers, in millionths. */
#define SUM_UNITS_PER_ONE 1000000

struct metric_series {
	const struct metric_family *family;
	char *values[METRIC_LABELS_MAX]; /* Label values, constant. */
	_Atomic int64_t value; /* Value, or number of values in a histogram. */
	_Atomic int64_t sum;   /* Sum of a histogram's values in millionths. */
	/* Values per bucket; the last one used has no upper bound. */
	_Atomic int64_t buckets[METRIC_BUCKETS_MAX + 1];
};

/* Hash table of series with open addressing. A slot changes only once, from
 * empty to used, so lookups need no lock. Additions hold the family's lock. */
struct metric_family {
	struct metric_settings settings;
	uint32_t label_count;
	pthread_mutex_t lock;	     /* Held while a series is added. */
	uint32_t series_count;	     /* Series in slots; needs the lock. */
	uint32_t slot_count;	     /* Number of elements in slots. */
	struct metric_series *other; /* Series used at the family's limit. */
	struct metric_series *_Atomic slots[]; /* Hash table, NULL: empty. */
};

static bool are_settings_valid(const struct metric_settings *settings);
static bool is_valid_name(const char *name);
static struct metric_series *make_series(
    const struct metric_family *family, const char *const *values);
static void free_series(struct metric_series *series);
static void free_family(struct metric_family *family);
static struct metric_series *find_series(
    struct metric_family *family, const char *const *values, uint32_t *slot);
static bool has_values(
    const struct metric_series *series, const char *const *values);
static void write_family(const struct metric_family *family, GString *out);
static void write_series(const struct metric_series *series, GString *out);
static void write_histogram(const struct metric_series *series, GString *out);
static void write_labels(
    const struct metric_series *series, const char *bucket_bound, GString *out);
static void write_escaped(const char *text, GString *out);

void
metrics_init(struct metrics_registry *registry)
{
	memset(registry, 0, sizeof(*registry));
	pthread_mutex_init(&registry->lock, NULL);
}

void
metrics_finish(struct metrics_registry *registry)
{
	uint32_t i;

	for (i = 0; i < registry->family_count; i++)
		free_family(registry->families[i]);
	pthread_mutex_destroy(&registry->lock);
	memset(registry, 0, sizeof(*registry));
}

struct metric_family *
metrics_add_family(
    struct metrics_registry *registry, const struct metric_settings *settings)
{
	static const char *const other_values[METRIC_LABELS_MAX] = {
	    LABEL_OTHER, LABEL_OTHER, LABEL_OTHER, LABEL_OTHER};
	struct metric_family *family;
	uint32_t slots;
	uint32_t index;

	if (!are_settings_valid(settings))
		return NULL;
	slots = settings->series_max * SLOTS_PER_SERIES_MIN + 1;
	family = calloc(1, sizeof(*family) + slots * sizeof(family->slots[0]));
	if (family == NULL)
		return NULL;
	family->settings = *settings;
	family->slot_count = slots;
	while (family->label_count < METRIC_LABELS_MAX &&
	       settings->labels[family->label_count] != NULL)
		family->label_count++;
	pthread_mutex_init(&family->lock, NULL);
	family->other = make_series(family, other_values);
	pthread_mutex_lock(&registry->lock);
	index = registry->family_count;
	if (family->other != NULL && index < METRIC_FAMILIES_MAX) {
		registry->families[index] = family;
		atomic_store(&registry->family_count, index + 1);
	} else {
		free_family(family);
		family = NULL;
	}
	pthread_mutex_unlock(&registry->lock);
	return family;
}

struct metric_series *
metrics_get_series(struct metric_family *family, const char *const *values)
{
	struct metric_series *series;
	uint32_t slot;

	if (family == NULL)
		return NULL;
	series = find_series(family, values, &slot);
	if (series != NULL)
		return series;
	pthread_mutex_lock(&family->lock);
	series = find_series(family, values, &slot);
	if (series == NULL &&
	    family->series_count < family->settings.series_max) {
		series = make_series(family, values);
		if (series != NULL) {
			family->series_count++;
			atomic_store(&family->slots[slot], series);
		}
	}
	pthread_mutex_unlock(&family->lock);
	return series == NULL ? family->other : series;
}

void
metrics_add(struct metric_series *series, int64_t amount)
{
	if (series == NULL)
		return;
	atomic_fetch_add_explicit(&series->value, amount, memory_order_relaxed);
}

void
metrics_set(struct metric_series *series, int64_t value)
{
	if (series == NULL)
		return;
	atomic_store_explicit(&series->value, value, memory_order_relaxed);
}

void
metrics_observe(struct metric_series *series, double value)
{
	const struct metric_settings *settings;
	uint32_t i;

	if (series == NULL)
		return;
	settings = &series->family->settings;
	for (i = 0; i < settings->bucket_count; i++) {
		if (value <= settings->buckets[i])
			break;
	}
	atomic_fetch_add_explicit(&series->buckets[i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&series->sum,
	    (int64_t)(value * SUM_UNITS_PER_ONE), memory_order_relaxed);
	atomic_fetch_add_explicit(&series->value, 1, memory_order_relaxed);
}

int64_t
metrics_value(const struct metric_series *series)
{
	return series == NULL ? 0 : atomic_load(&series->value);
}

void
metrics_write(const struct metrics_registry *registry, GString *out)
{
	uint32_t count;
	uint32_t i;

	count = atomic_load(&registry->family_count);
	for (i = 0; i < count; i++)
		write_family(registry->families[i], out);
}

static bool
are_settings_valid(const struct metric_settings *settings)
{
	uint32_t i;

	if (!is_valid_name(settings->name) || settings->help == NULL ||
	    settings->series_max > SERIES_MAX)
		return false;
	for (i = 0; i < METRIC_LABELS_MAX && settings->labels[i] != NULL; i++) {
		if (!is_valid_name(settings->labels[i]))
			return false;
	}
	if (settings->kind != METRIC_KIND_HISTOGRAM)
		return settings->bucket_count == 0;
	if (settings->bucket_count == 0 ||
	    settings->bucket_count > METRIC_BUCKETS_MAX)
		return false;
	for (i = 1; i < settings->bucket_count; i++) {
		if (settings->buckets[i] <= settings->buckets[i - 1])
			return false;
	}
	return true;
}

static bool
is_valid_name(const char *name)
{
	if (name == NULL || (!isalpha((unsigned char)*name) && *name != '_'))
		return false;
	for (; *name != '\0'; name++) {
		if (!isalnum((unsigned char)*name) && *name != '_')
			return false;
	}
	return true;
}

static struct metric_series *
make_series(const struct metric_family *family, const char *const *values)
{
	struct metric_series *series;
	uint32_t i;

	series = calloc(1, sizeof(*series));
	if (series == NULL)
		return NULL;
	series->family = family;
	for (i = 0; i < family->label_count; i++)
		series->values[i] = g_strndup(values[i], VALUE_SIZE_MAX);
	return series;
}

static void
free_series(struct metric_series *series)
{
	uint32_t i;

	if (series == NULL)
		return;
	for (i = 0; i < METRIC_LABELS_MAX; i++)
		g_free(series->values[i]);
	free(series);
}

static void
free_family(struct metric_family *family)
{
	uint32_t i;

	for (i = 0; i < family->slot_count; i++)
		free_series(family->slots[i]);
	free_series(family->other);
	pthread_mutex_destroy(&family->lock);
	free(family);
}

/* Returns the series with these values, or NULL with @p slot set to the empty
 * slot where it belongs. There always is an empty slot, since there are more
 * slots than series. */
static struct metric_series *
find_series(
    struct metric_family *family, const char *const *values, uint32_t *slot)
{
	struct metric_series *series;
	uint32_t hash;
	uint32_t i;

	hash = 0;
	for (i = 0; i < family->label_count; i++)
		hash = hash * 31 + g_str_hash(values[i]);
	*slot = hash % family->slot_count;
	while ((series = atomic_load(&family->slots[*slot])) != NULL) {
		if (has_values(series, values))
			return series;
		*slot = (*slot + 1) % family->slot_count;
	}
	return NULL;
}

static bool
has_values(const struct metric_series *series, const char *const *values)
{
	uint32_t i;

	for (i = 0; i < series->family->label_count; i++) {
		if (strncmp(series->values[i], values[i], VALUE_SIZE_MAX) != 0)
			return false;
	}
	return true;
}

static void
write_family(const struct metric_family *family, GString *out)
{
	static const char *const kinds[] = {
	    "untyped", "counter", "gauge", "histogram"};
	const struct metric_settings *settings = &family->settings;
	const struct metric_series *series;
	uint32_t i;

	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
	    settings->name, settings->help, settings->name,
	    kinds[settings->kind]);
	for (i = 0; i < family->slot_count; i++) {
		series = atomic_load(&family->slots[i]);
		if (series != NULL)
			write_series(series, out);
	}
	if (metrics_value(family->other) != 0)
		write_series(family->other, out);
}

static void
write_series(const struct metric_series *series, GString *out)
{
	if (series->family->settings.kind == METRIC_KIND_HISTOGRAM) {
		write_histogram(series, out);
		return;
	}
	g_string_append(out, series->family->settings.name);
	write_labels(series, NULL, out);
	g_string_append_printf(out, " %" PRId64 "\n", metrics_value(series));
}

static void
write_histogram(const struct metric_series *series, GString *out)
{
	const struct metric_settings *settings = &series->family->settings;
	char bucket_bound[G_ASCII_DTOSTR_BUF_SIZE];
	int64_t sum;
	int64_t total;
	uint32_t i;

	total = 0;
	for (i = 0; i <= settings->bucket_count; i++) {
		total += atomic_load(&series->buckets[i]);
		if (i < settings->bucket_count)
			g_ascii_formatd(bucket_bound, sizeof(bucket_bound),
			    "%g", settings->buckets[i]);
		else
			g_strlcpy(bucket_bound, "+Inf", sizeof(bucket_bound));
		g_string_append_printf(out, "%s_bucket", settings->name);
		write_labels(series, bucket_bound, out);
		g_string_append_printf(out, " %" PRId64 "\n", total);
	}
	sum = atomic_load(&series->sum);
	g_string_append_printf(out, "%s_sum", settings->name);
	write_labels(series, NULL, out);
	g_ascii_formatd(bucket_bound, sizeof(bucket_bound), "%.6f",
	    (double)sum / SUM_UNITS_PER_ONE);
	g_string_append_printf(
	    out, " %s\n%s_count", bucket_bound, settings->name);
	write_labels(series, NULL, out);
	/* The count is the total of the buckets printed above. The counter
	 * itself may have been increased since, and would contradict them. */
	g_string_append_printf(out, " %" PRId64 "\n", total);
}

static void
write_labels(
    const struct metric_series *series, const char *bucket_bound, GString *out)
{
	const struct metric_family *family = series->family;
	const char *separator;
	uint32_t i;

	if (family->label_count == 0 && bucket_bound == NULL)
		return;
	separator = "{";
	for (i = 0; i < family->label_count; i++) {
		g_string_append_printf(
		    out, "%s%s=\"", separator, family->settings.labels[i]);
		write_escaped(series->values[i], out);
		g_string_append_c(out, '"');
		separator = ",";
	}
	if (bucket_bound != NULL)
		g_string_append_printf(
		    out, "%sle=\"%s\"", separator, bucket_bound);
	g_string_append_c(out, '}');
}

static void
write_escaped(const char *text, GString *out)
{
	for (; *text != '\0'; text++) {
		if (*text == '\n') {
			g_string_append(out, "\\n");
			continue;
		}
		if (*text == '"' || *text == '\\')
			g_string_append_c(out, '\\');
		g_string_append_c(out, *text);
	}
}
