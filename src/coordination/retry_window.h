/**
 * @file retry_window.h
 * A retry budget over a sliding window, divided among the hosts.
 *
 * Within a window the fleet may retry a ratio of its requests, plus a fixed
 * slack. Each host applies the ratio to its own requests and adds its share of
 * the slack, so the limit holds for the fleet without messages between hosts.
 * Time is divided into slots, and counts are kept by slot. The slots always
 * span at least the whole window, so no retry leaves the count too early.
 */
#ifndef RETRY_WINDOW_H
#define RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_WINDOW_SLOTS 20 /**< Number of slots of the window. */

/** Retry budget of one service; a zeroed one allows only the slack. */
struct retry_window {
	int64_t slot_ms; /**< Length of a slot. */
	int64_t slot;	 /**< Number of the current slot since time 0. */
	double ratio;	 /**< Retries allowed per request. */
	uint32_t requests[RETRY_WINDOW_SLOTS]; /**< Requests, by slot. */
	uint32_t retries[RETRY_WINDOW_SLOTS];  /**< Retries, by slot. */
};

/** Initialises a budget of @p ratio retries per request over @p window_ms. */
void retry_window_init(
    struct retry_window *window, double ratio, int64_t window_ms);
/** Records a new request, whose first attempt isn't a retry. */
void retry_window_record_request(struct retry_window *window, int64_t now_ms);
/** Whether one more retry is allowed now; @p slack is this host's share of the
 * retries allowed beyond the ratio. */
bool retry_window_allows(
    struct retry_window *window, double slack, int64_t now_ms);
/** Records a retry. */
void retry_window_record_retry(struct retry_window *window, int64_t now_ms);

#endif
