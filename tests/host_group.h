/**
 * @file host_group.h
 * A few hosts with membership and upstream directory on a faulty net.
 */
#ifndef HOST_GROUP_H
#define HOST_GROUP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random_source.h"
#include "coordination/membership.h"
#include "coordination/upstream_directory.h"
#include "fake_net.h"

#define GROUP_HOSTS 6 /**< Ids from 1; the first two are seeds. */

/** A host. */
struct group_host {
	struct fake_net *net;		     /**< Where it is. */
	uint32_t id;			     /**< From 1. */
	bool runs;			     /**< Started and not killed. */
	uint64_t incarnation;		     /**< Of the latest start. */
	struct membership membership;	     /**< Under test. */
	struct upstream_directory directory; /**< Under test. */
	unsigned int suspicions;	     /**< Suspicions that it saw. */
	unsigned int deaths;		     /**< Deaths that it saw. */
	unsigned int declared_dead;   /**< Own deaths that it learned of. */
	unsigned int announced, gone; /**< Upstreams that came and went. */
	unsigned int loads;	      /**< Load reports that came. */
};

/** The hosts. */
struct host_group {
	struct fake_net net;		      /**< The net. */
	struct group_host hosts[GROUP_HOSTS]; /**< Host id 1 is the first. */
};

extern const struct fake_link group_good_link; /**< Up to 5 ms. */
extern const struct fake_link group_bad_link;  /**< Slow, loses, repeats. */

/** Starts all hosts. */
void host_group_start(
    struct host_group *group, uint64_t seed, const struct fake_link *link);
/** Stops all hosts. */
void host_group_stop(struct host_group *group);
/** Lets time pass. */
void host_group_run(struct host_group *group, int64_t duration_ms);
/** Starts a host under a new incarnation. */
void host_group_start_host(struct host_group *group, uint32_t id);
/** Kills a host; one that does not run is no error. */
void host_group_kill_host(struct host_group *group, uint32_t id);
/** True if the host runs and is not frozen. */
bool host_group_is_awake(const struct host_group *group, uint32_t id);
/** Brings about one fault. */
void host_group_make_fault(
    struct host_group *group, struct random_source *random);
/** Ends all faults; killed hosts are started. */
void host_group_mend(struct host_group *group);
/** True if every running host holds just the running ones for alive. */
bool host_group_agrees(const struct host_group *group);

#endif
