#include "base/event_log.h"
#include "coordination/consensus_parts.h"

/* Term of the first voter set; every election has a later one. */
#define BOOTSTRAP_TERM 1

/* A candidate retries after a random time between the minimum election timeout
 * divided by this and the minimum election timeout. */
#define RETRY_TIMEOUT_DIVISOR 4

static void schedule_election(
    struct consensus *consensus, int64_t min_ms, int64_t max_ms);
static void on_election_timeout(void *context);
static void request_votes(
    struct consensus *consensus, bool is_pre_vote, bool is_transfer);
static void count_vote(struct consensus *consensus, struct voter voter);
static void receive_vote_request(struct consensus *consensus, struct voter from,
    const struct consensus_message *message);
static bool grant_vote(struct consensus *consensus, struct voter from,
    const struct consensus_message *message);
static void receive_vote_reply(struct consensus *consensus, struct voter from,
    const struct consensus_message *message);
static void adopt_voter_time(
    struct consensus *consensus, const struct consensus_message *message);
static bool is_up_to_date(
    const struct consensus *consensus, const struct consensus_message *message);
static bool has_recent_leader(const struct consensus *consensus);
static bool is_fresh(const struct consensus *consensus);
static bool is_bootstrap_host(const struct consensus *consensus);
static void send_hellos(struct consensus *consensus);
static void receive_hello_reply(struct consensus *consensus, struct voter from,
    const struct consensus_message *message);
static void form_cluster(struct consensus *consensus);

void
consensus_reset_election(struct consensus *consensus)
{
	const struct consensus_settings *settings = &consensus->settings;

	schedule_election(
	    consensus, settings->election_min_ms, settings->election_max_ms);
}

void
consensus_election_tick(struct consensus *consensus)
{
	if (consensus_now(consensus) < consensus->election_due_ms)
		return;
	consensus_reset_election(consensus);
	if (consensus->leader_id != 0)
		consensus_set_role(consensus, CONSENSUS_ROLE_FOLLOWER, 0);
	if (consensus_is_voter(consensus))
		request_votes(consensus, true, false);
	else if (is_fresh(consensus) && is_bootstrap_host(consensus))
		send_hellos(consensus);
}

void
consensus_receive_election(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	struct consensus_message reply = {.type = CONSENSUS_HELLO_REPLY};

	switch (message->type) {
	case CONSENSUS_VOTE_REQUEST:
		receive_vote_request(consensus, from, message);
		break;
	case CONSENSUS_VOTE_REPLY:
		receive_vote_reply(consensus, from, message);
		break;
	case CONSENSUS_TIMEOUT_NOW:
		if (message->term == consensus->identity.term &&
		    from.host_id == consensus->leader_id &&
		    consensus_is_voter(consensus))
			request_votes(consensus, false, true);
		break;
	case CONSENSUS_HELLO:
		reply.is_granted = is_fresh(consensus);
		consensus_send(consensus, from, &reply);
		break;
	case CONSENSUS_HELLO_REPLY:
		receive_hello_reply(consensus, from, message);
		break;
	default:
		break;
	}
}

static void
schedule_election(struct consensus *consensus, int64_t min_ms, int64_t max_ms)
{
	int64_t delay_ms;

	delay_ms = min_ms + random_below(&consensus->random,
				(uint32_t)(max_ms - min_ms) + 1);
	consensus->election_due_ms = consensus_now(consensus) + delay_ms;
	/* If no timer is available, the next tick starts the election. */
	timer_cancel(consensus->timers, &consensus->election_timer);
	(void)timer_subscribe_once(consensus->timers, delay_ms,
	    (struct timer_callback){on_election_timeout, consensus},
	    &consensus->election_timer);
}

static void
on_election_timeout(void *context)
{
	struct consensus *consensus = context;

	if (!consensus->is_failed && consensus->role != CONSENSUS_ROLE_LEADER)
		consensus_election_tick(consensus);
}

/* Starts a pre-vote, or an election in a new term. @p is_transfer tells voters
 * that the leader wants this election. */
static void
request_votes(struct consensus *consensus, bool is_pre_vote, bool is_transfer)
{
	struct consensus_message request = {.type = CONSENSUS_VOTE_REQUEST};
	const struct voter *voter;
	uint64_t term;
	uint32_t i;

	term = consensus->identity.term + 1;
	if (!is_pre_vote && !consensus_set_term(consensus, term,
				consensus->identity.self.host_id))
		return;
	consensus_set_role(consensus, CONSENSUS_ROLE_CANDIDATE, 0);
	/* No leader is known, so retry a lost election soon. */
	schedule_election(consensus,
	    consensus->settings.election_min_ms / RETRY_TIMEOUT_DIVISOR,
	    consensus->settings.election_min_ms);
	consensus->is_pre_vote = is_pre_vote;
	consensus->vote_mask = 0;
	consensus->voter_time_min_ms = consensus_time_ms(consensus);
	request.term = term;
	request.is_pre_vote = is_pre_vote;
	request.is_transfer = is_transfer;
	request.index = journal_last_index(&consensus->journal);
	request.log_term = journal_last_term(&consensus->journal);
	for (i = 0; i < consensus->voters.count; i++) {
		voter = &consensus->voters.voters[i];
		if (voter->host_id != consensus->identity.self.host_id)
			consensus_send(consensus, *voter, &request);
	}
	count_vote(consensus, consensus->identity.self);
}

/* Counts a granted vote, if the sender is a voter in the candidate's own log.
 * With a quorum, a pre-vote is followed by the election, and the winner of the
 * election leads. */
static void
count_vote(struct consensus *consensus, struct voter voter)
{
	uint32_t granted, i;

	granted = 0;
	for (i = 0; i < consensus->voters.count; i++) {
		if (consensus->voters.voters[i].host_id == voter.host_id &&
		    consensus->voters.voters[i].incarnation ==
			voter.incarnation)
			consensus->vote_mask |= 1u << i;
		if ((consensus->vote_mask & 1u << i) != 0)
			granted++;
	}
	if (granted < voter_set_quorum(&consensus->voters))
		return;
	if (consensus->is_pre_vote)
		request_votes(consensus, false, false);
	else
		consensus_become_leader(consensus);
}

static void
receive_vote_request(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	struct consensus_message reply = {.type = CONSENSUS_VOTE_REPLY};

	reply.is_pre_vote = message->is_pre_vote;
	reply.is_granted = grant_vote(consensus, from, message);
	if (consensus->is_failed)
		return;
	reply.time_ms = consensus_time_ms(consensus);
	reply.has_time_reference = consensus->time_reference_at_ms != 0;
	reply.term = consensus->identity.term;
	if (message->is_pre_vote && reply.is_granted)
		reply.term = message->term;
	consensus_send(consensus, from, &reply);
}

/* Decides about a vote request, and stores a granted vote before returning. A
 * pre-vote changes nothing. */
static bool
grant_vote(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	struct voter_file *identity = &consensus->identity;
	bool is_candidate_current;

	/* A voter in contact with a leader rejects candidates, so that a host
	 * cut off from the leader cannot depose it. */
	if (!message->is_transfer && has_recent_leader(consensus))
		return false;
	is_candidate_current = is_up_to_date(consensus, message);
	if (message->is_pre_vote)
		return is_candidate_current && message->term > identity->term;
	if (message->term < identity->term)
		return false;
	if (message->term > identity->term) {
		if (!consensus_set_term(consensus, message->term,
			is_candidate_current ? from.host_id : 0))
			return false;
		consensus_step_down(consensus, 0);
		if (is_candidate_current)
			consensus_reset_election(consensus);
		return is_candidate_current;
	}
	if (!is_candidate_current ||
	    (identity->voted_for != 0 && identity->voted_for != from.host_id))
		return false;
	if (identity->voted_for == 0 &&
	    !consensus_set_term(consensus, identity->term, from.host_id))
		return false;
	consensus_reset_election(consensus);
	return true;
}

static void
receive_vote_reply(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	uint64_t term;

	term = consensus->identity.term;
	if (!message->is_granted) {
		if (message->term > term &&
		    consensus_set_term(consensus, message->term, 0))
			consensus_step_down(consensus, 0);
		return;
	}
	if (consensus->role != CONSENSUS_ROLE_CANDIDATE ||
	    consensus->is_pre_vote != message->is_pre_vote ||
	    message->term != (message->is_pre_vote ? term + 1 : term))
		return;
	adopt_voter_time(consensus, message);
	count_vote(consensus, from);
}

/* Learns the cluster time from a vote reply: adopts the voter's reference if
 * this host has none since its restart, and keeps the lowest clock of all. */
static void
adopt_voter_time(
    struct consensus *consensus, const struct consensus_message *message)
{
	if (message->has_time_reference &&
	    consensus->time_reference_at_ms == 0) {
		consensus->time_reference_ms = message->time_ms;
		consensus->time_reference_at_ms = consensus_now(consensus);
	}
	consensus->voter_time_min_ms =
	    MIN(consensus->voter_time_min_ms, message->time_ms);
}

/* Returns true if the candidate's log is at least as up to date as the local
 * one. */
static bool
is_up_to_date(
    const struct consensus *consensus, const struct consensus_message *message)
{
	uint64_t term;

	term = journal_last_term(&consensus->journal);
	if (message->log_term != term)
		return message->log_term > term;
	return message->index >= journal_last_index(&consensus->journal);
}

static bool
has_recent_leader(const struct consensus *consensus)
{
	return consensus->role == CONSENSUS_ROLE_LEADER ||
	       consensus_now(consensus) - consensus->leader_contact_ms <
		   consensus->settings.election_min_ms;
}

/* Returns true if this host has never stored an entry or voted. */
static bool
is_fresh(const struct consensus *consensus)
{
	return consensus->voters.count == 0 &&
	       consensus->identity.term <= BOOTSTRAP_TERM &&
	       journal_last_index(&consensus->journal) == 0;
}

/* Returns true if this host is the initial voter with the lowest id, which
 * forms a new cluster. */
static bool
is_bootstrap_host(const struct consensus *consensus)
{
	const struct consensus_settings *settings = &consensus->settings;
	bool is_initial;
	uint32_t i;

	is_initial = false;
	for (i = 0; i < settings->initial_count; i++) {
		if (settings->initial_voters[i] < settings->host_id)
			return false;
		if (settings->initial_voters[i] == settings->host_id)
			is_initial = true;
	}
	return is_initial;
}

/* Asks all other initial voters whether their data folders are empty. */
static void
send_hellos(struct consensus *consensus)
{
	const struct consensus_settings *settings = &consensus->settings;
	struct consensus_message hello = {.type = CONSENSUS_HELLO};
	struct voter to = {0};
	uint32_t i;

	consensus->fresh_voter_mask = 0;
	for (i = 0; i < settings->initial_count; i++) {
		to.host_id = settings->initial_voters[i];
		if (to.host_id != settings->host_id)
			consensus_send(consensus, to, &hello);
	}
	receive_hello_reply(consensus, consensus->identity.self,
	    &(struct consensus_message){.is_granted = true});
}

static void
receive_hello_reply(struct consensus *consensus, struct voter from,
    const struct consensus_message *message)
{
	const struct consensus_settings *settings = &consensus->settings;
	uint32_t i;

	if (!message->is_granted || !is_fresh(consensus) ||
	    !is_bootstrap_host(consensus))
		return;
	for (i = 0; i < settings->initial_count; i++) {
		if (settings->initial_voters[i] != from.host_id)
			continue;
		consensus->fresh_voter_mask |= 1u << i;
		consensus->fresh_incarnations[i] = from.incarnation;
	}
	if (consensus->fresh_voter_mask == (1u << settings->initial_count) - 1)
		form_cluster(consensus);
}

/* Stores the first voter set as a snapshot, which the other voters then receive
 * like any other snapshot, and starts the first election. */
static void
form_cluster(struct consensus *consensus)
{
	const struct consensus_settings *settings = &consensus->settings;
	struct snapshot snapshot = {.index = 1, .term = BOOTSTRAP_TERM};
	enum error_code error;
	uint32_t i;

	/* The term is stored first, so that it is never behind the term of
	 * the snapshot. */
	if (!consensus_set_term(consensus, BOOTSTRAP_TERM, 0))
		return;
	snapshot.voters.count = settings->initial_count;
	for (i = 0; i < settings->initial_count; i++) {
		snapshot.voters.voters[i].host_id = settings->initial_voters[i];
		snapshot.voters.voters[i].incarnation =
		    consensus->fresh_incarnations[i];
	}
	error = snapshot_file_write(&consensus->disk, &snapshot);
	if (error != ERROR_NONE) {
		/* Nothing has formed; the hellos begin anew. */
		consensus_fail(consensus, error);
		return;
	}
	consensus->snapshot = snapshot;
	consensus->commit_index = snapshot.index;
	consensus->applied_index = snapshot.index;
	error =
	    journal_reset(&consensus->journal, snapshot.index, snapshot.term);
	if (error != ERROR_NONE) {
		consensus_fail(consensus, error);
		return;
	}
	consensus_reload_voters(consensus);
	event_log_write(EVENT_VOTER_CHANGED, "cluster formed");
	request_votes(consensus, true, false);
}
