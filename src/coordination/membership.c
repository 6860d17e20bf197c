#include <stdlib.h>
#include <string.h>

#include "coordination/membership_parts.h"

#define PING_PERIOD_DEFAULT_MS	  1000
#define PING_TIMEOUT_DEFAULT_MS	  300
#define SUSPICION_DEFAULT_MS	  3000
#define DEAD_RETENTION_DEFAULT_MS 600000
#define SEED_DIAL_DEFAULT_MS	  2000

static void apply_defaults(struct membership_settings *settings);
static void handle_message(struct membership *membership, uint32_t from_host,
    const struct membership_message *message);
static void handle_report_of_self(struct membership *membership,
    uint64_t incarnation, uint64_t refutation, enum host_state state);
static void publish_self(struct membership *membership);
static enum error_code put_record(
    struct membership *membership, const struct host_record *record);
static enum error_code apply_item(void *context, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
static void store_record(
    struct membership *membership, const struct host_record *record);
static void keep_statement(
    struct host_record *host, const struct host_record *old);
static void notify_change(struct membership *membership,
    const struct host_record *old, const struct host_record *host);
static void invoke_callback(struct membership *membership,
    void (*callback)(void *context, const struct host_record *host),
    const struct host_record *host);
static uint32_t list_hosts(void *context, uint32_t *host_ids, uint32_t max);
static bool is_final(const struct gossip_version *version);

enum error_code
membership_init(struct membership *membership,
    const struct membership_settings *settings, struct timer_service *timers,
    uint64_t seed, struct peer_port port, struct membership_ops ops)
{
	struct gossip_settings gossip;
	enum error_code error;

	memset(membership, 0, sizeof(*membership));
	if (settings->self.id == 0 || settings->seed_count > SEEDS_MAX ||
	    ops.dial_seed == NULL || ops.add_host == NULL)
		return ERROR_INVALID_ARGUMENT;
	membership->settings = *settings;
	apply_defaults(&membership->settings);
	membership->timers = timers;
	membership->port = port;
	membership->ops = ops;
	membership->self = settings->self;
	membership->self.state = HOST_STATE_ALIVE;
	membership->last_received_ms = timer_now(timers);
	timer_lag_start(&membership->period_lag, timers);
	membership->seeds_dialled_ms = INT64_MIN;
	random_init(&membership->random, seed);
	membership->ping_order =
	    calloc(HOSTS_MAX, sizeof(*membership->ping_order));
	if (membership->ping_order == NULL)
		return ERROR_NO_MEMORY;
	membership->hosts = g_hash_table_new_full(NULL, NULL, NULL, free);
	gossip = membership->settings.gossip;
	gossip.first_type = MEMBERSHIP_TYPE_GOSSIP;
	gossip.items_max = HOSTS_MAX;
	error = gossip_init(&membership->gossip, &gossip, timers, seed + 1,
	    port,
	    (struct gossip_ops){apply_item, list_hosts, is_final, membership});
	if (error == ERROR_NONE)
		error = timer_subscribe_every(timers,
		    membership->settings.ping_period_ms,
		    (struct timer_callback){membership_run_period, membership},
		    &membership->period_timer);
	if (error == ERROR_NONE)
		error = timer_subscribe_every(timers,
		    membership->settings.seed_dial_interval_ms,
		    (struct timer_callback){
			membership_dial_seeds_if_alone, membership},
		    &membership->seed_timer);
	if (error != ERROR_NONE) {
		membership_finish(membership);
		return error;
	}
	publish_self(membership);
	membership_dial_seeds(membership);
	return ERROR_NONE;
}

void
membership_finish(struct membership *membership)
{
	if (membership->hosts == NULL)
		return;
	timer_cancel(membership->timers, &membership->period_timer);
	timer_cancel(membership->timers, &membership->seed_timer);
	timer_cancel(membership->timers, &membership->ping_timeout_timer);
	gossip_finish(&membership->gossip);
	g_hash_table_destroy(membership->hosts);
	free(membership->ping_order);
	memset(membership, 0, sizeof(*membership));
}

void
membership_set_seeds(struct membership *membership,
    const struct membership_seed *seeds, uint32_t count)
{
	struct membership_settings *settings = &membership->settings;

	settings->seed_count = MIN(count, SEEDS_MAX);
	memcpy(settings->seeds, seeds, settings->seed_count * sizeof(*seeds));
	membership->seeds_dialled_ms = INT64_MIN;
	if (!membership->is_leaving)
		membership_dial_seeds(membership);
}

void
membership_leave(struct membership *membership)
{
	membership->is_leaving = true;
	membership->self.state = HOST_STATE_LEFT;
	publish_self(membership);
}

enum error_code
membership_receive(struct membership *membership, uint32_t from_host,
    const void *body, size_t size)
{
	struct membership_message message;
	enum error_code error;
	uint32_t type;

	membership->last_received_ms = timer_now(membership->timers);
	error = membership_message_type(body, size, &type);
	if (error != ERROR_NONE)
		return error;
	if (type > MEMBERSHIP_TYPE_MAX) {
		if (membership->ops.receive_other == NULL)
			return ERROR_NOT_SUPPORTED;
		return membership->ops.receive_other(
		    membership->ops.context, from_host, body, size);
	}
	if (type >= MEMBERSHIP_TYPE_GOSSIP)
		return gossip_receive(
		    &membership->gossip, from_host, body, size);
	error = membership_message_read(body, size, &message);
	if (error == ERROR_NONE)
		handle_message(membership, from_host, &message);
	return error;
}

void
membership_on_connected(struct membership *membership, uint32_t host_id)
{
	if (!membership_is_live(membership, host_id, 0))
		gossip_sync_with(&membership->gossip, host_id);
}

void
membership_on_reconnected(struct membership *membership, uint32_t host_id)
{
	if (membership_is_live(membership, host_id, 0))
		gossip_check_with(&membership->gossip, host_id);
}

void
membership_set_flags(struct membership *membership, uint32_t flags)
{
	if (membership->self.flags == flags)
		return;
	membership->self.flags = flags;
	publish_self(membership);
}

void
membership_set_voter_incarnation(
    struct membership *membership, uint64_t voter_incarnation)
{
	if (membership->self.voter_incarnation == voter_incarnation)
		return;
	membership->self.voter_incarnation = voter_incarnation;
	publish_self(membership);
}

const struct host_record *
membership_self(const struct membership *membership)
{
	return &membership->self;
}

const struct host_record *
membership_find(const struct membership *membership, uint32_t host_id)
{
	const struct member *member;

	if (host_id == membership->self.id)
		return &membership->self;
	member = membership_find_member(membership, host_id);
	return member == NULL ? NULL : &member->record;
}

uint32_t
membership_stated_level(const struct membership *membership, uint32_t host_id)
{
	const struct host_record *host;

	host = membership_find(membership, host_id);
	return host == NULL ? 0 : host->level;
}

const char *
membership_stated_build(const struct membership *membership, uint32_t host_id)
{
	const struct host_record *host;

	host = membership_find(membership, host_id);
	return host == NULL ? "" : host->build;
}

bool
membership_is_live(
    const struct membership *membership, uint32_t host_id, uint64_t incarnation)
{
	const struct host_record *host;

	host = membership_find(membership, host_id);
	return host != NULL && host_state_is_live(host->state) &&
	       (incarnation == 0 || incarnation == host->incarnation);
}

uint32_t
membership_list_live(
    const struct membership *membership, uint32_t *host_ids, uint32_t max)
{
	const struct member *member;
	GHashTableIter iterator;
	gpointer value;
	uint32_t count;

	count = 0;
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (count < max && g_hash_table_iter_next(&iterator, NULL, &value)) {
		member = value;
		if (host_state_is_live(member->record.state))
			host_ids[count++] = member->record.id;
	}
	return count;
}

bool
host_state_is_live(enum host_state state)
{
	return state == HOST_STATE_ALIVE || state == HOST_STATE_SUSPECTED;
}

void
membership_for_each(const struct membership *membership,
    void (*visit)(void *visitor, const struct host_record *host), void *visitor)
{
	GHashTableIter iterator;
	gpointer value;

	visit(visitor, &membership->self);
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		visit(visitor, &((struct member *)value)->record);
}

struct member *
membership_find_member(const struct membership *membership, uint32_t host_id)
{
	return g_hash_table_lookup(
	    membership->hosts, GUINT_TO_POINTER(host_id));
}

void
membership_declare_state(
    struct membership *membership, struct member *member, enum host_state state)
{
	struct host_record record = member->record;

	record.state = state;
	if (put_record(membership, &record) == ERROR_NONE)
		store_record(membership, &record);
}

void
membership_send(struct membership *membership, uint32_t to,
    struct membership_message message)
{
	const struct member *member;
	struct message_writer writer;

	message.known_state = HOST_STATE_ALIVE;
	member = membership_find_member(membership, to);
	if (member != NULL) {
		message.known_incarnation = member->record.incarnation;
		message.known_refutation = member->record.refutation;
		message.known_state = member->record.state;
	}
	message_writer_init(&writer);
	membership_message_write(&writer, &message);
	membership->port.send(membership->port.context, to,
	    PEER_CHANNEL_MEMBERSHIP, message_data(&writer),
	    message_size(&writer));
	message_writer_finish(&writer);
}

static void
apply_defaults(struct membership_settings *settings)
{
	if (settings->ping_period_ms == 0)
		settings->ping_period_ms = PING_PERIOD_DEFAULT_MS;
	if (settings->ping_timeout_ms == 0)
		settings->ping_timeout_ms = PING_TIMEOUT_DEFAULT_MS;
	if (settings->suspicion_ms == 0)
		settings->suspicion_ms = SUSPICION_DEFAULT_MS;
	if (settings->dead_retention_ms == 0)
		settings->dead_retention_ms = DEAD_RETENTION_DEFAULT_MS;
	if (settings->seed_dial_interval_ms == 0)
		settings->seed_dial_interval_ms = SEED_DIAL_DEFAULT_MS;
}

static void
handle_message(struct membership *membership, uint32_t from_host,
    const struct membership_message *message)
{
	struct membership_message answer = *message;

	handle_report_of_self(membership, message->known_incarnation,
	    message->known_refutation, message->known_state);
	switch (message->type) {
	case MEMBERSHIP_TYPE_PING:
		if (!membership_is_live(membership, from_host, 0))
			gossip_sync_with(&membership->gossip, from_host);
		if (message->target != membership->self.id ||
		    membership->is_leaving)
			return;
		answer.type = MEMBERSHIP_TYPE_ANSWER;
		membership_send(membership, from_host, answer);
		return;
	case MEMBERSHIP_TYPE_PING_REQUEST:
		answer.type = MEMBERSHIP_TYPE_PING;
		membership_send(membership, message->target, answer);
		return;
	default:
		break;
	}
	if (message->origin != membership->self.id) {
		membership_send(membership, message->origin, answer);
		return;
	}
	if (message->target == membership->probe_host &&
	    message->ping_number == membership->probe_number)
		membership->probe_answered = true;
}

/* Handles the state that another host has of this host, and refutes it if it
 * is wrong. */
static void
handle_report_of_self(struct membership *membership, uint64_t incarnation,
    uint64_t refutation, enum host_state state)
{
	struct host_record *self = &membership->self;
	bool is_new_death;

	if (membership->is_leaving || incarnation < self->incarnation)
		return;
	is_new_death = !host_state_is_live(state) &&
		       refutation >= membership->death_reported_refutation;
	if (incarnation > self->incarnation) {
		/* Another process used this host id with a higher
		 * incarnation. */
		self->incarnation = incarnation + 1;
		self->refutation = 0;
		publish_self(membership);
		is_new_death = true;
	} else if (refutation > self->refutation ||
		   (refutation == self->refutation &&
		       state != HOST_STATE_ALIVE)) {
		self->refutation = refutation;
		publish_self(membership);
	}
	if (!is_new_death)
		return;
	membership->death_reported_refutation = self->refutation;
	if (membership->ops.on_declared_dead != NULL)
		membership->ops.on_declared_dead(
		    membership->ops.context, self->incarnation);
}

/* Publishes this host's record with the next refutation number. */
static void
publish_self(struct membership *membership)
{
	membership->self.refutation++;
	(void)put_record(membership, &membership->self);
}

static enum error_code
put_record(struct membership *membership, const struct host_record *record)
{
	const struct gossip_version version = {
	    record->incarnation, record->refutation, record->state, 0};
	struct message_writer writer;
	enum error_code error;

	message_writer_init(&writer);
	host_record_write(&writer, record);
	error = gossip_put(&membership->gossip, record->id, &version,
	    message_data(&writer), message_size(&writer));
	message_writer_finish(&writer);
	return error;
}

/* Checks and stores a record that came by gossip. */
static enum error_code
apply_item(void *context, uint64_t key, const struct gossip_version *version,
    const void *body, size_t size)
{
	struct membership *membership = context;
	struct host_record record;
	enum error_code error;

	error = host_record_read(body, size, &record);
	if (error != ERROR_NONE)
		return error;
	if (record.id != key || record.incarnation != version->major ||
	    record.refutation != version->minor ||
	    (uint64_t)record.state != version->rank || version->tie_break != 0)
		return ERROR_MALFORMED;
	if (record.id == membership->self.id) {
		handle_report_of_self(membership, record.incarnation,
		    record.refutation, record.state);
		return ERROR_STALE;
	}
	/* A dead host that was forgotten here is not stored again. Otherwise
	 * hosts that forget it at different times would pass it on forever. */
	if (!host_state_is_live(record.state) &&
	    membership_find_member(membership, record.id) == NULL)
		return ERROR_STALE;
	store_record(membership, &record);
	return ERROR_NONE;
}

static void
store_record(struct membership *membership, const struct host_record *record)
{
	struct host_record old = {0};
	struct member *member;

	member = membership_find_member(membership, record->id);
	if (member == NULL) {
		member = calloc(1, sizeof(*member));
		if (member == NULL)
			return;
		g_hash_table_insert(
		    membership->hosts, GUINT_TO_POINTER(record->id), member);
	}
	old = member->record;
	member->record = *record;
	if (record->level == 0 && old.incarnation == record->incarnation)
		keep_statement(&member->record, &old);
	if (old.state != record->state || old.refutation != record->refutation)
		member->since_ms = timer_now(membership->timers);
	if (old.port != record->port || strcmp(old.ip, record->ip) != 0)
		membership->ops.add_host(membership->ops.context, record->id,
		    record->ip, record->port);
	notify_change(membership, &old, record);
}

/* A host of an earlier build that suspects another one writes its record anew,
 * without what it does not know. A process states the same all its life. */
static void
keep_statement(struct host_record *host, const struct host_record *old)
{
	host->level = old->level;
	memcpy(host->build, old->build, sizeof(host->build));
}

static void
notify_change(struct membership *membership, const struct host_record *old,
    const struct host_record *host)
{
	const struct membership_ops *ops = &membership->ops;
	bool was_live;

	was_live = host_state_is_live(old->state) &&
		   old->incarnation == host->incarnation;
	switch (host->state) {
	case HOST_STATE_ALIVE:
		invoke_callback(membership,
		    was_live ? ops->on_updated : ops->on_joined, host);
		break;
	case HOST_STATE_SUSPECTED:
		if (!was_live)
			invoke_callback(membership, ops->on_joined, host);
		invoke_callback(membership, ops->on_suspected, host);
		break;
	case HOST_STATE_DEAD:
		if (host_state_is_live(old->state))
			invoke_callback(membership, ops->on_dead, host);
		break;
	case HOST_STATE_LEFT:
		if (host_state_is_live(old->state))
			invoke_callback(membership, ops->on_left, host);
		break;
	}
}

static void
invoke_callback(struct membership *membership,
    void (*callback)(void *context, const struct host_record *host),
    const struct host_record *host)
{
	if (callback != NULL)
		callback(membership->ops.context, host);
}

static uint32_t
list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	return membership_list_live(context, host_ids, max);
}

static bool
is_final(const struct gossip_version *version)
{
	return !host_state_is_live((enum host_state)version->rank);
}
