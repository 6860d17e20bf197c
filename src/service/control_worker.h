/**
 * @file control_worker.h
 * A few threads for calls that wait for an answer, off the coordination
 * thread: KV memory, orders.
 */
#ifndef CONTROL_WORKER_H
#define CONTROL_WORKER_H

#include <stddef.h>

#include <glib.h>

#include "base/error_code.h"

/** The threads. */
struct control_worker {
	GThreadPool *pool; /**< Runs jobs in the order posted. */
	void *owner;	   /**< Passed to jobs. */
};

/** Starts at most @p threads threads. Errors: ERROR_NO_MEMORY. */
enum error_code control_worker_init(
    struct control_worker *worker, unsigned int threads, void *owner);
/** Runs @p run with a copy of @p arguments on one of the threads. */
void control_worker_post(struct control_worker *worker,
    void (*run)(void *owner, void *arguments), const void *arguments,
    size_t size);
/** Waits for all jobs and ends the threads. */
void control_worker_finish(struct control_worker *worker);

#endif
