#include "coordination/consensus.h"

#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "coordination/consensus_parts.h"

#define HEARTBEAT_DEFAULT_MS	200
#define ELECTION_MIN_DEFAULT_MS 1000
#define ELECTION_MAX_DEFAULT_MS 2000
/* Entries after which a snapshot is written. */
#define COMPACT_DEFAULT_ENTRIES 4096
#define TICKS_PER_HEARTBEAT	2
/* A wall clock may differ from the expected cluster time by this much. */
#define WALL_CLOCK_DEVIATION_MAX_MS 60000
/* Odd factor that gives each host its own random sequence. */
#define HOST_SEED_STEP 0x9e3779b97f4a7c15u
/* Bytes of the kind and the time stamp in front of an entry's payload. */
#define RECORD_HEADER_SIZE 9

/* A proposal that waits until its entry has been applied. */
struct proposal {
	uint64_t index;
	struct consensus_callback callback;
};

static void set_defaults(struct consensus *consensus);
static void tick(void *context);
static void on_persist_timeout(void *context);
static void resume_after_disk_failure(struct consensus *consensus);
static int64_t current_timestamp(const struct consensus *consensus);
static enum error_code apply_entry(
    struct consensus *consensus, const struct journal_entry *entry);
static enum error_code read_kind(const struct consensus *consensus,
    const struct consensus_record *record, uint64_t *kind);
static void complete_proposal(struct consensus *consensus, uint64_t index,
    const void *result, size_t result_size);

enum error_code
consensus_init(struct consensus *consensus,
    const struct consensus_settings *settings, const struct disk *disk,
    struct timer_service *timers, struct peer_port port,
    const struct consensus_ops *ops)
{
	enum error_code error;

	memset(consensus, 0, sizeof(*consensus));
	consensus->settings = *settings;
	set_defaults(consensus);
	if (settings->host_id == 0 || settings->initial_count > VOTERS_MAX)
		return ERROR_INVALID_ARGUMENT;
	consensus->disk = *disk;
	consensus->timers = timers;
	consensus->port = port;
	consensus->ops = *ops;
	/* Two hosts with the same random sequence would split every vote. */
	random_init(&consensus->random,
	    settings->seed + settings->host_id * HOST_SEED_STEP);
	consensus->acks =
	    g_array_new(FALSE, TRUE, sizeof(struct consensus_ack));
	consensus->incoming_snapshot = g_byte_array_new();
	consensus->proposals = g_queue_new();
	error = consensus_open_storage(consensus);
	if (error == ERROR_NONE)
		error = timer_subscribe_every(timers,
		    consensus->settings.heartbeat_ms / TICKS_PER_HEARTBEAT,
		    (struct timer_callback){tick, consensus},
		    &consensus->tick_timer);
	if (error != ERROR_NONE) {
		consensus_finish(consensus);
		return error;
	}
	/* Before a restart, this voter may have acknowledged a leader that
	 * still relies on the acknowledgement. Grant no vote against that
	 * leader for an election timeout. */
	consensus->leader_contact_ms = timer_now(timers);
	consensus_reset_election(consensus);
	return ERROR_NONE;
}

void
consensus_finish(struct consensus *consensus)
{
	if (consensus->proposals == NULL)
		return;
	consensus->ops.on_role_changed = NULL;
	consensus_step_down(consensus, 0);
	timer_cancel(consensus->timers, &consensus->tick_timer);
	timer_cancel(consensus->timers, &consensus->persist_timer);
	timer_cancel(consensus->timers, &consensus->election_timer);
	journal_close(&consensus->journal);
	snapshot_finish(&consensus->snapshot);
	g_array_unref(consensus->acks);
	g_byte_array_unref(consensus->incoming_snapshot);
	g_queue_free(consensus->proposals);
	memset(consensus, 0, sizeof(*consensus));
}

enum error_code
consensus_receive(struct consensus *consensus, uint32_t from_host,
    const void *body, size_t size)
{
	struct consensus_message message;
	enum error_code error;
	struct voter from;

	if (consensus->is_failed)
		return consensus->failure;
	error = consensus_message_decode(&message, body, size);
	if (error != ERROR_NONE)
		return error;
	from = (struct voter){from_host, message.from_incarnation};
	if (message.cluster_id != consensus->settings.cluster_id) {
		error = ERROR_FORBIDDEN;
	} else if (message.to_incarnation != 0 &&
		   message.to_incarnation !=
		       consensus->identity.self.incarnation) {
		error = ERROR_STALE;
	} else {
		switch (message.type) {
		case CONSENSUS_APPEND:
		case CONSENSUS_SNAPSHOT:
			error = consensus_receive_as_follower(
			    consensus, from, &message);
			break;
		case CONSENSUS_APPEND_REPLY:
		case CONSENSUS_SNAPSHOT_REPLY:
			consensus_receive_as_leader(consensus, from, &message);
			break;
		default:
			consensus_receive_election(consensus, from, &message);
			break;
		}
	}
	consensus_message_finish(&message);
	return error;
}

enum error_code
consensus_propose(struct consensus *consensus, const void *command, size_t size,
    struct consensus_callback callback)
{
	struct proposal *proposal;
	enum error_code error;
	uint64_t kind;

	if (consensus->role != CONSENSUS_ROLE_LEADER ||
	    consensus->transfer_target_id != 0)
		return ERROR_NOT_LEADER;
	if (size > CONSENSUS_COMMAND_SIZE_MAX)
		return ERROR_TOO_LARGE;
	if (g_queue_get_length(consensus->proposals) >= CONSENSUS_PROPOSALS_MAX)
		return ERROR_TABLE_FULL;
	/* A host of a newer build may have sent it; once in the log, it would
	 * stop this voter and all others of this build. */
	error = consensus->ops.read_kind(
	    consensus->ops.context, command, size, &kind);
	if (error_is_unknown_kind(error))
		return error;
	error =
	    consensus->ops.check_proposal == NULL
		? ERROR_NONE
		: consensus->ops.check_proposal(consensus->ops.context, kind);
	if (error != ERROR_NONE)
		return error;
	error =
	    consensus_append(consensus, CONSENSUS_ENTRY_COMMAND, command, size);
	if (error != ERROR_NONE)
		return error;
	proposal = g_new0(struct proposal, 1);
	proposal->index = journal_last_index(&consensus->journal);
	proposal->callback = callback;
	g_queue_push_tail(consensus->proposals, proposal);
	return ERROR_NONE;
}

void
consensus_persist(struct consensus *consensus)
{
	enum error_code error;

	timer_cancel(consensus->timers, &consensus->persist_timer);
	consensus->is_persist_due = false;
	if (consensus->is_failed)
		return;
	/* Send before syncing, so that followers sync in parallel. */
	if (consensus->role == CONSENSUS_ROLE_LEADER)
		consensus_replicate(consensus);
	error = journal_sync(&consensus->journal);
	if (error != ERROR_NONE) {
		consensus_fail(consensus, error);
		return;
	}
	consensus_send_acks(consensus);
	if (consensus->role == CONSENSUS_ROLE_LEADER)
		consensus_advance_commit(consensus);
	consensus_apply_committed(consensus);
	if (!consensus->is_failed)
		consensus_compact(consensus);
}

struct voter
consensus_self(const struct consensus *consensus)
{
	return consensus->identity.self;
}

bool
consensus_is_leader(const struct consensus *consensus)
{
	return consensus->role == CONSENSUS_ROLE_LEADER &&
	       consensus->commit_index >= consensus->term_start_index;
}

uint32_t
consensus_leader(const struct consensus *consensus)
{
	return consensus->leader_id;
}

bool
consensus_is_voter(const struct consensus *consensus)
{
	return voter_set_contains(&consensus->voters, consensus->identity.self);
}

bool
consensus_is_voter_set_committed(const struct consensus *consensus)
{
	return consensus->voters_index <= consensus->commit_index;
}

const struct voter_set *
consensus_voters(const struct consensus *consensus)
{
	return &consensus->voters;
}

int64_t
consensus_time_ms(const struct consensus *consensus)
{
	return current_timestamp(consensus);
}

int64_t
consensus_now(const struct consensus *consensus)
{
	return timer_now(consensus->timers);
}

enum error_code
consensus_append(struct consensus *consensus, enum consensus_entry_kind kind,
    const void *data, size_t size)
{
	unsigned char *bytes;
	enum error_code error;
	uint64_t stamp;

	bytes = malloc(RECORD_HEADER_SIZE + size);
	if (bytes == NULL)
		return ERROR_NO_MEMORY;
	consensus->last_timestamp_ms = current_timestamp(consensus);
	stamp = GUINT64_TO_LE((uint64_t)consensus->last_timestamp_ms);
	bytes[0] = (unsigned char)kind;
	memcpy(bytes + 1, &stamp, sizeof(stamp));
	if (size > 0)
		memcpy(bytes + RECORD_HEADER_SIZE, data, size);
	error = journal_append(&consensus->journal, consensus->identity.term,
	    bytes, RECORD_HEADER_SIZE + size);
	free(bytes);
	if (error == ERROR_NONE)
		consensus_schedule_persist(consensus);
	return error;
}

bool
consensus_read_record(
    const struct journal_entry *entry, struct consensus_record *record)
{
	uint64_t stamp;

	if (entry->size < RECORD_HEADER_SIZE)
		return false;
	memcpy(&stamp, entry->data + 1, sizeof(stamp));
	record->kind = (enum consensus_entry_kind)entry->data[0];
	record->time_ms = (int64_t)GUINT64_FROM_LE(stamp);
	record->data = entry->data + RECORD_HEADER_SIZE;
	record->size = entry->size - RECORD_HEADER_SIZE;
	return true;
}

void
consensus_schedule_persist(struct consensus *consensus)
{
	if (consensus->is_persist_due)
		return;
	/* If no timer is available, the next tick persists. */
	consensus->is_persist_due = true;
	(void)timer_subscribe_once(consensus->timers, 0,
	    (struct timer_callback){on_persist_timeout, consensus},
	    &consensus->persist_timer);
}

bool
consensus_set_term(struct consensus *consensus, uint64_t term, uint32_t vote)
{
	struct voter_file identity = consensus->identity;
	enum error_code error;

	if (term > identity.term)
		g_array_set_size(consensus->acks, 0);
	identity.term = term;
	identity.voted_for = vote;
	error = voter_file_write(&consensus->disk, &identity);
	if (error != ERROR_NONE) {
		consensus_fail(consensus, error);
		return false;
	}
	consensus->identity = identity;
	return true;
}

void
consensus_step_down(struct consensus *consensus, uint32_t leader_id)
{
	struct proposal *proposal;

	if (consensus->role == CONSENSUS_ROLE_LEADER)
		consensus_reset_election(consensus);
	consensus_set_role(consensus, CONSENSUS_ROLE_FOLLOWER, leader_id);
	consensus->transfer_target_id = 0;
	consensus->is_pre_vote = false;
	consensus_end_change(consensus, ERROR_OUTCOME_UNKNOWN);
	while ((proposal = g_queue_pop_head(consensus->proposals)) != NULL) {
		proposal->callback.run(proposal->callback.context,
		    ERROR_OUTCOME_UNKNOWN, proposal->index, NULL, 0);
		g_free(proposal);
	}
}

void
consensus_set_role(
    struct consensus *consensus, enum consensus_role role, uint32_t leader_id)
{
	if (consensus->role == role && consensus->leader_id == leader_id)
		return;
	consensus->role = role;
	consensus->leader_id = leader_id;
	if (consensus->ops.on_role_changed != NULL)
		consensus->ops.on_role_changed(
		    consensus->ops.context, role, leader_id);
}

void
consensus_fail(struct consensus *consensus, enum error_code error)
{
	if (consensus->is_failed)
		return;
	event_log_write(EVENT_JOURNAL_FAILED, "%s", error_name(error));
	consensus_stop(consensus, error);
}

void
consensus_stop(struct consensus *consensus, enum error_code error)
{
	consensus->is_failed = true;
	consensus->failure = error;
	g_array_set_size(consensus->acks, 0);
	consensus_step_down(consensus, 0);
}

enum error_code
consensus_check_entry(
    const struct consensus *consensus, const struct journal_entry *entry)
{
	struct consensus_record record;
	enum error_code error;
	uint64_t kind;

	if (!consensus_read_record(entry, &record))
		return ERROR_NONE;
	error = read_kind(consensus, &record, &kind);
	if (!error_is_unknown_kind(error))
		return ERROR_NONE;
	event_log_write(EVENT_KIND_UNKNOWN,
	    "log entry %llu, %s %llu: %s; start a newer build on this data "
	    "folder",
	    (unsigned long long)entry->index,
	    record.kind == CONSENSUS_ENTRY_COMMAND ? "command of type"
						   : "entry of kind",
	    (unsigned long long)kind, error_name(error));
	return error;
}

void
consensus_apply_committed(struct consensus *consensus)
{
	const struct journal_entry *entry;
	enum error_code error;
	uint64_t end;

	if (consensus->is_applying || consensus->is_failed)
		return;
	consensus->is_applying = true;
	end = MIN(consensus->commit_index, consensus->journal.synced_index);
	while (consensus->applied_index < end) {
		entry = journal_get(
		    &consensus->journal, consensus->applied_index + 1);
		if (entry == NULL)
			break;
		error = apply_entry(consensus, entry);
		if (error != ERROR_NONE) {
			consensus_stop(consensus, error);
			break;
		}
	}
	consensus->is_applying = false;
}

void
consensus_send(struct consensus *consensus, struct voter to,
    struct consensus_message *message)
{
	struct message_writer writer;

	message->cluster_id = consensus->settings.cluster_id;
	message->from_incarnation = consensus->identity.self.incarnation;
	message->to_incarnation = to.incarnation;
	message_writer_init(&writer);
	consensus_message_encode(message, &writer);
	consensus->port.send(consensus->port.context, to.host_id,
	    PEER_CHANNEL_CONSENSUS, message_data(&writer),
	    message_size(&writer));
	message_writer_finish(&writer);
}

static void
set_defaults(struct consensus *consensus)
{
	struct consensus_settings *settings = &consensus->settings;

	if (settings->heartbeat_ms < TICKS_PER_HEARTBEAT)
		settings->heartbeat_ms = HEARTBEAT_DEFAULT_MS;
	if (settings->election_min_ms == 0)
		settings->election_min_ms = ELECTION_MIN_DEFAULT_MS;
	if (settings->election_max_ms <= settings->election_min_ms)
		settings->election_max_ms =
		    MAX(ELECTION_MAX_DEFAULT_MS, settings->election_min_ms * 2);
	if (settings->compact_entries == 0)
		settings->compact_entries = COMPACT_DEFAULT_ENTRIES;
}

static void
tick(void *context)
{
	struct consensus *consensus = context;

	if (consensus->is_failed) {
		resume_after_disk_failure(consensus);
		return;
	}
	if (consensus->is_persist_due)
		consensus_persist(consensus);
	if (consensus->role == CONSENSUS_ROLE_LEADER)
		consensus_leader_tick(consensus);
	else
		consensus_election_tick(consensus);
}

static void
on_persist_timeout(void *context)
{
	consensus_persist(context);
}

/* Resumes after a failure of the disk, once the disk accepts changes again. File
 * systems report a full disk in several ways, at a write or only at a sync, as
 * no space or as an input or output error. In each of them what was durable
 * before is so still: a failed sync loses at most what it was to store, which is
 * cut off here and sent again by the leader. The last file is read back, as a
 * restart would, so that a disk that lost more is found. */
static void
resume_after_disk_failure(struct consensus *consensus)
{
	enum error_code error;

	if (consensus->failure != ERROR_DISK_FULL &&
	    consensus->failure != ERROR_IO)
		return;
	error = journal_discard_unsynced(&consensus->journal);
	if (error == ERROR_NONE)
		error = journal_check_last_segment(&consensus->journal);
	if (error == ERROR_NONE)
		error =
		    voter_file_write(&consensus->disk, &consensus->identity);
	if (error == ERROR_CORRUPT) {
		event_log_write(EVENT_JOURNAL_FAILED, "%s", error_name(error));
		consensus->failure = error;
	}
	if (error != ERROR_NONE)
		return;
	event_log_write(EVENT_JOURNAL_RESUMED, "after %s, at entry %llu",
	    error_name(consensus->failure),
	    (unsigned long long)journal_last_index(&consensus->journal));
	consensus->is_failed = false;
	consensus->failure = ERROR_NONE;
	/* Committed entries that could not be stored here are now missing:
	 * the leader must send them again. */
	consensus->commit_index = MIN(
	    consensus->commit_index, journal_last_index(&consensus->journal));
	consensus->commit_index =
	    MAX(consensus->commit_index, consensus->snapshot.index);
	consensus_reload_voters(consensus);
	consensus_reset_election(consensus);
}

/* Returns the current cluster time. Since a wall clock may step, the time may
 * deviate only by WALL_CLOCK_DEVIATION_MAX_MS from the reference plus the local
 * time since the reference was set, and it never decreases. */
static int64_t
current_timestamp(const struct consensus *consensus)
{
	int64_t wall_ms, expected_ms;

	wall_ms = consensus->ops.wall_ms(consensus->ops.context);
	if (consensus->time_reference_at_ms != 0) {
		expected_ms = consensus->time_reference_ms +
			      (consensus_now(consensus) -
				  consensus->time_reference_at_ms);
		wall_ms =
		    CLAMP(wall_ms, expected_ms - WALL_CLOCK_DEVIATION_MAX_MS,
			expected_ms + WALL_CLOCK_DEVIATION_MAX_MS);
	}
	return MAX(wall_ms, consensus->last_timestamp_ms);
}

/* Applies the next entry, unless this build does not know its kind. */
static enum error_code
apply_entry(struct consensus *consensus, const struct journal_entry *entry)
{
	struct consensus_record record = {0};
	struct consensus_entry applied = {0};
	enum error_code error;
	const void *result;
	uint64_t index;
	size_t size;

	result = NULL;
	size = 0;
	index = entry->index;
	if (!consensus_read_record(entry, &record)) {
		consensus->applied_index = index;
		return ERROR_NONE;
	}
	if (record.kind == CONSENSUS_ENTRY_COMMAND) {
		applied.index = index;
		applied.term = entry->term;
		applied.time_ms = record.time_ms;
		applied.data = record.data;
		applied.size = record.size;
		error = consensus->ops.apply(
		    consensus->ops.context, &applied, &result, &size);
		if (error != ERROR_NONE)
			(void)consensus_check_entry(consensus, entry);
	} else {
		error = consensus_check_entry(consensus, entry);
	}
	if (error != ERROR_NONE)
		return error;
	consensus->applied_index = index;
	consensus->last_timestamp_ms =
	    MAX(consensus->last_timestamp_ms, record.time_ms);
	if (record.kind == CONSENSUS_ENTRY_VOTERS)
		event_log_write(EVENT_VOTER_CHANGED, "entry %llu",
		    (unsigned long long)index);
	complete_proposal(consensus, index, result, size);
	if (consensus->role == CONSENSUS_ROLE_LEADER)
		consensus_continue_change(consensus);
	return ERROR_NONE;
}

/* Reads the type of a command, or the kind of any other entry. */
static enum error_code
read_kind(const struct consensus *consensus,
    const struct consensus_record *record, uint64_t *kind)
{
	struct voter_set voters;

	*kind = record->kind;
	switch (record->kind) {
	case CONSENSUS_ENTRY_NOOP:
		return ERROR_NONE;
	case CONSENSUS_ENTRY_COMMAND:
		return consensus->ops.read_kind(
		    consensus->ops.context, record->data, record->size, kind);
	case CONSENSUS_ENTRY_VOTERS:
		return voter_set_decode(&voters, record->data, record->size);
	}
	return ERROR_NOT_SUPPORTED;
}

static void
complete_proposal(struct consensus *consensus, uint64_t index,
    const void *result, size_t result_size)
{
	struct proposal *proposal;

	proposal = g_queue_peek_head(consensus->proposals);
	if (proposal == NULL || proposal->index != index)
		return;
	g_queue_pop_head(consensus->proposals);
	proposal->callback.run(
	    proposal->callback.context, ERROR_NONE, index, result, result_size);
	g_free(proposal);
}
