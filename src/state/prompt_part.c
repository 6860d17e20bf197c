#include "state/prompt_part.h"

#include <string.h>

#include <glib.h>

static void keep_common_evidence(
    struct part_record *record, const struct part_evidence *evidence);
static uint32_t keep_common(uint64_t *hashes, uint32_t count,
    const uint64_t *others, uint32_t other_count);
static void quarantine(struct part_record *record, int64_t now_ms);
static bool has_hash(const uint64_t *hashes, uint32_t count, uint64_t hash);

void
part_evidence_begin(struct part_evidence *evidence,
    const struct request_key *key, uint32_t index)
{
	uint32_t i;

	memset(evidence, 0, sizeof(*evidence));
	evidence->part = key->parts[index];
	evidence->request = key->fingerprint;
	for (i = 0; i < key->part_count; i++) {
		if (key->parts[i] != evidence->part &&
		    evidence->companion_count < PART_COMPANIONS_MAX)
			evidence->companions[evidence->companion_count++] =
			    key->parts[i];
	}
}

void
part_evidence_add(struct part_evidence *evidence, const struct request_key *key)
{
	if (evidence->request != key->fingerprint)
		evidence->request = 0;
	evidence->companion_count = keep_common(evidence->companions,
	    evidence->companion_count, key->parts, key->part_count);
}

void
part_record_add(struct part_record *record, uint64_t crash_id, int64_t crash_ms,
    const struct part_evidence *evidence)
{
	bool is_same_request;

	is_same_request = record->crash_count > 0 && evidence->request != 0 &&
			  record->last_request == evidence->request;
	keep_common_evidence(record, evidence);
	record->until_ms = MAX(record->until_ms, crash_ms + PART_SUSPECT_MS);
	if (has_hash(record->crashes, record->crash_count, crash_id))
		return;
	/* The last place is used again and again, since the first crashes are
	 * those that show which parts are companions. */
	if (record->crash_count == PART_CRASHES_MAX)
		record->crash_count--;
	record->crashes[record->crash_count++] = crash_id;
	if (record->event_count == 0 || is_same_request ||
	    ABS(crash_ms - record->last_event_ms) > PART_EVENT_GAP_MS) {
		record->event_count++;
		record->last_event_ms = MAX(record->last_event_ms, crash_ms);
	}
	if (record->event_count >= PART_EVENTS_TO_QUARANTINE &&
	    crash_ms >= record->refuse_until_ms)
		quarantine(record, crash_ms);
}

static void
keep_common_evidence(
    struct part_record *record, const struct part_evidence *evidence)
{
	if (record->crash_count == 0) {
		record->part = evidence->part;
		record->request = evidence->request;
		record->companion_count = evidence->companion_count;
		memcpy(record->companions, evidence->companions,
		    sizeof(record->companions));
	}
	record->last_request = evidence->request;
	if (record->request != evidence->request)
		record->request = 0;
	record->companion_count =
	    keep_common(record->companions, record->companion_count,
		evidence->companions, evidence->companion_count);
}

/* Removes the hashes that are not among others, and returns how many are
 * left. */
static uint32_t
keep_common(uint64_t *hashes, uint32_t count, const uint64_t *others,
    uint32_t other_count)
{
	uint32_t i, kept;

	kept = 0;
	for (i = 0; i < count; i++) {
		if (has_hash(others, other_count, hashes[i]))
			hashes[kept++] = hashes[i];
	}
	return kept;
}

bool
part_record_drop_companion(struct part_record *record, uint64_t companion)
{
	uint32_t i;

	for (i = 0; i < record->companion_count; i++) {
		if (record->companions[i] != companion)
			continue;
		record->companions[i] =
		    record->companions[--record->companion_count];
		return true;
	}
	return false;
}

bool
part_record_is_quarantined(const struct part_record *record)
{
	return record->quarantine_count > 0;
}

void
part_record_shift(struct part_record *record, int64_t offset_ms)
{
	record->last_event_ms += offset_ms;
	record->until_ms += offset_ms;
	if (record->quarantine_count > 0)
		record->refuse_until_ms += offset_ms;
}

bool
part_record_is_explained(
    const struct part_record *record, const struct part_record *other)
{
	uint32_t i;

	if (!has_hash(
		other->companions, other->companion_count, record->part) ||
	    has_hash(record->companions, record->companion_count, other->part))
		return false;
	for (i = 0; i < record->crash_count; i++) {
		if (!has_hash(
			other->crashes, other->crash_count, record->crashes[i]))
			return false;
	}
	return true;
}

bool
part_record_matches(
    const struct part_record *record, const struct request_key *key)
{
	uint32_t i;

	if (!has_hash(key->parts, key->part_count, record->part) ||
	    (record->request != 0 && record->request != key->fingerprint))
		return false;
	for (i = 0; i < record->companion_count; i++) {
		if (!has_hash(
			key->parts, key->part_count, record->companions[i]))
			return false;
	}
	return true;
}

static void
quarantine(struct part_record *record, int64_t now_ms)
{
	int64_t duration_ms = PART_QUARANTINE_FIRST_MS;
	uint32_t i;

	for (i = 0; i < record->quarantine_count &&
		    duration_ms < PART_QUARANTINE_MAX_MS;
	     i++)
		duration_ms *= PART_QUARANTINE_FACTOR;
	record->quarantine_count++;
	record->refuse_until_ms =
	    now_ms + MIN(duration_ms, PART_QUARANTINE_MAX_MS);
	record->until_ms = record->refuse_until_ms + PART_SUSPECT_MS;
}

static bool
has_hash(const uint64_t *hashes, uint32_t count, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (hashes[i] == hash)
			return true;
	}
	return false;
}
