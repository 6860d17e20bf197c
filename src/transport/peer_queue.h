/**
 * @file peer_queue.h
 * Bounded queue of the messages to one peer. When it is full, it drops the
 * messages that matter least, by channel and age.
 */
#ifndef PEER_QUEUE_H
#define PEER_QUEUE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "protocol/peer_port.h"

/** A queued message. */
struct peer_queue_item {
	enum peer_channel channel; /**< Channel; sets the drop priority. */
	size_t size;		   /**< Size of the body in bytes. */
	unsigned char body[];	   /**< Message as it is sent. */
};

/** Messages to one peer in the order of sending. */
struct peer_queue {
	GQueue items;	   /**< Messages, struct peer_queue_item. */
	size_t bytes;	   /**< Bytes of all queued bodies. */
	size_t bytes_max;  /**< Limit for bytes, which a single message in an
			   * otherwise empty queue may exceed. */
	uint64_t *dropped; /**< Drop counters by channel, owned by the caller.
			    */
};

/** Prepares an empty queue. @p dropped points to PEER_CHANNEL_COUNT counters
 * that must outlive the queue. */
void peer_queue_init(
    struct peer_queue *queue, size_t bytes_max, uint64_t *dropped);
/** Drops all messages and counts them as dropped. */
void peer_queue_clear(struct peer_queue *queue);
/** Appends a copy of a message and drops others of the same or a lower priority
 * if there is no room. Errors: ERROR_TABLE_FULL if the new message was dropped
 * instead. ERROR_CONNECTION if it was a consensus message: the caller must then
 * close the link, since consensus messages may not be lost singly. */
enum error_code peer_queue_push(struct peer_queue *queue,
    enum peer_channel channel, const void *body, size_t size);
/** Removes and returns the oldest message, NULL if the queue is empty. The
 * caller frees it with free(). */
struct peer_queue_item *peer_queue_pop(struct peer_queue *queue);

#endif
