#include "coordination/consensus.h"

#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "coordination/consensus_parts.h"

#define HEARTBEAT_DEFAULT_MS	200
#define ELECTION_MIN_DEFAULT_MS 1000
#define ELECTION_MAX_DEFAULT_MS 2000
#define COMPACT_DEFAULT		4096			  /* Entries. */
#define COMPACT_BYTES		((size_t)8 * 1024 * 1024) /* Of entries held. */
#define TAIL_BYTES		((size_t)1024 * 1024) /* Kept behind a snapshot. */
#define TICKS_PER_HEARTBEAT	2
#define TIME_SLACK_MS		60000 /* A wall clock may lead the cluster's. */
#define HOST_SEED_STEP		0x9e3779b97f4a7c15u /* Apart for any seeds. */
#define RECORD_HEAD_SIZE	9 /* Kind and time stamp of an entry. */

/* A proposal that waits for its entry. */
struct proposal {
	uint64_t index;
	struct consensus_callback callback;
};

static void set_defaults(struct consensus *consensus);
static enum error_code open_storage(struct consensus *consensus);
static enum error_code open_identity(
    struct consensus *consensus, bool has_snapshot);
static void tick(void *context);
static void run_persist(void *context);
static void recover_disk(struct consensus *consensus);
static int64_t stamp_now(const struct consensus *consensus);
static void apply_entry(
    struct consensus *consensus, const struct journal_entry *entry);
static void answer_proposals(struct consensus *consensus, uint64_t index,
    const void *result, size_t result_size);
static void compact(struct consensus *consensus);
static uint64_t find_tail(const struct consensus *consensus);
static uint64_t find_voters(const struct consensus *consensus,
    uint64_t last_index, struct voter_set *voters);
static void note_name(void *context, const char *name);

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
	/* Two hosts that draw alike would split the votes for ever. */
	random_init(&consensus->random,
	    settings->seed + settings->host_id * HOST_SEED_STEP);
	consensus->acks =
	    g_array_new(FALSE, TRUE, sizeof(struct consensus_ack));
	consensus->incoming = g_byte_array_new();
	consensus->proposals = g_queue_new();
	error = open_storage(consensus);
	if (error == ERROR_NONE)
		error = timer_subscribe_every(timers,
		    consensus->settings.heartbeat_ms / TICKS_PER_HEARTBEAT,
		    (struct timer_callback){tick, consensus},
		    &consensus->tick_timer);
	if (error != ERROR_NONE) {
		consensus_finish(consensus);
		return error;
	}
	/* A vote given before a restart may still bind a leader's followers. */
	consensus->heard_leader_ms = timer_now(timers);
	consensus_reset_election(consensus);
	return ERROR_NONE;
}

enum error_code
consensus_clear_folder(const struct disk *disk)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	enum error_code error;
	guint i;

	error = disk->ops->list(
	    disk->context, (struct disk_visitor){note_name, names});
	for (i = 0; error == ERROR_NONE && i < names->len; i++)
		error = disk->ops->remove(disk->context, names->pdata[i]);
	if (error == ERROR_NONE)
		error = disk->ops->sync_folder(disk->context);
	g_ptr_array_unref(names);
	return error;
}

void
consensus_finish(struct consensus *consensus)
{
	if (consensus->proposals == NULL)
		return;
	consensus->ops.role_changed = NULL;
	consensus_step_down(consensus, 0);
	timer_cancel(consensus->timers, &consensus->tick_timer);
	timer_cancel(consensus->timers, &consensus->persist_timer);
	timer_cancel(consensus->timers, &consensus->election_timer);
	journal_close(&consensus->journal);
	snapshot_finish(&consensus->snapshot);
	g_array_unref(consensus->acks);
	g_byte_array_unref(consensus->incoming);
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
			error = consensus_receive_follower(
			    consensus, from, &message);
			break;
		case CONSENSUS_APPEND_REPLY:
		case CONSENSUS_SNAPSHOT_REPLY:
			consensus_receive_leader(consensus, from, &message);
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

	if (consensus->role != CONSENSUS_ROLE_LEADER ||
	    consensus->transfer_to != 0)
		return ERROR_NOT_LEADER;
	if (size > CONSENSUS_COMMAND_SIZE_MAX)
		return ERROR_TOO_LARGE;
	if (g_queue_get_length(consensus->proposals) >= CONSENSUS_PROPOSALS_MAX)
		return ERROR_TABLE_FULL;
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
	/* Followers sync at the same time as the leader. */
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
	compact(consensus);
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
	       consensus->commit_index >= consensus->term_start;
}

uint32_t
consensus_leader(const struct consensus *consensus)
{
	return consensus->leader_id;
}

bool
consensus_is_voter(const struct consensus *consensus)
{
	return voter_set_has(&consensus->voters, consensus->identity.self);
}

const struct voter_set *
consensus_voters(const struct consensus *consensus)
{
	return &consensus->voters;
}

int64_t
consensus_time_ms(const struct consensus *consensus)
{
	return stamp_now(consensus);
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

	bytes = malloc(RECORD_HEAD_SIZE + size);
	if (bytes == NULL)
		return ERROR_NO_MEMORY;
	consensus->stamp_ms = stamp_now(consensus);
	stamp = GUINT64_TO_LE((uint64_t)consensus->stamp_ms);
	bytes[0] = (unsigned char)kind;
	memcpy(bytes + 1, &stamp, sizeof(stamp));
	if (size > 0)
		memcpy(bytes + RECORD_HEAD_SIZE, data, size);
	error = journal_append(&consensus->journal, consensus->identity.term,
	    bytes, RECORD_HEAD_SIZE + size);
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

	if (entry->size < RECORD_HEAD_SIZE)
		return false;
	memcpy(&stamp, entry->data + 1, sizeof(stamp));
	record->kind = (enum consensus_entry_kind)entry->data[0];
	record->time_ms = (int64_t)GUINT64_FROM_LE(stamp);
	record->data = entry->data + RECORD_HEAD_SIZE;
	record->size = entry->size - RECORD_HEAD_SIZE;
	return true;
}

void
consensus_schedule_persist(struct consensus *consensus)
{
	if (consensus->is_persist_due)
		return;
	/* Without a timer the next tick does it. */
	consensus->is_persist_due = true;
	(void)timer_subscribe_once(consensus->timers, 0,
	    (struct timer_callback){run_persist, consensus},
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
	identity.vote = vote;
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
	consensus->transfer_to = 0;
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
	if (consensus->ops.role_changed != NULL)
		consensus->ops.role_changed(
		    consensus->ops.context, role, leader_id);
}

void
consensus_fail(struct consensus *consensus, enum error_code error)
{
	if (consensus->is_failed)
		return;
	consensus->is_failed = true;
	consensus->failure = error;
	g_array_set_size(consensus->acks, 0);
	event_log_write(EVENT_JOURNAL_FAILED, "%s", error_name(error));
	consensus_step_down(consensus, 0);
}

void
consensus_apply_committed(struct consensus *consensus)
{
	const struct journal_entry *entry;
	uint64_t end;

	if (consensus->is_applying)
		return;
	consensus->is_applying = true;
	end = MIN(consensus->commit_index, consensus->journal.synced_index);
	while (consensus->applied_index < end) {
		entry = journal_get(
		    &consensus->journal, consensus->applied_index + 1);
		if (entry == NULL)
			break;
		consensus->applied_index++;
		apply_entry(consensus, entry);
	}
	consensus->is_applying = false;
}

void
consensus_reload_voters(struct consensus *consensus)
{
	consensus->voters_index = find_voters(consensus,
	    journal_last_index(&consensus->journal), &consensus->voters);
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
		settings->compact_entries = COMPACT_DEFAULT;
}

static enum error_code
open_storage(struct consensus *consensus)
{
	const struct journal_entry *entry;
	struct consensus_record record;
	enum error_code error;
	bool has_snapshot;

	error = snapshot_file_read(&consensus->disk, &consensus->snapshot);
	has_snapshot = error == ERROR_NONE;
	if (error != ERROR_NONE && error != ERROR_NOT_FOUND)
		return error;
	error = journal_open(&consensus->journal, &consensus->disk,
	    consensus->snapshot.index, consensus->snapshot.term);
	if (error != ERROR_NONE)
		return error;
	if (consensus->journal.repaired_bytes > 0)
		event_log_write(EVENT_JOURNAL_REPAIRED, "%zu bytes cut off",
		    consensus->journal.repaired_bytes);
	error = open_identity(consensus, has_snapshot);
	if (error != ERROR_NONE)
		return error;
	/* A term is synced before any entry of it. */
	if (journal_last_term(&consensus->journal) > consensus->identity.term)
		return ERROR_CORRUPT;
	if (consensus->snapshot.state_size > 0 &&
	    consensus->ops.load(consensus->ops.context,
		consensus->snapshot.state,
		consensus->snapshot.state_size) != ERROR_NONE)
		return ERROR_CORRUPT;
	consensus->commit_index = consensus->snapshot.index;
	consensus->applied_index = consensus->snapshot.index;
	consensus->stamp_ms = consensus->snapshot.time_ms;
	entry = journal_get(
	    &consensus->journal, journal_last_index(&consensus->journal));
	if (entry != NULL && consensus_read_record(entry, &record))
		consensus->stamp_ms = MAX(consensus->stamp_ms, record.time_ms);
	consensus_reload_voters(consensus);
	return ERROR_NONE;
}

static enum error_code
open_identity(struct consensus *consensus, bool has_snapshot)
{
	struct voter_file *identity = &consensus->identity;
	enum error_code error;

	error = voter_file_read(&consensus->disk, identity);
	if (error == ERROR_NONE)
		return identity->cluster_id == consensus->settings.cluster_id &&
			       identity->self.host_id ==
				   consensus->settings.host_id
			   ? ERROR_NONE
			   : ERROR_IDENTITY_LOST;
	if (error != ERROR_NOT_FOUND)
		return error;
	if (has_snapshot || journal_last_index(&consensus->journal) > 0)
		return ERROR_IDENTITY_LOST;
	memset(identity, 0, sizeof(*identity));
	identity->cluster_id = consensus->settings.cluster_id;
	identity->self.host_id = consensus->settings.host_id;
	identity->self.incarnation = consensus->settings.fresh_incarnation;
	return voter_file_write(&consensus->disk, identity);
}

static void
tick(void *context)
{
	struct consensus *consensus = context;

	if (consensus->is_failed) {
		recover_disk(consensus);
		return;
	}
	if (consensus->is_persist_due)
		consensus_persist(consensus);
	if (consensus->role == CONSENSUS_ROLE_LEADER)
		consensus_tick_leader(consensus);
	else
		consensus_tick_election(consensus);
}

static void
run_persist(void *context)
{
	consensus_persist(context);
}

/* After a full disk what lasts is known; after a failed sync it is not. */
static void
recover_disk(struct consensus *consensus)
{
	if (consensus->failure != ERROR_DISK_FULL)
		return;
	if (journal_forget_unsynced(&consensus->journal) != ERROR_NONE ||
	    voter_file_write(&consensus->disk, &consensus->identity) !=
		ERROR_NONE)
		return;
	consensus->is_failed = false;
	consensus->failure = ERROR_NONE;
	/* What was committed but could not be stored is not known here. */
	consensus->commit_index = MIN(
	    consensus->commit_index, journal_last_index(&consensus->journal));
	consensus_reload_voters(consensus);
	consensus_reset_election(consensus);
}

/* A leader's wall clock may step; the cluster's time follows only as far as
 * the time since the last leader was heard allows. */
static int64_t
stamp_now(const struct consensus *consensus)
{
	int64_t wall_ms, expected_ms;

	wall_ms = consensus->ops.wall_ms(consensus->ops.context);
	if (consensus->reference_at_ms != 0) {
		expected_ms =
		    consensus->reference_ms +
		    (consensus_now(consensus) - consensus->reference_at_ms);
		wall_ms = CLAMP(wall_ms, expected_ms - TIME_SLACK_MS,
		    expected_ms + TIME_SLACK_MS);
	}
	return MAX(wall_ms, consensus->stamp_ms);
}

static void
apply_entry(struct consensus *consensus, const struct journal_entry *entry)
{
	struct consensus_record record = {0};
	struct consensus_entry applied = {0};
	const void *result;
	uint64_t index;
	size_t size;

	result = NULL;
	size = 0;
	index = entry->index;
	if (!consensus_read_record(entry, &record))
		return;
	consensus->stamp_ms = MAX(consensus->stamp_ms, record.time_ms);
	if (record.kind == CONSENSUS_ENTRY_COMMAND) {
		applied.index = index;
		applied.term = entry->term;
		applied.time_ms = record.time_ms;
		applied.data = record.data;
		applied.size = record.size;
		consensus->ops.apply(
		    consensus->ops.context, &applied, &result, &size);
	}
	if (record.kind == CONSENSUS_ENTRY_VOTERS)
		event_log_write(EVENT_VOTER_CHANGED, "entry %llu",
		    (unsigned long long)index);
	answer_proposals(consensus, index, result, size);
	if (consensus->role == CONSENSUS_ROLE_LEADER)
		consensus_continue_change(consensus);
}

static void
answer_proposals(struct consensus *consensus, uint64_t index,
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

static void
compact(struct consensus *consensus)
{
	struct snapshot snapshot = {0};
	enum error_code error;
	uint64_t entries;
	GByteArray *bytes;

	entries = consensus->applied_index - consensus->snapshot.index;
	/* Large states are saved less often than small ones. */
	if ((entries < consensus->settings.compact_entries &&
		(consensus->journal.held_bytes < COMPACT_BYTES ||
		    entries == 0)) ||
	    (consensus->journal.held_bytes < consensus->snapshot.state_size &&
		entries < JOURNAL_ENTRIES_MAX / 2) ||
	    journal_term(&consensus->journal, consensus->applied_index,
		&snapshot.term) != ERROR_NONE)
		return;
	bytes = consensus->ops.save(consensus->ops.context);
	snapshot.index = consensus->applied_index;
	snapshot.time_ms = consensus->stamp_ms;
	snapshot.state_size = bytes->len;
	snapshot.state = malloc(bytes->len + 1);
	if (snapshot.state == NULL) {
		g_byte_array_unref(bytes);
		return;
	}
	memcpy(snapshot.state, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	find_voters(consensus, snapshot.index, &snapshot.voters);
	error = snapshot_file_write(&consensus->disk, &snapshot);
	if (error == ERROR_NONE) {
		snapshot_finish(&consensus->snapshot);
		consensus->snapshot = snapshot;
		event_log_write(EVENT_SNAPSHOT_WRITTEN, "entry %llu",
		    (unsigned long long)snapshot.index);
		error = journal_drop_prefix(
		    &consensus->journal, find_tail(consensus));
	} else {
		snapshot_finish(&snapshot);
	}
	if (error != ERROR_NONE)
		consensus_fail(consensus, error);
}

/* Some entries stay for followers that are a little behind. */
static uint64_t
find_tail(const struct consensus *consensus)
{
	const struct journal_entry *entry;
	uint64_t index;
	size_t bytes;

	bytes = 0;
	for (index = consensus->snapshot.index; index > 0; index--) {
		entry = journal_get(&consensus->journal, index);
		if (entry == NULL ||
		    consensus->snapshot.index - index >=
			consensus->settings.compact_entries / 4)
			break;
		bytes += entry->size;
		if (bytes > TAIL_BYTES)
			break;
	}
	return index;
}

/* The voter set that holds at an entry, and the entry that set it. */
static uint64_t
find_voters(const struct consensus *consensus, uint64_t last_index,
    struct voter_set *voters)
{
	const struct journal_entry *entry;
	struct consensus_record record;
	uint64_t index;

	for (index = last_index; index > consensus->snapshot.index; index--) {
		entry = journal_get(&consensus->journal, index);
		if (entry != NULL && consensus_read_record(entry, &record) &&
		    record.kind == CONSENSUS_ENTRY_VOTERS &&
		    voter_set_decode(voters, record.data, record.size) ==
			ERROR_NONE)
			return index;
	}
	*voters = consensus->snapshot.voters;
	return consensus->snapshot.index;
}

static void
note_name(void *context, const char *name)
{
	GPtrArray *names = context;

	if (g_str_has_prefix(name, "journal-") ||
	    g_str_has_prefix(name, SNAPSHOT_FILE_NAME) ||
	    g_str_has_prefix(name, VOTER_FILE_NAME))
		g_ptr_array_add(names, g_strdup(name));
}
