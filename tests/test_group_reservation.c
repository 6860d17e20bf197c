/*
 * Tests of memory reservations on several upstreams at once for one prompt:
 * there is no deadlock, no starvation and nothing left reserved.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/random_source.h"
#include "coordination/group_reservation.h"

#define LEADERS		3
#define UPSTREAMS	5
#define CAPACITY_TOKENS 1000 /* KV tokens that an upstream can hold. */
#define GROUPS		40
#define SCHEDULES	300
#define STEP_MS		10
#define DEADLINE_MS	600000
#define CALLS_MAX	1024

/* A call on its way to an upstream. */
struct call {
	uint32_t leader;
	uint64_t id;
	uint64_t upstream_id;
	uint64_t tokens;
	bool is_reserve;
	int64_t due_ms;
};

/* A demand that waits at an upstream's owner. The oldest is served first. */
struct demand {
	uint64_t tokens;
	int64_t since_ms;
};

/* A host that reserves memory for its prompts. */
struct leader {
	uint32_t id;
	struct kv_lease_table leases;
	struct group_table groups;
	struct demand demands[UPSTREAMS];
	uint64_t last_taken; /* Upstream whose capacity it acquired last. */
};

struct sim {
	struct timer_service timers;
	struct random_source random;
	struct owner_map map;
	struct leader leaders[LEADERS];
	uint64_t free_tokens[UPSTREAMS]; /* Tokens that the owner can grant. */
	uint64_t held_tokens[UPSTREAMS]; /* Tokens reserved at the upstream. */
	GHashTable *reservations; /* Tokens reserved, by reservation id. */
	struct call calls[CALLS_MAX];
	uint32_t call_count;
	uint32_t ready, failed;
	GArray *active_groups; /* Elements are struct active_group. */
	bool has_faults;
};

/* A group whose memory is reserved; it is released at until_ms. */
struct active_group {
	uint32_t leader;
	struct handle group;
	int64_t until_ms;
};

static struct sim sim;

/* Returns true if no other leader's demand at the upstream is older. A leader
 * without a demand comes after all that have one. */
static bool
has_oldest_demand(const struct leader *leader, uint64_t upstream)
{
	const struct demand *own_demand = &leader->demands[upstream],
			    *other_demand;
	uint32_t i;

	for (i = 0; i < LEADERS; i++) {
		other_demand = &sim.leaders[i].demands[upstream];
		if (&sim.leaders[i] == leader || other_demand->tokens == 0)
			continue;
		if (own_demand->tokens == 0 ||
		    other_demand->since_ms < own_demand->since_ms)
			return false;
	}
	return true;
}

static enum error_code
acquire_capacity(
    void *context, uint64_t upstream_id, const struct capacity_amount *amount)
{
	struct leader *leader = context;
	uint64_t at = upstream_id - 1;

	if (amount->kv_tokens > sim.free_tokens[at] ||
	    !has_oldest_demand(leader, at))
		return ERROR_NO_CAPACITY;
	sim.free_tokens[at] -= amount->kv_tokens;
	return ERROR_NONE;
}

static void
release_capacity(
    void *context, uint64_t upstream_id, const struct capacity_amount *amount)
{
	(void)context;
	sim.free_tokens[upstream_id - 1] += amount->kv_tokens;
	assert_true(sim.free_tokens[upstream_id - 1] <= CAPACITY_TOKENS);
}

static void
record_demand(
    void *context, uint64_t upstream_id, const struct capacity_amount *amount)
{
	struct leader *leader = context;
	struct demand *demand = &leader->demands[upstream_id - 1];

	if (demand->tokens == 0)
		demand->since_ms = timer_now(&sim.timers);
	demand->tokens = amount->kv_tokens;
}

static void
send_call(struct leader *leader, uint64_t id, uint64_t upstream_id,
    uint64_t tokens, bool is_reserve)
{
	struct call call = {leader->id, id, upstream_id, tokens, is_reserve, 0};

	if (sim.call_count == CALLS_MAX)
		return;
	call.due_ms =
	    timer_now(&sim.timers) + 1 + random_below(&sim.random, 100);
	sim.calls[sim.call_count++] = call;
}

static void
send_reserve(void *context, uint64_t upstream_id, uint64_t incarnation,
    uint64_t reservation_id, uint64_t tokens)
{
	(void)incarnation;
	send_call(context, reservation_id, upstream_id, tokens, true);
}

static void
send_release(void *context, uint64_t upstream_id, uint64_t incarnation,
    uint64_t reservation_id)
{
	(void)incarnation;
	send_call(context, reservation_id, upstream_id, 0, false);
}

static void
on_lease_ended(void *context, uint64_t reservation_id)
{
	struct leader *leader = context;

	group_on_lease_ended(&leader->groups, reservation_id);
}

static void
on_group_ended(void *context, struct handle group, enum error_code error)
{
	struct leader *leader = context;
	struct active_group active_group = {leader->id, group, 0};

	if (error != ERROR_NONE) {
		sim.failed++;
		return;
	}
	sim.ready++;
	active_group.until_ms =
	    timer_now(&sim.timers) + 20 + random_below(&sim.random, 300);
	g_array_append_val(sim.active_groups, active_group);
}

/* Executes a call at its upstream. With faults, the upstream sometimes refuses
 * the call or its answer is lost. */
static void
deliver_call(const struct call *call)
{
	struct leader *leader = &sim.leaders[call->leader];
	bool was_known, is_answered, is_refused;
	uint64_t tokens;

	is_answered = !sim.has_faults || random_below(&sim.random, 5) != 0;
	tokens =
	    GPOINTER_TO_UINT(g_hash_table_lookup(sim.reservations, &call->id));
	was_known = tokens != 0;
	if (!call->is_reserve) {
		g_hash_table_remove(sim.reservations, &call->id);
		sim.held_tokens[call->upstream_id - 1] -= tokens;
		if (is_answered)
			kv_lease_record_released(
			    &leader->leases, call->id, was_known);
		return;
	}
	is_refused = sim.has_faults && random_below(&sim.random, 5) == 0;
	if (!is_refused) {
		g_hash_table_insert(sim.reservations,
		    g_memdup2(&call->id, sizeof(call->id)),
		    GUINT_TO_POINTER(call->tokens));
		sim.held_tokens[call->upstream_id - 1] += call->tokens;
		assert_true(
		    sim.held_tokens[call->upstream_id - 1] <= CAPACITY_TOKENS);
	}
	group_on_reserved(&leader->groups, call->id,
	    !is_answered ? ERROR_TIMEOUT
	    : is_refused ? ERROR_UPSTREAM_REFUSED
			 : ERROR_NONE);
}

static void
sim_step(void)
{
	struct call call;
	struct active_group *active_group;
	uint32_t i;

	timer_advance(&sim.timers, timer_now(&sim.timers) + STEP_MS);
	for (i = 0; i < sim.call_count; i++) {
		call = sim.calls[i];
		if (call.due_ms > timer_now(&sim.timers))
			continue;
		sim.calls[i--] = sim.calls[--sim.call_count];
		deliver_call(&call);
	}
	for (i = 0; i < sim.active_groups->len; i++) {
		active_group =
		    &g_array_index(sim.active_groups, struct active_group, i);
		if (active_group->until_ms > timer_now(&sim.timers))
			continue;
		group_release(&sim.leaders[active_group->leader].groups,
		    active_group->group);
		g_array_remove_index(sim.active_groups, i--);
	}
}

static void
sim_start(uint64_t seed)
{
	struct kv_lease_settings leases = kv_lease_default_settings(1, 1);
	struct group_settings groups = group_default_settings();
	struct peer_port none = {NULL, NULL};
	struct leader *leader;
	uint32_t i;

	memset(&sim, 0, sizeof(sim));
	random_init(&sim.random, seed);
	timer_init(&sim.timers, 64, 1);
	sim.reservations =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	sim.active_groups =
	    g_array_new(FALSE, FALSE, sizeof(struct active_group));
	for (i = 0; i < UPSTREAMS; i++)
		sim.free_tokens[i] = CAPACITY_TOKENS;
	for (i = 0; i < LEADERS; i++) {
		leader = &sim.leaders[i];
		leader->id = i;
		leases.host_id = i + 1;
		leases.reserve_call_max_ms = 500;
		assert_int_equal(kv_lease_init(&leader->leases, &leases,
				     &(struct kv_lease_ops){
					 send_release, on_lease_ended, leader},
				     &sim.timers, none, &sim.map),
		    ERROR_NONE);
		assert_int_equal(group_table_init(&leader->groups, &groups,
				     &(struct group_ops){acquire_capacity,
					 release_capacity, record_demand,
					 send_reserve, on_group_ended, leader},
				     &sim.timers, &leader->leases),
		    ERROR_NONE);
	}
}

static void
sim_finish(void)
{
	uint32_t i;

	for (i = 0; i < LEADERS; i++) {
		group_table_finish(&sim.leaders[i].groups);
		kv_lease_finish(&sim.leaders[i].leases);
	}
	g_hash_table_destroy(sim.reservations);
	g_array_free(sim.active_groups, TRUE);
	timer_finish(&sim.timers);
}

static struct handle
start_random_group(uint32_t leader, int64_t deadline_ms)
{
	struct group_candidate candidates[UPSTREAMS];
	struct handle group = {0};
	struct group_plan plan;
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++) {
		candidates[i].upstream_id = i + 1;
		candidates[i].incarnation = 1;
		candidates[i].free_kv_tokens =
		    500 + random_below(&sim.random, 500);
	}
	assert_int_equal(group_plan_make(&plan, candidates, UPSTREAMS,
			     300 + random_below(&sim.random, 1500), 50),
	    ERROR_NONE);
	assert_int_equal(group_start(&sim.leaders[leader].groups, &plan,
			     timer_now(&sim.timers) + deadline_ms, &group),
	    ERROR_NONE);
	return group;
}

static void
run_schedule(uint64_t seed, bool has_faults)
{
	struct handle group;
	uint32_t i, step, leader;

	sim_start(seed);
	sim.has_faults = has_faults;
	for (i = 0; i < GROUPS; i++) {
		leader = random_below(&sim.random, LEADERS);
		group = start_random_group(
		    leader, has_faults && random_below(&sim.random, 2) == 0
				? 300
				: DEADLINE_MS);
		for (step = random_below(&sim.random, 20); step > 0; step--)
			sim_step();
		if (has_faults && random_below(&sim.random, 8) == 0)
			group_release(&sim.leaders[leader].groups, group);
	}
	for (step = 0; step < 20000 && (sim.ready + sim.failed < GROUPS ||
					   sim.active_groups->len > 0);
	     step++)
		sim_step();
	/* Each group has ended once: there was no deadlock or starvation. */
	assert_int_equal(sim.ready + sim.failed, GROUPS);
	if (!has_faults)
		assert_int_equal(sim.ready, GROUPS);
	/* Runs long enough for lost releases to be sent again. */
	sim.has_faults = false;
	for (step = 0; step < 1000; step++)
		sim_step();
	for (i = 0; i < UPSTREAMS; i++) {
		assert_true(sim.free_tokens[i] == CAPACITY_TOKENS);
		assert_true(sim.held_tokens[i] == 0);
	}
	for (i = 0; i < LEADERS; i++) {
		assert_int_equal(sim.leaders[i].groups.groups.item_count, 0);
		assert_int_equal(kv_lease_count(&sim.leaders[i].leases), 0);
	}
	sim_finish();
}

static void
test_all_groups_are_served(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SCHEDULES; seed++)
		run_schedule(seed, false);
}

static void
test_nothing_stays_reserved_after_faults(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SCHEDULES; seed++)
		run_schedule(seed, true);
}

/* Small groups that start later do not overtake a large group that waits. */
static void
test_large_group_does_not_starve(void **state)
{
	struct group_plan small = {1, {{1, 1, 0, 150, 150}}};
	struct group_plan large = {1, {{1, 1, 0, 900, 900}}};
	struct group_table *groups;
	struct handle group, ignored;
	uint32_t i;

	(void)state;
	sim_start(3);
	groups = &sim.leaders[0].groups;
	for (i = 0; i < 200; i++) {
		if (i == 20)
			assert_int_equal(
			    group_start(groups, &large, DEADLINE_MS, &group),
			    ERROR_NONE);
		assert_int_equal(
		    group_start(groups, &small, DEADLINE_MS, &ignored),
		    ERROR_NONE);
		sim_step();
		sim_step();
	}
	assert_true(group_reservation_id(groups, group, 0) != 0 ||
		    handle_table_get(&groups->groups, group) == NULL);
	sim_finish();
}

static void
test_plan_covers_the_prompt(void **state)
{
	struct group_candidate candidates[GROUP_SEGMENTS_MAX + 2];
	struct random_source random;
	struct group_plan plan;
	uint64_t prompt, next, room;
	uint32_t count, run, i;

	(void)state;
	random_init(&random, 5);
	for (run = 0; run < 20000; run++) {
		count = 1 + random_below(&random, GROUP_SEGMENTS_MAX + 2);
		room = 0;
		for (i = 0; i < count; i++) {
			candidates[i].upstream_id = i + 1;
			candidates[i].incarnation = 1;
			candidates[i].free_kv_tokens =
			    random_below(&random, 500000);
			room += candidates[i].free_kv_tokens;
		}
		prompt = 1 + random_below(&random, 1000000);
		if (group_plan_make(&plan, candidates, count, prompt, 1000) !=
		    ERROR_NONE)
			continue;
		assert_true(room >= prompt + 1000);
		next = 0;
		for (i = 0; i < plan.count; i++) {
			assert_true(plan.segments[i].first_token == next);
			next += plan.segments[i].prompt_tokens;
			assert_true(plan.segments[i].kv_tokens <=
				    candidates[plan.segments[i].upstream_id - 1]
					.free_kv_tokens);
		}
		assert_true(next == prompt);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_all_groups_are_served),
	    cmocka_unit_test(test_nothing_stays_reserved_after_faults),
	    cmocka_unit_test(test_large_group_does_not_starve),
	    cmocka_unit_test(test_plan_covers_the_prompt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
