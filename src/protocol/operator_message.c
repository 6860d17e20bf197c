#include "protocol/operator_message.h"

#include <stdlib.h>
#include <string.h>

/* Longest time limit and override; a century, so that no sum of times
 * overflows. */
#define TIME_MAX_S  UINT64_C(3153600000)
#define MS_PER_S    1000.0
#define HEX_DIGITS  "0123456789abcdefABCDEF"
#define HEX_MAX_LEN 16 /* Hexadecimal digits of an incarnation. */

static enum error_code read_revision(
    const json_t *body, uint64_t *revision, struct field_error *error);
static enum error_code read_wait(
    const json_t *body, bool *wants_in_force, struct field_error *error);
static enum error_code read_incarnation(
    const json_t *body, uint64_t *incarnation, struct field_error *error);

enum error_code
operator_update_options_read(const json_t *body,
    struct operator_update_options *options, struct field_error *error)
{
	enum error_code code;
	double timeout_ms = 0;

	memset(options, 0, sizeof(*options));
	code = read_revision(body, &options->expected_revision, error);
	if (code == ERROR_NONE)
		code = read_wait(body, &options->wants_in_force, error);
	if (code == ERROR_NONE)
		code = field_read_optional_flag(
		    body, "dry_run", &options->is_dry_run, error);
	if (code == ERROR_NONE)
		code = field_read_optional_number(body, "timeout_ms",
		    (double)TIME_MAX_S * MS_PER_S, &timeout_ms, error);
	options->timeout_ms = (int64_t)timeout_ms;
	return code;
}

enum error_code
operator_voter_change_read(const json_t *body,
    struct operator_voter_change *change, struct field_error *error)
{
	enum error_code code;
	uint64_t host_id;

	memset(change, 0, sizeof(*change));
	change->is_add = json_object_get(body, "add") != NULL;
	if (change->is_add && json_object_get(body, "remove") != NULL)
		return field_error_set(error, ERROR_BAD_VALUE, "remove",
		    json_object_get(body, "remove"), "either add or remove");
	code = field_read_uint(body, change->is_add ? "add" : "remove", 1,
	    UINT32_MAX, &host_id, error);
	if (code != ERROR_NONE)
		return code;
	change->voter.host_id = (uint32_t)host_id;
	return read_incarnation(body, &change->voter.incarnation, error);
}

enum error_code
operator_override_read(
    const json_t *body, uint64_t *seconds, struct field_error *error)
{
	return field_read_uint(
	    body, "serve_unconfirmed_s", 0, TIME_MAX_S, seconds, error);
}

static enum error_code
read_revision(const json_t *body, uint64_t *revision, struct field_error *error)
{
	const json_t *item;
	enum error_code code;

	*revision = REVISION_ANY;
	code = field_find_optional(body, "expected_revision", JSON_INTEGER,
	    "a whole number, 0 or more", &item, error);
	if (code != ERROR_NONE || item == NULL)
		return code;
	return field_read_uint(
	    body, "expected_revision", 0, INT64_MAX, revision, error);
}

static enum error_code
read_wait(const json_t *body, bool *wants_in_force, struct field_error *error)
{
	static const char expected[] = "in_force or accepted";
	const json_t *item;
	enum error_code code;

	*wants_in_force = true;
	code = field_find_optional(
	    body, "wait", JSON_STRING, expected, &item, error);
	if (code != ERROR_NONE || item == NULL)
		return code;
	*wants_in_force = strcmp(json_string_value(item), "in_force") == 0;
	if (!*wants_in_force &&
	    strcmp(json_string_value(item), "accepted") != 0)
		return field_error_set(
		    error, ERROR_BAD_VALUE, "wait", item, expected);
	return ERROR_NONE;
}

static enum error_code
read_incarnation(
    const json_t *body, uint64_t *incarnation, struct field_error *error)
{
	static const char expected[] = "1 to 16 hexadecimal digits";
	const json_t *item;
	enum error_code code;
	const char *text;
	size_t length;

	code = field_find_optional(
	    body, "incarnation", JSON_STRING, expected, &item, error);
	if (code != ERROR_NONE || item == NULL)
		return code;
	text = json_string_value(item);
	length = strlen(text);
	if (length == 0 || length > HEX_MAX_LEN ||
	    strspn(text, HEX_DIGITS) != length)
		return field_error_set(
		    error, ERROR_BAD_VALUE, "incarnation", item, expected);
	*incarnation = strtoull(text, NULL, 16);
	return ERROR_NONE;
}
