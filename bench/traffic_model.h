/**
 * @file traffic_model.h
 * Entry hosts with the real decision modules before modelled engines.
 *
 * Everything runs in virtual time from one seed. Hosts have their own views,
 * get load reports late and lose a part of the cache events; grants are set
 * as a perfect owner would set them.
 */
#ifndef TRAFFIC_MODEL_H
#define TRAFFIC_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#define TRAFFIC_BANDS 4 /**< Under 4k, 32k, 100k, up to 1M tokens. */

/** Who decides. */
enum traffic_policy {
	TRAFFIC_CHICORYTACK,	 /**< The project's decision modules. */
	TRAFFIC_ROUND_ROBIN,	 /**< Each host in turn, no admission. */
	TRAFFIC_LEAST_IN_FLIGHT, /**< Of this host's own, no admission. */
	TRAFFIC_POLICY_COUNT
};

/** What is run. */
struct traffic_settings {
	enum traffic_policy policy; /**< Who decides. */
	uint64_t seed;		    /**< Of arrivals and noise. */
	double load;		    /**< Share of the fleet's engine time. */
	bool without_long;  /**< Leaves prompts over 100k out, else the same. */
	bool centre_leaves; /**< A data centre leaves and returns. */
};

/** What came out. */
struct traffic_result {
	double first_token_ms[TRAFFIC_BANDS][3]; /**< p50, p95, p99. */
	uint32_t offered;			 /**< Requests that came. */
	uint32_t refused;	/**< Of them, refused at once as not run. */
	uint32_t admitted;	/**< The others. */
	uint32_t in_time;	/**< Of them, whole before the deadline. */
	uint32_t failed;	/**< Of them, told that they failed. */
	uint32_t lost;		/**< Of them, never told anything. */
	uint32_t retries;	/**< Further attempts. */
	uint32_t falls;		/**< Cold engines that fell over. */
	uint32_t late_starts;	/**< Begun in a data centre after it left. */
	uint32_t small_offered; /**< Requests of the small accounts. */
	uint32_t small_in_time; /**< Of them, whole before the deadline. */
	double cached_share;	/**< Prompt tokens found in a cache. */
};

/** Runs one scene. */
void traffic_run(
    const struct traffic_settings *settings, struct traffic_result *result);

#endif
