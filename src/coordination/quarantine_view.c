#include "coordination/quarantine_view.h"

#include <stdlib.h>

#include <urcu-bp.h>

#include "base/rcu_annotation.h"

static void append_verdict(
    void *context, const struct quarantine_verdict *verdict);
static int compare_verdicts(const void *left, const void *right);

void
quarantine_view_publish(
    struct quarantine_view *view, const struct quarantine *quarantine)
{
	struct quarantine_list *list, *retired;
	uint32_t count;

	if (view->change_count == quarantine->change_count)
		return;
	view->change_count = quarantine->change_count;
	list = NULL;
	count = quarantine_count(quarantine);
	if (count > 0) {
		list = g_malloc0(
		    sizeof(*list) + count * sizeof(list->verdicts[0]));
		quarantine_for_each(quarantine, append_verdict, list);
		qsort(list->verdicts, list->count, sizeof(list->verdicts[0]),
		    compare_verdicts);
	}
	retired = atomic_exchange(&view->list, list);
	if (retired == NULL)
		return;
	synchronize_rcu();
	RCU_WRITER_ACQUIRE(retired);
	g_free(retired);
}

void
quarantine_view_finish(struct quarantine_view *view)
{
	g_free(atomic_exchange(&view->list, NULL));
}

bool
quarantine_view_is_empty(const struct quarantine_view *view)
{
	return atomic_load(&view->list) == NULL;
}

enum quarantine_action
quarantine_view_check(const struct quarantine_view *view, uint64_t fingerprint,
    int64_t now_ms, int64_t *remaining_ms)
{
	const struct quarantine_verdict wanted = {.fingerprint = fingerprint};
	const struct quarantine_verdict *found;
	const struct quarantine_list *list;
	enum quarantine_action action;
	int64_t left_ms;

	action = QUARANTINE_RUN;
	left_ms = 0;
	rcu_read_lock();
	list = atomic_load(&view->list);
	found = list == NULL ? NULL
			     : bsearch(&wanted, list->verdicts, list->count,
				   sizeof(wanted), compare_verdicts);
	if (found != NULL && found->until_ms > now_ms) {
		action = found->action;
		left_ms = found->until_ms - now_ms;
	}
	RCU_READER_RELEASE(list);
	rcu_read_unlock();
	if (remaining_ms != NULL)
		*remaining_ms = left_ms;
	return action;
}

static void
append_verdict(void *context, const struct quarantine_verdict *verdict)
{
	struct quarantine_list *list = context;

	list->verdicts[list->count++] = *verdict;
}

static int
compare_verdicts(const void *left, const void *right)
{
	const struct quarantine_verdict *first = left, *second = right;

	if (first->fingerprint == second->fingerprint)
		return 0;
	return first->fingerprint < second->fingerprint ? -1 : 1;
}
