/**
 * @file request_key.h
 * What identifies a request, and the parts of its prompt that it shares with
 * others, when it is asked which requests crash upstreams.
 */
#ifndef REQUEST_KEY_H
#define REQUEST_KEY_H

#include <stdint.h>

/** Largest number of shared parts of a prompt that are looked at. */
#define REQUEST_PARTS_MAX 8

/** Identity of a request. */
struct request_key {
	/** Hash of all that makes a request another one. */
	uint64_t fingerprint;
	/** Hashes of the parts that other prompts may have too. */
	uint64_t parts[REQUEST_PARTS_MAX];
	uint32_t part_count; /**< Elements of parts in use. */
};

#endif
