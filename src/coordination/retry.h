/**
 * @file retry.h
 * What to do when an attempt failed, what to say of it, and when it stalls.
 *
 * A non-idempotent request is never sent again once a byte of it may have
 * left. Text that the caller has is continued by a resume, never repeated by
 * a re-run. Retries are paid from a budget that grows with admitted requests,
 * so the loss of a data centre brings no retry storm.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "state/request.h"

/** How far an attempt came. */
enum attempt_stage {
	ATTEMPT_NOT_SENT = 0,  /**< No byte of it left this host. */
	ATTEMPT_SENT = 1,      /**< Some byte may have left. */
	ATTEMPT_STREAMING = 2, /**< Pieces of its answer came. */
};

/** How an attempt failed. */
enum attempt_failure {
	ATTEMPT_REFUSED = 1,	 /**< The upstream said that it did not run. */
	ATTEMPT_CONNECTION = 2,	 /**< The connection failed or broke off. */
	ATTEMPT_STALLED = 3,	 /**< No progress for too long. */
	ATTEMPT_ERROR = 4,	 /**< The upstream answered with an error. */
	ATTEMPT_CANCELLED = 5,	 /**< The caller went away. */
	ATTEMPT_DEADLINE = 6,	 /**< The deadline passed. */
	ATTEMPT_NO_CAPACITY = 7, /**< No slot could be taken. */
};

/** What to do. */
enum retry_action {
	RETRY_GIVE_UP = 0, /**< Give the final answer now. */
	RETRY_RERUN = 1,   /**< Send again from the start, elsewhere. */
	RETRY_RESUME = 2,  /**< Go on at the delivered position, elsewhere. */
};

/** Settings; zero means the default. */
struct retry_settings {
	double budget_ratio;	    /**< Retries allowed for each admitted. */
	uint32_t budget_max;	    /**< Most retries saved up. */
	uint32_t attempts_max;	    /**< Attempts of one request. */
	double stall_factor;	    /**< Of the expected interval. */
	uint32_t stall_min_ms;	    /**< Shortest silence that is a stall. */
	double stall_deadline_part; /**< Longest, as part of what is left. */
	uint32_t backoff_ms;	    /**< First pause; doubles, jittered. */
	uint32_t backoff_max_ms;    /**< Longest pause. */
};

/** The host's budget, in thousandths of a retry; any thread. */
struct retry_budget {
	_Atomic int64_t thousandths; /**< Saved up. */
};

/** A failed attempt. */
struct attempt_report {
	uint32_t attempt;	      /**< From 1. */
	enum attempt_stage stage;     /**< How far it came. */
	enum attempt_failure failure; /**< How it failed. */
	uint64_t delivered;	      /**< Pieces that the caller has. */
	bool ran_before;	      /**< An earlier attempt may have run. */
	bool can_resume;	      /**< The upstream's adapter can resume. */
	double expected_ms; /**< Predicted time of a further attempt. */
};

/** What to do and what to say. */
struct retry_verdict {
	enum retry_action action;     /**< What to do. */
	uint32_t pause_ms;	      /**< Before a further attempt. */
	enum request_outcome outcome; /**< To say when giving up. */
	enum error_code error;	      /**< To say when giving up. */
};

/** Fills zero settings with the defaults. */
void retry_settings_fill(struct retry_settings *settings);
/** Starts with a full budget. */
void retry_budget_init(
    struct retry_budget *budget, const struct retry_settings *settings);
/** Counts an admitted request in. */
void retry_budget_note_admitted(
    struct retry_budget *budget, const struct retry_settings *settings);
/** Decides, and takes from the budget if it goes on. @p jitter is from 0
 * to 1. */
struct retry_verdict retry_decide(const struct retry_settings *settings,
    struct retry_budget *budget, const struct request_facts *facts,
    const struct attempt_report *report, double jitter, int64_t now_ms);
/** Outcome that may be said of a request that ended so. */
enum request_outcome retry_classify(const struct attempt_report *report);

/** When silence since @p last_progress_ms becomes a stall; always before the
 * deadline. @p expected_ms: time predicted to the next piece. */
int64_t retry_stall_at(const struct retry_settings *settings,
    double expected_ms, int64_t last_progress_ms, int64_t deadline_ms);

#endif
