#include "gossip_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <glib.h>
#include <xxhash.h>

#include <cmocka.h>

#define FIRST_TYPE 40
#define ITEMS_MAX  1000
#define WARM_UP_MS 1000
#define STEP_MS	   50
/* Time between two digests of an earlier host. */
#define EARLIER_DIGEST_MS 5000
/* What the hashes of a later host differ by from those of an earlier one, in
 * place of what its function would give there. */
#define OTHER_HASH UINT32_C(0x5bd1e995)

static void start_host(struct gossip_fleet_host *host, uint64_t seed);
static enum error_code apply(void *context, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
static uint32_t list_hosts(void *context, uint32_t *host_ids, uint32_t max);
static bool is_final(const struct gossip_version *version);
static void send_bytes(void *context, uint32_t host_id,
    enum peer_channel channel, const void *body, size_t size);
static bool send_digest_to_other_build(const struct gossip_fleet_host *host,
    uint32_t host_id, const struct message_reader *reader);
static void hash_earlier(
    const struct gossip *map, uint32_t hashes[GOSSIP_BUCKET_COUNT]);
static void receive(void *context, uint32_t from_host,
    enum peer_channel channel, const void *body, size_t size);
static void send_due_digests(struct gossip_fleet *fleet);

struct gossip_fleet *
gossip_fleet_start(
    uint32_t host_count, uint32_t earlier_twelfths, uint64_t seed, double loss)
{
	const struct fake_link link = {
	    .delay_min_ms = 1, .delay_max_ms = 3, .loss = loss};
	struct gossip_fleet *fleet;
	struct gossip_fleet_host *host;
	uint32_t id;

	fleet = g_new0(struct gossip_fleet, 1);
	fleet->host_count = host_count;
	fake_net_init(&fleet->net, host_count, seed, &link);
	for (id = 1; id <= host_count; id++) {
		host = &fleet->hosts[id - 1];
		host->fleet = fleet;
		host->id = id;
		host->is_earlier = id % 12 < earlier_twelfths;
		start_host(host, seed);
	}
	gossip_fleet_run(fleet, WARM_UP_MS);
	return fleet;
}

void
gossip_fleet_stop(struct gossip_fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++)
		gossip_finish(&fleet->hosts[i].map);
	fake_net_finish(&fleet->net);
	g_free(fleet);
}

void
gossip_fleet_run(struct gossip_fleet *fleet, int64_t duration_ms)
{
	int64_t step_ms;

	for (; duration_ms > 0; duration_ms -= step_ms) {
		step_ms = MIN(duration_ms, STEP_MS);
		fake_net_run(&fleet->net, step_ms);
		send_due_digests(fleet);
	}
}

void
gossip_fleet_put(struct gossip_fleet *fleet, uint32_t index, uint64_t key,
    uint64_t major, uint64_t minor)
{
	const struct gossip_version version = {major, minor, 0, 0};

	assert_int_equal(gossip_put(&fleet->hosts[index].map, key, &version,
			     "state", sizeof("state")),
	    ERROR_NONE);
}

struct gossip_fleet_behind
gossip_fleet_behind(
    const struct gossip_fleet *fleet, uint64_t count, uint64_t major)
{
	struct gossip_fleet_behind behind = {0};
	const struct gossip_version *version;
	const struct gossip_fleet_host *host;
	uint32_t i;
	uint64_t key;

	for (i = 0; i < fleet->host_count; i++) {
		host = &fleet->hosts[i];
		for (key = 1; key <= count; key++) {
			version = gossip_version_of(&host->map, key);
			if (version != NULL && version->major >= major)
				continue;
			if (host->is_earlier)
				behind.earlier++;
			else
				behind.later++;
			break;
		}
	}
	return behind;
}

uint64_t
gossip_fleet_bytes_per_s(struct gossip_fleet *fleet, int64_t seconds)
{
	uint64_t before[GOSSIP_FLEET_MAX] = {0}, most = 0;
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++)
		before[i] = fleet->net.hosts[i].sent_bytes;
	gossip_fleet_run(fleet, seconds * 1000);
	for (i = 0; i < fleet->host_count; i++)
		most = MAX(most, fleet->net.hosts[i].sent_bytes - before[i]);
	return most / (uint64_t)seconds;
}

static void
start_host(struct gossip_fleet_host *host, uint64_t seed)
{
	const struct gossip_settings settings = {.first_type = FIRST_TYPE,
	    .items_max = ITEMS_MAX,
	    /* Earlier hosts don't compare checksums. */
	    .check_interval_ms = host->is_earlier ? INT32_MAX : 0};
	struct fake_net *net = &host->fleet->net;

	host->port = fake_net_port(net, host->id);
	random_init(&host->random, seed + host->id);
	host->next_digest_ms =
	    WARM_UP_MS + random_below(&host->random, EARLIER_DIGEST_MS);
	fake_net_start(net, host->id, 0, (struct fake_receiver){receive, host});
	assert_int_equal(
	    gossip_init(&host->map, &settings, fake_net_timers(net, host->id),
		seed * 1000 + host->id, (struct peer_port){send_bytes, host},
		(struct gossip_ops){apply, list_hosts, is_final, host}),
	    ERROR_NONE);
}

static enum error_code
apply(void *context, uint64_t key, const struct gossip_version *version,
    const void *body, size_t size)
{
	(void)context;
	(void)key;
	(void)version;
	(void)body;
	(void)size;
	return ERROR_NONE;
}

static uint32_t
list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	const struct gossip_fleet_host *host = context;
	uint32_t id, count;

	count = 0;
	for (id = 1; id <= host->fleet->host_count && count < max; id++) {
		if (id != host->id)
			host_ids[count++] = id;
	}
	return count;
}

/* Hosts forget items of an odd version at times of their own. */
static bool
is_final(const struct gossip_version *version)
{
	return version->minor % 2 != 0;
}

static void
send_bytes(void *context, uint32_t host_id, enum peer_channel channel,
    const void *body, size_t size)
{
	const struct gossip_fleet_host *host = context;
	const struct gossip_fleet_host *other;
	struct message_reader reader;

	other = &host->fleet->hosts[host_id - 1];
	if (host->is_earlier != other->is_earlier) {
		assert_int_equal(
		    message_reader_init(&reader, body, size), ERROR_NONE);
		if (send_digest_to_other_build(host, host_id, &reader)) {
			message_reader_finish(&reader);
			return;
		}
		message_reader_finish(&reader);
	}
	host->port.send(host->port.context, host_id, channel, body, size);
}

/* Sends a digest to a host of the other build, with hashes that are of another
 * function than those there. Returns false for other messages. */
static bool
send_digest_to_other_build(const struct gossip_fleet_host *host,
    uint32_t host_id, const struct message_reader *reader)
{
	uint32_t hashes[GOSSIP_BUCKET_COUNT], type, i;
	struct message_writer writer;

	assert_int_equal(gossip_message_type(reader, &type), ERROR_NONE);
	if (type != FIRST_TYPE + GOSSIP_KIND_DIGEST)
		return false;
	assert_int_equal(gossip_digest_read(reader, hashes), ERROR_NONE);
	if (host->is_earlier)
		hash_earlier(&host->map, hashes);
	for (i = 0; i < GOSSIP_BUCKET_COUNT && !host->is_earlier; i++) {
		if (hashes[i] != 0)
			hashes[i] ^= OTHER_HASH;
	}
	message_writer_init(&writer);
	gossip_digest_write(&writer, FIRST_TYPE, hashes);
	host->port.send(host->port.context, host_id, PEER_CHANNEL_MEMBERSHIP,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
	return true;
}

/* Hashes a map as builds before 23aba6a do: 32 bits over key and version. */
static void
hash_earlier(const struct gossip *map, uint32_t hashes[GOSSIP_BUCKET_COUNT])
{
	const struct gossip_version *version;
	GHashTableIter iterator;
	gpointer key;
	uint32_t i;

	for (i = 0; i < GOSSIP_BUCKET_COUNT; i++)
		hashes[i] = 0;
	g_hash_table_iter_init(&iterator, map->items);
	while (g_hash_table_iter_next(&iterator, &key, NULL)) {
		version = gossip_version_of(map, *(const uint64_t *)key);
		const uint64_t words[] = {*(const uint64_t *)key,
		    version->major, version->minor, version->rank,
		    version->tie_break};

		hashes[XXH64(key, sizeof(uint64_t), 0) % GOSSIP_BUCKET_COUNT] ^=
		    XXH32(words, sizeof(words), 0);
	}
}

/* An earlier host refuses a checksum, as a message of an unknown kind. */
static void
receive(void *context, uint32_t from_host, enum peer_channel channel,
    const void *body, size_t size)
{
	struct gossip_fleet_host *host = context;
	struct message_reader reader;
	uint32_t type;

	(void)channel;
	assert_int_equal(message_reader_init(&reader, body, size), ERROR_NONE);
	assert_int_equal(gossip_message_type(&reader, &type), ERROR_NONE);
	message_reader_finish(&reader);
	if (host->is_earlier && type == FIRST_TYPE + GOSSIP_KIND_CHECKSUM)
		return;
	(void)gossip_receive(&host->map, from_host, body, size);
}

static void
send_due_digests(struct gossip_fleet *fleet)
{
	struct gossip_fleet_host *host;
	uint32_t i, other;

	for (i = 0; i < fleet->host_count; i++) {
		host = &fleet->hosts[i];
		if (!host->is_earlier ||
		    fake_net_now(&fleet->net) < host->next_digest_ms)
			continue;
		host->next_digest_ms += EARLIER_DIGEST_MS;
		other = random_below(&host->random, fleet->host_count - 1);
		gossip_sync_with(&host->map, other + (other >= i ? 2 : 1));
	}
}
