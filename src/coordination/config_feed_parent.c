#include "coordination/config_feed_parts.h"

#include <string.h>

#include <xxhash.h>

#include "config.h"
#include "coordination/rendezvous.h"

/* A silent child without a lease is kept for this many lease durations. */
#define CHILD_RETENTION_LEASES 2
/* Requests without progress after which a child gets a snapshot. A child of an
 * earlier build can't read an entry of a kind that was added later, but skips
 * what it doesn't know of a snapshot. */
#define IDLE_REQUESTS_MAX 3
/* Key by which all hosts rank the relays alike: "relay" in ASCII. */
#define RELAY_RANKING_KEY UINT64_C(0x72656c6179)

static struct feed_child *find_or_add_child(struct config_feed *feed,
    uint32_t from_host, const struct feed_message *request);
static void record_request(struct config_feed *feed, struct feed_child *child,
    const struct feed_message *request);
static void send_lease(struct config_feed *feed, struct feed_child *child,
    const struct feed_message *request);
static void send_entries(struct config_feed *feed, struct feed_child *child);
static void send_new_snapshot(
    struct config_feed *feed, struct feed_child *child);
static void record_push(
    struct config_feed *feed, struct feed_child *child, uint64_t index);
static bool is_push_pending(
    const struct config_feed *feed, const struct feed_child *child);
static void send_snapshot(struct config_feed *feed,
    const struct feed_child *child, uint64_t index, uint64_t offset);
static bool prepare_snapshot(struct config_feed *feed, uint64_t after);
static uint32_t list_relays(struct config_feed *feed, const uint32_t *voters,
    uint32_t voter_count, uint32_t *hosts, uint32_t host_count);
static bool has_host(const uint32_t *hosts, uint32_t count, uint32_t host_id);
static uint32_t remove_host(uint32_t *hosts, uint32_t count, uint32_t host_id);

enum error_code
feed_serve_renewal_request(struct config_feed *feed, uint32_t from_host,
    const struct feed_message *request)
{
	struct feed_message refusal = {.type = FEED_TYPE_REFUSAL};
	struct feed_child *child;

	child = find_or_add_child(feed, from_host, request);
	if (child == NULL) {
		refusal.request_number = request->request_number;
		feed_send(feed, from_host, &refusal);
		return ERROR_TABLE_FULL;
	}
	if (request->request_number <= child->request_number)
		return ERROR_STALE;
	record_request(feed, child, request);
	send_lease(feed, child, request);
	if (request->snapshot_index != 0 && feed->outgoing_snapshot != NULL &&
	    feed->outgoing_snapshot_index == request->snapshot_index)
		send_snapshot(
		    feed, child, request->snapshot_index, request->offset);
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
feed_remove_expired_children(struct config_feed *feed)
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
		    now_ms - child->last_request_ms >
			CHILD_RETENTION_LEASES * feed->settings.lease_ms)
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
		if (child->lease_until_ms > now_ms &&
		    child->subtree_index < lowest)
			lowest = child->subtree_index;
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
 * The parent of a voter is the leader. With few hosts, the parent of every
 * other host is a voter. With more hosts, some of them are relays, chosen by a
 * stable ranking: the parent of a relay is a voter, and the parent of any other
 * host is a relay.
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

/* Returns the record of the child's process, new if necessary, or NULL if there
 * are too many children. */
static struct feed_child *
find_or_add_child(struct config_feed *feed, uint32_t from_host,
    const struct feed_message *request)
{
	const uint64_t process[] = {from_host, request->incarnation};
	uint32_t voters[VOTERS_MAX], voter_count;
	struct feed_child *child;
	uint64_t key;

	key = XXH64(process, sizeof(process), 0);
	child = g_hash_table_lookup(feed->children, &key);
	if (child != NULL)
		return child;
	feed_remove_expired_children(feed);
	/* A voter has no other parent to go to, so it is accepted beyond the
	 * maximum. */
	voter_count =
	    feed->source.voters(feed->source.context, voters, VOTERS_MAX);
	if (g_hash_table_size(feed->children) >= feed->settings.children_max &&
	    !has_host(voters, voter_count, from_host))
		return NULL;
	child = g_new0(struct feed_child, 1);
	child->key = key;
	child->incarnation = request->incarnation;
	child->host_id = from_host;
	child->lease_until_ms = INT64_MIN;
	g_hash_table_insert(feed->children, &child->key, child);
	return child;
}

static void
record_request(struct config_feed *feed, struct feed_child *child,
    const struct feed_message *request)
{
	if (request->applied_index != child->applied_index)
		child->idle_requests = 0;
	else if (child->sent_index > child->applied_index &&
		 !is_push_pending(feed, child))
		child->idle_requests++;
	child->request_number = request->request_number;
	child->applied_index = request->applied_index;
	child->subtree_index = request->subtree_index;
	child->last_request_ms = feed_now(feed);
}

/* Replies with a lease. A child whose subtree has not applied an index that may
 * already be in force gets none: the reply then has zero remaining time. */
static void
send_lease(struct config_feed *feed, struct feed_child *child,
    const struct feed_message *request)
{
	struct feed_message lease = {.type = FEED_TYPE_LEASE};
	int64_t now_ms, remaining_ms;

	now_ms = feed_now(feed);
	remaining_ms = config_feed_lease_remaining(feed, now_ms);
	lease.request_number = request->request_number;
	lease.in_force_index = feed->in_force_index;
	if (remaining_ms > 0 &&
	    request->subtree_index >= feed->lease_floor_index) {
		if (now_ms + remaining_ms > child->lease_until_ms)
			child->lease_until_ms = now_ms + remaining_ms;
		/* The child's clock may be slower than this host's clock. */
		remaining_ms -= remaining_ms / FEED_CLOCK_DRIFT_DIVISOR;
		lease.remaining_ms = (uint64_t)remaining_ms;
	}
	feed_send(feed, child->host_id, &lease);
}

/* Sends a child the entries after the last one that it has applied, or the
 * first piece of a snapshot if those entries have been compacted or the child
 * can't apply them. While entries sent before are on their way to the child or
 * being applied, it sends none. */
static void
send_entries(struct config_feed *feed, struct feed_child *child)
{
	struct feed_message message = {.type = FEED_TYPE_ENTRIES};
	enum error_code error;
	GByteArray *bytes;

	if (child->applied_index >=
		feed->source.applied_index(feed->source.context) ||
	    is_push_pending(feed, child))
		return;
	if (child->idle_requests >= IDLE_REQUESTS_MAX) {
		send_new_snapshot(feed, child);
		return;
	}
	bytes = g_byte_array_new();
	message.first_index = child->applied_index + 1;
	error =
	    feed->source.read_entries(feed->source.context, message.first_index,
		feed->settings.push_bytes_max, bytes, &message.last_index);
	if (error == ERROR_NONE && message.last_index >= message.first_index) {
		message.bytes = bytes->data;
		message.size = bytes->len;
		feed_send(feed, child->host_id, &message);
		record_push(feed, child, message.last_index);
	} else if (error == ERROR_NOT_FOUND) {
		send_new_snapshot(feed, child);
	}
	g_byte_array_unref(bytes);
}

/* Sends the first piece of a snapshot that is newer than what the child has
 * applied. */
static void
send_new_snapshot(struct config_feed *feed, struct feed_child *child)
{
	if (!prepare_snapshot(feed, child->applied_index))
		return;
	send_snapshot(feed, child, feed->outgoing_snapshot_index, 0);
	record_push(feed, child, feed->outgoing_snapshot_index);
}

void
feed_repeat_push(struct config_feed *feed, uint32_t host_id)
{
	struct feed_child *child;
	GHashTableIter iterator;

	g_hash_table_iter_init(&iterator, feed->children);
	while (g_hash_table_iter_next(&iterator, NULL, (gpointer *)&child)) {
		if (child->host_id != host_id)
			continue;
		child->sent_index = child->applied_index;
		send_entries(feed, child);
	}
}

static void
record_push(struct config_feed *feed, struct feed_child *child, uint64_t index)
{
	child->sent_index = index;
	child->sent_ms = feed_now(feed);
}

/* True if the child has not reported the entries last sent as applied. After a
 * renewal interval they count as lost. */
static bool
is_push_pending(const struct config_feed *feed, const struct feed_child *child)
{
	return child->sent_index > child->applied_index &&
	       feed_now(feed) - child->sent_ms <
		   feed->settings.renewal_interval_ms;
}

/* Sends the piece of the outgoing snapshot that starts at @p offset. */
static void
send_snapshot(struct config_feed *feed, const struct feed_child *child,
    uint64_t index, uint64_t offset)
{
	struct feed_message message = {.type = FEED_TYPE_SNAPSHOT};

	if (offset > feed->outgoing_snapshot->len)
		return;
	message.last_index = index;
	message.offset = offset;
	message.total_size = feed->outgoing_snapshot->len;
	message.bytes = feed->outgoing_snapshot->data + offset;
	message.size = feed->outgoing_snapshot->len - offset;
	if (message.size > FEED_CHUNK_SIZE)
		message.size = FEED_CHUNK_SIZE;
	feed_send(feed, child->host_id, &message);
}

/* Makes a snapshot available for the children that goes beyond entry @p after.
 * An existing snapshot is reused for all of them while the log still holds the
 * entry after it. Returns false if no snapshot could be read. */
static bool
prepare_snapshot(struct config_feed *feed, uint64_t after)
{
	GByteArray *bytes;
	uint64_t last;
	bool is_usable;

	if (feed->outgoing_snapshot != NULL) {
		bytes = g_byte_array_new();
		is_usable = feed->outgoing_snapshot_index > after &&
			    feed->source.read_entries(feed->source.context,
				feed->outgoing_snapshot_index + 1, 1, bytes,
				&last) == ERROR_NONE;
		g_byte_array_unref(bytes);
		if (is_usable)
			return true;
		g_byte_array_unref(feed->outgoing_snapshot);
	}
	feed->outgoing_snapshot = g_byte_array_new();
	if (feed->source.read_snapshot(feed->source.context,
		feed->outgoing_snapshot,
		&feed->outgoing_snapshot_index) == ERROR_NONE)
		return true;
	g_byte_array_unref(feed->outgoing_snapshot);
	feed->outgoing_snapshot = NULL;
	return false;
}

/* Reduces @p hosts in place to the relays among them; returns their number. */
static uint32_t
list_relays(struct config_feed *feed, const uint32_t *voters,
    uint32_t voter_count, uint32_t *hosts, uint32_t host_count)
{
	uint32_t i, relays;

	for (i = 0; i < voter_count; i++)
		host_count = remove_host(hosts, host_count, voters[i]);
	relays = voter_count * feed->settings.fan_out;
	rendezvous_sort(RELAY_RANKING_KEY, hosts, host_count);
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
remove_host(uint32_t *hosts, uint32_t count, uint32_t host_id)
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
