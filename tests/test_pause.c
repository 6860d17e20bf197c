/*
 * Tests, in virtual time, of pauses that upstreams ask for: under a burst, with
 * new lists of upstreams, reports of other hosts, hosts that come and go and cuts
 * beside it, an upstream gets no more than a few requests of the host that it
 * asked.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "placement/placement.h"

#define HOSTS	       6
#define UPSTREAMS      8
#define RUN_MS	       60000
#define STEP_MS	       5
#define START_MS       INT64_C(1000000)
#define ANSWER_MS      5    /* Until an answer arrives. */
#define RUNS_MS	       80   /* A request that is not turned away. */
#define PAUSE_MS       3000 /* What an upstream asks for. */
#define GRACE_MS       500  /* Requests on their way do not count. */
#define SENDS_MAX      2    /* Requests in what is left of a pause. */
#define OVERLOAD_MS    4000 /* How long an upstream turns requests away. */
#define LIST_PERIOD_MS 700  /* New list of upstreams. */
#define GONE_MS	       1500 /* An upstream is missing from the lists. */
#define SEEDS	       8

/* A request on its way. */
struct flight {
	struct placement_work work;
	uint64_t upstream_id;
	int64_t answer_ms;
	bool is_turned_away;
};

/* What a host has been asked for by an upstream. */
struct asked {
	int64_t from_ms;
	int64_t until_ms;
	uint32_t sent;
};

struct pause_run {
	struct random_source random;
	struct placement hosts[HOSTS];
	GArray *flights[HOSTS]; /* struct flight */
	struct asked asked[HOSTS][UPSTREAMS];
	int64_t overload_until_ms[UPSTREAMS];
	int64_t gone_until_ms[UPSTREAMS];
	int64_t cut_until_ms[HOSTS]; /* Gets no reports. */
	uint32_t turned_away, served, too_many;
	bool upstreams_go; /* Upstreams are missing from lists now and then. */
};

static struct route route = {
    .name = (char *)"r", .kind = ROUTE_KIND_IDEMPOTENT, .target_ms = 300};
static struct route_service service = {.name = (char *)"s"};

static void
send_list(struct pause_run *run, uint32_t host, int64_t now_ms)
{
	struct placement_record records[UPSTREAMS];
	char names[UPSTREAMS][8];
	uint32_t count, i;

	count = 0;
	memset(records, 0, sizeof(records));
	for (i = 0; i < UPSTREAMS; i++) {
		if (run->gone_until_ms[i] > now_ms)
			continue;
		g_snprintf(names[count], sizeof(names[count]), "u%u", i);
		records[count] = (struct placement_record){.id = i + 1,
		    .incarnation = 1,
		    .address = i + 1,
		    .name = names[count],
		    .service = "s",
		    .data_centre = "a",
		    .slots = 4,
		    .is_usable = true};
		count++;
	}
	placement_update(&run->hosts[host], records, count, now_ms);
}

static void
send_report(struct pause_run *run, uint32_t host, int64_t now_ms)
{
	struct message_writer writer;
	uint32_t other;

	message_writer_init(&writer);
	placement_report_write(&run->hosts[host], 1, now_ms, &writer);
	for (other = 0; other < HOSTS; other++) {
		if (other != host && run->cut_until_ms[other] <= now_ms)
			(void)placement_report_receive(&run->hosts[other],
			    host + 1, message_data(&writer),
			    message_size(&writer), now_ms, now_ms);
	}
	message_writer_finish(&writer);
}

static void
count_send(
    struct pause_run *run, uint32_t host, uint32_t upstream, int64_t now_ms)
{
	struct asked *asked = &run->asked[host][upstream];

	if (now_ms >= asked->from_ms + GRACE_MS && now_ms < asked->until_ms &&
	    ++asked->sent > SENDS_MAX)
		run->too_many++;
}

static void
send_request(struct pause_run *run, uint32_t host, int64_t now_ms)
{
	struct placement_request request = {.route = &route,
	    .service = &service,
	    .arrived_ms = now_ms,
	    .deadline_ms = now_ms + 4000};
	struct placement_queue_entry entry = {0};
	struct placement_choice choice;
	struct flight flight = {0};
	uint32_t upstream;

	if (placement_pick(&run->hosts[host], &request, now_ms, &entry,
		&choice) != ERROR_NONE)
		return;
	upstream = (uint32_t)choice.upstream->id - 1;
	placement_begin(
	    &run->hosts[host], &request, &choice, now_ms, &flight.work);
	count_send(run, host, upstream, now_ms);
	flight.upstream_id = choice.upstream->id;
	flight.is_turned_away = run->overload_until_ms[upstream] > now_ms;
	flight.answer_ms =
	    now_ms + (flight.is_turned_away ? ANSWER_MS : RUNS_MS);
	g_array_append_val(run->flights[host], flight);
}

static void
receive_answer(
    struct pause_run *run, uint32_t host, struct flight *flight, int64_t now_ms)
{
	struct asked *asked = &run->asked[host][flight->upstream_id - 1];
	struct upstream_statement statement = {0};

	if (flight->is_turned_away) {
		run->turned_away++;
		statement.pause_ms = PAUSE_MS;
		if (asked->until_ms <= now_ms)
			*asked = (struct asked){now_ms, now_ms + PAUSE_MS, 0};
		placement_record_failure(
		    &run->hosts[host], flight->upstream_id, now_ms);
	} else {
		run->served++;
		placement_record_success(
		    &run->hosts[host], flight->upstream_id);
	}
	(void)placement_record_notice(
	    &run->hosts[host], flight->upstream_id, 1, &statement, now_ms);
	placement_end(&run->hosts[host], &flight->work);
}

static void
receive_answers(struct pause_run *run, uint32_t host, int64_t now_ms)
{
	struct flight *flight;
	guint i;

	for (i = 0; i < run->flights[host]->len;) {
		flight = &g_array_index(run->flights[host], struct flight, i);
		if (flight->answer_ms > now_ms) {
			i++;
			continue;
		}
		receive_answer(run, host, flight, now_ms);
		g_array_remove_index_fast(run->flights[host], i);
	}
}

static void
disturb(struct pause_run *run, int64_t now_ms)
{
	uint32_t upstream = random_below(&run->random, UPSTREAMS);
	uint32_t host = random_below(&run->random, HOSTS);

	switch (random_below(&run->random, 300)) {
	case 0:
	case 1:
		run->overload_until_ms[upstream] = now_ms + OVERLOAD_MS;
		break;
	case 2:
		run->cut_until_ms[host] = now_ms + OVERLOAD_MS;
		break;
	case 3:
		placement_set_hosts(&run->hosts[host],
		    1 + random_below(&run->random, HOSTS), host, now_ms);
		break;
	case 4:
		if (run->upstreams_go)
			run->gone_until_ms[upstream] = now_ms + GONE_MS;
		break;
	default:
		break;
	}
}

static void
start_run(struct pause_run *run, uint64_t seed, bool upstreams_go)
{
	static const struct placement_settings settings = {.data_centre = "a"};
	uint32_t host;

	memset(run, 0, sizeof(*run));
	random_init(&run->random, seed);
	run->upstreams_go = upstreams_go;
	for (host = 0; host < HOSTS; host++) {
		placement_init(&run->hosts[host], &settings, seed + host);
		placement_set_hosts(&run->hosts[host], HOSTS, host, START_MS);
		run->flights[host] =
		    g_array_new(FALSE, FALSE, sizeof(struct flight));
		send_list(run, host, START_MS);
	}
}

static void
finish_run(struct pause_run *run)
{
	uint32_t host;

	for (host = 0; host < HOSTS; host++) {
		placement_finish(&run->hosts[host]);
		g_array_unref(run->flights[host]);
	}
}

/* A burst of a request each 40 ms at each host, or each 10 ms for a third of the
 * time. */
static void
run_seed(uint64_t seed, bool upstreams_go)
{
	struct pause_run *run;
	int64_t now_ms, period_ms;
	uint32_t host;

	run = g_new0(struct pause_run, 1);
	start_run(run, seed, upstreams_go);
	for (now_ms = START_MS; now_ms < START_MS + RUN_MS; now_ms += STEP_MS) {
		disturb(run, now_ms);
		period_ms = now_ms / 10000 % 3 == 0 ? 10 : 40;
		for (host = 0; host < HOSTS; host++) {
			receive_answers(run, host, now_ms);
			if ((now_ms + (int64_t)host * STEP_MS) %
				LIST_PERIOD_MS ==
			    0)
				send_list(run, host, now_ms);
			if (now_ms % 50 == 0)
				send_report(run, host, now_ms);
			if ((now_ms + (int64_t)host * STEP_MS) % period_ms == 0)
				send_request(run, host, now_ms);
		}
	}
	if (run->too_many > 0)
		fail_msg("seed %d: %u requests too many, %u turned away",
		    (int)seed, run->too_many, run->turned_away);
	/* The pauses did occur, and the other upstreams served. */
	assert_true(run->turned_away >= 10);
	assert_true(run->served > run->turned_away);
	finish_run(run);
	g_free(run);
}

static void
test_upstream_that_asked_for_a_pause_gets_one(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed, false);
}

/* An upstream whose record has expired may be back before its pause is over, as
 * the same incarnation. */
static void
test_pause_outlives_the_upstreams_record(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed, true);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_upstream_that_asked_for_a_pause_gets_one),
	    cmocka_unit_test(test_pause_outlives_the_upstreams_record),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
