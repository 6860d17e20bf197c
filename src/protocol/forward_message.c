#include "protocol/forward_message.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

/* JSON has no unsigned integers of 64 bits, so ids are hexadecimal text. */
#define ID_FORMAT "%016" G_GINT64_MODIFIER "x"
#define ID_DIGITS 16
#define ID_SIZE	  (ID_DIGITS + 1)

static json_t *pack_id(uint64_t id);
static enum error_code parse_id(const json_t *item, uint64_t *id);
static enum error_code parse_tried(
    const json_t *tried, struct forward_request *request);
static char *dump(json_t *object);

char *
forward_request_format(const struct forward_request *request)
{
	json_t *tried;
	uint32_t i;

	tried = json_array();
	for (i = 0; i < request->tried_count; i++)
		json_array_append_new(tried, pack_id(request->tried[i]));
	return dump(json_pack("{s:o,s:I,s:I,s:b,s:b,s:o}", "token",
	    pack_id(request->token), "age_ms", (json_int_t)request->age_ms,
	    "routes_version", (json_int_t)request->routes_version, "may_go_on",
	    request->may_go_on, "has_partial_answer",
	    request->has_partial_answer, "tried", tried));
}

enum error_code
forward_request_parse(const char *text, struct forward_request *request)
{
	json_t *object, *token, *tried;
	json_int_t age_ms, version;
	enum error_code error;
	int may_go_on, has_partial_answer;

	memset(request, 0, sizeof(*request));
	object = json_loads(text, 0, NULL);
	if (object == NULL)
		return ERROR_MALFORMED;
	error = ERROR_MALFORMED;
	if (json_unpack(object, "{s:o,s:I,s:I,s:b,s:b,s:o}", "token", &token,
		"age_ms", &age_ms, "routes_version", &version, "may_go_on",
		&may_go_on, "has_partial_answer", &has_partial_answer, "tried",
		&tried) == 0 &&
	    age_ms >= 0 && version >= 0)
		error = parse_id(token, &request->token);
	if (error == ERROR_NONE) {
		request->age_ms = age_ms;
		request->routes_version = (uint64_t)version;
		request->may_go_on = may_go_on != 0;
		request->has_partial_answer = has_partial_answer != 0;
		error = parse_tried(tried, request);
	}
	json_decref(object);
	return error;
}

char *
forward_result_format(const struct forward_result *result)
{
	return dump(json_pack("{s:s,s:I,s:o}", "reason",
	    error_name(result->reason), "sent", (json_int_t)result->sent,
	    "upstream", pack_id(result->upstream_id)));
}

enum error_code
forward_result_parse(const char *text, struct forward_result *result)
{
	json_t *object, *upstream;
	enum error_code error;
	const char *reason;
	json_int_t sent;

	memset(result, 0, sizeof(*result));
	object = json_loads(text, 0, NULL);
	if (object == NULL)
		return ERROR_MALFORMED;
	error = ERROR_MALFORMED;
	if (json_unpack(object, "{s:s,s:I,s:o}", "reason", &reason, "sent",
		&sent, "upstream", &upstream) == 0 &&
	    sent >= 0 && sent <= UINT32_MAX)
		error = parse_id(upstream, &result->upstream_id);
	if (error == ERROR_NONE) {
		result->reason = error_from_name(reason);
		result->sent = (uint32_t)sent;
	}
	json_decref(object);
	return error;
}

static json_t *
pack_id(uint64_t id)
{
	char text[ID_SIZE];

	g_snprintf(text, sizeof(text), ID_FORMAT, (guint64)id);
	return json_string(text);
}

static enum error_code
parse_id(const json_t *item, uint64_t *id)
{
	const char *text = json_string_value(item);

	if (text == NULL || strlen(text) != ID_DIGITS ||
	    strspn(text, "0123456789abcdef") != ID_DIGITS)
		return ERROR_MALFORMED;
	*id = strtoull(text, NULL, 16);
	return ERROR_NONE;
}

static enum error_code
parse_tried(const json_t *tried, struct forward_request *request)
{
	enum error_code error;
	size_t i;

	if (!json_is_array(tried) || json_array_size(tried) > FORWARD_TRIED_MAX)
		return ERROR_MALFORMED;
	error = ERROR_NONE;
	for (i = 0; error == ERROR_NONE && i < json_array_size(tried); i++)
		error = parse_id(json_array_get(tried, i), &request->tried[i]);
	request->tried_count = (uint32_t)json_array_size(tried);
	return error;
}

/* Returns the object as text and frees it. */
static char *
dump(json_t *object)
{
	char *text, *copy;

	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	copy = g_strdup(text);
	free(text);
	return copy;
}
