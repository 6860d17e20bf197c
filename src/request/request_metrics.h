/**
 * @file request_metrics.h
 * Metrics of callers' requests and gauges of the host, as /metrics shows them.
 *
 * The number of series of each family is bounded, so that many accounts or data
 * centres can't exhaust memory.
 */
#ifndef REQUEST_METRICS_H
#define REQUEST_METRICS_H

#include <stdint.h>

#include "base/error_code.h"
#include "base/metrics.h"

#define PROMPT_BAND_COUNT 4 /**< Number of bands of prompt length. */

/** Totals of the time to first token in one band, shown by the status verb. */
struct band_totals {
	_Atomic uint64_t count;	 /**< Requests that got a first token. */
	_Atomic uint64_t sum_ms; /**< Sum of their times to first token. */
};

/** The metric families of a host. */
struct request_metrics {
	struct metrics_registry registry;  /**< Owns all families below. */
	struct metric_family *requests;	   /**< Ended requests, by account, band
					     and end. */
	struct metric_family *first_token; /**< Time to first token, by data
						centre and band. */
	struct metric_family *duration; /**< Time from admission to end, by data
					     centre and band. */
	struct metric_family *retries;	/**< Retries, by cause. */
	struct metric_family *refusals; /**< Requests not run, by cause. */
	struct metric_family *gauges;	/**< State of the host, by name. */
	struct band_totals bands[PROMPT_BAND_COUNT]; /**< Time to first token,
							  by band. */
};

/** Creates the registry and its families. Errors: ERROR_NO_MEMORY. */
enum error_code request_metrics_init(struct request_metrics *metrics);
/** Frees all families and series. */
void request_metrics_finish(struct request_metrics *metrics);
/** Index of the band of prompt length that @p prompt_tokens falls into. */
uint32_t prompt_band(uint64_t prompt_tokens);
/** Label of a band: 4k, 32k, 100k or 1M; "unknown" if it doesn't exist. */
const char *prompt_band_name(uint32_t band);
/** Records a request's time to first token, @p elapsed_ms since admission. */
void request_metrics_record_first_token(struct request_metrics *metrics,
    const char *data_centre, uint64_t prompt_tokens, int64_t elapsed_ms);
/** Records the end of a request, @p elapsed_ms after its admission; @p end is
 * "done" or an error's name. */
void request_metrics_record_end(struct request_metrics *metrics,
    const char *account, const char *data_centre, uint64_t prompt_tokens,
    const char *end, int64_t elapsed_ms);
/** Counts a request that ended without having run. */
void request_metrics_record_refusal(
    struct request_metrics *metrics, enum error_code cause);
/** Counts a retry, by the cause for which the previous attempt failed. */
void request_metrics_record_retry(
    struct request_metrics *metrics, enum error_code cause);
/** Sets the gauge with the label @p name. */
void request_metrics_set_gauge(
    struct request_metrics *metrics, const char *name, int64_t value);

#endif
