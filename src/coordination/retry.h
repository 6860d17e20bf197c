/**
 * @file retry.h
 * Retry decisions: whether a failed attempt is retried, which outcome is
 * reported to the caller, and when an attempt counts as stalled.
 *
 * A non-idempotent request is never sent again once a byte of it may have been
 * sent. If the caller has part of the answer, the answer is resumed at that
 * position, never from its beginning. An answer that only the host has in part
 * is resumed as well, as long as that brings it on: it costs the upstream less
 * than a run from the beginning. Retries are paid from a budget that grows
 * with admitted requests, so losing a data centre causes no retry storm.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error_code.h"
#include "state/request.h"

/** How far an attempt got before it failed. */
enum attempt_stage {
	ATTEMPT_NOT_SENT = 0,  /**< No byte of it was sent. */
	ATTEMPT_SENT = 1,      /**< Some bytes may have been sent. */
	ATTEMPT_STREAMING = 2, /**< Part of its answer arrived. */
};

/** How an attempt failed. */
enum attempt_failure {
	ATTEMPT_REFUSED = 1,	 /**< The upstream refused to run it. */
	ATTEMPT_CONNECTION = 2,	 /**< The connection failed or broke off. */
	ATTEMPT_STALLED = 3,	 /**< No progress for too long. */
	ATTEMPT_ERROR = 4,	 /**< The upstream answered with an error. */
	ATTEMPT_CANCELLED = 5,	 /**< The caller disconnected. */
	ATTEMPT_DEADLINE = 6,	 /**< The deadline passed. */
	ATTEMPT_NO_CAPACITY = 7, /**< No upstream had a free slot. */
};

/** What to do after a failed attempt. */
enum retry_action {
	RETRY_GIVE_UP = 0, /**< Report the failure to the caller. */
	RETRY_RERUN = 1,   /**< Start again at another upstream. */
	RETRY_RESUME = 2,  /**< Continue the answer at another upstream. */
};

/** Settings of retries; a zero field takes its default. */
struct retry_settings {
	double budget_ratio;   /**< Retries earned per admitted request. */
	uint32_t budget_max;   /**< Most retries that can be saved up. */
	uint32_t attempts_max; /**< Most attempts of one request. */
	/** Silence that is a stall, in multiples of the predicted interval. */
	double stall_factor;
	uint32_t stall_min_ms; /**< Shortest silence that is a stall. */
	/** Longest silence before a stall, as a share of the time from the last
	 * progress to the deadline. */
	double stall_deadline_share;
	uint32_t backoff_ms;	 /**< First backoff; doubles, with jitter. */
	uint32_t backoff_max_ms; /**< Longest backoff. */
};

/** Retry budget of the host. Safe for use from any thread. */
struct retry_budget {
	_Atomic int64_t thousandths; /**< Saved retries, in thousandths. */
};

/** Description of a failed attempt. */
struct attempt_report {
	uint32_t attempt;	      /**< Number of the attempt, from 1. */
	enum attempt_stage stage;     /**< How far the attempt got. */
	enum attempt_failure failure; /**< How the attempt failed. */
	uint64_t delivered;	      /**< Pieces of the answer delivered. */
	bool may_have_run;	      /**< An earlier attempt may have run. */
	bool can_resume;	      /**< An answer can be resumed. */
	double expected_ms; /**< Predicted duration of another attempt. */
	bool says_failed;   /**< The upstream said that the attempt failed. */
	uint64_t received;  /**< Pieces of the answer that the host has. */
	/** The upstream runs on, so it may still have the rest of the answer
	 * after its connection ended. */
	bool upstream_runs;
};

/** Result of retry_decide(). */
struct retry_decision {
	enum retry_action action;     /**< What to do next. */
	uint32_t pause_ms;	      /**< Backoff before another attempt. */
	enum request_outcome outcome; /**< Outcome reported on giving up. */
	enum error_code error;	      /**< Error reported on giving up. */
};

/** Replaces zero fields of the settings with the defaults. */
void retry_settings_fill(struct retry_settings *settings);
/** Initialises a full budget. */
void retry_budget_init(
    struct retry_budget *budget, const struct retry_settings *settings);
/** Adds the share of a retry that an admitted request earns. */
void retry_budget_record_admitted(
    struct retry_budget *budget, const struct retry_settings *settings);
/** Decides what to do after a failed attempt, and takes a retry from the budget
 * if there is to be another. @p jitter is a random number from 0 to 1. */
struct retry_decision retry_decide(const struct retry_settings *settings,
    struct retry_budget *budget, const struct request_facts *facts,
    const struct attempt_report *report, double jitter, int64_t now_ms);
/** Outcome that may be reported for a request whose last attempt failed like
 * this. */
enum request_outcome retry_classify(const struct attempt_report *report);

/** Time at which silence since @p last_progress_ms becomes a stall, always
 * before the deadline; @p expected_ms is the predicted interval to the next
 * piece of the answer. */
int64_t retry_stall_at(const struct retry_settings *settings,
    double expected_ms, int64_t last_progress_ms, int64_t deadline_ms);

#endif
