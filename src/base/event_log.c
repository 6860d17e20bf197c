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

#define EVENT_TEXT_SIZE 512  /* Bytes of an event's details as text. */
#define EVENT_TIME_SIZE 32   /* Bytes of a time as text. */
#define REAL_DIGITS_MAX 6    /* Significant digits of fractional numbers. */
#define RING_LINES_MAX	4096 /* Lines queued for the writer thread. */
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
	"configuration lease lost, no new requests accepted"},
    {EVENT_CONFIGURATION_LEASE_REGAINED, EVENT_LEVEL_INFO,
	"configuration lease regained"},
    {EVENT_OVERRIDE_SET, EVENT_LEVEL_WARNING, "operator override set"},
    {EVENT_CONFIGURATION_ENTRY_INVALID, EVENT_LEVEL_WARNING,
	"configuration entry invalid, treated as excluding all upstreams"},
    {EVENT_DOCUMENT_PUT, EVENT_LEVEL_INFO, "configuration document put"},
    {EVENT_DOCUMENT_REFUSED, EVENT_LEVEL_WARNING,
	"configuration document refused"},
    {EVENT_TAKEOUT_SET, EVENT_LEVEL_INFO,
	"takeout of a data centre set or ended"},
    {EVENT_SETTINGS_RELOADED, EVENT_LEVEL_INFO, "settings reloaded"},
    {EVENT_ROUTES_IN_FORCE, EVENT_LEVEL_INFO, "route table in force"},
    {EVENT_READINESS_CHANGED, EVENT_LEVEL_INFO, "readiness changed"},
    {EVENT_CONFIGURATION_PARENT_CHANGED, EVENT_LEVEL_INFO,
	"configuration is received from another host"},
    {EVENT_DOCUMENT_FIELD_IGNORED, EVENT_LEVEL_WARNING,
	"configuration document in force has a field that can't be read"},

    {EVENT_PEER_CONNECTED, EVENT_LEVEL_INFO, "peer connected"},
    {EVENT_PEER_DISCONNECTED, EVENT_LEVEL_INFO, "peer disconnected"},
    {EVENT_PEER_REFUSED, EVENT_LEVEL_WARNING, "peer or its message refused"},
    {EVENT_PEER_QUEUE_OVERFLOWED, EVENT_LEVEL_WARNING,
	"peer send queue overflowed and dropped"},
    {EVENT_PEER_SILENT, EVENT_LEVEL_WARNING,
	"peer's connection was silent and is replaced"},

    {EVENT_LEADER_ELECTED, EVENT_LEVEL_INFO, "leader elected"},
    {EVENT_LEADER_LOST, EVENT_LEVEL_WARNING, "leader lost"},
    {EVENT_SNAPSHOT_WRITTEN, EVENT_LEVEL_INFO, "snapshot written"},
    {EVENT_SNAPSHOT_INSTALLED, EVENT_LEVEL_INFO, "snapshot installed"},
    {EVENT_JOURNAL_REPAIRED, EVENT_LEVEL_WARNING,
	"journal repaired, incomplete end cut off"},
    {EVENT_JOURNAL_FAILED, EVENT_LEVEL_ERROR, "journal failed"},
    {EVENT_VOTER_CHANGED, EVENT_LEVEL_INFO, "voter change"},
    {EVENT_KIND_UNKNOWN, EVENT_LEVEL_ERROR,
	"state of a newer build: this host does not know all of it"},
    {EVENT_LEVEL_UNKNOWN, EVENT_LEVEL_ERROR,
	"this build does not know the level of the replicated state"},
    {EVENT_LEVEL_RISEN, EVENT_LEVEL_INFO,
	"level of the replicated state has risen"},
    {EVENT_LEVEL_HOLDS_BACK, EVENT_LEVEL_WARNING,
	"what was found out is kept on this host, since another host's build "
	"does not know the command"},
    {EVENT_JOURNAL_RESUMED, EVENT_LEVEL_INFO,
	"the disk accepts changes again, and the voter takes part again"},
    {EVENT_SNAPSHOT_DEFERRED, EVENT_LEVEL_WARNING,
	"snapshot or the removal of what it covers is put off"},

    {EVENT_HOST_JOINED, EVENT_LEVEL_INFO, "host joined"},
    {EVENT_HOST_SUSPECTED, EVENT_LEVEL_WARNING, "host suspected"},
    {EVENT_HOST_DEAD, EVENT_LEVEL_WARNING, "host dead"},
    {EVENT_UPSTREAM_ANNOUNCED, EVENT_LEVEL_INFO, "upstream announced"},
    {EVENT_UPSTREAM_LEAVING, EVENT_LEVEL_INFO, "upstream leaving"},
    {EVENT_UPSTREAM_EXPIRED, EVENT_LEVEL_WARNING, "upstream expired"},
    {EVENT_UPSTREAM_NOTICED, EVENT_LEVEL_INFO,
	"upstream says that it leaves, limits its requests or wants a pause"},
    {EVENT_UPSTREAM_NOTICE_REFUSED, EVENT_LEVEL_WARNING,
	"what an upstream says of itself is not valid"},
    {EVENT_PATH_LOST, EVENT_LEVEL_WARNING, "this host reaches no upstream"},
    {EVENT_PATH_REGAINED, EVENT_LEVEL_INFO,
	"this host reaches upstreams again"},

    {EVENT_UPSTREAM_TURNED_COLD, EVENT_LEVEL_WARNING,
	"upstream turned cold, cut to its cold limits"},
    {EVENT_PREVIOUS_GRANTS_ENDED, EVENT_LEVEL_INFO,
	"previous owner's grants ended"},
    {EVENT_KV_ORPHAN_RELEASED, EVENT_LEVEL_WARNING,
	"orphaned KV reservation released"},
    {EVENT_ORDER_SENT, EVENT_LEVEL_INFO, "order sent to an upstream"},
    {EVENT_ORDER_DONE, EVENT_LEVEL_INFO, "order completed"},
    {EVENT_REQUEST_QUARANTINED, EVENT_LEVEL_WARNING, "request quarantined"},
    {EVENT_UPSTREAM_CRASHED, EVENT_LEVEL_WARNING,
	"upstream crashed under requests of this host"},
    {EVENT_QUARANTINE_NOT_COMMITTED, EVENT_LEVEL_WARNING,
	"suspected request not committed, tried again"},
    {EVENT_PART_QUARANTINED, EVENT_LEVEL_WARNING,
	"part of prompts quarantined"},

    {EVENT_REQUEST_REFUSED, EVENT_LEVEL_INFO, "request refused"},
    {EVENT_REQUEST_RETRIED, EVENT_LEVEL_INFO, "request retried"},
    {EVENT_REQUEST_FAILED, EVENT_LEVEL_WARNING, "request failed"},
    {EVENT_UPSTREAM_STALLED, EVENT_LEVEL_WARNING, "upstream stalled"},
    {EVENT_REQUEST_ANSWERED, EVENT_LEVEL_INFO, "request answered"},
    {EVENT_UPSTREAM_EJECTED, EVENT_LEVEL_WARNING, "upstream ejected"},
    {EVENT_LOG_LINES_DROPPED, EVENT_LEVEL_INFO, "log lines dropped"},
    {EVENT_REQUEST_PLACED, EVENT_LEVEL_INFO, "request placed at an upstream"},
    {EVENT_ANSWER_STARTED, EVENT_LEVEL_INFO,
	"first event of an answer received"},
    {EVENT_REQUEST_NOT_ANSWERED, EVENT_LEVEL_WARNING,
	"request ended without a complete answer"},
    {EVENT_PROMPT_QUEUED, EVENT_LEVEL_INFO, "long prompt queued"},
    {EVENT_RESERVATION_FAILED, EVENT_LEVEL_INFO, "engine memory not reserved"},
    {EVENT_REQUEST_WAITING, EVENT_LEVEL_INFO,
	"request waits for a slot or a rate limit"},
    {EVENT_REQUEST_FORWARDED, EVENT_LEVEL_INFO,
	"request forwarded to another host"},
    {EVENT_FORWARD_REFUSED, EVENT_LEVEL_WARNING,
	"forwarded request refused by the other host"},
    {EVENT_ANSWER_REJECTED, EVENT_LEVEL_WARNING,
	"answer of an upstream not accepted"},
    {EVENT_STATUS_UNCONFIRMED, EVENT_LEVEL_WARNING,
	"status says not run, the answer does not"},

    {EVENT_STANDIN_STARTED, EVENT_LEVEL_INFO, "stand-in started"},
    {EVENT_STANDIN_CRASHED, EVENT_LEVEL_WARNING, "stand-in crashed"},
    {EVENT_STANDIN_OVERLOADED, EVENT_LEVEL_WARNING, "stand-in overloaded"},
};

/* Global state, since GLib's log writer is global too and each line contains
 * the host id. */
static _Atomic uint32_t event_host_id;
static _Atomic bool event_is_glib_writer_set;
static _Atomic int event_level_max = EVENT_LEVEL_INFO;
static _Atomic bool event_is_json;
static struct log_writer event_writer;

static const struct event_entry *find_entry(enum event_number number);
static void write_json_line(const struct event_entry *entry, json_t *fields);
static char *format_dropped_lines(
    const struct log_dropped_lines *dropped, uint32_t count);
static void format_time(char text[EVENT_TIME_SIZE]);
static GLogLevelFlags convert_level(enum event_level level);
static GLogWriterOutput write_glib_line(GLogLevelFlags level,
    const GLogField *fields, gsize count, gpointer context);

void
event_log_setup(uint32_t host_id, enum event_level level_max)
{
	if (!atomic_exchange(&event_is_glib_writer_set, true))
		g_log_set_writer_func(write_glib_line, NULL, NULL);
	atomic_store(&event_host_id, host_id);
	atomic_store(&event_level_max, (int)level_max);
}

void
event_log_start(uint32_t success_rate_max)
{
	if (!atomic_load(&event_is_json) &&
	    log_writer_init(&event_writer, STDOUT_FILENO, RING_LINES_MAX,
		success_rate_max, format_dropped_lines))
		atomic_store(&event_is_json, true);
}

void
event_log_finish(void)
{
	if (atomic_exchange(&event_is_json, false))
		log_writer_finish(&event_writer);
}

void
event_log_write_fields(enum event_number number, const char *format, ...)
{
	const struct event_entry *entry;
	va_list arguments;
	json_t *fields;
	char *text;

	entry = find_entry(number);
	if (entry == NULL || (int)entry->level > atomic_load(&event_level_max))
		return;
	va_start(arguments, format);
	fields = json_vpack_ex(NULL, 0, format, arguments);
	va_end(arguments);
	if (atomic_load(&event_is_json)) {
		write_json_line(entry, fields);
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
	char details[EVENT_TEXT_SIZE];
	va_list arguments;

	entry = find_entry(number);
	if (entry == NULL)
		return;
	if ((int)entry->level > atomic_load(&event_level_max))
		return;
	va_start(arguments, format);
	vsnprintf(details, sizeof(details), format, arguments);
	va_end(arguments);
	if (atomic_load(&event_is_json)) {
		write_json_line(entry,
		    json_pack("{s:s%}", "text", details, strlen(details)));
		return;
	}
	g_log("chicorytack", convert_level(entry->level),
	    "E%d host=%u level=%s %s%s%s", (int)number,
	    atomic_load(&event_host_id), event_level_name(entry->level),
	    entry->text, details[0] == '\0' ? "" : ": ", details);
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

/* Writes a line of GLib's log to standard error in one write, with the time in
 * UTC. It replaces GLib's own writer, which reads the local time; that is not
 * safe with several threads. */
static GLogWriterOutput
write_glib_line(GLogLevelFlags level, const GLogField *fields, gsize count,
    gpointer context)
{
	char time_text[EVENT_TIME_SIZE];
	const char *message;
	gsize i;

	(void)level;
	(void)context;
	message = "";
	for (i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			message = fields[i].value;
	}
	format_time(time_text);
	fprintf(stderr, "%s %s\n", time_text, message);
	return G_LOG_WRITER_HANDLED;
}

/* Queues an event as a line of JSON. Takes ownership of the fields, NULL if
 * they could not be packed. */
static void
write_json_line(const struct event_entry *entry, json_t *fields)
{
	char time_text[EVENT_TIME_SIZE], *text, *text_with_newline;
	json_t *line;
	size_t size;

	format_time(time_text);
	line = json_pack("{s:s,s:i,s:s,s:s,s:I}", "time", time_text, "event",
	    (int)entry->number, "name", entry->text, "level",
	    event_level_name(entry->level), "host",
	    (json_int_t)atomic_load(&event_host_id));
	/* A wrong format in the calling code; the line reports it. */
	if (fields == NULL)
		json_object_set_new(line, "text",
		    json_string("fields do not match their format"));
	else
		json_object_update(line, fields);
	json_decref(fields);
	text = json_dumps(
	    line, JSON_COMPACT | JSON_REAL_PRECISION(REAL_DIGITS_MAX));
	json_decref(line);
	if (text == NULL)
		return;
	size = strlen(text);
	text_with_newline = realloc(text, size + 2);
	if (text_with_newline == NULL) {
		free(text);
		return;
	}
	text_with_newline[size] = '\n';
	text_with_newline[size + 1] = '\0';
	log_writer_put(&event_writer, (int)entry->number,
	    entry->level <= EVENT_LEVEL_WARNING, text_with_newline);
}

/* Returns the line that reports how many lines were dropped, by event; the
 * caller frees it. */
static char *
format_dropped_lines(const struct log_dropped_lines *dropped, uint32_t count)
{
	char time_text[EVENT_TIME_SIZE];
	const struct event_entry *entry;
	GString *text;
	uint32_t i;
	char *copy;

	entry = find_entry(EVENT_LOG_LINES_DROPPED);
	format_time(time_text);
	text = g_string_new(NULL);
	g_string_append_printf(text,
	    "{\"time\":\"%s\",\"event\":%d,\"name\":\"%s\",\"level\":\"%s\","
	    "\"host\":%u,\"lines\":{",
	    time_text, (int)entry->number, entry->text,
	    event_level_name(entry->level), atomic_load(&event_host_id));
	for (i = 0; i < count; i++)
		g_string_append_printf(text, "%s\"%d\":%llu", i == 0 ? "" : ",",
		    dropped[i].event, (unsigned long long)dropped[i].count);
	g_string_append(text, "}}\n");
	copy = strdup(text->str);
	g_string_free(text, TRUE);
	return copy;
}

/* Formats the current time in UTC with milliseconds. */
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
	/* Errors are logged as critical, since GLib aborts the process on
	 * G_LOG_LEVEL_ERROR. */
	switch (level) {
	case EVENT_LEVEL_ERROR:
		return G_LOG_LEVEL_CRITICAL;
	case EVENT_LEVEL_WARNING:
		return G_LOG_LEVEL_WARNING;
	default:
		return G_LOG_LEVEL_MESSAGE;
	}
}
