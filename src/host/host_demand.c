/*
 * Reports to capacity owners what the queued requests of this host need. The
 * demand of all queued requests and waiting groups is summed up per upstream
 * and handed to the grant holder, which sends it to the owners.
 */
#include "host/host.h"

#include <string.h>

/* Interval at which the demand is computed. */
#define DEMAND_PERIOD_MS 10
/* Largest number of queued requests that are counted. */
#define DEMAND_REQUESTS_MAX 256
/* Upstreams whose capacity is requested for each request not yet routed. */
#define DEMAND_UPSTREAMS_PER_REQUEST 2
/* Interval after which capacity is requested from other upstreams. */
#define DEMAND_ROTATION_MS 100

/* Demand for one upstream. */
struct demand {
	struct capacity_amount waiting; /* Sum over the queued requests. */
	/* Largest amount that one request needs. */
	struct capacity_amount largest;
	bool is_current; /* False if nothing needs the upstream any more. */
};

/* State of one computation of the demand. */
struct demand_round {
	struct host *host;
	const struct fleet_view *view;
	uint64_t rotation; /* Changes every DEMAND_ROTATION_MS. */
};

static void update_demand(void *context);
static void add_demand(void *context, const struct wait_ticket *ticket);
static void add_upstream_demand(
    struct host *host, uint64_t upstream_id, const struct request_facts *facts);
static void add_amount(struct host *host, uint64_t upstream_id,
    const struct capacity_amount *amount);
static uint32_t count_eligible(const struct fleet_view *view,
    const struct request_facts *facts, const struct intent_account *account);
static const struct fleet_entry *nth_eligible(const struct fleet_view *view,
    const struct request_facts *facts, const struct intent_account *account,
    uint32_t index);
static bool is_group_eligible(const struct fleet_view *view,
    const struct fleet_group *group, const struct request_facts *facts,
    const struct intent_account *account);
static void raise_to(uint64_t *most, uint64_t amount);

void
host_demand_init(struct host *host)
{
	host->demands =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	timer_subscribe_every(&host->timers, DEMAND_PERIOD_MS,
	    (struct timer_callback){update_demand, host}, NULL);
}

void
host_demand_finish(struct host *host)
{
	g_hash_table_destroy(host->demands);
}

/* Computes the demand for each upstream and hands it to the grant holder.
 * Upstreams without demand are set to zero once and then removed. */
static void
update_demand(void *context)
{
	struct demand_round round = {.host = context};
	const struct capacity_amount nothing = {0};
	struct host *host = context;
	GHashTableIter iterator;
	gpointer key, value;
	struct demand *demand;

	g_hash_table_iter_init(&iterator, host->demands);
	while (g_hash_table_iter_next(&iterator, &key, &value))
		memset(value, 0, sizeof(struct demand));
	round.rotation = (uint64_t)(host_now_ms() / DEMAND_ROTATION_MS);
	round.view = fleet_lock(&host->fleet);
	wait_line_visit(
	    &host->wait_line, DEMAND_REQUESTS_MAX, add_demand, &round);
	fleet_unlock(round.view);
	host_groups_for_each_demand(host, add_amount);
	g_hash_table_iter_init(&iterator, host->demands);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		demand = value;
		grant_holder_set_demand(&host->capacity.holder,
		    *(uint64_t *)key,
		    demand->is_current ? &demand->waiting : &nothing,
		    demand->is_current ? &demand->largest : &nothing);
		if (!demand->is_current)
			g_hash_table_iter_remove(&iterator);
	}
}

/* Adds the demand of a queued request: for the upstream that the router wanted,
 * or, if the request has not been routed yet, for a few eligible upstreams that
 * change over time. */
static void
add_demand(void *context, const struct wait_ticket *ticket)
{
	const struct request_facts *facts = ticket->facts;
	const struct intent_account *account;
	const struct fleet_entry *entry;
	struct demand_round *round = context;
	uint32_t eligible, i, at;

	account =
	    intent_account_by_name(round->view->intent, facts->client_account);
	if (account == NULL)
		return;
	if (ticket->wanted_upstream_id != 0) {
		add_amount(
		    round->host, ticket->wanted_upstream_id, &ticket->wanted);
		return;
	}
	eligible = count_eligible(round->view, facts, account);
	if (eligible == 0)
		return;
	at = (uint32_t)((facts->id + round->rotation) % eligible);
	for (i = 0; i < DEMAND_UPSTREAMS_PER_REQUEST && i < eligible; i++) {
		entry = nth_eligible(round->view, facts, account,
		    (at + i * (eligible / DEMAND_UPSTREAMS_PER_REQUEST + 1)) %
			eligible);
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

	demand = g_hash_table_lookup(host->demands, &upstream_id);
	if (demand == NULL) {
		demand = g_new0(struct demand, 1);
		g_hash_table_insert(host->demands,
		    g_memdup2(&upstream_id, sizeof(upstream_id)), demand);
	}
	demand->is_current = true;
	demand->waiting.requests += amount->requests;
	demand->waiting.prefill_tokens += amount->prefill_tokens;
	demand->waiting.kv_tokens += amount->kv_tokens;
	demand->largest.requests = 1;
	raise_to(&demand->largest.prefill_tokens, amount->prefill_tokens);
	raise_to(&demand->largest.kv_tokens, amount->kv_tokens);
}

/* Counts the upstreams of this host's subset that the request may run on. */
static uint32_t
count_eligible(const struct fleet_view *view, const struct request_facts *facts,
    const struct intent_account *account)
{
	uint32_t i, count;

	count = 0;
	for (i = 0; i < view->group_count; i++) {
		if (is_group_eligible(view, &view->groups[i], facts, account))
			count += view->groups[i].subset_count;
	}
	return count;
}

/* Returns the upstream at an index among those that count_eligible() counts. */
static const struct fleet_entry *
nth_eligible(const struct fleet_view *view, const struct request_facts *facts,
    const struct intent_account *account, uint32_t index)
{
	const struct fleet_group *group;
	uint32_t i;

	for (i = 0; i < view->group_count; i++) {
		group = &view->groups[i];
		if (!is_group_eligible(view, group, facts, account))
			continue;
		if (index < group->subset_count)
			return &view->entries[group->subset[index]];
		index -= group->subset_count;
	}
	return NULL;
}

static bool
is_group_eligible(const struct fleet_view *view,
    const struct fleet_group *group, const struct request_facts *facts,
    const struct intent_account *account)
{
	if (strcmp(group->model, facts->model) != 0)
		return false;
	if ((group->kind == UPSTREAM_KIND_SERVICE) != facts->is_service_call)
		return false;
	return intent_policies_admit(view->intent, account, group->policies);
}

static void
raise_to(uint64_t *most, uint64_t amount)
{
	if (amount > *most)
		*most = amount;
}
