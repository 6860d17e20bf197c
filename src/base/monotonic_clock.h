/**
 * @file monotonic_clock.h
 * The clocks that the edges read; decisions get time from the timer service.
 */
#ifndef MONOTONIC_CLOCK_H
#define MONOTONIC_CLOCK_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/** Milliseconds on this machine's monotonic clock. */
int64_t clock_monotonic_ms(void);
/** Microseconds on this machine's monotonic clock. */
int64_t clock_monotonic_us(void);
/** Microseconds since 1970, for what people and other programs read. */
int64_t clock_wall_us(void);
/** Monotonic milliseconds as pthread_cond_timedwait() takes them. */
struct timespec clock_timespec(int64_t monotonic_ms);

/** Waits for a condition at most until a monotonic time; the condition must
 * have been made with CLOCK_MONOTONIC. */
void clock_wait_until(
    pthread_cond_t *condition, pthread_mutex_t *mutex, int64_t monotonic_ms);

#endif
