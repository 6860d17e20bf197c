/**
 * @file cli_explain.h
 * Tells what became of a request, from the logs of the hosts.
 *
 * Reads JSON lines (docs/EVENTS.md), keeps those of one request, orders them
 * by time and says in a sentence each what was decided and by what.
 */
#ifndef CLI_EXPLAIN_H
#define CLI_EXPLAIN_H

#include <stdint.h>
#include <stdio.h>

#include "base/error_code.h"

/** Explains request @p request_id from the lines of @p files, written to
 * @p out. Lines that are no JSON objects are passed over; what stands before
 * the first brace of a line is left out. Errors: ERROR_NOT_FOUND if no line
 * names the request, ERROR_IO if a file can't be read. */
enum error_code explain_request(const char *request_id,
    const char *const *files, uint32_t file_count, FILE *out);

#endif
