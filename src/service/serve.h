/**
 * @file serve.h
 * Runs one host in this process until it is told to stop.
 */
#ifndef SERVE_H
#define SERVE_H

#include "base/error_code.h"
#include "service/settings.h"

/** Serves until SIGTERM or SIGINT, then stops without cutting a stream. */
enum error_code serve_run(const struct settings *settings);

#endif
