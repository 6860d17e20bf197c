#include <string.h>

#include "coordination/gossip_parts.h"

/* No further bucket is added to a summary that has this many items. */
#define SUMMARY_ITEMS_MAX 128
/* Rounds to wait for newer items after a digest was sent. */
#define SYNC_WAIT_ROUNDS 5

static enum error_code receive_items(struct gossip *gossip, uint32_t from_host,
    const struct message_reader *reader);
static enum error_code receive_checksum(struct gossip *gossip,
    uint32_t from_host, const struct message_reader *reader);
static enum error_code receive_digest(struct gossip *gossip, uint32_t from_host,
    const struct message_reader *reader);
static uint32_t find_differing(const struct gossip *gossip,
    const uint32_t hashes[GOSSIP_BUCKET_COUNT],
    bool differs[GOSSIP_BUCKET_COUNT]);
static uint32_t compare_hashes(const uint32_t left[GOSSIP_BUCKET_COUNT],
    const uint32_t right[GOSSIP_BUCKET_COUNT],
    bool differs[GOSSIP_BUCKET_COUNT]);
static enum error_code receive_summary(struct gossip *gossip,
    uint32_t from_host, const struct message_reader *reader);
static GHashTable *find_newer(const struct gossip *gossip,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8],
    const struct message_array *elements, bool *needs_items);
static void send_in_batches(
    struct gossip *gossip, uint32_t host_id, GHashTable *set);
static enum error_code check_elements(const struct message_array *elements);
static void send_digest(struct gossip *gossip, uint32_t host_id);
static void send_summary(struct gossip *gossip, uint32_t host_id,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], bool is_answer);
static GPtrArray *find_items(const struct gossip *gossip,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8]);
static void send_summary_of(struct gossip *gossip, uint32_t host_id,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], bool is_answer,
    const GPtrArray *items);
static void send_message(struct gossip *gossip, uint32_t host_id,
    const struct message_writer *writer);
static bool has_bucket(
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], uint32_t bucket);

enum error_code
gossip_receive(
    struct gossip *gossip, uint32_t from_host, const void *body, size_t size)
{
	struct message_reader reader;
	enum error_code error;
	uint32_t type;

	error = message_reader_init(&reader, body, size);
	if (error != ERROR_NONE)
		return error;
	error = gossip_message_type(&reader, &type);
	if (error != ERROR_NONE)
		goto out;
	switch (type - gossip->settings.first_type) {
	case GOSSIP_KIND_ITEMS:
		error = receive_items(gossip, from_host, &reader);
		break;
	case GOSSIP_KIND_CHECKSUM:
		error = receive_checksum(gossip, from_host, &reader);
		break;
	case GOSSIP_KIND_DIGEST:
		error = receive_digest(gossip, from_host, &reader);
		break;
	case GOSSIP_KIND_SUMMARY:
		error = receive_summary(gossip, from_host, &reader);
		break;
	default:
		error = ERROR_NOT_SUPPORTED;
		break;
	}
out:
	message_reader_finish(&reader);
	return error;
}

void
gossip_sync_with(struct gossip *gossip, uint32_t host_id)
{
	gossip->sync_host = host_id;
	gossip->sync_rounds_left = SYNC_WAIT_ROUNDS;
	gossip->sync_received_items = false;
	send_digest(gossip, host_id);
}

void
gossip_check_with(struct gossip *gossip, uint32_t host_id)
{
	struct message_writer writer;

	message_writer_init(&writer);
	gossip_checksum_write(
	    &writer, gossip->settings.first_type, gossip->checksum);
	send_message(gossip, host_id, &writer);
	message_writer_finish(&writer);
}

void
gossip_send_items(
    struct gossip *gossip, uint32_t host_id, const GPtrArray *items)
{
	const struct gossip_item *item;
	struct message_writer writer;
	guint i;

	message_writer_init(&writer);
	gossip_items_open(&writer, gossip->settings.first_type, items->len);
	for (i = 0; i < items->len; i++) {
		item = g_ptr_array_index(items, i);
		gossip_items_add(
		    &writer, item->key, &item->version, item->body, item->size);
	}
	send_message(gossip, host_id, &writer);
	message_writer_finish(&writer);
}

/* A summary of the item's bucket that leaves the item out makes the other host
 * send it. It goes as an answer, so that nothing is asked for in turn. */
void
gossip_ask_for_item(struct gossip *gossip, uint32_t host_id, uint64_t key)
{
	unsigned char buckets[GOSSIP_BUCKET_COUNT / 8] = {0};
	struct gossip_item *item;
	GPtrArray *items;
	uint32_t bucket;

	item = gossip_find_item(gossip, key);
	bucket = gossip_bucket_of(key);
	buckets[bucket / 8] |= (unsigned char)(1u << bucket % 8);
	items = find_items(gossip, buckets);
	if (item != NULL)
		g_ptr_array_remove_fast(items, item);
	send_summary_of(gossip, host_id, buckets, true, items);
	g_ptr_array_unref(items);
}

static enum error_code
receive_items(struct gossip *gossip, uint32_t from_host,
    const struct message_reader *reader)
{
	struct message_array elements;
	struct gossip_version version;
	struct gossip_item *item;
	enum error_code error;
	const void *body;
	uint64_t key;
	uint32_t i;
	size_t size;

	error = gossip_message_elements(reader, &elements);
	if (error == ERROR_NONE)
		error = check_elements(&elements);
	if (error != ERROR_NONE)
		return error;
	for (i = 0; i < elements.count; i++) {
		(void)gossip_element_read(
		    &elements, i, &key, &version, &body, &size);
		gossip_confirm_holder(gossip, from_host, key, &version);
		item = gossip_find_item(gossip, key);
		if (item != NULL &&
		    gossip_version_compare(&item->version, &version) >= 0) {
			gossip_record_duplicate(gossip, item, &version);
			continue;
		}
		if (item == NULL && g_hash_table_size(gossip->items) >=
					gossip->settings.items_max)
			continue;
		if (gossip->ops.apply(gossip->ops.context, key, &version, body,
			size) != ERROR_NONE)
			continue;
		/* The apply callback may itself have put a higher version. */
		if (gossip_put(gossip, key, &version, body, size) != ERROR_NONE)
			continue;
		gossip->has_received_items = true;
		if (from_host == gossip->sync_host)
			gossip->sync_received_items = true;
	}
	return ERROR_NONE;
}

static enum error_code
receive_checksum(struct gossip *gossip, uint32_t from_host,
    const struct message_reader *reader)
{
	enum error_code error;
	uint64_t checksum;

	error = gossip_checksum_read(reader, &checksum);
	if (error == ERROR_NONE && checksum != gossip->checksum)
		send_digest(gossip, from_host);
	return error;
}

static enum error_code
receive_digest(struct gossip *gossip, uint32_t from_host,
    const struct message_reader *reader)
{
	uint32_t hashes[GOSSIP_BUCKET_COUNT], counts[GOSSIP_BUCKET_COUNT] = {0};
	unsigned char buckets[GOSSIP_BUCKET_COUNT / 8] = {0};
	bool differs[GOSSIP_BUCKET_COUNT];
	const struct gossip_item *item;
	uint32_t first, bucket, i, items;
	enum error_code error;
	GHashTableIter iterator;
	gpointer value;

	error = gossip_digest_read(reader, hashes);
	if (error != ERROR_NONE)
		return error;
	if (find_differing(gossip, hashes, differs) == 0)
		return ERROR_NONE;
	g_hash_table_iter_init(&iterator, gossip->items);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		item = value;
		counts[gossip_bucket_of(item->key)]++;
	}
	first = random_below(&gossip->random, GOSSIP_BUCKET_COUNT);
	items = 0;
	for (i = 0; i < GOSSIP_BUCKET_COUNT && items < SUMMARY_ITEMS_MAX; i++) {
		bucket = (first + i) % GOSSIP_BUCKET_COUNT;
		if (!differs[bucket])
			continue;
		buckets[bucket / 8] |= (unsigned char)(1u << bucket % 8);
		items += counts[bucket];
	}
	gossip->has_differed = true;
	send_summary(gossip, from_host, buckets, false);
	return ERROR_NONE;
}

/* Finds the buckets that differ from those of another host, and returns their
 * number. Builds before the checksums hash an item by another function, so that
 * all their hashes differ from those of this build; the function by which fewer
 * buckets differ is the one that the other host used. */
static uint32_t
find_differing(const struct gossip *gossip,
    const uint32_t hashes[GOSSIP_BUCKET_COUNT],
    bool differs[GOSSIP_BUCKET_COUNT])
{
	uint32_t earlier[GOSSIP_BUCKET_COUNT] = {0};
	bool differs_earlier[GOSSIP_BUCKET_COUNT];
	const struct gossip_item *item;
	uint32_t count, count_earlier;
	GHashTableIter iterator;
	gpointer value;

	count = compare_hashes(hashes, gossip->bucket_hashes, differs);
	if (count == 0)
		return 0;
	g_hash_table_iter_init(&iterator, gossip->items);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		item = value;
		earlier[gossip_bucket_of(item->key)] ^=
		    gossip_earlier_hash(item);
	}
	count_earlier = compare_hashes(hashes, earlier, differs_earlier);
	if (count_earlier >= count)
		return count;
	memcpy(differs, differs_earlier, sizeof(differs_earlier));
	return count_earlier;
}

static uint32_t
compare_hashes(const uint32_t left[GOSSIP_BUCKET_COUNT],
    const uint32_t right[GOSSIP_BUCKET_COUNT],
    bool differs[GOSSIP_BUCKET_COUNT])
{
	uint32_t bucket, count = 0;

	for (bucket = 0; bucket < GOSSIP_BUCKET_COUNT; bucket++) {
		differs[bucket] = left[bucket] != right[bucket];
		count += differs[bucket];
	}
	return count;
}

/* Sends the items that are newer on this host. If the other host has newer
 * ones, requests them by answering with a summary. */
static enum error_code
receive_summary(struct gossip *gossip, uint32_t from_host,
    const struct message_reader *reader)
{
	unsigned char buckets[GOSSIP_BUCKET_COUNT / 8];
	struct message_array elements;
	enum error_code error;
	bool is_answer, needs_items;
	GHashTable *newer;

	error = gossip_summary_read(reader, buckets, &is_answer);
	if (error == ERROR_NONE)
		error = gossip_message_elements(reader, &elements);
	if (error == ERROR_NONE)
		error = check_elements(&elements);
	if (error != ERROR_NONE)
		return error;
	newer = find_newer(gossip, buckets, &elements, &needs_items);
	send_in_batches(gossip, from_host, newer);
	g_hash_table_destroy(newer);
	if (needs_items && !is_answer)
		send_summary(gossip, from_host, buckets, true);
	return ERROR_NONE;
}

/* Returns the items of the buckets that the summary lacks or has in an older
 * version. Sets needs_items if the summary has newer items than this host. */
static GHashTable *
find_newer(const struct gossip *gossip,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8],
    const struct message_array *elements, bool *needs_items)
{
	const struct gossip_item *item;
	struct gossip_version version;
	GHashTableIter iterator;
	GHashTable *newer;
	const void *body;
	gpointer value;
	uint64_t key;
	uint32_t i;
	size_t size;
	int order;

	/* Hashed by key: hashing by address would make the order differ between
	 * runs with the same seed. */
	newer = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_iter_init(&iterator, gossip->items);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		item = value;
		if (has_bucket(buckets, gossip_bucket_of(item->key)))
			g_hash_table_insert(
			    newer, &((struct gossip_item *)value)->key, value);
	}
	*needs_items = false;
	for (i = 0; i < elements->count; i++) {
		(void)gossip_element_read(
		    elements, i, &key, &version, &body, &size);
		item = gossip_find_item(gossip, key);
		order = item == NULL
			    ? -1
			    : gossip_version_compare(&item->version, &version);
		if (order < 0)
			*needs_items = true;
		if (item != NULL && order <= 0)
			g_hash_table_remove(newer, &item->key);
	}
	return newer;
}

/* Sends a set of items in several messages of bounded size. */
static void
send_in_batches(struct gossip *gossip, uint32_t host_id, GHashTable *set)
{
	const struct gossip_item *item;
	GHashTableIter iterator;
	gpointer value;
	GPtrArray *items;
	size_t bytes;

	items = g_ptr_array_new();
	bytes = 0;
	g_hash_table_iter_init(&iterator, set);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		item = value;
		bytes += item->size + GOSSIP_ITEM_OVERHEAD_BYTES;
		g_ptr_array_add(items, value);
		if (bytes < gossip->settings.push_bytes_max)
			continue;
		gossip_send_items(gossip, host_id, items);
		g_ptr_array_set_size(items, 0);
		bytes = 0;
	}
	if (items->len > 0)
		gossip_send_items(gossip, host_id, items);
	g_ptr_array_unref(items);
}

/* Checks all elements first, so that a malformed message changes nothing. */
static enum error_code
check_elements(const struct message_array *elements)
{
	struct gossip_version version;
	enum error_code error;
	const void *body;
	uint64_t key;
	uint32_t i;
	size_t size;

	for (i = 0; i < elements->count; i++) {
		error = gossip_element_read(
		    elements, i, &key, &version, &body, &size);
		if (error != ERROR_NONE)
			return error;
	}
	return ERROR_NONE;
}

static void
send_digest(struct gossip *gossip, uint32_t host_id)
{
	struct message_writer writer;

	message_writer_init(&writer);
	gossip_digest_write(
	    &writer, gossip->settings.first_type, gossip->bucket_hashes);
	send_message(gossip, host_id, &writer);
	message_writer_finish(&writer);
}

static void
send_summary(struct gossip *gossip, uint32_t host_id,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], bool is_answer)
{
	GPtrArray *items;

	items = find_items(gossip, buckets);
	send_summary_of(gossip, host_id, buckets, is_answer, items);
	g_ptr_array_unref(items);
}

/* Returns the items of some buckets. */
static GPtrArray *
find_items(const struct gossip *gossip,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8])
{
	const struct gossip_item *item;
	GHashTableIter iterator;
	GPtrArray *items;
	gpointer value;

	items = g_ptr_array_new();
	g_hash_table_iter_init(&iterator, gossip->items);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		item = value;
		if (has_bucket(buckets, gossip_bucket_of(item->key)))
			g_ptr_array_add(items, value);
	}
	return items;
}

/* Sends a summary of some buckets that lists these items. */
static void
send_summary_of(struct gossip *gossip, uint32_t host_id,
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], bool is_answer,
    const GPtrArray *items)
{
	const struct gossip_item *item;
	struct message_writer writer;
	guint i;

	message_writer_init(&writer);
	gossip_summary_open(&writer, gossip->settings.first_type, buckets,
	    is_answer, items->len);
	for (i = 0; i < items->len; i++) {
		item = g_ptr_array_index(items, i);
		gossip_summary_add(&writer, item->key, &item->version);
	}
	send_message(gossip, host_id, &writer);
	message_writer_finish(&writer);
}

static void
send_message(struct gossip *gossip, uint32_t host_id,
    const struct message_writer *writer)
{
	gossip->port.send(gossip->port.context, host_id,
	    PEER_CHANNEL_MEMBERSHIP, message_data(writer),
	    message_size(writer));
}

static bool
has_bucket(
    const unsigned char buckets[GOSSIP_BUCKET_COUNT / 8], uint32_t bucket)
{
	return (buckets[bucket / 8] & 1u << bucket % 8) != 0;
}
