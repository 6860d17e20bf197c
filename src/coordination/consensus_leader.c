#include <string.h>

#include "coordination/consensus_parts.h"

#define APPEND_BYTES_MAX    ((size_t)512 * 1024) /* Of entries in a message. */
#define APPEND_ENTRIES_MAX  2048u
#define SNAPSHOT_PIECE_SIZE ((size_t)64 * 1024)
#define CATCH_UP_MAX_MS	    60000 /* For a new voter. */
#define RESEND_HEARTBEATS   2	  /* Unanswered for so many, sent again. */

static void init_peer(struct consensus *consensus, struct consensus_peer *peer,
    struct voter voter);
static struct consensus_peer *find_peer(
    struct consensus *consensus, struct voter voter);
static void send_append(struct consensus *consensus,
    struct consensus_peer *peer, bool with_entries);
static uint32_t fit_entries(
    const struct consensus *consensus, uint64_t first_index);
static void send_snapshot(
    struct consensus *consensus, struct consensus_peer *peer);
static void tick_peer(struct consensus *consensus, struct consensus_peer *peer);
static bool hears_quorum(const struct consensus *consensus);
static void tick_transfer(struct consensus *consensus);
static void tick_change(struct consensus *consensus);
static void receive_append_reply(struct consensus *consensus,
    struct consensus_peer *peer, const struct consensus_message *message);
static void receive_snapshot_reply(struct consensus *consensus,
    struct consensus_peer *peer, const struct consensus_message *message);
static uint64_t find_quorum_value(const struct consensus *consensus,
    uint64_t (*read)(const struct consensus_peer *peer), uint64_t own,
    uint32_t copies);
static uint64_t read_match(const struct consensus_peer *peer);
static uint64_t read_confirmed(const struct consensus_peer *peer);
static enum error_code begin_change(struct consensus *consensus,
    enum consensus_change_phase phase, struct voter voter,
    struct consensus_callback callback);
static enum error_code append_voters(
    struct consensus *consensus, enum consensus_change_phase phase);
static void remove_from_set(struct voter_set *voters, uint32_t host_id);

enum error_code
consensus_add_voter(struct consensus *consensus, struct voter voter,
    struct consensus_callback callback)
{
	const struct voter *present;

	present = voter_set_find(&consensus->voters, voter.host_id);
	if (present != NULL && present->incarnation == voter.incarnation)
		return ERROR_ALREADY_EXISTS;
	if (present == NULL && consensus->voters.count >= VOTERS_MAX)
		return ERROR_TABLE_FULL;
	if (voter.host_id == 0 || voter.incarnation == 0)
		return ERROR_INVALID_ARGUMENT;
	return begin_change(
	    consensus, CONSENSUS_CHANGE_CATCH_UP, voter, callback);
}

enum error_code
consensus_remove_voter(struct consensus *consensus, uint32_t host_id,
    struct consensus_callback callback)
{
	const struct voter *present;
	enum error_code error;

	present = voter_set_find(&consensus->voters, host_id);
	if (present == NULL)
		return ERROR_NOT_FOUND;
	if (consensus->voters.count == 1)
		return ERROR_INVALID_ARGUMENT;
	error = begin_change(
	    consensus, CONSENSUS_CHANGE_REMOVE, *present, callback);
	if (error != ERROR_NONE)
		return error;
	error = append_voters(consensus, CONSENSUS_CHANGE_REMOVE);
	if (error != ERROR_NONE)
		consensus->change.phase = CONSENSUS_CHANGE_NONE;
	return error;
}

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
		if (voter_set_has(&consensus->voters, peer->voter) &&
		    (best == NULL || peer->match_index > best->match_index))
			best = peer;
	}
	if (best == NULL)
		return ERROR_NOT_FOUND;
	consensus->transfer_to = best->voter.host_id;
	consensus->transfer_due_ms =
	    consensus_now(consensus) + consensus->settings.election_max_ms;
	tick_transfer(consensus);
	return ERROR_NONE;
}

enum error_code
consensus_confirmed_at(
    const struct consensus *consensus, int64_t *at_ms, uint64_t *commit_index)
{
	if (!consensus_is_leader(consensus))
		return ERROR_NOT_LEADER;
	*at_ms = (int64_t)find_quorum_value(
	    consensus, read_confirmed, (uint64_t)consensus_now(consensus), 0);
	*commit_index = consensus->commit_index;
	return ERROR_NONE;
}

void
consensus_lead(struct consensus *consensus)
{
	consensus->peer_count = 0;
	consensus->transfer_to = 0;
	consensus->change.phase = CONSENSUS_CHANGE_NONE;
	/* Until its own entry commits it gives no answers. */
	consensus->term_start = journal_last_index(&consensus->journal) + 1;
	consensus_set_role(
	    consensus, CONSENSUS_ROLE_LEADER, consensus->identity.self.host_id);
	if (consensus->reference_at_ms == 0) {
		consensus->reference_ms =
		    MAX(consensus->vote_time_ms, consensus->stamp_ms);
		consensus->reference_at_ms = consensus_now(consensus);
	}
	consensus_update_peers(consensus);
	if (consensus_append(consensus, CONSENSUS_ENTRY_NOOP, NULL, 0) !=
	    ERROR_NONE)
		consensus_step_down(consensus, 0);
}

void
consensus_tick_leader(struct consensus *consensus)
{
	uint32_t i;

	if (!hears_quorum(consensus)) {
		consensus_step_down(consensus, 0);
		return;
	}
	for (i = 0; i < consensus->peer_count; i++)
		tick_peer(consensus, &consensus->peers[i]);
	tick_change(consensus);
	tick_transfer(consensus);
}

void
consensus_replicate(struct consensus *consensus)
{
	struct consensus_peer *peer;
	uint32_t i;

	for (i = 0; i < consensus->peer_count; i++) {
		peer = &consensus->peers[i];
		if (!peer->is_probing && peer->sent_index == 0 &&
		    peer->next_index <= journal_last_index(&consensus->journal))
			send_append(consensus, peer, true);
	}
}

void
consensus_advance_commit(struct consensus *consensus)
{
	uint64_t index, term;

	index = find_quorum_value(consensus, read_match,
	    consensus->journal.synced_index, consensus->settings.copies_min);
	/* An entry of an older term commits only behind one of this term. */
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
		else if (consensus->change.phase == CONSENSUS_CHANGE_CATCH_UP ||
			 consensus->change.phase == CONSENSUS_CHANGE_REMOVE_OLD)
			wanted = consensus->change.voter;
		else
			break;
		if (wanted.host_id == consensus->identity.self.host_id &&
		    wanted.incarnation == consensus->identity.self.incarnation)
			continue;
		known = find_peer(consensus, wanted);
		if (known != NULL)
			peers[count] = *known;
		else
			init_peer(consensus, &peers[count], wanted);
		count++;
	}
	memcpy(consensus->peers, peers, count * sizeof(peers[0]));
	consensus->peer_count = count;
}

void
consensus_continue_change(struct consensus *consensus)
{
	struct consensus_change *change = &consensus->change;

	if (consensus->applied_index >= consensus->voters_index &&
	    consensus->voters_index >= consensus->term_start &&
	    !consensus_is_voter(consensus)) {
		/* It has taken itself out: the others hear of the commit. */
		consensus_end_change(consensus, ERROR_NONE);
		consensus_step_down(consensus, 0);
		return;
	}
	if (change->phase < CONSENSUS_CHANGE_REMOVE_OLD ||
	    consensus->applied_index < change->index)
		return;
	if (change->phase != CONSENSUS_CHANGE_REMOVE_OLD) {
		consensus_end_change(consensus, ERROR_NONE);
		return;
	}
	change->phase = CONSENSUS_CHANGE_ADD;
	if (append_voters(consensus, CONSENSUS_CHANGE_ADD) != ERROR_NONE)
		consensus_end_change(consensus, ERROR_OUTCOME_UNKNOWN);
}

void
consensus_end_change(struct consensus *consensus, enum error_code error)
{
	struct consensus_change change = consensus->change;

	if (change.phase == CONSENSUS_CHANGE_NONE)
		return;
	consensus->change.phase = CONSENSUS_CHANGE_NONE;
	if (consensus->role == CONSENSUS_ROLE_LEADER)
		consensus_update_peers(consensus);
	change.callback.run(
	    change.callback.context, error, change.index, NULL, 0);
}

void
consensus_receive_leader(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	struct consensus_peer *peer;

	if (message->term > consensus->identity.term) {
		if (consensus_set_term(consensus, message->term, 0))
			consensus_step_down(consensus, 0);
		return;
	}
	peer = find_peer(consensus, from);
	if (consensus->role != CONSENSUS_ROLE_LEADER || peer == NULL ||
	    message->term != consensus->identity.term)
		return;
	peer->heard_ms = consensus_now(consensus);
	peer->confirmed_ms = MAX(peer->confirmed_ms,
	    MIN(message->sent_ms, consensus_now(consensus)));
	if (message->type == CONSENSUS_APPEND_REPLY)
		receive_append_reply(consensus, peer, message);
	else
		receive_snapshot_reply(consensus, peer, message);
	/* A commit may have ended the lead, or changed the peers. */
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
	peer->heard_ms = consensus_now(consensus);
	peer->sent_ms = consensus_now(consensus);
	send_append(consensus, peer, false);
}

static struct consensus_peer *
find_peer(struct consensus *consensus, struct voter voter)
{
	uint32_t i;

	for (i = 0; i < consensus->peer_count; i++) {
		if (consensus->peers[i].voter.host_id == voter.host_id &&
		    consensus->peers[i].voter.incarnation == voter.incarnation)
			return &consensus->peers[i];
	}
	return NULL;
}

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
	message.commit = consensus->commit_index;
	message.sent_ms = consensus_now(consensus);
	message.time_ms = consensus_time_ms(consensus);
	if (with_entries) {
		message.entry_count = fit_entries(consensus, peer->next_index);
		message.entries =
		    journal_get(&consensus->journal, peer->next_index);
		peer->sent_index = message.index + message.entry_count;
		peer->entries_sent_ms = consensus_now(consensus);
	}
	peer->sent_ms = consensus_now(consensus);
	consensus_send(consensus, peer->voter, &message);
}

static uint32_t
fit_entries(const struct consensus *consensus, uint64_t first_index)
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
	message.total = snapshot->state_size;
	message.data_size =
	    MIN(snapshot->state_size - message.offset, SNAPSHOT_PIECE_SIZE);
	if (message.data_size > 0)
		message.data = snapshot->state + message.offset;
	message.sent_ms = consensus_now(consensus);
	peer->sent_ms = consensus_now(consensus);
	consensus_send(consensus, peer->voter, &message);
}

static void
tick_peer(struct consensus *consensus, struct consensus_peer *peer)
{
	int64_t now_ms, heartbeat_ms;

	now_ms = consensus_now(consensus);
	heartbeat_ms = consensus->settings.heartbeat_ms;
	/* The entries or their answer are lost. */
	if (peer->sent_index != 0 &&
	    now_ms - peer->entries_sent_ms >= heartbeat_ms * RESEND_HEARTBEATS)
		peer->sent_index = 0;
	if (peer->sent_index == 0 && !peer->is_probing &&
	    peer->next_index <= journal_last_index(&consensus->journal))
		send_append(consensus, peer, true);
	else if (now_ms - peer->sent_ms >= heartbeat_ms)
		send_append(consensus, peer, false);
}

static bool
hears_quorum(const struct consensus *consensus)
{
	const struct consensus_peer *peer;
	uint32_t heard, i;

	heard = consensus_is_voter(consensus) ? 1 : 0;
	for (i = 0; i < consensus->peer_count; i++) {
		peer = &consensus->peers[i];
		if (voter_set_has(&consensus->voters, peer->voter) &&
		    consensus_now(consensus) - peer->heard_ms <
			consensus->settings.election_min_ms)
			heard++;
	}
	return heard >= voter_set_quorum(&consensus->voters);
}

static void
tick_transfer(struct consensus *consensus)
{
	struct consensus_message message = {.type = CONSENSUS_TIMEOUT_NOW};
	const struct consensus_peer *peer;
	uint32_t i;

	if (consensus->transfer_to == 0)
		return;
	if (consensus_now(consensus) >= consensus->transfer_due_ms) {
		consensus->transfer_to = 0;
		return;
	}
	message.term = consensus->identity.term;
	for (i = 0; i < consensus->peer_count; i++) {
		peer = &consensus->peers[i];
		if (peer->voter.host_id == consensus->transfer_to &&
		    peer->match_index ==
			journal_last_index(&consensus->journal))
			consensus_send(consensus, peer->voter, &message);
	}
}

static void
tick_change(struct consensus *consensus)
{
	struct consensus_change *change = &consensus->change;
	const struct consensus_peer *peer;
	enum consensus_change_phase next;

	if (change->phase != CONSENSUS_CHANGE_CATCH_UP)
		return;
	if (consensus_now(consensus) >= change->deadline_ms) {
		consensus_end_change(consensus, ERROR_TIMEOUT);
		return;
	}
	peer = find_peer(consensus, change->voter);
	if (peer == NULL || peer->match_index < consensus->commit_index ||
	    consensus_now(consensus) - peer->heard_ms >=
		consensus->settings.election_min_ms)
		return;
	next = CONSENSUS_CHANGE_ADD;
	if (voter_set_find(&consensus->voters, change->voter.host_id) != NULL)
		next = CONSENSUS_CHANGE_REMOVE_OLD;
	change->phase = next;
	if (append_voters(consensus, next) != ERROR_NONE)
		consensus_end_change(consensus, ERROR_TABLE_FULL);
}

static void
receive_append_reply(struct consensus *consensus, struct consensus_peer *peer,
    const struct consensus_message *message)
{
	if (!message->is_granted) {
		/* An old refusal must not undo what is known to match. */
		if (message->index >= peer->next_index)
			return;
		peer->next_index = MAX(message->index, peer->match_index) + 1;
		peer->is_probing = true;
		peer->sent_index = 0;
		send_append(consensus, peer, false);
		return;
	}
	peer->is_probing = false;
	peer->match_index = MAX(peer->match_index, message->index);
	peer->next_index = MAX(peer->next_index, peer->match_index + 1);
	if (peer->match_index >= peer->sent_index)
		peer->sent_index = 0;
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

		/* Another answer to the same piece must not send it again. */
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
	peer->sent_index = 0;
}

/* The largest value that a quorum of the voters reaches. */
static uint64_t
find_quorum_value(const struct consensus *consensus,
    uint64_t (*read)(const struct consensus_peer *peer), uint64_t own,
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
		if (!voter_set_has(&consensus->voters, peer->voter))
			continue;
		value = read(peer);
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
read_match(const struct consensus_peer *peer)
{
	return peer->match_index;
}

static uint64_t
read_confirmed(const struct consensus_peer *peer)
{
	return (uint64_t)peer->confirmed_ms;
}

static enum error_code
begin_change(struct consensus *consensus, enum consensus_change_phase phase,
    struct voter voter, struct consensus_callback callback)
{
	struct consensus_change *change = &consensus->change;

	if (!consensus_is_leader(consensus) || consensus->transfer_to != 0)
		return ERROR_NOT_LEADER;
	if (change->phase != CONSENSUS_CHANGE_NONE ||
	    consensus->voters_index > consensus->commit_index)
		return ERROR_CHANGE_PENDING;
	change->phase = phase;
	change->voter = voter;
	change->index = 0;
	change->deadline_ms = consensus_now(consensus) + CATCH_UP_MAX_MS;
	change->callback = callback;
	consensus_update_peers(consensus);
	return ERROR_NONE;
}

static enum error_code
append_voters(struct consensus *consensus, enum consensus_change_phase phase)
{
	struct voter_set voters = consensus->voters;
	struct message_writer writer;
	enum error_code error;

	if (phase == CONSENSUS_CHANGE_ADD)
		voters.voters[voters.count++] = consensus->change.voter;
	else
		remove_from_set(&voters, consensus->change.voter.host_id);
	message_writer_init(&writer);
	voter_set_encode(&voters, &writer);
	error = consensus_append(consensus, CONSENSUS_ENTRY_VOTERS,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
	if (error != ERROR_NONE)
		return error;
	consensus->change.index = journal_last_index(&consensus->journal);
	/* A voter set holds from the moment that it is in the log. */
	consensus_reload_voters(consensus);
	consensus_update_peers(consensus);
	return ERROR_NONE;
}

static void
remove_from_set(struct voter_set *voters, uint32_t host_id)
{
	uint32_t from, kept;

	kept = 0;
	for (from = 0; from < voters->count; from++) {
		if (voters->voters[from].host_id != host_id)
			voters->voters[kept++] = voters->voters[from];
	}
	voters->count = kept;
}
