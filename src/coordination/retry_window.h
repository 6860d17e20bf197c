/**
 * @file retry_window.h
 * A retry budget over a sliding window, shared out among hosts.
 *
 * The fleet may send a ratio of its requests, and a slack, again within a
 * window. Each host takes the ratio of its own requests and its share of the
 * slack, so the sum holds without a word between hosts. Time is cut into
 * slots; a window counts as full slots, so it is never longer than meant.
 */
#ifndef RETRY_WINDOW_H
#define RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_WINDOW_SLOTS 20 /**< Slots of a window. */

/** The budget of one service. Zero is a budget that allows nothing. */
struct retry_window {
	int64_t slot_ms; /**< Length of a slot. */
	int64_t slot;	 /**< Number of the current one. */
	double ratio;	 /**< Of the requests. */
	uint32_t requests[RETRY_WINDOW_SLOTS]; /**< First sends, by slot. */
	uint32_t retries[RETRY_WINDOW_SLOTS];  /**< Further sends, by slot. */
};

/** Prepares a budget. */
void retry_window_init(
    struct retry_window *window, double ratio, int64_t window_ms);
/** A request of a caller came. */
void retry_window_note_request(struct retry_window *window, int64_t now_ms);
/** True if one more may be sent again; @p slack is this host's share. */
bool retry_window_allows(
    struct retry_window *window, double slack, int64_t now_ms);
/** One was sent again. */
void retry_window_note_retry(struct retry_window *window, int64_t now_ms);

#endif
