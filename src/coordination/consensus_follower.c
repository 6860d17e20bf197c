#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "coordination/consensus_parts.h"

/* Largest accepted snapshot in bytes; a larger one is rejected as malformed. */
#define SNAPSHOT_SIZE_MAX ((uint64_t)1024 * 1024 * 1024)

static bool accept_leader(struct consensus *consensus, struct voter from,
    const struct consensus_message *message);
static enum error_code receive_append(struct consensus *consensus,
    struct voter from, const struct consensus_message *message);
static void reject_append(struct consensus *consensus, struct voter from,
    const struct consensus_message *message, uint64_t hint);
static enum error_code append_entries(
    struct consensus *consensus, const struct consensus_message *message);
static enum error_code append_entry(
    struct consensus *consensus, const struct journal_entry *entry);
static uint64_t find_conflict(
    const struct consensus *consensus, uint64_t index);
static enum error_code receive_snapshot(struct consensus *consensus,
    struct voter from, const struct consensus_message *message);
static enum error_code install_snapshot(struct consensus *consensus);
static enum error_code drop_covered_entries(struct consensus *consensus);

enum error_code
consensus_receive_as_follower(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	struct consensus_message reply = {.type = CONSENSUS_APPEND_REPLY};

	if (message->type == CONSENSUS_SNAPSHOT &&
	    (message->total_size > SNAPSHOT_SIZE_MAX ||
		message->voters.count == 0 ||
		message->offset > message->total_size ||
		message->data_size > message->total_size - message->offset))
		return ERROR_MALFORMED;
	if (message->term < consensus->identity.term) {
		reply.term = consensus->identity.term;
		consensus_send(consensus, from, &reply);
		return ERROR_STALE;
	}
	if (!accept_leader(consensus, from, message))
		return consensus->failure;
	if (message->type == CONSENSUS_APPEND)
		return receive_append(consensus, from, message);
	return receive_snapshot(consensus, from, message);
}

void
consensus_send_acks(struct consensus *consensus)
{
	struct consensus_message reply = {.type = CONSENSUS_APPEND_REPLY};
	const struct consensus_ack *ack;
	guint i;

	reply.is_granted = true;
	reply.term = consensus->identity.term;
	for (i = 0; i < consensus->acks->len; i++) {
		ack = &g_array_index(consensus->acks, struct consensus_ack, i);
		reply.index = ack->match_index;
		reply.sent_ms = ack->sent_ms;
		consensus_send(consensus,
		    (struct voter){ack->leader_id, ack->leader_incarnation},
		    &reply);
	}
	g_array_set_size(consensus->acks, 0);
}

/* Accepts the sender as the leader of its term and restarts the election
 * timeout. Returns false if the disk failed. */
static bool
accept_leader(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	if (message->term > consensus->identity.term &&
	    !consensus_set_term(consensus, message->term, 0))
		return false;
	if (consensus->role != CONSENSUS_ROLE_FOLLOWER)
		consensus_step_down(consensus, from.host_id);
	else
		consensus_set_role(
		    consensus, CONSENSUS_ROLE_FOLLOWER, from.host_id);
	consensus->leader_contact_ms = consensus_now(consensus);
	consensus_reset_election(consensus);
	if (message->type == CONSENSUS_APPEND && message->time_ms != 0) {
		consensus->time_reference_ms = message->time_ms;
		consensus->time_reference_at_ms = consensus_now(consensus);
	}
	return true;
}

static enum error_code
receive_append(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	struct consensus_ack ack = {from.host_id, from.incarnation,
	    message->index + message->entry_count, message->sent_ms};
	enum error_code error;
	uint64_t term;

	if (message->index > journal_last_index(&consensus->journal)) {
		reject_append(consensus, from, message,
		    journal_last_index(&consensus->journal));
		return ERROR_NONE;
	}
	/* Entries before the journal's base are committed, so they match. */
	if (message->index >= consensus->journal.base_index &&
	    journal_term(&consensus->journal, message->index, &term) ==
		ERROR_NONE &&
	    term != message->log_term) {
		reject_append(consensus, from, message,
		    find_conflict(consensus, message->index));
		return ERROR_NONE;
	}
	error = append_entries(consensus, message);
	if (error == ERROR_IO || error == ERROR_DISK_FULL)
		consensus_fail(consensus, error);
	if (error != ERROR_NONE)
		return error;
	consensus->commit_index = MAX(consensus->commit_index,
	    MIN(message->commit_index, ack.match_index));
	g_array_append_val(consensus->acks, ack);
	consensus_schedule_persist(consensus);
	return ERROR_NONE;
}

/* Rejects entries that do not match the log. @p hint is the index from which
 * the leader should try next. */
static void
reject_append(struct consensus *consensus, struct voter from,
    const struct consensus_message *message, uint64_t hint)
{
	struct consensus_message reply = {.type = CONSENSUS_APPEND_REPLY};

	reply.term = consensus->identity.term;
	reply.index = hint;
	reply.sent_ms = message->sent_ms;
	consensus_send(consensus, from, &reply);
}

static enum error_code
append_entries(
    struct consensus *consensus, const struct consensus_message *message)
{
	struct journal_entry entry;
	enum error_code error;
	uint32_t i;

	for (i = 0; i < message->entry_count; i++) {
		error = consensus_message_read_entry(message, i, &entry);
		if (error == ERROR_NONE)
			error = append_entry(consensus, &entry);
		if (error != ERROR_NONE)
			return error;
	}
	return ERROR_NONE;
}

/* Appends an entry to the journal. An entry that is already there is skipped; a
 * different uncommitted entry and all after it are replaced. */
static enum error_code
append_entry(struct consensus *consensus, const struct journal_entry *entry)
{
	struct consensus_record record;
	enum error_code error;
	uint64_t term;

	if (entry->index <= consensus->journal.base_index)
		return ERROR_NONE;
	if (journal_term(&consensus->journal, entry->index, &term) ==
	    ERROR_NONE) {
		if (term == entry->term)
			return ERROR_NONE;
		/* A committed entry must never be replaced. */
		if (entry->index <= consensus->commit_index)
			return ERROR_INTERNAL;
		error = journal_truncate(&consensus->journal, entry->index);
		if (error != ERROR_NONE)
			return error;
		consensus_reload_voters(consensus);
	}
	if (entry->index != journal_last_index(&consensus->journal) + 1)
		return ERROR_INTERNAL;
	error = journal_append(
	    &consensus->journal, entry->term, entry->data, entry->size);
	if (error != ERROR_NONE)
		return error;
	/* An acknowledgement would count towards a commit, or make this host a
	 * voter, although it can't apply the entry. The entry is stored so that
	 * a restart finds it before this host votes again. */
	error = consensus_check_entry(consensus, entry);
	if (error != ERROR_NONE) {
		(void)journal_sync(&consensus->journal);
		consensus_stop(consensus, error);
		return error;
	}
	if (!consensus_read_record(entry, &record))
		return ERROR_NONE;
	consensus->last_timestamp_ms =
	    MAX(consensus->last_timestamp_ms, record.time_ms);
	if (record.kind == CONSENSUS_ENTRY_VOTERS)
		consensus_reload_voters(consensus);
	return ERROR_NONE;
}

/* Returns the last entry before the run of entries that share the term of the
 * mismatching entry, but no less than the commit index. The leader continues
 * from there. */
static uint64_t
find_conflict(const struct consensus *consensus, uint64_t index)
{
	uint64_t conflicting, term;

	if (journal_term(&consensus->journal, index, &conflicting) !=
	    ERROR_NONE)
		return consensus->commit_index;
	while (index > consensus->commit_index &&
	       journal_term(&consensus->journal, index, &term) == ERROR_NONE &&
	       term == conflicting)
		index--;
	return index;
}

/* Collects a piece of a snapshot and installs the snapshot when it is complete.
 * The reply tells how many bytes have arrived. */
static enum error_code
receive_snapshot(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	struct consensus_message reply = {.type = CONSENSUS_SNAPSHOT_REPLY};
	struct snapshot *header = &consensus->incoming_header;
	enum error_code error;

	error = ERROR_NONE;
	reply.term = consensus->identity.term;
	reply.index = message->index;
	reply.sent_ms = message->sent_ms;
	reply.offset = message->total_size;
	reply.is_granted = true;
	if (message->index <= consensus->commit_index) {
		/* A reply confirms that the entries are stored here, so send
		 * none until they are synced. */
		if (message->index > consensus->journal.synced_index)
			return ERROR_NONE;
		goto reply;
	}
	if (header->index != message->index ||
	    header->term != message->log_term ||
	    header->state_size != message->total_size || message->offset == 0) {
		header->index = message->index;
		header->term = message->log_term;
		header->time_ms = message->time_ms;
		header->voters = message->voters;
		header->state_size = message->total_size;
		g_byte_array_set_size(consensus->incoming_snapshot, 0);
	}
	if (message->offset == consensus->incoming_snapshot->len)
		g_byte_array_append(consensus->incoming_snapshot, message->data,
		    (guint)message->data_size);
	reply.offset = consensus->incoming_snapshot->len;
	reply.is_granted = reply.offset == message->total_size;
	if (reply.is_granted)
		error = install_snapshot(consensus);
	if (error != ERROR_NONE)
		return error;
reply:
	consensus_send(consensus, from, &reply);
	return ERROR_NONE;
}

/* Loads a complete snapshot into the state machine and stores it on disk. */
static enum error_code
install_snapshot(struct consensus *consensus)
{
	struct snapshot snapshot = consensus->incoming_header;
	GByteArray *bytes = consensus->incoming_snapshot;
	enum error_code error;

	error = consensus_load_state(
	    consensus, snapshot.index, bytes->data, bytes->len);
	if (error_is_unknown_kind(error))
		consensus_stop(consensus, error);
	if (error != ERROR_NONE)
		return error;
	/* The state holds the snapshot from here on, stored or not: entries up
	 * to it must not be applied again. */
	consensus->applied_index = snapshot.index;
	consensus->last_timestamp_ms =
	    MAX(consensus->last_timestamp_ms, snapshot.time_ms);
	snapshot.state = malloc(bytes->len + 1);
	if (snapshot.state == NULL)
		return ERROR_NO_MEMORY;
	if (bytes->len > 0)
		memcpy(snapshot.state, bytes->data, bytes->len);
	g_byte_array_set_size(bytes, 0);
	memset(
	    &consensus->incoming_header, 0, sizeof(consensus->incoming_header));
	error = snapshot_file_write(&consensus->disk, &snapshot);
	if (error == ERROR_NONE) {
		snapshot_finish(&consensus->snapshot);
		consensus->snapshot = snapshot;
		consensus->commit_index = snapshot.index;
		error = drop_covered_entries(consensus);
	} else {
		snapshot_finish(&snapshot);
	}
	if (error != ERROR_NONE) {
		consensus_fail(consensus, error);
		return error;
	}
	consensus_reload_voters(consensus);
	event_log_write(EVENT_SNAPSHOT_INSTALLED, "entry %llu",
	    (unsigned long long)consensus->snapshot.index);
	return ERROR_NONE;
}

/* Drops the entries that an installed snapshot covers, or all of them if the log
 * does not continue it. */
static enum error_code
drop_covered_entries(struct consensus *consensus)
{
	const struct snapshot *snapshot = &consensus->snapshot;
	struct journal *journal = &consensus->journal;
	uint64_t term;

	if (journal_term(journal, snapshot->index, &term) == ERROR_NONE &&
	    term == snapshot->term && snapshot->index <= journal->synced_index)
		return journal_drop_prefix(journal, snapshot->index);
	/* The journal is emptied, so drop the acknowledgements of its unsynced
	 * entries. */
	g_array_set_size(consensus->acks, 0);
	return journal_reset(journal, snapshot->index, snapshot->term);
}
