#include "host/mailbox.h"

#include <stdatomic.h>
#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#define MS_PER_S  1000
#define NS_PER_MS 1000000
#define NS_PER_S  1000000000

struct mailbox_call {
	_Atomic uint32_t references;
	const struct mailbox_ops *ops;
	struct mailbox_call *next;
	pthread_cond_t completed;
	bool is_completed;
	bool is_abandoned; /* The request thread's wait timed out. */
	enum error_code outcome;
	max_align_t body[];
};

static enum error_code enqueue(
    struct mailbox *mailbox, struct mailbox_call *call);
static struct mailbox_call *dequeue_all(struct mailbox *mailbox);
static void add_ms(struct timespec *time, int64_t ms);

enum error_code
mailbox_init(struct mailbox *mailbox, uint32_t capacity)
{
	memset(mailbox, 0, sizeof(*mailbox));
	mailbox->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (mailbox->event_fd < 0)
		return ERROR_IO;
	pthread_mutex_init(&mailbox->mutex, NULL);
	mailbox->capacity = capacity;
	return ERROR_NONE;
}

void
mailbox_close(struct mailbox *mailbox)
{
	struct mailbox_call *call, *next;

	pthread_mutex_lock(&mailbox->mutex);
	mailbox->is_closed = true;
	pthread_mutex_unlock(&mailbox->mutex);
	for (call = dequeue_all(mailbox); call != NULL; call = next) {
		next = call->next;
		mailbox_complete(mailbox, call, ERROR_SHUTTING_DOWN);
		mailbox_call_unref(call);
	}
}

void
mailbox_finish(struct mailbox *mailbox)
{
	mailbox_close(mailbox);
	close(mailbox->event_fd);
	pthread_mutex_destroy(&mailbox->mutex);
}

struct mailbox_call *
mailbox_call_new(const struct mailbox_ops *ops, size_t body_size)
{
	struct mailbox_call *call;
	pthread_condattr_t attributes;

	call = g_malloc0(sizeof(*call) + body_size);
	atomic_init(&call->references, 1);
	call->ops = ops;
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&call->completed, &attributes);
	pthread_condattr_destroy(&attributes);
	return call;
}

void *
mailbox_call_body(struct mailbox_call *call)
{
	return call->body;
}

void
mailbox_call_unref(struct mailbox_call *call)
{
	if (atomic_fetch_sub(&call->references, 1) > 1)
		return;
	if (call->ops->clear != NULL)
		call->ops->clear(call->body);
	pthread_cond_destroy(&call->completed);
	g_free(call);
}

enum error_code
mailbox_await(
    struct mailbox *mailbox, struct mailbox_call *call, int64_t timeout_ms)
{
	struct timespec until;
	enum error_code error;

	clock_gettime(CLOCK_MONOTONIC, &until);
	add_ms(&until, timeout_ms > 0 ? timeout_ms : 0);
	mailbox_call_ref(call);
	error = mailbox_post(mailbox, call);
	if (error != ERROR_NONE)
		return error;
	pthread_mutex_lock(&mailbox->mutex);
	while (!call->is_completed) {
		if (pthread_cond_timedwait(
			&call->completed, &mailbox->mutex, &until) != 0)
			break;
	}
	call->is_abandoned = !call->is_completed;
	error = call->is_completed ? call->outcome : ERROR_TIMEOUT;
	pthread_mutex_unlock(&mailbox->mutex);
	return error;
}

enum error_code
mailbox_post(struct mailbox *mailbox, struct mailbox_call *call)
{
	enum error_code error;
	uint64_t one;

	pthread_mutex_lock(&mailbox->mutex);
	error = enqueue(mailbox, call);
	pthread_mutex_unlock(&mailbox->mutex);
	if (error != ERROR_NONE) {
		mailbox_call_unref(call);
		return error;
	}
	one = 1;
	/* The write fails only if the eventfd's counter is full; the eventfd is
	 * readable then, so the coordination thread wakes up anyway. */
	if (write(mailbox->event_fd, &one, sizeof(one)) < 0)
		return ERROR_NONE;
	return ERROR_NONE;
}

int
mailbox_fd(const struct mailbox *mailbox)
{
	return mailbox->event_fd;
}

void
mailbox_run(struct mailbox *mailbox, void *coordinator)
{
	struct mailbox_call *call, *next;
	uint64_t posted;
	bool is_abandoned;

	/* Reset the eventfd before taking the queue: a call posted in between
	 * then causes another wake-up instead of being missed. */
	if (read(mailbox->event_fd, &posted, sizeof(posted)) < 0)
		posted = 0;
	for (call = dequeue_all(mailbox); call != NULL; call = next) {
		next = call->next;
		pthread_mutex_lock(&mailbox->mutex);
		is_abandoned = call->is_abandoned;
		pthread_mutex_unlock(&mailbox->mutex);
		if (!is_abandoned)
			call->ops->run(coordinator, call);
		mailbox_call_unref(call);
	}
}

struct mailbox_call *
mailbox_call_ref(struct mailbox_call *call)
{
	atomic_fetch_add(&call->references, 1);
	return call;
}

void
mailbox_complete(
    struct mailbox *mailbox, struct mailbox_call *call, enum error_code outcome)
{
	pthread_mutex_lock(&mailbox->mutex);
	if (!call->is_completed) {
		call->is_completed = true;
		call->outcome = outcome;
		pthread_cond_broadcast(&call->completed);
	}
	pthread_mutex_unlock(&mailbox->mutex);
}

static enum error_code
enqueue(struct mailbox *mailbox, struct mailbox_call *call)
{
	if (mailbox->is_closed)
		return ERROR_SHUTTING_DOWN;
	if (mailbox->count == mailbox->capacity)
		return ERROR_TABLE_FULL;
	call->next = NULL;
	if (mailbox->last == NULL)
		mailbox->first = call;
	else
		mailbox->last->next = call;
	mailbox->last = call;
	mailbox->count++;
	return ERROR_NONE;
}

static struct mailbox_call *
dequeue_all(struct mailbox *mailbox)
{
	struct mailbox_call *first;

	pthread_mutex_lock(&mailbox->mutex);
	first = mailbox->first;
	mailbox->first = NULL;
	mailbox->last = NULL;
	mailbox->count = 0;
	pthread_mutex_unlock(&mailbox->mutex);
	return first;
}

static void
add_ms(struct timespec *time, int64_t ms)
{
	time->tv_sec += ms / MS_PER_S;
	time->tv_nsec += ms % MS_PER_S * NS_PER_MS;
	if (time->tv_nsec >= NS_PER_S) {
		time->tv_sec++;
		time->tv_nsec -= NS_PER_S;
	}
}
