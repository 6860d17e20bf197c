/**
 * @file serve.h
 * Runs one host in this process until a signal stops it.
 */
#ifndef SERVE_H
#define SERVE_H

#include "base/error_code.h"
#include "service/settings.h"

/** Runs a host until SIGTERM or SIGINT, then stops accepting requests and waits
 * for the running ones at most settings->stop_grace_ms. Returns the error that
 * kept the host from starting, or ERROR_NONE. */
enum error_code serve_run(const struct settings *settings);

#endif
