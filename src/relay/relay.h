/**
 * @file relay.h
 * Reverse proxy: relays HTTP requests of callers to upstreams, byte for byte.
 *
 * One thread runs a libuv loop with all connections. The HTTP server library
 * ulfius, which serves operators and upstreams, is not used here: it can't
 * detect that a caller disconnects while its request is queued, nor pass bytes
 * on unchanged (docs/PLATFORM.md). The source files:
 * - relay.c: event loop, listeners, updates of route table and fleet view
 * - relay_caller.c: connections of callers
 * - relay_exchange.c: one request from its arrival to the end of its answer
 * - relay_attempt.c: sending the request to one upstream, and retries
 * - relay_head.c: what the head of an upstream's answer says
 * - relay_forward.c: requests that one host forwards to another
 * - relay_path.c: tests whether this host reaches the upstreams
 * - relay_silence.c: detection of upstreams that make no progress
 * - relay_crash.c: requests that crash upstreams
 * - relay_hold.c: memory reservations at helpers
 * - relay_answer.c: bytes written to callers and upstreams
 * - relay_events.c: parsing of event streams
 * - relay_metrics.c, relay_trace.c: metrics and log events
 */
#ifndef RELAY_H
#define RELAY_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "base/error_code.h"
#include "base/metrics.h"
#include "base/random_source.h"
#include "placement/placement.h"
#include "coordination/retry_window.h"
#include "coordination/upstream_path.h"
#include "host/host.h"
#include "state/route_table.h"
#include "transport/timer.h"
#include "transport/upstream_pool.h"

/** Header names, paths and order bodies of the HTTP interface to callers and
 * upstreams. */
struct relay_dialect {
	const char *attempt_id;	  /**< Header: id of one attempt of a caller. */
	const char *deadline;	  /**< Header: time limit in milliseconds. */
	const char *account_key;  /**< Header: API key of the caller. */
	const char *account;	  /**< Header to upstreams: account name. */
	const char *target;	  /**< Header to upstreams: name of the upstream
				       that the request is meant for. */
	const char *refusal;	  /**< Answer header: the request was not
				       executed. */
	const char *receipt;	  /**< Answer header: seal that proves that an
				       upstream wrote the answer. */
	const char *token_counts; /**< Header: "prompt,answer" token counts. */
	/** Header: the parts of the prompt as "ID:TOKENS", in their order. */
	const char *prompt_parts;
	const char *helpers;  /**< Header to upstreams: addresses of the engines
				  that help to prefill the prompt. */
	const char *priority; /**< Header: priority at an engine, 0 is the
					highest. */
	const char *resume_after; /**< Header: id of the last event received. */
	const char *faulty_engine; /**< Answer header: address of the engine
					that caused a refusal. */
	const char *rate_limit; /**< Answer header: requests a second that the
					upstream takes from all hosts. */
	const char *leaving;	/**< Answer header: the upstream stops soon. */
	const char *order_path; /**< Path at an engine that takes orders. */
	/** Returns the body of an order to reserve memory for @p tokens during
	 * @p hold_ms; free it with g_free(). */
	char *(*reserve_order)(
	    const char *id, uint64_t tokens, int64_t hold_ms);
	/** Returns the body of an order to release a reservation; free it with
	 * g_free(). */
	char *(*release_order)(const char *id);
	const char *ready_path;	  /**< Readiness path for the load balancer. */
	const char *metrics_path; /**< Metrics path for monitoring. */
};

/** An IP address and a port to listen on. */
struct relay_address {
	char ip[SETTINGS_ADDRESS_SIZE]; /**< IPv4 address as text. */
	uint16_t port;			/**< TCP port. */
};

/** Settings of the relay. */
struct relay_settings {
	struct relay_address entry; /**< Listening address for callers. */
	/** Listening address for requests that other hosts forward; port 0 to
	 * take none. */
	struct relay_address forwarded;
	struct relay_address readiness; /**< Listening address for the load
					     balancer and monitoring. */
	uint32_t connections_max;	/**< Largest number of connections. */
	double retry_ratio;   /**< Retries allowed per request, fleet-wide. */
	uint32_t retry_slack; /**< Retries allowed per window in addition to
				      the ratio, fleet-wide. */
	int64_t retry_window_ms; /**< Window over which both are counted. */
	int64_t stop_accept_ms;	 /**< Time after the start of a planned stop
				      from which new requests are refused. */
	int64_t stop_finish_ms;	 /**< Time after the start of a planned stop at
				      which requests without an answer end. */
	struct placement_settings placement; /**< Settings of placement. */
	struct relay_dialect dialect;	     /**< Names used on the wire. */
};

/** Counters and histograms; any thread may read them. */
struct relay_counters {
	_Atomic uint64_t requests; /**< Requests received completely. */
	_Atomic uint64_t answered; /**< Complete answers of upstreams relayed to
					callers. */
	_Atomic uint64_t refused;  /**< Requests refused by the relay and not
					run by any upstream. */
	_Atomic uint64_t denied;   /**< Requests denied by the relay: malformed,
					unknown route or unknown key. */
	_Atomic uint64_t failed;   /**< Requests that may have run but failed or
					timed out, answered by the relay. */
	_Atomic uint64_t broken;   /**< Answers cut off after their start. */
	_Atomic uint64_t callers_left; /**< Requests whose caller disconnected
					    before the end of the answer. */
	_Atomic uint64_t retries; /**< Attempts after a request's first one. */
	_Atomic uint64_t resumes; /**< Attempts to continue a started event
				       stream at another upstream. */
	_Atomic uint64_t forwarded; /**< Attempts that were forwarded to another
					 host. */
	_Atomic uint64_t forwards_taken; /**< Requests that other hosts
					      forwarded to this one. */
	_Atomic uint64_t held_bytes;   /**< Bytes of answers held until they are
					  whole. */
	_Atomic uint64_t queued_bytes; /**< Bytes of answers queued for callers
					    that read slowly, counted while
					    one of them has many. */
	struct metric_series *first_event_ms; /**< Time to the first event. */
	struct metric_series *answer_ms; /**< Time to the end of an answer. */
	struct metric_series *turn_ms;	 /**< Time that a long prompt was
					      queued. */
};

/** State of the relay, owned by the loop's thread. Other threads use only the
 * atomic fields, wake, and received_reports under its mutex. */
struct relay {
	struct relay_settings settings; /**< Settings given to relay_init(). */
	struct host *host;	 /**< Source of fleet views; sends reports. */
	pthread_t thread;	 /**< Thread that runs the loop. */
	uv_loop_t loop;		 /**< Event loop of all connections. */
	uv_tcp_t entry_listener; /**< Accepts connections of callers. */
	/** Accepts connections of other hosts. */
	uv_tcp_t forwarded_listener;
	uv_tcp_t ready_listener; /**< Accepts connections of the load balancer
				      and monitoring. */
	uv_async_t wake;	 /**< Wakes the loop from other threads. */
	uv_prepare_t prepare;	 /**< Sets the tick before the loop waits. */
	uv_timer_t tick;	 /**< Fires when the next timer is due. */
	struct timer_service timers;  /**< Timers of the loop's thread. */
	struct upstream_pool pool;    /**< Connections to upstreams. */
	struct placement placement;   /**< Chooses upstreams for requests. */
	struct upstream_path path;    /**< Whether upstreams are reached. */
	struct handle path_timer;     /**< Next test of the path. */
	GHashTable *probes;	      /**< Set of struct relay_probe. */
	struct random_source random;  /**< Random numbers for weighted choices,
					  Retry-After and reservation ids. */
	GHashTable *callers;	      /**< Set of open struct relay_caller. */
	GHashTable *pending_releases; /**< Set of struct hold whose memory is
					   being released. */
	GHashTable *crash_checks;     /**< Upstream id to struct crash_check. */
	GHashTable *retry_budgets; /**< Service name to struct retry_window. */
	struct route_table *table; /**< Route table in force, or NULL. */
	uint64_t view_version;	   /**< Version of the fleet view applied. */
	uint32_t running_requests; /**< Number of requests in progress. */
	size_t held_bytes; /**< Bytes of answers held until they are whole. */
	int64_t queued_counted_ms; /**< When the bytes queued for callers were
					counted last. */
	int64_t reported_ms; /**< When the last work report was written. */
	struct handle report_timer; /**< Timer of the next work report, set if
					 one is scheduled. */
	pthread_mutex_t received_reports_mutex; /**< Protects
						     received_reports. */
	GPtrArray *received_reports;	  /**< Work reports of other hosts, not
					       applied yet. */
	struct relay_counters counters;	  /**< Counters and histograms. */
	struct metrics_registry registry; /**< Registry of the histograms. */
	_Atomic(struct route_table *) next_table; /**< Newest table, not applied
						       yet; or NULL. */
	_Atomic bool is_draining; /**< True once a planned stop has begun. */
	_Atomic bool is_stopping; /**< True once all connections must close. */
	_Atomic bool is_idle;	  /**< True if draining, no connection of a
				    caller is left and none is accepted. */
	_Atomic bool is_ready;	  /**< Readiness shown to the load balancer. */
	int64_t drain_started_ms; /**< Start of the planned stop, or 0. */
	bool has_closed; /**< True once the connections of all callers were
			      reset. */
};

/* Starting and stopping */

/** Initialises a relay. From then on it accepts route tables; @p host need
 * not be ready yet. @p seed makes its random choices repeatable. Errors:
 * ERROR_NO_MEMORY. */
enum error_code relay_init(struct relay *relay,
    const struct relay_settings *settings, struct host *host, uint64_t seed);
/** Starts listening and starts the loop's thread. Errors: ERROR_IO if an
 * address can't be listened on, ERROR_NO_MEMORY. */
enum error_code relay_start(struct relay *relay);
/** Begins a planned stop: the host reports that it is not ready, and each
 * connection is closed after its current answer. */
void relay_drain(struct relay *relay);
/** Returns true once no request or connection is left after relay_drain(), and
 * none is accepted any more. */
bool relay_is_idle(const struct relay *relay);
/** Closes all connections and ends the loop's thread. The host may still pass
 * tables and reports to the relay until relay_finish(). */
void relay_stop(struct relay *relay);
/** Frees the relay's resources. Call it after relay_stop() and after the host
 * has ended. */
void relay_finish(struct relay *relay);

/* Callable from any thread */

/** Passes a new route table to the relay, which takes ownership of the
 * reference. A table that is not newer than the one in force is ignored. */
void relay_set_table(struct relay *relay, struct route_table *table);
/** Queues a copy of another entry host's work report, sent @p age_ms ago, to
 * be applied by the loop's thread. */
void relay_receive_report(struct relay *relay, uint32_t from_host,
    const void *body, size_t size, int64_t age_ms);

#endif
