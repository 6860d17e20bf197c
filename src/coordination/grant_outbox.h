/**
 * @file grant_outbox.h
 * Collects offers and sends them in as few GRANT messages as can be.
 */
#ifndef GRANT_OUTBOX_H
#define GRANT_OUTBOX_H

#include <glib.h>

#include "protocol/grant_message.h"
#include "protocol/peer_port.h"

/** An offer and the ask that it answers. */
struct outbox_offer {
	uint32_t host_id;	  /**< To whom. */
	uint64_t instance;	  /**< Its process. */
	uint64_t sequence;	  /**< Its ask. */
	struct grant_offer offer; /**< The row. */
};

/** Offers that wait. */
struct grant_outbox {
	GArray *offers; /**< struct outbox_offer. */
};

/** Prepares an empty outbox. */
void grant_outbox_init(struct grant_outbox *outbox);
/** Gives back memory. */
void grant_outbox_finish(struct grant_outbox *outbox);
/** Adds an offer. */
void grant_outbox_add(
    struct grant_outbox *outbox, const struct outbox_offer *offer);
/** Sends all of them; gives how many. */
uint32_t grant_outbox_send(
    struct grant_outbox *outbox, const struct peer_port *port);

#endif
