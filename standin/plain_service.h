/**
 * @file plain_service.h
 * A simulated plain service, which takes plain calls instead of prompts.
 *
 * A call takes a fixed time. The service counts the runs of each idempotency
 * key, so that tests notice a call that ran twice.
 */
#ifndef STANDIN_PLAIN_SERVICE_H
#define STANDIN_PLAIN_SERVICE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "run_log.h"
#include "settings.h"

/** State of the service. */
struct plain_service {
	const struct standin_settings *settings; /**< Settings, not owned. */
	struct run_log *run_log; /**< Gets one line per call; not owned. */
	pthread_mutex_t lock;	 /**< Guards the members below. */
	GHashTable *runs_by_key; /**< Number of runs by idempotency key. */
	bool draining;		 /**< New calls are refused. */
	uint32_t active_calls;	 /**< Calls that run now. */
	uint32_t peak_calls;	 /**< Most calls running at a time. */
	uint64_t run_count;	 /**< Calls run since the start. */
	uint64_t refused_calls;	 /**< Calls refused since the start. */
	int64_t last_run_ms; /**< Start of the last call, monotonic clock. */
};

/** Prepares the service. */
void plain_service_init(struct plain_service *service,
    const struct standin_settings *settings, struct run_log *run_log);
/** Frees the memory; no call may be running. */
void plain_service_finish(struct plain_service *service);
/** Makes the service refuse new calls; running calls go on. */
void plain_service_drain(struct plain_service *service);
/** Runs a call and blocks for settings->service_ms. @p key is the idempotency
 * key or NULL; @p request_id and @p attempt go to the run log. If @p crashes
 * is true, the process exits instead of returning. Returns the number of runs
 * with this key so far (1 without a key), or 0 if the call was refused. */
uint64_t plain_service_run(struct plain_service *service, const char *key,
    uint64_t request_id, uint32_t attempt, bool crashes);
/** Returns the number of calls that run now. */
uint32_t plain_service_active_count(struct plain_service *service);
/** Returns the answer to GET /standin/v1/counters. */
json_t *plain_service_counters_json(struct plain_service *service);

#endif
