#include "service/control_worker.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

struct job {
	/* Orders the arguments for tools that can't see into the pool. */
	_Atomic bool is_posted;
	void (*run)(void *owner, void *arguments);
	max_align_t arguments[];
};

static void run_job(gpointer data, gpointer context);

enum error_code
control_worker_init(
    struct control_worker *worker, unsigned int threads, void *owner)
{
	worker->owner = owner;
	worker->pool =
	    g_thread_pool_new(run_job, worker, (gint)threads, FALSE, NULL);
	return worker->pool == NULL ? ERROR_NO_MEMORY : ERROR_NONE;
}

void
control_worker_post(struct control_worker *worker,
    void (*run)(void *owner, void *arguments), const void *arguments,
    size_t size)
{
	struct job *job;

	job = g_malloc(sizeof(*job) + size);
	job->run = run;
	memcpy(job->arguments, arguments, size);
	atomic_store(&job->is_posted, true);
	g_thread_pool_push(worker->pool, job, NULL);
}

void
control_worker_finish(struct control_worker *worker)
{
	if (worker->pool != NULL)
		g_thread_pool_free(worker->pool, FALSE, TRUE);
	worker->pool = NULL;
}

static void
run_job(gpointer data, gpointer context)
{
	struct control_worker *worker = context;
	struct job *job = data;

	if (atomic_load(&job->is_posted))
		job->run(worker->owner, job->arguments);
	g_free(job);
}
