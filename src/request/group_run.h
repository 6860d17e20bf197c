/**
 * @file group_run.h
 * Runs a prompt that is too large for one engine on a group of engines.
 *
 * The caller uses a group like an attempt at one upstream: the answer's pieces
 * are pushed to the attempt's queue, the last piece is END or FAILED, and
 * closing the queue cancels the run. The prompt is split into segments. Each
 * engine prefills the segment that it has reserved memory for, then its KV
 * cache is copied to the next engine, and the last engine generates the answer.
 * The group's memory is released in one place, whether the run succeeds or
 * fails.
 */
#ifndef GROUP_RUN_H
#define GROUP_RUN_H

#include "base/error_code.h"
#include "host/host.h"
#include "transport/piece_queue.h"
#include "transport/upstream_adapter.h"

/** Starts a group run on a new thread. @p input is filled as for one upstream;
 * its target is ignored. Returns ERROR_NO_MEMORY if the thread can't be
 * started; then nothing is pushed to @p queue. */
enum error_code group_run_start(struct host *host,
    const struct request_facts *facts, const struct attempt_input *input,
    struct piece_queue *queue);

#endif
