#include "coordination/grant_ledger.h"

#include <string.h>

#include "coordination/capacity_math.h"

#define PERCENT 100

/* A line's part in a division. */
struct share {
	struct ledger_holder *holder;
	struct capacity_amount target; /* What it should get. */
	struct capacity_amount goal;   /* What it may get at most now. */
};

static struct capacity_amount line_counted(const struct ledger_holder *holder);
static void note_unmet(struct ledger_holder *holder, int64_t now_ms);
static bool is_over(
    const struct ledger_holder *holder, int64_t now_ms, int64_t drain_ms);
static GArray *collect_shares(const struct grant_ledger *ledger,
    int64_t reachable_ms, struct capacity_amount *rest);
static gint compare_unmet(gconstpointer left, gconstpointer right);
static gint compare_wish(gconstpointer left, gconstpointer right, gpointer at);
static void fill_all(GArray *shares, const struct capacity_amount *rest);
static void favour_largest(GArray *shares, const struct capacity_amount *rest);
static uint64_t fill_fairly(GArray *shares, unsigned int at, uint64_t rest);
static struct capacity_amount part_of(
    const struct capacity_amount *amount, uint32_t percent);
static uint64_t wish(const struct share *share, unsigned int at);
static void apply_dimension(
    GArray *shares, unsigned int at, uint64_t bound, uint64_t counted);
static uint64_t set_offer(
    struct ledger_holder *holder, unsigned int at, uint64_t value);

void
grant_ledger_init(struct grant_ledger *ledger)
{
	ledger->holders =
	    g_array_new(FALSE, TRUE, sizeof(struct ledger_holder));
}

void
grant_ledger_finish(struct grant_ledger *ledger)
{
	if (ledger->holders != NULL)
		g_array_free(ledger->holders, TRUE);
	ledger->holders = NULL;
}

void
grant_ledger_clear(struct grant_ledger *ledger)
{
	g_array_set_size(ledger->holders, 0);
}

uint32_t
grant_ledger_count(const struct grant_ledger *ledger)
{
	return ledger->holders->len;
}

struct ledger_holder *
grant_ledger_at(const struct grant_ledger *ledger, uint32_t index)
{
	return &g_array_index(ledger->holders, struct ledger_holder, index);
}

struct ledger_holder *
grant_ledger_find(const struct grant_ledger *ledger, uint32_t host_id)
{
	struct ledger_holder *holder;
	uint32_t i;

	for (i = 0; i < ledger->holders->len; i++) {
		holder = grant_ledger_at(ledger, i);
		if (holder->host_id == host_id)
			return holder;
	}
	return NULL;
}

struct ledger_holder *
grant_ledger_open(struct grant_ledger *ledger, uint32_t host_id)
{
	struct ledger_holder *holder;

	holder = grant_ledger_find(ledger, host_id);
	if (holder != NULL)
		return holder;
	g_array_set_size(ledger->holders, ledger->holders->len + 1);
	holder = grant_ledger_at(ledger, ledger->holders->len - 1);
	holder->host_id = host_id;
	return holder;
}

void
grant_ledger_note_process(struct ledger_holder *holder, uint64_t instance,
    int64_t now_ms, int64_t gone_drain_ms)
{
	if (instance <= holder->instance)
		return;
	if (holder->instance != 0) {
		holder->draining = line_counted(holder);
		holder->draining_until_ms = now_ms + gone_drain_ms;
		holder->draining_ends_on_ack = false;
		memset(&holder->counted, 0, sizeof(holder->counted));
		memset(&holder->offered, 0, sizeof(holder->offered));
	}
	holder->instance = instance;
	holder->sequence = 0;
}

bool
grant_ledger_note_ask(struct ledger_holder *holder,
    const struct grant_head *head, const struct grant_ask *ask, int64_t now_ms,
    int64_t gone_drain_ms)
{
	if (head->instance < holder->instance)
		return false;
	grant_ledger_note_process(
	    holder, head->instance, now_ms, gone_drain_ms);
	if (head->sequence <= holder->sequence)
		return false;
	holder->sequence = head->sequence;
	holder->asked_ms = now_ms;
	holder->used = ask->used;
	holder->wanted = capacity_max(&ask->wanted, &ask->used);
	holder->needed = part_of(&holder->wanted, ask->needed_percent);
	holder->needed = capacity_max(&holder->needed, &ask->used);
	holder->largest = ask->largest;
	holder->gone_ms = 0;
	holder->is_acked =
	    ask->term == holder->term && ask->number == holder->number;
	if (holder->is_acked) {
		/* It may have lowered its slot by itself. */
		holder->offered = ask->ceiling;
		holder->counted = capacity_max(&ask->ceiling, &ask->used);
		if (holder->draining_ends_on_ack)
			holder->draining_until_ms = now_ms;
		/* Its turn is over: what waits next queues behind others. */
		if (holder->is_served)
			holder->unmet_ms = 0;
		holder->is_served = false;
	} else {
		holder->counted = capacity_max(&holder->counted, &ask->used);
	}
	note_unmet(holder, now_ms);
	return true;
}

void
grant_ledger_restart(struct grant_ledger *ledger)
{
	struct ledger_holder *holder;
	uint32_t i;

	for (i = 0; i < ledger->holders->len; i++) {
		holder = grant_ledger_at(ledger, i);
		holder->draining =
		    capacity_max(&holder->draining, &holder->counted);
		holder->draining_until_ms = holder->expires_ms;
		holder->draining_ends_on_ack = true;
		memset(&holder->counted, 0, sizeof(holder->counted));
		memset(&holder->offered, 0, sizeof(holder->offered));
		memset(&holder->used, 0, sizeof(holder->used));
		holder->is_acked = false;
		holder->is_changed = true;
	}
}

void
grant_ledger_expire(
    struct grant_ledger *ledger, int64_t now_ms, int64_t drain_ms)
{
	struct ledger_holder *holder;
	uint32_t i;

	for (i = ledger->holders->len; i > 0; i--) {
		holder = grant_ledger_at(ledger, i - 1);
		if (now_ms >= holder->draining_until_ms) {
			memset(&holder->draining, 0, sizeof(holder->draining));
			holder->draining_ends_on_ack = false;
		}
		if (is_over(holder, now_ms, drain_ms))
			g_array_remove_index_fast(ledger->holders, i - 1);
	}
}

void
grant_ledger_divide(struct grant_ledger *ledger,
    const struct capacity_amount *bound, int64_t reachable_ms)
{
	struct capacity_amount rest, counted, needed;
	struct ledger_holder *holder;
	GArray *shares;
	unsigned int at;
	uint32_t i;

	rest = *bound;
	shares = collect_shares(ledger, reachable_ms, &rest);
	g_array_sort(shares, compare_unmet);
	fill_all(shares, &rest);
	favour_largest(shares, &rest);
	counted = grant_ledger_counted(ledger);
	for (at = 0; at < CAPACITY_DIMENSIONS; at++)
		apply_dimension(shares, at, capacity_get(bound, at),
		    capacity_get(&counted, at));
	for (i = 0; i < shares->len; i++) {
		holder = g_array_index(shares, struct share, i).holder;
		needed = capacity_add(&holder->used, &holder->largest);
		/* Its room is kept until it says that it has got it. */
		if (holder->unmet_ms != 0 &&
		    capacity_fits(&needed, &holder->offered))
			holder->is_served = true;
	}
	g_array_free(shares, TRUE);
}

struct capacity_amount
grant_ledger_counted(const struct grant_ledger *ledger)
{
	struct capacity_amount sum = {0}, line;
	uint32_t i;

	for (i = 0; i < ledger->holders->len; i++) {
		line = line_counted(grant_ledger_at(ledger, i));
		sum = capacity_add(&sum, &line);
	}
	return sum;
}

static struct capacity_amount
line_counted(const struct ledger_holder *holder)
{
	return capacity_add(&holder->counted, &holder->draining);
}

/* Since when the largest waiting request does not fit what was offered. */
static void
note_unmet(struct ledger_holder *holder, int64_t now_ms)
{
	struct capacity_amount needed;

	needed = capacity_add(&holder->used, &holder->largest);
	if (capacity_is_zero(&holder->largest) ||
	    (holder->is_acked && capacity_fits(&needed, &holder->offered))) {
		holder->unmet_ms = 0;
		return;
	}
	if (holder->unmet_ms == 0)
		holder->unmet_ms = now_ms > 0 ? now_ms : 1;
}

static bool
is_over(const struct ledger_holder *holder, int64_t now_ms, int64_t drain_ms)
{
	struct capacity_amount counted;
	bool is_empty;

	if (now_ms < holder->expires_ms || now_ms < holder->draining_until_ms)
		return false;
	if (holder->gone_ms != 0)
		return now_ms >= holder->gone_ms;
	counted = line_counted(holder);
	is_empty =
	    capacity_is_zero(&counted) && capacity_is_zero(&holder->wanted);
	if (is_empty)
		return true;
	return now_ms - holder->expires_ms >= drain_ms &&
	       now_ms - holder->asked_ms >= drain_ms;
}

/* Takes off @p rest what lines hold that can't be reached. */
static GArray *
collect_shares(const struct grant_ledger *ledger, int64_t reachable_ms,
    struct capacity_amount *rest)
{
	struct ledger_holder *holder;
	struct share share;
	GArray *shares;
	uint32_t i;

	shares = g_array_new(FALSE, FALSE, sizeof(struct share));
	for (i = 0; i < ledger->holders->len; i++) {
		holder = grant_ledger_at(ledger, i);
		*rest = capacity_subtract(rest, &holder->draining);
		if (holder->gone_ms != 0 || holder->sequence == 0 ||
		    holder->asked_ms < reachable_ms) {
			*rest = capacity_subtract(rest, &holder->counted);
			continue;
		}
		memset(&share, 0, sizeof(share));
		share.holder = holder;
		g_array_append_val(shares, share);
	}
	return shares;
}

static gint
compare_unmet(gconstpointer left, gconstpointer right)
{
	const struct share *first = left, *second = right;
	int64_t one, other;

	one =
	    first->holder->unmet_ms == 0 ? INT64_MAX : first->holder->unmet_ms;
	other = second->holder->unmet_ms == 0 ? INT64_MAX
					      : second->holder->unmet_ms;
	if (one != other)
		return one < other ? -1 : 1;
	return first->holder->host_id < second->holder->host_id ? -1 : 1;
}

/* First what runs and waits, then spare room, on top of what targets hold
 * already. */
static void
fill_all(GArray *shares, const struct capacity_amount *rest)
{
	struct capacity_amount left;
	struct share *share;
	unsigned int at;
	uint32_t i;

	for (i = 0; i < shares->len; i++) {
		share = &g_array_index(shares, struct share, i);
		share->goal = share->holder->needed;
	}
	for (at = 0; at < CAPACITY_DIMENSIONS; at++)
		capacity_set(
		    &left, at, fill_fairly(shares, at, capacity_get(rest, at)));
	for (i = 0; i < shares->len; i++) {
		share = &g_array_index(shares, struct share, i);
		share->goal = share->holder->wanted;
	}
	for (at = 0; at < CAPACITY_DIMENSIONS; at++)
		(void)fill_fairly(shares, at, capacity_get(&left, at));
}

/* A request that fits its host's fair part runs once an earlier one there has
 * ended. One that does not would starve: if the longest waiting one is such, it
 * gets its room first, and the others share the rest. */
static void
favour_largest(GArray *shares, const struct capacity_amount *rest)
{
	struct capacity_amount needed, left;
	struct share *share, *favoured;
	uint32_t i;

	favoured = NULL;
	for (i = 0; i < shares->len && favoured == NULL; i++) {
		share = &g_array_index(shares, struct share, i);
		if (share->holder->unmet_ms == 0)
			return;
		needed =
		    capacity_add(&share->holder->used, &share->holder->largest);
		/* What can never fit here must not hold up the others. */
		if (capacity_fits(&needed, rest))
			favoured = share;
	}
	if (favoured == NULL ||
	    capacity_fits(&favoured->holder->largest, &favoured->target))
		return;
	for (i = 0; i < shares->len; i++) {
		share = &g_array_index(shares, struct share, i);
		memset(&share->target, 0, sizeof(share->target));
	}
	favoured->target = needed;
	left = capacity_subtract(rest, &needed);
	fill_all(shares, &left);
}

static gint
compare_wish(gconstpointer left, gconstpointer right, gpointer at)
{
	const struct share *const *first = left, *const *second = right;
	uint64_t one, other;

	one = wish(*first, GPOINTER_TO_UINT(at));
	other = wish(*second, GPOINTER_TO_UINT(at));
	if (one != other)
		return one < other ? -1 : 1;
	/* Equal wishes: the line that is earlier in the queue gets more. */
	return *first < *second ? 1 : -1;
}

/* Max-min fairness: small wishes whole, the others alike. Gives what is left. */
static uint64_t
fill_fairly(GArray *shares, unsigned int at, uint64_t rest)
{
	struct share *share;
	GPtrArray *order;
	uint64_t part;
	uint32_t i;

	order = g_ptr_array_sized_new(shares->len);
	for (i = 0; i < shares->len; i++)
		g_ptr_array_add(order, &g_array_index(shares, struct share, i));
	g_ptr_array_sort_with_data(order, compare_wish, GUINT_TO_POINTER(at));
	for (i = 0; i < order->len; i++) {
		share = g_ptr_array_index(order, i);
		part = rest / (order->len - i);
		if (part > wish(share, at))
			part = wish(share, at);
		capacity_set(&share->target, at,
		    capacity_get(&share->target, at) + part);
		rest -= part;
	}
	g_ptr_array_free(order, TRUE);
	return rest;
}

/* What a line wishes beyond what it has got already. */
static uint64_t
wish(const struct share *share, unsigned int at)
{
	uint64_t goal, target;

	/* Tokens are of no use without a request to spend them on. */
	if (at > 0 && share->target.requests == 0)
		return 0;
	goal = capacity_get(&share->goal, at);
	target = capacity_get(&share->target, at);
	return goal > target ? goal - target : 0;
}

/* Lowers only where somebody else is short, and raises from what is free. */
static void
apply_dimension(
    GArray *shares, unsigned int at, uint64_t bound, uint64_t counted)
{
	uint64_t free, missing, target, offered;
	struct share *share;
	uint32_t i;

	free = bound > counted ? bound - counted : 0;
	missing = 0;
	for (i = 0; i < shares->len; i++) {
		share = &g_array_index(shares, struct share, i);
		target = capacity_get(&share->target, at);
		offered = capacity_get(&share->holder->offered, at);
		if (target > offered)
			missing += target - offered;
	}
	for (i = 0; i < shares->len; i++) {
		share = &g_array_index(shares, struct share, i);
		target = capacity_get(&share->target, at);
		offered = capacity_get(&share->holder->offered, at);
		if (target < offered && (missing > free || counted > bound))
			set_offer(share->holder, at, target);
		if (target <= offered || free == 0)
			continue;
		if (target - offered > free)
			target = offered + free;
		free -= set_offer(share->holder, at, target);
	}
}

/* Sets a dimension of an offer; gives by how much the counted sum grew. */
static uint64_t
set_offer(struct ledger_holder *holder, unsigned int at, uint64_t value)
{
	uint64_t counted;

	capacity_set(&holder->offered, at, value);
	holder->is_changed = true;
	holder->is_acked = false;
	counted = capacity_get(&holder->counted, at);
	if (value <= counted)
		return 0;
	capacity_set(&holder->counted, at, value);
	return value - counted;
}

static struct capacity_amount
part_of(const struct capacity_amount *amount, uint32_t percent)
{
	struct capacity_amount part;
	unsigned int at;
	uint64_t whole;

	if (percent >= PERCENT)
		return *amount;
	for (at = 0; at < CAPACITY_DIMENSIONS; at++) {
		whole = capacity_get(amount, at);
		/* The percentage was rounded up; without overflow. */
		capacity_set(&part, at,
		    whole / PERCENT * percent +
			whole % PERCENT * percent / PERCENT);
	}
	return part;
}
