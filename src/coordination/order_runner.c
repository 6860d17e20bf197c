#include "coordination/order_runner.h"

#include <string.h>

#include "base/event_log.h"

/* Interval at which retries and resends are checked. */
#define TICK_INTERVAL_MS 50
/* Interval at which the open orders of the replicated state are read. */
#define REVIEW_INTERVAL_MS 5000

/* State of a running order. */
enum order_state {
	/* The order is resumed, but an earlier leader's send of the order may
	 * still be executed. */
	ORDER_WAITING = 1,
	ORDER_COMMITTING,	  /* The beginning is being committed. */
	ORDER_COMMITTED,	  /* Committed, but not sent yet. */
	ORDER_SENT,		  /* Sent; the engine has not answered. */
	ORDER_COMMITTING_OUTCOME, /* The outcome is being committed. */
};

/* An order that this leader is running. */
struct running_order {
	struct engine_order order;
	enum order_state state;
	enum error_code outcome;
	uint32_t attempts; /* Number of sends so far. */
	int64_t next_ms;   /* When to advance the order. */
};

static void run_tick(void *context);
static bool is_leading(const struct order_runner *runner);
static void review_orders(struct order_runner *runner, int64_t now_ms);
static void resume_order(void *visitor, const struct engine_order *order);
static struct running_order *add_order(
    struct order_runner *runner, const struct engine_order *order);
static struct running_order *find_order(
    struct order_runner *runner, uint64_t upstream_id);
static void refill_tokens(struct order_runner *runner, int64_t now_ms);
static void advance_order(
    struct order_runner *runner, struct running_order *running, int64_t now_ms);
static void send_order(
    struct order_runner *runner, struct running_order *running, int64_t now_ms);
static void finish_order(struct order_runner *runner,
    struct running_order *running, enum error_code outcome);

struct order_runner_settings
order_runner_default_settings(void)
{
	struct order_runner_settings settings = {
	    .lease_ms = 5000,
	    .order_timeout_ms = 120000,
	    .commit_retry_interval_ms = 500,
	    .attempts_max = 3,
	    .loads_burst = 4,
	    .load_interval_ms = 5000,
	    .capacity = 8192,
	};

	return settings;
}

enum error_code
order_runner_init(struct order_runner *runner,
    const struct order_runner_settings *settings,
    const struct order_runner_ops *ops, struct timer_service *timers)
{
	struct timer_callback tick = {run_tick, runner};
	enum error_code error;

	memset(runner, 0, sizeof(*runner));
	if (settings->load_interval_ms < 1 || settings->attempts_max == 0)
		return ERROR_INVALID_ARGUMENT;
	error = timer_subscribe_every(
	    timers, TICK_INTERVAL_MS, tick, &runner->tick);
	if (error != ERROR_NONE)
		return error;
	runner->settings = *settings;
	runner->ops = *ops;
	runner->timers = timers;
	runner->orders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return ERROR_NONE;
}

void
order_runner_finish(struct order_runner *runner)
{
	if (runner->orders == NULL)
		return;
	timer_cancel(runner->timers, &runner->tick);
	g_hash_table_destroy(runner->orders);
	memset(runner, 0, sizeof(*runner));
}

void
order_runner_set_lease(struct order_runner *runner, int64_t until_ms)
{
	bool was_leading;

	was_leading = is_leading(runner);
	runner->lease_until_ms = until_ms;
	if (was_leading || !is_leading(runner))
		return;
	g_hash_table_remove_all(runner->orders);
	runner->leading_since_ms = timer_now(runner->timers);
	/* The previous leader may use the rate limit until its lease ends. */
	runner->load_tokens = 0;
	runner->next_token_ms = runner->leading_since_ms +
				runner->settings.lease_ms +
				runner->settings.load_interval_ms;
	review_orders(runner, runner->leading_since_ms);
}

void
order_runner_step_down(struct order_runner *runner)
{
	runner->lease_until_ms = 0;
	g_hash_table_remove_all(runner->orders);
}

enum error_code
order_runner_submit(
    struct order_runner *runner, const struct engine_order *order)
{
	struct running_order *running;

	if (!is_leading(runner))
		return ERROR_NOT_LEADER;
	running = find_order(runner, order->upstream_id);
	if (running != NULL) {
		if (running->order.kind == order->kind &&
		    strcmp(running->order.argument, order->argument) == 0)
			return ERROR_ALREADY_EXISTS;
		return ERROR_CHANGE_PENDING;
	}
	running = add_order(runner, order);
	if (running == NULL)
		return ERROR_TABLE_FULL;
	running->state = ORDER_COMMITTING;
	advance_order(runner, running, timer_now(runner->timers));
	return ERROR_NONE;
}

void
order_runner_on_begun(struct order_runner *runner, uint64_t upstream_id,
    uint64_t fencing_number, enum error_code error)
{
	struct running_order *running;

	running = find_order(runner, upstream_id);
	if (running == NULL || running->state != ORDER_COMMITTING)
		return;
	/* The next tick after next_ms commits again, under a new fencing
	 * number if this commit took effect. */
	if (error != ERROR_NONE ||
	    fencing_number <= running->order.fencing_number)
		return;
	running->order.fencing_number = fencing_number;
	running->state = ORDER_COMMITTED;
	running->next_ms = 0;
	advance_order(runner, running, timer_now(runner->timers));
}

void
order_runner_on_answer(struct order_runner *runner, uint64_t upstream_id,
    uint64_t fencing_number, enum error_code error)
{
	struct running_order *running;

	running = find_order(runner, upstream_id);
	if (running == NULL || running->state != ORDER_SENT ||
	    running->order.fencing_number != fencing_number)
		return;
	if (error == ERROR_TIMEOUT || error == ERROR_CONNECTION)
		return;
	finish_order(runner, running, error);
}

void
order_runner_on_finished(struct order_runner *runner, uint64_t upstream_id,
    uint64_t fencing_number, enum error_code error)
{
	struct running_order *running;

	running = find_order(runner, upstream_id);
	if (running == NULL || running->state != ORDER_COMMITTING_OUTCOME ||
	    running->order.fencing_number != fencing_number)
		return;
	/* A beginning that this host had given up on was committed later. The
	 * next review finds that order. */
	if (error == ERROR_STALE)
		g_hash_table_remove(runner->orders, &upstream_id);
	if (error != ERROR_NONE)
		return;
	event_log_write(EVENT_ORDER_DONE,
	    "upstream=%016" G_GINT64_MODIFIER "x number=%" G_GINT64_MODIFIER
	    "u outcome=%s",
	    (guint64)upstream_id, (guint64)fencing_number,
	    error_name(running->outcome));
	g_hash_table_remove(runner->orders, &upstream_id);
}

uint32_t
order_runner_count(const struct order_runner *runner)
{
	return g_hash_table_size(runner->orders);
}

static void
run_tick(void *context)
{
	struct order_runner *runner = context;
	int64_t now_ms;
	GList *ids, *at;
	struct running_order *running;

	if (!is_leading(runner))
		return;
	now_ms = timer_now(runner->timers);
	refill_tokens(runner, now_ms);
	if (now_ms >= runner->next_review_ms)
		review_orders(runner, now_ms);
	/* Iterate over a copy of the keys, since advance_order() may remove an
	 * order from the table. */
	ids = g_hash_table_get_keys(runner->orders);
	for (at = ids; at != NULL; at = at->next)
		at->data = g_memdup2(at->data, sizeof(uint64_t));
	for (at = ids; at != NULL; at = at->next) {
		running = find_order(runner, *(const uint64_t *)at->data);
		if (running != NULL && now_ms >= running->next_ms)
			advance_order(runner, running, now_ms);
	}
	g_list_free_full(ids, g_free);
}

static bool
is_leading(const struct order_runner *runner)
{
	return timer_now(runner->timers) < runner->lease_until_ms;
}

/* Resumes orders that are open in the replicated state but not running here. A
 * beginning that this host gave up on may have been committed since. */
static void
review_orders(struct order_runner *runner, int64_t now_ms)
{
	runner->next_review_ms = now_ms + REVIEW_INTERVAL_MS;
	runner->ops.visit_open_orders(
	    runner->ops.context, resume_order, runner);
}

/* Resumes an open order that is not running here. If the engine ignores fencing
 * numbers, the order waits until an earlier send of the order can no longer be
 * executed. */
static void
resume_order(void *visitor, const struct engine_order *order)
{
	struct order_runner *runner = visitor;
	struct running_order *running;

	if (find_order(runner, order->upstream_id) != NULL)
		return;
	running = add_order(runner, order);
	if (running == NULL)
		return;
	running->state = ORDER_WAITING;
	running->next_ms = timer_now(runner->timers);
	if (!runner->ops.honours_fencing(
		runner->ops.context, order->upstream_id))
		running->next_ms += runner->settings.lease_ms +
				    runner->settings.order_timeout_ms;
}

static struct running_order *
add_order(struct order_runner *runner, const struct engine_order *order)
{
	struct running_order *running;

	if (g_hash_table_size(runner->orders) >= runner->settings.capacity)
		return NULL;
	running = g_new0(struct running_order, 1);
	running->order = *order;
	running->order.attempt = ++runner->begin_count;
	g_hash_table_insert(
	    runner->orders, &running->order.upstream_id, running);
	return running;
}

static struct running_order *
find_order(struct order_runner *runner, uint64_t upstream_id)
{
	return g_hash_table_lookup(runner->orders, &upstream_id);
}

/* Adds the load tokens that are due, up to the allowed burst. */
static void
refill_tokens(struct order_runner *runner, int64_t now_ms)
{
	while (now_ms >= runner->next_token_ms) {
		if (runner->load_tokens < runner->settings.loads_burst)
			runner->load_tokens++;
		runner->next_token_ms += runner->settings.load_interval_ms;
	}
}

/* Takes the next action for an order in its current state. */
static void
advance_order(
    struct order_runner *runner, struct running_order *running, int64_t now_ms)
{
	switch (running->state) {
	case ORDER_WAITING:
		running->state = ORDER_COMMITTING;
		/* FALLTHROUGH */
	case ORDER_COMMITTING:
		running->next_ms =
		    now_ms + runner->settings.commit_retry_interval_ms;
		runner->ops.commit_begin(runner->ops.context, &running->order);
		break;
	case ORDER_COMMITTED:
	case ORDER_SENT:
		send_order(runner, running, now_ms);
		break;
	case ORDER_COMMITTING_OUTCOME:
		running->next_ms =
		    now_ms + runner->settings.commit_retry_interval_ms;
		runner->ops.commit_finish(
		    runner->ops.context, &running->order, running->outcome);
		break;
	}
}

/* Sends or resends an order. An order that loads weights waits for a token, and
 * an order sent too often fails with ERROR_TIMEOUT. */
static void
send_order(
    struct order_runner *runner, struct running_order *running, int64_t now_ms)
{
	if (!is_leading(runner))
		return;
	if (running->attempts >= runner->settings.attempts_max) {
		finish_order(runner, running, ERROR_TIMEOUT);
		return;
	}
	if (running->order.loads_weights) {
		if (runner->load_tokens == 0)
			return;
		runner->load_tokens--;
	}
	running->attempts++;
	running->state = ORDER_SENT;
	running->next_ms = now_ms + runner->settings.order_timeout_ms;
	event_log_write(EVENT_ORDER_SENT,
	    "upstream=%016" G_GINT64_MODIFIER "x number=%" G_GINT64_MODIFIER
	    "u",
	    (guint64)running->order.upstream_id,
	    (guint64)running->order.fencing_number);
	runner->ops.send(runner->ops.context, &running->order);
}

/* Records the outcome of an order and commits the outcome: at once, or when no
 * resend can be executed any more. */
static void
finish_order(struct order_runner *runner, struct running_order *running,
    enum error_code outcome)
{
	int64_t now_ms;

	now_ms = timer_now(runner->timers);
	running->outcome = outcome;
	running->state = ORDER_COMMITTING_OUTCOME;
	/* The engine must not execute a late resend after the next order. By
	 * next_ms it has executed the last resend or never will, so commit
	 * the outcome only then if the engine ignores fencing numbers. */
	if (running->attempts > 1 && now_ms < running->next_ms &&
	    !runner->ops.honours_fencing(
		runner->ops.context, running->order.upstream_id))
		return;
	advance_order(runner, running, now_ms);
}
