#include "cli/cli_explain.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/event_log.h"

#define FRACTION_DIGITS 6  /* Significant digits of fractions. */
#define CLOCK_OFFSET	11 /* Length of the date and "T" before a time. */

static void read_lines(GPtrArray *lines, FILE *file, const char *request_id);
static gint compare_times(gconstpointer left, gconstpointer right);
static void print_line(json_t *line, FILE *out);
static void print_fields(json_t *line, FILE *out);
static void print_cause(const GPtrArray *lines, FILE *out);
static const char *text_of(const json_t *line, const char *field);
static json_int_t number_of(const json_t *line, const char *field);
static bool is_header_field(const char *name);

/* What each outcome and its cause mean, and which events to look at next. The
 * first entry that matches is used; a NULL cause matches any. */
static const struct {
	const char *outcome;
	const char *why;
	const char *meaning;
} causes[] = {
    {"answered", NULL,
	"The upstream's answer was sent to the caller. If it was late: "
	"first_event_ms is the sum of the time in the queue (E6011) and of "
	"wait_ms and read_ms (E6008). A large longest_pause_ms comes from "
	"prompts that the engine prefilled at the same time: look for E6008 "
	"of other requests at that upstream with a large read_ms."},
    {"refused", "no_upstream",
	"No upstream of the service was known or usable: look for upstreams "
	"that announced themselves or left (E4004, E4005), takeouts (E1013) "
	"and the start of this host (E1001)."},
    {"refused", "no_path",
	"This host reached no upstream (E4009), and no other host could take "
	"the request: E6014 and E6015 say which were asked."},
    {"refused", "no_capacity",
	"No upstream could be given another request at that time: look for "
	"E6004 and E6002 of other requests, or for a burst beyond the limits "
	"of cold upstreams."},
    {"refused", "deadline_unreachable",
	"A long prompt that would have waited in the queue for too long: the "
	"engines for long prompts were busy (compare heavy_demand with "
	"engines in E6008)."},
    {"refused", "lease_expired",
	"This host had not yet received the configuration, since it had just "
	"started (E1001, E1015), or it knew no such route or key while it "
	"could not confirm its configuration (confirmed_ms is 0, E1007; E1017 "
	"says from whom it receives the configuration)."},
    {"refused", "quarantined",
	"Upstreams crashed each time that they began to run this request, so "
	"it is refused everywhere for a time (E5006, E5007); operators "
	"release it with \"quarantine release\"."},
    {"refused", "upstream_refused",
	"Every upstream that the request was sent to replied that it did not "
	"run it (E6001 names the upstream at fault)."},
    {"refused", "timeout",
	"No upstream could be reached before the request's deadline."},
    {"refused", "connection", "No upstream could be reached."},
    {"refused", "shutting_down",
	"The host was stopping (E1002), and the request came too late to be "
	"completed there."},
    {"refused", NULL, "It did not run: E6002 says why each attempt ended."},
    {"denied", "not_found",
	"No route matches the request's host and path in the configuration "
	"of routes_version (E1015 says since when it is in force here)."},
    {"denied", NULL,
	"No account has the request's key in the configuration of "
	"routes_version (E1015 says since when it is in force here)."},
    {"failed", "timeout",
	"The request was sent, but no complete answer came before its "
	"deadline: E6009 says how long the upstream took to begin; without "
	"E6009 it never began."},
    {"failed", NULL,
	"The request may have run, so it was not sent again; the upstream "
	"failed or closed the connection (E6002)."},
    {"broken", "timeout",
	"The answer had begun but was not complete before the deadline: "
	"compare events with ms, the upstream generated too slowly."},
    {"broken", NULL,
	"The answer had begun, was interrupted, and could not be continued "
	"on another upstream (attempts, budget or time used up)."},
    {"left", NULL, "The caller disconnected before the end."},
};

enum error_code
explain_request(const char *request_id, const char *const *files,
    uint32_t file_count, FILE *out)
{
	GPtrArray *lines;
	uint32_t i;
	FILE *file;
	guint at;

	lines = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	for (i = 0; i < file_count; i++) {
		file =
		    strcmp(files[i], "-") == 0 ? stdin : fopen(files[i], "r");
		if (file == NULL) {
			g_ptr_array_unref(lines);
			return ERROR_IO;
		}
		read_lines(lines, file, request_id);
		if (file != stdin)
			fclose(file);
	}
	if (lines->len == 0) {
		g_ptr_array_unref(lines);
		return ERROR_NOT_FOUND;
	}
	g_ptr_array_sort(lines, compare_times);
	for (at = 0; at < lines->len; at++)
		print_line(g_ptr_array_index(lines, at), out);
	print_cause(lines, out);
	g_ptr_array_unref(lines);
	return ERROR_NONE;
}

static void
read_lines(GPtrArray *lines, FILE *file, const char *request_id)
{
	const char *start;
	size_t capacity;
	json_t *line;
	char *text;

	text = NULL;
	capacity = 0;
	while (getline(&text, &capacity, file) > 0) {
		start = strchr(text, '{');
		if (start == NULL || strstr(start, request_id) == NULL)
			continue;
		line = json_loads(start, 0, NULL);
		if (line != NULL &&
		    strcmp(text_of(line, "request"), request_id) == 0)
			g_ptr_array_add(lines, line);
		else
			json_decref(line);
	}
	free(text);
}

static gint
compare_times(gconstpointer left, gconstpointer right)
{
	json_t *first = *(json_t *const *)left;
	json_t *second = *(json_t *const *)right;

	return strcmp(text_of(first, "time"), text_of(second, "time"));
}

static void
print_line(json_t *line, FILE *out)
{
	const char *when;

	when = text_of(line, "time");
	if (strlen(when) > CLOCK_OFFSET)
		when += CLOCK_OFFSET;
	fprintf(out,
	    "%s host %" JSON_INTEGER_FORMAT " E%" JSON_INTEGER_FORMAT " %s:",
	    when, number_of(line, "host"), number_of(line, "event"),
	    text_of(line, "name"));
	print_fields(line, out);
	fputc('\n', out);
}

static void
print_fields(json_t *line, FILE *out)
{
	const char *name;
	json_t *value;
	char *text;

	json_object_foreach(line, name, value)
	{
		if (is_header_field(name))
			continue;
		text =
		    json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
					  JSON_REAL_PRECISION(FRACTION_DIGITS));
		fprintf(out, " %s=%s", name, text == NULL ? "?" : text);
		free(text);
	}
}

static void
print_cause(const GPtrArray *lines, FILE *out)
{
	json_t *last;
	size_t i;

	last = g_ptr_array_index(lines, lines->len - 1);
	for (i = 0; i < G_N_ELEMENTS(causes); i++) {
		if (strcmp(causes[i].outcome, text_of(last, "outcome")) != 0)
			continue;
		if (causes[i].why != NULL &&
		    strcmp(causes[i].why, text_of(last, "why")) != 0)
			continue;
		fprintf(out, "=> %s\n", causes[i].meaning);
		return;
	}
	fprintf(out,
	    "=> No line tells its end: the request was still running when "
	    "this log ended, its host was killed, or the line was left out "
	    "(E%d).\n",
	    (int)EVENT_LOG_LINES_DROPPED);
}

static const char *
text_of(const json_t *line, const char *field)
{
	const char *text;

	text = json_string_value(json_object_get(line, field));
	return text == NULL ? "" : text;
}

static json_int_t
number_of(const json_t *line, const char *field)
{
	return json_integer_value(json_object_get(line, field));
}

static bool
is_header_field(const char *name)
{
	static const char *const head[] = {
	    "time", "event", "name", "level", "host", "request"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(head); i++) {
		if (strcmp(name, head[i]) == 0)
			return true;
	}
	return false;
}
