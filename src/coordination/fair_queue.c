/**
 * @file fair_queue.c
 * Self-clocked fair queueing over accounts.
 */
#include "coordination/fair_queue.h"

#include <string.h>

#define DECODE_TOKEN_COST 8 /* Prefill tokens that one answer token costs. */

/** An account that has items waiting, or had lately. */
struct fair_account {
	uint64_t id;
	uint32_t weight;
	uint32_t count;	       /* Items waiting. */
	uint64_t waiting_cost; /* Of them. */
	double finish; /* Virtual finish time of its last start, or the clock
			  when it became busy. */
	GQueue items[FAIR_QUEUE_PRIORITIES]; /* struct fair_place */
};

/** Where an item stands. */
struct fair_place {
	struct fair_queue_item item;
	struct fair_account *account;
	GSequenceIter *expiry;
};

static struct fair_account *provide_account(
    struct fair_queue *queue, uint64_t account_id);
static struct fair_account *find_next(
    const struct fair_queue *queue, double after, uint64_t after_id);
static struct fair_place *find_head(const struct fair_account *account);
static double find_finish(const struct fair_account *account);
static void take_out(struct fair_queue *queue, struct fair_place *place);
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
	struct fair_place *place;

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
	account = provide_account(queue, item->account_id);
	/* Time spent idle gives no credit. */
	if (account->count == 0 && account->finish < queue->virtual_time)
		account->finish = queue->virtual_time;
	account->weight = item->weight;
	account->count++;
	account->waiting_cost += item->cost;
	queue->waiting_cost += item->cost;
	place = g_new0(struct fair_place, 1);
	place->item = *item;
	place->account = account;
	place->expiry = g_sequence_insert_sorted(
	    queue->expiries, place, compare_expiries, NULL);
	g_queue_push_tail(&account->items[item->priority], place);
	g_hash_table_insert(queue->items, &place->item.request_id, place);
	return ERROR_NONE;
}

bool
fair_queue_pop(struct fair_queue *queue, fair_queue_start *start, void *context,
    struct fair_queue_item *item)
{
	struct fair_account *account;
	struct fair_place *head;
	double finish;

	account = find_next(queue, -1, 0);
	while (account != NULL) {
		head = find_head(account);
		finish = find_finish(account);
		if (start != NULL && !start(context, &head->item)) {
			account = find_next(queue, finish, account->id);
			continue;
		}
		/* The clock is the start of what is served; it never goes back,
		 * though an earlier one may have waited for room. */
		if (account->finish > queue->virtual_time)
			queue->virtual_time = account->finish;
		account->finish = finish;
		*item = head->item;
		take_out(queue, head);
		return true;
	}
	return false;
}

bool
fair_queue_remove(struct fair_queue *queue, uint64_t request_id)
{
	struct fair_place *place;

	place = g_hash_table_lookup(queue->items, &request_id);
	if (place == NULL)
		return false;
	take_out(queue, place);
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
	take_out(queue, place);
	return true;
}

int64_t
fair_queue_next_expiry(const struct fair_queue *queue)
{
	const struct fair_place *place;

	if (fair_queue_count(queue) == 0)
		return INT64_MAX;
	place = g_sequence_get(g_sequence_get_begin_iter(queue->expiries));
	return place->item.latest_start_ms;
}

/* While this account's own items are served, each other account is served at
 * most in proportion to the weights, and at most all that it has. */
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
provide_account(struct fair_queue *queue, uint64_t account_id)
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

/* The account with the least virtual finish time after (after, after_id). */
static struct fair_account *
find_next(const struct fair_queue *queue, double after, uint64_t after_id)
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
		finish = find_finish(account);
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

static struct fair_place *
find_head(const struct fair_account *account)
{
	uint32_t i;

	for (i = FAIR_QUEUE_PRIORITIES; i > 0; i--) {
		if (account->items[i - 1].head != NULL)
			return account->items[i - 1].head->data;
	}
	return NULL;
}

static double
find_finish(const struct fair_account *account)
{
	return account->finish +
	       (double)find_head(account)->item.cost / account->weight;
}

static void
take_out(struct fair_queue *queue, struct fair_place *place)
{
	struct fair_account *account = place->account;

	g_queue_remove(&account->items[place->item.priority], place);
	account->count--;
	account->waiting_cost -= place->item.cost;
	queue->waiting_cost -= place->item.cost;
	g_sequence_remove(place->expiry);
	g_hash_table_remove(queue->items, &place->item.request_id);
	if (fair_queue_count(queue) == 0) {
		g_hash_table_remove_all(queue->accounts);
		queue->virtual_time = 0;
	} else if (account->count == 0 &&
		   account->finish <= queue->virtual_time)
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
	const struct fair_place *first = left, *second = right;

	(void)unused;
	if (first->item.latest_start_ms == second->item.latest_start_ms)
		return 0;
	return first->item.latest_start_ms < second->item.latest_start_ms ? -1
									  : 1;
}
