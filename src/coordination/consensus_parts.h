/**
 * @file consensus_parts.h
 * Internal declarations shared by the source files of the consensus; no other
 * file includes this header.
 */
#ifndef CONSENSUS_PARTS_H
#define CONSENSUS_PARTS_H

#include "coordination/consensus.h"
#include "protocol/consensus_message.h"

/** Kind of a log entry; the number is stored on disk. */
enum consensus_entry_kind {
	CONSENSUS_ENTRY_NOOP = 1,    /**< Empty; begins a term. */
	CONSENSUS_ENTRY_COMMAND = 2, /**< Command for the state machine. */
	CONSENSUS_ENTRY_VOTERS = 3,  /**< Voter set that holds from here on. */
};

/** A decoded log entry. */
struct consensus_record {
	enum consensus_entry_kind kind; /**< Kind of the payload. */
	int64_t time_ms;		/**< Leader's time stamp. */
	const unsigned char *data;	/**< Payload. */
	size_t size;			/**< Bytes of the payload. */
};

/* consensus.c: the log and the role */

/** Returns the local time of the timer service, in milliseconds. */
int64_t consensus_now(const struct consensus *consensus);
/** Appends an entry in the leader's term and schedules a persist. */
enum error_code consensus_append(struct consensus *consensus,
    enum consensus_entry_kind kind, const void *data, size_t size);
/** Decodes an entry; returns false if it is malformed. */
bool consensus_read_record(
    const struct journal_entry *entry, struct consensus_record *record);
/** Schedules consensus_persist() for this turn of the event loop. */
void consensus_schedule_persist(struct consensus *consensus);
/** Stores the term and vote on disk; returns false if the disk failed. */
bool consensus_set_term(
    struct consensus *consensus, uint64_t term, uint32_t vote);
/** Becomes a follower. Callbacks of pending proposals and of a pending voter
 * change get ERROR_OUTCOME_UNKNOWN. */
void consensus_step_down(struct consensus *consensus, uint32_t leader_id);
/** Sets the role and the leader, and calls on_role_changed() if either
 * differs. */
void consensus_set_role(
    struct consensus *consensus, enum consensus_role role, uint32_t leader_id);
/** Stops voting and replying after a failure of the disk. */
void consensus_fail(struct consensus *consensus, enum error_code error);
/** Applies nothing and sends nothing from now on. */
void consensus_stop(struct consensus *consensus, enum error_code error);
/** Returns ERROR_NONE if this build can apply an entry, or if no build can
 * because it is malformed. Otherwise logs what it does not know and returns
 * ERROR_NOT_SUPPORTED or ERROR_UNSUPPORTED_VERSION. */
enum error_code consensus_check_entry(
    const struct consensus *consensus, const struct journal_entry *entry);
/** Applies the entries that are committed and synced on this host. */
void consensus_apply_committed(struct consensus *consensus);
/** Fills in the message's header and sends the message. */
void consensus_send(struct consensus *consensus, struct voter to,
    struct consensus_message *message);

/* consensus_storage.c: what is on disk when this host starts, and snapshots */

/** Reads the snapshot, the journal and the identity of this voter, and loads the
 * state. Errors: ERROR_CORRUPT, ERROR_IDENTITY_LOST, those of the disk, and
 * ERROR_NOT_SUPPORTED and ERROR_UNSUPPORTED_VERSION if a newer build wrote
 * something that this one does not know, which is logged. */
enum error_code consensus_open_storage(struct consensus *consensus);
/** Loads the state of a snapshot into the state machine, and logs it if this
 * build does not know something in it. Errors: those of load(). */
enum error_code consensus_load_state(const struct consensus *consensus,
    uint64_t index, const void *state, size_t size);
/** Writes a snapshot and drops the entries before it, if the journal has grown
 * enough since the last one. If the disk refuses that, it is tried again later. */
void consensus_compact(struct consensus *consensus);
/** Searches the log for the latest voter set, after entries or a snapshot were
 * added or removed. */
void consensus_reload_voters(struct consensus *consensus);

/* consensus_election.c: votes, and the forming of a new cluster */

/** Restarts the election timeout at a random length, after a message of the
 * leader or a granted vote. */
void consensus_reset_election(struct consensus *consensus);
/** Starts an election, or the forming of a new cluster, when the election
 * timeout has passed. */
void consensus_election_tick(struct consensus *consensus);
/** Handles CONSENSUS_VOTE_*, CONSENSUS_TIMEOUT_NOW and CONSENSUS_HELLO*. */
void consensus_receive_election(struct consensus *consensus, struct voter from,
    const struct consensus_message *message);

/* consensus_leader.c: replication from the leader, transfer of leadership */

/** Becomes the leader: sets up the peers and appends the entry that begins the
 * term. */
void consensus_become_leader(struct consensus *consensus);
/** Sends due heartbeats, steps down without a quorum, and continues a voter
 * change or transfer in progress. */
void consensus_leader_tick(struct consensus *consensus);
/** Sends entries to each peer that lacks some and has none in flight. */
void consensus_replicate(struct consensus *consensus);
/** Advances the commit index, after a reply or a sync. */
void consensus_advance_commit(struct consensus *consensus);
/** Updates the peers to the current voters and the joining one. */
void consensus_update_peers(struct consensus *consensus);
/** Returns a peer, NULL if the voter is none. */
struct consensus_peer *consensus_find_peer(
    struct consensus *consensus, struct voter voter);
/** Sends a peer the entries that it may lack, and which are committed. */
void consensus_send_entries(
    struct consensus *consensus, struct consensus_peer *peer);
/** Handles CONSENSUS_APPEND_REPLY and CONSENSUS_SNAPSHOT_REPLY. */
void consensus_receive_as_leader(struct consensus *consensus, struct voter from,
    const struct consensus_message *message);

/* consensus_change.c: voter changes */

/** Continues a voter change whose new voter has caught up, and ends one whose
 * new voter is silent or too slow. */
void consensus_change_tick(struct consensus *consensus);
/** Continues a voter change after an entry was applied. */
void consensus_continue_change(struct consensus *consensus);
/** Ends a voter change and passes @p error to its callback. */
void consensus_end_change(struct consensus *consensus, enum error_code error);
/** Returns true if the host of the change gets the log although it is not in the
 * voter set: it is about to join, or learns that it is being removed. */
bool consensus_is_change_peer(const struct consensus *consensus);

/* consensus_follower.c: entries and snapshots from the leader */

/** Handles CONSENSUS_APPEND and CONSENSUS_SNAPSHOT. Errors: ERROR_MALFORMED,
 * ERROR_STALE (older term), ERROR_INTERNAL (entry that contradicts the log),
 * ERROR_NO_MEMORY, errors of the disk or of the state machine. */
enum error_code consensus_receive_as_follower(struct consensus *consensus,
    struct voter from, const struct consensus_message *message);
/** Sends the acknowledgements that waited for the sync. */
void consensus_send_acks(struct consensus *consensus);

#endif
