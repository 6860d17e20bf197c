#include "coordination/grant_owner.h"

#include <string.h>

#include "base/event_log.h"
#include "coordination/capacity_math.h"
#include "coordination/grant_owner_parts.h"
#include "protocol/grant_message.h"

static void run_tick(void *context);
static void free_upstream(gpointer upstream);
static void begin_event(struct owner_event *event, struct grant_owner *owner);
static void end_event(struct owner_event *event);
static void tick_upstream(
    struct owner_event *event, struct owned_upstream *upstream);
static void queue_offer(struct owner_event *event,
    struct owned_upstream *upstream, struct ledger_holder *holder);
static enum error_code receive_reports(struct owner_event *event,
    uint32_t from_host, const struct grant_reader *reader);
static bool apply_report(struct owner_event *event,
    struct owned_upstream *upstream, uint32_t from_host,
    const struct grant_header *header, struct grant_report *report);
static void update_warmup(struct owner_event *event,
    struct owned_upstream *upstream, const struct grant_report *report);

struct grant_owner_settings
grant_owner_default_settings(uint32_t host_id)
{
	struct grant_owner_settings settings = {
	    .host_id = host_id,
	    .grant_ms = 5000,
	    .config_lease_ms = 5000,
	    .request_max_ms = 600000,
	    .orphan_drain_ms = 5000,
	    .query_interval_ms = 300,
	    .tick_ms = 100,
	    .upstreams_max = UPSTREAMS_MAX,
	};

	settings.warmup = warmup_default_settings();
	return settings;
}

enum error_code
grant_owner_init(struct grant_owner *owner,
    const struct grant_owner_settings *settings, struct timer_service *timers,
    struct peer_port port, const struct owner_map *map)
{
	struct timer_callback tick = {run_tick, owner};
	enum error_code error;

	memset(owner, 0, sizeof(*owner));
	if (settings->grant_ms < 1 || settings->host_id == OWNER_NONE)
		return ERROR_INVALID_ARGUMENT;
	error = timer_subscribe_every(
	    timers, settings->tick_ms, tick, &owner->tick_timer);
	if (error != ERROR_NONE)
		return error;
	owner->settings = *settings;
	owner->timers = timers;
	owner->port = port;
	owner->map = map;
	owner->upstreams = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_upstream);
	owner->owned = g_ptr_array_new();
	owner->answered_queries =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return ERROR_NONE;
}

void
grant_owner_finish(struct grant_owner *owner)
{
	if (owner->upstreams == NULL)
		return;
	timer_cancel(owner->timers, &owner->tick_timer);
	g_hash_table_destroy(owner->upstreams);
	g_ptr_array_free(owner->owned, TRUE);
	g_hash_table_destroy(owner->answered_queries);
	memset(owner, 0, sizeof(*owner));
}

void
grant_owner_set_lease(struct grant_owner *owner, int64_t until_ms)
{
	owner->lease_until_ms = until_ms;
}

void
grant_owner_on_map_changed(
    struct grant_owner *owner, enum owner_map_change change)
{
	struct owner_event event;
	GHashTableIter iter;
	gpointer value;

	if (change == OWNER_MAP_UNCHANGED)
		return;
	begin_event(&event, owner);
	owner->orphans_end_ms = event.now_ms + owner->settings.orphan_drain_ms;
	/* When a host joins, the previous owner of an upstream is alive and
	 * may still grant until its lease expires. A host is removed from the
	 * live set only after its lease has expired. */
	if (change != OWNER_MAP_REMOVED)
		owner->older_grants_end_ms =
		    event.now_ms + owner->settings.config_lease_ms;
	g_hash_table_iter_init(&iter, owner->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		takeover_change_owner(&event, value, change);
	takeover_advance(&event);
	end_event(&event);
}

enum error_code
grant_owner_set_upstream(struct grant_owner *owner,
    const struct upstream_record *record, bool is_taken_out)
{
	struct owned_upstream *upstream;
	struct owner_event event;
	bool is_new;

	upstream = grant_owner_find(owner, record->id);
	if (upstream != NULL &&
	    record->incarnation < upstream->warmup.incarnation)
		return ERROR_STALE;
	begin_event(&event, owner);
	is_new = upstream == NULL;
	if (is_new) {
		if (g_hash_table_size(owner->upstreams) >=
		    owner->settings.upstreams_max) {
			end_event(&event);
			return ERROR_TABLE_FULL;
		}
		upstream = g_new0(struct owned_upstream, 1);
		upstream->id = record->id;
		grant_ledger_init(&upstream->ledger);
		g_hash_table_insert(owner->upstreams, &upstream->id, upstream);
	} else if (record->incarnation > upstream->warmup.incarnation) {
		grant_ledger_restart(&upstream->ledger);
	}
	warmup_start(&upstream->warmup, &record->limits, record->incarnation,
	    event.now_ms);
	upstream->is_active =
	    record->state == UPSTREAM_STATE_ACTIVE && !is_taken_out;
	if (is_new && owner_map_owner(owner->map, upstream->id) ==
			  owner->settings.host_id) {
		takeover_start(&event, upstream);
		takeover_advance(&event);
	}
	grant_owner_divide(&event, upstream);
	end_event(&event);
	return ERROR_NONE;
}

void
grant_owner_remove_upstream(struct grant_owner *owner, uint64_t upstream_id)
{
	struct owned_upstream *upstream;

	upstream = grant_owner_find(owner, upstream_id);
	if (upstream == NULL)
		return;
	if (upstream->is_listed)
		g_ptr_array_remove_fast(owner->owned, upstream);
	g_hash_table_remove(owner->upstreams, &upstream_id);
}

enum error_code
grant_owner_receive(struct grant_owner *owner, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct owner_event event;
	enum error_code error;

	begin_event(&event, owner);
	switch (reader->header.type) {
	case GRANT_MESSAGE_REPORT:
		error = receive_reports(&event, from_host, reader);
		break;
	case GRANT_MESSAGE_USE_ANSWER:
		error = takeover_receive_use(&event, from_host, reader);
		break;
	case GRANT_MESSAGE_LEDGER:
		error = takeover_receive_ledger(&event, from_host, reader);
		break;
	case GRANT_MESSAGE_LEDGER_TAKEN:
		error =
		    takeover_receive_ledger_taken(&event, from_host, reader);
		break;
	default:
		error = ERROR_INVALID_ARGUMENT;
		break;
	}
	end_event(&event);
	return error;
}

void
grant_owner_stop_granting(struct grant_owner *owner)
{
	owner->is_stopping = true;
}

int64_t
grant_owner_grants_end(const struct grant_owner *owner)
{
	struct owned_upstream *upstream;
	struct ledger_holder *holder;
	int64_t end_ms;
	uint32_t i;
	guint at;

	end_ms = 0;
	for (at = 0; at < owner->owned->len; at++) {
		upstream = g_ptr_array_index(owner->owned, at);
		for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
			holder = grant_ledger_get(&upstream->ledger, i);
			if (holder->expires_ms > end_ms)
				end_ms = holder->expires_ms;
		}
	}
	return end_ms;
}

enum error_code
grant_owner_view(const struct grant_owner *owner, uint64_t upstream_id,
    struct grant_owner_view *view)
{
	struct owned_upstream *upstream;

	upstream = grant_owner_find(owner, upstream_id);
	if (upstream == NULL)
		return ERROR_NOT_FOUND;
	memset(view, 0, sizeof(*view));
	view->is_owned = upstream->phase == PHASE_WAITING ||
			 upstream->phase == PHASE_QUERYING ||
			 upstream->phase == PHASE_GRANTING;
	view->is_granting = upstream->phase == PHASE_GRANTING;
	view->bound = upstream->warmup.bound;
	view->counted = grant_ledger_counted(&upstream->ledger);
	view->holders = grant_ledger_count(&upstream->ledger);
	return ERROR_NONE;
}

struct owned_upstream *
grant_owner_find(const struct grant_owner *owner, uint64_t upstream_id)
{
	return g_hash_table_lookup(owner->upstreams, &upstream_id);
}

void
grant_owner_divide(struct owner_event *event, struct owned_upstream *upstream)
{
	struct grant_owner *owner = event->owner;
	struct capacity_amount bound = {0};
	struct ledger_holder *holder;
	uint32_t i;

	if (upstream->phase != PHASE_GRANTING)
		return;
	if (upstream->is_active)
		bound = upstream->warmup.bound;
	grant_ledger_divide(&upstream->ledger, &bound,
	    event->now_ms - owner->settings.grant_ms);
	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		holder = grant_ledger_get(&upstream->ledger, i);
		if (holder->must_send_offer)
			queue_offer(event, upstream, holder);
	}
}

static void
run_tick(void *context)
{
	struct grant_owner *owner = context;
	struct owned_upstream *upstream;
	struct owner_event event;
	guint i;

	begin_event(&event, owner);
	takeover_advance(&event);
	for (i = owner->owned->len; i > 0; i--) {
		upstream = g_ptr_array_index(owner->owned, i - 1);
		tick_upstream(&event, upstream);
		if (upstream->phase != PHASE_NOT_OWNED)
			continue;
		upstream->is_listed = false;
		g_ptr_array_remove_index_fast(owner->owned, i - 1);
	}
	end_event(&event);
}

static void
free_upstream(gpointer upstream)
{
	struct owned_upstream *freed = upstream;

	grant_ledger_finish(&freed->ledger);
	g_free(freed);
}

static void
begin_event(struct owner_event *event, struct grant_owner *owner)
{
	event->owner = owner;
	event->now_ms = timer_now(owner->timers);
	grant_outbox_init(&event->outbox);
}

static void
end_event(struct owner_event *event)
{
	event->owner->counters.offers +=
	    grant_outbox_send(&event->outbox, &event->owner->port);
	grant_outbox_finish(&event->outbox);
}

static void
tick_upstream(struct owner_event *event, struct owned_upstream *upstream)
{
	struct grant_owner *owner = event->owner;
	struct ledger_holder *holder;
	uint32_t i;

	if (upstream->phase == PHASE_HANDING_OVER) {
		if (event->now_ms < upstream->phase_until_ms) {
			takeover_send_ledger(event, upstream);
			return;
		}
		upstream->phase = PHASE_NOT_OWNED;
		grant_ledger_clear(&upstream->ledger);
	}
	if (upstream->phase != PHASE_GRANTING)
		return;
	grant_ledger_expire(
	    &upstream->ledger, event->now_ms, owner->settings.request_max_ms);
	if (warmup_check_idle(
		&upstream->warmup, &owner->settings.warmup, event->now_ms))
		owner->counters.warmup_cuts++;
	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		holder = grant_ledger_get(&upstream->ledger, i);
		/* Repeat a lowered offer until the holder confirms it. */
		if (!holder->is_acked && holder->expires_ms > event->now_ms &&
		    !capacity_fits(&holder->counted, &holder->offered))
			queue_offer(event, upstream, holder);
	}
	grant_owner_divide(event, upstream);
}

/* Adds an offer to the outbox, unless no grant can be given to the holder now.
 * A changed offer gets a new number even if it can't be sent, so a holder's
 * acknowledgement of an older number never confirms the changed amount. */
static void
queue_offer(struct owner_event *event, struct owned_upstream *upstream,
    struct ledger_holder *holder)
{
	struct grant_owner *owner = event->owner;
	struct outbox_offer out;
	int64_t duration_ms, until_ms;

	if (holder->must_send_offer) {
		holder->term = owner->map->epoch;
		holder->offer_number = ++owner->offer_number;
		holder->must_send_offer = false;
		holder->is_acked = false;
		if (!capacity_fits(&holder->counted, &holder->offered))
			owner->counters.revocations++;
	}
	duration_ms = owner->lease_until_ms - event->now_ms;
	if (duration_ms > owner->settings.grant_ms)
		duration_ms = owner->settings.grant_ms;
	/* The holder counts the duration from when it sent the report, which
	 * was before the report arrived. So this time is on the safe side. */
	until_ms = holder->reported_ms + duration_ms;
	if (until_ms <= event->now_ms || owner->is_stopping ||
	    holder->report_sequence == 0 || holder->removed_until_ms != 0)
		return;
	if (holder->expires_ms < until_ms)
		holder->expires_ms = until_ms;
	memset(&out, 0, sizeof(out));
	out.host_id = holder->host_id;
	out.instance = holder->instance;
	out.sequence = holder->report_sequence;
	out.offer.upstream_id = upstream->id;
	out.offer.incarnation = upstream->warmup.incarnation;
	out.offer.term = holder->term;
	out.offer.offer_number = holder->offer_number;
	out.offer.amount = holder->offered;
	out.offer.warmth = warmup_warmth(&upstream->warmup);
	out.offer.duration_ms = (uint32_t)duration_ms;
	grant_outbox_add(&event->outbox, &out);
}

static enum error_code
receive_reports(struct owner_event *event, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct owned_upstream *upstream;
	struct ledger_holder *holder;
	enum error_code error;
	struct grant_report report;
	uint32_t i;

	if (!owner_map_has(event->owner->map, from_host))
		return ERROR_STALE;
	for (i = 0; i < reader->header.row_count; i++) {
		error = grant_reader_read_report(reader, i, &report);
		if (error != ERROR_NONE)
			return error;
		upstream = grant_owner_find(event->owner, report.upstream_id);
		if (upstream == NULL ||
		    !apply_report(
			event, upstream, from_host, &reader->header, &report))
			continue;
		grant_owner_divide(event, upstream);
		holder = grant_ledger_find(&upstream->ledger, from_host);
		if (reader->header.wants_answer &&
		    upstream->phase == PHASE_GRANTING && holder != NULL)
			queue_offer(event, upstream, holder);
	}
	return ERROR_NONE;
}

/* Applies one row of a demand report to the ledger and the warm-up bound.
 * Returns false if the row is outdated or the upstream is not owned here. */
static bool
apply_report(struct owner_event *event, struct owned_upstream *upstream,
    uint32_t from_host, const struct grant_header *header,
    struct grant_report *report)
{
	struct ledger_holder *holder;

	if (upstream->phase == PHASE_NOT_OWNED ||
	    upstream->phase == PHASE_HANDING_OVER ||
	    report->incarnation > upstream->warmup.incarnation)
		return false;
	if (report->incarnation < upstream->warmup.incarnation) {
		/* The holder's requests ended with the old incarnation; the
		 * offer that answers the report names the new one. */
		memset(&report->used, 0, sizeof(report->used));
		memset(&report->wanted, 0, sizeof(report->wanted));
		memset(&report->largest_waiting, 0,
		    sizeof(report->largest_waiting));
		report->term = 0;
		report->in_time_answers = 0;
		report->is_cold = false;
	}
	takeover_raise_offer_number(event, report);
	holder = grant_ledger_find_or_add(&upstream->ledger, from_host);
	/* A holder that was removed from the ledger may know the number of an
	 * old offer and ignore offers with smaller ones. Its new record
	 * therefore starts with a new number. */
	if (holder->offer_number == 0) {
		holder->term = event->owner->map->epoch;
		holder->offer_number = ++event->owner->offer_number;
	}
	if (!grant_ledger_record_report(holder, header, report, event->now_ms,
		event->owner->settings.orphan_drain_ms))
		return false;
	update_warmup(event, upstream, report);
	return true;
}

/* Cuts the warm-up bound on reported evidence of cold; otherwise counts the
 * reported answers in time, which raise the bound. */
static void
update_warmup(struct owner_event *event, struct owned_upstream *upstream,
    const struct grant_report *report)
{
	struct grant_owner *owner = event->owner;
	struct capacity_amount used;

	if (report->is_cold) {
		upstream->is_cold = true;
		if (warmup_cut(&upstream->warmup, event->now_ms)) {
			owner->counters.warmup_cuts++;
			event_log_write(EVENT_UPSTREAM_TURNED_COLD,
			    "upstream=%016" G_GINT64_MODIFIER "x",
			    (guint64)upstream->id);
		}
		return;
	}
	/* Holders count answers only while they use nearly all of their own
	 * grant, so the counted amount stands for the use of the bound. */
	used = grant_ledger_counted(&upstream->ledger);
	warmup_record_in_time(&upstream->warmup, &owner->settings.warmup,
	    report->in_time_answers, &used, event->now_ms);
}
