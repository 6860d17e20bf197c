#include "host/host_groups.h"

#include <stdio.h>
#include <string.h>

#include "host/host.h"

/* Longest wait for an upstream's answer. */
#define CONTROL_TIMEOUT_MS 5000
/* Interval at which engines are queried for the reservations they hold. */
#define HELD_CHECK_PERIOD_MS 2000
/* Added to the wait for a group, so that the group's own deadline ends it. */
#define START_SLACK_MS 200
/* Largest number of upstreams considered for one group. */
#define CANDIDATES_MAX 64

/* A call to an upstream, which a control worker thread makes. */
struct kv_job {
	struct upstream_target target;
	/* Reservation id, or the upstream's id in a query of what it holds. */
	uint64_t reservation;
	uint64_t tokens;
};

/* Result of a call that reserved or released KV memory. */
struct kv_answer {
	uint64_t reservation;
	enum error_code error;
};

/* Capacity that a group has acquired from a slot. */
struct acquired_capacity {
	uint64_t upstream_id;
	struct capacity_slot *slot;
	struct capacity_amount amount;
};

/* Reservations that an upstream reports as held. */
struct held_body {
	uint64_t upstream_id;
	struct held_reservation_list held;
};

/* Body of a call that reserves a group. */
struct start_body {
	struct request_facts facts;
	int64_t until_ms;
	struct host_group group;
};

static enum error_code acquire_capacity(
    void *context, uint64_t upstream_id, const struct capacity_amount *amount);
static void release_capacity(
    void *context, uint64_t upstream_id, const struct capacity_amount *amount);
static void set_wanted_capacity(
    void *context, uint64_t upstream_id, const struct capacity_amount *amount);
static void reserve_memory(void *context, uint64_t upstream_id,
    uint64_t incarnation, uint64_t reservation_id, uint64_t tokens);
static void release_memory(void *context, uint64_t upstream_id,
    uint64_t incarnation, uint64_t reservation_id);
static void on_lease_ended(void *context, uint64_t reservation_id);
static void on_group_ended(
    void *context, struct handle group, enum error_code error);
static void post_job(struct host *host,
    void (*run)(void *owner, void *arguments), uint64_t upstream_id,
    uint64_t incarnation, struct kv_job job);
static void run_reserve(void *owner, void *arguments);
static void run_release(void *owner, void *arguments);
static void post_answer(struct host *host, const struct mailbox_ops *ops,
    uint64_t reservation, enum error_code error);
static void on_reserved(void *coordinator, struct mailbox_call *call);
static void on_released(void *coordinator, struct mailbox_call *call);
static void check_held_memory(void *context);
static void post_held_query(
    void *visitor, const struct upstream_record *record);
static void run_held_query(void *owner, void *arguments);
static void on_held_answer(void *coordinator, struct mailbox_call *call);
static void run_start(void *coordinator, struct mailbox_call *call);
static void run_end(void *coordinator, struct mailbox_call *call);
static enum error_code make_plan(struct host *host,
    const struct request_facts *facts, struct host_group *group);
static enum error_code plan_in_view(const struct fleet_view *view,
    const struct request_facts *facts, bool is_free_now,
    struct group_plan *plan);
static uint32_t list_candidates(const struct fleet_view *view,
    const struct request_facts *facts, const char *data_centre,
    bool is_free_now, struct group_candidate *candidates);
static void fill_targets(struct host *host, struct host_group *group);
static gint64 *copy_key(uint64_t key);
static uint64_t handle_key(struct handle handle);

static const struct mailbox_ops reserved_ops = {.run = on_reserved};
static const struct mailbox_ops released_ops = {.run = on_released};
static const struct mailbox_ops held_ops = {.run = on_held_answer};
static const struct mailbox_ops start_ops = {.run = run_start};
static const struct mailbox_ops end_ops = {.run = run_end};

enum error_code
host_groups_init(struct host *host)
{
	struct host_groups *groups = &host->groups;
	struct kv_lease_settings leases;
	struct group_settings settings;
	struct kv_lease_ops lease_ops = {release_memory, on_lease_ended, host};
	struct group_ops ops = {
	    .acquire = acquire_capacity,
	    .release = release_capacity,
	    .set_wanted = set_wanted_capacity,
	    .reserve = reserve_memory,
	    .on_ended = on_group_ended,
	    .context = host,
	};
	enum error_code error;

	groups->waiting_calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	groups->acquired =
	    g_array_new(FALSE, TRUE, sizeof(struct acquired_capacity));
	groups->demands =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	leases = kv_lease_default_settings(
	    host->settings.host_id, (uint32_t)random_uint64(&host->random));
	error =
	    kv_lease_init(&groups->leases, &leases, &lease_ops, &host->timers,
		capacity_exchange_port(&host->capacity), &host->capacity.map);
	if (error != ERROR_NONE)
		return error;
	capacity_exchange_attach_kv(&host->capacity, &groups->leases);
	if (!host->settings.has_foreign_upstreams)
		timer_subscribe_every(&host->timers, HELD_CHECK_PERIOD_MS,
		    (struct timer_callback){check_held_memory, host}, NULL);
	settings = group_default_settings();
	return group_table_init(
	    &groups->groups, &settings, &ops, &host->timers, &groups->leases);
}

void
host_groups_finish(struct host *host)
{
	struct host_groups *groups = &host->groups;

	capacity_exchange_attach_kv(&host->capacity, NULL);
	group_table_finish(&groups->groups);
	kv_lease_finish(&groups->leases);
	g_hash_table_destroy(groups->waiting_calls);
	g_hash_table_destroy(groups->demands);
	g_array_free(groups->acquired, TRUE);
}

void
host_groups_on_granted(struct host *host)
{
	group_on_granted(&host->groups.groups);
}

void
host_groups_on_incarnation(
    struct host *host, uint64_t upstream_id, uint64_t incarnation)
{
	kv_lease_set_incarnation(
	    &host->groups.leases, upstream_id, incarnation);
	group_on_incarnation(&host->groups.groups, upstream_id, incarnation);
}

void
host_groups_for_each_demand(
    struct host *host, void (*visit)(struct host *host, uint64_t upstream_id,
			   const struct capacity_amount *amount))
{
	GHashTableIter iterator;
	gpointer key, value;

	g_hash_table_iter_init(&iterator, host->groups.demands);
	while (g_hash_table_iter_next(&iterator, &key, &value))
		visit(host, *(uint64_t *)key, value);
}

enum error_code
host_group_start(struct host *host, const struct request_facts *facts,
    int64_t until_ms, struct host_group *group)
{
	struct mailbox_call *call;
	struct start_body *body;
	enum error_code error;

	call = mailbox_call_new(&start_ops, sizeof(*body));
	body = mailbox_call_body(call);
	body->facts = *facts;
	body->until_ms = until_ms;
	error = mailbox_await(
	    &host->mailbox, call, until_ms - host_now_ms() + START_SLACK_MS);
	if (error == ERROR_NONE)
		*group = body->group;
	mailbox_call_unref(call);
	return error;
}

void
host_group_end(struct host *host, const struct host_group *group)
{
	struct mailbox_call *call;

	call = mailbox_call_new(&end_ops, sizeof(group->handle));
	memcpy(mailbox_call_body(call), &group->handle, sizeof(group->handle));
	mailbox_post(&host->mailbox, call);
}

static enum error_code
acquire_capacity(
    void *context, uint64_t upstream_id, const struct capacity_amount *amount)
{
	struct acquired_capacity acquired = {0};
	struct capacity_slot *slot;
	enum error_code error;
	struct host *host = context;

	if (!host_may_start(host))
		return ERROR_LEASE_EXPIRED;
	slot = grant_holder_slot(&host->capacity.holder, upstream_id);
	if (slot == NULL)
		return ERROR_NO_UPSTREAM;
	error = capacity_slot_acquire(slot, amount, host_now_ms());
	if (error != ERROR_NONE)
		return error;
	acquired.upstream_id = upstream_id;
	acquired.slot = slot;
	acquired.amount = *amount;
	g_array_append_val(host->groups.acquired, acquired);
	return ERROR_NONE;
}

/* Releases capacity to the slot that it was acquired from, since the upstream
 * may have another slot by now. */
static void
release_capacity(
    void *context, uint64_t upstream_id, const struct capacity_amount *amount)
{
	const struct acquired_capacity *acquired;
	struct host *host = context;
	guint i;

	for (i = 0; i < host->groups.acquired->len; i++) {
		acquired = &g_array_index(
		    host->groups.acquired, struct acquired_capacity, i);
		if (acquired->upstream_id != upstream_id ||
		    acquired->amount.prefill_tokens != amount->prefill_tokens ||
		    acquired->amount.kv_tokens != amount->kv_tokens)
			continue;
		capacity_slot_release(acquired->slot, amount);
		g_array_remove_index_fast(host->groups.acquired, i);
		return;
	}
}

static void
set_wanted_capacity(
    void *context, uint64_t upstream_id, const struct capacity_amount *amount)
{
	struct host *host = context;

	if (amount->requests == 0)
		g_hash_table_remove(host->groups.demands, &upstream_id);
	else
		g_hash_table_replace(host->groups.demands,
		    copy_key(upstream_id), g_memdup2(amount, sizeof(*amount)));
}

static void
reserve_memory(void *context, uint64_t upstream_id, uint64_t incarnation,
    uint64_t reservation_id, uint64_t tokens)
{
	struct kv_job job = {.reservation = reservation_id, .tokens = tokens};

	post_job(context, run_reserve, upstream_id, incarnation, job);
}

static void
release_memory(void *context, uint64_t upstream_id, uint64_t incarnation,
    uint64_t reservation_id)
{
	struct kv_job job = {.reservation = reservation_id};

	post_job(context, run_release, upstream_id, incarnation, job);
}

static void
on_lease_ended(void *context, uint64_t reservation_id)
{
	struct host *host = context;

	group_on_lease_ended(&host->groups.groups, reservation_id);
}

/* Completes the call that waits for the group, with its reservation ids. */
static void
on_group_ended(void *context, struct handle group, enum error_code error)
{
	struct host *host = context;
	struct mailbox_call *call;
	struct start_body *body;
	uint64_t key;
	uint32_t i;

	key = handle_key(group);
	call = g_hash_table_lookup(host->groups.waiting_calls, &key);
	if (call == NULL)
		return;
	g_hash_table_remove(host->groups.waiting_calls, &key);
	body = mailbox_call_body(call);
	for (i = 0; error == ERROR_NONE && i < body->group.plan.count; i++)
		body->group.reservations[i] =
		    group_reservation_id(&host->groups.groups, group, i);
	mailbox_complete(&host->mailbox, call, error);
	mailbox_call_unref(call);
}

/* Has a control worker thread make a call to an upstream, if it is known. */
static void
post_job(struct host *host, void (*run)(void *owner, void *arguments),
    uint64_t upstream_id, uint64_t incarnation, struct kv_job job)
{
	const struct upstream_record *record;

	record = upstream_directory_find(&host->directory, upstream_id);
	if (record == NULL)
		return;
	snprintf(job.target.url, sizeof(job.target.url), "%s", record->url);
	job.target.incarnation = incarnation;
	control_worker_post(&host->control, run, &job, sizeof(job));
}

static void
run_reserve(void *owner, void *arguments)
{
	struct kv_job *job = arguments;
	struct host *host = owner;
	enum error_code error;

	error = upstream_http_adapter.kv_reserve(&host->upstreams_http,
	    &job->target, job->reservation, job->tokens,
	    host_now_ms() + CONTROL_TIMEOUT_MS);
	post_answer(host, &reserved_ops, job->reservation, error);
}

static void
run_release(void *owner, void *arguments)
{
	struct kv_job *job = arguments;
	struct host *host = owner;
	enum error_code error;

	error = upstream_http_adapter.kv_release(&host->upstreams_http,
	    &job->target, job->reservation, host_now_ms() + CONTROL_TIMEOUT_MS);
	/* ERROR_STALE means that the upstream has restarted, so it no longer
	 * holds the reservation. */
	if (error == ERROR_NONE || error == ERROR_STALE)
		post_answer(host, &released_ops, job->reservation, error);
}

static void
post_answer(struct host *host, const struct mailbox_ops *ops,
    uint64_t reservation, enum error_code error)
{
	struct mailbox_call *call;
	struct kv_answer *answer;

	call = mailbox_call_new(ops, sizeof(*answer));
	answer = mailbox_call_body(call);
	answer->reservation = reservation;
	answer->error = error;
	mailbox_post(&host->mailbox, call);
}

static void
on_reserved(void *coordinator, struct mailbox_call *call)
{
	struct kv_answer *answer = mailbox_call_body(call);
	struct host *host = coordinator;

	group_on_reserved(
	    &host->groups.groups, answer->reservation, answer->error);
}

static void
on_released(void *coordinator, struct mailbox_call *call)
{
	struct kv_answer *answer = mailbox_call_body(call);
	struct host *host = coordinator;

	/* The adapter can't distinguish "released" from "not held". "Not held"
	 * is passed, which ends the lease only if no reservation call can reach
	 * the upstream any more. */
	kv_lease_record_released(
	    &host->groups.leases, answer->reservation, false);
}

/* Queries the engines that this host owns for the reservations they hold. As
 * each engine has one capacity owner, only one host queries it. */
static void
check_held_memory(void *context)
{
	struct host *host = context;

	upstream_directory_for_each(&host->directory, post_held_query, host);
}

static void
post_held_query(void *visitor, const struct upstream_record *record)
{
	struct kv_job job = {.reservation = record->id};
	struct host *host = visitor;

	if (record->kind == UPSTREAM_KIND_MODEL &&
	    owner_map_owner(&host->capacity.map, record->id) ==
		host->settings.host_id)
		post_job(
		    host, run_held_query, record->id, record->incarnation, job);
}

static void
run_held_query(void *owner, void *arguments)
{
	struct kv_job *job = arguments;
	struct mailbox_call *call;
	struct held_body *body;
	struct host *host = owner;

	call = mailbox_call_new(&held_ops, sizeof(*body));
	body = mailbox_call_body(call);
	body->upstream_id = job->reservation;
	if (upstream_http_adapter.kv_held(&host->upstreams_http, &job->target,
		host_now_ms() + CONTROL_TIMEOUT_MS, &body->held) == ERROR_NONE)
		mailbox_post(&host->mailbox, call);
	else
		mailbox_call_unref(call);
}

static void
on_held_answer(void *coordinator, struct mailbox_call *call)
{
	struct held_body *body = mailbox_call_body(call);
	uint64_t ids[HELD_RESERVATIONS_MAX];
	struct host *host = coordinator;
	uint32_t i;

	for (i = 0; i < body->held.count && i < HELD_RESERVATIONS_MAX; i++)
		ids[i] = body->held.items[i].reservation;
	kv_lease_check_held(&host->groups.leases, body->upstream_id,
	    body->held.incarnation, ids, i);
}

static void
run_start(void *coordinator, struct mailbox_call *call)
{
	struct start_body *body = mailbox_call_body(call);
	struct host *host = coordinator;
	enum error_code error;

	error = make_plan(host, &body->facts, &body->group);
	if (error == ERROR_NONE)
		error = group_start(&host->groups.groups, &body->group.plan,
		    body->until_ms, &body->group.handle);
	if (error != ERROR_NONE) {
		mailbox_complete(&host->mailbox, call, error);
		return;
	}
	g_hash_table_replace(host->groups.waiting_calls,
	    copy_key(handle_key(body->group.handle)), mailbox_call_ref(call));
}

static void
run_end(void *coordinator, struct mailbox_call *call)
{
	struct handle *handle = mailbox_call_body(call);
	struct host *host = coordinator;

	group_release(&host->groups.groups, *handle);
	mailbox_complete(&host->mailbox, call, ERROR_NONE);
}

/* Plans a group on upstreams whose load reports show enough free memory. If
 * there are none, plans as if all memory were free, since reports are late; the
 * group then waits for capacity. */
static enum error_code
make_plan(struct host *host, const struct request_facts *facts,
    struct host_group *group)
{
	const struct fleet_view *view;
	enum error_code error;

	view = fleet_lock(&host->fleet);
	error = plan_in_view(view, facts, true, &group->plan);
	if (error != ERROR_NONE)
		error = plan_in_view(view, facts, false, &group->plan);
	fleet_unlock(view);
	if (error == ERROR_NONE)
		fill_targets(host, group);
	return error;
}

/* Plans a group within one data centre, since its engines copy KV memory from
 * each other. Tries the data centres in the order of the view. */
static enum error_code
plan_in_view(const struct fleet_view *view, const struct request_facts *facts,
    bool is_free_now, struct group_plan *plan)
{
	struct group_candidate candidates[CANDIDATES_MAX];
	const struct fleet_group *centre_group;
	enum error_code error;
	uint32_t i, count;

	error = ERROR_NO_UPSTREAM;
	i = fleet_view_first_group(view, UPSTREAM_KIND_MODEL, facts->model);
	for (; error != ERROR_NONE && i < view->group_count; i++) {
		centre_group = &view->groups[i];
		if (strcmp(centre_group->model, facts->model) != 0)
			break;
		count = list_candidates(view, facts, centre_group->data_centre,
		    is_free_now, candidates);
		error = group_plan_make(plan, candidates, count,
		    facts->prompt_tokens, facts->answer_tokens_max);
	}
	return error;
}

/* Lists the upstreams of a data centre that may serve the request. is_free_now
 * deducts the memory that their load reports show as used. */
static uint32_t
list_candidates(const struct fleet_view *view,
    const struct request_facts *facts, const char *data_centre,
    bool is_free_now, struct group_candidate *candidates)
{
	const struct intent_account *account;
	const struct fleet_entry *entry;
	uint64_t used;
	uint32_t i, count;

	account = intent_account_by_name(view->intent, facts->client_account);
	count = 0;
	for (i = 0; i < view->entry_count && count < CANDIDATES_MAX; i++) {
		entry = &view->entries[i];
		if (account == NULL || !entry->is_in_subset ||
		    entry->is_taken_out || entry->slot == NULL ||
		    strcmp(entry->upstream->record.data_centre, data_centre) !=
			0 ||
		    !upstream_serves(&entry->upstream->record, facts->model) ||
		    !intent_policies_admit(
			view->intent, account, entry->policies))
			continue;
		used = is_free_now
			   ? atomic_load(&entry->upstream->load.kv_tokens)
			   : 0;
		candidates[count].upstream_id = entry->id;
		candidates[count].incarnation =
		    entry->upstream->record.incarnation;
		candidates[count].free_kv_tokens =
		    entry->upstream->record.limits.kv_tokens > used
			? entry->upstream->record.limits.kv_tokens - used
			: 0;
		count++;
	}
	return count;
}

static void
fill_targets(struct host *host, struct host_group *group)
{
	const struct upstream_record *record;
	uint32_t i;

	for (i = 0; i < group->plan.count; i++) {
		record = upstream_directory_find(
		    &host->directory, group->plan.segments[i].upstream_id);
		if (record == NULL)
			continue;
		snprintf(group->targets[i].url, sizeof(group->targets[i].url),
		    "%s", record->url);
		group->targets[i].incarnation =
		    group->plan.segments[i].incarnation;
	}
}

static gint64 *
copy_key(uint64_t key)
{
	return g_memdup2(&key, sizeof(key));
}

/* Packs a handle into a key of a hash table. */
static uint64_t
handle_key(struct handle handle)
{
	return (uint64_t)handle.generation << 32 | handle.index;
}
