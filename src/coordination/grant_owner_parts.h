/**
 * @file grant_owner_parts.h
 * Declarations shared by the sources of the grant owner: grant_owner.c grants
 * capacity, grant_takeover.c changes the owner of an upstream.
 */
#ifndef GRANT_OWNER_PARTS_H
#define GRANT_OWNER_PARTS_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/grant_ledger.h"
#include "coordination/grant_outbox.h"
#include "coordination/grant_owner.h"

/** Phase of the ownership of an upstream. */
enum ledger_phase {
	PHASE_NOT_OWNED = 0, /**< Another host owns the upstream. */
	PHASE_WAITING,	     /**< An older owner's grants may be in force. */
	PHASE_QUERYING,	     /**< Live hosts are queried for what they run. */
	PHASE_GRANTING,	     /**< The ledger is complete; grants are made. */
	PHASE_HANDING_OVER,  /**< The ledger is being sent to the new owner. */
};

/** An upstream that this host knows, owned or not. */
struct owned_upstream {
	uint64_t id;		 /**< Id of the upstream. */
	bool is_active;		 /**< Upstream accepts new requests. */
	enum ledger_phase phase; /**< Phase of the ownership of the upstream. */
	bool is_listed; /**< The upstream is listed in grant_owner.owned. */
	uint64_t term;	/**< Epoch in which the takeover began; while
				      handing over, the new owner's epoch. */
	uint32_t next_owner;	/**< Host that gets the ledger. */
	int64_t phase_until_ms; /**< When waiting, querying or handing over
				     ends at the latest. */
	int64_t orphans_end_ms; /**< Engines have ended all requests of removed
				     hosts by then. */
	uint64_t query_number;	/**< First query whose answers count. */
	uint64_t warmth_term;	/**< Term of the offer that set warmth. */
	/** Number of the offer that the warmth came from. */
	uint64_t warmth_offer_number;
	uint32_t warmth; /**< Latest warm-up bound known to a holder, from 0
			      to 1000. */
	bool is_cold;	 /**< A holder reported evidence of cold. */
	struct warmup warmup;	    /**< Warm-up bound and its evidence. */
	struct grant_ledger ledger; /**< What has been granted to whom. */
};

/** Context of handling one message or timer event. */
struct owner_event {
	struct grant_owner *owner;  /**< Owner that handles the event. */
	struct grant_outbox outbox; /**< Offers to send at the end. */
	int64_t now_ms;		    /**< Time of the event. */
};

/* grant_owner.c */

/** Returns a known upstream by its id, or NULL. */
struct owned_upstream *grant_owner_find(
    const struct grant_owner *owner, uint64_t upstream_id);
/** Divides an upstream's capacity among its holders and collects the offers
 * that changed. Does nothing outside PHASE_GRANTING. */
void grant_owner_divide(
    struct owner_event *event, struct owned_upstream *upstream);

/* grant_takeover.c */

/** Applies a changed owner map to an upstream: takes it over, keeps it or hands
 * it over to the new owner. */
void takeover_change_owner(struct owner_event *event,
    struct owned_upstream *upstream, enum owner_map_change change);
/** Starts to take an upstream over. */
void takeover_start(struct owner_event *event, struct owned_upstream *upstream);
/** Advances all upstreams being taken over to the next phase that is due, and
 * sends or repeats the query to the live hosts. */
void takeover_advance(struct owner_event *event);
/** Sends the ledger of an upstream to its new owner. */
void takeover_send_ledger(
    struct owner_event *event, struct owned_upstream *upstream);
/** Handles a USE_ANSWER, a holder's answer to a query. Errors: ERROR_STALE for
 * another epoch, those of reading the rows. */
enum error_code takeover_receive_use(struct owner_event *event,
    uint32_t from_host, const struct grant_reader *reader);
/** Handles a LEDGER message, the ledger of an older owner. Errors: ERROR_STALE,
 * ERROR_MALFORMED, those of reading the rows. */
enum error_code takeover_receive_ledger(struct owner_event *event,
    uint32_t from_host, const struct grant_reader *reader);
/** Handles a LEDGER_TAKEN message: the new owner has the ledger, so it is
 * deleted here. Errors: ERROR_STALE, those of reading the rows. */
enum error_code takeover_receive_ledger_taken(struct owner_event *event,
    uint32_t from_host, const struct grant_reader *reader);
/** Raises the offer number to one that a holder reports for this epoch. After a
 * restart within the epoch, offers then get numbers that no holder knows. */
void takeover_raise_offer_number(
    struct owner_event *event, const struct grant_report *report);

#endif
