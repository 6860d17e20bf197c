#include "transport/reply_head.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "protocol/http_reader.h"

#define HEADS_SIZE_MAX	  65536 /* Largest heads with interim ones. */
#define DECIMAL		  10	/* Base of numbers. */
#define DIGITS		  "0123456789"
#define HEX_DIGITS	  "0123456789abcdefABCDEF"
#define REQUEST_ID_DIGITS 16
#define VERSION_PREFIX	  "HTTP/"   /* Start of a status line. */
#define VERSION_1_PREFIX  "HTTP/1." /* That of the version spoken here. */
/* Bytes before the status: that prefix, a digit and a blank. */
#define STATUS_OFFSET	 (sizeof(VERSION_1_PREFIX) - 1 + 2)
#define STATUS_DIGITS	 3   /* Digits of a status. */
#define FINAL_STATUS_MIN 200 /* Lower ones belong to interim replies. */
#define SUCCESS_END	 300 /* Lower final statuses report success. */

static enum error_code read_line(
    struct reply_head *head, char *line, size_t size);
static enum error_code read_status_line(
    struct reply_head *head, const char *line);
static uint32_t parse_status(const char *line);
static enum error_code end_head(struct reply_head *head);
static enum error_code read_field(struct reply_head *head, char *line);
static void read_request_id(struct reply_head *head, const char *value);
static enum error_code read_length(struct reply_head *head, const char *value);
static bool is_empty_line(const char *line);

enum error_code
reply_head_add_line(struct reply_head *head, const char *line, size_t size)
{
	enum error_code error;
	char *text;

	head->size += size;
	if (head->size > HEADS_SIZE_MAX)
		return ERROR_TOO_LARGE;
	/* Behind the head come the fields of the trailer. */
	if (head->is_complete)
		return ERROR_NONE;
	text = g_strndup(line, size);
	error = read_line(head, text, size);
	g_free(text);
	return error;
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

/* Reads a line as text, which it may change. */
static enum error_code
read_line(struct reply_head *head, char *line, size_t size)
{
	bool is_status = g_str_has_prefix(line, VERSION_PREFIX);

	/* Another reply begins in the line, behind its own start if it is a
	 * status line itself. */
	if (http_has_status_line(line + (is_status ? 1 : 0)))
		return ERROR_MALFORMED;
	if (is_status)
		return read_status_line(head, line);
	if (is_empty_line(line))
		return end_head(head);
	if (!http_is_field_line(line, size))
		return ERROR_MALFORMED;
	return read_field(head, line);
}

static enum error_code
read_status_line(struct reply_head *head, const char *line)
{
	size_t read;

	/* The fields of an interim reply say nothing about the next one. */
	read = head->size;
	memset(head, 0, sizeof(*head));
	head->size = read;
	head->status = parse_status(line);
	return http_is_status(head->status) ? ERROR_NONE : ERROR_MALFORMED;
}

/* Returns the three digits behind "HTTP/1.x " as a number, or 0 if a line begins
 * otherwise or something else than a blank or the line's end follows them. */
static uint32_t
parse_status(const char *line)
{
	const char *status;
	char next;

	if (!g_str_has_prefix(line, VERSION_1_PREFIX) ||
	    !g_ascii_isdigit(line[STATUS_OFFSET - 2]) ||
	    line[STATUS_OFFSET - 1] != ' ')
		return 0;
	status = line + STATUS_OFFSET;
	if (strspn(status, DIGITS) != STATUS_DIGITS)
		return 0;
	next = status[STATUS_DIGITS];
	if (next != ' ' && next != '\r' && next != '\n')
		return 0;
	return (uint32_t)strtoul(status, NULL, DECIMAL);
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

/* Reads a line that http_is_field_line() accepts. */
static enum error_code
read_field(struct reply_head *head, char *line)
{
	char *value;

	value = strchr(line, ':');
	*value++ = '\0';
	g_strstrip(value);
	if (g_ascii_strcasecmp(line, "x-request-outcome") == 0)
		head->says_not_run = strcmp(value, "not_run") == 0;
	else if (g_ascii_strcasecmp(line, "x-request-id") == 0)
		read_request_id(head, value);
	else if (g_ascii_strcasecmp(line, "x-request-attempt") == 0)
		head->attempt = (uint32_t)strtoul(value, NULL, DECIMAL);
	else if (g_ascii_strcasecmp(line, "content-length") == 0)
		return read_length(head, value);
	else if (g_ascii_strcasecmp(line, "transfer-encoding") == 0)
		head->is_chunked = g_ascii_strcasecmp(value, "chunked") == 0;
	return ERROR_NONE;
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
is_empty_line(const char *line)
{
	return strcmp(line, "\r\n") == 0 || strcmp(line, "\n") == 0;
}
