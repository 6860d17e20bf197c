#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/random_source.h"
#include "coordination/group_reservation.h"

#define LEADERS	    3
#define UPSTREAMS   5
#define ROOM	    1000 /* KV tokens of an upstream. */
#define GROUPS	    40
#define SCHEDULES   300
#define STEP_MS	    10
#define DEADLINE_MS 600000
#define CALLS_MAX   1024

/* A call to an upstream under way. */
struct call {
	uint32_t leader;
	uint64_t id;
	uint64_t upstream_id;
	uint64_t tokens;
	bool is_reserve;
	int64_t due_ms;
};

/* A wish at an upstream's owner; the oldest is served first. */
struct wish {
	uint64_t tokens;
	int64_t since_ms;
};

struct leader {
	uint32_t id;
	struct kv_lease_table leases;
	struct group_table groups;
	struct wish wishes[UPSTREAMS];
	uint64_t last_taken; /* Upstream of the last take. */
};

struct world {
	struct timer_service timers;
	struct random_source random;
	struct owner_map map;
	struct leader leaders[LEADERS];
	uint64_t free[UPSTREAMS]; /* As its owner counts. */
	uint64_t held[UPSTREAMS]; /* As the upstream counts. */
	GHashTable *memory;	  /* Tokens by reservation id. */
	struct call calls[CALLS_MAX];
	uint32_t call_count;
	uint32_t ready, failed;
	GArray *in_use; /* struct use: groups that are ready. */
	bool has_faults;
};

struct use {
	uint32_t leader;
	struct handle group;
	int64_t until_ms;
};

static struct world world;

static bool
is_first(const struct leader *leader, uint64_t upstream)
{
	const struct wish *mine = &leader->wishes[upstream], *other;
	uint32_t i;

	for (i = 0; i < LEADERS; i++) {
		other = &world.leaders[i].wishes[upstream];
		if (&world.leaders[i] == leader || other->tokens == 0)
			continue;
		if (mine->tokens == 0 || other->since_ms < mine->since_ms)
			return false;
	}
	return true;
}

static enum error_code
take(void *context, uint64_t upstream_id, const struct capacity_amount *amount)
{
	struct leader *leader = context;
	uint64_t at = upstream_id - 1;

	if (amount->kv_tokens > world.free[at] || !is_first(leader, at))
		return ERROR_NO_CAPACITY;
	world.free[at] -= amount->kv_tokens;
	return ERROR_NONE;
}

static void
give(void *context, uint64_t upstream_id, const struct capacity_amount *amount)
{
	(void)context;
	world.free[upstream_id - 1] += amount->kv_tokens;
	assert_true(world.free[upstream_id - 1] <= ROOM);
}

static void
want(void *context, uint64_t upstream_id, const struct capacity_amount *amount)
{
	struct leader *leader = context;
	struct wish *wish = &leader->wishes[upstream_id - 1];

	if (wish->tokens == 0)
		wish->since_ms = timer_now(&world.timers);
	wish->tokens = amount->kv_tokens;
}

static void
put_call(struct leader *leader, uint64_t id, uint64_t upstream_id,
    uint64_t tokens, bool is_reserve)
{
	struct call call = {leader->id, id, upstream_id, tokens, is_reserve, 0};

	if (world.call_count == CALLS_MAX)
		return;
	call.due_ms =
	    timer_now(&world.timers) + 1 + random_below(&world.random, 100);
	world.calls[world.call_count++] = call;
}

static void
reserve(void *context, uint64_t upstream_id, uint64_t incarnation,
    uint64_t reservation_id, uint64_t tokens)
{
	(void)incarnation;
	put_call(context, reservation_id, upstream_id, tokens, true);
}

static void
release(void *context, uint64_t upstream_id, uint64_t incarnation,
    uint64_t reservation_id)
{
	(void)incarnation;
	put_call(context, reservation_id, upstream_id, 0, false);
}

static void
note_lease_ended(void *context, uint64_t reservation_id)
{
	struct leader *leader = context;

	group_on_lease_ended(&leader->groups, reservation_id);
}

static void
note_ended(void *context, struct handle group, enum error_code error)
{
	struct leader *leader = context;
	struct use use = {leader->id, group, 0};

	if (error != ERROR_NONE) {
		world.failed++;
		return;
	}
	world.ready++;
	use.until_ms =
	    timer_now(&world.timers) + 20 + random_below(&world.random, 300);
	g_array_append_val(world.in_use, use);
}

static void
take_call(const struct call *call)
{
	struct leader *leader = &world.leaders[call->leader];
	bool was_known, is_answered, is_refused;
	uint64_t tokens;

	is_answered = !world.has_faults || random_below(&world.random, 5) != 0;
	tokens = GPOINTER_TO_UINT(g_hash_table_lookup(world.memory, &call->id));
	was_known = tokens != 0;
	if (!call->is_reserve) {
		g_hash_table_remove(world.memory, &call->id);
		world.held[call->upstream_id - 1] -= tokens;
		if (is_answered)
			kv_lease_record_released(
			    &leader->leases, call->id, was_known);
		return;
	}
	is_refused = world.has_faults && random_below(&world.random, 5) == 0;
	if (!is_refused) {
		g_hash_table_insert(world.memory,
		    g_memdup2(&call->id, sizeof(call->id)),
		    GUINT_TO_POINTER(call->tokens));
		world.held[call->upstream_id - 1] += call->tokens;
		assert_true(world.held[call->upstream_id - 1] <= ROOM);
	}
	group_on_reserved(&leader->groups, call->id,
	    !is_answered ? ERROR_TIMEOUT
	    : is_refused ? ERROR_UPSTREAM_REFUSED
			 : ERROR_NONE);
}

static void
step_world(void)
{
	struct call call;
	struct use *use;
	uint32_t i;

	timer_advance(&world.timers, timer_now(&world.timers) + STEP_MS);
	for (i = 0; i < world.call_count; i++) {
		call = world.calls[i];
		if (call.due_ms > timer_now(&world.timers))
			continue;
		world.calls[i--] = world.calls[--world.call_count];
		take_call(&call);
	}
	for (i = 0; i < world.in_use->len; i++) {
		use = &g_array_index(world.in_use, struct use, i);
		if (use->until_ms > timer_now(&world.timers))
			continue;
		group_release(&world.leaders[use->leader].groups, use->group);
		g_array_remove_index(world.in_use, i--);
	}
}

static void
start_world(uint64_t seed)
{
	struct kv_lease_settings leases = kv_lease_default_settings(1, 1);
	struct group_settings groups = group_default_settings();
	struct peer_port none = {NULL, NULL};
	struct leader *leader;
	uint32_t i;

	memset(&world, 0, sizeof(world));
	random_init(&world.random, seed);
	timer_init(&world.timers, 64, 1);
	world.memory =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	world.in_use = g_array_new(FALSE, FALSE, sizeof(struct use));
	for (i = 0; i < UPSTREAMS; i++)
		world.free[i] = ROOM;
	for (i = 0; i < LEADERS; i++) {
		leader = &world.leaders[i];
		leader->id = i;
		leases.host_id = i + 1;
		leases.reserve_call_max_ms = 500;
		assert_int_equal(kv_lease_init(&leader->leases, &leases,
				     &(struct kv_lease_ops){
					 release, note_lease_ended, leader},
				     &world.timers, none, &world.map),
		    ERROR_NONE);
		assert_int_equal(group_table_init(&leader->groups, &groups,
				     &(struct group_ops){take, give, want,
					 reserve, note_ended, leader},
				     &world.timers, &leader->leases),
		    ERROR_NONE);
	}
}

static void
finish_world(void)
{
	uint32_t i;

	for (i = 0; i < LEADERS; i++) {
		group_table_finish(&world.leaders[i].groups);
		kv_lease_finish(&world.leaders[i].leases);
	}
	g_hash_table_destroy(world.memory);
	g_array_free(world.in_use, TRUE);
	timer_finish(&world.timers);
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
		    500 + random_below(&world.random, 500);
	}
	assert_int_equal(group_plan_make(&plan, candidates, UPSTREAMS,
			     300 + random_below(&world.random, 1500), 50),
	    ERROR_NONE);
	assert_int_equal(group_start(&world.leaders[leader].groups, &plan,
			     timer_now(&world.timers) + deadline_ms, &group),
	    ERROR_NONE);
	return group;
}

static void
run_schedule(uint64_t seed, bool has_faults)
{
	struct handle group;
	uint32_t i, step, leader;

	start_world(seed);
	world.has_faults = has_faults;
	for (i = 0; i < GROUPS; i++) {
		leader = random_below(&world.random, LEADERS);
		group = start_random_group(
		    leader, has_faults && random_below(&world.random, 2) == 0
				? 300
				: DEADLINE_MS);
		for (step = random_below(&world.random, 20); step > 0; step--)
			step_world();
		if (has_faults && random_below(&world.random, 8) == 0)
			group_release(&world.leaders[leader].groups, group);
	}
	for (step = 0; step < 20000 && (world.ready + world.failed < GROUPS ||
					   world.in_use->len > 0);
	     step++)
		step_world();
	/* No deadlock and no starving: each has ended, once. */
	assert_int_equal(world.ready + world.failed, GROUPS);
	if (!has_faults)
		assert_int_equal(world.ready, GROUPS);
	/* Long enough for lost releases to be repeated. */
	world.has_faults = false;
	for (step = 0; step < 1000; step++)
		step_world();
	for (i = 0; i < UPSTREAMS; i++) {
		assert_true(world.free[i] == ROOM);
		assert_true(world.held[i] == 0);
	}
	for (i = 0; i < LEADERS; i++) {
		assert_int_equal(world.leaders[i].groups.groups.item_count, 0);
		assert_int_equal(kv_lease_count(&world.leaders[i].leases), 0);
	}
	finish_world();
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
test_nothing_stays_behind(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SCHEDULES; seed++)
		run_schedule(seed, true);
}

/* Small ones that come later do not pass a big one that waits. */
static void
test_big_group_does_not_starve(void **state)
{
	struct group_plan small = {1, {{1, 1, 0, 150, 150}}};
	struct group_plan big = {1, {{1, 1, 0, 900, 900}}};
	struct group_table *groups;
	struct handle group, ignored;
	uint32_t i;

	(void)state;
	start_world(3);
	groups = &world.leaders[0].groups;
	for (i = 0; i < 200; i++) {
		if (i == 20)
			assert_int_equal(
			    group_start(groups, &big, DEADLINE_MS, &group),
			    ERROR_NONE);
		assert_int_equal(
		    group_start(groups, &small, DEADLINE_MS, &ignored),
		    ERROR_NONE);
		step_world();
		step_world();
	}
	assert_true(group_reservation_id(groups, group, 0) != 0 ||
		    handle_table_get(&groups->groups, group) == NULL);
	finish_world();
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
	    cmocka_unit_test(test_nothing_stays_behind),
	    cmocka_unit_test(test_big_group_does_not_starve),
	    cmocka_unit_test(test_plan_covers_the_prompt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
