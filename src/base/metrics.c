#include "base/metrics.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define LABEL_OTHER	 "other" /* Value of all labels past the bound. */
#define VALUE_SIZE_MAX	 128	 /* Bytes of a label's value. */
#define SLOTS_PER_SERIES 2	 /* Keeps the search short. */
#define SERIES_MAX	 65536	 /* Most series of a family. */
#define SUM_SCALE	 1000000 /* Parts of a unit kept in a sum. */

struct metric_series {
	const struct metric_family *family;
	char *values[METRIC_LABELS_MAX]; /* Never change. */
	_Atomic int64_t value;		 /* Counter, gauge, or count. */
	_Atomic int64_t sum;		 /* Histogram: in parts. */
	_Atomic int64_t buckets[METRIC_BUCKETS_MAX + 1];
};

/* Series are found by open addressing. Slots only ever go from empty to full,
 * so a reader needs no lock; adding is serialised. */
struct metric_family {
	struct metric_settings settings;
	uint32_t label_count;
	pthread_mutex_t lock;
	uint32_t series_count; /* Under the lock. */
	uint32_t slot_count;
	struct metric_series *other;
	struct metric_series *_Atomic slots[];
};

static bool is_well_formed(const struct metric_settings *settings);
static bool is_name(const char *name);
static struct metric_series *make_series(
    const struct metric_family *family, const char *const *values);
static void free_series(struct metric_series *series);
static void free_family(struct metric_family *family);
static struct metric_series *find_series(
    struct metric_family *family, const char *const *values, uint32_t *slot);
static bool same_values(
    const struct metric_series *series, const char *const *values);
static void write_family(const struct metric_family *family, GString *out);
static void write_series(const struct metric_series *series, GString *out);
static void write_histogram(const struct metric_series *series, GString *out);
static void write_labels(
    const struct metric_series *series, const char *bound, GString *out);
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
	static const char *const others[METRIC_LABELS_MAX] = {
	    LABEL_OTHER, LABEL_OTHER, LABEL_OTHER, LABEL_OTHER};
	struct metric_family *family;
	uint32_t slots;
	uint32_t index;

	if (!is_well_formed(settings))
		return NULL;
	slots = settings->series_max * SLOTS_PER_SERIES + 1;
	family = calloc(1, sizeof(*family) + slots * sizeof(family->slots[0]));
	if (family == NULL)
		return NULL;
	family->settings = *settings;
	family->slot_count = slots;
	while (family->label_count < METRIC_LABELS_MAX &&
	       settings->labels[family->label_count] != NULL)
		family->label_count++;
	pthread_mutex_init(&family->lock, NULL);
	family->other = make_series(family, others);
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
metrics_series(struct metric_family *family, const char *const *values)
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
	atomic_fetch_add_explicit(
	    &series->sum, (int64_t)(value * SUM_SCALE), memory_order_relaxed);
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
is_well_formed(const struct metric_settings *settings)
{
	uint32_t i;

	if (!is_name(settings->name) || settings->help == NULL ||
	    settings->series_max > SERIES_MAX)
		return false;
	for (i = 0; i < METRIC_LABELS_MAX && settings->labels[i] != NULL; i++) {
		if (!is_name(settings->labels[i]))
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
is_name(const char *name)
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

/* Gives the slot where it would go when it is not there; some slot is always
 * empty, since there are more slots than series. */
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
		if (same_values(series, values))
			return series;
		*slot = (*slot + 1) % family->slot_count;
	}
	return NULL;
}

static bool
same_values(const struct metric_series *series, const char *const *values)
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
	char bound[G_ASCII_DTOSTR_BUF_SIZE];
	int64_t sum;
	int64_t total;
	uint32_t i;

	total = 0;
	for (i = 0; i <= settings->bucket_count; i++) {
		total += atomic_load(&series->buckets[i]);
		if (i < settings->bucket_count)
			g_ascii_formatd(
			    bound, sizeof(bound), "%g", settings->buckets[i]);
		else
			g_strlcpy(bound, "+Inf", sizeof(bound));
		g_string_append_printf(out, "%s_bucket", settings->name);
		write_labels(series, bound, out);
		g_string_append_printf(out, " %" PRId64 "\n", total);
	}
	sum = atomic_load(&series->sum);
	g_string_append_printf(out, "%s_sum", settings->name);
	write_labels(series, NULL, out);
	g_ascii_formatd(bound, sizeof(bound), "%.6f", (double)sum / SUM_SCALE);
	g_string_append_printf(out, " %s\n%s_count", bound, settings->name);
	write_labels(series, NULL, out);
	/* The sum of the buckets, so that one page never contradicts itself. */
	g_string_append_printf(out, " %" PRId64 "\n", total);
}

static void
write_labels(
    const struct metric_series *series, const char *bound, GString *out)
{
	const struct metric_family *family = series->family;
	const char *mark;
	uint32_t i;

	if (family->label_count == 0 && bound == NULL)
		return;
	mark = "{";
	for (i = 0; i < family->label_count; i++) {
		g_string_append_printf(
		    out, "%s%s=\"", mark, family->settings.labels[i]);
		write_escaped(series->values[i], out);
		g_string_append_c(out, '"');
		mark = ",";
	}
	if (bound != NULL)
		g_string_append_printf(out, "%sle=\"%s\"", mark, bound);
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
