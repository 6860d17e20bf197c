/**
 * @file part_suspects.h
 * Finds parts of prompts that crash upstreams, whatever request they come with.
 *
 * When an upstream crashes, each host commits what its requests that had just
 * begun there have in common, see state/prompt_part.h. A part that is among
 * these in enough crashes is quarantined on all hosts; later one host sends a
 * single request for a trial. A request that runs on for a time clears its
 * parts. What this host has found out counts here at once, and its commit is
 * repeated until it succeeds. While commits are not allowed, since a host of an
 * earlier build would not know them, it counts here for as long as a part is
 * suspected, and is committed as soon as they are.
 */
#ifndef PART_SUSPECTS_H
#define PART_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/command.h"
#include "state/prompt_part.h"
#include "transport/timer.h"

/** Whether a request may run, given the parts of its prompt. */
enum part_action {
	PART_RUN = 0,	 /**< None of its parts is quarantined. */
	PART_TRY = 1,	 /**< It may run if it is the only one for a time. */
	PART_REFUSE = 2, /**< It must not run. */
};

/** A quarantined part. */
struct part_verdict {
	struct part_record record; /**< The part; times of this host's clock. */
	/** True if this host may send a single request for a trial when the
	 * quarantine has ended. */
	bool is_trial_host;
};

/** Callbacks to the owner. */
struct part_suspects_ops {
	/** Commits a COMMAND_PARTS_CRASHED or COMMAND_PARTS_CLEARED. The callee
	 * calls part_suspects_record_commit() with the same @p id, also if it
	 * fails. */
	void (*commit)(void *context, uint64_t id, enum command_type type,
	    const struct command_parts *parts);
	/** True if commits are allowed at present; NULL if they always are.
	 * Until they are, what was found out counts on this host alone. */
	bool (*may_commit)(void *context);
	/** True if this host is one of the few to try the part at present. */
	bool (*is_trial_host)(void *context, uint64_t part);
	void *context; /**< First argument of the callback. */
};

/** Parts that are suspected or quarantined. */
struct part_suspects {
	struct part_suspects_ops ops; /**< Callbacks to the owner. */
	struct timer_service *timers; /**< Clock and timer in use. */
	/** Part to struct part_entry: the committed records, and what this host
	 * has found out since. */
	GHashTable *entries;
	/** Part to the time at which a request with it ran well here. */
	GHashTable *survivors;
	/** Set of the quarantined parts that were logged. */
	GHashTable *logged;
	GQueue *commits;	  /**< struct part_commit not committed yet. */
	uint64_t last_commit_id;  /**< Id of the last of those. */
	uint64_t change_count;	  /**< Changes of the entries so far. */
	struct handle tick_timer; /**< Repeats commits, expires entries. */
};

/* Setting up */

/** Initialises an empty table. Errors: those of timer_subscribe_every(). */
enum error_code part_suspects_init(struct part_suspects *suspects,
    const struct part_suspects_ops *ops, struct timer_service *timers);
/** Frees the table. */
void part_suspects_finish(struct part_suspects *suspects);

/* Requests; called on the coordination thread */

/** Records the crash of an upstream on which these requests of this host had
 * just begun. @p crash_id is the same on all hosts that see the crash. Returns
 * false, and records nothing, if one of the requests has a part that must not
 * run at present, which explains the crash. */
bool part_suspects_record_crash(struct part_suspects *suspects,
    uint64_t crash_id, const struct request_key *keys, uint32_t count);
/** Records that a request has run on after its beginning, so its parts crash
 * nothing. */
void part_suspects_record_survived(
    struct part_suspects *suspects, const struct request_key *key);
/** Returns whether a request may run. */
enum part_action part_suspects_check(
    const struct part_suspects *suspects, const struct request_key *key);
/** Returns whether a request with a quarantined part, and with its companions,
 * may run at @p now_ms. */
enum part_action part_verdict_action(
    const struct part_verdict *verdict, int64_t now_ms);
/** Returns the time after which such a request may be sent again. */
int64_t part_verdict_left_ms(
    const struct part_verdict *verdict, int64_t now_ms);
/** Calls @p visit with each quarantined part. */
void part_suspects_for_each(const struct part_suspects *suspects,
    void (*visit)(void *context, const struct part_verdict *verdict),
    void *context);

/* Committed records */

/** Records how a commit ended. One that failed is repeated, but not if the
 * leader doesn't know the command (ERROR_NOT_SUPPORTED): each repetition would
 * still reach the voters that know it. Until it is too old it counts on this
 * host alone. */
void part_suspects_record_commit(
    struct part_suspects *suspects, uint64_t id, enum error_code error);
/** Begins to apply all committed records. */
void part_suspects_sync_begin(struct part_suspects *suspects);
/** Applies a committed record; @p epoch_ms is the present time since the
 * epoch. */
void part_suspects_sync_record(struct part_suspects *suspects,
    const struct part_record *record, int64_t epoch_ms);
/** Ends it: what this host has found out since counts again. */
void part_suspects_sync_end(struct part_suspects *suspects);

#endif
