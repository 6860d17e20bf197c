#include "protocol/traceparent.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#define TRACEPARENT_LENGTH 55 /* Characters of a header of version 00. */
#define FLAG_SAMPLED	   1  /* Bit "sampled" in the header's flags. */

static bool parse_hex(const char *text, size_t bytes, uint8_t *out);
static int hex_digit(char digit);
static bool is_zero(const uint8_t *bytes, size_t size);
static void generate_id(uint8_t *bytes, size_t size);

enum error_code
traceparent_parse(const char *header, struct trace_context *context)
{
	uint8_t version;
	uint8_t flags;
	size_t length;

	length = strlen(header);
	if (length < TRACEPARENT_LENGTH || header[2] != '-' ||
	    header[35] != '-' || header[52] != '-')
		return ERROR_MALFORMED;
	if (!parse_hex(header, 1, &version) || version == 0xff)
		return ERROR_MALFORMED;
	/* Version 00 has exactly this length. Later versions may only append
	 * fields, after another '-'. */
	if (version == 0 && length != TRACEPARENT_LENGTH)
		return ERROR_MALFORMED;
	if (version != 0 && length > TRACEPARENT_LENGTH &&
	    header[TRACEPARENT_LENGTH] != '-')
		return ERROR_UNSUPPORTED_VERSION;
	if (!parse_hex(header + 3, TRACE_ID_SIZE, context->trace_id) ||
	    !parse_hex(header + 36, SPAN_ID_SIZE, context->span_id) ||
	    !parse_hex(header + 53, 1, &flags))
		return ERROR_MALFORMED;
	if (is_zero(context->trace_id, TRACE_ID_SIZE) ||
	    is_zero(context->span_id, SPAN_ID_SIZE))
		return ERROR_MALFORMED;
	context->sampled = (flags & FLAG_SAMPLED) != 0;
	return ERROR_NONE;
}

void
traceparent_format(
    const struct trace_context *context, char header[TRACEPARENT_SIZE])
{
	char *out;
	int i;

	out = header;
	out += sprintf(out, "00-");
	for (i = 0; i < TRACE_ID_SIZE; i++)
		out += sprintf(out, "%02x", context->trace_id[i]);
	*out++ = '-';
	for (i = 0; i < SPAN_ID_SIZE; i++)
		out += sprintf(out, "%02x", context->span_id[i]);
	sprintf(out, "-%02x", context->sampled ? FLAG_SAMPLED : 0);
}

void
trace_context_start(struct trace_context *context)
{
	generate_id(context->trace_id, TRACE_ID_SIZE);
	generate_id(context->span_id, SPAN_ID_SIZE);
	context->sampled = true;
}

void
trace_context_child(
    const struct trace_context *parent, struct trace_context *child)
{
	memcpy(child->trace_id, parent->trace_id, TRACE_ID_SIZE);
	child->sampled = parent->sampled;
	generate_id(child->span_id, SPAN_ID_SIZE);
}

static bool
parse_hex(const char *text, size_t bytes, uint8_t *out)
{
	size_t i;
	int high;
	int low;

	for (i = 0; i < bytes; i++) {
		high = hex_digit(text[2 * i]);
		low = hex_digit(text[2 * i + 1]);
		if (high < 0 || low < 0)
			return false;
		out[i] = (uint8_t)(high * 16 + low);
	}
	return true;
}

/* Returns the value of a hexadecimal digit, or -1 if it is none. The standard
 * allows only lower-case letters. */
static int
hex_digit(char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'f')
		return digit - 'a' + 10;
	return -1;
}

static bool
is_zero(const uint8_t *bytes, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++) {
		if (bytes[i] != 0)
			return false;
	}
	return true;
}

/* Generates a random id that is not all zeros, which would be invalid. */
static void
generate_id(uint8_t *bytes, size_t size)
{
	do {
		if (getrandom(bytes, size, 0) != (ssize_t)size)
			memset(bytes, 1, size);
	} while (is_zero(bytes, size));
}
