/**
 * @file fair_queue.c
 * Self-clocked fair queueing over accounts: virtual time advances with the
 * requests served, and the account with the earliest virtual finish time is
 * served next.
 */
#include "coordination/fair_queue.h"

#include <string.h>

#define DECODE_TOKEN_COST 8 /* Cost of an answer token, in prefill tokens. */

/** An account with queued items, or with a finish time still in the future. */
struct fair_account {
	uint64_t id;
	uint32_t weight;
	uint32_t count;	       /* Number of queued items. */
	uint64_t waiting_cost; /* Total cost of the queued items. */
	/* Virtual finish time of the item served last, or the virtual time at
	 * which the account became busy if that is later. */
	double finish_time;
	/* Queued struct fair_entry, by priority. */
	GQueue items[FAIR_QUEUE_PRIORITIES];
};

/** A queued item and its positions in the account and the expiry order. */
struct fair_entry {
	struct fair_queue_item item;
	struct fair_account *account;
	GSequenceIter *expiry;
};

static struct fair_account *get_or_create_account(
    struct fair_queue *queue, uint64_t account_id);
static struct fair_account *find_next_account(
    const struct fair_queue *queue, double after, uint64_t after_id);
static struct fair_entry *find_head(const struct fair_account *account);
static double next_finish_time(const struct fair_account *account);
static void remove_entry(struct fair_queue *queue, struct fair_entry *entry);
static void free_account(void *account);
static gint compare_expiries(
    gconstpointer left, gconstpointer right, gpointer unused);

enum error_code
fair_queue_init(
    struct fair_queue *queue, const struct fair_queue_settings *settings)
{
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
	if (queue->accounts == NULL)
		return;
	g_hash_table_destroy(queue->accounts);
	g_sequence_free(queue->expiries);
	g_hash_table_destroy(queue->items);
	memset(queue, 0, sizeof(*queue));
}

uint64_t
fair_queue_cost(uint64_t prefill_tokens, uint32_t answer_tokens)
{
	return prefill_tokens + (uint64_t)answer_tokens * DECODE_TOKEN_COST + 1;
}

enum error_code
fair_queue_push(struct fair_queue *queue, const struct fair_queue_item *item,
    int64_t now_ms)
{
	struct fair_account *account;
	struct fair_entry *entry;

	if (item->weight == 0 ||
	    (unsigned int)item->priority >= FAIR_QUEUE_PRIORITIES)
		return ERROR_INVALID_ARGUMENT;
	if (now_ms >= item->latest_start_ms)
		return ERROR_DEADLINE_UNREACHABLE;
	if (g_hash_table_contains(queue->items, &item->request_id))
		return ERROR_ALREADY_EXISTS;
	if (fair_queue_count(queue) >= queue->settings.items_max)
		return ERROR_TABLE_FULL;
	account = g_hash_table_lookup(queue->accounts, &item->account_id);
	if (account != NULL &&
	    account->count >= queue->settings.account_items_max)
		return ERROR_OVER_LIMIT;
	account = get_or_create_account(queue, item->account_id);
	/* An account earns no credit while it is idle, so a newly busy one
	 * starts at the current virtual time. */
	if (account->count == 0 && account->finish_time < queue->virtual_time)
		account->finish_time = queue->virtual_time;
	account->weight = item->weight;
	account->count++;
	account->waiting_cost += item->cost;
	queue->waiting_cost += item->cost;
	entry = g_new0(struct fair_entry, 1);
	entry->item = *item;
	entry->account = account;
	entry->expiry = g_sequence_insert_sorted(
	    queue->expiries, entry, compare_expiries, NULL);
	g_queue_push_tail(&account->items[item->priority], entry);
	g_hash_table_insert(queue->items, &entry->item.request_id, entry);
	return ERROR_NONE;
}

bool
fair_queue_pop(struct fair_queue *queue, fair_queue_try_start *start,
    void *context, struct fair_queue_item *item)
{
	struct fair_account *account;
	struct fair_entry *head;
	double finish;

	account = find_next_account(queue, -1, 0);
	while (account != NULL) {
		head = find_head(account);
		finish = next_finish_time(account);
		if (start != NULL && !start(context, &head->item)) {
			account = find_next_account(queue, finish, account->id);
			continue;
		}
		/* Virtual time is the virtual start time of the served item.
		 * It never goes back, even if this item has an earlier start
		 * time because it was passed over for lack of capacity. */
		if (account->finish_time > queue->virtual_time)
			queue->virtual_time = account->finish_time;
		account->finish_time = finish;
		*item = head->item;
		remove_entry(queue, head);
		return true;
	}
	return false;
}

bool
fair_queue_remove(struct fair_queue *queue, uint64_t request_id)
{
	struct fair_entry *entry;

	entry = g_hash_table_lookup(queue->items, &request_id);
	if (entry == NULL)
		return false;
	remove_entry(queue, entry);
	return true;
}

bool
fair_queue_pop_expired(
    struct fair_queue *queue, int64_t now_ms, struct fair_queue_item *item)
{
	struct fair_entry *entry;

	if (fair_queue_next_expiry(queue) > now_ms)
		return false;
	entry = g_sequence_get(g_sequence_get_begin_iter(queue->expiries));
	*item = entry->item;
	remove_entry(queue, entry);
	return true;
}

int64_t
fair_queue_next_expiry(const struct fair_queue *queue)
{
	const struct fair_entry *entry;

	if (fair_queue_count(queue) == 0)
		return INT64_MAX;
	entry = g_sequence_get(g_sequence_get_begin_iter(queue->expiries));
	return entry->item.latest_start_ms;
}

/* While this account's own items are served, each other account is served in
 * proportion to its weight, limited to the cost that it has queued. */
uint64_t
fair_queue_cost_ahead(
    const struct fair_queue *queue, uint64_t account_id, uint32_t weight)
{
	const struct fair_account *own, *other;
	GHashTableIter iterator;
	gpointer value;
	double cost, share, own_cost;

	own = g_hash_table_lookup(queue->accounts, &account_id);
	own_cost = own == NULL ? 0 : (double)own->waiting_cost;
	cost = own_cost;
	g_hash_table_iter_init(&iterator, queue->accounts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		other = value;
		if (other == own || other->count == 0)
			continue;
		share = own_cost * other->weight / weight +
			(double)find_head(other)->item.cost;
		if (share > (double)other->waiting_cost)
			share = (double)other->waiting_cost;
		cost += share;
	}
	return (uint64_t)cost;
}

uint32_t
fair_queue_count(const struct fair_queue *queue)
{
	return g_hash_table_size(queue->items);
}

static struct fair_account *
get_or_create_account(struct fair_queue *queue, uint64_t account_id)
{
	struct fair_account *account;
	uint32_t i;

	account = g_hash_table_lookup(queue->accounts, &account_id);
	if (account != NULL)
		return account;
	account = g_new0(struct fair_account, 1);
	account->id = account_id;
	for (i = 0; i < FAIR_QUEUE_PRIORITIES; i++)
		g_queue_init(&account->items[i]);
	g_hash_table_insert(queue->accounts, &account->id, account);
	return account;
}

/* Returns the account with the earliest virtual finish time later than the pair
 * (after, after_id), with ties ordered by account id; NULL if there is none. */
static struct fair_account *
find_next_account(
    const struct fair_queue *queue, double after, uint64_t after_id)
{
	struct fair_account *account, *best;
	GHashTableIter iterator;
	gpointer value;
	double finish, best_finish;

	best = NULL;
	best_finish = 0;
	g_hash_table_iter_init(&iterator, queue->accounts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		account = value;
		if (account->count == 0)
			continue;
		finish = next_finish_time(account);
		if (finish < after ||
		    (finish == after && account->id <= after_id))
			continue;
		if (best == NULL || finish < best_finish ||
		    (finish == best_finish && account->id < best->id)) {
			best = account;
			best_finish = finish;
		}
	}
	return best;
}

/* The oldest item of the highest priority, NULL if none is queued. */
static struct fair_entry *
find_head(const struct fair_account *account)
{
	uint32_t i;

	for (i = FAIR_QUEUE_PRIORITIES; i > 0; i--) {
		if (account->items[i - 1].head != NULL)
			return account->items[i - 1].head->data;
	}
	return NULL;
}

/* Virtual finish time of the account's first item. */
static double
next_finish_time(const struct fair_account *account)
{
	return account->finish_time +
	       (double)find_head(account)->item.cost / account->weight;
}

static void
remove_entry(struct fair_queue *queue, struct fair_entry *entry)
{
	struct fair_account *account = entry->account;

	g_queue_remove(&account->items[entry->item.priority], entry);
	account->count--;
	account->waiting_cost -= entry->item.cost;
	queue->waiting_cost -= entry->item.cost;
	g_sequence_remove(entry->expiry);
	g_hash_table_remove(queue->items, &entry->item.request_id);
	if (fair_queue_count(queue) == 0) {
		g_hash_table_remove_all(queue->accounts);
		queue->virtual_time = 0;
	} else if (account->count == 0 &&
		   account->finish_time <= queue->virtual_time)
		g_hash_table_remove(queue->accounts, &account->id);
}

static void
free_account(void *account)
{
	struct fair_account *item = account;
	uint32_t i;

	for (i = 0; i < FAIR_QUEUE_PRIORITIES; i++)
		g_queue_clear(&item->items[i]);
	g_free(item);
}

static gint
compare_expiries(gconstpointer left, gconstpointer right, gpointer unused)
{
	const struct fair_entry *first = left, *second = right;

	(void)unused;
	if (first->item.latest_start_ms == second->item.latest_start_ms)
		return 0;
	return first->item.latest_start_ms < second->item.latest_start_ms ? -1
									  : 1;
}
