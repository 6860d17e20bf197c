/**
 * @file settings.h
 * What the stand-in is told on its command line.
 */
#ifndef STANDIN_SETTINGS_H
#define STANDIN_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"
#include "state/upstream.h"

#define STANDIN_HOSTS_MAX   16	/**< Hosts to announce to. */
#define STANDIN_MARKER_SIZE 64	/**< Bytes of a marker. */
#define STANDIN_PATH_SIZE   512 /**< Bytes of a file's path. */

/** The settings. */
struct standin_settings {
	/* Who it is */
	struct upstream_record record; /**< As it is announced. */
	char address[NAME_SIZE_MAX];   /**< IP number to listen on. */
	uint16_t port;		       /**< TCP port to listen on. */
	uint32_t host_count;	       /**< Hosts in use below. */
	char hosts[STANDIN_HOSTS_MAX][URL_SIZE_MAX]; /**< Tried in turn. */
	uint64_t seed; /**< Of all that is random. */

	/* How it works */
	uint32_t answer_tokens; /**< Tokens of an answer that ends. */
	uint32_t queue_max;	/**< Requests that may wait. */
	uint32_t cold_ms;	/**< Cold for this long after a start. */
	uint32_t cold_percent;	/**< Prefill speed while cold. */
	bool cold_crashes;	/**< Over its cold load: dies, else refuses. */
	uint64_t cache_tokens;	/**< Memory of the prefix cache. */
	uint32_t resume_ms;	/**< A left stream is kept this long. */
	uint32_t order_ms;	/**< An order takes this long. */
	uint32_t service_ms;	/**< A plain call takes this long. */
	uint32_t drain_ms;	/**< Running work may take after SIGTERM. */

	/* How it reports */
	uint32_t renew_ms;		 /**< Between renewals. */
	uint32_t load_lag_ms;		 /**< Age of load reports. */
	uint32_t cache_event_lag_ms;	 /**< Age of cache events. */
	uint32_t cache_event_loss;	 /**< Percent that is lost. */
	char run_log[STANDIN_PATH_SIZE]; /**< A line for each run; "": none. */

	/* How it fails */
	char crash_marker[STANDIN_MARKER_SIZE]; /**< Prompts that kill it. */
	char stall_marker[STANDIN_MARKER_SIZE]; /**< Prompts that stall it. */
	uint32_t duplicate_every; /**< Each n-th piece comes twice; 0: none. */
	uint32_t reorder_every;	  /**< Each n-th comes after its next. */
	uint32_t break_every;	  /**< Each n-th run's stream breaks off. */
};

/** Reads the command line; writes what is wrong to standard error. */
bool standin_settings_parse(
    struct standin_settings *settings, int count, char **arguments);

#endif
