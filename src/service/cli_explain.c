#include "service/cli_explain.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "base/event_log.h"

#define REAL_DIGITS 6  /* Of numbers with a fraction. */
#define TIME_START  11 /* Of the clock within a time as logged. */

static void read_lines(GPtrArray *lines, FILE *file, const char *request_id);
static gint compare_times(gconstpointer left, gconstpointer right);
static void print_line(json_t *line, FILE *out);
static void print_fields(json_t *line, FILE *out);
static void print_cause(const GPtrArray *lines, FILE *out);
static const char *text_of(const json_t *line, const char *field);
static json_int_t number_of(const json_t *line, const char *field);
static bool is_head_field(const char *name);

/* What each way to end means, and where to look next. */
static const struct {
	const char *outcome;
	const char *why;
	const char *meaning;
} causes[] = {
    {"answered", NULL,
	"The upstream's answer was passed on. If it was late: first_event_ms "
	"is made of its turn (E6011), wait_ms and read_ms (E6008); a "
	"longest_pause_ms comes from prompts read beside it, see E6008 of "
	"others at that upstream with a large read_ms."},
    {"refused", "no_upstream",
	"No upstream of its service was known or usable: look for heartbeats "
	"(E4004, E4005), takeouts (E1013) and the start of this host (E1001)."},
    {"refused", "no_capacity",
	"Each upstream was left alone just then: look for E6004 and E6002 of "
	"other requests, or a burst beyond what cold upstreams bear."},
    {"refused", "deadline_unreachable",
	"A long prompt whose turn would have come too late: the engines for "
	"long prompts were busy (heavy_demand against engines in E6008)."},
    {"refused", "lease_expired",
	"This host had no configuration yet: it had just started (E1001, "
	"E1015)."},
    {"refused", "upstream_refused",
	"Every upstream that was asked said that it did not run it (E6001 "
	"names the one at fault)."},
    {"refused", "timeout", "No upstream could be reached in its time."},
    {"refused", "connection", "No upstream could be reached."},
    {"refused", "shutting_down",
	"The host was stopping (E1002) and it came too late to end there."},
    {"refused", NULL, "It did not run; why each try ended stands in E6002."},
    {"denied", "not_found",
	"No route for its host and path in the configuration of "
	"routes_version (E1015 says since when it is in force here)."},
    {"denied", NULL,
	"No account for its key in the configuration of routes_version "
	"(E1015 says since when it is in force here)."},
    {"failed", "timeout",
	"It was sent and no whole answer came in its time: see how long the "
	"upstream took to begin (E6009), or that it never did."},
    {"failed", NULL,
	"It may have run, so it was not sent again; the upstream broke off "
	"(E6002)."},
    {"broken", "timeout",
	"The answer had begun and was not whole in its time: compare events "
	"and ms, the upstream wrote too slowly."},
    {"broken", NULL,
	"The answer had begun, broke off, and could not go on elsewhere "
	"(attempts, budget or time used up)."},
    {"left", NULL, "The caller left before the end."},
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
	size_t room;
	json_t *line;
	char *text;

	text = NULL;
	room = 0;
	while (getline(&text, &room, file) > 0) {
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
	if (strlen(when) > TIME_START)
		when += TIME_START;
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
		if (is_head_field(name))
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
					     JSON_REAL_PRECISION(REAL_DIGITS));
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
	    "=> No line tells its end: it was under way when this log ended, "
	    "its host was killed, or the line was left out (E%d).\n",
	    (int)EVENT_LINES_LEFT_OUT);
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
is_head_field(const char *name)
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
