#include "protocol/field_error.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEX_DIGIT_COUNT 16 /* Hexadecimal digits that a field must have. */

static enum error_code get_typed(const json_t *object, const char *field,
    json_type type, const char *expected, const json_t **item,
    struct field_error *error);
static void format_value(const json_t *value, char *text, size_t size);

enum error_code
field_error_set(struct field_error *error, enum error_code code,
    const char *field, const json_t *value, const char *expected)
{
	error->code = code;
	snprintf(error->field, sizeof(error->field), "%s", field);
	snprintf(error->expected, sizeof(error->expected), "%s", expected);
	format_value(value, error->value, sizeof(error->value));
	return code;
}

void
field_error_add_parent(struct field_error *error, const char *parent)
{
	char path[2 * FIELD_TEXT_SIZE];

	snprintf(path, sizeof(path), "%.*s.%s", FIELD_TEXT_SIZE - 1, parent,
	    error->field);
	memcpy(error->field, path, sizeof(error->field));
	error->field[sizeof(error->field) - 1] = '\0';
}

void
field_error_format(const struct field_error *error, char *text, size_t size)
{
	if (error->value[0] == '\0')
		snprintf(text, size, "%s: expected %s", error->field,
		    error->expected);
	else
		snprintf(text, size, "%s: %s: expected %s", error->field,
		    error->value, error->expected);
}

enum error_code
field_read_text(const json_t *object, const char *field, char *value,
    size_t value_size, struct field_error *error)
{
	const json_t *item;
	char expected[FIELD_TEXT_SIZE];
	enum error_code code;
	size_t length;

	snprintf(expected, sizeof(expected),
	    "a string of 1 to %zu bytes without control characters",
	    value_size - 1);
	code = get_typed(object, field, JSON_STRING, expected, &item, error);
	if (code != ERROR_NONE)
		return code;
	length = json_string_length(item);
	if (length == 0 || length >= value_size ||
	    field_has_control_byte(json_string_value(item)))
		return field_error_set(
		    error, ERROR_BAD_VALUE, field, item, expected);
	memcpy(value, json_string_value(item), length + 1);
	return ERROR_NONE;
}

enum error_code
field_read_uint(const json_t *object, const char *field, uint64_t min,
    uint64_t max, uint64_t *value, struct field_error *error)
{
	const json_t *item;
	char expected[FIELD_TEXT_SIZE];
	enum error_code code;
	json_int_t number;

	snprintf(expected, sizeof(expected),
	    "a whole number from %" PRIu64 " to %" PRIu64, min, max);
	code = get_typed(object, field, JSON_INTEGER, expected, &item, error);
	if (code != ERROR_NONE)
		return code;
	number = json_integer_value(item);
	if (number < 0 || (uint64_t)number < min || (uint64_t)number > max)
		return field_error_set(
		    error, ERROR_BAD_VALUE, field, item, expected);
	*value = (uint64_t)number;
	return ERROR_NONE;
}

enum error_code
field_read_hex(const json_t *object, const char *field, uint64_t *value,
    struct field_error *error)
{
	static const char expected[] = "16 hexadecimal digits";
	enum error_code code;
	const json_t *item;
	const char *text;
	char *end;

	code = get_typed(object, field, JSON_STRING, expected, &item, error);
	if (code != ERROR_NONE)
		return code;
	text = json_string_value(item);
	if (strspn(text, "0123456789abcdefABCDEF") != HEX_DIGIT_COUNT)
		return field_error_set(
		    error, ERROR_BAD_VALUE, field, item, expected);
	*value = strtoull(text, &end, 16);
	if (*end != '\0')
		return field_error_set(
		    error, ERROR_BAD_VALUE, field, item, expected);
	return ERROR_NONE;
}

enum error_code
field_read_optional_number(const json_t *object, const char *field, double max,
    double *value, struct field_error *error)
{
	char expected[FIELD_TEXT_SIZE];
	const json_t *item;
	double number;

	item = json_object_get(object, field);
	if (item == NULL || json_is_null(item))
		return ERROR_NONE;
	snprintf(expected, sizeof(expected), "a number from 0 to %.0f", max);
	if (!json_is_number(item))
		return field_error_set(
		    error, ERROR_WRONG_TYPE, field, item, expected);
	number = json_number_value(item);
	if (!(number >= 0 && number <= max))
		return field_error_set(
		    error, ERROR_BAD_VALUE, field, item, expected);
	*value = number;
	return ERROR_NONE;
}

enum error_code
field_read_optional_flag(const json_t *object, const char *field, bool *value,
    struct field_error *error)
{
	const json_t *item;

	item = json_object_get(object, field);
	if (item == NULL || json_is_null(item))
		return ERROR_NONE;
	if (!json_is_boolean(item))
		return field_error_set(
		    error, ERROR_WRONG_TYPE, field, item, "true or false");
	*value = json_is_true(item);
	return ERROR_NONE;
}

enum error_code
field_find_optional(const json_t *object, const char *field, json_type type,
    const char *expected, const json_t **item, struct field_error *error)
{
	const json_t *found;

	*item = NULL;
	found = json_object_get(object, field);
	if (found == NULL || json_is_null(found))
		return ERROR_NONE;
	if (json_typeof(found) != type)
		return field_error_set(
		    error, ERROR_WRONG_TYPE, field, found, expected);
	*item = found;
	return ERROR_NONE;
}

bool
field_has_control_byte(const char *text)
{
	for (; *text != '\0'; text++) {
		if ((unsigned char)*text < 0x20 || *text == 0x7f)
			return true;
	}
	return false;
}

/* Gets a field that must be there and have this type. */
static enum error_code
get_typed(const json_t *object, const char *field, json_type type,
    const char *expected, const json_t **item, struct field_error *error)
{
	*item = json_object_get(object, field);
	if (*item == NULL)
		return field_error_set(
		    error, ERROR_MISSING_FIELD, field, NULL, expected);
	if (json_typeof(*item) != type)
		return field_error_set(
		    error, ERROR_WRONG_TYPE, field, *item, expected);
	return ERROR_NONE;
}

static void
format_value(const json_t *value, char *text, size_t size)
{
	text[0] = '\0';
	if (json_is_string(value))
		snprintf(text, size, "\"%.*s\"", (int)size - 4,
		    json_string_value(value));
	else if (json_is_integer(value))
		snprintf(text, size, "%" JSON_INTEGER_FORMAT,
		    json_integer_value(value));
	else if (json_is_real(value))
		snprintf(text, size, "%g", json_real_value(value));
	else if (json_is_boolean(value))
		snprintf(text, size, "%s",
		    json_boolean_value(value) ? "true" : "false");
	else if (json_is_null(value))
		snprintf(text, size, "null");
	else if (json_is_array(value))
		snprintf(text, size, "an array of %zu", json_array_size(value));
	else if (json_is_object(value))
		snprintf(text, size, "an object");
}
