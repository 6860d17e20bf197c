#include "protocol/http_reader.h"

#include <string.h>

/* Fields of one connection only, beside those that Connection names. */
static const char *const hop_fields[] = {
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

#define LINE_OVERHEAD 2 /* Bytes of a line beside its text and marks. */

static int begin_message(http_parser *parser);
static int add_target(http_parser *parser, const char *data, size_t size);
static int add_name(http_parser *parser, const char *data, size_t size);
static int add_value(http_parser *parser, const char *data, size_t size);
static int end_head(http_parser *parser);
static int add_body(http_parser *parser, const char *data, size_t size);
static int end_message(http_parser *parser);
static void trim_values(struct http_head *head);
static void make_head(struct http_head *head);
static bool has_token(const char *list, const char *token);

static const http_parser_settings parser_settings = {
    .on_message_begin = begin_message,
    .on_url = add_target,
    .on_header_field = add_name,
    .on_header_value = add_value,
    .on_headers_complete = end_head,
    .on_body = add_body,
    .on_message_complete = end_message,
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
	make_head(&reader->head);
	reader->head_bytes = 0;
	reader->has_begun = false;
	reader->has_head = false;
	reader->has_ended = false;
	reader->is_value = false;
}

enum error_code
http_reader_feed(
    struct http_reader *reader, const char *data, size_t size, size_t *used)
{
	bool had_head = reader->has_head;

	*used =
	    http_parser_execute(&reader->parser, &parser_settings, data, size);
	if (!had_head)
		reader->head_bytes += *used;
	if (!reader->has_head && reader->head_bytes_max > 0 &&
	    reader->head_bytes > reader->head_bytes_max)
		return ERROR_TOO_LARGE;
	switch (HTTP_PARSER_ERRNO(&reader->parser)) {
	case HPE_OK:
		/* An upgrade is not spoken here. */
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
	       g_array_index(head->fields, struct http_field, index).name;
}

const char *
http_head_value(const struct http_head *head, guint index)
{
	return head->text->str +
	       g_array_index(head->fields, struct http_field, index).value;
}

bool
http_head_is_hop(const struct http_head *head, const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_fields); i++) {
		if (g_ascii_strcasecmp(name, hop_fields[i]) == 0)
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
	make_head(from);
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

static int
begin_message(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->has_begun = true;
	return 0;
}

static int
add_target(http_parser *parser, const char *data, size_t size)
{
	struct http_reader *reader = parser->data;

	g_string_append_len(reader->head.target, data, (gssize)size);
	return 0;
}

static int
add_name(http_parser *parser, const char *data, size_t size)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;
	struct http_field field = {0};

	/* Trailers of a chunked body are not passed on. */
	if (reader->has_head)
		return 0;
	if (reader->is_value || head->fields->len == 0) {
		if (head->fields->len > 0)
			g_string_append_c(head->text, '\0');
		field.name = (uint32_t)head->text->len;
		g_array_append_val(head->fields, field);
		reader->is_value = false;
	}
	g_string_append_len(head->text, data, (gssize)size);
	g_array_index(head->fields, struct http_field, head->fields->len - 1)
	    .value = (uint32_t)head->text->len;
	return 0;
}

static int
add_value(http_parser *parser, const char *data, size_t size)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;

	if (reader->has_head)
		return 0;
	if (!reader->is_value) {
		g_string_append_c(head->text, '\0');
		g_array_index(
		    head->fields, struct http_field, head->fields->len - 1)
		    .value = (uint32_t)head->text->len;
		reader->is_value = true;
	}
	g_string_append_len(head->text, data, (gssize)size);
	return 0;
}

/* A value that was never given stays at the end mark of its name. */
static int
end_head(http_parser *parser)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = &reader->head;

	g_string_append_c(head->text, '\0');
	trim_values(head);
	reader->has_head = true;
	if (reader->head_bytes_max > 0 &&
	    head->target->len + head->text->len +
		    (size_t)head->fields->len * LINE_OVERHEAD >
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
	return reader->ops.head(reader->ops.context, head) ? 1 : 0;
}

static int
add_body(http_parser *parser, const char *data, size_t size)
{
	struct http_reader *reader = parser->data;

	reader->ops.body(reader->ops.context, data, size);
	return 0;
}

static int
end_message(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	reader->has_ended = true;
	http_parser_pause(parser, 1);
	reader->ops.end(reader->ops.context);
	return 0;
}

/* White space behind a value is not part of it. */
static void
trim_values(struct http_head *head)
{
	char *value;
	size_t size;
	guint i;

	for (i = 0; i < head->fields->len; i++) {
		value = head->text->str +
			g_array_index(head->fields, struct http_field, i).value;
		size = strlen(value);
		while (size > 0 &&
		       (value[size - 1] == ' ' || value[size - 1] == '\t'))
			value[--size] = '\0';
	}
}

static void
make_head(struct http_head *head)
{
	memset(head, 0, sizeof(*head));
	head->target = g_string_new(NULL);
	head->text = g_string_new(NULL);
	head->fields = g_array_new(FALSE, TRUE, sizeof(struct http_field));
}

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
