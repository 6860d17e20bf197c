/**
 * @file peer_link_parts.h
 * Declarations shared by the source files of the links between hosts only.
 */
#ifndef PEER_LINK_PARTS_H
#define PEER_LINK_PARTS_H

#include <sys/socket.h>

#include "protocol/handshake_message.h"
#include "transport/peer_link.h"
#include "transport/peer_queue.h"

/** Progress of a link through its handshake. */
enum link_state {
	LINK_CONNECTING,    /**< Dialled; TCP connection not made yet. */
	LINK_AWAIT_WELCOME, /**< The link was dialled and the hello is sent. */
	/** The link was accepted; nothing is received yet. */
	LINK_AWAIT_HELLO,
	LINK_AWAIT_READY, /**< The link was accepted and the welcome is sent. */
	LINK_ESTABLISHED, /**< Both sides have proved the key. */
	LINK_CLOSED,	  /**< Closed and about to be freed. */
};

/** Socket address for bind() and connect(). */
struct peer_address {
	struct sockaddr_storage storage; /**< The address itself. */
	socklen_t size;			 /**< Bytes of it in use. */
};

/** A TCP connection to another host, with its handshake and frame state. */
struct link {
	struct peer_links *links; /**< All links of this host. */
	struct handle handle;	  /**< Handle of this link among them. */
	enum link_state state;	  /**< Progress of the handshake. */
	int fd;			  /**< Socket. */
	bool is_dialled;	  /**< This host dialled, the other accepted. */
	bool wants_write;	  /**< The socket is polled for EPOLLOUT. */
	uint32_t peer_id;	  /**< Id of the other host, 0 until known. */
	uint64_t incarnation;	  /**< Incarnation of the other host. */
	uint64_t generation;	  /**< Number of the link to the other host. */
	bool is_numbered;	  /**< The other host numbers links, too. */
	/** Hello that was sent, if dialled. */
	struct handshake_message hello;
	struct frame_decoder decoder; /**< Splits received bytes in frames. */
	unsigned char send_key[FRAME_KEY_SIZE]; /**< Key of sent frames. */
	bool has_send_key;			/**< The send_key is set. */
	uint64_t send_sequence; /**< Number of the next frame. */
	GByteArray *out;	/**< Encoded frames to write to the socket. */
	size_t out_sent;	/**< Bytes of out already written. */
	uint64_t sent_bytes;	/**< Bytes that the socket has taken. */
	uint64_t acked_bytes;	/**< Of those, acknowledged when last looked. */
	bool is_waiting;	/**< Some may not be acknowledged yet. */
	int64_t waiting_ms;	/**< Time since which none was. */
	bool is_suspected;	/**< It seems silent, another one is dialled. */
	struct handle timer;	/**< Handshake timeout. */
};

/** Another host, with its address, links and send queue. */
struct peer {
	uint32_t id;		   /**< Id of the host. */
	char ip[PEER_IP_SIZE_MAX]; /**< Empty if the address is not known. */
	uint16_t port;		   /**< Port that it listens on. */
	struct link *link;	   /**< Established link, or NULL. */
	struct link *dial;	   /**< Link being dialled, or NULL. */
	struct peer_queue queue;   /**< Messages to send. */
	/** Drops by the queue, not yet added to the counters. */
	uint64_t dropped[PEER_CHANNEL_COUNT];
	int64_t backoff_ms;   /**< Current backoff, before jitter. */
	int64_t next_dial_ms; /**< No dialling before this time. */
	int64_t last_used_ms; /**< Time of creation or last send. */
	uint64_t generation;  /**< Highest number of a link so far. */
	/** Incarnation of the host when a link to it was last lost, or 0. */
	uint64_t lost_incarnation;
	/** Incarnation of the host in its last handshake, or 0. */
	uint64_t linked_incarnation;
	bool is_numbering; /**< It numbers links, by that handshake. */
};

/* peer_link.c */

/** Returns a host, or NULL if it is unknown. */
struct peer *peer_links_find(const struct peer_links *links, uint32_t host_id);
/** Adds a host that is unknown so far. Returns NULL if the table is full or
 * there is no memory. */
struct peer *peer_links_add(struct peer_links *links, uint32_t host_id);
/** Adds the drops of a host's queue to the counters. */
void peer_links_collect_drops(struct peer_links *links, struct peer *peer);

/* peer_connect.c */

/** Reads an IP address as text. Errors: ERROR_INVALID_ARGUMENT. */
enum error_code peer_address_parse(
    const char *ip, uint16_t port, struct peer_address *address);
/** Dials a host unless its address is unknown or its backoff still runs. */
void peer_links_dial(struct peer_links *links, struct peer *peer);
/** Starts a link to an address. Errors: ERROR_IO, ERROR_CONNECTION,
 * ERROR_TABLE_FULL. */
enum error_code peer_links_dial_address(struct peer_links *links,
    const struct peer_address *address, struct link **link);
/** Accepts the connections that wait at the listening socket. */
void peer_links_accept(struct peer_links *links);
/** Makes a link whose handshake is complete the one to its peer. */
void peer_link_establish(struct link *link);
/** Returns true if @p link is to replace @p other. The rule gives the same
 * result on both hosts, so that they keep the same one of two links. A host
 * that does not number its links knows only who dialled; its numbers count for
 * nothing. */
bool peer_link_is_preferred(const struct link *link, const struct link *other);
/** Closes a link and reports why it was refused. */
void peer_link_refuse(struct link *link, enum error_code error);
/** Closes a link; peer_links_free_closed() frees it. */
void peer_link_close(struct link *link);
/** Frees the closed links. No function further up the call stack may use one
 * of them. */
void peer_links_free_closed(struct peer_links *links);

/* peer_stream.c */

/** Handles the events of a link's socket, given as for epoll. */
void peer_link_handle(struct link *link, uint32_t events);
/** Appends a frame to the bytes to send on a link. */
void peer_link_append(
    struct link *link, uint8_t channel, const void *body, size_t size);
/** Sends as many of the bytes and queued messages as the socket takes. */
void peer_link_flush(struct link *link);

/* peer_handshake.c */

/** Sends the first message of the handshake on a link that was dialled. */
void peer_handshake_begin(struct link *link);
/** Handles a message of the handshake. */
void peer_handshake_receive(struct link *link, const struct frame *frame);

/* peer_liveness.c */

/** Starts to look for links that have fallen silent. Errors: those of
 * timer_subscribe_every(). */
enum error_code peer_liveness_init(struct peer_links *links);
/** Ends that. */
void peer_liveness_finish(struct peer_links *links);
/** Records that the socket of an established link has taken bytes. */
void peer_liveness_note_sent(struct link *link, size_t size);
/** Returns true if a link that was dialled in place of a silent one is not
 * needed any more, since that one has proved to work. */
bool peer_liveness_is_needless(const struct link *link);

#endif
