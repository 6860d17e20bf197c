/**
 * @file consensus_parts.h
 * What the source files of the consensus share; nobody else includes it.
 */
#ifndef CONSENSUS_PARTS_H
#define CONSENSUS_PARTS_H

#include "coordination/consensus.h"
#include "protocol/consensus_message.h"

/** What an entry of the log holds; the number is on disk. */
enum consensus_entry_kind {
	CONSENSUS_ENTRY_NOOP = 1,    /**< Nothing; begins a term. */
	CONSENSUS_ENTRY_COMMAND = 2, /**< For the state machine. */
	CONSENSUS_ENTRY_VOTERS = 3,  /**< Who votes from here on. */
};

/** An entry taken apart. */
struct consensus_record {
	enum consensus_entry_kind kind; /**< What it holds. */
	int64_t time_ms;		/**< Leader's stamp. */
	const unsigned char *data;	/**< The rest. */
	size_t size;			/**< Bytes of it. */
};

/* consensus.c: the log and the role */

/** Local time. */
int64_t consensus_now(const struct consensus *consensus);
/** Appends an entry of the leader's term and makes a persist due. */
enum error_code consensus_append(struct consensus *consensus,
    enum consensus_entry_kind kind, const void *data, size_t size);
/** Takes an entry apart; false if it is none. */
bool consensus_read_record(
    const struct journal_entry *entry, struct consensus_record *record);
/** Makes a persist due in this turn. */
void consensus_schedule_persist(struct consensus *consensus);
/** Sets term and vote, synced; false when the disk failed. */
bool consensus_set_term(
    struct consensus *consensus, uint64_t term, uint32_t vote);
/** Becomes a follower; whoever waits is told that the outcome is unknown. */
void consensus_step_down(struct consensus *consensus, uint32_t leader_id);
/** Sets the role and leader and says so. */
void consensus_set_role(
    struct consensus *consensus, enum consensus_role role, uint32_t leader_id);
/** The disk failed: no more votes and answers. */
void consensus_fail(struct consensus *consensus, enum error_code error);
/** Applies what is committed and lasts here. */
void consensus_apply_committed(struct consensus *consensus);
/** Looks the latest voter set up again after a cut or a load. */
void consensus_reload_voters(struct consensus *consensus);
/** Sends a message; the heads are filled in here. */
void consensus_send(struct consensus *consensus, struct voter to,
    struct consensus_message *message);

/* consensus_election.c */

/** Draws the next election timeout: the leader was heard, or may be. */
void consensus_reset_election(struct consensus *consensus);
/** Asks for votes when it is time, and forms a fresh cluster. */
void consensus_tick_election(struct consensus *consensus);
/** Takes CONSENSUS_VOTE_*, CONSENSUS_TIMEOUT_NOW and CONSENSUS_HELLO*. */
void consensus_receive_election(struct consensus *consensus, struct voter from,
    const struct consensus_message *message);

/* consensus_leader.c: replication out of the leader, voter changes */

/** Starts to lead: peers, and the entry that begins the term. */
void consensus_lead(struct consensus *consensus);
/** Heartbeats, check of the quorum, change and transfer under way. */
void consensus_tick_leader(struct consensus *consensus);
/** Sends entries to whoever lacks them and has answered the last ones. */
void consensus_replicate(struct consensus *consensus);
/** Moves the commit index after an answer or a sync. */
void consensus_advance_commit(struct consensus *consensus);
/** Keeps a peer for each voter and for the one that joins. */
void consensus_update_peers(struct consensus *consensus);
/** Goes on with a change of voters after a commit. */
void consensus_continue_change(struct consensus *consensus);
/** Ends a change and tells the caller. */
void consensus_end_change(struct consensus *consensus, enum error_code error);
/** Takes CONSENSUS_APPEND_REPLY and CONSENSUS_SNAPSHOT_REPLY. */
void consensus_receive_leader(struct consensus *consensus, struct voter from,
    const struct consensus_message *message);

/* consensus_follower.c: entries and snapshots from the leader */

/** Takes CONSENSUS_APPEND and CONSENSUS_SNAPSHOT. */
enum error_code consensus_receive_follower(struct consensus *consensus,
    struct voter from, const struct consensus_message *message);
/** Sends the answers that waited for the sync. */
void consensus_send_acks(struct consensus *consensus);

#endif
