#include "coordination/quarantine_view.h"

#include <stdlib.h>

#include <urcu-bp.h>

#include "base/rcu_annotation.h"

static struct quarantine_list *make_list(
    const struct quarantine *quarantine, const struct part_suspects *parts);
static void free_list(struct quarantine_list *list);
static void append_verdict(
    void *context, const struct quarantine_verdict *verdict);
static void append_part(void *context, const struct part_verdict *verdict);
static int compare_verdicts(const void *left, const void *right);
static int compare_parts(const void *left, const void *right);
static const void *find(
    const GArray *array, const void *wanted, GCompareFunc compare);
static enum quarantine_action check_list(const struct quarantine_list *list,
    const struct request_key *key, int64_t now_ms, int64_t *left_ms);
static enum part_action check_parts(const struct quarantine_list *list,
    const struct request_key *key, int64_t now_ms, int64_t *left_ms);

void
quarantine_view_publish(struct quarantine_view *view,
    const struct quarantine *quarantine, const struct part_suspects *parts)
{
	struct quarantine_list *list, *retired;

	if (view->change_count == quarantine->change_count &&
	    view->part_change_count == parts->change_count)
		return;
	view->change_count = quarantine->change_count;
	view->part_change_count = parts->change_count;
	list = make_list(quarantine, parts);
	retired = atomic_exchange(&view->list, list);
	if (retired == NULL)
		return;
	synchronize_rcu();
	RCU_WRITER_ACQUIRE(retired);
	free_list(retired);
}

void
quarantine_view_finish(struct quarantine_view *view)
{
	free_list(atomic_exchange(&view->list, NULL));
}

bool
quarantine_view_is_empty(const struct quarantine_view *view)
{
	return atomic_load(&view->list) == NULL;
}

enum quarantine_action
quarantine_view_check(const struct quarantine_view *view,
    const struct request_key *key, int64_t now_ms, int64_t *remaining_ms)
{
	const struct quarantine_list *list;
	enum quarantine_action action;
	int64_t left_ms;

	action = QUARANTINE_RUN;
	left_ms = 0;
	rcu_read_lock();
	list = atomic_load(&view->list);
	if (list != NULL)
		action = check_list(list, key, now_ms, &left_ms);
	RCU_READER_RELEASE(list);
	rcu_read_unlock();
	if (remaining_ms != NULL)
		*remaining_ms = left_ms;
	return action;
}

/* Returns NULL if nothing is suspected. */
static struct quarantine_list *
make_list(
    const struct quarantine *quarantine, const struct part_suspects *parts)
{
	struct quarantine_list *list;

	list = g_new(struct quarantine_list, 1);
	list->requests =
	    g_array_new(FALSE, FALSE, sizeof(struct quarantine_verdict));
	list->parts = g_array_new(FALSE, FALSE, sizeof(struct part_verdict));
	quarantine_for_each(quarantine, append_verdict, list->requests);
	part_suspects_for_each(parts, append_part, list->parts);
	if (list->requests->len == 0 && list->parts->len == 0) {
		free_list(list);
		return NULL;
	}
	g_array_sort(list->requests, compare_verdicts);
	g_array_sort(list->parts, compare_parts);
	return list;
}

static void
free_list(struct quarantine_list *list)
{
	if (list == NULL)
		return;
	g_array_free(list->requests, TRUE);
	g_array_free(list->parts, TRUE);
	g_free(list);
}

static void
append_verdict(void *context, const struct quarantine_verdict *verdict)
{
	g_array_append_vals(context, verdict, 1);
}

static void
append_part(void *context, const struct part_verdict *verdict)
{
	g_array_append_vals(context, verdict, 1);
}

static int
compare_verdicts(const void *left, const void *right)
{
	const struct quarantine_verdict *first = left, *second = right;

	if (first->fingerprint == second->fingerprint)
		return 0;
	return first->fingerprint < second->fingerprint ? -1 : 1;
}

static int
compare_parts(const void *left, const void *right)
{
	const struct part_verdict *first = left, *second = right;

	if (first->record.part == second->record.part)
		return 0;
	return first->record.part < second->record.part ? -1 : 1;
}

static const void *
find(const GArray *array, const void *wanted, GCompareFunc compare)
{
	if (array->len == 0)
		return NULL;
	return bsearch(wanted, array->data, array->len,
	    g_array_get_element_size((GArray *)array), compare);
}

static enum quarantine_action
check_list(const struct quarantine_list *list, const struct request_key *key,
    int64_t now_ms, int64_t *left_ms)
{
	const struct quarantine_verdict wanted = {
	    .fingerprint = key->fingerprint};
	const struct quarantine_verdict *found;
	enum part_action part_action;

	part_action = check_parts(list, key, now_ms, left_ms);
	if (part_action == PART_REFUSE)
		return QUARANTINE_REFUSE;
	found = find(list->requests, &wanted, compare_verdicts);
	if (found != NULL && found->until_ms <= now_ms)
		found = NULL;
	if (part_action == PART_TRY &&
	    (found == NULL || found->action != QUARANTINE_REFUSE))
		return QUARANTINE_TRY;
	if (found == NULL)
		return QUARANTINE_RUN;
	*left_ms = found->until_ms - now_ms;
	return found->action;
}

/* Returns the strictest of what applies to the parts of the request. */
static enum part_action
check_parts(const struct quarantine_list *list, const struct request_key *key,
    int64_t now_ms, int64_t *left_ms)
{
	enum part_action action, strictest;
	struct part_verdict wanted = {0};
	const struct part_verdict *found;
	uint32_t i;

	strictest = PART_RUN;
	for (i = 0; i < key->part_count; i++) {
		wanted.record.part = key->parts[i];
		found = find(list->parts, &wanted, compare_parts);
		if (found == NULL || !part_record_matches(&found->record, key))
			continue;
		action = part_verdict_action(found, now_ms);
		strictest = MAX(strictest, action);
		if (action != PART_RUN)
			*left_ms =
			    MAX(*left_ms, part_verdict_left_ms(found, now_ms));
	}
	return strictest;
}
