/**
 * @file host.h
 * One host of the fleet: owns all its modules and runs them on one
 * coordination thread.
 *
 * The coordination thread runs the modules that make decisions, and only this
 * thread may call them. Request threads send calls to it through the mailbox,
 * read the published views of the fleet, and take capacity with atomic
 * operations. The host is split over several files:
 * - host.c: start, stop and the main loop;
 * - host_agreement.c: consensus, replicated state, configuration feed and
 *   leases;
 * - host_fleet.c: upstreams, grants and the fleet's views;
 * - host_demand.c: the demand that is reported to capacity owners;
 * - host_suspects.c: requests that crash upstreams;
 * - host_groups.c: long prompts that several upstreams share;
 * - host_orders.c: orders to engines;
 * - host_voters.c: automatic changes of the voter set.
 */
#ifndef HOST_H
#define HOST_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "base/random_source.h"
#include "coordination/capacity_exchange.h"
#include "coordination/command_client.h"
#include "coordination/config_feed.h"
#include "coordination/consensus.h"
#include "coordination/fleet_view.h"
#include "coordination/live_hosts.h"
#include "coordination/membership.h"
#include "coordination/prefix_index.h"
#include "coordination/quarantine_view.h"
#include "coordination/report_exchange.h"
#include "coordination/retry.h"
#include "coordination/router.h"
#include "coordination/upstream_directory.h"
#include "coordination/voter_plan.h"
#include "host/control_worker.h"
#include "host/host_groups.h"
#include "host/host_orders.h"
#include "host/host_level.h"
#include "host/mailbox.h"
#include "request/request_metrics.h"
#include "request/wait_line.h"
#include "service/settings.h"
#include "state/disk.h"
#include "state/replicated_state.h"
#include "transport/peer_link.h"
#include "transport/span_log.h"
#include "transport/timer.h"
#include "transport/upstream_http.h"

/** Observer of one replicated document; its callback may be NULL. */
struct document_watch {
	const char *name; /**< Name of the document. */
	/** Called on the coordination thread after each published change of
	 * the replicated state, whether or not this document changed.
	 * @p document is NULL if there is no document of that name. */
	void (*on_changed)(void *context, const struct document *document);
	void *context; /**< First argument of the callback. */
};

/** Receiver of the work reports of other hosts; its callback may be NULL. */
struct work_watch {
	/** Called on the coordination thread for each report received, which
	 * its host sent @p age_ms ago. */
	void (*on_received)(void *context, uint32_t from_host, const void *body,
	    size_t size, int64_t age_ms);
	void *context; /**< First argument of the callback. */
};

/** A committed command whose caller waits until it is in force, which means
 * that every host with a valid configuration lease has applied it. */
struct host_pending_command {
	struct mailbox_call *call; /**< Call to complete; holds a reference. */
	uint64_t sequence;	   /**< Sequence that must be in force. */
	/** Where the result is stored, in the call's body. */
	bool *is_in_force;
	int64_t until_ms; /**< Time at which the wait ends. */
};

/** All modules and state of one host. */
struct host {
	struct settings settings;    /**< Settings as loaded at the start. */
	uint64_t incarnation;	     /**< Start time of the process in us. */
	struct random_source random; /**< Source of the modules' seeds. */
	struct timer_service timers; /**< Timers of the coordination thread. */
	struct mailbox mailbox;	     /**< Calls to the coordination thread. */
	pthread_t thread;	     /**< The coordination thread. */

	struct peer_links links;      /**< Connections to the other hosts. */
	struct membership membership; /**< Known hosts and their states. */

	/* Consensus and replicated state */
	struct disk_folder folder;	       /**< Data folder, if has_disk. */
	struct consensus consensus;	       /**< Initialised if has_disk. */
	struct replicated_state voter_state;   /**< State from consensus. */
	struct replicated_state learner_state; /**< State from the feed. */
	GByteArray *apply_result;	/**< Last result passed to consensus. */
	struct command_client commands; /**< Sends commands to the leader. */
	struct config_feed feed;	/**< Configuration and its lease. */
	uint64_t published_sequence; /**< Sequence that request threads see. */
	/** Configuration revision that request threads see. */
	_Atomic uint64_t published_revision;
	/** Sequence that this build could not apply, logged last. */
	uint64_t unknown_sequence;
	GArray *pending_commands; /**< Elements: struct host_pending_command. */
	struct host_level level;  /**< Level of the replicated state. */
	struct live_hosts live_hosts; /**< Planned live hosts, if leader. */
	uint64_t plan_number; /**< Counts plans, for unique operation ids. */
	struct document_watch document_watch; /**< Observer of a document. */
	struct work_watch work_watch;	      /**< Receiver of work reports. */
	struct report_exchange reports; /**< Work reports, on entry hosts. */
	/** Until this time, an operator's override lets the host serve without
	 * a confirmed configuration. */
	_Atomic int64_t override_until_ms;

	/* Upstreams and capacity */
	struct upstream_directory directory; /**< Upstreams known by gossip. */
	struct capacity_exchange capacity;   /**< Grants as owner and holder. */
	GHashTable *demands; /**< Upstream id to its demand (host_demand.c). */
	GHashTable *crashes; /**< Upstream id to its struct pending_crash. */
	struct host_groups groups;  /**< Prompts that upstreams share. */
	struct order_runner orders; /**< Runs orders while this host leads. */
	/** Time at which the leader's right to send orders ends; 0 if this host
	 * is not the leader. */
	_Atomic int64_t leader_lease_until_ms;
	struct control_worker control; /**< Threads for upstream calls. */
	struct fleet fleet;	       /**< Views for request threads. */

	/* Requests */
	struct prefix_index prefixes; /**< Upstreams with cached prefixes. */
	struct router_mix mix;	      /**< Share of long prompts. */
	struct wait_line wait_line;   /**< Queued requests. */
	struct retry_settings retry;  /**< Default settings of retries. */
	struct retry_budget retry_budget;    /**< Limits this host's retries. */
	struct upstream_http upstreams_http; /**< HTTP client to upstreams. */
	struct span_log spans;		     /**< Writes trace spans. */
	struct request_metrics metrics;	     /**< Counters of requests. */
	/** Key of request fingerprints, the same on all hosts. */
	uint64_t fingerprint_key;
	_Atomic uint64_t next_request_id; /**< Id of the next request. */

	/* Counters and flags */
	_Atomic uint32_t group_threads; /**< Threads that run groups. */
	struct quarantine quarantine;	/**< Suspected and refused requests. */
	/** Parts of prompts that are suspected or refused. */
	struct part_suspects part_suspects;
	/** Time from which a request may try a quarantined part of prompts. */
	_Atomic int64_t next_trial_ms;
	/** Copy of it for request threads. */
	struct quarantine_view quarantine_view;
	_Atomic uint32_t running_requests; /**< Requests in progress. */
	/** Live hosts that accept requests. */
	_Atomic uint32_t entry_host_count;
	/** Number of those with a lower id than this host. */
	_Atomic uint32_t entry_host_rank;
	/** End of the configuration lease; no override extends it. */
	_Atomic int64_t confirmed_until_ms;
	_Atomic bool is_stopping; /**< Ends the main loop. */
	/** When requests without a whole answer end because the host stops, on
	 * the monotonic clock; 0 while it does not. */
	_Atomic int64_t requests_end_ms;
	_Atomic bool is_draining; /**< New requests are not accepted. */
	bool has_disk;		  /**< A data folder is configured. */
	bool is_agreement_ready;  /**< The feed may be called. */
	bool is_plan_pending;	  /**< A plan waits for its commit. */
	uint32_t led_checks; /**< Checks of the voters in a row as leader. */
	struct voter_step voter_step; /**< Voter change started last. */
	/** Host that could not be added as a voter last, or 0. */
	uint32_t failed_joiner_id;
};

/* Start and stop (host.c) */

/** Initialises all modules and starts the coordination thread. @p watch and
 * @p work may be NULL. Errors: those of the modules' init functions. */
enum error_code host_init(struct host *host, const struct settings *settings,
    const struct document_watch *watch, const struct work_watch *work);
/** First half of a planned stop: stops accepting requests and tells the other
 * hosts that this one is draining. */
void host_drain(struct host *host);
/** Second half of a planned stop, to be called when no request is running:
 * hands over leadership, waits for the grants to end, stops the coordination
 * thread and frees all modules. */
void host_finish(struct host *host);
/** Returns the monotonic time in milliseconds that all modules use. */
int64_t host_now_ms(void);
/** Returns the clock of host_now_ms(), for timer services. */
struct timer_clock host_clock(void);
/** Returns a request id that is unique across all hosts. */
uint64_t host_new_request_id(struct host *host);
/** Returns true while the configuration lease or an override lets this host
 * start new work. */
bool host_may_start(struct host *host);
/** Returns the time in milliseconds for which this host still knows that no
 * newer configuration is in force, or 0 if it may be behind. */
int64_t host_confirmed_remaining(const struct host *host);

/* Consensus and configuration (host_agreement.c), on the coordination thread */

/** Starts the replicated state, consensus (if the host has a disk), the command
 * client and the configuration feed. */
enum error_code host_agreement_init(struct host *host);
/** Stops these modules and completes the calls that still wait. */
void host_agreement_finish(struct host *host);
/** Called in every pass of the main loop: publishes new state, completes calls
 * whose commands are in force, and updates the lease. */
void host_agreement_on_loop_pass(struct host *host);
/** Returns the time in milliseconds for which this host may start new work: the
 * rest of the configuration lease or of the override, whichever is longer. */
int64_t host_lease_remaining(struct host *host, int64_t now_ms);
/** Returns the replicated state to read: the one from consensus on a voter, the
 * one from the feed on any other host. */
struct replicated_state *host_state(struct host *host);
/** Completes a call when its sequence is in force everywhere or when the wait
 * ends. Both complete the call without error; is_in_force tells which. */
void host_await_in_force(
    struct host *host, struct host_pending_command pending);

/* Upstreams and grants (host_fleet.c), on the coordination thread */

/** Starts the fleet's views, grants, quarantine, directory and demand. */
enum error_code host_fleet_init(struct host *host);
/** Frees these modules. */
void host_fleet_finish(struct host *host);
/** Applies a change of the configuration or of the live hosts. */
void host_fleet_on_intent_changed(struct host *host);
/** Sets the time until which this host may start new work. */
void host_fleet_set_lease(struct host *host, int64_t until_ms);
/** Publishes a new view to request threads if anything changed. */
void host_fleet_publish(struct host *host);

/* Demand (host_demand.c), on the coordination thread */

/** Starts to report the demand of queued requests to capacity owners. */
void host_demand_init(struct host *host);
/** Frees the table of demands. */
void host_demand_finish(struct host *host);

/* Suspected requests (host_suspects.c), on the coordination thread */

/** Initialises the quarantine of requests and that of parts, both empty. */
enum error_code host_suspects_init(struct host *host);
/** Frees both and the crashes not evaluated yet. */
void host_suspects_finish(struct host *host);
/** Called in every pass of the main loop: publishes changes of both to request
 * threads. */
void host_suspects_on_loop_pass(struct host *host);
/** Applies the committed entries to both. */
void host_suspects_apply(struct host *host);
/** Records that an upstream crashed while it ran a request of this host. All
 * requests that one crash ended are collected and evaluated together.
 * @p key identifies the request. */
void host_suspects_record_crash(struct host *host, uint64_t upstream_id,
    uint64_t incarnation, const char *data_centre,
    const struct request_key *key);

#endif
