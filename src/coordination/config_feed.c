#include "coordination/config_feed.h"

#include <string.h>

#include "config.h"
#include "coordination/config_feed_parts.h"

#define LEASE_DEFAULT_MS     2000	 /* Lease duration. */
#define RENEWAL_DEFAULT_MS   500	 /* Between asks. */
#define FAN_OUT_DEFAULT	     8		 /* Children wanted. */
#define PUSH_BYTES_DEFAULT   (64 * 1024) /* Of one push. */
#define CHILDREN_PER_FAN_OUT 2		 /* Children taken over wanted. */
#define PARENT_PATIENCE	     3		 /* Renewals without a lease. */
#define JITTER_DIVISOR	     8		 /* Of the renewal period. */
#define LEASELESS_DIVISOR    4	  /* Of the renewal, while there is no lease. */
#define SNAPSHOT_PAUSE_MS    2000 /* After a bad snapshot. */

static void ask_parent(void *context);
static void send_ask(struct config_feed *feed);
static void arm_renewal(struct config_feed *feed);
static void arm_lease_timer(struct config_feed *feed);
static void check_lease(void *context);
static void choose_parent(struct config_feed *feed);
static enum error_code take_lease(struct config_feed *feed, uint32_t from_host,
    const struct feed_message *message);
static enum error_code take_entries(
    struct config_feed *feed, const struct feed_message *message);
static enum error_code take_snapshot(
    struct config_feed *feed, const struct feed_message *message);
static void take_refusal(struct config_feed *feed, uint32_t from_host);
static void note_progress(struct config_feed *feed);
static void update_in_force(struct config_feed *feed);
static void raise_in_force(struct config_feed *feed, uint64_t index);
static int64_t lease_end(const struct config_feed *feed);

enum error_code
config_feed_init(struct config_feed *feed,
    const struct config_feed_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_port port, struct config_feed_source source,
    struct config_feed_sink sink, struct config_feed_ops ops)
{
	if (settings->host_id == 0 || source.is_leader == NULL ||
	    ops.list_hosts == NULL)
		return ERROR_INVALID_ARGUMENT;
	memset(feed, 0, sizeof(*feed));
	feed->settings = *settings;
	if (feed->settings.lease_ms == 0)
		feed->settings.lease_ms = LEASE_DEFAULT_MS;
	if (feed->settings.renewal_ms == 0)
		feed->settings.renewal_ms = RENEWAL_DEFAULT_MS;
	if (feed->settings.fan_out == 0)
		feed->settings.fan_out = FAN_OUT_DEFAULT;
	if (feed->settings.children_max == 0)
		feed->settings.children_max =
		    feed->settings.fan_out * CHILDREN_PER_FAN_OUT;
	if (feed->settings.push_bytes_max == 0)
		feed->settings.push_bytes_max = PUSH_BYTES_DEFAULT;
	feed->timers = timers;
	feed->port = port;
	feed->source = source;
	feed->sink = sink;
	feed->ops = ops;
	random_init(&feed->random, seed);
	/* Answers to an earlier process must not match this one's asks. */
	feed->ask_number = random_word(&feed->random) >> 1;
	feed->lease_until_ms = INT64_MIN;
	feed->leader_since_ms = INT64_MIN;
	feed->parent_since_ms = timer_now(timers);
	feed->children =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	arm_renewal(feed);
	return ERROR_NONE;
}

void
config_feed_finish(struct config_feed *feed)
{
	if (feed->timers == NULL)
		return;
	timer_cancel(feed->timers, &feed->renewal_timer);
	timer_cancel(feed->timers, &feed->lease_timer);
	g_hash_table_destroy(feed->children);
	if (feed->snapshot_out != NULL)
		g_byte_array_unref(feed->snapshot_out);
	if (feed->snapshot_in != NULL)
		g_byte_array_unref(feed->snapshot_in);
	memset(feed, 0, sizeof(*feed));
}

enum error_code
config_feed_receive(
    struct config_feed *feed, uint32_t from_host, const void *body, size_t size)
{
	struct message_reader reader;
	struct feed_message message;
	enum error_code error;

	error = feed_message_read(body, size, &reader, &message);
	if (error != ERROR_NONE)
		return error;
	feed_check_leadership(feed);
	switch (message.type) {
	case FEED_TYPE_ASK:
		error = feed_serve_ask(feed, from_host, &message);
		break;
	case FEED_TYPE_LEASE:
		error = take_lease(feed, from_host, &message);
		break;
	case FEED_TYPE_ENTRIES:
		error = take_entries(feed, &message);
		break;
	case FEED_TYPE_SNAPSHOT:
		error = take_snapshot(feed, &message);
		break;
	case FEED_TYPE_REFUSE:
		take_refusal(feed, from_host);
		break;
	}
	message_reader_finish(&reader);
	note_progress(feed);
	check_lease(feed);
	return error;
}

void
config_feed_applied(struct config_feed *feed)
{
	feed_check_leadership(feed);
	feed_push_entries(feed);
	note_progress(feed);
}

void
config_feed_leader_changed(struct config_feed *feed)
{
	feed_check_leadership(feed);
	feed->parent_try = 0;
	ask_parent(feed);
}

int64_t
config_feed_lease_remaining(const struct config_feed *feed, int64_t now_ms)
{
	int64_t end_ms;

	end_ms = lease_end(feed);
	return end_ms > now_ms ? end_ms - now_ms : 0;
}

uint64_t
config_feed_in_force_index(struct config_feed *feed)
{
	feed_check_leadership(feed);
	update_in_force(feed);
	return feed->in_force_index;
}

int64_t
feed_now(const struct config_feed *feed)
{
	if (feed->ops.clock_now != NULL)
		return feed->ops.clock_now(feed->ops.context);
	return timer_now(feed->timers);
}

void
feed_send(struct config_feed *feed, uint32_t to_host,
    const struct feed_message *message)
{
	struct message_writer writer;

	message_writer_init(&writer);
	feed_message_write(&writer, message);
	feed->port.send(feed->port.context, to_host, PEER_CHANNEL_FEED,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

/*
 * A new leader does not know which leases its forerunner's tree still holds,
 * nor what that one called in force; but nothing beyond what is applied here.
 */
void
feed_check_leadership(struct config_feed *feed)
{
	uint64_t term, applied;

	if (!feed->source.is_leader(feed->source.context)) {
		feed->leader_since_ms = INT64_MIN;
		return;
	}
	term = feed->source.term(feed->source.context);
	if (feed->leader_since_ms != INT64_MIN && feed->leader_term == term)
		return;
	feed->leader_term = term;
	feed->leader_since_ms = feed_now(feed);
	applied = feed->source.applied_index(feed->source.context);
	if (applied > feed->floor_index)
		feed->floor_index = applied;
}

static void
ask_parent(void *context)
{
	struct config_feed *feed = context;

	feed_check_leadership(feed);
	feed_drop_children(feed);
	choose_parent(feed);
	if (feed->parent != 0)
		send_ask(feed);
	update_in_force(feed);
	check_lease(feed);
	arm_renewal(feed);
}

static void
send_ask(struct config_feed *feed)
{
	struct feed_message message = {.type = FEED_TYPE_ASK};

	message.number = ++feed->ask_number;
	message.incarnation = feed->settings.incarnation;
	/* A voter gets its entries by consensus and wants none pushed. */
	message.applied =
	    feed->sink.apply_entries == NULL
		? UINT64_MAX
		: feed->source.applied_index(feed->source.context);
	message.subtree = feed_subtree_index(feed);
	message.snapshot_index = feed->snapshot_in_index;
	message.offset = feed->snapshot_in == NULL ? 0 : feed->snapshot_in->len;
	if (message.subtree > feed->floor_index)
		feed->floor_index = message.subtree;
	feed->reported_index = message.subtree;
	feed->ask_ms[message.number % FEED_ASKS_KEPT] = feed_now(feed);
	feed_send(feed, feed->parent, &message);
}

static void
arm_renewal(struct config_feed *feed)
{
	int64_t delay_ms;

	timer_cancel(feed->timers, &feed->renewal_timer);
	delay_ms = feed->settings.renewal_ms;
	/* Without a lease no work is done, so it is asked for more often. */
	if (!feed->had_lease)
		delay_ms = delay_ms / LEASELESS_DIVISOR + 1;
	delay_ms -= random_below(
	    &feed->random, (uint32_t)(delay_ms / JITTER_DIVISOR) + 1);
	timer_subscribe_once(feed->timers, delay_ms,
	    (struct timer_callback){ask_parent, feed}, &feed->renewal_timer);
}

static void
arm_lease_timer(struct config_feed *feed)
{
	timer_cancel(feed->timers, &feed->lease_timer);
	timer_subscribe_once(feed->timers, lease_end(feed) - feed_now(feed),
	    (struct timer_callback){check_lease, feed}, &feed->lease_timer);
}

/* Tells the owner when the lease was lost or is back. */
static void
check_lease(void *context)
{
	struct config_feed *feed = context;
	bool has_lease;

	has_lease = config_feed_lease_remaining(feed, feed_now(feed)) > 0;
	if (has_lease == feed->had_lease)
		return;
	feed->had_lease = has_lease;
	if (has_lease && feed->ops.lease_regained != NULL)
		feed->ops.lease_regained(feed->ops.context);
	if (!has_lease && feed->ops.lease_lost != NULL)
		feed->ops.lease_lost(feed->ops.context);
}

static void
choose_parent(struct config_feed *feed)
{
	uint32_t ranking[HOSTS_MAX], count;
	int64_t now_ms;

	now_ms = feed_now(feed);
	if (now_ms - feed->parent_since_ms >
	    PARENT_PATIENCE * feed->settings.renewal_ms) {
		feed->parent_try++;
		feed->parent_since_ms = now_ms;
	}
	count = feed_rank_parents(feed, ranking);
	feed->parent = count == 0 ? 0 : ranking[feed->parent_try % count];
}

static enum error_code
take_lease(struct config_feed *feed, uint32_t from_host,
    const struct feed_message *message)
{
	int64_t until_ms;
	uint64_t behind;

	behind = feed->ask_number - message->number;
	if (message->number > feed->ask_number || behind >= FEED_ASKS_KEPT)
		return ERROR_STALE;
	raise_in_force(feed, message->in_force);
	if (message->remaining_ms == 0 ||
	    message->remaining_ms > (uint64_t)feed->settings.lease_ms)
		return ERROR_NONE;
	until_ms = feed->ask_ms[message->number % FEED_ASKS_KEPT] +
		   (int64_t)message->remaining_ms;
	if (until_ms <= feed->lease_until_ms)
		return ERROR_NONE;
	feed->lease_until_ms = until_ms;
	if (from_host == feed->parent)
		feed->parent_since_ms = feed_now(feed);
	arm_lease_timer(feed);
	return ERROR_NONE;
}

static enum error_code
take_entries(struct config_feed *feed, const struct feed_message *message)
{
	enum error_code error;
	uint64_t applied;

	if (feed->sink.apply_entries == NULL)
		return ERROR_NONE;
	applied = feed->source.applied_index(feed->source.context);
	if (message->last <= applied)
		return ERROR_STALE;
	if (message->first > applied + 1) {
		send_ask(feed);
		return ERROR_STALE;
	}
	error = feed->sink.apply_entries(feed->sink.context, message->first,
	    message->last, message->bytes, message->size);
	feed_push_entries(feed);
	return error;
}

static enum error_code
take_snapshot(struct config_feed *feed, const struct feed_message *message)
{
	enum error_code error;
	int64_t now_ms;

	now_ms = feed_now(feed);
	if (feed->sink.install_snapshot == NULL ||
	    message->last <= feed->source.applied_index(feed->source.context) ||
	    now_ms < feed->snapshot_pause_ms)
		return ERROR_STALE;
	if (feed->snapshot_in == NULL ||
	    feed->snapshot_in_index != message->last) {
		if (message->offset != 0)
			return ERROR_STALE;
		if (feed->snapshot_in != NULL)
			g_byte_array_unref(feed->snapshot_in);
		feed->snapshot_in = g_byte_array_new();
		feed->snapshot_in_index = message->last;
	}
	if (message->offset != feed->snapshot_in->len ||
	    message->size > message->total - message->offset)
		return ERROR_STALE;
	g_byte_array_append(
	    feed->snapshot_in, message->bytes, (guint)message->size);
	if (feed->snapshot_in->len < message->total) {
		send_ask(feed);
		return ERROR_NONE;
	}
	error = feed->sink.install_snapshot(feed->sink.context, message->last,
	    feed->snapshot_in->data, feed->snapshot_in->len);
	g_byte_array_unref(feed->snapshot_in);
	feed->snapshot_in = NULL;
	feed->snapshot_in_index = 0;
	if (error != ERROR_NONE)
		feed->snapshot_pause_ms = now_ms + SNAPSHOT_PAUSE_MS;
	return error;
}

static void
take_refusal(struct config_feed *feed, uint32_t from_host)
{
	if (from_host != feed->parent)
		return;
	feed->parent_try++;
	feed->parent_since_ms = feed_now(feed);
}

/* Reports at once what is newly applied by all below, so that force spreads
 * at the speed of the links and not of the renewals. */
static void
note_progress(struct config_feed *feed)
{
	if (feed_subtree_index(feed) > feed->reported_index) {
		choose_parent(feed);
		if (feed->parent != 0)
			send_ask(feed);
	}
	update_in_force(feed);
}

static void
update_in_force(struct config_feed *feed)
{
	int64_t now_ms;

	now_ms = feed_now(feed);
	if (feed->leader_since_ms == INT64_MIN ||
	    now_ms - feed->leader_since_ms <
		feed->settings.lease_ms + FEED_DRIFT_MS(feed) ||
	    feed_leader_lease_end(feed) <= now_ms)
		return;
	feed_drop_children(feed);
	raise_in_force(feed, feed_subtree_index(feed));
}

static void
raise_in_force(struct config_feed *feed, uint64_t index)
{
	if (index > feed->floor_index)
		feed->floor_index = index;
	if (index <= feed->in_force_index)
		return;
	feed->in_force_index = index;
	if (feed->ops.in_force != NULL)
		feed->ops.in_force(feed->ops.context, index);
}

static int64_t
lease_end(const struct config_feed *feed)
{
	int64_t leader_ms;

	leader_ms = feed_leader_lease_end(feed);
	return leader_ms > feed->lease_until_ms ? leader_ms
						: feed->lease_until_ms;
}
