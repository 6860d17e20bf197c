/**
 * @file fleet_view.c
 * Builds, publishes and reads fleet views.
 */
#include "coordination/fleet_view.h"

#include <stdlib.h>
#include <string.h>

#include <urcu-bp.h>
#include <xxhash.h>

#include "base/rcu_annotation.h"
#include "coordination/rendezvous.h"

#define GROUP_KEY_SEPARATOR '\n' /* Occurs in no name. */

/** A compiled intent, shared by the fleet and its views. */
struct fleet_intent {
	struct intent intent;
	_Atomic uint32_t references;
};

/** A view and the intent that it refers to. The view must be the first member,
 * since retire_view() casts back from it. */
struct fleet_view_memory {
	struct fleet_view view;
	struct fleet_intent *intent;
};

/** An upstream of a group and its hash weight for ranking. */
struct ranked_member {
	uint32_t entry;
	uint64_t weight;
};

/** A group under construction, while its upstreams are collected. */
struct group_draft {
	struct fleet_group group;
	GArray *members; /* Elements are struct ranked_member. */
};

static enum error_code create_view(
    struct fleet *fleet, struct fleet_view_memory **memory);
static void fill_entries(struct fleet *fleet, struct fleet_view *view);
static enum fleet_distance find_distance(
    const struct fleet *fleet, const char *data_centre);
static GHashTable *collect_groups(struct fleet *fleet, struct fleet_view *view);
static void add_to_draft(struct fleet *fleet, struct fleet_view *view,
    GHashTable *drafts, uint32_t entry, const char *model);
static void finish_groups(
    struct fleet *fleet, struct fleet_view *view, GHashTable *drafts);
static void finish_group(struct fleet *fleet, struct fleet_view *view,
    struct group_draft *draft, struct fleet_group *group);
static void set_slots(struct fleet *fleet, struct fleet_view *view);
static void replace_upstream(
    struct fleet_upstream *upstream, struct fleet_upstream *old);
static void retire_view(struct fleet_view *view);
static void free_draft(void *draft);
static void release_upstream(void *upstream);
static void release_intent(struct fleet_intent *intent);
static int compare_entries(const void *left, const void *right);
static int compare_groups(const void *left, const void *right);
static int compare_weights(const void *left, const void *right);
static int compare_with_model(const struct fleet_group *group,
    enum upstream_kind kind, const char *model);
static void visit_nothing(void *context, const char *prefix,
    void (*visit)(void *visitor, const struct config_entry *entry),
    void *visitor);

enum error_code
fleet_init(struct fleet *fleet, const struct fleet_settings *settings,
    const struct fleet_ops *ops)
{
	struct config_source empty_source = {visit_nothing, NULL};
	enum error_code error;

	memset(fleet, 0, sizeof(*fleet));
	fleet->settings = *settings;
	if (fleet->settings.subset_size == 0)
		fleet->settings.subset_size = FLEET_SUBSET_DEFAULT;
	fleet->ops = *ops;
	fleet->upstreams = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, release_upstream);
	error = fleet_set_intent(fleet, &empty_source);
	if (error == ERROR_NONE)
		error = fleet_publish(fleet);
	if (error != ERROR_NONE)
		fleet_finish(fleet);
	return error;
}

void
fleet_finish(struct fleet *fleet)
{
	if (fleet->upstreams == NULL)
		return;
	retire_view(atomic_exchange(&fleet->view, NULL));
	g_hash_table_destroy(fleet->upstreams);
	if (fleet->intent != NULL)
		release_intent((struct fleet_intent *)fleet->intent);
	memset(fleet, 0, sizeof(*fleet));
}

enum error_code
fleet_put_upstream(struct fleet *fleet, const struct upstream_record *record)
{
	struct fleet_upstream *upstream, *old;

	old = g_hash_table_lookup(fleet->upstreams, &record->id);
	if (old == NULL && g_hash_table_size(fleet->upstreams) >= UPSTREAMS_MAX)
		return ERROR_TABLE_FULL;
	if (old != NULL && record->incarnation < old->record.incarnation)
		return ERROR_STALE;
	if (old != NULL && record->incarnation == old->record.incarnation &&
	    (record->sequence < old->record.sequence ||
		(record->sequence == old->record.sequence &&
		    record->state <= old->record.state)))
		return ERROR_STALE;
	upstream = calloc(1, sizeof(*upstream));
	if (upstream == NULL)
		return ERROR_NO_MEMORY;
	upstream->record = *record;
	atomic_store(&upstream->references, 1);
	if (old != NULL && old->record.incarnation == record->incarnation)
		replace_upstream(upstream, old);
	else if (old != NULL && old->slot != NULL)
		fleet->ops.drop_slot(fleet->ops.context, record->id);
	g_hash_table_replace(fleet->upstreams, &upstream->record.id, upstream);
	fleet->is_changed = true;
	return ERROR_NONE;
}

void
fleet_remove_upstream(struct fleet *fleet, uint64_t id)
{
	struct fleet_upstream *upstream;

	upstream = g_hash_table_lookup(fleet->upstreams, &id);
	if (upstream == NULL)
		return;
	if (upstream->slot != NULL)
		fleet->ops.drop_slot(fleet->ops.context, id);
	g_hash_table_remove(fleet->upstreams, &id);
	fleet->is_changed = true;
}

enum error_code
fleet_set_load(
    struct fleet *fleet, const struct upstream_load *load, int64_t now_ms)
{
	struct fleet_upstream *upstream;
	struct capacity_amount own = {0};

	upstream = g_hash_table_lookup(fleet->upstreams, &load->id);
	if (upstream == NULL)
		return ERROR_NOT_FOUND;
	if (load->incarnation != upstream->record.incarnation ||
	    (load->sequence <= atomic_load(&upstream->load.sequence) &&
		atomic_load(&upstream->load.measured_ms) != 0))
		return ERROR_STALE;
	if (upstream->slot != NULL)
		own = capacity_slot_used(upstream->slot);
	atomic_store(&upstream->load.sequence, load->sequence);
	atomic_store(&upstream->load.requests,
	    load->running_requests + load->queued_requests);
	atomic_store(
	    &upstream->load.prefill_tokens, load->queued_prefill_tokens);
	atomic_store(&upstream->load.kv_tokens, load->kv_tokens_used);
	atomic_store(&upstream->load.own_requests, own.requests);
	atomic_store(&upstream->load.own_prefill_tokens, own.prefill_tokens);
	atomic_store(&upstream->load.own_kv_tokens, own.kv_tokens);
	/* 0 stands for "no report", so a report measured at 0 gets -1. */
	atomic_store(&upstream->load.measured_ms,
	    now_ms - load->age_ms == 0 ? -1 : now_ms - load->age_ms);
	return ERROR_NONE;
}

void
fleet_set_warm(struct fleet *fleet, uint64_t id, bool is_warm)
{
	struct fleet_upstream *upstream;

	upstream = g_hash_table_lookup(fleet->upstreams, &id);
	if (upstream != NULL)
		atomic_store(&upstream->is_warm, is_warm);
}

enum error_code
fleet_set_intent(struct fleet *fleet, const struct config_source *source)
{
	struct fleet_intent *intent;
	enum error_code error;

	intent = calloc(1, sizeof(*intent));
	if (intent == NULL)
		return ERROR_NO_MEMORY;
	error = intent_compile(&intent->intent, source);
	if (error != ERROR_NONE) {
		free(intent);
		return error;
	}
	atomic_store(&intent->references, 1);
	if (fleet->intent != NULL)
		release_intent((struct fleet_intent *)fleet->intent);
	fleet->intent = &intent->intent;
	fleet->is_changed = true;
	return ERROR_NONE;
}

void
fleet_set_new_work_until(struct fleet *fleet, int64_t until_ms)
{
	atomic_store(&fleet->new_work_until_ms, until_ms);
}

enum error_code
fleet_publish(struct fleet *fleet)
{
	struct fleet_view_memory *memory;
	enum error_code error;

	if (!fleet->is_changed)
		return ERROR_NONE;
	error = create_view(fleet, &memory);
	if (error != ERROR_NONE)
		return error;
	fleet->is_changed = false;
	retire_view(atomic_exchange(&fleet->view, &memory->view));
	return ERROR_NONE;
}

const struct fleet_view *
fleet_lock(const struct fleet *fleet)
{
	rcu_read_lock();
	return atomic_load_explicit(&fleet->view, memory_order_acquire);
}

void
fleet_unlock(const struct fleet_view *view)
{
	RCU_READER_RELEASE(view);
	rcu_read_unlock();
}

bool
fleet_may_start_work(const struct fleet *fleet, int64_t now_ms)
{
	return now_ms < atomic_load(&fleet->new_work_until_ms);
}

const struct fleet_entry *
fleet_view_find(const struct fleet_view *view, uint64_t id)
{
	uint32_t low, high, middle;
	uint64_t middle_id;

	low = 0;
	high = view->entry_count;
	while (low < high) {
		middle = low + (high - low) / 2;
		middle_id = view->entries[middle].id;
		if (middle_id == id)
			return &view->entries[middle];
		if (middle_id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

uint32_t
fleet_view_first_group(
    const struct fleet_view *view, enum upstream_kind kind, const char *model)
{
	uint32_t low, high, middle;

	low = 0;
	high = view->group_count;
	while (low < high) {
		middle = low + (high - low) / 2;
		if (compare_with_model(&view->groups[middle], kind, model) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	if (low < view->group_count &&
	    compare_with_model(&view->groups[low], kind, model) == 0)
		return low;
	return view->group_count;
}

enum error_code
fleet_work_begin(struct fleet_work *work, const struct fleet_entry *entry,
    const struct capacity_amount *amount, uint64_t long_tokens, int64_t now_ms)
{
	struct fleet_upstream *upstream = entry->upstream;
	enum error_code error;

	memset(work, 0, sizeof(*work));
	if (entry->slot == NULL)
		return ERROR_NO_CAPACITY;
	error = capacity_slot_acquire(entry->slot, amount, now_ms);
	if (error != ERROR_NONE)
		return error;
	atomic_fetch_add(&upstream->references, 1);
	atomic_fetch_add(&upstream->long_prefill_tokens, long_tokens);
	work->upstream = upstream;
	work->slot = entry->slot;
	work->amount = *amount;
	work->long_prompt_tokens = long_tokens;
	return ERROR_NONE;
}

void
fleet_work_on_first_token(struct fleet_work *work)
{
	struct capacity_amount prefill = {0};

	if (work->upstream == NULL)
		return;
	prefill.prefill_tokens = work->amount.prefill_tokens;
	capacity_slot_release(work->slot, &prefill);
	atomic_fetch_sub(
	    &work->upstream->long_prefill_tokens, work->long_prompt_tokens);
	work->amount.prefill_tokens = 0;
	work->long_prompt_tokens = 0;
}

void
fleet_work_end(struct fleet_work *work)
{
	if (work->upstream == NULL)
		return;
	fleet_work_on_first_token(work);
	capacity_slot_release(work->slot, &work->amount);
	release_upstream(work->upstream);
	memset(work, 0, sizeof(*work));
}

void
fleet_upstream_eject(struct fleet_upstream *upstream, int64_t until_ms)
{
	atomic_store(&upstream->ejected_until_ms, until_ms);
}

static enum error_code
create_view(struct fleet *fleet, struct fleet_view_memory **memory)
{
	struct fleet_intent *intent = (struct fleet_intent *)fleet->intent;
	struct fleet_view_memory *created;
	struct fleet_view *view;
	GHashTable *drafts;
	uint32_t count;

	count = g_hash_table_size(fleet->upstreams);
	created = calloc(1, sizeof(*created));
	if (created == NULL)
		return ERROR_NO_MEMORY;
	view = &created->view;
	view->entries = calloc(count + 1, sizeof(*view->entries));
	view->policies = calloc((size_t)count * intent->intent.policy_words + 1,
	    sizeof(*view->policies));
	if (view->entries == NULL || view->policies == NULL)
		goto free_created;
	atomic_fetch_add(&intent->references, 1);
	created->intent = intent;
	view->intent = &intent->intent;
	view->version = ++fleet->version;
	fill_entries(fleet, view);
	drafts = collect_groups(fleet, view);
	finish_groups(fleet, view, drafts);
	g_hash_table_destroy(drafts);
	set_slots(fleet, view);
	*memory = created;
	return ERROR_NONE;

free_created:
	free(view->entries);
	free(view->policies);
	free(created);
	return ERROR_NO_MEMORY;
}

static void
fill_entries(struct fleet *fleet, struct fleet_view *view)
{
	struct fleet_upstream *upstream;
	struct fleet_entry *entry;
	GHashTableIter iterator;
	gpointer value;
	uint64_t *words;
	uint32_t i;

	g_hash_table_iter_init(&iterator, fleet->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		upstream = value;
		entry = &view->entries[view->entry_count++];
		atomic_fetch_add(&upstream->references, 1);
		entry->id = upstream->record.id;
		entry->upstream = upstream;
		entry->distance =
		    find_distance(fleet, upstream->record.data_centre);
		entry->is_taken_out =
		    intent_is_taken_out(view->intent, &upstream->record, NULL);
	}
	qsort(view->entries, view->entry_count, sizeof(*view->entries),
	    compare_entries);
	for (i = 0; i < view->entry_count; i++) {
		words = view->policies + (size_t)i * view->intent->policy_words;
		intent_collect_policies(
		    view->intent, &view->entries[i].upstream->record, words);
		view->entries[i].policies = words;
	}
}

static enum fleet_distance
find_distance(const struct fleet *fleet, const char *data_centre)
{
	const char *own, *other;

	if (strcmp(fleet->settings.data_centre, data_centre) == 0)
		return FLEET_SAME_DATA_CENTRE;
	own = intent_data_centre_label(
	    fleet->intent, fleet->settings.data_centre, "region");
	other = intent_data_centre_label(fleet->intent, data_centre, "region");
	/* Two data centres without the label, or with the same one, share a
	 * region. */
	if (own == other)
		return FLEET_SAME_REGION;
	if (own == NULL || other == NULL || strcmp(own, other) != 0)
		return FLEET_OTHER_REGION;
	return FLEET_SAME_REGION;
}

static GHashTable *
collect_groups(struct fleet *fleet, struct fleet_view *view)
{
	const struct upstream_record *record;
	GHashTable *drafts;
	uint32_t i, j;

	drafts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_draft);
	for (i = 0; i < view->entry_count; i++) {
		record = &view->entries[i].upstream->record;
		if (view->entries[i].is_taken_out ||
		    record->state != UPSTREAM_STATE_ACTIVE)
			continue;
		for (j = 0; j < record->model_count; j++)
			add_to_draft(fleet, view, drafts, i, record->models[j]);
	}
	return drafts;
}

static void
add_to_draft(struct fleet *fleet, struct fleet_view *view, GHashTable *drafts,
    uint32_t entry, const char *model)
{
	const struct fleet_entry *item = &view->entries[entry];
	const struct upstream_record *record = &item->upstream->record;
	struct ranked_member member;
	struct group_draft *draft;
	char *key;

	key = g_strdup_printf("%d%c%s%c%s%c%016llx", (int)record->kind,
	    GROUP_KEY_SEPARATOR, model, GROUP_KEY_SEPARATOR,
	    record->data_centre, GROUP_KEY_SEPARATOR,
	    (unsigned long long)XXH64(item->policies,
		view->intent->policy_words * sizeof(*item->policies), 0));
	draft = g_hash_table_lookup(drafts, key);
	if (draft == NULL) {
		draft = g_new0(struct group_draft, 1);
		draft->members =
		    g_array_new(FALSE, FALSE, sizeof(struct ranked_member));
		g_strlcpy(draft->group.model, model, NAME_SIZE_MAX);
		g_strlcpy(draft->group.data_centre, record->data_centre,
		    NAME_SIZE_MAX);
		draft->group.kind = record->kind;
		draft->group.distance = item->distance;
		draft->group.policies = item->policies;
		g_hash_table_insert(drafts, key, draft);
	} else
		g_free(key);
	member.entry = entry;
	member.weight = rendezvous_weight(item->id, fleet->settings.host_id);
	g_array_append_val(draft->members, member);
}

static void
finish_groups(struct fleet *fleet, struct fleet_view *view, GHashTable *drafts)
{
	GHashTableIter iterator;
	gpointer draft;

	view->groups =
	    g_new0(struct fleet_group, g_hash_table_size(drafts) + 1);
	g_hash_table_iter_init(&iterator, drafts);
	while (g_hash_table_iter_next(&iterator, NULL, &draft))
		finish_group(
		    fleet, view, draft, &view->groups[view->group_count++]);
	qsort(view->groups, view->group_count, sizeof(*view->groups),
	    compare_groups);
}

static void
finish_group(struct fleet *fleet, struct fleet_view *view,
    struct group_draft *draft, struct fleet_group *group)
{
	struct ranked_member *members;
	uint32_t i, bound;
	uint64_t seed;

	*group = draft->group;
	group->upstream_count = draft->members->len;
	members = (struct ranked_member *)(void *)draft->members->data;
	qsort(
	    members, group->upstream_count, sizeof(*members), compare_weights);
	bound = fleet->settings.subset_size >> group->distance;
	if (bound == 0)
		bound = 1;
	group->subset_count =
	    group->upstream_count < bound ? group->upstream_count : bound;
	group->subset = g_new0(uint32_t, group->subset_count);
	group->long_prompt_ranks = g_new0(uint32_t, group->subset_count);
	for (i = 0; i < group->subset_count; i++) {
		group->subset[i] = members[i].entry;
		view->entries[members[i].entry].is_in_subset = true;
	}
	/* This hash does not depend on the host, so all hosts agree on which
	 * upstreams take long prompts. */
	seed = XXH64(group->model, strlen(group->model), 0);
	for (i = 0; i < group->subset_count; i++) {
		members[i].weight = XXH64(&view->entries[members[i].entry].id,
		    sizeof(view->entries[members[i].entry].id), seed);
		members[i].entry = i;
	}
	qsort(members, group->subset_count, sizeof(*members), compare_weights);
	for (i = 0; i < group->subset_count; i++)
		group->long_prompt_ranks[members[i].entry] = i;
}

/* Opens slots for upstreams that came into a subset and drops the slots of
 * those that left it. */
static void
set_slots(struct fleet *fleet, struct fleet_view *view)
{
	struct fleet_upstream *upstream;
	struct fleet_entry *entry;
	uint32_t i;

	for (i = 0; i < view->entry_count; i++) {
		entry = &view->entries[i];
		upstream = entry->upstream;
		if (entry->is_in_subset && upstream->slot == NULL)
			upstream->slot =
			    fleet->ops.open_slot(fleet->ops.context, entry->id,
				upstream->record.incarnation);
		if (!entry->is_in_subset && upstream->slot != NULL) {
			fleet->ops.drop_slot(fleet->ops.context, entry->id);
			upstream->slot = NULL;
		}
		entry->slot = upstream->slot;
	}
}

/* Copies slot, load, ejection and warmth to the changed record of the same
 * incarnation. */
static void
replace_upstream(struct fleet_upstream *upstream, struct fleet_upstream *old)
{
	upstream->slot = old->slot;
	atomic_store(&upstream->load.measured_ms, old->load.measured_ms);
	atomic_store(&upstream->load.sequence, old->load.sequence);
	atomic_store(&upstream->load.requests, old->load.requests);
	atomic_store(&upstream->load.prefill_tokens, old->load.prefill_tokens);
	atomic_store(&upstream->load.kv_tokens, old->load.kv_tokens);
	atomic_store(&upstream->load.own_requests, old->load.own_requests);
	atomic_store(
	    &upstream->load.own_prefill_tokens, old->load.own_prefill_tokens);
	atomic_store(&upstream->load.own_kv_tokens, old->load.own_kv_tokens);
	atomic_store(&upstream->ejected_until_ms, old->ejected_until_ms);
	atomic_store(&upstream->is_warm, old->is_warm);
}

/* Frees a view after its readers are done. Read sections last microseconds, so
 * waiting here is cheaper than a separate thread for it. */
static void
retire_view(struct fleet_view *view)
{
	struct fleet_view_memory *memory = (struct fleet_view_memory *)view;
	uint32_t i;

	if (view == NULL)
		return;
	synchronize_rcu();
	RCU_WRITER_ACQUIRE(view);
	for (i = 0; i < view->entry_count; i++)
		release_upstream(view->entries[i].upstream);
	for (i = 0; i < view->group_count; i++) {
		g_free(view->groups[i].subset);
		g_free(view->groups[i].long_prompt_ranks);
	}
	g_free(view->groups);
	free(view->entries);
	free(view->policies);
	release_intent(memory->intent);
	free(memory);
}

static void
free_draft(void *draft)
{
	struct group_draft *item = draft;

	g_array_free(item->members, TRUE);
	g_free(item);
}

static void
release_upstream(void *upstream)
{
	struct fleet_upstream *item = upstream;

	if (atomic_fetch_sub(&item->references, 1) == 1)
		free(item);
}

static void
release_intent(struct fleet_intent *intent)
{
	if (atomic_fetch_sub(&intent->references, 1) != 1)
		return;
	intent_finish(&intent->intent);
	free(intent);
}

static int
compare_entries(const void *left, const void *right)
{
	const struct fleet_entry *first = left, *second = right;

	if (first->id == second->id)
		return 0;
	return first->id < second->id ? -1 : 1;
}

static int
compare_groups(const void *left, const void *right)
{
	const struct fleet_group *first = left, *second = right;
	int order;

	order = compare_with_model(first, second->kind, second->model);
	if (order != 0)
		return order;
	if (first->distance != second->distance)
		return first->distance < second->distance ? -1 : 1;
	return strcmp(first->data_centre, second->data_centre);
}

static int
compare_weights(const void *left, const void *right)
{
	const struct ranked_member *first = left, *second = right;

	if (first->weight != second->weight)
		return first->weight > second->weight ? -1 : 1;
	if (first->entry == second->entry)
		return 0;
	return first->entry < second->entry ? -1 : 1;
}

static int
compare_with_model(
    const struct fleet_group *group, enum upstream_kind kind, const char *model)
{
	if (group->kind != kind)
		return group->kind < kind ? -1 : 1;
	return strcmp(group->model, model);
}

static void
visit_nothing(void *context, const char *prefix,
    void (*visit)(void *visitor, const struct config_entry *entry),
    void *visitor)
{
	(void)context;
	(void)prefix;
	(void)visit;
	(void)visitor;
}
