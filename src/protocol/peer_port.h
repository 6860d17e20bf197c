/**
 * @file peer_port.h
 * How a part of a host sends to the same part of another host.
 *
 * Parts do no I/O: they hand bytes to a port. In a host the port queues them
 * on a peer link; in a test it puts them on a faulty link in virtual time.
 * Delivery is at most once, in order or not, and may fail silently.
 */
#ifndef PEER_PORT_H
#define PEER_PORT_H

#include <stddef.h>
#include <stdint.h>

/** Which part a frame belongs to; the number is on the wire. */
enum peer_channel {
	PEER_CHANNEL_MEMBERSHIP = 1, /**< Gossip: hosts and upstreams. */
	PEER_CHANNEL_CONSENSUS = 2,  /**< Between voters. */
	PEER_CHANNEL_FEED = 3,	     /**< Configuration to learners, leases. */
	PEER_CHANNEL_COMMAND = 4,    /**< Commands forwarded to the leader. */
	PEER_CHANNEL_GRANT = 5,	     /**< Capacity owners and entry hosts. */
	PEER_CHANNEL_LOAD = 6,	     /**< Load reports, cache events. */
	PEER_CHANNEL_WORK = 7,	     /**< Between entry hosts: their work. */
	PEER_CHANNEL_COUNT
};

/** Where a part sends its frames. */
struct peer_port {
	/** Queues a message for @p host_id; may drop it. */
	void (*send)(void *context, uint32_t host_id, enum peer_channel channel,
	    const void *body, size_t size);
	void *context; /**< Passed back to send(). */
};

#endif
