#include "relay/relay_events.h"

#include <string.h>

#define ID_FIELD "id:"
/* Characters of the name of a field. Names of headers have upper-case letters. */
#define NAME_CHARACTERS "abcdefghijklmnopqrstuvwxyz0123456789-_."
/* Bytes of the longest end of an event: two line ends. */
#define EVENT_END_MAX 3

static size_t find_event_end(const guint8 *data, size_t size, size_t searched);
static bool is_event(const char *data, size_t size);
static bool is_field(const char *line, size_t size);
static bool has_place(
    const struct relay_events *events, const char *data, size_t size);
static bool is_comment(const char *data, size_t size);
static bool accept_event(
    struct relay_events *events, const char *data, size_t size);
static bool read_id(const char *data, size_t size, char id[EVENT_ID_SIZE]);

void
relay_events_add(struct relay_events *events, const char *data, size_t size)
{
	if (events->pending == NULL)
		events->pending = g_byte_array_new();
	g_byte_array_append(events->pending, (const guint8 *)data, (guint)size);
}

size_t
relay_events_pending(const struct relay_events *events)
{
	return events->pending == NULL ? 0 : events->pending->len;
}

enum error_code
relay_events_take(struct relay_events *events, GByteArray *out, uint32_t *count)
{
	GByteArray *pending = events->pending;
	enum error_code error;
	size_t at, end;

	*count = 0;
	if (pending == NULL)
		return ERROR_NONE;
	error = ERROR_NONE;
	at = 0;
	while ((end = find_event_end(pending->data + at, pending->len - at,
		    events->searched)) > 0) {
		if (!is_event((const char *)pending->data + at, end) ||
		    !has_place(events, (const char *)pending->data + at, end)) {
			error = ERROR_MALFORMED;
			break;
		}
		if (accept_event(
			events, (const char *)pending->data + at, end)) {
			g_byte_array_append(
			    out, pending->data + at, (guint)end);
			(*count)++;
		}
		at += end;
		events->searched = 0;
	}
	if (at > 0)
		g_byte_array_remove_range(pending, 0, (guint)at);
	events->searched = pending->len;
	events->count += *count;
	if (error != ERROR_NONE)
		return error;
	return pending->len > EVENT_BYTES_MAX ? ERROR_TOO_LARGE : ERROR_NONE;
}

bool
relay_events_is_partial(const struct relay_events *events)
{
	return relay_events_pending(events) > 0;
}

bool
relay_events_can_resume(const struct relay_events *events)
{
	return !events->has_unnamed;
}

void
relay_events_drop_partial(struct relay_events *events)
{
	if (events->pending != NULL)
		g_byte_array_set_size(events->pending, 0);
	events->searched = 0;
	events->is_unplaced = events->count > 0;
}

void
relay_events_set_last(struct relay_events *events, const char *id)
{
	char *end;

	g_strlcpy(events->last_id, id, sizeof(events->last_id));
	events->last_number = g_ascii_strtoull(id, &end, 10);
	events->has_number = id[0] != '\0' && *end == '\0';
	events->has_unnamed = false;
	events->is_unplaced = false;
}

void
relay_events_finish(struct relay_events *events)
{
	if (events->pending != NULL)
		g_byte_array_unref(events->pending);
	memset(events, 0, sizeof(*events));
}

/* Returns the length of the first event including the empty line that ends it,
 * or 0 if the event is incomplete. Lines end with LF or CR LF. The end is not
 * within the first @p searched bytes, but may begin there. */
static size_t
find_event_end(const guint8 *data, size_t size, size_t searched)
{
	size_t i;

	i = searched < EVENT_END_MAX ? 0 : searched - EVENT_END_MAX;
	for (; i + 1 < size; i++) {
		if (data[i] != '\n')
			continue;
		if (data[i + 1] == '\n')
			return i + 2;
		if (i + 2 < size && data[i + 1] == '\r' && data[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/* True if all lines are those of one event. In a stream without framing, bytes
 * that do not belong to it can be told only by their form. */
static bool
is_event(const char *data, size_t size)
{
	const char *line, *next, *end = data + size;
	uint32_t id_count;

	id_count = 0;
	for (line = data; line < end; line = next + 1) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (next == NULL || !is_field(line, (size_t)(next - line)))
			return false;
		if ((size_t)(next - line) >= strlen(ID_FIELD) &&
		    memcmp(line, ID_FIELD, strlen(ID_FIELD)) == 0)
			id_count++;
	}
	return id_count <= 1;
}

/* True for a field with or without a value, a comment or an empty line. */
static bool
is_field(const char *line, size_t size)
{
	size_t i;

	if (size > 0 && line[size - 1] == '\r')
		size--;
	for (i = 0; i < size && line[i] != ':'; i++) {
		if (line[i] == '\0' || strchr(NAME_CHARACTERS, line[i]) == NULL)
			return false;
	}
	return true;
}

/* True unless the event may stand before the last one that was relayed. */
static bool
has_place(const struct relay_events *events, const char *data, size_t size)
{
	char id[EVENT_ID_SIZE];

	return !events->is_unplaced || read_id(data, size, id) ||
	       is_comment(data, size);
}

/* True if an event has comments and empty lines only. */
static bool
is_comment(const char *data, size_t size)
{
	const char *line, *end = data + size;

	for (line = data; line < end; line++) {
		if (*line != ':' && *line != '\r' && *line != '\n')
			return false;
		line = memchr(line, '\n', (size_t)(end - line));
		if (line == NULL)
			return false;
	}
	return true;
}

/* Records the id of a complete event. Returns false if its number shows that
 * the caller has received the event already. */
static bool
accept_event(struct relay_events *events, const char *data, size_t size)
{
	char id[EVENT_ID_SIZE];
	uint64_t number;
	char *end;

	if (!read_id(data, size, id)) {
		events->has_unnamed |= !is_comment(data, size);
		return true;
	}
	number = g_ascii_strtoull(id, &end, 10);
	if (events->has_number && *end == '\0' && number <= events->last_number)
		return false;
	relay_events_set_last(events, id);
	return true;
}

static bool
read_id(const char *data, size_t size, char id[EVENT_ID_SIZE])
{
	const char *line, *next, *end = data + size;
	size_t length;

	for (line = data; line < end; line = next + 1) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (next == NULL)
			return false;
		if ((size_t)(next - line) < strlen(ID_FIELD) ||
		    memcmp(line, ID_FIELD, strlen(ID_FIELD)) != 0)
			continue;
		line += strlen(ID_FIELD);
		while (line < next && *line == ' ')
			line++;
		length = (size_t)(next - line);
		if (length > 0 && line[length - 1] == '\r')
			length--;
		if (length >= EVENT_ID_SIZE)
			return false;
		memcpy(id, line, length);
		id[length] = '\0';
		return length > 0;
	}
	return false;
}
