#include "transport/timer.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define HEAP_CAPACITY_FIRST 16 /* First capacity; stale entries allowed. */

/* A subscribed timer, an item of the handle table. */
struct timer_entry {
	int64_t period_ms; /* Period, 0 for a timer that runs once. */
	struct timer_callback callback;
};

static enum error_code subscribe(struct timer_service *service,
    int64_t delay_ms, int64_t period_ms, struct timer_callback callback,
    struct handle *timer);
static enum error_code push_heap(
    struct timer_service *service, int64_t due_ms, struct handle timer);
static void pop_heap(struct timer_service *service);
static void drop_stale(struct timer_service *service);
static void compact_heap(struct timer_service *service);
static void sift_up(struct timer_service *service, uint32_t at);
static void sift_down(struct timer_service *service, uint32_t at);
static bool is_earlier(
    const struct timer_due *left, const struct timer_due *right);
static void run_earliest(struct timer_service *service);
static int64_t next_period_ms(
    const struct timer_service *service, int64_t due_ms, int64_t period_ms);

void
timer_init(struct timer_service *service, uint32_t capacity, int64_t now_ms)
{
	memset(service, 0, sizeof(*service));
	handle_table_init(
	    &service->timers, sizeof(struct timer_entry), capacity);
	service->now_ms = now_ms;
}

void
timer_init_clock(
    struct timer_service *service, uint32_t capacity, struct timer_clock clock)
{
	timer_init(service, capacity, clock.now_ms(clock.context));
	service->clock = clock;
}

void
timer_finish(struct timer_service *service)
{
	handle_table_finish(&service->timers);
	free(service->heap);
	memset(service, 0, sizeof(*service));
}

enum error_code
timer_subscribe_once(struct timer_service *service, int64_t delay_ms,
    struct timer_callback callback, struct handle *timer)
{
	return subscribe(service, delay_ms, 0, callback, timer);
}

enum error_code
timer_subscribe_every(struct timer_service *service, int64_t period_ms,
    struct timer_callback callback, struct handle *timer)
{
	if (period_ms < 1)
		return ERROR_INVALID_ARGUMENT;
	return subscribe(service, period_ms, period_ms, callback, timer);
}

void
timer_cancel(struct timer_service *service, struct handle *timer)
{
	handle_table_remove(&service->timers, *timer);
	memset(timer, 0, sizeof(*timer));
	drop_stale(service);
}

int64_t
timer_now(const struct timer_service *service)
{
	if (service->clock.now_ms == NULL)
		return service->now_ms;
	return service->clock.now_ms(service->clock.context);
}

int64_t
timer_next_due_ms(const struct timer_service *service)
{
	if (service->heap_count == 0)
		return TIMER_NEVER;
	return service->heap[0].due_ms;
}

void
timer_advance(struct timer_service *service, int64_t now_ms)
{
	while (service->heap_count > 0 && timer_next_due_ms(service) <= now_ms)
		run_earliest(service);
	if (now_ms > service->now_ms)
		service->now_ms = now_ms;
}

void
timer_lag_start(struct timer_lag *lag, const struct timer_service *service)
{
	lag->last_ms = timer_now(service);
}

int64_t
timer_lag_measure(struct timer_lag *lag, const struct timer_service *service,
    int64_t period_ms)
{
	int64_t passed_ms;

	passed_ms = timer_now(service) - lag->last_ms;
	lag->last_ms += passed_ms;
	return passed_ms - period_ms;
}

static enum error_code
subscribe(struct timer_service *service, int64_t delay_ms, int64_t period_ms,
    struct timer_callback callback, struct handle *timer)
{
	struct timer_entry *entry;
	struct handle handle;
	enum error_code error;

	if (callback.run == NULL)
		return ERROR_INVALID_ARGUMENT;
	error = handle_table_add(&service->timers, &handle);
	if (error != ERROR_NONE)
		return error;
	entry = handle_table_get(&service->timers, handle);
	entry->period_ms = period_ms;
	entry->callback = callback;
	if (delay_ms < 0)
		delay_ms = 0;
	error = push_heap(service, timer_now(service) + delay_ms, handle);
	if (error != ERROR_NONE) {
		handle_table_remove(&service->timers, handle);
		return error;
	}
	if (timer != NULL)
		*timer = handle;
	return ERROR_NONE;
}

static enum error_code
push_heap(struct timer_service *service, int64_t due_ms, struct handle timer)
{
	struct timer_due *heap;
	uint32_t capacity;

	if (service->heap_count == service->heap_capacity) {
		capacity = service->heap_capacity * 2 + HEAP_CAPACITY_FIRST;
		heap = realloc(service->heap, capacity * sizeof(*heap));
		if (heap == NULL)
			return ERROR_NO_MEMORY;
		service->heap = heap;
		service->heap_capacity = capacity;
	}
	service->heap[service->heap_count].due_ms = due_ms;
	service->heap[service->heap_count].order = service->next_order++;
	service->heap[service->heap_count].timer = timer;
	service->heap_count++;
	sift_up(service, service->heap_count - 1);
	return ERROR_NONE;
}

static void
pop_heap(struct timer_service *service)
{
	service->heap[0] = service->heap[--service->heap_count];
	sift_down(service, 0);
}

/* Removes stale entries from the top of the heap, where they would wake the
 * owner needlessly, and compacts the heap if it holds too many others. */
static void
drop_stale(struct timer_service *service)
{
	while (service->heap_count > 0 && handle_table_get(&service->timers,
					      service->heap[0].timer) == NULL)
		pop_heap(service);
	if (service->heap_count >
	    2 * service->timers.item_count + HEAP_CAPACITY_FIRST)
		compact_heap(service);
}

static void
compact_heap(struct timer_service *service)
{
	uint32_t from, kept;

	kept = 0;
	for (from = 0; from < service->heap_count; from++) {
		if (handle_table_get(
			&service->timers, service->heap[from].timer) != NULL)
			service->heap[kept++] = service->heap[from];
	}
	service->heap_count = kept;
	for (from = kept / 2; from > 0; from--)
		sift_down(service, from - 1);
}

static void
sift_up(struct timer_service *service, uint32_t at)
{
	struct timer_due moved;
	uint32_t parent;

	moved = service->heap[at];
	while (at > 0) {
		parent = (at - 1) / 2;
		if (!is_earlier(&moved, &service->heap[parent]))
			break;
		service->heap[at] = service->heap[parent];
		at = parent;
	}
	service->heap[at] = moved;
}

static void
sift_down(struct timer_service *service, uint32_t at)
{
	struct timer_due moved;
	uint32_t child;

	if (at >= service->heap_count)
		return;
	moved = service->heap[at];
	for (;;) {
		child = at * 2 + 1;
		if (child >= service->heap_count)
			break;
		if (child + 1 < service->heap_count &&
		    is_earlier(
			&service->heap[child + 1], &service->heap[child]))
			child++;
		if (!is_earlier(&service->heap[child], &moved))
			break;
		service->heap[at] = service->heap[child];
		at = child;
	}
	service->heap[at] = moved;
}

static bool
is_earlier(const struct timer_due *left, const struct timer_due *right)
{
	if (left->due_ms != right->due_ms)
		return left->due_ms < right->due_ms;
	return left->order < right->order;
}

static void
run_earliest(struct timer_service *service)
{
	struct timer_callback callback;
	struct timer_entry *entry;
	struct timer_due due;

	due = service->heap[0];
	pop_heap(service);
	entry = handle_table_get(&service->timers, due.timer);
	if (entry == NULL)
		return;
	callback = entry->callback;
	if (due.due_ms > service->now_ms)
		service->now_ms = due.due_ms;
	if (entry->period_ms > 0) {
		/* Can't fail: pop_heap() has just freed an entry. */
		(void)push_heap(service,
		    next_period_ms(service, due.due_ms, entry->period_ms),
		    due.timer);
	} else {
		handle_table_remove(&service->timers, due.timer);
	}
	callback.run(callback.context);
	drop_stale(service);
}

/* Returns when a periodic timer that was due at @p due_ms runs again. A burst of
 * the runs that were missed would tell its callbacks of time in which the owner
 * took in nothing. */
static int64_t
next_period_ms(
    const struct timer_service *service, int64_t due_ms, int64_t period_ms)
{
	int64_t now_ms;

	now_ms = timer_now(service);
	if (now_ms - due_ms >= period_ms)
		return now_ms + period_ms;
	return due_ms + period_ms;
}
