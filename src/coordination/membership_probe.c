/*
 * Failure detector of the membership: which host is pinged when, and what
 * follows if it does not answer; and how a host that is alone finds others.
 */
#include <math.h>
#include <string.h>

#include "coordination/membership_parts.h"

/* Hosts that are asked to ping a host that did not answer this one. */
#define INDIRECT_PINGS_MAX 3
/* Number of periods between pings of dead hosts. */
#define DEAD_PING_PERIODS 4
/* Live hosts needed to conclude from silence that this host is cut off; with
 * fewer, all of them may have died at once. */
#define ISOLATION_HOSTS_MIN 2
/* A period that comes late by more than its length divided by this shows that
 * this host did not run, as when it was frozen. */
#define LATE_PERIOD_DIVISOR 2

static void on_ping_timeout(void *context);
static void restart_timeouts(struct membership *membership);
static void end_probe(struct membership *membership);
static void start_probe(struct membership *membership);
static void check_members(struct membership *membership);
static bool is_isolated(const struct membership *membership);
static int64_t suspicion_time(const struct membership *membership);
static void ping_dead_host(struct membership *membership);
static bool is_known_address(
    const struct membership *membership, const struct membership_seed *seed);
static uint32_t next_probe(struct membership *membership);

void
membership_run_period(void *context)
{
	struct membership *membership = context;
	int64_t period_ms = membership->settings.ping_period_ms;

	if (membership->is_leaving)
		return;
	if (timer_lag_measure(&membership->period_lag, membership->timers,
		period_ms) > period_ms / LATE_PERIOD_DIVISOR) {
		restart_timeouts(membership);
		return;
	}
	end_probe(membership);
	check_members(membership);
	start_probe(membership);
	if (membership->probe_number % DEAD_PING_PERIODS == 0)
		ping_dead_host(membership);
	membership_dial_seeds(membership);
}

void
membership_dial_seeds_if_alone(void *context)
{
	struct membership *membership = context;
	uint32_t other;

	if (!membership->is_leaving &&
	    membership_list_live(membership, &other, 1) == 0)
		membership_dial_seeds(membership);
}

void
membership_dial_seeds(struct membership *membership)
{
	const struct membership_seed *seed;
	int64_t now_ms;
	uint32_t i;

	now_ms = timer_now(membership->timers);
	if (membership->seeds_dialled_ms != INT64_MIN &&
	    now_ms - membership->seeds_dialled_ms <
		membership->settings.seed_dial_interval_ms)
		return;
	membership->seeds_dialled_ms = now_ms;
	for (i = 0; i < membership->settings.seed_count; i++) {
		seed = &membership->settings.seeds[i];
		if (!is_known_address(membership, seed))
			membership->ops.dial_seed(
			    membership->ops.context, seed->ip, seed->port);
	}
}

/* Restarts the timeouts after a freeze: this host could not receive messages
 * in that time, so silence proves nothing about other hosts. */
static void
restart_timeouts(struct membership *membership)
{
	GHashTableIter iterator;
	struct member *member;
	gpointer value;

	membership->probe_host = 0;
	membership->last_received_ms = timer_now(membership->timers);
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		member = value;
		if (member->record.state == HOST_STATE_SUSPECTED)
			member->since_ms = timer_now(membership->timers);
	}
}

static void
end_probe(struct membership *membership)
{
	struct member *member;

	member = membership_find_member(membership, membership->probe_host);
	membership->probe_host = 0;
	if (member == NULL || membership->probe_answered ||
	    member->record.state != HOST_STATE_ALIVE || is_isolated(membership))
		return;
	membership_declare_state(membership, member, HOST_STATE_SUSPECTED);
}

static void
start_probe(struct membership *membership)
{
	membership->probe_number++;
	membership->probe_answered = false;
	membership->probe_host = next_probe(membership);
	if (membership->probe_host == 0)
		return;
	membership_send(membership, membership->probe_host,
	    (struct membership_message){.type = MEMBERSHIP_TYPE_PING,
		.ping_number = membership->probe_number,
		.target = membership->probe_host,
		.origin = membership->self.id});
	timer_cancel(membership->timers, &membership->ping_timeout_timer);
	(void)timer_subscribe_once(membership->timers,
	    membership->settings.ping_timeout_ms,
	    (struct timer_callback){on_ping_timeout, membership},
	    &membership->ping_timeout_timer);
}

/* Asks other hosts to ping the host that has not answered, since they may be
 * able to reach it when this host is not. */
static void
on_ping_timeout(void *context)
{
	struct membership *membership = context;
	uint32_t hosts[HOSTS_MAX], count, sent, at;

	if (membership->probe_answered || membership->probe_host == 0)
		return;
	count = membership_list_live(membership, hosts, HOSTS_MAX);
	for (sent = 0; sent < INDIRECT_PINGS_MAX && count > 0;) {
		at = random_below(&membership->random, count);
		if (hosts[at] != membership->probe_host) {
			membership_send(membership, hosts[at],
			    (struct membership_message){
				.type = MEMBERSHIP_TYPE_PING_REQUEST,
				.ping_number = membership->probe_number,
				.target = membership->probe_host,
				.origin = membership->self.id});
			sent++;
		}
		hosts[at] = hosts[--count];
	}
}

/* Declares hosts dead whose suspicion has lasted too long, and forgets hosts
 * that have been dead or gone for dead_retention_ms. */
static void
check_members(struct membership *membership)
{
	int64_t now_ms, suspicion_ms;
	GHashTableIter iterator;
	struct member *member;
	gpointer value;
	bool isolated;

	now_ms = timer_now(membership->timers);
	suspicion_ms = suspicion_time(membership);
	isolated = is_isolated(membership);
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		member = value;
		if (member->record.state == HOST_STATE_SUSPECTED) {
			if (isolated)
				member->since_ms = now_ms;
			else if (now_ms - member->since_ms >= suspicion_ms)
				membership_declare_state(
				    membership, member, HOST_STATE_DEAD);
			continue;
		}
		if (host_state_is_live(member->record.state) ||
		    now_ms - member->since_ms <
			membership->settings.dead_retention_ms)
			continue;
		gossip_drop(&membership->gossip, member->record.id);
		g_hash_table_iter_remove(&iterator);
	}
}

/* True if this host seems cut off: several hosts are live, but none of them has
 * sent a message for two periods. */
static bool
is_isolated(const struct membership *membership)
{
	uint32_t hosts[ISOLATION_HOSTS_MIN];

	if (membership_list_live(membership, hosts, ISOLATION_HOSTS_MIN) <
	    ISOLATION_HOSTS_MIN)
		return false;
	return timer_now(membership->timers) - membership->last_received_ms >=
	       2 * membership->settings.ping_period_ms;
}

static int64_t
suspicion_time(const struct membership *membership)
{
	double scale;

	scale = log10((double)g_hash_table_size(membership->hosts) + 1);
	return (int64_t)((double)membership->settings.suspicion_ms *
			 (scale < 1 ? 1 : scale));
}

/* Pings a random dead host. After a partition each side considers the other
 * dead; the ping lets them find out that they are connected again. */
static void
ping_dead_host(struct membership *membership)
{
	uint32_t count, chosen;
	GHashTableIter iterator;
	struct member *member;
	gpointer value;

	chosen = 0;
	count = 0;
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		member = value;
		if (member->record.state == HOST_STATE_DEAD &&
		    random_below(&membership->random, ++count) == 0)
			chosen = member->record.id;
	}
	if (chosen != 0)
		membership_send(membership, chosen,
		    (struct membership_message){.type = MEMBERSHIP_TYPE_PING,
			.target = chosen,
			.origin = membership->self.id});
}

static bool
is_known_address(
    const struct membership *membership, const struct membership_seed *seed)
{
	const struct host_record *host;
	GHashTableIter iterator;
	gpointer value;

	host = &membership->self;
	if (host->port == seed->port && strcmp(host->ip, seed->ip) == 0)
		return true;
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		host = &((struct member *)value)->record;
		if (host_state_is_live(host->state) &&
		    host->port == seed->port && strcmp(host->ip, seed->ip) == 0)
			return true;
	}
	return false;
}

/* Returns the next host to ping, 0 for none. Each live host is returned once,
 * then all are returned again in a new random order. */
static uint32_t
next_probe(struct membership *membership)
{
	uint32_t i, k, swap;

	for (;;) {
		while (membership->ping_order_next <
		       membership->ping_order_count) {
			i = membership
				->ping_order[membership->ping_order_next++];
			if (membership_is_live(membership, i, 0))
				return i;
		}
		membership->ping_order_next = 0;
		membership->ping_order_count = membership_list_live(
		    membership, membership->ping_order, HOSTS_MAX);
		if (membership->ping_order_count == 0)
			return 0;
		for (i = membership->ping_order_count; i > 1; i--) {
			k = random_below(&membership->random, i);
			swap = membership->ping_order[i - 1];
			membership->ping_order[i - 1] =
			    membership->ping_order[k];
			membership->ping_order[k] = swap;
		}
	}
}
