#include "coordination/membership.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define PERIOD_DEFAULT_MS    1000   /* Between pings. */
#define ANSWER_DEFAULT_MS    300    /* Until others are asked. */
#define SUSPICION_DEFAULT_MS 3000   /* Until a suspect is dead, at least. */
#define FORGET_DEFAULT_MS    600000 /* A dead host is kept. */
#define SEED_DEFAULT_MS	     2000   /* Between dials of seeds. */
#define HELPERS_MAX	     3	    /* Hosts asked to ping in our place. */
#define DEAD_PING_PERIODS    4	    /* Periods between pings of the dead. */
#define OTHERS_TO_BE_CUT     2	    /* Fewer hosts may all be dead at once. */

/* What is kept of another host. */
struct member {
	struct host_record record;
	int64_t since_ms; /* Of its state, own clock. */
};

static void apply_defaults(struct membership_settings *settings);
static void run_period(void *context);
static void run_answer(void *context);
static void skip_missed_time(struct membership *membership);
static void end_probe(struct membership *membership);
static void start_probe(struct membership *membership);
static void judge_members(struct membership *membership);
static bool is_cut_off(const struct membership *membership);
static int64_t suspicion_time(const struct membership *membership);
static void ping_dead(struct membership *membership);
static void dial_alone(void *context);
static void dial_seeds(struct membership *membership);
static bool is_known_address(
    const struct membership *membership, const struct membership_seed *seed);
static uint32_t next_probe(struct membership *membership);
static void send_message(struct membership *membership, uint32_t to,
    struct membership_message message);
static void handle_message(struct membership *membership, uint32_t from_host,
    const struct membership_message *message);
static void learn_of_self(struct membership *membership, uint64_t incarnation,
    uint64_t refutation, enum host_state state);
static void put_self(struct membership *membership);
static void declare(struct membership *membership, struct member *member,
    enum host_state state);
static enum error_code put_record(
    struct membership *membership, const struct host_record *record);
static enum error_code apply_item(void *context, uint64_t key,
    const struct gossip_version *version, const void *body, size_t size);
static void take_record(
    struct membership *membership, const struct host_record *record);
static void tell_change(struct membership *membership,
    const struct host_record *old, const struct host_record *host);
static void call(struct membership *membership,
    void (*callback)(void *context, const struct host_record *host),
    const struct host_record *host);
static bool is_live_state(enum host_state state);
static struct member *find_member(
    const struct membership *membership, uint32_t host_id);
static uint32_t list_hosts(void *context, uint32_t *host_ids, uint32_t max);

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
	membership->heard_ms = timer_now(timers);
	membership->seeds_dialled_ms = INT64_MIN;
	random_init(&membership->random, seed);
	membership->order = calloc(HOSTS_MAX, sizeof(*membership->order));
	if (membership->order == NULL)
		return ERROR_NO_MEMORY;
	membership->hosts = g_hash_table_new_full(NULL, NULL, NULL, free);
	gossip = membership->settings.gossip;
	gossip.first_type = MEMBERSHIP_TYPE_GOSSIP;
	gossip.items_max = HOSTS_MAX;
	error = gossip_init(&membership->gossip, &gossip, timers, seed + 1,
	    port, (struct gossip_ops){apply_item, list_hosts, membership});
	if (error == ERROR_NONE)
		error = timer_subscribe_every(timers,
		    membership->settings.period_ms,
		    (struct timer_callback){run_period, membership},
		    &membership->period_timer);
	if (error == ERROR_NONE)
		error =
		    timer_subscribe_every(timers, membership->settings.seed_ms,
			(struct timer_callback){dial_alone, membership},
			&membership->seed_timer);
	if (error != ERROR_NONE) {
		membership_finish(membership);
		return error;
	}
	put_self(membership);
	dial_seeds(membership);
	return ERROR_NONE;
}

void
membership_finish(struct membership *membership)
{
	if (membership->hosts == NULL)
		return;
	timer_cancel(membership->timers, &membership->period_timer);
	timer_cancel(membership->timers, &membership->seed_timer);
	timer_cancel(membership->timers, &membership->answer_timer);
	gossip_finish(&membership->gossip);
	g_hash_table_destroy(membership->hosts);
	free(membership->order);
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
		dial_seeds(membership);
}

void
membership_leave(struct membership *membership)
{
	membership->is_leaving = true;
	membership->self.state = HOST_STATE_LEFT;
	put_self(membership);
}

enum error_code
membership_receive(struct membership *membership, uint32_t from_host,
    const void *body, size_t size)
{
	struct membership_message message;
	enum error_code error;
	uint32_t type;

	membership->heard_ms = timer_now(membership->timers);
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
membership_connected(struct membership *membership, uint32_t host_id)
{
	if (!membership_is_live(membership, host_id, 0))
		gossip_sync_with(&membership->gossip, host_id);
}

void
membership_step(struct membership *membership)
{
	membership->steps++;
}

void
membership_set_flags(struct membership *membership, uint32_t flags)
{
	if (membership->self.flags == flags)
		return;
	membership->self.flags = flags;
	put_self(membership);
}

void
membership_set_voter(struct membership *membership, uint64_t voter_incarnation)
{
	if (membership->self.voter_incarnation == voter_incarnation)
		return;
	membership->self.voter_incarnation = voter_incarnation;
	put_self(membership);
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
	member = find_member(membership, host_id);
	return member == NULL ? NULL : &member->record;
}

bool
membership_is_live(
    const struct membership *membership, uint32_t host_id, uint64_t incarnation)
{
	const struct host_record *host;

	host = membership_find(membership, host_id);
	return host != NULL && is_live_state(host->state) &&
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
		if (is_live_state(member->record.state))
			host_ids[count++] = member->record.id;
	}
	return count;
}

void
membership_each(const struct membership *membership,
    void (*visit)(void *visitor, const struct host_record *host), void *visitor)
{
	GHashTableIter iterator;
	gpointer value;

	visit(visitor, &membership->self);
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		visit(visitor, &((struct member *)value)->record);
}

static void
apply_defaults(struct membership_settings *settings)
{
	if (settings->period_ms == 0)
		settings->period_ms = PERIOD_DEFAULT_MS;
	if (settings->answer_ms == 0)
		settings->answer_ms = ANSWER_DEFAULT_MS;
	if (settings->suspicion_ms == 0)
		settings->suspicion_ms = SUSPICION_DEFAULT_MS;
	if (settings->forget_ms == 0)
		settings->forget_ms = FORGET_DEFAULT_MS;
	if (settings->seed_ms == 0)
		settings->seed_ms = SEED_DEFAULT_MS;
}

static void
run_period(void *context)
{
	struct membership *membership = context;

	if (membership->is_leaving)
		return;
	if (membership->steps == membership->period_steps) {
		skip_missed_time(membership);
		return;
	}
	membership->period_steps = membership->steps;
	end_probe(membership);
	judge_members(membership);
	start_probe(membership);
	if (membership->probe_number % DEAD_PING_PERIODS == 0)
		ping_dead(membership);
	dial_seeds(membership);
}

/* Nothing could be heard in this time, so it proves nothing. */
static void
skip_missed_time(struct membership *membership)
{
	GHashTableIter iterator;
	struct member *member;
	gpointer value;

	membership->probe_host = 0;
	membership->heard_ms = timer_now(membership->timers);
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		member = value;
		if (member->record.state == HOST_STATE_SUSPECTED)
			member->since_ms = timer_now(membership->timers);
	}
}

static void
end_probe(struct membership *membership)
{
	struct member *member;

	member = find_member(membership, membership->probe_host);
	membership->probe_host = 0;
	if (member == NULL || membership->probe_answered ||
	    member->record.state != HOST_STATE_ALIVE || is_cut_off(membership))
		return;
	declare(membership, member, HOST_STATE_SUSPECTED);
}

static void
start_probe(struct membership *membership)
{
	membership->probe_number++;
	membership->probe_answered = false;
	membership->probe_host = next_probe(membership);
	if (membership->probe_host == 0)
		return;
	send_message(membership, membership->probe_host,
	    (struct membership_message){.type = MEMBERSHIP_TYPE_PING,
		.number = membership->probe_number,
		.subject = membership->probe_host,
		.asker = membership->self.id});
	timer_cancel(membership->timers, &membership->answer_timer);
	(void)timer_subscribe_once(membership->timers,
	    membership->settings.answer_ms,
	    (struct timer_callback){run_answer, membership},
	    &membership->answer_timer);
}

/* No answer yet: others may have a way to the host that we have not. */
static void
run_answer(void *context)
{
	struct membership *membership = context;
	uint32_t hosts[HOSTS_MAX], count, asked, at;

	if (membership->probe_answered || membership->probe_host == 0)
		return;
	count = membership_list_live(membership, hosts, HOSTS_MAX);
	for (asked = 0; asked < HELPERS_MAX && count > 0;) {
		at = random_below(&membership->random, count);
		if (hosts[at] != membership->probe_host) {
			send_message(membership, hosts[at],
			    (struct membership_message){
				.type = MEMBERSHIP_TYPE_PING_FOR,
				.number = membership->probe_number,
				.subject = membership->probe_host,
				.asker = membership->self.id});
			asked++;
		}
		hosts[at] = hosts[--count];
	}
}

static void
judge_members(struct membership *membership)
{
	int64_t now_ms, suspicion_ms;
	GHashTableIter iterator;
	struct member *member;
	gpointer value;
	bool cut_off;

	now_ms = timer_now(membership->timers);
	suspicion_ms = suspicion_time(membership);
	cut_off = is_cut_off(membership);
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		member = value;
		if (member->record.state == HOST_STATE_SUSPECTED) {
			if (cut_off)
				member->since_ms = now_ms;
			else if (now_ms - member->since_ms >= suspicion_ms)
				declare(membership, member, HOST_STATE_DEAD);
			continue;
		}
		if (is_live_state(member->record.state) ||
		    now_ms - member->since_ms < membership->settings.forget_ms)
			continue;
		gossip_drop(&membership->gossip, member->record.id);
		g_hash_table_iter_remove(&iterator);
	}
}

static bool
is_cut_off(const struct membership *membership)
{
	uint32_t hosts[OTHERS_TO_BE_CUT];

	if (membership_list_live(membership, hosts, OTHERS_TO_BE_CUT) <
	    OTHERS_TO_BE_CUT)
		return false;
	return timer_now(membership->timers) - membership->heard_ms >=
	       2 * membership->settings.period_ms;
}

static int64_t
suspicion_time(const struct membership *membership)
{
	double scale;

	scale = log10((double)g_hash_table_size(membership->hosts) + 1);
	return (int64_t)((double)membership->settings.suspicion_ms *
			 (scale < 1 ? 1 : scale));
}

/* After a partition both sides hold the other for dead; this ends it. */
static void
ping_dead(struct membership *membership)
{
	uint32_t count, chosen;
	GHashTableIter iterator;
	struct member *member;
	gpointer value;

	chosen = 0;
	count = 0;
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		member = value;
		if (member->record.state == HOST_STATE_DEAD &&
		    random_below(&membership->random, ++count) == 0)
			chosen = member->record.id;
	}
	if (chosen != 0)
		send_message(membership, chosen,
		    (struct membership_message){.type = MEMBERSHIP_TYPE_PING,
			.subject = chosen,
			.asker = membership->self.id});
}

/* A host that starts before its seeds would lose a whole period. */
static void
dial_alone(void *context)
{
	struct membership *membership = context;
	uint32_t other;

	if (!membership->is_leaving &&
	    membership_list_live(membership, &other, 1) == 0)
		dial_seeds(membership);
}

static void
dial_seeds(struct membership *membership)
{
	const struct membership_seed *seed;
	int64_t now_ms;
	uint32_t i;

	now_ms = timer_now(membership->timers);
	if (membership->seeds_dialled_ms != INT64_MIN &&
	    now_ms - membership->seeds_dialled_ms <
		membership->settings.seed_ms)
		return;
	membership->seeds_dialled_ms = now_ms;
	for (i = 0; i < membership->settings.seed_count; i++) {
		seed = &membership->settings.seeds[i];
		if (!is_known_address(membership, seed))
			membership->ops.dial_seed(
			    membership->ops.context, seed->ip, seed->port);
	}
}

static bool
is_known_address(
    const struct membership *membership, const struct membership_seed *seed)
{
	const struct host_record *host;
	GHashTableIter iterator;
	gpointer value;

	host = &membership->self;
	if (host->port == seed->port && strcmp(host->ip, seed->ip) == 0)
		return true;
	g_hash_table_iter_init(&iterator, membership->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		host = &((struct member *)value)->record;
		if (is_live_state(host->state) && host->port == seed->port &&
		    strcmp(host->ip, seed->ip) == 0)
			return true;
	}
	return false;
}

/* Each live host comes once, in a new order each time. */
static uint32_t
next_probe(struct membership *membership)
{
	uint32_t i, k, swap;

	for (;;) {
		while (membership->order_next < membership->order_count) {
			i = membership->order[membership->order_next++];
			if (membership_is_live(membership, i, 0))
				return i;
		}
		membership->order_next = 0;
		membership->order_count = membership_list_live(
		    membership, membership->order, HOSTS_MAX);
		if (membership->order_count == 0)
			return 0;
		for (i = membership->order_count; i > 1; i--) {
			k = random_below(&membership->random, i);
			swap = membership->order[i - 1];
			membership->order[i - 1] = membership->order[k];
			membership->order[k] = swap;
		}
	}
}

/* Each message tells its receiver what is held of it. */
static void
send_message(struct membership *membership, uint32_t to,
    struct membership_message message)
{
	const struct member *member;
	struct message_writer writer;

	message.known_state = HOST_STATE_ALIVE;
	member = find_member(membership, to);
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
handle_message(struct membership *membership, uint32_t from_host,
    const struct membership_message *message)
{
	struct membership_message answer = *message;

	learn_of_self(membership, message->known_incarnation,
	    message->known_refutation, message->known_state);
	switch (message->type) {
	case MEMBERSHIP_TYPE_PING:
		if (!membership_is_live(membership, from_host, 0))
			gossip_sync_with(&membership->gossip, from_host);
		if (message->subject != membership->self.id ||
		    membership->is_leaving)
			return;
		answer.type = MEMBERSHIP_TYPE_ANSWER;
		send_message(membership, from_host, answer);
		return;
	case MEMBERSHIP_TYPE_PING_FOR:
		answer.type = MEMBERSHIP_TYPE_PING;
		send_message(membership, message->subject, answer);
		return;
	default:
		break;
	}
	if (message->asker != membership->self.id) {
		send_message(membership, message->asker, answer);
		return;
	}
	if (message->subject == membership->probe_host &&
	    message->number == membership->probe_number)
		membership->probe_answered = true;
}

/* Refutes what others hold of this host if it is not so. */
static void
learn_of_self(struct membership *membership, uint64_t incarnation,
    uint64_t refutation, enum host_state state)
{
	struct host_record *self = &membership->self;
	bool was_dead;

	if (membership->is_leaving || incarnation < self->incarnation)
		return;
	was_dead =
	    !is_live_state(state) && refutation >= membership->dead_refutation;
	if (incarnation > self->incarnation) {
		/* Another process had this id and started above our number. */
		self->incarnation = incarnation + 1;
		self->refutation = 0;
		put_self(membership);
		was_dead = true;
	} else if (refutation > self->refutation ||
		   (refutation == self->refutation &&
		       state != HOST_STATE_ALIVE)) {
		self->refutation = refutation;
		put_self(membership);
	}
	if (!was_dead)
		return;
	membership->dead_refutation = self->refutation;
	if (membership->ops.was_declared_dead != NULL)
		membership->ops.was_declared_dead(
		    membership->ops.context, self->incarnation);
}

static void
put_self(struct membership *membership)
{
	membership->self.refutation++;
	(void)put_record(membership, &membership->self);
}

static void
declare(
    struct membership *membership, struct member *member, enum host_state state)
{
	struct host_record record = member->record;

	record.state = state;
	if (put_record(membership, &record) == ERROR_NONE)
		take_record(membership, &record);
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
	    (uint64_t)record.state != version->rank || version->tie != 0)
		return ERROR_MALFORMED;
	if (record.id == membership->self.id) {
		learn_of_self(membership, record.incarnation, record.refutation,
		    record.state);
		return ERROR_STALE;
	}
	/* The dead are not taken up again by those who have forgotten them. */
	if (!is_live_state(record.state) &&
	    find_member(membership, record.id) == NULL)
		return ERROR_STALE;
	take_record(membership, &record);
	return ERROR_NONE;
}

static void
take_record(struct membership *membership, const struct host_record *record)
{
	struct host_record old = {0};
	struct member *member;

	member = find_member(membership, record->id);
	if (member == NULL) {
		member = calloc(1, sizeof(*member));
		if (member == NULL)
			return;
		g_hash_table_insert(
		    membership->hosts, GUINT_TO_POINTER(record->id), member);
	}
	old = member->record;
	member->record = *record;
	if (old.state != record->state || old.refutation != record->refutation)
		member->since_ms = timer_now(membership->timers);
	if (old.port != record->port || strcmp(old.ip, record->ip) != 0)
		membership->ops.add_host(membership->ops.context, record->id,
		    record->ip, record->port);
	tell_change(membership, &old, record);
}

static void
tell_change(struct membership *membership, const struct host_record *old,
    const struct host_record *host)
{
	const struct membership_ops *ops = &membership->ops;
	bool was_live;

	was_live =
	    is_live_state(old->state) && old->incarnation == host->incarnation;
	switch (host->state) {
	case HOST_STATE_ALIVE:
		call(membership, was_live ? ops->updated : ops->joined, host);
		break;
	case HOST_STATE_SUSPECTED:
		if (!was_live)
			call(membership, ops->joined, host);
		call(membership, ops->suspected, host);
		break;
	case HOST_STATE_DEAD:
		if (is_live_state(old->state))
			call(membership, ops->dead, host);
		break;
	case HOST_STATE_LEFT:
		if (is_live_state(old->state))
			call(membership, ops->left, host);
		break;
	}
}

static void
call(struct membership *membership,
    void (*callback)(void *context, const struct host_record *host),
    const struct host_record *host)
{
	if (callback != NULL)
		callback(membership->ops.context, host);
}

static bool
is_live_state(enum host_state state)
{
	return state == HOST_STATE_ALIVE || state == HOST_STATE_SUSPECTED;
}

static struct member *
find_member(const struct membership *membership, uint32_t host_id)
{
	return g_hash_table_lookup(
	    membership->hosts, GUINT_TO_POINTER(host_id));
}

static uint32_t
list_hosts(void *context, uint32_t *host_ids, uint32_t max)
{
	return membership_list_live(context, host_ids, max);
}
