/**
 * @file host_group.h
 * Hosts that run membership and upstream directory on a faulty network, for
 * tests.
 */
#ifndef HOST_GROUP_H
#define HOST_GROUP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random_source.h"
#include "coordination/membership.h"
#include "coordination/upstream_directory.h"
#include "fake_net.h"

#define GROUP_HOSTS 6 /**< Number of hosts; ids 1 and 2 are seeds. */

/** A host and the events that it reported. */
struct group_host {
	struct fake_net *net;		     /**< Network of the host. */
	uint32_t id;			     /**< Host id, from 1. */
	bool is_up;			     /**< Started and not killed. */
	uint64_t incarnation;		     /**< Increased at each start. */
	struct membership membership;	     /**< Module under test. */
	struct upstream_directory directory; /**< Module under test. */
	unsigned int suspicions;	     /**< Hosts reported suspected. */
	unsigned int deaths;		     /**< Hosts reported dead. */
	/** How often this host learned that others had declared it dead. */
	unsigned int declared_dead;
	/** Upstreams reported as announced and as gone. */
	unsigned int announced, gone;
	unsigned int load_reports; /**< Load reports received. */
};

/** The hosts and their network. */
struct host_group {
	struct fake_net net;		      /**< Network of the hosts. */
	struct group_host hosts[GROUP_HOSTS]; /**< Indexed by host id - 1. */
};

extern const struct fake_link
    group_good_link; /**< Delays up to 5 ms, no faults. */
extern const struct fake_link
    group_bad_link; /**< Delays up to 200 ms, loses and repeats messages. */

/** Starts all hosts, of which each states its id as the level of its build;
 * random faults follow from @p seed. */
void host_group_start(
    struct host_group *group, uint64_t seed, const struct fake_link *link);
/** Stops all hosts and frees their memory. */
void host_group_stop(struct host_group *group);
/** Advances virtual time and runs the main loops of the hosts. */
void host_group_run(struct host_group *group, int64_t duration_ms);
/** Starts a host under a new incarnation. */
void host_group_start_host(struct host_group *group, uint32_t id);
/** Kills a host; a host that is down is no error. */
void host_group_kill_host(struct host_group *group, uint32_t id);
/** True if the host is up and not frozen. */
bool host_group_is_running(const struct host_group *group, uint32_t id);
/** Starts or ends one fault that @p random chooses. */
void host_group_inject_fault(
    struct host_group *group, struct random_source *random);
/** Ends all faults and starts the killed hosts. */
void host_group_heal(struct host_group *group);
/** True if every host that is up regards exactly the hosts up as alive. */
bool host_group_agrees(const struct host_group *group);

#endif
