/**
 * @file config_feed_message.h
 * Messages between parent and child in the configuration feed, which hands out
 * leases and distributes the entries of the replicated configuration.
 */
#ifndef CONFIG_FEED_MESSAGE_H
#define CONFIG_FEED_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"

/** Version of these messages. */
#define CONFIG_FEED_MESSAGE_VERSION 1
/** Latest renewal requests whose send time a child keeps; a reply to an older
 * one is ignored. */
#define FEED_REQUEST_TIMES_KEPT 16
/** Largest number of snapshot bytes in one message. */
#define FEED_CHUNK_SIZE ((size_t)256 * 1024)

/** Type of a message, with its number on the wire. */
enum feed_type {
	/** From a child: requests a lease and reports what it has applied. */
	FEED_TYPE_RENEWAL_REQUEST = 1,
	FEED_TYPE_LEASE = 2,	/**< From the parent: replies to a request. */
	FEED_TYPE_ENTRIES = 3,	/**< From the parent: configuration entries. */
	FEED_TYPE_SNAPSHOT = 4, /**< From the parent: a piece of a snapshot. */
	/** From the parent: it has too many children to serve this one. */
	FEED_TYPE_REFUSAL = 5,
};

/** A message of the feed. Each field names the types that use it; in other
 * types it is zero. Entries are counted by their index in the log. */
struct feed_message {
	enum feed_type type; /**< Selects the fields in use. */
	/** RENEWAL_REQUEST: its number, which grows with each request of the
	 * child. LEASE, REFUSAL: number of the request that they answer. */
	uint64_t request_number;
	/** RENEWAL_REQUEST: incarnation of the child's process. */
	uint64_t incarnation;
	/** RENEWAL_REQUEST: last entry that the child has applied. UINT64_MAX
	 * if it needs no entries from the feed. */
	uint64_t applied_index;
	/** RENEWAL_REQUEST: last entry that the child and all hosts below it
	 * have applied. */
	uint64_t subtree_index;
	/** LEASE: time until the lease ends, in ms; 0 grants none. */
	uint64_t remaining_ms;
	/** LEASE: last entry that the parent knows to be in force. */
	uint64_t in_force_index;
	/** ENTRIES: index of the first entry in the message. */
	uint64_t first_index;
	/** ENTRIES: index of the last entry in the message. SNAPSHOT: index of
	 * the last entry that the snapshot includes. */
	uint64_t last_index;
	/** SNAPSHOT: position of the piece in the snapshot, in bytes.
	 * RENEWAL_REQUEST: position from which the child needs the snapshot. */
	uint64_t offset;
	uint64_t total_size; /**< SNAPSHOT: bytes of the whole snapshot. */
	/** RENEWAL_REQUEST: index of the snapshot that the child is receiving,
	 * or 0. */
	uint64_t snapshot_index;
	const void *bytes; /**< ENTRIES, SNAPSHOT: the payload. */
	size_t size;	   /**< ENTRIES, SNAPSHOT: bytes of the payload. */
};

/** Writes a message into an initialised writer. */
void feed_message_write(
    struct message_writer *writer, const struct feed_message *message);
/** Reads a message. Its payload stays valid until the caller finishes
 * @p reader. On an error the reader is finished already. Errors: those of the
 * codec, ERROR_NOT_SUPPORTED for an unknown type. */
enum error_code feed_message_read(const void *body, size_t size,
    struct message_reader *reader, struct feed_message *message);

#endif
