#include "base/event_log.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <jansson.h>
#include <unistd.h>

#include "base/log_writer.h"

#define EVENT_TEXT_SIZE 512  /* Bytes of an event's particulars. */
#define EVENT_TIME_SIZE 32   /* Bytes of a time as text. */
#define REAL_DIGITS	6    /* Of numbers with a fraction. */
#define RING_LINES	4096 /* Lines that wait to be written. */
#define US_PER_S	1000000
#define US_PER_MS	1000

static const struct event_entry event_entries[] = {
    {EVENT_HOST_STARTED, EVENT_LEVEL_INFO, "host started"},
    {EVENT_HOST_STOPPING, EVENT_LEVEL_INFO, "host stopping"},
    {EVENT_HOST_STOPPED, EVENT_LEVEL_INFO, "host stopped"},
    {EVENT_SETTINGS_REFUSED, EVENT_LEVEL_ERROR, "settings refused"},
    {EVENT_LISTEN_FAILED, EVENT_LEVEL_ERROR, "cannot listen"},
    {EVENT_CONFIGURATION_APPLIED, EVENT_LEVEL_INFO, "configuration applied"},
    {EVENT_CONFIGURATION_LEASE_LOST, EVENT_LEVEL_WARNING,
	"configuration lease lost, no new work"},
    {EVENT_CONFIGURATION_LEASE_REGAINED, EVENT_LEVEL_INFO,
	"configuration lease regained"},
    {EVENT_OVERRIDE_SET, EVENT_LEVEL_WARNING, "operator's override set"},
    {EVENT_CONFIGURATION_UNUSABLE, EVENT_LEVEL_WARNING,
	"configuration entry unusable, it keeps out"},
    {EVENT_DOCUMENT_PUT, EVENT_LEVEL_INFO, "document put"},
    {EVENT_DOCUMENT_REFUSED, EVENT_LEVEL_WARNING, "document refused"},
    {EVENT_TAKEOUT_SET, EVENT_LEVEL_INFO, "takeout set"},
    {EVENT_SETTINGS_RELOADED, EVENT_LEVEL_INFO, "settings reloaded"},
    {EVENT_ROUTES_IN_FORCE, EVENT_LEVEL_INFO, "routes in force"},
    {EVENT_READINESS_CHANGED, EVENT_LEVEL_INFO, "readiness changed"},

    {EVENT_PEER_CONNECTED, EVENT_LEVEL_INFO, "peer connected"},
    {EVENT_PEER_DISCONNECTED, EVENT_LEVEL_INFO, "peer disconnected"},
    {EVENT_PEER_REFUSED, EVENT_LEVEL_WARNING, "peer refused"},
    {EVENT_PEER_QUEUE_DROPPED, EVENT_LEVEL_WARNING, "peer queue dropped"},

    {EVENT_LEADER_ELECTED, EVENT_LEVEL_INFO, "leader elected"},
    {EVENT_LEADER_LOST, EVENT_LEVEL_WARNING, "leader lost"},
    {EVENT_SNAPSHOT_WRITTEN, EVENT_LEVEL_INFO, "snapshot written"},
    {EVENT_SNAPSHOT_INSTALLED, EVENT_LEVEL_INFO, "snapshot installed"},
    {EVENT_JOURNAL_REPAIRED, EVENT_LEVEL_WARNING, "journal repaired"},
    {EVENT_JOURNAL_FAILED, EVENT_LEVEL_ERROR, "journal failed"},
    {EVENT_VOTER_CHANGED, EVENT_LEVEL_INFO, "voters changed"},

    {EVENT_HOST_JOINED, EVENT_LEVEL_INFO, "host joined"},
    {EVENT_HOST_SUSPECTED, EVENT_LEVEL_WARNING, "host suspected"},
    {EVENT_HOST_DEAD, EVENT_LEVEL_WARNING, "host dead"},
    {EVENT_UPSTREAM_ANNOUNCED, EVENT_LEVEL_INFO, "upstream announced"},
    {EVENT_UPSTREAM_LEAVING, EVENT_LEVEL_INFO, "upstream leaving"},
    {EVENT_UPSTREAM_EXPIRED, EVENT_LEVEL_WARNING, "upstream expired"},

    {EVENT_UPSTREAM_COLD, EVENT_LEVEL_WARNING, "upstream turned cold"},
    {EVENT_GRANTS_WAITED_OUT, EVENT_LEVEL_INFO, "old grants waited out"},
    {EVENT_KV_ORPHAN_RELEASED, EVENT_LEVEL_WARNING, "KV orphan released"},
    {EVENT_ORDER_GIVEN, EVENT_LEVEL_INFO, "order given"},
    {EVENT_ORDER_DONE, EVENT_LEVEL_INFO, "order done"},
    {EVENT_REQUEST_QUARANTINED, EVENT_LEVEL_WARNING, "request quarantined"},

    {EVENT_REQUEST_REFUSED, EVENT_LEVEL_INFO, "request refused"},
    {EVENT_REQUEST_RETRIED, EVENT_LEVEL_INFO, "request retried"},
    {EVENT_REQUEST_FAILED, EVENT_LEVEL_WARNING, "request failed"},
    {EVENT_UPSTREAM_STALLED, EVENT_LEVEL_WARNING, "upstream stalled"},
    {EVENT_REQUEST_ENDED, EVENT_LEVEL_INFO, "request ended"},
    {EVENT_UPSTREAM_EJECTED, EVENT_LEVEL_WARNING, "upstream ejected"},
    {EVENT_LINES_LEFT_OUT, EVENT_LEVEL_INFO, "log lines left out"},
    {EVENT_REQUEST_PLACED, EVENT_LEVEL_INFO, "request placed"},
    {EVENT_REQUEST_STARTED, EVENT_LEVEL_INFO, "first event of an answer"},
    {EVENT_REQUEST_ENDED_BADLY, EVENT_LEVEL_WARNING, "request ended badly"},
    {EVENT_REQUEST_WAITS, EVENT_LEVEL_INFO, "long prompt waits its turn"},
    {EVENT_MEMORY_NOT_RESERVED, EVENT_LEVEL_INFO, "memory not reserved"},

    {EVENT_STANDIN_STARTED, EVENT_LEVEL_INFO, "stand-in started"},
    {EVENT_STANDIN_CRASHED, EVENT_LEVEL_WARNING, "stand-in crashed"},
    {EVENT_STANDIN_OVERLOADED, EVENT_LEVEL_WARNING, "stand-in overloaded"},
};

/* Process-wide by nature: GLib's writer is, and a line needs its host. */
static _Atomic uint32_t event_host_id;
static _Atomic bool event_has_writer;
static _Atomic int event_least_level = EVENT_LEVEL_INFO;
static _Atomic bool event_is_json;
static struct log_writer event_writer;

static const struct event_entry *find_entry(enum event_number number);
static void put_object(const struct event_entry *entry, json_t *fields);
static char *report_left_out(
    const struct log_left_out *left_out, uint32_t count);
static void format_time(char text[EVENT_TIME_SIZE]);
static GLogLevelFlags convert_level(enum event_level level);
static GLogWriterOutput write_line(GLogLevelFlags level,
    const GLogField *fields, gsize count, gpointer context);

void
event_log_setup(uint32_t host_id, enum event_level least)
{
	if (!atomic_exchange(&event_has_writer, true))
		g_log_set_writer_func(write_line, NULL, NULL);
	atomic_store(&event_host_id, host_id);
	atomic_store(&event_least_level, (int)least);
}

void
event_log_start(uint32_t rate)
{
	if (!atomic_load(&event_is_json) &&
	    log_writer_init(&event_writer, STDOUT_FILENO, RING_LINES, rate,
		report_left_out))
		atomic_store(&event_is_json, true);
}

void
event_log_finish(void)
{
	if (atomic_exchange(&event_is_json, false))
		log_writer_finish(&event_writer);
}

void
event_log_fields(enum event_number number, const char *format, ...)
{
	const struct event_entry *entry;
	va_list arguments;
	json_t *fields;
	char *text;

	entry = find_entry(number);
	if (entry == NULL ||
	    (int)entry->level > atomic_load(&event_least_level))
		return;
	va_start(arguments, format);
	fields = json_vpack_ex(NULL, 0, format, arguments);
	va_end(arguments);
	if (atomic_load(&event_is_json)) {
		put_object(entry, fields);
		return;
	}
	text = fields == NULL ? NULL : json_dumps(fields, JSON_COMPACT);
	event_log_write(number, "%s", text == NULL ? "" : text);
	free(text);
	json_decref(fields);
}

void
event_log_write(enum event_number number, const char *format, ...)
{
	const struct event_entry *entry;
	char particulars[EVENT_TEXT_SIZE];
	va_list arguments;

	entry = find_entry(number);
	if (entry == NULL)
		return;
	if ((int)entry->level > atomic_load(&event_least_level))
		return;
	va_start(arguments, format);
	vsnprintf(particulars, sizeof(particulars), format, arguments);
	va_end(arguments);
	if (atomic_load(&event_is_json)) {
		put_object(entry, json_pack("{s:s%}", "text", particulars,
				      strlen(particulars)));
		return;
	}
	g_log("chicorytack", convert_level(entry->level),
	    "E%d host=%u level=%s %s%s%s", (int)number,
	    atomic_load(&event_host_id), event_level_name(entry->level),
	    entry->text, particulars[0] == '\0' ? "" : ": ", particulars);
}

const struct event_entry *
event_log_entry(size_t index)
{
	if (index >= G_N_ELEMENTS(event_entries))
		return NULL;
	return &event_entries[index];
}

const char *
event_level_name(enum event_level level)
{
	switch (level) {
	case EVENT_LEVEL_ERROR:
		return "error";
	case EVENT_LEVEL_WARNING:
		return "warning";
	case EVENT_LEVEL_INFO:
		return "info";
	case EVENT_LEVEL_DEBUG:
		return "debug";
	}
	return "unknown";
}

static const struct event_entry *
find_entry(enum event_number number)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(event_entries); i++) {
		if (event_entries[i].number == number)
			return &event_entries[i];
	}
	return NULL;
}

/* One write a line, in UTC; GLib's own writer asks for the local time, which
 * is not safe among threads. */
static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
    gpointer context)
{
	char when[EVENT_TIME_SIZE];
	const char *message;
	gsize i;

	(void)level;
	(void)context;
	message = "";
	for (i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			message = fields[i].value;
	}
	format_time(when);
	fprintf(stderr, "%s %s\n", when, message);
	return G_LOG_WRITER_HANDLED;
}

/* Takes the fields over. */
static void
put_object(const struct event_entry *entry, json_t *fields)
{
	char when[EVENT_TIME_SIZE], *text, *whole;
	json_t *line;
	size_t size;

	format_time(when);
	line = json_pack("{s:s,s:i,s:s,s:s,s:I}", "time", when, "event",
	    (int)entry->number, "name", entry->text, "level",
	    event_level_name(entry->level), "host",
	    (json_int_t)atomic_load(&event_host_id));
	/* Fields that can't be packed are a fault of ours; say so. */
	if (fields == NULL)
		json_object_set_new(
		    line, "text", json_string("fields can't be written"));
	else
		json_object_update(line, fields);
	json_decref(fields);
	text =
	    json_dumps(line, JSON_COMPACT | JSON_REAL_PRECISION(REAL_DIGITS));
	json_decref(line);
	if (text == NULL)
		return;
	size = strlen(text);
	whole = realloc(text, size + 2);
	if (whole == NULL) {
		free(text);
		return;
	}
	whole[size] = '\n';
	whole[size + 1] = '\0';
	log_writer_put(&event_writer, (int)entry->number,
	    entry->level <= EVENT_LEVEL_WARNING, whole);
}

static char *
report_left_out(const struct log_left_out *left_out, uint32_t count)
{
	char when[EVENT_TIME_SIZE];
	const struct event_entry *entry;
	GString *text;
	uint32_t i;
	char *copy;

	entry = find_entry(EVENT_LINES_LEFT_OUT);
	format_time(when);
	text = g_string_new(NULL);
	g_string_append_printf(text,
	    "{\"time\":\"%s\",\"event\":%d,\"name\":\"%s\",\"level\":\"%s\","
	    "\"host\":%u,\"lines\":{",
	    when, (int)entry->number, entry->text,
	    event_level_name(entry->level), atomic_load(&event_host_id));
	for (i = 0; i < count; i++)
		g_string_append_printf(text, "%s\"%d\":%llu", i == 0 ? "" : ",",
		    left_out[i].event, (unsigned long long)left_out[i].count);
	g_string_append(text, "}}\n");
	copy = strdup(text->str);
	g_string_free(text, TRUE);
	return copy;
}

static void
format_time(char text[EVENT_TIME_SIZE])
{
	struct tm parts;
	int64_t now_us;
	time_t seconds;
	size_t size;

	now_us = g_get_real_time();
	seconds = (time_t)(now_us / US_PER_S);
	gmtime_r(&seconds, &parts);
	size = strftime(text, EVENT_TIME_SIZE, "%Y-%m-%dT%H:%M:%S", &parts);
	snprintf(text + size, EVENT_TIME_SIZE - size, ".%03dZ",
	    (int)(now_us % US_PER_S / US_PER_MS));
}

static GLogLevelFlags
convert_level(enum event_level level)
{
	/* G_LOG_LEVEL_ERROR would abort the process, so errors are critical. */
	switch (level) {
	case EVENT_LEVEL_ERROR:
		return G_LOG_LEVEL_CRITICAL;
	case EVENT_LEVEL_WARNING:
		return G_LOG_LEVEL_WARNING;
	default:
		return G_LOG_LEVEL_MESSAGE;
	}
}
