/**
 * @file grant_holder_parts.h
 * Declarations that the source files of the grant holder share: grant_holder.c
 * keeps the grants, grant_report.c tells their owners what is needed. Private
 * to them.
 */
#ifndef GRANT_HOLDER_PARTS_H
#define GRANT_HOLDER_PARTS_H

#include "coordination/grant_holder.h"
#include "protocol/grant_message.h"

#define PERCENT 100 /**< Parts of a whole in a percentage. */

/** A report sequence holds the milliseconds since the holder's start above this
 * many bits, which number the reports of one millisecond. */
#define SEQUENCE_SHIFT 10

/** An upstream that this host may use, with its slot and its last grant. */
struct held_upstream {
	uint64_t id;		    /**< Id of the upstream. */
	uint64_t incarnation;	    /**< Its incarnation. */
	struct capacity_slot *slot; /**< What is granted and used. */
	bool is_closed; /**< Kept only until its running requests have ended. */
	uint64_t term;	/**< Owner's epoch when it made the last offer. */
	uint64_t offer_number; /**< Number of the last offer applied. */
	struct capacity_amount ceiling; /**< Amount that the slot grants. */
	int64_t expires_ms;		/**< When the grant expires. */
	int64_t duration_ms;		/**< Duration of the last grant. */
	uint32_t warmth;		/**< Last warm-up bound, 0 to 1000. */
	struct capacity_amount waiting; /**< Demand of waiting requests. */
	/** Demand of the largest single waiting request, zero if none waits. */
	struct capacity_amount largest_waiting;
	struct capacity_amount peak; /**< Recent peak of demand, decaying. */
	uint32_t in_time_answers;    /**< Answers in time since last report. */
	bool is_cold; /**< Evidence of cold that the owner has not confirmed. */
	struct capacity_amount reported_use; /**< Use in the last report. */
	uint64_t report_sequence;   /**< Sequence of the last report. */
	uint64_t answered_sequence; /**< Last report that was answered. */
	int64_t reported_ms;	    /**< When the last report was sent. */
	int64_t last_active_ms;	    /**< Last time with use or demand. */
	bool has_unconfirmed;	    /**< Cold evidence or a returned grant
					  that the owner has not confirmed. */
	/** First report with that news, or 0. */
	uint64_t unconfirmed_sequence;
	bool must_request_grant; /**< Next flush reports and wants offers. */
	bool must_report;	 /**< Next flush reports and wants no answer. */
};

/* grant_report.c */

/** Sends the reports that are due to the owners: those that want an offer in
 * answer, or those that want none. */
void grant_flush_reports(struct grant_holder *holder, bool wants_answer);
/** Fills a row of a demand report. It requests the recent peak of demand plus
 * headroom, and says which percentage of that is needed now. */
void grant_fill_report_row(const struct grant_holder *holder,
    struct held_upstream *entry, struct grant_report *row);
/** Answers a new owner's query with what this host runs on the upstreams of
 * that owner. Errors: ERROR_STALE for a query of another epoch. */
enum error_code grant_answer_query(struct grant_holder *holder,
    uint32_t from_host, const struct grant_header *header);

#endif
