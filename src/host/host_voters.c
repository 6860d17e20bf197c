#include "host/host_voters.h"

#include <string.h>

#include "base/event_log.h"
#include "coordination/voter_plan.h"

/* Interval at which the voter set is checked. */
#define CHECK_PERIOD_MS 300
/* Largest number of hosts with a disk that are considered as voters. */
#define CANDIDATES_MAX 64u
/* A dead voter is removed only after this time, since it may return. */
#define DEAD_VOTER_WAIT_MS 2000

/* Count of the live entry hosts. */
struct entry_hosts {
	uint32_t own_id;
	uint32_t count;
	uint32_t rank; /* Those with a lower id than this host. */
};

/* List of candidates that is being filled. */
struct candidate_list {
	struct host *host;
	uint32_t count;
	struct voter_candidate items[CANDIDATES_MAX];
};

static void check_voters(void *context);
static struct voter_step plan_next_step(struct host *host);
static void move_to_end(struct candidate_list *list, uint32_t host_id);
static void count_entry_host(void *visitor, const struct host_record *record);
static void add_candidate(void *visitor, const struct host_record *record);
static bool is_current_voter(
    struct host *host, const struct host_record *record);
static void start_change(struct host *host, const struct voter_step *step);
static const char *step_name(const struct voter_step *step);
static void on_change_done(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size);

void
host_voters_init(struct host *host)
{
	timer_subscribe_every(&host->timers, CHECK_PERIOD_MS,
	    (struct timer_callback){check_voters, host}, NULL);
}

/* Counts the live entry hosts and, on the leader, makes the next change to the
 * voter set if one is needed. */
static void
check_voters(void *context)
{
	struct host *host = context;
	struct voter_step step;
	struct entry_hosts entries = {.own_id = host->settings.host_id};

	membership_for_each(&host->membership, count_entry_host, &entries);
	atomic_store(&host->entry_host_count, entries.count);
	atomic_store(&host->entry_host_rank, entries.rank);
	if (!host->has_disk)
		return;
	membership_set_voter_incarnation(
	    &host->membership, consensus_self(&host->consensus).incarnation);
	if (host->settings.voters_target == 0 ||
	    !consensus_is_leader(&host->consensus))
		return;
	step = plan_next_step(host);
	if (step.kind == VOTER_STEP_REMOVE) {
		if (host->dead_voter_id != step.host_id) {
			host->dead_voter_id = step.host_id;
			host->dead_voter_since_ms = host_now_ms();
		}
		if (host_now_ms() - host->dead_voter_since_ms <
		    DEAD_VOTER_WAIT_MS)
			return;
	} else {
		host->dead_voter_id = 0;
	}
	if (step.kind == VOTER_STEP_CANCEL)
		consensus_cancel_join(&host->consensus);
	else if (step.kind != VOTER_STEP_NONE)
		start_change(host, &step);
}

/* Plans the next step from the voter set and the hosts that membership knows. */
static struct voter_step
plan_next_step(struct host *host)
{
	struct candidate_list list = {.host = host};
	struct current_voter current[VOTERS_MAX];
	struct voter_plan plan = {.voters = current, .candidates = list.items};
	const struct voter_set *voters;
	struct voter joining;
	uint32_t i;

	voters = consensus_voters(&host->consensus);
	for (i = 0; i < voters->count; i++) {
		current[i].host_id = voters->voters[i].host_id;
		current[i].voter_incarnation = voters->voters[i].incarnation;
	}
	membership_for_each(&host->membership, add_candidate, &list);
	move_to_end(&list, host->failed_joiner_id);
	joining = consensus_joining_voter(&host->consensus);
	plan.voter_count = voters->count;
	plan.candidate_count = list.count;
	plan.wanted = host->settings.voters_target;
	plan.joining.host_id = joining.host_id;
	plan.joining.voter_incarnation = joining.incarnation;
	return voter_plan_next(&plan);
}

/* Moves a host to the end of the list, so that others are added before it. */
static void
move_to_end(struct candidate_list *list, uint32_t host_id)
{
	struct voter_candidate moved;
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		if (list->items[i].host_id == host_id) {
			moved = list->items[i];
			list->items[i] = list->items[list->count - 1];
			list->items[list->count - 1] = moved;
			return;
		}
	}
}

static void
count_entry_host(void *visitor, const struct host_record *record)
{
	struct entry_hosts *entries = visitor;

	if ((record->flags & HOST_FLAG_ENTRY) == 0 ||
	    !host_state_is_live(record->state))
		return;
	entries->count++;
	if (record->id < entries->own_id)
		entries->rank++;
}

static void
add_candidate(void *visitor, const struct host_record *record)
{
	struct candidate_list *list = visitor;
	struct voter_candidate *candidate;

	if (record->voter_incarnation == 0 || list->count == CANDIDATES_MAX)
		return;
	/* A build that does not know the level in force would not stay in
	 * agreement with the others. */
	if (!host_level_may_vote(list->host, record) &&
	    !is_current_voter(list->host, record))
		return;
	candidate = &list->items[list->count++];
	candidate->host_id = record->id;
	candidate->voter_incarnation = record->voter_incarnation;
	candidate->is_live = host_state_is_live(record->state);
	candidate->may_join = record->state == HOST_STATE_ALIVE;
}

static bool
is_current_voter(struct host *host, const struct host_record *record)
{
	const struct voter_set *voters = consensus_voters(&host->consensus);
	uint32_t i;

	for (i = 0; i < voters->count; i++) {
		if (voters->voters[i].host_id == record->id &&
		    voters->voters[i].incarnation == record->voter_incarnation)
			return true;
	}
	return false;
}

static void
start_change(struct host *host, const struct voter_step *step)
{
	struct consensus_callback callback = {on_change_done, host};
	enum error_code error;
	struct voter voter = {
	    .host_id = step->host_id, .incarnation = step->voter_incarnation};

	if (step->kind == VOTER_STEP_ADD)
		error = consensus_add_voter(&host->consensus, voter, callback);
	else
		error = consensus_remove_voter(
		    &host->consensus, step->host_id, callback);
	if (error != ERROR_NONE)
		return;
	host->voter_step = *step;
	event_log_write(EVENT_VOTER_CHANGED, "%s host %u: started",
	    step_name(step), step->host_id);
}

static const char *
step_name(const struct voter_step *step)
{
	return step->kind == VOTER_STEP_ADD ? "add" : "remove";
}

static void
on_change_done(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size)
{
	struct host *host = context;
	const struct voter_step *step = &host->voter_step;

	(void)index;
	(void)result;
	(void)result_size;
	/* No retry here: the next check decides by the state it finds. */
	event_log_write(EVENT_VOTER_CHANGED, "%s host %u: %s", step_name(step),
	    step->host_id, error == ERROR_NONE ? "done" : error_name(error));
	if (step->kind == VOTER_STEP_ADD)
		host->failed_joiner_id =
		    error == ERROR_NONE ? 0 : step->host_id;
}
