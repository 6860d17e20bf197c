/**
 * @file log_writer.h
 * Writes log lines by a thread of its own, so that no caller ever waits.
 *
 * Lines go through a bounded ring. What comes faster than the rate, or finds
 * no room, is left out and counted by event: lines of successes first, so
 * that failures are still there when it matters. The counts themselves are
 * written as soon as there is room.
 */
#ifndef LOG_WRITER_H
#define LOG_WRITER_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOG_WRITER_EVENTS 64 /**< Kinds of lines counted apart. */

/** How many lines of an event were left out. */
struct log_left_out {
	int event;	/**< Its number. */
	uint64_t count; /**< Lines since the last report. */
};

/** The writer. */
struct log_writer {
	pthread_mutex_t mutex;	/**< Guards the rest. */
	pthread_cond_t changed; /**< Something to write, or the end. */
	pthread_t thread;	/**< Writes. */
	char **lines;		/**< Ring of lines, each with its newline. */
	uint32_t capacity;	/**< Room in the ring. */
	uint32_t first;		/**< Oldest line. */
	uint32_t count;		/**< Lines in the ring. */
	uint32_t rate;		/**< Lines of successes a second. */
	int64_t second;		/**< Second that is counted now. */
	uint32_t in_second;	/**< Lines of successes in it. */
	int fd;			/**< Where lines go. */
	bool is_stopping;	/**< Ends once the ring is empty. */
	struct log_left_out left_out[LOG_WRITER_EVENTS]; /**< By event. */
	/** Makes a line of the counts; the writer frees it. */
	char *(*report)(const struct log_left_out *left_out, uint32_t count);
};

/** Starts a writer to @p fd. False without memory or thread. */
bool log_writer_init(struct log_writer *writer, int fd, uint32_t capacity,
    uint32_t rate,
    char *(*report)(const struct log_left_out *left_out, uint32_t count));
/** Takes a line over and never waits for its being written. */
void log_writer_put(
    struct log_writer *writer, int event, bool is_failure, char *line);
/** Writes what is left and ends. */
void log_writer_finish(struct log_writer *writer);

#endif
