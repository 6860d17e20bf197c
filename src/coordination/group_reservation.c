#include "coordination/group_reservation.h"

#include <stdlib.h>
#include <string.h>

/* Reservation state of one member of a group. */
enum member_state {
	MEMBER_IDLE = 0,  /* No capacity is acquired. */
	MEMBER_ACQUIRED,  /* Capacity is acquired, no reservation requested. */
	MEMBER_RESERVING, /* A reservation request is under way. */
	MEMBER_HELD,	  /* The upstream confirmed the reservation. */
	MEMBER_RELEASING, /* Capacity stays acquired until the lease ends. */
};

/* One upstream of a group and its reservation. */
struct member {
	uint64_t upstream_id;
	uint64_t incarnation;
	struct capacity_amount amount;
	uint64_t reservation_id;
	uint32_t segment; /* Index of the member's segment in the plan. */
	enum member_state state;
};

/* A group; its members are sorted by upstream id. */
struct group {
	uint64_t arrival_number;
	int64_t deadline_ms;
	int64_t next_try_ms;
	bool is_ready;	/* Every member is held. */
	bool is_ending; /* The group only waits for its leases to end. */
	uint32_t count;
	struct member members[GROUP_SEGMENTS_MAX];
};

/* A group of the table together with its handle. */
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
static void advance_groups(struct group_table *table);
static void advance_group(struct group_table *table, struct handle handle);
static struct member *find_next_member(struct group *group);
static bool older_group_waits(const struct group_table *table,
    const struct group *group, uint64_t upstream_id);
static void end_group(
    struct group_table *table, struct handle handle, enum error_code error);
static void release_members(struct group_table *table, struct group *group);
static void remove_if_released(struct group_table *table, struct handle handle);
static void clear_wanted(struct group_table *table, uint64_t upstream_id);

enum error_code
group_plan_make(struct group_plan *plan,
    const struct group_candidate *candidates, uint32_t count,
    uint64_t prompt_tokens, uint64_t answer_tokens)
{
	struct group_candidate *sorted;
	uint64_t free_tokens, needed;
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
	free_tokens = 0;
	used = 0;
	for (i = 0; i < count && i < GROUP_SEGMENTS_MAX && free_tokens < needed;
	     i++) {
		free_tokens += sorted[i].free_kv_tokens;
		used++;
	}
	if (free_tokens < needed || sorted[0].free_kv_tokens <= answer_tokens) {
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
	started->arrival_number = ++table->last_arrival_number;
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
	advance_groups(table);
	return ERROR_NONE;
}

void
group_release(struct group_table *table, struct handle handle)
{
	struct group *group;

	group = find_group(table, handle);
	if (group == NULL || group->is_ending)
		return;
	if (!group->is_ready) {
		end_group(table, handle, ERROR_CANCELLED);
		return;
	}
	release_members(table, group);
	remove_if_released(table, handle);
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
group_on_granted(struct group_table *table)
{
	advance_groups(table);
}

void
group_on_reserved(
    struct group_table *table, uint64_t reservation_id, enum error_code error)
{
	struct group_entry entry;
	struct member *member;

	if (!find_member(table, reservation_id, &entry, &member) ||
	    member->state != MEMBER_RESERVING)
		return;
	if (error == ERROR_NONE) {
		if (kv_lease_record_held(table->leases, reservation_id) !=
		    ERROR_NONE) {
			end_group(table, entry.handle, ERROR_TIMEOUT);
			return;
		}
		member->state = MEMBER_HELD;
		if (find_next_member(entry.group) == NULL) {
			entry.group->is_ready = true;
			table->ops.on_ended(
			    table->ops.context, entry.handle, ERROR_NONE);
		}
		advance_groups(table);
		return;
	}
	if (error == ERROR_STALE || error == ERROR_CONNECTION) {
		end_group(table, entry.handle, ERROR_UPSTREAM_FAILED);
		return;
	}
	/* The upstream is full for now: retry the same member, since members
	 * must be reserved in order. */
	member->state = MEMBER_RELEASING;
	entry.group->next_try_ms =
	    timer_now(table->timers) + table->settings.retry_ms;
	kv_lease_release(table->leases, reservation_id);
}

void
group_on_lease_ended(struct group_table *table, uint64_t reservation_id)
{
	struct group_entry entry;
	struct member *member;
	bool was_held;

	if (!find_member(table, reservation_id, &entry, &member))
		return;
	was_held = member->state != MEMBER_RELEASING;
	table->ops.release(
	    table->ops.context, member->upstream_id, &member->amount);
	member->state = MEMBER_IDLE;
	member->reservation_id = 0;
	/* The upstream lost the reservation, or its lease expired, while the
	 * group still needed it. */
	if (was_held && !entry.group->is_ending) {
		end_group(table, entry.handle, ERROR_UPSTREAM_FAILED);
		return;
	}
	remove_if_released(table, entry.handle);
}

void
group_on_incarnation(
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
		for (at = 0; entry->group != NULL && !entry->group->is_ending &&
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
		    !entry->group->is_ending &&
		    now_ms >= entry->group->deadline_ms)
			end_group(table, entry->handle, ERROR_TIMEOUT);
	}
	g_array_free(entries, TRUE);
	advance_groups(table);
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

/* Splits a prompt over candidates that are sorted by free KV tokens, most
 * first; the first candidate gets the last segment. */
static void
split_prompt(struct group_plan *plan, const struct group_candidate *chosen,
    uint32_t count, uint64_t prompt_tokens, uint64_t answer_tokens)
{
	struct group_segment *segment;
	uint64_t free_tokens, tokens_left, segment_free, segment_tokens, first;
	uint32_t i;

	free_tokens = 0;
	for (i = 0; i < count; i++)
		free_tokens += chosen[i].free_kv_tokens;
	free_tokens -= answer_tokens;
	tokens_left = prompt_tokens;
	first = 0;
	plan->count = count;
	for (i = 0; i < count; i++) {
		segment = &plan->segments[i];
		segment->upstream_id = chosen[count - 1 - i].upstream_id;
		segment->incarnation = chosen[count - 1 - i].incarnation;
		segment_free = chosen[count - 1 - i].free_kv_tokens;
		if (i == count - 1)
			segment_free -= answer_tokens;
		/* In proportion to the free KV tokens, rounded up so that the
		 * rest fits into the last segment. */
		segment_tokens =
		    (uint64_t)((double)tokens_left * (double)segment_free /
			       (double)free_tokens) +
		    1;
		if (segment_tokens > segment_free)
			segment_tokens = segment_free;
		if (segment_tokens > tokens_left || i == count - 1)
			segment_tokens = tokens_left;
		segment->first_token = first;
		segment->prompt_tokens = segment_tokens;
		segment->kv_tokens =
		    segment_tokens + (i == count - 1 ? answer_tokens : 0);
		first += segment_tokens;
		tokens_left -= segment_tokens;
		free_tokens -= segment_free;
	}
}

static struct group *
find_group(const struct group_table *table, struct handle handle)
{
	return handle_table_get(&table->groups, handle);
}

/* Lists all groups, oldest first. The pointers to groups become invalid when a
 * group is added. */
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

	return first->group->arrival_number < second->group->arrival_number ? -1
									    : 1;
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
advance_groups(struct group_table *table)
{
	GArray *entries;
	guint i;

	/* Callbacks made while advancing may call this function again. */
	if (table->is_advancing)
		return;
	table->is_advancing = true;
	entries = list_groups(table);
	for (i = 0; i < entries->len; i++)
		advance_group(table,
		    g_array_index(entries, struct group_entry, i).handle);
	g_array_free(entries, TRUE);
	table->is_advancing = false;
}

static void
advance_group(struct group_table *table, struct handle handle)
{
	struct member *member;
	struct group *group;

	group = find_group(table, handle);
	if (group == NULL || group->is_ready || group->is_ending ||
	    timer_now(table->timers) < group->next_try_ms)
		return;
	member = find_next_member(group);
	if (member == NULL)
		return;
	if (member->state == MEMBER_IDLE) {
		if (older_group_waits(table, group, member->upstream_id))
			return;
		if (table->ops.acquire(table->ops.context, member->upstream_id,
			&member->amount) != ERROR_NONE) {
			table->ops.set_wanted(table->ops.context,
			    member->upstream_id, &member->amount);
			return;
		}
		member->state = MEMBER_ACQUIRED;
		clear_wanted(table, member->upstream_id);
	}
	if (member->state != MEMBER_ACQUIRED ||
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

/* Returns the first member that is not held, NULL if the group is ready or
 * ending. */
static struct member *
find_next_member(struct group *group)
{
	uint32_t i;

	if (group->is_ready || group->is_ending)
		return NULL;
	for (i = 0; i < group->count; i++) {
		if (group->members[i].state != MEMBER_HELD)
			return &group->members[i];
	}
	return NULL;
}

/* True if an older group of this host is waiting for the same upstream. */
static bool
older_group_waits(const struct group_table *table, const struct group *group,
    uint64_t upstream_id)
{
	struct handle handle = {0};
	const struct member *member;
	struct group *other;

	while (handle_table_next(&table->groups, &handle)) {
		other = find_group(table, handle);
		if (other->arrival_number >= group->arrival_number)
			continue;
		member = find_next_member(other);
		if (member != NULL && member->upstream_id == upstream_id)
			return true;
	}
	return false;
}

/* Releases a group that failed, before or after it was ready, and reports the
 * error. */
static void
end_group(
    struct group_table *table, struct handle handle, enum error_code error)
{
	struct member *waiting;
	struct group *group;
	uint64_t waited_id;

	group = find_group(table, handle);
	waiting = find_next_member(group);
	waited_id = waiting != NULL && waiting->state == MEMBER_IDLE
			? waiting->upstream_id
			: 0;
	release_members(table, group);
	if (waited_id != 0)
		clear_wanted(table, waited_id);
	remove_if_released(table, handle);
	table->ops.on_ended(table->ops.context, handle, error);
}

static void
release_members(struct group_table *table, struct group *group)
{
	enum member_state state;
	struct member *member;
	uint32_t i;

	group->is_ending = true;
	for (i = 0; i < group->count; i++) {
		member = &group->members[i];
		state = member->state;
		if (state == MEMBER_ACQUIRED) {
			member->state = MEMBER_IDLE;
			table->ops.release(table->ops.context,
			    member->upstream_id, &member->amount);
		}
		if (state != MEMBER_RESERVING && state != MEMBER_HELD)
			continue;
		member->state = MEMBER_RELEASING;
		kv_lease_release(table->leases, member->reservation_id);
	}
}

/* Removes an ending group once its last lease has ended; until then the handle
 * stays valid. */
static void
remove_if_released(struct group_table *table, struct handle handle)
{
	struct group *group;
	uint32_t i;

	group = find_group(table, handle);
	if (group == NULL || !group->is_ending)
		return;
	for (i = 0; i < group->count; i++) {
		if (group->members[i].state != MEMBER_IDLE)
			return;
	}
	(void)handle_table_remove(&table->groups, handle);
}

/* Clears the wanted capacity of an upstream. The next group that waits for the
 * upstream sets it again when it is next advanced. */
static void
clear_wanted(struct group_table *table, uint64_t upstream_id)
{
	const struct capacity_amount none = {0};

	table->ops.set_wanted(table->ops.context, upstream_id, &none);
}
