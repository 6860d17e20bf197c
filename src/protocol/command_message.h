/**
 * @file command_message.h
 * Commands on their way to the leader, and the answers.
 */
#ifndef COMMAND_MESSAGE_H
#define COMMAND_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"

/** What a message says; the number is on the wire. */
enum command_message_type {
	COMMAND_MESSAGE_REQUEST = 1, /**< A command for the leader. */
	COMMAND_MESSAGE_REPLY = 2,   /**< Its result, or why there is none. */
};

/** A message. */
struct command_message {
	enum command_message_type type; /**< What it says. */
	uint64_t session;		/**< The client's run. */
	uint64_t number;		/**< Which of its commands. */
	uint32_t attempt;		/**< Which sending of it. */
	enum error_code error;		/**< Reply: ERROR_NONE with a result. */
	uint32_t leader_id;		/**< Reply: who leads, or 0. */
	const void *data;		/**< Command or result. */
	size_t data_size;		/**< Bytes of it. */
	struct message_reader reader;	/**< Holds what was decoded. */
};

/** Writes a message. */
void command_message_encode(
    const struct command_message *message, struct message_writer *writer);
/** Reads a message. Errors: of the codec, ERROR_UNSUPPORTED_VERSION; after an
 * error there is nothing to finish. */
enum error_code command_message_decode(
    struct command_message *message, const void *data, size_t size);
/** Gives back what decoding took. */
void command_message_finish(struct command_message *message);

#endif
