/**
 * @file relay.h
 * Takes callers' HTTP requests and relays them to upstreams, byte for byte.
 *
 * One thread runs a libuv loop with all connections; ulfius, which serves
 * operators and upstreams, can't notice a caller that leaves while its
 * request waits, nor pass bytes on unchanged (docs/PLATFORM.md). The files:
 * relay.c the loop, listeners and tables, relay_caller.c connections of
 * callers, relay_exchange.c the life of one request, relay_answer.c what is
 * said to the caller, relay_events.c streams of events.
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
#include "coordination/placement.h"
#include "coordination/retry_window.h"
#include "service/host.h"
#include "state/route_table.h"
#include "transport/timer.h"
#include "transport/upstream_pool.h"

/** Header names and paths of whoever the relay serves. */
struct relay_dialect {
	const char *attempt_id;	  /**< Names an attempt of a caller. */
	const char *deadline;	  /**< Milliseconds that the sender waits. */
	const char *account_key;  /**< Secret of a caller. */
	const char *account;	  /**< Account name, for upstreams. */
	const char *target;	  /**< Upstream that is meant, for upstreams. */
	const char *refusal;	  /**< In answers: it did not run. */
	const char *receipt;	  /**< In answers: proves whose they are. */
	const char *token_counts; /**< "prompt,answer" in tokens. */
	const char *helpers;	  /**< Places of engines that help to read. */
	const char *priority;	  /**< Rank at an engine, 0 is first. */
	const char *resume_after; /**< Id of the last event received. */
	const char *fault_at;	  /**< In answers: which engine is at fault. */
	const char *order_path;	  /**< Of an engine, for orders. */
	/** Body of an order to reserve memory; free with g_free(). */
	char *(*reserve_text)(const char *id, uint64_t tokens, int64_t hold_ms);
	/** Body of an order to release it; free with g_free(). */
	char *(*release_text)(const char *id);
	const char *ready_path;	  /**< Asked by the load balancer. */
	const char *metrics_path; /**< Asked by monitoring. */
};

/** An IP number and a port to listen at. */
struct relay_address {
	char ip[SETTINGS_ADDRESS_SIZE]; /**< IP number. */
	uint16_t port;			/**< TCP port. */
};

/** Settings. */
struct relay_settings {
	struct relay_address entry;	/**< For callers. */
	struct relay_address readiness; /**< For the load balancer. */
	uint32_t connections_max;	/**< Callers at a time. */
	double retry_ratio;		/**< Retries per request, fleet-wide. */
	uint32_t retry_slack;		/**< Retries besides, fleet-wide. */
	int64_t retry_window_ms;	/**< Window of both. */
	int64_t stop_accept_ms; /**< A planned stop refuses requests that come
				     later than that after its begin. */
	struct placement_settings placement; /**< See there. */
	struct relay_dialect dialect;	     /**< Names on the wire. */
};

/** Counters; any thread may read them. */
struct relay_counters {
	_Atomic uint64_t requests; /**< Requests that were read whole. */
	_Atomic uint64_t answered; /**< Upstreams' answers passed on. */
	_Atomic uint64_t refused;  /**< Own answers: not run. */
	_Atomic uint64_t denied;   /**< Own answers: not allowed, not found. */
	_Atomic uint64_t failed;   /**< Own answers: failed or too late. */
	_Atomic uint64_t broken;   /**< Answers broken off midway. */
	_Atomic uint64_t left;	   /**< Callers that left before the end. */
	_Atomic uint64_t retries;  /**< Attempts after the first. */
	_Atomic uint64_t resumes;  /**< Streams that went on elsewhere. */
	struct metric_series *first_event_ms; /**< Time to the first event. */
	struct metric_series *whole_ms;	      /**< Time to a whole answer. */
	struct metric_series *turn_ms; /**< Wait for a long prompt's turn. */
};

/** The relay. */
struct relay {
	struct relay_settings settings; /**< As given. */
	struct host *host;		/**< Fleet's views, commands. */
	pthread_t thread;		/**< Runs the loop. */
	uv_loop_t loop;			/**< All connections. */
	uv_tcp_t entry_listener;	/**< Callers. */
	uv_tcp_t ready_listener;	/**< Load balancer. */
	uv_async_t wake;		/**< From other threads. */
	uv_prepare_t prepare;		/**< Sets the tick. */
	uv_timer_t tick;		/**< Advances the timers. */
	struct timer_service timers;	/**< Of the loop's thread. */
	struct upstream_pool pool;	/**< Connections to upstreams. */
	struct placement placement;	/**< Where requests go. */
	struct random_source random;	/**< Weighted picks. */
	GHashTable *callers;		/**< Set of struct relay_caller. */
	GHashTable *releases;		/**< Set of memory to be released. */
	GHashTable *budgets;		/**< Service to struct retry_window. */
	struct route_table *table;	/**< In force on this host. */
	uint64_t view_version;		/**< Of the fleet's view taken. */
	uint32_t running;		/**< Requests under way. */
	struct handle report_timer;	/**< Until the next report of work. */
	pthread_mutex_t inbox_mutex;	/**< Guards the inbox. */
	GPtrArray *inbox;		/**< Reports of other hosts. */
	struct relay_counters counters; /**< See there. */
	struct metrics_registry registry;	  /**< Of the histograms. */
	_Atomic(struct route_table *) next_table; /**< To be taken over. */
	_Atomic bool is_draining;		  /**< Ends as planned. */
	_Atomic bool is_stopping;		  /**< Closes everything. */
	_Atomic bool is_idle;  /**< Draining, and nothing runs. */
	_Atomic bool is_ready; /**< As told to the balancer. */
	int64_t stop_begun_ms; /**< Of a planned stop, 0 for none. */
	bool has_closed;       /**< Listeners and callers are closed. */
};

/* Life */

/** Prepares a relay, which takes tables from now on; @p host need not be
 * ready yet. Errors: ERROR_NO_MEMORY. */
enum error_code relay_init(struct relay *relay,
    const struct relay_settings *settings, struct host *host, uint64_t seed);
/** Listens and starts the thread. Errors: ERROR_IO, ERROR_NO_MEMORY. */
enum error_code relay_start(struct relay *relay);
/** Planned stop, first half: readiness goes, answers close connections. */
void relay_drain(struct relay *relay);
/** True once nothing runs any more after relay_drain(). */
bool relay_is_idle(const struct relay *relay);
/** Closes everything and ends the thread; the host may still bring news. */
void relay_stop(struct relay *relay);
/** Gives back memory, after relay_stop() and the end of the host. */
void relay_finish(struct relay *relay);

/* Any thread */

/** Puts a new table in force; takes over the reference. An older version
 * than the one held is dropped. */
void relay_set_table(struct relay *relay, struct route_table *table);
/** Takes another entry host's report of its work. */
void relay_take_report(
    struct relay *relay, uint32_t from_host, const void *body, size_t size);

#endif
