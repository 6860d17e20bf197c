#include "host_group.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define SEED_PORT_BASE 7000

const struct fake_link group_good_link = {1, 5, 0, 0, false};
const struct fake_link group_bad_link = {1, 200, 0.1, 0.05, false};

static void
receive(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct group_host *host = context;
	enum error_code error;

	if (channel == PEER_CHANNEL_MEMBERSHIP)
		error = membership_receive(
		    &host->membership, from_host, body, size);
	else
		error = upstream_directory_receive(
		    &host->directory, from_host, body, size);
	/* A late load report may be about an upstream that is gone. */
	assert_true(error == ERROR_NONE || channel == PEER_CHANNEL_LOAD);
}

static enum error_code
receive_other(void *context, uint32_t from_host, const void *body, size_t size)
{
	struct group_host *host = context;

	return upstream_directory_receive(
	    &host->directory, from_host, body, size);
}

/* Connects to a seed unless it is down or the link is cut. The port gives the
 * seed's host id. */
static void
dial_seed(void *context, const char *ip, uint16_t port)
{
	struct group_host *host = context;
	uint32_t to;

	(void)ip;
	to = port - SEED_PORT_BASE;
	if (!fake_net_link(host->net, host->id, to)->is_cut &&
	    !fake_net_link(host->net, to, host->id)->is_cut &&
	    fake_net_host(host->net, to)->is_up)
		membership_on_connected(&host->membership, to);
}

static void
add_host(void *context, uint32_t host_id, const char *ip, uint16_t port)
{
	(void)context;
	(void)ip;
	assert_int_equal(port, SEED_PORT_BASE + host_id);
}

static void
on_joined(void *context, const struct host_record *record)
{
	struct group_host *host = context;

	upstream_directory_sync_with(&host->directory, record->id);
}

static void
on_suspected(void *context, const struct host_record *record)
{
	(void)record;
	((struct group_host *)context)->suspicions++;
}

static void
on_dead(void *context, const struct host_record *record)
{
	(void)record;
	((struct group_host *)context)->deaths++;
}

static void
on_declared_dead(void *context, uint64_t incarnation)
{
	struct group_host *host = context;

	host->declared_dead++;
	upstream_directory_set_incarnation(&host->directory, incarnation);
}

static bool
is_live(void *context, uint32_t host_id, uint64_t incarnation)
{
	return membership_is_live(
	    &((struct group_host *)context)->membership, host_id, incarnation);
}

static uint32_t
list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	return membership_list_live(
	    &((struct group_host *)context)->membership, host_ids, max);
}

static uint32_t
capacity_owner(void *context, uint64_t upstream_id)
{
	(void)context;
	(void)upstream_id;
	return 2;
}

static void
on_announced(void *context, const struct upstream_record *record)
{
	(void)record;
	((struct group_host *)context)->announced++;
}

static void
on_gone(void *context, const struct upstream_record *record)
{
	(void)record;
	((struct group_host *)context)->gone++;
}

static void
on_load(void *context, const struct upstream_load *load)
{
	(void)load;
	((struct group_host *)context)->load_reports++;
}

static void
start_membership(struct group_host *host)
{
	struct membership_settings settings = {0};
	struct membership_ops ops = {.dial_seed = dial_seed,
	    .add_host = add_host,
	    .on_joined = on_joined,
	    .on_suspected = on_suspected,
	    .on_dead = on_dead,
	    .on_declared_dead = on_declared_dead,
	    .receive_other = receive_other,
	    .context = host};
	uint32_t i;

	settings.self.id = host->id;
	settings.self.port = (uint16_t)(SEED_PORT_BASE + host->id);
	settings.self.incarnation = host->incarnation;
	settings.self.level = host->id;
	snprintf(settings.self.build, sizeof(settings.self.build), "build-%u",
	    host->id);
	snprintf(settings.self.ip, HOST_IP_SIZE_MAX, "10.0.0.1");
	settings.seed_count = 2;
	for (i = 0; i < 2; i++) {
		settings.seeds[i].port = (uint16_t)(SEED_PORT_BASE + 1 + i);
		snprintf(settings.seeds[i].ip, HOST_IP_SIZE_MAX, "10.0.0.1");
	}
	assert_int_equal(membership_init(&host->membership, &settings,
			     fake_net_timers(host->net, host->id),
			     (uint64_t)host->id * 100 + host->incarnation,
			     fake_net_port(host->net, host->id), ops),
	    ERROR_NONE);
}

static void
start_directory(struct group_host *host)
{
	struct upstream_directory_settings settings = {
	    .host_id = host->id, .incarnation = host->incarnation};
	struct upstream_directory_ops ops = {.is_live = is_live,
	    .list_hosts = list_hosts,
	    .capacity_owner = capacity_owner,
	    .on_announced = on_announced,
	    .on_gone = on_gone,
	    .on_load = on_load,
	    .context = host};

	assert_int_equal(upstream_directory_init(&host->directory, &settings,
			     fake_net_timers(host->net, host->id),
			     (uint64_t)host->id * 100 + host->incarnation,
			     fake_net_port(host->net, host->id), ops),
	    ERROR_NONE);
}

void
host_group_start(
    struct host_group *group, uint64_t seed, const struct fake_link *link)
{
	uint32_t id;

	memset(group, 0, sizeof(*group));
	fake_net_init(&group->net, GROUP_HOSTS, seed, link);
	for (id = 1; id <= GROUP_HOSTS; id++)
		host_group_start_host(group, id);
}

void
host_group_stop(struct host_group *group)
{
	uint32_t id;

	for (id = 1; id <= GROUP_HOSTS; id++)
		host_group_kill_host(group, id);
	fake_net_finish(&group->net);
}

void
host_group_run(struct host_group *group, int64_t duration_ms)
{
	fake_net_run(&group->net, duration_ms);
}

void
host_group_start_host(struct host_group *group, uint32_t id)
{
	struct group_host *host = &group->hosts[id - 1];

	host->net = &group->net;
	host->id = id;
	host->incarnation++;
	fake_net_start(&group->net, id, 1000 * (int64_t)id,
	    (struct fake_receiver){receive, host});
	start_directory(host);
	start_membership(host);
	host->is_up = true;
}

void
host_group_kill_host(struct host_group *group, uint32_t id)
{
	struct group_host *host = &group->hosts[id - 1];

	if (!host->is_up)
		return;
	fake_net_thaw(&group->net, id);
	membership_finish(&host->membership);
	upstream_directory_finish(&host->directory);
	fake_net_kill(&group->net, id);
	host->is_up = false;
}

bool
host_group_is_running(const struct host_group *group, uint32_t id)
{
	return group->hosts[id - 1].is_up &&
	       !group->net.hosts[id - 1].is_frozen;
}

void
host_group_inject_fault(struct host_group *group, struct random_source *random)
{
	struct fake_net *net = &group->net;
	uint32_t host, other;

	host = 1 + random_below(random, GROUP_HOSTS);
	other = 1 + random_below(random, GROUP_HOSTS);
	switch (random_below(random, 8)) {
	case 0:
		host_group_kill_host(group, host);
		break;
	case 1:
		host_group_kill_host(group, host);
		host_group_start_host(group, host);
		break;
	case 2:
		if (group->hosts[host - 1].is_up)
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
		fake_net_set_links(net, &group_bad_link);
		break;
	default:
		fake_net_heal(net);
		break;
	}
}

void
host_group_heal(struct host_group *group)
{
	uint32_t id;

	for (id = 1; id <= GROUP_HOSTS; id++) {
		if (!group->hosts[id - 1].is_up)
			host_group_start_host(group, id);
		fake_net_thaw(&group->net, id);
	}
	fake_net_heal(&group->net);
	fake_net_set_links(&group->net, &group_good_link);
}

bool
host_group_agrees(const struct host_group *group)
{
	const struct host_record *record;
	uint32_t id, other;

	for (id = 1; id <= GROUP_HOSTS; id++) {
		for (other = 1;
		     group->hosts[id - 1].is_up && other <= GROUP_HOSTS;
		     other++) {
			record = membership_find(
			    &group->hosts[id - 1].membership, other);
			if (group->hosts[other - 1].is_up !=
			    (record != NULL &&
				record->state == HOST_STATE_ALIVE))
				return false;
		}
	}
	return true;
}
