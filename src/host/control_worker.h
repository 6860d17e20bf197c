/**
 * @file control_worker.h
 * A small thread pool for control calls to engines, such as reserving KV memory
 * and sending orders.
 *
 * These calls block until the engine answers, so they must not run on the
 * coordination thread.
 */
#ifndef CONTROL_WORKER_H
#define CONTROL_WORKER_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"

#define CONTROL_WORKER_THREADS_MAX 32 /**< Threads of one worker. */

struct control_job;

/** The threads and the queue of their jobs. */
struct control_worker {
	void *owner; /**< First argument of every job. NULL only before the
			  worker is started and after it has finished. */
	pthread_mutex_t mutex;	   /**< Guards the queue and is_stopping. */
	pthread_cond_t wake;	   /**< Signalled when a job is queued or the
					 worker is stopping. */
	struct control_job *first; /**< Oldest queued job, NULL if none. */
	struct control_job *last;  /**< Newest queued job, NULL if none. */
	bool is_stopping;	   /**< Threads end when the queue is empty. */
	uint32_t thread_count;	   /**< Number of threads started. */
	pthread_t threads[CONTROL_WORKER_THREADS_MAX]; /**< Thread handles. */
};

/** Starts @p threads threads, 1 to CONTROL_WORKER_THREADS_MAX. Errors:
 * ERROR_INVALID_ARGUMENT, or ERROR_NO_MEMORY if a thread can't be started. */
enum error_code control_worker_init(
    struct control_worker *worker, uint32_t threads, void *owner);
/** Queues a job that calls @p run with a copy of the @p size bytes at
 * @p arguments on one of the threads. */
void control_worker_post(struct control_worker *worker,
    void (*run)(void *owner, void *arguments), const void *arguments,
    size_t size);
/** Runs all queued jobs and ends the threads. Does nothing on a worker that is
 * all zero, as one that was never started. */
void control_worker_finish(struct control_worker *worker);

#endif
