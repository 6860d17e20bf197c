/*
 * Tests of the messages that upstreams send: announcements, renewals, leaves
 * and cache events.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <stdio.h>

#include "protocol/announcement.h"

#define VALID_ANNOUNCEMENT                                                     \
	"{\"name\":\"e1\",\"incarnation\":5,\"sequence\":2,"                   \
	"\"url\":\"http://127.0.0.1:9\",\"data_centre\":\"regina\","           \
	"\"kind\":\"model\",\"honours_fencing\":true,"                         \
	"\"models\":[\"m1\",\"m2\"],\"labels\":{\"zone\":\"prairie\"},"        \
	"\"limits\":{\"cold_requests\":1,\"warm_requests\":8,"                 \
	"\"cold_prefill_tokens\":10,\"warm_prefill_tokens\":20,"               \
	"\"kv_tokens\":30,\"prefill_tokens_per_s\":40,"                        \
	"\"decode_us_per_token\":50}}"

/* Parses the valid announcement with the first occurrence of old_text replaced
 * by new_text. */
static enum error_code
parse_with_replacement(const char *old_text, const char *new_text,
    struct upstream_record *record, struct field_error *error)
{
	char text[8192];
	const char *match;

	match = strstr(VALID_ANNOUNCEMENT, old_text);
	assert_non_null(match);
	snprintf(text, sizeof(text), "%.*s%s%s",
	    (int)(match - VALID_ANNOUNCEMENT), VALID_ANNOUNCEMENT, new_text,
	    match + strlen(old_text));
	return announcement_parse(text, strlen(text), record, error);
}

static void
test_announcement_is_unchanged_by_write_and_parse(void **state)
{
	struct upstream_record record;
	struct upstream_record again;
	struct field_error error;
	json_t *body;
	char *text;

	(void)state;
	assert_int_equal(announcement_parse(VALID_ANNOUNCEMENT,
			     strlen(VALID_ANNOUNCEMENT), &record, &error),
	    ERROR_NONE);
	assert_int_equal(record.id, upstream_id("e1"));
	assert_int_equal(record.state, UPSTREAM_STATE_ACTIVE);
	assert_int_equal(record.model_count, 2);
	assert_true(record.honours_fencing);
	assert_string_equal(upstream_label(&record, "zone"), "prairie");
	assert_int_equal(record.limits.decode_us_per_token, 50);
	body = announcement_write(&record);
	text = json_dumps(body, 0);
	assert_int_equal(
	    announcement_parse(text, strlen(text), &again, &error), ERROR_NONE);
	assert_memory_equal(&record, &again, sizeof(record));
	free(text);
	json_decref(body);
}

static void
test_invalid_announcement_names_its_field(void **state)
{
	static const struct {
		const char *old_text;
		const char *new_text;
		enum error_code code;
		const char *field; /* Field that the error names. */
	} cases[] = {
	    {"{\"name\"", "[\"name\"", ERROR_MALFORMED, "body"},
	    {"\"name\":\"e1\"", "\"name\":\"e1\",\"name\":\"e2\"",
		ERROR_MALFORMED, "body"},
	    {"\"name\":\"e1\",", "", ERROR_MISSING_FIELD, "name"},
	    {"\"e1\"", "7", ERROR_WRONG_TYPE, "name"},
	    {"\"e1\"", "\"\"", ERROR_BAD_VALUE, "name"},
	    {"\"e1\"", "\"a\\nb\"", ERROR_BAD_VALUE, "name"},
	    {"\"e1\"",
		"\"0123456789012345678901234567890123456789"
		"012345678901234567890123\"",
		ERROR_BAD_VALUE, "name"},
	    {":5", ":0", ERROR_BAD_VALUE, "incarnation"},
	    {":5", ":-1", ERROR_BAD_VALUE, "incarnation"},
	    {":5", ":5.5", ERROR_WRONG_TYPE, "incarnation"},
	    {":5", ":99999999999999999999", ERROR_MALFORMED, "body"},
	    {"http://127.0.0.1:9", "ftp://x", ERROR_BAD_VALUE, "url"},
	    {"http://127.0.0.1:9", "http://x/", ERROR_BAD_VALUE, "url"},
	    {"http://127.0.0.1:9", "http://x?a", ERROR_BAD_VALUE, "url"},
	    {"\"model\"", "\"mole\"", ERROR_BAD_VALUE, "kind"},
	    {"[\"m1\",\"m2\"]", "[]", ERROR_BAD_VALUE, "models"},
	    {"[\"m1\",\"m2\"]", "[7]", ERROR_BAD_VALUE, "models"},
	    {"[\"m1\",\"m2\"]",
		"[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\",\"9\"]",
		ERROR_BAD_VALUE, "models"},
	    {"\"prairie\"", "7", ERROR_BAD_VALUE, "labels.zone"},
	    {"\"zone\"", "\"a/b\"", ERROR_BAD_VALUE, "labels.a/b"},
	    {"\"warm_requests\":8", "\"warm_requests\":0", ERROR_BAD_VALUE,
		"warm_requests"},
	    {"\"cold_requests\":1", "\"cold_requests\":9", ERROR_BAD_VALUE,
		"limits"},
	    {"\"kv_tokens\":30", "\"kv_tokens\":0", ERROR_BAD_VALUE,
		"kv_tokens"},
	    {"\"kv_tokens\":30", "\"x\":30", ERROR_MISSING_FIELD, "kv_tokens"},
	};
	struct upstream_record record;
	struct field_error error;
	char text[4 * FIELD_TEXT_SIZE];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_equal(parse_with_replacement(cases[i].old_text,
				     cases[i].new_text, &record, &error),
		    cases[i].code);
		assert_string_equal(error.field, cases[i].field);
		assert_true(error.expected[0] != '\0');
		field_error_format(&error, text, sizeof(text));
		assert_non_null(strstr(text, cases[i].field));
	}
	assert_int_equal(announcement_parse(VALID_ANNOUNCEMENT,
			     ANNOUNCEMENT_SIZE_MAX + 1, &record, &error),
	    ERROR_TOO_LARGE);
}

static void
test_plain_service_is_parsed(void **state)
{
	struct upstream_record record;
	struct field_error error;

	(void)state;
	assert_int_equal(
	    parse_with_replacement("\"model\"", "\"service\"", &record, &error),
	    ERROR_NONE);
	assert_int_equal(record.kind, UPSTREAM_KIND_SERVICE);
}

static void
test_renewals_and_leaves_are_unchanged_by_write_and_parse(void **state)
{
	struct upstream_renewal renewal;
	struct upstream_renewal again;
	struct upstream_leave leave;
	struct upstream_leave left;
	struct field_error error;
	json_t *body;
	char *text;

	(void)state;
	memset(&renewal, 0, sizeof(renewal));
	strcpy(renewal.name, "e1");
	renewal.incarnation = 3;
	renewal.has_load = true;
	renewal.load.id = upstream_id("e1");
	renewal.load.incarnation = 3;
	renewal.load.sequence = 4;
	renewal.load.age_ms = 250;
	renewal.load.running_requests = 5;
	renewal.load.queued_requests = 6;
	renewal.load.queued_prefill_tokens = 7;
	renewal.load.kv_tokens_used = 8;
	body = renewal_write(&renewal);
	text = json_dumps(body, 0);
	assert_int_equal(
	    renewal_parse(text, strlen(text), &again, &error), ERROR_NONE);
	assert_memory_equal(&renewal, &again, sizeof(renewal));
	free(text);
	json_decref(body);
	memset(&leave, 0, sizeof(leave));
	strcpy(leave.name, "e1");
	leave.incarnation = 3;
	leave.sequence = 9;
	leave.gone = true;
	body = leave_write(&leave);
	text = json_dumps(body, 0);
	assert_int_equal(
	    leave_parse(text, strlen(text), &left, &error), ERROR_NONE);
	assert_memory_equal(&leave, &left, sizeof(leave));
	free(text);
	json_decref(body);
	text = "{\"name\":\"e\",\"incarnation\":1,\"load\":{\"sequence\":1,"
	       "\"age_ms\":-1}}";
	assert_int_equal(
	    renewal_parse(text, strlen(text), &again, &error), ERROR_BAD_VALUE);
	assert_string_equal(error.field, "age_ms");
	text = "{\"name\":\"e\",\"incarnation\":1,\"load\":[]}";
	assert_int_equal(renewal_parse(text, strlen(text), &again, &error),
	    ERROR_WRONG_TYPE);
}

static void
test_cache_event_count_is_limited(void **state)
{
	struct cache_event_batch *batch;
	struct cache_event_batch *again;
	struct field_error error;
	json_t *body;
	char *text;
	uint32_t i;

	(void)state;
	batch = calloc(1, sizeof(*batch));
	again = calloc(1, sizeof(*again));
	batch->incarnation = 2;
	batch->id = upstream_id("e1");
	batch->count = CACHE_EVENTS_MAX;
	for (i = 0; i < CACHE_EVENTS_MAX; i++) {
		batch->items[i].number = i + 1;
		batch->items[i].kind = CACHE_EVENT_STORED + (int)(i % 2);
		batch->items[i].prefix_hash = ~(uint64_t)i;
		batch->items[i].tokens = i;
	}
	body = cache_events_write("e1", batch);
	text = json_dumps(body, 0);
	assert_int_equal(
	    cache_events_parse(text, strlen(text), again, &error), ERROR_NONE);
	assert_memory_equal(batch, again, sizeof(*batch));
	free(text);
	json_array_append(json_object_get(body, "events"),
	    json_array_get(json_object_get(body, "events"), 0));
	text = json_dumps(body, 0);
	assert_int_equal(cache_events_parse(text, strlen(text), again, &error),
	    ERROR_TOO_LARGE);
	free(text);
	json_decref(body);
	text = "{\"name\":\"e\",\"incarnation\":1,\"events\":[{\"number\":1,"
	       "\"kind\":\"stored\",\"prefix_hash\":\"12\",\"tokens\":1}]}";
	assert_int_equal(cache_events_parse(text, strlen(text), again, &error),
	    ERROR_BAD_VALUE);
	assert_string_equal(error.field, "prefix_hash");
	free(batch);
	free(again);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_announcement_is_unchanged_by_write_and_parse),
	    cmocka_unit_test(test_invalid_announcement_names_its_field),
	    cmocka_unit_test(test_plain_service_is_parsed),
	    cmocka_unit_test(
		test_renewals_and_leaves_are_unchanged_by_write_and_parse),
	    cmocka_unit_test(test_cache_event_count_is_limited),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
