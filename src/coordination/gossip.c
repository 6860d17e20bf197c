#include "coordination/gossip.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "config.h"
#include "coordination/gossip_parts.h"

#define PUSH_INTERVAL_DEFAULT_MS  200
#define CHECK_INTERVAL_DEFAULT_MS 400
#define FAN_OUT_DEFAULT		  4 /* Hosts that a round pushes to. */
#define PUSH_BYTES_DEFAULT	  1200
/* A push queue longer than this counts as a burst of changes. */
#define BURST_THRESHOLD_ITEMS 16
/* In a burst a push may be larger than push_bytes_max by this factor. */
#define BURST_PUSH_FACTOR 8
/* Pushes of a change in addition to log2 of the number of hosts. */
#define EXTRA_PUSHES 5
/* Largest number of checks left out in a row. */
#define CHECK_PAUSE_MAX 15

static void run_round(void *context);
static void run_check(void *context);
static void push_changes(struct gossip *gossip);
static uint32_t next_host(struct gossip *gossip, struct gossip_cycle *cycle);
static uint32_t find_push_limit(const struct gossip *gossip);
static enum error_code store_item(struct gossip *gossip, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
static void remove_item(struct gossip *gossip, struct gossip_item *item);
static void toggle_hashes(
    struct gossip *gossip, const struct gossip_item *item);
static uint64_t hash_item(const struct gossip_item *item);

enum error_code
gossip_init(struct gossip *gossip, const struct gossip_settings *settings,
    struct timer_service *timers, uint64_t seed, struct peer_port port,
    struct gossip_ops ops)
{
	enum error_code error;

	memset(gossip, 0, sizeof(*gossip));
	if (settings->items_max == 0 || ops.apply == NULL ||
	    ops.list_hosts == NULL)
		return ERROR_INVALID_ARGUMENT;
	gossip->settings = *settings;
	if (gossip->settings.push_interval_ms == 0)
		gossip->settings.push_interval_ms = PUSH_INTERVAL_DEFAULT_MS;
	if (gossip->settings.check_interval_ms == 0)
		gossip->settings.check_interval_ms = CHECK_INTERVAL_DEFAULT_MS;
	if (gossip->settings.fan_out == 0)
		gossip->settings.fan_out = FAN_OUT_DEFAULT;
	if (gossip->settings.push_bytes_max == 0)
		gossip->settings.push_bytes_max = PUSH_BYTES_DEFAULT;
	gossip->ops = ops;
	gossip->timers = timers;
	gossip->port = port;
	random_init(&gossip->random, seed);
	gossip->push_cycle.hosts = calloc(HOSTS_MAX, sizeof(uint32_t));
	gossip->check_cycle.hosts = calloc(HOSTS_MAX, sizeof(uint32_t));
	if (gossip->push_cycle.hosts == NULL ||
	    gossip->check_cycle.hosts == NULL) {
		free(gossip->push_cycle.hosts);
		free(gossip->check_cycle.hosts);
		return ERROR_NO_MEMORY;
	}
	gossip->items =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	g_queue_init(&gossip->push_queue);
	g_queue_init(&gossip->confirmations);
	error = timer_subscribe_every(timers, gossip->settings.push_interval_ms,
	    (struct timer_callback){run_round, gossip}, &gossip->round_timer);
	if (error == ERROR_NONE)
		error = timer_subscribe_every(timers,
		    gossip->settings.check_interval_ms,
		    (struct timer_callback){run_check, gossip},
		    &gossip->check_timer);
	if (error != ERROR_NONE)
		gossip_finish(gossip);
	return error;
}

void
gossip_finish(struct gossip *gossip)
{
	if (gossip->items == NULL)
		return;
	timer_cancel(gossip->timers, &gossip->round_timer);
	timer_cancel(gossip->timers, &gossip->check_timer);
	gossip_confirm_finish(gossip);
	g_queue_clear(&gossip->push_queue);
	g_hash_table_destroy(gossip->items);
	free(gossip->push_cycle.hosts);
	free(gossip->check_cycle.hosts);
	memset(gossip, 0, sizeof(*gossip));
}

enum error_code
gossip_put(struct gossip *gossip, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size)
{
	const struct gossip_item *item;

	item = gossip_find_item(gossip, key);
	if (item != NULL &&
	    gossip_version_compare(&item->version, version) >= 0)
		return ERROR_STALE;
	return store_item(gossip, key, version, body, size);
}

void
gossip_drop(struct gossip *gossip, uint64_t key)
{
	struct gossip_item *item;

	item = gossip_find_item(gossip, key);
	if (item != NULL)
		remove_item(gossip, item);
}

const struct gossip_version *
gossip_version_of(const struct gossip *gossip, uint64_t key)
{
	const struct gossip_item *item;

	item = gossip_find_item(gossip, key);
	return item == NULL ? NULL : &item->version;
}

struct gossip_item *
gossip_find_item(const struct gossip *gossip, uint64_t key)
{
	return g_hash_table_lookup(gossip->items, &key);
}

uint32_t
gossip_bucket_of(uint64_t key)
{
	return (uint32_t)(XXH64(&key, sizeof(key), 0) % GOSSIP_BUCKET_COUNT);
}

uint32_t
gossip_earlier_hash(const struct gossip_item *item)
{
	const uint64_t words[] = {item->key, item->version.major,
	    item->version.minor, item->version.rank, item->version.tie_break};

	return XXH32(words, sizeof(words), 0);
}

/* In a burst, a duplicate counts as one push, because it shows that the item is
 * spreading by itself. Otherwise all pushes are made, so that hardly any host
 * depends on the checks. */
void
gossip_record_duplicate(struct gossip *gossip, struct gossip_item *item,
    const struct gossip_version *version)
{
	if (item->push_link == NULL ||
	    gossip->push_queue.length <= BURST_THRESHOLD_ITEMS ||
	    gossip_version_compare(&item->version, version) != 0 ||
	    ++item->push_count < find_push_limit(gossip))
		return;
	g_queue_delete_link(&gossip->push_queue, item->push_link);
	item->push_link = NULL;
}

uint32_t
gossip_next_push_host(struct gossip *gossip)
{
	return next_host(gossip, &gossip->push_cycle);
}

uint32_t
gossip_count_hosts(const struct gossip *gossip)
{
	uint32_t hosts[GOSSIP_COPIES_MAX];

	return gossip->ops.list_hosts(
	    gossip->ops.context, hosts, GOSSIP_COPIES_MAX);
}

static void
run_round(void *context)
{
	struct gossip *gossip = context;

	push_changes(gossip);
	gossip_confirm_round(gossip);
	if (gossip->sync_host == 0)
		return;
	if (gossip->sync_received_items)
		gossip_sync_with(gossip, gossip->sync_host);
	else if (--gossip->sync_rounds_left == 0)
		gossip->sync_host = 0;
}

/* Compares the map with the next host. Two maps may differ for long, as hosts
 * forget items at different times; after each comparison that brings nothing
 * the pause until the next one doubles. */
static void
run_check(void *context)
{
	struct gossip *gossip = context;
	uint32_t host_id;

	if (gossip->check_pause_left > 0) {
		gossip->check_pause_left--;
		return;
	}
	if (gossip->has_differed && !gossip->has_received_items)
		gossip->check_pause =
		    MIN(2 * gossip->check_pause + 1, CHECK_PAUSE_MAX);
	else
		gossip->check_pause = 0;
	gossip->check_pause_left = gossip->check_pause;
	gossip->has_differed = false;
	gossip->has_received_items = false;
	host_id = next_host(gossip, &gossip->check_cycle);
	if (host_id != 0)
		gossip_check_with(gossip, host_id);
}

/* Pushes items from the head of the queue, where new items are added. Items
 * that need more pushes go to the end of the queue. */
static void
push_changes(struct gossip *gossip)
{
	struct gossip_item *item;
	uint32_t sent, limit, host_id;
	size_t bytes, bytes_max;
	GPtrArray *items;
	guint i;

	if (gossip->push_queue.length == 0)
		return;
	bytes_max = gossip->settings.push_bytes_max;
	if (gossip->push_queue.length > BURST_THRESHOLD_ITEMS)
		bytes_max *= BURST_PUSH_FACTOR;
	items = g_ptr_array_new();
	bytes = 0;
	while (gossip->push_queue.head != NULL) {
		item = gossip->push_queue.head->data;
		bytes += item->size + GOSSIP_ITEM_OVERHEAD_BYTES;
		if (items->len > 0 && bytes > bytes_max)
			break;
		g_queue_delete_link(&gossip->push_queue, item->push_link);
		item->push_link = NULL;
		g_ptr_array_add(items, item);
	}
	for (sent = 0; sent < gossip->settings.fan_out; sent++) {
		/* With fewer hosts than the fan-out, each gets one push. */
		if (sent > 0 && sent >= gossip->push_cycle.count)
			break;
		host_id = gossip_next_push_host(gossip);
		if (host_id == 0)
			break;
		gossip_send_items(gossip, host_id, items);
	}
	limit = find_push_limit(gossip);
	for (i = 0; i < items->len; i++) {
		item = g_ptr_array_index(items, i);
		item->push_count += sent;
		if (item->push_count >= limit)
			continue;
		g_queue_push_tail(&gossip->push_queue, item);
		item->push_link = gossip->push_queue.tail;
	}
	g_ptr_array_unref(items);
}

/* Returns the next host of a cycle, 0 for none. Every host is returned once
 * before any host is returned again. */
static uint32_t
next_host(struct gossip *gossip, struct gossip_cycle *cycle)
{
	uint32_t i, k, swap;

	if (cycle->next >= cycle->count) {
		cycle->count = gossip->ops.list_hosts(
		    gossip->ops.context, cycle->hosts, HOSTS_MAX);
		cycle->next = 0;
		for (i = cycle->count; i > 1; i--) {
			k = random_below(&gossip->random, i);
			swap = cycle->hosts[i - 1];
			cycle->hosts[i - 1] = cycle->hosts[k];
			cycle->hosts[k] = swap;
		}
	}
	if (cycle->count == 0)
		return 0;
	return cycle->hosts[cycle->next++];
}

/* Returns how often each change is pushed from this host. */
static uint32_t
find_push_limit(const struct gossip *gossip)
{
	uint32_t sends, hosts;

	sends = EXTRA_PUSHES;
	for (hosts = gossip->push_cycle.count; hosts > 0; hosts /= 2)
		sends++;
	return sends;
}

static enum error_code
store_item(struct gossip *gossip, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size)
{
	struct gossip_item *item, *older;

	if (size > GOSSIP_ITEM_SIZE_MAX)
		return ERROR_TOO_LARGE;
	older = gossip_find_item(gossip, key);
	if (older == NULL &&
	    g_hash_table_size(gossip->items) >= gossip->settings.items_max)
		return ERROR_TABLE_FULL;
	item = malloc(sizeof(*item) + size);
	if (item == NULL)
		return ERROR_NO_MEMORY;
	if (older != NULL)
		remove_item(gossip, older);
	item->key = key;
	item->version = *version;
	item->push_count = 0;
	item->size = size;
	if (size > 0)
		memcpy(item->body, body, size);
	g_queue_push_head(&gossip->push_queue, item);
	item->push_link = gossip->push_queue.head;
	toggle_hashes(gossip, item);
	g_hash_table_insert(gossip->items, &item->key, item);
	return ERROR_NONE;
}

static void
remove_item(struct gossip *gossip, struct gossip_item *item)
{
	if (item->push_link != NULL)
		g_queue_delete_link(&gossip->push_queue, item->push_link);
	toggle_hashes(gossip, item);
	g_hash_table_remove(gossip->items, &item->key);
}

/* Adds an item to the hashes of the map, or removes it from them. */
static void
toggle_hashes(struct gossip *gossip, const struct gossip_item *item)
{
	uint64_t hash = hash_item(item);

	gossip->bucket_hashes[gossip_bucket_of(item->key)] ^= (uint32_t)hash;
	if (gossip->ops.is_final == NULL ||
	    !gossip->ops.is_final(&item->version))
		gossip->checksum ^= hash;
}

static uint64_t
hash_item(const struct gossip_item *item)
{
	const uint64_t words[] = {item->key, item->version.major,
	    item->version.minor, item->version.rank, item->version.tie_break};

	return XXH64(words, sizeof(words), 0);
}
