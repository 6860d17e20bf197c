/**
 * @file grant_outbox.h
 * Collects offers to holders and sends them in as few GRANT messages as
 * possible: one for each report that is answered.
 */
#ifndef GRANT_OUTBOX_H
#define GRANT_OUTBOX_H

#include <glib.h>

#include "protocol/grant_message.h"
#include "protocol/peer_port.h"

/** An offer and the demand report that it answers. */
struct outbox_offer {
	uint32_t host_id;	  /**< Host that the offer goes to. */
	uint64_t instance;	  /**< Process of that host. */
	uint64_t sequence;	  /**< Sequence of the answered report. */
	struct grant_offer offer; /**< Row of the GRANT message. */
};

/** The offers that have not been sent yet. */
struct grant_outbox {
	GArray *offers; /**< Elements are struct outbox_offer. */
};

/** Initialises an empty outbox. */
void grant_outbox_init(struct grant_outbox *outbox);
/** Frees the outbox; unsent offers are lost. */
void grant_outbox_finish(struct grant_outbox *outbox);
/** Adds an offer for the next grant_outbox_send(). */
void grant_outbox_add(
    struct grant_outbox *outbox, const struct outbox_offer *offer);
/** Sends and removes all offers; returns how many there were. */
uint32_t grant_outbox_send(
    struct grant_outbox *outbox, const struct peer_port *port);

#endif
