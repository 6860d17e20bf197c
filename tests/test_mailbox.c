/*
 * Tests of the mailbox, by which threads have calls run on another thread.
 */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "host/mailbox.h"

#define CALLERS		 8 /* Threads that make calls. */
#define CALLS_PER_CALLER 200
#define LONG_WAIT_MS	 60000

/* State of the thread that runs the calls. */
struct coordinator {
	struct mailbox mailbox;
	uint64_t sum;		   /* Not atomic, as one thread uses it. */
	struct mailbox_call *kept; /* Call that run_keep() didn't answer. */
	atomic_bool is_stopping;
};

static atomic_uint cleared; /* Calls whose body was cleared. */

static void
run_add(void *context, struct mailbox_call *call)
{
	struct coordinator *coordinator = context;
	uint64_t *body = mailbox_call_body(call);

	coordinator->sum += *body;
	*body = coordinator->sum;
	mailbox_complete(&coordinator->mailbox, call, ERROR_NONE);
}

static void
run_keep(void *context, struct mailbox_call *call)
{
	struct coordinator *coordinator = context;

	coordinator->kept = mailbox_call_ref(call);
}

static void
count_clear(void *body)
{
	(void)body;
	atomic_fetch_add(&cleared, 1);
}

static const struct mailbox_ops add_ops = {run_add, count_clear};
static const struct mailbox_ops keep_ops = {run_keep, count_clear};

static void *
serve_calls(void *argument)
{
	struct coordinator *coordinator = argument;

	while (!atomic_load(&coordinator->is_stopping))
		mailbox_run(&coordinator->mailbox, coordinator);
	return NULL;
}

static void *
make_calls(void *argument)
{
	struct coordinator *coordinator = argument;
	struct mailbox_call *call;
	unsigned int i;

	for (i = 0; i < CALLS_PER_CALLER; i++) {
		call = mailbox_call_new(&add_ops, sizeof(uint64_t));
		*(uint64_t *)mailbox_call_body(call) = 1;
		if (mailbox_await(&coordinator->mailbox, call, LONG_WAIT_MS) !=
		    ERROR_NONE)
			return argument;
		mailbox_call_unref(call);
	}
	return NULL;
}

static void
test_each_call_runs_once(void **state)
{
	struct coordinator coordinator = {0};
	pthread_t server, callers[CALLERS];
	void *failed;
	int i;

	(void)state;
	atomic_store(&cleared, 0);
	assert_int_equal(
	    mailbox_init(&coordinator.mailbox, CALLERS), ERROR_NONE);
	pthread_create(&server, NULL, serve_calls, &coordinator);
	for (i = 0; i < CALLERS; i++)
		pthread_create(&callers[i], NULL, make_calls, &coordinator);
	for (i = 0; i < CALLERS; i++) {
		pthread_join(callers[i], &failed);
		assert_null(failed);
	}
	atomic_store(&coordinator.is_stopping, true);
	pthread_join(server, NULL);
	assert_int_equal(coordinator.sum, CALLERS * CALLS_PER_CALLER);
	assert_int_equal(atomic_load(&cleared), CALLERS * CALLS_PER_CALLER);
	mailbox_finish(&coordinator.mailbox);
}

/* A call whose caller gave up stays valid until the other side has completed
 * it. Completing it must not use freed memory. */
static void
test_abandoned_call_outlives_its_caller(void **state)
{
	struct coordinator coordinator = {0};
	struct mailbox_call *call;

	(void)state;
	atomic_store(&cleared, 0);
	mailbox_init(&coordinator.mailbox, 2);
	call = mailbox_call_new(&keep_ops, 1);
	assert_int_equal(
	    mailbox_post(&coordinator.mailbox, mailbox_call_ref(call)),
	    ERROR_NONE);
	mailbox_run(&coordinator.mailbox, &coordinator);
	mailbox_call_unref(call);
	assert_int_equal(atomic_load(&cleared), 0);
	mailbox_complete(&coordinator.mailbox, coordinator.kept, ERROR_NONE);
	mailbox_call_unref(coordinator.kept);
	assert_int_equal(atomic_load(&cleared), 1);
	/* A call that was given up before it began is not run. */
	call = mailbox_call_new(&add_ops, sizeof(uint64_t));
	assert_int_equal(
	    mailbox_await(&coordinator.mailbox, call, 0), ERROR_TIMEOUT);
	mailbox_call_unref(call);
	mailbox_run(&coordinator.mailbox, &coordinator);
	assert_int_equal(coordinator.sum, 0);
	mailbox_finish(&coordinator.mailbox);
}

static void
test_full_or_closed_mailbox_refuses_calls(void **state)
{
	struct coordinator coordinator = {0};
	struct mailbox_call *call;

	(void)state;
	mailbox_init(&coordinator.mailbox, 1);
	mailbox_post(&coordinator.mailbox, mailbox_call_new(&add_ops, 8));
	assert_int_equal(
	    mailbox_post(&coordinator.mailbox, mailbox_call_new(&add_ops, 8)),
	    ERROR_TABLE_FULL);
	mailbox_close(&coordinator.mailbox);
	call = mailbox_call_new(&add_ops, 8);
	assert_int_equal(
	    mailbox_await(&coordinator.mailbox, call, LONG_WAIT_MS),
	    ERROR_SHUTTING_DOWN);
	mailbox_call_unref(call);
	mailbox_finish(&coordinator.mailbox);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_each_call_runs_once),
	    cmocka_unit_test(test_abandoned_call_outlives_its_caller),
	    cmocka_unit_test(test_full_or_closed_mailbox_refuses_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
