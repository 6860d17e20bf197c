/**
 * @file grant_ledger.h
 * An owner's record of the capacity of one upstream that it has granted to
 * each holder, and the division of the upstream's capacity among the holders.
 *
 * For each holder the ledger counts an upper bound of the work that may be
 * running there. It only calculates: it sends nothing and reads no clock. All
 * times are in milliseconds of the owner's clock.
 */
#ifndef GRANT_LEDGER_H
#define GRANT_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/grant_message.h"
#include "state/capacity_slot.h"

/** A host that holds, or wants, capacity of the upstream. */
struct ledger_holder {
	uint32_t host_id;  /**< Id of the host. */
	uint64_t instance; /**< Number of the host's process. */
	/** Sequence of the holder's last demand report. */
	uint64_t report_sequence;
	int64_t reported_ms;	      /**< When that report arrived. */
	uint64_t term;		      /**< Owner's epoch at the last offer. */
	uint64_t offer_number;	      /**< Number of the last offer. */
	uint64_t offered_incarnation; /**< Never set or read. */
	/** The holder's last report confirmed the last offer. */
	bool is_acked;
	bool is_largest_granted; /**< An offer had room for largest_waiting and
				      the holder has not confirmed it yet. */
	bool must_send_offer;	 /**< The offer changed and must be sent. */
	struct capacity_amount offered; /**< Amount of the last offer. */
	struct capacity_amount counted; /**< Upper bound of what may run. */
	struct capacity_amount used;	/**< Reported as running. */
	struct capacity_amount needed;	/**< Reported as running or waiting. */
	struct capacity_amount wanted;	/**< needed with some headroom. */
	/** Demand of the largest single waiting request, or zero. */
	struct capacity_amount largest_waiting;
	/** What may still run for an earlier process of the host, or under
	 * grants for an earlier incarnation of the upstream. */
	struct capacity_amount draining;
	int64_t draining_until_ms; /**< When the draining work has ended. */
	bool draining_ends_on_ack; /**< It belongs to an earlier incarnation,
					so the next acknowledgement ends it. */
	int64_t expires_ms;	   /**< When the last grant expires. */
	int64_t removed_until_ms;  /**< When engines have ended the work of a
					host removed from the live set; 0 for
					a live host. */
	int64_t unmet_since_ms; /**< Since when largest_waiting has not fitted
				     the offer, or 0. */
};

/** The ledger of an upstream; grant_ledger_init() must have prepared it. */
struct grant_ledger {
	GArray *holders; /**< Elements are struct ledger_holder, unordered. */
};

/* Setting up */

/** Initialises an empty ledger. */
void grant_ledger_init(struct grant_ledger *ledger);
/** Frees the memory of a ledger. */
void grant_ledger_finish(struct grant_ledger *ledger);
/** Removes all holders. */
void grant_ledger_clear(struct grant_ledger *ledger);

/* Holders */

/** Returns the number of holders. */
uint32_t grant_ledger_count(const struct grant_ledger *ledger);
/** Returns a holder by index; adding a holder invalidates the pointer. */
struct ledger_holder *grant_ledger_get(
    const struct grant_ledger *ledger, uint32_t index);
/** Returns the holder with a host id, or NULL. */
struct ledger_holder *grant_ledger_find(
    const struct grant_ledger *ledger, uint32_t host_id);
/** Returns the holder with a host id, added if there is none. */
struct ledger_holder *grant_ledger_find_or_add(
    struct grant_ledger *ledger, uint32_t host_id);

/* Changes */

/** Records which process of a holder sent a message. If the process is newer,
 * what an earlier one may be running stays counted for @p orphan_drain_ms. */
void grant_ledger_record_process(struct ledger_holder *holder,
    uint64_t instance, int64_t now_ms, int64_t orphan_drain_ms);
/** Applies a demand report of a holder. Returns false, and ignores the report,
 * if it isn't newer than the last one. Work of an earlier process of the
 * holder stays counted for @p orphan_drain_ms. */
bool grant_ledger_record_report(struct ledger_holder *holder,
    const struct grant_header *header, const struct grant_report *report,
    int64_t now_ms, int64_t orphan_drain_ms);
/** Moves all grants to draining after the upstream got a new incarnation. The
 * old one's work has ended, but its grants stay counted until they expire or
 * the holder acknowledges an offer for the new incarnation. */
void grant_ledger_restart(struct grant_ledger *ledger);
/** Removes draining work that has ended, and holders for which nothing can be
 * running: those without grants or demand, and those whose grants expired and
 * whose last report came at least @p drain_ms ago. */
void grant_ledger_expire(
    struct grant_ledger *ledger, int64_t now_ms, int64_t drain_ms);
/** Divides @p bound among the holders: sets new offers such that the sum of
 * what is counted stays within it, and marks changed ones with
 * must_send_offer. Holders whose last report arrived before @p reachable_ms
 * get no new offer. */
void grant_ledger_divide(struct grant_ledger *ledger,
    const struct capacity_amount *bound, int64_t reachable_ms);

/* Sums */

/** Returns the upper bound of the work that may be running for all holders. */
struct capacity_amount grant_ledger_counted(const struct grant_ledger *ledger);

#endif
