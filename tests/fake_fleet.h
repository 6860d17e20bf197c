/**
 * @file fake_fleet.h
 * Simulates hosts that exchange capacity grants, for tests in virtual time.
 * Upstreams count the requests that run on them, and a simulated leader
 * commits the set of live hosts.
 */
#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include "coordination/capacity_exchange.h"
#include "fake_net.h"

#define FLEET_HOSTS_MAX	    12 /**< Most hosts in a fleet. */
#define FLEET_UPSTREAMS_MAX 8  /**< Most upstreams in a fleet. */

/** A request that runs on an upstream. */
struct fleet_request {
	uint32_t upstream;    /**< Index of the upstream. */
	uint64_t incarnation; /**< Incarnation of the upstream. */
	uint32_t host;	      /**< Id of the host that sent the request. */
	uint64_t instance;    /**< Process number of that host. */
	/** Slot that capacity was acquired from, NULL once its host is gone. */
	struct capacity_slot *slot;
	struct capacity_amount amount; /**< Capacity acquired. */
	int64_t end_ms;		       /**< Net time at which it ends. */
	/** The request has ended on the upstream. Its host may be frozen and
	 * not know that yet. */
	bool has_ended;
};

/** A host of the fleet. */
struct fleet_host {
	struct fleet *fleet; /**< Fleet that the host belongs to. */
	uint32_t id;	     /**< Host id, from 1. */
	uint64_t instance;   /**< Process number, increased at each start. */
	struct capacity_exchange exchange; /**< Module under test. */
	uint64_t epoch; /**< Last epoch of the host set that it applied. */
	/** Net time at which its configuration lease ends for the leader. */
	int64_t lease_end_ms;
	/** Net time of its last removal from the host set, 0 for none. */
	int64_t removed_ms;
	/** Net time of its last restart, 0 for none. */
	int64_t restarted_ms;
	/** The leader cannot renew its lease. */
	bool is_cut_from_leader;
	/** Net time since which a request waits for an upstream, 0 for none. */
	int64_t waiting_since_ms[FLEET_UPSTREAMS_MAX];
	/** Capacity that the waiting request needs. */
	struct capacity_amount waiting_amount[FLEET_UPSTREAMS_MAX];
};

/** The set of live hosts that was committed under one epoch. */
struct fleet_host_set {
	uint32_t count;			 /**< Number of hosts. */
	uint32_t hosts[FLEET_HOSTS_MAX]; /**< Host ids. */
};

/** An upstream of the fleet. */
struct fleet_upstream {
	struct upstream_record record; /**< Record as announced to hosts. */
	bool is_taken_out;	       /**< Taken out of service. */
	/** Capacity that requests use on the current incarnation. */
	struct capacity_amount running;
	struct capacity_amount peak; /**< Maximum used at any time. */
};

/** The simulated fleet. */
struct fleet {
	struct fake_net net;	     /**< Network between the hosts. */
	struct random_source random; /**< Source of load and faults. */
	uint32_t host_count;	     /**< Hosts in use. */
	uint32_t upstream_count;     /**< Upstreams in use. */
	struct fleet_host hosts[FLEET_HOSTS_MAX]; /**< By host id - 1. */
	/** Upstreams; requests name them by their index here. */
	struct fleet_upstream upstreams[FLEET_UPSTREAMS_MAX];
	/** Committed struct fleet_host_set; the first is that of epoch 1. */
	GArray *host_sets;
	/** struct fleet_request that run or whose end is not yet reported. */
	GArray *requests;
	/** Answers are recorded as in time, so that upstreams warm up. */
	bool is_warming;
	/** Share of epochs that a host skips, as after loading a snapshot. */
	double skipped_epoch_share;
	/** Chance in per cent that a host tries a request in a step. */
	uint32_t load_percent;
	int64_t request_max_ms; /**< Longest duration of a request. */
	uint64_t started;	/**< Requests that began to run. */
	uint64_t refused;	/**< Attempts that found no grant. */
	/** Longest wait of a request for capacity since tests reset it. */
	int64_t longest_wait_ms;
	uint64_t limit_violations; /**< Checks that found a limit exceeded. */
};

#define FLEET_STEP_MS	      10   /**< Time between load and limit checks. */
#define FLEET_LEASE_MS	      2000 /**< Duration of a configuration lease. */
#define FLEET_GRANT_MS	      1500 /**< Duration of a grant. */
#define FLEET_ORPHAN_DRAIN_MS 700  /**< Time until orphans are cancelled. */
#define FLEET_REQUEST_MAX_MS  8000 /**< No request runs for longer. */

/** Starts all hosts and announces all upstreams to every host. */
void fake_fleet_init(
    struct fleet *fleet, uint32_t hosts, uint32_t upstreams, uint64_t seed);
/** Stops all hosts and frees their memory. */
void fake_fleet_finish(struct fleet *fleet);
/** Runs hosts, leader, load and limit checks for @p duration_ms. */
void fake_fleet_run(struct fleet *fleet, int64_t duration_ms);
/** Kills the process of a host; a host that is down is no error. */
void fake_fleet_kill(struct fleet *fleet, uint32_t id);
/** Kills the process of a host if it runs, and starts a new one. */
void fake_fleet_restart(struct fleet *fleet, uint32_t id);
/** Restarts an upstream; it is cold then and its requests are lost. */
void fake_fleet_restart_upstream(struct fleet *fleet, uint32_t upstream);
/** Announces the record of an upstream to a host, if the host runs. */
void fake_fleet_announce(struct fleet *fleet, uint32_t upstream, uint32_t id);
/**
 * Ends all faults: starts and thaws every host, heals links, puts upstreams
 * back into service and announces them to every host.
 */
void fake_fleet_heal(struct fleet *fleet);

#endif
