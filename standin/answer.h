/**
 * @file answer.h
 * Text of the stand-in's answers. It is computed from the prompt alone, so that
 * a test client can check that it got the complete answer to its own request.
 *
 * Piece 0 of an answer is the digest of the prompt. Each later piece is a
 * number computed from the digest and the index of the piece.
 */
#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <inttypes.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** FNV-1a digest of an empty prompt, from which every digest starts. */
#define ANSWER_DIGEST_INITIAL 0xcbf29ce484222325ull
#define ANSWER_PIECE_SIZE     24 /**< Buffer size of a piece with its NUL. */

/** Extends an FNV-1a digest by @p size bytes and returns it. Extending it
 * segment by segment gives the digest of the whole prompt. */
static inline uint64_t
answer_digest_update(uint64_t digest, const char *data, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		digest = (digest ^ (unsigned char)data[i]) * 0x100000001b3ull;
	return digest;
}

/** Writes piece @p index of the answer to the prompt with this digest. Returns
 * the length in bytes without NUL. */
static inline size_t
answer_piece_write(
    uint64_t digest, uint64_t index, char text[ANSWER_PIECE_SIZE])
{
	uint64_t random_value;

	if (index == 0)
		return (size_t)snprintf(
		    text, ANSWER_PIECE_SIZE, "%016" PRIx64 " ", digest);
	random_value = (digest + index) * 0x9e3779b97f4a7c15ull;
	return (size_t)snprintf(
	    text, ANSWER_PIECE_SIZE, "%08" PRIx64 " ", random_value >> 32);
}

#endif
