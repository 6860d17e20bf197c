/**
 * @file placement_fixture.h
 * One host that places prompts on engines of one service, for the tests of
 * placement.
 */
#ifndef PLACEMENT_FIXTURE_H
#define PLACEMENT_FIXTURE_H

#include <stdint.h>

#include "placement/placement.h"

#define ENGINES	     18	     /**< Engines of placement_fixture_init(). */
#define ENGINES_MANY 60	     /**< Engines of a large installation. */
#define START_MS     1000000 /**< Time at which the engines are known. */
/** Address of an engine. */
#define ENGINE_ADDRESS(i) ((uint64_t)(0x0a000001 + (i)) << 16 | 8000)

/** One host and the engines that it places prompts on. */
struct placement_fixture {
	struct placement placement;   /**< The host's placement. */
	struct route_service service; /**< The service of all engines. */
	struct route chat;	      /**< Route of short prompts. */
	struct route review;	      /**< Route of long prompts. */
	struct placement_record records[ENGINES_MANY]; /**< The engines. */
	char names[ENGINES_MANY][16]; /**< Names of the engines. */
};

/** Initialises the host with this number of engines. */
void placement_fixture_init_engines(
    struct placement_fixture *fixture, uint64_t seed, uint32_t engines);
/** Initialises the host with ENGINES engines. */
void placement_fixture_init(struct placement_fixture *fixture, uint64_t seed);
/** Frees the memory of the host. */
void placement_fixture_finish(struct placement_fixture *fixture);
/** Returns a request for 600 tokens by a deadline 15 s after @p now_ms. */
struct placement_request placement_fixture_request(
    struct placement_fixture *fixture, const struct route *route, double tokens,
    int64_t now_ms);
/** Returns the engine with this number. */
struct placement_upstream *placement_fixture_engine(
    struct placement_fixture *fixture, uint32_t i);

#endif
