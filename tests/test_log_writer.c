/*
 * Tests of the log writer when nobody reads the log and when lines are
 * dropped.
 */
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

#define RING_LINES 64

static char *
format_report(const struct log_dropped_lines *dropped, uint32_t count)
{
	char *text;

	text = malloc(64);
	snprintf(text, 64, "left out %u kinds, %llu of %d\n", count,
	    (unsigned long long)dropped[0].count, dropped[0].event);
	return text;
}

/* Reads a pipe to its end and returns the text, to be freed with free(). */
static char *
read_to_end(int fd)
{
	char *text = calloc(1, 1 << 20);
	ssize_t size;
	size_t at = 0;

	while ((size = read(fd, text + at, (1 << 20) - at - 1)) > 0)
		at += (size_t)size;
	return text;
}

static uint32_t
queued_line_count(struct log_writer *writer)
{
	uint32_t count;

	pthread_mutex_lock(&writer->mutex);
	count = writer->count;
	pthread_mutex_unlock(&writer->mutex);
	return count;
}

/* If nobody reads the log, callers aren't blocked: lines of successes use only
 * half of the ring, which leaves room for failures, and dropped lines are
 * counted. */
static void
test_blocked_reader_does_not_block_callers(void **state)
{
	struct log_writer writer;
	char line[2048], *text;
	int fds[2], i;

	(void)state;
	assert_int_equal(pipe(fds), 0);
	memset(line, 'x', sizeof(line));
	line[sizeof(line) - 2] = '\n';
	line[sizeof(line) - 1] = '\0';
	assert_true(log_writer_init(
	    &writer, fds[1], RING_LINES, 1000000, format_report));
	/* These lines exceed what the pipe and the ring hold. */
	for (i = 0; i < 500; i++)
		log_writer_put(&writer, 7, false, strdup(line));
	log_writer_put(&writer, 8, true, strdup("failure\n"));
	pthread_mutex_lock(&writer.mutex);
	assert_true(writer.count <= RING_LINES / 2 + 2);
	pthread_mutex_unlock(&writer.mutex);
	/* Closes only the reader's end, as the writer's thread still uses the
	 * other. */
	signal(SIGPIPE, SIG_IGN);
	close(fds[0]);
	log_writer_finish(&writer);
	close(fds[1]);
	/* With a reader, all lines accepted into the ring are written. */
	assert_int_equal(pipe(fds), 0);
	assert_true(
	    log_writer_init(&writer, fds[1], RING_LINES, 10, format_report));
	for (i = 0; i < 50; i++)
		log_writer_put(&writer, 7, false, strdup("success\n"));
	log_writer_put(&writer, 8, true, strdup("failure\n"));
	log_writer_finish(&writer);
	close(fds[1]);
	text = read_to_end(fds[0]);
	close(fds[0]);
	assert_non_null(strstr(text, "success\n"));
	assert_non_null(strstr(text, "failure\n"));
	assert_non_null(strstr(text, "left out 1 kinds"));
	free(text);
}

/* The report of dropped lines uses a slot of the half of the ring that is for
 * successes, and must not push them beyond it. */
static void
test_report_uses_slot_of_successes(void **state)
{
	struct log_writer writer;
	char line[65536 + 2], *oldest;
	int fds[2], i;

	(void)state;
	assert_int_equal(pipe(fds), 0);
	memset(line, 'x', sizeof(line));
	line[sizeof(line) - 1] = '\0';
	assert_true(log_writer_init(
	    &writer, fds[1], RING_LINES, 1000000, format_report));
	/* The writer's thread blocks on the first line, which is larger than
	 * the buffer of the pipe. */
	log_writer_put(&writer, 7, false, strdup(line));
	for (i = 0; i < 300 && queued_line_count(&writer) > 0; i++)
		usleep(10000);
	assert_int_equal(queued_line_count(&writer), 0);
	for (i = 0; i < RING_LINES; i++)
		log_writer_put(&writer, 7, false, strdup("success\n"));
	assert_int_equal(queued_line_count(&writer), RING_LINES / 2);
	/* Removes the oldest line as if it were written. The report uses the
	 * free slot, so the next line of a success is dropped. */
	pthread_mutex_lock(&writer.mutex);
	oldest = writer.lines[writer.first];
	writer.first = (writer.first + 1) % writer.capacity;
	writer.count--;
	pthread_mutex_unlock(&writer.mutex);
	free(oldest);
	log_writer_put(&writer, 7, false, strdup("success\n"));
	assert_int_equal(queued_line_count(&writer), RING_LINES / 2);
	signal(SIGPIPE, SIG_IGN);
	close(fds[0]);
	log_writer_finish(&writer);
	close(fds[1]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_blocked_reader_does_not_block_callers),
	    cmocka_unit_test(test_report_uses_slot_of_successes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
