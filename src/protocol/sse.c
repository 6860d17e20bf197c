#include "protocol/sse.h"

#include <string.h>

/* Name that the standard gives to an event without one. */
#define NAME_DEFAULT "message"

static enum error_code process_line(struct sse_reader *reader);
static enum error_code dispatch_event(struct sse_reader *reader);
static void set_name(struct sse_reader *reader, const char *name);
static enum error_code add_data(struct sse_reader *reader, const char *value);
static size_t find_line_end(const char *bytes, size_t size);

void
sse_write_event(
    GString *out, const char *name, const char *data, size_t data_size)
{
	size_t length;

	if (name != NULL) {
		g_string_append(out, "event: ");
		g_string_append(out, name);
		g_string_append_c(out, '\n');
	}
	do {
		length = find_line_end(data, data_size);
		g_string_append(out, "data: ");
		g_string_append_len(out, data, (gssize)length);
		g_string_append_c(out, '\n');
		if (length == data_size)
			break;
		data += length + 1;
		data_size -= length + 1;
	} while (true);
	g_string_append_c(out, '\n');
}

void
sse_write_comment(GString *out, const char *text)
{
	g_string_append(out, ": ");
	g_string_append(out, text);
	g_string_append(out, "\n\n");
}

void
sse_reader_init(
    struct sse_reader *reader, size_t event_size_max, struct sse_sink sink)
{
	memset(reader, 0, sizeof(*reader));
	reader->sink = sink;
	reader->event_size_max = event_size_max;
	reader->line = g_string_new(NULL);
	reader->data = g_string_new(NULL);
}

void
sse_reader_finish(struct sse_reader *reader)
{
	if (reader->line != NULL)
		g_string_free(reader->line, TRUE);
	if (reader->data != NULL)
		g_string_free(reader->data, TRUE);
	memset(reader, 0, sizeof(*reader));
}

enum error_code
sse_reader_feed(struct sse_reader *reader, const char *bytes, size_t size)
{
	size_t length;

	while (size > 0 && reader->error == ERROR_NONE) {
		if (reader->after_cr) {
			reader->after_cr = false;
			if (*bytes == '\n') {
				bytes++;
				size--;
				continue;
			}
		}
		length = find_line_end(bytes, size);
		if (reader->line->len + length > reader->event_size_max) {
			reader->error = ERROR_TOO_LARGE;
			break;
		}
		g_string_append_len(reader->line, bytes, (gssize)length);
		if (length == size)
			break;
		reader->after_cr = bytes[length] == '\r';
		bytes += length + 1;
		size -= length + 1;
		reader->error = process_line(reader);
	}
	return reader->error;
}

/* Processes a complete line: a field is added to the event being read, and an
 * empty line ends that event. Comments and unknown fields are ignored. */
static enum error_code
process_line(struct sse_reader *reader)
{
	enum error_code error;
	const char *field;
	char *value;

	error = ERROR_NONE;
	field = reader->line->str;
	if (!reader->after_start && strncmp(field, "\xef\xbb\xbf", 3) == 0)
		field += 3;
	reader->after_start = true;
	if (*field == '\0') {
		error = dispatch_event(reader);
		goto done;
	}
	value = strchr(field, ':');
	if (value == field)
		goto done;
	if (value != NULL) {
		*value++ = '\0';
		if (*value == ' ')
			value++;
	}
	if (strcmp(field, "data") == 0)
		error = add_data(reader, value == NULL ? "" : value);
	else if (strcmp(field, "event") == 0)
		set_name(reader, value == NULL ? "" : value);

done:
	g_string_truncate(reader->line, 0);
	return error;
}

/* Passes the event being read to the sink, unless it has no data, and clears
 * it. */
static enum error_code
dispatch_event(struct sse_reader *reader)
{
	struct sse_event event;
	enum error_code error;

	error = ERROR_NONE;
	if (reader->has_data) {
		event.name =
		    reader->name[0] == '\0' ? NAME_DEFAULT : reader->name;
		event.data = reader->data->str;
		event.data_size = reader->data->len;
		error = reader->sink.on_event(reader->sink.context, &event);
	}
	reader->has_data = false;
	reader->name[0] = '\0';
	g_string_truncate(reader->data, 0);
	return error;
}

static void
set_name(struct sse_reader *reader, const char *name)
{
	size_t length;

	length = strlen(name);
	if (length >= sizeof(reader->name))
		length = sizeof(reader->name) - 1;
	memcpy(reader->name, name, length);
	reader->name[length] = '\0';
}

static enum error_code
add_data(struct sse_reader *reader, const char *value)
{
	size_t length;

	length = strlen(value);
	if (reader->data->len + length + 1 > reader->event_size_max)
		return ERROR_TOO_LARGE;
	if (reader->has_data)
		g_string_append_c(reader->data, '\n');
	g_string_append_len(reader->data, value, (gssize)length);
	reader->has_data = true;
	return ERROR_NONE;
}

/* Returns the offset of the first CR or LF, or size if there is none. */
static size_t
find_line_end(const char *bytes, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++) {
		if (bytes[i] == '\n' || bytes[i] == '\r')
			break;
	}
	return i;
}
