/*
 * Tests of the feature "share-slots": many hosts whose short prompts want more
 * slots than the engines have. The hosts hear of each other's work with a delay,
 * in virtual time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "placement_fixture.h"
#include "protocol/codec.h"

#define HOSTS		 40
#define PROMPTS_PER_S	 200
#define SECONDS		 4
#define PROMPTS		 800 /* PROMPTS_PER_S for SECONDS. */
#define ANSWER_MS	 1600
#define REPORT_PERIOD_MS 20
#define REPORT_DELAY_MS	 20
#define END_MS		 12000
#define TARGET_MS	 300
/* Host that ends in the middle of the test of a lost host. */
#define LOST_HOST 7

struct prompt {
	struct placement_queue_entry entry;
	struct placement_work work;
	int64_t arrived_ms;
	int64_t retry_ms; /* When to pick again, INT64_MAX once placed. */
	int64_t began_ms; /* When an engine gave it a slot, 0 before. */
	uint32_t host;
	uint32_t engine;
	bool is_refused;
};

struct fleet {
	struct placement_fixture *hosts;
	struct prompt *prompts;
	uint32_t queued_most; /* Most prompts that waited at one engine. */
	bool has_lost_host;   /* LOST_HOST ends in the middle. */
};

static struct fleet
start_fleet(uint32_t features)
{
	struct fleet fleet = {0};
	uint32_t i;

	fleet.hosts = calloc(HOSTS, sizeof(*fleet.hosts));
	fleet.prompts = calloc(PROMPTS, sizeof(*fleet.prompts));
	assert_non_null(fleet.hosts);
	assert_non_null(fleet.prompts);
	for (i = 0; i < HOSTS; i++) {
		placement_fixture_init(&fleet.hosts[i], i + 1);
		fleet.hosts[i].placement.settings.features.set = features;
		/* No limit for cold engines: it isn't what is tested. */
		fleet.hosts[i].service.cold_requests_per_s = 0;
		placement_set_hosts(
		    &fleet.hosts[i].placement, HOSTS, i, START_MS);
	}
	for (i = 0; i < PROMPTS; i++) {
		fleet.prompts[i].arrived_ms =
		    START_MS + (int64_t)i * 1000 / PROMPTS_PER_S;
		fleet.prompts[i].retry_ms = fleet.prompts[i].arrived_ms;
		/* Half of the prompts come to a quarter of the hosts. */
		fleet.prompts[i].host =
		    i % 2 == 0 ? i / 2 % (HOSTS / 4) : i / 2 % HOSTS;
	}
	return fleet;
}

static void
finish_fleet(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < PROMPTS; i++)
		placement_queue_leave(
		    &fleet->hosts[fleet->prompts[i].host].placement,
		    &fleet->prompts[i].entry);
	for (i = 0; i < HOSTS; i++)
		placement_fixture_finish(&fleet->hosts[i]);
	free(fleet->hosts);
	free(fleet->prompts);
}

static bool
is_lost(const struct fleet *fleet, uint32_t host, int64_t now_ms)
{
	return fleet->has_lost_host && host == LOST_HOST &&
	       now_ms >= START_MS + SECONDS * 1000 / 2;
}

/* Each host tells the others what it does; they hear it later. */
static void
exchange_reports(struct fleet *fleet, int64_t now_ms)
{
	struct message_writer writer;
	uint32_t from, to;

	for (from = 0; from < HOSTS; from++) {
		if (is_lost(fleet, from, now_ms))
			continue;
		message_writer_init(&writer);
		placement_report_write(
		    &fleet->hosts[from].placement, 1, now_ms, &writer);
		for (to = 0; to < HOSTS; to++) {
			if (to != from)
				assert_int_equal(
				    placement_report_receive(
					&fleet->hosts[to].placement, from + 1,
					message_data(&writer),
					message_size(&writer),
					now_ms - REPORT_DELAY_MS, now_ms),
				    ERROR_NONE);
		}
		message_writer_finish(&writer);
	}
}

/* Ends answers, and gives free slots to the prompts at each engine in the order
 * in which they came. */
static void
step_engines(struct fleet *fleet, int64_t now_ms)
{
	uint32_t taken[ENGINES] = {0}, queued[ENGINES] = {0}, i;
	struct placement *placement;
	struct prompt *prompt;

	for (i = 0; i < PROMPTS; i++) {
		prompt = &fleet->prompts[i];
		placement = &fleet->hosts[prompt->host].placement;
		if (prompt->began_ms == 0 || prompt->work.upstream_id == 0)
			continue;
		if (now_ms >= prompt->began_ms + ANSWER_MS) {
			placement_record_answer(
			    placement, &prompt->work, ANSWER_MS);
			placement_end(placement, &prompt->work);
		} else {
			taken[prompt->engine]++;
		}
	}
	for (i = 0; i < PROMPTS; i++) {
		prompt = &fleet->prompts[i];
		if (prompt->began_ms != 0 || prompt->work.upstream_id == 0)
			continue;
		if (taken[prompt->engine] < fleet->hosts[0].records[0].slots) {
			prompt->began_ms = now_ms;
			taken[prompt->engine]++;
		} else {
			queued[prompt->engine]++;
			fleet->queued_most =
			    MAX(fleet->queued_most, queued[prompt->engine]);
		}
	}
}

static void
try_prompt(struct fleet *fleet, struct prompt *prompt, int64_t now_ms)
{
	struct placement_fixture *host = &fleet->hosts[prompt->host];
	struct placement_request request;
	struct placement_choice choice;
	enum error_code error;

	if (is_lost(fleet, prompt->host, now_ms)) {
		prompt->retry_ms = INT64_MAX;
		prompt->is_refused = true;
		return;
	}
	request = placement_fixture_request(
	    host, &host->chat, 2000, prompt->arrived_ms);
	request.deadline_ms = prompt->arrived_ms + 10000;
	error = placement_pick(
	    &host->placement, &request, now_ms, &prompt->entry, &choice);
	if (error == ERROR_CHANGE_PENDING) {
		prompt->retry_ms = now_ms + prompt->entry.retry_ms;
		return;
	}
	placement_queue_leave(&host->placement, &prompt->entry);
	prompt->retry_ms = INT64_MAX;
	if (error != ERROR_NONE) {
		prompt->is_refused = true;
		return;
	}
	placement_begin(
	    &host->placement, &request, &choice, now_ms, &prompt->work);

	for (prompt->engine = 0;
	     host->records[prompt->engine].id != prompt->work.upstream_id;)
		prompt->engine++;
}

/* Plays the load, and returns how many answers began within their target. */
static uint32_t
play(struct fleet *fleet)
{
	uint32_t in_time, i;
	int64_t now_ms;

	for (now_ms = START_MS; now_ms < START_MS + END_MS; now_ms++) {
		step_engines(fleet, now_ms);
		for (i = 0; i < PROMPTS; i++) {
			if (fleet->prompts[i].retry_ms <= now_ms)
				try_prompt(fleet, &fleet->prompts[i], now_ms);
		}
		if ((now_ms - START_MS) % REPORT_PERIOD_MS == 0)
			exchange_reports(fleet, now_ms);
	}
	in_time = 0;
	for (i = 0; i < PROMPTS; i++)
		in_time += fleet->prompts[i].began_ms != 0 &&
			   fleet->prompts[i].began_ms <=
			       fleet->prompts[i].arrived_ms + TARGET_MS;
	print_message("%u of %u in time, %u at most waited at an engine\n",
	    in_time, PROMPTS, fleet->queued_most);
	return in_time;
}

/* Number of prompts that the engines have slots for during the load. */
static uint32_t
slots_for(const struct fleet *fleet)
{
	return MIN(PROMPTS, ENGINES * fleet->hosts[0].records[0].slots *
				SECONDS * 1000 / ANSWER_MS);
}

/* Replays (fjordvisum scale-1, seconds 15 to 20): short prompts come to many
 * hosts and need a tenth more slots than there are. When a slot became free, all
 * hosts with waiting prompts took it: dozens waited at one engine, and hosts gave
 * up on it as stalled. Shared out, slots are given to few more prompts than there
 * are, and two thirds of what the engines can serve is in time. */
static void
test_hosts_share_free_slots(void **state)
{
	struct fleet fleet;
	uint32_t queued_before;

	(void)state;
	fleet = start_fleet(0);
	(void)play(&fleet);
	queued_before = fleet.queued_most;
	finish_fleet(&fleet);
	fleet = start_fleet(PLACEMENT_SHARE_SLOTS);
	assert_true(play(&fleet) * 3 >= slots_for(&fleet) * 2);
	assert_true(fleet.queued_most * 2 < queued_before);
	assert_true(fleet.queued_most <= 6);
	finish_fleet(&fleet);
}

/* A host that is lost while prompts wait at it binds no slots: the others go on
 * as before once its last report is too old. */
static void
test_lost_host_binds_no_slots(void **state)
{
	struct fleet fleet;

	(void)state;
	fleet = start_fleet(PLACEMENT_SHARE_SLOTS);
	fleet.has_lost_host = true;
	assert_true(play(&fleet) * 3 >= slots_for(&fleet) * 2);
	finish_fleet(&fleet);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_hosts_share_free_slots),
	    cmocka_unit_test(test_lost_host_binds_no_slots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
