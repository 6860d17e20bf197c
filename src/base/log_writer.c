#include "base/log_writer.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/monotonic_clock.h"

#define MS_PER_S       1000
#define SUCCESS_PART   2    /* Of the ring is kept for failures. */
#define BATCH_PAUSE_US 4000 /* Lines are gathered in between. */

static bool is_over_rate(struct log_writer *writer);
static void leave_out(struct log_writer *writer, int event);
static void push(struct log_writer *writer, char *line);
static void report_left_out(struct log_writer *writer);
static void *run(void *argument);
static void write_line(int fd, const char *line);

bool
log_writer_init(struct log_writer *writer, int fd, uint32_t capacity,
    uint32_t rate,
    char *(*report)(const struct log_left_out *left_out, uint32_t count))
{
	memset(writer, 0, sizeof(*writer));
	writer->fd = fd;
	writer->capacity = capacity;
	writer->rate = rate;
	writer->report = report;
	writer->lines = calloc(capacity, sizeof(*writer->lines));
	if (writer->lines == NULL)
		return false;
	pthread_mutex_init(&writer->mutex, NULL);
	pthread_cond_init(&writer->changed, NULL);
	if (pthread_create(&writer->thread, NULL, run, writer) == 0)
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
	room = is_failure ? writer->capacity : writer->capacity / SUCCESS_PART;
	if (writer->count >= room || (!is_failure && is_over_rate(writer))) {
		leave_out(writer, event);
		free(line);
	} else {
		report_left_out(writer);
		/* The report may have taken the last place. */
		if (writer->count < room) {
			push(writer, line);
		} else {
			leave_out(writer, event);
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
	report_left_out(writer);
	writer->is_stopping = true;
	pthread_cond_signal(&writer->changed);
	pthread_mutex_unlock(&writer->mutex);
	pthread_join(writer->thread, NULL);
	pthread_cond_destroy(&writer->changed);
	pthread_mutex_destroy(&writer->mutex);
	free(writer->lines);
	writer->lines = NULL;
}

static bool
is_over_rate(struct log_writer *writer)
{
	int64_t second;

	second = clock_monotonic_ms() / MS_PER_S;
	if (second != writer->second) {
		writer->second = second;
		writer->in_second = 0;
	}
	return ++writer->in_second > writer->rate;
}

static void
leave_out(struct log_writer *writer, int event)
{
	uint32_t i;

	for (i = 0; i < LOG_WRITER_EVENTS - 1; i++) {
		if (writer->left_out[i].event == event ||
		    writer->left_out[i].event == 0)
			break;
	}
	/* The last place takes what has none of its own. */
	if (i < LOG_WRITER_EVENTS - 1)
		writer->left_out[i].event = event;
	writer->left_out[i].count++;
}

static void
push(struct log_writer *writer, char *line)
{
	writer->lines[(writer->first + writer->count) % writer->capacity] =
	    line;
	writer->count++;
	if (writer->count == 1)
		pthread_cond_signal(&writer->changed);
}

static void
report_left_out(struct log_writer *writer)
{
	uint32_t count;
	char *line;

	for (count = 0; count < LOG_WRITER_EVENTS; count++) {
		if (writer->left_out[count].count == 0)
			break;
	}
	if (count == 0 || writer->count >= writer->capacity)
		return;
	line = writer->report(writer->left_out, count);
	if (line == NULL)
		return;
	push(writer, line);
	memset(writer->left_out, 0, sizeof(writer->left_out));
}

static void *
run(void *argument)
{
	struct log_writer *writer = argument;
	char *line;

	pthread_mutex_lock(&writer->mutex);
	for (;;) {
		while (writer->count == 0 && !writer->is_stopping)
			pthread_cond_wait(&writer->changed, &writer->mutex);
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

/* A log that can't be written has nowhere to say so. */
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
