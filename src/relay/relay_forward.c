/*
 * Requests that one entry host forwards to another, because it reaches no
 * upstream itself.
 *
 * The forwarding host keeps the request: its deadline, its number of attempts,
 * the retry budget, and how a stream goes on. The other host makes one attempt
 * for it: it finds the route in its own route table, places the request
 * among its own, and sends it under its own share of what upstreams bear. A forwarded
 * request is not forwarded again.
 */
#include <string.h>

#include <jansson.h>

#include "base/event_log.h"
#include "relay/relay_parts.h"

/* Upstreams that this host tries in vain before it forwards a request while the
 * path is not known to be lost. */
#define UNREACHED_MAX 2
/* Attempts of one request at other hosts, whatever these answer. */
#define ATTEMPTS_MAX 8
/* The other host answers this long before the deadline here, so that its answer
 * says whether the request has run. */
#define DEADLINE_MARGIN_MS 20

static GBytes *request_bytes(
    const struct relay_exchange *exchange, int64_t now_ms);
static void ignore(struct relay_exchange *exchange);
static bool read_result(
    struct relay_exchange *exchange, const struct http_head *head);
static void on_refusal(struct relay_exchange *exchange);
static void on_failed(
    struct relay_exchange *exchange, enum error_code error, bool is_fault);
static void on_end(struct relay_exchange *exchange);
static bool is_refused_by_host(enum error_code reason);
static void append_request_field(
    GString *out, const struct relay_exchange *exchange, int64_t now_ms);
static void adopt_tried(struct relay_exchange *exchange);

static const struct attempt_ops forwarded_attempt = {
    .bytes = request_bytes,
    .on_connected = ignore,
    .on_unreached = ignore,
    .on_sent = ignore,
    .read_head = read_result,
    .on_refusal = on_refusal,
    .on_answered = ignore,
    .on_broken = ignore,
    .on_failed = on_failed,
    .on_end = on_end,
};

bool
relay_forward_try(struct relay_exchange *exchange)
{
	struct relay_forward *forward = &exchange->forward;
	struct relay *relay = exchange->relay;
	const struct forward_peer *peer;

	if (forward->is_received || forward->tried_count >= FORWARD_HOSTS_MAX ||
	    forward->attempts >= ATTEMPTS_MAX ||
	    (!relay_path_is_lost(relay) && forward->unreached < UNREACHED_MAX))
		return false;
	peer =
	    forward_peers_pick(&relay->placement.forward_peers, forward->tried,
		forward->tried_count, &relay->random, host_now_ms());
	if (peer == NULL)
		return false;
	forward->to_host = peer->host_id;
	forward->has_result = false;
	forward->attempts++;
	forward_peers_begin(&relay->placement.forward_peers, peer->host_id);
	atomic_fetch_add(&relay->counters.forwarded, 1);
	event_log_write_fields(EVENT_REQUEST_FORWARDED, "{s:s,s:I,s:b,s:i,s:i}",
	    "request", exchange->attempt_id, "to_host",
	    (json_int_t)peer->host_id, "path_lost", relay_path_is_lost(relay),
	    "unreached", (int)forward->unreached, "sent",
	    (int)exchange->attempts_sent);
	/* A request that waits here waits at the other host from now on. */
	placement_queue_leave(&relay->placement, &exchange->queue_entry);
	relay_attempt_prepare(exchange, &forwarded_attempt, peer->says.address,
	    (double)exchange->route->target_ms);
	relay_attempt_send(exchange);
	return true;
}

void
relay_forward_record_sent(struct relay_exchange *exchange, uint64_t upstream_id)
{
	struct relay_forward *forward = &exchange->forward;

	if (forward->sent_to_count < FORWARD_TRIED_MAX)
		forward->sent_to[forward->sent_to_count++] = upstream_id;
}

bool
relay_forward_receive(struct relay_exchange *exchange)
{
	struct relay_forward *forward = &exchange->forward;
	struct relay *relay = exchange->relay;
	enum error_code error;
	const char *text;
	uint32_t i;

	if (exchange->caller->kind != CALLER_HOST)
		return true;
	forward->is_received = true;
	atomic_fetch_add(&relay->counters.forwards_taken, 1);
	text = http_head_get(&exchange->head, FORWARD_REQUEST_FIELD);
	error = text == NULL ? ERROR_MISSING_FIELD
			     : forward_request_parse(text, &forward->received);
	if (error == ERROR_NONE &&
	    forward->received.token != relay->placement.forwarding.token)
		error = ERROR_UNAUTHENTICATED;
	if (error == ERROR_NONE && atomic_load(&relay->is_draining))
		error = ERROR_SHUTTING_DOWN;
	if (error == ERROR_NONE && relay_path_is_lost(relay))
		error = ERROR_NO_PATH;
	if (error != ERROR_NONE) {
		relay_exchange_refuse(exchange, "this host can't forward it",
		    RETRY_AFTER_DEFAULT_MS, error);
		return false;
	}
	exchange->arrived_ms -= forward->received.age_ms;
	for (i = 0; i < forward->received.tried_count; i++)
		exchange->request.tried[exchange->request.tried_count++] =
		    forward->received.tried[i];
	return true;
}

void
relay_forward_append_result(GString *out, const struct relay_exchange *exchange)
{
	struct forward_result result = {
	    .reason = exchange->refusal,
	    .sent = exchange->attempts_sent,
	    .upstream_id = exchange->upstream_id,
	};
	char *text;

	text = forward_result_format(&result);
	g_string_append_printf(out, FORWARD_RESULT_FIELD ": %s\r\n", text);
	g_free(text);
}

static GBytes *
request_bytes(const struct relay_exchange *exchange, int64_t now_ms)
{
	const char *key_field = exchange->relay->settings.dialect.account_key;
	const char *key = http_head_get(&exchange->head, key_field);
	GString *out;

	out = relay_request_begin(
	    exchange, exchange->deadline_ms - now_ms - DEADLINE_MARGIN_MS);
	/* The other host finds out the account by the key. */
	if (key != NULL)
		g_string_append_printf(out, "%s: %s\r\n", key_field, key);
	append_request_field(out, exchange, now_ms);
	return relay_request_end(exchange, out);
}

/* What happens at an upstream behind another host, or on the way to that host,
 * is no sign of this host's own path or of crashes that it has seen. */
static void
ignore(struct relay_exchange *exchange)
{
	(void)exchange;
}

static bool
read_result(struct relay_exchange *exchange, const struct http_head *head)
{
	struct relay_forward *forward = &exchange->forward;
	const char *text;

	text = http_head_get(head, FORWARD_RESULT_FIELD);
	if (text == NULL ||
	    forward_result_parse(text, &forward->result) != ERROR_NONE)
		return false;
	forward->has_result = true;
	/* Until now the attempt counted as one that reached one upstream. */
	exchange->attempts_sent += forward->result.sent;
	exchange->attempts_sent -= MIN(exchange->attempts_sent, 1);
	adopt_tried(exchange);
	exchange->facts.is_refusal = forward->result.reason != ERROR_NONE;
	return true;
}

static void
on_refusal(struct relay_exchange *exchange)
{
	enum error_code reason = exchange->forward.result.reason;
	const char *text;
	int64_t after_ms;

	event_log_write_fields(EVENT_FORWARD_REFUSED, "{s:s,s:I,s:s,s:i}",
	    "request", exchange->attempt_id, "to_host",
	    (json_int_t)exchange->forward.to_host, "why", error_name(reason),
	    "sent", (int)exchange->forward.result.sent);
	exchange->is_sent = false;
	if (exchange->forward.result.sent > 0) {
		relay_attempt_failed(exchange, ERROR_UPSTREAM_REFUSED, false);
		return;
	}
	if (is_refused_by_host(reason)) {
		relay_attempt_failed(exchange, reason, true);
		return;
	}
	after_ms = 0;
	text = http_head_get(&exchange->partial_head, "Retry-After");
	if (text == NULL || upstream_pause_parse(text, &after_ms) != ERROR_NONE)
		after_ms = RETRY_AFTER_DEFAULT_MS;
	relay_attempt_end(exchange);
	relay_exchange_end_unplaced(exchange, reason, after_ms);
}

static void
on_failed(struct relay_exchange *exchange, enum error_code error, bool is_fault)
{
	struct relay_forward *forward = &exchange->forward;

	(void)is_fault;
	/* Once the host has answered, what fails is mostly its upstream. */
	if (forward->has_result && error != ERROR_STALLED &&
	    !is_refused_by_host(forward->result.reason))
		return;
	forward_peers_avoid(&exchange->relay->placement.forward_peers,
	    forward->to_host, host_now_ms());
	if (forward->tried_count < FORWARD_HOSTS_MAX)
		forward->tried[forward->tried_count++] = forward->to_host;
}

static void
on_end(struct relay_exchange *exchange)
{
	struct relay_forward *forward = &exchange->forward;

	forward_peers_end(
	    &exchange->relay->placement.forward_peers, forward->to_host);
	forward->to_host = 0;
}

/* Whether another host may serve the request that this one refused. */
static bool
is_refused_by_host(enum error_code reason)
{
	switch (reason) {
	case ERROR_NO_PATH:
	case ERROR_NO_UPSTREAM:
	case ERROR_SHUTTING_DOWN:
	case ERROR_LEASE_EXPIRED:
	case ERROR_STALE:
	case ERROR_UNAUTHENTICATED:
	case ERROR_MISSING_FIELD:
	case ERROR_MALFORMED:
	case ERROR_CONNECTION:
	case ERROR_TIMEOUT:
	case ERROR_INTERNAL:
		return true;
	default:
		/* Also ERROR_NONE, of an answer. */
		return false;
	}
}

static void
append_request_field(
    GString *out, const struct relay_exchange *exchange, int64_t now_ms)
{
	const struct relay_forward *state = &exchange->forward;
	struct forward_request forward = {
	    .age_ms = MAX(now_ms - exchange->arrived_ms, 0),
	    .routes_version = exchange->table->version,
	    .has_partial_answer = exchange->is_answering,
	};
	const struct forward_peer *peer;
	char *text;

	peer = forward_peers_find(
	    &exchange->relay->placement.forward_peers, state->to_host);
	if (peer != NULL)
		forward.token = peer->says.token;
	forward.may_go_on =
	    exchange->attempts_sent + 1 < relay_exchange_attempts_max(exchange);
	forward.tried_count = state->sent_to_count;
	memcpy(forward.tried, state->sent_to, sizeof(forward.tried));
	text = forward_request_format(&forward);
	g_string_append_printf(out, FORWARD_REQUEST_FIELD ": %s\r\n", text);
	g_free(text);
}

/* Avoids the upstream of the other host's attempt in the attempts that follow. */
static void
adopt_tried(struct relay_exchange *exchange)
{
	const struct forward_result *result = &exchange->forward.result;
	struct placement_request *request = &exchange->request;

	if (result->sent == 0 || result->upstream_id == 0)
		return;
	relay_forward_record_sent(exchange, result->upstream_id);
	if (request->tried_count < PLACEMENT_TRIED_MAX)
		request->tried[request->tried_count++] = result->upstream_id;
}
