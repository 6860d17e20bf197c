/*
 * Tests of the router, which chooses an upstream for a request, and of the
 * prefix index.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/router.h"
#include "fake_config_source.h"
#include "fake_slots.h"

#define NOW_MS 10000

/* A fleet with a1 and a2 in the host's data centre and b1 in another. */
struct fixture {
	struct fleet fleet;
	struct fake_slots slots;
	struct router_settings settings;
	struct prefix_index prefixes;
	struct request_facts facts;
	struct router_query query;
	struct router_choice choice;
};

static const struct fleet_settings fleet_settings = {
    .host_id = 1, .data_centre = "a"};
static const char *const names[] = {"a1", "a2", "b1"};

static void
fixture_init(struct fixture *fixture, const struct config_entry *entries,
    size_t entry_count)
{
	struct fake_config_source table = {entries, entry_count};
	struct config_source source = fake_config_source(&table);
	struct upstream_record record;
	struct fleet_ops ops;
	size_t i;

	memset(fixture, 0, sizeof(*fixture));
	fixture->slots.grant = (struct capacity_amount){50, 500000, 600000};
	ops = fake_slots_ops(&fixture->slots);
	assert_int_equal(
	    fleet_init(&fixture->fleet, &fleet_settings, &ops), ERROR_NONE);
	for (i = 0; i < 3; i++) {
		record = fake_upstream_record(names[i], i < 2 ? "a" : "b", 1);
		fleet_put_upstream(&fixture->fleet, &record);
		fleet_set_warm(&fixture->fleet, record.id, true);
	}
	assert_int_equal(
	    fleet_set_intent(&fixture->fleet, &source), ERROR_NONE);
	assert_int_equal(fleet_publish(&fixture->fleet), ERROR_NONE);
	assert_int_equal(
	    prefix_index_init(&fixture->prefixes, 1024, 60000), ERROR_NONE);
	router_settings_fill(&fixture->settings);
	fixture->facts = (struct request_facts){.id = 7,
	    .model = "m",
	    .priority = REQUEST_PRIORITY_NORMAL,
	    .prompt_tokens = 2000,
	    .answer_tokens_max = 100};
	fixture->query = (struct router_query){.facts = &fixture->facts,
	    .account = intent_account_by_name(fixture->fleet.intent, "spa"),
	    .prefixes = &fixture->prefixes,
	    .long_share = 1,
	    .now_ms = NOW_MS};
}

static enum error_code
choose(struct fixture *fixture)
{
	const struct fleet_view *view;
	enum error_code error;

	view = fleet_lock(&fixture->fleet);
	error = router_choose(
	    &fixture->settings, view, &fixture->query, &fixture->choice);
	fleet_unlock(view);
	return error;
}

static const char *
best(const struct fixture *fixture)
{
	return fixture->choice.candidates[0].entry->upstream->record.name;
}

static void
fixture_finish(struct fixture *fixture)
{
	prefix_index_finish(&fixture->prefixes);
	fleet_finish(&fixture->fleet);
}

/* The state of the upstreams a1, a2 and b1, and the one that must be chosen. */
struct cost_case {
	const char *what;
	uint64_t prompt_tokens;
	uint64_t used_prefill[3]; /* Prefill tokens that this host sent. */
	uint64_t reported[3];	  /* Queued prefill tokens in load reports. */
	int64_t age_ms;		  /* Age of the load reports. */
	bool is_cold[3];	  /* True if the upstream is cold. */
	const char *prefix_on;	  /* Upstream that cached the prompt's start. */
	const char *best;	  /* Upstream expected to be chosen. */
};

static const struct cost_case cost_cases[] = {
    {"own work counts", 2000, {9000, 0, 0}, {0}, 0, {0}, NULL, "a2"},
    {"same data centre first", 2000, {9000, 0, 0}, {0}, 0, {0}, NULL, "a2"},
    {"a loaded data centre is left", 2000, {9000, 9000, 0}, {0}, 0, {0}, NULL,
	"b1"},
    {"a report counts", 10000, {0, 0, 0}, {9000, 10, 0}, 0, {0}, NULL, "a2"},
    {"a short prompt passes others' work", 2000, {0, 100, 9000}, {9000, 0, 0},
	0, {0}, NULL, "a1"},
    {"an old report fades", 10000, {0, 3000, 9000}, {30000, 0, 0}, 30000, {0},
	NULL, "a1"},
    {"cold costs", 2000, {0, 500, 9000}, {0}, 0, {true, false, false}, NULL,
	"a2"},
    {"prefix draws", 2000, {0, 500, 9000}, {0}, 0, {0}, "a2", "a2"},
    {"prefix does not draw past load", 2000, {0, 5000, 9000}, {0}, 0, {0}, "a2",
	"a1"},
};

static void
test_upstream_with_least_cost_is_chosen(void **state)
{
	const struct cost_case *item;
	struct upstream_load load = {.incarnation = 1, .sequence = 1};
	struct capacity_amount amount = {0};
	struct fixture fixture;
	size_t i, j;

	(void)state;
	for (i = 0; i < sizeof(cost_cases) / sizeof(cost_cases[0]); i++) {
		item = &cost_cases[i];
		fixture_init(&fixture, NULL, 0);
		fixture.query.account = &(struct intent_account){0};
		fixture.facts.prompt_tokens = item->prompt_tokens;
		for (j = 0; j < 3; j++) {
			load.id = upstream_id(names[j]);
			load.queued_prefill_tokens = item->reported[j];
			load.age_ms = item->age_ms;
			if (item->reported[j] != 0)
				fleet_set_load(&fixture.fleet, &load, NOW_MS);
			amount.prefill_tokens = item->used_prefill[j];
			capacity_slot_acquire(
			    fake_slots_find(&fixture.slots, load.id), &amount,
			    NOW_MS);
			if (item->is_cold[j])
				fleet_set_warm(&fixture.fleet, load.id, false);
		}
		fixture.facts.prefix_count = 1;
		fixture.facts.prefix_hashes[0] = 77;
		fixture.facts.prefix_tokens[0] = 1000;
		if (item->prefix_on != NULL)
			prefix_index_record(&fixture.prefixes, &fixture.facts,
			    upstream_id(item->prefix_on), NOW_MS);
		assert_int_equal(choose(&fixture), ERROR_NONE);
		if (strcmp(best(&fixture), item->best) != 0)
			fail_msg("%s: %s", item->what, best(&fixture));
		fixture_finish(&fixture);
	}
}

/* A short prompt must wait for memory, but not for queued prompts of others. */
static void
test_upstream_with_full_memory_is_avoided(void **state)
{
	struct upstream_load load = {
	    .incarnation = 1, .sequence = 1, .queued_prefill_tokens = 50000};
	struct fixture fixture;
	uint32_t full, i;

	(void)state;
	for (full = 0; full < 2; full++) {
		fixture_init(&fixture, NULL, 0);
		fixture.query.account = &(struct intent_account){0};
		for (i = 0; i < 2; i++) {
			load.id = upstream_id(names[i]);
			load.kv_tokens_used = i == full ? 599000 : 500000;
			fleet_set_load(&fixture.fleet, &load, NOW_MS);
		}
		assert_int_equal(choose(&fixture), ERROR_NONE);
		assert_string_equal(best(&fixture), names[1 - full]);
		assert_int_equal(fixture.choice.candidates[0].ahead_tokens, 0);
		fixture_finish(&fixture);
	}
}

/* Work of this host that a load report includes is not counted twice. */
static void
test_own_work_in_report_is_counted_once(void **state)
{
	struct capacity_amount amount = {1, 8000, 8000};
	struct upstream_load load = {.id = upstream_id("a1"),
	    .incarnation = 1,
	    .sequence = 1,
	    .queued_prefill_tokens = 8000};
	struct fixture fixture;
	uint32_t i;

	(void)state;
	fixture_init(&fixture, NULL, 0);
	fixture.query.account = &(struct intent_account){0};
	fixture.facts.prompt_tokens = 10000;
	capacity_slot_acquire(
	    fake_slots_find(&fixture.slots, load.id), &amount, NOW_MS);
	fleet_set_load(&fixture.fleet, &load, NOW_MS);
	assert_int_equal(choose(&fixture), ERROR_NONE);
	for (i = 0; i < fixture.choice.count; i++) {
		if (fixture.choice.candidates[i].entry->id == load.id)
			assert_int_equal(
			    fixture.choice.candidates[i].ahead_tokens, 8000);
	}
	fixture_finish(&fixture);
}

struct error_case {
	const char *what;
	struct config_entry entries[3];
	const char *model;
	uint64_t prompt_tokens;
	uint64_t used_prefill; /* Prefill tokens in use on each upstream. */
	uint32_t excluded;     /* Number of upstreams excluded, from a1 on. */
	enum error_code error;
	const char *best; /* Upstream expected, or NULL for any. */
};

static const struct error_case error_cases[] = {
    {"plain", {{0}}, "m", 1000, 0, 0, ERROR_NONE, NULL},
    {"other model", {{0}}, "n", 1000, 0, 0, ERROR_NO_UPSTREAM, NULL},
    {"too large", {{0}}, "m", 700000, 0, 0, ERROR_TOO_LARGE, NULL},
    {"no room", {{0}}, "m", 1000, 500000, 0, ERROR_NO_CAPACITY, NULL},
    {"largest runs alone", {{0}}, "m", 500000, 0, 0, ERROR_NONE, NULL},
    {"tried ones are left out", {{0}}, "m", 1000, 0, 2, ERROR_NONE, "b1"},
    {"all tried", {{0}}, "m", 1000, 0, 3, ERROR_NO_UPSTREAM, NULL},
    {"taken out", {{"takeout/t", "data_centre=a", 1}}, "m", 1000, 0, 0,
	ERROR_NONE, "b1"},
    {"all taken out", {{"takeout/t", "*", 1}}, "m", 1000, 0, 0,
	ERROR_NO_UPSTREAM, NULL},
    {"policy", {{"policy/p", "name=spa -> name=b1", 1}}, "m", 1000, 0, 0,
	ERROR_NONE, "b1"},
    {"policy against all", {{"policy/p", "* -> name=b2", 1}}, "m", 1000, 0, 0,
	ERROR_NO_UPSTREAM, NULL},
};

static void
test_filters_leave_an_upstream_or_give_error(void **state)
{
	const struct error_case *item;
	struct config_entry entries[4] = {
	    {"client_account/spa/weight", "1", 1}};
	struct capacity_amount amount = {0};
	uint64_t excluded[3];
	struct fixture fixture;
	size_t i, j, count;

	(void)state;
	for (j = 0; j < 3; j++)
		excluded[j] = upstream_id(names[j]);
	for (i = 0; i < sizeof(error_cases) / sizeof(error_cases[0]); i++) {
		item = &error_cases[i];
		count = 1;
		for (j = 0; j < 3 && item->entries[j].key != NULL; j++)
			entries[count++] = item->entries[j];
		fixture_init(&fixture, entries, count);
		amount.prefill_tokens = item->used_prefill;
		for (j = 0; j < fixture.slots.count; j++)
			capacity_slot_acquire(
			    &fixture.slots.slots[j], &amount, NOW_MS);
		snprintf(fixture.facts.model, NAME_SIZE_MAX, "%s", item->model);
		fixture.facts.prompt_tokens = item->prompt_tokens;
		fixture.query.excluded = excluded;
		fixture.query.excluded_count = item->excluded;
		if (choose(&fixture) != item->error)
			fail_msg("%s", item->what);
		if (item->best != NULL &&
		    strcmp(best(&fixture), item->best) != 0)
			fail_msg("%s: %s", item->what, best(&fixture));
		if (item->error == ERROR_NO_CAPACITY) {
			assert_non_null(fixture.choice.wanted);
			assert_true(fixture.choice.wait_ms > 0);
		}
		fixture_finish(&fixture);
	}
}

static void
test_ejected_upstreams_are_the_last_resort(void **state)
{
	const struct fleet_view *view;
	struct fixture fixture;
	uint32_t i;

	(void)state;
	fixture_init(&fixture, NULL, 0);
	fixture.query.account = &(struct intent_account){0};
	view = fleet_lock(&fixture.fleet);
	for (i = 0; i < 2; i++)
		fleet_upstream_eject(
		    fleet_view_find(view, upstream_id(names[i]))->upstream,
		    NOW_MS + 1);
	assert_int_equal(choose(&fixture), ERROR_NONE);
	assert_string_equal(best(&fixture), "b1");
	assert_int_equal(fixture.choice.count, 1);
	fleet_upstream_eject(
	    fleet_view_find(view, upstream_id("b1"))->upstream, NOW_MS + 1);
	assert_int_equal(choose(&fixture), ERROR_NONE);
	assert_int_equal(fixture.choice.count, 3);
	fixture.query.now_ms++;
	assert_int_equal(choose(&fixture), ERROR_NONE);
	assert_int_equal(fixture.choice.count, 3);
	fleet_unlock(view);
	fixture_finish(&fixture);
}

/* Long prompts use only their share of the upstreams. Short ones may use all
 * and get a higher priority on the engine. */
static void
test_long_prompts_use_their_share_of_upstreams(void **state)
{
	struct router_mix mix = {0};
	struct fleet_work work;
	const struct fleet_view *view;
	struct fixture fixture;

	(void)state;
	fixture_init(&fixture, NULL, 0);
	fixture.query.account = &(struct intent_account){0};
	router_mix_record(&mix, &fixture.settings, 90000, 0);
	router_mix_record(&mix, &fixture.settings, 10000, 0);
	assert_true(router_mix_share(&mix) > 0.89);
	assert_true(router_mix_share(&mix) < 0.91);
	router_mix_record(&mix, &fixture.settings, 10000, 1000000);
	router_mix_record(&mix, &fixture.settings, 10000, 1000000);
	assert_true(router_mix_share(&mix) < 0.01);
	fixture.facts.prompt_tokens = 200000;
	fixture.query.long_share = 0.1;
	assert_int_equal(choose(&fixture), ERROR_NONE);
	assert_int_equal(fixture.choice.count, 2);
	assert_int_equal(
	    router_engine_priority(&fixture.settings, &fixture.facts),
	    REQUEST_PRIORITY_LOW);
	fixture.facts.prompt_tokens = 90000;
	assert_int_equal(
	    router_engine_priority(&fixture.settings, &fixture.facts),
	    REQUEST_PRIORITY_NORMAL);
	fixture.facts.prompt_tokens = 2000;
	assert_int_equal(
	    router_engine_priority(&fixture.settings, &fixture.facts),
	    REQUEST_PRIORITY_HIGH);
	fixture.facts.priority = REQUEST_PRIORITY_LOW;
	assert_int_equal(
	    router_engine_priority(&fixture.settings, &fixture.facts),
	    REQUEST_PRIORITY_LOW);
	fixture.facts.priority = REQUEST_PRIORITY_NORMAL;
	view = fleet_lock(&fixture.fleet);
	assert_int_equal(
	    fleet_work_begin(&work, fixture.choice.candidates[0].entry,
		&fixture.choice.candidates[0].amount,
		fixture.choice.candidates[0].long_tokens, NOW_MS),
	    ERROR_NONE);
	fixture.facts.prompt_tokens = 2000;
	assert_int_equal(choose(&fixture), ERROR_NONE);
	assert_int_equal(fixture.choice.count, 3);
	assert_true(fixture.choice.candidates[2].first_token_ms < 400);
	fleet_unlock(view);
	fleet_work_end(&work);
	fixture_finish(&fixture);
}

/* A sequence of cache events, and the trust expected after it in a prefix that
 * was recorded before. */
struct event_case {
	const char *what;
	struct cache_event events[3];
	double trust;
};

static const struct event_case event_cases[] = {
    {"nothing", {{0}}, 1},
    {"in order", {{1, 1, 4, CACHE_EVENT_STORED, 5}, {1, 1, 5, 1, 6}}, 1},
    {"a gap ages", {{1, 1, 4, CACHE_EVENT_STORED, 5}, {1, 1, 9, 1, 6}}, 0.5},
    {"two gaps age twice", {{1, 1, 4, 1, 5}, {1, 1, 9, 1, 6}, {1, 1, 11, 1, 6}},
	0.25},
    {"a late one is dropped",
	{{1, 1, 4, 1, 5}, {1, 1, 3, CACHE_EVENT_EVICTED, 9}}, 1},
    {"evicted", {{1, 1, 4, CACHE_EVENT_EVICTED, 9}}, 0},
    {"cleared", {{1, 1, 4, CACHE_EVENT_CLEARED, 0}}, 0},
    {"another upstream's", {{2, 1, 4, CACHE_EVENT_CLEARED, 0}}, 1},
    {"restarted", {{1, 1, 4, 1, 5}, {1, 2, 1, CACHE_EVENT_STORED, 5}}, 0},
};

static void
test_cache_events_change_prefix_trust(void **state)
{
	const struct event_case *item;
	struct request_facts facts = {.prefix_count = 2,
	    .prefix_hashes = {8, 9},
	    .prefix_tokens = {100, 200}};
	struct prefix_hit hits[PREFIX_HITS_MAX];
	struct prefix_index index;
	uint32_t count;
	bool found;
	size_t i, j;

	(void)state;
	for (i = 0; i < sizeof(event_cases) / sizeof(event_cases[0]); i++) {
		item = &event_cases[i];
		prefix_index_init(&index, 64, 1000);
		facts.prefix_count = 2;
		prefix_index_record(&index, &facts, 1, 0);
		for (j = 0; j < 3 && item->events[j].upstream_id != 0; j++)
			prefix_index_apply(&index, &item->events[j], 0);
		count = prefix_index_find(&index, &facts, 0, hits);
		/* Checks the longer prefix; the shorter may still be found. */
		found = count == 1 && hits[0].tokens == 200;
		if ((found ? hits[0].trust : 0) != item->trust)
			fail_msg("%s", item->what);
		prefix_index_finish(&index);
	}
}

static void
test_prefixes_are_bounded_and_age(void **state)
{
	struct request_facts facts = {
	    .prefix_count = 1, .prefix_tokens = {100}};
	struct prefix_hit hits[PREFIX_HITS_MAX];
	struct prefix_index index;
	uint32_t i, found;

	(void)state;
	prefix_index_init(&index, 64, 1000);
	for (i = 0; i < 10000; i++) {
		facts.prefix_hashes[0] = i + 1;
		prefix_index_record(&index, &facts, 5, i);
	}
	found = 0;
	for (i = 0; i < 10000; i++) {
		facts.prefix_hashes[0] = i + 1;
		found += prefix_index_find(&index, &facts, 10000, hits);
	}
	assert_true(found > 48 && found <= 64);
	facts.prefix_hashes[0] = 10000;
	assert_int_equal(prefix_index_find(&index, &facts, 10999, hits), 1);
	assert_true(hits[0].trust > 0.49 && hits[0].trust < 0.51);
	assert_int_equal(prefix_index_find(&index, &facts, 99999, hits), 0);
	prefix_index_record(&index, &facts, 5, 99999);
	prefix_index_invalidate(&index, 5);
	assert_int_equal(prefix_index_find(&index, &facts, 99999, hits), 0);
	prefix_index_finish(&index);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_upstream_with_least_cost_is_chosen),
	    cmocka_unit_test(test_upstream_with_full_memory_is_avoided),
	    cmocka_unit_test(test_own_work_in_report_is_counted_once),
	    cmocka_unit_test(test_filters_leave_an_upstream_or_give_error),
	    cmocka_unit_test(test_ejected_upstreams_are_the_last_resort),
	    cmocka_unit_test(test_long_prompts_use_their_share_of_upstreams),
	    cmocka_unit_test(test_cache_events_change_prefix_trust),
	    cmocka_unit_test(test_prefixes_are_bounded_and_age),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
