/**
 * @file prompt_part.h
 * What is known against a part of prompts that may crash upstreams.
 *
 * A crash tells little of one part: other parts of the same prompt, and
 * other requests, were there too. A record therefore keeps in which crashes
 * a part was present, and its companions: the parts that all requests had
 * which crashed with it. A request is refused only if it has a part that is
 * quarantined and all companions of that part, and a part that crashed with
 * one request alone refuses only that one. So requests that share less with
 * those that crashed run on, and as soon as one of them runs well, its parts
 * are cleared and are no companions any more.
 *
 * Crashes close together, as when a data centre loses power, are one event,
 * unless one request ran on these upstreams one after the other. A part is
 * quarantined after several events, at first for a short time. Then a single
 * request may try it: a further crash quarantines the part for several times
 * as long, and a request that runs well clears it.
 */
#ifndef PROMPT_PART_H
#define PROMPT_PART_H

#include <stdbool.h>
#include <stdint.h>

#include "state/request_key.h"

/** Events from which a part is quarantined. */
#define PART_EVENTS_TO_QUARANTINE 3
/** Crashes of different requests at most this far apart, in milliseconds, are
 * one event. */
#define PART_EVENT_GAP_MS 250
/** First duration of a quarantine, and the factor of each further one. */
#define PART_QUARANTINE_FIRST_MS 30000
#define PART_QUARANTINE_FACTOR	 4
/** Longest duration of a quarantine. */
#define PART_QUARANTINE_MAX_MS 3600000
/** Time after a crash, or after a quarantine, for which a part is suspected. */
#define PART_SUSPECT_MS 600000
/** Largest number of crashes that a record keeps. */
#define PART_CRASHES_MAX 8
/** Largest number of companions. */
#define PART_COMPANIONS_MAX (REQUEST_PARTS_MAX - 1)

/** What the requests of one host that crashed with an upstream have in
 * common. */
struct part_evidence {
	uint64_t part;	  /**< Part that all of these requests have. */
	uint64_t request; /**< Fingerprint of the request, 0 if several. */
	/** Other parts that all of them have. */
	uint64_t companions[PART_COMPANIONS_MAX];
	uint32_t companion_count; /**< Elements of companions in use. */
};

/** What all hosts know against a part. Times are in milliseconds since the
 * epoch in the replicated state, and by the host's own clock in its copy. */
struct part_record {
	uint64_t part; /**< Hash of the part, the key of the record. */
	/** Different crashes in which the part had part. */
	uint64_t crashes[PART_CRASHES_MAX];
	uint32_t crash_count; /**< Elements of crashes in use. */
	/** Fingerprint of the request that crashed with it, 0 if several. */
	uint64_t request;
	uint64_t last_request; /**< The same for the last crash. */
	/** Other parts that all requests had which crashed with this one. */
	uint64_t companions[PART_COMPANIONS_MAX];
	uint32_t companion_count;  /**< Elements of companions in use. */
	uint32_t event_count;	   /**< Events in which the part had part. */
	int64_t last_event_ms;	   /**< Beginning of the latest event. */
	uint32_t quarantine_count; /**< Quarantines of the part so far. */
	int64_t refuse_until_ms;   /**< End of the last of them, or 0. */
	int64_t until_ms;	   /**< End of the record. */
};

/* Evidence */

/** Initialises evidence of a part from the first request that crashed with it;
 * @p index is that of the part in @p key. */
void part_evidence_begin(struct part_evidence *evidence,
    const struct request_key *key, uint32_t index);
/** Adds a further request with the same part, which crashed with the same
 * upstream. */
void part_evidence_add(
    struct part_evidence *evidence, const struct request_key *key);

/* Records */

/** Adds the evidence of a crash at @p crash_ms to the record of its part; a
 * zeroed record is empty. Adding the same again changes nothing. */
void part_record_add(struct part_record *record, uint64_t crash_id,
    int64_t crash_ms, const struct part_evidence *evidence);
/** Removes a companion that was found to crash nothing. Returns whether it was
 * one. */
bool part_record_drop_companion(struct part_record *record, uint64_t companion);
/** Moves all times of the record by @p offset_ms to those of another clock. */
void part_record_shift(struct part_record *record, int64_t offset_ms);
/** True if the part was quarantined and not cleared since. No request may have
 * it until refuse_until_ms, and after that a single one for a trial. */
bool part_record_is_quarantined(const struct part_record *record);
/** True if @p other explains all that is known against a part: it had part in
 * the same crashes, never without that part, which was there without it too. */
bool part_record_is_explained(
    const struct part_record *record, const struct part_record *other);
/** True if a request has the part and all its companions, and is the request
 * of the record if that has only one. */
bool part_record_matches(
    const struct part_record *record, const struct request_key *key);

#endif
