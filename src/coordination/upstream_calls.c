/*
 * What upstreams say of themselves to this host: that they run, are leaving or are
 * gone. Each call names an incarnation, which is compared with the known one here.
 */
#include "coordination/upstream_directory_parts.h"

static enum error_code merge_announcement(struct upstream_directory *directory,
    const struct upstream_entry *entry, const struct upstream_record *record,
    struct upstream_entry_body *body);
static void take_over(const struct upstream_directory *directory,
    const struct upstream_entry *entry, struct upstream_entry_body *body);

enum error_code
upstream_directory_announce(
    struct upstream_directory *directory, const struct upstream_record *record)
{
	struct upstream_entry_body body = {.record = *record};
	struct upstream_entry *entry;
	enum error_code error;

	if (record->name[0] == '\0' || record->sequence > SEQUENCE_MAX ||
	    record->model_count > MODELS_MAX ||
	    record->label_count > LABELS_MAX ||
	    record->kind < UPSTREAM_KIND_MODEL ||
	    record->kind > UPSTREAM_KIND_SERVICE)
		return ERROR_INVALID_ARGUMENT;
	body.record.id = upstream_id(record->name);
	if (record->state != UPSTREAM_STATE_LEAVING)
		body.record.state = UPSTREAM_STATE_ACTIVE;
	body.home = directory->settings.host_id;
	body.home_incarnation = directory->settings.incarnation;
	body.epoch = 1;
	entry = upstream_directory_entry(directory, body.record.id);
	if (entry != NULL) {
		error = merge_announcement(directory, entry, record, &body);
		if (error != ERROR_NONE)
			return error;
		/* An unchanged announcement counts as a renewal. */
		if (upstream_directory_is_home(directory, entry))
			entry->renewed_ms = timer_now(directory->timers);
	}
	switch (upstream_directory_put(directory, &body)) {
	case ERROR_NONE:
	case ERROR_STALE:
		return ERROR_NONE;
	case ERROR_TABLE_FULL:
		return ERROR_TABLE_FULL;
	default:
		return ERROR_INVALID_ARGUMENT;
	}
}

enum error_code
upstream_directory_renew(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation)
{
	struct upstream_entry *entry;
	enum error_code error;
	int64_t now_ms;
	bool is_repeated;

	error = upstream_directory_current(directory, id, incarnation, &entry);
	if (error != ERROR_NONE)
		return error;
	now_ms = timer_now(directory->timers);
	if (upstream_directory_is_home(directory, entry)) {
		entry->renewed_ms = now_ms;
		return ERROR_NONE;
	}
	is_repeated = entry->misdirected_renewal_ms != NEVER_MS &&
		      now_ms - entry->misdirected_renewal_ms <
			  directory->settings.renewal_ms;
	entry->misdirected_renewal_ms = now_ms;
	if (is_repeated ||
	    !upstream_directory_is_home_live(directory, &entry->body))
		return upstream_directory_become_home(directory, entry);
	upstream_directory_send_notice(directory, entry, UPSTREAM_TYPE_RENEW);
	return ERROR_NONE;
}

enum error_code
upstream_directory_leave(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation)
{
	struct upstream_entry_body body;
	struct upstream_entry *entry;
	enum error_code error;

	error = upstream_directory_current(directory, id, incarnation, &entry);
	if (error != ERROR_NONE)
		return error;
	if (entry->body.record.state >= UPSTREAM_STATE_LEAVING)
		return ERROR_NONE;
	body = entry->body;
	body.record.state = UPSTREAM_STATE_LEAVING;
	take_over(directory, entry, &body);
	return upstream_directory_put(directory, &body);
}

enum error_code
upstream_directory_remove(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation)
{
	const struct upstream_record *known;
	struct upstream_entry *entry;
	struct upstream_entry_body body;

	entry = upstream_directory_entry(directory, id);
	if (entry == NULL)
		return ERROR_NOT_FOUND;
	known = &entry->body.record;
	if (incarnation == 0)
		incarnation = known->incarnation;
	if (incarnation < known->incarnation)
		return ERROR_STALE;
	if (incarnation == known->incarnation &&
	    known->state == UPSTREAM_STATE_GONE)
		return ERROR_NONE;
	body = entry->body;
	body.record.state = UPSTREAM_STATE_GONE;
	if (incarnation > known->incarnation) {
		/* Of this incarnation nothing else is known, so that what it
		 * announced before may arrive at any sequence number. */
		body.record.incarnation = incarnation;
		body.record.sequence = 0;
	}
	take_over(directory, entry, &body);
	return upstream_directory_put(directory, &body);
}

/* Makes this host the home of the upstream, under the next epoch. */
enum error_code
upstream_directory_become_home(
    struct upstream_directory *directory, struct upstream_entry *entry)
{
	struct upstream_entry_body body = entry->body;

	body.home = directory->settings.host_id;
	body.home_incarnation = directory->settings.incarnation;
	body.is_expired = false;
	if (body.epoch == EPOCH_MAX)
		return ERROR_STALE;
	body.epoch++;
	return upstream_directory_put(directory, &body);
}

/* Sets the state and the home of an announced entry by what is known of its
 * incarnation. Errors: ERROR_STALE if the announcement says nothing new. */
static enum error_code
merge_announcement(struct upstream_directory *directory,
    const struct upstream_entry *entry, const struct upstream_record *record,
    struct upstream_entry_body *body)
{
	const struct upstream_record *known = &entry->body.record;

	if (record->incarnation < known->incarnation)
		return ERROR_STALE;
	if (record->incarnation > known->incarnation)
		return ERROR_NONE;
	if (known->state == UPSTREAM_STATE_GONE)
		return ERROR_STALE;
	if (record->sequence < known->sequence) {
		/* Leaving is final in an incarnation, so it counts although
		 * all else in this announcement is outdated. */
		if (record->state != UPSTREAM_STATE_LEAVING)
			return ERROR_STALE;
		body->record = *known;
		body->record.state = UPSTREAM_STATE_LEAVING;
	}
	body->record.state = MAX(body->record.state, known->state);
	take_over(directory, entry, body);
	return ERROR_NONE;
}

/* Makes this host the home in the next version of an entry, which is in force,
 * not expired. */
static void
take_over(const struct upstream_directory *directory,
    const struct upstream_entry *entry, struct upstream_entry_body *body)
{
	body->epoch = entry->body.epoch;
	if (!upstream_directory_is_home(directory, entry) ||
	    entry->body.is_expired)
		body->epoch++;
	body->home = directory->settings.host_id;
	body->home_incarnation = directory->settings.incarnation;
	body->is_expired = false;
}
