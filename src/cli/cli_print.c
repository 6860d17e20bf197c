#include "cli/cli_print.h"

#include <stdio.h>

#define UNKNOWN		 "unknown" /* Of hosts that state nothing. */
#define NUMBER_TEXT_SIZE 32

static void print_bands(const json_t *bands);
static const char *build_of(const json_t *object);
static const char *level_of(const json_t *object, char *text);

void
cli_print_status(const json_t *reply)
{
	const json_t *voters, *upstreams, *item;
	char text[NUMBER_TEXT_SIZE];
	const char *key;
	size_t i;

	printf("host        %s (%" JSON_INTEGER_FORMAT ") in %s: %s\n",
	    cli_text_of(reply, "host_name"), cli_number_of(reply, "host_id"),
	    cli_text_of(reply, "data_centre"), cli_text_of(reply, "state"));
	printf("build       %s, level %s\n", build_of(reply),
	    level_of(reply, text));
	printf("leader      %" JSON_INTEGER_FORMAT
	       " in term %" JSON_INTEGER_FORMAT ", voters",
	    cli_number_of(reply, "leader"), cli_number_of(reply, "term"));
	voters = json_object_get(reply, "voters");
	json_array_foreach(voters, i, item)
	    printf(" %" JSON_INTEGER_FORMAT, json_integer_value(item));
	printf("\nrevision    %" JSON_INTEGER_FORMAT
	       " here; sequence %" JSON_INTEGER_FORMAT
	       " here, %" JSON_INTEGER_FORMAT " in force everywhere\n",
	    cli_number_of(reply, "revision"), cli_number_of(reply, "sequence"),
	    cli_number_of(reply, "sequence_in_force"));
	printf("lease       %" JSON_INTEGER_FORMAT " ms left\n",
	    cli_number_of(reply, "lease_remaining_ms"));
	printf("takeouts   ");
	json_array_foreach(json_object_get(reply, "takeouts"), i, item)
	    printf(" %s(%s)", cli_text_of(item, "name"),
		cli_text_of(item, "selector"));
	printf("\nupstreams  ");
	upstreams = json_object_get(reply, "upstreams");
	json_object_foreach((json_t *)upstreams, key, item)
	    printf(" %s=%" JSON_INTEGER_FORMAT, key, json_integer_value(item));
	printf("\nrequests    %" JSON_INTEGER_FORMAT
	       " running, %" JSON_INTEGER_FORMAT " waiting\n",
	    cli_number_of(reply, "requests_running"),
	    cli_number_of(reply, "requests_waiting"));
	print_bands(json_object_get(reply, "first_token_ms"));
	printf("quarantine  %" JSON_INTEGER_FORMAT " requests\n",
	    cli_number_of(reply, "quarantined"));
}

void
cli_print_upstreams(const json_t *reply)
{
	const json_t *item;
	size_t i;

	printf("%-20s %-12s %-9s %-9s %-8s %s\n", "NAME", "DATA CENTRE",
	    "STATE", "WARMTH", "GRANTED", "URL");
	json_array_foreach(json_object_get(reply, "upstreams"), i, item)
	    printf("%-20s %-12s %-9s %-9s %-8" JSON_INTEGER_FORMAT " %s\n",
		cli_text_of(item, "name"), cli_text_of(item, "data_centre"),
		cli_text_of(item, "state"), cli_text_of(item, "warmth"),
		cli_number_of(item, "granted"), cli_text_of(item, "url"));
}

void
cli_print_config(const json_t *reply)
{
	const json_t *item;
	size_t i;

	printf("revision %" JSON_INTEGER_FORMAT "\n",
	    cli_number_of(reply, "revision"));
	json_array_foreach(json_object_get(reply, "entries"), i, item)
	    printf("%s = %s (revision %" JSON_INTEGER_FORMAT ")\n",
		cli_text_of(item, "key"), cli_text_of(item, "value"),
		cli_number_of(item, "revision"));
}

void
cli_print_hosts(const json_t *reply)
{
	char text[NUMBER_TEXT_SIZE];
	const json_t *item;
	size_t i;

	printf("%-6s %-12s %-9s %-7s %-28s %-5s %s\n", "ID", "DATA CENTRE",
	    "STATE", "VOTER", "ADDRESS", "LEVEL", "BUILD");
	json_array_foreach(json_object_get(reply, "hosts"), i, item) printf(
	    "%-6" JSON_INTEGER_FORMAT " %-12s %-9s %-7s %-28s %-5s %s\n",
	    cli_number_of(item, "id"), cli_text_of(item, "data_centre"),
	    cli_text_of(item, "state"),
	    json_is_true(json_object_get(item, "voter")) ? "yes" : "no",
	    cli_text_of(item, "address"), level_of(item, text), build_of(item));
}

void
cli_print_quarantine(const json_t *reply)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(reply, "quarantined"), i,
	    item) printf("%s %s after %" JSON_INTEGER_FORMAT
			 " crashes, until %" JSON_INTEGER_FORMAT "\n",
	    cli_text_of(item, "fingerprint"), cli_text_of(item, "state"),
	    cli_number_of(item, "crashes"), cli_number_of(item, "until_ms"));
}

void
cli_print_orders(const json_t *reply)
{
	const json_t *item;
	size_t i;

	json_array_foreach(json_object_get(reply, "orders"), i, item)
	    printf("%" JSON_INTEGER_FORMAT " %s %s %s: %s\n",
		cli_number_of(item, "fencing"), cli_text_of(item, "upstream"),
		cli_text_of(item, "kind"), cli_text_of(item, "argument"),
		cli_text_of(item, "state"));
}

void
cli_print_json(const json_t *reply)
{
	json_dumpf(reply, stdout, JSON_COMPACT);
	fputc('\n', stdout);
}

const char *
cli_text_of(const json_t *object, const char *key)
{
	const char *text;

	text = json_string_value(json_object_get(object, key));
	return text == NULL ? "-" : text;
}

json_int_t
cli_number_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static void
print_bands(const json_t *bands)
{
	const json_t *band;
	size_t i;

	json_array_foreach(bands, i, band)
	    printf("first token %-6s %8" JSON_INTEGER_FORMAT
		   " requests, mean %" JSON_INTEGER_FORMAT " ms\n",
		cli_text_of(band, "band"), cli_number_of(band, "count"),
		cli_number_of(band, "mean_ms"));
}

static const char *
build_of(const json_t *object)
{
	const char *build;

	build = json_string_value(json_object_get(object, "build"));
	return build == NULL || build[0] == '\0' ? UNKNOWN : build;
}

/* Returns the highest level that a host states, for which @p text has room. */
static const char *
level_of(const json_t *object, char *text)
{
	if (cli_number_of(object, "level") == 0)
		return "-";
	snprintf(text, NUMBER_TEXT_SIZE, "%" JSON_INTEGER_FORMAT,
	    cli_number_of(object, "level"));
	return text;
}
