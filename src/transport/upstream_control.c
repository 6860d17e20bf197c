#include "transport/upstream_control.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "base/monotonic_clock.h"
#include "protocol/field_error.h"
#include "transport/json_call.h"
#include "transport/upstream_reply.h"

#define CONNECT_TIMEOUT_MS 1000
#define REPLY_SIZE_MAX	   ((size_t)256 * 1024) /* Bytes of a reply body. */
#define PATH_SIZE	   64			/* Bytes of a URL path. */
/* Largest valid number of tokens. */
#define TOKENS_MAX ((uint64_t)INT64_MAX)
/* Largest valid age of a reservation. */
#define AGE_MS_MAX ((uint64_t)INT64_MAX)
#define STATUS_OK  200
#define HEX_SIZE   17 /* 64-bit number in hex digits with NUL. */

static enum error_code exchange_json(const struct upstream_target *target,
    const char *path, json_t *body, int64_t deadline_ms, json_t **reply);
static bool names_other_call(const json_t *reply, const json_t *call);
static enum error_code read_error(const struct json_reply *reply);
static json_t *reservation_body(
    const struct upstream_target *target, uint64_t reservation);
static enum error_code parse_held(
    const json_t *reply, struct held_reservation_list *held);

enum error_code
upstream_control_probe(
    void *context, const struct upstream_target *target, int64_t deadline_ms)
{
	CURLcode result;
	int64_t left_ms;
	CURL *curl;

	(void)context;
	left_ms = deadline_ms - clock_monotonic_ms();
	if (left_ms <= 0)
		return ERROR_CONNECTION;
	curl = curl_easy_init();
	if (curl == NULL)
		return ERROR_NO_MEMORY;
	curl_easy_setopt(curl, CURLOPT_URL, target->url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_CONNECT_ONLY, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)left_ms);
	result = curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	return result == CURLE_OK ? ERROR_NONE : ERROR_CONNECTION;
}

enum error_code
upstream_control_kv_reserve(void *context, const struct upstream_target *target,
    uint64_t reservation, uint64_t tokens, int64_t deadline_ms)
{
	json_t *body;

	(void)context;
	body = reservation_body(target, reservation);
	json_object_set_new(body, "tokens", json_integer((json_int_t)tokens));
	return exchange_json(
	    target, "/engine/v1/kv/reserve", body, deadline_ms, NULL);
}

enum error_code
upstream_control_kv_export(void *context, const struct upstream_target *target,
    uint64_t reservation, int64_t deadline_ms, struct kv_export *result)
{
	struct field_error details;
	enum error_code error;
	json_t *reply;

	(void)context;
	reply = NULL;
	memset(result, 0, sizeof(*result));
	result->reservation = reservation;
	g_strlcpy(result->url, target->url, sizeof(result->url));
	error = exchange_json(target, "/engine/v1/kv/export",
	    reservation_body(target, reservation), deadline_ms, &reply);
	if (error != ERROR_NONE)
		return error;
	error = field_read_uint(
	    reply, "tokens", 0, TOKENS_MAX, &result->tokens, &details);
	if (error == ERROR_NONE)
		error = field_read_hex(
		    reply, "content_digest", &result->content_digest, &details);
	json_decref(reply);
	return error == ERROR_NONE ? ERROR_NONE : ERROR_MALFORMED;
}

enum error_code
upstream_control_kv_import(void *context, const struct upstream_target *target,
    uint64_t reservation, const struct kv_export *source, int64_t deadline_ms)
{
	char number[HEX_SIZE];
	json_t *body;

	(void)context;
	body = reservation_body(target, reservation);
	snprintf(number, sizeof(number), "%016" PRIx64, source->reservation);
	json_object_set_new(body, "source_reservation", json_string(number));
	json_object_set_new(body, "source_url", json_string(source->url));
	json_object_set_new(
	    body, "tokens", json_integer((json_int_t)source->tokens));
	snprintf(number, sizeof(number), "%016" PRIx64, source->content_digest);
	json_object_set_new(body, "content_digest", json_string(number));
	return exchange_json(
	    target, "/engine/v1/kv/import", body, deadline_ms, NULL);
}

enum error_code
upstream_control_kv_release(void *context, const struct upstream_target *target,
    uint64_t reservation, int64_t deadline_ms)
{
	enum error_code error;

	(void)context;
	error = exchange_json(target, "/engine/v1/kv/release",
	    reservation_body(target, reservation), deadline_ms, NULL);
	return error == ERROR_NOT_FOUND ? ERROR_NONE : error;
}

enum error_code
upstream_control_kv_held(void *context, const struct upstream_target *target,
    int64_t deadline_ms, struct held_reservation_list *held)
{
	enum error_code error;
	json_t *reply;

	(void)context;
	reply = NULL;
	held->count = 0;
	held->truncated = false;
	error = exchange_json(
	    target, "/engine/v1/kv/held", NULL, deadline_ms, &reply);
	if (error != ERROR_NONE)
		return error;
	error = parse_held(reply, held);
	json_decref(reply);
	return error == ERROR_NONE ? ERROR_NONE : ERROR_MALFORMED;
}

enum error_code
upstream_control_order(void *context, const struct upstream_target *target,
    const struct upstream_order *order, int64_t deadline_ms,
    enum upstream_order_state *state)
{
	const char *verb;
	const char *text;
	enum error_code error;
	json_t *body;
	json_t *reply;

	(void)context;
	reply = NULL;
	verb = upstream_order_verb_name(order->verb);
	if (verb == NULL)
		return ERROR_INVALID_ARGUMENT;
	body = json_pack("{s:s, s:s, s:s, s:s, s:I, s:I}", "order", order->id,
	    "verb", verb, "subject", order->subject, "value", order->value,
	    "fencing", (json_int_t)order->fencing_number, "incarnation",
	    (json_int_t)target->incarnation);
	error = exchange_json(
	    target, "/engine/v1/order", body, deadline_ms, &reply);
	if (error != ERROR_NONE)
		return error;
	text = json_string_value(json_object_get(reply, "state"));
	if (text != NULL && strcmp(text, "running") == 0)
		*state = UPSTREAM_ORDER_RUNNING;
	else if (text != NULL && strcmp(text, "done") == 0)
		*state = UPSTREAM_ORDER_DONE;
	else if (text != NULL && strcmp(text, "failed") == 0)
		*state = UPSTREAM_ORDER_FAILED;
	else
		error = ERROR_MALFORMED;
	json_decref(reply);
	return error;
}

/* Sends a POST with body, or a GET if body is NULL, and gives the reply's JSON to
 * *reply unless reply is NULL. Takes over the reference to body; the caller
 * releases *reply. */
static enum error_code
exchange_json(const struct upstream_target *target, const char *path,
    json_t *body, int64_t deadline_ms, json_t **reply)
{
	struct json_reply received = {0};
	struct json_call call = {
	    .body = body,
	    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
	    .timeout_ms = deadline_ms - clock_monotonic_ms(),
	    .reply_size_max = REPLY_SIZE_MAX,
	};
	char url[URL_SIZE_MAX + PATH_SIZE];
	enum error_code error;

	snprintf(url, sizeof(url), "%s%s", target->url, path);
	call.url = url;
	error = ERROR_TIMEOUT;
	if (call.timeout_ms <= 0)
		goto done;
	error = json_call_perform(&call, &received);
	if (error == ERROR_NONE && received.status != STATUS_OK)
		error = read_error(&received);
	if (error != ERROR_CONNECTION && names_other_call(received.root, body))
		error = ERROR_OUTCOME_UNKNOWN;
	if (error != ERROR_NONE || reply == NULL)
		goto done;
	if (json_is_object(received.root))
		*reply = json_incref(received.root);
	else
		error = ERROR_MALFORMED;

done:
	json_decref(received.root);
	json_decref(body);
	return error;
}

/* Returns true if a reply names a reservation or an order, and not the one of
 * the call. */
static bool
names_other_call(const json_t *reply, const json_t *call)
{
	static const char *const names[] = {"reservation", "order"};
	const json_t *stated, *own;
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		stated = json_object_get(reply, names[i]);
		own = json_object_get(call, names[i]);
		if (stated != NULL && own != NULL && !json_equal(stated, own))
			return true;
	}
	return false;
}

static enum error_code
read_error(const struct json_reply *reply)
{
	struct piece piece = {
	    .error = ERROR_OUTCOME_UNKNOWN, .outcome = REQUEST_OUTCOME_FAILED};

	if (!upstream_reply_read_error(reply->root, &piece) ||
	    piece.outcome == REQUEST_OUTCOME_UNKNOWN)
		return ERROR_OUTCOME_UNKNOWN;
	return piece.error;
}

static json_t *
reservation_body(const struct upstream_target *target, uint64_t reservation)
{
	char number[HEX_SIZE];

	snprintf(number, sizeof(number), "%016" PRIx64, reservation);
	return json_pack("{s:s, s:I}", "reservation", number, "incarnation",
	    (json_int_t)target->incarnation);
}

static enum error_code
parse_held(const json_t *reply, struct held_reservation_list *held)
{
	struct field_error details;
	struct held_reservation *item;
	const json_t *list;
	const json_t *entry;
	enum error_code error;
	uint64_t age;
	size_t i;

	error = field_read_uint(
	    reply, "incarnation", 1, INT64_MAX, &held->incarnation, &details);
	list = json_object_get(reply, "held");
	if (error != ERROR_NONE || !json_is_array(list))
		return ERROR_MALFORMED;
	for (i = 0; i < json_array_size(list); i++) {
		if (i == HELD_RESERVATIONS_MAX) {
			held->truncated = true;
			break;
		}
		entry = json_array_get(list, i);
		item = &held->items[i];
		if (field_read_hex(entry, "reservation", &item->reservation,
			&details) != ERROR_NONE ||
		    field_read_uint(entry, "tokens", 0, TOKENS_MAX,
			&item->tokens, &details) != ERROR_NONE ||
		    field_read_uint(entry, "age_ms", 0, AGE_MS_MAX, &age,
			&details) != ERROR_NONE)
			return ERROR_MALFORMED;
		item->age_ms = (int64_t)age;
		held->count++;
	}
	return ERROR_NONE;
}
