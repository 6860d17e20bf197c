/**
 * @file frame.h
 * Frames of the connection between two hosts: a fixed header, a body and a
 * message authentication code (MAC).
 *
 * The header is big-endian: size of the body (4 bytes), version (1),
 * channel (1), zero (2), host id of the sender (4), incarnation of the sender
 * (8), sequence number (8). The body follows, then a MAC of 16 bytes over
 * header and body. Each session has a MAC key for each direction. Sequence
 * numbers start at 0 and have no gaps, so that a replayed, dropped or
 * reordered frame is detected and rejected.
 *
 * Frames of the handshake have channel 0. The first frame of each side has no
 * MAC, as the session has no keys yet. The acceptor proves in the body of its
 * first frame that it knows the shared key, the dialer by the MAC of its
 * second frame.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

#define FRAME_VERSION	  1  /**< Version of the frame format. */
#define FRAME_HEADER_SIZE 28 /**< Bytes of the header. */
#define FRAME_MAC_SIZE	  16 /**< Bytes of the MAC after the body. */
#define FRAME_KEY_SIZE	  32 /**< Bytes of a shared key or MAC key. */
#define FRAME_NONCE_SIZE  32 /**< Bytes of a nonce in the handshake. */
/** Bytes of the acceptor's proof that it knows the shared key. */
#define FRAME_PROOF_SIZE 32
/** Largest body of a frame that comes before the peer is authenticated, in
 * bytes. */
#define FRAME_HELLO_SIZE_MAX  256
#define FRAME_CHANNEL_CONTROL 0 /**< Channel of the handshake. */

/** Bytes that a frame adds to its body. */
#define FRAME_OVERHEAD (FRAME_HEADER_SIZE + FRAME_MAC_SIZE)
/** Largest body of a frame, in bytes. */
#define FRAME_BODY_SIZE_MAX (FRAME_SIZE_MAX - FRAME_OVERHEAD)

/** A frame to write, or one that was read. */
struct frame {
	/** An enum peer_channel, or FRAME_CHANNEL_CONTROL. */
	uint8_t channel;
	uint32_t sender;      /**< Host id of the sender. */
	uint64_t incarnation; /**< Incarnation of the sender's process. */
	/** Sequence number in the frame's session and direction. */
	uint64_t sequence;
	/** Body; of a frame that was read, it points into the decoder's buffer
	 * and is valid until the next frame_decoder_feed(). */
	const unsigned char *body;
	size_t size; /**< Bytes of the body. */
};

/** Splits a stream of bytes into frames; initialise it with zeros. */
struct frame_decoder {
	/** Received bytes, of which those from begin up to end have not been
	 * returned as frames. */
	unsigned char *buffer;
	size_t begin; /**< Offset of the first byte not returned yet. */
	size_t end;   /**< Offset after the last received byte. */
	/** Allocated bytes of the buffer; a large empty buffer is freed. */
	size_t capacity;
	/** The peer's MAC key is set: frames must carry a valid MAC. */
	bool has_key;
	unsigned char key[FRAME_KEY_SIZE]; /**< Key of the peer's MACs. */
	uint64_t next_sequence; /**< Sequence number of the next frame. */
	/** First error of frame_decoder_next(), returned by all later calls
	 * too. */
	enum error_code failure;
};

/** Keys of a session, derived by both sides during the handshake. */
struct frame_session {
	/** Key of the MACs of the dialer's frames. */
	unsigned char dialer_key[FRAME_KEY_SIZE];
	/** Key of the MACs of the acceptor's frames. */
	unsigned char acceptor_key[FRAME_KEY_SIZE];
	/** Proof to the dialer that the acceptor knows the shared key. */
	unsigned char acceptor_proof[FRAME_PROOF_SIZE];
};

/* Writing */

/** Returns the bytes of a frame whose body has @p body_size bytes. */
size_t frame_size(size_t body_size);
/** Writes a frame to @p out, which must have room for frame_size() bytes.
 * Without a key (NULL), as at the start of the handshake, the MAC is all
 * zeros. */
void frame_write(unsigned char *out, const struct frame *frame,
    const unsigned char key[FRAME_KEY_SIZE]);

/* Reading */

/** Frees the buffer and overwrites the decoder, with its key, with zeros; it
 * can then be used for another stream. */
void frame_decoder_finish(struct frame_decoder *decoder);
/** Sets the key of the peer's MACs, which are checked from now on. */
void frame_decoder_set_key(
    struct frame_decoder *decoder, const unsigned char key[FRAME_KEY_SIZE]);
/** Appends received bytes of the stream. Errors: ERROR_NO_MEMORY,
 * ERROR_TOO_LARGE if more than FRAME_SIZE_MAX bytes are still unread, or the
 * first error of frame_decoder_next(). */
enum error_code frame_decoder_feed(
    struct frame_decoder *decoder, const void *data, size_t size);
/** Reads the next frame. ERROR_NOT_FOUND means that it is not complete yet.
 * All other errors are final: ERROR_TOO_LARGE, ERROR_UNSUPPORTED_VERSION,
 * ERROR_MALFORMED, ERROR_UNAUTHENTICATED (wrong MAC, or not a handshake frame
 * before the key is set) and ERROR_STALE (wrong sequence number). */
enum error_code frame_decoder_next(
    struct frame_decoder *decoder, struct frame *frame);
/** To be called at the end of the stream: returns ERROR_INCOMPLETE if it ended
 * inside a frame, or the error for which frame_decoder_next() failed
 * before. */
enum error_code frame_decoder_check_complete(
    const struct frame_decoder *decoder);

/* Keys of a session */

/** Derives the session's keys and proof from the shared key and from the
 * transcript of the handshake, that is what both hosts sent in their first
 * frames. sodium_init() must have been called. */
void frame_session_derive(struct frame_session *session,
    const unsigned char shared_key[FRAME_KEY_SIZE], const void *transcript,
    size_t size);

#endif
