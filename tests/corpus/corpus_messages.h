/**
 * @file corpus_messages.h
 * Samples of everything that crosses builds, each with fixed values.
 *
 * This file and its source are compiled with the library of an earlier commit
 * to write that build's samples, and with the present one to read them. A
 * reader decodes a sample and encodes it again; it has read all fields if that
 * gives the same bytes as the sample which it writes itself from the values
 * that the writer knew.
 */
#ifndef CORPUS_MESSAGES_H
#define CORPUS_MESSAGES_H

#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"

/* What later commits added to messages, one bit each. */
#define CORPUS_BATCHES		1u   /**< Batches of work reports. */
#define CORPUS_QUARANTINE_HOSTS 2u   /**< Host in a quarantine. */
#define CORPUS_NOTICES		4u   /**< Notices in work reports. */
#define CORPUS_CHECKSUMS	8u   /**< Checksums of gossip maps. */
#define CORPUS_PARTS		16u  /**< Parts of prompts that crash. */
#define CORPUS_GENERATIONS	32u  /**< Generations of peer links. */
#define CORPUS_FORWARDING	64u  /**< Forwarded requests. */
#define CORPUS_ENTRY_KINDS	128u /**< Voters that stop at unknown entries. */
#define CORPUS_LEVELS		256u /**< Level and build of a host. */
#define CORPUS_ALL		511u /**< All of them. */

/** What the library knows that this is compiled with. */
#ifndef CORPUS_KNOWN
#define CORPUS_KNOWN CORPUS_ALL
#endif

/** Time stamp of all samples, in milliseconds since the epoch. */
#define CORPUS_TIME_MS 1764900000000

/** Room for the name of a sample's file, in bytes. */
#define CORPUS_FILE_SIZE_MAX 64

/** A sample. */
struct corpus_sample {
	const char *name; /**< Name of its file. */
	uint32_t needs;	  /**< Bits that a build must know to write it. */
	/** Passed to both functions, mostly the type of the message. */
	uint32_t variant;
	/** Writes the sample as a build does that knows only @p known. */
	void (*write)(
	    struct message_writer *writer, uint32_t variant, uint32_t known);
	/** Decodes a sample and encodes what was decoded. */
	enum error_code (*rewrite)(const void *data, size_t size,
	    uint32_t variant, struct message_writer *writer);
};

/** Returns the samples that every build must read. */
const struct corpus_sample *corpus_samples(uint32_t *count);
/** Returns the samples with error codes, which are numbers on the wire. */
const struct corpus_sample *corpus_error_samples(uint32_t *count);

#endif
