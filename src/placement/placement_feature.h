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
	 * (placement_helpers.c). */
	PLACEMENT_QUEUE_LARGE = 1u << 1,
	/** Hosts share out the free slots of full engines among the short
	 * prompts that wait anywhere (placement_slot.c). */
	PLACEMENT_SHARE_SLOTS = 1u << 2,
	/** Requests leave the data centre only if that pays
	 * (placement_border.h). */
	PLACEMENT_WEIGH_BORDERS = 1u << 3,
};

/** The features that are on. All zero is none. */
struct placement_features {
	uint32_t set; /**< Set of enum placement_feature. */
	/** What a megabyte sent to another data centre is worth, in milliseconds
	 * of a caller's time. */
	double border_ms_per_mb;
};

/** Switches on the feature that a text names: "weigh-borders=MS", where MS may be
 * left out and is border_ms_per_mb, or another name. Errors: ERROR_BAD_VALUE for
 * an unknown name or a value that is no number from 0 on. */
enum error_code placement_feature_add(
    struct placement_features *features, const char *text);
/** Names of all features, separated by blanks. */
const char *placement_feature_names(void);

#endif
