#include <stdlib.h>
#include <string.h>

#include "coordination/upstream_directory_parts.h"

#define RENEWAL_DEFAULT_MS 10000
/* By this much the default expire_ms exceeds the time between renewals. */
#define EXPIRE_EXTRA_MS		  5000
#define GONE_RETENTION_DEFAULT_MS 600000
#define SUBSCRIPTION_DEFAULT_MS	  10000
#define SWEEP_MS		  1000 /* Time between checks for expiry. */
/* A sweep that comes later than this shows that this host did not run, as when
 * it was frozen. */
#define SWEEP_LATE_MS	  500
#define UNKNOWN_HOMES_MAX 64 /* Largest size of unknown_homes. */

/* In the rank of the gossip version, the epoch stands above the home. */
#define EPOCH_SHIFT 32

static void apply_defaults(struct upstream_directory_settings *settings);
static void run_sweep(void *context);
static void restart_timeouts(struct upstream_directory *directory);
static bool sweep_entry(struct upstream_directory *directory,
    struct upstream_entry *entry, int64_t now_ms);
static enum upstream_state current_state(
    const struct upstream_directory *directory,
    const struct upstream_entry *entry);
static void report_state(struct upstream_directory *directory,
    struct upstream_entry *entry, uint64_t old_incarnation,
    uint64_t old_sequence);
static void invoke_callback(struct upstream_directory *directory,
    void (*callback)(void *context, const struct upstream_record *record),
    const struct upstream_record *record);
static struct gossip_version version_of(const struct upstream_entry_body *body);
static struct upstream_entry *store_entry(struct upstream_directory *directory,
    const struct upstream_entry_body *body);
static enum error_code apply_item(void *context, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
static enum error_code check_unknown(struct upstream_directory *directory,
    const struct upstream_entry_body *body);
static uint32_t list_hosts(void *context, uint32_t *host_ids, uint32_t max);
static bool is_final(const struct gossip_version *version);

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
	timer_lag_start(&directory->sweep_lag, timers);
	directory->port = port;
	gossip = directory->settings.gossip;
	gossip.first_type = UPSTREAM_TYPE_GOSSIP;
	gossip.items_max = directory->settings.upstreams_max;
	error = gossip_init(&directory->gossip, &gossip, timers, seed, port,
	    (struct gossip_ops){apply_item, list_hosts, is_final, directory});
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
upstream_directory_confirm(struct upstream_directory *directory, uint64_t id,
    uint32_t copies, int64_t timeout_ms, struct gossip_callback callback)
{
	return gossip_confirm(
	    &directory->gossip, id, copies, timeout_ms, callback);
}

enum error_code
upstream_directory_receive(struct upstream_directory *directory,
    uint32_t from_host, const void *body, size_t size)
{
	struct upstream_entry *entry;
	uint64_t id, incarnation;
	enum error_code error;
	uint32_t type;

	error = upstream_message_type(body, size, &type);
	if (error != ERROR_NONE)
		return error;
	if (type >= UPSTREAM_TYPE_GOSSIP)
		return gossip_receive(
		    &directory->gossip, from_host, body, size);
	if (type == UPSTREAM_TYPE_LOAD)
		return upstream_load_receive(directory, body, size);
	if (type != UPSTREAM_TYPE_RENEW && type != UPSTREAM_TYPE_SUBSCRIBE)
		return ERROR_NOT_SUPPORTED;
	error = upstream_notice_read(body, size, &id, &incarnation);
	if (error != ERROR_NONE)
		return error;
	entry = upstream_directory_entry(directory, id);
	if (entry == NULL || !upstream_directory_is_home(directory, entry) ||
	    entry->body.record.incarnation != incarnation)
		return ERROR_NONE;
	if (type == UPSTREAM_TYPE_RENEW)
		entry->renewed_ms = timer_now(directory->timers);
	else
		upstream_load_subscribe(directory, entry, from_host);
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
		if (upstream_directory_is_home(directory, entry) &&
		    current_state(directory, entry) != UPSTREAM_STATE_GONE)
			g_ptr_array_add(own, entry);
	}
	directory->settings.incarnation = incarnation;
	for (i = 0; i < own->len; i++)
		(void)upstream_directory_become_home(
		    directory, g_ptr_array_index(own, i));
	g_ptr_array_unref(own);
}

void
upstream_directory_sync_with(
    struct upstream_directory *directory, uint32_t host_id)
{
	if (!g_hash_table_remove(
		directory->unknown_homes, GUINT_TO_POINTER(host_id)) &&
	    directory->has_received_entry)
		return;
	gossip_sync_with(&directory->gossip, host_id);
}

void
upstream_directory_on_reconnected(
    struct upstream_directory *directory, uint32_t host_id)
{
	gossip_check_with(&directory->gossip, host_id);
}

const struct upstream_record *
upstream_directory_find(const struct upstream_directory *directory, uint64_t id)
{
	const struct upstream_entry *entry;

	entry = upstream_directory_entry(directory, id);
	if (entry == NULL || entry->reported_state == UPSTREAM_STATE_GONE)
		return NULL;
	return &entry->body.record;
}

bool
upstream_directory_has_left(
    const struct upstream_directory *directory, uint64_t id)
{
	const struct upstream_entry *entry;

	entry = upstream_directory_entry(directory, id);
	return entry != NULL && entry->body.record.state == UPSTREAM_STATE_GONE;
}

void
upstream_directory_for_each(const struct upstream_directory *directory,
    void (*visit)(void *visitor, const struct upstream_record *record),
    void *visitor)
{
	const struct upstream_entry *entry;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, directory->entries);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry = value;
		if (entry->reported_state != UPSTREAM_STATE_GONE)
			visit(visitor, &entry->body.record);
	}
}

struct upstream_entry *
upstream_directory_entry(
    const struct upstream_directory *directory, uint64_t id)
{
	return g_hash_table_lookup(directory->entries, &id);
}

enum error_code
upstream_directory_current(struct upstream_directory *directory, uint64_t id,
    uint64_t incarnation, struct upstream_entry **entry)
{
	*entry = upstream_directory_entry(directory, id);
	if (*entry == NULL || (*entry)->reported_state == UPSTREAM_STATE_GONE ||
	    incarnation > (*entry)->body.record.incarnation)
		return ERROR_NOT_FOUND;
	if (incarnation < (*entry)->body.record.incarnation)
		return ERROR_STALE;
	return ERROR_NONE;
}

bool
upstream_directory_is_home(const struct upstream_directory *directory,
    const struct upstream_entry *entry)
{
	return entry->body.home == directory->settings.host_id &&
	       entry->body.home_incarnation == directory->settings.incarnation;
}

void
upstream_directory_send_notice(struct upstream_directory *directory,
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

/* True while the process that is the home of the entry lives. */
bool
upstream_directory_is_home_live(const struct upstream_directory *directory,
    const struct upstream_entry_body *body)
{
	if (body->home == directory->settings.host_id)
		return body->home_incarnation ==
		       directory->settings.incarnation;
	return directory->ops.is_live(
	    directory->ops.context, body->home, body->home_incarnation);
}

enum error_code
upstream_directory_put(struct upstream_directory *directory,
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
	if (error == ERROR_NONE && store_entry(directory, body) == NULL)
		error = ERROR_NO_MEMORY;
	return error;
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
	if (settings->gone_retention_ms == 0)
		settings->gone_retention_ms = GONE_RETENTION_DEFAULT_MS;
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
	int64_t now_ms;

	if (timer_lag_measure(&directory->sweep_lag, directory->timers,
		SWEEP_MS) > SWEEP_LATE_MS) {
		restart_timeouts(directory);
		return;
	}
	now_ms = timer_now(directory->timers);
	g_hash_table_iter_init(&iterator, directory->entries);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry = value;
		if (!sweep_entry(directory, entry, now_ms))
			continue;
		gossip_drop(&directory->gossip, entry->body.record.id);
		g_hash_table_iter_remove(&iterator);
	}
}

/* Restarts the timeouts after a freeze: this host could not receive renewals in
 * that time, so silence proves nothing. */
static void
restart_timeouts(struct upstream_directory *directory)
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
		if (entry->home_lost_ms != NEVER_MS)
			entry->home_lost_ms = now_ms;
	}
}

/* Updates the state of an entry as time passes. Returns true if the entry can
 * be removed. */
static bool
sweep_entry(struct upstream_directory *directory, struct upstream_entry *entry,
    int64_t now_ms)
{
	struct upstream_entry_body body;

	if (upstream_directory_is_home(directory, entry) &&
	    current_state(directory, entry) != UPSTREAM_STATE_GONE &&
	    now_ms - entry->renewed_ms > directory->settings.renewal_ms) {
		body = entry->body;
		body.is_expired = true;
		(void)upstream_directory_put(directory, &body);
		return false;
	}
	if (upstream_directory_is_home_live(directory, &entry->body))
		entry->home_lost_ms = NEVER_MS;
	else if (entry->home_lost_ms == NEVER_MS)
		entry->home_lost_ms = now_ms;
	report_state(directory, entry, entry->body.record.incarnation,
	    entry->body.record.sequence);
	return entry->gone_ms != NEVER_MS &&
	       now_ms - entry->gone_ms >= directory->settings.gone_retention_ms;
}

static enum upstream_state
current_state(const struct upstream_directory *directory,
    const struct upstream_entry *entry)
{
	if (entry->body.is_expired)
		return UPSTREAM_STATE_GONE;
	if (entry->home_lost_ms != NEVER_MS &&
	    timer_now(directory->timers) - entry->home_lost_ms >=
		directory->settings.expire_ms)
		return UPSTREAM_STATE_GONE;
	return entry->body.record.state;
}

/* Notifies the owner of changes of the upstream's state, incarnation or
 * record. */
static void
report_state(struct upstream_directory *directory, struct upstream_entry *entry,
    uint64_t old_incarnation, uint64_t old_sequence)
{
	const struct upstream_directory_ops *ops = &directory->ops;
	const struct upstream_record *record = &entry->body.record;
	enum upstream_state old, state;

	old = entry->reported_state;
	state = current_state(directory, entry);
	entry->reported_state = state;
	if (state == UPSTREAM_STATE_GONE) {
		if (entry->gone_ms == NEVER_MS)
			entry->gone_ms = timer_now(directory->timers);
		if (old != UPSTREAM_STATE_GONE)
			invoke_callback(directory, ops->on_gone, record);
		return;
	}
	entry->gone_ms = NEVER_MS;
	if (old == UPSTREAM_STATE_GONE ||
	    record->incarnation != old_incarnation) {
		entry->has_load = false;
		invoke_callback(directory, ops->on_announced, record);
		old = UPSTREAM_STATE_ACTIVE;
	} else if (record->sequence != old_sequence) {
		invoke_callback(directory, ops->on_changed, record);
	}
	if (state == UPSTREAM_STATE_LEAVING && old != state)
		invoke_callback(directory, ops->on_leaving, record);
}

static void
invoke_callback(struct upstream_directory *directory,
    void (*callback)(void *context, const struct upstream_record *record),
    const struct upstream_record *record)
{
	if (callback != NULL)
		callback(directory->ops.context, record);
}

/* Returns the gossip version of an entry. A leaving state is newer than every
 * sequence number, and a later home is newer than an earlier one. */
static struct gossip_version
version_of(const struct upstream_entry_body *body)
{
	struct gossip_version version;

	version.major = body->record.incarnation;
	version.minor = (uint64_t)(body->record.state - UPSTREAM_STATE_ACTIVE)
			    << STATE_SHIFT |
			body->record.sequence;
	version.rank = (uint64_t)body->epoch << EPOCH_SHIFT | body->home;
	version.tie_break = body->home_incarnation << 1 | body->is_expired;
	return version;
}

static struct upstream_entry *
store_entry(struct upstream_directory *directory,
    const struct upstream_entry_body *body)
{
	uint64_t old_incarnation, old_sequence;
	struct upstream_entry *entry;
	int64_t now_ms;

	now_ms = timer_now(directory->timers);
	entry = upstream_directory_entry(directory, body->record.id);
	if (entry == NULL) {
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL)
			return NULL;
		entry->reported_state = UPSTREAM_STATE_GONE;
		entry->misdirected_renewal_ms = NEVER_MS;
		entry->gone_ms = NEVER_MS;
		entry->body = *body;
		g_hash_table_insert(
		    directory->entries, &entry->body.record.id, entry);
	}
	old_incarnation = entry->body.record.incarnation;
	old_sequence = entry->body.record.sequence;
	if (entry->body.home != body->home)
		entry->misdirected_renewal_ms = NEVER_MS;
	entry->body = *body;
	entry->renewed_ms = now_ms;
	/* What is gone is remembered from its last news on. */
	entry->gone_ms = NEVER_MS;
	entry->home_lost_ms = upstream_directory_is_home_live(directory, body)
				  ? NEVER_MS
				  : now_ms;
	report_state(directory, entry, old_incarnation, old_sequence);
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
	known = upstream_directory_entry(directory, key);
	if (known != NULL) {
		own = version_of(&known->body);
		if (gossip_version_compare(&own, version) >= 0)
			return ERROR_STALE;
	}
	if (gossip_version_of(&directory->gossip, key) == NULL) {
		error = check_unknown(directory, &entry);
		if (error != ERROR_NONE)
			return error;
	}
	directory->has_received_entry = true;
	if (store_entry(directory, &entry) == NULL)
		return ERROR_NO_MEMORY;
	return ERROR_NONE;
}

/* Decides whether an entry that the gossip map lacks may be stored there. An
 * entry that is expired or gone is kept in the directory only and not passed
 * on. Otherwise hosts that forget it at different times would send it to each
 * other forever. */
static enum error_code
check_unknown(struct upstream_directory *directory,
    const struct upstream_entry_body *body)
{
	if (body->is_expired || body->record.state == UPSTREAM_STATE_GONE) {
		if (g_hash_table_size(directory->entries) <
		    2 * directory->settings.upstreams_max)
			(void)store_entry(directory, body);
		return ERROR_STALE;
	}
	if (upstream_directory_is_home_live(directory, body))
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

/* An upstream that is gone or expired stays so in this incarnation, see
 * version_of(). */
static bool
is_final(const struct gossip_version *version)
{
	return version->minor >> STATE_SHIFT ==
		   UPSTREAM_STATE_GONE - UPSTREAM_STATE_ACTIVE ||
	       (version->tie_break & 1) != 0;
}
