/**
 * @file host.h
 * One host: all parts tied together around one coordination thread.
 *
 * The coordination thread steps the decision modules and alone touches them;
 * request threads reach them through the mailbox, read the fleet's views, and
 * take capacity by atomics. The files host_*.c each hold one side of the
 * wiring: host.c the life cycle and the loop, host_agreement.c replicated
 * state, feed and leases, host_fleet.c upstreams, grants and the fleet,
 * host_demand.c what is asked of capacity owners, host_suspects.c crashes,
 * host_groups.c and host_orders.c what their names say.
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
#include "coordination/quarantine.h"
#include "coordination/retry.h"
#include "coordination/router.h"
#include "coordination/upstream_directory.h"
#include "service/control_worker.h"
#include "service/host_groups.h"
#include "service/host_orders.h"
#include "service/mailbox.h"
#include "service/request_metrics.h"
#include "service/settings.h"
#include "service/wait_line.h"
#include "state/disk.h"
#include "state/replicated_state.h"
#include "transport/peer_link.h"
#include "transport/span_log.h"
#include "transport/timer.h"
#include "transport/upstream_http.h"

/** Called on the coordination thread when a document or the configuration
 * has changed; may be empty. */
struct document_watch {
	const char *name; /**< Which document. */
	void (*changed)(void *context, const struct document *document);
	void *context; /**< Passed back. */
};

/** Called on the coordination thread when another entry host reports its
 * work; may be empty. */
struct work_watch {
	void (*received)(
	    void *context, uint32_t from_host, const void *body, size_t size);
	void *context; /**< Passed back. */
};

/** A command whose caller waits until it is in force. */
struct host_pending {
	struct mailbox_call *call; /**< Kept call to complete. */
	uint64_t sequence;	   /**< Must be in force everywhere. */
	bool *is_in_force;	   /**< In the call's body; set if it is. */
	int64_t until_ms;	   /**< When the wait is given up. */
};

/** The host. */
struct host {
	struct settings settings;    /**< As loaded. */
	uint64_t incarnation;	     /**< Of this process; grows. */
	struct random_source random; /**< Seeds of the parts. */
	struct timer_service timers; /**< Of the coordination thread. */
	struct mailbox mailbox;	     /**< Calls from request threads. */
	pthread_t thread;	     /**< The coordination thread. */

	struct peer_links links;      /**< To the other hosts. */
	struct membership membership; /**< Who they are. */

	struct disk_folder folder;	       /**< Data folder. */
	struct consensus consensus;	       /**< Of a host with a disk. */
	struct replicated_state voter_state;   /**< Fed by consensus. */
	struct replicated_state learner_state; /**< Fed by the feed. */
	GByteArray *apply_result;	       /**< Bytes of the last result. */
	struct command_client commands; /**< Brings commands to the leader. */
	struct config_feed feed;	/**< Configuration and lease. */
	uint64_t published_sequence;	/**< What the fleet's intent shows. */
	GArray *pending;		/**< struct host_pending. */
	struct live_hosts live_hosts;	/**< Leader's plan. */
	uint64_t plan_number;		/**< Names plans apart. */
	struct document_watch watch;	/**< Who reads a document, if any. */
	struct work_watch work;		/**< Who reads reports, if any. */
	_Atomic int64_t override_until_ms; /**< Serves unconfirmed till then. */

	struct upstream_directory directory; /**< Upstreams by gossip. */
	struct capacity_exchange capacity;   /**< Grants, both sides. */
	GHashTable *wanted;		     /**< Upstreams with demand. */
	GHashTable *crashes;	    /**< Upstreams that broke off just now. */
	struct host_groups groups;  /**< Prompts over several upstreams. */
	struct order_runner orders; /**< Orders to engines, while leading. */
	_Atomic int64_t lead_until_ms; /**< Orders may be given till then. */
	struct control_worker control; /**< Calls that wait for upstreams. */
	struct fleet fleet;	       /**< What request threads see. */

	struct prefix_index prefixes;	     /**< Prefix affinity. */
	struct router_mix mix;		     /**< Share of long prompts. */
	struct wait_line line;		     /**< Requests that wait. */
	struct retry_settings retry;	     /**< Filled. */
	struct retry_budget retry_budget;    /**< Of this host. */
	struct upstream_http upstreams_http; /**< Calls to upstreams. */
	struct span_log spans;		     /**< Traces. */
	struct request_metrics metrics;	     /**< Counters. */
	uint64_t fingerprint_key;	  /**< Keys fingerprints, fleet-wide. */
	_Atomic uint64_t next_request_id; /**< Counts up from a base. */

	/* Counts and flags */
	_Atomic uint32_t suspects;    /**< Known to the quarantine. */
	_Atomic uint32_t group_runs;  /**< Threads of group_run.c. */
	struct quarantine quarantine; /**< Requests that crash. */
	_Atomic uint32_t running;     /**< Requests under way. */
	_Atomic uint32_t entry_hosts; /**< Live ones that take requests. */
	_Atomic bool is_stopping;     /**< Ends the loop. */
	_Atomic bool is_draining;     /**< Takes no new requests. */
	bool has_disk;		      /**< consensus and folder are set. */
	bool is_agreement_ready;      /**< The feed may be called. */
	bool is_planning;	      /**< A plan is being committed. */
	uint32_t voter_gone_id;	      /**< Voter that seems gone, 0 for none. */
	int64_t voter_gone_ms;	      /**< Since when it does. */
};

/* Life cycle (host.c) */

/** Prepares all parts and starts the coordination thread; the watches may be
 * NULL. Errors: of the parts; nothing is left behind then. */
enum error_code host_init(struct host *host, const struct settings *settings,
    const struct document_watch *watch, const struct work_watch *work);
/** Planned stop, first half: no new requests; others are told. */
void host_drain(struct host *host);
/** Planned stop, second half, once no request runs: hands over leadership
 * and grants, and stops the coordination thread. */
void host_finish(struct host *host);
/** Monotonic milliseconds, as the parts take them. */
int64_t host_now_ms(void);
/** An id for a request, unique among hosts. */
uint64_t host_new_request_id(struct host *host);
/** True if new work may begin here. */
bool host_may_start(struct host *host);

/* Agreement (host_agreement.c), on the coordination thread */

/** Starts state, consensus, command client and feed. */
enum error_code host_agreement_init(struct host *host);
/** Ends them. */
void host_agreement_finish(struct host *host);
/** After each turn of the loop: publishes what changed. */
void host_agreement_step(struct host *host);
/** Milliseconds that the configuration lease, or the override, has left. */
int64_t host_lease_remaining(struct host *host, int64_t now_ms);
/** The state that counts here: the voter's or the learner's. */
struct replicated_state *host_state(struct host *host);
/** Keeps a call until a sequence is in force, or its time is up; the call is
 * then completed without an error. */
void host_await_in_force(struct host *host, struct host_pending pending);

/* Fleet (host_fleet.c), on the coordination thread */

/** Starts directory, owner map, grants, quarantine and fleet. */
enum error_code host_fleet_init(struct host *host);
/** Ends them. */
void host_fleet_finish(struct host *host);
/** The intent or the live hosts changed. */
void host_fleet_intent_changed(struct host *host);
/** The configuration lease now runs until @p until_ms. */
void host_fleet_set_lease(struct host *host, int64_t until_ms);
/** Publishes a view if anything changed. */
void host_fleet_step(struct host *host);

/* Demand (host_demand.c), on the coordination thread */

/** Starts to ask owners for what waiting requests want. */
void host_demand_init(struct host *host);
/** Ends it. */
void host_demand_finish(struct host *host);

/* Requests that crash upstreams (host_suspects.c), on the coordination thread */

/** Starts with nobody suspected. */
enum error_code host_suspects_init(struct host *host);
/** Ends it. */
void host_suspects_finish(struct host *host);
/** Takes over what was committed. */
void host_suspects_apply(struct host *host);
/** One of this host's requests was on board of an upstream that broke off;
 * those of one upstream are gathered and weighed together. */
void host_suspects_note_crash(struct host *host, uint64_t upstream_id,
    uint64_t incarnation, const char *data_centre, uint64_t fingerprint);

#endif
