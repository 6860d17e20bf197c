#include "coordination/group_reservation.h"

#include <stdlib.h>
#include <string.h>

/* How far a member of a group has come. */
enum member_state {
	MEMBER_IDLE = 0,  /* Nothing is taken. */
	MEMBER_TAKEN,	  /* Taken from the slot, not yet reserved. */
	MEMBER_RESERVING, /* The upstream was asked. */
	MEMBER_HELD,	  /* The upstream confirmed. */
	MEMBER_RELEASING, /* Taken until the lease has ended. */
};

/* One upstream of a group. */
struct member {
	uint64_t upstream_id;
	uint64_t incarnation;
	struct capacity_amount amount;
	uint64_t reservation_id;
	uint32_t segment; /* Its place in the plan. */
	enum member_state state;
};

/* A group; members in order of upstream id. */
struct group {
	uint64_t order;
	int64_t deadline_ms;
	int64_t next_try_ms;
	bool is_ready;
	bool is_over; /* Only leases are left. */
	uint32_t count;
	struct member members[GROUP_SEGMENTS_MAX];
};

/* A group of the table and its handle. */
struct group_entry {
	struct handle handle;
	struct group *group;
};

static void run_tick(void *context);
static int compare_candidates(const void *left, const void *right);
static int compare_members(const void *left, const void *right);
static void split_prompt(struct group_plan *plan,
    const struct group_candidate *chosen, uint32_t count,
    uint64_t prompt_tokens, uint64_t answer_tokens);
static struct group *find_group(
    const struct group_table *table, struct handle handle);
static GArray *list_groups(const struct group_table *table);
static gint compare_entries(gconstpointer left, gconstpointer right);
static bool find_member(struct group_table *table, uint64_t reservation_id,
    struct group_entry *entry, struct member **member);
static void step_groups(struct group_table *table);
static void step_group(struct group_table *table, struct handle handle);
static struct member *next_member(struct group *group);
static bool is_behind(const struct group_table *table,
    const struct group *group, uint64_t upstream_id);
static void end_group(
    struct group_table *table, struct handle handle, enum error_code error);
static void release_members(struct group_table *table, struct group *group);
static void drop_if_empty(struct group_table *table, struct handle handle);
static void clear_want(struct group_table *table, uint64_t upstream_id);

enum error_code
group_plan_make(struct group_plan *plan,
    const struct group_candidate *candidates, uint32_t count,
    uint64_t prompt_tokens, uint64_t answer_tokens)
{
	struct group_candidate *sorted;
	uint64_t room, needed;
	uint32_t used, i;

	memset(plan, 0, sizeof(*plan));
	if (prompt_tokens == 0 || answer_tokens > UINT64_MAX - prompt_tokens)
		return ERROR_INVALID_ARGUMENT;
	if (count == 0)
		return ERROR_NO_CAPACITY;
	sorted = g_new(struct group_candidate, count);
	memcpy(sorted, candidates, count * sizeof(*sorted));
	qsort(sorted, count, sizeof(*sorted), compare_candidates);
	needed = prompt_tokens + answer_tokens;
	room = 0;
	used = 0;
	for (i = 0; i < count && i < GROUP_SEGMENTS_MAX && room < needed; i++) {
		room += sorted[i].free_kv_tokens;
		used++;
	}
	if (room < needed || sorted[0].free_kv_tokens <= answer_tokens) {
		g_free(sorted);
		return ERROR_NO_CAPACITY;
	}
	split_prompt(plan, sorted, used, prompt_tokens, answer_tokens);
	g_free(sorted);
	return ERROR_NONE;
}

struct group_settings
group_default_settings(void)
{
	struct group_settings settings = {.capacity = 256, .retry_ms = 50};

	return settings;
}

enum error_code
group_table_init(struct group_table *table,
    const struct group_settings *settings, const struct group_ops *ops,
    struct timer_service *timers, struct kv_lease_table *leases)
{
	struct timer_callback tick = {run_tick, table};
	enum error_code error;

	memset(table, 0, sizeof(*table));
	error = timer_subscribe_every(
	    timers, settings->retry_ms, tick, &table->tick);
	if (error != ERROR_NONE)
		return error;
	table->settings = *settings;
	table->ops = *ops;
	table->timers = timers;
	table->leases = leases;
	handle_table_init(
	    &table->groups, sizeof(struct group), settings->capacity);
	return ERROR_NONE;
}

void
group_table_finish(struct group_table *table)
{
	if (table->timers == NULL)
		return;
	timer_cancel(table->timers, &table->tick);
	handle_table_finish(&table->groups);
	memset(table, 0, sizeof(*table));
}

enum error_code
group_start(struct group_table *table, const struct group_plan *plan,
    int64_t deadline_ms, struct handle *group)
{
	enum error_code error;
	struct member *member;
	struct group *started;
	uint32_t i;

	if (plan->count == 0 || plan->count > GROUP_SEGMENTS_MAX)
		return ERROR_INVALID_ARGUMENT;
	error = handle_table_add(&table->groups, group);
	if (error != ERROR_NONE)
		return error;
	started = handle_table_get(&table->groups, *group);
	started->order = ++table->next_order;
	started->deadline_ms = deadline_ms;
	started->count = plan->count;
	for (i = 0; i < plan->count; i++) {
		member = &started->members[i];
		member->upstream_id = plan->segments[i].upstream_id;
		member->incarnation = plan->segments[i].incarnation;
		member->segment = i;
		member->amount.requests = 1;
		member->amount.prefill_tokens = plan->segments[i].prompt_tokens;
		member->amount.kv_tokens = plan->segments[i].kv_tokens;
	}
	qsort(
	    started->members, started->count, sizeof(*member), compare_members);
	step_groups(table);
	return ERROR_NONE;
}

void
group_release(struct group_table *table, struct handle handle)
{
	struct group *group;

	group = find_group(table, handle);
	if (group == NULL || group->is_over)
		return;
	if (!group->is_ready) {
		end_group(table, handle, ERROR_CANCELLED);
		return;
	}
	release_members(table, group);
	drop_if_empty(table, handle);
}

uint64_t
group_reservation_id(
    const struct group_table *table, struct handle handle, uint32_t segment)
{
	const struct group *group;
	uint32_t i;

	group = find_group(table, handle);
	if (group == NULL)
		return 0;
	for (i = 0; i < group->count; i++) {
		if (group->members[i].segment == segment &&
		    group->members[i].state == MEMBER_HELD)
			return group->members[i].reservation_id;
	}
	return 0;
}

void
group_note_granted(struct group_table *table)
{
	step_groups(table);
}

void
group_note_reserved(
    struct group_table *table, uint64_t reservation_id, enum error_code error)
{
	struct group_entry entry;
	struct member *member;

	if (!find_member(table, reservation_id, &entry, &member) ||
	    member->state != MEMBER_RESERVING)
		return;
	if (error == ERROR_NONE) {
		if (kv_lease_note_held(table->leases, reservation_id) !=
		    ERROR_NONE) {
			end_group(table, entry.handle, ERROR_TIMEOUT);
			return;
		}
		member->state = MEMBER_HELD;
		if (next_member(entry.group) == NULL) {
			entry.group->is_ready = true;
			table->ops.ended(
			    table->ops.context, entry.handle, ERROR_NONE);
		}
		step_groups(table);
		return;
	}
	if (error == ERROR_STALE || error == ERROR_CONNECTION) {
		end_group(table, entry.handle, ERROR_UPSTREAM_FAILED);
		return;
	}
	/* Full for now: the same member is tried again, in the same order. */
	member->state = MEMBER_RELEASING;
	entry.group->next_try_ms =
	    timer_now(table->timers) + table->settings.retry_ms;
	kv_lease_release(table->leases, reservation_id);
}

void
group_note_lease_ended(struct group_table *table, uint64_t reservation_id)
{
	struct group_entry entry;
	struct member *member;
	bool was_held;

	if (!find_member(table, reservation_id, &entry, &member))
		return;
	was_held = member->state != MEMBER_RELEASING;
	table->ops.give(
	    table->ops.context, member->upstream_id, &member->amount);
	member->state = MEMBER_IDLE;
	member->reservation_id = 0;
	/* The upstream lost it, or its time ran out, under a group in use. */
	if (was_held && !entry.group->is_over) {
		end_group(table, entry.handle, ERROR_UPSTREAM_FAILED);
		return;
	}
	drop_if_empty(table, entry.handle);
}

void
group_note_incarnation(
    struct group_table *table, uint64_t upstream_id, uint64_t incarnation)
{
	struct group_entry *entry;
	GArray *entries;
	guint i;
	uint32_t at;

	entries = list_groups(table);
	for (i = 0; i < entries->len; i++) {
		entry = &g_array_index(entries, struct group_entry, i);
		entry->group = find_group(table, entry->handle);
		for (at = 0; entry->group != NULL && !entry->group->is_over &&
			     at < entry->group->count;
		     at++) {
			if (entry->group->members[at].upstream_id !=
				upstream_id ||
			    entry->group->members[at].incarnation >=
				incarnation)
				continue;
			end_group(table, entry->handle, ERROR_UPSTREAM_FAILED);
			break;
		}
	}
	g_array_free(entries, TRUE);
}

static void
run_tick(void *context)
{
	struct group_table *table = context;
	struct group_entry *entry;
	GArray *entries;
	int64_t now_ms;
	guint i;

	now_ms = timer_now(table->timers);
	entries = list_groups(table);
	for (i = 0; i < entries->len; i++) {
		entry = &g_array_index(entries, struct group_entry, i);
		entry->group = find_group(table, entry->handle);
		if (entry->group != NULL && !entry->group->is_ready &&
		    !entry->group->is_over &&
		    now_ms >= entry->group->deadline_ms)
			end_group(table, entry->handle, ERROR_TIMEOUT);
	}
	g_array_free(entries, TRUE);
	step_groups(table);
}

static int
compare_candidates(const void *left, const void *right)
{
	const struct group_candidate *first = left, *second = right;

	if (first->free_kv_tokens != second->free_kv_tokens)
		return first->free_kv_tokens > second->free_kv_tokens ? -1 : 1;
	return (first->upstream_id > second->upstream_id) -
	       (first->upstream_id < second->upstream_id);
}

static int
compare_members(const void *left, const void *right)
{
	const struct member *first = left, *second = right;

	return (first->upstream_id > second->upstream_id) -
	       (first->upstream_id < second->upstream_id);
}

/* The candidates are sorted by room; the first becomes the last segment. */
static void
split_prompt(struct group_plan *plan, const struct group_candidate *chosen,
    uint32_t count, uint64_t prompt_tokens, uint64_t answer_tokens)
{
	struct group_segment *segment;
	uint64_t room, rest, room_here, part, first;
	uint32_t i;

	room = 0;
	for (i = 0; i < count; i++)
		room += chosen[i].free_kv_tokens;
	room -= answer_tokens;
	rest = prompt_tokens;
	first = 0;
	plan->count = count;
	for (i = 0; i < count; i++) {
		segment = &plan->segments[i];
		segment->upstream_id = chosen[count - 1 - i].upstream_id;
		segment->incarnation = chosen[count - 1 - i].incarnation;
		room_here = chosen[count - 1 - i].free_kv_tokens;
		if (i == count - 1)
			room_here -= answer_tokens;
		/* Alike by share of room; rounded up, so the last one fits. */
		part = (uint64_t)((double)rest * (double)room_here /
				  (double)room) +
		       1;
		if (part > room_here)
			part = room_here;
		if (part > rest || i == count - 1)
			part = rest;
		segment->first_token = first;
		segment->prompt_tokens = part;
		segment->kv_tokens =
		    part + (i == count - 1 ? answer_tokens : 0);
		first += part;
		rest -= part;
		room -= room_here;
	}
}

static struct group *
find_group(const struct group_table *table, struct handle handle)
{
	return handle_table_get(&table->groups, handle);
}

/* All groups, oldest first; pointers go stale when a group is added. */
static GArray *
list_groups(const struct group_table *table)
{
	struct group_entry entry = {0};
	GArray *entries;

	entries = g_array_new(FALSE, FALSE, sizeof(entry));
	while (handle_table_next(&table->groups, &entry.handle)) {
		entry.group = find_group(table, entry.handle);
		g_array_append_val(entries, entry);
	}
	g_array_sort(entries, compare_entries);
	return entries;
}

static gint
compare_entries(gconstpointer left, gconstpointer right)
{
	const struct group_entry *first = left, *second = right;

	return first->group->order < second->group->order ? -1 : 1;
}

static bool
find_member(struct group_table *table, uint64_t reservation_id,
    struct group_entry *entry, struct member **member)
{
	uint32_t i;

	memset(entry, 0, sizeof(*entry));
	if (reservation_id == 0)
		return false;
	while (handle_table_next(&table->groups, &entry->handle)) {
		entry->group = find_group(table, entry->handle);
		for (i = 0; i < entry->group->count; i++) {
			*member = &entry->group->members[i];
			if ((*member)->reservation_id == reservation_id)
				return true;
		}
	}
	return false;
}

static void
step_groups(struct group_table *table)
{
	GArray *entries;
	guint i;

	/* What the steps call may lead back here. */
	if (table->is_stepping)
		return;
	table->is_stepping = true;
	entries = list_groups(table);
	for (i = 0; i < entries->len; i++)
		step_group(table,
		    g_array_index(entries, struct group_entry, i).handle);
	g_array_free(entries, TRUE);
	table->is_stepping = false;
}

static void
step_group(struct group_table *table, struct handle handle)
{
	struct member *member;
	struct group *group;

	group = find_group(table, handle);
	if (group == NULL || group->is_ready || group->is_over ||
	    timer_now(table->timers) < group->next_try_ms)
		return;
	member = next_member(group);
	if (member == NULL)
		return;
	if (member->state == MEMBER_IDLE) {
		if (is_behind(table, group, member->upstream_id))
			return;
		if (table->ops.take(table->ops.context, member->upstream_id,
			&member->amount) != ERROR_NONE) {
			table->ops.want(table->ops.context, member->upstream_id,
			    &member->amount);
			return;
		}
		member->state = MEMBER_TAKEN;
		clear_want(table, member->upstream_id);
	}
	if (member->state != MEMBER_TAKEN ||
	    kv_lease_begin(table->leases, member->upstream_id,
		member->incarnation, KV_LEASE_RESERVATION,
		member->amount.kv_tokens, INT64_MAX,
		&member->reservation_id) != ERROR_NONE)
		return;
	member->state = MEMBER_RESERVING;
	table->ops.reserve(table->ops.context, member->upstream_id,
	    member->incarnation, member->reservation_id,
	    member->amount.kv_tokens);
}

/* The first member that is not held, NULL if the group waits for none. */
static struct member *
next_member(struct group *group)
{
	uint32_t i;

	if (group->is_ready || group->is_over)
		return NULL;
	for (i = 0; i < group->count; i++) {
		if (group->members[i].state != MEMBER_HELD)
			return &group->members[i];
	}
	return NULL;
}

/* True if an older group of this host waits for the same upstream. */
static bool
is_behind(const struct group_table *table, const struct group *group,
    uint64_t upstream_id)
{
	struct handle handle = {0};
	const struct member *member;
	struct group *other;

	while (handle_table_next(&table->groups, &handle)) {
		other = find_group(table, handle);
		if (other->order >= group->order)
			continue;
		member = next_member(other);
		if (member != NULL && member->upstream_id == upstream_id)
			return true;
	}
	return false;
}

/* The one release path of groups that did not become ready. */
static void
end_group(
    struct group_table *table, struct handle handle, enum error_code error)
{
	struct member *waiting;
	struct group *group;
	uint64_t waited_id;

	group = find_group(table, handle);
	waiting = next_member(group);
	waited_id = waiting != NULL && waiting->state == MEMBER_IDLE
			? waiting->upstream_id
			: 0;
	release_members(table, group);
	if (waited_id != 0)
		clear_want(table, waited_id);
	drop_if_empty(table, handle);
	table->ops.ended(table->ops.context, handle, error);
}

static void
release_members(struct group_table *table, struct group *group)
{
	enum member_state state;
	struct member *member;
	uint32_t i;

	group->is_over = true;
	for (i = 0; i < group->count; i++) {
		member = &group->members[i];
		state = member->state;
		if (state == MEMBER_TAKEN) {
			member->state = MEMBER_IDLE;
			table->ops.give(table->ops.context, member->upstream_id,
			    &member->amount);
		}
		if (state != MEMBER_RESERVING && state != MEMBER_HELD)
			continue;
		member->state = MEMBER_RELEASING;
		kv_lease_release(table->leases, member->reservation_id);
	}
}

/* The handle lives until the last lease has ended. */
static void
drop_if_empty(struct group_table *table, struct handle handle)
{
	struct group *group;
	uint32_t i;

	group = find_group(table, handle);
	if (group == NULL || !group->is_over)
		return;
	for (i = 0; i < group->count; i++) {
		if (group->members[i].state != MEMBER_IDLE)
			return;
	}
	(void)handle_table_remove(&table->groups, handle);
}

/* The next group that waits there tells its wish with its next try. */
static void
clear_want(struct group_table *table, uint64_t upstream_id)
{
	const struct capacity_amount none = {0};

	table->ops.want(table->ops.context, upstream_id, &none);
}
