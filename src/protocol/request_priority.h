/**
 * @file request_priority.h
 * Names of request priorities, the same in all HTTP interfaces.
 */
#ifndef REQUEST_PRIORITY_H
#define REQUEST_PRIORITY_H

#include "base/error_code.h"
#include "state/request.h"

/** Returns the name of a priority: "low", "normal" or "high". */
const char *request_priority_name(enum request_priority priority);
/** Sets @p priority to the one with this name. Errors: ERROR_BAD_VALUE for an
 * unknown name. */
enum error_code request_priority_parse(
    const char *name, enum request_priority *priority);

#endif
