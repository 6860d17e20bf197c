/**
 * @file membership_message.h
 * Messages of failure detection, and the host records that gossip spreads.
 */
#ifndef MEMBERSHIP_MESSAGE_H
#define MEMBERSHIP_MESSAGE_H

#include <stdint.h>

#include "base/build_name.h"
#include "base/error_code.h"
#include "config.h"
#include "protocol/codec.h"

/** Version of the messages of failure detection. */
#define MEMBERSHIP_MESSAGE_VERSION 1
/** Bytes of an IP address in text form with its terminating NUL. */
#define HOST_IP_SIZE_MAX 46

#define HOST_FLAG_VOTER	   1u /**< The host is a voter of the consensus. */
#define HOST_FLAG_DRAINING 2u /**< The host is stopping: no new work. */
#define HOST_FLAG_ENTRY	   4u /**< The host accepts clients' requests. */

/** State of a host. For the same incarnation and refutation number a higher
 * state overrides a lower one. */
enum host_state {
	HOST_STATE_ALIVE = 1,	  /**< Answers pings. */
	HOST_STATE_SUSPECTED = 2, /**< Did not answer some host's pings. */
	HOST_STATE_DEAD = 3,	  /**< Did not refute the suspicion in time. */
	HOST_STATE_LEFT = 4,	  /**< Left the cluster as planned. */
};

/** What is known about a host. */
struct host_record {
	uint32_t id;			/**< Host id, never 0. */
	char ip[HOST_IP_SIZE_MAX];	/**< IP address for peer links. */
	uint16_t port;			/**< Port for peer links. */
	char http_ip[HOST_IP_SIZE_MAX]; /**< IP address for HTTP. */
	uint16_t http_port;		/**< Port for HTTP. */
	/** Name of the data centre that the host is in. */
	char data_centre[NAME_SIZE_MAX];
	/** Incarnation of the host's process, increased at each start. */
	uint64_t incarnation;
	/** Increased with each change of the record by the host itself, and
	 * when the host refutes a wrong state. */
	uint64_t refutation;
	enum host_state state; /**< Alive, suspected, dead or left. */
	uint32_t flags;	       /**< Combination of HOST_FLAG_* bits. */
	/** Incarnation of the host's data folder, 0 without a disk. It changes
	 * when the data folder is lost. */
	uint64_t voter_incarnation;
	/** Highest level of the replicated state that the host's build knows, a
	 * number of state_level.h; 0 from builds that state none. */
	uint32_t level;
	/** Name of the host's build; "" if it states none. */
	char build[BUILD_NAME_SIZE_MAX];
};

/** Type of a message, with its number on the wire. */
enum membership_type {
	MEMBERSHIP_TYPE_PING = 1, /**< Requests an answer from the target. */
	/** Requests the receiver to ping the target for the origin. */
	MEMBERSHIP_TYPE_PING_REQUEST = 2,
	MEMBERSHIP_TYPE_ANSWER = 3, /**< The target has answered the ping. */
	/** First of the three types that gossip of host records uses. */
	MEMBERSHIP_TYPE_GOSSIP = 8,
};

/** A message of failure detection. */
struct membership_message {
	enum membership_type type; /**< PING, PING_REQUEST or ANSWER. */
	/** Number that the origin gave to the ping, repeated in the answer. */
	uint64_t ping_number;
	uint32_t target; /**< Host id of the host that is pinged. */
	uint32_t origin; /**< Host id of the host that started the ping. */
	/** Incarnation that the sender has on record for the receiver, 0 if the
	 * receiver is unknown to it. With the next two fields the receiver can
	 * refute a wrong state of itself. */
	uint64_t known_incarnation;
	/** Refutation number that the sender has on record for the receiver. */
	uint64_t known_refutation;
	/** State that the sender has on record for the receiver;
	 * HOST_STATE_ALIVE if the receiver is unknown to it. */
	enum host_state known_state;
};

/** Writes a message of failure detection into an initialised writer. */
void membership_message_write(
    struct message_writer *writer, const struct membership_message *message);
/** Reads a message of failure detection. Errors: those of the codec,
 * ERROR_MALFORMED for an unknown state, ERROR_NOT_SUPPORTED for another
 * type. */
enum error_code membership_message_read(
    const void *body, size_t size, struct membership_message *message);
/** Checks the version of a message and reads its type, which may be one of
 * gossip. */
enum error_code membership_message_type(
    const void *body, size_t size, uint32_t *type);
/** Writes a host record as the body of a gossip item. */
void host_record_write(
    struct message_writer *writer, const struct host_record *host);
/** Reads a host record from the body of a gossip item. Errors: those of the
 * codec, ERROR_MALFORMED for host id 0, an unknown state or a port above
 * 65535. */
enum error_code host_record_read(
    const void *body, size_t size, struct host_record *host);

#endif
