/**
 * @file feed_group.h
 * Hosts that run the configuration feed over a simulated net and a simulated
 * consensus, for the tests of the feed.
 */
#ifndef FEED_GROUP_H
#define FEED_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/config_feed.h"
#include "fake_net.h"

#define HOSTS	 16   /**< Hosts of a group. */
#define VOTERS	 3    /**< Voters of feed_group_start(). */
#define FAN_OUT	 2    /**< Children per host there; small for a deep tree. */
#define LEASE_MS 2000 /**< Duration of a lease there. */

struct feed_group;

/** A host with the state that consensus would provide. */
struct feed_node {
	struct feed_group *group; /**< Group of the host. */
	uint32_t id;		  /**< Host id. */
	bool is_running;	  /**< The host was started and not killed. */
	bool has_lease;		  /**< The host has a configuration lease. */
	uint64_t incarnation;	  /**< Number of its starts. */
	struct config_feed feed;  /**< The feed that is tested. */
	uint64_t applied;	  /**< Last entry that the host has applied. */
	uint64_t term;		  /**< Term that the host knows. */
	bool is_leading;	  /**< The host takes itself for the leader. */
	int64_t confirmed_ms; /**< Time until which its leading is confirmed. */
	int64_t round_ms;     /**< Start of its present round of heartbeats. */
	uint64_t snapshot_count; /**< Snapshots installed. */
};

/** All hosts and the simulated consensus. A voter leads as long as it reaches
 * another voter. */
struct feed_group {
	struct fake_net net;	       /**< Net between the hosts. */
	struct feed_node nodes[HOSTS]; /**< The hosts; ids count from 1. */
	uint64_t committed;	       /**< Last entry committed. */
	uint64_t term;		       /**< Present term. */
	/** Last entry that any host has reported as in force. */
	uint64_t max_in_force;
	uint32_t leader;      /**< Host id of the leader. */
	uint32_t voter_count; /**< Voters, the hosts with the lowest ids. */
	uint32_t fan_out;     /**< Children per host. */
	int64_t lease_ms;     /**< Duration of a lease. */
	/** Rounds since the leader last reached a quorum. */
	unsigned int rounds_without_quorum;
	size_t snapshot_size;  /**< Bytes of each snapshot. */
	int64_t next_round_ms; /**< Time of the next round of heartbeats. */
};

/** Starts all hosts, with the settings above. */
void feed_group_start(
    struct feed_group *group, uint64_t seed, const struct fake_link *link);
/** Starts all hosts. */
void feed_group_start_of(struct feed_group *group, uint32_t voter_count,
    uint32_t fan_out, int64_t lease_ms, uint64_t seed,
    const struct fake_link *link);
/** Kills all hosts and frees the net. */
void feed_group_stop(struct feed_group *group);
/** Starts a host with a new incarnation. */
void feed_group_start_node(struct feed_node *node);
/** Kills a host; does nothing if it does not run. */
void feed_group_kill_node(struct feed_node *node);
/** Lets time pass and checks all the while that each host with a lease has every
 * change that any host reported as in force. */
void feed_group_run(struct feed_group *group, int64_t duration_ms);
/** Commits a change, if there is a leader with a quorum. */
void feed_group_commit_change(struct feed_group *group);
/** Returns the number of running hosts that have a lease. */
uint32_t feed_group_count_leases(struct feed_group *group);

#endif
