#include <inttypes.h>

#include "base/build_metric.h"
#include "relay/relay_parts.h"
#include "state/state_level.h"

#define NAME_PREFIX "chicorytack_relay_"

/* Upper bounds of the histogram buckets in milliseconds. The range covers the
 * target times of callers. */
static const double buckets_ms[] = {25, 50, 100, 150, 200, 300, 500, 750, 1000,
    1500, 2000, 3000, 4000, 6000, 10000, 15000};

static void write_gauge(
    GString *out, const char *name, const char *help, uint64_t value);
static struct metric_series *add_histogram(
    struct relay *relay, const char *name, const char *help);

void
relay_metrics_init(struct relay *relay)
{
	struct relay_counters *counters = &relay->counters;

	metrics_init(&relay->registry);
	counters->first_event_ms =
	    add_histogram(relay, NAME_PREFIX "first_event_ms",
		"Milliseconds from a request to its first event.");
	counters->answer_ms = add_histogram(relay, NAME_PREFIX "answer_ms",
	    "Milliseconds from a request to the end of its answer.");
	counters->turn_ms = add_histogram(relay, NAME_PREFIX "turn_ms",
	    "Milliseconds that a long prompt waited for its turn.");
	/* Without memory the metric is missing, as any other here. */
	(void)build_metric_add(&relay->registry, STATE_LEVEL_LATEST);
}

void
relay_metrics_finish(struct relay *relay)
{
	metrics_finish(&relay->registry);
}

void
relay_metrics_write(struct relay *relay, GString *out)
{
	struct border_counters *border = &relay->placement.border;
	struct relay_counters *counters = &relay->counters;
	const struct {
		const char *name;
		const char *help;
		_Atomic uint64_t *value;
	} rows[] = {
	    {"requests", "Requests that were read whole.", &counters->requests},
	    {"answered", "Answers of upstreams passed on.",
		&counters->answered},
	    {"refused", "Own answers: not run.", &counters->refused},
	    {"denied", "Own answers: not allowed or not found.",
		&counters->denied},
	    {"failed", "Own answers: failed or too late.", &counters->failed},
	    {"broken", "Answers broken off midway.", &counters->broken},
	    {"left", "Callers that left before the end.",
		&counters->callers_left},
	    {"retries", "Attempts after the first.", &counters->retries},
	    {"forwarded", "Attempts forwarded to another host.",
		&counters->forwarded},
	    {"forwards_taken", "Requests taken from other hosts.",
		&counters->forwards_taken},
	    {"resumes", "Streams that went on elsewhere.", &counters->resumes},
	    {"stayed", "Attempts at upstreams of this data centre.",
		&border->stayed},
	    {"left_for_gain",
		"Attempts that left the data centre as that paid.",
		&border->left_for_gain},
	    {"left_for_want",
		"Attempts that left the data centre as none here could take "
		"them.",
		&border->left_for_want},
	    {"left_bytes", "Bytes of requests that left the data centre.",
		&border->bytes},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(out,
		    "# HELP " NAME_PREFIX "%s_total %s\n"
		    "# TYPE " NAME_PREFIX "%s_total counter\n" NAME_PREFIX
		    "%s_total %" PRIu64 "\n",
		    rows[i].name, rows[i].help, rows[i].name, rows[i].name,
		    (uint64_t)atomic_load(rows[i].value));
	write_gauge(out, "held_bytes",
	    "Bytes of answers held until they are whole.",
	    atomic_load(&counters->held_bytes));
	write_gauge(out, "queued_bytes",
	    "Bytes of answers queued for callers that read slowly, when one of "
	    "them had many.",
	    atomic_load(&counters->queued_bytes));
	metrics_write(&relay->registry, out);
}

static void
write_gauge(GString *out, const char *name, const char *help, uint64_t value)
{
	g_string_append_printf(out,
	    "# HELP " NAME_PREFIX "%s %s\n# TYPE " NAME_PREFIX
	    "%s gauge\n" NAME_PREFIX "%s %" PRIu64 "\n",
	    name, help, name, name, value);
}

static struct metric_series *
add_histogram(struct relay *relay, const char *name, const char *help)
{
	struct metric_settings settings = {
	    .kind = METRIC_KIND_HISTOGRAM,
	    .series_max = 1,
	    .name = name,
	    .help = help,
	    .buckets = buckets_ms,
	    .bucket_count = G_N_ELEMENTS(buckets_ms),
	};

	return metrics_get_series(
	    metrics_add_family(&relay->registry, &settings), NULL);
}
