/*
 * Tests of configuration documents with a field that is absent, empty, null or of
 * another type: as an operator sends it, and as a host reads it that an earlier
 * build has acknowledged.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

#include "platform_routes.h"
#include "relay_answers.h"
#include "relay_fixture.h"

/* A sound document with every field that a route table is made of. */
#define SOUND_DOCUMENT                                                         \
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","           \
	"\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\","                  \
	"\"timeoutMs\":1000,\"sloMs\":300,\"maxAttempts\":2,"                  \
	"\"public\":false,\"resumable\":true,\"targetGapMs\":250,"             \
	"\"backends\":[{\"service\":\"s\",\"weight\":1}]}],"                   \
	"\"services\":[{\"name\":\"s\",\"coldStartS\":3.0,\"coldPerS\":36,"    \
	"\"engine\":{\"slots\":16,\"kvCapacityTokens\":405000,"                \
	"\"kvTokenBytes\":163840,\"stride\":34,\"chunk\":2048,"                \
	"\"step_ms\":1.31,\"per_seq_ms\":0.001,\"context_per_k\":0.002,"       \
	"\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"hopMs\":0.1,"         \
	"\"delays\":[{\"delay_ms\":0.5}]}}],"                                  \
	"\"limits\":{\"maxHeaderBytes\":2000,\"maxBodyBytes\":1000,"           \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":9000},"                    \
	"\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"]}]}"

/* How a field is changed. */
enum oddity {
	ODD_ABSENT,
	ODD_NULL,
	ODD_EMPTY,
	ODD_TEXT,
	ODD_NUMBER,
	ODD_NEGATIVE,
	ODD_LIST,
	ODD_OBJECT,
	ODD_CONTROL, /* A text with a line break. */
	ODDITY_COUNT,
};

/* Masks of oddities that a field of each type bears. */
#define BIT(oddity) (1u << (oddity))
#define NOTHING	    0u
#define OPTIONAL    (BIT(ODD_ABSENT) | BIT(ODD_NULL))
#define A_NUMBER    (OPTIONAL | BIT(ODD_NUMBER))
#define A_NAME	    BIT(ODD_TEXT)

/* The fields, by their path through objects and first elements of lists, and the
 * oddities with which a document is accepted. */
static const struct {
	const char *path;
	uint32_t accepted;
} fields[] = {
    {"version", BIT(ODD_NUMBER)},
    {"routes", BIT(ODD_LIST)},
    {"services", NOTHING}, /* The route names one. */
    {"limits", OPTIONAL | BIT(ODD_OBJECT)},
    {"tenants", BIT(ODD_ABSENT) | BIT(ODD_LIST)},
    {"routes.0", BIT(ODD_ABSENT)},
    {"routes.0.name", A_NAME},
    {"routes.0.host", A_NAME},
    {"routes.0.pathPrefix", NOTHING}, /* Begins with a slash. */
    {"routes.0.kind", NOTHING},
    {"routes.0.timeoutMs", BIT(ODD_NUMBER)},
    {"routes.0.sloMs", A_NUMBER},
    {"routes.0.maxAttempts", A_NUMBER},
    {"routes.0.targetGapMs", A_NUMBER},
    {"routes.0.public", OPTIONAL},
    {"routes.0.resumable", OPTIONAL},
    {"routes.0.backends", NOTHING},
    {"routes.0.backends.0", NOTHING},
    {"routes.0.backends.0.service", NOTHING},
    {"routes.0.backends.0.weight", A_NUMBER},
    {"services.0", NOTHING},
    {"services.0.name", NOTHING}, /* The route names another one then. */
    {"services.0.coldStartS", A_NUMBER},
    {"services.0.coldPerS", A_NUMBER},
    {"services.0.engine", OPTIONAL | BIT(ODD_OBJECT)},
    {"services.0.engine.slots", A_NUMBER},
    {"services.0.engine.kvCapacityTokens", A_NUMBER},
    {"services.0.engine.kvTokenBytes", A_NUMBER},
    {"services.0.engine.stride", A_NUMBER},
    {"services.0.engine.chunk", A_NUMBER},
    {"services.0.engine.step_ms", A_NUMBER},
    {"services.0.engine.per_seq_ms", A_NUMBER},
    {"services.0.engine.context_per_k", A_NUMBER},
    {"services.0.engine.read_per_s", A_NUMBER},
    {"services.0.engine.pairs_per_m", A_NUMBER},
    {"services.0.engine.hopMs", A_NUMBER},
    {"services.0.engine.delays", OPTIONAL | BIT(ODD_LIST)},
    {"services.0.engine.delays.0", BIT(ODD_ABSENT) | BIT(ODD_OBJECT)},
    {"services.0.engine.delays.0.delay_ms", A_NUMBER},
    {"limits.maxHeaderBytes", A_NUMBER},
    {"limits.maxBodyBytes", A_NUMBER},
    {"limits.headerTimeoutMs", A_NUMBER},
    {"limits.idleTimeoutMs", A_NUMBER},
    {"tenants.0", BIT(ODD_ABSENT)},
    {"tenants.0.name", A_NAME},
    {"tenants.0.apiKeys", BIT(ODD_ABSENT) | BIT(ODD_LIST)},
    {"tenants.0.apiKeys.0", BIT(ODD_ABSENT) | BIT(ODD_TEXT) | BIT(ODD_CONTROL)},
};

static json_t *
odd_value(enum oddity oddity)
{
	switch (oddity) {
	case ODD_NULL:
		return json_null();
	case ODD_EMPTY:
		return json_string("");
	case ODD_TEXT:
		return json_string("odd");
	case ODD_NUMBER:
		return json_integer(7);
	case ODD_NEGATIVE:
		return json_integer(-7);
	case ODD_LIST:
		return json_array();
	case ODD_OBJECT:
		return json_object();
	case ODD_CONTROL:
		return json_string("a\r\nX-Odd: 1");
	default:
		return NULL;
	}
}

/* Returns the sound document with one odd field, as a text to be freed with
 * free(). */
static char *
make_document(const char *path, enum oddity oddity)
{
	json_t *root, *parent, *value;
	char **parts, *text;
	guint i, last;

	root = json_loads(SOUND_DOCUMENT, 0, NULL);
	assert_non_null(root);
	parts = g_strsplit(path, ".", -1);
	last = g_strv_length(parts) - 1;
	parent = root;
	for (i = 0; i < last; i++)
		parent = json_is_array(parent)
			     ? json_array_get(parent, 0)
			     : json_object_get(parent, parts[i]);
	value = odd_value(oddity);
	if (json_is_array(parent) && value == NULL)
		json_array_remove(parent, 0);
	else if (json_is_array(parent))
		json_array_set_new(parent, 0, value);
	else if (value == NULL)
		json_object_del(parent, parts[last]);
	else
		json_object_set_new(parent, parts[last], value);
	g_strfreev(parts);
	text = json_dumps(root, 0);
	json_decref(root);
	return text;
}

/* Fails if the table lacks something that its users rely on. */
static void
check_table(const struct route_table *table, const char *text)
{
	const struct route_service *service;
	const struct route_account *account;
	const struct route *route;
	guint i;

	for (i = 0; i < table->routes->len; i++) {
		route = g_ptr_array_index(table->routes, i);
		if (route->name == NULL || route->name[0] == '\0' ||
		    route->host == NULL || route->prefix == NULL ||
		    route->timeout_ms <= 0 || route->target_count == 0 ||
		    route_pick_service(route, 0) == NULL)
			fail_msg("a route lacks something: %s", text);
	}
	for (i = 0; i < table->services->len; i++) {
		service = g_ptr_array_index(table->services, i);
		if (service->name == NULL || service->name[0] == '\0')
			fail_msg("a service lacks its name: %s", text);
	}
	for (i = 0; i < table->accounts->len; i++) {
		account = g_ptr_array_index(table->accounts, i);
		if (account->name == NULL || account->name[0] == '\0' ||
		    strpbrk(account->name, "\r\n") != NULL)
			fail_msg("an account has no sound name: %s", text);
	}
	if (route_table_account(table, "") != NULL)
		fail_msg("callers without a key are admitted: %s", text);
}

/* Guards against a document that is acknowledged although a field of it can't be
 * read, and against one that ends or misleads the hosts that read it. */
static void
test_unreadable_fields_refuse_the_document(void **state)
{
	struct route_table *table;
	struct field_error error;
	enum oddity oddity;
	bool is_accepted;
	char *text;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		for (oddity = 0; oddity < ODDITY_COUNT; oddity++) {
			text = make_document(fields[i].path, oddity);
			table =
			    platform_routes_parse(text, strlen(text), &error);
			is_accepted = (fields[i].accepted & BIT(oddity)) != 0;
			if ((table != NULL) != is_accepted)
				fail_msg("%s, oddity %d: %s, %s",
				    fields[i].path, (int)oddity,
				    table == NULL ? "refused" : "accepted",
				    error.field);
			if (table != NULL)
				check_table(table, text);
			else
				assert_int_not_equal(error.code, ERROR_NONE);
			route_table_unref(table);
			free(text);
		}
	}
}

/* Guards against hosts that end, or lose their configuration, when they read one
 * that an earlier build has acknowledged with a field that can't be read. */
static void
test_acknowledged_documents_are_loaded(void **state)
{
	static const struct {
		const char *path;
		enum oddity oddity;
		bool is_noted; /* The error names the field. */
	} loaded[] = {
	    {"routes.0.name", ODD_ABSENT, true},
	    {"routes.0.name", ODD_EMPTY, true},
	    {"routes.0.name", ODD_NULL, true},
	    {"routes.0.name", ODD_LIST, true},
	    {"routes.0.name", ODD_CONTROL, true},
	    {"routes.0.sloMs", ODD_TEXT, true},
	    {"routes.0.public", ODD_TEXT, true},
	    {"routes.0.resumable", ODD_NUMBER, true},
	    {"services.0.coldPerS", ODD_NEGATIVE, true},
	    {"services.0.coldStartS", ODD_TEXT, true},
	    {"services.0.engine", ODD_LIST, true},
	    {"services.0.engine.stride", ODD_NEGATIVE, true},
	    {"services.0.engine.delays", ODD_TEXT, true},
	    {"services.0.engine.delays.0", ODD_NUMBER, false},
	    {"limits", ODD_LIST, true},
	    {"limits.idleTimeoutMs", ODD_TEXT, true},
	    {"tenants.0.apiKeys.0", ODD_EMPTY, false},
	    {"tenants", ODD_ABSENT, false},
	};
	struct route_table *table;
	struct field_error error;
	char *text;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(loaded); i++) {
		text = make_document(loaded[i].path, loaded[i].oddity);
		table = platform_routes_load(text, strlen(text), &error);
		if (table == NULL) {
			fail_msg("not loaded: %s: %s", error.field, text);
			return;
		}
		check_table(table, text);
		assert_non_null(route_table_find(table, "h", "/stream/x"));
		if ((error.code != ERROR_NONE) != loaded[i].is_noted)
			fail_msg("noted %s: %s", error.field, text);
		route_table_unref(table);
		free(text);
	}
}

/* Two nameless routes of an acknowledged document keep apart what is learnt of
 * their prompts. */
static void
test_nameless_routes_have_names_of_their_own(void **state)
{
	static const char text[] =
	    "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":["
	    "{\"host\":\"h\",\"pathPrefix\":\"/a/\",\"kind\":\"idempotent\","
	    "\"timeoutMs\":1,\"service\":\"s\"},"
	    "{\"host\":\"h\",\"pathPrefix\":\"/b/\",\"kind\":\"idempotent\","
	    "\"timeoutMs\":1,\"service\":\"s\"}]}";
	struct route_table *table;
	struct field_error error;

	(void)state;
	table = platform_routes_load(text, strlen(text), &error);
	assert_non_null(table);
	assert_string_equal(route_table_find(table, "h", "/a/")->name, "h /a/");
	assert_string_equal(route_table_find(table, "h", "/b/")->name, "h /b/");
	route_table_unref(table);
}

/* Guards against a request on a route without a name that ends its host: the
 * learnt length of a route's prompts is looked up by the route's name. */
static void
test_request_on_a_nameless_route_is_served(void **state)
{
	static const char request[] =
	    "POST /stream/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"
	    "X-Api-Key: k\r\nDeadline-Ms: 1000\r\nToken-Counts: 1460,80\r\n"
	    "Content-Length: 5\r\n\r\nhello";
	struct relay_fixture *fixture;
	struct field_error error;
	char *text, *answer;

	(void)state;
	fixture = g_new0(struct relay_fixture, 1);
	relay_fixture_init(fixture);
	relay_fixture_add_answer(
	    fixture, EVENT_STREAM EVENT1 EVENT2 STREAM_END);
	text = make_document("routes.0.name", ODD_ABSENT);
	relay_set_table(
	    &fixture->relay, platform_routes_load(text, strlen(text), &error));
	answer = relay_fixture_send_request(fixture, request);
	assert_non_null(strstr(answer, "id: 2\ndata: b\n\n\r\n0\r\n\r\n"));
	g_free(answer);
	free(text);
	relay_fixture_finish(fixture);
	g_free(fixture);
}

/* Sends a request with this key header, "" for none, under a table with an empty
 * list of accounts, and returns the start of the answer's status line. */
static char *
answer_without_accounts(
    struct relay_fixture *fixture, const char *path, const char *key_header)
{
	char *request, *answer;

	request =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n"
			    "Attempt-Id: a1\r\n%sDeadline-Ms: 1000\r\n\r\n",
		path, key_header);
	answer = relay_fixture_send_request(fixture, request);
	g_free(request);
	answer[MIN(strlen(answer), strlen("HTTP/1.1 200"))] = '\0';
	return answer;
}

/* Guards against callers that are admitted once the operator has taken away the
 * last account: an empty list of accounts says that no key is valid, an absent
 * one that no key is needed. */
static void
test_empty_list_of_accounts_admits_nobody(void **state)
{
	static const char text[] =
	    "{\"version\":7,\"services\":[{\"name\":\"s\"}],\"routes\":["
	    "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/keyed/\","
	    "\"kind\":\"idempotent\",\"timeoutMs\":1000,\"service\":\"s\"},"
	    "{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":\"/open/\","
	    "\"kind\":\"idempotent\",\"timeoutMs\":1000,\"service\":\"s\","
	    "\"public\":true}],\"tenants\":[]}";
	static const char *const key_headers[] = {
	    "", "X-Api-Key: \r\n", "X-Api-Key: key1\r\n"};
	struct route_table *(*const readers[])(
	    const char *text, size_t size, struct field_error *error) = {
	    platform_routes_parse, platform_routes_load};
	struct relay_fixture *fixture;
	struct field_error error;
	char *answer;
	size_t i, j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(readers); i++) {
		fixture = g_new0(struct relay_fixture, 1);
		relay_fixture_init(fixture);
		relay_fixture_add_answer(
		    fixture, ANSWER("200 OK", "hello", "5"));
		relay_set_table(
		    &fixture->relay, readers[i](text, strlen(text), &error));
		for (j = 0; j < G_N_ELEMENTS(key_headers); j++) {
			answer = answer_without_accounts(
			    fixture, "/keyed/x", key_headers[j]);
			assert_string_equal(answer, "HTTP/1.1 401");
			g_free(answer);
		}
		assert_int_equal(relay_fixture_request_count(fixture), 0);
		answer = answer_without_accounts(fixture, "/open/x", "");
		assert_string_equal(answer, "HTTP/1.1 200");
		g_free(answer);
		relay_fixture_finish(fixture);
		g_free(fixture);
	}
}

/* Guards against a route that is served by the service of its field "service"
 * although its list of weighted services is there and empty, so that its weights
 * add up to 0. What an earlier build acknowledged is served as before. */
static void
test_empty_list_of_targets_is_refused(void **state)
{
	static const char text[] =
	    "{\"version\":7,\"services\":[{\"name\":\"s\"}],\"routes\":["
	    "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/a/\","
	    "\"kind\":\"idempotent\",\"timeoutMs\":1000,\"service\":\"s\","
	    "\"backends\":[]}]}";
	struct route_table *table;
	struct field_error error;

	(void)state;
	assert_null(platform_routes_parse(text, strlen(text), &error));
	assert_string_equal(error.field, "routes.backends");
	table = platform_routes_load(text, strlen(text), &error);
	assert_non_null(table);
	assert_int_equal(route_table_find(table, "h", "/a/x")->target_count, 1);
	route_table_unref(table);
}

/* The table itself refuses what its users can't do without. */
static void
test_table_takes_no_entry_without_its_names(void **state)
{
	struct route_table *table;
	struct route *route;

	(void)state;
	table = route_table_new(1);
	route = g_new0(struct route, 1);
	route->host = g_strdup("h");
	route->prefix = g_strdup("/a/");
	route->timeout_ms = 1;
	assert_int_equal(route_table_add_route(table, route), ERROR_BAD_VALUE);
	assert_int_equal(
	    route_table_add_service(table, g_new0(struct route_service, 1)),
	    ERROR_BAD_VALUE);
	route_table_unref(table);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_unreadable_fields_refuse_the_document),
	    cmocka_unit_test(test_acknowledged_documents_are_loaded),
	    cmocka_unit_test(test_nameless_routes_have_names_of_their_own),
	    cmocka_unit_test(test_request_on_a_nameless_route_is_served),
	    cmocka_unit_test(test_empty_list_of_accounts_admits_nobody),
	    cmocka_unit_test(test_empty_list_of_targets_is_refused),
	    cmocka_unit_test(test_table_takes_no_entry_without_its_names),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
