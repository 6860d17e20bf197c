#include <string.h>

#include <jansson.h>

#include "base/event_log.h"
#include "relay/relay_parts.h"

static enum answer_owner find_owner(
    const struct relay_exchange *exchange, const struct http_head *head);
static void read_statement(const struct relay_exchange *exchange,
    const struct http_head *head, struct upstream_statement *statement);
static void log_malformed(
    const struct relay_exchange *exchange, const char *field, const char *text);

void
relay_head_read(const struct relay_exchange *exchange,
    const struct http_head *head, struct answer_facts *facts)
{
	const struct relay_dialect *dialect =
	    &exchange->relay->settings.dialect;
	const char *text;

	memset(facts, 0, sizeof(*facts));
	facts->status = head->status;
	facts->owner = find_owner(exchange, head);
	facts->has_receipt = http_head_get(head, dialect->receipt) != NULL;
	facts->is_encoded = http_head_get(head, "Content-Encoding") != NULL;
	facts->is_refusal = http_head_get(head, dialect->refusal) != NULL;
	text = http_head_get(head, "Content-Type");
	facts->is_event_stream = exchange->route->kind == ROUTE_KIND_STREAM &&
				 !relay_exchange_is_head_request(exchange) &&
				 !http_status_has_no_body(head->status) &&
				 text != NULL &&
				 g_ascii_strncasecmp(text, "text/event-stream",
				     strlen("text/event-stream")) == 0;
	facts->requests_before = pool_call_requests_before(exchange->call);
}

/* Records what the upstream says of itself in the headers of an answer. A header
 * that can't be parsed changes nothing. */
void
relay_head_record_notice(
    const struct relay_exchange *exchange, const struct http_head *head)
{
	struct relay *relay = exchange->relay;
	struct upstream_statement statement;

	read_statement(exchange, head, &statement);
	if (!placement_record_notice(&relay->placement, exchange->upstream_id,
		exchange->upstream_incarnation, &statement, host_now_ms()))
		return;
	event_log_write_fields(EVENT_UPSTREAM_NOTICED,
	    "{s:s,s:b,s:f,s:b,s:I,s:i}", "upstream", exchange->upstream_name,
	    "limited", statement.has_limit, "per_s", statement.limit_per_s,
	    "leaving", statement.is_leaving, "pause_ms",
	    (json_int_t)statement.pause_ms, "hosts",
	    (int)relay->placement.host_count);
	relay_schedule_report(relay);
}

/* An answer that names two requests may be that of either. */
static enum answer_owner
find_owner(const struct relay_exchange *exchange, const struct http_head *head)
{
	const char *field = exchange->relay->settings.dialect.attempt_id;
	const char *id = http_head_get(head, field);
	guint i;

	for (i = 0; i < head->fields->len; i++) {
		if (g_ascii_strcasecmp(http_head_name(head, i), field) == 0 &&
		    strcmp(http_head_value(head, i), id) != 0)
			return ANSWER_OF_UNKNOWN;
	}
	return pool_call_attribute(exchange->call, id);
}

/* Reads each of the headers for itself: one that can't be read leaves the others
 * as they are. */
static void
read_statement(const struct relay_exchange *exchange,
    const struct http_head *head, struct upstream_statement *statement)
{
	const struct relay_dialect *dialect =
	    &exchange->relay->settings.dialect;
	const char *text;

	memset(statement, 0, sizeof(*statement));
	text = http_head_get(head, dialect->leaving);
	statement->is_leaving = text != NULL && strcmp(text, "1") == 0;
	text = http_head_get(head, "Retry-After");
	if (head->status == STATUS_UNAVAILABLE && text != NULL &&
	    upstream_pause_parse(text, &statement->pause_ms) != ERROR_NONE)
		log_malformed(exchange, "pause", text);
	text = http_head_get(head, dialect->rate_limit);
	if (text == NULL)
		return;
	statement->has_limit =
	    upstream_limit_parse(text, &statement->limit_per_s) == ERROR_NONE;
	statement->has_unreadable_limit = !statement->has_limit;
	if (statement->has_unreadable_limit)
		log_malformed(exchange, "limit", text);
}

static void
log_malformed(
    const struct relay_exchange *exchange, const char *field, const char *text)
{
	event_log_write_fields(EVENT_UPSTREAM_NOTICE_REFUSED, "{s:s,s:s}",
	    "upstream", exchange->upstream_name, field, text);
}
