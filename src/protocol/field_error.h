/**
 * @file field_error.h
 * Which field of an input was wrong, and what was expected.
 */
#ifndef FIELD_ERROR_H
#define FIELD_ERROR_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error_code.h"

#define FIELD_TEXT_SIZE 96 /**< Bytes of each text with its end mark. */

/** The particulars of a refused input. */
struct field_error {
	enum error_code code;		/**< ERROR_NONE while all is well. */
	char field[FIELD_TEXT_SIZE];	/**< Path such as "messages[2].role". */
	char value[FIELD_TEXT_SIZE];	/**< What was there, cut short. */
	char expected[FIELD_TEXT_SIZE]; /**< What it must be. */
};

/* Reporting */

/** Fills the particulars and gives @p code back. @p value may be NULL. */
enum error_code field_error_set(struct field_error *error, enum error_code code,
    const char *field, const json_t *value, const char *expected);
/** Writes one sentence for people. */
void field_error_text(const struct field_error *error, char *text, size_t size);

/* Reading with bounds; an absent field is ERROR_MISSING_FIELD */

/** Copies a string of 1 to @p value_size - 1 bytes without control bytes. */
enum error_code field_text(const json_t *object, const char *field, char *value,
    size_t value_size, struct field_error *error);
/** Reads a whole number in [least, most]. */
enum error_code field_uint(const json_t *object, const char *field,
    uint64_t least, uint64_t most, uint64_t *value, struct field_error *error);
/** Reads a number written as 16 hexadecimal digits. */
enum error_code field_hex(const json_t *object, const char *field,
    uint64_t *value, struct field_error *error);

#endif
