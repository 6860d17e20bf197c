/**
 * @file host_cluster.h
 * A cluster of hosts in virtual time: membership, upstream directory and
 * configuration feed of each host, over links of 1 ms.
 *
 * Consensus is replaced by a stub that commits at once and sends nothing.
 */
#ifndef HOST_CLUSTER_H
#define HOST_CLUSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random_source.h"
#include "coordination/config_feed.h"
#include "coordination/membership.h"
#include "coordination/upstream_directory.h"

#define CLUSTER_SEED	     7	 /**< Seed of all random numbers. */
#define CLUSTER_HEARTBEAT_MS 100 /**< Period of leader heartbeats. */

struct host_cluster;

/** A host, with the traffic that it sent and received. */
struct cluster_node {
	struct host_cluster *cluster; /**< Cluster of the host. */
	uint32_t id;		      /**< Host id. */
	bool is_cut_off; /**< Nothing reaches the host or comes from it. */
	struct membership membership;	     /**< Its membership. */
	struct upstream_directory directory; /**< Its upstream directory. */
	struct config_feed feed;	     /**< Its configuration feed. */
	uint64_t applied_index; /**< Last entry that it has applied. */
	uint64_t sent_bytes[PEER_CHANNEL_COUNT]; /**< Sent, by channel. */
	uint64_t received_bytes; /**< Received on all channels. */
	uint64_t sent_frames;	 /**< Frames sent on all channels. */
};

/** The cluster. Host 1 is the leader throughout. */
struct host_cluster {
	struct timer_service timers; /**< Virtual time, in milliseconds. */
	struct random_source random; /**< Random numbers of the bench. */
	uint32_t host_count;	     /**< Hosts in the cluster. */
	uint32_t upstream_count;     /**< Upstreams that announce themselves. */
	uint32_t voter_count; /**< Voters, the hosts with the lowest ids. */
	struct cluster_node *nodes; /**< The hosts; ids count from 1. */
	uint64_t *incarnations;	    /**< Of each upstream, 0: none yet. */
	int64_t next_heartbeat_ms;  /**< Time of the next heartbeat. */
	/** Time until which the leader is confirmed. */
	int64_t confirmed_ms;
};

/* Setup */

/** Starts hosts and upstreams, and lets them settle. */
void host_cluster_start(
    struct host_cluster *cluster, uint32_t hosts, uint32_t upstreams);
/** Frees the cluster's memory, but not that of frames in flight. */
void host_cluster_finish(struct host_cluster *cluster);

/* Time */

/** Lets one pass of the hosts' main loops go by. */
void host_cluster_step(struct host_cluster *cluster);
/** Lets time pass in such steps. */
void host_cluster_run(struct host_cluster *cluster, int64_t duration_ms);

/* Changes */

/** Commits a change of the configuration. */
void host_cluster_commit_change(struct host_cluster *cluster);
/** Restarts an upstream. */
void host_cluster_restart_upstream(
    struct host_cluster *cluster, uint32_t number);
/** Calls @p visit for the upstreams that are due in this step, if each is due
 * once in @p period_ms. */
void host_cluster_visit_due(struct host_cluster *cluster, int64_t now_ms,
    int64_t period_ms,
    void (*visit)(struct host_cluster *cluster, uint32_t number));
/** Returns the id of an upstream. */
uint64_t host_cluster_upstream_id(uint32_t number);

#endif
