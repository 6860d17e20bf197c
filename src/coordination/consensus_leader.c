#include <string.h>

#include "coordination/consensus_parts.h"

/* Limits of the entries in one message. A larger entry is sent alone. */
#define APPEND_BYTES_MAX   ((size_t)512 * 1024)
#define APPEND_ENTRIES_MAX 2048u
/* Bytes of a snapshot in one message. */
#define SNAPSHOT_PIECE_SIZE ((size_t)64 * 1024)
/* Heartbeat intervals after which entries without a reply are sent again. */
#define RESEND_HEARTBEATS 2

static void init_peer(struct consensus *consensus, struct consensus_peer *peer,
    struct voter voter);
static void send_append(struct consensus *consensus,
    struct consensus_peer *peer, bool with_entries);
static uint32_t count_entries_to_send(
    const struct consensus *consensus, uint64_t first_index);
static void send_snapshot(
    struct consensus *consensus, struct consensus_peer *peer);
static void peer_tick(struct consensus *consensus, struct consensus_peer *peer);
static bool has_quorum_contact(const struct consensus *consensus);
static void transfer_tick(struct consensus *consensus);
static void receive_append_reply(struct consensus *consensus,
    struct consensus_peer *peer, const struct consensus_message *message);
static void receive_snapshot_reply(struct consensus *consensus,
    struct consensus_peer *peer, const struct consensus_message *message);
static uint64_t find_quorum_value(const struct consensus *consensus,
    uint64_t (*get_value)(const struct consensus_peer *peer), uint64_t own,
    uint32_t copies);
static uint64_t get_match_index(const struct consensus_peer *peer);
static uint64_t get_confirmed_ms(const struct consensus_peer *peer);

enum error_code
consensus_transfer(struct consensus *consensus)
{
	const struct consensus_peer *best, *peer;
	uint32_t i;

	if (!consensus_is_leader(consensus))
		return ERROR_NOT_LEADER;
	best = NULL;
	for (i = 0; i < consensus->peer_count; i++) {
		peer = &consensus->peers[i];
		if (voter_set_contains(&consensus->voters, peer->voter) &&
		    (best == NULL || peer->match_index > best->match_index))
			best = peer;
	}
	if (best == NULL)
		return ERROR_NOT_FOUND;
	consensus->transfer_target_id = best->voter.host_id;
	consensus->transfer_deadline_ms =
	    consensus_now(consensus) + consensus->settings.election_max_ms;
	transfer_tick(consensus);
	return ERROR_NONE;
}

enum error_code
consensus_confirmed_at(
    const struct consensus *consensus, int64_t *at_ms, uint64_t *commit_index)
{
	if (!consensus_is_leader(consensus))
		return ERROR_NOT_LEADER;
	*at_ms = (int64_t)find_quorum_value(
	    consensus, get_confirmed_ms, (uint64_t)consensus_now(consensus), 0);
	*commit_index = consensus->commit_index;
	return ERROR_NONE;
}

void
consensus_become_leader(struct consensus *consensus)
{
	consensus->peer_count = 0;
	consensus->transfer_target_id = 0;
	consensus->change.phase = CONSENSUS_CHANGE_NONE;
	/* consensus_is_leader() is false until this entry has committed. */
	consensus->term_start_index =
	    journal_last_index(&consensus->journal) + 1;
	consensus_set_role(
	    consensus, CONSENSUS_ROLE_LEADER, consensus->identity.self.host_id);
	if (consensus->time_reference_at_ms == 0) {
		consensus->time_reference_ms = MAX(
		    consensus->voter_time_min_ms, consensus->last_timestamp_ms);
		consensus->time_reference_at_ms = consensus_now(consensus);
	}
	consensus_update_peers(consensus);
	if (consensus_append(consensus, CONSENSUS_ENTRY_NOOP, NULL, 0) !=
	    ERROR_NONE)
		consensus_step_down(consensus, 0);
}

void
consensus_leader_tick(struct consensus *consensus)
{
	uint32_t i;

	if (!has_quorum_contact(consensus)) {
		consensus_step_down(consensus, 0);
		return;
	}
	for (i = 0; i < consensus->peer_count; i++)
		peer_tick(consensus, &consensus->peers[i]);
	consensus_change_tick(consensus);
	transfer_tick(consensus);
}

void
consensus_replicate(struct consensus *consensus)
{
	struct consensus_peer *peer;
	uint32_t i;

	for (i = 0; i < consensus->peer_count; i++) {
		peer = &consensus->peers[i];
		if (!peer->is_probing && peer->in_flight_index == 0 &&
		    peer->next_index <= journal_last_index(&consensus->journal))
			send_append(consensus, peer, true);
	}
}

void
consensus_advance_commit(struct consensus *consensus)
{
	uint64_t index, term;

	index = find_quorum_value(consensus, get_match_index,
	    consensus->journal.synced_index, consensus->settings.copies_min);
	/* Entries of older terms commit only together with an entry of the
	 * current term: alone they could still be replaced. */
	if (index <= consensus->commit_index ||
	    journal_term(&consensus->journal, index, &term) != ERROR_NONE ||
	    term != consensus->identity.term)
		return;
	consensus->commit_index = index;
	consensus_apply_committed(consensus);
}

void
consensus_update_peers(struct consensus *consensus)
{
	struct consensus_peer peers[CONSENSUS_PEERS_MAX];
	struct consensus_peer *known;
	struct voter wanted;
	uint32_t count, i;

	count = 0;
	for (i = 0; i <= consensus->voters.count; i++) {
		if (i < consensus->voters.count)
			wanted = consensus->voters.voters[i];
		else if (consensus_is_change_peer(consensus))
			wanted = consensus->change.voter;
		else
			break;
		if (wanted.host_id == consensus->identity.self.host_id &&
		    wanted.incarnation == consensus->identity.self.incarnation)
			continue;
		known = consensus_find_peer(consensus, wanted);
		if (known != NULL)
			peers[count] = *known;
		else
			init_peer(consensus, &peers[count], wanted);
		count++;
	}
	memcpy(consensus->peers, peers, count * sizeof(peers[0]));
	consensus->peer_count = count;
}

struct consensus_peer *
consensus_find_peer(struct consensus *consensus, struct voter voter)
{
	uint32_t i;

	for (i = 0; i < consensus->peer_count; i++) {
		if (consensus->peers[i].voter.host_id == voter.host_id &&
		    consensus->peers[i].voter.incarnation == voter.incarnation)
			return &consensus->peers[i];
	}
	return NULL;
}

void
consensus_send_entries(struct consensus *consensus, struct consensus_peer *peer)
{
	send_append(consensus, peer, true);
}

void
consensus_receive_as_leader(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	struct consensus_peer *peer;

	if (message->term > consensus->identity.term) {
		if (consensus_set_term(consensus, message->term, 0))
			consensus_step_down(consensus, 0);
		return;
	}
	peer = consensus_find_peer(consensus, from);
	if (consensus->role != CONSENSUS_ROLE_LEADER || peer == NULL ||
	    message->term != consensus->identity.term)
		return;
	peer->last_reply_ms = consensus_now(consensus);
	peer->confirmed_ms = MAX(peer->confirmed_ms,
	    MIN(message->sent_ms, consensus_now(consensus)));
	if (message->type == CONSENSUS_APPEND_REPLY)
		receive_append_reply(consensus, peer, message);
	else
		receive_snapshot_reply(consensus, peer, message);
	/* A commit may have ended this host's leadership. */
	if (consensus->role == CONSENSUS_ROLE_LEADER)
		consensus_replicate(consensus);
}

static void
init_peer(struct consensus *consensus, struct consensus_peer *peer,
    struct voter voter)
{
	memset(peer, 0, sizeof(*peer));
	peer->voter = voter;
	peer->next_index = journal_last_index(&consensus->journal) + 1;
	peer->is_probing = true;
	peer->last_reply_ms = consensus_now(consensus);
	peer->last_sent_ms = consensus_now(consensus);
	send_append(consensus, peer, false);
}

/* Sends a heartbeat, or the entries from next_index on if @p with_entries is
 * true. If the journal no longer holds the entry before next_index, a piece of
 * the snapshot is sent instead. */
static void
send_append(
    struct consensus *consensus, struct consensus_peer *peer, bool with_entries)
{
	struct consensus_message message = {.type = CONSENSUS_APPEND};

	message.index = peer->next_index - 1;
	if (journal_term(&consensus->journal, message.index,
		&message.log_term) != ERROR_NONE) {
		send_snapshot(consensus, peer);
		return;
	}
	message.term = consensus->identity.term;
	message.commit_index = consensus->commit_index;
	message.sent_ms = consensus_now(consensus);
	message.time_ms = consensus_time_ms(consensus);
	if (with_entries) {
		message.entry_count =
		    count_entries_to_send(consensus, peer->next_index);
		message.entries =
		    journal_get(&consensus->journal, peer->next_index);
		peer->in_flight_index = message.index + message.entry_count;
		peer->entries_sent_ms = consensus_now(consensus);
	}
	peer->last_sent_ms = consensus_now(consensus);
	consensus_send(consensus, peer->voter, &message);
}

/* Returns how many entries from @p first_index on fit into one message. */
static uint32_t
count_entries_to_send(const struct consensus *consensus, uint64_t first_index)
{
	const struct journal_entry *entry;
	uint32_t count;
	size_t bytes;

	bytes = 0;
	for (count = 0; count < APPEND_ENTRIES_MAX; count++) {
		entry = journal_get(&consensus->journal, first_index + count);
		if (entry == NULL)
			break;
		bytes += entry->size;
		if (count > 0 && bytes > APPEND_BYTES_MAX)
			break;
	}
	return count;
}

/* Sends the next piece of the latest snapshot. */
static void
send_snapshot(struct consensus *consensus, struct consensus_peer *peer)
{
	const struct snapshot *snapshot = &consensus->snapshot;
	struct consensus_message message = {.type = CONSENSUS_SNAPSHOT};

	if (peer->snapshot_index != snapshot->index) {
		peer->snapshot_index = snapshot->index;
		peer->snapshot_offset = 0;
	}
	message.term = consensus->identity.term;
	message.index = snapshot->index;
	message.log_term = snapshot->term;
	message.time_ms = snapshot->time_ms;
	message.voters = snapshot->voters;
	message.offset = peer->snapshot_offset;
	message.total_size = snapshot->state_size;
	message.data_size =
	    MIN(snapshot->state_size - message.offset, SNAPSHOT_PIECE_SIZE);
	if (message.data_size > 0)
		message.data = snapshot->state + message.offset;
	message.sent_ms = consensus_now(consensus);
	peer->last_sent_ms = consensus_now(consensus);
	consensus_send(consensus, peer->voter, &message);
}

/* Sends entries that are new or were lost, or a heartbeat if one is due. */
static void
peer_tick(struct consensus *consensus, struct consensus_peer *peer)
{
	int64_t now_ms, heartbeat_ms;

	now_ms = consensus_now(consensus);
	heartbeat_ms = consensus->settings.heartbeat_ms;
	/* The entries or the reply were lost: send the entries again. */
	if (peer->in_flight_index != 0 &&
	    now_ms - peer->entries_sent_ms >= heartbeat_ms * RESEND_HEARTBEATS)
		peer->in_flight_index = 0;
	if (peer->in_flight_index == 0 && !peer->is_probing &&
	    peer->next_index <= journal_last_index(&consensus->journal))
		send_append(consensus, peer, true);
	else if (now_ms - peer->last_sent_ms >= heartbeat_ms)
		send_append(consensus, peer, false);
}

/* Returns true if a quorum, including this host if it is a voter, has replied
 * within the minimum election timeout. */
static bool
has_quorum_contact(const struct consensus *consensus)
{
	const struct consensus_peer *peer;
	uint32_t in_contact, i;

	in_contact = consensus_is_voter(consensus) ? 1 : 0;
	for (i = 0; i < consensus->peer_count; i++) {
		peer = &consensus->peers[i];
		if (voter_set_contains(&consensus->voters, peer->voter) &&
		    consensus_now(consensus) - peer->last_reply_ms <
			consensus->settings.election_min_ms)
			in_contact++;
	}
	return in_contact >= voter_set_quorum(&consensus->voters);
}

/* Asks the target of a transfer to start an election once its log is complete.
 * Gives up the transfer at its deadline. */
static void
transfer_tick(struct consensus *consensus)
{
	struct consensus_message message = {.type = CONSENSUS_TIMEOUT_NOW};
	const struct consensus_peer *peer;
	uint32_t i;

	if (consensus->transfer_target_id == 0)
		return;
	if (consensus_now(consensus) >= consensus->transfer_deadline_ms) {
		consensus->transfer_target_id = 0;
		return;
	}
	message.term = consensus->identity.term;
	for (i = 0; i < consensus->peer_count; i++) {
		peer = &consensus->peers[i];
		if (peer->voter.host_id == consensus->transfer_target_id &&
		    peer->match_index ==
			journal_last_index(&consensus->journal))
			consensus_send(consensus, peer->voter, &message);
	}
}

/* Handles a reply to entries. A rejection carries the index from which the
 * follower's log may match. */
static void
receive_append_reply(struct consensus *consensus, struct consensus_peer *peer,
    const struct consensus_message *message)
{
	if (!message->is_granted) {
		/* Ignore a delayed rejection. A rejection must not move
		 * next_index forward, nor back to entries known to match. */
		if (message->index >= peer->next_index)
			return;
		peer->next_index = MAX(message->index, peer->match_index) + 1;
		peer->is_probing = true;
		peer->in_flight_index = 0;
		send_append(consensus, peer, false);
		return;
	}
	peer->is_probing = false;
	peer->match_index = MAX(peer->match_index, message->index);
	peer->next_index = MAX(peer->next_index, peer->match_index + 1);
	if (peer->match_index >= peer->in_flight_index)
		peer->in_flight_index = 0;
	consensus_advance_commit(consensus);
}

static void
receive_snapshot_reply(struct consensus *consensus, struct consensus_peer *peer,
    const struct consensus_message *message)
{
	if (message->index != peer->snapshot_index)
		return;
	if (!message->is_granted) {
		bool is_new = message->offset > peer->snapshot_offset;

		/* A duplicate reply must not cause the same piece to be sent
		 * again. */
		peer->snapshot_offset =
		    MIN(message->offset, consensus->snapshot.state_size);
		if (is_new)
			send_snapshot(consensus, peer);
		return;
	}
	peer->match_index = MAX(peer->match_index, message->index);
	peer->next_index = MAX(peer->next_index, peer->match_index + 1);
	peer->snapshot_index = 0;
	peer->is_probing = false;
	peer->in_flight_index = 0;
}

/* Returns the largest value that a quorum of the voters, and at least @p copies
 * of them (or all if there are fewer), have reached; 0 if there is none. @p own
 * is the value of this host. */
static uint64_t
find_quorum_value(const struct consensus *consensus,
    uint64_t (*get_value)(const struct consensus_peer *peer), uint64_t own,
    uint32_t copies)
{
	uint64_t values[CONSENSUS_PEERS_MAX + 1] = {0}, value;
	const struct consensus_peer *peer;
	uint32_t count, i, at;

	count = 0;
	if (consensus_is_voter(consensus))
		values[count++] = own;
	for (i = 0; i < consensus->peer_count; i++) {
		peer = &consensus->peers[i];
		if (!voter_set_contains(&consensus->voters, peer->voter))
			continue;
		value = get_value(peer);
		for (at = count; at > 0 && values[at - 1] < value; at--)
			values[at] = values[at - 1];
		values[at] = value;
		count++;
	}
	i = voter_set_quorum(&consensus->voters);
	i = MAX(i, MIN(copies, consensus->voters.count));
	return i <= count ? values[i - 1] : 0;
}

static uint64_t
get_match_index(const struct consensus_peer *peer)
{
	return peer->match_index;
}

static uint64_t
get_confirmed_ms(const struct consensus_peer *peer)
{
	return (uint64_t)peer->confirmed_ms;
}
