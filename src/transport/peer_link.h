/**
 * @file peer_link.h
 * Authenticated TCP links to the other hosts, driven by one polling thread.
 *
 * A link is dialled when a message is sent and no link exists. After a failure
 * the next dial waits for a jittered, exponentially growing backoff. Both
 * sides prove that they have the same pre-shared key before messages pass. If
 * two hosts dial each other at once, both keep the link that the host with the
 * lower id dialled; of two links dialled by the same host the newer is kept.
 * A link to a later incarnation of the other host always wins.
 *
 * A link that carries nothing any more, though nothing has ended it, is found
 * when bytes sent on it stay without acknowledgement. Another link is dialled
 * then, and replaces it if it works; so a host that is only frozen or slow keeps
 * its link. Links of two hosts are numbered, and the one with the higher number
 * stays.
 *
 * Each peer has one bounded send queue. When it is full, the oldest load
 * reports are dropped first, then the oldest membership gossip, then the
 * oldest of the other messages (feed, commands, grants). Consensus messages
 * are never dropped singly: the link is closed instead. Messages sent while no
 * link exists and the backoff still runs are dropped at once.
 */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "protocol/frame.h"
#include "protocol/peer_port.h"
#include "state/handle_table.h"
#include "transport/timer.h"

#define PEER_KEYS_MAX	  2  /**< Keys valid at a time, for key rotation. */
#define PEER_IP_SIZE_MAX  46 /**< Bytes of an IP address as text with NUL. */
#define PEER_ACCEPTED_MAX 64 /**< Links at a time without authentication. */

/** A pre-shared key that authenticates hosts. */
struct peer_key {
	uint32_t id;			   /**< Key id sent in handshakes. */
	unsigned char key[FRAME_KEY_SIZE]; /**< Secret key bytes. */
};

/** Settings of the links; zero selects the default where one is given. */
struct peer_link_settings {
	uint32_t host_id; /**< Id of this host, not 0. */
	/** Incarnation of this process, increased at each start. */
	uint64_t incarnation;
	/** Cluster name; hosts that give another one are refused. */
	char cluster_id[NAME_SIZE_MAX];
	char listen_ip[PEER_IP_SIZE_MAX];    /**< IP address to listen on. */
	uint16_t listen_port;		     /**< TCP port; 0: any free one. */
	struct peer_key keys[PEER_KEYS_MAX]; /**< Accepted keys; the first is
					      * used for dialling. */
	uint32_t key_count;		     /**< Number of keys, at least 1. */
	uint32_t hosts_max; /**< Most peers remembered; default HOSTS_MAX. */
	uint32_t queue_bytes_max; /**< Most bytes queued for a peer;
				   * default 1 MiB. */
	/** First pause before a redial; default 100. */
	int64_t backoff_min_ms;
	/** Longest pause before a redial; default 5,000. */
	int64_t backoff_max_ms;
	/** Time to connect and authenticate; default 3,000. */
	int64_t handshake_timeout_ms;
};

/** Callbacks, called from peer_links_handle(), from peer_links_send() and from
 * timers. */
struct peer_link_ops {
	/** A message arrived; @p body is valid during the call only. */
	void (*on_frame)(void *context, uint32_t from_host,
	    enum peer_channel channel, const void *body, size_t size);
	/** A host has authenticated and can be sent to; may be NULL. */
	void (*on_connected)(
	    void *context, uint32_t host_id, uint64_t incarnation);
	/** The link to a host was replaced, or made again after it was lost,
	 * while both hosts went on running: messages may have been lost; may be
	 * NULL. */
	void (*on_reconnected)(void *context, uint32_t host_id);
	/** The link to a connected host was lost; may be NULL. */
	void (*on_disconnected)(void *context, uint32_t host_id);
	/** This host refused a link, or the other host refused ours; may be
	 * NULL. @p host_id is 0 if the other host is not known. @p error:
	 * ERROR_UNAUTHENTICATED, ERROR_WRONG_CLUSTER, ERROR_STALE (replayed
	 * frame), ERROR_TIMEOUT, ERROR_INVALID_ARGUMENT (unexpected host id),
	 * ERROR_TABLE_FULL, or one of frame_decoder_next(). */
	void (*on_refused)(
	    void *context, uint32_t host_id, enum error_code error);
	void *context; /**< First argument of the callbacks. */
};

/** Counters of the messages on one channel. */
struct peer_channel_counters {
	uint64_t frames_out; /**< Frames written to links. */
	uint64_t bytes_out;  /**< Bytes written with header and MAC. */
	uint64_t frames_in;  /**< Frames passed to on_frame(). */
	uint64_t bytes_in;   /**< Bytes received with header and MAC. */
	uint64_t dropped;    /**< Messages not sent because the queue was full,
			      * no link existed or the host is unknown. */
};

/** Counters of all links. */
struct peer_link_counters {
	/** Indexed by enum peer_channel. */
	struct peer_channel_counters channels[PEER_CHANNEL_COUNT];
	uint64_t dials;	    /**< Outgoing connections started. */
	uint64_t accepted;  /**< Incoming connections accepted. */
	uint64_t refused;   /**< Links closed for failed authentication, bad
			     * data or too many links. */
	uint64_t silences;  /**< Links replaced because they were silent. */
	uint64_t overflows; /**< Links closed because a consensus message did
			     * not fit into the queue. */
};

/** All links of this host, and the peers they lead to. */
struct peer_links {
	struct peer_link_settings settings; /**< Settings with defaults. */
	struct timer_service *timers;	    /**< Handshake timeouts and time. */
	struct random_source random;	    /**< Jitter of the backoff. */
	struct peer_link_ops ops;	    /**< Callbacks to the owner. */
	struct peer_link_counters counters; /**< Traffic and errors so far. */
	struct handle_table links; /**< Open links; items are struct link *. */
	GHashTable *peers;	   /**< Host id to struct peer. */
	struct handle liveness_timer;  /**< Looks for links that are silent. */
	struct timer_lag liveness_lag; /**< How late the looks at links come. */
	uint32_t unauthenticated_count; /**< Links in the handshake. */
	int listen_fd;			/**< Listening socket. */
	int epoll_fd;	      /**< Descriptor that peer_links_fd() gives. */
	uint16_t listen_port; /**< TCP port in use for listening. */
	GQueue closed_links;  /**< Closed links that peer_links_handle() is to
				 * free once no function uses them. */
};

/* Setting up */

/** Starts to listen. Call sodium_init() before. @p seed seeds the jitter of
 * the backoff. Errors: ERROR_INVALID_ARGUMENT, ERROR_IO, ERROR_NO_MEMORY. */
enum error_code peer_links_init(struct peer_links *links,
    const struct peer_link_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_link_ops ops);
/** Closes all links and the listening socket, without callbacks, and erases the
 * keys from memory. */
void peer_links_finish(struct peer_links *links);

/* Hosts */

/** Adds a host or changes its address. If the table is full, the least recently
 * used host without a link is removed. Errors: ERROR_TABLE_FULL if all have
 * links, ERROR_INVALID_ARGUMENT for a bad address or the own host id. */
enum error_code peer_links_add_host(
    struct peer_links *links, uint32_t host_id, const char *ip, uint16_t port);
/** Dials the address of a seed host; on_connected() reports its host id.
 * Errors: ERROR_INVALID_ARGUMENT, ERROR_TABLE_FULL, ERROR_IO,
 * ERROR_CONNECTION. */
enum error_code peer_links_dial_seed(
    struct peer_links *links, const char *ip, uint16_t port);

/** True if a host with this incarnation was linked to this host and numbers
 * its links. Builds that state no level in membership differ by this. */
bool peer_links_is_numbering(
    const struct peer_links *links, uint32_t host_id, uint64_t incarnation);

/** True if a host with this incarnation was linked to this host. */
bool peer_links_was_linked(
    const struct peer_links *links, uint32_t host_id, uint64_t incarnation);
/** Dials a host that has no link, as a message to it would. Returns whether it
 * did: the address must be known, and no backoff may run. */
bool peer_links_meet(struct peer_links *links, uint32_t host_id);

/* Sending */

/** Queues a message for a host and dials the host if there is no link. The
 * message may be dropped, as the head of this file describes. */
void peer_links_send(struct peer_links *links, uint32_t host_id,
    enum peer_channel channel, const void *body, size_t size);
/** Returns the interface through which other modules send messages over these
 * links. */
struct peer_port peer_links_port(struct peer_links *links);

/* Polling */

/** Returns the file descriptor to poll; it is readable when
 * peer_links_handle() has work. */
int peer_links_fd(const struct peer_links *links);
/** Handles pending network events without blocking. The owner calls it
 * whenever poll() reports peer_links_fd() readable. */
void peer_links_handle(struct peer_links *links);
/** Returns the TCP port that the links listen on. */
uint16_t peer_links_listen_port(const struct peer_links *links);

#endif
