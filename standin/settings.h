/**
 * @file settings.h
 * Settings of the stand-in, read from its command line. Most members are named
 * after their option: resume_ms is set by --resume-ms.
 */
#ifndef STANDIN_SETTINGS_H
#define STANDIN_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"
#include "state/upstream.h"

#define STANDIN_HOSTS_MAX   16	/**< Most hosts to announce to. */
#define STANDIN_MARKER_SIZE 64	/**< Bytes of a marker with its NUL. */
#define STANDIN_PATH_SIZE   512 /**< Bytes of a file path with its NUL. */

/** The settings. */
struct standin_settings {
	/* Identity and addresses */
	struct upstream_record record; /**< Record to announce to hosts. */
	char address[NAME_SIZE_MAX];   /**< IP address to listen on. */
	uint16_t port;		       /**< TCP port to listen on. */
	uint32_t host_count;	       /**< Elements in use of hosts. */
	/** URLs of hosts; the next one is used when one fails. */
	char hosts[STANDIN_HOSTS_MAX][URL_SIZE_MAX];
	uint64_t seed; /**< Seed of all random choices. */

	/* Simulated work */
	uint32_t answer_tokens; /**< Answer tokens if no limit is set. */
	uint32_t queue_max;	/**< Most requests over the warm limit. */
	uint32_t cold_ms;	/**< Duration of the cold start. */
	uint32_t cold_percent;	/**< Prefill speed while cold, in percent. */
	/** The process exits when a request exceeds the cold limits. If false,
	 * the request is refused. */
	bool cold_crashes;
	uint64_t cache_tokens; /**< Size of the prefix cache, in tokens. */
	/** Time for which a job without a reader can be resumed. */
	uint32_t resume_ms;
	uint32_t order_ms;   /**< Time until an order is done. */
	uint32_t service_ms; /**< Duration of a plain call. */
	/** Time for running work to end after SIGTERM. */
	uint32_t drain_ms;

	/* Reports to hosts and tests */
	uint32_t renew_ms;	     /**< Period of renewals. */
	uint32_t load_lag_ms;	     /**< Least age of a reported load. */
	uint32_t cache_event_lag_ms; /**< Least age of a published event. */
	uint32_t cache_event_loss;   /**< Cache events lost, in percent. */
	/** Path of the run log, or "" for none. */
	char run_log[STANDIN_PATH_SIZE];

	/* Simulated faults */
	/** Text that makes the process exit when a prompt or a call's body
	 * contains it. */
	char crash_marker[STANDIN_MARKER_SIZE];
	/** Text that makes the answer stall when a prompt contains it. */
	char stall_marker[STANDIN_MARKER_SIZE];
	uint32_t duplicate_every; /**< Sends each n-th piece twice; 0: none. */
	/** Sends each n-th piece after the one that follows it; 0: none. */
	uint32_t reorder_every;
	/** Breaks off the stream of each n-th run; 0: none. */
	uint32_t break_every;
	/** Runs each n-th request, but answers with the refusal of the one
	 * before it; 0: none. */
	uint32_t refuse_earlier_every;
	/** Begins the answer of each n-th run with the refusal of the request
	 * before it, as an event; 0: none. */
	uint32_t refuse_other_every;
	/** Ends the stream of each n-th run with a refusal after its first
	 * pieces; 0: none. */
	uint32_t error_every;
	/** Stops in the head of the answer to each n-th run; 0: none. */
	uint32_t cut_head_every;
};

/** Parses the command line. Returns false after an invalid option, whose error
 * it writes to standard error, and after --help, which prints the options. */
bool standin_settings_parse(
    struct standin_settings *settings, int count, char **arguments);

#endif
