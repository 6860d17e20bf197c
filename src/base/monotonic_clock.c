#include "base/monotonic_clock.h"

static int64_t read_us(clockid_t clock);

int64_t
clock_monotonic_ms(void)
{
	return read_us(CLOCK_MONOTONIC) / 1000;
}

int64_t
clock_monotonic_us(void)
{
	return read_us(CLOCK_MONOTONIC);
}

int64_t
clock_wall_us(void)
{
	return read_us(CLOCK_REALTIME);
}

struct timespec
clock_timespec(int64_t monotonic_ms)
{
	struct timespec time;

	if (monotonic_ms < 0)
		monotonic_ms = 0;
	time.tv_sec = (time_t)(monotonic_ms / 1000);
	time.tv_nsec = (long)(monotonic_ms % 1000) * 1000000;
	return time;
}

void
clock_cond_wait_until(
    pthread_cond_t *condition, pthread_mutex_t *mutex, int64_t monotonic_ms)
{
	struct timespec until;

	until = clock_timespec(monotonic_ms);
	/* The result is not needed: the caller checks the time again after
	 * every wait. */
	(void)pthread_cond_timedwait(condition, mutex, &until);
}

static int64_t
read_us(clockid_t clock)
{
	struct timespec time;

	clock_gettime(clock, &time);
	return (int64_t)time.tv_sec * 1000000 + time.tv_nsec / 1000;
}
