/**
 * @file monotonic_clock.h
 * Access to the system's clocks, for code at the edge of the program such as
 * I/O loops. Code that takes decisions gets its time from the timer service
 * (timer.h), so that tests can control it.
 */
#ifndef MONOTONIC_CLOCK_H
#define MONOTONIC_CLOCK_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/** Returns milliseconds of this machine's monotonic clock. */
int64_t clock_monotonic_ms(void);
/** Returns microseconds of this machine's monotonic clock. */
int64_t clock_monotonic_us(void);
/** Returns microseconds since 1970 (wall clock), for timestamps that people and
 * other programs read. */
int64_t clock_wall_us(void);
/** Converts monotonic milliseconds to the form that pthread_cond_timedwait()
 * takes. Negative times become 0. */
struct timespec clock_timespec(int64_t monotonic_ms);

/** Waits for a condition variable, at the latest until a monotonic time. The
 * variable must have been created with the clock CLOCK_MONOTONIC. */
void clock_cond_wait_until(
    pthread_cond_t *condition, pthread_mutex_t *mutex, int64_t monotonic_ms);

#endif
