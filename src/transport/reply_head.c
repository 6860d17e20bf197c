#include "transport/reply_head.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "protocol/http_reader.h"

#define HEADS_SIZE_MAX	  65536 /* Largest heads with interim ones. */
#define DECIMAL		  10	/* Base of numbers. */
#define HEX_DIGITS	  "0123456789abcdefABCDEF"
#define REQUEST_ID_DIGITS 16
#define VERSION_PREFIX	  "HTTP/" /* Start of a status line. */
#define VERSION_SIZE	  (sizeof(VERSION_PREFIX) - 1)
/* Start of one of the version that is spoken here; a digit, a blank and the status
 * follow. */
#define VERSION_1_PREFIX "HTTP/1."
#define VERSION_1_SIZE	 (sizeof(VERSION_1_PREFIX) - 1)
#define STATUS_OFFSET	 (VERSION_1_SIZE + 2)
#define STATUS_SIZE	 3   /* Digits of a status. */
#define FINAL_STATUS_MIN 200 /* Lower ones belong to interim replies. */
#define SUCCESS_END	 300 /* Lower final statuses report success. */

/* Bytes that may follow the status. */
static const char status_ends[] = {' ', '\r', '\n'};

static bool runs_into_another(const char *line, size_t size, bool is_status);
static enum error_code read_status_line(
    struct reply_head *head, const char *line, size_t size);
static uint32_t parse_status(const char *line, size_t size);
static enum error_code end_head(struct reply_head *head);
static enum error_code read_field(
    struct reply_head *head, const char *line, size_t size);
static void read_request_id(struct reply_head *head, const char *value);
static enum error_code read_length(struct reply_head *head, const char *value);
static bool is_empty_line(const char *line, size_t size);

enum error_code
reply_head_add_line(struct reply_head *head, const char *line, size_t size)
{
	bool is_status;

	head->size += size;
	if (head->size > HEADS_SIZE_MAX)
		return ERROR_TOO_LARGE;
	/* Behind the head come the fields of the trailer. */
	if (head->is_complete)
		return ERROR_NONE;
	is_status = size >= VERSION_SIZE &&
		    memcmp(line, VERSION_PREFIX, VERSION_SIZE) == 0;
	if (runs_into_another(line, size, is_status))
		return ERROR_MALFORMED;
	if (is_status)
		return read_status_line(head, line, size);
	if (is_empty_line(line, size))
		return end_head(head);
	if (!http_is_field_line(line, size))
		return ERROR_MALFORMED;
	return read_field(head, line, size);
}

bool
reply_head_names_other(
    const struct reply_head *head, uint64_t request_id, uint32_t attempt)
{
	return (head->names_request && head->request_id != request_id) ||
	       (head->attempt != 0 && head->attempt != attempt);
}

bool
reply_head_shows_cut(const struct reply_head *head)
{
	if (head->has_two_lengths)
		return false;
	return head->is_chunked || head->has_length ||
	       http_status_has_no_body((uint32_t)head->status);
}

/* True if a line contains the status line of another reply, behind its own start if
 * it is one itself. */
static bool
runs_into_another(const char *line, size_t size, bool is_status)
{
	char *text;
	bool is_joined;

	if (size < VERSION_SIZE)
		return false;
	text = g_strndup(line, size);
	is_joined = http_has_status_line(text + (is_status ? 1 : 0));
	g_free(text);
	return is_joined;
}

static enum error_code
read_status_line(struct reply_head *head, const char *line, size_t size)
{
	size_t read;

	/* The fields of an interim reply say nothing about the next one. */
	read = head->size;
	memset(head, 0, sizeof(*head));
	head->size = read;
	head->status = parse_status(line, size);
	return http_is_status(head->status) ? ERROR_NONE : ERROR_MALFORMED;
}

/* Returns the three digits behind "HTTP/1.x " as a number, or 0 if a line begins
 * otherwise or something else than a blank or the line's end follows them. */
static uint32_t
parse_status(const char *line, size_t size)
{
	const char *status = line + STATUS_OFFSET;
	uint32_t i, number;

	if (size <= STATUS_OFFSET + STATUS_SIZE ||
	    memcmp(line, VERSION_1_PREFIX, VERSION_1_SIZE) != 0 ||
	    !g_ascii_isdigit(status[-2]) || status[-1] != ' ' ||
	    memchr(status_ends, status[STATUS_SIZE], sizeof(status_ends)) ==
		NULL)
		return 0;
	number = 0;
	for (i = 0; i < STATUS_SIZE; i++) {
		if (!g_ascii_isdigit(status[i]))
			return 0;
		number = number * DECIMAL + (uint32_t)(status[i] - '0');
	}
	return number;
}

/* A success that says that nothing ran contradicts itself. */
static enum error_code
end_head(struct reply_head *head)
{
	head->is_complete = head->status >= FINAL_STATUS_MIN;
	return head->is_complete && head->says_not_run &&
		       head->status < SUCCESS_END
		   ? ERROR_MALFORMED
		   : ERROR_NONE;
}

static enum error_code
read_field(struct reply_head *head, const char *line, size_t size)
{
	enum error_code error;
	char *field, *value;

	field = g_strndup(line, size);
	value = strchr(field, ':');
	*value++ = '\0';
	g_strstrip(value);
	error = ERROR_NONE;
	if (g_ascii_strcasecmp(field, "x-request-outcome") == 0)
		head->says_not_run = strcmp(value, "not_run") == 0;
	else if (g_ascii_strcasecmp(field, "x-request-id") == 0)
		read_request_id(head, value);
	else if (g_ascii_strcasecmp(field, "x-request-attempt") == 0)
		head->attempt = (uint32_t)strtoul(value, NULL, DECIMAL);
	else if (g_ascii_strcasecmp(field, "content-length") == 0)
		error = read_length(head, value);
	else if (g_ascii_strcasecmp(field, "transfer-encoding") == 0)
		head->is_chunked = g_ascii_strcasecmp(value, "chunked") == 0;
	g_free(field);
	return error;
}

/* Reads an id of 16 hexadecimal digits. Another value is a number that the
 * upstream has given itself and names no request of a host. */
static void
read_request_id(struct reply_head *head, const char *value)
{
	head->names_request = strlen(value) == REQUEST_ID_DIGITS &&
			      strspn(value, HEX_DIGITS) == REQUEST_ID_DIGITS;
	if (head->names_request)
		head->request_id = strtoull(value, NULL, 16);
}

/* libcurl takes the digits that a length begins with, and passes over one that is
 * too large, so that the body ends anywhere. */
static enum error_code
read_length(struct reply_head *head, const char *value)
{
	guint64 length;

	if (!g_ascii_string_to_unsigned(
		value, DECIMAL, 0, INT64_MAX, &length, NULL))
		return ERROR_MALFORMED;
	if (head->has_length && head->length != length)
		head->has_two_lengths = true;
	head->has_length = true;
	head->length = length;
	return ERROR_NONE;
}

static bool
is_empty_line(const char *line, size_t size)
{
	return (size == 2 && line[0] == '\r' && line[1] == '\n') ||
	       (size == 1 && line[0] == '\n');
}
