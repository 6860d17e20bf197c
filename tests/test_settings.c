/*
 * Tests of the settings file's parser: errors, defaults and secrets.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "service/settings.h"

#define TEXT_SIZE 2048 /* Bytes of a settings text. */

#define KEY_TEXT                                                               \
	"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define HOST_TEXT                                                              \
	"\"host\":{\"id\":1,\"name\":\"a\",\"data_centre\":\"regina\"}"
#define LISTEN_TEXT "\"listen\":{\"http_port\":1,\"peer_port\":2}"
#define REST_TEXT                                                              \
	"\"cluster\":\"c\",\"voters\":[1],\"data_dir\":\"d\","                 \
	"\"peer_keys\":[{\"id\":1,\"key\":\"" KEY_TEXT "\"}]"

/* Settings texts and the key that the error names. The first text is valid, the
 * others leave something out, change it or add to it. */
static const struct {
	const char *text;
	enum error_code expected;
	const char *key;
} cases[] = {
    {"{" HOST_TEXT "," LISTEN_TEXT "," REST_TEXT "}", ERROR_NONE, ""},
    {"", ERROR_MALFORMED, ""},
    {"[]", ERROR_MALFORMED, ""},
    {"{" HOST_TEXT "," HOST_TEXT "," LISTEN_TEXT "," REST_TEXT "}",
	ERROR_MALFORMED, ""},
    {"{" HOST_TEXT "," LISTEN_TEXT "," REST_TEXT ",\"colour\":1}",
	ERROR_UNKNOWN_KEY, "colour"},
    {"{" HOST_TEXT "," LISTEN_TEXT "," REST_TEXT ",\"timing\":{\"lease\":1}}",
	ERROR_UNKNOWN_KEY, "timing.lease"},
    {"{" LISTEN_TEXT "," REST_TEXT "}", ERROR_MISSING_KEY, "host.id"},
    {"{" HOST_TEXT "," LISTEN_TEXT "," REST_TEXT
     ",\"timing\":{\"configuration_lease_ms\":100}}",
	ERROR_BAD_VALUE, "timing.configuration_lease_ms"},
    {"{" HOST_TEXT "," LISTEN_TEXT "," REST_TEXT
     ",\"timing\":{\"configuration_lease_ms\":\"2s\"}}",
	ERROR_WRONG_TYPE, "timing.configuration_lease_ms"},
    {"{" HOST_TEXT "," LISTEN_TEXT ",\"cluster\":\"c\",\"voters\":[1],"
     "\"peer_keys\":[{\"id\":1,\"key\":\"" KEY_TEXT "\"}]}",
	ERROR_MISSING_KEY, "data_dir"},
    {"{" HOST_TEXT "," LISTEN_TEXT ",\"cluster\":\"c\",\"voters\":[2,3],"
     "\"peer_keys\":[{\"id\":1,\"key\":\"" KEY_TEXT "\"}]}",
	ERROR_BAD_VALUE, "voters"},
    {"{" HOST_TEXT "," LISTEN_TEXT ",\"cluster\":\"c\",\"voters\":[2,2,3],"
     "\"peer_keys\":[{\"id\":1,\"key\":\"" KEY_TEXT "\"}]}",
	ERROR_BAD_VALUE, "voters"},
    {"{" HOST_TEXT "," LISTEN_TEXT ",\"cluster\":\"c\",\"voters\":[],"
     "\"peer_keys\":[{\"id\":1,\"key\":\"" KEY_TEXT "\"}]}",
	ERROR_BAD_VALUE, "voters"},
    {"{" HOST_TEXT "," LISTEN_TEXT ",\"cluster\":\"c\",\"voters\":[2],"
     "\"peer_keys\":[]}",
	ERROR_MISSING_KEY, "peer_keys"},
    {"{" HOST_TEXT "," LISTEN_TEXT ",\"cluster\":\"c\",\"voters\":[2],"
     "\"peer_keys\":[{\"id\":1,\"key\":\"00\"}]}",
	ERROR_BAD_VALUE, "peer_keys"},
    {"{" HOST_TEXT "," LISTEN_TEXT "," REST_TEXT
     ",\"seeds\":[{\"id\":1,\"address\":\"regina\",\"port\":1}]}",
	ERROR_BAD_VALUE, "seeds"},
    {"{" HOST_TEXT "," LISTEN_TEXT "," REST_TEXT
     ",\"operators\":[{\"name\":\"a\",\"token\":\"b\",\"role\":\"king\"}]}",
	ERROR_BAD_VALUE, "operators"},
    {"{" HOST_TEXT "," LISTEN_TEXT "," REST_TEXT
     ",\"unconfirmed_policy\":\"maybe\"}",
	ERROR_BAD_VALUE, "unconfirmed_policy"},
};

static void
test_invalid_settings_name_their_key(void **state)
{
	struct settings_problem problem;
	struct settings settings;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_equal(
		    settings_parse(&settings, cases[i].text, &problem),
		    cases[i].expected);
		assert_string_equal(problem.key, cases[i].key);
		assert_true(cases[i].expected == ERROR_NONE ||
			    problem.expected[0] != '\0');
	}
}

static void
test_defaults_apply_and_errors_hide_secrets(void **state)
{
	struct settings_problem problem;
	struct settings settings;

	(void)state;
	assert_int_equal(
	    settings_parse(&settings, cases[0].text, &problem), ERROR_NONE);
	assert_int_equal(settings.configuration_lease_ms, 2000);
	assert_int_equal(settings.unconfirmed_policy, UNCONFIRMED_STOP);
	assert_int_equal(settings.peer_keys[0].bytes[31], 0x1f);
	assert_string_equal(settings.http_address, "127.0.0.1");
	assert_int_equal(settings_parse(&settings,
			     "{\"cluster\":\"c\",\"peer_keys\":[{\"id\":1,"
			     "\"key\":\"s3cret\"}]}",
			     &problem),
	    ERROR_MISSING_KEY);
	assert_null(strstr(problem.value, "s3cret"));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_invalid_settings_name_their_key),
	    cmocka_unit_test(test_defaults_apply_and_errors_hide_secrets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
