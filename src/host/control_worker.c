#include "host/control_worker.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

struct control_job {
	struct control_job *next;
	void (*run)(void *owner, void *arguments);
	max_align_t arguments[];
};

static void *worker_thread(void *argument);
static struct control_job *take_job(struct control_worker *worker);

enum error_code
control_worker_init(
    struct control_worker *worker, uint32_t threads, void *owner)
{
	memset(worker, 0, sizeof(*worker));
	if (threads == 0 || threads > CONTROL_WORKER_THREADS_MAX)
		return ERROR_INVALID_ARGUMENT;
	worker->owner = owner;
	pthread_mutex_init(&worker->mutex, NULL);
	pthread_cond_init(&worker->wake, NULL);
	while (worker->thread_count < threads) {
		if (pthread_create(&worker->threads[worker->thread_count], NULL,
			worker_thread, worker) != 0) {
			control_worker_finish(worker);
			return ERROR_NO_MEMORY;
		}
		worker->thread_count++;
	}
	return ERROR_NONE;
}

void
control_worker_post(struct control_worker *worker,
    void (*run)(void *owner, void *arguments), const void *arguments,
    size_t size)
{
	struct control_job *job;

	job = g_malloc(sizeof(*job) + size);
	job->next = NULL;
	job->run = run;
	memcpy(job->arguments, arguments, size);
	pthread_mutex_lock(&worker->mutex);
	if (worker->last == NULL)
		worker->first = job;
	else
		worker->last->next = job;
	worker->last = job;
	pthread_cond_signal(&worker->wake);
	pthread_mutex_unlock(&worker->mutex);
}

void
control_worker_finish(struct control_worker *worker)
{
	uint32_t i;

	if (worker->owner == NULL)
		return;
	pthread_mutex_lock(&worker->mutex);
	worker->is_stopping = true;
	pthread_cond_broadcast(&worker->wake);
	pthread_mutex_unlock(&worker->mutex);
	for (i = 0; i < worker->thread_count; i++)
		pthread_join(worker->threads[i], NULL);
	pthread_cond_destroy(&worker->wake);
	pthread_mutex_destroy(&worker->mutex);
	memset(worker, 0, sizeof(*worker));
}

static void *
worker_thread(void *argument)
{
	struct control_worker *worker = argument;
	struct control_job *job;

	while ((job = take_job(worker)) != NULL) {
		job->run(worker->owner, job->arguments);
		g_free(job);
	}
	return NULL;
}

/* Removes the oldest job from the queue, waiting for one if there is none.
 * Returns NULL when the worker is stopping and the queue is empty. */
static struct control_job *
take_job(struct control_worker *worker)
{
	struct control_job *job;

	pthread_mutex_lock(&worker->mutex);
	while (worker->first == NULL && !worker->is_stopping)
		pthread_cond_wait(&worker->wake, &worker->mutex);
	job = worker->first;
	if (job != NULL)
		worker->first = job->next;
	if (worker->first == NULL)
		worker->last = NULL;
	pthread_mutex_unlock(&worker->mutex);
	return job;
}
