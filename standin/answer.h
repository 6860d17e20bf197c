/**
 * @file answer.h
 * The stand-in's answers: text that follows from the prompt alone, so that a
 * caller can tell that it got the whole answer to its own request.
 *
 * Piece 0 is the digest of the prompt, each next a number drawn from it.
 */
#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <inttypes.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define ANSWER_DIGEST_START 0xcbf29ce484222325ull /**< Of no prompt. */
#define ANSWER_PIECE_SIZE   24 /**< Bytes of a piece with its end mark. */

/** Carries a digest on (FNV-1a), so that segments give the whole's. */
static inline uint64_t
answer_digest(uint64_t digest, const char *data, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		digest = (digest ^ (unsigned char)data[i]) * 0x100000001b3ull;
	return digest;
}

/** Writes piece @p index; returns its length. */
static inline size_t
answer_piece(uint64_t digest, uint64_t index, char text[ANSWER_PIECE_SIZE])
{
	uint64_t word;

	if (index == 0)
		return (size_t)snprintf(
		    text, ANSWER_PIECE_SIZE, "%016" PRIx64 " ", digest);
	word = (digest + index) * 0x9e3779b97f4a7c15ull;
	return (size_t)snprintf(
	    text, ANSWER_PIECE_SIZE, "%08" PRIx64 " ", word >> 32);
}

#endif
