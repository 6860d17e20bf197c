/*
 * Tests of the simulated network that other tests run on.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fake_net.h"

/* Counts the messages and timer runs of a host. */
struct received {
	uint32_t count; /* Messages received. */
	uint32_t ticks; /* Runs of its periodic timer. */
};

static void
on_message(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct received *received = context;

	assert_int_equal(from_host, 1);
	assert_int_equal(channel, PEER_CHANNEL_FEED);
	assert_int_equal(size, 2);
	assert_memory_equal(body, "hi", 2);
	received->count++;
}

static void
on_tick(void *context)
{
	((struct received *)context)->ticks++;
}

/* Sends a message while the receiver is up, frozen, cut off and killed, and
 * while its link duplicates, and checks what arrives in each case. */
static void
test_faults_affect_delivery_and_timers(void **state)
{
	const struct fake_link link = {.delay_min_ms = 1, .delay_max_ms = 9};
	struct received received = {0};
	struct fake_net net;
	struct peer_port port;

	(void)state;
	fake_net_init(&net, 2, 1, &link);
	fake_net_start(&net, 1, 0, (struct fake_receiver){0});
	fake_net_start(
	    &net, 2, 5000, (struct fake_receiver){on_message, &received});
	assert_int_equal(timer_subscribe_every(fake_net_timers(&net, 2), 10,
			     (struct timer_callback){on_tick, &received}, NULL),
	    ERROR_NONE);
	port = fake_net_port(&net, 1);
	port.send(port.context, 2, PEER_CHANNEL_FEED, "hi", 2);
	fake_net_run(&net, 100);
	assert_int_equal(received.count, 1);
	assert_int_equal(received.ticks, 10);
	assert_int_equal(timer_now(fake_net_timers(&net, 2)), 5100);

	fake_net_freeze(&net, 2);
	port.send(port.context, 2, PEER_CHANNEL_FEED, "hi", 2);
	fake_net_run(&net, 100);
	assert_int_equal(received.count, 1);
	assert_int_equal(received.ticks, 10);
	fake_net_thaw(&net, 2);
	assert_int_equal(received.count, 2);

	fake_net_cut_host(&net, 2, false, true);
	port.send(port.context, 2, PEER_CHANNEL_FEED, "hi", 2);
	fake_net_run(&net, 100);
	assert_int_equal(received.count, 2);
	fake_net_heal(&net);
	fake_net_link(&net, 1, 2)->duplicate = 1;
	port.send(port.context, 2, PEER_CHANNEL_FEED, "hi", 2);
	fake_net_run(&net, 100);
	assert_int_equal(received.count, 4);
	port.send(port.context, 2, PEER_CHANNEL_FEED, "hi", 2);
	fake_net_kill(&net, 2);
	fake_net_run(&net, 100);
	assert_int_equal(received.count, 4);
	fake_net_finish(&net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_faults_affect_delivery_and_timers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
