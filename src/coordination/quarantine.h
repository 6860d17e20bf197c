/**
 * @file quarantine.h
 * Which requests crash upstreams.
 *
 * After one crash a request that was on board may run next only alone; after
 * a second that weighs on it, it is quarantined on all hosts for a time. A
 * crash weighs on each request on board by one over their number, so a crowd
 * is never quarantined by crowded crashes. Crashes of several upstreams of
 * one data centre close together are one event and weigh on nobody who was
 * on only one of them. Requests are named by their fingerprint.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "transport/timer.h"

/** What may be done with a request. */
enum quarantine_verdict {
	QUARANTINE_RUN = 0,	  /**< Nothing is known against it. */
	QUARANTINE_RUN_ALONE = 1, /**< Only with nobody beside it. */
	QUARANTINE_REFUSE = 2,	  /**< Not now: ERROR_QUARANTINED. */
};

/** Settings; see quarantine_default_settings(). */
struct quarantine_settings {
	int64_t suspect_ms;	  /**< How long a suspicion lasts. */
	int64_t quarantine_ms;	  /**< How long a quarantine lasts. */
	int64_t event_ms;	  /**< Crashes this close are one event. */
	uint32_t event_upstreams; /**< So many of one are nobody's fault. */
	uint32_t capacity;	  /**< Fingerprints known; the oldest goes. */
};

/** A verdict to be committed, so that all hosts know it. */
struct quarantine_entry {
	uint64_t fingerprint;		 /**< Whose. */
	enum quarantine_verdict verdict; /**< RUN takes a suspicion back. */
	uint32_t crashes;		 /**< Events that weigh on it. */
	uint32_t weight_permille;	 /**< Their weight, 1000 is certain. */
	int64_t remaining_ms;		 /**< How long it lasts. */
};

/** To whom it reports. */
struct quarantine_ops {
	/** Asks for entries to be committed; repeated by the callee. */
	void (*commit)(void *context, const struct quarantine_entry *entries,
	    uint32_t count);
	void *context; /**< Passed back. */
};

/** A crash, as the host that saw its connections break knows it. */
struct quarantine_crash {
	uint64_t upstream_id;	      /**< Which upstream. */
	uint64_t incarnation;	      /**< Which of its lives. */
	const char *data_centre;      /**< Where it stood. */
	const uint64_t *fingerprints; /**< This host's requests on board. */
	uint32_t count;		      /**< How many of them. */
	uint32_t beside;	      /**< Other hosts' requests on board. */
};

/** The table. */
struct quarantine {
	struct quarantine_settings settings; /**< As given. */
	struct quarantine_ops ops;	     /**< To whom it reports. */
	struct timer_service *timers;	     /**< Time. */
	GHashTable *suspects;		     /**< By fingerprint. */
	GHashTable *events;		     /**< Latest, by data centre. */
	GQueue *order;			     /**< Fingerprints, oldest first. */
	uint64_t next_event;		     /**< Number of the next event. */
	struct handle tick;		     /**< Commits and expires. */
};

/* Setting up */

/** Settings for today's sizes. */
struct quarantine_settings quarantine_default_settings(void);
/** Prepares an empty table. */
enum error_code quarantine_init(struct quarantine *quarantine,
    const struct quarantine_settings *settings,
    const struct quarantine_ops *ops, struct timer_service *timers);
/** Gives back memory. */
void quarantine_finish(struct quarantine *quarantine);

/* Requests, on the coordination thread */

/** What may be done with a request now. */
enum quarantine_verdict quarantine_check(
    const struct quarantine *quarantine, uint64_t fingerprint);
/** An upstream crashed with requests on board; an upstream that refused as
 * overloaded or was cancelled did not crash. */
void quarantine_note_crash(
    struct quarantine *quarantine, const struct quarantine_crash *crash);
/** A request ran to its end: nothing is held against it any more. */
void quarantine_note_done(struct quarantine *quarantine, uint64_t fingerprint);

/* The committed state */

/** An entry was committed, by this host or another. */
void quarantine_apply(
    struct quarantine *quarantine, const struct quarantine_entry *entry);

#endif
