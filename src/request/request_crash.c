/*
 * Finds out whether the upstream of a broken attempt crashed, and asks the
 * quarantine before the request runs again. A broken connection alone shows no
 * crash: an upstream or a link may reset single connections. So the upstream is
 * asked, and only if it no longer runs the request is reported as a suspect.
 */
#include <string.h>

#include "base/monotonic_clock.h"
#include "host/host_calls.h"
#include "request/request_run_parts.h"

/* Time for an upstream to answer whether it still runs. Must end before other
 * hosts' and requests' reports of the same crash are evaluated. */
#define PROBE_TIMEOUT_MS 150

/* After a crash, the request waits this long before it is checked against the
 * quarantine, so that the crash report has been evaluated by then. */
#define CRASH_EVALUATION_MS 400

static bool runs_on(struct request_run *run);
static void avoid_data_centre(struct request_run *run);

void
request_crash_suspect(struct request_run *run)
{
	const struct wait_assignment *assignment = &run->ticket.assignment;

	run->upstream_crashed = !runs_on(run);
	if (run->upstream_crashed)
		host_report_crash(run->host, assignment->upstream_id,
		    assignment->incarnation, assignment->data_centre,
		    &run->key);
}

uint32_t
request_crash_pause_ms(const struct request_run *run, uint32_t pause_ms)
{
	if (!run->upstream_crashed || run->resumes)
		return pause_ms;
	return pause_ms < CRASH_EVALUATION_MS ? CRASH_EVALUATION_MS : pause_ms;
}

bool
request_crash_may_rerun(struct request_run *run)
{
	enum quarantine_action action;

	if (!run->upstream_crashed)
		return true;
	action = host_check_quarantine(run->host, &run->key, NULL);
	run->upstream_crashed = false;
	run->ticket.must_run_alone = action == QUARANTINE_RUN_ALONE;
	/* Crashes close together in one data centre count as one event, which
	 * doesn't show whether the request caused them. A run in another data
	 * centre does. */
	if (action == QUARANTINE_RUN_ALONE)
		avoid_data_centre(run);
	if (action == QUARANTINE_RUN || action == QUARANTINE_RUN_ALONE)
		return true;
	request_run_end(run, ERROR_QUARANTINED, REQUEST_OUTCOME_FAILED, 0);
	return false;
}

/* Whether the upstream answers in the incarnation that ran the attempt. A plain
 * service doesn't tell its incarnation; it runs if it accepts a connection. */
static bool
runs_on(struct request_run *run)
{
	struct upstream_target target = request_run_target(run);
	struct held_reservation_list held;
	void *context = &run->host->upstreams_http;
	int64_t deadline_ms;

	deadline_ms = host_now_ms() + PROBE_TIMEOUT_MS;
	if (run->input.facts.is_service_call)
		return upstream_http_adapter.probe(
			   context, &target, deadline_ms) == ERROR_NONE;
	return upstream_http_adapter.kv_held(
		   context, &target, deadline_ms, &held) == ERROR_NONE &&
	       held.incarnation == target.incarnation;
}

/* Excludes all upstreams of the data centre from this request's retries. */
static void
avoid_data_centre(struct request_run *run)
{
	struct wait_ticket *ticket = &run->ticket;
	const struct upstream_record *record;
	const struct fleet_view *view;
	uint32_t i;

	view = fleet_lock(&run->host->fleet);
	for (i = 0; i < view->entry_count; i++) {
		record = &view->entries[i].upstream->record;
		if (ticket->excluded_count < WAIT_EXCLUDED_MAX &&
		    strcmp(record->data_centre,
			ticket->assignment.data_centre) == 0)
			ticket->excluded[ticket->excluded_count++] = record->id;
	}
	fleet_unlock(view);
}
