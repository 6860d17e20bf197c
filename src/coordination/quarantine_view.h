/**
 * @file quarantine_view.h
 * Snapshot of the quarantine that request threads read without a lock.
 *
 * The coordination thread owns a struct quarantine and a struct
 * part_suspects, and publishes an immutable copy of both after each change.
 * Both request paths ask the copy before they send a request to an upstream.
 */
#ifndef QUARANTINE_VIEW_H
#define QUARANTINE_VIEW_H

#include <stdatomic.h>
#include <stdint.h>

#include "coordination/part_suspects.h"
#include "coordination/quarantine.h"

/** Immutable copy. */
struct quarantine_list {
	GArray *requests; /**< struct quarantine_verdict, by fingerprint. */
	GArray *parts;	  /**< struct part_verdict, by part. */
};

/** The published copy; all zero while there is none. */
struct quarantine_view {
	_Atomic(struct quarantine_list *) list; /**< Read by RCU; NULL if
						     empty. */
	/** Changes of both sources in the copy. */
	uint64_t change_count, part_change_count;
};

/** Publishes a new copy if the quarantine has changed since the last one. Call
 * it on the coordination thread. */
void quarantine_view_publish(struct quarantine_view *view,
    const struct quarantine *quarantine, const struct part_suspects *parts);
/** Frees the copy. No thread may read it any more. */
void quarantine_view_finish(struct quarantine_view *view);

/* Any thread */

/** Returns true if no request is suspected and no part quarantined, so that no
 * fingerprint has to be computed. */
bool quarantine_view_is_empty(const struct quarantine_view *view);
/** Returns whether the request may run at @p now_ms. Sets @p remaining_ms,
 * unless it is NULL, to the time for which that holds, 0 for
 * QUARANTINE_RUN. */
enum quarantine_action quarantine_view_check(const struct quarantine_view *view,
    const struct request_key *key, int64_t now_ms, int64_t *remaining_ms);

#endif
