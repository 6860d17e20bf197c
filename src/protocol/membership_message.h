/**
 * @file membership_message.h
 * A host's record and the messages of failure detection.
 */
#ifndef MEMBERSHIP_MESSAGE_H
#define MEMBERSHIP_MESSAGE_H

#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "protocol/codec.h"

#define MEMBERSHIP_MESSAGE_VERSION 1  /**< Version of these messages. */
#define HOST_IP_SIZE_MAX	   46 /**< Bytes of an IP number. */

#define HOST_FLAG_VOTER	   1u /**< Votes in the replicated log. */
#define HOST_FLAG_DRAINING 2u /**< Is being stopped: no new work. */
#define HOST_FLAG_ENTRY	   4u /**< Takes callers' requests. */

/** State of a host, in the order in which they override each other. */
enum host_state {
	HOST_STATE_ALIVE = 1,	  /**< Answers. */
	HOST_STATE_SUSPECTED = 2, /**< Does not answer somebody. */
	HOST_STATE_DEAD = 3,	  /**< Did not refute in time. */
	HOST_STATE_LEFT = 4,	  /**< Stopped as planned. */
};

/** What is known of a host. */
struct host_record {
	uint32_t id;			 /**< Not 0. */
	char ip[HOST_IP_SIZE_MAX];	 /**< Of its peer links. */
	uint16_t port;			 /**< Of its peer links. */
	char http_ip[HOST_IP_SIZE_MAX];	 /**< Of its HTTP interface. */
	uint16_t http_port;		 /**< Of its HTTP interface. */
	char data_centre[NAME_SIZE_MAX]; /**< Where it stands. */
	uint64_t incarnation;		 /**< Of its process; grows. */
	uint64_t refutation;   /**< Grows with each change and refutation. */
	enum host_state state; /**< See above. */
	uint32_t flags;	       /**< HOST_FLAG_*. */
	uint64_t voter_incarnation; /**< Of its data folder, 0 without a disk;
					 another one after its loss. */
};

/** Types of messages; gossip of hosts has 8 to 10. */
enum membership_type {
	MEMBERSHIP_TYPE_PING = 1,     /**< Answer me. */
	MEMBERSHIP_TYPE_PING_FOR = 2, /**< Ping that host in my place. */
	MEMBERSHIP_TYPE_ANSWER = 3,   /**< The host of that ping lives. */
	MEMBERSHIP_TYPE_GOSSIP = 8,   /**< First of the gossip's types. */
};

/** A message of failure detection. */
struct membership_message {
	enum membership_type type;   /**< Not gossip. */
	uint64_t number;	     /**< Of the ping, at whom asked first. */
	uint32_t subject;	     /**< Host that is pinged. */
	uint32_t asker;		     /**< Host that wants to know. */
	uint64_t known_incarnation;  /**< What the sender knows of the
				       receiver. */
	uint64_t known_refutation;   /**< The same. */
	enum host_state known_state; /**< The same; alive if unknown. */
};

/** Writes a message of failure detection. */
void membership_message_write(
    struct message_writer *writer, const struct membership_message *message);
/** Reads one. Errors: those of the codec, ERROR_NOT_SUPPORTED (type). */
enum error_code membership_message_read(
    const void *body, size_t size, struct membership_message *message);
/** Reads only version and type. */
enum error_code membership_message_type(
    const void *body, size_t size, uint32_t *type);
/** Writes a record as the body of a gossip item. */
void host_record_write(
    struct message_writer *writer, const struct host_record *host);
/** Reads one. */
enum error_code host_record_read(
    const void *body, size_t size, struct host_record *host);

#endif
