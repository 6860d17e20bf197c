/**
 * @file placement_feature.h
 * Parts of placement that a deployment switches on by name.
 *
 * Each answers one kind of load (docs/design/). None of them is on unless the
 * settings name it.
 */
#ifndef PLACEMENT_FEATURE_H
#define PLACEMENT_FEATURE_H

#include <stdint.h>

#include "base/error_code.h"

/** Features, as bits of a set. */
enum placement_feature {
	/** Parts of long prompts go only to engines whose answers bear the
	 * pause (placement_pause.h). */
	PLACEMENT_GUARD_PAUSES = 1u << 0,
	/** A prompt over one engine's memory waits for its turn and for memory
	 * (placement_gather.h). */
	PLACEMENT_QUEUE_LARGE = 1u << 1,
	/** Hosts share out the free slots of full engines among the short
	 * prompts that wait anywhere (placement_slot.c). */
	PLACEMENT_SHARE_SLOTS = 1u << 2,
};

/** Adds the feature with this name to a set. Errors: ERROR_BAD_VALUE for an
 * unknown name. */
enum error_code placement_feature_add(uint32_t *features, const char *name);
/** Names of all features, separated by blanks. */
const char *placement_feature_names(void);

#endif
