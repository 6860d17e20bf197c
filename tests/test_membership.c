#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "coordination/membership.h"
#include "fake_net.h"

#define HOSTS	       6
#define SLICE_MS       50    /* Between steps of the hosts' loops. */
#define AGREE_MS       25000 /* After the last fault all views are right. */
#define SCHEDULES      40
#define FAULTS	       12
#define SEED_PORT_BASE 7000

/* A host of the test. */
struct node {
	struct fake_net *net;
	uint32_t id;
	bool runs;
	uint64_t incarnation;
	struct membership membership;
	unsigned int deaths, declared_dead;
};

static struct fake_net *
net_of(const struct node *node)
{
	return node->net;
}

static void
receive(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct node *node = context;

	assert_int_equal(channel, PEER_CHANNEL_MEMBERSHIP);
	assert_int_equal(
	    membership_receive(&node->membership, from_host, body, size),
	    ERROR_NONE);
}

/* The port of a seed names its host; a link comes up if the net lets it. */
static void
dial_seed(void *context, const char *ip, uint16_t port)
{
	struct node *node = context;
	uint32_t to;

	(void)ip;
	to = port - SEED_PORT_BASE;
	if (!fake_net_link(net_of(node), node->id, to)->is_cut &&
	    !fake_net_link(net_of(node), to, node->id)->is_cut &&
	    fake_net_host(net_of(node), to)->is_up)
		membership_connected(&node->membership, to);
}

static void
add_host(void *context, uint32_t host_id, const char *ip, uint16_t port)
{
	(void)context;
	(void)ip;
	assert_int_equal(port, SEED_PORT_BASE + host_id);
}

static void
note_dead(void *context, const struct host_record *host)
{
	(void)host;
	((struct node *)context)->deaths++;
}

static void
note_declared_dead(void *context, uint64_t incarnation)
{
	(void)incarnation;
	((struct node *)context)->declared_dead++;
}

static void
start_node(struct node *node)
{
	struct membership_settings settings = {0};
	struct membership_ops ops = {.dial_seed = dial_seed,
	    .add_host = add_host,
	    .dead = note_dead,
	    .was_declared_dead = note_declared_dead,
	    .context = node};
	uint32_t i;

	settings.self.id = node->id;
	settings.self.port = (uint16_t)(SEED_PORT_BASE + node->id);
	settings.self.incarnation = ++node->incarnation;
	snprintf(settings.self.ip, HOST_IP_SIZE_MAX, "10.0.0.1");
	settings.seed_count = 2;
	for (i = 0; i < 2; i++) {
		settings.seeds[i].port = (uint16_t)(SEED_PORT_BASE + 1 + i);
		snprintf(settings.seeds[i].ip, HOST_IP_SIZE_MAX, "10.0.0.1");
	}
	fake_net_start(node->net, node->id, 1000 * (int64_t)node->id,
	    (struct fake_receiver){receive, node});
	assert_int_equal(membership_init(&node->membership, &settings,
			     fake_net_timers(node->net, node->id),
			     (uint64_t)node->id * 100 + node->incarnation,
			     fake_net_port(node->net, node->id), ops),
	    ERROR_NONE);
	node->runs = true;
}

static void
kill_node(struct node *node)
{
	if (!node->runs)
		return;
	fake_net_thaw(node->net, node->id);
	membership_finish(&node->membership);
	fake_net_kill(node->net, node->id);
	node->runs = false;
}

static void
start_all(struct fake_net *net, struct node *nodes, uint64_t seed,
    const struct fake_link *link)
{
	uint32_t i;

	fake_net_init(net, HOSTS, seed, link);
	memset(nodes, 0, HOSTS * sizeof(*nodes));
	for (i = 0; i < HOSTS; i++) {
		nodes[i].net = net;
		nodes[i].id = i + 1;
		start_node(&nodes[i]);
	}
}

static void
stop_all(struct fake_net *net, struct node *nodes)
{
	uint32_t i;

	for (i = 0; i < HOSTS; i++)
		kill_node(&nodes[i]);
	fake_net_finish(net);
}

static void
run(struct fake_net *net, struct node *nodes, int64_t duration_ms)
{
	uint32_t i;

	for (; duration_ms > 0; duration_ms -= SLICE_MS) {
		fake_net_run(net, SLICE_MS);
		for (i = 0; i < HOSTS; i++) {
			if (nodes[i].runs &&
			    !fake_net_host(net, i + 1)->is_frozen)
				membership_step(&nodes[i].membership);
		}
	}
}

/* True if every running host holds just the running ones for alive. */
static bool
all_agree(const struct node *nodes)
{
	const struct host_record *host;
	uint32_t i, k;

	for (i = 0; i < HOSTS; i++) {
		for (k = 1; nodes[i].runs && k <= HOSTS; k++) {
			host = membership_find(&nodes[i].membership, k);
			if (nodes[k - 1].runs !=
			    (host != NULL && host->state == HOST_STATE_ALIVE))
				return false;
		}
	}
	return true;
}

static const struct fake_link good_link = {1, 5, 0, 0, false};
static const struct fake_link bad_link = {1, 200, 0.1, 0.05, false};

static void
test_hosts_find_each_other_leave_and_die(void **state)
{
	struct node nodes[HOSTS];
	struct fake_net net;

	(void)state;
	start_all(&net, nodes, 1, &good_link);
	run(&net, nodes, 3000);
	assert_true(all_agree(nodes));
	membership_leave(&nodes[5].membership);
	run(&net, nodes, 1000);
	kill_node(&nodes[5]);
	assert_true(all_agree(nodes));
	kill_node(&nodes[4]);
	run(&net, nodes, 10000);
	assert_true(all_agree(nodes));
	/* The one that left was never taken for dead. */
	assert_int_equal(nodes[0].deaths, 1);
	start_node(&nodes[4]);
	run(&net, nodes, 3000);
	assert_true(all_agree(nodes));
	assert_int_equal(membership_find(&nodes[0].membership, 5)->incarnation,
	    nodes[4].incarnation);
	stop_all(&net, nodes);
}

/* Two who may not talk to each other do not end each other's life. */
static void
test_a_cut_between_two_hosts_kills_none(void **state)
{
	struct node nodes[HOSTS];
	struct fake_net net;
	uint32_t i;

	(void)state;
	start_all(&net, nodes, 2, &good_link);
	run(&net, nodes, 3000);
	fake_net_cut_pair(&net, 3, 4, true);
	fake_net_link(&net, 5, 6)->is_cut = true;
	run(&net, nodes, 60000);
	for (i = 0; i < HOSTS; i++)
		assert_int_equal(nodes[i].deaths, 0);
	stop_all(&net, nodes);
}

/* A host frozen for minutes is dead for others and harms none of them. */
static void
test_a_frozen_host_wakes_and_does_no_harm(void **state)
{
	struct node nodes[HOSTS];
	struct fake_net net;
	uint32_t i;

	(void)state;
	start_all(&net, nodes, 3, &good_link);
	run(&net, nodes, 3000);
	fake_net_freeze(&net, 3);
	run(&net, nodes, 180000);
	assert_int_equal(
	    membership_find(&nodes[0].membership, 3)->state, HOST_STATE_DEAD);
	fake_net_thaw(&net, 3);
	run(&net, nodes, 10000);
	assert_true(all_agree(nodes));
	assert_int_equal(nodes[2].deaths, 0);
	assert_int_equal(nodes[2].declared_dead, 1);
	for (i = 0; i < HOSTS; i++)
		assert_int_equal(nodes[i].declared_dead, i == 2 ? 1 : 0);
	stop_all(&net, nodes);
}

static void
make_fault(
    struct fake_net *net, struct node *nodes, struct random_source *random)
{
	uint32_t host, other;

	host = 1 + random_below(random, HOSTS);
	other = 1 + random_below(random, HOSTS);
	switch (random_below(random, 8)) {
	case 0:
		kill_node(&nodes[host - 1]);
		break;
	case 1:
		kill_node(&nodes[host - 1]);
		start_node(&nodes[host - 1]);
		break;
	case 2:
		if (nodes[host - 1].runs)
			fake_net_freeze(net, host);
		break;
	case 3:
		fake_net_thaw(net, host);
		break;
	case 4:
		fake_net_cut_host(net, host, true, random_below(random, 2));
		break;
	case 5:
		fake_net_cut_pair(net, host, other, true);
		break;
	case 6:
		fake_net_set_links(net, &bad_link);
		break;
	default:
		fake_net_heal(net);
		break;
	}
}

/* Whatever happened, a while after the last fault all views are right. */
static void
test_views_agree_after_any_faults(void **state)
{
	const char *soak = getenv("CHICORY_SOAK_SCHEDULES");
	unsigned int schedules, schedule, fault;
	struct node nodes[HOSTS];
	struct random_source random;
	struct fake_net net;
	uint32_t i;

	(void)state;
	schedules = soak == NULL ? SCHEDULES : (unsigned int)atoi(soak);
	for (schedule = 1; schedule <= schedules; schedule++) {
		random_init(&random, schedule);
		start_all(&net, nodes, schedule, &bad_link);
		for (fault = 0; fault < FAULTS; fault++) {
			run(&net, nodes, random_below(&random, 20000));
			make_fault(&net, nodes, &random);
		}
		for (i = 0; i < HOSTS; i++) {
			if (!nodes[i].runs)
				start_node(&nodes[i]);
			fake_net_thaw(&net, i + 1);
		}
		fake_net_heal(&net);
		fake_net_set_links(&net, &good_link);
		run(&net, nodes, AGREE_MS);
		if (!all_agree(nodes))
			fail_msg("schedule %u", schedule);
		stop_all(&net, nodes);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_hosts_find_each_other_leave_and_die),
	    cmocka_unit_test(test_a_cut_between_two_hosts_kills_none),
	    cmocka_unit_test(test_a_frozen_host_wakes_and_does_no_harm),
	    cmocka_unit_test(test_views_agree_after_any_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
