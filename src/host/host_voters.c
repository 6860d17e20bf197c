#include "host/host_voters.h"

#include <string.h>

#include "base/event_log.h"
#include "coordination/voter_plan.h"

/* Interval at which the voter set is checked. */
#define CHECK_PERIOD_MS 300
/* Largest number of hosts with a disk that are considered as voters. */
#define CANDIDATES_MAX 64u
/* Checks that a host leads before a voter that membership does not know counts
 * as gone: by then every live host has become known. */
#define LED_CHECKS_MIN 34u

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

/* A plan, and the list of candidates that it points to. */
struct voter_inputs {
	struct voter_plan plan;
	struct candidate_list candidates;
};

static void check_voters(void *context);
static void change_voters(void *context);
static void collect_inputs(struct host *host, struct voter_inputs *inputs);
static void move_to_end(struct candidate_list *list, uint32_t host_id);
static void count_entry_host(void *visitor, const struct host_record *record);
static void add_candidate(void *visitor, const struct host_record *record);
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

bool
host_voters_keeps_vote(struct host *host)
{
	struct voter_inputs inputs;

	if (!host->has_disk || host->settings.voters_target == 0)
		return false;
	if (!consensus_is_voter(&host->consensus))
		return !consensus_is_voter_set_committed(&host->consensus);
	collect_inputs(host, &inputs);
	return voter_plan_has_successor(&inputs.plan);
}

/* Counts the live entry hosts and, on a host with a disk, looks after the voter
 * set. */
static void
check_voters(void *context)
{
	struct host *host = context;
	struct entry_hosts entries = {.own_id = host->settings.host_id};

	membership_for_each(&host->membership, count_entry_host, &entries);
	atomic_store(&host->entry_host_count, entries.count);
	atomic_store(&host->entry_host_rank, entries.rank);
	if (!host->has_disk)
		return;
	membership_set_voter_incarnation(
	    &host->membership, consensus_self(&host->consensus).incarnation);
	change_voters(host);
}

/* Makes the next change to the voter set if this host leads and one is needed. */
static void
change_voters(void *context)
{
	struct host *host = context;
	struct voter_inputs inputs;
	struct voter_step step;

	if (host->settings.voters_target == 0 ||
	    !consensus_is_leader(&host->consensus)) {
		host->led_checks = 0;
		return;
	}
	host->led_checks++;
	collect_inputs(host, &inputs);
	step = voter_plan_next(&inputs.plan);
	if (step.kind == VOTER_STEP_CANCEL)
		consensus_cancel_join(&host->consensus);
	else if (step.kind != VOTER_STEP_NONE)
		start_change(host, &step);
}

/* Collects the voter set and the hosts that membership knows. */
static void
collect_inputs(struct host *host, struct voter_inputs *inputs)
{
	memset(inputs, 0, sizeof(*inputs));
	inputs->candidates.host = host;
	membership_for_each(
	    &host->membership, add_candidate, &inputs->candidates);
	move_to_end(&inputs->candidates, host->failed_joiner_id);
	inputs->plan = (struct voter_plan){
	    .voters = consensus_voters(&host->consensus),
	    .candidates = inputs->candidates.items,
	    .candidate_count = inputs->candidates.count,
	    .wanted = host->settings.voters_target,
	    .joining = consensus_joining_voter(&host->consensus),
	    .knows_all_hosts = host->led_checks >= LED_CHECKS_MIN,
	};
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
	const struct voter voter = {record->id, record->voter_incarnation};
	struct candidate_list *list = visitor;
	struct voter_candidate *candidate;

	if (record->voter_incarnation == 0 || list->count == CANDIDATES_MAX)
		return;
	/* A build that does not know the level in force would not stay in
	 * agreement with the others. */
	if (!host_level_may_vote(list->host, record) &&
	    !voter_set_contains(
		consensus_voters(&list->host->consensus), voter))
		return;
	candidate = &list->items[list->count++];
	candidate->host_id = record->id;
	candidate->voter_incarnation = record->voter_incarnation;
	candidate->is_sound = record->state == HOST_STATE_ALIVE &&
			      (record->flags & HOST_FLAG_DRAINING) == 0;
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
		error =
		    consensus_remove_voter(&host->consensus, voter, callback);
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
	/* No retry here: the next check decides by the state it finds. It comes
	 * at once, since a replacement takes two changes. */
	event_log_write(EVENT_VOTER_CHANGED, "%s host %u: %s", step_name(step),
	    step->host_id, error == ERROR_NONE ? "done" : error_name(error));
	if (step->kind == VOTER_STEP_ADD)
		host->failed_joiner_id =
		    error == ERROR_NONE ? 0 : step->host_id;
	if (error == ERROR_NONE)
		(void)timer_subscribe_once(&host->timers, 0,
		    (struct timer_callback){change_voters, host}, NULL);
}
