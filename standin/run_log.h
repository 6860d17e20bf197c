/**
 * @file run_log.h
 * A file with a line for each run, so that a test can count runs from outside
 * even when the stand-in died: "<idempotency key or -> <request> <attempt>".
 */
#ifndef STANDIN_RUN_LOG_H
#define STANDIN_RUN_LOG_H

#include <stdbool.h>
#include <stdint.h>

/** The file. */
struct run_log {
	int file; /**< Descriptor, -1 for none. */
};

/** Opens @p path for appending; "" for no log. */
bool run_log_init(struct run_log *log, const char *path);
/** Closes it. */
void run_log_finish(struct run_log *log);
/** Writes the line of a run that begins now. */
void run_log_write(struct run_log *log, const char *idempotency_key,
    uint64_t request, uint32_t attempt);

#endif
