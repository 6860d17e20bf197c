/**
 * @file prefix_hash.h
 * Hashes of prefixes of a prompt, to find out which caches hold them, and the
 * fingerprint of a whole prompt.
 */
#ifndef PREFIX_HASH_H
#define PREFIX_HASH_H

#include <stddef.h>
#include <stdint.h>

#include "base/shared_text.h"
#include "state/request.h"

/** Assumed length of a token in bytes, for estimates. */
#define PROMPT_BYTES_PER_TOKEN 4
/** Length of the shortest hashed prefix; each further one is twice as long. */
#define PREFIX_BYTES_MIN 1024

/** Estimates the number of tokens in @p bytes bytes of a prompt, rounded up. */
uint64_t prompt_tokens_estimate(uint64_t bytes);
/** Hashes the prefixes of a text with XXH64, seed 0, in a single pass, shortest
 * first. Writes the hash and the estimated tokens of each prefix that is no
 * longer than the text, and returns their number. A NULL text has none. */
uint32_t prefix_hash_compute(const struct shared_text *text,
    uint64_t hashes[PREFIX_HASHES_MAX], uint64_t tokens[PREFIX_HASHES_MAX]);
/** Returns a hash of all that makes a request another one: the client account,
 * the model or service, the limit of answer tokens, and the whole text, which
 * may be NULL if it is empty. @p key is the secret seed of the hash. */
uint64_t request_fingerprint(const char *client_account, const char *model,
    uint32_t answer_tokens_max, const struct shared_text *text, uint64_t key);

#endif
