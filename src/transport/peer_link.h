/**
 * @file peer_link.h
 * TCP links to the other hosts, for one thread that polls.
 *
 * Links are dialled when something is sent and again after a jittered,
 * growing pause. Both sides prove a pre-shared key before anything is passed
 * on. Of two links between the same hosts the one stays that the lower host
 * id dialled; of two dialled by one host the newer stays.
 *
 * Each peer has one bounded queue. When it is full the oldest load report goes
 * first, then the oldest gossip, then the oldest of feed, command and grant;
 * consensus is never dropped in the middle: the link is closed instead.
 * What is sent while a link waits for its next dial is dropped at once.
 */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "protocol/frame.h"
#include "protocol/peer_port.h"
#include "state/handle_table.h"
#include "transport/timer.h"

#define PEER_KEYS_MAX	  2  /**< Keys valid at once, for rotation. */
#define PEER_IP_SIZE_MAX  46 /**< Bytes of an IP number with its end mark. */
#define PEER_ACCEPTED_MAX 64 /**< Accepted links not yet authenticated. */

/** A pre-shared key. */
struct peer_key {
	uint32_t id;			   /**< Names it on the wire. */
	unsigned char key[FRAME_KEY_SIZE]; /**< The secret. */
};

/** Settings. Zero stands for the default where one is named. */
struct peer_link_settings {
	uint32_t host_id;		     /**< Own id, not 0. */
	uint64_t incarnation;		     /**< Of this process; grows. */
	char cluster_id[NAME_SIZE_MAX];	     /**< Others are refused. */
	char listen_ip[PEER_IP_SIZE_MAX];    /**< IP number to listen at. */
	uint16_t listen_port;		     /**< 0 takes any free port. */
	struct peer_key keys[PEER_KEYS_MAX]; /**< The first one is dialled
						with. */
	uint32_t key_count;		     /**< Keys in use, at least 1. */
	uint32_t hosts_max;		     /**< Default HOSTS_MAX. */
	uint32_t queue_bytes_max;	     /**< A peer; default 1 MiB. */
	int64_t backoff_min_ms;		     /**< First pause; default 100. */
	int64_t backoff_max_ms;		     /**< Longest; default 5,000. */
	int64_t handshake_ms;		     /**< Time bound; default 3,000. */
};

/** Calls made from peer_links_handle() and from timers. */
struct peer_link_ops {
	/** A frame came; the body is valid during the call. */
	void (*receive)(void *context, uint32_t from_host,
	    enum peer_channel channel, const void *body, size_t size);
	/** A host proved itself; may be NULL. */
	void (*connected)(
	    void *context, uint32_t host_id, uint64_t incarnation);
	/** Its link is down; may be NULL. */
	void (*disconnected)(void *context, uint32_t host_id);
	/** A connection was refused, or a host refused ours; may be NULL.
	 * Errors: ERROR_UNAUTHENTICATED, ERROR_WRONG_CLUSTER, ERROR_STALE
	 * (replay), ERROR_TIMEOUT, those of frame_decoder_next(). */
	void (*refused)(void *context, uint32_t host_id, enum error_code error);
	void *context; /**< Passed back. */
};

/** Counters of a channel. */
struct peer_channel_counters {
	uint64_t frames_out; /**< Frames put on a link. */
	uint64_t bytes_out;  /**< Their bytes with header and MAC. */
	uint64_t frames_in;  /**< Frames passed on. */
	uint64_t bytes_in;   /**< Their bytes with header and MAC. */
	uint64_t dropped;    /**< Not sent: full queue, no link, unknown. */
};

/** Counters. */
struct peer_link_counters {
	struct peer_channel_counters
	    channels[PEER_CHANNEL_COUNT]; /**< By enum peer_channel. */
	uint64_t dials;			  /**< Connections begun. */
	uint64_t accepted;		  /**< Connections taken. */
	uint64_t refused;		  /**< Not authenticated, or bad. */
	uint64_t overflows;		  /**< Links closed: consensus full. */
};

/** The links. */
struct peer_links {
	struct peer_link_settings settings; /**< With defaults put in. */
	struct timer_service *timers;	    /**< For pauses and bounds. */
	struct random_source random;	    /**< Jitter. */
	struct peer_link_ops ops;	    /**< Whom to call. */
	struct peer_link_counters counters; /**< See above. */
	struct handle_table links;	    /**< struct link, see source. */
	GHashTable *peers; /**< Host id to struct peer, see source. */
	uint32_t unnamed;  /**< Links whose host is not known yet. */
	int listen_fd;	   /**< Listening socket. */
	int epoll_fd;	   /**< What the owner waits on. */
	uint16_t port;	   /**< Port that it listens at. */
	GQueue closed;	   /**< Links to free after the call. */
};

/* Setting up */

/** Listens. Errors: ERROR_INVALID_ARGUMENT, ERROR_IO, ERROR_NO_MEMORY.
 * Needs sodium_init(). */
enum error_code peer_links_init(struct peer_links *links,
    const struct peer_link_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_link_ops ops);
/** Closes everything. */
void peer_links_finish(struct peer_links *links);

/* Hosts */

/** Adds a host or changes its address; when full, the host without a link
 * that was used least lately is forgotten. Errors: ERROR_TABLE_FULL,
 * ERROR_INVALID_ARGUMENT. */
enum error_code peer_links_add_host(
    struct peer_links *links, uint32_t host_id, const char *ip, uint16_t port);
/** Dials a seed whose host id is not known; connected() tells it. Errors:
 * ERROR_INVALID_ARGUMENT, ERROR_TABLE_FULL, ERROR_IO. */
enum error_code peer_links_dial_seed(
    struct peer_links *links, const char *ip, uint16_t port);

/* Sending */

/** Queues a frame; may drop it, see above. */
void peer_links_send(struct peer_links *links, uint32_t host_id,
    enum peer_channel channel, const void *body, size_t size);
/** The port that decision modules send to. */
struct peer_port peer_links_port(struct peer_links *links);

/* Polling */

/** Readable when peer_links_handle() has something to do. */
int peer_links_fd(const struct peer_links *links);
/** Handles what is ready, without waiting; call it in a loop with poll(). */
void peer_links_handle(struct peer_links *links);
/** Port that it listens at. */
uint16_t peer_links_port_number(const struct peer_links *links);

#endif
