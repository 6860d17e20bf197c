/**
 * @file bench_load.c
 * A seeded, bounded load on real hosts at 127.0.0.1; checks that each answer
 * is whole and its request's own, and prints JSON lines.
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

/* One run of the whole plan. */
struct run {
	const struct load_settings *settings;
	bool direct;
	int64_t started_us;
	int64_t *times; /* When requests are due, from the start. */
	atomic_uint next;
	struct load_result *results;
};

static void set_defaults(struct load_settings *settings);
static bool read_options(
    struct load_settings *settings, int count, char **arguments);
static bool read_option(
    struct load_settings *settings, int option, const char *value);
static bool read_weights(struct load_settings *settings, const char *value);
static bool check_settings(const struct load_settings *settings);
static bool execute(struct run *run);
static void *work(void *context);
static void print_results(const struct run *run);
static json_t *summarise(const struct run *run, int band);
static json_t *percentiles(GArray *values);
static double percentile_ms(GArray *values, double share);
static gint compare_times(gconstpointer left, gconstpointer right);
static void print_added(const struct run *hosts, const struct run *direct);
static bool all_answered(const struct run *run);

int
main(int count, char **arguments)
{
	struct load_settings settings;
	struct run hosts;
	struct run direct;
	bool good;

	memset(&hosts, 0, sizeof(hosts));
	memset(&direct, 0, sizeof(direct));
	set_defaults(&settings);
	if (!read_options(&settings, count, arguments) ||
	    !check_settings(&settings))
		return EXIT_FAILURE;
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	hosts.settings = &settings;
	direct.settings = &settings;
	direct.direct = true;
	good = false;
	if (settings.url_count > 0) {
		if (!execute(&hosts))
			goto done;
		print_results(&hosts);
	}
	if (settings.direct_url[0] != '\0') {
		if (!execute(&direct))
			goto done;
		print_results(&direct);
	}
	if (hosts.results != NULL && direct.results != NULL)
		print_added(&hosts, &direct);
	good = all_answered(&hosts) && all_answered(&direct);

done:
	free(hosts.results);
	free(hosts.times);
	free(direct.results);
	free(direct.times);
	curl_global_cleanup();
	return good ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void
set_defaults(struct load_settings *settings)
{
	static const uint32_t weights[LOAD_BANDS] = {80, 14, 4, 2};

	memset(settings, 0, sizeof(*settings));
	settings->seed = 1;
	settings->requests = 200;
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
read_options(struct load_settings *settings, int count, char **arguments)
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
		if (option == '?' || !read_option(settings, option, optarg)) {
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
read_option(struct load_settings *settings, int option, const char *value)
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
		settings->requests = number;
		break;
	case 'c':
		settings->concurrency = number;
		break;
	case 'r':
		settings->rate_per_s = g_ascii_strtod(value, NULL);
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
		return read_weights(settings, value);
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
		if (settings->token_count == LOAD_ACCOUNTS_MAX)
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
read_weights(struct load_settings *settings, const char *value)
{
	char *end;
	uint32_t total;
	uint32_t i;

	total = 0;
	for (i = 0; i < LOAD_BANDS; i++) {
		settings->band_weights[i] = (uint32_t)strtoul(value, &end, 10);
		total += settings->band_weights[i];
		if (end == value || (*end != ',' && i + 1 < LOAD_BANDS))
			return false;
		value = end + 1;
	}
	return total > 0;
}

/* Load goes to this machine only, and is bounded. */
static bool
check_settings(const struct load_settings *settings)
{
	uint32_t i;

	if (settings->url_count == 0 && settings->direct_url[0] == '\0')
		goto refuse;
	for (i = 0; i < settings->url_count; i++) {
		if (!g_str_has_prefix(settings->urls[i], LOOPBACK))
			goto refuse;
	}
	if (settings->direct_url[0] != '\0' &&
	    !g_str_has_prefix(settings->direct_url, LOOPBACK))
		goto refuse;
	if (settings->concurrency == 0 ||
	    settings->concurrency > CONCURRENCY_MAX ||
	    settings->requests == 0 || settings->requests > REQUESTS_MAX ||
	    settings->deadline_ms == 0 || settings->prompt_tokens_max < 1000)
		goto refuse;
	return true;

refuse:
	fprintf(stderr,
	    "expected --host or --direct at %s, 1 to %d at a time, "
	    "1 to %d requests, prompts of 1000 tokens or more\n",
	    LOOPBACK, CONCURRENCY_MAX, REQUESTS_MAX);
	return false;
}

static bool
execute(struct run *run)
{
	const struct load_settings *settings = run->settings;
	pthread_t threads[CONCURRENCY_MAX];
	uint32_t started;
	uint32_t i;

	run->times = load_plan_times(settings);
	run->results = calloc(settings->requests, sizeof(*run->results));
	if (run->times == NULL || run->results == NULL)
		return false;
	run->started_us = clock_monotonic_us();
	for (started = 0; started < settings->concurrency; started++) {
		if (pthread_create(&threads[started], NULL, work, run) != 0)
			break;
	}
	for (i = 0; i < started; i++)
		pthread_join(threads[i], NULL);
	return started > 0;
}

static void *
work(void *context)
{
	struct run *run = context;
	const struct load_settings *settings = run->settings;
	struct load_request request;
	int64_t due_us;
	int64_t wait_us;
	uint32_t number;

	while (
	    (number = atomic_fetch_add(&run->next, 1)) < settings->requests) {
		load_plan_request(settings, number, &request);
		/* Waiting for a free worker counts, or an open loop would
		 * leave out just the slow times. */
		due_us = clock_monotonic_us();
		if (settings->rate_per_s > 0) {
			due_us = run->started_us + run->times[number];
			wait_us = due_us - clock_monotonic_us();
			if (wait_us > 0)
				usleep((useconds_t)wait_us);
		}
		load_call(settings, &request, run->direct, due_us,
		    &run->results[number]);
	}
	return NULL;
}

static void
print_results(const struct run *run)
{
	json_t *line;
	int band;

	for (band = 0; band <= LOAD_BANDS; band++) {
		line = summarise(run, band);
		json_dumpf(line, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
		putchar('\n');
		json_decref(line);
	}
	fflush(stdout);
}

/* Band LOAD_BANDS stands for all. */
static json_t *
summarise(const struct run *run, int band)
{
	const struct load_result *result;
	uint32_t counts[LOAD_OUTCOME_COUNT];
	GArray *first;
	json_t *line;
	uint32_t late;
	uint32_t i;

	memset(counts, 0, sizeof(counts));
	late = 0;
	first = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; i < run->settings->requests; i++) {
		result = &run->results[i];
		if (band != LOAD_BANDS && result->band != (uint32_t)band)
			continue;
		counts[result->outcome]++;
		if (result->late)
			late++;
		if (result->outcome == LOAD_OUTCOME_DONE &&
		    result->has_first_token)
			g_array_append_val(first, result->first_token_us);
	}
	line = json_pack("{s:s, s:s, s:I, s:o, s:i}", "target",
	    run->direct ? "direct" : "hosts", "band",
	    band == LOAD_BANDS ? "all" : load_band_name((uint32_t)band), "seed",
	    (json_int_t)run->settings->seed, "first_token_ms",
	    percentiles(first), "late", (int)late);
	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		json_object_set_new(
		    line, load_outcome_name(i), json_integer(counts[i]));
	g_array_free(first, TRUE);
	return line;
}

static json_t *
percentiles(GArray *values)
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
	guint place;

	place = (guint)(share * (double)(values->len - 1) + 0.5);
	return (double)g_array_index(values, int64_t, place) / 1000;
}

static gint
compare_times(gconstpointer left, gconstpointer right)
{
	const int64_t *one = left;
	const int64_t *other = right;

	return (*one > *other) - (*one < *other);
}

/* The same prompts by both ways, so pairs can be compared. */
static void
print_added(const struct run *hosts, const struct run *direct)
{
	GArray *added;
	int64_t difference;
	json_t *line;
	uint32_t i;

	added = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; i < hosts->settings->requests; i++) {
		if (!hosts->results[i].has_first_token ||
		    !direct->results[i].has_first_token)
			continue;
		difference = hosts->results[i].first_token_us -
			     direct->results[i].first_token_us;
		g_array_append_val(added, difference);
	}
	line = json_pack("{s:s, s:o}", "target", "added", "first_token_ms",
	    percentiles(added));
	json_dumpf(line, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
	putchar('\n');
	json_decref(line);
	g_array_free(added, TRUE);
}

static bool
all_answered(const struct run *run)
{
	uint32_t i;

	if (run->results == NULL)
		return true;
	for (i = 0; i < run->settings->requests; i++) {
		if (run->results[i].outcome == LOAD_OUTCOME_LOST ||
		    run->results[i].outcome == LOAD_OUTCOME_WRONG)
			return false;
	}
	return true;
}
