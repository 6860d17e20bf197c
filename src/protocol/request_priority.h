/**
 * @file request_priority.h
 * Names of priorities, as all HTTP interfaces write them.
 */
#ifndef REQUEST_PRIORITY_H
#define REQUEST_PRIORITY_H

#include "base/error_code.h"
#include "state/request.h"

/** "low", "normal" or "high". */
const char *request_priority_name(enum request_priority priority);
/** Reads such a name. Errors: ERROR_BAD_VALUE. */
enum error_code request_priority_parse(
    const char *name, enum request_priority *priority);

#endif
