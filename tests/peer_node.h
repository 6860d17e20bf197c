/**
 * @file peer_node.h
 * A host on loopback with links to other hosts, for the tests of peer links.
 */
#ifndef PEER_NODE_H
#define PEER_NODE_H

#include <stdint.h>

#include "transport/peer_link.h"

/** A host and the events that its links reported. Messages are numbers. */
struct peer_node {
	struct timer_service timers; /**< Virtual time, in milliseconds. */
	struct peer_links links;     /**< The links that are tested. */
	uint32_t id;		     /**< Host id. */
	unsigned int received;	     /**< Messages. */
	unsigned int connects;	     /**< Links that were made. */
	unsigned int reconnects;     /**< Links that were made again. */
	unsigned int disconnects;    /**< Links that ended. */
	uint32_t last_number;	     /**< Number in the last message. */
	unsigned int out_of_order;   /**< Messages whose number didn't rise. */
	enum error_code refusal;     /**< Reason of the last refused link. */
};

/** Fills in the settings of a host of the cluster "test". */
void peer_node_fill_settings(struct peer_link_settings *settings, uint32_t id);
/** Starts a host. It listens on a free one of the hundred ports from
 * @p port_first on, which @p settings has afterwards; each test program has
 * other ports. */
void peer_node_start(struct peer_node *node,
    struct peer_link_settings *settings, uint16_t port_first);
/** Starts a host with the settings of peer_node_fill_settings(). */
void peer_node_start_id(
    struct peer_node *node, uint32_t id, uint16_t port_first);
/** Makes a host know another one that listens, or is reached, at a port. */
void peer_node_add_peer(struct peer_node *node, uint32_t id, uint16_t port);
/** Advances a host's time by 1 ms and handles its connections. */
void peer_node_step(struct peer_node *node);
/** Stops a host. */
void peer_node_stop(struct peer_node *node);

#endif
