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

#define HOSTS	   5
#define SCHEDULES  200
#define STEPS	   150
#define STEP_MS	   50
#define CALLS_MAX  4096
#define UPSTREAM   UINT64_C(77)
#define REPORT_MS  1000
#define RESERVE_MS 2000
#define GONE_MS	   3000
#define SETTLE_MS  20000

/* A call on its way to the upstream. */
struct call {
	uint32_t host;
	uint64_t process;
	uint64_t incarnation;
	uint64_t id;
	bool is_reserve;
	int64_t arrives_ms;
};

struct host {
	uint32_t id;
	uint64_t process;
	struct owner_map map;
	struct kv_lease_table table;
	GArray *held; /* Ids that its requests use. */
};

struct world {
	struct fake_net net;
	struct random_source random;
	struct host hosts[HOSTS];
	uint64_t epoch;
	bool is_in[HOSTS];
	uint64_t incarnation;
	GHashTable *memory; /* Ids that the upstream holds. */
	GArray *calls;
	bool is_lossy;
};

static struct world world;

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
put_call(struct host *host, uint64_t incarnation, uint64_t id, bool is_reserve)
{
	struct call call = {
	    host->id, host->process, incarnation, id, is_reserve, 0};

	if (world.is_lossy && random_below(&world.random, 4) == 0)
		return;
	call.arrives_ms = fake_net_now(&world.net) +
			  random_below(&world.random,
			      world.is_lossy ? RESERVE_MS - STEP_MS : 10);
	g_array_append_val(world.calls, call);
}

static void
release(void *context, uint64_t upstream_id, uint64_t incarnation,
    uint64_t reservation_id)
{
	assert_true(upstream_id == UPSTREAM);
	put_call(context, incarnation, reservation_id, false);
}

static void
set_hosts(struct host *host)
{
	enum owner_map_change change;
	uint32_t ids[HOSTS], count = 0, i;

	for (i = 0; i < HOSTS; i++) {
		if (world.is_in[i])
			ids[count++] = i + 1;
	}
	(void)owner_map_set(&host->map, world.epoch, ids, count, &change);
}

static void
start_host(struct host *host)
{
	struct fake_receiver receiver = {receive, host};
	struct kv_lease_ops ops = {release, NULL, host};
	struct kv_lease_settings settings;

	host->process++;
	fake_net_start(&world.net, host->id, 5000, receiver);
	owner_map_init(&host->map);
	settings = kv_lease_default_settings(
	    host->id, (uint32_t)random_uint64(&world.random));
	settings.reserve_call_max_ms = RESERVE_MS;
	settings.host_dead_ms = GONE_MS;
	assert_int_equal(kv_lease_init(&host->table, &settings, &ops,
			     fake_net_timers(&world.net, host->id),
			     fake_net_port(&world.net, host->id), &host->map),
	    ERROR_NONE);
	host->held = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	set_hosts(host);
}

static void
kill_host(struct host *host)
{
	kv_lease_finish(&host->table);
	fake_net_kill(&world.net, host->id);
	g_array_free(host->held, TRUE);
	host->held = NULL;
}

static bool
is_awake(const struct host *host)
{
	return host->held != NULL &&
	       !fake_net_host(&world.net, host->id)->is_frozen;
}

static void
drop_held(struct host *host, uint64_t id)
{
	guint i;

	for (i = 0; i < host->held->len; i++) {
		if (g_array_index(host->held, uint64_t, i) == id)
			g_array_remove_index_fast(host->held, i--);
	}
}

/* The upstream's end of a call, with the answer when it is not lost. */
static void
take_call(const struct call *call)
{
	struct host *host = &world.hosts[call->host - 1];
	bool was_known, is_answered;

	if (call->incarnation != world.incarnation)
		return;
	is_answered = host->process == call->process && is_awake(host) &&
		      !(world.is_lossy && random_below(&world.random, 4) == 0);
	was_known = g_hash_table_contains(world.memory, &call->id);
	if (call->is_reserve) {
		if (!was_known)
			g_hash_table_add(world.memory,
			    g_memdup2(&call->id, sizeof(call->id)));
		if (is_answered &&
		    kv_lease_record_held(&host->table, call->id) == ERROR_NONE)
			g_array_append_val(host->held, call->id);
		return;
	}
	g_hash_table_remove(world.memory, &call->id);
	if (is_answered)
		kv_lease_record_released(&host->table, call->id, was_known);
}

static void
step_upstream(void)
{
	int64_t now_ms = fake_net_now(&world.net);
	uint64_t ids[CALLS_MAX];
	GHashTableIter iter;
	struct call call;
	uint32_t count = 0;
	gpointer key;
	guint i;

	for (i = 0; i < world.calls->len; i++) {
		call = g_array_index(world.calls, struct call, i);
		if (now_ms < call.arrives_ms)
			continue;
		g_array_remove_index(world.calls, i--);
		take_call(&call);
	}
	if (now_ms % REPORT_MS != 0)
		return;
	g_hash_table_iter_init(&iter, world.memory);
	while (g_hash_table_iter_next(&iter, &key, NULL) && count < CALLS_MAX)
		ids[count++] = *(uint64_t *)key;
	for (i = 0; i < HOSTS; i++) {
		if (is_awake(&world.hosts[i]))
			kv_lease_check_held(&world.hosts[i].table, UPSTREAM,
			    world.incarnation, ids, count);
	}
}

/* What a live host's request uses is never released under it. */
static void
check_held(void)
{
	struct host *host;
	uint64_t id;
	guint i, j;

	for (i = 0; i < HOSTS; i++) {
		host = &world.hosts[i];
		for (j = 0;
		     is_awake(host) && world.is_in[i] && j < host->held->len;
		     j++) {
			id = g_array_index(host->held, uint64_t, j);
			assert_true(g_hash_table_contains(world.memory, &id));
		}
	}
}

static void
use_memory(struct host *host)
{
	uint64_t id;

	if (!is_awake(host) || !world.is_in[host->id - 1])
		return;
	if (random_below(&world.random, 3) == 0 &&
	    kv_lease_begin(&host->table, UPSTREAM, world.incarnation,
		KV_LEASE_RESERVATION, 100, INT64_MAX, &id) == ERROR_NONE) {
		put_call(host, world.incarnation, id, true);
		/* Sometimes its request gives up before the answer. */
		if (random_below(&world.random, 4) == 0)
			kv_lease_release(&host->table, id);
	}
	if (host->held->len > 0 && random_below(&world.random, 3) == 0) {
		id = g_array_index(host->held, uint64_t, 0);
		drop_held(host, id);
		kv_lease_release(&host->table, id);
	}
}

static void
change_set(uint32_t index, bool is_in)
{
	struct host *host;
	uint32_t i;

	world.is_in[index] = is_in;
	world.epoch++;
	for (i = 0; i < HOSTS; i++) {
		host = &world.hosts[i];
		if (is_awake(host))
			set_hosts(host);
	}
}

static void
restart_upstream(void)
{
	guint i;

	world.incarnation++;
	g_hash_table_remove_all(world.memory);
	for (i = 0; i < HOSTS; i++) {
		if (world.hosts[i].held == NULL)
			continue;
		g_array_set_size(world.hosts[i].held, 0);
		kv_lease_set_incarnation(
		    &world.hosts[i].table, UPSTREAM, world.incarnation);
	}
}

static void
inject_fault(void)
{
	uint32_t index = random_below(&world.random, HOSTS);
	struct host *host = &world.hosts[index];

	switch (random_below(&world.random, 40)) {
	case 0:
		if (host->held != NULL)
			kill_host(host);
		break;
	case 1:
		if (host->held == NULL)
			start_host(host);
		break;
	case 2:
		fake_net_freeze(&world.net, host->id);
		break;
	case 3:
		fake_net_thaw(&world.net, host->id);
		if (host->held != NULL)
			set_hosts(host);
		break;
	case 4:
		restart_upstream();
		break;
	case 5:
		if (!is_awake(host))
			change_set(index, false);
		break;
	case 6:
		if (is_awake(host))
			change_set(index, true);
		break;
	default:
		break;
	}
}

static void
start_world(uint64_t seed)
{
	const struct fake_link link = {
	    .delay_max_ms = 900, .loss = 0.2, .duplicate = 0.2};
	uint32_t i;

	memset(&world, 0, sizeof(world));
	fake_net_init(&world.net, HOSTS, seed, &link);
	random_init(&world.random, seed);
	world.memory =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	world.calls = g_array_new(FALSE, FALSE, sizeof(struct call));
	world.incarnation = 1;
	world.epoch = 1;
	world.is_lossy = true;
	for (i = 0; i < HOSTS; i++)
		world.is_in[i] = true;
	for (i = 0; i < HOSTS; i++) {
		world.hosts[i].id = i + 1;
		start_host(&world.hosts[i]);
	}
}

static void
run_steps(int64_t duration_ms)
{
	int64_t end_ms = fake_net_now(&world.net) + duration_ms;

	while (fake_net_now(&world.net) < end_ms) {
		fake_net_run(&world.net, STEP_MS);
		step_upstream();
		check_held();
	}
}

/* One host stays dead; all that runs must end with nothing left behind. */
static void
settle_world(void)
{
	const struct fake_link link = {.delay_max_ms = 3};
	uint32_t i;

	fake_net_set_links(&world.net, &link);
	world.is_lossy = false;
	if (world.hosts[0].held != NULL)
		kill_host(&world.hosts[0]);
	for (i = 0; i < HOSTS; i++) {
		fake_net_thaw(&world.net, i + 1);
		if (i > 0 && world.hosts[i].held == NULL)
			start_host(&world.hosts[i]);
		change_set(i, i > 0);
	}
	for (i = 1; i < HOSTS; i++) {
		while (world.hosts[i].held->len > 0) {
			uint64_t id =
			    g_array_index(world.hosts[i].held, uint64_t, 0);

			drop_held(&world.hosts[i], id);
			kv_lease_release(&world.hosts[i].table, id);
		}
	}
}

static void
test_nothing_is_lost_or_stolen(void **state)
{
	const char *text = getenv("CHICORY_SOAK_SCHEDULES");
	unsigned int count =
	    text == NULL ? SCHEDULES : (unsigned int)atoi(text);
	unsigned int seed, step, i;

	(void)state;
	for (seed = 1; seed <= count; seed++) {
		start_world(seed);
		for (step = 0; step < STEPS; step++) {
			for (i = 0; i < HOSTS; i++)
				use_memory(&world.hosts[i]);
			inject_fault();
			run_steps(STEP_MS);
		}
		settle_world();
		/* Reservations that nobody waits for any more. */
		for (i = 1; i < HOSTS; i++) {
			GHashTableIter iter;
			gpointer key;

			g_hash_table_iter_init(
			    &iter, world.hosts[i].table.leases);
			while (g_hash_table_iter_next(&iter, &key, NULL))
				kv_lease_release(
				    &world.hosts[i].table, *(uint64_t *)key);
		}
		run_steps(SETTLE_MS);
		if (g_hash_table_size(world.memory) != 0)
			fail_msg("seed %u: %u reservations lost", seed,
			    g_hash_table_size(world.memory));
		for (i = 1; i < HOSTS; i++) {
			assert_int_equal(
			    kv_lease_count(&world.hosts[i].table), 0);
			kill_host(&world.hosts[i]);
		}
		g_hash_table_destroy(world.memory);
		g_array_free(world.calls, TRUE);
		fake_net_finish(&world.net);
	}
}

/* "Not held" proves nothing while the call to reserve may still arrive. */
static void
test_release_overtakes_reserve(void **state)
{
	struct kv_lease_table *table = &world.hosts[0].table;
	uint64_t id;
	uint32_t i;

	(void)state;
	start_world(1);
	assert_int_equal(kv_lease_begin(table, UPSTREAM, 1,
			     KV_LEASE_RESERVATION, 100, INT64_MAX, &id),
	    ERROR_NONE);
	kv_lease_release(table, id);
	kv_lease_record_released(table, id, false);
	assert_int_equal(kv_lease_count(table), 1);
	fake_net_run(&world.net, RESERVE_MS);
	kv_lease_record_released(table, id, false);
	assert_int_equal(kv_lease_count(table), 0);
	for (i = 0; i < HOSTS; i++)
		kill_host(&world.hosts[i]);
	g_hash_table_destroy(world.memory);
	g_array_free(world.calls, TRUE);
	fake_net_finish(&world.net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_nothing_is_lost_or_stolen),
	    cmocka_unit_test(test_release_overtakes_reserve),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
