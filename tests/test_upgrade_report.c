/*
 * Tests of the check before an upgrade: what it concludes from the answers of
 * running hosts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "cli/upgrade_report.h"

#define HOST(id, state, build)                                                 \
	"{\"id\":" id ",\"state\":\"" state "\"" build "}"
#define NEW	    ",\"build\":\"0.1.0+bbb\",\"level\":2"
#define HOSTS(list) "{\"voters\":[1,2,3],\"hosts\":[" list "]}"
#define THREE_NEW                                                              \
	HOSTS(HOST("3", "alive", NEW) "," HOST("1", "alive", NEW) "," HOST(    \
	    "2", "alive", NEW))
#define FACTS(id, state, sequence)                                             \
	"\"host_id\":" id ",\"state\":\"" state                                \
	"\",\"leader\":1,\"term\":4,\"sequence\":" sequence
#define VIEW(id, state, sequence, more)                                        \
	"\"" id "\":{\"error\":\"none\",\"view\":{" FACTS(                     \
	    id, state, sequence) ",\"build\":\"0.1.0+bbb\",\"level\":2,"       \
				 "\"level_in_force\":2" more "}}"
#define STATUS(id, state, sequence)                                            \
	"\"" id                                                                \
	"\":{\"error\":\"none\",\"status\":{" FACTS(id, state, sequence) "}}"
#define PEERS(missing, silent)                                                 \
	",\"peers\":[{\"id\":2,\"missing_entries\":0,\"silent_ms\":90},{"      \
	"\"id\":3,\"missing_entries\":" missing ",\"silent_ms\":" silent "}]"
#define LEADER VIEW("1", "serving", "7", PEERS("0", "90"))
#define SECOND VIEW("2", "serving", "7", "")
#define THIRD  VIEW("3", "serving", "7", "")

/* Makes the report of an upgrade to build 0.1.0+bbb, which knows level 2. */
static json_t *
make_report(const char *hosts, const char *answers)
{
	struct upgrade_facts facts = {.build = "0.1.0+bbb", .level = 2};
	json_t *hosts_json, *answers_json, *report;

	hosts_json = json_loads(hosts, JSON_REJECT_DUPLICATES, NULL);
	answers_json = json_loads(answers, JSON_REJECT_DUPLICATES, NULL);
	assert_non_null(hosts_json);
	assert_non_null(answers_json);
	facts.hosts = hosts_json;
	facts.answers = answers_json;
	report = upgrade_report_make(&facts);
	json_decref(hosts_json);
	json_decref(answers_json);
	return report;
}

static void
expect_result(const char *hosts, const char *answers, enum error_code expected)
{
	json_t *report;

	report = make_report(hosts, answers);
	assert_string_equal(
	    error_name(upgrade_report_result(report)), error_name(expected));
	json_decref(report);
}

/* Returns what the report prints, to be freed with free(). */
static char *
print_report(const char *hosts, const char *answers)
{
	json_t *report;
	size_t size;
	char *text;
	FILE *out;

	report = make_report(hosts, answers);
	out = open_memstream(&text, &size);
	upgrade_report_print(report, out);
	fclose(out);
	json_decref(report);
	return text;
}

static void
expect_text(const char *hosts, const char *answers, const char *expected)
{
	char *text;

	text = print_report(hosts, answers);
	if (strstr(text, expected) == NULL)
		fail_msg("no \"%s\" in:\n%s", expected, text);
	free(text);
}

static void
test_sound_fleet_of_one_build_may_be_upgraded(void **state)
{
	const char *answers = "{" LEADER "," SECOND "," THIRD "}";

	(void)state;
	expect_result(THREE_NEW, answers, ERROR_NONE);
	expect_text(THREE_NEW, answers, "0.1.0+bbb, level 2: 3 hosts: 1 2 3\n");
	expect_text(THREE_NEW, answers,
	    "3 of 3 sound, leader 1; one of them may be lost\n");
	expect_text(THREE_NEW, answers, "the next host may be upgraded");
}

/* With three voters, one that is not sound is all that may be missing. */
static void
test_upgrade_waits_while_a_voter_is_not_sound(void **state)
{
	static const struct {
		const char *answers, *why;
	} cases[] = {
	    {"{" LEADER "," SECOND "," VIEW("3", "stopping", "7", "") "}",
		"host 3: its state is stopping"},
	    {"{" LEADER "," SECOND "," VIEW("3", "unconfirmed", "7", "") "}",
		"host 3: its state is unconfirmed"},
	    {"{" LEADER "," SECOND "," VIEW("3", "serving", "6", "") "}",
		"host 3: it is at sequence 6, another voter at 7"},
	    {"{" LEADER "," SECOND "," VIEW(
		 "3", "serving", "7", ",\"failure\":\"not_supported\"") "}",
		"host 3: its log stopped: not_supported"},
	    {"{" VIEW("1", "serving", "7", PEERS("65", "90")) "," SECOND
							      "," THIRD "}",
		"host 3: it lacks 65 entries of the log"},
	    {"{" VIEW("1", "serving", "7", PEERS("0", "1001")) "," SECOND
							       "," THIRD "}",
		"host 3: it has not answered the leader for 1001 ms"},
	    {"{" VIEW("1", "serving", "7",
		 ",\"peers\":[{\"id\":2,\"missing_entries\":0}]") "," SECOND
								  "," THIRD "}",
		"host 3: the leader does not know it as a voter"},
	    {"{" LEADER "," SECOND ",\"3\":{\"error\":\"none\",\"view\":{"
	     "\"host_id\":3,\"state\":\"serving\",\"leader\":2,\"term\":3,"
	     "\"sequence\":7}}}",
		"host 3: it follows leader 2, not 1"},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		expect_result(THREE_NEW, cases[i].answers, ERROR_NO_QUORUM);
		expect_text(THREE_NEW, cases[i].answers, cases[i].why);
		expect_text(THREE_NEW, cases[i].answers,
		    "2 of 3 sound, leader 1; one of them may not be lost\n");
		expect_text(THREE_NEW, cases[i].answers, "don't upgrade");
	}
}

/* A voter that is behind may have caught up when it is asked again; one that
 * does not answer is not waited for. */
static void
test_only_a_voter_that_answers_may_settle(void **state)
{
	static const struct {
		const char *answers;
		bool may_settle;
	} cases[] = {
	    {"{" LEADER "," SECOND "," THIRD "}", false},
	    {"{" LEADER "," SECOND "," VIEW("3", "serving", "6", "") "}", true},
	    {"{" LEADER "," SECOND ",\"3\":{\"error\":\"connection\"}}", false},
	    {"{" LEADER "," VIEW(
		 "2", "serving", "6", "") ",\"3\":{\"error\":\"connection\"}}",
		true},
	};
	json_t *report;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		report = make_report(THREE_NEW, cases[i].answers);
		assert_int_equal(
		    upgrade_report_may_settle(report), cases[i].may_settle);
		json_decref(report);
	}
}

static void
test_small_backlog_of_a_busy_log_counts_as_caught_up(void **state)
{
	(void)state;
	expect_result(THREE_NEW,
	    "{" VIEW("1", "serving", "7", PEERS("64", "1000")) "," SECOND
							       "," THIRD "}",
	    ERROR_NONE);
}

static void
test_one_of_five_voters_may_be_missing(void **state)
{
	const char *hosts = "{\"voters\":[1,2,3,4,5],\"hosts\":[" HOST(
	    "1", "alive", NEW) "," HOST("2", "alive", NEW) "," HOST("3", "dead",
	    NEW) "," HOST("4", "alive", NEW) "," HOST("5", "alive", NEW) "]}";
	const char *peers =
	    ",\"peers\":[{\"id\":2,\"silent_ms\":1},{\"id\":3,\"silent_ms\":"
	    "60000},{\"id\":4,\"silent_ms\":1},{\"id\":5,\"silent_ms\":1}]";
	char *answers;

	(void)state;
	answers = g_strdup_printf(
	    "{\"1\":{\"error\":\"none\",\"view\":{" FACTS(
		"1", "serving", "7") "%s}}," SECOND "," THIRD "," VIEW("4",
		"serving", "7", "") "," VIEW("5", "serving", "7", "") "}",
	    peers);
	expect_text(hosts, answers,
	    "4 of 5 sound, leader 1; one of them may be lost\n");
	expect_text(hosts, answers, "not alive   3\n");
	g_free(answers);
}

static void
test_host_without_answer_is_a_typed_error(void **state)
{
	const char *lost =
	    "{" LEADER "," SECOND ",\"3\":{\"error\":\"connection\"}}";
	const char *refused =
	    "{" LEADER "," SECOND ",\"3\":{\"error\":\"unauthenticated\"}}";

	(void)state;
	expect_result(THREE_NEW, lost, ERROR_CONNECTION);
	expect_text(THREE_NEW, lost, "host 3: no answer: connection\n");
	expect_text(THREE_NEW, lost,
	    "can't tell  host 3: its build, its state and its log "
	    "(connection)\n");
	expect_result(THREE_NEW, refused, ERROR_UNAUTHENTICATED);
}

/* A build before the view states nothing. It is listed, and what it can't tell
 * is said. */
static void
test_earlier_builds_are_unknown_and_listed(void **state)
{
	const char *hosts = HOSTS(HOST("1", "alive", NEW) "," HOST(
	    "2", "alive", "") "," HOST("3", "alive", "") "," HOST("4", "alive",
	    ",\"build\":\"\",\"level\":0"));
	const char *answers = "{" LEADER "," STATUS(
	    "2", "serving", "7") "," STATUS("3", "serving", "7") "}";
	json_t *report;

	(void)state;
	expect_result(hosts, answers, ERROR_NOT_SUPPORTED);
	expect_text(hosts, answers, "unknown, level unknown: 3 hosts: 2 3 4\n");
	expect_text(hosts, answers, "3 of 3 sound");
	expect_text(hosts, answers,
	    "can't tell  host 3: its build, the level in force, its disk "
	    "(not_supported)\n");
	expect_text(hosts, answers, "host 4: its build (not_supported)\n");
	expect_text(hosts, answers, "held back by hosts 2 3 4\n");
	report = make_report(hosts, answers);
	assert_true(json_is_null(
	    json_object_get(json_object_get(report, "way_back"), "open")));
	json_decref(report);
	/* A voter of an earlier build that went on past an entry. */
	expect_result(hosts,
	    "{" LEADER
	    "," STATUS("2", "serving", "7") "," STATUS("3", "serving", "6") "}",
	    ERROR_NO_QUORUM);
}

static void
test_fleet_of_earlier_builds_is_judged_by_status(void **state)
{
	const char *hosts = HOSTS(HOST("1", "alive", "") "," HOST(
	    "2", "alive", "") "," HOST("3", "alive", ""));
	const char *answers = "{" STATUS("1", "serving", "7") "," STATUS(
	    "2", "serving", "7") "," STATUS("3", "serving", "7") "}";

	(void)state;
	expect_result(hosts, answers, ERROR_NOT_SUPPORTED);
	expect_text(hosts, answers, "level       in force: unknown");
	expect_text(hosts, answers,
	    "host 1: its build, the level in force, its disk, and which "
	    "entries of the log voters lack (not_supported)\n");
	expect_text(hosts, answers, "docs/UPGRADES.md 1: ");
}

static void
test_level_and_way_back_follow_the_builds(void **state)
{
	static const struct {
		const char *old_level, *in_force;
		bool rises, open, open_after;
	} cases[] = {
	    {"1", "1", true, true, false},
	    {"1", "2", false, false, false},
	    {"2", "1", true, true, true},
	    {"2", "2", false, true, true},
	    {"3", "2", false, true, true},
	};
	const json_t *level, *way_back;
	char *hosts, *answers;
	json_t *report;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		hosts = g_strdup_printf(
		    HOSTS(HOST("1", "alive", NEW) "," HOST(
			"2", "alive", NEW) "," HOST("3", "alive",
			",\"build\":\"0.1.0+aaa\",\"level\":%s")),
		    cases[i].old_level);
		answers = g_strdup_printf(
		    "{\"1\":{\"error\":\"none\",\"view\":{\"host_id\":1,"
		    "\"state\":\"serving\",\"leader\":1,\"term\":1,\"level\":2,"
		    "\"level_in_force\":%s}}}",
		    cases[i].in_force);
		report = make_report(hosts, answers);
		level = json_object_get(report, "level");
		way_back = json_object_get(report, "way_back");
		assert_int_equal(json_is_true(json_object_get(level, "rises")),
		    cases[i].rises);
		assert_int_equal(
		    json_is_true(json_object_get(way_back, "open")),
		    cases[i].open);
		assert_int_equal(
		    json_is_true(json_object_get(way_back, "open_after")),
		    cases[i].open_after);
		json_decref(report);
		g_free(hosts);
		g_free(answers);
	}
}

/* Known faults concern builds by what they state; the page says the same. */
static void
test_known_faults_are_those_of_the_page(void **state)
{
	const struct upgrade_fault *fault;
	char *path, *page, *heading;
	uint32_t number;

	(void)state;
	path = g_build_filename(
	    getenv("CHICORY_SOURCE_DIR"), "docs", "UPGRADES.md", NULL);
	assert_true(g_file_get_contents(path, &page, NULL, NULL));
	number = 0;
	for (fault = upgrade_faults(); fault->title != NULL; fault++) {
		heading =
		    g_strdup_printf("\n%u. **%s**", ++number, fault->title);
		if (strstr(page, heading) == NULL)
			fail_msg("docs/UPGRADES.md lacks %s", heading);
		g_free(heading);
	}
	heading = g_strdup_printf("\n%u. **", number + 1);
	if (strstr(page, heading) != NULL)
		fail_msg("docs/UPGRADES.md has fault %u", number + 1);
	g_free(heading);
	g_free(page);
	g_free(path);
}

static void
test_faults_concern_builds_by_what_they_state(void **state)
{
	const char *inferred =
	    HOSTS(HOST("1", "alive", NEW) "," HOST("2", "alive", NEW) "," HOST(
		"3", "alive", ",\"build\":\"\",\"level\":2"));
	json_t *report, *faults;

	(void)state;
	report = make_report(THREE_NEW, "{" LEADER "," SECOND "," THIRD "}");
	assert_int_equal(
	    json_array_size(json_object_get(report, "known_faults")), 0);
	json_decref(report);
	report = make_report(inferred, "{" LEADER "," SECOND "}");
	faults = json_object_get(report, "known_faults");
	assert_int_equal(json_array_size(faults), 1);
	assert_int_equal(json_integer_value(json_object_get(
			     json_array_get(faults, 0), "number")),
	    2);
	json_decref(report);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_sound_fleet_of_one_build_may_be_upgraded),
	    cmocka_unit_test(test_upgrade_waits_while_a_voter_is_not_sound),
	    cmocka_unit_test(
		test_small_backlog_of_a_busy_log_counts_as_caught_up),
	    cmocka_unit_test(test_only_a_voter_that_answers_may_settle),
	    cmocka_unit_test(test_one_of_five_voters_may_be_missing),
	    cmocka_unit_test(test_host_without_answer_is_a_typed_error),
	    cmocka_unit_test(test_earlier_builds_are_unknown_and_listed),
	    cmocka_unit_test(test_fleet_of_earlier_builds_is_judged_by_status),
	    cmocka_unit_test(test_level_and_way_back_follow_the_builds),
	    cmocka_unit_test(test_known_faults_are_those_of_the_page),
	    cmocka_unit_test(test_faults_concern_builds_by_what_they_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
