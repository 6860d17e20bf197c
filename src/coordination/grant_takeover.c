#include "coordination/grant_owner_parts.h"

#include <string.h>

#include "base/event_log.h"
#include "coordination/capacity_math.h"
#include "protocol/grant_message.h"

static void mark_removed_hosts(
    struct grant_owner *owner, struct owned_upstream *upstream, int64_t now_ms);
static uint64_t last_query_answered_by_all(const struct grant_owner *owner);
static void start_granting(
    struct owner_event *event, struct owned_upstream *upstream);
static void send_queries(struct owner_event *event);
static void add_ledger_rows(struct message_writer *writer,
    const struct owned_upstream *upstream, int64_t now_ms);
static uint32_t count_ledger_rows(const struct owned_upstream *upstream);
static void record_use(struct owner_event *event,
    struct owned_upstream *upstream, uint32_t from_host, uint64_t instance,
    const struct grant_report *row);
static enum error_code import_ledger(struct owner_event *event,
    struct owned_upstream *upstream, const struct grant_reader *reader);
static void import_row(struct owner_event *event,
    struct owned_upstream *upstream, const struct grant_ledger_row *row);
static void send_ledger_taken(struct owner_event *event, uint32_t to_host,
    const struct owned_upstream *upstream);

void
takeover_change_owner(struct owner_event *event,
    struct owned_upstream *upstream, enum owner_map_change change)
{
	struct grant_owner *owner = event->owner;
	uint32_t next;
	bool was_owner;

	next = owner_map_owner(owner->map, upstream->id);
	was_owner = upstream->phase == PHASE_WAITING ||
		    upstream->phase == PHASE_QUERYING ||
		    upstream->phase == PHASE_GRANTING;
	if (next == owner->settings.host_id) {
		if (!was_owner || change == OWNER_MAP_SKIPPED) {
			takeover_start(event, upstream);
			return;
		}
		upstream->orphans_end_ms = owner->orphans_end_ms;
		mark_removed_hosts(owner, upstream, event->now_ms);
		return;
	}
	/* The ledger is handed over only if no epoch was skipped: otherwise
	 * another host may have granted in between. */
	if (upstream->phase == PHASE_GRANTING && next != OWNER_NONE &&
	    change != OWNER_MAP_SKIPPED) {
		upstream->phase = PHASE_HANDING_OVER;
		upstream->next_owner = next;
		upstream->term = owner->map->epoch;
		upstream->phase_until_ms =
		    event->now_ms + owner->settings.config_lease_ms;
		takeover_send_ledger(event, upstream);
		return;
	}
	upstream->phase = PHASE_NOT_OWNED;
	grant_ledger_clear(&upstream->ledger);
}

void
takeover_start(struct owner_event *event, struct owned_upstream *upstream)
{
	struct grant_owner *owner = event->owner;

	owner->counters.takeovers++;
	grant_ledger_clear(&upstream->ledger);
	warmup_cut(&upstream->warmup, event->now_ms);
	upstream->phase = PHASE_WAITING;
	if (!upstream->is_listed)
		g_ptr_array_add(owner->owned, upstream);
	upstream->is_listed = true;
	upstream->term = owner->map->epoch;
	upstream->phase_until_ms = owner->older_grants_end_ms;
	upstream->orphans_end_ms = owner->orphans_end_ms;
	upstream->warmth = 0;
	upstream->warmth_term = 0;
	upstream->warmth_offer_number = 0;
	upstream->is_cold = false;
}

void
takeover_advance(struct owner_event *event)
{
	struct grant_owner *owner = event->owner;
	struct owned_upstream *upstream;
	bool is_asking, is_new;
	uint64_t answered;
	uint32_t started;
	guint i;

	is_asking = false;
	is_new = false;
	started = 0;
	answered = last_query_answered_by_all(owner);
	for (i = 0; i < owner->owned->len; i++) {
		upstream = g_ptr_array_index(owner->owned, i);
		if (upstream->phase == PHASE_WAITING &&
		    event->now_ms >= upstream->phase_until_ms) {
			upstream->phase = PHASE_QUERYING;
			upstream->phase_until_ms =
			    event->now_ms + owner->settings.request_max_ms;
			upstream->query_number = owner->query_number + 1;
			is_new = true;
		}
		if (upstream->phase != PHASE_QUERYING)
			continue;
		if ((answered >= upstream->query_number &&
			event->now_ms >= upstream->orphans_end_ms) ||
		    event->now_ms >= upstream->phase_until_ms) {
			start_granting(event, upstream);
			started++;
		} else {
			is_asking = true;
		}
	}
	if (started > 0)
		event_log_write(EVENT_PREVIOUS_GRANTS_ENDED,
		    "upstreams=%u epoch=%" G_GINT64_MODIFIER "u", started,
		    (guint64)owner->map->epoch);
	if (is_new)
		owner->query_number++;
	if (is_new || (is_asking && event->now_ms >= owner->next_query_ms))
		send_queries(event);
}

void
takeover_send_ledger(struct owner_event *event, struct owned_upstream *upstream)
{
	struct grant_owner *owner = event->owner;
	struct grant_header header = {0};
	struct message_writer writer;

	grant_ledger_expire(
	    &upstream->ledger, event->now_ms, owner->settings.request_max_ms);
	header.type = GRANT_MESSAGE_LEDGER;
	header.epoch = upstream->term;
	header.row_count = 1 + count_ledger_rows(upstream);
	message_writer_init(&writer);
	grant_message_open(&writer, &header);
	add_ledger_rows(&writer, upstream, event->now_ms);
	owner->port.send(owner->port.context, upstream->next_owner,
	    PEER_CHANNEL_GRANT, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

enum error_code
takeover_receive_use(struct owner_event *event, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct grant_owner *owner = event->owner;
	struct owned_upstream *upstream;
	enum error_code error;
	struct grant_report row;
	uint64_t *answered;
	bool knows_newer;
	uint32_t i;

	if (reader->header.epoch != owner->map->epoch)
		return ERROR_STALE;
	knows_newer = false;
	for (i = 0; i < reader->header.row_count; i++) {
		error = grant_reader_read_report(reader, i, &row);
		if (error != ERROR_NONE)
			return error;
		upstream = grant_owner_find(owner, row.upstream_id);
		if (upstream == NULL ||
		    row.incarnation > upstream->warmup.incarnation) {
			knows_newer = true;
			continue;
		}
		record_use(
		    event, upstream, from_host, reader->header.instance, &row);
	}
	/* The holder runs requests on an upstream or incarnation that this
	 * host doesn't know yet, so this answer doesn't count and the query is
	 * repeated later. */
	if (knows_newer)
		return ERROR_NONE;
	answered = g_hash_table_lookup(
	    owner->answered_queries, GUINT_TO_POINTER(from_host));
	if (answered == NULL) {
		answered = g_new0(uint64_t, 1);
		g_hash_table_insert(owner->answered_queries,
		    GUINT_TO_POINTER(from_host), answered);
	}
	if (reader->header.sequence > *answered)
		*answered = reader->header.sequence;
	takeover_advance(event);
	return ERROR_NONE;
}

enum error_code
takeover_receive_ledger(struct owner_event *event, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct owned_upstream *upstream;
	struct grant_ledger_row row;
	enum error_code error;

	error = grant_reader_read_ledger_row(reader, 0, &row);
	if (error != ERROR_NONE)
		return error;
	upstream = grant_owner_find(event->owner, row.upstream_id);
	if (upstream == NULL || upstream->term != reader->header.epoch ||
	    row.incarnation > upstream->warmup.incarnation)
		return ERROR_STALE;
	if (upstream->phase == PHASE_WAITING ||
	    upstream->phase == PHASE_QUERYING) {
		error = import_ledger(event, upstream, reader);
		if (error != ERROR_NONE)
			return error;
	}
	if (upstream->phase == PHASE_GRANTING)
		send_ledger_taken(event, from_host, upstream);
	return ERROR_NONE;
}

enum error_code
takeover_receive_ledger_taken(struct owner_event *event, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct owned_upstream *upstream;
	enum error_code error;
	uint64_t id;

	error = grant_reader_read_id(reader, 0, &id);
	if (error != ERROR_NONE)
		return error;
	upstream = grant_owner_find(event->owner, id);
	if (upstream == NULL || upstream->phase != PHASE_HANDING_OVER ||
	    upstream->next_owner != from_host ||
	    upstream->term != reader->header.epoch)
		return ERROR_STALE;
	upstream->phase = PHASE_NOT_OWNED;
	grant_ledger_clear(&upstream->ledger);
	return ERROR_NONE;
}

void
takeover_raise_offer_number(
    struct owner_event *event, const struct grant_report *report)
{
	if (report->term == event->owner->map->epoch &&
	    report->offer_number > event->owner->offer_number)
		event->owner->offer_number = report->offer_number;
}

/* Sets for each holder that is off the live set when the work that engines
 * still run for it will have ended. */
static void
mark_removed_hosts(
    struct grant_owner *owner, struct owned_upstream *upstream, int64_t now_ms)
{
	struct ledger_holder *holder;
	uint32_t i;

	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		holder = grant_ledger_get(&upstream->ledger, i);
		if (owner_map_has(owner->map, holder->host_id))
			holder->removed_until_ms = 0;
		else if (holder->removed_until_ms == 0)
			holder->removed_until_ms =
			    now_ms + owner->settings.orphan_drain_ms;
	}
}

/* Returns the number of the last query that all live hosts have answered. */
static uint64_t
last_query_answered_by_all(const struct grant_owner *owner)
{
	const uint64_t *answered;
	uint64_t least;
	uint32_t i;

	least = owner->query_number;
	for (i = 0; i < owner->map->host_count; i++) {
		answered = g_hash_table_lookup(owner->answered_queries,
		    GUINT_TO_POINTER(owner->map->hosts[i]));
		if (answered == NULL)
			return 0;
		if (*answered < least)
			least = *answered;
	}
	return least;
}

static void
start_granting(struct owner_event *event, struct owned_upstream *upstream)
{
	upstream->phase = PHASE_GRANTING;
	event->owner->counters.waited_out++;
	if (!upstream->is_cold)
		warmup_restore(&upstream->warmup, upstream->warmth);
	grant_owner_divide(event, upstream);
}

static void
send_queries(struct owner_event *event)
{
	struct grant_owner *owner = event->owner;
	struct grant_header header = {0};
	struct message_writer writer;
	const uint64_t *answered;
	uint32_t i;

	header.type = GRANT_MESSAGE_USE_QUERY;
	header.epoch = owner->map->epoch;
	header.sequence = owner->query_number;
	owner->next_query_ms =
	    event->now_ms + owner->settings.query_interval_ms;
	message_writer_init(&writer);
	grant_message_open(&writer, &header);
	for (i = 0; i < owner->map->host_count; i++) {
		answered = g_hash_table_lookup(owner->answered_queries,
		    GUINT_TO_POINTER(owner->map->hosts[i]));
		if (answered != NULL && *answered >= owner->query_number)
			continue;
		owner->port.send(owner->port.context, owner->map->hosts[i],
		    PEER_CHANNEL_GRANT, message_data(&writer),
		    message_size(&writer));
	}
	message_writer_finish(&writer);
}

static void
add_ledger_rows(struct message_writer *writer,
    const struct owned_upstream *upstream, int64_t now_ms)
{
	struct grant_ledger_row row = {0};
	const struct ledger_holder *holder;
	uint32_t i;

	row.upstream_id = upstream->id;
	row.incarnation = upstream->warmup.incarnation;
	row.remaining_ms = count_ledger_rows(upstream);
	row.warmth = warmup_warmth(&upstream->warmup);
	grant_message_add_ledger_row(writer, &row);
	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		holder = grant_ledger_get(&upstream->ledger, i);
		row.host_id = holder->host_id;
		row.instance = holder->instance;
		row.amount = holder->counted;
		row.is_draining = false;
		row.remaining_ms = holder->expires_ms > now_ms
				       ? (uint64_t)(holder->expires_ms - now_ms)
				       : 0;
		grant_message_add_ledger_row(writer, &row);
		if (capacity_is_zero(&holder->draining))
			continue;
		row.amount = holder->draining;
		row.is_draining = true;
		row.remaining_ms =
		    holder->draining_until_ms > now_ms
			? (uint64_t)(holder->draining_until_ms - now_ms)
			: 0;
		grant_message_add_ledger_row(writer, &row);
	}
}

static uint32_t
count_ledger_rows(const struct owned_upstream *upstream)
{
	uint32_t rows, i;

	rows = grant_ledger_count(&upstream->ledger);
	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		if (!capacity_is_zero(
			&grant_ledger_get(&upstream->ledger, i)->draining))
			rows++;
	}
	return rows;
}

/* Records one row of a holder's answer to a query: what the holder runs and the
 * latest warm-up bound that it knows. */
static void
record_use(struct owner_event *event, struct owned_upstream *upstream,
    uint32_t from_host, uint64_t instance, const struct grant_report *row)
{
	struct ledger_holder *holder;

	if (upstream->phase != PHASE_QUERYING ||
	    row->incarnation != upstream->warmup.incarnation)
		return;
	takeover_raise_offer_number(event, row);
	holder = grant_ledger_find_or_add(&upstream->ledger, from_host);
	grant_ledger_record_process(holder, instance, event->now_ms,
	    event->owner->settings.orphan_drain_ms);
	if (instance < holder->instance) {
		/* A later process of that host has already been recorded. */
		holder->draining = capacity_max(&holder->draining, &row->used);
		holder->draining_until_ms =
		    event->now_ms + event->owner->settings.orphan_drain_ms;
		return;
	}
	holder->counted = capacity_max(&holder->counted, &row->used);
	holder->reported_ms = event->now_ms;
	if (holder->expires_ms < event->now_ms)
		holder->expires_ms = event->now_ms;
	upstream->is_cold = upstream->is_cold || row->is_cold;
	if (row->term < upstream->warmth_term ||
	    (row->term == upstream->warmth_term &&
		row->offer_number < upstream->warmth_offer_number))
		return;
	upstream->warmth_term = row->term;
	upstream->warmth_offer_number = row->offer_number;
	upstream->warmth = row->warmth;
}

/* Adds the old owner's ledger to the own one and starts granting. The first row
 * describes the upstream, and its remaining_ms holds the number of the rows of
 * holders that follow. */
static enum error_code
import_ledger(struct owner_event *event, struct owned_upstream *upstream,
    const struct grant_reader *reader)
{
	struct grant_ledger_row first, row;
	enum error_code error;
	uint32_t i;

	error = grant_reader_read_ledger_row(reader, 0, &first);
	if (error != ERROR_NONE)
		return error;
	if (first.host_id != 0 ||
	    first.remaining_ms + 1 != reader->header.row_count)
		return ERROR_MALFORMED;
	/* Check all rows first, so that a bad one leaves the ledger as is. */
	for (i = 1; i < reader->header.row_count; i++) {
		error = grant_reader_read_ledger_row(reader, i, &row);
		if (error != ERROR_NONE)
			return error;
		if (row.host_id == 0 || row.upstream_id != first.upstream_id ||
		    row.remaining_ms > UINT32_MAX)
			return ERROR_MALFORMED;
	}
	for (i = 1; i < reader->header.row_count; i++) {
		(void)grant_reader_read_ledger_row(reader, i, &row);
		import_row(event, upstream, &row);
	}
	event->owner->counters.ledgers_received++;
	upstream->phase = PHASE_GRANTING;
	if (first.incarnation == upstream->warmup.incarnation)
		warmup_restore(&upstream->warmup, first.warmth);
	else
		grant_ledger_restart(&upstream->ledger);
	mark_removed_hosts(event->owner, upstream, event->now_ms);
	grant_owner_divide(event, upstream);
	return ERROR_NONE;
}

static void
import_row(struct owner_event *event, struct owned_upstream *upstream,
    const struct grant_ledger_row *row)
{
	struct ledger_holder *holder;
	int64_t until_ms, orphans_end_ms;

	until_ms = event->now_ms + (int64_t)row->remaining_ms;
	orphans_end_ms = event->now_ms + event->owner->settings.orphan_drain_ms;
	holder = grant_ledger_find_or_add(&upstream->ledger, row->host_id);
	grant_ledger_record_process(holder, row->instance, event->now_ms,
	    event->owner->settings.orphan_drain_ms);
	if (row->is_draining || row->instance < holder->instance) {
		/* The row counts work of an earlier process of the host or of
		 * an earlier incarnation of the upstream. */
		holder->draining =
		    capacity_add(&holder->draining, &row->amount);
		if (holder->draining_until_ms < until_ms)
			holder->draining_until_ms = until_ms;
		if (!row->is_draining &&
		    holder->draining_until_ms < orphans_end_ms)
			holder->draining_until_ms = orphans_end_ms;
		return;
	}
	holder->counted = capacity_max(&holder->counted, &row->amount);
	if (holder->expires_ms < until_ms)
		holder->expires_ms = until_ms;
	if (holder->reported_ms == 0)
		holder->reported_ms = event->now_ms;
}

static void
send_ledger_taken(struct owner_event *event, uint32_t to_host,
    const struct owned_upstream *upstream)
{
	struct grant_owner *owner = event->owner;
	struct grant_header header = {0};
	struct message_writer writer;

	header.type = GRANT_MESSAGE_LEDGER_TAKEN;
	header.epoch = upstream->term;
	header.row_count = 1;
	message_writer_init(&writer);
	grant_message_open(&writer, &header);
	grant_message_add_id(&writer, upstream->id);
	owner->port.send(owner->port.context, to_host, PEER_CHANNEL_GRANT,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}
