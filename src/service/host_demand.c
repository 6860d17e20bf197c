#include "service/host.h"

#include <string.h>

#define DEMAND_PERIOD_MS    10	/* Between looks at who waits. */
#define DEMAND_REQUESTS_MAX 256 /* Waiting requests looked at. */
#define DEMAND_UPSTREAMS    2	/* Upstreams asked for each of them. */
#define DEMAND_ROTATION_MS  100 /* Then others are asked. */

/* Demand for one upstream, as it is summed up. */
struct demand {
	struct capacity_amount waiting;
	struct capacity_amount largest;
	bool is_current;
};

struct demand_round {
	struct host *host;
	const struct fleet_view *view;
	uint64_t rotation;
};

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
static void raise_amount(uint64_t *most, uint64_t amount);

void
host_demand_init(struct host *host)
{
	host->wanted =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	timer_subscribe_every(&host->timers, DEMAND_PERIOD_MS,
	    (struct timer_callback){look_at_demand, host}, NULL);
}

void
host_demand_finish(struct host *host)
{
	g_hash_table_destroy(host->wanted);
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
		grant_holder_set_demand(&host->capacity.holder,
		    *(uint64_t *)key,
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
	if (ticket->wanted_upstream_id != 0) {
		add_amount(
		    round->host, ticket->wanted_upstream_id, &ticket->wanted);
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
			count += view->groups[i].subset_count;
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
		if (wanted < group->subset_count)
			return &view->entries[group->subset[wanted]];
		wanted -= group->subset_count;
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
raise_amount(uint64_t *most, uint64_t amount)
{
	if (amount > *most)
		*most = amount;
}
