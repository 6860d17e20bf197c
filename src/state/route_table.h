/**
 * @file route_table.h
 * Routes of callers' requests to services, with accounts and limits.
 *
 * A table is built from one document, doesn't change after that, and is shared
 * by reference count. A request's route is the one of its host name whose path
 * prefix is the longest that matches.
 */
#ifndef ROUTE_TABLE_H
#define ROUTE_TABLE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"

/** Whether a request of a route may run more than once. */
enum route_kind {
	/** Runs at most once. */
	ROUTE_KIND_AT_MOST_ONCE = 1,
	/** May run again after a failure. */
	ROUTE_KIND_IDEMPOTENT = 2,
	/** Answered by a stream of events; runs at most once unless the stream
	 * can be resumed. */
	ROUTE_KIND_STREAM = 3,
};

/** Speed of a service's engines, as published by operators. */
struct engine_speed {
	uint32_t batch_slots;  /**< Requests in one batch. */
	uint64_t kv_tokens;    /**< KV cache memory, in tokens. */
	uint32_t stride;       /**< Steps in a pass that includes decoding. */
	uint32_t chunk_tokens; /**< Prompt tokens prefilled in one step. */
	double step_ms;	       /**< Duration of a step. */
	/** Added to a step for each request that decodes. */
	double ms_per_request;
	/** Added to a step per 1,000 tokens of context. */
	double ms_per_1k_context_tokens;
	double prefill_tokens_per_s; /**< Prompt tokens prefilled a second. */
	/** Added to a prefill per million pairs of prompt tokens, as attention
	 * grows with the square of the prompt's length. */
	double ms_per_1m_token_pairs;
	/** Milliseconds for a step that spans several engines. */
	double multi_engine_step_ms;
	/** Bytes of KV cache for a token of a prompt. */
	double kv_token_bytes;
	/** Longest way between two data centres, in milliseconds. */
	double border_delay_ms;
};

/** A service: a group of upstreams that can replace each other. */
struct route_service {
	char *name; /**< Name of the service, as upstreams announce it. */
	/** Requests per second that a cold upstream can take, 0 for no
	 * limit. */
	double cold_requests_per_s;
	/** Time for which an upstream is cold after its start, 0 if that is
	 * unknown. */
	int64_t cold_ms;
	/** Shortest pause limit of the routes to the service, 0 for none. */
	int64_t shortest_pause_ms;
	bool has_engine; /**< True if engine is set. */
	/** Speed of the engines of a model service. */
	struct engine_speed engine;
};

/** A service that a route sends requests to. */
struct route_target {
	const struct route_service *service; /**< Service of the same table. */
	uint32_t weight; /**< Relative share of the route's requests. */
};

/** A route. */
struct route {
	char *name;	      /**< Name of the route in logs. */
	char *host;	      /**< Host name, in lower case. */
	char *prefix;	      /**< Path prefix; begins and ends with '/'. */
	enum route_kind kind; /**< Whether a request may run again. */
	int64_t timeout_ms;   /**< Longest time until the answer ends. */
	/** Time wanted until the answer, or a stream's first event. */
	int64_t target_ms;
	/** Longest pause wanted between events of a stream, 0 for none. */
	int64_t pause_limit_ms;
	uint32_t attempts_max; /**< Largest number of attempts per request. */
	bool is_public;	       /**< True if callers need no key. */
	bool is_resumable; /**< A stream can continue on another upstream. */
	uint32_t target_count; /**< Elements of targets. */
	uint32_t weight_sum;   /**< Sum of the targets' weights, above 0. */
	struct route_target *targets; /**< Services with their weights. */
};

/** Longest wait for the first event of a stream, and between two events, that
 * callers of the route accept, in milliseconds; INT64_MAX for a route without
 * streams. Callers that have waited for longer leave. */
int64_t route_patience_ms(const struct route *route);

/** A client account. */
struct route_account {
	char *name; /**< Name of the account, as sent to upstreams. */
};

/** Limits on what callers send, and on how long sending may take. */
struct route_limits {
	uint32_t head_bytes_max; /**< Bytes of request line and headers. */
	uint64_t body_bytes_max; /**< Bytes of a request's body. */
	int64_t head_timeout_ms; /**< Time to receive a request's head. */
	int64_t idle_timeout_ms; /**< Time between two requests. */
};

/** The route table. */
struct route_table {
	uint64_t version;	      /**< Version of the document. */
	struct route_limits limits;   /**< Limits on callers' requests. */
	GPtrArray *services;	      /**< All struct route_service, owned. */
	GPtrArray *routes;	      /**< All struct route, owned. */
	GPtrArray *accounts;	      /**< All struct route_account, owned. */
	GHashTable *services_by_name; /**< Name to struct route_service. */
	/** Host name and path prefix to struct route. */
	GHashTable *routes_by_host_and_prefix;
	GHashTable *accounts_by_key; /**< Key to struct route_account. */
	/** True if the document has a list of accounts, even an empty one:
	 * callers need a key, except on public routes. */
	bool needs_key;
	_Atomic uint32_t reference_count; /**< The table is freed at 0. */
};

/* Building; the table owns whatever is added to it, also after an error */

/** Creates an empty table with one reference and the default limits. */
struct route_table *route_table_new(uint64_t version);
/** Adds a reference to the table and returns the table. */
struct route_table *route_table_ref(struct route_table *table);
/** Drops a reference; the last one frees the table. NULL is allowed. */
void route_table_unref(struct route_table *table);
/** Adds a service. Errors: ERROR_ALREADY_EXISTS, ERROR_BAD_VALUE if it has no
 * name. */
enum error_code route_table_add_service(
    struct route_table *table, struct route_service *service);
/** Adds a route. Errors: ERROR_ALREADY_EXISTS if there is one with the same
 * host and prefix; ERROR_BAD_VALUE if it has no name, host or prefix, the prefix
 * lacks a slash at either end, the timeout isn't positive or all weights are
 * 0. */
enum error_code route_table_add_route(
    struct route_table *table, struct route *route);
/** Adds an account. */
void route_table_add_account(
    struct route_table *table, struct route_account *account);
/** Adds a key of an account, which must be in the table. Errors:
 * ERROR_ALREADY_EXISTS if any account has the key. */
enum error_code route_table_add_key(struct route_table *table,
    const struct route_account *account, const char *key);

/* Looking up */

/** Returns the service of that name, or NULL if there is none. */
const struct route_service *route_table_service(
    const struct route_table *table, const char *name);
/** Returns the route for a host name, whose port is ignored, and a request
 * target, whose query is ignored. NULL if there is none. */
const struct route *route_table_find(
    const struct route_table *table, const char *host, const char *target);
/** Returns the account that has this key, or NULL if there is none. */
const struct route_account *route_table_account(
    const struct route_table *table, const char *key);
/** Picks one of the route's services with a probability in proportion to its
 * weight. @p draw is a random number over the whole range. */
const struct route_service *route_pick_service(
    const struct route *route, uint32_t random_number);

#endif
