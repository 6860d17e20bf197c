/**
 * @file gossip_message.h
 * Messages of the gossiped maps: items, digests and summaries.
 */
#ifndef GOSSIP_MESSAGE_H
#define GOSSIP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"

#define GOSSIP_BUCKETS	       128  /**< Buckets of a digest. */
#define GOSSIP_ITEM_SIZE_MAX   4096 /**< Bytes of an item's body. */
#define GOSSIP_MESSAGE_VERSION 1    /**< Version of these messages. */

/** Which of two items is newer: compared from the first number on. */
struct gossip_version {
	uint64_t major; /**< Such as an incarnation. */
	uint64_t minor; /**< Such as a sequence number. */
	uint64_t rank;	/**< Such as an order of states. */
	uint64_t tie;	/**< Tells apart what is equal so far. */
};

/** Kinds; on the wire the first type of the map is added. */
enum gossip_kind {
	GOSSIP_KIND_ITEMS = 0,	 /**< Items. */
	GOSSIP_KIND_DIGEST = 1,	 /**< Hashes of all buckets. */
	GOSSIP_KIND_SUMMARY = 2, /**< Versions of some buckets. */
	GOSSIP_KIND_COUNT
};

/** Less than, equal to or greater than 0, like memcmp(). */
int gossip_version_compare(
    const struct gossip_version *left, const struct gossip_version *right);

/* Writing: open, then add the stated number of elements */

/** Opens a message of items. */
void gossip_items_open(
    struct message_writer *writer, uint32_t first_type, uint32_t item_count);
/** Adds an item. */
void gossip_items_add(struct message_writer *writer, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
/** Writes a digest. */
void gossip_digest_write(struct message_writer *writer, uint32_t first_type,
    const uint32_t hashes[GOSSIP_BUCKETS]);
/** Opens a summary of the buckets set in @p buckets (a bit each). The answer
 * to a summary is the last one of an exchange: it gets items only. */
void gossip_summary_open(struct message_writer *writer, uint32_t first_type,
    const unsigned char buckets[GOSSIP_BUCKETS / 8], bool is_answer,
    uint32_t item_count);
/** Adds a key and its version. */
void gossip_summary_add(struct message_writer *writer, uint64_t key,
    const struct gossip_version *version);

/* Reading */

/** Checks the version and reads the type. */
enum error_code gossip_message_type(
    const struct message_reader *reader, uint32_t *type);
/** Gives the elements of items or a summary. */
enum error_code gossip_elements(
    const struct message_reader *reader, struct message_array *elements);
/** Reads one element; the body is empty in a summary. */
enum error_code gossip_element_read(const struct message_array *elements,
    uint32_t index, uint64_t *key, struct gossip_version *version,
    const void **body, size_t *size);
/** Reads the hashes of a digest. */
enum error_code gossip_digest_read(
    const struct message_reader *reader, uint32_t hashes[GOSSIP_BUCKETS]);
/** Reads which buckets a summary is about and whether it is an answer. */
enum error_code gossip_summary_read(const struct message_reader *reader,
    unsigned char buckets[GOSSIP_BUCKETS / 8], bool *is_answer);

#endif
