/**
 * @file grant_ledger.h
 * What an owner has granted of one upstream, and how it is divided.
 *
 * For each holder it counts an upper bound of what may be running there. Pure
 * arithmetic; the times are those of the owner's clock.
 */
#ifndef GRANT_LEDGER_H
#define GRANT_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/grant_message.h"
#include "state/capacity_slot.h"

/** A holder's line. */
struct ledger_holder {
	uint32_t host_id;		/**< Whose. */
	uint64_t instance;		/**< Its process. */
	uint64_t sequence;		/**< Its last ask. */
	int64_t asked_ms;		/**< When that came. */
	uint64_t term;			/**< Epoch of the last offer. */
	uint64_t number;		/**< Of the last offer. */
	uint64_t told_incarnation;	/**< Incarnation of the last offer. */
	bool is_acked;			/**< The last offer was acknowledged. */
	bool is_served;			/**< It got room for its largest, and
					  has not said so yet. */
	bool is_changed;		/**< An offer must be sent. */
	struct capacity_amount offered; /**< By the last offer. */
	struct capacity_amount counted; /**< It may be running so much. */
	struct capacity_amount used;	/**< It said that it runs so much. */
	struct capacity_amount needed;	/**< It runs and waits for so much. */
	struct capacity_amount wanted;	/**< The same with some spare. */
	struct capacity_amount largest; /**< Its largest single wait. */
	struct capacity_amount draining; /**< Of an earlier process, or of an
					      earlier incarnation. */
	int64_t draining_until_ms;	 /**< When that has ended. */
	bool draining_ends_on_ack;	 /**< Of an earlier incarnation. */
	int64_t expires_ms;		 /**< End of its grants. */
	int64_t gone_ms;  /**< Work has ended then; 0 while it is live. */
	int64_t unmet_ms; /**< Since when its largest waits, 0 for none. */
};

/** The ledger: struct ledger_holder in no order. Zero is not a start. */
struct grant_ledger {
	GArray *holders; /**< Lines. */
};

/* Setting up */

/** Starts an empty ledger. */
void grant_ledger_init(struct grant_ledger *ledger);
/** Gives back memory. */
void grant_ledger_finish(struct grant_ledger *ledger);
/** Forgets all lines. */
void grant_ledger_clear(struct grant_ledger *ledger);

/* Lines */

/** How many lines there are. */
uint32_t grant_ledger_count(const struct grant_ledger *ledger);
/** A line by index; moves when lines are added. */
struct ledger_holder *grant_ledger_at(
    const struct grant_ledger *ledger, uint32_t index);
/** The line of a host, NULL if there is none. */
struct ledger_holder *grant_ledger_find(
    const struct grant_ledger *ledger, uint32_t host_id);
/** The line of a host, made if there is none. */
struct ledger_holder *grant_ledger_open(
    struct grant_ledger *ledger, uint32_t host_id);

/* Changes */

/** Notes which process of a holder speaks: what an earlier one left running is
 * counted for @p gone_drain_ms more. */
void grant_ledger_note_process(struct ledger_holder *holder, uint64_t instance,
    int64_t now_ms, int64_t gone_drain_ms);
/** Takes what a holder says of itself; false for an ask that is not newer.
 * @p gone_drain_ms bounds what an earlier process of it left running. */
bool grant_ledger_note_ask(struct ledger_holder *holder,
    const struct grant_head *head, const struct grant_ask *ask, int64_t now_ms,
    int64_t gone_drain_ms);
/** The upstream has a new incarnation: the old one's work is over, but its
 * grants are counted until they end or the holder knows better. */
void grant_ledger_restart(struct grant_ledger *ledger);
/** Drops what has ended: grants, drained work and empty lines. */
void grant_ledger_expire(
    struct grant_ledger *ledger, int64_t now_ms, int64_t drain_ms);
/** Sets new offers so that the counted sum stays within @p bound; marks the
 * lines whose offer changed. Lines that last asked before @p reachable_ms get
 * nothing more. */
void grant_ledger_divide(struct grant_ledger *ledger,
    const struct capacity_amount *bound, int64_t reachable_ms);

/* Sums */

/** Upper bound of all that is running. */
struct capacity_amount grant_ledger_counted(const struct grant_ledger *ledger);

#endif
