#include <stdio.h>
#include <string.h>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "host/host_calls.h"
#include "request/group_run.h"
#include "request/request_run_parts.h"

/* Pieces of an attempt that the upstream's thread has received and the
 * request's thread has not yet read. */
#define QUEUED_PIECES_MAX 256

/* Bytes of pieces that arrived out of order and are kept until the gap before
 * them is filled. */
#define REORDER_BYTES_MAX ((size_t)4 * 1024 * 1024)

/* How long this host avoids an upstream that stalled or broke a connection. */
#define UPSTREAM_AVOIDANCE_MS 2000

/* Expected time between two pieces of an answer, from which the time is derived
 * after which silence is a stall. */
#define PIECE_INTERVAL_EXPECTED_MS 200.0
#define US_PER_MS		   1000

static enum request_outcome outcome_for_caller(
    const struct request_run *run, enum request_outcome outcome);
static bool must_end_for_stop(const struct request_run *run);
/* Ends the run before its answer is whole, and cancels its attempt. */
static void end_early(struct request_run *run, enum error_code code);
/* Waits in the queue for an upstream, then dispatches the request. */
static void advance_waiting(struct request_run *run, int64_t until_ms);
/* Waits out the pause before a retry, then dispatches to the same upstream or
 * queues the request again. */
static void advance_paused(struct request_run *run, int64_t until_ms);
/* Handles one piece of the attempt, or its stall or deadline. */
static void advance_running(struct request_run *run, int64_t until_ms);
/* Sends the next attempt to the upstream that the ticket was assigned. */
static void dispatch(struct request_run *run);
static void begin_answer(struct request_run *run);
static void dispatch_group(struct request_run *run);
/* Whether this host may start requests and the assigned upstream is still
 * active, in the same incarnation and not taken out. */
static bool is_upstream_available(struct request_run *run);
static void fill_attempt_input(
    const struct request_run *run, struct attempt_input *attempt_input);
static enum error_code send_call(struct request_run *run);
static void handle_piece(struct request_run *run, struct piece *piece);
static void handle_text(struct request_run *run, const struct piece *piece);
/* Records the first token in the metrics, the queue and the prefix index, and
 * what its time says about whether the upstream is warm. */
static void record_first_token(struct request_run *run);
static void handle_end(struct request_run *run, const struct piece *piece);
static void handle_failure(struct request_run *run, const struct piece *piece);
/* Ends a failed attempt: pauses the run before a retry, or ends the run with
 * the cause if no retry is allowed. */
static void fail_attempt(struct request_run *run, enum attempt_failure failure,
    enum error_code cause, int64_t retry_after_ms);
static struct attempt_report describe_attempt(
    const struct request_run *run, enum attempt_failure failure);
/* Drops the text received so far, so that the next attempt starts from the
 * beginning. */
static void restart_answer(struct request_run *run);
/* Closes the attempt's queue and, if wanted, cancels it at its upstream. */
static void release_attempt(struct request_run *run, bool cancel_upstream);
/* Excludes the upstream from this request's retries; after a stall or a broken
 * connection, all requests of this host avoid it for a time. */
static void avoid_upstream(
    struct request_run *run, enum attempt_failure failure);
static enum error_code deliver_text(
    void *context, uint64_t sequence, const void *bytes, size_t size);
/* Sets the time after which silence counts as a stall, from the time expected
 * until the next piece. */
static void set_stall_deadline(struct request_run *run, double expected_ms);

void
request_run_init(struct request_run *run, struct host *host,
    const struct request_input *input)
{
	struct stream_assembler_ops ops = {deliver_text, run};
	enum quarantine_action action;
	enum error_code error;

	memset(run, 0, sizeof(*run));
	run->host = host;
	run->input = *input;
	run->text = g_string_new(NULL);
	stream_assembler_init(&run->assembler, &ops, REORDER_BYTES_MAX);
	span_start(&run->span, "request",
	    input->headers.has_trace ? &input->headers.trace : NULL);
	span_set_attribute(
	    &run->span, "client_account", input->facts.client_account);
	wait_ticket_init(&run->ticket, &run->input.facts);
	atomic_fetch_add(&host->running_requests, 1);
	run->key = request_key_of(&input->facts);
	action = host_check_quarantine(host, &run->key, NULL);
	if (action == QUARANTINE_TRY)
		action = host_take_trial(host) ? QUARANTINE_RUN_ALONE
					       : QUARANTINE_REFUSE;
	if (action == QUARANTINE_REFUSE) {
		request_run_end(
		    run, ERROR_QUARANTINED, REQUEST_OUTCOME_NOT_RUN, 0);
		return;
	}
	run->ticket.must_run_alone = action == QUARANTINE_RUN_ALONE;
	if (!host_may_start(host)) {
		request_run_end(run, ERROR_LEASE_EXPIRED,
		    REQUEST_OUTCOME_NOT_RUN, RETRY_AFTER_MS);
		return;
	}
	error = wait_line_enter(&host->wait_line, &run->ticket);
	if (error != ERROR_NONE) {
		request_run_end(run, error, REQUEST_OUTCOME_NOT_RUN,
		    run->ticket.retry_after_ms);
		return;
	}
	retry_budget_record_admitted(&host->retry_budget, &host->retry);
	router_mix_record(&host->mix, &host->wait_line.parts.router,
	    input->facts.prompt_tokens, host_now_ms());
	if (run->ticket.needs_group)
		dispatch_group(run);
}

void
request_run_advance(struct request_run *run, int64_t until_ms)
{
	do {
		if (must_end_for_stop(run))
			end_early(run, ERROR_SHUTTING_DOWN);
		switch (run->state) {
		case REQUEST_STATE_WAITING:
			advance_waiting(run, until_ms);
			break;
		case REQUEST_STATE_PAUSED:
			advance_paused(run, until_ms);
			break;
		case REQUEST_STATE_RUNNING:
			advance_running(run, until_ms);
			break;
		case REQUEST_STATE_ENDED:
			return;
		}
	} while ((run->text->len == 0 || !run->input.is_stream) &&
		 host_now_ms() < until_ms);
}

void
request_run_cancel(struct request_run *run)
{
	if (run->state != REQUEST_STATE_ENDED)
		end_early(run, ERROR_CANCELLED);
}

void
request_run_finish(struct request_run *run)
{
	request_run_cancel(run);
	wait_ticket_finish(&run->ticket);
	stream_assembler_finish(&run->assembler);
	g_string_free(run->text, TRUE);
	shared_text_unref(run->input.body);
	atomic_fetch_sub(&run->host->running_requests, 1);
}

void
request_run_end(struct request_run *run, enum error_code code,
    enum request_outcome outcome, int64_t retry_after_ms)
{
	struct host *host = run->host;
	const struct request_facts *facts = &run->input.facts;

	run->state = REQUEST_STATE_ENDED;
	run->result.code = code;
	run->result.outcome = outcome_for_caller(run, outcome);
	run->result.retry_after_ms = retry_after_ms;
	wait_line_leave(&host->wait_line, &run->ticket);
	if (run->attempt_span.name[0] != '\0')
		span_end(&host->spans, &run->attempt_span, error_name(code));
	if (code != ERROR_NONE && outcome == REQUEST_OUTCOME_NOT_RUN) {
		request_metrics_record_refusal(&host->metrics, code);
		event_log_write(EVENT_REQUEST_REFUSED, "%s", error_name(code));
	}
	request_metrics_record_end(&host->metrics, facts->client_account,
	    run->ticket.assignment.data_centre, facts->prompt_tokens,
	    code == ERROR_NONE ? "done" : error_name(code),
	    host_now_ms() - facts->admitted_ms);
	span_set_attribute_number(
	    &run->span, "prompt_tokens", (int64_t)facts->prompt_tokens);
	span_set_attribute_number(&run->span, "attempts", run->attempt);
	span_end(&host->spans, &run->span,
	    code == ERROR_NONE ? "done" : error_name(code));
	if (run->has_claim)
		request_claim_finish(run, outcome);
}

/* Outcome that the caller is told. Under a key, "not run" is about all requests
 * with it, of which the claim alone knows. */
static enum request_outcome
outcome_for_caller(const struct request_run *run, enum request_outcome outcome)
{
	if (outcome == REQUEST_OUTCOME_NOT_RUN &&
	    run->input.headers.idempotency_key[0] != '\0' &&
	    !run->key_is_unused)
		return REQUEST_OUTCOME_UNKNOWN;
	return outcome;
}

struct upstream_target
request_run_target(const struct request_run *run)
{
	struct upstream_target target = {0};

	snprintf(
	    target.url, sizeof(target.url), "%s", run->ticket.assignment.url);
	target.incarnation = run->ticket.assignment.incarnation;
	return target;
}

/* Whether the host stops and has no time left for this run. */
static bool
must_end_for_stop(const struct request_run *run)
{
	int64_t end_ms = atomic_load(&run->host->requests_end_ms);

	return run->state != REQUEST_STATE_ENDED && end_ms != 0 &&
	       host_now_ms() >= end_ms;
}

static void
end_early(struct request_run *run, enum error_code code)
{
	bool may_have_run;

	may_have_run = run->may_have_run || run->stage != ATTEMPT_NOT_SENT;
	release_attempt(run, true);
	if (may_have_run)
		request_run_end(run, code, REQUEST_OUTCOME_UNKNOWN, 0);
	else
		request_run_end(run, code, REQUEST_OUTCOME_NOT_RUN,
		    code == ERROR_SHUTTING_DOWN ? RETRY_AFTER_MS : 0);
}

static void
advance_waiting(struct request_run *run, int64_t until_ms)
{
	enum error_code error;

	error = wait_line_await(&run->host->wait_line, &run->ticket, until_ms);
	/* A run that the stop has just ended may have made room for this one. */
	if (must_end_for_stop(run))
		end_early(run, ERROR_SHUTTING_DOWN);
	else if (error == ERROR_NONE)
		dispatch(run);
	else if (error != ERROR_TIMEOUT)
		request_run_end(run, error,
		    run->may_have_run ? REQUEST_OUTCOME_FAILED
				      : REQUEST_OUTCOME_NOT_RUN,
		    run->ticket.retry_after_ms);
}

static void
advance_paused(struct request_run *run, int64_t until_ms)
{
	enum error_code error;
	int64_t wait_ms;

	wait_ms = run->resume_at_ms - host_now_ms();
	if (wait_ms > until_ms - host_now_ms())
		wait_ms = until_ms - host_now_ms();
	if (wait_ms > 0)
		g_usleep((gulong)wait_ms * US_PER_MS);
	if (host_now_ms() < run->resume_at_ms)
		return;
	if (run->resumes) {
		run->resumes = false;
		dispatch(run);
		return;
	}
	if (!request_crash_may_rerun(run))
		return;
	error = wait_line_requeue(&run->host->wait_line, &run->ticket);
	if (error == ERROR_NONE)
		run->state = REQUEST_STATE_WAITING;
	else
		request_run_end(run, error,
		    run->may_have_run ? REQUEST_OUTCOME_FAILED
				      : REQUEST_OUTCOME_NOT_RUN,
		    run->ticket.retry_after_ms);
}

static void
advance_running(struct request_run *run, int64_t until_ms)
{
	int64_t wake_ms, now_ms;
	struct piece piece;

	wake_ms = until_ms;
	if (wake_ms > run->stall_deadline_ms)
		wake_ms = run->stall_deadline_ms;
	if (wake_ms > run->input.facts.deadline_ms)
		wake_ms = run->input.facts.deadline_ms;
	if (piece_queue_pop(run->queue, wake_ms, &piece) == ERROR_NONE) {
		handle_piece(run, &piece);
		piece_finish(&piece);
		return;
	}
	now_ms = host_now_ms();
	if (now_ms >= run->input.facts.deadline_ms)
		fail_attempt(run, ATTEMPT_DEADLINE, ERROR_TIMEOUT, 0);
	else if (now_ms >= run->stall_deadline_ms)
		fail_attempt(run, ATTEMPT_STALLED, ERROR_STALLED, 0);
}

static void
dispatch(struct request_run *run)
{
	enum error_code error;

	if (run->input.headers.idempotency_key[0] != '\0' && !run->has_claim &&
	    !request_claim_begin(run))
		return;
	/* A takeout may have come into force while the claim was made. */
	if (!is_upstream_available(run)) {
		run->resume_at_ms = host_now_ms();
		run->state = REQUEST_STATE_PAUSED;
		return;
	}
	run->attempt++;
	run->upstream_says_failed = false;
	run->stage = ATTEMPT_NOT_SENT;
	run->state = REQUEST_STATE_RUNNING;
	run->dispatched_at_ms = host_now_ms();
	if (stream_assembler_position(&run->assembler) > 0)
		stream_assembler_resume(&run->assembler, run->attempt);
	else
		begin_answer(run);
	span_start(&run->attempt_span, "attempt", &run->span.context);
	span_set_attribute(&run->attempt_span, "upstream",
	    run->ticket.assignment.upstream_name);
	span_set_attribute(&run->attempt_span, "data_centre",
	    run->ticket.assignment.data_centre);
	set_stall_deadline(run, run->ticket.assignment.first_token_ms);
	run->queue = piece_queue_create(QUEUED_PIECES_MAX);
	error = run->queue == NULL ? ERROR_NO_MEMORY : send_call(run);
	if (error != ERROR_NONE) {
		fail_attempt(run, ATTEMPT_NO_CAPACITY, error, RETRY_AFTER_MS);
		return;
	}
	run->stage = ATTEMPT_SENT;
}

/* Prepares for an answer that begins with this attempt. */
static void
begin_answer(struct request_run *run)
{
	run->answer_attempt = run->attempt;
	stream_assembler_start(&run->assembler, run->attempt);
}

/* Starts the request on a group of engines. Such a run is not retried, since it
 * reserves much memory on several engines. */
static void
dispatch_group(struct request_run *run)
{
	struct attempt_input attempt_input = {0};
	enum error_code error;

	if (run->input.headers.idempotency_key[0] != '\0' &&
	    !request_claim_begin(run))
		return;
	run->attempt = 1;
	run->stage = ATTEMPT_SENT;
	run->state = REQUEST_STATE_RUNNING;
	run->dispatched_at_ms = host_now_ms();
	run->stall_deadline_ms = run->input.facts.deadline_ms;
	stream_assembler_start(&run->assembler, run->attempt);
	span_start(&run->attempt_span, "group", &run->span.context);
	fill_attempt_input(run, &attempt_input);
	run->queue = piece_queue_create(QUEUED_PIECES_MAX);
	error = run->queue == NULL
		    ? ERROR_NO_MEMORY
		    : group_run_start(run->host, &run->input.facts,
			  &attempt_input, run->queue);
	if (error == ERROR_NONE)
		return;
	release_attempt(run, false);
	request_run_end(run, error, REQUEST_OUTCOME_NOT_RUN, RETRY_AFTER_MS);
}

static bool
is_upstream_available(struct request_run *run)
{
	const struct fleet_entry *entry;
	const struct fleet_view *view;
	bool is_open;

	if (!host_may_start(run->host))
		return false;
	view = fleet_lock(&run->host->fleet);
	entry = fleet_view_find(view, run->ticket.assignment.upstream_id);
	is_open = entry != NULL &&
		  entry->upstream->record.incarnation ==
		      run->ticket.assignment.incarnation &&
		  entry->upstream->record.state == UPSTREAM_STATE_ACTIVE &&
		  !entry->is_taken_out;
	fleet_unlock(view);
	return is_open;
}

static void
fill_attempt_input(
    const struct request_run *run, struct attempt_input *attempt_input)
{
	const struct request_facts *facts = &run->input.facts;

	attempt_input->target = request_run_target(run);
	attempt_input->request_id = facts->id;
	attempt_input->attempt = run->attempt;
	snprintf(attempt_input->model, sizeof(attempt_input->model), "%s",
	    facts->model);
	attempt_input->priority =
	    router_engine_priority(&run->host->wait_line.parts.router, facts);
	attempt_input->answer_tokens_max = facts->answer_tokens_max;
	attempt_input->deadline_ms = facts->deadline_ms;
	attempt_input->is_idempotent = facts->is_idempotent;
	attempt_input->trace = run->attempt_span.context;
	attempt_input->body = run->input.body;
	attempt_input->body_size =
	    run->input.body == NULL ? 0 : run->input.body->size;
	snprintf(attempt_input->content_type,
	    sizeof(attempt_input->content_type), "%s", run->input.content_type);
	attempt_input->from_attempt = run->answer_attempt;
	attempt_input->position = stream_assembler_position(&run->assembler);
	snprintf(attempt_input->path, sizeof(attempt_input->path), "%s",
	    run->input.path);
	snprintf(attempt_input->idempotency_key,
	    sizeof(attempt_input->idempotency_key), "%s",
	    run->input.headers.idempotency_key);
}

static enum error_code
send_call(struct request_run *run)
{
	struct attempt_input attempt_input = {0};
	void *context;

	fill_attempt_input(run, &attempt_input);
	context = &run->host->upstreams_http;
	if (run->input.facts.is_service_call)
		return upstream_http_adapter.call(
		    context, &attempt_input, run->queue);
	if (attempt_input.position > 0)
		return upstream_http_adapter.resume(
		    context, &attempt_input, run->queue);
	return upstream_http_adapter.generate(
	    context, &attempt_input, run->queue);
}

static void
handle_piece(struct request_run *run, struct piece *piece)
{
	switch (piece->kind) {
	case PIECE_KIND_HEAD:
		run->status = piece->status;
		snprintf(run->answer_type, sizeof(run->answer_type), "%s",
		    piece->content_type);
		run->stage = ATTEMPT_STREAMING;
		set_stall_deadline(run, PIECE_INTERVAL_EXPECTED_MS);
		break;
	case PIECE_KIND_TEXT:
		handle_text(run, piece);
		break;
	case PIECE_KIND_END:
		handle_end(run, piece);
		break;
	case PIECE_KIND_FAILED:
		handle_failure(run, piece);
		break;
	}
}

static void
handle_text(struct request_run *run, const struct piece *piece)
{
	struct stream_piece part = {.attempt = piece->attempt,
	    .sequence = piece->sequence,
	    .bytes = piece->text,
	    .size = piece->text_size};
	enum error_code error;

	/* Text of another request must never reach this caller. */
	if (piece->request_id != run->input.facts.id)
		return;
	if (run->stage != ATTEMPT_STREAMING)
		record_first_token(run);
	run->stage = ATTEMPT_STREAMING;
	run->last_piece_at_ms = host_now_ms();
	set_stall_deadline(run, PIECE_INTERVAL_EXPECTED_MS);
	error = stream_assembler_add(&run->assembler, &part);
	if (error != ERROR_NONE)
		fail_attempt(run, ATTEMPT_ERROR, error, 0);
}

static void
record_first_token(struct request_run *run)
{
	struct warmup_answer answer = {0};
	const struct fleet_entry *entry;
	const struct fleet_view *view;
	struct warmup_settings settings;
	struct host *host = run->host;
	int64_t now_ms;

	now_ms = host_now_ms();
	if (run->ticket.needs_group) {
		run->first_token_at_ms = now_ms;
		request_metrics_record_first_token(&host->metrics, "group",
		    run->input.facts.prompt_tokens,
		    now_ms - run->input.facts.admitted_ms);
		return;
	}
	wait_line_record_first_token(&host->wait_line, &run->ticket);
	prefix_index_record(&host->prefixes, &run->input.facts,
	    run->ticket.assignment.upstream_id, now_ms);
	if (run->first_token_at_ms == 0) {
		run->first_token_at_ms = now_ms;
		request_metrics_record_first_token(&host->metrics,
		    run->ticket.assignment.data_centre,
		    run->input.facts.prompt_tokens,
		    now_ms - run->input.facts.admitted_ms);
	}
	answer.prompt_tokens = run->input.facts.prompt_tokens;
	answer.first_token_ms = now_ms - run->dispatched_at_ms;
	answer.ahead_tokens = run->ticket.assignment.ahead_tokens;
	settings = warmup_default_settings();
	view = fleet_lock(&host->fleet);
	entry = fleet_view_find(view, run->ticket.assignment.upstream_id);
	if (entry != NULL) {
		host_report_warmth(host, &run->ticket.assignment,
		    warmup_classify(
			&entry->upstream->record.limits, &settings, &answer));
	}
	fleet_unlock(view);
}

static void
handle_end(struct request_run *run, const struct piece *piece)
{
	enum error_code error;

	if (piece->request_id != run->input.facts.id)
		return;
	run->stopped_by_length = piece->stopped_by_length;
	run->answer_tokens = piece->tokens;
	error = stream_assembler_end(
	    &run->assembler, piece->attempt, piece->piece_count);
	if (error == ERROR_NONE)
		error = stream_assembler_close(&run->assembler);
	if (error != ERROR_NONE) {
		fail_attempt(run, ATTEMPT_ERROR, error, 0);
		return;
	}
	run->may_have_run = true;
	release_attempt(run, false);
	host_report_completed(run->host, &run->key);
	request_run_end(run, ERROR_NONE, REQUEST_OUTCOME_DONE, 0);
}

static void
handle_failure(struct request_run *run, const struct piece *piece)
{
	struct host *host = run->host;

	if (run->ticket.needs_group) {
		release_attempt(run, false);
		request_run_end(
		    run, piece->error, piece->outcome, piece->retry_after_ms);
		return;
	}
	if (piece->outcome == REQUEST_OUTCOME_NOT_RUN) {
		run->stage = ATTEMPT_NOT_SENT;
		if (piece->error == ERROR_NO_CAPACITY)
			host_report_warmth(
			    host, &run->ticket.assignment, WARMUP_COLD);
		fail_attempt(run,
		    piece->error == ERROR_CONNECTION ? ATTEMPT_CONNECTION
						     : ATTEMPT_REFUSED,
		    piece->error, piece->retry_after_ms);
		return;
	}
	run->upstream_says_failed = piece->outcome == REQUEST_OUTCOME_FAILED;
	run->upstream_crashed = false;
	if (piece->error == ERROR_CONNECTION)
		request_crash_suspect(run);
	fail_attempt(run,
	    piece->error == ERROR_UPSTREAM_FAILED ? ATTEMPT_ERROR
						  : ATTEMPT_CONNECTION,
	    piece->error, piece->retry_after_ms);
}

static void
fail_attempt(struct request_run *run, enum attempt_failure failure,
    enum error_code cause, int64_t retry_after_ms)
{
	struct retry_decision decision;
	struct attempt_report report;
	struct host *host = run->host;

	if (run->ticket.needs_group) {
		release_attempt(run, false);
		request_run_end(
		    run, cause, REQUEST_OUTCOME_FAILED, retry_after_ms);
		return;
	}
	report = describe_attempt(run, failure);
	decision = retry_decide(&host->retry, &host->retry_budget,
	    &run->input.facts, &report, g_random_double(), host_now_ms());
	if (run->stage != ATTEMPT_NOT_SENT)
		run->may_have_run = true;
	/* Only the upstream that generates the stream can resume it. */
	run->resumes =
	    decision.action == RETRY_RESUME && failure != ATTEMPT_REFUSED;
	if (decision.action == RETRY_RESUME && !run->resumes) {
		decision.action = RETRY_GIVE_UP;
		cause = ERROR_UPSTREAM_FAILED;
	}
	if (!run->resumes)
		avoid_upstream(run, failure);
	span_end(&host->spans, &run->attempt_span, error_name(cause));
	memset(&run->attempt_span, 0, sizeof(run->attempt_span));
	release_attempt(run, failure != ATTEMPT_REFUSED && !run->resumes);
	if (decision.action == RETRY_GIVE_UP) {
		event_log_write(EVENT_REQUEST_FAILED, "%s after attempt %u",
		    error_name(cause), run->attempt);
		request_run_end(run, cause, decision.outcome,
		    retry_after_ms > 0 ? retry_after_ms
		    : decision.outcome == REQUEST_OUTCOME_NOT_RUN
			? RETRY_AFTER_MS
			: 0);
		return;
	}
	request_metrics_record_retry(&host->metrics, cause);
	event_log_write(EVENT_REQUEST_RETRIED, "%s after attempt %u",
	    error_name(cause), run->attempt);
	if (decision.action == RETRY_RERUN)
		restart_answer(run);
	run->resume_at_ms =
	    host_now_ms() + request_crash_pause_ms(run, decision.pause_ms);
	run->state = REQUEST_STATE_PAUSED;
}

static struct attempt_report
describe_attempt(const struct request_run *run, enum attempt_failure failure)
{
	struct attempt_report report = {0};

	report.attempt = run->attempt;
	report.stage = run->stage;
	report.failure = failure;
	/* Without a stream, the caller has no text yet: a rerun is allowed. */
	report.delivered = run->input.is_stream
			       ? stream_assembler_position(&run->assembler)
			       : 0;
	report.received = stream_assembler_position(&run->assembler);
	report.upstream_runs = !run->upstream_crashed;
	report.may_have_run = run->may_have_run;
	report.can_resume = !run->input.facts.is_service_call;
	report.expected_ms = run->ticket.assignment.end_ms;
	report.says_failed = run->upstream_says_failed;
	return report;
}

static void
restart_answer(struct request_run *run)
{
	struct stream_assembler_ops ops = {deliver_text, run};

	g_string_set_size(run->text, 0);
	stream_assembler_finish(&run->assembler);
	stream_assembler_init(&run->assembler, &ops, REORDER_BYTES_MAX);
	run->answer_tokens = 0;
}

static void
release_attempt(struct request_run *run, bool cancel_upstream)
{
	struct upstream_target target;

	if (run->queue == NULL)
		return;
	piece_queue_close(run->queue);
	piece_queue_release(run->queue);
	run->queue = NULL;
	/* A group run cancels the request at its upstreams itself. */
	if (cancel_upstream && run->stage != ATTEMPT_NOT_SENT &&
	    !run->ticket.needs_group) {
		target = request_run_target(run);
		upstream_http_adapter.cancel(
		    &run->host->upstreams_http, &target, run->input.facts.id);
	}
}

static void
avoid_upstream(struct request_run *run, enum attempt_failure failure)
{
	struct wait_ticket *ticket = &run->ticket;
	const struct fleet_entry *entry;
	const struct fleet_view *view;

	if (ticket->excluded_count < WAIT_EXCLUDED_MAX)
		ticket->excluded[ticket->excluded_count++] =
		    ticket->assignment.upstream_id;
	if (failure != ATTEMPT_STALLED && failure != ATTEMPT_CONNECTION)
		return;
	view = fleet_lock(&run->host->fleet);
	entry = fleet_view_find(view, ticket->assignment.upstream_id);
	if (entry != NULL)
		fleet_upstream_eject(
		    entry->upstream, host_now_ms() + UPSTREAM_AVOIDANCE_MS);
	fleet_unlock(view);
}

static enum error_code
deliver_text(void *context, uint64_t sequence, const void *bytes, size_t size)
{
	struct request_run *run = context;

	(void)sequence;
	g_string_append_len(run->text, bytes, (gssize)size);
	return ERROR_NONE;
}

static void
set_stall_deadline(struct request_run *run, double expected_ms)
{
	run->stall_deadline_ms = retry_stall_at(&run->host->retry, expected_ms,
	    host_now_ms(), run->input.facts.deadline_ms);
}
