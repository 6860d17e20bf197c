/**
 * @file build_metric.h
 * The metric that names the build, in each registry that is scraped.
 */
#ifndef BUILD_METRIC_H
#define BUILD_METRIC_H

#include <stdint.h>

#include "base/error_code.h"
#include "base/metrics.h"

/** Adds the gauge chicorytack_build_info, which is always 1 and whose labels
 * name the build and the highest level of the replicated state that it knows.
 * Errors: ERROR_NO_MEMORY. */
enum error_code build_metric_add(
    struct metrics_registry *registry, uint32_t level);

#endif
