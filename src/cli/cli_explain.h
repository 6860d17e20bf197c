/**
 * @file cli_explain.h
 * Explains how a request ended, from the logs of the hosts.
 *
 * Reads JSON lines (docs/EVENTS.md), keeps those of one request, sorts them by
 * time, prints the fields of each, and then one sentence on why the request
 * ended as it did and which events to look at next.
 */
#ifndef CLI_EXPLAIN_H
#define CLI_EXPLAIN_H

#include <stdint.h>
#include <stdio.h>

#include "base/error_code.h"

/** Writes to @p out the explanation of @p request_id from the log files
 * @p files; "-" is standard input. Text before the first brace of a line is
 * ignored, and so are lines without a valid JSON object. Errors:
 * ERROR_NOT_FOUND if no line names the request, ERROR_IO if a file can't be
 * opened. */
enum error_code explain_request(const char *request_id,
    const char *const *files, uint32_t file_count, FILE *out);

#endif
