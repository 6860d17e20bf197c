#include "request/request_metrics.h"

#include <string.h>

#include "base/build_metric.h"
#include "state/state_level.h"

/* Most label combinations per family, which bounds memory and scrape size. */
/* Largest number of series of a family with a client_account label. */
#define ACCOUNT_SERIES_MAX 512
/* Largest number of series of a family with a data_centre label. */
#define CENTRE_SERIES_MAX 128
/* Largest number of series of a family with a cause or name label. */
#define CAUSE_SERIES_MAX 64

/* Upper bound of each band of prompt length, in tokens, and its label. The last
 * band is unbounded. */
static const struct {
	uint64_t tokens;
	const char *name;
} bands[PROMPT_BAND_COUNT] = {
    {4000, "4k"},
    {32000, "32k"},
    {100000, "100k"},
    {UINT64_MAX, "1M"},
};

/* Upper bounds of the histogram buckets, in milliseconds. */
static const double buckets[] = {10, 25, 50, 100, 200, 350, 700, 1000, 2000,
    5000, 10000, 30000, 60000, 300000};

#define BUCKET_COUNT (sizeof(buckets) / sizeof(buckets[0]))

static struct metric_family *add_histogram(
    struct metrics_registry *registry, const char *name, const char *help);
static struct metric_family *add_simple(struct metrics_registry *registry,
    enum metric_kind kind, const char *name, const char *help,
    const char *label);

enum error_code
request_metrics_init(struct request_metrics *metrics)
{
	struct metrics_registry *registry = &metrics->registry;
	struct metric_settings requests = {
	    .kind = METRIC_KIND_COUNTER,
	    .name = "chicorytack_requests_total",
	    .help = "Requests by how they ended",
	    .labels = {"client_account", "band", "end"},
	    .series_max = ACCOUNT_SERIES_MAX,
	};

	memset(metrics, 0, sizeof(*metrics));
	metrics_init(registry);
	metrics->requests = metrics_add_family(registry, &requests);
	metrics->first_token =
	    add_histogram(registry, "chicorytack_first_token_ms",
		"Milliseconds from arrival to the first token");
	metrics->duration = add_histogram(registry, "chicorytack_duration_ms",
	    "Milliseconds from arrival to the end");
	metrics->retries = add_simple(registry, METRIC_KIND_COUNTER,
	    "chicorytack_retries_total", "Further attempts, by cause", "cause");
	metrics->refusals = add_simple(registry, METRIC_KIND_COUNTER,
	    "chicorytack_refusals_total", "Requests refused, by cause",
	    "cause");
	metrics->gauges = add_simple(registry, METRIC_KIND_GAUGE,
	    "chicorytack_host", "State of the host, by name", "name");
	if (metrics->requests == NULL || metrics->first_token == NULL ||
	    metrics->duration == NULL || metrics->retries == NULL ||
	    metrics->refusals == NULL || metrics->gauges == NULL ||
	    build_metric_add(registry, STATE_LEVEL_LATEST) != ERROR_NONE) {
		metrics_finish(registry);
		return ERROR_NO_MEMORY;
	}
	return ERROR_NONE;
}

void
request_metrics_finish(struct request_metrics *metrics)
{
	metrics_finish(&metrics->registry);
}

uint32_t
prompt_band(uint64_t prompt_tokens)
{
	uint32_t band;

	for (band = 0; prompt_tokens > bands[band].tokens; band++)
		continue;
	return band;
}

const char *
prompt_band_name(uint32_t band)
{
	return band < PROMPT_BAND_COUNT ? bands[band].name : "unknown";
}

void
request_metrics_record_first_token(struct request_metrics *metrics,
    const char *data_centre, uint64_t prompt_tokens, int64_t elapsed_ms)
{
	const char *values[2];
	uint32_t band;

	band = prompt_band(prompt_tokens);
	values[0] = data_centre;
	values[1] = bands[band].name;
	metrics_observe(metrics_get_series(metrics->first_token, values),
	    (double)elapsed_ms);
	atomic_fetch_add(&metrics->bands[band].count, 1);
	atomic_fetch_add(&metrics->bands[band].sum_ms, (uint64_t)elapsed_ms);
}

void
request_metrics_record_end(struct request_metrics *metrics, const char *account,
    const char *data_centre, uint64_t prompt_tokens, const char *end,
    int64_t elapsed_ms)
{
	const char *by_account[3], *by_centre[2];

	by_account[0] = account;
	by_account[1] = bands[prompt_band(prompt_tokens)].name;
	by_account[2] = end;
	metrics_add(metrics_get_series(metrics->requests, by_account), 1);
	by_centre[0] = data_centre;
	by_centre[1] = by_account[1];
	metrics_observe(metrics_get_series(metrics->duration, by_centre),
	    (double)elapsed_ms);
}

void
request_metrics_record_refusal(
    struct request_metrics *metrics, enum error_code cause)
{
	const char *values[1];

	values[0] = error_name(cause);
	metrics_add(metrics_get_series(metrics->refusals, values), 1);
}

void
request_metrics_record_retry(
    struct request_metrics *metrics, enum error_code cause)
{
	const char *values[1];

	values[0] = error_name(cause);
	metrics_add(metrics_get_series(metrics->retries, values), 1);
}

void
request_metrics_set_gauge(
    struct request_metrics *metrics, const char *name, int64_t value)
{
	const char *values[1];

	values[0] = name;
	metrics_set(metrics_get_series(metrics->gauges, values), value);
}

static struct metric_family *
add_histogram(
    struct metrics_registry *registry, const char *name, const char *help)
{
	struct metric_settings settings = {
	    .kind = METRIC_KIND_HISTOGRAM,
	    .name = name,
	    .help = help,
	    .labels = {"data_centre", "band"},
	    .series_max = CENTRE_SERIES_MAX,
	    .buckets = buckets,
	    .bucket_count = BUCKET_COUNT,
	};

	return metrics_add_family(registry, &settings);
}

static struct metric_family *
add_simple(struct metrics_registry *registry, enum metric_kind kind,
    const char *name, const char *help, const char *label)
{
	struct metric_settings settings = {
	    .kind = kind,
	    .name = name,
	    .help = help,
	    .labels = {label},
	    .series_max = CAUSE_SERIES_MAX,
	};

	return metrics_add_family(registry, &settings);
}
