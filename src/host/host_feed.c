/*
 * What the configuration feed reads and writes of a host: the state that it hands
 * on (source), the state that it keeps on a host that is no voter (sink), and who
 * the voters are.
 */
#include <inttypes.h>

#include "base/event_log.h"
#include "host/host_agreement_parts.h"
#include "protocol/public_entry_message.h"

/* Renewal requests that a host sends during one configuration lease. */
#define LEASE_RENEWALS 5

/* List of voters that is being filled, with room for max ids. */
struct voter_list {
	uint32_t *host_ids;
	uint32_t max;
	uint32_t count;
};

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
static uint32_t feed_list_hosts(
    void *context, uint32_t *host_ids, uint32_t max);
static void on_lease_lost(void *context);
static void on_lease_regained(void *context);
static void on_in_force(void *context, uint64_t index);
static uint32_t list_flagged_voters(
    struct host *host, uint32_t *host_ids, uint32_t max);
static void add_flagged_voter(void *visitor, const struct host_record *record);

enum error_code
host_feed_start(struct host *host)
{
	struct config_feed_settings settings = {0};
	struct config_feed_source source = {
	    .is_leader = host_is_leader,
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

bool
host_is_leader(void *context)
{
	struct host *host = context;

	return host->has_disk && consensus_is_leader(&host->consensus);
}

void
host_feed_refresh_voters(void *context)
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
	host_agreement_publish(host);
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
		host_agreement_publish(host);
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
	host_agreement_complete(context, index);
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
