/**
 * @file request_metrics.h
 * The host's own counters and histograms, with bounded labels.
 */
#ifndef REQUEST_METRICS_H
#define REQUEST_METRICS_H

#include <stdint.h>

#include "base/error_code.h"
#include "base/metrics.h"

#define PROMPT_BAND_COUNT 4 /**< Bands of prompt length. */

/** Running totals of a band, for status. */
struct band_totals {
	_Atomic uint64_t count;	 /**< First tokens seen. */
	_Atomic uint64_t sum_ms; /**< Of their times. */
};

/** The families. */
struct request_metrics {
	struct metrics_registry registry;  /**< Holds them all. */
	struct metric_family *requests;	   /**< By account, band, end. */
	struct metric_family *first_token; /**< By data centre, band. */
	struct metric_family *duration;	   /**< By data centre, band. */
	struct metric_family *retries;	   /**< By cause. */
	struct metric_family *refusals;	   /**< By cause. */
	struct metric_family *gauges;	   /**< By name. */
	struct band_totals bands[PROMPT_BAND_COUNT]; /**< First tokens. */
};

/** Prepares the families. Errors: ERROR_NO_MEMORY. */
enum error_code request_metrics_init(struct request_metrics *metrics);
/** Gives back memory. */
void request_metrics_finish(struct request_metrics *metrics);
/** Index of the band that a prompt falls into. */
uint32_t prompt_band(uint64_t prompt_tokens);
/** Name of a band: 4k, 32k, 100k or 1M. */
const char *prompt_band_name(uint32_t band);
/** Notes a first token. */
void request_metrics_first_token(struct request_metrics *metrics,
    const char *data_centre, uint64_t prompt_tokens, int64_t elapsed_ms);
/** Notes the end of a request; @p end is "done" or an error's name. */
void request_metrics_end(struct request_metrics *metrics, const char *account,
    const char *data_centre, uint64_t prompt_tokens, const char *end,
    int64_t elapsed_ms);
/** Notes a refusal. */
void request_metrics_refused(
    struct request_metrics *metrics, enum error_code cause);
/** Notes a retry. */
void request_metrics_retried(
    struct request_metrics *metrics, enum error_code cause);
/** Sets one of the plain gauges. */
void request_metrics_set(
    struct request_metrics *metrics, const char *name, int64_t value);

#endif
