/*
 * Changes of the voter set, one at a time: a new voter catches up first, then the
 * entry with the new set is appended, which takes effect at once and ends the
 * change when it has committed.
 */
#include <string.h>

#include "coordination/consensus_parts.h"

/* A new voter that has not caught up by then is not added. */
#define CATCH_UP_TIMEOUT_MS 60000
/* A new voter that does not reply for this many times the shortest election
 * timeout is not added. */
#define CATCH_UP_SILENCE_TIMEOUTS 3

static void tell_removed_voter(struct consensus *consensus);
static enum error_code start_change(struct consensus *consensus,
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
	return start_change(
	    consensus, CONSENSUS_CHANGE_CATCH_UP, voter, callback);
}

struct voter
consensus_joining_voter(const struct consensus *consensus)
{
	if (consensus->change.phase != CONSENSUS_CHANGE_CATCH_UP)
		return (struct voter){0};
	return consensus->change.voter;
}

void
consensus_cancel_join(struct consensus *consensus)
{
	if (consensus->change.phase == CONSENSUS_CHANGE_CATCH_UP)
		consensus_end_change(consensus, ERROR_CANCELLED);
}

enum error_code
consensus_remove_voter(struct consensus *consensus, struct voter voter,
    struct consensus_callback callback)
{
	const struct voter *present;
	enum error_code error;

	present = voter_set_find(&consensus->voters, voter.host_id);
	if (present == NULL)
		return ERROR_NOT_FOUND;
	if (voter.incarnation != 0 && voter.incarnation != present->incarnation)
		return ERROR_STALE;
	if (consensus->voters.count == 1)
		return ERROR_INVALID_ARGUMENT;
	error = start_change(
	    consensus, CONSENSUS_CHANGE_REMOVE, *present, callback);
	if (error != ERROR_NONE)
		return error;
	error = append_voters(consensus, CONSENSUS_CHANGE_REMOVE);
	if (error != ERROR_NONE)
		consensus->change.phase = CONSENSUS_CHANGE_NONE;
	return error;
}

void
consensus_change_tick(struct consensus *consensus)
{
	struct consensus_change *change = &consensus->change;
	const struct consensus_peer *peer;
	enum consensus_change_phase next;
	int64_t silence_ms;

	if (change->phase != CONSENSUS_CHANGE_CATCH_UP)
		return;
	peer = consensus_find_peer(consensus, change->voter);
	if (peer == NULL)
		return;
	silence_ms = consensus_now(consensus) - peer->last_reply_ms;
	if (consensus_now(consensus) >= change->deadline_ms ||
	    silence_ms >= CATCH_UP_SILENCE_TIMEOUTS *
			      consensus->settings.election_min_ms) {
		consensus_end_change(consensus, ERROR_TIMEOUT);
		return;
	}
	if (peer->match_index < consensus->commit_index ||
	    silence_ms >= consensus->settings.election_min_ms)
		return;
	next = CONSENSUS_CHANGE_ADD;
	if (voter_set_find(&consensus->voters, change->voter.host_id) != NULL)
		next = CONSENSUS_CHANGE_REMOVE_OLD;
	change->phase = next;
	if (append_voters(consensus, next) != ERROR_NONE)
		consensus_end_change(consensus, ERROR_TABLE_FULL);
}

void
consensus_continue_change(struct consensus *consensus)
{
	struct consensus_change *change = &consensus->change;

	if (consensus->applied_index >= consensus->voters_index &&
	    consensus->voters_index >= consensus->term_start_index &&
	    !consensus_is_voter(consensus)) {
		/* This leader has removed itself from the voters. The other
		 * voters still learn that the entry is committed. */
		consensus_end_change(consensus, ERROR_NONE);
		consensus_step_down(consensus, 0);
		return;
	}
	if (change->phase < CONSENSUS_CHANGE_REMOVE_OLD ||
	    consensus->applied_index < change->index)
		return;
	if (change->phase != CONSENSUS_CHANGE_REMOVE_OLD) {
		if (change->phase == CONSENSUS_CHANGE_REMOVE)
			tell_removed_voter(consensus);
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

bool
consensus_is_change_peer(const struct consensus *consensus)
{
	const struct consensus_change *change = &consensus->change;

	return change->phase != CONSENSUS_CHANGE_NONE &&
	       !voter_set_contains(&consensus->voters, change->voter);
}

/* Sends a removed voter the entry that removes it once more, as committed: a host
 * that is stopping ends when it knows this. */
static void
tell_removed_voter(struct consensus *consensus)
{
	struct consensus_peer *peer;

	peer = consensus_find_peer(consensus, consensus->change.voter);
	if (peer != NULL)
		consensus_send_entries(consensus, peer);
}

/* Records a voter change, unless another one is pending. */
static enum error_code
start_change(struct consensus *consensus, enum consensus_change_phase phase,
    struct voter voter, struct consensus_callback callback)
{
	struct consensus_change *change = &consensus->change;

	if (!consensus_is_leader(consensus) ||
	    consensus->transfer_target_id != 0)
		return ERROR_NOT_LEADER;
	if (change->phase != CONSENSUS_CHANGE_NONE ||
	    consensus->voters_index > consensus->commit_index)
		return ERROR_CHANGE_PENDING;
	change->phase = phase;
	change->voter = voter;
	change->index = 0;
	change->deadline_ms = consensus_now(consensus) + CATCH_UP_TIMEOUT_MS;
	change->callback = callback;
	consensus_update_peers(consensus);
	return ERROR_NONE;
}

/* Appends the voter set of this phase: with the new voter, or without the host
 * that is removed. */
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
	/* A voter set takes effect as soon as it is in the log, before it
	 * has committed. */
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
