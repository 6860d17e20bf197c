#include "service/host.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/event_log.h"
#include "base/monotonic_clock.h"

#define CRASH_GATHER_MS	      200  /* Until all its requests were heard of. */
#define DEMAND_PERIOD_MS      10   /* Between looks at who waits. */
#define DEMAND_REQUESTS_MAX   256  /* Waiting requests looked at. */
#define DEMAND_UPSTREAMS      2	   /* Upstreams asked for each of them. */
#define DEMAND_ROTATION_MS    100  /* Then others are asked. */
#define SUBSCRIBE_PERIOD_MS   5000 /* Between load subscriptions. */
#define QUARANTINE_TIMEOUT_MS 5000 /* Longest wait for its commit. */
#define US_PER_MS	      1000
#define UPSTREAM_RENEWALS     2 /* Renewals that fit into an expiry. */

/* Demand for one upstream, as it is summed up. */
struct demand {
	struct capacity_amount waiting;
	struct capacity_amount largest;
	bool is_current;
};

/* An upstream that broke off, and what this host had on board. */
struct gathered_crash {
	struct host *host;
	uint64_t upstream_id;
	uint64_t incarnation;
	char data_centre[NAME_SIZE_MAX];
	GArray *fingerprints;
};

struct demand_round {
	struct host *host;
	const struct fleet_view *view;
	uint64_t rotation;
};

static bool directory_is_live(
    void *context, uint32_t host_id, uint64_t incarnation);
static uint32_t directory_list_hosts(
    void *context, uint32_t *host_ids, uint32_t max);
static uint32_t directory_owner(void *context, uint64_t upstream_id);
static void note_announced(void *context, const struct upstream_record *record);
static void note_changed(void *context, const struct upstream_record *record);
static void note_leaving(void *context, const struct upstream_record *record);
static void note_gone(void *context, const struct upstream_record *record);
static void note_load(void *context, const struct upstream_load *load);
static void note_granted(
    void *context, uint64_t upstream_id, struct capacity_slot *slot);
static void commit_quarantine(
    void *context, const struct quarantine_entry *entries, uint32_t count);
static void note_quarantine_committed(
    void *context, const struct command_result *result);
static void apply_quarantine(
    void *context, const struct quarantine_record *record);

static void weigh_crash(void *context);
static void free_crash(gpointer memory);
static uint32_t count_beside(
    struct host *host, const struct gathered_crash *gathered);
static void log_problems(struct host *host);
static enum error_code start_directory(struct host *host);
static enum error_code start_grants(struct host *host);
static enum error_code start_fleet(struct host *host);
static struct capacity_slot *open_slot(
    void *context, uint64_t upstream_id, uint64_t incarnation);
static void drop_slot(void *context, uint64_t upstream_id);
static void put_upstream(
    struct host *host, const struct upstream_record *record);
static void tell_owner(void *visitor, const struct upstream_record *record);
static void update_owners(struct host *host);
static void look_at_demand(void *context);
static void add_demand(void *context, const struct wait_ticket *ticket);
static void add_upstream_demand(
    struct host *host, uint64_t upstream_id, const struct request_facts *facts);
static void add_amount(struct host *host, uint64_t upstream_id,
    const struct capacity_amount *amount);
static uint32_t count_fitting(const struct fleet_view *view,
    const struct request_facts *facts, const struct intent_account *account);
static const struct fleet_entry *nth_fitting(const struct fleet_view *view,
    const struct request_facts *facts, const struct intent_account *account,
    uint32_t wanted);
static bool group_fits(const struct fleet_view *view,
    const struct fleet_group *group, const struct request_facts *facts,
    const struct intent_account *account);
static void subscribe_loads(void *context);
static void raise_amount(uint64_t *most, uint64_t amount);

enum error_code
host_fleet_init(struct host *host)
{
	struct quarantine_settings settings;
	struct quarantine_ops ops = {
	    .commit = commit_quarantine, .context = host};
	enum error_code error;

	host->wanted =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	host->crashes = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_crash);
	error = start_fleet(host);
	if (error != ERROR_NONE)
		return error;
	error = start_grants(host);
	if (error != ERROR_NONE)
		return error;
	settings = quarantine_default_settings();
	error =
	    quarantine_init(&host->quarantine, &settings, &ops, &host->timers);
	if (error != ERROR_NONE)
		return error;
	error = start_directory(host);
	if (error != ERROR_NONE)
		return error;
	timer_subscribe_every(&host->timers, DEMAND_PERIOD_MS,
	    (struct timer_callback){look_at_demand, host}, NULL);
	timer_subscribe_every(&host->timers, SUBSCRIBE_PERIOD_MS,
	    (struct timer_callback){subscribe_loads, host}, NULL);
	return ERROR_NONE;
}

void
host_fleet_finish(struct host *host)
{
	upstream_directory_finish(&host->directory);
	quarantine_finish(&host->quarantine);
	fleet_finish(&host->fleet);
	capacity_exchange_finish(&host->capacity);
	g_hash_table_destroy(host->wanted);
	g_hash_table_destroy(host->crashes);
}

void
host_fleet_intent_changed(struct host *host)
{
	struct config_source source;
	enum error_code error;

	source = replicated_state_config(host_state(host));
	error = fleet_set_intent(&host->fleet, &source);
	if (error != ERROR_NONE)
		event_log_write(EVENT_CONFIGURATION_APPLIED, "refused: %s",
		    error_name(error));
	log_problems(host);
	update_owners(host);
	upstream_directory_each(&host->directory, tell_owner, host);
	replicated_state_each_quarantine(
	    host_state(host), apply_quarantine, host);
	host_fleet_step(host);
}

void
host_fleet_set_lease(struct host *host, int64_t until_ms)
{
	fleet_set_new_work_until(&host->fleet, until_ms);
	grant_owner_set_lease(&host->capacity.owner, until_ms);
}

void
host_fleet_note_crash(struct host *host, uint64_t upstream_id,
    uint64_t incarnation, const char *data_centre, uint64_t fingerprint)
{
	struct gathered_crash *gathered;

	gathered = g_hash_table_lookup(host->crashes, &upstream_id);
	if (gathered == NULL) {
		gathered = g_new0(struct gathered_crash, 1);
		gathered->host = host;
		gathered->upstream_id = upstream_id;
		gathered->incarnation = incarnation;
		snprintf(gathered->data_centre, sizeof(gathered->data_centre),
		    "%s", data_centre);
		gathered->fingerprints =
		    g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_insert(
		    host->crashes, &gathered->upstream_id, gathered);
		timer_subscribe_once(&host->timers, CRASH_GATHER_MS,
		    (struct timer_callback){weigh_crash, gathered}, NULL);
	}
	g_array_append_val(gathered->fingerprints, fingerprint);
}

void
host_fleet_step(struct host *host)
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
note_announced(void *context, const struct upstream_record *record)
{
	event_log_write(EVENT_UPSTREAM_ANNOUNCED,
	    "%s in %s incarnation %" PRIu64, record->name, record->data_centre,
	    record->incarnation);
	put_upstream(context, record);
}

static void
note_changed(void *context, const struct upstream_record *record)
{
	put_upstream(context, record);
}

static void
note_leaving(void *context, const struct upstream_record *record)
{
	event_log_write(EVENT_UPSTREAM_LEAVING, "%s", record->name);
	put_upstream(context, record);
}

static void
note_gone(void *context, const struct upstream_record *record)
{
	struct host *host = context;

	event_log_write(EVENT_UPSTREAM_EXPIRED, "%s", record->name);
	fleet_remove_upstream(&host->fleet, record->id);
	host_groups_note_incarnation(host, record->id, record->incarnation + 1);
	grant_owner_remove_upstream(&host->capacity.owner, record->id);
	prefix_index_forget(&host->prefixes, record->id);
}

static void
note_load(void *context, const struct upstream_load *load)
{
	struct host *host = context;

	fleet_set_load(&host->fleet, load, host_now_ms());
}

static void
note_granted(void *context, uint64_t upstream_id, struct capacity_slot *slot)
{
	struct host *host = context;

	(void)upstream_id;
	(void)slot;
	host_groups_note_granted(host);
	wait_line_poke(&host->line);
}

static void
commit_quarantine(
    void *context, const struct quarantine_entry *entries, uint32_t count)
{
	struct command command = {.type = COMMAND_QUARANTINE};
	struct command_quarantine *body = &command.body.quarantine;
	struct host *host = context;
	uint32_t i;

	for (i = 0; i < count; i++) {
		body->fingerprint = entries[i].fingerprint;
		body->is_suspicion = entries[i].verdict == QUARANTINE_RUN_ALONE;
		body->crashes = entries[i].crashes;
		body->weight_permille = entries[i].weight_permille;
		body->until_ms =
		    entries[i].verdict == QUARANTINE_RUN
			? 0
			: clock_wall_us() / US_PER_MS + entries[i].remaining_ms;
		command_client_submit(&host->commands, &command,
		    QUARANTINE_TIMEOUT_MS,
		    (struct command_callback){note_quarantine_committed, host});
	}
}

static void
note_quarantine_committed(void *context, const struct command_result *result)
{
	(void)context;
	(void)result;
}

static void
apply_quarantine(void *context, const struct quarantine_record *record)
{
	struct quarantine_entry entry = {
	    .fingerprint = record->fingerprint,
	    .crashes = record->crashes,
	    .weight_permille = record->weight_permille,
	};
	struct host *host = context;

	entry.verdict =
	    record->is_suspicion ? QUARANTINE_RUN_ALONE : QUARANTINE_REFUSE;
	entry.remaining_ms = record->until_ms - clock_wall_us() / US_PER_MS;
	if (entry.remaining_ms <= 0)
		return;
	quarantine_apply(&host->quarantine, &entry);
	atomic_fetch_add(&host->suspects, 1);
}

static void
weigh_crash(void *context)
{
	struct gathered_crash *gathered = context;
	struct quarantine_crash crash = {0};
	struct host *host = gathered->host;

	crash.upstream_id = gathered->upstream_id;
	crash.incarnation = gathered->incarnation;
	crash.data_centre = gathered->data_centre;
	crash.fingerprints = (const uint64_t *)gathered->fingerprints->data;
	crash.count = gathered->fingerprints->len;
	crash.beside = count_beside(host, gathered);
	quarantine_note_crash(&host->quarantine, &crash);
	g_hash_table_remove(host->crashes, &gathered->upstream_id);
}

/* Other hosts' requests, by the last load report. */
static uint32_t
count_beside(struct host *host, const struct gathered_crash *gathered)
{
	const struct fleet_entry *entry;
	const struct fleet_view *view;
	uint32_t requests, own;

	requests = 0;
	own = 0;
	view = fleet_lock(&host->fleet);
	entry = fleet_view_find(view, gathered->upstream_id);
	if (entry != NULL) {
		requests = atomic_load(&entry->upstream->load.requests);
		own = atomic_load(&entry->upstream->load.own_requests);
	}
	fleet_unlock(view);
	return requests > own ? requests - own : 0;
}

static void
free_crash(gpointer memory)
{
	struct gathered_crash *gathered = memory;

	g_array_free(gathered->fingerprints, TRUE);
	g_free(gathered);
}

/* Entries that can't be read confine more than was meant; say which. */
static void
log_problems(struct host *host)
{
	const struct intent_problem *problem;
	guint i;

	for (i = 0; i < host->fleet.intent->problems->len; i++) {
		problem = &g_array_index(
		    host->fleet.intent->problems, struct intent_problem, i);
		event_log_write(EVENT_CONFIGURATION_UNUSABLE, "%s: %s",
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
	    .announced = note_announced,
	    .changed = note_changed,
	    .leaving = note_leaving,
	    .gone = note_gone,
	    .load = note_load,
	    .context = host,
	};

	settings.host_id = host->settings.host_id;
	settings.incarnation = host->incarnation;
	settings.renewal_ms =
	    host->settings.upstream_expiry_ms / UPSTREAM_RENEWALS;
	settings.expire_ms = host->settings.upstream_expiry_ms;
	return upstream_directory_init(&host->directory, &settings,
	    &host->timers, random_word(&host->random),
	    peer_links_port(&host->links), ops);
}

static enum error_code
start_grants(struct host *host)
{
	struct grant_owner_settings owner;
	struct grant_holder_settings holder;
	struct grant_holder_ops ops = {
	    .granted = note_granted, .context = host};

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

	grant_holder_drop(&host->capacity.holder, upstream_id);
}

static void
put_upstream(struct host *host, const struct upstream_record *record)
{
	enum error_code error;

	host_groups_note_incarnation(host, record->id, record->incarnation);
	error = fleet_put_upstream(&host->fleet, record);
	if (error != ERROR_NONE && error != ERROR_STALE)
		event_log_write(EVENT_UPSTREAM_ANNOUNCED, "%s: %s",
		    record->name, error_name(error));
	tell_owner(host, record);
}

static void
tell_owner(void *visitor, const struct upstream_record *record)
{
	struct host *host = visitor;
	const char *takeout;

	grant_owner_set_upstream(&host->capacity.owner, record,
	    intent_is_taken_out(host->fleet.intent, record, &takeout));
}

static void
update_owners(struct host *host)
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
	wait_line_set_hosts(&host->line, count);
}

static void
look_at_demand(void *context)
{
	struct demand_round round = {.host = context};
	const struct capacity_amount nothing = {0};
	struct host *host = context;
	GHashTableIter iterator;
	gpointer key, value;
	struct demand *demand;

	g_hash_table_iter_init(&iterator, host->wanted);
	while (g_hash_table_iter_next(&iterator, &key, &value))
		memset(value, 0, sizeof(struct demand));
	round.rotation = (uint64_t)(host_now_ms() / DEMAND_ROTATION_MS);
	round.view = fleet_lock(&host->fleet);
	wait_line_visit(&host->line, DEMAND_REQUESTS_MAX, add_demand, &round);
	fleet_unlock(round.view);
	host_groups_each_wanted(host, add_amount);
	g_hash_table_iter_init(&iterator, host->wanted);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		demand = value;
		grant_holder_want(&host->capacity.holder, *(uint64_t *)key,
		    demand->is_current ? &demand->waiting : &nothing,
		    demand->is_current ? &demand->largest : &nothing);
		if (!demand->is_current)
			g_hash_table_iter_remove(&iterator);
	}
}

/* Asks for what the router wanted; for requests that it has not looked at yet,
 * a few upstreams, others as time goes by. */
static void
add_demand(void *context, const struct wait_ticket *ticket)
{
	const struct request_facts *facts = ticket->facts;
	const struct intent_account *account;
	const struct fleet_entry *entry;
	struct demand_round *round = context;
	uint32_t fitting, i, at;

	account =
	    intent_account_by_name(round->view->intent, facts->client_account);
	if (account == NULL)
		return;
	if (ticket->wanted_id != 0) {
		add_amount(round->host, ticket->wanted_id, &ticket->wanted);
		return;
	}
	fitting = count_fitting(round->view, facts, account);
	if (fitting == 0)
		return;
	at = (uint32_t)((facts->id + round->rotation) % fitting);
	for (i = 0; i < DEMAND_UPSTREAMS && i < fitting; i++) {
		entry = nth_fitting(round->view, facts, account,
		    (at + i * (fitting / DEMAND_UPSTREAMS + 1)) % fitting);
		if (entry != NULL)
			add_upstream_demand(round->host, entry->id, facts);
	}
}

static void
add_upstream_demand(
    struct host *host, uint64_t upstream_id, const struct request_facts *facts)
{
	struct capacity_amount amount = {.requests = 1};

	amount.prefill_tokens = facts->prompt_tokens;
	amount.kv_tokens = facts->prompt_tokens + facts->answer_tokens_max;
	add_amount(host, upstream_id, &amount);
}

static void
add_amount(struct host *host, uint64_t upstream_id,
    const struct capacity_amount *amount)
{
	struct demand *demand;

	demand = g_hash_table_lookup(host->wanted, &upstream_id);
	if (demand == NULL) {
		demand = g_new0(struct demand, 1);
		g_hash_table_insert(host->wanted,
		    g_memdup2(&upstream_id, sizeof(upstream_id)), demand);
	}
	demand->is_current = true;
	demand->waiting.requests += amount->requests;
	demand->waiting.prefill_tokens += amount->prefill_tokens;
	demand->waiting.kv_tokens += amount->kv_tokens;
	demand->largest.requests = 1;
	raise_amount(&demand->largest.prefill_tokens, amount->prefill_tokens);
	raise_amount(&demand->largest.kv_tokens, amount->kv_tokens);
}

static uint32_t
count_fitting(const struct fleet_view *view, const struct request_facts *facts,
    const struct intent_account *account)
{
	uint32_t i, count;

	count = 0;
	for (i = 0; i < view->group_count; i++) {
		if (group_fits(view, &view->groups[i], facts, account))
			count += view->groups[i].count;
	}
	return count;
}

static const struct fleet_entry *
nth_fitting(const struct fleet_view *view, const struct request_facts *facts,
    const struct intent_account *account, uint32_t wanted)
{
	const struct fleet_group *group;
	uint32_t i;

	for (i = 0; i < view->group_count; i++) {
		group = &view->groups[i];
		if (!group_fits(view, group, facts, account))
			continue;
		if (wanted < group->count)
			return &view->entries[group->subset[wanted]];
		wanted -= group->count;
	}
	return NULL;
}

static bool
group_fits(const struct fleet_view *view, const struct fleet_group *group,
    const struct request_facts *facts, const struct intent_account *account)
{
	if (strcmp(group->model, facts->model) != 0)
		return false;
	if ((group->kind == UPSTREAM_KIND_SERVICE) != facts->is_service_call)
		return false;
	return intent_policies_admit(view->intent, account, group->policies);
}

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
		for (j = 0; j < group->count; j++)
			upstream_directory_subscribe_load(&host->directory,
			    view->entries[group->subset[j]].id);
	}
	fleet_unlock(view);
}

static void
raise_amount(uint64_t *most, uint64_t amount)
{
	if (amount > *most)
		*most = amount;
}
