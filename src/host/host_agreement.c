/*
 * Connects consensus, the replicated state and the configuration feed. On a
 * voter, consensus applies entries to voter_state; on any other host, the feed
 * applies them to learner_state. This file also publishes new state to request
 * threads, and plans the set of live hosts while this host is the leader.
 */
#include "host/host.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "protocol/public_entry_message.h"

/* Interval at which the leader plans the set of live hosts. */
#define PLAN_PERIOD_MS 250
/* Longest time for which a plan's commit is tried. */
#define PLAN_TIMEOUT_MS 3000
/* Interval at which the list of voters is refreshed. */
#define VOTERS_PERIOD_MS 500
/* A dead host leaves the live set this long after its last possible lease. */
#define HOST_ABSENCE_SLACK_MS 500
/* Renewal requests that a host sends during one configuration lease. */
#define LEASE_RENEWALS 5
/* Longest election timeout as a multiple of the shortest. */
#define ELECTION_TIMEOUT_SPREAD 2
#define US_PER_MS		1000

static enum error_code open_consensus(struct host *host);
static enum error_code apply_entry(void *context,
    const struct consensus_entry *entry, const void **result,
    size_t *result_size);
static enum error_code read_kind(
    void *context, const void *command, size_t size, uint64_t *kind);
static GByteArray *save_state(void *context);
static enum error_code load_state(void *context, const void *data, size_t size);
static void on_role_changed(
    void *context, enum consensus_role role, uint32_t leader_id);
static int64_t wall_ms(void *context);

static bool source_is_leader(void *context);
static uint64_t source_term(void *context);
static uint32_t source_leader_id(void *context);
static uint32_t source_voters(void *context, uint32_t *host_ids, uint32_t max);
static int64_t source_confirmed_ms(void *context);
static uint64_t source_applied_index(void *context);
static enum error_code source_read_entries(void *context, uint64_t from,
    size_t max, GByteArray *bytes, uint64_t *last);
static enum error_code source_read_snapshot(
    void *context, GByteArray *bytes, uint64_t *index);
static enum error_code sink_apply_entries(void *context, uint64_t from,
    uint64_t last, const void *bytes, size_t size);
static enum error_code sink_install_snapshot(
    void *context, uint64_t index, const void *bytes, size_t size);

static void report_unknown(
    struct host *host, uint64_t sequence, enum error_code error);
static int64_t feed_clock_now(void *context);
static uint32_t feed_list_hosts(
    void *context, uint32_t *host_ids, uint32_t max);
static void on_lease_lost(void *context);
static void on_lease_regained(void *context);
static void on_in_force(void *context, uint64_t index);

static enum error_code start_feed(struct host *host);
static void publish_state(struct host *host);
static void notify_document_watch(struct host *host);
static void complete_pending(struct host *host, uint64_t in_force);
static void plan_live_hosts(void *context);
static void submit_plan(struct host *host, const struct live_host_set *wanted);
static void on_plan_done(void *context, const struct command_result *result);
static enum live_host_status check_host_status(void *context, uint32_t host_id);
static void refresh_voters(void *context);
static uint32_t list_flagged_voters(
    struct host *host, uint32_t *host_ids, uint32_t max);

/* List of voters that is being filled, with room for max ids. */
struct voter_list {
	uint32_t *host_ids;
	uint32_t max;
	uint32_t count;
};

static void add_flagged_voter(void *visitor, const struct host_record *record);

enum error_code
host_agreement_init(struct host *host)
{
	struct command_client_settings client = {0};
	enum error_code error;

	replicated_state_init(&host->voter_state, NULL);
	replicated_state_init(&host->learner_state, NULL);
	host->apply_result = g_byte_array_new();
	host->pending_commands =
	    g_array_new(FALSE, TRUE, sizeof(struct host_pending_command));
	live_hosts_init(&host->live_hosts,
	    host->settings.configuration_lease_ms + HOST_ABSENCE_SLACK_MS);
	host->has_disk = host->settings.data_dir[0] != '\0';
	if (host->has_disk) {
		error = open_consensus(host);
		if (error != ERROR_NONE)
			return error;
	}
	client.host_id = host->settings.host_id;
	client.seed = random_uint64(&host->random);
	command_client_init(&host->commands, &client, &host->timers,
	    peer_links_port(&host->links),
	    host->has_disk ? &host->consensus : NULL);
	command_client_set_voters(
	    &host->commands, host->settings.voters, host->settings.voter_count);
	error = start_feed(host);
	if (error != ERROR_NONE)
		return error;
	host->is_agreement_ready = true;
	timer_subscribe_every(&host->timers, PLAN_PERIOD_MS,
	    (struct timer_callback){plan_live_hosts, host}, NULL);
	timer_subscribe_every(&host->timers, VOTERS_PERIOD_MS,
	    (struct timer_callback){refresh_voters, host}, NULL);
	return ERROR_NONE;
}

void
host_agreement_finish(struct host *host)
{
	host->is_agreement_ready = false;
	config_feed_finish(&host->feed);
	command_client_finish(&host->commands);
	if (host->has_disk) {
		consensus_finish(&host->consensus);
		disk_folder_close(&host->folder);
	}
	complete_pending(host, UINT64_MAX);
	g_array_free(host->pending_commands, TRUE);
	g_byte_array_unref(host->apply_result);
	replicated_state_finish(&host->voter_state);
	replicated_state_finish(&host->learner_state);
}

struct replicated_state *
host_state(struct host *host)
{
	if (host->has_disk && consensus_is_voter(&host->consensus))
		return &host->voter_state;
	return &host->learner_state;
}

void
host_agreement_on_loop_pass(struct host *host)
{
	int64_t now_ms;

	if (host_state(host)->sequence > host->published_sequence) {
		publish_state(host);
		config_feed_on_applied(&host->feed);
	}
	complete_pending(host, config_feed_in_force_index(&host->feed));
	now_ms = host_now_ms();
	atomic_store(&host->confirmed_until_ms,
	    now_ms + config_feed_lease_remaining(&host->feed, now_ms));
	host_fleet_set_lease(host, now_ms + host_lease_remaining(host, now_ms));
}

int64_t
host_lease_remaining(struct host *host, int64_t now_ms)
{
	int64_t remaining, override_ms;

	remaining = config_feed_lease_remaining(&host->feed, now_ms);
	if (host->settings.unconfirmed_policy == UNCONFIRMED_SERVE)
		override_ms = host->settings.configuration_lease_ms;
	else
		override_ms = atomic_load(&host->override_until_ms) - now_ms;
	return override_ms > remaining ? override_ms : remaining;
}

void
host_await_in_force(struct host *host, struct host_pending_command pending)
{
	g_array_append_val(host->pending_commands, pending);
}

static enum error_code
open_consensus(struct host *host)
{
	const struct settings *settings = &host->settings;
	struct consensus_settings consensus = {0};
	struct consensus_ops ops = {
	    .apply = apply_entry,
	    .read_kind = read_kind,
	    .check_proposal = host_level_check_proposal,
	    .save = save_state,
	    .load = load_state,
	    .on_role_changed = on_role_changed,
	    .wall_ms = wall_ms,
	    .context = host,
	};
	enum error_code error;
	struct disk disk;

	error = disk_folder_open(&host->folder, settings->data_dir);
	if (error != ERROR_NONE)
		return error;
	disk = disk_folder_disk(&host->folder);
	consensus.host_id = settings->host_id;
	consensus.cluster_id =
	    XXH64(settings->cluster, strlen(settings->cluster), 0);
	consensus.fresh_incarnation = random_uint64(&host->random);
	consensus.initial_count = settings->voter_count;
	memcpy(consensus.initial_voters, settings->voters,
	    sizeof(consensus.initial_voters));
	consensus.election_min_ms = settings->election_timeout_ms;
	consensus.election_max_ms =
	    (int64_t)settings->election_timeout_ms * ELECTION_TIMEOUT_SPREAD;
	consensus.copies_min = settings->copies_min;
	consensus.seed = random_uint64(&host->random);
	error = consensus_init(&host->consensus, &consensus, &disk,
	    &host->timers, peer_links_port(&host->links), &ops);
	if (error == ERROR_NONE)
		return ERROR_NONE;
	/* A folder that a newer build wrote is sound and was reported. */
	if (!error_is_unknown_kind(error))
		event_log_write(EVENT_JOURNAL_FAILED, "%s: %s",
		    settings->data_dir, error_name(error));
	disk_folder_close(&host->folder);
	return error;
}

/* Applies a committed entry. The result remains valid until the next call. */
static enum error_code
apply_entry(void *context, const struct consensus_entry *entry,
    const void **result, size_t *result_size)
{
	struct replicated_entry replicated = {.index = entry->index,
	    .time_ms = entry->time_ms,
	    .data = entry->data,
	    .size = entry->size};
	struct command_result outcome;
	struct message_writer writer;
	struct host *host = context;
	enum error_code error;

	error =
	    replicated_state_apply(&host->voter_state, &replicated, &outcome);
	if (error != ERROR_NONE)
		return error;
	message_writer_init(&writer);
	command_result_encode(&outcome, &writer);
	g_byte_array_set_size(host->apply_result, 0);
	g_byte_array_append(host->apply_result, message_data(&writer),
	    (guint)message_size(&writer));
	message_writer_finish(&writer);
	*result = host->apply_result->data;
	*result_size = host->apply_result->len;
	return ERROR_NONE;
}

static enum error_code
read_kind(void *context, const void *command, size_t size, uint64_t *kind)
{
	(void)context;
	return command_read_type(command, size, kind);
}

static GByteArray *
save_state(void *context)
{
	struct host *host = context;

	return replicated_state_save(&host->voter_state, false);
}

static enum error_code
load_state(void *context, const void *data, size_t size)
{
	struct host *host = context;

	return replicated_state_load(&host->voter_state, data, size);
}

/* A new leader starts with an empty record of absent hosts. Commands and the
 * feed can only be called after host_agreement_init() has started them. */
static void
on_role_changed(void *context, enum consensus_role role, uint32_t leader_id)
{
	struct host *host = context;

	if (role == CONSENSUS_ROLE_LEADER) {
		event_log_write(EVENT_LEADER_ELECTED, "term %" PRIu64,
		    host->consensus.identity.term);
		live_hosts_init(
		    &host->live_hosts, host->live_hosts.absence_wait_ms);
	} else if (leader_id == 0) {
		event_log_write(EVENT_LEADER_LOST, "%s", "");
	}
	if (!host->is_agreement_ready)
		return;
	if (leader_id != 0)
		command_client_on_leader_changed(&host->commands);
	config_feed_on_leader_changed(&host->feed);
}

static int64_t
wall_ms(void *context)
{
	(void)context;
	return clock_wall_us() / US_PER_MS;
}

static bool
source_is_leader(void *context)
{
	struct host *host = context;

	return host->has_disk && consensus_is_leader(&host->consensus);
}

static uint64_t
source_term(void *context)
{
	struct host *host = context;

	return host->has_disk ? host->consensus.identity.term : 0;
}

static uint32_t
source_leader_id(void *context)
{
	struct host *host = context;

	return host->has_disk ? consensus_leader(&host->consensus) : 0;
}

static uint32_t
source_voters(void *context, uint32_t *host_ids, uint32_t max)
{
	const struct voter_set *voters;
	struct host *host = context;
	uint32_t i, count;

	if (!host->has_disk || !consensus_is_voter(&host->consensus))
		return list_flagged_voters(host, host_ids, max);
	voters = consensus_voters(&host->consensus);
	count = voters->count < max ? voters->count : max;
	for (i = 0; i < count; i++)
		host_ids[i] = voters->voters[i].host_id;
	return count;
}

/* Returns when a quorum last confirmed this leader, INT64_MIN if none did. */
static int64_t
source_confirmed_ms(void *context)
{
	struct host *host = context;
	uint64_t commit_index;
	int64_t at_ms;

	if (!host->has_disk || consensus_confirmed_at(&host->consensus, &at_ms,
				   &commit_index) != ERROR_NONE)
		return INT64_MIN;
	return at_ms;
}

/* Returns the sequence that request threads see in the fleet's view. An entry
 * counts as applied only when requests follow it. */
static uint64_t
source_applied_index(void *context)
{
	struct host *host = context;

	return host->published_sequence;
}

static enum error_code
source_read_entries(
    void *context, uint64_t from, size_t max, GByteArray *bytes, uint64_t *last)
{
	struct host *host = context;

	if (from == 0)
		return ERROR_NOT_FOUND;
	return public_entries_read(
	    host_state(host), from, host->published_sequence, max, bytes, last);
}

static enum error_code
source_read_snapshot(void *context, GByteArray *bytes, uint64_t *index)
{
	struct host *host = context;
	GByteArray *saved;

	saved = replicated_state_save(host_state(host), true);
	if (saved == NULL)
		return ERROR_NO_MEMORY;
	g_byte_array_append(bytes, saved->data, saved->len);
	g_byte_array_unref(saved);
	*index = host_state(host)->sequence;
	return ERROR_NONE;
}

static enum error_code
sink_apply_entries(
    void *context, uint64_t from, uint64_t last, const void *bytes, size_t size)
{
	struct host *host = context;
	enum error_code error;

	(void)from;
	(void)last;
	if (host_state(host) != &host->learner_state)
		return ERROR_NONE;
	error = public_entries_apply(&host->learner_state, bytes, size);
	report_unknown(host, host->learner_state.sequence + 1, error);
	publish_state(host);
	return error;
}

static enum error_code
sink_install_snapshot(
    void *context, uint64_t index, const void *bytes, size_t size)
{
	struct host *host = context;
	enum error_code error;
	uint32_t skipped;

	if (host_state(host) != &host->learner_state)
		return ERROR_NONE;
	error = replicated_state_load_known(
	    &host->learner_state, bytes, size, &skipped);
	report_unknown(host, index,
	    error == ERROR_NONE && skipped > 0 ? ERROR_NOT_SUPPORTED : error);
	if (error == ERROR_NONE) {
		event_log_write(EVENT_SNAPSHOT_INSTALLED, "sequence %" PRIu64,
		    host->learner_state.sequence);
		publish_state(host);
	}
	return error;
}

/* Logs once for each sequence that only a newer build can apply. */
static void
report_unknown(struct host *host, uint64_t sequence, enum error_code error)
{
	if (!error_is_unknown_kind(error) || sequence == host->unknown_sequence)
		return;
	host->unknown_sequence = sequence;
	event_log_write(EVENT_KIND_UNKNOWN,
	    "sequence %" PRIu64 ": %s; start a newer build", sequence,
	    error_name(error));
}

static int64_t
feed_clock_now(void *context)
{
	(void)context;
	return host_now_ms();
}

static uint32_t
feed_list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	struct host *host = context;

	return membership_list_live(&host->membership, host_ids, max);
}

static void
on_lease_lost(void *context)
{
	(void)context;
	event_log_write(EVENT_CONFIGURATION_LEASE_LOST, "%s", "");
}

static void
on_lease_regained(void *context)
{
	(void)context;
	event_log_write(EVENT_CONFIGURATION_LEASE_REGAINED, "%s", "");
}

static void
on_in_force(void *context, uint64_t index)
{
	complete_pending(context, index);
}

static enum error_code
start_feed(struct host *host)
{
	struct config_feed_settings settings = {0};
	struct config_feed_source source = {
	    .is_leader = source_is_leader,
	    .term = source_term,
	    .leader_id = source_leader_id,
	    .voters = source_voters,
	    .confirmed_ms = source_confirmed_ms,
	    .applied_index = source_applied_index,
	    .read_entries = source_read_entries,
	    .read_snapshot = source_read_snapshot,
	    .context = host,
	};
	/* Hosts with a disk get a sink too: a voter that lost its data folder
	 * restarts as a learner and reads the feed. */
	struct config_feed_sink sink = {
	    .apply_entries = sink_apply_entries,
	    .install_snapshot = sink_install_snapshot,
	    .context = host,
	};
	struct config_feed_ops ops = {
	    .clock_now = feed_clock_now,
	    .list_hosts = feed_list_hosts,
	    .on_lease_lost = on_lease_lost,
	    .on_lease_regained = on_lease_regained,
	    .on_in_force = on_in_force,
	    .context = host,
	};

	settings.host_id = host->settings.host_id;
	settings.incarnation = host->incarnation;
	settings.lease_ms = host->settings.configuration_lease_ms;
	settings.renewal_interval_ms = settings.lease_ms / LEASE_RENEWALS;
	return config_feed_init(&host->feed, &settings, &host->timers,
	    random_uint64(&host->random), peer_links_port(&host->links), source,
	    sink, ops);
}

/* Makes the current state visible to request threads. A state that is older
 * than the published one is skipped, so that requests never see the
 * configuration go back. */
static void
publish_state(struct host *host)
{
	struct replicated_state *state;

	state = host_state(host);
	if (state->sequence <= host->published_sequence)
		return;
	host_fleet_on_intent_changed(host);
	notify_document_watch(host);
	host->published_sequence = state->sequence;
	event_log_write(EVENT_CONFIGURATION_APPLIED,
	    "revision %" PRIu64 " sequence %" PRIu64, state->revision,
	    state->sequence);
}

static void
notify_document_watch(struct host *host)
{
	const struct document_watch *watch = &host->document_watch;

	if (watch->on_changed != NULL)
		watch->on_changed(watch->context,
		    replicated_state_document(host_state(host), watch->name));
}

/* Completes the calls whose sequence is in force or whose wait has ended.
 * UINT64_MAX ends all waits, because the host stops. */
static void
complete_pending(struct host *host, uint64_t in_force)
{
	struct host_pending_command *pending;
	bool is_in_force, is_late;
	guint i;

	for (i = 0; i < host->pending_commands->len;) {
		pending = &g_array_index(
		    host->pending_commands, struct host_pending_command, i);
		is_in_force =
		    in_force >= pending->sequence && in_force != UINT64_MAX;
		is_late = in_force == UINT64_MAX ||
			  host_now_ms() >= pending->until_ms;
		if (!is_in_force && !is_late) {
			i++;
			continue;
		}
		*pending->is_in_force = is_in_force;
		mailbox_complete(&host->mailbox, pending->call, ERROR_NONE);
		mailbox_call_unref(pending->call);
		g_array_remove_index_fast(host->pending_commands, i);
	}
}

/* On the leader: compares the committed live hosts with those that membership
 * reports and submits a new set if needed, one at a time. */
static void
plan_live_hosts(void *context)
{
	struct live_host_set seen, committed, *wanted;
	struct host *host = context;
	const GArray *live;
	guint i;

	if (!source_is_leader(host) || host->is_plan_pending)
		return;
	memset(&committed, 0, sizeof(committed));
	live = host_state(host)->live_hosts;
	for (i = 0; i < live->len && i < HOSTS_MAX; i++)
		committed.ids[committed.count++] =
		    g_array_index(live, struct live_host, i).host_id;
	seen.count =
	    membership_list_live(&host->membership, seen.ids, HOSTS_MAX - 1);
	seen.ids[seen.count++] = host->settings.host_id;
	wanted = g_new(struct live_host_set, 1);
	if (live_hosts_plan(&host->live_hosts,
		(struct live_hosts_source){check_host_status, host}, &seen,
		&committed, host_now_ms(), wanted))
		submit_plan(host, wanted);
	g_free(wanted);
}

static void
submit_plan(struct host *host, const struct live_host_set *wanted)
{
	struct command command = {.type = COMMAND_SET_LIVE_HOSTS};
	struct live_host *hosts;
	uint32_t i;

	hosts = g_new0(struct live_host, wanted->count);
	for (i = 0; i < wanted->count; i++)
		hosts[i].host_id = wanted->ids[i];
	snprintf(command.operation_id, sizeof(command.operation_id),
	    "hosts-%u-%" PRIx64 "-%" PRIu64, host->settings.host_id,
	    host->incarnation, ++host->plan_number);
	command.body.hosts.expected_epoch = host_state(host)->epoch;
	command.body.hosts.count = wanted->count;
	command.body.hosts.hosts = hosts;
	if (command_client_submit(&host->commands, &command, PLAN_TIMEOUT_MS,
		(struct command_callback){on_plan_done, host}) == ERROR_NONE)
		host->is_plan_pending = true;
	g_free(hosts);
}

static void
on_plan_done(void *context, const struct command_result *result)
{
	struct host *host = context;

	(void)result;
	host->is_plan_pending = false;
}

static enum live_host_status
check_host_status(void *context, uint32_t host_id)
{
	const struct host_record *record;
	struct host *host = context;

	record = membership_find(&host->membership, host_id);
	if (record == NULL || record->state == HOST_STATE_DEAD)
		return LIVE_HOST_DEAD;
	if (record->state == HOST_STATE_LEFT)
		return LIVE_HOST_LEFT;
	return LIVE_HOST_ALIVE;
}

/* Updates the voters that the command client uses and this host's own voter
 * flag in gossip. */
static void
refresh_voters(void *context)
{
	uint32_t voters[VOTERS_MAX], count, flags;
	struct host *host = context;

	count = source_voters(host, voters, VOTERS_MAX);
	if (count > 0)
		command_client_set_voters(&host->commands, voters, count);
	flags = membership_self(&host->membership)->flags & ~HOST_FLAG_VOTER;
	if (host->has_disk && consensus_is_voter(&host->consensus))
		flags |= HOST_FLAG_VOTER;
	if (flags != membership_self(&host->membership)->flags)
		membership_set_flags(&host->membership, flags);
}

/* Lists the voters that gossip reports, or those from the settings until gossip
 * reports any. */
static uint32_t
list_flagged_voters(struct host *host, uint32_t *host_ids, uint32_t max)
{
	struct voter_list list = {.host_ids = host_ids, .max = max};
	uint32_t i;

	membership_for_each(&host->membership, add_flagged_voter, &list);
	if (list.count > 0)
		return list.count;
	for (i = 0; i < host->settings.voter_count && i < max; i++)
		host_ids[i] = host->settings.voters[i];
	return i;
}

static void
add_flagged_voter(void *visitor, const struct host_record *record)
{
	struct voter_list *list = visitor;

	if ((record->flags & HOST_FLAG_VOTER) == 0 || list->count == list->max)
		return;
	if (!host_state_is_live(record->state))
		return;
	list->host_ids[list->count++] = record->id;
}
