/**
 * @file field_error.h
 * Reads fields of JSON objects with limits, and describes which field of a
 * rejected input was wrong and what was expected.
 */
#ifndef FIELD_ERROR_H
#define FIELD_ERROR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error_code.h"

/** Bytes of each text of a field error, with its terminating NUL. */
#define FIELD_TEXT_SIZE 96

/** Description of the first wrong field of an input. */
struct field_error {
	enum error_code code; /**< ERROR_NONE if no field is wrong. */
	/** Path of the field, such as "messages[2].role". */
	char field[FIELD_TEXT_SIZE];
	/** Value that was found, truncated to fit; "" if it is absent. */
	char value[FIELD_TEXT_SIZE];
	/** Description of the values that are accepted. */
	char expected[FIELD_TEXT_SIZE];
};

/* Reporting errors */

/** Sets all parts of an error and returns @p code. @p value is the value that
 * was found; NULL if it is absent or not to be shown. */
enum error_code field_error_set(struct field_error *error, enum error_code code,
    const char *field, const json_t *value, const char *expected);
/** Puts the path of the object that holds the field, and a dot, before the path
 * of the field. */
void field_error_add_parent(struct field_error *error, const char *parent);
/** Writes the error as one line of text, "field: value: expected ...", cut to
 * @p size bytes with the terminating NUL. */
void field_error_format(
    const struct field_error *error, char *text, size_t size);

/* Reading fields; on failure they set the error and return its code:
 * ERROR_MISSING_FIELD, ERROR_WRONG_TYPE or ERROR_BAD_VALUE */

/** Copies a string field of 1 to @p value_size - 1 bytes; control characters
 * are rejected. */
enum error_code field_read_text(const json_t *object, const char *field,
    char *value, size_t value_size, struct field_error *error);
/** Reads an integer field with a value from @p min to @p max, both
 * included. */
enum error_code field_read_uint(const json_t *object, const char *field,
    uint64_t min, uint64_t max, uint64_t *value, struct field_error *error);
/** Reads a 64-bit number from a string field of 16 hexadecimal digits. */
enum error_code field_read_hex(const json_t *object, const char *field,
    uint64_t *value, struct field_error *error);

/* Reading optional fields; if the field is absent or null, the value stays as it
 * is. On failure they set the error and return its code, ERROR_WRONG_TYPE or
 * ERROR_BAD_VALUE, and the value stays, too */

/** Reads a number from 0 to @p max, both included, with or without a
 * fraction. */
enum error_code field_read_optional_number(const json_t *object,
    const char *field, double max, double *value, struct field_error *error);
/** Reads true or false. */
enum error_code field_read_optional_flag(const json_t *object,
    const char *field, bool *value, struct field_error *error);
/** Finds a field of type @p type and describes that as @p expected if the field
 * has another one. Sets @p item to NULL if the field is absent or null. */
enum error_code field_find_optional(const json_t *object, const char *field,
    json_type type, const char *expected, const json_t **item,
    struct field_error *error);

/* Texts */

/** True if a byte of the text is a control character. */
bool field_has_control_byte(const char *text);

#endif
