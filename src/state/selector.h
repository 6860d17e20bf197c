/**
 * @file selector.h
 * Selectors over labels, such as "data_centre=regina,tier!=gold,!spare".
 *
 * A selector is a list of terms joined by commas, all of which must hold:
 *   key=value   key!=value   key in (a|b)   key notin (a|b)   key   !key
 * or "*" alone, which matches everything. A key may have several values (an
 * upstream's "model"): key=value holds if one of them is the value, and
 * key!=value if none is. Names are letters, digits and any of "._-/:".
 */
#ifndef SELECTOR_H
#define SELECTOR_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

/** Bytes of a selector's text including its terminating NUL. */
#define SELECTOR_SIZE_MAX   1024
#define SELECTOR_TERMS_MAX  32	/**< Largest number of terms. */
#define SELECTOR_VALUES_MAX 128 /**< Largest number of values in all terms. */

/** Condition that a term puts on its key. */
enum selector_operator {
	/** The label has one of the values; '=' is parsed as this with one
	 * value. */
	SELECTOR_IN,
	SELECTOR_NOT_IN, /**< Has none of the values, or no value at all. */
	SELECTOR_EXISTS, /**< Has any value. */
	SELECTOR_ABSENT, /**< Has no value. */
};

/** Why a text isn't a valid selector. */
enum selector_problem {
	SELECTOR_PROBLEM_NONE,	   /**< The selector is valid. */
	SELECTOR_PROBLEM_EMPTY,	   /**< No term; "*" matches everything. */
	SELECTOR_PROBLEM_NAME,	   /**< A key or value was expected. */
	SELECTOR_PROBLEM_TOO_LONG, /**< A name or the text is too long. */
	SELECTOR_PROBLEM_LIST,	   /**< A list "(a|b)" was expected. */
	SELECTOR_PROBLEM_COMMA,	   /**< A comma or the end was expected. */
	SELECTOR_PROBLEM_TOO_MANY, /**< Too many terms or values. */
};

/** Where and why parsing a selector failed. */
struct selector_fault {
	enum selector_problem problem; /**< Why parsing failed. */
	uint32_t position; /**< Offset in the text where parsing failed. */
};

/** A term; names are stored as offsets into the selector's names. */
struct selector_term {
	enum selector_operator operation; /**< Condition on the key. */
	uint16_t key;			  /**< Offset of the key's name. */
	uint16_t first_value; /**< Index of its first value in values. */
	uint16_t value_count; /**< Number of its values. */
};

/** A parsed selector; contains no pointers, so it can be copied. */
struct selector {
	/** Names of keys and values, each with a terminating NUL. */
	char names[SELECTOR_SIZE_MAX + 1];
	/** The terms, all of which must hold. */
	struct selector_term terms[SELECTOR_TERMS_MAX];
	/** Offsets of the values' names, those of one term in a row. */
	uint16_t values[SELECTOR_VALUES_MAX];
	/** Terms in use; with 0 the selector matches everything. */
	uint16_t term_count;
	uint16_t value_count; /**< Values in use. */
};

/** Interface through which a selector reads an object's labels. */
struct label_lookup {
	/** True if the object has the label @p key with @p value, or with any
	 * value if @p value is NULL. */
	bool (*has_label)(
	    const void *object, const char *key, const char *value);
	const void *object; /**< First argument of has_label(). */
};

/** Parses a selector. @p fault may be NULL; otherwise it tells where and why
 * parsing failed. After an error the selector matches nothing. Errors:
 * ERROR_MALFORMED, ERROR_TOO_LARGE. */
enum error_code selector_parse(
    struct selector *selector, const char *text, struct selector_fault *fault);
/** True if the selector matches the object of @p lookup. */
bool selector_match(
    const struct selector *selector, const struct label_lookup *lookup);
/** Returns the name of a problem as it appears in responses. */
const char *selector_problem_name(enum selector_problem problem);

#endif
