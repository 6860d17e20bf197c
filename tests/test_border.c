/*
 * Tests of the feature "weigh-borders": when requests leave their data centre,
 * and how many. Without a network; the loads are those of two data centres of
 * which one has more demand than upstreams.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "placement_fixture.h"

#define HOSTS		80
#define SLOTS		200 /* Of each data centre. */
#define ANSWER_MS	2000
#define RUN_MS		20000
#define FACTS_AGE_MS	60
#define COST_RUNNING_MS 0.5 /* Of each request in a data centre. */
#define COST_FULL_MS	10  /* Of each beyond its slots. */
#define HOME_ENGINES	9
#define TRIES		200

/* Loads of two data centres, remembered for as long as facts are old. */
struct model {
	double running[2];
	double seen[2][FACTS_AGE_MS];
	double away_share; /* Of what arrived in the last millisecond. */
};

static double
cost_ms(double running)
{
	return running * COST_RUNNING_MS +
	       fmax(running - SLOTS, 0) * COST_FULL_MS;
}

/* Sends what arrives in a millisecond, by hosts that see loads of a while ago. */
static void
step(struct model *model, const double arriving[2], uint32_t tick)
{
	double sent[2] = {0}, share;
	uint32_t dc, at = tick % FACTS_AGE_MS;
	struct border_offer offer = {.has_home = true,
	    .has_away = true,
	    .delay_ms = 3.5,
	    .facts_age_ms = FACTS_AGE_MS};

	for (dc = 0; dc < 2; dc++) {
		offer.home_cost_ms = cost_ms(model->seen[dc][at]);
		offer.away_cost_ms = cost_ms(model->seen[1 - dc][at]);
		share = border_away_share(&offer);
		if (dc == 0)
			model->away_share = share;
		sent[dc] += arriving[dc] * (1 - share);
		sent[1 - dc] += arriving[dc] * share;
	}
	for (dc = 0; dc < 2; dc++) {
		model->running[dc] += sent[dc] - model->running[dc] / ANSWER_MS;
		model->seen[dc][at] = model->running[dc];
	}
}

static void
test_share_follows_gain(void **state)
{
	struct border_offer offer = {
	    .has_home = true, .has_away = true, .delay_ms = 3.5};

	(void)state;
	assert_true(border_away_share(&offer) <= 0);
	offer.home_cost_ms = 6;
	assert_true(border_away_share(&offer) <= 0);
	offer.home_cost_ms = 14;
	assert_in_range((int)(border_away_share(&offer) * 100), 45, 55);
	offer.home_cost_ms = 700;
	assert_true(border_away_share(&offer) > 0.98);
	/* 4 GB of cache for a part of a long prompt, at 0.1 ms a megabyte. */
	offer.bytes = 4e9;
	offer.ms_per_mb = 0.1;
	assert_in_range((int)(border_away_share(&offer) * 100), 35, 50);
	/* Both are as full. */
	offer.away_cost_ms = 700;
	assert_true(border_away_share(&offer) <= 0);
}

/* Facts that are old say less of where it is better, and nothing at last. */
static void
test_old_facts_keep_requests_home(void **state)
{
	struct border_offer offer = {.has_home = true,
	    .has_away = true,
	    .delay_ms = 3.5,
	    .home_cost_ms = 100};
	double last;

	(void)state;
	last = border_away_share(&offer);
	for (offer.facts_age_ms = 500; offer.facts_age_ms <= 2000;
	     offer.facts_age_ms += 500) {
		assert_true(border_away_share(&offer) < last);
		last = border_away_share(&offer);
	}
	assert_true(last <= 0);
	/* Without upstreams at home there is no choice. */
	offer.has_home = false;
	assert_true(border_away_share(&offer) >= 1);
	offer.has_away = false;
	assert_true(border_away_share(&offer) <= 0);
}

/* One data centre has half more demand than slots, the other half as much: what
 * is too much goes there, without swinging, and no host of 300 decides by itself. */
static void
test_surplus_goes_to_the_free_data_centre(void **state)
{
	static const double arriving[2] = {
	    1.5 * SLOTS / ANSWER_MS, 0.3 * SLOTS / ANSWER_MS};
	double share_min, share_max, running_max;
	struct model model = {0};
	uint32_t tick;

	(void)state;
	share_min = 1;
	share_max = running_max = 0;
	for (tick = 0; tick < RUN_MS; tick++) {
		step(&model, arriving, tick);
		if (tick < RUN_MS / 2)
			continue;
		share_min = fmin(share_min, model.away_share);
		share_max = fmax(share_max, model.away_share);
		running_max = fmax(running_max, model.running[0]);
	}
	assert_true(share_max - share_min < 0.1);
	assert_true(share_min > 0.2);
	assert_true(running_max < SLOTS * 1.05);
	assert_true(model.running[1] < SLOTS);
}

/* Two data centres with as much too much each keep their requests. */
static void
test_two_full_data_centres_send_nothing(void **state)
{
	static const double arriving[2] = {
	    1.4 * SLOTS / ANSWER_MS, 1.4 * SLOTS / ANSWER_MS};
	struct model model = {0};
	uint32_t tick;

	(void)state;
	for (tick = 0; tick < RUN_MS; tick++) {
		step(&model, arriving, tick);
		assert_true(model.away_share <= 0);
	}
}

static void
init_two_data_centres(struct placement_fixture *fixture, uint32_t features)
{
	uint32_t i;

	placement_fixture_init(fixture, 5);
	fixture->placement.settings.features.set = features;
	fixture->service.engine.border_delay_ms = 3.5;
	/* No limit for cold engines: it isn't what is tested. */
	fixture->service.cold_requests_per_s = 0;
	placement_set_hosts(&fixture->placement, HOSTS, 0, START_MS);
	fixture->placement.last_report_ms = START_MS;
	for (i = HOME_ENGINES; i < ENGINES; i++)
		fixture->records[i].data_centre = "b";
	placement_update(
	    &fixture->placement, fixture->records, ENGINES, START_MS);
}

/* Returns how many of some short prompts would leave the data centre. */
static uint32_t
count_leaving(struct placement_fixture *fixture)
{
	struct placement_queue_entry entry;
	struct placement_request request;
	struct placement_choice choice;
	uint32_t leaving, i;

	leaving = 0;
	for (i = 0; i < TRIES; i++) {
		memset(&entry, 0, sizeof(entry));
		request = placement_fixture_request(
		    fixture, &fixture->chat, 2000, START_MS);
		assert_int_equal(placement_pick(&fixture->placement, &request,
				     START_MS, &entry, &choice),
		    ERROR_NONE);
		leaving += !choice.upstream->is_local;
		placement_queue_leave(&fixture->placement, &entry);
	}
	return leaving;
}

static void
set_running(struct placement_fixture *fixture, uint32_t from, uint32_t to,
    uint32_t running)
{
	uint32_t i;

	for (i = from; i < to; i++)
		placement_fixture_engine(fixture, i)->own.running = running;
}

/* Requests stay at home while it has room, leave in part while it has less than
 * the others, and leave all if no upstream at home is usable, as after an
 * evacuation; failing upstreams elsewhere get none. */
static void
test_requests_leave_as_it_pays(void **state)
{
	struct placement_fixture fixture;
	uint32_t i;

	(void)state;
	init_two_data_centres(&fixture, 0);
	assert_true(count_leaving(&fixture) > 0);
	fixture.placement.settings.features.set = PLACEMENT_WEIGH_BORDERS;
	assert_int_equal(count_leaving(&fixture), 0);
	set_running(&fixture, 0, HOME_ENGINES, 8);
	assert_in_range(count_leaving(&fixture), TRIES / 3, TRIES * 9 / 10);
	/* Elsewhere it is as full. */
	set_running(&fixture, HOME_ENGINES, ENGINES, 8);
	assert_int_equal(count_leaving(&fixture), 0);
	/* A byte across that is worth much keeps them home. */
	set_running(&fixture, HOME_ENGINES, ENGINES, 0);
	fixture.placement.settings.features.border_ms_per_mb = 1e6;
	assert_int_equal(count_leaving(&fixture), 0);
	/* Upstreams elsewhere fail. */
	fixture.placement.settings.features.border_ms_per_mb = 0;
	for (i = HOME_ENGINES; i < ENGINES; i++)
		placement_fixture_engine(&fixture, i)->ejected_until_ms =
		    START_MS + 1000;
	/* More than half ejected would count as a false detection. */
	placement_fixture_engine(&fixture, ENGINES - 1)->ejected_until_ms = 0;
	set_running(&fixture, ENGINES - 1, ENGINES, 16);
	assert_int_equal(count_leaving(&fixture), 0);
	for (i = 0; i < HOME_ENGINES; i++)
		fixture.records[i].is_usable = false;
	placement_update(
	    &fixture.placement, fixture.records, ENGINES, START_MS);
	set_running(&fixture, HOME_ENGINES, ENGINES, 0);
	assert_int_equal(count_leaving(&fixture), TRIES);
	placement_fixture_finish(&fixture);
}

/* A long prompt's parts go to helpers at home first. */
static void
test_parts_stay_at_home(void **state)
{
	struct placement_queue_entry entry = {0};
	struct placement_request request;
	const struct placement_upstream *helper;
	struct placement_choice choice;
	struct placement_fixture fixture;
	uint32_t away, i;

	(void)state;
	init_two_data_centres(&fixture, PLACEMENT_WEIGH_BORDERS);
	fixture.service.engine.kv_token_bytes = 327680;
	fixture.placement.settings.features.border_ms_per_mb = 1;
	request = placement_fixture_request(
	    &fixture, &fixture.review, 182000, START_MS);
	assert_int_equal(placement_pick(&fixture.placement, &request, START_MS,
			     &entry, &choice),
	    ERROR_NONE);
	assert_true(choice.helper_count > 0);
	away = 0;
	for (i = 0; i < choice.helper_count; i++) {
		helper = g_hash_table_lookup(
		    fixture.placement.upstreams, &choice.helpers[i]);
		away += !helper->is_local;
	}
	assert_int_equal(away, 0);
	placement_queue_leave(&fixture.placement, &entry);
	placement_fixture_finish(&fixture);
}

static void
test_feature_names(void **state)
{
	static const char *const wrong[] = {"", "weigh",
	    "weigh-borders=", "weigh-borders=x", "weigh-borders=-1",
	    "weigh-borders=nan", "guard-pauses=3", "weigh-borders=1x"};
	struct placement_features features = {0};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++)
		assert_int_equal(placement_feature_add(&features, wrong[i]),
		    ERROR_BAD_VALUE);
	memset(&features, 0, sizeof(features));
	assert_int_equal(
	    placement_feature_add(&features, "weigh-borders=0.5"), ERROR_NONE);
	assert_int_equal(
	    placement_feature_add(&features, "guard-pauses"), ERROR_NONE);
	assert_int_equal(
	    features.set, PLACEMENT_WEIGH_BORDERS | PLACEMENT_GUARD_PAUSES);
	assert_true(fabs(features.border_ms_per_mb - 0.5) < 1e-9);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_share_follows_gain),
	    cmocka_unit_test(test_old_facts_keep_requests_home),
	    cmocka_unit_test(test_surplus_goes_to_the_free_data_centre),
	    cmocka_unit_test(test_two_full_data_centres_send_nothing),
	    cmocka_unit_test(test_requests_leave_as_it_pays),
	    cmocka_unit_test(test_parts_stay_at_home),
	    cmocka_unit_test(test_feature_names),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
