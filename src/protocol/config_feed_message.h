/**
 * @file config_feed_message.h
 * Messages of the configuration feed.
 */
#ifndef CONFIG_FEED_MESSAGE_H
#define CONFIG_FEED_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"

#define CONFIG_FEED_MESSAGE_VERSION 1  /**< Version of these messages. */
#define FEED_ASKS_KEPT		    16 /**< Asks whose time is kept. */
#define FEED_CHUNK_SIZE                                                        \
	((size_t)256 * 1024) /**< Bytes of a piece of a snapshot. */

/** Types of messages. */
enum feed_type {
	FEED_TYPE_ASK = 1,	/**< Child: lease, and what I have applied. */
	FEED_TYPE_LEASE = 2,	/**< Parent: answers an ask. */
	FEED_TYPE_ENTRIES = 3,	/**< Parent: entries. */
	FEED_TYPE_SNAPSHOT = 4, /**< Parent: a piece of a snapshot. */
	FEED_TYPE_REFUSE = 5,	/**< Parent: too many children. */
};

/** A message; which fields count depends on the type. */
struct feed_message {
	enum feed_type type;	 /**< See above. */
	uint64_t number;	 /**< ASK, LEASE, REFUSE: number of the ask. */
	uint64_t incarnation;	 /**< ASK: the child's process. */
	uint64_t applied;	 /**< ASK: applied at the child;
				      UINT64_MAX wants no entries. */
	uint64_t subtree;	 /**< ASK: applied by all below it. */
	uint64_t remaining_ms;	 /**< LEASE: what is left, 0 for none. */
	uint64_t in_force;	 /**< LEASE: index known in force. */
	uint64_t first;		 /**< ENTRIES: index of the first. */
	uint64_t last;		 /**< ENTRIES, SNAPSHOT: last index. */
	uint64_t offset;	 /**< SNAPSHOT: of the piece; ASK: wanted. */
	uint64_t total;		 /**< SNAPSHOT: bytes of the whole. */
	uint64_t snapshot_index; /**< ASK: being fetched, 0 for none. */
	const void *bytes;	 /**< ENTRIES, SNAPSHOT: payload. */
	size_t size;		 /**< Its bytes. */
};

/** Writes a message. */
void feed_message_write(
    struct message_writer *writer, const struct feed_message *message);
/** Reads one, held by @p reader. Errors: those of the codec,
 * ERROR_NOT_SUPPORTED (type). */
enum error_code feed_message_read(const void *body, size_t size,
    struct message_reader *reader, struct feed_message *message);

#endif
