/**
 * @file upstream_http.h
 * The upstream adapter over HTTP. docs/INTERFACES.md defines the interface.
 *
 * Each attempt runs on a thread and a connection of its own.
 */
#ifndef UPSTREAM_HTTP_H
#define UPSTREAM_HTTP_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "transport/upstream_adapter.h"

/** Settings of the adapter; zero selects the default given in brackets. */
struct upstream_http_settings {
	uint32_t attempts_max;	     /**< Most attempts at a time [4096]. */
	uint32_t connect_timeout_ms; /**< Timeout of connecting [1000]. */
	uint32_t cancel_timeout_ms;  /**< Time to send a cancel [2000]. */
	uint32_t piece_size_max;     /**< Most bytes of a piece [65536]. */
	/** Most bytes in the answer to a plain call [64 MiB]. */
	uint64_t service_body_size_max;
};

struct attempt;

/** State of the adapter. */
struct upstream_http {
	/** Settings with defaults filled in. */
	struct upstream_http_settings settings;
	pthread_mutex_t lock;	      /**< Protects the fields below. */
	pthread_cond_t attempt_ended; /**< Signalled when an attempt ends. */
	uint32_t running;	      /**< Number of running attempts. */
	struct attempt *attempts;     /**< List of running attempts. */
	atomic_bool stopping;	      /**< New attempts are refused. */
};

/** Functions of the adapter; their context is a struct upstream_http. */
extern const struct upstream_adapter upstream_http_adapter;

/** Prepares the adapter. curl_global_init() must have been called before. */
enum error_code upstream_http_init(
    struct upstream_http *http, const struct upstream_http_settings *settings);
/** Returns the number of running attempts, cancels included. */
uint32_t upstream_http_running(struct upstream_http *http);
/** Refuses new attempts, aborts the running ones and waits until they have
 * ended. */
void upstream_http_stop(struct upstream_http *http);
/** Stops the adapter and frees its resources; no thread may use it afterwards.
 */
void upstream_http_finish(struct upstream_http *http);

#endif
