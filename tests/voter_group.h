/**
 * @file voter_group.h
 * Voters and one learner on a faulty network with faulty disks, for tests.
 *
 * Records every applied log entry and the state under each revision, and fails
 * the test if two hosts differ in one of them.
 */
#ifndef VOTER_GROUP_H
#define VOTER_GROUP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "coordination/command_client.h"
#include "coordination/consensus.h"
#include "fake_disk.h"
#include "fake_net.h"
#include "state/replicated_state.h"

#define GROUP_HOSTS   5 /* Number of hosts; host 4 is a spare at the start. */
#define GROUP_LEARNER 5 /* Id of the host without vote and disk. */
#define GROUP_VOTERS  3 /* Hosts 1 to 3 are the voters at the start. */

/** Type of a command, and kind of a record in snapshots, that only a made-up
 * newer build knows. */
#define GROUP_NEWER_TYPE 99

struct voter_group;

/** A host of the group. */
struct group_host {
	struct voter_group *group;     /**< Group of the host. */
	uint32_t id;		       /**< Host id, from 1. */
	bool is_up;		       /**< Started and not killed. */
	struct fake_disk disk;	       /**< Data folder of the host. */
	struct consensus consensus;    /**< Unused by the learner. */
	struct replicated_state state; /**< State from applied entries. */
	struct command_client client;  /**< Sends commands to the leader. */
	GByteArray *result;	       /**< Encoded result of the last entry. */
	int64_t wall_offset_ms;	       /**< Wall clock minus true time. */
	/** Runs a made-up newer build that knows GROUP_NEWER_TYPE and each
	 * level of the state in its log. */
	bool is_newer;
	/** Type of command that this host must not propose, 0 for none. */
	uint64_t refused_kind;
	uint64_t newer_count; /**< Commands of GROUP_NEWER_TYPE applied. */
};

/** The hosts, and the observations that are compared. */
struct voter_group {
	struct fake_net net;	     /**< Network of the hosts. */
	struct random_source random; /**< Gives clocks their offsets. */
	struct group_host hosts[GROUP_HOSTS]; /**< Indexed by host id - 1. */
	uint32_t compact_entries;   /**< Setting for hosts started later. */
	uint64_t next_seed;	    /**< Seed for the next host start. */
	GHashTable *entry_hashes;   /**< Log index to hash of the entry. */
	GHashTable *content_hashes; /**< Revision to hash of the state. */
	/** Net time plus 1 at which a term got its leader, 0 for none. */
	int64_t leader_since_ms[4096];
	uint64_t last_led_term; /**< Highest term that had a leader. */
};

/** Discards log lines; the failing disks would log hundreds of errors. */
void voter_group_discard_logs(void);
/** Starts all hosts; random faults follow from @p seed. */
void voter_group_init(
    struct voter_group *group, uint64_t seed, const struct fake_link *link);
/** Stops all hosts and frees their memory. */
void voter_group_finish(struct voter_group *group);
/** Starts a host. Clears a damaged data folder; returns true if it did. */
bool voter_group_start(struct voter_group *group, uint32_t id);
/** Kills a host; a host that is down is no error. */
void voter_group_stop(struct voter_group *group, uint32_t id);
/** Returns the leader of the highest term, NULL if no host leads. */
struct group_host *voter_group_leader(struct voter_group *group);
/** Runs until a host leads; false if none does within @p limit_ms. */
bool voter_group_wait_leader(struct voter_group *group, int64_t limit_ms);
/** True if all voters are up and have applied the leader's whole log. */
bool voter_group_agrees(struct voter_group *group);
/**
 * Fails the test if a leader regards a round as confirmed that began after
 * another host had become leader of a later term.
 */
void voter_group_check_leases(struct voter_group *group);
/** Starts a host on whatever is in its data folder, and returns the error of
 * consensus_init(); the host is down after an error. */
enum error_code voter_group_try_start(struct voter_group *group, uint32_t id);
/** Encodes a command of GROUP_NEWER_TYPE. */
void voter_group_encode_newer(struct message_writer *writer);
/** Returns the current voter identity of a host. */
struct voter voter_group_identity(struct voter_group *group, uint32_t id);

#endif
