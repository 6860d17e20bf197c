/**
 * @file request_run_parts.h
 * Declarations shared by the source files of a request's run only.
 */
#ifndef REQUEST_RUN_PARTS_H
#define REQUEST_RUN_PARTS_H

#include "request/request_run.h"

/** Retry-After of an error whose cause may soon be over. */
#define RETRY_AFTER_MS 1000

/* request_run.c */

/** Makes the result final, leaves the queue and records metrics, spans and the
 * claim's outcome. */
void request_run_end(struct request_run *run, enum error_code code,
    enum request_outcome outcome, int64_t retry_after_ms);

/** Upstream that the request was last assigned. */
struct upstream_target request_run_target(const struct request_run *run);

/* request_claim.c */

/** Claims the idempotency key for this request. If that fails, ends the run and
 * returns false. */
bool request_claim_begin(struct request_run *run);
/** Records with the claim how this request ended, without waiting for it. */
void request_claim_finish(
    struct request_run *run, enum request_outcome outcome);

/* request_crash.c */

/** Asks the upstream of an attempt whose connection broke whether it still runs;
 * if not, reports that it crashed under this request. Sets upstream_crashed. */
void request_crash_suspect(struct request_run *run);
/** Pause before the next attempt: @p pause_ms, but after a crash at least until
 * the quarantine has judged it. */
uint32_t request_crash_pause_ms(
    const struct request_run *run, uint32_t pause_ms);
/** Asks the quarantine, after a crash, whether the request may run again,
 * possibly only alone on its upstream. If not, ends the run and returns
 * false. */
bool request_crash_may_rerun(struct request_run *run);

#endif
