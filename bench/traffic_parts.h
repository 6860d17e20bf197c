/**
 * @file traffic_parts.h
 * Declarations that the source files of the traffic model share. Private to
 * them.
 */
#ifndef TRAFFIC_PARTS_H
#define TRAFFIC_PARTS_H

#include <glib.h>

#include "base/random_source.h"
#include "coordination/admission.h"
#include "coordination/fair_queue.h"
#include "coordination/fleet_view.h"
#include "coordination/prefix_index.h"
#include "coordination/retry.h"
#include "coordination/router.h"
#include "queue_model.h"
#include "traffic_model.h"

#define ENGINE_COUNT  20 /**< Engines; every third one is in the same centre. */
#define HOST_COUNT    6	 /**< Entry hosts. */
#define CENTRE_COUNT  3	 /**< Data centres a, b and c. */
#define ACCOUNT_COUNT 10 /**< Client accounts; 0 is the large one. */
/** Period in which requests arrive. */
#define ARRIVALS_DURATION_US 300000000
/** Simulated time after arrivals. */
#define DRAIN_DURATION_US 400000000
/** When the engines of data centre b stop. */
#define CENTRE_STOPS_US 130000000
/** When b returns with cold engines. */
#define CENTRE_RETURNS_US 180000000
#define US_PER_MS	  1000 /**< Microseconds in a millisecond. */

/** A request from its arrival to its final answer. */
struct traffic_request {
	struct traffic *traffic;    /**< Simulation of the request. */
	struct request_facts facts; /**< What the decisions know of it. */
	struct model_job job;	    /**< Its work at an engine. */
	struct fleet_work work;	    /**< Its capacity at the upstream in use. */
	struct fleet_entry tried;   /**< Upstream of the current attempt. */
	uint64_t excluded[8];	    /**< Upstreams that failed it. */
	uint32_t excluded_count;    /**< Elements in use of excluded. */
	uint32_t attempt;	    /**< Attempts that failed. */
	uint32_t host;		    /**< Index of the host that got it. */
	uint32_t engine;    /**< Engine in use, ENGINE_COUNT for none. */
	uint32_t band;	    /**< Band of the prompt's length. */
	int64_t arrived_us; /**< Time of arrival. */
	/** Time from arrival to first token, or negative. */
	double first_token_ms;
	double expected_ms; /**< Predicted time to the end. */
	bool is_admitted;   /**< The host has not refused it. */
	bool has_ended;	    /**< It has its final answer. */
	bool is_in_time;    /**< It was complete by its deadline. */
};

/** An entry host with its own decision modules and view of the fleet. */
struct traffic_host {
	struct traffic *traffic; /**< Simulation of the host. */
	uint32_t index;		 /**< Index of the host. */
	struct fleet fleet;	 /**< Its view of the engines. */
	struct capacity_slot slots[ENGINE_COUNT]; /**< Its grants. */
	struct prefix_index prefixes; /**< What it knows of caches. */
	struct router_mix mix;	      /**< Its mix of prompt lengths. */
	struct admission admission;   /**< Its admission. */
	struct fair_queue queue;      /**< Its queue of requests. */
	struct retry_budget budget;   /**< Its budget of retries. */
	struct intent_account accounts[ACCOUNT_COUNT]; /**< The accounts. */
	/** Requests of this host at each engine. */
	uint32_t in_flight[ENGINE_COUNT];
	uint32_t next_engine; /**< Next one of TRAFFIC_ROUND_ROBIN. */
};

/** State of one simulation. */
struct traffic {
	struct traffic_settings settings; /**< Settings of the run. */
	struct traffic_result *result;	  /**< Counts so far. */
	struct timer_service timers;	  /**< Its clock counts microseconds. */
	struct random_source random;	  /**< Delays, losses and choices. */
	struct model_engine engines[ENGINE_COUNT];    /**< The engines. */
	struct upstream_record records[ENGINE_COUNT]; /**< Their records. */
	struct traffic_host hosts[HOST_COUNT];	      /**< The entry hosts. */
	struct router_settings router; /**< Settings of all routers. */
	struct retry_settings retry;   /**< Settings of all retries. */
	GPtrArray *requests; /**< All requests: struct traffic_request. */
	/** Number of the last cache event of each engine. */
	uint64_t event_sequence[ENGINE_COUNT];
	uint64_t report_sequence; /**< Number of the last load reports. */
	uint64_t cached_tokens;	  /**< Prompt tokens found in caches. */
	uint64_t prompt_tokens;	  /**< Prompt tokens of all jobs. */
	/** Whether each host knows that data centre b is taken out. */
	bool is_taken_out[HOST_COUNT];
};

/* traffic_model.c: the run, and each request from its arrival to its end */

/** Time of the simulation, in milliseconds. */
int64_t traffic_now_ms(const struct traffic *traffic);
/** Runs a function after a delay. */
void traffic_schedule(struct traffic *traffic, int64_t delay_us,
    void (*run)(void *), void *context);
/** Lets a request arrive; @p context is a struct traffic_request. */
void traffic_on_arrival(void *context);

/* traffic_load.c: the requests that arrive, and the figures */

/** Draws all requests and schedules their arrivals. */
void traffic_make_requests(struct traffic *traffic);
/** Computes the figures at the end of the run. */
void traffic_compute_result(struct traffic *traffic);

/* traffic_fleet.c: hosts, what they learn of engines, and a takeout */

/** Starts the hosts with the records of all engines. */
void traffic_start_hosts(struct traffic *traffic);
/** Tells the hosts of a change of an engine's cache, late and not all of them. */
void traffic_on_cache_changed(void *context, uint32_t engine,
    enum cache_event_kind kind, uint64_t prefix_hash);
/** Sends the engines' load reports; @p context is a struct traffic, as for the
 * next functions that have one. */
void traffic_send_reports(void *context);
/** Sets the grants of all hosts, by which engines are cold. */
void traffic_update_grants(struct traffic *traffic);
/** Takes data centre b out. */
void traffic_take_out_centre(void *context);
/** Stops the engines of data centre b. */
void traffic_stop_centre_engines(void *context);
/** Ends the takeout of data centre b. */
void traffic_bring_back_centre(void *context);

#endif
