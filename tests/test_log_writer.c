#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/log_writer.h"

#define CAPACITY 64

static char *
report(const struct log_dropped_lines *dropped, uint32_t count)
{
	char *text;

	text = malloc(64);
	snprintf(text, 64, "left out %u kinds, %llu of %d\n", count,
	    (unsigned long long)dropped[0].count, dropped[0].event);
	return text;
}

/* Reads a pipe to its end. */
static char *
drain(int fd)
{
	char *text = calloc(1, 1 << 20);
	ssize_t size;
	size_t at = 0;

	while ((size = read(fd, text + at, (1 << 20) - at - 1)) > 0)
		at += (size_t)size;
	return text;
}

static uint32_t
writer_count(struct log_writer *writer)
{
	uint32_t count;

	pthread_mutex_lock(&writer->mutex);
	count = writer->count;
	pthread_mutex_unlock(&writer->mutex);
	return count;
}

/* A reader that does not read blocks nobody; failures find room before
 * successes, and what was left out is counted. */
static void
test_blocked_reader(void **state)
{
	struct log_writer writer;
	char line[2048], *text;
	int fds[2], i;

	(void)state;
	assert_int_equal(pipe(fds), 0);
	memset(line, 'x', sizeof(line));
	line[sizeof(line) - 2] = '\n';
	line[sizeof(line) - 1] = '\0';
	assert_true(
	    log_writer_init(&writer, fds[1], CAPACITY, 1000000, report));
	/* More than the pipe and the ring hold. */
	for (i = 0; i < 500; i++)
		log_writer_put(&writer, 7, false, strdup(line));
	log_writer_put(&writer, 8, true, strdup("failure\n"));
	pthread_mutex_lock(&writer.mutex);
	assert_true(writer.count <= CAPACITY / 2 + 2);
	pthread_mutex_unlock(&writer.mutex);
	/* Only the reader's end: the writer's thread still uses the other. */
	signal(SIGPIPE, SIG_IGN);
	close(fds[0]);
	log_writer_finish(&writer);
	close(fds[1]);
	/* The same with a reader: all that was taken is written. */
	assert_int_equal(pipe(fds), 0);
	assert_true(log_writer_init(&writer, fds[1], CAPACITY, 10, report));
	for (i = 0; i < 50; i++)
		log_writer_put(&writer, 7, false, strdup("success\n"));
	log_writer_put(&writer, 8, true, strdup("failure\n"));
	log_writer_finish(&writer);
	close(fds[1]);
	text = drain(fds[0]);
	close(fds[0]);
	assert_non_null(strstr(text, "success\n"));
	assert_non_null(strstr(text, "failure\n"));
	assert_non_null(strstr(text, "left out 1 kinds"));
	free(text);
}

/* The report of what was left out takes a place of the successes' half. */
static void
test_report_takes_a_place(void **state)
{
	struct log_writer writer;
	char line[65536 + 2], *taken;
	int fds[2], i;

	(void)state;
	assert_int_equal(pipe(fds), 0);
	memset(line, 'x', sizeof(line));
	line[sizeof(line) - 1] = '\0';
	assert_true(
	    log_writer_init(&writer, fds[1], CAPACITY, 1000000, report));
	/* The thread is stuck with the first line, more than a pipe holds. */
	log_writer_put(&writer, 7, false, strdup(line));
	for (i = 0; i < 300 && writer_count(&writer) > 0; i++)
		usleep(10000);
	assert_int_equal(writer_count(&writer), 0);
	for (i = 0; i < CAPACITY; i++)
		log_writer_put(&writer, 7, false, strdup("success\n"));
	assert_int_equal(writer_count(&writer), CAPACITY / 2);
	/* One is written: the report takes its place. */
	pthread_mutex_lock(&writer.mutex);
	taken = writer.lines[writer.first];
	writer.first = (writer.first + 1) % writer.capacity;
	writer.count--;
	pthread_mutex_unlock(&writer.mutex);
	free(taken);
	log_writer_put(&writer, 7, false, strdup("success\n"));
	assert_int_equal(writer_count(&writer), CAPACITY / 2);
	signal(SIGPIPE, SIG_IGN);
	close(fds[0]);
	log_writer_finish(&writer);
	close(fds[1]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_blocked_reader),
	    cmocka_unit_test(test_report_takes_a_place),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
