#include "transport/piece_queue.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/monotonic_clock.h"

struct piece_queue {
	pthread_mutex_t lock;	/* Protects the fields below. */
	pthread_cond_t changed; /* Signalled on push, pop and close. */
	uint32_t reference_count;
	bool closed;
	uint32_t capacity; /* Size of pieces, a ring buffer. */
	uint32_t first;	   /* Index of the oldest piece. */
	uint32_t count;	   /* Number of queued pieces. */
	struct piece pieces[];
};

struct piece_queue *
piece_queue_create(uint32_t capacity)
{
	struct piece_queue *queue;
	pthread_condattr_t attributes;

	if (capacity == 0)
		return NULL;
	queue = calloc(1, sizeof(*queue) + capacity * sizeof(queue->pieces[0]));
	if (queue == NULL)
		return NULL;
	queue->capacity = capacity;
	queue->reference_count = 1;
	pthread_mutex_init(&queue->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&queue->changed, &attributes);
	pthread_condattr_destroy(&attributes);
	return queue;
}

struct piece_queue *
piece_queue_hold(struct piece_queue *queue)
{
	pthread_mutex_lock(&queue->lock);
	queue->reference_count++;
	pthread_mutex_unlock(&queue->lock);
	return queue;
}

void
piece_queue_release(struct piece_queue *queue)
{
	uint32_t left;

	if (queue == NULL)
		return;
	pthread_mutex_lock(&queue->lock);
	left = --queue->reference_count;
	pthread_mutex_unlock(&queue->lock);
	if (left > 0)
		return;
	for (; queue->count > 0; queue->count--) {
		piece_finish(&queue->pieces[queue->first]);
		queue->first = (queue->first + 1) % queue->capacity;
	}
	pthread_cond_destroy(&queue->changed);
	pthread_mutex_destroy(&queue->lock);
	free(queue);
}

enum error_code
piece_queue_push(struct piece_queue *queue, const struct piece *piece)
{
	enum error_code error;

	error = ERROR_CANCELLED;
	pthread_mutex_lock(&queue->lock);
	while (!queue->closed && queue->count == queue->capacity)
		pthread_cond_wait(&queue->changed, &queue->lock);
	if (!queue->closed) {
		queue->pieces[(queue->first + queue->count) % queue->capacity] =
		    *piece;
		queue->count++;
		pthread_cond_broadcast(&queue->changed);
		error = ERROR_NONE;
	}
	pthread_mutex_unlock(&queue->lock);
	if (error != ERROR_NONE)
		free(piece->text);
	return error;
}

bool
piece_queue_closed(struct piece_queue *queue)
{
	bool closed;

	pthread_mutex_lock(&queue->lock);
	closed = queue->closed;
	pthread_mutex_unlock(&queue->lock);
	return closed;
}

enum error_code
piece_queue_pop(
    struct piece_queue *queue, int64_t deadline_ms, struct piece *piece)
{
	struct timespec until;
	enum error_code error;

	error = ERROR_NONE;
	until = clock_timespec(deadline_ms);
	pthread_mutex_lock(&queue->lock);
	while (queue->count == 0 && error == ERROR_NONE) {
		if (queue->closed)
			error = ERROR_CANCELLED;
		else if (pthread_cond_timedwait(
			     &queue->changed, &queue->lock, &until) != 0)
			error = ERROR_TIMEOUT;
	}
	if (queue->count > 0) {
		*piece = queue->pieces[queue->first];
		queue->first = (queue->first + 1) % queue->capacity;
		queue->count--;
		pthread_cond_broadcast(&queue->changed);
		error = ERROR_NONE;
	}
	pthread_mutex_unlock(&queue->lock);
	return error;
}

void
piece_queue_close(struct piece_queue *queue)
{
	pthread_mutex_lock(&queue->lock);
	queue->closed = true;
	pthread_cond_broadcast(&queue->changed);
	pthread_mutex_unlock(&queue->lock);
}

void
piece_finish(struct piece *piece)
{
	free(piece->text);
	piece->text = NULL;
	piece->text_size = 0;
}
