#include "fake_fleet.h"

#include <stdio.h>
#include <string.h>

#include "coordination/capacity_math.h"

#define LEASE_RENEWAL_PERIOD_MS 100 /* Mean time between renewals of a lease. */
#define CLOCK_START_MS		1000000

static void start_host(struct fleet *fleet, struct fleet_host *host);
static void receive(void *context, uint32_t from_host,
    enum peer_channel channel, const void *body, size_t size);
static void run_leader(struct fleet *fleet);
static void commit_host_set(struct fleet *fleet, uint32_t id, bool is_in);
static void renew_lease(struct fleet *fleet, struct fleet_host *host);
static bool is_in_set(const struct fleet *fleet, uint32_t id);
static bool is_running(struct fleet *fleet, const struct fleet_host *host);
static void finish_requests(struct fleet *fleet);
static bool is_cancelled(
    struct fleet *fleet, const struct fleet_request *request);
static void generate_load(struct fleet *fleet);
static void try_request(
    struct fleet *fleet, struct fleet_host *host, uint32_t upstream);
static void check_limits(struct fleet *fleet);

void
fake_fleet_init(
    struct fleet *fleet, uint32_t hosts, uint32_t upstreams, uint64_t seed)
{
	const struct fake_link link = {.delay_min_ms = 1, .delay_max_ms = 3};
	struct upstream_record *record;
	struct fleet_host_set set = {0};
	uint32_t i;

	memset(fleet, 0, sizeof(*fleet));
	fake_net_init(&fleet->net, hosts, seed, &link);
	random_init(&fleet->random, seed + 1);
	fleet->host_count = hosts;
	fleet->upstream_count = upstreams;
	fleet->host_sets =
	    g_array_new(FALSE, FALSE, sizeof(struct fleet_host_set));
	fleet->requests =
	    g_array_new(FALSE, FALSE, sizeof(struct fleet_request));
	fleet->load_percent = 10;
	fleet->request_max_ms = 3000;
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
	g_array_append_val(fleet->host_sets, set);
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
	g_array_free(fleet->host_sets, TRUE);
	g_array_free(fleet->requests, TRUE);
}

void
fake_fleet_run(struct fleet *fleet, int64_t duration_ms)
{
	int64_t end_ms;

	end_ms = fake_net_now(&fleet->net) + duration_ms;
	while (fake_net_now(&fleet->net) < end_ms) {
		fake_net_run(&fleet->net, FLEET_STEP_MS);
		run_leader(fleet);
		finish_requests(fleet);
		generate_load(fleet);
		check_limits(fleet);
	}
}

void
fake_fleet_kill(struct fleet *fleet, uint32_t id)
{
	struct fleet_host *host = &fleet->hosts[id - 1];
	struct fleet_request *request;
	guint i;

	if (!fake_net_host(&fleet->net, id)->is_up)
		return;
	for (i = 0; i < fleet->requests->len; i++) {
		request =
		    &g_array_index(fleet->requests, struct fleet_request, i);
		if (request->host == id)
			request->slot = NULL;
	}
	capacity_exchange_finish(&host->exchange);
	fake_net_kill(&fleet->net, id);
	memset(host->waiting_since_ms, 0, sizeof(host->waiting_since_ms));
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
	struct fleet_request *request;
	guint i;

	restarted->record.incarnation++;
	memset(&restarted->running, 0, sizeof(restarted->running));
	for (i = 0; i < fleet->requests->len; i++) {
		request =
		    &g_array_index(fleet->requests, struct fleet_request, i);
		if (request->upstream == upstream)
			request->has_ended = true;
	}
}

void
fake_fleet_announce(struct fleet *fleet, uint32_t upstream, uint32_t id)
{
	const struct fleet_upstream *announced = &fleet->upstreams[upstream];
	struct fleet_host *host = &fleet->hosts[id - 1];

	if (!is_running(fleet, host))
		return;
	(void)grant_owner_set_upstream(
	    &host->exchange.owner, &announced->record, announced->is_taken_out);
	(void)grant_holder_open(&host->exchange.holder, announced->record.id,
	    announced->record.incarnation, NULL);
}

void
fake_fleet_heal(struct fleet *fleet)
{
	const struct fake_link link = {.delay_min_ms = 1, .delay_max_ms = 3};
	uint32_t i, upstream;

	fake_net_set_links(&fleet->net, &link);
	for (i = 1; i <= fleet->host_count; i++) {
		fleet->hosts[i - 1].is_cut_from_leader = false;
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
	/* The clocks of processes differ by a random offset. */
	fake_net_start(&fleet->net, host->id,
	    CLOCK_START_MS + random_below(&fleet->random, 100000), receiver);
	owner = grant_owner_default_settings(host->id);
	owner.grant_ms = FLEET_GRANT_MS;
	owner.config_lease_ms = FLEET_LEASE_MS;
	owner.orphan_drain_ms = FLEET_ORPHAN_DRAIN_MS;
	owner.request_max_ms = FLEET_REQUEST_MAX_MS;
	holder = grant_holder_default_settings(host->id, host->instance);
	holder.renew_ms = FLEET_GRANT_MS / 3;
	holder.idle_ms = FLEET_GRANT_MS / 2;
	holder.orphan_drain_ms = FLEET_ORPHAN_DRAIN_MS;
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

/* Plays the leader: removes hosts whose lease has ended from the host set and
 * renews the leases of reachable hosts. */
static void
run_leader(struct fleet *fleet)
{
	int64_t now_ms = fake_net_now(&fleet->net);
	struct fleet_host *host;
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++) {
		host = &fleet->hosts[i];
		if (is_in_set(fleet, host->id) &&
		    now_ms > host->lease_end_ms + LEASE_RENEWAL_PERIOD_MS) {
			commit_host_set(fleet, host->id, false);
			host->removed_ms = now_ms;
		}
		if (random_below(&fleet->random,
			LEASE_RENEWAL_PERIOD_MS / FLEET_STEP_MS) == 0 &&
		    is_running(fleet, host) && !host->is_cut_from_leader)
			renew_lease(fleet, host);
	}
}

static void
commit_host_set(struct fleet *fleet, uint32_t id, bool is_in)
{
	struct fleet_host_set set, next = {0};
	uint32_t i;

	set = g_array_index(
	    fleet->host_sets, struct fleet_host_set, fleet->host_sets->len - 1);
	for (i = 0; i < set.count; i++) {
		if (set.hosts[i] != id)
			next.hosts[next.count++] = set.hosts[i];
	}
	if (is_in)
		next.hosts[next.count++] = id;
	g_array_append_val(fleet->host_sets, next);
}

/* Renews the lease of a host. The host applies all epochs that were committed
 * before the lease first. */
static void
renew_lease(struct fleet *fleet, struct fleet_host *host)
{
	const struct fleet_host_set *set;
	int64_t now_ms;

	if (!is_in_set(fleet, host->id))
		commit_host_set(fleet, host->id, true);
	while (host->epoch < fleet->host_sets->len) {
		host->epoch++;
		/* Skips an epoch, as a host that loads a snapshot does. */
		if (host->epoch < fleet->host_sets->len &&
		    random_unit(&fleet->random) < fleet->skipped_epoch_share)
			continue;
		set = &g_array_index(
		    fleet->host_sets, struct fleet_host_set, host->epoch - 1);
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
	const struct fleet_host_set *set;
	uint32_t i;

	set = &g_array_index(
	    fleet->host_sets, struct fleet_host_set, fleet->host_sets->len - 1);
	for (i = 0; i < set->count; i++) {
		if (set->hosts[i] == id)
			return true;
	}
	return false;
}

static bool
is_running(struct fleet *fleet, const struct fleet_host *host)
{
	const struct fake_net_host *net_host =
	    fake_net_host(&fleet->net, host->id);

	return net_host->is_up && !net_host->is_frozen;
}

static void
finish_requests(struct fleet *fleet)
{
	int64_t now_ms = fake_net_now(&fleet->net);
	struct fleet_upstream *upstream;
	struct fleet_request *request;
	guint i;

	for (i = fleet->requests->len; i > 0; i--) {
		request = &g_array_index(
		    fleet->requests, struct fleet_request, i - 1);
		upstream = &fleet->upstreams[request->upstream];
		if (!request->has_ended && (now_ms >= request->end_ms ||
					       is_cancelled(fleet, request))) {
			request->has_ended = true;
			upstream->running = capacity_subtract(
			    &upstream->running, &request->amount);
		}
		if (!request->has_ended ||
		    (request->slot != NULL &&
			!is_running(fleet, &fleet->hosts[request->host - 1])))
			continue;
		/* A host that is down or frozen doesn't learn of the end. */
		if (request->slot != NULL) {
			if (fleet->is_warming)
				grant_holder_record_answer(
				    &fleet->hosts[request->host - 1]
					 .exchange.holder,
				    upstream->record.id, request->incarnation,
				    WARMUP_IN_TIME);
			capacity_slot_release(request->slot, &request->amount);
		}
		g_array_remove_index_fast(fleet->requests, i - 1);
	}
}

/* True if the engine has cancelled an orphaned request. Engines cancel the
 * requests of a removed host, or of an earlier process of a host, only after
 * the drain time. */
static bool
is_cancelled(struct fleet *fleet, const struct fleet_request *request)
{
	const struct fleet_host *host = &fleet->hosts[request->host - 1];
	int64_t cancel_before_ms =
	    fake_net_now(&fleet->net) - FLEET_ORPHAN_DRAIN_MS;

	if (request->instance != host->instance &&
	    cancel_before_ms >= host->restarted_ms)
		return true;
	return !is_in_set(fleet, host->id) &&
	       cancel_before_ms >= host->removed_ms;
}

static void
generate_load(struct fleet *fleet)
{
	uint32_t i, upstream;

	for (i = 0; i < fleet->host_count; i++) {
		if (!is_running(fleet, &fleet->hosts[i]))
			continue;
		for (upstream = 0; upstream < fleet->upstream_count;
		     upstream++) {
			if (fleet->hosts[i].waiting_since_ms[upstream] != 0 ||
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
	struct fleet_request request = {0};
	int64_t now_ms, waited_ms;

	now_ms = fake_net_now(&fleet->net);
	request.slot =
	    grant_holder_slot(&host->exchange.holder, target->record.id);
	request.amount.requests = 1;
	request.amount.prefill_tokens = 300 + random_below(&fleet->random, 700);
	request.amount.kv_tokens = request.amount.prefill_tokens + 200;
	if (host->waiting_since_ms[upstream] != 0)
		request.amount = host->waiting_amount[upstream];
	if (request.slot == NULL ||
	    capacity_slot_acquire(request.slot, &request.amount,
		timer_now(fake_net_timers(&fleet->net, host->id))) !=
		ERROR_NONE) {
		fleet->refused++;
		if (host->waiting_since_ms[upstream] == 0)
			host->waiting_since_ms[upstream] = now_ms;
		host->waiting_amount[upstream] = request.amount;
		grant_holder_set_demand(&host->exchange.holder,
		    target->record.id, &request.amount, &request.amount);
		return;
	}
	if (host->waiting_since_ms[upstream] != 0) {
		waited_ms = now_ms - host->waiting_since_ms[upstream];
		if (waited_ms > fleet->longest_wait_ms)
			fleet->longest_wait_ms = waited_ms;
		host->waiting_since_ms[upstream] = 0;
		grant_holder_set_demand(
		    &host->exchange.holder, target->record.id, &none, &none);
	}
	/* An upstream refuses requests for an earlier incarnation of it. */
	if (grant_holder_incarnation(&host->exchange.holder,
		target->record.id) != target->record.incarnation) {
		capacity_slot_release(request.slot, &request.amount);
		return;
	}
	request.upstream = upstream;
	request.host = host->id;
	request.instance = host->instance;
	request.incarnation = fleet->upstreams[upstream].record.incarnation;
	request.end_ms =
	    now_ms + 20 +
	    random_below(&fleet->random, (uint32_t)fleet->request_max_ms);
	fleet->started++;
	target->running = capacity_add(&target->running, &request.amount);
	g_array_append_val(fleet->requests, request);
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
		upstream->peak =
		    capacity_max(&upstream->peak, &upstream->running);
		if (!capacity_fits(&upstream->running, &limit))
			fleet->limit_violations++;
	}
}
