#include "coordination/config_feed.h"

#include <string.h>

#include <jansson.h>

#include "base/event_log.h"
#include "config.h"
#include "coordination/config_feed_parts.h"

#define LEASE_DEFAULT_MS   2000
#define RENEWAL_DEFAULT_MS 500
#define FAN_OUT_DEFAULT	   8
#define PUSH_DEFAULT_BYTES (64 * 1024)
/* Children accepted by default, as a multiple of the fan-out. */
#define CHILDREN_PER_FAN_OUT 2
/* A parent that doesn't extend the lease for this many renewal intervals is
 * replaced by the next one. */
#define PARENT_FAILED_RENEWALS_MAX 3
/* The same for a parent that replaced one: hosts that were cut off together may
 * be next to each other in the ranking. */
#define NEXT_PARENT_FAILED_RENEWALS_MAX 1
/* An extension counts if it is at least a renewal interval divided by this. A
 * parent without a new lease of its own extends leases by a little, since the
 * allowance for clock drift shrinks. */
#define EXTENSION_MIN_DIVISOR 4
/* Random jitter shortens a renewal interval by at most this part of it. */
#define JITTER_DIVISOR 8
/* Without a lease the renewal interval is divided by this. */
#define NO_LEASE_RENEWAL_DIVISOR 4
/* A push that took at least this long to apply is costly. */
#define COSTLY_APPLY_MS 20
/* Pause after a costly push, as a multiple of the time that it took. */
#define REPORT_PAUSE_FACTOR 2
/* Wait before another snapshot is accepted after one failed to install. */
#define SNAPSHOT_RETRY_DELAY_MS 2000

static void run_renewal(void *context);
static void send_renewal_request(struct config_feed *feed);
static uint64_t index_to_report(const struct config_feed *feed);
static void schedule_renewal(struct config_feed *feed);
static void schedule_lease_timer(struct config_feed *feed);
static void check_lease(void *context);
static void choose_parent(struct config_feed *feed);
static void set_parent(struct config_feed *feed, uint32_t parent);
static void record_extension(struct config_feed *feed);
static enum error_code receive_lease(struct config_feed *feed,
    uint32_t from_host, const struct feed_message *message);
static enum error_code receive_entries(
    struct config_feed *feed, const struct feed_message *message);
static enum error_code receive_snapshot(
    struct config_feed *feed, const struct feed_message *message);
static void pause_reports(struct config_feed *feed, int64_t apply_ms);
static void end_report_pause(void *context);
static void receive_refusal(struct config_feed *feed, uint32_t from_host);
static void report_progress(struct config_feed *feed);
static bool has_unreported_entries(const struct config_feed *feed);
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
	if (feed->settings.renewal_interval_ms == 0)
		feed->settings.renewal_interval_ms = RENEWAL_DEFAULT_MS;
	if (feed->settings.fan_out == 0)
		feed->settings.fan_out = FAN_OUT_DEFAULT;
	if (feed->settings.children_max == 0)
		feed->settings.children_max =
		    feed->settings.fan_out * CHILDREN_PER_FAN_OUT;
	if (feed->settings.push_bytes_max == 0)
		feed->settings.push_bytes_max = PUSH_DEFAULT_BYTES;
	feed->timers = timers;
	feed->port = port;
	feed->source = source;
	feed->sink = sink;
	feed->ops = ops;
	random_init(&feed->random, seed);
	/* Replies to an earlier process must not match requests of this one,
	 * so the numbers start at random. */
	feed->request_number = random_uint64(&feed->random) >> 1;
	feed->lease_until_ms = INT64_MIN;
	feed->extended_until_ms = INT64_MIN;
	feed->leader_since_ms = INT64_MIN;
	feed->report_pause_until_ms = INT64_MIN;
	feed->parent_progress_ms = timer_now(timers);
	feed->children =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	schedule_renewal(feed);
	return ERROR_NONE;
}

void
config_feed_finish(struct config_feed *feed)
{
	if (feed->timers == NULL)
		return;
	timer_cancel(feed->timers, &feed->renewal_timer);
	timer_cancel(feed->timers, &feed->lease_timer);
	timer_cancel(feed->timers, &feed->report_timer);
	g_hash_table_destroy(feed->children);
	if (feed->outgoing_snapshot != NULL)
		g_byte_array_unref(feed->outgoing_snapshot);
	if (feed->incoming_snapshot != NULL)
		g_byte_array_unref(feed->incoming_snapshot);
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
	feed_update_leadership(feed);
	switch (message.type) {
	case FEED_TYPE_RENEWAL_REQUEST:
		error = feed_serve_renewal_request(feed, from_host, &message);
		break;
	case FEED_TYPE_LEASE:
		error = receive_lease(feed, from_host, &message);
		break;
	case FEED_TYPE_ENTRIES:
		error = receive_entries(feed, &message);
		break;
	case FEED_TYPE_SNAPSHOT:
		error = receive_snapshot(feed, &message);
		break;
	case FEED_TYPE_REFUSAL:
		receive_refusal(feed, from_host);
		break;
	}
	message_reader_finish(&reader);
	report_progress(feed);
	check_lease(feed);
	return error;
}

void
config_feed_on_applied(struct config_feed *feed)
{
	feed_update_leadership(feed);
	feed_push_entries(feed);
	report_progress(feed);
}

void
config_feed_on_reconnected(struct config_feed *feed, uint32_t host_id)
{
	if (host_id == feed->parent)
		send_renewal_request(feed);
	feed_repeat_push(feed, host_id);
}

void
config_feed_on_leader_changed(struct config_feed *feed)
{
	feed_update_leadership(feed);
	feed->parent_rank = 0;
	run_renewal(feed);
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
	feed_update_leadership(feed);
	update_in_force(feed);
	return feed->in_force_index;
}

int64_t
feed_now(const struct config_feed *feed)
{
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
 * Records whether this host leads, and since when. A new leader knows neither
 * which leases of its predecessor are still held nor which index its
 * predecessor declared in force. That index cannot exceed what this host has
 * applied, so the applied index becomes the floor for leases.
 */
void
feed_update_leadership(struct config_feed *feed)
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
	if (applied > feed->lease_floor_index)
		feed->lease_floor_index = applied;
}

static void
run_renewal(void *context)
{
	struct config_feed *feed = context;

	feed_update_leadership(feed);
	feed_remove_expired_children(feed);
	choose_parent(feed);
	if (feed->parent != 0)
		send_renewal_request(feed);
	update_in_force(feed);
	check_lease(feed);
	schedule_renewal(feed);
}

static void
send_renewal_request(struct config_feed *feed)
{
	struct feed_message message = {.type = FEED_TYPE_RENEWAL_REQUEST};

	message.request_number = ++feed->request_number;
	message.incarnation = feed->settings.incarnation;
	message.applied_index = index_to_report(feed);
	message.subtree_index = feed_subtree_index(feed);
	message.snapshot_index = feed->incoming_snapshot_index;
	message.offset =
	    feed->incoming_snapshot == NULL ? 0 : feed->incoming_snapshot->len;
	if (message.subtree_index > feed->lease_floor_index)
		feed->lease_floor_index = message.subtree_index;
	feed->reported_index = message.subtree_index;
	feed->reported_applied_index = message.applied_index;
	feed->request_sent_ms[message.request_number %
			      FEED_REQUEST_TIMES_KEPT] = feed_now(feed);
	feed_send(feed, feed->parent, &message);
}

/* Returns the last entry that the parent is told to be applied. A voter gets
 * entries by consensus and requests none with UINT64_MAX. */
static uint64_t
index_to_report(const struct config_feed *feed)
{
	if (feed->sink.apply_entries == NULL)
		return UINT64_MAX;
	if (feed_now(feed) < feed->report_pause_until_ms)
		return feed->reported_applied_index;
	return feed->source.applied_index(feed->source.context);
}

static void
schedule_renewal(struct config_feed *feed)
{
	int64_t delay_ms;

	timer_cancel(feed->timers, &feed->renewal_timer);
	delay_ms = feed->settings.renewal_interval_ms;
	/* A host without a lease does no new work, so it requests one more
	 * often. */
	if (!feed->had_lease)
		delay_ms = delay_ms / NO_LEASE_RENEWAL_DIVISOR + 1;
	delay_ms -= random_below(
	    &feed->random, (uint32_t)(delay_ms / JITTER_DIVISOR) + 1);
	timer_subscribe_once(feed->timers, delay_ms,
	    (struct timer_callback){run_renewal, feed}, &feed->renewal_timer);
}

static void
schedule_lease_timer(struct config_feed *feed)
{
	timer_cancel(feed->timers, &feed->lease_timer);
	timer_subscribe_once(feed->timers, lease_end(feed) - feed_now(feed),
	    (struct timer_callback){check_lease, feed}, &feed->lease_timer);
}

/* Notifies the owner if the lease was lost or regained since the last check. */
static void
check_lease(void *context)
{
	struct config_feed *feed = context;
	bool has_lease;

	has_lease = config_feed_lease_remaining(feed, feed_now(feed)) > 0;
	if (has_lease == feed->had_lease)
		return;
	feed->had_lease = has_lease;
	if (has_lease && feed->ops.on_lease_regained != NULL)
		feed->ops.on_lease_regained(feed->ops.context);
	if (!has_lease && feed->ops.on_lease_lost != NULL)
		feed->ops.on_lease_lost(feed->ops.context);
}

/* Chooses the parent by rank. After too long without a lease extension, the
 * next host in the ranking becomes the parent. A parent may itself be cut off
 * from the leader, and then its children get no changes either. */
static void
choose_parent(struct config_feed *feed)
{
	uint32_t ranking[HOSTS_MAX], count;
	int64_t now_ms, renewals_max;

	now_ms = feed_now(feed);
	renewals_max = feed->failed_parents == 0
			   ? PARENT_FAILED_RENEWALS_MAX
			   : NEXT_PARENT_FAILED_RENEWALS_MAX;
	if (now_ms - feed->parent_progress_ms >
	    renewals_max * feed->settings.renewal_interval_ms) {
		feed->parent_rank++;
		feed->failed_parents++;
		feed->parent_progress_ms = now_ms;
	}
	count = feed_rank_parents(feed, ranking);
	set_parent(feed, count == 0 ? 0 : ranking[feed->parent_rank % count]);
}

static void
set_parent(struct config_feed *feed, uint32_t parent)
{
	if (parent == feed->parent)
		return;
	event_log_write_fields(EVENT_CONFIGURATION_PARENT_CHANGED,
	    "{s:I,s:I,s:I,s:I}", "from_host", (json_int_t)feed->parent,
	    "to_host", (json_int_t)parent, "lease_left_ms",
	    (json_int_t)config_feed_lease_remaining(feed, feed_now(feed)),
	    "applied",
	    (json_int_t)feed->source.applied_index(feed->source.context));
	feed->parent = parent;
}

/* Extends the lease by a parent's reply. The remaining time counts from the
 * sending of the request, since the delay of the reply is unknown. */
static enum error_code
receive_lease(struct config_feed *feed, uint32_t from_host,
    const struct feed_message *message)
{
	int64_t until_ms;
	uint64_t behind;

	behind = feed->request_number - message->request_number;
	if (message->request_number > feed->request_number ||
	    behind >= FEED_REQUEST_TIMES_KEPT)
		return ERROR_STALE;
	raise_in_force(feed, message->in_force_index);
	if (message->remaining_ms == 0 ||
	    message->remaining_ms > (uint64_t)feed->settings.lease_ms)
		return ERROR_NONE;
	until_ms = feed->request_sent_ms[message->request_number %
					 FEED_REQUEST_TIMES_KEPT] +
		   (int64_t)message->remaining_ms;
	if (until_ms <= feed->lease_until_ms)
		return ERROR_NONE;
	feed->lease_until_ms = until_ms;
	if (from_host == feed->parent)
		record_extension(feed);
	schedule_lease_timer(feed);
	return ERROR_NONE;
}

/* Records that the parent extended the lease, if it did so by more than the
 * allowance for clock drift. */
static void
record_extension(struct config_feed *feed)
{
	if (feed->lease_until_ms <
	    feed->extended_until_ms +
		feed->settings.renewal_interval_ms / EXTENSION_MIN_DIVISOR)
		return;
	feed->extended_until_ms = feed->lease_until_ms;
	feed->parent_progress_ms = feed_now(feed);
	feed->failed_parents = 0;
}

/* Applies pushed entries on a learner. After a gap, it requests the missing
 * entries. */
static enum error_code
receive_entries(struct config_feed *feed, const struct feed_message *message)
{
	enum error_code error;
	int64_t began_ms;
	uint64_t applied;

	if (feed->sink.apply_entries == NULL)
		return ERROR_NONE;
	applied = feed->source.applied_index(feed->source.context);
	if (message->last_index <= applied)
		return ERROR_STALE;
	if (message->first_index > applied + 1) {
		send_renewal_request(feed);
		return ERROR_STALE;
	}
	began_ms = feed_now(feed);
	error =
	    feed->sink.apply_entries(feed->sink.context, message->first_index,
		message->last_index, message->bytes, message->size);
	pause_reports(feed, feed_now(feed) - began_ms);
	feed_push_entries(feed);
	return error;
}

/* Delays the next report of progress after a push that took @p apply_ms. */
static void
pause_reports(struct config_feed *feed, int64_t apply_ms)
{
	int64_t pause_ms;

	if (apply_ms < COSTLY_APPLY_MS)
		return;
	pause_ms = apply_ms * REPORT_PAUSE_FACTOR;
	/* After a renewal interval the parent would send the push again. */
	if (pause_ms > feed->settings.renewal_interval_ms - apply_ms)
		pause_ms = feed->settings.renewal_interval_ms - apply_ms;
	if (pause_ms <= 0)
		return;
	timer_cancel(feed->timers, &feed->report_timer);
	/* The timers still have the time from before the push. */
	if (timer_subscribe_once(feed->timers, apply_ms + pause_ms,
		(struct timer_callback){end_report_pause, feed},
		&feed->report_timer) == ERROR_NONE)
		feed->report_pause_until_ms = feed_now(feed) + pause_ms;
}

static void
end_report_pause(void *context)
{
	struct config_feed *feed = context;

	feed->report_pause_until_ms = INT64_MIN;
	report_progress(feed);
}

/* Collects a piece of a snapshot, requests the next one, and installs the
 * snapshot when it is complete. */
static enum error_code
receive_snapshot(struct config_feed *feed, const struct feed_message *message)
{
	enum error_code error;
	int64_t now_ms;

	now_ms = feed_now(feed);
	if (feed->sink.install_snapshot == NULL ||
	    message->last_index <=
		feed->source.applied_index(feed->source.context) ||
	    now_ms < feed->snapshot_retry_ms)
		return ERROR_STALE;
	if (feed->incoming_snapshot == NULL ||
	    feed->incoming_snapshot_index != message->last_index) {
		if (message->offset != 0)
			return ERROR_STALE;
		if (feed->incoming_snapshot != NULL)
			g_byte_array_unref(feed->incoming_snapshot);
		feed->incoming_snapshot = g_byte_array_new();
		feed->incoming_snapshot_index = message->last_index;
	}
	if (message->offset != feed->incoming_snapshot->len ||
	    message->size > message->total_size - message->offset)
		return ERROR_STALE;
	g_byte_array_append(
	    feed->incoming_snapshot, message->bytes, (guint)message->size);
	if (feed->incoming_snapshot->len < message->total_size) {
		send_renewal_request(feed);
		return ERROR_NONE;
	}
	error =
	    feed->sink.install_snapshot(feed->sink.context, message->last_index,
		feed->incoming_snapshot->data, feed->incoming_snapshot->len);
	g_byte_array_unref(feed->incoming_snapshot);
	feed->incoming_snapshot = NULL;
	feed->incoming_snapshot_index = 0;
	if (error != ERROR_NONE)
		feed->snapshot_retry_ms = now_ms + SNAPSHOT_RETRY_DELAY_MS;
	return error;
}

/* Moves on to the next possible parent when this one has too many children. */
static void
receive_refusal(struct config_feed *feed, uint32_t from_host)
{
	if (from_host != feed->parent)
		return;
	feed->parent_rank++;
	feed->parent_progress_ms = feed_now(feed);
}

/* Reports newly applied entries to the parent at once. The index in force thus
 * advances at network speed instead of once per renewal, and the parent may
 * send the next entries. */
static void
report_progress(struct config_feed *feed)
{
	if (feed_now(feed) < feed->report_pause_until_ms)
		return;
	if (feed_subtree_index(feed) > feed->reported_index ||
	    has_unreported_entries(feed)) {
		choose_parent(feed);
		if (feed->parent != 0)
			send_renewal_request(feed);
	}
	update_in_force(feed);
}

/* True on a learner that has applied entries since its latest request. */
static bool
has_unreported_entries(const struct config_feed *feed)
{
	return feed->sink.apply_entries != NULL &&
	       feed->source.applied_index(feed->source.context) >
		   feed->reported_applied_index;
}

/* Advances the index in force on the leader. The leader waits until every lease
 * that its predecessor may have granted has expired, allowing for clock drift,
 * and needs a valid lease itself. */
static void
update_in_force(struct config_feed *feed)
{
	int64_t now_ms;

	now_ms = feed_now(feed);
	if (feed->leader_since_ms == INT64_MIN ||
	    now_ms - feed->leader_since_ms <
		feed->settings.lease_ms + FEED_CLOCK_DRIFT_MS(feed) ||
	    feed_leader_lease_end(feed) <= now_ms)
		return;
	feed_remove_expired_children(feed);
	raise_in_force(feed, feed_subtree_index(feed));
}

static void
raise_in_force(struct config_feed *feed, uint64_t index)
{
	if (index > feed->lease_floor_index)
		feed->lease_floor_index = index;
	if (index <= feed->in_force_index)
		return;
	feed->in_force_index = index;
	if (feed->ops.on_in_force != NULL)
		feed->ops.on_in_force(feed->ops.context, index);
}

/* Returns the end of the lease held as the leader or from a parent, the later
 * of both. */
static int64_t
lease_end(const struct config_feed *feed)
{
	int64_t leader_ms;

	leader_ms = feed_leader_lease_end(feed);
	return leader_ms > feed->lease_until_ms ? leader_ms
						: feed->lease_until_ms;
}
