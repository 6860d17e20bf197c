/*
 * Connects the upstream directory, grants and quarantine to the fleet's views,
 * which request threads read. All functions here run on the coordination
 * thread.
 */
#include "host/host.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/event_log.h"

/* Interval at which subscriptions to load reports are repeated. The directory
 * drops a subscription after 10 s by default. */
#define SUBSCRIBE_PERIOD_MS 5000
#define US_PER_MS	    1000
/* Number of renewals that are due within the expiry time of an upstream. */
#define RENEWALS_PER_EXPIRY 2

static bool directory_is_live(
    void *context, uint32_t host_id, uint64_t incarnation);
static uint32_t directory_list_hosts(
    void *context, uint32_t *host_ids, uint32_t max);
static uint32_t directory_owner(void *context, uint64_t upstream_id);
static void on_announced(void *context, const struct upstream_record *record);
static void on_changed(void *context, const struct upstream_record *record);
static void on_leaving(void *context, const struct upstream_record *record);
static void on_gone(void *context, const struct upstream_record *record);
static void on_load(void *context, const struct upstream_load *load);
static void on_granted(
    void *context, uint64_t upstream_id, struct capacity_slot *slot);

static void log_unusable_entries(struct host *host);
static enum error_code start_directory(struct host *host);
static enum error_code start_grants(struct host *host);
static enum error_code start_fleet(struct host *host);
static struct capacity_slot *open_slot(
    void *context, uint64_t upstream_id, uint64_t incarnation);
static void drop_slot(void *context, uint64_t upstream_id);
static void put_upstream(
    struct host *host, const struct upstream_record *record);
static void update_grant_owner(
    void *visitor, const struct upstream_record *record);
static void update_owner_map(struct host *host);
static void subscribe_loads(void *context);

enum error_code
host_fleet_init(struct host *host)
{
	enum error_code error;

	error = start_fleet(host);
	if (error == ERROR_NONE)
		error = start_grants(host);
	if (error == ERROR_NONE)
		error = host_suspects_init(host);
	if (error == ERROR_NONE)
		error = start_directory(host);
	if (error != ERROR_NONE)
		return error;
	host_demand_init(host);
	timer_subscribe_every(&host->timers, SUBSCRIBE_PERIOD_MS,
	    (struct timer_callback){subscribe_loads, host}, NULL);
	return ERROR_NONE;
}

void
host_fleet_finish(struct host *host)
{
	upstream_directory_finish(&host->directory);
	host_suspects_finish(host);
	fleet_finish(&host->fleet);
	capacity_exchange_finish(&host->capacity);
	host_demand_finish(host);
}

void
host_fleet_on_intent_changed(struct host *host)
{
	struct config_source source;
	enum error_code error;

	source = replicated_state_config(host_state(host));
	error = fleet_set_intent(&host->fleet, &source);
	if (error != ERROR_NONE)
		event_log_write(EVENT_CONFIGURATION_APPLIED,
		    "configuration refused: %s", error_name(error));
	log_unusable_entries(host);
	update_owner_map(host);
	upstream_directory_for_each(&host->directory, update_grant_owner, host);
	host_suspects_apply(host);
	host_fleet_publish(host);
}

void
host_fleet_set_lease(struct host *host, int64_t until_ms)
{
	fleet_set_new_work_until(&host->fleet, until_ms);
	grant_owner_set_lease(&host->capacity.owner, until_ms);
}

void
host_fleet_publish(struct host *host)
{
	enum error_code error;

	error = fleet_publish(&host->fleet);
	if (error != ERROR_NONE)
		event_log_write(EVENT_CONFIGURATION_APPLIED,
		    "view not published: %s", error_name(error));
}

static bool
directory_is_live(void *context, uint32_t host_id, uint64_t incarnation)
{
	struct host *host = context;

	return membership_is_live(&host->membership, host_id, incarnation);
}

static uint32_t
directory_list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	struct host *host = context;

	return membership_list_live(&host->membership, host_ids, max);
}

static uint32_t
directory_owner(void *context, uint64_t upstream_id)
{
	struct host *host = context;

	return owner_map_owner(&host->capacity.map, upstream_id);
}

static void
on_announced(void *context, const struct upstream_record *record)
{
	event_log_write(EVENT_UPSTREAM_ANNOUNCED,
	    "%s in %s incarnation %" PRIu64, record->name, record->data_centre,
	    record->incarnation);
	put_upstream(context, record);
}

static void
on_changed(void *context, const struct upstream_record *record)
{
	put_upstream(context, record);
}

static void
on_leaving(void *context, const struct upstream_record *record)
{
	event_log_write(EVENT_UPSTREAM_LEAVING, "%s", record->name);
	put_upstream(context, record);
}

/* Removes an upstream everywhere. For the groups, the next incarnation stands
 * for "none", so that they drop what they hold of the last one. */
static void
on_gone(void *context, const struct upstream_record *record)
{
	struct host *host = context;

	event_log_write(EVENT_UPSTREAM_EXPIRED, "%s", record->name);
	fleet_remove_upstream(&host->fleet, record->id);
	host_groups_on_incarnation(host, record->id, record->incarnation + 1);
	grant_owner_remove_upstream(&host->capacity.owner, record->id);
	prefix_index_invalidate(&host->prefixes, record->id);
}

static void
on_load(void *context, const struct upstream_load *load)
{
	struct host *host = context;

	fleet_set_load(&host->fleet, load, host_now_ms());
}

static void
on_granted(void *context, uint64_t upstream_id, struct capacity_slot *slot)
{
	struct host *host = context;

	(void)upstream_id;
	(void)slot;
	host_groups_on_granted(host);
	wait_line_dispatch(&host->wait_line);
}

/* Logs the configuration entries that can't be parsed. Operators must know of
 * them: an unreadable takeout takes out every upstream, and an unreadable
 * policy keeps every account from all upstreams. */
static void
log_unusable_entries(struct host *host)
{
	const struct intent_problem *problem;
	guint i;

	for (i = 0; i < host->fleet.intent->problems->len; i++) {
		problem = &g_array_index(
		    host->fleet.intent->problems, struct intent_problem, i);
		event_log_write(EVENT_CONFIGURATION_ENTRY_INVALID, "%s: %s",
		    problem->key, error_name(problem->error));
	}
}

static enum error_code
start_directory(struct host *host)
{
	struct upstream_directory_settings settings = {0};
	struct upstream_directory_ops ops = {
	    .is_live = directory_is_live,
	    .list_hosts = directory_list_hosts,
	    .capacity_owner = directory_owner,
	    .on_announced = on_announced,
	    .on_changed = on_changed,
	    .on_leaving = on_leaving,
	    .on_gone = on_gone,
	    .on_load = on_load,
	    .context = host,
	};

	settings.host_id = host->settings.host_id;
	settings.incarnation = host->incarnation;
	settings.renewal_ms =
	    host->settings.upstream_expiry_ms / RENEWALS_PER_EXPIRY;
	settings.expire_ms = host->settings.upstream_expiry_ms;
	return upstream_directory_init(&host->directory, &settings,
	    &host->timers, random_uint64(&host->random),
	    peer_links_port(&host->links), ops);
}

static enum error_code
start_grants(struct host *host)
{
	struct grant_owner_settings owner;
	struct grant_holder_settings holder;
	struct grant_holder_ops ops = {
	    .on_granted = on_granted, .context = host};

	owner = grant_owner_default_settings(host->settings.host_id);
	owner.grant_ms = host->settings.grant_lease_ms;
	owner.config_lease_ms = host->settings.configuration_lease_ms;
	holder = grant_holder_default_settings(
	    host->settings.host_id, host->incarnation);
	return capacity_exchange_init(&host->capacity, &owner, &holder, &ops,
	    &host->timers, peer_links_port(&host->links));
}

static enum error_code
start_fleet(struct host *host)
{
	struct fleet_settings settings = {.host_id = host->settings.host_id};
	struct fleet_ops ops = {
	    .open_slot = open_slot,
	    .drop_slot = drop_slot,
	    .context = host,
	};

	snprintf(settings.data_centre, sizeof(settings.data_centre), "%s",
	    host->settings.data_centre);
	return fleet_init(&host->fleet, &settings, &ops);
}

static struct capacity_slot *
open_slot(void *context, uint64_t upstream_id, uint64_t incarnation)
{
	struct capacity_slot *slot;
	struct host *host = context;

	if (grant_holder_open(&host->capacity.holder, upstream_id, incarnation,
		&slot) != ERROR_NONE)
		return NULL;
	return slot;
}

static void
drop_slot(void *context, uint64_t upstream_id)
{
	struct host *host = context;

	grant_holder_close(&host->capacity.holder, upstream_id);
}

/* Adds or updates an upstream. The groups learn of a new incarnation first, so
 * that they give back capacity before the slot is reopened. */
static void
put_upstream(struct host *host, const struct upstream_record *record)
{
	enum error_code error;

	host_groups_on_incarnation(host, record->id, record->incarnation);
	error = fleet_put_upstream(&host->fleet, record);
	if (error != ERROR_NONE && error != ERROR_STALE)
		event_log_write(EVENT_UPSTREAM_ANNOUNCED, "%s not added: %s",
		    record->name, error_name(error));
	update_grant_owner(host, record);
}

/* Notifies the grant owner of an upstream and whether it is taken out. */
static void
update_grant_owner(void *visitor, const struct upstream_record *record)
{
	struct host *host = visitor;
	const char *takeout;

	grant_owner_set_upstream(&host->capacity.owner, record,
	    intent_is_taken_out(host->fleet.intent, record, &takeout));
}

/* Recomputes which host owns which upstream from the committed live hosts. */
static void
update_owner_map(struct host *host)
{
	uint32_t hosts[HOSTS_MAX], count;
	const GArray *live;
	guint i;

	live = host_state(host)->live_hosts;
	count = 0;
	for (i = 0; i < live->len && count < HOSTS_MAX; i++)
		hosts[count++] =
		    g_array_index(live, struct live_host, i).host_id;
	if (count == 0 ||
	    capacity_exchange_set_hosts(&host->capacity,
		host_state(host)->epoch, hosts, count) != ERROR_NONE)
		return;
	wait_line_set_hosts(&host->wait_line, count);
}

/* Subscribes to the load reports of all upstreams in this host's subsets. */
static void
subscribe_loads(void *context)
{
	const struct fleet_view *view;
	const struct fleet_group *group;
	struct host *host = context;
	uint32_t i, j;

	view = fleet_lock(&host->fleet);
	for (i = 0; i < view->group_count; i++) {
		group = &view->groups[i];
		for (j = 0; j < group->subset_count; j++)
			upstream_directory_subscribe_load(&host->directory,
			    view->entries[group->subset[j]].id);
	}
	fleet_unlock(view);
}
