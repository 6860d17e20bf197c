#include "settings.h"

#include <getopt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/monotonic_clock.h"

#define FIRST_OPTION 256 /* Values of getopt_long() for long options. */

/* How an option's value is read. */
enum option_kind {
	OPTION_TEXT,	/* Into a buffer of a size. */
	OPTION_NUMBER,	/* Into a uint32_t. */
	OPTION_BIG,	/* Into a uint64_t. */
	OPTION_FLAG,	/* Sets a bool. */
	OPTION_SPECIAL, /* By read_special(). */
};

/* An option, its place in the settings and its bounds. */
struct option_entry {
	const char *name;
	enum option_kind kind;
	size_t offset;
	size_t size;	/* Of a text's buffer. */
	uint64_t least; /* Of a number. */
	uint64_t most;	/* Of a number. */
	const char *help;
};

#define PLACE(member) offsetof(struct standin_settings, member)
#define TEXT(name, member, help)                                               \
	{                                                                      \
		name, OPTION_TEXT, PLACE(member),                              \
		    sizeof(((struct standin_settings *)0)->member), 0, 0, help \
	}
#define NUMBER(name, member, least, most, help)                                \
	{                                                                      \
		name, OPTION_NUMBER, PLACE(member), 0, least, most, help       \
	}
#define BIG(name, member, least, most, help)                                   \
	{                                                                      \
		name, OPTION_BIG, PLACE(member), 0, least, most, help          \
	}
#define FLAG(name, member, help)                                               \
	{                                                                      \
		name, OPTION_FLAG, PLACE(member), 0, 0, 0, help                \
	}
#define SPECIAL(name, help)                                                    \
	{                                                                      \
		name, OPTION_SPECIAL, 0, 0, 0, 0, help                         \
	}

static const struct option_entry option_entries[] = {
    TEXT("name", record.name, "unique name"),
    TEXT("address", address, "IP number to listen on"),
    SPECIAL("port", "TCP port to listen on"),
    SPECIAL("host", "URL of a host to announce to; may be repeated"),
    SPECIAL("model", "model or service that it serves; may be repeated"),
    SPECIAL("label", "KEY=VALUE; may be repeated"),
    SPECIAL("service", "is a plain service"),
    TEXT("data-centre", record.data_centre, "where it stands"),
    BIG("kv-tokens", record.limits.kv_tokens, 1, 1000000000, "KV memory"),
    NUMBER("prefill-tokens-per-s", record.limits.prefill_tokens_per_s, 1,
	100000000, "prefill speed"),
    NUMBER("decode-us-per-token", record.limits.decode_us_per_token, 1,
	60000000, "time of one token"),
    NUMBER("cold-requests", record.limits.cold_requests, 1, 65536,
	"requests at a time that it bears cold"),
    NUMBER("warm-requests", record.limits.warm_requests, 1, 65536,
	"requests at a time that it bears warm"),
    BIG("cold-prefill-tokens", record.limits.cold_prefill_tokens, 1, 1000000000,
	"prompt tokens at a time that it bears cold"),
    BIG("warm-prefill-tokens", record.limits.warm_prefill_tokens, 1, 1000000000,
	"prompt tokens at a time that it bears warm"),
    NUMBER("answer-tokens", answer_tokens, 1, 1048576, "tokens of an answer"),
    NUMBER("queue-max", queue_max, 0, 65536, "requests that may wait"),
    NUMBER("cold-ms", cold_ms, 0, 3600000, "cold for this long"),
    NUMBER("cold-percent", cold_percent, 1, 100, "prefill speed while cold"),
    FLAG("cold-crashes", cold_crashes, "dies over its cold load"),
    BIG("cache-tokens", cache_tokens, 0, 1000000000, "prefix cache"),
    NUMBER("resume-ms", resume_ms, 0, 3600000, "keeps a left stream"),
    NUMBER("order-ms", order_ms, 0, 3600000, "an order takes"),
    NUMBER("service-ms", service_ms, 0, 3600000, "a plain call takes"),
    NUMBER("drain-ms", drain_ms, 0, 3600000, "running work may take"),
    NUMBER("renew-ms", renew_ms, 10, 60000, "between renewals"),
    NUMBER("load-lag-ms", load_lag_ms, 0, 60000, "age of load reports"),
    NUMBER("cache-event-lag-ms", cache_event_lag_ms, 0, 60000,
	"age of cache events"),
    NUMBER("cache-event-loss", cache_event_loss, 0, 100, "percent lost"),
    FLAG("honours-fencing", record.honours_fencing, "refuses old numbers"),
    TEXT("run-log", run_log, "file that gets a line for each run"),
    TEXT("crash-marker", crash_marker, "prompts with it kill the process"),
    TEXT("stall-marker", stall_marker, "prompts with it stall"),
    NUMBER("duplicate-every", duplicate_every, 0, 1000000, "pieces twice"),
    NUMBER("reorder-every", reorder_every, 0, 1000000, "pieces late"),
    NUMBER("break-every", break_every, 0, 1000000, "runs that break off"),
    BIG("seed", seed, 0, INT64_MAX, "of all that is random"),
};

static void set_defaults(struct standin_settings *settings);
static bool read_option(struct standin_settings *settings,
    const struct option_entry *entry, const char *value);
static bool read_number(
    const struct option_entry *entry, const char *value, uint64_t *number);
static bool read_special(
    struct standin_settings *settings, const char *name, const char *value);
static bool read_label(struct upstream_record *record, const char *value);
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
		options[i].val = FIRST_OPTION + (int)i;
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
		if (found < FIRST_OPTION) {
			print_help();
			return false;
		}
		if (!read_option(settings,
			&option_entries[found - FIRST_OPTION], optarg))
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
read_option(struct standin_settings *settings, const struct option_entry *entry,
    const char *value)
{
	char *place;
	uint64_t number;

	place = (char *)settings + entry->offset;
	switch (entry->kind) {
	case OPTION_FLAG:
		*(bool *)place = true;
		return true;
	case OPTION_TEXT:
		if (strlen(value) >= entry->size) {
			fprintf(stderr, "--%s: at most %zu bytes\n",
			    entry->name, entry->size - 1);
			return false;
		}
		memcpy(place, value, strlen(value) + 1);
		return true;
	case OPTION_NUMBER:
		if (!read_number(entry, value, &number))
			return false;
		*(uint32_t *)place = (uint32_t)number;
		return true;
	case OPTION_BIG:
		return read_number(entry, value, (uint64_t *)place);
	case OPTION_SPECIAL:
		break;
	}
	if (read_special(settings, entry->name, value))
		return true;
	fprintf(stderr, "--%s: bad value \"%s\"\n", entry->name,
	    value == NULL ? "" : value);
	return false;
}

static bool
read_number(
    const struct option_entry *entry, const char *value, uint64_t *number)
{
	char *end;

	*number = strtoull(value, &end, 10);
	if (*end == '\0' && *value >= '0' && *value <= '9' &&
	    *number >= entry->least && *number <= entry->most)
		return true;
	fprintf(stderr, "--%s: expected %llu to %llu\n", entry->name,
	    (unsigned long long)entry->least, (unsigned long long)entry->most);
	return false;
}

static bool
read_special(
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
	return read_label(record, value);
}

static bool
read_label(struct upstream_record *record, const char *value)
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
		    "--name, --port, --data-centre and --model are needed\n");
		return false;
	}
	if (limits->cold_requests > limits->warm_requests ||
	    limits->cold_prefill_tokens > limits->warm_prefill_tokens) {
		fprintf(stderr, "cold limits must not exceed warm ones\n");
		return false;
	}
	record->id = upstream_id(record->name);
	/* Grows with each start, since no file is kept. */
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
