/**
 * @file bench_load.c
 * Sends a bounded load, drawn from a seed, to real hosts at 127.0.0.1 and
 * checks that each answer is complete and belongs to its request.
 *
 * Prints JSON lines with outcomes and first token times. With --direct the same
 * prompts also go straight to a stand-in engine, which shows the time that the
 * hosts add. Fails if an answer was lost or belongs to another request.
 */
#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "base/monotonic_clock.h"
#include "load_call.h"
#include "load_plan.h"

#define CONCURRENCY_MAX 256
#define REQUESTS_MAX	100000
#define LOOPBACK	"http://127.0.0.1:"

/* One run of all planned requests, against the hosts or the stand-in. */
struct load_run {
	const struct load_settings *settings;
	bool is_direct;
	int64_t start_us;
	int64_t *due_times_us; /* When each request is due, from the start. */
	atomic_uint next_number;
	struct load_result *results;
};

static void set_defaults(struct load_settings *settings);
static bool parse_options(
    struct load_settings *settings, int count, char **arguments);
static bool parse_option(
    struct load_settings *settings, int option, const char *value);
static bool parse_band_weights(
    struct load_settings *settings, const char *value);
static bool check_settings(const struct load_settings *settings);
static bool run_plan(struct load_run *run);
static void *run_worker(void *context);
static void print_results(const struct load_run *run);
static json_t *summarise(const struct load_run *run, int band);
static json_t *summarise_percentiles(GArray *values);
static double percentile_ms(GArray *values, double share);
static gint compare_times(gconstpointer left, gconstpointer right);
static void print_added_latency(
    const struct load_run *hosts, const struct load_run *direct);
static bool has_no_lost_or_wrong(const struct load_run *run);

int
main(int count, char **arguments)
{
	struct load_settings settings;
	struct load_run hosts;
	struct load_run direct;
	bool has_succeeded;

	memset(&hosts, 0, sizeof(hosts));
	memset(&direct, 0, sizeof(direct));
	set_defaults(&settings);
	if (!parse_options(&settings, count, arguments) ||
	    !check_settings(&settings))
		return EXIT_FAILURE;
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	hosts.settings = &settings;
	direct.settings = &settings;
	direct.is_direct = true;
	has_succeeded = false;
	if (settings.url_count > 0) {
		if (!run_plan(&hosts))
			goto done;
		print_results(&hosts);
	}
	if (settings.direct_url[0] != '\0') {
		if (!run_plan(&direct))
			goto done;
		print_results(&direct);
	}
	if (hosts.results != NULL && direct.results != NULL)
		print_added_latency(&hosts, &direct);
	has_succeeded =
	    has_no_lost_or_wrong(&hosts) && has_no_lost_or_wrong(&direct);

done:
	free(hosts.results);
	free(hosts.due_times_us);
	free(direct.results);
	free(direct.due_times_us);
	curl_global_cleanup();
	return has_succeeded ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void
set_defaults(struct load_settings *settings)
{
	static const uint32_t weights[LOAD_BAND_COUNT] = {80, 14, 4, 2};

	memset(settings, 0, sizeof(*settings));
	settings->seed = 1;
	settings->request_count = 200;
	settings->concurrency = 16;
	settings->deadline_ms = 30000;
	settings->answer_tokens_max = 16;
	settings->prompt_tokens_max = 200000;
	settings->stream_percent = 80;
	memcpy(settings->band_weights, weights, sizeof(weights));
	strcpy(settings->model, "m1");
	strcpy(settings->service, "booking");
}

static bool
parse_options(struct load_settings *settings, int count, char **arguments)
{
	static const struct option options[] = {
	    {"host", required_argument, NULL, 'h'},
	    {"direct", required_argument, NULL, 'd'},
	    {"seed", required_argument, NULL, 's'},
	    {"requests", required_argument, NULL, 'n'},
	    {"concurrency", required_argument, NULL, 'c'},
	    {"rate", required_argument, NULL, 'r'},
	    {"deadline-ms", required_argument, NULL, 't'},
	    {"answer-tokens", required_argument, NULL, 'a'},
	    {"prompt-tokens-max", required_argument, NULL, 'p'},
	    {"bands", required_argument, NULL, 'b'},
	    {"stream-percent", required_argument, NULL, 'S'},
	    {"service-percent", required_argument, NULL, 'C'},
	    {"model", required_argument, NULL, 'm'},
	    {"service", required_argument, NULL, 'v'},
	    {"token", required_argument, NULL, 'k'},
	    {NULL, 0, NULL, 0},
	};
	int option;

	while (
	    (option = getopt_long(count, arguments, "", options, NULL)) != -1) {
		if (option == '?' || !parse_option(settings, option, optarg)) {
			fprintf(stderr,
			    "usage: bench_load --host URL... [--direct URL] "
			    "[--seed N] [--requests N] [--concurrency N] "
			    "[--rate PER_S] [--deadline-ms N] "
			    "[--answer-tokens N] [--prompt-tokens-max N] "
			    "[--bands W,W,W,W] [--stream-percent N] "
			    "[--service-percent N] [--model M] [--service S] "
			    "[--token T]...\n");
			return false;
		}
	}
	return true;
}

static bool
parse_option(struct load_settings *settings, int option, const char *value)
{
	const uint32_t number = (uint32_t)strtoul(value, NULL, 10);

	switch (option) {
	case 'h':
		if (settings->url_count == LOAD_URLS_MAX)
			return false;
		g_strlcpy(
		    settings->urls[settings->url_count++], value, URL_SIZE_MAX);
		break;
	case 'd':
		g_strlcpy(settings->direct_url, value, URL_SIZE_MAX);
		break;
	case 's':
		settings->seed = number;
		break;
	case 'n':
		settings->request_count = number;
		break;
	case 'c':
		settings->concurrency = number;
		break;
	case 'r':
		settings->arrivals_per_s = g_ascii_strtod(value, NULL);
		break;
	case 't':
		settings->deadline_ms = number;
		break;
	case 'a':
		settings->answer_tokens_max = number;
		break;
	case 'p':
		settings->prompt_tokens_max = number;
		break;
	case 'b':
		return parse_band_weights(settings, value);
	case 'S':
		settings->stream_percent = number;
		break;
	case 'C':
		settings->service_percent = number;
		break;
	case 'm':
		g_strlcpy(settings->model, value, NAME_SIZE_MAX);
		break;
	case 'v':
		g_strlcpy(settings->service, value, NAME_SIZE_MAX);
		break;
	case 'k':
		if (settings->token_count == LOAD_TOKENS_MAX)
			return false;
		g_strlcpy(settings->tokens[settings->token_count++], value,
		    NAME_SIZE_MAX);
		break;
	default:
		return false;
	}
	return true;
}

static bool
parse_band_weights(struct load_settings *settings, const char *value)
{
	char *end;
	uint32_t total;
	uint32_t i;

	total = 0;
	for (i = 0; i < LOAD_BAND_COUNT; i++) {
		settings->band_weights[i] = (uint32_t)strtoul(value, &end, 10);
		total += settings->band_weights[i];
		if (end == value || (*end != ',' && i + 1 < LOAD_BAND_COUNT))
			return false;
		value = end + 1;
	}
	return total > 0;
}

/* Checks that all targets are on this machine and that the load is within its
 * limits; prints what is expected if not. */
static bool
check_settings(const struct load_settings *settings)
{
	uint32_t i;

	if (settings->url_count == 0 && settings->direct_url[0] == '\0')
		goto invalid;
	for (i = 0; i < settings->url_count; i++) {
		if (!g_str_has_prefix(settings->urls[i], LOOPBACK))
			goto invalid;
	}
	if (settings->direct_url[0] != '\0' &&
	    !g_str_has_prefix(settings->direct_url, LOOPBACK))
		goto invalid;
	if (settings->concurrency == 0 ||
	    settings->concurrency > CONCURRENCY_MAX ||
	    settings->request_count == 0 ||
	    settings->request_count > REQUESTS_MAX ||
	    settings->deadline_ms == 0 || settings->prompt_tokens_max < 1000)
		goto invalid;
	return true;

invalid:
	fprintf(stderr,
	    "expected --host or --direct with a URL at %s, a concurrency of "
	    "1 to %d, 1 to %d requests, a deadline of at least 1 ms and a "
	    "longest prompt of at least 1000 tokens\n",
	    LOOPBACK, CONCURRENCY_MAX, REQUESTS_MAX);
	return false;
}

static bool
run_plan(struct load_run *run)
{
	const struct load_settings *settings = run->settings;
	pthread_t threads[CONCURRENCY_MAX];
	uint32_t thread_count;
	uint32_t i;

	run->due_times_us = load_plan_due_times_us(settings);
	run->results = calloc(settings->request_count, sizeof(*run->results));
	if (run->due_times_us == NULL || run->results == NULL)
		return false;
	run->start_us = clock_monotonic_us();
	for (thread_count = 0; thread_count < settings->concurrency;
	     thread_count++) {
		if (pthread_create(
			&threads[thread_count], NULL, run_worker, run) != 0)
			break;
	}
	for (i = 0; i < thread_count; i++)
		pthread_join(threads[i], NULL);
	return thread_count > 0;
}

static void *
run_worker(void *context)
{
	struct load_run *run = context;
	const struct load_settings *settings = run->settings;
	struct load_request request;
	int64_t due_us;
	int64_t wait_us;
	uint32_t number;

	while ((number = atomic_fetch_add(&run->next_number, 1)) <
	       settings->request_count) {
		load_plan_request(settings, number, &request);
		/* In an open loop the latency counts from the due time and so
		 * includes the wait for a free worker. Otherwise slow periods
		 * would delay requests without showing in the figures. */
		due_us = clock_monotonic_us();
		if (settings->arrivals_per_s > 0) {
			due_us = run->start_us + run->due_times_us[number];
			wait_us = due_us - clock_monotonic_us();
			if (wait_us > 0)
				usleep((useconds_t)wait_us);
		}
		load_call(settings, &request, run->is_direct, due_us,
		    &run->results[number]);
	}
	return NULL;
}

static void
print_results(const struct load_run *run)
{
	json_t *line;
	int band;

	for (band = 0; band <= LOAD_BAND_COUNT; band++) {
		line = summarise(run, band);
		json_dumpf(line, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
		putchar('\n');
		json_decref(line);
	}
	fflush(stdout);
}

/* Result line of one band of prompt lengths; LOAD_BAND_COUNT selects all
 * bands together. */
static json_t *
summarise(const struct load_run *run, int band)
{
	const struct load_result *result;
	uint32_t counts[LOAD_OUTCOME_COUNT];
	GArray *first_token_times_us;
	json_t *line;
	uint32_t late_count;
	uint32_t i;

	memset(counts, 0, sizeof(counts));
	late_count = 0;
	first_token_times_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; i < run->settings->request_count; i++) {
		result = &run->results[i];
		if (band != LOAD_BAND_COUNT && result->band != (uint32_t)band)
			continue;
		counts[result->outcome]++;
		if (result->is_late)
			late_count++;
		if (result->outcome == LOAD_OUTCOME_DONE &&
		    result->has_first_token)
			g_array_append_val(
			    first_token_times_us, result->first_token_us);
	}
	line = json_pack("{s:s, s:s, s:I, s:o, s:i}", "target",
	    run->is_direct ? "direct" : "hosts", "band",
	    band == LOAD_BAND_COUNT ? "all" : load_band_name((uint32_t)band),
	    "seed", (json_int_t)run->settings->seed, "first_token_ms",
	    summarise_percentiles(first_token_times_us), "late",
	    (int)late_count);
	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		json_object_set_new(
		    line, load_outcome_name(i), json_integer(counts[i]));
	g_array_free(first_token_times_us, TRUE);
	return line;
}

static json_t *
summarise_percentiles(GArray *values)
{
	if (values->len == 0)
		return json_pack("{s:i}", "count", 0);
	g_array_sort(values, compare_times);
	return json_pack("{s:i, s:f, s:f, s:f}", "count", (int)values->len,
	    "p50", percentile_ms(values, 0.5), "p95",
	    percentile_ms(values, 0.95), "p99", percentile_ms(values, 0.99));
}

static double
percentile_ms(GArray *values, double share)
{
	guint index;

	index = (guint)(share * (double)(values->len - 1) + 0.5);
	return (double)g_array_index(values, int64_t, index) / 1000;
}

static gint
compare_times(gconstpointer left, gconstpointer right)
{
	const int64_t *first_time = left;
	const int64_t *second_time = right;

	return (*first_time > *second_time) - (*first_time < *second_time);
}

/* Prints the first token time that the hosts add. Both runs send the same
 * prompts, so the times are compared request by request. */
static void
print_added_latency(const struct load_run *hosts, const struct load_run *direct)
{
	GArray *differences_us;
	int64_t difference;
	json_t *line;
	uint32_t i;

	differences_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; i < hosts->settings->request_count; i++) {
		if (!hosts->results[i].has_first_token ||
		    !direct->results[i].has_first_token)
			continue;
		difference = hosts->results[i].first_token_us -
			     direct->results[i].first_token_us;
		g_array_append_val(differences_us, difference);
	}
	line = json_pack("{s:s, s:o}", "target", "added", "first_token_ms",
	    summarise_percentiles(differences_us));
	json_dumpf(line, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(line);
	g_array_free(differences_us, TRUE);
}

/* True if every request got a correct answer or an error of the host. */
static bool
has_no_lost_or_wrong(const struct load_run *run)
{
	uint32_t i;

	if (run->results == NULL)
		return true;
	for (i = 0; i < run->settings->request_count; i++) {
		if (run->results[i].outcome == LOAD_OUTCOME_LOST ||
		    run->results[i].outcome == LOAD_OUTCOME_WRONG)
			return false;
	}
	return true;
}
