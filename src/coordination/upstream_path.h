/**
 * @file upstream_path.h
 * Finds out whether this host has lost its own path to the upstreams, as opposed
 * to upstreams that have failed.
 *
 * If several upstreams don't accept a connection and none has accepted one
 * meanwhile, the owner tests a sample of the others at once. If none of the
 * sample accepts a connection, the path is lost. It is tested again periodically
 * and counts as regained with the first connection that is established. Answers
 * on connections from before show nothing, since these may live on while no new
 * one can be made.
 */
#ifndef UPSTREAM_PATH_H
#define UPSTREAM_PATH_H

#include <stdbool.h>
#include <stdint.h>

/** Upstreams that a test connects to, at most. */
#define UPSTREAM_PATH_SAMPLE_MAX 3
/** Upstreams without a connection that raise the suspicion. */
#define UPSTREAM_PATH_SUSPECTS 2

/** Whether the upstreams can be reached. */
enum upstream_path_state {
	UPSTREAM_PATH_OPEN = 0,	     /**< Nothing speaks against it. */
	UPSTREAM_PATH_SUSPECTED = 1, /**< A test is due or runs. */
	UPSTREAM_PATH_LOST = 2,	     /**< The last test failed. */
};

/** State of the path; all zero for an open one. */
struct upstream_path {
	enum upstream_path_state state; /**< Present state. */
	/** Upstreams that accepted no connection since one was established. */
	uint64_t suspects[UPSTREAM_PATH_SUSPECTS];
	uint32_t suspect_count; /**< Ids in suspects. */
	uint32_t tests_running; /**< Connections of the test that are open. */
	int64_t next_test_ms;	/**< When the next test is due. */
	int64_t lost_ms;	/**< When the path was lost. */
};

/** Records that a connection to an upstream was established. Returns true if
 * the path was lost until then. */
bool upstream_path_record_connected(struct upstream_path *path);
/** Records that an upstream accepted no connection. */
void upstream_path_record_unreached(
    struct upstream_path *path, uint64_t upstream_id, int64_t now_ms);
/** Returns true if the owner is to begin a test now. */
bool upstream_path_is_test_due(
    const struct upstream_path *path, int64_t now_ms);
/** Records that a test with @p count connections has begun. */
void upstream_path_begin_test(
    struct upstream_path *path, uint32_t count, int64_t now_ms);
/** Records that a connection of the test was established or failed. Returns
 * true if it was the last one, and the path is lost by this. */
bool upstream_path_end_test(struct upstream_path *path, int64_t now_ms);

#endif
