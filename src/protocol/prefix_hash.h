/**
 * @file prefix_hash.h
 * Hashes of ever longer prefixes of a prompt, to find what a cache holds.
 */
#ifndef PREFIX_HASH_H
#define PREFIX_HASH_H

#include <stddef.h>
#include <stdint.h>

#include "base/shared_text.h"
#include "state/request.h"

#define PROMPT_BYTES_PER_TOKEN 4    /**< For the estimate of tokens. */
#define PREFIX_BYTES_FIRST     1024 /**< Shortest prefix; each next doubles. */

/** Tokens that @p bytes of a prompt are taken for, rounded up. */
uint64_t prompt_tokens_estimate(uint64_t bytes);
/** Hashes (XXH64, seed 0) the prefixes that fit in the text, in one pass;
 * returns how many. */
uint32_t prefix_hash_compute(const struct shared_text *text,
    uint64_t hashes[PREFIX_HASHES_MAX], uint64_t tokens[PREFIX_HASHES_MAX]);
/** Hash of the account and the whole text under a secret @p key. */
uint64_t prompt_fingerprint(
    const char *client_account, const struct shared_text *text, uint64_t key);

#endif
