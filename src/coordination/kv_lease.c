#include "coordination/kv_lease.h"

#include <string.h>

#include "base/event_log.h"
#include "protocol/grant_message.h"

/* Position of the host id in a reservation id, above a 32-bit number. */
#define HOST_SHIFT 32

/* A suspect is removed this many times retry_ms after its last report. */
#define SUSPECT_KEPT_RETRIES 20

/* State of a lease. */
enum lease_state {
	LEASE_REQUESTED = 1, /* The upstream may or may not hold it yet. */
	LEASE_HELD,	     /* The upstream has confirmed the reservation. */
	LEASE_RELEASING,     /* The release is repeated until confirmed. */
};

/* A lease of this host; its id is that of the reservation. */
struct kv_lease {
	uint64_t id;
	uint64_t upstream_id;
	uint64_t incarnation;
	enum kv_lease_kind kind;
	uint64_t tokens;
	int64_t begun_ms;
	int64_t deadline_ms;
	int64_t next_release_ms; /* When to repeat the release. */
	bool was_held;		 /* The upstream confirmed the reservation. */
	enum lease_state state;
};

/* A reservation that an upstream holds and that is not a lease of this host. It
 * is checked for being an orphan. */
struct kv_suspect {
	uint64_t id;
	uint64_t upstream_id;
	uint64_t incarnation;
	bool is_orphan;	       /* No host knows it, so it is released. */
	int64_t reported_ms;   /* When the upstream last reported it. */
	int64_t host_live_ms;  /* When its host was last on the live set, or
				  when the check began if it was not since. */
	int64_t next_check_ms; /* When to repeat the query or release. */
};

static void run_tick(void *context);
static void tick_leases(struct kv_lease_table *table, int64_t now_ms);
static void tick_suspects(struct kv_lease_table *table, int64_t now_ms);
static void start_release(
    struct kv_lease_table *table, struct kv_lease *lease, int64_t now_ms);
static void record_suspect(struct kv_lease_table *table, uint64_t upstream_id,
    uint64_t incarnation, uint64_t reservation_id);
static void check_suspect(
    struct kv_lease_table *table, struct kv_suspect *suspect, int64_t now_ms);
static void send_row(struct kv_lease_table *table, uint32_t to_host,
    enum grant_message_type type, const struct grant_kv_row *row);
static void mark_orphan(
    struct kv_lease_table *table, struct kv_suspect *suspect);
static bool is_own_lease(
    const struct kv_lease_table *table, const struct grant_kv_row *row);

struct kv_lease_settings
kv_lease_default_settings(uint32_t host_id, uint32_t first_number)
{
	struct kv_lease_settings settings = {
	    .host_id = host_id,
	    .first_id_number = first_number,
	    .leases_max = 65536,
	    .suspects_max = 4096,
	    .host_dead_ms = 30000,
	    .retry_ms = 500,
	    .reserve_call_max_ms = 10000,
	};

	return settings;
}

enum error_code
kv_lease_init(struct kv_lease_table *table,
    const struct kv_lease_settings *settings, const struct kv_lease_ops *ops,
    struct timer_service *timers, struct peer_port port,
    const struct owner_map *map)
{
	struct timer_callback tick = {run_tick, table};
	enum error_code error;

	memset(table, 0, sizeof(*table));
	if (settings->host_id == OWNER_NONE || settings->retry_ms < 2 ||
	    ops->send_release == NULL)
		return ERROR_INVALID_ARGUMENT;
	error = timer_subscribe_every(
	    timers, settings->retry_ms / 2, tick, &table->tick_timer);
	if (error != ERROR_NONE)
		return error;
	table->settings = *settings;
	table->ops = *ops;
	table->timers = timers;
	table->port = port;
	table->map = map;
	table->next_id_number = settings->first_id_number;
	table->leases =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	table->suspects =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return ERROR_NONE;
}

void
kv_lease_finish(struct kv_lease_table *table)
{
	if (table->leases == NULL)
		return;
	timer_cancel(table->timers, &table->tick_timer);
	g_hash_table_destroy(table->leases);
	g_hash_table_destroy(table->suspects);
	memset(table, 0, sizeof(*table));
}

enum error_code
kv_lease_begin(struct kv_lease_table *table, uint64_t upstream_id,
    uint64_t incarnation, enum kv_lease_kind kind, uint64_t tokens,
    int64_t deadline_ms, uint64_t *reservation_id)
{
	struct kv_lease *lease;

	if (g_hash_table_size(table->leases) >= table->settings.leases_max)
		return ERROR_TABLE_FULL;
	lease = g_new0(struct kv_lease, 1);
	do {
		lease->id = (uint64_t)table->settings.host_id << HOST_SHIFT |
			    table->next_id_number++;
	} while (g_hash_table_contains(table->leases, &lease->id));
	lease->upstream_id = upstream_id;
	lease->incarnation = incarnation;
	lease->kind = kind;
	lease->tokens = tokens;
	lease->begun_ms = timer_now(table->timers);
	lease->deadline_ms = deadline_ms;
	lease->state = LEASE_REQUESTED;
	g_hash_table_insert(table->leases, &lease->id, lease);
	*reservation_id = lease->id;
	return ERROR_NONE;
}

enum error_code
kv_lease_record_held(struct kv_lease_table *table, uint64_t reservation_id)
{
	struct kv_lease *lease;

	lease = g_hash_table_lookup(table->leases, &reservation_id);
	if (lease == NULL)
		return ERROR_NOT_FOUND;
	lease->was_held = true;
	if (lease->state == LEASE_RELEASING)
		return ERROR_CANCELLED;
	lease->state = LEASE_HELD;
	return ERROR_NONE;
}

void
kv_lease_release(struct kv_lease_table *table, uint64_t reservation_id)
{
	struct kv_lease *lease;

	lease = g_hash_table_lookup(table->leases, &reservation_id);
	if (lease == NULL || lease->state == LEASE_RELEASING)
		return;
	start_release(table, lease, timer_now(table->timers));
}

void
kv_lease_record_released(
    struct kv_lease_table *table, uint64_t reservation_id, bool was_known)
{
	struct kv_lease *lease;
	int64_t age_ms;

	lease = g_hash_table_lookup(table->leases, &reservation_id);
	if (lease == NULL || lease->state != LEASE_RELEASING)
		return;
	age_ms = timer_now(table->timers) - lease->begun_ms;
	/* The release may have arrived before the call to reserve, which then
	 * still reserves memory. So the release is repeated. */
	if (!was_known && !lease->was_held &&
	    age_ms < table->settings.reserve_call_max_ms)
		return;
	g_hash_table_remove(table->leases, &reservation_id);
	if (table->ops.on_ended != NULL)
		table->ops.on_ended(table->ops.context, reservation_id);
}

void
kv_lease_set_incarnation(
    struct kv_lease_table *table, uint64_t upstream_id, uint64_t incarnation)
{
	struct kv_suspect *suspect;
	struct kv_lease *lease;
	GHashTableIter iter;
	GArray *ended;
	gpointer value;
	guint i;

	ended = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_iter_init(&iter, table->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lease = value;
		if (lease->upstream_id != upstream_id ||
		    lease->incarnation >= incarnation)
			continue;
		g_array_append_val(ended, lease->id);
		g_hash_table_iter_remove(&iter);
	}
	/* The callback may begin other leases, so it must not run while the
	 * table is being iterated. */
	for (i = 0; i < ended->len && table->ops.on_ended != NULL; i++)
		table->ops.on_ended(
		    table->ops.context, g_array_index(ended, uint64_t, i));
	g_array_free(ended, TRUE);
	g_hash_table_iter_init(&iter, table->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		suspect = value;
		if (suspect->upstream_id == upstream_id &&
		    suspect->incarnation < incarnation)
			g_hash_table_iter_remove(&iter);
	}
}

uint32_t
kv_lease_count(const struct kv_lease_table *table)
{
	return g_hash_table_size(table->leases);
}

uint64_t
kv_lease_tokens(const struct kv_lease_table *table, uint64_t upstream_id)
{
	const struct kv_lease *lease;
	GHashTableIter iter;
	gpointer value;
	uint64_t tokens;

	tokens = 0;
	g_hash_table_iter_init(&iter, table->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lease = value;
		if (lease->upstream_id == upstream_id)
			tokens += lease->tokens;
	}
	return tokens;
}

void
kv_lease_check_held(struct kv_lease_table *table, uint64_t upstream_id,
    uint64_t incarnation, const uint64_t *reservation_ids, uint32_t count)
{
	uint32_t i;

	if (owner_map_owner(table->map, upstream_id) != table->settings.host_id)
		return;
	for (i = 0; i < count; i++)
		record_suspect(
		    table, upstream_id, incarnation, reservation_ids[i]);
}

enum error_code
kv_lease_receive(struct kv_lease_table *table, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct kv_suspect *suspect;
	struct grant_kv_row row;
	enum error_code error;
	uint32_t i;

	for (i = 0; i < reader->header.row_count; i++) {
		error = grant_reader_read_kv_row(reader, i, &row);
		if (error != ERROR_NONE)
			return error;
		if (reader->header.type == GRANT_MESSAGE_KV_QUERY) {
			row.is_live = is_own_lease(table, &row);
			send_row(
			    table, from_host, GRANT_MESSAGE_KV_ANSWER, &row);
			continue;
		}
		suspect =
		    g_hash_table_lookup(table->suspects, &row.reservation_id);
		if (suspect == NULL ||
		    row.reservation_id >> HOST_SHIFT != from_host ||
		    suspect->incarnation != row.incarnation)
			continue;
		if (row.is_live)
			g_hash_table_remove(
			    table->suspects, &row.reservation_id);
		else
			mark_orphan(table, suspect);
	}
	return ERROR_NONE;
}

static void
run_tick(void *context)
{
	struct kv_lease_table *table = context;
	int64_t now_ms;

	now_ms = timer_now(table->timers);
	tick_leases(table, now_ms);
	tick_suspects(table, now_ms);
}

static void
tick_leases(struct kv_lease_table *table, int64_t now_ms)
{
	struct kv_lease *lease;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lease = value;
		if (lease->state != LEASE_RELEASING &&
		    now_ms >= lease->deadline_ms)
			lease->state = LEASE_RELEASING;
		if (lease->state != LEASE_RELEASING ||
		    now_ms < lease->next_release_ms)
			continue;
		lease->next_release_ms = now_ms + table->settings.retry_ms;
		table->ops.send_release(table->ops.context, lease->upstream_id,
		    lease->incarnation, lease->id);
	}
}

static void
tick_suspects(struct kv_lease_table *table, int64_t now_ms)
{
	struct kv_suspect *suspect;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		suspect = value;
		/* The upstream no longer reports it: it has been released, or
		 * another host owns the upstream now. */
		if (now_ms - suspect->reported_ms >=
		    table->settings.retry_ms * SUSPECT_KEPT_RETRIES) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (now_ms >= suspect->next_check_ms)
			check_suspect(table, suspect, now_ms);
	}
}

static void
start_release(
    struct kv_lease_table *table, struct kv_lease *lease, int64_t now_ms)
{
	lease->state = LEASE_RELEASING;
	lease->next_release_ms = now_ms + table->settings.retry_ms;
	table->ops.send_release(table->ops.context, lease->upstream_id,
	    lease->incarnation, lease->id);
}

static void
record_suspect(struct kv_lease_table *table, uint64_t upstream_id,
    uint64_t incarnation, uint64_t reservation_id)
{
	struct kv_suspect *suspect;
	int64_t now_ms;

	if (g_hash_table_contains(table->leases, &reservation_id))
		return;
	now_ms = timer_now(table->timers);
	suspect = g_hash_table_lookup(table->suspects, &reservation_id);
	if (suspect == NULL) {
		if (g_hash_table_size(table->suspects) >=
		    table->settings.suspects_max)
			return;
		suspect = g_new0(struct kv_suspect, 1);
		suspect->id = reservation_id;
		suspect->upstream_id = upstream_id;
		g_hash_table_insert(table->suspects, &suspect->id, suspect);
		suspect->next_check_ms = now_ms;
		suspect->host_live_ms = now_ms;
	}
	suspect->incarnation = incarnation;
	suspect->reported_ms = now_ms;
	if (now_ms >= suspect->next_check_ms)
		check_suspect(table, suspect, now_ms);
}

/* Queries the host that made a reservation, or releases the reservation if it
 * is an orphan. */
static void
check_suspect(
    struct kv_lease_table *table, struct kv_suspect *suspect, int64_t now_ms)
{
	struct grant_kv_row row = {0};
	uint32_t holder;

	suspect->next_check_ms = now_ms + table->settings.retry_ms;
	holder = (uint32_t)(suspect->id >> HOST_SHIFT);
	if (owner_map_has(table->map, holder))
		suspect->host_live_ms = now_ms;
	if (holder == table->settings.host_id ||
	    now_ms - suspect->host_live_ms >= table->settings.host_dead_ms)
		mark_orphan(table, suspect);
	if (suspect->is_orphan) {
		table->ops.send_release(table->ops.context,
		    suspect->upstream_id, suspect->incarnation, suspect->id);
		return;
	}
	row.upstream_id = suspect->upstream_id;
	row.incarnation = suspect->incarnation;
	row.reservation_id = suspect->id;
	send_row(table, holder, GRANT_MESSAGE_KV_QUERY, &row);
}

static void
send_row(struct kv_lease_table *table, uint32_t to_host,
    enum grant_message_type type, const struct grant_kv_row *row)
{
	struct grant_header header = {0};
	struct message_writer writer;

	header.type = type;
	header.epoch = table->map->epoch;
	header.row_count = 1;
	message_writer_init(&writer);
	grant_message_open(&writer, &header);
	grant_message_add_kv_row(&writer, row);
	table->port.send(table->port.context, to_host, PEER_CHANNEL_GRANT,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

static void
mark_orphan(struct kv_lease_table *table, struct kv_suspect *suspect)
{
	if (suspect->is_orphan)
		return;
	suspect->is_orphan = true;
	suspect->next_check_ms = timer_now(table->timers);
	table->orphans_released++;
	event_log_write(EVENT_KV_ORPHAN_RELEASED,
	    "upstream=%016" G_GINT64_MODIFIER
	    "x reservation=%016" G_GINT64_MODIFIER "x",
	    (guint64)suspect->upstream_id, (guint64)suspect->id);
}

static bool
is_own_lease(const struct kv_lease_table *table, const struct grant_kv_row *row)
{
	const struct kv_lease *lease;

	lease = g_hash_table_lookup(table->leases, &row->reservation_id);
	return lease != NULL && lease->incarnation == row->incarnation &&
	       lease->upstream_id == row->upstream_id;
}
