/**
 * @file selector.h
 * Selectors over labels, such as "data_centre=regina,tier!=gold,!spare".
 *
 * A selector is a list of terms joined by commas, all of which must hold:
 *   key=value   key!=value   key in (a|b)   key notin (a|b)   key   !key
 * or "*" alone, which takes everything. A key may have several values (an
 * upstream's "model"): key=value holds if one of them is the value, and
 * key!=value if none is. Names are letters, digits and any of "._-/:".
 */
#ifndef SELECTOR_H
#define SELECTOR_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

#define SELECTOR_SIZE_MAX   1024 /**< Bytes of a selector with its end mark. */
#define SELECTOR_TERMS_MAX  32	 /**< Terms of one selector. */
#define SELECTOR_VALUES_MAX 128	 /**< Values of all its terms. */

/** What a term asks. */
enum selector_operator {
	SELECTOR_IN,	 /**< One of the values; '=' is this with one. */
	SELECTOR_NOT_IN, /**< None of the values, or no such key. */
	SELECTOR_EXISTS, /**< The key has a value. */
	SELECTOR_ABSENT, /**< The key has no value. */
};

/** Why a text is no selector. */
enum selector_problem {
	SELECTOR_PROBLEM_NONE,
	SELECTOR_PROBLEM_EMPTY,	   /**< No term; "*" takes everything. */
	SELECTOR_PROBLEM_NAME,	   /**< A key or value was expected. */
	SELECTOR_PROBLEM_TOO_LONG, /**< A name or the text is too long. */
	SELECTOR_PROBLEM_LIST,	   /**< A list "(a|b)" was expected. */
	SELECTOR_PROBLEM_COMMA,	   /**< A comma or the end was expected. */
	SELECTOR_PROBLEM_TOO_MANY, /**< Too many terms or values. */
};

/** Where and why parsing stopped. */
struct selector_fault {
	enum selector_problem problem; /**< Why. */
	uint32_t position;	       /**< Byte of the text, from 0. */
};

/** A term; names are offsets into the selector's text. */
struct selector_term {
	enum selector_operator operation; /**< What it asks. */
	uint16_t key;			  /**< Offset of the key. */
	uint16_t first_value;		  /**< Index of the first value. */
	uint16_t value_count;		  /**< How many values. */
};

/** A parsed selector; holds no pointers, so it may be copied. */
struct selector {
	char names[SELECTOR_SIZE_MAX + 1]; /**< Names with end marks. */
	struct selector_term terms[SELECTOR_TERMS_MAX]; /**< Its terms. */
	uint16_t values[SELECTOR_VALUES_MAX]; /**< Offsets of values. */
	uint16_t term_count;  /**< Terms in use; 0 takes everything. */
	uint16_t value_count; /**< Values in use. */
};

/** How a selector sees an object's labels. */
struct label_lookup {
	/** True if @p key has @p value; any value if @p value is NULL. */
	bool (*holds)(const void *object, const char *key, const char *value);
	const void *object; /**< Passed back to holds(). */
};

/** Parses a text. Errors: ERROR_MALFORMED, ERROR_TOO_LARGE; @p fault, which
 * may be NULL, then says where and why. */
enum error_code selector_parse(
    struct selector *selector, const char *text, struct selector_fault *fault);
/** True if the selector takes the object. */
bool selector_match(
    const struct selector *selector, const struct label_lookup *lookup);
/** Name of a problem as the interfaces print it. */
const char *selector_problem_name(enum selector_problem problem);

#endif
