/**
 * @file consensus_message.h
 * Messages between voters; a field that is absent reads as zero.
 */
#ifndef CONSENSUS_MESSAGE_H
#define CONSENSUS_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error_code.h"
#include "protocol/codec.h"
#include "state/journal.h"
#include "state/voter_file.h"

/** What a message says; the number is on the wire. */
enum consensus_message_type {
	CONSENSUS_VOTE_REQUEST = 1,   /**< Asks for a vote or a pre-vote. */
	CONSENSUS_VOTE_REPLY = 2,     /**< Grants or refuses it. */
	CONSENSUS_APPEND = 3,	      /**< Entries, or a heartbeat. */
	CONSENSUS_APPEND_REPLY = 4,   /**< What lasts at the follower. */
	CONSENSUS_SNAPSHOT = 5,	      /**< A piece of a snapshot. */
	CONSENSUS_SNAPSHOT_REPLY = 6, /**< How much of it is there. */
	CONSENSUS_TIMEOUT_NOW = 7,    /**< Hands leadership over. */
	CONSENSUS_HELLO = 8,	      /**< Asks whether a host is fresh. */
	CONSENSUS_HELLO_REPLY = 9,    /**< Says whether it is. */
};

/** A message. */
struct consensus_message {
	enum consensus_message_type type; /**< What it says. */
	uint64_t cluster_id;		  /**< Both sides must have the same. */
	uint64_t from_incarnation;	  /**< The sender's. */
	uint64_t to_incarnation; /**< The receiver's, 0 if not known. */
	uint64_t term;		 /**< The sender's, or the one asked for. */
	bool is_granted;	 /**< Vote granted, append matched, fresh. */
	bool is_pre;		 /**< A pre-vote. */
	bool has_reference; /**< Vote reply: the time comes from a leader. */
	bool is_transfer;   /**< The leader asked for this election. */
	uint64_t index;	    /**< Of the last entry, the one before the entries,
			      the one matched, or the snapshot's. */
	uint64_t log_term;  /**< Of the entry at index. */
	uint64_t commit;    /**< Leader's commit index. */
	int64_t sent_ms;    /**< Leader's clock, echoed in replies. */
	int64_t time_ms; /**< Leader's stamp, the snapshot's, or the voter's. */
	uint64_t offset; /**< In a snapshot. */
	uint64_t total;	 /**< Bytes of the snapshot. */
	const void *data;		     /**< Piece of the snapshot. */
	size_t data_size;		     /**< Bytes of it. */
	struct voter_set voters;	     /**< Of the snapshot. */
	const struct journal_entry *entries; /**< To encode. */
	uint32_t entry_count;		     /**< Entries. */
	struct message_array entry_array;    /**< As decoded. */
	struct message_reader reader;	     /**< Holds what was decoded. */
};

/** Writes a message. */
void consensus_message_encode(
    const struct consensus_message *message, struct message_writer *writer);
/** Reads a message. Errors: of the codec, ERROR_UNSUPPORTED_VERSION; after an
 * error there is nothing to finish. */
enum error_code consensus_message_decode(
    struct consensus_message *message, const void *data, size_t size);
/** Gives back what decoding took. */
void consensus_message_finish(struct consensus_message *message);
/** Reads one of the entries; its index is the message's plus 1 plus @p at. */
enum error_code consensus_message_entry(const struct consensus_message *message,
    uint32_t at, struct journal_entry *entry);

/** Writes a voter set on its own, as an entry of the log holds it. */
void voter_set_encode(
    const struct voter_set *voters, struct message_writer *writer);
/** Reads such a set. Errors: of the codec. */
enum error_code voter_set_decode(
    struct voter_set *voters, const void *data, size_t size);

#endif
