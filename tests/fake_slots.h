/**
 * @file fake_slots.h
 * Capacity slots for a fleet view under test, and upstream records for it.
 */
#ifndef FAKE_SLOTS_H
#define FAKE_SLOTS_H

#include "coordination/fleet_view.h"

#define FAKE_SLOTS_MAX 512 /**< Most slots that can be opened. */

/** Slots in the order of opening; each one gets the same grant. */
struct fake_slots {
	struct capacity_slot
	    slots[FAKE_SLOTS_MAX]; /**< The slots; none is reused. */
	uint64_t upstream_ids[FAKE_SLOTS_MAX]; /**< Upstream of each slot. */
	bool dropped[FAKE_SLOTS_MAX];	       /**< True if it was dropped. */
	uint32_t count;			       /**< Slots opened so far. */
	struct capacity_amount grant;	       /**< Grant of each slot. */
};

/** Returns the slot callbacks of a fleet view; grants never expire. */
struct fleet_ops fake_slots_ops(struct fake_slots *slots);
/** Returns the open slot of the upstream @p id, NULL for none. */
struct capacity_slot *fake_slots_find(struct fake_slots *slots, uint64_t id);
/** Returns the record of an active upstream that serves model "m". */
struct upstream_record fake_upstream_record(
    const char *name, const char *data_centre, uint64_t incarnation);

#endif
