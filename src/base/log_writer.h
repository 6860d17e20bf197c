/**
 * @file log_writer.h
 * Writes log lines from a separate thread, so that callers never wait for it.
 *
 * Lines are queued in a bounded ring. Lines of successes beyond a rate, and
 * lines that find the ring full, are dropped and counted by event. Part of the
 * ring is reserved for failures, so that failures are still logged under
 * overload. The counts are logged as soon as there is room.
 */
#ifndef LOG_WRITER_H
#define LOG_WRITER_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Events with a count of dropped lines of their own. */
#define LOG_WRITER_EVENTS 64

/** Number of dropped lines of one event. */
struct log_dropped_lines {
	int event;	/**< Number of the event, 0 for all others. */
	uint64_t count; /**< Lines dropped since the last report. */
};

/** A thread that writes lines, and its queue. */
struct log_writer {
	pthread_mutex_t mutex; /**< Protects the ring and the counts. */
	pthread_cond_t wake;   /**< Signalled when a line is queued or the
				     writer stops. */
	pthread_t thread;      /**< Thread that writes the lines. */
	char **lines;	       /**< Ring of queued lines with their newlines. */
	uint32_t capacity;     /**< Size of the ring in lines. */
	uint32_t first;	       /**< Index of the oldest line. */
	uint32_t count;	       /**< Number of lines in the ring. */
	uint32_t success_rate_max; /**< Lines of successes per second. */
	int64_t current_second;	  /**< Current second of the monotonic clock. */
	uint32_t lines_in_second; /**< Lines of successes in that second. */
	int fd;			  /**< Descriptor that lines are written to. */
	bool is_stopping; /**< The thread ends once the ring is empty. */
	/** Lines dropped since the last report, one entry per event. Used
	 * entries come first. */
	struct log_dropped_lines dropped[LOG_WRITER_EVENTS];
	/** Returns a line that reports the first @p count entries of
	 * @p dropped; the writer frees the line. */
	char *(*format_report)(
	    const struct log_dropped_lines *dropped, uint32_t count);
};

/** Starts a writer to the descriptor @p fd with a ring of @p capacity lines and
 * at most @p success_rate_max lines of successes per second. @p format_report
 * returns the line that reports dropped lines. Returns false if memory
 * allocation or thread creation failed. */
bool log_writer_init(struct log_writer *writer, int fd, uint32_t capacity,
    uint32_t success_rate_max,
    char *(*format_report)(
	const struct log_dropped_lines *dropped, uint32_t count));
/** Queues or drops a line of @p event without waiting for the thread. Takes
 * ownership of the line, which ends with a newline. A line with @p is_failure
 * is exempt from the rate and may use the whole ring; others are lines of
 * successes and may use half of it. */
void log_writer_put(
    struct log_writer *writer, int event, bool is_failure, char *line);
/** Writes all queued lines and a last report of dropped ones, and ends the
 * thread. Does nothing if the writer is not running. */
void log_writer_finish(struct log_writer *writer);

#endif
