/**
 * @file relay_rules.h
 * Rules of the request relay: how an upstream's answer is classified, and what
 * follows when an attempt failed.
 *
 * The functions only decide and have no side effects. An answer is accepted
 * only if it belongs to the request and, if it reports success, bears the
 * upstream's receipt. A refusal, too, says nothing of any other request. A request that may have run is sent again only if its route allows
 * that, and the caller is told "not run" only if that is certain.
 */
#ifndef RELAY_RULES_H
#define RELAY_RULES_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/request_history.h"
#include "state/route_table.h"

/** What the status line and headers of an answer show. */
struct answer_facts {
	uint32_t status;	 /**< HTTP status code. */
	enum answer_owner owner; /**< Request to which the answer belongs. */
	bool has_receipt;     /**< The answer carries the upstream's receipt. */
	bool is_encoded;      /**< The body has a content encoding. */
	bool is_refusal;      /**< The upstream says that it did not run it. */
	bool is_event_stream; /**< The body is a stream of events. */
	/** Requests that the connection had carried before. */
	uint32_t requests_before;
};

/** Classification of an answer. */
enum answer_class {
	ANSWER_WHOLE = 1,   /**< Forward the answer once it is complete. */
	ANSWER_EVENTS = 2,  /**< Forward each event as it arrives. */
	ANSWER_NOT_RUN = 3, /**< The upstream did not run the request. */
	/** The answer does not bear what an answer to this request must, or
	 * contradicts itself; the request may have run. */
	ANSWER_MISMATCHED = 4,
	/** The answer belongs to an earlier request of the connection; that to
	 * this request may follow. */
	ANSWER_REPEATED = 5,
	/** A failure whose status means to callers that the request did not run,
	 * which the upstream's other header fields do not confirm. It is not
	 * forwarded. */
	ANSWER_UNFOUNDED = 6,
};

/** True for a status that the relay sends to callers only if the request did not
 * run and never will. */
bool status_promises_not_run(uint32_t status);
/** Classifies an answer by its status line and headers. */
enum answer_class classify_answer(const struct answer_facts *facts);
/** True if a complete answer with this status reports a failure that another
 * upstream might not have. */
bool answer_is_failure(uint32_t status);

/** State of a request after an attempt failed. */
struct attempt_state {
	enum route_kind kind;  /**< Kind of the request's route. */
	bool is_resumable;     /**< The route allows streams to be resumed. */
	bool may_have_run;     /**< Some attempt may have run. */
	bool has_answer_begun; /**< The caller has received a part of it. */
	/** The last attempt's answer is complete and can be forwarded. */
	bool is_last_whole;
	uint32_t sent;	   /**< Number of attempts that were sent. */
	uint32_t sent_max; /**< Largest number that the route allows. */
	uint32_t unsent;   /**< Attempts that got no connection or memory in
				   time. */
	/** Attempts at upstreams that have ended: nothing accepts connections
	 * there, which is found out at once. */
	uint32_t absent;
	bool has_budget;      /**< The retry budget is not used up. */
	int64_t remaining_ms; /**< Time until the request's deadline. */
};

/** What to do after an attempt failed. */
enum attempt_step {
	ATTEMPT_RETRY = 1,   /**< Send the request to another upstream. */
	ATTEMPT_DELIVER = 2, /**< Forward the last attempt's answer. */
	ATTEMPT_REFUSE = 3,  /**< Answer that the request did not run. */
	ATTEMPT_FAIL = 4,    /**< Answer that the request failed. */
	ATTEMPT_ABORT = 5,   /**< Abort the answer that has begun. */
};

/** How an upstream's refusal because of a failed helper is treated. */
enum fault_class {
	FAULT_COUNTS = 0, /**< The attempt counts like any other failed one. */
	/** The attempt does not count; retry the same upstream with other
	 * helpers. */
	FAULT_EXCUSED = 1,
	/** The attempt does not count; retry the same upstream without
	 * helpers. */
	FAULT_EXCUSED_NO_HELPERS = 2,
};

/** Chooses what to do after an attempt failed. */
enum attempt_step choose_attempt_step(const struct attempt_state *state);
/** True if a request may be sent again although it may have run. */
bool may_repeat_request(enum route_kind kind, bool is_resumable);
/** Classifies a refusal because of a failed helper; @p excused is the number of
 * such refusals of this request that were excused before. */
enum fault_class classify_helper_fault(uint32_t excused);

#endif
