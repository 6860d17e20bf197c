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
#define ENGINES	    4 /* Even ones honour fencing. */
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
	PACKET_GIVE
};

/* What is under way to the voters or an engine, and then back. */
struct packet {
	enum packet_kind kind;
	uint32_t host;
	uint64_t lead; /* Which time of leading sent it. */
	struct engine_order order;
	int64_t due_ms;
	bool is_answer;
	enum error_code error;
};

/* An order in the replicated state. */
struct committed {
	struct engine_order order;
	uint32_t host;
	bool is_open;
	uint32_t done;
};

struct host {
	struct timer_service timers;
	struct order_runner runner;
	bool is_frozen;
	uint64_t lead;
};

struct world {
	struct random_source random;
	int64_t now_ms;
	struct host hosts[HOSTS];
	uint32_t leader;
	struct committed committed[ENGINES];
	uint64_t executed[ENGINES]; /* Greatest number that acted. */
	uint64_t next_fencing;
	uint64_t lead;
	struct packet packets[PACKETS_MAX];
	uint32_t packet_count;
	int64_t load_ms[LOADS_MAX];
	uint32_t load_count;
	uint32_t accepted;
	bool is_lossy;
};

static struct world world;

static void
put_packet(struct host *host, enum packet_kind kind,
    const struct engine_order *order, int64_t delay_ms)
{
	struct packet packet = {0};

	if (world.packet_count == PACKETS_MAX)
		return;
	packet.kind = kind;
	packet.host = (uint32_t)(host - world.hosts);
	packet.lead = host->lead;
	packet.order = *order;
	packet.due_ms = world.now_ms + delay_ms;
	world.packets[world.packet_count++] = packet;
}

static int64_t
commit_delay(void)
{
	return random_below(&world.random, 300);
}

static void
commit_begin(void *context, const struct engine_order *order)
{
	put_packet(context, PACKET_BEGIN, order, commit_delay());
}

static void
commit_finish(
    void *context, const struct engine_order *order, enum error_code outcome)
{
	(void)outcome;
	put_packet(context, PACKET_FINISH, order, commit_delay());
}

static void
give(void *context, const struct engine_order *order)
{
	const struct host *host = context;

	/* Late timers of a frozen host run with their own, earlier time; the
	 * edge looks at the clock once more, as the header asks. */
	if (world.now_ms >= host->runner.lease_until_ms)
		return;
	put_packet(context, PACKET_GIVE, order,
	    random_below(&world.random, ORDER_MS - 2 * STEP_MS));
	if (order->loads_weights && world.load_count < LOADS_MAX)
		world.load_ms[world.load_count++] = world.now_ms;
}

static bool
honours_fencing(void *context, uint64_t upstream_id)
{
	(void)context;
	return upstream_id % 2 == 0;
}

static void
each_open(void *context,
    void (*visit)(void *visitor, const struct engine_order *order),
    void *visitor)
{
	uint32_t i;

	(void)context;
	for (i = 0; i < ENGINES; i++) {
		if (world.committed[i].is_open)
			visit(visitor, &world.committed[i].order);
	}
}

/* The voters take commands of the leader only, each begin once. */
static enum error_code
commit(struct packet *packet)
{
	struct committed *committed =
	    &world.committed[packet->order.upstream_id];

	if (packet->lead != world.lead)
		return ERROR_NOT_LEADER;
	if (packet->kind == PACKET_FINISH) {
		if (committed->order.fencing_number !=
		    packet->order.fencing_number)
			return ERROR_STALE;
		committed->done += committed->is_open;
		committed->is_open = false;
		return ERROR_NONE;
	}
	if (committed->host == packet->host && committed->is_open &&
	    committed->order.attempt == packet->order.attempt) {
		packet->order.fencing_number = committed->order.fencing_number;
		return ERROR_NONE;
	}
	packet->order.fencing_number = ++world.next_fencing;
	committed->order = packet->order;
	committed->host = packet->host;
	committed->is_open = true;
	return ERROR_NONE;
}

/* An order that acts after a newer one acted is the fault to be seen. */
static enum error_code
execute(const struct engine_order *order)
{
	uint64_t *executed = &world.executed[order->upstream_id];

	if (order->fencing_number < *executed) {
		assert_true(honours_fencing(NULL, order->upstream_id));
		return ERROR_STALE;
	}
	*executed = order->fencing_number;
	return ERROR_NONE;
}

static void
take_answer(const struct packet *packet)
{
	struct host *host = &world.hosts[packet->host];
	struct order_runner *runner = &host->runner;
	uint64_t id = packet->order.upstream_id;
	uint64_t fencing = packet->order.fencing_number;

	if (host->is_frozen || host->lead != packet->lead)
		return;
	if (packet->kind == PACKET_BEGIN)
		order_runner_on_begun(runner, id, fencing, packet->error);
	else if (packet->kind == PACKET_FINISH)
		order_runner_on_finished(runner, id, fencing, packet->error);
	else
		order_runner_on_answer(runner, id, fencing, packet->error);
}

static void
step_packets(void)
{
	struct packet packet;
	uint32_t i;

	for (i = 0; i < world.packet_count; i++) {
		packet = world.packets[i];
		if (packet.due_ms > world.now_ms)
			continue;
		world.packets[i--] = world.packets[--world.packet_count];
		if (world.is_lossy && random_below(&world.random, 5) == 0)
			continue;
		if (packet.is_answer) {
			take_answer(&packet);
			continue;
		}
		packet.error = packet.kind == PACKET_GIVE
				   ? execute(&packet.order)
				   : commit(&packet);
		packet.is_answer = true;
		packet.due_ms = world.now_ms + random_below(&world.random, 100);
		world.packets[world.packet_count++] = packet;
	}
}

/* Another host may lead before the lease of the one before is over. */
static void
change_leader(void)
{
	world.leader = random_below(&world.random, HOSTS);
	world.lead++;
}

static void
renew_lead(void)
{
	struct host *host = &world.hosts[world.leader];

	if (host->is_frozen || random_below(&world.random, 4) != 0)
		return;
	if (host->lead != world.lead) {
		order_runner_step_down(&host->runner);
		host->lead = world.lead;
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
		world.now_ms += STEP_MS;
		for (i = 0; i < HOSTS; i++) {
			host = &world.hosts[i];
			if (!host->is_frozen)
				timer_advance(&host->timers, world.now_ms);
		}
		renew_lead();
		step_packets();
	}
}

static void
submit_random(void)
{
	struct engine_order order = {0};

	order.upstream_id = random_below(&world.random, ENGINES);
	order.kind = 1 + random_below(&world.random, 3);
	order.loads_weights = order.kind == 1;
	snprintf(order.argument, sizeof(order.argument), "model-%u",
	    random_below(&world.random, 100));
	if (order_runner_submit(&world.hosts[world.leader].runner, &order) ==
	    ERROR_NONE)
		world.accepted++;
}

static void
start_world(uint64_t seed)
{
	struct order_runner_settings settings = order_runner_default_settings();
	struct order_runner_ops ops = {commit_begin, commit_finish, give,
	    honours_fencing, each_open, NULL};
	uint32_t i;

	memset(&world, 0, sizeof(world));
	random_init(&world.random, seed);
	world.now_ms = 1000;
	world.lead = 1;
	settings.lease_ms = LEASE_MS;
	settings.order_timeout_ms = ORDER_MS;
	settings.load_interval_ms = INTERVAL_MS;
	settings.loads_burst = BURST;
	settings.attempts_max = 100;
	for (i = 0; i < HOSTS; i++) {
		ops.context = &world.hosts[i];
		timer_init(&world.hosts[i].timers, 16, world.now_ms);
		assert_int_equal(order_runner_init(&world.hosts[i].runner,
				     &settings, &ops, &world.hosts[i].timers),
		    ERROR_NONE);
	}
}

static void
check_rate(void)
{
	uint32_t from, to;
	int64_t span_ms;

	for (from = 0; from < world.load_count; from++) {
		for (to = from; to < world.load_count; to++) {
			span_ms = world.load_ms[to] - world.load_ms[from];
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

	start_world(seed);
	world.is_lossy = seed % 2 == 0;
	for (step = 0; step < STEPS; step++) {
		host = &world.hosts[random_below(&world.random, HOSTS)];
		if (random_below(&world.random, 4) == 0)
			submit_random();
		if (random_below(&world.random, 60) == 0)
			change_leader();
		if (random_below(&world.random, 40) == 0)
			host->is_frozen = !host->is_frozen;
		run_steps(1);
	}
	world.is_lossy = false;
	for (i = 0; i < HOSTS; i++)
		world.hosts[i].is_frozen = false;
	run_steps(SETTLE_MS / STEP_MS);
	check_rate();
	for (i = 0; i < ENGINES; i++) {
		assert_false(world.committed[i].is_open);
		assert_true(world.executed[i] ==
			    world.committed[i].order.fencing_number);
	}
	for (i = 0; i < HOSTS; i++) {
		order_runner_finish(&world.hosts[i].runner);
		timer_finish(&world.hosts[i].timers);
	}
}

static void
test_orders_survive_leaders(void **state)
{
	uint32_t accepted = 0;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SCHEDULES; seed++) {
		run_schedule(seed);
		accepted += world.accepted;
	}
	print_message("%u orders in %u schedules\n", accepted, SCHEDULES);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_orders_survive_leaders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
