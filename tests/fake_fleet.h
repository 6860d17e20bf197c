/**
 * @file fake_fleet.h
 * Hosts with capacity exchanges, upstreams that count what runs on them, and
 * the committed set of live hosts, in virtual time, for tests and benches of
 * capacity.
 */
#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include "coordination/capacity_exchange.h"
#include "fake_net.h"

#define FLEET_HOSTS_MAX	    12 /**< Hosts of a fleet. */
#define FLEET_UPSTREAMS_MAX 8  /**< Upstreams of a fleet. */

/** A request that runs on an upstream. */
struct fleet_run {
	uint32_t upstream;	       /**< Which upstream. */
	uint64_t incarnation;	       /**< Which of its lives. */
	uint32_t host;		       /**< Who gave it. */
	uint64_t instance;	       /**< Which process of it. */
	struct capacity_slot *slot;    /**< Where it was taken. */
	struct capacity_amount amount; /**< How much. */
	int64_t ends_ms;	       /**< Net time. */
	bool has_ended;		       /**< Upstream's end; host may sleep. */
};

/** A host. */
struct fleet_host {
	struct fleet *fleet;		   /**< Where it is. */
	uint32_t id;			   /**< From 1. */
	uint64_t instance;		   /**< Of the running process. */
	struct capacity_exchange exchange; /**< Its part. */
	uint64_t epoch;			   /**< That it applied. */
	int64_t lease_end_ms; /**< Net time, as the leader knows. */
	int64_t gone_ms;      /**< Net time of the last removal, else 0. */
	int64_t restarted_ms; /**< Net time of the last restart, else 0. */
	bool is_cut;	      /**< From the leader. */
	int64_t waits_since_ms[FLEET_UPSTREAMS_MAX];	     /**< 0 for none. */
	struct capacity_amount waiting[FLEET_UPSTREAMS_MAX]; /**< For what. */
};

/** A committed set. */
struct fleet_set {
	uint32_t count;			 /**< Hosts in it. */
	uint32_t hosts[FLEET_HOSTS_MAX]; /**< Their ids. */
};

/** An upstream. */
struct fleet_upstream {
	struct upstream_record record;	/**< As announced. */
	bool is_taken_out;		/**< By operators. */
	struct capacity_amount running; /**< Of this incarnation. */
	struct capacity_amount most;	/**< Most that ever ran. */
};

/** The fleet. */
struct fleet {
	struct fake_net net;			  /**< Between hosts. */
	struct random_source random;		  /**< Load and faults. */
	uint32_t host_count;			  /**< Hosts. */
	uint32_t upstream_count;		  /**< Upstreams. */
	struct fleet_host hosts[FLEET_HOSTS_MAX]; /**< By id minus one. */
	struct fleet_upstream upstreams[FLEET_UPSTREAMS_MAX]; /**< All. */
	GArray *sets;		 /**< struct fleet_set, by epoch. */
	GArray *runs;		 /**< struct fleet_run. */
	bool is_warming;	 /**< Answers count as in time. */
	double skip;		 /**< Share of epochs skipped. */
	uint32_t load_percent;	 /**< Chance of a try in a step. */
	int64_t run_most_ms;	 /**< Longest request. */
	uint64_t served;	 /**< Requests that began. */
	uint64_t refused;	 /**< Tries that found no grant. */
	int64_t longest_wait_ms; /**< For a grant, since reset. */
	uint64_t violations;	 /**< Times a limit was passed. */
};

#define FLEET_STEP_MS	    10	 /**< Load and checks. */
#define FLEET_LEASE_MS	    2000 /**< Configuration lease. */
#define FLEET_GRANT_MS	    1500 /**< Grant. */
#define FLEET_GONE_DRAIN_MS 700	 /**< Engines cancel for lost hosts. */
#define FLEET_DRAIN_MS	    8000 /**< Longest request and more. */

/** Starts all hosts; upstreams are announced everywhere. */
void fake_fleet_init(
    struct fleet *fleet, uint32_t hosts, uint32_t upstreams, uint64_t seed);
/** Gives back memory. */
void fake_fleet_finish(struct fleet *fleet);
/** Runs load, leader and links for a time, and checks the limits. */
void fake_fleet_run(struct fleet *fleet, int64_t duration_ms);
/** Kills a host's process. */
void fake_fleet_kill(struct fleet *fleet, uint32_t id);
/** Starts a host's process again. */
void fake_fleet_restart(struct fleet *fleet, uint32_t id);
/** Restarts an upstream: cold, and all that ran on it is lost. */
void fake_fleet_restart_upstream(struct fleet *fleet, uint32_t upstream);
/** Announces an upstream's state to one host. */
void fake_fleet_announce(struct fleet *fleet, uint32_t upstream, uint32_t id);
/** Starts and thaws every host, heals links, tells all what is. */
void fake_fleet_mend(struct fleet *fleet);

#endif
