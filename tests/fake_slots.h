/**
 * @file fake_slots.h
 * Capacity slots for a fleet under test, and upstream records to fill it.
 */
#ifndef FAKE_SLOTS_H
#define FAKE_SLOTS_H

#include "coordination/fleet_view.h"

#define FAKE_SLOTS_MAX 512 /**< Slots that can be opened. */

/** Slots by order of opening; each gets the grant. */
struct fake_slots {
	struct capacity_slot slots[FAKE_SLOTS_MAX]; /**< Never reused. */
	uint64_t ids[FAKE_SLOTS_MAX];		    /**< Whose. */
	bool dropped[FAKE_SLOTS_MAX];		    /**< Dropped since. */
	uint32_t count;				    /**< Opened so far. */
	struct capacity_amount grant; /**< What each slot is granted. */
};

/** The port of a fleet; the grants never expire. */
struct fleet_ops fake_slots_ops(struct fake_slots *slots);
/** The open slot of an upstream, NULL for none. */
struct capacity_slot *fake_slots_find(struct fake_slots *slots, uint64_t id);
/** A warm-looking record of model "m" in a data centre. */
struct upstream_record fake_record(
    const char *name, const char *data_centre, uint64_t incarnation);

#endif
