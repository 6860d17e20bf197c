#include "protocol/frame.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "protocol/peer_port.h"

#define CAPACITY_INITIAL 4096 /* Bytes of a decoder's first buffer. */
/* Largest buffer in bytes that is kept when it is empty. */
#define CAPACITY_IDLE_MAX 65536

/* Context of the key derivation: crypto_kdf_CONTEXTBYTES (8) characters. */
#define KDF_CONTEXT "chicpeer"

/* Numbers of the subkeys derived from a session's master key. */
enum session_subkey {
	SUBKEY_DIALER = 1,
	SUBKEY_ACCEPTOR = 2,
	SUBKEY_PROOF = 3,
};

static void put_big_endian(
    unsigned char *out, uint64_t value, unsigned int width);
static uint64_t get_big_endian(const unsigned char *data, unsigned int width);
static enum error_code grow_buffer(struct frame_decoder *decoder, size_t size);
static enum error_code check_header(
    const struct frame_decoder *decoder, const unsigned char *header);
static enum error_code check_frame(const struct frame_decoder *decoder,
    const unsigned char *data, const struct frame *frame);

size_t
frame_size(size_t body_size)
{
	return body_size + FRAME_OVERHEAD;
}

void
frame_write(unsigned char *out, const struct frame *frame,
    const unsigned char key[FRAME_KEY_SIZE])
{
	unsigned char *mac;

	put_big_endian(out, frame->size, 4);
	out[4] = FRAME_VERSION;
	out[5] = frame->channel;
	put_big_endian(out + 6, 0, 2);
	put_big_endian(out + 8, frame->sender, 4);
	put_big_endian(out + 12, frame->incarnation, 8);
	put_big_endian(out + 20, frame->sequence, 8);
	if (frame->size > 0)
		memcpy(out + FRAME_HEADER_SIZE, frame->body, frame->size);
	mac = out + FRAME_HEADER_SIZE + frame->size;
	if (key == NULL) {
		memset(mac, 0, FRAME_MAC_SIZE);
		return;
	}
	crypto_generichash(mac, FRAME_MAC_SIZE, out,
	    FRAME_HEADER_SIZE + frame->size, key, FRAME_KEY_SIZE);
}

void
frame_decoder_finish(struct frame_decoder *decoder)
{
	free(decoder->buffer);
	sodium_memzero(decoder, sizeof(*decoder));
}

void
frame_decoder_set_key(
    struct frame_decoder *decoder, const unsigned char key[FRAME_KEY_SIZE])
{
	memcpy(decoder->key, key, FRAME_KEY_SIZE);
	decoder->has_key = true;
}

enum error_code
frame_decoder_feed(struct frame_decoder *decoder, const void *data, size_t size)
{
	enum error_code error;

	if (decoder->failure != ERROR_NONE)
		return decoder->failure;
	if (size == 0)
		return ERROR_NONE;
	if (decoder->end - decoder->begin > FRAME_SIZE_MAX)
		return ERROR_TOO_LARGE;
	error = grow_buffer(decoder, size);
	if (error != ERROR_NONE)
		return error;
	memcpy(decoder->buffer + decoder->end, data, size);
	decoder->end += size;
	return ERROR_NONE;
}

enum error_code
frame_decoder_next(struct frame_decoder *decoder, struct frame *frame)
{
	const unsigned char *data;
	size_t available;

	if (decoder->failure != ERROR_NONE)
		return decoder->failure;
	available = decoder->end - decoder->begin;
	if (available < FRAME_HEADER_SIZE)
		return ERROR_NOT_FOUND;
	data = decoder->buffer + decoder->begin;
	decoder->failure = check_header(decoder, data);
	if (decoder->failure != ERROR_NONE)
		return decoder->failure;
	frame->size = (size_t)get_big_endian(data, 4);
	if (available < frame_size(frame->size))
		return ERROR_NOT_FOUND;
	frame->channel = data[5];
	frame->sender = (uint32_t)get_big_endian(data + 8, 4);
	frame->incarnation = get_big_endian(data + 12, 8);
	frame->sequence = get_big_endian(data + 20, 8);
	frame->body = data + FRAME_HEADER_SIZE;
	decoder->failure = check_frame(decoder, data, frame);
	if (decoder->failure != ERROR_NONE)
		return decoder->failure;
	decoder->next_sequence++;
	decoder->begin += frame_size(frame->size);
	return ERROR_NONE;
}

enum error_code
frame_decoder_check_complete(const struct frame_decoder *decoder)
{
	if (decoder->failure != ERROR_NONE)
		return decoder->failure;
	return decoder->end == decoder->begin ? ERROR_NONE : ERROR_INCOMPLETE;
}

void
frame_session_derive(struct frame_session *session,
    const unsigned char shared_key[FRAME_KEY_SIZE], const void *transcript,
    size_t size)
{
	unsigned char master[crypto_kdf_KEYBYTES];

	crypto_generichash(master, sizeof(master), transcript, size, shared_key,
	    FRAME_KEY_SIZE);
	crypto_kdf_derive_from_key(session->dialer_key, FRAME_KEY_SIZE,
	    SUBKEY_DIALER, KDF_CONTEXT, master);
	crypto_kdf_derive_from_key(session->acceptor_key, FRAME_KEY_SIZE,
	    SUBKEY_ACCEPTOR, KDF_CONTEXT, master);
	crypto_kdf_derive_from_key(session->acceptor_proof, FRAME_PROOF_SIZE,
	    SUBKEY_PROOF, KDF_CONTEXT, master);
	sodium_memzero(master, sizeof(master));
}

static void
put_big_endian(unsigned char *out, uint64_t value, unsigned int width)
{
	while (width-- > 0) {
		out[width] = (unsigned char)value;
		value >>= 8;
	}
}

static uint64_t
get_big_endian(const unsigned char *data, unsigned int width)
{
	uint64_t value;

	value = 0;
	while (width-- > 0)
		value = value << 8 | *data++;
	return value;
}

/* Makes room for @p size more bytes at the end of the buffer: moves unread
 * bytes to its start, then enlarges it if needed. */
static enum error_code
grow_buffer(struct frame_decoder *decoder, size_t size)
{
	unsigned char *buffer;
	size_t capacity, used;

	used = decoder->end - decoder->begin;
	if (used == 0 && decoder->capacity > CAPACITY_IDLE_MAX) {
		free(decoder->buffer);
		decoder->buffer = NULL;
		decoder->capacity = 0;
	}
	if (used > 0 && decoder->begin > 0)
		memmove(
		    decoder->buffer, decoder->buffer + decoder->begin, used);
	decoder->begin = 0;
	decoder->end = used;
	if (used + size <= decoder->capacity)
		return ERROR_NONE;
	capacity =
	    decoder->capacity == 0 ? CAPACITY_INITIAL : decoder->capacity;
	while (capacity < used + size)
		capacity *= 2;
	buffer = realloc(decoder->buffer, capacity);
	if (buffer == NULL)
		return ERROR_NO_MEMORY;
	decoder->buffer = buffer;
	decoder->capacity = capacity;
	return ERROR_NONE;
}

/* Checks a header before its body has arrived, so that no body is buffered for
 * an invalid one. */
static enum error_code
check_header(const struct frame_decoder *decoder, const unsigned char *header)
{
	uint64_t size;

	if (header[4] != FRAME_VERSION)
		return ERROR_UNSUPPORTED_VERSION;
	size = get_big_endian(header, 4);
	if (size > (decoder->has_key ? FRAME_BODY_SIZE_MAX
				     : (size_t)FRAME_HELLO_SIZE_MAX))
		return ERROR_TOO_LARGE;
	if (header[5] >= PEER_CHANNEL_COUNT || header[6] != 0 || header[7] != 0)
		return ERROR_MALFORMED;
	if (!decoder->has_key && header[5] != FRAME_CHANNEL_CONTROL)
		return ERROR_UNAUTHENTICATED;
	return ERROR_NONE;
}

static enum error_code
check_frame(const struct frame_decoder *decoder, const unsigned char *data,
    const struct frame *frame)
{
	unsigned char mac[FRAME_MAC_SIZE];

	if (decoder->has_key) {
		crypto_generichash(mac, sizeof(mac), data,
		    FRAME_HEADER_SIZE + frame->size, decoder->key,
		    FRAME_KEY_SIZE);
		if (sodium_memcmp(mac, data + FRAME_HEADER_SIZE + frame->size,
			FRAME_MAC_SIZE) != 0)
			return ERROR_UNAUTHENTICATED;
	}
	if (frame->sequence != decoder->next_sequence)
		return ERROR_STALE;
	return ERROR_NONE;
}
