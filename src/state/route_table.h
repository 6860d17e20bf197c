/**
 * @file route_table.h
 * Where requests of callers go: routes, services, accounts and limits.
 *
 * A table is built whole from one document, never changes, and is shared by
 * reference count. A route is found by host name and the longest path prefix.
 */
#ifndef ROUTE_TABLE_H
#define ROUTE_TABLE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"

/** What may be repeated. */
enum route_kind {
	ROUTE_KIND_AT_MOST_ONCE = 1, /**< One run at most. */
	ROUTE_KIND_IDEMPOTENT = 2,   /**< May run again after a failure. */
	ROUTE_KIND_STREAM = 3,	     /**< Answers with events; at most once,
					  unless it can be resumed. */
};

/** How fast an engine of a service works, as operators publish it. */
struct engine_speed {
	uint32_t slots;		  /**< Requests in a batch. */
	uint64_t kv_tokens;	  /**< KV memory, in tokens. */
	uint32_t stride;	  /**< Steps of a pass that has writers. */
	uint32_t chunk;		  /**< Prompt tokens read in a step. */
	double step_ms;		  /**< Milliseconds of a step. */
	double request_ms;	  /**< Added for each writer. */
	double context_ms;	  /**< Added per 1,000 tokens of context. */
	double read_tokens_per_s; /**< Prompt tokens read in a second. */
	double pairs_ms;	  /**< Added per million token pairs. */
	double hop_ms;		  /**< A step over several engines. */
};

/** A service: upstreams that can stand in for each other. */
struct route_service {
	char *name;		    /**< As upstreams announce it. */
	double cold_requests_per_s; /**< A cold upstream bears; 0: no bound. */
	bool has_engine;	    /**< engine counts. */
	struct engine_speed engine; /**< Of a model service. */
};

/** A service that a route may use. */
struct route_target {
	const struct route_service *service; /**< Of the same table. */
	uint32_t weight;		     /**< Share of the requests. */
};

/** A route. */
struct route {
	char *name;		      /**< For logs. */
	char *host;		      /**< Host name, lower case. */
	char *prefix;		      /**< Begins and ends with a slash. */
	enum route_kind kind;	      /**< What may be repeated. */
	int64_t timeout_ms;	      /**< Longest time for an answer. */
	int64_t goal_ms;	      /**< Answer, or first event, wanted by. */
	int64_t gap_goal_ms;	      /**< Longest pause wanted, 0: none. */
	uint32_t attempts_max;	      /**< Upstreams for one request. */
	bool is_public;		      /**< Needs no key. */
	bool is_resumable;	      /**< A stream may go on elsewhere. */
	uint32_t target_count;	      /**< Targets below. */
	uint32_t weight_sum;	      /**< Of the targets, not 0. */
	struct route_target *targets; /**< Services. */
};

/** A client account. */
struct route_account {
	char *name; /**< As upstreams see it. */
};

/** What a caller may send, and how long it may take. */
struct route_limits {
	uint32_t head_bytes_max; /**< Request line and headers. */
	uint64_t body_bytes_max; /**< Body. */
	int64_t head_timeout_ms; /**< From its first byte to its end. */
	int64_t idle_timeout_ms; /**< Between requests. */
};

/** The table. */
struct route_table {
	uint64_t version;	      /**< Of the document. */
	struct route_limits limits;   /**< For callers. */
	GPtrArray *services;	      /**< struct route_service. */
	GPtrArray *routes;	      /**< struct route. */
	GPtrArray *accounts;	      /**< struct route_account. */
	GHashTable *services_by_name; /**< Name to service. */
	GHashTable *routes_by_place;  /**< Host and prefix to route. */
	GHashTable *accounts_by_key;  /**< Key to account; NULL if the
					  document names no accounts. */
	_Atomic uint32_t references;  /**< Freed at 0. */
};

/* Building; what is added belongs to the table, also after an error */

/** An empty table with one reference and the default limits. */
struct route_table *route_table_new(uint64_t version);
/** Takes another reference. */
struct route_table *route_table_ref(struct route_table *table);
/** Gives a reference back; NULL is no error. */
void route_table_unref(struct route_table *table);
/** Adds a service. Errors: ERROR_ALREADY_EXISTS. */
enum error_code route_table_add_service(
    struct route_table *table, struct route_service *service);
/** Adds a route. Errors: ERROR_ALREADY_EXISTS for a second one of the same
 * host and prefix, ERROR_BAD_VALUE without weight, timeout or slashes. */
enum error_code route_table_add_route(
    struct route_table *table, struct route *route);
/** Adds an account. */
void route_table_add_account(
    struct route_table *table, struct route_account *account);
/** Gives an account a key. Errors: ERROR_ALREADY_EXISTS if any has it. */
enum error_code route_table_add_key(struct route_table *table,
    const struct route_account *account, const char *key);

/* Looking up */

/** The service of that name, NULL for none. */
const struct route_service *route_table_service(
    const struct route_table *table, const char *name);
/** The route for a host name and a request target, NULL for none. */
const struct route *route_table_find(
    const struct route_table *table, const char *host, const char *target);
/** The account that holds a key, NULL for none. */
const struct route_account *route_table_account(
    const struct route_table *table, const char *key);
/** Picks a target by weight; @p draw is any random number. */
const struct route_service *route_pick(
    const struct route *route, uint32_t draw);

#endif
