/**
 * @file peer_port.h
 * Interface by which a component of a host sends messages to the same component
 * of another host.
 *
 * Components do no I/O themselves: they hand messages to a port. In a running
 * host the port queues them on the connection to the other host; in a test it
 * puts them on a simulated faulty network in virtual time. A message is
 * delivered at most once. It may be lost without notice or overtake others.
 */
#ifndef PEER_PORT_H
#define PEER_PORT_H

#include <stddef.h>
#include <stdint.h>

/** Component to which a message belongs; the number is sent in each frame. */
enum peer_channel {
	/** Gossip about the hosts and upstreams of the fleet. */
	PEER_CHANNEL_MEMBERSHIP = 1,
	/** Consensus among the voters of the replicated log. */
	PEER_CHANNEL_CONSENSUS = 2,
	/** Feed of the configuration to hosts that are not voters, with its
	 * leases. */
	PEER_CHANNEL_FEED = 3,
	PEER_CHANNEL_COMMAND = 4, /**< Commands forwarded to the leader. */
	/** Grants of capacity, between its owners and entry hosts. */
	PEER_CHANNEL_GRANT = 5,
	/** Load reports and cache events of upstreams. */
	PEER_CHANNEL_LOAD = 6,
	/** Reports among entry hosts of the work that they have at
	 * upstreams. */
	PEER_CHANNEL_WORK = 7,
	/** One more than the largest channel number. */
	PEER_CHANNEL_COUNT
};

/** Function with which a component sends its messages. */
struct peer_port {
	/** Queues a message for the host @p host_id. The bytes are copied, and
	 * the message may be dropped without notice. */
	void (*send)(void *context, uint32_t host_id, enum peer_channel channel,
	    const void *body, size_t size);
	void *context; /**< First argument of send(). */
};

#endif
