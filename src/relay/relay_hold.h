/**
 * @file relay_hold.h
 * Reserves memory at helpers for a prompt that is too large for one engine.
 *
 * A reservation (hold) expires a few seconds after its host stops renewing it,
 * so a host that crashes leaves no memory reserved. Reservations are released
 * when their attempt ends, whether it succeeded or failed.
 */
#ifndef RELAY_HOLD_H
#define RELAY_HOLD_H

#include <stdbool.h>

#include <glib.h>

#include "base/error_code.h"
#include "placement/placement.h"
#include "transport/timer.h"

/** Size of a reservation id as text, in bytes with the final NUL. */
#define RELAY_HOLD_ID_SIZE 24

struct relay;

/** Reservations of one attempt. All zero means no reservations. */
struct relay_holds {
	GPtrArray *list;     /**< Array of struct hold (private to
				  relay_hold.c); NULL for none. */
	struct handle timer; /**< Timeout of reserving, then next renewal. */
	/** Called with ERROR_NONE once all reservations are made, or with the
	 * error of the first one that failed, for example ERROR_NO_CAPACITY. */
	void (*done)(void *context, enum error_code error);
	void *context; /**< Passed to done(). */
};

/** Orders the reservations in @p choice from its helpers. @p done is called
 * when all are made or one has failed, never before this function returns. */
void relay_holds_begin(struct relay_holds *holds, struct relay *relay,
    const struct placement_choice *choice,
    void (*done)(void *context, enum error_code error), void *context);
/** Releases all reservations; done() is not called any more. */
void relay_holds_end(struct relay_holds *holds, struct relay *relay);
/** Returns the id of the reservation at helper @p index, NULL for none. */
const char *relay_holds_id(const struct relay_holds *holds, uint32_t index);
/** Cancels the releases in progress when the relay stops; the reservations then
 * expire. */
void relay_holds_cancel_releases(struct relay *relay);

#endif
