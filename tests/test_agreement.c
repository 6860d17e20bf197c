/*
 * Seeded random schedules of faults over voters, a spare and a learner. What
 * is checked can be seen from outside: answers, and what observers read.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "voter_group.h"

#define SCHEDULES     500
#define STEPS	      300
#define STEP_MAX_MS   60
#define ORDERS_MAX    STEPS
#define CLAIM_KEYS    8
#define SETTLE_MS     20000 /* After the last fault all agree in this time. */
#define DAY_MS	      (24 * 3600 * 1000)
#define HOST_ANY_DISK (GROUP_HOSTS - 1)

/* An order with its first answer. */
struct order {
	struct schedule *schedule;
	char operation_id[OPERATION_ID_SIZE_MAX];
	uint64_t expected;
	bool is_answered;
	struct command_result answer;
};

/* A try to claim a key; the claimant runs the request if it gets the claim. */
struct claim_try {
	struct schedule *schedule;
	unsigned int key;
	uint64_t request_id;
};

/* One run. */
struct schedule {
	struct voter_group group;
	struct random_source random;
	struct order orders[ORDERS_MAX];
	unsigned int order_count;
	unsigned int runs[CLAIM_KEYS];
	struct claim_try tries[ORDERS_MAX];
	unsigned int try_count;
	uint32_t lost_id;   /* Host whose disk was lost and not replaced. */
	uint32_t wanted_id; /* Host that the operator wants as a voter. */
	unsigned int answered;
	unsigned int changes;
	unsigned int losses;
};

static struct group_host *
pick_host(struct schedule *schedule, uint32_t count)
{
	return &schedule->group.hosts[random_below(&schedule->random, count)];
}

/* Each resend gets the first answer; nothing accepted is taken back. */
static void
note_order(void *context, const struct command_result *result)
{
	struct order *order = context;

	if (result->error != ERROR_NONE &&
	    result->error != ERROR_REVISION_CONFLICT)
		return;
	if (!order->is_answered) {
		order->is_answered = true;
		order->answer = *result;
		order->schedule->answered++;
		return;
	}
	assert_memory_equal(&order->answer, result, sizeof(*result));
}

static void
send_order(struct schedule *schedule, struct group_host *host,
    struct order *order, int64_t timeout_ms)
{
	struct command command = {.type = COMMAND_CONFIG};
	struct config_change change = {0};

	if (!host->is_up)
		return;
	snprintf(
	    change.key, sizeof(change.key), "setting/%s", order->operation_id);
	snprintf(change.value, sizeof(change.value), "%s", order->operation_id);
	snprintf(command.operation_id, sizeof(command.operation_id), "%s",
	    order->operation_id);
	command.body.config.expected_revision = order->expected;
	command.body.config.change_count = 1;
	command.body.config.changes = &change;
	assert_int_equal(
	    command_client_submit(&host->client, &command, timeout_ms,
		(struct command_callback){note_order, order}),
	    ERROR_NONE);
	(void)schedule;
}

/* A new order, sometimes two operators with the same expected revision. */
static void
give_order(struct schedule *schedule)
{
	struct order *order;
	struct group_host *host;
	unsigned int racers;

	racers = 1 + random_below(&schedule->random, 2);
	while (racers-- > 0 && schedule->order_count < ORDERS_MAX) {
		host = pick_host(schedule, GROUP_HOSTS);
		order = &schedule->orders[schedule->order_count++];
		order->schedule = schedule;
		snprintf(order->operation_id, sizeof(order->operation_id),
		    "order-%u", schedule->order_count);
		order->expected = REVISION_ANY;
		if (racers > 0 && host->is_up)
			order->expected = host->state.revision;
		else if (schedule->order_count > 1)
			order->expected = order[-1].expected;
		send_order(schedule, host, order,
		    500 + random_below(&schedule->random, 4000));
	}
}

static void
note_claim(void *context, const struct command_result *result)
{
	struct claim_try *attempt = context;
	struct schedule *schedule = attempt->schedule;

	if (result->error != ERROR_NONE)
		return;
	schedule->runs[attempt->key]++;
	/* One run a key, whatever is lost, resent or cut off. */
	assert_int_equal(schedule->runs[attempt->key], 1);
}

static void
ignore_result(void *context, const struct command_result *result)
{
	(void)context;
	(void)result;
}

static void
try_claim(struct schedule *schedule, bool finishes)
{
	struct command command = {.type = COMMAND_CLAIM_BEGIN};
	struct command_claim *claim = &command.body.claim;
	struct group_host *host = pick_host(schedule, GROUP_HOSTS);
	struct command_callback callback = {ignore_result, NULL};
	struct claim_try *attempt;

	if (!host->is_up || schedule->try_count == ORDERS_MAX)
		return;
	attempt = &schedule->tries[schedule->try_count];
	if (finishes && schedule->try_count > 0) {
		attempt = &schedule->tries[random_below(
		    &schedule->random, schedule->try_count)];
		command.type = COMMAND_CLAIM_FINISH;
		claim->outcome = REQUEST_OUTCOME_DONE;
	} else {
		attempt->schedule = schedule;
		attempt->key = random_below(&schedule->random, CLAIM_KEYS);
		attempt->request_id = ++schedule->try_count;
		callback = (struct command_callback){note_claim, attempt};
	}
	snprintf(claim->client_account, sizeof(claim->client_account), "%s",
	    "spa-desk");
	snprintf(claim->idempotency_key, sizeof(claim->idempotency_key),
	    "key-%u", attempt->key);
	claim->host_id = 1;
	claim->request_id = attempt->request_id;
	assert_int_equal(
	    command_client_submit(&host->client, &command,
		500 + random_below(&schedule->random, 4000), callback),
	    ERROR_NONE);
}

/* Kill, crash with torn writes, lost disk or flipped bit. */
static void
break_host(struct schedule *schedule)
{
	struct voter_group *group = &schedule->group;
	struct group_host *host = pick_host(schedule, GROUP_HOSTS);
	struct group_host *leader = voter_group_leader(group);
	bool may_lose;

	/* A disk that failed is mended before its host starts again. */
	host->disk.fails_sync = false;
	host->disk.capacity = 0;
	if (!host->is_up) {
		if (voter_group_start(group, host->id))
			schedule->lost_id = host->id;
		return;
	}
	/* A quorum of disks is kept: one is lost only when the last one that
	 * was lost has been replaced. */
	may_lose =
	    schedule->lost_id == 0 && schedule->wanted_id == 0 &&
	    leader != NULL && host->id != GROUP_LEARNER &&
	    leader->consensus.voters.count >= GROUP_VOTERS &&
	    leader->consensus.change.phase == CONSENSUS_CHANGE_NONE &&
	    leader->consensus.commit_index >= leader->consensus.voters_index &&
	    voter_set_contains(&leader->consensus.voters,
		voter_group_identity(group, host->id));
	voter_group_stop(group, host->id);
	if (host->id == GROUP_LEARNER)
		return;
	switch (random_below(&schedule->random, 5)) {
	case 0:
		if (!may_lose)
			break;
		fake_disk_erase(&host->disk);
		schedule->lost_id = host->id;
		schedule->losses++;
		break;
	case 1:
		if (!may_lose)
			break;
		fake_disk_flip_bit(&host->disk, "snapshot",
		    random_below(&schedule->random, 60));
		schedule->lost_id = host->id;
		break;
	case 2:
	case 3:
		fake_disk_crash(&host->disk);
		break;
	default:
		break;
	}
}

static void
note_change(void *context, enum error_code error, uint64_t index,
    const void *result, size_t result_size)
{
	struct schedule *schedule = context;

	(void)index;
	(void)result;
	(void)result_size;
	if (error == ERROR_NONE)
		schedule->changes++;
}

/* The operator replaces a lost voter until it is one, and now and then adds
 * the spare host or removes a voter. */
static void
change_voters(struct schedule *schedule)
{
	struct voter_group *group = &schedule->group;
	struct group_host *leader = voter_group_leader(group), *host;
	const struct consensus_callback callback = {note_change, schedule};
	uint32_t *open;
	bool is_in;

	if (leader == NULL)
		return;
	open =
	    schedule->lost_id != 0 ? &schedule->lost_id : &schedule->wanted_id;
	if (*open == 0) {
		host = pick_host(schedule, HOST_ANY_DISK);
		is_in =
		    voter_set_find(&leader->consensus.voters, host->id) != NULL;
		if (!is_in)
			schedule->wanted_id = host->id;
		else if (leader->consensus.voters.count > GROUP_VOTERS &&
			 random_below(&schedule->random, 4) == 0)
			consensus_remove_voter(
			    &leader->consensus, host->id, callback);
		return;
	}
	host = &group->hosts[*open - 1];
	if (!host->is_up) {
		host->disk.fails_sync = false;
		host->disk.capacity = 0;
		voter_group_start(group, host->id);
		return;
	}
	if (voter_set_contains(&leader->consensus.voters,
		voter_group_identity(group, host->id)) &&
	    leader->consensus.commit_index >= leader->consensus.voters_index)
		*open = 0;
	else
		consensus_add_voter(&leader->consensus,
		    voter_group_identity(group, host->id), callback);
}

static void
disturb_links(struct schedule *schedule)
{
	struct fake_net *net = &schedule->group.net;
	struct fake_link link = {.delay_min_ms = 1};
	uint32_t id = 1 + random_below(&schedule->random, GROUP_HOSTS);
	uint32_t other = 1 + random_below(&schedule->random, GROUP_HOSTS);

	switch (random_below(&schedule->random, 8)) {
	case 0:
		fake_net_cut_host(net, id, true, false);
		break;
	case 1:
		fake_net_cut_host(net, id, false, true);
		break;
	case 2:
		fake_net_cut_host(net, id, true, true);
		break;
	case 3:
		fake_net_cut_pair(net, id, other, true);
		break;
	case 4:
		link.delay_max_ms = 1 + random_below(&schedule->random, 60);
		link.loss = random_unit(&schedule->random) * 0.3;
		link.duplicate = random_unit(&schedule->random) * 0.3;
		fake_net_set_links(net, &link);
		break;
	default:
		fake_net_heal(net);
		break;
	}
}

static void
disturb_host(struct schedule *schedule)
{
	struct group_host *host = pick_host(schedule, GROUP_HOSTS);
	struct group_host *leader;

	switch (random_below(&schedule->random, 7)) {
	case 0:
		fake_net_freeze(&schedule->group.net, host->id);
		break;
	case 1:
		/* One clock is wrong, by days; the others are right. */
		host = &schedule->group.hosts[0];
		host->wall_offset_ms =
		    (int64_t)random_below(&schedule->random, 4 * DAY_MS) -
		    2 * (int64_t)DAY_MS;
		break;
	case 2:
		leader = voter_group_leader(&schedule->group);
		if (leader != NULL &&
		    !fake_net_host(&schedule->group.net, leader->id)->is_frozen)
			consensus_transfer(&leader->consensus);
		break;
	case 3:
		host->disk.capacity = 1;
		break;
	case 4:
		host->disk.fails_sync = host->is_up;
		break;
	default:
		host->disk.capacity = 0;
		fake_net_thaw(&schedule->group.net, host->id);
		break;
	}
}

static void
step_schedule(struct schedule *schedule)
{
	uint32_t choice;

	fake_net_run(&schedule->group.net,
	    1 + random_below(&schedule->random, STEP_MAX_MS));
	voter_group_check_leases(&schedule->group);
	choice = random_below(&schedule->random, 100);
	if (choice < 25)
		give_order(schedule);
	else if (choice < 40)
		try_claim(schedule, false);
	else if (choice < 45)
		try_claim(schedule, true);
	else if (choice < 55 && schedule->order_count > 0)
		send_order(schedule, pick_host(schedule, GROUP_HOSTS),
		    &schedule->orders[random_below(
			&schedule->random, schedule->order_count)],
		    2000);
	else if (choice < 59)
		break_host(schedule);
	else if (choice < 62)
		disturb_links(schedule);
	else if (choice < 65)
		disturb_host(schedule);
	else if (choice < 75)
		change_voters(schedule);
}

/* Ends all faults; everybody must agree again in a stated time. */
static void
settle(struct schedule *schedule)
{
	const struct fake_link link = {.delay_min_ms = 1, .delay_max_ms = 3};
	struct voter_group *group = &schedule->group;
	int64_t end_ms;
	uint32_t id;

	fake_net_set_links(&group->net, &link);
	for (id = 1; id <= GROUP_HOSTS; id++) {
		fake_net_thaw(&group->net, id);
		group->hosts[id - 1].disk.capacity = 0;
		group->hosts[id - 1].disk.fails_sync = false;
		/* After a failed sync only a restart helps. */
		if (group->hosts[id - 1].is_up && id != GROUP_LEARNER &&
		    group->hosts[id - 1].consensus.failure == ERROR_IO)
			voter_group_stop(group, id);
		if (!group->hosts[id - 1].is_up && voter_group_start(group, id))
			schedule->lost_id = id;
	}
	end_ms = fake_net_now(&group->net) + SETTLE_MS;
	while (schedule->lost_id != 0 || schedule->wanted_id != 0 ||
	       !voter_group_agrees(group)) {
		assert_true(fake_net_now(&group->net) < end_ms);
		fake_net_run(&group->net, 100);
		change_voters(schedule);
	}
}

/* Every accepted order is there, under its revision; resends agree. */
static void
check_orders(struct schedule *schedule)
{
	struct group_host *leader = voter_group_leader(&schedule->group);
	struct config_entry entry;
	struct order *order;
	char key[CONFIG_KEY_SIZE_MAX];
	unsigned int i;

	for (i = 0; i < schedule->order_count; i++)
		send_order(schedule, &schedule->group.hosts[GROUP_HOSTS - 1],
		    &schedule->orders[i], 5000);
	fake_net_run(&schedule->group.net, 5000);
	for (i = 0; i < schedule->order_count; i++) {
		order = &schedule->orders[i];
		assert_true(order->is_answered);
		if (order->answer.error != ERROR_NONE)
			continue;
		snprintf(key, sizeof(key), "setting/%s", order->operation_id);
		assert_int_equal(
		    replicated_state_get(&leader->state, key, &entry),
		    ERROR_NONE);
		assert_int_equal(entry.revision, order->answer.revision);
	}
}

static void
run_schedule(uint64_t seed, unsigned int *answered, unsigned int *changes,
    unsigned int *losses)
{
	const struct fake_link link = {
	    .delay_min_ms = 1, .delay_max_ms = 10, .loss = 0.01};
	struct schedule *schedule;
	unsigned int step;

	schedule = calloc(1, sizeof(*schedule));
	assert_non_null(schedule);
	random_init(&schedule->random, seed);
	voter_group_init(&schedule->group, seed, &link);
	assert_true(voter_group_wait_leader(&schedule->group, 10000));
	for (step = 0; step < STEPS; step++)
		step_schedule(schedule);
	*answered += schedule->answered;
	settle(schedule);
	check_orders(schedule);
	*changes += schedule->changes;
	*losses += schedule->losses;
	voter_group_finish(&schedule->group);
	free(schedule);
}

static void
test_promises_hold_under_random_faults(void **state)
{
	unsigned int answered, changes, losses;
	const char *soak, *first;
	uint64_t seed, start;
	uint64_t count;

	(void)state;
	soak = getenv("CHICORY_SOAK_SCHEDULES");
	first = getenv("CHICORY_FIRST_SEED");
	count = soak != NULL ? strtoull(soak, NULL, 10) : SCHEDULES;
	start = first != NULL ? strtoull(first, NULL, 10) : 1;
	answered = 0;
	changes = 0;
	losses = 0;
	for (seed = start; seed < start + count; seed++) {
		/* The last line of a failed run names the seed to replay. */
		if (soak != NULL || first != NULL)
			fprintf(
			    stderr, "seed %llu\n", (unsigned long long)seed);
		run_schedule(seed, &answered, &changes, &losses);
	}
	printf("%llu schedules of %d steps: %u orders answered during faults, "
	       "%u voter changes, %u lost disks\n",
	    (unsigned long long)count, STEPS, answered, changes, losses);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_promises_hold_under_random_faults),
	};

	voter_group_discard_logs();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
