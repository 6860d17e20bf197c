/**
 * @file announcer.h
 * Announces the stand-in to a host and keeps it renewed, on its own thread;
 * goes on to the next host when one fails.
 */
#ifndef STANDIN_ANNOUNCER_H
#define STANDIN_ANNOUNCER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

#include "base/random_source.h"
#include "engine.h"
#include "settings.h"
#include "state/upstream.h"

#define ANNOUNCER_SAMPLES 128 /**< Load samples kept for the lag. */

/** A load and when it was true. */
struct load_sample {
	struct upstream_load load;
	int64_t taken_ms;
};

/** The announcer. */
struct announcer {
	const struct standin_settings *settings; /**< Not owned. */
	struct engine *engine;			 /**< Whose load; not owned. */
	pthread_mutex_t lock;	       /**< Guards stopping and changed. */
	pthread_cond_t wake;	       /**< Stopping was set. */
	pthread_t thread;	       /**< Does all the talking. */
	bool running;		       /**< The thread was started. */
	bool stopping;		       /**< It ends. */
	struct upstream_record record; /**< As announced last. */
	struct random_source random;   /**< Loss of events. */
	CURL *curl;		       /**< Used by the thread, then by
					   * announcer_leave(). */
	uint32_t host;		       /**< Host in use. */
	bool announced;		       /**< It took the announcement. */
	uint64_t load_sequence;	       /**< Of the last report. */
	struct load_sample samples[ANNOUNCER_SAMPLES]; /**< A ring. */
	uint64_t sample_count;			       /**< Ever taken. */
};

/** Starts to announce. */
bool announcer_init(struct announcer *announcer,
    const struct standin_settings *settings, struct engine *engine);
/** Stops renewing and tells each host in turn, until one has taken it, that
 * this upstream drains, or that it is gone. */
void announcer_leave(struct announcer *announcer, bool gone);
/** Gives back memory; leave first. */
void announcer_finish(struct announcer *announcer);

#endif
