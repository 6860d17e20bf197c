/*
 * Tests of membership over a simulated net with cuts, freezes and crashes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "host_group.h"
#include "protocol/gossip_message.h"

#define AGREE_MS  25000 /* Time after the last fault until views agree. */
#define SCHEDULES 40
#define FAULTS	  12

static void
test_hosts_join_leave_and_die(void **state)
{
	struct host_group group;

	(void)state;
	host_group_start(&group, 1, &group_good_link);
	host_group_run(&group, 3000);
	assert_true(host_group_agrees(&group));
	membership_leave(&group.hosts[5].membership);
	host_group_run(&group, 1000);
	host_group_kill_host(&group, 6);
	assert_true(host_group_agrees(&group));
	host_group_kill_host(&group, 5);
	host_group_run(&group, 10000);
	assert_true(host_group_agrees(&group));
	/* Only host 5 was declared dead; host 6 had left before. */
	assert_int_equal(group.hosts[0].deaths, 1);
	host_group_start_host(&group, 5);
	host_group_run(&group, 3000);
	assert_true(host_group_agrees(&group));
	assert_int_equal(
	    membership_find(&group.hosts[0].membership, 5)->incarnation,
	    group.hosts[4].incarnation);
	host_group_stop(&group);
}

/* Two hosts that can't reach each other are probed through other hosts, so that
 * neither suspects the other. */
static void
test_cut_between_two_hosts_causes_no_suspicion(void **state)
{
	struct host_group group;
	uint32_t i;

	(void)state;
	host_group_start(&group, 2, &group_good_link);
	host_group_run(&group, 3000);
	fake_net_cut_pair(&group.net, 3, 4, true);
	fake_net_link(&group.net, 5, 6)->is_cut = true;
	host_group_run(&group, 60000);
	for (i = 0; i < GROUP_HOSTS; i++)
		assert_int_equal(
		    group.hosts[i].deaths + group.hosts[i].suspicions, 0);
	host_group_stop(&group);
}

/* A host that was frozen for minutes has been declared dead by the others. It
 * must not declare any of them dead when it goes on. */
static void
test_thawed_host_declares_nobody_dead(void **state)
{
	struct host_group group;
	uint32_t i;

	(void)state;
	host_group_start(&group, 3, &group_good_link);
	host_group_run(&group, 3000);
	fake_net_freeze(&group.net, 3);
	host_group_run(&group, 180000);
	assert_int_equal(membership_find(&group.hosts[0].membership, 3)->state,
	    HOST_STATE_DEAD);
	fake_net_thaw(&group.net, 3);
	host_group_run(&group, 10000);
	assert_true(host_group_agrees(&group));
	assert_int_equal(group.hosts[2].deaths, 0);
	for (i = 0; i < GROUP_HOSTS; i++)
		assert_int_equal(group.hosts[i].declared_dead, i == 2 ? 1 : 0);
	host_group_stop(&group);
}

/* Starts a group of which only hosts 1 and 2 stay. */
static void
start_pair(struct host_group *group, uint64_t seed)
{
	uint32_t id;

	host_group_start(group, seed, &group_good_link);
	host_group_run(group, 3000);
	for (id = 3; id <= GROUP_HOSTS; id++) {
		membership_leave(&group->hosts[id - 1].membership);
		host_group_run(group, 1000);
		host_group_kill_host(group, id);
	}
}

/* In a group of only two hosts, one that was frozen must not declare the other
 * one dead. */
static void
test_thawed_host_of_two_declares_nobody_dead(void **state)
{
	struct host_group group;
	uint64_t seed;

	(void)state;
	/* The seed decides whether late timers or late messages come first
	 * after the freeze. */
	for (seed = 1; seed <= 8; seed++) {
		start_pair(&group, seed);
		fake_net_freeze(&group.net, 2);
		host_group_run(&group, 180000);
		fake_net_thaw(&group.net, 2);
		host_group_run(&group, 10000);
		assert_true(host_group_agrees(&group));
		assert_int_equal(group.hosts[1].deaths, 0);
		assert_int_equal(group.hosts[0].deaths, 1);
		host_group_stop(&group);
	}
}

/* Guards against a host that suspects another one, is frozen itself, and declares
 * the other one dead when it goes on: the refutation waits in its links, which it
 * reads after its timers. */
static void
test_thawed_host_reads_refutations_first(void **state)
{
	struct host_group group;
	uint64_t seed;

	(void)state;
	/* The seed decides whether late timers or late messages come first. */
	for (seed = 1; seed <= 40; seed++) {
		start_pair(&group, seed);
		fake_net_freeze(&group.net, 2);
		while (group.hosts[0].suspicions == 0)
			host_group_run(&group, 100);
		fake_net_freeze(&group.net, 1);
		fake_net_thaw(&group.net, 2);
		host_group_run(&group, 500 * (int64_t)seed);
		fake_net_thaw(&group.net, 1);
		host_group_run(&group, 10000);
		assert_int_equal(group.hosts[0].deaths, 0);
		host_group_stop(&group);
	}
}

/* After a partition in which each side declared the other dead, the hosts find
 * each other again although both seeds are dead. */
static void
test_partition_heals_without_seeds(void **state)
{
	struct host_group group;

	(void)state;
	host_group_start(&group, 5, &group_good_link);
	host_group_run(&group, 3000);
	host_group_kill_host(&group, 1);
	host_group_kill_host(&group, 2);
	host_group_run(&group, 15000);
	fake_net_cut_pair(&group.net, 3, 5, true);
	fake_net_cut_pair(&group.net, 3, 6, true);
	fake_net_cut_pair(&group.net, 4, 5, true);
	fake_net_cut_pair(&group.net, 4, 6, true);
	host_group_run(&group, 60000);
	assert_int_equal(membership_find(&group.hosts[2].membership, 5)->state,
	    HOST_STATE_DEAD);
	fake_net_heal(&group.net);
	host_group_run(&group, AGREE_MS);
	assert_true(host_group_agrees(&group));
	host_group_stop(&group);
}

/* After random faults, all views are right AGREE_MS after the last one. */
static void
test_views_agree_after_random_faults(void **state)
{
	const char *soak = getenv("CHICORY_SOAK_SCHEDULES");
	unsigned int schedules, schedule, fault;
	struct random_source random;
	struct host_group group;

	(void)state;
	schedules =
	    soak == NULL ? SCHEDULES : (unsigned int)strtoul(soak, NULL, 10);
	for (schedule = 1; schedule <= schedules; schedule++) {
		random_init(&random, schedule);
		host_group_start(&group, schedule, &group_bad_link);
		for (fault = 0; fault < FAULTS; fault++) {
			host_group_run(&group, random_below(&random, 20000));
			host_group_inject_fault(&group, &random);
		}
		host_group_heal(&group);
		host_group_run(&group, AGREE_MS);
		if (!host_group_agrees(&group))
			fail_msg("schedule %u", schedule);
		host_group_stop(&group);
	}
}

static void
count_dial(void *context, const char *ip, uint16_t port)
{
	(void)ip;
	(void)port;
	(*(uint32_t *)context)++;
}

static void
add_no_host(void *context, uint32_t id, const char *ip, uint16_t port)
{
	(void)context;
	(void)id;
	(void)ip;
	(void)port;
}

/* After a loss of power the seeds may start last. A host that has reached none
 * must dial again at the configured interval, not once a ping period. */
static void
test_host_without_peers_keeps_dialling(void **state)
{
	struct membership_settings settings = {
	    .seed_count = 1, .seed_dial_interval_ms = 200};
	struct fake_receiver receiver = {0};
	struct membership membership;
	struct fake_net net;
	uint32_t dials;

	(void)state;
	dials = 0;
	fake_net_init(&net, 1, 1, &group_good_link);
	fake_net_start(&net, 1, 0, receiver);
	settings.self.id = 1;
	settings.self.port = 1;
	snprintf(settings.self.ip, HOST_IP_SIZE_MAX, "10.0.0.1");
	settings.seeds[0].port = 2;
	snprintf(settings.seeds[0].ip, HOST_IP_SIZE_MAX, "10.0.0.1");
	assert_int_equal(
	    membership_init(&membership, &settings, fake_net_timers(&net, 1), 1,
		fake_net_port(&net, 1),
		(struct membership_ops){.dial_seed = count_dial,
		    .add_host = add_no_host,
		    .context = &dials}),
	    ERROR_NONE);
	fake_net_run(&net, 900);
	assert_int_equal(dials, 5);
	/* New seeds are dialled at once, and from then on only these. The host
	 * itself is no seed to dial. */
	membership_set_seeds(&membership,
	    (struct membership_seed[]){
		{"10.0.0.2", 3}, {"10.0.0.3", 3}, {"10.0.0.1", 1}},
	    3);
	assert_int_equal(dials, 7);
	fake_net_run(&net, 300);
	assert_int_equal(dials, 9);
	membership_finish(&membership);
	fake_net_finish(&net);
}

/* Passes a host the record of another one as an earlier build writes it, which
 * states nothing. */
static void
receive_record_of_earlier_build(
    struct membership *membership, struct host_record record)
{
	const struct gossip_version version = {
	    record.incarnation, record.refutation, record.state, 0};
	struct message_writer body, message;

	record.level = 0;
	record.build[0] = '\0';
	message_writer_init(&body);
	message_writer_init(&message);
	host_record_write(&body, &record);
	gossip_items_open(&message, MEMBERSHIP_TYPE_GOSSIP, 1);
	gossip_items_add(&message, record.id, &version, message_data(&body),
	    message_size(&body));
	assert_int_equal(membership_receive(membership, 2,
			     message_data(&message), message_size(&message)),
	    ERROR_NONE);
	message_writer_finish(&body);
	message_writer_finish(&message);
}

static void
test_hosts_know_the_level_and_build_that_each_states(void **state)
{
	struct membership *membership;
	struct host_record suspected;
	struct host_group group;
	char build[BUILD_NAME_SIZE_MAX];
	uint32_t id;

	(void)state;
	host_group_start(&group, 4, &group_good_link);
	membership = &group.hosts[0].membership;
	assert_int_equal(membership_stated_level(membership, 3), 0);
	assert_string_equal(membership_stated_build(membership, 3), "");
	host_group_run(&group, 3000);
	for (id = 1; id <= GROUP_HOSTS; id++) {
		snprintf(build, sizeof(build), "build-%u", id);
		assert_int_equal(membership_stated_level(membership, id), id);
		assert_string_equal(
		    membership_stated_build(membership, id), build);
	}
	suspected = *membership_find(membership, 3);
	suspected.state = HOST_STATE_SUSPECTED;
	receive_record_of_earlier_build(membership, suspected);
	assert_int_equal(
	    membership_find(membership, 3)->state, HOST_STATE_SUSPECTED);
	assert_int_equal(membership_stated_level(membership, 3), 3);
	/* Another process on the same host may be of another build. */
	suspected.state = HOST_STATE_ALIVE;
	suspected.incarnation++;
	receive_record_of_earlier_build(membership, suspected);
	assert_int_equal(membership_stated_level(membership, 3), 0);
	host_group_stop(&group);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_hosts_join_leave_and_die),
	    cmocka_unit_test(test_cut_between_two_hosts_causes_no_suspicion),
	    cmocka_unit_test(test_thawed_host_declares_nobody_dead),
	    cmocka_unit_test(test_thawed_host_of_two_declares_nobody_dead),
	    cmocka_unit_test(test_thawed_host_reads_refutations_first),
	    cmocka_unit_test(test_partition_heals_without_seeds),
	    cmocka_unit_test(test_views_agree_after_random_faults),
	    cmocka_unit_test(test_host_without_peers_keeps_dialling),
	    cmocka_unit_test(
		test_hosts_know_the_level_and_build_that_each_states),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
