/**
 * @file run_log.h
 * A file with a line for each run of a request, so that tests can count the
 * runs even of a stand-in that has crashed.
 *
 * A line is "<idempotency key, or -> <request id in hex> <attempt>".
 */
#ifndef STANDIN_RUN_LOG_H
#define STANDIN_RUN_LOG_H

#include <stdbool.h>
#include <stdint.h>

/** An open run log. */
struct run_log {
	int file; /**< File descriptor, or -1 if there is no log. */
};

/** Opens the file at @p path for appending; with "" nothing is logged. Returns
 * false if the file can't be opened. */
bool run_log_init(struct run_log *log, const char *path);
/** Closes the file. */
void run_log_finish(struct run_log *log);
/** Writes the line of a run that starts now. @p idempotency_key may be NULL. */
void run_log_write(struct run_log *log, const char *idempotency_key,
    uint64_t request_id, uint32_t attempt);

#endif
