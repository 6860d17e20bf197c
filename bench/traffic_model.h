/**
 * @file traffic_model.h
 * Simulates entry hosts, which run the real decision modules, in front of
 * modelled engines.
 *
 * Everything runs in virtual time and follows from one seed. Each host has its
 * own view of the fleet, gets load reports late and loses a part of the cache
 * events. Capacity grants are set directly, without the delay of a real owner.
 */
#ifndef TRAFFIC_MODEL_H
#define TRAFFIC_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/** Number of prompt length bands: up to 4k, 32k, 100k and 1M tokens. */
#define TRAFFIC_BAND_COUNT 4

/** Policy by which hosts choose an upstream for a request. */
enum traffic_policy {
	TRAFFIC_CHICORYTACK, /**< The project's decision modules. */
	TRAFFIC_ROUND_ROBIN, /**< Engines in turn, without admission. */
	/** Engine with the fewest requests of this host in flight, without
	 * admission. */
	TRAFFIC_LEAST_IN_FLIGHT,
	TRAFFIC_POLICY_COUNT
};

/** Settings of one simulation. */
struct traffic_settings {
	enum traffic_policy policy; /**< How upstreams are chosen. */
	uint64_t seed;		    /**< Seed of arrivals and noise. */
	/** Engine time that the requests need, as a share of the fleet's. */
	double load;
	/** Leaves out prompts over 100k tokens; the other requests are the same
	 * with and without this. */
	bool without_long_prompts;
	bool centre_leaves; /**< A data centre is taken out and returns. */
};

/** Counts and latencies of one simulation. */
struct traffic_result {
	/** Time to first token at p50, p95 and p99 for each band. */
	double first_token_ms[TRAFFIC_BAND_COUNT][3];
	uint32_t offered;      /**< Requests that arrived. */
	uint32_t refused;      /**< Offered requests refused by admission. */
	uint32_t admitted;     /**< Offered requests that were not refused. */
	uint32_t in_time;      /**< Admitted ones complete by their deadline. */
	uint32_t failed;       /**< Admitted ones that ended without success. */
	uint32_t lost;	       /**< Admitted ones that never ended. */
	uint32_t retries;      /**< Attempts after the first of a request. */
	uint32_t cold_crashes; /**< Crashes of cold engines by overload. */
	/** Requests started in the data centre well after it was taken out. */
	uint32_t starts_after_leave;
	uint32_t small_accounts_offered; /**< Requests of small accounts. */
	/** Requests of small accounts complete by their deadline. */
	uint32_t small_accounts_in_time;
	/** Share of the prompt tokens that engines found in their cache. */
	double cached_token_share;
};

/** Runs one simulation to its end. */
void traffic_run(
    const struct traffic_settings *settings, struct traffic_result *result);

#endif
