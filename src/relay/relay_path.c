/*
 * Tries connections without a request: to a sample of the upstreams while
 * upstream_path.h suspects that this host reaches none, or has found so, and to
 * upstreams that could not be reached before.
 */
#include <jansson.h>

#include "base/event_log.h"
#include "relay/relay_parts.h"

/* Period at which a test that is due begins. */
#define TEST_CHECK_MS 50

static void on_probed(
    struct relay *relay, uint64_t upstream_id, enum error_code error);
static void begin_test(struct relay *relay);
static void schedule_check(struct relay *relay);
static void on_check(void *context);
static void on_tested(
    struct relay *relay, uint64_t upstream_id, enum error_code error);
static void set_without_path(struct relay *relay, bool is_without_path);

void
relay_path_on_connected(struct relay *relay)
{
	int64_t lost_ms = relay->path.lost_ms;

	if (!upstream_path_record_connected(&relay->path))
		return;
	event_log_write_fields(EVENT_PATH_REGAINED, "{s:I}", "lost_for_ms",
	    (json_int_t)(host_now_ms() - lost_ms));
	set_without_path(relay, false);
}

void
relay_path_on_unreached(struct relay *relay, uint64_t upstream_id)
{
	upstream_path_record_unreached(
	    &relay->path, upstream_id, host_now_ms());
	begin_test(relay);
}

void
relay_path_run_probes(struct relay *relay)
{
	uint64_t id, address;

	/* An upstream whose probe can't even start stays ejected for a while. */
	while (placement_take_probe(
	    &relay->placement, host_now_ms(), &id, &address))
		(void)relay_probe_begin(relay, id, address, on_probed);
}

bool
relay_path_is_lost(const struct relay *relay)
{
	return relay->path.state == UPSTREAM_PATH_LOST;
}

static void
on_probed(struct relay *relay, uint64_t upstream_id, enum error_code error)
{
	if (error != ERROR_NONE) {
		placement_record_unreached(
		    &relay->placement, upstream_id, host_now_ms());
		return;
	}
	placement_record_reached(&relay->placement, upstream_id);
	relay_path_on_connected(relay);
}

/* Begins a test if one is due, and checks again later while the path is not
 * open. */
static void
begin_test(struct relay *relay)
{
	uint64_t addresses[UPSTREAM_PATH_SAMPLE_MAX];
	uint32_t count, started, i;

	if (relay->path.state != UPSTREAM_PATH_OPEN)
		schedule_check(relay);
	if (!upstream_path_is_test_due(&relay->path, host_now_ms()))
		return;
	count = placement_sample(
	    &relay->placement, addresses, UPSTREAM_PATH_SAMPLE_MAX);
	started = 0;
	for (i = 0; i < count; i++) {
		if (relay_probe_begin(relay, 0, addresses[i], on_tested))
			started++;
	}
	upstream_path_begin_test(&relay->path, started, host_now_ms());
	/* The other hosts are told repeatedly that the path is lost, since their
	 * last report of it is soon outdated. */
	if (relay_path_is_lost(relay))
		relay_schedule_report(relay);
}

static void
schedule_check(struct relay *relay)
{
	if (!handle_equal(relay->path_timer, (struct handle){0}))
		return;
	/* If no timer is free, the next upstream that can't be reached begins
	 * the test. */
	(void)timer_subscribe_once(&relay->timers, TEST_CHECK_MS,
	    (struct timer_callback){on_check, relay}, &relay->path_timer);
}

static void
on_check(void *context)
{
	struct relay *relay = context;

	relay->path_timer = (struct handle){0};
	begin_test(relay);
}

static void
on_tested(struct relay *relay, uint64_t upstream_id, enum error_code error)
{
	(void)upstream_id;
	if (error == ERROR_NONE)
		relay_path_on_connected(relay);
	if (!upstream_path_end_test(&relay->path, host_now_ms()))
		return;
	event_log_write_fields(
	    EVENT_PATH_LOST, "{s:s}", "why", error_name(error));
	set_without_path(relay, true);
}

/* Tells the other hosts, so that they forward no requests to this one. */
static void
set_without_path(struct relay *relay, bool is_without_path)
{
	relay->placement.forwarding.is_without_path = is_without_path;
	relay_schedule_report(relay);
}
