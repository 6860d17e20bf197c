/*
 * Connects consensus, the replicated state and the configuration feed. On a
 * voter, consensus applies entries to voter_state; on any other host, the feed
 * applies them to learner_state. This file also publishes new state to request
 * threads, and completes the calls that wait until an order is in force.
 */
#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "host/host_agreement_parts.h"

/* Interval at which the leader plans the set of live hosts. */
#define PLAN_PERIOD_MS 250
/* Interval at which the list of voters is refreshed. */
#define VOTERS_PERIOD_MS 500
/* A dead host leaves the live set this long after its last possible lease. */
#define HOST_ABSENCE_SLACK_MS 500
/* Longest election timeout as a multiple of the shortest. */
#define ELECTION_TIMEOUT_SPREAD 2
#define US_PER_MS		1000
/* Pause between two tries to start on a full disk, and how often it is tried. */
#define FULL_DISK_PAUSE_US  200000
#define FULL_DISK_TRIES_MAX 150

static enum error_code open_consensus(struct host *host);
static enum error_code init_when_there_is_room(struct host *host,
    const struct consensus_settings *settings, const struct disk *disk,
    const struct consensus_ops *ops);
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
static void notify_document_watch(struct host *host);

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
	error = host_feed_start(host);
	if (error != ERROR_NONE)
		return error;
	host->is_agreement_ready = true;
	timer_subscribe_every(&host->timers, PLAN_PERIOD_MS,
	    (struct timer_callback){host_live_hosts_plan, host}, NULL);
	timer_subscribe_every(&host->timers, VOTERS_PERIOD_MS,
	    (struct timer_callback){host_feed_refresh_voters, host}, NULL);
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
	host_agreement_complete(host, UINT64_MAX);
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
		host_agreement_publish(host);
		config_feed_on_applied(&host->feed);
	}
	host_agreement_complete(host, config_feed_in_force_index(&host->feed));
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

void
host_agreement_publish(struct host *host)
{
	struct replicated_state *state;

	state = host_state(host);
	if (state->sequence <= host->published_sequence)
		return;
	host_fleet_on_intent_changed(host);
	notify_document_watch(host);
	host->published_sequence = state->sequence;
	atomic_store(&host->published_revision, state->revision);
	event_log_write(EVENT_CONFIGURATION_APPLIED,
	    "revision %" PRIu64 " sequence %" PRIu64, state->revision,
	    state->sequence);
}

void
host_agreement_complete(struct host *host, uint64_t in_force)
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
	error = disk_folder_open(&host->folder, settings->data_dir);
	if (error != ERROR_NONE)
		return error;
	disk = disk_folder_disk(&host->folder);
	error = init_when_there_is_room(host, &consensus, &disk, &ops);
	if (error == ERROR_NONE)
		return ERROR_NONE;
	/* A folder that a newer build wrote is sound and was reported. */
	if (!error_is_unknown_kind(error))
		event_log_write(EVENT_JOURNAL_FAILED, "%s: %s",
		    settings->data_dir, error_name(error));
	disk_folder_close(&host->folder);
	return error;
}

/* Initialises consensus. On a full disk it is tried again for some time, since a
 * process that ended would come back with the settings of a later start, by which
 * the first voters form no cluster. */
static enum error_code
init_when_there_is_room(struct host *host,
    const struct consensus_settings *settings, const struct disk *disk,
    const struct consensus_ops *ops)
{
	struct peer_port port = peer_links_port(&host->links);
	enum error_code error;
	unsigned int tries;

	error = consensus_init(
	    &host->consensus, settings, disk, &host->timers, port, ops);
	if (error == ERROR_DISK_FULL)
		event_log_write(EVENT_JOURNAL_FAILED, "%s: %s, trying again",
		    host->settings.data_dir, error_name(error));
	for (tries = 0; error == ERROR_DISK_FULL && tries < FULL_DISK_TRIES_MAX;
	     tries++) {
		g_usleep(FULL_DISK_PAUSE_US);
		error = consensus_init(
		    &host->consensus, settings, disk, &host->timers, port, ops);
	}
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

static void
notify_document_watch(struct host *host)
{
	const struct document_watch *watch = &host->document_watch;

	if (watch->on_changed != NULL)
		watch->on_changed(watch->context,
		    replicated_state_document(host_state(host), watch->name));
}
