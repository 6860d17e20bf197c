/**
 * @file consensus.h
 * The replicated log among voters: elections, replication, voter changes.
 *
 * Own consensus in the manner of Raft: pre-vote; a leader that hears no
 * quorum for an election timeout steps down; entries of older terms commit
 * only behind one of the leader's own term; term, vote and entries are synced
 * before they are acknowledged. Proposals and entries that arrive in one turn
 * share one sync: consensus_persist(), run by a timer of no delay.
 *
 * Time stamps follow one reference, handed from leader to leader, so a wall
 * clock that steps moves them by a minute at most; when no voter remembers one
 * (all were restarted), the least wall clock of a quorum begins it anew.
 *
 * A fresh cluster forms itself: the least initial voter asks all the others,
 * and only if every one of them has an empty data folder it hands out the
 * first voter set. A host whose disk was lost is fresh again, but is no voter
 * until consensus_add_voter() names its new incarnation.
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

#define CONSENSUS_PEERS_MAX	(VOTERS_MAX + 1) /**< Voters, one joining. */
#define CONSENSUS_PROPOSALS_MAX 8192u /**< Proposals waiting at a time. */
#define CONSENSUS_COMMAND_SIZE_MAX                                             \
	((size_t)2 * 1024 * 1024) /**< Bytes of one. */

/** What a voter is doing. */
enum consensus_role {
	CONSENSUS_ROLE_FOLLOWER = 0,  /**< Follows, or waits for a leader. */
	CONSENSUS_ROLE_CANDIDATE = 1, /**< Asks for votes. */
	CONSENSUS_ROLE_LEADER = 2,    /**< Leads its term. */
};

/** Settings; zero means the default. */
struct consensus_settings {
	uint32_t host_id;    /**< This host. */
	uint64_t cluster_id; /**< Same on all hosts; part of the identity. */
	uint64_t fresh_incarnation; /**< Random; used if the folder is empty. */
	uint32_t initial_count;	    /**< Initial voters below. */
	uint32_t initial_voters[VOTERS_MAX]; /**< Who forms the cluster. */
	int64_t heartbeat_ms;		     /**< Default 200. */
	int64_t election_min_ms;  /**< Least election timeout, default 1000. */
	int64_t election_max_ms;  /**< Most, default 2000. */
	uint32_t compact_entries; /**< Snapshot after so many, default 4096. */
	uint32_t copies_min;	  /**< Voters that must hold an entry before it
				  commits, if there are so many; default 1,
				  a quorum is needed in any case. */
	uint64_t seed;		  /**< For election timeouts. */
};

/** An entry that was committed. */
struct consensus_entry {
	uint64_t index;	  /**< In the log. */
	uint64_t term;	  /**< Of the leader that wrote it. */
	int64_t time_ms;  /**< Leader's stamp since epoch, never going back. */
	const void *data; /**< The command. */
	size_t size;	  /**< Bytes of it. */
};

/** The state machine that is replicated. */
struct consensus_ops {
	/** Applies a command; @p result is valid until the next call. */
	void (*apply)(void *context, const struct consensus_entry *entry,
	    const void **result, size_t *result_size);
	/** Saves the state; the caller unrefs it. */
	GByteArray *(*save)(void *context);
	/** Replaces the state. */
	enum error_code (*load)(void *context, const void *data, size_t size);
	/** Says that the role or the leader changed; may be NULL. */
	void (*role_changed)(
	    void *context, enum consensus_role role, uint32_t leader_id);
	/** Wall clock in milliseconds since epoch. */
	int64_t (*wall_ms)(void *context);
	void *context; /**< Passed back to each. */
};

/** Called once with the outcome of a proposal or a voter change: ERROR_NONE
 * with the result of apply(), or ERROR_OUTCOME_UNKNOWN. */
struct consensus_callback {
	void (*run)(void *context, enum error_code error, uint64_t index,
	    const void *result, size_t result_size); /**< What to call. */
	void *context; /**< Passed back to run(). */
};

/** What the leader knows of another voter. */
struct consensus_peer {
	struct voter voter;	  /**< Whom it is about. */
	uint64_t next_index;	  /**< Next entry to send. */
	uint64_t match_index;	  /**< Last entry known to last there. */
	bool is_probing;	  /**< Its log has not been matched yet. */
	uint64_t sent_index;	  /**< Last entry sent, not answered; or 0. */
	int64_t entries_sent_ms;  /**< When that was. */
	int64_t sent_ms;	  /**< When something was sent last. */
	int64_t heard_ms;	  /**< When it answered last. */
	int64_t confirmed_ms;	  /**< When what it answered was sent. */
	uint64_t snapshot_index;  /**< Snapshot being sent, 0 for none. */
	uint64_t snapshot_offset; /**< Bytes of it that it has. */
};

/** Where a change of voters stands. */
enum consensus_change_phase {
	CONSENSUS_CHANGE_NONE = 0,	 /**< None is under way. */
	CONSENSUS_CHANGE_CATCH_UP = 1,	 /**< The new voter is behind. */
	CONSENSUS_CHANGE_REMOVE_OLD = 2, /**< Its old self is taken out. */
	CONSENSUS_CHANGE_ADD = 3,	 /**< It is put in. */
	CONSENSUS_CHANGE_REMOVE = 4,	 /**< A voter is taken out. */
};

/** A change of voters under way at the leader. */
struct consensus_change {
	enum consensus_change_phase phase;  /**< Where it stands. */
	struct voter voter;		    /**< Who is added or removed. */
	uint64_t index;			    /**< Entry that must commit. */
	int64_t deadline_ms;		    /**< When it is given up. */
	struct consensus_callback callback; /**< Whom to tell. */
};

/** An answer to the leader that waits for a sync. */
struct consensus_ack {
	uint32_t to;		 /**< The leader. */
	uint64_t to_incarnation; /**< Its incarnation. */
	uint64_t match_index;	 /**< What will last then. */
	int64_t sent_ms;	 /**< Echo of the leader's clock. */
};

/** A voter, or a host with a disk that may become one. */
struct consensus {
	/* What it was given */
	struct consensus_settings settings;
	struct disk disk;
	struct timer_service *timers;
	struct peer_port port;
	struct consensus_ops ops;
	struct random_source random;

	/* What lasts */
	struct voter_file identity;
	struct journal journal;
	struct snapshot snapshot; /**< The last one, with its state. */
	struct voter_set voters;  /**< Latest in the log. */
	uint64_t voters_index;	  /**< Entry that holds it. */
	bool is_failed;		  /**< The disk failed: says nothing. */
	enum error_code failure;  /**< Why. */

	/* Any role */
	enum consensus_role role;
	uint32_t leader_id; /**< 0 if not known. */
	uint64_t commit_index;
	uint64_t applied_index;
	bool is_applying;
	bool is_persist_due;
	bool is_pre_vote;	 /**< The candidate asks for pre-votes. */
	int64_t stamp_ms;	 /**< Last time stamp in the log. */
	int64_t reference_ms;	 /**< A leader's stamp... */
	int64_t reference_at_ms; /**< ...and when it was heard, or 0. */
	struct handle persist_timer;
	struct handle tick_timer;
	struct handle election_timer;

	/* Follower and candidate */
	int64_t heard_leader_ms; /**< When the leader was heard last. */
	int64_t election_due_ms; /**< When to ask for votes. */
	uint32_t votes;		 /**< Bits of voters that granted. */
	uint32_t fresh_seen;	 /**< Forming: bits of fresh initial voters. */
	int64_t vote_time_ms;	 /**< Least time that any of them told. */
	GArray *acks;		 /**< struct consensus_ack, to send. */
	GByteArray *incoming;	 /**< Snapshot being received. */
	struct snapshot incoming_head;		 /**< Its head. */
	uint64_t fresh_incarnations[VOTERS_MAX]; /**< Of those. */

	/* Leader */
	uint64_t term_start; /**< Its term's first entry. */
	uint32_t peer_count;
	uint32_t transfer_to; /**< Whom it hands over to, or 0. */
	struct consensus_peer peers[CONSENSUS_PEERS_MAX];
	GQueue *proposals; /**< Waiting callbacks, by index. */
	struct consensus_change change;
	int64_t transfer_due_ms; /**< When that is given up. */
};

/* Setting up */

/** Opens the data folder and starts. Errors: ERROR_CORRUPT and
 * ERROR_IDENTITY_LOST mean that this folder must never vote again: clear it
 * and add the host as a new voter. */
enum error_code consensus_init(struct consensus *consensus,
    const struct consensus_settings *settings, const struct disk *disk,
    struct timer_service *timers, struct peer_port port,
    const struct consensus_ops *ops);
/** Clears a folder that must not vote again, so that the host is fresh. */
enum error_code consensus_clear_folder(const struct disk *disk);
/** Stops without a word to others; waiting callbacks end. */
void consensus_finish(struct consensus *consensus);

/* From other hosts */

/** Takes a message of PEER_CHANNEL_CONSENSUS. */
enum error_code consensus_receive(struct consensus *consensus,
    uint32_t from_host, const void *body, size_t size);

/* Proposing, at the leader */

/** Proposes a command. Errors at once: ERROR_NOT_LEADER, ERROR_TABLE_FULL,
 * ERROR_TOO_LARGE; else @p callback is called later. */
enum error_code consensus_propose(struct consensus *consensus,
    const void *command, size_t size, struct consensus_callback callback);
/** Syncs and sends what this turn brought; a timer does it, too. */
void consensus_persist(struct consensus *consensus);
/** Adds a voter once it has caught up; a host's new incarnation takes the
 * place of its old one. Errors: ERROR_NOT_LEADER, ERROR_CHANGE_PENDING,
 * ERROR_TABLE_FULL, ERROR_ALREADY_EXISTS; later ERROR_TIMEOUT. */
enum error_code consensus_add_voter(struct consensus *consensus,
    struct voter voter, struct consensus_callback callback);
/** Removes a voter. Errors: ERROR_NOT_LEADER, ERROR_CHANGE_PENDING,
 * ERROR_NOT_FOUND, ERROR_INVALID_ARGUMENT for the last voter. */
enum error_code consensus_remove_voter(struct consensus *consensus,
    uint32_t host_id, struct consensus_callback callback);
/** Hands leadership to the voter that has caught up most, for a planned
 * stop; proposals are refused meanwhile. Errors: ERROR_NOT_LEADER,
 * ERROR_NOT_FOUND. */
enum error_code consensus_transfer(struct consensus *consensus);

/* Looking */

/** This host's voter name. */
struct voter consensus_self(const struct consensus *consensus);
/** True if it leads, and an entry of its term was committed. */
bool consensus_is_leader(const struct consensus *consensus);
/** Who leads, 0 if not known. */
uint32_t consensus_leader(const struct consensus *consensus);
/** True if this host's data folder is a voter's. */
bool consensus_is_voter(const struct consensus *consensus);
/** Who votes, as far as this host knows. */
const struct voter_set *consensus_voters(const struct consensus *consensus);
/** The cluster's time in milliseconds since epoch, as far as known here. */
int64_t consensus_time_ms(const struct consensus *consensus);
/** Latest local time at which a round began that a quorum has since
 * answered, with the commit index now. Errors: ERROR_NOT_LEADER. */
enum error_code consensus_confirmed_at(
    const struct consensus *consensus, int64_t *at_ms, uint64_t *commit_index);

#endif
