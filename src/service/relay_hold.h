/**
 * @file relay_hold.h
 * Memory reserved at helpers, for a prompt that is too large for one engine.
 *
 * A reservation runs out by itself soon after its host stops renewing it, so
 * a host that dies leaves nothing behind. It is released when its attempt
 * ends, however that is.
 */
#ifndef RELAY_HOLD_H
#define RELAY_HOLD_H

#include <stdbool.h>

#include <glib.h>

#include "base/error_code.h"
#include "coordination/placement.h"
#include "transport/timer.h"

#define RELAY_HOLD_ID_SIZE 24 /**< Bytes of a reservation's id as text. */

struct relay;

/** The reservations of one attempt; zero is none. */
struct relay_holds {
	GPtrArray *list;     /**< struct hold, see source; NULL for none. */
	struct handle timer; /**< Until they are renewed. */
	/** All are there, or ERROR_NO_CAPACITY and the like: none is. */
	void (*done)(void *context, enum error_code error);
	void *context; /**< Passed back. */
};

/** Reserves what @p choice says at its first helpers. */
void relay_holds_begin(struct relay_holds *holds, struct relay *relay,
    const struct placement_choice *choice,
    void (*done)(void *context, enum error_code error), void *context);
/** Releases all; done() is not called any more. */
void relay_holds_end(struct relay_holds *holds, struct relay *relay);
/** Id of the reservation at helper @p index, NULL for none. */
const char *relay_holds_id(const struct relay_holds *holds, uint32_t index);
/** Gives up the releases under way, when the relay closes. */
void relay_holds_forget(struct relay *relay);

#endif
