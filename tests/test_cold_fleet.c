/*
 * Test of the bound on what a cold upstream gets from a fleet of many hosts: the
 * sum over all hosts keeps to it without messages between them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "placement/placement.h"

#define HOSTS		  300
#define COLD_PER_S	  14
#define COLD_OVERSHOOT	  1.5
#define COLD_SLACK	  5
#define HOST_START_MS	  INT64_C(900000)
#define START_MS	  INT64_C(1000000)
#define REQUEST_PERIOD_MS 3 /* Each host has one request within a second. */

/* Each of 300 hosts has one request in the same second, and the only upstream
 * that is left is one that has just started, long after the hosts. */
static void
test_cold_bound_holds_over_many_hosts(void **state)
{
	static const struct placement_settings settings = {.data_centre = "a",
	    .cold_overshoot = COLD_OVERSHOOT,
	    .cold_slack = COLD_SLACK};
	static const struct placement_record record = {.id = 7,
	    .incarnation = 1,
	    .address = 1,
	    .name = "engine",
	    .service = "models",
	    .data_centre = "a",
	    .slots = 16,
	    .is_usable = true};
	static const struct placement_record earlier = {.id = 8,
	    .incarnation = 1,
	    .address = 2,
	    .name = "ended",
	    .service = "models",
	    .data_centre = "a",
	    .slots = 16,
	    .is_usable = true};
	struct route route = {.name = (char *)"chat",
	    .kind = ROUTE_KIND_STREAM,
	    .target_ms = 300,
	    .pause_limit_ms = 250};
	struct route_service service = {
	    .name = (char *)"models", .cold_requests_per_s = COLD_PER_S};
	struct placement_request request = {
	    .route = &route, .service = &service};
	struct placement_queue_entry entry;
	struct placement_choice choice;
	struct placement placement;
	uint32_t host, sent;
	int64_t now_ms;

	(void)state;
	sent = 0;
	for (host = 0; host < HOSTS; host++) {
		now_ms = START_MS + (int64_t)host * REQUEST_PERIOD_MS;
		memset(&entry, 0, sizeof(entry));
		request.arrived_ms = now_ms;
		request.deadline_ms = now_ms + 10000;
		placement_init(&placement, &settings, host);
		placement_set_hosts(&placement, HOSTS, host, START_MS);
		placement_update(&placement, &earlier, 1, HOST_START_MS);
		placement_update(&placement, &record, 1, START_MS);
		if (placement_pick(&placement, &request, now_ms, &entry,
			&choice) == ERROR_NONE)
			sent++;
		placement_finish(&placement);
	}
	assert_true(sent <= COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_cold_bound_holds_over_many_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
