/**
 * @file gossip_message.h
 * Messages that replicate a gossip map: items, digests and summaries.
 *
 * The keys of a map are spread over a fixed number of buckets. Two hosts first
 * compare a checksum of the whole map, then a digest of all buckets, then a
 * summary of those that differ, and then send each other the items that are
 * newer on their side.
 */
#ifndef GOSSIP_MESSAGE_H
#define GOSSIP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"

#define GOSSIP_BUCKET_COUNT    128  /**< Number of buckets in a digest. */
#define GOSSIP_ITEM_SIZE_MAX   4096 /**< Largest body of an item, in bytes. */
#define GOSSIP_MESSAGE_VERSION 1    /**< Version of these messages. */

/** Version of an item. The greater one is newer; the fields are compared in
 * their order here. */
struct gossip_version {
	uint64_t major; /**< For example the incarnation of a process. */
	uint64_t minor; /**< For example a sequence number. */
	uint64_t rank;	/**< For example a state that overrides lower ones. */
	uint64_t tie_break; /**< Decides when the other fields are equal. */
};

/** Kind of a message. On the wire the first message type of the map is added,
 * so that several maps can share a channel. */
enum gossip_kind {
	GOSSIP_KIND_ITEMS = 0,	  /**< Items with version and body. */
	GOSSIP_KIND_DIGEST = 1,	  /**< Hashes of all buckets. */
	GOSSIP_KIND_SUMMARY = 2,  /**< Keys and versions of some buckets. */
	GOSSIP_KIND_CHECKSUM = 3, /**< Hash of the whole map. */
	GOSSIP_KIND_COUNT
};

/** Returns a number less than, equal to or greater than 0 if @p left is older
 * than, equal to or newer than @p right. */
int gossip_version_compare(
    const struct gossip_version *left, const struct gossip_version *right);

/* Writing: open a message, then add exactly the announced number of items */

/** Opens a message of items. */
void gossip_items_open(
    struct message_writer *writer, uint32_t first_type, uint32_t item_count);
/** Adds an item with its key, version and body to a message of items. */
void gossip_items_add(struct message_writer *writer, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
/** Writes a digest, a complete message with one hash per bucket. */
void gossip_digest_write(struct message_writer *writer, uint32_t first_type,
    const uint32_t hashes[GOSSIP_BUCKET_COUNT]);
/** Writes a checksum, a complete message. */
void gossip_checksum_write(
    struct message_writer *writer, uint32_t first_type, uint64_t checksum);
/** Opens a summary of the buckets whose bits are set in @p buckets. A summary
 * with @p is_answer set replies to a summary and ends the exchange: it is
 * answered with items only. */
void gossip_summary_open(struct message_writer *writer, uint32_t first_type,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], bool is_answer,
    uint32_t item_count);
/** Adds the key and version of an item to a summary. */
void gossip_summary_add(struct message_writer *writer, uint64_t key,
    const struct gossip_version *version);

/* Reading: all functions return errors of the codec */

/** Checks the version of a message and reads its type, which is the first type
 * of the map plus enum gossip_kind. */
enum error_code gossip_message_type(
    const struct message_reader *reader, uint32_t *type);
/** Finds the elements of a message of items or of a summary. */
enum error_code gossip_message_elements(
    const struct message_reader *reader, struct message_array *elements);
/** Reads a checksum. */
enum error_code gossip_checksum_read(
    const struct message_reader *reader, uint64_t *checksum);
/** Reads the element at @p index. In a summary an element has no body, so
 * @p body is set to NULL and @p size to 0. Errors: ERROR_TOO_LARGE for a body
 * of more than GOSSIP_ITEM_SIZE_MAX bytes. */
enum error_code gossip_element_read(const struct message_array *elements,
    uint32_t index, uint64_t *key, struct gossip_version *version,
    const void **body, size_t *size);
/** Reads the hashes of a digest. */
enum error_code gossip_digest_read(
    const struct message_reader *reader, uint32_t hashes[GOSSIP_BUCKET_COUNT]);
/** Reads which buckets a summary covers, one bit each, and whether it answers
 * another summary. */
enum error_code gossip_summary_read(const struct message_reader *reader,
    unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], bool *is_answer);

#endif
