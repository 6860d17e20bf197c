#include "fake_fleet.h"

#include <stdio.h>
#include <string.h>

#include "coordination/capacity_math.h"

#define LEADER_PERIOD_MS 100 /* Between tries to renew a lease. */
#define CLOCK_START_MS	 1000000

static void start_host(struct fleet *fleet, struct fleet_host *host);
static void receive(void *context, uint32_t from_host,
    enum peer_channel channel, const void *body, size_t size);
static void step_leader(struct fleet *fleet);
static void commit_set(struct fleet *fleet, uint32_t id, bool is_in);
static void renew_lease(struct fleet *fleet, struct fleet_host *host);
static bool is_in_set(const struct fleet *fleet, uint32_t id);
static bool is_running(struct fleet *fleet, const struct fleet_host *host);
static void step_runs(struct fleet *fleet);
static bool has_vanished(struct fleet *fleet, const struct fleet_run *run);
static void step_load(struct fleet *fleet);
static void try_request(
    struct fleet *fleet, struct fleet_host *host, uint32_t upstream);
static void check_limits(struct fleet *fleet);

void
fake_fleet_init(
    struct fleet *fleet, uint32_t hosts, uint32_t upstreams, uint64_t seed)
{
	const struct fake_link link = {.delay_min_ms = 1, .delay_max_ms = 3};
	struct upstream_record *record;
	struct fleet_set set = {0};
	uint32_t i;

	memset(fleet, 0, sizeof(*fleet));
	fake_net_init(&fleet->net, hosts, seed, &link);
	random_init(&fleet->random, seed + 1);
	fleet->host_count = hosts;
	fleet->upstream_count = upstreams;
	fleet->sets = g_array_new(FALSE, FALSE, sizeof(struct fleet_set));
	fleet->runs = g_array_new(FALSE, FALSE, sizeof(struct fleet_run));
	fleet->load_percent = 10;
	fleet->run_most_ms = 3000;
	for (i = 0; i < upstreams; i++) {
		record = &fleet->upstreams[i].record;
		snprintf(record->name, sizeof(record->name), "u%u", i);
		record->id = upstream_id(record->name);
		record->incarnation = 1;
		record->kind = UPSTREAM_KIND_MODEL;
		record->state = UPSTREAM_STATE_ACTIVE;
		record->limits.cold_requests = 1 + i % 3;
		record->limits.warm_requests = 12;
		record->limits.cold_prefill_tokens = 3000;
		record->limits.warm_prefill_tokens = 12000;
		record->limits.kv_tokens = 14000;
		record->limits.prefill_tokens_per_s = 10000;
	}
	set.count = hosts;
	for (i = 0; i < hosts; i++)
		set.hosts[i] = i + 1;
	g_array_append_val(fleet->sets, set);
	for (i = 0; i < hosts; i++) {
		fleet->hosts[i].fleet = fleet;
		fleet->hosts[i].id = i + 1;
		fleet->hosts[i].lease_end_ms = FLEET_LEASE_MS;
		start_host(fleet, &fleet->hosts[i]);
	}
}

void
fake_fleet_finish(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++)
		capacity_exchange_finish(&fleet->hosts[i].exchange);
	fake_net_finish(&fleet->net);
	g_array_free(fleet->sets, TRUE);
	g_array_free(fleet->runs, TRUE);
}

void
fake_fleet_run(struct fleet *fleet, int64_t duration_ms)
{
	int64_t end_ms;

	end_ms = fake_net_now(&fleet->net) + duration_ms;
	while (fake_net_now(&fleet->net) < end_ms) {
		fake_net_run(&fleet->net, FLEET_STEP_MS);
		step_leader(fleet);
		step_runs(fleet);
		step_load(fleet);
		check_limits(fleet);
	}
}

void
fake_fleet_kill(struct fleet *fleet, uint32_t id)
{
	struct fleet_host *host = &fleet->hosts[id - 1];
	struct fleet_run *run;
	guint i;

	if (!fake_net_host(&fleet->net, id)->is_up)
		return;
	for (i = 0; i < fleet->runs->len; i++) {
		run = &g_array_index(fleet->runs, struct fleet_run, i);
		if (run->host == id)
			run->slot = NULL;
	}
	capacity_exchange_finish(&host->exchange);
	fake_net_kill(&fleet->net, id);
	memset(host->waits_since_ms, 0, sizeof(host->waits_since_ms));
}

void
fake_fleet_restart(struct fleet *fleet, uint32_t id)
{
	struct fleet_host *host = &fleet->hosts[id - 1];

	fake_fleet_kill(fleet, id);
	host->restarted_ms = fake_net_now(&fleet->net);
	start_host(fleet, host);
}

void
fake_fleet_restart_upstream(struct fleet *fleet, uint32_t upstream)
{
	struct fleet_upstream *restarted = &fleet->upstreams[upstream];
	struct fleet_run *run;
	guint i;

	restarted->record.incarnation++;
	memset(&restarted->running, 0, sizeof(restarted->running));
	for (i = 0; i < fleet->runs->len; i++) {
		run = &g_array_index(fleet->runs, struct fleet_run, i);
		if (run->upstream == upstream)
			run->has_ended = true;
	}
}

void
fake_fleet_announce(struct fleet *fleet, uint32_t upstream, uint32_t id)
{
	const struct fleet_upstream *told = &fleet->upstreams[upstream];
	struct fleet_host *host = &fleet->hosts[id - 1];

	if (!is_running(fleet, host))
		return;
	(void)grant_owner_set_upstream(
	    &host->exchange.owner, &told->record, told->is_taken_out);
	(void)grant_holder_open(&host->exchange.holder, told->record.id,
	    told->record.incarnation, NULL);
}

void
fake_fleet_mend(struct fleet *fleet)
{
	const struct fake_link link = {.delay_min_ms = 1, .delay_max_ms = 3};
	uint32_t i, upstream;

	fake_net_set_links(&fleet->net, &link);
	for (i = 1; i <= fleet->host_count; i++) {
		fleet->hosts[i - 1].is_cut = false;
		fake_net_thaw(&fleet->net, i);
		if (!fake_net_host(&fleet->net, i)->is_up)
			fake_fleet_restart(fleet, i);
	}
	for (upstream = 0; upstream < fleet->upstream_count; upstream++) {
		fleet->upstreams[upstream].is_taken_out = false;
		for (i = 1; i <= fleet->host_count; i++)
			fake_fleet_announce(fleet, upstream, i);
	}
}

static void
start_host(struct fleet *fleet, struct fleet_host *host)
{
	struct fake_receiver receiver = {receive, host};
	struct grant_holder_settings holder;
	struct grant_owner_settings owner;
	uint32_t i;

	host->instance++;
	host->epoch = 0;
	/* A clock of its own, which starts anew. */
	fake_net_start(&fleet->net, host->id,
	    CLOCK_START_MS + random_below(&fleet->random, 100000), receiver);
	owner = grant_owner_default_settings(host->id);
	owner.grant_ms = FLEET_GRANT_MS;
	owner.config_lease_ms = FLEET_LEASE_MS;
	owner.orphan_drain_ms = FLEET_GONE_DRAIN_MS;
	owner.request_max_ms = FLEET_DRAIN_MS;
	holder = grant_holder_default_settings(host->id, host->instance);
	holder.renew_ms = FLEET_GRANT_MS / 3;
	holder.idle_ms = FLEET_GRANT_MS / 2;
	holder.orphan_drain_ms = FLEET_GONE_DRAIN_MS;
	g_assert(capacity_exchange_init(&host->exchange, &owner, &holder, NULL,
		     fake_net_timers(&fleet->net, host->id),
		     fake_net_port(&fleet->net, host->id)) == ERROR_NONE);
	for (i = 0; i < fleet->upstream_count; i++)
		fake_fleet_announce(fleet, i, host->id);
}

static void
receive(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct fleet_host *host = context;

	(void)channel;
	(void)capacity_exchange_receive(&host->exchange, from_host, body, size);
}

/* Takes hosts off the set when their lease is over, and renews leases. */
static void
step_leader(struct fleet *fleet)
{
	int64_t now_ms = fake_net_now(&fleet->net);
	struct fleet_host *host;
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++) {
		host = &fleet->hosts[i];
		if (is_in_set(fleet, host->id) &&
		    now_ms > host->lease_end_ms + LEADER_PERIOD_MS) {
			commit_set(fleet, host->id, false);
			host->gone_ms = now_ms;
		}
		if (random_below(&fleet->random,
			LEADER_PERIOD_MS / FLEET_STEP_MS) == 0 &&
		    is_running(fleet, host) && !host->is_cut)
			renew_lease(fleet, host);
	}
}

static void
commit_set(struct fleet *fleet, uint32_t id, bool is_in)
{
	struct fleet_set set, next = {0};
	uint32_t i;

	set =
	    g_array_index(fleet->sets, struct fleet_set, fleet->sets->len - 1);
	for (i = 0; i < set.count; i++) {
		if (set.hosts[i] != id)
			next.hosts[next.count++] = set.hosts[i];
	}
	if (is_in)
		next.hosts[next.count++] = id;
	g_array_append_val(fleet->sets, next);
}

/* A lease comes after all epochs that were committed before it. */
static void
renew_lease(struct fleet *fleet, struct fleet_host *host)
{
	const struct fleet_set *set;
	int64_t now_ms;

	if (!is_in_set(fleet, host->id))
		commit_set(fleet, host->id, true);
	while (host->epoch < fleet->sets->len) {
		host->epoch++;
		/* A snapshot in place of single changes. */
		if (host->epoch < fleet->sets->len &&
		    random_unit(&fleet->random) < fleet->skip)
			continue;
		set = &g_array_index(
		    fleet->sets, struct fleet_set, host->epoch - 1);
		g_assert(
		    capacity_exchange_set_hosts(&host->exchange, host->epoch,
			set->hosts, set->count) == ERROR_NONE);
	}
	now_ms = fake_net_now(&fleet->net);
	host->lease_end_ms = now_ms + FLEET_LEASE_MS;
	grant_owner_set_lease(&host->exchange.owner,
	    timer_now(fake_net_timers(&fleet->net, host->id)) + FLEET_LEASE_MS);
}

static bool
is_in_set(const struct fleet *fleet, uint32_t id)
{
	const struct fleet_set *set;
	uint32_t i;

	set =
	    &g_array_index(fleet->sets, struct fleet_set, fleet->sets->len - 1);
	for (i = 0; i < set->count; i++) {
		if (set->hosts[i] == id)
			return true;
	}
	return false;
}

static bool
is_running(struct fleet *fleet, const struct fleet_host *host)
{
	const struct fake_net_host *on_net =
	    fake_net_host(&fleet->net, host->id);

	return on_net->is_up && !on_net->is_frozen;
}

static void
step_runs(struct fleet *fleet)
{
	int64_t now_ms = fake_net_now(&fleet->net);
	struct fleet_upstream *upstream;
	struct fleet_run *run;
	guint i;

	for (i = fleet->runs->len; i > 0; i--) {
		run = &g_array_index(fleet->runs, struct fleet_run, i - 1);
		upstream = &fleet->upstreams[run->upstream];
		if (!run->has_ended &&
		    (now_ms >= run->ends_ms || has_vanished(fleet, run))) {
			run->has_ended = true;
			upstream->running =
			    capacity_subtract(&upstream->running, &run->amount);
		}
		if (!run->has_ended ||
		    (run->slot != NULL &&
			!is_running(fleet, &fleet->hosts[run->host - 1])))
			continue;
		/* The host sees the end only while it is awake. */
		if (run->slot != NULL) {
			if (fleet->is_warming)
				grant_holder_record_answer(
				    &fleet->hosts[run->host - 1]
					 .exchange.holder,
				    upstream->record.id, run->incarnation,
				    WARMUP_IN_TIME);
			capacity_slot_release(run->slot, &run->amount);
		}
		g_array_remove_index_fast(fleet->runs, i - 1);
	}
}

/* Engines end what runs for a host that is off the set, or for an earlier
 * process of it, only after the drain time. */
static bool
has_vanished(struct fleet *fleet, const struct fleet_run *run)
{
	const struct fleet_host *host = &fleet->hosts[run->host - 1];
	int64_t over_ms = fake_net_now(&fleet->net) - FLEET_GONE_DRAIN_MS;

	if (run->instance != host->instance && over_ms >= host->restarted_ms)
		return true;
	return !is_in_set(fleet, host->id) && over_ms >= host->gone_ms;
}

static void
step_load(struct fleet *fleet)
{
	uint32_t i, upstream;

	for (i = 0; i < fleet->host_count; i++) {
		if (!is_running(fleet, &fleet->hosts[i]))
			continue;
		for (upstream = 0; upstream < fleet->upstream_count;
		     upstream++) {
			if (fleet->hosts[i].waits_since_ms[upstream] != 0 ||
			    random_below(&fleet->random, 100) <
				fleet->load_percent)
				try_request(fleet, &fleet->hosts[i], upstream);
		}
	}
}

static void
try_request(struct fleet *fleet, struct fleet_host *host, uint32_t upstream)
{
	struct fleet_upstream *target = &fleet->upstreams[upstream];
	const struct capacity_amount none = {0};
	struct fleet_run run = {0};
	int64_t now_ms, waited_ms;

	now_ms = fake_net_now(&fleet->net);
	run.slot = grant_holder_slot(&host->exchange.holder, target->record.id);
	run.amount.requests = 1;
	run.amount.prefill_tokens = 300 + random_below(&fleet->random, 700);
	run.amount.kv_tokens = run.amount.prefill_tokens + 200;
	if (host->waits_since_ms[upstream] != 0)
		run.amount = host->waiting[upstream];
	if (run.slot == NULL || capacity_slot_acquire(run.slot, &run.amount,
				    timer_now(fake_net_timers(&fleet->net,
					host->id))) != ERROR_NONE) {
		fleet->refused++;
		if (host->waits_since_ms[upstream] == 0)
			host->waits_since_ms[upstream] = now_ms;
		host->waiting[upstream] = run.amount;
		grant_holder_set_demand(&host->exchange.holder,
		    target->record.id, &run.amount, &run.amount);
		return;
	}
	if (host->waits_since_ms[upstream] != 0) {
		waited_ms = now_ms - host->waits_since_ms[upstream];
		if (waited_ms > fleet->longest_wait_ms)
			fleet->longest_wait_ms = waited_ms;
		host->waits_since_ms[upstream] = 0;
		grant_holder_set_demand(
		    &host->exchange.holder, target->record.id, &none, &none);
	}
	/* A restarted upstream refuses what was meant for its earlier life. */
	if (grant_holder_incarnation(&host->exchange.holder,
		target->record.id) != target->record.incarnation) {
		capacity_slot_release(run.slot, &run.amount);
		return;
	}
	run.upstream = upstream;
	run.host = host->id;
	run.instance = host->instance;
	run.incarnation = fleet->upstreams[upstream].record.incarnation;
	run.ends_ms =
	    now_ms + 20 +
	    random_below(&fleet->random, (uint32_t)fleet->run_most_ms);
	fleet->served++;
	target->running = capacity_add(&target->running, &run.amount);
	g_array_append_val(fleet->runs, run);
}

static void
check_limits(struct fleet *fleet)
{
	struct capacity_amount limit;
	struct fleet_upstream *upstream;
	uint32_t i;

	for (i = 0; i < fleet->upstream_count; i++) {
		upstream = &fleet->upstreams[i];
		limit = fleet->is_warming
			    ? warmup_warm_limit(&upstream->record.limits)
			    : warmup_cold_limit(&upstream->record.limits);
		upstream->most =
		    capacity_max(&upstream->most, &upstream->running);
		if (!capacity_fits(&upstream->running, &limit))
			fleet->violations++;
	}
}
