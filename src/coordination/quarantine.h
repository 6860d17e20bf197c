/**
 * @file quarantine.h
 * Finds requests that crash upstreams, and keeps them from running.
 *
 * After one crash, each request that was running on the upstream is a
 * suspect and may run next only alone on an upstream. After a second crash
 * that counts against it, and if the weight of both is high enough, all
 * hosts quarantine it for a time; after a third one they do so whatever the
 * weight. A crash weighs on each running request by one divided by their
 * number. So requests are not quarantined merely because they ran twice
 * among many others that crashed. If several upstreams of one data centre
 * crash within a short time, this is one event, and it does not count
 * against requests that ran on only one of them; each upstream of it from
 * the third on counts against a request that ran on all of them. Requests
 * are identified by their fingerprint.
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base/error_code.h"
#include "state/replicated_state.h"
#include "transport/timer.h"

/** Whether a request may run. */
enum quarantine_action {
	QUARANTINE_RUN = 0,	  /**< The request may run; it is no suspect. */
	QUARANTINE_RUN_ALONE = 1, /**< The request may run only alone on an
				       upstream. */
	/** The request is refused with ERROR_QUARANTINED. */
	QUARANTINE_REFUSE = 2,
	/** The request may run as the only one for a time, to try a part of its
	 * prompt that was quarantined. */
	QUARANTINE_TRY = 3,
};

/** What applies to a suspected or quarantined request. */
struct quarantine_verdict {
	uint64_t fingerprint;	       /**< Fingerprint of the request. */
	enum quarantine_action action; /**< What applies until until_ms. */
	int64_t until_ms; /**< Time on this host's clock at which it ends. */
};

/** Settings; see quarantine_default_settings(). */
struct quarantine_settings {
	int64_t suspect_ms;    /**< Time that a request remains a suspect. */
	int64_t quarantine_ms; /**< Duration of a quarantine. */
	int64_t event_gap_ms;  /**< Crashes of one data centre at most this far
				     apart are one event. */
	uint32_t event_upstreams_min; /**< Upstreams in an event from which it
					   doesn't count against requests that
					   ran on only one of them. */
	/** Time after its last crash from which a suspect is committed. Crashes
	 * of one event are mostly known by then. */
	int64_t commit_delay_ms;
	uint32_t suspects_max; /**< Largest number of suspects; a further one
				    replaces the oldest. */
	uint32_t host_id;      /**< Id of this host. */
};

/** What a host has found out about a request, to be committed so that all hosts
 * know it. */
struct quarantine_entry {
	uint64_t fingerprint;	       /**< Fingerprint of the request. */
	enum quarantine_action action; /**< QUARANTINE_RUN withdraws what all
					      hosts have found out. */
	uint32_t crashes;	  /**< Crashes that this host has counted. */
	uint32_t weight_permille; /**< Sum of their weights; 1000 is a crash
				       of an upstream that ran it alone. */
	int64_t remaining_ms;	  /**< Time until the entry expires. */
};

/** Callbacks of the table. */
struct quarantine_ops {
	/** Commits entries. The callee calls quarantine_record_commit() for each
	 * of them, also if it fails. */
	void (*commit)(void *context, const struct quarantine_entry *entries,
	    uint32_t count);
	void *context; /**< First argument of the callback. */
};

/** A crash, as seen by a host whose connections to the upstream broke. */
struct quarantine_crash {
	uint64_t upstream_id;	       /**< Id of the upstream. */
	uint64_t incarnation;	       /**< Incarnation that crashed. */
	const char *data_centre;       /**< Data centre of the upstream. */
	const uint64_t *fingerprints;  /**< This host's requests that ran on the
					   upstream. */
	uint32_t count;		       /**< Number of fingerprints. */
	uint32_t other_hosts_requests; /**< Requests of other hosts that ran on
					    the upstream. */
};

/** Table of suspects and quarantined requests. */
struct quarantine {
	struct quarantine_settings settings; /**< Copy of the settings. */
	struct quarantine_ops ops;	     /**< Callbacks. */
	struct timer_service *timers;	     /**< Clock and timers in use. */
	GHashTable *suspects;		     /**< Suspects by fingerprint. */
	GHashTable *events;	    /**< Last crash event by data centre. */
	GQueue *by_age;		    /**< All suspects, oldest first. */
	uint64_t last_event_number; /**< Number of the last crash event. */
	uint64_t change_count;	    /**< Changes of the suspects so far. */
	/** Number of the last application of all committed records. */
	uint64_t sync_number;
	struct handle tick_timer; /**< Commits and expires suspects. */
};

/* Setting up */

/** Returns the default settings. */
struct quarantine_settings quarantine_default_settings(void);
/** Initialises an empty table; @p ops may be NULL. Errors:
 * ERROR_INVALID_ARGUMENT, those of timer_subscribe_every(). */
enum error_code quarantine_init(struct quarantine *quarantine,
    const struct quarantine_settings *settings,
    const struct quarantine_ops *ops, struct timer_service *timers);
/** Frees the table. */
void quarantine_finish(struct quarantine *quarantine);

/* Requests; called on the coordination thread */

/** Returns whether a request may run now. */
enum quarantine_action quarantine_check(
    const struct quarantine *quarantine, uint64_t fingerprint);
/** Records the crash of an upstream and the requests that ran on it. Do not
 * call it for an upstream that refused as overloaded or cancelled a request:
 * that is no crash. */
void quarantine_record_crash(
    struct quarantine *quarantine, const struct quarantine_crash *crash);
/** Returns how much a crash weighs on each of this host's requests that ran on
 * the upstream, in thousandths of a crash that is certainly its own. */
uint32_t quarantine_crash_weight(const struct quarantine_crash *crash);
/** Records that a request ran to its end: it is a suspect no more. Does nothing
 * while the request is quarantined. */
void quarantine_record_completed(
    struct quarantine *quarantine, uint64_t fingerprint);

/* Reading all suspects */

/** Returns the number of suspects, quarantined ones included. */
uint32_t quarantine_count(const struct quarantine *quarantine);
/** Calls @p visit with what applies to each suspect. */
void quarantine_for_each(const struct quarantine *quarantine,
    void (*visit)(void *context, const struct quarantine_verdict *verdict),
    void *context);

/* Committed entries */

/** Records whether an entry of a request was committed. One that was not is
 * committed again some time later. */
void quarantine_record_commit(
    struct quarantine *quarantine, uint64_t fingerprint, bool is_committed);
/** Begins to apply all committed records. */
void quarantine_sync_begin(struct quarantine *quarantine);
/** Applies a committed record, which expires in @p remaining_ms. */
void quarantine_sync_record(struct quarantine *quarantine,
    const struct quarantine_record *record, int64_t remaining_ms);
/** Ends it: a suspect whose record is gone was released, by an operator or
 * since it ran to its end on some host. */
void quarantine_sync_end(struct quarantine *quarantine);

#endif
