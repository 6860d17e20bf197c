/**
 * @file handshake_message.h
 * The handshake of a peer link: hello, welcome, refusal.
 *
 * The dialer says hello, the acceptor answers with a welcome that proves the
 * key, and the dialer's next frame proves it by its MAC. Both nonces go into
 * the session's keys, so nothing of an older session is taken.
 */
#ifndef HANDSHAKE_MESSAGE_H
#define HANDSHAKE_MESSAGE_H

#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "protocol/codec.h"
#include "protocol/frame.h"

#define HANDSHAKE_VERSION 1 /**< Version of these messages. */

/** Types of messages. */
enum handshake_type {
	HANDSHAKE_TYPE_HELLO = 1,   /**< From the dialer. */
	HANDSHAKE_TYPE_WELCOME = 2, /**< From the acceptor. */
	HANDSHAKE_TYPE_REFUSAL = 3, /**< From the acceptor; a hint only. */
};

/** A message; fields that its type does not use are zero. */
struct handshake_message {
	enum handshake_type type;	       /**< See above. */
	char cluster_id[NAME_SIZE_MAX];	       /**< Of the sender. */
	uint32_t key_id;		       /**< HELLO: key to use. */
	uint32_t host_id;		       /**< Of the sender. */
	uint64_t incarnation;		       /**< Of the sender. */
	unsigned char nonce[FRAME_NONCE_SIZE]; /**< Fresh. */
	unsigned char proof[FRAME_PROOF_SIZE]; /**< WELCOME: knows the key. */
	enum error_code error;		       /**< REFUSAL: why. */
};

/** Writes a message. */
void handshake_message_write(
    struct message_writer *writer, const struct handshake_message *message);
/** Reads one. Errors: those of the codec, ERROR_NOT_SUPPORTED (type). */
enum error_code handshake_message_read(
    const void *body, size_t size, struct handshake_message *message);
/** Derives the session from both messages. */
void handshake_derive(struct frame_session *session,
    const unsigned char shared_key[FRAME_KEY_SIZE],
    const struct handshake_message *hello,
    const struct handshake_message *welcome);

#endif
