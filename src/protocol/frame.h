/**
 * @file frame.h
 * Frames of a peer link: a fixed header, a body and a keyed checksum (MAC).
 *
 * Big-endian header: size of the body (4 bytes), version (1), channel (1),
 * zero (2), sender's host id (4), sender's incarnation (8), sequence (8).
 * Then the body and a MAC of 16 bytes over header and body under the key of
 * the session and direction. Sequence numbers start at 0 and have no gaps, so
 * a replayed, dropped or reordered frame is refused. Frames of the handshake
 * have channel 0; the first of each side has no MAC, the acceptor's proves the
 * key in its body, and the dialer's second one by its MAC.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "config.h"

#define FRAME_VERSION	      1	  /**< The version that we speak. */
#define FRAME_HEADER_SIZE     28  /**< Bytes before the body. */
#define FRAME_MAC_SIZE	      16  /**< Bytes after the body. */
#define FRAME_KEY_SIZE	      32  /**< Bytes of a key. */
#define FRAME_NONCE_SIZE      32  /**< Bytes of a nonce. */
#define FRAME_PROOF_SIZE      32  /**< Bytes of a proof of the key. */
#define FRAME_HELLO_SIZE_MAX  256 /**< Bytes of a body of the handshake. */
#define FRAME_CHANNEL_CONTROL 0	  /**< Channel of the handshake. */

/** Bytes that a frame adds to its body. */
#define FRAME_OVERHEAD (FRAME_HEADER_SIZE + FRAME_MAC_SIZE)
/** Most bytes of a body. */
#define FRAME_BODY_SIZE_MAX (FRAME_SIZE_MAX - FRAME_OVERHEAD)

/** A frame that was read; the body points into the decoder. */
struct frame {
	uint8_t channel;	   /**< enum peer_channel, or 0. */
	uint32_t sender;	   /**< Host id. */
	uint64_t incarnation;	   /**< Of the sender's process. */
	uint64_t sequence;	   /**< Of the session and direction. */
	const unsigned char *body; /**< Valid until the next feed. */
	size_t size;		   /**< Bytes of the body. */
};

/** Takes frames out of a stream of bytes. Zero is a valid start. */
struct frame_decoder {
	unsigned char *buffer; /**< Bytes not taken yet. */
	size_t begin;	       /**< First byte not taken. */
	size_t end;	       /**< Past the last byte. */
	size_t capacity;       /**< Room; shrinks when it is idle. */
	bool has_key;	       /**< The handshake is over. */
	unsigned char key[FRAME_KEY_SIZE]; /**< Of the other side. */
	uint64_t next_sequence;		   /**< That must come next. */
	enum error_code failure;	   /**< The first error; it stays. */
};

/** What both sides know after the handshake. */
struct frame_session {
	unsigned char dialer_key[FRAME_KEY_SIZE];   /**< Dialer sends with. */
	unsigned char acceptor_key[FRAME_KEY_SIZE]; /**< Acceptor sends with. */
	unsigned char acceptor_proof[FRAME_PROOF_SIZE]; /**< Knows the key. */
};

/* Writing */

/** Bytes that frame_write() needs for a body. */
size_t frame_size(size_t body_size);
/** Writes a frame; a NULL key leaves a MAC of zeros (handshake). */
void frame_write(unsigned char *out, const struct frame *frame,
    const unsigned char key[FRAME_KEY_SIZE]);

/* Reading */

/** Gives back memory. */
void frame_decoder_finish(struct frame_decoder *decoder);
/** Sets the key of the other side; MACs are checked from now on. */
void frame_decoder_set_key(
    struct frame_decoder *decoder, const unsigned char key[FRAME_KEY_SIZE]);
/** Appends bytes of the stream. Errors: ERROR_NO_MEMORY, an older error. */
enum error_code frame_decoder_feed(
    struct frame_decoder *decoder, const void *data, size_t size);
/** Takes the next frame. Errors: ERROR_NOT_FOUND while it is not whole,
 * ERROR_TOO_LARGE, ERROR_UNSUPPORTED_VERSION, ERROR_MALFORMED,
 * ERROR_UNAUTHENTICATED (MAC), ERROR_STALE (sequence); those stay. */
enum error_code frame_decoder_next(
    struct frame_decoder *decoder, struct frame *frame);
/** ERROR_INCOMPLETE if the stream ended inside a frame. */
enum error_code frame_decoder_end(const struct frame_decoder *decoder);

/* Keys of a session */

/** Derives keys and proof from the shared key and what both hellos said;
 * needs sodium_init(). */
void frame_session_derive(struct frame_session *session,
    const unsigned char shared_key[FRAME_KEY_SIZE], const void *transcript,
    size_t size);

#endif
