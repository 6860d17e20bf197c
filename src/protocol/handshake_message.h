/**
 * @file handshake_message.h
 * Messages of the handshake on a peer link: hello, welcome and refusal.
 *
 * The dialer sends a hello. The acceptor answers with a welcome that proves
 * that it knows the shared key, and the dialer proves the same by the MAC of
 * its next frame. The nonces of both sides enter the keys of the session, so
 * frames of an earlier session are rejected.
 */
#ifndef HANDSHAKE_MESSAGE_H
#define HANDSHAKE_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"
#include "protocol/codec.h"
#include "protocol/frame.h"

#define HANDSHAKE_VERSION 1 /**< Version of the handshake messages. */

/** Type of a message, with its number on the wire. */
enum handshake_type {
	HANDSHAKE_TYPE_HELLO = 1,   /**< From the dialer: opens a session. */
	HANDSHAKE_TYPE_WELCOME = 2, /**< Reply that accepts the session. */
	/** From the acceptor: rejects the hello. It is not authenticated, so
	 * its error is only a hint. */
	HANDSHAKE_TYPE_REFUSAL = 3,
};

/** A handshake message. Fields that a type does not use are zero. */
struct handshake_message {
	enum handshake_type type;	/**< Hello, welcome or refusal. */
	char cluster_id[NAME_SIZE_MAX]; /**< Cluster of the sender. */
	/** HELLO: id of the shared key to use. WELCOME: the same id. */
	uint32_t key_id;
	uint32_t host_id;     /**< Host id of the sender. */
	uint64_t incarnation; /**< Incarnation of the sender's process. */
	/** HELLO: number of this link among those of the two hosts, as far as
	 * the dialer knows them; 0 from earlier versions. */
	uint64_t generation;
	/** Set when a message is read: the sender's build numbers its links,
	 * whatever the type of the message. */
	bool has_generation;
	/** Random bytes, new in each message. */
	unsigned char nonce[FRAME_NONCE_SIZE];
	/** WELCOME: proof that the acceptor knows the shared key. */
	unsigned char proof[FRAME_PROOF_SIZE];
	enum error_code error; /**< REFUSAL: reason for the rejection. */
};

/** Writes a message into an initialised writer. */
void handshake_message_write(
    struct message_writer *writer, const struct handshake_message *message);
/** Reads a message. Errors: those of the codec, ERROR_MALFORMED for a nonce or
 * proof of a wrong size, ERROR_NOT_SUPPORTED for an unknown type. */
enum error_code handshake_message_read(
    const void *body, size_t size, struct handshake_message *message);
/** Derives the keys and the proof of a session from the shared key and both
 * messages. The proof in @p welcome is not used, so the acceptor can call this
 * before it sets the proof. */
void handshake_derive_session(struct frame_session *session,
    const unsigned char shared_key[FRAME_KEY_SIZE],
    const struct handshake_message *hello,
    const struct handshake_message *welcome);

#endif
