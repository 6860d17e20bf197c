/**
 * @file selector.c
 * Parser and matcher of selectors.
 */
#include "state/selector.h"

#include <ctype.h>
#include <string.h>

/** State of the parser. */
struct parser {
	struct selector *selector;     /* Selector that is filled in. */
	const char *text;	       /* Text that is parsed. */
	uint32_t position;	       /* Offset of the next byte to parse. */
	uint16_t names_size;	       /* Bytes in use of the names. */
	enum selector_problem problem; /* Why parsing failed. */
};

static const char *const problem_names[] = {
    [SELECTOR_PROBLEM_NONE] = "none",
    [SELECTOR_PROBLEM_EMPTY] = "empty",
    [SELECTOR_PROBLEM_NAME] = "name_expected",
    [SELECTOR_PROBLEM_TOO_LONG] = "too_long",
    [SELECTOR_PROBLEM_LIST] = "list_expected",
    [SELECTOR_PROBLEM_COMMA] = "comma_expected",
    [SELECTOR_PROBLEM_TOO_MANY] = "too_many",
};

static bool parse_terms(struct parser *parser);
static bool parse_term(struct parser *parser, struct selector_term *term);
static bool parse_operator(struct parser *parser, struct selector_term *term);
static bool parse_list(struct parser *parser, struct selector_term *term);
static bool parse_value(struct parser *parser, struct selector_term *term);
static bool parse_name(struct parser *parser, uint16_t *offset);
static bool accept_operator(struct parser *parser, const char *word);
static bool accept_byte(struct parser *parser, char byte);
static void skip_spaces(struct parser *parser);
static bool is_name_byte(char byte);
static bool fail(struct parser *parser, enum selector_problem problem);
static bool match_term(const struct selector *selector,
    const struct selector_term *term, const struct label_lookup *lookup);
static bool match_values(const struct selector *selector,
    const struct selector_term *term, const struct label_lookup *lookup);

enum error_code
selector_parse(
    struct selector *selector, const char *text, struct selector_fault *fault)
{
	struct parser parser = {0};
	bool is_parsed;

	memset(selector, 0, sizeof(*selector));
	parser.selector = selector;
	parser.text = text;
	if (strnlen(text, SELECTOR_SIZE_MAX) == SELECTOR_SIZE_MAX)
		is_parsed = fail(&parser, SELECTOR_PROBLEM_TOO_LONG);
	else
		is_parsed = parse_terms(&parser);
	if (fault != NULL) {
		fault->problem = parser.problem;
		fault->position = is_parsed ? 0 : parser.position;
	}
	if (is_parsed)
		return ERROR_NONE;
	/* A caller that ignores the error gets a selector that matches
	 * nothing: a term without values. */
	memset(selector, 0, sizeof(*selector));
	selector->terms[0].operation = SELECTOR_IN;
	selector->term_count = 1;
	if (parser.problem == SELECTOR_PROBLEM_TOO_LONG ||
	    parser.problem == SELECTOR_PROBLEM_TOO_MANY)
		return ERROR_TOO_LARGE;
	return ERROR_MALFORMED;
}

bool
selector_match(
    const struct selector *selector, const struct label_lookup *lookup)
{
	uint16_t i;

	for (i = 0; i < selector->term_count; i++) {
		if (!match_term(selector, &selector->terms[i], lookup))
			return false;
	}
	return true;
}

const char *
selector_problem_name(enum selector_problem problem)
{
	if ((size_t)problem >= sizeof(problem_names) / sizeof(problem_names[0]))
		return "unknown";
	return problem_names[problem];
}

static bool
parse_terms(struct parser *parser)
{
	struct selector *selector = parser->selector;

	skip_spaces(parser);
	if (parser->text[parser->position] == '\0')
		return fail(parser, SELECTOR_PROBLEM_EMPTY);
	if (accept_byte(parser, '*')) {
		skip_spaces(parser);
		if (parser->text[parser->position] != '\0')
			return fail(parser, SELECTOR_PROBLEM_COMMA);
		return true;
	}
	do {
		if (selector->term_count == SELECTOR_TERMS_MAX)
			return fail(parser, SELECTOR_PROBLEM_TOO_MANY);
		if (!parse_term(parser, &selector->terms[selector->term_count]))
			return false;
		selector->term_count++;
		skip_spaces(parser);
	} while (accept_byte(parser, ','));
	if (parser->text[parser->position] != '\0')
		return fail(parser, SELECTOR_PROBLEM_COMMA);
	return true;
}

static bool
parse_term(struct parser *parser, struct selector_term *term)
{
	skip_spaces(parser);
	term->first_value = parser->selector->value_count;
	if (accept_byte(parser, '!')) {
		skip_spaces(parser);
		term->operation = SELECTOR_ABSENT;
		return parse_name(parser, &term->key);
	}
	if (!parse_name(parser, &term->key))
		return false;
	skip_spaces(parser);
	return parse_operator(parser, term);
}

static bool
parse_operator(struct parser *parser, struct selector_term *term)
{
	if (accept_byte(parser, '=')) {
		term->operation = SELECTOR_IN;
		return parse_value(parser, term);
	}
	if (accept_operator(parser, "!=")) {
		term->operation = SELECTOR_NOT_IN;
		return parse_value(parser, term);
	}
	if (accept_operator(parser, "notin")) {
		term->operation = SELECTOR_NOT_IN;
		return parse_list(parser, term);
	}
	if (accept_operator(parser, "in")) {
		term->operation = SELECTOR_IN;
		return parse_list(parser, term);
	}
	term->operation = SELECTOR_EXISTS;
	return true;
}

static bool
parse_list(struct parser *parser, struct selector_term *term)
{
	skip_spaces(parser);
	if (!accept_byte(parser, '('))
		return fail(parser, SELECTOR_PROBLEM_LIST);
	do {
		if (!parse_value(parser, term))
			return false;
		skip_spaces(parser);
	} while (accept_byte(parser, '|'));
	if (!accept_byte(parser, ')'))
		return fail(parser, SELECTOR_PROBLEM_LIST);
	return true;
}

static bool
parse_value(struct parser *parser, struct selector_term *term)
{
	struct selector *selector = parser->selector;

	skip_spaces(parser);
	if (selector->value_count == SELECTOR_VALUES_MAX)
		return fail(parser, SELECTOR_PROBLEM_TOO_MANY);
	if (!parse_name(parser, &selector->values[selector->value_count]))
		return false;
	selector->value_count++;
	term->value_count++;
	return true;
}

static bool
parse_name(struct parser *parser, uint16_t *offset)
{
	struct selector *selector = parser->selector;
	const char *start;
	uint32_t size;

	start = parser->text + parser->position;
	size = 0;
	while (is_name_byte(start[size]))
		size++;
	if (size == 0)
		return fail(parser, SELECTOR_PROBLEM_NAME);
	if (size >= NAME_SIZE_MAX)
		return fail(parser, SELECTOR_PROBLEM_TOO_LONG);
	/* A name and its terminating NUL need no more room than the name and
	 * the byte of text that follows it, so the names of any text up to
	 * SELECTOR_SIZE_MAX fit, also short terms such as "a,b". */
	if (parser->names_size + size + 1 > sizeof(selector->names))
		return fail(parser, SELECTOR_PROBLEM_TOO_LONG);
	*offset = parser->names_size;
	memcpy(selector->names + parser->names_size, start, size);
	parser->names_size += (uint16_t)(size + 1);
	parser->position += size;
	return true;
}

/* Skips an operator if the text continues with it. An operator made of letters
 * must not be the beginning of a longer name. */
static bool
accept_operator(struct parser *parser, const char *word)
{
	size_t size = strlen(word);
	const char *start = parser->text + parser->position;

	if (strncmp(start, word, size) != 0)
		return false;
	if (is_name_byte(word[0]) && is_name_byte(start[size]))
		return false;
	parser->position += (uint32_t)size;
	return true;
}

static bool
accept_byte(struct parser *parser, char byte)
{
	if (parser->text[parser->position] != byte)
		return false;
	parser->position++;
	return true;
}

static void
skip_spaces(struct parser *parser)
{
	while (parser->text[parser->position] == ' ' ||
	       parser->text[parser->position] == '\t')
		parser->position++;
}

static bool
is_name_byte(char byte)
{
	return isalnum((unsigned char)byte) ||
	       (byte != '\0' && strchr("._-/:", byte) != NULL);
}

static bool
fail(struct parser *parser, enum selector_problem problem)
{
	parser->problem = problem;
	return false;
}

static bool
match_term(const struct selector *selector, const struct selector_term *term,
    const struct label_lookup *lookup)
{
	const char *key = selector->names + term->key;

	switch (term->operation) {
	case SELECTOR_IN:
		return match_values(selector, term, lookup);
	case SELECTOR_NOT_IN:
		return !match_values(selector, term, lookup);
	case SELECTOR_EXISTS:
		return lookup->has_label(lookup->object, key, NULL);
	case SELECTOR_ABSENT:
		return !lookup->has_label(lookup->object, key, NULL);
	}
	return false;
}

static bool
match_values(const struct selector *selector, const struct selector_term *term,
    const struct label_lookup *lookup)
{
	const char *key = selector->names + term->key;
	uint16_t i, value;

	for (i = 0; i < term->value_count; i++) {
		value = selector->values[term->first_value + i];
		if (lookup->has_label(
			lookup->object, key, selector->names + value))
			return true;
	}
	return false;
}
