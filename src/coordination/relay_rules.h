/**
 * @file relay_rules.h
 * What an upstream's answer means, and what to do when an attempt failed.
 *
 * Pure decisions of the request relay. An answer counts only with its
 * receipt and the id of the attempt. Whatever may have run is repeated only
 * if its route allows it; a refusal says "not run" only if that is certain.
 */
#ifndef RELAY_RULES_H
#define RELAY_RULES_H

#include <stdbool.h>
#include <stdint.h>

#include "state/route_table.h"

/** What the head of an answer shows. */
struct answer_facts {
	uint32_t status;      /**< HTTP status. */
	bool is_own_attempt;  /**< It carries the id of this attempt. */
	bool has_receipt;     /**< It carries the upstream's receipt. */
	bool is_encoded;      /**< Its body was encoded on the way. */
	bool is_refusal;      /**< The upstream says that it did not run. */
	bool is_event_stream; /**< Its body is a series of events. */
};

/** What the answer is. */
enum answer_verdict {
	ANSWER_WHOLE = 1,   /**< Pass it on once it is complete. */
	ANSWER_EVENTS = 2,  /**< Pass it on as it comes. */
	ANSWER_NOT_RUN = 3, /**< The request did not run there. */
	ANSWER_FOREIGN = 4, /**< Not an answer to this request. */
};

/** Judges the head of an answer. */
enum answer_verdict answer_judge(const struct answer_facts *facts);
/** True if a whole answer tells of a failure that another upstream may not
 * have. */
bool answer_is_failure(uint32_t status);

/** Where a request stands after an attempt failed. */
struct attempt_state {
	enum route_kind kind;  /**< Of its route. */
	bool is_resumable;     /**< Of its route. */
	bool may_have_run;     /**< Some attempt may have run. */
	bool has_answer_begun; /**< The caller has part of an answer. */
	bool is_last_whole;    /**< The last attempt's answer is whole and
					can be passed on. */
	uint32_t sent;	       /**< Attempts that were sent. */
	uint32_t sent_max;     /**< Allowed by the route. */
	uint32_t unsent;       /**< Attempts without a connection. */
	bool has_budget;       /**< Retries are not used up. */
	int64_t left_ms;       /**< Until the time limit. */
};

/** What to do. */
enum attempt_step {
	ATTEMPT_AGAIN = 1,   /**< Try another upstream. */
	ATTEMPT_DELIVER = 2, /**< Pass the last answer on. */
	ATTEMPT_REFUSE = 3,  /**< Say that it did not run. */
	ATTEMPT_FAIL = 4,    /**< Say that it failed. */
	ATTEMPT_BREAK = 5,   /**< Break the answer that has begun. */
};

/** What an upstream's refusal for a helper's fault means. */
enum fault_step {
	FAULT_COUNTS = 0,	 /**< An attempt like any other. */
	FAULT_EXCUSED = 1,	 /**< The same upstream, other helpers. */
	FAULT_EXCUSED_ALONE = 2, /**< The same upstream, no helpers. */
};

/** Decides. */
enum attempt_step attempt_next(const struct attempt_state *state);
/** True if the request may be sent again after it may have run. */
bool attempt_may_repeat(enum route_kind kind, bool is_resumable);
/** Decides; excused: refusals of this request that were excused before. */
enum fault_step helper_fault_next(uint32_t excused);

#endif
