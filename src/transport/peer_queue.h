/**
 * @file peer_queue.h
 * The bounded queue of what waits for one peer, and what it drops when full.
 */
#ifndef PEER_QUEUE_H
#define PEER_QUEUE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "protocol/peer_port.h"

/** A message that waits. */
struct peer_queue_item {
	enum peer_channel channel; /**< Decides what is dropped first. */
	size_t size;		   /**< Bytes of the body. */
	unsigned char body[];	   /**< The body. */
};

/** The queue; items are in the order of sending. */
struct peer_queue {
	GQueue items;	   /**< struct peer_queue_item. */
	size_t bytes;	   /**< Of all bodies. */
	size_t bytes_max;  /**< Bound; one message alone may pass it. */
	uint64_t *dropped; /**< Counters by channel, the owner's. */
};

/** Prepares an empty queue. */
void peer_queue_init(
    struct peer_queue *queue, size_t bytes_max, uint64_t *dropped);
/** Drops and counts everything. */
void peer_queue_clear(struct peer_queue *queue);
/** Adds a message; drops the least needed ones first. Errors:
 * ERROR_TABLE_FULL if it was dropped itself, ERROR_CONNECTION if consensus
 * had to be dropped: the link must be closed. */
enum error_code peer_queue_push(struct peer_queue *queue,
    enum peer_channel channel, const void *body, size_t size);
/** Takes the oldest message, NULL for none; the caller frees it. */
struct peer_queue_item *peer_queue_pop(struct peer_queue *queue);

#endif
