#include "api/api.h"

#include <string.h>

#include <sodium.h>

#include "host/host_calls.h"
#include "protocol/announcement.h"

#define BEARER_PREFIX "Bearer "

static bool check_token(struct host *host, struct http_exchange *exchange);
static void reply_outcome(
    struct host *host, struct http_exchange *exchange, enum error_code error);

void
api_announce(void *context, struct http_exchange *exchange)
{
	struct upstream_record record = {0};
	struct field_error problem = {0};
	struct host *host = context;
	const char *body;
	size_t size;

	if (!check_token(host, exchange))
		return;
	body = http_body(exchange, &size);
	if (announcement_parse(body, size, &record, &problem) != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		return;
	}
	reply_outcome(host, exchange, host_announce(host, &record));
}

void
api_renew(void *context, struct http_exchange *exchange)
{
	struct upstream_renewal renewal = {0};
	struct field_error problem = {0};
	struct host *host = context;
	const char *body;
	size_t size;

	if (!check_token(host, exchange))
		return;
	body = http_body(exchange, &size);
	if (renewal_parse(body, size, &renewal, &problem) != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		return;
	}
	reply_outcome(host, exchange, host_renew(host, &renewal));
}

void
api_leave(void *context, struct http_exchange *exchange)
{
	struct upstream_leave leave = {0};
	struct field_error problem = {0};
	struct host *host = context;
	const char *body;
	size_t size;

	if (!check_token(host, exchange))
		return;
	body = http_body(exchange, &size);
	if (leave_parse(body, size, &leave, &problem) != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		return;
	}
	reply_outcome(host, exchange, host_leave(host, &leave));
}

void
api_cache_events(void *context, struct http_exchange *exchange)
{
	struct cache_event_batch *batch;
	struct field_error problem = {0};
	struct cache_event event = {0};
	struct host *host = context;
	const char *body;
	uint32_t i;
	size_t size;

	if (!check_token(host, exchange))
		return;
	body = http_body(exchange, &size);
	batch = g_new0(struct cache_event_batch, 1);
	if (cache_events_parse(body, size, batch, &problem) != ERROR_NONE) {
		http_reply_field_error(exchange, &problem);
		g_free(batch);
		return;
	}
	event.upstream_id = batch->id;
	event.incarnation = batch->incarnation;
	for (i = 0; i < batch->count; i++) {
		event.sequence = batch->items[i].number;
		event.kind = batch->items[i].kind;
		event.prefix_hash = batch->items[i].prefix_hash;
		/* Events of an earlier incarnation are ignored without an
		 * error, so the result is not checked. */
		(void)prefix_index_apply(
		    &host->prefixes, &event, host_now_ms());
	}
	g_free(batch);
	reply_outcome(host, exchange, ERROR_NONE);
}

static bool
check_token(struct host *host, struct http_exchange *exchange)
{
	const char *expected, *header;
	size_t length;

	expected = host->settings.upstream_token;
	length = strlen(expected);
	if (length == 0)
		return true;
	header = http_header(exchange, "Authorization");
	if (header != NULL &&
	    strlen(header) == strlen(BEARER_PREFIX) + length &&
	    strncmp(header, BEARER_PREFIX, strlen(BEARER_PREFIX)) == 0 &&
	    sodium_memcmp(header + strlen(BEARER_PREFIX), expected, length) ==
		0)
		return true;
	api_refuse(exchange, ERROR_UNAUTHENTICATED,
	    "the upstream token is missing or wrong");
	return false;
}

static void
reply_outcome(
    struct host *host, struct http_exchange *exchange, enum error_code error)
{
	if (error != ERROR_NONE) {
		api_refuse(exchange, error, NULL);
		return;
	}
	http_reply_json(exchange, 200,
	    json_pack("{s:b,s:i,s:i}", "ok", 1, "host",
		(int)host->settings.host_id, "renew_within_ms",
		(int)host->settings.upstream_expiry_ms / 2));
}
