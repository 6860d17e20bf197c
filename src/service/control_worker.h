/**
 * @file control_worker.h
 * A few threads for calls that wait for an answer, off the coordination
 * thread: KV memory, orders.
 */
#ifndef CONTROL_WORKER_H
#define CONTROL_WORKER_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"

#define CONTROL_THREADS_MAX 32 /**< Threads of one worker. */

struct control_job;

/** The threads and the jobs that wait for them. */
struct control_worker {
	void *owner;		   /**< Passed to jobs. */
	pthread_mutex_t mutex;	   /**< Guards what follows. */
	pthread_cond_t changed;	   /**< A job came, or it is stopping. */
	struct control_job *first; /**< Oldest job that waits. */
	struct control_job *last;  /**< Newest job that waits. */
	bool is_stopping;	   /**< Threads end when no job waits. */
	uint32_t thread_count;	   /**< Threads below. */
	pthread_t threads[CONTROL_THREADS_MAX]; /**< The threads. */
};

/** Starts @p threads threads. Errors: ERROR_INVALID_ARGUMENT,
 * ERROR_NO_MEMORY. */
enum error_code control_worker_init(
    struct control_worker *worker, uint32_t threads, void *owner);
/** Runs @p run with a copy of @p arguments on one of the threads. */
void control_worker_post(struct control_worker *worker,
    void (*run)(void *owner, void *arguments), const void *arguments,
    size_t size);
/** Runs all jobs that wait and ends the threads; none if it never began. */
void control_worker_finish(struct control_worker *worker);

#endif
