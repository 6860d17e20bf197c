#include "coordination/grant_owner.h"

#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "coordination/capacity_math.h"
#include "coordination/grant_ledger.h"
#include "coordination/grant_outbox.h"
#include "protocol/grant_message.h"

/* How far the taking over of an upstream has come. */
enum ledger_phase {
	PHASE_NOT_OWNED = 0, /* Another host owns it. */
	PHASE_WAITING,	     /* An older owner's grants may be in force. */
	PHASE_ASKING,	     /* Holders are asked what they run. */
	PHASE_GRANTING,	     /* The ledger is complete. */
	PHASE_HANDING,	     /* The ledger goes to the new owner. */
};

/* An upstream that this host knows. */
struct owned_upstream {
	uint64_t id;
	bool is_active; /* Takes new work. */
	enum ledger_phase phase;
	bool is_listed;		/* Among the owned ones. */
	uint64_t term;		/* Epoch at which it was taken over. */
	uint32_t next_owner;	/* Who gets the ledger. */
	int64_t phase_until_ms; /* End of waiting, asking, handing. */
	int64_t departed_ms;	/* Work of departed hosts has ended. */
	uint64_t query;		/* Answers that count. */
	uint64_t warmth_term;	/* How recent the warmth below is. */
	uint64_t warmth_number; /* How recent the warmth below is. */
	uint32_t warmth;	/* What holders were told last. */
	bool is_cold;		/* A holder said that it is cold. */
	struct warmup warmup;
	struct grant_ledger ledger;
};

/* What one message or timer leads to. */
struct owner_step {
	struct grant_owner *owner;
	struct grant_outbox outbox;
	int64_t now_ms;
};

static void run_tick(void *context);
static void free_upstream(gpointer upstream);
static struct owned_upstream *find_upstream(
    const struct grant_owner *owner, uint64_t upstream_id);
static void begin_step(struct owner_step *step, struct grant_owner *owner);
static void end_step(struct owner_step *step);
static void change_owner(struct owner_step *step,
    struct owned_upstream *upstream, enum owner_map_change change);
static void mark_gone(
    struct grant_owner *owner, struct owned_upstream *upstream, int64_t now_ms);
static void take_over(struct owner_step *step, struct owned_upstream *upstream);
static void step_phases(struct owner_step *step);
static uint64_t least_answered(const struct grant_owner *owner);
static void start_granting(
    struct owner_step *step, struct owned_upstream *upstream);
static void send_queries(struct owner_step *step);
static void send_ledger(
    struct owner_step *step, struct owned_upstream *upstream);
static void add_ledger_rows(struct message_writer *writer,
    const struct owned_upstream *upstream, int64_t now_ms);
static uint32_t count_ledger_rows(const struct owned_upstream *upstream);
static void tick_upstream(
    struct owner_step *step, struct owned_upstream *upstream);
static void divide(struct owner_step *step, struct owned_upstream *upstream);
static void offer(struct owner_step *step, struct owned_upstream *upstream,
    struct ledger_holder *holder);
static enum error_code receive_asks(struct owner_step *step, uint32_t from_host,
    const struct grant_reader *reader);
static bool take_ask(struct owner_step *step, struct owned_upstream *upstream,
    uint32_t from_host, const struct grant_head *head, struct grant_ask *ask);
static void take_evidence(struct owner_step *step,
    struct owned_upstream *upstream, const struct grant_ask *ask);
static enum error_code receive_use(struct owner_step *step, uint32_t from_host,
    const struct grant_reader *reader);
static void take_use(struct owner_step *step, struct owned_upstream *upstream,
    uint32_t from_host, const struct grant_ask *row);
static enum error_code receive_ledger(struct owner_step *step,
    uint32_t from_host, const struct grant_reader *reader);
static enum error_code import_ledger(struct owner_step *step,
    struct owned_upstream *upstream, const struct grant_reader *reader);
static void import_line(struct owner_step *step,
    struct owned_upstream *upstream, const struct grant_ledger_row *row);
static enum error_code receive_taken(struct owner_step *step,
    uint32_t from_host, const struct grant_reader *reader);
static void send_taken(struct owner_step *step, uint32_t to_host,
    const struct owned_upstream *upstream);
static void raise_number(struct owner_step *step, const struct grant_ask *ask);

struct grant_owner_settings
grant_owner_default_settings(uint32_t host_id)
{
	struct grant_owner_settings settings = {
	    .host_id = host_id,
	    .grant_ms = 5000,
	    .config_lease_ms = 5000,
	    .drain_ms = 600000,
	    .gone_drain_ms = 5000,
	    .query_ms = 300,
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
	    timers, settings->tick_ms, tick, &owner->tick);
	if (error != ERROR_NONE)
		return error;
	owner->settings = *settings;
	owner->timers = timers;
	owner->port = port;
	owner->map = map;
	owner->upstreams = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_upstream);
	owner->owned = g_ptr_array_new();
	owner->answered =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return ERROR_NONE;
}

void
grant_owner_finish(struct grant_owner *owner)
{
	if (owner->upstreams == NULL)
		return;
	timer_cancel(owner->timers, &owner->tick);
	g_hash_table_destroy(owner->upstreams);
	g_ptr_array_free(owner->owned, TRUE);
	g_hash_table_destroy(owner->answered);
	memset(owner, 0, sizeof(*owner));
}

void
grant_owner_set_lease(struct grant_owner *owner, int64_t until_ms)
{
	owner->lease_until_ms = until_ms;
}

void
grant_owner_map_changed(struct grant_owner *owner, enum owner_map_change change)
{
	struct owner_step step;
	GHashTableIter iter;
	gpointer value;

	if (change == OWNER_MAP_UNCHANGED)
		return;
	begin_step(&step, owner);
	owner->departed_ms = step.now_ms + owner->settings.gone_drain_ms;
	/* The owner before a join is alive and may grant while its lease
	 * lasts; one that was taken off had none left. */
	if (change != OWNER_MAP_REMOVED)
		owner->settled_ms =
		    step.now_ms + owner->settings.config_lease_ms;
	g_hash_table_iter_init(&iter, owner->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		change_owner(&step, value, change);
	step_phases(&step);
	end_step(&step);
}

enum error_code
grant_owner_set_upstream(struct grant_owner *owner,
    const struct upstream_record *record, bool is_taken_out)
{
	struct owned_upstream *upstream;
	struct owner_step step;
	bool is_new;

	upstream = find_upstream(owner, record->id);
	if (upstream != NULL &&
	    record->incarnation < upstream->warmup.incarnation)
		return ERROR_STALE;
	begin_step(&step, owner);
	is_new = upstream == NULL;
	if (is_new) {
		if (g_hash_table_size(owner->upstreams) >=
		    owner->settings.upstreams_max) {
			end_step(&step);
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
	    step.now_ms);
	upstream->is_active =
	    record->state == UPSTREAM_STATE_ACTIVE && !is_taken_out;
	if (is_new && owner_map_owner(owner->map, upstream->id) ==
			  owner->settings.host_id) {
		take_over(&step, upstream);
		step_phases(&step);
	}
	divide(&step, upstream);
	end_step(&step);
	return ERROR_NONE;
}

void
grant_owner_remove_upstream(struct grant_owner *owner, uint64_t upstream_id)
{
	struct owned_upstream *upstream;

	upstream = find_upstream(owner, upstream_id);
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
	struct owner_step step;
	enum error_code error;

	begin_step(&step, owner);
	switch (reader->head.type) {
	case GRANT_MESSAGE_ASK:
		error = receive_asks(&step, from_host, reader);
		break;
	case GRANT_MESSAGE_USE:
		error = receive_use(&step, from_host, reader);
		break;
	case GRANT_MESSAGE_LEDGER:
		error = receive_ledger(&step, from_host, reader);
		break;
	case GRANT_MESSAGE_LEDGER_TAKEN:
		error = receive_taken(&step, from_host, reader);
		break;
	default:
		error = ERROR_INVALID_ARGUMENT;
		break;
	}
	end_step(&step);
	return error;
}

void
grant_owner_close(struct grant_owner *owner)
{
	owner->is_closing = true;
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
			holder = grant_ledger_at(&upstream->ledger, i);
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

	upstream = find_upstream(owner, upstream_id);
	if (upstream == NULL)
		return ERROR_NOT_FOUND;
	memset(view, 0, sizeof(*view));
	view->is_owned = upstream->phase == PHASE_WAITING ||
			 upstream->phase == PHASE_ASKING ||
			 upstream->phase == PHASE_GRANTING;
	view->is_granting = upstream->phase == PHASE_GRANTING;
	view->bound = upstream->warmup.bound;
	view->counted = grant_ledger_counted(&upstream->ledger);
	view->holders = grant_ledger_count(&upstream->ledger);
	return ERROR_NONE;
}

static void
run_tick(void *context)
{
	struct grant_owner *owner = context;
	struct owned_upstream *upstream;
	struct owner_step step;
	guint i;

	begin_step(&step, owner);
	step_phases(&step);
	for (i = owner->owned->len; i > 0; i--) {
		upstream = g_ptr_array_index(owner->owned, i - 1);
		tick_upstream(&step, upstream);
		if (upstream->phase != PHASE_NOT_OWNED)
			continue;
		upstream->is_listed = false;
		g_ptr_array_remove_index_fast(owner->owned, i - 1);
	}
	end_step(&step);
}

static void
free_upstream(gpointer upstream)
{
	struct owned_upstream *freed = upstream;

	grant_ledger_finish(&freed->ledger);
	g_free(freed);
}

static struct owned_upstream *
find_upstream(const struct grant_owner *owner, uint64_t upstream_id)
{
	return g_hash_table_lookup(owner->upstreams, &upstream_id);
}

static void
begin_step(struct owner_step *step, struct grant_owner *owner)
{
	step->owner = owner;
	step->now_ms = timer_now(owner->timers);
	grant_outbox_init(&step->outbox);
}

static void
end_step(struct owner_step *step)
{
	step->owner->counters.offers +=
	    grant_outbox_send(&step->outbox, &step->owner->port);
	grant_outbox_finish(&step->outbox);
}

static void
change_owner(struct owner_step *step, struct owned_upstream *upstream,
    enum owner_map_change change)
{
	struct grant_owner *owner = step->owner;
	uint32_t next;
	bool was_mine;

	next = owner_map_owner(owner->map, upstream->id);
	was_mine = upstream->phase == PHASE_WAITING ||
		   upstream->phase == PHASE_ASKING ||
		   upstream->phase == PHASE_GRANTING;
	if (next == owner->settings.host_id) {
		if (!was_mine || change == OWNER_MAP_SKIPPED) {
			take_over(step, upstream);
			return;
		}
		upstream->departed_ms = owner->departed_ms;
		mark_gone(owner, upstream, step->now_ms);
		return;
	}
	/* After skipped epochs another host may have granted in between. */
	if (upstream->phase == PHASE_GRANTING && next != OWNER_NONE &&
	    change != OWNER_MAP_SKIPPED) {
		upstream->phase = PHASE_HANDING;
		upstream->next_owner = next;
		upstream->term = owner->map->epoch;
		upstream->phase_until_ms =
		    step->now_ms + owner->settings.config_lease_ms;
		send_ledger(step, upstream);
		return;
	}
	upstream->phase = PHASE_NOT_OWNED;
	grant_ledger_clear(&upstream->ledger);
}

static void
mark_gone(
    struct grant_owner *owner, struct owned_upstream *upstream, int64_t now_ms)
{
	struct ledger_holder *holder;
	uint32_t i;

	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		holder = grant_ledger_at(&upstream->ledger, i);
		if (owner_map_has(owner->map, holder->host_id))
			holder->gone_ms = 0;
		else if (holder->gone_ms == 0)
			holder->gone_ms =
			    now_ms + owner->settings.gone_drain_ms;
	}
}

static void
take_over(struct owner_step *step, struct owned_upstream *upstream)
{
	struct grant_owner *owner = step->owner;

	owner->counters.takeovers++;
	grant_ledger_clear(&upstream->ledger);
	warmup_cut(&upstream->warmup, step->now_ms);
	upstream->phase = PHASE_WAITING;
	if (!upstream->is_listed)
		g_ptr_array_add(owner->owned, upstream);
	upstream->is_listed = true;
	upstream->term = owner->map->epoch;
	upstream->phase_until_ms = owner->settled_ms;
	upstream->departed_ms = owner->departed_ms;
	upstream->warmth = 0;
	upstream->warmth_term = 0;
	upstream->warmth_number = 0;
	upstream->is_cold = false;
}

static void
step_phases(struct owner_step *step)
{
	struct grant_owner *owner = step->owner;
	struct owned_upstream *upstream;
	bool is_asking, is_new;
	uint64_t answered;
	uint32_t started;
	guint i;

	is_asking = false;
	is_new = false;
	started = 0;
	answered = least_answered(owner);
	for (i = 0; i < owner->owned->len; i++) {
		upstream = g_ptr_array_index(owner->owned, i);
		if (upstream->phase == PHASE_WAITING &&
		    step->now_ms >= upstream->phase_until_ms) {
			upstream->phase = PHASE_ASKING;
			upstream->phase_until_ms =
			    step->now_ms + owner->settings.drain_ms;
			upstream->query = owner->query + 1;
			is_new = true;
		}
		if (upstream->phase != PHASE_ASKING)
			continue;
		if ((answered >= upstream->query &&
			step->now_ms >= upstream->departed_ms) ||
		    step->now_ms >= upstream->phase_until_ms) {
			start_granting(step, upstream);
			started++;
		} else {
			is_asking = true;
		}
	}
	if (started > 0)
		event_log_write(EVENT_GRANTS_WAITED_OUT,
		    "upstreams=%u epoch=%" G_GINT64_MODIFIER "u", started,
		    (guint64)owner->map->epoch);
	if (is_new)
		owner->query++;
	if (is_new || (is_asking && step->now_ms >= owner->query_ms))
		send_queries(step);
}

/* The last query that all live hosts have answered. */
static uint64_t
least_answered(const struct grant_owner *owner)
{
	const uint64_t *answered;
	uint64_t least;
	uint32_t i;

	least = owner->query;
	for (i = 0; i < owner->map->host_count; i++) {
		answered = g_hash_table_lookup(
		    owner->answered, GUINT_TO_POINTER(owner->map->hosts[i]));
		if (answered == NULL)
			return 0;
		if (*answered < least)
			least = *answered;
	}
	return least;
}

static void
start_granting(struct owner_step *step, struct owned_upstream *upstream)
{
	upstream->phase = PHASE_GRANTING;
	step->owner->counters.waited_out++;
	if (!upstream->is_cold)
		warmup_restore(&upstream->warmup, upstream->warmth);
	divide(step, upstream);
}

static void
send_queries(struct owner_step *step)
{
	struct grant_owner *owner = step->owner;
	struct grant_head head = {0};
	struct message_writer writer;
	const uint64_t *answered;
	uint32_t i;

	head.type = GRANT_MESSAGE_QUERY;
	head.epoch = owner->map->epoch;
	head.sequence = owner->query;
	owner->query_ms = step->now_ms + owner->settings.query_ms;
	message_writer_init(&writer);
	grant_message_open(&writer, &head);
	for (i = 0; i < owner->map->host_count; i++) {
		answered = g_hash_table_lookup(
		    owner->answered, GUINT_TO_POINTER(owner->map->hosts[i]));
		if (answered != NULL && *answered >= owner->query)
			continue;
		owner->port.send(owner->port.context, owner->map->hosts[i],
		    PEER_CHANNEL_GRANT, message_data(&writer),
		    message_size(&writer));
	}
	message_writer_finish(&writer);
}

static void
send_ledger(struct owner_step *step, struct owned_upstream *upstream)
{
	struct grant_owner *owner = step->owner;
	struct grant_head head = {0};
	struct message_writer writer;

	grant_ledger_expire(
	    &upstream->ledger, step->now_ms, owner->settings.drain_ms);
	head.type = GRANT_MESSAGE_LEDGER;
	head.epoch = upstream->term;
	head.row_count = 1 + count_ledger_rows(upstream);
	message_writer_init(&writer);
	grant_message_open(&writer, &head);
	add_ledger_rows(&writer, upstream, step->now_ms);
	owner->port.send(owner->port.context, upstream->next_owner,
	    PEER_CHANNEL_GRANT, message_data(&writer), message_size(&writer));
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
	grant_message_add_ledger(writer, &row);
	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		holder = grant_ledger_at(&upstream->ledger, i);
		row.host_id = holder->host_id;
		row.amount = holder->counted;
		row.is_draining = false;
		row.remaining_ms = holder->expires_ms > now_ms
				       ? (uint64_t)(holder->expires_ms - now_ms)
				       : 0;
		grant_message_add_ledger(writer, &row);
		if (capacity_is_zero(&holder->draining))
			continue;
		row.amount = holder->draining;
		row.is_draining = true;
		row.remaining_ms =
		    holder->draining_until_ms > now_ms
			? (uint64_t)(holder->draining_until_ms - now_ms)
			: 0;
		grant_message_add_ledger(writer, &row);
	}
}

static uint32_t
count_ledger_rows(const struct owned_upstream *upstream)
{
	uint32_t rows, i;

	rows = grant_ledger_count(&upstream->ledger);
	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		if (!capacity_is_zero(
			&grant_ledger_at(&upstream->ledger, i)->draining))
			rows++;
	}
	return rows;
}

static void
tick_upstream(struct owner_step *step, struct owned_upstream *upstream)
{
	struct grant_owner *owner = step->owner;
	struct ledger_holder *holder;
	uint32_t i;

	if (upstream->phase == PHASE_HANDING) {
		if (step->now_ms < upstream->phase_until_ms) {
			send_ledger(step, upstream);
			return;
		}
		upstream->phase = PHASE_NOT_OWNED;
		grant_ledger_clear(&upstream->ledger);
	}
	if (upstream->phase != PHASE_GRANTING)
		return;
	grant_ledger_expire(
	    &upstream->ledger, step->now_ms, owner->settings.drain_ms);
	if (warmup_check_idle(
		&upstream->warmup, &owner->settings.warmup, step->now_ms))
		owner->counters.cuts++;
	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		holder = grant_ledger_at(&upstream->ledger, i);
		/* A lowered offer is repeated until it is acknowledged. */
		if (!holder->is_acked && holder->expires_ms > step->now_ms &&
		    !capacity_fits(&holder->counted, &holder->offered))
			offer(step, upstream, holder);
	}
	divide(step, upstream);
}

static void
divide(struct owner_step *step, struct owned_upstream *upstream)
{
	struct grant_owner *owner = step->owner;
	struct capacity_amount bound = {0};
	struct ledger_holder *holder;
	uint32_t i;

	if (upstream->phase != PHASE_GRANTING)
		return;
	if (upstream->is_active)
		bound = upstream->warmup.bound;
	grant_ledger_divide(
	    &upstream->ledger, &bound, step->now_ms - owner->settings.grant_ms);
	for (i = 0; i < grant_ledger_count(&upstream->ledger); i++) {
		holder = grant_ledger_at(&upstream->ledger, i);
		if (holder->is_changed)
			offer(step, upstream, holder);
	}
}

/* The number grows even when nothing can be sent, so that what a holder
 * acknowledges is always what it has. */
static void
offer(struct owner_step *step, struct owned_upstream *upstream,
    struct ledger_holder *holder)
{
	struct grant_owner *owner = step->owner;
	struct outbox_offer out;
	int64_t duration_ms, until_ms;

	if (holder->is_changed) {
		holder->term = owner->map->epoch;
		holder->number = ++owner->number;
		holder->is_changed = false;
		holder->is_acked = false;
		if (!capacity_fits(&holder->counted, &holder->offered))
			owner->counters.revocations++;
	}
	duration_ms = owner->lease_until_ms - step->now_ms;
	if (duration_ms > owner->settings.grant_ms)
		duration_ms = owner->settings.grant_ms;
	/* The holder counts from when it asked, which was before it came. */
	until_ms = holder->asked_ms + duration_ms;
	if (until_ms <= step->now_ms || owner->is_closing ||
	    holder->sequence == 0 || holder->gone_ms != 0)
		return;
	if (holder->expires_ms < until_ms)
		holder->expires_ms = until_ms;
	memset(&out, 0, sizeof(out));
	out.host_id = holder->host_id;
	out.instance = holder->instance;
	out.sequence = holder->sequence;
	out.offer.upstream_id = upstream->id;
	out.offer.incarnation = upstream->warmup.incarnation;
	out.offer.term = holder->term;
	out.offer.number = holder->number;
	out.offer.amount = holder->offered;
	out.offer.warmth = warmup_warmth(&upstream->warmup);
	out.offer.duration_ms = (uint32_t)duration_ms;
	grant_outbox_add(&step->outbox, &out);
}

static enum error_code
receive_asks(struct owner_step *step, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct owned_upstream *upstream;
	struct ledger_holder *holder;
	enum error_code error;
	struct grant_ask ask;
	uint32_t i;

	if (!owner_map_has(step->owner->map, from_host))
		return ERROR_STALE;
	for (i = 0; i < reader->head.row_count; i++) {
		error = grant_reader_ask(reader, i, &ask);
		if (error != ERROR_NONE)
			return error;
		upstream = find_upstream(step->owner, ask.upstream_id);
		if (upstream == NULL ||
		    !take_ask(step, upstream, from_host, &reader->head, &ask))
			continue;
		divide(step, upstream);
		holder = grant_ledger_find(&upstream->ledger, from_host);
		if (reader->head.wants_answer &&
		    upstream->phase == PHASE_GRANTING && holder != NULL)
			offer(step, upstream, holder);
	}
	return ERROR_NONE;
}

static bool
take_ask(struct owner_step *step, struct owned_upstream *upstream,
    uint32_t from_host, const struct grant_head *head, struct grant_ask *ask)
{
	struct ledger_holder *holder;

	if (upstream->phase == PHASE_NOT_OWNED ||
	    upstream->phase == PHASE_HANDING ||
	    ask->incarnation > upstream->warmup.incarnation)
		return false;
	if (ask->incarnation < upstream->warmup.incarnation) {
		/* What it has there has died; it is told so by the answer. */
		memset(&ask->used, 0, sizeof(ask->used));
		memset(&ask->wanted, 0, sizeof(ask->wanted));
		memset(&ask->largest, 0, sizeof(ask->largest));
		ask->term = 0;
		ask->in_time = 0;
		ask->is_cold = false;
	}
	raise_number(step, ask);
	holder = grant_ledger_open(&upstream->ledger, from_host);
	/* A holder whose line was dropped may know greater numbers. */
	if (holder->number == 0) {
		holder->term = step->owner->map->epoch;
		holder->number = ++step->owner->number;
	}
	if (!grant_ledger_note_ask(holder, head, ask, step->now_ms,
		step->owner->settings.gone_drain_ms))
		return false;
	take_evidence(step, upstream, ask);
	return true;
}

static void
take_evidence(struct owner_step *step, struct owned_upstream *upstream,
    const struct grant_ask *ask)
{
	struct grant_owner *owner = step->owner;
	struct capacity_amount used;

	if (ask->is_cold) {
		upstream->is_cold = true;
		if (warmup_cut(&upstream->warmup, step->now_ms)) {
			owner->counters.cuts++;
			event_log_write(EVENT_UPSTREAM_COLD,
			    "upstream=%016" G_GINT64_MODIFIER "x",
			    (guint64)upstream->id);
		}
		return;
	}
	/* Holders count answers only while near their own part of it. */
	used = grant_ledger_counted(&upstream->ledger);
	warmup_note_in_time(&upstream->warmup, &owner->settings.warmup,
	    ask->in_time, &used, step->now_ms);
}

static enum error_code
receive_use(struct owner_step *step, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct grant_owner *owner = step->owner;
	struct owned_upstream *upstream;
	enum error_code error;
	struct grant_ask row;
	uint64_t *answered;
	bool is_ahead;
	uint32_t i;

	if (reader->head.epoch != owner->map->epoch)
		return ERROR_STALE;
	is_ahead = false;
	for (i = 0; i < reader->head.row_count; i++) {
		error = grant_reader_ask(reader, i, &row);
		if (error != ERROR_NONE)
			return error;
		upstream = find_upstream(owner, row.upstream_id);
		if (upstream == NULL ||
		    row.incarnation > upstream->warmup.incarnation) {
			is_ahead = true;
			continue;
		}
		take_use(step, upstream, from_host, &row);
	}
	/* It knows more than this host: it is asked again later. */
	if (is_ahead)
		return ERROR_NONE;
	answered =
	    g_hash_table_lookup(owner->answered, GUINT_TO_POINTER(from_host));
	if (answered == NULL) {
		answered = g_new0(uint64_t, 1);
		g_hash_table_insert(
		    owner->answered, GUINT_TO_POINTER(from_host), answered);
	}
	if (reader->head.sequence > *answered)
		*answered = reader->head.sequence;
	step_phases(step);
	return ERROR_NONE;
}

static void
take_use(struct owner_step *step, struct owned_upstream *upstream,
    uint32_t from_host, const struct grant_ask *row)
{
	struct ledger_holder *holder;

	if (upstream->phase != PHASE_ASKING ||
	    row->incarnation != upstream->warmup.incarnation)
		return;
	raise_number(step, row);
	holder = grant_ledger_open(&upstream->ledger, from_host);
	holder->counted = capacity_max(&holder->counted, &row->used);
	holder->asked_ms = step->now_ms;
	if (holder->expires_ms < step->now_ms)
		holder->expires_ms = step->now_ms;
	upstream->is_cold = upstream->is_cold || row->is_cold;
	if (row->term < upstream->warmth_term ||
	    (row->term == upstream->warmth_term &&
		row->number < upstream->warmth_number))
		return;
	upstream->warmth_term = row->term;
	upstream->warmth_number = row->number;
	upstream->warmth = row->warmth;
}

static enum error_code
receive_ledger(struct owner_step *step, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct owned_upstream *upstream;
	struct grant_ledger_row row;
	enum error_code error;

	error = grant_reader_ledger(reader, 0, &row);
	if (error != ERROR_NONE)
		return error;
	upstream = find_upstream(step->owner, row.upstream_id);
	if (upstream == NULL || upstream->term != reader->head.epoch ||
	    row.incarnation > upstream->warmup.incarnation)
		return ERROR_STALE;
	if (upstream->phase == PHASE_WAITING ||
	    upstream->phase == PHASE_ASKING) {
		error = import_ledger(step, upstream, reader);
		if (error != ERROR_NONE)
			return error;
	}
	if (upstream->phase == PHASE_GRANTING)
		send_taken(step, from_host, upstream);
	return ERROR_NONE;
}

static enum error_code
import_ledger(struct owner_step *step, struct owned_upstream *upstream,
    const struct grant_reader *reader)
{
	struct grant_ledger_row first, row;
	enum error_code error;
	uint32_t i;

	error = grant_reader_ledger(reader, 0, &first);
	if (error != ERROR_NONE)
		return error;
	if (first.host_id != 0 ||
	    first.remaining_ms + 1 != reader->head.row_count)
		return ERROR_MALFORMED;
	/* A bad row must change nothing. */
	for (i = 1; i < reader->head.row_count; i++) {
		error = grant_reader_ledger(reader, i, &row);
		if (error != ERROR_NONE)
			return error;
		if (row.host_id == 0 || row.upstream_id != first.upstream_id ||
		    row.remaining_ms > UINT32_MAX)
			return ERROR_MALFORMED;
	}
	for (i = 1; i < reader->head.row_count; i++) {
		(void)grant_reader_ledger(reader, i, &row);
		import_line(step, upstream, &row);
	}
	step->owner->counters.ledgers++;
	upstream->phase = PHASE_GRANTING;
	if (first.incarnation == upstream->warmup.incarnation)
		warmup_restore(&upstream->warmup, first.warmth);
	else
		grant_ledger_restart(&upstream->ledger);
	mark_gone(step->owner, upstream, step->now_ms);
	divide(step, upstream);
	return ERROR_NONE;
}

static void
import_line(struct owner_step *step, struct owned_upstream *upstream,
    const struct grant_ledger_row *row)
{
	struct ledger_holder *holder;
	int64_t until_ms;

	until_ms = step->now_ms + (int64_t)row->remaining_ms;
	holder = grant_ledger_open(&upstream->ledger, row->host_id);
	if (row->is_draining) {
		holder->draining = row->amount;
		holder->draining_until_ms = until_ms;
		return;
	}
	holder->counted = capacity_max(&holder->counted, &row->amount);
	if (holder->expires_ms < until_ms)
		holder->expires_ms = until_ms;
	if (holder->asked_ms == 0)
		holder->asked_ms = step->now_ms;
}

static enum error_code
receive_taken(struct owner_step *step, uint32_t from_host,
    const struct grant_reader *reader)
{
	struct owned_upstream *upstream;
	enum error_code error;
	uint64_t id;

	error = grant_reader_id(reader, 0, &id);
	if (error != ERROR_NONE)
		return error;
	upstream = find_upstream(step->owner, id);
	if (upstream == NULL || upstream->phase != PHASE_HANDING ||
	    upstream->next_owner != from_host ||
	    upstream->term != reader->head.epoch)
		return ERROR_STALE;
	upstream->phase = PHASE_NOT_OWNED;
	grant_ledger_clear(&upstream->ledger);
	return ERROR_NONE;
}

static void
send_taken(struct owner_step *step, uint32_t to_host,
    const struct owned_upstream *upstream)
{
	struct grant_owner *owner = step->owner;
	struct grant_head head = {0};
	struct message_writer writer;

	head.type = GRANT_MESSAGE_LEDGER_TAKEN;
	head.epoch = upstream->term;
	head.row_count = 1;
	message_writer_init(&writer);
	grant_message_open(&writer, &head);
	grant_message_add_id(&writer, upstream->id);
	owner->port.send(owner->port.context, to_host, PEER_CHANNEL_GRANT,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

/* After a restart within an epoch, numbers go on where holders saw them. */
static void
raise_number(struct owner_step *step, const struct grant_ask *ask)
{
	if (ask->term == step->owner->map->epoch &&
	    ask->number > step->owner->number)
		step->owner->number = ask->number;
}
