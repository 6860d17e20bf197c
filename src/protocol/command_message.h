/**
 * @file command_message.h
 * Messages that forward commands to the leader and return their results.
 */
#ifndef COMMAND_MESSAGE_H
#define COMMAND_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"

/** Type of a message, with its number on the wire. */
enum command_message_type {
	COMMAND_MESSAGE_REQUEST = 1, /**< Submits a command to the leader. */
	COMMAND_MESSAGE_REPLY = 2,   /**< Returns the result or an error. */
};

/** A command request or its reply. A reply repeats session, number and attempt
 * of the request. */
struct command_message {
	enum command_message_type type; /**< Request or reply. */
	/** Random number of the client's run; exposes replies to an earlier
	 * run. */
	uint64_t session;
	uint64_t number;  /**< Number of the command within the session. */
	uint32_t attempt; /**< Number of this sending of the command. */
	/** Reply: ERROR_NONE if there is a result, or why there is none. */
	enum error_code error;
	/** Reply: host id of the leader as known to the sender, or 0. */
	uint32_t leader_id;
	const void *data;	      /**< Encoded command or result. */
	size_t data_size;	      /**< Size of data in bytes. */
	struct message_reader reader; /**< Memory of a decoded message. */
};

/** Writes a message into an initialised writer. */
void command_message_encode(
    const struct command_message *message, struct message_writer *writer);
/** Reads a message from bytes that must outlive it. On success, release it with
 * command_message_finish(). Errors: those of the codec,
 * ERROR_UNSUPPORTED_VERSION, ERROR_NOT_SUPPORTED for an unknown type. */
enum error_code command_message_decode(
    struct command_message *message, const void *data, size_t size);
/** Releases the memory of a decoded message. */
void command_message_finish(struct command_message *message);

#endif
