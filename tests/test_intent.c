/*
 * Tests of the compiled configuration: takeouts, policies, accounts and the
 * check of single entries.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fake_config_source.h"
#include "state/intent.h"

static const struct upstream_record regina = {.name = "r1",
    .data_centre = "regina",
    .kind = UPSTREAM_KIND_MODEL,
    .model_count = 2,
    .models = {"small", "large"},
    .label_count = 2,
    .labels = {{"zone", "rift"}, {"tier", "gold"}}};

struct upstream_case {
	const char *description;
	struct config_entry entries[3];
	bool is_taken_out;     /* The upstream regina is out of service. */
	bool may_use;	       /* The policies let account spa use it. */
	unsigned int problems; /* Number of invalid entries. */
};

static const struct upstream_case upstream_cases[] = {
    {"no takeout or policy", {{"setting/x", "1", 1}}, false, true, 0},
    {"takeout by the upstream's own label", {{"takeout/t", "tier=gold", 1}},
	true, true, 0},
    {"takeout by the second model", {{"takeout/t", "model=large", 1}}, true,
	true, 0},
    {"takeout of upstreams without that model",
	{{"takeout/t", "model!=large", 1}}, false, true, 0},
    {"data centre's label overrides the upstream's own",
	{{"data_centre/regina/label/zone", "prairie", 1},
	    {"takeout/t", "zone=prairie", 2}},
	true, true, 0},
    {"configured upstream label overrides the data centre's",
	{{"data_centre/regina/label/zone", "prairie", 1},
	    {"takeout/t", "zone=prairie", 2},
	    {"upstream/r1/label/zone", "other", 3}},
	false, true, 0},
    {"a label can't override the data centre",
	{{"takeout/t", "data_centre=regina", 2},
	    {"upstream/r1/label/data_centre", "other", 3}},
	true, true, 0},
    {"an invalid takeout takes all out", {{"takeout/t", "zone in rift", 1}},
	true, true, 1},
    {"policy admits the upstream", {{"policy/p", "name=spa -> tier=gold", 1}},
	false, true, 0},
    {"policy doesn't admit the upstream",
	{{"policy/p", "name=spa -> tier!=gold", 1}}, false, false, 0},
    {"policy of another account", {{"policy/p", "name=kilima -> !tier", 1}},
	false, true, 0},
    {"all matching policies must admit the upstream",
	{{"policy/p", "name=spa -> tier=gold", 1},
	    {"policy/q", "size=big -> zone=prairie", 1}},
	false, false, 0},
    {"invalid upstream selector", {{"policy/p", "name=spa -> tier=", 1}}, false,
	false, 1},
    {"invalid account selector", {{"policy/p", "=x -> tier=gold", 1}}, false,
	true, 1},
    {"invalid account selector applies to all accounts",
	{{"policy/p", "=x -> !tier", 1}}, false, false, 1},
    {"policy without an arrow", {{"policy/p", "name=kilima", 1}}, false, false,
	1},
};

static void
test_takeouts_and_policies_per_upstream(void **state)
{
	const struct upstream_case *item;
	struct config_entry entries[5] = {
	    {"client_account/spa/label/size", "big", 1}};
	struct fake_config_source table = {entries, 0};
	struct config_source source = fake_config_source(&table);
	struct intent intent;
	const struct intent_account *account;
	uint64_t words[INTENT_POLICIES_MAX / 64];
	size_t i, j;

	(void)state;
	for (i = 0; i < sizeof(upstream_cases) / sizeof(upstream_cases[0]);
	     i++) {
		item = &upstream_cases[i];
		table.count = 1;
		for (j = 0; j < 3 && item->entries[j].key != NULL; j++)
			entries[table.count++] = item->entries[j];
		assert_int_equal(intent_compile(&intent, &source), ERROR_NONE);
		account = intent_account_by_name(&intent, "spa");
		assert_non_null(account);
		if (intent_is_taken_out(&intent, &regina, NULL) !=
			item->is_taken_out ||
		    intent_may_use(&intent, account, &regina) !=
			item->may_use ||
		    intent.problems->len != item->problems)
			fail_msg("%s", item->description);
		intent_collect_policies(&intent, &regina, words);
		assert_int_equal(intent_policies_admit(&intent, account, words),
		    item->may_use);
		intent_finish(&intent);
	}
}

/* Guards against callers that are admitted while there is no account, as after the
 * last one was removed. */
static void
test_no_accounts_admit_no_token(void **state)
{
	struct fake_config_source table = {0};
	struct config_source source = fake_config_source(&table);
	struct intent intent;

	(void)state;
	assert_int_equal(intent_compile(&intent, &source), ERROR_NONE);
	assert_null(intent_account_by_token(&intent, "secret"));
	assert_null(intent_account_by_token(&intent, ""));
	intent_finish(&intent);
}

static void
test_accounts_are_found_by_token(void **state)
{
	char spa[TOKEN_HASH_SIZE], shared[TOKEN_HASH_SIZE];
	struct config_entry entries[] = {
	    {"client_account/a/token", shared, 1},
	    {"client_account/b/token", shared, 2},
	    {"client_account/c/token", shared, 3},
	    {"client_account/spa/requests_max", "12", 4},
	    {"client_account/spa/token", spa, 5},
	    {"client_account/spa/weight", "7", 6},
	    {"client_account/w/requests_max", "many", 7},
	    {"client_account/w/weight", "0", 8},
	};
	struct fake_config_source table = {
	    entries, sizeof(entries) / sizeof(entries[0])};
	struct config_source source = fake_config_source(&table);
	struct intent intent;
	const struct intent_account *account;

	(void)state;
	intent_hash_token("secret", spa);
	intent_hash_token("shared", shared);
	assert_int_equal(intent_compile(&intent, &source), ERROR_NONE);
	account = intent_account_by_token(&intent, "secret");
	assert_non_null(account);
	assert_string_equal(account->name, "spa");
	assert_int_equal(account->weight, 7);
	assert_int_equal(account->requests_max, 12);
	assert_ptr_equal(account, intent_account_at(&intent, account->index));
	assert_null(intent_account_by_token(&intent, "other"));
	assert_null(intent_account_by_token(&intent, spa));
	assert_null(intent_account_by_token(&intent, "shared"));
	account = intent_account_by_name(&intent, "w");
	assert_int_equal(account->weight, INTENT_WEIGHT_DEFAULT);
	assert_int_equal(account->requests_max, 1);
	assert_int_equal(intent.problems->len, 4);
	assert_int_equal(intent.revision, 8);
	intent_finish(&intent);
}

struct check_case {
	const char *key;
	const char *value;
	enum error_code error;
	uint32_t position; /* Offset of the fault in the value. */
};

static const struct check_case check_cases[] = {
    {"takeout/x", "zone=a", ERROR_NONE, 0},
    {"takeout/x", "zone=", ERROR_MALFORMED, 5},
    {"takeout/x/y", "zone=a", ERROR_UNKNOWN_KEY, 0},
    {"takeout/", "zone=a", ERROR_UNKNOWN_KEY, 0},
    {"policy/x", "a=b -> c", ERROR_NONE, 0},
    {"policy/x", "a=b -> c=", ERROR_MALFORMED, 9},
    {"policy/x", "a=b", ERROR_MALFORMED, 3},
    {"upstream/u/label/zone", "a", ERROR_NONE, 0},
    {"upstream/u/label/zone", "", ERROR_BAD_VALUE, 0},
    {"upstream/u/label/data_centre", "a", ERROR_UNKNOWN_KEY, 0},
    {"upstream/u/weight", "1", ERROR_UNKNOWN_KEY, 0},
    {"client_account/u/weight", "1000", ERROR_NONE, 0},
    {"client_account/u/weight", "1001", ERROR_BAD_VALUE, 0},
    {"client_account/u/token", "plain", ERROR_BAD_VALUE, 0},
    {"client_account/u/colour", "1", ERROR_UNKNOWN_KEY, 0},
    {"hosts/live", "1", ERROR_UNKNOWN_KEY, 0},
};

static void
test_check_entry_gives_error_and_position(void **state)
{
	struct selector_fault fault;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(check_cases) / sizeof(check_cases[0]); i++) {
		if (intent_check_entry(check_cases[i].key, check_cases[i].value,
			&fault) != check_cases[i].error ||
		    fault.position != check_cases[i].position)
			fail_msg("%s = %s", check_cases[i].key,
			    check_cases[i].value);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_takeouts_and_policies_per_upstream),
	    cmocka_unit_test(test_no_accounts_admit_no_token),
	    cmocka_unit_test(test_accounts_are_found_by_token),
	    cmocka_unit_test(test_check_entry_gives_error_and_position),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
