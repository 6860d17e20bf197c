#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "relay/relay_parts.h"

#define MS_PER_S 1000.0
/* Bytes reserved for a chunk's size line and line end. */
#define CHUNK_HEAD_SIZE 24

static void append_status(GString *out, uint32_t status);
static void append_attempt_id(GString *out, const struct relay_caller *caller);
static void append_fields(GString *out, const struct http_head *head);
static void append_connection(GString *out, const struct relay_caller *caller);
static bool is_reserved_field(
    const struct relay_dialect *dialect, const char *name);
static void append_result(GString *out, const struct relay_caller *caller);
static void append_helpers(GString *out, const struct relay_exchange *exchange);
static bool is_head_request(const struct relay_caller *caller);
static const char *reason_phrase(uint32_t status);

void
relay_answer_json(struct relay_caller *caller, uint32_t status,
    const char *reason, int64_t retry_after_ms)
{
	GString *out, *body;

	body = g_string_new(NULL);
	g_string_append_printf(body, "{\"error\":\"%s\"}", reason);
	out = g_string_new(NULL);
	append_status(out, status);
	append_attempt_id(out, caller);
	append_result(out, caller);
	if (retry_after_ms > 0)
		g_string_append_printf(out, "Retry-After: %.2f\r\n",
		    (double)retry_after_ms / MS_PER_S);
	g_string_append_printf(out,
	    "Content-Type: application/json\r\n"
	    "Content-Length: %zu\r\n",
	    (size_t)body->len);
	append_connection(out, caller);
	if (!is_head_request(caller))
		g_string_append_len(out, body->str, (gssize)body->len);
	tcp_link_write(&caller->link, out->str, out->len);
	g_string_free(out, TRUE);
	g_string_free(body, TRUE);
}

void
relay_answer_text(
    struct relay_caller *caller, uint32_t status, const GString *text)
{
	GString *out;

	out = g_string_new(NULL);
	append_status(out, status);
	g_string_append_printf(out,
	    "Content-Type: text/plain; version=0.0.4\r\n"
	    "Content-Length: %zu\r\n",
	    (size_t)text->len);
	append_connection(out, caller);
	if (!is_head_request(caller))
		g_string_append_len(out, text->str, (gssize)text->len);
	tcp_link_write(&caller->link, out->str, out->len);
	g_string_free(out, TRUE);
}

void
relay_answer_complete(struct relay_caller *caller, const struct http_head *head,
    const GByteArray *body, bool is_head_method)
{
	const char *length;
	GString *out;

	out = g_string_new(NULL);
	append_status(out, head->status);
	append_fields(out, head);
	append_result(out, caller);
	length = http_head_get(head, "Content-Length");
	if (is_head_method && length != NULL)
		g_string_append_printf(out, "Content-Length: %s\r\n", length);
	else if (!is_head_method && !http_status_has_no_body(head->status))
		g_string_append_printf(
		    out, "Content-Length: %u\r\n", body->len);
	append_connection(out, caller);
	if (!is_head_method)
		g_string_append_len(
		    out, (const char *)body->data, (gssize)body->len);
	tcp_link_write(&caller->link, out->str, out->len);
	g_string_free(out, TRUE);
}

void
relay_answer_begin(struct relay_caller *caller, const struct http_head *head)
{
	GString *out;

	out = g_string_new(NULL);
	append_status(out, head->status);
	append_fields(out, head);
	append_result(out, caller);
	g_string_append(out, "Transfer-Encoding: chunked\r\n");
	append_connection(out, caller);
	tcp_link_write(&caller->link, out->str, out->len);
	g_string_free(out, TRUE);
}

void
relay_answer_chunk(struct relay_caller *caller, const void *data, size_t size)
{
	GString *out;

	if (size == 0)
		return;
	out = g_string_sized_new(size + CHUNK_HEAD_SIZE);
	g_string_append_printf(out, "%zx\r\n", size);
	g_string_append_len(out, data, (gssize)size);
	g_string_append(out, "\r\n");
	tcp_link_write(&caller->link, out->str, out->len);
	g_string_free(out, TRUE);
}

void
relay_answer_end(struct relay_caller *caller)
{
	static const char end[] = "0\r\n\r\n";

	tcp_link_write(&caller->link, end, sizeof(end) - 1);
}

GBytes *
relay_request_bytes(const struct relay_exchange *exchange, int64_t now_ms)
{
	const struct relay_dialect *dialect =
	    &exchange->relay->settings.dialect;
	GString *out;

	out = relay_request_begin(exchange, exchange->deadline_ms - now_ms);
	g_string_append_printf(
	    out, "%s: %s\r\n", dialect->target, exchange->upstream_name);
	if (exchange->account != NULL)
		g_string_append_printf(out, "%s: %s\r\n", dialect->account,
		    exchange->account->name);
	append_helpers(out, exchange);
	return relay_request_end(exchange, out);
}

GString *
relay_request_begin(const struct relay_exchange *exchange, int64_t remaining_ms)
{
	const struct relay_dialect *dialect =
	    &exchange->relay->settings.dialect;
	const struct http_head *head = &exchange->head;
	const char *name;
	GString *out;
	guint i;

	out = g_string_new(NULL);
	g_string_append_printf(
	    out, "%s %s HTTP/1.1\r\n", head->method, head->target->str);
	for (i = 0; i < head->fields->len; i++) {
		name = http_head_name(head, i);
		if (is_reserved_field(dialect, name) ||
		    (http_head_is_hop_by_hop(head, name) &&
			g_ascii_strcasecmp(name, dialect->attempt_id) != 0))
			continue;
		g_string_append_printf(
		    out, "%s: %s\r\n", name, http_head_value(head, i));
	}
	if (exchange->events.last_id[0] != '\0')
		g_string_append_printf(out, "%s: %s\r\n", dialect->resume_after,
		    exchange->events.last_id);
	g_string_append_printf(out, "%s: %" PRId64 "\r\n", dialect->deadline,
	    MAX(remaining_ms, 1));
	return out;
}

GBytes *
relay_request_end(const struct relay_exchange *exchange, GString *out)
{
	const struct http_head *head = &exchange->head;
	gsize size;

	if (exchange->body->len > 0 || head->has_length || head->is_chunked)
		g_string_append_printf(
		    out, "Content-Length: %u\r\n", exchange->body->len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, (const char *)exchange->body->data,
	    (gssize)exchange->body->len);
	size = out->len;
	return g_bytes_new_take(g_string_free(out, FALSE), size);
}

static void
append_status(GString *out, uint32_t status)
{
	g_string_append_printf(
	    out, "HTTP/1.1 %u %s\r\n", status, reason_phrase(status));
}

/* Echoes the attempt id as the caller sent it. */
static void
append_attempt_id(GString *out, const struct relay_caller *caller)
{
	const char *field = caller->relay->settings.dialect.attempt_id;
	const char *id;

	if (caller->exchange == NULL)
		return;
	id = http_head_get(&caller->exchange->head, field);
	if (id != NULL)
		g_string_append_printf(out, "%s: %s\r\n", field, id);
}

static void
append_fields(GString *out, const struct http_head *head)
{
	const char *name;
	guint i;

	for (i = 0; i < head->fields->len; i++) {
		name = http_head_name(head, i);
		if (http_head_is_hop_by_hop(head, name) ||
		    g_ascii_strcasecmp(name, FORWARD_RESULT_FIELD) == 0 ||
		    g_ascii_strcasecmp(name, "Content-Length") == 0)
			continue;
		g_string_append_printf(
		    out, "%s: %s\r\n", name, http_head_value(head, i));
	}
}

/* Tells the host that forwarded the request how it ended here. */
static void
append_result(GString *out, const struct relay_caller *caller)
{
	if (caller->exchange != NULL && caller->exchange->forward.is_received)
		relay_forward_append_result(out, caller->exchange);
}

/* Appends the Connection header, if the connection closes after this answer,
 * and the empty line that ends the head. */
static void
append_connection(GString *out, const struct relay_caller *caller)
{
	g_string_append(out,
	    caller->closes_after_answer ? "Connection: close\r\n\r\n" : "\r\n");
}

/* Returns true for a header that only the relay may set in requests to an
 * upstream; one sent by the caller is dropped. */
static bool
is_reserved_field(const struct relay_dialect *dialect, const char *name)
{
	const char *const reserved[] = {
	    dialect->deadline,
	    dialect->account_key,
	    dialect->account,
	    dialect->target,
	    dialect->helpers,
	    dialect->priority,
	    dialect->resume_after,
	    FORWARD_REQUEST_FIELD,
	    "Content-Length",
	    "Expect",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(reserved); i++) {
		if (g_ascii_strcasecmp(name, reserved[i]) == 0)
			return true;
	}
	return false;
}

static void
append_helpers(GString *out, const struct relay_exchange *exchange)
{
	const struct placement_choice *choice = &exchange->choice;
	char text[UPSTREAM_ADDRESS_SIZE];
	const char *hold_id;
	uint32_t i;

	if (choice->helper_count == 0)
		return;
	g_string_append_printf(
	    out, "%s: ", exchange->relay->settings.dialect.helpers);
	for (i = 0; i < choice->helper_count; i++) {
		upstream_address_write(choice->helper_addresses[i], text);
		g_string_append_printf(out, "%s%s", i == 0 ? "" : ",", text);
		hold_id = relay_holds_id(&exchange->holds, i);
		if (hold_id != NULL)
			g_string_append_printf(out, "/%s", hold_id);
	}
	g_string_append(out, "\r\n");
}

/* True if the answer that is written is one to a HEAD request, which has no body.
 * Once a request has an exchange, its head is there and no longer in the
 * reader. */
static bool
is_head_request(const struct relay_caller *caller)
{
	const char *method = caller->reader.head.method;

	if (caller->exchange != NULL)
		return relay_exchange_is_head_request(caller->exchange);
	return method != NULL && strcmp(method, "HEAD") == 0;
}

static const char *
reason_phrase(uint32_t status)
{
	switch (status) {
#define REASON(number, name, text)                                             \
	case number:                                                           \
		return #text;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "Unknown";
	}
}
