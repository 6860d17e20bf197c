#include "coordination/upstream_directory.h"

#include <stdlib.h>
#include <string.h>

#define RENEWAL_DEFAULT_MS	10000  /* Between renewals at the home. */
#define EXPIRE_EXTRA_MS		5000   /* Beyond a renewal, without a home. */
#define FORGET_DEFAULT_MS	600000 /* Gone entries are kept. */
#define SUBSCRIPTION_DEFAULT_MS 10000  /* Of a load subscription. */
#define SWEEP_MS		1000   /* Between looks at what expires. */
#define SUBSCRIBERS_MAX		16     /* Hosts that get an upstream's load. */
#define UNKNOWN_HOMES_MAX	64     /* Homes remembered as missing. */
#define NEVER_MS		INT64_MIN

#define LEVEL_SHIFT  62 /* Level of leaving above the sequence number. */
#define EPOCH_SHIFT  32 /* Epoch above the home, in the rank. */
#define EPOCH_MAX    ((1u << 30) - 1)
#define SEQUENCE_MAX (((uint64_t)1 << LEVEL_SHIFT) - 1)

/* A host that wants load reports. */
struct subscriber {
	uint32_t host_id;
	int64_t until_ms;
};

/* What is kept of an upstream. */
struct upstream_entry {
	struct upstream_entry_body body;
	enum upstream_state shown; /* As last told to the owner. */
	int64_t renewed_ms;	   /* At the home: last renewal. */
	int64_t stray_ms;	   /* Elsewhere: last renewal that came. */
	int64_t unvouched_ms;	   /* No live home since, or NEVER_MS. */
	int64_t gone_ms;	   /* Gone since, or NEVER_MS. */
	bool has_load;
	struct upstream_load load;
	int64_t load_ms; /* When the report came. */
	struct subscriber subscribers[SUBSCRIBERS_MAX];
};

static void apply_defaults(struct upstream_directory_settings *settings);
static void run_sweep(void *context);
static void skip_missed_time(struct upstream_directory *directory);
static bool sweep_entry(
    struct upstream_directory *directory, struct upstream_entry *entry);
static bool is_home(const struct upstream_directory *directory,
    const struct upstream_entry *entry);
static bool is_vouched(const struct upstream_directory *directory,
    const struct upstream_entry_body *body);
static enum upstream_state state_of(const struct upstream_directory *directory,
    const struct upstream_entry *entry);
static void show_entry(struct upstream_directory *directory,
    struct upstream_entry *entry, uint64_t old_incarnation,
    uint64_t old_sequence);
static void call(struct upstream_directory *directory,
    void (*callback)(void *context, const struct upstream_record *record),
    const struct upstream_record *record);
static struct gossip_version version_of(const struct upstream_entry_body *body);
static enum error_code put_entry(struct upstream_directory *directory,
    const struct upstream_entry_body *body);
static struct upstream_entry *take_entry(struct upstream_directory *directory,
    const struct upstream_entry_body *body);
static enum error_code apply_item(void *context, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
static enum error_code judge_unknown(struct upstream_directory *directory,
    const struct upstream_entry_body *body);
static uint32_t list_hosts(void *context, uint32_t *host_ids, uint32_t max);
static enum error_code move_home(
    struct upstream_directory *directory, struct upstream_entry *entry);
static enum error_code find_current(struct upstream_directory *directory,
    uint64_t id, uint64_t incarnation, struct upstream_entry **entry);
static enum error_code set_state(struct upstream_directory *directory,
    uint64_t id, uint64_t incarnation, enum upstream_state state);
static struct upstream_entry *find_entry(
    const struct upstream_directory *directory, uint64_t id);
static void send_notice(struct upstream_directory *directory,
    const struct upstream_entry *entry, enum upstream_message_type type);
static enum error_code keep_load(
    struct upstream_directory *directory, const struct upstream_load *load);
static void spread_load(
    struct upstream_directory *directory, const struct upstream_entry *entry);
static void send_load(struct upstream_directory *directory, uint32_t host_id,
    const struct upstream_entry *entry);
static void subscribe(struct upstream_directory *directory,
    struct upstream_entry *entry, uint32_t host_id);

enum error_code
upstream_directory_init(struct upstream_directory *directory,
    const struct upstream_directory_settings *settings,
    struct timer_service *timers, uint64_t seed, struct peer_port port,
    struct upstream_directory_ops ops)
{
	struct gossip_settings gossip;
	enum error_code error;

	memset(directory, 0, sizeof(*directory));
	if (settings->host_id == 0 || ops.is_live == NULL ||
	    ops.list_hosts == NULL || ops.capacity_owner == NULL)
		return ERROR_INVALID_ARGUMENT;
	directory->settings = *settings;
	apply_defaults(&directory->settings);
	directory->ops = ops;
	directory->timers = timers;
	directory->port = port;
	gossip = directory->settings.gossip;
	gossip.first_type = UPSTREAM_TYPE_GOSSIP;
	gossip.items_max = directory->settings.upstreams_max;
	error = gossip_init(&directory->gossip, &gossip, timers, seed, port,
	    (struct gossip_ops){apply_item, list_hosts, directory});
	if (error != ERROR_NONE)
		return error;
	directory->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	directory->unknown_homes = g_hash_table_new(NULL, NULL);
	error = timer_subscribe_every(timers, SWEEP_MS,
	    (struct timer_callback){run_sweep, directory},
	    &directory->sweep_timer);
	if (error != ERROR_NONE)
		upstream_directory_finish(directory);
	return error;
}

void
upstream_directory_finish(struct upstream_directory *directory)
{
	if (directory->entries == NULL)
		return;
	timer_cancel(directory->timers, &directory->sweep_timer);
	gossip_finish(&directory->gossip);
	g_hash_table_destroy(directory->entries);
	g_hash_table_destroy(directory->unknown_homes);
	memset(directory, 0, sizeof(*directory));
}

enum error_code
upstream_directory_announce(
    struct upstream_directory *directory, const struct upstream_record *record)
{
	struct upstream_entry_body body = {.record = *record};
	struct upstream_entry *entry;

	if (record->name[0] == '\0' || record->sequence > SEQUENCE_MAX ||
	    record->model_count > MODELS_MAX ||
	    record->label_count > LABELS_MAX ||
	    record->kind < UPSTREAM_KIND_MODEL ||
	    record->kind > UPSTREAM_KIND_SERVICE)
		return ERROR_INVALID_ARGUMENT;
	body.record.id = upstream_id(record->name);
	if (record->state != UPSTREAM_STATE_LEAVING)
		body.record.state = UPSTREAM_STATE_ACTIVE;
	body.home = directory->settings.host_id;
	body.home_incarnation = directory->settings.incarnation;
	body.epoch = 1;
	entry = find_entry(directory, body.record.id);
	if (entry != NULL) {
		if (record->incarnation < entry->body.record.incarnation)
			return ERROR_STALE;
		if (record->incarnation == entry->body.record.incarnation) {
			if (record->sequence < entry->body.record.sequence ||
			    entry->body.record.state == UPSTREAM_STATE_GONE)
				return ERROR_STALE;
			if (entry->body.record.state > body.record.state)
				body.record.state = entry->body.record.state;
			body.epoch = entry->body.epoch;
			if (!is_home(directory, entry) ||
			    entry->body.is_expired)
				body.epoch++;
		}
		/* The same once more is a renewal. */
		if (is_home(directory, entry))
			entry->renewed_ms = timer_now(directory->timers);
	}
	switch (put_entry(directory, &body)) {
	case ERROR_NONE:
	case ERROR_STALE:
		return ERROR_NONE;
	case ERROR_TABLE_FULL:
		return ERROR_TABLE_FULL;
	default:
		return ERROR_INVALID_ARGUMENT;
	}
}

enum error_code
upstream_directory_renew(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation)
{
	struct upstream_entry *entry;
	enum error_code error;
	int64_t now_ms;
	bool again;

	error = find_current(directory, id, incarnation, &entry);
	if (error != ERROR_NONE)
		return error;
	now_ms = timer_now(directory->timers);
	if (is_home(directory, entry)) {
		entry->renewed_ms = now_ms;
		return ERROR_NONE;
	}
	again = entry->stray_ms != NEVER_MS &&
		now_ms - entry->stray_ms < directory->settings.renewal_ms;
	entry->stray_ms = now_ms;
	if (again || !is_vouched(directory, &entry->body))
		return move_home(directory, entry);
	send_notice(directory, entry, UPSTREAM_TYPE_RENEW);
	return ERROR_NONE;
}

enum error_code
upstream_directory_leave(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation)
{
	return set_state(directory, id, incarnation, UPSTREAM_STATE_LEAVING);
}

enum error_code
upstream_directory_remove(
    struct upstream_directory *directory, uint64_t id, uint64_t incarnation)
{
	return set_state(directory, id, incarnation, UPSTREAM_STATE_GONE);
}

enum error_code
upstream_directory_report(
    struct upstream_directory *directory, const struct upstream_load *load)
{
	struct upstream_entry *entry;
	enum error_code error;

	error = keep_load(directory, load);
	if (error != ERROR_NONE)
		return error;
	entry = find_entry(directory, load->id);
	if (is_home(directory, entry))
		spread_load(directory, entry);
	else
		send_load(directory, entry->body.home, entry);
	return ERROR_NONE;
}

enum error_code
upstream_directory_receive(struct upstream_directory *directory,
    uint32_t from_host, const void *body, size_t size)
{
	struct upstream_entry *entry;
	struct upstream_load load;
	uint64_t id, incarnation;
	enum error_code error;
	uint32_t type;

	error = upstream_message_type(body, size, &type);
	if (error != ERROR_NONE)
		return error;
	if (type >= UPSTREAM_TYPE_GOSSIP)
		return gossip_receive(
		    &directory->gossip, from_host, body, size);
	if (type == UPSTREAM_TYPE_LOAD) {
		error = upstream_load_read(body, size, &load);
		if (error == ERROR_NONE)
			error = keep_load(directory, &load);
		if (error != ERROR_NONE)
			return error;
		entry = find_entry(directory, load.id);
		if (is_home(directory, entry))
			spread_load(directory, entry);
		return ERROR_NONE;
	}
	if (type != UPSTREAM_TYPE_RENEW && type != UPSTREAM_TYPE_SUBSCRIBE)
		return ERROR_NOT_SUPPORTED;
	error = upstream_notice_read(body, size, &id, &incarnation);
	if (error != ERROR_NONE)
		return error;
	entry = find_entry(directory, id);
	if (entry == NULL || !is_home(directory, entry) ||
	    entry->body.record.incarnation != incarnation)
		return ERROR_NONE;
	if (type == UPSTREAM_TYPE_RENEW)
		entry->renewed_ms = timer_now(directory->timers);
	else
		subscribe(directory, entry, from_host);
	return ERROR_NONE;
}

void
upstream_directory_set_incarnation(
    struct upstream_directory *directory, uint64_t incarnation)
{
	struct upstream_entry *entry;
	GHashTableIter iterator;
	gpointer value;
	GPtrArray *own;
	guint i;

	if (incarnation == directory->settings.incarnation)
		return;
	own = g_ptr_array_new();
	g_hash_table_iter_init(&iterator, directory->entries);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry = value;
		if (is_home(directory, entry) &&
		    state_of(directory, entry) != UPSTREAM_STATE_GONE)
			g_ptr_array_add(own, entry);
	}
	directory->settings.incarnation = incarnation;
	for (i = 0; i < own->len; i++)
		(void)move_home(directory, g_ptr_array_index(own, i));
	g_ptr_array_unref(own);
}

void
upstream_directory_sync_with(
    struct upstream_directory *directory, uint32_t host_id)
{
	if (!g_hash_table_remove(
		directory->unknown_homes, GUINT_TO_POINTER(host_id)) &&
	    directory->has_synced)
		return;
	gossip_sync_with(&directory->gossip, host_id);
}

void
upstream_directory_step(struct upstream_directory *directory)
{
	directory->steps++;
}

void
upstream_directory_subscribe_load(
    struct upstream_directory *directory, uint64_t id)
{
	const struct upstream_entry *entry;

	entry = find_entry(directory, id);
	if (entry != NULL && !is_home(directory, entry))
		send_notice(directory, entry, UPSTREAM_TYPE_SUBSCRIBE);
}

const struct upstream_record *
upstream_directory_find(const struct upstream_directory *directory, uint64_t id)
{
	const struct upstream_entry *entry;

	entry = find_entry(directory, id);
	if (entry == NULL || entry->shown == UPSTREAM_STATE_GONE)
		return NULL;
	return &entry->body.record;
}

bool
upstream_directory_load(const struct upstream_directory *directory, uint64_t id,
    struct upstream_load *load)
{
	const struct upstream_entry *entry;

	entry = find_entry(directory, id);
	if (entry == NULL || !entry->has_load)
		return false;
	*load = entry->load;
	load->age_ms += timer_now(directory->timers) - entry->load_ms;
	return true;
}

void
upstream_directory_each(const struct upstream_directory *directory,
    void (*visit)(void *visitor, const struct upstream_record *record),
    void *visitor)
{
	const struct upstream_entry *entry;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, directory->entries);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry = value;
		if (entry->shown != UPSTREAM_STATE_GONE)
			visit(visitor, &entry->body.record);
	}
}

static void
apply_defaults(struct upstream_directory_settings *settings)
{
	if (settings->upstreams_max == 0)
		settings->upstreams_max = UPSTREAMS_MAX;
	if (settings->renewal_ms == 0)
		settings->renewal_ms = RENEWAL_DEFAULT_MS;
	if (settings->expire_ms == 0)
		settings->expire_ms = settings->renewal_ms + EXPIRE_EXTRA_MS;
	if (settings->forget_ms == 0)
		settings->forget_ms = FORGET_DEFAULT_MS;
	if (settings->subscription_ms == 0)
		settings->subscription_ms = SUBSCRIPTION_DEFAULT_MS;
}

static void
run_sweep(void *context)
{
	struct upstream_directory *directory = context;
	struct upstream_entry *entry;
	GHashTableIter iterator;
	gpointer value;

	/* An owner that never steps is not protected against freezing. */
	if (directory->steps > 0 &&
	    directory->steps == directory->sweep_steps) {
		skip_missed_time(directory);
		return;
	}
	directory->sweep_steps = directory->steps;
	g_hash_table_iter_init(&iterator, directory->entries);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry = value;
		if (!sweep_entry(directory, entry))
			continue;
		gossip_drop(&directory->gossip, entry->body.record.id);
		g_hash_table_iter_remove(&iterator);
	}
}

/* Nothing could be heard in this time, so it proves nothing. */
static void
skip_missed_time(struct upstream_directory *directory)
{
	struct upstream_entry *entry;
	GHashTableIter iterator;
	gpointer value;
	int64_t now_ms;

	now_ms = timer_now(directory->timers);
	g_hash_table_iter_init(&iterator, directory->entries);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry = value;
		entry->renewed_ms = now_ms;
		if (entry->unvouched_ms != NEVER_MS)
			entry->unvouched_ms = now_ms;
	}
}

/* True if the entry can be forgotten. */
static bool
sweep_entry(struct upstream_directory *directory, struct upstream_entry *entry)
{
	struct upstream_entry_body body;
	int64_t now_ms;

	now_ms = timer_now(directory->timers);
	if (is_home(directory, entry) &&
	    state_of(directory, entry) != UPSTREAM_STATE_GONE &&
	    now_ms - entry->renewed_ms > directory->settings.renewal_ms) {
		body = entry->body;
		body.is_expired = true;
		(void)put_entry(directory, &body);
		return false;
	}
	if (is_vouched(directory, &entry->body))
		entry->unvouched_ms = NEVER_MS;
	else if (entry->unvouched_ms == NEVER_MS)
		entry->unvouched_ms = now_ms;
	show_entry(directory, entry, entry->body.record.incarnation,
	    entry->body.record.sequence);
	return entry->gone_ms != NEVER_MS &&
	       now_ms - entry->gone_ms >= directory->settings.forget_ms;
}

static bool
is_home(const struct upstream_directory *directory,
    const struct upstream_entry *entry)
{
	return entry->body.home == directory->settings.host_id &&
	       entry->body.home_incarnation == directory->settings.incarnation;
}

static bool
is_vouched(const struct upstream_directory *directory,
    const struct upstream_entry_body *body)
{
	if (body->home == directory->settings.host_id)
		return body->home_incarnation ==
		       directory->settings.incarnation;
	return directory->ops.is_live(
	    directory->ops.context, body->home, body->home_incarnation);
}

static enum upstream_state
state_of(const struct upstream_directory *directory,
    const struct upstream_entry *entry)
{
	if (entry->body.is_expired)
		return UPSTREAM_STATE_GONE;
	if (entry->unvouched_ms != NEVER_MS &&
	    timer_now(directory->timers) - entry->unvouched_ms >=
		directory->settings.expire_ms)
		return UPSTREAM_STATE_GONE;
	return entry->body.record.state;
}

/* Tells the owner what has changed for it. */
static void
show_entry(struct upstream_directory *directory, struct upstream_entry *entry,
    uint64_t old_incarnation, uint64_t old_sequence)
{
	const struct upstream_directory_ops *ops = &directory->ops;
	const struct upstream_record *record = &entry->body.record;
	enum upstream_state old, state;

	old = entry->shown;
	state = state_of(directory, entry);
	entry->shown = state;
	if (state == UPSTREAM_STATE_GONE) {
		if (entry->gone_ms == NEVER_MS)
			entry->gone_ms = timer_now(directory->timers);
		if (old != UPSTREAM_STATE_GONE)
			call(directory, ops->gone, record);
		return;
	}
	entry->gone_ms = NEVER_MS;
	if (old == UPSTREAM_STATE_GONE ||
	    record->incarnation != old_incarnation) {
		entry->has_load = false;
		call(directory, ops->announced, record);
		old = UPSTREAM_STATE_ACTIVE;
	} else if (record->sequence != old_sequence) {
		call(directory, ops->changed, record);
	}
	if (state == UPSTREAM_STATE_LEAVING && old != state)
		call(directory, ops->leaving, record);
}

static void
call(struct upstream_directory *directory,
    void (*callback)(void *context, const struct upstream_record *record),
    const struct upstream_record *record)
{
	if (callback != NULL)
		callback(directory->ops.context, record);
}

/* Leaving beats every sequence number, and a new home an older one. */
static struct gossip_version
version_of(const struct upstream_entry_body *body)
{
	struct gossip_version version;

	version.major = body->record.incarnation;
	version.minor = (uint64_t)(body->record.state - UPSTREAM_STATE_ACTIVE)
			    << LEVEL_SHIFT |
			body->record.sequence;
	version.rank = (uint64_t)body->epoch << EPOCH_SHIFT | body->home;
	version.tie = body->home_incarnation << 1 | body->is_expired;
	return version;
}

static enum error_code
put_entry(struct upstream_directory *directory,
    const struct upstream_entry_body *body)
{
	const struct gossip_version version = version_of(body);
	struct message_writer writer;
	enum error_code error;

	message_writer_init(&writer);
	upstream_entry_write(&writer, body);
	error = gossip_put(&directory->gossip, body->record.id, &version,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
	if (error == ERROR_NONE && take_entry(directory, body) == NULL)
		error = ERROR_NO_MEMORY;
	return error;
}

static struct upstream_entry *
take_entry(struct upstream_directory *directory,
    const struct upstream_entry_body *body)
{
	uint64_t old_incarnation, old_sequence;
	struct upstream_entry *entry;
	int64_t now_ms;

	now_ms = timer_now(directory->timers);
	entry = find_entry(directory, body->record.id);
	if (entry == NULL) {
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL)
			return NULL;
		entry->shown = UPSTREAM_STATE_GONE;
		entry->stray_ms = NEVER_MS;
		entry->gone_ms = NEVER_MS;
		entry->body = *body;
		g_hash_table_insert(
		    directory->entries, &entry->body.record.id, entry);
	}
	old_incarnation = entry->body.record.incarnation;
	old_sequence = entry->body.record.sequence;
	if (entry->body.home != body->home)
		entry->stray_ms = NEVER_MS;
	entry->body = *body;
	entry->renewed_ms = now_ms;
	entry->unvouched_ms = is_vouched(directory, body) ? NEVER_MS : now_ms;
	show_entry(directory, entry, old_incarnation, old_sequence);
	return entry;
}

static enum error_code
apply_item(void *context, uint64_t key, const struct gossip_version *version,
    const void *body, size_t size)
{
	struct upstream_directory *directory = context;
	struct upstream_entry_body entry;
	const struct upstream_entry *known;
	struct gossip_version own;
	enum error_code error;

	error = upstream_entry_read(body, size, &entry);
	if (error != ERROR_NONE)
		return error;
	own = version_of(&entry);
	if (entry.record.id != key || entry.epoch > EPOCH_MAX ||
	    entry.record.sequence > SEQUENCE_MAX ||
	    gossip_version_compare(&own, version) != 0)
		return ERROR_MALFORMED;
	known = find_entry(directory, key);
	if (known != NULL) {
		own = version_of(&known->body);
		if (gossip_version_compare(&own, version) >= 0)
			return ERROR_STALE;
	}
	if (gossip_version_of(&directory->gossip, key) == NULL) {
		error = judge_unknown(directory, &entry);
		if (error != ERROR_NONE)
			return error;
	}
	directory->has_synced = true;
	if (take_entry(directory, &entry) == NULL)
		return ERROR_NO_MEMORY;
	return ERROR_NONE;
}

/* What is over is remembered here, but not passed on by those to whom it is
 * new: otherwise hosts that forget it at different times keep it for ever. */
static enum error_code
judge_unknown(struct upstream_directory *directory,
    const struct upstream_entry_body *body)
{
	if (body->is_expired || body->record.state == UPSTREAM_STATE_GONE) {
		if (g_hash_table_size(directory->entries) <
		    2 * directory->settings.upstreams_max)
			(void)take_entry(directory, body);
		return ERROR_STALE;
	}
	if (is_vouched(directory, body))
		return ERROR_NONE;
	if (g_hash_table_size(directory->unknown_homes) < UNKNOWN_HOMES_MAX)
		g_hash_table_add(
		    directory->unknown_homes, GUINT_TO_POINTER(body->home));
	return ERROR_NOT_FOUND;
}

static uint32_t
list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	struct upstream_directory *directory = context;

	return directory->ops.list_hosts(directory->ops.context, host_ids, max);
}

static enum error_code
move_home(struct upstream_directory *directory, struct upstream_entry *entry)
{
	struct upstream_entry_body body = entry->body;

	body.home = directory->settings.host_id;
	body.home_incarnation = directory->settings.incarnation;
	body.is_expired = false;
	if (body.epoch == EPOCH_MAX)
		return ERROR_STALE;
	body.epoch++;
	return put_entry(directory, &body);
}

static enum error_code
find_current(struct upstream_directory *directory, uint64_t id,
    uint64_t incarnation, struct upstream_entry **entry)
{
	*entry = find_entry(directory, id);
	if (*entry == NULL || (*entry)->shown == UPSTREAM_STATE_GONE ||
	    incarnation > (*entry)->body.record.incarnation)
		return ERROR_NOT_FOUND;
	if (incarnation < (*entry)->body.record.incarnation)
		return ERROR_STALE;
	return ERROR_NONE;
}

static enum error_code
set_state(struct upstream_directory *directory, uint64_t id,
    uint64_t incarnation, enum upstream_state state)
{
	struct upstream_entry_body body;
	struct upstream_entry *entry;
	enum error_code error;

	error = find_current(directory, id, incarnation, &entry);
	if (error != ERROR_NONE)
		return error;
	if (entry->body.record.state >= state)
		return ERROR_NONE;
	body = entry->body;
	body.record.state = state;
	if (!is_home(directory, entry)) {
		body.home = directory->settings.host_id;
		body.home_incarnation = directory->settings.incarnation;
		body.epoch++;
	}
	return put_entry(directory, &body);
}

static struct upstream_entry *
find_entry(const struct upstream_directory *directory, uint64_t id)
{
	return g_hash_table_lookup(directory->entries, &id);
}

static void
send_notice(struct upstream_directory *directory,
    const struct upstream_entry *entry, enum upstream_message_type type)
{
	struct message_writer writer;

	message_writer_init(&writer);
	upstream_notice_write(&writer, type, entry->body.record.id,
	    entry->body.record.incarnation);
	directory->port.send(directory->port.context, entry->body.home,
	    PEER_CHANNEL_LOAD, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

static enum error_code
keep_load(
    struct upstream_directory *directory, const struct upstream_load *load)
{
	struct upstream_entry *entry;
	enum error_code error;

	error = find_current(directory, load->id, load->incarnation, &entry);
	if (error != ERROR_NONE)
		return error;
	if (entry->has_load && load->sequence <= entry->load.sequence)
		return ERROR_STALE;
	entry->load = *load;
	entry->load_ms = timer_now(directory->timers);
	entry->has_load = true;
	if (directory->ops.load != NULL)
		directory->ops.load(directory->ops.context, load);
	return ERROR_NONE;
}

static void
spread_load(
    struct upstream_directory *directory, const struct upstream_entry *entry)
{
	uint32_t owner, i;

	owner = directory->ops.capacity_owner(
	    directory->ops.context, entry->body.record.id);
	if (owner != 0 && owner != directory->settings.host_id)
		send_load(directory, owner, entry);
	for (i = 0; i < SUBSCRIBERS_MAX; i++) {
		if (entry->subscribers[i].host_id != 0 &&
		    entry->subscribers[i].host_id != owner &&
		    entry->subscribers[i].until_ms >
			timer_now(directory->timers))
			send_load(
			    directory, entry->subscribers[i].host_id, entry);
	}
}

static void
send_load(struct upstream_directory *directory, uint32_t host_id,
    const struct upstream_entry *entry)
{
	struct message_writer writer;
	struct upstream_load load;

	load = entry->load;
	load.age_ms += timer_now(directory->timers) - entry->load_ms;
	message_writer_init(&writer);
	upstream_load_write(&writer, &load);
	directory->port.send(directory->port.context, host_id,
	    PEER_CHANNEL_LOAD, message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
}

/* A full list gives the place that ends first to the newcomer. */
static void
subscribe(struct upstream_directory *directory, struct upstream_entry *entry,
    uint32_t host_id)
{
	struct subscriber *place;
	uint32_t i;

	place = &entry->subscribers[0];
	for (i = 0; i < SUBSCRIBERS_MAX; i++) {
		if (entry->subscribers[i].host_id == host_id) {
			place = &entry->subscribers[i];
			break;
		}
		if (entry->subscribers[i].until_ms < place->until_ms)
			place = &entry->subscribers[i];
	}
	place->host_id = host_id;
	place->until_ms =
	    timer_now(directory->timers) + directory->settings.subscription_ms;
}
