#include "feed_group.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define CHECK_INTERVAL_MS 10  /* Time between checks of the invariant. */
#define HEARTBEAT_MS	  100 /* Interval of the simulated heartbeats. */
#define ELECTION_ROUNDS	  8   /* Rounds without a quorum until an election. */
#define ENTRIES_KEPT	  20  /* Older entries exist only in a snapshot. */
#define RENEWALS	  5   /* Renewals in a lease. */

static bool is_leader(void *context);
static uint64_t term(void *context);
static uint32_t leader_id(void *context);
static uint32_t voters(void *context, uint32_t *host_ids, uint32_t max);
static int64_t confirmed_ms(void *context);
static uint64_t applied_index(void *context);
static enum error_code read_entries(void *context, uint64_t from, size_t max,
    GByteArray *bytes, uint64_t *last);
static enum error_code read_snapshot(
    void *context, GByteArray *bytes, uint64_t *index);
static enum error_code apply_entries(void *context, uint64_t from,
    uint64_t last, const void *bytes, size_t size);
static enum error_code install_snapshot(
    void *context, uint64_t index, const void *bytes, size_t size);
static uint32_t list_hosts(void *context, uint32_t *host_ids, uint32_t max);
static void on_lease_lost(void *context);
static void on_lease_regained(void *context);
static void receive(void *context, uint32_t from_host,
    enum peer_channel channel, const void *body, size_t size);
static bool is_awake(const struct feed_group *group, uint32_t id);
static bool is_connected(
    struct feed_group *group, uint32_t left, uint32_t right);
static bool has_quorum(struct feed_group *group, uint32_t id);
static void elect_leader(struct feed_group *group);
static void run_round(struct feed_group *group);
static void check_invariant(struct feed_group *group);

void
feed_group_start_of(struct feed_group *group, uint32_t voter_count,
    uint32_t fan_out, int64_t lease_ms, uint64_t seed,
    const struct fake_link *link)
{
	uint32_t id;

	memset(group, 0, sizeof(*group));
	group->voter_count = voter_count;
	group->fan_out = fan_out;
	group->lease_ms = lease_ms;
	fake_net_init(&group->net, HOSTS, seed, link);
	group->snapshot_size = 10;
	for (id = 1; id <= HOSTS; id++) {
		group->nodes[id - 1].group = group;
		group->nodes[id - 1].id = id;
		feed_group_start_node(&group->nodes[id - 1]);
	}
	elect_leader(group);
}

void
feed_group_start(
    struct feed_group *group, uint64_t seed, const struct fake_link *link)
{
	feed_group_start_of(group, VOTERS, FAN_OUT, LEASE_MS, seed, link);
}

void
feed_group_stop(struct feed_group *group)
{
	uint32_t id;

	for (id = 1; id <= HOSTS; id++)
		feed_group_kill_node(&group->nodes[id - 1]);
	fake_net_finish(&group->net);
}

void
feed_group_start_node(struct feed_node *node)
{
	struct config_feed_settings settings = {.host_id = node->id,
	    .incarnation = ++node->incarnation,
	    .lease_ms = node->group->lease_ms,
	    .renewal_interval_ms = node->group->lease_ms / RENEWALS,
	    .fan_out = node->group->fan_out};
	struct config_feed_source source = {is_leader, term, leader_id, voters,
	    confirmed_ms, applied_index, read_entries, read_snapshot, node};
	struct config_feed_sink sink = {apply_entries, install_snapshot, node};
	struct config_feed_ops ops = {.list_hosts = list_hosts,
	    .on_lease_lost = on_lease_lost,
	    .on_lease_regained = on_lease_regained,
	    .context = node};

	if (node->id <= node->group->voter_count)
		memset(&sink, 0, sizeof(sink));
	else
		node->applied = 0;
	node->is_leading = node->has_lease = false;
	node->confirmed_ms = INT64_MIN;
	fake_net_start(&node->group->net, node->id, 1000 * (int64_t)node->id,
	    (struct fake_receiver){receive, node});
	assert_int_equal(
	    config_feed_init(&node->feed, &settings,
		fake_net_timers(&node->group->net, node->id),
		node->id + 100 * node->incarnation,
		fake_net_port(&node->group->net, node->id), source, sink, ops),
	    ERROR_NONE);
	node->is_running = true;
}

void
feed_group_kill_node(struct feed_node *node)
{
	if (!node->is_running)
		return;
	fake_net_thaw(&node->group->net, node->id);
	config_feed_finish(&node->feed);
	fake_net_kill(&node->group->net, node->id);
	node->is_running = false;
}

void
feed_group_run(struct feed_group *group, int64_t duration_ms)
{
	for (; duration_ms > 0; duration_ms -= CHECK_INTERVAL_MS) {
		fake_net_run(&group->net, CHECK_INTERVAL_MS);
		if (fake_net_now(&group->net) >= group->next_round_ms) {
			group->next_round_ms += HEARTBEAT_MS;
			run_round(group);
		}
		check_invariant(group);
	}
}

void
feed_group_commit_change(struct feed_group *group)
{
	struct feed_node *leader = &group->nodes[group->leader - 1];

	if (!is_awake(group, group->leader) || !leader->is_leading ||
	    !has_quorum(group, group->leader))
		return;
	leader->applied = ++group->committed;
	config_feed_on_applied(&leader->feed);
}

uint32_t
feed_group_count_leases(struct feed_group *group)
{
	uint32_t id, count;

	count = 0;
	for (id = 1; id <= HOSTS; id++) {
		if (is_awake(group, id) && group->nodes[id - 1].has_lease)
			count++;
	}
	return count;
}

static bool
is_leader(void *context)
{
	return ((struct feed_node *)context)->is_leading;
}

static uint64_t
term(void *context)
{
	return ((struct feed_node *)context)->term;
}

static uint32_t
leader_id(void *context)
{
	return ((struct feed_node *)context)->group->leader;
}

static uint32_t
voters(void *context, uint32_t *host_ids, uint32_t max)
{
	const struct feed_node *node = context;
	uint32_t i;

	for (i = 0; i < node->group->voter_count && i < max; i++)
		host_ids[i] = i + 1;
	return i;
}

static int64_t
confirmed_ms(void *context)
{
	return ((struct feed_node *)context)->confirmed_ms;
}

static uint64_t
applied_index(void *context)
{
	return ((struct feed_node *)context)->applied;
}

static enum error_code
read_entries(
    void *context, uint64_t from, size_t max, GByteArray *bytes, uint64_t *last)
{
	struct feed_node *node = context;
	guint8 entry;

	(void)max;
	if (from + ENTRIES_KEPT <= node->applied)
		return ERROR_NOT_FOUND;
	for (*last = from; *last <= node->applied; (*last)++) {
		entry = (guint8)*last;
		g_byte_array_append(bytes, &entry, 1);
	}
	(*last)--;
	return ERROR_NONE;
}

static enum error_code
read_snapshot(void *context, GByteArray *bytes, uint64_t *index)
{
	struct feed_node *node = context;

	*index = node->applied;
	g_byte_array_set_size(bytes, (guint)node->group->snapshot_size);
	memset(bytes->data, (int)(*index % 251), bytes->len);
	return ERROR_NONE;
}

static enum error_code
apply_entries(
    void *context, uint64_t from, uint64_t last, const void *bytes, size_t size)
{
	struct feed_node *node = context;

	assert_true(from <= node->applied + 1);
	assert_int_equal(size, last - from + 1);
	assert_int_equal(((const guint8 *)bytes)[size - 1], (guint8)last);
	if (node->unknown_entry > node->applied &&
	    node->unknown_entry <= last) {
		node->applied = node->unknown_entry - 1;
		return ERROR_NOT_SUPPORTED;
	}
	node->applied = last;
	return ERROR_NONE;
}

static enum error_code
install_snapshot(void *context, uint64_t index, const void *bytes, size_t size)
{
	struct feed_node *node = context;
	size_t i;

	assert_int_equal(size, node->group->snapshot_size);
	for (i = 0; i < size; i += 1000)
		assert_int_equal(
		    ((const guint8 *)bytes)[i], (guint8)(index % 251));
	node->applied = index;
	node->snapshot_count++;
	return ERROR_NONE;
}

static uint32_t
list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	struct feed_node *node = context;
	uint32_t id, count;

	count = 0;
	for (id = 1; id <= HOSTS && count < max; id++) {
		if (id != node->id && node->group->nodes[id - 1].is_running)
			host_ids[count++] = id;
	}
	return count;
}

static void
on_lease_lost(void *context)
{
	((struct feed_node *)context)->has_lease = false;
}

static void
on_lease_regained(void *context)
{
	((struct feed_node *)context)->has_lease = true;
}

static void
receive(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct feed_node *node = context;
	enum error_code error;

	(void)channel;
	error = config_feed_receive(&node->feed, from_host, body, size);
	assert_true(error == ERROR_NONE || error == ERROR_STALE ||
		    error == ERROR_TABLE_FULL ||
		    (error == ERROR_NOT_SUPPORTED && node->unknown_entry != 0));
}

static bool
is_awake(const struct feed_group *group, uint32_t id)
{
	return group->nodes[id - 1].is_running &&
	       !group->net.hosts[id - 1].is_frozen;
}

static bool
is_connected(struct feed_group *group, uint32_t left, uint32_t right)
{
	return is_awake(group, left) && is_awake(group, right) &&
	       !fake_net_link(&group->net, left, right)->is_cut &&
	       !fake_net_link(&group->net, right, left)->is_cut;
}

/* Whether voter @p id reaches so many voters that they are a quorum. */
static bool
has_quorum(struct feed_group *group, uint32_t id)
{
	uint32_t other, reached;

	reached = 1;
	for (other = 1; other <= group->voter_count; other++) {
		if (other != id && is_connected(group, id, other))
			reached++;
	}
	return reached > group->voter_count / 2;
}

static void
elect_leader(struct feed_group *group)
{
	struct feed_node *node;
	uint32_t id;

	for (id = 1; id <= group->voter_count; id++) {
		node = &group->nodes[id - 1];
		if (id == group->leader || !has_quorum(group, id))
			continue;
		group->leader = id;
		group->rounds_without_quorum = 0;
		/* A new leader appends an entry after all committed ones. */
		node->term = ++group->term;
		node->applied = ++group->committed;
		node->is_leading = true;
		node->confirmed_ms = INT64_MIN;
		node->round_ms = timer_now(node->feed.timers);
		config_feed_on_leader_changed(&node->feed);
		config_feed_on_applied(&node->feed);
		return;
	}
}

/* One round of heartbeats. It confirms that the leader led at the start of the
 * round before. */
static void
run_round(struct feed_group *group)
{
	struct feed_node *leader = &group->nodes[group->leader - 1], *node;
	uint32_t id;

	if (!is_awake(group, group->leader) || !leader->is_leading ||
	    !has_quorum(group, group->leader)) {
		if (++group->rounds_without_quorum >= ELECTION_ROUNDS)
			elect_leader(group);
		return;
	}
	group->rounds_without_quorum = 0;
	leader->confirmed_ms = leader->round_ms;
	leader->round_ms = timer_now(leader->feed.timers);
	for (id = 1; id <= group->voter_count; id++) {
		node = &group->nodes[id - 1];
		if (id == group->leader ||
		    !is_connected(group, id, group->leader))
			continue;
		node->is_leading = false;
		node->term = group->term;
		node->applied = group->committed;
		config_feed_on_applied(&node->feed);
	}
}

/* A host that holds a lease has every change that any host reported as in
 * force. */
static void
check_invariant(struct feed_group *group)
{
	struct feed_node *node;
	uint64_t index;
	uint32_t id;

	for (id = 1; id <= HOSTS; id++) {
		node = &group->nodes[id - 1];
		if (!is_awake(group, id))
			continue;
		index = config_feed_in_force_index(&node->feed);
		if (index > group->max_in_force)
			group->max_in_force = index;
	}
	for (id = 1; id <= HOSTS; id++) {
		node = &group->nodes[id - 1];
		if (node->is_running && node->applied < group->max_in_force &&
		    config_feed_lease_remaining(
			&node->feed, timer_now(node->feed.timers)) > 0)
			fail_msg("host %u holds a lease at %llu of %llu", id,
			    (unsigned long long)node->applied,
			    (unsigned long long)group->max_in_force);
	}
}
