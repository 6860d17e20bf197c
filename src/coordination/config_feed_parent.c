#include "coordination/config_feed_parts.h"

#include <string.h>

#include <xxhash.h>

#include "config.h"
#include "coordination/rendezvous.h"

#define CHILD_KEPT_LEASES 2 /* A child that is silent is kept so long. */
#define RELAY_KEY	  UINT64_C(0x72656c6179) /* Ranks relays. */

static struct feed_child *find_child(struct config_feed *feed,
    uint32_t from_host, const struct feed_message *ask);
static void give_lease(struct config_feed *feed, struct feed_child *child,
    const struct feed_message *ask);
static void send_entries(struct config_feed *feed, struct feed_child *child);
static void send_snapshot(struct config_feed *feed,
    const struct feed_child *child, uint64_t index, uint64_t offset);
static bool prepare_snapshot(struct config_feed *feed);
static uint32_t list_relays(struct config_feed *feed, const uint32_t *voters,
    uint32_t voter_count, uint32_t *hosts, uint32_t host_count);
static bool has_host(const uint32_t *hosts, uint32_t count, uint32_t host_id);
static uint32_t drop_host(uint32_t *hosts, uint32_t count, uint32_t host_id);

enum error_code
feed_serve_ask(struct config_feed *feed, uint32_t from_host,
    const struct feed_message *ask)
{
	struct feed_message refusal = {.type = FEED_TYPE_REFUSE};
	struct feed_child *child;

	child = find_child(feed, from_host, ask);
	if (child == NULL) {
		refusal.number = ask->number;
		feed_send(feed, from_host, &refusal);
		return ERROR_TABLE_FULL;
	}
	if (ask->number <= child->ask_number)
		return ERROR_STALE;
	child->ask_number = ask->number;
	child->applied = ask->applied;
	child->subtree = ask->subtree;
	child->heard_ms = feed_now(feed);
	/* What was pushed and is not there was lost, or is on its way. */
	child->sent = ask->applied;
	give_lease(feed, child, ask);
	if (ask->snapshot_index != 0 && feed->snapshot_out != NULL &&
	    feed->snapshot_out_index == ask->snapshot_index)
		send_snapshot(feed, child, ask->snapshot_index, ask->offset);
	else
		send_entries(feed, child);
	return ERROR_NONE;
}

void
feed_push_entries(struct config_feed *feed)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, feed->children);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		send_entries(feed, value);
}

void
feed_drop_children(struct config_feed *feed)
{
	const struct feed_child *child;
	GHashTableIter iterator;
	gpointer value;
	int64_t now_ms;

	now_ms = feed_now(feed);
	g_hash_table_iter_init(&iterator, feed->children);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		child = value;
		if (child->lease_until_ms <= now_ms &&
		    now_ms - child->heard_ms >
			CHILD_KEPT_LEASES * feed->settings.lease_ms)
			g_hash_table_iter_remove(&iterator);
	}
}

uint64_t
feed_subtree_index(const struct config_feed *feed)
{
	const struct feed_child *child;
	GHashTableIter iterator;
	uint64_t lowest;
	gpointer value;
	int64_t now_ms;

	now_ms = feed_now(feed);
	lowest = feed->source.applied_index(feed->source.context);
	g_hash_table_iter_init(&iterator, feed->children);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		child = value;
		if (child->lease_until_ms > now_ms && child->subtree < lowest)
			lowest = child->subtree;
	}
	return lowest;
}

int64_t
feed_leader_lease_end(const struct config_feed *feed)
{
	int64_t confirmed_ms;

	if (!feed->source.is_leader(feed->source.context))
		return INT64_MIN;
	confirmed_ms = feed->source.confirmed_ms(feed->source.context);
	if (confirmed_ms == INT64_MIN)
		return INT64_MIN;
	return confirmed_ms + feed->settings.lease_ms;
}

/*
 * Voters ask the leader. While hosts are few all others ask a voter; else a
 * fixed choice of them are relays, which ask a voter, and the rest ask those.
 */
uint32_t
feed_rank_parents(struct config_feed *feed, uint32_t ranking[HOSTS_MAX])
{
	uint32_t voters[VOTERS_MAX], voter_count, count, self, leader;
	void *context = feed->source.context;

	self = feed->settings.host_id;
	if (feed->source.is_leader(context))
		return 0;
	voter_count = feed->source.voters(context, voters, VOTERS_MAX);
	leader = feed->source.leader_id(context);
	if (has_host(voters, voter_count, self)) {
		ranking[0] = leader;
		return leader == 0 || leader == self ? 0 : 1;
	}
	count = feed->ops.list_hosts(feed->ops.context, ranking, HOSTS_MAX - 1);
	ranking[count++] = self;
	if (count > voter_count * (feed->settings.fan_out + 1)) {
		count = list_relays(feed, voters, voter_count, ranking, count);
		if (!has_host(ranking, count, self)) {
			rendezvous_sort(self, ranking, count);
			return count;
		}
	}
	memcpy(ranking, voters, voter_count * sizeof(voters[0]));
	rendezvous_sort(self, ranking, voter_count);
	return voter_count;
}

static struct feed_child *
find_child(struct config_feed *feed, uint32_t from_host,
    const struct feed_message *ask)
{
	const uint64_t process[] = {from_host, ask->incarnation};
	uint32_t voters[VOTERS_MAX], voter_count;
	struct feed_child *child;
	uint64_t key;

	key = XXH64(process, sizeof(process), 0);
	child = g_hash_table_lookup(feed->children, &key);
	if (child != NULL)
		return child;
	feed_drop_children(feed);
	/* Voters can ask nobody else, so they are taken above the bound. */
	voter_count =
	    feed->source.voters(feed->source.context, voters, VOTERS_MAX);
	if (g_hash_table_size(feed->children) >= feed->settings.children_max &&
	    !has_host(voters, voter_count, from_host))
		return NULL;
	child = g_new0(struct feed_child, 1);
	child->key = key;
	child->incarnation = ask->incarnation;
	child->host_id = from_host;
	child->lease_until_ms = INT64_MIN;
	g_hash_table_insert(feed->children, &child->key, child);
	return child;
}

/* Whoever is behind what may be in force already gets no lease. */
static void
give_lease(struct config_feed *feed, struct feed_child *child,
    const struct feed_message *ask)
{
	struct feed_message lease = {.type = FEED_TYPE_LEASE};
	int64_t now_ms, remaining_ms;

	now_ms = feed_now(feed);
	remaining_ms = config_feed_lease_remaining(feed, now_ms);
	lease.number = ask->number;
	lease.in_force = feed->in_force_index;
	if (remaining_ms > 0 && ask->subtree >= feed->floor_index) {
		if (now_ms + remaining_ms > child->lease_until_ms)
			child->lease_until_ms = now_ms + remaining_ms;
		/* The child's clock may run slower than this one. */
		remaining_ms -= remaining_ms / FEED_DRIFT_DIVISOR;
		lease.remaining_ms = (uint64_t)remaining_ms;
	}
	feed_send(feed, child->host_id, &lease);
}

static void
send_entries(struct config_feed *feed, struct feed_child *child)
{
	struct feed_message message = {.type = FEED_TYPE_ENTRIES};
	enum error_code error;
	GByteArray *bytes;

	if (child->sent >= feed->source.applied_index(feed->source.context))
		return;
	bytes = g_byte_array_new();
	message.first = child->sent + 1;
	error = feed->source.read_entries(feed->source.context, message.first,
	    feed->settings.push_bytes_max, bytes, &message.last);
	if (error == ERROR_NONE && message.last >= message.first) {
		message.bytes = bytes->data;
		message.size = bytes->len;
		feed_send(feed, child->host_id, &message);
		child->sent = message.last;
	} else if (error == ERROR_NOT_FOUND && prepare_snapshot(feed)) {
		send_snapshot(feed, child, feed->snapshot_out_index, 0);
	}
	g_byte_array_unref(bytes);
}

static void
send_snapshot(struct config_feed *feed, const struct feed_child *child,
    uint64_t index, uint64_t offset)
{
	struct feed_message message = {.type = FEED_TYPE_SNAPSHOT};

	if (offset > feed->snapshot_out->len)
		return;
	message.last = index;
	message.offset = offset;
	message.total = feed->snapshot_out->len;
	message.bytes = feed->snapshot_out->data + offset;
	message.size = feed->snapshot_out->len - offset;
	if (message.size > FEED_CHUNK_SIZE)
		message.size = FEED_CHUNK_SIZE;
	feed_send(feed, child->host_id, &message);
}

/* One that is still followed by entries serves all children alike. */
static bool
prepare_snapshot(struct config_feed *feed)
{
	GByteArray *bytes;
	uint64_t last;
	bool is_usable;

	if (feed->snapshot_out != NULL) {
		bytes = g_byte_array_new();
		is_usable = feed->source.read_entries(feed->source.context,
				feed->snapshot_out_index + 1, 1, bytes,
				&last) == ERROR_NONE;
		g_byte_array_unref(bytes);
		if (is_usable)
			return true;
		g_byte_array_unref(feed->snapshot_out);
	}
	feed->snapshot_out = g_byte_array_new();
	if (feed->source.read_snapshot(feed->source.context, feed->snapshot_out,
		&feed->snapshot_out_index) == ERROR_NONE)
		return true;
	g_byte_array_unref(feed->snapshot_out);
	feed->snapshot_out = NULL;
	return false;
}

/* Keeps the relays among @p hosts, in place. */
static uint32_t
list_relays(struct config_feed *feed, const uint32_t *voters,
    uint32_t voter_count, uint32_t *hosts, uint32_t host_count)
{
	uint32_t i, relays;

	for (i = 0; i < voter_count; i++)
		host_count = drop_host(hosts, host_count, voters[i]);
	relays = voter_count * feed->settings.fan_out;
	rendezvous_sort(RELAY_KEY, hosts, host_count);
	return relays < host_count ? relays : host_count;
}

static bool
has_host(const uint32_t *hosts, uint32_t count, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (hosts[i] == host_id)
			return true;
	}
	return false;
}

static uint32_t
drop_host(uint32_t *hosts, uint32_t count, uint32_t host_id)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (hosts[i] == host_id) {
			hosts[i] = hosts[count - 1];
			return count - 1;
		}
	}
	return count;
}
