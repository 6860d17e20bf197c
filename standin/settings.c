#include "settings.h"

#include <getopt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/monotonic_clock.h"

/* Value that getopt_long() returns for the first option of the table. It lies
 * above all characters, so that no short option has it. */
#define OPTION_VALUE_FIRST 256

/* Type of an option's value. */
enum option_kind {
	OPTION_TEXT,	/* Text, copied into a char array. */
	OPTION_UINT32,	/* Number, stored as uint32_t. */
	OPTION_UINT64,	/* Number, stored as uint64_t. */
	OPTION_FLAG,	/* No value; sets a bool to true. */
	OPTION_SPECIAL, /* Value that parse_special() handles. */
};

/* A command-line option. */
struct option_entry {
	const char *name;      /* Name without leading dashes. */
	enum option_kind kind; /* Type of its value. */
	size_t offset;	       /* Offset of its member in the settings. */
	size_t size;	       /* Size of the char array, for OPTION_TEXT. */
	uint64_t min;	       /* Least valid number. */
	uint64_t max;	       /* Greatest valid number. */
	const char *help;      /* Text that --help prints. */
};

/* Initializers of an option_entry, one for each option_kind */
#define OFFSET(member) offsetof(struct standin_settings, member)
#define TEXT(name, member, help)                                               \
	{                                                                      \
		name, OPTION_TEXT, OFFSET(member),                             \
		    sizeof(((struct standin_settings *)0)->member), 0, 0, help \
	}
#define UINT32(name, member, min, max, help)                                   \
	{                                                                      \
		name, OPTION_UINT32, OFFSET(member), 0, min, max, help         \
	}
#define UINT64(name, member, min, max, help)                                   \
	{                                                                      \
		name, OPTION_UINT64, OFFSET(member), 0, min, max, help         \
	}
#define FLAG(name, member, help)                                               \
	{                                                                      \
		name, OPTION_FLAG, OFFSET(member), 0, 0, 0, help               \
	}
#define SPECIAL(name, help)                                                    \
	{                                                                      \
		name, OPTION_SPECIAL, 0, 0, 0, 0, help                         \
	}

static const struct option_entry option_entries[] = {
    TEXT("name", record.name, "unique name of the upstream (required)"),
    TEXT("address", address, "IP address to listen on"),
    SPECIAL("port", "TCP port to listen on (required)"),
    SPECIAL("host", "URL of a host to announce to; may be repeated"),
    SPECIAL("model", "model or service to serve (required); may be repeated"),
    SPECIAL("label", "KEY=VALUE to announce as a label; may be repeated"),
    SPECIAL("service", "simulate a plain service instead of an engine"),
    TEXT("data-centre", record.data_centre,
	"data centre to announce (required)"),
    UINT64("kv-tokens", record.limits.kv_tokens, 1, 1000000000,
	"size of the KV memory, in tokens"),
    UINT32("prefill-tokens-per-s", record.limits.prefill_tokens_per_s, 1,
	100000000, "prompt tokens prefilled per second, warm"),
    UINT32("decode-us-per-token", record.limits.decode_us_per_token, 1,
	60000000, "microseconds to decode a token"),
    UINT32("cold-requests", record.limits.cold_requests, 1, 65536,
	"concurrent requests possible while cold"),
    UINT32("warm-requests", record.limits.warm_requests, 1, 65536,
	"concurrent requests possible when warm"),
    UINT64("cold-prefill-tokens", record.limits.cold_prefill_tokens, 1,
	1000000000, "prompt tokens in prefill possible while cold"),
    UINT64("warm-prefill-tokens", record.limits.warm_prefill_tokens, 1,
	1000000000, "prompt tokens in prefill possible when warm"),
    UINT32("answer-tokens", answer_tokens, 1, 1048576,
	"tokens of an answer without limit"),
    UINT32("queue-max", queue_max, 0, 65536,
	"requests that may wait beyond --warm-requests"),
    UINT32("cold-ms", cold_ms, 0, 3600000, "duration of the cold start"),
    UINT32("cold-percent", cold_percent, 1, 100,
	"prefill speed while cold, in percent"),
    FLAG("cold-crashes", cold_crashes,
	"exit when a request exceeds the cold limits"),
    UINT64("cache-tokens", cache_tokens, 0, 1000000000,
	"size of the prefix cache, in tokens"),
    UINT32("resume-ms", resume_ms, 0, 3600000,
	"time for which a broken stream can be resumed"),
    UINT32("order-ms", order_ms, 0, 3600000, "time until an order is done"),
    UINT32("service-ms", service_ms, 0, 3600000, "duration of a plain call"),
    UINT32("drain-ms", drain_ms, 0, 3600000,
	"time for running work to end after SIGTERM"),
    UINT32("renew-ms", renew_ms, 10, 60000, "period of renewals"),
    UINT32("load-lag-ms", load_lag_ms, 0, 60000, "least age of reported loads"),
    UINT32("cache-event-lag-ms", cache_event_lag_ms, 0, 60000,
	"least age of published cache events"),
    UINT32("cache-event-loss", cache_event_loss, 0, 100,
	"cache events lost, in percent"),
    FLAG("honours-fencing", record.honours_fencing,
	"refuse orders with an old fencing number"),
    TEXT("run-log", run_log, "file to append a line to for each run"),
    TEXT("crash-marker", crash_marker,
	"text in a prompt that makes the process exit"),
    TEXT("stall-marker", stall_marker,
	"text in a prompt that makes its answer stall"),
    UINT32("duplicate-every", duplicate_every, 0, 1000000,
	"send each n-th piece twice, 0: none"),
    UINT32("reorder-every", reorder_every, 0, 1000000,
	"send each n-th piece after the next one, 0: none"),
    UINT32("break-every", break_every, 0, 1000000,
	"break off the stream of each n-th run, 0: none"),
    UINT32("refuse-earlier-every", refuse_earlier_every, 0, 1000000,
	"run each n-th request, but repeat an earlier refusal, 0: none"),
    UINT32("refuse-other-every", refuse_other_every, 0, 1000000,
	"refuse another request in the stream of each n-th run, 0: none"),
    UINT32("error-every", error_every, 0, 1000000,
	"refuse each n-th run after its first pieces, 0: none"),
    UINT32("cut-head-every", cut_head_every, 0, 1000000,
	"stop in the head of the answer to each n-th run, 0: none"),
    UINT64("seed", seed, 0, INT64_MAX, "seed of all random choices"),
};

static void set_defaults(struct standin_settings *settings);
static bool parse_option(struct standin_settings *settings,
    const struct option_entry *entry, const char *value);
static bool parse_number(
    const struct option_entry *entry, const char *value, uint64_t *number);
static bool parse_special(
    struct standin_settings *settings, const char *name, const char *value);
static bool parse_label(struct upstream_record *record, const char *value);
static bool check_settings(struct standin_settings *settings);
static void print_help(void);

bool
standin_settings_parse(
    struct standin_settings *settings, int count, char **arguments)
{
	struct option options[G_N_ELEMENTS(option_entries) + 2];
	size_t i;
	int found;

	memset(options, 0, sizeof(options));
	for (i = 0; i < G_N_ELEMENTS(option_entries); i++) {
		options[i].name = option_entries[i].name;
		options[i].val = OPTION_VALUE_FIRST + (int)i;
		options[i].has_arg = required_argument;
		if (option_entries[i].kind == OPTION_FLAG ||
		    strcmp(option_entries[i].name, "service") == 0)
			options[i].has_arg = no_argument;
	}
	options[i].name = "help";
	options[i].val = 'h';
	set_defaults(settings);
	while (
	    (found = getopt_long(count, arguments, "h", options, NULL)) != -1) {
		if (found < OPTION_VALUE_FIRST) {
			print_help();
			return false;
		}
		if (!parse_option(settings,
			&option_entries[found - OPTION_VALUE_FIRST], optarg))
			return false;
	}
	return check_settings(settings);
}

static void
set_defaults(struct standin_settings *settings)
{
	struct upstream_limits *limits;

	memset(settings, 0, sizeof(*settings));
	limits = &settings->record.limits;
	strcpy(settings->address, "127.0.0.1");
	settings->record.kind = UPSTREAM_KIND_MODEL;
	settings->record.state = UPSTREAM_STATE_ACTIVE;
	limits->cold_requests = 4;
	limits->warm_requests = 64;
	limits->cold_prefill_tokens = 16000;
	limits->warm_prefill_tokens = 1000000;
	limits->kv_tokens = 400000;
	limits->prefill_tokens_per_s = 100000;
	limits->decode_us_per_token = 10000;
	settings->answer_tokens = 16;
	settings->queue_max = 256;
	settings->cold_percent = 25;
	settings->cache_tokens = 200000;
	settings->resume_ms = 2000;
	settings->order_ms = 200;
	settings->drain_ms = 30000;
	settings->renew_ms = 500;
	settings->load_lag_ms = 200;
	settings->cache_event_lag_ms = 300;
	strcpy(settings->crash_marker, "#crash#");
	strcpy(settings->stall_marker, "#stall#");
}

static bool
parse_option(struct standin_settings *settings,
    const struct option_entry *entry, const char *value)
{
	char *target;
	uint64_t number;

	target = (char *)settings + entry->offset;
	switch (entry->kind) {
	case OPTION_FLAG:
		*(bool *)target = true;
		return true;
	case OPTION_TEXT:
		if (strlen(value) >= entry->size) {
			fprintf(stderr, "--%s: value exceeds %zu bytes\n",
			    entry->name, entry->size - 1);
			return false;
		}
		memcpy(target, value, strlen(value) + 1);
		return true;
	case OPTION_UINT32:
		if (!parse_number(entry, value, &number))
			return false;
		*(uint32_t *)target = (uint32_t)number;
		return true;
	case OPTION_UINT64:
		return parse_number(entry, value, (uint64_t *)target);
	case OPTION_SPECIAL:
		break;
	}
	if (parse_special(settings, entry->name, value))
		return true;
	fprintf(stderr, "--%s: invalid value \"%s\"\n", entry->name,
	    value == NULL ? "" : value);
	return false;
}

static bool
parse_number(
    const struct option_entry *entry, const char *value, uint64_t *number)
{
	char *end;

	*number = strtoull(value, &end, 10);
	if (*end == '\0' && *value >= '0' && *value <= '9' &&
	    *number >= entry->min && *number <= entry->max)
		return true;
	fprintf(stderr, "--%s: expected a number from %llu to %llu\n",
	    entry->name, (unsigned long long)entry->min,
	    (unsigned long long)entry->max);
	return false;
}

/* Handles the options whose value isn't simply stored in one member. Returns
 * false if the value is invalid. */
static bool
parse_special(
    struct standin_settings *settings, const char *name, const char *value)
{
	struct upstream_record *record = &settings->record;
	unsigned long port;

	if (strcmp(name, "service") == 0) {
		record->kind = UPSTREAM_KIND_SERVICE;
		return true;
	}
	if (strcmp(name, "port") == 0) {
		port = strtoul(value, NULL, 10);
		settings->port = (uint16_t)port;
		return port > 0 && port < 65536;
	}
	if (strcmp(name, "host") == 0) {
		if (settings->host_count == STANDIN_HOSTS_MAX ||
		    strlen(value) >= URL_SIZE_MAX)
			return false;
		g_strlcpy(settings->hosts[settings->host_count++], value,
		    URL_SIZE_MAX);
		return true;
	}
	if (strcmp(name, "model") == 0) {
		if (record->model_count == MODELS_MAX ||
		    strlen(value) >= NAME_SIZE_MAX || *value == '\0')
			return false;
		g_strlcpy(record->models[record->model_count++], value,
		    NAME_SIZE_MAX);
		return true;
	}
	return parse_label(record, value);
}

static bool
parse_label(struct upstream_record *record, const char *value)
{
	struct label *label;
	const char *equals;

	equals = strchr(value, '=');
	if (equals == NULL || equals == value ||
	    record->label_count == LABELS_MAX)
		return false;
	if (equals - value >= NAME_SIZE_MAX ||
	    strlen(equals + 1) >= NAME_SIZE_MAX)
		return false;
	label = &record->labels[record->label_count++];
	memcpy(label->key, value, (size_t)(equals - value));
	g_strlcpy(label->value, equals + 1, sizeof(label->value));
	return true;
}

static bool
check_settings(struct standin_settings *settings)
{
	struct upstream_record *record = &settings->record;
	struct upstream_limits *limits = &record->limits;

	if (settings->port == 0 || record->name[0] == '\0' ||
	    record->data_centre[0] == '\0' || record->model_count == 0) {
		fprintf(stderr,
		    "--name, --port, --data-centre and --model are required\n");
		return false;
	}
	if (limits->cold_requests > limits->warm_requests ||
	    limits->cold_prefill_tokens > limits->warm_prefill_tokens) {
		fprintf(stderr,
		    "--cold-requests and --cold-prefill-tokens must not exceed "
		    "--warm-requests and --warm-prefill-tokens\n");
		return false;
	}
	record->id = upstream_id(record->name);
	/* The start time serves as incarnation: it increases from start to
	 * start without a file to store a counter in. */
	record->incarnation = (uint64_t)clock_wall_us();
	record->sequence = 1;
	snprintf(record->url, sizeof(record->url), "http://%s:%u",
	    settings->address, settings->port);
	return true;
}

static void
print_help(void)
{
	size_t i;

	printf("usage: chicorytack-standin OPTIONS\n");
	for (i = 0; i < G_N_ELEMENTS(option_entries); i++)
		printf("  --%-22s %s\n", option_entries[i].name,
		    option_entries[i].help);
}
