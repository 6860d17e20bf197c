/*
 * The claim of a request's idempotency key, by which only one of the requests
 * with the same key runs.
 */
#include <stdio.h>

#include "host/host_calls.h"
#include "request/request_run_parts.h"

#define CLAIM_TIMEOUT_MS 3000 /* Longest wait for a claim's result. */

/* How long finishing a claim is tried, without anybody waiting for it. */
#define CLAIM_FINISH_TIMEOUT_MS 60000

/* Ends the run because its claim was refused, with the outcome of the request
 * that holds the key. */
static void end_with_claim_result(
    struct request_run *run, const struct command_result *result);
static void fill_claim(const struct request_run *run, struct command *command);

bool
request_claim_begin(struct request_run *run)
{
	struct command command = {.type = COMMAND_CLAIM_BEGIN};
	struct command_result result;
	enum error_code error;
	int64_t left_ms;

	fill_claim(run, &command);
	left_ms = run->input.facts.deadline_ms - host_now_ms();
	if (left_ms > CLAIM_TIMEOUT_MS)
		left_ms = CLAIM_TIMEOUT_MS;
	error = host_submit(run->host, &command, left_ms, &result);
	if (error == ERROR_NONE && result.error == ERROR_NONE) {
		run->has_claim = true;
		run->key_is_unused = true;
		return true;
	}
	if (error == ERROR_NONE) {
		end_with_claim_result(run, &result);
		return false;
	}
	/* This request has not been dispatched and never will be. A claim that
	 * may have been made is finished with that outcome; what the key was
	 * used for before is not known. */
	run->has_claim = error == ERROR_OUTCOME_UNKNOWN;
	request_run_end(run,
	    error == ERROR_OUTCOME_UNKNOWN ? ERROR_NO_QUORUM : error,
	    REQUEST_OUTCOME_NOT_RUN, RETRY_AFTER_MS);
	return false;
}

void
request_claim_finish(struct request_run *run, enum request_outcome outcome)
{
	struct command command = {.type = COMMAND_CLAIM_FINISH};

	fill_claim(run, &command);
	command.body.claim.outcome = outcome;
	host_post(run->host, &command, CLAIM_FINISH_TIMEOUT_MS);
	run->has_claim = false;
}

static void
end_with_claim_result(
    struct request_run *run, const struct command_result *result)
{
	enum request_outcome outcome;
	enum error_code error;

	error = result->error;
	outcome = REQUEST_OUTCOME_NOT_RUN;
	if (result->claim_state == CLAIM_STATE_RUNNING)
		outcome = REQUEST_OUTCOME_UNKNOWN;
	else if (result->claim_state == CLAIM_STATE_ENDED)
		outcome = result->claim_outcome;
	/* The result itself reports that the claim may have been made, so it
	 * must be finished. */
	if (error == ERROR_OUTCOME_UNKNOWN || error == ERROR_TIMEOUT) {
		run->has_claim = true;
		error = ERROR_NO_QUORUM;
	}
	/* The leader has looked, and found no request with the key. */
	run->key_is_unused = error == ERROR_TABLE_FULL;
	request_run_end(run, error, outcome,
	    outcome == REQUEST_OUTCOME_UNKNOWN || error == ERROR_NO_QUORUM
		? RETRY_AFTER_MS
		: 0);
}

static void
fill_claim(const struct request_run *run, struct command *command)
{
	struct command_claim *claim = &command->body.claim;

	snprintf(claim->client_account, sizeof(claim->client_account), "%s",
	    run->input.facts.client_account);
	snprintf(claim->idempotency_key, sizeof(claim->idempotency_key), "%s",
	    run->input.headers.idempotency_key);
	claim->fingerprint = run->input.facts.fingerprint;
	claim->host_id = run->host->settings.host_id;
	claim->host_incarnation = run->host->incarnation;
	claim->request_id = run->input.facts.id;
}
