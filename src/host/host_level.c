#include "host/host_level.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/event_log.h"
#include "host/host.h"
#include "host/host_documents.h"
#include "state/state_level.h"

/* Interval at which the level is looked at. */
#define LEVEL_PERIOD_MS 250
/* Longest time for which a rise is tried. */
#define LEVEL_TIMEOUT_MS 3000
/* The leader proposes a rise first, then the other voters, which may run a build
 * that knows of levels while the leader does not; then all other hosts. */
#define VOTER_WAIT_MS 2000
#define OTHER_WAIT_MS 4000
/* Links to unknown hosts that a voter dials at each look. */
#define MEETINGS_MAX 4

static void run_look(void *context);
static void note_level(struct host *host, uint32_t in_force);
static void meet_hosts(struct host *host);
static void meet_member(void *visitor, const struct host_record *record);
static int64_t turn_wait_ms(struct host *host);
static void collect_hosts(struct host *host, struct level_hosts *hosts);
static void add_member(void *visitor, const struct host_record *record);
static void add_named(
    struct host *host, struct level_hosts *hosts, uint32_t host_id);
static void propose(struct host *host, uint32_t level);
static void on_proposed(void *context, const struct command_result *result);

/* The hosts while they are collected. */
struct host_collector {
	struct host *host;
	struct level_hosts *hosts;
	uint32_t meetings_left; /* Links that may still be dialled. */
};

void
host_level_init(struct host *host)
{
	host->level.logged_level = STATE_LEVEL_BASE;
	timer_subscribe_every(&host->timers, LEVEL_PERIOD_MS,
	    (struct timer_callback){run_look, host}, NULL);
}

uint32_t
host_level_in_force(struct host *host)
{
	return replicated_state_level(host_state(host));
}

uint32_t
host_level_of(struct host *host, const struct host_record *record)
{
	return level_of_build(
	    record->level, peer_links_is_numbering(
			       &host->links, record->id, record->incarnation));
}

struct level_host
host_level_lowest(struct host *host)
{
	struct level_hosts hosts = {0};

	collect_hosts(host, &hosts);
	return *level_hosts_lowest(&hosts);
}

bool
host_level_may_vote(struct host *host, const struct host_record *record)
{
	return host_level_of(host, record) >= host_level_in_force(host);
}

bool
host_level_allows(struct host *host, uint64_t type)
{
	struct level_host lowest;
	uint32_t level;

	level = host_level_in_force(host);
	if (state_level_of_command(type) <= level)
		return true;
	if (host->level.is_hold_logged)
		return false;
	host->level.is_hold_logged = true;
	lowest = host_level_lowest(host);
	event_log_write(EVENT_LEVEL_HOLDS_BACK,
	    "command %" PRIu64 " needs level %u, level %u is in force; the "
	    "build \"%s\" of host %u knows level %u",
	    type, state_level_of_command(type), level,
	    membership_stated_build(&host->membership, lowest.host_id),
	    lowest.host_id, lowest.level);
	return false;
}

enum error_code
host_level_check_proposal(void *context, uint64_t type)
{
	struct host *host = context;

	if (state_level_of_command(type) <=
	    replicated_state_level(&host->voter_state))
		return ERROR_NONE;
	return consensus_is_leader(&host->consensus) ? ERROR_NOT_SUPPORTED
						     : ERROR_NOT_LEADER;
}

static void
run_look(void *context)
{
	struct level_hosts hosts = {0};
	struct host *host = context;
	uint32_t level, in_force;
	int64_t now_ms;

	in_force = host_level_in_force(host);
	note_level(host, in_force);
	now_ms = host_now_ms();
	if (in_force >= STATE_LEVEL_LATEST || host->level.is_pending)
		return;
	/* Without a lease this host's state may be out of date. */
	if (config_feed_lease_remaining(&host->feed, now_ms) == 0) {
		host->level.plan.level = STATE_LEVEL_NOT_STATED;
		return;
	}
	collect_hosts(host, &hosts);
	meet_hosts(host);
	level = level_plan_next(&host->level.plan, in_force, &hosts,
	    LEVEL_STABLE_MS + turn_wait_ms(host), now_ms);
	if (level != 0)
		propose(host, level);
}

/* Logs a new level in force, and one that this build does not know. Only a host
 * that follows the voters gets to the latter. */
static void
note_level(struct host *host, uint32_t in_force)
{
	if (in_force == host->level.logged_level)
		return;
	host->level.logged_level = in_force;
	host->level.is_hold_logged = false;
	event_log_write(EVENT_LEVEL_RISEN,
	    "level %u is in force, this build knows level %d", in_force,
	    STATE_LEVEL_LATEST);
}

/* Dials some of the hosts that state no level and had no link to this one, so
 * that a large fleet of an earlier build is known soon. The voters do so, which
 * are few. */
static void
meet_hosts(struct host *host)
{
	struct host_collector collector = {
	    .host = host, .meetings_left = MEETINGS_MAX};

	if (host->has_disk && consensus_is_voter(&host->consensus))
		membership_for_each(&host->membership, meet_member, &collector);
}

static void
meet_member(void *visitor, const struct host_record *record)
{
	struct host_collector *collector = visitor;
	struct peer_links *links = &collector->host->links;

	if (collector->meetings_left > 0 &&
	    record->level == STATE_LEVEL_NOT_STATED &&
	    host_state_is_live(record->state) &&
	    !peer_links_was_linked(links, record->id, record->incarnation) &&
	    peer_links_meet(links, record->id))
		collector->meetings_left--;
}

static int64_t
turn_wait_ms(struct host *host)
{
	if (!host->has_disk || !consensus_is_voter(&host->consensus))
		return OTHER_WAIT_MS;
	return consensus_is_leader(&host->consensus) ? 0 : VOTER_WAIT_MS;
}

/* Collects all members but those that left as planned, the committed voters and
 * the committed live hosts. */
static void
collect_hosts(struct host *host, struct level_hosts *hosts)
{
	struct host_collector collector = {.host = host, .hosts = hosts};
	const struct voter_set *voters;
	const GArray *live;
	uint32_t i;

	membership_for_each(&host->membership, add_member, &collector);
	live = host_state(host)->live_hosts;
	for (i = 0; i < live->len; i++)
		add_named(host, hosts,
		    g_array_index(live, struct live_host, i).host_id);
	if (!host->has_disk)
		return;
	voters = consensus_voters(&host->consensus);
	for (i = 0; i < voters->count; i++)
		add_named(host, hosts, voters->voters[i].host_id);
}

static void
add_member(void *visitor, const struct host_record *record)
{
	struct host_collector *collector = visitor;

	if (record->state != HOST_STATE_LEFT)
		level_hosts_add(collector->hosts, record->id,
		    host_level_of(collector->host, record));
}

static void
add_named(struct host *host, struct level_hosts *hosts, uint32_t host_id)
{
	const struct host_record *record;

	record = membership_find(&host->membership, host_id);
	level_hosts_add(
	    hosts, host_id, record == NULL ? 0 : host_level_of(host, record));
}

/* All hosts that propose a level use the same operation id, so it is put into
 * force once. */
static void
propose(struct host *host, uint32_t level)
{
	struct command command = {.type = COMMAND_DOCUMENT};
	struct command_document *document = &command.body.document;
	char text[sizeof("{\"level\": 4294967295}")];
	GBytes *packed;
	int size;

	size = snprintf(text, sizeof(text), "{\"level\": %u}", level);
	packed = document_pack(text, (size_t)size);
	if (packed == NULL)
		return;
	snprintf(command.operation_id, sizeof(command.operation_id), "level-%u",
	    level);
	snprintf(document->name, sizeof(document->name), STATE_LEVEL_DOCUMENT);
	document->version = level;
	document->data = g_bytes_get_data(packed, &document->size);
	if (command_client_submit(&host->commands, &command, LEVEL_TIMEOUT_MS,
		(struct command_callback){on_proposed, host}) == ERROR_NONE)
		host->level.is_pending = true;
	g_bytes_unref(packed);
}

static void
on_proposed(void *context, const struct command_result *result)
{
	struct host *host = context;

	(void)result;
	host->level.is_pending = false;
}
