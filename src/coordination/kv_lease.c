#include "coordination/kv_lease.h"

#include <string.h>

#include "base/event_log.h"
#include "protocol/grant_message.h"

#define HOST_SHIFT     32
#define FORGET_RETRIES 20 /* Retries that a suspect outlives a report. */

/* How far a lease has come. */
enum lease_state {
	LEASE_ASKED = 1, /* The upstream may or may not hold it yet. */
	LEASE_HELD,
	LEASE_RELEASING,
};

/* A lease of this host. */
struct kv_lease {
	uint64_t id;
	uint64_t upstream_id;
	uint64_t incarnation;
	enum kv_lease_kind kind;
	uint64_t tokens;
	int64_t begun_ms;
	int64_t deadline_ms;
	int64_t next_ms; /* Next repeat of the release. */
	bool was_held;	 /* The upstream has confirmed it. */
	enum lease_state state;
};

/* A reservation that an upstream reports and this host can't explain. */
struct kv_suspect {
	uint64_t id;
	uint64_t upstream_id;
	uint64_t incarnation;
	bool is_orphan;
	int64_t reported_ms;
	int64_t live_ms; /* Its host was on the live set, or came anew. */
	int64_t next_ms; /* Next question or release. */
};

static void run_tick(void *context);
static void tick_leases(struct kv_lease_table *table, int64_t now_ms);
static void tick_suspects(struct kv_lease_table *table, int64_t now_ms);
static void start_release(
    struct kv_lease_table *table, struct kv_lease *lease, int64_t now_ms);
static void note_suspect(struct kv_lease_table *table, uint64_t upstream_id,
    uint64_t incarnation, uint64_t reservation_id);
static void step_suspect(
    struct kv_lease_table *table, struct kv_suspect *suspect, int64_t now_ms);
static void send_row(struct kv_lease_table *table, uint32_t to_host,
    enum grant_message_type type, const struct grant_kv_row *row);
static void condemn(struct kv_lease_table *table, struct kv_suspect *suspect);
static bool is_own_lease(
    const struct kv_lease_table *table, const struct grant_kv_row *row);

struct kv_lease_settings
kv_lease_default_settings(uint32_t host_id, uint32_t first_number)
{
	struct kv_lease_settings settings = {
	    .host_id = host_id,
	    .first_number = first_number,
	    .capacity = 65536,
	    .suspects_max = 4096,
	    .gone_ms = 30000,
	    .retry_ms = 500,
	    .reserve_ms = 10000,
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
	    ops->release == NULL)
		return ERROR_INVALID_ARGUMENT;
	error = timer_subscribe_every(
	    timers, settings->retry_ms / 2, tick, &table->tick);
	if (error != ERROR_NONE)
		return error;
	table->settings = *settings;
	table->ops = *ops;
	table->timers = timers;
	table->port = port;
	table->map = map;
	table->next_number = settings->first_number;
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
	timer_cancel(table->timers, &table->tick);
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

	if (g_hash_table_size(table->leases) >= table->settings.capacity)
		return ERROR_TABLE_FULL;
	lease = g_new0(struct kv_lease, 1);
	do {
		lease->id = (uint64_t)table->settings.host_id << HOST_SHIFT |
			    table->next_number++;
	} while (g_hash_table_contains(table->leases, &lease->id));
	lease->upstream_id = upstream_id;
	lease->incarnation = incarnation;
	lease->kind = kind;
	lease->tokens = tokens;
	lease->begun_ms = timer_now(table->timers);
	lease->deadline_ms = deadline_ms;
	lease->state = LEASE_ASKED;
	g_hash_table_insert(table->leases, &lease->id, lease);
	*reservation_id = lease->id;
	return ERROR_NONE;
}

enum error_code
kv_lease_note_held(struct kv_lease_table *table, uint64_t reservation_id)
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
kv_lease_note_released(
    struct kv_lease_table *table, uint64_t reservation_id, bool was_known)
{
	struct kv_lease *lease;
	int64_t age_ms;

	lease = g_hash_table_lookup(table->leases, &reservation_id);
	if (lease == NULL || lease->state != LEASE_RELEASING)
		return;
	age_ms = timer_now(table->timers) - lease->begun_ms;
	/* The release may have overtaken the call to reserve. */
	if (!was_known && !lease->was_held &&
	    age_ms < table->settings.reserve_ms)
		return;
	g_hash_table_remove(table->leases, &reservation_id);
	if (table->ops.ended != NULL)
		table->ops.ended(table->ops.context, reservation_id);
}

void
kv_lease_note_incarnation(
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
	/* Only now: the callee may begin other leases. */
	for (i = 0; i < ended->len && table->ops.ended != NULL; i++)
		table->ops.ended(
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
kv_lease_note_report(struct kv_lease_table *table, uint64_t upstream_id,
    uint64_t incarnation, const uint64_t *reservation_ids, uint32_t count)
{
	uint32_t i;

	if (owner_map_owner(table->map, upstream_id) != table->settings.host_id)
		return;
	for (i = 0; i < count; i++)
		note_suspect(
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

	for (i = 0; i < reader->head.row_count; i++) {
		error = grant_reader_kv(reader, i, &row);
		if (error != ERROR_NONE)
			return error;
		if (reader->head.type == GRANT_MESSAGE_KV_QUERY) {
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
			condemn(table, suspect);
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
		if (lease->state != LEASE_RELEASING || now_ms < lease->next_ms)
			continue;
		lease->next_ms = now_ms + table->settings.retry_ms;
		table->ops.release(table->ops.context, lease->upstream_id,
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
		/* Reported no longer: released, or another host owns it. */
		if (now_ms - suspect->reported_ms >=
		    table->settings.retry_ms * FORGET_RETRIES) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (now_ms >= suspect->next_ms)
			step_suspect(table, suspect, now_ms);
	}
}

static void
start_release(
    struct kv_lease_table *table, struct kv_lease *lease, int64_t now_ms)
{
	lease->state = LEASE_RELEASING;
	lease->next_ms = now_ms + table->settings.retry_ms;
	table->ops.release(table->ops.context, lease->upstream_id,
	    lease->incarnation, lease->id);
}

static void
note_suspect(struct kv_lease_table *table, uint64_t upstream_id,
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
		suspect->next_ms = now_ms;
		suspect->live_ms = now_ms;
	}
	suspect->incarnation = incarnation;
	suspect->reported_ms = now_ms;
	if (now_ms >= suspect->next_ms)
		step_suspect(table, suspect, now_ms);
}

/* Asks the holder, or releases what nobody holds. */
static void
step_suspect(
    struct kv_lease_table *table, struct kv_suspect *suspect, int64_t now_ms)
{
	struct grant_kv_row row = {0};
	uint32_t holder;

	suspect->next_ms = now_ms + table->settings.retry_ms;
	holder = (uint32_t)(suspect->id >> HOST_SHIFT);
	if (owner_map_has(table->map, holder))
		suspect->live_ms = now_ms;
	if (holder == table->settings.host_id ||
	    now_ms - suspect->live_ms >= table->settings.gone_ms)
		condemn(table, suspect);
	if (suspect->is_orphan) {
		table->ops.release(table->ops.context, suspect->upstream_id,
		    suspect->incarnation, suspect->id);
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
	struct grant_head head = {0};
	struct message_writer writer;

	head.type = type;
	head.epoch = table->map->epoch;
	head.row_count = 1;
	message_writer_init(&writer);
	grant_message_open(&writer, &head);
	grant_message_add_kv(&writer, row);
	table->port.send(table->port.context, to_host, PEER_CHANNEL_GRANT,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

static void
condemn(struct kv_lease_table *table, struct kv_suspect *suspect)
{
	if (suspect->is_orphan)
		return;
	suspect->is_orphan = true;
	suspect->next_ms = timer_now(table->timers);
	table->orphans++;
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
