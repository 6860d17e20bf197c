/*
 * Tests of KV memory leases under faults of hosts, links and the upstream:
 * a reservation in use is never released, and one of a lost host always is.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/capacity_exchange.h"
#include "coordination/kv_lease.h"
#include "fake_net.h"
#include "protocol/grant_message.h"

#define HOSTS	     5
#define SCHEDULES    200
#define STEPS	     150
#define STEP_MS	     50
#define CALLS_MAX    4096
#define UPSTREAM     UINT64_C(77)
#define REPORT_MS    1000
#define RESERVE_MS   2000
#define HOST_DEAD_MS 3000
#define SETTLE_MS    20000

/* A call on its way to the upstream. */
struct call {
	uint32_t host;
	uint64_t host_incarnation;
	uint64_t incarnation;
	uint64_t id;
	bool is_reserve;
	int64_t arrives_ms;
};

/* A host that reserves memory of the upstream for its requests. */
struct host {
	uint32_t id;
	uint64_t host_incarnation;
	struct owner_map map;
	struct kv_lease_table table;
	GArray *held; /* Ids of reservations that its requests use. */
};

struct sim {
	struct fake_net net;
	struct random_source random;
	struct host hosts[HOSTS];
	uint64_t epoch;
	bool is_member[HOSTS];
	uint64_t incarnation;
	GHashTable *reservations; /* Ids that are reserved at the upstream. */
	GArray *calls;
	bool is_lossy;
};

static struct sim sim;

static void
receive(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct host *host = context;
	struct grant_reader reader;

	(void)channel;
	if (grant_reader_init(&reader, body, size) != ERROR_NONE)
		return;
	(void)kv_lease_receive(&host->table, from_host, &reader);
	grant_reader_finish(&reader);
}

static void
send_call(struct host *host, uint64_t incarnation, uint64_t id, bool is_reserve)
{
	struct call call = {
	    host->id, host->host_incarnation, incarnation, id, is_reserve, 0};

	if (sim.is_lossy && random_below(&sim.random, 4) == 0)
		return;
	call.arrives_ms =
	    fake_net_now(&sim.net) +
	    random_below(&sim.random, sim.is_lossy ? RESERVE_MS - STEP_MS : 10);
	g_array_append_val(sim.calls, call);
}

static void
send_release(void *context, uint64_t upstream_id, uint64_t incarnation,
    uint64_t reservation_id)
{
	assert_true(upstream_id == UPSTREAM);
	send_call(context, incarnation, reservation_id, false);
}

static void
update_owner_map(struct host *host)
{
	enum owner_map_change change;
	uint32_t ids[HOSTS], count = 0, i;

	for (i = 0; i < HOSTS; i++) {
		if (sim.is_member[i])
			ids[count++] = i + 1;
	}
	(void)owner_map_set(&host->map, sim.epoch, ids, count, &change);
}

static void
start_host(struct host *host)
{
	struct fake_receiver receiver = {receive, host};
	struct kv_lease_ops ops = {send_release, NULL, host};
	struct kv_lease_settings settings;

	host->host_incarnation++;
	fake_net_start(&sim.net, host->id, 5000, receiver);
	owner_map_init(&host->map);
	settings = kv_lease_default_settings(
	    host->id, (uint32_t)random_uint64(&sim.random));
	settings.reserve_call_max_ms = RESERVE_MS;
	settings.host_dead_ms = HOST_DEAD_MS;
	assert_int_equal(kv_lease_init(&host->table, &settings, &ops,
			     fake_net_timers(&sim.net, host->id),
			     fake_net_port(&sim.net, host->id), &host->map),
	    ERROR_NONE);
	host->held = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	update_owner_map(host);
}

static void
kill_host(struct host *host)
{
	kv_lease_finish(&host->table);
	fake_net_kill(&sim.net, host->id);
	g_array_free(host->held, TRUE);
	host->held = NULL;
}

static bool
is_awake(const struct host *host)
{
	return host->held != NULL &&
	       !fake_net_host(&sim.net, host->id)->is_frozen;
}

static void
remove_held(struct host *host, uint64_t id)
{
	guint i;

	for (i = 0; i < host->held->len; i++) {
		if (g_array_index(host->held, uint64_t, i) == id)
			g_array_remove_index_fast(host->held, i--);
	}
}

/* Executes a call at the upstream and delivers the answer unless it is lost. */
static void
deliver_call(const struct call *call)
{
	struct host *host = &sim.hosts[call->host - 1];
	bool was_known, is_answered;

	if (call->incarnation != sim.incarnation)
		return;
	is_answered = host->host_incarnation == call->host_incarnation &&
		      is_awake(host) &&
		      !(sim.is_lossy && random_below(&sim.random, 4) == 0);
	was_known = g_hash_table_contains(sim.reservations, &call->id);
	if (call->is_reserve) {
		if (!was_known)
			g_hash_table_add(sim.reservations,
			    g_memdup2(&call->id, sizeof(call->id)));
		if (is_answered &&
		    kv_lease_record_held(&host->table, call->id) == ERROR_NONE)
			g_array_append_val(host->held, call->id);
		return;
	}
	g_hash_table_remove(sim.reservations, &call->id);
	if (is_answered)
		kv_lease_record_released(&host->table, call->id, was_known);
}

/* Executes the calls that have arrived at the upstream. Every REPORT_MS the
 * upstream reports to all hosts what it holds. */
static void
upstream_step(void)
{
	int64_t now_ms = fake_net_now(&sim.net);
	uint64_t ids[CALLS_MAX];
	GHashTableIter iter;
	struct call call;
	uint32_t count = 0;
	gpointer key;
	guint i;

	for (i = 0; i < sim.calls->len; i++) {
		call = g_array_index(sim.calls, struct call, i);
		if (now_ms < call.arrives_ms)
			continue;
		g_array_remove_index(sim.calls, i--);
		deliver_call(&call);
	}
	if (now_ms % REPORT_MS != 0)
		return;
	g_hash_table_iter_init(&iter, sim.reservations);
	while (g_hash_table_iter_next(&iter, &key, NULL) && count < CALLS_MAX)
		ids[count++] = *(uint64_t *)key;
	for (i = 0; i < HOSTS; i++) {
		if (is_awake(&sim.hosts[i]))
			kv_lease_check_held(&sim.hosts[i].table, UPSTREAM,
			    sim.incarnation, ids, count);
	}
}

/* Checks that no reservation that a live host's request uses was released. */
static void
check_held(void)
{
	struct host *host;
	uint64_t id;
	guint i, j;

	for (i = 0; i < HOSTS; i++) {
		host = &sim.hosts[i];
		for (j = 0;
		     is_awake(host) && sim.is_member[i] && j < host->held->len;
		     j++) {
			id = g_array_index(host->held, uint64_t, j);
			assert_true(
			    g_hash_table_contains(sim.reservations, &id));
		}
	}
}

/* Lets a host's requests begin or release a reservation at random. */
static void
use_reservations(struct host *host)
{
	uint64_t id;

	if (!is_awake(host) || !sim.is_member[host->id - 1])
		return;
	if (random_below(&sim.random, 3) == 0 &&
	    kv_lease_begin(&host->table, UPSTREAM, sim.incarnation,
		KV_LEASE_RESERVATION, 100, INT64_MAX, &id) == ERROR_NONE) {
		send_call(host, sim.incarnation, id, true);
		/* Sometimes the request gives up before the answer. */
		if (random_below(&sim.random, 4) == 0)
			kv_lease_release(&host->table, id);
	}
	if (host->held->len > 0 && random_below(&sim.random, 3) == 0) {
		id = g_array_index(host->held, uint64_t, 0);
		remove_held(host, id);
		kv_lease_release(&host->table, id);
	}
}

static void
set_member(uint32_t index, bool is_member)
{
	struct host *host;
	uint32_t i;

	sim.is_member[index] = is_member;
	sim.epoch++;
	for (i = 0; i < HOSTS; i++) {
		host = &sim.hosts[i];
		if (is_awake(host))
			update_owner_map(host);
	}
}

static void
restart_upstream(void)
{
	guint i;

	sim.incarnation++;
	g_hash_table_remove_all(sim.reservations);
	for (i = 0; i < HOSTS; i++) {
		if (sim.hosts[i].held == NULL)
			continue;
		g_array_set_size(sim.hosts[i].held, 0);
		kv_lease_set_incarnation(
		    &sim.hosts[i].table, UPSTREAM, sim.incarnation);
	}
}

static void
inject_fault(void)
{
	uint32_t index = random_below(&sim.random, HOSTS);
	struct host *host = &sim.hosts[index];

	switch (random_below(&sim.random, 40)) {
	case 0:
		if (host->held != NULL)
			kill_host(host);
		break;
	case 1:
		if (host->held == NULL)
			start_host(host);
		break;
	case 2:
		fake_net_freeze(&sim.net, host->id);
		break;
	case 3:
		fake_net_thaw(&sim.net, host->id);
		if (host->held != NULL)
			update_owner_map(host);
		break;
	case 4:
		restart_upstream();
		break;
	case 5:
		if (!is_awake(host))
			set_member(index, false);
		break;
	case 6:
		if (is_awake(host))
			set_member(index, true);
		break;
	default:
		break;
	}
}

static void
sim_start(uint64_t seed)
{
	const struct fake_link link = {
	    .delay_max_ms = 900, .loss = 0.2, .duplicate = 0.2};
	uint32_t i;

	memset(&sim, 0, sizeof(sim));
	fake_net_init(&sim.net, HOSTS, seed, &link);
	random_init(&sim.random, seed);
	sim.reservations =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	sim.calls = g_array_new(FALSE, FALSE, sizeof(struct call));
	sim.incarnation = 1;
	sim.epoch = 1;
	sim.is_lossy = true;
	for (i = 0; i < HOSTS; i++)
		sim.is_member[i] = true;
	for (i = 0; i < HOSTS; i++) {
		sim.hosts[i].id = i + 1;
		start_host(&sim.hosts[i]);
	}
}

static void
run_steps(int64_t duration_ms)
{
	int64_t end_ms = fake_net_now(&sim.net) + duration_ms;

	while (fake_net_now(&sim.net) < end_ms) {
		fake_net_run(&sim.net, STEP_MS);
		upstream_step();
		check_held();
	}
}

/* Ends all faults except that the first host stays dead, and releases what the
 * requests of the other hosts use. */
static void
end_faults(void)
{
	const struct fake_link link = {.delay_max_ms = 3};
	uint32_t i;

	fake_net_set_links(&sim.net, &link);
	sim.is_lossy = false;
	if (sim.hosts[0].held != NULL)
		kill_host(&sim.hosts[0]);
	for (i = 0; i < HOSTS; i++) {
		fake_net_thaw(&sim.net, i + 1);
		if (i > 0 && sim.hosts[i].held == NULL)
			start_host(&sim.hosts[i]);
		set_member(i, i > 0);
	}
	for (i = 1; i < HOSTS; i++) {
		while (sim.hosts[i].held->len > 0) {
			uint64_t id =
			    g_array_index(sim.hosts[i].held, uint64_t, 0);

			remove_held(&sim.hosts[i], id);
			kv_lease_release(&sim.hosts[i].table, id);
		}
	}
}

static void
test_reservations_are_neither_leaked_nor_released_in_use(void **state)
{
	const char *text = getenv("CHICORY_SOAK_SCHEDULES");
	unsigned int count =
	    text == NULL ? SCHEDULES : (unsigned int)atoi(text);
	unsigned int seed, step, i;

	(void)state;
	for (seed = 1; seed <= count; seed++) {
		sim_start(seed);
		for (step = 0; step < STEPS; step++) {
			for (i = 0; i < HOSTS; i++)
				use_reservations(&sim.hosts[i]);
			inject_fault();
			run_steps(STEP_MS);
		}
		end_faults();
		/* Releases the remaining leases; no request needs them. */
		for (i = 1; i < HOSTS; i++) {
			GHashTableIter iter;
			gpointer key;

			g_hash_table_iter_init(
			    &iter, sim.hosts[i].table.leases);
			while (g_hash_table_iter_next(&iter, &key, NULL))
				kv_lease_release(
				    &sim.hosts[i].table, *(uint64_t *)key);
		}
		run_steps(SETTLE_MS);
		if (g_hash_table_size(sim.reservations) != 0)
			fail_msg("seed %u: %u reservations lost", seed,
			    g_hash_table_size(sim.reservations));
		for (i = 1; i < HOSTS; i++) {
			assert_int_equal(
			    kv_lease_count(&sim.hosts[i].table), 0);
			kill_host(&sim.hosts[i]);
		}
		g_hash_table_destroy(sim.reservations);
		g_array_free(sim.calls, TRUE);
		fake_net_finish(&sim.net);
	}
}

/* The upstream may answer a release with "not held" because the call to reserve
 * hasn't arrived yet. The lease must be kept until it can't arrive any more. */
static void
test_release_overtakes_reserve(void **state)
{
	struct kv_lease_table *table = &sim.hosts[0].table;
	uint64_t id;
	uint32_t i;

	(void)state;
	sim_start(1);
	assert_int_equal(kv_lease_begin(table, UPSTREAM, 1,
			     KV_LEASE_RESERVATION, 100, INT64_MAX, &id),
	    ERROR_NONE);
	kv_lease_release(table, id);
	kv_lease_record_released(table, id, false);
	assert_int_equal(kv_lease_count(table), 1);
	fake_net_run(&sim.net, RESERVE_MS);
	kv_lease_record_released(table, id, false);
	assert_int_equal(kv_lease_count(table), 0);
	for (i = 0; i < HOSTS; i++)
		kill_host(&sim.hosts[i]);
	g_hash_table_destroy(sim.reservations);
	g_array_free(sim.calls, TRUE);
	fake_net_finish(&sim.net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_reservations_are_neither_leaked_nor_released_in_use),
	    cmocka_unit_test(test_release_overtakes_reserve),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
