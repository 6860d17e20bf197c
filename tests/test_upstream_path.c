/*
 * Tests of how a host finds out that it has lost its own path to the upstreams,
 * and of the choice of the host that requests are forwarded to.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/forward_peers.h"
#include "coordination/upstream_path.h"
#include "protocol/forward_message.h"

#define DAY_MS	  1000000
#define PERIOD_MS 500

/* One step of a scene: what is seen at a time, and the state that follows. */
enum step {
	UNREACHED,   /* The upstream with the id in "value" was not reached. */
	CONNECTED,   /* A connection was established. */
	BEGIN,	     /* A test with "value" connections begins. */
	TEST_FAILED, /* One of its connections failed. */
	TEST_MADE,   /* One of them was established. */
};

static const struct scene {
	const char *name;
	struct {
		enum step step;
		uint64_t value;
		enum upstream_path_state state;
	} steps[9];
	uint32_t count;
} scenes[] = {
    {"a cut host: no upstream of the sample is reached",
	{{UNREACHED, 1, UPSTREAM_PATH_OPEN},
	    {UNREACHED, 2, UPSTREAM_PATH_SUSPECTED},
	    {BEGIN, 3, UPSTREAM_PATH_SUSPECTED},
	    {TEST_FAILED, 0, UPSTREAM_PATH_SUSPECTED},
	    {TEST_FAILED, 0, UPSTREAM_PATH_SUSPECTED},
	    {TEST_FAILED, 0, UPSTREAM_PATH_LOST},
	    {UNREACHED, 3, UPSTREAM_PATH_LOST},
	    {CONNECTED, 0, UPSTREAM_PATH_OPEN}},
	8},
    {"one upstream that fails again and again is no lost path",
	{{UNREACHED, 1, UPSTREAM_PATH_OPEN}, {UNREACHED, 1, UPSTREAM_PATH_OPEN},
	    {UNREACHED, 1, UPSTREAM_PATH_OPEN}},
	3},
    {"upstreams that crash together: one of the sample is reached",
	{{UNREACHED, 1, UPSTREAM_PATH_OPEN},
	    {UNREACHED, 2, UPSTREAM_PATH_SUSPECTED},
	    {BEGIN, 3, UPSTREAM_PATH_SUSPECTED},
	    {TEST_FAILED, 0, UPSTREAM_PATH_SUSPECTED},
	    {TEST_MADE, 0, UPSTREAM_PATH_OPEN},
	    {TEST_FAILED, 0, UPSTREAM_PATH_OPEN}},
	6},
    {"a connection between two failures clears the first",
	{{UNREACHED, 1, UPSTREAM_PATH_OPEN}, {CONNECTED, 0, UPSTREAM_PATH_OPEN},
	    {UNREACHED, 2, UPSTREAM_PATH_OPEN}},
	3},
};

static void
run_step(
    struct upstream_path *path, enum step step, uint64_t value, int64_t now_ms)
{
	switch (step) {
	case UNREACHED:
		upstream_path_record_unreached(path, value, now_ms);
		break;
	case CONNECTED:
		(void)upstream_path_record_connected(path);
		break;
	case BEGIN:
		assert_true(upstream_path_is_test_due(path, now_ms));
		upstream_path_begin_test(path, (uint32_t)value, now_ms);
		assert_false(upstream_path_is_test_due(path, now_ms));
		break;
	case TEST_MADE:
		(void)upstream_path_record_connected(path);
		assert_false(upstream_path_end_test(path, now_ms));
		break;
	case TEST_FAILED:
		(void)upstream_path_end_test(path, now_ms);
		break;
	}
}

static void
test_path_is_lost_only_if_no_upstream_is_reached(void **state)
{
	struct upstream_path path;
	size_t i;
	uint32_t j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(scenes); i++) {
		memset(&path, 0, sizeof(path));
		for (j = 0; j < scenes[i].count; j++) {
			run_step(&path, scenes[i].steps[j].step,
			    scenes[i].steps[j].value, DAY_MS + j);
			if (path.state != scenes[i].steps[j].state)
				fail_msg("%s, step %u: state %d",
				    scenes[i].name, j, (int)path.state);
		}
	}
}

/* While upstreams fail one after the other, at most one test a period runs, as
 * each costs connections. */
static void
test_tests_of_the_path_are_spaced(void **state)
{
	struct upstream_path path = {0};
	uint32_t tests, i;

	(void)state;
	tests = 0;
	for (i = 0; i < 10 * PERIOD_MS; i++) {
		upstream_path_record_unreached(&path, i, DAY_MS + i);
		if (!upstream_path_is_test_due(&path, DAY_MS + i))
			continue;
		tests++;
		upstream_path_begin_test(&path, 1, DAY_MS + i);
		(void)upstream_path_record_connected(&path);
		(void)upstream_path_end_test(&path, DAY_MS + i);
	}
	assert_in_range(tests, 9, 11);
}

/* A lost path is tested again and again until a connection is established. */
static void
test_lost_path_is_tested_until_it_is_back(void **state)
{
	struct upstream_path path = {0};
	int64_t now_ms;

	(void)state;
	upstream_path_record_unreached(&path, 1, DAY_MS);
	upstream_path_record_unreached(&path, 2, DAY_MS);
	for (now_ms = DAY_MS; now_ms < DAY_MS + 4 * PERIOD_MS;
	     now_ms += PERIOD_MS) {
		assert_true(upstream_path_is_test_due(&path, now_ms));
		upstream_path_begin_test(&path, 1, now_ms);
		(void)upstream_path_end_test(&path, now_ms + 1);
	}
	assert_int_equal(path.state, UPSTREAM_PATH_LOST);
	assert_true(upstream_path_record_connected(&path));
	assert_false(upstream_path_is_test_due(&path, now_ms));
}

static struct work_forwarding
says(uint64_t address, bool is_without_path)
{
	return (struct work_forwarding){.address = address,
	    .token = address,
	    .is_without_path = is_without_path};
}

static uint32_t
pick(struct forward_peers *peers, const uint32_t *tried, uint32_t tried_count,
    int64_t now_ms)
{
	struct random_source random;
	const struct forward_peer *peer;

	random_init(&random, (uint64_t)now_ms);
	peer = forward_peers_pick(peers, tried, tried_count, &random, now_ms);
	return peer == NULL ? 0 : peer->host_id;
}

/* Two hosts of a data centre are cut as well: what they would do with a request
 * is known, so it goes to the fourth. */
static void
test_requests_go_to_hosts_with_a_path(void **state)
{
	struct work_forwarding cut = says(10, true), open = says(11, false);
	struct work_forwarding takes_none = says(0, false);
	const uint32_t tried[] = {4};
	struct forward_peers peers;

	(void)state;
	forward_peers_init(&peers);
	assert_int_equal(pick(&peers, NULL, 0, DAY_MS), 0);
	forward_peers_record(&peers, 2, &cut, DAY_MS);
	forward_peers_record(&peers, 3, &cut, DAY_MS);
	forward_peers_record(&peers, 5, &takes_none, DAY_MS);
	assert_int_equal(pick(&peers, NULL, 0, DAY_MS), 0);
	forward_peers_record(&peers, 4, &open, DAY_MS);
	assert_int_equal(pick(&peers, NULL, 0, DAY_MS), 4);
	assert_int_equal(pick(&peers, tried, 1, DAY_MS), 0);
	forward_peers_avoid(&peers, 4, DAY_MS);
	assert_int_equal(pick(&peers, NULL, 0, DAY_MS), 0);
	/* A new process of that host may take what the last one could not. */
	open.token++;
	forward_peers_record(&peers, 4, &open, DAY_MS);
	assert_int_equal(pick(&peers, NULL, 0, DAY_MS), 4);
	/* What is known of the cut ones is outdated by now. */
	assert_int_not_equal(pick(&peers, tried, 1, DAY_MS + 4000), 0);
	assert_int_equal(
	    pick(&peers, NULL, 0, DAY_MS + FORWARD_PEER_EXPIRY_MS), 0);
	forward_peers_finish(&peers);
}

/* The callers of a cut host are spread over the others. */
static void
test_forwarded_requests_are_spread(void **state)
{
	struct work_forwarding open = says(11, false);
	uint32_t counts[4] = {0}, host, i;
	struct forward_peers peers;

	(void)state;
	forward_peers_init(&peers);
	for (i = 1; i < G_N_ELEMENTS(counts); i++)
		forward_peers_record(&peers, i, &open, DAY_MS);
	for (i = 0; i < 90; i++) {
		host = pick(&peers, NULL, 0, DAY_MS + i);
		forward_peers_begin(&peers, host);
		counts[host]++;
	}
	for (i = 1; i < G_N_ELEMENTS(counts); i++)
		assert_int_equal(counts[i], 30);
	forward_peers_end(&peers, 2);
	assert_int_equal(pick(&peers, NULL, 0, DAY_MS), 2);
	forward_peers_finish(&peers);
}

static void
test_forward_fields_keep_their_values(void **state)
{
	struct forward_request request = {.token = UINT64_MAX,
	    .age_ms = 1234,
	    .routes_version = 77,
	    .may_go_on = true,
	    .has_partial_answer = true,
	    .tried = {1, UINT64_MAX - 1},
	    .tried_count = 2};
	struct forward_result result = {
	    .reason = ERROR_NO_PATH, .sent = 3, .upstream_id = UINT64_MAX};
	struct forward_request read_request;
	struct forward_result read_result;
	char *text;

	(void)state;
	text = forward_request_format(&request);
	assert_int_equal(
	    forward_request_parse(text, &read_request), ERROR_NONE);
	assert_true(read_request.token == request.token);
	assert_int_equal(read_request.age_ms, request.age_ms);
	assert_int_equal(read_request.routes_version, request.routes_version);
	assert_true(read_request.may_go_on);
	assert_true(read_request.has_partial_answer);
	assert_int_equal(read_request.tried_count, 2);
	assert_true(read_request.tried[1] == request.tried[1]);
	g_free(text);
	text = forward_result_format(&result);
	assert_int_equal(forward_result_parse(text, &read_result), ERROR_NONE);
	assert_int_equal(read_result.reason, ERROR_NO_PATH);
	assert_int_equal(read_result.sent, 3);
	assert_true(read_result.upstream_id == UINT64_MAX);
	g_free(text);
}

static void
test_forward_fields_that_are_not_valid_are_refused(void **state)
{
	static const char *const texts[] = {
	    "",
	    "[]",
	    "{}",
	    "{\"token\":\"1\",\"age_ms\":1,\"routes_version\":1,\"may_go_on\":"
	    "true,\"has_partial_answer\":false,\"tried\":[]}",
	    "{\"token\":\"00000000000000aG\",\"age_ms\":1,\"routes_version\":1,"
	    "\"may_go_on\":true,\"has_partial_answer\":false,\"tried\":[]}",
	    "{\"token\":\"00000000000000aa\",\"age_ms\":-1,\"routes_version\":"
	    "1,\"may_go_on\":true,\"has_partial_answer\":false,\"tried\":[]}",
	    "{\"token\":\"00000000000000aa\",\"age_ms\":1,\"routes_version\":1,"
	    "\"may_go_on\":true,\"has_partial_answer\":false,\"tried\":[7]}",
	    "{\"token\":\"00000000000000aa\",\"age_ms\":1,\"routes_version\":1,"
	    "\"may_go_on\":true,\"has_partial_answer\":false,\"tried\":{}}",
	    "{\"reason\":\"none\",\"sent\":-1,\"upstream\":"
	    "\"00000000000000aa\"}",
	    "{\"reason\":\"none\",\"sent\":1,\"upstream\":1}",
	};
	struct forward_request request;
	struct forward_result result;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_int_equal(
		    forward_request_parse(texts[i], &request), ERROR_MALFORMED);
		assert_int_equal(
		    forward_result_parse(texts[i], &result), ERROR_MALFORMED);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_path_is_lost_only_if_no_upstream_is_reached),
	    cmocka_unit_test(test_tests_of_the_path_are_spaced),
	    cmocka_unit_test(test_lost_path_is_tested_until_it_is_back),
	    cmocka_unit_test(test_requests_go_to_hosts_with_a_path),
	    cmocka_unit_test(test_forwarded_requests_are_spread),
	    cmocka_unit_test(test_forward_fields_keep_their_values),
	    cmocka_unit_test(
		test_forward_fields_that_are_not_valid_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
