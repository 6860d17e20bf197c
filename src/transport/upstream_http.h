/**
 * @file upstream_http.h
 * The upstream adapter over HTTP, as docs/INTERFACES.md defines it.
 */
#ifndef UPSTREAM_HTTP_H
#define UPSTREAM_HTTP_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "transport/upstream_adapter.h"

/** Settings; zero takes the default in brackets. */
struct upstream_http_settings {
	uint32_t attempts_max;	     /**< Attempts at a time [4096]. */
	uint32_t connect_timeout_ms; /**< To connect at all [1000]. */
	uint32_t cancel_timeout_ms;  /**< For a cancel to be sent [2000]. */
	uint32_t answer_piece_max;   /**< Bytes of one piece [65536]. */
	uint64_t service_body_max;   /**< Bytes of a plain answer [64 MiB]. */
};

struct attempt;

/** The adapter's state. */
struct upstream_http {
	struct upstream_http_settings settings; /**< Defaults filled in. */
	pthread_mutex_t lock;			/**< Guards what follows. */
	pthread_cond_t ended;			/**< Signalled at each end. */
	uint32_t running;			/**< Threads alive. */
	struct attempt *attempts;		/**< Their attempts. */
	atomic_bool stopping;			/**< No new attempts. */
};

/** The functions; their context is a struct upstream_http. */
extern const struct upstream_adapter upstream_http_adapter;

/** Prepares the adapter. Call curl_global_init() once before. */
enum error_code upstream_http_init(
    struct upstream_http *http, const struct upstream_http_settings *settings);
/** Attempts under way. */
uint32_t upstream_http_running(struct upstream_http *http);
/** Refuses new attempts, cuts the running ones, waits for their threads. */
void upstream_http_stop(struct upstream_http *http);
/** Stops and gives back; no thread may use the adapter any more. */
void upstream_http_finish(struct upstream_http *http);

#endif
