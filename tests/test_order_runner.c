/*
 * Tests of the order runner: over changes of the leader and lost messages,
 * orders to an engine act in the order of their fencing numbers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/random_source.h"
#include "coordination/order_runner.h"

#define HOSTS	    3
#define ENGINES	    4 /* Engines with an even id honour fencing. */
#define SCHEDULES   1000
#define STEPS	    400
#define STEP_MS	    50
#define LEASE_MS    1000
#define ORDER_MS    2000
#define INTERVAL_MS 500
#define BURST	    2
#define PACKETS_MAX 4096
#define LOADS_MAX   4096
#define SETTLE_MS   60000

enum packet_kind {
	PACKET_BEGIN,
	PACKET_FINISH,
	PACKET_EXECUTE
};

/* A message to the voters or an engine; once delivered, its answer. */
struct packet {
	enum packet_kind kind;
	uint32_t host;
	uint64_t term; /* Term of the leader that sent it. */
	struct engine_order order;
	int64_t due_ms;
	bool is_answer;
	enum error_code error;
};

/* An engine's latest order in the replicated state. */
struct committed_order {
	struct engine_order order;
	uint32_t host;
	bool is_open;
	uint32_t finished_count;
};

struct host {
	struct timer_service timers;
	struct order_runner runner;
	bool is_frozen;
	uint64_t term;
};

struct sim {
	struct random_source random;
	int64_t now_ms;
	struct host hosts[HOSTS];
	uint32_t leader;
	struct committed_order committed[ENGINES];
	uint64_t executed[ENGINES]; /* Highest fencing number executed. */
	uint64_t last_fencing_number;
	uint64_t term;
	struct packet packets[PACKETS_MAX];
	uint32_t packet_count;
	int64_t load_ms[LOADS_MAX];
	uint32_t load_count;
	uint32_t accepted;
	bool is_lossy;
};

static struct sim sim;

static void
send_packet(struct host *host, enum packet_kind kind,
    const struct engine_order *order, int64_t delay_ms)
{
	struct packet packet = {0};

	if (sim.packet_count == PACKETS_MAX)
		return;
	packet.kind = kind;
	packet.host = (uint32_t)(host - sim.hosts);
	packet.term = host->term;
	packet.order = *order;
	packet.due_ms = sim.now_ms + delay_ms;
	sim.packets[sim.packet_count++] = packet;
}

static int64_t
commit_delay(void)
{
	return random_below(&sim.random, 300);
}

static void
commit_begin(void *context, const struct engine_order *order)
{
	send_packet(context, PACKET_BEGIN, order, commit_delay());
}

static void
commit_finish(
    void *context, const struct engine_order *order, enum error_code outcome)
{
	(void)outcome;
	send_packet(context, PACKET_FINISH, order, commit_delay());
}

static void
send_order(void *context, const struct engine_order *order)
{
	const struct host *host = context;

	/* Late timers of a host that was frozen run with the earlier time that
	 * they were due at, so the lease must be checked once more against
	 * the current time before an order is sent. */
	if (sim.now_ms >= host->runner.lease_until_ms)
		return;
	send_packet(context, PACKET_EXECUTE, order,
	    random_below(&sim.random, ORDER_MS - 2 * STEP_MS));
	if (order->loads_weights && sim.load_count < LOADS_MAX)
		sim.load_ms[sim.load_count++] = sim.now_ms;
}

static bool
honours_fencing(void *context, uint64_t upstream_id)
{
	(void)context;
	return upstream_id % 2 == 0;
}

static void
for_each_open(void *context,
    void (*visit)(void *visitor, const struct engine_order *order),
    void *visitor)
{
	uint32_t i;

	(void)context;
	for (i = 0; i < ENGINES; i++) {
		if (sim.committed[i].is_open)
			visit(visitor, &sim.committed[i].order);
	}
}

/* The voters accept commands only from the current leader. An order that is
 * begun again keeps its fencing number. */
static enum error_code
commit(struct packet *packet)
{
	struct committed_order *committed =
	    &sim.committed[packet->order.upstream_id];

	if (packet->term != sim.term)
		return ERROR_NOT_LEADER;
	if (packet->kind == PACKET_FINISH) {
		if (committed->order.fencing_number !=
		    packet->order.fencing_number)
			return ERROR_STALE;
		committed->finished_count += committed->is_open;
		committed->is_open = false;
		return ERROR_NONE;
	}
	if (committed->host == packet->host && committed->is_open &&
	    committed->order.attempt == packet->order.attempt) {
		packet->order.fencing_number = committed->order.fencing_number;
		return ERROR_NONE;
	}
	packet->order.fencing_number = ++sim.last_fencing_number;
	committed->order = packet->order;
	committed->host = packet->host;
	committed->is_open = true;
	return ERROR_NONE;
}

/* Fails if an engine that doesn't honour fencing executes an order after a
 * newer one. */
static enum error_code
execute(const struct engine_order *order)
{
	uint64_t *executed = &sim.executed[order->upstream_id];

	if (order->fencing_number < *executed) {
		assert_true(honours_fencing(NULL, order->upstream_id));
		return ERROR_STALE;
	}
	*executed = order->fencing_number;
	return ERROR_NONE;
}

static void
deliver_answer(const struct packet *packet)
{
	struct host *host = &sim.hosts[packet->host];
	struct order_runner *runner = &host->runner;
	uint64_t id = packet->order.upstream_id;
	uint64_t fencing_number = packet->order.fencing_number;

	if (host->is_frozen || host->term != packet->term)
		return;
	if (packet->kind == PACKET_BEGIN)
		order_runner_on_begun(
		    runner, id, fencing_number, packet->error);
	else if (packet->kind == PACKET_FINISH)
		order_runner_on_finished(
		    runner, id, fencing_number, packet->error);
	else
		order_runner_on_answer(
		    runner, id, fencing_number, packet->error);
}

static void
deliver_packets(void)
{
	struct packet packet;
	uint32_t i;

	for (i = 0; i < sim.packet_count; i++) {
		packet = sim.packets[i];
		if (packet.due_ms > sim.now_ms)
			continue;
		sim.packets[i--] = sim.packets[--sim.packet_count];
		if (sim.is_lossy && random_below(&sim.random, 5) == 0)
			continue;
		if (packet.is_answer) {
			deliver_answer(&packet);
			continue;
		}
		packet.error = packet.kind == PACKET_EXECUTE
				   ? execute(&packet.order)
				   : commit(&packet);
		packet.is_answer = true;
		packet.due_ms = sim.now_ms + random_below(&sim.random, 100);
		sim.packets[sim.packet_count++] = packet;
	}
}

/* Another host may become leader before the lease of the one before ends. */
static void
change_leader(void)
{
	sim.leader = random_below(&sim.random, HOSTS);
	sim.term++;
}

static void
renew_leader_lease(void)
{
	struct host *host = &sim.hosts[sim.leader];

	if (host->is_frozen || random_below(&sim.random, 4) != 0)
		return;
	if (host->term != sim.term) {
		order_runner_step_down(&host->runner);
		host->term = sim.term;
	}
	order_runner_set_lease(
	    &host->runner, timer_now(&host->timers) + LEASE_MS);
}

static void
run_steps(uint32_t steps)
{
	struct host *host;
	uint32_t i;

	for (; steps > 0; steps--) {
		sim.now_ms += STEP_MS;
		for (i = 0; i < HOSTS; i++) {
			host = &sim.hosts[i];
			if (!host->is_frozen)
				timer_advance(&host->timers, sim.now_ms);
		}
		renew_leader_lease();
		deliver_packets();
	}
}

static void
submit_random(void)
{
	struct engine_order order = {0};

	order.upstream_id = random_below(&sim.random, ENGINES);
	order.kind = 1 + random_below(&sim.random, 3);
	order.loads_weights = order.kind == 1;
	snprintf(order.argument, sizeof(order.argument), "model-%u",
	    random_below(&sim.random, 100));
	if (order_runner_submit(&sim.hosts[sim.leader].runner, &order) ==
	    ERROR_NONE)
		sim.accepted++;
}

static void
sim_start(uint64_t seed)
{
	struct order_runner_settings settings = order_runner_default_settings();
	struct order_runner_ops ops = {commit_begin, commit_finish, send_order,
	    honours_fencing, for_each_open, NULL};
	uint32_t i;

	memset(&sim, 0, sizeof(sim));
	random_init(&sim.random, seed);
	sim.now_ms = 1000;
	sim.term = 1;
	settings.lease_ms = LEASE_MS;
	settings.order_timeout_ms = ORDER_MS;
	settings.load_interval_ms = INTERVAL_MS;
	settings.loads_burst = BURST;
	settings.attempts_max = 100;
	for (i = 0; i < HOSTS; i++) {
		ops.context = &sim.hosts[i];
		timer_init(&sim.hosts[i].timers, 16, sim.now_ms);
		assert_int_equal(order_runner_init(&sim.hosts[i].runner,
				     &settings, &ops, &sim.hosts[i].timers),
		    ERROR_NONE);
	}
}

/* Checks that loads of weights were never started faster than allowed. */
static void
check_rate(void)
{
	uint32_t from, to;
	int64_t span_ms;

	for (from = 0; from < sim.load_count; from++) {
		for (to = from; to < sim.load_count; to++) {
			span_ms = sim.load_ms[to] - sim.load_ms[from];
			assert_true((int64_t)(to - from + 1) <=
				    BURST + 1 + span_ms / INTERVAL_MS);
		}
	}
}

static void
run_schedule(uint64_t seed)
{
	struct host *host;
	uint32_t step, i;

	sim_start(seed);
	sim.is_lossy = seed % 2 == 0;
	for (step = 0; step < STEPS; step++) {
		host = &sim.hosts[random_below(&sim.random, HOSTS)];
		if (random_below(&sim.random, 4) == 0)
			submit_random();
		if (random_below(&sim.random, 60) == 0)
			change_leader();
		if (random_below(&sim.random, 40) == 0)
			host->is_frozen = !host->is_frozen;
		run_steps(1);
	}
	sim.is_lossy = false;
	for (i = 0; i < HOSTS; i++)
		sim.hosts[i].is_frozen = false;
	run_steps(SETTLE_MS / STEP_MS);
	check_rate();
	for (i = 0; i < ENGINES; i++) {
		assert_false(sim.committed[i].is_open);
		assert_true(
		    sim.executed[i] == sim.committed[i].order.fencing_number);
	}
	for (i = 0; i < HOSTS; i++) {
		order_runner_finish(&sim.hosts[i].runner);
		timer_finish(&sim.hosts[i].timers);
	}
}

static void
test_orders_act_in_fencing_order_over_leader_changes(void **state)
{
	uint32_t accepted = 0;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SCHEDULES; seed++) {
		run_schedule(seed);
		accepted += sim.accepted;
	}
	print_message("%u orders in %u schedules\n", accepted, SCHEDULES);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_orders_act_in_fencing_order_over_leader_changes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
