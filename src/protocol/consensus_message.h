/**
 * @file consensus_message.h
 * Messages between voters, and the encoding of voter sets in the log. An
 * optional field that is absent on the wire reads as zero.
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

/** Type of a message, with its number on the wire. */
enum consensus_message_type {
	CONSENSUS_VOTE_REQUEST = 1, /**< Requests a vote or a pre-vote. */
	CONSENSUS_VOTE_REPLY = 2,   /**< Grants or refuses a vote. */
	CONSENSUS_APPEND = 3,	    /**< Log entries, or a heartbeat. */
	/** Reports which entries are durable at the follower. */
	CONSENSUS_APPEND_REPLY = 4,
	CONSENSUS_SNAPSHOT = 5, /**< A piece of a snapshot. */
	/** Reports how much of the snapshot the follower has received. */
	CONSENSUS_SNAPSHOT_REPLY = 6,
	/** From a leader that hands over: start an election at once. */
	CONSENSUS_TIMEOUT_NOW = 7,
	/** Asks an initial voter whether its data folder is empty, before a new
	 * cluster is formed. */
	CONSENSUS_HELLO = 8,
	CONSENSUS_HELLO_REPLY = 9, /**< Replies to CONSENSUS_HELLO. */
};

/** A message between voters. */
struct consensus_message {
	enum consensus_message_type type; /**< Selects the fields in use. */
	uint64_t cluster_id; /**< Must be the same on both sides. */
	/** Incarnation of the sender's data folder. */
	uint64_t from_incarnation;
	/** Incarnation of the receiver's data folder, 0 if not known. */
	uint64_t to_incarnation;
	/** Term of the sender; in a pre-vote the term of the election that
	 * would follow. */
	uint64_t term;
	/** In a reply: the vote is granted, the append matched, the snapshot is
	 * complete, or the data folder is empty. */
	bool is_granted;
	/** The vote request or reply is for a pre-vote, which only finds out
	 * whether an election could succeed and changes no term. */
	bool is_pre_vote;
	/** Vote reply: time_ms derives from the time stamp of a leader. */
	bool has_time_reference;
	/** Vote request: the leader handed over by CONSENSUS_TIMEOUT_NOW, so
	 * voters in contact with a leader may grant it too. */
	bool is_transfer;
	/** Log index: of the candidate's last entry (vote request), of the
	 * entry before those sent (append), of the last entry that matches the
	 * leader's log, or may match it after a rejection (append reply), or
	 * of the last entry in the snapshot. */
	uint64_t index;
	uint64_t log_term;     /**< Term of the entry at index. */
	uint64_t commit_index; /**< Commit index of the leader. */
	/** When the leader sent the message, on its own monotonic clock;
	 * returned in the reply. */
	int64_t sent_ms;
	/** Cluster time in ms since the epoch: of the leader (append), of the
	 * snapshot, or as the voter knows it (vote reply). */
	int64_t time_ms;
	/** Position of the piece in the snapshot; in the reply the number of
	 * bytes received. */
	uint64_t offset;
	uint64_t total_size;	 /**< Bytes of the whole snapshot. */
	const void *data;	 /**< Piece of the snapshot. */
	size_t data_size;	 /**< Bytes of the piece. */
	struct voter_set voters; /**< Voters as of the snapshot. */
	/** Entries to encode; a decoded message has entry_array instead. */
	const struct journal_entry *entries;
	uint32_t entry_count; /**< Number of entries in the message. */
	/** Entries of a decoded message; see
	 * consensus_message_read_entry(). */
	struct message_array entry_array;
	struct message_reader reader; /**< Memory of a decoded message. */
};

/** Writes a message into an initialised writer. */
void consensus_message_encode(
    const struct consensus_message *message, struct message_writer *writer);
/** Reads a message from bytes that must outlive it and checks all its entries.
 * On success, release it with consensus_message_finish(). Errors: those of the
 * codec, ERROR_UNSUPPORTED_VERSION, ERROR_NOT_SUPPORTED for an unknown type. */
enum error_code consensus_message_decode(
    struct consensus_message *message, const void *data, size_t size);
/** Releases the memory of a decoded message. */
void consensus_message_finish(struct consensus_message *message);
/** Reads the entry at position @p at of a decoded message, counted from 0. Its
 * log index is the index of the message plus 1 plus @p at. The data of the
 * entry points into the decoded bytes. */
enum error_code consensus_message_read_entry(
    const struct consensus_message *message, uint32_t at,
    struct journal_entry *entry);

/** Writes a voter set on its own, as a log entry stores it. */
void voter_set_encode(
    const struct voter_set *voters, struct message_writer *writer);
/** Reads a voter set that voter_set_encode() wrote. Errors: those of the
 * codec, ERROR_TOO_LARGE for more than VOTERS_MAX voters. */
enum error_code voter_set_decode(
    struct voter_set *voters, const void *data, size_t size);

#endif
