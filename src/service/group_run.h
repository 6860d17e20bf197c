/**
 * @file group_run.h
 * Runs a prompt that is larger than one engine over a group of them.
 *
 * It looks like an attempt at one upstream: what comes back is pushed to the
 * attempt's queue, whose last piece is END or FAILED, and closing the queue
 * gives it up. Each segment is prefilled where its memory is reserved, its
 * KV cache is handed to the next, and the last one generates the answer. The
 * group is released in one place, however it ends.
 */
#ifndef GROUP_RUN_H
#define GROUP_RUN_H

#include "base/error_code.h"
#include "service/host.h"
#include "transport/piece_queue.h"
#include "transport/upstream_adapter.h"

/** Starts it on a thread of its own; @p call is the call as for one upstream,
 * its target apart. Errors: ERROR_NO_MEMORY; then nothing is pushed. */
enum error_code group_run_start(struct host *host,
    const struct request_facts *facts, const struct upstream_call *call,
    struct piece_queue *queue);

#endif
