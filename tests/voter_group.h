/**
 * @file voter_group.h
 * Voters and one learner on a faulty net with faulty disks, for tests.
 *
 * It notes what can be seen from outside and fails the test when two
 * observers differ: an entry of the log, or the content under a revision.
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

#define GROUP_HOSTS   5 /* Hosts 1 to 3 vote first, host 4 is spare. */
#define GROUP_LEARNER 5 /* Has no disk. */
#define GROUP_VOTERS  3

struct voter_group;

/** A host. */
struct group_host {
	struct voter_group *group;
	uint32_t id;
	bool is_up;
	struct fake_disk disk;
	struct consensus consensus;
	struct replicated_state state;
	struct command_client client;
	GByteArray *result;
	int64_t wall_offset_ms;
};

/** The hosts, and what was seen. */
struct voter_group {
	struct fake_net net;
	struct random_source random;
	struct group_host hosts[GROUP_HOSTS];
	uint32_t compact_entries;
	uint64_t next_seed;
	GHashTable *entries;   /**< Index to hash of the entry. */
	GHashTable *revisions; /**< Revision to content hash. */
	int64_t led_ms[4096];  /**< Net time at which a term got its leader. */
	uint64_t last_led;     /**< Highest such term. */
};

/** Drops log lines: disks fail by the hundred here. */
void voter_group_silence_log(void);
/** Starts all hosts. */
void voter_group_init(
    struct voter_group *group, uint64_t seed, const struct fake_link *link);
/** Stops all and gives back memory. */
void voter_group_finish(struct voter_group *group);
/** Starts a host; a damaged folder is cleared, and true is given then. */
bool voter_group_start(struct voter_group *group, uint32_t id);
/** Stops a host as a kill does. */
void voter_group_stop(struct voter_group *group, uint32_t id);
/** The host that leads the highest term and may answer, NULL for none. */
struct group_host *voter_group_leader(struct voter_group *group);
/** Runs until there is a leader; false after @p limit_ms. */
bool voter_group_wait_leader(struct voter_group *group, int64_t limit_ms);
/** True if all voters that are up have applied the same. */
bool voter_group_agrees(struct voter_group *group);
/** Fails the test if a leader counts a round as confirmed that began after
 * another host had come to lead a later term. */
void voter_group_check_leases(struct voter_group *group);
/** The host's present voter name. */
struct voter voter_group_name(struct voter_group *group, uint32_t id);

#endif
