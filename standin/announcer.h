/**
 * @file announcer.h
 * Announces the stand-in to the chicorytack hosts as a real upstream does.
 *
 * A thread sends the announcement to one host, then renewals with load reports
 * and cache events at a fixed period. If a request to the host fails, the
 * thread announces the stand-in to the next host of the list.
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

/** Latest load samples kept, so that reports can be late on purpose. */
#define ANNOUNCER_LOAD_SAMPLES_MAX 128

/** The engine's load at a point in time. */
struct load_sample {
	struct upstream_load load; /**< Load as the engine reported it. */
	int64_t sampled_ms;	   /**< Time of the sample, monotonic clock. */
};

/** State of the announcer. */
struct announcer {
	const struct standin_settings *settings; /**< Settings, not owned. */
	struct engine *engine; /**< Engine whose load is sent; not owned. */
	pthread_mutex_t lock;  /**< Guards stopping. */
	pthread_cond_t stop_condition; /**< Signalled when stopping is set. */
	pthread_t thread; /**< Sends announcements, renewals and events. */
	bool running;	  /**< The thread was started and not yet joined. */
	bool stopping;	  /**< Set to make the thread end. */
	struct upstream_record record; /**< Record as last announced. */
	struct random_source random;   /**< Chooses the cache events to lose. */
	/** Connection to the host, used by the thread and, after the thread has
	 * ended, by announcer_leave(). */
	CURL *curl;
	uint32_t host_index;	/**< Index of the host in settings->hosts. */
	bool announced;		/**< The host accepted the last request. */
	uint64_t load_sequence; /**< Sequence number of the last load report. */
	/** Ring buffer of the latest load samples. */
	struct load_sample samples[ANNOUNCER_LOAD_SAMPLES_MAX];
	uint64_t sample_count; /**< Samples taken since the start. */
};

/** Starts the thread, unless the settings name no host. Returns false if curl
 * or the thread could not be started. */
bool announcer_init(struct announcer *announcer,
    const struct standin_settings *settings, struct engine *engine);
/** Stops the thread and sends a leave message to one host after another until
 * one accepts it. The message says that the upstream is draining or, if
 * @p gone is true, that it has stopped. */
void announcer_leave(struct announcer *announcer, bool gone);
/** Stops the thread if it still runs and frees the memory. Sends no leave
 * message: call announcer_leave() before. */
void announcer_finish(struct announcer *announcer);

#endif
