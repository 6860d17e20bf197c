#include "protocol/http_reader.h"

#include <string.h>

/* Header fields that are always hop-by-hop; those named in a Connection field
 * are hop-by-hop too. */
static const char *const hop_by_hop_fields[] = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

#define STATUS_MIN	   100
#define STATUS_MAX	   599
#define STATUS_NO_CONTENT  204
#define STATUS_NOT_CHANGED 304

/* Highest control byte below the blank, and the one above the letters. */
#define CONTROL_MAX    0x1f
#define CONTROL_DELETE 0x7f

/* Characters of the name of a header field. */
#define TOKEN_CHARACTERS                                                       \
	"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"                  \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZ"

/* Beginning of a status line; a number, a dot, a number and the status follow. */
#define VERSION_PREFIX "HTTP/"
#define STATUS_DIGITS  3

/* Bytes of a header line that its stored text lacks: the line has four bytes
 * beside name and value (": " and CR LF), the text two terminating NULs. */
#define FIELD_OVERHEAD_BYTES 2

static void count_status_digits(
    struct http_reader *reader, const char *data, size_t size);
static int on_message_begin(http_parser *parser);
static int on_target(http_parser *parser, const char *data, size_t size);
static int on_reason(http_parser *parser, const char *data, size_t size);
static int on_field_name(http_parser *parser, const char *data, size_t size);
static int on_field_value(http_parser *parser, const char *data, size_t size);
static int on_head_complete(http_parser *parser);
static int on_body_data(http_parser *parser, const char *data, size_t size);
static int on_message_complete(http_parser *parser);
static bool check_line_ends(struct http_reader *reader, const char *end);
static bool is_token_byte(char byte);
static bool is_control_byte(char byte);
static bool is_status_line_valid(const struct http_reader *reader);
static bool are_names_valid(const struct http_head *head);
static bool is_coding_known(const struct http_head *head);
static bool runs_into_another(const struct http_head *head);
static void trim_values(struct http_head *head);
static void init_head(struct http_head *head);
static bool has_token(const char *list, const char *token);

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_target,
    .on_status = on_reason,
    .on_header_field = on_field_name,
    .on_header_value = on_field_value,
    .on_headers_complete = on_head_complete,
    .on_body = on_body_data,
    .on_message_complete = on_message_complete,
};

void
http_reader_init(struct http_reader *reader, bool is_request,
    const struct http_reader_ops *ops)
{
	memset(reader, 0, sizeof(*reader));
	reader->is_request = is_request;
	reader->ops = *ops;
	http_reader_next(reader);
}

void
http_reader_finish(struct http_reader *reader)
{
	http_head_finish(&reader->head);
}

void
http_reader_next(struct http_reader *reader)
{
	http_parser_init(
	    &reader->parser, reader->is_request ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
	http_head_finish(&reader->head);
	init_head(&reader->head);
	reader->head_bytes = 0;
	reader->has_begun = false;
	reader->is_after_version = false;
	reader->has_status = false;
	reader->status_digits = 0;
	reader->has_head = false;
	reader->has_ended = false;
	reader->last_was_value = false;
	reader->is_malformed = false;
	reader->is_after_cr = false;
	reader->is_after_chunk_data = false;
	reader->is_in_chunk_end = false;
}

enum error_code
http_reader_feed(
    struct http_reader *reader, const char *data, size_t size, size_t *used)
{
	bool had_head = reader->has_head;

	reader->unchecked = data;
	if (!reader->is_request)
		count_status_digits(reader, data, size);
	*used =
	    http_parser_execute(&reader->parser, &parser_settings, data, size);
	if (!had_head)
		reader->head_bytes += *used;
	if (reader->is_malformed || !check_line_ends(reader, data + *used))
		return ERROR_MALFORMED;
	if (!reader->has_head && reader->head_bytes_max > 0 &&
	    reader->head_bytes > reader->head_bytes_max)
		return ERROR_TOO_LARGE;
	switch (HTTP_PARSER_ERRNO(&reader->parser)) {
	case HPE_OK:
		/* Protocol upgrades are not supported. */
		return reader->parser.upgrade ? ERROR_MALFORMED : ERROR_NONE;
	case HPE_PAUSED:
		return ERROR_NONE;
	case HPE_CB_headers_complete:
	case HPE_HEADER_OVERFLOW:
		return ERROR_TOO_LARGE;
	default:
		return ERROR_MALFORMED;
	}
}

enum error_code
http_reader_close(struct http_reader *reader)
{
	if (!reader->has_begun || reader->has_ended)
		return ERROR_NONE;
	(void)http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
	return reader->has_ended ? ERROR_NONE : ERROR_INCOMPLETE;
}

bool
http_is_field_line(const char *line, size_t size)
{
	size_t i;

	if (size > 0 && line[size - 1] == '\n')
		size--;
	if (size > 0 && line[size - 1] == '\r')
		size--;
	for (i = 0; i < size && is_token_byte(line[i]); i++)
		continue;
	if (i == 0 || i == size || line[i] != ':')
		return false;
	for (; i < size; i++) {
		if (is_control_byte(line[i]) && line[i] != '\t')
			return false;
	}
	return true;
}

bool
http_is_status(uint32_t status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX;
}

bool
http_status_has_no_body(uint32_t status)
{
	return status == STATUS_NO_CONTENT || status == STATUS_NOT_CHANGED;
}

bool
http_has_status_line(const char *text)
{
	const char *at;

	for (at = strstr(text, VERSION_PREFIX); at != NULL;
	     at = strstr(at, VERSION_PREFIX)) {
		at += strlen(VERSION_PREFIX);
		if (g_ascii_isdigit(at[0]) && at[1] == '.' &&
		    g_ascii_isdigit(at[2]) && at[3] == ' ' &&
		    strspn(at + 4, "0123456789") == STATUS_DIGITS &&
		    !g_ascii_isalpha(at[4 + STATUS_DIGITS]))
			return true;
	}
	return false;
}

const char *
http_head_get(const struct http_head *head, const char *name)
{
	guint i;

	for (i = 0; i < head->fields->len; i++) {
		if (g_ascii_strcasecmp(http_head_name(head, i), name) == 0)
			return http_head_value(head, i);
	}
	return NULL;
}

bool
http_head_has_token(
    const struct http_head *head, const char *name, const char *token)
{
	guint i;

	for (i = 0; i < head->fields->len; i++) {
		if (g_ascii_strcasecmp(http_head_name(head, i), name) == 0 &&
		    has_token(http_head_value(head, i), token))
			return true;
	}
	return false;
}

const char *
http_head_name(const struct http_head *head, guint index)
{
	return head->text->str +
	       g_array_index(head->fields, struct http_field, index)
		   .name_offset;
}

const char *
http_head_value(const struct http_head *head, guint index)
{
	return head->text->str +
	       g_array_index(head->fields, struct http_field, index)
		   .value_offset;
}

bool
http_head_is_hop_by_hop(const struct http_head *head, const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop_fields); i++) {
		if (g_ascii_strcasecmp(name, hop_by_hop_fields[i]) == 0)
			return true;
	}
	return http_head_has_token(head, "connection", name);
}

void
http_head_move(struct http_head *to, struct http_head *from)
{
	http_head_finish(to);
	*to = *from;
	memset(from, 0, sizeof(*from));
	init_head(from);
}

void
http_head_finish(struct http_head *head)
{
	if (head->text != NULL) {
		g_string_free(head->target, TRUE);
		g_string_free(head->text, TRUE);
		g_array_free(head->fields, TRUE);
	}
	memset(head, 0, sizeof(*head));
}

/* Counts the digits of the status, which stands behind the first blanks. The parser
 * library takes any number of zeros before it. */
static void
count_status_digits(struct http_reader *reader, const char *data, size_t size)
{
	size_t i;

	for (i = 0; i < size && !reader->has_status; i++) {
		if (data[i] == ' ' && reader->status_digits == 0)
			reader->is_after_version = true;
		else if (reader->is_after_version && g_ascii_isdigit(data[i]))
			reader->status_digits++;
		else if (reader->is_after_version)
			reader->has_status = true;
	}
}

static int
on_message_begin(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->has_begun = true;
	return 0;
}

static int
on_target(http_parser *parser, const char *data, size_t size)
{
	struct http_reader *reader = parser->data;

	g_string_append_len(reader->head.target, data, (gssize)size);
	return 0;
}

/* The text behind the status is kept only to be checked. */
static int
on_reason(http_parser *parser, const char *data, size_t size)
{
	return on_target(parser, data, size);
}

static int
on_field_name(http_parser *parser, const char *data, size_t size)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;
	struct http_field field = {0};

	/* Fields after the head are trailers of a chunked body, which are
	 * dropped. */
	if (reader->has_head)
		return 0;
	if (reader->last_was_value || head->fields->len == 0) {
		if (head->fields->len > 0)
			g_string_append_c(head->text, '\0');
		field.name_offset = (uint32_t)head->text->len;
		g_array_append_val(head->fields, field);
		reader->last_was_value = false;
	}
	g_string_append_len(head->text, data, (gssize)size);
	g_array_index(head->fields, struct http_field, head->fields->len - 1)
	    .value_offset = (uint32_t)head->text->len;
	return 0;
}

static int
on_field_value(http_parser *parser, const char *data, size_t size)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;

	if (reader->has_head)
		return 0;
	if (!reader->last_was_value) {
		g_string_append_c(head->text, '\0');
		g_array_index(
		    head->fields, struct http_field, head->fields->len - 1)
		    .value_offset = (uint32_t)head->text->len;
		reader->last_was_value = true;
	}
	g_string_append_len(head->text, data, (gssize)size);
	return 0;
}

/* Finishes the head, checks its size and hands it to on_head(). A field without
 * a value has the offset of the NUL after its name, thus an empty value. */
static int
on_head_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;
	bool is_without_body;

	g_string_append_c(head->text, '\0');
	trim_values(head);
	reader->is_malformed =
	    !are_names_valid(head) || !is_coding_known(head) ||
	    (!reader->is_request &&
		(!is_status_line_valid(reader) || runs_into_another(head)));
	if (reader->is_malformed)
		return -1;
	reader->has_head = true;
	if (reader->head_bytes_max > 0 &&
	    head->target->len + head->text->len +
		    (size_t)head->fields->len * FIELD_OVERHEAD_BYTES >
		reader->head_bytes_max)
		return -1;
	head->status = parser->status_code;
	head->method =
	    reader->is_request ? http_method_str(parser->method) : NULL;
	head->keeps_connection = http_should_keep_alive(parser) != 0;
	head->is_chunked = (parser->flags & F_CHUNKED) != 0;
	head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
	head->expects_continue =
	    http_head_has_token(head, "expect", "100-continue");
	is_without_body = http_status_has_no_body(head->status);
	if (reader->ops.on_head(reader->ops.context, head))
		is_without_body = true;
	return is_without_body ? 1 : 0;
}

static int
on_body_data(http_parser *parser, const char *data, size_t size)
{
	struct http_reader *reader = parser->data;

	reader->is_malformed = !check_line_ends(reader, data);
	if (reader->is_malformed)
		return -1;
	reader->unchecked = data + size;
	reader->is_after_chunk_data = (parser->flags & F_CHUNKED) != 0;
	reader->ops.on_body(reader->ops.context, data, size);
	return 0;
}

static int
on_message_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->has_ended = true;
	http_parser_pause(parser, 1);
	reader->ops.on_end(reader->ops.context);
	return 0;
}

/* Checks the bytes outside of the body up to @p end, and reports the ends of
 * chunks. The parser library takes any byte after a CR for the LF, and any two
 * bytes for the end of a chunk. */
static bool
check_line_ends(struct http_reader *reader, const char *end)
{
	const char *at;

	for (at = reader->unchecked; at < end; at++) {
		if ((reader->is_after_cr && *at != '\n') ||
		    (reader->is_after_chunk_data && *at != '\r'))
			return false;
		if (reader->is_in_chunk_end && reader->ops.on_chunk_end != NULL)
			reader->ops.on_chunk_end(reader->ops.context);
		reader->is_in_chunk_end = reader->is_after_chunk_data;
		reader->is_after_chunk_data = false;
		reader->is_after_cr = *at == '\r';
	}
	reader->unchecked = end;
	return true;
}

static bool
is_token_byte(char byte)
{
	return byte != '\0' && strchr(TOKEN_CHARACTERS, byte) != NULL;
}

static bool
is_control_byte(char byte)
{
	return (unsigned char)byte <= CONTROL_MAX || byte == CONTROL_DELETE;
}

static bool
is_status_line_valid(const struct http_reader *reader)
{
	return reader->parser.http_major == 1 &&
	       http_is_status(reader->parser.status_code) &&
	       reader->status_digits == STATUS_DIGITS;
}

/* The parser library accepts spaces in the name of a field. Other readers take
 * "Content-Length : 5" for a length, so it can't be passed on. */
static bool
are_names_valid(const struct http_head *head)
{
	const char *name;
	guint i;

	for (i = 0; i < head->fields->len; i++) {
		name = http_head_name(head, i);
		if (name[strspn(name, TOKEN_CHARACTERS)] != '\0')
			return false;
	}
	return true;
}

/* True if the body has no transfer coding but "chunked", once at most. What is
 * left after another one was ignored would not be the body. */
static bool
is_coding_known(const struct http_head *head)
{
	uint32_t count;
	guint i;

	count = 0;
	for (i = 0; i < head->fields->len; i++) {
		if (g_ascii_strcasecmp(
			http_head_name(head, i), "transfer-encoding") != 0)
			continue;
		count++;
		if (g_ascii_strcasecmp(http_head_value(head, i), "chunked") !=
		    0)
			return false;
	}
	return count <= 1;
}

/* True if the head stops within a line, and another one follows, whose fields would
 * be taken for those of this one. */
static bool
runs_into_another(const struct http_head *head)
{
	guint i;

	if (http_has_status_line(head->target->str))
		return true;
	for (i = 0; i < head->fields->len; i++) {
		if (http_has_status_line(http_head_value(head, i)))
			return true;
	}
	return false;
}

/* Removes spaces and tabs after each value, which HTTP doesn't count as part of
 * the value. */
static void
trim_values(struct http_head *head)
{
	char *value;
	size_t size;
	guint i;

	for (i = 0; i < head->fields->len; i++) {
		value = head->text->str +
			g_array_index(head->fields, struct http_field, i)
			    .value_offset;
		size = strlen(value);
		while (size > 0 &&
		       (value[size - 1] == ' ' || value[size - 1] == '\t'))
			value[--size] = '\0';
	}
}

static void
init_head(struct http_head *head)
{
	memset(head, 0, sizeof(*head));
	head->target = g_string_new(NULL);
	head->text = g_string_new(NULL);
	head->fields = g_array_new(FALSE, TRUE, sizeof(struct http_field));
}

/* True if a list separated by commas, spaces or tabs contains the token. */
static bool
has_token(const char *list, const char *token)
{
	size_t size, wanted;

	wanted = strlen(token);
	while (*list != '\0') {
		list += strspn(list, ", \t");
		size = strcspn(list, ", \t");
		if (size == wanted &&
		    g_ascii_strncasecmp(list, token, wanted) == 0)
			return true;
		list += size;
	}
	return false;
}
