#include "coordination/fair_queue.h"

#include <string.h>

#define ANSWER_TOKEN_COST 20 /* Prefill tokens that one answer token costs. */

/* An account with waiting items. */
struct fair_account {
	uint64_t id;
	uint32_t weight;
	uint32_t count;
	uint64_t cost;	       /* Of all its items. */
	double virtual_finish; /* Of its last item that started. */
	GQueue levels[FAIR_QUEUE_PRIORITIES];
};

/* Where an item waits. */
struct fair_place {
	struct fair_queue_item item;
	struct fair_account *account;
	GList *link;	       /* In the account's level. */
	GSequenceIter *expiry; /* In the order of latest starts. */
};

static struct fair_account *find_account(
    struct fair_queue *queue, const struct fair_queue_item *item);
static void remove_place(struct fair_queue *queue, struct fair_place *place);
static struct fair_place *head_of(const struct fair_account *account);
static double finish_of(
    const struct fair_queue *queue, const struct fair_account *account);
static GPtrArray *sort_accounts(struct fair_queue *queue);
static gint compare_accounts(
    gconstpointer left, gconstpointer right, gpointer context);
static gint compare_expiries(
    gconstpointer left, gconstpointer right, gpointer context);
static void free_account(gpointer memory);

enum error_code
fair_queue_init(
    struct fair_queue *queue, const struct fair_queue_settings *settings)
{
	if (settings->items_max == 0 || settings->account_items_max == 0)
		return ERROR_INVALID_ARGUMENT;
	memset(queue, 0, sizeof(*queue));
	queue->settings = *settings;
	queue->accounts = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_account);
	queue->items =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	queue->expiries = g_sequence_new(NULL);
	return ERROR_NONE;
}

void
fair_queue_finish(struct fair_queue *queue)
{
	if (queue->items == NULL)
		return;
	g_hash_table_destroy(queue->items);
	g_hash_table_destroy(queue->accounts);
	g_sequence_free(queue->expiries);
	memset(queue, 0, sizeof(*queue));
}

uint64_t
fair_queue_cost(uint64_t prefill_tokens, uint32_t answer_tokens)
{
	return prefill_tokens + (uint64_t)answer_tokens * ANSWER_TOKEN_COST + 1;
}

enum error_code
fair_queue_push(struct fair_queue *queue, const struct fair_queue_item *item,
    int64_t now_ms)
{
	struct fair_account *account;
	struct fair_place *place;
	GQueue *level;

	if (item->latest_start_ms <= now_ms)
		return ERROR_DEADLINE_UNREACHABLE;
	if (g_hash_table_contains(queue->items, &item->request_id))
		return ERROR_ALREADY_EXISTS;
	if (fair_queue_count(queue) >= queue->settings.items_max)
		return ERROR_TABLE_FULL;
	account = find_account(queue, item);
	if (account->count >= queue->settings.account_items_max)
		return ERROR_OVER_LIMIT;
	place = g_new0(struct fair_place, 1);
	place->item = *item;
	place->account = account;
	level = &account->levels[item->priority % FAIR_QUEUE_PRIORITIES];
	g_queue_push_tail(level, place);
	place->link = g_queue_peek_tail_link(level);
	place->expiry = g_sequence_insert_sorted(
	    queue->expiries, place, compare_expiries, NULL);
	account->count++;
	account->cost += item->cost;
	queue->waiting_cost += item->cost;
	g_hash_table_insert(queue->items, &place->item.request_id, place);
	return ERROR_NONE;
}

bool
fair_queue_pop(struct fair_queue *queue, fair_queue_start *start, void *context,
    struct fair_queue_item *item)
{
	struct fair_account *account;
	struct fair_place *place;
	GPtrArray *accounts;
	bool has_started;
	guint i;

	accounts = sort_accounts(queue);
	has_started = false;
	for (i = 0; !has_started && i < accounts->len; i++) {
		account = g_ptr_array_index(accounts, i);
		place = head_of(account);
		if (start != NULL && !start(context, &place->item))
			continue;
		*item = place->item;
		account->virtual_finish = finish_of(queue, account);
		if (account->virtual_finish > queue->virtual_time)
			queue->virtual_time =
			    account->virtual_finish -
			    (double)item->cost / account->weight;
		remove_place(queue, place);
		has_started = true;
	}
	g_ptr_array_free(accounts, TRUE);
	return has_started;
}

bool
fair_queue_remove(struct fair_queue *queue, uint64_t request_id)
{
	struct fair_place *place;

	place = g_hash_table_lookup(queue->items, &request_id);
	if (place == NULL)
		return false;
	remove_place(queue, place);
	return true;
}

bool
fair_queue_pop_expired(
    struct fair_queue *queue, int64_t now_ms, struct fair_queue_item *item)
{
	struct fair_place *place;

	if (fair_queue_next_expiry(queue) > now_ms)
		return false;
	place = g_sequence_get(g_sequence_get_begin_iter(queue->expiries));
	*item = place->item;
	remove_place(queue, place);
	return true;
}

int64_t
fair_queue_next_expiry(const struct fair_queue *queue)
{
	const struct fair_place *place;

	if (g_sequence_is_empty(queue->expiries))
		return INT64_MAX;
	place = g_sequence_get(g_sequence_get_begin_iter(queue->expiries));
	return place->item.latest_start_ms;
}

uint64_t
fair_queue_cost_ahead(
    const struct fair_queue *queue, uint64_t account_id, uint32_t weight)
{
	const struct fair_account *own, *account;
	GHashTableIter iterator;
	uint64_t own_cost, ahead;
	gpointer value;
	double share;

	own = g_hash_table_lookup(queue->accounts, &account_id);
	own_cost = own == NULL ? 0 : own->cost;
	ahead = own_cost;
	/* While its own cost is served, others get their weights' worth. */
	g_hash_table_iter_init(&iterator, queue->accounts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		account = value;
		if (account == own)
			continue;
		share = (double)(own_cost + 1) * account->weight /
			(weight > 0 ? weight : 1);
		ahead += share < (double)account->cost ? (uint64_t)share
						       : account->cost;
	}
	return ahead;
}

uint32_t
fair_queue_count(const struct fair_queue *queue)
{
	return g_hash_table_size(queue->items);
}

static struct fair_account *
find_account(struct fair_queue *queue, const struct fair_queue_item *item)
{
	struct fair_account *account;

	account = g_hash_table_lookup(queue->accounts, &item->account_id);
	if (account == NULL) {
		account = g_new0(struct fair_account, 1);
		account->id = item->account_id;
		account->virtual_finish = queue->virtual_time;
		g_hash_table_insert(queue->accounts, &account->id, account);
	}
	account->weight = item->weight > 0 ? item->weight : 1;
	return account;
}

static void
remove_place(struct fair_queue *queue, struct fair_place *place)
{
	struct fair_account *account = place->account;
	GQueue *level;

	level = &account->levels[place->item.priority % FAIR_QUEUE_PRIORITIES];
	g_queue_delete_link(level, place->link);
	g_sequence_remove(place->expiry);
	account->count--;
	account->cost -= place->item.cost;
	queue->waiting_cost -= place->item.cost;
	g_hash_table_remove(queue->items, &place->item.request_id);
	/* What it has used counts on while others are behind it. */
	if (account->count == 0 &&
	    account->virtual_finish <= queue->virtual_time)
		g_hash_table_remove(queue->accounts, &account->id);
}

static struct fair_place *
head_of(const struct fair_account *account)
{
	int level;

	for (level = FAIR_QUEUE_PRIORITIES - 1; level >= 0; level--) {
		if (account->levels[level].head != NULL)
			return account->levels[level].head->data;
	}
	return NULL;
}

static double
finish_of(const struct fair_queue *queue, const struct fair_account *account)
{
	double start;

	start = account->virtual_finish;
	if (start < queue->virtual_time)
		start = queue->virtual_time;
	return start + (double)head_of(account)->item.cost / account->weight;
}

static GPtrArray *
sort_accounts(struct fair_queue *queue)
{
	struct fair_account *account;
	GHashTableIter iterator;
	GPtrArray *accounts;
	gpointer value;

	accounts = g_ptr_array_new();
	g_hash_table_iter_init(&iterator, queue->accounts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		account = value;
		if (account->count > 0)
			g_ptr_array_add(accounts, account);
		else if (account->virtual_finish <= queue->virtual_time ||
			 g_hash_table_size(queue->items) == 0)
			g_hash_table_iter_remove(&iterator);
	}
	g_ptr_array_sort_with_data(accounts, compare_accounts, queue);
	return accounts;
}

static gint
compare_accounts(gconstpointer left, gconstpointer right, gpointer context)
{
	const struct fair_account *first, *second;
	double first_finish, second_finish;

	first = *(const struct fair_account *const *)left;
	second = *(const struct fair_account *const *)right;
	first_finish = finish_of(context, first);
	second_finish = finish_of(context, second);
	if (first_finish != second_finish)
		return first_finish < second_finish ? -1 : 1;
	return first->id < second->id ? -1 : first->id > second->id;
}

static gint
compare_expiries(gconstpointer left, gconstpointer right, gpointer context)
{
	const struct fair_place *first = left, *second = right;

	(void)context;
	if (first->item.latest_start_ms == second->item.latest_start_ms)
		return 0;
	return first->item.latest_start_ms < second->item.latest_start_ms ? -1
									  : 1;
}

static void
free_account(gpointer memory)
{
	struct fair_account *account = memory;
	int level;

	for (level = 0; level < FAIR_QUEUE_PRIORITIES; level++)
		g_queue_clear(&account->levels[level]);
	g_free(account);
}
