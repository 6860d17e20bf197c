/**
 * @file plain_service.h
 * The stand-in as a plain service: counts the runs of each idempotency key.
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

/** The service. */
struct plain_service {
	const struct standin_settings *settings; /**< Not owned. */
	struct run_log *run_log;		 /**< Not owned. */
	pthread_mutex_t lock;			 /**< Guards what follows. */
	GHashTable *runs;			 /**< Runs by key. */
	bool leaving;				 /**< No new calls. */
	uint32_t active;			 /**< Calls under way. */
	uint32_t peak;				 /**< Most at a time. */
	uint64_t total;				 /**< Calls run. */
	uint64_t refused;			 /**< Calls not run. */
	int64_t last_run_ms;			 /**< When the last began. */
};

/** Prepares the service. */
void plain_service_init(struct plain_service *service,
    const struct standin_settings *settings, struct run_log *run_log);
/** Gives back memory; no call may be under way. */
void plain_service_finish(struct plain_service *service);
/** Takes no new calls from now on. */
void plain_service_leave(struct plain_service *service);
/** Runs a call; gives the run's number within its key, 0 if refused. */
uint64_t plain_service_run(struct plain_service *service, const char *key,
    uint64_t request, uint32_t attempt, bool crashes);
/** Calls under way. */
uint32_t plain_service_active(struct plain_service *service);
/** Answer of GET /standin/v1/counters. */
json_t *plain_service_counters_json(struct plain_service *service);

#endif
