/**
 * @file placement_parts.h
 * What the source files of placement share; nobody else includes it.
 */
#ifndef PLACEMENT_PARTS_H
#define PLACEMENT_PARTS_H

#include "coordination/placement.h"

/** Another host's last report. */
struct peer_work {
	struct work_report report; /**< As it came. */
	int64_t taken_ms;	   /**< When it came. */
};

/** What this host asks of a service. */
struct service_load {
	uint64_t hash;		      /**< Of its name. */
	uint32_t light_running;	      /**< Requests with short prompts. */
	struct split_rate heavy_rate; /**< Work that long prompts bring. */
};

/** Mean prompt of a route. */
struct prompt_profile {
	double mean_tokens; /**< Fading average. */
};

/** What the other hosts ask of a service, by their last reports. */
struct peer_demand {
	double light;	   /**< Engines, for short prompts. */
	double heavy;	   /**< Engines, for long prompts. */
	double waiting_ms; /**< Work of the long prompts that wait. */
	uint64_t best_key; /**< The lowest of theirs, UINT64_MAX for none. */
};

/** Hash of a service's name, as reports carry it. */
uint64_t placement_service_hash(const char *name);
/** The load of a service, made when it is new. */
struct service_load *placement_service(
    struct placement *placement, uint64_t hash);
/** Rank of a long prompt among those that wait: the lowest goes first. */
uint64_t placement_wait_key(
    const struct placement_waiter *waiter, int64_t now_ms);
/** The lowest key of all hosts but for @p except's; UINT64_MAX for none. */
uint64_t placement_best_key(struct placement *placement, uint64_t service,
    const struct placement_waiter *except, int64_t now_ms);
/** Work of all long prompts that wait, in milliseconds of one engine. */
double placement_waiting_ms(
    struct placement *placement, uint64_t service, int64_t now_ms);
/** Sums the demand of the other hosts up. */
struct peer_demand placement_peer_demand(
    struct placement *placement, uint64_t service, int64_t now_ms);
/** Whether the upstream may get new requests of the service. */
bool placement_serves(const struct placement_upstream *upstream,
    const struct route_service *service);
/** Sums the other hosts' work up, if a report came since. */
void placement_sum_others(struct placement *placement, int64_t now_ms);
/** What all hosts ask of a service. */
struct split_demand placement_demand(
    struct placement *placement, uint64_t service, int64_t now_ms);

#endif
