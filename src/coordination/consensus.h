/**
 * @file consensus.h
 * The replicated log among the voters: elections, replication, voter changes.
 *
 * An implementation of Raft with these properties: candidates hold a pre-vote;
 * a leader that hears from no quorum for an election timeout steps down;
 * entries of older terms commit only together with an entry of the leader's own
 * term; term, vote and entries are synced to disk before they are acknowledged.
 * All proposals and entries that arrive in one turn of the event loop share one
 * sync: consensus_persist(), run by a timer without delay.
 *
 * Time stamps follow one reference, passed from leader to leader, so a wall
 * clock that steps moves them by at most a minute. If no voter remembers the
 * reference because all were restarted, the lowest wall clock of a quorum
 * becomes the new one.
 *
 * A new cluster forms itself. The initial voter with the lowest id contacts all
 * others, and only if every one of them has an empty data folder does it
 * distribute the first voter set. A host that lost its disk also has an empty
 * folder, but it becomes a voter only after consensus_add_voter() was called
 * with its new incarnation.
 */
#ifndef CONSENSUS_H
#define CONSENSUS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "config.h"
#include "protocol/peer_port.h"
#include "state/disk.h"
#include "state/journal.h"
#include "state/snapshot_file.h"
#include "state/voter_file.h"
#include "transport/timer.h"

/** Peers of a leader: all voters, and one host that is joining or that is being
 * removed. */
#define CONSENSUS_PEERS_MAX (VOTERS_MAX + 1)
/** Proposals that may wait for their commit at a time. */
#define CONSENSUS_PROPOSALS_MAX 8192u
/** Largest command in bytes. */
#define CONSENSUS_COMMAND_SIZE_MAX ((size_t)2 * 1024 * 1024)

/** Role of a voter in its term. */
enum consensus_role {
	CONSENSUS_ROLE_FOLLOWER = 0,  /**< Has a leader or waits for one. */
	CONSENSUS_ROLE_CANDIDATE = 1, /**< Requests votes. */
	CONSENSUS_ROLE_LEADER = 2,    /**< Was elected leader of the term. */
};

/** Settings of the consensus; zero means the default. */
struct consensus_settings {
	uint32_t host_id; /**< Id of this host. */
	/** Cluster id, the same on all hosts; part of the identity. */
	uint64_t cluster_id;
	/** Random number that becomes this host's incarnation if its data
	 * folder is empty. */
	uint64_t fresh_incarnation;
	uint32_t initial_count;		     /**< Number of initial voters. */
	uint32_t initial_voters[VOTERS_MAX]; /**< Form a new cluster. */
	int64_t heartbeat_ms; /**< Heartbeat interval; default 200. */
	/** Shortest election timeout; default 1000. */
	int64_t election_min_ms;
	int64_t election_max_ms; /**< Greatest timeout; default 2000. */
	/** Entries after which a snapshot is written; default 4096. */
	uint32_t compact_entries;
	/** Voters that must store an entry before it commits, or all voters if
	 * there are fewer; default 1. A quorum is needed in any case. */
	uint32_t copies_min;
	uint64_t seed; /**< Random seed of the election timeouts. */
};

/** A committed entry of the log. */
struct consensus_entry {
	uint64_t index;	  /**< Position in the log. */
	uint64_t term;	  /**< Term of the leader that wrote it. */
	int64_t time_ms;  /**< Leader's stamp since epoch; never decreases. */
	const void *data; /**< The command. */
	size_t size;	  /**< Bytes of the command. */
};

/** Functions of the replicated state machine and of the owner. */
struct consensus_ops {
	/** Applies a command. @p result stays valid until the next call. An
	 * error means that this build does not know the kind of the command,
	 * which has then changed nothing; the voter stops. */
	enum error_code (*apply)(void *context,
	    const struct consensus_entry *entry, const void **result,
	    size_t *result_size);
	/** Reads the kind of a command. error_is_unknown_kind() is true for the
	 * result if this build could not apply the command. */
	enum error_code (*read_kind)(
	    void *context, const void *command, size_t size, uint64_t *kind);
	/** Returns an error if a command must not be proposed at present. The
	 * leader calls it for each command that it is to propose; may be
	 * NULL. */
	enum error_code (*check_proposal)(void *context, uint64_t kind);
	/** Serialises the whole state; the caller releases the array. */
	GByteArray *(*save)(void *context);
	/** Replaces the whole state by one that save() returned. */
	enum error_code (*load)(void *context, const void *data, size_t size);
	/** Called when the role or the leader has changed; may be NULL. */
	void (*on_role_changed)(
	    void *context, enum consensus_role role, uint32_t leader_id);
	/** Returns the wall clock in milliseconds since epoch. */
	int64_t (*wall_ms)(void *context);
	void *context; /**< First argument of each function above. */
};

/** Callback for a proposal or a voter change, called exactly once: with
 * ERROR_NONE and the result of apply(), or with an error, such as
 * ERROR_OUTCOME_UNKNOWN if the leader changed meanwhile. */
struct consensus_callback {
	void (*run)(void *context, enum error_code error, uint64_t index,
	    const void *result, size_t result_size); /**< The function. */
	void *context; /**< First argument of run(). */
};

/** State of another voter as the leader knows it. */
struct consensus_peer {
	struct voter voter;	  /**< Host and incarnation of the peer. */
	uint64_t next_index;	  /**< Next entry to send. */
	uint64_t match_index;	  /**< Last entry known to be stored there. */
	bool is_probing;	  /**< Where its log matches is unknown yet. */
	uint64_t in_flight_index; /**< Last entry sent, not answered; or 0. */
	int64_t entries_sent_ms;  /**< When the entries in flight were sent. */
	int64_t last_sent_ms;	  /**< When any message was sent last. */
	int64_t last_reply_ms;	  /**< When the peer's last reply arrived. */
	int64_t confirmed_ms;	 /**< Send time of the last answered message. */
	uint64_t snapshot_index; /**< Snapshot being sent, 0 for none. */
	/** Bytes of the snapshot that the peer has received. */
	uint64_t snapshot_offset;
};

/** Phases of a voter change. */
enum consensus_change_phase {
	CONSENSUS_CHANGE_NONE = 0,     /**< No change is in progress. */
	CONSENSUS_CHANGE_CATCH_UP = 1, /**< The new voter gets the log. */
	/** Removes the old incarnation of a replaced voter. */
	CONSENSUS_CHANGE_REMOVE_OLD = 2,
	CONSENSUS_CHANGE_ADD = 3,    /**< The new voter is added. */
	CONSENSUS_CHANGE_REMOVE = 4, /**< A voter is removed. */
};

/** A voter change in progress at the leader. */
struct consensus_change {
	enum consensus_change_phase phase; /**< Current phase. */
	struct voter voter;		   /**< The voter added or removed. */
	uint64_t index;	     /**< Index of the entry that must commit. */
	int64_t deadline_ms; /**< Latest time to catch up. */
	struct consensus_callback callback; /**< Receives the outcome. */
};

/** A reply to the leader that is delayed until the entries are synced. */
struct consensus_ack {
	uint32_t leader_id;	     /**< Host id of the leader. */
	uint64_t leader_incarnation; /**< Incarnation of the leader. */
	uint64_t match_index;	     /**< Last entry stored after the sync. */
	int64_t sent_ms; /**< Leader's send time, returned in the reply. */
};

/** Consensus on a voter, or on a host with a disk that may become one. */
struct consensus {
	/* Arguments of consensus_init() */
	struct consensus_settings settings;
	struct disk disk;
	struct timer_service *timers;
	struct peer_port port;
	struct consensus_ops ops;
	struct random_source random;

	/* Persistent state */
	struct voter_file identity; /**< This voter, its term and its vote. */
	struct journal journal;	    /**< Entries after the snapshot. */
	struct snapshot snapshot;   /**< Latest snapshot with its state. */
	struct voter_set voters;    /**< Latest voter set in the log. */
	/** Index of the log entry that holds the voter set. */
	uint64_t voters_index;
	/** The disk failed, or the log holds a kind of entry that this build
	 * does not know: applies nothing and sends nothing. */
	bool is_failed;
	enum error_code failure; /**< Why it failed. */

	/* Any role */
	enum consensus_role role;
	uint32_t leader_id; /**< Host id of the leader, 0 if unknown. */
	uint64_t commit_index;
	uint64_t applied_index;
	bool is_applying;
	bool is_persist_due;
	/** No snapshot is written before, since the disk refused the last. */
	int64_t next_compaction_ms;
	bool is_pre_vote;	   /**< The candidate requests pre-votes. */
	int64_t last_timestamp_ms; /**< Latest time stamp in the log. */
	/** Cluster time, learned from a leader or a voter, or set by the first
	 * leader after all voters were restarted. */
	int64_t time_reference_ms;
	/** Local time at which the reference was set, 0 for never. */
	int64_t time_reference_at_ms;
	struct handle persist_timer;
	struct handle tick_timer;
	struct handle election_timer;

	/* Follower and candidate */
	int64_t leader_contact_ms; /**< When the leader last sent a message. */
	int64_t election_due_ms;   /**< When to start an election. */
	uint32_t vote_mask;	   /**< Bit i is set if voter i granted. */
	uint32_t fresh_voter_mask; /**< Initial voters with empty folders. */
	/** Earliest clock among the voters that granted a vote. */
	int64_t voter_time_min_ms;
	GArray *acks;		       /**< Pending struct consensus_ack. */
	GByteArray *incoming_snapshot; /**< Snapshot bytes received so far. */
	/** Index, term and voters of the incoming snapshot. */
	struct snapshot incoming_header;
	/** Incarnations of the initial voters in fresh_voter_mask. */
	uint64_t fresh_incarnations[VOTERS_MAX];

	/* Leader */
	uint64_t term_start_index; /**< First entry of the leader's term. */
	uint32_t peer_count;
	uint32_t transfer_target_id; /**< Designated next leader, or 0. */
	struct consensus_peer peers[CONSENSUS_PEERS_MAX];
	GQueue *proposals; /**< Pending struct proposal, by index. */
	struct consensus_change change;
	int64_t transfer_deadline_ms; /**< When to give up the transfer. */
};

/* Setting up */

/** Opens the data folder and starts as a follower. ERROR_CORRUPT and
 * ERROR_IDENTITY_LOST mean that this folder must never vote again: clear the
 * folder and add the host as a new voter. With ERROR_NOT_SUPPORTED and
 * ERROR_UNSUPPORTED_VERSION the folder is sound, but only a newer build can use
 * it; it is left as it is. */
enum error_code consensus_init(struct consensus *consensus,
    const struct consensus_settings *settings, const struct disk *disk,
    struct timer_service *timers, struct peer_port port,
    const struct consensus_ops *ops);
/** Removes the consensus files from a folder that must not vote again, so that
 * the host starts with a new incarnation. */
enum error_code consensus_clear_folder(const struct disk *disk);
/** Stops without a message to other hosts. Waiting callbacks get
 * ERROR_OUTCOME_UNKNOWN. */
void consensus_finish(struct consensus *consensus);

/* Receiving from other hosts */

/** Handles a message received on PEER_CHANNEL_CONSENSUS. Errors: those of the
 * decoder and of the disk, ERROR_FORBIDDEN (other cluster), ERROR_STALE (meant
 * for an earlier incarnation, or sent in an older term). */
enum error_code consensus_receive(struct consensus *consensus,
    uint32_t from_host, const void *body, size_t size);

/* Proposing, on the leader */

/** Proposes a command. @p callback is called later, unless this returns an
 * error: ERROR_NOT_LEADER, ERROR_TABLE_FULL, ERROR_TOO_LARGE, an error of the
 * journal or of check_proposal(), or ERROR_NOT_SUPPORTED or ERROR_UNSUPPORTED_VERSION for a kind of
 * command that this build does not know. */
enum error_code consensus_propose(struct consensus *consensus,
    const void *command, size_t size, struct consensus_callback callback);
/** Syncs the entries appended in this turn of the event loop and sends them and
 * the acknowledgements. Also run by a timer. */
void consensus_persist(struct consensus *consensus);
/** Adds a voter once it has caught up. A new incarnation of a host replaces its
 * old one. Errors: ERROR_NOT_LEADER, ERROR_CHANGE_PENDING, ERROR_TABLE_FULL,
 * ERROR_ALREADY_EXISTS, ERROR_INVALID_ARGUMENT. The callback gets ERROR_TIMEOUT
 * if the voter falls silent or does not catch up in time, and ERROR_CANCELLED
 * after consensus_cancel_join(). */
enum error_code consensus_add_voter(struct consensus *consensus,
    struct voter voter, struct consensus_callback callback);
/** Returns the host that is catching up to become a voter; its host id is 0 if
 * there is none. */
struct voter consensus_joining_voter(const struct consensus *consensus);
/** Gives up the host that is catching up, so that another voter change can
 * start. Does nothing if no host is catching up. */
void consensus_cancel_join(struct consensus *consensus);
/** Removes a voter, and tells it so if it can be reached. Its incarnation may be 0
 * for whichever the host votes under. Errors: ERROR_NOT_LEADER,
 * ERROR_CHANGE_PENDING, ERROR_NOT_FOUND, ERROR_STALE if the host votes under
 * another incarnation, ERROR_INVALID_ARGUMENT for the last voter. */
enum error_code consensus_remove_voter(struct consensus *consensus,
    struct voter voter, struct consensus_callback callback);
/** Transfers leadership to the most up-to-date voter before a planned stop.
 * Proposals are refused during the transfer. Errors: ERROR_NOT_LEADER,
 * ERROR_NOT_FOUND if there is no other voter. */
enum error_code consensus_transfer(struct consensus *consensus);

/* Querying */

/** Returns the host id and incarnation of this host. */
struct voter consensus_self(const struct consensus *consensus);
/** Returns true if this host leads and an entry of its term has committed. */
bool consensus_is_leader(const struct consensus *consensus);
/** Returns the host id of the leader, or 0 if unknown. */
uint32_t consensus_leader(const struct consensus *consensus);
/** Returns true if this host's current incarnation is a voter. */
bool consensus_is_voter(const struct consensus *consensus);
/** Returns true if the latest voter set in this host's log is known to be
 * committed. */
bool consensus_is_voter_set_committed(const struct consensus *consensus);
/** Returns the latest voter set in this host's log. */
const struct voter_set *consensus_voters(const struct consensus *consensus);
/** Returns the cluster's time in milliseconds since epoch, as far as this host
 * knows it. */
int64_t consensus_time_ms(const struct consensus *consensus);
/** Gets the local time of the start of the latest heartbeat round that a quorum
 * has answered, and the current commit index. Errors: ERROR_NOT_LEADER. */
enum error_code consensus_confirmed_at(
    const struct consensus *consensus, int64_t *at_ms, uint64_t *commit_index);

#endif
