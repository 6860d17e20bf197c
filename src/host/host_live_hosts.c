/*
 * On the leader: keeps the committed set of live hosts, which may own capacity,
 * equal to the hosts that membership reports.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "host/host_agreement_parts.h"

/* Longest time for which a plan's commit is tried. */
#define PLAN_TIMEOUT_MS 3000

static void submit_plan(struct host *host, const struct live_host_set *wanted);
static void on_plan_done(void *context, const struct command_result *result);
static enum live_host_status check_host_status(void *context, uint32_t host_id);

void
host_live_hosts_plan(void *context)
{
	struct live_host_set seen, committed, *wanted;
	struct host *host = context;
	const GArray *live;
	guint i;

	if (!host_is_leader(host) || host->is_plan_pending)
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
