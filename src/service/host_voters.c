#include "service/host_voters.h"

#include <string.h>

#include "base/event_log.h"
#include "coordination/voter_plan.h"

#define LOOK_PERIOD_MS 300  /* Between looks at the voters. */
#define CANDIDATES_MAX 64u  /* Hosts with a disk that are looked at. */
#define DEAD_WAIT_MS   2000 /* A voter seen dead for less may be back. */

/* Candidates as they are gathered. */
struct candidate_list {
	struct host *host;
	uint32_t count;
	struct voter_candidate items[CANDIDATES_MAX];
};

static void look(void *context);
static void count_entry(void *visitor, const struct host_record *record);
static void add_candidate(void *visitor, const struct host_record *record);
static void run_step(struct host *host, const struct voter_step *step);
static void note_change(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size);

void
host_voters_init(struct host *host)
{
	timer_subscribe_every(&host->timers, LOOK_PERIOD_MS,
	    (struct timer_callback){look, host}, NULL);
}

static void
look(void *context)
{
	struct candidate_list list = {.host = context};
	struct current_voter seats[VOTERS_MAX];
	struct host *host = context;
	const struct voter_set *voters;
	struct voter_step step;
	uint32_t i, entries;

	entries = 0;
	membership_each(&host->membership, count_entry, &entries);
	atomic_store(&host->entry_hosts, entries);
	if (!host->has_disk)
		return;
	membership_set_voter_incarnation(
	    &host->membership, consensus_self(&host->consensus).incarnation);
	if (host->settings.voters_target == 0 ||
	    !consensus_is_leader(&host->consensus))
		return;
	voters = consensus_voters(&host->consensus);
	for (i = 0; i < voters->count; i++) {
		seats[i].host_id = voters->voters[i].host_id;
		seats[i].voter_incarnation = voters->voters[i].incarnation;
	}
	membership_each(&host->membership, add_candidate, &list);
	step = voter_plan_next(seats, voters->count, list.items, list.count,
	    host->settings.voters_target);
	if (step.kind == VOTER_STEP_REMOVE) {
		if (host->voter_gone_id != step.host_id) {
			host->voter_gone_id = step.host_id;
			host->voter_gone_ms = host_now_ms();
		}
		if (host_now_ms() - host->voter_gone_ms < DEAD_WAIT_MS)
			return;
	} else {
		host->voter_gone_id = 0;
	}
	if (step.kind != VOTER_STEP_NONE)
		run_step(host, &step);
}

static void
count_entry(void *visitor, const struct host_record *record)
{
	uint32_t *entries = visitor;

	if ((record->flags & HOST_FLAG_ENTRY) != 0 &&
	    record->state != HOST_STATE_DEAD &&
	    record->state != HOST_STATE_LEFT)
		(*entries)++;
}

static void
add_candidate(void *visitor, const struct host_record *record)
{
	struct candidate_list *list = visitor;
	struct voter_candidate *candidate;

	if (record->voter_incarnation == 0 || list->count == CANDIDATES_MAX)
		return;
	candidate = &list->items[list->count++];
	candidate->host_id = record->id;
	candidate->voter_incarnation = record->voter_incarnation;
	candidate->is_live = record->state == HOST_STATE_ALIVE ||
			     record->state == HOST_STATE_SUSPECTED;
	candidate->has_left = record->state == HOST_STATE_LEFT;
}

static void
run_step(struct host *host, const struct voter_step *step)
{
	struct consensus_callback callback = {note_change, host};
	enum error_code error;
	struct voter voter = {
	    .host_id = step->host_id, .incarnation = step->voter_incarnation};

	if (step->kind == VOTER_STEP_ADD)
		error = consensus_add_voter(&host->consensus, voter, callback);
	else
		error = consensus_remove_voter(
		    &host->consensus, step->host_id, callback);
	if (error == ERROR_NONE)
		event_log_write(EVENT_VOTER_CHANGED, "%s host %u begun",
		    step->kind == VOTER_STEP_ADD ? "add" : "remove",
		    step->host_id);
}

static void
note_change(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size)
{
	(void)context;
	(void)index;
	(void)result;
	(void)result_size;
	/* The next look tries again by what it then sees. */
	if (error != ERROR_NONE)
		event_log_write(
		    EVENT_VOTER_CHANGED, "given up: %s", error_name(error));
}
