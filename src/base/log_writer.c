#include "base/log_writer.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/monotonic_clock.h"

#define MS_PER_S 1000
/* Lines of successes may fill half of the ring; the rest is for failures. */
#define SUCCESS_SHARE_DIVISOR 2
/* Pause between two batches, so that the thread wakes once for many lines. */
#define BATCH_PAUSE_US 4000

static bool is_over_rate(struct log_writer *writer);
static void count_dropped(struct log_writer *writer, int event);
static void push_line(struct log_writer *writer, char *line);
static void push_dropped_report(struct log_writer *writer);
static void *run_writer(void *argument);
static void write_line(int fd, const char *line);

bool
log_writer_init(struct log_writer *writer, int fd, uint32_t capacity,
    uint32_t success_rate_max,
    char *(*format_report)(
	const struct log_dropped_lines *dropped, uint32_t count))
{
	memset(writer, 0, sizeof(*writer));
	writer->fd = fd;
	writer->capacity = capacity;
	writer->success_rate_max = success_rate_max;
	writer->format_report = format_report;
	writer->lines = calloc(capacity, sizeof(*writer->lines));
	if (writer->lines == NULL)
		return false;
	pthread_mutex_init(&writer->mutex, NULL);
	pthread_cond_init(&writer->wake, NULL);
	if (pthread_create(&writer->thread, NULL, run_writer, writer) == 0)
		return true;
	free(writer->lines);
	writer->lines = NULL;
	return false;
}

void
log_writer_put(
    struct log_writer *writer, int event, bool is_failure, char *line)
{
	uint32_t room;

	pthread_mutex_lock(&writer->mutex);
	room = is_failure ? writer->capacity
			  : writer->capacity / SUCCESS_SHARE_DIVISOR;
	if (writer->count >= room || (!is_failure && is_over_rate(writer))) {
		count_dropped(writer, event);
		free(line);
	} else {
		push_dropped_report(writer);
		/* The report may have filled the ring. */
		if (writer->count < room) {
			push_line(writer, line);
		} else {
			count_dropped(writer, event);
			free(line);
		}
	}
	pthread_mutex_unlock(&writer->mutex);
}

void
log_writer_finish(struct log_writer *writer)
{
	if (writer->lines == NULL)
		return;
	pthread_mutex_lock(&writer->mutex);
	push_dropped_report(writer);
	writer->is_stopping = true;
	pthread_cond_signal(&writer->wake);
	pthread_mutex_unlock(&writer->mutex);
	pthread_join(writer->thread, NULL);
	pthread_cond_destroy(&writer->wake);
	pthread_mutex_destroy(&writer->mutex);
	free(writer->lines);
	writer->lines = NULL;
}

static bool
is_over_rate(struct log_writer *writer)
{
	int64_t second;

	second = clock_monotonic_ms() / MS_PER_S;
	if (second != writer->current_second) {
		writer->current_second = second;
		writer->lines_in_second = 0;
	}
	return ++writer->lines_in_second > writer->success_rate_max;
}

static void
count_dropped(struct log_writer *writer, int event)
{
	uint32_t i;

	for (i = 0; i < LOG_WRITER_EVENTS - 1; i++) {
		if (writer->dropped[i].event == event ||
		    writer->dropped[i].event == 0)
			break;
	}
	/* The last entry counts all events that have no entry of their own. */
	if (i < LOG_WRITER_EVENTS - 1)
		writer->dropped[i].event = event;
	writer->dropped[i].count++;
}

static void
push_line(struct log_writer *writer, char *line)
{
	writer->lines[(writer->first + writer->count) % writer->capacity] =
	    line;
	writer->count++;
	if (writer->count == 1)
		pthread_cond_signal(&writer->wake);
}

static void
push_dropped_report(struct log_writer *writer)
{
	uint32_t count;
	char *line;

	for (count = 0; count < LOG_WRITER_EVENTS; count++) {
		if (writer->dropped[count].count == 0)
			break;
	}
	if (count == 0 || writer->count >= writer->capacity)
		return;
	line = writer->format_report(writer->dropped, count);
	if (line == NULL)
		return;
	push_line(writer, line);
	memset(writer->dropped, 0, sizeof(writer->dropped));
}

static void *
run_writer(void *argument)
{
	struct log_writer *writer = argument;
	char *line;

	pthread_mutex_lock(&writer->mutex);
	for (;;) {
		while (writer->count == 0 && !writer->is_stopping)
			pthread_cond_wait(&writer->wake, &writer->mutex);
		if (writer->count == 0)
			break;
		while (writer->count > 0) {
			line = writer->lines[writer->first];
			writer->first = (writer->first + 1) % writer->capacity;
			writer->count--;
			pthread_mutex_unlock(&writer->mutex);
			write_line(writer->fd, line);
			free(line);
			pthread_mutex_lock(&writer->mutex);
		}
		if (writer->is_stopping)
			continue;
		pthread_mutex_unlock(&writer->mutex);
		usleep(BATCH_PAUSE_US);
		pthread_mutex_lock(&writer->mutex);
	}
	pthread_mutex_unlock(&writer->mutex);
	return NULL;
}

/* Writes a whole line. A failed write is ignored, since there is no other place
 * to report it. */
static void
write_line(int fd, const char *line)
{
	size_t size, done;
	ssize_t written;

	size = strlen(line);
	for (done = 0; done < size; done += (size_t)written) {
		written = write(fd, line + done, size - done);
		if (written < 0 && errno == EINTR)
			written = 0;
		if (written < 0)
			return;
	}
}
